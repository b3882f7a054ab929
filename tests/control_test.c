/* The reducer of control members: several members in virtual time. */
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "check.h"
#include "cluster.h"
#include "delta.h"

enum {
    CRASH_SEEDS = 3,
    SCHEDULES = 100,
    SCHEDULE_STEPS = 120,
    BREAK_SCHEDULES = 400,
};

static const int64_t MSEC = USEC_PER_MSEC;
static const int64_t SEC = USEC_PER_SEC;

static void
assert_no_violation(struct cluster *cl)
{
    CU_ASSERT_EQUAL(cl->violations, 0);
    if (cl->violations > 0) {
        printf("\n    %s\n", cl->first_violation);
    }
}

static uint64_t
version_of(const struct cluster *cl, int i)
{
    return cl->nodes[i].control != NULL
               ? control_view(cl->nodes[i].control).version
               : 0;
}

/* Publishes from the leader's version, and retries until it is accepted. */
static void
publish_until_accepted(struct cluster *cl, uint64_t r)
{
    for (int i = 0; i < 30; i++) {
        int leader = cluster_await_leader(cl);

        cluster_publish(cl, leader, r, version_of(cl, leader), r);
        cluster_run(cl, SEC);
        if (cl->answers[r].done && cl->answers[r].result == CONTROL_OK) {
            return;
        }
    }
    cluster_violation(cl, "request %llu is never accepted",
                      (unsigned long long)r);
}

/* Ends all faults, and checks that all members agree and accept another
 * publication. */
static void
check_recovery(struct cluster *cl, uint64_t r)
{
    int leader;

    cl->loss_permille = 0;
    cl->duplicate_permille = 0;
    cl->max_delay_us = 2 * MSEC;
    cl->max_sync_us = 8 * MSEC;
    cl->crash_at_step = 0;
    for (int i = 0; i < cl->n; i++) {
        cl->nodes[i].isolated = false;
        cl->nodes[i].paused = false;
        cluster_start(cl, i);
    }
    cluster_run(cl, 10 * SEC);
    publish_until_accepted(cl, r);
    cluster_run(cl, 5 * SEC);
    leader = cluster_await_leader(cl);
    if (version_of(cl, leader) < cl->confirmed_version) {
        cluster_violation(cl, "version %llu was confirmed and is lost",
                          (unsigned long long)cl->confirmed_version);
    }
    for (int i = 0; i < cl->n; i++) {
        if (version_of(cl, i) != version_of(cl, leader)) {
            cluster_violation(cl, "%s stays behind", cl->nodes[i].name.s);
        }
    }
}

static void
publications_reach_all_members(void)
{
    struct cluster *cl = cluster_new(3, 1, NULL);

    for (uint64_t r = 1; r <= 5; r++) {
        publish_until_accepted(cl, r);
        CU_ASSERT_EQUAL(cl->answers[r].version, r);
    }
    cluster_follower_poll(cl, 0);
    cluster_run(cl, 2 * SEC);
    CU_ASSERT_EQUAL(cl->follower_version, 5);
    for (int i = 0; i < 3; i++) {
        CU_ASSERT_EQUAL(version_of(cl, i), 5);
    }
    assert_no_violation(cl);
    cluster_free(cl);
}

/* Guards against a lost update: two operators publish from the same base
 * version at the same time, and the second would undo the first's change. */
static void
concurrent_publications_from_one_base(void)
{
    struct cluster *cl = cluster_new(3, 2, NULL);
    int leader = cluster_await_leader(cl);

    cluster_publish(cl, leader, 1, 0, 1);
    cluster_publish(cl, leader, 2, 0, 2);
    cluster_run(cl, SEC);
    CU_ASSERT_EQUAL(cl->answers[1].result, CONTROL_OK);
    CU_ASSERT_EQUAL(cl->answers[2].result, CONTROL_TAKEN);
    CU_ASSERT_EQUAL(cl->answers[2].version, 1);
    cluster_publish(cl, leader, 3, 0, 3);
    CU_ASSERT_EQUAL(cl->answers[3].result, CONTROL_TAKEN);
    cluster_publish(cl, leader, 4, 9, 4); /* no such base */
    cluster_run(cl, SEC);
    CU_ASSERT_EQUAL(cl->answers[4].result, CONTROL_BAD_PUBLICATION);
    CU_ASSERT_EQUAL(version_of(cl, leader), 1);
    assert_no_violation(cl);
    cluster_free(cl);
}

static void
resend_and_check(struct cluster *cl, uint64_t r)
{
    cluster_publish(cl, cluster_await_leader(cl), r, 1, 2);
    cluster_run(cl, SEC);
    CU_ASSERT_EQUAL(cl->answers[r].result, CONTROL_OK);
    CU_ASSERT_TRUE(cl->answers[r].resend);
    CU_ASSERT_EQUAL(cl->answers[r].version, 2);
}

/* Guards against a resend that is published a second time, and so undoes later
 * changes.  The answer is lost and the operator's tool sends the publication
 * again: to the same leader, to a new one, after restarts, and after a
 * snapshot has replaced the entry. */
static void
resends_get_the_first_answer(void)
{
    struct cluster *cl = cluster_new(3, 3, NULL);
    int leader;

    publish_until_accepted(cl, 1);
    leader = cluster_await_leader(cl);
    cluster_publish(cl, leader, 2, 1, 2);
    cluster_publish(cl, leader, 3, 1, 2);
    cluster_run(cl, SEC);
    CU_ASSERT_FALSE(cl->answers[2].resend);
    CU_ASSERT_TRUE(cl->answers[3].resend);
    publish_until_accepted(cl, 4);
    resend_and_check(cl, 5);
    cluster_crash(cl, leader);
    resend_and_check(cl, 6);
    cluster_start(cl, leader);
    for (uint64_t r = 10; r < 40; r++) {
        publish_until_accepted(cl, r);
    }
    CU_ASSERT_TRUE(control_view(cl->nodes[0].control).counters.snapshots > 0);
    for (int i = 0; i < 3; i++) {
        cluster_crash(cl, i);
    }
    for (int i = 0; i < 3; i++) {
        cluster_start(cl, i);
    }
    resend_and_check(cl, 7);
    cluster_publish(cl, cluster_await_leader(cl), 8, 0, 2);
    cluster_run(cl, SEC);
    CU_ASSERT_EQUAL(cl->answers[8].result, CONTROL_REUSED);
    assert_no_violation(cl);
    cluster_free(cl);
}

/* Publishes once, with a member crashing at step @crash_step; resends until
 * there is an answer.  Returns the number of steps of the publication. */
static uint64_t
publish_with_crash(uint64_t seed, uint64_t before, uint64_t crash_step)
{
    struct cluster *cl = cluster_new(3, seed, NULL);
    uint64_t steps;

    for (uint64_t r = 1; r <= before; r++) {
        publish_until_accepted(cl, r);
    }
    cl->steps = 0;
    cl->crash_at_step = crash_step;
    cluster_publish(cl, cluster_await_leader(cl), 100, before, 100);
    cluster_run(cl, 400 * MSEC);
    steps = cl->steps;
    cluster_run(cl, 8 * SEC);
    cl->crash_at_step = 0;
    for (int i = 0; i < 3; i++) {
        cluster_start(cl, i);
    }
    for (int i = 0; i < 20; i++) {
        cluster_publish(cl, cluster_await_leader(cl), 101, before, 100);
        cluster_run(cl, SEC);
        if (cl->answers[101].done &&
            cl->answers[101].result != CONTROL_UNKNOWN &&
            cl->answers[101].result != CONTROL_NO_LEADER) {
            break;
        }
    }
    CU_ASSERT_EQUAL(cl->answers[101].result, CONTROL_OK);
    CU_ASSERT_EQUAL(version_of(cl, cluster_await_leader(cl)), before + 1);
    if (cl->answers[100].done && cl->answers[100].result == CONTROL_OK) {
        CU_ASSERT_TRUE(cl->answers[101].resend);
    }
    check_recovery(cl, 200);
    CU_ASSERT_EQUAL(version_of(cl, 0), before + 2);
    assert_no_violation(cl);
    cluster_free(cl);
    return steps;
}

/* Guards against a confirmed change that is lost, or applied twice, when a
 * member crashes at any step of a publication or of the snapshot it triggers:
 * before the entry is written, between write and sync, before the answer,
 * between the rename of the snapshot and that of the log. */
static void
crash_at_every_step(void)
{
    static const uint64_t before[] = {3, 18}; /* 18: triggers a snapshot */

    for (size_t b = 0; b < 2; b++) {
        for (uint64_t seed = 1; seed <= CRASH_SEEDS; seed++) {
            uint64_t steps = publish_with_crash(seed, before[b], 0);

            CU_ASSERT_TRUE(steps > 15);
            for (uint64_t at = 1; at <= steps; at++) {
                (void)publish_with_crash(seed, before[b], at);
            }
        }
    }
}

static uint64_t
term_after_partition(const bool *breaks)
{
    struct cluster *cl = cluster_new(3, 29, breaks);
    int partitioned = (cluster_await_leader(cl) + 1) % 3;
    uint64_t term;

    cl->nodes[partitioned].isolated = true;
    cluster_run(cl, 3600 * SEC);
    term = control_view(cl->nodes[partitioned].control).term;
    cluster_free(cl);
    return term;
}

static int
count_power_loss_violations(uint64_t seed, const bool *breaks)
{
    struct cluster *cl = cluster_new(3, seed, breaks);
    int violations;

    for (uint64_t r = 1; r <= 4; r++) {
        int leader = cluster_await_leader(cl);

        cluster_publish(cl, leader, r, version_of(cl, leader), r);
        for (int i = 0; i < 1000 && !cl->answers[r].done; i++) {
            cluster_run(cl, 100);
        }
        for (int i = 0; i < 3; i++) {
            cluster_crash(cl, i);
        }
        for (int i = 0; i < 3; i++) {
            cluster_start(cl, i);
        }
    }
    check_recovery(cl, 100);
    violations = cl->violations;
    cluster_free(cl);
    return violations;
}

/* Guards against a confirmation sent before the entry is durable: all members
 * lose power at the moment of the answer. */
static void
power_loss_right_after_the_answer(void)
{
    for (uint64_t seed = 1; seed <= 20; seed++) {
        CU_ASSERT_EQUAL(count_power_loss_violations(seed, NULL), 0);
    }
}

/* Guards against a member that deposes a live leader: it comes back after an
 * hour of partition with an old log and a high term.  Publications would fail
 * during the election. */
static void
partitioned_member_with_a_high_term(void)
{
    struct cluster *cl = cluster_new(3, 5, NULL);
    int leader = cluster_await_leader(cl);
    int partitioned = (leader + 1) % 3;
    struct storage *s = NULL;
    struct storage_contents found;
    struct storage_options o = {
        .ops = fault_disk_ops(),
        .disk = cl->nodes[partitioned].disk,
        .member = cl->nodes[partitioned].name,
        .region = name_of("sk-east"),
    };
    char detail[DETAIL_SIZE];

    cl->nodes[partitioned].isolated = true;
    for (uint64_t r = 1; r <= 30; r++) {
        publish_until_accepted(cl, r);
    }
    cluster_run(cl, 3600 * SEC);
    CU_ASSERT_EQUAL(cluster_leader(cl), leader);
    CU_ASSERT_TRUE(term_after_partition(NULL) < 9);
    cluster_crash(cl, partitioned);
    CU_ASSERT_EQUAL(storage_open(&o, &s, &found, detail), STORAGE_OK);
    CU_ASSERT_EQUAL(storage_save_vote(s, 1000, name_of("")), STORAGE_OK);
    storage_contents_free(&found);
    storage_close(s);
    cluster_start(cl, partitioned);
    cl->nodes[partitioned].isolated = false;
    for (uint64_t r = 31; r <= 60; r++) {
        cluster_publish(cl, leader, r, r - 1, r);
        cluster_run(cl, 200 * MSEC);
        CU_ASSERT_EQUAL(cl->answers[r].result, CONTROL_OK);
        CU_ASSERT_TRUE(cl->answers[r].done);
    }
    CU_ASSERT_EQUAL(cluster_leader(cl), leader);
    cluster_run(cl, 5 * SEC);
    CU_ASSERT_EQUAL(version_of(cl, partitioned), 60);
    assert_no_violation(cl);
    cluster_free(cl);
}

/* Guards against entries confirmed before a crash that are lost by a second
 * crash: two members crash, start, and crash again before they caught up. */
static void
two_crashes_in_a_row(void)
{
    for (uint64_t seed = 1; seed <= 20; seed++) {
        struct cluster *cl = cluster_new(3, seed, NULL);

        publish_until_accepted(cl, 1);
        for (uint64_t r = 2; r <= 8; r++) {
            int leader = cluster_await_leader(cl);
            int other = (leader + 1) % 3;

            cluster_publish(cl, leader, r, version_of(cl, leader), r);
            cluster_run(cl, (int64_t)cluster_random(cl, 20000));
            for (int twice = 0; twice < 2; twice++) {
                cluster_crash(cl, leader);
                cluster_start(cl, leader);
                cluster_run(cl, (int64_t)cluster_random(cl, 10000));
                cluster_crash(cl, other);
                cluster_start(cl, other);
                cluster_run(cl, (int64_t)cluster_random(cl, 10000));
            }
            cluster_run(cl, 2 * SEC);
        }
        check_recovery(cl, 100);
        assert_no_violation(cl);
        cluster_free(cl);
    }
}

/* Restarts all members of a cluster with @changes publications; returns the
 * first version that a follower without a configuration gets. */
static uint64_t
first_served(uint64_t changes, const bool *breaks, uint64_t *replies)
{
    struct cluster *cl = cluster_new(3, 7, breaks);
    uint64_t first;

    for (uint64_t r = 1; r <= changes; r++) {
        int leader = cluster_await_leader(cl);

        cluster_publish(cl, leader, r, r - 1, r);
        cluster_run(cl, 60 * MSEC);
        CU_ASSERT_EQUAL(cl->answers[r].result, CONTROL_OK);
    }
    CU_ASSERT_EQUAL(cl->confirmed_version, changes);
    for (int i = 0; i < 3; i++) {
        cluster_crash(cl, i);
    }
    for (int i = 0; i < 3; i++) {
        cluster_start(cl, i);
        cluster_follower_poll(cl, i);
        cluster_run(cl, 300 * MSEC);
    }
    while (cl->follower_replies == 0 && cl->now_us < 600 * SEC) {
        cluster_run(cl, 100 * MSEC);
    }
    first = cl->follower_version;
    *replies = cl->follower_replies;
    if (breaks == NULL) {
        assert_no_violation(cl);
    }
    cluster_free(cl);
    return first;
}

/* Guards against an old version that is in force for a moment: all members
 * restart after a thousand changes, and a follower polls the first one that is
 * up, before that member knows which entries are committed. */
static void
first_served_after_a_thousand_changes(void)
{
    uint64_t replies = 0;

    CU_ASSERT_EQUAL(first_served(1000, NULL, &replies), 1000);
    CU_ASSERT_EQUAL(replies, 1);
}

/* Guards against repeated elections: one member receives nothing from the
 * leader (a one-way partition) and campaigns again and again. */
static void
run_one_way_partition(const bool *breaks, uint64_t *terms)
{
    struct cluster *cl = cluster_new(3, 23, breaks);
    int leader = cluster_await_leader(cl);

    publish_until_accepted(cl, 1);
    *terms = control_view(cl->nodes[leader].control).term;
    cl->nodes[(leader + 1) % 3].drops_from = leader;
    cluster_run(cl, 60 * SEC);
    leader = cluster_await_leader(cl);
    *terms = control_view(cl->nodes[leader].control).term - *terms;
    if (breaks == NULL) {
        cluster_publish(cl, leader, 2, 1, 2);
        cluster_run(cl, SEC);
        CU_ASSERT_EQUAL(cl->answers[2].result, CONTROL_OK);
        assert_no_violation(cl);
    }
    cluster_free(cl);
}

static void
one_way_partition_keeps_the_leader(void)
{
    uint64_t terms = 0;

    run_one_way_partition(NULL, &terms);
    CU_ASSERT_EQUAL(terms, 0);
}

/* Guards against a leader without the accepted changes: only member a, whose
 * disk is then lost, and member b have them.  If a kept its vote, it could
 * elect c, which was partitioned. */
static void
run_lost_disk(const bool *breaks, struct cluster **out)
{
    struct cluster *cl = cluster_new(3, 11, breaks);
    int a = cluster_await_leader(cl);
    int b = (a + 1) % 3;
    int c = (a + 2) % 3;

    cl->nodes[c].isolated = true;
    for (uint64_t r = 1; r <= 3; r++) {
        publish_until_accepted(cl, r);
    }
    cluster_crash(cl, a);
    cluster_wipe(cl, a);
    cl->nodes[b].isolated = true;
    cl->nodes[c].isolated = false;
    cluster_start(cl, a);
    cluster_run(cl, 60 * SEC);
    if (breaks == NULL) {
        CU_ASSERT_TRUE(cluster_leader(cl) < 0);
        CU_ASSERT_FALSE(control_view(cl->nodes[a].control).voter);
    }
    else {
        publish_until_accepted(cl, 50);
    }
    cl->nodes[b].isolated = false;
    (void)cluster_await_leader(cl);
    cluster_run(cl, 5 * SEC);
    cluster_change(cl, cluster_await_leader(cl), 60, CHANGE_REPLACE, a);
    cluster_run(cl, 10 * SEC);
    CU_ASSERT_TRUE(breaks != NULL || cl->answers[60].result == CONTROL_OK);
    *out = cl;
}

static void
lost_disk_does_not_vote(void)
{
    struct cluster *cl = NULL;

    run_lost_disk(NULL, &cl);
    for (int i = 0; i < 3; i++) {
        CU_ASSERT_TRUE(control_view(cl->nodes[i].control).voter);
    }
    check_recovery(cl, 100);
    CU_ASSERT_EQUAL(version_of(cl, 0), 4);
    assert_no_violation(cl);
    cluster_free(cl);
}

/* Guards against a leader without the accepted changes: an operator founds the
 * folder of a lost disk again, so it has the identity that the membership
 * records.  The member must not elect a partitioned one, but must be able to
 * catch up from a leader elected without it. */
static void
founded_again_by_mistake(void)
{
    struct cluster *cl = cluster_new(3, 11, NULL);
    int a = cluster_await_leader(cl);
    int b = (a + 1) % 3;
    int c = (a + 2) % 3;

    cluster_run(cl, 5 * SEC);
    cl->nodes[c].isolated = true;
    for (uint64_t r = 1; r <= 3; r++) {
        publish_until_accepted(cl, r);
    }
    cluster_crash(cl, a);
    cluster_bootstrap_again(cl, a);
    cl->nodes[b].isolated = true;
    cl->nodes[c].isolated = false;
    cluster_start(cl, a);
    cluster_run(cl, 60 * SEC);
    CU_ASSERT_TRUE(cluster_leader(cl) < 0);
    cl->nodes[b].isolated = false;
    check_recovery(cl, 100);
    CU_ASSERT_EQUAL(version_of(cl, a), 4);
    assert_no_violation(cl);
    cluster_free(cl);
}

/* Guards against versions that instances ignore after a recovery: two of three
 * disks are lost and operators recover the region from the third.  Its
 * versions must be above all that instances have in force. */
static void
majority_lost_and_recovered(void)
{
    struct cluster *cl = cluster_new(3, 41, NULL);
    int survivor = cluster_await_leader(cl);
    uint64_t before;

    for (uint64_t r = 1; r <= 30; r++) {
        publish_until_accepted(cl, r);
    }
    cluster_follower_poll(cl, survivor);
    cluster_run(cl, 2 * SEC);
    before = cl->follower_version;
    CU_ASSERT_EQUAL(before, 30);
    for (int i = 0; i < 3; i++) {
        cluster_crash(cl, i);
        if (i != survivor) {
            cluster_wipe(cl, i);
        }
    }
    cluster_recover(cl, survivor);
    for (int i = 0; i < 3; i++) {
        cluster_start(cl, i);
    }
    cluster_run(cl, 10 * SEC);
    CU_ASSERT_EQUAL(cluster_leader(cl), survivor);
    for (int i = 0; i < 3; i++) {
        if (i != survivor) {
            cluster_change(cl, survivor, 40 + (uint64_t)i, CHANGE_ADD, i);
            cluster_run(cl, 10 * SEC);
            CU_ASSERT_TRUE(control_view(cl->nodes[i].control).voter);
        }
    }
    check_recovery(cl, 50);
    cluster_follower_poll(cl, survivor);
    cluster_run(cl, 2 * SEC);
    CU_ASSERT_TRUE(cl->follower_version > before);
    CU_ASSERT_EQUAL(cl->follower_version, version_of(cl, survivor));
    assert_no_violation(cl);
    cluster_free(cl);
}

/* Guards against a member that never catches up, so that the next loss of a
 * member would stop publications: it was down for longer than the log in
 * memory reaches back, and gets a snapshot in chunks. */
static void
members_join_by_snapshot(void)
{
    struct cluster *cl = cluster_new(4, 13, NULL);
    int leader = cluster_await_leader(cl);
    int down = (leader + 1) % 4;

    cluster_crash(cl, down);
    for (uint64_t r = 1; r <= 60; r++) {
        publish_until_accepted(cl, r);
    }
    cl->loss_permille = 100;
    cluster_start(cl, down);
    cluster_run(cl, 60 * SEC);
    CU_ASSERT_EQUAL(version_of(cl, down), 60);
    cl->loss_permille = 0;
    leader = cluster_await_leader(cl);
    down = (leader + 1) % 4;
    cluster_change(cl, leader, 100, CHANGE_REMOVE, down);
    cluster_run(cl, 2 * SEC);
    CU_ASSERT_EQUAL(cl->answers[100].result, CONTROL_OK);
    cluster_run(cl, 20 * SEC);
    CU_ASSERT_EQUAL(cluster_leader(cl), leader);
    cluster_change(cl, leader, 101, CHANGE_ADD, down);
    cluster_run(cl, 5 * SEC);
    CU_ASSERT_EQUAL(cl->answers[101].result, CONTROL_OK);
    CU_ASSERT_TRUE(control_view(cl->nodes[down].control).voter);
    cluster_change(cl, leader, 102, CHANGE_REMOVE, leader);
    cluster_run(cl, 5 * SEC);
    CU_ASSERT_EQUAL(cl->answers[102].result, CONTROL_NO_LEADER);
    CU_ASSERT_NOT_EQUAL(cluster_leader(cl), leader);
    check_recovery(cl, 110);
    assert_no_violation(cl);
    cluster_free(cl);
}

/* Guards against stale reads and publications that are never accepted, at a
 * leader that is partitioned together with its operators. */
static void
partitioned_leader_steps_down(void)
{
    struct cluster *cl = cluster_new(3, 17, NULL);
    int old = cluster_await_leader(cl);
    int leader;

    publish_until_accepted(cl, 1);
    cl->nodes[old].isolated = true;
    cluster_publish(cl, old, 2, 1, 2);
    cluster_read(cl, old, 3);
    cluster_run(cl, 15 * SEC);
    CU_ASSERT_EQUAL(cl->answers[2].result, CONTROL_UNKNOWN);
    CU_ASSERT_EQUAL(cl->answers[3].result, CONTROL_NO_LEADER);
    CU_ASSERT_NOT_EQUAL(control_view(cl->nodes[old].control).role,
                        CONTROL_LEADER);
    leader = cluster_await_leader(cl);
    CU_ASSERT_NOT_EQUAL(leader, old);
    cluster_publish(cl, leader, 4, 1, 4);
    cluster_run(cl, SEC);
    CU_ASSERT_EQUAL(cl->answers[4].result, CONTROL_OK);
    check_recovery(cl, 100);
    assert_no_violation(cl);
    cluster_free(cl);
}

/* Guards against a leader that steps down because disks are slow: syncs take
 * seconds, so publications wait, but heartbeats must not. */
static void
slow_disks_keep_the_leader(void)
{
    struct cluster *cl = cluster_new(3, 37, NULL);
    int leader = cluster_await_leader(cl);
    uint64_t term = control_view(cl->nodes[leader].control).term;

    publish_until_accepted(cl, 1);
    cl->max_sync_us = 20 * SEC;
    cluster_publish(cl, leader, 2, 1, 2);
    cluster_run(cl, 3 * SEC);
    cl->max_sync_us = 8 * MSEC;
    cluster_run(cl, 25 * SEC);
    CU_ASSERT_EQUAL(control_view(cl->nodes[leader].control).term, term);
    CU_ASSERT_EQUAL(version_of(cl, leader), 2);
    assert_no_violation(cl);
    cluster_free(cl);
}

/* Guards against publications that wait for the leader's own disk, which
 * stalls, although a majority has the entry on disk; and against the loss of
 * such an entry when the leader crashes and its disk is lost. */
static void
stalled_leader_disk_does_not_delay_commits(void)
{
    for (uint64_t seed = 51; seed < 61; seed++) {
        struct cluster *cl = cluster_new(5, seed, NULL);
        int leader;

        publish_until_accepted(cl, 1);
        leader = cluster_await_leader(cl);
        cluster_stall(cl, leader, 4 * SEC);
        cluster_publish(cl, leader, 2, 1, 2);
        cluster_run(cl, SEC);
        CU_ASSERT_TRUE(cl->answers[2].done);
        CU_ASSERT_EQUAL(cl->answers[2].result, CONTROL_OK);
        CU_ASSERT_EQUAL(cluster_leader(cl), leader);
        cluster_crash(cl, leader);
        cluster_wipe(cl, leader);
        cluster_run(cl, 5 * SEC);
        CU_ASSERT_TRUE(version_of(cl, cluster_await_leader(cl)) >= 2);
        check_recovery(cl, 100);
        assert_no_violation(cl);
        cluster_free(cl);
    }
}

/* Guards against answers from a deposed leader: its process is paused for a
 * minute, and resumes with messages, a read and a publication queued. */
static void
paused_leader_resumes(void)
{
    struct cluster *cl = cluster_new(3, 43, NULL);
    int old = cluster_await_leader(cl);
    int leader;

    publish_until_accepted(cl, 1);
    cl->nodes[old].paused = true;
    cluster_run(cl, 10 * SEC);
    for (int i = 0; i < 3; i++) {
        if (i != old) {
            cluster_publish(cl, i, 2, 1, 2);
            cluster_run(cl, SEC);
        }
        if (cl->answers[2].result == CONTROL_OK && cl->answers[2].done) {
            break;
        }
    }
    CU_ASSERT_EQUAL(cl->confirmed_version, 2);
    cluster_run(cl, 50 * SEC);
    cl->nodes[old].paused = false;
    cluster_read(cl, old, 3);
    cluster_publish(cl, old, 4, 1, 4);
    cluster_run(cl, 15 * SEC);
    CU_ASSERT_TRUE(cl->answers[3].done && cl->answers[4].done);
    CU_ASSERT_NOT_EQUAL(cl->answers[3].result, CONTROL_OK);
    CU_ASSERT_NOT_EQUAL(cl->answers[4].result, CONTROL_OK);
    leader = cluster_await_leader(cl);
    CU_ASSERT_NOT_EQUAL(leader, old);
    check_recovery(cl, 100);
    CU_ASSERT_EQUAL(version_of(cl, old), 3);
    assert_no_violation(cl);
    cluster_free(cl);
}

/* Guards against a planned stop of the leader that blocks publications for an
 * election timeout, or leaves their outcome unknown. */
static void
planned_stop_transfers_leadership(void)
{
    struct cluster *cl = cluster_new(3, 19, NULL);
    int old = cluster_await_leader(cl);

    publish_until_accepted(cl, 1);
    cluster_publish(cl, old, 2, 1, 2);
    cluster_stop(cl, old);
    cluster_publish(cl, old, 3, 2, 3);
    CU_ASSERT_EQUAL(cl->answers[3].result, CONTROL_STOPPING);
    cluster_run(cl, 1200 * MSEC);
    CU_ASSERT_EQUAL(cl->answers[2].result, CONTROL_OK);
    CU_ASSERT_NOT_EQUAL(cluster_leader(cl), old);
    CU_ASSERT_TRUE(cluster_leader(cl) >= 0);
    cluster_crash(cl, old);
    check_recovery(cl, 100);
    assert_no_violation(cl);
    cluster_free(cl);
}

/* Guards against one client that reads in a loop and so makes the leader send
 * to all members with each read, beyond control's traffic budget. */
static void
reads_share_rounds(void)
{
    struct cluster *cl = cluster_new(3, 47, NULL);
    int leader = cluster_await_leader(cl);
    uint64_t sent;

    publish_until_accepted(cl, 1);
    cluster_run(cl, 100 * MSEC);
    sent = control_view(cl->nodes[leader].control).counters.messages_sent;
    for (uint64_t r = 2; r < 502; r++) {
        cluster_read(cl, leader, r);
        cluster_run(cl, 100);
    }
    cluster_run(cl, 100 * MSEC);
    sent =
        control_view(cl->nodes[leader].control).counters.messages_sent - sent;
    CU_ASSERT_TRUE(sent < 40);
    for (uint64_t r = 2; r < 502; r++) {
        CU_ASSERT_TRUE(cl->answers[r].done);
        CU_ASSERT_EQUAL(cl->answers[r].result, CONTROL_OK);
    }
    assert_no_violation(cl);
    cluster_free(cl);
}

/* Guards against an instance that gets no configuration because another one
 * reported more instances than control keeps. */
static void
reported_followers_do_not_block_polls(void)
{
    struct cluster *cl = cluster_new(3, 53, NULL);
    int leader = cluster_await_leader(cl);
    struct rec_follower made_up[200] = {0};
    struct msg m = {.kind = MSG_CONFIG_REQUEST};

    publish_until_accepted(cl, 1);
    m.u.config_request.have_version = 1;
    m.u.config_request.known_version = 1;
    m.u.config_request.members = made_up;
    m.u.config_request.n_members = 200;
    for (int i = 0; i < 8; i++) {
        for (int k = 0; k < 200; k++) {
            (void)snprintf(made_up[k].instance.s, NAME_SIZE, "x%d-%d", i, k);
        }
        cluster_inject(cl, "e9", leader, &m);
    }
    CU_ASSERT_TRUE(control_view(cl->nodes[leader].control).followers <= 1024);
    cluster_follower_poll(cl, leader);
    cluster_run(cl, SEC);
    CU_ASSERT_EQUAL(cl->follower_version, 1);
    assert_no_violation(cl);
    cluster_free(cl);
}

/* A message of a kind, with the same number in all relevant fields. */
static struct msg
forged(enum msg_kind kind, uint64_t n)
{
    struct msg m = {.kind = kind};

    switch (kind) {
    case MSG_VOTE:
        m.u.vote = (struct rec_vote){n, 0, n, n, 1};
        break;
    case MSG_VOTE_REPLY:
        m.u.vote_reply = (struct rec_vote_reply){n, n, 0, 0, n};
        break;
    case MSG_APPEND:
        m.u.append.term = n;
        m.u.append.prev_index = n;
        m.u.append.commit = n;
        break;
    case MSG_APPEND_REPLY:
        m.u.append_reply = (struct rec_append_reply){n, 1, n, n, n, n};
        break;
    case MSG_SNAPSHOT:
        m.u.snapshot.term = n;
        m.u.snapshot.index = n;
        m.u.snapshot.size = n;
        break;
    case MSG_SNAPSHOT_REPLY:
        m.u.snapshot_reply = (struct rec_snapshot_reply){n, n, n, n, n};
        break;
    case MSG_HAND_OVER:
        m.u.hand_over.term = n;
        break;
    default:
        m.u.read_index.nonce = n;
        break;
    }
    return m;
}

/* Guards against forged or corrupted messages that raise the term: a term near
 * UINT64_MAX would be saved and spread, and no election could follow.  Sent in
 * the name of an entry instance, and of a member with huge numbers. */
static void
forged_messages_change_nothing(void)
{
    static const uint64_t numbers[] = {0, 1, 1000, UINT64_C(1) << 62,
                                       UINT64_MAX};
    struct cluster *cl = cluster_new(3, 31, NULL);
    int leader = cluster_await_leader(cl);
    uint64_t term = control_view(cl->nodes[leader].control).term;

    publish_until_accepted(cl, 1);
    for (int kind = 0; kind < MSG_KINDS; kind++) {
        for (size_t n = 0; n < sizeof(numbers) / sizeof(numbers[0]); n++) {
            struct msg m = forged((enum msg_kind)kind, numbers[n]);

            for (int i = 0; i < 3; i++) {
                cluster_inject(cl, "e1", i, &m);
                if (numbers[n] > 1000) {
                    cluster_inject(cl, "c1", i, &m);
                }
            }
        }
    }
    cluster_run(cl, 5 * SEC);
    CU_ASSERT_EQUAL(cluster_leader(cl), leader);
    CU_ASSERT_EQUAL(control_view(cl->nodes[leader].control).term, term);
    CU_ASSERT_TRUE(
        control_view(cl->nodes[leader].control).counters.messages_bad > 50);
    check_recovery(cl, 100);
    assert_no_violation(cl);
    cluster_free(cl);
}

/* Random schedules. */
static void
publish_at_random(struct cluster *cl, uint64_t r)
{
    int leader = cluster_leader(cl);
    int at = leader >= 0 && cluster_random(cl, 4) > 0
                 ? leader
                 : (int)cluster_random(cl, (uint64_t)cl->n);
    uint64_t back = cluster_random(cl, 4) == 0 ? 1 : 0;
    uint64_t base = version_of(cl, at);
    uint64_t id = r > 6 && cluster_random(cl, 3) == 0
                      ? r - 1 - cluster_random(cl, 5)
                      : r;

    cluster_publish(cl, at, r, base > back ? base - back : base, id);
}

static void
inject_random_fault(struct cluster *cl)
{
    int at = (int)cluster_random(cl, (uint64_t)cl->n);

    switch (cluster_random(cl, 13)) {
    case 0:
    case 1:
        cluster_crash(cl, at);
        break;
    case 2:
    case 3:
    case 4:
        cluster_start(cl, at);
        cluster_follower_poll(cl, at);
        break;
    case 5:
        cl->nodes[at].isolated = true;
        break;
    case 6:
    case 7:
        cl->nodes[at].isolated = false;
        break;
    case 8:
        cl->nodes[at].paused = true;
        break;
    case 9:
    case 10:
        cl->nodes[at].paused = false;
        break;
    case 11:
        for (int i = 0; i < cl->n; i++) {
            cluster_crash(cl, i);
        }
        for (int i = 0; i < cl->n; i++) {
            cluster_start(cl, i);
        }
        break;
    default:
        cl->loss_permille = (unsigned int)cluster_random(cl, 300);
        cl->duplicate_permille = (unsigned int)cluster_random(cl, 200);
        cl->max_delay_us = (int64_t)cluster_random(cl, 60000) + 1000;
        cl->max_sync_us = (int64_t)cluster_random(cl, 300000) + 1000;
        break;
    }
}

static bool
all_voters(const struct cluster *cl)
{
    for (int i = 0; i < cl->n; i++) {
        if (cl->nodes[i].control == NULL || cl->nodes[i].paused ||
            !control_view(cl->nodes[i].control).voter) {
            return false;
        }
    }
    return true;
}

/* Loses a disk and has it replaced, provided all members are up and voters. */
static void
lose_a_disk(struct cluster *cl, uint64_t r)
{
    int leader = cluster_leader(cl);
    int lost = leader < 0 ? -1 : (leader + 1) % cl->n;

    if (leader < 0 || !all_voters(cl) ||
        control_view(cl->nodes[lost].control).commit_index !=
            control_view(cl->nodes[leader].control).commit_index) {
        return;
    }
    cluster_crash(cl, lost);
    cluster_wipe(cl, lost);
    cluster_start(cl, lost);
    cluster_run(cl, SEC);
    cluster_change(cl, leader, r, CHANGE_REPLACE, lost);
}

static struct cluster *
random_schedule(uint64_t seed, const bool *breaks)
{
    struct cluster *cl = cluster_new(seed % 4 == 0 ? 5 : 3, seed, breaks);
    uint64_t r = 1;

    cluster_run(cl, 5 * SEC);
    for (int i = 0; i < SCHEDULE_STEPS && cl->violations == 0; i++) {
        uint64_t what = cluster_random(cl, 17);

        if (what < 8) {
            publish_at_random(cl, r++);
        }
        else if (what < 10) {
            cluster_read(cl, (int)cluster_random(cl, (uint64_t)cl->n), r++);
        }
        else if (what < 12) {
            if (cluster_random(cl, 3) == 0) {
                cluster_reset_follower(cl);
            }
            cluster_follower_poll(cl,
                                  (int)cluster_random(cl, (uint64_t)cl->n));
        }
        else if (what == 12) {
            cluster_run(cl, 4 * SEC);
        }
        else if (what == 13) {
            lose_a_disk(cl, r++);
        }
        else {
            inject_random_fault(cl);
        }
        cluster_run(cl, (int64_t)cluster_random(cl, 800000));
    }
    return cl;
}

/* Ends the faults, and replaces members without a vote as an operator would.
 */
static void
finish_replacement(struct cluster *cl)
{
    cl->loss_permille = 0;
    for (int i = 0; i < cl->n; i++) {
        cl->nodes[i].isolated = false;
        cl->nodes[i].paused = false;
        cluster_start(cl, i);
    }
    cluster_run(cl, 10 * SEC);
    for (int i = 0; i < cl->n; i++) {
        if (!control_view(cl->nodes[i].control).voter) {
            cluster_change(cl, cluster_await_leader(cl), 4000, CHANGE_REPLACE,
                           i);
            cluster_run(cl, 10 * SEC);
        }
    }
}

/* Combined faults: messages that are lost, delayed, duplicated and reordered,
 * crashes that lose unsynced writes, partitions, pauses and lost disks. */
static void
random_schedules(void)
{
    uint64_t published = 0;

    for (uint64_t seed = 1; seed <= SCHEDULES; seed++) {
        struct cluster *cl = random_schedule(seed, NULL);

        finish_replacement(cl);
        check_recovery(cl, 4001);
        if (cl->violations > 0) {
            printf("\n    seed %llu", (unsigned long long)seed);
        }
        published += cl->confirmed_version;
        assert_no_violation(cl);
        cluster_free(cl);
    }
    CU_ASSERT_TRUE(published > (uint64_t)SCHEDULES * 5);
}

static bool
schedules_detect(enum control_break which)
{
    bool breaks[CONTROL_BREAKS] = {false};
    bool detected = false;

    breaks[which] = true;
    for (uint64_t seed = 1; seed <= BREAK_SCHEDULES && !detected; seed++) {
        struct cluster *cl = random_schedule(seed, breaks);

        if (cl->violations == 0) {
            finish_replacement(cl);
            check_recovery(cl, 4001);
        }
        detected = cl->violations > 0;
        if (detected) {
            printf("\n    break %d, seed %llu: %s", (int)which,
                   (unsigned long long)seed, cl->first_violation);
        }
        cluster_free(cl);
    }
    return detected;
}

/* Proves that the checks work: each injected fault must be detected. */
static void
injected_faults_are_detected(void)
{
    bool breaks[CONTROL_BREAKS] = {false};
    struct cluster *cl = NULL;
    uint64_t number = 0;

    breaks[CONTROL_BREAK_ACK_BEFORE_SYNC] = true;
    CU_ASSERT_TRUE(count_power_loss_violations(1, breaks) > 0);
    breaks[CONTROL_BREAK_ACK_BEFORE_SYNC] = false;
    CU_ASSERT_TRUE(schedules_detect(CONTROL_BREAK_VOTE_TWICE));
    CU_ASSERT_TRUE(schedules_detect(CONTROL_BREAK_ANY_LOG));
    CU_ASSERT_TRUE(schedules_detect(CONTROL_BREAK_READ_WITHOUT_ROUND));
    CU_ASSERT_TRUE(schedules_detect(CONTROL_BREAK_SERVE_UNCOMMITTED));
    CU_ASSERT_TRUE(schedules_detect(CONTROL_BREAK_FORGET_REQUESTS));
    breaks[CONTROL_BREAK_SERVE_AFTER_RESTART] = true;
    CU_ASSERT_TRUE(first_served(30, breaks, &number) < 30);
    breaks[CONTROL_BREAK_SERVE_AFTER_RESTART] = false;
    breaks[CONTROL_BREAK_NO_STICKINESS] = true;
    run_one_way_partition(breaks, &number);
    CU_ASSERT_TRUE(number > 0);
    breaks[CONTROL_BREAK_NO_STICKINESS] = false;
    breaks[CONTROL_BREAK_NO_PRE_VOTE] = true;
    CU_ASSERT_TRUE(term_after_partition(breaks) > 100);
    breaks[CONTROL_BREAK_NO_PRE_VOTE] = false;
    breaks[CONTROL_BREAK_COUNT_ANY_DISK] = true;
    run_lost_disk(breaks, &cl);
    CU_ASSERT_TRUE(cl->violations > 0);
    cluster_free(cl);
}

static void
delta_round_trips(void)
{
    static const char *const texts[] = {"",        "a",         "abcabc",
                                        "abcXabc", "abcabcabc", "zzz"};

    for (size_t i = 0; i < 6; i++) {
        for (size_t j = 0; j < 6; j++) {
            struct blob *old = blob_new(texts[i], strlen(texts[i]));
            struct blob *new = blob_new(texts[j], strlen(texts[j]));
            struct delta d = delta_make(old, new);
            struct blob *back = delta_apply(old, &d);

            CU_ASSERT_TRUE(back != NULL && strcmp(back->data, texts[j]) == 0);
            blob_unref(back);
            d.digest++;
            CU_ASSERT_PTR_NULL(delta_apply(old, &d));
            d.prefix = 100;
            CU_ASSERT_PTR_NULL(delta_apply(old, &d));
            blob_unref(d.middle);
            blob_unref(old);
            blob_unref(new);
        }
    }
}

void
suite_control(void)
{
    check_add("control", "publications_reach_all_members",
              publications_reach_all_members);
    check_add("control", "concurrent_publications_from_one_base",
              concurrent_publications_from_one_base);
    check_add("control", "resends_get_the_first_answer",
              resends_get_the_first_answer);
    check_add("control", "crash_at_every_step", crash_at_every_step);
    check_add("control", "power_loss_right_after_the_answer",
              power_loss_right_after_the_answer);
    check_add("control", "partitioned_member_with_a_high_term",
              partitioned_member_with_a_high_term);
    check_add("control", "two_crashes_in_a_row", two_crashes_in_a_row);
    check_add("control", "first_served_after_a_thousand_changes",
              first_served_after_a_thousand_changes);
    check_add("control", "one_way_partition_keeps_the_leader",
              one_way_partition_keeps_the_leader);
    check_add("control", "lost_disk_does_not_vote", lost_disk_does_not_vote);
    check_add("control", "founded_again_by_mistake", founded_again_by_mistake);
    check_add("control", "majority_lost_and_recovered",
              majority_lost_and_recovered);
    check_add("control", "members_join_by_snapshot", members_join_by_snapshot);
    check_add("control", "partitioned_leader_steps_down",
              partitioned_leader_steps_down);
    check_add("control", "slow_disks_keep_the_leader",
              slow_disks_keep_the_leader);
    check_add("control", "stalled_leader_disk_does_not_delay_commits",
              stalled_leader_disk_does_not_delay_commits);
    check_add("control", "paused_leader_resumes", paused_leader_resumes);
    check_add("control", "planned_stop_transfers_leadership",
              planned_stop_transfers_leadership);
    check_add("control", "forged_messages_change_nothing",
              forged_messages_change_nothing);
    check_add("control", "reads_share_rounds", reads_share_rounds);
    check_add("control", "reported_followers_do_not_block_polls",
              reported_followers_do_not_block_polls);
    check_add("control", "random_schedules", random_schedules);
    check_add("control", "injected_faults_are_detected",
              injected_faults_are_detected);
    check_add("control", "delta_round_trips", delta_round_trips);
}
