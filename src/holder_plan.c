#include "holder_plan.h"

#include <math.h>
#include <stdlib.h>
#include <string.h>

enum {
    /* A holder may keep 1/8 more than its quota, which avoids moves for small
     * imbalances. */
    SLACK_DIVISOR = 8,
    /* An upstream in full use takes up to 10 starts per second of 3 KB each.
     */
    UPSTREAM_KBPS = 240,
    /* With a single holder, the zone would serve nothing from its loss until
     * another broker has taken its upstreams.  A zone that has one holder with
     * equal capacities keeps one: a queue for each half would leave more
     * upstreams idle. */
    HOLDERS_MIN = 2,
};

/* Capacity */

typedef uint32_t candidate_limit(const struct holder_candidate *c);

static uint32_t
cpu_of(const struct holder_candidate *c)
{
    return c->cpu_milli;
}

static uint32_t
link_of(const struct holder_candidate *c)
{
    return c->link_kbps;
}

static int
compare_limits(const void *x, const void *y)
{
    uint32_t a = *(const uint32_t *)x;
    uint32_t b = *(const uint32_t *)y;

    return a < b ? -1 : a > b;
}

/* Reduces the capacity of each candidate to its limit divided by the median,
 * if all have declared that limit. */
static void
reduce_capacities(struct holder_candidate *candidates, size_t n,
                  candidate_limit *limit_of)
{
    uint32_t *limits = calloc(n + 1, sizeof(*limits));
    size_t lower = n > 0 ? (n - 1) / 2 : 0;
    size_t upper = n / 2;
    double median;

    if (limits == NULL) {
        abort();
    }
    for (size_t i = 0; i < n; i++) {
        limits[i] = limit_of(&candidates[i]);
    }
    if (n > 1) {
        qsort(limits, n, sizeof(*limits), compare_limits);
    }
    if (n > 0 && limits[0] > 0) {
        median = ((double)limits[lower] + (double)limits[upper]) / 2.0;
        for (size_t i = 0; i < n; i++) {
            struct holder_candidate *c = &candidates[i];

            c->capacity = fmin(c->capacity, (double)limit_of(c) / median);
        }
    }
    free(limits);
}

/* Sets all capacities; 1 where none differ, or some are not known.  Returns
 * whether any differ. */
static bool
set_capacities(struct holder_candidate *candidates, size_t n)
{
    double least = INFINITY;
    double most = 0;

    for (size_t i = 0; i < n; i++) {
        candidates[i].capacity = INFINITY;
    }
    reduce_capacities(candidates, n, cpu_of);
    reduce_capacities(candidates, n, link_of);
    for (size_t i = 0; i < n; i++) {
        least = fmin(least, candidates[i].capacity);
        most = fmax(most, candidates[i].capacity);
    }
    if (least < most) {
        return true;
    }
    for (size_t i = 0; i < n; i++) {
        candidates[i].capacity = 1.0;
    }
    return false;
}

/* The largest first, the oldest first among equals. */
static int
compare_candidates(const void *x, const void *y)
{
    const struct holder_candidate *a = x;
    const struct holder_candidate *b = y;

    if (a->capacity < b->capacity || a->capacity > b->capacity) {
        return a->capacity > b->capacity ? -1 : 1;
    }
    if (a->incarnation != b->incarnation) {
        return a->incarnation < b->incarnation ? -1 : 1;
    }
    return strcmp(a->name.s, b->name.s);
}

/* Number of holders */

/* Number of upstreams that the broker's link supports. */
static size_t
link_max(const struct holder_candidate *c)
{
    size_t max = c->link_kbps / UPSTREAM_KBPS;

    if (c->link_kbps == 0) {
        return SIZE_MAX;
    }
    return max > 0 ? max : 1;
}

/* The links of the first @n_holders together, or SIZE_MAX. */
static size_t
total_link_max(const struct holder_candidate *candidates, size_t n_holders)
{
    size_t total = 0;

    for (size_t i = 0; i < n_holders; i++) {
        size_t max = link_max(&candidates[i]);

        if (max == SIZE_MAX) {
            return SIZE_MAX;
        }
        total += max;
    }
    return total;
}

static size_t
count_equal(const struct holder_plan_options *o)
{
    size_t wanted =
        (o->upstreams + o->upstreams_per_holder - 1) / o->upstreams_per_holder;

    return wanted > 0 ? wanted : 1;
}

static size_t
count_fewest(const struct holder_candidate *candidates, size_t n,
             const struct holder_plan_options *o)
{
    size_t least = count_equal(o);
    double supported = 0;
    size_t wanted = 0;

    while (wanted < n && supported < (double)o->upstreams) {
        supported += candidates[wanted++].capacity * o->upstreams_per_holder;
    }
    least = least < HOLDERS_MIN ? least : HOLDERS_MIN;
    return wanted > least ? wanted : least;
}

static size_t
count_holders(const struct holder_candidate *candidates, size_t n,
              const struct holder_plan_options *o, bool by_capacity)
{
    size_t wanted =
        by_capacity ? count_fewest(candidates, n, o) : count_equal(o);

    wanted = wanted < n ? wanted : n;
    while (wanted < n && total_link_max(candidates, wanted) < o->listed) {
        wanted++;
    }
    return wanted;
}

/* Quotas */

/**
 * struct portion - part of a holder in a division
 * @weight: the upstreams are divided in proportion to it
 * @max: it gets no more
 * @quota: number that it gets
 * @rest: part of an upstream by which its exact portion exceeds @quota
 * @settled: it gets @max, and takes no part in the rest of the division
 */
struct portion {
    double weight;
    size_t max;
    size_t quota;
    double rest;
    bool settled;
};

static double
open_weight(const struct portion *portions, size_t n)
{
    double sum = 0;

    for (size_t i = 0; i < n; i++) {
        sum += portions[i].settled ? 0 : portions[i].weight;
    }
    return sum;
}

/* Gives their maximum to those whose portion would exceed it, until there are
 * no more.  Returns the number of upstreams that is left for the others. */
static size_t
settle_limited(struct portion *portions, size_t n, size_t total)
{
    bool found = true;

    while (found) {
        double per_weight = (double)total / open_weight(portions, n);

        found = false;
        for (size_t i = 0; i < n && !found; i++) {
            struct portion *p = &portions[i];

            if (!p->settled && p->weight * per_weight > (double)p->max) {
                p->settled = true;
                p->quota = p->max;
                total -= p->max;
                found = true;
            }
        }
    }
    return total;
}

/* Gives one more to the portions with the largest rests. */
static void
give_rest(struct portion *portions, size_t n, size_t left)
{
    while (left > 0) {
        struct portion *most = NULL;

        for (size_t i = 0; i < n; i++) {
            struct portion *p = &portions[i];

            if (!p->settled && (most == NULL || p->rest > most->rest)) {
                most = p;
            }
        }
        if (most == NULL) {
            return;
        }
        most->quota++;
        most->rest -= 1.0;
        left--;
    }
}

static void
divide(struct portion *portions, size_t n, size_t total)
{
    size_t left = settle_limited(portions, n, total);
    double per_weight = (double)left / open_weight(portions, n);
    size_t given = 0;

    for (size_t i = 0; i < n; i++) {
        struct portion *p = &portions[i];
        double exact = p->weight * per_weight;

        if (!p->settled) {
            p->quota = (size_t)exact;
            p->rest = exact - (double)p->quota;
            given += p->quota;
        }
    }
    give_rest(portions, n, left > given ? left - given : 0);
}

static void
set_share(struct holder_candidate *c, size_t quota)
{
    size_t keep_max = quota + quota / SLACK_DIVISOR + 1;
    size_t max = link_max(c);

    max = max > quota ? max : quota;
    c->share.quota = quota;
    c->share.keep_max = keep_max < max ? keep_max : max;
}

/* Equal parts, rounded up, unless a link does not support that many. */
static bool
divide_equally(struct holder_candidate *holders, size_t n, size_t total)
{
    size_t equal_part = (total + n - 1) / n;

    for (size_t i = 0; i < n; i++) {
        if (link_max(&holders[i]) < equal_part) {
            return false;
        }
    }
    for (size_t i = 0; i < n; i++) {
        set_share(&holders[i], equal_part);
    }
    return true;
}

/* In proportion to capacity, within the limits of the links.  If all links
 * together do not support the upstreams, no upstream is left without a holder:
 * that would lose its capacity also where it gets few starts.  Then the links
 * are exceeded by the same factor. */
static bool
divide_by_capacity(struct holder_candidate *holders, size_t n, size_t total)
{
    struct portion *portions = calloc(n, sizeof(*portions));
    bool exceeded = total_link_max(holders, n) < total;
    bool limited = exceeded;

    if (portions == NULL) {
        abort();
    }
    for (size_t i = 0; i < n; i++) {
        size_t max = link_max(&holders[i]);

        portions[i].weight = exceeded ? (double)max : holders[i].capacity;
        portions[i].max = exceeded ? SIZE_MAX : max;
    }
    divide(portions, n, total);
    for (size_t i = 0; i < n; i++) {
        limited = limited || portions[i].settled;
        set_share(&holders[i], portions[i].quota);
    }
    free(portions);
    return limited;
}

/* Brokers of a build that does not declare limits plan as if none were known;
 * a plan by the links of the others would leave upstreams without a holder. */
static void
ignore_partial_limits(struct holder_candidate *candidates, size_t n)
{
    bool partial = false;

    for (size_t i = 0; i < n; i++) {
        partial = partial || (candidates[i].cpu_milli == 0 &&
                              candidates[i].link_kbps == 0);
    }
    for (size_t i = 0; i < n && partial; i++) {
        candidates[i].cpu_milli = 0;
        candidates[i].link_kbps = 0;
    }
}

struct holder_plan
holder_plan_make(struct holder_candidate *candidates, size_t n,
                 const struct holder_plan_options *o)
{
    struct holder_plan plan = {0};

    ignore_partial_limits(candidates, n);
    plan.by_capacity = set_capacities(candidates, n);

    if (n > 1) {
        qsort(candidates, n, sizeof(*candidates), compare_candidates);
    }
    plan.n_holders = count_holders(candidates, n, o, plan.by_capacity);
    for (size_t i = 0; i < n; i++) {
        candidates[i].share = (struct assign_quota){0};
    }
    if (n == 0 || (!plan.by_capacity &&
                   divide_equally(candidates, plan.n_holders, o->listed))) {
        return plan;
    }
    plan.by_link = divide_by_capacity(candidates, plan.n_holders, o->listed);
    return plan;
}
