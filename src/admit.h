/**
 * DOC: admit - admission control: which jobs may enter the queue
 *
 * A job is refused at submission instead of failing at its deadline: if no
 * upstream can ever run it, if the queue is full, or if the work queued ahead
 * of it leaves too little time.  Under overload the upstreams then work only
 * on jobs that can be answered in time.
 */
#ifndef BM_ADMIT_H
#define BM_ADMIT_H

#include "dispatch.h"
#include "dispatch_state.h"

/** admit_work_class() - work class of a job with @work_us of expected work */
uint8_t admit_work_class(int64_t work_us);

/** admit_capacity() - number of slots that the queue of @s can expect to use
 *
 * The slots held or borrowed by this instance, or its even share of the zone's
 * slots if that is more, plus free slots of other instances; limited by the
 * quota, and at least 1.  Cached for CAPACITY_US. */
uint32_t admit_capacity(struct entry *e, struct service_state *s);

/** admit_fill_largest() - sets the resources in @load to the maximum over the
 * zone's upstreams of the service, so that instances of other zones can refuse
 * tasks that fit no upstream */
void admit_fill_largest(const struct entry *e, const struct service_state *s,
                        struct rec_load *load);

/** admit_job() - see dispatch_admit() */
struct admission admit_job(struct entry *e, const struct job *job);

#endif
