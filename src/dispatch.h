/**
 * DOC: dispatch - the queue, the order and the placing of tasks
 */
#ifndef BM_DISPATCH_H
#define BM_DISPATCH_H

#include "entry_state.h"
#include "jobs.h"
#include "upstream.h"

/** struct admission - whether a job may enter the queue, and if not, why */
struct admission {
    bool admitted;
    enum problem problem;
    enum reason reason;
    int64_t retry_after_us; /* already jittered */
    char detail[DETAIL_SIZE];
};

struct dispatch *dispatch_new(const struct entry *e);
void dispatch_free(struct dispatch *d);

/** dispatch_admit() - by fit, quota, queue bounds and what can still be
 * answered in time; changes nothing */
struct admission dispatch_admit(struct entry *e, const struct job *job);

/** dispatch_enqueue() - takes all WAITING tasks of a claimed job */
void dispatch_enqueue(struct entry *e, struct job *job);

/** dispatch_drop_job() - drops a job's queued tasks without any message and
 * cuts the links of its sent ones; their slots free up when they end */
void dispatch_drop_job(struct entry *e, struct job *job);

void dispatch_on_ended(struct entry *e, const struct ev_ended *ev);
void dispatch_on_revoked(struct entry *e, const struct ev_revoked *ev);

/** dispatch_on_message() - SLOT_REQUEST, SLOT_GRANT, SLOT_RETURN and
 * SLOT_RECALL */
void dispatch_on_message(struct entry *e, struct name from,
                         const struct msg *m);

/** dispatch_upstream_changed() - its slots, its holder or whether it may be
 * used at all may differ from before */
void dispatch_upstream_changed(struct entry *e, struct upstream *u);

/** dispatch_upstream_gone() - no further starts there; sent ones are asked
 * for or, where its incarnation is over, unknown */
void dispatch_upstream_gone(struct entry *e, struct handle upstream);

/** dispatch_member_down() - what it lent is void, what it borrowed is back */
void dispatch_member_down(struct entry *e, struct name member);

/** dispatch_config_changed() - quotas and orders are read again */
void dispatch_config_changed(struct entry *e);

/** dispatch_run() - places what can be placed; called at the end of a step */
void dispatch_run(struct entry *e);

/** dispatch_accepts_service() - whether an upstream of that service may be
 * announced: one that has a configuration or other upstreams, or there are not
 * too many without */
bool dispatch_accepts_service(const struct entry *e, struct name service);

/** dispatch_collect_loads() - fills @loads for a heartbeat; returns their
 * number */
size_t dispatch_collect_loads(const struct entry *e, struct rec_load **loads);

void dispatch_tick(struct entry *e);
int64_t dispatch_next_us(const struct entry *e);
uint32_t dispatch_count_queued(const struct entry *e);
uint32_t dispatch_count_running(const struct entry *e);

#endif
