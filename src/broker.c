#include "broker.h"

#include <stdarg.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "array.h"
#include "broker_speed.h"
#include "broker_state.h"

enum {
    TICK_MAX_US = 500 * 1000, /* longest time between two ticks */
    /* A step this many leases after the previous one means that the process
     * was paused: normally there are ten ticks in the time of a lease. */
    PAUSE_LEASES = 1,
};
/* Shortest time between two hold_reassign(): each visits all upstreams, and
 * when a region starts almost every message makes one due. */
#define REVIEW_INTERVAL_US (10 * USEC_PER_MSEC)

struct broker_options
broker_options_default(void)
{
    return (struct broker_options){
        .seed = 1,
        .lease_us = USEC_PER_SEC,
        .resubmit_us = 1300 * USEC_PER_MSEC,
        .poll_wait_us = 100 * USEC_PER_MSEC,
        .call_timeout_us = 150 * USEC_PER_MSEC,
        .discovery_us = 1500 * USEC_PER_MSEC,
        .discovery_min_us = 100 * USEC_PER_MSEC,
        .startup_wait_us = 750 * USEC_PER_MSEC,
        .load_interval_us = 50 * USEC_PER_MSEC,
        .load_reports_per_s = 400, /* 20 brokers, each every 50 ms */
        .stop_timeout_us = 5400 * USEC_PER_MSEC,
        .stop_accept_us = 2600 * USEC_PER_MSEC,
        .evacuation_grace_us = 1 * USEC_PER_SEC,
        .upstreams_per_holder = 32,
        .clock_drift = 0.02,
        .remote_factor = 1.5,
    };
}

struct broker *
broker_new(const struct broker_options *o)
{
    struct broker *b = calloc(1, sizeof(*b));

    if (b == NULL) {
        abort();
    }
    b->opts = *o;
    renew_init(b);
    b->rng = o->seed;
    b->view = 1;
    map_init(&b->peers_by_name, MAP_NAME);
    map_init(&b->upstreams_by_name, MAP_NAME);
    table_init(&b->caller_jobs, sizeof(struct caller_job));
    table_init(&b->run_jobs, sizeof(struct run_job));
    table_init(&b->upstreams, sizeof(struct broker_upstream));
    table_init(&b->calls, sizeof(struct broker_call));
    owner_init(b);
    peers_init(b);
    return b;
}

static void
free_services(struct broker *b)
{
    while (b->services != NULL) {
        struct broker_service *s = b->services;

        b->services = s->next;
        free(s->stats);
        free(s);
    }
}

static void
free_jobs(struct broker *b)
{
    struct caller_job *c;
    struct run_job *r;
    struct handle h;
    uint32_t at = 0;

    while ((c = table_next(&b->caller_jobs, &at, &h)) != NULL) {
        msg_free(&c->offer);
    }
    at = 0;
    while ((r = table_next(&b->run_jobs, &at, &h)) != NULL) {
        blob_unref(r->spec);
        free(r->groups);
        free(r->tasks);
    }
}

void
broker_free(struct broker *b)
{
    struct broker_upstream *u;
    struct handle h;
    uint32_t at = 0;

    if (b == NULL) {
        return;
    }
    free_jobs(b);
    while ((u = table_next(&b->upstreams, &at, &h)) != NULL) {
        free(u->tasks);
    }
    for (size_t i = 0; i < b->n_local_msgs; i++) {
        msg_free(&b->local_msgs[i]);
    }
    free(b->local_msgs);
    free(b->patience);
    free(b->holders);
    free(b->quotas);
    free(b->hold_updates);
    free_services(b);
    peers_free(b);
    owner_free(b);
    table_clear(&b->caller_jobs);
    table_clear(&b->run_jobs);
    table_clear(&b->upstreams);
    table_clear(&b->calls);
    timers_clear(&b->caller_timers);
    map_clear(&b->peers_by_name);
    map_clear(&b->upstreams_by_name);
    queueconf_free(b->queues);
    blob_unref(b->config_text);
    evacuation_clear(&b->evacuated);
    free(b);
}

uint64_t
broker_random(struct broker *b, uint64_t n)
{
    return random_next(&b->rng) % n;
}

void
broker_send(struct broker *b, struct name to, struct msg *m)
{
    struct be_send *s;

    if (name_equal(to, b->opts.self)) {
        b->local_msgs =
            array_grow(b->local_msgs, b->n_local_msgs, &b->local_msgs_capacity,
                       sizeof(*b->local_msgs));
        b->local_msgs[b->n_local_msgs++] = *m;
    }
    else {
        s = &broker_effects_add(b->fx, BE_SEND)->u.send;
        s->to = to;
        s->msg = *m;
    }
    memset(m, 0, sizeof(*m));
}

void
broker_log(struct broker *b, int severity, enum broker_reason reason,
           uint64_t job, int32_t task, struct name subject, const char *format,
           ...)
{
    struct be_log *l = &broker_effects_add(b->fx, BE_LOG)->u.log;
    va_list args;

    l->severity = severity;
    l->reason = reason;
    l->job = job;
    l->task = task;
    l->subject = subject;
    va_start(args, format);
    (void)vsnprintf(l->detail, sizeof(l->detail), format, args);
    va_end(args);
}

static void
dispatch_message(struct broker *b, struct name from, const struct msg *m)
{
    switch (m->kind) {
    case MSG_INTRODUCTION:
        peers_on_introduction(b, from, &m->u.introduction);
        break;
    case MSG_ROSTER:
        peers_on_roster(b, &m->u.roster);
        break;
    case MSG_CONFIG_REPLY:
        config_on_reply(b, from, &m->u.config_reply);
        break;
    case MSG_UPSTREAM_REPORT:
        report_on_upstreams(b, from, &m->u.upstream_report);
        break;
    case MSG_UPSTREAM_DIGEST:
        report_on_digest(b, from, &m->u.upstream_digest);
        break;
    case MSG_UPSTREAM_HOLDS:
        hold_on_peer_holds(b, from, &m->u.upstream_holds);
        break;
    case MSG_UPSTREAM_SPEEDS:
        speed_on_report(b, from, &m->u.upstream_speeds);
        break;
    case MSG_BROKER_LOAD:
        peers_on_load(b, from, &m->u.broker_load);
        break;
    case MSG_INSTANCE_CAPACITY:
        capacity_on_declared(b, from, &m->u.instance_capacity);
        break;
    case MSG_BROKER_USAGE:
        capacity_on_usage(b, from, &m->u.broker_usage);
        break;
    case MSG_JOB_OFFER:
        peers_note_offer(b, from);
        run_on_offer(b, from, &m->u.job_offer);
        break;
    case MSG_JOB_DROP:
        run_on_drop(b, from, m->u.job_drop.number);
        break;
    case MSG_JOB_CHECK:
        renew_on_request(b, from, m->u.job_check.sent_us, true);
        break;
    case MSG_JOB_RENEWAL:
        renew_on_renewal(b, from, &m->u.job_renewal);
        break;
    case MSG_OWNER_CLAIM:
        owner_on_claim(b, from, &m->u.owner_claim);
        break;
    case MSG_OWNER_REPLY:
        owner_on_reply(b, from, &m->u.owner_reply);
        break;
    case MSG_OWNER_UPDATE:
        owner_on_update(b, from, &m->u.owner_update);
        break;
    case MSG_JOB_REDIRECT:
        caller_on_redirect(b, from, &m->u.job_redirect);
        break;
    case MSG_FENCE_RECORD:
        fence_on_record(b, from, &m->u.fence_record);
        break;
    case MSG_JOB_END:
        caller_on_job_end(b, from, &m->u.job_end);
        break;
    default:
        break; /* internal to control, or of a later version */
    }
}

static void
deliver_local_msgs(struct broker *b)
{
    for (size_t i = 0; i < b->n_local_msgs; i++) {
        struct msg m = b->local_msgs[i];

        dispatch_message(b, b->opts.self, &m);
        msg_free(&m);
    }
    b->n_local_msgs = 0;
}

/* After a pause of the process or its machine, other brokers may have taken
 * over its upstreams, and its callers' jobs may run elsewhere.  So everything
 * that relies on a lease is given up before any message is sent.  The clock
 * must be one that goes on while the machine is suspended, see clock.h. */
static void
check_pause(struct broker *b)
{
    int64_t gap = b->now.mono_us - b->last_step_us;

    if (b->last_step_us == 0 || gap < PAUSE_LEASES * b->opts.lease_us) {
        return;
    }
    b->counters.pauses++;
    broker_log(b, LOG_WARNING, BROKER_PAUSED, 0, -1, b->opts.self,
               "%lld ms without a step", (long long)(gap / USEC_PER_MSEC));
    b->started_us = b->now.mono_us;
    b->discovery_over = false;
    b->first_roster_us = 0;
    run_on_pause(b);
    hold_on_pause(b);
}

static void
begin_stop(struct broker *b)
{
    if (b->stopping) {
        return;
    }
    b->stopping = true;
    b->stop_begun_us = b->now.mono_us;
    broker_log(b, LOG_NOTICE, BROKER_STOP_BEGUN, 0, -1, b->opts.self,
               "%zu jobs of callers, %zu run here", b->caller_jobs.n,
               b->run_jobs.n);
    shutdown_begin(b);
    peers_announce_stop(b);
    b->review_due = true;
}

static void
dispatch_event(struct broker *b, const struct broker_event *ev)
{
    switch (ev->kind) {
    case BEV_SUBMIT:
        caller_on_submit(b, &ev->u.submit);
        break;
    case BEV_CANCEL:
        caller_on_cancel(b, &ev->u.cancel);
        break;
    case BEV_GONE:
        caller_on_disconnect(b, ev->u.gone.request);
        break;
    case BEV_CALLED:
        answer_on_call_end(b, &ev->u.called);
        break;
    case BEV_MESSAGE:
        dispatch_message(b, ev->u.message.from, ev->u.message.msg);
        break;
    case BEV_PEER:
        peers_on_connection(b, ev->u.peer.peer, ev->u.peer.up);
        break;
    case BEV_STOP:
        begin_stop(b);
        break;
    case BEV_USAGE:
        capacity_on_measured(b, &ev->u.usage);
        break;
    default:
        break;
    }
}

/* The stop is complete when no jobs and no held upstreams remain, but not
 * before stop_accept_us, since the platform may still route callers here, and
 * at stop_timeout_us at the latest. */
static void
report_if_stopped(struct broker *b)
{
    int64_t since = b->now.mono_us - b->stop_begun_us;
    bool idle;

    /* The question for held upstreams goes through all of the zone's. */
    if (!b->stopping || b->stopped_reported) {
        return;
    }
    idle = b->caller_jobs.n == 0 && !run_has_any(b) && !hold_has_any(b);
    if ((since < b->opts.stop_timeout_us &&
         (!idle || since < b->opts.stop_accept_us))) {
        return;
    }
    b->stopped_reported = true;
    (void)broker_effects_add(b->fx, BE_STOPPED);
}

static void
tick(struct broker *b)
{
    shutdown_tick(b);
    config_tick(b);
    peers_tick(b);
    renew_tick(b);
    owner_tick(b);
    caller_tick(b);
    hold_tick(b);
    capacity_tick(b);
    if (b->review_due && b->now.mono_us >= b->next_review_us) {
        b->review_due = false;
        b->next_review_us = b->now.mono_us + REVIEW_INTERVAL_US;
        hold_reassign(b);
        speed_review(b);
    }
    speed_tick(b);
    run_tick(b);
}

void
broker_step(struct broker *b, const struct broker_event *ev,
            struct broker_effects *fx)
{
    b->now = ev->now;
    b->callers_known_us = ev->callers_known_us;
    b->fx = fx;
    if (b->started_us == 0) {
        b->started_us = b->now.mono_us;
        b->review_due = true;
    }
    check_pause(b);
    b->last_step_us = b->now.mono_us;
    dispatch_event(b, ev);
    deliver_local_msgs(b);
    tick(b);
    deliver_local_msgs(b);
    run_tick(b);
    deliver_local_msgs(b);
    hold_notify_zone(b);
    fence_report(b);
    report_if_stopped(b);
    b->fx = NULL;
}

static int64_t
min_us(int64_t a, int64_t b)
{
    return a < b ? a : b;
}

int64_t
broker_next_us(const struct broker *b)
{
    int64_t at = b->now.mono_us + TICK_MAX_US;

    at = min_us(at, peers_next_us(b));
    at = min_us(at, config_next_us(b));
    at = min_us(at, caller_next_us(b));
    at = min_us(at, hold_next_us(b));
    at = min_us(at, capacity_next_us(b));
    at = min_us(at, run_next_us(b));
    at = min_us(at, shutdown_next_us(b));
    at = min_us(at, renew_next_us(b));
    at = min_us(at, owner_next_us(b));
    at = min_us(at, speed_next_us(b));
    at = b->review_due ? min_us(at, b->next_review_us) : at;
    if (b->stopping && !b->stopped_reported) {
        at = min_us(at, b->stop_begun_us + b->opts.stop_timeout_us);
        if (b->stop_begun_us + b->opts.stop_accept_us > b->now.mono_us) {
            at = min_us(at, b->stop_begun_us + b->opts.stop_accept_us);
        }
    }
    return at;
}

bool
broker_ready(const struct broker *b)
{
    if (b->queues == NULL || b->stopping) {
        return false;
    }
    for (const struct broker_peer *p = b->peers; p != NULL; p = p->next) {
        if (peers_can_run_jobs(p) && p->n_loads > 0) {
            return true;
        }
    }
    return false;
}

int64_t
broker_startup_end_us(const struct broker *b)
{
    return b->started_us + b->opts.startup_wait_us;
}

const struct queueconf *
broker_queues(const struct broker *b)
{
    return b->queues;
}

uint32_t
broker_pending_jobs(const struct broker *b, struct name queue)
{
    const struct caller_job *c;
    struct handle h;
    uint32_t at = 0;
    uint32_t n = 0;

    while ((c = table_next(&b->caller_jobs, &at, &h)) != NULL) {
        n += name_equal(c->offer.u.job_offer.queue, queue) ? 1 : 0;
    }
    return n;
}

struct broker_counters
broker_counters(const struct broker *b)
{
    return b->counters;
}

const struct broker_histograms *
broker_histograms(const struct broker *b)
{
    return &b->histograms;
}

static void
count_upstreams(const struct broker *b, struct broker_gauges *g)
{
    const struct broker_upstream *u;
    struct handle h;
    uint32_t at = 0;

    while ((u = table_next(&b->upstreams, &at, &h)) != NULL) {
        g->upstreams_known++;
        g->upstreams_held += u->state != HOLD_NONE ? 1 : 0;
        g->upstreams_open += u->state == HOLD_OPEN ? 1 : 0;
        g->upstreams_quarantined +=
            u->quarantine_until_us > b->now.mono_us ? 1 : 0;
        g->tasks_running += u->n_tasks;
    }
}

struct broker_gauges
broker_gauges(const struct broker *b)
{
    struct broker_gauges g = {
        .callers_jobs = b->caller_jobs.n,
        .runner_jobs = b->run_jobs.n,
        .evacuated_zones = b->evacuated.n_zones,
        .evacuation_revision = b->evacuated.revision,
        .config_rank = b->queues != NULL ? b->queues->rank : 0,
        .holder_quota = b->capacity.quota,
        .declared_cpu_milli = b->opts.capacity.cpu_milli,
        .event_delay_us = (uint64_t)b->self->capacity.delay_us,
        .reserved_milli = urgent_reserved_milli(b),
    };
    const struct run_job *job;
    struct handle h;
    uint32_t at = 0;

    count_upstreams(b, &g);
    speed_fill_gauges(b, &g);
    while ((job = table_next(&b->run_jobs, &at, &h)) != NULL) {
        g.tasks_queued += job->n_ready;
    }
    for (const struct broker_peer *p = b->peers; p != NULL; p = p->next) {
        g.brokers_up += p->up && p->broker ? 1 : 0;
        g.registries_up += p->up && p->registry ? 1 : 0;
    }
    return g;
}
