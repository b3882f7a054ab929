/**
 * DOC: job_state - state shared by the modules that handle jobs
 *
 * jobs.c stores and ends jobs, job_caller.c handles requests of callers,
 * job_peer.c waits for answers of other instances and answers their requests.
 */
#ifndef BM_JOB_STATE_H
#define BM_JOB_STATE_H

#include "jobs.h"
#include "map.h"
#include "timers.h"
#include "waiter.h"

/* Record of a key whose job ended and whose answer is no longer kept. */
struct used_key {
    struct key_id id; /* map key; must be first */
    struct handle self;
    uint64_t digest;
};

struct jobs {
    struct table table;
    struct map by_key;
    struct map waiters_by_request; /* waiters that are callers, by request */
    struct timers job_timers;      /* of unfinished jobs */
    struct timers answer_timers;   /* of ended jobs: when to drop the answer */
    struct table used_keys;
    struct map used_keys_by_id;
    struct timers used_keys_due;
    size_t n_active;        /* jobs that have not ended */
    size_t answer_bytes;    /* memory of ended jobs */
    uint64_t n_keys_minted; /* keys minted in this incarnation */
};

/** job_add() - adds a job in phase JOB_CLAIMING; a query is not added to the
 * map of keys */
struct job *job_add(struct entry *e, const struct key_ref *key, bool query);

/** job_remove() - removes and frees a job; remaining waiters get no reply */
void job_remove(struct entry *e, struct job *job);

/** job_free_tasks() - frees the tasks of an ended or joined job */
void job_free_tasks(struct job *job);

/** job_set_timer() - sets the job's timer to the monotonic time @at_us */
void job_set_timer(struct entry *e, struct job *job, int64_t at_us);

/** job_find_used_key() - the record of a used key whose job's answer is no
 * longer kept, or NULL */
const struct used_key *job_find_used_key(const struct entry *e,
                                         struct key_id id);

/** job_answer_create() - allocates an answer with all tasks TASK_NOT_RUN; ends
 * the process if out of memory */
struct job_answer *job_answer_create(size_t n_tasks, enum job_status status,
                                     enum reason reason);

/** job_build_failed_answer() - answer of the job if it failed now: unfinished
 * tasks are not run or, if sent, unknown */
struct job_answer *job_build_failed_answer(struct entry *e,
                                           const struct job *job,
                                           enum reason reason);

/** job_end() - ends a job and sends the answer to all its waiters; takes
 * ownership of @answer */
void job_end(struct entry *e, struct job *job, struct job_answer *answer);

/** job_add_ended() - adds an ended job of another instance, to keep its answer
 * for @left_us; takes ownership of @answer */
void job_add_ended(struct entry *e, struct key_id id, uint64_t digest,
                   struct job_answer *answer, int64_t left_us);

/** job_answer_valid() - whether an answer received in a message is valid and
 * complete */
bool job_answer_valid(uint64_t status, uint64_t reason,
                      const struct rec_task_answer *tasks, size_t n_tasks);

/** job_answer_decode() - converts an answer received in a message */
struct job_answer *job_answer_decode(uint64_t status, uint64_t reason,
                                     const struct rec_task_answer *tasks,
                                     size_t n_tasks);

/** job_refuse() - refuses all waiters and removes the job; callers get @p,
 * other instances get @outcome */
void job_refuse(struct entry *e, struct job *job, const struct ef_problem *p,
                enum wait_outcome outcome);

/** job_refuse_not_started() - the same with a problem that says that the
 * request started nothing */
void job_refuse_not_started(struct entry *e, struct job *job,
                            enum problem problem, int64_t retry_after_us,
                            enum wait_outcome outcome, const char *detail);

/** job_end_unknown() - answers all waiters that the outcome of every task is
 * unknown, and removes the job */
void job_end_unknown(struct entry *e, struct job *job, enum reason reason);

/** job_add_waiter() - adds a waiter to an existing job; answers it at once if
 * the job has ended */
void job_add_waiter(struct entry *e, struct job *job, const struct waiter *w);

/** job_cancel() - cancels a job, or asks its claimer to cancel it */
void job_cancel(struct entry *e, struct job *job);

/** job_digest_differs() - whether the job was submitted with another body; a
 * digest of 0 matches any */
bool job_digest_differs(const struct job *job, uint64_t digest);

/** job_send_wait() - requests the answer from the claimer */
void job_send_wait(struct entry *e, struct job *job);

/** job_retry_wait() - repeats the request to the claimer, or ends the job if
 * the claimer is lost or the deadline has passed */
void job_retry_wait(struct entry *e, struct job *job);

/** job_wait_at_claimer() - the key is claimed by another instance: waits for
 * that instance's answer */
void job_wait_at_claimer(struct entry *e, struct job *job,
                         const struct claim_result *r);

#endif
