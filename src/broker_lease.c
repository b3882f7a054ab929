/*
 * Calls to upstreams: starts, stops and polls.  broker_answer.c handles the
 * answers.
 */
#include <stdlib.h>
#include <string.h>

#include "array.h"
#include "broker_state.h"

/* Longest wait of a poll whose answer is needed soon, such as while a run is
 * being stopped or a start is unanswered. */
#define QUICK_POLL_US (50 * USEC_PER_MSEC)
/* Shortest timeout of a call: a few scheduling rounds of an upstream that has
 * a quarter of a core and other work. */
#define ANSWER_TIMEOUT_MIN_US (40 * USEC_PER_MSEC)
/* Mean deviations added to the mean response time. */
enum { ANSWER_TIMEOUT_DEVIATIONS = 8 };

struct run_ref
lease_run_ref(const struct run_job *job, const struct run_task *t)
{
    return (struct run_ref){
        .job = job->id, .group = t->group, .index = t->index, .run = t->run};
}

/* Timeout of a call that is answered at once.  A lost start must be stopped
 * and placed again while its job can still be in time, so the timeout is as
 * short as the response times allow: that of a TCP retransmission (RFC 6298),
 * with twice its allowance for the deviation, since a false alarm stops a run.
 */
static int64_t
answer_timeout_us(const struct broker *b)
{
    int64_t us = b->ack_mean_us + ANSWER_TIMEOUT_DEVIATIONS * b->ack_dev_us;

    if (b->ack_mean_us == 0 || us > b->opts.call_timeout_us) {
        return b->opts.call_timeout_us;
    }
    return us > ANSWER_TIMEOUT_MIN_US ? us : ANSWER_TIMEOUT_MIN_US;
}

static struct lease_request *
new_call(struct broker *b, struct broker_upstream *u, enum lease_call kind,
         struct broker_call **out)
{
    struct handle h;
    struct broker_call *c = table_add(&b->calls, &h);
    struct be_call *e = &broker_effects_add(b->fx, BE_CALL)->u.call;

    c->self = h;
    c->kind = kind;
    c->upstream = u->self;
    c->born_ms = u->born_ms;
    c->fence = u->fence;
    c->sent_us = b->now.mono_us;
    e->call = handle_number(h);
    e->request.kind = kind;
    e->request.upstream = u->name;
    e->request.address = u->address;
    e->request.fence = u->fence;
    e->request.timeout_us = answer_timeout_us(b);
    *out = c;
    return &e->request;
}

/* The least that the upstream's clock can show now, assuming the slowest drift
 * allowed. */
static int64_t
least_clock_ms(const struct broker *b, const struct broker_upstream *u)
{
    double passed_us = (double)(b->now.mono_us - u->clock_us);

    return u->clock_ms +
           (int64_t)(passed_us * (1.0 - b->opts.clock_drift)) / USEC_PER_MSEC;
}

/* Moves the time at which the upstream's lease counts as expired: the latest
 * time at which a deadline sent now and @left_us ahead passes on the
 * upstream's clock, which may be slow. */
static void
extend_expiry(const struct broker *b, struct broker_upstream *u,
              int64_t left_us)
{
    double drift_factor = 1.0 + 2.0 * b->opts.clock_drift;
    int64_t expiry_us = b->now.mono_us +
                        (int64_t)((double)left_us * drift_factor) +
                        EXPIRY_SLACK_US;

    if (b->opts.breaks[BROKER_BREAK_LAPSE_EARLY]) {
        expiry_us = b->now.mono_us + b->opts.lease_us / 2;
    }
    u->leases_end_us =
        expiry_us > u->leases_end_us ? expiry_us : u->leases_end_us;
}

/* The deadline to send, on the upstream's clock: a lease from now, or less if
 * the lease of a job with tasks there ends earlier; 0 to send none. */
static int64_t
next_deadline_ms(struct broker *b, struct broker_upstream *u)
{
    int64_t left_us = renew_upstream_limit_us(b, u) - b->now.mono_us;
    int64_t until_us;

    left_us = left_us < b->opts.lease_us ? left_us : b->opts.lease_us;
    if (left_us <= 0) {
        return 0;
    }
    until_us = b->now.mono_us + left_us;
    u->granted_until_us =
        until_us > u->granted_until_us ? until_us : u->granted_until_us;
    extend_expiry(b, u, left_us);
    return least_clock_ms(b, u) + left_us / USEC_PER_MSEC;
}

static void
place_task(struct broker_upstream *u, const struct run_job *job,
           const struct run_task *t)
{
    const struct rec_task_group *g = &job->groups[t->group];
    struct placed_task *p;

    u->tasks = array_grow(u->tasks, u->n_tasks, &u->tasks_capacity,
                          sizeof(*u->tasks));
    p = &u->tasks[u->n_tasks++];
    p->job = job->self;
    p->task = (uint32_t)(t - job->tasks);
    u->used.cpu_milli += (uint32_t)g->cpu_milli;
    u->used.memory_mb += (uint32_t)g->memory_mb;
    u->used.accelerators += (uint32_t)g->accelerators;
}

void
lease_remove_task(struct broker *b, struct broker_upstream *u,
                  const struct run_job *job, const struct run_task *t)
{
    const struct rec_task_group *g = &job->groups[t->group];
    uint32_t task = (uint32_t)(t - job->tasks);

    (void)b;
    for (size_t i = 0; i < u->n_tasks; i++) {
        if (handle_equal(u->tasks[i].job, job->self) &&
            u->tasks[i].task == task) {
            u->tasks[i] = u->tasks[--u->n_tasks];
            u->used.cpu_milli -= (uint32_t)g->cpu_milli;
            u->used.memory_mb -= (uint32_t)g->memory_mb;
            u->used.accelerators -= (uint32_t)g->accelerators;
            return;
        }
    }
}

void
lease_reserve(struct broker *b, struct broker_upstream *u, struct run_job *job,
              struct run_task *t)
{
    run_mark_reserved(b, job, t, u);
    place_task(u, job, t);
}

void
lease_start(struct broker *b, struct broker_upstream *u, struct run_job *job,
            struct run_task *t)
{
    struct lease_request *r;
    struct broker_call *c;

    if (t->state != RUN_RESERVED) {
        place_task(u, job, t);
    }
    run_mark_started(b, job, t, u);
    r = new_call(b, u, LEASE_START, &c);
    c->job = job->self;
    c->task = (uint32_t)(t - job->tasks);
    c->run = t->run;
    r->task = lease_run_ref(job, t);
    r->spec = blob_ref(job->spec);
    r->deadline_ms = next_deadline_ms(b, u);
    if (u->poll == 0 && u->poll_us > b->now.mono_us) {
        u->poll_us = b->now.mono_us;
    }
}

void
lease_send_stop(struct broker *b, struct broker_upstream *u,
                struct run_ref task, struct handle job, uint32_t number)
{
    struct broker_call *c;
    struct lease_request *r = new_call(b, u, LEASE_STOP, &c);

    c->job = job;
    c->task = number;
    c->run = task.run;
    r->task = task;
}

void
lease_stop(struct broker *b, struct broker_upstream *u, struct run_job *job,
           struct run_task *t)
{
    t->state = RUN_STOPPING;
    t->stop_confirmed_us = INT64_MAX;
    t->stop_sent_us = b->now.mono_us;
    if (u != NULL && u->state != HOLD_LOST) {
        lease_send_stop(b, u, lease_run_ref(job, t), job->self,
                        (uint32_t)(t - job->tasks));
    }
}

static bool
extends_lease(const struct broker_upstream *u)
{
    return u->state == HOLD_OPEN && u->n_tasks > 0 && u->clock_ms > 0;
}

static int64_t
upstream_poll_wait_us(const struct broker *b, const struct broker_upstream *u)
{
    bool running = false;

    if (u->state != HOLD_OPEN || u->n_tasks == 0 || u->missed_polls > 0) {
        return (u->state == HOLD_TAKING && u->clock_ms > 0) || u->unknown_runs
                   ? QUICK_POLL_US
                   : 0;
    }
    for (size_t i = 0; i < u->n_tasks; i++) {
        const struct run_job *job = table_get(&b->run_jobs, u->tasks[i].job);
        const struct run_task *t = &job->tasks[u->tasks[i].task];

        if (t->state == RUN_UNRESOLVED || t->state == RUN_STOPPING ||
            u->unknown_runs) {
            return QUICK_POLL_US;
        }
        running = running || t->state == RUN_RUNNING;
    }
    return running ? b->opts.poll_wait_us : QUICK_POLL_US;
}

void
lease_poll(struct broker *b, struct broker_upstream *u)
{
    int64_t wait_us = upstream_poll_wait_us(b, u);
    struct broker_call *c;
    struct lease_request *r = new_call(b, u, LEASE_POLL, &c);

    u->poll = handle_number(c->self);
    u->poll_us = INT64_MAX;
    r->acked = u->last_end;
    r->wait_ms = wait_us / USEC_PER_MSEC;
    r->timeout_us = answer_timeout_us(b) + wait_us;
    r->deadline_ms = extends_lease(u) ? next_deadline_ms(b, u) : 0;
    u->ack_pending = false;
    b->counters.looks++;
}

void
lease_quick_poll(struct broker *b, struct broker_upstream *u)
{
    struct broker_call *c;
    struct lease_request *r = new_call(b, u, LEASE_POLL, &c);

    u->quick_poll = handle_number(c->self);
    u->quick_poll_due = false;
    r->acked = u->last_end;
    r->timeout_us = b->opts.call_timeout_us;
    b->counters.looks++;
}

void
lease_confirm(struct broker *b, struct broker_upstream *u)
{
    if (u->confirmation_due) {
        return;
    }
    u->confirmation_due = true;
    if (u->poll == 0) {
        lease_poll(b, u);
    }
    else if (u->quick_poll == 0) {
        lease_quick_poll(b, u);
    }
}
