/**
 * DOC: vnet - entry instances, callers and upstreams in virtual time
 *
 * Drives the real reducers: what they send travels with fixed delays through
 * one heap of hops, to small stand-ins for callers (vcaller.c) and upstreams
 * (vupstream.c) and to each other.  Nothing reads a clock, and all randomness
 * comes from one seed, so a run repeats to the byte.  Faults are put in by a
 * hook that sees every hop when it is sent and when it arrives; what callers
 * and upstreams saw is recorded, and vcheck.c judges it.  One thread a vnet.
 */
#ifndef BM_VNET_H
#define BM_VNET_H

#include <gsl/gsl_rng.h>

#include "delta.h"
#include "entry.h"
#include "map.h"
#include "table.h"
#include "vdisk.h"

/* HOP(NAME, whether it crosses the network) */
/* clang-format off */
#define HOP_LIST(HOP)                                                         \
    HOP(MESSAGE, 1)  /* between instances */                                  \
    HOP(SUBMIT, 1)                                                            \
    HOP(CANCEL, 1)                                                            \
    HOP(ANSWER, 1)                                                            \
    HOP(PROBLEM, 1)                                                           \
    HOP(START, 1)                                                             \
    HOP(ENDED, 1)                                                             \
    HOP(REVOKE, 1)                                                            \
    HOP(REVOKED, 1)                                                           \
    HOP(FENCE, 1)                                                             \
    HOP(FENCED, 1)                                                            \
    HOP(ANNOUNCE, 1)                                                          \
    HOP(LEAVE, 1)                                                             \
    HOP(ANNOUNCED, 1)                                                         \
    HOP(PUBLISH, 1)                                                           \
    HOP(PUBLISHED, 1)                                                         \
    HOP(RESET, 0)    /* a caller's connection breaks */                       \
    HOP(PEER, 0)     /* an instance's connection comes or goes */             \
    HOP(RUN_END, 0)  /* a task ends on its upstream */                        \
    HOP(SILENCE, 0)  /* a call's patience is over */                          \
    HOP(ALARM, 0)    /* a process's own timer */                              \
    HOP(SCRIPT, 0)   /* a step of the scenario */
/* clang-format on */

enum { VCONTROLS = 3 };

enum hop_kind {
#define HOP(NAME, network) HOP_##NAME,
    HOP_LIST(HOP)
#undef HOP
        HOP_KINDS,
};

enum end_role {
    END_INSTANCE,
    END_UPSTREAM,
    END_CALLER,
    END_CONTROL,
    END_OPERATOR,
    END_NONE,
};

/** struct end - a process: role and index */
struct end {
    enum end_role role;
    uint32_t index;
};

struct hop {
    int64_t at_us;
    int64_t sent_us;
    uint64_t order;  /* ties go by it */
    uint64_t number; /* among hops that cross the network, from 1 */
    enum hop_kind kind;
    struct end from;
    struct end to;
    uint64_t life; /* of the instance it is for or from; 0: any */
    uint64_t call; /* number of the call or request */
    uint64_t job;  /* number of the caller's job, where it is about one */
    uint64_t incarnation;
    uint64_t epoch;
    uint32_t code; /* outcome of its kind, or what the alarm is about */
    uint32_t index;
    bool ok;
    bool copy; /* made by a fault */
    int64_t us;
    struct blob *blob;         /* owned */
    struct msg msg;            /* owned */
    struct job_answer *answer; /* owned */
};

/** enum hop_point - when the hook is asked */
enum hop_point {
    POINT_SENT,    /* just carried out by its sender */
    POINT_ARRIVES, /* about to be read by its receiver */
    POINT_READ,    /* read; the receiver has done nothing about it yet */
};

/** enum hop_fate - the hook's word at POINT_SENT */
enum hop_fate { FATE_PASS, FATE_LOSE, FATE_DOUBLE, FATE_DELAY };

/* struct vopen - a call of an instance that has not come to an end */
struct vopen {
    uint64_t id; /* first: looked up by it */
    struct handle self;
};

struct vnet;

struct vnet_hook {
    enum hop_fate (*at)(void *arg, struct vnet *n, enum hop_point point,
                        struct hop *h, int64_t *delay_us);
    void *arg;
};

struct vinstance {
    struct entry *entry; /* NULL while it is dead */
    struct name name;
    uint32_t zone;
    uint64_t life; /* incarnation */
    int64_t paused_until_us;
    int64_t tick_us;
    bool stopping;
    bool stopped;
    uint64_t version;       /* highest in force in this life */
    uint64_t version_known; /* highest ever in force here */
};

/** struct vstart - one start that an upstream accepted */
struct vstart {
    uint64_t job;
    uint32_t index;
    uint32_t upstream;
    uint64_t incarnation;
    int64_t at_us;
};

/** struct vtombstone - a task that an upstream promised never to start */
struct vtombstone {
    uint64_t job;
    uint32_t index;
};

struct vupstream {
    struct name name;
    uint32_t zone;
    uint32_t rack;
    uint64_t incarnation;
    uint64_t epoch;
    uint32_t holder; /* the instance that fenced with it */
    uint32_t slots;
    uint32_t running;
    uint32_t asks; /* announcements made, picks the instance */
    bool dead;
    bool hung;          /* its machine is gone: nothing is even refused */
    bool failing;       /* every task runs and fails at once */
    double slow;        /* run times are multiplied */
    int64_t leaving_us; /* when it first said so; 0: not */
    int64_t busy_us;    /* slot time used */
    struct vtombstone *tombstones;
    size_t n_tombstones;
};

/** struct vcontrol - a control process */
struct vcontrol {
    struct control *control; /* NULL while it is dead */
    struct vdisk disk;
    uint64_t life;
    int64_t paused_until_us;
    int64_t tick_us;
};

/** struct voperator - one publication, over all its requests */
struct voperator {
    uint64_t request; /* its request id */
    uint64_t base;
    uint64_t version; /* 0: not accepted yet, as far as it knows */
    uint64_t ask;     /* number of the request under way */
    uint32_t member;  /* asked */
    struct blob *text;
};

/** struct vversion - a version and its text, as first seen anywhere */
struct vversion {
    uint64_t version;
    uint64_t digest;
};

/** struct vtask - one task of a caller's job and what truly became of it */
struct vtask {
    int64_t run_us;
    int64_t declared_us;
    uint32_t starts;
    uint32_t upstream;    /* of the last start */
    uint64_t incarnation; /* of that upstream */
    int64_t started_us;
    bool done;
    bool ok;
};

/** struct vkey - finds a caller's job by the id of its key */
struct vkey {
    struct key_id id; /* first: looked up by it */
    uint64_t job;
};

/** struct vcall - a caller's job, over all its submissions */
struct vcall {
    char key[KEY_TEXT_SIZE];
    struct key_id id; /* of @key */
    struct vtask *tasks;
    uint32_t n_tasks;
    struct resources need;
    uint32_t service;
    bool idempotent;
    bool never_fits;
    bool probe; /* must complete: all troubles are over by then */
    int64_t deadline_us;
    int64_t at_us;
    int64_t patience_us; /* per submission; then it asks elsewhere */
    uint32_t retries;    /* more submissions it makes after refusals */
    int64_t give_up_us;  /* no more of them then; 0: never */
    uint32_t submitted;
    uint64_t wished;     /* requests not caused by a refusal or a fault */
    int64_t resubmit_us; /* a second arrival beside the first; 0: none */
    int64_t cancel_us;   /* 0: never */
    uint32_t instance;   /* of its first submission */
    /* what the caller saw */
    bool settled;
    bool refused; /* settled by a problem */
    enum problem problem;
    bool told_not_run;       /* by a problem */
    int64_t told_not_run_us; /* when its instance said so */
    int64_t settled_us;
    struct job_answer *answer; /* the first */
};

/** struct vattempt - one request of a caller */
struct vattempt {
    uint64_t job;
    uint32_t instance;
    uint64_t life;
    bool open;
    bool cancel;
    bool arrived; /* was read by its instance */
    int64_t sent_us;
    bool replied; /* the instance sent its reply */
    int64_t replied_us;
    uint32_t replies;
};

/** struct vnet_options - sizes and delays; see vnet_options_default() */
struct vnet_options {
    uint32_t zones;
    uint32_t instances;   /* a zone */
    uint32_t upstreams;   /* a zone */
    uint32_t slots;       /* an upstream */
    uint32_t connections; /* an upstream */
    uint32_t rack;        /* upstreams a rack */
    uint64_t seed;
    int64_t zone_us;                /* one way inside a zone */
    int64_t far_us;                 /* one way between zones */
    int64_t client_us;              /* one way to callers */
    bool bytes;                     /* also count bytes of messages (slow) */
    struct entry_options entry;     /* identity is filled in */
    struct control_options control; /* identity is filled in */
    struct service_conf service;
    uint32_t services; /* in the configuration; the others get no jobs */
};

struct vnet {
    struct vnet_options opts;
    gsl_rng *rng;
    int64_t now_us;
    struct hop *heap;
    size_t n_heap;
    size_t heap_room;
    uint64_t orders;
    uint64_t hops; /* that crossed the network */
    struct vnet_hook hook;
    struct entry_peer *peers;
    struct vinstance *instances;
    uint32_t n_instances;
    struct vupstream *upstreams;
    uint32_t n_upstreams;
    struct vcall *calls;
    size_t n_calls;
    size_t calls_room;
    size_t n_settled;
    struct vattempt *attempts;
    size_t n_attempts;
    size_t attempts_room;
    struct vstart *starts;
    size_t n_starts;
    size_t starts_room;
    struct table open; /* calls of instances that wait for an end */
    struct map open_by_id;
    struct table keys;
    struct map keys_by_id;
    struct hop *current;  /* the one being read */
    struct config config; /* last published */
    struct service_conf *services;
    struct team_conf team;
    struct name control_names[VCONTROLS];
    struct vcontrol controls[VCONTROLS];
    struct voperator *operators;
    size_t n_operators;
    size_t operators_room;
    uint64_t requests; /* request ids used */
    struct vversion *versions;
    size_t n_versions;
    size_t versions_room;
    uint64_t accepted; /* the highest version acknowledged */
    int64_t cut_until_us[ZONES_MAX];
    struct effects fx;
    uint64_t hop_count[HOP_KINDS];
    uint64_t msg_count[MSG_KINDS];
    uint64_t msg_bytes[MSG_KINDS];
    uint64_t broken[PROMISES];
    char first_broken[200];
    void (*script)(struct vnet *n, const struct hop *h);
    uint64_t steps;          /* of reducers */
    FILE *log;               /* decisions of the reducers; NULL: none */
    int64_t (*cpu_ns)(void); /* measures the reducers alone; NULL: not */
    int64_t used_ns;
};

/** vnet_options_default() - three zones with two instances each */
struct vnet_options vnet_options_default(void);

/** vnet_new() - all processes start at time 0.  Ends the process when memory
 * is out, as everything here does. */
struct vnet *vnet_new(const struct vnet_options *o);
void vnet_free(struct vnet *n);

/* vhop.c: the heap of hops and the network */
void vhop_push(struct vnet *n, const struct hop *h);

/** vhop_pop() - takes the earliest out; there must be one */
struct hop vhop_pop(struct vnet *n);

/** vhop_clear() - releases what a hop owns */
void vhop_clear(struct hop *h);

/** vhop_ask() - asks the hook about a hop */
enum hop_fate vhop_ask(struct vnet *n, enum hop_point point, struct hop *h,
                       int64_t *delay_us);

/* vcarry.c: carries out what an instance decides */

/** vcarry_close() - the call that this reply is for came to an end; false
 * when it had before */
bool vcarry_close(struct vnet *n, const struct hop *h);

/** vcarry_process() - the instance or control process of that name */
struct end vcarry_process(const struct vnet *n, struct name name);

/* varrive.c */
void varrive_at_instance(struct vnet *n, struct hop *h);

/** vnet_job() - number of the caller's job with that key; 0 if none: numbers
 * count from 1 */
uint64_t vnet_job(const struct vnet *n, struct key_id id);

/** vnet_call() - the caller's job of that number */
struct vcall *vnet_call(const struct vnet *n, uint64_t job);

/** vnet_run() - until that time */
void vnet_run(struct vnet *n, int64_t until_us);

/** vnet_add() - puts a hop under way; @delay_us from now */
struct hop *vnet_add(struct vnet *n, enum hop_kind kind, struct end from,
                     struct end to, int64_t delay_us);

/** vnet_send() - the same over the network, with its delay and its faults;
 * takes over what the hop owns */
void vnet_send(struct vnet *n, struct hop *h);

/** vnet_moment() - the time as an event carries it */
struct moment vnet_moment(const struct vnet *n);

/** vnet_zone_of() - zone of a process; callers have none (ZONES_MAX) */
uint32_t vnet_zone_of(const struct vnet *n, struct end end);

/** vnet_break() - notes a broken promise */
void vnet_break(struct vnet *n, enum promise p, const char *format, ...)
    __attribute__((format(printf, 3, 4)));

/** vnet_publish() - an operator begins to publish a new text */
void vnet_publish(struct vnet *n);

/* Faults */
void vnet_kill(struct vnet *n, uint32_t instance);
void vnet_restart(struct vnet *n, uint32_t instance);
void vnet_pause(struct vnet *n, uint32_t instance, int64_t us);
void vnet_stop(struct vnet *n, uint32_t instance);
void vnet_cut(struct vnet *n, uint32_t zone, int64_t us);

/* For the stand-ins */

/** vnet_deliver() - gives an instance an event; false when it is dead */
bool vnet_deliver(struct vnet *n, uint32_t instance, struct event *ev);

/** vnet_grow() - room for one more element in an array */
void *vnet_grow(void *items, size_t n, size_t *room, size_t size);

/* vcaller.c */

/** vcaller_add() - a job to be submitted at @c.at_us; returns its number */
uint64_t vcaller_add(struct vnet *n, const struct vcall *c);
void vcaller_alarm(struct vnet *n, const struct hop *h);
void vcaller_arrives(struct vnet *n, struct hop *h);
void vcaller_reset(struct vnet *n, const struct hop *h);

/** vcaller_instance_died() - its open requests break */
void vcaller_instance_died(struct vnet *n, uint32_t instance, bool planned);
void vcaller_submit_arrives(struct vnet *n, struct hop *h);

/* vupstream.c */
void vupstream_begin(struct vnet *n, uint32_t upstream);
void vupstream_alarm(struct vnet *n, const struct hop *h);
void vupstream_arrives(struct vnet *n, struct hop *h);
void vupstream_run_end(struct vnet *n, const struct hop *h);
void vupstream_die(struct vnet *n, uint32_t upstream, bool hung);
void vupstream_restart(struct vnet *n, uint32_t upstream);
void vupstream_leave(struct vnet *n, uint32_t upstream);

/* vcontrol.c */
void vcontrol_begin(struct vnet *n);
void vcontrol_end(struct vnet *n);
void vcontrol_arrives(struct vnet *n, struct hop *h);
void vcontrol_kill(struct vnet *n, uint32_t control);
void vcontrol_restart(struct vnet *n, uint32_t control); /* with its disk */
void vcontrol_pause(struct vnet *n, uint32_t control, int64_t us);
void vcontrol_stop(struct vnet *n, uint32_t control);

/** vcontrol_next_us() - when a tick is due, and where */
int64_t vcontrol_next_us(struct vnet *n, uint32_t *control);
void vcontrol_tick(struct vnet *n, uint32_t control);

/* voperator.c */
void voperator_arrives(struct vnet *n, const struct hop *h);
void voperator_end(struct vnet *n);

/** voperator_text() - canonical text of the configuration last published */
struct blob *voperator_text(const struct vnet *n);

/** voperator_note() - equal versions must have equal texts */
void voperator_note(struct vnet *n, uint64_t version, uint64_t digest,
                    const char *whose);

/** voperator_accepted() - an operator was told that it is accepted */
void voperator_accepted(struct vnet *n, uint64_t version,
                        const struct blob *text);

/* vcheck.c */

/** vcheck_judge() - judges the records at the end; returns how many promises
 * were broken */
uint32_t vcheck_judge(struct vnet *n);

/** promise_text() - how it was broken */
const char *promise_text(enum promise p);
const char *hop_name(enum hop_kind kind);

#endif
