/**
 * DOC: waiter - callers and other instances that wait for a job's answer
 *
 * Each waiter gets exactly one reply and is then freed.
 */
#ifndef BM_WAITER_H
#define BM_WAITER_H

#include "entry_state.h"
#include "jobs.h"
#include "map.h"

/** struct waiter - a caller's request, or a wait of another instance */
struct waiter {
    uint64_t request; /* map key, must be first; REQUEST_NONE: an instance */
    struct waiter *next;
    struct handle job;
    uint32_t n_tasks; /* tasks submitted; 0 for a query by key */
    bool async;       /* reply when the job is accepted, not at its end */
    struct name instance;
    uint64_t wait_id; /* wait number chosen by the instance */
};

/** waiters_add() - adds a copy of @w to the waiters of @job, unless the
 * request or the instance's wait number is already waiting */
void waiters_add(struct map *requests, struct job *job,
                 const struct waiter *w);

/** waiters_remove() - removes the waiter of a request whose caller
 * disconnected; returns the remaining waiters of @job */
struct waiter *waiters_remove(struct map *requests, struct job *job,
                              uint64_t request);

/** waiters_answer() - sends a copy of the answer to every waiter and removes
 * them */
void waiters_answer(struct entry *e, struct map *requests, struct job *job,
                    const struct job_answer *answer);

/** waiters_notify_accepted() - replies to asynchronous callers that the job
 * was accepted, and removes them */
void waiters_notify_accepted(struct entry *e, struct map *requests,
                             struct job *job);

/** waiters_refuse() - sends @problem to every caller and @outcome to every
 * instance, and removes them */
void waiters_refuse(struct entry *e, struct map *requests, struct job *job,
                    const struct ef_problem *problem,
                    enum wait_outcome outcome);

/** waiters_notify_released() - replies to waiting instances that this instance
 * does not run the job, and removes them; callers keep waiting */
void waiters_notify_released(struct entry *e, struct job *job);

/** waiters_free() - frees all waiters of @job without a reply */
void waiters_free(struct map *requests, struct job *job);

/** waiter_reply() - replies to a JOB_WAIT; @answer is NULL unless @outcome is
 * WAIT_ANSWER */
void waiter_reply(struct entry *e, struct name instance, uint64_t wait,
                  struct key_id key, enum wait_outcome outcome,
                  const struct job_answer *answer);

/** waiter_encode_tasks() - converts the tasks of an answer for a message;
 * @tasks is from malloc() and owned by the caller.  Returns the number of
 * tasks. */
size_t waiter_encode_tasks(const struct job_answer *answer,
                           struct rec_task_answer **tasks);

#endif
