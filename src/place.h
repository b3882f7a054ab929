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
 * @grant: number given by the lender; 0 for a hold of our own
 * @lender: who granted it
 * @slots: of the grant
 * @used: our starts in flight there
 * @failures: in a row, told to the lender
 * @done: tasks that ran and succeeded, not told to the lender yet
 * @each: resources in each slot of the grant
 * @expires_us: no starts under the grant after that
 * @touched_us: last start or end
 * @blocked_us: no starts before that
 * @refusals: in a row
 * @closed: no starts any more; returned when what runs has ended
 * @rack: bit of its rack in struct queued
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
    uint64_t grant;
    struct name lender;
    uint32_t slots;
    uint32_t used;
    uint32_t failures;
    uint32_t done;
    struct resources each;
    int64_t expires_us;
    int64_t touched_us;
    int64_t blocked_us;
    uint32_t refusals;
    bool closed;
    bool listed;
    uint32_t counted; /* in the pool's own_free */
    uint8_t level;
    uint64_t rack;
    size_t at; /* in the pool's array */
    struct place *next;
    struct place *previous;
};

/** struct pool - the places of one service */
struct pool {
    struct place **all;
    size_t n;
    size_t room;
    size_t n_listed;   /* places with a free slot */
    uint32_t own_free; /* free slots at places that are not borrowed */
    struct place *first[PLACE_LEVELS];
};

/**
 * struct pick - what a task asks of a place
 * @need: of the task
 * @racks: bits of racks that other tasks of its job are on
 * @idempotent: may be used to try a quarantined upstream early
 */
struct pick {
    struct resources need;
    uint64_t racks;
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

/** place_free() - slots a task may be started on now */
uint32_t place_free(const struct entry *e, const struct place *p);

/** place_fits() - how many tasks of that need there is room for */
uint32_t place_fits(const struct entry *e, const struct place *p,
                    struct resources need);

/** place_update() - to be called when what place_free() looks at changed */
void place_update(struct entry *e, struct place *p);

/** place_next_us() - when it may be used again, by itself; INT64_MAX if not */
int64_t place_next_us(const struct entry *e, const struct place *p);

/** place_block() - no starts for a while, longer with each call in a row */
void place_block(struct entry *e, struct place *p);

/** place_own() - whether this instance holds the upstream, or needs no hold */
bool place_own(const struct place *p);

#endif
