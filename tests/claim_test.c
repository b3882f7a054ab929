/* Claims: at most one claimer for a key, whatever happens to its voters. */
#include <stdio.h>
#include <string.h>

#include "check.h"
#include "claim.h"
#include "entry_net.h"

enum {
    SCHEDULES = 150, /* random ones; each a seed */
    KEYS = 12,       /* in one of them */
    VOTERS = 3,      /* nodes 0 to 2, in zone z0 */
    NODE_C = 3,
    NODE_D = 4,
};

#define MSEC USEC_PER_MSEC
#define SEC USEC_PER_SEC

/* Which claim messages the network swallows now. */
static bool cut[ENET_NODES_MAX][ENET_NODES_MAX];

static enum enet_delivery
claims_cut(struct enet *n, int from, int to, const struct msg *m)
{
    (void)n;
    return m->kind == MSG_CLAIM && cut[from][to] ? ENET_DROP : ENET_DELIVER;
}

/* Besides, whatever the first voter says to NODE_C gets lost. */
static bool deaf;

static enum enet_delivery
claims_cut_and_deaf(struct enet *n, int from, int to, const struct msg *m)
{
    if (deaf && from == 0 && to == NODE_C) {
        return ENET_DROP;
    }
    return claims_cut(n, from, to, m);
}

static enum enet_delivery
all_cut(struct enet *n, int from, int to, const struct msg *m)
{
    (void)n;
    (void)m;
    return cut[from][to] ? ENET_DROP : ENET_DELIVER;
}

static void
cut_none(void)
{
    memset(cut, 0, sizeof(cut));
}

static void
cut_all_but(int from, int to)
{
    for (int i = 0; i < ENET_NODES_MAX; i++) {
        cut[from][i] = i != to;
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
                             .filter = claims_cut};

    cut_none();
    return enet_new(&o);
}

static void
grant_of_restarted_voter(bool then_deaf)
{
    struct enet *n = two_zones();
    char key[KEY_TEXT_SIZE];
    uint64_t c;
    uint64_t d;

    enet_mint_key(n, "z0", 1, 0, key);
    cut_all_but(NODE_C, 0);
    c = enet_submit(n, NODE_C, key, 3, 11);
    enet_run(n, 70 * MSEC);
    CU_ASSERT_EQUAL(claims_count(n->nodes[0].e), 1);
    n->opts.filter = claims_cut_and_deaf;
    deaf = then_deaf;
    enet_restart(n, 0);
    enet_run(n, 10 * MSEC);
    CU_ASSERT_TRUE(claims_voter_ready(n->nodes[0].e, name_of("z0")));
    CU_ASSERT_EQUAL(claims_count(n->nodes[0].e), 0);
    cut[NODE_D][1] = true;
    d = enet_submit(n, NODE_D, key, 3, 11);
    enet_run(n, 60 * MSEC);
    CU_ASSERT_EQUAL(enet_count_starts(n, key, ENET_ALL_TASKS), 3);
    cut[NODE_C][1] = false;
    enet_run(n, 100 * MSEC);
    deaf = false;
    enet_run(n, SEC);
    CU_ASSERT_EQUAL(enet_count_starts(n, key, ENET_ALL_TASKS), 3);
    CU_ASSERT_TRUE(enet_answered_with(n, c, JOB_COMPLETE, REASON_COMPLETED));
    CU_ASSERT_TRUE(enet_answered_with(n, d, JOB_COMPLETE, REASON_COMPLETED));
    enet_free(n);
}

/* A submission reaches one voter, which grants it and then restarts empty and
 * takes over the claims of the other two.  The same submission reaches
 * another instance, which gets the restarted voter and a second one.  Now the
 * first instance reaches the third voter and has two grants as well.  Were
 * both counted, one camp plot would be given to two groups. */
static void
grant_of_restarted_voter_does_not_count(void)
{
    grant_of_restarted_voter(false);
}

/* The same, and the first instance hears nothing from the restarted voter
 * itself.  Only the third voter's reply can tell it of the restart. */
static void
restart_is_learnt_from_another_voter(void)
{
    grant_of_restarted_voter(true);
}

/* A voter restarts empty.  A caller whose answer was lost submits again, at
 * the very instance that restarted.  Had it not taken over the claims, it
 * would grant the key a second time together with the third voter. */
static void
restarted_voter_knows_live_claims(void)
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

/* Two of three voters restart, one right after the other: each lacks what the
 * other forgot, so between them the claim of a running job may be lost.  A
 * resubmission is refused until the window has passed; new keys go on. */
static void
two_voters_restart_at_once(void)
{
    struct enet *n = two_zones();
    char key[KEY_TEXT_SIZE];
    char other[KEY_TEXT_SIZE];
    uint64_t again;
    uint64_t bare;
    uint64_t fresh;

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
    fresh = enet_submit(n, NODE_D, other, 1, 13);
    enet_run(n, SEC);
    CU_ASSERT_EQUAL(enet_count_starts(n, key, ENET_ALL_TASKS), 2);
    CU_ASSERT_TRUE(
        enet_answered_with(n, again, JOB_COMPLETE, REASON_COMPLETED) ||
        enet_refused_with(n, again, PROBLEM_NO_CLAIM));
    CU_ASSERT_TRUE(
        enet_answered_with(n, bare, JOB_COMPLETE, REASON_COMPLETED) ||
        enet_refused_with(n, bare, PROBLEM_NO_CLAIM));
    CU_ASSERT_TRUE(
        enet_answered_with(n, fresh, JOB_COMPLETE, REASON_COMPLETED));
    enet_run(n, 615 * SEC);
    CU_ASSERT_TRUE(claims_voter_ready(n->nodes[0].e, name_of("z0")));
    enet_free(n);
}

/* The same submission arrives at three instances in the same instant, so each
 * of three voters may grant it to another one.  If nobody yielded, all three
 * callers would be refused; if two won, the job would run twice. */
static void
split_votes_are_settled(void)
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

/* One voter is dead, and two instances each hold the vote of one of the
 * others.  Neither can get a majority until one gives its vote back. */
static void
split_votes_with_a_dead_voter(void)
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

/* A zone is cut off and one of its instances dies: two voters are left and
 * go on.  With one left no key of the zone can be claimed, and callers hear
 * so at once instead of at their deadline. */
static void
cut_off_zone_goes_on(void)
{
    struct enet *n = two_zones();
    char key[KEY_TEXT_SIZE];
    uint64_t with_two;
    uint64_t with_one;

    n->opts.filter = all_cut;
    for (int i = 0; i < n->n_nodes; i++) {
        for (int j = 0; j < n->n_nodes; j++) {
            cut[i][j] = i / VOTERS != j / VOTERS;
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

/* A claim and the release that follows it overtake one another, or arrive
 * twice.  A record left behind would block the key for the whole window. */
static void
released_keys_can_be_claimed_again(void)
{
    struct enet *n = two_zones();
    char key[KEY_TEXT_SIZE];
    uint64_t first;
    uint64_t second;

    enet_mint_key(n, "z0", 1, 0, key);
    cut_all_but(NODE_C, 0);
    first = enet_submit(n, NODE_C, key, 2, 11);
    enet_run(n, SEC);
    CU_ASSERT_TRUE(enet_refused_with(n, first, PROBLEM_NO_CLAIM));
    CU_ASSERT_EQUAL(claims_count(n->nodes[0].e), 0);
    cut_none();
    second = enet_submit(n, NODE_D, key, 2, 11);
    enet_run(n, SEC);
    CU_ASSERT_TRUE(
        enet_answered_with(n, second, JOB_COMPLETE, REASON_COMPLETED));
    enet_free(n);
}

/* A claim arrives at a voter long after its claimer gave up, when no release
 * will follow any more.  The claimer gives the unexpected grant back; else the
 * vote would be lost to everybody for the whole window. */
static void
late_grants_are_given_back(void)
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

/* The release of a lost attempt overtakes nothing and arrives last, after the
 * claimer has won the key with another attempt. */
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

/* The network brings a grant twice, the second time after the claim was won.
 * Were it taken for a grant of an attempt that is over, its release would
 * take away a vote that the running job stands on. */
static void
doubled_grants_keep_the_claim(void)
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

/* ---- random schedules ---- */

static int
random_claimer(struct enet *n)
{
    for (;;) {
        int i = (int)enet_random(n, (uint64_t)n->n_nodes);

        if (n->nodes[i].e != NULL && !n->nodes[i].is_paused) {
            return i;
        }
    }
}

/* Pauses an instance for up to four seconds. */
static void
random_pause(struct enet *n)
{
    int node = random_claimer(n);

    enet_pause(n, node, true);
    enet_run(n, (int64_t)enet_random(n, 4000) * MSEC);
    enet_pause(n, node, false);
}

/* Zones and instances in each: a zone of two borrows its third voter. */
static const struct {
    int zones;
    int per_zone;
} shapes[] = {{2, 3}, {2, 3}, {3, 2}, {2, 1}, {1, 4}, {1, 2}};

static void
random_event(struct enet *n, char keys[KEYS][KEY_TEXT_SIZE])
{
    uint64_t roll = enet_random(n, 100);
    int number = (int)enet_random(n, KEYS);

    if (roll < 60) {
        (void)enet_submit(n, random_claimer(n), keys[number], 1, 11);
    }
    else if (roll < 70) {
        (void)enet_cancel(n, random_claimer(n), keys[number]);
    }
    else if (roll < 85) {
        enet_restart(n, random_claimer(n) % VOTERS);
    }
    else if (roll < 88) {
        random_pause(n);
    }
    else {
        enet_run(n, (int64_t)enet_random(n, 200) * MSEC);
    }
}

/* Voters restart empty one after the other, messages are lost, doubled and
 * overtaken, callers submit the same keys again and again everywhere.  Each
 * task may be started once and each request answered once. */
static void
random_schedule(uint64_t seed)
{
    size_t shape = seed % (sizeof(shapes) / sizeof(shapes[0]));
    struct enet_options o = {.zones = shapes[shape].zones,
                             .per_zone = shapes[shape].per_zone,
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
    check_add("claim", "restart_is_learnt_from_another_voter",
              restart_is_learnt_from_another_voter);
    check_add("claim", "late_grants_are_given_back",
              late_grants_are_given_back);
    check_add("claim", "old_releases_are_ignored", old_releases_are_ignored);
    check_add("claim", "restarted_voter_knows_live_claims",
              restarted_voter_knows_live_claims);
    check_add("claim", "two_voters_restart_at_once",
              two_voters_restart_at_once);
    check_add("claim", "split_votes_are_settled", split_votes_are_settled);
    check_add("claim", "split_votes_with_a_dead_voter",
              split_votes_with_a_dead_voter);
    check_add("claim", "cut_off_zone_goes_on", cut_off_zone_goes_on);
    check_add("claim", "released_keys_can_be_claimed_again",
              released_keys_can_be_claimed_again);
    check_add("claim", "doubled_grants_keep_the_claim",
              doubled_grants_keep_the_claim);
    check_add("claim", "random_schedules", random_schedules);
}
