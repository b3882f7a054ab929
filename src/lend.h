/**
 * DOC: lend - slots of held upstreams that other instances may use
 *
 * The holder's side of slot.h.
 */
#ifndef BM_LEND_H
#define BM_LEND_H

#include "dispatch_state.h"

struct lending *lend_new(void);
void lend_free(struct lending *ls);

/** lend_grant() - lends up to @count free slots and sends the grants; with
 * @answer also when there are none.  Returns how many were lent. */
uint32_t lend_grant(struct entry *e, struct service_state *s, struct name to,
                    uint64_t request, struct resources need, uint32_t count,
                    bool answer);

/** lend_recall() - asks those who borrowed slots of the service to return at
 * once what is idle */
void lend_recall(struct entry *e, struct service_state *s);

void lend_on_request(struct entry *e, struct name from,
                     const struct rec_slot_request *r);
void lend_on_return(struct entry *e, struct name from,
                    const struct rec_slot_return *r);

/** lend_void_upstream() - the upstream is not ours any more, or gone */
void lend_void_upstream(struct entry *e, struct handle upstream);

/** lend_member_down() - what it has turns foreign */
void lend_member_down(struct entry *e, struct name member);

void lend_tick(struct entry *e);
int64_t lend_next_us(const struct entry *e);

#endif
