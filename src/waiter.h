/**
 * DOC: waiter - who waits for a job's answer: callers and other instances
 *
 * Each is answered exactly once and then forgotten.
 */
#ifndef BM_WAITER_H
#define BM_WAITER_H

#include "entry_state.h"
#include "jobs.h"
#include "map.h"

struct waiter {
    uint64_t request; /* first: looked up by it; REQUEST_NONE: an instance */
    struct waiter *next;
    struct handle job;
    uint32_t n_tasks; /* that it submitted; 0 where it asked by key alone */
    bool async;       /* wants to know that the job runs, not how it ends */
    struct name instance;
    uint64_t wait_id; /* number chosen by the instance */
};

/** waiters_add() - a copy of @w waits for @job; a request or an instance's
 * wait number that waits already is not added twice */
void waiters_add(struct map *requests, struct job *job,
                 const struct waiter *w);

/** waiters_remove() - the caller of that request waits no more */
struct waiter *waiters_remove(struct map *requests, struct job *job,
                              uint64_t request);

/** waiters_answer() - gives every waiter a copy of the answer */
void waiters_answer(struct entry *e, struct map *requests, struct job *job,
                    const struct job_answer *answer);

/** waiters_notify_accepted() - tells asynchronous callers that the job runs */
void waiters_notify_accepted(struct entry *e, struct map *requests,
                             struct job *job);

/** waiters_refuse() - refuses every caller with the problem and tells every
 * instance the outcome */
void waiters_refuse(struct entry *e, struct map *requests, struct job *job,
                    const struct ef_problem *problem,
                    enum wait_outcome outcome);

/** waiters_notify_released() - tells the instances that wait here that this
 * one does not run the job; callers go on waiting */
void waiters_notify_released(struct entry *e, struct job *job);

/** waiters_free() - frees them without a word */
void waiters_free(struct map *requests, struct job *job);

/** waiter_reply() - answers one JOB_WAIT; @answer only with WAIT_ANSWER */
void waiter_reply(struct entry *e, struct name instance, uint64_t wait,
                  struct key_id key, enum wait_outcome outcome,
                  const struct job_answer *answer);

/** waiter_encode_tasks() - the tasks of an answer as a message carries them;
 * returns how many */
size_t waiter_encode_tasks(const struct job_answer *answer,
                           struct rec_task_answer **tasks);

#endif
