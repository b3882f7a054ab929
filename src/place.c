#include "place.h"

#include <stdlib.h>
#include <string.h>

#include "health.h"
#include "upstream.h"

enum {
    POOL_MIN_CAPACITY = 16,
    EXAMINED_MAX = 8,    /* places of a level examined for an unused rack */
    LOAD_LEVELS = 8,     /* levels by share of used slots */
    REMOTE_LEVEL = 8,    /* base level of grants in other zones */
    RANDOM_TRIES = 8,    /* before all places are searched */
    BLOCK_DOUBLINGS = 7, /* of BLOCK_US, by consecutive refusals */
};

#define BLOCK_US (10 * USEC_PER_MSEC)

bool
place_is_own(const struct place *p)
{
    return p->grant_id == 0;
}

static uint32_t
upstream_free_slots(const struct entry *e, const struct upstream *u)
{
    if (u->info.leaving) {
        return 0;
    }
    if (u->info.quarantined) {
        return health_may_probe(e, u) ? 1 : 0;
    }
    return upstreams_free_slots_on(u);
}

uint32_t
place_free_slots(const struct entry *e, const struct place *p)
{
    if (p->closed || p->blocked_until_us > e->now.mono_us ||
        !entry_may_start_in(e, p->zone)) {
        return 0;
    }
    if (place_is_own(p)) {
        return upstream_free_slots(e, p->upstream);
    }
    if (p->expires_us <= e->now.mono_us || p->slots_used >= p->slots) {
        return 0;
    }
    if (p->upstream != NULL && p->upstream->info.leaving) {
        return 0;
    }
    return p->slots - p->slots_used;
}

static uint64_t
count_fitting(uint64_t have, uint64_t used, uint64_t need)
{
    if (need == 0) {
        return UINT32_MAX;
    }
    return used < have ? (have - used) / need : 0;
}

static uint64_t
min_u64(uint64_t a, uint64_t b)
{
    return a < b ? a : b;
}

/** tasks_fitting() - how many tasks fit into the unused resources of @u */
static uint64_t
tasks_fitting(const struct upstream *u, struct resources need)
{
    uint64_t n =
        count_fitting(u->info.cpu_milli, u->used.cpu_milli, need.cpu_milli);

    n = min_u64(n, count_fitting(u->info.memory_mb, u->used.memory_mb,
                                 need.memory_mb));
    return min_u64(n, count_fitting(u->info.accelerators, u->used.accelerators,
                                    need.accelerators));
}

uint32_t
place_task_capacity(const struct entry *e, const struct place *p,
                    struct resources need)
{
    uint32_t n = place_free_slots(e, p);

    if (n == 0) {
        return 0;
    }
    if (place_is_own(p)) {
        return (uint32_t)min_u64(n, tasks_fitting(p->upstream, need));
    }
    return resources_fit(need, p->slot_size) ? n : 0;
}

/* Lists by level */

static uint8_t
compute_level(const struct entry *e, const struct place *p)
{
    const struct upstream *u = p->upstream;
    uint32_t level = 0;

    if (place_is_own(p)) {
        uint32_t usable = upstreams_usable_slots(u);

        if (u->info.quarantined) {
            return 0; /* a probe is due: prefer it for the next allowed task */
        }
        level = (usable - place_free_slots(e, p)) * LOAD_LEVELS / usable;
    }
    else if (!name_equal(p->zone, e->zone)) {
        level = REMOTE_LEVEL;
    }
    if (u != NULL) {
        level += health_penalty(u);
    }
    return (uint8_t)min_u64(level, PLACE_LEVELS - 1);
}

static void
list_remove(struct place *p)
{
    struct pool *pool = p->pool;

    if (!p->listed) {
        return;
    }
    if (p->next == p) {
        pool->level_lists[p->level] = NULL;
    }
    else {
        p->next->previous = p->previous;
        p->previous->next = p->next;
        if (pool->level_lists[p->level] == p) {
            pool->level_lists[p->level] = p->next;
        }
    }
    p->listed = false;
    pool->n_available--;
}

/** list_append() - appends a place to its level, so that places of the same
 * level are used in turn */
static void
list_append(struct place *p, uint8_t level)
{
    struct pool *pool = p->pool;
    struct place *first = pool->level_lists[level];

    p->level = level;
    p->listed = true;
    pool->n_available++;
    if (first == NULL) {
        p->next = p;
        p->previous = p;
        pool->level_lists[level] = p;
        return;
    }
    p->next = first;
    p->previous = first->previous;
    first->previous->next = p;
    first->previous = p;
}

void
place_update(struct entry *e, struct place *p)
{
    uint32_t n = place_free_slots(e, p);

    list_remove(p);
    if (n > 0) {
        list_append(p, compute_level(e, p));
    }
    if (place_is_own(p)) {
        p->pool->own_free_slots += n - p->counted_free;
        p->counted_free = n;
    }
}

int64_t
place_available_at_us(const struct entry *e, const struct place *p)
{
    int64_t probe_us;

    if (p->closed || p->listed) {
        return INT64_MAX;
    }
    if (p->blocked_until_us > e->now.mono_us) {
        return p->blocked_until_us;
    }
    if (!place_is_own(p)) {
        return INT64_MAX;
    }
    probe_us = health_next_us(p->upstream);
    return probe_us > e->now.mono_us ? probe_us : INT64_MAX;
}

void
place_block(struct entry *e, struct place *p)
{
    int64_t us = BLOCK_US << p->refusals;

    p->blocked_until_us = e->now.mono_us + entry_jitter(e, us);
    if (p->refusals < BLOCK_DOUBLINGS) {
        p->refusals++;
    }
    place_update(e, p);
}

void
pool_add(struct entry *e, struct pool *pool, struct place *p)
{
    if (pool->n_places == pool->capacity) {
        pool->capacity =
            pool->capacity == 0 ? POOL_MIN_CAPACITY : 2 * pool->capacity;
        pool->all_places =
            realloc(pool->all_places, pool->capacity * sizeof(struct place *));
        if (pool->all_places == NULL) {
            abort();
        }
    }
    p->pool = pool;
    p->pool_index = pool->n_places;
    pool->all_places[pool->n_places++] = p;
    place_update(e, p);
}

void
pool_remove(struct pool *pool, struct place *p)
{
    list_remove(p);
    pool->own_free_slots -= p->counted_free;
    p->counted_free = 0;
    pool->all_places[p->pool_index] = pool->all_places[--pool->n_places];
    pool->all_places[p->pool_index]->pool_index = p->pool_index;
    p->pool = NULL;
}

void
pool_clear(struct pool *pool)
{
    free(pool->all_places);
    memset(pool, 0, sizeof(*pool));
}

/* Choosing a place */

static bool
is_acceptable(const struct entry *e, const struct place *p,
              const struct place_criteria *pick)
{
    if (place_task_capacity(e, p, pick->need) == 0) {
        return false;
    }
    if (place_is_own(p) && p->upstream->info.quarantined) {
        return health_probe_allowed(e, p->upstream, pick->idempotent);
    }
    return true;
}

/** pick_level() - a place of one level: one of the first EXAMINED_MAX on a
 * rack that the job does not use yet, otherwise the first that fits */
static struct place *
pick_level(const struct entry *e, struct place *first,
           const struct place_criteria *pick)
{
    struct place *fits = NULL;
    struct place *p = first;
    int examined = 0;

    do {
        if (is_acceptable(e, p, pick)) {
            if ((p->rack_bit & pick->rack_bits) == 0) {
                return p;
            }
            fits = fits != NULL ? fits : p;
        }
        examined++;
        p = p->next;
    } while (p != first && (examined < EXAMINED_MAX || fits == NULL));
    return fits;
}

static struct place *
pick_least_loaded(struct entry *e, struct pool *pool,
                  const struct place_criteria *pick)
{
    for (int level = 0; level < PLACE_LEVELS; level++) {
        struct place *p;

        if (pool->level_lists[level] == NULL) {
            continue;
        }
        p = pick_level(e, pool->level_lists[level], pick);
        if (p != NULL) {
            return p;
        }
    }
    return NULL;
}

static struct place *
random_place(struct entry *e, struct pool *pool)
{
    return pool->all_places[entry_random(e) % pool->n_places];
}

/** pick_first_fit() - the first place that fits, from a random start */
static struct place *
pick_first_fit(struct entry *e, struct pool *pool,
               const struct place_criteria *pick)
{
    size_t from = entry_random(e) % pool->n_places;

    for (size_t i = 0; i < pool->n_places; i++) {
        struct place *p = pool->all_places[(from + i) % pool->n_places];

        if (is_acceptable(e, p, pick)) {
            return p;
        }
    }
    return NULL;
}

static struct place *
pick_two_choices(struct entry *e, struct pool *pool,
                 const struct place_criteria *pick)
{
    struct place *a = random_place(e, pool);
    struct place *b = random_place(e, pool);
    struct place *freer =
        place_free_slots(e, a) >= place_free_slots(e, b) ? a : b;

    if (is_acceptable(e, freer, pick)) {
        return freer;
    }
    return pick_first_fit(e, pool, pick);
}

static struct place *
pick_random(struct entry *e, struct pool *pool,
            const struct place_criteria *pick)
{
    for (int i = 0; i < RANDOM_TRIES; i++) {
        struct place *p = random_place(e, pool);

        if (is_acceptable(e, p, pick)) {
            return p;
        }
    }
    return pick_first_fit(e, pool, pick);
}

static struct place *(*const pickers[])(struct entry *e, struct pool *pool,
                                        const struct place_criteria *pick) = {
    [PLACE_HOLDER] = pick_least_loaded,
    [PLACE_DIRECT] = pick_two_choices,
    [PLACE_RANDOM] = pick_random,
};

struct place *
pool_pick(struct entry *e, struct pool *pool,
          const struct place_criteria *pick)
{
    if (pool->n_available == 0) {
        return NULL;
    }
    return pickers[e->opts.placement](e, pool, pick);
}
