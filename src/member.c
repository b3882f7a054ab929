#include "member.h"

#include <stdlib.h>
#include <string.h>
#include <syslog.h>

#include "claim.h"
#include "dispatch.h"
#include "jobs.h"
#include "successor.h"
#include "upstream.h"

enum {
    RENEWED_MAX = 4096, /* renewals in a heartbeat */
    REMOTE_LOADS = 8,   /* loads in a heartbeat to another zone, on average */
    REMOTE_BEATS_MAX = 8, /* at least each 8th of these heartbeats has loads */
};

struct members {
    struct member *items; /* sorted by name */
    size_t n;
    struct name zones[ZONES_MAX]; /* sorted */
    size_t n_zones;
    struct rec_upstream_ref *renewed;
    size_t n_renewed;
    int64_t heartbeat_due_us;
    uint64_t n_heartbeats;
};

static int
compare_members(const void *a, const void *b)
{
    const struct member *x = a;
    const struct member *y = b;

    return strcmp(x->name.s, y->name.s);
}

static int
compare_names(const void *a, const void *b)
{
    const struct name *x = a;
    const struct name *y = b;

    return strcmp(x->s, y->s);
}

static void
add_zone(struct members *m, struct name zone)
{
    for (size_t i = 0; i < m->n_zones; i++) {
        if (name_equal(m->zones[i], zone)) {
            return;
        }
    }
    if (m->n_zones < ZONES_MAX) {
        m->zones[m->n_zones++] = zone;
    }
}

struct members *
members_new(const struct entry *e)
{
    struct members *m = calloc(1, sizeof(*m));

    if (m == NULL) {
        abort();
    }
    m->items = calloc(e->opts.n_peers, sizeof(*m->items));
    m->renewed = calloc(RENEWED_MAX, sizeof(*m->renewed));
    if (m->items == NULL || m->renewed == NULL) {
        abort();
    }
    m->n = e->opts.n_peers;
    for (size_t i = 0; i < m->n; i++) {
        struct member *item = &m->items[i];

        item->name = e->opts.peers[i].name;
        item->zone = e->opts.peers[i].zone;
        item->self = name_equal(item->name, e->opts.self);
        item->up = item->self;
        item->incarnation = item->self ? e->opts.incarnation : 0;
        add_zone(m, item->zone);
    }
    qsort(m->items, m->n, sizeof(*m->items), compare_members);
    qsort(m->zones, m->n_zones, sizeof(*m->zones), compare_names);
    return m;
}

void
members_free(struct members *m)
{
    if (m == NULL) {
        return;
    }
    for (size_t i = 0; i < m->n; i++) {
        free(m->items[i].loads);
    }
    free(m->items);
    free(m->renewed);
    free(m);
}

struct member *
members_by_name(const struct entry *e, struct name name)
{
    struct member key = {.name = name};

    return bsearch(&key, e->members->items, e->members->n, sizeof(key),
                   compare_members);
}

uint16_t
members_index(const struct entry *e, const struct member *m)
{
    return (uint16_t)(m - e->members->items);
}

struct member *
members_by_index(const struct entry *e, uint16_t index)
{
    return &e->members->items[index];
}

struct member *
members_next(const struct entry *e, size_t *at)
{
    if (*at >= e->members->n) {
        return NULL;
    }
    return &e->members->items[(*at)++];
}

const struct name *
members_zones(const struct entry *e, size_t *n)
{
    *n = e->members->n_zones;
    return e->members->zones;
}

size_t
members_voters(const struct entry *e, struct name zone,
               struct name voters[VOTERS_PER_ZONE])
{
    const struct members *m = e->members;
    size_t n = 0;

    for (int own = 1; own >= 0; own--) {
        for (size_t i = 0; i < m->n && n < VOTERS_PER_ZONE; i++) {
            if (name_equal(m->items[i].zone, zone) == (own == 1)) {
                voters[n++] = m->items[i].name;
            }
        }
        /* A zone without instances has no voters, not even of other zones. */
        if (n == 0) {
            return 0;
        }
    }
    return n;
}

void
members_send_to_zone(struct entry *e, struct msg *m)
{
    size_t at = 0;
    struct member *to;

    while ((to = members_next(e, &at)) != NULL) {
        if (!to->self && to->up && name_equal(to->zone, e->zone)) {
            struct msg copy = msg_copy(m);

            entry_send(e, to->name, &copy);
        }
    }
    msg_free(m);
}

void
members_add_renewal(struct entry *e, struct name upstream,
                    uint64_t incarnation, uint32_t busy)
{
    struct members *m = e->members;
    struct rec_upstream_ref *ref = NULL;

    for (size_t i = 0; i < m->n_renewed && ref == NULL; i++) {
        if (name_equal(m->renewed[i].upstream, upstream)) {
            ref = &m->renewed[i];
        }
    }
    if (ref == NULL) {
        if (m->n_renewed == RENEWED_MAX) {
            return;
        }
        ref = &m->renewed[m->n_renewed++];
    }
    ref->upstream = upstream;
    ref->incarnation = incarnation;
    ref->busy = busy;
}

/* Heartbeats go to every instance of the region, mainly to show that this
 * instance is up.  With many services most of their bytes are loads.  This
 * zone needs the loads at once, while other zones only use them to choose
 * lenders when they have no free slots themselves.  So the more services there
 * are, the fewer of the heartbeats to other zones carry loads. */
static bool
remote_loads_due(const struct entry *e, size_t n_loads)
{
    size_t every = (n_loads + REMOTE_LOADS - 1) / REMOTE_LOADS;

    if (every > REMOTE_BEATS_MAX) {
        every = REMOTE_BEATS_MAX;
    }
    return every <= 1 || e->members->n_heartbeats % every == 0;
}

static struct msg
make_heartbeat(struct entry *e, bool loads, bool renewed)
{
    struct msg m = {.kind = MSG_HEARTBEAT};
    struct rec_heartbeat *hb = &m.u.heartbeat;
    struct members *mm = e->members;

    hb->incarnation = e->opts.incarnation;
    hb->stopping = e->stopping ? 1 : 0;
    hb->config_version = entry_config_version(e);
    hb->evacuation = e->evacuated.revision;
    if (loads) {
        hb->has_loads = 1;
        hb->n_loads = dispatch_collect_loads(e, &hb->loads);
    }
    if (renewed && mm->n_renewed > 0) {
        hb->renewed = calloc(mm->n_renewed, sizeof(*hb->renewed));
        if (hb->renewed == NULL) {
            abort();
        }
        memcpy(hb->renewed, mm->renewed, mm->n_renewed * sizeof(*hb->renewed));
        hb->n_renewed = mm->n_renewed;
    }
    return m;
}

/* Sends to every other instance, up or not, since the receiver takes this
 * instance as up from its first heartbeat on.  The renewals go to this zone
 * only, where the holders of the upstreams are. */
static void
send_heartbeats(struct entry *e)
{
    struct msg local = make_heartbeat(e, true, true);
    bool remote_loads = remote_loads_due(e, local.u.heartbeat.n_loads);
    struct msg remote = make_heartbeat(e, remote_loads, false);
    size_t at = 0;
    struct member *to;

    while ((to = members_next(e, &at)) != NULL) {
        struct msg copy;

        if (to->self) {
            continue;
        }
        copy = msg_copy(name_equal(to->zone, e->zone) ? &local : &remote);
        entry_send(e, to->name, &copy);
        successors_send(e, to->name);
    }
    msg_free(&local);
    msg_free(&remote);
    e->members->n_heartbeats++;
    e->members->n_renewed = 0;
    e->members->heartbeat_due_us = e->now.mono_us + e->opts.heartbeat_us;
}

static void
mark_down(struct entry *e, struct member *m, enum reason reason)
{
    m->up = false;
    m->n_loads = 0;
    entry_log(e, LOG_WARNING, reason, NULL, -1, m->name,
              "last heartbeat %lld ms ago",
              (long long)((e->now.mono_us - m->last_seen_us) / USEC_PER_MSEC));
    jobs_member_down(e, m->name);
    dispatch_member_down(e, m->name);
}

static void
mark_up(struct entry *e, struct member *m)
{
    m->up = true;
    entry_log(e, LOG_INFO, REASON_MEMBER_UP, NULL, -1, m->name,
              "incarnation %llu", (unsigned long long)m->incarnation);
    claims_member_up(e, m->name);
    upstreams_on_members_changed(e);
}

bool
members_mark_seen(struct entry *e, struct member *m, uint64_t incarnation)
{
    if (m->self || incarnation < m->incarnation) {
        return false;
    }
    m->last_seen_us = e->now.mono_us;
    if (incarnation > m->incarnation) {
        bool restarted = m->incarnation != 0;

        m->incarnation = incarnation;
        m->stopping = false;
        if (restarted) {
            mark_down(e, m, REASON_MEMBER_RESTARTED);
        }
    }
    if (!m->up) {
        mark_up(e, m);
    }
    return true;
}

static void
store_loads(const struct entry *e, struct member *m,
            const struct rec_heartbeat *hb)
{
    struct rec_load *loads = realloc(
        m->loads, (hb->n_loads > 0 ? hb->n_loads : 1) * sizeof(*loads));

    if (loads == NULL) {
        abort();
    }
    if (hb->n_loads > 0) {
        memcpy(loads, hb->loads, hb->n_loads * sizeof(*loads));
    }
    m->loads = loads;
    m->n_loads = hb->n_loads;
    m->loads_received_us = e->now.mono_us;
}

void
members_on_heartbeat(struct entry *e, struct name from,
                     const struct rec_heartbeat *hb)
{
    struct member *m = members_by_name(e, from);
    bool was_stopping;

    if (m == NULL || !members_mark_seen(e, m, hb->incarnation)) {
        e->counters.messages_bad++;
        return;
    }
    was_stopping = m->stopping;
    m->stopping = hb->stopping != 0;
    m->config_version = hb->config_version;
    m->evacuation = hb->evacuation;
    if (hb->has_loads != 0 || hb->n_loads > 0) {
        store_loads(e, m, hb);
    }
    if (m->stopping != was_stopping) {
        upstreams_on_members_changed(e);
    }
    upstreams_on_renewed(e, hb->renewed, hb->n_renewed);
}

void
members_on_connection(struct entry *e, struct name peer, bool up)
{
    struct member *m = members_by_name(e, peer);
    struct msg hb;

    if (m == NULL || m->self) {
        return;
    }
    if (!up) {
        /* The connection of a process that died breaks, so the member times
         * out after one heartbeat interval, in which it may connect again.
         * Otherwise callers waiting here for jobs that the dead process had
         * claimed would have to wait for the whole member timeout. */
        int64_t heard =
            e->now.mono_us - e->opts.member_timeout_us + e->opts.heartbeat_us;

        m->last_seen_us = heard < m->last_seen_us ? heard : m->last_seen_us;
        return;
    }
    hb = make_heartbeat(e, true, false);
    entry_send(e, peer, &hb);
    successors_send(e, peer);
    if (m->up) {
        claims_member_up(e, peer);
    }
}

void
members_tick(struct entry *e)
{
    size_t at = 0;
    struct member *m;
    bool lost = false;

    while ((m = members_next(e, &at)) != NULL) {
        if (!m->self && m->up &&
            e->now.mono_us - m->last_seen_us >= e->opts.member_timeout_us) {
            mark_down(e, m, REASON_MEMBER_DOWN);
            lost = true;
        }
    }
    if (lost) {
        upstreams_on_members_changed(e);
    }
    if (e->now.mono_us >= e->members->heartbeat_due_us) {
        send_heartbeats(e);
    }
}

int64_t
members_next_us(const struct entry *e)
{
    int64_t next = e->members->heartbeat_due_us;
    size_t at = 0;
    struct member *m;

    while ((m = members_next(e, &at)) != NULL) {
        int64_t down_us = m->last_seen_us + e->opts.member_timeout_us;

        if (!m->self && m->up && down_us < next) {
            next = down_us;
        }
    }
    return next;
}

void
members_announce_stopping(struct entry *e)
{
    struct member *self = members_by_name(e, e->opts.self);

    self->stopping = true;
    send_heartbeats(e);
    upstreams_on_members_changed(e);
}

/* After a pause this instance cannot know which members failed meanwhile.  If
 * the time without heartbeats included the pause, all members would be down at
 * once: callers that wait for jobs claimed by other members would be answered
 * as if their claimers had failed, and this instance would take over every
 * upstream of its zone.  So the timeout of every member starts
 * again, and the loads from before the pause are discarded. */
void
members_after_pause(struct entry *e)
{
    size_t at = 0;
    struct member *m;

    while ((m = members_next(e, &at)) != NULL) {
        m->last_seen_us = e->now.mono_us;
        m->n_loads = 0;
    }
    e->members->heartbeat_due_us = e->now.mono_us;
    /* Jobs whose deadline passed during the pause must not be started. */
    jobs_tick(e);
}
