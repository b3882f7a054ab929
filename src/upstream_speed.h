/**
 * DOC: upstream_speed - estimates how fast each upstream is
 *
 * The load: upstreams differ in speed by up to 2.7 times, run times between
 * jobs by 40 %, tasks of a job by 15 %, and 3 in 100 tasks take 7 times as
 * long.  So a task is compared only with the other tasks of its job, with
 * their median, and one task changes a speed by a bounded amount.
 *
 * Speeds are relative, so they are normalized after each change.  Otherwise
 * speeds and expected run times, which are scaled by the speeds, could drift
 * against each other.
 */
#ifndef BM_UPSTREAM_SPEED_H
#define BM_UPSTREAM_SPEED_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

/**
 * struct upstream_speed - speed of one incarnation of an upstream
 * @born_ms: the incarnation
 * @log_speed: natural logarithm of the speed; 0: usual, above: faster
 * @samples: number of tasks behind it
 */
struct upstream_speed {
    uint64_t born_ms;
    double log_speed;
    uint32_t samples;
};

/**
 * struct speed_run - a completed task of a job
 * @speed: of the upstream where it ran
 * @ran_us: its run time there
 * @excluded: neither sampled nor compared with, since its run time does not
 *            show the upstream's usual speed
 */
struct speed_run {
    struct upstream_speed *speed;
    double ran_us;
    bool excluded;
};

/** upstream_speed_factor() - the speed; 1: usual, above 1: faster */
double upstream_speed_factor(const struct upstream_speed *s);

/** upstream_speed_add_job() - adjusts the speeds of the upstreams where the
 * @n tasks ran, which are alike and of one job; returns whether any was */
bool upstream_speed_add_job(const struct speed_run *runs, size_t n);

/** upstream_speed_normalize() - shifts the speeds so that their mean
 * logarithm, weighted by samples, is 0; those without samples stay at 1 */
void upstream_speed_normalize(struct upstream_speed *const *speeds, size_t n);

/** upstream_speed_differs() - whether the speed differs from the usual one by
 * more than 10 %, and by more than chance explains */
bool upstream_speed_differs(const struct upstream_speed *s);

/** upstream_speed_is_news() - whether it differs from the speed in a report,
 * a natural logarithm, by more than 5 % */
bool upstream_speed_is_news(const struct upstream_speed *s,
                            double reported_log);

#endif
