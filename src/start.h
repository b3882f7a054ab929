/**
 * DOC: start - starts in flight, from the request to the proof of its end
 *
 * A start ends when the upstream's answer is known: it ran, or it did not and
 * never will.  Where the connection tells neither, the upstream is asked for
 * the task by its identity until it says so, is another incarnation, or cannot
 * be reached past the job's deadline.  Until then the slot counts as used.
 */
#ifndef BM_START_H
#define BM_START_H

#include "dispatch_state.h"
#include "jobs.h"

struct starts *starts_new(void);
void starts_free(struct starts *ss);

/** starts_send() - starts a queued task at a place */
void starts_send(struct entry *e, struct job *job, uint32_t index,
                 struct place *p);

/** starts_detach_job() - the job is over: how its start ends no longer matters
 * to it, but the slot stays used until the end is known */
void starts_detach_job(struct entry *e, struct handle start);

void starts_on_ended(struct entry *e, const struct ev_ended *ev);
void starts_on_revoked(struct entry *e, const struct ev_revoked *ev);

/** starts_on_upstream_removed() - asks for everything that was started there
 */
void starts_on_upstream_removed(struct entry *e, struct upstream *u);

void starts_tick(struct entry *e);
int64_t starts_next_us(const struct entry *e);

/** starts_count() - in flight */
uint32_t starts_count(const struct entry *e);

#endif
