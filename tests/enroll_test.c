/* Automatic membership of control members, and ranked publications. */
#include <stdio.h>
#include <string.h>
#include <xxhash.h>

#include "check.h"
#include "cluster.h"

#define SEC USEC_PER_SEC
#define MSEC USEC_PER_MSEC

/* A cluster with automatic membership, see enroll.c. */
static struct cluster *
new_enroll_cluster(int n, uint64_t seed)
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
is_voter(const struct cluster *cl, int i)
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
assert_no_violation(const struct cluster *cl)
{
    if (cl->violations > 0) {
        (void)fprintf(stderr, "enroll: %s\n", cl->first_violation);
    }
    CU_ASSERT_EQUAL(cl->violations, 0);
}

/* Guards against a member that stays without a vote, so that the next loss
 * would stop all changes: it came back at its address with an empty disk, and
 * no operator intervenes. */
static void
empty_disk_catches_up_and_votes_again(void)
{
    struct cluster *cl = new_enroll_cluster(3, 5);
    int wiped = (cluster_await_leader(cl) + 1) % 3;

    publish(cl, 1);
    cluster_crash(cl, wiped);
    cluster_wipe(cl, wiped);
    publish(cl, 2);
    cluster_start(cl, wiped);
    cluster_run(cl, 3 * SEC);
    CU_ASSERT_TRUE(is_voter(cl, wiped));
    CU_ASSERT_EQUAL(control_view(cl->nodes[wiped].control).version, 2);
    cluster_crash(cl, (wiped + 1) % 3);
    publish(cl, 3);
    assert_no_violation(cl);
    cluster_free(cl);
}

/* Guards against the loss of a confirmed change: a member that confirmed it
 * loses its disk right after, while a member without the change comes back.
 * These two are a majority by name, but must not elect a leader. */
static void
wiped_right_after_the_confirmation(void)
{
    for (uint64_t seed = 20; seed < 30; seed++) {
        struct cluster *cl = new_enroll_cluster(3, seed);
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
        CU_ASSERT_TRUE(is_voter(cl, leader));
        publish(cl, 3);
        CU_ASSERT_EQUAL(control_view(cl->nodes[behind].control).version, 3);
        assert_no_violation(cl);
        cluster_free(cl);
    }
}

/* Guards against a dead member that counts as a voter forever: it is removed
 * while three other voters are up, and added again when it comes back. */
static void
silent_member_is_removed_and_comes_back(void)
{
    struct cluster *cl = new_enroll_cluster(4, 7);
    int down = (cluster_await_leader(cl) + 1) % 4;

    publish(cl, 1);
    cluster_crash(cl, down);
    cluster_run(cl, 6 * SEC);
    CU_ASSERT_EQUAL(
        control_fsm(cl->nodes[cluster_leader(cl)].control)->members.n_members,
        3);
    publish(cl, 2);
    cluster_start(cl, down);
    cluster_run(cl, 4 * SEC);
    CU_ASSERT_TRUE(is_voter(cl, down));
    CU_ASSERT_EQUAL(control_view(cl->nodes[down].control).version, 2);
    assert_no_violation(cl);
    cluster_free(cl);
}

static size_t
count_members(const struct cluster *cl)
{
    const struct control *leader = cl->nodes[cluster_leader(cl)].control;

    return control_fsm(leader)->members.n_members;
}

/* Guards against a returning member that is removed again at once, each time,
 * because its first reply takes longer than the change that added it.  Without
 * its vote, a loss of two other disks leaves no majority. */
static void
returning_member_is_not_removed_before_its_reply(void)
{
    struct cluster *cl = new_enroll_cluster(4, 7);
    int removed = (cluster_await_leader(cl) + 1) % 4;

    publish(cl, 1);
    cl->nodes[removed].isolated = true;
    cluster_run(cl, 6 * SEC);
    CU_ASSERT_EQUAL(count_members(cl), 3);
    cl->nodes[removed].isolated = false;
    cl->nodes[removed].drops_from = cluster_leader(cl);
    for (int i = 0; i < 200 && count_members(cl) < 4; i++) {
        cluster_run(cl, 10 * MSEC);
    }
    for (int i = 0; i < 100; i++) {
        CU_ASSERT_EQUAL(count_members(cl), 4);
        cluster_run(cl, 10 * MSEC);
    }
    cl->nodes[removed].drops_from = CLUSTER_NODES_MAX;
    cluster_run(cl, 4 * SEC);
    CU_ASSERT_TRUE(is_voter(cl, removed));
    assert_no_violation(cl);
    cluster_free(cl);
}

/* Guards against the removal of a silent third member while two voters are up:
 * the next loss would leave one of two voters, which is no majority. */
static void
last_three_members_are_kept(void)
{
    struct cluster *cl = new_enroll_cluster(3, 9);
    int down = (cluster_await_leader(cl) + 1) % 3;

    cluster_crash(cl, down);
    cluster_run(cl, 10 * SEC);
    CU_ASSERT_EQUAL(
        control_fsm(cl->nodes[cluster_leader(cl)].control)->members.n_members,
        3);
    assert_no_violation(cl);
    cluster_free(cl);
}

/* Guards against lost changes and lost votes under random faults by seed:
 * crashes, lost disks and partitions while changes are published. */
static void
random_losses(void)
{
    for (uint64_t seed = 100; seed < 130; seed++) {
        struct cluster *cl = new_enroll_cluster(4, seed);
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
            CU_ASSERT_TRUE(is_voter(cl, i));
        }
        assert_no_violation(cl);
        cluster_free(cl);
    }
}

/* Ranked publications */

static struct rec_publish
make_ranked(uint64_t rank, const char *text)
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
    struct rec_publish p = make_ranked(rank, text);
    struct fsm_outcome o = fsm_publish(f, f->version + 2, 1, &p);

    blob_unref(p.request_text);
    blob_unref(p.summary);
    blob_unref(p.middle);
    return o;
}

/* Guards against a lower rank that replaces a higher one: operators send whole
 * configurations with ranks, again after lost answers, late, or concurrently.
 */
static void
highest_rank_wins(void)
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
wait_for_leader_us(struct cluster *cl, int64_t timeout_us)
{
    int64_t step_us = 5 * USEC_PER_MSEC;
    int64_t waited_us = 0;

    while (cluster_leader(cl) < 0 && waited_us < timeout_us) {
        cluster_run(cl, step_us);
        waited_us += step_us;
    }
    return waited_us;
}

/* Guards against a slow first election after a power loss of the whole region:
 * all members start within a tenth of a second, and if two campaign together
 * neither wins.  Without a leader brokers get no configuration and refuse all
 * callers. */
static void
leader_soon_after_region_power_loss(void)
{
    int64_t longest_us = 0;

    for (uint64_t seed = 1; seed <= 100; seed++) {
        struct cluster *cl = new_enroll_cluster(3, seed);
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
        waited_us = wait_for_leader_us(cl, 2 * SEC);
        longest_us = waited_us > longest_us ? waited_us : longest_us;
        assert_no_violation(cl);
        cluster_free(cl);
    }
    CU_ASSERT_TRUE(longest_us <= 250 * USEC_PER_MSEC);
}

void
suite_enroll(void)
{
#define TEST(name) check_add("enroll", #name, name)
    TEST(empty_disk_catches_up_and_votes_again);
    TEST(wiped_right_after_the_confirmation);
    TEST(silent_member_is_removed_and_comes_back);
    TEST(returning_member_is_not_removed_before_its_reply);
    TEST(last_three_members_are_kept);
    TEST(random_losses);
    TEST(highest_rank_wins);
    TEST(leader_soon_after_region_power_loss);
#undef TEST
}
