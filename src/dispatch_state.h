/**
 * DOC: dispatch_state - what the modules around dispatch.c share
 *
 * Internal to the reducer.  dispatch.c queues and places tasks; start.c keeps
 * what is in flight, slot.c lends and borrows slots, quota.c holds back what a
 * team may not start, admit.c judges new jobs.
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
    WORK_CLASSES = 48, /* of queued jobs, by powers of two of their work */
    UNCONFIGURED_SERVICES_MAX = 1024, /* announced without a configuration */
};

/** struct class_work - queued tasks and what they were declared to take */
struct class_work {
    uint32_t n_tasks;
    int64_t declared_us;
};

/**
 * struct service_state - one service at this instance
 * @name: first, looked up by it
 * @conf: from the configuration in force; NULL where it has none
 * @order: of its queue
 * @quota: of the service itself; NULL without a limit
 * @team_quota: quota of its team; NULL without a limit
 * @queue: jobs with queued tasks
 * @run_estimate: run times
 * @pool: where tasks may be started
 * @borrowing: of borrow.c
 * @n_upstreams: whose record points here
 * @n_jobs: with an entry in the queue's books
 * @n_queued: tasks
 * @queued_by_class: what is queued, by class of the job's work
 * @n_running: tasks in flight from here
 * @capacity: slots that its queue may count on, see admit.c
 * @capacity_at_us: when that was worked out
 * @dirty: something changed since its queue was last served
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
    size_t sweep_threshold; /* services, at which unused ones are dropped */
    struct starts *starts;
    struct quotas *quotas;
    struct lending *lending;
    uint32_t n_queued;
    bool dirty;              /* some service is */
    int64_t next_recheck_us; /* a place may be used again */
    double retry_tokens;     /* re-placements that may still be made */
};

/** dispatch_ensure_service() - the state of a service, made when first met */
struct service_state *dispatch_ensure_service(struct entry *e,
                                              struct name name);

/** dispatch_find_service() - the same, or NULL */
struct service_state *dispatch_find_service(const struct entry *e,
                                            struct name name);

/** dispatch_mark_dirty() - the service is served at the end of this step */
void dispatch_mark_dirty(struct entry *e, struct service_state *s);

/** dispatch_run_at() - and once more at that time */
void dispatch_run_at(struct entry *e, int64_t us);

/** dispatch_task_done() - a task's result is known: the job leaves the queue's
 * books with its last */
void dispatch_task_done(struct entry *e, struct job *job);

/** dispatch_requeue() - a task that was proved not to have started goes back
 * to the queue; where it is @charged and the retry budget is spent, its job
 * fails */
void dispatch_requeue(struct entry *e, struct job *job, uint32_t index,
                      bool charged);

#endif
