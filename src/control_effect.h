/**
 * DOC: control_effect - outputs of control_step(), carried out by the caller
 *
 * Disk effects are carried out in order by a thread of their own.  CEV_SAVED
 * reports that all disk effects up to a CE_SYNC are durable; one fsync may
 * cover several CE_SYNC (group commit).  Effects own what they point to.
 */
#ifndef BM_CONTROL_EFFECT_H
#define BM_CONTROL_EFFECT_H

#include "base.h"
#include "wire.h"

/* CONTROL_EFFECT(NAME, member of the union, what to do) */
/* clang-format off */
#define CONTROL_EFFECT_LIST(CONTROL_EFFECT)                                   \
    CONTROL_EFFECT(APPEND, append, "disk: append entries to the log")         \
    CONTROL_EFFECT(TRUNCATE, truncate, "disk: truncate the log")              \
    CONTROL_EFFECT(SAVE_VOTE, vote, "disk: save term and vote")               \
    CONTROL_EFFECT(SNAPSHOT, snapshot, "disk: save a snapshot")               \
    CONTROL_EFFECT(SAVE_UPSTREAMS, upstreams, "disk: save known upstreams")   \
    CONTROL_EFFECT(SYNC, sync, "disk: sync, then report CEV_SAVED")           \
    CONTROL_EFFECT(SEND, send, "send a message to a process")                 \
    CONTROL_EFFECT(REPLY, reply, "answer an operator")                        \
    CONTROL_EFFECT(TEXT, text, "answer an operator with JSON text")           \
    CONTROL_EFFECT(MEMBERS, members, "the membership has changed")            \
    CONTROL_EFFECT(LOG, log, "log a decision")                                \
    CONTROL_EFFECT(STOPPED, none, "the planned shutdown is complete")
/* clang-format on */

enum control_effect_kind {
#define CONTROL_EFFECT(NAME, member, text) CE_##NAME,
    CONTROL_EFFECT_LIST(CONTROL_EFFECT)
#undef CONTROL_EFFECT
        CONTROL_EFFECT_KINDS,
};

/* Answers to operators: CONTROL_RESULT(NAME, status, slug, title). */
/* clang-format off */
#define CONTROL_RESULT_LIST(CONTROL_RESULT)                                   \
    CONTROL_RESULT(OK, 200, "ok", "Done")                                     \
    CONTROL_RESULT(NOT_LEADER, 307, "not-leader", "Another member leads")     \
    CONTROL_RESULT(NO_LEADER, 503, "no-leader", "No leader; nothing changed") \
    CONTROL_RESULT(STOPPING, 503, "stopping", "This member is stopping")      \
    CONTROL_RESULT(UNKNOWN, 503, "outcome-unknown",                           \
                   "May or may not be accepted; send it again")               \
    CONTROL_RESULT(TAKEN, 409, "base-version-taken",                          \
                   "Somebody else published from this base version")          \
    CONTROL_RESULT(BAD_PUBLICATION, 422, "bad-publication",                   \
                   "The publication is not valid")                            \
    CONTROL_RESULT(REUSED, 422, "request-id-reused",                          \
                   "The request id was used for other content")               \
    CONTROL_RESULT(NO_VERSION, 404, "unknown-version", "No such version")     \
    CONTROL_RESULT(NOT_KEPT, 410, "version-not-kept",                         \
                   "The text of this version is no longer kept")              \
    CONTROL_RESULT(IN_PROGRESS, 409, "change-in-progress",                    \
                   "The last change of members is not committed yet")         \
    CONTROL_RESULT(BAD_CHANGE, 422, "bad-change", "Not a possible change")    \
    CONTROL_RESULT(UNKNOWN_ZONE, 404, "unknown-zone", "No such zone")         \
    CONTROL_RESULT(NOT_JSON, 400, "not-json", "The body is not JSON")         \
    CONTROL_RESULT(TOO_LARGE, 413, "too-large", "The body is too large")      \
    CONTROL_RESULT(NOT_FOUND, 404, "not-found", "No such resource")           \
    CONTROL_RESULT(METHOD, 405, "method-not-allowed", "Method not allowed")   \
    CONTROL_RESULT(NOT_SIGNED, 401, "not-authenticated",                      \
                   "Not signed by an operator")                               \
    CONTROL_RESULT(STALE, 401, "stale-request",                               \
                   "The signature's time is off or its nonce was used")

enum control_result {
#define CONTROL_RESULT(NAME, status, slug, title) CONTROL_##NAME,
    CONTROL_RESULT_LIST(CONTROL_RESULT)
#undef CONTROL_RESULT
    CONTROL_RESULTS,
};

/* Reason codes of log lines: CONTROL_REASON(NAME, text). */
#define CONTROL_REASON_LIST(CONTROL_REASON)                                   \
    CONTROL_REASON(ELECTION, "election-started")                              \
    CONTROL_REASON(LEADING, "leader-elected")                                 \
    CONTROL_REASON(FOLLOWING, "leader-followed")                              \
    CONTROL_REASON(STEPPED_DOWN, "leader-stepped-down")                       \
    CONTROL_REASON(NO_QUORUM, "quorum-not-heard")                             \
    CONTROL_REASON(HIGHER_TERM, "member-with-higher-term")                    \
    CONTROL_REASON(PUBLISHED, "config-published")                             \
    CONTROL_REASON(REFUSED, "publication-refused")                            \
    CONTROL_REASON(MEMBERS, "members-changed")                                \
    CONTROL_REASON(PROMOTED, "learner-promoted")                              \
    CONTROL_REASON(OTHER_DISK, "member-with-other-disk")                      \
    CONTROL_REASON(FOUNDED, "founded-without-vote")                           \
    CONTROL_REASON(SNAPSHOT, "snapshot-made")                                 \
    CONTROL_REASON(INSTALLED, "snapshot-installed")                           \
    CONTROL_REASON(CUT, "log-tail-replaced")                                  \
    CONTROL_REASON(HANDED_OVER, "leadership-handed-over")                     \
    CONTROL_REASON(BAD_MESSAGE, "bad-message")                                \
    CONTROL_REASON(BAD_ENTRY, "bad-log-entry")                                \
    CONTROL_REASON(ENROLLED, "member-enrolled")                               \
    CONTROL_REASON(DISK_REPLACED, "member-disk-replaced")                     \
    CONTROL_REASON(REMOVED, "member-removed")                                 \
    CONTROL_REASON(JOINING, "asks-to-become-member")                          \
    CONTROL_REASON(EVACUATION_ASKED, "evacuation-requested")                  \
    CONTROL_REASON(EVACUATION, "evacuation-changed")                          \
    CONTROL_REASON(ALL_EVACUATED, "all-zones-evacuated")                      \
    CONTROL_REASON(STARTED, "member-started")                                 \
    CONTROL_REASON(STOPPING, "stopping")

enum control_reason {
#define CONTROL_REASON(NAME, text) CONTROL_REASON_##NAME,
    CONTROL_REASON_LIST(CONTROL_REASON)
#undef CONTROL_REASON
    CONTROL_REASONS,
};
/* clang-format on */

/** control_result_status() - the HTTP status */
int control_result_status(enum control_result r);

/** control_result_slug() - last part of the type URI of a problem document */
const char *control_result_slug(enum control_result r);

/** control_result_title() - human-readable summary, one line */
const char *control_result_title(enum control_result r);

/** control_reason_text() - the reason code as written to logs */
const char *control_reason_text(enum control_reason r);

struct ce_append {
    struct rec_log_entry *entries; /* owned, with a reference to each data */
    size_t n_entries;
};

struct ce_truncate {
    uint64_t index; /* first entry to remove */
};

struct ce_vote {
    uint64_t term;
    struct name vote;
};

struct ce_snapshot {
    uint64_t index;
    uint64_t term;
    struct blob *state; /* owned reference */
    bool discard;       /* also drop the log entries after @index */
};

/** struct ce_upstreams - known upstreams, a hint for the next start; nothing
 * waits for the write */
struct ce_upstreams {
    struct msg report; /* MSG_UPSTREAM_REPORT, owned */
};

struct ce_sync {
    uint64_t seq; /* returned in CEV_SAVED */
};

struct ce_send {
    struct name to;
    struct msg msg; /* owned */
};

/**
 * struct ce_reply - the answer to a publication, a change or a read of the
 * configuration
 * @request: number of the request
 * @result: outcome of the request
 * @detail: human-readable cause; may be empty
 * @leader: with CONTROL_NOT_LEADER: HTTP address of the leader
 * @version: the version in force
 * @resend: the request id was accepted before
 * @publication: the publication that was accepted or read, or with
 *               CONTROL_TAKEN the one accepted from the same base; its kind is
 *               MSG_PUBLICATION only if there is one; owned
 * @config: text of a read; owned reference
 */
struct ce_reply {
    uint64_t request;
    enum control_result result;
    char detail[DETAIL_SIZE];
    struct address leader;
    uint64_t version;
    bool resend;
    struct msg publication; /* MSG_PUBLICATION */
    struct blob *config;
};

struct ce_text {
    uint64_t request;
    char *json; /* owned */
};

struct ce_members {
    struct msg msg; /* MSG_MEMBERSHIP, owned */
};

struct ce_log {
    int severity; /* syslog level */
    enum control_reason reason;
    struct name subject; /* process concerned; may be empty */
    char detail[DETAIL_SIZE];
};

struct control_effect {
    enum control_effect_kind kind;
    union {
        char none;
        struct ce_append append;
        struct ce_truncate truncate;
        struct ce_vote vote;
        struct ce_snapshot snapshot;
        struct ce_upstreams upstreams;
        struct ce_sync sync;
        struct ce_send send;
        struct ce_reply reply;
        struct ce_text text;
        struct ce_members members;
        struct ce_log log;
    } u;
};

/** struct control_effects - growable list, reused in every step */
struct control_effects {
    struct control_effect *items;
    size_t n;
    size_t capacity;
};

/** control_effects_add() - appends a zeroed effect; the pointer is valid until
 * the next call.  Aborts the process when memory runs out. */
struct control_effect *control_effects_add(struct control_effects *fx,
                                           enum control_effect_kind kind);

/** control_effect_clear() - releases what one effect owns */
void control_effect_clear(struct control_effect *f);

/** control_effects_clear() - releases and empties the list */
void control_effects_clear(struct control_effects *fx);

/** control_effects_free() - releases the effects and the list */
void control_effects_free(struct control_effects *fx);

/** control_effect_is_disk() - whether the disk thread carries it out */
bool control_effect_is_disk(enum control_effect_kind kind);

#endif
