/* Tests of team limits across instances and of shares of the queue. */
#include <stdlib.h>

#include "check.h"
#include "one_entry.h"

#define RUN_US (100 * USEC_PER_MSEC)

/** new_limited() - an instance with 24 slots, one other instance in another
 * zone, and a limit of 8 running tasks in the region */
static struct one *
new_limited(void)
{
    struct one *o = one_new(&(struct one_options){
        .peers = 1, .peers_in_other_zone = true, .slots_max_running = 8});

    for (int i = 0; i < 6; i++) {
        char name[] = {'u', (char)('0' + i), '\0'};

        one_announce(o, one_upstream_info(name));
    }
    return o;
}

static size_t
tasks_running_here(const struct one *o)
{
    return entry_gauges(o->e).tasks_running;
}

/* An instance that has all of the team's load may use the whole limit. */
static void
share_follows_the_load(void)
{
    struct one *o = new_limited();

    (void)one_submit(o, "a", 20, RUN_US);
    for (int i = 0; i < 4; i++) {
        one_heartbeat_with_load(o, "p0", 0, 0);
        one_run(o, USEC_PER_SEC / 4);
    }
    CU_ASSERT_EQUAL(tasks_running_here(o), 8);
    one_free(o);
}

/* If both instances have more load than the limit, each must keep to half. */
static void
shares_add_up_to_the_limit(void)
{
    struct one *o = new_limited();

    for (int i = 0; i < 4; i++) {
        one_heartbeat_with_load(o, "p0", 4, 16);
        one_run(o, USEC_PER_SEC / 4);
    }
    (void)one_submit(o, "a", 20, RUN_US);
    one_run(o, USEC_PER_SEC / 2);
    CU_ASSERT_EQUAL(tasks_running_here(o), 4);
    one_free(o);
}

/* A network partition separates the zones.  If each zone used the whole limit,
 * a team would exceed it twofold while the partition lasts. */
static void
partition_keeps_the_other_zones_part(void)
{
    struct one *o = new_limited();

    one_run(o, 3 * USEC_PER_SEC); /* no heartbeat of p0 */
    (void)one_submit(o, "a", 20, RUN_US);
    one_run(o, USEC_PER_SEC);
    CU_ASSERT_EQUAL(tasks_running_here(o), 4);
    one_free(o);
}

/* One team fills the queue with its jobs.  Another team, whose upstreams are
 * idle, uses the same queue, so part of it must be reserved for that team. */
static void
queue_keeps_capacity_for_other_teams(void)
{
    struct one *o = one_new(&(struct one_options){.queue_max = 40});
    struct rec_upstream_info info = one_upstream_info("t0");
    size_t taken = 0;

    one_announce(o, one_upstream_info("u0"));
    info.service = name_of("tents");
    one_announce(o, info);
    for (int i = 0; i < 30; i++) {
        char key[] = {'k', (char)('a' + i), '\0'};

        taken += one_answer(o, one_submit(o, key, 2, RUN_US)) == NULL;
    }
    CU_ASSERT(taken >= 10 && taken <= 15);
    o->service = 1;
    CU_ASSERT_PTR_NULL(one_answer(o, one_submit(o, "t", 10, RUN_US)));
    one_free(o);
}

/* The zone has no upstream, and this instance has not borrowed slots so far.
 * Jobs that other zones can run in time must be admitted by the free slots
 * that heartbeats report, and not be refused as if there were a single slot.
 */
static void
other_zones_slots_count_at_admission(void)
{
    struct one *o = one_new(&(struct one_options){
        .peers = 1, .peers_in_other_zone = true, .deadline_us = USEC_PER_SEC});
    struct msg m = {.kind = MSG_HEARTBEAT};
    struct rec_load *load = calloc(1, sizeof(*load));

    if (load == NULL) {
        abort();
    }
    *load = (struct rec_load){.service = name_of("camp"),
                              .free_slots = 64,
                              .cpu_milli = 32000,
                              .memory_mb = 65536};
    m.u.heartbeat.incarnation = 1;
    m.u.heartbeat.has_loads = 1;
    m.u.heartbeat.loads = load;
    m.u.heartbeat.n_loads = 1;
    one_message(o, "p0", &m);
    CU_ASSERT_PTR_NULL(one_answer(o, one_submit(o, "a", 40, RUN_US)));
    CU_ASSERT_PTR_NOT_NULL(one_message_sent(o, MSG_SLOT_REQUEST, 0));
    one_free(o);
}

#define ADD(test) check_add("quota", #test, test)

void
suite_quota(void)
{
    ADD(share_follows_the_load);
    ADD(shares_add_up_to_the_limit);
    ADD(partition_keeps_the_other_zones_part);
    ADD(other_zones_slots_count_at_admission);
    ADD(queue_keeps_capacity_for_other_teams);
}
