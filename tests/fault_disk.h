/**
 * DOC: fault_disk - a disk in memory that loses, tears, flips, fills and fails
 *
 * What was written is durable only once it is synced: content by a sync of the
 * file, names by a sync of the folder.  fault_disk_crash() keeps of the rest
 * an arbitrary part, the last write perhaps half.
 */
#ifndef BM_FAULT_DISK_H
#define BM_FAULT_DISK_H

#include <stdbool.h>

#include "disk.h"

/**
 * struct fault_plan - faults to come; zero is none
 * @power_at: the power goes before that operation (1 is the next); it and all
 *            later ones fail until fault_disk_crash()
 * @sync_fails_at: that sync of a file from now on fails, once
 * @capacity: bytes of all files together; 0 is no limit
 */
struct fault_plan {
    uint64_t power_at;
    uint64_t sync_fails_at;
    uint64_t capacity;
};

const struct disk_ops *fault_disk_ops(void);
struct disk *fault_disk_new(void);
void fault_disk_free(struct disk *d);

/** fault_disk_plan() - replaces the plan */
void fault_disk_plan(struct disk *d, struct fault_plan plan);

/** fault_disk_operations() - changing operations carried out so far */
uint64_t fault_disk_operations(const struct disk *d);

/** fault_disk_crash() - power loss; @seed says what survives of the part that
 * was not synced, 0 lets nothing of it survive */
void fault_disk_crash(struct disk *d, uint64_t seed);

/** fault_disk_wipe() - the disk is replaced by an empty one */
void fault_disk_wipe(struct disk *d);

/** fault_disk_flip() - flips one bit of a file, on the medium */
void fault_disk_flip(struct disk *d, const char *name, size_t offset);

/** fault_disk_size() - of a file; 0 when there is none */
size_t fault_disk_size(const struct disk *d, const char *name);

#endif
