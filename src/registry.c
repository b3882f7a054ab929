#include "registry.h"

#include <stdlib.h>
#include <string.h>

#include "array.h"
#include "map.h"
#include "roster.h"
#include "upstream_digest.h"

/* An incarnation with an earlier start time than the known one (the machine's
 * clock was set back in between) is accepted after the known one was silent
 * for this time, in which it missed more than two announcements. */
#define INCARNATION_SILENT_US (4 * USEC_PER_SEC)
/* An upstream that announces itself again after this gap is reported as
 * changed: brokers may have removed it. */
#define REPORT_AGAIN_GAP_US (5 * USEC_PER_SEC)
/* An upstream that missed ten announcements is removed: it announces itself to
 * another registry now, or is gone. */
#define REMOVE_AFTER_US (15 * USEC_PER_SEC)
/* Interval of digests, or of reports of all upstreams to brokers that know no
 * digests; they cost 150 bytes for each upstream and broker. */
#define REPORT_ALL_US (20 * USEC_PER_SEC)
/* A broker that has been disconnected for this time is removed. */
#define BROKER_REMOVE_US (30 * USEC_PER_SEC)
/* New brokers are collected for this time before they are announced to the
 * others: all brokers of a region start within 0.3 s.  A new broker itself
 * gets its roster at once, and connects to the brokers on it. */
#define ROSTER_DELAY_US (200 * USEC_PER_MSEC)
/* Changed upstreams are collected for this time before they are reported.  All
 * upstreams of a region announce themselves within 1.5 s; a message for each
 * to every broker would be most of the brokers' incoming traffic then. */
#define REPORT_DELAY_US (30 * USEC_PER_MSEC)

/* Changes are collected for this time before they are saved: a write takes
 * three syncs, and publications wait behind it.  An upstream that is leaving
 * is saved as soon as it is reported.  Otherwise, after a power loss just
 * then, brokers would give it tasks until its next announcement. */
#define SAVE_DELAY_US (1 * USEC_PER_SEC)

/* An upstream, by its newest announcement. */
struct announced_upstream {
    struct name name; /* first: looked up by it */
    struct rec_leased_upstream info;
    uint64_t listed_sequence; /* see list_item() */
    int64_t last_announced_us;
    bool is_reported; /* whether brokers know the current info */
    struct announced_upstream *next;
};

struct registry {
    struct map by_name;
    struct announced_upstream *upstreams;
    size_t n_upstreams;
    struct roster roster;
    struct name *digest_readers; /* connected brokers that know digests */
    size_t n_digest_readers;
    size_t digest_readers_capacity;
    uint64_t fence;                  /* highest one that a broker has used */
    struct rec_instance *registries; /* from control's membership */
    size_t n_registries;
    int64_t report_all_us; /* when all upstreams are reported next */
    int64_t roster_us;     /* when new brokers are sent; INT64_MAX for none */
    int64_t report_us;     /* when changed upstreams are; INT64_MAX for none */
    int64_t save_us; /* when upstreams are saved; INT64_MAX for no change */
};

struct registry *
registry_new(void)
{
    struct registry *r = calloc(1, sizeof(*r));

    if (r == NULL) {
        abort();
    }
    r->roster_us = INT64_MAX;
    r->report_us = INT64_MAX;
    r->save_us = INT64_MAX;
    map_init(&r->by_name, MAP_NAME);
    return r;
}

static struct rec_leased_upstream
copy_info(const struct rec_leased_upstream *u)
{
    struct msg m = {.kind = MSG_UPSTREAM_REPORT};
    struct msg copy;
    struct rec_leased_upstream one = *u;
    struct rec_leased_upstream out;

    m.u.upstream_report.upstreams = &one;
    m.u.upstream_report.n_upstreams = 1;
    copy = msg_copy(&m);
    out = copy.u.upstream_report.upstreams[0];
    free(copy.u.upstream_report.upstreams);
    return out;
}

static void
free_upstream(struct announced_upstream *u)
{
    free(u->info.labels);
    free(u);
}

void
registry_free(struct registry *r)
{
    if (r == NULL) {
        return;
    }
    while (r->upstreams != NULL) {
        struct announced_upstream *u = r->upstreams;

        r->upstreams = u->next;
        free_upstream(u);
    }
    roster_free(&r->roster);
    map_clear(&r->by_name);
    free(r->digest_readers);
    free(r->registries);
    free(r);
}

/* Sending */

static void
send_to(struct control_effects *fx, struct name to, const struct msg *m)
{
    struct ce_send *s = &control_effects_add(fx, CE_SEND)->u.send;

    s->to = to;
    s->msg = msg_copy(m);
}

static size_t
find_digest_reader(const struct registry *r, struct name name)
{
    size_t i = 0;

    while (i < r->n_digest_readers &&
           !name_equal(r->digest_readers[i], name)) {
        i++;
    }
    return i;
}

static bool
reads_digests(const struct registry *r, const struct roster_broker *b)
{
    return find_digest_reader(r, b->name) < r->n_digest_readers;
}

static void
add_digest_reader(struct registry *r, struct name name)
{
    if (find_digest_reader(r, name) < r->n_digest_readers) {
        return;
    }
    r->digest_readers =
        array_grow(r->digest_readers, r->n_digest_readers,
                   &r->digest_readers_capacity, sizeof(*r->digest_readers));
    r->digest_readers[r->n_digest_readers++] = name;
}

static void
remove_digest_reader(struct registry *r, struct name name)
{
    size_t i = find_digest_reader(r, name);

    if (i < r->n_digest_readers) {
        r->digest_readers[i] = r->digest_readers[--r->n_digest_readers];
    }
}

/* Announcements that change nothing raise the sequence and are not reported.
 * In lists that are compared by digest, an upstream therefore has the sequence
 * with which its current values were announced first. */
static struct rec_leased_upstream
list_item(const struct announced_upstream *u, bool for_digest)
{
    struct rec_leased_upstream item = u->info;

    item.sequence = for_digest ? u->listed_sequence : item.sequence;
    return item;
}

/* Sends a broker the upstreams of its zone, all or only unreported ones.
 * Brokers hold only upstreams of their own zone. */
static void
send_report(const struct registry *r, struct control_effects *fx,
            const struct roster_broker *to, bool unreported_only)
{
    struct msg m = {.kind = MSG_UPSTREAM_REPORT};
    struct rec_leased_upstream *items =
        calloc(r->n_upstreams + 1, sizeof(*items));
    size_t n = 0;

    if (items == NULL) {
        abort();
    }
    for (const struct announced_upstream *u = r->upstreams; u != NULL;
         u = u->next) {
        if (name_equal(u->info.zone, to->info.zone) &&
            !(unreported_only && u->is_reported)) {
            items[n++] = list_item(u, reads_digests(r, to));
        }
    }
    m.u.upstream_report.upstreams = items;
    m.u.upstream_report.n_upstreams = n;
    if (n > 0 || !unreported_only) {
        send_to(fx, to->name, &m);
    }
    free(items);
}

static void
send_digest(const struct registry *r, struct control_effects *fx,
            const struct roster_broker *to)
{
    struct msg m = {.kind = MSG_UPSTREAM_DIGEST};
    struct rec_upstream_digest *d = &m.u.upstream_digest;

    for (const struct announced_upstream *u = r->upstreams; u != NULL;
         u = u->next) {
        if (name_equal(u->info.zone, to->info.zone)) {
            d->count++;
            d->hash += upstream_digest_hash(u->name, u->info.born_ms,
                                            u->listed_sequence);
        }
    }
    send_to(fx, to->name, &m);
}

static void
report_changes(struct registry *r, struct control_effects *fx)
{
    for (const struct roster_broker *b = r->roster.brokers; b != NULL;
         b = b->next) {
        if (b->up) {
            send_report(r, fx, b, true);
        }
    }
    for (struct announced_upstream *u = r->upstreams; u != NULL; u = u->next) {
        u->is_reported = true;
    }
}

static void
schedule_save(struct registry *r, struct moment now, int64_t delay_us)
{
    int64_t at_us = now.mono_us + delay_us;

    r->save_us = at_us < r->save_us ? at_us : r->save_us;
}

static void
mark_changed(struct registry *r, struct announced_upstream *u,
             struct moment now)
{
    u->is_reported = false;
    if (r->report_us == INT64_MAX) {
        r->report_us = now.mono_us + REPORT_DELAY_US;
    }
    schedule_save(r, now,
                  u->info.leaving != 0 ? REPORT_DELAY_US : SAVE_DELAY_US);
}

static void
send_roster(const struct registry *r, struct control_effects *fx,
            const struct roster_broker *to, bool pending_only)
{
    struct msg m = {.kind = MSG_ROSTER};
    struct rec_roster *list = &m.u.roster;

    list->n_brokers =
        roster_select(&r->roster, to, pending_only, &list->brokers);
    if (!pending_only || list->n_brokers > 0) {
        list->registries = r->registries;
        list->n_registries = r->n_registries;
        send_to(fx, to->name, &m);
    }
    free(list->brokers);
}

static void
send_rosters(const struct registry *r, struct control_effects *fx,
             bool pending_only)
{
    for (const struct roster_broker *b = r->roster.brokers; b != NULL;
         b = b->next) {
        if (b->up) {
            send_roster(r, fx, b, pending_only);
        }
    }
}

/* Upstreams */

static bool
is_outdated(const struct announced_upstream *known,
            const struct rec_leased_upstream *u, struct moment now)
{
    if (u->born_ms == known->info.born_ms) {
        return u->sequence <= known->info.sequence;
    }
    return u->born_ms < known->info.born_ms &&
           now.mono_us - known->last_announced_us < INCARNATION_SILENT_US;
}

static bool
is_change(const struct announced_upstream *known,
          const struct rec_leased_upstream *u, struct moment now)
{
    const struct rec_leased_upstream *k = &known->info;

    return k->born_ms != u->born_ms || k->leaving != u->leaving ||
           k->gone != u->gone || k->slots != u->slots ||
           k->cpu_milli != u->cpu_milli || k->memory_mb != u->memory_mb ||
           k->accelerators != u->accelerators ||
           !name_equal(k->service, u->service) ||
           strcmp(k->address.s, u->address.s) != 0 ||
           now.mono_us - known->last_announced_us > REPORT_AGAIN_GAP_US;
}

static struct announced_upstream *
add_upstream(struct registry *r, struct name name)
{
    struct announced_upstream *u = calloc(1, sizeof(*u));

    if (u == NULL) {
        abort();
    }
    u->name = name;
    u->next = r->upstreams;
    r->upstreams = u;
    r->n_upstreams++;
    map_put(&r->by_name, u);
    return u;
}

/* The announcement that an upstream is gone carries nothing else; its other
 * values are kept. */
static enum registry_result
mark_gone(struct registry *r, struct announced_upstream *known,
          const struct rec_leased_upstream *u, struct moment now)
{
    if (known == NULL ||
        (u->born_ms != 0 && u->born_ms != known->info.born_ms)) {
        return REGISTRY_STALE;
    }
    known->info.leaving = 1;
    known->info.gone = 1;
    known->info.sequence++;
    known->listed_sequence = known->info.sequence;
    mark_changed(r, known, now);
    return REGISTRY_CHANGED;
}

enum registry_result
registry_announce(struct registry *r, const struct rec_leased_upstream *u,
                  struct moment now)
{
    struct announced_upstream *known = map_get(&r->by_name, &u->upstream);
    bool changed = known == NULL || is_change(known, u, now);
    /* An announcement between may have reached another registry with other
     * values; brokers that got these from there need this list again. */
    bool skipped = known != NULL && u->sequence > known->info.sequence + 1;

    if (u->gone != 0) {
        return mark_gone(r, known, u, now);
    }
    if (known != NULL && is_outdated(known, u, now)) {
        return REGISTRY_STALE;
    }
    if (known == NULL) {
        known = add_upstream(r, u->upstream);
    }
    free(known->info.labels);
    known->info = copy_info(u);
    known->last_announced_us = now.mono_us;
    if (changed || skipped) {
        known->listed_sequence = u->sequence;
    }
    if (changed) {
        mark_changed(r, known, now);
    }
    return changed ? REGISTRY_CHANGED : REGISTRY_UNCHANGED;
}

void
registry_restore(struct registry *r, const struct rec_upstream_report *saved,
                 struct moment now)
{
    for (size_t i = 0; i < saved->n_upstreams; i++) {
        (void)registry_announce(r, &saved->upstreams[i], now);
    }
}

/* Upstreams that are leaving are not saved: after a restart, brokers would
 * give them tasks until their next announcement. */
static void
save(const struct registry *r, struct control_effects *fx)
{
    struct msg m = {.kind = MSG_UPSTREAM_REPORT};
    struct rec_upstream_report *all = &m.u.upstream_report;

    all->upstreams = calloc(r->n_upstreams + 1, sizeof(*all->upstreams));
    if (all->upstreams == NULL) {
        abort();
    }
    for (const struct announced_upstream *u = r->upstreams; u != NULL;
         u = u->next) {
        if (u->info.leaving == 0 && u->info.gone == 0) {
            all->upstreams[all->n_upstreams++] = u->info;
        }
    }
    control_effects_add(fx, CE_SAVE_UPSTREAMS)->u.upstreams.report =
        msg_copy(&m);
    free(all->upstreams);
}

static void
remove_silent(struct registry *r, struct moment now)
{
    struct announced_upstream **at = &r->upstreams;

    while (*at != NULL) {
        struct announced_upstream *u = *at;

        if (now.mono_us - u->last_announced_us < REMOVE_AFTER_US) {
            at = &u->next;
            continue;
        }
        *at = u->next;
        r->n_upstreams--;
        (void)map_remove(&r->by_name, &u->name);
        free_upstream(u);
        schedule_save(r, now, 0);
    }
}

/* Brokers */

static void
on_introduction(struct registry *r, struct name from,
                const struct rec_introduction *i, struct moment now,
                struct control_effects *fx)
{
    struct roster_broker *b = roster_update(&r->roster, from, i, now.mono_us);

    if (b->announce_pending && r->roster_us == INT64_MAX) {
        r->roster_us = now.mono_us + ROSTER_DELAY_US;
    }
    if (i->again == 0) {
        send_roster(r, fx, b, false);
        send_report(r, fx, b, false);
    }
}

/* Replies with the highest fence, which confirms the sender's and tells a
 * broker that starts what to exceed. */
static void
on_fence_record(struct registry *r, struct name from,
                const struct rec_fence_record *f, struct control_effects *fx)
{
    struct msg m = {.kind = MSG_FENCE_RECORD};

    r->fence = f->fence > r->fence ? f->fence : r->fence;
    m.u.fence_record.fence = r->fence;
    send_to(fx, from, &m);
}

static void
on_upstream_request(const struct registry *r, struct name from,
                    struct control_effects *fx)
{
    const struct roster_broker *b = roster_find(&r->roster, from);

    if (b != NULL && b->up) {
        send_report(r, fx, b, false);
    }
}

bool
registry_on_message(struct registry *r, struct name from, const struct msg *m,
                    struct moment now, struct control_effects *fx)
{
    switch (m->kind) {
    case MSG_INTRODUCTION:
        on_introduction(r, from, &m->u.introduction, now, fx);
        return true;
    case MSG_FENCE_RECORD:
        on_fence_record(r, from, &m->u.fence_record, fx);
        return true;
    case MSG_HEARTBEAT_INTERVAL:
        /* Builds that send it know digests. */
        add_digest_reader(r, from);
        return true;
    case MSG_UPSTREAM_REQUEST:
        on_upstream_request(r, from, fx);
        return true;
    default:
        return false;
    }
}

void
registry_set_members(struct registry *r, const struct rec_membership *m,
                     struct control_effects *fx)
{
    free(r->registries);
    r->registries = calloc(m->n_members + 1, sizeof(*r->registries));
    if (r->registries == NULL) {
        abort();
    }
    r->n_registries = 0;
    for (size_t i = 0; i < m->n_members; i++) {
        struct rec_instance *other = &r->registries[r->n_registries++];

        other->name = m->members[i].name;
        other->address = m->members[i].address;
    }
    send_rosters(r, fx, false);
}

void
registry_on_connection(struct registry *r, struct name peer, bool up,
                       struct moment now)
{
    struct roster_broker *b = roster_find(&r->roster, peer);

    remove_digest_reader(r, peer);
    if (b != NULL && !up) {
        b->up = false;
        b->changed_us = now.mono_us;
    }
}

static void
send_all(struct registry *r, struct moment now, struct control_effects *fx)
{
    remove_silent(r, now);
    roster_remove_stale(&r->roster, now.mono_us - BROKER_REMOVE_US);
    send_rosters(r, fx, false);
    if (r->report_us != INT64_MAX && r->n_digest_readers > 0) {
        /* A digest must not be ahead of the changes. */
        r->report_us = INT64_MAX;
        report_changes(r, fx);
    }
    for (const struct roster_broker *b = r->roster.brokers; b != NULL;
         b = b->next) {
        if (b->up && reads_digests(r, b)) {
            send_digest(r, fx, b);
        }
        else if (b->up) {
            send_report(r, fx, b, false);
        }
    }
}

void
registry_tick(struct registry *r, struct moment now,
              struct control_effects *fx)
{
    if (now.mono_us >= r->report_us) {
        r->report_us = INT64_MAX;
        report_changes(r, fx);
    }
    if (now.mono_us >= r->save_us) {
        r->save_us = INT64_MAX;
        save(r, fx);
    }
    if (now.mono_us >= r->roster_us) {
        r->roster_us = INT64_MAX;
        send_rosters(r, fx, true);
        roster_mark_announced(&r->roster);
    }
    if (now.mono_us >= r->report_all_us) {
        r->report_all_us = now.mono_us + REPORT_ALL_US;
        send_all(r, now, fx);
    }
}

int64_t
registry_next_us(const struct registry *r)
{
    int64_t at =
        r->roster_us < r->report_all_us ? r->roster_us : r->report_all_us;

    at = r->report_us < at ? r->report_us : at;
    return r->save_us < at ? r->save_us : at;
}

struct registry_gauges
registry_gauges(const struct registry *r)
{
    struct registry_gauges g = {.upstreams = r->n_upstreams};

    for (const struct roster_broker *b = r->roster.brokers; b != NULL;
         b = b->next) {
        g.brokers_up += b->up ? 1 : 0;
    }
    return g;
}
