/**
 * DOC: control - the reducer of a control member
 *
 * Replicates the log of accepted configurations.  control_step() takes one
 * event and appends effects; it reads no clock, does no I/O, and uses no
 * randomness except a generator with a given seed.  A message that confirms
 * state on disk is sent only after CEV_SAVED has reported the sync of that
 * state.  The protocol is Raft (Ongaro and Ousterhout, 2014) with pre-vote,
 * check-quorum, membership changes of one member at a time, and read index
 * (reads confirmed by a round of heartbeats).
 */
#ifndef BM_CONTROL_H
#define BM_CONTROL_H

#include "control_effect.h"
#include "control_event.h"
#include "fsm.h"
#include "histogram.h"
#include "served_text.h"
#include "storage.h"

struct control;

/* Faults that tests inject to prove that the checks find them:
 * CONTROL_BREAK(NAME, what the faulty member does). */
/* clang-format off */
#define CONTROL_BREAK_LIST(CONTROL_BREAK)                                     \
    CONTROL_BREAK(ACK_BEFORE_SYNC, "counts entries before their sync")        \
    CONTROL_BREAK(VOTE_TWICE, "forgets its vote")                             \
    CONTROL_BREAK(NO_PRE_VOTE, "campaigns at once")                           \
    CONTROL_BREAK(ANY_LOG, "votes for logs that lack entries")                \
    CONTROL_BREAK(NO_STICKINESS, "votes although the leader is there")        \
    CONTROL_BREAK(COUNT_ANY_DISK, "counts members that lost their disk")      \
    CONTROL_BREAK(SERVE_AFTER_RESTART, "serves before it caught up")          \
    CONTROL_BREAK(READ_WITHOUT_ROUND, "answers reads unasked")                \
    CONTROL_BREAK(SERVE_UNCOMMITTED, "applies before the commit")             \
    CONTROL_BREAK(FORGET_REQUESTS, "takes a resend for a new request")        \
    CONTROL_BREAK(FORGET_EVACUATIONS, "snapshots lack the evacuated zones")
/* clang-format on */

enum control_break {
#define CONTROL_BREAK(NAME, text) CONTROL_BREAK_##NAME,
    CONTROL_BREAK_LIST(CONTROL_BREAK)
#undef CONTROL_BREAK
        CONTROL_BREAKS,
};

/**
 * struct control_options - options of a control member
 * @self: name of this member
 * @zone: availability zone, sent to followers; may be empty
 * @disk: identity of the data folder; this member votes only if the membership
 *        records this folder for @self
 * @configured: members listed in the settings; messages between members are
 *              accepted from these and from the members in the log
 * @n_configured: number of @configured, at most CONTROL_MEMBERS_MAX
 * @seed: of the random election timeouts; differs at each start
 * @election_timeout_us: a follower campaigns after a random time from one to
 *                       two of these without a leader; a leader that does not
 *                       hear a majority for this long steps down
 * @startup_timeout_us: election timeout until the first leader is seen after a
 *                      start, shorter than @election_timeout_us, so that a
 *                      region whose members all start soon has a leader; 0:
 *                      use @election_timeout_us.  A leader that exists is not
 *                      deposed, since the pre-vote fails then.
 * @heartbeat_interval_us: interval of heartbeats
 * @poll_timeout_us: a long poll is answered after this at the latest
 * @follower_timeout_us: a follower silent for this long is dropped
 * @request_timeout_us: a publication not committed by then is answered as
 *                      unknown
 * @stop_timeout_us: longest duration of a planned shutdown
 * @enroll: members are added and removed automatically, see enroll.c; else
 *          only by CEV_CHANGE
 * @address: with @enroll, where other members reach this one
 * @http: with @enroll, where operators reach this member
 * @remove_timeout_us: with @enroll, a member silent for this long may be
 *                     removed
 * @snapshot_entries: make a snapshot after this many applied entries
 * @snapshot_bytes: or after this many bytes of entries
 * @log_tail_entries: entries kept in memory behind a snapshot for slow members
 * @snapshot_chunk_bytes: bytes of a snapshot in one message
 * @append_batch_bytes: bytes of entries in one message
 * @zones: the region's availability zones; orders to evacuate others are
 *         refused
 * @n_zones: number of @zones; 0: not known, any zone is accepted
 * @render: converts a published text to the one served to followers; NULL:
 *          the published text is served
 * @limits: of the history
 * @breaks: injected faults, for tests
 */
struct control_options {
    struct name self;
    struct name zone;
    uint64_t disk;
    struct name configured[CONTROL_MEMBERS_MAX];
    size_t n_configured;
    uint64_t seed;
    int64_t election_timeout_us;
    int64_t startup_timeout_us;
    int64_t heartbeat_interval_us;
    int64_t poll_timeout_us;
    int64_t follower_timeout_us;
    int64_t request_timeout_us;
    int64_t stop_timeout_us;
    bool enroll;
    struct address address;
    struct address http;
    int64_t remove_timeout_us;
    uint32_t snapshot_entries;
    size_t snapshot_bytes;
    uint32_t log_tail_entries;
    size_t snapshot_chunk_bytes;
    size_t append_batch_bytes;
    struct name zones[ZONES_MAX];
    size_t n_zones;
    control_render *render;
    struct fsm_limits limits;
    bool breaks[CONTROL_BREAKS];
};

/** control_options_default() - every field but self, disk and seed */
struct control_options control_options_default(void);

/** control_founding_disk() - identity of a founding member's data folder,
 * derived from both names: founding members can list each other's folders
 * before they have exchanged messages */
uint64_t control_founding_disk(struct name region, struct name member);

/** control_founding_state() - the snapshot that all founding members start
 * with; the caller owns the reference */
struct blob *control_founding_state(const struct rec_membership *m);

/**
 * struct control_recovery - state of a member that was recovered alone
 * @index: index of the snapshot, above that of any entry on the disk
 * @term: term of the snapshot, above any term on the disk
 * @state: the snapshot; owned reference
 * @version: new version of the recovered text
 */
struct control_recovery {
    uint64_t index;
    uint64_t term;
    struct blob *state;
    uint64_t version;
};

/** control_recover() - rebuilds the state of a region from the disk of one
 * member after a majority of the members lost theirs
 * @found: what the disk holds; all entries are applied, committed or not
 * @self: becomes the only member
 * @time_us: wall clock, recorded in the history
 * @out: the result
 *
 * Returns false when the snapshot cannot be read. */
bool control_recover(const struct storage_contents *found,
                     const struct rec_control_member *self, uint64_t time_us,
                     struct control_recovery *out);

enum { CONTROL_FOUNDING_INDEX = 1, CONTROL_FOUNDING_TERM = 1 };

/** control_new() - creates a member from the state on its disk; NULL when the
 * snapshot cannot be read */
struct control *control_new(const struct control_options *o,
                            const struct storage_contents *found);

/** control_free() - NULL is allowed */
void control_free(struct control *c);

/** control_step() - applies one event; effects are appended to @fx */
void control_step(struct control *c, const struct control_event *ev,
                  struct control_effects *fx);

/** control_next_tick_us() - monotonic time at which a TICK is due */
int64_t control_next_tick_us(const struct control *c);

enum control_role { CONTROL_FOLLOWER, CONTROL_CANDIDATE, CONTROL_LEADER };

/* Counters, monotonic: CONTROL_COUNTER(name, help). */
/* clang-format off */
#define CONTROL_COUNTER_LIST(CONTROL_COUNTER)                                 \
    CONTROL_COUNTER(published, "publications accepted, applied here")         \
    CONTROL_COUNTER(resent, "publications answered again")                    \
    CONTROL_COUNTER(refused, "publications refused")                          \
    CONTROL_COUNTER(evacuation_orders, "evacuations begun or ended")          \
    CONTROL_COUNTER(elections, "elections begun here")                        \
    CONTROL_COUNTER(led, "elections won here")                                \
    CONTROL_COUNTER(syncs, "syncs asked for")                                 \
    CONTROL_COUNTER(snapshots, "snapshots made or installed")                 \
    CONTROL_COUNTER(messages_sent, "messages sent")                           \
    CONTROL_COUNTER(messages_bad, "messages that made no sense here")         \
    CONTROL_COUNTER(configs_sent, "configurations sent to followers")         \
    CONTROL_COUNTER(deltas_sent, "of these as a change only")                 \
    CONTROL_COUNTER(config_bytes_sent, "bytes of configurations sent")
/* clang-format on */

struct control_counters {
#define CONTROL_COUNTER(name, help) uint64_t name;
    CONTROL_COUNTER_LIST(CONTROL_COUNTER)
#undef CONTROL_COUNTER
};

/** struct control_view - state of a member for metrics, status and tests */
struct control_view {
    /* From an operator's publication or change to the answer. */
    struct histogram publish_latency;
    enum control_role role;
    bool voter;
    struct name leader; /* empty: not known */
    uint64_t term;
    uint64_t log_base;   /* index before the first entry in memory */
    uint64_t last_index; /* index of the last entry */
    uint64_t commit_index;
    uint64_t applied_index;
    uint64_t version;
    uint64_t evacuated_zones;
    uint64_t log_bytes;
    uint64_t state_bytes;
    uint64_t followers;
    bool serving; /* answers polls of followers */
    struct control_counters counters;
};

struct control_view control_view(const struct control *c);

/** control_entry() - the entry at @index, or NULL; for tests */
const struct rec_log_entry *control_entry(const struct control *c,
                                          uint64_t index);

/** control_fsm() - the replicated state; for tests */
const struct fsm *control_fsm(const struct control *c);

#endif
