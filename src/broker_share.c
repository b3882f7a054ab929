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
#define DEMAND_US (2 * USEC_PER_SEC)
/* A queue may save up its share for so long: the longest jobs come about that
 * far apart. */
#define CREDIT_US (500 * USEC_PER_MSEC)

/* Of its spare time a job beyond its queue's share may wait that much: with
 * more it overtakes those that are entitled to the room. */
static const double BEYOND_SHARE = 0.1;
/* It is so strict from that excess of demand on, and less the smaller the
 * excess is: a cluster of long jobs is no overload. */
static const double OVER_FULL = 0.4;

/* Compared to what each asks for, a queue of the first priority gets twice as
 * much room as one of the third, and each at least some. */
static double
weight(const struct queue_stats *q)
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
granted(const struct broker_service *s, double level)
{
    double sum = 0;

    for (size_t i = 0; i < s->n_stats; i++) {
        const struct queue_stats *q = &s->stats[i];

        sum += q->demand * fmin(1.0, weight(q) * level);
    }
    return sum;
}

/* The level at which all room is given out, by halving. */
static double
level_for(const struct broker_service *s, double able)
{
    enum { HALVINGS = 20 };
    double low = 0.0;
    double high = 1.0;

    if (granted(s, high) <= able) {
        return high;
    }
    for (int i = 0; i < HALVINGS; i++) {
        double middle = (low + high) / 2.0;

        if (granted(s, middle) <= able) {
            low = middle;
        }
        else {
            high = middle;
        }
    }
    return low;
}

void
share_update(struct broker *b, struct broker_service *s, double able)
{
    double passed = (double)(b->now.mono_us - s->shares_updated_us);
    double level = level_for(s, able);

    for (size_t i = 0; i < s->n_stats; i++) {
        struct queue_stats *q = &s->stats[i];
        double share = q->demand * fmin(1.0, weight(q) * level);

        q->credit = fmin(q->credit + share * passed, share * CREDIT_US);
        q->demand *= exp(-passed / (double)DEMAND_US);
    }
    s->late_throughput *= exp(-passed / (double)DEMAND_US);
    s->shares_updated_us = b->now.mono_us;
}

void
share_add_late_start(struct broker_service *s, double work)
{
    s->late_throughput += work / (double)DEMAND_US;
}

void
share_add_demand(struct broker *b, struct broker_service *s,
                 struct queue_stats *q, double work, double able)
{
    share_update(b, s, able);
    q->demand += work / (double)DEMAND_US;
}

double
share_wait_factor(const struct broker_service *s, const struct queue_stats *q,
                  double able)
{
    double over = able > 0 ? share_total_demand(s) / able - 1.0 : OVER_FULL;
    double left = 1.0 - over / OVER_FULL;

    if (q->credit > 0 || left > 1.0) {
        return 1.0;
    }
    return left > BEYOND_SHARE ? left : BEYOND_SHARE;
}

void
share_spend_credit(struct queue_stats *q, double work)
{
    q->credit -= work;
}
