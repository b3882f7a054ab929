/**
 * DOC: upstream_digest - a list of upstreams that two processes compare
 *
 * A registry and a broker compare the number of upstreams and the sum of a
 * hash of each one's name, incarnation and sequence, instead of the list
 * itself. Load: 30 registries send 1,000 upstreams to each broker of a zone
 * every 20 s.  Without input or output.
 */
#ifndef BM_UPSTREAM_DIGEST_H
#define BM_UPSTREAM_DIGEST_H

#include "wire.h"

/** struct digest_item - an upstream of a list; @name: see
 * upstream_digest_name() */
struct digest_item {
    uint64_t name;
    uint64_t hash;
};

/** struct upstream_digest - a list; zeroed is empty.  @items are ordered by
 * name; @hash is the sum of theirs. */
struct upstream_digest {
    struct digest_item *items;
    size_t n;
    size_t capacity;
    uint64_t hash;
};

/** upstream_digest_name() - what an upstream is found by */
uint64_t upstream_digest_name(struct name upstream);

/** upstream_digest_hash() - of one upstream, as it was last announced */
uint64_t upstream_digest_hash(struct name upstream, uint64_t born_ms,
                              uint64_t sequence);

/** upstream_digest_set() - adds or replaces an upstream */
void upstream_digest_set(struct upstream_digest *d,
                         const struct rec_leased_upstream *u);

/** upstream_digest_has() - whether the list has an upstream */
bool upstream_digest_has(const struct upstream_digest *d, uint64_t name);

/** upstream_digest_remove() - takes an upstream out, if the list has it */
void upstream_digest_remove(struct upstream_digest *d, uint64_t name);

/** upstream_digest_equal() - whether the list adds up to what a registry sent
 */
bool upstream_digest_equal(const struct upstream_digest *d,
                           const struct rec_upstream_digest *r);

/** upstream_digest_clear() - empties the list and releases its memory */
void upstream_digest_clear(struct upstream_digest *d);

#endif
