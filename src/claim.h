/**
 * DOC: claim - claims of keys: at most one claimer per key, by majority vote
 *
 * Covers both sides, the voter's records and the claimer's attempts.  A claim
 * is won with the grants of a majority of the home zone's voters.  Each reply
 * carries the voter's incarnation and the newest incarnations it knows of the
 * other voters.  A grant is not counted if any reply names a newer incarnation
 * of the voter that gave it, since the restarted voter may have lost the
 * record.
 */
#ifndef BM_CLAIM_H
#define BM_CLAIM_H

#include "entry_state.h"
#include "key.h"

/** enum claim_outcome - how an attempt ended */
enum claim_outcome {
    CLAIM_OUTCOME_WON,
    CLAIM_OUTCOME_TAKEN,       /* claimed by another instance */
    CLAIM_OUTCOME_ABSENT,      /* find: a majority has no record */
    CLAIM_OUTCOME_UNAVAILABLE, /* no majority; votes received are released */
    CLAIM_OUTCOME_TOO_OLD,     /* the key is older than the claim window */
};

/** struct claim_result - end of an attempt; the fields from @claimer on are
 * set for CLAIM_OUTCOME_TAKEN only */
struct claim_result {
    enum claim_outcome outcome;
    struct name claimer;
    uint64_t incarnation;
    uint64_t digest;
    enum claim_purpose purpose;
};

struct claims *claims_new(const struct entry *e);
void claims_free(struct claims *c);

/** claims_begin() - starts an attempt to claim @key; the result is passed to
 * jobs_claim_result(), possibly before this returns */
void claims_begin(struct entry *e, const struct key_ref *key, uint64_t digest,
                  enum claim_purpose purpose, struct handle job);

/** claims_find() - looks up the claimer of @key without claiming it; result as
 * with claims_begin() */
void claims_find(struct entry *e, const struct key_ref *key,
                 struct handle job);

/** claims_release() - releases a won claim; allowed only before any start */
void claims_release(struct entry *e, const struct key_ref *key);

/** claims_on_message() - CLAIM, CLAIM_REPLY, CLAIM_RELEASE, CLAIM_FIND,
 * SYNC_REQUEST and SYNC_REPLY */
void claims_on_message(struct entry *e, struct name from, const struct msg *m);

/** claims_member_up() - @member came up, possibly as a new incarnation */
void claims_member_up(struct entry *e, struct name member);

void claims_tick(struct entry *e);
int64_t claims_next_us(const struct entry *e);
size_t claims_count(const struct entry *e);
size_t claims_bytes(const struct entry *e);

/** claims_lookup() - looks up the claimer in this voter's own records; false
 * if there is no record or it is contested */
bool claims_lookup(const struct entry *e, struct key_id id,
                   struct claim_result *out);

/** claims_voter_ready() - whether this instance is a voter of @zone and has
 * records of all its live claims */
bool claims_voter_ready(const struct entry *e, struct name zone);

#endif
