#include "plan.h"

#include <stdlib.h>

#include "array.h"
#include "base.h"

/* Between faults of a series, and between series. */
#define GAP_MIN_US (50 * USEC_PER_MSEC)
#define GAP_MAX_US (1500 * USEC_PER_MSEC)
#define CALM_MIN_US (10 * USEC_PER_SEC)
#define CALM_MAX_US (13 * USEC_PER_SEC)
#define LAST_MIN_US (300 * USEC_PER_MSEC)
#define LAST_MAX_US (5 * USEC_PER_SEC)
/* Only one disk may be lost at a time: the member has to learn first. */
#define WIPE_GAP_US (15 * USEC_PER_SEC)
enum { SERIES_MIN = 3, SERIES_MAX = 12, CALM_PUBLICATIONS = 3, WAYS = 3 };

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
           kind != SOAK_LEAVE && kind != SOAK_SETTINGS;
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

struct soak_plan
soak_plan_draw(uint64_t seed, int64_t length_us)
{
    struct soak_plan plan = {0};
    struct drawing d = {
        .plan = &plan, .random = seed, .wiped_us = -WIPE_GAP_US};

    while (d.at_us < length_us) {
        draw_series(&d, length_us);
        draw_calm(&d, length_us);
    }
    return plan;
}

void
soak_plan_free(struct soak_plan *p)
{
    free(p->faults);
    p->faults = NULL;
    p->n = 0;
}
