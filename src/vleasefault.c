/* Faults of the virtual region's processes: deaths, stops, pauses, cuts, and
 * the loss of all power. */
#include <string.h>

#include "vlease_state.h"

/* Connections of a process that died are reset so soon. */
#define RESET_US 200
/* A silent connection is noticed after three heartbeats. */
#define SILENCE_US (750 * USEC_PER_MSEC)
#define CONNECT_US (50 * USEC_PER_MSEC)
/* A broker that wakes looks for callers that left only after other things. */
#define POLL_LATE_US (5 * USEC_PER_MSEC)

/* A process learns that another is there, or is gone. */
static void
tell(struct vlease *v, struct vprocess *to, struct vprocess *of, bool up,
     int64_t after_us)
{
    struct vevent *e = vlease_at(v, v->now_us + after_us, VEV_PEER);

    e->to = to->number;
    e->from = of->number;
    e->life = to->life;
    e->up = up;
}

static void
tell_down(struct vlease *v, struct vprocess *p, int64_t after_us)
{
    for (uint32_t i = 0; i < v->n_processes; i++) {
        struct vprocess *other = &v->processes[i];

        if (other != p && !other->down) {
            tell(v, other, p, false, after_us);
        }
    }
}

static void
connect_pair(struct vlease *v, struct vprocess *a, struct vprocess *b)
{
    tell(v, a, b, true, CONNECT_US);
    tell(v, b, a, true, CONNECT_US);
}

/* To the first @n processes that it can reach. */
static void
connect_to(struct vlease *v, struct vprocess *p, uint32_t n)
{
    for (uint32_t i = 0; i < n; i++) {
        struct vprocess *other = &v->processes[i];

        if (other != p && vlease_connected(p, other)) {
            connect_pair(v, p, other);
        }
    }
}

static void
begin_broker(struct vlease *v, struct vprocess *p)
{
    struct broker_options o = broker_options_default();
    struct rec_instance registries[VLEASE_ZONES_MAX] = {0};

    for (uint32_t i = 0; i < v->opts.zones; i++) {
        registries[i].name = v->processes[v->n_brokers + i].name;
    }
    p->life++;
    p->down = false;
    p->stopped = false;
    p->tick_us = 0;
    p->paused_until_us = 0;
    p->unpolled_until_us = 0;
    vevacuate_disturb(p, v->now_us);
    o.self = p->name;
    o.zone = p->zone;
    o.address = address_of(p->name.s);
    o.incarnation = (uint64_t)(vlease_moment(v, p).wall_us + p->number);
    o.registries = registries;
    o.n_registries = v->opts.zones;
    o.seed = v->opts.seed + (uint64_t)p->number * 7919 + p->life;
    o.read_config = vlease_read_config;
    o.resubmit_us = v->opts.told_resend_us;
    o.capacity = v->opts.capacities[p->number];
    if (v->opts.capacity_grows) {
        o.capacity.cpu_milli *= (uint32_t)p->life;
    }
    p->declared = o.capacity;
    memcpy(o.breaks, v->opts.breaks, sizeof(o.breaks));
    memcpy(o.disabled, v->opts.without, sizeof(o.disabled));
    if (v->opts.callbacks.configure != NULL) {
        v->opts.callbacks.configure(v->opts.callbacks.ctx, p->number, &o);
    }
    p->broker = broker_new(&o);
    vlease_step(v, p, &(struct broker_event){.kind = BEV_TICK});
    connect_to(v, p, v->n_processes);
}

static void
end_broker(struct vlease *v, struct vprocess *p, int64_t noticed_us)
{
    if (p->down) {
        return;
    }
    vcall_broken(v, p);
    p->down = true;
    broker_free(p->broker);
    p->broker = NULL;
    tell_down(v, p, noticed_us);
}

void
vlease_kill(struct vlease *v, uint32_t broker)
{
    end_broker(v, &v->processes[broker], RESET_US);
}

void
vlease_lose_machine(struct vlease *v, uint32_t broker)
{
    end_broker(v, &v->processes[broker], SILENCE_US);
}

void
vlease_start(struct vlease *v, uint32_t broker)
{
    if (v->processes[broker].down) {
        begin_broker(v, &v->processes[broker]);
    }
}

void
vlease_declare(struct vlease *v, uint32_t broker,
               struct instance_capacity capacity)
{
    v->opts.capacities[broker] = capacity;
}

static bool
knows_outdated(const struct vprocess *p, const struct vprocess *of)
{
    struct instance_capacity c;

    if (p == of || p->broker == NULL || of->broker == NULL || of->stopped ||
        !vlease_connected(p, of)) {
        return false;
    }
    c = broker_declared(p->broker, of->name);
    return c.cpu_milli != 0 && c.cpu_milli != of->declared.cpu_milli;
}

uint32_t
vlease_outdated(const struct vlease *v)
{
    uint32_t n = 0;

    for (uint32_t i = 0; i < v->n_brokers; i++) {
        bool outdated = false;

        for (uint32_t j = 0; j < v->n_brokers; j++) {
            outdated =
                outdated || knows_outdated(&v->processes[j], &v->processes[i]);
        }
        n += outdated ? 1 : 0;
    }
    return n;
}

void
vlease_lose_power(struct vlease *v)
{
    v->dark_us = v->now_us;
    for (uint32_t i = 0; i < v->n_upstreams; i++) {
        vlease_room_changed(v, i, v->now_us, 0);
    }
    for (uint32_t i = 0; i < v->n_processes; i++) {
        struct vprocess *p = &v->processes[i];

        if (p->registry == NULL) {
            vlease_kill(v, i);
            continue;
        }
        p->down = true;
        p->life++;
        registry_free(p->registry);
        p->registry = NULL;
    }
}

static void
begin_registry(struct vlease *v, struct vprocess *p, bool remember)
{
    p->down = false;
    p->tick_us = 0;
    memset(p->polled, 0, sizeof(p->polled));
    p->registry = registry_new();
    if (remember && p->kept.kind == MSG_UPSTREAM_REPORT) {
        registry_restore(p->registry, &p->kept.u.upstream_report,
                         vlease_moment(v, p));
    }
    /* Brokers that were started meanwhile dial it. */
    connect_to(v, p, v->n_brokers);
}

void
vlease_regain_power(struct vlease *v, bool remember)
{
    for (uint32_t i = 0; i < v->n_upstreams; i++) {
        vlease_room_changed(v, i, v->now_us, 1);
    }
    for (uint32_t i = v->n_brokers; i < v->n_processes; i++) {
        begin_registry(v, &v->processes[i], remember);
    }
    for (uint32_t i = 0; i < v->n_brokers; i++) {
        v->now_us += (int64_t)vlease_random(v, STARTS_APART_US);
        vlease_start(v, i);
    }
}

void
vlease_stop(struct vlease *v, uint32_t broker)
{
    vlease_step(v, &v->processes[broker],
                &(struct broker_event){.kind = BEV_STOP});
}

bool
vlease_stopped(const struct vlease *v, uint32_t broker)
{
    return v->processes[broker].stopped;
}

void
vlease_pause(struct vlease *v, uint32_t broker, int64_t us)
{
    struct vprocess *p = &v->processes[broker];

    if (v->now_us >= p->unpolled_until_us) {
        p->polled_us = v->now_us;
    }
    p->paused_until_us = v->now_us + us;
    vevacuate_disturb(p, p->paused_until_us);
    p->unpolled_until_us = p->paused_until_us + POLL_LATE_US;
    if (us <= SILENCE_US) {
        return;
    }
    tell_down(v, p, SILENCE_US);
    for (uint32_t i = 0; i < v->n_processes; i++) {
        struct vprocess *other = &v->processes[i];

        if (other != p && !other->down) {
            tell(v, p, other, false, us);
            tell(v, p, other, true, us + CONNECT_US);
            tell(v, other, p, true, us + CONNECT_US);
        }
    }
}

void
vlease_cut(struct vlease *v, uint32_t broker, bool cut, bool upstreams)
{
    struct vprocess *p = &v->processes[broker];

    p->cut = cut;
    p->disturbed_until_us = cut ? INT64_MAX : v->now_us;
    p->cut_upstreams = cut && upstreams;
    for (uint32_t i = 0; i < v->n_processes; i++) {
        struct vprocess *other = &v->processes[i];

        if (other == p || other->down) {
            continue;
        }
        if (cut) {
            tell(v, p, other, false, SILENCE_US);
            tell(v, other, p, false, SILENCE_US);
        }
        else {
            connect_pair(v, p, other);
        }
    }
}

void
vlease_gap(struct vlease *v, uint32_t a, uint32_t b)
{
    struct vprocess *p = &v->processes[a];
    struct vprocess *q = &v->processes[b];

    for (size_t i = 0; i < v->n_heap; i++) {
        struct vevent *e = &v->heap[i];

        if (e->kind == VEV_MESSAGE &&
            ((e->from == a && e->to == b) || (e->from == b && e->to == a))) {
            e->life = UINT64_MAX; /* it was under way */
        }
    }
    tell(v, p, q, false, 0);
    tell(v, q, p, false, 0);
    connect_pair(v, p, q);
}

void
vlease_clock(struct vlease *v, uint32_t broker, int64_t us)
{
    v->processes[broker].wall_off_us += us;
}
