/**
 * DOC: load_round - which brokers a load report goes to
 *
 * Load: with 300 instances a holder reports its load to some 120 brokers,
 * three times a second, and each report takes as much of the receiver's
 * processor time as a job.  Most of them sent it no job lately and need only a
 * rough picture: their own offers are counted until the next report, and after
 * the first one they get each report.
 *
 * Brokers that sent no job for LOAD_ROUND_RECENT_US get one report of several,
 * different ones in each round, and at least one in LOAD_ROUND_IDLE_US.  So a
 * broker of a zone with 32 holders gets a report from one of them every 31 ms
 * at least.  Without input or output.
 */
#ifndef BM_LOAD_ROUND_H
#define BM_LOAD_ROUND_H

#include "base.h"

/* With fewer brokers all get each report; the reports of a region of 50
 * brokers take little processor time. */
enum { LOAD_ROUND_BROKERS = 64 };

#define LOAD_ROUND_RECENT_US (1 * USEC_PER_SEC)
#define LOAD_ROUND_IDLE_US (1 * USEC_PER_SEC)

/**
 * struct load_round - one round of reports
 * @number: rises by one with each round
 * @interval_us: until the next round
 * @brokers: connected brokers
 */
struct load_round {
    uint64_t number;
    int64_t interval_us;
    size_t brokers;
};

/** load_round_includes() - whether a broker that last sent a job
 * @since_job_us ago gets the report; @hash is of its name */
bool load_round_includes(const struct load_round *r, uint64_t hash,
                         int64_t since_job_us);

#endif
