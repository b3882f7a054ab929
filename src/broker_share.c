/*
 * What part of the room each queue is entitled to while not all fits.
 *
 * The load it answers: demand above what the upstreams can do.  Ordered by
 * their latest start alone, short jobs overtake long ones for as long as these
 * have time left: long ones are let in, wait, and are refused when their time
 * is over.  So what comes in is measured per queue; when all of it together is
 * more than there is, each queue may use its share at once, and what is beyond
 * that gets in only where there is hardly a wait.
 */
#include <math.h>

#include "broker_state.h"

/* Time over which demand is averaged: several runs of the longest tasks. */
#define DEMAND_WINDOW_US (2 * USEC_PER_SEC)
/* A queue may save up its share for so long: the longest jobs come about that
 * far apart. */
#define CREDIT_WINDOW_US (500 * USEC_PER_MSEC)

/* Of its spare time a job beyond its queue's share may wait that much: with
 * more it overtakes those that are entitled to the room. */
static const double WAIT_FACTOR_MIN = 0.1;
/* It is so strict from that excess of demand on, and less the smaller the
 * excess is: a cluster of long jobs is no overload. */
static const double STRICT_EXCESS = 0.4;

/* Compared to what each asks for, a queue of the first priority gets twice as
 * much room as one of the third, and each at least some. */
static double
queue_weight(const struct queue_stats *q)
{
    return 1.0 + 3.0 / (1.0 + (double)q->priority);
}

double
share_total_demand(const struct broker_service *s)
{
    double offered = 0;

    for (size_t i = 0; i < s->n_stats; i++) {
        offered += s->stats[i].demand;
    }
    return offered;
}

/* What all get together when each gets its weight times @level of what it asks
 * for, and no more than that. */
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

/* The level at which all room is given out, by halving. */
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
