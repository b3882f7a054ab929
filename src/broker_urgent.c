/*
 * Capacity reserved for the most urgent queue of a service: applies
 * urgent_reserve.c to the queues of a runner.
 */
#include "broker_state.h"
#include "urgent_reserve.h"

enum { QUEUES_MAX = 32 }; /* of a service; further ones count as unused */

static bool
is_off(const struct broker *b)
{
    return b->opts.disabled[BROKER_FEATURE_URGENT_RESERVE] ||
           b->opts.disabled[BROKER_FEATURE_SHARES];
}

/* Milli-cores that the job needs at first. */
static double
first_milli(const struct run_job *job)
{
    double milli = 0;

    for (size_t i = 0; i < job->n_groups; i++) {
        const struct rec_task_group *g = &job->groups[i];

        milli += g->after == 0 ? (double)g->count * (double)g->cpu_milli : 0;
    }
    return milli;
}

static double
reserve_milli(const struct broker_service *s, const struct queue_stats *q,
              double capacity)
{
    struct urgent_queue queues[QUEUES_MAX];
    size_t which = (size_t)(q - s->stats);
    size_t n = s->n_stats < QUEUES_MAX ? s->n_stats : QUEUES_MAX;

    if (which >= n) {
        return 0;
    }
    for (size_t i = 0; i < n; i++) {
        const struct queue_stats *other = &s->stats[i];

        queues[i] = (struct urgent_queue){
            .priority = other->priority,
            .demand = other->demand,
            .granted = i == which ? share_granted(s, other, capacity) : 0,
            .job_milli = other->job_milli,
        };
    }
    return urgent_reserve_milli(queues, n, which, capacity);
}

void
urgent_on_offer(struct broker *b, struct queue_stats *q,
                const struct run_job *job, double capacity)
{
    double reserved;

    if (is_off(b)) {
        return;
    }
    q->job_milli = urgent_usual_milli(q->job_milli, first_milli(job));
    reserved = capacity < share_total_demand(job->service)
                   ? reserve_milli(job->service, q, capacity)
                   : 0;
    q->reserved_milli = reserved;
    q->reserved_us = b->now.mono_us;
}

double
urgent_wait_factor(struct broker *b, const struct queue_stats *q,
                   const struct broker_service *s, double capacity)
{
    if (q->reserved_milli <= 0) {
        return share_wait_factor(s, q, capacity);
    }
    b->counters.offers_on_reserve += q->credit <= 0 ? 1 : 0;
    return 1.0;
}

uint64_t
urgent_reserved_milli(const struct broker *b)
{
    double sum = 0;

    for (const struct broker_service *s = b->services; s != NULL;
         s = s->next) {
        for (size_t i = 0; i < s->n_stats; i++) {
            const struct queue_stats *q = &s->stats[i];

            sum += b->now.mono_us - q->reserved_us < URGENT_RESERVE_MEMORY_US
                       ? q->reserved_milli
                       : 0;
        }
    }
    return (uint64_t)sum;
}
