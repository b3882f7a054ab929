/**
 * DOC: upstream - announced upstreams and their slots
 */
#ifndef BM_UPSTREAM_H
#define BM_UPSTREAM_H

#include "entry_state.h"

/** struct upstream - one incarnation of one upstream */
struct upstream {
    struct name name; /* first: key of by_name */
    struct handle self;
    struct rec_upstream_info info;
    int64_t renewed_us;      /* last announcement or renewal, monotonic */
    bool held;               /* by this instance, under info.epoch */
    bool fence_pending;      /* a fence is in flight */
    int64_t fence_retry_us;  /* no fence before that */
    uint32_t fence_failures; /* since this instance last held it */
    uint32_t foreign_busy;   /* busy slots neither in running nor lent */
    uint32_t running;        /* tasks started by this instance */
    uint32_t lent;           /* slots lent to other instances */
    struct resources used;   /* by running and lent slots */
    struct health *health;   /* of health.c */
    struct place *place;     /* its own place, see slot.h; or NULL */
    struct service_state *service; /* of dispatch.c */
};

/** upstreams_new() - ends the process when memory is out */
struct upstreams *upstreams_new(const struct entry *e);
void upstreams_free(struct upstreams *u);

/** upstreams_get() - the upstream of a handle, or NULL if it was removed */
struct upstream *upstreams_get(const struct entry *e, struct handle h);

/** upstreams_by_name() - the upstream of that name, or NULL */
struct upstream *upstreams_by_name(const struct entry *e, struct name name);

/** upstreams_next() - iterates: start with *@at = 0; NULL at the end */
struct upstream *upstreams_next(const struct entry *e, uint32_t *at);

/** upstreams_on_announce() - adds or renews an upstream, or refuses the
 * announcement */
void upstreams_on_announce(struct entry *e, const struct ev_announce *ev);

/** upstreams_on_leave() - stops new work for an upstream that is shutting
 * down */
void upstreams_on_leave(struct entry *e, const struct ev_announce *ev);

/** upstreams_on_drain() - stops new work for an upstream on an operator's
 * request */
void upstreams_on_drain(struct entry *e, const struct ev_drain *ev);

/** upstreams_on_news() - merges upstream records of another member */
void upstreams_on_news(struct entry *e, struct name from,
                       const struct rec_upstream_news *news);

/** upstreams_on_renewed() - handles the renewals in a heartbeat */
void upstreams_on_renewed(struct entry *e, const struct rec_upstream_ref *refs,
                          size_t n);

/** upstreams_on_members_changed() - sends upstreams to new members of the zone
 * and picks holders again */
void upstreams_on_members_changed(struct entry *e);

/** upstreams_service_free_slots() - free slots for a service on held
 * upstreams */
uint32_t upstreams_service_free_slots(const struct entry *e,
                                      struct name service);

/** upstreams_usable_slots() - tasks that the upstream may run at a time: its
 * slots, limited by its connections, one of which is reserved */
uint32_t upstreams_usable_slots(const struct upstream *u);

/** upstreams_free_slots_on() - usable slots of an upstream that are not known
 * to be in use */
uint32_t upstreams_free_slots_on(const struct upstream *u);

/** upstreams_notify_zone() - sends the record of an upstream to the members of
 * this zone */
void upstreams_notify_zone(struct entry *e, const struct upstream *u);

/** upstreams_wake_at() - schedules upstreams_tick() at a monotonic time */
void upstreams_wake_at(struct entry *e, int64_t us);

/** upstreams_tick() - expires upstreams and retries fences */
void upstreams_tick(struct entry *e);

/** upstreams_next_us() - monotonic time of the next upstreams_tick() */
int64_t upstreams_next_us(const struct entry *e);

#endif
