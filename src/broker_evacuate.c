/*
 * Evacuation of availability zones: no task is started on the upstreams of an
 * evacuated zone.
 *
 * The evacuated zones come from the registries, like the configuration, and
 * from other brokers when they connect; until one of these has reported them,
 * nothing is started.  A broker of an evacuated zone keeps its upstreams, so
 * that they can be used as soon as the evacuation ends, but reports no
 * capacity and returns jobs that have not started to their takers, which offer
 * them to other zones.  A started job can't move, since its tasks that ran
 * would run again: it may start its remaining tasks for evacuation_grace_us
 * and is given up after that.
 */
#include "broker_state.h"

bool
evacuate_covers(const struct broker *b, struct name zone)
{
    return evacuation_covers(&b->evacuated, zone) &&
           !b->opts.breaks[BROKER_BREAK_EVACUATED];
}

static bool
covers_own_zone(const struct broker *b)
{
    return evacuate_covers(b, b->opts.zone);
}

bool
evacuate_accepts_jobs(const struct broker *b)
{
    return b->evacuated_known && !covers_own_zone(b);
}

bool
evacuate_allows_start(const struct broker *b, const struct run_job *job,
                      const struct broker_upstream *u)
{
    if (!b->evacuated_known) {
        return false;
    }
    return !evacuate_covers(b, u->zone) ||
           (job->started && !evacuate_has_ended_starts(b));
}

bool
evacuate_has_ended_starts(const struct broker *b)
{
    return covers_own_zone(b) && b->now.mono_us >= b->evacuated_from_us &&
           !b->opts.breaks[BROKER_BREAK_EVACUATED_RETRY];
}

void
evacuate_log_refusal(struct broker *b, uint64_t job)
{
    if (b->evacuated_known && !b->evacuation_refused) {
        b->evacuation_refused = true;
        broker_log(b, LOG_NOTICE, BROKER_EVACUATED, job, -1, b->opts.zone,
                   "first job refused since the evacuation began");
    }
}

static void
begin(struct broker *b)
{
    b->evacuated_from_us = b->now.mono_us + b->opts.evacuation_grace_us;
    b->evacuation_refused = false;
    broker_log(b, LOG_NOTICE, BROKER_EVACUATION_BEGUN, 0, -1, b->opts.zone,
               "revision %llu, %zu jobs here",
               (unsigned long long)b->evacuated.revision, b->run_jobs.n);
    run_return_unstarted(b, BROKER_EVACUATED);
}

static void
end(struct broker *b)
{
    broker_log(b, LOG_NOTICE, BROKER_EVACUATION_ENDED, 0, -1, b->opts.zone,
               "revision %llu", (unsigned long long)b->evacuated.revision);
    for (struct broker_service *s = b->services; s != NULL; s = s->next) {
        s->placement_due = true;
    }
}

void
evacuate_update(struct broker *b, struct name from, uint64_t revision,
                const struct rec_evacuated_zone *zones, size_t n_zones)
{
    bool was = covers_own_zone(b);
    char text[DETAIL_SIZE];

    if (!b->evacuated_known) {
        b->evacuated_known = true;
        b->next_load_us = b->now.mono_us;
    }
    if (b->opts.breaks[BROKER_BREAK_EVACUATION_OLDER] &&
        revision < b->evacuated.revision) {
        evacuation_clear(&b->evacuated);
    }
    if (!evacuation_update(&b->evacuated, revision, zones, n_zones)) {
        return;
    }
    evacuation_format(&b->evacuated, text, sizeof(text));
    broker_log(b, LOG_NOTICE, BROKER_EVACUATION_KNOWN, 0, -1, from,
               "revision %llu, evacuated: %s", (unsigned long long)revision,
               text);
    b->next_load_us = b->now.mono_us; /* other brokers stop or begin offers */
    if (!was && covers_own_zone(b)) {
        begin(b);
    }
    else if (was && !covers_own_zone(b)) {
        end(b);
    }
}
