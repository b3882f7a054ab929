/* Brokers of the previous build and of this one in a region, while one is
 * replaced by the other.  The previous build ignores message kinds that it
 * does not know, sends none of them, and has none of the new features. */
#include <stdio.h>
#include <string.h>

#include "check.h"
#include "vlease.h"

#define MSEC USEC_PER_MSEC
#define SEC USEC_PER_SEC
#define READY_US (6 * SEC) /* upstreams are known and held by then */
#define ROLL_US (1 * SEC)  /* between the replacements of two brokers */
#define SETTLE_US (14 * SEC)

enum {
    ZONES = 3,
    ZONE_BROKERS = 4,
    BROKERS = ZONES * ZONE_BROKERS,
    ZONE_UPSTREAMS = 16,
    LARGE_EACH = 4,  /* every so many brokers declare a larger capacity */
    KILLED_EACH = 5, /* of the replaced brokers: ends without a stop */
    SEEDS = 3,
};

/* Part of the jobs that must be answered as completed; the rest may have been
 * at a broker that was killed. */
static const double COMPLETED_SHARE = 0.97;

struct region {
    struct vlease *v;
    bool previous[BROKERS];     /* of the next start of the broker */
    uint32_t new_from_previous; /* messages of new kinds that it sent */
    uint32_t lost_at_previous;  /* messages of new kinds that it ignored */
    bool speeds_reported;
    int64_t now_us;
};

static bool
is_new_kind(const char *label)
{
    for (int kind = MSG_INSTANCE_CAPACITY; kind < MSG_KINDS; kind++) {
        if (strcmp(label, msg_name((enum msg_kind)kind)) == 0) {
            return true;
        }
    }
    return false;
}

static void
configure(void *ctx, uint32_t broker, struct broker_options *o)
{
    const struct region *r = ctx;
    bool large = broker % LARGE_EACH == 0;

    if (!r->previous[broker]) {
        o->capacity = (struct instance_capacity){
            .cpu_milli = large ? 300 : 90,
            .link_kbps = large ? 62000 : 19000,
            .memory_mb = large ? 400 : 120,
            .connections = 1024,
        };
        return;
    }
    for (int f = BROKER_FEATURE_INSTANCE_CAPACITY; f < BROKER_FEATURES; f++) {
        o->disabled[f] = true;
    }
}

static enum vlease_fate
drop_unknown(void *ctx, struct vlease *v, const struct vlease_hop *hop)
{
    struct region *r = ctx;

    if (!is_new_kind(hop->label)) {
        return VLEASE_PASS;
    }
    /* What a killed broker sent was sent by the build that it had. */
    if (hop->from != VLEASE_NOBODY && r->previous[hop->from] &&
        vlease_broker(v, hop->from) != NULL) {
        r->new_from_previous++;
    }
    r->speeds_reported =
        r->speeds_reported ||
        strcmp(hop->label, msg_name(MSG_UPSTREAM_SPEEDS)) == 0;
    if (hop->to == VLEASE_NOBODY || !r->previous[hop->to]) {
        return VLEASE_PASS;
    }
    r->lost_at_previous++;
    return VLEASE_LOSE;
}

static void
run_for(struct region *r, int64_t us)
{
    r->now_us += us;
    vlease_run(r->v, r->now_us);
}

/* Starts a region with a usual load in which the brokers are of the builds
 * that @r->previous says. */
static void
start_region(struct region *r, uint64_t seed)
{
    struct vlease_options o = vlease_options_default();

    o.zones = ZONES;
    o.brokers = ZONE_BROKERS;
    o.upstreams = ZONE_UPSTREAMS;
    o.cpu_large_milli = 48000;
    o.seed = seed;
    o.queues[0].tasks = 8;
    o.queues[0].per_s = 30;
    o.queues[0].spread = 0.4;
    o.queues[1] = (struct vlease_queue){.priority = 2,
                                        .tasks = 4,
                                        .cpu_milli = 14000,
                                        .run_us = 900 * MSEC,
                                        .spread = 0.4,
                                        .per_s = 6,
                                        .timeout_us = 6 * SEC};
    o.n_queues = 2;
    o.speeds[0] = 0.6;
    o.speeds[1] = 1.0;
    o.speeds[2] = 1.6;
    o.n_speeds = 3;
    o.callbacks.configure = configure;
    o.callbacks.ctx = r;
    r->v = vlease_new(&o);
    vlease_set_hook(r->v, drop_unknown, r);
    run_for(r, READY_US);
    vlease_load(r->v, 1);
}

/* All upstreams are in use, no promise is broken, and nearly all jobs are
 * served.  Frees the region. */
static void
finish(struct region *r, const char *test, uint64_t seed)
{
    struct vlease_faults f;

    CU_ASSERT_EQUAL(vlease_open(r->v), ZONES * ZONE_UPSTREAMS);
    vlease_load(r->v, 0);
    run_for(r, SETTLE_US);
    f = vlease_faults(r->v);
    CU_ASSERT_EQUAL(vlease_broken(f), 0);
    if (vlease_broken(f) > 0) {
        (void)fprintf(stderr, "%s: seed %llu: %u promises broken\n", test,
                      (unsigned long long)seed, vlease_broken(f));
    }
    CU_ASSERT_EQUAL(vlease_running(r->v), 0);
    CU_ASSERT_EQUAL(r->new_from_previous, 0);
    CU_ASSERT_TRUE(r->lost_at_previous > 0);
    for (uint32_t q = 0; q < 2; q++) {
        struct vlease_figures g = vlease_figures(r->v, q);

        CU_ASSERT_TRUE(g.asked > 50);
        CU_ASSERT_EQUAL(g.open, 0);
        CU_ASSERT_TRUE((double)g.completed >=
                       COMPLETED_SHARE * (double)g.asked);
    }
    vlease_free(r->v);
}

/* Guards against a build that needs what the other one does not send.  The
 * oldest broker of each zone, which holds the most upstreams, is of either
 * build. */
static void
half_of_the_brokers_are_of_the_previous_build(void)
{
    for (uint64_t seed = 1; seed <= SEEDS; seed++) {
        struct region r = {0};

        for (uint32_t i = 0; i < BROKERS; i++) {
            r.previous[i] = (i + seed) % 2 == 0;
        }
        start_region(&r, seed);
        run_for(&r, 24 * SEC); /* registries repeat their lists every 20 s */
        finish(&r, "half", seed);
    }
}

static void
replace(struct region *r, uint32_t broker, bool previous)
{
    if (broker % KILLED_EACH != 0) {
        vlease_stop(r->v, broker);
        for (int i = 0; i < 100 && !vlease_stopped(r->v, broker); i++) {
            run_for(r, 100 * MSEC);
        }
        CU_ASSERT_TRUE(vlease_stopped(r->v, broker));
    }
    vlease_kill(r->v, broker);
    r->previous[broker] = previous;
    run_for(r, ROLL_US / 2);
    vlease_start(r->v, broker);
    run_for(r, ROLL_US / 2);
}

/* Guards against an upgrade, or its withdrawal, that loses jobs or starts a
 * task twice: each broker changes its build in turn, and back. */
static void
brokers_are_replaced_in_turn_and_back(void)
{
    for (uint64_t seed = 11; seed < 11 + SEEDS; seed++) {
        struct region r = {0};

        memset(r.previous, true, sizeof(r.previous));
        start_region(&r, seed);
        for (uint32_t i = 0; i < BROKERS; i++) {
            replace(&r, i, false);
        }
        run_for(&r, 4 * SEC); /* all are of this build */
        CU_ASSERT_TRUE(r.speeds_reported);
        for (uint32_t i = 0; i < BROKERS; i++) {
            replace(&r, i, true);
        }
        run_for(&r, 2 * SEC);
        finish(&r, "in turn", seed);
    }
}

void
suite_mixed_builds(void)
{
#define TEST(name) check_add("mixed_builds", #name, name)
    TEST(half_of_the_brokers_are_of_the_previous_build);
    TEST(brokers_are_replaced_in_turn_and_back);
#undef TEST
}
