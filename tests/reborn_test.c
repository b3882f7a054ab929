/* Upstreams that start anew under their id, among calls of before. */
#include <stdio.h>
#include <string.h>

#include "check.h"
#include "vlease.h"

#define MSEC USEC_PER_MSEC
#define SEC USEC_PER_SEC
#define READY_US (6 * SEC) /* upstreams are known and held by then */
/* Heartbeats of upstreams come so often. */
#define HEARTBEAT_US (1500 * MSEC)
enum { SEEDS = 20, LOAD_SEEDS = 200 };

/* The first start of job 1 is late by 3 s, see vlease_hook(). */
struct late_start {
    uint32_t runner;
    uint32_t upstream;
};

static enum vlease_fate
delay_first_start(void *ctx, struct vlease *v, const struct vlease_hop *hop)
{
    struct late_start *l = ctx;

    (void)v;
    if (l->upstream != VLEASE_NOBODY || strcmp(hop->label, "start") != 0) {
        return VLEASE_PASS;
    }
    l->runner = hop->from;
    l->upstream = hop->upstream;
    return VLEASE_DELAY;
}

/* One zone with upstreams of two sizes; jobs of one long task each.  The job
 * of queue 0 goes to a small upstream first, and to a large one when a job of
 * queue 1 has left just its room there. */
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

/* Seeds in which two runs of a task overlapped. */
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
end_with_overlap(struct vlease *v)
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
    struct late_start l = {.upstream = VLEASE_NOBODY};

    vlease_set_hook(v, delay_first_start, &l);
    (void)vlease_submit(v, 0, 0);
    vlease_run(v, READY_US + 20 * MSEC);
    (void)vlease_submit(v, 0, 1);
    vlease_run(v, READY_US + 2950 * MSEC);
    vlease_reborn(v, l.upstream);
    return end_with_overlap(v);
}

/* A start gets no answer; its stop is confirmed and the task is placed
 * elsewhere.  The upstream starts anew, forgets the stop, and the start
 * arrives before it announces itself. */
static void
late_start_after_its_stop_meets_a_new_life(void)
{
    CU_ASSERT_EQUAL(count_overlaps(play_stopped_start, SEEDS, HEARTBEAT_US),
                    0);
}

static bool
play_mute(uint64_t seed, int64_t silent_us)
{
    struct vlease *v = long_jobs(seed, 2, silent_us);
    struct late_start l = {.upstream = VLEASE_NOBODY};

    vlease_set_hook(v, delay_first_start, &l);
    (void)vlease_submit(v, 0, 0);
    vlease_run(v, READY_US + 5 * MSEC);
    vlease_trouble(v, l.upstream, VLEASE_MUTE);
    vlease_run(v, READY_US + 2990 * MSEC);
    vlease_reborn(v, l.upstream);
    return end_with_overlap(v);
}

/* An upstream falls silent while a start to it is not answered; the lease
 * passes and the task is placed elsewhere.  The upstream starts anew and the
 * start arrives before a look of the holder. */
static void
late_start_meets_a_new_life_of_a_silent_upstream(void)
{
    CU_ASSERT_EQUAL(count_overlaps(play_mute, SEEDS, HEARTBEAT_US), 0);
}

/* A third of the upstreams loses a tenth of its calls, which are carried out 3
 * s later, dies then and starts anew. */
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
    return end_with_overlap(v);
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

/* The same among other work, by seed: late starts reach a new life before the
 * look of a holder that found the old one silent. */
static void
late_starts_meet_new_lives(void)
{
    CU_ASSERT_EQUAL(count_overlaps(play_many_jobs, LOAD_SEEDS, HEARTBEAT_US),
                    0);
}

static void
late_starts_meet_new_lives_among_few_jobs(void)
{
    CU_ASSERT_EQUAL(count_overlaps(play_few_jobs, LOAD_SEEDS, HEARTBEAT_US),
                    0);
}

/* The only broker, or one of two, is killed while its first start is not
 * answered; its job is handed in again and goes to another upstream. */
static struct vlease *
lose_runner(uint64_t seed, uint32_t brokers, int64_t silent_us,
            struct late_start *l)
{
    struct vlease *v = long_jobs(seed, brokers, silent_us);

    l->upstream = VLEASE_NOBODY;
    vlease_set_hook(v, delay_first_start, l);
    (void)vlease_submit(v, 0, 0);
    vlease_run(v, READY_US + 100 * MSEC);
    vlease_kill(v, l->runner);
    return v;
}

static bool
play_changed_holder(uint64_t seed, int64_t silent_us)
{
    struct late_start l;
    struct vlease *v = lose_runner(seed, 2, silent_us, &l);

    vlease_run(v, READY_US + 900 * MSEC);
    (void)vlease_submit(v, 1 - l.runner, 1);
    vlease_run(v, READY_US + 2900 * MSEC);
    vlease_reborn(v, l.upstream);
    return end_with_overlap(v);
}

/* The holder of the old life is gone, another has taken the upstream, and the
 * new life announces itself before the late start arrives: it has to meet a
 * higher fence. */
static void
late_start_of_a_lost_holder_meets_a_higher_fence(void)
{
    CU_ASSERT_EQUAL(count_overlaps(play_changed_holder, SEEDS, MSEC), 0);
}

/* The same with a new life that announces itself after the late start. */
static void
late_start_of_a_lost_holder_meets_a_new_life(void)
{
    CU_ASSERT_EQUAL(count_overlaps(play_changed_holder, SEEDS, HEARTBEAT_US),
                    0);
}

/* The clock of its machine is set back by so much while the broker is down. */
static bool
play_restart(uint64_t seed, int64_t back_us, bool reborn)
{
    struct late_start l;
    struct vlease *v = lose_runner(seed, 1, MSEC, &l);

    vlease_clock(v, 0, -back_us);
    if (reborn) {
        vlease_reborn(v, l.upstream);
    }
    vlease_run(v, READY_US + 150 * MSEC);
    vlease_start(v, 0);
    vlease_run(v, READY_US + 900 * MSEC);
    (void)vlease_submit(v, 0, 1);
    return end_with_overlap(v);
}

static bool
play_restart_same_life(uint64_t seed, int64_t back_us)
{
    return play_restart(seed, back_us, false);
}

static bool
play_restart_new_life(uint64_t seed, int64_t back_us)
{
    return play_restart(seed, back_us, true);
}

/* A holder starts again with an empty memory while a start of before is not
 * answered; its clock may have been set back. */
static void
late_start_of_before_a_restart_meets_a_higher_fence(void)
{
    CU_ASSERT_EQUAL(count_overlaps(play_restart_same_life, SEEDS, 0), 0);
    CU_ASSERT_EQUAL(count_overlaps(play_restart_same_life, SEEDS, 8 * SEC), 0);
    CU_ASSERT_EQUAL(count_overlaps(play_restart_new_life, SEEDS, 0), 0);
}

/* The upstream starts anew too and refuses no fence, so a holder whose clock
 * was set back takes it under a lower one than that of the late start. */
static void
late_start_of_before_a_clock_was_set_back(void)
{
    CU_ASSERT_EQUAL(count_overlaps(play_restart_new_life, SEEDS, 8 * SEC), 0);
}

void
suite_reborn(void)
{
#define TEST(name) check_add("reborn", #name, name)
    TEST(late_start_after_its_stop_meets_a_new_life);
    TEST(late_start_meets_a_new_life_of_a_silent_upstream);
    TEST(late_starts_meet_new_lives);
    TEST(late_starts_meet_new_lives_among_few_jobs);
    TEST(late_start_of_a_lost_holder_meets_a_higher_fence);
    TEST(late_start_of_a_lost_holder_meets_a_new_life);
    TEST(late_start_of_before_a_restart_meets_a_higher_fence);
    TEST(late_start_of_before_a_clock_was_set_back);
#undef TEST
}
