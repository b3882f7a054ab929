/**
 * DOC: broker_event - everything that can happen to a broker
 *
 * An event lends its pointers for the length of one step.  Each carries the
 * time.
 */
#ifndef BM_BROKER_EVENT_H
#define BM_BROKER_EVENT_H

#include "lease.h"
#include "queueconf.h"
#include "wire.h"

/* BROKER_EVENT(NAME, member of the union, what happened) */
/* clang-format off */
#define BROKER_EVENT_LIST(BROKER_EVENT)                                       \
    BROKER_EVENT(TICK, none, "time has passed")                               \
    BROKER_EVENT(SUBMIT, submit, "a caller hands a job in")                   \
    BROKER_EVENT(CANCEL, cancel, "a caller cancels a job")                    \
    BROKER_EVENT(GONE, gone, "a caller has left")                             \
    BROKER_EVENT(CALLED, called, "a call to an upstream came to an end")      \
    BROKER_EVENT(MESSAGE, message, "a message from another process")          \
    BROKER_EVENT(PEER, peer, "the connection to a process came or went")      \
    BROKER_EVENT(STOP, none, "a planned stop begins")
/* clang-format on */

enum broker_event_kind {
#define BROKER_EVENT(NAME, member, text) BEV_##NAME,
    BROKER_EVENT_LIST(BROKER_EVENT)
#undef BROKER_EVENT
        BROKER_EVENT_KINDS,
};

/**
 * struct bev_submit - a caller's job
 * @request: number that the answer carries
 * @id: the caller's number of the job
 * @queue: it goes to, of the configuration in force
 * @spec: of all its tasks
 * @groups: its tasks, steps in order
 * @n_groups: 1 to TASK_GROUPS_MAX
 * @timeout_us: the caller waits so long; 0 where it did not tell
 */
struct bev_submit {
    uint64_t request;
    uint64_t id;
    const struct queue_conf *queue;
    struct blob *spec;
    const struct rec_task_group *groups;
    size_t n_groups;
    int64_t timeout_us;
};

/** struct bev_cancel - @request is answered; @id is the job's */
struct bev_cancel {
    uint64_t request;
    uint64_t id;
};

struct bev_gone {
    uint64_t request;
};

struct bev_called {
    uint64_t call; /* number from the effect */
    struct lease_answer answer;
};

struct bev_message {
    struct name from;
    const struct msg *msg;
};

struct bev_peer {
    struct name peer;
    bool up;
};

enum {
    TASK_GROUPS_MAX = 64,    /* of a job: they fit into one word of bits */
    BROKER_TASKS_MAX = 1024, /* of a job */
};

/**
 * struct broker_event - what happens
 * @kind: which of @u
 * @now: when
 * @callers_known_us: monotonic time; of all callers that left before it the
 * broker has been told
 */
struct broker_event {
    enum broker_event_kind kind;
    struct moment now;
    int64_t callers_known_us;
    union {
        char none;
        struct bev_submit submit;
        struct bev_cancel cancel;
        struct bev_gone gone;
        struct bev_called called;
        struct bev_message message;
        struct bev_peer peer;
    } u;
};

#endif
