/**
 * DOC: one_entry - test fixture with a single entry reducer
 *
 * The test takes the part of callers, upstreams and other instances.  Effects
 * are collected until one_clear().  Claims are granted at once, and fences are
 * answered at once unless manual_fences is set.
 */
#ifndef BM_ONE_ENTRY_H
#define BM_ONE_ENTRY_H

#include "entry.h"

/** struct one - an entry under test; tests may change fields marked "set" */
struct one {
    struct entry *e;
    struct effects fx;
    size_t handled; /* effects already checked for automatic answers */
    int64_t now_us;
    uint64_t requests;      /* last request number */
    int service;            /* set: index of the service to submit to */
    struct resources need;  /* of tasks; all zero: the service's default */
    bool manual_fences;     /* set: fences are not answered */
    uint32_t fence_running; /* set: running tasks in answers to fences */
    struct service_conf services[2]; /* "camp" of "team", "tents" of "other" */
    struct team_conf teams[2];
    struct config config;
};

/** struct one_options - zero values select the defaults */
struct one_options {
    int peers; /* number of other instances, up from the start */
    bool peers_in_other_zone;   /* the peers are in another zone */
    uint32_t slots_max_running; /* quota of the team */
    uint32_t starts_per_s;
    uint32_t queue_max;
    enum queue_order order;
    int64_t deadline_us;
    enum placement placement;
};

struct one *one_new(const struct one_options *o);
void one_free(struct one *o);

/** one_step() - processes one event at the current time; appends effects */
void one_step(struct one *o, struct event *ev);

/** one_run() - advances the time, with ticks when they are due */
void one_run(struct one *o, int64_t for_us);

/** one_clear() - clears the collected effects */
void one_clear(struct one *o);

/** one_count_effects() - number of effects of a kind since one_clear() */
size_t one_count_effects(const struct one *o, enum effect_kind kind);

/** one_effect() - the effect number @i of a kind, or NULL */
const struct effect *one_effect(const struct one *o, enum effect_kind kind,
                                size_t i);

/** one_message_sent() - the sent message number @i of a kind, or NULL */
const struct msg *one_message_sent(const struct one *o, enum msg_kind kind,
                                   size_t i);

/** one_upstream_info() - announcement of an upstream with 4 slots */
struct rec_upstream_info one_upstream_info(const char *name);

void one_announce(struct one *o, struct rec_upstream_info info);

/** one_set_need() - sets the CPU need of tasks submitted from now on */
void one_set_need(struct one *o, uint32_t cpu_milli);

uint64_t one_submit(struct one *o, const char *key, int n_tasks,
                    int64_t run_us);
void one_cancel(struct one *o, const char *key);

/** one_end_start() - ends the start with that call number */
void one_end_start(struct one *o, uint64_t call, enum start_outcome outcome,
                   bool ok);

/** one_end_all_starts() - clears the collected effects and ends all starts
 * among them; returns the number of starts */
size_t one_end_all_starts(struct one *o, enum start_outcome outcome, bool ok);
void one_revoke_reply(struct one *o, uint64_t call,
                      enum revoke_outcome outcome);

/** one_message() - delivers a message from another instance; these are named
 * "p0", "p1" and so on.  Frees the contents of @m. */
void one_message(struct one *o, const char *from, struct msg *m);

/** one_heartbeat() - delivers a peer's heartbeat */
void one_heartbeat(struct one *o, const char *from, uint64_t incarnation);

/** one_heartbeat_with_load() - the same, with the peer's load of the service
 * "camp" */
void one_heartbeat_with_load(struct one *o, const char *from, uint64_t running,
                             uint64_t backlog);

/** one_upstream_news() - delivers a peer's UPSTREAM_NEWS on one upstream */
void one_upstream_news(struct one *o, const char *from,
                       struct rec_upstream_info info);

/** one_answer() - the answer or problem sent for a request, or NULL */
const struct effect *one_answer(const struct one *o, uint64_t request);

/** one_answered_with() - whether the answer to a request has that status and
 * reason */
bool one_answered_with(const struct one *o, uint64_t request,
                       enum job_status status, enum reason reason);

#endif
