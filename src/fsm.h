/**
 * DOC: fsm - the replicated state machine
 *
 * Holds the history of publications, the texts of the newest versions, the
 * evacuated zones and the committed membership.  Applying the same entries
 * gives the same state on every member; a snapshot is this state, encoded. The
 * history also serves to detect duplicates: a publication that is sent again
 * is found by its request id.
 */
#ifndef BM_FSM_H
#define BM_FSM_H

#include "control_effect.h"
#include "evacuation.h"

enum {
    CONTROL_MEMBERS_MAX = 9,
    CONFIG_TEXT_MAX = 2 * 1024 * 1024, /* bytes of a configuration */
    REQUEST_ID_MAX = 64,               /* characters */
    RECOVERY_VERSION_GAP = 1000000,    /* versions skipped by a recovery */
};

/**
 * struct fsm_limits - how much history is kept
 * @publications: publications in the history; a resend is detected while its
 *                publication is in the history
 * @texts: texts of the newest versions, for reads and deltas
 * @text_bytes: total bytes of these texts; the newest text is always kept
 */
struct fsm_limits {
    uint32_t publications;
    uint32_t texts;
    size_t text_bytes;
};

struct fsm {
    struct fsm_limits limits;
    uint64_t version;                /* in force; 0: none yet */
    uint64_t rank;                   /* of the newest ranked publication */
    struct rec_publication *history; /* by version, ascending */
    size_t n_history;
    struct rec_config_text *texts; /* by version, ascending */
    size_t n_texts;
    size_t text_bytes; /* sum of the sizes of @texts */
    struct evacuation_set evacuated;
    struct rec_membership members; /* committed */
};

/**
 * struct fsm_outcome - outcome of a publication
 * @result: CONTROL_OK if accepted, now or before
 * @publication: the accepted publication, or with CONTROL_TAKEN the one
 * accepted from the same base version; NULL if there is none; not owned, valid
 * until the next change of the state
 * @resend: the publication was accepted before
 */
struct fsm_outcome {
    enum control_result result;
    const struct rec_publication *publication;
    bool resend;
};

void fsm_init(struct fsm *f, struct fsm_limits limits);
void fsm_free(struct fsm *f);

/** fsm_check_publish() - checks a publication against the applied state,
 * without changing it; CONTROL_OK without @resend means that it would be
 * accepted */
struct fsm_outcome fsm_check_publish(const struct fsm *f,
                                     const struct rec_publish *p);

/** fsm_publish() - applies a committed publication */
struct fsm_outcome fsm_publish(struct fsm *f, uint64_t index, uint64_t term,
                               const struct rec_publish *p);

/** fsm_evacuate() - applies a committed order; @resend is set in the outcome
 * if the zone already is as ordered.  CONTROL_BAD_CHANGE if too many zones are
 * evacuated. */
struct fsm_outcome fsm_evacuate(struct fsm *f,
                                const struct rec_evacuation_order *order);

/** fsm_set_members() - applies a committed change; copies @m */
void fsm_set_members(struct fsm *f, const struct rec_membership *m);

/** fsm_recover() - republishes the newest text under a version that is higher
 * by RECOVERY_VERSION_GAP, raises the revision of the evacuated zones by as
 * much, and drops the history
 *
 * Versions above the newest one known here may be in force at entry instances,
 * and these apply only higher versions. */
void fsm_recover(struct fsm *f, uint64_t index, uint64_t term,
                 uint64_t time_us);

/** fsm_publication() - the publication of a version, or NULL if not kept */
const struct rec_publication *fsm_publication(const struct fsm *f,
                                              uint64_t version);

/** fsm_version_text() - the text of a version, or NULL if it is not kept; no
 * reference is taken */
struct blob *fsm_version_text(const struct fsm *f, uint64_t version);

/** fsm_encode() - encodes the state as the snapshot at @index; the caller owns
 * the reference */
struct blob *fsm_encode(const struct fsm *f, uint64_t index, uint64_t term);

/** fsm_decode() - replaces the state with that of a snapshot; returns false
 * and changes nothing when the snapshot is invalid */
bool fsm_decode(struct fsm *f, const struct blob *state, uint64_t *index,
                uint64_t *term);

/** fsm_bytes() - estimated memory use, in bytes */
size_t fsm_bytes(const struct fsm *f);

/** membership_copy() - deep copy, to be freed with membership_free() */
struct rec_membership membership_copy(const struct rec_membership *m);
void membership_free(struct rec_membership *m);

#endif
