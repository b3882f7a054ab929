#include "estimate.h"

#include <math.h>
#include <stdbool.h>

enum {
    SAMPLES_MIN = 10, /* with fewer, the declared run time is used */
    MANY_TASKS = 8,   /* one of them probably exceeds the 95th percentile */
};

/* Least weight of a sample in a moving mean. */
static const double MEAN_WEIGHT_MIN = 0.01;
/* Relative step of the percentile estimates. */
static const double QUANTILE_STEP = 0.05;
static const double P95 = 0.95;
/* Initial value of both percentiles of the run time over the expected one. */
static const double INITIAL_FACTOR = 3.0;
static const double P99 = 0.99;
/* Lower bound of both percentiles. */
static const double FACTOR_MIN = 1.0;

static void
update_mean(double *mean, double sample, double weight)
{
    *mean += weight * (sample - *mean);
}

static double
at_least_one_us(int64_t us)
{
    return us > 0 ? (double)us : 1.0;
}

static bool
declared_is_better(const struct run_estimate *e)
{
    return e->ratio_error < e->mean_error;
}

/* Robbins-Monro: the estimate converges to the quantile @within. */
static void
update_quantile(double *estimate, double within, double sample)
{
    if (sample > *estimate) {
        *estimate *= 1.0 + QUANTILE_STEP * within;
    }
    else {
        *estimate *= 1.0 - QUANTILE_STEP * (1.0 - within);
    }
    if (*estimate < FACTOR_MIN) {
        *estimate = FACTOR_MIN;
    }
}

void
estimate_add_run(struct run_estimate *e, int64_t declared_us, int64_t ran_us)
{
    double ran = at_least_one_us(ran_us);
    double declared = at_least_one_us(declared_us);
    double weight;
    double factor;

    if (e->samples == 0) {
        e->mean_us = ran;
        e->ratio = ran / declared;
        e->p95_factor = INITIAL_FACTOR;
        e->p99_factor = INITIAL_FACTOR;
    }
    e->samples++;
    weight = 1.0 / (double)e->samples;
    weight = weight > MEAN_WEIGHT_MIN ? weight : MEAN_WEIGHT_MIN;
    factor = ran / at_least_one_us(estimate_mean_us(e, declared_us));
    update_quantile(&e->p95_factor, P95, factor);
    update_quantile(&e->p99_factor, P99, factor);
    update_mean(&e->mean_error, fabs(log(ran / e->mean_us)), weight);
    update_mean(&e->ratio_error, fabs(log(ran / (e->ratio * declared))),
                weight);
    update_mean(&e->mean_us, ran, weight);
    update_mean(&e->ratio, ran / declared, weight);
}

int64_t
estimate_sum_us(const struct run_estimate *e, uint32_t n, int64_t declared_us)
{
    if (e->samples < SAMPLES_MIN) {
        return declared_us;
    }
    if (declared_is_better(e)) {
        return (int64_t)(e->ratio * (double)declared_us);
    }
    return (int64_t)(e->mean_us * n);
}

int64_t
estimate_mean_us(const struct run_estimate *e, int64_t declared_us)
{
    return estimate_sum_us(e, 1, declared_us);
}

int64_t
estimate_p95_us(const struct run_estimate *e, int64_t declared_us)
{
    double tail = e->samples < SAMPLES_MIN ? INITIAL_FACTOR : e->p95_factor;

    return (int64_t)(tail * (double)estimate_mean_us(e, declared_us));
}

int64_t
estimate_longest_us(const struct run_estimate *e, uint32_t n,
                    int64_t declared_us)
{
    if (n < MANY_TASKS || e->samples < SAMPLES_MIN) {
        return estimate_p95_us(e, declared_us);
    }
    return (int64_t)(e->p99_factor * (double)estimate_mean_us(e, declared_us));
}
