/**
 * DOC: queue - priority queue of a service's jobs that have tasks to start
 *
 * A binary heap of jobs, not of tasks, so that a job of 250 tasks takes one
 * entry.  The rank of a job is a time: its submission plus a handicap that
 * grows with the job's remaining work.  Waiting jobs all age at the same rate,
 * so ranks do not change as time passes and the heap need not be rebuilt.
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
 * struct queue_entry - queue entry of a job that has tasks queued or in flight
 * @job: handle of the job
 * @service: service whose queue the entry belongs to
 * @submitted_us: monotonic time of the submission
 * @time_limit_us: time from submission to deadline
 * @rank_us: lower ranks are served first
 * @sequence: order of arrival, for equal ranks; 0 until first queued
 * @heap_pos: index in the heap plus one; 0 while not in the heap
 * @declared_us: sum of the declared run times of the queued tasks
 * @work_class: work class of the job at submission, see admit_work_class()
 * @rack_bits: bits of the racks on which tasks were started, see struct place
 * @n_tasks: number of queued tasks
 * @tasks: indices of the queued tasks; started from the end
 */
struct queue_entry {
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
    struct queue_entry **heap;
    size_t n;
    size_t capacity;
    uint64_t last_sequence;
};

/** queue_rank_us() - rank of a job; @work_us is the job's queued work divided
 * by the number of slots that the service may use */
int64_t queue_rank_us(enum queue_order order, const struct queue_entry *q,
                      int64_t work_us);

/** queue_put() - adds an entry, or moves it after a change of its rank */
void queue_put(struct queue *qu, struct queue_entry *q);

/** queue_remove() - removes an entry; does nothing if it is not in the heap */
void queue_remove(struct queue *qu, struct queue_entry *q);

/** queue_first() - the entry to serve next, or NULL */
struct queue_entry *queue_first(const struct queue *qu);

/** queue_clear() - frees the heap, but not the entries */
void queue_clear(struct queue *qu);

#endif
