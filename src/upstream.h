/**
 * DOC: upstream - announced upstreams, their holders and their slots
 *
 * Within a zone each upstream has one holder: the up, non-stopping member that
 * rendezvous hashing picks.  It takes over with a fence: a PUT to the upstream
 * with an epoch above every one seen, after which the upstream refuses starts
 * under lower ones.  The fence, not a clock, keeps a paused old holder out.
 */
#ifndef BM_UPSTREAM_H
#define BM_UPSTREAM_H

#include "entry_state.h"

/** struct upstream - one incarnation of one upstream */
struct upstream {
    struct name name; /* first: looked up by it */
    struct handle self;
    struct rec_upstream_info info;
    int64_t heard_us;        /* monotonic time of the last announcement */
    bool held;               /* by this instance, under info.epoch */
    bool fencing;            /* a fence is on its way */
    int64_t fence_retry_us;  /* not before */
    uint32_t fence_failures; /* since it was last held */
    uint32_t foreign;        /* busy slots that are not of our counting */
    uint32_t running;        /* started by this instance */
    uint32_t lent;           /* slots lent to others */
    struct resources used;   /* by running and lent */
    struct health *health;   /* of health.c */
    struct place *place;     /* of dispatch.c: where it may be used */
    struct service_state *service; /* of dispatch.c */
};

struct upstreams *upstreams_new(const struct entry *e);
void upstreams_free(struct upstreams *u);

struct upstream *upstreams_of(const struct entry *e, struct handle h);
struct upstream *upstreams_by_name(const struct entry *e, struct name name);
struct upstream *upstreams_next(const struct entry *e, uint32_t *at);

void upstreams_on_announce(struct entry *e, const struct ev_announce *ev);
void upstreams_on_leave(struct entry *e, const struct ev_announce *ev);
void upstreams_on_fenced(struct entry *e, const struct ev_fenced *ev);
void upstreams_on_drain(struct entry *e, const struct ev_drain *ev);
void upstreams_on_news(struct entry *e, struct name from,
                       const struct rec_upstream_news *news);
void upstreams_on_renewed(struct entry *e, const struct rec_upstream_ref *refs,
                          size_t n);

/** upstreams_stale() - a start was refused under this epoch: the hold and
 * what was lent under it are over */
void upstreams_stale(struct entry *e, struct upstream *u);

/** upstreams_members_changed() - holders are picked anew */
void upstreams_members_changed(struct entry *e);

/** upstreams_let_go() - drops every hold at once, after a pause or on stop */
void upstreams_let_go(struct entry *e);

/** upstreams_free_slots() - free slots for the service on held upstreams */
uint32_t upstreams_free_slots(const struct entry *e, struct name service);

/** upstreams_usable() - tasks it may run at a time: its slots, as far as its
 * connections carry them */
uint32_t upstreams_usable(const struct upstream *u);

/** upstreams_free_on() - usable slots that nobody uses, as far as known */
uint32_t upstreams_free_on(const struct upstream *u);

/** upstreams_tell() - passes what is known of it to the zone */
void upstreams_tell(struct entry *e, const struct upstream *u);

void upstreams_tick(struct entry *e);
int64_t upstreams_next_us(const struct entry *e);

#endif
