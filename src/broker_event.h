/**
 * DOC: broker_event - the inputs of the broker reducer
 *
 * The pointers in an event are borrowed: they must stay valid for one
 * broker_step().
 */
#ifndef BM_BROKER_EVENT_H
#define BM_BROKER_EVENT_H

#include "lease.h"
#include "queueconf.h"
#include "usage.h"
#include "wire.h"

/* BROKER_EVENT(NAME, member of the union, what happened) */
/* clang-format off */
#define BROKER_EVENT_LIST(BROKER_EVENT)                                       \
    BROKER_EVENT(TICK, none, "time has passed")                               \
    BROKER_EVENT(SUBMIT, submit, "a caller submits a job")                    \
    BROKER_EVENT(CANCEL, cancel, "a caller cancels a job")                    \
    BROKER_EVENT(GONE, gone, "a caller disconnected")                         \
    BROKER_EVENT(CALLED, called, "a call to an upstream ended")               \
    BROKER_EVENT(MESSAGE, message, "a message from another process")          \
    BROKER_EVENT(PEER, peer, "a process was connected or disconnected")       \
    BROKER_EVENT(STOP, none, "a planned stop begins")                         \
    BROKER_EVENT(USAGE, usage, "the usage of this process was measured")
/* clang-format on */

enum broker_event_kind {
#define BROKER_EVENT(NAME, member, text) BEV_##NAME,
    BROKER_EVENT_LIST(BROKER_EVENT)
#undef BROKER_EVENT
        BROKER_EVENT_KINDS,
};

/**
 * struct bev_submit - a caller submits a job
 * @request: number that the answer carries
 * @id: the caller's number of the job
 * @queue: its queue, of the configuration in force
 * @spec: description of all tasks, passed to the upstreams unread
 * @groups: groups of tasks; a group depends only on earlier ones
 * @n_groups: 1 to TASK_GROUPS_MAX
 * @timeout_us: the caller waits this long for the answer; 0: not specified
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

/** struct bev_cancel - a caller cancels the job @id; the answer to the
 * cancellation carries @request */
struct bev_cancel {
    uint64_t request;
    uint64_t id;
};

/** struct bev_gone - the caller of @request disconnected before its answer */
struct bev_gone {
    uint64_t request;
};

/** struct bev_called - a call to an upstream ended; @call is be_call.call */
struct bev_called {
    uint64_t call;
    struct lease_answer answer;
};

/** struct bev_message - a message came from the process @from */
struct bev_message {
    struct name from;
    const struct msg *msg;
};

/** struct bev_peer - the connection to @peer was made, or lost if not @up */
struct bev_peer {
    struct name peer;
    bool up;
};

enum {
    TASK_GROUPS_MAX = 64,    /* of a job: dependencies are a 64-bit mask */
    BROKER_TASKS_MAX = 1024, /* of a job */
};

/**
 * struct broker_event - an input of broker_step()
 * @kind: selects the member of @u
 * @now: time of the event
 * @callers_known_us: monotonic time; all callers that disconnected before it
 *                    have been reported to the broker
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
        struct usage_sample usage;
    } u;
};

#endif
