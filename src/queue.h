/**
 * DOC: queue - the jobs of a service that have tasks to start, in order
 *
 * A binary heap of jobs, so that a job of 250 tasks costs one place.  A job's
 * rank is a time: its submission plus a handicap that grows with the work it
 * has left.  Since all jobs age alike the rank stays as it is while the job
 * waits, and no order has to be worked out again as time passes.
 */
#ifndef BM_QUEUE_H
#define BM_QUEUE_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#include "service.h"
#include "table.h"

struct service_state;

/**
 * struct queued - a job in the queue or with tasks that may come back to it
 * @job: its handle
 * @service: whose queue it belongs to
 * @submitted_us: monotonic
 * @time_limit_us: from submission to deadline
 * @rank_us: smaller goes first
 * @sequence: decides between equal ranks, in order of arrival
 * @heap_pos: place in the heap plus one; 0 while it is not in
 * @declared_us: of the queued tasks, together
 * @work_class: of its work when it came, see admit.c
 * @rack_bits: bits of the racks its tasks were started on, see place.h
 * @n_tasks: queued tasks
 * @tasks: their numbers; the last goes first
 */
struct queued {
    struct handle job;
    struct service_state *service;
    int64_t submitted_us;
    int64_t time_limit_us;
    int64_t rank_us;
    uint64_t sequence;
    size_t heap_pos;
    int64_t declared_us;
    uint8_t work_class;
    uint64_t rack_bits;
    uint32_t n_tasks;
    uint8_t tasks[];
};

struct queue {
    struct queued **heap;
    size_t n;
    size_t capacity;
    uint64_t last_sequence;
};

/** queue_rank_us() - @work_us is the job's queued work spread over all slots
 * that the service may use */
int64_t queue_rank_us(enum queue_order order, const struct queued *q,
                      int64_t work_us);

/** queue_put() - adds, or moves to where its rank belongs */
void queue_put(struct queue *qu, struct queued *q);

/** queue_remove() - does nothing when it is not in */
void queue_remove(struct queue *qu, struct queued *q);

/** queue_first() - the job to serve next, or NULL */
struct queued *queue_first(const struct queue *qu);

/** queue_clear() - frees the heap, not the jobs */
void queue_clear(struct queue *qu);

#endif
