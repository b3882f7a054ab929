/**
 * DOC: clock - the runtime's clock behind an interface
 *
 * Shells read the time only here, so that tests can pause and advance it.
 */
#ifndef BM_CLOCK_H
#define BM_CLOCK_H

#include <stdatomic.h>

#include "base.h"

struct clock;

/** struct clock_ops - what varies between clocks; called from any thread */
struct clock_ops {
    struct moment (*now)(const struct clock *c);
};

struct clock {
    const struct clock_ops *ops;
};

/**
 * struct manual_clock - stands still until manual_clock_advance()
 * @base: to be handed to modules
 */
struct manual_clock {
    struct clock base;
    atomic_llong mono_us;
    atomic_llong wall_us;
};

/** clock_real() - the machine's clock.  Its monotonic time is CLOCK_BOOTTIME:
 * with CLOCK_MONOTONIC a machine that slept would wake believing that its
 * leases still run. */
const struct clock *clock_real(void);

/** clock_sleep() - by the machine's clock, for at least @us */
void clock_sleep(int64_t us);

/** clock_now() - the time by that clock */
struct moment clock_now(const struct clock *c);

/** manual_clock_init() - a clock paused at @start */
void manual_clock_init(struct manual_clock *c, struct moment start);

/** manual_clock_advance() - moves both times on by @us */
void manual_clock_advance(struct manual_clock *c, int64_t us);

#endif
