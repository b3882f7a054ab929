/* Members of control that come and go without an operator. */
#include <stdio.h>
#include <string.h>
#include <xxhash.h>

#include "check.h"
#include "cluster.h"

#define SEC USEC_PER_SEC
#define MSEC USEC_PER_MSEC

/* All members start anew under the rules of enroll.c. */
static struct cluster *
enrolling(int n, uint64_t seed)
{
    struct cluster *cl = cluster_new(n, seed, NULL);

    cl->options.enroll = true;
    cl->options.election_timeout_us = 400 * USEC_PER_MSEC;
    cl->options.heartbeat_interval_us = 80 * USEC_PER_MSEC;
    cl->options.startup_timeout_us = 120 * USEC_PER_MSEC;
    cl->options.address = address_of("127.0.0.1:1");
    cl->options.http = address_of("127.0.0.1:2");
    for (int i = 0; i < n; i++) {
        cluster_crash(cl, i);
        cluster_start(cl, i);
    }
    return cl;
}

static bool
votes(const struct cluster *cl, int i)
{
    return control_view(cl->nodes[i].control).voter;
}

static void
publish(struct cluster *cl, uint64_t r)
{
    for (int tries = 0; tries < 20 && !cl->answers[r].done; tries++) {
        int leader = cluster_await_leader(cl);

        cluster_publish(cl, leader, r, r - 1, r);
        cluster_run(cl, SEC);
    }
    CU_ASSERT_EQUAL(cl->answers[r].result, CONTROL_OK);
}

static void
no_violation(const struct cluster *cl)
{
    if (cl->violations > 0) {
        (void)fprintf(stderr, "enroll: %s\n", cl->first_violation);
    }
    CU_ASSERT_EQUAL(cl->violations, 0);
}

/* A member comes back at its address with an empty disk.  Nobody tells the
 * others; without them doing something about it the next loss would stop all
 * changes. */
static void
empty_disk_learns_and_votes_again(void)
{
    struct cluster *cl = enrolling(3, 5);
    int wiped = (cluster_await_leader(cl) + 1) % 3;

    publish(cl, 1);
    cluster_crash(cl, wiped);
    cluster_wipe(cl, wiped);
    publish(cl, 2);
    cluster_start(cl, wiped);
    cluster_run(cl, 3 * SEC);
    CU_ASSERT_TRUE(votes(cl, wiped));
    CU_ASSERT_EQUAL(control_view(cl->nodes[wiped].control).version, 2);
    cluster_crash(cl, (wiped + 1) % 3);
    publish(cl, 3);
    no_violation(cl);
    cluster_free(cl);
}

/* The member that confirmed a change loses its disk right after, while the one
 * that has not heard of the change comes back.  These two are a majority by
 * name; together they must not lead, and the change must not be gone. */
static void
wiped_right_after_the_confirmation(void)
{
    for (uint64_t seed = 20; seed < 30; seed++) {
        struct cluster *cl = enrolling(3, seed);
        int leader = cluster_await_leader(cl);
        int behind = (leader + 1) % 3;
        int other = (leader + 2) % 3;

        publish(cl, 1);
        cl->nodes[behind].isolated = true;
        publish(cl, 2);
        cluster_crash(cl, leader);
        cluster_wipe(cl, leader);
        cluster_crash(cl, other);
        cl->nodes[behind].isolated = false;
        cluster_start(cl, leader);
        cluster_run(cl, 5 * SEC);
        CU_ASSERT_TRUE(cluster_leader(cl) < 0);
        cluster_start(cl, other);
        cluster_run(cl, 5 * SEC);
        CU_ASSERT_TRUE(votes(cl, leader));
        publish(cl, 3);
        CU_ASSERT_EQUAL(control_view(cl->nodes[behind].control).version, 3);
        no_violation(cl);
        cluster_free(cl);
    }
}

/* A machine is gone for good.  It is taken out while three others vote, and
 * when it comes back after all it is let in again. */
static void
silent_member_is_removed_and_comes_back(void)
{
    struct cluster *cl = enrolling(4, 7);
    int gone = (cluster_await_leader(cl) + 1) % 4;

    publish(cl, 1);
    cluster_crash(cl, gone);
    cluster_run(cl, 6 * SEC);
    CU_ASSERT_EQUAL(
        control_fsm(cl->nodes[cluster_leader(cl)].control)->members.n_members,
        3);
    publish(cl, 2);
    cluster_start(cl, gone);
    cluster_run(cl, 4 * SEC);
    CU_ASSERT_TRUE(votes(cl, gone));
    CU_ASSERT_EQUAL(control_view(cl->nodes[gone].control).version, 2);
    no_violation(cl);
    cluster_free(cl);
}

static size_t
count_members(const struct cluster *cl)
{
    const struct control *leader = cl->nodes[cluster_leader(cl)].control;

    return control_fsm(leader)->members.n_members;
}

/* A member comes back after it was removed, and its first answer takes longer
 * than the change that let it in: taken out at once each time, it never votes
 * again, and two lost disks of the other four leave no majority. */
static void
member_that_comes_back_has_time_to_answer(void)
{
    struct cluster *cl = enrolling(4, 7);
    int gone = (cluster_await_leader(cl) + 1) % 4;

    publish(cl, 1);
    cl->nodes[gone].isolated = true;
    cluster_run(cl, 6 * SEC);
    CU_ASSERT_EQUAL(count_members(cl), 3);
    cl->nodes[gone].isolated = false;
    cl->nodes[gone].drops_from = cluster_leader(cl);
    for (int i = 0; i < 200 && count_members(cl) < 4; i++) {
        cluster_run(cl, 10 * MSEC);
    }
    for (int i = 0; i < 100; i++) {
        CU_ASSERT_EQUAL(count_members(cl), 4);
        cluster_run(cl, 10 * MSEC);
    }
    cl->nodes[gone].drops_from = CLUSTER_NODES_MAX;
    cluster_run(cl, 4 * SEC);
    CU_ASSERT_TRUE(votes(cl, gone));
    no_violation(cl);
    cluster_free(cl);
}

/* With two voters up a third that is silent stays a member: were it taken out,
 * the next loss would leave one of two. */
static void
last_three_members_are_kept(void)
{
    struct cluster *cl = enrolling(3, 9);
    int gone = (cluster_await_leader(cl) + 1) % 3;

    cluster_crash(cl, gone);
    cluster_run(cl, 10 * SEC);
    CU_ASSERT_EQUAL(
        control_fsm(cl->nodes[cluster_leader(cl)].control)->members.n_members,
        3);
    no_violation(cl);
    cluster_free(cl);
}

/* Disks are lost, members die and are cut off, by seed, while changes are
 * published: what was confirmed stays, and at the end all vote. */
static void
losses_in_series(void)
{
    for (uint64_t seed = 100; seed < 130; seed++) {
        struct cluster *cl = enrolling(4, seed);
        uint64_t r = 1;

        for (int round = 0; round < 8; round++) {
            int one = (int)cluster_random(cl, 4);

            publish(cl, r++);
            if (cluster_random(cl, 3) == 0) {
                cl->nodes[one].isolated = true;
                cluster_run(cl, (int64_t)cluster_random(cl, 6) * SEC);
                cl->nodes[one].isolated = false;
                continue;
            }
            cluster_crash(cl, one);
            if (cluster_random(cl, 2) == 0) {
                cluster_wipe(cl, one);
            }
            cluster_run(cl, (int64_t)cluster_random(cl, 5) * SEC);
            cluster_start(cl, one);
            cluster_run(cl, 3 * SEC);
        }
        cluster_run(cl, 10 * SEC);
        for (int i = 0; i < 4; i++) {
            CU_ASSERT_TRUE(votes(cl, i));
        }
        no_violation(cl);
        cluster_free(cl);
    }
}

/* Ranked publications */

static struct rec_publish
ranked(uint64_t rank, const char *text)
{
    struct blob *b = blob_new(text, strlen(text));
    struct rec_publish p = {.rank = rank,
                            .request_id = key_id_of("ranked"),
                            .request_text = blob_new("r", 1),
                            .publisher = name_of("operator"),
                            .summary = blob_new("", 0),
                            .middle = b};

    p.digest = XXH3_64bits(text, strlen(text));
    return p;
}

static struct fsm_outcome
apply(struct fsm *f, uint64_t rank, const char *text)
{
    struct rec_publish p = ranked(rank, text);
    struct fsm_outcome o = fsm_publish(f, f->version + 2, 1, &p);

    blob_unref(p.request_text);
    blob_unref(p.summary);
    blob_unref(p.middle);
    return o;
}

/* Operators send whole configurations under numbers of their own, again after
 * lost answers, late, and two at once.  The highest stays in force. */
static void
highest_rank_stays(void)
{
    struct fsm f;
    struct blob *state;
    uint64_t index;
    uint64_t term;

    fsm_init(&f, control_options_default().limits);
    CU_ASSERT_EQUAL(apply(&f, 7, "seven").result, CONTROL_OK);
    CU_ASSERT_EQUAL(apply(&f, 4, "four").result, CONTROL_OK);
    CU_ASSERT_TRUE(apply(&f, 7, "another seven").resend);
    CU_ASSERT_EQUAL(f.version, 1);
    CU_ASSERT_STRING_EQUAL(fsm_version_text(&f, f.version)->data, "seven");
    CU_ASSERT_EQUAL(apply(&f, 12, "twelve").result, CONTROL_OK);
    CU_ASSERT_EQUAL(f.rank, 12);
    CU_ASSERT_STRING_EQUAL(fsm_version_text(&f, f.version)->data, "twelve");
    state = fsm_encode(&f, 9, 1);
    fsm_free(&f);
    fsm_init(&f, control_options_default().limits);
    CU_ASSERT_TRUE(fsm_decode(&f, state, &index, &term));
    CU_ASSERT_TRUE(apply(&f, 12, "late").resend);
    CU_ASSERT_STRING_EQUAL(fsm_version_text(&f, f.version)->data, "twelve");
    blob_unref(state);
    fsm_free(&f);
}

static int64_t
until_leader_us(struct cluster *cl, int64_t patience_us)
{
    int64_t step_us = 5 * USEC_PER_MSEC;
    int64_t waited_us = 0;

    while (cluster_leader(cl) < 0 && waited_us < patience_us) {
        cluster_run(cl, step_us);
        waited_us += step_us;
    }
    return waited_us;
}

/* All members lose power and come back within a tenth of a second of each
 * other, as after a power cut of a whole region.  Each campaigns at once, and
 * where two do so together neither wins: until the next attempt no broker
 * learns its configuration and all callers are refused. */
static void
leader_soon_after_all_lost_power(void)
{
    int64_t longest_us = 0;

    for (uint64_t seed = 1; seed <= 100; seed++) {
        struct cluster *cl = enrolling(3, seed);
        int64_t waited_us;

        cl->options.startup_timeout_us = 40 * USEC_PER_MSEC;
        cl->max_delay_us = 4 * USEC_PER_MSEC;
        cl->max_sync_us = 20 * USEC_PER_MSEC;
        (void)cluster_await_leader(cl);
        for (int i = 0; i < 3; i++) {
            cluster_crash(cl, i);
        }
        cluster_run(cl, SEC);
        for (int i = 0; i < 3; i++) {
            cluster_run(cl, (int64_t)(seed * 7919 % 50) * USEC_PER_MSEC);
            cluster_start(cl, (int)((seed + (uint64_t)i) % 3));
        }
        waited_us = until_leader_us(cl, 2 * SEC);
        longest_us = waited_us > longest_us ? waited_us : longest_us;
        no_violation(cl);
        cluster_free(cl);
    }
    CU_ASSERT_TRUE(longest_us <= 250 * USEC_PER_MSEC);
}

void
suite_enroll(void)
{
#define TEST(name) check_add("enroll", #name, name)
    TEST(empty_disk_learns_and_votes_again);
    TEST(wiped_right_after_the_confirmation);
    TEST(silent_member_is_removed_and_comes_back);
    TEST(member_that_comes_back_has_time_to_answer);
    TEST(last_three_members_are_kept);
    TEST(losses_in_series);
    TEST(highest_rank_stays);
    TEST(leader_soon_after_all_lost_power);
#undef TEST
}
