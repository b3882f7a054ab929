/*
 * Where a task goes: the upstream where it should end first, and among equals
 * the one that is left with least unused room, so that large tasks find room
 * elsewhere.
 */
#include "broker_state.h"

/* A task away from its data takes about that much longer. */
static const double REMOTE_FACTOR = 1.5;
/* An upstream this much slower than usual gets work only to see whether it has
 * recovered. */
static const double TOO_SLOW = 2.5;
/* Run times closer than this share are taken as equal. */
static const double EQUAL_SHARE = 0.1;

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
need_of(const struct rec_task_group *g)
{
    return (struct resources){.cpu_milli = (uint32_t)g->cpu_milli,
                              .memory_mb = (uint32_t)g->memory_mb,
                              .accelerators = (uint32_t)g->accelerators};
}

static struct resources
room_of(const struct broker_upstream *u)
{
    return (struct resources){
        .cpu_milli = u->capacity.cpu_milli - u->used.cpu_milli,
        .memory_mb = u->capacity.memory_mb - u->used.memory_mb,
        .accelerators = u->capacity.accelerators - u->used.accelerators};
}

static bool
suits(const struct rec_task_group *g, const struct broker_upstream *u)
{
    return name_empty(g->requirement) || has_label(u, g->requirement);
}

double
place_remote_factor(const struct rec_task_group *g,
                    const struct broker_upstream *u)
{
    bool near = name_empty(g->affinity) || has_label(u, g->affinity);

    return near ? 1.0 : REMOTE_FACTOR;
}

static int64_t
expected_there_us(int64_t usual_us, const struct rec_task_group *g,
                  const struct broker_upstream *u)
{
    return (int64_t)((double)usual_us * u->slowness *
                     place_remote_factor(g, u));
}

int64_t
place_expected_us(const struct run_job *job, const struct rec_task_group *g,
                  const struct broker_upstream *u)
{
    return expected_there_us(order_expected_us(job, g), g, u);
}

/* Tasks of the same group of the job that are there already. */
static uint32_t
same_group(const struct run_job *job, const struct run_task *t,
           const struct broker_upstream *u)
{
    uint32_t n = 0;

    for (uint32_t i = 0; i < job->n_tasks; i++) {
        const struct run_task *other = &job->tasks[i];

        n += other->group == t->group && other->state >= RUN_STARTING &&
             other->state <= RUN_STOPPING &&
             handle_equal(other->upstream, u->self);
    }
    return n;
}

static bool
takes(struct broker *b, const struct run_job *job, const struct run_task *t,
      const struct broker_upstream *u)
{
    const struct rec_task_group *g = &job->groups[t->group];

    bool leaving = u->leaving && !b->opts.breaks[BROKER_BREAK_START_LEAVING];

    /* A stranger that is being stopped takes room that nobody counts here. */
    return u->state == HOLD_OPEN && !leaving && !u->gone && !u->unknown_runs &&
           u->full_until_us <= b->now.mono_us && u->n_tasks < u->slots &&
           resources_fit(need_of(g), room_of(u)) && suits(g, u) &&
           broker_health_allows(b, u) &&
           (g->spread == 0 || same_group(job, t, u) < g->spread) &&
           renew_allows_start(b, job, u);
}

static bool
better(int64_t us, uint32_t left, int64_t best_us, uint32_t best_left)
{
    if ((double)us < (double)best_us * (1.0 - EQUAL_SHARE)) {
        return true;
    }
    return (double)us <= (double)best_us * (1.0 + EQUAL_SHARE) &&
           left < best_left;
}

/* Where a start of the task that was not answered may still be carried out.
 * The upstream refuses it while it lives, as the run was stopped; a new life
 * does so once it is taken under a higher fence.  Elsewhere the task could run
 * beside it meanwhile.  One that is silent or fails is not waited for. */
static struct broker_upstream *
lost_at(struct broker *b, const struct run_task *t)
{
    struct broker_upstream *u =
        table_get(&b->upstreams, t->lost_start_upstream);
    bool held;

    if (u == NULL || b->now.mono_us >= t->lost_start_until_us) {
        return NULL;
    }
    held = (u->state == HOLD_OPEN && u->fence == t->lost_start_fence) ||
           (u->state == HOLD_TAKING && u->missed_polls == 0);
    return held && !u->leaving && !u->gone && broker_health_allows(b, u) &&
                   !name_equal(t->avoid_upstream, u->name)
               ? u
               : NULL;
}

bool
place_awaits_lost_start(struct broker *b, const struct run_task *t)
{
    return lost_at(b, t) != NULL;
}

struct broker_upstream *
place_choose(struct broker *b, const struct run_job *job,
             const struct run_task *t)
{
    const struct rec_task_group *g = &job->groups[t->group];
    struct broker_upstream *best = NULL;
    struct broker_upstream *u = lost_at(b, t);
    int64_t usual_us = order_expected_us(job, g);
    int64_t best_us = INT64_MAX;
    uint32_t best_left = UINT32_MAX;
    struct handle h;
    uint32_t at = 0;

    if (u != NULL) {
        return takes(b, job, t, u) ? u : NULL;
    }
    while ((u = table_next(&b->upstreams, &at, &h)) != NULL) {
        int64_t us;
        uint32_t left;

        if (u->service != job->service ||
            (u->slowness > TOO_SLOW && u->n_tasks > 0) ||
            !takes(b, job, t, u) || name_equal(t->avoid_upstream, u->name)) {
            continue;
        }
        us = expected_there_us(usual_us, g, u);
        left = b->opts.disabled[BROKER_FEATURE_BEST_FIT]
                   ? 0
                   : room_of(u).cpu_milli - (uint32_t)g->cpu_milli;
        if (best == NULL || better(us, left, best_us, best_left)) {
            best = u;
            best_us = us;
            best_left = left;
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
        if (u->service == s && u->state != HOLD_NONE && suits(g, u) &&
            resources_fit(need_of(g), u->capacity)) {
            return true;
        }
    }
    return false;
}
