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
#include "learn.h"
#include "map.h"
#include "place.h"
#include "queue.h"
#include "service.h"

struct job;
struct starts;
struct quotas;
struct lends;
struct quota;
struct borrowing;

enum {
    WORK_CLASSES = 48, /* of queued jobs, by powers of two of their work */
    UNKNOWN_SERVICES_MAX = 1024, /* announced without a configuration */
};

/** struct class_work - queued tasks and what they were declared to take */
struct class_work {
    uint32_t n;
    int64_t declared_us;
};

/**
 * struct service_state - one service at this instance
 * @name: first, looked up by it
 * @conf: from the configuration in force; NULL where it has none
 * @order: of its queue
 * @quota: of the service itself; NULL without a limit
 * @team: quota of its team; NULL without a limit
 * @queue: jobs with queued tasks
 * @run_estimate: run times
 * @pool: where tasks may be started
 * @borrowing: of borrow.c
 * @upstreams: whose record points here
 * @jobs: with an entry in the queue's books
 * @queued: tasks
 * @classes: what is queued, by class of the job's work
 * @running: tasks in flight from here
 * @capacity: slots that its queue may count on, see admit.c
 * @capacity_us: when that was worked out
 * @dirty: something changed since its queue was last served
 */
struct service_state {
    struct name name;
    const struct service_conf *conf;
    enum queue_order order;
    struct quota *quota;
    struct quota *team;
    struct queue queue;
    struct run_estimate run_estimate;
    struct pool pool;
    struct borrowing *borrowing;
    uint32_t upstreams;
    uint32_t jobs;
    uint32_t queued;
    struct class_work classes[WORK_CLASSES];
    uint32_t running;
    uint32_t capacity;
    int64_t capacity_us;
    bool dirty;
};

struct dispatch {
    struct map by_name;
    struct service_state **services;
    size_t n_services;
    size_t room;
    size_t sweep_at; /* services, at which unused ones are dropped */
    struct starts *starts;
    struct quotas *quotas;
    struct lends *lends;
    uint32_t queued;
    bool dirty;          /* some service is */
    int64_t unblock_us;  /* a place may be used again */
    double retry_tokens; /* re-placements that may still be made */
};

/** dispatch_service() - the state of a service, made when first met */
struct service_state *dispatch_service(struct entry *e, struct name name);

/** dispatch_find() - the same, or NULL */
struct service_state *dispatch_find(const struct entry *e, struct name name);

/** dispatch_wake() - the service is served at the end of this step */
void dispatch_wake(struct entry *e, struct service_state *s);

/** dispatch_wake_at() - and once more at that time */
void dispatch_wake_at(struct entry *e, int64_t us);

/** dispatch_task_done() - a task's result is known: the job leaves the queue's
 * books with its last */
void dispatch_task_done(struct entry *e, struct job *job);

/** dispatch_requeue() - a task that was proved not to have started goes back
 * to the queue; where it is @charged and the retry budget is spent, its job
 * fails */
void dispatch_requeue(struct entry *e, struct job *job, uint32_t index,
                      bool charged);

#endif
