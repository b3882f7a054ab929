/**
 * DOC: soak - what the parts of a soak share
 *
 * soak_setup.c writes settings and links; soak_inject.c carries the plan's
 * faults out and knows who is disturbed; soak_check.c holds what callers, the
 * operator and the processes do against what is promised.
 */
#ifndef BM_SOAK_H
#define BM_SOAK_H

#include <stdio.h>

#include "plan.h"
#include "procs.h"
#include "proxy.h"
#include "region.h"

enum {
    MEMBERS = 3,
    BROKERS_MAX = 100,
    PROCS_MAX = MEMBERS + BROKERS_MAX,
    WORKER_LINKS = PROCS_MAX, /* first owner number of the workers' links */
    ADDRESS_ROOM = 64,
    DIR_ROOM = 64,
    JOBS_PER_S = 14,
    PAIR_ZONES = 2, /* where faults come in pairs */
};

/* The bounds that the platform's settings name. */
#define CONTACT_US (3 * USEC_PER_SEC)
#define GRACE_US (6 * USEC_PER_SEC)
#define RECOVERY_US (12 * USEC_PER_SEC)
/* A process that ended is up again after that time. */
#define RESTART_US (500 * USEC_PER_MSEC)
#define STALL_US (100 * USEC_PER_MSEC)
/* Without faults, at the end. */
#define LAST_US (25 * USEC_PER_SEC)

/* Broken promises. */
/* clang-format off */
#define FINDING_LIST(FINDING)                                                 \
    FINDING(RAN_TWICE, "ran-twice")                                           \
    FINDING(FALSE_NOT_RUN, "false-not-run")                                   \
    FINDING(WRONG_ANSWER, "wrong-answer")                                     \
    FINDING(CONFIG_REVERTED, "config-reverted")                               \
    FINDING(CONFIG_LATE, "config-late")                                       \
    FINDING(CONFIG_LOST, "config-lost")                                       \
    FINDING(STARTED_LEAVING, "started-at-leaving-worker")                     \
    FINDING(STARTED_EVACUATED, "started-in-evacuated-zone")                   \
    FINDING(CUT_OFF, "cut-off-by-stop")                                       \
    FINDING(STOP_HANGS, "stop-not-ended")                                     \
    FINDING(ENDED, "ended-by-itself")                                         \
    FINDING(RESOURCES, "memory-or-descriptors")                               \
    FINDING(NOT_BACK, "service-not-back")
/* clang-format on */

enum finding {
#define FINDING(NAME, text) FINDING_##NAME,
    FINDING_LIST(FINDING)
#undef FINDING
        FINDINGS,
};

const char *soak_finding_text(enum finding f);

/**
 * struct soak - all of it
 * @no_times: bounds on times are not judged
 * @pairs: two zones, some long jobs, and faults that strike paths and takers
 * @evacuations: two zones, which are evacuated by turns
 * @evacuate_worker: number of a worker in the zone evacuated last
 * @evacuate_end_us: when that is to end; 0: no evacuation is to end
 * @unseen: brokers don't see that callers which are dropped have left
 * @base: first of its ports
 * @lock: a socket that keeps other soaks off these ports
 * @calm_from_us: of each process, when the last fault there is over
 * @core_calm_from_us: the same of all members of control
 * @all_calm_from_us: the same of all processes, links and workers
 * @turn: process that stops next in turn; -1: none does
 * @hang_us: of each worker that hangs, until when; 0: it does not
 * @round_us: begin of the last round
 * @stalled_us: when this process last stood still for STALL_US; workers and
 *              callers live in it, so that counts as a disturbance
 * @stalls: how often it did
 * @leave_us: of each worker that drains, when it starts anew; likewise
 */
struct soak {
    char *build;
    long seed;
    int minutes;
    int64_t length_us;
    int n_brokers;
    int n_workers;
    int no_times;
    int pairs;
    int evacuations;
    int unseen;
    int json;

    char dir[DIR_ROOM];
    int base;
    int lock;
    struct region region;
    char addresses[PROCS_MAX][ADDRESS_ROOM];
    struct proc procs[PROCS_MAX];
    int64_t calm_from_us[PROCS_MAX];
    int64_t core_calm_from_us;
    int64_t all_calm_from_us;
    int seen_version[PROCS_MAX]; /* newest in force, in this incarnation */
    int seen_incarnation[PROCS_MAX];
    struct proxy *proxy;
    struct soak_plan plan;
    size_t next_fault;
    int64_t begin_us;
    int64_t probe_us;
    size_t probe_at;
    int64_t look_us;
    int64_t progress_us;
    int64_t *acked_us; /* of each version; there is none numbered 0 */
    int n_versions;
    int turn;        /* broker that stops next; -1: none does */
    int64_t turn_us; /* then */
    int64_t hang_us[REGION_WORKERS_MAX];
    int64_t leave_us[REGION_WORKERS_MAX];
    size_t runs_seen[REGION_WORKERS_MAX];   /* while it drains */
    size_t runs_judged[REGION_WORKERS_MAX]; /* for evacuations */
    int evacuate_worker;
    int64_t evacuate_end_us;
    int n_faults[SOAK_FAULTS];
    int n_findings[FINDINGS];
    FILE *found;
    FILE *events; /* whom faults hit, and calls that did not end well */
    long probes;
    int64_t round_us;
    int64_t stalled_us;
    int stalls;
};

/** soak_procs() - members of control and brokers */
int soak_procs(const struct soak *s);

/** soak_found() - a broken promise, with what was seen */
void soak_found(struct soak *s, enum finding what, const char *format, ...)
    __attribute__((format(printf, 3, 4)));

/** soak_note() - an event, for whoever reads a finding */
void soak_note(struct soak *s, const char *format, ...)
    __attribute__((format(printf, 2, 3)));

/* soak_setup.c */

/** soak_prepare() - settings, links and workers; false where an address is
 * taken */
bool soak_prepare(struct soak *s);

/** soak_write_settings() - of a process; @first: the region is new; seeds are
 * told beginning with number @turn */
bool soak_write_settings(const struct soak *s, int proc, bool first, int turn);

/** soak_remove_folder() - with all that is in it */
void soak_remove_folder(const char *path);

/* soak_inject.c */

/** soak_inject_due() - the faults whose time has come */
void soak_inject_due(struct soak *s, int64_t now_us);

/** soak_disturb() - bounds that need calm don't hold for it until then */
void soak_disturb(struct soak *s, int proc, int64_t until_us);

/** soak_note_stall() - looks whether this process stood still */
void soak_note_stall(struct soak *s, int64_t now_us);

/** soak_kill() - it is started again at @again_us */
void soak_kill(struct soak *s, int proc, int64_t again_us);

/* soak_check.c */

void soak_on_acked(void *ctx, int version);
void soak_on_probed(void *ctx, const struct region_call *c, CURLcode result,
                    long status);
void soak_on_job_ended(void *ctx, const struct region_call *c, CURLcode result,
                       long status);

/** soak_on_overlapped() - notes which runs overlap */
void soak_on_overlapped(void *ctx, const struct region_run *earlier,
                        const struct region_run *later);

/** soak_probe_due() - asks the next broker for the newest version due */
void soak_probe_due(struct soak *s, int64_t now_us);
void soak_check_resources(struct soak *s, int64_t now_us);

/** soak_check_left() - what has started since the last call at a worker that
 * drains */
void soak_check_left(struct soak *s, int worker);

/** soak_check_evacuated() - judges the runs that a worker began since the last
 * call, if its zone is evacuated */
void soak_check_evacuated(struct soak *s, int worker);

/** soak_run_procs() - keeps them running, and judges how they end */
void soak_run_procs(struct soak *s, int64_t now_us);

/** soak_judge() - after all is over */
struct region_verdict soak_judge(struct soak *s);

#endif
