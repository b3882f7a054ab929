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
    struct soak_plan a = soak_plan_draw(7, LENGTH_US);
    struct soak_plan b = soak_plan_draw(7, LENGTH_US);
    struct soak_plan c = soak_plan_draw(8, LENGTH_US);

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
        struct soak_plan p = soak_plan_draw(seed, LENGTH_US);
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
        struct soak_plan p = soak_plan_draw(seed, LENGTH_US);

        for (size_t i = 0; i < p.n; i++) {
            drawn[p.faults[i].kind] = true;
        }
        soak_plan_free(&p);
    }
    for (int i = 0; i < SOAK_FAULTS; i++) {
        CU_ASSERT_TRUE(drawn[i]);
    }
}

void
suite_soak(void)
{
#define TEST(name) check_add("soak", #name, name)
    TEST(seed_gives_the_same_plan);
    TEST(disks_are_lost_one_at_a_time);
    TEST(every_kind_is_drawn);
#undef TEST
}
