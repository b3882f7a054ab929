/**
 * DOC: config_sync - keeps the configuration of an entry instance up to date
 *
 * One instance per availability zone long-polls a control process; the other
 * instances of the zone poll that instance.  After a restart an instance asks
 * all control processes for their version, and then also the instances of its
 * zone.  Only a version above the one in force is applied.
 */
#ifndef BM_CONFIG_SYNC_H
#define BM_CONFIG_SYNC_H

#include "entry_state.h"

/** config_sync_new() - to be freed with config_sync_free(); aborts the process
 * when memory runs out */
struct config_sync *config_sync_new(const struct entry *e);
void config_sync_free(struct config_sync *f);

/** config_sync_on_message() - handles CONFIG_REQUEST and CONFIG_REPLY */
void config_sync_on_message(struct entry *e, struct name from,
                            const struct msg *m);

/** config_sync_tick() - sends due requests, and answers expired polls */
void config_sync_tick(struct entry *e);

/** config_sync_next_us() - monotonic time of the next config_sync_tick() */
int64_t config_sync_next_us(const struct entry *e);

#endif
