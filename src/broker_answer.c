/*
 * Handling of the upstreams' answers to starts, stops and polls.
 */
#include <stdlib.h>
#include <string.h>

#include "array.h"
#include "broker_speed.h"
#include "broker_state.h"

/* A run is stalled if its progress has not increased for this time, nor for
 * this part of its expected run time. */
#define STALL_MIN_US (150 * USEC_PER_MSEC)
static const double STALL_RUN_SHARE = 0.6;
/* A stop that is not confirmed by then is sent again. */
#define STOP_RETRY_US (60 * USEC_PER_MSEC)
/* No start is sent for this long to an upstream that refused one for lack of
 * capacity; a poll usually reports the next ended run sooner. */
#define FULL_RETRY_US (30 * USEC_PER_MSEC)
/* Time after a lost start in which an unresponsive upstream is polled more
 * often. */
#define LOST_START_POLLS_US (12 * USEC_PER_SEC)
/* Weight of a slowness sample: relative to the other tasks of the job, which
 * differ little, and relative to the declared run time, which says little
 * about the upstream. */
static const double SIBLINGS_WEIGHT = 0.3;
static const double DECLARED_WEIGHT = 0.03;
/* The speed of a run is estimated only from PERCENT_MIN on: before that, most
 * of the elapsed time is latency and the interval of the polls. */
enum { PERCENT_FULL = 100, PERCENT_MIN = 40 };

static bool
same_run(struct run_ref a, struct run_ref b)
{
    return a.job == b.job && a.group == b.group && a.index == b.index &&
           a.run == b.run;
}

static void
update_ack_time(struct broker *b, int64_t took_us)
{
    int64_t deviation_us = took_us > b->ack_mean_us ? took_us - b->ack_mean_us
                                                    : b->ack_mean_us - took_us;

    if (b->ack_mean_us == 0) {
        b->ack_mean_us = took_us;
        b->ack_dev_us = took_us / 2;
        return;
    }
    b->ack_dev_us += (deviation_us - b->ack_dev_us) / 4;
    b->ack_mean_us += (took_us - b->ack_mean_us) / 8;
}

/* Answers to polls */

static struct run_task *
find_placed_run(struct broker *b, const struct broker_upstream *u,
                struct run_ref ref, struct run_job **job)
{
    for (size_t i = 0; i < u->n_tasks; i++) {
        struct run_task *t = run_find_task(b, &u->tasks[i], job);

        /* A reserved task has the number of an earlier run. */
        if (t->state != RUN_RESERVED &&
            same_run(lease_run_ref(*job, t), ref)) {
            return t;
        }
    }
    return NULL;
}

/* The slowness of an upstream is best measured relative to the other tasks of
 * the job: declared run times are often wrong by half and more, by the same
 * factor for all tasks of a job. */
static void
sample_slowness(struct broker *b, struct broker_upstream *u,
                const struct run_job *job, struct run_task *t, double ran_us)
{
    double usual_us = (double)t->expected_us * speed_of(b, u) / u->slowness /
                      place_remote_factor(b, &job->groups[t->group], u);

    double ratio;
    double weight;

    if (job->n_done > 0 && job->n_groups == 1) {
        ratio = ran_us * job->n_done / (double)job->total_run_us;
        weight = SIBLINGS_WEIGHT;
    }
    else if (usual_us > 0) {
        ratio = ran_us / usual_us;
        weight = DECLARED_WEIGHT;
    }
    else {
        return;
    }
    broker_health_task_done(b, u, ratio,
                            speed_is_straggler(u, t, ratio) ? 0 : weight);
}

static void
on_run_done(struct broker *b, struct broker_upstream *u, struct run_job *job,
            struct run_task *t)
{
    const struct rec_task_group *g = &job->groups[t->group];
    double here_us = (double)(b->now.mono_us - t->start_sent_us) /
                     place_remote_factor(b, g, u);
    double ran_us = here_us * speed_of(b, u);

    histogram_add(&b->histograms.run, b->now.mono_us - t->start_sent_us);
    /* @ran_us is that at the usual speed, but not divided by the upstream's
     * slowness: the estimates of run time and of slowness would then depend on
     * each other and could drift together. */
    if (!b->opts.disabled[BROKER_FEATURE_LEARNED]) {
        order_record_run(job, g, (int64_t)ran_us + 1);
    }
    sample_slowness(b, u, job, t, ran_us);
    speed_record_run(u, t, here_us);
    job->n_done++;
    job->total_run_us += (int64_t)ran_us + 1;
    if (job->n_unfinished == 1) {
        speed_on_job_done(b, job);
    }
    run_mark_done(b, job, t);
}

static void
on_run_end(struct broker *b, struct broker_upstream *u,
           const struct lease_ended *e)
{
    struct run_job *job;
    struct run_task *t = find_placed_run(b, u, e->task, &job);

    if (t == NULL) {
        return; /* started by an earlier holder, or already resolved */
    }
    run_resolve_start(b, job, t);
    if (e->outcome != LEASE_END_DONE) {
        broker_log(
            b, LOG_INFO, BROKER_RUN_ENDED, job->id, run_task_number(job, t),
            u->name, "%s, run %llu, after %lld ms",
            e->outcome == LEASE_END_FAILED    ? "failed"
            : e->outcome == LEASE_END_STOPPED ? "stopped"
            : e->outcome == LEASE_END_EXPIRED ? "lapsed"
                                              : "broken",
            (unsigned long long)t->run,
            (long long)((b->now.mono_us - t->start_sent_us) / USEC_PER_MSEC));
    }
    switch (e->outcome) {
    case LEASE_END_DONE:
        on_run_done(b, u, job, t);
        break;
    case LEASE_END_FAILED:
        run_mark_failed(b, job, t);
        break;
    case LEASE_END_STOPPED:
        b->counters.tasks_stopped++;
        run_mark_ready(b, job, t);
        break;
    default:
        b->counters.tasks_lapsed++;
        run_mark_ready(b, job, t);
        break;
    }
}

static void
handle_ended_runs(struct broker *b, struct broker_upstream *u,
                  const struct lease_answer *a)
{
    for (size_t i = 0; i < a->n_ended; i++) {
        if (a->ended[i].number <= u->last_end) {
            continue;
        }
        u->last_end = a->ended[i].number;
        u->ack_pending = true;
        if (u->state != HOLD_TAKING) {
            on_run_end(b, u, &a->ended[i]);
        }
    }
}

/* Raises the slowness of the upstream at once if the progress of a run shows
 * that it is much slower than the finished tasks of its job were. */
static void
sample_progress(const struct broker *b, struct broker_upstream *u,
                const struct run_job *job, struct run_task *t, int64_t ran_us)
{
    double full_run_us;
    double slowness_now;

    if (t->percent < PERCENT_MIN || t->percent >= PERCENT_FULL ||
        job->n_done < 2 || job->n_groups != 1) {
        return;
    }
    full_run_us = (double)ran_us * PERCENT_FULL / (double)t->percent *
                  speed_of(b, u) /
                  place_remote_factor(b, &job->groups[t->group], u);
    slowness_now = full_run_us * job->n_done / (double)job->total_run_us;
    if (slowness_now > 2.0 * u->slowness &&
        !speed_is_straggler(u, t, slowness_now)) {
        u->slowness = slowness_now;
    }
}

static void
update_running(struct broker *b, struct broker_upstream *u,
               struct run_job *job, struct run_task *t, uint32_t percent)
{
    int64_t stalled_us;
    double allowed = STALL_RUN_SHARE * (double)t->expected_us;

    if (t->state == RUN_STARTING || t->state == RUN_UNRESOLVED) {
        t->state = RUN_RUNNING;
        t->progress_us = b->now.mono_us;
    }
    if (t->state != RUN_RUNNING) {
        return;
    }
    if (percent > t->percent) {
        t->percent = percent;
        t->progress_us = b->now.mono_us;
        if (!b->opts.disabled[BROKER_FEATURE_SLOW]) {
            sample_progress(b, u, job, t, b->now.mono_us - t->start_sent_us);
        }
        return;
    }
    stalled_us = b->now.mono_us - t->progress_us;
    if (stalled_us > STALL_MIN_US && (double)stalled_us > allowed &&
        !b->opts.disabled[BROKER_FEATURE_STALLED]) {
        b->counters.tasks_stalled++;
        broker_log(b, LOG_NOTICE, BROKER_RUN_STALLED, job->id,
                   run_task_number(job, t), u->name,
                   "run %llu at %u %% for %lld ms", (unsigned long long)t->run,
                   percent, (long long)(stalled_us / USEC_PER_MSEC));
        broker_health_task_failed(b, u);
        t->avoid_upstream = u->name;
        lease_stop(b, u, job, t);
    }
}

/* Updates the tasks whose runs the answer lists as running, and sends stops
 * for unknown runs; returns whether there are any of these. */
static bool
handle_listed_runs(struct broker *b, struct broker_upstream *u,
                   const struct lease_answer *a)
{
    bool found_unknown = false;

    for (size_t i = 0; i < a->n_running; i++) {
        const struct lease_running *r = &a->running[i];
        struct run_job *job;
        struct run_task *t = u->state == HOLD_TAKING
                                 ? NULL
                                 : find_placed_run(b, u, r->task, &job);

        if (t != NULL) {
            run_resolve_start(b, job, t);
            update_running(b, u, job, t, r->percent);
            continue;
        }
        if (b->opts.breaks[BROKER_BREAK_KEEP_STRANGERS]) {
            continue;
        }
        found_unknown = true;
        b->counters.strangers_stopped++;
        broker_log(b, LOG_NOTICE, BROKER_STRANGER, r->task.job, -1, u->name,
                   "group %u, task %u, run %llu", r->task.group, r->task.index,
                   (unsigned long long)r->task.run);
        lease_send_stop(b, u, r->task, (struct handle){0}, 0);
    }
    return found_unknown;
}

static bool
is_listed_running(const struct lease_answer *a, struct run_ref ref)
{
    for (size_t i = 0; i < a->n_running; i++) {
        if (same_run(a->running[i].task, ref)) {
            return true;
        }
    }
    return false;
}

/* Of the placed tasks that the answer lists neither as running nor as ended,
 * those will never run whose stop was confirmed before the poll was sent, or
 * whose start would be refused as late by now. */
static void
resolve_unlisted(struct broker *b, struct broker_upstream *u,
                 const struct lease_answer *a, int64_t sent_us)
{
    int64_t late_us =
        b->opts.lease_us +
        (int64_t)((double)b->opts.lease_us * 2.0 * b->opts.clock_drift) +
        EXPIRY_SLACK_US;

    for (size_t i = u->n_tasks; i > 0; i--) {
        struct run_job *job;
        struct run_task *t;
        bool stopped;
        bool late;

        if (i > u->n_tasks) {
            continue; /* resolving a task may have removed its whole job */
        }
        t = run_find_task(b, &u->tasks[i - 1], &job);
        if (is_listed_running(a, lease_run_ref(job, t))) {
            continue;
        }
        stopped = t->stop_confirmed_us <= sent_us;
        late = t->start_sent_us + late_us < sent_us;
        /* A run that was running and is not listed any more has ended.  The
         * list of ended runs has a maximum length, so a later answer reports
         * the end. */
        if (!(stopped || late) ||
            (t->state == RUN_RUNNING && a->n_ended > 0)) {
            continue;
        }
        broker_log(
            b, LOG_INFO, BROKER_RUN_SETTLED, job->id, run_task_number(job, t),
            u->name, "run %llu, %s, sent %lld ms ago",
            (unsigned long long)t->run,
            stopped ? "its stop was confirmed" : "too late to start",
            (long long)((b->now.mono_us - t->start_sent_us) / USEC_PER_MSEC));
        run_mark_ready(b, job, t);
    }
}

static void
resend_stops(struct broker *b, struct broker_upstream *u)
{
    for (size_t i = 0; i < u->n_tasks; i++) {
        struct run_job *job;
        struct run_task *t = run_find_task(b, &u->tasks[i], &job);

        if (t->state == RUN_STOPPING && t->stop_confirmed_us == INT64_MAX &&
            b->now.mono_us - t->stop_sent_us >= STOP_RETRY_US) {
            lease_stop(b, u, job, t);
        }
    }
}

static void
on_quick_poll(struct broker *b, struct broker_upstream *u,
              const struct lease_answer *a, int64_t sent_us)
{
    if (a->result != LEASE_OK || u->state != HOLD_OPEN) {
        return;
    }
    handle_ended_runs(b, u, a);
    resolve_unlisted(b, u, a, sent_us);
    resend_stops(b, u);
}

static void
on_poll(struct broker *b, struct broker_upstream *u,
        const struct lease_answer *a, int64_t sent_us, bool stale)
{
    bool found_unknown;

    if (a->result != LEASE_OK) {
        hold_on_poll_failure(b, u);
        return;
    }
    handle_ended_runs(b, u, a);
    if (stale) {
        /* A quick poll answered meanwhile had a newer list of runs. */
        hold_on_poll_answer(b, u, u->unknown_runs);
        return;
    }
    found_unknown = handle_listed_runs(b, u, a);
    if (u->state != HOLD_TAKING) {
        resolve_unlisted(b, u, a, sent_us);
        resend_stops(b, u);
    }
    hold_on_poll_answer(b, u, found_unknown);
}

/* Answers to starts and stops */

static void
on_start_refused(struct broker *b, struct broker_upstream *u,
                 struct run_job *job, struct run_task *t,
                 enum lease_result result)
{
    b->counters.starts_refused++;
    broker_log(b, LOG_INFO, BROKER_START_REFUSED, job->id,
               run_task_number(job, t), u->name, "run %llu: %s",
               (unsigned long long)t->run, lease_result_text(result));
    if (result == LEASE_NO_CAPACITY) {
        u->full_until_us = b->now.mono_us + FULL_RETRY_US;
        u->poll_us = u->poll == 0 ? b->now.mono_us : u->poll_us;
    }
    else if (result == LEASE_UNHEALTHY || result == LEASE_NOT_SENT ||
             result == LEASE_WRONG_UPSTREAM) {
        broker_health_task_failed(b, u);
        t->avoid_upstream = u->name;
    }
    if (result == LEASE_BAD_REQUEST) {
        run_mark_failed(b, job, t);
        return;
    }
    run_mark_ready(b, job, t);
}

static void
on_start(struct broker *b, struct broker_upstream *u, struct run_job *job,
         struct run_task *t, enum lease_result result)
{
    if (t->state != RUN_STARTING && t->state != RUN_STOPPING) {
        return; /* resolved by a poll before */
    }
    switch (result) {
    case LEASE_OK:
        histogram_add(&b->histograms.start, b->now.mono_us - t->start_sent_us);
        if (t->state == RUN_STARTING) {
            t->state = RUN_RUNNING;
            t->progress_us = b->now.mono_us;
        }
        break;
    case LEASE_NO_ANSWER:
        b->counters.starts_lost++;
        broker_log(b, LOG_NOTICE, BROKER_START_LOST, job->id,
                   run_task_number(job, t), u->name, "run %llu",
                   (unsigned long long)t->run);
        if (b->opts.breaks[BROKER_BREAK_PLACE_LOST]) {
            run_resolve_start(b, job, t);
            run_mark_ready(b, job, t);
            break;
        }
        u->lost_start_until_us = t->start_sent_us + LOST_START_POLLS_US;
        if (b->opts.disabled[BROKER_FEATURE_LOST_STARTS]) {
            t->state = RUN_UNRESOLVED;
            break;
        }
        lease_stop(b, u, job, t);
        break;
    default:
        on_start_refused(b, u, job, t, result);
        break;
    }
}

static void
on_stop(struct broker *b, struct run_task *t, enum lease_result result)
{
    struct broker_upstream *u = table_get(&b->upstreams, t->upstream);

    if (t->state == RUN_STOPPING && result == LEASE_OK) {
        t->stop_confirmed_us = b->now.mono_us;
        u->quick_poll_due = true;
    }
    else if (t->state == RUN_STOPPING && result == LEASE_NO_ANSWER) {
        /* The answer to the quick poll resends the stop if necessary. */
        u->quick_poll_due = true;
    }
}

/* The task of a call, or NULL if the run is not the task's current one. */
static struct run_task *
find_call_task(struct broker *b, const struct broker_call *c,
               struct run_job **job)
{
    struct run_task *t;

    *job = table_get(&b->run_jobs, c->job);
    if (*job == NULL) {
        return NULL;
    }
    t = &(*job)->tasks[c->task];
    return t->run == c->run && handle_equal(t->upstream, c->upstream) ? t
                                                                      : NULL;
}

/* Any answer to a start, even of an incarnation or under a fence that is not
 * the current one, shows that the start will not be executed later. */
static void
resolve_answered_start(struct broker *b, const struct broker_call *c,
                       enum lease_result result)
{
    struct run_job *job = table_get(&b->run_jobs, c->job);
    struct run_task *t = job != NULL ? &job->tasks[c->task] : NULL;

    if (c->kind == LEASE_START && result != LEASE_NO_ANSWER && t != NULL &&
        t->run == c->run) {
        run_resolve_start(b, job, t);
    }
}

static void
on_task_call(struct broker *b, struct broker_upstream *u,
             const struct broker_call *c, enum lease_result result)
{
    struct run_job *job;
    struct run_task *t = find_call_task(b, c, &job);

    if (t == NULL) {
        return;
    }
    if (c->kind == LEASE_START) {
        on_start(b, u, job, t, result);
    }
    else {
        on_stop(b, t, result);
    }
}

static void
sync_clock(struct broker *b, struct broker_upstream *u,
           const struct lease_answer *a)
{
    if (a->clock_ms > 0) {
        u->clock_ms = a->clock_ms;
        u->clock_us = b->now.mono_us;
    }
}

/* Returns whether the answer is of another incarnation of the upstream than
 * the known one; a newer one is recorded as a restart. */
static bool
handle_other_incarnation(struct broker *b, struct broker_upstream *u,
                         const struct lease_answer *a)
{
    if (a->born_ms == 0 || a->born_ms == u->born_ms) {
        return false;
    }
    if (a->born_ms > u->born_ms) {
        hold_on_restart(b, u, a->born_ms);
    }
    return true;
}

static void
on_any_poll(struct broker *b, struct broker_upstream *u,
            const struct lease_answer *a, const struct broker_call *c,
            bool quick, bool stale)
{
    if (u->state == HOLD_NONE || u->state == HOLD_LOST) {
        return;
    }
    if (a->result == LEASE_OK) {
        u->confirmed_us = b->now.mono_us;
        u->service->placement_due |= u->confirmation_due;
    }
    u->confirmation_due = false;
    if (quick) {
        on_quick_poll(b, u, a, c->sent_us);
    }
    else {
        on_poll(b, u, a, c->sent_us, stale);
    }
}

void
answer_on_call_end(struct broker *b, const struct bev_called *called)
{
    struct broker_call *found =
        table_get(&b->calls, handle_of_number(called->call));
    const struct lease_answer *a = &called->answer;
    struct broker_upstream *u;
    struct broker_call c;
    bool quick = false;
    bool stale;

    if (found == NULL) {
        return;
    }
    c = *found;
    table_remove(&b->calls, c.self);
    resolve_answered_start(b, &c, a->result);
    u = table_get(&b->upstreams, c.upstream);
    if (u == NULL) {
        return;
    }
    if (u->poll == called->call) {
        u->poll = 0;
    }
    if (u->quick_poll == called->call) {
        u->quick_poll = 0;
        quick = true;
    }
    /* Sent before the upstream was taken again: its answer may be of another
     * incarnation or of runs under the earlier fence. */
    if (c.born_ms != u->born_ms || c.fence != u->fence) {
        if (u->state == HOLD_TAKING && u->poll == 0 &&
            u->poll_us == INT64_MAX) {
            u->poll_us = b->now.mono_us;
        }
        return;
    }
    if (handle_other_incarnation(b, u, a)) {
        return;
    }
    if (a->result == LEASE_FENCED && u->state != HOLD_NONE &&
        u->state != HOLD_LOST) {
        hold_on_fenced(b, u);
        return;
    }
    stale = a->clock_ms > 0 && a->clock_ms < u->clock_ms;
    if (!stale) {
        sync_clock(b, u, a);
    }
    if (c.kind == LEASE_POLL) {
        on_any_poll(b, u, a, &c, quick, stale);
        return;
    }
    if (a->result != LEASE_NO_ANSWER && a->result != LEASE_NOT_SENT) {
        update_ack_time(b, b->now.mono_us - c.sent_us);
    }
    on_task_call(b, u, &c, a->result);
}
