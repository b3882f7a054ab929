/* The plan of the fault soak. */
#include <string.h>

#include "base.h"
#include "check.h"
#include "plan.h"

#define LENGTH_US (120 * USEC_PER_SEC)
#define WIPE_GAP_US (15 * USEC_PER_SEC)

/* Guards against a seed that failed and can't be played again. */
static void
seed_gives_the_same_plan(void)
{
    struct soak_plan a = soak_plan_draw(7, LENGTH_US, false);
    struct soak_plan b = soak_plan_draw(7, LENGTH_US, false);
    struct soak_plan c = soak_plan_draw(8, LENGTH_US, false);

    CU_ASSERT_TRUE(a.n > 0);
    CU_ASSERT_EQUAL_FATAL(a.n, b.n);
    for (size_t i = 0; i < a.n; i++) {
        CU_ASSERT_EQUAL(a.faults[i].at_us, b.faults[i].at_us);
        CU_ASSERT_EQUAL(a.faults[i].kind, b.faults[i].kind);
        CU_ASSERT_EQUAL(a.faults[i].for_us, b.faults[i].for_us);
        CU_ASSERT_EQUAL(a.faults[i].draw, b.faults[i].draw);
        CU_ASSERT_EQUAL(a.faults[i].way, b.faults[i].way);
    }
    CU_ASSERT_TRUE(a.n != c.n || a.faults[0].draw != c.faults[0].draw);
    soak_plan_free(&a);
    soak_plan_free(&b);
    soak_plan_free(&c);
}

/* Guards against findings that are the plan's own: two disks lost at once are
 * more than the members bear. */
static void
disks_are_lost_one_at_a_time(void)
{
    for (uint64_t seed = 1; seed <= 100; seed++) {
        struct soak_plan p = soak_plan_draw(seed, LENGTH_US, false);
        int64_t last_us = -WIPE_GAP_US;

        for (size_t i = 0; i < p.n; i++) {
            if (p.faults[i].kind == SOAK_WIPE_MEMBER) {
                CU_ASSERT_TRUE(p.faults[i].at_us - last_us >= WIPE_GAP_US);
                last_us = p.faults[i].at_us;
            }
        }
        soak_plan_free(&p);
    }
}

/* Guards against a kind of fault that is listed and never injected. */
static void
every_kind_is_drawn(void)
{
    bool drawn[SOAK_FAULTS] = {false};

    for (uint64_t seed = 1; seed <= 20; seed++) {
        struct soak_plan p = soak_plan_draw(seed, LENGTH_US, true);

        soak_plan_add_evacuations(&p, seed, LENGTH_US);
        for (size_t i = 0; i < p.n; i++) {
            drawn[p.faults[i].kind] = true;
        }
        soak_plan_free(&p);
    }
    for (int i = 0; i < SOAK_FAULTS; i++) {
        CU_ASSERT_TRUE(drawn[i]);
    }
}

/* Guards against a listed seed that stands for other faults than when it
 * failed. */
static void
listed_seed_keeps_its_plan(void)
{
    struct soak_plan p = soak_plan_draw(100, 95 * USEC_PER_SEC, false);
    const struct soak_fault *last;

    CU_ASSERT_EQUAL_FATAL(p.n, 53);
    last = &p.faults[p.n - 1];
    CU_ASSERT_EQUAL(last->at_us, 94831107);
    CU_ASSERT_EQUAL(last->kind, SOAK_RESET_PROCESS);
    CU_ASSERT_EQUAL(last->for_us, 602746);
    CU_ASSERT_EQUAL(last->draw, UINT64_C(14067124606587015474));
    CU_ASSERT_EQUAL(last->way, 0);
    soak_plan_free(&p);
}

static bool
is_of_paths(enum soak_fault_kind kind)
{
    return kind >= SOAK_CUT_PATHS && kind <= SOAK_STALL_PATHS;
}

static bool
is_of_taker(enum soak_fault_kind kind)
{
    return kind >= SOAK_KILL_TAKER && kind <= SOAK_CUT_TAKER;
}

static const struct soak_fault *
other_of_pair(const struct soak_plan *p, const struct soak_fault *f)
{
    for (size_t i = 0; i < p->n; i++) {
        if (p->faults[i].draw == f->draw && is_of_taker(p->faults[i].kind)) {
            return &p->faults[i];
        }
    }
    return NULL;
}

/* Guards against a soak that never has a taker lost while the paths to its
 * runner's upstreams are bad, and so can't see two lives of a job overlap. */
static void
paths_and_taker_are_struck_together(void)
{
    for (uint64_t seed = 1; seed <= 20; seed++) {
        struct soak_plan p = soak_plan_draw(seed, LENGTH_US, true);
        size_t pairs = 0;

        for (size_t i = 0; i < p.n; i++) {
            const struct soak_fault *f = &p.faults[i];
            const struct soak_fault *taker;

            CU_ASSERT_TRUE(i == 0 || f->at_us >= p.faults[i - 1].at_us);
            if (!is_of_paths(f->kind)) {
                continue;
            }
            taker = other_of_pair(&p, f);
            CU_ASSERT_PTR_NOT_NULL(taker);
            if (taker == NULL) {
                continue;
            }
            CU_ASSERT_TRUE(taker->at_us >= f->at_us - PAIR_US);
            CU_ASSERT_TRUE(taker->at_us <= f->at_us + PAIR_US);
            pairs++;
        }
        CU_ASSERT_TRUE(pairs >= 120 / 4);
        soak_plan_free(&p);
    }
}

/* Guards against pairs that change what a seed means without them. */
static void
pairs_leave_the_other_faults(void)
{
    struct soak_plan without = soak_plan_draw(7, LENGTH_US, false);
    struct soak_plan with = soak_plan_draw(7, LENGTH_US, true);
    size_t at = 0;

    for (size_t i = 0; i < with.n; i++) {
        const struct soak_fault *f = &with.faults[i];

        if (is_of_paths(f->kind) || is_of_taker(f->kind)) {
            continue;
        }
        CU_ASSERT_TRUE_FATAL(at < without.n);
        CU_ASSERT_EQUAL(f->at_us, without.faults[at].at_us);
        CU_ASSERT_EQUAL(f->draw, without.faults[at].draw);
        at++;
    }
    CU_ASSERT_EQUAL(at, without.n);
    soak_plan_free(&without);
    soak_plan_free(&with);
}

void
suite_soak(void)
{
#define TEST(name) check_add("soak", #name, name)
    TEST(seed_gives_the_same_plan);
    TEST(disks_are_lost_one_at_a_time);
    TEST(every_kind_is_drawn);
    TEST(listed_seed_keeps_its_plan);
    TEST(paths_and_taker_are_struck_together);
    TEST(pairs_leave_the_other_faults);
#undef TEST
}
