/**
 * DOC: one_entry - one entry reducer whose surroundings the test plays
 *
 * The test is callers, upstreams and the other instances.  Effects pile up
 * until one_clear(); fences and claims are answered at once unless the test
 * says otherwise.
 */
#ifndef BM_ONE_ENTRY_H
#define BM_ONE_ENTRY_H

#include "entry.h"

struct one {
    struct entry *e;
    struct effects fx;
    size_t handled; /* effects that were looked at for an answer */
    int64_t now_us;
    uint64_t requests;
    int service;            /* that jobs are submitted to */
    struct resources need;  /* of tasks; all zero: the service's default */
    bool manual_fences;     /* the test answers fences itself */
    uint32_t fence_running; /* told in answers to fences */
    struct service_conf services[2]; /* "camp" of "team", "tents" of "other" */
    struct team_conf teams[2];
    struct config config;
};

/** struct one_options - zero values mean the default */
struct one_options {
    int peers; /* other instances in the zone, up from the start */
    bool peers_in_other_zone;   /* they are in another zone */
    uint32_t slots_max_running; /* quota of the team */
    uint32_t starts_per_s;
    uint32_t queue_max;
    enum queue_order order;
    int64_t deadline_us;
    enum placement placement;
};

struct one *one_new(const struct one_options *o);
void one_free(struct one *o);

/** one_step() - one event, now; effects are appended */
void one_step(struct one *o, struct event *ev);

/** one_run() - time passes, with ticks when they are due */
void one_run(struct one *o, int64_t for_us);

/** one_clear() - forgets the effects so far */
void one_clear(struct one *o);

/** one_count_effects() - effects of a kind since one_clear() */
size_t one_count_effects(const struct one *o, enum effect_kind kind);

/** one_effect() - the @i-th of a kind, or NULL */
const struct effect *one_effect(const struct one *o, enum effect_kind kind,
                                size_t i);

/** one_message_sent() - the @i-th message of a kind, or NULL */
const struct msg *one_message_sent(const struct one *o, enum msg_kind kind,
                                   size_t i);

/** one_upstream_info() - what an upstream of 4 slots would announce */
struct rec_upstream_info one_upstream_info(const char *name);
void one_announce(struct one *o, struct rec_upstream_info info);

/** one_set_need() - what tasks submitted from now on need, in cpu_milli */
void one_set_need(struct one *o, uint32_t cpu_milli);

uint64_t one_submit(struct one *o, const char *key, int n_tasks,
                    int64_t run_us);
void one_cancel(struct one *o, const char *key);

/** one_end_start() - the start with that call ends */
void one_end_start(struct one *o, uint64_t call, enum start_outcome outcome,
                   bool ok);

/** one_end_all_starts() - the same for all starts since one_clear(), which
 * then forgets; returns how many there were */
size_t one_end_all_starts(struct one *o, enum start_outcome outcome, bool ok);
void one_revoke_reply(struct one *o, uint64_t call,
                      enum revoke_outcome outcome);

/** one_message() - from another instance, "p0" being the first */
void one_message(struct one *o, const char *from, struct msg *m);

/** one_heartbeat() - a peer says it is up */
void one_heartbeat(struct one *o, const char *from, uint64_t incarnation);

/** one_heartbeat_with_load() - the same, with what it runs and has queued of
 * "camp" */
void one_heartbeat_with_load(struct one *o, const char *from, uint64_t running,
                             uint64_t backlog);

/** one_upstream_news() - a peer tells of an upstream */
void one_upstream_news(struct one *o, const char *from,
                       struct rec_upstream_info info);

/** one_answer() - the answer or problem a request got, or NULL */
const struct effect *one_answer(const struct one *o, uint64_t request);

/** one_answered_with() - whether it was answered with that status and reason
 */
bool one_answered_with(const struct one *o, uint64_t request,
                       enum job_status status, enum reason reason);

#endif
