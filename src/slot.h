/**
 * DOC: slot - slots lent and borrowed between instances
 *
 * An instance with more queued tasks than slots asks holders that have free
 * ones; the holder lends slots on named upstreams for a while, and the asker
 * starts its tasks there itself.  So an outcome needs no relay, and the death
 * of a holder concerns no task in flight.  A holder counts a lent slot as used
 * until it comes back; where it does not (the borrower died, or the return was
 * lost), it counts as foreign until the upstream's own reports clear it.
 */
#ifndef BM_SLOT_H
#define BM_SLOT_H

#include "dispatch_state.h"

struct upstream;

struct slots *slots_new(const struct entry *e);
void slots_free(struct slots *sl);

/** slots_get_place() - the place behind a handle, or NULL */
struct place *slots_get_place(const struct entry *e, struct handle h);

/** slots_add_own() - makes the place of an upstream that this instance may
 * start tasks on by its own right */
void slots_add_own(struct entry *e, struct service_state *s,
                   struct upstream *u);

/** slots_on_start_ended() - a start ended at a place: slots may be idle, or
 * due back */
void slots_on_start_ended(struct entry *e, struct place *p);

/** slots_close_place() - no further starts there; it goes when what runs has
 * ended
 */
void slots_close_place(struct entry *e, struct place *p);

/** slots_on_epoch_raised() - the upstream's epoch rose: grants under lower
 * ones and what was lent under them are void */
void slots_on_epoch_raised(struct entry *e, struct upstream *u);

/** slots_on_upstream_removed() - its places end */
void slots_on_upstream_removed(struct entry *e, struct upstream *u);

/** slots_update_place() - the upstream's places are looked at again */
void slots_update_place(struct entry *e, struct upstream *u);

/** slots_member_down() - what it lent is void; what it borrowed is foreign */
void slots_member_down(struct entry *e, struct name member);

/** slots_on_message() - SLOT_REQUEST, SLOT_GRANT, SLOT_RETURN, SLOT_RECALL */
void slots_on_message(struct entry *e, struct name from, const struct msg *m);

void slots_tick(struct entry *e);
int64_t slots_next_us(const struct entry *e);

#endif
