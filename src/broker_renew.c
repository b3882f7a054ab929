/*
 * Until when a job may run: the lease that it has from its taker.
 *
 * A caller whose connection broke, or who was told that the outcome is not
 * known, hands its job in again, at any broker, and that one may choose any
 * runner.  Nothing fences the runs of the first life there.  So a runner lets
 * no upstream run a job's tasks for longer than a job's lease after the job
 * was last known to be waited for.  However long the taker's loss goes
 * unnoticed, and whatever becomes of the stops, all runs are over by then.
 *
 * An upstream has one deadline for all that runs there, which never moves
 * back: it is extended as far as the job allows that was confirmed longest
 * ago, and a task starts only where the deadline is not beyond that of its
 * own job.
 *
 * A runner's loads and checks carry its clock; a taker returns the newest with
 * the list of jobs that it waits for.  Both are on the runner's own clock, so
 * delays on the way only make the lease shorter.
 */
#include <stdlib.h>

#include "broker_state.h"

/* A taker confirms a job so often. */
#define RENEW_INTERVAL_US (150 * USEC_PER_MSEC)
/* A taker that was not heard for so long is asked; loads ask all of them, but
 * not as often where there are many brokers. */
#define CHECK_AFTER_US (2 * RENEW_INTERVAL_US)
/* Between two checks of one taker by jobs that could start now. */
#define CHECK_INTERVAL_US (20 * USEC_PER_MSEC)
/* Kept of a caller's time, for coarse clocks and for its connection to break
 * at its taker's end. */
#define DISCONNECT_MARGIN_US (50 * USEC_PER_MSEC)
/* Work that could go on for less than this share of a lease does not start. */
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

/* Only once callers that left before the question came are known: after a
 * standstill, questions may be read before that. */
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
    /* Not of this clock where it lies ahead. */
    return heard_us <= (uint64_t)b->now.mono_us ? (int64_t)heard_us : 0;
}

int64_t
renew_confirmed_us(const struct broker *b, const struct run_job *job)
{
    bool here = !job->closed && name_equal(job->taker, b->opts.self);

    if (b->opts.breaks[BROKER_BREAK_UNCONFIRMED]) {
        return b->now.mono_us;
    }
    return here ? b->callers_known_us : job->renewed_us;
}

void
renew_end_interest(const struct broker *b, struct run_job *job)
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

    /* The longest lease that any upstream may have by now. */
    if (limit_us < b->now.mono_us + b->opts.lease_us) {
        send_check(b, job->taker, CHECK_INTERVAL_US);
    }
    return leaves_start_time(b, limit_us);
}

/* Whether its taker had the time of a lease to confirm it, and did not. */
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
