#include <CUnit/CUnit.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "check.h"
#include "figures.h"
#include "leasematrix.h"
#include "matrix.h"

enum { SEED = 1, PAIRS = 300, THREADS = 4, LEAST_CELLS = 700 };
enum { LEASE_SEEDS = 2, LEASE_PAIRS = 800 };

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
    CU_ASSERT_EQUAL(r.mutants, MUTANTS);
    CU_ASSERT_EQUAL(r.caught, r.mutants);
}

/*
 * The same for brokers and upstreams under leases: messages, calls and answers
 * are lost or come after every lease has passed, brokers die, stand still,
 * stop or are cut off from the others but not from upstreams, and upstreams
 * die, hang, fail, leave or start anew.  A user would notice a task that runs
 * twice at one time, a refusal that is not true, or a zone that serves nothing
 * any more.
 */
static void
test_every_fault_under_leases(void)
{
    for (uint64_t seed = 1; seed <= LEASE_SEEDS; seed++) {
        struct leasematrix_options o = {seed,    2,    LEASE_PAIRS,
                                        THREADS, true, false};
        struct leasematrix_result r = leasematrix_run(&o, stdout);

        printf("lease matrix: cells=%llu failed=%llu mutants=%u caught=%u\n",
               (unsigned long long)r.cells, (unsigned long long)r.failed,
               r.breaks, r.caught);
        CU_ASSERT_TRUE(r.cells >= LEASE_PAIRS);
        CU_ASSERT_EQUAL(r.failed, 0);
        CU_ASSERT_EQUAL(r.breaks, BROKER_BREAKS_SAME_ZONE);
        CU_ASSERT_EQUAL(r.caught, r.breaks);
    }
}

/*
 * The same with callers that come back at any broker of the region, machines
 * that are lost without a reset, and stops that are lost for a while.  A user
 * would notice a task that runs twice at one time, at two runners.
 */
static void
test_every_fault_with_callers_anywhere(void)
{
    for (uint64_t seed = 1; seed <= LEASE_SEEDS; seed++) {
        struct leasematrix_options o = {seed,    2,    LEASE_PAIRS,
                                        THREADS, true, true};
        struct leasematrix_result r = leasematrix_run(&o, stdout);

        printf("lease matrix, callers anywhere: cells=%llu failed=%llu "
               "mutants=%u caught=%u\n",
               (unsigned long long)r.cells, (unsigned long long)r.failed,
               r.breaks, r.caught);
        CU_ASSERT_TRUE(r.cells >= LEASE_PAIRS);
        CU_ASSERT_EQUAL(r.failed, 0);
        CU_ASSERT_EQUAL(r.breaks, BROKER_BREAKS_LEASES);
        CU_ASSERT_EQUAL(r.caught, r.breaks);
    }
}

/* Cells that failed once, and must not again. */
static const struct {
    uint64_t seed;
    const char *cell;
} lease_cells[] = {
    /* An upstream says that it leaves, and right after all power is lost.
     * What a registry remembered of it was that it takes work, and brokers
     * gave it some until it spoke again, seconds later. */
    {1, "1996:UPSTREAM_LEAVING,2391:POWER"},
    /* A broker is started by itself while all power is off. */
    {2, "1198:KILL_RECEIVER,2824:POWER"},
    /* An offer of before a pause arrives though both ends closed its
     * connection. */
    {1, "1581:LATE,1384:PAUSE_SENDER"},
    {1, "1749:LATE,1629:PAUSE_SENDER"},
};

static void
test_lease_cells_that_failed(void)
{
    size_t n = sizeof(lease_cells) / sizeof(lease_cells[0]);

    for (size_t i = 0; i < n; i++) {
        FILE *out = fopen("/dev/null", "w");
        bool ok = false;

        CU_ASSERT_PTR_NOT_NULL_FATAL(out);
        CU_ASSERT_TRUE(leasematrix_cell(lease_cells[i].seed,
                                        lease_cells[i].cell, out, &ok));
        CU_ASSERT_TRUE(ok);
        (void)fclose(out);
    }
}

/*
 * A caller submits under a bare key, believes the job lost and submits again
 * at another instance, which is paused just then and wakes when the voters
 * have forgotten the key.  The job ran long ago; if the sleeper took the
 * request that waited in it, the plot would be granted to a second group.
 * (Found by the matrix: seed 2, 308:PAUSE_RECEIVER,1063:PAUSE_RECEIVER.)
 */
static void
test_bare_key_waits_in_paused_instance(void)
{
    struct vnet_options o = vnet_options_default();
    struct vcall c = {.key = "plot-7",
                      .at_us = 2 * USEC_PER_SEC,
                      .n_tasks = 1,
                      .patience_us = 200 * USEC_PER_SEC,
                      .deadline_us = 5 * USEC_PER_SEC};
    struct vnet *n;

    o.upstreams = 2;
    o.entry.claim_window_us = 24 * USEC_PER_SEC;
    n = vnet_new(&o);
    c.resubmit_us = c.at_us + 10 * USEC_PER_MSEC;
    c.tasks = calloc(1, sizeof(*c.tasks));
    if (c.tasks == NULL) {
        abort();
    }
    c.tasks[0].run_us = 100 * USEC_PER_MSEC;
    (void)vcaller_add(n, &c);
    vnet_run(n, c.at_us + 5 * USEC_PER_MSEC);
    for (uint32_t i = 1; i < n->n_instances; i++) {
        vnet_pause(n, i, 60 * USEC_PER_SEC);
    }
    vnet_run(n, 100 * USEC_PER_SEC);
    CU_ASSERT_EQUAL(n->n_starts, 1);
    CU_ASSERT_EQUAL(n->broken[PROMISE_START_ONCE], 0);
    CU_ASSERT_TRUE(vnet_call(n, 1)->settled);
    vnet_free(n);
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
    check_add("matrix", "every fault under leases",
              test_every_fault_under_leases);
    check_add("matrix", "every fault with callers anywhere",
              test_every_fault_with_callers_anywhere);
    check_add("matrix", "lease cells that failed",
              test_lease_cells_that_failed);
    check_add("matrix", "a bare key waits in a paused instance",
              test_bare_key_waits_in_paused_instance);
    check_add("matrix", "the same figures twice", test_same_figures_twice);
    check_add("matrix", "lower bound", test_lower_bound);
}
