/**
 * DOC: scenario - a short run that takes every path once
 *
 * Submissions, resubmissions while the first runs and after its answer, at
 * the same zone and another, cancels before and after the submission, a job
 * that fits nowhere, one that queues, one past its deadline, publications, an
 * upstream that leaves, a planned stop with hand-over; long after all that,
 * one more job at each instance, which must complete.
 */
#ifndef BM_SCENARIO_H
#define BM_SCENARIO_H

#include "vnet.h"

#define SCENARIO_BEGIN_US (200 * USEC_PER_MSEC)
#define SCENARIO_END_US (7 * USEC_PER_SEC)

/** enum scenario_code - codes of HOP_SCRIPT; call is whom it is about */
enum scenario_code {
    SCENARIO_PUBLISH,
    SCENARIO_LEAVE,
    SCENARIO_INSTANCE_STOP,
    SCENARIO_INSTANCE_BACK,
    SCENARIO_CONTROL_STOP,
    SCENARIO_CONTROL_BACK,
    SCENARIO_UPSTREAM_BACK,
};

/** scenario_begin() - @mutant is the wrong decision the reducers make on
 * purpose, -1 for none */
struct vnet *scenario_begin(uint64_t seed, int mutant);

/** scenario_run() - to its end */
void scenario_run(struct vnet *n);

#endif
