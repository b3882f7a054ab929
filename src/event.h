/**
 * DOC: event - inputs of an entry instance
 *
 * The pointers in an event are borrowed and valid for one step only; the
 * reducer copies or references what it keeps.  Each event carries the current
 * time.
 */
#ifndef BM_EVENT_H
#define BM_EVENT_H

#include "base.h"
#include "job.h"
#include "kind.h"
#include "service.h"
#include "wire.h"

/* EVENT(NAME, member of the union, what happened) */
/* clang-format off */
#define EVENT_LIST(EVENT)                                                     \
    EVENT(TICK, none, "time has passed")                                      \
    EVENT(CONFIG, config, "a configuration arrived")                          \
    EVENT(SUBMIT, submit, "a caller submits a job")                           \
    EVENT(JOB_GET, query, "a caller queries a job")                           \
    EVENT(JOB_CANCEL, query, "a caller cancels a job")                        \
    EVENT(CALLER_GONE, query, "a caller closed its request")                  \
    EVENT(MINT, mint, "a caller requests a block of keys")                    \
    EVENT(ANNOUNCE, announce, "an upstream announces itself")                 \
    EVENT(LEAVE, announce, "an upstream is leaving")                          \
    EVENT(FENCED, fenced, "an upstream answered a fence")                     \
    EVENT(TASK_ENDED, ended, "a start ended")                                 \
    EVENT(TASK_REVOKED, revoked, "an upstream answered a revoke")             \
    EVENT(MESSAGE, message, "a message from another instance")                \
    EVENT(PEER_UP, peer, "a connection to an instance is open")               \
    EVENT(PEER_DOWN, peer, "the connection to an instance is closed")         \
    EVENT(DRAIN, drain, "an operator drains an upstream")                     \
    EVENT(EXPLAIN, query, "an operator queries the decisions on a key")       \
    EVENT(DUMP, query, "an operator queries the whole state")                 \
    EVENT(STOP, none, "a planned stop begins")
/* clang-format on */

enum event_kind {
#define EVENT(NAME, member, text) EV_##NAME,
    EVENT_LIST(EVENT)
#undef EVENT
        EVENT_KINDS,
};

/** No request; other values identify an HTTP request to be answered */
#define REQUEST_NONE UINT64_C(0)

struct ev_submit {
    uint64_t request;
    const char *key; /* text of the Idempotency-Key */
    const struct job_spec *spec;
    bool respond_async; /* Prefer: respond-async */
};

struct ev_query {
    uint64_t request;
    const char *key; /* NULL for CALLER_GONE and DUMP */
    bool wait;       /* JOB_GET: wait for the end of the job */
};

struct ev_mint {
    uint64_t request;
    uint32_t count; /* 1 to 1000 */
};

struct ev_announce {
    uint64_t request;
    struct rec_upstream_info info; /* LEAVE reads name and incarnation */
};

struct ev_fenced {
    uint64_t call; /* number from the effect EF_FENCE */
    enum fence_outcome outcome;
    uint64_t epoch;   /* highest epoch known to the upstream */
    uint32_t running; /* tasks that the upstream runs */
};

struct ev_ended {
    uint64_t call;
    enum start_outcome outcome;
    bool ok;
    struct blob *result;
    int64_t ran_us; /* run time reported by the upstream; 0: not reported */
};

struct ev_revoked {
    uint64_t call;
    enum revoke_outcome outcome;
    bool ok;
    struct blob *result;
};

struct ev_message {
    struct name from;
    const struct msg *msg;
};

struct ev_peer {
    struct name peer;
};

struct ev_drain {
    uint64_t request;
    struct name upstream;
};

struct event {
    enum event_kind kind;
    struct moment now;
    union {
        char none;
        const struct config *config;
        struct ev_submit submit;
        struct ev_query query;
        struct ev_mint mint;
        struct ev_announce announce;
        struct ev_fenced fenced;
        struct ev_ended ended;
        struct ev_revoked revoked;
        struct ev_message message;
        struct ev_peer peer;
        struct ev_drain drain;
    } u;
};

/** event_name() - name of an event kind, for traces */
const char *event_name(enum event_kind kind);

#endif
