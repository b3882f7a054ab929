/**
 * DOC: entry_net - several entry reducers on a fake network, in virtual time
 *
 * Messages take a millisecond and a half; a test may lose, double, delay or
 * reorder them.  Upstreams are fakes that record every start.
 */
#ifndef BM_ENTRY_NET_H
#define BM_ENTRY_NET_H

#include "entry.h"

enum {
    NET_NODES_MAX = 12,
    NET_UPSTREAMS_MAX = 32,
    NET_PER_ZONE = 8, /* upstreams in a zone */
    NET_WHOLE = -1,   /* of net_starts(): all tasks of the key together */
};

#define NET_DELAY_US INT64_C(1500)

struct net;

/** enum net_fate - what the network does with a message */
enum net_fate { NET_PASS, NET_DROP, NET_DOUBLE, NET_LATE };

/** struct net_options - how to construct a network */
struct net_options {
    int zones;
    int per_zone;
    uint64_t seed;
    bool new_region;
    int64_t run_us; /* run time of every task */
    /* in per cent, of all messages between instances */
    int lost;
    int doubled;
    int late; /* by up to 40 ms, so that later ones overtake */
    /* more by hand: NULL passes all */
    enum net_fate (*fate)(struct net *n, int from, int to,
                          const struct msg *m);
    /* messages to somebody who is no node, a control process say */
    void (*outside)(struct net *n, int from, struct name to,
                    const struct msg *m);
    void (*tune)(struct entry_options *o);
    bool no_config; /* nodes get none at their start */
};

/** struct net_answer - what a caller got, NULL result while it waits */
struct net_answer {
    uint64_t request;
    int node;
    int times; /* it was answered: more than once is a fault */
    enum effect_kind kind;
    struct ef_problem problem;
    struct job_answer *answer;
};

struct net_packet {
    int64_t at_us;
    uint64_t order;
    int to;
    uint64_t life;      /* incarnation of the receiver for upstream events */
    struct event event; /* pointers are owned by the packet */
    struct msg msg;
};

struct net_node {
    struct name name;
    struct name zone;
    uint64_t incarnation;
    struct entry *e; /* NULL while dead */
    bool frozen;     /* paused: gets nothing, sends nothing */
    bool stopped;
};

struct net_upstream {
    struct name name;
    struct name zone;
    uint64_t incarnation;
    uint64_t epoch;
    bool silent;
    int64_t announce_us;
};

struct net_start {
    struct key_id key;
    uint32_t index;
    int node;
    int upstream;
    int64_t at_us;
    int64_t end_us;
};

struct net {
    struct net_options opts;
    struct net_node nodes[NET_NODES_MAX];
    int n_nodes;
    struct net_upstream upstreams[NET_UPSTREAMS_MAX];
    int n_upstreams;
    struct entry_peer peers[NET_NODES_MAX];
    int64_t now_us;
    uint64_t random;
    uint64_t orders;
    uint64_t requests;
    uint64_t messages; /* sent between instances */
    uint64_t by_kind[MSG_KINDS];
    struct net_packet *packets;
    size_t n_packets;
    size_t room;
    struct net_answer *answers;
    size_t n_answers;
    struct net_start *starts;
    size_t n_starts;
    struct config *config;
    struct effects fx;
};

struct net *net_new(const struct net_options *o);
void net_free(struct net *n);

/** net_random() - seeded; in 0 to below @below */
uint64_t net_random(struct net *n, uint64_t below);

/** net_run() - goes on for that long */
void net_run(struct net *n, int64_t for_us);

/** net_step() - one event at one node, now */
void net_step(struct net *n, int node, const struct event *ev);

/** net_submit() - a job of @n_tasks; @body stands for its content; returns
 * the request */
uint64_t net_submit(struct net *n, int node, const char *key, int n_tasks,
                    uint64_t body);

/** net_submit_spec() - the same with a job as given, which it frees */
uint64_t net_submit_spec(struct net *n, int node, const char *key,
                         struct job_spec *spec, bool respond_async);
uint64_t net_get(struct net *n, int node, const char *key, bool wait);
uint64_t net_cancel(struct net *n, int node, const char *key);
void net_stop(struct net *n, int node);

/** net_send() - a message from a node, or from anybody else, arrives now;
 * frees @m */
void net_send(struct net *n, struct name from, int to, struct msg *m);

/** net_key() - a minted key of a zone, issued so long before now */
void net_key(const struct net *n, const char *zone, int number, int64_t ago_us,
             char out[KEY_TEXT_SIZE]);

/** net_kill() - the process is gone; connections break */
void net_kill(struct net *n, int node);

/** net_restart() - a new incarnation with nothing remembered */
void net_restart(struct net *n, int node);

/** net_freeze() - pauses a process, or lets it go on; the clock goes on */
void net_freeze(struct net *n, int node, bool frozen);

/** net_answer() - of a request; its kind is EFFECT_KINDS while it waits */
const struct net_answer *net_answer(const struct net *n, uint64_t request);

/** net_problem() - whether the request was refused with that problem */
bool net_problem(const struct net *n, uint64_t request, enum problem problem);

/** net_ended() - whether it was answered with that status and reason */
bool net_ended(const struct net *n, uint64_t request, enum job_status status,
               enum reason reason);

/** net_starts() - starts of a task that upstreams saw */
int net_starts(const struct net *n, const char *key, int index);

/** net_started_twice() - tasks that upstreams saw started more than once */
int net_started_twice(const struct net *n);

/** net_doubled_answers() - requests answered more than once */
int net_doubled_answers(const struct net *n);

#endif
