#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "vnet.h"

#define LEAVING_GRACE_US (3 * USEC_PER_SEC)
#define FAIL_RUN_US (2 * USEC_PER_MSEC)

static struct end
self_of(uint32_t upstream)
{
    return (struct end){END_UPSTREAM, upstream};
}

void
vupstream_begin(struct vnet *n, uint32_t upstream)
{
    int64_t spread_us =
        (int64_t)gsl_rng_uniform_int(n->rng, 20) * USEC_PER_MSEC;

    (void)vnet_add(n, HOP_ALARM, self_of(upstream), self_of(upstream),
                   spread_us);
}

static struct end
instance_to_ask(const struct vnet *n, struct vupstream *u)
{
    uint32_t first = u->zone * n->opts.instances;

    return (struct end){END_INSTANCE,
                        first + (u->asks++ + u->rack) % n->opts.instances};
}

void
vupstream_alarm(struct vnet *n, const struct hop *h)
{
    struct vupstream *u = &n->upstreams[h->to.index];
    struct hop out = {.kind = HOP_ANNOUNCE, .from = h->to};

    (void)vnet_add(n, HOP_ALARM, h->to, h->to, n->opts.entry.renew_us / 2);
    if (u->dead) {
        return;
    }
    if (u->leaving_us != 0) {
        out.kind = HOP_LEAVE;
    }
    out.to = instance_to_ask(n, u);
    out.incarnation = u->incarnation;
    out.us = u->running;
    vnet_send(n, &out);
}

static struct hop
reply_to(const struct hop *h, enum hop_kind kind)
{
    struct hop r = {.kind = kind, .from = h->to, .to = h->from};

    r.call = h->call;
    r.life = h->life;
    r.index = h->index;
    return r;
}

/* A process that is gone refuses the connection; a machine that is gone says
 * nothing. */
static void
answer_dead(struct vnet *n, struct hop *h)
{
    struct hop r = reply_to(h, HOP_ENDED);

    if (n->upstreams[h->to.index].hung) {
        return;
    }
    r.code = START_NO_CONNECT;
    if (h->kind == HOP_REVOKE) {
        r.kind = HOP_REVOKED;
        r.code = REVOKE_UNREACHABLE;
    }
    else if (h->kind == HOP_FENCE) {
        r.kind = HOP_FENCED;
        r.code = FENCE_UNREACHABLE;
    }
    vnet_send(n, &r);
}

static bool
has_tombstone(const struct vupstream *u, uint64_t job, uint32_t index)
{
    for (size_t i = 0; i < u->n_tombstones; i++) {
        if (u->tombstones[i].job == job && u->tombstones[i].index == index) {
            return true;
        }
    }
    return false;
}

static void
add_tombstone(struct vupstream *u, uint64_t job, uint32_t index)
{
    if (has_tombstone(u, job, index)) {
        return;
    }
    u->tombstones =
        realloc(u->tombstones, (u->n_tombstones + 1) * sizeof(*u->tombstones));
    if (u->tombstones == NULL) {
        abort();
    }
    u->tombstones[u->n_tombstones++] = (struct vtombstone){job, index};
}

static void
record_start(struct vnet *n, const struct hop *h)
{
    const struct vupstream *u = &n->upstreams[h->to.index];
    struct vcall *c = vnet_call(n, h->job);
    struct vtask *t = &c->tasks[h->index];
    struct vstart *s;

    n->starts =
        vnet_grow(n->starts, n->n_starts, &n->starts_room, sizeof(*n->starts));
    s = &n->starts[n->n_starts++];
    s->job = h->job;
    s->index = h->index;
    s->upstream = h->to.index;
    s->incarnation = u->incarnation;
    s->at_us = n->now_us;
    t->starts++;
    t->upstream = h->to.index;
    t->incarnation = u->incarnation;
    t->started_us = n->now_us;
    t->done = false;
    if (t->starts > 1) {
        vnet_break(n, PROMISE_START_ONCE, "%s task %u started %u times",
                   c->key, h->index, t->starts);
        if (!c->idempotent) {
            vnet_break(n, PROMISE_NON_IDEMPOTENT, "%s", c->key);
        }
    }
}

static void
run_task(struct vnet *n, struct hop *h)
{
    struct vupstream *u = &n->upstreams[h->to.index];
    const struct vtask *t = &vnet_call(n, h->job)->tasks[h->index];
    int64_t run_us = (int64_t)((double)t->run_us * u->slow);
    struct hop *end;

    record_start(n, h);
    u->running++;
    if (u->failing) {
        run_us = FAIL_RUN_US;
    }
    u->busy_us += run_us;
    end = vnet_add(n, HOP_RUN_END, h->from, h->to, run_us);
    end->call = h->call;
    end->job = h->job;
    end->index = h->index;
    end->life = h->life;
    end->incarnation = u->incarnation;
    end->us = run_us;
    end->ok = !u->failing;
    end->blob = h->blob;
    h->blob = NULL;
}

static uint32_t
start_verdict(const struct vnet *n, const struct hop *h)
{
    const struct vupstream *u = &n->upstreams[h->to.index];

    if (h->incarnation != u->incarnation || h->epoch < u->epoch) {
        return START_STALE;
    }
    if (u->leaving_us != 0 || u->running >= u->slots ||
        has_tombstone(u, h->job, h->index)) {
        return START_REFUSED;
    }
    return START_DONE;
}

static void
on_start(struct vnet *n, struct hop *h)
{
    const struct vupstream *u = &n->upstreams[h->to.index];
    struct hop r = reply_to(h, HOP_ENDED);

    /* By when it was sent: what the network holds up is no new work. */
    if (u->leaving_us != 0 && h->incarnation == u->incarnation &&
        h->sent_us > u->leaving_us + LEAVING_GRACE_US) {
        vnet_break(n, PROMISE_LEAVING, "%s got a start %lld ms after leaving",
                   u->name.s,
                   (long long)(h->sent_us - u->leaving_us) / USEC_PER_MSEC);
    }
    r.code = start_verdict(n, h);
    if (r.code == START_DONE) {
        run_task(n, h);
        return;
    }
    vnet_send(n, &r);
}

void
vupstream_run_end(struct vnet *n, const struct hop *h)
{
    struct vupstream *u = &n->upstreams[h->to.index];
    struct vtask *t = &vnet_call(n, h->job)->tasks[h->index];
    struct hop r = reply_to(h, HOP_ENDED);

    if (u->dead || u->incarnation != h->incarnation) {
        return;
    }
    u->running--;
    t->done = true;
    t->ok = h->ok;
    r.code = START_DONE;
    r.ok = h->ok;
    r.us = h->us;
    r.blob = blob_ref(h->blob);
    vnet_send(n, &r);
}

static void
on_revoke(struct vnet *n, const struct hop *h)
{
    struct vupstream *u = &n->upstreams[h->to.index];
    const struct vtask *t = &vnet_call(n, h->job)->tasks[h->index];
    bool here = t->starts > 0 && t->upstream == h->to.index &&
                t->incarnation == u->incarnation;
    struct hop r = reply_to(h, HOP_REVOKED);
    char text[32];

    r.code = REVOKE_NEVER;
    if (h->incarnation != u->incarnation) {
        r.code = REVOKE_OTHER_LIFE;
    }
    else if (here && !t->done) {
        r.code = REVOKE_RUNNING;
    }
    else if (here) {
        r.code = REVOKE_DONE;
        r.ok = t->ok;
        (void)snprintf(text, sizeof(text), "%llu/%u",
                       (unsigned long long)h->job, h->index);
        r.blob = blob_new(text, strlen(text));
    }
    else {
        add_tombstone(u, h->job, h->index);
    }
    vnet_send(n, &r);
}

static void
on_fence(struct vnet *n, const struct hop *h)
{
    struct vupstream *u = &n->upstreams[h->to.index];
    struct hop r = reply_to(h, HOP_FENCED);

    r.code = FENCE_OK;
    if (h->incarnation != u->incarnation) {
        r.code = FENCE_OTHER_LIFE;
    }
    else if (h->epoch < u->epoch ||
             (h->epoch == u->epoch && u->holder != h->from.index)) {
        r.code = FENCE_STALE;
    }
    else {
        u->epoch = h->epoch;
        u->holder = h->from.index;
    }
    r.epoch = u->epoch;
    r.us = u->running;
    vnet_send(n, &r);
}

void
vupstream_arrives(struct vnet *n, struct hop *h)
{
    if (n->upstreams[h->to.index].dead) {
        answer_dead(n, h);
        return;
    }
    switch (h->kind) {
    case HOP_START:
        on_start(n, h);
        break;
    case HOP_REVOKE:
        on_revoke(n, h);
        break;
    case HOP_FENCE:
        on_fence(n, h);
        break;
    default:
        break;
    }
}

void
vupstream_die(struct vnet *n, uint32_t upstream, bool hung)
{
    struct vupstream *u = &n->upstreams[upstream];

    u->dead = true;
    u->hung = hung;
    u->running = 0;
}

void
vupstream_restart(struct vnet *n, uint32_t upstream)
{
    struct vupstream *u = &n->upstreams[upstream];

    u->dead = false;
    u->hung = false;
    u->running = 0;
    u->epoch = 0;
    u->leaving_us = 0;
    u->n_tombstones = 0;
    u->incarnation++;
}

void
vupstream_leave(struct vnet *n, uint32_t upstream)
{
    struct vupstream *u = &n->upstreams[upstream];
    struct hop out = {.kind = HOP_LEAVE, .from = self_of(upstream)};

    if (u->leaving_us != 0 || u->dead) {
        return;
    }
    u->leaving_us = n->now_us > 0 ? n->now_us : 1;
    out.to = instance_to_ask(n, u);
    out.incarnation = u->incarnation;
    vnet_send(n, &out);
}
