/**
 * DOC: entry_net - several entry reducers on a fake network, in virtual time
 *
 * Messages take 1.5 ms; a test may drop, duplicate, delay or reorder them.
 * Upstreams are fakes that record every start.
 */
#ifndef BM_ENTRY_NET_H
#define BM_ENTRY_NET_H

#include "entry.h"

enum {
    ENET_NODES_MAX = 12,
    ENET_UPSTREAMS_MAX = 32,
    ENET_PER_ZONE = 8,   /* upstreams in a zone */
    ENET_ALL_TASKS = -1, /* for enet_count_starts(): all tasks of the key */
};

#define ENET_DELAY_US INT64_C(1500)

struct enet;

/** enum enet_delivery - what the network does with a message */
enum enet_delivery { ENET_DELIVER, ENET_DROP, ENET_DUPLICATE, ENET_DELAY };

/** struct enet_options - how to construct a network */
struct enet_options {
    int zones;
    int per_zone;
    uint64_t seed;
    bool new_region;
    int64_t run_us; /* run time of every task */
    /* percentages of the messages between instances */
    int lost_percent;
    int duplicated_percent;
    int delayed_percent; /* by up to 40 ms, so that messages are reordered */
    /* faults chosen by the test; NULL: none */
    enum enet_delivery (*filter)(struct enet *n, int from, int to,
                                 const struct msg *m);
    /* gets messages to processes that are no node, e.g. control */
    void (*on_unknown_dest)(struct enet *n, int from, struct name to,
                            const struct msg *m);
    void (*adjust_options)(struct entry_options *o);
    bool no_config; /* nodes start without a configuration */
};

/** struct enet_answer - a request and its answer, if it has come */
struct enet_answer {
    uint64_t request;
    int node;
    uint64_t
        node_incarnation; /* incarnation of the node that got the request */
    int answer_count;     /* number of answers: more than one is a fault */
    enum effect_kind kind;
    struct ef_problem problem;
    struct job_answer *answer;
    char *text; /* JSON of an EF_TEXT */
};

struct enet_packet {
    int64_t at_us;
    uint64_t order;
    int to;
    uint64_t
        to_incarnation; /* incarnation of the receiver for upstream events */
    struct event event; /* pointers are owned by the packet */
    struct msg msg;
};

struct enet_node {
    struct name name;
    struct name zone;
    uint64_t incarnation;
    struct entry *e; /* NULL while not running */
    bool is_paused;  /* process paused: neither receives nor sends */
    bool stopped;
};

struct enet_upstream {
    struct name name;
    struct name zone;
    uint64_t incarnation;
    uint64_t epoch;
    bool unresponsive;
    int64_t next_announce_us;
};

struct enet_start {
    struct key_id key;
    uint32_t index;
    int node;
    int upstream;
    int64_t at_us;
    int64_t end_us;
};

struct enet {
    struct enet_options opts;
    struct enet_node nodes[ENET_NODES_MAX];
    int n_nodes;
    struct enet_upstream upstreams[ENET_UPSTREAMS_MAX];
    int n_upstreams;
    struct entry_peer peers[ENET_NODES_MAX];
    int64_t now_us;
    uint64_t random;
    uint64_t next_order;
    uint64_t last_request;
    uint64_t messages; /* sent between nodes */
    uint64_t messages_by_kind[MSG_KINDS];
    struct enet_packet *packets;
    size_t n_packets;
    size_t room;
    struct enet_answer *answers;
    size_t n_answers;
    struct enet_start *starts;
    size_t n_starts;
    struct config *config;
    struct effects fx;
};

/** enet_new() - starts all nodes, announces the upstreams and runs 1 s */
struct enet *enet_new(const struct enet_options *o);
void enet_free(struct enet *n);

/** enet_random() - next seeded random number, from 0 to below @below */
uint64_t enet_random(struct enet *n, uint64_t below);

/** enet_run() - advances the virtual time by @for_us */
void enet_run(struct enet *n, int64_t for_us);

/** enet_step() - applies an event to a node, now, and its effects */
void enet_step(struct enet *n, int node, const struct event *ev);

/** enet_submit() - submits a job of @n_tasks with @body as digest of its body;
 * returns the request */
uint64_t enet_submit(struct enet *n, int node, const char *key, int n_tasks,
                     uint64_t body);

/** enet_submit_spec() - submits @spec, which it frees; returns the request */
uint64_t enet_submit_spec(struct enet *n, int node, const char *key,
                          struct job_spec *spec, bool respond_async);

/** enet_get(), enet_explain(), enet_dump(), enet_cancel() - return their
 * request */
uint64_t enet_get(struct enet *n, int node, const char *key, bool wait);
uint64_t enet_explain(struct enet *n, int node, const char *key);
uint64_t enet_dump(struct enet *n, int node);
uint64_t enet_cancel(struct enet *n, int node, const char *key);
void enet_stop(struct enet *n, int node);

/** enet_inject() - delivers a message now, from a node or any other name;
 * frees what @m owns */
void enet_inject(struct enet *n, struct name from, int to, struct msg *m);

/** enet_mint_key() - mints a key of a zone, issued @ago_us before now */
void enet_mint_key(const struct enet *n, const char *zone, int number,
                   int64_t ago_us, char out[KEY_TEXT_SIZE]);

/** enet_kill() - ends a node's process, which breaks its connections */
void enet_kill(struct enet *n, int node);

/** enet_restart() - starts a new incarnation of a node without any state */
void enet_restart(struct enet *n, int node);

/** enet_pause() - pauses or resumes a node's process; its clock goes on */
void enet_pause(struct enet *n, int node, bool frozen);

/** enet_answer() - the answer to a request; its kind is EFFECT_KINDS before it
 * has come */
const struct enet_answer *enet_answer(const struct enet *n, uint64_t request);

/** enet_refused_with() - whether the request was refused with that problem */
bool enet_refused_with(const struct enet *n, uint64_t request,
                       enum problem problem);

/** enet_answered_with() - whether a request was answered with that status
 * and reason */
bool enet_answered_with(const struct enet *n, uint64_t request,
                        enum job_status status, enum reason reason);

/** enet_count_starts() - number of starts of a task at upstreams */
int enet_count_starts(const struct enet *n, const char *key, int index);

/** enet_count_repeated_starts() - number of repeated starts of tasks at
 * upstreams */
int enet_count_repeated_starts(const struct enet *n);

/** enet_count_unanswered() - number of requests without an answer at nodes
 * that did not restart since */
int enet_count_unanswered(const struct enet *n);

/** enet_count_repeated_answers() - requests answered more than once */
int enet_count_repeated_answers(const struct enet *n);

#endif
