/*
 * Shares by zone of origin: applies zone_share.c to the jobs offered to this
 * runner, in each queue of a service whose demand exceeds the capacity.
 */
#include "broker_state.h"

static struct name
origin_zone(const struct broker *b, const struct run_job *job)
{
    const struct broker_peer *taker = peers_find(b, job->taker);

    return taker != NULL ? taker->zone : name_of("");
}

static bool
is_off(const struct broker *b)
{
    return b->opts.disabled[BROKER_FEATURE_ZONE_SHARES] ||
           b->opts.disabled[BROKER_FEATURE_SHARES];
}

static void
log_binding(struct broker *b, const struct zone_shares *s,
            const struct run_job *job, double capacity)
{
    broker_log(b, LOG_NOTICE, BROKER_ZONE_SHARE, job->id, -1,
               origin_zone(b, job),
               "service %s, %zu zones, at most %.1f of %.1f cores each",
               job->service->name.s, s->n,
               zone_share_level(s, capacity) / 1000, capacity / 1000);
}

void
zone_on_offer(struct broker *b, struct queue_stats *q, struct run_job *job,
              double capacity)
{
    struct zone_shares *all = &job->service->zones;
    struct name zone = origin_zone(b, job);
    double part = share_granted(job->service, q, capacity);
    bool bound = zone_share_binds(all, b->now.mono_us);

    if (is_off(b)) {
        return;
    }
    all->never_expire = b->opts.breaks[BROKER_BREAK_SHARE_KEPT];
    q->zones.never_expire = all->never_expire;
    zone_share_offer(all, zone, job->work, capacity, b->now.mono_us);
    zone_share_offer(&q->zones, zone, job->work, part, b->now.mono_us);
    if (!zone_share_binds(all, b->now.mono_us)) {
        return;
    }
    if (!bound) {
        log_binding(b, all, job, capacity);
    }
    job->zone_verdict = zone_share_judge(&q->zones, zone, part);
    b->counters.offers_beyond_zone_share +=
        job->zone_verdict == ZONE_BEYOND ? 1 : 0;
}

double
zone_wait_factor(struct broker *b, const struct queue_stats *q,
                 const struct run_job *job, double capacity)
{
    switch (job->zone_verdict) {
    case ZONE_WITHIN:
    case ZONE_CREDIT:
        return 1.0;
    case ZONE_BEYOND:
        return share_beyond_factor(job->service, capacity);
    default:
        return urgent_has_reserve(b, q)
                   ? 1.0
                   : share_wait_factor(job->service, q, capacity);
    }
}

void
zone_on_admit(struct broker *b, struct queue_stats *q,
              const struct run_job *job)
{
    if (!is_off(b)) {
        zone_share_admit(&q->zones, origin_zone(b, job), job->work);
    }
}

size_t
broker_zone_uses(const struct broker *b, struct broker_zone_use *out,
                 size_t max)
{
    size_t n = 0;

    for (const struct broker_service *s = b->services; s != NULL;
         s = s->next) {
        for (size_t i = 0; i < s->n_stats; i++) {
            const struct queue_stats *q = &s->stats[i];

            for (size_t z = 0; z < q->zones.n && n < max &&
                               zone_share_binds(&s->zones, b->now.mono_us);
                 z++) {
                out[n].queue = q->queue;
                out[n].zone = q->zones.zones[z].zone;
                out[n++].used_milli = (uint64_t)q->zones.zones[z].used;
            }
        }
    }
    return n;
}
