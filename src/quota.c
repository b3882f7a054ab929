#include "quota.h"

#include <stdlib.h>
#include <string.h>

#include "member.h"

#define SHARE_US (250 * USEC_PER_MSEC) /* between looks at the heartbeats */
#define TURN_US (1 * USEC_PER_SEC)     /* fractions of slots go round */

static const double BURST_S = 0.25; /* starts saved up at most, in seconds */

/** struct quota - this instance's share of one limit */
struct quota {
    struct name name; /* of the team or service */
    bool of_team;
    uint32_t max_running;  /* in the region; 0: no limit */
    uint32_t starts_per_s; /* in the region; 0: no limit */
    uint32_t running;      /* from here */
    uint32_t running_most; /* our share of max_running */
    double rate;           /* our share of starts_per_s */
    double tokens;         /* starts that may be made */
    int64_t filled_us;
    bool held_back; /* something waits for it */
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
concerns(const struct entry *e, const struct quota *q, struct name service)
{
    const struct service_conf *conf;

    if (!q->of_team) {
        return name_equal(q->name, service);
    }
    conf = config_service(e->config, service);
    return conf != NULL && name_equal(conf->team, q->name);
}

/** wanted_by() - tasks of the limit's services that a member runs or has
 * queued; our own from what we know now, others' from their heartbeats */
static double
wanted_by(const struct entry *e, const struct quota *q, const struct member *m)
{
    const struct dispatch *d = e->dispatch;
    double wanted = 0;

    for (size_t i = 0; m->self && i < d->n_services; i++) {
        const struct service_state *s = d->services[i];

        if (concerns(e, q, s->name)) {
            wanted += (double)s->n_running + (double)s->n_queued;
        }
    }
    for (size_t i = 0; !m->self && i < m->n_loads; i++) {
        const struct rec_load *l = &m->loads[i];

        if (concerns(e, q, l->service)) {
            wanted += (double)l->running + (double)l->backlog;
        }
    }
    return wanted;
}

/** reachable_part() - of every limit: zones where nobody is up keep theirs */
static double
reachable_part(const struct entry *e)
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

/** struct division - of a limit between the members that are up */
struct division {
    double before; /* parts of members with smaller names, all adding to 1 */
    double own;    /* our part */
};

/** part_of() - in proportion to what is wanted where that is more than there
 * is; else each gets what it wants and an even part of the rest */
static double
part_of(double wanted, double all_wanted, double limit, size_t n)
{
    if (all_wanted > limit) {
        return wanted / all_wanted;
    }
    return (wanted + (limit - all_wanted) / (double)n) / limit;
}

static struct division
divide(const struct entry *e, const struct quota *q, double limit)
{
    struct division d = {0};
    const struct member *m;
    double all = 0;
    size_t n = 0;
    size_t at = 0;
    bool met_self = false;

    while ((m = members_next(e, &at)) != NULL) {
        if (m->up || m->self) {
            all += wanted_by(e, q, m);
            n++;
        }
    }
    at = 0;
    while ((m = members_next(e, &at)) != NULL) {
        double part;

        if (!m->up && !m->self) {
            continue;
        }
        part = part_of(wanted_by(e, q, m), all, limit, n);
        met_self = met_self || m->self;
        d.before += met_self ? 0 : part;
        d.own += m->self ? part : 0;
    }
    return d;
}

/** whole_slots() - rounds the parts so that their sum is the limit.  Which
 * instances get the odd slots changes each second: with a limit below the
 * number of instances some would otherwise never start anything. */
static uint32_t
whole_slots(const struct entry *e, const struct division *d, double limit)
{
    double golden = 0.6180339887498949;
    double turn = (double)(e->now.wall_us / TURN_US % 1000) * golden;
    double offset = turn - (double)(int64_t)turn;
    int64_t from = (int64_t)(d->before * limit + offset);
    int64_t to = (int64_t)((d->before + d->own) * limit + offset);

    return (uint32_t)(to - from);
}

static void
share_out(struct entry *e, struct quota *q)
{
    double part = reachable_part(e);

    if (q->max_running > 0) {
        double limit = part * (double)q->max_running;
        struct division d = divide(e, q, limit);

        q->running_most = whole_slots(e, &d, limit);
    }
    if (q->starts_per_s > 0) {
        double limit = part * (double)q->starts_per_s;
        struct division d = divide(e, q, limit);

        q->rate = d.own * limit;
    }
}

/* The configuration */

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
add(struct entry *e, struct quotas *qs, struct quota q)
{
    q.filled_us = e->now.mono_us;
    q.tokens = 1;
    qs->items[qs->n++] = q;
}

static void
collect(struct entry *e, struct quotas *qs)
{
    const struct config *c = e->config;

    for (size_t i = 0; i < c->n_teams; i++) {
        const struct team_conf *t = &c->teams[i];

        if (t->max_running > 0 || t->starts_per_s > 0) {
            add(e, qs,
                (struct quota){.name = t->name,
                               .of_team = true,
                               .max_running = t->max_running,
                               .starts_per_s = t->starts_per_s});
        }
    }
    for (size_t i = 0; i < c->n_services; i++) {
        const struct service_conf *s = &c->services[i];

        if (s->max_running > 0) {
            add(e, qs,
                (struct quota){.name = s->name,
                               .max_running = s->max_running});
        }
    }
}

/** attach() - what runs already counts under the new limits */
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
    collect(e, qs);
    for (size_t i = 0; i < d->n_services; i++) {
        quotas_attach(e, d->services[i]);
    }
    qs->next_us = qs->n > 0 ? e->now.mono_us : INT64_MAX;
    quotas_tick(e);
}

/* Use */

static void
fill(struct entry *e, struct quota *q)
{
    double most = q->rate * BURST_S;
    double seconds = (double)(e->now.mono_us - q->filled_us) / USEC_PER_SEC;

    most = most > 1 ? most : 1;
    q->tokens += seconds * q->rate;
    q->tokens = q->tokens < most ? q->tokens : most;
    q->filled_us = e->now.mono_us;
}

static bool
allows(struct entry *e, struct quota *q)
{
    if (q == NULL) {
        return true;
    }
    if (q->max_running > 0 && q->running >= q->running_most) {
        q->held_back = true;
        return false;
    }
    if (q->starts_per_s == 0) {
        return true;
    }
    fill(e, q);
    if (q->tokens >= 1) {
        return true;
    }
    if (q->rate > 0) {
        double wait_s = (1 - q->tokens) / q->rate;

        dispatch_run_at(e,
                        e->now.mono_us + 1 + (int64_t)(wait_s * USEC_PER_SEC));
    }
    q->held_back = true;
    return false;
}

bool
quotas_allow_start(struct entry *e, struct service_state *s)
{
    return allows(e, s->quota) && allows(e, s->team_quota);
}

static void
started(struct quota *q)
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
    started(s->quota);
    started(s->team_quota);
}

static void
wake_team(struct entry *e, const struct quota *q)
{
    struct dispatch *d = e->dispatch;

    for (size_t i = 0; i < d->n_services; i++) {
        if (d->services[i]->team_quota == q || d->services[i]->quota == q) {
            dispatch_mark_dirty(e, d->services[i]);
        }
    }
}

static void
ended(struct entry *e, struct quota *q)
{
    if (q == NULL) {
        return;
    }
    q->running--;
    if (q->held_back) {
        q->held_back = false;
        wake_team(e, q);
    }
}

void
quotas_task_ended(struct entry *e, struct service_state *s)
{
    ended(e, s->quota);
    ended(e, s->team_quota);
}

static uint32_t
slots_of(const struct quota *q)
{
    if (q == NULL || q->max_running == 0) {
        return UINT32_MAX;
    }
    return q->running_most;
}

uint32_t
quotas_max_slots(struct entry *e, const struct service_state *s)
{
    uint32_t a = slots_of(s->quota);
    uint32_t b = slots_of(s->team_quota);

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
    qs->next_us = e->now.mono_us + SHARE_US;
    for (size_t i = 0; i < qs->n; i++) {
        share_out(e, &qs->items[i]);
        if (qs->items[i].held_back) {
            qs->items[i].held_back = false;
            wake_team(e, &qs->items[i]);
        }
    }
}

int64_t
quotas_next_us(const struct entry *e)
{
    return e->dispatch->quotas->next_us;
}
