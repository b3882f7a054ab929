#include "quota.h"

#include <stdlib.h>
#include <string.h>

#include "member.h"

#define DIVIDE_INTERVAL_US (250 * USEC_PER_MSEC)
#define ROTATION_US (1 * USEC_PER_SEC) /* between turns of odd slots */

static const double BUCKET_S = 0.25; /* token bucket size, seconds of rate */

/** struct quota - this instance's share of one limit */
struct quota {
    struct name name; /* of the team or service */
    bool of_team;
    uint32_t max_running;   /* in the region; 0: no limit */
    uint32_t starts_per_s;  /* in the region; 0: no limit */
    uint32_t running;       /* tasks started here */
    uint32_t running_share; /* share of max_running */
    double rate;            /* share of starts_per_s */
    double tokens;          /* token bucket: starts allowed now */
    int64_t refilled_us;    /* last refill of @tokens */
    bool blocked;           /* a start was refused since the last wake */
};

struct quotas {
    struct quota *items;
    size_t n;
    int64_t next_us;
};

struct quotas *
quotas_new(void)
{
    struct quotas *qs = calloc(1, sizeof(*qs));

    if (qs == NULL) {
        abort();
    }
    qs->next_us = INT64_MAX;
    return qs;
}

void
quotas_free(struct quotas *qs)
{
    free(qs->items);
    free(qs);
}

/* Shares */

static bool
applies_to(const struct entry *e, const struct quota *q, struct name service)
{
    const struct service_conf *conf;

    if (!q->of_team) {
        return name_equal(q->name, service);
    }
    conf = config_service(e->config, service);
    return conf != NULL && name_equal(conf->team, q->name);
}

/** demand_of() - demand of a member: running and queued tasks of the services
 * under the limit, from local state for this instance and from heartbeats for
 * others */
static double
demand_of(const struct entry *e, const struct quota *q, const struct member *m)
{
    const struct dispatch *d = e->dispatch;
    double demand = 0;

    for (size_t i = 0; m->self && i < d->n_services; i++) {
        const struct service_state *s = d->services[i];

        if (applies_to(e, q, s->name)) {
            demand += (double)s->n_running + (double)s->n_queued;
        }
    }
    for (size_t i = 0; !m->self && i < m->n_loads; i++) {
        const struct rec_load *l = &m->loads[i];

        if (applies_to(e, q, l->service)) {
            demand += (double)l->running + (double)l->backlog;
        }
    }
    return demand;
}

/** reachable_share() - the part of every limit that may be divided among the
 * members that are up: zones without one keep their part */
static double
reachable_share(const struct entry *e)
{
    size_t n_zones;
    const struct name *zones = members_zones(e, &n_zones);
    size_t reached = 0;

    for (size_t i = 0; i < n_zones; i++) {
        const struct member *m;
        size_t at = 0;
        bool up = false;

        while ((m = members_next(e, &at)) != NULL) {
            up = up || ((m->up || m->self) && name_equal(m->zone, zones[i]));
        }
        reached += up ? 1 : 0;
    }
    return n_zones > 0 ? (double)reached / (double)n_zones : 1.0;
}

/** struct division - division of a limit among the members that are up, whose
 * parts add up to 1 */
struct division {
    double before; /* sum of the parts of members with smaller names */
    double own;    /* part of this instance */
};

/** member_part() - the part of a member: in proportion to demand if the total
 * demand exceeds the limit, else its demand and an equal part of the rest */
static double
member_part(double demand, double total_demand, double limit, size_t n)
{
    if (total_demand > limit) {
        return demand / total_demand;
    }
    return (demand + (limit - total_demand) / (double)n) / limit;
}

static struct division
divide(const struct entry *e, const struct quota *q, double limit)
{
    struct division d = {0};
    const struct member *m;
    double all = 0;
    size_t n = 0;
    size_t at = 0;
    bool passed_self = false;

    while ((m = members_next(e, &at)) != NULL) {
        if (m->up || m->self) {
            all += demand_of(e, q, m);
            n++;
        }
    }
    at = 0;
    while ((m = members_next(e, &at)) != NULL) {
        double part;

        if (!m->up && !m->self) {
            continue;
        }
        part = member_part(demand_of(e, q, m), all, limit, n);
        passed_self = passed_self || m->self;
        d.before += passed_self ? 0 : part;
        d.own += m->self ? part : 0;
    }
    return d;
}

/** round_slots() - rounds the part of this instance so that the sum over all
 * instances is the limit.  Which instances get the odd slots changes each
 * second: with a limit below the number of instances, some of them could
 * otherwise never start a task. */
static uint32_t
round_slots(const struct entry *e, const struct division *d, double limit)
{
    double golden = 0.6180339887498949;
    double turn = (double)(e->now.wall_us / ROTATION_US % 1000) * golden;
    double offset = turn - (double)(int64_t)turn;
    int64_t from = (int64_t)(d->before * limit + offset);
    int64_t to = (int64_t)((d->before + d->own) * limit + offset);

    return (uint32_t)(to - from);
}

static void
divide_quota(struct entry *e, struct quota *q)
{
    double part = reachable_share(e);

    if (q->max_running > 0) {
        double limit = part * (double)q->max_running;
        struct division d = divide(e, q, limit);

        q->running_share = round_slots(e, &d, limit);
    }
    if (q->starts_per_s > 0) {
        double limit = part * (double)q->starts_per_s;
        struct division d = divide(e, q, limit);

        q->rate = d.own * limit;
    }
}

/* Configuration */

static struct quota *
quota_find(struct quotas *qs, struct name name, bool of_team)
{
    for (size_t i = 0; i < qs->n; i++) {
        struct quota *q = &qs->items[i];

        if (q->of_team == of_team && name_equal(q->name, name)) {
            return q;
        }
    }
    return NULL;
}

static void
add_quota(struct entry *e, struct quotas *qs, struct quota q)
{
    q.refilled_us = e->now.mono_us;
    q.tokens = 1;
    qs->items[qs->n++] = q;
}

static void
read_limits(struct entry *e, struct quotas *qs)
{
    const struct config *c = e->config;

    for (size_t i = 0; i < c->n_teams; i++) {
        const struct team_conf *t = &c->teams[i];

        if (t->max_running > 0 || t->starts_per_s > 0) {
            add_quota(e, qs,
                      (struct quota){.name = t->name,
                                     .of_team = true,
                                     .max_running = t->max_running,
                                     .starts_per_s = t->starts_per_s});
        }
    }
    for (size_t i = 0; i < c->n_services; i++) {
        const struct service_conf *s = &c->services[i];

        if (s->max_running > 0) {
            add_quota(e, qs,
                      (struct quota){.name = s->name,
                                     .max_running = s->max_running});
        }
    }
}

void
quotas_attach(struct entry *e, struct service_state *s)
{
    struct quotas *qs = e->dispatch->quotas;

    s->quota = quota_find(qs, s->name, false);
    s->team_quota = NULL;
    if (s->conf != NULL) {
        s->team_quota = quota_find(qs, s->conf->team, true);
    }
    if (s->quota != NULL) {
        s->quota->running += s->n_running;
    }
    if (s->team_quota != NULL) {
        s->team_quota->running += s->n_running;
    }
}

void
quotas_reload(struct entry *e)
{
    struct dispatch *d = e->dispatch;
    struct quotas *qs = d->quotas;

    free(qs->items);
    qs->items = calloc(e->config->n_teams + e->config->n_services + 1,
                       sizeof(*qs->items));
    if (qs->items == NULL) {
        abort();
    }
    qs->n = 0;
    read_limits(e, qs);
    for (size_t i = 0; i < d->n_services; i++) {
        quotas_attach(e, d->services[i]);
    }
    qs->next_us = qs->n > 0 ? e->now.mono_us : INT64_MAX;
    quotas_tick(e);
}

/* Use */

static void
refill_tokens(struct entry *e, struct quota *q)
{
    double bucket_size = q->rate * BUCKET_S;
    double seconds = (double)(e->now.mono_us - q->refilled_us) / USEC_PER_SEC;

    bucket_size = bucket_size > 1 ? bucket_size : 1;
    q->tokens += seconds * q->rate;
    q->tokens = q->tokens < bucket_size ? q->tokens : bucket_size;
    q->refilled_us = e->now.mono_us;
}

static bool
quota_allows(struct entry *e, struct quota *q)
{
    if (q == NULL) {
        return true;
    }
    if (q->max_running > 0 && q->running >= q->running_share) {
        q->blocked = true;
        return false;
    }
    if (q->starts_per_s == 0) {
        return true;
    }
    refill_tokens(e, q);
    if (q->tokens >= 1) {
        return true;
    }
    if (q->rate > 0) {
        double wait_s = (1 - q->tokens) / q->rate;

        dispatch_run_at(e,
                        e->now.mono_us + 1 + (int64_t)(wait_s * USEC_PER_SEC));
    }
    q->blocked = true;
    return false;
}

bool
quotas_allow_start(struct entry *e, struct service_state *s)
{
    return quota_allows(e, s->quota) && quota_allows(e, s->team_quota);
}

static void
count_started(struct quota *q)
{
    if (q != NULL) {
        q->running++;
        q->tokens -= q->starts_per_s > 0 ? 1 : 0;
    }
}

void
quotas_task_started(struct entry *e, struct service_state *s)
{
    (void)e;
    count_started(s->quota);
    count_started(s->team_quota);
}

static void
wake_services(struct entry *e, const struct quota *q)
{
    struct dispatch *d = e->dispatch;

    for (size_t i = 0; i < d->n_services; i++) {
        if (d->services[i]->team_quota == q || d->services[i]->quota == q) {
            dispatch_mark_dirty(e, d->services[i]);
        }
    }
}

static void
count_ended(struct entry *e, struct quota *q)
{
    if (q == NULL) {
        return;
    }
    q->running--;
    if (q->blocked) {
        q->blocked = false;
        wake_services(e, q);
    }
}

void
quotas_task_ended(struct entry *e, struct service_state *s)
{
    count_ended(e, s->quota);
    count_ended(e, s->team_quota);
}

static uint32_t
quota_max_slots(const struct quota *q)
{
    if (q == NULL || q->max_running == 0) {
        return UINT32_MAX;
    }
    return q->running_share;
}

uint32_t
quotas_max_slots(struct entry *e, const struct service_state *s)
{
    uint32_t a = quota_max_slots(s->quota);
    uint32_t b = quota_max_slots(s->team_quota);

    (void)e;
    return a < b ? a : b;
}

void
quotas_tick(struct entry *e)
{
    struct quotas *qs = e->dispatch->quotas;

    if (qs->next_us > e->now.mono_us) {
        return;
    }
    qs->next_us = e->now.mono_us + DIVIDE_INTERVAL_US;
    for (size_t i = 0; i < qs->n; i++) {
        divide_quota(e, &qs->items[i]);
        if (qs->items[i].blocked) {
            qs->items[i].blocked = false;
            wake_services(e, &qs->items[i]);
        }
    }
}

int64_t
quotas_next_us(const struct entry *e)
{
    return e->dispatch->quotas->next_us;
}
