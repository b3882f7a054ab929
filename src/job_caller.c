#include <stdio.h>
#include <stdlib.h>
#include <syslog.h>

#include "dispatch.h"
#include "job_state.h"
#include "submission.h"

/* Keys younger than this are taken as submitted for the first time. */
#define FRESH_KEY_US (1 * USEC_PER_SEC)

enum {
    MINT_MAX = 1000, /* keys in one request */
};

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
refuse_not_started(struct entry *e, uint64_t request, enum problem problem,
                   int64_t retry_after_us, const char *detail)
{
    struct ef_problem p = {.problem = problem,
                           .retry_after_us = retry_after_us,
                           .request_started_nothing = true};

    (void)snprintf(p.detail, sizeof(p.detail), "%s", detail);
    refuse_request(e, request, &p);
}

static void
refuse_stopping(struct entry *e, uint64_t request)
{
    e->counters.jobs_refused++;
    refuse_not_started(e, request, PROBLEM_STOPPING,
                       entry_jitter(e, USEC_PER_SEC),
                       "another instance takes it");
}

static void
refuse_ended(struct entry *e, uint64_t request, const struct used_key *p,
             uint64_t digest)
{
    if (digest != 0 && p->digest != 0 && digest != p->digest) {
        refuse_not_started(e, request, PROBLEM_CONFLICT, 0,
                           "the key was used with another body");
        return;
    }
    refuse_not_started(e, request, PROBLEM_FORGOTTEN, 0,
                       "the job ended; its answer is no longer kept");
}

static void
answer_running(struct entry *e, uint64_t request)
{
    struct ef_answer *f = &effects_add(e->fx, EF_ANSWER)->u.answer;

    f->request = request;
    f->answer = job_answer_create(0, JOB_RUNNING, REASON_NONE);
}

static void
submit_existing(struct entry *e, const struct ev_submit *ev, struct job *job)
{
    struct waiter w = {.request = ev->request,
                       .n_tasks = (uint32_t)ev->spec->n_tasks,
                       .async = ev->respond_async};

    if (job_digest_differs(job, ev->spec->digest)) {
        entry_log(e, LOG_INFO, REASON_KEY_CONFLICT, &job->id, -1, name_of(""),
                  "submitted here with another body");
        refuse_not_started(e, ev->request, PROBLEM_CONFLICT, 0,
                           "the key was used with another body");
        return;
    }
    e->counters.jobs_joined++;
    job_add_waiter(e, job, &w);
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

/* Refuses a job before claiming its key, if the instance is overloaded.
 *
 * Under overload most jobs are refused, and a claim that is released at once
 * costs four to seven messages.  A key issued less than FRESH_KEY_US ago was
 * not submitted before, so its job can be refused without a claim.  An older
 * or bare key may belong to a job that runs at another instance, whose answer
 * the caller must get even if this instance is full.  Not done for direct
 * placement, where more jobs missed their deadlines with it
 * (docs/design/claims.md). */
static bool
refuse_early(struct entry *e, struct job *job)
{
    struct ef_problem p = {.problem = PROBLEM_OVERLOADED,
                           .request_started_nothing = true};
    struct admission a;

    if (e->opts.placement != PLACE_HOLDER ||
        job->key.issued_us + FRESH_KEY_US < e->now.wall_us) {
        return false;
    }
    a = dispatch_admit(e, job);
    if (a.admitted || a.problem != PROBLEM_OVERLOADED) {
        return false;
    }
    entry_log(e, LOG_INFO, a.reason, &job->id, -1, name_of(""),
              "refused before its claim: %s", a.detail);
    p.retry_after_us = a.retry_after_us;
    (void)snprintf(p.detail, sizeof(p.detail), "%s", a.detail);
    job_refuse(e, job, &p, WAIT_RELEASED);
    return true;
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
    waiters_add(&e->jobs->waiters_by_request, job, &w);
    if (refuse_early(e, job)) {
        return;
    }
    job_set_timer(e, job, job->deadline_us);
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
        submit_existing(e, ev, job);
    }
    else if (job_find_used_key(e, key.id) != NULL) {
        refuse_ended(e, ev->request, job_find_used_key(e, key.id),
                     ev->spec->digest);
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

/* Looks up the claimer with the key's voters, then asks the claimer. */
static void
query_new(struct entry *e, const struct ev_query *ev,
          const struct key_ref *key)
{
    struct waiter w = {.request = ev->request};
    struct job *job = job_add(e, key, true);

    job->no_wait = !ev->wait;
    job->deadline_us =
        job->submitted_us + e->opts.claim_window_us / CLAIM_WINDOW_DIVISOR;
    waiters_add(&e->jobs->waiters_by_request, job, &w);
    job_set_timer(e, job, job->deadline_us);
    claims_find(e, key, job->self);
}

void
jobs_query(struct entry *e, const struct ev_query *ev)
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
        job_add_waiter(e, job, &w);
    }
    else if (job_find_used_key(e, key.id) != NULL) {
        refuse_ended(e, ev->request, job_find_used_key(e, key.id), 0);
    }
    else if (e->stopping) {
        refuse_stopping(e, ev->request);
    }
    else {
        query_new(e, ev, &key);
    }
}

/* A cancel that arrives before its submission claims the key itself, so that
 * the submission finds the key taken. */
static void
cancel_new(struct entry *e, const struct ev_query *ev,
           const struct key_ref *key)
{
    struct waiter w = {.request = ev->request};
    struct job *job = job_add(e, key, false);

    job->purpose = CLAIM_CANCEL;
    job->deadline_us =
        job->submitted_us + e->opts.claim_window_us / CLAIM_WINDOW_DIVISOR;
    waiters_add(&e->jobs->waiters_by_request, job, &w);
    job_set_timer(e, job, job->deadline_us);
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
        job_add_waiter(e, job, &w);
        job_cancel(e, job);
    }
    else if (job_find_used_key(e, key.id) != NULL) {
        refuse_ended(e, ev->request, job_find_used_key(e, key.id), 0);
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
    struct waiter *w = map_get(&e->jobs->waiters_by_request, &request);
    struct job *job = w != NULL ? jobs_by_handle(e, w->job) : NULL;

    if (job != NULL &&
        waiters_remove(&e->jobs->waiters_by_request, job, request) == NULL &&
        job->is_query) {
        job_remove(e, job);
    }
}

void
jobs_mint_keys(struct entry *e, const struct ev_mint *ev)
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
                 ++e->jobs->n_keys_minted, keys[i]);
    }
    f = &effects_add(e->fx, EF_KEYS)->u.keys;
    f->request = ev->request;
    f->keys = keys;
    f->n_keys = n;
}
