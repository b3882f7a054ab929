/**
 * DOC: roster - which brokers a registry tells each broker of
 *
 * Brokers of a zone have to agree on who holds what, so each is told of all of
 * its zone.  Of another zone a broker needs only a few that run jobs, to send
 * what its own zone has no room for.  Were all told of all, connections would
 * grow with the square of the brokers: with 270 of them each would keep 269
 * connections, send a heartbeat on each four times a second, and be told of
 * 270 others each time that one comes.
 */
#ifndef BM_ROSTER_H
#define BM_ROSTER_H

#include "wire.h"

/* Brokers that one is told of in each other zone.  Four would do to find a
 * short queue; twice as many, since some may be cut off.  A region with no
 * more than that in a zone is connected in full. */
enum { ROSTER_REMOTE_ZONE_MAX = 8 };

/**
 * struct listener - a broker that wants to know
 * @name: first: looked up by it
 * @info: as it introduced itself last
 * @up: there is a connection
 * @announce_pending: the others have not been told of it as it is now
 * @changed_us: when it came or went, monotonic
 */
struct roster_broker {
    struct name name;
    struct rec_introduction info;
    bool up;
    bool announce_pending;
    int64_t changed_us;
    struct roster_broker *next;
};

/** struct roster - all brokers that introduced themselves */
struct roster {
    struct roster_broker *brokers;
};

void roster_free(struct roster *r);

/** roster_find() - the broker of that name, or NULL */
struct roster_broker *roster_find(const struct roster *r, struct name name);

/** roster_update() - a broker introduces itself; returns it, with
 * @announce_pending set where the others should hear of it */
struct roster_broker *roster_update(struct roster *r, struct name name,
                                    const struct rec_introduction *i,
                                    int64_t now_us);

/** roster_remove_stale() - drops those that are down since before @before_us
 */
void roster_remove_stale(struct roster *r, int64_t before_us);

/** roster_mark_announced() - all have been told */
void roster_mark_announced(struct roster *r);

/** roster_select() - whom @to is told of: all of its zone, itself too, and of
 * each other zone at most ROSTER_REMOTE_ZONE_MAX, those that hold upstreams
 * first and among equals others for each receiver, so that their load is
 * spread.  With
 * @pending_only just the fresh among the others.  Returns how many; *@list is
 * the caller's to free. */
size_t roster_select(const struct roster *r, const struct roster_broker *to,
                     bool pending_only, struct rec_instance **list);

#endif
