/**
 * DOC: broker - the reducer of a broker
 *
 * A broker takes jobs from callers and has them run on upstreams that work
 * under leases.  Each upstream is held by one broker of its availability zone;
 * a job is run as a whole by one broker, its runner, which need not be the one
 * that its caller reached.  broker_step() takes one event and appends effects;
 * it reads no clock, does no I/O and draws no randomness but from its seed.
 *
 * Jobs here are best effort: nothing of them is stored, and one whose answer
 * is lost may run again from the start when its caller hands it in anew.  What
 * must not happen is that two runs of one task overlap.
 */
#ifndef BM_BROKER_H
#define BM_BROKER_H

#include "broker_effect.h"
#include "broker_event.h"
#include "histogram.h"

struct broker;

/** broker_read_config - reads the text of a configuration: NULL with
 * *@fault where it can't be in force */
typedef struct queueconf *broker_read_config(const char *text, size_t size,
                                             enum queueconf_fault *fault);

/* Wrong decisions that prove the fault matrix of leases:
 * BROKER_BREAK(NAME, what is decided).  Only tests set one. */
/* clang-format off */
#define BROKER_BREAK_LIST(BROKER_BREAK)                                       \
    BROKER_BREAK(PLACE_LOST, "place a lost start again at once")              \
    BROKER_BREAK(KEEP_STRANGERS, "extend what nobody owns")                   \
    BROKER_BREAK(SAME_FENCE, "take an upstream with any holder's fence")      \
    BROKER_BREAK(LAPSE_EARLY, "believe a lease over at half of its time")     \
    BROKER_BREAK(LOST_NOT_RUN, "tell jobs of a lost runner as not run")       \
    BROKER_BREAK(RETURN_STARTED, "hand on what has started at a stop")        \
    BROKER_BREAK(START_LEAVING, "start at upstreams that leave")              \
    BROKER_BREAK(OPEN_UNSEEN, "use an upstream before a look at it")          \
    /* Shows only where callers come back at any broker. */                   \
    BROKER_BREAK(UNCONFIRMED, "extend leases for takers that say nothing")
/* clang-format on */

/* Parts of what a broker decides that can be left out, to see what each is
 * worth: BROKER_FEATURE(NAME, what it does).  No settings reach them. */
/* clang-format off */
#define BROKER_FEATURE_LIST(BROKER_FEATURE)                                         \
    BROKER_FEATURE(LATEST_START, "order by the latest start that is in time")    \
    BROKER_FEATURE(PRIORITY, "urgent queues go a little before")                 \
    BROKER_FEATURE(SHARES, "room is shared between queues in overload")          \
    BROKER_FEATURE(SPARE, "late jobs leave some room to others")                 \
    BROKER_FEATURE(WIDE, "wide late jobs begin in part")                         \
    BROKER_FEATURE(STALLED, "standing runs are stopped and placed anew")         \
    BROKER_FEATURE(SLOW, "upstreams are judged by how slow they are")            \
    BROKER_FEATURE(FAILING, "failing upstreams are put out for a while")         \
    BROKER_FEATURE(BEST_FIT, "the fullest of equal upstreams is chosen")         \
    BROKER_FEATURE(OTHER_ZONES, "jobs are offered to other zones")               \
    BROKER_FEATURE(LEARNED, "run times are learned")                             \
    BROKER_FEATURE(LOST_STARTS, "starts without an answer are placed anew")
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
};

/**
 * struct broker_options - how to construct a broker
 * @self: name of this instance
 * @zone: its availability zone
 * @address: where other processes connect to it
 * @incarnation: rises with every start of any broker; wall time in us.  The
 *               broker that started first holds upstreams first, so that one
 *               that restarts takes none away from those that went on.
 * @registries: to connect to at first
 * @n_registries: of them
 * @seed: for jitter
 * @read_config: reads what control sends of a published text
 * @lease_us: longest lease that upstreams grant
 * @resubmit_us: a caller hands a job in again so long after its outcome became
 *             unclear to it, not sooner
 * @poll_wait_us: an answer to a look without an end comes after this
 * @call_timeout_us: without an answer a call is given up
 * @discovery_us: after the start, until other brokers had time to show up, no
 *             upstream is taken
 * @discovery_min_us: from the first word of a registry, it need not be longer
 *                 where all brokers of the zone that were named are connected;
 *                 about as long as two attempts to dial are apart
 * @startup_wait_us: after the start, requests are kept for so long until there
 *                 is a configuration and somebody who runs jobs
 * @load_interval_us: between reports of the load to other brokers, at least
 * @load_reports_per_s: messages with such a report in a second, at most
 * @stop_timeout_us: a planned stop takes no longer
 * @stop_accept_us: after a planned stop began, callers' new jobs are still
 * taken for so long: that is how long the platform may go on sending them
 * @upstreams_per_holder: upstreams of a zone for each broker that holds any
 * @clock_drift: an upstream's clock may be slower by that share
 * @breaks: wrong decisions to make, for tests; all false
 * @disabled: parts that are left out, for measurements; all false
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
    int64_t stop_timeout_us;
    int64_t stop_accept_us;
    uint32_t upstreams_per_holder;
    double clock_drift;
    bool breaks[BROKER_BREAKS];
    bool disabled[BROKER_FEATURES];
};

/** broker_options_default() - every field but names, addresses, incarnation
 * and read_config */
struct broker_options broker_options_default(void);

/** broker_new() - ends the process when memory is out */
struct broker *broker_new(const struct broker_options *o);

/** broker_free() - NULL is allowed */
void broker_free(struct broker *b);

/** broker_step() - applies one event; effects are appended to @fx */
void broker_step(struct broker *b, const struct broker_event *ev,
                 struct broker_effects *fx);

/** broker_next_us() - monotonic time of the next timer; a TICK is due then */
int64_t broker_next_us(const struct broker *b);

/** broker_ready() - takes new callers: it has a configuration and knows a
 * broker that holds upstreams, and is not stopping */
bool broker_ready(const struct broker *b);

/** broker_startup_end_us() - monotonic time until which what a broker that has
 * just started lacks may be waited for */
int64_t broker_startup_end_us(const struct broker *b);

/** broker_queues() - the configuration in force, or NULL */
const struct queueconf *broker_queues(const struct broker *b);

/** broker_config_outdated() - whether a registry has told of a newer
 * configuration than the one in force: what that one does not know may be
 * there */
bool broker_config_outdated(const struct broker *b);

/** broker_pending_jobs() - jobs of a queue that were taken here and of which
 * nothing is known to have started */
uint32_t broker_pending_jobs(const struct broker *b, struct name queue);

/* Counters: BROKER_COUNTER(name, help).  All only rise. */
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
    BROKER_COUNTER(offers_again, "offers while an earlier life was here")     \
    BROKER_COUNTER(tasks_started, "starts sent to upstreams")                 \
    BROKER_COUNTER(tasks_done, "runs that ended well")                        \
    BROKER_COUNTER(tasks_failed, "runs that failed")                          \
    BROKER_COUNTER(tasks_lapsed, "runs whose lease passed")                   \
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

/** broker_counters() - a copy of the counters */
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
    BROKER_GAUGE(brokers_up, "other brokers connected")                       \
    BROKER_GAUGE(registries_up, "registries connected")                       \
    BROKER_GAUGE(config_rank, "rank of the configuration in force")
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

/** struct broker_histograms - @request by outcome of the job */
struct broker_histograms {
    struct histogram request[JOB_OUTCOMES];
#define BROKER_HISTOGRAM(name, help) struct histogram name;
    BROKER_HISTOGRAM_LIST(BROKER_HISTOGRAM)
#undef BROKER_HISTOGRAM
};

/** broker_histograms() - holds until the next step */
const struct broker_histograms *broker_histograms(const struct broker *b);

/** broker_gauges() - counted now */
struct broker_gauges broker_gauges(const struct broker *b);

#endif
