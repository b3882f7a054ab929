/* Tests of announcements, holders, fences and slots lent between instances. */
#include <stdio.h>

#include "check.h"
#include "dispatch_state.h"
#include "one_entry.h"

#define RUN_US (100 * USEC_PER_MSEC)

static const struct effect *
announce_problem(struct one *o, struct rec_upstream_info info)
{
    one_clear(o);
    one_announce(o, info);
    return one_effect(o, EF_PROBLEM, 0);
}

static void
bad_announcements_are_refused(void)
{
    struct one *o = one_new(&(struct one_options){0});
    struct rec_upstream_info bad[7];

    for (int i = 0; i < 7; i++) {
        bad[i] = one_upstream_info("u");
    }
    bad[0].zone = name_of("elsewhere");
    bad[1].slots = 0;
    bad[2].slots = 1025;
    bad[3].connections = 0;
    bad[4].address = address_of("");
    bad[5].service = name_of("");
    bad[6].incarnation = 0;
    for (int i = 0; i < 7; i++) {
        const struct effect *f = announce_problem(o, bad[i]);

        CU_ASSERT(f != NULL && f->u.problem.problem == PROBLEM_BAD_ANNOUNCE &&
                  f->u.problem.detail[0] != '\0');
    }
    CU_ASSERT_EQUAL(entry_gauges(o->e).upstreams, 0);
    one_free(o);
}

/* An announcement of an earlier incarnation arrives late.  If it replaced the
 * record of the new incarnation, starts would carry an incarnation that the
 * upstream refuses. */
static void
late_announcement_of_earlier_incarnation(void)
{
    struct one *o = one_new(&(struct one_options){0});
    struct rec_upstream_info info = one_upstream_info("u");
    const struct effect *f;

    info.incarnation = 5;
    one_announce(o, info);
    info.incarnation = 4;
    f = announce_problem(o, info);
    CU_ASSERT(f != NULL && f->u.problem.problem == PROBLEM_STALE_LIFE);
    (void)one_submit(o, "a", 1, RUN_US);
    CU_ASSERT_EQUAL(one_effect(o, EF_START, 0)->u.start.incarnation, 5);
    one_free(o);
}

static void
upstream_without_renewal_expires(void)
{
    struct one *o = one_new(&(struct one_options){0});

    one_announce(o, one_upstream_info("u"));
    one_run(o, 5 * USEC_PER_SEC);
    CU_ASSERT_EQUAL(entry_gauges(o->e).upstreams, 1);
    one_run(o, 2 * USEC_PER_SEC);
    CU_ASSERT_EQUAL(entry_gauges(o->e).upstreams, 0);
    one_free(o);
}

static void
leaving_upstream_gets_no_new_tasks(void)
{
    struct one *o = one_new(&(struct one_options){0});
    struct event ev = {.kind = EV_LEAVE};
    uint64_t request;

    one_announce(o, one_upstream_info("u"));
    request = one_submit(o, "a", 6, RUN_US);
    CU_ASSERT_EQUAL(one_count_effects(o, EF_START), 4);
    ev.u.announce.info = one_upstream_info("u");
    one_step(o, &ev);
    CU_ASSERT_EQUAL(one_end_all_starts(o, START_DONE, true), 4);
    CU_ASSERT_EQUAL(one_count_effects(o, EF_START), 0);
    one_announce(o, one_upstream_info("v"));
    CU_ASSERT_EQUAL(one_end_all_starts(o, START_DONE, true), 2);
    CU_ASSERT(one_answered_with(o, request, JOB_COMPLETE, REASON_COMPLETED));
    one_free(o);
}

/* An operator drains an upstream, whose process goes on announcing itself as
 * not leaving.  The renewals must neither undo the drain nor be sent to the
 * whole zone as changes. */
static void
drained_upstream_stays_drained(void)
{
    struct one *o = one_new(&(struct one_options){.peers = 1});
    struct event ev = {.kind = EV_DRAIN};

    one_announce(o, one_upstream_info("u0"));
    ev.u.drain.request = 99;
    ev.u.drain.upstream = name_of("u0");
    one_step(o, &ev);
    one_clear(o);
    one_announce(o, one_upstream_info("u0"));
    CU_ASSERT_PTR_NULL(one_message_sent(o, MSG_UPSTREAM_NEWS, 0));
    (void)one_submit(o, "a", 1, RUN_US);
    CU_ASSERT_EQUAL(one_count_effects(o, EF_START), 0);
    one_free(o);
}

/* Two instances consider themselves holder of an upstream after a network
 * partition.  A report of a higher epoch ends the older hold.  The start in
 * flight under the older epoch is refused, and sent again under the new hold,
 * so that the task is started once. */
static void
higher_epoch_ends_a_hold(void)
{
    struct one *o = one_new(&(struct one_options){.peers = 1});
    struct rec_upstream_info info = one_upstream_info("u");
    uint64_t epoch;

    for (char c = 'a'; one_count_effects(o, EF_FENCE) == 0; c++) {
        char name[] = {'u', c, '\0'};

        info = one_upstream_info(name);
        one_announce(o, info);
    }
    epoch = one_effect(o, EF_FENCE, 0)->u.fence.epoch;
    (void)one_submit(o, "a", 1, RUN_US);
    CU_ASSERT_EQUAL(one_effect(o, EF_START, 0)->u.start.epoch, epoch);
    info.epoch = epoch + 1000;
    info.holder = name_of("p0");
    o->manual_fences = true;
    one_upstream_news(o, "p0", info);
    CU_ASSERT_EQUAL(entry_gauges(o->e).upstreams_held, 0);
    (void)one_end_all_starts(o, START_STALE, false);
    CU_ASSERT_EQUAL(one_count_effects(o, EF_START), 0);
    o->manual_fences = false;
    one_run(o, 2 * USEC_PER_SEC);
    CU_ASSERT_EQUAL(entry_gauges(o->e).upstreams_held, 1);
    CU_ASSERT_EQUAL(one_count_effects(o, EF_START), 1);
    CU_ASSERT(one_effect(o, EF_START, 0)->u.start.epoch > info.epoch);
    one_free(o);
}

/* The upstream has seen a higher epoch than this instance.  Its reply carries
 * that epoch, and the next fence, after a pause, must use a higher one. */
static void
stale_fence_is_retried_with_higher_epoch(void)
{
    struct one *o = one_new(&(struct one_options){0});
    struct event ev = {.kind = EV_FENCED};

    o->manual_fences = true;
    one_announce(o, one_upstream_info("u"));
    ev.u.fenced.call = one_effect(o, EF_FENCE, 0)->u.fence.call;
    ev.u.fenced.outcome = FENCE_STALE;
    ev.u.fenced.epoch = 70000;
    one_clear(o);
    one_step(o, &ev);
    CU_ASSERT_EQUAL(one_count_effects(o, EF_FENCE), 0);
    one_run(o, USEC_PER_SEC);
    CU_ASSERT_EQUAL(one_count_effects(o, EF_FENCE), 1);
    CU_ASSERT(one_effect(o, EF_FENCE, 0)->u.fence.epoch > 70000);
    one_free(o);
}

/* After a pause of the process, others have taken over its upstreams.  The
 * process must release them before it starts any task under the old epoch. */
static void
paused_holder_releases_upstreams(void)
{
    struct one *o = one_new(&(struct one_options){0});

    one_announce(o, one_upstream_info("u"));
    (void)one_submit(o, "a", 9, RUN_US);
    o->manual_fences = true;
    o->now_us += 3 * USEC_PER_SEC;
    (void)one_end_all_starts(o, START_DONE, true);
    CU_ASSERT_EQUAL(one_count_effects(o, EF_START), 0);
    CU_ASSERT_EQUAL(entry_gauges(o->e).upstreams_held, 0);
    one_free(o);
}

/* After a takeover the upstream still runs tasks that the former holder
 * started.  Their slots must not count as free until the upstream reports
 * fewer running tasks. */
static void
foreign_tasks_occupy_slots(void)
{
    struct one *o = one_new(&(struct one_options){0});
    struct rec_upstream_info info = one_upstream_info("u");

    o->fence_running = 3;
    one_announce(o, info);
    (void)one_submit(o, "a", 8, RUN_US);
    CU_ASSERT_EQUAL(one_count_effects(o, EF_START), 1);
    info.busy = 2; /* one of this instance and one foreign */
    one_announce(o, info);
    CU_ASSERT_EQUAL(one_count_effects(o, EF_START), 3);
    one_free(o);
}

/* An instance that restarted knows no upstream, and would refuse every job
 * until the upstreams announce themselves again, if its peers did not send it
 * their records. */
static void
restarted_peer_gets_upstreams(void)
{
    struct one *o = one_new(&(struct one_options){.peers = 1});

    one_announce(o, one_upstream_info("u"));
    one_announce(o, one_upstream_info("v"));
    one_clear(o);
    one_heartbeat(o, "p0", 2);
    CU_ASSERT_PTR_NOT_NULL_FATAL(one_message_sent(o, MSG_UPSTREAM_NEWS, 0));
    CU_ASSERT(one_message_sent(o, MSG_UPSTREAM_NEWS, 0)
                  ->u.upstream_news.n_upstreams >= 1);
    one_free(o);
}

static void
stop_releases_upstreams(void)
{
    struct one *o = one_new(&(struct one_options){.peers = 1});
    struct event ev = {.kind = EV_STOP};

    for (int i = 0; i < 8; i++) {
        char name[] = {'u', (char)('0' + i), '\0'};

        one_announce(o, one_upstream_info(name));
    }
    CU_ASSERT(entry_gauges(o->e).upstreams_held > 0);
    one_clear(o);
    one_step(o, &ev);
    CU_ASSERT_EQUAL(one_count_effects(o, EF_STOPPED), 1);
    CU_ASSERT_EQUAL(entry_gauges(o->e).upstreams_held, 0);
    CU_ASSERT_PTR_NOT_NULL(one_message_sent(o, MSG_UPSTREAM_NEWS, 0));
    one_free(o);
}

/* Lending */

static struct one *
new_lender(void)
{
    struct one *o = one_new(&(struct one_options){.peers = 1});

    for (int i = 0; entry_gauges(o->e).upstreams_held == 0; i++) {
        char name[] = {'u', (char)('0' + i), '\0'};

        one_announce(o, one_upstream_info(name));
    }
    one_clear(o);
    return o;
}

static void
request_slots(struct one *o, uint64_t count)
{
    struct msg m = {.kind = MSG_SLOT_REQUEST};

    m.u.slot_request.request = 1;
    m.u.slot_request.service = name_of("camp");
    m.u.slot_request.count = count;
    m.u.slot_request.cpu_milli = 1000;
    m.u.slot_request.memory_mb = 64;
    one_message(o, "p0", &m);
}

static uint64_t
granted_slots(const struct one *o)
{
    const struct msg *m;
    uint64_t n = 0;

    for (size_t k = 0; (m = one_message_sent(o, MSG_SLOT_GRANT, k)) != NULL;
         k++) {
        for (size_t i = 0; i < m->u.slot_grant.n_grants; i++) {
            n += m->u.slot_grant.grants[i].slots;
        }
    }
    return n;
}

static void
return_slots(struct one *o, uint64_t grant, uint64_t slots, uint64_t failed)
{
    struct msg m = {.kind = MSG_SLOT_RETURN};
    struct rec_slot_return *r = &m.u.slot_return;

    r->backs = calloc(1, sizeof(*r->backs));
    r->n_backs = 1;
    r->backs[0].grant = grant;
    r->backs[0].slots = slots;
    r->backs[0].failed = failed;
    r->backs[0].done = failed == 0 ? 1 : 0;
    one_message(o, "p0", &m);
}

static void
lent_slots_are_used_until_returned(void)
{
    struct one *o = new_lender();
    uint64_t grant;

    request_slots(o, 2);
    CU_ASSERT_EQUAL(granted_slots(o), 2);
    grant =
        one_message_sent(o, MSG_SLOT_GRANT, 0)->u.slot_grant.grants[0].grant;
    (void)one_submit(o, "a", 8, RUN_US);
    CU_ASSERT_EQUAL(one_count_effects(o, EF_START), 2);
    return_slots(o, grant, 1, 0);
    CU_ASSERT_EQUAL(one_count_effects(o, EF_START), 3);
    return_slots(o, grant, 7, 0); /* more than were lent */
    CU_ASSERT(one_count_effects(o, EF_START) <= 4);
    one_free(o);
}

/* A borrower fails while tasks run on borrowed slots, or its return is lost.
 * The slots must not be used while those tasks run, and must become free again
 * afterwards. */
static void
slots_of_failed_borrower_become_free(void)
{
    struct one *o = new_lender();
    struct rec_upstream_info info;

    request_slots(o, 4);
    info = one_upstream_info(one_message_sent(o, MSG_SLOT_GRANT, 0)
                                 ->u.slot_grant.grants[0]
                                 .upstream.s);
    o->manual_fences = true;
    one_run(o, 3 * USEC_PER_SEC); /* p0 is down by now */
    one_clear(o);
    (void)one_submit(o, "a", 4, RUN_US);
    CU_ASSERT_EQUAL(one_count_effects(o, EF_START), 0);
    info.busy = 3;
    one_announce(o, info);
    CU_ASSERT_EQUAL(one_count_effects(o, EF_START), 1);
    info.busy = 1; /* started by this instance */
    one_announce(o, info);
    CU_ASSERT_EQUAL(one_count_effects(o, EF_START), 4);
    one_free(o);
}

/* A request that finds no free slots is queued, and granted when slots become
 * free. */
static void
queued_request_is_granted_later(void)
{
    struct one *o = new_lender();

    (void)one_submit(o, "a", 4, RUN_US);
    CU_ASSERT_EQUAL(one_count_effects(o, EF_START), 4);
    request_slots(o, 3);
    CU_ASSERT_EQUAL(granted_slots(o), 0);
    (void)one_end_all_starts(o, START_DONE, true);
    one_run(o, 100 * USEC_PER_MSEC);
    CU_ASSERT_EQUAL(granted_slots(o), 3);
    one_free(o);
}

static void
receive_grant(struct one *o, uint64_t slots)
{
    struct rec_upstream_info info = one_upstream_info("far");
    struct msg m = {.kind = MSG_SLOT_GRANT};
    struct rec_slot_grant *g = &m.u.slot_grant;

    g->service = name_of("camp");
    g->grants = calloc(1, sizeof(*g->grants));
    g->n_grants = 1;
    g->grants[0] = (struct rec_grant){.grant = 9,
                                      .upstream = info.upstream,
                                      .incarnation = 1,
                                      .zone = info.zone,
                                      .address = info.address,
                                      .epoch = 256,
                                      .slots = slots,
                                      .cpu_milli = 1000,
                                      .memory_mb = 64,
                                      .duration_us = 2 * USEC_PER_SEC};
    one_message(o, "p0", &m);
}

static void
borrowed_slots_are_used_and_returned(void)
{
    struct one *o = new_lender();
    uint64_t returned = 0;

    (void)one_submit(o, "a", 20, RUN_US);
    CU_ASSERT_EQUAL(one_count_effects(o, EF_START), 4);
    receive_grant(o, 3);
    CU_ASSERT_EQUAL(one_count_effects(o, EF_START), 7);
    CU_ASSERT_EQUAL(one_effect(o, EF_START, 6)->u.start.epoch, 256);
    while (one_end_all_starts(o, START_DONE, true) > 0) {
    }
    for (int i = 0; i < 8; i++) {
        one_heartbeat(o, "p0", 1);
        one_run(o, USEC_PER_SEC / 2);
    }
    for (size_t i = 0; one_message_sent(o, MSG_SLOT_RETURN, i) != NULL; i++) {
        const struct rec_slot_return *r =
            &one_message_sent(o, MSG_SLOT_RETURN, i)->u.slot_return;

        for (size_t k = 0; k < r->n_backs; k++) {
            returned += r->backs[k].slots;
        }
    }
    CU_ASSERT_EQUAL(returned, 3);
    (void)one_submit(o, "b", 20, RUN_US);
    CU_ASSERT_EQUAL(one_count_effects(o, EF_START), 4);
    one_free(o);
}

/* When the holder needs its slots itself and recalls them, the borrower must
 * return idle ones at once, not when the lease ends. */
static void
recalled_slots_are_returned_at_once(void)
{
    struct one *o = new_lender();
    struct msg m = {.kind = MSG_SLOT_RECALL};

    receive_grant(o, 3);
    one_clear(o);
    m.u.slot_recall.service = name_of("camp");
    one_message(o, "p0", &m);
    CU_ASSERT_PTR_NOT_NULL_FATAL(one_message_sent(o, MSG_SLOT_RETURN, 0));
    CU_ASSERT_EQUAL(
        one_message_sent(o, MSG_SLOT_RETURN, 0)->u.slot_return.backs[0].slots,
        3);
    one_free(o);
}

/* The lender failed or lost the upstream, so starts under its epoch are
 * refused as stale.  They certainly did not run, so the tasks are started
 * elsewhere, and the grant must not be used any more. */
static void
stale_grant_is_dropped(void)
{
    struct one *o = new_lender();
    size_t starts;

    receive_grant(o, 2);
    (void)one_submit(o, "a", 6, RUN_US);
    CU_ASSERT_EQUAL(one_count_effects(o, EF_START), 6);
    for (size_t i = 0; i < 6; i++) {
        const struct ef_start *f = &one_effect(o, EF_START, i)->u.start;

        if (f->epoch == 256) {
            one_end_start(o, f->call, START_STALE, false);
        }
    }
    starts = one_count_effects(o, EF_START);
    CU_ASSERT_EQUAL(starts, 6);
    (void)one_end_all_starts(o, START_DONE, true);
    CU_ASSERT_EQUAL(one_count_effects(o, EF_START), 2);
    CU_ASSERT(one_effect(o, EF_START, 0)->u.start.epoch != 256);
    one_free(o);
}

static struct rec_upstream_info
upstream_of_service(const char *name, int service)
{
    struct rec_upstream_info info = one_upstream_info(name);
    char text[NAME_SIZE];

    (void)snprintf(text, sizeof(text), "s%d", service);
    info.service = name_of(text);
    return info;
}

/* A misconfigured upstream announces another service each time it restarts,
 * for instance one named after its process id.  If the records of unused
 * services were kept, the instance would run out of memory. */
static void
unused_services_are_removed(void)
{
    struct one *o = one_new(&(struct one_options){0});

    for (int i = 0; i < 2000; i++) {
        struct rec_upstream_info info = upstream_of_service("u", i);

        info.incarnation = (uint64_t)(i + 1) / 2 + 1; /* each twice */
        one_announce(o, info);
        one_clear(o);
    }
    CU_ASSERT(o->e->dispatch->n_services < 50);
    CU_ASSERT_EQUAL(map_count(&o->e->dispatch->by_name),
                    o->e->dispatch->n_services);
    one_free(o);
}

/* A service has no upstream and no configuration any more, but one of its
 * tasks still runs.  If the record were freed before the task ends, counting
 * its end would read freed memory. */
static void
service_with_a_running_task_is_kept(void)
{
    struct one *o = one_new(&(struct one_options){0});
    struct event ev = {.kind = EV_CONFIG};
    struct rec_upstream_info info = one_upstream_info("u");
    uint64_t call;

    one_announce(o, info);
    (void)one_submit(o, "a", 1, RUN_US);
    call = one_effect(o, EF_START, 0)->u.start.call;
    o->config.version = 2;
    o->config.services = &o->services[1];
    o->config.n_services = 1;
    ev.u.config = &o->config;
    one_step(o, &ev);
    for (int i = 0; i < 100; i++) {
        info = upstream_of_service("u", i);
        info.incarnation = (uint64_t)i + 2;
        one_announce(o, info);
    }
    CU_ASSERT(dispatch_find_service(o->e, name_of("camp")) != NULL);
    one_end_start(o, call, START_DONE, true);
    CU_ASSERT_EQUAL(entry_gauges(o->e).tasks_running, 0);
    for (int i = 100; i < 200; i++) {
        info = upstream_of_service("u", i);
        info.incarnation = (uint64_t)i + 2;
        one_announce(o, info);
    }
    CU_ASSERT(dispatch_find_service(o->e, name_of("camp")) == NULL);
    one_free(o);
}

/* A hostile process announces many upstreams, each with a service of its own,
 * and renews them all.  Without a bound the instance would run out of memory
 * and lose its jobs.  Services with a configuration must not be affected. */
static void
unknown_services_are_bounded(void)
{
    struct one *o = one_new(&(struct one_options){0});
    const struct effect *f;
    char name[NAME_SIZE];

    for (int i = 0; i < UNCONFIGURED_SERVICES_MAX + 100; i++) {
        (void)snprintf(name, sizeof(name), "u%d", i);
        one_clear(o);
        one_announce(o, upstream_of_service(name, i));
    }
    f = one_effect(o, EF_PROBLEM, 0);
    CU_ASSERT(f != NULL && f->u.problem.problem == PROBLEM_OVERLOADED &&
              f->u.problem.retry_after_us > 0);
    CU_ASSERT(o->e->dispatch->n_services <= UNCONFIGURED_SERVICES_MAX + 2);
    CU_ASSERT(announce_problem(o, upstream_of_service("v", 0)) == NULL);
    CU_ASSERT(announce_problem(o, one_upstream_info("w")) == NULL);
    one_free(o);
}

#define ADD(test) check_add("upstream", #test, test)

void
suite_upstream(void)
{
    ADD(bad_announcements_are_refused);
    ADD(late_announcement_of_earlier_incarnation);
    ADD(upstream_without_renewal_expires);
    ADD(leaving_upstream_gets_no_new_tasks);
    ADD(drained_upstream_stays_drained);
    ADD(higher_epoch_ends_a_hold);
    ADD(stale_fence_is_retried_with_higher_epoch);
    ADD(paused_holder_releases_upstreams);
    ADD(foreign_tasks_occupy_slots);
    ADD(restarted_peer_gets_upstreams);
    ADD(stop_releases_upstreams);
    ADD(lent_slots_are_used_until_returned);
    ADD(slots_of_failed_borrower_become_free);
    ADD(queued_request_is_granted_later);
    ADD(borrowed_slots_are_used_and_returned);
    ADD(recalled_slots_are_returned_at_once);
    ADD(stale_grant_is_dropped);
    ADD(unused_services_are_removed);
    ADD(service_with_a_running_task_is_kept);
    ADD(unknown_services_are_bounded);
}
