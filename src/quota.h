/**
 * DOC: quota - limits of teams and services in the whole region
 *
 * Each instance has a share of every limit: what others ask for is known from
 * their heartbeats, and a limit that is asked for more than once over is
 * divided in that proportion.  A zone that nobody hears from keeps an even
 * part of the limit for itself, so zones that are cut off from one another do
 * not pass it together.  It can be passed only where heartbeats lag: by what
 * an instance may gain in one heartbeat interval, and between the moment of a
 * cut and its discovery, when shares still follow the last load heard.
 */
#ifndef BM_QUOTA_H
#define BM_QUOTA_H

#include "dispatch_state.h"

struct quotas *quotas_new(void);
void quotas_free(struct quotas *qs);

/** quotas_reload() - limits are read from the configuration again */
void quotas_reload(struct entry *e);

/** quotas_attach() - finds the limits that concern a service */
void quotas_attach(struct entry *e, struct service_state *s);

/** quotas_allow_start() - whether one more task of the service may start now
 */
bool quotas_allow_start(struct entry *e, struct service_state *s);

/** quotas_task_started() - a task of the service was started */
void quotas_task_started(struct entry *e, struct service_state *s);

/** quotas_task_ended() - one that was started ended */
void quotas_task_ended(struct entry *e, struct service_state *s);

/** quotas_max_slots() - tasks of the service that may run here at a time, by
 * quota; UINT32_MAX without one */
uint32_t quotas_max_slots(struct entry *e, const struct service_state *s);

void quotas_tick(struct entry *e);
int64_t quotas_next_us(const struct entry *e);

#endif
