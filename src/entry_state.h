/**
 * DOC: entry_state - what the modules of the entry reducer share
 *
 * Internal to the reducer.  Each module keeps its own state behind a pointer
 * here and is called by entry.c with the event, or by another module through
 * its header.  e->now and e->fx are valid during a step.
 *
 * Who calls whom: entry.c routes events.  member.c tells the others who came
 * and went.  jobs.c owns jobs from submission to answer and asks claim.c for
 * the key, then hands tasks to dispatch.c; dispatch.c queues and places them
 * with what upstream.c knows and slot.c borrows, and reports each end with
 * jobs_task_ended().
 */
#ifndef BM_ENTRY_STATE_H
#define BM_ENTRY_STATE_H

#include "entry.h"
#include "table.h"

/* MUTANT() - whether to make this wrong decision.  Only the build that proves
 * the fault matrix can say yes. */
#ifdef BM_MUTANTS
#define MUTANT(e, name) ((e)->opts.mutants[MUTANT_##name])
#else
#define MUTANT(e, name) false
#endif

/* Part of the claim window that a job or a question may last at most, and a
 * pause after which an instance doubts what it finds waiting. */
enum { CLAIM_WINDOW_DIVISOR = 4 };

struct members;
struct claims;
struct jobs;
struct upstreams;
struct holders;
struct slots;
struct dispatch;
struct config_sync;
struct explain;
struct successors;
struct handover;

struct entry {
    struct entry_options opts; /* opts.peers is the entry's own copy */
    struct name zone;          /* of this instance */
    struct moment now;
    struct effects *fx;
    struct config *config; /* NULL until the first arrives */
    bool stopping;
    bool stop_reported;
    uint64_t random;       /* state of entry_random() */
    uint64_t last_call_id; /* see entry_new_call_id() */
    int64_t last_step_us;
    int64_t refuse_bare_until_us; /* bare keys are refused until then */
    struct entry_counters counters;
    struct members *members;
    struct claims *claims;
    struct jobs *jobs;
    struct upstreams *upstreams;
    struct holders *holders;
    struct slots *slots;
    struct dispatch *dispatch;
    struct config_sync *config_sync;
    struct explain *explain;
    struct successors *successors;
    struct handover *handover;
};

/** entry_random() - next number of the seeded generator (splitmix64) */
uint64_t entry_random(struct entry *e);

/** entry_jitter() - a time between half and one and a half times @us */
int64_t entry_jitter(struct entry *e, int64_t us);

/** entry_new_call_id() - a number no earlier call of this instance had */
uint64_t entry_new_call_id(struct entry *e);

/** entry_send() - sends a message; takes over what it owns */
void entry_send(struct entry *e, struct name to, struct msg *m);

/** entry_log() - logs a decision; @key may be NULL, @index -1, @subject
 * empty; the detail is printf-formatted */
void entry_log(struct entry *e, int severity, enum reason reason,
               const struct key_id *key, int32_t index, struct name subject,
               const char *format, ...) __attribute__((format(printf, 7, 8)));

/** entry_apply_config() - puts a copy in force if its version is above the
 * one in force */
void entry_apply_config(struct entry *e, const struct config *config);

/** entry_refuse() - answers a request with a problem; see struct ef_problem.
 * Does nothing for REQUEST_NONE. */
void entry_refuse(struct entry *e, uint64_t request, enum problem problem,
                  int64_t retry_after_us, const char *detail);

#endif
