/**
 * DOC: replay - loads near and above the room, and faults, replayed
 *
 * Each replay is a virtual region under one pattern of load and faults: two
 * seconds as usual, six at their worst, two as usual again.  What the jobs of
 * the last eight earned stands beside what no policy could have exceeded
 * (vcredit).
 */
#ifndef BM_REPLAY_H
#define BM_REPLAY_H

#include <stdio.h>

#include "vcredit.h"

/* REPLAY(NAME, the pattern) */
/* clang-format off */
#define REPLAY_LIST(REPLAY)                                                   \
    REPLAY(usual, "a usual load, nothing else")                               \
    REPLAY(twice, "twice the usual load")                                     \
    REPLAY(cut_third, "a third of the upstreams cut off in a burst")          \
    REPLAY(one_way, "a third of them carry out and are not heard, in a burst")\
    REPLAY(poor_zone, "one zone with few upstreams and slow ones")            \
    REPLAY(shift, "half of a zone's callers come to another one")             \
    REPLAY(hang, "what runs on a sixth of the upstreams stands still")        \
    REPLAY(fail, "a sixth of the upstreams fails all that it starts")         \
    REPLAY(slow, "a sixth of the upstreams turns six times slower")           \
    REPLAY(delay, "a sixth of the upstreams carries out orders late")         \
    REPLAY(leave, "a third of the callers leaves soon, in a burst")           \
    REPLAY(dark, "all power is lost and comes back")                          \
    REPLAY(crowd, "many brokers, long jobs, demand near the room")            \
    REPLAY(dark_many, "the same, many brokers, long jobs hold most of the room") \
    REPLAY(roll, "brokers are stopped and started in turn, a second apart")   \
    REPLAY(speeds, "upstreams of three speeds, stragglers, 0.9 of what fits") \
    REPLAY(speeds_over, "the same, demand 1.3 times what fits in a burst")    \
    REPLAY(urgent, "bursts of urgent wide jobs and of long ones at once")     \
    REPLAY(mix, "small, wide and long jobs whose sizes fill badly, in a burst") \
    REPLAY(unlike, "brokers of unlike capacity, the largest of a zone is lost")
/* clang-format on */

enum replay {
#define REPLAY(name, text) REPLAY_##name,
    REPLAY_LIST(REPLAY)
#undef REPLAY
        REPLAYS,
};

/** struct replay_options - what to run
 * @seeds: of each replay; figures are sums over them
 * @bounded: with bounds
 * @without: parts that are left out
 * @callbacks: of the region
 * @only: the only replay to print, or NULL
 */
struct replay_options {
    uint32_t seeds;
    bool bounded;
    bool without[BROKER_FEATURES];
    struct vlease_callbacks callbacks;
    const char *only;
};

/** replay_run() - all seeds of one; false where a promise was broken */
bool replay_run(enum replay which, const struct replay_options *o,
                struct vcredit *out);

/** replay_of_name() - the replay of that name, or REPLAYS */
enum replay replay_of_name(const char *name);

/** replay_draw() - a region whose sizes, widths, speeds, urgencies and load
 * are drawn from @seed, under twice the load that fits; like replay_run() */
bool replay_draw(uint64_t seed, const struct replay_options *o,
                 struct vcredit *out);

/** replay_part() - the part of that name, or BROKER_FEATURES */
enum broker_feature replay_part(const char *name);

/** replays_print() - a table of all replays, and of @draws drawn ones; false
 * where a promise was broken */
bool replays_print(const struct replay_options *o, uint32_t draws, FILE *out);

#endif
