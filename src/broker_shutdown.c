/*
 * A planned stop where nobody can take over.
 *
 * The load it answers: machines are stopped and started in turn, faster than
 * one after the other is back, and all brokers of a zone are stopping at one
 * time.  Upstreams that are let go then stay idle until one of them is back: a
 * third of a region's room for seconds, and the other zones refuse what they
 * can't take.  So a broker that holds upstreams and sees nobody in its zone to
 * take over goes on running jobs, until somebody shows up, or only as much
 * time is left as what runs by then needs to end.
 */
#include "broker_state.h"

/* Kept of the stop's time: a long task, and an answer to its caller. */
#define RUN_END_RESERVE_US (2500 * USEC_PER_MSEC)
/* A run may take that much longer than expected. */
enum { RUN_TIME_FACTOR = 2 };

static int64_t
last_serve_us(const struct broker *b)
{
    return b->stop_begun_us + b->opts.stop_timeout_us - RUN_END_RESERVE_US;
}

void
shutdown_begin(struct broker *b)
{
    b->draining = hold_has_any(b) && !peers_have_successor(b);
    if (b->draining) {
        b->next_load_us = b->now.mono_us; /* the others must know at once */
        broker_log(b, LOG_NOTICE, BROKER_LINGERS, 0, -1, b->opts.self,
                   "no other broker in %s can take over the upstreams",
                   b->opts.zone.s);
    }
    else {
        run_return_unstarted(b);
    }
}

void
shutdown_tick(struct broker *b)
{
    if (!b->draining || (b->now.mono_us < last_serve_us(b) &&
                         hold_has_any(b) && !peers_have_successor(b))) {
        return;
    }
    b->draining = false;
    b->review_due = true;
    b->next_load_us = b->now.mono_us;
    broker_log(b, LOG_NOTICE, BROKER_LINGERED, 0, -1, b->opts.self,
               "%zu jobs still run here", b->run_jobs.n);
    run_return_unstarted(b);
}

int64_t
shutdown_next_us(const struct broker *b)
{
    return b->draining ? last_serve_us(b) : INT64_MAX;
}

bool
shutdown_accepts_job(const struct broker *b, const struct run_job *job)
{
    int64_t chain_us = job->objective_us - job->latest_start_us;
    int64_t left_us =
        b->stop_begun_us + b->opts.stop_timeout_us - b->now.mono_us;

    return b->draining &&
           RUN_TIME_FACTOR * chain_us < left_us - RUN_END_RESERVE_US / 2;
}
