#include "estimate.h"

#include <math.h>
#include <stdbool.h>

enum {
    SAMPLES_ENOUGH = 10, /* before that the declared time counts */
    MANY = 8,            /* tasks, of which one is likely past the tail */
};

static const double SLOWEST = 0.01; /* weight of a sample in the long run */
static const double STEP = 0.05;    /* of the quantile estimates */
static const double TAIL_SHARE = 0.95;
static const double TAIL_START = 3.0; /* run time over expected */
static const double EXTREME = 0.99;
static const double LEAST = 1.0; /* of both */

static void
blend(double *mean, double sample, double weight)
{
    *mean += weight * (sample - *mean);
}

static double
positive(int64_t us)
{
    return us > 0 ? (double)us : 1.0;
}

static bool
declared_helps(const struct run_estimate *l)
{
    return l->ratio_error < l->mean_error;
}

/* Robbins-Monro: the estimate rests where the share @within lies below it. */
static void
learn_quantile(double *estimate, double within, double sample)
{
    if (sample > *estimate) {
        *estimate *= 1.0 + STEP * within;
    }
    else {
        *estimate *= 1.0 - STEP * (1.0 - within);
    }
    if (*estimate < LEAST) {
        *estimate = LEAST;
    }
}

void
estimate_add_run(struct run_estimate *l, int64_t declared_us, int64_t ran_us)
{
    double ran = positive(ran_us);
    double declared = positive(declared_us);
    double weight;
    double over;

    if (l->samples == 0) {
        l->mean_us = ran;
        l->ratio = ran / declared;
        l->p95_factor = TAIL_START;
        l->p99_factor = TAIL_START;
    }
    l->samples++;
    weight = 1.0 / (double)l->samples;
    weight = weight > SLOWEST ? weight : SLOWEST;
    over = ran / positive(estimate_mean_us(l, declared_us));
    learn_quantile(&l->p95_factor, TAIL_SHARE, over);
    learn_quantile(&l->p99_factor, EXTREME, over);
    blend(&l->mean_error, fabs(log(ran / l->mean_us)), weight);
    blend(&l->ratio_error, fabs(log(ran / (l->ratio * declared))), weight);
    blend(&l->mean_us, ran, weight);
    blend(&l->ratio, ran / declared, weight);
}

int64_t
estimate_sum_us(const struct run_estimate *l, uint32_t n, int64_t declared_us)
{
    if (l->samples < SAMPLES_ENOUGH) {
        return declared_us;
    }
    if (declared_helps(l)) {
        return (int64_t)(l->ratio * (double)declared_us);
    }
    return (int64_t)(l->mean_us * n);
}

int64_t
estimate_mean_us(const struct run_estimate *l, int64_t declared_us)
{
    return estimate_sum_us(l, 1, declared_us);
}

int64_t
estimate_p95_us(const struct run_estimate *l, int64_t declared_us)
{
    double tail = l->samples < SAMPLES_ENOUGH ? TAIL_START : l->p95_factor;

    return (int64_t)(tail * (double)estimate_mean_us(l, declared_us));
}

int64_t
estimate_longest_us(const struct run_estimate *l, uint32_t n,
                    int64_t declared_us)
{
    if (n < MANY || l->samples < SAMPLES_ENOUGH) {
        return estimate_p95_us(l, declared_us);
    }
    return (int64_t)(l->p99_factor * (double)estimate_mean_us(l, declared_us));
}
