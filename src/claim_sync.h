/**
 * DOC: claim_sync - a restarted voter takes over the live claims
 *
 * It votes on every key once it has them from each other voter of the zone
 * that knows all itself, or once the claim window has passed.
 */
#ifndef BM_CLAIM_SYNC_H
#define BM_CLAIM_SYNC_H

#include "claim_state.h"

/** claim_sync_on_request() - false where the message makes no sense */
bool claim_sync_on_request(struct entry *e, struct name from,
                           const struct rec_sync_request *m);

/** claim_sync_on_reply() - false where the message makes no sense */
bool claim_sync_on_reply(struct entry *e, struct name from,
                         const struct rec_sync_reply *m);

/** claim_sync_member_up() - asks a fellow voter that came, where it is needed
 */
void claim_sync_member_up(struct entry *e, struct name member);

/** claim_sync_needed() - whether this voter lacks claims of any zone */
bool claim_sync_needed(const struct entry *e);

/** claim_sync_tick() - asks again, or finds that the window has passed */
void claim_sync_tick(struct entry *e);

#endif
