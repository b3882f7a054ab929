/**
 * DOC: timers - which element is due next (a binary heap)
 *
 * Timers are never cancelled: the owner of the handle checks, when one is
 * due, whether the element still exists and still wants it.
 */
#ifndef BM_TIMERS_H
#define BM_TIMERS_H

#include "table.h"

struct timer {
    int64_t at_us;
    struct handle h;
};

struct timers {
    struct timer *items;
    size_t n;
    size_t room;
};

/** timers_clear() - frees the memory */
void timers_clear(struct timers *t);

/** timers_add() - ends the process when memory is out: a timer that never
 * comes is an answer that never comes */
void timers_add(struct timers *t, int64_t at_us, struct handle h);

/** timers_next_us() - time of the earliest one; INT64_MAX when empty */
int64_t timers_next_us(const struct timers *t);

/** timers_pop() - takes out the earliest one that is due at @now_us */
bool timers_pop(struct timers *t, int64_t now_us, struct handle *h);

#endif
