/*
 * Planned stop of a broker while no other broker can take over its upstreams.
 *
 * In a rolling restart that goes faster than brokers come back, all brokers of
 * a zone may be stopping at the same time.  If they released their upstreams,
 * these would stay idle until a broker is back: a third of a region's capacity
 * for seconds, while the other zones refuse jobs that they have no capacity
 * for.  So a stopping broker that holds upstreams and has no successor in its
 * zone keeps running jobs.  It ends this when a successor appears, or when the
 * time left only suffices for its current runs to end.
 */
#include "broker_state.h"

/* Time reserved at the end of a stop: for a long task, and for the answer to
 * its caller. */
#define RUN_END_RESERVE_US (2500 * USEC_PER_MSEC)
/* Run time allowed for a job, as a multiple of the expected one. */
enum { RUN_TIME_FACTOR = 2 };

static int64_t
last_serve_us(const struct broker *b)
{
    return b->stop_begun_us + b->opts.stop_timeout_us - RUN_END_RESERVE_US;
}

void
shutdown_begin(struct broker *b)
{
    b->serves_while_stopping = hold_has_any(b) && !peers_have_successor(b);
    if (b->serves_while_stopping) {
        /* The other brokers must know at once that jobs are still run here. */
        b->next_load_us = b->now.mono_us;
        broker_log(b, LOG_NOTICE, BROKER_LINGERS, 0, -1, b->opts.self,
                   "no other broker in %s can take over the upstreams",
                   b->opts.zone.s);
    }
    else {
        run_return_unstarted(b, BROKER_STOPPING);
    }
}

void
shutdown_tick(struct broker *b)
{
    if (!b->serves_while_stopping ||
        (b->now.mono_us < last_serve_us(b) && hold_has_any(b) &&
         !peers_have_successor(b))) {
        return;
    }
    b->serves_while_stopping = false;
    b->review_due = true;
    b->next_load_us = b->now.mono_us;
    broker_log(b, LOG_NOTICE, BROKER_LINGERED, 0, -1, b->opts.self,
               "%zu jobs still run here", b->run_jobs.n);
    run_return_unstarted(b, BROKER_STOPPING);
}

int64_t
shutdown_next_us(const struct broker *b)
{
    return b->serves_while_stopping ? last_serve_us(b) : INT64_MAX;
}

bool
shutdown_accepts_job(const struct broker *b, const struct run_job *job)
{
    int64_t chain_us = job->objective_us - job->latest_start_us;
    int64_t left_us =
        b->stop_begun_us + b->opts.stop_timeout_us - b->now.mono_us;

    return b->serves_while_stopping &&
           RUN_TIME_FACTOR * chain_us < left_us - RUN_END_RESERVE_US / 2;
}
