/**
 * DOC: broker_effect - the outputs of the broker reducer
 *
 * The runtime carries effects out in order.  An effect owns the data that it
 * points to.
 */
#ifndef BM_BROKER_EFFECT_H
#define BM_BROKER_EFFECT_H

#include "lease.h"
#include "wire.h"

/* BROKER_EFFECT(NAME, member of the union, description) */
/* clang-format off */
#define BROKER_EFFECT_LIST(BROKER_EFFECT)                                     \
    BROKER_EFFECT(ANSWER, answer, "answer a caller")                          \
    BROKER_EFFECT(CALL, call, "call an upstream")                             \
    BROKER_EFFECT(SEND, send, "send a message to a process")                  \
    BROKER_EFFECT(CONNECT, connect, "keep a process connected")               \
    BROKER_EFFECT(FORGET, connect, "disconnect from a process")               \
    BROKER_EFFECT(LOG, log, "log a decision")                                 \
    BROKER_EFFECT(STOPPED, none, "the planned stop is complete")

enum broker_effect_kind {
#define BROKER_EFFECT(NAME, member, text) BE_##NAME,
    BROKER_EFFECT_LIST(BROKER_EFFECT)
#undef BROKER_EFFECT
    BROKER_EFFECT_KINDS,
};

/* Outcomes of jobs: JOB_OUTCOME(NAME, text in logs and metrics). */
#define JOB_OUTCOME_LIST(JOB_OUTCOME)                                         \
    JOB_OUTCOME(COMPLETED, "completed")                                       \
    JOB_OUTCOME(FAILED, "failed")                                             \
    JOB_OUTCOME(CANCELLED, "cancelled")                                       \
    JOB_OUTCOME(REFUSED, "refused")   /* no task ran, or will run */          \
    JOB_OUTCOME(RETURNED, "returned") /* the same; offer it elsewhere */      \
    JOB_OUTCOME(EXPIRED, "expired")   /* not ended by its deadline */         \
    JOB_OUTCOME(LOST, "lost")         /* unknown which tasks ran */

enum job_outcome {
#define JOB_OUTCOME(NAME, text) JOB_##NAME##_OUTCOME,
    JOB_OUTCOME_LIST(JOB_OUTCOME)
#undef JOB_OUTCOME
    JOB_OUTCOMES,
};

/* Reasons of decisions: BROKER_REASON(NAME, text in logs, explanation in
 * docs/OPERATIONS.md). */
#define BROKER_REASON_LIST(BROKER_REASON)                                     \
    BROKER_REASON(NONE, "none", "no reason was needed")                       \
    BROKER_REASON(TAKEN, "job-taken", "a caller's job was taken")             \
    BROKER_REASON(OFFERED, "job-offered", "it was offered to a runner")       \
    BROKER_REASON(ACCEPTED, "job-accepted", "taken to run here")              \
    BROKER_REASON(ANSWERED, "job-answered", "the caller got its answer")      \
    BROKER_REASON(ENDED, "job-ended", "all its tasks came to an end")         \
    BROKER_REASON(TASK_FAILED, "attempts-spent",                              \
                  "a task failed as often as it may")                         \
    BROKER_REASON(NO_CONFIG, "no-configuration", "there is none yet")         \
    BROKER_REASON(NO_RUNNER, "no-runner", "no broker with upstreams is known") \
    BROKER_REASON(NEVER_FITS, "never-fits", "no upstream has that much")      \
    BROKER_REASON(TOO_LATE, "cannot-be-in-time",                              \
                  "the work before it leaves no time for it")                 \
    BROKER_REASON(QUEUE_FULL, "queue-full", "too many tasks wait here")       \
    BROKER_REASON(STOPPING, "stopping", "this instance is stopping")          \
    BROKER_REASON(EVACUATED, "zone-evacuated",                                \
                  "no task is started in this zone")                          \
    BROKER_REASON(CALLER_LEFT, "caller-left", "nobody waits for it any more") \
    BROKER_REASON(CANCELLED, "cancelled", "its caller cancelled it")          \
    BROKER_REASON(DEADLINE, "deadline-passed", "its caller waits no longer")  \
    BROKER_REASON(RUNNER_LOST, "runner-lost",                                 \
                  "the connection to its runner is gone")                     \
    BROKER_REASON(TAKER_LOST, "taker-lost",                                   \
                  "the connection to the broker that took it is gone")        \
    BROKER_REASON(NOT_RENEWED, "not-renewed",                                 \
                  "its taker did not confirm it for a lease")                 \
    BROKER_REASON(HANDED_IN_AGAIN, "handed-in-again",                         \
                  "it came again while the first was here")                   \
    BROKER_REASON(SETTLED, "job-settled",                                     \
                  "nothing of an ended job is at an upstream any more")       \
    BROKER_REASON(STARTED, "task-started", "a start was sent")                \
    BROKER_REASON(START_REFUSED, "start-refused", "the upstream refused it")  \
    BROKER_REASON(START_LOST, "start-lost", "a start was not answered")       \
    BROKER_REASON(RUN_ENDED, "run-ended", "a run came to an end")             \
    BROKER_REASON(RUN_SETTLED, "run-settled",                                 \
                  "a start without answer is known not to run")               \
    BROKER_REASON(RUN_STALLED, "run-stalled", "a run stood still")            \
    BROKER_REASON(RUN_LAPSED, "run-lapsed", "its lease has passed")           \
    BROKER_REASON(STRANGER, "stranger-stopped",                               \
                  "a run that nobody here started was stopped")               \
    BROKER_REASON(UPSTREAM_SEEN, "upstream-seen", "a registry told of it")    \
    BROKER_REASON(UPSTREAM_LEAVING, "upstream-leaving", "it takes no work")   \
    BROKER_REASON(UPSTREAM_GONE, "upstream-gone", "it said goodbye")          \
    BROKER_REASON(UPSTREAM_REBORN, "upstream-reborn",                         \
                  "it started anew; what ran there is over")                  \
    BROKER_REASON(UPSTREAM_TAKEN, "upstream-taken", "it is held here now")    \
    BROKER_REASON(UPSTREAM_OPEN, "upstream-open", "it takes work from here")  \
    BROKER_REASON(UPSTREAM_RELEASED, "upstream-released",                     \
                  "another broker may hold it")                               \
    BROKER_REASON(UPSTREAM_FENCED, "upstream-fenced",                         \
                  "another broker has taken it over")                         \
    BROKER_REASON(UPSTREAM_MUTE, "upstream-mute", "it stopped answering")     \
    BROKER_REASON(UPSTREAM_BACK, "upstream-back", "it answers again")         \
    BROKER_REASON(QUARANTINED, "upstream-quarantined",                        \
                  "it fails what it is given")                                \
    BROKER_REASON(RESTORED, "upstream-restored", "it works again")            \
    BROKER_REASON(PEER_UP, "peer-up", "a connection is there")                \
    BROKER_REASON(PEER_DOWN, "peer-down", "a connection is gone")             \
    BROKER_REASON(PEER_STOPPING, "peer-stopping", "a broker is stopping")     \
    BROKER_REASON(CONFIG_APPLIED, "config-applied", "it is in force here")    \
    BROKER_REASON(CONFIG_IGNORED, "config-not-newer", "it changes nothing")   \
    BROKER_REASON(CONFIG_BAD, "config-unreadable", "it can't be in force")    \
    BROKER_REASON(CONFIG_LATE, "config-fetch-late",                           \
                  "a registry did not send it; another one is asked")         \
    BROKER_REASON(PAUSED, "process-was-paused", "nothing is held any more")   \
    BROKER_REASON(LINGERS, "stop-lingers",                                    \
                  "it stops, but goes on running jobs: nobody takes over")    \
    BROKER_REASON(LINGERED, "stop-goes-on", "it runs no further jobs")        \
    BROKER_REASON(EVACUATION_KNOWN, "evacuated-zones",                        \
                  "a change of the evacuated zones is in force here")         \
    BROKER_REASON(EVACUATION_BEGUN, "evacuation-begun",                       \
                  "this zone is evacuated from now on")                       \
    BROKER_REASON(EVACUATION_ENDED, "evacuation-ended",                       \
                  "this zone takes work again")                               \
    BROKER_REASON(STOP_BEGUN, "stop-begun", "a planned stop began")           \
    BROKER_REASON(HOLDERS_PLANNED, "holders-planned",                         \
                  "the capacity of brokers changed who holds upstreams")

enum broker_reason {
#define BROKER_REASON(NAME, text, help) BROKER_##NAME,
    BROKER_REASON_LIST(BROKER_REASON)
#undef BROKER_REASON
    BROKER_REASONS,
};
/* clang-format on */

/** broker_reason_text() - the text in logs */
const char *broker_reason_text(enum broker_reason r);

/** job_outcome_text() - the text in logs and metrics */
const char *job_outcome_text(enum job_outcome o);

/**
 * struct be_answer - answers a caller
 * @request: number of the caller's request
 * @outcome: of the job
 * @reason: of @outcome
 * @retry_after_us: for a refusal: the caller should not retry sooner; 0: no
 *                  advice
 * @unknown: for a cancellation: no such job here
 */
struct be_answer {
    uint64_t request;
    enum job_outcome outcome;
    enum broker_reason reason;
    int64_t retry_after_us;
    bool unknown;
};

/** struct be_call - calls an upstream; @call identifies it in BEV_CALLED */
struct be_call {
    uint64_t call;
    struct lease_request request;
};

/** struct be_send - sends a message to the process @to */
struct be_send {
    struct name to;
    struct msg msg; /* owned */
};

/** struct be_connect - connects to a process, or, without @address,
 * disconnects from it */
struct be_connect {
    struct name name;
    struct address address;
};

/**
 * struct be_log - logs one decision
 * @severity: of syslog
 * @job: the caller's number of the job; 0 if the line is not about a job
 * @task: number of the task in its job; -1 if the line is not about a task
 * @subject: upstream or process; may be empty
 * @detail: the inputs of the decision
 */
struct be_log {
    int severity;
    enum broker_reason reason;
    uint64_t job;
    int32_t task;
    struct name subject;
    char detail[DETAIL_SIZE];
};

struct broker_effect {
    enum broker_effect_kind kind;
    union {
        char none;
        struct be_answer answer;
        struct be_call call;
        struct be_send send;
        struct be_connect connect;
        struct be_log log;
    } u;
};

/** struct broker_effects - a growing list, reused by each step; @capacity is
 * the allocated length of @items */
struct broker_effects {
    struct broker_effect *items;
    size_t n;
    size_t capacity;
};

/** broker_effects_add() - appends a zeroed effect; the pointer is valid until
 * the next call.  Aborts when out of memory. */
struct broker_effect *broker_effects_add(struct broker_effects *fx,
                                         enum broker_effect_kind kind);

/** broker_effects_clear() - frees the data of the effects and empties the
 * list, but keeps its memory */
void broker_effects_clear(struct broker_effects *fx);

/** broker_effects_free() - broker_effects_clear(), then frees the list */
void broker_effects_free(struct broker_effects *fx);

#endif
