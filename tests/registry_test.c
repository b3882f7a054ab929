/* Reports and rosters that a registry sends to brokers. */
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "check.h"
#include "registry.h"
#include "roster.h"

#define SEC USEC_PER_SEC

enum {
    ZONES = 3,
    BROKERS_EACH = 90,
    BROKERS = ZONES * BROKERS_EACH,
    UPSTREAMS_EACH = 1000,
    UPSTREAMS = ZONES * UPSTREAMS_EACH,
};

/* Messages sent to one broker, and the number of items in them. */
struct delivered {
    size_t messages;
    size_t upstreams;
    size_t others; /* upstreams of other zones */
    size_t brokers;
};

struct region {
    struct registry *registry;
    struct control_effects fx;
    int64_t now_us;
    struct delivered delivered[BROKERS];
};

static struct name
numbered_name(const char *kind, size_t n)
{
    struct name name = {0};

    (void)snprintf(name.s, sizeof(name.s), "%s-%zu", kind, n);
    return name;
}

static struct name
zone_of(size_t broker)
{
    return numbered_name("zone", broker % ZONES);
}

static struct moment
at(const struct region *r)
{
    return (struct moment){.mono_us = r->now_us, .wall_us = r->now_us};
}

static void
count(struct region *r, const struct ce_send *s)
{
    size_t broker = strtoul(s->to.s + strlen("broker-"), NULL, 10);
    struct delivered *t = &r->delivered[broker];
    const struct rec_upstream_report *report = &s->msg.u.upstream_report;

    t->messages++;
    if (s->msg.kind == MSG_ROSTER) {
        t->brokers += s->msg.u.roster.n_brokers;
        return;
    }
    for (size_t i = 0; i < report->n_upstreams; i++) {
        bool own = name_equal(report->upstreams[i].zone, zone_of(broker));

        t->upstreams += own ? 1 : 0;
        t->others += own ? 0 : 1;
    }
}

static void
take_effects(struct region *r)
{
    for (size_t i = 0; i < r->fx.n; i++) {
        if (r->fx.items[i].kind == CE_SEND) {
            count(r, &r->fx.items[i].u.send);
        }
    }
    control_effects_clear(&r->fx);
}

static void
introduce(struct region *r, size_t broker, bool holds, bool again)
{
    struct msg m = {.kind = MSG_INTRODUCTION};

    m.u.introduction.zone = zone_of(broker);
    m.u.introduction.address = address_of("127.0.0.1:1");
    m.u.introduction.holds = holds ? 1 : 0;
    m.u.introduction.again = again ? 1 : 0;
    CU_ASSERT_TRUE(registry_on_message(
        r->registry, numbered_name("broker", broker), &m, at(r), &r->fx));
    take_effects(r);
}

static void
announce(struct region *r, size_t upstream, uint64_t sequence)
{
    struct rec_leased_upstream u = {.born_ms = 1, .sequence = sequence};

    u.upstream = numbered_name("upstream", upstream);
    u.service = name_of("service");
    u.zone = numbered_name("zone", upstream % ZONES);
    u.address = address_of("127.0.0.1:2");
    u.slots = 8;
    (void)registry_announce(r->registry, &u, at(r));
}

static void
run_until(struct region *r, int64_t us)
{
    while (registry_next_us(r->registry) <= us) {
        int64_t next = registry_next_us(r->registry);

        r->now_us = next > r->now_us ? next : r->now_us;
        registry_tick(r->registry, at(r), &r->fx);
        take_effects(r);
    }
    r->now_us = us;
}

/* All brokers introduce themselves within 0.3 s, as in a region that starts.
 */
static struct region *
start_region(size_t brokers)
{
    struct region *r = calloc(1, sizeof(*r));

    if (r == NULL) {
        abort();
    }
    r->registry = registry_new();
    r->now_us = SEC;
    for (size_t i = 0; i < brokers; i++) {
        run_until(r,
                  SEC + (int64_t)i * 300 * USEC_PER_MSEC / (int64_t)brokers);
        introduce(r, i, false, false);
    }
    run_until(r, 2 * SEC);
    return r;
}

static void
reset_delivered(struct region *r)
{
    memset(r->delivered, 0, sizeof(r->delivered));
}

static void
region_free(struct region *r)
{
    registry_free(r->registry);
    control_effects_free(&r->fx);
    free(r);
}

/* Guards against a registry that runs out of memory when 270 brokers start at
 * once.  If it sent each broker all 270 whenever a new one connects, it would
 * queue 19 million rows in the first second, faster than the slowest reader
 * takes them, and the region would be without control. */
static void
many_brokers_start_together(void)
{
    struct region *r = start_region(BROKERS);
    size_t most = 0;

    for (size_t i = 0; i < BROKERS; i++) {
        most = r->delivered[i].brokers > most ? r->delivered[i].brokers : most;
    }
    /* All of its zone and the few of other zones once, then again those that
     * connected later, some of them twice. */
    CU_ASSERT_TRUE(most <= 3 * (BROKERS_EACH +
                                (ZONES - 1) * (size_t)ROSTER_REMOTE_ZONE_MAX));
    region_free(r);
}

/* Guards against two brokers of a zone that don't know each other, and would
 * both hold an upstream: each is sent all brokers of its zone, at once or soon
 * after. */
static void
zone_gets_its_full_roster(void)
{
    struct region *r = start_region(BROKERS);
    size_t last = BROKERS - 1;

    CU_ASSERT_TRUE(r->delivered[0].brokers >= BROKERS_EACH);
    CU_ASSERT_TRUE(r->delivered[last].brokers >= BROKERS_EACH);
    region_free(r);
}

/* A region with few brokers is fully connected. */
static void
small_region_gets_full_roster(void)
{
    struct region *r = start_region(9);

    for (size_t i = 0; i < 9; i++) {
        CU_ASSERT_TRUE(r->delivered[i].brokers >= 9);
    }
    region_free(r);
}

/* Guards against refused jobs while upstreams of other zones are idle.  Jobs
 * that a zone has no capacity for go to brokers of other zones that hold
 * upstreams, so a broker that begins to hold some must be sent to those zones.
 */
static void
new_holders_are_sent_to_other_zones(void)
{
    struct region *r = start_region(BROKERS);
    size_t heard = 0;

    reset_delivered(r);
    introduce(r, 1, true, true); /* of zone 1 */
    CU_ASSERT_EQUAL(r->delivered[1].messages, 0);
    run_until(r, 3 * SEC);
    for (size_t i = 0; i < BROKERS; i++) {
        heard += i % ZONES != 1 && r->delivered[i].brokers == 1 ? 1 : 0;
    }
    CU_ASSERT_EQUAL(heard, (ZONES - 1) * (size_t)BROKERS_EACH);
    region_free(r);
}

/* Where a zone has more holders than a broker of another zone is sent, each
 * broker is sent different ones: no holder is sent to half of all brokers. */
static void
other_zones_are_spread_over_holders(void)
{
    struct region *r = start_region(BROKERS);
    struct roster roster = {0};
    size_t times[BROKERS] = {0};

    for (size_t i = 0; i < BROKERS; i++) {
        struct rec_introduction one = {.zone = zone_of(i), .holds = i < 90};

        one.address = address_of("127.0.0.1:1");
        (void)roster_update(&roster, numbered_name("broker", i), &one, SEC);
    }
    for (const struct roster_broker *to = roster.brokers; to != NULL;
         to = to->next) {
        struct rec_instance *list;
        size_t n = roster_select(&roster, to, false, &list);

        CU_ASSERT_EQUAL(n, BROKERS_EACH +
                               (ZONES - 1) * (size_t)ROSTER_REMOTE_ZONE_MAX);
        for (size_t i = 0; i < n; i++) {
            size_t other =
                strtoul(list[i].name.s + strlen("broker-"), NULL, 10);

            if (!name_equal(list[i].zone, to->info.zone)) {
                CU_ASSERT_TRUE(other < 90);
                times[other]++;
            }
        }
        free(list);
    }
    for (size_t i = 0; i < 90; i++) {
        CU_ASSERT_TRUE(times[i] < (size_t)(ZONES - 1) * BROKERS_EACH / 2);
        CU_ASSERT_TRUE(times[i] > 0);
    }
    roster_free(&roster);
    region_free(r);
}

/* 3,000 upstreams announce themselves.  A broker holds only those of its own
 * zone; if it were sent all, it would store, and a registry would send, three
 * times as many. */
static void
upstreams_are_reported_in_their_zone(void)
{
    struct region *r = start_region(BROKERS);

    reset_delivered(r);
    for (size_t i = 0; i < UPSTREAMS; i++) {
        announce(r, i, 1);
    }
    run_until(r, r->now_us + 100 * USEC_PER_MSEC);
    for (size_t i = 0; i < BROKERS; i++) {
        CU_ASSERT_EQUAL(r->delivered[i].upstreams, UPSTREAMS_EACH);
        CU_ASSERT_EQUAL(r->delivered[i].messages, 1);
        CU_ASSERT_EQUAL(r->delivered[i].others, 0);
    }
    reset_delivered(r);
    r->now_us += SEC;
    announce(r, 0, 2);
    run_until(r, r->now_us + 100 * USEC_PER_MSEC);
    CU_ASSERT_EQUAL(r->delivered[0].upstreams, 0);
    run_until(r, 25 * SEC);
    CU_ASSERT_EQUAL(r->delivered[1].others, 0);
    region_free(r);
}

/* Guards against saved upstreams that are never removed, and polled for ever.
 * A registry restarts after a power loss.  Of the two upstreams on its disk,
 * both reported to brokers at once, one never announces itself again, and the
 * other has restarted. */
static void
saved_upstreams_are_reported_until_silent(void)
{
    struct region *r = start_region(1);
    struct rec_leased_upstream kept[2] = {{.born_ms = 1, .sequence = 40},
                                          {.born_ms = 1, .sequence = 40}};
    struct rec_upstream_report report = {kept, 2};
    struct rec_leased_upstream again = {.born_ms = 2, .sequence = 1};

    for (size_t i = 0; i < 2; i++) {
        kept[i].upstream = numbered_name("upstream", i);
        kept[i].zone = zone_of(0);
    }
    reset_delivered(r);
    registry_restore(r->registry, &report, at(r));
    introduce(r, 0, false, false);
    CU_ASSERT_EQUAL(r->delivered[0].upstreams, 2);
    again.upstream = numbered_name("upstream", 1);
    again.zone = zone_of(0);
    CU_ASSERT_EQUAL(registry_announce(r->registry, &again, at(r)),
                    REGISTRY_CHANGED);
    run_until(r, r->now_us + 10 * SEC);
    again.sequence = 2;
    (void)registry_announce(r->registry, &again, at(r));
    run_until(r, r->now_us + 14 * SEC);
    CU_ASSERT_EQUAL(registry_gauges(r->registry).upstreams, 1);
    region_free(r);
}

static size_t
saved_upstreams(const struct control_effects *fx)
{
    size_t n = SIZE_MAX;

    for (size_t i = 0; i < fx->n; i++) {
        if (fx->items[i].kind == CE_SAVE_UPSTREAMS) {
            n = fx->items[i].u.upstreams.report.u.upstream_report.n_upstreams;
        }
    }
    return n;
}

/* Guards against saving upstreams that are leaving: after a restart, brokers
 * would give them tasks until their next announcement.  A hundred changes make
 * one write, since publications wait behind it. */
static void
leaving_upstreams_are_not_saved(void)
{
    struct region *r = start_region(1);
    struct rec_leased_upstream leaving = {
        .born_ms = 1, .sequence = 2, .leaving = 1};
    struct moment due;

    for (size_t i = 0; i < 100; i++) {
        announce(r, i, 1);
    }
    leaving.upstream = numbered_name("upstream", 3);
    leaving.zone = zone_of(0);
    (void)registry_announce(r->registry, &leaving, at(r));
    due = at(r);
    due.mono_us += SEC;
    registry_tick(r->registry, due, &r->fx);
    CU_ASSERT_EQUAL(saved_upstreams(&r->fx), 99);
    control_effects_clear(&r->fx);
    due.mono_us += SEC;
    registry_tick(r->registry, due, &r->fx);
    CU_ASSERT_EQUAL(saved_upstreams(&r->fx), SIZE_MAX);
    region_free(r);
}

/* A broker reconnects after a lost connection, which the registry may not have
 * noticed.  Messages on the old connection are lost, so everything is sent
 * again. */
static void
introduction_is_answered_in_full(void)
{
    struct region *r = start_region(9);

    announce(r, 0, 1);
    run_until(r, r->now_us + 100 * USEC_PER_MSEC);
    reset_delivered(r);
    introduce(r, 0, false, false);
    CU_ASSERT_EQUAL(r->delivered[0].upstreams, 1);
    CU_ASSERT_EQUAL(r->delivered[0].brokers, 9);
    region_free(r);
}

/* Reports a fence, and returns the one of the reply to the same broker. */
static uint64_t
report_fence(struct region *r, size_t broker, uint64_t fence)
{
    struct msg m = {.kind = MSG_FENCE_RECORD};
    const struct ce_send *reply;
    uint64_t highest;

    m.u.fence_record.fence = fence;
    CU_ASSERT_TRUE(registry_on_message(
        r->registry, numbered_name("broker", broker), &m, at(r), &r->fx));
    CU_ASSERT_EQUAL_FATAL(r->fx.n, 1);
    reply = &r->fx.items[0].u.send;
    CU_ASSERT_TRUE(name_equal(reply->to, numbered_name("broker", broker)));
    CU_ASSERT_EQUAL_FATAL(reply->msg.kind, MSG_FENCE_RECORD);
    highest = reply->msg.u.fence_record.fence;
    control_effects_clear(&r->fx);
    return highest;
}

/* Guards against a broker that takes upstreams under a fence below that of an
 * unanswered start: after a restart it has used none, and its clock may have
 * been set back. */
static void
highest_fence_is_reported_to_brokers(void)
{
    struct region *r = start_region(2);

    CU_ASSERT_EQUAL(report_fence(r, 0, 0), 0);
    CU_ASSERT_EQUAL(report_fence(r, 0, 7), 7);
    CU_ASSERT_EQUAL(report_fence(r, 1, 5), 7);
    CU_ASSERT_EQUAL(report_fence(r, 0, 0), 7);
    region_free(r);
}

void
suite_registry(void)
{
#define TEST(name) check_add("registry", #name, name)
    TEST(many_brokers_start_together);
    TEST(zone_gets_its_full_roster);
    TEST(small_region_gets_full_roster);
    TEST(new_holders_are_sent_to_other_zones);
    TEST(other_zones_are_spread_over_holders);
    TEST(upstreams_are_reported_in_their_zone);
    TEST(saved_upstreams_are_reported_until_silent);
    TEST(leaving_upstreams_are_not_saved);
    TEST(introduction_is_answered_in_full);
    TEST(highest_fence_is_reported_to_brokers);
#undef TEST
}
