/**
 * DOC: lease - calls of a broker to an upstream that runs tasks under a lease,
 * and their answers
 *
 * A start is acknowledged at once; the end of a run is returned by a poll.  An
 * upstream has one lease, a deadline on its own clock, which starts and polls
 * extend; when it passes, the upstream kills all runs.  Each call carries a
 * fence, a rising number; an upstream refuses calls with a lower fence than it
 * has seen, so those of an earlier holder.
 */
#ifndef BM_LEASE_H
#define BM_LEASE_H

#include "base.h"
#include "blob.h"

/** struct run_ref - identifies a run of a task at all brokers and upstreams
 * @job: the caller's number of the job
 * @group: index of the task's group in the job
 * @index: of the task in its group
 * @run: rises with each start of the task
 */
struct run_ref {
    uint64_t job;
    uint32_t group;
    uint32_t index;
    uint64_t run;
};

/** enum lease_call - kinds of calls to an upstream */
enum lease_call {
    LEASE_START, /* run the task */
    LEASE_STOP,  /* end the run, and refuse to start it later */
    LEASE_POLL,  /* extend the lease; list current runs and ended ones */
};

/** enum lease_result - outcome of a call */
enum lease_result {
    LEASE_OK,
    LEASE_FENCED,    /* refused: the upstream has seen a higher fence */
    LEASE_STALE_RUN, /* refused: this run or a later one was stopped or ended
                      * there */
    LEASE_DEADLINE_PASSED, /* refused: the deadline has passed there */
    LEASE_NO_CAPACITY,     /* refused: not enough free capacity */
    LEASE_UNHEALTHY,       /* refused: the upstream reports itself unhealthy */
    LEASE_WRONG_UPSTREAM,  /* refused: another upstream answers at the address
                            */
    LEASE_BAD_REQUEST,     /* refused: the call can't be decoded */
    LEASE_NOT_SENT,        /* no connection: the call was not sent */
    LEASE_NO_ANSWER, /* no answer: may have been or still be carried out */
};

/** lease_result_text() - short text for logs */
const char *lease_result_text(enum lease_result r);

/** struct lease_running - a current run of an upstream */
struct lease_running {
    struct run_ref task;
    uint32_t percent; /* progress */
};

/** enum lease_end - how a run ended */
enum lease_end {
    LEASE_END_DONE,
    LEASE_END_FAILED,
    LEASE_END_STOPPED,
    LEASE_END_EXPIRED, /* the lease expired */
    LEASE_END_ABORTED, /* another cause that is not the task's fault */
};

/** struct lease_ended - a run that ended; @number counts the ends of an
 * incarnation of the upstream, from 1 */
struct lease_ended {
    uint64_t number;
    struct run_ref task;
    enum lease_end outcome;
};

/**
 * struct lease_answer - an upstream's answer
 * @result: of the call; without an answer the other fields are zero
 * @clock_ms: the upstream's clock; 0 where the answer has none
 * @born_ms: the upstream's incarnation; 0 where the answer has none
 * @running: of a poll: the current runs; owned
 * @ended: of a poll: the ends not acknowledged before, in order; owned
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
 * @kind: decides which of the other fields are used
 * @upstream: name of the upstream; another one at the address refuses the call
 * @address: of the upstream
 * @fence: of the holder
 * @task: of a start or stop
 * @spec: of a start; owned reference
 * @deadline_ms: the lease, on the upstream's clock; 0 does not change it
 * @acked: of a poll: acknowledges the ends up to this number, which are not
 *         listed again
 * @wait_ms: of a poll: the upstream answers when a run ends, or this time has
 *           passed
 * @timeout_us: for the answer; after it the result is LEASE_NO_ANSWER
 */
struct lease_request {
    enum lease_call kind;
    struct name upstream;
    struct address address;
    uint64_t fence;
    struct run_ref task;
    struct blob *spec;
    int64_t deadline_ms;
    uint64_t acked;
    int64_t wait_ms;
    int64_t timeout_us;
};

#endif
