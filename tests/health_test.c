/* Tests of quarantine, probes and estimates of run times. */
#include "check.h"
#include "estimate.h"
#include "one_entry.h"

#define RUN_US (100 * USEC_PER_MSEC)

enum { UPSTREAMS = 6, ROUNDS = 12 };

static struct one *
new_six_upstreams(void)
{
    struct one *o =
        one_new(&(struct one_options){.deadline_us = 60 * USEC_PER_SEC});

    for (int i = 0; i < UPSTREAMS; i++) {
        char name[] = {'u', (char)('0' + i), '\0'};

        one_announce(o, one_upstream_info(name));
    }
    one_clear(o);
    return o;
}

static void
renew_all(struct one *o)
{
    for (int i = 0; i < UPSTREAMS; i++) {
        char name[] = {'u', (char)('0' + i), '\0'};

        one_announce(o, one_upstream_info(name));
    }
}

/** failing_round() - ends all starts, including those sent meanwhile.  Tasks
 * on the first @failing upstreams fail.  Returns the number that failed. */
static size_t
failing_round(struct one *o, int failing)
{
    size_t bad = 0;

    for (size_t i = 0; i < one_count_effects(o, EF_START); i++) {
        const struct ef_start *f = &one_effect(o, EF_START, i)->u.start;
        bool fails = f->upstream.s[1] - '0' < failing;

        bad += fails ? 1 : 0;
        one_end_start(o, f->call, START_DONE, !fails);
    }
    return bad;
}

static void
submit_round(struct one *o, int round)
{
    char key[] = {'k', (char)('a' + round), '\0'};

    one_clear(o);
    (void)one_submit(o, key, 24, RUN_US);
}

/* One upstream fails every task immediately, so it always has free slots and
 * would get most of the tasks, though the five others work.  Quarantine must
 * limit the number of failed tasks. */
static void
failing_upstream_is_quarantined(void)
{
    struct one *o = new_six_upstreams();
    size_t bad = 0;

    for (int round = 0; round < ROUNDS; round++) {
        submit_round(o, round);
        bad += failing_round(o, 1);
    }
    CU_ASSERT_EQUAL(entry_counters(o->e).quarantines, 1);
    CU_ASSERT(bad <= 8);
    one_free(o);
}

/* After the backoff a quarantined upstream gets one task as a probe; if that
 * succeeds, the upstream must get tasks as before. */
static void
probe_restores_an_upstream(void)
{
    struct one *o = new_six_upstreams();
    size_t probes = 0;

    for (int round = 0; round < 4; round++) {
        submit_round(o, round);
        (void)failing_round(o, 1);
    }
    one_run(o, 2 * USEC_PER_SEC);
    renew_all(o);
    one_run(o, 2 * USEC_PER_SEC);
    submit_round(o, 5);
    for (size_t i = 0; i < one_count_effects(o, EF_START); i++) {
        const struct ef_start *f = &one_effect(o, EF_START, i)->u.start;

        probes += f->upstream.s[1] == '0' ? 1 : 0;
    }
    CU_ASSERT_EQUAL(probes, 1);
    (void)failing_round(o, 0);
    submit_round(o, 6);
    probes = 0;
    for (size_t i = 0; i < one_count_effects(o, EF_START); i++) {
        const struct ef_start *f = &one_effect(o, EF_START, i)->u.start;

        probes += f->upstream.s[1] == '0' ? 1 : 0;
    }
    CU_ASSERT_EQUAL(probes, 4);
    one_free(o);
}

/* A bad release of the service makes every upstream fail all tasks.  With all
 * of them in quarantine no task would run, and a fixed release would not be
 * detected, so the cap must keep most of them in use. */
static void
service_wide_failure_is_capped(void)
{
    struct one *o = new_six_upstreams();

    for (int round = 0; round < ROUNDS; round++) {
        submit_round(o, round);
        (void)failing_round(o, UPSTREAMS);
    }
    CU_ASSERT_EQUAL(entry_counters(o->e).quarantines, 2);
    submit_round(o, ROUNDS);
    CU_ASSERT(one_count_effects(o, EF_START) >= 16);
    one_free(o);
}

static void
only_upstream_is_not_quarantined(void)
{
    struct one *o = one_new(&(struct one_options){0});

    one_announce(o, one_upstream_info("u0"));
    for (int round = 0; round < ROUNDS; round++) {
        submit_round(o, round);
        (void)failing_round(o, 1);
    }
    CU_ASSERT_EQUAL(entry_counters(o->e).quarantines, 0);
    one_free(o);
}

/* Two holders quarantine an upstream each at the same time, and exceed the cap
 * together.  The holder of the quarantined upstream with the greatest name
 * must restore it. */
static void
cap_counts_the_whole_zone(void)
{
    struct one *o = one_new(&(struct one_options){.peers = 1});
    struct rec_upstream_info info = one_upstream_info("a0");

    info.holder = name_of("p0");
    info.epoch = 256;
    o->manual_fences = true;
    one_upstream_news(o, "p0", info);
    o->manual_fences = false;
    for (int i = 0; entry_gauges(o->e).upstreams_held == 0; i++) {
        char name[] = {'u', (char)('0' + i), '\0'};

        one_announce(o, one_upstream_info(name));
    }
    for (int round = 0; round < ROUNDS; round++) {
        submit_round(o, round);
        (void)failing_round(o, 10);
    }
    CU_ASSERT_EQUAL(entry_counters(o->e).quarantines, 1);
    one_clear(o);
    info.quarantined = 1;
    one_upstream_news(o, "p0", info);
    CU_ASSERT_PTR_NOT_NULL_FATAL(one_message_sent(o, MSG_UPSTREAM_NEWS, 0));
    CU_ASSERT_EQUAL(one_message_sent(o, MSG_UPSTREAM_NEWS, 0)
                        ->u.upstream_news.upstreams[0]
                        .quarantined,
                    0);
    one_free(o);
}

/* Declared run times are too long by a constant factor of three. */
static void
declared_times_are_corrected(void)
{
    struct run_estimate l = {0};

    CU_ASSERT_EQUAL(estimate_mean_us(&l, 900), 900);
    for (int i = 0; i < 1000; i++) {
        int64_t ran = INT64_C(1000) * (1 + i % 7);

        estimate_add_run(&l, 3 * ran, ran);
    }
    CU_ASSERT_DOUBLE_EQUAL(estimate_mean_us(&l, 6000), 2000, 100);
    CU_ASSERT(estimate_p95_us(&l, 6000) < 3000);
}

/* Declared run times have no relation to the actual ones, so the estimate must
 * use the mean. */
static void
unrelated_declarations_are_ignored(void)
{
    struct run_estimate l = {0};

    for (int i = 0; i < 400; i++) {
        estimate_add_run(&l, 1 + INT64_C(5000) * (i * 7 % 11),
                         900 + INT64_C(100) * (i % 3));
    }
    CU_ASSERT_DOUBLE_EQUAL(estimate_mean_us(&l, 50000), 1000, 50);
    CU_ASSERT_DOUBLE_EQUAL(estimate_mean_us(&l, 1), 1000, 50);
}

#define ADD(test) check_add("health", #test, test)

void
suite_health(void)
{
    ADD(failing_upstream_is_quarantined);
    ADD(probe_restores_an_upstream);
    ADD(service_wide_failure_is_capped);
    ADD(only_upstream_is_not_quarantined);
    ADD(cap_counts_the_whole_zone);
    ADD(declared_times_are_corrected);
    ADD(unrelated_declarations_are_ignored);
}
