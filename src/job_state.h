/**
 * DOC: job_state - what the modules of the jobs share
 *
 * jobs.c keeps jobs and ends them, job_caller.c takes callers' requests,
 * job_peer.c waits at other instances and answers theirs.
 */
#ifndef BM_JOB_STATE_H
#define BM_JOB_STATE_H

#include "jobs.h"
#include "map.h"
#include "timers.h"
#include "waiter.h"

/* What is left of a job whose answer is not kept any more. */
struct used_key {
    struct key_id id; /* first: looked up by it */
    struct handle self;
    uint64_t digest;
};

struct jobs {
    struct table table;
    struct map by_key;
    struct map waiters_by_request; /* waiters that are callers, by request */
    struct timers job_timers;
    struct timers answer_timers; /* ended jobs, by when their answer goes */
    struct table used_keys;
    struct map used_keys_by_id;
    struct timers used_keys_due;
    size_t n_active;
    size_t answer_bytes;
    uint64_t n_keys_minted;
};

/** job_add() - a new job that waits for its claim; a query is not found by its
 * key */
struct job *job_add(struct entry *e, const struct key_ref *key, bool query);

/** job_remove() - frees it; whoever still waits hears nothing */
void job_remove(struct entry *e, struct job *job);

/** job_free_tasks() - an ended or joined job needs none */
void job_free_tasks(struct job *job);

/** job_set_timer() - sets its next timer */
void job_set_timer(struct entry *e, struct job *job, int64_t at_us);

/** job_find_used_key() - what is left of an ended job, or NULL */
const struct used_key *job_find_used_key(const struct entry *e,
                                         struct key_id id);

/** job_answer_create() - an answer of @n_tasks tasks, all not run */
struct job_answer *job_answer_create(size_t n_tasks, enum job_status status,
                                     enum reason reason);

/** job_build_failed_answer() - the answer if the job were given up now */
struct job_answer *job_build_failed_answer(struct entry *e,
                                           const struct job *job,
                                           enum reason reason);

/** job_end() - takes over the answer and gives it to everybody who waits */
void job_end(struct entry *e, struct job *job, struct job_answer *answer);

/** job_add_ended() - an ended job of another instance, whose answer it takes
 * over to keep it for @left_us */
void job_add_ended(struct entry *e, struct key_id id, uint64_t digest,
                   struct job_answer *answer, int64_t left_us);

/** job_answer_valid() - whether an answer that came in a message is whole */
bool job_answer_valid(uint64_t status, uint64_t reason,
                      const struct rec_task_answer *tasks, size_t n_tasks);

/** job_answer_decode() - the answer of a message */
struct job_answer *job_answer_decode(uint64_t status, uint64_t reason,
                                     const struct rec_task_answer *tasks,
                                     size_t n_tasks);

/** job_refuse() - refuses everybody who waits and forgets the job */
void job_refuse(struct entry *e, struct job *job, const struct ef_problem *p,
                enum wait_outcome outcome);

/** job_refuse_not_started() - the same, saying that this request started
 * nothing */
void job_refuse_not_started(struct entry *e, struct job *job,
                            enum problem problem, int64_t retry_after_us,
                            enum wait_outcome outcome, const char *detail);

/** job_end_unknown() - answers that nobody can tell what its claimer started,
 * and forgets the job */
void job_end_unknown(struct entry *e, struct job *job, enum reason reason);

/** job_add_waiter() - one more waiter for a job that is here already */
void job_add_waiter(struct entry *e, struct job *job, const struct waiter *w);

/** job_cancel() - cancels a job that is here */
void job_cancel(struct entry *e, struct job *job);

/** job_digest_differs() - whether it was submitted with another body */
bool job_digest_differs(const struct job *job, uint64_t digest);

/** job_send_wait() - asks the claimer for the answer */
void job_send_wait(struct entry *e, struct job *job);

/** job_retry_wait() - asks again, or finds the claimer gone */
void job_retry_wait(struct entry *e, struct job *job);

/** job_wait_at_claimer() - the key is claimed elsewhere: waits there */
void job_wait_at_claimer(struct entry *e, struct job *job,
                         const struct claim_result *r);

#endif
