/**
 * DOC: quota - limits of teams and services in the whole region
 *
 * Each instance has a share of every limit.  The demand of other instances is
 * known from their heartbeats, and a limit that is exceeded by the total
 * demand is divided in proportion to demand.  A zone in which no instance is
 * known to be up keeps an equal part of the limit, so that zones cut off from
 * one another by a network partition do not exceed it together.  A limit can
 * be exceeded only while heartbeats lag: by the share an instance may gain in
 * one heartbeat interval, and between the start of a partition and its
 * detection, when shares still follow the last loads received.
 */
#ifndef BM_QUOTA_H
#define BM_QUOTA_H

#include "dispatch_state.h"

/** quotas_new() - ends the process when memory is out */
struct quotas *quotas_new(void);
void quotas_free(struct quotas *qs);

/** quotas_reload() - reads the limits from a new configuration */
void quotas_reload(struct entry *e);

/** quotas_attach() - sets the quotas of a service and counts its running tasks
 * in them */
void quotas_attach(struct entry *e, struct service_state *s);

/** quotas_allow_start() - whether a task of the service may start now */
bool quotas_allow_start(struct entry *e, struct service_state *s);

/** quotas_task_started() - counts a task of the service that was started */
void quotas_task_started(struct entry *e, struct service_state *s);

/** quotas_task_ended() - counts a started task of the service as ended; wakes
 * services blocked by its quotas */
void quotas_task_ended(struct entry *e, struct service_state *s);

/** quotas_max_slots() - how many tasks of the service its quotas let run here
 * at a time; UINT32_MAX without a limit */
uint32_t quotas_max_slots(struct entry *e, const struct service_state *s);

/** quotas_tick() - divides the limits again */
void quotas_tick(struct entry *e);

/** quotas_next_us() - monotonic time of the next quotas_tick() */
int64_t quotas_next_us(const struct entry *e);

#endif
