/* Callers of the virtual region, and what they were told. */
#include <math.h>
#include <stdlib.h>
#include <string.h>

#include "array.h"
#include "vlease_state.h"

enum { JOB_LATE_SHARE = 4 };
#define CALLER_US 1000

struct vjob *
vcall_job(struct vlease *v, uint64_t number)
{
    return number > 0 && number <= v->n_jobs ? &v->jobs[number - 1] : NULL;
}

static double
drawn(struct vlease *v)
{
    return (double)vlease_random(v, 1 << 20) / (1 << 20);
}

/* Between 1 - @spread and 1 + @spread, more often near the middle. */
static double
factor(struct vlease *v, double spread)
{
    return 1.0 + spread * (drawn(v) + drawn(v) - 1.0);
}

/* How wide a job is: most are near the mean, one of twenty is more than twice
 * as wide where @spread is 0.4. */
static uint32_t
width_of(struct vlease *v, const struct vlease_queue *q)
{
    double wide;

    if (q->width_spread <= 0) {
        return q->tasks;
    }
    wide = (double)q->tasks *
           exp(q->width_spread * 1.7 * (drawn(v) + drawn(v) + drawn(v) - 1.5));
    return wide < 1.0 ? 1 : (uint32_t)(wide + 0.5);
}

/* The next broker of the same zone, as the platform's balancer would choose.
 */
static uint32_t
next_of_zone(const struct vlease *v, uint32_t broker)
{
    uint32_t each = v->opts.brokers;

    return broker / each * each + (broker + 1) % each;
}

static uint32_t
another_broker(struct vlease *v, uint32_t broker)
{
    return v->opts.resend_anywhere ? (uint32_t)vlease_random(v, v->n_brokers)
                                   : next_of_zone(v, broker);
}

static void
avoid_dead(struct vlease *v, struct vjob *job)
{
    for (uint32_t i = 0; i < v->n_brokers; i++) {
        const struct vprocess *p = &v->processes[job->broker];

        if (!p->down && !p->stopped) {
            return;
        }
        job->broker = another_broker(v, job->broker);
    }
}

static void
hand_in(struct vlease *v, uint64_t number)
{
    struct vjob *job = vcall_job(v, number);
    const struct vlease_queue *q = &v->opts.queues[job->queue];
    struct vprocess *p = &v->processes[job->broker];
    const struct queueconf *queues =
        p->broker != NULL ? broker_queues(p->broker) : NULL;
    struct rec_task_group group = {.count = job->tasks,
                                   .cpu_milli = job->cpu_milli,
                                   .memory_mb = 64,
                                   .requirement = q->requirement,
                                   .declared_us = (uint64_t)job->declared_us};
    struct broker_event ev = {.kind = BEV_SUBMIT};

    if (p->paused_until_us > v->now_us) {
        vlease_at(v, p->paused_until_us, VEV_RESEND)->number = number;
        return;
    }
    if (p->down || p->stopped || queues == NULL || job->left) {
        struct vevent *e =
            vlease_at(v, v->now_us + v->opts.resend_us, VEV_RESEND);

        e->number = number;
        return;
    }
    /* What an earlier life of the job started is not told of in a refusal of
     * this one: that life's outcome was told as unknown. */
    job->started = false;
    job->request = number;
    ev.u.submit.request = number;
    ev.u.submit.id = number;
    ev.u.submit.queue = &queues->queues[job->queue];
    ev.u.submit.spec = blob_new("spec", 4);
    ev.u.submit.groups = &group;
    ev.u.submit.n_groups = 1;
    ev.u.submit.timeout_us = v->opts.whole_timeout
                                 ? q->timeout_us
                                 : job->asked_us + q->timeout_us - v->now_us;
    vlease_step(v, p, &ev);
    blob_unref(ev.u.submit.spec);
}

/* The same for each run of a task, so that one that is placed again takes as
 * long as before. */
int64_t
vcall_run_us(const struct vlease *v, uint64_t number, uint32_t index)
{
    const struct vjob *job = &v->jobs[number - 1];
    double uneven = v->opts.queues[job->queue].uneven;
    uint64_t seed = v->opts.seed + number * 7919 + index;
    double off = (double)(random_next(&seed) % 2001) / 1000.0 - 1.0;

    return (int64_t)((double)job->run_us * (1.0 + uneven * off));
}

double
vcall_straggler_factor(const struct vlease *v, uint64_t number, uint32_t index)
{
    uint64_t seed = v->opts.seed + number * 104729 + index;
    double drawn = (double)(random_next(&seed) % 10000) / 10000.0;

    return drawn < v->opts.straggler_share ? v->opts.straggler_factor : 1.0;
}

static int64_t
longest_run_us(const struct vlease *v, uint64_t number)
{
    int64_t longest_us = 0;

    for (uint32_t i = 0; i < v->jobs[number - 1].tasks; i++) {
        int64_t us = vcall_run_us(v, number, i);

        longest_us = us > longest_us ? us : longest_us;
    }
    return longest_us;
}

uint64_t
vlease_submit(struct vlease *v, uint32_t broker, uint32_t queue)
{
    const struct vlease_queue *q = &v->opts.queues[queue];
    struct vjob *job;

    v->jobs = array_grow(v->jobs, v->n_jobs, &v->jobs_room, sizeof(*v->jobs));
    job = &v->jobs[v->n_jobs++];
    memset(job, 0, sizeof(*job));
    job->queue = queue;
    job->broker = broker;
    avoid_dead(v, job);
    job->tasks = width_of(v, q);
    job->cpu_milli = q->cpu_milli;
    if (q->cpu_spread > 0) {
        job->cpu_milli =
            (uint32_t)((double)q->cpu_milli * factor(v, q->cpu_spread));
    }
    job->asked_us = v->now_us;
    job->run_us = (int64_t)((double)q->run_us * factor(v, q->spread));
    job->declared_us =
        (int64_t)((double)job->run_us * factor(v, q->declared_off));
    job->objective_us =
        longest_run_us(v, v->n_jobs) * 8 / 5 + 60 * USEC_PER_MSEC;
    job->outcome = JOB_OUTCOMES;
    hand_in(v, v->n_jobs);
    return v->n_jobs;
}

void
vlease_resubmit(struct vlease *v, uint64_t number, uint32_t broker)
{
    struct vjob *job = vcall_job(v, number);

    job->broker = broker;
    job->left = false;
    hand_in(v, number);
}

static void
tell_gone(struct vlease *v, struct vprocess *p, uint64_t number)
{
    struct broker_event ev = {.kind = BEV_GONE};

    ev.u.gone.request = number;
    if (!p->down) {
        vlease_step(v, p, &ev);
    }
}

void
vlease_leave(struct vlease *v, uint64_t number)
{
    struct vjob *job = vcall_job(v, number);
    struct vprocess *p = &v->processes[job->broker];
    int64_t noticed_us =
        v->now_us > p->unpolled_until_us ? v->now_us : p->unpolled_until_us;
    struct vevent *e;

    job->left = true;
    job->request = 0;
    if (v->now_us == noticed_us) {
        tell_gone(v, p, number);
        return;
    }
    e = vlease_at(v, noticed_us, VEV_LEFT);
    e->to = p->number;
    e->life = p->life;
    e->number = number;
}

void
vcall_on_left(struct vlease *v, const struct vevent *e)
{
    tell_gone(v, &v->processes[e->to], e->number);
}

static void
resend_later(struct vlease *v, uint64_t number)
{
    struct vevent *e = vlease_at(v, v->now_us + v->opts.resend_us, VEV_RESEND);
    struct vjob *job = vcall_job(v, number);

    job->request = 0;
    e->number = number;
    job->broker = another_broker(v, job->broker);
}

void
vcall_broken(struct vlease *v, const struct vprocess *p)
{
    for (size_t i = 0; i < v->n_jobs; i++) {
        if (v->jobs[i].request != 0 && v->jobs[i].broker == p->number) {
            resend_later(v, i + 1);
        }
    }
}

void
vcall_on_resend(struct vlease *v, const struct vevent *e)
{
    struct vjob *job = vcall_job(v, e->number);
    int64_t timeout_us = v->opts.queues[job->queue].timeout_us;

    if (job->answered || job->left) {
        return;
    }
    if (v->now_us < job->asked_us + timeout_us) {
        avoid_dead(v, job);
        hand_in(v, e->number);
        return;
    }
    job->answered = true; /* it waits no longer */
    job->answered_us = v->now_us;
    job->outcome = JOB_LOST_OUTCOME;
}

void
vcall_on_answer(struct vlease *v, struct vprocess *p,
                const struct be_answer *a)
{
    struct vjob *job = vcall_job(v, a->request);

    if (job == NULL || job->left) {
        return;
    }
    if (job->request == 0 || job->broker != p->number) {
        v->faults.answers_twice += job->answered ? 1 : 0;
        return;
    }
    if (a->outcome == JOB_LOST_OUTCOME) {
        resend_later(v, a->request);
        return;
    }
    job->request = 0;
    job->answered = true;
    job->outcome = a->outcome;
    job->answered_us = v->now_us;
    job->retry_us = a->retry_after_us;
    if (a->outcome == JOB_REFUSED_OUTCOME && job->started) {
        vlease_fault(v, &v->faults.false_refusals, p->name,
                     (struct run_ref){.job = a->request});
    }
}

void
vcall_started(struct vlease *v, struct run_ref task)
{
    struct vjob *job = vcall_job(v, task.job);

    job->started = true;
    if (job->answered && job->outcome == JOB_REFUSED_OUTCOME) {
        vlease_fault(v, &v->faults.false_refusals, name_of("late start"),
                     task);
    }
}

/* Arrivals: exponential times between them, per queue. */

static void
plan_arrival(struct vlease *v, uint32_t queue)
{
    double per_s =
        v->opts.queues[queue].per_s * v->load * (1.0 + v->queue_load[queue]);
    struct vevent *e;

    if (per_s <= 0) {
        return;
    }
    e = vlease_at(v, v->now_us + (int64_t)(-log(1.0 - drawn(v)) / per_s * 1e6),
                  VEV_ARRIVE);
    e->to = queue;
}

void
vlease_shift(struct vlease *v, uint32_t from, uint32_t to, double share)
{
    v->shift_from = from;
    v->shift_to = to;
    v->shift_share = share;
}

void
vlease_queue_load(struct vlease *v, uint32_t queue, double factor)
{
    v->queue_load[queue] = factor - 1.0;
}

static uint32_t
broker_called(struct vlease *v)
{
    uint32_t broker = (uint32_t)vlease_random(v, v->n_brokers);
    uint32_t each = v->opts.brokers;

    if (v->shift_share <= 0 || broker / each != v->shift_from ||
        drawn(v) >= v->shift_share) {
        return broker;
    }
    return v->shift_to * each + broker % each;
}

static void
plan_leaving(struct vlease *v, uint64_t number)
{
    const struct vjob *job = vcall_job(v, number);
    int64_t patience_us = job->objective_us / 2;

    if (v->opts.leave <= 0 || drawn(v) >= v->opts.leave) {
        return;
    }
    vlease_at(v, v->now_us + (int64_t)(drawn(v) * (double)patience_us),
              VEV_LEAVE)
        ->number = number;
}

void
vcall_on_leave(struct vlease *v, const struct vevent *e)
{
    if (!vcall_job(v, e->number)->answered) {
        vlease_leave(v, e->number);
    }
}

void
vcall_on_arrive(struct vlease *v, const struct vevent *e)
{
    if (v->load <= 0) {
        return;
    }
    plan_leaving(v, vlease_submit(v, broker_called(v), e->to));
    plan_arrival(v, e->to);
}

void
vlease_load(struct vlease *v, double load)
{
    bool idle = v->load <= 0;

    v->load = load;
    for (uint32_t i = 0; i < v->opts.n_queues && idle; i++) {
        plan_arrival(v, i);
    }
}

enum job_outcome
vlease_outcome(const struct vlease *v, uint64_t job)
{
    return v->jobs[job - 1].outcome;
}

bool
vlease_unclear(const struct vlease *v, uint64_t job)
{
    const struct vjob *j = &v->jobs[job - 1];

    return j->request == 0 && !j->answered && !j->left;
}

static void
count(struct vlease_figures *f, const struct vjob *job)
{
    int64_t took_us = job->answered_us - job->asked_us;

    f->asked++;
    if (!job->answered) {
        f->open += job->left ? 0 : 1;
        return;
    }
    switch (job->outcome) {
    case JOB_COMPLETED_OUTCOME:
        f->completed++;
        f->in_time += took_us <= job->objective_us ? 1 : 0;
        break;
    case JOB_FAILED_OUTCOME:
        f->failed++;
        break;
    case JOB_REFUSED_OUTCOME:
        f->refused++;
        f->retry_us =
            job->retry_us > f->retry_us ? job->retry_us : f->retry_us;
        f->refused_late += took_us > job->objective_us / JOB_LATE_SHARE;
        break;
    default:
        f->unknown++;
        break;
    }
}

struct vlease_figures
vlease_figures(const struct vlease *v, uint32_t queue)
{
    struct vlease_figures f = {0};

    for (size_t i = 0; i < v->n_jobs; i++) {
        if (v->jobs[i].queue == queue) {
            count(&f, &v->jobs[i]);
        }
    }
    return f;
}
