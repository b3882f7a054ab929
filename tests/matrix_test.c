#include <CUnit/CUnit.h>
#include <stdio.h>
#include <string.h>

#include "check.h"
#include "figures.h"
#include "matrix.h"

enum { SEED = 1, PAIRS = 300, THREADS = 4, LEAST_CELLS = 700 };

/*
 * Messages are lost, doubled, late or out of order, connections go silent,
 * processes die, pause, restart empty or stop, zones are cut off and upstreams
 * misbehave, at every step of every path, alone and two at a time.  A user
 * would notice a plot granted twice, an answer that never comes or is not
 * whole, or a refusal that is not true.
 */
static void
test_every_fault_at_every_step(void)
{
    struct matrix_options o = {SEED, 1, PAIRS, THREADS, true};
    struct matrix_result r = matrix_run(&o, stdout);

    printf("matrix: cells=%llu passed=%llu failed=%llu mutants=%u caught=%u\n",
           (unsigned long long)r.cells, (unsigned long long)r.passed,
           (unsigned long long)r.failed, r.mutants, r.caught);
    CU_ASSERT_TRUE(r.cells >= LEAST_CELLS);
    CU_ASSERT_EQUAL(r.failed, 0);
    CU_ASSERT_EQUAL(r.mutants, PROMISES);
    CU_ASSERT_EQUAL(r.caught, r.mutants);
}

/*
 * A bench whose figures change from run to run cannot hold a bound: a worse
 * policy would pass for a lucky run.
 */
static void
test_same_figures_twice(void)
{
    struct workload w;
    struct figures a;
    struct figures b;
    char path[256];

    (void)snprintf(path, sizeof(path), "%s/../bench/workloads/zone-cut.ini",
                   check_data_dir());
    CU_ASSERT_TRUE_FATAL(workload_read(path, &w));
    w.length_us = 12 * USEC_PER_SEC;
    a = figures_of(&w, POLICY_HOLDER);
    b = figures_of(&w, POLICY_HOLDER);
    CU_ASSERT_EQUAL(a.complete, b.complete);
    CU_ASSERT_EQUAL(memcmp(a.messages, b.messages, sizeof(a.messages)), 0);
    CU_ASSERT_EQUAL(a.ratio_mean, b.ratio_mean);
    CU_ASSERT_EQUAL(a.ratio_p99, b.ratio_p99);
    CU_ASSERT_TRUE(a.complete > 0);
}

/*
 * Two jobs of 100 ms on one slot, arriving together: whatever is done, one
 * waits for the other, so their mean response is at least 150 ms.
 */
static void
test_lower_bound(void)
{
    struct bound_job jobs[] = {{0, 100000, 100000}, {0, 100000, 100000}};
    struct bound_job alone[] = {{0, 400000, 300000}};

    CU_ASSERT_DOUBLE_EQUAL(baseline_mean_us(jobs, 2, 1, 0), 150000, 0.5);
    CU_ASSERT_DOUBLE_EQUAL(baseline_mean_us(jobs, 2, 2, 0), 100000, 0.5);
    CU_ASSERT_DOUBLE_EQUAL(baseline_mean_us(alone, 1, 100, 2000), 300000, 0.5);
}

void
suite_matrix(void)
{
    check_add("matrix", "every fault at every step",
              test_every_fault_at_every_step);
    check_add("matrix", "the same figures twice", test_same_figures_twice);
    check_add("matrix", "lower bound", test_lower_bound);
}
