/**
 * DOC: borrow - slot requests, sent to other instances and received from them
 *
 * Heartbeats and replies report how many free slots each holder has.  The
 * requests for a service cover its whole queue, and go to as few holders as
 * can meet them, those of this zone first.  A holder without free slots queues
 * the request for a limited time and grants slots as they become free, so the
 * borrower need not poll it.
 */
#ifndef BM_BORROW_H
#define BM_BORROW_H

#include "dispatch_state.h"

enum { SLOT_REQUEST_MAX = 4096 }; /* slots in one request */

void borrow_free(struct borrowing *b);

/** borrow_request() - requests slots from holders for the queued tasks */
void borrow_request(struct entry *e, struct service_state *s);

/** borrow_withdraw() - withdraws the requests queued at holders; the queue is
 * empty */
void borrow_withdraw(struct entry *e, struct service_state *s);

/** borrow_on_grant() - records a holder's reply, with or without grants */
void borrow_on_grant(struct entry *e, struct service_state *s,
                     struct name from, const struct rec_slot_grant *m);

/** borrow_queue_request() - queues a request of @from for @count more slots; 0
 * removes the queued one */
void borrow_queue_request(struct entry *e, struct service_state *s,
                          struct name from, const struct rec_slot_request *r,
                          uint32_t count);

/** borrow_drop_request() - drops the queued request of @from, which returned
 * slots unused */
void borrow_drop_request(struct entry *e, struct service_state *s,
                         struct name from);

/** borrow_serve_requests() - lends free slots to instances with queued
 * requests */
void borrow_serve_requests(struct entry *e, struct service_state *s);

/** borrow_serve_ranked_before() - lends slots to an instance of this zone
 * whose first job ranks well before @rank_us, the rank of the first job queued
 * here; returns whether any were lent */
bool borrow_serve_ranked_before(struct entry *e, struct service_state *s,
                                int64_t rank_us);

/** borrow_has_demand() - whether tasks queued here or queued requests of other
 * instances need slots */
bool borrow_has_demand(const struct service_state *s);

/** borrow_member_down() - drops the requests from and to @member */
void borrow_member_down(struct entry *e, struct service_state *s,
                        struct name member);

/** borrow_remote_free_slots() - free slots that other instances last reported,
 * those of other zones only if the service may spill */
uint32_t borrow_remote_free_slots(struct entry *e, struct service_state *s);

/** borrow_next_us() - monotonic time of the next request; INT64_MAX if
 * nothing is queued */
int64_t borrow_next_us(const struct service_state *s);

/** borrow_has_pending() - whether a request sent or received is still open */
bool borrow_has_pending(const struct entry *e, const struct service_state *s);

#endif
