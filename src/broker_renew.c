/*
 * Leases of jobs: how long a runner may run a job without its taker's renewal.
 *
 * A caller whose connection broke, or that was answered that the outcome is
 * unknown, submits its job again at any broker, which may choose any runner.
 * No fence stops the runs of the first submission there.  So the tasks of a
 * job run on upstreams no longer than a job lease after the last time at which
 * its caller was known to be connected.  All runs of the first submission have
 * ended by then, even if the loss of the taker is not noticed and stops are
 * lost.
 *
 * An upstream has one deadline for all its runs, which never moves back.  It
 * is extended only to the earliest end of a lease of the jobs with tasks
 * there, and a task starts only where the deadline is within the lease of its
 * own job.
 *
 * Loads and checks of a runner carry the time of its clock.  A taker echoes
 * the newest one in a renewal, with the list of jobs whose callers are still
 * connected.  Since both times are of the runner's clock, network delays only
 * shorten the lease.
 */
#include <stdlib.h>

#include "broker_state.h"

/* Interval at which a taker renews the lease of a job. */
#define RENEW_INTERVAL_US (150 * USEC_PER_MSEC)
/* A check is sent when a job has not been renewed for this time.  Loads
 * request renewals too, but are sent less often where there are many brokers.
 */
#define CHECK_AFTER_US (2 * RENEW_INTERVAL_US)
/* Least interval of checks to a taker for jobs that could start now. */
#define CHECK_INTERVAL_US (20 * USEC_PER_MSEC)
/* Part of a caller's time before it submits again that no lease uses: for
 * coarse clocks, and for the taker to notice the broken connection. */
#define DISCONNECT_MARGIN_US (50 * USEC_PER_MSEC)
/* A task starts only if 1/START_LEASE_DIVISOR of an upstream's lease is left.
 */
enum { START_LEASE_DIVISOR = 2 };

void
renew_init(struct broker *b)
{
    struct broker_options *o = &b->opts;
    int64_t us = o->resubmit_us - DISCONNECT_MARGIN_US - EXPIRY_SLACK_US;

    b->job_lease_us = (int64_t)((double)us / (1.0 + 2.0 * o->clock_drift));
    if (o->lease_us > b->job_lease_us) {
        o->lease_us = b->job_lease_us;
    }
}

/* The taker */

static bool
renewal_due(struct broker *b, struct name runner)
{
    const struct caller_job *c;
    struct handle h;
    uint32_t at = 0;

    while ((c = table_next(&b->caller_jobs, &at, &h)) != NULL) {
        if (b->now.mono_us - c->confirmed_us >= RENEW_INTERVAL_US &&
            name_equal(c->runner, runner)) {
            return true;
        }
    }
    return false;
}

static void
send_renewal(struct broker *b, struct name runner, uint64_t heard_us)
{
    struct msg m = {.kind = MSG_JOB_RENEWAL};
    struct rec_job_renewal *r = &m.u.job_renewal;
    struct caller_job *c;
    struct handle h;
    uint32_t at = 0;

    r->heard_us = heard_us;
    r->jobs = calloc(b->caller_jobs.n + 1, sizeof(*r->jobs));
    if (r->jobs == NULL) {
        abort();
    }
    while ((c = table_next(&b->caller_jobs, &at, &h)) != NULL) {
        if (name_equal(c->runner, runner)) {
            c->confirmed_us = b->now.mono_us;
            r->jobs[r->n_jobs++].id = c->offer.u.job_offer.id;
        }
    }
    broker_send(b, runner, &m);
}

void
renew_on_request(struct broker *b, struct name from, uint64_t sent_us,
                 bool check)
{
    struct broker_peer *p = peers_find(b, from);

    if (p == NULL || p->self) {
        return;
    }
    p->confirmable_us = renew_confirmable_us(b, p);
    p->last_sent_us = sent_us;
    p->last_received_us = b->now.mono_us;
    p->wants_renewal = p->wants_renewal || check || renewal_due(b, from);
}

uint64_t
renew_confirmable_us(const struct broker *b, const struct broker_peer *p)
{
    return p->last_received_us <= b->callers_known_us ? p->last_sent_us
                                                      : p->confirmable_us;
}

void
renew_reset_peer(struct broker_peer *p)
{
    p->last_sent_us = 0;
    p->confirmable_us = 0;
    p->wants_renewal = false;
}

/* A request is answered only when callers that disconnected before it arrived
 * are known.  After a pause of the process, requests may be read before the
 * disconnects. */
static void
answer_requests(struct broker *b)
{
    for (struct broker_peer *p = b->peers; p != NULL; p = p->next) {
        if (p->wants_renewal && p->last_received_us <= b->callers_known_us) {
            p->wants_renewal = false;
            send_renewal(b, p->name, p->last_sent_us);
        }
    }
}

int64_t
renew_next_us(const struct broker *b)
{
    for (const struct broker_peer *p = b->peers; p != NULL; p = p->next) {
        if (p->wants_renewal) {
            return b->now.mono_us;
        }
    }
    return INT64_MAX;
}

/* The runner */

int64_t
renew_echoed_us(const struct broker *b, uint64_t heard_us)
{
    /* A time that lies ahead is not of this clock. */
    return heard_us <= (uint64_t)b->now.mono_us ? (int64_t)heard_us : 0;
}

int64_t
renew_confirmed_us(const struct broker *b, const struct run_job *job)
{
    bool taken_here = !job->closed && name_equal(job->taker, b->opts.self);

    if (b->opts.breaks[BROKER_BREAK_UNCONFIRMED]) {
        return b->now.mono_us;
    }
    return taken_here ? b->callers_known_us : job->renewed_us;
}

void
renew_close_job(const struct broker *b, struct run_job *job)
{
    job->renewed_us = renew_confirmed_us(b, job);
    job->closed = true;
    job->closed_us = b->now.mono_us;
}

static int64_t
lease_end_us(const struct broker *b, const struct run_job *job)
{
    return renew_confirmed_us(b, job) + b->job_lease_us;
}

int64_t
renew_upstream_limit_us(struct broker *b, const struct broker_upstream *u)
{
    int64_t limit_us = INT64_MAX;

    for (size_t i = 0; i < u->n_tasks; i++) {
        const struct run_job *job = table_get(&b->run_jobs, u->tasks[i].job);
        int64_t us = lease_end_us(b, job);

        limit_us = us < limit_us ? us : limit_us;
    }
    return limit_us;
}

static bool
leaves_start_time(const struct broker *b, int64_t limit_us)
{
    return limit_us - b->now.mono_us >= b->opts.lease_us / START_LEASE_DIVISOR;
}

bool
renew_allows_start(struct broker *b, const struct run_job *job,
                   const struct broker_upstream *u)
{
    return u->granted_until_us <= lease_end_us(b, job) &&
           leaves_start_time(b, renew_upstream_limit_us(b, u));
}

static bool
is_listed(const struct rec_job_renewal *r, uint64_t id)
{
    for (size_t i = 0; i < r->n_jobs; i++) {
        if (r->jobs[i].id == id) {
            return true;
        }
    }
    return false;
}

void
renew_on_renewal(struct broker *b, struct name from,
                 const struct rec_job_renewal *r)
{
    int64_t heard_us = renew_echoed_us(b, r->heard_us);
    struct run_job *job;
    struct handle h;
    uint32_t at = 0;

    while ((job = table_next(&b->run_jobs, &at, &h)) != NULL) {
        if (!job->closed && heard_us > job->renewed_us &&
            name_equal(job->taker, from) && is_listed(r, job->id)) {
            job->renewed_us = heard_us;
        }
    }
}

static void
send_check(struct broker *b, struct name taker, int64_t interval_us)
{
    struct broker_peer *p = peers_find(b, taker);
    struct msg m = {.kind = MSG_JOB_CHECK};

    if (p == NULL || !p->up ||
        b->now.mono_us - p->last_check_us < interval_us) {
        return;
    }
    p->last_check_us = b->now.mono_us;
    m.u.job_check.sent_us = (uint64_t)b->now.mono_us;
    broker_send(b, taker, &m);
}

bool
renew_job_can_start(struct broker *b, const struct run_job *job)
{
    int64_t limit_us = lease_end_us(b, job);

    /* An upstream may have been granted a full lease by now. */
    if (limit_us < b->now.mono_us + b->opts.lease_us) {
        send_check(b, job->taker, CHECK_INTERVAL_US);
    }
    return leaves_start_time(b, limit_us);
}

/* Whether the taker has not confirmed the job for the time of a job lease,
 * counted from the offer at the earliest. */
static bool
is_unconfirmed(const struct broker *b, const struct run_job *job)
{
    int64_t since_us = b->now.mono_us - b->job_lease_us;

    return renew_confirmed_us(b, job) <= since_us &&
           job->accepted_us <= since_us;
}

void
renew_tick(struct broker *b)
{
    struct run_job *job;
    struct handle h;
    uint32_t at = 0;

    answer_requests(b);
    while ((job = table_next(&b->run_jobs, &at, &h)) != NULL) {
        if (job->closed ||
            b->now.mono_us - renew_confirmed_us(b, job) < CHECK_AFTER_US) {
            continue;
        }
        if (is_unconfirmed(b, job)) {
            run_abandon_job(b, job, BROKER_NOT_RENEWED);
        }
        else {
            send_check(b, job->taker, RENEW_INTERVAL_US);
        }
    }
}
