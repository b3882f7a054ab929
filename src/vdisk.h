/**
 * DOC: vdisk - the disk of a control process in virtual time
 *
 * Keeps records in memory.  What was written is durable from the sync after
 * it; a crash loses all that was not synced, the worst a disk may do.
 */
#ifndef BM_VDISK_H
#define BM_VDISK_H

#include "control.h"

struct vdisk {
    struct storage_contents found; /* durable */
    struct control_effect *work;   /* written, not synced */
    size_t n_work;
    size_t room;
};

/** vdisk_format() - makes it a founding member's */
void vdisk_format(struct vdisk *d, uint64_t disk, struct blob *state);

/** vdisk_write() - takes over an effect on the disk */
void vdisk_write(struct vdisk *d, struct control_effect *f);

/** vdisk_sync() - the first sync under way completes; returns its seq */
uint64_t vdisk_sync(struct vdisk *d);

/** vdisk_crash() - what was not synced is lost */
void vdisk_crash(struct vdisk *d);
void vdisk_free(struct vdisk *d);

#endif
