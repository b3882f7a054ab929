/* Capacity reserved for urgent wide jobs: 8 tasks of 60 ms with an objective
 * of 150 ms, among tasks of up to a second, where demand exceeds capacity. */
#include "check.h"
#include "replay.h"
#include "urgent_reserve.h"

enum { URGENT, LONG, SMALL, QUEUES };

/* Usable milli-cores of a holder of 32 upstreams. */
static const double CAPACITY = 500000;

static void
set_queues(struct urgent_queue q[QUEUES])
{
    q[URGENT] = (struct urgent_queue){.priority = 0,
                                      .demand = 150000,
                                      .granted = 150000,
                                      .job_milli = 64000};
    q[LONG] = (struct urgent_queue){.priority = 2, .demand = 250000};
    q[SMALL] = (struct urgent_queue){.priority = 1, .demand = 300000};
}

static double
reserved(const struct urgent_queue q[QUEUES], size_t which)
{
    return urgent_reserve_milli(q, QUEUES, which, CAPACITY);
}

/* The urgent queue was served worst, although its part of the capacity was its
 * whole demand: its jobs ran out of credit at random. */
static void
whole_demand_of_the_urgent_queue_is_reserved(void)
{
    struct urgent_queue q[QUEUES];

    set_queues(q);
    CU_ASSERT_DOUBLE_EQUAL(reserved(q, URGENT), 150000, 1);
    CU_ASSERT_DOUBLE_EQUAL(reserved(q, LONG), 0, 0);
    CU_ASSERT_DOUBLE_EQUAL(reserved(q, SMALL), 0, 0);
}

/* A flood of urgent jobs must not displace all others. */
static void
nothing_is_reserved_beyond_the_queues_part(void)
{
    struct urgent_queue q[QUEUES];

    set_queues(q);
    q[URGENT].demand = 600000;
    q[URGENT].granted = 300000;
    CU_ASSERT_DOUBLE_EQUAL(reserved(q, URGENT), 0, 0);
}

/* Jobs that take a fifth of a holder displace more callers than they serve. */
static void
nothing_is_reserved_for_jobs_as_wide_as_a_holder(void)
{
    struct urgent_queue q[QUEUES];

    set_queues(q);
    q[URGENT].job_milli = 118000;
    CU_ASSERT_DOUBLE_EQUAL(reserved(q, URGENT), 0, 0);
}

/* A single urgent job has no regular demand: it was admitted, not refused at
 * once, where long tasks filled all upstreams (suite broker_load).  Without
 * jobs of lower priority there is nobody to reserve capacity from;
 * without urgent jobs, the next priority is the most urgent one. */
static void
only_queues_in_use_are_compared(void)
{
    struct urgent_queue q[QUEUES];

    set_queues(q);
    q[LONG].demand = 100;
    q[SMALL].demand = 100;
    CU_ASSERT_DOUBLE_EQUAL(reserved(q, URGENT), 0, 0);
    set_queues(q);
    q[URGENT].demand = 100;
    q[URGENT].granted = 100;
    CU_ASSERT_DOUBLE_EQUAL(reserved(q, URGENT), 0, 0);
    q[SMALL].granted = q[SMALL].demand;
    CU_ASSERT_DOUBLE_EQUAL(reserved(q, SMALL), q[SMALL].demand, 1);
}

/* Sizes vary threefold: one wide job must not switch the reserve off. */
static void
one_wide_job_hardly_changes_the_usual_size(void)
{
    double mean = urgent_usual_milli(0, 64000);

    CU_ASSERT_DOUBLE_EQUAL(mean, 64000, 1);
    CU_ASSERT_TRUE(urgent_usual_milli(mean, 3 * 64000) < CAPACITY / 6);
}

static double
served(const struct vcredit_sum *s)
{
    return s->earned / s->owed;
}

/* Bursts of urgent and of long jobs at once: the urgent queue is not the worst
 * served one, as it is without the reserve, and callers lose nothing. */
static void
urgent_queue_is_not_served_worst(void)
{
    struct replay_options o = {.seeds = 4};
    struct vcredit with;
    struct vcredit without;

    CU_ASSERT_TRUE(replay_run(REPLAY_urgent, &o, &with));
    o.without[BROKER_FEATURE_URGENT_RESERVE] = true;
    CU_ASSERT_TRUE(replay_run(REPLAY_urgent, &o, &without));
    CU_ASSERT_TRUE(served(&with.queues[URGENT]) > served(&with.queues[SMALL]));
    CU_ASSERT_TRUE(served(&with.queues[URGENT]) >
                   served(&without.queues[URGENT]) + 0.05);
    CU_ASSERT_TRUE(served(&with.callers) > served(&without.callers) - 0.01);
}

void
suite_urgent_reserve(void)
{
#define TEST(name) check_add("urgent_reserve", #name, name)
    TEST(whole_demand_of_the_urgent_queue_is_reserved);
    TEST(nothing_is_reserved_beyond_the_queues_part);
    TEST(nothing_is_reserved_for_jobs_as_wide_as_a_holder);
    TEST(only_queues_in_use_are_compared);
    TEST(one_wide_job_hardly_changes_the_usual_size);
    TEST(urgent_queue_is_not_served_worst);
#undef TEST
}
