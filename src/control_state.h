/**
 * DOC: control_state - what the parts of the control reducer share
 *
 * control.c routes events; election.c decides who leads; replicate.c carries
 * the log and snapshots to the others, receive.c takes them from the leader;
 * apply.c applies what is committed; quorum.c knows the members and counts
 * them; enroll.c lets them come and go by themselves; serve.c answers
 * operators, followers.c entry instances; control_dump.c shows it all.
 */
#ifndef BM_CONTROL_STATE_H
#define BM_CONTROL_STATE_H

#include "clog.h"
#include "control.h"

/**
 * struct progress - what is known of another member
 * @name: of it
 * @disk: the data folder it last spoke from; 0 is not known
 * @last_heard_us: when it last spoke; 0 is never
 * @match_index: its log agrees and is durable up to here (as the leader knows)
 * @next_index: index to send next
 * @is_probing: one message at a time until it agrees
 * @chunk_sent_us: when the last probe or chunk went out; 0: none is on its way
 * @acked_round: newest round of heartbeats it answered
 * @vote_granted: it gave its vote in this election
 * @snapshot: being sent, with its position and the next offset
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

/** struct deferred_message - waits until the disk has what it says */
struct deferred_message {
    uint64_t sync_seq;
    struct name to;
    struct msg msg;
};

enum pending_kind {
    PENDING_ENTRY,      /* a publication or change, decided by its entry */
    PENDING_READ,       /* an operator's read, decided by a round */
    PENDING_READ_INDEX, /* another member's question, likewise */
};

/** struct pending - a request that cannot be answered yet */
struct pending_request {
    enum pending_kind kind;
    uint64_t request_id;
    uint64_t wait_index; /* of the entry; of a read: to be applied first */
    uint64_t term;
    uint64_t round;
    int64_t deadline_us;
    struct cev_read read;
    struct name from; /* of PENDING_READ_INDEX */
    uint64_t nonce;
};

/** struct follower - an entry instance that wants the configuration */
struct follower {
    struct rec_follower info;
    int64_t last_heard_us;
    struct name via_member; /* the member it, or its zone's poller, asks */
    bool reported_here;     /* reported to this member, not to another */
    bool polls_directly;    /* it asked this member itself */
    bool polling;           /* waits for an answer */
    /* Of the poll. */
    uint64_t have_version;
    uint64_t known_version; /* an answer has a version above it */
    bool has_text;          /* of version @have_version */
    bool version_only;
    int64_t poll_deadline_us; /* answer by then */
};

/* Members, and room for those of a change that may be cut off again. */
enum { PEERS_MAX = 2 * CONTROL_MEMBERS_MAX };

struct incoming_snapshot {
    uint64_t index;
    uint64_t term;
    uint64_t size;
    uint64_t received;
    char *data;
};

struct control {
    struct control_options opts;
    struct moment now;
    struct control_effects *fx;
    uint64_t random;
    int64_t stop_deadline_us;

    /* Durable through effects. */
    uint64_t term;
    struct name vote;
    struct clog log;
    uint64_t sync_seq;       /* last sync asked for */
    uint64_t synced_seq;     /* last one done */
    uint64_t hard_state_seq; /* with which term and vote are durable */

    /* Roles. */
    struct name leader;
    int64_t leader_heard_us;
    int64_t election_due_us;   /* campaign at */
    int64_t campaign_start_us; /* when the last one began */
    bool seen_leader;          /* in this life */
    bool yielded;              /* in this life, to another's first campaign */
    int64_t heartbeat_due_us;  /* next one, or next housekeeping */
    int64_t quorum_check_us;   /* next check of the quorum */
    uint64_t heartbeat_round;
    int64_t round_start_us;    /* when it was begun */
    uint64_t term_start_index; /* index of the leader's NOOP */

    /* Members: the newest in the log rule, committed or not. */
    struct rec_membership members;
    uint64_t members_index;
    struct progress peers[PEERS_MAX];

    uint64_t commit_index;
    uint64_t applied_index;
    struct fsm fsm;
    struct blob *snapshot; /* the last one */
    uint64_t snapshot_index;
    uint64_t snapshot_term;
    uint64_t snapshot_sync_seq;
    size_t bytes_since_snapshot; /* applied since then */
    struct incoming_snapshot incoming;

    struct deferred_message *deferred;
    size_t n_deferred;
    struct pending_request *pending;
    size_t n_pending;
    struct follower *followers;
    size_t n_followers;
    struct served_texts served;
    int64_t report_due_us; /* next report of them to the leader */

    struct name contacts[CONTROL_MEMBERS_MAX]; /* see enroll.c */
    size_t n_contacts;
    int64_t join_due_us;     /* next request to become a member */
    int64_t leader_since_us; /* when this member began to lead */

    uint64_t startup_nonce;      /* of the question that decides it */
    uint64_t startup_read_index; /* its answer; 0: none yet */

    enum control_role role;
    bool started;
    bool stopping;
    bool stop_reported;
    bool needs_sync; /* this step has effects on the disk */
    bool pre;        /* candidate: asks whether there would be votes */
    bool forced;     /* candidate: the leader itself wants it */
    bool transfer_requested;
    bool followers_changed;
    bool serving; /* applied as much as was committed at the start */
    struct control_counters counters;
    struct histogram
        publish_latency; /* from an operator's change to its answer */
};

/* control.c */

/** control_random() - next number of the seeded generator */
uint64_t control_random(struct control *c);

/** control_send() - once the sync @seq is done; takes over @m */
void control_send(struct control *c, struct name to, struct msg *m,
                  uint64_t seq);

void control_log(struct control *c, int severity, enum control_reason reason,
                 struct name subject, const char *format, ...)
    __attribute__((format(printf, 5, 6)));

/** control_save_term() - sets term and vote and has them saved */
void control_save_term(struct control *c, uint64_t term, struct name vote);

/** control_next_sync_seq() - the sync that covers effects of this step */
uint64_t control_next_sync_seq(const struct control *c);

/* quorum.c */

/** quorum_find_member() - the member of that name, or NULL */
const struct rec_control_member *quorum_find_member(const struct control *c,
                                                    struct name name);

/** quorum_self_is_voter() - whether this member has a vote, on this disk */
bool quorum_self_is_voter(const struct control *c);

/** quorum_progress() - what is known of that member, or NULL when it is none
 */
struct progress *quorum_progress(struct control *c, struct name name);

/** quorum_peer_is_voter() - whether the peer is a voter and spoke from the
 * disk that the members name: one that lost its disk forgot what it confirmed
 */
bool quorum_peer_is_voter(const struct control *c, const struct progress *p);

/** quorum_majority() - votes that make a majority */
size_t quorum_majority(const struct control *c);

/** quorum_votes_won() - whether the election is won */
bool quorum_votes_won(const struct control *c);

/** quorum_match_index() - highest index that is durable on a majority */
uint64_t quorum_match_index(const struct control *c);

/** quorum_acked_round() - newest round that a majority answered */
uint64_t quorum_acked_round(const struct control *c);

/** quorum_is_active() - whether a majority spoke since that time */
bool quorum_is_active(const struct control *c, int64_t since_us);

/** quorum_set_members() - the members of an entry rule from now on */
void quorum_set_members(struct control *c, const struct rec_membership *m,
                        uint64_t index);

/** quorum_reload_members() - the newest in the log, after it was cut */
void quorum_reload_members(struct control *c);

/** quorum_prepare_change() - an operator's change; makes the new members */
enum control_result quorum_prepare_change(struct control *c,
                                          const struct cev_change *change,
                                          struct rec_membership *out,
                                          const char **detail);

/** quorum_promote_learner() - makes a learner that caught up a voter */
void quorum_promote_learner(struct control *c, const struct progress *p);

/* election.c */
void election_reset_timer(struct control *c);

/** election_reset_startup_timer() - the same for a member that has just
 * started */
void election_reset_startup_timer(struct control *c);
void election_tick(struct control *c);
void election_on_vote(struct control *c, struct name from,
                      const struct rec_vote *v);
void election_on_vote_reply(struct control *c, struct name from,
                            const struct rec_vote_reply *r);
void election_on_hand_over(struct control *c, struct name from,
                           const struct rec_hand_over *h);

/** election_count_votes() - wins the election if the votes are there */
void election_count_votes(struct control *c);

/** election_become_follower() - becomes a follower in @term, of @leader if
 * known */
void election_become_follower(struct control *c, uint64_t term,
                              struct name leader);

/** election_campaign_above() - a leader met a member with a higher term: it
 * campaigns above it, so that the member can follow again */
void election_campaign_above(struct control *c, uint64_t term);

/* replicate.c */

/** replicate_propose() - the leader adds an entry; returns its index */
uint64_t replicate_propose(struct control *c, enum log_kind kind,
                           const struct msg *data);

/** replicate_heartbeat() - a new round to all */
void replicate_heartbeat(struct control *c);
void replicate_init_leader(struct control *c);
void replicate_on_append_reply(struct control *c, struct name from,
                               const struct rec_append_reply *r);
void replicate_on_snapshot_reply(struct control *c, struct name from,
                                 const struct rec_snapshot_reply *r);

/** replicate_advance_commit() - the leader looks for newly committed entries
 */
void replicate_advance_commit(struct control *c);

/** replicate_append() - adds entries to the log, in memory and on the disk;
 * takes no references */
void replicate_append(struct control *c, const struct rec_log_entry *entries,
                      size_t n);

/* receive.c */
void receive_append(struct control *c, struct name from,
                    const struct rec_append *a);
void receive_snapshot(struct control *c, struct name from,
                      const struct rec_snapshot *s);

/* apply.c */

/** apply_committed() - applies what is committed; makes snapshots */
void apply_committed(struct control *c);

/** apply_save_snapshot() - takes over @state, the state at that position;
 * @discard: the log behind it goes, too */
void apply_save_snapshot(struct control *c, struct blob *state, uint64_t index,
                         uint64_t term, bool discard);

/** apply_compact_log() - drops what a durable snapshot holds */
void apply_compact_log(struct control *c);

/* serve.c */
void serve_publish(struct control *c, const struct cev_publish *p);
void serve_change(struct control *c, const struct cev_change *change);
void serve_read(struct control *c, const struct cev_read *r);
void serve_disconnect(struct control *c, uint64_t request);

/** serve_entry_applied() - answers the request whose entry was applied */
void serve_entry_applied(struct control *c, uint64_t index, uint64_t term,
                         const struct fsm_outcome *o);

/** serve_pending() - answers reads that are confirmed by now */
void serve_pending(struct control *c);

/** serve_has_pending_entry() - whether an operator still waits for an entry */
bool serve_has_pending_entry(const struct control *c);

void serve_on_read_index(struct control *c, struct name from,
                         const struct rec_read_index *r);
void serve_on_read_reply(struct control *c, struct name from,
                         const struct rec_read_reply *r);

/* enroll.c: with opts.enroll, members come and go without an operator */

/** enroll_tick() - asks to become a member where no leader is heard; as the
 * leader, replaces lost disks and removes who is gone */
void enroll_tick(struct control *c);
void enroll_on_join(struct control *c, struct name from,
                    const struct rec_join *j);
void enroll_on_members(struct control *c, const struct rec_membership *m);

/** enroll_add_contact() - a process that may be a member */
void enroll_add_contact(struct control *c, struct name name);

/** enroll_is_contact() - whether that process was named as a member by another
 */
bool enroll_is_contact(const struct control *c, struct name from);

/* followers.c */

void followers_on_request(struct control *c, struct name from,
                          const struct rec_config_request *r);
void followers_on_report(struct control *c, struct name from,
                         const struct rec_followers *f);

/** followers_answer_polls() - answers long polls that a newer version meets */
void followers_answer_polls(struct control *c);

/** followers_tick() - answers polls that are due, reports to the leader, asks
 * it whether this member may serve */
void followers_tick(struct control *c);

/* control_dump.c */

/** control_status_json() - for GET /v1/status */
char *control_status_json(const struct control *c);

/** control_history_json() - for GET /v1/config/history */
char *control_history_json(const struct control *c, uint32_t limit);

/** control_state_json() - for GET /v1/state */
char *control_state_json(const struct control *c);

#endif
