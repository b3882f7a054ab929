/* Speeds of upstreams: the estimate, the choice of an upstream by speed, and
 * what brokers tell each other. */
#include <math.h>
#include <stdlib.h>
#include <string.h>

#include "check.h"
#include "replay.h"
#include "upstream_speed.h"
#include "vlease.h"

#define MSEC USEC_PER_MSEC
#define SEC USEC_PER_SEC
#define READY_US (6 * SEC)
#define LEARNED_US (READY_US + 12 * SEC)

enum { UPSTREAMS = 24, WIDTH_MAX = 8, DRIFT_TASKS = 20000 };

static const double true_speeds[] = {0.6, 1.0, 1.6};

/* The estimate */

struct pool {
    uint64_t random;
    double true_log[UPSTREAMS];
    struct upstream_speed speeds[UPSTREAMS];
    struct upstream_speed *list[UPSTREAMS];
};

static void
init_pool(struct pool *p, uint64_t seed, size_t n_speeds)
{
    double sum = 0;

    memset(p, 0, sizeof(*p));
    p->random = seed;
    for (size_t i = 0; i < UPSTREAMS; i++) {
        p->list[i] = &p->speeds[i];
        p->true_log[i] = n_speeds > 1 ? log(true_speeds[i % n_speeds]) : 0;
        sum += p->true_log[i];
    }
    for (size_t i = 0; i < UPSTREAMS; i++) {
        p->true_log[i] -= sum / UPSTREAMS;
    }
}

static double
draw(struct pool *p, double least, double most)
{
    return least + (most - least) * (double)(random_next(&p->random) % 10000) /
                       10000.0;
}

/* A job of the load that the estimate is made for; returns its width. */
static size_t
run_job(struct pool *p)
{
    static const size_t widths[] = {8, 4, 2};
    static const double usual_us[] = {51000, 760000, 170000};
    size_t kind = random_next(&p->random) % 3;
    double job_us = usual_us[kind] * draw(p, 0.6, 1.4);
    struct speed_run runs[WIDTH_MAX] = {0};

    for (size_t i = 0; i < widths[kind]; i++) {
        size_t at = random_next(&p->random) % UPSTREAMS;
        double straggler = random_next(&p->random) % 100 < 3 ? 7.0 : 1.0;

        runs[i].speed = &p->speeds[at];
        runs[i].ran_us =
            job_us * draw(p, 0.85, 1.15) * straggler * exp(-p->true_log[at]);
    }
    (void)upstream_speed_add_job(runs, widths[kind]);
    upstream_speed_normalize(p->list, UPSTREAMS);
    return widths[kind];
}

static void
run_tasks(struct pool *p, size_t tasks)
{
    size_t done = 0;

    while (done < tasks) {
        done += run_job(p);
    }
}

/* Number of upstreams whose estimate is within 10 %. */
static int
count_close(const struct pool *p)
{
    int n = 0;

    for (size_t i = 0; i < UPSTREAMS; i++) {
        n += fabs(p->speeds[i].log_speed - p->true_log[i]) < log(1.1) ? 1 : 0;
    }
    return n;
}

/* Slow learning: a new holder would place long tasks on slow upstreams for
 * seconds. */
static void
speeds_are_known_after_twenty_tasks(void)
{
    for (uint64_t seed = 1; seed <= 10; seed++) {
        struct pool p;

        init_pool(&p, seed, 3);
        run_tasks(&p, (size_t)20 * UPSTREAMS);
        CU_ASSERT_TRUE(count_close(&p) * 5 >= UPSTREAMS * 4);
    }
}

/* Speeds and expected run times could drift against each other. */
static void
speeds_do_not_drift(void)
{
    struct pool p;
    double sum = 0;

    init_pool(&p, 11, 3);
    run_tasks(&p, DRIFT_TASKS);
    CU_ASSERT_EQUAL(count_close(&p), UPSTREAMS);
    for (size_t i = 0; i < UPSTREAMS; i++) {
        sum += p.speeds[i].log_speed;
    }
    CU_ASSERT_TRUE(fabs(sum / UPSTREAMS) < 0.01);
}

/* Chance and stragglers must not look like different speeds: decisions would
 * change where all upstreams are alike. */
static void
alike_upstreams_never_differ(void)
{
    for (uint64_t seed = 1; seed <= 5; seed++) {
        struct pool p;
        int differ = 0;

        init_pool(&p, seed, 1);
        for (int i = 0; i < 3000; i++) {
            (void)run_job(&p);
            for (size_t j = 0; j < UPSTREAMS; j++) {
                differ += upstream_speed_differs(&p.speeds[j]) ? 1 : 0;
            }
        }
        CU_ASSERT_EQUAL(differ, 0);
    }
}

/* A run on the same upstream shows nothing of its speed, nor does an excluded
 * one. */
static void
only_other_upstreams_are_compared(void)
{
    struct upstream_speed a = {0};
    struct upstream_speed c = {0};
    struct speed_run same[] = {{&a, 1000, false}, {&a, 3000, false}};
    struct speed_run excluded[] = {{&a, 1000, false}, {&c, 7000, true}};
    struct speed_run both[] = {{&a, 1000, false}, {&c, 2000, false}};

    CU_ASSERT_FALSE(upstream_speed_add_job(same, 2));
    CU_ASSERT_FALSE(upstream_speed_add_job(excluded, 2));
    CU_ASSERT_EQUAL(a.samples, 0);
    CU_ASSERT_TRUE(upstream_speed_add_job(both, 2));
    CU_ASSERT_TRUE(a.log_speed > 0 && c.log_speed < 0);
}

/* In a region */

/* One zone with a holder of all 12 upstreams, which has measured them. */
static struct vlease *
measured_zone(bool break_old_speed, bool without, vlease_hook *hook)
{
    struct vlease_options o = vlease_options_default();
    struct vlease *v;

    o.zones = 1;
    o.upstreams = 12;
    o.n_speeds = 3;
    memcpy(o.speeds, true_speeds, sizeof(true_speeds));
    o.straggler_share = 0.03;
    o.straggler_factor = 7.0;
    o.queues[0].per_s = 40;
    o.breaks[BROKER_BREAK_OLD_SPEED] = break_old_speed;
    o.without[BROKER_FEATURE_UPSTREAM_SPEED] = without;
    v = vlease_new(&o);
    vlease_set_hook(v, hook, NULL);
    vlease_run(v, READY_US);
    vlease_load(v, 1.0);
    vlease_run(v, LEARNED_US);
    vlease_load(v, 0);
    vlease_run(v, LEARNED_US + 3 * SEC);
    return v;
}

static uint32_t
holder_of(const struct vlease *v)
{
    return broker_gauges(vlease_broker(v, 0)).upstreams_held > 0 ? 0 : 1;
}

/* Number of upstreams whose speed the broker knows within 12 %: 10 % and the
 * part that is not reported. */
static int
count_known(const struct vlease *v, uint32_t broker)
{
    double mean = (log(0.6) + log(1.6)) / 3.0;
    int n = 0;

    for (size_t i = 0; i < 12; i++) {
        struct name name;
        double speed;
        uint32_t samples;

        (void)snprintf(name.s, sizeof(name.s), "up%zu", i);
        n += broker_upstream_speed(vlease_broker(v, broker), name, &speed,
                                   &samples) &&
                     fabs(log(speed) - log(true_speeds[i % 3]) + mean) < 0.12
                 ? 1
                 : 0;
    }
    return n;
}

/* The holder that knows the speeds dies, also one with a successor that
 * started after the last report: the successor must not learn them anew. */
static void
successor_has_reported_speeds(void)
{
    for (int restart = 0; restart < 2; restart++) {
        struct vlease *v = measured_zone(false, false, NULL);
        uint32_t holder = holder_of(v);

        CU_ASSERT_EQUAL(count_known(v, holder), 12);
        if (restart != 0) {
            vlease_kill(v, 1 - holder);
            vlease_run(v, LEARNED_US + 4 * SEC);
            vlease_start(v, 1 - holder);
            vlease_run(v, LEARNED_US + 7 * SEC);
        }
        vlease_kill(v, holder);
        vlease_run(v, LEARNED_US + 9 * SEC);
        CU_ASSERT_EQUAL(
            broker_gauges(vlease_broker(v, 1 - holder)).upstreams_measured,
            12);
        CU_ASSERT_EQUAL(count_known(v, 1 - holder), 12);
        vlease_free(v);
    }
}

static enum vlease_fate
lose_speeds(void *ctx, struct vlease *v, const struct vlease_hop *hop)
{
    (void)ctx;
    (void)v;
    return strcmp(hop->label, "upstream_speeds") == 0 ? VLEASE_LOSE
                                                      : VLEASE_PASS;
}

/* A build does not have the message, or its holder does not: the successor
 * starts with a speed of 1, and serves. */
static void
successor_without_reports_learns_anew(void)
{
    struct vlease *v = measured_zone(false, false, lose_speeds);
    uint32_t holder = holder_of(v);

    CU_ASSERT_EQUAL(count_known(v, 1 - holder), 0);
    vlease_kill(v, holder);
    vlease_run(v, LEARNED_US + 6 * SEC);
    CU_ASSERT_EQUAL(
        broker_gauges(vlease_broker(v, 1 - holder)).upstreams_measured, 0);
    vlease_load(v, 1.0);
    vlease_run(v, LEARNED_US + 18 * SEC);
    vlease_load(v, 0);
    vlease_run(v, LEARNED_US + 22 * SEC);
    CU_ASSERT_EQUAL(count_known(v, 1 - holder), 12);
    CU_ASSERT_EQUAL(vlease_broken(vlease_faults(v)), 0);
    vlease_free(v);
}

/* Number of brokers that use a speed of an earlier incarnation of an
 * upstream. */
static int
count_outdated(bool break_old_speed)
{
    struct vlease *v = measured_zone(break_old_speed, false, NULL);
    int n = 0;

    vlease_reborn(v, 2);
    vlease_run(v, LEARNED_US + 6 * SEC);
    for (uint32_t i = 0; i < 2; i++) {
        double speed;
        uint32_t samples;

        n += broker_upstream_speed(vlease_broker(v, i), name_of("up2"), &speed,
                                   &samples)
                 ? 1
                 : 0;
    }
    vlease_free(v);
    return n;
}

/* An upstream restarts, perhaps on another machine: its earlier speed must not
 * be used.  The deliberate fault shows that the check can fail. */
static void
restarted_upstream_has_no_speed(void)
{
    CU_ASSERT_EQUAL(count_outdated(false), 0);
    CU_ASSERT_EQUAL(count_outdated(true), 2);
}

/* With the part off, no speed is measured or sent. */
static void
disabled_part_measures_nothing(void)
{
    struct vlease *v = measured_zone(false, true, NULL);

    CU_ASSERT_EQUAL(count_known(v, 0) + count_known(v, 1), 0);
    CU_ASSERT_EQUAL(
        broker_gauges(vlease_broker(v, holder_of(v))).upstreams_measured, 0);
    vlease_free(v);
}

static double
served(const struct vcredit_sum *s)
{
    return s->earned / s->owed;
}

/* Stragglers must not look like slow upstreams, and long tasks must not go to
 * slow ones: callers, and those of the long queue, would be served worse. */
static void
uneven_upstreams_are_served_better(void)
{
    static const enum replay replays[] = {REPLAY_speeds, REPLAY_speeds_over};

    for (size_t i = 0; i < 2; i++) {
        struct replay_options on = {.seeds = 3};
        struct replay_options off = {.seeds = 3};
        struct vcredit with;
        struct vcredit without;

        off.without[BROKER_FEATURE_UPSTREAM_SPEED] = true;
        CU_ASSERT_TRUE(replay_run(replays[i], &on, &with));
        CU_ASSERT_TRUE(replay_run(replays[i], &off, &without));
        CU_ASSERT_TRUE(served(&with.callers) > served(&without.callers));
        CU_ASSERT_TRUE(served(&with.queues[1]) > served(&without.queues[1]));
    }
}

/* Reports, at one broker */

struct receiver {
    struct broker *b;
    int64_t now_us;
};

static void
step(struct receiver *r, struct broker_event *ev)
{
    struct broker_effects fx = {0};

    ev->now.mono_us = r->now_us;
    ev->now.wall_us = r->now_us;
    ev->callers_known_us = r->now_us;
    broker_step(r->b, ev, &fx);
    broker_effects_clear(&fx);
    free(fx.items);
}

static void
receive(struct receiver *r, const char *from, const struct msg *m)
{
    struct broker_event ev = {.kind = BEV_MESSAGE};

    ev.u.message.from = name_of(from);
    ev.u.message.msg = m;
    step(r, &ev);
}

static void
connect_broker(struct receiver *r, const char *name, uint64_t incarnation,
               bool up)
{
    struct broker_event ev = {.kind = BEV_PEER};
    struct msg m = {.kind = MSG_INTRODUCTION};

    ev.u.peer.peer = name_of(name);
    ev.u.peer.up = up;
    step(r, &ev);
    m.u.introduction.zone = name_of("zone");
    m.u.introduction.incarnation = incarnation;
    if (up) {
        receive(r, name, &m);
    }
}

static void
report_upstream(struct receiver *r, uint64_t born_ms)
{
    struct rec_leased_upstream u = {.upstream = name_of("up"),
                                    .born_ms = born_ms,
                                    .sequence = 1,
                                    .service = name_of("service"),
                                    .zone = name_of("zone"),
                                    .slots = 8,
                                    .cpu_milli = 16000};
    struct msg m = {.kind = MSG_UPSTREAM_REPORT};

    m.u.upstream_report.upstreams = &u;
    m.u.upstream_report.n_upstreams = 1;
    receive(r, "registry", &m);
}

static void
report_hold(struct receiver *r, const char *holder, uint64_t fence)
{
    struct rec_held_upstream u = {
        .upstream = name_of("up"), .held = 1, .fence = fence};
    struct msg m = {.kind = MSG_UPSTREAM_HOLDS};

    m.u.upstream_holds.upstreams = &u;
    m.u.upstream_holds.n_upstreams = 1;
    receive(r, holder, &m);
}

static void
report_speed(struct receiver *r, const char *from, uint64_t born_ms,
             uint64_t permille)
{
    struct rec_upstream_speed s = {.upstream = name_of("up"),
                                   .born_ms = born_ms,
                                   .speed_permille = permille,
                                   .samples = 30};
    struct msg m = {.kind = MSG_UPSTREAM_SPEEDS};

    m.u.upstream_speeds.speeds = &s;
    m.u.upstream_speeds.n_speeds = 1;
    receive(r, from, &m);
}

/* In thousandths; 0: unknown. */
static long
known_permille(const struct receiver *r)
{
    double speed = 0;
    uint32_t samples;

    return broker_upstream_speed(r->b, name_of("up"), &speed, &samples)
               ? lround(1000 * speed)
               : 0;
}

/* A broker whose upstream "up", of incarnation 1000, is held by "holder". */
static struct receiver
new_receiver(bool break_old_speed)
{
    struct broker_options o = broker_options_default();
    struct rec_instance registry = {.name = name_of("registry")};
    struct receiver r = {.now_us = SEC};

    o.self = name_of("receiver");
    o.zone = name_of("zone");
    o.incarnation = 5;
    o.registries = &registry;
    o.n_registries = 1;
    o.breaks[BROKER_BREAK_OLD_SPEED] = break_old_speed;
    r.b = broker_new(&o);
    connect_broker(&r, "holder", 1, true);
    connect_broker(&r, "other", 2, true);
    report_upstream(&r, 1000);
    report_hold(&r, "holder", 7);
    return r;
}

/* A report of an older incarnation replaces the speed of the current one. */
static void
report_of_older_incarnation_is_ignored(void)
{
    for (int broken = 0; broken < 2; broken++) {
        struct receiver r = new_receiver(broken != 0);

        report_speed(&r, "holder", 1000, 600);
        CU_ASSERT_EQUAL(known_permille(&r), 600);
        report_speed(&r, "holder", 900, 1600);
        CU_ASSERT_EQUAL(known_permille(&r), broken != 0 ? 1600 : 600);
        broker_free(r.b);
    }
}

/* A new broker gets the speeds from a holder before a registry reports the
 * upstreams' incarnations. */
static void
report_of_newer_incarnation_is_kept(void)
{
    struct receiver r = new_receiver(false);

    report_speed(&r, "holder", 1100, 600);
    CU_ASSERT_EQUAL(known_permille(&r), 0);
    report_upstream(&r, 1100);
    CU_ASSERT_EQUAL(known_permille(&r), 600);
    broker_free(r.b);
}

/* A broker that was disconnected reports speeds of upstreams that another one
 * holds by now, or this one. */
static void
report_of_former_holder_is_ignored(void)
{
    struct receiver r = new_receiver(false);

    report_speed(&r, "holder", 1000, 600);
    report_speed(&r, "other", 1000, 1600);
    CU_ASSERT_EQUAL(known_permille(&r), 600);
    connect_broker(&r, "holder", 1, false);
    connect_broker(&r, "other", 2, false);
    for (int i = 0; i < 50; i++) {
        r.now_us += 100 * MSEC;
        step(&r, &(struct broker_event){.kind = BEV_TICK});
    }
    CU_ASSERT_EQUAL(broker_gauges(r.b).upstreams_held, 1);
    CU_ASSERT_EQUAL(broker_gauges(r.b).slowest_permille, 600);
    /* It restarted, so that it does not become the holder again. */
    connect_broker(&r, "holder", 9, true);
    CU_ASSERT_EQUAL(broker_gauges(r.b).upstreams_held, 1);
    report_speed(&r, "holder", 1000, 1600);
    CU_ASSERT_EQUAL(known_permille(&r), 600);
    broker_free(r.b);
}

void
suite_upstream_speed(void)
{
#define TEST(name) check_add("upstream_speed", #name, name)
    TEST(speeds_are_known_after_twenty_tasks);
    TEST(speeds_do_not_drift);
    TEST(alike_upstreams_never_differ);
    TEST(only_other_upstreams_are_compared);
    TEST(successor_has_reported_speeds);
    TEST(successor_without_reports_learns_anew);
    TEST(restarted_upstream_has_no_speed);
    TEST(disabled_part_measures_nothing);
    TEST(uneven_upstreams_are_served_better);
    TEST(report_of_older_incarnation_is_ignored);
    TEST(report_of_newer_incarnation_is_kept);
    TEST(report_of_former_holder_is_ignored);
#undef TEST
}
