/**
 * DOC: estimate - run times learned from what ran
 *
 * Declared run times are often far off, though sometimes by a steady factor.
 * So two predictions are kept per service, the mean run time and the declared
 * one times the mean ratio, and the one that has erred less is used.
 */
#ifndef BM_ESTIMATE_H
#define BM_ESTIMATE_H

#include <stdint.h>

/**
 * struct learned - what is known of a service's run times
 * @samples: tasks seen
 * @mean_us: of their run times, moving
 * @ratio: run time over declared, moving mean
 * @mean_error: moving mean of |log(run / mean_us)|
 * @ratio_error: the same for @ratio times declared
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

/** estimate_add_run() - a task declared to take @declared_us ran for @ran_us
 */
void estimate_add_run(struct run_estimate *e, int64_t declared_us,
                      int64_t ran_us);

/** estimate_mean_us() - how long such a task will run, in the mean */
int64_t estimate_mean_us(const struct run_estimate *e, int64_t declared_us);

/** estimate_sum_us() - of @n tasks declared to take @declared_us together */
int64_t estimate_sum_us(const struct run_estimate *e, uint32_t n,
                        int64_t declared_us);

/** estimate_p95_us() - 19 of 20 such tasks end within this */
int64_t estimate_p95_us(const struct run_estimate *e, int64_t declared_us);

/** estimate_longest_us() - within this the longest of @n such tasks ends, most
 * times */
int64_t estimate_longest_us(const struct run_estimate *e, uint32_t n,
                            int64_t declared_us);

#endif
