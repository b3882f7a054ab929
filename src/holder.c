#include "holder.h"

#include <stdlib.h>
#include <string.h>
#include <syslog.h>
#include <xxhash.h>

#include "dispatch.h"
#include "health.h"
#include "map.h"
#include "member.h"
#include "table.h"

enum {
    EPOCH_HOLDER_BITS = 8,  /* low bits: number of the fencing instance */
    FENCE_BACKOFF_MAX = 16, /* longest backoff, in FENCE_BACKOFF_US */
};

#define FENCE_BACKOFF_US (250 * USEC_PER_MSEC)

/** struct fence_call - a fence in flight */
struct fence_call {
    uint64_t call; /* first: key of fence_by_call */
    struct handle self;
    struct handle upstream;
    uint64_t epoch;
};

struct holders {
    struct table fences;
    struct map fence_by_call;
};

struct holders *
holders_new(void)
{
    struct holders *hs = calloc(1, sizeof(*hs));

    if (hs == NULL) {
        abort();
    }
    table_init(&hs->fences, sizeof(struct fence_call));
    map_init(&hs->fence_by_call, MAP_U64);
    return hs;
}

void
holders_free(struct holders *hs)
{
    if (hs == NULL) {
        return;
    }
    map_clear(&hs->fence_by_call);
    table_clear(&hs->fences);
    free(hs);
}

/* Picking */

static bool
may_hold(const struct entry *e, const struct member *m)
{
    if (m->self) {
        return !e->stopping;
    }
    return m->up && !m->stopping && name_equal(m->zone, e->zone);
}

static uint64_t
rendezvous_weight(struct name upstream, struct name member)
{
    uint64_t seed = XXH3_64bits(member.s, strlen(member.s));

    return XXH3_64bits_withSeed(upstream.s, strlen(upstream.s), seed);
}

/** pick_holder() - the member of this zone that should hold an upstream: the
 * one with the highest weight among those that may hold it, or NULL */
static const struct member *
pick_holder(const struct entry *e, struct name upstream)
{
    const struct member *best = NULL;
    const struct member *m;
    uint64_t best_weight = 0;
    size_t at = 0;

    while ((m = members_next(e, &at)) != NULL) {
        uint64_t weight;

        if (!may_hold(e, m)) {
            continue;
        }
        weight = rendezvous_weight(upstream, m->name);
        if (best == NULL || weight > best_weight) {
            best = m;
            best_weight = weight;
        }
    }
    return best;
}

static uint64_t
self_number(const struct entry *e)
{
    uint64_t number = 0;

    for (size_t i = 0; i < e->opts.n_peers; i++) {
        if (strcmp(e->opts.peers[i].name.s, e->opts.self.s) < 0) {
            number++;
        }
    }
    return number;
}

/** next_epoch() - an epoch above @known.  Its low bits are the number of this
 * instance, so two instances that fence at the same time never use the same
 * epoch, and the upstream can tell which one is later. */
static uint64_t
next_epoch(const struct entry *e, uint64_t known)
{
    uint64_t count = (known >> EPOCH_HOLDER_BITS) + 1;

    return (count << EPOCH_HOLDER_BITS) | self_number(e);
}

static void
send_fence(struct entry *e, struct upstream *u)
{
    struct holders *hs = e->holders;
    struct handle h;
    struct fence_call *c = table_add(&hs->fences, &h);
    struct ef_fence *f = &effects_add(e->fx, EF_FENCE)->u.fence;

    c->self = h;
    c->call = entry_new_call_id(e);
    c->upstream = u->self;
    c->epoch = next_epoch(e, u->info.epoch);
    map_put(&hs->fence_by_call, c);
    u->fence_pending = true;
    f->call = c->call;
    f->upstream = u->name;
    f->address = u->info.address;
    f->incarnation = u->info.incarnation;
    f->epoch = c->epoch;
    e->counters.fences_sent++;
}

void
holders_try_fence(struct entry *e, struct upstream *u)
{
    const struct member *picked;

    if (u->held || u->fence_pending || u->info.leaving ||
        e->opts.placement != PLACE_HOLDER) {
        return;
    }
    picked = pick_holder(e, u->name);
    if (picked == NULL || !picked->self) {
        return;
    }
    if (u->fence_retry_us > e->now.mono_us) {
        upstreams_wake_at(e, u->fence_retry_us);
        return;
    }
    send_fence(e, u);
}

void
holders_end_hold(struct entry *e, struct upstream *u)
{
    if (!u->held) {
        return;
    }
    u->held = false;
    entry_log(e, LOG_INFO, REASON_HOLDER_LOST, NULL, -1, u->name,
              "hold ended at epoch %llu, holder now %s",
              (unsigned long long)u->info.epoch,
              name_empty(u->info.holder) ? "unknown" : u->info.holder.s);
}

/** back_off() - delays the next fence by a jittered time that grows with each
 * failure.  Without a delay, two instances that each consider the other down
 * would fence an upstream in turn endlessly, and each time the starts sent
 * under the older epoch would be refused. */
static void
back_off(struct entry *e, struct upstream *u)
{
    int64_t us;

    if (u->fence_failures < FENCE_BACKOFF_MAX) {
        u->fence_failures++;
    }
    us = FENCE_BACKOFF_US * u->fence_failures;
    u->fence_retry_us = e->now.mono_us + entry_jitter(e, us);
    upstreams_wake_at(e, u->fence_retry_us);
}

static void
on_held(struct entry *e, struct upstream *u, const struct ev_fenced *ev,
        uint64_t epoch)
{
    uint32_t known = u->running;

    u->held = true;
    u->fence_failures = 0;
    u->info.epoch = epoch;
    u->info.holder = e->opts.self;
    u->foreign_busy = ev->running > known ? ev->running - known : 0;
    health_on_held(e, u);
    entry_log(e, LOG_INFO, REASON_HOLDER_TAKEN, NULL, -1, u->name,
              "fenced at epoch %llu, %u tasks running there",
              (unsigned long long)epoch, ev->running);
    upstreams_notify_zone(e, u);
    dispatch_upstream_changed(e, u);
}

void
holders_on_fenced(struct entry *e, const struct ev_fenced *ev)
{
    struct holders *hs = e->holders;
    struct fence_call *c = map_remove(&hs->fence_by_call, &ev->call);
    struct upstream *u;
    uint64_t epoch;

    if (c == NULL) {
        return;
    }
    u = upstreams_get(e, c->upstream);
    epoch = c->epoch;
    table_remove(&hs->fences, c->self);
    if (u == NULL) {
        return;
    }
    u->fence_pending = false;
    if (ev->outcome == FENCE_OK && epoch > u->info.epoch) {
        on_held(e, u, ev, epoch);
        return;
    }
    if (ev->outcome == FENCE_STALE && ev->epoch > u->info.epoch) {
        u->info.epoch = ev->epoch;
        u->info.holder = name_of("");
    }
    back_off(e, u);
}

/* Loss of holds */

void
holders_on_stale_epoch(struct entry *e, struct upstream *u)
{
    if (!u->held) {
        return;
    }
    holders_end_hold(e, u);
    u->info.holder = name_of("");
    dispatch_upstream_changed(e, u);
    back_off(e, u);
}

void
holders_release_all(struct entry *e)
{
    struct upstream *u;
    uint32_t at = 0;

    while ((u = upstreams_next(e, &at)) != NULL) {
        if (!u->held) {
            continue;
        }
        u->info.holder = name_of("");
        holders_end_hold(e, u);
        dispatch_upstream_changed(e, u);
        upstreams_notify_zone(e, u);
        u->fence_retry_us = e->now.mono_us + FENCE_BACKOFF_US;
        upstreams_wake_at(e, u->fence_retry_us);
    }
}

void
holders_merge_info(struct entry *e, struct upstream *u,
                   const struct rec_upstream_info *info)
{
    if (info->epoch > u->info.epoch) {
        u->info.epoch = info->epoch;
        u->info.holder = info->holder;
        if (u->held) {
            holders_end_hold(e, u);
            back_off(e, u);
        }
        dispatch_upstream_changed(e, u);
    }
    else if (info->epoch == u->info.epoch && !u->held) {
        u->info.holder = info->holder;
    }
}
