#include "zone_share.h"

#include <math.h>
#include <string.h>

/* As in broker_share.c: demand is averaged over several run times of the
 * longest tasks, and credit lasts for about the time between two of the
 * longest jobs. */
#define DEMAND_WINDOW_US (2 * USEC_PER_SEC)
#define CREDIT_WINDOW_US (500 * USEC_PER_MSEC)

/* A zone that demands so many times its share presses.  With less, noise of
 * the demand would bring shares into force in any overload. */
static const double PRESSING_DEMAND = 1.2;
/* The part of a queue that gets its whole demand differs from the sum of its
 * zones by rounding errors. */
static const double ROUNDING = 0.001;

static struct zone_share *
find_zone(struct zone_shares *s, struct name zone)
{
    for (size_t i = 0; i < s->n; i++) {
        if (name_equal(s->zones[i].zone, zone)) {
            return &s->zones[i];
        }
    }
    return NULL;
}

static double
total_demand(const struct zone_shares *s)
{
    double sum = 0;

    for (size_t i = 0; i < s->n; i++) {
        sum += s->zones[i].demand;
    }
    return sum;
}

/* Whether a zone demands clearly more than its share, and another one less. */
static bool
any_presses(const struct zone_shares *s, double part)
{
    double level = zone_share_level(s, part);
    double most = 0;
    double least = INFINITY;

    for (size_t i = 0; i < s->n; i++) {
        most = fmax(most, s->zones[i].demand);
        least = fmin(least, s->zones[i].demand);
    }
    return most >= PRESSING_DEMAND * level && least <= level;
}

/* Demand of the zones that demand at most @level, and the number of the
 * others. */
static double
demand_up_to(const struct zone_shares *s, double level, size_t *n_above)
{
    double sum = 0;

    *n_above = 0;
    for (size_t i = 0; i < s->n; i++) {
        if (s->zones[i].demand <= level) {
            sum += s->zones[i].demand;
        }
        else {
            ++*n_above;
        }
    }
    return sum;
}

double
zone_share_level(const struct zone_shares *s, double part)
{
    size_t n_above = s->n;
    double level = 0;

    if (total_demand(s) <= part * (1.0 + ROUNDING)) {
        return INFINITY;
    }
    /* Each round grants the demand of at least one more zone in full. */
    for (size_t i = 0; i <= s->n && n_above > 0; i++) {
        double rest = part - demand_up_to(s, level, &n_above);

        if (n_above > 0) {
            level = fmax(level, rest / (double)n_above);
        }
    }
    return level;
}

static void
remove_expired(struct zone_shares *s, int64_t now_us)
{
    size_t kept = 0;

    for (size_t i = 0; i < s->n; i++) {
        if (s->never_expire ||
            now_us - s->zones[i].offered_us < ZONE_SHARE_MEMORY_US) {
            s->zones[kept++] = s->zones[i];
        }
    }
    s->n = kept;
}

static void
update(struct zone_shares *s, double part, int64_t now_us)
{
    double elapsed_us = (double)(now_us - s->updated_us);
    double decay = exp(-elapsed_us / (double)DEMAND_WINDOW_US);
    double level;

    remove_expired(s, now_us);
    level = zone_share_level(s, part);
    for (size_t i = 0; i < s->n; i++) {
        struct zone_share *z = &s->zones[i];
        double share = fmin(z->demand, level);

        z->credit = fmin(z->credit + share * elapsed_us,
                         share * (double)CREDIT_WINDOW_US);
        z->demand *= s->never_expire ? 1.0 : decay;
        z->used *= decay;
    }
    s->updated_us = now_us;
}

static struct zone_share *
ensure_zone(struct zone_shares *s, struct name zone)
{
    struct zone_share *z = find_zone(s, zone);

    if (z != NULL) {
        return z;
    }
    if (s->n == ZONE_SHARES_MAX) {
        z = &s->zones[0];
        for (size_t i = 1; i < s->n; i++) {
            z = s->zones[i].offered_us < z->offered_us ? &s->zones[i] : z;
        }
    }
    else {
        z = &s->zones[s->n++];
    }
    memset(z, 0, sizeof(*z));
    z->zone = zone;
    return z;
}

void
zone_share_offer(struct zone_shares *s, struct name zone, double work,
                 double part, int64_t now_us)
{
    struct zone_share *z;

    update(s, part, now_us);
    z = ensure_zone(s, zone);
    z->demand += work / (double)DEMAND_WINDOW_US;
    z->offered_us = now_us;
    if (any_presses(s, part)) {
        s->pressed_us = now_us;
    }
}

bool
zone_share_binds(const struct zone_shares *s, int64_t now_us)
{
    return s->pressed_us != 0 &&
           (s->never_expire || now_us - s->pressed_us < ZONE_SHARE_MEMORY_US);
}

enum zone_verdict
zone_share_judge(const struct zone_shares *s, struct name zone, double part)
{
    enum zone_verdict verdict = ZONE_UNBOUND;
    double level = zone_share_level(s, part);
    bool any_within = false;

    if (level == INFINITY) {
        return ZONE_UNBOUND;
    }
    for (size_t i = 0; i < s->n; i++) {
        const struct zone_share *z = &s->zones[i];
        bool within = z->demand <= level;

        any_within = any_within || within;
        if (name_equal(z->zone, zone)) {
            verdict = within          ? ZONE_WITHIN
                      : z->credit > 0 ? ZONE_CREDIT
                                      : ZONE_BEYOND;
        }
    }
    return any_within ? verdict : ZONE_UNBOUND;
}

void
zone_share_admit(struct zone_shares *s, struct name zone, double work)
{
    struct zone_share *z = find_zone(s, zone);

    if (z != NULL) {
        z->credit -= work;
        z->used += work / (double)DEMAND_WINDOW_US;
    }
}
