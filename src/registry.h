/**
 * DOC: registry - the soft state of a registry: the upstreams that announced
 * themselves here, and the brokers to report them to
 *
 * A reducer without a clock or I/O of its own.  It needs no quorum: upstreams
 * announce themselves periodically, to any registry, and each broker connects
 * to all registries that it can reach.  So a disconnected zone goes on with
 * its own registry, and a restarted registry is complete when each upstream
 * has announced itself once.
 *
 * Until then the registry reports the upstreams saved on its disk.  After a
 * power loss, brokers would otherwise wait for most of an announcement period
 * while upstreams are idle.  The saved upstreams are only hints: a broker
 * polls an upstream before it uses it, a newer announcement replaces the saved
 * one, and a silent upstream is removed like any other.
 *
 * Brokers receive reports of the upstreams of their own zone: all when they
 * connect, changes as they occur, and a digest periodically, so that a broker
 * that lacks or removed an upstream requests all again.  A broker of the
 * previous build, which sends no HEARTBEAT_INTERVAL, gets all periodically.
 * The roster module selects the brokers that are announced to each broker.
 */
#ifndef BM_REGISTRY_H
#define BM_REGISTRY_H

#include "control_effect.h"

struct registry;

/** enum registry_result - outcome of an announcement */
enum registry_result {
    REGISTRY_CHANGED,   /* accepted, to be reported to brokers */
    REGISTRY_UNCHANGED, /* accepted, nothing to report */
    REGISTRY_STALE,     /* ignored: of an earlier incarnation, or outdated */
};

/** registry_new() - creates a registry without upstreams and brokers */
struct registry *registry_new(void);

/** registry_free() - NULL is allowed */
void registry_free(struct registry *r);

/** registry_restore() - adds the upstreams that CE_SAVE_UPSTREAMS saved before
 * this process was restarted.  Ignores those that are outdated by an
 * announcement received since. */
void registry_restore(struct registry *r,
                      const struct rec_upstream_report *saved,
                      struct moment now);

/** registry_announce() - takes an upstream's announcement; @u is copied. Where
 * @u is gone, only its name and incarnation matter.  Changes are reported by a
 * later registry_tick(). */
enum registry_result registry_announce(struct registry *r,
                                       const struct rec_leased_upstream *u,
                                       struct moment now);

/** registry_on_message() - handles a message; false if it is not one for the
 * registry */
bool registry_on_message(struct registry *r, struct name from,
                         const struct msg *m, struct moment now,
                         struct control_effects *fx);

/** registry_set_members() - sets the processes that serve as registries, and
 * sends them to the brokers */
void registry_set_members(struct registry *r, const struct rec_membership *m,
                          struct control_effects *fx);

/** registry_on_connection() - the connection to a process was established
 * (@up) or lost */
void registry_on_connection(struct registry *r, struct name peer, bool up,
                            struct moment now);

/** registry_tick() - sends reports and rosters, saves, and removes silent
 * upstreams, as due; to be called at registry_next_us() */
void registry_tick(struct registry *r, struct moment now,
                   struct control_effects *fx);

/** registry_next_us() - when registry_tick() is due, monotonic */
int64_t registry_next_us(const struct registry *r);

/** struct registry_gauges - sizes, for metrics */
struct registry_gauges {
    uint64_t upstreams;
    uint64_t brokers_up;
};

struct registry_gauges registry_gauges(const struct registry *r);

#endif
