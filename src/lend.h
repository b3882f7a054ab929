/**
 * DOC: lend - slots of held upstreams that other instances may use
 *
 * The holder's side of slot.h.
 */
#ifndef BM_LEND_H
#define BM_LEND_H

#include "dispatch_state.h"

struct lends *lends_new(void);
void lends_free(struct lends *ls);

/** lends_grant() - lends up to @count free slots and sends the grants; with
 * @answer also when there are none.  Returns how many were lent. */
uint32_t lends_grant(struct entry *e, struct service_state *s, struct name to,
                     uint64_t request, struct resources need, uint32_t count,
                     bool answer);

/** lends_recall() - asks those who borrowed slots of the service to return at
 * once what is idle */
void lends_recall(struct entry *e, struct service_state *s);

void lends_on_request(struct entry *e, struct name from,
                      const struct rec_slot_request *r);
void lends_on_return(struct entry *e, struct name from,
                     const struct rec_slot_return *r);

/** lends_void() - the upstream is not ours any more, or gone */
void lends_void(struct entry *e, struct handle upstream);

/** lends_member_down() - what it has turns foreign */
void lends_member_down(struct entry *e, struct name member);

void lends_tick(struct entry *e);
int64_t lends_next_us(const struct entry *e);

#endif
