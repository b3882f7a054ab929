/**
 * DOC: broker_state - state shared by the modules of the broker reducer
 *
 * In this order:
 *
 * - broker.c dispatches events;
 * - broker_peer.c tracks the other processes;
 * - broker_capacity.c keeps the declared capacity of brokers;
 * - broker_report.c compares lists of upstreams with the registries;
 * - broker_config.c fetches the configuration;
 * - broker_caller.c keeps the jobs that callers submitted here;
 * - broker_run.c runs jobs;
 * - broker_renew.c bounds how long each job may run;
 * - broker_owner.c records which broker runs a job;
 * - broker_order.c admits jobs and orders the queue;
 * - broker_share.c divides the capacity between queues;
 * - broker_urgent.c reserves capacity for the most urgent queue;
 * - broker_place.c chooses the upstream of a task;
 * - broker_hold.c takes and releases upstreams;
 * - broker_fence.c chooses fences and has them recorded;
 * - broker_evacuate.c keeps tasks off the upstreams of evacuated zones;
 * - broker_shutdown.c keeps serving during a stop without a successor;
 * - broker_lease.c sends calls to upstreams;
 * - broker_answer.c handles the upstreams' answers;
 * - broker_health.c tracks the health of upstreams;
 * - broker_dump.c writes the state for operators;
 * - broker_speed.c tracks and reports the speed of upstreams.
 *
 * A module calls modules later in this list directly, and earlier ones only
 * through the functions declared below.
 */
#ifndef BM_BROKER_STATE_H
#define BM_BROKER_STATE_H

#include <sys/queue.h>
#include <syslog.h>

#include "broker.h"
#include "broker_capacity.h"
#include "estimate.h"
#include "evacuation.h"
#include "map.h"
#include "table.h"
#include "timers.h"
#include "upstream_digest.h"
#include "upstream_speed.h"

enum { UPSTREAM_LABELS_MAX = 4 };

/**
 * struct broker_load - load of a service at a peer
 * @reported: as the peer last reported it
 * @sent_milli: milli-cores of the jobs offered to the peer since that report
 */
struct broker_load {
    struct rec_service_load reported;
    uint64_t sent_milli;
};

/**
 * struct broker_peer - another process, or this one
 * @name: key of broker.peers_by_name; must be the first member
 * @hash: of the name
 * @incarnation: start time of the process, see broker_options.incarnation
 * @self: this process
 * @registry: serves as a registry
 * @broker: introduced itself as a broker
 * @up: connected
 * @stopping: in a planned stop; takes no further upstreams
 * @serves_while_stopping: still runs new jobs although it is stopping
 * @loads: of the services of the peer, from its newest load report
 * @n_loads: number of @loads
 * @config_poll_us: for a registry: when to poll it for a newer configuration
 * @reported_version: for a registry: newest configuration version it reported
 *                    on this connection
 * @fetch_timed_out: for a registry: it did not send a requested configuration
 *                   in time
 * @no_claims_until_us: it did not answer a claim of a job in time, and is not
 *                      asked before this
 * @confirms_fences: for a registry: it replied to a FENCE_RECORD on this
 *                   connection
 * @up_us: when the connection was established
 * @last_sent_us: send time, on the peer's clock, of its newest load report or
 *                check on this connection; 0: none
 * @last_received_us: when that message was read, on this broker's clock
 * @confirmable_us: newest @last_sent_us for which every caller that had left
 *                  when the message was read is known here; a renewal may
 *                  confirm jobs up to this time of the peer's clock
 * @wants_renewal: a renewal has to be sent to the peer
 * @last_check_us: when a load report or a check was last sent to the peer
 * @last_offer_us: when it last offered a job on this connection; 0: none
 * @got_load: a load report was sent on this connection
 * @listed: upstreams that this registry reported on this connection
 * @down_us: when the connection was lost, or a registry last listed the
 *           unconnected peer
 * @capacity: declared capacity and reported usage, for a broker
 * @next: in broker.peers
 */
struct broker_peer {
    struct name name;
    uint64_t hash;
    struct address address;
    struct name zone;
    uint64_t incarnation;
    bool self;
    bool registry;
    bool broker;
    bool up;
    bool stopping;
    bool serves_while_stopping;
    struct broker_load *loads;
    size_t n_loads;
    int64_t config_poll_us;
    uint64_t reported_version;
    bool fetch_timed_out;
    int64_t up_us;
    int64_t no_claims_until_us;
    bool confirms_fences;
    uint64_t last_sent_us;
    int64_t last_received_us;
    uint64_t confirmable_us;
    bool wants_renewal;
    int64_t last_check_us;
    int64_t last_offer_us;
    bool got_load;
    struct upstream_digest listed;
    int64_t down_us;
    struct peer_capacity capacity;
    struct broker_peer *next;
};

/**
 * struct config_fetch - progress of fetching a newer configuration
 * @source: registry that was asked for the text; empty: none
 * @timeout_at_us: when to give up on @source and ask another registry
 * @timeout_us: from a request to its @timeout_at_us
 * @first_reported_us: when a version newer than the one in force was first
 *                     reported; 0: none was
 * @full_text: request the full text, since a delta did not apply to the text
 *             here
 * @unreadable_version: newest version that could not be parsed here
 */
struct config_fetch {
    struct name source;
    int64_t timeout_at_us;
    int64_t timeout_us;
    int64_t first_reported_us;
    bool full_text;
    uint64_t unreadable_version;
};

/**
 * struct queue_patience - how long the callers of a queue wait, compared to
 * the queue's timeout
 * @shorter: moving count of callers that wait for less
 * @others: moving count of the others
 */
struct queue_patience {
    struct name queue;
    double shorter;
    double others;
};

/** struct holder_ref - a broker that should hold upstreams of this zone */
struct holder_ref {
    struct broker_peer *peer;
};

/**
 * struct caller_job - a job that a caller submitted to this broker
 * @request: number of the caller's request, for the answer
 * @offer: JOB_OFFER message; kept to offer the job to another runner
 * @runner: empty while there is none
 * @reoffers: offers after the first
 * @waited_us: estimated time that the caller had waited before it submitted
 * the job here
 * @confirmed_us: when the runner was last sent an offer or a renewal that
 *                confirms that the caller is still connected
 * @deadline_us: the caller does not wait for an answer after this
 */
struct caller_job {
    struct handle self;
    uint64_t request;
    struct msg offer;
    struct name runner;
    uint32_t reoffers;
    int64_t waited_us;
    int64_t accepted_us;
    int64_t confirmed_us;
    int64_t deadline_us;
    bool known_started;
};

enum run_state {
    RUN_BLOCKED,    /* groups that it depends on have not ended */
    RUN_READY,      /* waits for capacity */
    RUN_RESERVED,   /* placed; the start waits for the claim of the job */
    RUN_STARTING,   /* start sent, not answered */
    RUN_RUNNING,    /* start acknowledged, or listed as running in a poll */
    RUN_UNRESOLVED, /* start not answered; it may run, or start later */
    RUN_STOPPING,   /* stop sent, end not confirmed */
    RUN_ENDED,      /* succeeded */
};

/**
 * struct run_task - a task of a job that is run by this broker
 * @group: index of its group in the job
 * @index: of the task in its group
 * @run: number of its last start
 * @failures: number of runs that failed
 * @upstream: where it is placed, from RUN_RESERVED to RUN_STOPPING
 * @start_sent_us: when the last start was sent
 * @expected_us: expected run time on @upstream
 * @percent: progress, as last reported
 * @progress_us: when @percent last increased
 * @stop_confirmed_us: when a stop was confirmed: a run that a poll sent after
 *                     this does not list has ended; INT64_MAX: not confirmed
 * @stop_sent_us: when a stop was last sent
 * @avoid_upstream: upstream where it last failed or stalled
 * @start_resolved: the last start was answered or its run was listed, so it
 *                  will not be executed later
 * @lost_starts: number of starts at @bound_upstream that are not resolved
 * @bound_upstream: upstream that may still execute an earlier start of this
 *                  task, in this or a later incarnation; the task is placed
 *                  nowhere else
 * @ran_us: its run time once it has succeeded, scaled to upstreams near its
 *          data
 * @ran_on: upstream where it succeeded
 * @ran_born_ms: incarnation of that upstream
 * @ran_unusual: its run time does not show the usual speed of its upstream
 */
struct run_task {
    enum run_state state;
    uint32_t group;
    uint32_t index;
    uint64_t run;
    uint32_t failures;
    struct handle upstream;
    int64_t start_sent_us;
    int64_t expected_us;
    uint32_t percent;
    int64_t progress_us;
    int64_t stop_confirmed_us;
    int64_t stop_sent_us;
    struct name avoid_upstream;
    bool start_resolved;
    uint32_t lost_starts;
    struct handle bound_upstream;
    double ran_us;
    struct handle ran_on;
    uint64_t ran_born_ms;
    bool ran_unusual;
};

/** enum job_claim - claim of a job at its witness, see broker_owner.c */
enum job_claim {
    CLAIM_NONE,
    CLAIM_SENT,     /* not answered; tasks are only reserved */
    CLAIM_GRANTED,  /* tasks may be started */
    CLAIM_RESOLVED, /* recorded as having no start without an answer: claimed
                     * again before the next start */
};

enum { WITNESSES_MAX = 3 };

/** struct job_witness - a broker at which a job was claimed */
struct job_witness {
    struct name name;
    bool answered;
};

/**
 * struct run_job - a job that is run by this broker
 * @taker: broker to which the caller submitted it
 * @number: of the job at @taker
 * @id: the caller's number of the job
 * @attempts: failures of one task after which the job fails
 * @arrived_us: when @taker accepted it
 * @objective_us: an answer after this is late
 * @deadline_us: the caller does not wait for an answer after this
 * @latest_start_us: a job started by then is expected to meet its objective
 * @queue_key_us: sort key in the queue, lowest first, see broker_order.c
 * @work: expected processor time of all its tasks, in milli-core microseconds
 * @late: the job can't meet its objective any more; it only gets capacity that
 *        jobs that still can meet theirs leave unused
 * @overdue: it was late by several objectives when it arrived; it only gets
 *           capacity that the other late jobs leave unused
 * @n_done: tasks that succeeded
 * @total_run_us: their total run time, scaled to upstreams near their data
 * @n_unfinished: tasks that have not succeeded
 * @n_ready: tasks that wait for capacity
 * @n_placed: tasks that run, or may run, on an upstream
 * @closed: its outcome was sent to @taker, or @taker has dropped the job; kept
 *          until its runs on upstreams have ended and, if tasks are bound to
 *          an upstream, until its deadline: a later submission of the job may
 *          place these tasks only there
 * @runs_ended: closed, and no task runs, or may run, on an upstream
 * @closed_us: when it was closed
 * @accepted_us: when its taker last offered it
 * @renewed_us: newest time as of which the taker confirmed that the caller
 *              was connected, see renew_confirmed_us(); not changed after the
 *              job is closed
 * @claim: at @witnesses
 * @witnesses: brokers that record that this one runs the job
 * @n_witnesses: number of @witnesses
 * @claim_sent_us: when it was last claimed
 * @start_after_us: no task is started before this
 * @n_unresolved: starts that were neither answered nor listed
 * @started: a start of one of its tasks was sent
 * @queued: in the service's queue
 * @blocked_by_earlier: earlier submissions of the job may still have runs on
 *                      upstreams, which must be resolved first
 */
struct run_job {
    struct handle self;
    struct name taker;
    uint64_t number;
    uint64_t id;
    struct name queue;
    struct broker_service *service;
    uint32_t priority;
    uint32_t attempts;
    int64_t arrived_us;
    int64_t objective_us;
    int64_t deadline_us;
    int64_t latest_start_us;
    int64_t queue_key_us;
    double work;
    struct blob *spec;
    struct rec_task_group *groups;
    size_t n_groups;
    struct run_task *tasks;
    uint32_t n_tasks;
    bool late;
    bool overdue;
    uint32_t n_done;
    int64_t total_run_us;
    uint32_t n_unfinished;
    uint32_t n_ready;
    uint32_t n_placed;
    bool closed;
    bool runs_ended;
    int64_t closed_us;
    int64_t accepted_us;
    int64_t renewed_us;
    enum job_claim claim;
    struct job_witness witnesses[WITNESSES_MAX];
    uint32_t n_witnesses;
    int64_t claim_sent_us;
    int64_t start_after_us;
    uint32_t n_unresolved;
    bool started;
    bool queued;
    bool blocked_by_earlier;
    TAILQ_ENTRY(run_job) link;
};

TAILQ_HEAD(run_queue, run_job);

/**
 * struct queue_stats - statistics of a queue
 * @priority: 0 is the most urgent
 * @run_estimate: run time estimates
 * @demand: work submitted lately: moving average, in milli-cores
 * @credit: work that may be admitted from the queue's share, in milli-core
 *          microseconds
 * @job_milli: milli-cores that a usual job needs at first
 * @reserved_milli: capacity reserved for the queue, as of @reserved_us
 * @reserved_us: when a job of the queue was last offered
 */
struct queue_stats {
    struct name queue;
    uint32_t priority;
    struct run_estimate run_estimate;
    double demand;
    double credit;
    double job_milli;
    double reserved_milli;
    int64_t reserved_us;
};

/**
 * struct broker_service - a service with known upstreams or offered jobs
 * @queue: waiting jobs, by run_job.queue_key_us
 * @n_queued: number of jobs in @queue
 * @late_throughput: work of late jobs that were started lately: moving
 *                   average, in milli-cores
 * @shares_updated_us: when the demands and credits of @stats were last updated
 * @stats: of its queues
 * @n_stats: number of @stats
 * @speeds_differ: an upstream held here differs from the usual speed by more
 *                 than 10 %; set by broker_speed.c
 * @placement_due: capacity or work was added; place tasks in this step
 * @next_placement_us: when to place tasks anyway
 */
struct broker_service {
    struct name name;
    struct run_queue queue;
    uint32_t n_queued;
    double late_throughput;
    int64_t shares_updated_us;
    struct queue_stats *stats;
    size_t n_stats;
    bool speeds_differ;
    bool placement_due;
    int64_t next_placement_us;
    struct broker_service *next;
};

/** enum hold_state - whether this broker holds an upstream */
enum hold_state {
    HOLD_NONE,         /* held by another broker, or by none */
    HOLD_TAKING,       /* unknown runs are listed and stopped before its use */
    HOLD_OPEN,         /* held; tasks are placed there */
    HOLD_UNRESPONSIVE, /* held, but does not answer */
    HOLD_LOST, /* another broker has a higher fence; runs that were started
                * by this broker may not have ended */
};

/** struct placed_task - a task that runs, or may run, on an upstream */
struct placed_task {
    struct handle job;
    uint32_t task;
};

/**
 * struct broker_upstream - an upstream
 * @name: key of broker.upstreams_by_name; must be the first member
 * @hash: of the name; all brokers order upstreams by it
 * @born_ms: its incarnation; 0: not announced yet
 * @announced_born_ms: incarnation whose announcement @sequence to @labels are
 *                     from; a poll may show a later one as @born_ms
 * @sequence: of its last announcement
 * @last_reported_us: when a registry last reported it
 * @leaving: the upstream announced that it accepts no new tasks
 * @gone: the upstream announced that it has ended
 * @holder: broker that reported that it holds the upstream; empty: none
 * @fence: fence under which this broker holds the upstream, or the highest
 *         known one
 * @last_end: number of the last ended run that was processed
 * @ack_pending: @last_end has not been sent to the upstream yet
 * @clock_ms: its clock when it last answered
 * @clock_us: time of that answer on this broker's clock
 * @granted_until_us: the latest end of a lease that was sent to the upstream,
 *                    on this broker's clock
 * @leases_end_us: by then every run on leases of this broker has ended, even
 *                 if the upstream's clock is slow
 * @poll: number of the poll in progress; 0: none
 * @poll_us: when the next poll is due; INT64_MAX: none
 * @quick_poll: number of the quick poll in progress; 0: none
 * @quick_poll_due: a quick poll is to be sent
 * @confirmed_us: when a poll last showed the incarnation
 * @confirmation_due: a poll was sent to confirm the incarnation, and tasks
 *                    wait for its answer
 * @missed_polls: polls in a row without an answer
 * @lost_start_until_us: until then, an unresponsive upstream is polled more
 *                       often, since tasks wait for it after a lost start
 * @taken_us: when this broker took the upstream, under @fence
 * @polled_clean: while this broker takes the upstream: the last poll listed no
 *                unknown runs
 * @fence_retries: consecutive refusals of the fence while this broker takes
 *                 the upstream
 * @fenced_view: broker.view when the upstream was lost to a higher fence
 * @tasks: tasks that run, or may run, there
 * @n_tasks: number of @tasks
 * @tasks_capacity: allocated length of @tasks
 * @used: resources of @tasks
 * @full_until_us: no start is sent before this, after one was refused for lack
 *                 of capacity
 * @unknown_runs: the last poll listed runs that this broker did not start
 * @failures: runs in a row that failed
 * @quarantine_until_us: end of the quarantine; 0: not in quarantine
 * @backoff_us: length of the quarantine, doubled by each further failure
 * @slowness: run time divided by expected run time, moving mean
 * @speed: as measured here, or as the last holder reported it
 * @unusual_run: the last run that ended or made progress there was unusually
 *               long
 * @speed_reported: this broker has reported the speed since it took the
 *                  upstream
 * @reported_log: speed.log_speed as last reported
 */
struct broker_upstream {
    struct name name;
    struct handle self;
    uint64_t hash;
    uint64_t born_ms;
    uint64_t announced_born_ms;
    uint64_t sequence;
    int64_t last_reported_us;
    struct broker_service *service;
    struct name zone;
    struct address address;
    uint32_t slots;
    bool leaving;
    bool gone;
    bool polled_clean;
    struct resources capacity;
    struct name labels[UPSTREAM_LABELS_MAX];
    size_t n_labels;

    enum hold_state state;
    struct name holder;
    uint64_t fence;
    uint64_t last_end;
    bool ack_pending;
    int64_t clock_ms;
    int64_t clock_us;
    int64_t granted_until_us;
    int64_t leases_end_us;
    uint64_t poll;
    int64_t poll_us;
    uint64_t quick_poll;
    bool quick_poll_due;
    bool confirmation_due;
    uint32_t missed_polls;
    int64_t confirmed_us;
    int64_t lost_start_until_us;
    int64_t taken_us;
    uint32_t fence_retries;
    uint64_t fenced_view;

    struct placed_task *tasks;
    size_t n_tasks;
    size_t tasks_capacity;
    struct resources used;
    int64_t full_until_us;
    bool unknown_runs;
    bool unusual_run;
    bool speed_reported;

    uint32_t failures;
    int64_t quarantine_until_us;
    int64_t backoff_us;
    double slowness;
    struct upstream_speed speed;
    double reported_log;
};

/**
 * struct broker_call - a call to an upstream that is in progress
 * @born_ms: incarnation of the upstream when the call was sent
 * @fence: of the upstream when the call was sent
 * @job: of the task to start or stop; none when an unknown run is stopped
 * @task: index of the task in the job
 * @run: number of the start
 */
struct broker_call {
    struct handle self;
    enum lease_call kind;
    struct handle upstream;
    uint64_t born_ms;
    uint64_t fence;
    struct handle job;
    uint32_t task;
    uint64_t run;
    int64_t sent_us;
};

/**
 * struct broker - state of a broker
 * @job_lease_us: longest time that a job may run without a renewal, see
 *                renew_init()
 * @now: time of the current step
 * @fx: effects of the current step
 * @rng: state of broker_random()
 * @started_us: when it started, or resumed after a pause
 * @last_step_us: time of the last step
 * @callers_known_us: every disconnect of a caller before this time has been
 *                    processed
 * @queues: configuration in force; NULL: none
 * @config_text: its text
 * @config_version: its version; 0: none
 * @evacuated: availability zones that are evacuated
 * @evacuated_known: a registry or another broker has reported @evacuated
 * @evacuated_from_us: while this zone is evacuated: when the last started jobs
 *                     may start tasks
 * @evacuation_refused: a job was refused since this zone's evacuation began
 * @self: this process in @peers
 * @view: incremented whenever the set of brokers that may hold upstreams
 *        changes
 * @holders: brokers that should hold upstreams of the zone, set by
 *           peers_update_holders()
 * @quotas: of @holders
 * @capacity: plan of the holders, and usage of this process
 * @next_load_us: when the next load report is due
 * @first_roster_us: when a registry first listed the brokers; 0: not yet
 * @load_rounds: load reports so far
 * @load_reported: the last load report to the other brokers was not empty
 * @holds_reported: registries were notified that this broker holds upstreams
 * @patience: of the queues that were used here
 * @n_patience: number of @patience
 * @n_unoffered: number of @caller_jobs without a runner
 * @runners_updated: a load report was received since jobs without a runner
 *                   were last offered
 * @caller_timers: deadlines of @caller_jobs
 * @calls: in progress, to upstreams
 * @discovery_over: as of the last step, the wait for other brokers is over,
 *                  see broker_options.discovery_us
 * @review_due: upstreams have to be assigned to holders again
 * @next_review_us: earliest time of that assignment
 * @hold_updates: upstreams taken, released or lost, sent to the zone at the
 *                end of the step
 * @speeds_due: speeds were sampled since the last report
 * @next_speeds_us: earliest time of the next report of speeds
 * @owners: records of jobs of which this broker is the witness
 * @owner_timers: expiry of @owners
 * @owner_updates: changes to be sent to witnesses
 * @owner_updates_due_us: when to send them; INT64_MAX: none
 * @claims_due_us: when the first claim times out; INT64_MAX: none was sent
 * @fence_used: highest fence that this broker has used
 * @fence_floor: highest fence that a registry has recorded
 * @fence_floor_known: a registry has reported @fence_floor
 * @fence_report_due: @fence_used was raised in this step
 * @local_msgs: messages of this process to itself, handled before the step
 *              ends
 * @stopping: a planned stop has begun
 * @serves_while_stopping: new jobs are still run while stopping, see
 *                         broker_shutdown.c
 * @stopped_reported: BE_STOPPED was emitted
 * @stop_begun_us: when the planned stop began
 * @ack_mean_us: mean time from a call to its answer, estimated like TCP's
 *               round-trip time (RFC 6298)
 * @ack_dev_us: mean deviation from @ack_mean_us
 */
struct broker {
    struct broker_options opts;
    int64_t job_lease_us;
    struct moment now;
    struct broker_effects *fx;
    uint64_t rng;
    int64_t started_us;
    int64_t last_step_us;
    int64_t callers_known_us;

    struct queueconf *queues;
    struct blob *config_text;
    uint64_t config_version;
    struct config_fetch fetch;

    struct evacuation_set evacuated;
    int64_t evacuated_from_us;

    struct map peers_by_name;
    struct broker_peer *peers;
    struct broker_peer *self;
    uint64_t view;
    struct holder_ref *holders;
    size_t n_holders;
    size_t holders_capacity;
    struct assign_quota *quotas;
    struct capacity_state capacity;
    int64_t next_load_us;
    int64_t first_roster_us;
    uint64_t load_rounds;
    bool load_reported;
    bool holds_reported;

    struct table caller_jobs;
    struct queue_patience *patience;
    size_t n_patience;
    size_t n_unoffered;
    bool runners_updated;
    struct timers caller_timers;

    struct table run_jobs;
    struct broker_service *services;

    struct table upstreams;
    struct map upstreams_by_name;
    struct table calls;
    bool discovery_over;
    bool review_due;
    int64_t next_review_us;
    struct rec_held_upstream *hold_updates;
    size_t n_hold_updates;
    size_t hold_updates_capacity;
    int64_t next_speeds_us;
    struct table owners;
    struct map owners_by_job;
    struct timers owner_timers;
    struct owner_update *owner_updates;
    size_t n_owner_updates;
    size_t owner_updates_capacity;
    int64_t owner_updates_due_us;
    int64_t claims_due_us;
    uint64_t fence_used;
    uint64_t fence_floor;
    bool fence_floor_known;
    bool fence_report_due;
    struct msg *local_msgs;
    size_t n_local_msgs;
    size_t local_msgs_capacity;

    bool evacuated_known;
    bool evacuation_refused;
    bool speeds_due;
    bool stopping;
    bool serves_while_stopping;
    bool stopped_reported;
    int64_t stop_begun_us;
    int64_t ack_mean_us;
    int64_t ack_dev_us;
    struct broker_counters counters;
    struct broker_histograms histograms;
};

/* broker.c */

/** broker_random() - pseudo-random number below @n, from the seed of the
 * options */
uint64_t broker_random(struct broker *b, uint64_t n);

/** broker_send() - sends a message to a process; takes ownership of the
 * contents of @m.  A message to this process is handled before the step
 * ends. */
void broker_send(struct broker *b, struct name to, struct msg *m);

/** broker_log() - logs a decision; @job is 0 and @task is -1 where the line is
 * not about one */
void broker_log(struct broker *b, int severity, enum broker_reason reason,
                uint64_t job, int32_t task, struct name subject,
                const char *format, ...) __attribute__((format(printf, 7, 8)));

/* broker_peer.c */

/** peers_init() - adds this process and the registries of the options */
void peers_init(struct broker *b);
void peers_free(struct broker *b);

/** peers_find() - returns the process of that name, or NULL */
struct broker_peer *peers_find(const struct broker *b, struct name name);

/** peers_on_connection() - the connection to a process was established (@up)
 * or lost */
void peers_on_connection(struct broker *b, struct name name, bool up);

/** peers_on_introduction() - stores what another broker sent about itself: its
 * zone, address and incarnation, and whether it is stopping */
void peers_on_introduction(struct broker *b, struct name from,
                           const struct rec_introduction *i);

/** peers_on_roster() - connects to the brokers and registries of a roster */
void peers_on_roster(struct broker *b, const struct rec_roster *r);

/** peers_on_load() - stores the load report of a broker.  The report is also a
 * request to renew the leases of the jobs which that broker runs for callers
 * of this one. */
void peers_on_load(struct broker *b, struct name from,
                   const struct rec_broker_load *l);

/** peers_announce_stop() - notifies all connected processes that this broker
 * is stopping */
void peers_announce_stop(struct broker *b);

/** peers_tick() - sends load reports and removes processes that stayed
 * disconnected, when due */
void peers_tick(struct broker *b);

/** peers_next_us() - when peers_tick() is due */
int64_t peers_next_us(const struct broker *b);

/* broker_config.c */

/** config_tick() - polls the registries for their configuration version, and
 * fetches a newer configuration */
void config_tick(struct broker *b);
int64_t config_next_us(const struct broker *b);
/** config_on_reply() - a registry reports its version, or sends the text */
void config_on_reply(struct broker *b, struct name from,
                     const struct rec_config_reply *r);

/** config_registry_lost() - the connection to a registry was lost; abandons a
 * fetch from it */
void config_registry_lost(struct broker *b, struct broker_peer *p);

/* broker_peer.c, again */

/** peers_update_holders() - recomputes which brokers of this zone should be
 * holders */
void peers_update_holders(struct broker *b);

/** peers_note_offer() - a broker offered a job: it gets each load report for
 * some time */
void peers_note_offer(struct broker *b, struct name from);

/** peers_have_successor() - whether another broker of this zone may be a
 * holder */
bool peers_have_successor(const struct broker *b);

/** peers_can_run_jobs() - whether jobs may be offered to @p */
bool peers_can_run_jobs(const struct broker_peer *p);

/** peers_zone_connected() - whether a registry has sent a roster, and all
 * brokers of this zone that any roster named are connected */
bool peers_zone_connected(const struct broker *b);

/** peers_send_to_zone() - sends copies of @m to the other brokers of this
 * zone; frees @m */
void peers_send_to_zone(struct broker *b, struct msg *m);

/* broker_caller.c */
/** caller_on_submit() - accepts a job and offers it to a runner, or refuses
 * it */
void caller_on_submit(struct broker *b, const struct bev_submit *s);

/** caller_on_cancel() - cancels a job of this broker; answers both requests */
void caller_on_cancel(struct broker *b, const struct bev_cancel *c);

/** caller_on_disconnect() - drops the job of a caller that disconnected */
void caller_on_disconnect(struct broker *b, uint64_t request);

/** caller_on_job_end() - a runner reports the outcome of a job or returns it:
 * answers the caller or offers the job to another runner */
void caller_on_job_end(struct broker *b, struct name from,
                       const struct rec_job_end *e);

/** caller_on_redirect() - a runner found that another one runs the job: offers
 * it to that one */
void caller_on_redirect(struct broker *b, struct name from,
                        const struct rec_job_redirect *r);

/** caller_on_runner_lost() - the connection to a runner was lost: its jobs are
 * answered with an unknown outcome */
void caller_on_runner_lost(struct broker *b, struct name runner);

/** caller_tick() - offers jobs without a runner again, answers jobs whose
 * deadline has passed */
void caller_tick(struct broker *b);
int64_t caller_next_us(const struct broker *b);

/* broker_run.c */

/** run_on_offer() - a taker offers a job: accepts it, or reports a refusal */
void run_on_offer(struct broker *b, struct name from,
                  const struct rec_job_offer *o);
/** run_on_drop() - a taker drops a job: stops its runs */
void run_on_drop(struct broker *b, struct name from, uint64_t number);

/** run_on_taker_lost() - the connection to a taker was lost: its jobs are
 * dropped */
void run_on_taker_lost(struct broker *b, struct name taker);

/** run_find_task() - the task of a placed task, or NULL; sets *@job */
struct run_task *run_find_task(struct broker *b, const struct placed_task *p,
                               struct run_job **job);

/** run_mark_reserved() - updates the job for a task that is placed before its
 * start may be sent */
void run_mark_reserved(struct broker *b, struct run_job *job,
                       struct run_task *t, struct broker_upstream *u);

/** run_on_claim_granted() - sends the starts of the job's reserved tasks, or
 * returns these to the queue if they can't start yet */
void run_on_claim_granted(struct broker *b, struct run_job *job);

/** run_mark_started() - updates the job for a start that is being sent */
void run_mark_started(struct broker *b, struct run_job *job,
                      struct run_task *t, struct broker_upstream *u);

/** run_mark_ready() - a placed task certainly does not run on its upstream any
 * more and may be started again; frees a closed job with no task placed */
void run_mark_ready(struct broker *b, struct run_job *job, struct run_task *t);

/** run_resolve_start() - the start was answered or its run was listed, thus it
 * will not be executed later */
void run_resolve_start(struct broker *b, struct run_job *job,
                       struct run_task *t);

/** run_find_open() - the open submission of a job, or NULL */
struct run_job *run_find_open(struct broker *b, uint64_t id);

/** run_has_job() - whether a submission of the job is open here, or has runs
 * or unanswered starts on upstreams */
bool run_has_job(struct broker *b, uint64_t id);

/** run_give_up_job() - ends a job that can't be completed, with an unknown
 * outcome; may free it */
void run_give_up_job(struct broker *b, struct run_job *job,
                     enum broker_reason reason);

/** run_drop_job() - closes a job without an outcome; may free it */
void run_drop_job(struct broker *b, struct run_job *job,
                  enum broker_reason reason);

/** run_is_bound() - whether a task of any job is bound to the upstream */
bool run_is_bound(struct broker *b, const struct broker_upstream *u);

/** run_has_any() - whether a job is open here, or has runs on upstreams */
bool run_has_any(const struct broker *b);

/** run_mark_done() - a run succeeded; may free the job */
void run_mark_done(struct broker *b, struct run_job *job, struct run_task *t);

/** run_mark_failed() - a run failed, by a fault of the task or of its
 * upstream; may free the job */
void run_mark_failed(struct broker *b, struct run_job *job,
                     struct run_task *t);

/** run_tick() - places waiting tasks, refuses waiting jobs that cannot meet
 * their deadline */
void run_tick(struct broker *b);
int64_t run_next_us(const struct broker *b);

/** run_abandon_job() - ends a job and reports to its taker that its outcome is
 * unknown, or that it may be run elsewhere if nothing of it was started */
void run_abandon_job(struct broker *b, struct run_job *job,
                     enum broker_reason reason);

/** run_on_pause() - ends all jobs with an unknown outcome, since this process
 * was paused for longer than a lease */
void run_on_pause(struct broker *b);

/** run_return_unstarted() - returns all jobs that have not started to their
 * takers, which offer them to other runners */
void run_return_unstarted(struct broker *b, enum broker_reason reason);

/** run_ensure_service() - the service of that name; created if it is unknown
 */
struct broker_service *run_ensure_service(struct broker *b, struct name name);

/** run_task_number() - number of a task in its job, for logs */
int32_t run_task_number(const struct run_job *job, const struct run_task *t);

/* broker_renew.c */

/** renew_init() - derives the length of job leases from the options, and
 * limits the leases of upstreams to that length */
void renew_init(struct broker *b);

/** renew_on_request() - a load report (@check is false) or a JOB_CHECK arrived
 * from @from, which may run jobs taken here; @sent_us is the time of its
 * clock.  Schedules a renewal for these jobs: always for a check, for a load
 * report only if the lease of one of the jobs has to be renewed. */
void renew_on_request(struct broker *b, struct name from, uint64_t sent_us,
                      bool check);

/** renew_confirmable_us() - newest time of @p's clock as of which this broker
 * may confirm that callers are connected: every earlier disconnect has been
 * processed here */
uint64_t renew_confirmable_us(const struct broker *b,
                              const struct broker_peer *p);

/** renew_reset_peer() - resets the renewal state of a process whose connection
 * is lost */
void renew_reset_peer(struct broker_peer *p);

/** renew_next_us() - the current time while a renewal is to be sent, else
 * INT64_MAX */
int64_t renew_next_us(const struct broker *b);

/** renew_on_renewal() - extends the leases of the jobs whose callers are still
 * connected to the taker @from, as the renewal lists them */
void renew_on_renewal(struct broker *b, struct name from,
                      const struct rec_job_renewal *r);

/** renew_echoed_us() - the timestamp of this broker's clock that a taker
 * echoed; 0 if it lies ahead of the clock, thus was not taken from it */
int64_t renew_echoed_us(const struct broker *b, uint64_t heard_us);

/** renew_confirmed_us() - newest time at which the job's caller was known to
 * be connected */
int64_t renew_confirmed_us(const struct broker *b, const struct run_job *job);

/** renew_close_job() - marks a job as closed: its caller needs no further
 * answer about it, so the lease of the job is not renewed any more */
void renew_close_job(const struct broker *b, struct run_job *job);

/** renew_upstream_limit_us() - when all runs on the upstream must have ended:
 * the earliest end of the job leases of the tasks there; INT64_MAX for none */
int64_t renew_upstream_limit_us(struct broker *b,
                                const struct broker_upstream *u);

/** renew_allows_start() - whether a task of the job may start on the upstream:
 * the lease already granted there does not outlast that of the job */
bool renew_allows_start(struct broker *b, const struct run_job *job,
                        const struct broker_upstream *u);

/** renew_job_can_start() - whether the job's lease leaves time to start a
 * task.  Sends a check to the taker while the lease is too short for some
 * upstream. */
bool renew_job_can_start(struct broker *b, const struct run_job *job);

/** renew_tick() - sends renewals and checks that are due, and abandons jobs
 * that their taker has not confirmed for the length of a job lease */
void renew_tick(struct broker *b);

/* broker_owner.c */

void owner_init(struct broker *b);
void owner_free(struct broker *b);

/** owner_allows_placing() - claims the job if necessary; returns false if its
 * tasks have to wait for the leases of a lost owner, or if another runner has,
 * or had, the job, which may have been freed then */
bool owner_allows_placing(struct broker *b, struct run_job *job);

/** owner_on_start_resolved() - a start of the job was answered: updates the
 * witness when all were */
void owner_on_start_resolved(struct broker *b, struct run_job *job);

/** owner_on_deadline_moved() - a later submission moved the deadline of the
 * job: updates the witnesses */
void owner_on_deadline_moved(struct broker *b, const struct run_job *job);

/** owner_on_job_removed() - no task of the job can run any more: releases the
 * claim */
void owner_on_job_removed(struct broker *b, struct run_job *job);

/** owner_on_peers_changed() - claims jobs again whose witness is another one
 * with the brokers that are connected now */
void owner_on_peers_changed(struct broker *b);

/** owner_on_claim() - a runner claims a job of which this is the witness */
void owner_on_claim(struct broker *b, struct name from,
                    const struct rec_owner_claim *c);

/** owner_on_reply() - the answer of a witness */
void owner_on_reply(struct broker *b, struct name from,
                    const struct rec_owner_reply *r);

/** owner_on_update() - a runner updates the records of its jobs */
void owner_on_update(struct broker *b, struct name from,
                     const struct rec_owner_update *u);

/** owner_tick() - sends updates, removes expired records and asks another
 * witness instead of one that does not answer, when due */
void owner_tick(struct broker *b);
int64_t owner_next_us(const struct broker *b);

/* broker_order.c */

/** order_set_times() - sets a new job's expected work, objective, deadline,
 * latest start and position in the queue */
void order_set_times(struct broker *b, struct run_job *job,
                     const struct rec_job_offer *o);

/** order_admit() - BROKER_NONE, or why the job is refused; *@retry_us is set
 * to the time after which the caller should retry, 0 where admitted */
enum broker_reason order_admit(struct broker *b, struct run_job *job,
                               int64_t *retry_us);

/** order_insert() - adds the job to the queue of its service */
void order_insert(struct run_job *job);

/** order_remove() - removes the job from the queue, if it is queued */
void order_remove(struct run_job *job);

/** order_starts_too_late() - whether a queued late job is expected to start
 * too late for its answer to be useful; then sets *@retry_us as order_admit()
 * does */
bool order_starts_too_late(struct broker *b, const struct run_job *job,
                           int64_t *retry_us);

/** order_on_late_start() - adds the work of a late job that starts its first
 * task to the late throughput of the service */
void order_on_late_start(struct broker *b, struct run_job *job);

/** order_demote_if_late() - marks a queued job as late once its latest start
 * has passed, and moves it behind the jobs that can still be in time */
void order_demote_if_late(struct broker *b, struct run_job *job);

/** order_late_can_start() - whether there is enough free capacity for a late
 * job to start */
bool order_late_can_start(struct broker *b, const struct run_job *job);

/** order_service_load() - capacity of a service's upstreams held here, and the
 * demand queued for it */
struct rec_service_load order_service_load(struct broker *b,
                                           const struct broker_service *s);

/** order_expected_us() - expected run time of a task of that group, on an
 * upstream of usual speed that has the task's data */
int64_t order_expected_us(const struct run_job *job,
                          const struct rec_task_group *g);

/** order_record_run() - adds the run time of a task, scaled to an upstream of
 * usual speed, to the estimate of its queue */
void order_record_run(struct run_job *job, const struct rec_task_group *g,
                      int64_t ran_us);

/* broker_share.c: @capacity is in milli-cores, shared by all queues of the
 * service; @work is in milli-core microseconds */

/** share_update() - updates demand, credits and late throughput to the current
 * time */
void share_update(struct broker *b, struct broker_service *s, double capacity);

/** share_add_late_start() - adds the work of a late job that was started to
 * the late throughput */
void share_add_late_start(struct broker_service *s, double work);

/** share_add_demand() - adds the work of an offered job, admitted or not, to
 * the demand of its queue */
void share_add_demand(struct broker *b, struct broker_service *s,
                      struct queue_stats *q, double work, double capacity);

/** share_total_demand() - of all queues of the service, in milli-cores */
double share_total_demand(const struct broker_service *s);

/** share_wait_factor() - the part of its spare time that a job of the queue
 * may wait, 0 to 1: all of it while the queue has credit or the demand fits */
double share_wait_factor(const struct broker_service *s,
                         const struct queue_stats *q, double capacity);

/** share_spend_credit() - subtracts the work of an admitted job from the
 * credit of its queue */
void share_spend_credit(struct queue_stats *q, double work);

/** share_granted() - the queue's part of the capacity, in milli-cores */
double share_granted(const struct broker_service *s,
                     const struct queue_stats *q, double capacity);

/* broker_urgent.c: @capacity as above */

/* A reserve is reported for as long as the demand is measured. */
#define URGENT_RESERVE_MEMORY_US (2 * USEC_PER_SEC)

/** urgent_on_offer() - adds an offered job, admitted or not, and decides
 * whether capacity is reserved for its queue */
void urgent_on_offer(struct broker *b, struct queue_stats *q,
                     const struct run_job *job, double capacity);

/** urgent_wait_factor() - share_wait_factor() for a job of the queue that was
 * just offered: as with credit while capacity is reserved for the queue */
double urgent_wait_factor(struct broker *b, const struct queue_stats *q,
                          const struct broker_service *s, double capacity);

/** urgent_reserved_milli() - of all queues, in milli-cores */
uint64_t urgent_reserved_milli(const struct broker *b);

/* broker_place.c */

/** place_choose() - the upstream on which a task should start now, or NULL */
struct broker_upstream *place_choose(struct broker *b,
                                     const struct run_job *job,
                                     const struct run_task *t);

/** place_can_start() - whether the start of a task may be sent to the upstream
 * now, apart from its capacity; polls the upstream first if its incarnation
 * has to be confirmed for that */
bool place_can_start(struct broker *b, const struct run_job *job,
                     const struct run_task *t, struct broker_upstream *u);

/** place_bound_upstream() - the only upstream where the task may be placed,
 * since it may still execute an earlier start of the task; NULL for none */
struct broker_upstream *place_bound_upstream(struct broker *b,
                                             const struct run_task *t);

/** place_can_still_run() - whether a task that waits for its bound upstream
 * could still be executed there before the job's deadline */
bool place_can_still_run(struct broker *b, const struct run_job *job,
                         const struct run_task *t);

/** place_fits_any() - whether a task of the group fits any held upstream when
 * that is idle */
bool place_fits_any(struct broker *b, const struct broker_service *s,
                    const struct rec_task_group *g);

/** place_is_usable() - whether the upstream counts as capacity of the service:
 * held, and neither leaving, evacuated nor in quarantine */
bool place_is_usable(struct broker *b, const struct broker_service *s,
                     const struct broker_upstream *u);

/** place_fits_after_us() - expected time until some upstream has processors
 * left for a task of the group, 0 if one has now, INT64_MAX if none ever has;
 * what is queued before is not counted */
int64_t place_fits_after_us(struct broker *b, const struct run_job *job,
                            const struct rec_task_group *g);

/** place_remote_factor() - factor on the run time of a task of the group on
 * the upstream: 1 near its data, more elsewhere */
double place_remote_factor(const struct broker *b,
                           const struct rec_task_group *g,
                           const struct broker_upstream *u);

/** place_expected_us() - expected run time of a task of the group on the
 * upstream */
int64_t place_expected_us(const struct broker *b, const struct run_job *job,
                          const struct rec_task_group *g,
                          const struct broker_upstream *u);

/* broker_hold.c */

/** report_on_upstreams() - a registry sent upstreams: all, or changed ones */
void report_on_upstreams(struct broker *b, struct name from,
                         const struct rec_upstream_report *r);

/** report_on_digest() - compares the list of a registry with its digest, and
 * requests the list where they differ */
void report_on_digest(struct broker *b, struct name from,
                      const struct rec_upstream_digest *d);

/** report_on_removal() - an upstream is removed here; a registry that still
 * lists it will send it again */
void report_on_removal(struct broker *b, const struct broker_upstream *u);

/** hold_on_upstream_report() - adds and updates upstreams that a registry
 * reported */
void hold_on_upstream_report(struct broker *b,
                             const struct rec_upstream_report *r);

/** hold_notify_zone() - sends the upstreams taken, released or lost in this
 * step to the other brokers of the zone */
void hold_notify_zone(struct broker *b);

/** hold_on_peer_holds() - updates the holders of upstreams from the list that
 * another broker sent: those it took, released or lost, or all that it holds
 */
void hold_on_peer_holds(struct broker *b, struct name from,
                        const struct rec_upstream_holds *h);

/** hold_reassign() - takes upstreams that this broker should hold, and
 * releases those that it should not */
void hold_reassign(struct broker *b);

/** hold_open_confirmed() - opens the upstreams that only waited for a registry
 * to confirm their fence or to report their incarnation */
void hold_open_confirmed(struct broker *b);

/** hold_broker_lost() - the connection to a broker is lost: the upstreams it
 * held count as held by nobody */
void hold_broker_lost(struct broker *b, struct name name);

/** hold_send_held() - sends the list of upstreams held here to a broker */
void hold_send_held(struct broker *b, struct name to);

/** hold_on_pause() - releases all upstreams, after this process was paused for
 * longer than their leases */
void hold_on_pause(struct broker *b);

/** hold_has_any() - whether this broker holds any upstream */
bool hold_has_any(const struct broker *b);

/** hold_tick() - sends polls that are due, handles expired leases and removes
 * lost upstreams */
void hold_tick(struct broker *b);

/** hold_next_us() - when hold_tick() is due; INT64_MAX for never */
int64_t hold_next_us(const struct broker *b);

/** hold_on_fenced() - the upstream refused a call since it knows a higher
 * fence: raises the fence while the upstream is being taken, up to a limit,
 * else marks the upstream as lost */
void hold_on_fenced(struct broker *b, struct broker_upstream *u);

/** hold_on_restart() - the upstream was restarted as incarnation @born_ms:
 * resets its state; if it is held, takes it again under a higher fence */
void hold_on_restart(struct broker *b, struct broker_upstream *u,
                     uint64_t born_ms);

/** hold_on_poll_answer() - a poll was answered; @unknown says whether the
 * upstream has runs that this broker did not start */
void hold_on_poll_answer(struct broker *b, struct broker_upstream *u,
                         bool unknown);

/** hold_on_poll_failure() - a poll got no answer: schedules the next one;
 * after several in a row, marks the upstream as unresponsive */
void hold_on_poll_failure(struct broker *b, struct broker_upstream *u);

/* broker_fence.c */

/** fence_next() - a fence for taking the upstream, above all that are known to
 * be in use */
uint64_t fence_next(struct broker *b, const struct broker_upstream *u);

/** fence_report() - reports the highest fence used to the registries, if this
 * step raised it */
void fence_report(struct broker *b);

/** fence_on_registry_up() - reports it to a registry that was connected, which
 * replies with the highest one of all brokers */
void fence_on_registry_up(struct broker *b,
                          const struct broker_peer *registry);

/** fence_on_record() - a registry reports the highest fence of all brokers */
void fence_on_record(struct broker *b, struct name from,
                     const struct rec_fence_record *r);

/** fence_is_recorded() - whether starts may be sent under the upstream's
 * fence: brokers that start later will use higher ones */
bool fence_is_recorded(const struct broker *b,
                       const struct broker_upstream *u);

/* broker_lease.c */

/* Added to the time after which a lease counts as expired, for network delays
 * and coarse clocks. */
#define EXPIRY_SLACK_US (50 * USEC_PER_MSEC)

/** lease_reserve() - places a task on an upstream; the start is sent later */
void lease_reserve(struct broker *b, struct broker_upstream *u,
                   struct run_job *job, struct run_task *t);

/** lease_start() - sends the start of a task, which is placed on the upstream
 * first if it was not reserved */
void lease_start(struct broker *b, struct broker_upstream *u,
                 struct run_job *job, struct run_task *t);

/** lease_stop() - sends the stop of a placed task, unless @u is NULL or held
 * by another broker */
void lease_stop(struct broker *b, struct broker_upstream *u,
                struct run_job *job, struct run_task *t);

/** lease_poll() - sends a poll, which also extends the lease; the upstream
 * answers when a run ends, or after a while */
void lease_poll(struct broker *b, struct broker_upstream *u);

/** lease_run_ref() - the reference by which a run is named to an upstream */
struct run_ref lease_run_ref(const struct run_job *job,
                             const struct run_task *t);

/** lease_send_stop() - stops a run, which need not have been started here;
 * @job and @number refer to the task that awaits the answer, @job is empty
 * for none */
void lease_send_stop(struct broker *b, struct broker_upstream *u,
                     struct run_ref task, struct handle job, uint32_t number);

/** lease_quick_poll() - sends a poll that is answered at once, also while
 * another poll is in progress */
void lease_quick_poll(struct broker *b, struct broker_upstream *u);

/** lease_confirm() - sends a poll that is answered at once, for tasks that
 * wait until the incarnation is confirmed; none while one is in progress */
void lease_confirm(struct broker *b, struct broker_upstream *u);

/** lease_remove_task() - removes a task from the list of its upstream */
void lease_remove_task(struct broker *b, struct broker_upstream *u,
                       const struct run_job *job, const struct run_task *t);

/* broker_answer.c */

/** answer_on_call_end() - handles the answer to a call, or its time-out */
void answer_on_call_end(struct broker *b, const struct bev_called *c);

/* broker_evacuate.c */

/** evacuate_update() - @from reports the evacuated zones; ignored if their
 * revision is not above the known one */
void evacuate_update(struct broker *b, struct name from, uint64_t revision,
                     const struct rec_evacuated_zone *zones, size_t n_zones);

/** evacuate_covers() - whether the zone is known to be evacuated */
bool evacuate_covers(const struct broker *b, struct name zone);

/** evacuate_accepts_jobs() - whether jobs may be accepted to run in this zone:
 * it is known not to be evacuated */
bool evacuate_accepts_jobs(const struct broker *b);

/** evacuate_allows_start() - whether a task of the job may be started on the
 * upstream */
bool evacuate_allows_start(const struct broker *b, const struct run_job *job,
                           const struct broker_upstream *u);

/** evacuate_has_ended_starts() - whether this zone is evacuated and no job may
 * start tasks here any more */
bool evacuate_has_ended_starts(const struct broker *b);

/** evacuate_log_refusal() - logs the first job refused in an evacuation */
void evacuate_log_refusal(struct broker *b, uint64_t job);

/* broker_shutdown.c */

/** shutdown_begin() - a planned stop begins: keeps running jobs if no other
 * broker can take over the upstreams, else returns the jobs not started */
void shutdown_begin(struct broker *b);

/** shutdown_tick() - stops running jobs when a successor has appeared or the
 * time is up */
void shutdown_tick(struct broker *b);

/** shutdown_next_us() - when shutdown_tick() is due; INT64_MAX for never */
int64_t shutdown_next_us(const struct broker *b);

/** shutdown_accepts_job() - whether a new job is accepted during the stop: it
 * is expected to end in time */
bool shutdown_accepts_job(const struct broker *b, const struct run_job *job);

/* broker_health.c */

/** broker_health_task_done() - a task succeeded; @sample is its run time over
 * the expected one, and is weighted by @weight, 0 to 1 */
void broker_health_task_done(struct broker *b, struct broker_upstream *u,
                             double sample, double weight);

/** broker_health_task_failed() - a run failed or stalled on the upstream, or
 * it could not take a start */
void broker_health_task_failed(struct broker *b, struct broker_upstream *u);

/** broker_health_allows() - whether the upstream may be given a task now */
bool broker_health_allows(const struct broker *b,
                          const struct broker_upstream *u);

#endif
