/**
 * DOC: histogram - how long things took, in fixed buckets
 *
 * Not atomic: whoever owns the state that a histogram is part of adds to it
 * and prints it.
 */
#ifndef BM_HISTOGRAM_H
#define BM_HISTOGRAM_H

#include <stdint.h>
#include <stdio.h>

/* Upper bounds in microseconds: HISTOGRAM_BOUND(us, as Prometheus reads it, in
 * seconds).  From one round trip in a zone to what no caller waits for. */
/* clang-format off */
#define HISTOGRAM_BOUND_LIST(HISTOGRAM_BOUND)                                 \
    HISTOGRAM_BOUND(500, "0.0005")                                            \
    HISTOGRAM_BOUND(1000, "0.001")                                            \
    HISTOGRAM_BOUND(2000, "0.002")                                            \
    HISTOGRAM_BOUND(5000, "0.005")                                            \
    HISTOGRAM_BOUND(10000, "0.01")                                            \
    HISTOGRAM_BOUND(20000, "0.02")                                            \
    HISTOGRAM_BOUND(50000, "0.05")                                            \
    HISTOGRAM_BOUND(100000, "0.1")                                            \
    HISTOGRAM_BOUND(200000, "0.2")                                            \
    HISTOGRAM_BOUND(500000, "0.5")                                            \
    HISTOGRAM_BOUND(1000000, "1")                                             \
    HISTOGRAM_BOUND(2000000, "2")                                             \
    HISTOGRAM_BOUND(5000000, "5")                                             \
    HISTOGRAM_BOUND(10000000, "10")
/* clang-format on */

enum {
#define HISTOGRAM_BOUND(us, text) HISTOGRAM_TO_##us,
    HISTOGRAM_BOUND_LIST(HISTOGRAM_BOUND)
#undef HISTOGRAM_BOUND
        HISTOGRAM_BOUNDS,
};

/** struct histogram - zeroed at first; the last bucket is beyond all bounds */
struct histogram {
    uint64_t buckets[HISTOGRAM_BOUNDS + 1];
    uint64_t sum_us;
};

/** histogram_add() - one that took @us; below 0 counts as 0 */
void histogram_add(struct histogram *h, int64_t us);

/** histogram_count() - of all that were added */
uint64_t histogram_count(const struct histogram *h);

/** histogram_print() - in the Prometheus text format, as
 * boragemoor_@name_seconds; @labels such as "outcome=\"failed\"" may be empty.
 * HELP and TYPE come with @help, which is NULL for the second of a name and
 * on.
 */
void histogram_print(FILE *out, const char *name, const char *help,
                     const char *labels, const struct histogram *h);

#endif
