/**
 * DOC: vlease - brokers, registries and leased upstreams in virtual time
 *
 * Drives the real broker and registry reducers against small stand-ins of
 * upstreams that work under leases, with delays, deaths, cuts and faults that
 * are switched on and off.  It judges from outside, from what upstreams and
 * callers see: that no two runs of a task overlap, that no upstream is given
 * more than it has, that a job told as not run had no start, that each request
 * gets one answer.  It knows nothing of processors or disks.
 */
#ifndef BM_VLEASE_H
#define BM_VLEASE_H

#include "broker.h"

enum {
    VLEASE_ZONES_MAX = 5,
    VLEASE_BROKERS_MAX = 50,
    VLEASE_UPSTREAMS_MAX = 400,
    VLEASE_QUEUES_MAX = 4,
    VLEASE_SPEEDS_MAX = 4,
};

/**
 * struct vlease_queue - a queue and what its callers hand in
 * @tasks: of a job
 * @cpu_milli: of a task
 * @run_us: of a task, in the mean
 * @spread: of the run times between jobs, as a share of the mean
 * @width_spread: of the number of tasks, likewise; some jobs are three times
 * as wide as the mean
 * @cpu_spread: of what a task takes, likewise
 * @declared_off: how far the declared run time is off, likewise
 * @uneven: of the run times within a job, likewise
 * @per_s: jobs in a second, in the whole region
 * @timeout_us: callers wait so long
 * @requirement: label that an upstream must have; empty for none
 */
struct vlease_queue {
    uint32_t priority;
    uint32_t tasks;
    uint32_t cpu_milli;
    int64_t run_us;
    double spread;
    double width_spread;
    double cpu_spread;
    double declared_off;
    double uneven;
    double per_s;
    int64_t timeout_us;
    struct name requirement;
};

/**
 * struct vlease_callbacks - functions of the code that runs a region
 * @configure: changes the options of a broker that is about to start; NULL
 *             for none
 * @observe: is given each effect of a broker, before it is carried out; NULL
 *           for none
 * @ctx: passed to them
 */
struct vlease_callbacks {
    void (*configure)(void *ctx, uint32_t broker, struct broker_options *o);
    void (*observe)(void *ctx, int64_t at_us, struct name broker,
                    const struct broker_effect *f);
    void *ctx;
};

/**
 * struct vlease_options - how to construct a region
 * @zones: with one registry each
 * @brokers: in each zone
 * @upstreams: in each zone
 * @cpu_milli: of an upstream
 * @cpu_large_milli: of each third one; 0 for as the others
 * @speeds: of the upstreams, in turn; 1: runs take as long as they are said to
 * @n_speeds: number of @speeds; 0: all have speed 1
 * @straggler_share: share of the tasks that are stragglers, 0 to 1
 * @straggler_factor: on the run time of a straggler
 * @queues: what is asked for
 * @n_queues: of them
 * @resend_us: a caller hands a job in again so long after a broken connection
 *             or an unknown outcome
 * @told_resend_us: what brokers are told of that
 * @resend_anywhere: at a broker drawn among all of the region, instead of the
 *                   next one of the same zone
 * @whole_timeout: each submission of a job has the whole timeout of its queue
 * @keep_arrived: a broker that stood still reads what arrived meanwhile, also
 *                of a sender that is gone by then
 * @late_us: a hop that a hook delays arrives so much later
 * @seed: of all that is drawn
 * @breaks: wrong decisions that all brokers make
 * @without: parts that all brokers leave out
 * @leave: share of the callers that leave within half of their objective
 * @registry_lag_us: all registries but the first learn of an evacuation, or
 *                   its end, so much later
 * @evacuation_us: from the order to evacuate a zone until the last start there
 *                 by a broker that was connected all the while
 * @capacities: limits that brokers declare; they don't slow down anything
 * @capacity_grows: a broker's second life has twice the processor share of its
 *                  first, and so on
 * @reborn_silent_us: an upstream that starts anew announces itself so long
 *                    after its start
 * @kinds: upstreams are of kind "a" and "b" in turn, and each restart changes
 *         the kind; else all are of kind "a"
 * @callbacks: by default none
 */
struct vlease_options {
    uint32_t zones;
    uint32_t brokers;
    uint32_t upstreams;
    uint32_t cpu_milli;
    uint32_t cpu_large_milli;
    double speeds[VLEASE_SPEEDS_MAX];
    uint32_t n_speeds;
    double straggler_share;
    double straggler_factor;
    struct vlease_queue queues[VLEASE_QUEUES_MAX];
    uint32_t n_queues;
    int64_t resend_us;
    int64_t told_resend_us;
    bool resend_anywhere;
    bool whole_timeout;
    bool keep_arrived;
    int64_t late_us;
    uint64_t seed;
    bool breaks[BROKER_BREAKS];
    bool without[BROKER_FEATURES];
    double leave;
    int64_t registry_lag_us;
    int64_t evacuation_us;
    struct instance_capacity capacities[VLEASE_BROKERS_MAX];
    bool capacity_grows;
    bool kinds;
    int64_t reborn_silent_us;
    struct vlease_callbacks callbacks;
};

/** vlease_options_default() - three zones with two brokers and eight upstreams
 * each, one queue without load */
struct vlease_options vlease_options_default(void);

/** struct vlease_figures - what was seen of a queue */
struct vlease_figures {
    uint32_t asked;
    uint32_t completed;
    uint32_t in_time; /* of them */
    uint32_t failed;
    uint32_t refused;
    uint32_t unknown;     /* lost or expired */
    uint32_t open;        /* not answered yet */
    int64_t retry_us;     /* the longest that a refusal told to wait */
    int64_t refused_late; /* refusals that came after a quarter of the
                           * objective */
};

/** struct vlease_faults - promises that were broken */
struct vlease_faults {
    uint32_t overlaps;       /* two runs of a task at one time */
    uint32_t over_room;      /* an upstream was given more than it has */
    uint32_t false_refusals; /* told as not run, and had started */
    uint32_t leaving;        /* started where it was leaving for 2 s */
    uint32_t evacuated;      /* started in an evacuated zone */
    uint32_t answers_twice;
    uint32_t wrong_label; /* started without the required label */
    uint32_t unnoted;     /* ends that nobody took note of for a second */
};

/** vlease_broken() - promises broken towards callers and upstreams; late notes
 * of ends are none */
uint32_t vlease_broken(struct vlease_faults f);

enum { VLEASE_NOBODY = UINT32_MAX };

/**
 * struct vlease_hop - something arrives: a message between processes, a call
 * at an upstream, or its answer
 * @number: the same in each run until something differs
 * @label: what it is
 * @from: broker that sent it, or VLEASE_NOBODY
 * @to: broker that it reaches, or VLEASE_NOBODY
 * @upstream: that is called or answers, or VLEASE_NOBODY
 */
struct vlease_hop {
    uint64_t number;
    const char *label;
    uint32_t from;
    uint32_t to;
    uint32_t upstream;
};

/** enum vlease_fate - of a hop */
enum vlease_fate { VLEASE_PASS, VLEASE_LOSE, VLEASE_DELAY };

struct vlease;

/** vlease_hook - decides on each hop; with VLEASE_DELAY it arrives later by
 * the options' @late_us, and the hook decides on it once more */
typedef enum vlease_fate vlease_hook(void *ctx, struct vlease *v,
                                     const struct vlease_hop *hop);

/** vlease_set_hook() - NULL for none */
void vlease_set_hook(struct vlease *v, vlease_hook *hook, void *ctx);

struct vlease *vlease_new(const struct vlease_options *o);
void vlease_free(struct vlease *v);

/** vlease_run() - until that time after the start */
void vlease_run(struct vlease *v, int64_t until_us);

/** vlease_evacuate() - an operator's order to evacuate a zone, or to end that,
 * is acknowledged */
void vlease_evacuate(struct vlease *v, uint32_t zone, bool evacuate);

/** vlease_load() - callers come from now on, at that multiple of the queues'
 * rates; 0 stops them */
void vlease_load(struct vlease *v, double factor);

/** vlease_shift() - from now on that share of a zone's callers comes to
 * another zone */
void vlease_shift(struct vlease *v, uint32_t from, uint32_t to, double share);

/** vlease_queue_load() - callers of a queue come at that multiple of the load
 * from now on */
void vlease_queue_load(struct vlease *v, uint32_t queue, double factor);

/** vlease_submit() - one job of a queue, at that broker; returns its number */
uint64_t vlease_submit(struct vlease *v, uint32_t broker, uint32_t queue);

/** vlease_resubmit() - the same job again, at that broker, also of a caller
 * that left */
void vlease_resubmit(struct vlease *v, uint64_t job, uint32_t broker);

/** vlease_leave() - the job's caller closes its connection */
void vlease_leave(struct vlease *v, uint64_t job);

/* Faults of brokers; numbered zone by zone. */
void vlease_kill(struct vlease *v, uint32_t broker);

/** vlease_lose_machine() - the same without a reset of its connections to
 * other processes, which notice after 0.75 s; it must not start before that */
void vlease_lose_machine(struct vlease *v, uint32_t broker);
void vlease_start(struct vlease *v, uint32_t broker);
void vlease_stop(struct vlease *v, uint32_t broker);

/** vlease_declare() - limits that a broker declares from its next start on */
void vlease_declare(struct vlease *v, uint32_t broker,
                    struct instance_capacity capacity);

bool vlease_stopped(const struct vlease *v, uint32_t broker);

/** vlease_lose_power() - of all brokers and registries; upstreams run on */
void vlease_lose_power(struct vlease *v);

/** vlease_regain_power() - all are back; @remember: the registries' disks are
 * what they were, else they are empty */
void vlease_regain_power(struct vlease *v, bool remember);

/** vlease_open() - upstreams that brokers give work to */
uint32_t vlease_open(const struct vlease *v);

/** vlease_pause() - stands still for so long, while its clock goes on */
void vlease_pause(struct vlease *v, uint32_t broker, int64_t us);

/** vlease_cut() - no messages between it and all other processes; @upstreams:
 * nor upstreams */
void vlease_cut(struct vlease *v, uint32_t broker, bool cut, bool upstreams);

/** vlease_gap() - connections between two brokers are reset */
void vlease_gap(struct vlease *v, uint32_t a, uint32_t b);

/** vlease_clock() - its time of day jumps */
void vlease_clock(struct vlease *v, uint32_t broker, int64_t us);

/** enum vlease_trouble - of an upstream */
enum vlease_trouble {
    VLEASE_SOUND,
    VLEASE_DEAD,    /* nothing runs, nothing answers */
    VLEASE_CUT,     /* runs on, nothing gets through */
    VLEASE_FAILS,   /* all that starts fails at once */
    VLEASE_HANGS,   /* what runs stands still */
    VLEASE_SLOW,    /* six times slower */
    VLEASE_MUTE,    /* carries out, answers nothing */
    VLEASE_DELAYS,  /* a tenth of the calls is carried out 3 s later, without
                     * an answer */
    VLEASE_LEAVING, /* says that it leaves, and ends 4 s later */
};

/** vlease_trouble() - of an upstream, from now on; numbered zone by zone */
void vlease_trouble(struct vlease *v, uint32_t upstream,
                    enum vlease_trouble trouble);

/** vlease_reborn() - an upstream starts anew under its name */
void vlease_reborn(struct vlease *v, uint32_t upstream);

/** vlease_outcome() - what the caller of a job was told; JOB_OUTCOMES while it
 * was told nothing */
enum job_outcome vlease_outcome(const struct vlease *v, uint64_t job);

/** vlease_unclear() - whether its caller does not know what became of it, and
 * will hand it in again */
bool vlease_unclear(const struct vlease *v, uint64_t job);

struct vlease_figures vlease_figures(const struct vlease *v, uint32_t queue);
struct vlease_faults vlease_faults(const struct vlease *v);

/** vlease_broker() - for checks; NULL while it is down */
const struct broker *vlease_broker(const struct vlease *v, uint32_t broker);

/** vlease_outdated() - brokers of which another connected one knows limits
 * that they don't declare any more */
uint32_t vlease_outdated(const struct vlease *v);

/** vlease_starts() - starts that upstreams carried out */
uint64_t vlease_starts(const struct vlease *v);

/** vlease_running() - what runs now, on all upstreams */
uint32_t vlease_running(const struct vlease *v);

/** vlease_log() - writes decisions to @out from now on; NULL for none */
void vlease_log(struct vlease *v, FILE *out);

#endif
