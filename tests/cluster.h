/**
 * DOC: cluster - control members in virtual time, on disks that fail, with
 * checks after every step
 *
 * The reducers and the storage are the real ones.  The checks: one leader in a
 * term; what is committed is the same everywhere and never changes; a version
 * once confirmed stays and belongs to one request; no member serves an older
 * or an uncommitted version than it served before; a read is not older than
 * what was confirmed before it began.
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

struct node {
    struct name name;
    struct disk *disk;
    uint64_t disk_identity;
    struct storage *storage;
    struct control *control; /* NULL while it is down */
    bool isolated;           /* reaches nobody */
    int drops_from; /* hears nothing from that one; CLUSTER_NODES_MAX: none */
    bool paused;    /* stopped, with all it has still before it */
    struct control_effect disk_work[CLUSTER_DISK_WORK_MAX]; /* for the disk */
    size_t n_disk_work;
    int64_t disk_work_due_us;      /* when the first of it is done */
    int64_t disk_stalled_until_us; /* the disk does nothing before */
    uint64_t served_version;       /* newest version sent to a follower */
};

struct flight {
    int64_t due_us;
    uint64_t order;
    struct name from;
    int to;
    struct msg msg;
};

struct answer {
    bool done;
    uint64_t id; /* number of the request id */
    enum control_result result;
    uint64_t version; /* of the publication or the read */
    bool resend;
    uint64_t min_version; /* confirmed before a read was begun */
};

struct cluster {
    struct control_options options;
    int n;
    struct node nodes[CLUSTER_NODES_MAX];
    int64_t now_us;
    uint64_t random;
    uint64_t order;
    struct flight in_flight[CLUSTER_MESSAGES_MAX];
    size_t n_in_flight;
    unsigned int loss_permille;      /* of 1000 messages */
    unsigned int duplicate_permille; /* of 1000 messages */
    int64_t max_delay_us;            /* most a message takes */
    int64_t max_sync_us;             /* most a sync takes */
    uint64_t steps;         /* steps of reducers and operations of disks */
    uint64_t crash_at_step; /* crash whoever takes that step; 0 never */
    struct answer answers[CLUSTER_REQUESTS_MAX];
    uint64_t confirmed_version; /* newest confirmed version */
    struct rec_log_entry
        committed[CLUSTER_ENTRIES_MAX]; /* data: digest only */
    struct key_id
        version_requests[CLUSTER_REQUESTS_MAX]; /* request of each version */
    struct name term_leaders[CLUSTER_REQUESTS_MAX];  /* of each term */
    uint64_t request_versions[CLUSTER_REQUESTS_MAX]; /* version of each request
                                                        id */
    uint64_t follower_version;
    struct blob *follower_text;
    uint64_t follower_replies; /* replies with a configuration */
    /* Takes what is sent to processes that are no members; NULL for none. */
    void (*send_external)(void *ctx, struct name from, struct name to,
                          const struct msg *m);
    void *external_ctx;
    int violations;
    char first_violation[DETAIL_SIZE];
};

/** cluster_new() - @n founding members, all started; options may be changed
 * with @breaks */
struct cluster *cluster_new(int n, uint64_t seed, const bool *breaks);
void cluster_free(struct cluster *cl);

/** cluster_run() - lets that much time pass */
void cluster_run(struct cluster *cl, int64_t us);

/** cluster_leader() - number of the leader that has the highest term; -1 when
 * there is none */
int cluster_leader(const struct cluster *cl);

/** cluster_await_leader() - runs until there is one that can answer */
int cluster_await_leader(struct cluster *cl);

void cluster_crash(struct cluster *cl, int node);
void cluster_start(struct cluster *cl, int node);

/** cluster_stall() - its disk answers nothing for so long */
void cluster_stall(struct cluster *cl, int node, int64_t us);

/** cluster_wipe() - its disk is replaced by an empty one, while it is down */
void cluster_wipe(struct cluster *cl, int node);

/** cluster_bootstrap_again() - its empty disk is made a founder's, by mistake
 */
void cluster_bootstrap_again(struct cluster *cl, int node);

/** cluster_recover() - makes a member that is down the only one */
void cluster_recover(struct cluster *cl, int node);

/** cluster_publish() - request @r, with the request id of that number and a
 * text made of it */
void cluster_publish(struct cluster *cl, int node, uint64_t r, uint64_t base,
                     uint64_t id);

/** cluster_publish_ranked() - request @r, a whole text that its operator has
 * numbered */
void cluster_publish_ranked(struct cluster *cl, int node, uint64_t r,
                            uint64_t rank, struct blob *text);
void cluster_read(struct cluster *cl, int node, uint64_t r);
void cluster_change(struct cluster *cl, int node, uint64_t r,
                    enum change_action action, int member);
void cluster_stop(struct cluster *cl, int node);

/** cluster_inject() - a message that nobody of the cluster sent */
void cluster_inject(struct cluster *cl, const char *from, int node,
                    const struct msg *m);

/** cluster_reset_follower() - the follower restarts with nothing */
void cluster_reset_follower(struct cluster *cl);

/** cluster_follower_poll() - the follower asks a member with what it has */
void cluster_follower_poll(struct cluster *cl, int node);

uint64_t cluster_random(struct cluster *cl, uint64_t below);
void cluster_violation(struct cluster *cl, const char *format, ...)
    __attribute__((format(printf, 2, 3)));

#endif
