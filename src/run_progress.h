/**
 * DOC: run_progress - run times from the progress that polls report
 *
 * The load: 3 in 100 tasks last 7 times as long as expected, and run times of
 * jobs differ by 40 %.  Their progress shows this while they run.
 */
#ifndef BM_RUN_PROGRESS_H
#define BM_RUN_PROGRESS_H

#include <stdint.h>

/** run_progress_full_us() - time from sending the start of a run to learning
 * of its end, where an answer said after @passed_us that it is @percent done
 * and
 * @latency_us of that passed on the way; @expected_us while the progress shows
 * too little */
int64_t run_progress_full_us(int64_t expected_us, int64_t passed_us,
                             int64_t latency_us, uint32_t percent);

#endif
