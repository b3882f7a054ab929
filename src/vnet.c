#include "vnet.h"

#include <stdarg.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#define WALL_BASE_US INT64_C(1764720000000000)
#define TICK_MIN_US 200 /* shells do not wake up more often */
#define RESTART_US (20 * USEC_PER_MSEC)

struct vnet_options
vnet_options_default(void)
{
    struct vnet_options o = {
        .zones = 3,
        .instances = 2,
        .upstreams = 16,
        .slots = 8,
        .connections = 64,
        .rack = 8,
        .seed = 1,
        .zone_us = 200,
        .far_us = 1400,
        .client_us = 1000,
        .services = 1,
        .entry = entry_options_default(),
        .control = control_options_default(),
    };

    o.entry.new_region = true;
    o.control.election_timeout_us = 300 * USEC_PER_MSEC;
    o.control.heartbeat_interval_us = 100 * USEC_PER_MSEC;
    o.service = (struct service_conf){
        .name = name_of("allocation"),
        .team = name_of("camps"),
        .need = {1000, 1024, 0},
        .run_us = 300 * USEC_PER_MSEC,
        .deadline_us = 30 * USEC_PER_SEC,
        .deadline_max_us = 120 * USEC_PER_SEC,
        .max_tasks = JOB_TASKS_MAX,
        .max_queued = 20000,
        .spill = true,
    };
    return o;
}

void *
vnet_grow(void *items, size_t n, size_t *room, size_t size)
{
    if (n < *room) {
        return items;
    }
    *room = *room > 0 ? *room * 2 : 64;
    items = realloc(items, *room * size);
    if (items == NULL) {
        abort();
    }
    return items;
}

static void *
zeroed(size_t n, size_t size)
{
    void *p = calloc(n > 0 ? n : 1, size);

    if (p == NULL) {
        abort();
    }
    return p;
}

struct moment
vnet_moment(const struct vnet *n)
{
    return (struct moment){.mono_us = n->now_us,
                           .wall_us = n->now_us + WALL_BASE_US};
}

void
vnet_break(struct vnet *n, enum promise p, const char *format, ...)
{
    va_list args;

    if (n->first_broken[0] == '\0') {
        va_start(args, format);
        (void)vsnprintf(n->first_broken, sizeof(n->first_broken), format,
                        args);
        va_end(args);
    }
    n->broken[p]++;
}

uint64_t
vnet_job(const struct vnet *n, struct key_id id)
{
    const struct vkey *k = map_get(&n->keys_by_id, &id);

    return k != NULL ? k->job : 0;
}

struct vcall *
vnet_call(const struct vnet *n, uint64_t job)
{
    return &n->calls[job - 1];
}

static void
arrive(struct vnet *n, struct hop *h)
{
    (void)vhop_ask(n, POINT_ARRIVES, h, &h->at_us);
    switch (h->to.role) {
    case END_INSTANCE:
        varrive_at_instance(n, h);
        break;
    case END_UPSTREAM:
        if (h->kind == HOP_ALARM) {
            vupstream_alarm(n, h);
        }
        else if (h->kind == HOP_RUN_END) {
            vupstream_run_end(n, h);
        }
        else {
            vupstream_arrives(n, h);
        }
        break;
    case END_CONTROL:
        vcontrol_arrives(n, h);
        break;
    case END_OPERATOR:
        voperator_arrives(n, h);
        break;
    case END_CALLER:
        if (h->kind == HOP_ALARM) {
            vcaller_alarm(n, h);
        }
        else if (h->kind == HOP_RESET) {
            vcaller_reset(n, h);
        }
        else {
            vcaller_arrives(n, h);
        }
        break;
    default:
        if (n->script != NULL) {
            n->script(n, h);
        }
        break;
    }
}

/* ---- time ---- */

static struct vinstance *
next_tick(struct vnet *n, int64_t *at_us)
{
    struct vinstance *first = NULL;

    *at_us = INT64_MAX;
    for (uint32_t i = 0; i < n->n_instances; i++) {
        struct vinstance *v = &n->instances[i];
        int64_t us;

        if (v->entry == NULL) {
            continue;
        }
        us = entry_next_us(v->entry);
        us = us > v->tick_us + TICK_MIN_US ? us : v->tick_us + TICK_MIN_US;
        us = us > v->paused_until_us ? us : v->paused_until_us;
        if (us < *at_us) {
            *at_us = us;
            first = v;
        }
    }
    return first;
}

void
vnet_run(struct vnet *n, int64_t until_us)
{
    for (;;) {
        int64_t tick_us;
        struct vinstance *v = next_tick(n, &tick_us);
        uint32_t control = 0;
        int64_t control_us = vcontrol_next_us(n, &control);
        int64_t hop_us = n->n_heap > 0 ? n->heap[0].at_us : INT64_MAX;

        if (tick_us >= until_us && control_us >= until_us &&
            hop_us >= until_us) {
            break;
        }
        if (hop_us <= tick_us && hop_us <= control_us) {
            struct hop h = vhop_pop(n);

            n->now_us = h.at_us > n->now_us ? h.at_us : n->now_us;
            arrive(n, &h);
            vhop_clear(&h);
        }
        else if (control_us <= tick_us) {
            n->now_us = control_us > n->now_us ? control_us : n->now_us;
            vcontrol_tick(n, control);
        }
        else {
            struct event ev = {.kind = EV_TICK};

            n->now_us = tick_us > n->now_us ? tick_us : n->now_us;
            v->tick_us = n->now_us;
            (void)vnet_deliver(n, (uint32_t)(v - n->instances), &ev);
        }
    }
    n->now_us = until_us;
}

/* ---- processes ---- */

static void
begin_instance(struct vnet *n, uint32_t i, bool first)
{
    struct vinstance *v = &n->instances[i];
    struct entry_options o = n->opts.entry;
    struct end self = {END_INSTANCE, i};

    v->life++;
    o.self = v->name;
    o.incarnation = v->life;
    o.peers = n->peers;
    o.n_peers = n->n_instances;
    o.controls = n->control_names;
    o.n_controls = VCONTROLS;
    o.seed = n->opts.seed * 1000 + i + v->life * 131;
    o.new_region = o.new_region && first;
    v->entry = entry_new(&o);
    if (v->entry == NULL) {
        abort();
    }
    v->version = 0;
    v->stopping = false;
    v->stopped = false;
    v->paused_until_us = 0;
    v->tick_us = n->now_us;
    for (uint32_t p = 0; p < n->n_instances; p++) {
        if (p == i || n->instances[p].entry == NULL) {
            continue;
        }
        vnet_add(n, HOP_PEER, self, (struct end){END_INSTANCE, p}, RESTART_US)
            ->ok = true;
        vnet_add(n, HOP_PEER, (struct end){END_INSTANCE, p}, self, RESTART_US)
            ->ok = true;
    }
}

void
vnet_kill(struct vnet *n, uint32_t instance)
{
    struct vinstance *v = &n->instances[instance];

    if (v->entry == NULL) {
        return;
    }
    entry_free(v->entry);
    v->entry = NULL;
    vcaller_instance_died(n, instance, false);
    for (uint32_t p = 0; p < n->n_instances; p++) {
        if (p != instance) {
            (void)vnet_add(n, HOP_PEER, (struct end){END_INSTANCE, instance},
                           (struct end){END_INSTANCE, p}, n->opts.far_us);
        }
    }
}

void
vnet_restart(struct vnet *n, uint32_t instance)
{
    vnet_kill(n, instance);
    begin_instance(n, instance, false);
}

void
vnet_pause(struct vnet *n, uint32_t instance, int64_t us)
{
    n->instances[instance].paused_until_us = n->now_us + us;
}

void
vnet_stop(struct vnet *n, uint32_t instance)
{
    struct event ev = {.kind = EV_STOP};

    n->instances[instance].stopping = true;
    (void)vnet_deliver(n, instance, &ev);
}

void
vnet_cut(struct vnet *n, uint32_t zone, int64_t us)
{
    n->cut_until_us[zone] = n->now_us + us;
}

/* ---- construction ---- */

static void
name_processes(struct vnet *n)
{
    const struct vnet_options *o = &n->opts;

    for (uint32_t i = 0; i < n->n_instances; i++) {
        struct vinstance *v = &n->instances[i];

        v->zone = i / o->instances;
        (void)snprintf(v->name.s, sizeof(v->name.s), "e%02u", i + 1);
        v->life = (uint64_t)i << 8;
        n->peers[i].name = v->name;
        (void)snprintf(n->peers[i].zone.s, sizeof(n->peers[i].zone.s),
                       "zone-%c", 'a' + (char)v->zone);
    }
    for (uint32_t i = 0; i < n->n_upstreams; i++) {
        struct vupstream *u = &n->upstreams[i];

        u->zone = i / o->upstreams;
        u->rack = i / o->rack;
        u->slots = o->slots;
        u->slow = 1;
        u->incarnation = 1;
        (void)snprintf(u->name.s, sizeof(u->name.s), "z%u-u%03u", u->zone,
                       i % o->upstreams);
    }
}

static void
make_config(struct vnet *n)
{
    uint32_t services = n->opts.services;

    n->services = zeroed(services, sizeof(*n->services));
    for (uint32_t i = 0; i < services; i++) {
        n->services[i] = n->opts.service;
        if (i > 0) {
            (void)snprintf(n->services[i].name.s, NAME_SIZE, "service-%03u",
                           i);
        }
    }
    n->team = (struct team_conf){.name = n->opts.service.team, .weight = 1};
    n->config = (struct config){.version = 1,
                                .services = n->services,
                                .n_services = services,
                                .teams = &n->team,
                                .n_teams = 1};
}

struct vnet *
vnet_new(const struct vnet_options *o)
{
    struct vnet *n = zeroed(1, sizeof(*n));

    n->opts = *o;
    n->rng = gsl_rng_alloc(gsl_rng_mt19937);
    gsl_rng_set(n->rng, o->seed);
    n->n_instances = o->zones * o->instances;
    n->n_upstreams = o->zones * o->upstreams;
    n->peers = zeroed(n->n_instances, sizeof(*n->peers));
    n->instances = zeroed(n->n_instances, sizeof(*n->instances));
    n->upstreams = zeroed(n->n_upstreams, sizeof(*n->upstreams));
    table_init(&n->open, sizeof(struct vopen));
    map_init(&n->open_by_id, MAP_U64);
    table_init(&n->keys, sizeof(struct vkey));
    map_init(&n->keys_by_id, MAP_KEY_ID);
    make_config(n);
    name_processes(n);
    vcontrol_begin(n);
    for (uint32_t i = 0; i < n->n_instances; i++) {
        begin_instance(n, i, true);
    }
    for (uint32_t i = 0; i < n->n_upstreams; i++) {
        vupstream_begin(n, i);
    }
    return n;
}

static void
free_calls(struct vnet *n)
{
    for (size_t i = 0; i < n->n_calls; i++) {
        free(n->calls[i].tasks);
        job_answer_free(n->calls[i].answer);
    }
    free(n->calls);
    free(n->attempts);
    free(n->starts);
}

void
vnet_free(struct vnet *n)
{
    for (uint32_t i = 0; i < n->n_instances; i++) {
        entry_free(n->instances[i].entry);
    }
    for (uint32_t i = 0; i < n->n_upstreams; i++) {
        free(n->upstreams[i].tombstones);
    }
    for (size_t i = 0; i < n->n_heap; i++) {
        vhop_clear(&n->heap[i]);
    }
    free_calls(n);
    vcontrol_end(n);
    voperator_end(n);
    free(n->heap);
    free(n->peers);
    free(n->instances);
    free(n->upstreams);
    free(n->services);
    map_clear(&n->open_by_id);
    table_clear(&n->open);
    map_clear(&n->keys_by_id);
    table_clear(&n->keys);
    effects_free(&n->fx);
    gsl_rng_free(n->rng);
    free(n);
}
