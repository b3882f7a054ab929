/**
 * DOC: lend - slots of held upstreams lent to other instances
 *
 * The lender's side of slot.h.
 */
#ifndef BM_LEND_H
#define BM_LEND_H

#include "dispatch_state.h"

struct lending *lend_new(void);
void lend_free(struct lending *ls);

/** lend_grant() - lends up to @count free slots to @to and sends the grants;
 * with @answer an empty grant is sent too.  Returns how many were lent. */
uint32_t lend_grant(struct entry *e, struct service_state *s, struct name to,
                    uint64_t request, struct resources need, uint32_t count,
                    bool answer);

/** lend_recall() - asks the borrower with most slots of the service to return
 * its idle ones at once; rate-limited */
void lend_recall(struct entry *e, struct service_state *s);

/** lend_on_request() - grants slots, and queues the rest of the request */
void lend_on_request(struct entry *e, struct name from,
                     const struct rec_slot_request *r);

/** lend_on_return() - takes back slots that @from returned */
void lend_on_return(struct entry *e, struct name from,
                    const struct rec_slot_return *r);

/** lend_void_upstream() - ends all grants on an upstream that this instance
 * lost or that is being removed */
void lend_void_upstream(struct entry *e, struct handle upstream);

/** lend_member_down() - @member is down: slots lent to it count as foreign
 * from now on, that is, as busy until the upstream reports fewer running
 * tasks */
void lend_member_down(struct entry *e, struct name member);

/** lend_tick() - expires grants that were not returned */
void lend_tick(struct entry *e);

/** lend_next_us() - monotonic time of the next expiry */
int64_t lend_next_us(const struct entry *e);

#endif
