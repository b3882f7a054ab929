/* The control members' reducer, several of them in virtual time. */
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "check.h"
#include "cluster.h"
#include "delta.h"

enum {
    KILL_SEEDS = 3,
    SCHEDULES = 100,
    SCHEDULE_STEPS = 120,
    BREAK_SCHEDULES = 400,
};

static const int64_t MSEC = USEC_PER_MSEC;
static const int64_t SEC = USEC_PER_SEC;

static void
no_violation(struct cluster *cl)
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

/* Publishes from what the leader has, again and again until it is accepted. */
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

/* Everything works again: all members must agree, and accept more. */
static void
check_recovers(struct cluster *cl, uint64_t r)
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
        cluster_violation(cl, "version %llu was confirmed and is gone",
                          (unsigned long long)cl->confirmed_version);
    }
    for (int i = 0; i < cl->n; i++) {
        if (version_of(cl, i) != version_of(cl, leader)) {
            cluster_violation(cl, "%s stays behind", cl->nodes[i].name.s);
        }
    }
}

static void
publishes_to_all(void)
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
    no_violation(cl);
    cluster_free(cl);
}

/* Two operators change the same version at the same time.  If both were
 * accepted, the second would take back what the first had changed, and nobody
 * would notice until a service runs with the old limits. */
static void
equal_bases_race(void)
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
    no_violation(cl);
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

/* The answer to a publication is lost, and the operator's tool sends it again:
 * to the same leader, to a new one, after restarts, and after a snapshot has
 * replaced the entry.  Published anew it would undo what others did since. */
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
    no_violation(cl);
    cluster_free(cl);
}

/* One run of a publication, during which a member is killed at a step.  The
 * operator resends until there is an answer. */
static uint64_t
killed_publication(uint64_t seed, uint64_t before, uint64_t kill_at)
{
    struct cluster *cl = cluster_new(3, seed, NULL);
    uint64_t steps;

    for (uint64_t r = 1; r <= before; r++) {
        publish_until_accepted(cl, r);
    }
    cl->steps = 0;
    cl->crash_at_step = kill_at;
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
    check_recovers(cl, 200);
    CU_ASSERT_EQUAL(version_of(cl, 0), before + 2);
    no_violation(cl);
    cluster_free(cl);
    return steps;
}

/* A member dies at any step of a publication, or of the snapshot that it
 * causes: before the entry is written, between write and sync, before the
 * answer, between the rename of the snapshot and that of the log.  A confirmed
 * change must be there afterwards, and no change twice. */
static void
killed_at_every_step(void)
{
    static const uint64_t before[] = {3, 18}; /* the second: a snapshot */

    for (size_t b = 0; b < 2; b++) {
        for (uint64_t seed = 1; seed <= KILL_SEEDS; seed++) {
            uint64_t steps = killed_publication(seed, before[b], 0);

            CU_ASSERT_TRUE(steps > 15);
            for (uint64_t at = 1; at <= steps; at++) {
                (void)killed_publication(seed, before[b], at);
            }
        }
    }
}

static uint64_t
term_after_a_long_cut(const bool *breaks)
{
    struct cluster *cl = cluster_new(3, 29, breaks);
    int silent = (cluster_await_leader(cl) + 1) % 3;
    uint64_t term;

    cl->nodes[silent].isolated = true;
    cluster_run(cl, 3600 * SEC);
    term = control_view(cl->nodes[silent].control).term;
    cluster_free(cl);
    return term;
}

static int
lost_at_power_loss(uint64_t seed, const bool *breaks)
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
    check_recovers(cl, 100);
    violations = cl->violations;
    cluster_free(cl);
    return violations;
}

/* The power goes everywhere at the moment when an operator reads "accepted".
 * A confirmation that did not wait for the disks is then worth nothing. */
static void
power_loss_right_after_the_answer(void)
{
    for (uint64_t seed = 1; seed <= 20; seed++) {
        CU_ASSERT_EQUAL(lost_at_power_loss(seed, NULL), 0);
    }
}

/* A member was cut off for an hour and comes back with an old log and a high
 * term.  If it could make the others follow its term, it would depose a leader
 * that all of them hear; operators would see publications fail. */
static void
silent_member_with_a_high_term(void)
{
    struct cluster *cl = cluster_new(3, 5, NULL);
    int leader = cluster_await_leader(cl);
    int silent = (leader + 1) % 3;
    struct storage *s = NULL;
    struct storage_found found;
    struct storage_options o = {
        .ops = fault_disk_ops(),
        .disk = cl->nodes[silent].disk,
        .member = cl->nodes[silent].name,
        .region = name_of("sk-east"),
    };
    char detail[DETAIL_SIZE];

    cl->nodes[silent].isolated = true;
    for (uint64_t r = 1; r <= 30; r++) {
        publish_until_accepted(cl, r);
    }
    cluster_run(cl, 3600 * SEC);
    CU_ASSERT_EQUAL(cluster_leader(cl), leader);
    CU_ASSERT_TRUE(term_after_a_long_cut(NULL) < 9);
    cluster_crash(cl, silent);
    CU_ASSERT_EQUAL(storage_open(&o, &s, &found, detail), STORAGE_OK);
    CU_ASSERT_EQUAL(storage_save_vote(s, 1000, name_of("")), STORAGE_OK);
    storage_found_free(&found);
    storage_close(s);
    cluster_start(cl, silent);
    cl->nodes[silent].isolated = false;
    for (uint64_t r = 31; r <= 60; r++) {
        cluster_publish(cl, leader, r, r - 1, r);
        cluster_run(cl, 200 * MSEC);
        CU_ASSERT_EQUAL(cl->answers[r].result, CONTROL_OK);
        CU_ASSERT_TRUE(cl->answers[r].done);
    }
    CU_ASSERT_EQUAL(cluster_leader(cl), leader);
    cluster_run(cl, 5 * SEC);
    CU_ASSERT_EQUAL(version_of(cl, silent), 60);
    no_violation(cl);
    cluster_free(cl);
}

/* A member crashes, starts, and crashes again before it has caught up, while
 * another does the same.  What it confirmed before the first crash must not
 * depend on what it did between the two. */
static void
two_restarts_right_after_each_other(void)
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
        check_recovers(cl, 100);
        no_violation(cl);
        cluster_free(cl);
    }
}

/* The version that a follower without any gets first, after all members of a
 * cluster with @changes publications were restarted. */
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
        no_violation(cl);
    }
    cluster_free(cl);
    return first;
}

/* All members restart after a thousand changes.  A follower that asks the
 * first member to come up must not get anything but the newest version: an
 * older one would be in force for a moment, then be replaced. */
static void
first_served_after_a_thousand_changes(void)
{
    uint64_t replies = 0;

    CU_ASSERT_EQUAL(first_served(1000, NULL, &replies), 1000);
    CU_ASSERT_EQUAL(replies, 1);
}

/* A member hears all but the leader, over a connection that something between
 * the two has lost track of.  It must not depose a leader that the others
 * hear, over and over. */
static void
deaf_member(const bool *breaks, uint64_t *terms)
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
        no_violation(cl);
    }
    cluster_free(cl);
}

static void
deaf_member_does_not_disturb(void)
{
    uint64_t terms = 0;

    deaf_member(NULL, &terms);
    CU_ASSERT_EQUAL(terms, 0);
}

/* The disk of a member is lost.  With its old vote it could help a member that
 * was cut off to become leader without the accepted changes, which only the
 * lost disk and one other held. */
static void
lost_disk(const bool *breaks, struct cluster **out)
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

    lost_disk(NULL, &cl);
    for (int i = 0; i < 3; i++) {
        CU_ASSERT_TRUE(control_view(cl->nodes[i].control).voter);
    }
    check_recovers(cl, 100);
    CU_ASSERT_EQUAL(version_of(cl, 0), 4);
    no_violation(cl);
    cluster_free(cl);
}

/* After a disk was lost, somebody founds the empty folder as on the first day.
 * It then has the identity that the members know.  It must not elect the
 * member that was cut off, and still be filled by the others' leader. */
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
    check_recovers(cl, 100);
    CU_ASSERT_EQUAL(version_of(cl, a), 4);
    no_violation(cl);
    cluster_free(cl);
}

/* Two of three disks are lost, the second right after the first was replaced.
 * No majority is left that knows what was confirmed.  From the member that is
 * left, operators go on; its versions must be above all that instances have,
 * or they would ignore everything published from then on. */
static void
majority_lost_and_recovered(void)
{
    struct cluster *cl = cluster_new(3, 41, NULL);
    int left = cluster_await_leader(cl);
    uint64_t before;

    for (uint64_t r = 1; r <= 30; r++) {
        publish_until_accepted(cl, r);
    }
    cluster_follower_poll(cl, left);
    cluster_run(cl, 2 * SEC);
    before = cl->follower_version;
    CU_ASSERT_EQUAL(before, 30);
    for (int i = 0; i < 3; i++) {
        cluster_crash(cl, i);
        if (i != left) {
            cluster_wipe(cl, i);
        }
    }
    cluster_recover(cl, left);
    for (int i = 0; i < 3; i++) {
        cluster_start(cl, i);
    }
    cluster_run(cl, 10 * SEC);
    CU_ASSERT_EQUAL(cluster_leader(cl), left);
    for (int i = 0; i < 3; i++) {
        if (i != left) {
            cluster_change(cl, left, 40 + (uint64_t)i, CHANGE_ADD, i);
            cluster_run(cl, 10 * SEC);
            CU_ASSERT_TRUE(control_view(cl->nodes[i].control).voter);
        }
    }
    check_recovers(cl, 50);
    cluster_follower_poll(cl, left);
    cluster_run(cl, 2 * SEC);
    CU_ASSERT_TRUE(cl->follower_version > before);
    CU_ASSERT_EQUAL(cl->follower_version, version_of(cl, left));
    no_violation(cl);
    cluster_free(cl);
}

/* A member that was away longer than the log reaches back gets a snapshot in
 * pieces.  Were it left behind, the next loss of a member would stop all
 * publications. */
static void
members_join_by_snapshot(void)
{
    struct cluster *cl = cluster_new(4, 13, NULL);
    int leader = cluster_await_leader(cl);
    int away = (leader + 1) % 4;

    cluster_crash(cl, away);
    for (uint64_t r = 1; r <= 60; r++) {
        publish_until_accepted(cl, r);
    }
    cl->loss_permille = 100;
    cluster_start(cl, away);
    cluster_run(cl, 60 * SEC);
    CU_ASSERT_EQUAL(version_of(cl, away), 60);
    cl->loss_permille = 0;
    leader = cluster_await_leader(cl);
    away = (leader + 1) % 4;
    cluster_change(cl, leader, 100, CHANGE_REMOVE, away);
    cluster_run(cl, 2 * SEC);
    CU_ASSERT_EQUAL(cl->answers[100].result, CONTROL_OK);
    cluster_run(cl, 20 * SEC);
    CU_ASSERT_EQUAL(cluster_leader(cl), leader);
    cluster_change(cl, leader, 101, CHANGE_ADD, away);
    cluster_run(cl, 5 * SEC);
    CU_ASSERT_EQUAL(cl->answers[101].result, CONTROL_OK);
    CU_ASSERT_TRUE(control_view(cl->nodes[away].control).voter);
    cluster_change(cl, leader, 102, CHANGE_REMOVE, leader);
    cluster_run(cl, 5 * SEC);
    CU_ASSERT_EQUAL(cl->answers[102].result, CONTROL_NO_LEADER);
    CU_ASSERT_NOT_EQUAL(cluster_leader(cl), leader);
    check_recovers(cl, 110);
    no_violation(cl);
    cluster_free(cl);
}

/* A leader is cut off with its operators.  It must not go on as if it led:
 * what it reads may be replaced on the other side, and what it takes would
 * never be accepted. */
static void
cut_off_leader_steps_down(void)
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
    check_recovers(cl, 100);
    no_violation(cl);
    cluster_free(cl);
}

/* The disks of two members take seconds for a sync.  Publications wait for
 * them, but the leader must not step down over it and make matters worse. */
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
    no_violation(cl);
    cluster_free(cl);
}

/* The leader's disk answers nothing for some seconds.  A majority of the
 * others has the publication on disk: an operator that waited for the leader's
 * own would take the region for down.  What was confirmed survives the loss of
 * the leader with all that its disk had not done. */
static void
stalled_disk_of_the_leader_holds_nothing_up(void)
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
        check_recovers(cl, 100);
        no_violation(cl);
        cluster_free(cl);
    }
}

/* The leader's process is stopped for a minute and wakes with messages, reads
 * and publications before it.  It must notice that another leads before it
 * tells anybody anything. */
static void
paused_leader_wakes(void)
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
    check_recovers(cl, 100);
    CU_ASSERT_EQUAL(version_of(cl, old), 3);
    no_violation(cl);
    cluster_free(cl);
}

/* A planned stop of the leader while operators publish.  Without a handover
 * they would wait out an election timeout, or be told "unknown". */
static void
planned_stop_hands_over(void)
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
    check_recovers(cl, 100);
    no_violation(cl);
    cluster_free(cl);
}

/* Anybody may read.  If each read made the leader send to all members, one
 * client in a loop would use up the bytes that control may spend. */
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
    no_violation(cl);
    cluster_free(cl);
}

/* An entry instance reports neighbours by the thousand that do not exist.  A
 * real one that asks must still be served. */
static void
reported_followers_do_not_crowd_out(void)
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
    no_violation(cl);
    cluster_free(cl);
}

/* A message of one kind with the same number in all fields that matter. */
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

/* An entry instance, or somebody in its name, sends what only members send,
 * and a member sends garbled numbers.  The term must not move: saved and
 * spread, a huge one would end all elections for good. */
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
    check_recovers(cl, 100);
    no_violation(cl);
    cluster_free(cl);
}

/* Random schedules. */
static void
publish_something(struct cluster *cl, uint64_t r)
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
disturb(struct cluster *cl)
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

/* A disk is lost while all others are there and none is being replaced. */
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
            publish_something(cl, r++);
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
            disturb(cl);
        }
        cluster_run(cl, (int64_t)cluster_random(cl, 800000));
    }
    return cl;
}

/* A member that is still to be replaced is, as its operator would do. */
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

/* Any of it together and twice: messages lost, late, doubled and out of order,
 * members that crash and lose what was not synced, cuts, lost disks. */
static void
random_schedules(void)
{
    uint64_t published = 0;

    for (uint64_t seed = 1; seed <= SCHEDULES; seed++) {
        struct cluster *cl = random_schedule(seed, NULL);

        finish_replacement(cl);
        check_recovers(cl, 4001);
        if (cl->violations > 0) {
            printf("\n    seed %llu", (unsigned long long)seed);
        }
        published += cl->confirmed_version;
        no_violation(cl);
        cluster_free(cl);
    }
    CU_ASSERT_TRUE(published > (uint64_t)SCHEDULES * 5);
}

static bool
schedules_notice(enum control_break which)
{
    bool breaks[CONTROL_BREAKS] = {false};
    bool noticed = false;

    breaks[which] = true;
    for (uint64_t seed = 1; seed <= BREAK_SCHEDULES && !noticed; seed++) {
        struct cluster *cl = random_schedule(seed, breaks);

        if (cl->violations == 0) {
            finish_replacement(cl);
            check_recovers(cl, 4001);
        }
        noticed = cl->violations > 0;
        if (noticed) {
            printf("\n    break %d, seed %llu: %s", (int)which,
                   (unsigned long long)seed, cl->first_violation);
        }
        cluster_free(cl);
    }
    return noticed;
}

/* The checks themselves are checked: members that decide wrongly on purpose
 * must be noticed. */
static void
wrong_decisions_are_noticed(void)
{
    bool breaks[CONTROL_BREAKS] = {false};
    struct cluster *cl = NULL;
    uint64_t number = 0;

    breaks[CONTROL_BREAK_ACK_BEFORE_SYNC] = true;
    CU_ASSERT_TRUE(lost_at_power_loss(1, breaks) > 0);
    breaks[CONTROL_BREAK_ACK_BEFORE_SYNC] = false;
    CU_ASSERT_TRUE(schedules_notice(CONTROL_BREAK_VOTE_TWICE));
    CU_ASSERT_TRUE(schedules_notice(CONTROL_BREAK_ANY_LOG));
    CU_ASSERT_TRUE(schedules_notice(CONTROL_BREAK_READ_WITHOUT_ROUND));
    CU_ASSERT_TRUE(schedules_notice(CONTROL_BREAK_SERVE_UNCOMMITTED));
    CU_ASSERT_TRUE(schedules_notice(CONTROL_BREAK_FORGET_REQUESTS));
    breaks[CONTROL_BREAK_SERVE_AFTER_RESTART] = true;
    CU_ASSERT_TRUE(first_served(30, breaks, &number) < 30);
    breaks[CONTROL_BREAK_SERVE_AFTER_RESTART] = false;
    breaks[CONTROL_BREAK_NO_STICKINESS] = true;
    deaf_member(breaks, &number);
    CU_ASSERT_TRUE(number > 0);
    breaks[CONTROL_BREAK_NO_STICKINESS] = false;
    breaks[CONTROL_BREAK_NO_PRE_VOTE] = true;
    CU_ASSERT_TRUE(term_after_a_long_cut(breaks) > 100);
    breaks[CONTROL_BREAK_NO_PRE_VOTE] = false;
    breaks[CONTROL_BREAK_COUNT_ANY_DISK] = true;
    lost_disk(breaks, &cl);
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
    check_add("control", "publishes_to_all", publishes_to_all);
    check_add("control", "equal_bases_race", equal_bases_race);
    check_add("control", "resends_get_the_first_answer",
              resends_get_the_first_answer);
    check_add("control", "killed_at_every_step", killed_at_every_step);
    check_add("control", "power_loss_right_after_the_answer",
              power_loss_right_after_the_answer);
    check_add("control", "silent_member_with_a_high_term",
              silent_member_with_a_high_term);
    check_add("control", "two_restarts_right_after_each_other",
              two_restarts_right_after_each_other);
    check_add("control", "first_served_after_a_thousand_changes",
              first_served_after_a_thousand_changes);
    check_add("control", "deaf_member_does_not_disturb",
              deaf_member_does_not_disturb);
    check_add("control", "lost_disk_does_not_vote", lost_disk_does_not_vote);
    check_add("control", "founded_again_by_mistake", founded_again_by_mistake);
    check_add("control", "majority_lost_and_recovered",
              majority_lost_and_recovered);
    check_add("control", "members_join_by_snapshot", members_join_by_snapshot);
    check_add("control", "cut_off_leader_steps_down",
              cut_off_leader_steps_down);
    check_add("control", "slow_disks_keep_the_leader",
              slow_disks_keep_the_leader);
    check_add("control", "stalled_disk_of_the_leader_holds_nothing_up",
              stalled_disk_of_the_leader_holds_nothing_up);
    check_add("control", "paused_leader_wakes", paused_leader_wakes);
    check_add("control", "planned_stop_hands_over", planned_stop_hands_over);
    check_add("control", "forged_messages_change_nothing",
              forged_messages_change_nothing);
    check_add("control", "reads_share_rounds", reads_share_rounds);
    check_add("control", "reported_followers_do_not_crowd_out",
              reported_followers_do_not_crowd_out);
    check_add("control", "random_schedules", random_schedules);
    check_add("control", "wrong_decisions_are_noticed",
              wrong_decisions_are_noticed);
    check_add("control", "delta_round_trips", delta_round_trips);
}
