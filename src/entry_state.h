/**
 * DOC: entry_state - state shared by the modules of the entry reducer
 *
 * Internal to the reducer.  Each module keeps its state behind a pointer in
 * struct entry and is called by entry.c with an event, or by another module
 * through its header.  e->now and e->fx are valid only during a step.
 *
 * Call structure: entry.c routes events to modules.  member.c notifies the
 * other modules when an instance comes up or goes down.  jobs.c owns a job
 * from submission to answer: it claims the key through claim.c and then passes
 * the tasks to dispatch.c.  dispatch.c queues the tasks and starts them on
 * upstreams known to upstream.c or on slots borrowed by slot.c, and reports
 * the end of each task with jobs_task_ended().
 */
#ifndef BM_ENTRY_STATE_H
#define BM_ENTRY_STATE_H

#include "entry.h"
#include "evacuation.h"
#include "table.h"

/* MUTANT() - whether the named faulty decision is enabled (mutation testing of
 * the fault matrix).  Always false unless built with BM_MUTANTS. */
#ifdef BM_MUTANTS
#define MUTANT(e, name) ((e)->opts.mutants[MUTANT_##name])
#else
#define MUTANT(e, name) false
#endif

/* The claim window divided by this is the longest deadline of a job or query.
 * After a pause of that length an instance also refuses bare keys for a
 * moment, see release_after_pause() in entry.c. */
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
    struct entry_options opts; /* opts.peers and opts.controls are copies */
    struct name zone;          /* of this instance */
    struct moment now;
    struct effects *fx;
    struct config *config; /* NULL until one is received */
    struct evacuation_set evacuated;
    bool evacuation_known; /* received, or there is no control */
    bool stopping;
    bool stop_reported;
    uint64_t random;       /* generator state of entry_random() */
    uint64_t last_call_id; /* see entry_new_call_id() */
    int64_t last_step_us;
    int64_t refuse_bare_until_us; /* monotonic; concerns bare keys */
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

/** entry_random() - next number of the seeded splitmix64 generator */
uint64_t entry_random(struct entry *e);

/** entry_jitter() - a random time between 0.5 and 1.5 times @us */
int64_t entry_jitter(struct entry *e, int64_t us);

/** entry_new_call_id() - a call number unique within this incarnation */
uint64_t entry_new_call_id(struct entry *e);

/** entry_send() - sends a message; takes ownership of the contents of @m and
 * zeroes it */
void entry_send(struct entry *e, struct name to, struct msg *m);

/** entry_log() - logs a decision
 *
 * @severity is a syslog level.  @key may be NULL, @index is the task or -1,
 * and @subject (an upstream or instance) may be empty.  Lines with a key are
 * also kept for explain queries. */
void entry_log(struct entry *e, int severity, enum reason reason,
               const struct key_id *key, int32_t index, struct name subject,
               const char *format, ...) __attribute__((format(printf, 7, 8)));

/** entry_apply_config() - applies a copy of @config if its version is higher
 * than that of the current configuration */
void entry_apply_config(struct entry *e, const struct config *config);

/** entry_update_evacuation() - applies the evacuated zones that a control
 * process or a member reports, if their revision is above the known one */
void entry_update_evacuation(struct entry *e, struct name from,
                             uint64_t revision,
                             const struct rec_evacuated_zone *zones,
                             size_t n_zones);

/** entry_may_start_in() - whether tasks may be started on upstreams of the
 * zone: it is known not to be evacuated */
bool entry_may_start_in(const struct entry *e, struct name zone);

/** entry_refuse() - answers a request with a problem, see struct ef_problem.
 * Does nothing for REQUEST_NONE. */
void entry_refuse(struct entry *e, uint64_t request, enum problem problem,
                  int64_t retry_after_us, const char *detail);

#endif
