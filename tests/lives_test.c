/* Jobs that are submitted again: a task has at most one run at a time,
 * whatever runners the submissions have. */
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
/* Processes of the default region.  Zone 0 has ZONE_UPSTREAMS upstreams, and
 * broker 0 is its runner.  Every third upstream has a slow clock. */
enum {
    RUNNER = 0,
    TAKER = 1,
    OTHER_ZONE = 2,
    ZONE_UPSTREAMS = 8,
    SLOW_CLOCK_EACH = 3
};
enum { SHORT_TASKS = 2 };

/* Only the tests submit jobs again: callers would do so after 60 s. */
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

/* Loses stops while *@ctx is true. */
static enum vlease_fate
lose_stops(void *ctx, struct vlease *v, const struct vlease_hop *hop)
{
    const bool *losing = ctx;

    (void)v;
    return *losing && strcmp(hop->label, "stop") == 0 ? VLEASE_LOSE
                                                      : VLEASE_PASS;
}

static void
set_zone_trouble(struct vlease *v, enum vlease_trouble trouble)
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

/* Checks that all runs end and the job is completed. */
static void
assert_job_ends(struct vlease *v, uint64_t job, int64_t now_us,
                const char *test, uint64_t seed)
{
    vlease_run(v, now_us + 12 * SEC);
    CU_ASSERT_EQUAL(vlease_outcome(v, job), JOB_COMPLETED_OUTCOME);
    CU_ASSERT_EQUAL(vlease_running(v), 0);
    assert_no_fault(v, test, seed);
}

/* Submits the job again in another zone.  Stops are lost, by @losing, until
 * all runs of the first submission must have ended.  Frees the region. */
static void
resubmit_and_check(struct vlease *v, uint64_t job, int64_t at_us, bool *losing,
                   const char *test, uint64_t seed)
{
    vlease_run(v, at_us);
    vlease_resubmit(v, job, OTHER_ZONE);
    vlease_run(v, at_us + 1400 * MSEC);
    *losing = false;
    assert_job_ends(v, job, at_us + 1400 * MSEC, test, seed);
    vlease_free(v);
}

/* The taker of a job is killed; stops to the upstreams are lost, while polls
 * are not. */
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
        resubmit_and_check(v, job, broken_us + RESEND_US, &losing, __func__,
                           seed);
    }
}

/* The taker falls silent.  Before the runner notices, its upstreams are
 * disconnected, so that no stop reaches them. */
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
        set_zone_trouble(v, VLEASE_CUT);
        vlease_run(v, silent_us + RESEND_US);
        vlease_resubmit(v, job, OTHER_ZONE);
        vlease_run(v, silent_us + RESEND_US + 1400 * MSEC);
        set_zone_trouble(v, VLEASE_SOUND);
        vlease_cut(v, TAKER, false, false);
        assert_job_ends(v, job, silent_us + RESEND_US + 1400 * MSEC, __func__,
                        seed);
        vlease_free(v);
    }
}

/* Callers submit again after 0.7 s, less than the longest lease of upstreams.
 */
static void
callers_submitting_sooner_get_shorter_leases(void)
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
        resubmit_and_check(v, job, again_us, &losing, __func__, seed);
    }
}

/* The caller disconnects and submits again at once, twice, while stops are
 * lost.  The second submission is dropped while it waits for the runs of the
 * first; the third must wait for these runs too. */
static void
submissions_wait_for_the_first(void)
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
        for (int submission = 2; submission <= 3; submission++) {
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

/* A path that loses stops while @losing, and delays starts to upstreams with a
 * slow clock while @late. */
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
        hop->upstream % SLOW_CLOCK_EACH == 0) {
        path->n_late++;
        return VLEASE_DELAY;
    }
    return lose_stops(&path->losing, v, hop);
}

/* One task fills an upstream.  Tasks of the second queue keep two upstreams
 * busy, which are free when tasks of the first queue are placed again. */
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

/* Guards against a late start that is accepted after its task was placed
 * again. An upstream with a slow clock was idle for long; if the broker
 * overestimates that clock, the start's deadline lies too far ahead. */
static void
clock_of_a_long_idle_upstream_is_never_overestimated(void)
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

/* Queues for jobs of the runner's own callers.  Jobs of the second queue leave
 * no capacity for the first queue at any upstream of zone 0, and jobs of the
 * third run longer there. */
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

/* A job waits for capacity while its taker falls silent.  It starts 0.2 to
 * 0.6 s later, before the runner notices, on upstreams whose lease is extended
 * for other jobs. */
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

/* The runner is paused while the taker's machine is lost, and then reads
 * messages that the taker sent before.  These must not renew the job's lease.
 */
static void
runner_resumes_after_taker_failed(void)
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
        resubmit_and_check(v, job, broken_us + RESEND_US, &losing, __func__,
                           seed);
    }
}

/* A broker is paused while its caller disconnects, and sends polls before it
 * notices that. */
static void
caller_leaves_while_broker_was_paused(uint32_t taker, int64_t pause_us,
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
callers_that_left_during_a_pause_are_not_connected(void)
{
    for (uint64_t seed = 1; seed <= SEEDS; seed++) {
        int64_t pause_us = (int64_t)seed * 50 * MSEC;

        caller_leaves_while_broker_was_paused(RUNNER, pause_us, seed);
        caller_leaves_while_broker_was_paused(TAKER, pause_us, seed);
    }
}

/* Pauses the runner when a renewal reaches it, once @due. */
struct renewal_pause {
    bool due;
    bool losing;
};

static enum vlease_fate
pause_at_renewal(void *ctx, struct vlease *v, const struct vlease_hop *hop)
{
    struct renewal_pause *s = ctx;

    if (s->due && strcmp(hop->label, "job_renewal") == 0 &&
        hop->to == RUNNER) {
        s->due = false;
        vlease_pause(v, RUNNER, 600 * MSEC);
    }
    return lose_stops(&s->losing, v, hop);
}

/* The runner is paused with an unread renewal, and the taker's machine is
 * lost. The renewal confirms the job only as of the time before the pause. */
static void
renewal_read_after_a_pause_is_outdated(void)
{
    for (uint64_t seed = 1; seed <= SEEDS; seed++) {
        struct vlease_options o = long_jobs(seed);
        struct renewal_pause s = {.losing = true};
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
        resubmit_and_check(v, job, now_us + RESEND_US, &s.losing, __func__,
                           seed);
    }
}

static enum vlease_fate
lose_renewals(void *ctx, struct vlease *v, const struct vlease_hop *hop)
{
    (void)ctx;
    (void)v;
    return strcmp(hop->label, "job_renewal") == 0 ? VLEASE_LOSE : VLEASE_PASS;
}

/* The renewals of a taker do not arrive while its connections stay up.  Its
 * callers must be answered at once that the outcome is unknown. */
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

/* Random faults, by seed; each ends after a while. */

enum { RANDOM_SEEDS = 30, BROKERS = 6, ZONES = 3, BROKEN_BROKERS_MAX = 2 };
#define FAULTS_FOR_US (12 * SEC)
#define STEP_US (50 * MSEC)
/* Faults of brokers last at least this long, so that the other brokers notice
 * the silence. */
#define UNNOTICED_US (800 * MSEC)

/* End times of the faults of brokers, of zones' upstreams and of lossy stops;
 * 0 for no fault. */
struct random_faults {
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
random_us(struct random_faults *d, int64_t least_us, int64_t most_us)
{
    uint64_t range = (uint64_t)(most_us - least_us);

    return least_us + (int64_t)(random_next(&d->random) % range);
}

static uint32_t
random_below(struct random_faults *d, uint32_t n)
{
    return (uint32_t)(random_next(&d->random) % n);
}

static uint32_t
count_broken(const struct random_faults *d)
{
    uint32_t n = 0;

    for (uint32_t i = 0; i < BROKERS; i++) {
        n += d->brokers_us[i] > 0 ? 1 : 0;
    }
    return n;
}

static void
break_broker(struct random_faults *d)
{
    uint32_t i = random_below(d, BROKERS);
    int64_t us = random_us(d, UNNOTICED_US, 2 * SEC);

    if (d->brokers_us[i] > 0 || count_broken(d) == BROKEN_BROKERS_MAX) {
        return;
    }
    switch (random_below(d, 4)) {
    case 0:
        vlease_kill(d->v, i);
        break;
    case 1:
        vlease_lose_machine(d->v, i);
        break;
    case 2:
        d->cut[i] = true;
        vlease_cut(d->v, i, true, random_below(d, 2) == 0);
        break;
    default:
        us = random_us(d, 300 * MSEC, RESEND_US);
        vlease_pause(d->v, i, us);
        break;
    }
    d->brokers_us[i] = d->now_us + us;
}

/* Disturbs all upstreams of a zone, or some. */
static void
break_zone_upstreams(struct random_faults *d)
{
    static const enum vlease_trouble troubles[] = {VLEASE_CUT, VLEASE_MUTE,
                                                   VLEASE_DELAYS};
    uint32_t zone = random_below(d, ZONES);
    enum vlease_trouble trouble = troubles[random_below(d, 3)];
    bool all = random_below(d, 2) == 0;

    if (d->zones_us[zone] > 0) {
        return;
    }
    d->zones_us[zone] = d->now_us + random_us(d, 500 * MSEC, 2 * SEC);
    for (uint32_t i = 0; i < ZONE_UPSTREAMS; i++) {
        if (all || random_below(d, 2) == 0) {
            vlease_trouble(d->v, zone * ZONE_UPSTREAMS + i, trouble);
        }
    }
}

static void
inject_fault(struct random_faults *d)
{
    switch (random_below(d, 12)) {
    case 0:
        break_broker(d);
        break;
    case 1:
        break_zone_upstreams(d);
        break;
    case 2:
        d->losing = true;
        d->losing_us = d->now_us + random_us(d, 500 * MSEC, 2 * SEC);
        break;
    default:
        break;
    }
}

static bool
is_over(const struct random_faults *d, int64_t *until_us)
{
    if (*until_us == 0 || *until_us > d->now_us) {
        return false;
    }
    *until_us = 0;
    return true;
}

static void
restore_broker(struct random_faults *d, uint32_t i)
{
    if (d->cut[i]) {
        vlease_cut(d->v, i, false, false);
    }
    d->cut[i] = false;
    vlease_start(d->v, i);
}

static void
end_faults(struct random_faults *d)
{
    for (uint32_t i = 0; i < BROKERS; i++) {
        if (is_over(d, &d->brokers_us[i])) {
            restore_broker(d, i);
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
advance_to(struct random_faults *d, int64_t until_us, bool inject)
{
    while (d->now_us < until_us) {
        d->now_us += STEP_US;
        vlease_run(d->v, d->now_us);
        end_faults(d);
        if (inject) {
            inject_fault(d);
        }
    }
}

static struct vlease_options
resubmitted_anywhere(uint64_t seed)
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
play_faults(uint64_t seed)
{
    struct vlease_options o = resubmitted_anywhere(seed);
    struct random_faults d = {
        .v = ready_region(&o), .random = seed * 77777, .now_us = READY_US};

    vlease_set_hook(d.v, lose_stops, &d.losing);
    vlease_load(d.v, 1);
    advance_to(&d, READY_US + FAULTS_FOR_US, true);
    vlease_load(d.v, 0);
    advance_to(&d, d.now_us + 14 * SEC, false);
    CU_ASSERT_EQUAL(vlease_running(d.v), 0);
    CU_ASSERT_EQUAL(vlease_figures(d.v, 0).open, 0);
    assert_no_fault(d.v, __func__, seed);
    vlease_free(d.v);
}

/* Brokers, upstreams and stops fail for a while, one after another and at the
 * same time; callers submit again at any broker of the region. */
static void
random_faults_with_resubmission_anywhere(void)
{
    static const uint64_t failed_before[] = {102, 264, 353, 386, 800};

    for (uint64_t seed = 1; seed <= RANDOM_SEEDS; seed++) {
        play_faults(seed);
    }
    for (size_t i = 0; i < sizeof(failed_before) / sizeof(failed_before[0]);
         i++) {
        play_faults(failed_before[i]);
    }
}

/* Guards against two runs of a task at one time.  The caller submits its job
 * again while its first taker does not notice that it has left, and renews the
 * job's lease at a runner that is connected. */
static void
taker_does_not_notice_that_its_caller_left(void)
{
    for (uint64_t seed = 1; seed <= SEEDS; seed++) {
        struct vlease_options o = long_jobs(seed);
        struct vlease *v = ready_region(&o);
        int64_t broken_us = READY_US + 200 * MSEC;
        uint64_t job = vlease_submit(v, TAKER, 0);

        vlease_run(v, broken_us + RESEND_US);
        CU_ASSERT_EQUAL(vlease_running(v), 4);
        vlease_resubmit(v, job, OTHER_ZONE);
        assert_job_ends(v, job, broken_us + RESEND_US, __func__, seed);
        vlease_free(v);
    }
}

/* Guards against two runs of a task at one time.  The job is still run for its
 * second submission, after the deadline of the first, when a third arrives. */
static void
job_outlives_the_deadline_of_its_first_submission(void)
{
    for (uint64_t seed = 1; seed <= SEEDS; seed++) {
        struct vlease_options o = long_jobs(seed);
        int64_t begin_us = READY_US + SEC;
        struct vlease *v;
        uint64_t job;

        o.whole_timeout = true;
        o.queues[0].timeout_us = 2 * SEC;
        o.n_queues = 2;
        o.queues[1] = o.queues[0];
        o.queues[1].run_us = MSEC;
        v = ready_region(&o);
        /* The number of a job selects its witnesses. */
        for (uint64_t i = 0; i < seed; i++) {
            (void)vlease_submit(v, TAKER, 1);
        }
        vlease_run(v, begin_us);
        job = vlease_submit(v, TAKER, 0);
        vlease_run(v, begin_us + RESEND_US);
        vlease_resubmit(v, job, OTHER_ZONE);
        vlease_run(v, begin_us + 2 * RESEND_US);
        CU_ASSERT_EQUAL(vlease_running(v), 4);
        vlease_resubmit(v, job, OTHER_ZONE + 1);
        assert_job_ends(v, job, begin_us + 2 * RESEND_US, __func__, seed);
        vlease_free(v);
    }
}

/* Guards against giving up jobs of a lost runner that can be run again: all
 * their starts were answered. */
static void
job_of_lost_runner_is_run_again(void)
{
    for (uint64_t seed = 1; seed <= SEEDS; seed++) {
        struct vlease_options o = long_jobs(seed);
        struct vlease *v = ready_region(&o);
        int64_t broken_us = READY_US + 200 * MSEC;
        uint64_t job = vlease_submit(v, TAKER, 0);

        vlease_run(v, broken_us);
        CU_ASSERT_EQUAL(vlease_running(v), 4);
        vlease_kill(v, RUNNER);
        vlease_run(v, broken_us + RESEND_US);
        vlease_resubmit(v, job, OTHER_ZONE);
        assert_job_ends(v, job, broken_us + RESEND_US, __func__, seed);
        vlease_free(v);
    }
}

void
suite_lives(void)
{
#define TEST(name) check_add("lives", #name, name)
    TEST(taker_dies_and_stops_are_lost);
    TEST(taker_falls_silent_before_upstreams_are_cut_off);
    TEST(callers_submitting_sooner_get_shorter_leases);
    TEST(submissions_wait_for_the_first);
    TEST(clock_of_a_long_idle_upstream_is_never_overestimated);
    TEST(job_starts_after_its_taker_fell_silent);
    TEST(runner_resumes_after_taker_failed);
    TEST(callers_that_left_during_a_pause_are_not_connected);
    TEST(renewal_read_after_a_pause_is_outdated);
    TEST(unconfirmed_jobs_are_answered);
    TEST(taker_does_not_notice_that_its_caller_left);
    TEST(job_outlives_the_deadline_of_its_first_submission);
    TEST(job_of_lost_runner_is_run_again);
    TEST(random_faults_with_resubmission_anywhere);
#undef TEST
}
