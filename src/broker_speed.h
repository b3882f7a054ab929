/**
 * DOC: broker_speed - the speeds of upstreams in a broker
 *
 * A holder samples the speeds of its upstreams and reports them to the brokers
 * of its zone, so that its successor knows them.  Speeds are used for a
 * service only while one of the upstreams held here differs from the usual
 * speed by more than 10 %; until then each counts as 1 and none is reported.
 */
#ifndef BM_BROKER_SPEED_H
#define BM_BROKER_SPEED_H

#include "broker_state.h"

/** speed_of() - the speed by which run times on the upstream are expected; 1
 * while speeds are not used or the incarnation has none */
double speed_of(const struct broker *b, const struct broker_upstream *u);

/** speed_record_run() - a task has succeeded on the upstream after @ran_us,
 * scaled to one near its data */
void speed_record_run(const struct broker_upstream *u, struct run_task *t,
                      double ran_us);

/** speed_is_straggler() - whether the run of a task, @ratio times as long as
 * expected or of another task of its job, is an exception that is not counted
 * against its upstream; asked for each run, also as it makes progress */
bool speed_is_straggler(struct broker_upstream *u, struct run_task *t,
                        double ratio);

/** speed_on_job_done() - all tasks of the job have succeeded: samples the
 * speeds of the upstreams where they ran */
void speed_on_job_done(struct broker *b, const struct run_job *job);

/** speed_review() - upstreams were taken, released or restarted: decides anew
 * whether speeds are used */
void speed_review(struct broker *b);

/** speed_send_known() - sends the speeds of the upstreams held here to a
 * broker of this zone that introduced itself, unless they are alike */
void speed_send_known(struct broker *b, struct name to);

/** speed_tick() - reports changed speeds to the zone, when due */
void speed_tick(struct broker *b);
int64_t speed_next_us(const struct broker *b);

/** speed_on_report() - stores the speeds that a broker measured, except those
 * of older incarnations and of upstreams that it does not hold any more */
void speed_on_report(struct broker *b, struct name from,
                     const struct rec_upstream_speeds *list);

void speed_fill_gauges(const struct broker *b, struct broker_gauges *g);

#endif
