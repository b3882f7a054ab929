/**
 * DOC: broker_state - what the parts of the broker reducer share
 *
 * broker.c routes events; broker_peer.c knows the other processes,
 * broker_config.c follows the configuration; broker_caller.c has the jobs that
 * callers handed in here; broker_run.c runs jobs, broker_renew.c knows how
 * long each may go on; broker_order.c decides which are let in and which go
 * first, broker_share.c what part of the room each queue may have,
 * broker_place.c where a task goes; broker_hold.c holds upstreams,
 * broker_shutdown.c goes on with them while a stop finds no successor,
 * broker_lease.c speaks with them, broker_health.c judges them.  A part calls
 * those that stand behind it in this list, and those before it only through
 * the functions below.
 */
#ifndef BM_BROKER_STATE_H
#define BM_BROKER_STATE_H

#include <sys/queue.h>
#include <syslog.h>

#include "broker.h"
#include "estimate.h"
#include "map.h"
#include "table.h"
#include "timers.h"

enum { UPSTREAM_LABELS_MAX = 4 };

/** struct broker_load - a service's load at a peer, as it told last */
struct broker_load {
    struct rec_service_load reported;
    uint64_t sent_milli; /* sent there since then */
};

/**
 * struct broker_peer - another process, or this one
 * @name: first: looked up by it
 * @registry: serves as a registry
 * @broker: introduced itself as a broker
 * @up: there is a connection
 * @stopping: takes no new duties
 * @draining: runs jobs though it stops
 * @loads: of its services
 * @config_poll_us: of a registry: ask it then for a newer version
 * @reported_version: of a registry: newest version of the configuration that
 * it told of on this connection
 * @fetch_timed_out: of a registry: it was asked for a text and did not send it
 * in time
 * @last_sent_us: its clock, as of its newest load or check on this connection;
 * 0: none
 * @last_received_us: when that was read here
 * @confirmable_us: newest of them that was read before callers who had left
 * were looked for last
 * @wants_renewal: it waits for a renewal
 * @last_check_us: when it was last sent a load or a check
 */
struct broker_peer {
    struct name name;
    struct address address;
    struct name zone;
    uint64_t incarnation;
    bool self;
    bool registry;
    bool broker;
    bool up;
    bool stopping;
    bool draining;
    struct broker_load *loads;
    size_t n_loads;
    int64_t config_poll_us;
    uint64_t reported_version;
    bool fetch_timed_out;
    uint64_t last_sent_us;
    int64_t last_received_us;
    uint64_t confirmable_us;
    bool wants_renewal;
    int64_t last_check_us;
    int64_t down_us;
    struct broker_peer *next;
};

/**
 * struct config_fetch - the way of a newer configuration to this broker
 * @source: the registry that was asked for its text; empty: none
 * @timeout_at_us: another one is asked then
 * @timeout_us: from asking to @timeout_at_us
 * @first_reported_us: when a version above the one in force was first told; 0:
 * none was
 * @full_text: a change did not fit the text here, so the whole text is asked
 * for
 * @unreadable_version: newest version that can't be in force here
 */
struct config_fetch {
    struct name source;
    int64_t timeout_at_us;
    int64_t timeout_us;
    int64_t first_reported_us;
    bool full_text;
    uint64_t unreadable_version;
};

/** struct holder_ref - a broker that holds upstreams of this zone */
struct holder_ref {
    struct broker_peer *peer;
};

/**
 * struct caller_job - a job that a caller handed in here
 * @offer: JOB_OFFER; kept, to be offered to another runner
 * @runner: empty while there is none
 * @confirmed_us: when the runner was last told that the caller waits
 */
struct caller_job {
    struct handle self;
    uint64_t request;
    struct msg offer;
    struct name runner;
    uint32_t reoffers;
    int64_t accepted_us;
    int64_t confirmed_us;
    int64_t deadline_us;
    bool known_started;
};

enum run_state {
    RUN_BLOCKED,    /* groups before it have not ended */
    RUN_READY,      /* waits for room */
    RUN_STARTING,   /* the start is not answered */
    RUN_RUNNING,    /* acknowledged, or seen there */
    RUN_UNRESOLVED, /* the start was lost; it may run, or still start */
    RUN_STOPPING,   /* asked to stop */
    RUN_ENDED,      /* well, or not needed any more */
};

/**
 * struct run_task - a task of a job that runs here
 * @run: of its last start
 * @failures: runs that failed
 * @upstream: where it is, from RUN_STARTING to RUN_STOPPING
 * @start_sent_us: when the start was sent
 * @expected_us: how long it should run there
 * @percent: of its work, as last seen
 * @progress_us: since when it has not risen
 * @stop_confirmed_us: a look sent after this time tells whether it is there;
 * INT64_MAX while a stop is not confirmed
 * @stop_sent_us: when a stop was sent last
 * @avoid_upstream: the upstream where it failed last
 * @lost_start_upstream: the upstream that did not answer a start of it
 * @lost_start_fence: of that start
 * @lost_start_until_us: it may still be carried out until then
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
    struct handle lost_start_upstream;
    uint64_t lost_start_fence;
    int64_t lost_start_until_us;
};

/**
 * struct run_job - a job that is run here
 * @taker: the broker that has its caller
 * @number: of the job at @taker
 * @id: the caller's
 * @objective_us: an answer after it is late
 * @deadline_us: nobody waits for one after that
 * @latest_start_us: started by then, it can be in time
 * @queue_key_us: orders the queue, see broker_order.c
 * @work: expected processor time left to start, in milli-core microseconds
 * @late: can't be in time any more; served from what the others leave
 * @n_done: tasks that ended well
 * @total_run_us: how long they ran together, near their data
 * @n_unfinished: tasks that have not ended well
 * @n_ready: tasks that wait for room
 * @n_placed: tasks that are, or may be, at an upstream
 * @closed: its taker knows the outcome; what is left only has to be settled
 * @closed_us: since when
 * @accepted_us: when its taker offered it
 * @renewed_us: when its taker was last known to wait for it; of a job that is
 *              told: when that ended
 * @started: a start was sent
 * @blocked_by_earlier: earlier lives of the job must be settled first
 * @queued: in the service's queue
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
    uint32_t n_done;
    int64_t total_run_us;
    uint32_t n_unfinished;
    uint32_t n_ready;
    uint32_t n_placed;
    bool closed;
    int64_t closed_us;
    int64_t accepted_us;
    int64_t renewed_us;
    bool started;
    bool queued;
    bool blocked_by_earlier;
    TAILQ_ENTRY(run_job) link;
};

TAILQ_HEAD(run_queue, run_job);

/**
 * struct queue_stats - what is learned of a queue
 * @run_estimate: its run times
 * @demand: work handed in lately, in milli-cores that it would keep busy
 * @credit: of its share, work that may be let in, in milli-core microseconds
 */
struct queue_stats {
    struct name queue;
    uint32_t priority;
    struct run_estimate run_estimate;
    double demand;
    double credit;
};

/** struct broker_service - a service whose upstreams are known here */
struct broker_service {
    struct name name;
    struct run_queue queue;
    uint32_t n_queued;      /* jobs */
    double late_throughput; /* work of late jobs started lately, milli-cores */
    int64_t shares_updated_us; /* when offers and credits were brought up to
                                  date */
    struct queue_stats *stats;
    size_t n_stats;
    bool placement_due;        /* room or work has come: look again */
    int64_t next_placement_us; /* or then */
    struct broker_service *next;
};

enum hold_state {
    HOLD_NONE,   /* another broker's, or nobody's */
    HOLD_TAKING, /* what runs there is looked at and stopped */
    HOLD_OPEN,
    HOLD_UNRESPONSIVE, /* held, but it does not answer */
    HOLD_LOST,         /* another's; our runs there may not have ended */
};

/** struct placed_task - a task that is, or may be, at an upstream */
struct placed_task {
    struct handle job;
    uint32_t task;
};

/**
 * struct broker_upstream - an upstream
 * @name: first: looked up by it
 * @hash: a number drawn from its name, which orders upstreams alike at all
 *          brokers
 * @born_ms: its life
 * @sequence: of its last announcement
 * @last_reported_us: when a registry last told of it
 * @holder: the broker that said that it holds it; empty for nobody
 * @fence: with which it is held, or the highest known
 * @last_end: ends up to this number were taken
 * @ack_pending: the upstream has not been told so yet
 * @clock_ms: its clock when it last answered, at @clock_us here
 * @granted_until_us: what it was sent of a lease ends by then, on our clock
 * @leases_end_us: whatever runs there on our leases is over by then
 * @poll: number of the look that is under way; 0 for none
 * @poll_us: when the next one is due; INT64_MAX for none
 * @quick_poll: number of a look beside it that does not wait; 0 for none
 * @quick_poll_due: one is wanted
 * @missed_polls: looks in a row without answer
 * @lost_start_until_us: a start that was not answered may be carried out until
 * then
 * @fenced_view: the view of the brokers when it was lost to a higher fence
 * @used: by the placed tasks
 * @full_until_us: not before that, after it had no room
 * @unknown_runs: it runs what nobody here started, as last seen
 * @failures: runs in a row that failed
 * @quarantine_until_us: in quarantine until then; 0 for not
 * @backoff_us: of the quarantine, doubles
 * @slowness: run times over the expected ones, moving mean
 */
struct broker_upstream {
    struct name name;
    struct handle self;
    uint64_t hash;
    uint64_t born_ms;
    uint64_t sequence;
    int64_t last_reported_us;
    struct broker_service *service;
    struct name zone;
    struct address address;
    uint32_t slots;
    bool leaving;
    bool gone;
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
    uint32_t missed_polls;
    int64_t lost_start_until_us;
    uint32_t fence_retries;
    uint64_t fenced_view;

    struct placed_task *tasks;
    size_t n_tasks;
    size_t tasks_capacity;
    struct resources used;
    int64_t full_until_us;
    bool unknown_runs;

    uint32_t failures;
    int64_t quarantine_until_us;
    int64_t backoff_us;
    double slowness;
};

/** struct broker_call - a call to an upstream that is under way */
struct broker_call {
    struct handle self;
    enum lease_call kind;
    struct handle upstream;
    uint64_t born_ms;
    uint64_t fence;
    struct handle job; /* none where a stranger is stopped */
    uint32_t task;
    uint64_t run;
    int64_t sent_us;
};

struct broker {
    struct broker_options opts;
    int64_t job_lease_us; /* see renew_init() */
    struct moment now;
    struct broker_effects *fx;
    uint64_t rng;
    int64_t started_us;
    int64_t last_step_us;     /* of the last step */
    int64_t callers_known_us; /* callers that left before this are known */

    struct queueconf *queues;
    struct blob *config_text;
    uint64_t config_version;
    struct config_fetch fetch;

    struct map peers_by_name;
    struct broker_peer *peers;
    struct broker_peer *self;
    uint64_t view; /* rises with each change of who may hold upstreams */
    struct holder_ref *holders; /* as peers_update_holders() found */
    size_t n_holders;
    size_t holders_capacity;
    int64_t next_load_us;
    int64_t first_roster_us; /* when a registry first told who is there; 0: not
                                yet */
    bool load_reported;      /* what the others were told last was not empty */
    bool
        holds_reported; /* the registries know that this one holds upstreams */

    struct table caller_jobs;
    size_t n_unoffered;   /* of them: without a runner */
    bool runners_updated; /* somebody told of room since these were offered */
    struct timers caller_timers;

    struct table run_jobs;
    struct broker_service *services;

    struct table upstreams;
    struct map upstreams_by_name;
    struct table calls;
    bool discovery_over; /* opts.settle_us have passed, as of the last step */
    bool review_due;     /* who holds what has to be decided again */
    int64_t next_review_us; /* not before that */
    struct rec_held_upstream
        *hold_updates; /* to be told at the end of the step */
    size_t n_hold_updates;
    size_t hold_updates_capacity;
    struct msg
        *local_msgs; /* to this process itself, taken before the step ends */
    size_t n_local_msgs;
    size_t local_msgs_capacity;

    bool stopping;
    bool draining; /* though it stops, see broker_shutdown.c */
    bool stopped_reported;
    int64_t stop_begun_us;
    int64_t ack_mean_us; /* mean time of an upstream's answer, as TCP reckons
                          * its retransmission time */
    int64_t ack_dev_us;  /* mean deviation from it */
    struct broker_counters counters;
    struct broker_histograms histograms;
};

/* broker.c */

/** broker_random() - next number of the seeded generator, below @n */
uint64_t broker_random(struct broker *b, uint64_t n);

/** broker_send() - a message to a process; takes over @m.  What it sends to
 * itself it takes at the end of the step. */
void broker_send(struct broker *b, struct name to, struct msg *m);

/** broker_log() - a decision; @job 0 and @task -1 where it is about none */
void broker_log(struct broker *b, int severity, enum broker_reason reason,
                uint64_t job, int32_t task, struct name subject,
                const char *format, ...) __attribute__((format(printf, 7, 8)));

/* broker_peer.c */

/** peers_init() - this process and the registries of the options */
void peers_init(struct broker *b);
void peers_free(struct broker *b);

/** peers_find() - the process of that name, or NULL */
struct broker_peer *peers_find(const struct broker *b, struct name name);
void peers_on_connection(struct broker *b, struct name name, bool up);
void peers_on_introduction(struct broker *b, struct name from,
                           const struct rec_introduction *i);
void peers_on_roster(struct broker *b, const struct rec_roster *r);
void peers_on_load(struct broker *b, struct name from,
                   const struct rec_broker_load *l);

/** peers_announce_stop() - says at once that this broker is stopping */
void peers_announce_stop(struct broker *b);
void peers_tick(struct broker *b);
int64_t peers_next_us(const struct broker *b);

/* broker_config.c */

void config_tick(struct broker *b);
int64_t config_next_us(const struct broker *b);
void config_on_reply(struct broker *b, struct name from,
                     const struct rec_config_reply *r);

/** config_registry_lost() - the connection to a registry is gone */
void config_registry_lost(struct broker *b, struct broker_peer *p);

/* broker_peer.c, again */

/** peers_update_holders() - works out anew which brokers hold upstreams */
void peers_update_holders(struct broker *b);

/** peers_have_successor() - whether another broker of this zone may hold
 * upstreams
 */
bool peers_have_successor(const struct broker *b);

/** peers_can_run_jobs() - whether jobs may be offered to that process */
bool peers_can_run_jobs(const struct broker_peer *p);

/** peers_zone_connected() - whether a registry told who is there, and all
 * brokers of this zone that any told of are connected */
bool peers_zone_connected(const struct broker *b);

/** peers_send_to_zone() - copies to the other brokers of this zone; frees @m
 */
void peers_send_to_zone(struct broker *b, struct msg *m);

/* broker_caller.c */
void caller_on_submit(struct broker *b, const struct bev_submit *s);
void caller_on_cancel(struct broker *b, const struct bev_cancel *c);
void caller_on_disconnect(struct broker *b, uint64_t request);
void caller_on_job_end(struct broker *b, struct name from,
                       const struct rec_job_end *e);

/** caller_on_runner_lost() - what was offered to that broker is unknown */
void caller_on_runner_lost(struct broker *b, struct name runner);
void caller_tick(struct broker *b);
int64_t caller_next_us(const struct broker *b);

/* broker_run.c */
void run_on_offer(struct broker *b, struct name from,
                  const struct rec_job_offer *o);
void run_on_drop(struct broker *b, struct name from, uint64_t number);

/** run_on_taker_lost() - nobody waits for that broker's jobs any more */
void run_on_taker_lost(struct broker *b, struct name taker);

/** run_find_task() - the task a placed one refers to, or NULL */
struct run_task *run_find_task(struct broker *b, const struct placed_task *p,
                               struct run_job **job);

/** run_mark_started() - a start is sent */
void run_mark_started(struct broker *b, struct run_job *job,
                      struct run_task *t, struct broker_upstream *u);

/** run_mark_ready() - a placed task is surely not at its upstream any more and
 * may be started again */
void run_mark_ready(struct broker *b, struct run_job *job, struct run_task *t);

/** run_mark_done() - a run ended well */
void run_mark_done(struct broker *b, struct run_job *job, struct run_task *t);

/** run_mark_failed() - a run failed, by its own fault or its upstream's */
void run_mark_failed(struct broker *b, struct run_job *job,
                     struct run_task *t);

/** run_tick() - places what waits, gives up what is hopeless */
void run_tick(struct broker *b);
int64_t run_next_us(const struct broker *b);

/** run_abandon_job() - its taker may still wait, and is told */
void run_abandon_job(struct broker *b, struct run_job *job,
                     enum broker_reason reason);

/** run_on_pause() - what ran here is over, and its outcome not known */
void run_on_pause(struct broker *b);

/** run_return_unstarted() - a stop began: what has not started goes elsewhere
 */
void run_return_unstarted(struct broker *b);

/** run_get_service() - of that name; made where there is none */
struct broker_service *run_get_service(struct broker *b, struct name name);

/** run_task_number() - number of a task in its job, for logs */
int32_t run_task_number(const struct run_job *job, const struct run_task *t);

/* broker_renew.c */

/** renew_init() - how long a job may run without a word of its taker, and
 * upstreams' leases within that */
void renew_init(struct broker *b);

/** renew_on_request() - a broker that may run jobs of callers here asks which
 * of them are still waited for; it reads its own clock as @sent_us.  A @check
 * is always answered, loads where it is time. */
void renew_on_request(struct broker *b, struct name from, uint64_t sent_us,
                      bool check);

/** renew_confirmable_us() - the newest time of that broker's clock as of which
 * all callers here that have left are known */
uint64_t renew_confirmable_us(const struct broker *b,
                              const struct broker_peer *p);

/** renew_reset_peer() - the connection to that broker is gone */
void renew_reset_peer(struct broker_peer *p);

/** renew_next_us() - now where somebody waits for a renewal, else INT64_MAX */
int64_t renew_next_us(const struct broker *b);

/** renew_on_renewal() - a taker's answer */
void renew_on_renewal(struct broker *b, struct name from,
                      const struct rec_job_renewal *r);

/** renew_echoed_us() - the time that a taker returned, on this clock */
int64_t renew_echoed_us(const struct broker *b, uint64_t heard_us);

/** renew_confirmed_us() - until when the job was known to be waited for */
int64_t renew_confirmed_us(const struct broker *b, const struct run_job *job);

/** renew_end_interest() - nobody waits for the job from now on */
void renew_end_interest(const struct broker *b, struct run_job *job);

/** renew_upstream_limit_us() - when all that runs there has to be over, by the
 * jobs that have tasks there */
int64_t renew_upstream_limit_us(struct broker *b,
                                const struct broker_upstream *u);

/** renew_allows_start() - whether a task of the job may start there: the lease
 * that the upstream has already ends in time for it */
bool renew_allows_start(struct broker *b, const struct run_job *job,
                        const struct broker_upstream *u);

/** renew_job_can_start() - whether any task of the job may start.  Its taker
 * is asked where it was not heard lately, so that one may on any upstream. */
bool renew_job_can_start(struct broker *b, const struct run_job *job);

/** renew_tick() - answers brokers that asked, asks takers that were not heard
 * lately, and gives up jobs that nobody has confirmed for a lease */
void renew_tick(struct broker *b);

/* broker_order.c */

/** order_set_times() - sets objective, latest start and place of a new job */
void order_set_times(struct broker *b, struct run_job *job,
                     const struct rec_job_offer *o);

/** order_admit() - BROKER_NONE, or why the job is refused; *@retry_us is when
 * it would have a chance */
enum broker_reason order_admit(struct broker *b, struct run_job *job,
                               int64_t *retry_us);

/** order_insert() - into the service's queue */
void order_insert(struct run_job *job);
void order_remove(struct run_job *job);

/** order_starts_too_late() - a waiting job that will not start while its
 * answer is of use; *@retry_us is when it would have a chance */
bool order_starts_too_late(struct broker *b, const struct run_job *job,
                           int64_t *retry_us);

/** order_on_late_start() - a late job's first start is sent */
void order_on_late_start(struct broker *b, struct run_job *job);

/** order_demote_if_late() - moves a waiting job that can't be in time any more
 * behind those that can */
void order_demote_if_late(struct broker *b, struct run_job *job);

/** order_late_can_start() - whether a late job may take room now */
bool order_late_can_start(struct broker *b, const struct run_job *job);

/** order_service_load() - room, and what waits for it */
struct rec_service_load order_service_load(struct broker *b,
                                           const struct broker_service *s);

/** order_expected_us() - run time of a task of that group, on an upstream of
 * usual speed where its data is */
int64_t order_expected_us(const struct run_job *job,
                          const struct rec_task_group *g);

/** order_record_run() - a task ran for so long on an upstream of usual speed
 */
void order_record_run(struct run_job *job, const struct rec_task_group *g,
                      int64_t ran_us);

/* broker_share.c: @able are milli-cores that all queues share */

/** share_update() - brings what is measured up to date */
void share_update(struct broker *b, struct broker_service *s, double able);

/** share_add_late_start() - a late job with that much work was started */
void share_add_late_start(struct broker_service *s, double work);

/** share_add_demand() - a job with that much work came, whatever becomes of it
 */
void share_add_demand(struct broker *b, struct broker_service *s,
                      struct queue_stats *q, double work, double able);

/** share_total_demand() - milli-cores that what comes in would keep busy */
double share_total_demand(const struct broker_service *s);

/** share_wait_factor() - how much of its spare time a job of the queue may
 * wait: all of it while the queue has something left of its share, or all that
 * comes in fits; 0 to 1 */
double share_wait_factor(const struct broker_service *s,
                         const struct queue_stats *q, double able);

/** share_spend_credit() - a job of the queue is let in */
void share_spend_credit(struct queue_stats *q, double work);

/* broker_place.c */

/** place_choose() - the best upstream for a task now, or NULL */
struct broker_upstream *place_choose(struct broker *b,
                                     const struct run_job *job,
                                     const struct run_task *t);

/** place_awaits_lost_start() - a start of the task that was not answered may
 * still be carried out: it is placed at that upstream, or waits for it */
bool place_awaits_lost_start(struct broker *b, const struct run_task *t);

/** place_fits_any() - whether any known upstream could ever run such a task */
bool place_fits_any(struct broker *b, const struct broker_service *s,
                    const struct rec_task_group *g);

/** place_remote_factor() - how much longer such a task takes there for its
 * data */
double place_remote_factor(const struct rec_task_group *g,
                           const struct broker_upstream *u);

/** place_expected_us() - run time of such a task there */
int64_t place_expected_us(const struct run_job *job,
                          const struct rec_task_group *g,
                          const struct broker_upstream *u);

/* broker_hold.c */
void hold_on_upstream_report(struct broker *b,
                             const struct rec_upstream_report *r);
/** hold_notify_zone() - tells the zone what was taken and let go in this step
 */
void hold_notify_zone(struct broker *b);
void hold_on_peer_holds(struct broker *b, struct name from,
                        const struct rec_upstream_holds *h);

/** hold_reassign() - takes and gives away upstreams as the view says */
void hold_reassign(struct broker *b);

/** hold_broker_lost() - a broker holds nothing any more */
void hold_broker_lost(struct broker *b, struct name name);

/** hold_send_held() - tells a broker of the zone what is held here */
void hold_send_held(struct broker *b, struct name to);

/** hold_on_pause() - this process stood still: nothing is held any more */
void hold_on_pause(struct broker *b);
bool hold_has_any(const struct broker *b);
void hold_tick(struct broker *b);
int64_t hold_next_us(const struct broker *b);

/** hold_on_fenced() - another broker has a higher fence */
void hold_on_fenced(struct broker *b, struct broker_upstream *u);

/** hold_on_restart() - the upstream has another life */
void hold_on_restart(struct broker *b, struct broker_upstream *u,
                     uint64_t born_ms);

/** hold_on_poll_answer() - a look was answered: it is there, and nothing that
 * we did not start runs there where @strangers is false */
void hold_on_poll_answer(struct broker *b, struct broker_upstream *u,
                         bool strangers);

/** hold_on_poll_failure() - a look was not answered */
void hold_on_poll_failure(struct broker *b, struct broker_upstream *u);

/* broker_lease.c */
/* For what the lease's time does not cover: delays on the way, coarse clocks.
 */
#define EXPIRY_SLACK_US (50 * USEC_PER_MSEC)

void lease_start(struct broker *b, struct broker_upstream *u,
                 struct run_job *job, struct run_task *t);
void lease_stop(struct broker *b, struct broker_upstream *u,
                struct run_job *job, struct run_task *t);
void lease_poll(struct broker *b, struct broker_upstream *u);

/** lease_task_ref() - how a run is named to an upstream */
struct task_ref lease_task_ref(const struct run_job *job,
                               const struct run_task *t);

/** lease_send_stop() - of a run that may not be ours; @job and @number are
 * the task that waits for it, or nothing */
void lease_send_stop(struct broker *b, struct broker_upstream *u,
                     struct task_ref task, struct handle job, uint32_t number);

/** lease_quick_poll() - looks without waiting, though another look waits */
void lease_quick_poll(struct broker *b, struct broker_upstream *u);

/** lease_remove_task() - a task is no longer at its upstream */
void lease_remove_task(struct broker *b, struct broker_upstream *u,
                       const struct run_job *job, const struct run_task *t);

/* broker_answer.c */
void answer_on_call_end(struct broker *b, const struct bev_called *c);

/* broker_shutdown.c */

/** shutdown_begin() - a planned stop has begun */
void shutdown_begin(struct broker *b);

/** shutdown_tick() - ends it when its time has come */
void shutdown_tick(struct broker *b);

/** shutdown_next_us() - when shutdown_tick() is due; INT64_MAX for never */
int64_t shutdown_next_us(const struct broker *b);

/** shutdown_accepts_job() - whether a job is sure to end before the stop does
 */
bool shutdown_accepts_job(const struct broker *b, const struct run_job *job);

/* broker_health.c */
/** broker_health_task_done() - a task ended well; @sample is how slow the
 * upstream was with it, and counts by @weight, 0 to 1 */
void broker_health_task_done(struct broker *b, struct broker_upstream *u,
                             double sample, double weight);
void broker_health_task_failed(struct broker *b, struct broker_upstream *u);

/** broker_health_allows() - whether the upstream may be given a task now */
bool broker_health_allows(const struct broker *b,
                          const struct broker_upstream *u);

#endif
