/*
 * Declared capacity and reported usage of the brokers of the zone, see
 * broker_capacity.h.
 */
#include "broker_capacity.h"

#include <string.h>

#include "broker_state.h"

/* A report that is older says little: measurements are made every second, and
 * one may be lost. */
#define USAGE_MAX_AGE_US (2 * USEC_PER_SEC)
/* A runner handles some six events of a job one after another.  The shortest
 * usual jobs, of 60 ms, have 96 ms between that and their objective; one step
 * of delay costs them a quarter of it.  Smaller differences are noise: if they
 * counted, brokers would send all jobs to one runner until its next report. */
#define DELAY_STEP_US (4 * USEC_PER_MSEC)
/* Keeps sums of waits in range, whatever is reported. */
#define DELAY_MAX_US (10 * USEC_PER_SEC)
/* Interval of assignments while upstreams wait to be released: some of them
 * have no run then, at a load that leaves any capacity free. */
#define SURPLUS_REVIEW_US (250 * USEC_PER_MSEC)
/* Resolution of relative capacities in capacity_state.plan_hash. */
static const double CAPACITY_STEPS = 1000.0;

static bool
is_enabled(const struct broker *b)
{
    return !b->opts.disabled[BROKER_FEATURE_INSTANCE_CAPACITY];
}

static bool
is_declared(const struct instance_capacity *c)
{
    return c->cpu_milli != 0 || c->link_kbps != 0 || c->memory_mb != 0 ||
           c->connections != 0;
}

static bool
is_equal(const struct instance_capacity *a, const struct instance_capacity *c)
{
    return a->cpu_milli == c->cpu_milli && a->link_kbps == c->link_kbps &&
           a->memory_mb == c->memory_mb && a->connections == c->connections;
}

/* Declarations */

void
capacity_init(struct broker *b)
{
    b->self->capacity.declared = b->opts.capacity;
    b->capacity.surplus_review_us = INT64_MAX;
}

void
capacity_declare(struct broker *b, struct name to)
{
    struct msg m = {.kind = MSG_INSTANCE_CAPACITY};
    struct rec_instance_capacity *r = &m.u.instance_capacity;
    const struct instance_capacity *c = &b->opts.capacity;

    if (!is_enabled(b) || !is_declared(c)) {
        return;
    }
    r->cpu_milli = c->cpu_milli;
    r->link_kbps = c->link_kbps;
    r->memory_mb = c->memory_mb;
    r->connections = c->connections;
    broker_send(b, to, &m);
}

static uint32_t
bounded(uint64_t value)
{
    return value < UINT32_MAX ? (uint32_t)value : UINT32_MAX;
}

static void
put_in_force(struct broker *b, struct broker_peer *p,
             const struct instance_capacity *c)
{
    if (b->opts.breaks[BROKER_BREAK_CAPACITY_OLDER] &&
        is_declared(&p->capacity.declared)) {
        return;
    }
    if (!is_equal(&p->capacity.declared, c)) {
        p->capacity.declared = *c;
        b->review_due = true;
    }
}

void
capacity_on_declared(struct broker *b, struct name from,
                     const struct rec_instance_capacity *r)
{
    struct broker_peer *p = peers_find(b, from);
    struct instance_capacity c = {.cpu_milli = bounded(r->cpu_milli),
                                  .link_kbps = bounded(r->link_kbps),
                                  .memory_mb = bounded(r->memory_mb),
                                  .connections = bounded(r->connections)};

    if (p == NULL || p->self) {
        return;
    }
    if (p->capacity.introduced && !is_declared(&p->capacity.declared)) {
        put_in_force(b, p, &c);
    }
    p->capacity.pending = c;
    p->capacity.has_pending = true;
}

void
capacity_on_introduction(struct broker *b, struct broker_peer *p,
                         const struct rec_introduction *i)
{
    struct peer_capacity *known = &p->capacity;
    const struct instance_capacity none = {0};
    bool older = known->introduced && i->incarnation < known->incarnation;
    /* On a second connection of the same process, whose declaration was read
     * and counted with the introduction on the first. */
    bool again = known->introduced && !known->has_pending &&
                 i->incarnation == known->incarnation;

    /* Later introductions on a connection follow no declaration. */
    if (i->again != 0) {
        return;
    }
    /* Messages of a process that has ended may be read after those of its
     * successor, which have arrived on another connection. */
    if (!older && !again) {
        put_in_force(b, p, known->has_pending ? &known->pending : &none);
        known->introduced = true;
        known->incarnation = i->incarnation;
    }
    known->has_pending = false;
}

void
capacity_on_peer_lost(struct broker_peer *p)
{
    p->capacity.introduced = false;
    p->capacity.usage_us = 0;
}

struct instance_capacity
broker_declared(const struct broker *b, struct name instance)
{
    const struct broker_peer *p = peers_find(b, instance);

    return p != NULL ? p->capacity.declared : (struct instance_capacity){0};
}

/* The plan of holders */

struct instance_capacity
capacity_of_candidate(const struct broker *b, const struct broker_peer *p)
{
    return is_enabled(b) ? p->capacity.declared
                         : (struct instance_capacity){0};
}

static bool
is_notable(const struct holder_plan *plan)
{
    return plan->by_capacity || plan->by_link;
}

static bool
plan_changed(const struct capacity_state *c)
{
    return c->plan.by_capacity != c->logged_plan.by_capacity ||
           c->plan.by_link != c->logged_plan.by_link ||
           c->plan_hash != c->logged_hash;
}

static void
log_plan(struct broker *b, const struct holder_candidate *candidates)
{
    struct capacity_state *c = &b->capacity;
    size_t total = 0;

    for (size_t i = 0; i < c->plan.n_holders; i++) {
        total += candidates[i].share.quota;
    }
    broker_log(b, LOG_NOTICE, BROKER_HOLDERS_PLANNED, 0, -1, b->opts.self,
               "%zu holders, %s%s; largest %s with quota %zu of %zu, own "
               "quota %zu",
               c->plan.n_holders,
               c->plan.by_capacity ? "by capacity" : "in equal parts",
               c->plan.by_link ? ", limited by links" : "",
               candidates[0].name.s, candidates[0].share.quota, total,
               c->quota);
    c->logged_plan = c->plan;
    c->logged_hash = c->plan_hash;
}

void
capacity_plan_made(struct broker *b, struct holder_plan plan,
                   const struct holder_candidate *candidates)
{
    struct capacity_state *c = &b->capacity;

    c->plan = plan;
    c->quota = 0;
    c->plan_hash = 0;
    for (size_t i = 0; i < plan.n_holders; i++) {
        const struct broker_peer *p = candidates[i].context;

        c->plan_hash += p->hash * (uint64_t)(1.0 + candidates[i].capacity *
                                                       CAPACITY_STEPS);
        c->quota = p->self ? candidates[i].share.quota : c->quota;
    }
    if (b->discovery_over && plan.n_holders > 0 &&
        (is_notable(&plan) || is_notable(&c->logged_plan)) &&
        plan_changed(c)) {
        log_plan(b, candidates);
    }
}

void
capacity_surplus(struct broker *b, size_t surplus)
{
    bool due = surplus > 0 && b->capacity.plan.by_capacity;

    b->capacity.surplus_review_us =
        due ? b->now.mono_us + SURPLUS_REVIEW_US : INT64_MAX;
}

void
capacity_tick(struct broker *b)
{
    if (b->now.mono_us >= b->capacity.surplus_review_us) {
        b->capacity.surplus_review_us = INT64_MAX;
        b->review_due = true;
    }
}

int64_t
capacity_next_us(const struct broker *b)
{
    return b->capacity.surplus_review_us;
}

/* Usage */

void
capacity_on_measured(struct broker *b, const struct usage_sample *u)
{
    struct peer_capacity *own = &b->self->capacity;
    uint32_t cpu_milli = b->opts.capacity.cpu_milli;
    int64_t declared_us = u->window_us * cpu_milli / 1000;

    own->delay_us = u->delay_us;
    own->busy_permille =
        declared_us > 0 ? (uint64_t)(u->cpu_us * 1000 / declared_us) : 0;
    own->usage_us = b->now.mono_us;
    b->capacity.usage_due = b->capacity.plan.by_capacity;
}

void
capacity_on_usage(struct broker *b, struct name from,
                  const struct rec_broker_usage *r)
{
    struct broker_peer *p = peers_find(b, from);
    uint64_t max_us = DELAY_MAX_US;

    if (p == NULL || p->self || !p->up) {
        return;
    }
    p->capacity.busy_permille = r->busy_permille;
    p->capacity.delay_us =
        (int64_t)(r->delay_us < max_us ? r->delay_us : max_us);
    p->capacity.usage_us = b->now.mono_us;
}

void
capacity_send_usage(struct broker *b, struct name to)
{
    struct msg m = {.kind = MSG_BROKER_USAGE};
    const struct peer_capacity *own = &b->self->capacity;

    if (!b->capacity.usage_due) {
        return;
    }
    m.u.broker_usage.busy_permille = own->busy_permille;
    m.u.broker_usage.delay_us = (uint64_t)own->delay_us;
    broker_send(b, to, &m);
}

void
capacity_usage_sent(struct broker *b)
{
    b->capacity.usage_due = false;
}

int64_t
capacity_delay_us(const struct broker *b, const struct broker_peer *p)
{
    const struct peer_capacity *c = &p->capacity;

    if (!is_enabled(b) || c->usage_us == 0 ||
        b->now.mono_us - c->usage_us > USAGE_MAX_AGE_US) {
        return 0;
    }
    /* Others don't report in a zone without differences; then their delays
     * and the own one can't be compared. */
    if (p->self && !b->capacity.plan.by_capacity) {
        return 0;
    }
    return c->delay_us / DELAY_STEP_US * DELAY_STEP_US;
}
