/* Demand near and above the capacity, simulated in virtual time: three kinds
 * of jobs with 8 tasks of 60 ms, 4 of 900 ms and 2 of 200 ms, each task on
 * about half an upstream. */
#include <stdio.h>
#include <stdlib.h>

#include "broker_state.h"
#include "check.h"
#include "vlease.h"

#define MSEC USEC_PER_MSEC
#define SEC USEC_PER_SEC
#define READY_US (6 * SEC) /* all upstreams are held by then */

enum { SHORT, LONG, SMALL, KINDS, UPSTREAMS = 48, SEEDS = 3 };

static const struct vlease_queue kinds[KINDS] = {
    [SHORT] = {.priority = 0,
               .tasks = 8,
               .cpu_milli = 14000,
               .run_us = 60 * MSEC,
               .spread = 0.4,
               .width_spread = 0.4,
               .cpu_spread = 0.4,
               .declared_off = 0.4,
               .per_s = 34.4,
               .timeout_us = 1500 * MSEC},
    [LONG] = {.priority = 2,
              .tasks = 4,
              .cpu_milli = 14000,
              .run_us = 900 * MSEC,
              .spread = 0.4,
              .width_spread = 0.4,
              .cpu_spread = 0.4,
              .declared_off = 0.4,
              .per_s = 6.25,
              .timeout_us = 6000 * MSEC},
    [SMALL] = {.priority = 1,
               .tasks = 2,
               .cpu_milli = 14000,
               .run_us = 200 * MSEC,
               .spread = 0.4,
               .width_spread = 0.4,
               .cpu_spread = 0.4,
               .declared_off = 0.4,
               .per_s = 100,
               .timeout_us = 2500 * MSEC},
};

/* Outcomes relative to the submitted jobs, over several seeds. */
struct shares {
    double submitted;
    double in_time;
    double served;
    double refused;
    double refused_late;
    double unanswered;
    int64_t retry_us; /* longest retry time in a refusal */
};

static struct vlease *
new_region(uint64_t seed)
{
    struct vlease_options o = vlease_options_default();
    struct vlease *v;

    o.seed = seed;
    o.upstreams = UPSTREAMS / o.zones;
    o.cpu_large_milli = 48000;
    o.n_queues = KINDS;
    for (int k = 0; k < KINDS; k++) {
        o.queues[k] = kinds[k];
    }
    v = vlease_new(&o);
    vlease_run(v, READY_US);
    return v;
}

static void
add_shares(struct shares *s, const struct vlease *v, uint32_t kind)
{
    struct vlease_figures f = vlease_figures(v, kind);

    s->submitted += f.asked;
    s->in_time += f.in_time;
    s->served += f.completed;
    s->refused += f.refused;
    s->refused_late += (double)f.refused_late;
    s->unanswered += f.unknown + f.open;
    s->retry_us = f.retry_us > s->retry_us ? f.retry_us : s->retry_us;
}

static void
finish(struct vlease *v, struct shares shares[KINDS], int64_t now_us)
{
    struct vlease_faults f;

    vlease_load(v, 0);
    vlease_run(v, now_us + 14 * SEC);
    f = vlease_faults(v);
    CU_ASSERT_EQUAL(f.overlaps, 0);
    CU_ASSERT_EQUAL(f.over_room, 0);
    CU_ASSERT_EQUAL(f.false_refusals, 0);
    for (uint32_t k = 0; k < KINDS; k++) {
        add_shares(&shares[k], v, k);
    }
    vlease_free(v);
}

static void
divide_by_submitted(struct shares shares[KINDS])
{
    for (int k = 0; k < KINDS; k++) {
        struct shares *s = &shares[k];

        s->in_time /= s->submitted;
        s->served /= s->submitted;
        s->refused /= s->submitted;
        s->refused_late /= s->submitted;
        s->unanswered /= s->submitted;
    }
}

/* Runs @load times the usual load for 10 s, for each seed; one in @one_in
 * upstreams has a fault for 6 s of it. */
static void
run_load(double load, enum vlease_trouble trouble, uint32_t one_in,
         struct shares shares[KINDS])
{
    for (uint64_t seed = 1; seed <= SEEDS; seed++) {
        struct vlease *v = new_region(seed);

        vlease_load(v, load);
        vlease_run(v, READY_US + 2 * SEC);
        for (uint32_t i = 0; i < UPSTREAMS && one_in > 0; i++) {
            vlease_trouble(
                v, i, i % one_in == seed % one_in ? trouble : VLEASE_SOUND);
        }
        vlease_run(v, READY_US + 8 * SEC);
        for (uint32_t i = 0; i < UPSTREAMS; i++) {
            vlease_trouble(v, i, VLEASE_SOUND);
        }
        vlease_run(v, READY_US + 10 * SEC);
        finish(v, shares, READY_US + 10 * SEC);
    }
    divide_by_submitted(shares);
    for (int k = 0; getenv("BM_FIGURES") != NULL && k < KINDS; k++) {
        (void)fprintf(stderr,
                      "kind %d: in time %.3f served %.3f refused %.3f, late "
                      "%.3f, unanswered %.3f\n",
                      k, shares[k].in_time, shares[k].served,
                      shares[k].refused, shares[k].refused_late,
                      shares[k].unanswered);
    }
}

/* No job is refused while the capacity suffices. */
static void
usual_load_is_served_in_time(void)
{
    struct shares s[KINDS] = {0};

    run_load(1.0, VLEASE_SOUND, 0, s);
    for (int k = 0; k < KINDS; k++) {
        CU_ASSERT_TRUE(s[k].in_time > 0.94);
        CU_ASSERT_TRUE(s[k].served > 0.995);
    }
}

/* Demand doubles.  Short jobs overtake long ones as long as these have spare
 * time.  If the long jobs are admitted anyway, they wait and are refused in
 * the end, when it is too late for their callers to go elsewhere. */
static void
each_kind_keeps_its_share_under_overload(void)
{
    struct shares s[KINDS] = {0};

    run_load(2.0, VLEASE_SOUND, 0, s);
    CU_ASSERT_TRUE(s[SHORT].in_time > 0.60);
    CU_ASSERT_TRUE(s[LONG].in_time > 0.58);
    CU_ASSERT_TRUE(s[SMALL].in_time > 0.55);
}

/* A refused job is refused on arrival: a caller that waits for seconds and is
 * then refused has lost the time for a retry. */
static void
refusals_are_immediate(void)
{
    struct shares s[KINDS] = {0};

    run_load(2.0, VLEASE_SOUND, 0, s);
    for (int k = 0; k < KINDS; k++) {
        CU_ASSERT_TRUE(s[k].refused_late < 0.12);
    }
}

/* Demand doubles for ten seconds.  The measured demand predicts only the next
 * seconds; with a retry time of half a minute callers would stay away long
 * after the overload. */
static void
refusals_have_a_bounded_retry_time(void)
{
    struct shares s[KINDS] = {0};

    run_load(2.0, VLEASE_SOUND, 0, s);
    for (int k = 0; k < KINDS; k++) {
        CU_ASSERT_TRUE(s[k].retry_us >= 200 * MSEC);
        CU_ASSERT_TRUE(s[k].retry_us <= 7500 * MSEC);
    }
}

/* A waiting job behind jobs that find no capacity must also be refused when it
 * cannot be in time, and not stay unanswered until its deadline. */
static void
every_waiting_job_is_answered(void)
{
    struct shares s[KINDS] = {0};

    run_load(2.5, VLEASE_SOUND, 0, s);
    for (int k = 0; k < KINDS; k++) {
        CU_ASSERT_TRUE(s[k].unanswered < 0.002);
    }
}

/* A third of the upstreams becomes six times slower under a usual load: the
 * capacity falls by more than a quarter although no processor is missing. */
static void
slow_upstreams_reduce_the_capacity(void)
{
    struct shares s[KINDS] = {0};

    run_load(1.2, VLEASE_SLOW, 3, s);
    for (int k = 0; k < KINDS; k++) {
        CU_ASSERT_TRUE(s[k].in_time > 0.55);
        CU_ASSERT_TRUE(s[k].refused_late < 0.10);
    }
}

/* A quarter of the upstreams stops answering for six seconds. */
static void
load_is_served_without_unresponsive_upstreams(void)
{
    struct shares s[KINDS] = {0};

    run_load(1.4, VLEASE_MUTE, 4, s);
    for (int k = 0; k < KINDS; k++) {
        CU_ASSERT_TRUE(s[k].in_time > 0.62);
        CU_ASSERT_TRUE(s[k].refused_late < 0.08);
    }
}

/* One long job fills all upstreams of a region.  A short job submitted then
 * must be refused at once, although the measured demand is too low for an
 * overload. */
static void
job_is_refused_when_one_job_fills_the_region(void)
{
    struct vlease_options o = vlease_options_default();
    struct vlease *v;
    uint64_t job;

    o.zones = 1;
    o.brokers = 2;
    o.upstreams = 2;
    o.n_queues = 2;
    o.queues[0] = (struct vlease_queue){.tasks = 4,
                                        .cpu_milli = 14000,
                                        .run_us = 2 * SEC,
                                        .timeout_us = 8 * SEC};
    o.queues[1] = (struct vlease_queue){.tasks = 4,
                                        .cpu_milli = 14000,
                                        .run_us = 50 * MSEC,
                                        .timeout_us = 4 * SEC};
    v = vlease_new(&o);
    vlease_run(v, READY_US);
    (void)vlease_submit(v, 0, 0);
    vlease_run(v, READY_US + 200 * MSEC);
    job = vlease_submit(v, 0, 1);
    vlease_run(v, READY_US + 250 * MSEC);
    CU_ASSERT_EQUAL(vlease_outcome(v, job), JOB_REFUSED_OUTCOME);
    vlease_free(v);
}

/* Many long jobs fill all upstreams.  A short job submitted then certainly
 * cannot start in time and must be refused at once, though what all upstreams
 * leave unused adds up to what it needs. */
static void
job_is_refused_when_long_tasks_fill_the_region(void)
{
    for (uint64_t seed = 1; seed <= 40; seed++) {
        struct vlease *v = new_region(seed);
        uint64_t job;

        for (uint32_t i = 0; i < 2 * UPSTREAMS; i++) {
            (void)vlease_submit(v, i % 6, LONG);
        }
        vlease_run(v, READY_US + 100 * MSEC);
        job = vlease_submit(v, 0, SHORT);
        vlease_run(v, READY_US + 150 * MSEC);
        CU_ASSERT_EQUAL(vlease_outcome(v, job), JOB_REFUSED_OUTCOME);
        vlease_free(v);
    }
}

/* No upstream answers any more.  A job submitted then must be refused at once,
 * and not wait until its deadline. */
static void
jobs_are_refused_when_no_upstream_answers(void)
{
    struct vlease *v = new_region(1);
    uint64_t job;

    for (uint32_t i = 0; i < UPSTREAMS; i++) {
        vlease_trouble(v, i, VLEASE_MUTE);
    }
    vlease_load(v, 0.2); /* so that calls time out */
    vlease_run(v, READY_US + 4 * SEC);
    vlease_load(v, 0);
    job = vlease_submit(v, 0, SHORT);
    vlease_run(v, READY_US + 4 * SEC + 100 * MSEC);
    CU_ASSERT_EQUAL(vlease_outcome(v, job), JOB_REFUSED_OUTCOME);
    vlease_free(v);
}

/* After a power loss a broker has its configuration but does not know a runner
 * until a moment later.  A job submitted in between must be served, not
 * refused. */
static void
jobs_wait_for_first_runner_after_start(void)
{
    struct vlease *v = new_region(1);
    int64_t now_us = READY_US + SEC;
    uint64_t job;

    vlease_lose_power(v);
    vlease_run(v, now_us);
    vlease_regain_power(v, true);
    while (vlease_broker(v, 0) == NULL ||
           broker_queues(vlease_broker(v, 0)) == NULL) {
        now_us += MSEC;
        vlease_run(v, now_us);
    }
    CU_ASSERT_EQUAL(vlease_open(v), 0);
    job = vlease_submit(v, 0, SHORT);
    vlease_run(v, now_us + SEC);
    CU_ASSERT_EQUAL(vlease_outcome(v, job), JOB_COMPLETED_OUTCOME);
    vlease_free(v);
}

/* There is no runner.  A job submitted during the startup wait is refused when
 * that ends, a later job at once. */
static void
jobs_do_not_wait_for_unexpected_runners(void)
{
    struct vlease_options o = vlease_options_default();
    struct vlease *v;
    uint64_t job;

    o.upstreams = 0;
    v = vlease_new(&o);
    vlease_run(v, SEC + 200 * MSEC);
    job = vlease_submit(v, 0, 0);
    vlease_run(v, SEC + 300 * MSEC);
    CU_ASSERT_EQUAL(vlease_outcome(v, job), JOB_OUTCOMES);
    vlease_run(v, 2 * SEC);
    CU_ASSERT_EQUAL(vlease_outcome(v, job), JOB_REFUSED_OUTCOME);
    vlease_run(v, 3 * SEC);
    job = vlease_submit(v, 0, 0);
    vlease_run(v, 3 * SEC + 10 * MSEC);
    CU_ASSERT_EQUAL(vlease_outcome(v, job), JOB_REFUSED_OUTCOME);
    vlease_free(v);
}

/* Queues a late, started job with one ready task that no upstream can take. */
static void
queue_late_job(struct broker *b)
{
    struct handle h;
    struct run_job *job = table_add(&b->run_jobs, &h);

    job->self = h;
    job->id = handle_number(h);
    job->taker = b->opts.self;
    job->service = run_ensure_service(b, name_of("service"));
    job->groups = calloc(1, sizeof(*job->groups));
    job->tasks = calloc(1, sizeof(*job->tasks));
    if (job->groups == NULL || job->tasks == NULL) {
        abort();
    }
    job->groups[0].count = 1;
    job->n_groups = 1;
    job->tasks[0].state = RUN_READY;
    job->n_tasks = 1;
    job->n_unfinished = 1;
    job->n_ready = 1;
    job->late = true;
    job->started = true;
    job->deadline_us = 10 * SEC;
    order_insert(job);
}

/* Two late jobs with the same latest start find no capacity.  They were
 * re-queued behind each other in turn, and the step never ended. */
static void
late_jobs_with_equal_start_end_the_step(void)
{
    struct broker_options o = broker_options_default();
    struct broker_event tick = {.kind = BEV_TICK, .now = {.mono_us = SEC}};
    struct broker_effects fx = {0};
    struct broker *b;

    o.self = name_of("b0");
    b = broker_new(&o);
    queue_late_job(b);
    queue_late_job(b);
    broker_step(b, &tick, &fx);
    CU_ASSERT_EQUAL(broker_gauges(b).tasks_queued, 2);
    broker_effects_free(&fx);
    broker_free(b);
}

void
suite_broker_load(void)
{
#define TEST(name) check_add("broker_load", #name, name)
    TEST(usual_load_is_served_in_time);
    TEST(each_kind_keeps_its_share_under_overload);
    TEST(refusals_are_immediate);
    TEST(refusals_have_a_bounded_retry_time);
    TEST(every_waiting_job_is_answered);
    TEST(slow_upstreams_reduce_the_capacity);
    TEST(load_is_served_without_unresponsive_upstreams);
    TEST(job_is_refused_when_one_job_fills_the_region);
    TEST(job_is_refused_when_long_tasks_fill_the_region);
    TEST(jobs_are_refused_when_no_upstream_answers);
    TEST(late_jobs_with_equal_start_end_the_step);
    TEST(jobs_wait_for_first_runner_after_start);
    TEST(jobs_do_not_wait_for_unexpected_runners);
#undef TEST
}
