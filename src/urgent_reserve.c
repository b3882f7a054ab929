#include "urgent_reserve.h"

/* A queue counts as in use from this share of the capacity on: a few jobs of
 * another queue within seconds don't compete with it. */
static const double IN_USE_SHARE = 0.01;
/* Jobs that need a larger share of the capacity at once get no reserve: each
 * displaces more callers than it serves. */
static const double JOB_SHARE_MAX = 1.0 / 6.0;
/* Weight of a job in the mean of sizes, which vary threefold: the mean of
 * about the last 20. */
static const double SIZE_WEIGHT = 0.05;

double
urgent_reserve_milli(const struct urgent_queue *queues, size_t n, size_t which,
                     double capacity)
{
    const struct urgent_queue *own = &queues[which];
    bool any_lower = false;

    for (size_t i = 0; i < n; i++) {
        const struct urgent_queue *q = &queues[i];

        if (q->demand < capacity * IN_USE_SHARE) {
            continue;
        }
        if (q->priority < own->priority) {
            return 0;
        }
        any_lower = any_lower || q->priority > own->priority;
    }
    if (own->demand < capacity * IN_USE_SHARE || !any_lower ||
        own->granted < own->demand ||
        own->job_milli > capacity * JOB_SHARE_MAX) {
        return 0;
    }
    return own->demand;
}

double
urgent_usual_milli(double mean_milli, double job_milli)
{
    return mean_milli > 0 ? mean_milli + SIZE_WEIGHT * (job_milli - mean_milli)
                          : job_milli;
}
