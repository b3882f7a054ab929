/*
 * The other processes: connections, introductions, rosters, loads, and which
 * brokers of the zone should hold upstreams.
 */
#include <stdlib.h>
#include <string.h>

#include "array.h"
#include "broker_speed.h"
#include "broker_state.h"
#include "load_round.h"

/* A process that has been disconnected, and absent from all rosters, for this
 * time is removed and no longer dialed. */
#define REMOVE_AFTER_US (30 * USEC_PER_SEC)

struct broker_peer *
peers_find(const struct broker *b, struct name name)
{
    return map_get(&b->peers_by_name, &name);
}

static struct broker_peer *
add_peer(struct broker *b, struct name name)
{
    struct broker_peer *p = calloc(1, sizeof(*p));

    if (p == NULL) {
        abort();
    }
    p->name = name;
    p->hash = key_id_of(name.s).lo;
    p->down_us = b->now.mono_us;
    p->next = b->peers;
    b->peers = p;
    map_put(&b->peers_by_name, p);
    return p;
}

static struct broker_peer *
find_or_add(struct broker *b, struct name name)
{
    struct broker_peer *p = peers_find(b, name);

    return p != NULL ? p : add_peer(b, name);
}

static void
free_peer(struct broker_peer *p)
{
    free(p->loads);
    upstream_digest_clear(&p->listed);
    free(p);
}

void
peers_init(struct broker *b)
{
    struct broker_peer *p = add_peer(b, b->opts.self);

    p->self = true;
    p->broker = true;
    p->zone = b->opts.zone;
    p->address = b->opts.address;
    p->incarnation = b->opts.incarnation;
    b->self = p;
    capacity_init(b);
    for (size_t i = 0; i < b->opts.n_registries; i++) {
        const struct rec_instance *r = &b->opts.registries[i];

        p = find_or_add(b, r->name);
        p->registry = true;
        p->address = r->address;
    }
}

void
peers_free(struct broker *b)
{
    while (b->peers != NULL) {
        struct broker_peer *p = b->peers;

        b->peers = p->next;
        free_peer(p);
    }
}

static void
mark_view_changed(struct broker *b)
{
    b->view++;
    b->review_due = true;
    owner_on_peers_changed(b);
}

static void
send_introduction(struct broker *b, struct name to, bool again)
{
    struct msg m = {.kind = MSG_INTRODUCTION};
    struct rec_introduction *i = &m.u.introduction;

    i->zone = b->opts.zone;
    i->address = b->opts.address;
    i->incarnation = b->opts.incarnation;
    i->stopping = b->stopping ? 1 : 0;
    i->holds = b->holds_reported ? 1 : 0;
    i->again = again ? 1 : 0;
    i->evacuation_known = b->evacuated_known ? 1 : 0;
    i->evacuation = b->evacuated.revision;
    i->evacuated = evacuation_copy_zones(&b->evacuated);
    i->n_evacuated = b->evacuated.n_zones;
    broker_send(b, to, &m);
}

static void
clear_loads(struct broker_peer *p)
{
    free(p->loads);
    p->loads = NULL;
    p->n_loads = 0;
}

static void
on_peer_lost(struct broker *b, struct broker_peer *p)
{
    p->up = false;
    p->confirms_fences = false;
    p->no_claims_until_us = 0;
    p->down_us = b->now.mono_us;
    renew_reset_peer(p);
    capacity_on_peer_lost(p);
    clear_loads(p);
    p->last_offer_us = 0;
    p->got_load = false;
    upstream_digest_clear(&p->listed);
    config_registry_lost(b, p);
    broker_log(b, LOG_NOTICE, BROKER_PEER_DOWN, 0, -1, p->name, "%s",
               p->registry ? "registry" : "broker");
    caller_on_runner_lost(b, p->name);
    run_on_taker_lost(b, p->name);
    hold_broker_lost(b, p->name);
    hold_open_confirmed(b);
    mark_view_changed(b);
}

void
peers_on_connection(struct broker *b, struct name name, bool up)
{
    struct broker_peer *p = find_or_add(b, name);

    if (!up) {
        on_peer_lost(b, p);
        return;
    }
    p->up = true;
    p->up_us = b->now.mono_us;
    p->stopping = false;
    p->serves_while_stopping = false;
    p->config_poll_us = b->now.mono_us;
    if (!p->registry) {
        /* Sent before the introduction, by which the other broker may conclude
         * that it should hold these upstreams; it would take them at once. */
        hold_send_held(b, name);
        capacity_declare(b, name);
    }
    send_introduction(b, name, false);
    if (p->registry) {
        fence_on_registry_up(b, p);
    }
    broker_log(b, LOG_NOTICE, BROKER_PEER_UP, 0, -1, name, "%s",
               p->registry ? "registry" : "broker");
}

void
peers_on_introduction(struct broker *b, struct name from,
                      const struct rec_introduction *i)
{
    struct broker_peer *p = find_or_add(b, from);

    if (!p->stopping && i->stopping != 0) {
        broker_log(b, LOG_NOTICE, BROKER_PEER_STOPPING, 0, -1, from, "%s",
                   i->zone.s);
    }
    capacity_on_introduction(b, p, i);
    p->broker = true;
    p->up_us = p->up ? p->up_us : b->now.mono_us;
    p->up = true;
    p->zone = i->zone;
    p->address = i->address;
    p->incarnation = i->incarnation;
    p->stopping = i->stopping != 0;
    if (i->evacuation_known != 0) {
        evacuate_update(b, from, i->evacuation, i->evacuated, i->n_evacuated);
    }
    if (name_equal(p->zone, b->opts.zone)) {
        hold_send_held(b, from);
        speed_send_known(b, from);
    }
    b->next_load_us =
        b->now.mono_us; /* that broker has no load of this one yet */
    mark_view_changed(b);
}

static void
connect_peer(struct broker *b, struct broker_peer *p, struct address address)
{
    struct be_connect *c;

    if (p->self || strcmp(p->address.s, address.s) == 0) {
        return;
    }
    p->address = address;
    c = &broker_effects_add(b->fx, BE_CONNECT)->u.connect;
    c->name = p->name;
    c->address = address;
}

bool
peers_zone_connected(const struct broker *b)
{
    for (const struct broker_peer *p = b->peers; p != NULL; p = p->next) {
        if (!p->registry && !p->self && !p->up &&
            name_equal(p->zone, b->opts.zone)) {
            return false;
        }
    }
    return b->first_roster_us > 0;
}

void
peers_on_roster(struct broker *b, const struct rec_roster *r)
{
    if (b->first_roster_us == 0 && r->n_brokers > 0) {
        b->first_roster_us = b->now.mono_us;
    }
    for (size_t i = 0; i < r->n_brokers; i++) {
        struct broker_peer *p = find_or_add(b, r->brokers[i].name);

        p->zone = r->brokers[i].zone;

        connect_peer(b, p, r->brokers[i].address);
        p->down_us = p->up ? p->down_us : b->now.mono_us;
    }
    for (size_t i = 0; i < r->n_registries; i++) {
        struct broker_peer *p = find_or_add(b, r->registries[i].name);

        if (!p->registry) {
            p->registry = true;
            p->config_poll_us = b->now.mono_us;
        }
        connect_peer(b, p, r->registries[i].address);
    }
}

/* Load */

void
peers_on_load(struct broker *b, struct name from,
              const struct rec_broker_load *l)
{
    struct broker_peer *p = find_or_add(b, from);
    size_t n = l->n_services;

    clear_loads(p);
    p->loads = calloc(n + 1, sizeof(*p->loads));
    if (p->loads == NULL) {
        abort();
    }
    p->n_loads = n;
    for (size_t i = 0; i < n; i++) {
        p->loads[i].reported = l->services[i];
    }
    b->runners_updated = b->runners_updated || n > 0;
    p->serves_while_stopping = l->lingers != 0;
    if (p->stopping != (l->stopping != 0)) {
        p->stopping = l->stopping != 0;
        mark_view_changed(b);
    }
    renew_on_request(b, from, l->sent_us, false);
}

/* Time until the next load: short enough that other brokers can follow the
 * queue, but no more than load_reports_per_s messages in a second. */
static int64_t
next_load_delay_us(const struct broker *b, size_t brokers)
{
    int64_t spread =
        (int64_t)brokers * USEC_PER_SEC / b->opts.load_reports_per_s;

    return spread > b->opts.load_interval_us ? spread
                                             : b->opts.load_interval_us;
}

static size_t
count_connected_brokers(const struct broker *b)
{
    size_t n = 0;

    for (const struct broker_peer *p = b->peers; p != NULL; p = p->next) {
        n += p->broker && p->up ? 1 : 0;
    }
    return n;
}

/* A change that decides whether jobs can be sent here at all goes to all
 * brokers, as does the first report. */
static bool
load_wanted(const struct broker *b, const struct rec_broker_load *l,
            const struct load_round *round, const struct broker_peer *p)
{
    int64_t since_us =
        p->last_offer_us > 0 ? b->now.mono_us - p->last_offer_us : INT64_MAX;

    return !b->opts.idle_loads || l->stopping != 0 || l->n_services == 0 ||
           !b->load_reported || !p->got_load ||
           load_round_includes(round, p->hash, since_us);
}

void
peers_note_offer(struct broker *b, struct name from)
{
    struct broker_peer *p = peers_find(b, from);

    if (p != NULL) {
        p->last_offer_us = b->now.mono_us;
    }
}

/* Returns the number of brokers that a load is reported to. */
static size_t
send_load(struct broker *b)
{
    struct msg m = {.kind = MSG_BROKER_LOAD};
    struct rec_broker_load *l = &m.u.broker_load;
    size_t n = 0;
    struct load_round round = {.number = b->load_rounds++,
                               .brokers = count_connected_brokers(b)};
    bool reported;

    round.interval_us = next_load_delay_us(b, round.brokers);
    for (const struct broker_service *s = b->services; s != NULL;
         s = s->next) {
        n++;
    }
    l->stopping = b->stopping ? 1 : 0;
    l->lingers = b->serves_while_stopping ? 1 : 0;
    l->sent_us = (uint64_t)b->now.mono_us;
    l->services = calloc(n + 1, sizeof(*l->services));
    if (l->services == NULL) {
        abort();
    }
    for (const struct broker_service *s = b->services; s != NULL;
         s = s->next) {
        struct rec_service_load one = order_service_load(b, s);

        if (one.cpu_milli > 0) {
            l->services[l->n_services++] = one;
        }
    }
    reported = l->n_services > 0 || b->load_reported;
    for (struct broker_peer *p = b->peers; p != NULL; p = p->next) {
        if (p->broker && p->up && reported && load_wanted(b, l, &round, p)) {
            struct msg copy = msg_copy(&m);

            broker_send(b, p->name, &copy);
            capacity_send_usage(b, p->name);
            p->last_check_us = b->now.mono_us;
            p->got_load = true;
        }
    }
    if (reported && round.brokers > 0) {
        capacity_usage_sent(b);
    }
    b->load_reported = l->n_services > 0;
    peers_on_load(b, b->opts.self, l);
    msg_free(&m);
    return reported ? round.brokers : 0;
}

void
peers_announce_stop(struct broker *b)
{
    b->self->stopping = true;
    for (struct broker_peer *p = b->peers; p != NULL; p = p->next) {
        if (p->up) {
            send_introduction(b, p->name, true);
        }
    }
    mark_view_changed(b);
}

/* Registries need to know which brokers hold upstreams: only these run jobs,
 * so the rosters of other zones list them first. */
static void
report_holds(struct broker *b)
{
    bool holds = hold_has_any(b);

    if (holds == b->holds_reported) {
        return;
    }
    b->holds_reported = holds;
    for (const struct broker_peer *p = b->peers; p != NULL; p = p->next) {
        if (p->registry && p->up) {
            send_introduction(b, p->name, true);
        }
    }
}

/* Timers */

static void
remove_lost_peers(struct broker *b)
{
    struct broker_peer **at = &b->peers;

    while (*at != NULL) {
        struct broker_peer *p = *at;

        if (p->up || p->self ||
            b->now.mono_us - p->down_us < REMOVE_AFTER_US || p->registry) {
            at = &p->next;
            continue;
        }
        broker_effects_add(b->fx, BE_FORGET)->u.connect.name = p->name;
        *at = p->next;
        (void)map_remove(&b->peers_by_name, &p->name);
        free_peer(p);
    }
}

void
peers_tick(struct broker *b)
{
    if (b->now.mono_us >= b->next_load_us) {
        report_holds(b);
        b->next_load_us = b->now.mono_us + next_load_delay_us(b, send_load(b));
        remove_lost_peers(b);
    }
}

int64_t
peers_next_us(const struct broker *b)
{
    return b->next_load_us;
}

/* Holders */

static bool
can_hold(const struct broker *b, const struct broker_peer *p)
{
    return p->broker && (p->up || p->self) && !p->stopping &&
           name_equal(p->zone, b->opts.zone);
}

bool
peers_have_successor(const struct broker *b)
{
    for (const struct broker_peer *p = b->peers; p != NULL; p = p->next) {
        if (!p->self && can_hold(b, p)) {
            return true;
        }
    }
    return false;
}

bool
peers_can_run_jobs(const struct broker_peer *p)
{
    return (p->up || p->self) && (!p->stopping || p->serves_while_stopping);
}

/* Counts the upstreams of the zone that have not ended, and those that are
 * known and have a service. */
static void
count_zone_upstreams(const struct broker *b, struct holder_plan_options *o)
{
    const struct broker_upstream *u;
    struct handle h;
    uint32_t at = 0;

    while ((u = table_next(&b->upstreams, &at, &h)) != NULL) {
        bool ours = name_equal(u->zone, b->opts.zone);

        o->upstreams += ours && !u->gone ? 1 : 0;
        o->listed += ours && u->service != NULL ? 1 : 0;
    }
}

/* Lists the brokers that can hold upstreams.  Returns their number. */
static size_t
list_candidates(struct broker *b, struct holder_candidate *candidates)
{
    size_t n = 0;

    for (struct broker_peer *p = b->peers; p != NULL; p = p->next) {
        struct instance_capacity c = capacity_of_candidate(b, p);

        if (can_hold(b, p)) {
            candidates[n++] =
                (struct holder_candidate){.cpu_milli = c.cpu_milli,
                                          .link_kbps = c.link_kbps,
                                          .incarnation = p->incarnation,
                                          .name = p->name,
                                          .context = p};
        }
    }
    return n;
}

static size_t
count_peers(const struct broker *b)
{
    size_t n = 0;

    for (const struct broker_peer *p = b->peers; p != NULL; p = p->next) {
        n++;
    }
    return n;
}

static void
add_holder(struct broker *b, const struct holder_candidate *c)
{
    size_t capacity = b->holders_capacity;

    b->holders = array_grow(b->holders, b->n_holders, &b->holders_capacity,
                            sizeof(*b->holders));
    b->quotas =
        array_grow(b->quotas, b->n_holders, &capacity, sizeof(*b->quotas));
    b->holders[b->n_holders].peer = c->context;
    b->quotas[b->n_holders++] = c->share;
}

void
peers_update_holders(struct broker *b)
{
    struct holder_plan_options o = {.upstreams_per_holder =
                                        b->opts.upstreams_per_holder};
    struct holder_candidate *candidates =
        calloc(count_peers(b) + 1, sizeof(*candidates));
    struct holder_plan plan;
    size_t n;

    if (candidates == NULL) {
        abort();
    }
    count_zone_upstreams(b, &o);
    n = list_candidates(b, candidates);
    plan = holder_plan_make(candidates, n, &o);
    b->n_holders = 0;
    for (size_t i = 0; i < plan.n_holders; i++) {
        add_holder(b, &candidates[i]);
    }
    capacity_plan_made(b, plan, candidates);
    free(candidates);
}

void
peers_send_to_zone(struct broker *b, struct msg *m)
{
    for (const struct broker_peer *p = b->peers; p != NULL; p = p->next) {
        if (p->broker && p->up && name_equal(p->zone, b->opts.zone)) {
            struct msg copy = msg_copy(m);

            broker_send(b, p->name, &copy);
        }
    }
    msg_free(m);
}
