/**
 * DOC: place - places where this instance may start tasks of a service
 *
 * A place is either an upstream on which this instance may start tasks without
 * a grant (the instance's own place), or a grant: slots that the upstream's
 * holder has lent (slot.h).  Places with a free slot are kept in lists by
 * level; the less loaded, the faster and the healthier the upstream, the lower
 * the level.  Choosing a place therefore examines only a few of them,
 * however many upstreams there are.
 */
#ifndef BM_PLACE_H
#define BM_PLACE_H

#include "entry_state.h"

enum { PLACE_LEVELS = 16 };

struct upstream;
struct pool;

/**
 * struct place - one upstream, or a grant of slots on one
 * @pool: pool of the service
 * @upstream: record of the upstream; NULL if it is in another zone
 * @name: name of the upstream
 * @zone: zone of the upstream
 * @address: address of the upstream
 * @incarnation: incarnation of the upstream
 * @epoch: epoch to send with starts
 * @grant_id: number chosen by the lender; 0 if the place is not a grant
 * @lender: instance that granted the slots
 * @slots: number of slots granted
 * @slots_used: starts of this instance in flight at the place
 * @failures: consecutive failures, reported to the lender
 * @unreported_successes: tasks that succeeded, not yet reported to the lender
 * @slot_size: resources of each granted slot
 * @expires_us: monotonic end of the grant; no starts from then on
 * @last_used_us: monotonic time of the last start or end
 * @blocked_until_us: monotonic time before which no task is started here, see
 *                    place_block()
 * @refusals: consecutive refused starts, up to the limit of place_block()
 * @closed: no further starts; the place is removed when all starts in flight
 *          have ended
 * @listed: the place is in the list of its level, thus has a free slot
 * @counted_free: free slots that are included in the pool's
 *                own_free_slots
 * @level: list that the place is in
 * @rack_bit: bit that stands for the upstream's rack, see struct queue_entry
 * @pool_index: index in the pool's array
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
    uint32_t counted_free;
    uint8_t level;
    uint64_t rack_bit;
    size_t pool_index;
    struct place *next;
    struct place *previous;
};

/** struct pool - all places of one service */
struct pool {
    struct place **all_places;
    size_t n_places;
    size_t capacity;         /* allocated length of all_places */
    size_t n_available;      /* places with a free slot */
    uint32_t own_free_slots; /* at places that are not grants */
    struct place *level_lists[PLACE_LEVELS];
};

/**
 * struct place_criteria - what a task requires of a place
 * @need: resources of the task
 * @rack_bits: bits of the racks on which other tasks of the job were started
 * @idempotent: the task may probe a quarantined upstream early
 */
struct place_criteria {
    struct resources need;
    uint64_t rack_bits;
    bool idempotent;
};

/** pool_add() - adds a place, which must stay valid until pool_remove() */
void pool_add(struct entry *e, struct pool *pool, struct place *p);

/** pool_remove() - removes a place; does not free it */
void pool_remove(struct pool *pool, struct place *p);

/** pool_pick() - the best place with capacity for the task, or NULL */
struct place *pool_pick(struct entry *e, struct pool *pool,
                        const struct place_criteria *pick);

/** pool_clear() - empties the pool; does not free the places */
void pool_clear(struct pool *pool);

/** place_free_slots() - number of slots on which a task may be started now */
uint32_t place_free_slots(const struct entry *e, const struct place *p);

/** place_task_capacity() - number of tasks with that need that may be started
 * now */
uint32_t place_task_capacity(const struct entry *e, const struct place *p,
                             struct resources need);

/** place_update() - recomputes the free slots and level of a place; must be
 * called whenever the result of place_free_slots() may have changed */
void place_update(struct entry *e, struct place *p);

/** place_available_at_us() - monotonic time at which a place without a free
 * slot may get one without any further event: the end of a block, or the next
 * probe of a quarantined upstream; INT64_MAX if there is none */
int64_t place_available_at_us(const struct entry *e, const struct place *p);

/** place_block() - stops starts at a place that refused one, for a time that
 * doubles with each consecutive refusal, up to a limit */
void place_block(struct entry *e, struct place *p);

/** place_is_own() - whether the place is not a grant */
bool place_is_own(const struct place *p);

#endif
