#include "vcredit.h"

#include <math.h>
#include <stdlib.h>
#include <string.h>

#include "vlease_state.h"

enum {
    LATE_OBJECTIVES = 3,
    SIZE_UNIT_MILLI = 100, /* grain of sizes in the packing */
    SIZES_MAX = 1024,
    PARTS_MAX = 5, /* parts of an upstream that sizes are held against */
    BINS_MAX = 64, /* of time; an answer by a time counts to the bin's end */
    MEASURES_MAX = 1 + 2 * PARTS_MAX,
};

static const double LATE_CREDIT = 0.2;

/**
 * struct owed - a job that counts
 * @done_us: run times of all its tasks together
 * @value: what it earns in time
 * @unbounded: it was under way when all power went, and may have been done
 */
struct owed {
    int64_t asked_us;
    int64_t objective_us;
    double size;
    double done_us;
    double value;
    bool unbounded;
};

/* Work that has to be done between two times, if it is to earn @value. */
struct item {
    double value;
    double load;  /* room times time, in the measure */
    size_t begin; /* first bin */
    size_t end;   /* bin behind the last */
};

/**
 * struct bound - a bound in the making
 * @above: in this measure a task takes 1 where it is larger, in milli-cores,
 *         else nothing; 0: it takes its size
 * @heaviest: what a task of each size takes, 0 where there is none
 * @caps: what each upstream holds at one time
 * @slack: room between two bins that is not given out yet
 */
struct bound {
    const struct vlease *v;
    int64_t from_us;
    int64_t until_us;
    struct owed *jobs;
    size_t n_jobs;
    int64_t objective_us; /* the longest of them */
    double above;
    double heaviest[SIZES_MAX];
    double caps[VLEASE_UPSTREAMS_MAX];
    int64_t bin_us;
    double slack[BINS_MAX][BINS_MAX + 1];
    struct item *items; /* one a job */
};

static double
measure(const struct bound *b, double size)
{
    if (b->above <= 0) {
        return size;
    }
    return size > b->above ? 1.0 : 0.0;
}

static bool
counts(const struct vjob *job, int64_t from_us, int64_t until_us)
{
    return !job->left && job->asked_us >= from_us && job->asked_us < until_us;
}

/* Run times of all its tasks together. */
static double
runs_us(const struct vlease *v, const struct vjob *job)
{
    uint64_t number = (uint64_t)(job - v->jobs) + 1;
    double sum = 0;

    for (uint32_t i = 0; i < job->tasks; i++) {
        sum += (double)vcall_run_us(v, number, i);
    }
    return sum;
}

static double
work_of(const struct vlease *v, const struct vjob *job)
{
    return runs_us(v, job) * (double)job->cpu_milli;
}

static double
earned(const struct vjob *job)
{
    int64_t took_us = job->answered_us - job->asked_us;

    if (!job->answered || job->outcome != JOB_COMPLETED_OUTCOME) {
        return 0;
    }
    if (took_us <= job->objective_us) {
        return 1.0;
    }
    return took_us <= LATE_OBJECTIVES * job->objective_us ? LATE_CREDIT : 0;
}

/* The room of an upstream in the measure: the heaviest set of tasks that fits
 * into it, each size as often as one likes. */
static double
packed(const struct bound *b, uint32_t cpu_milli)
{
    size_t room = cpu_milli / SIZE_UNIT_MILLI;
    double *best = calloc(room + 1, sizeof(*best));
    double most;

    if (best == NULL) {
        abort();
    }
    for (size_t at = 1; at <= room; at++) {
        best[at] = best[at - 1];
        for (size_t size = 1; size <= at && size < SIZES_MAX; size++) {
            double with = b->heaviest[size] + best[at - size];

            best[at] =
                b->heaviest[size] > 0 && with > best[at] ? with : best[at];
        }
    }
    most = best[room];
    free(best);
    return most;
}

/* How long an upstream could work between two times, by the share of its work
 * that it did. */
static double
working_us(const struct vlease *v, uint32_t upstream, int64_t begin_us,
           int64_t end_us)
{
    double share = 1.0;
    int64_t at_us = begin_us;
    double sum = 0;

    while (at_us < end_us) {
        int64_t next_us = end_us;
        double next_share = share;

        for (size_t i = 0; i < v->n_changes; i++) {
            const struct vroom_change *c = &v->changes[i];

            if (c->upstream != upstream) {
                continue;
            }
            if (c->at_us <= at_us && at_us == begin_us) {
                share = c->share;
                next_share = next_us == end_us ? share : next_share;
            }
            else if (c->at_us > at_us && c->at_us <= next_us) {
                next_us = c->at_us;
                next_share = c->share;
            }
        }
        sum += share * (double)(next_us - at_us);
        share = next_share;
        at_us = next_us;
    }
    return sum;
}

static void
note_sizes(struct bound *b)
{
    memset(b->heaviest, 0, sizeof(b->heaviest));
    for (size_t i = 0; i < b->v->n_jobs; i++) {
        double size = b->v->jobs[i].cpu_milli;
        double takes = measure(b, size);
        size_t at = (size_t)size / SIZE_UNIT_MILLI;

        at = at < SIZES_MAX ? at : SIZES_MAX - 1;
        at = at > 0 ? at : 1;
        b->heaviest[at] = takes > b->heaviest[at] ? takes : b->heaviest[at];
    }
}

static void
note_caps(struct bound *b)
{
    uint32_t last_milli = 0;
    double last = 0;

    for (uint32_t i = 0; i < b->v->n_upstreams; i++) {
        uint32_t milli = b->v->upstreams[i].cpu_milli;

        last = milli != last_milli ? packed(b, milli) : last;
        last_milli = milli;
        b->caps[i] = last;
    }
}

static void
set_slack(struct bound *b)
{
    double room[BINS_MAX];

    for (size_t i = 0; i < BINS_MAX; i++) {
        int64_t at_us = b->from_us + (int64_t)i * b->bin_us;

        room[i] = 0;
        for (uint32_t u = 0; u < b->v->n_upstreams; u++) {
            room[i] +=
                b->caps[u] * working_us(b->v, u, at_us, at_us + b->bin_us);
        }
    }
    for (size_t begin = 0; begin < BINS_MAX; begin++) {
        double sum = 0;

        for (size_t end = begin + 1; end <= BINS_MAX; end++) {
            sum += room[end - 1];
            b->slack[begin][end] = sum;
        }
    }
}

static int
densest_first(const void *x, const void *y)
{
    const struct item *a = x;
    const struct item *b = y;
    double more = b->value * a->load - a->value * b->load;

    return more > 0 ? 1 : more < 0 ? -1 : 0;
}

/* Gives an item what is left in every span of time that it lies in; returns
 * the part of its load that it got. */
static double
give(struct bound *b, const struct item *it)
{
    double got = it->load;

    if (it->load <= 0) {
        return 1.0;
    }
    for (size_t begin = 0; begin <= it->begin; begin++) {
        for (size_t end = it->end; end <= BINS_MAX; end++) {
            double left = b->slack[begin][end];

            got = left < got ? left : got;
        }
    }
    got = got > 0 ? got : 0;
    for (size_t begin = 0; begin <= it->begin; begin++) {
        for (size_t end = it->end; end <= BINS_MAX; end++) {
            b->slack[begin][end] -= got;
        }
    }
    return got / it->load;
}

static void
set_items(struct bound *b, int objectives)
{
    for (size_t i = 0; i < b->n_jobs; i++) {
        const struct owed *job = &b->jobs[i];
        struct item *it = &b->items[i];
        int64_t begin_us = job->asked_us - b->from_us;
        int64_t end_us = begin_us + job->objective_us * objectives;

        it->value = job->value;
        it->load = job->unbounded ? 0 : job->done_us * measure(b, job->size);
        it->begin = (size_t)(begin_us / b->bin_us);
        it->end = (size_t)(end_us / b->bin_us) + 1;
        it->end = it->end < BINS_MAX ? it->end : BINS_MAX;
    }
}

/* The most that can be done of all work, each within @objectives times its
 * objective: the densest first, each as much as fits. */
static double
done_within(struct bound *b, int objectives)
{
    int64_t span_us = b->until_us - b->from_us + b->objective_us * objectives;
    double value = 0;

    b->bin_us = span_us / (BINS_MAX - 1) + 1;
    set_slack(b);
    set_items(b, objectives);
    qsort(b->items, b->n_jobs, sizeof(*b->items), densest_first);
    for (size_t i = 0; i < b->n_jobs; i++) {
        value += b->items[i].value * give(b, &b->items[i]);
    }
    return value;
}

/* Sizes above which a task takes a part of an upstream that no more than so
 * many others fit beside. */
static size_t
thresholds(const struct vlease *v, double above[MEASURES_MAX])
{
    size_t n = 0;

    above[n++] = 0;
    for (int parts = 2; parts <= PARTS_MAX; parts++) {
        above[n++] = (double)v->opts.cpu_milli / parts;
        if (v->opts.cpu_large_milli > 0) {
            above[n++] = (double)v->opts.cpu_large_milli / parts;
        }
    }
    return n;
}

static void
collect(struct bound *b, bool by_work)
{
    const struct vlease *v = b->v;

    for (size_t i = 0; i < v->n_jobs; i++) {
        const struct vjob *job = &v->jobs[i];
        struct owed *o = &b->jobs[b->n_jobs];

        if (!counts(job, b->from_us, b->until_us)) {
            continue;
        }
        b->n_jobs++;
        o->asked_us = job->asked_us;
        o->objective_us = job->objective_us;
        o->size = job->cpu_milli;
        o->done_us = runs_us(v, job);
        o->value = by_work ? work_of(v, job) : 1.0;
        o->unbounded = v->dark_us > 0 && job->asked_us < v->dark_us;
        if (o->objective_us > b->objective_us) {
            b->objective_us = o->objective_us;
        }
    }
}

static double
bound_of(const struct vlease *v, int64_t from_us, int64_t until_us,
         bool by_work, double owed)
{
    struct bound *b = calloc(1, sizeof(*b));
    double above[MEASURES_MAX];
    size_t n = thresholds(v, above);
    double best = owed;

    if (b == NULL) {
        abort();
    }
    b->v = v;
    b->from_us = from_us;
    b->until_us = until_us;
    b->jobs = calloc(v->n_jobs + 1, sizeof(*b->jobs));
    b->items = calloc(v->n_jobs + 1, sizeof(*b->items));
    if (b->jobs == NULL || b->items == NULL) {
        abort();
    }
    collect(b, by_work);
    for (size_t i = 0; i < n; i++) {
        double bound;

        b->above = above[i];
        note_sizes(b);
        note_caps(b);
        bound = (1.0 - LATE_CREDIT) * done_within(b, 1) +
                LATE_CREDIT * done_within(b, LATE_OBJECTIVES);
        best = bound < best ? bound : best;
    }
    free(b->items);
    free(b->jobs);
    free(b);
    return best;
}

static void
add(struct vcredit_sum *s, double value, double credit)
{
    s->owed += value;
    s->earned += value * credit;
}

static void
add_sum(struct vcredit_sum *to, const struct vcredit_sum *more)
{
    to->owed += more->owed;
    to->earned += more->earned;
    to->bound += more->bound;
}

void
vcredit_add(const struct vlease *v, int64_t from_us, int64_t until_us,
            bool bounded, struct vcredit *out)
{
    struct vcredit own = {0};

    for (size_t i = 0; i < v->n_jobs; i++) {
        const struct vjob *job = &v->jobs[i];

        if (counts(job, from_us, until_us)) {
            double credit = earned(job);

            add(&own.callers, 1.0, credit);
            add(&own.work, work_of(v, job), credit);
            add(&out->queues[job->queue], 1.0, credit);
            add(&out->zones[job->broker / v->opts.brokers], 1.0, credit);
        }
    }
    if (bounded) {
        own.callers.bound =
            bound_of(v, from_us, until_us, false, own.callers.owed);
        own.work.bound = bound_of(v, from_us, until_us, true, own.work.owed);
    }
    add_sum(&out->callers, &own.callers);
    add_sum(&out->work, &own.work);
}
