/**
 * DOC: claim_sync - copies the live claims to a restarted voter
 *
 * A restarted voter votes on all keys once it has copied the claims from every
 * other voter of the zone, each having complete records itself, or once the
 * claim window has passed.
 */
#ifndef BM_CLAIM_SYNC_H
#define BM_CLAIM_SYNC_H

#include "claim_state.h"

/** claim_sync_on_request() - handles SYNC_REQUEST; false if the message is
 * bad */
bool claim_sync_on_request(struct entry *e, struct name from,
                           const struct rec_sync_request *m);

/** claim_sync_on_reply() - handles SYNC_REPLY; false if the message is bad */
bool claim_sync_on_reply(struct entry *e, struct name from,
                         const struct rec_sync_reply *m);

/** claim_sync_member_up() - requests claims from @member if they are needed */
void claim_sync_member_up(struct entry *e, struct name member);

/** claim_sync_needed() - whether this instance lacks claims of any zone it
 * votes for */
bool claim_sync_needed(const struct entry *e);

/** claim_sync_tick() - repeats requests, or stops once the claim window has
 * passed */
void claim_sync_tick(struct entry *e);

#endif
