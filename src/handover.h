/**
 * DOC: handover - an instance that stops gives its kept answers to another
 *
 * In batches, each acknowledged, within HANDOVER_TIMEOUT_US.  What is handed
 * over are answers of ended jobs: they start nothing, and the claims stay as
 * they are.
 */
#ifndef BM_HANDOVER_H
#define BM_HANDOVER_H

#include "entry_state.h"

/* A stop takes no longer because of it, whatever the successor does. */
#define HANDOVER_TIMEOUT_US (2 * USEC_PER_SEC)

struct handover *handover_new(void);
void handover_free(struct handover *h);

/** handover_advance() - goes on with it; true when nothing is left to do.
 * Called in every step of an instance that stops and whose jobs ended. */
bool handover_advance(struct entry *e);

/** handover_on_message() - ANSWER_HANDOVER and ANSWER_TAKEN */
void handover_on_message(struct entry *e, struct name from,
                         const struct msg *m);

int64_t handover_next_us(const struct entry *e);

#endif
