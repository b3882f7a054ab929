/**
 * DOC: urgent_reserve - capacity reserved for urgent wide jobs in overload
 *
 * Reserved is the right to be admitted: no upstream is kept free.
 *
 * The load: the queue of priority 0 has jobs of 8 tasks of 60 ms and an
 * objective of about 150 ms, beside tasks of up to a second, and demand
 * exceeds the capacity.  Its part of the capacity is its whole demand then,
 * as it is urgent, but its jobs are few and differ in size.  Credit that
 * grows by no more than the mean demand is used up half of the time, and a
 * job without credit may hardly wait, though there is capacity for it.  So
 * the most urgent queue does not need credit, as long as its part covers its
 * whole demand.
 */
#ifndef BM_URGENT_RESERVE_H
#define BM_URGENT_RESERVE_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

/**
 * struct urgent_queue - a queue of a service
 * @priority: 0 is the most urgent
 * @demand: work offered lately: moving average, in milli-cores
 * @granted: its part of the capacity, in milli-cores
 * @job_milli: milli-cores that a usual job needs at once
 */
struct urgent_queue {
    uint32_t priority;
    double demand;
    double granted;
    double job_milli;
};

/** urgent_reserve_milli() - capacity reserved for queue @which of a service,
 * in milli-cores: its whole demand, or 0 where nothing is reserved for it;
 * @capacity: usable milli-cores of the service here */
double urgent_reserve_milli(const struct urgent_queue *queues, size_t n,
                            size_t which, double capacity);

/** urgent_usual_milli() - moving mean of what a job needs; @mean_milli is 0
 * before the first */
double urgent_usual_milli(double mean_milli, double job_milli);

#endif
