/**
 * DOC: dispatch - queues tasks per service and places them on upstreams
 */
#ifndef BM_DISPATCH_H
#define BM_DISPATCH_H

#include "entry_state.h"
#include "jobs.h"
#include "upstream.h"

/** struct admission - whether a job is admitted to the queue; the fields from
 * @problem on are set only if it is not */
struct admission {
    bool admitted;
    enum problem problem;
    enum reason reason;
    int64_t retry_after_us; /* already jittered */
    char detail[DETAIL_SIZE];
};

struct dispatch *dispatch_new(const struct entry *e);
void dispatch_free(struct dispatch *d);

/** dispatch_admit() - checks resource needs, quota, queue limits and whether
 * the job can meet its deadline; does not queue the job */
struct admission dispatch_admit(struct entry *e, const struct job *job);

/** dispatch_enqueue() - queues all TASK_WAITING tasks of a claimed job */
void dispatch_enqueue(struct entry *e, struct job *job);

/** dispatch_drop_job() - removes the queued tasks of a job and detaches its
 * starts in flight; their slots become free when they end */
void dispatch_drop_job(struct entry *e, struct job *job);

void dispatch_on_ended(struct entry *e, const struct ev_ended *ev);
void dispatch_on_revoked(struct entry *e, const struct ev_revoked *ev);

/** dispatch_on_message() - SLOT_REQUEST, SLOT_GRANT, SLOT_RETURN and
 * SLOT_RECALL */
void dispatch_on_message(struct entry *e, struct name from,
                         const struct msg *m);

/** dispatch_upstream_changed() - the slots, holder, service or availability of
 * @u may have changed */
void dispatch_upstream_changed(struct entry *e, struct upstream *u);

/** dispatch_upstream_gone() - stops starting tasks on an upstream that is
 * being removed; the outcome of its starts in flight is queried */
void dispatch_upstream_gone(struct entry *e, struct handle upstream);

/** dispatch_member_down() - drops slots borrowed from @member and ends its
 * loans */
void dispatch_member_down(struct entry *e, struct name member);

/** dispatch_evacuation_changed() - uses or leaves the places in zones whose
 * evacuation ended or began */
void dispatch_evacuation_changed(struct entry *e);

/** dispatch_config_changed() - reloads quotas and queue orders */
void dispatch_config_changed(struct entry *e);

/** dispatch_run() - serves the queues of all dirty services; called at the end
 * of each step */
void dispatch_run(struct entry *e);

/** dispatch_accepts_service() - whether an upstream of @service may be
 * announced: the service is configured, already has upstreams, or the limit on
 * unconfigured services is not reached */
bool dispatch_accepts_service(const struct entry *e, struct name service);

/** dispatch_collect_loads() - load of each service, for a heartbeat; @loads is
 * from malloc() and owned by the caller.  Returns the number of loads. */
size_t dispatch_collect_loads(const struct entry *e, struct rec_load **loads);

void dispatch_tick(struct entry *e);
int64_t dispatch_next_us(const struct entry *e);
uint32_t dispatch_count_queued(const struct entry *e);
uint32_t dispatch_count_running(const struct entry *e);

#endif
