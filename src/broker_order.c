/*
 * Admission of jobs and their order in the queue.
 *
 * This is made for demand near or above the capacity of the upstreams, jobs of
 * 60 ms to seconds of work, and callers that give up after a while.  In order
 * of arrival, each job of a burst would wait behind all earlier ones, and
 * nearly all answers would be late though most of the work gets done.  So jobs
 * are ordered by the latest start at which they meet their objective, with
 * urgent queues a little earlier.  A job that can no longer meet its objective
 * is late, and gets only capacity that the other jobs leave free.  A job that
 * would not even get that while its answer is useful is refused on arrival,
 * when it has cost nothing, and the refusal says when to retry.  While
 * demand exceeds capacity, capacity is shared between queues (broker_share.c).
 */
#include <stdlib.h>
#include <string.h>

#include "broker_speed.h"
#include "broker_state.h"

/* Advance of a queue over one of the next lower priority: half of the usual
 * spare time of a short job, so that priority decides between similar jobs and
 * never starves a long one. */
#define PRIORITY_STEP_US (60 * USEC_PER_MSEC)
/* Share of the processors that tasks of usual sizes can use: two tasks of 14
 * cores leave an eighth of 32 cores unused. */
static const double USABLE_SHARE = 0.85;
/* Answers are useful to callers until this multiple of the objective. */
enum { USEFUL_OBJECTIVES = 3 };
/* Limit of the queue of a service: several seconds of a zone's usual demand.
 * More jobs can't be in time. */
enum { QUEUE_JOBS_MAX = 1024 };
/* Offset in the queue order that puts late jobs behind all others; exceeds any
 * time. */
#define LATE_OFFSET_US (INT64_C(1) << 56)
/* The same for overdue jobs, behind all other late ones. */
#define OVERDUE_OFFSET_US (INT64_C(1) << 57)
/* Share of capacity assumed for late jobs at least: even under full load, some
 * jobs end early. */
static const double LATE_SHARE_MIN = 0.05;
/* Share of capacity that late jobs leave free for the next jobs that can be in
 * time: the size of a usual job. */
static const double LATE_RESERVE_SHARE = 0.08;
/* A late job that needs more than this share of capacity starts with some of
 * its tasks.  Enough for all tasks of a wide job is hardly ever free at once,
 * and the job would be refused while upstreams are idle. */
static const double WIDE_SHARE = 0.25;
/* A late job is admitted if it would start in time even after this multiple of
 * the estimated wait, since later jobs may overtake it. */
enum { LATE_WAIT_FACTOR = 2 };
/* Share of the expected time until a task fits that is certain to pass: of
 * many runs, the first ends well before the time expected of each. */
static const double FIT_SHARE = 0.5;
#define RETRY_MIN_US (200 * USEC_PER_MSEC)
/* Demand and capacity are measured over 2 s, which does not justify a longer
 * delay. */
#define RETRY_MAX_US (5 * USEC_PER_SEC)
/* Later than any deadline, and small enough to be multiplied. */
#define NEVER_US (INT64_C(1) << 50)

static struct queue_stats *
get_queue_stats(struct broker_service *s, struct name queue)
{
    struct queue_stats *grown;

    for (size_t i = 0; i < s->n_stats; i++) {
        if (name_equal(s->stats[i].queue, queue)) {
            return &s->stats[i];
        }
    }
    grown = realloc(s->stats, (s->n_stats + 1) * sizeof(*grown));
    if (grown == NULL) {
        abort();
    }
    s->stats = grown;
    memset(&grown[s->n_stats], 0, sizeof(*grown));
    grown[s->n_stats].queue = queue;
    return &s->stats[s->n_stats++];
}

int64_t
order_expected_us(const struct run_job *job, const struct rec_task_group *g)
{
    return estimate_mean_us(
        &get_queue_stats(job->service, job->queue)->run_estimate,
        (int64_t)g->declared_us);
}

void
order_record_run(struct run_job *job, const struct rec_task_group *g,
                 int64_t ran_us)
{
    estimate_add_run(&get_queue_stats(job->service, job->queue)->run_estimate,
                     (int64_t)g->declared_us, ran_us);
}

/* Expected run time of the longest chain of dependent groups.  A group depends
 * only on earlier ones. */
static int64_t
longest_chain_us(const struct run_job *job)
{
    int64_t ends[TASK_GROUPS_MAX] = {0};
    int64_t longest = 0;

    for (size_t i = 0; i < job->n_groups; i++) {
        int64_t begin = 0;

        for (size_t j = 0; j < i; j++) {
            if ((job->groups[i].after >> j & 1) != 0 && ends[j] > begin) {
                begin = ends[j];
            }
        }
        ends[i] = begin + order_expected_us(job, &job->groups[i]);
        longest = ends[i] > longest ? ends[i] : longest;
    }
    return longest;
}

static double
expected_work(const struct run_job *job)
{
    double work = 0;

    for (size_t i = 0; i < job->n_groups; i++) {
        const struct rec_task_group *g = &job->groups[i];

        work += (double)g->count * (double)g->cpu_milli *
                (double)order_expected_us(job, g);
    }
    return work;
}

/* The latest start after which the answer is of no use to the caller. */
static int64_t
last_useful_start_us(const struct run_job *job)
{
    int64_t allowed = job->objective_us - job->arrived_us;
    int64_t chain = job->objective_us - job->latest_start_us;
    int64_t last = job->arrived_us + USEFUL_OBJECTIVES * allowed - chain;
    int64_t by_deadline = job->deadline_us - chain;

    /* The caller of an overdue job still waits for the answer. */
    return last < by_deadline && !job->overdue ? last : by_deadline;
}

void
order_set_times(struct broker *b, struct run_job *job,
                const struct rec_job_offer *o)
{
    int64_t chain = longest_chain_us(job);
    int64_t objective =
        chain * (int64_t)o->stretch_milli / 1000 + (int64_t)o->target_us;

    job->work = expected_work(job);
    job->objective_us = b->now.mono_us - (int64_t)o->age_us + objective;
    job->deadline_us = b->now.mono_us + (int64_t)o->deadline_us;
    job->latest_start_us = job->objective_us - chain;
    job->queue_key_us = b->opts.disabled[BROKER_FEATURE_LATEST_START]
                            ? job->arrived_us
                            : job->latest_start_us;
    job->overdue = b->now.mono_us > last_useful_start_us(job);
    if (!b->opts.disabled[BROKER_FEATURE_PRIORITY]) {
        job->queue_key_us += PRIORITY_STEP_US * (int64_t)job->priority;
    }
}

void
order_insert(struct run_job *job)
{
    struct broker_service *s = job->service;
    struct run_job *predecessor;

    /* Started jobs are completed first.  Among the late jobs, the last tasks
     * of one would wait for ever behind jobs that find no spare capacity. */
    if (job->started) {
        job->queue_key_us = job->latest_start_us;
    }
    TAILQ_FOREACH_REVERSE(predecessor, &s->queue, run_queue, link)
    {
        if (predecessor->queue_key_us <= job->queue_key_us) {
            break;
        }
    }
    if (predecessor != NULL) {
        TAILQ_INSERT_AFTER(&s->queue, predecessor, job, link);
    }
    else {
        TAILQ_INSERT_HEAD(&s->queue, job, link);
    }
    job->queued = true;
    s->n_queued++;
    s->placement_due = true;
}

void
order_remove(struct run_job *job)
{
    if (job->queued) {
        TAILQ_REMOVE(&job->service->queue, job, link);
        job->queued = false;
        job->service->n_queued--;
    }
}

/* Capacity: processors of the upstreams held here that accept tasks, in
 * milli-cores, and how fast it is released. */
struct service_capacity {
    double cpu;
    double work;   /* the same, times the upstreams' speed */
    double usable; /* usable share of @work, divided by their slowness */
    double unused; /* not used by placed tasks */
    double held;   /* needed by placed and queued tasks */
    double released_per_us; /* of held */
};

/* Adds placed or queued tasks that need @cpu milli-cores for about @us. */
static void
add_held(struct service_capacity *c, double cpu, int64_t us)
{
    c->held += cpu;
    c->released_per_us += cpu / (double)(us > 0 ? us : 1);
}

static void
add_upstream_capacity(struct broker *b, struct service_capacity *c,
                      const struct broker_upstream *u)
{
    double work = u->capacity.cpu_milli * speed_of(b, u);

    c->cpu += u->capacity.cpu_milli;
    c->work += work;
    c->usable += work * USABLE_SHARE / (u->slowness > 1.0 ? u->slowness : 1.0);
    c->unused += u->capacity.cpu_milli - u->used.cpu_milli;
    for (size_t i = 0; i < u->n_tasks; i++) {
        struct run_job *job;
        const struct run_task *t = run_find_task(b, &u->tasks[i], &job);

        add_held(c, (double)job->groups[t->group].cpu_milli, t->expected_us);
    }
}

static struct service_capacity
measure_capacity(struct broker *b, const struct broker_service *s)
{
    struct service_capacity c = {0};
    const struct broker_upstream *u;
    struct handle h;
    uint32_t at = 0;

    if (!b->evacuated_known) {
        return c;
    }
    while ((u = table_next(&b->upstreams, &at, &h)) != NULL) {
        if (place_is_usable(b, s, u)) {
            add_upstream_capacity(b, &c, u);
        }
    }
    return c;
}

/* Milli-cores that a job's ready tasks need. */
static double
ready_cpu(const struct run_job *job)
{
    double cpu = 0;

    for (uint32_t i = 0; i < job->n_tasks; i++) {
        if (job->tasks[i].state == RUN_READY) {
            cpu += (double)job->groups[job->tasks[i].group].cpu_milli;
        }
    }
    return cpu;
}

/* Expected run time of a task of the job where it may be placed: at the mean
 * speed of the upstreams. */
static int64_t
expected_here_us(const struct service_capacity *c, const struct run_job *job)
{
    int64_t us = order_expected_us(job, &job->groups[0]);

    return c->work > 0 && c->work != c->cpu
               ? (int64_t)((double)us * c->cpu / c->work)
               : us;
}

/* Milli-cores needed by the queued jobs before a position in the queue.  They
 * are added to @c as held, since they will be when the job at that position is
 * next. */
static double
queued_before(const struct broker_service *s, int64_t before_key_us,
              struct service_capacity *c)
{
    const struct run_job *job;
    double cpu = 0;

    TAILQ_FOREACH(job, &s->queue, link)
    {
        double own;

        if (job->queue_key_us > before_key_us) {
            break;
        }
        own = ready_cpu(job);
        cpu += own;
        add_held(c, own, expected_here_us(c, job));
    }
    return cpu;
}

/* Milli-cores released in a microsecond when all usable ones are taken by
 * tasks like those held now. */
static double
release_rate(const struct service_capacity *c)
{
    return c->held > 0 ? c->cpu * USABLE_SHARE * c->released_per_us / c->held
                       : 0;
}

static int64_t
expected_wait_us(const struct service_capacity *c, double queued, double own)
{
    double missing_cpu = queued + own - c->unused;
    double rate = release_rate(c);

    if (c->cpu <= 0) {
        return NEVER_US;
    }
    if (missing_cpu <= 0 || rate <= 0) {
        return 0;
    }
    return (int64_t)(missing_cpu / rate);
}

/* Late jobs */

/* Milli-cores that late jobs can expect: as much as late work was started
 * lately.  As none may have been waiting, it is at least the capacity that
 * exceeds the demand. */
static double
late_capacity(struct broker *b, struct broker_service *s,
              const struct service_capacity *c)
{
    double left = c->usable - share_total_demand(s);
    double least_rate = c->usable * LATE_SHARE_MIN;

    share_update(b, s, c->usable);
    left = left > s->late_throughput ? left : s->late_throughput;
    return left > least_rate ? left : least_rate;
}

void
order_on_late_start(struct broker *b, struct run_job *job)
{
    struct service_capacity c = measure_capacity(b, job->service);

    share_update(b, job->service, c.usable);
    share_add_late_start(job->service, job->work);
}

/* Work of the queued late jobs before one with that latest start. */
static double
late_work_before(const struct broker_service *s, int64_t before_us)
{
    const struct run_job *job;
    double work = 0;

    TAILQ_FOREACH(job, &s->queue, link)
    {
        work += job->late && !job->started && job->latest_start_us < before_us
                    ? job->work
                    : 0;
    }
    return work;
}

/* Admission */

static void
mark_late(struct run_job *job)
{
    job->late = true;
    job->queue_key_us = (job->overdue ? OVERDUE_OFFSET_US : LATE_OFFSET_US) +
                        job->latest_start_us;
}

/* Delay after which the caller should retry: the latest start of the new
 * submission is then no earlier than @start_us, when the jobs before this one
 * are expected to be done. */
static int64_t
retry_after_us(const struct run_job *job, int64_t start_us)
{
    int64_t us = start_us - job->latest_start_us;

    us = us > RETRY_MIN_US ? us : RETRY_MIN_US;
    return us < RETRY_MAX_US ? us : RETRY_MAX_US;
}

/* Whether the job is late since no upstream has processors left for one of its
 * tasks until then, though what all of them leave unused may add up to what it
 * needs. */
static bool
fits_too_late(struct broker *b, const struct run_job *job)
{
    int64_t fit_us = place_fits_after_us(b, job, &job->groups[0]);
    int64_t spare_us = job->latest_start_us - b->now.mono_us;

    return (double)fit_us * FIT_SHARE > (double)spare_us;
}

static bool
try_admit_in_time(struct broker *b, struct run_job *job,
                  const struct service_capacity *free)
{
    struct broker_service *s = job->service;
    struct queue_stats *q = get_queue_stats(s, job->queue);
    struct service_capacity c = *free;
    int64_t spare = job->latest_start_us - b->now.mono_us;
    int64_t wait;

    wait = expected_wait_us(&c, queued_before(s, job->queue_key_us, &c),
                            ready_cpu(job));
    if (!b->opts.disabled[BROKER_FEATURE_SHARES]) {
        spare =
            (int64_t)((double)spare *
                      urgent_wait_factor(b, q, job->service, free->usable));
    }
    if (wait > spare ||
        (!b->opts.disabled[BROKER_FEATURE_FIT] && fits_too_late(b, job))) {
        return false;
    }
    share_spend_credit(q, job->work);
    return true;
}

/* Whether the demand of the last 2 s exceeds capacity. */
static bool
is_overloaded(const struct broker_service *s, const struct service_capacity *c)
{
    return share_total_demand(s) >= c->usable;
}

/* When the job would start behind all queued jobs: as capacity is released
 * and, in overload, no sooner than the share of late jobs allows. */
static int64_t
late_start_us(struct broker *b, const struct run_job *job,
              const struct service_capacity *free)
{
    struct service_capacity c = *free;
    double queued = queued_before(job->service, INT64_MAX, &c);
    double wait = (double)expected_wait_us(&c, queued, ready_cpu(job));

    if (is_overloaded(job->service, free)) {
        double work =
            late_work_before(job->service, job->latest_start_us) + job->work;
        double rate = late_capacity(b, job->service, free);
        double share_wait = rate > 0 ? work / rate : (double)NEVER_US;

        wait = wait > share_wait ? wait : share_wait;
    }
    wait = wait < (double)NEVER_US ? wait : (double)NEVER_US;
    return b->now.mono_us + (int64_t)wait;
}

enum broker_reason
order_admit(struct broker *b, struct run_job *job, int64_t *retry_us)
{
    struct broker_service *s = job->service;
    struct queue_stats *q = get_queue_stats(s, job->queue);
    struct service_capacity c = measure_capacity(b, job->service);
    int64_t start;

    *retry_us = 0;
    q->priority = job->priority;
    share_add_demand(b, s, q, job->work, c.usable);
    urgent_on_offer(b, q, job, c.usable);
    if (try_admit_in_time(b, job, &c)) {
        return BROKER_NONE;
    }
    mark_late(job);
    start = late_start_us(b, job, &c);
    if (b->now.mono_us + LATE_WAIT_FACTOR * (start - b->now.mono_us) <=
            last_useful_start_us(job) &&
        s->n_queued < QUEUE_JOBS_MAX) {
        return BROKER_NONE;
    }
    *retry_us = retry_after_us(job, start);
    return s->n_queued < QUEUE_JOBS_MAX ? BROKER_TOO_LATE : BROKER_QUEUE_FULL;
}

void
order_demote_if_late(struct broker *b, struct run_job *job)
{
    if (!job->late && !job->started && b->now.mono_us > job->latest_start_us) {
        order_remove(job);
        mark_late(job);
        order_insert(job);
    }
}

bool
order_starts_too_late(struct broker *b, const struct run_job *job,
                      int64_t *retry_us)
{
    struct service_capacity c;
    int64_t start;
    bool too_late;

    if (!job->late || job->started) {
        return false;
    }
    c = measure_capacity(b, job->service);
    too_late = b->now.mono_us > last_useful_start_us(job);
    /* Without overload, a group of long jobs in the queue may be done sooner
     * than estimated. */
    if (!too_late && !is_overloaded(job->service, &c)) {
        return false;
    }
    start = late_start_us(b, job, &c);
    *retry_us = retry_after_us(job, start);
    /* late_start_us() may have updated the measured demand. */
    return too_late || (is_overloaded(job->service, &c) &&
                        start > last_useful_start_us(job));
}

bool
order_late_can_start(struct broker *b, const struct run_job *job)
{
    struct service_capacity c = measure_capacity(b, job->service);
    double wide = c.cpu * WIDE_SHARE;
    double own = ready_cpu(job);

    if (b->opts.disabled[BROKER_FEATURE_SPARE]) {
        return true;
    }
    if (b->opts.disabled[BROKER_FEATURE_WIDE]) {
        wide = own;
    }
    return c.unused - (own < wide ? own : wide) >= c.cpu * LATE_RESERVE_SHARE;
}

static double
queued_of_priority(const struct broker_service *s, uint32_t priority)
{
    const struct run_job *job;
    double cpu = 0;

    TAILQ_FOREACH(job, &s->queue, link)
    {
        cpu += !job->late && job->priority <= priority ? ready_cpu(job) : 0;
    }
    return cpu;
}

struct rec_service_load
order_service_load(struct broker *b, const struct broker_service *s)
{
    struct rec_service_load l = {.service = s->name};
    struct service_capacity c = measure_capacity(b, s);

    l.cpu_milli = (uint64_t)c.cpu;
    l.free_milli = (uint64_t)c.unused;
    l.rate = (uint64_t)(release_rate(&c) * (double)USEC_PER_MSEC);
    l.queued0_milli = (uint64_t)queued_of_priority(s, 0);
    l.queued1_milli = (uint64_t)queued_of_priority(s, 1);
    l.queued2_milli = (uint64_t)queued_of_priority(s, UINT32_MAX);
    return l;
}
