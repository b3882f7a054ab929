/**
 * DOC: mailbox - items from many threads to one
 *
 * Two ways in, both lock-free (Concurrency Kit).  mailbox_offer() goes through
 * a bounded ring and can be turned away: for what can be refused honestly,
 * such as a new request.  mailbox_post() goes through an intrusive stack and
 * never fails: for outcomes, since a lost one is a lost answer.  What is
 * posted is bounded by what its sender has in progress.  Items of one thread
 * keep their order within a way; posted items are taken before offered ones.
 *
 * Blocking in mailbox_post() until there is room was ruled out: two threads
 * that post to each other could then wait for each other for ever.
 */
#ifndef BM_MAILBOX_H
#define BM_MAILBOX_H

#include <ck_ring.h>
#include <ck_stack.h>

#include "base.h"

/** struct mail - first member of every item */
struct mail {
    ck_stack_entry_t link;
};

struct mailbox {
    ck_stack_t posted;
    ck_ring_t ring;
    ck_ring_buffer_t *slots;
    struct mail *ready;  /* taken from @posted, in order; the taker's own */
    unsigned int asleep; /* the taker waits: wake it */
    int fd;              /* eventfd; readable when the taker must look */
};

/** mailbox_init() - @room is the ring's size, a power of two from 4 up.
 * Returns 0, or an errno value. */
int mailbox_init(struct mailbox *m, unsigned int room);

/** mailbox_destroy() - the items must have been taken */
void mailbox_destroy(struct mailbox *m);

/** mailbox_post() - never fails; from any thread */
void mailbox_post(struct mailbox *m, struct mail *item);

/** mailbox_offer() - false when the ring is full; from any thread */
bool mailbox_offer(struct mailbox *m, struct mail *item);

/** mailbox_take() - next item or NULL; by the one taker */
struct mail *mailbox_take(struct mailbox *m);

/** mailbox_doze() - announces that the taker will wait on @fd; false when
 * there is something to take already */
bool mailbox_doze(struct mailbox *m);

/** mailbox_rouse() - after waiting on @fd, or not waiting; clears @fd if it
 * was
 * @readable */
void mailbox_rouse(struct mailbox *m, bool readable);

/** mailbox_wake() - makes the taker look, with no item */
void mailbox_wake(struct mailbox *m);

/** mailbox_wait() - doze, wait up to @timeout_us, rouse */
void mailbox_wait(struct mailbox *m, int64_t timeout_us);

#endif
