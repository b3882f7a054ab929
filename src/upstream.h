/**
 * DOC: upstream - announced upstreams and their slots
 */
#ifndef BM_UPSTREAM_H
#define BM_UPSTREAM_H

#include "entry_state.h"

/** struct upstream - one incarnation of one upstream */
struct upstream {
    struct name name; /* first: looked up by it */
    struct handle self;
    struct rec_upstream_info info;
    int64_t renewed_us;      /* monotonic time of the last announcement */
    bool held;               /* by this instance, under info.epoch */
    bool fence_pending;      /* a fence is on its way */
    int64_t fence_retry_us;  /* not before */
    uint32_t fence_failures; /* since it was last held */
    uint32_t foreign_busy;   /* busy slots that are not of our counting */
    uint32_t running;        /* started by this instance */
    uint32_t lent;           /* slots lent to others */
    struct resources used;   /* by running and lent */
    struct health *health;   /* of health.c */
    struct place *place;     /* of dispatch.c: where it may be used */
    struct service_state *service; /* of dispatch.c */
};

struct upstreams *upstreams_new(const struct entry *e);
void upstreams_free(struct upstreams *u);

struct upstream *upstreams_get(const struct entry *e, struct handle h);
struct upstream *upstreams_by_name(const struct entry *e, struct name name);
struct upstream *upstreams_next(const struct entry *e, uint32_t *at);

void upstreams_on_announce(struct entry *e, const struct ev_announce *ev);
void upstreams_on_leave(struct entry *e, const struct ev_announce *ev);
void upstreams_on_drain(struct entry *e, const struct ev_drain *ev);
void upstreams_on_news(struct entry *e, struct name from,
                       const struct rec_upstream_news *news);
void upstreams_on_renewed(struct entry *e, const struct rec_upstream_ref *refs,
                          size_t n);

/** upstreams_on_members_changed() - holders are picked anew */
void upstreams_on_members_changed(struct entry *e);

/** upstreams_service_free_slots() - free slots for the service on held
 * upstreams */
uint32_t upstreams_service_free_slots(const struct entry *e,
                                      struct name service);

/** upstreams_usable_slots() - tasks it may run at a time: its slots, as far as
 * its connections carry them */
uint32_t upstreams_usable_slots(const struct upstream *u);

/** upstreams_free_slots_on() - usable slots that nobody uses, as far as known
 */
uint32_t upstreams_free_slots_on(const struct upstream *u);

/** upstreams_notify_zone() - passes what is known of it to the zone */
void upstreams_notify_zone(struct entry *e, const struct upstream *u);

/** upstreams_wake_at() - upstreams_tick() has work at that monotonic time */
void upstreams_wake_at(struct entry *e, int64_t us);

void upstreams_tick(struct entry *e);
int64_t upstreams_next_us(const struct entry *e);

#endif
