/**
 * DOC: broker - the reducer of a broker
 *
 * A broker accepts jobs from callers and has them run on upstreams under
 * leases.  Each upstream is held by one broker of its availability zone.  All
 * tasks of a job are run by one broker, its runner, which may be another one
 * than the broker that accepted the job from its caller, its taker.
 * broker_step() takes one event and appends effects; it reads no clock, does
 * no I/O and takes its random numbers from the seed only.
 *
 * Jobs are best effort: they are not stored, and a job whose answer is lost
 * may run again from the start when its caller submits it again.  Two runs of
 * one task must never overlap.
 */
#ifndef BM_BROKER_H
#define BM_BROKER_H

#include "broker_effect.h"
#include "broker_event.h"
#include "histogram.h"

struct broker;

/** broker_read_config - parses the text of a configuration; returns NULL and
 * sets *@fault if it is not valid */
typedef struct queueconf *broker_read_config(const char *text, size_t size,
                                             enum queueconf_error *fault);

/* Deliberate faults: the fault matrix of leases must detect each of them.
 * BROKER_BREAK(NAME, description).  Only tests enable one. */
/* clang-format off */
#define BROKER_BREAK_LIST(BROKER_BREAK)                                       \
    BROKER_BREAK(PLACE_LOST, "restart a task at once after a lost start")     \
    BROKER_BREAK(KEEP_STRANGERS, "do not stop unknown runs")                  \
    BROKER_BREAK(SAME_FENCE, "take every upstream with the same fence")       \
    BROKER_BREAK(LAPSE_EARLY, "treat leases as expired at half their time")   \
    BROKER_BREAK(LOST_NOT_RUN, "report jobs of a lost runner as not run")     \
    BROKER_BREAK(RETURN_STARTED, "return started jobs at a stop")             \
    BROKER_BREAK(START_LEAVING, "start tasks on leaving upstreams")           \
    BROKER_BREAK(OPEN_UNSEEN, "use an upstream before its first poll")        \
    BROKER_BREAK(EVACUATED, "start tasks in evacuated zones")                 \
    BROKER_BREAK(EVACUATED_RETRY, "restart tasks in evacuated zones")         \
    BROKER_BREAK(EVACUATION_OLDER, "replace the evacuated zones by older ones") \
    BROKER_BREAK(CAPACITY_OLDER, "replace a newer capacity by an old one")    \
    /* Detected only where callers may resubmit at any broker. */             \
    BROKER_BREAK(UNCONFIRMED, "extend leases without renewals")               \
    /* From here on: detected by the suite of their part, not by the fault    \
     * matrix, since no invariant is violated. */                             \
    BROKER_BREAK(OLD_SPEED, "use the speed of an older incarnation")
/* clang-format on */

/* Features of the scheduling that can be disabled to measure the effect of
 * each: BROKER_FEATURE(NAME, description).  Those from INSTANCE_CAPACITY on
 * can be disabled in the settings. */
/* clang-format off */
#define BROKER_FEATURE_LIST(BROKER_FEATURE)                                   \
    BROKER_FEATURE(LATEST_START, "jobs are ordered by their latest start")    \
    BROKER_FEATURE(PRIORITY, "urgent queues go slightly ahead")               \
    BROKER_FEATURE(SHARES, "queues share the capacity in overload")           \
    BROKER_FEATURE(SPARE, "late jobs leave some capacity free")               \
    BROKER_FEATURE(WIDE, "wide late jobs start with some of their tasks")     \
    BROKER_FEATURE(STALLED, "stalled runs are stopped and restarted")         \
    BROKER_FEATURE(SLOW, "placement considers the speed of upstreams")        \
    BROKER_FEATURE(FAILING, "failing upstreams are quarantined")              \
    BROKER_FEATURE(BEST_FIT, "the fullest of equal upstreams is chosen")      \
    BROKER_FEATURE(OTHER_ZONES, "jobs are offered to other zones")            \
    BROKER_FEATURE(LEARNED, "run times are estimated from past runs")         \
    BROKER_FEATURE(LOST_STARTS, "unanswered starts are stopped and restarted") \
    BROKER_FEATURE(CLAIMS, "jobs are claimed before their first start")       \
    BROKER_FEATURE(TAKERS, "other takers count as sending as much")           \
    BROKER_FEATURE(WAITED, "callers that waited before are recognized")     \
    BROKER_FEATURE(FIT, "jobs wait at least until a task fits")               \
    BROKER_FEATURE(INSTANCE_CAPACITY, "holders are chosen by capacity")       \
    BROKER_FEATURE(UPSTREAM_SPEED, "the speed of each upstream is estimated") \
    BROKER_FEATURE(URGENT_RESERVE, "capacity is reserved for urgent jobs")
/* clang-format on */

enum broker_feature {
#define BROKER_FEATURE(NAME, text) BROKER_FEATURE_##NAME,
    BROKER_FEATURE_LIST(BROKER_FEATURE)
#undef BROKER_FEATURE
        BROKER_FEATURES,
};

enum broker_break {
#define BROKER_BREAK(NAME, text) BROKER_BREAK_##NAME,
    BROKER_BREAK_LIST(BROKER_BREAK)
#undef BROKER_BREAK
        BROKER_BREAKS,
    BROKER_BREAKS_SAME_ZONE = BROKER_BREAK_UNCONFIRMED,
    BROKER_BREAKS_MATRIX = BROKER_BREAK_UNCONFIRMED + 1,
};

/**
 * struct instance_capacity - declared limits of an instance; 0: not declared
 * @cpu_milli: processor share, in thousandths of a core
 * @link_kbps: bandwidth of its link
 * @memory_mb: memory of a process
 * @connections: file descriptors of a process
 */
struct instance_capacity {
    uint32_t cpu_milli;
    uint32_t link_kbps;
    uint32_t memory_mb;
    uint32_t connections;
};

/**
 * struct broker_options - how to construct a broker
 * @self: name of this instance
 * @zone: its availability zone
 * @address: where other processes connect to it
 * @incarnation: start time of this process, wall time in us.  Brokers that
 *               started first hold the upstreams of a zone, so that a
 *               restarted broker takes none from the brokers that kept
 *               running.
 * @registries: to connect to at the start
 * @n_registries: number of @registries
 * @seed: of the random numbers
 * @read_config: parses a published configuration
 * @lease_us: longest lease that upstreams grant
 * @resubmit_us: shortest time from when an outcome became unknown to a caller
 *               until the caller submits the job again
 * @poll_wait_us: a poll without news is answered after this
 * @call_timeout_us: longest wait for the answer to a call
 * @discovery_us: no upstream is taken for this long after the start, so that
 *                the other brokers can connect
 * @discovery_min_us: the same, counted from the first list of brokers of a
 *                    registry, if all listed brokers of the zone are
 *                    connected; about the time between two attempts to
 *                    connect
 * @startup_wait_us: for this long after the start, requests wait for a
 *                   configuration and a runner
 * @load_interval_us: shortest time between load reports to the other brokers
 * @load_reports_per_s: most messages with a load report in a second
 * @idle_loads: where there are many brokers, those that sent no job lately get
 *              fewer load reports, see load_round.h
 * @stop_timeout_us: a planned stop ends after this at the latest
 * @stop_accept_us: new jobs of callers are accepted for this long after a
 *                  planned stop began, since the platform may still route
 *                  callers here
 * @evacuation_grace_us: jobs that have started when a zone's evacuation
 * becomes known may start their remaining tasks for this long
 * @upstreams_per_holder: a zone has one holder for each so many upstreams
 * @clock_drift: an upstream's clock may be slower by this part, 0 to 1
 * @capacity: declared limits of this instance
 * @remote_factor: factor on the run time of a task away from its data
 * @breaks: deliberate faults, for tests; all false by default
 * @disabled: disabled features, for measurements; all false by default
 */
struct broker_options {
    struct name self;
    struct name zone;
    struct address address;
    uint64_t incarnation;
    const struct rec_instance *registries;
    size_t n_registries;
    uint64_t seed;
    broker_read_config *read_config;
    int64_t lease_us;
    int64_t resubmit_us;
    int64_t poll_wait_us;
    int64_t call_timeout_us;
    int64_t discovery_us;
    int64_t discovery_min_us;
    int64_t startup_wait_us;
    int64_t load_interval_us;
    uint32_t load_reports_per_s;
    bool idle_loads;
    int64_t stop_timeout_us;
    int64_t stop_accept_us;
    int64_t evacuation_grace_us;
    uint32_t upstreams_per_holder;
    double clock_drift;
    struct instance_capacity capacity;
    double remote_factor;
    bool breaks[BROKER_BREAKS];
    bool disabled[BROKER_FEATURES];
};

/** broker_options_default() - sets every field except names, addresses,
 * incarnation and read_config */
struct broker_options broker_options_default(void);

/** broker_new() - the result is freed with broker_free(); aborts when out of
 * memory */
struct broker *broker_new(const struct broker_options *o);

/** broker_free() - NULL is allowed */
void broker_free(struct broker *b);

/** broker_step() - handles one event; appends effects to @fx */
void broker_step(struct broker *b, const struct broker_event *ev,
                 struct broker_effects *fx);

/** broker_next_us() - monotonic time at which the next TICK event is due */
int64_t broker_next_us(const struct broker *b);

/** broker_ready() - whether it accepts new callers: it has a configuration,
 * knows a broker that holds upstreams, and is not stopping */
bool broker_ready(const struct broker *b);

/** broker_declared() - declared limits of a connected broker, or of this one;
 * all 0 if none are known */
struct instance_capacity broker_declared(const struct broker *b,
                                         struct name instance);

/** broker_startup_end_us() - monotonic time until which requests wait for a
 * configuration and a runner, see broker_options.startup_wait_us */
int64_t broker_startup_end_us(const struct broker *b);

/** broker_queues() - the configuration in force, or NULL; valid until the next
 * step */
const struct queueconf *broker_queues(const struct broker *b);

/** broker_config_outdated() - whether a registry has reported a newer
 * configuration than the one in force: a queue that is unknown here may be
 * defined there */
bool broker_config_outdated(const struct broker *b);

/** broker_pending_jobs() - number of jobs of a queue that were accepted here
 * and not answered yet */
uint32_t broker_pending_jobs(const struct broker *b, struct name queue);

/* Counters, never decremented: BROKER_COUNTER(name, help). */
/* clang-format off */
#define BROKER_COUNTER_LIST(BROKER_COUNTER)                                   \
    BROKER_COUNTER(jobs_submitted, "jobs handed in here")                     \
    BROKER_COUNTER(jobs_completed, "jobs answered as completed")              \
    BROKER_COUNTER(jobs_failed, "jobs answered as failed")                    \
    BROKER_COUNTER(jobs_refused, "jobs refused; nothing of them ran")         \
    BROKER_COUNTER(jobs_unknown, "jobs given up whose runner was lost")       \
    BROKER_COUNTER(jobs_abandoned, "jobs whose caller left")                  \
    BROKER_COUNTER(jobs_expired, "jobs not ended by their deadline")          \
    BROKER_COUNTER(jobs_moved, "jobs offered to a second runner")             \
    BROKER_COUNTER(offers_taken, "jobs taken to run here")                    \
    BROKER_COUNTER(offers_refused, "jobs refused as a runner")                \
    BROKER_COUNTER(offers_evacuated, "of these, since the zone is evacuated") \
    BROKER_COUNTER(offers_on_reserve,                                         \
                   "urgent offers without credit, for which capacity is reserved")           \
    BROKER_COUNTER(offers_again, "offers while an earlier life was here")     \
    BROKER_COUNTER(tasks_started, "starts sent to upstreams")                 \
    BROKER_COUNTER(tasks_done, "runs that ended well")                        \
    BROKER_COUNTER(tasks_failed, "runs that failed")                          \
    BROKER_COUNTER(tasks_lapsed, "runs whose lease passed")                   \
    BROKER_COUNTER(tasks_bound, "tasks left to the upstream of a lost start") \
    BROKER_COUNTER(jobs_redirected, "jobs that another runner had")           \
    BROKER_COUNTER(jobs_owner_lost, "jobs given up, a lost runner had them")  \
    BROKER_COUNTER(jobs_bound, "jobs given up with a task left to one") \
    BROKER_COUNTER(tasks_stopped, "runs stopped on request")                  \
    BROKER_COUNTER(tasks_stalled, "runs stopped because they stood still")    \
    BROKER_COUNTER(starts_refused, "starts that upstreams refused")           \
    BROKER_COUNTER(starts_lost, "starts without an answer")                   \
    BROKER_COUNTER(strangers_stopped, "runs of lost brokers stopped")         \
    BROKER_COUNTER(looks, "looks at upstreams")                               \
    BROKER_COUNTER(upstreams_taken, "upstreams taken over")                   \
    BROKER_COUNTER(upstreams_released, "upstreams given to another broker")   \
    BROKER_COUNTER(upstreams_muted, "upstreams that stopped answering")       \
    BROKER_COUNTER(upstreams_fenced, "upstreams lost to a higher fence")      \
    BROKER_COUNTER(quarantines, "upstreams quarantined")                      \
    BROKER_COUNTER(configs_applied, "configurations applied")                 \
    BROKER_COUNTER(configs_ignored, "configurations that were not newer")     \
    BROKER_COUNTER(config_bytes, "bytes of configurations that came")         \
    BROKER_COUNTER(pauses, "times this process was paused")
/* clang-format on */

struct broker_counters {
#define BROKER_COUNTER(name, help) uint64_t name;
    BROKER_COUNTER_LIST(BROKER_COUNTER)
#undef BROKER_COUNTER
};

/** broker_upstream_speed() - sets *@speed, 1 is usual, and the number of
 * samples behind it; false if none of the current incarnation is known */
bool broker_upstream_speed(const struct broker *b, struct name upstream,
                           double *speed, uint32_t *samples);

/** broker_counters() - a copy of all counters */
struct broker_counters broker_counters(const struct broker *b);

/* Gauges: BROKER_GAUGE(name, help). */
/* clang-format off */
#define BROKER_GAUGE_LIST(BROKER_GAUGE)                                       \
    BROKER_GAUGE(callers_jobs, "jobs taken from callers and not answered")    \
    BROKER_GAUGE(runner_jobs, "jobs being run here")                          \
    BROKER_GAUGE(tasks_queued, "tasks waiting for room")                      \
    BROKER_GAUGE(tasks_running, "tasks on upstreams")                         \
    BROKER_GAUGE(upstreams_known, "upstreams known")                          \
    BROKER_GAUGE(upstreams_held, "upstreams held")                            \
    BROKER_GAUGE(upstreams_open, "held ones that take work")                  \
    BROKER_GAUGE(upstreams_quarantined, "held ones in quarantine")            \
    BROKER_GAUGE(holder_quota, "upstreams that are to be held here")          \
    BROKER_GAUGE(declared_cpu_milli, "declared processor share, in thousandths of a core") \
    BROKER_GAUGE(event_delay_us, "mean wait of an event in the last second, in us") \
    BROKER_GAUGE(upstreams_measured, "held ones whose speed was sampled")     \
    BROKER_GAUGE(slowest_permille, "speed of the slowest of these, 1000 is usual") \
    BROKER_GAUGE(fastest_permille, "speed of the fastest of these, 1000 is usual") \
    BROKER_GAUGE(brokers_up, "other brokers connected")                       \
    BROKER_GAUGE(registries_up, "registries connected")                       \
    BROKER_GAUGE(evacuated_zones, "availability zones that are evacuated")    \
    BROKER_GAUGE(evacuation_revision, "revision of the evacuated zones")      \
    BROKER_GAUGE(config_rank, "rank of the configuration in force")           \
    BROKER_GAUGE(reserved_milli, "milli-cores reserved for urgent queues")
/* clang-format on */

struct broker_gauges {
#define BROKER_GAUGE(name, help) uint64_t name;
    BROKER_GAUGE_LIST(BROKER_GAUGE)
#undef BROKER_GAUGE
};

/* Histograms: BROKER_HISTOGRAM(name, help). */
/* clang-format off */
#define BROKER_HISTOGRAM_LIST(BROKER_HISTOGRAM)                               \
    BROKER_HISTOGRAM(queue, "from a job's arrival at its runner to its first start") \
    BROKER_HISTOGRAM(start, "from a start to its acknowledgement")            \
    BROKER_HISTOGRAM(settle, "from the end of a job to that of its last run") \
    BROKER_HISTOGRAM(run, "from a start to the end of a run that ended well")
/* clang-format on */

/** struct broker_histograms - durations in us; @request: from a caller's
 * request to its answer, by outcome of the job */
struct broker_histograms {
    struct histogram request[JOB_OUTCOMES];
#define BROKER_HISTOGRAM(name, help) struct histogram name;
    BROKER_HISTOGRAM_LIST(BROKER_HISTOGRAM)
#undef BROKER_HISTOGRAM
};

/** broker_histograms() - valid until broker_free(); each step may change the
 * contents */
const struct broker_histograms *broker_histograms(const struct broker *b);

/** broker_gauges() - computed by each call */
struct broker_gauges broker_gauges(const struct broker *b);

#endif
