/*
 * Running jobs, for the callers of this broker and of other brokers.
 *
 * A task is started again only when its last run has certainly ended: the
 * upstream reported its end or confirmed a stop, or the lease of the run has
 * expired.
 */
#include <stdlib.h>
#include <string.h>

#include "broker_state.h"

/* Interval between checks whether queued jobs can still be in time. */
#define QUEUE_REVIEW_US (20 * USEC_PER_MSEC)

struct broker_service *
run_ensure_service(struct broker *b, struct name name)
{
    struct broker_service *s = b->services;

    while (s != NULL && !name_equal(s->name, name)) {
        s = s->next;
    }
    if (s != NULL) {
        return s;
    }
    s = calloc(1, sizeof(*s));
    if (s == NULL) {
        abort();
    }
    s->name = name;
    TAILQ_INIT(&s->queue);
    s->next = b->services;
    b->services = s;
    return s;
}

int32_t
run_task_number(const struct run_job *job, const struct run_task *t)
{
    return (int32_t)(t - job->tasks);
}

struct run_task *
run_find_task(struct broker *b, const struct placed_task *p,
              struct run_job **job)
{
    *job = table_get(&b->run_jobs, p->job);
    return *job != NULL ? &(*job)->tasks[p->task] : NULL;
}

struct run_job *
run_find_open(struct broker *b, uint64_t id)
{
    struct run_job *job;
    struct handle h;
    uint32_t at = 0;

    while ((job = table_next(&b->run_jobs, &at, &h)) != NULL) {
        if (job->id == id && !job->closed) {
            return job;
        }
    }
    return NULL;
}

/* Whether runs of a closed submission of the job may go on. */
static bool
has_unended_submission(struct broker *b, uint64_t id)
{
    struct run_job *job;
    struct handle h;
    uint32_t at = 0;

    while ((job = table_next(&b->run_jobs, &at, &h)) != NULL) {
        if (job->id == id && job->closed && !job->runs_ended) {
            return true;
        }
    }
    return false;
}

bool
run_has_job(struct broker *b, uint64_t id)
{
    const struct run_job *job;
    struct handle h;
    uint32_t at = 0;

    while ((job = table_next(&b->run_jobs, &at, &h)) != NULL) {
        if (job->id == id) {
            return true;
        }
    }
    return false;
}

/* Closing a job */

static void
send_job_end(struct broker *b, struct name taker, uint64_t number,
             enum job_outcome outcome, enum broker_reason reason,
             int64_t retry_us)
{
    struct msg m = {.kind = MSG_JOB_END};

    m.u.job_end.number = number;
    m.u.job_end.outcome = outcome;
    m.u.job_end.reason = reason;
    m.u.job_end.retry_after_us = (uint64_t)retry_us;
    broker_send(b, taker, &m);
}

static bool
is_bound(const struct run_task *t)
{
    return !handle_none(t->bound_upstream);
}

static bool
has_bound_task(const struct run_job *job)
{
    for (uint32_t i = 0; i < job->n_tasks; i++) {
        if (is_bound(&job->tasks[i])) {
            return true;
        }
    }
    return false;
}

/* The upstream may execute a lost start of the earlier submission while this
 * one runs. */
static void
inherit_bound_tasks(struct run_job *job, const struct run_job *earlier)
{
    for (uint32_t i = 0; i < job->n_tasks && i < earlier->n_tasks; i++) {
        struct run_task *t = &job->tasks[i];
        const struct run_task *e = &earlier->tasks[i];

        if (!is_bound(e)) {
            continue;
        }
        t->bound_upstream = e->bound_upstream;
        t->lost_starts = e->lost_starts;
        job->n_unresolved += e->lost_starts;
        t->run = e->run > t->run ? e->run : t->run;
        t->start_resolved = true;
    }
}

/* The runs of @earlier have ended.  Queues the submission that waits for all
 * earlier ones of the job, if this was the last of these. */
static void
unblock_submission(struct broker *b, const struct run_job *earlier)
{
    struct run_job *job = run_find_open(b, earlier->id);

    if (job == NULL || !job->blocked_by_earlier) {
        return;
    }
    inherit_bound_tasks(job, earlier);
    if (!has_unended_submission(b, earlier->id)) {
        job->blocked_by_earlier = false;
        order_insert(job);
    }
}

static void
log_resolved(struct broker *b, const struct run_job *job)
{
    int64_t after_us = b->now.mono_us - job->closed_us;

    if (after_us == 0) {
        return; /* no run was left on an upstream */
    }
    histogram_add(&b->histograms.settle, after_us);
    broker_log(b, LOG_INFO, BROKER_SETTLED, job->id, -1, job->taker,
               "%lld ms after its end", (long long)(after_us / USEC_PER_MSEC));
}

/* Frees a closed job once none of its tasks can run on an upstream.  One with
 * bound tasks is kept until its deadline, after which no submission of the job
 * is run. */
static void
remove_if_resolved(struct broker *b, struct run_job *job)
{
    if (!job->closed || job->n_placed > 0) {
        return;
    }
    if (!job->runs_ended) {
        job->runs_ended = true;
        order_remove(job);
        log_resolved(b, job);
        unblock_submission(b, job);
    }
    if (has_bound_task(job) && b->now.mono_us < job->deadline_us) {
        return;
    }
    owner_on_job_removed(b, job);
    blob_unref(job->spec);
    free(job->groups);
    free(job->tasks);
    job->tasks = NULL;
    job->n_tasks = 0;
    table_remove(&b->run_jobs, job->self);
}

static void
remove_from_upstream(struct broker *b, struct run_job *job, struct run_task *t)
{
    struct broker_upstream *u = table_get(&b->upstreams, t->upstream);

    if (u != NULL) {
        lease_remove_task(b, u, job, t);
    }
    t->upstream = (struct handle){0};
    job->n_placed--;
    job->service->placement_due = true;
}

static void
release_reservation(struct broker *b, struct run_job *job, struct run_task *t)
{
    remove_from_upstream(b, job, t);
    t->state = RUN_READY;
    job->n_ready++;
}

static void
stop_placed_tasks(struct broker *b, struct run_job *job)
{
    for (uint32_t i = 0; i < job->n_tasks; i++) {
        struct run_task *t = &job->tasks[i];

        if (t->state == RUN_RESERVED) {
            release_reservation(b, job, t);
        }
        else if (t->state >= RUN_STARTING && t->state <= RUN_UNRESOLVED) {
            lease_stop(b, table_get(&b->upstreams, t->upstream), job, t);
        }
    }
}

/* Sends the outcome to the taker at once.  The job is kept until all its runs
 * have been stopped. */
static void
close_job(struct broker *b, struct run_job *job, enum job_outcome outcome,
          enum broker_reason reason, int64_t retry_us)
{
    if (job->closed) {
        return;
    }
    renew_close_job(b, job);
    order_remove(job);
    send_job_end(b, job->taker, job->number, outcome, reason, retry_us);
    broker_log(
        b, LOG_DEBUG, BROKER_ENDED, job->id, -1, job->taker,
        "%s, %s; %u of %u tasks left, %u at upstreams, after %lld ms",
        job_outcome_text(outcome), broker_reason_text(reason),
        job->n_unfinished, job->n_tasks, job->n_placed,
        (long long)((b->now.mono_us - job->arrived_us) / USEC_PER_MSEC));
    stop_placed_tasks(b, job);
    remove_if_resolved(b, job);
}

void
run_abandon_job(struct broker *b, struct run_job *job,
                enum broker_reason reason)
{
    close_job(b, job, job->started ? JOB_LOST_OUTCOME : JOB_RETURNED_OUTCOME,
              reason, 0);
}

void
run_give_up_job(struct broker *b, struct run_job *job,
                enum broker_reason reason)
{
    close_job(b, job, JOB_LOST_OUTCOME, reason, 0);
}

/* Closes a job that its taker dropped, or whose taker is lost, without sending
 * an outcome. */
void
run_drop_job(struct broker *b, struct run_job *job, enum broker_reason reason)
{
    if (job->closed) {
        return;
    }
    renew_close_job(b, job);
    order_remove(job);
    broker_log(b, LOG_INFO, reason, job->id, -1, job->taker,
               "%u of %u tasks left, %u at upstreams", job->n_unfinished,
               job->n_tasks, job->n_placed);
    stop_placed_tasks(b, job);
    remove_if_resolved(b, job);
}

/* Accepting a job */

static bool
group_may_start(const struct run_job *job, uint32_t group)
{
    for (uint32_t i = 0; i < job->n_tasks; i++) {
        const struct run_task *t = &job->tasks[i];

        if ((job->groups[group].after >> t->group & 1) != 0 &&
            t->state != RUN_ENDED) {
            return false;
        }
    }
    return true;
}

static void
unblock_groups(struct run_job *job)
{
    for (uint32_t g = 0; g < job->n_groups; g++) {
        if (job->groups[g].after != 0 && !group_may_start(job, g)) {
            continue;
        }
        for (uint32_t i = 0; i < job->n_tasks; i++) {
            if (job->tasks[i].group == g &&
                job->tasks[i].state == RUN_BLOCKED) {
                job->tasks[i].state = RUN_READY;
                job->n_ready++;
            }
        }
    }
}

static bool
create_tasks(struct run_job *job)
{
    uint64_t total = 0;
    uint32_t n = 0;

    for (size_t i = 0; i < job->n_groups; i++) {
        uint64_t later = ~((UINT64_C(1) << i) - 1);

        if (job->groups[i].count == 0 ||
            job->groups[i].count > BROKER_TASKS_MAX ||
            (job->groups[i].after & later) != 0) {
            return false;
        }
        total += job->groups[i].count;
    }
    if (total == 0 || total > BROKER_TASKS_MAX) {
        return false;
    }
    job->tasks = calloc(total, sizeof(*job->tasks));
    if (job->tasks == NULL) {
        abort();
    }
    for (uint32_t g = 0; g < job->n_groups; g++) {
        for (uint32_t i = 0; i < job->groups[g].count; i++) {
            job->tasks[n].group = g;
            job->tasks[n].index = i;
            n++;
        }
    }
    job->n_tasks = n;
    job->n_unfinished = n;
    return true;
}

static bool
fits_upstreams(struct broker *b, const struct run_job *job)
{
    for (size_t i = 0; i < job->n_groups; i++) {
        if (!place_fits_any(b, job->service, &job->groups[i])) {
            return false;
        }
    }
    return true;
}

static enum broker_reason
check_admission(struct broker *b, struct run_job *job, int64_t *retry_us,
                enum job_outcome *outcome)
{
    enum broker_reason reason;

    *retry_us = 0;
    *outcome = JOB_RETURNED_OUTCOME;
    if (b->stopping && !shutdown_accepts_job(b, job)) {
        return BROKER_STOPPING;
    }
    if (!evacuate_accepts_jobs(b)) {
        b->counters.offers_evacuated++;
        evacuate_log_refusal(b, job->id);
        return BROKER_EVACUATED;
    }
    if (!fits_upstreams(b, job)) {
        return BROKER_NEVER_FITS;
    }
    reason = order_admit(b, job, retry_us);
    *outcome = JOB_REFUSED_OUTCOME;
    return reason;
}

/* @retry_us is 0 for refusals that do not depend on time: the job never fits,
 * or this broker is stopping. */
static void
log_refusal(struct broker *b, const struct run_job *job,
            enum broker_reason reason, int64_t retry_us)
{
    int64_t must_us = job->latest_start_us - b->now.mono_us;
    char times[DETAIL_SIZE] = "";

    if (retry_us > 0) {
        (void)snprintf(times, sizeof(times),
                       ", must start in %lld ms, capacity %lld ms after that",
                       (long long)(must_us / USEC_PER_MSEC),
                       (long long)(retry_us / USEC_PER_MSEC));
    }
    broker_log(b, LOG_NOTICE, reason, job->id, -1, job->taker,
               "queue %s, %u tasks, %u jobs wait%s", job->queue.s,
               job->n_tasks, job->service->n_queued, times);
}

/* Continues the job for the taker @from, if a submission of it is open here.
 */
static bool
merge_resubmission(struct broker *b, struct name from,
                   const struct rec_job_offer *o)
{
    struct run_job *earlier = run_find_open(b, o->id);

    if (earlier == NULL) {
        return false;
    }
    b->counters.offers_again++;
    broker_log(b, LOG_INFO, BROKER_HANDED_IN_AGAIN, o->id, -1, from,
               "earlier taker %s", earlier->taker.s);
    send_job_end(b, earlier->taker, earlier->number, JOB_LOST_OUTCOME,
                 BROKER_HANDED_IN_AGAIN, 0);
    earlier->taker = from;
    earlier->number = o->number;
    earlier->accepted_us = b->now.mono_us;
    earlier->renewed_us = renew_echoed_us(b, o->heard_us);
    earlier->deadline_us = b->now.mono_us + (int64_t)o->deadline_us;
    owner_on_deadline_moved(b, earlier);
    return true;
}

/* A caller that got no answer submits its job again while closed submissions
 * of it are still here: their remaining runs must end before this one starts,
 * and their bound tasks stay bound. */
static void
wait_for_closed_submissions(struct broker *b, struct run_job *job)
{
    struct run_job *earlier;
    struct handle h;
    uint32_t at = 0;

    while ((earlier = table_next(&b->run_jobs, &at, &h)) != NULL) {
        if (earlier->id != job->id || !earlier->closed) {
            continue;
        }
        b->counters.offers_again++;
        broker_log(
            b, LOG_INFO, BROKER_HANDED_IN_AGAIN, job->id, -1, job->taker,
            "waits for %u runs of the earlier submission, ended %lld ms ago",
            earlier->n_placed,
            (long long)((b->now.mono_us - earlier->closed_us) /
                        USEC_PER_MSEC));
        inherit_bound_tasks(job, earlier);
        job->blocked_by_earlier |= !earlier->runs_ended;
    }
}

static struct run_job *
new_job(struct broker *b, struct name from, const struct rec_job_offer *o)
{
    struct handle h;
    struct run_job *job = table_add(&b->run_jobs, &h);

    job->self = h;
    job->taker = from;
    job->number = o->number;
    job->id = o->id;
    job->queue = o->queue;
    job->service = run_ensure_service(b, o->service);
    job->priority = (uint32_t)o->priority;
    job->attempts = o->attempts > 0 ? (uint32_t)o->attempts : 1;
    job->arrived_us = b->now.mono_us - (int64_t)o->age_us;
    job->accepted_us = b->now.mono_us;
    job->renewed_us = renew_echoed_us(b, o->heard_us);
    job->spec = blob_ref(o->spec);
    job->groups = calloc(o->n_groups + 1, sizeof(*job->groups));
    if (job->groups == NULL) {
        abort();
    }
    memcpy(job->groups, o->groups, o->n_groups * sizeof(*o->groups));
    job->n_groups = o->n_groups;
    return job;
}

void
run_on_offer(struct broker *b, struct name from, const struct rec_job_offer *o)
{
    enum broker_reason reason = BROKER_NEVER_FITS;
    enum job_outcome outcome = JOB_REFUSED_OUTCOME;
    int64_t retry_us = 0;
    struct run_job *job;

    if (o->n_groups == 0 || o->n_groups > TASK_GROUPS_MAX ||
        merge_resubmission(b, from, o)) {
        return;
    }
    job = new_job(b, from, o);
    if (create_tasks(job)) {
        order_set_times(b, job, o);
        unblock_groups(job);
        reason = check_admission(b, job, &retry_us, &outcome);
    }
    if (reason != BROKER_NONE) {
        b->counters.offers_refused++;
        log_refusal(b, job, reason, retry_us);
        close_job(b, job, outcome, reason, retry_us);
        return;
    }
    b->counters.offers_taken++;
    broker_log(
        b, LOG_INFO, BROKER_ACCEPTED, job->id, -1, from,
        "queue %s, %u tasks, starts in %lld ms, %u jobs wait", job->queue.s,
        job->n_tasks,
        (long long)((job->latest_start_us - b->now.mono_us) / USEC_PER_MSEC),
        job->service->n_queued);
    wait_for_closed_submissions(b, job);
    if (!job->blocked_by_earlier) {
        order_insert(job);
    }
}

static struct run_job *
find_offered(struct broker *b, struct name taker, uint64_t number)
{
    struct run_job *job;
    struct handle h;
    uint32_t at = 0;

    while ((job = table_next(&b->run_jobs, &at, &h)) != NULL) {
        if (job->number == number && name_equal(job->taker, taker)) {
            return job;
        }
    }
    return NULL;
}

void
run_on_drop(struct broker *b, struct name from, uint64_t number)
{
    struct run_job *job = find_offered(b, from, number);

    if (job != NULL) {
        run_drop_job(b, job, BROKER_CALLER_LEFT);
    }
}

void
run_on_taker_lost(struct broker *b, struct name taker)
{
    struct run_job *job;
    struct handle h;
    uint32_t at = 0;

    while ((job = table_next(&b->run_jobs, &at, &h)) != NULL) {
        if (name_equal(job->taker, taker)) {
            run_drop_job(b, job, BROKER_TAKER_LOST);
        }
    }
}

void
run_on_pause(struct broker *b)
{
    struct run_job *job;
    struct handle h;
    uint32_t at = 0;

    while ((job = table_next(&b->run_jobs, &at, &h)) != NULL) {
        close_job(b, job, JOB_LOST_OUTCOME, BROKER_PAUSED, 0);
    }
}

void
run_return_unstarted(struct broker *b, enum broker_reason reason)
{
    struct run_job *job;
    struct handle h;
    uint32_t at = 0;

    while ((job = table_next(&b->run_jobs, &at, &h)) != NULL) {
        bool unstarted =
            !job->started || b->opts.breaks[BROKER_BREAK_RETURN_STARTED];

        if (unstarted && !job->closed) {
            close_job(b, job, JOB_RETURNED_OUTCOME, reason, 0);
        }
    }
}

/* Tasks */

void
run_mark_reserved(struct broker *b, struct run_job *job, struct run_task *t,
                  struct broker_upstream *u)
{
    t->state = RUN_RESERVED;
    t->upstream = u->self;
    t->start_sent_us = b->now.mono_us;
    t->expected_us = place_expected_us(b, job, &job->groups[t->group], u);
    t->stop_confirmed_us = INT64_MAX;
    t->start_resolved = true;
    job->n_ready--;
    job->n_placed++;
}

void
run_mark_started(struct broker *b, struct run_job *job, struct run_task *t,
                 struct broker_upstream *u)
{
    if (t->state != RUN_RESERVED) {
        run_mark_reserved(b, job, t, u);
    }
    t->state = RUN_STARTING;
    t->run++;
    t->start_sent_us = b->now.mono_us;
    t->expected_us = place_expected_us(b, job, &job->groups[t->group], u);
    t->percent = 0;
    t->progress_us = b->now.mono_us;
    t->stop_confirmed_us = INT64_MAX;
    t->ran_unusual = false;
    t->start_resolved = false;
    job->n_unresolved++;
    if (!job->started) {
        histogram_add(&b->histograms.queue, b->now.mono_us - job->arrived_us);
        if (job->late) {
            order_on_late_start(b, job);
        }
    }
    job->started = true;
    b->counters.tasks_started++;
    broker_log(b, LOG_DEBUG, BROKER_STARTED, job->id, run_task_number(job, t),
               u->name, "run %llu, expected %lld ms",
               (unsigned long long)t->run,
               (long long)(t->expected_us / USEC_PER_MSEC));
}

void
run_mark_ready(struct broker *b, struct run_job *job, struct run_task *t)
{
    if (!t->start_resolved) {
        t->bound_upstream = t->upstream;
        t->lost_starts++;
        b->counters.tasks_bound++;
    }
    remove_from_upstream(b, job, t);
    t->state = RUN_READY;
    job->n_ready++;
    if (job->closed) {
        remove_if_resolved(b, job);
    }
    else if (!job->queued) {
        order_insert(job);
    }
}

void
run_resolve_start(struct broker *b, struct run_job *job, struct run_task *t)
{
    if (t->start_resolved) {
        return;
    }
    t->start_resolved = true;
    job->n_unresolved--;
    if (t->state == RUN_READY && t->lost_starts > 0 && --t->lost_starts == 0) {
        t->bound_upstream = (struct handle){0};
    }
    owner_on_start_resolved(b, job);
}

bool
run_is_bound(struct broker *b, const struct broker_upstream *u)
{
    const struct run_job *job;
    struct handle h;
    uint32_t at = 0;

    while ((job = table_next(&b->run_jobs, &at, &h)) != NULL) {
        for (uint32_t i = 0; i < job->n_tasks; i++) {
            if (handle_equal(job->tasks[i].bound_upstream, u->self)) {
                return true;
            }
        }
    }
    return false;
}

bool
run_has_any(const struct broker *b)
{
    const struct run_job *job;
    struct handle h;
    uint32_t at = 0;

    while ((job = table_next(&b->run_jobs, &at, &h)) != NULL) {
        if (!job->runs_ended) {
            return true;
        }
    }
    return false;
}

void
run_mark_done(struct broker *b, struct run_job *job, struct run_task *t)
{
    remove_from_upstream(b, job, t);
    t->state = RUN_ENDED;
    job->n_unfinished--;
    b->counters.tasks_done++;
    if (job->closed) {
        remove_if_resolved(b, job);
    }
    else if (job->n_unfinished == 0) {
        close_job(b, job, JOB_COMPLETED_OUTCOME, BROKER_ENDED, 0);
    }
    else {
        unblock_groups(job);
        if (job->n_ready > 0 && !job->queued) {
            order_insert(job);
        }
    }
}

/* A task that fails on every upstream is at fault itself, so only its first
 * failure counts against the upstream. */
void
run_mark_failed(struct broker *b, struct run_job *job, struct run_task *t)
{
    struct broker_upstream *u = table_get(&b->upstreams, t->upstream);

    b->counters.tasks_failed++;
    if (job->closed) {
        run_mark_ready(b, job, t); /* may free the job */
        return;
    }
    if (u != NULL && t->failures == 0) {
        broker_health_task_failed(b, u);
    }
    if (u != NULL) {
        t->avoid_upstream = u->name;
    }
    t->failures++;
    run_mark_ready(b, job, t);
    if (t->failures >= job->attempts) {
        close_job(b, job, JOB_FAILED_OUTCOME, BROKER_TASK_FAILED, 0);
    }
}

/* Placement */

/* Returns false if a ready task could not be placed. */
static bool
place_job(struct broker *b, struct run_job *job)
{
    bool all = true;

    for (uint32_t i = 0; i < job->n_tasks && job->n_ready > 0; i++) {
        struct run_task *t = &job->tasks[i];
        struct broker_upstream *u;

        if (t->state != RUN_READY) {
            continue;
        }
        u = place_choose(b, job, t);
        if (u == NULL && !name_empty(t->avoid_upstream)) {
            /* No other upstream can take the task: allow the one that it
             * avoids. */
            t->avoid_upstream = name_of("");
            u = place_choose(b, job, t);
        }
        if (u == NULL && place_bound_upstream(b, t) == NULL) {
            return false;
        }
        if (u == NULL) {
            all = false;
            continue;
        }
        if (job->claim == CLAIM_GRANTED) {
            lease_start(b, u, job, t);
        }
        else {
            lease_reserve(b, u, job, t);
        }
    }
    return all;
}

static bool
can_still_complete(struct broker *b, const struct run_job *job)
{
    for (uint32_t i = 0; i < job->n_tasks; i++) {
        if (!place_can_still_run(b, job, &job->tasks[i])) {
            return false;
        }
    }
    return true;
}

void
run_on_claim_granted(struct broker *b, struct run_job *job)
{
    bool wait = b->now.mono_us < job->start_after_us;

    for (uint32_t i = 0; i < job->n_tasks; i++) {
        struct run_task *t = &job->tasks[i];
        struct broker_upstream *u = table_get(&b->upstreams, t->upstream);

        if (t->state != RUN_RESERVED) {
            continue;
        }
        if (!wait && u != NULL && place_can_start(b, job, t, u)) {
            lease_start(b, u, job, t);
        }
        else {
            release_reservation(b, job, t);
        }
    }
    if (job->n_ready > 0 && !job->queued) {
        order_insert(job);
    }
    job->service->placement_due = true;
}

/* Gives up queued jobs whose zone is evacuated, or with a bound task that
 * can't be run before the deadline, refuses those that would start too late,
 * and moves jobs that have become late behind the others.  All of the queue is
 * checked, also behind jobs that find no capacity: otherwise a job would be
 * refused only when its turn comes. */
static void
review_queue(struct broker *b, struct broker_service *s)
{
    struct run_job *job = TAILQ_FIRST(&s->queue);

    while (job != NULL) {
        struct run_job *next = TAILQ_NEXT(job, link);
        int64_t retry_us;

        if (evacuate_has_ended_starts(b)) {
            run_abandon_job(b, job, BROKER_EVACUATED);
        }
        else if (!can_still_complete(b, job)) {
            b->counters.jobs_bound++;
            close_job(b, job, JOB_LOST_OUTCOME, BROKER_START_LOST, 0);
        }
        else if (order_starts_too_late(b, job, &retry_us)) {
            close_job(b, job, JOB_REFUSED_OUTCOME, BROKER_TOO_LATE, retry_us);
        }
        else {
            order_demote_if_late(b, job);
        }
        job = next;
    }
}

/* Returns false if no job behind this one can be started: a late job may not
 * start now, and only late jobs follow it. */
static bool
serve_job(struct broker *b, struct run_job *job)
{
    if (!renew_job_can_start(b, job) || !owner_allows_placing(b, job)) {
        return true;
    }
    if (job->late && !job->started && !order_late_can_start(b, job)) {
        return false;
    }
    if (place_job(b, job)) {
        order_remove(job);
    }
    else if (job->late && job->started &&
             job->queue_key_us != job->latest_start_us) {
        order_remove(job);
        order_insert(job); /* ordered by its latest start from now on */
    }
    return true;
}

static void
serve_queue(struct broker *b, struct broker_service *s)
{
    struct run_job *job = TAILQ_FIRST(&s->queue);

    s->placement_due = false;
    while (job != NULL) {
        struct run_job *next = TAILQ_NEXT(job, link);

        if (!serve_job(b, job)) {
            break;
        }
        job = next;
    }
}

static void
remove_closed_at_deadline(struct broker *b)
{
    struct run_job *job;
    struct handle h;
    uint32_t at = 0;

    while ((job = table_next(&b->run_jobs, &at, &h)) != NULL) {
        if (job->runs_ended) {
            remove_if_resolved(b, job);
        }
    }
}

void
run_tick(struct broker *b)
{
    remove_closed_at_deadline(b);
    for (struct broker_service *s = b->services; s != NULL; s = s->next) {
        if (s->placement_due || b->now.mono_us >= s->next_placement_us) {
            s->next_placement_us = b->now.mono_us + QUEUE_REVIEW_US;
            review_queue(b, s);
            serve_queue(b, s);
        }
    }
}

int64_t
run_next_us(const struct broker *b)
{
    int64_t at = INT64_MAX;

    for (const struct broker_service *s = b->services; s != NULL;
         s = s->next) {
        if (s->n_queued > 0 && s->next_placement_us < at) {
            at = s->next_placement_us;
        }
    }
    return at;
}
