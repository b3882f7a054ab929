/**
 * DOC: place_choice - chooses among upstreams of different speeds
 *
 * The load: wide short jobs and jobs of a second compete for upstreams whose
 * speeds differ by up to 2.7 times.  A job ends with its last task, and a long
 * task on a slow upstream takes nearly all of its objective.  Where all speeds
 * are alike, each variant chooses what PLACE_ENDS_FIRST chooses.
 */
#ifndef BM_PLACE_CHOICE_H
#define BM_PLACE_CHOICE_H

#include <stdbool.h>
#include <stdint.h>

/** enum place_variant - how to choose, while few processors are free */
enum place_variant {
    PLACE_SLOWEST_IN_TIME, /* the slowest upstream where it ends in time */
    PLACE_ENDS_FIRST,      /* where the task ends first */
    PLACE_RESERVE_FAST,    /* short tasks go to fast upstreams last */
    PLACE_VARIANTS,
};

/**
 * struct place_need - the task to place
 * @variant: how to choose
 * @scarce: little is free, see place_is_scarce()
 * @long_task: it takes longer than the mean task of its service
 * @left_us: until the objective of its job; negative: passed
 * @tail: 95th percentile of its run time, over the expected one
 */
struct place_need {
    enum place_variant variant;
    bool scarce;
    bool long_task;
    int64_t left_us;
    double tail;
};

/**
 * struct place_candidate - an upstream that can take the task now
 * @run_us: expected run time there
 * @speed: of the upstream; 1: usual
 * @left_milli: milli-cores left there after the start
 */
struct place_candidate {
    int64_t run_us;
    double speed;
    uint32_t left_milli;
};

/** place_is_scarce() - whether less than a quarter of the processors is
 * free */
bool place_is_scarce(uint64_t free_milli, uint64_t total_milli);

/** place_is_better() - whether the task should rather go to @c than to
 * @best */
bool place_is_better(const struct place_need *n,
                     const struct place_candidate *c,
                     const struct place_candidate *best);

#endif
