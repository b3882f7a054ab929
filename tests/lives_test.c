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
enum {
    RUNNER = 0,
    TAKER = 1,
    OTHER_ZONE = 2,
    ZONE_UPSTREAMS = 8,
    SLOW_EACH = 3
};
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

/* The job is handed in again at another zone; @losing are the stops, which are
 * lost until all of the first life must be over.  Frees the region. */
static void
come_again(struct vlease *v, uint64_t job, int64_t at_us, bool *losing,
           const char *test, uint64_t seed)
{
    vlease_run(v, at_us);
    vlease_resubmit(v, job, OTHER_ZONE);
    vlease_run(v, at_us + 1400 * MSEC);
    *losing = false;
    assert_job_ends(v, job, at_us + 1400 * MSEC, test, seed);
    vlease_free(v);
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
        come_again(v, job, broken_us + RESEND_US, &losing, __func__, seed);
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

/* Callers come again after 0.7 s, less than the longest lease of upstreams. */
static void
callers_that_come_sooner_find_shorter_leases(void)
{
    for (uint64_t seed = 1; seed <= SEEDS; seed++) {
        struct vlease_options o = long_jobs(seed);
        int64_t broken_us = READY_US + 200 * MSEC;
        int64_t again_us = broken_us + 700 * MSEC;
        bool losing = true;
        struct vlease *v;
        uint64_t job;

        o.told_resend_us = 700 * MSEC;
        v = ready_region(&o);
        job = vlease_submit(v, TAKER, 0);
        vlease_set_hook(v, lose_stops, &losing);
        vlease_run(v, broken_us);
        CU_ASSERT_EQUAL(vlease_running(v), 4);
        vlease_kill(v, TAKER);
        come_again(v, job, again_us, &losing, __func__, seed);
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

    o.late_us = 1180 * MSEC;
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
        int64_t asked_us = READY_US + 15 * SEC;
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

/* Jobs of the runner's own callers: the second queue's leave room for nothing
 * else at any upstream of zone 0, and those of the third go on longer there.
 */
static struct vlease_options
full_zone(uint64_t seed)
{
    struct vlease_options o = long_jobs(seed);

    o.without[BROKER_FEATURE_OTHER_ZONES] = true;
    o.n_queues = 3;
    o.queues[0].cpu_milli = 20000;
    o.queues[1] = o.queues[0];
    o.queues[1].run_us = SEC;
    o.queues[1].tasks = ZONE_UPSTREAMS;
    o.queues[2] = o.queues[1];
    o.queues[2].run_us = RUN_US;
    o.queues[2].cpu_milli = 10000;
    return o;
}

/* A job waits for room while its taker falls silent, and starts 0.2 to 0.6 s
 * later, before its runner notices, at upstreams whose lease others extend. */
static void
job_starts_after_its_taker_fell_silent(void)
{
    for (uint64_t seed = 1; seed <= SEEDS; seed++) {
        struct vlease_options o = full_zone(seed);
        struct vlease *v = ready_region(&o);
        int64_t silent_us = READY_US + (380 + (int64_t)seed * 20) * MSEC;
        bool losing = true;
        uint64_t job;

        vlease_set_hook(v, lose_stops, &losing);
        (void)vlease_submit(v, RUNNER, 1);
        (void)vlease_submit(v, RUNNER, 2);
        vlease_run(v, silent_us - 10 * MSEC);
        job = vlease_submit(v, TAKER, 0);
        vlease_run(v, silent_us);
        CU_ASSERT_EQUAL(vlease_running(v), 2 * ZONE_UPSTREAMS);
        vlease_cut(v, TAKER, true, true);
        vlease_run(v, silent_us + RESEND_US);
        vlease_resubmit(v, job, OTHER_ZONE);
        vlease_run(v, silent_us + RESEND_US + 1400 * MSEC);
        losing = false;
        vlease_cut(v, TAKER, false, false);
        assert_job_ends(v, job, silent_us + RESEND_US + 1400 * MSEC, __func__,
                        seed);
        vlease_free(v);
    }
}

/* The runner stands still while the taker's machine is lost, and then reads
 * what the taker said before: that does not tell that the taker is there. */
static void
runner_wakes_after_its_taker_died(void)
{
    for (uint64_t seed = 1; seed <= SEEDS; seed++) {
        struct vlease_options o = long_jobs(seed);
        int64_t broken_us = READY_US + 200 * MSEC;
        bool losing = true;
        struct vlease *v;
        uint64_t job;

        o.keep_arrived = true;
        v = ready_region(&o);
        job = vlease_submit(v, TAKER, 0);
        vlease_set_hook(v, lose_stops, &losing);
        vlease_run(v, broken_us - 100 * MSEC);
        CU_ASSERT_EQUAL(vlease_running(v), 4);
        vlease_pause(v, RUNNER, 700 * MSEC);
        vlease_run(v, broken_us);
        vlease_lose_machine(v, TAKER);
        come_again(v, job, broken_us + RESEND_US, &losing, __func__, seed);
    }
}

/* A broker stands still while its caller leaves, and goes on with looks before
 * it finds out. */
static void
caller_left_a_broker_that_stood_still(uint32_t taker, int64_t pause_us,
                                      uint64_t seed)
{
    struct vlease_options o = long_jobs(seed);
    int64_t left_us = READY_US + 200 * MSEC;
    bool losing = true;
    struct vlease *v;
    uint64_t job;

    o.keep_arrived = true;
    o.without[BROKER_FEATURE_OTHER_ZONES] = true;
    v = ready_region(&o);
    job = vlease_submit(v, taker, 0);
    vlease_set_hook(v, lose_stops, &losing);
    vlease_run(v, left_us);
    vlease_pause(v, taker, pause_us);
    vlease_leave(v, job);
    vlease_run(v, left_us + RESEND_US);
    vlease_resubmit(v, job, OTHER_ZONE);
    vlease_run(v, left_us + RESEND_US + 1400 * MSEC);
    losing = false;
    assert_job_ends(v, job, left_us + RESEND_US + 1400 * MSEC, __func__, seed);
    vlease_free(v);
}

static void
callers_that_left_in_a_standstill_are_not_waiting(void)
{
    for (uint64_t seed = 1; seed <= SEEDS; seed++) {
        int64_t pause_us = (int64_t)seed * 50 * MSEC;

        caller_left_a_broker_that_stood_still(RUNNER, pause_us, seed);
        caller_left_a_broker_that_stood_still(TAKER, pause_us, seed);
    }
}

/* Stands a broker still as a renewal reaches it. */
struct standstill {
    bool due;
    bool losing;
};

static enum vlease_fate
pause_at_renewal(void *ctx, struct vlease *v, const struct vlease_hop *hop)
{
    struct standstill *s = ctx;

    if (s->due && strcmp(hop->label, "job_renewal") == 0 &&
        hop->to == RUNNER) {
        s->due = false;
        vlease_pause(v, RUNNER, 600 * MSEC);
    }
    return lose_stops(&s->losing, v, hop);
}

/* The runner stands still with a renewal to read, and its taker's machine is
 * lost: what the renewal confirms is as old as the standstill. */
static void
renewal_read_after_a_standstill_is_old(void)
{
    for (uint64_t seed = 1; seed <= SEEDS; seed++) {
        struct vlease_options o = long_jobs(seed);
        struct standstill s = {.losing = true};
        int64_t now_us = READY_US + 200 * MSEC;
        struct vlease *v;
        uint64_t job;

        o.keep_arrived = true;
        v = ready_region(&o);
        job = vlease_submit(v, TAKER, 0);
        vlease_set_hook(v, pause_at_renewal, &s);
        vlease_run(v, now_us);
        s.due = true;
        while (s.due && now_us < READY_US + SEC) {
            now_us += MSEC;
            vlease_run(v, now_us);
        }
        CU_ASSERT_FALSE(s.due);
        vlease_lose_machine(v, TAKER);
        come_again(v, job, now_us + RESEND_US, &s.losing, __func__, seed);
    }
}

static enum vlease_fate
lose_renewals(void *ctx, struct vlease *v, const struct vlease_hop *hop)
{
    (void)ctx;
    (void)v;
    return strcmp(hop->label, "job_renewal") == 0 ? VLEASE_LOSE : VLEASE_PASS;
}

/* A taker is too slow to confirm its jobs while its connections stay: its
 * callers must hear at once that the outcome is not known. */
static void
unconfirmed_jobs_are_answered(void)
{
    for (uint64_t seed = 1; seed <= SEEDS; seed++) {
        struct vlease_options o = long_jobs(seed);
        struct vlease *v = ready_region(&o);
        int64_t again_us = READY_US + 2 * SEC;
        uint64_t job = vlease_submit(v, TAKER, 0);

        vlease_set_hook(v, lose_renewals, NULL);
        vlease_run(v, again_us);
        CU_ASSERT_EQUAL(vlease_running(v), 0);
        CU_ASSERT_TRUE(vlease_unclear(v, job));
        vlease_set_hook(v, NULL, NULL);
        vlease_resubmit(v, job, OTHER_ZONE);
        assert_job_ends(v, job, again_us, __func__, seed);
        vlease_free(v);
    }
}

/* Faults drawn by seed; each ends by itself. */

enum { DRAWN_SEEDS = 30, BROKERS = 6, ZONES = 3, BROKEN_MAX = 2 };
#define DRAWN_FOR_US (12 * SEC)
#define STEP_US (50 * MSEC)
/* A loss that is noticed by its silence lasts for longer than that. */
#define UNNOTICED_US (800 * MSEC)

/* When what was struck is well again; 0 while it is. */
struct drawn {
    struct vlease *v;
    uint64_t random;
    int64_t now_us;
    int64_t brokers_us[BROKERS];
    bool cut[BROKERS];
    int64_t zones_us[ZONES];
    int64_t losing_us;
    bool losing;
};

static int64_t
drawn_us(struct drawn *d, int64_t least_us, int64_t most_us)
{
    uint64_t range = (uint64_t)(most_us - least_us);

    return least_us + (int64_t)(random_next(&d->random) % range);
}

static uint32_t
drawn_below(struct drawn *d, uint32_t n)
{
    return (uint32_t)(random_next(&d->random) % n);
}

static uint32_t
broken(const struct drawn *d)
{
    uint32_t n = 0;

    for (uint32_t i = 0; i < BROKERS; i++) {
        n += d->brokers_us[i] > 0 ? 1 : 0;
    }
    return n;
}

static void
strike_broker(struct drawn *d)
{
    uint32_t i = drawn_below(d, BROKERS);
    int64_t us = drawn_us(d, UNNOTICED_US, 2 * SEC);

    if (d->brokers_us[i] > 0 || broken(d) == BROKEN_MAX) {
        return;
    }
    switch (drawn_below(d, 4)) {
    case 0:
        vlease_kill(d->v, i);
        break;
    case 1:
        vlease_lose_machine(d->v, i);
        break;
    case 2:
        d->cut[i] = true;
        vlease_cut(d->v, i, true, drawn_below(d, 2) == 0);
        break;
    default:
        us = drawn_us(d, 300 * MSEC, RESEND_US);
        vlease_pause(d->v, i, us);
        break;
    }
    d->brokers_us[i] = d->now_us + us;
}

/* All upstreams of a zone, or some. */
static void
strike_zone(struct drawn *d)
{
    static const enum vlease_trouble troubles[] = {VLEASE_CUT, VLEASE_MUTE,
                                                   VLEASE_DELAYS};
    uint32_t zone = drawn_below(d, ZONES);
    enum vlease_trouble trouble = troubles[drawn_below(d, 3)];
    bool all = drawn_below(d, 2) == 0;

    if (d->zones_us[zone] > 0) {
        return;
    }
    d->zones_us[zone] = d->now_us + drawn_us(d, 500 * MSEC, 2 * SEC);
    for (uint32_t i = 0; i < ZONE_UPSTREAMS; i++) {
        if (all || drawn_below(d, 2) == 0) {
            vlease_trouble(d->v, zone * ZONE_UPSTREAMS + i, trouble);
        }
    }
}

static void
strike(struct drawn *d)
{
    switch (drawn_below(d, 12)) {
    case 0:
        strike_broker(d);
        break;
    case 1:
        strike_zone(d);
        break;
    case 2:
        d->losing = true;
        d->losing_us = d->now_us + drawn_us(d, 500 * MSEC, 2 * SEC);
        break;
    default:
        break;
    }
}

static bool
is_over(const struct drawn *d, int64_t *until_us)
{
    if (*until_us == 0 || *until_us > d->now_us) {
        return false;
    }
    *until_us = 0;
    return true;
}

static void
heal_broker(struct drawn *d, uint32_t i)
{
    if (d->cut[i]) {
        vlease_cut(d->v, i, false, false);
    }
    d->cut[i] = false;
    vlease_start(d->v, i);
}

static void
heal(struct drawn *d)
{
    for (uint32_t i = 0; i < BROKERS; i++) {
        if (is_over(d, &d->brokers_us[i])) {
            heal_broker(d, i);
        }
    }
    for (uint32_t i = 0; i < ZONES * ZONE_UPSTREAMS; i++) {
        int64_t until_us = d->zones_us[i / ZONE_UPSTREAMS];

        if (until_us > 0 && until_us <= d->now_us) {
            vlease_trouble(d->v, i, VLEASE_SOUND);
        }
    }
    for (uint32_t i = 0; i < ZONES; i++) {
        (void)is_over(d, &d->zones_us[i]);
    }
    if (is_over(d, &d->losing_us)) {
        d->losing = false;
    }
}

static void
step_to(struct drawn *d, int64_t until_us, bool strikes)
{
    while (d->now_us < until_us) {
        d->now_us += STEP_US;
        vlease_run(d->v, d->now_us);
        heal(d);
        if (strikes) {
            strike(d);
        }
    }
}

static struct vlease_options
jobs_anywhere(uint64_t seed)
{
    struct vlease_options o = vlease_options_default();

    o.seed = seed;
    o.resend_anywhere = true;
    o.keep_arrived = true;
    o.queues[0].run_us = 1650 * MSEC;
    o.queues[0].spread = 0.82;
    o.queues[0].declared_off = 0.4;
    o.queues[0].per_s = 4;
    o.queues[0].timeout_us = 10 * SEC;
    return o;
}

static void
draw_faults(uint64_t seed)
{
    struct vlease_options o = jobs_anywhere(seed);
    struct drawn d = {
        .v = ready_region(&o), .random = seed * 77777, .now_us = READY_US};

    vlease_set_hook(d.v, lose_stops, &d.losing);
    vlease_load(d.v, 1);
    step_to(&d, READY_US + DRAWN_FOR_US, true);
    vlease_load(d.v, 0);
    step_to(&d, d.now_us + 14 * SEC, false);
    CU_ASSERT_EQUAL(vlease_running(d.v), 0);
    CU_ASSERT_EQUAL(vlease_figures(d.v, 0).open, 0);
    assert_no_fault(d.v, __func__, seed);
    vlease_free(d.v);
}

/* Brokers, upstreams and stops are lost for a while, one after another and
 * together; callers come back at any broker of the region. */
static void
drawn_faults_with_callers_anywhere(void)
{
    static const uint64_t failed[] = {102, 264, 353, 386, 800};

    for (uint64_t seed = 1; seed <= DRAWN_SEEDS; seed++) {
        draw_faults(seed);
    }
    for (size_t i = 0; i < sizeof(failed) / sizeof(failed[0]); i++) {
        draw_faults(failed[i]);
    }
}

void
suite_lives(void)
{
#define TEST(name) check_add("lives", #name, name)
    TEST(taker_dies_and_stops_are_lost);
    TEST(taker_falls_silent_before_upstreams_are_cut_off);
    TEST(callers_that_come_sooner_find_shorter_leases);
    TEST(third_life_waits_for_the_first);
    TEST(clock_of_an_idle_upstream_is_not_taken_too_far_ahead);
    TEST(job_starts_after_its_taker_fell_silent);
    TEST(runner_wakes_after_its_taker_died);
    TEST(callers_that_left_in_a_standstill_are_not_waiting);
    TEST(renewal_read_after_a_standstill_is_old);
    TEST(unconfirmed_jobs_are_answered);
    TEST(drawn_faults_with_callers_anywhere);
#undef TEST
}
