/* Brokers, registries and upstreams under leases, simulated in virtual time.
 */
#include <stdio.h>
#include <stdlib.h>

#include "check.h"
#include "vlease.h"

#define MSEC USEC_PER_MSEC
#define SEC USEC_PER_SEC
#define READY_US (6 * SEC) /* all upstreams are held by then */

static struct vlease *
new_region(uint64_t seed)
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
assert_no_faults(const struct vlease *v)
{
    struct vlease_faults f = vlease_faults(v);

    CU_ASSERT_EQUAL(f.overlaps, 0);
    CU_ASSERT_EQUAL(f.over_room, 0);
    CU_ASSERT_EQUAL(f.false_refusals, 0);
    CU_ASSERT_EQUAL(f.leaving, 0);
    CU_ASSERT_EQUAL(f.evacuated, 0);
    CU_ASSERT_EQUAL(f.answers_twice, 0);
}

/* Ends the load and waits until no task runs and all jobs are answered. */
static void
drain_load(struct vlease *v, int64_t now_us)
{
    vlease_load(v, 0);
    vlease_run(v, now_us + 12 * SEC);
    CU_ASSERT_EQUAL(vlease_running(v), 0);
    CU_ASSERT_EQUAL(vlease_figures(v, 0).open, 0);
    assert_no_faults(v);
}

static void
jobs_are_in_time_without_faults(void)
{
    struct vlease *v = new_region(1);
    struct vlease_figures f;

    vlease_load(v, 1);
    vlease_run(v, READY_US + 10 * SEC);
    drain_load(v, READY_US + 10 * SEC);
    f = vlease_figures(v, 0);
    CU_ASSERT_TRUE(f.asked > 500);
    CU_ASSERT_EQUAL(f.completed, f.asked);
    CU_ASSERT_EQUAL(f.in_time, f.asked);
    CU_ASSERT_EQUAL(vlease_faults(v).unnoted, 0);
    vlease_free(v);
}

/* All brokers of a region restart while its upstreams are already announced,
 * so no message arrives at the end of the discovery time.  A broker that took
 * its upstreams only at the next message refused all jobs until then. */
static void
restarted_region_takes_known_upstreams(void)
{
    struct vlease *v = new_region(2);
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
    drain_load(v, READY_US + 6 * SEC);
    vlease_free(v);
}

/* Number of open upstreams 0.7 s after power is back. */
static uint32_t
open_upstreams_after_power_loss(struct vlease *v, bool remember)
{
    vlease_lose_power(v);
    vlease_run(v, READY_US + 2 * SEC);
    vlease_regain_power(v, remember);
    vlease_run(v, READY_US + 2 * SEC + 700 * MSEC);
    return vlease_open(v);
}

/* All brokers and registries lose power while the upstreams continue.  An
 * upstream announces itself every 1.5 s; brokers that wait for the
 * announcement refuse jobs while upstreams are idle.  The registries therefore
 * store the known upstreams on disk. */
static void
stored_upstreams_are_used_soon_after_power_loss(void)
{
    for (uint64_t seed = 400; seed < 405; seed++) {
        struct vlease *v = new_region(seed);

        CU_ASSERT_EQUAL(open_upstreams_after_power_loss(v, true), 24);
        vlease_load(v, 1);
        vlease_run(v, READY_US + 6 * SEC);
        drain_load(v, READY_US + 6 * SEC);
        CU_ASSERT_EQUAL(vlease_figures(v, 0).completed,
                        vlease_figures(v, 0).asked);
        vlease_free(v);
    }
}

/* The same with the registries' disks lost: the upstreams are taken as soon as
 * they announce themselves. */
static void
power_loss_with_lost_registry_disks(void)
{
    struct vlease *v = new_region(410);

    CU_ASSERT_TRUE(open_upstreams_after_power_loss(v, false) < 24);
    vlease_run(v, READY_US + 5 * SEC);
    CU_ASSERT_EQUAL(vlease_open(v), 24);
    drain_load(v, READY_US + 5 * SEC);
    vlease_free(v);
}

/* While the power is off, some of the stored upstreams die, some restart, some
 * are disconnected but keep running tasks, and some leave.  Tasks placed only
 * because of the stored state would fail or run twice. */
static void
stored_upstreams_changed_during_power_loss(void)
{
    for (uint64_t seed = 420; seed < 430; seed++) {
        struct vlease *v = new_region(seed);

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
        drain_load(v, READY_US + 8 * SEC);
        vlease_free(v);
    }
}

/* Both brokers of a zone are stopped, the second before the first is back.  If
 * the second released its upstreams, jobs would be refused until a broker is
 * back, although the upstreams are idle. */
static void
last_stopping_broker_of_a_zone_keeps_serving(void)
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
    drain_load(v, READY_US + 7 * SEC);
    vlease_free(v);
}

/* The same, but the first broker is back while the second still serves: the
 * second hands its upstreams over, and no two runs of a task overlap. */
static void
draining_broker_hands_over_to_restarted_broker(void)
{
    for (uint64_t seed = 440; seed < 448; seed++) {
        struct vlease *v = new_region(seed);
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
        drain_load(v, READY_US + 9 * SEC);
        f = vlease_figures(v, 0);
        CU_ASSERT_TRUE(f.completed * 50 > f.asked * 49);
        vlease_free(v);
    }
}

/* A runner is killed.  Its runs continue on the upstreams until their lease
 * expires or the next holder stops them, and callers resubmit their jobs
 * meanwhile.  Two runs of a task must not overlap. */
static void
jobs_of_killed_runner_are_resubmitted(void)
{
    for (uint64_t seed = 10; seed < 20; seed++) {
        struct vlease *v = new_region(seed);
        struct vlease_figures f;

        vlease_load(v, 1);
        vlease_run(v, READY_US + 3 * SEC);
        vlease_kill(v, (uint32_t)(seed % 6));
        vlease_run(v, READY_US + 6 * SEC);
        vlease_start(v, (uint32_t)(seed % 6));
        vlease_run(v, READY_US + 10 * SEC);
        drain_load(v, READY_US + 10 * SEC);
        f = vlease_figures(v, 0);
        CU_ASSERT_TRUE(f.completed * 10 > f.asked * 9);
        vlease_free(v);
    }
}

/* A broker is paused for longer than a lease.  When it resumes, other brokers
 * hold its upstreams, and it must not act on its outdated state. */
static void
paused_broker_gives_up_its_upstreams(void)
{
    for (uint64_t seed = 30; seed < 40; seed++) {
        struct vlease *v = new_region(seed);

        vlease_load(v, 1);
        vlease_run(v, READY_US + 2 * SEC);
        vlease_pause(v, (uint32_t)(seed % 6), 4 * SEC);
        vlease_run(v, READY_US + 12 * SEC);
        drain_load(v, READY_US + 12 * SEC);
        vlease_free(v);
    }
}

/* A broker is disconnected from all other brokers, in half of the runs from
 * its upstreams as well.  Two brokers then consider the same upstreams their
 * own. */
static void
disconnected_broker_and_its_successor(void)
{
    for (uint64_t seed = 50; seed < 62; seed++) {
        struct vlease *v = new_region(seed);
        uint32_t broker = (uint32_t)(seed % 6);

        vlease_load(v, 1);
        vlease_run(v, READY_US + 2 * SEC);
        vlease_cut(v, broker, true, seed % 2 == 0);
        vlease_run(v, READY_US + 7 * SEC);
        vlease_cut(v, broker, false, false);
        vlease_run(v, READY_US + 12 * SEC);
        drain_load(v, READY_US + 12 * SEC);
        vlease_free(v);
    }
}

/* Connections between brokers are reset repeatedly: offers and outcomes in
 * transit are lost while both brokers keep running. */
static void
offers_lost_with_a_connection(void)
{
    struct vlease *v = new_region(70);

    vlease_load(v, 1);
    for (int i = 0; i < 40; i++) {
        vlease_run(v, READY_US + (int64_t)i * 100 * MSEC);
        vlease_gap(v, (uint32_t)(i % 2), (uint32_t)(i % 4 + 2));
    }
    vlease_run(v, READY_US + 6 * SEC);
    drain_load(v, READY_US + 6 * SEC);
    vlease_free(v);
}

/* Upstreams execute a tenth of the calls three seconds late and do not answer
 * them.  The task of a lost start is placed elsewhere; the late start must be
 * refused because its deadline has passed or its run was stopped. */
static void
late_starts_do_not_overlap(void)
{
    for (uint64_t seed = 80; seed < 86; seed++) {
        struct vlease *v = new_region(seed);

        vlease_load(v, 1);
        for (uint32_t i = 0; i < 24; i += 2) {
            vlease_trouble(v, i, VLEASE_DELAYS);
        }
        vlease_run(v, READY_US + 8 * SEC);
        for (uint32_t i = 0; i < 24; i += 2) {
            vlease_trouble(v, i, VLEASE_SOUND);
        }
        vlease_run(v, READY_US + 14 * SEC);
        drain_load(v, READY_US + 14 * SEC);
        vlease_free(v);
    }
}

/* Upstreams stop answering, are disconnected but keep running, or die.  Their
 * tasks may be placed elsewhere only after their lease has certainly
 * expired. */
static void
tasks_of_silent_upstream_wait_for_lease_end(void)
{
    static const enum vlease_trouble troubles[] = {VLEASE_MUTE, VLEASE_CUT,
                                                   VLEASE_DEAD};

    for (uint64_t seed = 90; seed < 99; seed++) {
        struct vlease *v = new_region(seed);

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
        drain_load(v, READY_US + 12 * SEC);
        vlease_free(v);
    }
}

/* Upstreams restart under their names: their runs are gone, clock and fence
 * start again, and calls to the earlier incarnation may still arrive. */
static void
restarted_upstream_has_no_state(void)
{
    for (uint64_t seed = 100; seed < 110; seed++) {
        struct vlease *v = new_region(seed);

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
        drain_load(v, READY_US + 8 * SEC);
        CU_ASSERT_TRUE(vlease_figures(v, 0).completed * 20 >
                       vlease_figures(v, 0).asked * 19);
        vlease_free(v);
    }
}

/* Upstreams announce that they leave, and end four seconds later. */
static void
leaving_upstream_gets_no_new_tasks(void)
{
    struct vlease *v = new_region(120);
    struct vlease_figures f;

    vlease_load(v, 1);
    vlease_run(v, READY_US + 1 * SEC);
    vlease_trouble(v, 1, VLEASE_LEAVING);
    vlease_trouble(v, 9, VLEASE_LEAVING);
    vlease_run(v, READY_US + 9 * SEC);
    drain_load(v, READY_US + 9 * SEC);
    f = vlease_figures(v, 0);
    CU_ASSERT_EQUAL(f.completed, f.asked);
    vlease_free(v);
}

/* Some upstreams fail every task at once and are therefore always idle.  They
 * must not attract the load. */
static void
failing_upstreams_are_avoided(void)
{
    struct vlease *v = new_region(130);
    struct vlease_figures f;

    vlease_load(v, 1);
    vlease_trouble(v, 2, VLEASE_FAILS);
    vlease_trouble(v, 12, VLEASE_FAILS);
    vlease_run(v, READY_US + 10 * SEC);
    drain_load(v, READY_US + 10 * SEC);
    f = vlease_figures(v, 0);
    CU_ASSERT_TRUE(f.completed * 100 > f.asked * 97);
    vlease_free(v);
}

/* Tasks on some upstreams make no progress although the upstreams answer.  The
 * tasks are stopped and run elsewhere. */
static void
stalled_tasks_are_restarted_elsewhere(void)
{
    struct vlease *v = new_region(140);
    struct vlease_figures f;

    vlease_load(v, 1);
    vlease_trouble(v, 3, VLEASE_HANGS);
    vlease_trouble(v, 11, VLEASE_HANGS);
    vlease_run(v, READY_US + 8 * SEC);
    vlease_trouble(v, 3, VLEASE_SOUND);
    vlease_trouble(v, 11, VLEASE_SOUND);
    drain_load(v, READY_US + 8 * SEC);
    f = vlease_figures(v, 0);
    CU_ASSERT_TRUE(f.completed * 100 > f.asked * 97);
    vlease_free(v);
}

/* A planned stop of a broker, which may hold the upstreams of its zone:
 * running jobs are completed, jobs that have not started go to its successor,
 * and the stop ends in time. */
static void
planned_stop_loses_no_jobs(void)
{
    for (uint64_t seed = 150; seed < 156; seed++) {
        struct vlease *v = new_region(seed);
        uint32_t broker = (uint32_t)(seed % 6);
        struct vlease_figures f;

        vlease_load(v, 1);
        vlease_run(v, READY_US + 2 * SEC);
        vlease_stop(v, broker);
        vlease_run(v, READY_US + 8 * SEC);
        CU_ASSERT_TRUE(vlease_stopped(v, broker));
        drain_load(v, READY_US + 8 * SEC);
        f = vlease_figures(v, 0);
        CU_ASSERT_EQUAL(f.failed, 0);
        CU_ASSERT_TRUE(f.completed * 100 > f.asked * 98);
        vlease_free(v);
    }
}

/* A caller whose connection broke submits the same job to another broker while
 * the first submission still runs. */
static void
job_submitted_twice_runs_once(void)
{
    struct vlease *v = new_region(160);
    uint64_t job = vlease_submit(v, 0, 0);

    vlease_run(v, READY_US + 10 * MSEC);
    vlease_resubmit(v, job, 1);
    vlease_run(v, READY_US + 2 * SEC);
    CU_ASSERT_EQUAL(vlease_outcome(v, job), JOB_COMPLETED_OUTCOME);
    CU_ASSERT_EQUAL(vlease_starts(v), 4);
    drain_load(v, READY_US + 2 * SEC);
    vlease_free(v);
}

/* The caller disconnects before the answer: the runs of its job are stopped.
 */
static void
runs_are_stopped_when_the_caller_leaves(void)
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
    drain_load(v, READY_US + 300 * MSEC);
    vlease_free(v);
}

/* An idle holder is disconnected from the other brokers; its successor takes
 * the upstreams and returns them when the connection is back.  If the first
 * holder does not notice, it starts tasks with a fence that all upstreams
 * refuse, and jobs fail although the zone is idle. */
static void
idle_holder_detects_its_replacement(void)
{
    for (uint64_t seed = 170; seed < 176; seed++) {
        struct vlease *v = new_region(seed);
        uint64_t job;

        vlease_cut(v, 0, true, false);
        vlease_run(v, READY_US + 3 * SEC);
        vlease_cut(v, 0, false, false);
        vlease_run(v, READY_US + 5 * SEC);
        job = vlease_submit(v, 0, 0);
        vlease_run(v, READY_US + 6 * SEC);
        CU_ASSERT_EQUAL(vlease_outcome(v, job), JOB_COMPLETED_OUTCOME);
        drain_load(v, READY_US + 6 * SEC);
        vlease_free(v);
    }
}

static void
inject_upstream_faults(struct vlease *v, uint64_t *random, uint32_t n)
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
inject_broker_fault(struct vlease *v, uint64_t *random, uint32_t round)
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

/* Faults of all kinds overlap and end again, chosen by the seed. */
static void
run_random_faults(uint64_t seed)
{
    struct vlease *v = new_region(seed);
    uint64_t random = seed * 77777;
    int64_t at = READY_US;

    vlease_load(v, 1);
    for (uint32_t round = 0; round < 6; round++) {
        inject_upstream_faults(v, &random, 3);
        inject_broker_fault(v, &random, round);
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
    drain_load(v, at + 4 * SEC);
    vlease_free(v);
}

static void
random_faults_overlap(void)
{
    for (uint64_t seed = 1000; seed < 1040; seed++) {
        unsigned int before = CU_get_number_of_failures();

        run_random_faults(seed);
        if (CU_get_number_of_failures() != before) {
            (void)fprintf(stderr, "random_faults_overlap: seed %llu\n",
                          (unsigned long long)seed);
        }
    }
}

void
suite_broker(void)
{
#define TEST(name) check_add("broker", #name, name)
    TEST(jobs_are_in_time_without_faults);
    TEST(restarted_region_takes_known_upstreams);
    TEST(stored_upstreams_are_used_soon_after_power_loss);
    TEST(power_loss_with_lost_registry_disks);
    TEST(stored_upstreams_changed_during_power_loss);
    TEST(last_stopping_broker_of_a_zone_keeps_serving);
    TEST(draining_broker_hands_over_to_restarted_broker);
    TEST(jobs_of_killed_runner_are_resubmitted);
    TEST(paused_broker_gives_up_its_upstreams);
    TEST(disconnected_broker_and_its_successor);
    TEST(offers_lost_with_a_connection);
    TEST(late_starts_do_not_overlap);
    TEST(tasks_of_silent_upstream_wait_for_lease_end);
    TEST(restarted_upstream_has_no_state);
    TEST(leaving_upstream_gets_no_new_tasks);
    TEST(failing_upstreams_are_avoided);
    TEST(stalled_tasks_are_restarted_elsewhere);
    TEST(planned_stop_loses_no_jobs);
    TEST(job_submitted_twice_runs_once);
    TEST(runs_are_stopped_when_the_caller_leaves);
    TEST(idle_holder_detects_its_replacement);
    TEST(random_faults_overlap);
#undef TEST
}
