/**
 * DOC: entry - the reducer of an entry instance
 *
 * Makes all decisions of bm-entry: entry_step() takes one event and appends
 * effects.  It reads no clock, does no I/O and uses no randomness other than a
 * generator seeded from the options, so the same sequence of events always
 * gives the same effects.  Not thread-safe: an entry belongs to one thread.
 */
#ifndef BM_ENTRY_H
#define BM_ENTRY_H

#include <stdio.h>

#include "effect.h"
#include "event.h"

struct entry;

/** enum placement - which instances may start tasks on an upstream */
enum placement {
    PLACE_HOLDER, /* its holder, and instances that borrowed slots from it */
    PLACE_DIRECT, /* every instance, by the power of two random choices */
    PLACE_RANDOM, /* every instance, at random (baseline) */
};

/** struct entry_peer - an entry instance of the region */
struct entry_peer {
    struct name name;
    struct name zone;
};

/**
 * struct entry_options - parameters of entry_new()
 * @self: name of this instance; one of @peers
 * @incarnation: increases with every start of this instance; wall time in us
 * @peers: all entry instances of the region, including this one; must be the
 *         same on every instance, since the claim voters are derived from it
 * @controls: bm-control processes to follow for configuration; may be empty
 *            where the caller supplies EV_CONFIG
 * @new_region: no job was ever submitted in this region, so a voter without
 *              records is complete and votes at once
 * @seed: of the generator used for tie breaking and jitter
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
    int64_t claim_window_us;     /* how long claims are kept */
    int64_t clock_skew_us;       /* bound on wall clock differences */
    int64_t claim_timeout_us;    /* one round of votes */
    int64_t heartbeat_us;        /* between heartbeats */
    int64_t member_timeout_us;   /* silence after which a member is down */
    int64_t renew_us;            /* upstreams announce this often */
    int64_t upstream_ttl_us;     /* silence after which it is gone */
    int64_t grant_us;            /* lease of lent slots */
    int64_t answer_keep_us;      /* how long answers are kept */
    size_t answer_keep_bytes;    /* memory limit of kept answers */
    uint32_t queue_max;          /* tasks queued at this instance */
    uint32_t retry_percent;      /* retries allowed per 100 starts */
    uint32_t quarantine_after;   /* consecutive failures */
    uint32_t quarantine_percent; /* of a service's upstreams, at most */
    bool fewer_messages;         /* at the cost of response time */
    bool mutants[MUTANTS];       /* with BM_MUTANTS: enabled faults */
};

/** entry_options_default() - defaults for all fields except self, peers and
 * incarnation */
struct entry_options entry_options_default(void);

/** entry_new() - copies @o; NULL if self is not one of the peers, there are
 * more than INSTANCES_MAX peers, or memory is out */
struct entry *entry_new(const struct entry_options *o);

/** entry_free() - NULL is allowed */
void entry_free(struct entry *e);

/** entry_step() - processes one event; appends effects to @fx */
void entry_step(struct entry *e, const struct event *ev, struct effects *fx);

/** entry_next_us() - monotonic time of the next timer, when EV_TICK is due */
int64_t entry_next_us(const struct entry *e);

/** entry_healthy() - whether new jobs are accepted: the instance has a
 * configuration and is not stopping */
bool entry_healthy(const struct entry *e);

/** entry_config_version() - version of the current configuration; 0: none */
uint64_t entry_config_version(const struct entry *e);

/** entry_config() - the current configuration, or NULL */
const struct config *entry_config(const struct entry *e);

/* Monotonic counters: COUNTER(name, help) */
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

/** struct entry_gauges - current sizes of the state */
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
    uint64_t evacuated_zones;
};

/** entry_gauges() - computes the gauges from the current state */
struct entry_gauges entry_gauges(const struct entry *e);

#endif
