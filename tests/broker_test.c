/* Brokers, registries and leased upstreams together, in virtual time. */
#include <stdio.h>
#include <stdlib.h>

#include "check.h"
#include "vlease.h"

#define MSEC USEC_PER_MSEC
#define SEC USEC_PER_SEC
#define READY_US (6 * SEC) /* upstreams are known and held by then */

static struct vlease *
calm_region(uint64_t seed)
{
    struct vlease_options o = vlease_options_default();
    struct vlease *v;

    o.seed = seed;
    o.queues[0].spread = 0.4;
    o.queues[0].declared_off = 0.4;
    o.queues[0].per_s = 60;
    v = vlease_new(&o);
    vlease_run(v, READY_US);
    return v;
}

static void
assert_no_fault(const struct vlease *v)
{
    struct vlease_faults f = vlease_faults(v);

    CU_ASSERT_EQUAL(f.overlaps, 0);
    CU_ASSERT_EQUAL(f.over_room, 0);
    CU_ASSERT_EQUAL(f.false_refusals, 0);
    CU_ASSERT_EQUAL(f.leaving, 0);
    CU_ASSERT_EQUAL(f.answers_twice, 0);
}

/* Load stops, and everything comes to its end. */
static void
settle(struct vlease *v, int64_t now_us)
{
    vlease_load(v, 0);
    vlease_run(v, now_us + 12 * SEC);
    CU_ASSERT_EQUAL(vlease_running(v), 0);
    CU_ASSERT_EQUAL(vlease_figures(v, 0).open, 0);
    assert_no_fault(v);
}

static void
calm_jobs_are_in_time(void)
{
    struct vlease *v = calm_region(1);
    struct vlease_figures f;

    vlease_load(v, 1);
    vlease_run(v, READY_US + 10 * SEC);
    settle(v, READY_US + 10 * SEC);
    f = vlease_figures(v, 0);
    CU_ASSERT_TRUE(f.asked > 500);
    CU_ASSERT_EQUAL(f.completed, f.asked);
    CU_ASSERT_EQUAL(f.in_time, f.asked);
    CU_ASSERT_EQUAL(vlease_faults(v).unnoted, 0);
    vlease_free(v);
}

/* All brokers of a region come back after a power loss while its upstreams are
 * there already and announce nothing new.  Nobody speaks when the time to
 * settle is over; a broker that waited for the next message to take its
 * upstreams refused every job for as long as none came. */
static void
region_restarts_among_known_upstreams(void)
{
    struct vlease *v = calm_region(2);
    uint64_t job;

    for (uint32_t i = 0; i < 6; i++) {
        vlease_kill(v, i);
    }
    vlease_run(v, READY_US + 2 * SEC);
    for (uint32_t i = 0; i < 6; i++) {
        vlease_start(v, i);
    }
    vlease_run(v, READY_US + 5 * SEC);
    job = vlease_submit(v, 0, 0);
    vlease_run(v, READY_US + 6 * SEC);
    CU_ASSERT_EQUAL(vlease_outcome(v, job), JOB_COMPLETED_OUTCOME);
    settle(v, READY_US + 6 * SEC);
    vlease_free(v);
}

/* How many upstreams are in use a second after power is back. */
static uint32_t
open_after_power_loss(struct vlease *v, bool remember)
{
    vlease_lose_power(v);
    vlease_run(v, READY_US + 2 * SEC);
    vlease_regain_power(v, remember);
    vlease_run(v, READY_US + 2 * SEC + 700 * MSEC);
    return vlease_open(v);
}

/* All machines of the system lose power; the upstreams go on.  Each announces
 * itself every second and a half: brokers that wait for that turn callers away
 * beside idle upstreams.  The registries' disks remember who was there. */
static void
power_comes_back_among_remembered_upstreams(void)
{
    for (uint64_t seed = 400; seed < 405; seed++) {
        struct vlease *v = calm_region(seed);

        CU_ASSERT_EQUAL(open_after_power_loss(v, true), 24);
        vlease_load(v, 1);
        vlease_run(v, READY_US + 6 * SEC);
        settle(v, READY_US + 6 * SEC);
        CU_ASSERT_EQUAL(vlease_figures(v, 0).completed,
                        vlease_figures(v, 0).asked);
        vlease_free(v);
    }
}

/* The same with the registries' disks lost: it takes as long as before, and
 * nothing else. */
static void
power_comes_back_with_empty_disks(void)
{
    struct vlease *v = calm_region(410);

    CU_ASSERT_TRUE(open_after_power_loss(v, false) < 24);
    vlease_run(v, READY_US + 5 * SEC);
    CU_ASSERT_EQUAL(vlease_open(v), 24);
    settle(v, READY_US + 5 * SEC);
    vlease_free(v);
}

/* While the power is off, some of the upstreams that the disks remember die,
 * others start anew and run nothing, others are cut off and run on.  Work that
 * is placed on the word of the disk would fail, or run twice. */
static void
remembered_upstreams_have_changed(void)
{
    for (uint64_t seed = 420; seed < 430; seed++) {
        struct vlease *v = calm_region(seed);

        vlease_load(v, 1);
        vlease_run(v, READY_US + 1 * SEC);
        vlease_lose_power(v);
        for (uint32_t i = 0; i < 24; i += 6) {
            vlease_trouble(v, i, VLEASE_DEAD);
            vlease_reborn(v, i + 1);
            vlease_trouble(v, i + 2, VLEASE_CUT);
            vlease_trouble(v, i + 3, VLEASE_LEAVING);
        }
        vlease_run(v, READY_US + 1300 * MSEC);
        vlease_regain_power(v, true);
        vlease_run(v, READY_US + 8 * SEC);
        settle(v, READY_US + 8 * SEC);
        vlease_free(v);
    }
}

/* Both brokers of a zone are stopped as planned, one a second after the other,
 * before the first is back.  Were the upstreams let go, all callers of the
 * zone would be refused beside idle upstreams until then. */
static void
last_broker_of_a_zone_goes_on_until_another_is_back(void)
{
    struct vlease_options o = vlease_options_default();
    struct vlease *v;
    uint64_t jobs[4];

    o.zones = 1;
    o.queues[0].timeout_us = 4 * SEC;
    v = vlease_new(&o);
    vlease_run(v, READY_US);
    vlease_stop(v, 1);
    vlease_run(v, READY_US + 1 * SEC);
    vlease_stop(v, 0);
    for (int i = 0; i < 4; i++) {
        vlease_run(v, READY_US + 1100 * MSEC + (int64_t)i * 300 * MSEC);
        jobs[i] = vlease_submit(v, 1, 0);
    }
    vlease_run(v, READY_US + 3 * SEC);
    for (int i = 0; i < 4; i++) {
        CU_ASSERT_EQUAL(vlease_outcome(v, jobs[i]), JOB_COMPLETED_OUTCOME);
    }
    vlease_run(v, READY_US + 7 * SEC);
    CU_ASSERT_TRUE(vlease_stopped(v, 0));
    CU_ASSERT_TRUE(vlease_stopped(v, 1));
    settle(v, READY_US + 7 * SEC);
    vlease_free(v);
}

/* The same with the first back while the second still goes on: it gives its
 * upstreams to the one that is back, and nothing runs twice. */
static void
lingering_broker_gives_way_to_one_that_is_back(void)
{
    for (uint64_t seed = 440; seed < 448; seed++) {
        struct vlease *v = calm_region(seed);
        struct vlease_figures f;

        vlease_load(v, 1);
        vlease_stop(v, 1);
        vlease_run(v, READY_US + 1 * SEC);
        vlease_stop(v, 0);
        vlease_run(v, READY_US + 2 * SEC);
        vlease_kill(v, 1);
        vlease_start(v, 1);
        vlease_run(v, READY_US + 7 * SEC);
        vlease_kill(v, 0);
        vlease_start(v, 0);
        vlease_run(v, READY_US + 9 * SEC);
        settle(v, READY_US + 9 * SEC);
        f = vlease_figures(v, 0);
        CU_ASSERT_TRUE(f.completed * 50 > f.asked * 49);
        vlease_free(v);
    }
}

/* The broker that runs a caller's job dies.  Its runs go on at the upstreams
 * until their lease passes or the next holder stops them; the caller hands its
 * job in again meanwhile, and two runs of a task must not overlap. */
static void
runner_dies_and_its_jobs_come_again(void)
{
    for (uint64_t seed = 10; seed < 20; seed++) {
        struct vlease *v = calm_region(seed);
        struct vlease_figures f;

        vlease_load(v, 1);
        vlease_run(v, READY_US + 3 * SEC);
        vlease_kill(v, (uint32_t)(seed % 6));
        vlease_run(v, READY_US + 6 * SEC);
        vlease_start(v, (uint32_t)(seed % 6));
        vlease_run(v, READY_US + 10 * SEC);
        settle(v, READY_US + 10 * SEC);
        f = vlease_figures(v, 0);
        CU_ASSERT_TRUE(f.completed * 10 > f.asked * 9);
        vlease_free(v);
    }
}

/* A machine is paused for longer than a lease.  When the broker on it wakes,
 * others hold its upstreams; what it still believes must not reach them. */
static void
paused_broker_wakes_as_nobody(void)
{
    for (uint64_t seed = 30; seed < 40; seed++) {
        struct vlease *v = calm_region(seed);

        vlease_load(v, 1);
        vlease_run(v, READY_US + 2 * SEC);
        vlease_pause(v, (uint32_t)(seed % 6), 4 * SEC);
        vlease_run(v, READY_US + 12 * SEC);
        settle(v, READY_US + 12 * SEC);
        vlease_free(v);
    }
}

/* A broker is cut off from all others but still reaches its upstreams, or
 * loses both.  Two brokers then believe that they hold the same ones. */
static void
cut_off_broker_and_its_successor(void)
{
    for (uint64_t seed = 50; seed < 62; seed++) {
        struct vlease *v = calm_region(seed);
        uint32_t broker = (uint32_t)(seed % 6);

        vlease_load(v, 1);
        vlease_run(v, READY_US + 2 * SEC);
        vlease_cut(v, broker, true, seed % 2 == 0);
        vlease_run(v, READY_US + 7 * SEC);
        vlease_cut(v, broker, false, false);
        vlease_run(v, READY_US + 12 * SEC);
        settle(v, READY_US + 12 * SEC);
        vlease_free(v);
    }
}

/* Connections between two brokers are reset again and again; offers and
 * outcomes that were under way are lost, and both ends are still there. */
static void
offers_lost_with_a_connection(void)
{
    struct vlease *v = calm_region(70);

    vlease_load(v, 1);
    for (int i = 0; i < 40; i++) {
        vlease_run(v, READY_US + (int64_t)i * 100 * MSEC);
        vlease_gap(v, (uint32_t)(i % 2), (uint32_t)(i % 4 + 2));
    }
    vlease_run(v, READY_US + 6 * SEC);
    settle(v, READY_US + 6 * SEC);
    vlease_free(v);
}

/* An upstream carries out a tenth of its orders three seconds later, without
 * an answer.  A task whose start was lost is placed elsewhere; the late start
 * must meet a deadline that has passed, or a run that was stopped. */
static void
late_orders_start_nothing_twice(void)
{
    for (uint64_t seed = 80; seed < 86; seed++) {
        struct vlease *v = calm_region(seed);

        vlease_load(v, 1);
        for (uint32_t i = 0; i < 24; i += 2) {
            vlease_trouble(v, i, VLEASE_DELAYS);
        }
        vlease_run(v, READY_US + 8 * SEC);
        for (uint32_t i = 0; i < 24; i += 2) {
            vlease_trouble(v, i, VLEASE_SOUND);
        }
        vlease_run(v, READY_US + 14 * SEC);
        settle(v, READY_US + 14 * SEC);
        vlease_free(v);
    }
}

/* An upstream stops answering, or is cut off and runs on.  Its tasks are
 * placed elsewhere when their lease has surely passed, not before. */
static void
silent_upstream_runs_on(void)
{
    static const enum vlease_trouble troubles[] = {VLEASE_MUTE, VLEASE_CUT,
                                                   VLEASE_DEAD};

    for (uint64_t seed = 90; seed < 99; seed++) {
        struct vlease *v = calm_region(seed);

        vlease_load(v, 1);
        vlease_run(v, READY_US + 2 * SEC);
        for (uint32_t i = 0; i < 4; i++) {
            vlease_trouble(v, i * 5 + (uint32_t)seed % 5, troubles[seed % 3]);
        }
        vlease_run(v, READY_US + 7 * SEC);
        for (uint32_t i = 0; i < 24; i++) {
            vlease_trouble(v, i, VLEASE_SOUND);
        }
        vlease_run(v, READY_US + 12 * SEC);
        settle(v, READY_US + 12 * SEC);
        vlease_free(v);
    }
}

/* An upstream starts anew under its name: nothing of before runs there, its
 * clock and fence start again, and orders of before may still arrive. */
static void
reborn_upstream_knows_nothing(void)
{
    for (uint64_t seed = 100; seed < 110; seed++) {
        struct vlease *v = calm_region(seed);

        vlease_load(v, 1);
        vlease_run(v, READY_US + 1 * SEC);
        for (uint32_t i = 0; i < 24; i += 3) {
            vlease_trouble(v, i, VLEASE_DELAYS);
        }
        vlease_run(v, READY_US + 2 * SEC);
        for (uint32_t i = 0; i < 24; i += 3) {
            vlease_reborn(v, i);
        }
        vlease_run(v, READY_US + 8 * SEC);
        settle(v, READY_US + 8 * SEC);
        CU_ASSERT_TRUE(vlease_figures(v, 0).completed * 20 >
                       vlease_figures(v, 0).asked * 19);
        vlease_free(v);
    }
}

/* An upstream says that it leaves and ends four seconds later. */
static void
leaving_upstream_gets_nothing_new(void)
{
    struct vlease *v = calm_region(120);
    struct vlease_figures f;

    vlease_load(v, 1);
    vlease_run(v, READY_US + 1 * SEC);
    vlease_trouble(v, 1, VLEASE_LEAVING);
    vlease_trouble(v, 9, VLEASE_LEAVING);
    vlease_run(v, READY_US + 9 * SEC);
    settle(v, READY_US + 9 * SEC);
    f = vlease_figures(v, 0);
    CU_ASSERT_EQUAL(f.completed, f.asked);
    vlease_free(v);
}

/* A few upstreams fail all that they start, at once, and so are always idle.
 * Work must not be drawn to them. */
static void
failing_upstreams_get_little(void)
{
    struct vlease *v = calm_region(130);
    struct vlease_figures f;

    vlease_load(v, 1);
    vlease_trouble(v, 2, VLEASE_FAILS);
    vlease_trouble(v, 12, VLEASE_FAILS);
    vlease_run(v, READY_US + 10 * SEC);
    settle(v, READY_US + 10 * SEC);
    f = vlease_figures(v, 0);
    CU_ASSERT_TRUE(f.completed * 100 > f.asked * 97);
    vlease_free(v);
}

/* Tasks on some upstreams stand still while everything else there looks well.
 * They are stopped and run elsewhere. */
static void
standing_tasks_are_moved(void)
{
    struct vlease *v = calm_region(140);
    struct vlease_figures f;

    vlease_load(v, 1);
    vlease_trouble(v, 3, VLEASE_HANGS);
    vlease_trouble(v, 11, VLEASE_HANGS);
    vlease_run(v, READY_US + 8 * SEC);
    vlease_trouble(v, 3, VLEASE_SOUND);
    vlease_trouble(v, 11, VLEASE_SOUND);
    settle(v, READY_US + 8 * SEC);
    f = vlease_figures(v, 0);
    CU_ASSERT_TRUE(f.completed * 100 > f.asked * 97);
    vlease_free(v);
}

/* A planned stop of the broker that holds a zone's upstreams: nothing is cut
 * off, what has not started goes to its successor, and it ends in time. */
static void
planned_stop_cuts_nothing_off(void)
{
    for (uint64_t seed = 150; seed < 156; seed++) {
        struct vlease *v = calm_region(seed);
        uint32_t broker = (uint32_t)(seed % 6);
        struct vlease_figures f;

        vlease_load(v, 1);
        vlease_run(v, READY_US + 2 * SEC);
        vlease_stop(v, broker);
        vlease_run(v, READY_US + 8 * SEC);
        CU_ASSERT_TRUE(vlease_stopped(v, broker));
        settle(v, READY_US + 8 * SEC);
        f = vlease_figures(v, 0);
        CU_ASSERT_EQUAL(f.failed, 0);
        CU_ASSERT_TRUE(f.completed * 100 > f.asked * 98);
        vlease_free(v);
    }
}

/* The caller's connection broke and it hands the same job in at another broker
 * while the first is still at work. */
static void
job_handed_in_twice_runs_once(void)
{
    struct vlease *v = calm_region(160);
    uint64_t job = vlease_submit(v, 0, 0);

    vlease_run(v, READY_US + 10 * MSEC);
    vlease_resubmit(v, job, 1);
    vlease_run(v, READY_US + 2 * SEC);
    CU_ASSERT_EQUAL(vlease_outcome(v, job), JOB_COMPLETED_OUTCOME);
    CU_ASSERT_EQUAL(vlease_starts(v), 4);
    settle(v, READY_US + 2 * SEC);
    vlease_free(v);
}

/* Nobody waits for the answer any more: what runs for it is stopped. */
static void
work_ends_when_its_caller_leaves(void)
{
    struct vlease_options o = vlease_options_default();
    struct vlease *v;
    uint64_t job;

    o.queues[0].run_us = 2 * SEC;
    o.queues[0].timeout_us = 8 * SEC;
    v = vlease_new(&o);
    vlease_run(v, READY_US);
    job = vlease_submit(v, 0, 0);
    vlease_run(v, READY_US + 100 * MSEC);
    CU_ASSERT_EQUAL(vlease_running(v), 4);
    vlease_leave(v, job);
    vlease_run(v, READY_US + 300 * MSEC);
    CU_ASSERT_EQUAL(vlease_running(v), 0);
    settle(v, READY_US + 300 * MSEC);
    vlease_free(v);
}

/* The holder of a zone's upstreams has nothing to do while it is cut off from
 * the others; its successor takes the upstreams and gives them back when the
 * cut has healed.  The first one never noticed, and starts with a fence that
 * every upstream refuses: a user's jobs fail at an idle zone. */
static void
idle_holder_notices_that_it_was_replaced(void)
{
    for (uint64_t seed = 170; seed < 176; seed++) {
        struct vlease *v = calm_region(seed);
        uint64_t job;

        vlease_cut(v, 0, true, false);
        vlease_run(v, READY_US + 3 * SEC);
        vlease_cut(v, 0, false, false);
        vlease_run(v, READY_US + 5 * SEC);
        job = vlease_submit(v, 0, 0);
        vlease_run(v, READY_US + 6 * SEC);
        CU_ASSERT_EQUAL(vlease_outcome(v, job), JOB_COMPLETED_OUTCOME);
        settle(v, READY_US + 6 * SEC);
        vlease_free(v);
    }
}

static void
trouble_upstreams(struct vlease *v, uint64_t *random, uint32_t n)
{
    static const enum vlease_trouble troubles[] = {
        VLEASE_DEAD, VLEASE_CUT,  VLEASE_FAILS, VLEASE_HANGS,
        VLEASE_SLOW, VLEASE_MUTE, VLEASE_DELAYS};

    for (uint32_t i = 0; i < n; i++) {
        *random =
            *random * UINT64_C(6364136223846793005) + 1442695040888963407;
        vlease_trouble(v, (uint32_t)(*random >> 33) % 24,
                       troubles[(*random >> 45) % 7]);
    }
}

static void
trouble_brokers(struct vlease *v, uint64_t *random, uint32_t round)
{
    uint32_t broker;

    *random = *random * UINT64_C(6364136223846793005) + 1442695040888963407;
    broker = (uint32_t)(*random >> 33) % 6;
    switch ((*random >> 50) % 6) {
    case 0:
        vlease_kill(v, broker);
        break;
    case 1:
        if (vlease_broker(v, broker) != NULL) {
            vlease_pause(v, broker, (int64_t)(1 + round % 4) * SEC);
        }
        break;
    case 2:
        vlease_cut(v, broker, true, round % 2 == 0);
        break;
    case 3:
        vlease_gap(v, broker, (broker + 1) % 6);
        break;
    case 4:
        vlease_clock(v, broker, round % 2 == 0 ? 2 * SEC : -2 * SEC);
        break;
    default:
        vlease_reborn(v, (uint32_t)(*random >> 40) % 24);
        break;
    }
}

/* Troubles of all kinds overlap and end again, by seed. */
static void
soak(uint64_t seed)
{
    struct vlease *v = calm_region(seed);
    uint64_t random = seed * 77777;
    int64_t at = READY_US;

    vlease_load(v, 1);
    for (uint32_t round = 0; round < 6; round++) {
        trouble_upstreams(v, &random, 3);
        trouble_brokers(v, &random, round);
        at += 1500 * MSEC;
        vlease_run(v, at);
        for (uint32_t i = 0; i < 24 && round % 2 == 1; i++) {
            vlease_trouble(v, i, VLEASE_SOUND);
        }
        for (uint32_t i = 0; i < 6; i++) {
            vlease_start(v, i);
            if (round % 2 == 1) {
                vlease_cut(v, i, false, false);
            }
        }
    }
    vlease_run(v, at + 4 * SEC);
    settle(v, at + 4 * SEC);
    vlease_free(v);
}

static void
troubles_overlap(void)
{
    for (uint64_t seed = 1000; seed < 1040; seed++) {
        unsigned int before = CU_get_number_of_failures();

        soak(seed);
        if (CU_get_number_of_failures() != before) {
            (void)fprintf(stderr, "troubles_overlap: seed %llu\n",
                          (unsigned long long)seed);
        }
    }
}

void
suite_broker(void)
{
#define TEST(name) check_add("broker", #name, name)
    TEST(calm_jobs_are_in_time);
    TEST(region_restarts_among_known_upstreams);
    TEST(power_comes_back_among_remembered_upstreams);
    TEST(power_comes_back_with_empty_disks);
    TEST(remembered_upstreams_have_changed);
    TEST(last_broker_of_a_zone_goes_on_until_another_is_back);
    TEST(lingering_broker_gives_way_to_one_that_is_back);
    TEST(runner_dies_and_its_jobs_come_again);
    TEST(paused_broker_wakes_as_nobody);
    TEST(cut_off_broker_and_its_successor);
    TEST(offers_lost_with_a_connection);
    TEST(late_orders_start_nothing_twice);
    TEST(silent_upstream_runs_on);
    TEST(reborn_upstream_knows_nothing);
    TEST(leaving_upstream_gets_nothing_new);
    TEST(failing_upstreams_get_little);
    TEST(standing_tasks_are_moved);
    TEST(planned_stop_cuts_nothing_off);
    TEST(job_handed_in_twice_runs_once);
    TEST(work_ends_when_its_caller_leaves);
    TEST(idle_holder_notices_that_it_was_replaced);
    TEST(troubles_overlap);
#undef TEST
}
