/*
 * Jobs that callers submitted to this broker.  Each is offered to the runner
 * that is expected to have capacity first; its outcome is the caller's answer.
 */
#include <stdlib.h>
#include <string.h>

#include "broker_state.h"

enum {
    REOFFERS_MAX = 3, /* of a job, after its first offer */
};

/* Weight of earlier callers in struct queue_patience with each further one. */
static const double PATIENCE_DECAY = 0.98;
/* Callers that wait for less than the queue's timeout, beyond as many others,
 * after which this is taken to be usual. */
static const double PATIENCE_DOUBT = 8.0;
/* Cost of running a job in another zone: a round trip and the transfer. */
#define CROSS_ZONE_COST_US (8 * USEC_PER_MSEC)
/* Assumed wait at a runner that is full and releases no capacity; long, so
 * that any other runner is preferred. */
#define STALLED_RUNNER_US (10 * USEC_PER_SEC)
/* Retry advice when there is no runner: about the time in which other brokers
 * take over the upstreams of a lost broker. */
#define NO_RUNNER_RETRY_US (1 * USEC_PER_SEC)
/* A job accepted late in a stop may take three times its declared run time,
 * and some time to be placed and answered. */
enum { STOP_RUN_FACTOR = 3 };
#define STOP_MARGIN_US (300 * USEC_PER_MSEC)
/* Callers that were refused together would retry as one burst, so each retry
 * time is extended by a random part of up to half of it. */
enum { RETRY_JITTER_DIVISOR = 2 };

static int64_t
add_retry_jitter(struct broker *b, int64_t us)
{
    if (us <= 0) {
        return 0;
    }
    return us +
           (int64_t)broker_random(b, (uint64_t)us / RETRY_JITTER_DIVISOR + 1);
}

static void
count_outcome(struct broker *b, enum job_outcome outcome)
{
    struct broker_counters *c = &b->counters;

    switch (outcome) {
    case JOB_COMPLETED_OUTCOME:
        c->jobs_completed++;
        break;
    case JOB_FAILED_OUTCOME:
    case JOB_CANCELLED_OUTCOME:
        c->jobs_failed++;
        break;
    case JOB_EXPIRED_OUTCOME:
        c->jobs_expired++;
        break;
    case JOB_LOST_OUTCOME:
        c->jobs_unknown++;
        break;
    default:
        c->jobs_refused++;
        break;
    }
}

static void
send_answer(struct broker *b, uint64_t request, uint64_t id,
            enum job_outcome outcome, enum broker_reason reason,
            int64_t retry_us, const char *detail)
{
    struct be_answer *a = &broker_effects_add(b->fx, BE_ANSWER)->u.answer;
    bool completed = outcome == JOB_COMPLETED_OUTCOME;

    a->request = request;
    a->outcome = outcome;
    a->reason = reason;
    a->retry_after_us = add_retry_jitter(b, retry_us);
    count_outcome(b, outcome);
    broker_log(b, completed ? LOG_INFO : LOG_NOTICE, reason, id, -1,
               name_of(""), "%s; %s", job_outcome_text(outcome), detail);
}

static bool
is_offered(const struct caller_job *c)
{
    return !name_empty(c->runner);
}

static void
remove_job(struct broker *b, struct caller_job *c)
{
    b->n_unoffered -= is_offered(c) ? 0 : 1;
    msg_free(&c->offer);
    table_remove(&b->caller_jobs, c->self);
}

static void
answer_job(struct broker *b, struct caller_job *c, enum job_outcome outcome,
           enum broker_reason reason, int64_t retry_us)
{
    char detail[DETAIL_SIZE];

    histogram_add(&b->histograms.request[outcome],
                  b->now.mono_us - c->accepted_us);
    (void)snprintf(
        detail, sizeof(detail), "queue %s, runner %s, after %lld ms, %u moves",
        c->offer.u.job_offer.queue.s, c->runner.s,
        (long long)((b->now.mono_us - c->accepted_us) / USEC_PER_MSEC),
        c->reoffers);
    send_answer(b, c->request, c->offer.u.job_offer.id, outcome, reason,
                retry_us, detail);
    remove_job(b, c);
}

/* Choosing a runner */

static struct broker_load *
find_load(const struct broker_peer *p, struct name service)
{
    for (size_t i = 0; i < p->n_loads; i++) {
        if (name_equal(p->loads[i].reported.service, service)) {
            return &p->loads[i];
        }
    }
    return NULL;
}

static uint64_t
first_groups_milli(const struct rec_job_offer *o)
{
    uint64_t cpu = 0;

    for (size_t i = 0; i < o->n_groups; i++) {
        cpu += o->groups[i].after == 0
                   ? o->groups[i].count * o->groups[i].cpu_milli
                   : 0;
    }
    return cpu;
}

/* Milli-cores needed at the peer until the job's first groups have started: of
 * the jobs queued before it, of jobs sent since the report, and its own.
 * @takers brokers have the same report and the same kind of callers, so each
 * is taken to have sent as much as this one. */
static uint64_t
needed_milli(const struct broker_load *l, const struct rec_job_offer *o,
             uint32_t takers)
{
    uint64_t ahead = o->priority == 0   ? l->reported.queued0_milli
                     : o->priority == 1 ? l->reported.queued1_milli
                                        : l->reported.queued2_milli;

    return ahead + l->sent_milli * takers + first_groups_milli(o);
}

/* Time until the peer has capacity for all tasks of the job's first groups:
 * what it needs beyond the free capacity comes free at the reported rate. */
static int64_t
expected_wait_us(const struct broker_load *l, const struct rec_job_offer *o,
                 uint32_t takers)
{
    uint64_t needed = needed_milli(l, o, takers);

    if (needed <= l->reported.free_milli) {
        return 0;
    }
    if (l->reported.rate == 0) {
        return STALLED_RUNNER_US;
    }
    return (int64_t)((needed - l->reported.free_milli) * 1000 /
                     l->reported.rate);
}

/* Milli-cores that are free at the peer after the job has started; at least 1,
 * since it is used as a weight. */
static uint64_t
remaining_milli(const struct broker_load *l, const struct rec_job_offer *o,
                uint32_t takers)
{
    uint64_t needed = needed_milli(l, o, takers);

    return needed < l->reported.free_milli
               ? l->reported.free_milli - needed + 1
               : 1;
}

static uint32_t
count_takers(const struct broker *b)
{
    uint32_t n = 0;

    for (const struct broker_peer *p = b->peers; p != NULL; p = p->next) {
        n += p->broker && (p->up || p->self) ? 1 : 0;
    }
    return n;
}

/* @except is the runner that returned the job: its reason probably still
 * holds.  Among runners with the same wait one is drawn at random, weighted by
 * free capacity: all brokers have the same load reports, and would otherwise
 * all send their jobs to the same runner until the next report. */
static struct broker_peer *
choose_runner(struct broker *b, const struct rec_job_offer *o,
              struct name except)
{
    uint32_t takers =
        b->opts.disabled[BROKER_FEATURE_TAKERS] ? 1 : count_takers(b);
    struct broker_peer *best = NULL;
    int64_t best_us = INT64_MAX;
    uint64_t total = 0; /* free capacity of all runners with the best wait */

    for (struct broker_peer *p = b->peers; p != NULL; p = p->next) {
        struct broker_load *l = find_load(p, o->service);
        int64_t us;

        if (l == NULL || !peers_can_run_jobs(p) ||
            evacuate_covers(b, p->zone) || name_equal(p->name, except)) {
            continue;
        }
        if (b->opts.disabled[BROKER_FEATURE_OTHER_ZONES] &&
            !name_equal(p->zone, b->opts.zone)) {
            continue;
        }
        us = expected_wait_us(l, o, takers);
        us += name_equal(p->zone, b->opts.zone) ? 0 : CROSS_ZONE_COST_US;
        us += capacity_delay_us(b, p);
        if (us > best_us) {
            continue;
        }
        total = remaining_milli(l, o, takers) + (us < best_us ? 0 : total);
        if (us < best_us ||
            broker_random(b, total) < remaining_milli(l, o, takers)) {
            best = p;
        }
        best_us = us;
    }
    return best;
}

/* Without this, all jobs until the next load report would go to the runner
 * that was last reported idle. */
static void
count_sent_work(struct broker_peer *p, const struct rec_job_offer *o)
{
    struct broker_load *l = find_load(p, o->service);

    if (l != NULL) {
        l->sent_milli += first_groups_milli(o);
    }
}

static void
send_offer(struct broker *b, struct caller_job *c, struct broker_peer *p)
{
    struct rec_job_offer *o = &c->offer.u.job_offer;
    struct msg copy;

    count_sent_work(p, o);
    c->runner = p->name;
    c->confirmed_us = b->now.mono_us;
    o->heard_us = renew_confirmable_us(b, p);
    o->age_us = (uint64_t)(b->now.mono_us - c->accepted_us + c->waited_us);
    o->deadline_us = (uint64_t)(c->deadline_us - b->now.mono_us);
    copy = msg_copy(&c->offer);
    broker_send(b, p->name, &copy);
    broker_log(b, LOG_DEBUG, BROKER_OFFERED, o->id, -1, p->name,
               "queue %s, %zu groups, move %u", o->queue.s, o->n_groups,
               c->reoffers);
}

static bool
offer_job(struct broker *b, struct caller_job *c, struct name except)
{
    struct broker_peer *p = choose_runner(b, &c->offer.u.job_offer, except);

    if (p == NULL) {
        return false;
    }
    send_offer(b, c, p);
    return true;
}

/* When a whole region restarts, brokers have their configuration some tens of
 * milliseconds before the first of them holds upstreams, so jobs submitted in
 * that time wait for a runner.  At other times it is unknown when there will
 * be one, and jobs are refused at once. */
static bool
runner_expected(const struct broker *b)
{
    return b->now.mono_us < broker_startup_end_us(b);
}

static void
refuse_unoffered(struct broker *b, struct caller_job *c)
{
    answer_job(b, c, JOB_REFUSED_OUTCOME, BROKER_NO_RUNNER,
               NO_RUNNER_RETRY_US);
}

static void
offer_unoffered(struct broker *b)
{
    struct caller_job *c;
    struct handle h;
    uint32_t at = 0;

    b->runners_updated = false;
    while ((c = table_next(&b->caller_jobs, &at, &h)) != NULL) {
        if (is_offered(c)) {
            continue;
        }
        if (offer_job(b, c, name_of(""))) {
            b->n_unoffered--;
        }
        else if (!runner_expected(b)) {
            refuse_unoffered(b, c);
        }
    }
}

/* Events */

static void
fill_offer(struct caller_job *c, const struct bev_submit *s)
{
    struct rec_job_offer *o = &c->offer.u.job_offer;

    c->offer.kind = MSG_JOB_OFFER;
    o->number = handle_number(c->self);
    o->id = s->id;
    o->queue = s->queue->name;
    o->service = s->queue->service;
    o->priority = s->queue->priority;
    o->attempts = s->queue->attempts;
    o->stretch_milli = (uint64_t)(s->queue->stretch * 1000.0);
    o->target_us = (uint64_t)s->queue->target_us;
    o->spec = blob_ref(s->spec);
    o->groups = calloc(s->n_groups + 1, sizeof(*o->groups));
    if (o->groups == NULL) {
        abort();
    }
    memcpy(o->groups, s->groups, s->n_groups * sizeof(*s->groups));
    o->n_groups = s->n_groups;
}

/* Callers with open connections may submit jobs after stop_accept_us: a job
 * that certainly ends before the stop does is still accepted. */
static bool
ends_before_stop(const struct broker *b, const struct bev_submit *s)
{
    int64_t left = b->stop_begun_us + b->opts.stop_timeout_us - b->now.mono_us;
    uint64_t declared = 0;

    for (size_t i = 0; i < s->n_groups; i++) {
        declared += s->groups[i].declared_us;
    }
    return (int64_t)declared * STOP_RUN_FACTOR + STOP_MARGIN_US < left;
}

static enum broker_reason
early_refusal(const struct broker *b, const struct bev_submit *s)
{
    int64_t since = b->now.mono_us - b->stop_begun_us;

    if (b->stopping && since >= b->opts.stop_accept_us &&
        !ends_before_stop(b, s)) {
        return BROKER_STOPPING;
    }
    return b->queues == NULL ? BROKER_NO_CONFIG : BROKER_NONE;
}

static struct queue_patience *
get_patience(struct broker *b, struct name queue)
{
    struct queue_patience *grown;

    for (size_t i = 0; i < b->n_patience; i++) {
        if (name_equal(b->patience[i].queue, queue)) {
            return &b->patience[i];
        }
    }
    grown = realloc(b->patience, (b->n_patience + 1) * sizeof(*grown));
    if (grown == NULL) {
        abort();
    }
    b->patience = grown;
    grown[b->n_patience] = (struct queue_patience){.queue = queue};
    return &b->patience[b->n_patience++];
}

/* A caller that got no answer submits its job again, and waits for what is
 * left of its time.  So one that waits for less than the queue's timeout
 * probably had waited before, unless most callers of the queue wait for less.
 */
static int64_t
estimate_waited_us(struct broker *b, const struct bev_submit *s)
{
    struct queue_patience *p = get_patience(b, s->queue->name);
    bool shorter = s->timeout_us > 0 && s->timeout_us < s->queue->timeout_us;

    p->shorter *= PATIENCE_DECAY;
    p->others *= PATIENCE_DECAY;
    p->shorter += shorter ? 1 : 0;
    p->others += shorter ? 0 : 1;
    if (!shorter || b->opts.disabled[BROKER_FEATURE_WAITED] ||
        p->shorter > p->others + PATIENCE_DOUBT) {
        return 0;
    }
    return s->queue->timeout_us - s->timeout_us;
}

void
caller_on_submit(struct broker *b, const struct bev_submit *s)
{
    enum broker_reason reason = early_refusal(b, s);
    struct handle h;
    struct caller_job *c;
    int64_t timeout_us;

    b->counters.jobs_submitted++;
    if (reason != BROKER_NONE) {
        send_answer(b, s->request, s->id, JOB_REFUSED_OUTCOME, reason,
                    NO_RUNNER_RETRY_US, "at once");
        return;
    }
    /* The queue's timeout applies only if the caller sent none: otherwise it
     * could end long jobs that the caller still waits for. */
    timeout_us = s->timeout_us > 0 ? s->timeout_us : s->queue->timeout_us;
    c = table_add(&b->caller_jobs, &h);
    c->self = h;
    c->request = s->request;
    c->waited_us = estimate_waited_us(b, s);
    c->accepted_us = b->now.mono_us;
    c->deadline_us = b->now.mono_us + timeout_us;
    fill_offer(c, s);
    timers_add(&b->caller_timers, c->deadline_us, h);
    if (offer_job(b, c, name_of(""))) {
        return;
    }
    b->n_unoffered++;
    if (!runner_expected(b)) {
        refuse_unoffered(b, c);
    }
}

static void
send_drop(struct broker *b, const struct caller_job *c)
{
    struct msg m = {.kind = MSG_JOB_DROP};

    if (!is_offered(c)) {
        return;
    }
    m.u.job_drop.number = handle_number(c->self);
    broker_send(b, c->runner, &m);
}

void
caller_on_disconnect(struct broker *b, uint64_t request)
{
    struct caller_job *c;
    struct handle h;
    uint32_t at = 0;

    while ((c = table_next(&b->caller_jobs, &at, &h)) != NULL) {
        if (c->request == request) {
            b->counters.jobs_abandoned++;
            broker_log(b, LOG_INFO, BROKER_CALLER_LEFT,
                       c->offer.u.job_offer.id, -1, c->runner, "after %lld ms",
                       (long long)((b->now.mono_us - c->accepted_us) /
                                   USEC_PER_MSEC));
            send_drop(b, c);
            remove_job(b, c);
            return;
        }
    }
}

void
caller_on_cancel(struct broker *b, const struct bev_cancel *cancel)
{
    struct be_answer *a;
    struct caller_job *c;
    struct handle h;
    uint32_t at = 0;
    bool found = false;

    while ((c = table_next(&b->caller_jobs, &at, &h)) != NULL) {
        if (c->offer.u.job_offer.id == cancel->id) {
            send_drop(b, c);
            answer_job(b, c, JOB_CANCELLED_OUTCOME, BROKER_CANCELLED, 0);
            found = true;
        }
    }
    a = &broker_effects_add(b->fx, BE_ANSWER)->u.answer;
    a->request = cancel->request;
    a->outcome = JOB_CANCELLED_OUTCOME;
    a->unknown = !found;
}

void
caller_on_job_end(struct broker *b, struct name from,
                  const struct rec_job_end *e)
{
    struct caller_job *c =
        table_get(&b->caller_jobs, handle_of_number(e->number));
    enum broker_reason reason;

    if (c == NULL || !name_equal(c->runner, from) ||
        e->outcome >= JOB_OUTCOMES || e->reason >= BROKER_REASONS) {
        return;
    }
    reason = (enum broker_reason)e->reason;
    if (e->outcome == JOB_RETURNED_OUTCOME && c->reoffers < REOFFERS_MAX) {
        c->reoffers++;
        b->counters.jobs_moved++;
        if (offer_job(b, c, from)) {
            return;
        }
    }
    if (e->outcome == JOB_RETURNED_OUTCOME) {
        answer_job(b, c, JOB_REFUSED_OUTCOME, reason, NO_RUNNER_RETRY_US);
        return;
    }
    answer_job(b, c, (enum job_outcome)e->outcome, reason,
               (int64_t)e->retry_after_us);
}

void
caller_on_redirect(struct broker *b, struct name from,
                   const struct rec_job_redirect *r)
{
    struct caller_job *c =
        table_get(&b->caller_jobs, handle_of_number(r->number));
    struct broker_peer *p = peers_find(b, r->runner);

    if (c == NULL || !name_equal(c->runner, from)) {
        return;
    }
    if (p == NULL || !(p->up || p->self) || c->reoffers >= REOFFERS_MAX) {
        answer_job(b, c, JOB_LOST_OUTCOME, BROKER_HANDED_IN_AGAIN, 0);
        return;
    }
    c->reoffers++;
    send_offer(b, c, p);
}

/* Runs that the lost runner started continue until their leases expire or
 * another broker takes over the upstreams.  So the job may have run, and is
 * not offered to another runner.  The caller gets an unknown outcome at once,
 * and submits the job again when those runs have ended. */
void
caller_on_runner_lost(struct broker *b, struct name runner)
{
    struct caller_job *c;
    struct handle h;
    uint32_t at = 0;

    while ((c = table_next(&b->caller_jobs, &at, &h)) != NULL) {
        if (name_equal(c->runner, runner)) {
            bool claim_not_run = b->opts.breaks[BROKER_BREAK_LOST_NOT_RUN];

            answer_job(b, c,
                       claim_not_run ? JOB_REFUSED_OUTCOME : JOB_LOST_OUTCOME,
                       BROKER_RUNNER_LOST, 0);
        }
    }
}

void
caller_tick(struct broker *b)
{
    struct handle h;

    if (b->n_unoffered > 0 && (b->runners_updated || !runner_expected(b))) {
        offer_unoffered(b);
    }
    while (timers_pop(&b->caller_timers, b->now.mono_us, &h)) {
        struct caller_job *c = table_get(&b->caller_jobs, h);

        if (c != NULL) {
            send_drop(b, c);
            answer_job(b, c, JOB_EXPIRED_OUTCOME, BROKER_DEADLINE, 0);
        }
    }
}

int64_t
caller_next_us(const struct broker *b)
{
    int64_t at = timers_next_us(&b->caller_timers);
    int64_t over = broker_startup_end_us(b);

    return b->n_unoffered > 0 && over < at ? over : at;
}
