/**
 * DOC: entry - the reducer of an entry instance
 *
 * All decisions of bm-entry: entry_step() takes one event and appends effects.
 * It reads no clock, does no I/O and draws no randomness but from its seed, so
 * the same events give the same effects in the daemon, in tests and in the
 * bench.  Not thread-safe: one thread owns an entry.
 */
#ifndef BM_ENTRY_H
#define BM_ENTRY_H

#include <stdio.h>

#include "effect.h"
#include "event.h"

struct entry;

/** enum placement - who may start tasks on an upstream */
enum placement {
    PLACE_HOLDER, /* the holder, and those it lends slots to */
    PLACE_DIRECT, /* every instance, by two random choices */
    PLACE_RANDOM, /* every instance, at random (baseline) */
};

/** struct entry_peer - an entry instance of the region, from the settings */
struct entry_peer {
    struct name name;
    struct name zone;
};

/**
 * struct entry_options - how to construct an entry
 * @self: name of this instance; one of @peers
 * @incarnation: rises with every start of this instance; wall time in us
 * @peers: all entry instances of the region, this one included; the same on
 *         every instance: claim voters follow from it
 * @controls: bm-control processes to follow for configuration; none in tests
 *            and where the shell brings EV_CONFIG itself
 * @new_region: nothing was ever submitted in this region, so an empty voter
 *              forgets nothing and votes at once
 * @seed: for ties and jitter
 */
struct entry_options {
    struct name self;
    uint64_t incarnation;
    const struct entry_peer *peers;
    size_t n_peers;
    const struct name *controls;
    size_t n_controls;
    bool new_region;
    uint64_t seed;
    enum placement placement;
    int64_t claim_window_us;     /* how long keys are remembered */
    int64_t clock_skew_us;       /* bound between wall clocks */
    int64_t claim_timeout_us;    /* one round of votes */
    int64_t heartbeat_us;        /* between heartbeats */
    int64_t member_timeout_us;   /* silence after which a member is down */
    int64_t renew_us;            /* between announcements */
    int64_t upstream_ttl_us;     /* silence after which an upstream is gone */
    int64_t grant_us;            /* lease of lent slots */
    int64_t answer_keep_us;      /* how long whole answers are kept */
    size_t answer_keep_bytes;    /* and how many bytes of them */
    uint32_t queue_max;          /* tasks queued at this instance */
    uint32_t retry_percent;      /* re-placements a hundred starts may cause */
    uint32_t quarantine_after;   /* failures in a row */
    uint32_t quarantine_percent; /* most upstreams of a service at once */
    bool fewer_messages;         /* prefer fewer messages over response time */
    bool mutants[MUTANTS];       /* with BM_MUTANTS: wrong decisions to make */
};

/** entry_options_default() - every field but self, peers and incarnation */
struct entry_options entry_options_default(void);

/** entry_new() - NULL when @o is not usable (self not in peers, no memory) */
struct entry *entry_new(const struct entry_options *o);

/** entry_free() - NULL is allowed */
void entry_free(struct entry *e);

/** entry_step() - applies one event; effects are appended to @fx */
void entry_step(struct entry *e, const struct event *ev, struct effects *fx);

/** entry_next_us() - monotonic time of the next timer; a TICK is due then */
int64_t entry_next_us(const struct entry *e);

/** entry_healthy() - takes new jobs: not stopping and has a configuration */
bool entry_healthy(const struct entry *e);

/** entry_config_version() - the version in force here; 0 is none */
uint64_t entry_config_version(const struct entry *e);

/** entry_config() - the configuration in force, or NULL; for checks */
const struct config *entry_config(const struct entry *e);

/* Counters: COUNTER(name, help).  All only rise. */
/* clang-format off */
#define COUNTER_LIST(COUNTER)                                                 \
    COUNTER(jobs_submitted, "jobs submitted here")                            \
    COUNTER(jobs_complete, "jobs answered complete")                          \
    COUNTER(jobs_failed, "jobs answered failed")                              \
    COUNTER(jobs_refused, "jobs refused without a start")                     \
    COUNTER(jobs_joined, "submissions that joined an earlier one")            \
    COUNTER(tasks_started, "starts sent to upstreams")                        \
    COUNTER(tasks_done, "tasks whose result is known")                        \
    COUNTER(starts_refused, "starts that upstreams refused")                  \
    COUNTER(starts_lost, "starts that went silent")                           \
    COUNTER(tasks_requeued, "tasks placed again after proof")                 \
    COUNTER(tasks_unknown, "tasks reported unknown")                          \
    COUNTER(outcomes_dropped, "late or doubled outcomes dropped")             \
    COUNTER(revokes_sent, "questions for a task")                             \
    COUNTER(fences_sent, "take-overs of upstreams")                           \
    COUNTER(messages_sent, "messages to other instances")                     \
    COUNTER(messages_bad, "messages that made no sense here")                 \
    COUNTER(claims_granted, "claims recorded as a voter")                     \
    COUNTER(claims_won, "keys claimed with a majority")                       \
    COUNTER(claims_yielded, "split votes given up to another claimer")        \
    COUNTER(claims_unavailable, "keys that no majority was found for")        \
    COUNTER(slots_lent, "slots lent to other instances")                      \
    COUNTER(slots_borrowed, "slots borrowed")                                 \
    COUNTER(quarantines, "upstreams quarantined")                             \
    COUNTER(pauses, "times this process was paused")
/* clang-format on */

struct entry_counters {
#define COUNTER(name, help) uint64_t name;
    COUNTER_LIST(COUNTER)
#undef COUNTER
};

/** entry_counters() - a copy of the counters */
struct entry_counters entry_counters(const struct entry *e);

/**
 * struct entry_gauges - sizes of the state, for metrics and capacity
 */
struct entry_gauges {
    uint64_t jobs;
    uint64_t tasks_queued;
    uint64_t tasks_running;
    uint64_t claims;
    uint64_t upstreams;
    uint64_t upstreams_held;
    uint64_t members_up;
    uint64_t slots_free;
    uint64_t answer_bytes;
};

/** entry_gauges() - counted now */
struct entry_gauges entry_gauges(const struct entry *e);

#endif
