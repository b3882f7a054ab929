#include <syslog.h>

#include "job_state.h"
#include "member.h"
#include "successor.h"

static uint64_t
wait_id_of(struct handle h)
{
    return ((uint64_t)h.index << 32) | h.generation;
}

static struct job *
job_by_wait_id(const struct entry *e, uint64_t wait)
{
    struct handle h = {.index = (uint32_t)(wait >> 32),
                       .generation = (uint32_t)wait};

    return jobs_by_handle(e, h);
}

void
job_send_wait(struct entry *e, struct job *job)
{
    struct msg m = {.kind = MSG_JOB_WAIT};
    struct rec_job_wait *w = &m.u.job_wait;

    w->key = job->id;
    w->digest = job->digest;
    w->wait = wait_id_of(job->self);
    w->cancel = job->cancel_requested ? 1 : 0;
    w->peek = job->no_wait ? 1 : 0;
    /* No incarnation is 0: a successor without the answer replies WAIT_LOST
     * instead of WAIT_RELEASED. */
    w->incarnation = job->at_successor ? 0 : job->claimer_incarnation;
    entry_send(e, job->claimer, &m);
}

static bool
claimer_is_lost(const struct entry *e, const struct job *job)
{
    const struct member *m = members_by_name(e, job->claimer);

    if (m == NULL || m->self || m->incarnation > job->claimer_incarnation) {
        return true;
    }
    return !m->up &&
           (m->incarnation != 0 || e->now.mono_us >= job->claimer_lost_at_us);
}

/* Ends a job whose claimer is lost: what the claimer started is unknown. */
static void
end_claimer_lost(struct entry *e, struct job *job)
{
    entry_log(e, LOG_WARNING, REASON_CLAIMER_LOST, &job->id, -1, job->claimer,
              "incarnation %llu",
              (unsigned long long)job->claimer_incarnation);
    if (job->n_tasks > 0) {
        job_end_unknown(e, job, REASON_CLAIMER_LOST);
        return;
    }
    job_refuse_not_started(e, job, PROBLEM_CLAIMER_LOST,
                           e->opts.member_timeout_us, WAIT_RELEASED,
                           "the instance that took the key is gone");
}

/* This instance is itself the successor of the lost claimer.  A submission
 * would have found a kept answer by its key, but a query is not in the map of
 * keys and finds the answer here. */
static void
answer_as_successor(struct entry *e, struct job *job)
{
    struct job *kept = jobs_by_key(e, job->id);

    if (kept != NULL && kept->phase == JOB_ENDED) {
        waiters_answer(e, &e->jobs->waiters_by_request, job, kept->answer);
        job_remove(e, job);
        return;
    }
    if (job_find_used_key(e, job->id) != NULL) {
        job_refuse_not_started(e, job, PROBLEM_FORGOTTEN, 0, WAIT_RELEASED,
                               "the job ended; its answer is no longer kept");
        return;
    }
    end_claimer_lost(e, job);
}

/* The claimer is down or has restarted.  After a planned stop its successor
 * keeps its answers.  If the successor were not asked, callers that lost their
 * connection during a planned stop would get complete jobs reported as
 * unknown. */
static void
on_claimer_lost(struct entry *e, struct job *job)
{
    struct name at = job->claimer;
    uint64_t incarnation = job->claimer_incarnation;

    if (!successors_follow(e, &at, &incarnation)) {
        end_claimer_lost(e, job);
        return;
    }
    if (name_equal(at, e->opts.self) && incarnation == e->opts.incarnation) {
        answer_as_successor(e, job);
        return;
    }
    entry_log(e, LOG_INFO, REASON_CLAIM_ELSEWHERE, &job->id, -1, at,
              "its claimer %s stopped; asks its successor", job->claimer.s);
    job->claimer = at;
    job->claimer_incarnation = incarnation;
    job->at_successor = true;
    job->claimer_lost_at_us = e->now.mono_us + e->opts.member_timeout_us;
    if (claimer_is_lost(e, job)) {
        end_claimer_lost(e, job);
        return;
    }
    job_send_wait(e, job);
    job_set_timer(e, job, job->claimer_lost_at_us);
}

static void
answer_running(struct entry *e, struct job *job)
{
    struct job_answer *a = job_answer_create(0, JOB_RUNNING, REASON_NONE);

    waiters_answer(e, &e->jobs->waiters_by_request, job, a);
    job_answer_free(a);
    job_remove(e, job);
}

/* Waits for two claim timeouts past the deadline: the claimer has the same
 * deadline or an earlier one, so its answer is probably already under way. */
static int64_t
wait_deadline_us(const struct entry *e, const struct job *job)
{
    return job->deadline_us + 2 * e->opts.claim_timeout_us;
}

static void
on_wait_deadline(struct entry *e, struct job *job)
{
    if (job->n_tasks == 0) {
        answer_running(e, job);
        return;
    }
    entry_log(e, LOG_INFO, REASON_DEADLINE, &job->id, -1, job->claimer,
              "no answer from its claimer");
    job_end_unknown(e, job, REASON_DEADLINE);
}

/* The request may have been lost with its connection.  The claimer recognizes
 * a repeated request by its wait number. */
void
job_retry_wait(struct entry *e, struct job *job)
{
    int64_t next = e->now.mono_us + e->opts.member_timeout_us;
    int64_t end = wait_deadline_us(e, job);

    if (claimer_is_lost(e, job)) {
        on_claimer_lost(e, job);
        return;
    }
    if (e->now.mono_us >= end) {
        on_wait_deadline(e, job);
        return;
    }
    job_send_wait(e, job);
    job_set_timer(e, job, next < end ? next : end);
}

void
job_wait_at_claimer(struct entry *e, struct job *job,
                    const struct claim_result *r)
{
    struct handle self = job->self;

    job->phase = JOB_JOINED;
    job->claimer = r->claimer;
    job->claimer_incarnation = r->incarnation;
    job->cancel_requested =
        job->cancel_requested || job->purpose == CLAIM_CANCEL;
    job->claimer_lost_at_us = e->now.mono_us + e->opts.member_timeout_us;
    e->counters.jobs_joined += job->is_query ? 0 : 1;
    entry_log(e, LOG_DEBUG, REASON_CLAIM_ELSEWHERE, &job->id, -1, r->claimer,
              "waits there");
    waiters_notify_released(e, job);
    job_free_tasks(job);
    job_retry_wait(e, job);
    job = jobs_by_handle(e, self);
    if (job != NULL) {
        waiters_notify_accepted(e, &e->jobs->waiters_by_request, job);
    }
}

static void
reply_unknown_job(struct entry *e, struct name from,
                  const struct rec_job_wait *m)
{
    const struct used_key *p = job_find_used_key(e, m->key);
    enum wait_outcome outcome = WAIT_RELEASED;

    if (p != NULL) {
        outcome = m->digest != 0 && p->digest != 0 && p->digest != m->digest
                      ? WAIT_CONFLICT
                      : WAIT_FORGOTTEN;
    }
    else if (m->incarnation != e->opts.incarnation) {
        outcome = WAIT_LOST;
    }
    waiter_reply(e, from, m->wait, m->key, outcome, NULL);
}

static void
reply_known_job(struct entry *e, struct name from,
                const struct rec_job_wait *m, struct job *job)
{
    struct waiter w = {.instance = from, .wait_id = m->wait};

    if (job_digest_differs(job, m->digest)) {
        waiter_reply(e, from, m->wait, m->key, WAIT_CONFLICT, NULL);
        return;
    }
    if (m->incarnation == 0 && job->phase != JOB_ENDED) {
        waiter_reply(e, from, m->wait, m->key, WAIT_LOST, NULL);
        return;
    }
    if (job->phase == JOB_JOINED) {
        waiter_reply(e, from, m->wait, m->key, WAIT_RELEASED, NULL);
        return;
    }
    if (job->phase != JOB_ENDED && m->peek != 0 && m->cancel == 0) {
        waiter_reply(e, from, m->wait, m->key, WAIT_RUNNING, NULL);
        return;
    }
    job_add_waiter(e, job, &w);
    if (m->cancel != 0) {
        job_cancel(e, job);
    }
}

static bool
on_wait(struct entry *e, struct name from, const struct rec_job_wait *m)
{
    struct job *job = jobs_by_key(e, m->key);

    if (members_by_name(e, from) == NULL) {
        return false;
    }
    if (job == NULL) {
        reply_unknown_job(e, from, m);
    }
    else {
        reply_known_job(e, from, m, job);
    }
    return true;
}

/* Rejects answers with too many tasks, with an unknown status, reason or task
 * state, and complete jobs with a task that did not run. */
bool
job_answer_valid(uint64_t status, uint64_t reason,
                 const struct rec_task_answer *tasks, size_t n_tasks)
{
    if ((status != JOB_COMPLETE && status != JOB_FAILED) ||
        reason >= REASONS || n_tasks > JOB_TASKS_MAX) {
        return false;
    }
    for (size_t i = 0; i < n_tasks; i++) {
        if (tasks[i].state > TASK_UNKNOWN ||
            (status == JOB_COMPLETE && tasks[i].state != TASK_RAN)) {
            return false;
        }
    }
    return true;
}

struct job_answer *
job_answer_decode(uint64_t status, uint64_t reason,
                  const struct rec_task_answer *tasks, size_t n_tasks)
{
    struct job_answer *a = job_answer_create(n_tasks, (enum job_status)status,
                                             (enum reason)reason);

    for (size_t i = 0; i < n_tasks; i++) {
        a->tasks[i].state = (enum task_state)tasks[i].state;
        a->tasks[i].ok = tasks[i].ok != 0;
        a->tasks[i].result = blob_ref(tasks[i].result);
    }
    return a;
}

static bool
answer_matches(const struct job *job, const struct rec_job_answer *m)
{
    bool cancelled = m->n_tasks == 0 && m->status == JOB_FAILED &&
                     m->reason == REASON_CANCELLED;

    return job_answer_valid(m->status, m->reason, m->tasks, m->n_tasks) &&
           (job->n_tasks == 0 || m->n_tasks == job->n_tasks || cancelled);
}

static bool
on_wait_answer(struct entry *e, struct job *job,
               const struct rec_job_answer *m)
{
    struct job_answer *a;

    if (!answer_matches(job, m)) {
        return false;
    }
    a = job_answer_decode(m->status, m->reason, m->tasks, m->n_tasks);
    entry_log(e, LOG_DEBUG, a->reason, &job->id, -1, job->claimer,
              "answered there");
    waiters_answer(e, &e->jobs->waiters_by_request, job, a);
    job_answer_free(a);
    job_remove(e, job);
    return true;
}

static void
on_wait_released(struct entry *e, struct job *job)
{
    entry_log(e, LOG_INFO, REASON_CLAIMER_RELEASED, &job->id, -1, job->claimer,
              "it gave the key up");
    if (job->is_query) {
        job_refuse_not_started(e, job, PROBLEM_UNKNOWN_JOB, 0, WAIT_RELEASED,
                               "its claimer gave it up before any start");
        return;
    }
    job_refuse_not_started(e, job, PROBLEM_NO_CLAIM,
                           entry_jitter(e, 4 * e->opts.claim_timeout_us),
                           WAIT_RELEASED, "its claimer gave it up");
}

static bool
on_answer(struct entry *e, struct name from, const struct rec_job_answer *m)
{
    struct job *job = job_by_wait_id(e, m->wait);

    if (job == NULL || job->phase != JOB_JOINED ||
        !key_id_equal(job->id, m->key) || !name_equal(job->claimer, from)) {
        return members_by_name(e, from) != NULL; /* late or duplicate */
    }
    switch (m->outcome) {
    case WAIT_ANSWER:
        return on_wait_answer(e, job, m);
    case WAIT_RUNNING:
        if (job->no_wait) {
            answer_running(e, job);
        }
        return true;
    case WAIT_CONFLICT:
        job_refuse_not_started(e, job, PROBLEM_CONFLICT, 0, WAIT_RELEASED,
                               "the key was used with another body");
        return true;
    case WAIT_RELEASED:
        on_wait_released(e, job);
        return true;
    case WAIT_FORGOTTEN:
        job_refuse_not_started(e, job, PROBLEM_FORGOTTEN, 0, WAIT_RELEASED,
                               "the job ended; its answer is no longer kept");
        return true;
    case WAIT_LOST:
        on_claimer_lost(e, job);
        return true;
    default:
        return false;
    }
}

void
jobs_on_message(struct entry *e, struct name from, const struct msg *m)
{
    bool valid = m->kind == MSG_JOB_WAIT
                     ? on_wait(e, from, &m->u.job_wait)
                     : on_answer(e, from, &m->u.job_answer);

    if (!valid) {
        e->counters.messages_bad++;
        entry_log(e, LOG_WARNING, REASON_BAD_MESSAGE, NULL, -1, from, "%s",
                  msg_name(m->kind));
    }
}

void
jobs_member_down(struct entry *e, struct name member)
{
    uint32_t at = 0;
    struct job *job;

    while ((job = jobs_next(e, &at)) != NULL) {
        if (job->phase == JOB_JOINED && name_equal(job->claimer, member) &&
            claimer_is_lost(e, job)) {
            on_claimer_lost(e, job);
        }
    }
}
