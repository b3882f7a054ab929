/**
 * DOC: leasematrix - every fault at every step of brokers and upstreams
 *
 * What matrix is for entry instances, for brokers and upstreams under leases:
 * a run without faults is traced, each hop is a step, and a cell is one run
 * with a fault at a step (or two).  All cells are run once more while a zone
 * is evacuated, and with brokers that declare unlike capacities.  Afterwards
 * what upstreams and callers saw must show every promise kept, and a job
 * handed in then must complete.  The wrong decisions of BROKER_BREAK_LIST
 * prove it: some cell must notice each.
 */
#ifndef BM_LEASEMATRIX_H
#define BM_LEASEMATRIX_H

#include <stdio.h>

#include "vlease.h"

/* LEASE_FAULT(NAME, whom it needs) */
/* clang-format off */
#define LEASE_FAULT_LIST(LEASE_FAULT)                                         \
    LEASE_FAULT(LOST, HOP)                                                    \
    LEASE_FAULT(LATE, HOP)                                                    \
    LEASE_FAULT(POWER, HOP) /* all brokers and registries lose it */          \
    LEASE_FAULT(KILL_SENDER, SENDER)                                          \
    LEASE_FAULT(KILL_RECEIVER, RECEIVER)                                      \
    LEASE_FAULT(PAUSE_SENDER, SENDER)                                         \
    LEASE_FAULT(PAUSE_RECEIVER, RECEIVER)                                     \
    LEASE_FAULT(STOP_SENDER, SENDER)                                          \
    LEASE_FAULT(STOP_RECEIVER, RECEIVER)                                      \
    LEASE_FAULT(CUT_SENDER, SENDER) /* off from processes, not upstreams */   \
    LEASE_FAULT(CUT_RECEIVER, RECEIVER)                                       \
    LEASE_FAULT(UPSTREAM_DEAD, UPSTREAM)                                      \
    LEASE_FAULT(UPSTREAM_CUT, UPSTREAM)                                       \
    LEASE_FAULT(UPSTREAM_MUTE, UPSTREAM)                                      \
    LEASE_FAULT(UPSTREAM_HANGS, UPSTREAM)                                     \
    LEASE_FAULT(UPSTREAM_FAILS, UPSTREAM)                                     \
    LEASE_FAULT(UPSTREAM_DELAYS, UPSTREAM)                                    \
    LEASE_FAULT(UPSTREAM_LEAVING, UPSTREAM)                                   \
    LEASE_FAULT(UPSTREAM_REBORN, UPSTREAM)                                    \
    /* The rest only where callers come back anywhere. */                     \
    LEASE_FAULT(MACHINE_SENDER, SENDER) /* lost without a reset */            \
    LEASE_FAULT(MACHINE_RECEIVER, RECEIVER)                                   \
    LEASE_FAULT(STOPS_LOST, HOP) /* all to upstreams, for a while */
/* clang-format on */

enum lease_fault {
#define LEASE_FAULT(NAME, need) LEASE_FAULT_##NAME,
    LEASE_FAULT_LIST(LEASE_FAULT)
#undef LEASE_FAULT
        LEASE_FAULTS,
    LEASE_FAULTS_SAME_ZONE = LEASE_FAULT_MACHINE_SENDER,
};

/**
 * struct leasematrix_options - how much of it to run
 * @seed: of the scenario and of the samples
 * @per_label: steps with the same label that are tried; 0 is all
 * @pairs: cells with two faults, sampled
 * @threads: that run cells
 * @breaks: also prove it with the wrong decisions
 * @anywhere: callers come back at any broker of the region, not of the zone;
 *            all cells are run once more without claims of jobs, since these
 *            and the leases of jobs prevent the same overlaps
 */
struct leasematrix_options {
    uint64_t seed;
    uint32_t per_label;
    uint32_t pairs;
    uint32_t threads;
    bool breaks;
    bool anywhere;
};

struct leasematrix_result {
    uint64_t cells;
    uint64_t failed;
    uint32_t breaks;
    uint32_t caught;
};

/** leasematrix_run() - runs it; cells that fail and wrong decisions that none
 * notices are printed to @out */
struct leasematrix_result leasematrix_run(const struct leasematrix_options *o,
                                          FILE *out);

/** leasematrix_cell() - repeats the cell "STEP:FAULT[,STEP:FAULT]", after
 * "anywhere/" where callers come back anywhere, "unclaimed/" where jobs are
 * not claimed, "evacuating/" where a zone is evacuated meanwhile and
 * "declaring/" where brokers declare capacities, with what was decided; false
 * when the text is no cell.  @ok gets whether it passed. */
bool leasematrix_cell(uint64_t seed, const char *text, FILE *out, bool *ok);

#endif
