/**
 * DOC: control_state - state and functions shared by the files of the control
 * reducer
 *
 * control.c:      dispatches events, sends messages, shuts down
 * election.c:     leader election with pre-vote
 * replicate.c:    the leader's side of log and snapshot replication
 * receive.c:      the receiving side of log and snapshot replication
 * apply.c:        applies committed entries, makes and trims by snapshots
 * quorum.c:       membership and majorities
 * enroll.c:       adds and removes members without an operator
 * serve.c:        operators' requests and read index requests
 * followers.c:    configuration polls of entry instances
 * control_dump.c: the state as JSON
 *
 * "Follower" has two meanings here: the Raft role (CONTROL_FOLLOWER), and
 * struct follower, an entry instance that polls for the configuration.
 */
#ifndef BM_CONTROL_STATE_H
#define BM_CONTROL_STATE_H

#include "clog.h"
#include "control.h"

/**
 * struct progress - replication state of another member
 * @name: of the member
 * @disk: identity of the data folder that its last reply came from; 0: unknown
 * @last_heard_us: monotonic time of its last message; 0: none yet
 * @match_index: highest index known to be durable at the member
 * @next_index: index of the next entry to send
 * @is_probing: the match index is not known yet; only empty appends are sent
 * @chunk_sent_us: when the last snapshot chunk was sent; 0: none in flight
 * @acked_round: newest heartbeat round that the member acknowledged
 * @vote_granted: the member granted its vote in the current election
 * @snapshot: snapshot being sent, or NULL; owned reference
 * @snapshot_index: index of @snapshot
 * @snapshot_term: term of @snapshot
 * @next_offset: offset of the chunk that was sent last, in bytes
 */
struct progress {
    struct name name;
    uint64_t disk;
    int64_t last_heard_us;
    uint64_t match_index;
    uint64_t next_index;
    bool is_probing;
    int64_t chunk_sent_us;
    uint64_t acked_round;
    bool vote_granted;
    struct blob *snapshot;
    uint64_t snapshot_index;
    uint64_t snapshot_term;
    uint64_t next_offset;
};

/** struct deferred_message - a message that is sent once sync @sync_seq is
 * done */
struct deferred_message {
    uint64_t sync_seq;
    struct name to;
    struct msg msg;
};

enum pending_kind {
    PENDING_ENTRY, /* an operator's order, answered once applied */
    PENDING_READ,  /* an operator's read, answered after a heartbeat round */
    PENDING_READ_INDEX, /* another member's read index request, likewise */
};

/** struct pending_request - a request that waits for an entry or a heartbeat
 * round */
struct pending_request {
    enum pending_kind kind;
    uint64_t request_id;
    uint64_t wait_index;  /* of the entry; of a read: its read index */
    uint64_t term;        /* of the entry */
    uint64_t round;       /* heartbeat round that confirms the read */
    int64_t deadline_us;  /* monotonic */
    struct cev_read read; /* of PENDING_READ */
    struct name from;     /* of PENDING_READ_INDEX */
    uint64_t nonce;       /* of PENDING_READ_INDEX */
};

/** struct follower - an entry instance that polls for the configuration */
struct follower {
    struct rec_follower info;
    int64_t last_heard_us;  /* monotonic time of the newest report */
    struct name via_member; /* member that the instance or its zone polls */
    bool reported_here;     /* reported to this member, not to another one */
    bool polls_directly;    /* has polled this member itself */
    bool polling;           /* a long poll is open */
    /* The open long poll. */
    uint64_t have_version;  /* version of the instance's text */
    uint64_t known_version; /* answered once a version above this one exists */
    uint64_t known_evacuation; /* likewise, for the revision of these zones */
    bool has_text;     /* can apply a delta against version @have_version */
    bool version_only; /* wants the version number without the text */
    int64_t poll_deadline_us; /* deadline of the answer */
};

/* Twice the members: a membership change in the log may be truncated again, so
 * progress of both memberships is kept. */
enum { PEERS_MAX = 2 * CONTROL_MEMBERS_MAX };

/** struct incoming_snapshot - a snapshot that arrives in chunks */
struct incoming_snapshot {
    uint64_t index;
    uint64_t term;
    uint64_t size;     /* bytes */
    uint64_t received; /* bytes received so far, from the start */
    char *data;        /* owned */
};

struct control {
    struct control_options opts;
    struct moment now;
    struct control_effects *fx; /* of the current step, else NULL */
    uint64_t random;            /* state of the generator */
    int64_t stop_deadline_us;

    /* Persistent state, written through effects. */
    uint64_t term;
    struct name vote;
    struct clog log;
    uint64_t sync_seq;       /* last sync requested */
    uint64_t synced_seq;     /* last sync done */
    uint64_t hard_state_seq; /* sync that makes term and vote durable */

    /* Role and timers; times are monotonic. */
    struct name leader; /* empty: not known */
    int64_t leader_heard_us;
    int64_t election_due_us;   /* when the election timer expires */
    int64_t campaign_start_us; /* when the last campaign began */
    bool seen_leader;          /* since the process started */
    bool yielded;              /* once per start, see yield_to_candidate() */
    int64_t heartbeat_due_us;  /* next heartbeat or periodic work */
    int64_t quorum_check_us;   /* next check-quorum */
    uint64_t heartbeat_round;  /* newest heartbeat round */
    int64_t round_start_us;    /* when that round began */
    uint64_t term_start_index; /* index of the leader's NOOP */

    /* The newest membership in the log, committed or not. */
    struct rec_membership members;
    uint64_t members_index;
    struct progress peers[PEERS_MAX];

    uint64_t commit_index;
    uint64_t applied_index;
    struct fsm fsm;
    struct blob *snapshot; /* the newest one; owned reference */
    uint64_t snapshot_index;
    uint64_t snapshot_term;
    uint64_t snapshot_sync_seq;  /* sync that makes the snapshot durable */
    size_t bytes_since_snapshot; /* of entries applied since the snapshot */
    struct incoming_snapshot incoming;

    struct deferred_message *deferred;
    size_t n_deferred;
    struct pending_request *pending;
    size_t n_pending;
    struct follower *followers;
    size_t n_followers;
    struct served_texts served;
    int64_t report_due_us; /* next report of followers to the leader */

    struct name contacts[CONTROL_MEMBERS_MAX]; /* see enroll.c */
    size_t n_contacts;
    int64_t join_due_us;     /* next MSG_JOIN */
    int64_t leader_since_us; /* when this member became leader */

    /* Commit index requested from the leader after a start.  Followers are
     * served once it is applied. */
    uint64_t startup_nonce;
    uint64_t startup_read_index; /* 0: no answer yet */

    enum control_role role;
    bool started;
    bool stopping;
    bool stop_reported; /* CE_STOPPED was emitted */
    bool needs_sync;    /* this step has effects on the disk */
    bool pre_vote;      /* candidate in the pre-vote phase */
    bool forced; /* candidate: voters reply although they hear a leader */
    bool transfer_requested; /* leadership transfer requested */
    bool followers_changed;
    bool serving; /* applied the startup read index: answers followers */
    struct control_counters counters;
    /* From an operator's publication or change to the answer. */
    struct histogram publish_latency;
};

/* control.c */

/** control_random() - next number of the generator seeded by the options */
uint64_t control_random(struct control *c);

/** control_send() - sends @m once sync @seq is done; takes ownership of what
 * @m points to */
void control_send(struct control *c, struct name to, struct msg *m,
                  uint64_t seq);

/** control_log() - emits a log line; @severity is a syslog level */
void control_log(struct control *c, int severity, enum control_reason reason,
                 struct name subject, const char *format, ...)
    __attribute__((format(printf, 5, 6)));

/** control_save_term() - sets term and vote, and emits an effect that persists
 * both */
void control_save_term(struct control *c, uint64_t term, struct name vote);

/** control_next_sync_seq() - number of the sync that covers this step's
 * effects */
uint64_t control_next_sync_seq(const struct control *c);

/* quorum.c */

/** quorum_find_member() - finds a member by name; NULL if there is none */
const struct rec_control_member *quorum_find_member(const struct control *c,
                                                    struct name name);

/** quorum_self_is_voter() - whether this member is a voter with its current
 * data folder */
bool quorum_self_is_voter(const struct control *c);

/** quorum_progress() - progress of another member, created if missing; NULL if
 * @name is not a member, or is this one */
struct progress *quorum_progress(struct control *c, struct name name);

/** quorum_peer_is_voter() - whether the peer is a voter and replies from the
 * disk that the membership records; a replaced disk lacks confirmed entries */
bool quorum_peer_is_voter(const struct control *c, const struct progress *p);

/** quorum_majority() - number of voters that make a majority */
size_t quorum_majority(const struct control *c);

/** quorum_votes_won() - whether a majority granted its vote */
bool quorum_votes_won(const struct control *c);

/** quorum_match_index() - highest index that is durable on a majority */
uint64_t quorum_match_index(const struct control *c);

/** quorum_acked_round() - newest heartbeat round acked by a majority */
uint64_t quorum_acked_round(const struct control *c);

/** quorum_is_active() - whether a majority was heard since @since_us */
bool quorum_is_active(const struct control *c, int64_t since_us);

/** quorum_set_members() - makes the membership of the entry at @index the one
 * in effect; copies @m */
void quorum_set_members(struct control *c, const struct rec_membership *m,
                        uint64_t index);

/** quorum_reload_members() - takes the newest membership from the log again,
 * after a start or after the log was truncated */
void quorum_reload_members(struct control *c);

/** quorum_prepare_change() - computes the membership that a change leads to
 * @change: the change to make
 * @out: the new membership, to be freed by the caller; set on CONTROL_OK only
 * @detail: set to the cause when the change is refused */
enum control_result quorum_prepare_change(struct control *c,
                                          const struct cev_change *change,
                                          struct rec_membership *out,
                                          const char **detail);

/** quorum_promote_learner() - proposes to make a learner that caught up a
 * voter */
void quorum_promote_learner(struct control *c, const struct progress *p);

/* election.c */

/** election_reset_timer() - sets the election timer to a random time from
 * one to two election timeouts ahead */
void election_reset_timer(struct control *c);

/** election_reset_startup_timer() - sets the election timer to the shorter
 * timeout of a process that has just started */
void election_reset_startup_timer(struct control *c);

/** election_tick() - campaigns if the election timer has expired */
void election_tick(struct control *c);
void election_on_vote(struct control *c, struct name from,
                      const struct rec_vote *v);
void election_on_vote_reply(struct control *c, struct name from,
                            const struct rec_vote_reply *r);
void election_on_hand_over(struct control *c, struct name from,
                           const struct rec_hand_over *h);

/** election_count_votes() - goes on to the election after a won pre-vote,
 * becomes leader after a won election */
void election_count_votes(struct control *c);

/** election_become_follower() - becomes a follower in @term; @leader is empty
 * if not known */
void election_become_follower(struct control *c, uint64_t term,
                              struct name leader);

/** election_campaign_above() - campaigns for the term after @term, which is a
 * member's and above the leader's own; that member can then follow again */
void election_campaign_above(struct control *c, uint64_t term);

/* replicate.c */

/** replicate_propose() - appends an entry as leader and replicates it; returns
 * the entry's index */
uint64_t replicate_propose(struct control *c, enum log_kind kind,
                           const struct msg *data);

/** replicate_heartbeat() - begins a heartbeat round */
void replicate_heartbeat(struct control *c);

/** replicate_init_leader() - resets the progress of all members, appends the
 * NOOP entry of the new term and begins a heartbeat round */
void replicate_init_leader(struct control *c);
void replicate_on_append_reply(struct control *c, struct name from,
                               const struct rec_append_reply *r);
void replicate_on_snapshot_reply(struct control *c, struct name from,
                                 const struct rec_snapshot_reply *r);

/** replicate_advance_commit() - advances the leader's commit index */
void replicate_advance_commit(struct control *c);

/** replicate_append() - appends entries to the log in memory and on disk; the
 * caller keeps its references */
void replicate_append(struct control *c, const struct rec_log_entry *entries,
                      size_t n);

/* receive.c */

/** receive_append() - handles entries or a heartbeat of a leader */
void receive_append(struct control *c, struct name from,
                    const struct rec_append *a);

/** receive_snapshot() - stores a chunk; installs the snapshot once complete */
void receive_snapshot(struct control *c, struct name from,
                      const struct rec_snapshot *s);

/* apply.c */

/** apply_committed() - applies committed entries; makes a snapshot if due */
void apply_committed(struct control *c);

/** apply_save_snapshot() - makes @state the newest snapshot and persists it
 * @state: the encoded state at @index; ownership of the reference passes
 * @index: last entry that @state includes
 * @term: of that entry
 * @discard: drop all log entries, also those after @index */
void apply_save_snapshot(struct control *c, struct blob *state, uint64_t index,
                         uint64_t term, bool discard);

/** apply_compact_log() - drops log entries that a durable snapshot covers,
 * except the newest of them */
void apply_compact_log(struct control *c);

/* serve.c */
void serve_publish(struct control *c, const struct cev_publish *p);
void serve_change(struct control *c, const struct cev_change *change);
void serve_evacuate(struct control *c, const struct cev_evacuate *ev);
void serve_read(struct control *c, const struct cev_read *r);

/** serve_disconnect() - drops a request whose HTTP connection ended */
void serve_disconnect(struct control *c, uint64_t request);

/** serve_entry_applied() - answers the request whose entry was applied */
void serve_entry_applied(struct control *c, uint64_t index, uint64_t term,
                         const struct fsm_outcome *o);

/** serve_pending() - answers pending requests that are confirmed or expired */
void serve_pending(struct control *c);

/** serve_has_pending_entry() - whether an operator's publication or change is
 * pending */
bool serve_has_pending_entry(const struct control *c);

/** serve_on_read_index() - as leader, sends the commit index to a member that
 * has restarted, once a heartbeat round has confirmed the leadership */
void serve_on_read_index(struct control *c, struct name from,
                         const struct rec_read_index *r);
/** serve_on_read_reply() - stores the commit index that the leader sent to
 * this member after its start: followers are served once it is applied */
void serve_on_read_reply(struct control *c, struct name from,
                         const struct rec_read_reply *r);

/* enroll.c: used with opts.enroll only */

/** enroll_tick() - sends join requests while no leader is heard; the leader
 * replaces lost disks and removes members that stay silent */
void enroll_tick(struct control *c);

/** enroll_on_join() - the leader adds @from as learner; other members reply
 * with the membership */
void enroll_on_join(struct control *c, struct name from,
                    const struct rec_join *j);

/** enroll_on_members() - replaces the contacts by the members that another
 * process sent */
void enroll_on_members(struct control *c, const struct rec_membership *m);

/** enroll_add_contact() - records a process that may be a member */
void enroll_add_contact(struct control *c, struct name name);

/** enroll_is_contact() - whether messages between members are accepted from
 * @from although it is not in the membership */
bool enroll_is_contact(const struct control *c, struct name from);

/* followers.c */

/** followers_on_request() - opens a long poll */
void followers_on_request(struct control *c, struct name from,
                          const struct rec_config_request *r);

/** followers_on_report() - merges the followers that another member reports */
void followers_on_report(struct control *c, struct name from,
                         const struct rec_followers *f);

/** followers_answer_polls() - answers long polls for which a newer version
 * exists */
void followers_answer_polls(struct control *c);

/** followers_tick() - answers expired long polls, drops silent followers,
 * reports to the leader, and requests the startup read index */
void followers_tick(struct control *c);

/* control_dump.c */

/** control_status_json() - for GET /v1/status */
char *control_status_json(const struct control *c);

/** control_history_json() - for GET /v1/config/history */
char *control_history_json(const struct control *c, uint32_t limit);

/** control_state_json() - for GET /v1/state */
char *control_state_json(const struct control *c);

#endif
