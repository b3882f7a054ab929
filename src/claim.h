/**
 * DOC: claim - at most one claimer for a key, by a majority of its voters
 *
 * Both sides: the voter's records and the claimer's attempts.  A claim is won
 * with the grants of a majority of the home zone's voters.  Each reply carries
 * the voter's incarnation and the newest incarnations of the other voters that
 * it met; a grant from an incarnation that another reply has seen replaced
 * does not count, since the restarted voter may have forgotten it.
 */
#ifndef BM_CLAIM_H
#define BM_CLAIM_H

#include "entry_state.h"
#include "key.h"

enum claim_outcome {
    CLAIM_OUTCOME_WON,
    CLAIM_OUTCOME_TAKEN,       /* claimed by the instance named */
    CLAIM_OUTCOME_ABSENT,      /* find: a majority has no record */
    CLAIM_OUTCOME_UNAVAILABLE, /* no majority; released, never to be used */
    CLAIM_OUTCOME_TOO_OLD,
};

struct claim_result {
    enum claim_outcome outcome;
    struct name claimer;
    uint64_t incarnation;
    uint64_t digest;
    enum claim_purpose purpose;
};

struct claims *claims_new(const struct entry *e);
void claims_free(struct claims *c);

/** claims_begin() - starts an attempt; the result comes to
 * jobs_claim_result(), perhaps before this returns */
void claims_begin(struct entry *e, const struct key_ref *key, uint64_t digest,
                  enum claim_purpose purpose, struct handle job);

/** claims_find() - asks who has the key, without claiming it */
void claims_find(struct entry *e, const struct key_ref *key,
                 struct handle job);

/** claims_release() - gives a won claim up; only before any start */
void claims_release(struct entry *e, const struct key_ref *key);

/** claims_on_message() - CLAIM, CLAIM_REPLY, CLAIM_RELEASE, CLAIM_FIND,
 * SYNC_REQUEST and SYNC_REPLY */
void claims_on_message(struct entry *e, struct name from, const struct msg *m);

/** claims_member_up() - a member is up, perhaps in a new incarnation */
void claims_member_up(struct entry *e, struct name member);

void claims_tick(struct entry *e);
int64_t claims_next_us(const struct entry *e);
size_t claims_count(const struct entry *e);
size_t claims_bytes(const struct entry *e);

/** claims_lookup() - who has the key as far as this voter knows; false where
 * it has no record */
bool claims_lookup(const struct entry *e, struct key_id id,
                   struct claim_result *out);

/** claims_voter_ready() - whether this voter of @zone knows all live claims */
bool claims_voter_ready(const struct entry *e, struct name zone);

#endif
