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
 * @heard_us: when it last spoke; 0 is never
 * @match: its log agrees and is durable up to here (as the leader knows)
 * @next: index to send next
 * @probing: one message at a time until it agrees
 * @sent_us: when the last probe or chunk went out; 0: none is on its way
 * @round: newest round of heartbeats it answered
 * @granted: it gave its vote in this election
 * @snapshot: being sent, with its position and the next offset
 */
struct progress {
    struct name name;
    uint64_t disk;
    int64_t heard_us;
    uint64_t match;
    uint64_t next;
    bool probing;
    int64_t sent_us;
    uint64_t round;
    bool granted;
    struct blob *snapshot;
    uint64_t snapshot_index;
    uint64_t snapshot_term;
    uint64_t snapshot_offset;
};

/** struct held_message - waits until the disk has what it says */
struct held_message {
    uint64_t seq;
    struct name to;
    struct msg msg;
};

enum pending_kind {
    PENDING_ENTRY, /* a publication or change, decided by its entry */
    PENDING_READ,  /* an operator's read, decided by a round */
    PENDING_INDEX, /* another member's question, likewise */
};

/** struct pending - a request that cannot be answered yet */
struct pending {
    enum pending_kind kind;
    uint64_t request;
    uint64_t index; /* of the entry; of a read: to be applied first */
    uint64_t term;
    uint64_t round;
    int64_t deadline_us;
    struct cev_read read;
    struct name asker; /* of PENDING_INDEX */
    uint64_t nonce;
};

/** struct follower - an entry instance that wants the configuration */
struct follower {
    struct rec_follower info;
    int64_t heard_us;
    struct name via; /* the member it, or its zone's poller, asks */
    bool here;       /* reported to this member, not to another */
    bool direct;     /* it asked this member itself */
    bool polling;    /* waits for an answer */
    /* Of the poll. */
    uint64_t have;
    uint64_t known; /* an answer has a version above it */
    bool has_text;  /* of version @have */
    bool version_only;
    int64_t poll_us; /* answer by then */
};

/* Members, and room for those of a change that may be cut off again. */
enum { PEERS_MAX = 2 * CONTROL_MEMBERS_MAX };

struct incoming_snapshot {
    uint64_t index;
    uint64_t term;
    uint64_t size;
    uint64_t got;
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
    uint64_t seq;      /* last sync asked for */
    uint64_t saved;    /* last one done */
    uint64_t hard_seq; /* with which term and vote are durable */

    /* Roles. */
    struct name leader;
    int64_t heard_leader_us;
    int64_t election_us;  /* campaign at */
    int64_t campaign_us;  /* when the last one began */
    bool met_leader;      /* in this life */
    bool gave_way;        /* in this life, to another's first campaign */
    int64_t heartbeat_us; /* next one, or next housekeeping */
    int64_t quorum_us;    /* next check of the quorum */
    uint64_t round;
    int64_t round_us;       /* when it was begun */
    uint64_t first_of_term; /* index of the leader's NOOP */

    /* Members: the newest in the log rule, committed or not. */
    struct rec_membership members;
    uint64_t members_index;
    struct progress peers[PEERS_MAX];

    uint64_t commit;
    uint64_t applied;
    struct fsm fsm;
    struct blob *snapshot; /* the last one */
    uint64_t snapshot_index;
    uint64_t snapshot_term;
    uint64_t snapshot_seq;
    size_t bytes_since; /* applied since then */
    struct incoming_snapshot incoming;

    struct held_message *held;
    size_t n_held;
    struct pending *pending;
    size_t n_pending;
    struct follower *followers;
    size_t n_followers;
    struct served_texts served;
    int64_t report_us; /* next report of them to the leader */

    struct name contacts[CONTROL_MEMBERS_MAX]; /* see enroll.c */
    size_t n_contacts;
    int64_t join_us; /* next request to become a member */
    int64_t lead_us; /* when this member began to lead */

    uint64_t serve_nonce; /* of the question that decides it */
    uint64_t serve_index; /* its answer; 0: none yet */

    enum control_role role;
    bool started;
    bool stopping;
    bool stopped_told;
    bool dirty;  /* this step has effects on the disk */
    bool pre;    /* candidate: asks whether there would be votes */
    bool forced; /* candidate: the leader itself wants it */
    bool handing_over;
    bool followers_changed;
    bool serving; /* applied as much as was committed at the start */
    struct control_counters counters;
    struct histogram publish; /* from an operator's change to its answer */
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

/** control_next_seq() - the sync that covers effects of this step */
uint64_t control_next_seq(const struct control *c);

/* quorum.c */

/** quorum_member() - the member of that name, or NULL */
const struct rec_control_member *quorum_member(const struct control *c,
                                               struct name name);

/** quorum_self_votes() - whether this member has a vote, on this disk */
bool quorum_self_votes(const struct control *c);

/** quorum_peer() - what is known of that member, or NULL when it is none */
struct progress *quorum_peer(struct control *c, struct name name);

/** quorum_counts() - whether the peer is a voter and spoke from the disk that
 * the members name: one that lost its disk forgot what it confirmed */
bool quorum_counts(const struct control *c, const struct progress *p);

/** quorum_size() - votes that make a majority */
size_t quorum_size(const struct control *c);

/** quorum_granted() - whether the election is won */
bool quorum_granted(const struct control *c);

/** quorum_index() - highest index that is durable on a majority */
uint64_t quorum_index(const struct control *c);

/** quorum_round() - newest round that a majority answered */
uint64_t quorum_round(const struct control *c);

/** quorum_heard() - whether a majority spoke since that time */
bool quorum_heard(const struct control *c, int64_t since_us);

/** quorum_set_members() - the members of an entry rule from now on */
void quorum_set_members(struct control *c, const struct rec_membership *m,
                        uint64_t index);

/** quorum_recall_members() - the newest in the log, after it was cut */
void quorum_recall_members(struct control *c);

/** quorum_change() - an operator's change; makes the new members */
enum control_result quorum_change(struct control *c,
                                  const struct cev_change *change,
                                  struct rec_membership *out,
                                  const char **detail);

/** quorum_promote() - makes a learner that caught up a voter */
void quorum_promote(struct control *c, const struct progress *p);

/* election.c */
void election_restart_timer(struct control *c);

/** election_first_timer() - the same for a member that has just started */
void election_first_timer(struct control *c);
void election_tick(struct control *c);
void election_on_vote(struct control *c, struct name from,
                      const struct rec_vote *v);
void election_on_reply(struct control *c, struct name from,
                       const struct rec_vote_reply *r);
void election_on_hand_over(struct control *c, struct name from,
                           const struct rec_hand_over *h);

/** election_count() - wins the election if the votes are there */
void election_count(struct control *c);

/** election_follow() - becomes a follower in @term, of @leader if known */
void election_follow(struct control *c, uint64_t term, struct name leader);

/** election_outbid() - a leader met a member with a higher term: it campaigns
 * above it, so that the member can follow again */
void election_outbid(struct control *c, uint64_t term);

/* replicate.c */

/** replicate_propose() - the leader adds an entry; returns its index */
uint64_t replicate_propose(struct control *c, enum log_kind kind,
                           const struct msg *data);

/** replicate_heartbeat() - a new round to all */
void replicate_heartbeat(struct control *c);
void replicate_start_leading(struct control *c);
void replicate_on_reply(struct control *c, struct name from,
                        const struct rec_append_reply *r);
void replicate_on_snapshot_reply(struct control *c, struct name from,
                                 const struct rec_snapshot_reply *r);

/** replicate_advance() - the leader looks for newly committed entries */
void replicate_advance(struct control *c);

/** replicate_add() - adds entries to the log, in memory and on the disk; takes
 * no references */
void replicate_add(struct control *c, const struct rec_log_entry *entries,
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

/** apply_saved() - drops what a durable snapshot holds */
void apply_saved(struct control *c);

/* serve.c */
void serve_publish(struct control *c, const struct cev_publish *p);
void serve_change(struct control *c, const struct cev_change *change);
void serve_read(struct control *c, const struct cev_read *r);
void serve_gone(struct control *c, uint64_t request);

/** serve_applied() - answers the request whose entry was applied */
void serve_applied(struct control *c, uint64_t index, uint64_t term,
                   const struct fsm_outcome *o);

/** serve_reads() - answers reads that are confirmed by now */
void serve_reads(struct control *c);

/** serve_busy() - whether an operator still waits for an entry */
bool serve_busy(const struct control *c);

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

/** enroll_contact() - a process that may be a member */
void enroll_contact(struct control *c, struct name name);

/** enroll_knows() - whether that process was named as a member by another */
bool enroll_knows(const struct control *c, struct name from);

/* followers.c */

void followers_on_request(struct control *c, struct name from,
                          const struct rec_config_request *r);
void followers_on_report(struct control *c, struct name from,
                         const struct rec_followers *f);

/** followers_serve() - answers long polls that a newer version meets */
void followers_serve(struct control *c);

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
