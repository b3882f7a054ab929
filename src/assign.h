/**
 * DOC: assign - which holder each upstream of a zone should have
 *
 * A pure function of who holds what now, so that brokers with the same view
 * come to the same result.  An upstream stays where it is while its holder is
 * one of those that should hold any: each move leaves it idle until what runs
 * there has ended.
 */
#ifndef BM_ASSIGN_H
#define BM_ASSIGN_H

#include <stddef.h>
#include <stdint.h>

/* Not held, or by one that should hold nothing. */
#define ASSIGN_NONE SIZE_MAX

/**
 * struct assign_item - an upstream
 * @order_key: orders upstreams alike at all brokers
 * @holder: index of who holds it now, or ASSIGN_NONE; then who should
 * @context: the caller's
 */
struct assign_item {
    uint64_t order_key;
    size_t holder;
    void *context;
};

/** assign_holders() - sets @holder of each item to one of @n_holders, at least
 * one; sorts @items by @spread */
void assign_holders(struct assign_item *items, size_t n_items,
                    size_t n_holders);

#endif
