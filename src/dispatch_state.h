/**
 * DOC: dispatch_state - state shared by the modules around dispatch.c
 *
 * Internal to the reducer.  dispatch.c queues and places tasks, start.c tracks
 * starts in flight, slot.c lends and borrows slots, quota.c enforces the
 * limits of teams and services, admit.c decides whether to admit new jobs.
 */
#ifndef BM_DISPATCH_STATE_H
#define BM_DISPATCH_STATE_H

#include "entry_state.h"
#include "estimate.h"
#include "map.h"
#include "place.h"
#include "queue.h"
#include "service.h"

struct job;
struct starts;
struct quotas;
struct lending;
struct quota;
struct borrowing;

enum {
    WORK_CLASSES = 48, /* of queued jobs, by log2 of their work */
    UNCONFIGURED_SERVICES_MAX = 1024, /* with upstreams but no configuration */
};

/** struct class_work - number of queued tasks of a work class, and the sum of
 * their declared run times */
struct class_work {
    uint32_t n_tasks;
    int64_t declared_us;
};

/**
 * struct service_state - one service at this instance
 * @name: map key; must be the first field
 * @conf: current configuration of the service; NULL if it has none
 * @order: order of the queue
 * @quota: quota of the service; NULL if unlimited
 * @team_quota: quota of the service's team; NULL if unlimited
 * @queue: jobs with queued tasks
 * @run_estimate: estimates of run times
 * @pool: places where tasks may be started
 * @borrowing: state of borrow.c
 * @n_upstreams: number of upstreams of the service
 * @n_jobs: number of jobs that have a struct queue_entry
 * @n_queued: number of queued tasks
 * @queued_by_class: queued tasks by work class of their job
 * @n_running: number of tasks started by this instance and in flight
 * @capacity: cached estimate of usable slots, see admit_capacity()
 * @capacity_at_us: monotonic time of that estimate; 0 in @capacity voids it
 * @dirty: changed since the queue was last served
 */
struct service_state {
    struct name name;
    const struct service_conf *conf;
    enum queue_order order;
    struct quota *quota;
    struct quota *team_quota;
    struct queue queue;
    struct run_estimate run_estimate;
    struct pool pool;
    struct borrowing *borrowing;
    uint32_t n_upstreams;
    uint32_t n_jobs;
    uint32_t n_queued;
    struct class_work queued_by_class[WORK_CLASSES];
    uint32_t n_running;
    uint32_t capacity;
    int64_t capacity_at_us;
    bool dirty;
};

struct dispatch {
    struct map by_name;
    struct service_state **services;
    size_t n_services;
    size_t capacity;
    size_t sweep_threshold; /* number of services that triggers a sweep */
    struct starts *starts;
    struct quotas *quotas;
    struct lending *lending;
    uint32_t n_queued;
    bool dirty;              /* some service is dirty */
    int64_t next_recheck_us; /* next time a blocked place is rechecked */
    double retry_tokens;     /* retry budget */
};

/** dispatch_ensure_service() - the state of a service; created if missing */
struct service_state *dispatch_ensure_service(struct entry *e,
                                              struct name name);

/** dispatch_find_service() - the state of a service, or NULL */
struct service_state *dispatch_find_service(const struct entry *e,
                                            struct name name);

/** dispatch_mark_dirty() - serves the queue of @s at the end of this step */
void dispatch_mark_dirty(struct entry *e, struct service_state *s);

/** dispatch_run_at() - rechecks blocked places and open slot requests at the
 * monotonic time @us, or earlier */
void dispatch_run_at(struct entry *e, int64_t us);

/** dispatch_task_done() - a task ended: removes the queue entry of @job when
 * no task of the job is queued or in flight */
void dispatch_task_done(struct entry *e, struct job *job);

/** dispatch_requeue() - queues a task again that is proved not to have started
 *
 * With @charged the retry consumes retry budget; the job fails if none is left
 * or the task had too many attempts. */
void dispatch_requeue(struct entry *e, struct job *job, uint32_t index,
                      bool charged);

#endif
