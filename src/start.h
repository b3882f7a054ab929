/**
 * DOC: start - task starts in flight, from the request to a known outcome
 *
 * A start ends when its outcome is known: the task ran, or did not run and
 * never will.  If the start request's connection gives no outcome, revokes
 * naming the job key and task index are sent to the upstream until it reports
 * one, turns out to be another incarnation, or is still unreachable after the
 * job's deadline.  Until then the start occupies its slot.
 */
#ifndef BM_START_H
#define BM_START_H

#include "dispatch_state.h"
#include "jobs.h"

struct starts *starts_new(void);
void starts_free(struct starts *ss);

/** starts_send() - sends the start of a queued task to the upstream of @p and
 * takes a slot there */
void starts_send(struct entry *e, struct job *job, uint32_t index,
                 struct place *p);

/** starts_detach_job() - detaches a start from its job, which has ended.  The
 * slot stays in use until the outcome of the start is known. */
void starts_detach_job(struct entry *e, struct handle start);

/** starts_on_ended() - handles the outcome of a start request */
void starts_on_ended(struct entry *e, const struct ev_ended *ev);

/** starts_on_revoked() - handles the outcome of a revoke */
void starts_on_revoked(struct entry *e, const struct ev_revoked *ev);

/** starts_on_upstream_removed() - revokes all starts in flight on an upstream
 * whose record is being removed */
void starts_on_upstream_removed(struct entry *e, struct upstream *u);

/** starts_tick() - sends the revokes that are due */
void starts_tick(struct entry *e);

/** starts_next_us() - monotonic time of the next call of starts_tick() */
int64_t starts_next_us(const struct entry *e);

/** starts_count() - number of starts in flight */
uint32_t starts_count(const struct entry *e);

#endif
