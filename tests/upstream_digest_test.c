/* A registry and a broker that compare their lists of upstreams. */
#include <stdio.h>
#include <string.h>

#include "broker.h"
#include "check.h"
#include "queueconf.h"
#include "registry.h"

#define SEC USEC_PER_SEC

enum { UPSTREAMS = 20, TICK_MS = 100, ANNOUNCE_TICKS = 15 };

/*
 * struct pair - both, and what they send
 * @announced: upstreams that announce themselves, the first so many
 * @lost: reports that are lost on the way, the next so many
 */
struct pair {
    struct registry *registry;
    struct broker *broker;
    int64_t now_us;
    uint64_t sequence;
    size_t announced;
    size_t lost;
    size_t sent[MSG_KINDS]; /* by the registry */
    size_t requests;
};

static struct moment
at(const struct pair *p)
{
    return (struct moment){.mono_us = p->now_us, .wall_us = p->now_us};
}

static void exchange(struct pair *p, struct control_effects *fx);

static void
step(struct pair *p, struct broker_event *ev)
{
    struct broker_effects fx = {0};
    struct control_effects replies = {0};

    ev->now = at(p);
    broker_step(p->broker, ev, &fx);
    for (size_t i = 0; i < fx.n; i++) {
        const struct be_send *s = &fx.items[i].u.send;

        if (fx.items[i].kind == BE_SEND) {
            p->requests += s->msg.kind == MSG_UPSTREAM_REQUEST ? 1 : 0;
            (void)registry_on_message(p->registry, name_of("broker"), &s->msg,
                                      at(p), &replies);
        }
    }
    broker_effects_free(&fx);
    exchange(p, &replies);
    control_effects_free(&replies);
}

/* Hands the broker what the registry sends. */
static void
exchange(struct pair *p, struct control_effects *fx)
{
    for (size_t i = 0; i < fx->n; i++) {
        struct ce_send *s = &fx->items[i].u.send;
        struct broker_event ev = {.kind = BEV_MESSAGE};

        if (fx->items[i].kind != CE_SEND) {
            continue;
        }
        p->sent[s->msg.kind]++;
        if (s->msg.kind == MSG_UPSTREAM_REPORT && p->lost > 0) {
            p->lost--;
            continue;
        }
        ev.u.message.from = name_of("registry");
        ev.u.message.msg = &s->msg;
        step(p, &ev);
    }
}

static void
announce(struct pair *p, size_t upstream, uint64_t sequence)
{
    struct rec_leased_upstream u = {
        .born_ms = 1, .sequence = sequence, .slots = 8};

    (void)snprintf(u.upstream.s, sizeof(u.upstream.s), "u-%zu", upstream);
    u.service = name_of("service");
    u.zone = name_of("zone");
    u.address = address_of("127.0.0.1:1");
    (void)registry_announce(p->registry, &u, at(p));
}

static void
run(struct pair *p, int64_t us)
{
    int64_t end_us = p->now_us + us;

    for (int i = 0; p->now_us < end_us; i++) {
        struct control_effects fx = {0};

        p->now_us += TICK_MS * USEC_PER_MSEC;
        if (i % ANNOUNCE_TICKS == 0) {
            p->sequence++;
            for (size_t u = 0; u < p->announced; u++) {
                announce(p, u, p->sequence);
            }
        }
        if (p->now_us >= registry_next_us(p->registry)) {
            registry_tick(p->registry, at(p), &fx);
        }
        exchange(p, &fx);
        control_effects_free(&fx);
        step(p, &(struct broker_event){.kind = BEV_TICK});
    }
}

static struct pair
start(bool new_build)
{
    struct broker_options o = broker_options_default();
    struct pair p = {.registry = registry_new(), .announced = UPSTREAMS};
    struct broker_event up = {.kind = BEV_PEER};
    struct rec_instance registry = {.name = name_of("registry")};
    struct msg m = {.kind = MSG_HEARTBEAT_INTERVAL};
    struct control_effects fx = {0};

    p.now_us = SEC;
    o.self = name_of("broker");
    o.zone = name_of("zone");
    o.address = address_of("127.0.0.1:2");
    o.registries = &registry;
    o.n_registries = 1;
    o.discovery_us = 1000 * SEC; /* it holds none: it knows them by lists */
    o.discovery_min_us = 1000 * SEC;
    p.broker = broker_new(&o);
    step(&p, &(struct broker_event){.kind = BEV_TICK});
    if (new_build) {
        (void)registry_on_message(p.registry, o.self, &m, at(&p), &fx);
    }
    control_effects_free(&fx);
    up.u.peer.peer = registry.name;
    up.u.peer.up = true;
    step(&p, &up);
    run(&p, 2 * SEC);
    CU_ASSERT_EQUAL(broker_gauges(p.broker).upstreams_known, UPSTREAMS);
    memset(p.sent, 0, sizeof(p.sent));
    return p;
}

static void
stop(struct pair *p)
{
    broker_free(p->broker);
    registry_free(p->registry);
}

/* Guards against lists that are sent although nothing has changed, and against
 * a broker that removes upstreams because no list comes. */
static void
unchanged_lists_are_not_sent(void)
{
    struct pair p = start(true);

    run(&p, 130 * SEC);
    CU_ASSERT_EQUAL(p.sent[MSG_UPSTREAM_REPORT], 0);
    CU_ASSERT_TRUE(p.sent[MSG_UPSTREAM_DIGEST] >= 6);
    CU_ASSERT_EQUAL(p.requests, 0);
    CU_ASSERT_EQUAL(broker_gauges(p.broker).upstreams_known, UPSTREAMS);
    stop(&p);
}

/* Guards against a broker of the previous build that gets a message it does
 * not know instead of the list. */
static void
previous_build_gets_lists(void)
{
    struct pair p = start(false);

    run(&p, 130 * SEC);
    CU_ASSERT_TRUE(p.sent[MSG_UPSTREAM_REPORT] >= 6);
    CU_ASSERT_EQUAL(p.sent[MSG_UPSTREAM_DIGEST], 0);
    CU_ASSERT_EQUAL(broker_gauges(p.broker).upstreams_known, UPSTREAMS);
    stop(&p);
}

/* Guards against an upstream that stays unknown after a lost report, and
 * against one that the registry has removed and the broker keeps. */
static void
other_lists_are_requested(void)
{
    struct pair p = start(true);

    p.announced++;
    p.lost = 1;
    run(&p, 21 * SEC);
    CU_ASSERT_EQUAL(p.requests, 1);
    CU_ASSERT_EQUAL(broker_gauges(p.broker).upstreams_known, UPSTREAMS + 1);
    p.announced--;
    run(&p, 120 * SEC);
    CU_ASSERT_EQUAL(p.requests, 2);
    CU_ASSERT_EQUAL(broker_gauges(p.broker).upstreams_known, UPSTREAMS);
    stop(&p);
}

/* Guards against a broker that keeps what an upstream announced at another
 * registry in between: this registry sees only that an announcement is
 * missing. */
static void
missed_announcements_are_listed(void)
{
    struct pair p = start(true);

    p.sequence++;
    run(&p, 41 * SEC);
    CU_ASSERT_EQUAL(p.requests, 1);
    CU_ASSERT_EQUAL(p.sent[MSG_UPSTREAM_REPORT], 1);
    stop(&p);
}

void
suite_upstream_digest(void)
{
    check_add("upstream_digest", "unchanged_lists_are_not_sent",
              unchanged_lists_are_not_sent);
    check_add("upstream_digest", "previous_build_gets_lists",
              previous_build_gets_lists);
    check_add("upstream_digest", "other_lists_are_requested",
              other_lists_are_requested);
    check_add("upstream_digest", "missed_announcements_are_listed",
              missed_announcements_are_listed);
}
