/**
 * DOC: slot - slots lent and borrowed between instances
 *
 * An instance with more queued tasks than slots requests slots from holders
 * that have free ones.  A holder lends slots on named upstreams for a limited
 * time, and the borrower starts its tasks there directly.  So outcomes are not
 * relayed through the holder, and tasks in flight survive its failure.  A
 * holder counts a lent slot as used until it is returned.  If it is not (the
 * borrower failed, or the return was lost), the slot is counted as foreign
 * until the upstream reports fewer running tasks.
 */
#ifndef BM_SLOT_H
#define BM_SLOT_H

#include "dispatch_state.h"

struct upstream;

/** slots_new() - ends the process when memory is out */
struct slots *slots_new(const struct entry *e);
void slots_free(struct slots *sl);

/** slots_get_place() - the place of a handle, or NULL if it was removed */
struct place *slots_get_place(const struct entry *e, struct handle h);

/** slots_add_own_place() - adds a place (place.h) for an upstream on which
 * this instance may start tasks without a grant of another one */
void slots_add_own_place(struct entry *e, struct service_state *s,
                         struct upstream *u);

/** slots_on_start_ended() - a start at a place ended: a closed place is
 * removed or returns its idle slots, a borrowed one is checked for idle slots
 * later */
void slots_on_start_ended(struct entry *e, struct place *p);

/** slots_close_place() - allows no further starts at a place; the place is
 * removed when its running tasks have ended */
void slots_close_place(struct entry *e, struct place *p);

/** slots_on_epoch_raised() - the upstream's epoch rose: voids grants that this
 * instance borrowed under lower epochs, and its loans if it lost the hold */
void slots_on_epoch_raised(struct entry *e, struct upstream *u);

/** slots_on_upstream_removed() - closes the places of an upstream whose record
 * is being removed, and voids what was lent of it */
void slots_on_upstream_removed(struct entry *e, struct upstream *u);

/** slots_update_place() - recomputes the free slots of the upstream's own
 * place */
void slots_update_place(struct entry *e, struct upstream *u);

/** slots_member_down() - voids the slots that @member lent, counts those it
 * borrowed as foreign */
void slots_member_down(struct entry *e, struct name member);

/** slots_on_message() - handles SLOT_REQUEST, SLOT_GRANT, SLOT_RETURN and
 * SLOT_RECALL */
void slots_on_message(struct entry *e, struct name from, const struct msg *m);

/** slots_tick() - returns idle borrowed slots, expires grants */
void slots_tick(struct entry *e);

/** slots_next_us() - monotonic time of the next call of slots_tick() */
int64_t slots_next_us(const struct entry *e);

#endif
