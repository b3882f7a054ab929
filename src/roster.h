/**
 * DOC: roster - selects the brokers that a registry announces to each broker
 *
 * The brokers of a zone have to agree on the holders of its upstreams, so each
 * broker needs to know all brokers of its zone.  Of another zone it needs only
 * a few brokers that run jobs, for jobs that its own zone has no capacity for.
 * If each knew all, connections would grow with the square of the number of
 * brokers: with 270 brokers, each would keep 269 connections, send a heartbeat
 * on each four times a second, and receive a list of 270 brokers whenever a
 * new one connects.
 */
#ifndef BM_ROSTER_H
#define BM_ROSTER_H

#include "wire.h"

/* Brokers of each other zone that are announced to a broker.  Four would do to
 * find a short queue; it is twice that since some may be unreachable.  A
 * region with no more brokers in a zone is fully connected. */
enum { ROSTER_REMOTE_ZONE_MAX = 8 };

/**
 * struct roster_broker - a broker that has introduced itself
 * @name: first: looked up by it
 * @info: its newest introduction
 * @up: whether it is connected
 * @announce_pending: its newest introduction has not been announced to the
 *                    other brokers
 * @changed_us: when it was introduced or disconnected last, monotonic
 */
struct roster_broker {
    struct name name;
    struct rec_introduction info;
    bool up;
    bool announce_pending;
    int64_t changed_us;
    struct roster_broker *next;
};

/** struct roster - all brokers that have introduced themselves */
struct roster {
    struct roster_broker *brokers;
};

void roster_free(struct roster *r);

/** roster_find() - returns the broker of that name, or NULL */
struct roster_broker *roster_find(const struct roster *r, struct name name);

/** roster_update() - adds or updates a broker from its introduction; returns
 * it, with @announce_pending set where it must be announced to the others */
struct roster_broker *roster_update(struct roster *r, struct name name,
                                    const struct rec_introduction *i,
                                    int64_t now_us);

/** roster_remove_stale() - removes brokers that were disconnected at
 * @before_us or earlier */
void roster_remove_stale(struct roster *r, int64_t before_us);

/** roster_mark_announced() - clears @announce_pending of all brokers */
void roster_mark_announced(struct roster *r);

/** roster_select() - selects the brokers to announce to @to: all of its zone,
 * including itself, and at most ROSTER_REMOTE_ZONE_MAX of each other zone.  Of
 * another zone, brokers that hold upstreams come first, and equal ones in an
 * order that differs between receivers, to spread the load.  With
 * @pending_only, selects from these just the ones with @announce_pending set,
 * without @to.  Returns the number; the caller owns *@list. */
size_t roster_select(const struct roster *r, const struct roster_broker *to,
                     bool pending_only, struct rec_instance **list);

#endif
