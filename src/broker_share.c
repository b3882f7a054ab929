/*
 * Weighted shares of the capacity for the queues of a service, in overload.
 *
 * If jobs are ordered by their latest start alone and demand exceeds the
 * capacity, short jobs overtake long ones as long as these have spare time:
 * long jobs are admitted, wait, and are refused in the end.  So demand is
 * measured per queue.  When the total exceeds the capacity, each queue may
 * use its share at once, and further jobs of the queue are admitted only if
 * they hardly have to wait.
 */
#include <math.h>

#include "broker_state.h"

/* Time constant of the moving average of demand: several run times of the
 * longest tasks. */
#define DEMAND_WINDOW_US (2 * USEC_PER_SEC)
/* A queue may accumulate credit for this long: about the time between two of
 * the longest jobs. */
#define CREDIT_WINDOW_US (500 * USEC_PER_MSEC)

/* Part of its spare time (the time left until its latest start) that a job
 * beyond its queue's share may always wait.  With a higher value such jobs
 * would overtake jobs within their queue's share. */
static const double WAIT_FACTOR_MIN = 0.1;
/* Excess of demand over the capacity from which only WAIT_FACTOR_MIN is
 * allowed; a smaller excess allows more, since a cluster of long jobs is not
 * an overload. */
static const double STRICT_EXCESS = 0.4;

/* Relative to its demand, a queue of priority 0 gets twice the share of one of
 * priority 2; every priority gets some. */
static double
queue_weight(const struct queue_stats *q)
{
    return 1.0 + 3.0 / (1.0 + (double)q->priority);
}

double
share_total_demand(const struct broker_service *s)
{
    double demand = 0;

    for (size_t i = 0; i < s->n_stats; i++) {
        demand += s->stats[i].demand;
    }
    return demand;
}

/* Sum of the shares if each queue gets weight * @level times its demand, and
 * at most its demand. */
static double
total_granted(const struct broker_service *s, double level)
{
    double sum = 0;

    for (size_t i = 0; i < s->n_stats; i++) {
        const struct queue_stats *q = &s->stats[i];

        sum += q->demand * fmin(1.0, queue_weight(q) * level);
    }
    return sum;
}

/* The level at which the shares add up to the capacity, by bisection. */
static double
find_level(const struct broker_service *s, double capacity)
{
    enum { ITERATIONS = 20 };
    double low = 0.0;
    double high = 1.0;

    if (total_granted(s, high) <= capacity) {
        return high;
    }
    for (int i = 0; i < ITERATIONS; i++) {
        double middle = (low + high) / 2.0;

        if (total_granted(s, middle) <= capacity) {
            low = middle;
        }
        else {
            high = middle;
        }
    }
    return low;
}

double
share_granted(const struct broker_service *s, const struct queue_stats *q,
              double capacity)
{
    return q->demand * fmin(1.0, queue_weight(q) * find_level(s, capacity));
}

void
share_update(struct broker *b, struct broker_service *s, double capacity)
{
    double elapsed_us = (double)(b->now.mono_us - s->shares_updated_us);
    double level = find_level(s, capacity);

    for (size_t i = 0; i < s->n_stats; i++) {
        struct queue_stats *q = &s->stats[i];
        double share = q->demand * fmin(1.0, queue_weight(q) * level);

        q->credit =
            fmin(q->credit + share * elapsed_us, share * CREDIT_WINDOW_US);
        q->demand *= exp(-elapsed_us / (double)DEMAND_WINDOW_US);
    }
    s->late_throughput *= exp(-elapsed_us / (double)DEMAND_WINDOW_US);
    s->shares_updated_us = b->now.mono_us;
}

void
share_add_late_start(struct broker_service *s, double work)
{
    s->late_throughput += work / (double)DEMAND_WINDOW_US;
}

void
share_add_demand(struct broker *b, struct broker_service *s,
                 struct queue_stats *q, double work, double capacity)
{
    share_update(b, s, capacity);
    q->demand += work / (double)DEMAND_WINDOW_US;
}

double
share_wait_factor(const struct broker_service *s, const struct queue_stats *q,
                  double capacity)
{
    double excess =
        capacity > 0 ? share_total_demand(s) / capacity - 1.0 : STRICT_EXCESS;
    double factor = 1.0 - excess / STRICT_EXCESS;

    if (q->credit > 0 || factor > 1.0) {
        return 1.0;
    }
    return factor > WAIT_FACTOR_MIN ? factor : WAIT_FACTOR_MIN;
}

void
share_spend_credit(struct queue_stats *q, double work)
{
    q->credit -= work;
}
