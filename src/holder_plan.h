/**
 * DOC: holder_plan - which brokers of a zone hold its upstreams
 *
 * A pure function, so that brokers with the same view make the same plan.
 *
 * As few brokers as possible hold upstreams: one queue for many upstreams
 * leaves fewer of them idle than several queues.  Where all brokers have the
 * same capacity, or one of them has not declared it, the oldest ones are the
 * holders, in equal parts; they stay the same when other brokers restart.
 * Where capacities differ, the largest ones are, in proportion to their
 * capacity: a small holder would delay the starts of all its upstreams.
 */
#ifndef BM_HOLDER_PLAN_H
#define BM_HOLDER_PLAN_H

#include "assign.h"
#include "base.h"

/**
 * struct holder_candidate - a broker that may hold upstreams
 * @cpu_milli: declared processor share, in thousandths of a core; 0: not
 *             declared
 * @link_kbps: declared bandwidth of its link; 0: not declared
 * @incarnation: start time of its process
 * @name: of the broker
 * @capacity: out: as a multiple of the median; 1 where capacities are equal
 * @share: out: how many upstreams it holds
 * @context: pointer for use by the caller
 */
struct holder_candidate {
    uint32_t cpu_milli;
    uint32_t link_kbps;
    uint64_t incarnation;
    struct name name;
    double capacity;
    struct assign_quota share;
    void *context;
};

/**
 * struct holder_plan_options - what to plan for
 * @upstreams: of the zone that have not ended; sets the number of holders
 * @listed: upstreams to divide among the holders: @upstreams, and those that
 *          have ended but are still known
 * @upstreams_per_holder: that a broker of median capacity can hold, at least 1
 */
struct holder_plan_options {
    size_t upstreams;
    size_t listed;
    uint32_t upstreams_per_holder;
};

/**
 * struct holder_plan - the result
 * @n_holders: number of holders, at least 1 if there is a candidate
 * @by_capacity: capacities are declared, and differ
 * @by_link: links limit the number of upstreams of some holder
 */
struct holder_plan {
    size_t n_holders;
    bool by_capacity;
    bool by_link;
};

/** holder_plan_make() - sorts @candidates so that the holders come first, and
 * sets the @share of each, 0 for the others */
struct holder_plan holder_plan_make(struct holder_candidate *candidates,
                                    size_t n,
                                    const struct holder_plan_options *o);

#endif
