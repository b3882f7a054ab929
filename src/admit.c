#include "admit.h"

#include <stdio.h>

#include "borrow.h"
#include "member.h"
#include "quota.h"
#include "upstream.h"

#define CAPACITY_US (20 * USEC_PER_MSEC) /* an estimate is used this long */
enum { QUEUE_PART = 4 }; /* of a time limit, for all that is queued */

#define RETRY_LEAST_US (200 * USEC_PER_MSEC)
#define RETRY_MOST_US (30 * USEC_PER_SEC)

uint8_t
admit_work_class(int64_t work_us)
{
    uint8_t class = 0;

    while (work_us > 1 && class < WORK_CLASSES - 1) {
        work_us /= 2;
        class ++;
    }
    return class;
}

/* Capacity */

/** struct zone_slots - of a service, as far as this instance knows */
struct zone_slots {
    uint32_t all;
    uint32_t held; /* by this instance */
};

static struct zone_slots
zone_slots(const struct entry *e, const struct service_state *s)
{
    struct zone_slots z = {0};
    const struct upstream *u;
    uint32_t at = 0;

    while ((u = upstreams_next(e, &at)) != NULL) {
        uint32_t usable;

        if (u->service != s || u->info.leaving || u->info.quarantined) {
            continue;
        }
        usable = upstreams_usable_slots(u);
        z.all += usable;
        z.held += u->held ? usable - u->lent : 0;
    }
    return z;
}

static uint32_t
zone_members(const struct entry *e)
{
    const struct member *m;
    uint32_t n = 1; /* self */
    size_t at = 0;

    while ((m = members_next(e, &at)) != NULL) {
        if (m->up && !m->self && name_equal(m->zone, e->zone)) {
            n++;
        }
    }
    return n;
}

static uint32_t
borrowed(const struct service_state *s)
{
    uint32_t n = 0;

    for (size_t i = 0; i < s->pool.n_places; i++) {
        const struct place *p = s->pool.all_places[i];

        if (!place_is_own(p) && !p->closed) {
            n += p->slots;
        }
    }
    return n;
}

static uint32_t
more(uint32_t a, uint32_t b)
{
    return a > b ? a : b;
}

uint32_t
admit_capacity(struct entry *e, struct service_state *s)
{
    struct zone_slots z;
    uint32_t quota;
    uint32_t n;

    if (s->capacity > 0 && e->now.mono_us < s->capacity_at_us + CAPACITY_US) {
        return s->capacity;
    }
    z = zone_slots(e, s);
    n = more(z.held + borrowed(s), z.all / zone_members(e));
    n += borrow_remote_free_slots(e, s);
    quota = quotas_max_slots(e, s);
    n = n < quota ? n : quota;
    s->capacity = more(n, 1);
    s->capacity_at_us = e->now.mono_us;
    return s->capacity;
}

/* Fit */

static bool
fits(const struct upstream *u, struct resources need)
{
    return need.cpu_milli <= u->info.cpu_milli &&
           need.memory_mb <= u->info.memory_mb &&
           need.accelerators <= u->info.accelerators;
}

/** enum fit - of a task */
enum fit { FIT_SOME, FIT_NONE, FIT_UNKNOWN };

void
admit_fill_largest(const struct entry *e, const struct service_state *s,
                   struct rec_load *load)
{
    const struct upstream *u;
    uint32_t at = 0;

    while ((u = upstreams_next(e, &at)) != NULL) {
        const struct rec_upstream_info *i = &u->info;

        if (u->service != s) {
            continue;
        }
        load->cpu_milli =
            i->cpu_milli > load->cpu_milli ? i->cpu_milli : load->cpu_milli;
        load->memory_mb =
            i->memory_mb > load->memory_mb ? i->memory_mb : load->memory_mb;
        load->accelerators = i->accelerators > load->accelerators
                                 ? i->accelerators
                                 : load->accelerators;
    }
}

static bool
load_fits(const struct rec_load *l, struct resources need)
{
    return need.cpu_milli <= l->cpu_milli && need.memory_mb <= l->memory_mb &&
           need.accelerators <= l->accelerators;
}

/** others_may() - upstreams of other zones are not known here one by one, but
 * heartbeats tell the largest sizes */
static bool
others_may(const struct entry *e, const struct service_state *s,
           struct resources need)
{
    const struct member *m;
    size_t at = 0;

    if (s->conf == NULL || !s->conf->spill) {
        return false;
    }
    while ((m = members_next(e, &at)) != NULL) {
        if (!m->up || m->self || name_equal(m->zone, e->zone)) {
            continue;
        }
        for (size_t i = 0; i < m->n_loads; i++) {
            if (name_equal(m->loads[i].service, s->name) &&
                load_fits(&m->loads[i], need)) {
                return true;
            }
        }
    }
    return false;
}

static enum fit
fit_of(const struct entry *e, const struct service_state *s,
       struct resources need)
{
    const struct upstream *u;
    uint32_t at = 0;
    bool any = false;

    while ((u = upstreams_next(e, &at)) != NULL) {
        if (u->service != s) {
            continue;
        }
        if (fits(u, need)) {
            return FIT_SOME;
        }
        any = true;
    }
    return any ? FIT_NONE : FIT_UNKNOWN;
}

/* Refusals */

static struct admission
refuse(enum problem problem, enum reason reason, int64_t retry_after_us)
{
    return (struct admission){.problem = problem,
                              .reason = reason,
                              .retry_after_us = retry_after_us};
}

/** retry_after() - when that much should be done, spread so that those who
 * were refused together do not come back together */
static int64_t
retry_after(struct entry *e, int64_t excess_us)
{
    int64_t us = excess_us > RETRY_LEAST_US ? excess_us : RETRY_LEAST_US;

    return entry_jitter(e, us < RETRY_MOST_US ? us : RETRY_MOST_US);
}

static struct admission
judge_fit(struct entry *e, const struct service_state *s,
          const struct job *job)
{
    struct admission a = {.admitted = true};
    const struct resources *last = NULL;

    for (uint32_t i = 0; i < job->n_tasks; i++) {
        const struct resources *need = &job->tasks[i].need;
        enum fit fit;

        if (last != NULL && resources_fit(*need, *last)) {
            continue;
        }
        fit = fit_of(e, s, *need);
        if (fit == FIT_SOME) {
            last = need;
            continue;
        }
        if (others_may(e, s, *need)) {
            continue;
        }
        if (fit == FIT_UNKNOWN) {
            a = refuse(PROBLEM_NO_UPSTREAMS, REASON_NO_UPSTREAMS,
                       retry_after(e, e->opts.renew_us));
            (void)snprintf(a.detail, sizeof(a.detail),
                           "no upstream of %s is known in this zone",
                           s->name.s);
            return a;
        }
        a = refuse(PROBLEM_NEVER_FITS, REASON_NEVER_FITS, 0);
        (void)snprintf(a.detail, sizeof(a.detail),
                       "task %u needs %u cpu_milli, %u MB, %u accelerators: "
                       "more than any upstream has",
                       i, need->cpu_milli, need->memory_mb,
                       need->accelerators);
        return a;
    }
    return a;
}

static uint32_t
team_weight(const struct entry *e, struct name team)
{
    const struct team_conf *t = config_team(e->config, team);

    return t != NULL && t->weight > 0 ? t->weight : 1;
}

/** struct crowd - who shares the instance's queue */
struct crowd {
    uint64_t weights; /* of teams with queued tasks, and room for one more */
    uint32_t own;     /* tasks queued by the asker's team */
};

static struct crowd
crowd_of(const struct entry *e, struct name team)
{
    const struct dispatch *d = e->dispatch;
    /* The team itself and one that may come yet. */
    struct crowd c = {.weights = 2 * (uint64_t)team_weight(e, team)};

    for (size_t i = 0; i < d->n_services; i++) {
        const struct service_state *s = d->services[i];

        if (s->n_queued == 0 || s->conf == NULL) {
            continue;
        }
        if (name_equal(s->conf->team, team)) {
            c.own += s->n_queued;
        }
        else {
            c.weights += team_weight(e, s->conf->team);
        }
    }
    return c;
}

/* A team that submits without end would fill the queue of the instance, and
 * every other team's jobs would be refused though their upstreams are idle.
 * So past half of the bound each team has its share by weight, one share
 * being kept for a team that has nothing queued yet. */
static bool
queue_full(const struct entry *e, const struct service_state *s,
           const struct job *job)
{
    uint64_t all = (uint64_t)e->dispatch->n_queued + job->n_tasks;
    struct crowd c;

    if (s->conf != NULL && s->n_queued + job->n_tasks > s->conf->max_queued &&
        s->conf->max_queued > 0) {
        return true;
    }
    if (all > e->opts.queue_max) {
        return true;
    }
    if (all <= e->opts.queue_max / 2) {
        return false;
    }
    c = crowd_of(e, job->team);
    return (c.own + job->n_tasks) * c.weights >
           (uint64_t)e->opts.queue_max * team_weight(e, job->team);
}

/** struct estimate - of a job's way through the queue, microseconds */
struct estimate {
    int64_t own;     /* its own work over the capacity */
    int64_t ahead;   /* what goes before it, over the capacity */
    int64_t all;     /* all that is queued, over the capacity */
    int64_t longest; /* its longest task, as expected */
    int64_t tail;    /* the same, when it runs late */
};

static int64_t
ahead_us(const struct service_state *s, uint8_t class)
{
    uint32_t n = 0;
    int64_t declared_us = 0;

    for (uint8_t i = 0; i <= class; i++) {
        n += s->queued_by_class[i].n_tasks;
        declared_us += s->queued_by_class[i].declared_us;
    }
    return estimate_sum_us(&s->run_estimate, n, declared_us);
}

/** running_us() - half of what runs is still to come, on average; it stands
 * in the way only where all slots are taken */
static int64_t
running_us(const struct service_state *s, uint32_t capacity)
{
    int64_t each =
        s->run_estimate.samples > 0 ? (int64_t)s->run_estimate.mean_us : 0;

    return s->n_running < capacity ? 0 : each * s->n_running / 2;
}

static struct estimate
estimate(struct entry *e, struct service_state *s, const struct job *job)
{
    uint32_t capacity = admit_capacity(e, s);
    struct estimate x = {0};
    int64_t declared_us = 0;
    int64_t longest_us = 0;
    int64_t work_us;
    int64_t running;

    for (uint32_t i = 0; i < job->n_tasks; i++) {
        int64_t us = job->tasks[i].run_us;

        declared_us += us;
        longest_us = us > longest_us ? us : longest_us;
    }
    work_us = estimate_sum_us(&s->run_estimate, job->n_tasks, declared_us);
    running = running_us(s, capacity);
    x.own = work_us / capacity;
    x.ahead = (running + ahead_us(s, admit_work_class(work_us))) / capacity;
    x.all = (running + ahead_us(s, WORK_CLASSES - 1)) / capacity;
    x.longest = estimate_mean_us(&s->run_estimate, longest_us);
    x.tail = estimate_longest_us(&s->run_estimate, job->n_tasks, longest_us);
    return x;
}

/** late_us() - by how much a job would be late, or make others late.  What
 * goes before it must leave it time enough.  And all that is queued must fit
 * into half of a time limit: for the other half jobs that come later may go
 * first (queue.h), and without this bound a stream of small ones would make
 * the large ones, admitted in good faith, fail at their deadlines with half
 * their tasks run. */
static int64_t
late_us(const struct service_state *s, const struct estimate *x, int64_t left)
{
    int64_t limit = s->conf != NULL ? s->conf->deadline_us : 0;
    int64_t own_late = x->ahead + x->own + x->tail - left;
    int64_t all_late;

    if (x->all == 0) {
        return 0;
    }
    limit = limit > left ? limit : left;
    all_late = x->all - limit / QUEUE_PART;
    return own_late > all_late ? own_late : all_late;
}

static struct admission
judge_time(struct entry *e, struct service_state *s, const struct job *job)
{
    struct estimate x = estimate(e, s, job);
    int64_t left = job->deadline_us - e->now.mono_us;
    int64_t need = x.longest > x.own ? x.longest : x.own;
    int64_t late;
    struct admission a;

    if (need > left) {
        a = refuse(PROBLEM_OVERLOADED, REASON_DEADLINE_HOPELESS,
                   retry_after(e, x.all));
        (void)snprintf(a.detail, sizeof(a.detail),
                       "takes %lld ms even alone, %lld ms are left",
                       (long long)(need / USEC_PER_MSEC),
                       (long long)(left / USEC_PER_MSEC));
        return a;
    }
    late = late_us(s, &x, left);
    if (late <= 0) {
        return (struct admission){.admitted = true};
    }
    a = refuse(PROBLEM_OVERLOADED, REASON_DEADLINE_HOPELESS,
               retry_after(e, late));
    if (quotas_max_slots(e, s) <= s->capacity) {
        a.problem = PROBLEM_QUOTA;
        a.reason = REASON_QUOTA;
    }
    (void)snprintf(a.detail, sizeof(a.detail),
                   "%lld ms of work wait before it, %lld ms are left",
                   (long long)(x.ahead / USEC_PER_MSEC),
                   (long long)(left / USEC_PER_MSEC));
    return a;
}

struct admission
admit_job(struct entry *e, const struct job *job)
{
    struct service_state *s = dispatch_ensure_service(e, job->service_name);
    struct admission a = judge_fit(e, s, job);

    if (!a.admitted) {
        return a;
    }
    if (queue_full(e, s, job)) {
        a = refuse(PROBLEM_OVERLOADED, REASON_QUEUE_FULL,
                   retry_after(e, USEC_PER_SEC));
        (void)snprintf(a.detail, sizeof(a.detail),
                       "%u tasks of the service are queued here", s->n_queued);
        return a;
    }
    return judge_time(e, s, job);
}
