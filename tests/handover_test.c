/* Tests that kept answers survive a planned stop. */
#include <stdlib.h>
#include <string.h>

#include "check.h"
#include "entry_net.h"
#include "jobs.h"
#include "key.h"
#include "successor.h"

enum { PER_ZONE = 3, OTHER_ZONE = 3, NODES = 6 };

#define MSEC USEC_PER_MSEC
#define SEC USEC_PER_SEC

static char key[KEY_TEXT_SIZE];

static struct enet *
new_net(int zones, int per_zone)
{
    struct enet_options o = {.zones = zones,
                             .per_zone = per_zone,
                             .seed = 5,
                             .new_region = true,
                             .run_us = 20 * MSEC};
    struct enet *n = enet_new(&o);

    enet_mint_key(n, "z0", 1, 0, key);
    return n;
}

static bool
is_complete(const struct enet *n, uint64_t request)
{
    const struct enet_answer *a = enet_answer(n, request);

    if (!enet_answered_with(n, request, JOB_COMPLETE, REASON_COMPLETED) ||
        a->answer->n_tasks != 4) {
        return false;
    }
    for (size_t i = 0; i < 4; i++) {
        const struct task_result *t = &a->answer->tasks[i];

        if (t->state != TASK_RAN || !t->ok || t->result == NULL ||
            t->result->size != 6 ||
            memcmp(t->result->data, "\"done\"", 6) != 0) {
            return false;
        }
    }
    return true;
}

static bool
is_lost(const struct enet *n, uint64_t request)
{
    return enet_answered_with(n, request, JOB_FAILED, REASON_CLAIMER_LOST);
}

/* Runs a job at node 1, then stops the node as planned. */
static void
run_and_stop(struct enet *n)
{
    uint64_t first = enet_submit(n, 1, key, 4, 11);

    enet_run(n, SEC);
    CU_ASSERT_TRUE(is_complete(n, first));
    enet_stop(n, 1);
    enet_run(n, 20 * MSEC);
    CU_ASSERT_TRUE(n->nodes[1].stopped);
    enet_kill(n, 1);
}

/* A caller loses its connection just before the instance stops, and submits
 * the job again: at once or later, in the same or another zone, or at the same
 * instance after its restart.  The job is complete, so the answer must be the
 * kept one, not "unknown". */
static void
answers_survive_a_stop(void)
{
    struct enet *n = new_net(2, PER_ZONE);
    uint64_t again[NODES];
    uint64_t get;

    run_and_stop(n);
    again[0] = enet_submit(n, 0, key, 4, 11);
    enet_run(n, 3 * SEC);
    enet_restart(n, 1);
    enet_run(n, SEC);
    for (int i = 1; i < NODES; i++) {
        again[i] = enet_submit(n, i, key, 4, 11);
    }
    get = enet_get(n, 2, key, true);
    enet_run(n, SEC);
    for (int i = 0; i < NODES; i++) {
        CU_ASSERT_TRUE(is_complete(n, again[i]));
    }
    CU_ASSERT_TRUE(is_complete(n, get));
    CU_ASSERT_EQUAL(enet_count_starts(n, key, ENET_ALL_TASKS), 4);
    CU_ASSERT_EQUAL(enet_count_repeated_answers(n), 0);
    enet_free(n);
}

/* An operator restarts one instance after the other.  The second one must hand
 * over the answers that it got from the first, too. */
static void
consecutive_stops(void)
{
    struct enet *n = new_net(2, PER_ZONE);
    uint64_t again[3];

    run_and_stop(n);
    enet_run(n, SEC);
    enet_restart(n, 1);
    enet_run(n, SEC);
    enet_stop(n, 2);
    enet_run(n, 20 * MSEC);
    CU_ASSERT_TRUE(n->nodes[2].stopped);
    enet_kill(n, 2);
    enet_run(n, SEC);
    enet_restart(n, 2);
    enet_run(n, SEC);
    for (int i = 0; i < 3; i++) {
        again[i] = enet_submit(n, i + 1, key, 4, 11);
    }
    enet_run(n, SEC);
    for (int i = 0; i < 3; i++) {
        CU_ASSERT_TRUE(is_complete(n, again[i]));
    }
    CU_ASSERT_EQUAL(enet_count_starts(n, key, ENET_ALL_TASKS), 4);
    enet_free(n);
}

/* Two instances stop at the same time, the second being the first choice of
 * successor of the first.  Answers handed to an instance that stops as well
 * would be lost. */
static void
simultaneous_stops(void)
{
    struct enet *n = new_net(1, PER_ZONE);
    uint64_t again;

    (void)enet_submit(n, 1, key, 4, 11);
    enet_run(n, SEC);
    enet_stop(n, 1);
    enet_stop(n, 2);
    enet_run(n, 50 * MSEC);
    CU_ASSERT_TRUE(n->nodes[1].stopped && n->nodes[2].stopped);
    enet_kill(n, 1);
    enet_kill(n, 2);
    again = enet_submit(n, 0, key, 4, 11);
    enet_run(n, SEC);
    CU_ASSERT_TRUE(is_complete(n, again));
    CU_ASSERT_EQUAL(enet_count_starts(n, key, ENET_ALL_TASKS), 4);
    enet_free(n);
}

/* The successor fails, and the answers that it had taken over are lost.
 * Callers must get the outcome "unknown", and no task may be started again. */
static void
successor_fails(void)
{
    struct enet *n = new_net(2, PER_ZONE);
    uint64_t again[2];

    run_and_stop(n);
    enet_run(n, SEC);
    enet_kill(n, 2);
    again[0] = enet_submit(n, OTHER_ZONE, key, 4, 11);
    enet_run(n, 5 * SEC);
    enet_restart(n, 1);
    enet_restart(n, 2);
    enet_run(n, SEC);
    again[1] = enet_submit(n, 2, key, 4, 11);
    enet_run(n, 3 * SEC);
    CU_ASSERT_TRUE(is_lost(n, again[0]));
    CU_ASSERT_TRUE(is_lost(n, again[1]));
    CU_ASSERT_EQUAL(enet_count_starts(n, key, ENET_ALL_TASKS), 4);
    enet_free(n);
}

/* A job with another body is submitted under the key of a job that was handed
 * over.  It must be refused, not answered with the other job's answer. */
static void
other_body_conflicts(void)
{
    struct enet *n = new_net(2, PER_ZONE);
    uint64_t other[3];

    run_and_stop(n);
    for (int i = 0; i < 3; i++) {
        other[i] = enet_submit(n, i + 2, key, 4, 12);
    }
    enet_run(n, 3 * SEC);
    for (int i = 0; i < 3; i++) {
        CU_ASSERT_TRUE(enet_refused_with(n, other[i], PROBLEM_CONFLICT));
    }
    CU_ASSERT_EQUAL(enet_count_starts(n, key, ENET_ALL_TASKS), 4);
    enet_free(n);
}

/* The only instance of a region has no successor, so it must stop at once. */
static void
single_instance_stops_at_once(void)
{
    struct enet *n = new_net(1, 1);
    uint64_t first = enet_submit(n, 0, key, 4, 11);

    enet_run(n, SEC);
    CU_ASSERT_TRUE(is_complete(n, first));
    enet_stop(n, 0);
    CU_ASSERT_TRUE(n->nodes[0].stopped);
    enet_free(n);
}

static enum enet_delivery
drop_handovers(struct enet *n, int from, int to, const struct msg *m)
{
    (void)n;
    (void)from;
    (void)to;
    return m->kind == MSG_ANSWER_HANDOVER ? ENET_DROP : ENET_DELIVER;
}

/* The successor does not get the answers, though its heartbeats arrive.  The
 * stop must end after the time limit of the handover, 2 s. */
static void
unresponsive_successor(void)
{
    struct enet *n = new_net(2, PER_ZONE);
    uint64_t again;

    n->opts.filter = drop_handovers;
    (void)enet_submit(n, 1, key, 4, 11);
    enet_run(n, SEC);
    enet_stop(n, 1);
    enet_run(n, 1900 * MSEC);
    CU_ASSERT_FALSE(n->nodes[1].stopped);
    enet_run(n, 150 * MSEC);
    CU_ASSERT_TRUE(n->nodes[1].stopped);
    CU_ASSERT_TRUE(n->messages_by_kind[MSG_ANSWER_HANDOVER] <= 11);
    enet_kill(n, 1);
    again = enet_submit(n, 0, key, 4, 11);
    enet_run(n, 3 * SEC);
    CU_ASSERT_TRUE(is_lost(n, again));
    enet_free(n);
}

/* Messages are lost, duplicated and delayed during the handover of several
 * batches.  The successor must keep all answers, and drop them when their time
 * has passed. */
static void
lossy_network(void)
{
    struct enet *n = new_net(2, PER_ZONE);
    char keys[600][KEY_TEXT_SIZE];
    int found = 0;

    for (int i = 0; i < 600; i++) {
        enet_mint_key(n, "z0", i, 0, keys[i]);
        (void)enet_submit(n, 1, keys[i], 1, 11);
        enet_run(n, 10 * MSEC);
    }
    enet_run(n, SEC);
    n->opts.lost_percent = 20;
    n->opts.duplicated_percent = 20;
    n->opts.delayed_percent = 20;
    enet_stop(n, 1);
    enet_run(n, 2 * SEC);
    CU_ASSERT_TRUE(n->nodes[1].stopped);
    for (int i = 0; i < 600; i++) {
        const struct job *job = jobs_by_key(n->nodes[2].e, key_id_of(keys[i]));

        found += job != NULL && job->phase == JOB_ENDED ? 1 : 0;
    }
    CU_ASSERT_EQUAL(found, 600);
    enet_run(n, 120 * SEC);
    CU_ASSERT_EQUAL(jobs_answer_bytes(n->nodes[2].e), 0);
    enet_free(n);
}

/* Instances send each other the successor of a stopped instance.  The record
 * must expire together with the answers, and not be renewed forever. */
static void
successor_records_expire(void)
{
    struct enet *n = new_net(2, PER_ZONE);
    struct rec_moved *moved = NULL;

    run_and_stop(n);
    enet_run(n, SEC);
    CU_ASSERT_EQUAL(successors_list(n->nodes[0].e, &moved), 1);
    free(moved);
    enet_run(n, 130 * SEC);
    for (int i = 2; i < NODES; i++) {
        struct name at = n->nodes[1].name;
        uint64_t incarnation = n->nodes[1].incarnation;

        moved = NULL;
        CU_ASSERT_EQUAL(successors_list(n->nodes[i].e, &moved), 0);
        CU_ASSERT_FALSE(successors_follow(n->nodes[i].e, &at, &incarnation));
        free(moved);
    }
    enet_free(n);
}

/* Two instances stop at the same time, and one does not know yet that the
 * other stops.  Answers handed to a stopping instance would be lost, so it
 * must refuse them, and the sender chooses another successor. */
static void
stopping_successor_refuses(void)
{
    struct enet *n = new_net(1, PER_ZONE);
    struct effects fx = {0};
    struct msg m = {.kind = MSG_ANSWER_HANDOVER};
    struct event ev = {.kind = EV_MESSAGE};
    int refused = 0;

    enet_run(n, SEC);
    enet_stop(n, 2);
    m.u.answer_handover.incarnation = n->nodes[1].incarnation;
    m.u.answer_handover.batch = 1;
    ev.now.mono_us = n->now_us;
    ev.u.message.from = n->nodes[1].name;
    ev.u.message.msg = &m;
    entry_step(n->nodes[2].e, &ev, &fx);
    for (size_t i = 0; i < fx.n; i++) {
        const struct effect *f = &fx.items[i];

        if (f->kind == EF_SEND && f->u.send.msg.kind == MSG_ANSWER_TAKEN) {
            CU_ASSERT_EQUAL(f->u.send.msg.u.answer_taken.batch, 1);
            CU_ASSERT_EQUAL(f->u.send.msg.u.answer_taken.refused, 1);
            refused++;
        }
    }
    CU_ASSERT_EQUAL(refused, 1);
    effects_free(&fx);
    enet_free(n);
}

void
suite_handover(void)
{
    check_add("handover", "answers_survive_a_stop", answers_survive_a_stop);
    check_add("handover", "consecutive_stops", consecutive_stops);
    check_add("handover", "simultaneous_stops", simultaneous_stops);
    check_add("handover", "successor_fails", successor_fails);
    check_add("handover", "other_body_conflicts", other_body_conflicts);
    check_add("handover", "single_instance_stops_at_once",
              single_instance_stops_at_once);
    check_add("handover", "unresponsive_successor", unresponsive_successor);
    check_add("handover", "lossy_network", lossy_network);
    check_add("handover", "successor_records_expire",
              successor_records_expire);
    check_add("handover", "stopping_successor_refuses",
              stopping_successor_refuses);
}
