/**
 * DOC: submit - what a caller does after each attempt to reach the dispatcher
 *
 * Pure decisions: no clock, no I/O, randomness comes in.  A caller keeps one
 * key for a job and sends it again, to the next instance, until it has an
 * answer or gives up; the key makes that safe.
 */
#ifndef BM_SUBMIT_H
#define BM_SUBMIT_H

#include "fetch.h"

/** enum submit_end - what a caller knows in the end */
enum submit_end {
    SUBMIT_COMPLETE, /* the whole answer */
    SUBMIT_FAILED,   /* an answer that says failed, with each task's state */
    SUBMIT_NOT_RUN,  /* a fact: nothing under the key ever started */
    SUBMIT_REFUSED,  /* these requests started nothing; of earlier ones under
                        the key it says nothing */
    SUBMIT_UNKNOWN,  /* given up, and some of it may have been started */
    SUBMIT_RUNNING,  /* asked without waiting: not yet ended */
};

/** enum submit_word - what a reply says of starts */
enum submit_word {
    SUBMIT_SAYS_NOTHING,
    SUBMIT_SAYS_NOT_RUN,     /* "started": "not_run" */
    SUBMIT_SAYS_NOT_BY_THIS, /* "started": "none_by_this_request" */
    SUBMIT_SAYS_COMPLETE,    /* "status": "complete" */
    SUBMIT_SAYS_FAILED,      /* "status": "failed" */
    SUBMIT_SAYS_RUNNING,     /* "status": "running", or 202 */
};

/** struct submit_options - bounds on one job's attempts */
struct submit_options {
    uint32_t attempts_max;
    int64_t backoff_us; /* before the second attempt */
    int64_t
        backoff_max_us; /* the longest pause; a longer Retry-After ends it */
};

/** struct submit_state - zeroed before the first attempt */
struct submit_state {
    uint32_t attempts;
    bool maybe_started; /* an attempt ended without saying what it did */
};

/** struct submit_step - what comes next */
struct submit_step {
    bool again;
    int64_t wait_us;     /* before the next attempt */
    enum submit_end end; /* where there is none */
};

/** submit_options_default() - seven attempts within about ten seconds */
struct submit_options submit_options_default(void);

/** submit_read() - what a reply says, from its status and body */
enum submit_word submit_read(const struct fetch_reply *reply);

/** submit_next() - decides after an attempt; @random is in [0, 1) */
struct submit_step submit_next(const struct submit_options *o,
                               struct submit_state *state,
                               const struct fetch_reply *reply, double random);

/** submit_end_text() - for people */
const char *submit_end_text(enum submit_end end);

#endif
