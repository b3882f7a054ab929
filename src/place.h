/**
 * DOC: place - where this instance may start tasks of a service
 *
 * A place is an upstream that this instance holds, or slots on one that its
 * holder has lent (slot.h).  Places with a free slot are kept in lists by
 * level: the less loaded, the faster and the healthier, the lower.  So picking
 * looks at a few places, however many upstreams there are.
 */
#ifndef BM_PLACE_H
#define BM_PLACE_H

#include "entry_state.h"

enum { PLACE_LEVELS = 16 };

struct upstream;
struct pool;

/**
 * struct place - one upstream, or a grant of slots on one
 * @pool: of its service
 * @upstream: its record; NULL for one of another zone
 * @name: of the upstream
 * @zone: of the upstream
 * @address: of the upstream
 * @incarnation: of the upstream
 * @epoch: for starts
 * @grant_id: number given by the lender; 0 for a hold of our own
 * @lender: who granted it
 * @slots: of the grant
 * @slots_used: our starts in flight there
 * @failures: in a row, told to the lender
 * @unreported_successes: tasks that ran and succeeded, not told to the lender
 * yet
 * @slot_size: resources in each slot of the grant
 * @expires_us: no starts under the grant after that
 * @last_used_us: last start or end
 * @blocked_until_us: no starts before that
 * @refusals: in a row
 * @closed: no starts any more; returned when what runs has ended
 * @rack_bit: bit of its rack in struct queued
 */
struct place {
    struct handle self;
    struct pool *pool;
    struct upstream *upstream;
    struct name name;
    struct name zone;
    struct address address;
    uint64_t incarnation;
    uint64_t epoch;
    uint64_t grant_id;
    struct name lender;
    uint32_t slots;
    uint32_t slots_used;
    uint32_t failures;
    uint32_t unreported_successes;
    struct resources slot_size;
    int64_t expires_us;
    int64_t last_used_us;
    int64_t blocked_until_us;
    uint32_t refusals;
    bool closed;
    bool listed;
    uint32_t counted_free; /* in the pool's own_free */
    uint8_t level;
    uint64_t rack_bit;
    size_t pool_index; /* in the pool's array */
    struct place *next;
    struct place *previous;
};

/** struct pool - the places of one service */
struct pool {
    struct place **all_places;
    size_t n_places;
    size_t capacity;
    size_t n_available;      /* places with a free slot */
    uint32_t own_free_slots; /* free slots at places that are not borrowed */
    struct place *level_lists[PLACE_LEVELS];
};

/**
 * struct pick - what a task asks of a place
 * @need: of the task
 * @rack_bits: bits of racks that other tasks of its job are on
 * @idempotent: may be used to try a quarantined upstream early
 */
struct pick {
    struct resources need;
    uint64_t rack_bits;
    bool idempotent;
};

/** pool_add() - takes over a place */
void pool_add(struct entry *e, struct pool *pool, struct place *p);

/** pool_remove() - the place is the caller's again */
void pool_remove(struct pool *pool, struct place *p);

/** pool_pick() - the best place with room for a task, or NULL */
struct place *pool_pick(struct entry *e, struct pool *pool,
                        const struct pick *pick);

/** pool_clear() - frees the arrays, not the places */
void pool_clear(struct pool *pool);

/** place_free_slots() - slots a task may be started on now */
uint32_t place_free_slots(const struct entry *e, const struct place *p);

/** place_task_capacity() - how many tasks of that need there is room for */
uint32_t place_task_capacity(const struct entry *e, const struct place *p,
                             struct resources need);

/** place_update() - to be called when what place_free_slots() looks at changed
 */
void place_update(struct entry *e, struct place *p);

/** place_available_at_us() - when it may be used again, by itself; INT64_MAX
 * if not */
int64_t place_available_at_us(const struct entry *e, const struct place *p);

/** place_block() - no starts for a while, longer with each call in a row */
void place_block(struct entry *e, struct place *p);

/** place_is_own() - whether this instance holds the upstream, or needs no hold
 */
bool place_is_own(const struct place *p);

#endif
