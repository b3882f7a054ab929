/**
 * DOC: control_disk - thread that executes the disk effects of the reducer
 *
 * Effects are executed in the order they were posted.  All queued effects are
 * written before one sync (group commit), so that a series of changes does not
 * need a sync each, and the reducer never blocks on the disk.
 */
#ifndef BM_CONTROL_DISK_H
#define BM_CONTROL_DISK_H

#include "control_effect.h"
#include "storage.h"

/**
 * struct control_disk_options - how to construct one
 * @storage: open storage; used only by the thread from now on
 * @saved: called when all effects up to sync @seq are durable
 * @failed: called when the disk failed; later effects are discarded and the
 *          process must stop
 * @ctx: argument of both callbacks, which run on the thread
 */
struct control_disk_options {
    struct storage *storage;
    void (*saved)(void *ctx, uint64_t seq);
    void (*failed)(void *ctx, enum storage_error err, const char *detail);
    void *ctx;
};

struct control_disk;

/** control_disk_write() - executes one effect; CE_SYNC does nothing here */
enum storage_error control_disk_write(struct storage *s,
                                      const struct control_effect *f);

/** control_disk_new() - starts the thread; NULL on failure */
struct control_disk *control_disk_new(const struct control_disk_options *o);

/** control_disk_post() - queues an effect and takes ownership of its data */
void control_disk_post(struct control_disk *d, struct control_effect *f);

/** control_disk_free() - executes the queued effects and ends the thread; NULL
 * is allowed */
void control_disk_free(struct control_disk *d);

#endif
