/* Upstreams that restart under the same id, while calls to their earlier
 * incarnation are still in progress. */
#include <stdio.h>
#include <string.h>

#include "check.h"
#include "vlease.h"

#define MSEC USEC_PER_MSEC
#define SEC USEC_PER_SEC
#define READY_US (6 * SEC) /* upstreams are known and held by then */
/* Interval of upstreams' heartbeats. */
#define HEARTBEAT_US (1500 * MSEC)
/* Time that an upstream of labelled_jobs() takes to restart. */
#define DOWN_US (50 * MSEC)
enum { SEEDS = 20, LOAD_SEEDS = 200, ZONE_UPSTREAMS = 8, RESTARTS = 16 };

/* The first start, of job 1, is delayed by 3 s, see vlease_hook(). */
struct late_start {
    uint32_t runner;
    uint32_t upstream;
};

static enum vlease_fate
delay_first_start(void *ctx, struct vlease *v, const struct vlease_hop *hop)
{
    struct late_start *late = ctx;

    (void)v;
    if (late->upstream != VLEASE_NOBODY || strcmp(hop->label, "start") != 0) {
        return VLEASE_PASS;
    }
    late->runner = hop->from;
    late->upstream = hop->upstream;
    return VLEASE_DELAY;
}

/* One zone with upstreams of two sizes; jobs of one long task each.  A job of
 * queue 0 is placed on a small upstream at first, and on a large one when a
 * job of queue 1 leaves exactly enough capacity there. */
static struct vlease *
long_jobs(uint64_t seed, uint32_t brokers, int64_t reborn_silent_us)
{
    struct vlease_options o = vlease_options_default();
    struct vlease *v;

    o.seed = seed;
    o.zones = 1;
    o.brokers = brokers;
    o.cpu_large_milli = 48000;
    o.reborn_silent_us = reborn_silent_us;
    o.n_queues = 2;
    o.queues[0].tasks = 1;
    o.queues[0].run_us = 6 * SEC;
    o.queues[0].timeout_us = 20 * SEC;
    o.queues[1] = o.queues[0];
    o.queues[1].cpu_milli = 33000;
    v = vlease_new(&o);
    vlease_run(v, READY_US);
    return v;
}

/* Returns the number of seeds in which two runs of a task overlapped. */
static uint32_t
count_overlaps(bool (*play)(uint64_t seed, int64_t silent_us), uint32_t seeds,
               int64_t silent_us)
{
    uint32_t n = 0;

    for (uint64_t seed = 1; seed <= seeds; seed++) {
        if (play(seed, silent_us)) {
            (void)fprintf(stderr, "reborn: two runs at one time, seed %llu\n",
                          (unsigned long long)seed);
            n++;
        }
    }
    return n;
}

static bool
finish_and_check_overlap(struct vlease *v)
{
    struct vlease_faults f;

    vlease_set_hook(v, NULL, NULL);
    vlease_run(v, READY_US + 30 * SEC);
    f = vlease_faults(v);
    vlease_free(v);
    return f.overlaps > 0;
}

static bool
play_stopped_start(uint64_t seed, int64_t silent_us)
{
    struct vlease *v = long_jobs(seed, 2, silent_us);
    struct late_start late = {.upstream = VLEASE_NOBODY};

    vlease_set_hook(v, delay_first_start, &late);
    (void)vlease_submit(v, 0, 0);
    vlease_run(v, READY_US + 20 * MSEC);
    (void)vlease_submit(v, 0, 1);
    vlease_run(v, READY_US + 2950 * MSEC);
    vlease_reborn(v, late.upstream);
    return finish_and_check_overlap(v);
}

/* Guards against two runs of a task at one time.  A start gets no answer, its
 * stop is confirmed, and the task is placed elsewhere.  The upstream restarts
 * without knowledge of the stop, and the start arrives before the upstream
 * announces itself. */
static void
late_start_after_stop_reaches_new_incarnation(void)
{
    CU_ASSERT_EQUAL(count_overlaps(play_stopped_start, SEEDS, HEARTBEAT_US),
                    0);
}

static bool
play_unresponsive(uint64_t seed, int64_t silent_us)
{
    struct vlease *v = long_jobs(seed, 2, silent_us);
    struct late_start late = {.upstream = VLEASE_NOBODY};

    vlease_set_hook(v, delay_first_start, &late);
    (void)vlease_submit(v, 0, 0);
    vlease_run(v, READY_US + 5 * MSEC);
    vlease_trouble(v, late.upstream, VLEASE_MUTE);
    vlease_run(v, READY_US + 2990 * MSEC);
    vlease_reborn(v, late.upstream);
    return finish_and_check_overlap(v);
}

/* Guards against two runs of a task at one time.  An upstream becomes
 * unresponsive while a start is unanswered; the lease expires and the task is
 * placed elsewhere.  The upstream restarts, and the start arrives before a
 * poll of the holder. */
static void
late_start_reaches_new_incarnation_of_silent_upstream(void)
{
    CU_ASSERT_EQUAL(count_overlaps(play_unresponsive, SEEDS, HEARTBEAT_US), 0);
}

/* A third of the upstreams lose the answers of a tenth of their calls, which
 * are carried out 3 s later; then these upstreams are killed and restarted. */
static bool
play_load(uint64_t seed, int64_t silent_us, double per_s)
{
    struct vlease_options o = vlease_options_default();
    struct vlease *v;

    o.seed = seed;
    o.reborn_silent_us = silent_us;
    o.queues[0].run_us = 4 * SEC;
    o.queues[0].timeout_us = 16 * SEC;
    o.queues[0].spread = 0.4;
    o.queues[0].per_s = per_s;
    v = vlease_new(&o);
    vlease_run(v, READY_US);
    vlease_load(v, 1);
    vlease_run(v, READY_US + 1 * SEC);
    for (uint32_t i = 0; i < 24; i += 3) {
        vlease_trouble(v, i, VLEASE_DELAYS);
    }
    vlease_run(v, READY_US + 2 * SEC);
    for (uint32_t i = 0; i < 24; i += 3) {
        vlease_trouble(v, i, VLEASE_DEAD);
    }
    vlease_run(v, READY_US + 4 * SEC);
    for (uint32_t i = 0; i < 24; i += 3) {
        vlease_reborn(v, i);
    }
    vlease_run(v, READY_US + 8 * SEC);
    vlease_load(v, 0);
    return finish_and_check_overlap(v);
}

static bool
play_few_jobs(uint64_t seed, int64_t silent_us)
{
    return play_load(seed, silent_us, 1.5);
}

static bool
play_many_jobs(uint64_t seed, int64_t silent_us)
{
    return play_load(seed, silent_us, 3);
}

/* The same under load: late starts reach a new incarnation before a poll of
 * the holder, which found the earlier incarnation unresponsive. */
static void
late_starts_reach_new_incarnations(void)
{
    CU_ASSERT_EQUAL(count_overlaps(play_many_jobs, LOAD_SEEDS, HEARTBEAT_US),
                    0);
}

static void
late_starts_reach_new_incarnations_with_few_jobs(void)
{
    CU_ASSERT_EQUAL(count_overlaps(play_few_jobs, LOAD_SEEDS, HEARTBEAT_US),
                    0);
}

/* Seeds in which a task was moved away from the upstream of its lost start
 * after a later run there had ended. */
static void
late_starts_reach_new_incarnations_after_later_runs(void)
{
    CU_ASSERT_FALSE(play_many_jobs(1073, HEARTBEAT_US));
    CU_ASSERT_FALSE(play_many_jobs(1090, HEARTBEAT_US));
}

/* The caller leaves, and submits its job again at the same broker. */
static bool
play_resubmission(uint64_t seed, int64_t silent_us)
{
    struct vlease *v = long_jobs(seed, 1, silent_us);
    struct late_start late = {.upstream = VLEASE_NOBODY};
    uint64_t job;

    vlease_set_hook(v, delay_first_start, &late);
    job = vlease_submit(v, 0, 0);
    vlease_run(v, READY_US + 5 * MSEC);
    vlease_trouble(v, late.upstream, VLEASE_MUTE);
    vlease_run(v, READY_US + 1500 * MSEC);
    vlease_leave(v, job);
    vlease_run(v, READY_US + 2000 * MSEC);
    vlease_resubmit(v, job, 0);
    vlease_run(v, READY_US + 2990 * MSEC);
    vlease_reborn(v, late.upstream);
    return finish_and_check_overlap(v);
}

/* Guards against two runs of a task at one time.  The job of a lost start is
 * submitted again and placed on another upstream. */
static void
late_start_of_earlier_submission_reaches_new_incarnation(void)
{
    CU_ASSERT_EQUAL(count_overlaps(play_resubmission, SEEDS, HEARTBEAT_US), 0);
}

/* Guards against a job that waits until its deadline for the upstream of a
 * lost start, although it can't be run in time any more. */
static void
job_of_silent_upstream_is_answered_before_its_deadline(void)
{
    struct vlease *v = long_jobs(1, 1, HEARTBEAT_US);
    struct late_start late = {.upstream = VLEASE_NOBODY};
    uint64_t job;

    vlease_set_hook(v, delay_first_start, &late);
    job = vlease_submit(v, 0, 0);
    vlease_run(v, READY_US + 5 * MSEC);
    vlease_trouble(v, late.upstream, VLEASE_MUTE);
    vlease_run(v, READY_US + 13 * SEC);
    CU_ASSERT_FALSE(vlease_unclear(v, job));
    vlease_run(v, READY_US + 15 * SEC);
    CU_ASSERT_TRUE(vlease_unclear(v, job));
    vlease_free(v);
}

/* The only broker, or one of two, is killed while its first start is
 * unanswered; the tests then submit its job again, which is placed on another
 * upstream. */
static struct vlease *
lose_runner(uint64_t seed, uint32_t brokers, int64_t silent_us,
            struct late_start *late)
{
    struct vlease *v = long_jobs(seed, brokers, silent_us);

    late->upstream = VLEASE_NOBODY;
    vlease_set_hook(v, delay_first_start, late);
    (void)vlease_submit(v, 0, 0);
    vlease_run(v, READY_US + 100 * MSEC);
    vlease_kill(v, late->runner);
    return v;
}

static bool
play_changed_holder(uint64_t seed, int64_t silent_us)
{
    struct late_start late;
    struct vlease *v = lose_runner(seed, 2, silent_us, &late);

    vlease_run(v, READY_US + 900 * MSEC);
    (void)vlease_submit(v, 1 - late.runner, 1);
    vlease_run(v, READY_US + 2900 * MSEC);
    vlease_reborn(v, late.upstream);
    return finish_and_check_overlap(v);
}

/* Guards against two runs of a task at one time.  The holder is lost, another
 * broker has taken the upstream, and the upstream restarts and announces
 * itself before the late start arrives.  A higher fence must refuse that
 * start. */
static void
late_start_of_lost_holder_meets_higher_fence(void)
{
    CU_ASSERT_EQUAL(count_overlaps(play_changed_holder, SEEDS, MSEC), 0);
}

/* The same, where the upstream announces itself after the late start. */
static void
late_start_of_lost_holder_reaches_new_incarnation(void)
{
    CU_ASSERT_EQUAL(count_overlaps(play_changed_holder, SEEDS, HEARTBEAT_US),
                    0);
}

/* Guards against a job that waits until its deadline after its runner was lost
 * with an unanswered start: nobody knows which upstream may execute it. */
static void
job_of_lost_holder_is_answered_at_once(void)
{
    struct late_start late;
    struct vlease *v = lose_runner(1, 2, HEARTBEAT_US, &late);

    vlease_run(v, READY_US + 900 * MSEC);
    CU_ASSERT_TRUE(vlease_unclear(v, 1));
    vlease_run(v, READY_US + 1500 * MSEC); /* submitted again 0.1 s ago */
    CU_ASSERT_TRUE(vlease_unclear(v, 1));
    CU_ASSERT_EQUAL(vlease_running(v), 0);
    vlease_free(v);
}

/* While the broker is down, its machine's clock is set back by @back_us, and
 * the upstream restarts if @new_incarnation. */
static bool
play_restart(uint64_t seed, int64_t back_us, bool new_incarnation)
{
    struct late_start late;
    struct vlease *v = lose_runner(seed, 1, MSEC, &late);

    vlease_clock(v, 0, -back_us);
    if (new_incarnation) {
        vlease_reborn(v, late.upstream);
    }
    vlease_run(v, READY_US + 150 * MSEC);
    vlease_start(v, 0);
    vlease_run(v, READY_US + 900 * MSEC);
    (void)vlease_submit(v, 0, 1);
    return finish_and_check_overlap(v);
}

static bool
play_restart_same_incarnation(uint64_t seed, int64_t back_us)
{
    return play_restart(seed, back_us, false);
}

static bool
play_restart_new_incarnation(uint64_t seed, int64_t back_us)
{
    return play_restart(seed, back_us, true);
}

/* Guards against two runs of a task at one time.  A holder is restarted, and
 * knows nothing of a start that is still unanswered; its clock may have been
 * set back.  A higher fence must refuse that start. */
static void
late_start_from_before_restart_meets_higher_fence(void)
{
    CU_ASSERT_EQUAL(count_overlaps(play_restart_same_incarnation, SEEDS, 0),
                    0);
    CU_ASSERT_EQUAL(
        count_overlaps(play_restart_same_incarnation, SEEDS, 8 * SEC), 0);
    CU_ASSERT_EQUAL(count_overlaps(play_restart_new_incarnation, SEEDS, 0), 0);
}

/* The same, where the upstream restarts too and thus refuses no fence.  The
 * holder, whose clock was set back, takes it under a lower fence than that of
 * the late start. */
static void
late_start_from_before_clock_set_back(void)
{
    CU_ASSERT_EQUAL(
        count_overlaps(play_restart_new_incarnation, SEEDS, 8 * SEC), 0);
}

/* One zone of upstreams of two kinds; half of the jobs require each kind. */
static struct vlease *
labelled_jobs(uint64_t seed, int64_t silent_us, double per_s)
{
    struct vlease_options o = vlease_options_default();
    struct vlease *v;

    o.seed = seed;
    o.zones = 1;
    o.kinds = true;
    o.reborn_silent_us = silent_us;
    o.n_queues = 2;
    o.queues[0].run_us = 200 * MSEC;
    o.queues[0].per_s = per_s;
    o.queues[0].requirement = name_of("a");
    o.queues[1] = o.queues[0];
    o.queues[1].requirement = name_of("b");
    v = vlease_new(&o);
    vlease_run(v, READY_US);
    vlease_load(v, 1);
    return v;
}

/* One upstream after the other restarts as one of the other kind.  Frees the
 * region and returns the number of starts without the required label. */
static uint32_t
restart_in_turn(struct vlease *v)
{
    int64_t now_us = READY_US;
    uint32_t n;

    for (uint32_t i = 0; i < RESTARTS; i++) {
        vlease_run(v, now_us += 700 * MSEC);
        vlease_trouble(v, i * 5 % ZONE_UPSTREAMS, VLEASE_DEAD);
        vlease_run(v, now_us += DOWN_US);
        vlease_reborn(v, i * 5 % ZONE_UPSTREAMS);
    }
    vlease_run(v, now_us + 3 * SEC);
    n = vlease_faults(v).wrong_label;
    CU_ASSERT_TRUE(vlease_figures(v, 0).completed > 10);
    CU_ASSERT_TRUE(vlease_figures(v, 1).completed > 10);
    vlease_free(v);
    return n;
}

/* Guards against tasks started by the labels of an upstream's earlier
 * incarnation, where a poll shows the new one before a registry reports it. */
static void
restarted_upstream_gets_no_task_before_its_report(void)
{
    for (uint64_t seed = 1; seed <= SEEDS; seed++) {
        struct vlease *v = labelled_jobs(seed, HEARTBEAT_US, 20);

        CU_ASSERT_EQUAL(restart_in_turn(v), 0);
    }
}

/* The same, where nothing has shown the new incarnation: the upstream was
 * idle. */
static void
idle_upstream_is_polled_before_a_task_that_requires_a_label(void)
{
    for (uint64_t seed = 1; seed <= SEEDS; seed++) {
        struct vlease *v = labelled_jobs(seed, HEARTBEAT_US, 2);

        CU_ASSERT_EQUAL(restart_in_turn(v), 0);
    }
}

void
suite_reborn(void)
{
#define TEST(name) check_add("reborn", #name, name)
    TEST(late_start_after_stop_reaches_new_incarnation);
    TEST(late_start_reaches_new_incarnation_of_silent_upstream);
    TEST(late_starts_reach_new_incarnations);
    TEST(late_starts_reach_new_incarnations_with_few_jobs);
    TEST(late_starts_reach_new_incarnations_after_later_runs);
    TEST(late_start_of_earlier_submission_reaches_new_incarnation);
    TEST(job_of_silent_upstream_is_answered_before_its_deadline);
    TEST(late_start_of_lost_holder_meets_higher_fence);
    TEST(late_start_of_lost_holder_reaches_new_incarnation);
    TEST(job_of_lost_holder_is_answered_at_once);
    TEST(late_start_from_before_restart_meets_higher_fence);
    TEST(late_start_from_before_clock_set_back);
    TEST(restarted_upstream_gets_no_task_before_its_report);
    TEST(idle_upstream_is_polled_before_a_task_that_requires_a_label);
#undef TEST
}
