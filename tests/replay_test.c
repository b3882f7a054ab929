/* What a replay earned, and the bound that no policy can exceed. */
#include "check.h"
#include "replay.h"

#define MSEC USEC_PER_MSEC
#define SEC USEC_PER_SEC
#define READY_US (6 * SEC)

/* Four jobs come at once to one upstream that does one a second; each has 1.66
 * s to be in time.  All can be late, 1.66 can be in time: worked out by hand,
 * 0.8 x 1.66 + 0.2 x 4, and a little for the grain of time. */
static void
bound_of_four_jobs_is_as_by_hand(void)
{
    struct vlease_options o = vlease_options_default();
    struct vcredit c = {0};
    struct vlease *v;

    o.zones = 1;
    o.brokers = 1;
    o.upstreams = 1;
    o.cpu_milli = 32000;
    o.queues[0] = (struct vlease_queue){
        .tasks = 2, .cpu_milli = 16000, .run_us = SEC, .timeout_us = 10 * SEC};
    v = vlease_new(&o);
    vlease_run(v, READY_US);
    for (int i = 0; i < 4; i++) {
        (void)vlease_submit(v, 0, 0);
    }
    vlease_run(v, READY_US + 12 * SEC);
    vcredit_add(v, READY_US - SEC, READY_US + SEC, true, &c);
    CU_ASSERT_DOUBLE_EQUAL(c.callers.owed, 4.0, 1e-9);
    CU_ASSERT_TRUE(c.callers.bound >= 0.8 * 1.66 + 0.2 * 4);
    CU_ASSERT_TRUE(c.callers.bound <= 0.8 * 1.80 + 0.2 * 4);
    CU_ASSERT_TRUE(c.callers.earned >= 1.0);
    CU_ASSERT_TRUE(c.callers.earned <= c.callers.bound);
    vlease_free(v);
}

/* No promise breaks in any replay, and nothing earns more than it could have:
 * a bound that is passed is none. */
static void
replays_keep_promises_and_bounds(void)
{
    struct replay_options o = {.seeds = 1, .bounded = true};

    for (int i = 0; i < REPLAYS; i++) {
        struct vcredit c;

        CU_ASSERT_TRUE(replay_run((enum replay)i, &o, &c));
        CU_ASSERT_TRUE(c.callers.earned <= c.callers.bound + 1e-6);
        CU_ASSERT_TRUE(c.work.earned <= c.work.bound * (1.0 + 1e-9));
        CU_ASSERT_TRUE(c.callers.bound <= c.callers.owed + 1e-6);
    }
}

/* Sizes, widths and urgencies that nobody has tried. */
static void
drawn_regions_keep_promises(void)
{
    struct replay_options o = {.seeds = 1};

    for (uint64_t seed = 101; seed <= 108; seed++) {
        struct vcredit c;

        CU_ASSERT_TRUE(replay_draw(seed, &o, &c));
        CU_ASSERT_TRUE(c.callers.earned > 0);
    }
}

/* All upstreams of a zone stay in use while its brokers are stopped and
 * started in turn, faster than each is back. */
static void
restarts_in_turn_are_hardly_noticed(void)
{
    struct replay_options o = {.seeds = 3};
    struct vcredit c;

    CU_ASSERT_TRUE(replay_run(REPLAY_roll, &o, &c));
    CU_ASSERT_TRUE(c.callers.earned > 0.9 * c.callers.owed);
}

static double
callers_served(enum replay which, uint64_t seeds, enum broker_feature without)
{
    struct replay_options o = {.seeds = seeds};
    struct vcredit c;

    o.without[without] = without < BROKER_FEATURES;
    CU_ASSERT_TRUE(replay_run(which, &o, &c));
    return c.callers.earned / c.callers.owed;
}

/* After all power is lost, callers that have waited in vain for longer than
 * their answer would have been in time must not displace those that come
 * first. */
static void
new_callers_go_first_after_a_power_loss(void)
{
    CU_ASSERT_TRUE(callers_served(REPLAY_dark, 4, BROKER_FEATURES) >
                   callers_served(REPLAY_dark, 4, BROKER_FEATURE_WAITED) +
                       0.02);
}

/* Many brokers choose runners by reports that are up to 100 ms old.  One zone
 * has few upstreams, or demand exceeds the capacity of all: no runner may get
 * far more jobs than others. */
static void
old_reports_do_not_leave_upstreams_idle(void)
{
    CU_ASSERT_TRUE(callers_served(REPLAY_poor_zone, 4, BROKER_FEATURES) >
                   callers_served(REPLAY_poor_zone, 4, BROKER_FEATURE_TAKERS) +
                       0.02);
    CU_ASSERT_TRUE(callers_served(REPLAY_crowd, 4, BROKER_FEATURES) >
                   callers_served(REPLAY_crowd, 4, BROKER_FEATURE_TAKERS));
}

void
suite_replay(void)
{
#define TEST(name) check_add("replay", #name, name)
    TEST(bound_of_four_jobs_is_as_by_hand);
    TEST(replays_keep_promises_and_bounds);
    TEST(drawn_regions_keep_promises);
    TEST(restarts_in_turn_are_hardly_noticed);
    TEST(new_callers_go_first_after_a_power_loss);
    TEST(old_reports_do_not_leave_upstreams_idle);
#undef TEST
}
