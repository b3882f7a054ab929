/**
 * DOC: health - upstreams that fail everything, and slow ones
 *
 * Failures in a row put an upstream into quarantine; its holder then gives it
 * one task at a time, ever more rarely, until one succeeds.  The holder tells
 * the zone, so that the cap on quarantined upstreams counts them all.
 */
#ifndef BM_HEALTH_H
#define BM_HEALTH_H

#include "entry_state.h"

struct upstream;

/**
 * struct health - what this instance saw of one upstream
 * @failures: in a row
 * @probe_us: the next probe is not before
 * @backoff_us: between probes; doubles
 * @cap_logged: quarantine was due but the cap stood against it, and was logged
 * @run_time_ratio: run time over the expected one, moving mean
 */
struct health {
    uint32_t failures;
    int64_t probe_us;
    int64_t backoff_us;
    bool cap_logged;
    double run_time_ratio;
};

struct health *health_new(void);
void health_free(struct health *h);

/** health_task_succeeded() - a task ran there and succeeded; @ratio is
 * its run time over the expected one, 0 if not known */
void health_task_succeeded(struct entry *e, struct upstream *u, double ratio);

/** health_task_failed() - @times failures in a row, of whatever kind */
void health_task_failed(struct entry *e, struct upstream *u, uint32_t times);

/** health_may_probe() - whether a quarantined upstream may be given a task */
bool health_may_probe(const struct entry *e, const struct upstream *u);

/** health_probe_allowed() - a probe may well fail, so for a while only tasks
 * of idempotent jobs are used, which their callers can repeat */
bool health_probe_allowed(const struct entry *e, const struct upstream *u,
                          bool idempotent);

/** health_penalty() - levels (place.h) that an upstream ranks behind equals */
uint32_t health_penalty(const struct upstream *u);

/** health_on_report() - a holder told whether its upstream is quarantined;
 * where two holders did so at once and the cap is passed, one of them restores
 */
void health_on_report(struct entry *e, struct upstream *u, bool quarantined);

/** health_on_held() - this instance became the holder of a quarantined one */
void health_on_held(struct entry *e, struct upstream *u);

/** health_next_us() - when the upstream's next probe falls due */
int64_t health_next_us(const struct upstream *u);

#endif
