#include "admit.h"

#include <stdio.h>

#include "borrow.h"
#include "member.h"
#include "quota.h"
#include "upstream.h"

#define CAPACITY_US (20 * USEC_PER_MSEC) /* lifetime of a cached capacity */
enum { QUEUED_DIVISOR = 4 }; /* of a time limit, for all queued work */

#define RETRY_MIN_US (200 * USEC_PER_MSEC)
#define RETRY_MAX_US (30 * USEC_PER_SEC)

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

/** struct zone_slots - usable slots of a service in this zone */
struct zone_slots {
    uint32_t total;
    uint32_t held; /* by this instance, and not lent */
};

static struct zone_slots
count_zone_slots(const struct entry *e, const struct service_state *s)
{
    struct zone_slots z = {0};
    const struct upstream *u;
    uint32_t at = 0;

    while ((u = upstreams_next(e, &at)) != NULL) {
        uint32_t usable;

        if (u->service != s || u->info.leaving || u->info.quarantined ||
            !entry_may_start_in(e, u->info.zone)) {
            continue;
        }
        usable = upstreams_usable_slots(u);
        z.total += usable;
        z.held += u->held ? usable - u->lent : 0;
    }
    return z;
}

static uint32_t
count_zone_members(const struct entry *e)
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
borrowed_slots(const struct service_state *s)
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
max_u32(uint32_t a, uint32_t b)
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
    z = count_zone_slots(e, s);
    n = max_u32(z.held + borrowed_slots(s), z.total / count_zone_members(e));
    n += borrow_remote_free_slots(e, s);
    quota = quotas_max_slots(e, s);
    n = n < quota ? n : quota;
    s->capacity = max_u32(n, 1);
    s->capacity_at_us = e->now.mono_us;
    return s->capacity;
}

/* Resource needs */

static bool
upstream_fits(const struct upstream *u, struct resources need)
{
    return need.cpu_milli <= u->info.cpu_milli &&
           need.memory_mb <= u->info.memory_mb &&
           need.accelerators <= u->info.accelerators;
}

/** enum fit - whether some upstream of the zone can ever run a task;
 * FIT_UNKNOWN if the service has no upstreams there */
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

/** other_zone_fits() - whether some upstream of another zone can run a task
 *
 * Single upstreams of other zones are not known here, but heartbeats carry the
 * largest resources of each zone's upstreams. */
static bool
other_zone_fits(const struct entry *e, const struct service_state *s,
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
find_fit(const struct entry *e, const struct service_state *s,
         struct resources need)
{
    const struct upstream *u;
    uint32_t at = 0;
    bool any = false;

    while ((u = upstreams_next(e, &at)) != NULL) {
        if (u->service != s) {
            continue;
        }
        if (upstream_fits(u, need)) {
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

/** retry_after() - time until @excess_us of work should be done, with jitter
 * so that callers refused at the same time do not retry at the same time */
static int64_t
retry_after(struct entry *e, int64_t excess_us)
{
    int64_t us = excess_us > RETRY_MIN_US ? excess_us : RETRY_MIN_US;

    return entry_jitter(e, us < RETRY_MAX_US ? us : RETRY_MAX_US);
}

static struct admission
check_fit(struct entry *e, const struct service_state *s,
          const struct job *job)
{
    struct admission a = {.admitted = true};
    const struct resources *last_fit = NULL;

    for (uint32_t i = 0; i < job->n_tasks; i++) {
        const struct resources *need = &job->tasks[i].need;
        enum fit fit;

        if (last_fit != NULL && resources_fit(*need, *last_fit)) {
            continue;
        }
        fit = find_fit(e, s, *need);
        if (fit == FIT_SOME) {
            last_fit = need;
            continue;
        }
        if (other_zone_fits(e, s, *need)) {
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

/** struct queue_shares - how the instance's queue is shared by teams */
struct queue_shares {
    uint64_t total_weight;   /* of active teams, and one reserved share */
    uint32_t queued_by_team; /* tasks queued by the submitting team */
};

static struct queue_shares
compute_shares(const struct entry *e, struct name team)
{
    const struct dispatch *d = e->dispatch;
    /* The share of @team itself, and one reserved for a team that has nothing
     * queued yet. */
    struct queue_shares shares = {.total_weight =
                                      2 * (uint64_t)team_weight(e, team)};

    for (size_t i = 0; i < d->n_services; i++) {
        const struct service_state *s = d->services[i];

        if (s->n_queued == 0 || s->conf == NULL) {
            continue;
        }
        if (name_equal(s->conf->team, team)) {
            shares.queued_by_team += s->n_queued;
        }
        else {
            shares.total_weight += team_weight(e, s->conf->team);
        }
    }
    return shares;
}

/* A single team could fill the queue of the instance, and the jobs of all
 * other teams would be refused although their upstreams are idle.  Once the
 * queue is half full, each team is therefore limited to its share by weight,
 * and one share is reserved for a team that has nothing queued yet. */
static bool
queue_full(const struct entry *e, const struct service_state *s,
           const struct job *job)
{
    uint64_t total = (uint64_t)e->dispatch->n_queued + job->n_tasks;
    struct queue_shares shares;

    if (s->conf != NULL && s->n_queued + job->n_tasks > s->conf->max_queued &&
        s->conf->max_queued > 0) {
        return true;
    }
    if (total > e->opts.queue_max) {
        return true;
    }
    if (total <= e->opts.queue_max / 2) {
        return false;
    }
    shares = compute_shares(e, job->team);
    return (shares.queued_by_team + job->n_tasks) * shares.total_weight >
           (uint64_t)e->opts.queue_max * team_weight(e, job->team);
}

/** struct time_estimate - expected times of a job, in microseconds; work is
 * divided by the capacity of the queue */
struct time_estimate {
    int64_t own;     /* work of the job itself */
    int64_t ahead;   /* work that goes before the job */
    int64_t queued;  /* all queued and running work */
    int64_t longest; /* expected run time of the job's longest task */
    int64_t tail;    /* upper estimate of the same */
};

/** queued_work_us() - queued work of all classes up to @class */
static int64_t
queued_work_us(const struct service_state *s, uint8_t class)
{
    uint32_t n = 0;
    int64_t declared_us = 0;

    for (uint8_t i = 0; i <= class; i++) {
        n += s->queued_by_class[i].n_tasks;
        declared_us += s->queued_by_class[i].declared_us;
    }
    return estimate_sum_us(&s->run_estimate, n, declared_us);
}

/** running_work_us() - remaining work of running tasks: on average half of
 * their run time; 0 while slots are free, since it delays no queued task */
static int64_t
running_work_us(const struct service_state *s, uint32_t capacity)
{
    int64_t mean_us =
        s->run_estimate.samples > 0 ? (int64_t)s->run_estimate.mean_us : 0;

    return s->n_running < capacity ? 0 : mean_us * s->n_running / 2;
}

static struct time_estimate
estimate_times(struct entry *e, struct service_state *s, const struct job *job)
{
    uint32_t capacity = admit_capacity(e, s);
    struct time_estimate est = {0};
    int64_t declared_us = 0;
    int64_t longest_us = 0;
    int64_t work_us;
    int64_t running_us;

    for (uint32_t i = 0; i < job->n_tasks; i++) {
        int64_t us = job->tasks[i].run_us;

        declared_us += us;
        longest_us = us > longest_us ? us : longest_us;
    }
    work_us = estimate_sum_us(&s->run_estimate, job->n_tasks, declared_us);
    running_us = running_work_us(s, capacity);
    est.own = work_us / capacity;
    est.ahead =
        (running_us + queued_work_us(s, admit_work_class(work_us))) / capacity;
    est.queued = (running_us + queued_work_us(s, WORK_CLASSES - 1)) / capacity;
    est.longest = estimate_mean_us(&s->run_estimate, longest_us);
    est.tail = estimate_longest_us(&s->run_estimate, job->n_tasks, longest_us);
    return est;
}

/** late_us() - by how much the job would miss its deadline, or would make
 * queued jobs miss theirs
 *
 * The work that goes before the job must leave it enough time.  In addition,
 * all queued work must fit into a fraction (QUEUED_DIVISOR) of the time limit:
 * jobs submitted later may overtake for half of it (queue.h), and without this
 * bound a stream of small jobs would make admitted large jobs fail at their
 * deadlines with half of their tasks run. */
static int64_t
late_us(const struct service_state *s, const struct time_estimate *est,
        int64_t left)
{
    int64_t limit = s->conf != NULL ? s->conf->deadline_us : 0;
    int64_t own_late = est->ahead + est->own + est->tail - left;
    int64_t queue_late;

    if (est->queued == 0) {
        return 0;
    }
    limit = limit > left ? limit : left;
    queue_late = est->queued - limit / QUEUED_DIVISOR;
    return own_late > queue_late ? own_late : queue_late;
}

static struct admission
check_time(struct entry *e, struct service_state *s, const struct job *job)
{
    struct time_estimate est = estimate_times(e, s, job);
    int64_t left = job->deadline_us - e->now.mono_us;
    int64_t need = est.longest > est.own ? est.longest : est.own;
    int64_t late;
    struct admission a;

    if (need > left) {
        a = refuse(PROBLEM_OVERLOADED, REASON_DEADLINE_HOPELESS,
                   retry_after(e, est.queued));
        (void)snprintf(a.detail, sizeof(a.detail),
                       "takes %lld ms even alone, %lld ms are left",
                       (long long)(need / USEC_PER_MSEC),
                       (long long)(left / USEC_PER_MSEC));
        return a;
    }
    late = late_us(s, &est, left);
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
                   (long long)(est.ahead / USEC_PER_MSEC),
                   (long long)(left / USEC_PER_MSEC));
    return a;
}

struct admission
admit_job(struct entry *e, const struct job *job)
{
    struct service_state *s = dispatch_ensure_service(e, job->service_name);
    struct admission a = check_fit(e, s, job);

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
    return check_time(e, s, job);
}
