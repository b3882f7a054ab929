/* Lives of one job that is handed in again: at most one run of a task at a
 * time, whichever runners they have. */
#include <stdio.h>
#include <string.h>

#include "check.h"
#include "vlease.h"

#define MSEC USEC_PER_MSEC
#define SEC USEC_PER_SEC
#define READY_US (6 * SEC) /* upstreams are known and held by then */
#define RUN_US (3 * SEC)
#define RESEND_US (1300 * MSEC)
#define SEEDS 20
/* Of the default region: zone 0 has these; its runner is broker 0.  Every
 * third upstream has a slow clock. */
enum { TAKER = 1, OTHER_ZONE = 2, ZONE_UPSTREAMS = 8, SLOW_EACH = 3 };
enum { SHORT_TASKS = 2 };

/* The callers of these tests are handed in again by the test alone. */
static struct vlease_options
long_jobs(uint64_t seed)
{
    struct vlease_options o = vlease_options_default();

    o.seed = seed;
    o.resend_us = 60 * SEC;
    o.queues[0].run_us = RUN_US;
    o.queues[0].timeout_us = 12 * SEC;
    return o;
}

static struct vlease *
ready_region(const struct vlease_options *o)
{
    struct vlease *v = vlease_new(o);

    vlease_run(v, READY_US);
    return v;
}

/* Stops of a lossy path; @ctx tells whether it loses them now. */
static enum vlease_fate
lose_stops(void *ctx, struct vlease *v, const struct vlease_hop *hop)
{
    const bool *losing = ctx;

    (void)v;
    return *losing && strcmp(hop->label, "stop") == 0 ? VLEASE_LOSE
                                                      : VLEASE_PASS;
}

static void
trouble_zone(struct vlease *v, enum vlease_trouble trouble)
{
    for (uint32_t i = 0; i < ZONE_UPSTREAMS; i++) {
        vlease_trouble(v, i, trouble);
    }
}

static void
assert_no_fault(const struct vlease *v, const char *test, uint64_t seed)
{
    struct vlease_faults f = vlease_faults(v);

    CU_ASSERT_EQUAL(f.overlaps, 0);
    CU_ASSERT_EQUAL(f.over_room, 0);
    CU_ASSERT_EQUAL(f.false_refusals, 0);
    CU_ASSERT_EQUAL(f.leaving, 0);
    CU_ASSERT_EQUAL(f.answers_twice, 0);
    if (vlease_broken(f) > 0) {
        (void)fprintf(stderr,
                      "%s: seed %llu: overlaps %u, over room %u, false "
                      "refusals %u, at leaving %u, answered twice %u\n",
                      test, (unsigned long long)seed, f.overlaps, f.over_room,
                      f.false_refusals, f.leaving, f.answers_twice);
    }
}

/* Everything comes to its end, and the job was run. */
static void
assert_job_ends(struct vlease *v, uint64_t job, int64_t now_us,
                const char *test, uint64_t seed)
{
    vlease_run(v, now_us + 12 * SEC);
    CU_ASSERT_EQUAL(vlease_outcome(v, job), JOB_COMPLETED_OUTCOME);
    CU_ASSERT_EQUAL(vlease_running(v), 0);
    assert_no_fault(v, test, seed);
}

/* The taker of a job is killed, and on the path to its upstreams stops are
 * lost while looks get through. */
static void
taker_dies_and_stops_are_lost(void)
{
    for (uint64_t seed = 1; seed <= SEEDS; seed++) {
        struct vlease_options o = long_jobs(seed);
        struct vlease *v = ready_region(&o);
        int64_t broken_us = READY_US + 200 * MSEC;
        bool losing = true;
        uint64_t job = vlease_submit(v, TAKER, 0);

        vlease_set_hook(v, lose_stops, &losing);
        vlease_run(v, broken_us);
        CU_ASSERT_EQUAL(vlease_running(v), 4);
        vlease_kill(v, TAKER);
        vlease_run(v, broken_us + RESEND_US);
        vlease_resubmit(v, job, OTHER_ZONE);
        vlease_run(v, broken_us + RESEND_US + 1400 * MSEC);
        losing = false;
        assert_job_ends(v, job, broken_us + RESEND_US + 1400 * MSEC, __func__,
                        seed);
        vlease_free(v);
    }
}

/* The taker falls silent, and before its runner notices the runner's upstreams
 * are cut off, so that no stop reaches them. */
static void
taker_falls_silent_before_upstreams_are_cut_off(void)
{
    for (uint64_t seed = 1; seed <= SEEDS; seed++) {
        struct vlease_options o = long_jobs(seed);
        struct vlease *v = ready_region(&o);
        int64_t silent_us = READY_US + 200 * MSEC;
        uint64_t job = vlease_submit(v, TAKER, 0);

        vlease_run(v, silent_us);
        CU_ASSERT_EQUAL(vlease_running(v), 4);
        vlease_cut(v, TAKER, true, true);
        vlease_run(v, silent_us + 700 * MSEC);
        trouble_zone(v, VLEASE_CUT);
        vlease_run(v, silent_us + RESEND_US);
        vlease_resubmit(v, job, OTHER_ZONE);
        vlease_run(v, silent_us + RESEND_US + 1400 * MSEC);
        trouble_zone(v, VLEASE_SOUND);
        vlease_cut(v, TAKER, false, false);
        assert_job_ends(v, job, silent_us + RESEND_US + 1400 * MSEC, __func__,
                        seed);
        vlease_free(v);
    }
}

/* The caller leaves and comes back at once, twice, while stops are lost.  The
 * second life is dropped while it waits for the first; the third must wait for
 * the first no less. */
static void
third_life_waits_for_the_first(void)
{
    for (uint64_t seed = 1; seed <= SEEDS; seed++) {
        struct vlease_options o = long_jobs(seed);
        struct vlease *v = ready_region(&o);
        int64_t left_us = READY_US + 200 * MSEC;
        bool losing = true;
        uint64_t job = vlease_submit(v, TAKER, 0);

        vlease_set_hook(v, lose_stops, &losing);
        vlease_run(v, left_us);
        CU_ASSERT_EQUAL(vlease_running(v), 4);
        for (int life = 2; life <= 3; life++) {
            vlease_leave(v, job);
            vlease_run(v, left_us + 20 * MSEC);
            vlease_resubmit(v, job, TAKER);
            left_us += 40 * MSEC;
            vlease_run(v, left_us);
        }
        vlease_run(v, left_us + 1400 * MSEC);
        losing = false;
        assert_job_ends(v, job, left_us + 1400 * MSEC, __func__, seed);
        vlease_free(v);
    }
}

/* A path on which stops are lost, and starts to upstreams with a slow clock
 * are late while @late. */
struct slow_path {
    bool late;
    bool losing;
    uint32_t n_late;
};

static enum vlease_fate
delay_starts(void *ctx, struct vlease *v, const struct vlease_hop *hop)
{
    struct slow_path *path = ctx;

    if (path->late && strcmp(hop->label, "start") == 0 &&
        hop->upstream % SLOW_EACH == 0) {
        path->n_late++;
        return VLEASE_DELAY;
    }
    return lose_stops(&path->losing, v, hop);
}

/* One task fills an upstream.  Those of the second queue keep two upstreams
 * occupied that are free when tasks of the first are placed again. */
static struct vlease_options
wide_and_short_jobs(uint64_t seed)
{
    struct vlease_options o = long_jobs(seed);

    o.late_us = 1250 * MSEC;
    o.queues[0].cpu_milli = 20000;
    o.n_queues = 2;
    o.queues[1] = o.queues[0];
    o.queues[1].run_us = 500 * MSEC;
    o.queues[1].tasks = SHORT_TASKS;
    o.queues[0].tasks = ZONE_UPSTREAMS - SHORT_TASKS;
    return o;
}

/* An upstream with a slow clock was idle for long, so that its clock is taken
 * to be further than it is.  A start that comes so late that its task was
 * placed again must be refused there all the same. */
static void
clock_of_an_idle_upstream_is_not_taken_too_far_ahead(void)
{
    for (uint64_t seed = 1; seed <= SEEDS; seed++) {
        struct vlease_options o = wide_and_short_jobs(seed);
        struct vlease *v = ready_region(&o);
        struct slow_path path = {.losing = true};
        int64_t asked_us = READY_US + 20 * SEC;
        uint64_t job;

        vlease_set_hook(v, delay_starts, &path);
        vlease_run(v, asked_us - 20 * MSEC);
        (void)vlease_submit(v, TAKER, 1);
        vlease_run(v, asked_us);
        path.late = true;
        job = vlease_submit(v, TAKER, 0);
        vlease_run(v, asked_us + 20 * MSEC);
        CU_ASSERT_TRUE(path.n_late > 0);
        path.late = false;
        vlease_run(v, asked_us + 2 * SEC);
        path.losing = false;
        assert_job_ends(v, job, asked_us + 2 * SEC, __func__, seed);
        vlease_free(v);
    }
}

void
suite_lives(void)
{
#define TEST(name) check_add("lives", #name, name)
    TEST(taker_dies_and_stops_are_lost);
    TEST(taker_falls_silent_before_upstreams_are_cut_off);
    TEST(third_life_waits_for_the_first);
    TEST(clock_of_an_idle_upstream_is_not_taken_too_far_ahead);
#undef TEST
}
