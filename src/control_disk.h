/**
 * DOC: control_disk - the thread that carries out effects on the disk
 *
 * In the order they were posted.  All that waits is written before one sync
 * covers it (group commit), so that many changes in a row do not cost a sync
 * each, and the reducer never waits for the disk.
 */
#ifndef BM_CONTROL_DISK_H
#define BM_CONTROL_DISK_H

#include "control_effect.h"
#include "storage.h"

/**
 * struct control_disk_options - how to construct one
 * @storage: open; the thread is its only user from now on
 * @saved: all up to that sync is durable
 * @failed: the disk failed, and nothing is carried out any more: the process
 *          must stop
 * @ctx: for both; they are called by the thread
 */
struct control_disk_options {
    struct storage *storage;
    void (*saved)(void *ctx, uint64_t seq);
    void (*failed)(void *ctx, enum storage_error err, const char *detail);
    void *ctx;
};

struct control_disk;

/** control_disk_write() - carries one effect out, without any sync */
enum storage_error control_disk_write(struct storage *s,
                                      const struct control_effect *f);

/** control_disk_new() - starts the thread; NULL when it can't */
struct control_disk *control_disk_new(const struct control_disk_options *o);

/** control_disk_post() - takes over what the effect owns */
void control_disk_post(struct control_disk *d, struct control_effect *f);

/** control_disk_free() - carries out what was posted; NULL is allowed */
void control_disk_free(struct control_disk *d);

#endif
