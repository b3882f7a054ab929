#include "jobs.h"

#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <syslog.h>

#include "dispatch.h"
#include "map.h"
#include "member.h"
#include "submission.h"
#include "timers.h"
#include "waiter.h"

enum {
    MINT_MAX = 1000,
};

/* What is left of a job whose answer is not kept any more. */
struct past {
    struct key_id id; /* first: looked up by it */
    struct handle self;
    uint64_t digest;
};

struct jobs {
    struct table table;
    struct map by_key;
    struct map requests; /* waiters that are callers, by request */
    struct timers due;
    struct timers kept; /* ended jobs, by when their answer goes */
    struct table past;
    struct map past_by_key;
    struct timers past_due;
    size_t n_active;
    size_t answer_bytes;
    uint64_t minted;
};

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
    map_init(&j->requests, MAP_U64);
    table_init(&j->past, sizeof(struct past));
    map_init(&j->past_by_key, MAP_KEY_ID);
    return j;
}

/* ---- memory of one job ---- */

static void
free_tasks(struct job *job)
{
    for (uint32_t i = 0; job->tasks != NULL && i < job->n_tasks; i++) {
        blob_unref(job->tasks[i].payload);
        blob_unref(job->tasks[i].result);
    }
    free(job->tasks);
    job->tasks = NULL;
}

static size_t
answer_size(const struct job_answer *a)
{
    size_t size = sizeof(*a) + a->n_tasks * sizeof(*a->tasks);

    for (size_t i = 0; i < a->n_tasks; i++) {
        size += a->tasks[i].result != NULL ? a->tasks[i].result->size : 0;
    }
    return size;
}

static void
drop_answer(struct jobs *j, struct job *job)
{
    if (job->answer == NULL) {
        return;
    }
    j->answer_bytes -= answer_size(job->answer);
    job_answer_free(job->answer);
    job->answer = NULL;
}

static void
job_remove(struct entry *e, struct job *job)
{
    struct jobs *j = e->jobs;

    waiters_drop(&j->requests, job);
    free_tasks(job);
    drop_answer(j, job);
    if (job->phase != JOB_ENDED) {
        j->n_active--;
    }
    if (!job->query) {
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
        waiters_drop(&j->requests, job);
        free_tasks(job);
        job_answer_free(job->answer);
    }
    table_clear(&j->table);
    map_clear(&j->by_key);
    map_clear(&j->requests);
    timers_clear(&j->due);
    timers_clear(&j->kept);
    table_clear(&j->past);
    map_clear(&j->past_by_key);
    timers_clear(&j->past_due);
    free(j);
}

struct job *
jobs_of(const struct entry *e, struct handle h)
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
jobs_active(const struct entry *e)
{
    return e->jobs->n_active;
}

size_t
jobs_answer_bytes(const struct entry *e)
{
    return e->jobs->answer_bytes;
}

static const struct past *
past_of(const struct entry *e, struct key_id id)
{
    return map_get(&e->jobs->past_by_key, &id);
}

bool
jobs_claimed(const struct entry *e, struct key_id id)
{
    const struct job *job = jobs_by_key(e, id);

    return past_of(e, id) != NULL || (job != NULL && job->phase != JOB_JOINED);
}

static void
job_due(struct entry *e, struct job *job, int64_t at_us)
{
    job->due_us = at_us;
    timers_add(&e->jobs->due, at_us, job->self);
}

static struct job *
job_add(struct entry *e, const struct key_ref *key, bool query)
{
    struct handle h;
    struct job *job = table_add(&e->jobs->table, &h);

    job->id = key->id;
    job->self = h;
    job->key = *key;
    job->phase = JOB_CLAIMING;
    job->submitted_us = e->now.mono_us;
    job->query = query;
    if (!query) {
        map_put(&e->jobs->by_key, job);
    }
    e->jobs->n_active++;
    return job;
}

/* ---- the end of a job ---- */

/* An ended job shrinks in two steps: its whole answer is kept for some time,
 * then only that the key was used, for as long as voters know it. */
static void
forget_answer(struct entry *e, struct job *job)
{
    struct jobs *j = e->jobs;
    struct handle h;
    struct past *p = table_add(&j->past, &h);

    p->id = job->id;
    p->self = h;
    p->digest = job->digest;
    map_put(&j->past_by_key, p);
    timers_add(&j->past_due,
               job->ended_us + e->opts.claim_window_us +
                   2 * e->opts.clock_skew_us,
               h);
    job_remove(e, job);
}

static void
bound_answers(struct entry *e)
{
    struct jobs *j = e->jobs;
    struct handle h;

    while (j->answer_bytes > e->opts.answer_keep_bytes &&
           timers_pop(&j->kept, INT64_MAX, &h)) {
        struct job *job = table_get(&j->table, h);

        if (job != NULL) {
            forget_answer(e, job);
        }
    }
}

static void
count_end(struct entry *e, const struct job_answer *a)
{
    if (a->status == JOB_COMPLETE) {
        e->counters.jobs_complete++;
    }
    else {
        e->counters.jobs_failed++;
    }
}

/* The answer goes out whole, to everybody who waits, in this very step. */
static void
job_end(struct entry *e, struct job *job, struct job_answer *answer)
{
    struct jobs *j = e->jobs;
    struct handle self = job->self;

    job->phase = JOB_ENDED;
    job->status = answer->status;
    job->reason = answer->reason;
    job->ended_us = e->now.mono_us;
    job->answer = answer;
    j->n_active--;
    j->answer_bytes += answer_size(answer);
    free_tasks(job);
    count_end(e, answer);
    entry_log(e, answer->status == JOB_COMPLETE ? LOG_DEBUG : LOG_INFO,
              answer->reason, &job->id, -1, name_of(""),
              "%s after %lld us, %zu tasks",
              answer->status == JOB_COMPLETE ? "complete" : "failed",
              (long long)(job->ended_us - job->submitted_us), answer->n_tasks);
    waiters_answer(e, &j->requests, job, answer);
    timers_add(&j->kept, job->ended_us + e->opts.answer_keep_us, self);
    bound_answers(e);
}

static struct job_answer *
new_answer(size_t n_tasks, enum job_status status, enum reason reason)
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
state_of(const struct task *t)
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

static struct job_answer *
failed_answer(struct entry *e, const struct job *job, enum reason reason)
{
    struct job_answer *a = new_answer(job->n_tasks, JOB_FAILED, reason);

    for (uint32_t i = 0; job->tasks != NULL && i < job->n_tasks; i++) {
        a->tasks[i].state =
            MUTANT(e, SENT_NOT_RUN) ? TASK_NOT_RUN : state_of(&job->tasks[i]);
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
    a = failed_answer(e, job, reason);
    dispatch_forget(e, job);
    job_end(e, job, a);
}

static void
job_complete(struct entry *e, struct job *job)
{
    struct job_answer *a =
        new_answer(job->n_tasks, JOB_COMPLETE, REASON_COMPLETED);

    for (uint32_t i = 0; i < job->n_tasks; i++) {
        a->tasks[i].state = TASK_RAN;
        a->tasks[i].ok = job->tasks[i].ok;
        a->tasks[i].result = blob_ref(job->tasks[i].result);
    }
    dispatch_forget(e, job);
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
    if (MUTANT(e, IN_ORDER) && index > 0) {
        index = job->n_ended; /* as if outcomes came in order */
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

/* Refuses everybody who waits and forgets the job. */
static void
job_refuse(struct entry *e, struct job *job, const struct ef_problem *p,
           enum wait_outcome outcome)
{
    e->counters.jobs_refused += job->query ? 0 : 1;
    waiters_refuse(e, &e->jobs->requests, job, p, outcome);
    job_remove(e, job);
}

static void
job_refuse_plain(struct entry *e, struct job *job, enum problem problem,
                 int64_t retry_after_us, enum wait_outcome outcome,
                 const char *detail)
{
    struct ef_problem p = {.problem = problem,
                           .retry_after_us = retry_after_us,
                           .not_by_this = true};

    p.not_run = MUTANT(e, UNCLAIMED_NOT_RUN);
    (void)snprintf(p.detail, sizeof(p.detail), "%s", detail);
    job_refuse(e, job, &p, outcome);
}

/* The instance that runs the job is gone or another incarnation of it is
 * there.  What it started, nobody can tell. */
static void
claimer_lost(struct entry *e, struct job *job)
{
    struct job_answer *a;

    entry_log(e, LOG_WARNING, REASON_CLAIMER_LOST, &job->id, -1, job->claimer,
              "incarnation %llu",
              (unsigned long long)job->claimer_incarnation);
    if (job->n_tasks == 0) {
        job_refuse_plain(e, job, PROBLEM_CLAIMER_LOST,
                         e->opts.member_timeout_us, WAIT_RELEASED,
                         "the instance that took the key is gone");
        return;
    }
    a = new_answer(job->n_tasks, JOB_FAILED, REASON_CLAIMER_LOST);
    for (uint32_t i = 0; i < job->n_tasks; i++) {
        a->tasks[i].state = TASK_UNKNOWN;
        e->counters.tasks_unknown++;
    }
    count_end(e, a);
    waiters_answer(e, &e->jobs->requests, job, a);
    job_answer_free(a);
    job_remove(e, job);
}

/* ---- waiting at the claimer ---- */

static uint64_t
wait_number(struct handle h)
{
    return ((uint64_t)h.index << 32) | h.generation;
}

static struct job *
job_of_wait(const struct entry *e, uint64_t wait)
{
    struct handle h = {.index = (uint32_t)(wait >> 32),
                       .generation = (uint32_t)wait};

    return jobs_of(e, h);
}

static void
send_wait(struct entry *e, struct job *job)
{
    struct msg m = {.kind = MSG_JOB_WAIT};
    struct rec_job_wait *w = &m.u.job_wait;

    w->key = job->id;
    w->digest = job->digest;
    w->wait = wait_number(job->self);
    w->cancel = job->cancel ? 1 : 0;
    w->peek = job->peek ? 1 : 0;
    w->incarnation = job->claimer_incarnation;
    entry_send(e, job->claimer, &m);
}

static bool
claimer_gone(const struct entry *e, const struct job *job)
{
    const struct member *m = members_of(e, job->claimer);

    if (m == NULL || m->self || m->incarnation > job->claimer_incarnation) {
        return true;
    }
    return !m->up && (m->incarnation != 0 || e->now.mono_us >= job->lost_us);
}

/* The question may be lost with its connection; asked again, the claimer
 * knows it by its number. */
static void
wait_again(struct entry *e, struct job *job)
{
    int64_t next = e->now.mono_us + e->opts.member_timeout_us;

    if (claimer_gone(e, job)) {
        claimer_lost(e, job);
        return;
    }
    send_wait(e, job);
    job_due(e, job, next < job->deadline_us ? next : job->deadline_us);
}

static void
join_claimer(struct entry *e, struct job *job, const struct claim_result *r)
{
    struct handle self = job->self;

    job->phase = JOB_JOINED;
    job->claimer = r->claimer;
    job->claimer_incarnation = r->incarnation;
    job->cancel = job->cancel || job->purpose == CLAIM_CANCEL;
    job->lost_us = e->now.mono_us + e->opts.member_timeout_us;
    e->counters.jobs_joined += job->query ? 0 : 1;
    entry_log(e, LOG_DEBUG, REASON_CLAIM_ELSEWHERE, &job->id, -1, r->claimer,
              "waits there");
    waiters_release(e, job);
    free_tasks(job);
    wait_again(e, job);
    job = jobs_of(e, self);
    if (job != NULL) {
        waiters_accepted(e, &e->jobs->requests, job);
    }
}

/* ---- what became of the claim ---- */

static void
job_start(struct entry *e, struct job *job)
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
        waiters_accepted(e, &e->jobs->requests, job);
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
on_won(struct entry *e, struct job *job)
{
    enum reason end = REASON_NONE;

    entry_log(e, LOG_DEBUG, REASON_CLAIM_WON, &job->id, -1, name_of(""),
              "after %lld us",
              (long long)(e->now.mono_us - job->submitted_us));
    if (job->cancel || job->purpose == CLAIM_CANCEL) {
        end = REASON_CANCELLED;
    }
    else if (e->now.mono_us >= job->deadline_us) {
        end = REASON_DEADLINE;
    }
    if (end != REASON_NONE) {
        job_end(e, job, failed_answer(e, job, end));
        return;
    }
    job_start(e, job);
}

static void
on_other(struct entry *e, struct job *job, const struct claim_result *r)
{
    if (job->digest != 0 && r->digest != 0 && job->digest != r->digest) {
        entry_log(e, LOG_INFO, REASON_KEY_CONFLICT, &job->id, -1, r->claimer,
                  "claimed there with another body");
        job_refuse_plain(e, job, PROBLEM_CONFLICT, 0, WAIT_RELEASED,
                         "the key was used with another body");
        return;
    }
    join_claimer(e, job, r);
}

static void
on_unavailable(struct entry *e, struct job *job)
{
    entry_log(e, LOG_WARNING, REASON_CLAIM_UNAVAILABLE, &job->id, -1,
              job->key.zone, "after %lld us",
              (long long)(e->now.mono_us - job->submitted_us));
    job_refuse_plain(e, job, PROBLEM_NO_CLAIM,
                     entry_jitter(e, e->opts.member_timeout_us / 2),
                     WAIT_RELEASED, "no majority of the key's voters");
}

void
jobs_claim_result(struct entry *e, struct handle handle,
                  const struct claim_result *r)
{
    struct job *job = jobs_of(e, handle);

    if (job == NULL || job->phase != JOB_CLAIMING) {
        return;
    }
    switch (r->end) {
    case CLAIM_END_WON:
        on_won(e, job);
        break;
    case CLAIM_END_OTHER:
        on_other(e, job, r);
        break;
    case CLAIM_END_ABSENT:
        job_refuse_plain(e, job, PROBLEM_UNKNOWN_JOB, 0, WAIT_RELEASED,
                         "no voter of the key's zone knows it");
        break;
    case CLAIM_END_TOO_OLD:
        job_refuse_plain(e, job, PROBLEM_KEY_TOO_OLD, 0, WAIT_RELEASED,
                         "the key's window is over");
        break;
    default:
        on_unavailable(e, job);
        break;
    }
}

/* ---- callers ---- */

static void
refuse_request(struct entry *e, uint64_t request, const struct ef_problem *p)
{
    struct ef_problem *to;

    if (request == REQUEST_NONE) {
        return;
    }
    to = &effects_add(e->fx, EF_PROBLEM)->u.problem;
    *to = *p;
    to->request = request;
}

static void
refuse_plain(struct entry *e, uint64_t request, enum problem problem,
             int64_t retry_after_us, const char *detail)
{
    struct ef_problem p = {.problem = problem,
                           .retry_after_us = retry_after_us,
                           .not_by_this = true};

    (void)snprintf(p.detail, sizeof(p.detail), "%s", detail);
    refuse_request(e, request, &p);
}

static void
refuse_stopping(struct entry *e, uint64_t request)
{
    e->counters.jobs_refused++;
    refuse_plain(e, request, PROBLEM_STOPPING, entry_jitter(e, USEC_PER_SEC),
                 "another instance takes it");
}

static void
refuse_past(struct entry *e, uint64_t request, const struct past *p,
            uint64_t digest)
{
    if (digest != 0 && p->digest != 0 && digest != p->digest) {
        refuse_plain(e, request, PROBLEM_CONFLICT, 0,
                     "the key was used with another body");
        return;
    }
    refuse_plain(e, request, PROBLEM_FORGOTTEN, 0,
                 "the job ended; its answer is no longer kept");
}

static void
answer_running(struct entry *e, uint64_t request)
{
    struct ef_answer *f = &effects_add(e->fx, EF_ANSWER)->u.answer;

    f->request = request;
    f->answer = new_answer(0, JOB_RUNNING, REASON_NONE);
}

/* One more caller for a job that is here already. */
static void
job_join(struct entry *e, struct job *job, const struct waiter *w)
{
    waiters_add(&e->jobs->requests, job, w);
    if (job->phase == JOB_ENDED) {
        waiters_answer(e, &e->jobs->requests, job, job->answer);
    }
    else if (job->phase != JOB_CLAIMING) {
        waiters_accepted(e, &e->jobs->requests, job);
    }
}

static bool
digest_differs(const struct job *job, uint64_t digest)
{
    return digest != 0 && job->digest != 0 && job->digest != digest;
}

static void
submit_again(struct entry *e, const struct ev_submit *ev, struct job *job)
{
    struct waiter w = {.request = ev->request,
                       .n_tasks = (uint32_t)ev->spec->n_tasks,
                       .async = ev->respond_async};

    if (digest_differs(job, ev->spec->digest)) {
        entry_log(e, LOG_INFO, REASON_KEY_CONFLICT, &job->id, -1, name_of(""),
                  "submitted here with another body");
        refuse_plain(e, ev->request, PROBLEM_CONFLICT, 0,
                     "the key was used with another body");
        return;
    }
    e->counters.jobs_joined++;
    job_join(e, job, &w);
}

static void
fill_task(struct task *t, const struct task_spec *spec,
          const struct service_conf *s)
{
    t->phase = TASK_WAITING;
    t->need = spec->need_given ? spec->need : s->need;
    t->run_us = spec->run_us > 0 ? spec->run_us : s->run_us;
    t->payload = blob_ref(spec->payload);
}

static void
fill_job(struct entry *e, struct job *job, const struct job_spec *spec)
{
    const struct service_conf *s = config_service(e->config, spec->service);

    job->purpose = CLAIM_RUN;
    job->digest = spec->digest;
    job->service = s;
    job->service_name = s->name;
    job->team = s->team;
    job->idempotent =
        spec->idempotent_given ? spec->idempotent : s->idempotent;
    job->deadline_us = job->submitted_us + submission_deadline_us(e, s, spec);
    job->n_tasks = (uint32_t)spec->n_tasks;
    job->tasks = calloc(spec->n_tasks, sizeof(*job->tasks));
    if (job->tasks == NULL) {
        abort();
    }
    for (uint32_t i = 0; i < job->n_tasks; i++) {
        fill_task(&job->tasks[i], &spec->tasks[i], s);
        job->work_left_us += job->tasks[i].run_us;
    }
}

static void
submit_new(struct entry *e, const struct ev_submit *ev,
           const struct key_ref *key)
{
    struct waiter w = {.request = ev->request,
                       .n_tasks = (uint32_t)ev->spec->n_tasks,
                       .async = ev->respond_async};
    struct job *job = job_add(e, key, false);

    fill_job(e, job, ev->spec);
    waiters_add(&e->jobs->requests, job, &w);
    job_due(e, job, job->deadline_us);
    claims_begin(e, key, job->digest, CLAIM_RUN, job->self);
}

void
jobs_submit(struct entry *e, const struct ev_submit *ev)
{
    struct ef_problem p = {0};
    struct key_ref key;
    struct job *job;

    e->counters.jobs_submitted++;
    if (!submission_key(e, ev->key, &key, &p)) {
        e->counters.jobs_refused++;
        refuse_request(e, ev->request, &p);
        return;
    }
    job = jobs_by_key(e, key.id);
    if (job != NULL) {
        submit_again(e, ev, job);
    }
    else if (past_of(e, key.id) != NULL) {
        refuse_past(e, ev->request, past_of(e, key.id), ev->spec->digest);
    }
    else if (e->stopping) {
        refuse_stopping(e, ev->request);
    }
    else if (!submission_check(e, ev->spec, &p)) {
        e->counters.jobs_refused++;
        refuse_request(e, ev->request, &p);
    }
    else {
        submit_new(e, ev, &key);
    }
}

/* Asks the key's voters, then its claimer. */
static void
query_new(struct entry *e, const struct ev_query *ev,
          const struct key_ref *key)
{
    struct waiter w = {.request = ev->request};
    struct job *job = job_add(e, key, true);

    job->peek = !ev->wait;
    job->deadline_us =
        job->submitted_us + e->opts.claim_window_us / WINDOW_SHARE;
    waiters_add(&e->jobs->requests, job, &w);
    job_due(e, job, job->deadline_us);
    claims_find(e, key, job->self);
}

void
jobs_get(struct entry *e, const struct ev_query *ev)
{
    struct waiter w = {.request = ev->request};
    struct ef_problem p = {0};
    struct key_ref key;
    struct job *job;

    if (!submission_key(e, ev->key, &key, &p)) {
        refuse_request(e, ev->request, &p);
        return;
    }
    job = jobs_by_key(e, key.id);
    if (job != NULL && job->phase != JOB_ENDED && !ev->wait) {
        answer_running(e, ev->request);
    }
    else if (job != NULL) {
        job_join(e, job, &w);
    }
    else if (past_of(e, key.id) != NULL) {
        refuse_past(e, ev->request, past_of(e, key.id), 0);
    }
    else if (e->stopping) {
        refuse_stopping(e, ev->request);
    }
    else {
        query_new(e, ev, &key);
    }
}

/* Cancels a job that is here. */
static void
job_cancel(struct entry *e, struct job *job)
{
    bool first = !job->cancel;

    job->cancel = true;
    if (job->phase == JOB_ACTIVE) {
        jobs_fail(e, job, REASON_CANCELLED);
    }
    else if (job->phase == JOB_JOINED && first) {
        send_wait(e, job);
    }
}

/* A cancel that overtook its submission claims the key itself, so that the
 * submission finds it taken. */
static void
cancel_new(struct entry *e, const struct ev_query *ev,
           const struct key_ref *key)
{
    struct waiter w = {.request = ev->request};
    struct job *job = job_add(e, key, false);

    job->purpose = CLAIM_CANCEL;
    job->deadline_us =
        job->submitted_us + e->opts.claim_window_us / WINDOW_SHARE;
    waiters_add(&e->jobs->requests, job, &w);
    job_due(e, job, job->deadline_us);
    claims_begin(e, key, 0, CLAIM_CANCEL, job->self);
}

void
jobs_cancel(struct entry *e, const struct ev_query *ev)
{
    struct waiter w = {.request = ev->request};
    struct ef_problem p = {0};
    struct key_ref key;
    struct job *job;

    if (!submission_key(e, ev->key, &key, &p)) {
        refuse_request(e, ev->request, &p);
        return;
    }
    job = jobs_by_key(e, key.id);
    if (job != NULL) {
        job_join(e, job, &w);
        job_cancel(e, job);
    }
    else if (past_of(e, key.id) != NULL) {
        refuse_past(e, ev->request, past_of(e, key.id), 0);
    }
    else if (e->stopping) {
        refuse_stopping(e, ev->request);
    }
    else {
        cancel_new(e, ev, &key);
    }
}

void
jobs_caller_gone(struct entry *e, uint64_t request)
{
    struct waiter *w = map_get(&e->jobs->requests, &request);
    struct job *job = w != NULL ? jobs_of(e, w->job) : NULL;

    if (job != NULL &&
        waiters_gone(&e->jobs->requests, job, request) == NULL && job->query) {
        job_remove(e, job);
    }
}

void
jobs_mint(struct entry *e, const struct ev_mint *ev)
{
    uint32_t n = ev->count < MINT_MAX ? ev->count : MINT_MAX;
    char(*keys)[KEY_TEXT_SIZE] = calloc(n > 0 ? n : 1, sizeof(*keys));
    struct ef_keys *f;

    if (keys == NULL) {
        entry_refuse(e, ev->request, PROBLEM_INTERNAL, 0, "out of memory");
        return;
    }
    for (uint32_t i = 0; i < n; i++) {
        key_mint(e->zone, e->opts.self, e->opts.incarnation, e->now.wall_us,
                 ++e->jobs->minted, keys[i]);
    }
    f = &effects_add(e->fx, EF_KEYS)->u.keys;
    f->request = ev->request;
    f->keys = keys;
    f->n_keys = n;
}

/* ---- other instances ---- */

static void
wait_unknown(struct entry *e, struct name from, const struct rec_job_wait *m)
{
    const struct past *p = past_of(e, m->key);
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
wait_known(struct entry *e, struct name from, const struct rec_job_wait *m,
           struct job *job)
{
    struct waiter w = {.instance = from, .wait = m->wait};

    if (digest_differs(job, m->digest)) {
        waiter_reply(e, from, m->wait, m->key, WAIT_CONFLICT, NULL);
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
    job_join(e, job, &w);
    if (m->cancel != 0) {
        job_cancel(e, job);
    }
}

static bool
on_wait(struct entry *e, struct name from, const struct rec_job_wait *m)
{
    struct job *job = jobs_by_key(e, m->key);

    if (members_of(e, from) == NULL) {
        return false;
    }
    if (job == NULL) {
        wait_unknown(e, from, m);
    }
    else {
        wait_known(e, from, m, job);
    }
    return true;
}

/* An answer is whole or it is none: a wrong number of tasks, a state or a
 * reason nobody knows, or a complete job with a task that did not run. */
static bool
answer_sound(const struct job *job, const struct rec_job_answer *m)
{
    bool cancelled = m->n_tasks == 0 && m->status == JOB_FAILED;

    if ((m->status != JOB_COMPLETE && m->status != JOB_FAILED) ||
        m->reason >= REASONS || m->n_tasks > JOB_TASKS_MAX) {
        return false;
    }
    for (size_t i = 0; i < m->n_tasks; i++) {
        if (m->tasks[i].state > TASK_UNKNOWN ||
            (m->status == JOB_COMPLETE && m->tasks[i].state != TASK_RAN)) {
            return false;
        }
    }
    return job->n_tasks == 0 || m->n_tasks == job->n_tasks || cancelled;
}

static bool
take_answer(struct entry *e, struct job *job, const struct rec_job_answer *m)
{
    struct job_answer *a;

    if (!answer_sound(job, m)) {
        return false;
    }
    a = new_answer(m->n_tasks, (enum job_status)m->status,
                   (enum reason)m->reason);
    for (size_t i = 0; i < m->n_tasks; i++) {
        a->tasks[i].state = (enum task_state)m->tasks[i].state;
        a->tasks[i].ok = m->tasks[i].ok != 0;
        a->tasks[i].result = blob_ref(m->tasks[i].result);
    }
    entry_log(e, LOG_DEBUG, a->reason, &job->id, -1, job->claimer,
              "answered there");
    waiters_answer(e, &e->jobs->requests, job, a);
    job_answer_free(a);
    job_remove(e, job);
    return true;
}

static void
take_running(struct entry *e, struct job *job)
{
    struct job_answer *a = new_answer(0, JOB_RUNNING, REASON_NONE);

    waiters_answer(e, &e->jobs->requests, job, a);
    job_answer_free(a);
    job_remove(e, job);
}

static void
take_released(struct entry *e, struct job *job)
{
    entry_log(e, LOG_INFO, REASON_CLAIMER_RELEASED, &job->id, -1, job->claimer,
              "it gave the key up");
    if (job->query) {
        job_refuse_plain(e, job, PROBLEM_UNKNOWN_JOB, 0, WAIT_RELEASED,
                         "its claimer gave it up before any start");
        return;
    }
    job_refuse_plain(e, job, PROBLEM_NO_CLAIM,
                     entry_jitter(e, 4 * e->opts.claim_timeout_us),
                     WAIT_RELEASED, "its claimer gave it up");
}

static bool
on_answer(struct entry *e, struct name from, const struct rec_job_answer *m)
{
    struct job *job = job_of_wait(e, m->wait);

    if (job == NULL || job->phase != JOB_JOINED ||
        !key_id_equal(job->id, m->key) || !name_equal(job->claimer, from)) {
        return members_of(e, from) != NULL; /* late or doubled */
    }
    switch (m->outcome) {
    case WAIT_ANSWER:
        return take_answer(e, job, m);
    case WAIT_RUNNING:
        if (job->peek) {
            take_running(e, job);
        }
        return true;
    case WAIT_CONFLICT:
        job_refuse_plain(e, job, PROBLEM_CONFLICT, 0, WAIT_RELEASED,
                         "the key was used with another body");
        return true;
    case WAIT_RELEASED:
        take_released(e, job);
        return true;
    case WAIT_FORGOTTEN:
        job_refuse_plain(e, job, PROBLEM_FORGOTTEN, 0, WAIT_RELEASED,
                         "the job ended; its answer is no longer kept");
        return true;
    case WAIT_LOST:
        claimer_lost(e, job);
        return true;
    default:
        return false;
    }
}

void
jobs_on_message(struct entry *e, struct name from, const struct msg *m)
{
    bool sense = m->kind == MSG_JOB_WAIT
                     ? on_wait(e, from, &m->u.job_wait)
                     : on_answer(e, from, &m->u.job_answer);

    if (!sense) {
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
            claimer_gone(e, job)) {
            claimer_lost(e, job);
        }
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

/* ---- time ---- */

/* A job that waits at a claimer, or for the claim itself, has no answer of
 * its own to give at its deadline. */
static void
joined_deadline(struct entry *e, struct job *job)
{
    entry_log(e, LOG_INFO, REASON_DEADLINE, &job->id, -1, job->claimer,
              "no answer from its claimer");
    claimer_lost(e, job);
}

static void
job_timer(struct entry *e, struct job *job)
{
    bool over = e->now.mono_us >= job->deadline_us;

    switch (job->phase) {
    case JOB_CLAIMING:
        on_unavailable(e, job);
        break;
    case JOB_JOINED:
        if (over) {
            joined_deadline(e, job);
        }
        else {
            wait_again(e, job);
        }
        break;
    case JOB_ACTIVE:
        jobs_fail(e, job, REASON_DEADLINE);
        break;
    default:
        break;
    }
}

static void
past_expire(struct entry *e)
{
    struct jobs *j = e->jobs;
    struct handle h;

    while (timers_pop(&j->past_due, e->now.mono_us, &h)) {
        struct past *p = table_get(&j->past, h);

        if (p != NULL) {
            (void)map_remove(&j->past_by_key, &p->id);
            table_remove(&j->past, h);
        }
    }
}

void
jobs_tick(struct entry *e)
{
    struct jobs *j = e->jobs;
    struct handle h;
    struct job *job;

    while (timers_pop(&j->due, e->now.mono_us, &h)) {
        job = table_get(&j->table, h);
        if (job != NULL && job->due_us <= e->now.mono_us) {
            job_timer(e, job);
        }
    }
    while (timers_pop(&j->kept, e->now.mono_us, &h)) {
        job = table_get(&j->table, h);
        if (job != NULL) {
            forget_answer(e, job);
        }
    }
    past_expire(e);
}

int64_t
jobs_next_us(const struct entry *e)
{
    const struct jobs *j = e->jobs;
    int64_t next = timers_next_us(&j->due);
    int64_t kept = timers_next_us(&j->kept);
    int64_t past = timers_next_us(&j->past_due);

    next = kept < next ? kept : next;
    return past < next ? past : next;
}
