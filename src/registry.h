/**
 * DOC: registry - the soft state of a registry: which upstreams announced
 * themselves here, and which brokers want to know
 *
 * A reducer without a clock or I/O of its own.  No quorum is asked: upstreams
 * announce themselves again and again, at any registry, and each broker
 * listens to all it can reach.  So a zone that is cut off goes on with its own
 * registry, and one that restarts is whole again when each upstream has spoken
 * once.
 *
 * Until then it tells of those that its disk remembers.  After all power was
 * lost, brokers would else wait for most of a period of announcements beside
 * idle upstreams.  What the disk says is a hint: a broker looks at an upstream
 * before it uses it, a newer announcement overrules it, and it is forgotten
 * like any upstream that is silent.
 *
 * Brokers are told of upstreams of their own zone: what changed,
 * everything when they connect, and everything again now and then, so that one
 * that forgot an upstream learns of it anew.  Which other brokers each is told
 * of is decided in roster.
 */
#ifndef BM_REGISTRY_H
#define BM_REGISTRY_H

#include "control_effect.h"

struct registry;

/** enum registry_result - what became of an announcement */
enum registry_result {
    REGISTRY_CHANGED,   /* taken, and news to the brokers */
    REGISTRY_UNCHANGED, /* taken, nothing new */
    REGISTRY_STALE,     /* of an earlier life, or overtaken: not taken */
};

/** registry_new() - knows nobody */
struct registry *registry_new(void);

/** registry_free() - NULL is allowed */
void registry_free(struct registry *r);

/** registry_restore() - what CE_SAVE_UPSTREAMS kept in an earlier life of this
 * process; of a life or a number of announcements that is known already it
 * changes nothing */
void registry_restore(struct registry *r,
                      const struct rec_upstream_report *saved,
                      struct moment now);

/** registry_announce() - an upstream says how it is; @u is copied.  Of one
 * that is gone only its name and life count.  Brokers are told by the next
 * registry_tick(). */
enum registry_result registry_announce(struct registry *r,
                                       const struct rec_leased_upstream *u,
                                       struct moment now);

/** registry_on_message() - whether the message was one for the registry */
bool registry_on_message(struct registry *r, struct name from,
                         const struct msg *m, struct moment now,
                         struct control_effects *fx);

/** registry_set_members() - the processes that serve as registries */
void registry_set_members(struct registry *r, const struct rec_membership *m,
                          struct control_effects *fx);

/** registry_on_connection() - the connection to a process is there, or is gone
 */
void registry_on_connection(struct registry *r, struct name peer, bool up,
                            struct moment now);

/** registry_tick() - repeats and forgets; at registry_next_us() */
void registry_tick(struct registry *r, struct moment now,
                   struct control_effects *fx);

/** registry_next_us() - when registry_tick() has work, monotonic */
int64_t registry_next_us(const struct registry *r);

/** struct registry_gauges - sizes, for metrics */
struct registry_gauges {
    uint64_t upstreams;
    uint64_t brokers_up;
};

struct registry_gauges registry_gauges(const struct registry *r);

#endif
