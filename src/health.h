/**
 * DOC: health - quarantine of failing upstreams, lower rank for slow ones
 *
 * An upstream that fails a number of tasks in a row is quarantined.  Its
 * holder then probes it with one task at a time, at growing intervals, until
 * one succeeds.  The holder notifies the zone, so that the cap on the number
 * of quarantined upstreams counts all of the zone.
 */
#ifndef BM_HEALTH_H
#define BM_HEALTH_H

#include "entry_state.h"

struct upstream;

/**
 * struct health - health of one upstream as observed by this instance
 * @failures: number of failures in a row
 * @probe_us: no probe before that, monotonic
 * @backoff_us: time between probes; doubles with each failed probe
 * @cap_logged: the cap prevented quarantine, and this was logged
 * @run_time_ratio: ratio of run time to expected run time, moving mean
 */
struct health {
    uint32_t failures;
    int64_t probe_us;
    int64_t backoff_us;
    bool cap_logged;
    double run_time_ratio;
};

/** health_new() - ends the process when memory is out */
struct health *health_new(void);
void health_free(struct health *h);

/** health_task_succeeded() - records a task that succeeded; @ratio is the
 * ratio of its run time to the expected one, 0 if not known */
void health_task_succeeded(struct entry *e, struct upstream *u, double ratio);

/** health_task_failed() - records @times consecutive failures on the upstream:
 * failed runs, starts without an answer and failed connections count alike.
 * May quarantine the upstream. */
void health_task_failed(struct entry *e, struct upstream *u, uint32_t times);

/** health_may_probe() - whether a probe of a quarantined upstream is due and
 * none is running */
bool health_may_probe(const struct entry *e, const struct upstream *u);

/** health_probe_allowed() - whether a task may be used as a probe.  A probe is
 * likely to fail, so for one backoff interval only tasks of idempotent jobs
 * are used, which their callers can repeat. */
bool health_probe_allowed(const struct entry *e, const struct upstream *u,
                          bool idempotent);

/** health_penalty() - number of levels (place.h) by which an upstream ranks
 * below a healthy one */
uint32_t health_penalty(const struct upstream *u);

/** health_on_report() - records a holder's report whether its upstream is
 * quarantined.  If holders that quarantined at the same time exceeded the cap
 * together, one of them restores its upstream. */
void health_on_report(struct entry *e, struct upstream *u, bool quarantined);

/** health_on_held() - schedules a probe if an upstream that this instance took
 * over is quarantined */
void health_on_held(struct entry *e, struct upstream *u);

/** health_next_us() - monotonic time of the next probe of an upstream;
 * INT64_MAX if it is not quarantined */
int64_t health_next_us(const struct upstream *u);

#endif
