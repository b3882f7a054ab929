/**
 * DOC: lease - what is said between a broker and an upstream that runs tasks
 * under a lease
 *
 * A start is acknowledged at once; how a run ended is learned by looking.  All
 * that runs on an upstream does so until one deadline on the upstream's own
 * clock, which starts and looks move on; when it passes, everything there is
 * killed.  A fence (a rising number) makes the upstream deaf to whoever held
 * it before.
 */
#ifndef BM_LEASE_H
#define BM_LEASE_H

#include "base.h"
#include "blob.h"

/** struct task_ref - names a run of a task, at every broker and upstream
 * @job: the caller's number of the job
 * @group: which of its groups of tasks
 * @index: of the task in its group
 * @run: rises with each start of the task
 */
struct task_ref {
    uint64_t job;
    uint32_t group;
    uint32_t index;
    uint64_t run;
};

/** enum lease_call - what an upstream is asked for */
enum lease_call {
    LEASE_START, /* run this */
    LEASE_STOP,  /* don't run this, now or later */
    LEASE_POLL,  /* move the deadline on; tell what runs and what ended */
};

/** enum lease_result - what became of a call */
enum lease_result {
    LEASE_OK,
    LEASE_FENCED,    /* refused: it has seen a higher fence */
    LEASE_STALE_RUN, /* refused: a run as high was stopped or ended there */
    LEASE_DEADLINE_PASSED, /* refused: its deadline has passed there */
    LEASE_NO_CAPACITY,     /* refused: it does not fit */
    LEASE_UNHEALTHY,       /* refused: it says that it is not well */
    LEASE_WRONG_UPSTREAM,  /* refused: another upstream answers at this address
                            */
    LEASE_BAD_REQUEST,     /* refused: it can't read the call */
    LEASE_UNSENT,          /* no connection: it never heard of the call */
    LEASE_NO_ANSWER,       /* no answer: carried out, or not, or later */
};

/** lease_result_text() - in a few words, for logs */
const char *lease_result_text(enum lease_result r);

/** struct lease_running - a run that is there */
struct lease_running {
    struct task_ref task;
    uint32_t percent; /* of its work that is done */
};

/** enum lease_end - how a run ended */
enum lease_end {
    LEASE_END_DONE,
    LEASE_END_FAILED,
    LEASE_END_STOPPED,
    LEASE_END_EXPIRED, /* the deadline passed */
    LEASE_END_ABORTED, /* another reason that is not the task's own */
};

/** struct lease_ended - a run that ended; @number rises from 1 in each life */
struct lease_ended {
    uint64_t number;
    struct task_ref task;
    enum lease_end outcome;
};

/**
 * struct lease_answer - an upstream's answer
 * @result: of the call; without an answer the rest is zero
 * @clock_ms: the upstream's clock; 0 where it did not tell
 * @born_ms: its life; 0 where it did not tell
 * @running: of a look; owned
 * @ended: of a look: all that was not noted before, in order; owned
 */
struct lease_answer {
    enum lease_result result;
    int64_t clock_ms;
    uint64_t born_ms;
    struct lease_running *running;
    size_t n_running;
    struct lease_ended *ended;
    size_t n_ended;
};

/** lease_answer_clear() - frees the lists */
void lease_answer_clear(struct lease_answer *a);

/**
 * struct lease_request - a call
 * @kind: what for
 * @upstream: its name, so that another at its address refuses
 * @address: where it is
 * @fence: of the holder
 * @task: of a start or stop
 * @spec: of a start; owned reference
 * @deadline_ms: on the upstream's clock; 0 leaves the deadline as it is
 * @acked: of a look: ends up to this number need not be told again
 * @wait_ms: of a look: an answer without a new end may take so long
 * @timeout_us: without an answer by then it is LEASE_NO_ANSWER
 */
struct lease_request {
    enum lease_call kind;
    struct name upstream;
    struct address address;
    uint64_t fence;
    struct task_ref task;
    struct blob *spec;
    int64_t deadline_ms;
    uint64_t acked;
    int64_t wait_ms;
    int64_t timeout_us;
};

#endif
