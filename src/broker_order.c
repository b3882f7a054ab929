/*
 * Which jobs are let in, and which go first.
 *
 * The load it answers: demand near or above what the upstreams can do, jobs
 * from 60 ms to seconds of work, callers that leave after a while.  Served in
 * order of arrival, a burst makes every job wait behind all of it, and nearly
 * all answers come late though most of the work is done.  So jobs are ordered
 * by the time at which they must start to be answered in time, urgent queues a
 * little before that, and a job that could not be in time behind those before
 * it is refused when it comes: it costs nothing then, and its caller learns at
 * once when to come back.
 */
#include <stdlib.h>
#include <string.h>

#include "broker_state.h"

/* A queue goes that much before one of the next lower priority: half of the
 * usual spare time of a short job, so that priority decides between jobs of a
 * kind and never starves a long one. */
#define PRIORITY_US (60 * USEC_PER_MSEC)
/* Share of the processors that tasks of usual sizes can fill: 14 of 32 cores
 * leave an eighth unused. */
static const double FILL = 0.85;
/* Answers are of some use to callers until that multiple of the objective. */
enum { LATE_OBJECTIVES = 3 };
/* Jobs that may wait at one broker: several seconds of a zone's usual demand;
 * more can't be in time anyway. */
enum { QUEUE_JOBS_MAX = 1024 };
/* A usual job takes a tenth of a zone's processors at a time: with less than
 * that unused a new one is likely to wait. */
enum { USUAL_JOB = 10 };
/* Under pressure a late job is given up after a quarter of its objective. */
enum { LATE_SHARE = 4 };
#define MIN_RETRY_US (200 * USEC_PER_MSEC)

static struct learned *
history_of(struct broker_service *s, struct name queue)
{
    struct queue_history *more;

    for (size_t i = 0; i < s->n_history; i++) {
        if (name_equal(s->history[i].queue, queue)) {
            return &s->history[i].learned;
        }
    }
    more = realloc(s->history, (s->n_history + 1) * sizeof(*more));
    if (more == NULL) {
        abort();
    }
    s->history = more;
    memset(&more[s->n_history], 0, sizeof(*more));
    more[s->n_history].queue = queue;
    return &more[s->n_history++].learned;
}

int64_t
order_expected_us(const struct run_job *job, const struct rec_task_group *g)
{
    return learn_expected_us(history_of(job->service, job->queue),
                             (int64_t)g->declared_us);
}

void
order_learn(struct run_job *job, const struct rec_task_group *g,
            int64_t ran_us)
{
    learn_sample(history_of(job->service, job->queue), (int64_t)g->declared_us,
                 ran_us);
}

/* The longest chain of groups that wait for each other.  A group waits only
 * for earlier ones. */
static int64_t
longest_chain(const struct run_job *job)
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
work_of(const struct run_job *job)
{
    double work = 0;

    for (size_t i = 0; i < job->n_groups; i++) {
        const struct rec_task_group *g = &job->groups[i];

        work += (double)g->count * (double)g->cpu_milli *
                (double)order_expected_us(job, g);
    }
    return work;
}

void
order_plan(struct broker *b, struct run_job *job,
           const struct rec_job_offer *o)
{
    int64_t chain = longest_chain(job);
    int64_t objective =
        chain * (int64_t)o->stretch_milli / 1000 + (int64_t)o->target_us;

    job->work = work_of(job);
    job->objective_us = b->now.mono_us - (int64_t)o->age_us + objective;
    job->deadline_us = b->now.mono_us + (int64_t)o->deadline_us;
    job->start_by_us = job->objective_us - chain;
    job->ahead_us = job->start_by_us + PRIORITY_US * (int64_t)job->priority;
}

void
order_insert(struct run_job *job)
{
    struct broker_service *s = job->service;
    struct run_job *other;

    TAILQ_FOREACH_REVERSE(other, &s->queue, run_queue, link)
    {
        if (other->ahead_us <= job->ahead_us) {
            break;
        }
    }
    if (other != NULL) {
        TAILQ_INSERT_AFTER(&s->queue, other, job, link);
    }
    else {
        TAILQ_INSERT_HEAD(&s->queue, job, link);
    }
    job->queued = true;
    s->n_queued++;
    s->place = true;
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

/* Processors of upstreams that take work from here, and what is free there. */
static void
count_room(struct broker *b, const struct broker_service *s, double *cpu,
           double *unused)
{
    const struct broker_upstream *u;
    struct handle h;
    uint32_t at = 0;

    *cpu = 0;
    *unused = 0;
    while ((u = table_next(&b->upstreams, &at, &h)) != NULL) {
        if (u->service == s && u->state == HOLD_OPEN && !u->leaving &&
            u->until_us <= b->now.mono_us) {
            *cpu += u->capacity.cpu_milli;
            *unused += u->capacity.cpu_milli - u->used.cpu_milli;
        }
    }
}

/* Work that still waits before a place in the queue. */
static double
work_before(const struct broker_service *s, int64_t ahead_us)
{
    const struct run_job *job;
    double work = 0;

    TAILQ_FOREACH(job, &s->queue, link)
    {
        if (job->ahead_us > ahead_us) {
            break;
        }
        work += job->work * job->n_ready / (job->n_left + 1.0);
    }
    return work;
}

static int64_t
wait_us(struct broker *b, const struct broker_service *s, double work,
        double own_cpu)
{
    double cpu;
    double unused;

    count_room(b, s, &cpu, &unused);
    if (cpu <= 0) {
        return INT64_MAX / 4;
    }
    if (work <= 0 && unused >= own_cpu) {
        return 0;
    }
    return (int64_t)(work / (cpu * FILL));
}

static double
widest_cpu(const struct run_job *job)
{
    double most = 0;

    for (size_t i = 0; i < job->n_groups; i++) {
        double cpu =
            (double)job->groups[i].count * (double)job->groups[i].cpu_milli;

        most = cpu > most ? cpu : most;
    }
    return most;
}

enum broker_reason
order_admit(struct broker *b, const struct run_job *job, int64_t *retry_us)
{
    const struct broker_service *s = job->service;
    double before = work_before(s, job->ahead_us);
    int64_t wait = wait_us(b, s, before, widest_cpu(job));
    int64_t start = b->now.mono_us + wait;

    *retry_us = 0;
    if (s->n_queued >= QUEUE_JOBS_MAX) {
        *retry_us = wait > MIN_RETRY_US ? wait : MIN_RETRY_US;
        return BROKER_QUEUE_FULL;
    }
    if (start > job->start_by_us || start > job->deadline_us) {
        /* When the work that stands before it is done, it has a chance. */
        *retry_us = start - job->start_by_us;
        *retry_us = *retry_us > MIN_RETRY_US ? *retry_us : MIN_RETRY_US;
        return BROKER_TOO_LATE;
    }
    return BROKER_NONE;
}

/* A job that has not started when it had to will be late.  While others wait
 * behind it, serving it makes the next one late too, and so on until nobody is
 * in time: it is given up a little later.  With nobody behind it, it is served
 * as long as its answer is worth anything. */
bool
order_hopeless(const struct broker *b, const struct run_job *job)
{
    int64_t allowed = job->objective_us - job->arrived_us;
    int64_t chain = job->objective_us - job->start_by_us;
    int64_t last = job->arrived_us + LATE_OBJECTIVES * allowed - chain;
    bool pressed = TAILQ_NEXT(job, link) != NULL;

    if (job->started) {
        return false;
    }
    if (pressed) {
        last = job->start_by_us + allowed / LATE_SHARE;
    }
    return b->now.mono_us > last;
}

static double
work_of_priority(const struct broker_service *s, uint32_t priority)
{
    const struct run_job *job;
    double work = 0;

    TAILQ_FOREACH(job, &s->queue, link)
    {
        if (job->priority <= priority) {
            work += job->work * job->n_ready / (job->n_left + 1.0);
        }
    }
    return work;
}

struct rec_service_load
order_load(struct broker *b, const struct broker_service *s)
{
    struct rec_service_load l = {.service = s->name};
    double cpu;
    double unused;
    double usual;

    count_room(b, s, &cpu, &unused);
    usual = cpu / USUAL_JOB;
    l.cpu_milli = (uint64_t)cpu;
    l.free_milli = (uint64_t)unused;
    l.wait0_us = (uint64_t)wait_us(b, s, work_of_priority(s, 0), usual);
    l.wait1_us = (uint64_t)wait_us(b, s, work_of_priority(s, 1), usual);
    l.wait2_us =
        (uint64_t)wait_us(b, s, work_of_priority(s, UINT32_MAX), usual);
    return l;
}
