/* Tests of membership, claim voters and the contents of heartbeats. */
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "check.h"
#include "entry_net.h"
#include "member.h"

enum { PER_ZONE = 3, SERVICES = 30 };

#define MSEC USEC_PER_MSEC
#define SEC USEC_PER_SEC

static struct enet *
new_net(int zones, int per_zone)
{
    struct enet_options o = {.zones = zones,
                             .per_zone = per_zone,
                             .seed = 9,
                             .new_region = true,
                             .run_us = 100 * MSEC};

    return enet_new(&o);
}

static const struct member *
member_as_seen_by(const struct enet *n, int by, int node)
{
    return members_by_name(n->nodes[by].e, n->nodes[node].name);
}

/* All instances must agree on the voters of a zone: otherwise two claimers
 * could both get a majority. */
static void
voters_are_the_same_everywhere(void)
{
    struct enet *n = new_net(3, 2);

    enet_kill(n, 0);
    enet_run(n, 5 * SEC);
    for (int zone = 0; zone < 3; zone++) {
        struct name first[VOTERS_PER_ZONE];
        struct name other[VOTERS_PER_ZONE];
        int at = zone * 2;
        struct name home = n->nodes[at].zone;

        CU_ASSERT_EQUAL(members_voters(n->nodes[1].e, home, first), 3);
        CU_ASSERT_TRUE(name_equal(first[0], n->nodes[at].name));
        CU_ASSERT_TRUE(name_equal(first[1], n->nodes[at + 1].name));
        for (int i = 2; i < n->n_nodes; i++) {
            (void)members_voters(n->nodes[i].e, home, other);
            for (int v = 0; v < VOTERS_PER_ZONE; v++) {
                CU_ASSERT_TRUE(name_equal(first[v], other[v]));
            }
        }
    }
    CU_ASSERT_EQUAL(members_voters(n->nodes[1].e, name_of("nowhere"),
                                   (struct name[VOTERS_PER_ZONE]){{""}}),
                    0);
    enet_free(n);
}

/* A process that dies breaks its connections and must be down within a second.
 * A paused one, whose connections stay, is down after the member timeout. */
static void
failed_members_go_down(void)
{
    struct enet *n = new_net(2, PER_ZONE);

    enet_kill(n, 1);
    enet_run(n, SEC);
    CU_ASSERT_FALSE(member_as_seen_by(n, 0, 1)->up);
    enet_pause(n, 2, true);
    enet_run(n, SEC);
    CU_ASSERT_TRUE(member_as_seen_by(n, 0, 2)->up);
    enet_run(n, 2 * SEC);
    CU_ASSERT_FALSE(member_as_seen_by(n, 0, 2)->up);
    enet_restart(n, 1);
    enet_run(n, 10 * MSEC);
    CU_ASSERT_TRUE(member_as_seen_by(n, 0, 1)->up);
    CU_ASSERT_EQUAL(member_as_seen_by(n, 0, 1)->incarnation, 2);
    enet_free(n);
}

/* A heartbeat of an earlier incarnation arrives after its sender has
 * restarted.  If it were accepted, the sender would count as restarted again,
 * and every wait at it would be answered as lost. */
static void
earlier_incarnations_are_ignored(void)
{
    struct enet *n = new_net(2, PER_ZONE);
    struct msg late = {.kind = MSG_HEARTBEAT};
    uint64_t bad;

    enet_restart(n, 1);
    enet_run(n, SEC);
    bad = entry_counters(n->nodes[0].e).messages_bad;
    late.u.heartbeat.incarnation = 1;
    late.u.heartbeat.stopping = 1;
    enet_inject(n, n->nodes[1].name, 0, &late);
    CU_ASSERT_EQUAL(member_as_seen_by(n, 0, 1)->incarnation, 2);
    CU_ASSERT_FALSE(member_as_seen_by(n, 0, 1)->stopping);
    CU_ASSERT_EQUAL(entry_counters(n->nodes[0].e).messages_bad, bad + 1);
    enet_free(n);
}

/* A process resumes after a pause of 60 s without heartbeats.  If it counted
 * all members as down, it would take over every upstream of its zone. */
static void
members_stay_up_after_pause(void)
{
    struct enet *n = new_net(2, PER_ZONE);

    enet_pause(n, 1, true);
    enet_run(n, 60 * SEC);
    enet_pause(n, 1, false);
    enet_run(n, 10 * MSEC);
    for (int i = 0; i < n->n_nodes; i++) {
        CU_ASSERT_TRUE(member_as_seen_by(n, 1, i)->up);
    }
    enet_kill(n, 4);
    enet_run(n, 3 * SEC);
    CU_ASSERT_FALSE(member_as_seen_by(n, 1, 4)->up);
    CU_ASSERT_TRUE(member_as_seen_by(n, 1, 5)->up);
    enet_free(n);
}

/* Counts heartbeats of node 0 within its zone and to the other zone. */
static int local_loads;
static int remote_loads;
static int remote_heartbeats;

static enum enet_delivery
count_loads(struct enet *n, int from, int to, const struct msg *m)
{
    bool loads = m->kind == MSG_HEARTBEAT && m->u.heartbeat.has_loads != 0;

    if (from == 0 && m->kind == MSG_HEARTBEAT) {
        local_loads += loads && to == 1 ? 1 : 0;
        remote_loads += loads && to == PER_ZONE ? 1 : 0;
        remote_heartbeats += to == PER_ZONE ? 1 : 0;
    }
    (void)n;
    return ENET_DELIVER;
}

static void
announce_services(struct enet *n)
{
    for (int i = 0; i < SERVICES; i++) {
        struct event ev = {.kind = EV_ANNOUNCE};
        struct rec_upstream_info *info = &ev.u.announce.info;
        char text[NAME_SIZE];

        (void)snprintf(text, sizeof(text), "s%d", i);
        info->service = name_of(text);
        info->upstream = name_of(text);
        info->incarnation = 1;
        info->zone = n->nodes[0].zone;
        info->address = address_of("http://127.0.0.1:1");
        info->slots = 8;
        info->connections = 8;
        enet_step(n, 0, &ev);
    }
}

static void
remote_loads_are_rarer_with_many_services(void)
{
    struct enet *n = new_net(2, PER_ZONE);

    n->opts.filter = count_loads;
    local_loads = remote_loads = remote_heartbeats = 0;
    enet_run(n, 8 * SEC);
    CU_ASSERT_EQUAL(remote_heartbeats, 16);
    CU_ASSERT_EQUAL(remote_loads, 16);
    announce_services(n);
    local_loads = remote_loads = remote_heartbeats = 0;
    enet_run(n, 4 * SEC);
    CU_ASSERT_EQUAL(local_loads, 8);
    CU_ASSERT_EQUAL(remote_heartbeats, 8);
    CU_ASSERT_TRUE(remote_loads >= 1 && remote_loads <= 6);
    CU_ASSERT_TRUE(member_as_seen_by(n, PER_ZONE, 0)->n_loads >= 1);
    enet_free(n);
}

void
suite_member(void)
{
    check_add("member", "voters_are_the_same_everywhere",
              voters_are_the_same_everywhere);
    check_add("member", "failed_members_go_down", failed_members_go_down);
    check_add("member", "earlier_incarnations_are_ignored",
              earlier_incarnations_are_ignored);
    check_add("member", "members_stay_up_after_pause",
              members_stay_up_after_pause);
    check_add("member", "remote_loads_are_rarer_with_many_services",
              remote_loads_are_rarer_with_many_services);
}
