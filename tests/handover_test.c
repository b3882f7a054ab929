/* Kept answers outlive a planned stop. */
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
whole(const struct enet *n, uint64_t request)
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
lost(const struct enet *n, uint64_t request)
{
    return enet_answered_with(n, request, JOB_FAILED, REASON_CLAIMER_LOST);
}

/* A job that ran at node 1, which then stopped as planned and is gone. */
static void
run_and_stop(struct enet *n)
{
    uint64_t first = enet_submit(n, 1, key, 4, 11);

    enet_run(n, SEC);
    CU_ASSERT_TRUE(whole(n, first));
    enet_stop(n, 1);
    enet_run(n, 20 * MSEC);
    CU_ASSERT_TRUE(n->nodes[1].stopped);
    enet_kill(n, 1);
}

/* A caller loses its connection just before the instance stops, and submits
 * again elsewhere, at once or later, in the same zone, in another, or at the
 * instance itself when it is back.  Its job is complete and it must not hear
 * that the tasks are unknown. */
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
        CU_ASSERT_TRUE(whole(n, again[i]));
    }
    CU_ASSERT_TRUE(whole(n, get));
    CU_ASSERT_EQUAL(enet_count_starts(n, key, ENET_ALL_TASKS), 4);
    CU_ASSERT_EQUAL(enet_count_repeated_answers(n), 0);
    enet_free(n);
}

/* An operator restarts one instance after the other.  What the second one
 * took over from the first must not go with it. */
static void
two_stops_in_a_row(void)
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
        CU_ASSERT_TRUE(whole(n, again[i]));
    }
    CU_ASSERT_EQUAL(enet_count_starts(n, key, ENET_ALL_TASKS), 4);
    enet_free(n);
}

/* Two instances are told to stop in the same moment, each the natural
 * successor of the other.  Handed to one that goes as well, the answers would
 * be lost. */
static void
two_stops_at_once(void)
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
    CU_ASSERT_TRUE(whole(n, again));
    CU_ASSERT_EQUAL(enet_count_starts(n, key, ENET_ALL_TASKS), 4);
    enet_free(n);
}

/* The successor dies, and with it the answers it had taken over.  Callers
 * hear that the tasks are unknown, and nothing starts again. */
static void
successor_dies(void)
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
    CU_ASSERT_TRUE(lost(n, again[0]));
    CU_ASSERT_TRUE(lost(n, again[1]));
    CU_ASSERT_EQUAL(enet_count_starts(n, key, ENET_ALL_TASKS), 4);
    enet_free(n);
}

/* Another job comes under the key of one that was handed over.  Its caller
 * must not get the other one's answer. */
static void
another_body_conflicts(void)
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

/* The only instance of a region stops.  Nobody can take its answers, and it
 * does not wait for anybody. */
static void
alone_it_stops_at_once(void)
{
    struct enet *n = new_net(1, 1);
    uint64_t first = enet_submit(n, 0, key, 4, 11);

    enet_run(n, SEC);
    CU_ASSERT_TRUE(whole(n, first));
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

/* The successor hears nothing of what it is sent, though its heartbeats come.
 * The stop waits for two seconds, not for ever. */
static void
silent_successor(void)
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
    CU_ASSERT_TRUE(lost(n, again));
    enet_free(n);
}

/* The first batch is lost and later ones are doubled and late.  Each answer
 * is kept once, within what is left of its time. */
static void
poor_network(void)
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

/* Three instances remind each other where answers went.  Once these are gone
 * nobody speaks of it any more. */
static void
moves_are_forgotten(void)
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

/* Two neighbours stop together, and the one does not know of the other yet.
 * Answers given to an instance that is about to go would be gone with it, so
 * it refuses them, and the giver looks for another. */
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
    check_add("handover", "two_stops_in_a_row", two_stops_in_a_row);
    check_add("handover", "two_stops_at_once", two_stops_at_once);
    check_add("handover", "successor_dies", successor_dies);
    check_add("handover", "another_body_conflicts", another_body_conflicts);
    check_add("handover", "alone_it_stops_at_once", alone_it_stops_at_once);
    check_add("handover", "silent_successor", silent_successor);
    check_add("handover", "poor_network", poor_network);
    check_add("handover", "moves_are_forgotten", moves_are_forgotten);
    check_add("handover", "stopping_successor_refuses",
              stopping_successor_refuses);
}
