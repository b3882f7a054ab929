/**
 * DOC: fsm - the replicated state that committed entries make
 *
 * The history of publications, the texts of the last versions and the members.
 * The same entries give the same state on every member, and a snapshot is this
 * state.  The history is also the table of request ids: a publication that is
 * sent again finds itself there.
 */
#ifndef BM_FSM_H
#define BM_FSM_H

#include "control_effect.h"

enum {
    CONTROL_MEMBERS_MAX = 9,
    CONFIG_TEXT_MAX = 2 * 1024 * 1024, /* bytes of a configuration */
    REQUEST_ID_MAX = 64,               /* characters */
    RECOVERY_VERSION_GAP = 1000000,    /* versions left out by a recovery */
};

/**
 * struct fsm_limits - what is kept
 * @publications: in the history; their request ids are known as long
 * @texts: texts of the last versions, for reading and for diffs
 * @text_bytes: and how many bytes of them; the newest is always kept
 */
struct fsm_limits {
    uint32_t publications;
    uint32_t texts;
    size_t text_bytes;
};

struct fsm {
    struct fsm_limits limits;
    uint64_t version;                /* in force; 0 before the first */
    uint64_t rank;                   /* of the newest ranked publication */
    struct rec_publication *history; /* by version, the newest last */
    size_t n_history;
    struct rec_config_text *texts; /* by version, the newest last */
    size_t n_texts;
    size_t text_bytes;
    struct rec_membership members; /* as committed */
};

/** struct fsm_outcome - what became of a publication */
struct fsm_outcome {
    enum control_result result;
    const struct rec_publication
        *publication; /* it, or who took the base; or NULL */
    bool resend;
};

void fsm_init(struct fsm *f, struct fsm_limits limits);
void fsm_free(struct fsm *f);

/** fsm_check_publish() - what becomes of a publication, as far as it is
 * settled: OK with @of NULL means that it would be accepted now */
struct fsm_outcome fsm_check_publish(const struct fsm *f,
                                     const struct rec_publish *p);

/** fsm_publish() - applies a committed publication */
struct fsm_outcome fsm_publish(struct fsm *f, uint64_t index, uint64_t term,
                               const struct rec_publish *p);

/** fsm_set_members() - applies a committed change; copies @m */
void fsm_set_members(struct fsm *f, const struct rec_membership *m);

/** fsm_recover() - what is here becomes a new version far above the last one
 * known here, since later ones may be in force somewhere; the history before
 * it is given up */
void fsm_recover(struct fsm *f, uint64_t index, uint64_t term,
                 uint64_t time_us);

/** fsm_publication() - the publication of that version, or NULL */
const struct rec_publication *fsm_publication(const struct fsm *f,
                                              uint64_t version);

/** fsm_version_text() - text of that version, or NULL when it is not kept */
struct blob *fsm_version_text(const struct fsm *f, uint64_t version);

/** fsm_encode() - the state at that position as a snapshot */
struct blob *fsm_encode(const struct fsm *f, uint64_t index, uint64_t term);

/** fsm_decode() - replaces the state by that of a snapshot; false, and no
 * change, when it is not one */
bool fsm_decode(struct fsm *f, const struct blob *state, uint64_t *index,
                uint64_t *term);

/** fsm_bytes() - memory held, estimated */
size_t fsm_bytes(const struct fsm *f);

/** membership_copy() - to be freed with membership_free() */
struct rec_membership membership_copy(const struct rec_membership *m);
void membership_free(struct rec_membership *m);

#endif
