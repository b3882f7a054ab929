#include "jobs.h"

#include <stdio.h>
#include <stdlib.h>
#include <syslog.h>

#include "dispatch.h"
#include "explain.h"
#include "job_state.h"

struct jobs *
jobs_new(const struct entry *e)
{
    struct jobs *j = calloc(1, sizeof(*j));

    (void)e;
    if (j == NULL) {
        abort();
    }
    table_init(&j->table, sizeof(struct job));
    map_init(&j->by_key, MAP_KEY_ID);
    map_init(&j->waiters_by_request, MAP_U64);
    table_init(&j->used_keys, sizeof(struct used_key));
    map_init(&j->used_keys_by_id, MAP_KEY_ID);
    return j;
}

void
job_free_tasks(struct job *job)
{
    for (uint32_t i = 0; job->tasks != NULL && i < job->n_tasks; i++) {
        blob_unref(job->tasks[i].payload);
        blob_unref(job->tasks[i].result);
    }
    free(job->tasks);
    job->tasks = NULL;
}

/* Memory of an ended job.  Includes the records, since with many small jobs
 * they take more memory than the results. */
static size_t
memory_size(const struct job *job)
{
    const struct job_answer *a = job->answer;
    size_t size = sizeof(*job) + explain_bytes(job) + sizeof(*a) +
                  a->n_tasks * sizeof(*a->tasks);

    for (size_t i = 0; i < a->n_tasks; i++) {
        size += a->tasks[i].result != NULL ? a->tasks[i].result->size : 0;
    }
    return size;
}

static void
free_answer(struct jobs *j, struct job *job)
{
    if (job->answer == NULL) {
        return;
    }
    j->answer_bytes -= job->kept_bytes;
    job_answer_free(job->answer);
    job->answer = NULL;
}

void
job_remove(struct entry *e, struct job *job)
{
    struct jobs *j = e->jobs;

    waiters_free(&j->waiters_by_request, job);
    job_free_tasks(job);
    explain_clear(job);
    free_answer(j, job);
    if (job->phase != JOB_ENDED) {
        j->n_active--;
    }
    if (!job->is_query) {
        (void)map_remove(&j->by_key, &job->id);
    }
    table_remove(&j->table, job->self);
}

void
jobs_free(struct jobs *j)
{
    uint32_t at = 0;
    struct job *job;

    if (j == NULL) {
        return;
    }
    while ((job = table_next(&j->table, &at, NULL)) != NULL) {
        waiters_free(&j->waiters_by_request, job);
        job_free_tasks(job);
        explain_clear(job);
        job_answer_free(job->answer);
    }
    table_clear(&j->table);
    map_clear(&j->by_key);
    map_clear(&j->waiters_by_request);
    timers_clear(&j->job_timers);
    timers_clear(&j->answer_timers);
    table_clear(&j->used_keys);
    map_clear(&j->used_keys_by_id);
    timers_clear(&j->used_keys_due);
    free(j);
}

struct job *
jobs_by_handle(const struct entry *e, struct handle h)
{
    return table_get(&e->jobs->table, h);
}

struct job *
jobs_by_key(const struct entry *e, struct key_id id)
{
    return map_get(&e->jobs->by_key, &id);
}

struct job *
jobs_next(const struct entry *e, uint32_t *at)
{
    return table_next(&e->jobs->table, at, NULL);
}

size_t
jobs_count_active(const struct entry *e)
{
    return e->jobs->n_active;
}

size_t
jobs_answer_bytes(const struct entry *e)
{
    return e->jobs->answer_bytes;
}

const struct used_key *
job_find_used_key(const struct entry *e, struct key_id id)
{
    return map_get(&e->jobs->used_keys_by_id, &id);
}

bool
jobs_holds_key(const struct entry *e, struct key_id id)
{
    const struct job *job = jobs_by_key(e, id);

    return job_find_used_key(e, id) != NULL ||
           (job != NULL && job->phase != JOB_JOINED);
}

void
job_set_timer(struct entry *e, struct job *job, int64_t at_us)
{
    job->next_timer_us = at_us;
    timers_add(&e->jobs->job_timers, at_us, job->self);
}

struct job *
job_add(struct entry *e, const struct key_ref *key, bool query)
{
    struct handle h;
    struct job *job = table_add(&e->jobs->table, &h);

    job->id = key->id;
    job->self = h;
    job->key = *key;
    job->phase = JOB_CLAIMING;
    job->submitted_us = e->now.mono_us;
    job->is_query = query;
    if (!query) {
        map_put(&e->jobs->by_key, job);
    }
    e->jobs->n_active++;
    return job;
}

/* Drops the answer of an ended job and keeps only the record that the key was
 * used, for as long as the voters keep the claim. */
static void
expire_answer(struct entry *e, struct job *job)
{
    struct jobs *j = e->jobs;
    struct handle h;
    struct used_key *p = table_add(&j->used_keys, &h);

    p->id = job->id;
    p->self = h;
    p->digest = job->digest;
    map_put(&j->used_keys_by_id, p);
    timers_add(&j->used_keys_due,
               job->ended_us + e->opts.claim_window_us +
                   2 * e->opts.clock_skew_us,
               h);
    job_remove(e, job);
}

static void
limit_answers(struct entry *e)
{
    struct jobs *j = e->jobs;
    struct handle h;

    while (j->answer_bytes > e->opts.answer_keep_bytes &&
           timers_pop(&j->answer_timers, INT64_MAX, &h)) {
        struct job *job = table_get(&j->table, h);

        if (job != NULL) {
            expire_answer(e, job);
        }
    }
}

/* Keeps the answer of an ended job; limit_answers() may drop it at once. */
static void
keep_answer(struct entry *e, struct job *job)
{
    struct jobs *j = e->jobs;

    job->kept_bytes = memory_size(job);
    j->answer_bytes += job->kept_bytes;
    timers_add(&j->answer_timers, job->ended_us + e->opts.answer_keep_us,
               job->self);
    limit_answers(e);
}

static void
count_ended(struct entry *e, const struct job_answer *a)
{
    if (a->status == JOB_COMPLETE) {
        e->counters.jobs_complete++;
    }
    else {
        e->counters.jobs_failed++;
    }
}

void
job_end(struct entry *e, struct job *job, struct job_answer *answer)
{
    struct jobs *j = e->jobs;

    job->phase = JOB_ENDED;
    job->status = answer->status;
    job->reason = answer->reason;
    job->ended_us = e->now.mono_us;
    job->answer = answer;
    j->n_active--;
    job_free_tasks(job);
    count_ended(e, answer);
    entry_log(e, answer->status == JOB_COMPLETE ? LOG_DEBUG : LOG_INFO,
              answer->reason, &job->id, -1, name_of(""),
              "%s after %lld us, %zu tasks",
              answer->status == JOB_COMPLETE ? "complete" : "failed",
              (long long)(job->ended_us - job->submitted_us), answer->n_tasks);
    waiters_answer(e, &j->waiters_by_request, job, answer);
    keep_answer(e, job);
}

void
job_add_ended(struct entry *e, struct key_id id, uint64_t digest,
              struct job_answer *answer, int64_t left_us)
{
    struct key_ref key = {.id = id};
    struct job *job = job_add(e, &key, false);

    job->phase = JOB_ENDED;
    job->digest = digest;
    job->status = answer->status;
    job->reason = answer->reason;
    job->answer = answer;
    job->ended_us = e->now.mono_us + left_us - e->opts.answer_keep_us;
    e->jobs->n_active--;
    keep_answer(e, job);
}

struct job_answer *
job_answer_create(size_t n_tasks, enum job_status status, enum reason reason)
{
    struct job_answer *a = job_answer_new(n_tasks);

    if (a == NULL) {
        abort();
    }
    a->status = status;
    a->reason = reason;
    return a;
}

static enum task_state
task_state_of(const struct task *t)
{
    switch (t->phase) {
    case TASK_ENDED:
        return TASK_RAN;
    case TASK_SENT:
    case TASK_GIVEN_UP:
        return TASK_UNKNOWN;
    default:
        return TASK_NOT_RUN;
    }
}

struct job_answer *
job_build_failed_answer(struct entry *e, const struct job *job,
                        enum reason reason)
{
    struct job_answer *a = job_answer_create(job->n_tasks, JOB_FAILED, reason);

    for (uint32_t i = 0; job->tasks != NULL && i < job->n_tasks; i++) {
        a->tasks[i].state = MUTANT(e, SENT_NOT_RUN)
                                ? TASK_NOT_RUN
                                : task_state_of(&job->tasks[i]);
        a->tasks[i].ok = job->tasks[i].phase == TASK_ENDED && job->tasks[i].ok;
        if (a->tasks[i].state == TASK_UNKNOWN) {
            e->counters.tasks_unknown++;
        }
    }
    return a;
}

void
jobs_fail(struct entry *e, struct job *job, enum reason reason)
{
    struct job_answer *a;

    if (job->phase != JOB_ACTIVE) {
        return;
    }
    a = job_build_failed_answer(e, job, reason);
    dispatch_drop_job(e, job);
    job_end(e, job, a);
}

static void
job_complete(struct entry *e, struct job *job)
{
    struct job_answer *a =
        job_answer_create(job->n_tasks, JOB_COMPLETE, REASON_COMPLETED);

    for (uint32_t i = 0; i < job->n_tasks; i++) {
        uint32_t from = MUTANT(e, MIX_RESULTS) ? job->n_tasks - 1 - i : i;

        a->tasks[i].state = TASK_RAN;
        a->tasks[i].ok = job->tasks[i].ok;
        a->tasks[i].result = blob_ref(job->tasks[from].result);
    }
    dispatch_drop_job(e, job);
    job_end(e, job, a);
}

void
jobs_task_ended(struct entry *e, struct job *job, uint32_t index, bool ok,
                struct blob *result)
{
    struct task *t;

    if (job->phase != JOB_ACTIVE || index >= job->n_tasks ||
        job->tasks[index].phase == TASK_ENDED) {
        e->counters.outcomes_dropped++;
        return;
    }
    t = &job->tasks[index];
    t->phase = TASK_ENDED;
    t->ok = ok;
    t->result = blob_ref(result);
    blob_unref(t->payload);
    t->payload = NULL;
    job->work_left_us -= t->run_us;
    job->n_ended++;
    if (job->n_ended == job->n_tasks || MUTANT(e, ANSWER_EARLY)) {
        job_complete(e, job);
    }
}

void
job_refuse(struct entry *e, struct job *job, const struct ef_problem *p,
           enum wait_outcome outcome)
{
    e->counters.jobs_refused += job->is_query ? 0 : 1;
    waiters_refuse(e, &e->jobs->waiters_by_request, job, p, outcome);
    job_remove(e, job);
}

void
job_refuse_not_started(struct entry *e, struct job *job, enum problem problem,
                       int64_t retry_after_us, enum wait_outcome outcome,
                       const char *detail)
{
    struct ef_problem p = {.problem = problem,
                           .retry_after_us = retry_after_us,
                           .request_started_nothing = true};

    p.not_run = MUTANT(e, UNCLAIMED_NOT_RUN);
    (void)snprintf(p.detail, sizeof(p.detail), "%s", detail);
    job_refuse(e, job, &p, outcome);
}

void
job_end_unknown(struct entry *e, struct job *job, enum reason reason)
{
    struct job_answer *a = job_answer_create(job->n_tasks, JOB_FAILED, reason);

    for (uint32_t i = 0; i < job->n_tasks; i++) {
        a->tasks[i].state = TASK_UNKNOWN;
        e->counters.tasks_unknown++;
    }
    count_ended(e, a);
    waiters_answer(e, &e->jobs->waiters_by_request, job, a);
    job_answer_free(a);
    job_remove(e, job);
}

void
job_add_waiter(struct entry *e, struct job *job, const struct waiter *w)
{
    waiters_add(&e->jobs->waiters_by_request, job, w);
    if (job->phase == JOB_ENDED) {
        waiters_answer(e, &e->jobs->waiters_by_request, job, job->answer);
    }
    else if (job->phase != JOB_CLAIMING) {
        waiters_notify_accepted(e, &e->jobs->waiters_by_request, job);
    }
}

bool
job_digest_differs(const struct job *job, uint64_t digest)
{
    return digest != 0 && job->digest != 0 && job->digest != digest;
}

void
job_cancel(struct entry *e, struct job *job)
{
    bool first = !job->cancel_requested;

    job->cancel_requested = true;
    if (job->phase == JOB_ACTIVE) {
        jobs_fail(e, job, REASON_CANCELLED);
    }
    else if (job->phase == JOB_JOINED && first) {
        job_send_wait(e, job);
    }
}

static void
start_job(struct entry *e, struct job *job)
{
    struct admission a = {.admitted = false,
                          .problem = PROBLEM_UNKNOWN_SERVICE,
                          .reason = REASON_NEVER_FITS,
                          .detail = "the service was removed"};
    struct ef_problem p = {0};

    if (job->service != NULL) {
        a = dispatch_admit(e, job);
    }
    if (a.admitted) {
        job->phase = JOB_ACTIVE;
        waiters_notify_accepted(e, &e->jobs->waiters_by_request, job);
        dispatch_enqueue(e, job);
        return;
    }
    entry_log(e, LOG_INFO, a.reason, &job->id, -1, name_of(""), "refused: %s",
              a.detail);
    p.problem = a.problem;
    p.retry_after_us = a.retry_after_us;
    p.not_run = true;
    (void)snprintf(p.detail, sizeof(p.detail), "%s", a.detail);
    claims_release(e, &job->key);
    job_refuse(e, job, &p, WAIT_RELEASED);
}

static void
on_claim_won(struct entry *e, struct job *job)
{
    enum reason end = REASON_NONE;

    entry_log(e, LOG_DEBUG, REASON_CLAIM_WON, &job->id, -1, name_of(""),
              "after %lld us",
              (long long)(e->now.mono_us - job->submitted_us));
    if (job->cancel_requested || job->purpose == CLAIM_CANCEL) {
        end = REASON_CANCELLED;
    }
    else if (e->now.mono_us >= job->deadline_us) {
        end = REASON_DEADLINE;
    }
    if (end != REASON_NONE) {
        job_end(e, job, job_build_failed_answer(e, job, end));
        return;
    }
    start_job(e, job);
}

static void
on_claim_taken(struct entry *e, struct job *job, const struct claim_result *r)
{
    if (job->digest != 0 && r->digest != 0 && job->digest != r->digest) {
        entry_log(e, LOG_INFO, REASON_KEY_CONFLICT, &job->id, -1, r->claimer,
                  "claimed there with another body");
        job_refuse_not_started(e, job, PROBLEM_CONFLICT, 0, WAIT_RELEASED,
                               "the key was used with another body");
        return;
    }
    job_wait_at_claimer(e, job, r);
}

static void
on_claim_unavailable(struct entry *e, struct job *job)
{
    entry_log(e, LOG_WARNING, REASON_CLAIM_UNAVAILABLE, &job->id, -1,
              job->key.zone, "after %lld us",
              (long long)(e->now.mono_us - job->submitted_us));
    job_refuse_not_started(e, job, PROBLEM_NO_CLAIM,
                           entry_jitter(e, e->opts.member_timeout_us / 2),
                           WAIT_RELEASED, "no majority of the key's voters");
}

void
jobs_claim_result(struct entry *e, struct handle handle,
                  const struct claim_result *r)
{
    struct job *job = jobs_by_handle(e, handle);

    if (job == NULL || job->phase != JOB_CLAIMING) {
        return;
    }
    switch (r->outcome) {
    case CLAIM_OUTCOME_WON:
        on_claim_won(e, job);
        break;
    case CLAIM_OUTCOME_TAKEN:
        on_claim_taken(e, job, r);
        break;
    case CLAIM_OUTCOME_ABSENT:
        job_refuse_not_started(e, job, PROBLEM_UNKNOWN_JOB, 0, WAIT_RELEASED,
                               "no voter of the key's zone knows it");
        break;
    case CLAIM_OUTCOME_TOO_OLD:
        job_refuse_not_started(e, job, PROBLEM_KEY_TOO_OLD, 0, WAIT_RELEASED,
                               "the key's window is over");
        break;
    default:
        on_claim_unavailable(e, job);
        break;
    }
}

void
jobs_config_changed(struct entry *e)
{
    uint32_t at = 0;
    struct job *job;

    while ((job = jobs_next(e, &at)) != NULL) {
        job->service = config_service(e->config, job->service_name);
    }
}

static void
job_on_timer(struct entry *e, struct job *job)
{
    switch (job->phase) {
    case JOB_CLAIMING:
        on_claim_unavailable(e, job);
        break;
    case JOB_JOINED:
        job_retry_wait(e, job);
        break;
    case JOB_ACTIVE:
        jobs_fail(e, job, REASON_DEADLINE);
        break;
    default:
        break;
    }
}

static void
expire_used_keys(struct entry *e)
{
    struct jobs *j = e->jobs;
    struct handle h;

    while (timers_pop(&j->used_keys_due, e->now.mono_us, &h)) {
        struct used_key *p = table_get(&j->used_keys, h);

        if (p != NULL) {
            (void)map_remove(&j->used_keys_by_id, &p->id);
            table_remove(&j->used_keys, h);
        }
    }
}

void
jobs_tick(struct entry *e)
{
    struct jobs *j = e->jobs;
    struct handle h;
    struct job *job;

    while (timers_pop(&j->job_timers, e->now.mono_us, &h)) {
        job = table_get(&j->table, h);
        if (job != NULL && job->next_timer_us <= e->now.mono_us) {
            job_on_timer(e, job);
        }
    }
    while (timers_pop(&j->answer_timers, e->now.mono_us, &h)) {
        job = table_get(&j->table, h);
        if (job != NULL) {
            expire_answer(e, job);
        }
    }
    expire_used_keys(e);
}

int64_t
jobs_next_us(const struct entry *e)
{
    const struct jobs *j = e->jobs;
    int64_t next = timers_next_us(&j->job_timers);
    int64_t kept = timers_next_us(&j->answer_timers);
    int64_t past = timers_next_us(&j->used_keys_due);

    next = kept < next ? kept : next;
    return past < next ? past : next;
}
