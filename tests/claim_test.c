/* Claims: at most one claimer per key under restarts of voters, lost messages
 * and split votes. */
#include <stdio.h>
#include <string.h>

#include "check.h"
#include "claim.h"
#include "entry_net.h"

enum {
    SCHEDULES = 150, /* seeds of random_schedules */
    KEYS = 12,       /* in one schedule */
    VOTERS = 3,      /* nodes 0 to 2, in zone z0 */
    NODE_C = 3,
    NODE_D = 4,
};

#define MSEC USEC_PER_MSEC
#define SEC USEC_PER_SEC

/* Links on which messages are dropped, by sender and receiver. */
static bool drop_link[ENET_NODES_MAX][ENET_NODES_MAX];

static enum enet_delivery
drop_claims(struct enet *n, int from, int to, const struct msg *m)
{
    (void)n;
    return m->kind == MSG_CLAIM && drop_link[from][to] ? ENET_DROP
                                                       : ENET_DELIVER;
}

/* Also drop all messages from the first voter to NODE_C. */
static bool drop_voter_to_c;

static enum enet_delivery
drop_claims_and_voter_to_c(struct enet *n, int from, int to,
                           const struct msg *m)
{
    if (drop_voter_to_c && from == 0 && to == NODE_C) {
        return ENET_DROP;
    }
    return drop_claims(n, from, to, m);
}

static enum enet_delivery
drop_all(struct enet *n, int from, int to, const struct msg *m)
{
    (void)n;
    (void)m;
    return drop_link[from][to] ? ENET_DROP : ENET_DELIVER;
}

static void
restore_links(void)
{
    memset(drop_link, 0, sizeof(drop_link));
}

static void
drop_links_except(int from, int to)
{
    for (int i = 0; i < ENET_NODES_MAX; i++) {
        drop_link[from][i] = i != to;
    }
}

static struct enet *
two_zones(void)
{
    struct enet_options o = {.zones = 2,
                             .per_zone = VOTERS,
                             .seed = 7,
                             .new_region = true,
                             .run_us = 100 * MSEC,
                             .filter = drop_claims};

    restore_links();
    return enet_new(&o);
}

static void
grant_of_restarted_voter(bool then_drop_replies)
{
    struct enet *n = two_zones();
    char key[KEY_TEXT_SIZE];
    uint64_t c;
    uint64_t d;

    enet_mint_key(n, "z0", 1, 0, key);
    drop_links_except(NODE_C, 0);
    c = enet_submit(n, NODE_C, key, 3, 11);
    enet_run(n, 70 * MSEC);
    CU_ASSERT_EQUAL(claims_count(n->nodes[0].e), 1);
    n->opts.filter = drop_claims_and_voter_to_c;
    drop_voter_to_c = then_drop_replies;
    enet_restart(n, 0);
    enet_run(n, 10 * MSEC);
    CU_ASSERT_TRUE(claims_voter_ready(n->nodes[0].e, name_of("z0")));
    CU_ASSERT_EQUAL(claims_count(n->nodes[0].e), 0);
    drop_link[NODE_D][1] = true;
    d = enet_submit(n, NODE_D, key, 3, 11);
    enet_run(n, 60 * MSEC);
    CU_ASSERT_EQUAL(enet_count_starts(n, key, ENET_ALL_TASKS), 3);
    drop_link[NODE_C][1] = false;
    enet_run(n, 100 * MSEC);
    drop_voter_to_c = false;
    enet_run(n, SEC);
    CU_ASSERT_EQUAL(enet_count_starts(n, key, ENET_ALL_TASKS), 3);
    CU_ASSERT_TRUE(enet_answered_with(n, c, JOB_COMPLETE, REASON_COMPLETED));
    CU_ASSERT_TRUE(enet_answered_with(n, d, JOB_COMPLETE, REASON_COMPLETED));
    enet_free(n);
}

/* Guards against two claimers that both reach a majority.  A voter grants a
 * claim of NODE_C, restarts without records and copies the claims of the other
 * two.  NODE_D then claims the same key with the restarted voter and a second
 * one.  When NODE_C gets its second grant from another voter, the grant from
 * before the restart must not be counted. */
static void
grant_of_restarted_voter_does_not_count(void)
{
    grant_of_restarted_voter(false);
}

/* The same, but NODE_C gets no messages from the restarted voter, so it can
 * learn of the restart only from another voter's reply. */
static void
restart_is_reported_by_another_voter(void)
{
    grant_of_restarted_voter(true);
}

/* A voter restarts without records, and the job is resubmitted at that
 * instance.  If the voter had not copied the live claims, it would grant the
 * key a second time together with the third voter. */
static void
restarted_voter_copies_live_claims(void)
{
    struct enet *n = two_zones();
    char key[KEY_TEXT_SIZE];
    uint64_t again;

    enet_mint_key(n, "z0", 1, 0, key);
    (void)enet_submit(n, NODE_C, key, 2, 11);
    enet_run(n, 50 * MSEC);
    enet_restart(n, 0);
    enet_run(n, 20 * MSEC);
    CU_ASSERT_EQUAL(claims_count(n->nodes[0].e), 1);
    again = enet_submit(n, 0, key, 2, 11);
    enet_run(n, SEC);
    CU_ASSERT_TRUE(
        enet_answered_with(n, again, JOB_COMPLETE, REASON_COMPLETED));
    CU_ASSERT_EQUAL(enet_count_starts(n, key, ENET_ALL_TASKS), 2);
    enet_free(n);
}

/* Two of three voters restart at the same time and cannot copy complete
 * records from each other, so the claim of a running job may be lost.  Until
 * the claim window has passed, a resubmission may be refused but must not
 * start tasks again.  Keys issued after the restarts must be granted. */
static void
two_voters_restart_at_once(void)
{
    struct enet *n = two_zones();
    char key[KEY_TEXT_SIZE];
    char other[KEY_TEXT_SIZE];
    uint64_t again;
    uint64_t bare;
    uint64_t new_key;

    enet_mint_key(n, "z0", 1, 0, key);
    (void)enet_submit(n, NODE_C, key, 2, 11);
    enet_run(n, 50 * MSEC);
    enet_restart(n, 0);
    enet_restart(n, 1);
    enet_run(n, 11 * SEC);
    CU_ASSERT_FALSE(claims_voter_ready(n->nodes[0].e, name_of("z0")));
    again = enet_submit(n, NODE_D, key, 2, 11);
    bare = enet_submit(n, NODE_D, "bare-of-z0-2", 1, 12);
    enet_mint_key(n, "z0", 2, 0, other);
    new_key = enet_submit(n, NODE_D, other, 1, 13);
    enet_run(n, SEC);
    CU_ASSERT_EQUAL(enet_count_starts(n, key, ENET_ALL_TASKS), 2);
    CU_ASSERT_TRUE(
        enet_answered_with(n, again, JOB_COMPLETE, REASON_COMPLETED) ||
        enet_refused_with(n, again, PROBLEM_NO_CLAIM));
    CU_ASSERT_TRUE(
        enet_answered_with(n, bare, JOB_COMPLETE, REASON_COMPLETED) ||
        enet_refused_with(n, bare, PROBLEM_NO_CLAIM));
    CU_ASSERT_TRUE(
        enet_answered_with(n, new_key, JOB_COMPLETE, REASON_COMPLETED));
    enet_run(n, 615 * SEC);
    CU_ASSERT_TRUE(claims_voter_ready(n->nodes[0].e, name_of("z0")));
    enet_free(n);
}

/* The same submission arrives at three instances at the same time, so each of
 * the three voters may grant it to a different one.  If no claimer yielded,
 * all three callers would be refused; if two won, the job would run twice. */
static void
split_votes_are_resolved(void)
{
    struct enet *n = two_zones();

    for (int i = 0; i < 20; i++) {
        char key[KEY_TEXT_SIZE];
        uint64_t requests[VOTERS];

        enet_mint_key(n, "z0", i, 0, key);
        for (int j = 0; j < VOTERS; j++) {
            requests[j] = enet_submit(n, j, key, 2, 11);
        }
        enet_run(n, SEC);
        CU_ASSERT_EQUAL(enet_count_starts(n, key, ENET_ALL_TASKS), 2);
        for (int j = 0; j < VOTERS; j++) {
            CU_ASSERT_TRUE(enet_answered_with(n, requests[j], JOB_COMPLETE,
                                              REASON_COMPLETED));
        }
    }
    enet_free(n);
}

/* One voter is down, and two claimers have one of the remaining votes each.
 * Neither can reach a majority until the other releases its vote. */
static void
split_votes_with_a_voter_down(void)
{
    struct enet *n = two_zones();

    enet_kill(n, 2);
    enet_run(n, 3 * SEC);
    for (int i = 0; i < 10; i++) {
        char key[KEY_TEXT_SIZE];
        uint64_t a;
        uint64_t b;

        enet_mint_key(n, "z0", i, 0, key);
        a = enet_submit(n, 0, key, 2, 11);
        b = enet_submit(n, 1, key, 2, 11);
        enet_run(n, SEC);
        CU_ASSERT_EQUAL(enet_count_starts(n, key, ENET_ALL_TASKS), 2);
        CU_ASSERT_TRUE(
            enet_answered_with(n, a, JOB_COMPLETE, REASON_COMPLETED));
        CU_ASSERT_TRUE(
            enet_answered_with(n, b, JOB_COMPLETE, REASON_COMPLETED));
    }
    enet_free(n);
}

/* An isolated zone loses one of its instances and keeps claiming keys with the
 * other two voters.  With a single voter no key of the zone can be claimed,
 * and callers must be refused at once, not at their deadline. */
static void
isolated_zone_keeps_claiming(void)
{
    struct enet *n = two_zones();
    char key[KEY_TEXT_SIZE];
    uint64_t with_two;
    uint64_t with_one;

    n->opts.filter = drop_all;
    for (int i = 0; i < n->n_nodes; i++) {
        for (int j = 0; j < n->n_nodes; j++) {
            drop_link[i][j] = i / VOTERS != j / VOTERS;
        }
    }
    enet_kill(n, 2);
    enet_run(n, 3 * SEC);
    enet_mint_key(n, "z0", 1, 0, key);
    with_two = enet_submit(n, 0, key, 2, 11);
    enet_run(n, SEC);
    CU_ASSERT_TRUE(
        enet_answered_with(n, with_two, JOB_COMPLETE, REASON_COMPLETED));
    enet_kill(n, 1);
    enet_run(n, 3 * SEC);
    enet_mint_key(n, "z0", 2, 0, key);
    with_one = enet_submit(n, 0, key, 2, 11);
    enet_run(n, SEC);
    CU_ASSERT_TRUE(enet_refused_with(n, with_one, PROBLEM_NO_CLAIM));
    CU_ASSERT_TRUE(enet_answer(n, with_one)->problem.request_started_nothing);
    CU_ASSERT_TRUE(enet_answer(n, with_one)->problem.retry_after_us > 0);
    enet_free(n);
}

/* An attempt without a majority is released.  A record that remains at a voter
 * would block the key for the rest of the claim window. */
static void
released_keys_can_be_claimed_again(void)
{
    struct enet *n = two_zones();
    char key[KEY_TEXT_SIZE];
    uint64_t first;
    uint64_t second;

    enet_mint_key(n, "z0", 1, 0, key);
    drop_links_except(NODE_C, 0);
    first = enet_submit(n, NODE_C, key, 2, 11);
    enet_run(n, SEC);
    CU_ASSERT_TRUE(enet_refused_with(n, first, PROBLEM_NO_CLAIM));
    CU_ASSERT_EQUAL(claims_count(n->nodes[0].e), 0);
    restore_links();
    second = enet_submit(n, NODE_D, key, 2, 11);
    enet_run(n, SEC);
    CU_ASSERT_TRUE(
        enet_answered_with(n, second, JOB_COMPLETE, REASON_COMPLETED));
    enet_free(n);
}

/* A claim arrives at a voter after its claimer has sent the release.  The
 * claimer must release the unexpected grant, otherwise the record would block
 * the key for the rest of the claim window. */
static void
late_grants_are_released(void)
{
    struct enet *n = two_zones();
    struct msg late = {.kind = MSG_CLAIM};

    late.u.claim.key = key_id_of("late");
    late.u.claim.zone = name_of("z0");
    late.u.claim.digest = 11;
    late.u.claim.attempt = 4711;
    late.u.claim.incarnation = 1;
    enet_inject(n, n->nodes[NODE_C].name, 0, &late);
    CU_ASSERT_EQUAL(claims_count(n->nodes[0].e), 1);
    enet_run(n, 10 * MSEC);
    CU_ASSERT_EQUAL(claims_count(n->nodes[0].e), 0);
    enet_free(n);
}

/* The release of an earlier attempt arrives after the claimer has won the key
 * with a later attempt.  It must not remove the record. */
static void
old_releases_are_ignored(void)
{
    struct enet *n = two_zones();
    struct msg old = {.kind = MSG_CLAIM_RELEASE};
    char key[KEY_TEXT_SIZE];

    enet_mint_key(n, "z0", 1, 0, key);
    (void)enet_submit(n, 0, key, 2, 11);
    enet_run(n, 50 * MSEC);
    CU_ASSERT_EQUAL(claims_count(n->nodes[0].e), 1);
    old.u.claim_release.key = key_id_of(key);
    old.u.claim_release.zone = name_of("z0");
    old.u.claim_release.incarnation = 1;
    enet_inject(n, n->nodes[0].name, 0, &old);
    CU_ASSERT_EQUAL(claims_count(n->nodes[0].e), 1);
    enet_free(n);
}

/* A grant is delivered twice, the second time after the claim was won.  If it
 * were released like a late grant, the running job would lose the vote. */
static void
duplicate_grants_keep_the_claim(void)
{
    struct enet *n = two_zones();
    char key[KEY_TEXT_SIZE];
    size_t votes = 0;

    n->opts.duplicated_percent = 100;
    enet_mint_key(n, "z0", 1, 0, key);
    (void)enet_submit(n, NODE_C, key, 2, 11);
    enet_run(n, SEC);
    for (int i = 0; i < VOTERS; i++) {
        votes += claims_count(n->nodes[i].e);
    }
    CU_ASSERT_TRUE(votes >= 2);
    CU_ASSERT_EQUAL(enet_count_starts(n, key, ENET_ALL_TASKS), 2);
    enet_free(n);
}

/* Random schedules */

static int
random_running_node(struct enet *n)
{
    for (;;) {
        int i = (int)enet_random(n, (uint64_t)n->n_nodes);

        if (n->nodes[i].e != NULL && !n->nodes[i].is_paused) {
            return i;
        }
    }
}

/* Pauses an instance for less than four seconds. */
static void
random_pause(struct enet *n)
{
    int node = random_running_node(n);

    enet_pause(n, node, true);
    enet_run(n, (int64_t)enet_random(n, 4000) * MSEC);
    enet_pause(n, node, false);
}

/* Number of zones, and of instances in each; a zone with fewer than three
 * instances has voters in other zones. */
static const struct {
    int zones;
    int per_zone;
} layouts[] = {{2, 3}, {2, 3}, {3, 2}, {2, 1}, {1, 4}, {1, 2}};

static void
random_event(struct enet *n, char keys[KEYS][KEY_TEXT_SIZE])
{
    uint64_t roll = enet_random(n, 100);
    int number = (int)enet_random(n, KEYS);

    if (roll < 60) {
        (void)enet_submit(n, random_running_node(n), keys[number], 1, 11);
    }
    else if (roll < 70) {
        (void)enet_cancel(n, random_running_node(n), keys[number]);
    }
    else if (roll < 85) {
        enet_restart(n, random_running_node(n) % VOTERS);
    }
    else if (roll < 88) {
        random_pause(n);
    }
    else {
        enet_run(n, (int64_t)enet_random(n, 200) * MSEC);
    }
}

/* Voters restart without records, messages are lost, duplicated and reordered,
 * and the same keys are submitted repeatedly at all instances.  Each task may
 * be started at most once, and each request must be answered exactly once. */
static void
random_schedule(uint64_t seed)
{
    size_t layout = seed % (sizeof(layouts) / sizeof(layouts[0]));
    struct enet_options o = {.zones = layouts[layout].zones,
                             .per_zone = layouts[layout].per_zone,
                             .seed = seed,
                             .new_region = true,
                             .run_us = 20 * MSEC,
                             .lost_percent = 5,
                             .duplicated_percent = 5,
                             .delayed_percent = 10};
    struct enet *n = enet_new(&o);
    char keys[KEYS][KEY_TEXT_SIZE];

    for (int i = 0; i < KEYS; i++) {
        enet_mint_key(n, "z0", i, i % 2 == 0 ? 0 : 60 * SEC, keys[i]);
    }
    for (int i = 0; i < 60; i++) {
        random_event(n, keys);
        enet_run(n, (int64_t)enet_random(n, 20) * MSEC);
    }
    enet_run(n, 8 * SEC);
    if (enet_count_repeated_starts(n) + enet_count_repeated_answers(n) +
            enet_count_unanswered(n) !=
        0) {
        printf("seed %llu\n", (unsigned long long)seed);
    }
    CU_ASSERT_EQUAL(enet_count_repeated_starts(n), 0);
    CU_ASSERT_EQUAL(enet_count_repeated_answers(n), 0);
    CU_ASSERT_EQUAL(enet_count_unanswered(n), 0);
    enet_free(n);
}

static void
random_schedules(void)
{
    for (uint64_t seed = 1; seed <= SCHEDULES; seed++) {
        random_schedule(seed);
    }
}

void
suite_claim(void)
{
    check_add("claim", "grant_of_restarted_voter_does_not_count",
              grant_of_restarted_voter_does_not_count);
    check_add("claim", "restart_is_reported_by_another_voter",
              restart_is_reported_by_another_voter);
    check_add("claim", "late_grants_are_released", late_grants_are_released);
    check_add("claim", "old_releases_are_ignored", old_releases_are_ignored);
    check_add("claim", "restarted_voter_copies_live_claims",
              restarted_voter_copies_live_claims);
    check_add("claim", "two_voters_restart_at_once",
              two_voters_restart_at_once);
    check_add("claim", "split_votes_are_resolved", split_votes_are_resolved);
    check_add("claim", "split_votes_with_a_voter_down",
              split_votes_with_a_voter_down);
    check_add("claim", "isolated_zone_keeps_claiming",
              isolated_zone_keeps_claiming);
    check_add("claim", "released_keys_can_be_claimed_again",
              released_keys_can_be_claimed_again);
    check_add("claim", "duplicate_grants_keep_the_claim",
              duplicate_grants_keep_the_claim);
    check_add("claim", "random_schedules", random_schedules);
}
