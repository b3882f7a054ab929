/* Which brokers hold the upstreams of a zone, where their capacities differ
 * and where they don't. */
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "check.h"
#include "holder_plan.h"
#include "vlease.h"

#define SEC USEC_PER_SEC
#define READY_US (6 * SEC) /* upstreams are known and held by then */

enum { SMALL = 90, KBPS = 62000 };
/* clang-format off */
#define B_SMALL {90, 19000}
#define B_LARGE {300, 62000}
#define ZONE_B {B_SMALL, B_SMALL, B_SMALL, B_SMALL, B_SMALL, B_SMALL,         \
                B_LARGE, B_LARGE}
#define NARROW {{90, 2000}, {90, 2000}, {90, 2000}, {90, 2000}}
/* clang-format on */
enum { PER_HOLDER = 32, CANDIDATES_MAX = 12, ITEMS_MAX = 128 };

static struct holder_candidate
candidate(uint64_t incarnation, uint32_t cpu_milli, uint32_t link_kbps)
{
    struct holder_candidate c = {.cpu_milli = cpu_milli,
                                 .link_kbps = link_kbps,
                                 .incarnation = incarnation};

    (void)snprintf(c.name.s, sizeof(c.name.s), "b-%u",
                   (unsigned int)incarnation);
    return c;
}

static struct holder_plan
plan_for(struct holder_candidate *c, size_t n, size_t upstreams)
{
    struct holder_plan_options o = {.upstreams = upstreams,
                                    .listed = upstreams,
                                    .upstreams_per_holder = PER_HOLDER};

    return holder_plan_make(c, n, &o);
}

static int
compare_keys(const void *x, const void *y)
{
    uint64_t a = ((const struct assign_item *)x)->order_key;
    uint64_t b = ((const struct assign_item *)y)->order_key;

    return a < b ? -1 : a > b;
}

/* The assignment of the previous build, in equal parts. */
static void
assign_equally(struct assign_item *items, size_t n, size_t n_holders)
{
    size_t counts[CANDIDATES_MAX] = {0};
    size_t even = n_holders > 0 ? (n + n_holders - 1) / n_holders : 0;

    qsort(items, n, sizeof(*items), compare_keys);
    for (size_t i = 0; i < n; i++) {
        size_t holder = items[i].holder;

        if (holder == ASSIGN_NONE || counts[holder] >= even + even / 8 + 1) {
            items[i].holder = ASSIGN_NONE;
        }
        else {
            counts[holder]++;
        }
    }
    for (size_t i = 0; i < n; i++) {
        size_t least = 0;

        for (size_t h = 1; h < n_holders; h++) {
            least = counts[h] < counts[least] ? h : least;
        }
        if (items[i].holder == ASSIGN_NONE) {
            items[i].holder = least;
            counts[least]++;
        }
    }
}

static void
compare_assignments(const struct holder_candidate *c, size_t n_holders,
                    size_t n_items, uint64_t *random)
{
    struct assign_item items[ITEMS_MAX] = {0};
    struct assign_item expected[ITEMS_MAX];
    struct assign_quota quotas[CANDIDATES_MAX];

    for (size_t i = 0; i < n_holders; i++) {
        quotas[i] = c[i].share;
    }
    for (size_t i = 0; i < n_items; i++) {
        size_t holder = random_next(random) % (n_holders + 1);

        items[i].order_key = random_next(random);
        items[i].holder = holder < n_holders ? holder : ASSIGN_NONE;
    }
    memcpy(expected, items, sizeof(items));
    assign_equally(expected, n_items, n_holders);
    assign_holders(items, n_items, quotas, n_holders);
    CU_ASSERT_EQUAL(memcmp(items, expected, sizeof(items)), 0);
}

/* Guards existing deployments: where capacities are equal, or one broker of a
 * zone has not declared any, holders, their order and the assignment must be
 * those of the previous build, which may run beside this one. */
static void
equal_or_unknown_capacities_change_nothing(void)
{
    uint64_t random = 1;

    for (int round = 0; round < 2000; round++) {
        struct holder_candidate c[CANDIDATES_MAX];
        size_t n = 1 + random_next(&random) % CANDIDATES_MAX;
        size_t upstreams = random_next(&random) % ITEMS_MAX;
        size_t silent = random_next(&random) % n;
        size_t wanted = (upstreams + PER_HOLDER - 1) / PER_HOLDER;
        struct holder_plan plan;

        for (size_t i = 0; i < n; i++) {
            c[i] = candidate(1 + i * 7 % 13, SMALL, KBPS);
            if (round % 2 == 0) {
                c[i].cpu_milli = i == silent ? 0 : SMALL + (uint32_t)i;
                c[i].link_kbps =
                    i == silent ? 0 : KBPS / (round % 4 == 0 ? 31 : 1);
            }
        }
        wanted = wanted > 0 ? wanted : 1;
        wanted = wanted < n ? wanted : n;
        plan = plan_for(c, n, upstreams);
        CU_ASSERT_EQUAL(plan.n_holders, wanted);
        CU_ASSERT_FALSE(plan.by_capacity || plan.by_link);
        for (size_t i = 1; i < n; i++) {
            CU_ASSERT_TRUE(c[i - 1].incarnation < c[i].incarnation);
        }
        compare_assignments(c, plan.n_holders, upstreams, &random);
    }
}

/* A zone whose brokers declare @limits, the oldest first, and what is planned
 * for it. */
static const struct {
    uint32_t limits[CANDIDATES_MAX][2]; /* milli-cores, kbit/s */
    size_t upstreams;
    size_t quotas[CANDIDATES_MAX]; /* in the order of the plan */
    uint64_t first;                /* incarnation of the first holder */
    bool by_link;
} plans[] = {
    /* clang-format off */
    /* Deployment B.  Guards against the oldest small brokers as holders, whose
     * processor share does not suffice. */
    {ZONE_B, 88, {44, 44}, 7, false},
    {ZONE_B, 250, {96, 96, 29, 29}, 7, false},
    /* Guards against a holder with many processors behind a narrow link. */
    {{{50, 40000}, {100, 20000}, {300, 20000}},
     40, {20, 20}, 2, false},
    /* Guards against two small queues where equal brokers would have one. */
    {{{100, 20000}, {300, 60000}}, 30, {30}, 2, false},
    /* Guards against starts that wait for a link of 2 Mbit/s, which supports
     * eight upstreams, and against upstreams that nobody holds where all links
     * together do not suffice. */
    {NARROW, 24, {8, 8, 8}, 1, false},
    {NARROW, 60, {15, 15, 15, 15}, 1, true},
    {{{90, 2000}, {90, 2000}, {90, 2000}, {300, 7200}},
     37, {29, 8}, 4, true},
    /* clang-format on */
};

static void
plans_follow_capacity(void)
{
    for (size_t p = 0; p < sizeof(plans) / sizeof(plans[0]); p++) {
        struct holder_candidate c[CANDIDATES_MAX];
        struct holder_plan plan;
        size_t n = 0;

        for (; n < CANDIDATES_MAX && plans[p].limits[n][0] > 0; n++) {
            c[n] =
                candidate(n + 1, plans[p].limits[n][0], plans[p].limits[n][1]);
        }
        plan = plan_for(c, n, plans[p].upstreams);
        CU_ASSERT_EQUAL(c[0].incarnation, plans[p].first);
        CU_ASSERT_EQUAL(plan.by_link, plans[p].by_link);
        for (size_t i = 0; i < n; i++) {
            size_t quota = plans[p].quotas[i];
            size_t link = c[i].link_kbps / 240;

            CU_ASSERT_EQUAL(c[i].share.quota, quota);
            CU_ASSERT_EQUAL(i<plan.n_holders, quota> 0);
            CU_ASSERT_TRUE(c[i].share.keep_max <= quota + quota / 8 + 1);
            CU_ASSERT_TRUE(c[i].share.keep_max <= link || quota > link);
        }
    }
}

static size_t
held_by(const struct assign_item *items, size_t n, size_t holder)
{
    size_t held = 0;

    for (size_t i = 0; i < n; i++) {
        held += items[i].holder == holder ? 1 : 0;
    }
    return held;
}

/* Two of three holders took over the upstreams of the third.  When it is back,
 * it must get some again, or two small machines keep the load of three. */
static void
surplus_goes_to_new_holder(void)
{
    enum { ITEMS = 60, HOLDERS = 3 };
    const struct assign_quota quotas[HOLDERS] = {{20, 23}, {20, 23}, {20, 23}};
    struct assign_item items[ITEMS] = {0};

    for (size_t i = 0; i < ITEMS; i++) {
        items[i].order_key = ITEMS - i;
        items[i].holder = i % 2;
    }
    assign_holders(items, ITEMS, quotas, HOLDERS);
    for (size_t i = 0; i < HOLDERS; i++) {
        CU_ASSERT_TRUE(held_by(items, ITEMS, i) >= 14);
        CU_ASSERT_TRUE(held_by(items, ITEMS, i) <= 23);
    }
}

/* A large broker starts among small holders.  Guards against upstreams that
 * move, and are idle meanwhile, though their holder is about at its quota. */
static void
only_surplus_moves_to_a_large_broker(void)
{
    const struct assign_quota quotas[] = {{40, 46}, {10, 12}, {10, 12}};
    struct assign_item items[60] = {0};
    size_t held[3] = {0};

    for (size_t i = 0; i < 60; i++) {
        items[i].order_key = i;
        items[i].holder = i < 11 ? 1 : i < 31 ? 2 : ASSIGN_NONE;
    }
    assign_holders(items, 60, quotas, 3);
    for (size_t i = 0; i < 60; i++) {
        held[items[i].holder]++;
        CU_ASSERT_TRUE(i >= 11 || items[i].holder == 1);
    }
    CU_ASSERT_EQUAL(held[0], 60 - 11 - 12);
    CU_ASSERT_EQUAL(held[1], 11);
    CU_ASSERT_EQUAL(held[2], 12);
}

/* One zone in virtual time; the youngest broker is the largest. */

enum { BROKERS = 4, LARGEST = BROKERS - 1, UPSTREAMS = 60 };

static struct instance_capacity
limits(uint32_t cpu_milli)
{
    return (struct instance_capacity){.cpu_milli = cpu_milli,
                                      .link_kbps = cpu_milli * 200};
}

static struct vlease_options
unlike_zone(uint64_t seed)
{
    struct vlease_options o = vlease_options_default();

    o.zones = 1;
    o.brokers = BROKERS;
    o.upstreams = UPSTREAMS;
    o.seed = seed;
    o.queues[0].per_s = 100;
    for (uint32_t i = 0; i < BROKERS; i++) {
        o.capacities[i] = limits(i == LARGEST ? 400 : 100);
    }
    return o;
}

static uint64_t
held(const struct vlease *v, uint32_t broker)
{
    const struct broker *b = vlease_broker(v, broker);

    return b != NULL ? broker_gauges(b).upstreams_held : 0;
}

/* Whether two brokers hold upstreams by capacity: four fifths and one, less
 * what the smaller one may keep beyond its quota. */
static bool
is_held_by_capacity(const struct vlease *v, uint32_t large, uint32_t small)
{
    return held(v, large) >= 46 && held(v, small) >= 12 &&
           held(v, large) + held(v, small) == UPSTREAMS;
}

static void
finish(struct vlease *v, int64_t at_us)
{
    vlease_load(v, 0);
    vlease_run(v, at_us);
    CU_ASSERT_EQUAL(vlease_broken(vlease_faults(v)), 0);
    CU_ASSERT_EQUAL(vlease_open(v), UPSTREAMS);
    CU_ASSERT_EQUAL(vlease_outdated(v), 0);
    CU_ASSERT_EQUAL(vlease_figures(v, 0).open, 0);
    vlease_free(v);
}

/* The largest holder dies, is frozen, or is cut off while it has runs.  Guards
 * against upstreams that stay without a holder, and against two runs of a
 * task. */
static void
largest_holder_is_lost(void)
{
    enum { DIES, FREEZES, IS_CUT, WAYS };
    enum { SEEDS = 5 };

    for (uint64_t i = 0; i < SEEDS * (uint64_t)WAYS; i++) {
        struct vlease_options o = unlike_zone(1 + i);
        struct vlease *v = vlease_new(&o);

        vlease_run(v, READY_US);
        CU_ASSERT_TRUE(is_held_by_capacity(v, LARGEST, 0));
        vlease_load(v, 1);
        vlease_run(v, READY_US + SEC);
        if (i % WAYS == DIES) {
            vlease_lose_machine(v, LARGEST);
        }
        else if (i % WAYS == FREEZES) {
            vlease_pause(v, LARGEST, 4 * SEC);
        }
        else {
            vlease_cut(v, LARGEST, true, true);
        }
        vlease_run(v, READY_US + 4 * SEC);
        CU_ASSERT_EQUAL(held(v, 0) + held(v, 1), UPSTREAMS);
        CU_ASSERT_TRUE(held(v, 0) >= 28 && held(v, 1) >= 28);
        vlease_start(v, LARGEST);
        vlease_cut(v, LARGEST, false, false);
        vlease_run(v, READY_US + 9 * SEC);
        CU_ASSERT_TRUE(is_held_by_capacity(v, LARGEST, 0));
        finish(v, READY_US + 20 * SEC);
    }
}

struct declarations {
    enum vlease_fate fate;
    uint32_t n;
};

static enum vlease_fate
on_declaration(void *ctx, struct vlease *v, const struct vlease_hop *hop)
{
    struct declarations *d = ctx;

    (void)v;
    if (strcmp(hop->label, "instance_capacity") != 0 || d->n++ >= BROKERS) {
        return VLEASE_PASS;
    }
    return d->fate;
}

/* The first declarations are lost, or arrive late.  Guards against holders
 * that are chosen by what some brokers have declared, and against upstreams
 * that stay idle while views differ. */
static void
declarations_are_lost_or_late(void)
{
    for (uint64_t i = 0; i < 10; i++) {
        struct declarations d = {.fate =
                                     i % 2 == 0 ? VLEASE_LOSE : VLEASE_DELAY};
        struct vlease_options o = unlike_zone(1 + i);
        struct vlease *v = vlease_new(&o);

        o.late_us = 4 * SEC;
        vlease_set_hook(v, on_declaration, &d);
        vlease_run(v, READY_US);
        CU_ASSERT_TRUE(d.n >= BROKERS);
        if (d.fate == VLEASE_DELAY) {
            CU_ASSERT_TRUE(is_held_by_capacity(v, LARGEST, 0));
        }
        vlease_load(v, 1);
        vlease_run(v, READY_US + 2 * SEC);
        vlease_kill(v, 1);
        vlease_run(v, READY_US + 3 * SEC);
        vlease_start(v, 1);
        vlease_run(v, READY_US + 6 * SEC);
        finish(v, READY_US + 20 * SEC);
    }
}

/* One build among others never declares its capacity.  Guards against brokers
 * that plan differently from that build, which knows only of start times. */
static void
one_build_declares_nothing(void)
{
    struct vlease_options o = unlike_zone(1);
    struct vlease *v;

    o.capacities[2] = (struct instance_capacity){0};
    v = vlease_new(&o);
    vlease_run(v, READY_US);
    CU_ASSERT_EQUAL(held(v, 0), UPSTREAMS / 2);
    CU_ASSERT_EQUAL(held(v, 1), UPSTREAMS / 2);
    vlease_load(v, 1);
    vlease_run(v, READY_US + SEC);
    vlease_kill(v, 2);
    vlease_declare(v, 2, limits(100));
    vlease_start(v, 2);
    vlease_run(v, READY_US + 5 * SEC);
    CU_ASSERT_TRUE(is_held_by_capacity(v, LARGEST, 0));
    vlease_stop(v, 0);
    vlease_run(v, READY_US + 12 * SEC);
    vlease_kill(v, 0);
    vlease_declare(v, 0, (struct instance_capacity){0});
    vlease_start(v, 0);
    vlease_run(v, READY_US + 15 * SEC);
    CU_ASSERT_EQUAL(held(v, 1) + held(v, 2) + held(v, LARGEST), UPSTREAMS);
    finish(v, READY_US + 25 * SEC);
}

/* A broker has another capacity after a restart, and another one becomes the
 * largest.  Guards against plans by a declaration of an earlier life; broken
 * on purpose, that must be noticed. */
static void
restart_changes_the_capacity(void)
{
    for (int wrong = 0; wrong < 2; wrong++) {
        struct vlease_options o = unlike_zone(1);
        struct vlease *v;

        o.breaks[BROKER_BREAK_CAPACITY_OLDER] = wrong != 0;
        v = vlease_new(&o);
        vlease_run(v, READY_US);
        vlease_kill(v, LARGEST);
        vlease_declare(v, LARGEST, limits(100));
        vlease_kill(v, 1);
        vlease_declare(v, 1, limits(400));
        vlease_run(v, READY_US + SEC);
        vlease_start(v, LARGEST);
        vlease_start(v, 1);
        vlease_run(v, READY_US + 4 * SEC);
        CU_ASSERT_TRUE(wrong != 0 || is_held_by_capacity(v, 1, 0));
        CU_ASSERT_EQUAL(vlease_outdated(v), wrong == 0 ? 0 : 2);
        vlease_free(v);
    }
}

/* What all brokers decide in some seconds with a lost holder; to be freed. */
static char *
decisions(const struct vlease_options *o, size_t *size)
{
    struct vlease *v = vlease_new(o);
    char *text = NULL;
    FILE *out = open_memstream(&text, size);

    CU_ASSERT_PTR_NOT_NULL_FATAL(out);
    vlease_log(v, out);
    vlease_load(v, 1);
    vlease_run(v, READY_US);
    vlease_kill(v, 0);
    vlease_run(v, READY_US + 3 * SEC);
    vlease_free(v);
    (void)fclose(out);
    return text;
}

/* Guards the promise that a disabled part changes no decision and sends
 * nothing, and that brokers of equal capacity decide as before. */
static void
disabled_part_changes_no_decision(void)
{
    struct vlease_options o = unlike_zone(3);
    struct vlease_options undeclared = o;
    size_t size[2];
    char *text[2];

    o.without[BROKER_FEATURE_INSTANCE_CAPACITY] = true;
    memset(undeclared.capacities, 0, sizeof(undeclared.capacities));
    text[0] = decisions(&o, &size[0]);
    text[1] = decisions(&undeclared, &size[1]);
    CU_ASSERT_TRUE(size[0] > 100000);
    CU_ASSERT_EQUAL(size[0], size[1]);
    CU_ASSERT_STRING_EQUAL(text[0], text[1]);
    free(text[0]);
    free(text[1]);
}

void
suite_holder_plan(void)
{
#define TEST(name) check_add("holder_plan", #name, name)
    TEST(equal_or_unknown_capacities_change_nothing);
    TEST(plans_follow_capacity);
    TEST(surplus_goes_to_new_holder);
    TEST(only_surplus_moves_to_a_large_broker);
    TEST(largest_holder_is_lost);
    TEST(declarations_are_lost_or_late);
    TEST(one_build_declares_nothing);
    TEST(restart_changes_the_capacity);
    TEST(disabled_part_changes_no_decision);
#undef TEST
}
