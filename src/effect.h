/**
 * DOC: effect - outputs of an entry instance
 *
 * A step appends effects; the caller of entry_step() executes them in that
 * order.  An effect owns the memory it points to until effects_clear().
 */
#ifndef BM_EFFECT_H
#define BM_EFFECT_H

#include "base.h"
#include "job.h"
#include "kind.h"
#include "wire.h"

/* EFFECT(NAME, member of the union, what to do) */
/* clang-format off */
#define EFFECT_LIST(EFFECT)                                                   \
    EFFECT(ANSWER, answer, "give a caller the whole answer")                  \
    EFFECT(ACCEPTED, accepted, "reply that a job was accepted")               \
    EFFECT(PROBLEM, problem, "refuse a request")                              \
    EFFECT(KEYS, keys, "give a caller a block of keys")                       \
    EFFECT(ANNOUNCED, announced, "answer an upstream's announcement")         \
    EFFECT(TEXT, text, "answer an operator with JSON text")                   \
    EFFECT(START, start, "start a task on an upstream")                       \
    EFFECT(REVOKE, revoke, "revoke a task or query its outcome")              \
    EFFECT(FENCE, fence, "take over an upstream under a new epoch")           \
    EFFECT(SEND, send, "send a message to an instance")                       \
    EFFECT(LOG, log, "log a decision")                                        \
    EFFECT(STOPPED, none, "report that no work is in progress")
/* clang-format on */

enum effect_kind {
#define EFFECT(NAME, member, text) EF_##NAME,
    EFFECT_LIST(EFFECT)
#undef EFFECT
        EFFECT_KINDS,
};

struct ef_answer {
    uint64_t request;
    struct job_answer *answer; /* owned */
};

struct ef_accepted {
    uint64_t request;
};

struct ef_problem {
    uint64_t request;
    enum problem problem;
    char detail[DETAIL_SIZE];
    int64_t retry_after_us;       /* 0: no Retry-After */
    bool not_run;                 /* no task was ever started under the key */
    bool request_started_nothing; /* no task was started for this request */
};

struct ef_keys {
    uint64_t request;
    char (*keys)[KEY_TEXT_SIZE]; /* owned array */
    size_t n_keys;
};

struct ef_announced {
    uint64_t request;
    int64_t renew_us;   /* announce again within this time */
    struct name holder; /* empty if there is none */
};

struct ef_text {
    uint64_t request;
    char *json; /* owned */
};

struct ef_start {
    uint64_t call; /* returned in EV_TASK_ENDED */
    struct name upstream;
    struct address address;
    uint64_t incarnation;
    uint64_t epoch;
    struct key_id key;
    uint32_t index;             /* of the task in its job */
    struct blob *payload;       /* owned reference */
    int64_t silence_timeout_us; /* time without an answer until START_LOST */
};

struct ef_revoke {
    uint64_t call; /* returned in EV_TASK_REVOKED */
    struct name upstream;
    struct address address;
    uint64_t incarnation;
    struct key_id key;
    uint32_t index;
};

struct ef_fence {
    uint64_t call; /* returned in EV_FENCED */
    struct name upstream;
    struct address address;
    uint64_t incarnation;
    uint64_t epoch;
};

struct ef_send {
    struct name to;
    struct msg msg; /* owned */
};

struct ef_log {
    int severity; /* syslog level */
    enum reason reason;
    struct key_id key;   /* zero if the line is not about a job */
    int32_t index;       /* of the task, or -1 */
    struct name subject; /* upstream or instance; may be empty */
    char detail[DETAIL_SIZE];
};

struct effect {
    enum effect_kind kind;
    union {
        char none;
        struct ef_answer answer;
        struct ef_accepted accepted;
        struct ef_problem problem;
        struct ef_keys keys;
        struct ef_announced announced;
        struct ef_text text;
        struct ef_start start;
        struct ef_revoke revoke;
        struct ef_fence fence;
        struct ef_send send;
        struct ef_log log;
    } u;
};

/** struct effects - growable list of effects, reused between steps */
struct effects {
    struct effect *items;
    size_t n;
    size_t capacity;
};

/** effects_add() - appends a zeroed effect and returns it; the pointer is
 * valid until the next call.  Aborts if out of memory, since a dropped effect
 * could be a dropped answer. */
struct effect *effects_add(struct effects *fx, enum effect_kind kind);

/** effects_clear() - frees the memory owned by the effects and empties the
 * list */
void effects_clear(struct effects *fx);

/** effects_free() - effects_clear(), and frees the list */
void effects_free(struct effects *fx);

/** effect_name() - name of an effect kind, for traces */
const char *effect_name(enum effect_kind kind);

#endif
