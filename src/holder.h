/**
 * DOC: holder - which instance holds an upstream
 *
 * Within a zone each upstream has one holder: the up, non-stopping member that
 * rendezvous hashing picks.  It takes over with a fence: a PUT to the upstream
 * with an epoch above every one seen, after which the upstream refuses starts
 * under lower ones.  The fence, not a clock, keeps a paused old holder out.
 */
#ifndef BM_HOLDER_H
#define BM_HOLDER_H

#include "upstream.h"

struct holders *holders_new(void);
void holders_free(struct holders *hs);

/** holders_try_fence() - fences an upstream that this instance should hold and
 * does not hold yet */
void holders_try_fence(struct entry *e, struct upstream *u);

/** holders_on_fenced() - a fence was answered, or failed */
void holders_on_fenced(struct entry *e, const struct ev_fenced *ev);

/** holders_merge_info() - takes over a holder with a later epoch from another
 * member's news; a hold of ours ends with it */
void holders_merge_info(struct entry *e, struct upstream *u,
                        const struct rec_upstream_info *info);

/** holders_end_hold() - forgets the hold, if there is one; the caller sees to
 * what was placed under it */
void holders_end_hold(struct entry *e, struct upstream *u);

/** holders_on_stale_epoch() - a start was refused under this epoch: the hold
 * and what was lent under it are over */
void holders_on_stale_epoch(struct entry *e, struct upstream *u);

/** holders_release_all() - drops every hold at once, after a pause or on stop
 */
void holders_release_all(struct entry *e);

#endif
