/**
 * DOC: assign - assigns the upstreams of a zone to holders
 *
 * A pure function of the current holders, so that brokers with the same view
 * compute the same assignment.  An upstream keeps its holder if possible,
 * because an upstream that changes holders stays idle until the tasks running
 * there have ended.
 */
#ifndef BM_ASSIGN_H
#define BM_ASSIGN_H

#include <stddef.h>
#include <stdint.h>

/* Not held, or held by a broker that is not to hold upstreams. */
#define ASSIGN_NONE SIZE_MAX

/**
 * struct assign_item - an upstream
 * @order_key: sort key that is the same at all brokers
 * @holder: in: index of the current holder or ASSIGN_NONE; out: index of the
 *          assigned holder
 * @context: pointer for use by the caller
 */
struct assign_item {
    uint64_t order_key;
    size_t holder;
    void *context;
};

/**
 * struct assign_quota - number of upstreams of a holder
 * @quota: that it is assigned; the sum over all holders is at least the number
 *         of upstreams
 * @keep_max: that it keeps if it holds them already, at least @quota
 */
struct assign_quota {
    size_t quota;
    size_t keep_max;
};

/** assign_holders() - sets @holder of each item to an index below @n_holders,
 * which must be at least 1; sorts @items by @order_key.  @quotas has one entry
 * for each holder. */
void assign_holders(struct assign_item *items, size_t n_items,
                    const struct assign_quota *quotas, size_t n_holders);

#endif
