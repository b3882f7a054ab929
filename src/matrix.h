/**
 * DOC: matrix - every fault at every step
 *
 * A run without faults is traced: each hop over the network is a step, and
 * steps with the same label (who says what to whom) stand for one another, so
 * a new message or effect is covered without being listed here.  A cell is
 * one run with one or two faults, each at a step; afterwards the records of
 * callers and upstreams must show every promise kept and the system must
 * answer again.  A mutant is a reducer with one decision made wrongly on
 * purpose (test builds only); the cells must catch each.
 */
#ifndef BM_MATRIX_H
#define BM_MATRIX_H

#include <stdio.h>

#include "vnet.h"

/* FAULT(NAME, whom it needs) */
/* clang-format off */
#define FAULT_LIST(FAULT)                                                     \
    FAULT(LOST, HOP)                                                          \
    FAULT(DOUBLED, HOP)                                                       \
    FAULT(LATE, HOP)                                                          \
    FAULT(REORDERED, HOP)                                                     \
    FAULT(SILENT, HOP)         /* the connection, from then on */             \
    FAULT(KILL_SENDER, SENDER)                                                \
    FAULT(KILL_RECEIVER, RECEIVER)                                            \
    FAULT(KILL_READER, RECEIVER) /* after reading, before any effect */       \
    FAULT(RESTART_SENDER, SENDER)                                             \
    FAULT(RESTART_RECEIVER, RECEIVER)                                         \
    FAULT(RESTART_READER, RECEIVER)                                           \
    FAULT(PAUSE_SENDER, SENDER)                                               \
    FAULT(PAUSE_RECEIVER, RECEIVER)                                           \
    FAULT(STOP_SENDER, SENDER)                                                \
    FAULT(STOP_RECEIVER, RECEIVER)                                            \
    FAULT(ZONE_CUT, HOP)                                                      \
    FAULT(CONTROL_RESTARTED, HOP) /* all control processes at once */         \
    FAULT(UPSTREAM_DEAD, HOP)                                                 \
    FAULT(UPSTREAM_HUNG, HOP)                                                 \
    FAULT(UPSTREAM_SLOW, HOP)                                                 \
    FAULT(UPSTREAM_FAILING, HOP)                                              \
    FAULT(UPSTREAM_LEAVING, HOP)                                              \
    FAULT(UPSTREAM_RESTARTED, HOP)                                            \
    FAULT(UPSTREAM_RENAMED, HOP) /* restarts under another name */
/* clang-format on */

enum fault {
#define FAULT(NAME, need) FAULT_##NAME,
    FAULT_LIST(FAULT)
#undef FAULT
        FAULTS,
};

/** struct matrix_fault - a fault at a step */
struct matrix_fault {
    uint64_t step; /* number of the hop */
    enum fault fault;
};

/**
 * struct matrix_options - how much of it to run
 * @seed: of the scenario and of the samples
 * @per_label: steps with the same label that are tried; 0 is all
 * @pairs: cells with two faults, sampled
 * @threads: that run cells
 * @mutants: also prove the checks with the mutants (test builds)
 */
struct matrix_options {
    uint64_t seed;
    uint32_t per_label;
    uint32_t pairs;
    uint32_t threads;
    bool mutants;
};

struct matrix_result {
    uint64_t cells;
    uint64_t passed;
    uint64_t failed;
    uint32_t mutants;
    uint32_t caught;
};

/** matrix_run() - runs it; failing cells are printed to @out, each with the
 * option that repeats it */
struct matrix_result matrix_run(const struct matrix_options *o, FILE *out);

/** matrix_steps() - prints the traced steps, each with its label */
void matrix_steps(uint64_t seed, FILE *out);

/** matrix_cell() - repeats the cell "STEP:FAULT[,STEP:FAULT]" under a mutant
 * (-1: none) and prints what was decided and what broke; false when the text
 * is no cell.  @ok gets whether it passed. */
bool matrix_cell(uint64_t seed, const char *text, int mutant, FILE *out,
                 bool *ok);

#endif
