/**
 * DOC: vcredit - what a virtual region earned, and what it could have
 *
 * A job earns 1 where its answer came in time, LATE_CREDIT where it came by
 * three times its objective, and nothing else; counted by callers and by work.
 * The bound is what no policy could have exceeded with the room that there
 * was, see docs/design/measures.md.
 */
#ifndef BM_VCREDIT_H
#define BM_VCREDIT_H

#include "vlease.h"

/** struct vcredit_sum - of some jobs; @bound is 0 where it was not asked for
 */
struct vcredit_sum {
    double owed;
    double earned;
    double bound;
};

/**
 * struct vcredit - of the jobs that were asked for in a span of time
 * @callers: each counts alike
 * @work: each counts by its work
 * @queues: by callers, without bound
 * @zones: likewise, by the broker that was called
 */
struct vcredit {
    struct vcredit_sum callers;
    struct vcredit_sum work;
    struct vcredit_sum queues[VLEASE_QUEUES_MAX];
    struct vcredit_sum zones[VLEASE_ZONES_MAX];
};

/** vcredit_add() - adds what was asked for from @from_us until @until_us; all
 * of it must have been answered by now; @bounded: the bounds, too, which take
 * longer than the play */
void vcredit_add(const struct vlease *v, int64_t from_us, int64_t until_us,
                 bool bounded, struct vcredit *out);

#endif
