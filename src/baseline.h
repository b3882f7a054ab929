/**
 * DOC: baseline - policies to compare with, and what no policy can beat
 *
 * The policies run through the very same reducer.  The lower bound is proved
 * in docs/design/measures.md.
 */
#ifndef BM_BASELINE_H
#define BM_BASELINE_H

#include "vnet.h"

/* POLICY(NAME, text) */
#define POLICY_LIST(POLICY)                                                   \
    POLICY(HOLDER, "holder")   /* as it ships */                              \
    POLICY(SPARING, "sparing") /* as it ships, fewer messages preferred */    \
    POLICY(DIRECT, "direct")   /* two choices, in order of arrival */         \
    POLICY(RANDOM, "random")   /* random upstream, in order of arrival */

enum policy {
#define POLICY(NAME, text) POLICY_##NAME,
    POLICY_LIST(POLICY)
#undef POLICY
        POLICIES,
};

const char *policy_name(enum policy p);

/** policy_options() - how the reducer is constructed for it */
struct vnet_options policy_options(enum policy p);

/** struct bound_job - what the bound needs to know of a job */
struct bound_job {
    int64_t at_us;    /* submitted */
    int64_t work_us;  /* of all its tasks */
    int64_t ideal_us; /* of its response alone on an empty system */
};

/** baseline_mean_us() - no policy gives these jobs a lower mean response on
 * @slots slots; sorts @jobs by arrival */
double baseline_mean_us(struct bound_job *jobs, size_t n, uint32_t slots,
                        int64_t round_trip_us);

#endif
