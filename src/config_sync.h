/**
 * DOC: config_sync - keeps up with the configuration in force
 *
 * One instance per zone long-polls a control process across zones, the others
 * poll it.  A restarted instance asks control first, then its zone's peers.
 * Only a version above the one in force is applied.
 */
#ifndef BM_CONFIG_SYNC_H
#define BM_CONFIG_SYNC_H

#include "entry_state.h"

struct config_sync *config_sync_new(const struct entry *e);
void config_sync_free(struct config_sync *f);

/** config_sync_on_message() - CONFIG_REQUEST and CONFIG_REPLY */
void config_sync_on_message(struct entry *e, struct name from,
                            const struct msg *m);
void config_sync_tick(struct entry *e);
int64_t config_sync_next_us(const struct entry *e);

#endif
