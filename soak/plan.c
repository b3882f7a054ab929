#include "plan.h"

#include <stdlib.h>

#include "array.h"

/* Between faults of a series, and between series. */
#define GAP_MIN_US (50 * USEC_PER_MSEC)
#define GAP_MAX_US (1500 * USEC_PER_MSEC)
#define CALM_MIN_US (10 * USEC_PER_SEC)
#define CALM_MAX_US (13 * USEC_PER_SEC)
#define LAST_MIN_US (300 * USEC_PER_MSEC)
#define LAST_MAX_US (5 * USEC_PER_SEC)
/* Pairs: how far apart, and how long paths are bad and takers away. */
#define PAIR_GAP_MIN_US (1 * USEC_PER_SEC)
#define PAIR_GAP_MAX_US (2500 * USEC_PER_MSEC)
#define PATHS_MIN_US (800 * USEC_PER_MSEC)
#define PATHS_MAX_US (2500 * USEC_PER_MSEC)
#define TAKER_MIN_US (500 * USEC_PER_MSEC)
#define TAKER_MAX_US (1300 * USEC_PER_MSEC)
/* Only one disk may be lost at a time: the member has to learn first. */
#define WIPE_GAP_US (15 * USEC_PER_SEC)
enum { SERIES_MIN = 3, SERIES_MAX = 12, CALM_PUBLICATIONS = 3, WAYS = 3 };
/* Makes the pairs' draws others than the series', and likewise. */
#define PAIR_SEED UINT64_C(0x7061697273)
#define EVACUATE_SEED UINT64_C(0x6576616375)
/* Evacuations: how long, and between them. */
#define EVACUATE_MIN_US (8 * USEC_PER_SEC)
#define EVACUATE_MAX_US (14 * USEC_PER_SEC)
#define EVACUATE_GAP_MIN_US (500 * USEC_PER_MSEC)
#define EVACUATE_GAP_MAX_US (4 * USEC_PER_SEC)

/* Cuts of both are drawn most: a runner that learns of its taker's loss by
 * silence and then can't stop what runs is the case with the longest life. */
static const enum soak_fault_kind of_paths[] = {
    SOAK_CUT_PATHS,  SOAK_CUT_PATHS,   SOAK_CUT_PATHS,
    SOAK_SLOW_PATHS, SOAK_LOSSY_PATHS, SOAK_STALL_PATHS};
static const enum soak_fault_kind of_takers[] = {
    SOAK_CUT_TAKER,  SOAK_CUT_TAKER,   SOAK_CUT_TAKER,
    SOAK_KILL_TAKER, SOAK_PAUSE_TAKER, SOAK_DROP_CALLERS};

static const struct {
    const char *text;
    unsigned int weight;
} kinds[] = {
#define SOAK_FAULT(NAME, text, weight) {text, weight},
    SOAK_FAULT_LIST(SOAK_FAULT)
#undef SOAK_FAULT
};

const char *
soak_fault_text(enum soak_fault_kind kind)
{
    return kinds[kind].text;
}

bool
soak_fault_disturbs(enum soak_fault_kind kind)
{
    return kind != SOAK_PUBLISH && kind != SOAK_PUBLISH_LARGE &&
           kind != SOAK_STOP_BROKER && kind != SOAK_STOP_IN_TURN &&
           kind != SOAK_LEAVE && kind != SOAK_SETTINGS &&
           kind != SOAK_EVACUATE;
}

static int64_t
between(uint64_t *random, int64_t least, int64_t most)
{
    return least + (int64_t)(random_next(random) % (uint64_t)(most - least));
}

static enum soak_fault_kind
draw_kind(uint64_t *random)
{
    unsigned int sum = 0;
    uint64_t draw;

    for (int i = 0; i < SOAK_FAULTS; i++) {
        sum += kinds[i].weight;
    }
    draw = random_next(random) % sum;
    for (int i = 0; i < SOAK_FAULTS; i++) {
        if (draw < kinds[i].weight) {
            return (enum soak_fault_kind)i;
        }
        draw -= kinds[i].weight;
    }
    return SOAK_PUBLISH;
}

struct drawing {
    struct soak_plan *plan;
    size_t room;
    uint64_t random;
    int64_t at_us;
    int64_t wiped_us;
};

static void
add(struct drawing *d, enum soak_fault_kind kind)
{
    struct soak_plan *p = d->plan;
    struct soak_fault *f;

    if (kind == SOAK_WIPE_MEMBER) {
        if (d->at_us - d->wiped_us < WIPE_GAP_US) {
            kind = SOAK_KILL_MEMBER;
        }
        else {
            d->wiped_us = d->at_us;
        }
    }
    p->faults = array_grow(p->faults, p->n, &d->room, sizeof(*p->faults));
    f = &p->faults[p->n++];
    f->at_us = d->at_us;
    f->kind = kind;
    f->for_us = between(&d->random, LAST_MIN_US, LAST_MAX_US);
    f->draw = random_next(&d->random);
    f->way = (unsigned int)(random_next(&d->random) % WAYS);
}

static void
draw_series(struct drawing *d, int64_t end_us)
{
    int64_t n = between(&d->random, SERIES_MIN, SERIES_MAX);

    for (int64_t i = 0; i < n && d->at_us < end_us; i++) {
        add(d, draw_kind(&d->random));
        d->at_us += between(&d->random, GAP_MIN_US, GAP_MAX_US);
    }
}

/* In calm, bounds hold: publications, and at last a worker that leaves, show
 * whether they do. */
static void
draw_calm(struct drawing *d, int64_t end_us)
{
    int64_t until_us =
        d->at_us + LAST_MAX_US + between(&d->random, CALM_MIN_US, CALM_MAX_US);
    int64_t step_us = (until_us - d->at_us) / (CALM_PUBLICATIONS + 1);

    for (int i = 0; i < CALM_PUBLICATIONS; i++) {
        d->at_us += step_us;
        if (d->at_us < end_us) {
            add(d, SOAK_PUBLISH);
        }
    }
    if (d->at_us < end_us) {
        add(d, SOAK_LEAVE);
    }
    d->at_us = until_us;
}

static void
add_pair(struct drawing *d, const enum soak_fault_kind *kinds_of, size_t n,
         struct soak_fault f)
{
    struct soak_plan *p = d->plan;

    f.kind = kinds_of[random_next(&d->random) % n];
    p->faults = array_grow(p->faults, p->n, &d->room, sizeof(*p->faults));
    p->faults[p->n++] = f;
}

static void
draw_pairs(struct drawing *d, int64_t end_us)
{
    d->at_us = PAIR_US;
    while (d->at_us < end_us) {
        struct soak_fault f = {
            .at_us = d->at_us,
            .for_us = between(&d->random, PATHS_MIN_US, PATHS_MAX_US),
            .draw = random_next(&d->random),
            .way = (unsigned int)(random_next(&d->random) % WAYS)};

        add_pair(d, of_paths, sizeof(of_paths) / sizeof(of_paths[0]), f);
        f.at_us += between(&d->random, -PAIR_US, PAIR_US / 2);
        f.for_us = between(&d->random, TAKER_MIN_US, TAKER_MAX_US);
        add_pair(d, of_takers, sizeof(of_takers) / sizeof(of_takers[0]), f);
        d->at_us += between(&d->random, PAIR_GAP_MIN_US, PAIR_GAP_MAX_US);
    }
}

static int
compare_times(const void *a, const void *b)
{
    int64_t x = ((const struct soak_fault *)a)->at_us;
    int64_t y = ((const struct soak_fault *)b)->at_us;

    return x < y ? -1 : x > y;
}

static void
sort_by_time(struct soak_plan *p)
{
    if (p->n > 0) {
        qsort(p->faults, p->n, sizeof(*p->faults), compare_times);
    }
}

struct soak_plan
soak_plan_draw(uint64_t seed, int64_t length_us, bool pairs)
{
    struct soak_plan plan = {0};
    struct drawing d = {
        .plan = &plan, .random = seed, .wiped_us = -WIPE_GAP_US};

    while (d.at_us < length_us) {
        draw_series(&d, length_us);
        draw_calm(&d, length_us);
    }
    if (pairs) {
        d.random = seed ^ PAIR_SEED;
        draw_pairs(&d, length_us);
        sort_by_time(&plan);
    }
    return plan;
}

void
soak_plan_add_evacuations(struct soak_plan *p, uint64_t seed,
                          int64_t length_us)
{
    struct drawing d = {
        .plan = p, .random = seed ^ EVACUATE_SEED, .room = p->n};

    d.at_us = between(&d.random, EVACUATE_GAP_MIN_US, EVACUATE_GAP_MAX_US);
    while (d.at_us < length_us) {
        struct soak_fault f = {
            .at_us = d.at_us,
            .kind = SOAK_EVACUATE,
            .for_us = between(&d.random, EVACUATE_MIN_US, EVACUATE_MAX_US),
            .draw = random_next(&d.random)};

        p->faults = array_grow(p->faults, p->n, &d.room, sizeof(*p->faults));
        p->faults[p->n++] = f;
        d.at_us += f.for_us + between(&d.random, EVACUATE_GAP_MIN_US,
                                      EVACUATE_GAP_MAX_US);
    }
    sort_by_time(p);
}

void
soak_plan_free(struct soak_plan *p)
{
    free(p->faults);
    p->faults = NULL;
    p->n = 0;
}
