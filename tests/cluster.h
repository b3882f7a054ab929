/**
 * DOC: cluster - simulated cluster of control members, with injected faults
 *
 * Runs the real reducers and the real storage on simulated disks, in virtual
 * time.  Checked after every step: a term has one leader; a committed entry is
 * the same on all members and never changes; a confirmed version stays and
 * belongs to one request; a member never serves an uncommitted version, or an
 * older one than before; a read is not older than what was confirmed before
 * the read began.
 */
#ifndef BM_CLUSTER_H
#define BM_CLUSTER_H

#include "control.h"
#include "fault_disk.h"

enum {
    CLUSTER_NODES_MAX = 9,
    CLUSTER_REQUESTS_MAX = 4096,
    CLUSTER_ENTRIES_MAX = 8192,
    CLUSTER_MESSAGES_MAX = 4096,
    CLUSTER_DISK_WORK_MAX = 512,
};

/** struct node - a control member */
struct node {
    struct name name;
    struct disk *disk;
    uint64_t disk_identity;
    struct storage *storage;
    struct control *control; /* NULL while the process is down */
    bool isolated;           /* partitioned from all other nodes */
    int drops_from; /* drops all from this node; CLUSTER_NODES_MAX: none */
    bool paused;    /* the process is stopped; its messages queue up */
    struct control_effect disk_work[CLUSTER_DISK_WORK_MAX]; /* its queue */
    size_t n_disk_work;
    int64_t disk_work_due_us;      /* when the first disk operation is done */
    int64_t disk_stalled_until_us; /* no disk operation is done before */
    uint64_t served_version;       /* newest version sent to a follower */
};

/** struct in_flight_msg - a message in transit */
struct in_flight_msg {
    int64_t due_us;
    uint64_t order; /* sequence number, decides between equal times */
    struct name from;
    int to; /* number of the node; -1: the follower */
    struct msg msg;
};

/** struct cluster_answer - answer to a request of the test */
struct cluster_answer {
    bool done;
    uint64_t id; /* number of the request id */
    enum control_result result;
    uint64_t version; /* of the publication or the read */
    bool resend;
    uint64_t min_version; /* version confirmed before the request was sent */
};

struct cluster {
    struct control_options options;
    int n;
    struct node nodes[CLUSTER_NODES_MAX];
    int64_t now_us;
    uint64_t random;
    uint64_t order;
    struct in_flight_msg in_flight[CLUSTER_MESSAGES_MAX];
    size_t n_in_flight;
    unsigned int loss_permille;      /* lost messages, of 1000 */
    unsigned int duplicate_permille; /* duplicated messages, of 1000 */
    int64_t max_delay_us;            /* longest delay of a message */
    int64_t max_sync_us;             /* longest duration of a sync */
    uint64_t steps;         /* reducer steps and disk operations so far */
    uint64_t crash_at_step; /* crash the node that takes this step; 0: none */
    struct cluster_answer answers[CLUSTER_REQUESTS_MAX];
    uint64_t confirmed_version; /* newest confirmed version */
    struct rec_log_entry
        committed[CLUSTER_ENTRIES_MAX]; /* kind: digest of data */
    struct key_id
        version_requests[CLUSTER_REQUESTS_MAX]; /* request of each version */
    struct name term_leaders[CLUSTER_REQUESTS_MAX];  /* of each term */
    uint64_t request_versions[CLUSTER_REQUESTS_MAX]; /* version of each request
                                                        id */
    uint64_t follower_version; /* version of @follower_text */
    struct blob *follower_text;
    uint64_t follower_replies; /* replies with a configuration */
    /* Receives messages to processes that are not members; may be NULL. */
    void (*send_external)(void *ctx, struct name from, struct name to,
                          const struct msg *m);
    void *external_ctx;
    int violations;
    char first_violation[DETAIL_SIZE];
};

/** cluster_new() - creates and starts @n founding members; @breaks are the
 * faults to inject, or NULL */
struct cluster *cluster_new(int n, uint64_t seed, const bool *breaks);
void cluster_free(struct cluster *cl);

/** cluster_run() - advances the virtual time by @us */
void cluster_run(struct cluster *cl, int64_t us);

/** cluster_leader() - number of the leader with the highest term that serves
 * followers; -1 if there is none */
int cluster_leader(const struct cluster *cl);

/** cluster_await_leader() - runs until cluster_leader() finds a leader, for a
 * minute at most; returns its number */
int cluster_await_leader(struct cluster *cl);

void cluster_crash(struct cluster *cl, int node);
void cluster_start(struct cluster *cl, int node);

/** cluster_stall() - stalls the node's disk for @us */
void cluster_stall(struct cluster *cl, int node, int64_t us);

/** cluster_wipe() - replaces the disk of a crashed node with an empty one */
void cluster_wipe(struct cluster *cl, int node);

/** cluster_bootstrap_again() - replaces the disk of a crashed node, and
 * formats the new one as that of a founding member, as by an operator's
 * mistake */
void cluster_bootstrap_again(struct cluster *cl, int node);

/** cluster_recover() - recovers the region from a crashed node's disk, with
 * the node as its only member */
void cluster_recover(struct cluster *cl, int node);

/** cluster_publish() - sends request @r: a publication from version @base,
 * with request id number @id and a text derived from @id */
void cluster_publish(struct cluster *cl, int node, uint64_t r, uint64_t base,
                     uint64_t id);

/** cluster_publish_ranked() - sends request @r: a ranked publication */
void cluster_publish_ranked(struct cluster *cl, int node, uint64_t r,
                            uint64_t rank, struct blob *text);
void cluster_read(struct cluster *cl, int node, uint64_t r);

/** cluster_evacuate() - sends request @r: an order to evacuate a zone, or to
 * end that */
void cluster_evacuate(struct cluster *cl, int node, uint64_t r,
                      const char *zone, bool evacuate);
void cluster_change(struct cluster *cl, int node, uint64_t r,
                    enum change_action action, int member);

/** cluster_stop() - begins a planned shutdown */
void cluster_stop(struct cluster *cl, int node);

/** cluster_inject() - delivers a forged message, at once */
void cluster_inject(struct cluster *cl, const char *from, int node,
                    const struct msg *m);

/** cluster_reset_follower() - restarts the follower without a configuration */
void cluster_reset_follower(struct cluster *cl);

/** cluster_follower_poll() - the follower sends a long poll to a node */
void cluster_follower_poll(struct cluster *cl, int node);

/** cluster_random() - random number below @below */
uint64_t cluster_random(struct cluster *cl, uint64_t below);

/** cluster_violation() - records a failed check */
void cluster_violation(struct cluster *cl, const char *format, ...)
    __attribute__((format(printf, 2, 3)));

#endif
