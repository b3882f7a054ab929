#include "health.h"

#include <stdlib.h>
#include <string.h>
#include <syslog.h>

#include "dispatch.h"
#include "dispatch_state.h"
#include "upstream.h"

#define PROBE_BACKOFF_FIRST_US (1 * USEC_PER_SEC)
#define PROBE_BACKOFF_MAX_US (30 * USEC_PER_SEC)

static const double RATIO_WEIGHT = 0.1; /* of one task in the mean */
static const double SLOW_RATIO = 1.5;   /* ratios to expected run time */
static const double VERY_SLOW_RATIO = 3.0;

/* In levels, see place.h. */
enum {
    PENALTY_FAILED = 2,
    PENALTY_SLOW = 3,
    PENALTY_VERY_SLOW = 8,
};

/** struct upstream_counts - counts of the upstreams of a service in this zone,
 * except leaving ones */
struct upstream_counts {
    uint32_t all;
    uint32_t quarantined;
    struct upstream *last; /* quarantined upstream with the greatest name */
};

struct health *
health_new(void)
{
    struct health *h = calloc(1, sizeof(*h));

    if (h == NULL) {
        abort();
    }
    h->run_time_ratio = 1.0;
    return h;
}

void
health_free(struct health *h)
{
    free(h);
}

static struct upstream_counts
count_upstreams(const struct entry *e, struct name service)
{
    struct upstream_counts c = {0};
    struct upstream *u;
    uint32_t at = 0;

    while ((u = upstreams_next(e, &at)) != NULL) {
        if (u->info.leaving || !name_equal(u->info.service, service)) {
            continue;
        }
        c.all++;
        if (!u->info.quarantined) {
            continue;
        }
        c.quarantined++;
        if (c.last == NULL || strcmp(u->name.s, c.last->name.s) > 0) {
            c.last = u;
        }
    }
    return c;
}

/** quarantine_cap() - how many upstreams of a service may be quarantined: the
 * configured percentage, but at least one, and never all of them */
static uint32_t
quarantine_cap(const struct entry *e, const struct upstream_counts *c)
{
    uint32_t n = c->all * e->opts.quarantine_percent / 100;

    n = n > 0 ? n : 1;
    return n < c->all ? n : c->all - 1;
}

static void
begin_backoff(struct entry *e, struct upstream *u)
{
    u->health->backoff_us = PROBE_BACKOFF_FIRST_US;
    u->health->probe_us =
        e->now.mono_us + entry_jitter(e, PROBE_BACKOFF_FIRST_US);
    dispatch_run_at(e, u->health->probe_us);
}

/* If all upstreams of a service fail all tasks, the cause is not the single
 * upstream but, say, a bad release of the service.  With all of them in
 * quarantine no task would run, and a fixed release would not be detected.  So
 * the number of quarantined upstreams is capped. */
static void
quarantine(struct entry *e, struct upstream *u)
{
    struct upstream_counts c = count_upstreams(e, u->info.service);

    if (c.quarantined >= quarantine_cap(e, &c)) {
        if (!u->health->cap_logged) {
            entry_log(e, LOG_WARNING, REASON_QUARANTINE_CAP, NULL, -1, u->name,
                      "%u failures in a row; cap reached: %u of %u upstreams "
                      "quarantined",
                      u->health->failures, c.quarantined, c.all);
        }
        u->health->cap_logged = true;
        return;
    }
    u->info.quarantined = 1;
    begin_backoff(e, u);
    e->counters.quarantines++;
    entry_log(e, LOG_WARNING, REASON_QUARANTINED, NULL, -1, u->name,
              "%u failures in a row", u->health->failures);
    upstreams_notify_zone(e, u);
    dispatch_upstream_changed(e, u);
}

static void
restore(struct entry *e, struct upstream *u, const char *why)
{
    u->info.quarantined = 0;
    u->health->failures = 0;
    entry_log(e, LOG_NOTICE, REASON_RESTORED, NULL, -1, u->name, "%s", why);
    upstreams_notify_zone(e, u);
    dispatch_upstream_changed(e, u);
}

/** decides_quarantine() - whether this instance decides on the quarantine of
 * an upstream: only the holder does, or every instance where placement has no
 * holders */
static bool
decides_quarantine(const struct entry *e, const struct upstream *u)
{
    return u->held || e->opts.placement != PLACE_HOLDER;
}

void
health_task_succeeded(struct entry *e, struct upstream *u, double ratio)
{
    struct health *h = u->health;

    h->failures = 0;
    h->cap_logged = false;
    if (ratio > 0) {
        h->run_time_ratio += RATIO_WEIGHT * (ratio - h->run_time_ratio);
    }
    if (u->info.quarantined && decides_quarantine(e, u)) {
        restore(e, u, "a task succeeded");
    }
}

static void
probe_failed(struct entry *e, struct upstream *u)
{
    struct health *h = u->health;

    h->backoff_us *= 2;
    if (h->backoff_us > PROBE_BACKOFF_MAX_US) {
        h->backoff_us = PROBE_BACKOFF_MAX_US;
    }
    h->probe_us = e->now.mono_us + entry_jitter(e, h->backoff_us);
    dispatch_run_at(e, h->probe_us);
    entry_log(e, LOG_INFO, REASON_PROBED, NULL, -1, u->name,
              "probe failed; next one in %lld ms",
              (long long)((h->probe_us - e->now.mono_us) / USEC_PER_MSEC));
    dispatch_upstream_changed(e, u);
}

void
health_task_failed(struct entry *e, struct upstream *u, uint32_t times)
{
    struct health *h = u->health;

    h->failures += times;
    if (!decides_quarantine(e, u)) {
        return;
    }
    if (u->info.quarantined) {
        /* Before a probe is due, the failed task is one that was sent before
         * the quarantine began; it does not lengthen the backoff. */
        if (h->probe_us <= e->now.mono_us) {
            probe_failed(e, u);
        }
        return;
    }
    if (h->failures >= e->opts.quarantine_after) {
        quarantine(e, u);
    }
}

bool
health_may_probe(const struct entry *e, const struct upstream *u)
{
    return u->running + u->lent == 0 && u->health->probe_us <= e->now.mono_us;
}

bool
health_probe_allowed(const struct entry *e, const struct upstream *u,
                     bool idempotent)
{
    int64_t any_job_us = u->health->probe_us + u->health->backoff_us;

    return idempotent || any_job_us <= e->now.mono_us;
}

uint32_t
health_penalty(const struct upstream *u)
{
    const struct health *h = u->health;
    uint32_t penalty = h->failures > 0 ? PENALTY_FAILED : 0;

    if (h->run_time_ratio > VERY_SLOW_RATIO) {
        return penalty + PENALTY_VERY_SLOW;
    }
    return h->run_time_ratio > SLOW_RATIO ? penalty + PENALTY_SLOW : penalty;
}

void
health_on_held(struct entry *e, struct upstream *u)
{
    if (u->info.quarantined) {
        begin_backoff(e, u);
    }
}

void
health_on_report(struct entry *e, struct upstream *u, bool quarantined)
{
    struct upstream_counts c;

    if (u->held) {
        return;
    }
    u->info.quarantined = quarantined ? 1 : 0;
    if (!quarantined) {
        return;
    }
    c = count_upstreams(e, u->info.service);
    if (c.quarantined > quarantine_cap(e, &c) && c.last != NULL &&
        c.last->held) {
        restore(e, c.last, "quarantined upstreams exceed the cap");
    }
}

int64_t
health_next_us(const struct upstream *u)
{
    const struct health *h = u->health;

    return u->info.quarantined ? h->probe_us : INT64_MAX;
}
