/**
 * DOC: control - the reducer of a control member
 *
 * The replicated log of accepted configuration.  control_step() takes one
 * event and appends effects; it reads no clock, does no I/O and draws no
 * randomness but from its seed.  Nothing is confirmed before the sync it
 * depends on is reported by SAVED.  The protocol follows Raft (Ongaro and
 * Ousterhout, 2014) with pre-vote, check-quorum, changes of one member at a
 * time and reads by a round of heartbeats.
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

/* Wrong decisions, switched on by tests of the checks alone:
 * CONTROL_BREAK(NAME, what it does). */
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
    CONTROL_BREAK(FORGET_REQUESTS, "takes a resend for a new request")
/* clang-format on */

enum control_break {
#define CONTROL_BREAK(NAME, text) CONTROL_BREAK_##NAME,
    CONTROL_BREAK_LIST(CONTROL_BREAK)
#undef CONTROL_BREAK
        CONTROL_BREAKS,
};

/**
 * struct control_options - how to construct a control member
 * @self: its name
 * @zone: told to followers; may be empty
 * @disk: identity of its data folder; it votes only where the members say that
 *        this is the folder of @self
 * @configured: members of the settings; besides those of the log, only they
 * are listened to as members
 * @n_configured: of @configured, at most CONTROL_MEMBERS_MAX
 * @seed: for election times; differs at each start
 * @election_timeout_us: silence after which a follower campaigns, up to twice
 * that; a leader that hears no quorum for so long steps down
 * @startup_timeout_us: a member that starts campaigns after so long without a
 * leader, up to twice that, and asks again after the same until it has met
 * one; 0: like any other.  Where a leader is there, the question before the
 * campaign finds that out.
 * @heartbeat_interval_us: between heartbeats
 * @poll_timeout_us: a long poll is answered after this at the latest
 * @follower_timeout_us: a follower not heard for so long is forgotten
 * @request_timeout_us: a publication not committed by then is answered as
 * unknown
 * @stop_timeout_us: a planned stop takes no longer
 * @enroll: members come and go by themselves, see enroll.c; else by CHANGE
 * @address: with @enroll, where other members reach this one
 * @http: with @enroll, where operators reach it
 * @remove_timeout_us: with @enroll, a member silent for so long may be removed
 * @snapshot_entries: entries applied since the last snapshot that make one
 * @snapshot_bytes: or their bytes
 * @log_tail_entries: entries kept in memory behind a snapshot for slow members
 * @snapshot_chunk_bytes: bytes of a snapshot in one message
 * @append_batch_bytes: bytes of entries in one message
 * @render: what followers get of a published text; NULL: the text itself
 * @limits: what is kept of the history
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
    control_render *render;
    struct fsm_limits limits;
    bool breaks[CONTROL_BREAKS];
};

/** control_options_default() - every field but self, disk and seed */
struct control_options control_options_default(void);

/** control_founding_disk() - identity of a founding member's data folder; the
 * founders know each other's without having met */
uint64_t control_founding_disk(struct name region, struct name member);

/** control_founding_state() - the snapshot that founders start from */
struct blob *control_founding_state(const struct rec_membership *m);

/**
 * struct control_recovery - where a member begins anew
 * @index: of the snapshot, above all that the disk held
 * @term: of it, likewise
 * @state: the snapshot; owned
 * @version: that its text has from now on
 */
struct control_recovery {
    uint64_t index;
    uint64_t term;
    struct blob *state;
    uint64_t version;
};

/** control_recover() - for when a majority of the members has lost its disks:
 * all that one disk held, committed or not, as the state of a region whose
 * only member is @self; false when the snapshot cannot be read */
bool control_recover(const struct storage_found *found,
                     const struct rec_control_member *self, uint64_t time_us,
                     struct control_recovery *out);

enum { CONTROL_FOUNDING_INDEX = 1, CONTROL_FOUNDING_TERM = 1 };

/** control_new() - a member that starts with what its disk held; NULL when the
 * snapshot cannot be read */
struct control *control_new(const struct control_options *o,
                            const struct storage_found *found);

/** control_free() - NULL is allowed */
void control_free(struct control *c);

/** control_step() - applies one event; effects are appended to @fx */
void control_step(struct control *c, const struct control_event *ev,
                  struct control_effects *fx);

/** control_next_tick_us() - monotonic time at which a TICK is due */
int64_t control_next_tick_us(const struct control *c);

enum control_role { CONTROL_FOLLOWER, CONTROL_CANDIDATE, CONTROL_LEADER };

/* Counters: CONTROL_COUNTER(name, help).  All only rise. */
/* clang-format off */
#define CONTROL_COUNTER_LIST(CONTROL_COUNTER)                                 \
    CONTROL_COUNTER(published, "publications accepted, applied here")         \
    CONTROL_COUNTER(resent, "publications answered again")                    \
    CONTROL_COUNTER(refused, "publications refused")                          \
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

/** struct control_view - what can be seen of a member */
struct control_view {
    struct histogram
        publish_latency; /* from an operator's change to its answer */
    enum control_role role;
    bool voter;
    struct name leader; /* empty: not known */
    uint64_t term;
    uint64_t log_base; /* index before the log in memory */
    uint64_t last_index;
    uint64_t commit_index;
    uint64_t applied_index;
    uint64_t version;
    uint64_t log_bytes;
    uint64_t state_bytes;
    uint64_t followers;
    bool serving; /* answers followers */
    struct control_counters counters;
};

struct control_view control_view(const struct control *c);

/** control_entry() - the entry at @index, or NULL; for checks */
const struct rec_log_entry *control_entry(const struct control *c,
                                          uint64_t index);

/** control_fsm() - the replicated state; for checks */
const struct fsm *control_fsm(const struct control *c);

#endif
