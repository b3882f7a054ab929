#include "upstream.h"

#include <stdlib.h>
#include <string.h>
#include <syslog.h>

#include "dispatch.h"
#include "health.h"
#include "holder.h"
#include "slot.h"
#include "map.h"
#include "member.h"

enum {
    SLOTS_MAX = 1024, /* slots of one upstream */
};

/** struct notified - the incarnation of a member that was sent all upstreams
 */
struct notified {
    struct name member;
    uint64_t incarnation;
};

struct upstreams {
    struct table table;
    struct map by_name;
    struct notified notified[INSTANCES_MAX];
    size_t n_notified;
    int64_t next_us; /* when upstreams_tick() is next due */
};

struct upstreams *
upstreams_new(const struct entry *e)
{
    struct upstreams *u = calloc(1, sizeof(*u));

    (void)e;
    if (u == NULL) {
        abort();
    }
    table_init(&u->table, sizeof(struct upstream));
    map_init(&u->by_name, MAP_NAME);
    u->next_us = INT64_MAX;
    return u;
}

void
upstreams_free(struct upstreams *u)
{
    struct upstream *one;
    struct handle h;
    uint32_t at = 0;

    if (u == NULL) {
        return;
    }
    while ((one = table_next(&u->table, &at, &h)) != NULL) {
        health_free(one->health);
    }
    map_clear(&u->by_name);
    table_clear(&u->table);
    free(u);
}

struct upstream *
upstreams_get(const struct entry *e, struct handle h)
{
    return table_get(&e->upstreams->table, h);
}

struct upstream *
upstreams_by_name(const struct entry *e, struct name name)
{
    return map_get(&e->upstreams->by_name, &name);
}

struct upstream *
upstreams_next(const struct entry *e, uint32_t *at)
{
    struct handle h;

    return table_next(&e->upstreams->table, at, &h);
}

/* Timers */

void
upstreams_wake_at(struct entry *e, int64_t us)
{
    if (us < e->upstreams->next_us) {
        e->upstreams->next_us = us;
    }
}

int64_t
upstreams_next_us(const struct entry *e)
{
    return e->upstreams->next_us;
}

/* Notification of the zone */

void
upstreams_notify_zone(struct entry *e, const struct upstream *u)
{
    struct msg m = {.kind = MSG_UPSTREAM_NEWS};
    struct rec_upstream_news *news = &m.u.upstream_news;

    news->upstreams = malloc(sizeof(*news->upstreams));
    if (news->upstreams == NULL) {
        abort();
    }
    news->upstreams[0] = u->info;
    news->n_upstreams = 1;
    members_send_to_zone(e, &m);
}

/* Announcement and removal */

static struct upstream *
add_upstream(struct entry *e, const struct rec_upstream_info *info)
{
    struct upstreams *us = e->upstreams;
    struct handle h;
    struct upstream *u = table_add(&us->table, &h);

    u->name = info->upstream;
    u->self = h;
    u->info = *info;
    u->renewed_us = e->now.mono_us;
    u->health = health_new();
    map_put(&us->by_name, u);
    entry_log(e, LOG_INFO, REASON_ANNOUNCED, NULL, -1, u->name,
              "service %s, %llu slots, incarnation %llu", info->service.s,
              (unsigned long long)info->slots,
              (unsigned long long)info->incarnation);
    return u;
}

static void
remove_upstream(struct entry *e, struct upstream *u, enum reason reason)
{
    struct upstreams *us = e->upstreams;
    struct handle h = u->self;
    struct name name = u->name;

    holders_end_hold(e, u);
    entry_log(e, LOG_NOTICE, reason, NULL, -1, u->name, "incarnation %llu",
              (unsigned long long)u->info.incarnation);
    dispatch_upstream_gone(e, h);
    health_free(u->health);
    (void)map_remove(&us->by_name, &name);
    table_remove(&us->table, h);
}

/** announce_error() - error text for an announcement; NULL if it is valid */
static const char *
announce_error(const struct entry *e, const struct rec_upstream_info *info)
{
    if (name_empty(info->upstream) || name_empty(info->service)) {
        return "name and service are required";
    }
    if (!name_equal(info->zone, e->zone)) {
        return "announce at an entry instance of the upstream's own zone";
    }
    if (info->address.s[0] == '\0') {
        return "address is required";
    }
    if (info->slots < 1 || info->slots > SLOTS_MAX) {
        return "slots must be 1 to 1024";
    }
    if (info->connections < 1 || info->connections > UINT32_MAX) {
        return "connections must be at least 1";
    }
    if (info->cpu_milli > UINT32_MAX || info->memory_mb > UINT32_MAX ||
        info->accelerators > UINT32_MAX) {
        return "a size is too large";
    }
    if (info->incarnation == 0) {
        return "incarnation must be above 0";
    }
    return NULL;
}

static bool
same_info(const struct rec_upstream_info *a, const struct rec_upstream_info *b)
{
    return name_equal(a->rack, b->rack) &&
           name_equal(a->service, b->service) &&
           strcmp(a->address.s, b->address.s) == 0 && a->slots == b->slots &&
           a->connections == b->connections && a->cpu_milli == b->cpu_milli &&
           a->memory_mb == b->memory_mb &&
           a->accelerators == b->accelerators && a->leaving == b->leaving;
}

/** record_report() - records a report of an upstream's running tasks.  The
 * number of foreign tasks is only ever lowered: none can be started under the
 * epoch of this instance, and a report is older than the local counts. */
static void
record_report(struct entry *e, struct upstream *u, uint64_t busy)
{
    uint32_t own = u->running + u->lent;
    uint32_t foreign = busy > own ? (uint32_t)(busy - own) : 0;

    u->renewed_us = e->now.mono_us;
    u->info.busy = busy;
    if (foreign < u->foreign_busy) {
        u->foreign_busy = foreign;
        dispatch_upstream_changed(e, u);
    }
}

/** merge_info() - updates the record of an incarnation from an announcement or
 * another member's record; returns whether anything but the renewal time and
 * the number of running tasks changed */
static bool
merge_info(struct entry *e, struct upstream *u,
           const struct rec_upstream_info *new)
{
    struct rec_upstream_info info = *new;

    /* A drained upstream goes on announcing itself as not leaving. */
    info.leaving |= u->info.leaving;
    info.epoch = u->info.epoch;
    info.holder = u->info.holder;
    info.quarantined = u->info.quarantined;
    record_report(e, u, new->busy);
    if (same_info(&u->info, &info)) {
        return false;
    }
    u->info = info;
    dispatch_upstream_changed(e, u);
    return true;
}

/** find_or_add() - finds or adds the record of an incarnation, and removes
 * that of an earlier one; NULL if a later incarnation is known.  *@changed is
 * set to whether other members must be notified. */
static struct upstream *
find_or_add(struct entry *e, const struct rec_upstream_info *info,
            bool *changed)
{
    struct upstream *u = upstreams_by_name(e, info->upstream);
    uint64_t epoch = info->epoch;

    if (u != NULL && info->incarnation < u->info.incarnation) {
        return NULL;
    }
    if (u != NULL && info->incarnation > u->info.incarnation) {
        epoch = u->info.epoch > epoch ? u->info.epoch : epoch;
        remove_upstream(e, u, REASON_REPLACED);
        u = NULL;
    }
    if (u != NULL) {
        *changed = merge_info(e, u, info);
        return u;
    }
    *changed = true;
    u = add_upstream(e, info);
    u->info.epoch = epoch;
    upstreams_wake_at(e, u->renewed_us + e->opts.upstream_ttl_us);
    dispatch_upstream_changed(e, u);
    return u;
}

static void
reply_announced(struct entry *e, uint64_t request, const struct upstream *u)
{
    struct ef_announced *a;

    if (request == REQUEST_NONE) {
        return;
    }
    a = &effects_add(e->fx, EF_ANNOUNCED)->u.announced;
    a->request = request;
    a->renew_us = e->opts.renew_us;
    if (u != NULL) {
        a->holder = u->info.holder;
    }
}

void
upstreams_on_announce(struct entry *e, const struct ev_announce *ev)
{
    struct rec_upstream_info info = ev->info;
    const char *error = announce_error(e, &info);
    struct upstream *u;
    bool changed;

    if (error != NULL) {
        entry_refuse(e, ev->request, PROBLEM_BAD_ANNOUNCE, 0, error);
        return;
    }
    if (!dispatch_accepts_service(e, info.service)) {
        entry_refuse(e, ev->request, PROBLEM_OVERLOADED, e->opts.renew_us,
                     "too many services without a configuration");
        return;
    }
    info.epoch = 0;
    info.holder = name_of("");
    info.quarantined = 0;
    u = find_or_add(e, &info, &changed);
    if (u == NULL) {
        entry_refuse(e, ev->request, PROBLEM_STALE_LIFE, 0,
                     "a newer incarnation has announced itself");
        return;
    }
    if (changed) {
        upstreams_notify_zone(e, u);
    }
    else {
        members_add_renewal(e, u->name, u->info.incarnation,
                            (uint32_t)u->info.busy);
    }
    holders_try_fence(e, u);
    reply_announced(e, ev->request, u);
}

static void
set_leaving(struct entry *e, struct upstream *u)
{
    if (u->info.leaving) {
        return;
    }
    u->info.leaving = MUTANT(e, STAY) ? 0 : 1;
    entry_log(e, LOG_INFO, REASON_LEAVING, NULL, -1, u->name,
              "no new tasks; %u started by this instance still run",
              u->running);
    dispatch_upstream_changed(e, u);
    upstreams_notify_zone(e, u);
}

void
upstreams_on_leave(struct entry *e, const struct ev_announce *ev)
{
    struct upstream *u = upstreams_by_name(e, ev->info.upstream);

    if (u != NULL && ev->info.incarnation < u->info.incarnation) {
        entry_refuse(e, ev->request, PROBLEM_STALE_LIFE, 0,
                     "a newer incarnation has announced itself");
        return;
    }
    if (u != NULL && ev->info.incarnation == u->info.incarnation) {
        set_leaving(e, u);
    }
    reply_announced(e, ev->request, u);
}

void
upstreams_on_drain(struct entry *e, const struct ev_drain *ev)
{
    struct upstream *u = upstreams_by_name(e, ev->upstream);

    if (u == NULL) {
        entry_refuse(e, ev->request, PROBLEM_NOT_FOUND, 0,
                     "no upstream of that name is known here");
        return;
    }
    set_leaving(e, u);
    reply_announced(e, ev->request, u);
}

/* Messages from other members */

void
upstreams_on_news(struct entry *e, struct name from,
                  const struct rec_upstream_news *news)
{
    for (size_t i = 0; i < news->n_upstreams; i++) {
        const struct rec_upstream_info *info = &news->upstreams[i];
        struct upstream *u;
        bool changed;

        if (announce_error(e, info) != NULL) {
            e->counters.messages_bad++;
            entry_log(e, LOG_WARNING, REASON_BAD_MESSAGE, NULL, -1, from, "%s",
                      announce_error(e, info));
            continue;
        }
        u = find_or_add(e, info, &changed);
        if (u != NULL) {
            holders_merge_info(e, u, info);
            health_on_report(e, u, info->quarantined != 0);
            holders_try_fence(e, u);
        }
    }
}

void
upstreams_on_renewed(struct entry *e, const struct rec_upstream_ref *refs,
                     size_t n)
{
    for (size_t i = 0; i < n; i++) {
        struct upstream *u = upstreams_by_name(e, refs[i].upstream);

        if (u != NULL && u->info.incarnation == refs[i].incarnation) {
            record_report(e, u, refs[i].busy);
        }
    }
}

/* Members */

static struct notified *
notified_of(struct upstreams *us, struct name member)
{
    for (size_t i = 0; i < us->n_notified; i++) {
        if (name_equal(us->notified[i].member, member)) {
            return &us->notified[i];
        }
    }
    us->notified[us->n_notified].member = member;
    return &us->notified[us->n_notified++];
}

/** sends_to_new_members() - whether this instance sends an upstream to new
 * members: an upstream is sent by its holder, or by every instance if it has
 * none */
static bool
sends_to_new_members(const struct entry *e, const struct upstream *u)
{
    const struct member *holder = members_by_name(e, u->info.holder);

    return u->held || holder == NULL || !holder->up;
}

static void
send_upstreams(struct entry *e, struct name to)
{
    struct msg m = {.kind = MSG_UPSTREAM_NEWS};
    struct rec_upstream_news *news = &m.u.upstream_news;
    struct upstream *u;
    uint32_t at = 0;

    news->upstreams =
        calloc(e->upstreams->table.n + 1, sizeof(*news->upstreams));
    if (news->upstreams == NULL) {
        abort();
    }
    while ((u = upstreams_next(e, &at)) != NULL) {
        if (sends_to_new_members(e, u)) {
            news->upstreams[news->n_upstreams++] = u->info;
        }
    }
    if (news->n_upstreams == 0) {
        msg_free(&m);
        return;
    }
    entry_send(e, to, &m);
}

/** send_to_new_members() - sends all upstreams to members that came up.  An
 * instance that restarted knows no upstream, and would otherwise refuse every
 * job until the upstreams have announced themselves to it again. */
static void
send_to_new_members(struct entry *e)
{
    struct member *m;
    size_t at = 0;

    while ((m = members_next(e, &at)) != NULL) {
        struct notified *t;

        if (m->self || !name_equal(m->zone, e->zone)) {
            continue;
        }
        t = notified_of(e->upstreams, m->name);
        if (!m->up) {
            t->incarnation = 0;
            continue;
        }
        if (t->incarnation != m->incarnation) {
            t->incarnation = m->incarnation;
            send_upstreams(e, m->name);
        }
    }
}

void
upstreams_on_members_changed(struct entry *e)
{
    struct upstream *u;
    uint32_t at = 0;

    send_to_new_members(e);
    while ((u = upstreams_next(e, &at)) != NULL) {
        holders_try_fence(e, u);
    }
}

/* Expiry */

void
upstreams_tick(struct entry *e)
{
    struct upstream *u;
    uint32_t at = 0;

    if (e->now.mono_us < e->upstreams->next_us) {
        return;
    }
    e->upstreams->next_us = INT64_MAX;
    while ((u = upstreams_next(e, &at)) != NULL) {
        int64_t ends_us = u->renewed_us + e->opts.upstream_ttl_us;

        if (ends_us <= e->now.mono_us) {
            remove_upstream(e, u, REASON_EXPIRED);
            continue;
        }
        upstreams_wake_at(e, ends_us);
        holders_try_fence(e, u);
    }
}

uint32_t
upstreams_usable_slots(const struct upstream *u)
{
    uint64_t connections = u->info.connections;

    /* One connection is reserved for fences and revokes. */
    if (connections > 1) {
        connections--;
    }
    return (uint32_t)(u->info.slots < connections ? u->info.slots
                                                  : connections);
}

uint32_t
upstreams_free_slots_on(const struct upstream *u)
{
    uint32_t usable = upstreams_usable_slots(u);
    uint32_t taken = u->foreign_busy + u->running + u->lent;

    return taken < usable ? usable - taken : 0;
}

uint32_t
upstreams_service_free_slots(const struct entry *e, struct name service)
{
    const struct upstream *u;
    uint32_t free_slots = 0;
    uint32_t at = 0;

    while ((u = upstreams_next(e, &at)) != NULL) {
        if (u->held && !u->info.leaving &&
            name_equal(u->info.service, service)) {
            free_slots += upstreams_free_slots_on(u);
        }
    }
    return free_slots;
}
