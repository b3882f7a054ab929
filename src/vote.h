/**
 * DOC: vote - a claim voter's records, and how it votes
 */
#ifndef BM_VOTE_H
#define BM_VOTE_H

#include "claim_state.h"

/** vote_init() - this instance's part in voting for @zone */
void vote_init(const struct entry *e, struct zone_voter *v, struct name zone);

/** vote_set_start_time() - the first event's time stands for the start: what
 * an earlier incarnation granted, it granted before */
void vote_set_start_time(struct entry *e);

/** vote_zone_index() - of members_zones(), or -1 */
int vote_zone_index(const struct entry *e, struct name zone);

/** vote_zone_voter() - NULL where this instance is no voter of the zone */
struct zone_voter *vote_zone_voter(const struct entry *e, struct name zone);

/** vote_find_record() - the live record of a key, or NULL */
struct claim *vote_find_record(const struct entry *e, struct key_id id);

/** vote_add_record() - an empty record; @zone is its number */
struct claim *vote_add_record(struct entry *e, struct key_id id, int zone);

/** vote_record_expiry_us() - wall time at which a record of a key issued then,
 * or seen now where it is bare, may go */
int64_t vote_record_expiry_us(const struct entry *e, int64_t issued_us);

/** vote_claim() - votes and fills the reply, whose views the caller owns;
 * false where the message makes no sense */
bool vote_claim(struct entry *e, struct name from, const struct rec_claim *m,
                struct rec_claim_reply *reply);

/** vote_find() - the same for a question that claims nothing */
bool vote_find(struct entry *e, const struct rec_claim_find *m,
               struct rec_claim_reply *reply);

/** vote_release() - a claimer gives its vote back */
bool vote_release(struct entry *e, struct name from,
                  const struct rec_claim_release *m);

/** vote_sweep() - drops records whose time is over, a part at a time */
void vote_sweep(struct entry *e);

#endif
