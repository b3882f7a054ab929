/**
 * DOC: holder - which instance holds an upstream
 *
 * Within a zone each upstream has one holder: the member that rendezvous
 * hashing picks among those that are up and not stopping.  The new holder
 * takes over with a fence: a PUT to the upstream with an epoch above every
 * epoch seen, after which the upstream refuses starts under lower epochs.  So
 * a former holder that was paused is kept out by the fence, not by a clock.
 */
#ifndef BM_HOLDER_H
#define BM_HOLDER_H

#include "upstream.h"

/** holders_new() - ends the process when memory is out */
struct holders *holders_new(void);
void holders_free(struct holders *hs);

/** holders_try_fence() - fences an upstream that this instance should hold and
 * does not hold yet */
void holders_try_fence(struct entry *e, struct upstream *u);

/** holders_on_fenced() - handles the outcome of a fence */
void holders_on_fenced(struct entry *e, const struct ev_fenced *ev);

/** holders_merge_info() - records the holder that another member reported,
 * unless its epoch is older; a later epoch ends the hold of this instance */
void holders_merge_info(struct entry *e, struct upstream *u,
                        const struct rec_upstream_info *info);

/** holders_end_hold() - ends the hold of this instance, if it has one; the
 * caller cleans up what was placed or lent under the hold */
void holders_end_hold(struct entry *e, struct upstream *u);

/** holders_on_stale_epoch() - ends the hold and what was lent under it, after
 * the upstream refused a start for its stale epoch */
void holders_on_stale_epoch(struct entry *e, struct upstream *u);

/** holders_release_all() - releases all held upstreams, after a pause of the
 * process or on stop */
void holders_release_all(struct entry *e);

#endif
