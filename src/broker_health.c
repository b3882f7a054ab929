/*
 * Health of upstreams: quarantine of failing ones, and slowness.
 *
 * An upstream that fails every task at once is always idle, and would attract
 * all tasks.  After a few failures in a row it is quarantined: it gets no task
 * for a while, then one at a time until one succeeds.  Jobs that fail
 * everywhere must not put healthy upstreams into quarantine.  So only the
 * first failure of a task counts against an upstream (see run_mark_failed()),
 * and at most half of the upstreams held here may be in quarantine.
 */
#include "broker_state.h"

/* Failures in a row that start a quarantine.  A healthy upstream may fail a
 * run now and then, but hardly ever two in a row. */
enum { QUARANTINE_FAILURES = 2 };
#define BACKOFF_MIN_US (500 * USEC_PER_MSEC)
#define BACKOFF_MAX_US (8 * USEC_PER_SEC)
/* Samples are limited to this range: one beyond is due to the task rather than
 * the upstream. */
static const double SLOWNESS_MIN = 0.4;
static const double SLOWNESS_MAX = 12.0;

static bool
quarantine_cap_reached(const struct broker *b)
{
    const struct broker_upstream *u;
    struct handle h;
    uint32_t at = 0;
    size_t held = 0;
    size_t quarantined = 0;

    while ((u = table_next(&b->upstreams, &at, &h)) != NULL) {
        held += u->state == HOLD_OPEN ? 1 : 0;
        quarantined +=
            u->state == HOLD_OPEN && u->quarantine_until_us > 0 ? 1 : 0;
    }
    return 2 * (quarantined + 1) > held;
}

void
broker_health_task_done(struct broker *b, struct broker_upstream *u,
                        double sample, double weight)
{
    u->failures = 0;
    if (u->quarantine_until_us > 0) {
        broker_log(b, LOG_NOTICE, BROKER_RESTORED, 0, -1, u->name,
                   "a task succeeded");
    }
    u->quarantine_until_us = 0;
    u->backoff_us = 0;
    sample = sample < SLOWNESS_MIN ? SLOWNESS_MIN : sample;
    sample = sample > SLOWNESS_MAX ? SLOWNESS_MAX : sample;
    if (!b->opts.disabled[BROKER_FEATURE_SLOW]) {
        u->slowness += weight * (sample - u->slowness);
    }
}

void
broker_health_task_failed(struct broker *b, struct broker_upstream *u)
{
    u->failures++;
    if (u->failures < QUARANTINE_FAILURES ||
        (u->quarantine_until_us == 0 && quarantine_cap_reached(b)) ||
        b->opts.disabled[BROKER_FEATURE_FAILING]) {
        return;
    }
    u->backoff_us = u->backoff_us == 0 ? BACKOFF_MIN_US : 2 * u->backoff_us;
    if (u->backoff_us > BACKOFF_MAX_US) {
        u->backoff_us = BACKOFF_MAX_US;
    }
    u->quarantine_until_us = b->now.mono_us + u->backoff_us;
    b->counters.quarantines++;
    broker_log(b, LOG_WARNING, BROKER_QUARANTINED, 0, -1, u->name,
               "%u failures in a row, for %lld ms", u->failures,
               (long long)(u->backoff_us / USEC_PER_MSEC));
}

bool
broker_health_allows(const struct broker *b, const struct broker_upstream *u)
{
    if (u->quarantine_until_us == 0) {
        return true;
    }
    return b->now.mono_us >= u->quarantine_until_us && u->n_tasks == 0;
}
