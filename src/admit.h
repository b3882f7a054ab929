/**
 * DOC: admit - which jobs may enter the queue
 *
 * A job is refused early rather than failed late: where it can never fit,
 * where the queue is full, and where what is queued before it leaves too
 * little time.  Under load that keeps the upstreams busy with jobs that will
 * be answered in time.
 */
#ifndef BM_ADMIT_H
#define BM_ADMIT_H

#include "dispatch.h"
#include "dispatch_state.h"

/** admit_work_class() - class of a job with that much expected work */
uint8_t admit_work_class(int64_t work_us);

/** admit_capacity() - slots that the queue of a service may count on here:
 * those held or borrowed, at least an even part of the zone's, and the free
 * ones of others; at least one */
uint32_t admit_capacity(struct entry *e, struct service_state *s);

/** admit_fill_largest() - fills in the largest sizes of the zone's upstreams,
 * so that instances of other zones can tell what fits nowhere */
void admit_fill_largest(const struct entry *e, const struct service_state *s,
                        struct rec_load *load);

/** admit_job() - see dispatch_admit() */
struct admission admit_job(struct entry *e, const struct job *job);

#endif
