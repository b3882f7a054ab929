/*
 * Placement: a task goes to the upstream where it is expected to end first;
 * among equals to the one with the least capacity left (best fit), so that
 * other upstreams keep free capacity for large tasks.
 */
#include "broker_speed.h"
#include "broker_state.h"

/* An upstream slower than this gets one task at a time, to notice when it has
 * recovered. */
static const double USABLE_SLOWNESS_MAX = 2.5;
/* Expected run times that differ by less than this part count as equal. */
static const double RUN_TIME_TOLERANCE = 0.1;

/* No upstream restarts within this time after the answer to a poll. */
#define CONFIRMATION_MAX_US (20 * USEC_PER_MSEC)

static bool
has_label(const struct broker_upstream *u, struct name label)
{
    for (size_t i = 0; i < u->n_labels; i++) {
        if (name_equal(u->labels[i], label)) {
            return true;
        }
    }
    return false;
}

static struct resources
required_resources(const struct rec_task_group *g)
{
    return (struct resources){.cpu_milli = (uint32_t)g->cpu_milli,
                              .memory_mb = (uint32_t)g->memory_mb,
                              .accelerators = (uint32_t)g->accelerators};
}

static struct resources
free_resources(const struct broker_upstream *u)
{
    return (struct resources){
        .cpu_milli = u->capacity.cpu_milli - u->used.cpu_milli,
        .memory_mb = u->capacity.memory_mb - u->used.memory_mb,
        .accelerators = u->capacity.accelerators - u->used.accelerators};
}

static bool
meets_requirement(const struct rec_task_group *g,
                  const struct broker_upstream *u)
{
    return name_empty(g->requirement) || has_label(u, g->requirement);
}

double
place_remote_factor(const struct broker *b, const struct rec_task_group *g,
                    const struct broker_upstream *u)
{
    bool near = name_empty(g->affinity) || has_label(u, g->affinity);

    return near ? 1.0 : b->opts.remote_factor;
}

static int64_t
scaled_run_us(const struct broker *b, int64_t usual_us,
              const struct rec_task_group *g, const struct broker_upstream *u)
{
    return (int64_t)((double)usual_us * u->slowness *
                     place_remote_factor(b, g, u) / speed_of(b, u));
}

int64_t
place_expected_us(const struct broker *b, const struct run_job *job,
                  const struct rec_task_group *g,
                  const struct broker_upstream *u)
{
    return scaled_run_us(b, order_expected_us(job, g), g, u);
}

/* Number of tasks of the same group of the job placed on the upstream. */
static uint32_t
count_group_tasks(const struct run_job *job, const struct run_task *t,
                  const struct broker_upstream *u)
{
    uint32_t n = 0;

    for (uint32_t i = 0; i < job->n_tasks; i++) {
        const struct run_task *other = &job->tasks[i];

        n += other->group == t->group && other->state >= RUN_RESERVED &&
             other->state <= RUN_STOPPING &&
             handle_equal(other->upstream, u->self);
    }
    return n;
}

/* A restarted upstream may be of another kind, and executes starts before it
 * has announced itself.  Only polls show the incarnation, so a start that
 * requires a label is sent only right after one. */
static bool
is_confirmed(struct broker *b, const struct rec_task_group *g,
             struct broker_upstream *u)
{
    if (name_empty(g->requirement) ||
        b->now.mono_us - u->confirmed_us <= CONFIRMATION_MAX_US) {
        return true;
    }
    lease_confirm(b, u);
    return false;
}

bool
place_can_start(struct broker *b, const struct run_job *job,
                const struct run_task *t, struct broker_upstream *u)
{
    bool leaving = u->leaving && !b->opts.breaks[BROKER_BREAK_START_LEAVING];

    /* Unknown runs use resources that are not counted in @used. */
    return u->state == HOLD_OPEN && !leaving && !u->gone && !u->unknown_runs &&
           u->full_until_us <= b->now.mono_us &&
           evacuate_allows_start(b, job, u) && renew_allows_start(b, job, u) &&
           is_confirmed(b, &job->groups[t->group], u);
}

static bool
can_accept(struct broker *b, const struct run_job *job,
           const struct run_task *t, struct broker_upstream *u)
{
    const struct rec_task_group *g = &job->groups[t->group];

    return u->n_tasks < u->slots &&
           resources_fit(required_resources(g), free_resources(u)) &&
           meets_requirement(g, u) && broker_health_allows(b, u) &&
           (g->spread == 0 || count_group_tasks(job, t, u) < g->spread) &&
           place_can_start(b, job, t, u);
}

/* Whether an upstream with expected run time @us and @left_milli milli-cores
 * left after the start is better than the best one so far. */
static bool
is_better_upstream(int64_t us, uint32_t left_milli, int64_t best_us,
                   uint32_t best_left_milli)
{
    if ((double)us < (double)best_us * (1.0 - RUN_TIME_TOLERANCE)) {
        return true;
    }
    return (double)us <= (double)best_us * (1.0 + RUN_TIME_TOLERANCE) &&
           left_milli < best_left_milli;
}

/* A start without an answer may be executed seconds later.  The incarnation
 * that confirmed a stop of the run refuses it, and so does one that has seen a
 * higher fence; but a later incarnation knows of neither, and announces itself
 * only after it may have executed the start.  No call rules that out, so the
 * task stays at this upstream, where both runs can't overlap: the holder stops
 * unknown runs of a new incarnation before it starts any there. */
struct broker_upstream *
place_bound_upstream(struct broker *b, const struct run_task *t)
{
    return table_get(&b->upstreams, t->bound_upstream);
}

bool
place_can_still_run(struct broker *b, const struct run_job *job,
                    const struct run_task *t)
{
    const struct broker_upstream *u = place_bound_upstream(b, t);
    int64_t run_us;

    if (u == NULL || t->state != RUN_READY) {
        return true;
    }
    run_us = place_expected_us(b, job, &job->groups[t->group], u);
    return !u->gone && b->now.mono_us + run_us < job->deadline_us;
}

struct broker_upstream *
place_choose(struct broker *b, const struct run_job *job,
             const struct run_task *t)
{
    const struct rec_task_group *g = &job->groups[t->group];
    struct broker_upstream *best = NULL;
    struct broker_upstream *u = place_bound_upstream(b, t);
    int64_t usual_us = order_expected_us(job, g);
    int64_t best_us = INT64_MAX;
    uint32_t best_left_milli = UINT32_MAX;
    struct handle h;
    uint32_t at = 0;

    if (u != NULL) {
        return can_accept(b, job, t, u) ? u : NULL;
    }
    while ((u = table_next(&b->upstreams, &at, &h)) != NULL) {
        int64_t us;
        uint32_t left_milli;

        if (u->service != job->service ||
            (u->slowness > USABLE_SLOWNESS_MAX && u->n_tasks > 0) ||
            !can_accept(b, job, t, u) ||
            name_equal(t->avoid_upstream, u->name)) {
            continue;
        }
        us = scaled_run_us(b, usual_us, g, u);
        left_milli =
            b->opts.disabled[BROKER_FEATURE_BEST_FIT]
                ? 0
                : free_resources(u).cpu_milli - (uint32_t)g->cpu_milli;
        if (best == NULL ||
            is_better_upstream(us, left_milli, best_us, best_left_milli)) {
            best = u;
            best_us = us;
            best_left_milli = left_milli;
        }
    }
    return best;
}

bool
place_fits_any(struct broker *b, const struct broker_service *s,
               const struct rec_task_group *g)
{
    const struct broker_upstream *u;
    struct handle h;
    uint32_t at = 0;

    while ((u = table_next(&b->upstreams, &at, &h)) != NULL) {
        if (u->service == s && u->state != HOLD_NONE &&
            meets_requirement(g, u) &&
            resources_fit(required_resources(g), u->capacity)) {
            return true;
        }
    }
    return false;
}

bool
place_is_usable(struct broker *b, const struct broker_service *s,
                const struct broker_upstream *u)
{
    return u->service == s && u->state == HOLD_OPEN && !u->leaving &&
           !evacuate_covers(b, u->zone) &&
           u->quarantine_until_us <= b->now.mono_us;
}

/* How long the task placed at the upstream is expected to run on. */
static int64_t
expected_rest_us(struct broker *b, const struct run_task *t)
{
    int64_t rest_us = t->start_sent_us + t->expected_us - b->now.mono_us;

    return rest_us > 0 ? rest_us : 0;
}

/* Milli-cores that are unused once all tasks have ended that are expected to
 * end within @us. */
static uint32_t
unused_after(struct broker *b, const struct broker_upstream *u, int64_t us)
{
    uint32_t unused = free_resources(u).cpu_milli;

    for (size_t i = 0; i < u->n_tasks; i++) {
        struct run_job *job;
        const struct run_task *t = run_find_task(b, &u->tasks[i], &job);

        if (expected_rest_us(b, t) <= us) {
            unused += (uint32_t)job->groups[t->group].cpu_milli;
        }
    }
    return unused;
}

static int64_t
upstream_fits_after_us(struct broker *b, const struct broker_upstream *u,
                       uint32_t cpu_milli)
{
    int64_t least_us = INT64_MAX;

    if (free_resources(u).cpu_milli >= cpu_milli) {
        return 0;
    }
    for (size_t i = 0; i < u->n_tasks; i++) {
        struct run_job *job;
        int64_t us = expected_rest_us(b, run_find_task(b, &u->tasks[i], &job));

        if (us < least_us && unused_after(b, u, us) >= cpu_milli) {
            least_us = us;
        }
    }
    return least_us;
}

int64_t
place_fits_after_us(struct broker *b, const struct run_job *job,
                    const struct rec_task_group *g)
{
    int64_t least_us = INT64_MAX;
    const struct broker_upstream *u;
    struct handle h;
    uint32_t at = 0;

    while (least_us > 0 && (u = table_next(&b->upstreams, &at, &h)) != NULL) {
        if (place_is_usable(b, job->service, u) && meets_requirement(g, u)) {
            int64_t us = upstream_fits_after_us(b, u, (uint32_t)g->cpu_milli);

            least_us = us < least_us ? us : least_us;
        }
    }
    return least_us;
}
