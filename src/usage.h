/**
 * DOC: usage - processor time used by this process, and the delay of events
 *
 * A slow process handles events later than they arrive.  The delay is the mean
 * over the messages of other processes, from their receipt to their handling,
 * and over the timers, from when they were due; the timers show it also where
 * the thread that receives messages is as slow.
 */
#ifndef BM_USAGE_H
#define BM_USAGE_H

#include "clock.h"

/** struct usage_sample - what was measured in @window_us
 * @window_us: at least a second
 * @cpu_us: processor time used by the process
 * @delay_us: mean time that an event waited to be handled; 0 without events
 */
struct usage_sample {
    int64_t window_us;
    int64_t cpu_us;
    int64_t delay_us;
};

/**
 * struct usage_meter - a measurement in progress; used by one thread
 * @clock: the runtime's
 * @read_cpu_us: processor time used by the process since its start
 * @begun_us: when the window began; 0: at the next usage_take()
 * @begun_cpu_us: processor time used until then
 * @waited_us: total over @n_events
 * @n_events: handled in the window
 */
struct usage_meter {
    const struct clock *clock;
    int64_t (*read_cpu_us)(void);
    int64_t begun_us;
    int64_t begun_cpu_us;
    int64_t waited_us;
    uint64_t n_events;
};

/** usage_process_cpu_us() - processor time used by all threads of this
 * process, in us, by CLOCK_PROCESS_CPUTIME_ID */
int64_t usage_process_cpu_us(void);

/** usage_add_event() - an event is handled now that arrived, or was due, at
 * @since_us of the clock; 0 or a later time: not known, and not counted */
void usage_add_event(struct usage_meter *m, int64_t since_us);

/** usage_take() - true at the end of a window: sets *@sample, and begins the
 * next one */
bool usage_take(struct usage_meter *m, struct usage_sample *sample);

#endif
