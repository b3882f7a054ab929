/**
 * DOC: decisions - digest of what the brokers of a replay decide
 *
 * Two builds decide alike if the digests of a replay are equal.  Each decision
 * is written as a line of text and the digest is that of all lines, so the
 * lists of two builds can be compared to find the first difference
 * (bm-bench --decisions REPLAY).
 */
#ifndef BM_DECISIONS_H
#define BM_DECISIONS_H

#include <stdio.h>

#include "replay.h"

/**
 * struct decisions - of all brokers of a replay
 * @starts: calls that start a task
 * @stops: calls that stop a run
 * @answers: to callers
 * @offers: of jobs to runners
 * @new_messages: messages of kinds that were added with the features from
 *                BROKER_FEATURE_INSTANCE_CAPACITY on; not part of @digest
 * @digest: of all lines, XXH64
 * @kept: no promise was broken
 */
struct decisions {
    uint64_t starts;
    uint64_t stops;
    uint64_t answers;
    uint64_t offers;
    uint64_t new_messages;
    uint64_t digest;
    bool kept;
};

/** decisions_of_replay() - runs the first seed of a replay with all features
 * disabled that the settings can disable; writes the lines to @out, which may
 * be NULL */
struct decisions decisions_of_replay(enum replay which, FILE *out);

/** decisions_print() - prints a line of tests/baseline_decisions.txt: name,
 * digest and the numbers of starts, stops, answers and offers */
void decisions_print(const char *name, const struct decisions *d, FILE *out);

#endif
