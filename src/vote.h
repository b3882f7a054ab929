/**
 * DOC: vote - records and votes of a claim voter
 */
#ifndef BM_VOTE_H
#define BM_VOTE_H

#include "claim_state.h"

/** vote_init() - sets up @v, the state of this instance as a voter of @zone */
void vote_init(const struct entry *e, struct zone_voter *v, struct name zone);

/** vote_set_start_time() - records the time of the first event as the start of
 * this incarnation; earlier incarnations granted all their claims before it */
void vote_set_start_time(struct entry *e);

/** vote_zone_index() - index of @zone in members_zones(), or -1 */
int vote_zone_index(const struct entry *e, struct name zone);

/** vote_zone_voter() - state of this instance as a voter of @zone; NULL if it
 * is not a voter of the zone */
struct zone_voter *vote_zone_voter(const struct entry *e, struct name zone);

/** vote_find_record() - the unexpired record of a key, or NULL */
struct claim *vote_find_record(const struct entry *e, struct key_id id);

/** vote_add_record() - adds an empty record; @zone is an index in
 * members_zones() */
struct claim *vote_add_record(struct entry *e, struct key_id id, int zone);

/** vote_record_expiry_us() - wall time at which the record of a key expires;
 * @issued_us is 0 for a bare key, whose window starts now */
int64_t vote_record_expiry_us(const struct entry *e, int64_t issued_us);

/** vote_claim() - votes on a claim and fills in @reply, whose views the caller
 * must free; false if the message is invalid */
bool vote_claim(struct entry *e, struct name from, const struct rec_claim *m,
                struct rec_claim_reply *reply);

/** vote_find() - the same for a lookup that claims nothing */
bool vote_find(struct entry *e, const struct rec_claim_find *m,
               struct rec_claim_reply *reply);

/** vote_release() - removes the record of a claimer that releases its claim;
 * false if the message is invalid */
bool vote_release(struct entry *e, struct name from,
                  const struct rec_claim_release *m);

/** vote_sweep() - removes expired records, checking a part of the table in
 * each call */
void vote_sweep(struct entry *e);

#endif
