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

/** borrow_ask() - asks for slots for what is queued */
void borrow_ask(struct entry *e, struct service_state *s);

/** borrow_stop() - nothing is queued any more */
void borrow_stop(struct entry *e, struct service_state *s);

/** borrow_answered() - a holder granted slots, or none */
void borrow_answered(struct entry *e, struct service_state *s,
                     struct name from, const struct rec_slot_grant *m);

/** borrow_wait() - remembers that @from wants @count more slots */
void borrow_wait(struct entry *e, struct service_state *s, struct name from,
                 const struct rec_slot_request *r, uint32_t count);

/** borrow_unwanted() - @from returned slots unused: it wants no more */
void borrow_unwanted(struct entry *e, struct service_state *s,
                     struct name from);

/** borrow_serve() - lends free slots to those who wait for some */
void borrow_serve(struct entry *e, struct service_state *s);

/** borrow_before() - lends slots to one that waits with a job that goes well
 * before the first of our own, whose rank is given; whether any went */
bool borrow_before(struct entry *e, struct service_state *s, int64_t rank_us);

/** borrow_wanted() - whether anybody here or elsewhere waits for slots */
bool borrow_wanted(const struct service_state *s);

void borrow_member_down(struct entry *e, struct service_state *s,
                        struct name member);

/** borrow_reachable() - free slots at others, as far as known */
uint32_t borrow_reachable(struct entry *e, struct service_state *s);

/** borrow_next_us() - when to ask again */
int64_t borrow_next_us(const struct service_state *s);

/** borrow_busy() - whether a request of ours or another's is still open */
bool borrow_busy(const struct entry *e, const struct service_state *s);

#endif
