/**
 * DOC: estimate - estimates run times from completed runs
 *
 * Declared run times are often far off, though sometimes by a steady factor.
 * So two predictions are kept, the mean run time and the declared run time
 * multiplied by the mean ratio, and the one with the smaller error is used.
 */
#ifndef BM_ESTIMATE_H
#define BM_ESTIMATE_H

#include <stdint.h>

/**
 * struct run_estimate - run time statistics of a service or queue
 * @samples: number of runs
 * @mean_us: moving mean of their run times
 * @ratio: moving mean of run time over declared run time
 * @mean_error: moving mean of |log(run / mean_us)|
 * @ratio_error: moving mean of |log(run / (ratio * declared))|
 * @p95_factor: 95th percentile of the run time over the expected one
 * @p99_factor: 99th percentile of the same
 */
struct run_estimate {
    uint32_t samples;
    double mean_us;
    double ratio;
    double mean_error;
    double ratio_error;
    double p95_factor;
    double p99_factor;
};

/** estimate_add_run() - adds a run of @ran_us of a task declared to take
 * @declared_us */
void estimate_add_run(struct run_estimate *e, int64_t declared_us,
                      int64_t ran_us);

/** estimate_mean_us() - expected run time of a task declared to take
 * @declared_us */
int64_t estimate_mean_us(const struct run_estimate *e, int64_t declared_us);

/** estimate_sum_us() - expected total run time of @n tasks, declared to take
 * @declared_us in total */
int64_t estimate_sum_us(const struct run_estimate *e, uint32_t n,
                        int64_t declared_us);

/** estimate_p95_us() - run time within which 19 of 20 such tasks end */
int64_t estimate_p95_us(const struct run_estimate *e, int64_t declared_us);

/** estimate_longest_us() - run time within which the longest of @n such tasks
 * ends in most cases */
int64_t estimate_longest_us(const struct run_estimate *e, uint32_t n,
                            int64_t declared_us);

#endif
