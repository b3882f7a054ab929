/**
 * DOC: vlease_state - what the parts of vlease share
 *
 * vlease.c carries events between brokers; vleasefault.c strikes them;
 * vevacuate.c has the evacuations of zones and judges starts in them;
 * vleaseup.c is the stand-in of an upstream; vleasecall.c has the callers and
 * judges what they are told.
 */
#ifndef BM_VLEASE_STATE_H
#define BM_VLEASE_STATE_H

#include <stdio.h>

#include "evacuation.h"
#include "registry.h"
#include "vlease.h"

/* Processes that start together differ by so much. */
#define STARTS_APART_US (20 * USEC_PER_MSEC)

enum vevent_kind {
    VEV_MESSAGE,   /* to a broker or registry */
    VEV_PEER,      /* a connection came or went */
    VEV_TICK,      /* a broker's timer */
    VEV_REQUEST,   /* a call reaches an upstream */
    VEV_ANSWER,    /* and its answer the broker */
    VEV_LOOK_DUE,  /* a waiting look is answered */
    VEV_RUN_END,   /* a run may have ended */
    VEV_LAPSE,     /* the lease of an upstream may have passed */
    VEV_ANNOUNCE,  /* an upstream announces itself */
    VEV_ARRIVE,    /* a caller hands a job in */
    VEV_RESEND,    /* once more */
    VEV_WAKE,      /* a paused broker continues */
    VEV_GONE,      /* a leaving upstream ends */
    VEV_LEAVE,     /* a caller leaves */
    VEV_LEFT,      /* a broker that stood still finds that it did */
    VEV_EVACUATED, /* a registry learns of an evacuation or its end */
};

/** struct vevent - something that happens at @at_us; owns @msg and @request */
struct vevent {
    int64_t at_us;
    uint64_t order;
    enum vevent_kind kind;
    uint32_t from;   /* process, or upstream */
    uint32_t to;     /* process, upstream or queue */
    uint64_t life;   /* of @to when it was sent; others drop it */
    uint64_t number; /* of a call, a look, a run or a job */
    uint32_t closed; /* of a message: vlease.closed when it was sent */
    bool up;
    bool arrived; /* a message, where its receiver stood still */
    bool late;    /* a call that is carried out later, without an answer */
    struct msg msg;
    struct lease_request request;
    struct lease_answer answer;
};

/** struct vprocess - a broker or a registry */
struct vprocess {
    struct name name;
    struct name zone;
    uint32_t number;
    uint64_t life;
    bool down;
    bool cut;
    bool cut_upstreams;
    bool stopped;
    int64_t paused_until_us;
    int64_t polled_us; /* callers that left before this are known, as long as
                        * it is unpolled */
    int64_t unpolled_until_us;
    int64_t wall_off_us;
    struct broker *broker;
    struct registry *registry;
    struct msg kept; /* on a registry's disk: upstreams, a hint */
    bool polled[VLEASE_BROKERS_MAX];   /* a registry: has an open poll of it */
    struct instance_capacity declared; /* a broker, in this life */
    int64_t disturbed_until_us; /* a broker: it need not know what changed */
    int64_t tick_us;
};

struct vrun {
    struct run_ref task;
    uint32_t cpu_milli;
    int64_t begun_us;
    int64_t left_us; /* of its work, at @moved_us */
    int64_t moved_us;
    int64_t whole_us;
    uint64_t number;
};

struct vlook {
    uint64_t call;
    uint32_t from;
    uint64_t from_life;
    struct lease_request request;
    bool waiting;
};

struct vupstream {
    struct name name;
    struct name zone;
    uint32_t number;
    uint32_t zone_number;
    uint32_t cpu_milli;
    double speed;
    uint64_t born_ms;
    uint64_t life;
    uint64_t sequence;
    enum vlease_trouble trouble;
    bool gone;
    int64_t leaving_us;
    int64_t born_us;
    char kind;
    uint64_t fence;
    int64_t deadline_ms;
    struct vrun runs[16];
    size_t n_runs;
    struct lease_ended *ended;
    int64_t *ended_at_us;
    size_t n_ended;
    size_t ended_room;
    uint64_t last_ended;
    struct vlook look;
    struct run_ref stopped[64]; /* runs that must not start any more */
    size_t n_stopped;
};

/** struct vroom_change - from @at_us on an upstream does that share of its
 * work, for a bound of what could have been done */
struct vroom_change {
    int64_t at_us;
    uint32_t upstream;
    double share;
};

struct vjob {
    uint32_t queue;
    uint32_t tasks;
    uint32_t cpu_milli;
    uint32_t broker;
    uint64_t request; /* 0: not waiting */
    int64_t asked_us;
    int64_t objective_us;
    int64_t run_us;
    int64_t declared_us;
    bool started;
    bool answered;
    bool left;
    enum job_outcome outcome;
    int64_t answered_us;
    int64_t retry_us; /* told in a refusal */
};

/** struct vevacuation - the evacuated zones from @at_us on */
struct vevacuation {
    int64_t at_us;
    struct evacuation_set set;
};

enum { VLEASE_EVACUATIONS_MAX = 16 };

struct vlease {
    struct vlease_options opts;
    int64_t now_us;
    uint64_t order;
    uint64_t random;
    struct vevent *heap;
    size_t n_heap;
    size_t heap_room;
    struct vprocess processes[VLEASE_BROKERS_MAX + VLEASE_ZONES_MAX];
    uint32_t n_brokers;
    uint32_t n_processes;
    int64_t last_us[VLEASE_BROKERS_MAX + VLEASE_ZONES_MAX]
                   [VLEASE_BROKERS_MAX + VLEASE_ZONES_MAX];
    /* How often the first closed its end of a connection with the second. */
    uint32_t closed[VLEASE_BROKERS_MAX + VLEASE_ZONES_MAX]
                   [VLEASE_BROKERS_MAX + VLEASE_ZONES_MAX];
    struct vupstream upstreams[VLEASE_UPSTREAMS_MAX];
    uint32_t n_upstreams;
    struct vjob *jobs; /* job N is number N + 1 */
    size_t n_jobs;
    size_t jobs_room;
    double load;
    uint32_t shift_from; /* zones; alike for none */
    uint32_t shift_to;
    double shift_share;
    double queue_load[VLEASE_QUEUES_MAX]; /* added to the usual load of 1 */
    int64_t dark_us; /* when all power was lost last; 0: never */
    struct vroom_change *changes;
    size_t n_changes;
    size_t changes_room;
    struct vevacuation evacuations[VLEASE_EVACUATIONS_MAX];
    size_t n_evacuations;
    uint64_t runs;
    uint64_t starts;
    struct vlease_faults faults;
    struct broker_effects effects;
    struct control_effects registry_effects;
    vlease_hook *hook;
    void *hook_ctx;
    FILE *log;
};

/* vlease.c */
uint64_t vlease_random(struct vlease *v, uint64_t n);
struct vevent *vlease_at(struct vlease *v, int64_t at_us,
                         enum vevent_kind kind);
void vlease_step(struct vlease *v, struct vprocess *p,
                 struct broker_event *ev);

/** vlease_fault() - counts a broken promise, and logs it */
void vlease_fault(struct vlease *v, uint32_t *counter, struct name where,
                  struct run_ref task);

/** vlease_announce() - what an upstream says reaches its zone's registry */
void vlease_announce(struct vlease *v, const struct vupstream *u,
                     const struct rec_leased_upstream *info);

/** vlease_delay_us() - one way between two zones */
int64_t vlease_delay_us(struct vlease *v, struct name a, struct name b);

/** vlease_moment() - now, by that process's clocks */
struct moment vlease_moment(const struct vlease *v, const struct vprocess *p);

/** vlease_connected() - whether messages pass between them */
bool vlease_connected(const struct vprocess *a, const struct vprocess *b);

/** vlease_read_config() - what the brokers read their configuration with */
struct queueconf *vlease_read_config(const char *text, size_t size,
                                     enum queueconf_error *fault);

/* vevacuate.c */

/** vevacuate_fill_reply() - adds the evacuated zones that the registry knows
 * of */
void vevacuate_fill_reply(const struct vlease *v, const struct vprocess *p,
                          struct rec_config_reply *r);

/** vevacuate_is_news() - whether the registry knows of a newer revision */
bool vevacuate_is_news(const struct vlease *v, const struct vprocess *p,
                       uint64_t known_revision);

/** vevacuate_disturb() - the broker can't be expected to know of changes
 * before @until_us */
void vevacuate_disturb(struct vprocess *p, int64_t until_us);

/** vevacuate_judge_start() - a broker sends a start: counts it as a fault if
 * the upstream's zone has been evacuated for too long */
void vevacuate_judge_start(struct vlease *v, const struct vprocess *p,
                           const struct vupstream *u, struct run_ref task);
void vevacuate_free(struct vlease *v);

/* vleaseup.c */

/** vlease_room_changed() - from @at_us on the upstream does that share of its
 * work; in the order of @at_us for each upstream */
void vlease_room_changed(struct vlease *v, uint32_t upstream, int64_t at_us,
                         double share);

void vup_init(struct vlease *v, uint32_t number, uint32_t zone);
void vup_free(struct vupstream *u);
void vup_on_request(struct vlease *v, const struct vevent *e);
void vup_on_run_end(struct vlease *v, const struct vevent *e);
void vup_on_look_due(struct vlease *v, const struct vevent *e);
void vup_on_lapse(struct vlease *v, const struct vevent *e);
void vup_on_announce(struct vlease *v, const struct vevent *e);
void vup_on_gone(struct vlease *v, const struct vevent *e);

/* vleasecall.c */
void vcall_on_arrive(struct vlease *v, const struct vevent *e);
void vcall_on_leave(struct vlease *v, const struct vevent *e);
void vcall_on_left(struct vlease *v, const struct vevent *e);
void vcall_on_resend(struct vlease *v, const struct vevent *e);
void vcall_on_answer(struct vlease *v, struct vprocess *p,
                     const struct be_answer *a);

/** vcall_broken() - the connections of a broker's callers are gone */
void vcall_broken(struct vlease *v, const struct vprocess *p);

/** vcall_started() - a run of that task begins */
void vcall_started(struct vlease *v, struct run_ref task);

/** vcall_run_us() - how long a task of a job takes where it is sound */
int64_t vcall_run_us(const struct vlease *v, uint64_t number, uint32_t index);

/** vcall_straggler_factor() - on the run time of the task, also where it runs
 * again */
double vcall_straggler_factor(const struct vlease *v, uint64_t number,
                              uint32_t index);

/** vcall_job() - the job of that number, or NULL */
struct vjob *vcall_job(struct vlease *v, uint64_t number);

#endif
