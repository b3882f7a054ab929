/**
 * DOC: handover - a stopping instance hands its kept answers to a successor
 *
 * The answers are sent in batches, each acknowledged, within
 * HANDOVER_TIMEOUT_US. Only answers of ended jobs are handed over: they start
 * no task, and claims are not changed.
 */
#ifndef BM_HANDOVER_H
#define BM_HANDOVER_H

#include "entry_state.h"

/* Time limit of the handover, all successors together: a stop is delayed no
 * longer than this. */
#define HANDOVER_TIMEOUT_US (2 * USEC_PER_SEC)

/** handover_new() - ends the process when memory is out */
struct handover *handover_new(void);
void handover_free(struct handover *h);

/** handover_advance() - starts or continues the handover; returns whether it
 * is over.  Called in each step of a stopping instance after its jobs have
 * ended. */
bool handover_advance(struct entry *e);

/** handover_on_message() - handles ANSWER_HANDOVER and ANSWER_TAKEN */
void handover_on_message(struct entry *e, struct name from,
                         const struct msg *m);

/** handover_next_us() - monotonic time at which handover_advance() has work;
 * INT64_MAX if no handover is in progress */
int64_t handover_next_us(const struct entry *e);

#endif
