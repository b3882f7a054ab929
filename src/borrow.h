/**
 * DOC: borrow - whom to ask for slots, and who asked us in vain
 *
 * Heartbeats and replies tell how many free slots each holder has.  One
 * request covers the whole queue of a service, and goes to the fewest holders
 * that can meet it, those of this zone first.  A holder that has nothing
 * free remembers the request for a while and sends slots as they come free, so
 * that nobody has to ask again and again.
 */
#ifndef BM_BORROW_H
#define BM_BORROW_H

#include "dispatch_state.h"

enum { SLOT_REQUEST_MAX = 4096 }; /* slots in one request */

void borrow_free(struct borrowing *b);

/** borrow_request() - asks for slots for what is queued */
void borrow_request(struct entry *e, struct service_state *s);

/** borrow_withdraw() - nothing is queued any more */
void borrow_withdraw(struct entry *e, struct service_state *s);

/** borrow_on_grant() - a holder granted slots, or none */
void borrow_on_grant(struct entry *e, struct service_state *s,
                     struct name from, const struct rec_slot_grant *m);

/** borrow_queue_request() - remembers that @from wants @count more slots */
void borrow_queue_request(struct entry *e, struct service_state *s,
                          struct name from, const struct rec_slot_request *r,
                          uint32_t count);

/** borrow_drop_request() - @from returned slots unused: it wants no more */
void borrow_drop_request(struct entry *e, struct service_state *s,
                         struct name from);

/** borrow_serve_requests() - lends free slots to those who wait for some */
void borrow_serve_requests(struct entry *e, struct service_state *s);

/** borrow_serve_ranked_before() - lends slots to one that waits with a job
 * that goes well before the first of our own, whose rank is given; whether any
 * went */
bool borrow_serve_ranked_before(struct entry *e, struct service_state *s,
                                int64_t rank_us);

/** borrow_has_demand() - whether anybody here or elsewhere waits for slots */
bool borrow_has_demand(const struct service_state *s);

void borrow_member_down(struct entry *e, struct service_state *s,
                        struct name member);

/** borrow_remote_free_slots() - free slots at others, as far as known */
uint32_t borrow_remote_free_slots(struct entry *e, struct service_state *s);

/** borrow_next_us() - when to ask again */
int64_t borrow_next_us(const struct service_state *s);

/** borrow_has_pending() - whether a request of ours or another's is still open
 */
bool borrow_has_pending(const struct entry *e, const struct service_state *s);

#endif
