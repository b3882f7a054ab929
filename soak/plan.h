/**
 * DOC: plan - which faults a soak injects, and when
 *
 * Drawn from a seed alone.  Faults come in series and overlap; between series
 * there are calm spells, long enough for bounds that hold in calm only.
 */
#ifndef BM_SOAK_PLAN_H
#define BM_SOAK_PLAN_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#include "base.h"

/* Between the two faults of a pair. */
#define PAIR_US (1 * USEC_PER_SEC)

/* SOAK_FAULT(NAME, text, weight): drawn in proportion to their weights; those
 * without one come in pairs alone, one of them with paths and one with a
 * taker.
 */
/* clang-format off */
#define SOAK_FAULT_LIST(SOAK_FAULT)                                           \
    SOAK_FAULT(KILL_BROKER, "kill-broker", 6)                                 \
    SOAK_FAULT(KILL_MEMBER, "kill-member", 5)                                 \
    SOAK_FAULT(KILL_MEMBERS, "kill-all-members", 2)                           \
    SOAK_FAULT(KILL_ALL, "kill-all", 1)                                       \
    SOAK_FAULT(WIPE_MEMBER, "wipe-member", 2)                                 \
    SOAK_FAULT(STOP_BROKER, "stop-broker", 6)                                 \
    SOAK_FAULT(STOP_MEMBER, "stop-member", 3)                                 \
    SOAK_FAULT(STOP_IN_TURN, "stop-brokers-in-turn", 2)                       \
    SOAK_FAULT(PAUSE_BROKER, "pause-broker", 4)                               \
    SOAK_FAULT(PAUSE_MEMBER, "pause-member", 4)                               \
    SOAK_FAULT(CUT_PROCESS, "cut-process", 5)                                 \
    SOAK_FAULT(MUTE_PROCESS, "mute-connections", 4)                           \
    SOAK_FAULT(RESET_PROCESS, "reset-connections", 4)                         \
    SOAK_FAULT(DELAY_PROCESS, "delay-process", 3)                             \
    SOAK_FAULT(CUT_WORKER, "cut-worker", 4)                                   \
    SOAK_FAULT(MUTE_WORKER, "mute-worker-connections", 3)                     \
    SOAK_FAULT(HANG_WORKER, "hang-worker", 3)                                 \
    SOAK_FAULT(REBIRTH, "worker-reborn", 3)                                   \
    SOAK_FAULT(LEAVE, "worker-leaves", 4)                                     \
    SOAK_FAULT(SETTINGS, "settings-changed", 2)                               \
    SOAK_FAULT(PUBLISH, "publish", 14)                                        \
    SOAK_FAULT(PUBLISH_LARGE, "publish-large", 3)                             \
    SOAK_FAULT(CUT_PATHS, "cut-paths", 0)                                     \
    SOAK_FAULT(SLOW_PATHS, "slow-paths", 0)                                   \
    SOAK_FAULT(LOSSY_PATHS, "lossy-paths", 0)                                 \
    SOAK_FAULT(STALL_PATHS, "stall-half-of-connections", 0)                   \
    SOAK_FAULT(KILL_TAKER, "kill-taker", 0)                                   \
    SOAK_FAULT(PAUSE_TAKER, "pause-taker", 0)                                 \
    SOAK_FAULT(DROP_CALLERS, "drop-callers", 0)                               \
    SOAK_FAULT(CUT_TAKER, "cut-taker", 0)                                     \
    SOAK_FAULT(EVACUATE, "evacuate-zone", 0)
/* clang-format on */

enum soak_fault_kind {
#define SOAK_FAULT(NAME, text, weight) SOAK_##NAME,
    SOAK_FAULT_LIST(SOAK_FAULT)
#undef SOAK_FAULT
        SOAK_FAULTS,
};

/**
 * struct soak_fault - one fault
 * @at_us: from the begin of the plan
 * @for_us: it lasts so long; a process that is killed starts again after it
 * @draw: chooses the target among those there are; the same for both faults
 *        of a pair
 * @way: of a cut: 0 both ways, 1 towards the other end, 2 back
 */
struct soak_fault {
    int64_t at_us;
    enum soak_fault_kind kind;
    int64_t for_us;
    uint64_t draw;
    unsigned int way;
};

struct soak_plan {
    struct soak_fault *faults; /* by time */
    size_t n;
};

/**
 * soak_plan_draw() - faults for @length_us; free it with soak_plan_free()
 * @pairs: besides those that are drawn without it, pairs all the time: paths
 *         to workers of a zone turn bad, and at most PAIR_US before or after
 * it a broker of that zone that has callers' jobs is hit
 */
struct soak_plan soak_plan_draw(uint64_t seed, int64_t length_us, bool pairs);

/** soak_plan_add_evacuations() - adds evacuations of zones, one after the
 * other, drawn independently of the faults */
void soak_plan_add_evacuations(struct soak_plan *p, uint64_t seed,
                               int64_t length_us);
void soak_plan_free(struct soak_plan *p);

const char *soak_fault_text(enum soak_fault_kind kind);

/** soak_fault_disturbs() - whether bounds that hold in calm are off while it
 * lasts: publications and planned stops of brokers leave them on */
bool soak_fault_disturbs(enum soak_fault_kind kind);

#endif
