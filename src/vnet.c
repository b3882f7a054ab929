#include "vnet.h"

#include <stdarg.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#define WALL_BASE_US INT64_C(1764720000000000)
#define HTTP_PATIENCE_US (1 * USEC_PER_SEC) /* of fences and questions */
#define TICK_MIN_US 200 /* shells do not wake up more often */
#define RESTART_US (20 * USEC_PER_MSEC)

/* struct vopen - a call of an instance that has not come to an end */
struct vopen {
    uint64_t id; /* first: looked up by it */
    struct handle self;
};

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
        .entry = entry_options_default(),
    };

    o.entry.new_region = true;
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

const char *
hop_name(enum hop_kind kind)
{
    static const char *const names[] = {
#define HOP(NAME, network) #NAME,
        HOP_LIST(HOP)
#undef HOP
    };

    return names[kind];
}

const char *
promise_text(enum promise p)
{
    static const char *const texts[] = {
#define PROMISE(NAME, text) text,
        PROMISE_LIST(PROMISE)
#undef PROMISE
    };

    return texts[p];
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

/* ---- the heap of hops ---- */

static bool
hop_before(const struct hop *a, const struct hop *b)
{
    return a->at_us < b->at_us ||
           (a->at_us == b->at_us && a->order < b->order);
}

static void
hop_clear(struct hop *h)
{
    blob_unref(h->blob);
    if (h->kind == HOP_MESSAGE) {
        msg_free(&h->msg);
    }
    job_answer_free(h->answer);
}

static void
heap_push(struct vnet *n, const struct hop *h)
{
    size_t i = n->n_heap;

    n->heap = vnet_grow(n->heap, n->n_heap, &n->heap_room, sizeof(*n->heap));
    n->n_heap++;
    while (i > 0 && hop_before(h, &n->heap[(i - 1) / 2])) {
        n->heap[i] = n->heap[(i - 1) / 2];
        i = (i - 1) / 2;
    }
    n->heap[i] = *h;
}

static struct hop
heap_pop(struct vnet *n)
{
    struct hop first = n->heap[0];
    struct hop last = n->heap[--n->n_heap];
    size_t i = 0;

    for (;;) {
        size_t child = 2 * i + 1;

        if (child >= n->n_heap) {
            break;
        }
        if (child + 1 < n->n_heap &&
            hop_before(&n->heap[child + 1], &n->heap[child])) {
            child++;
        }
        if (!hop_before(&n->heap[child], &last)) {
            break;
        }
        n->heap[i] = n->heap[child];
        i = child;
    }
    if (n->n_heap > 0) {
        n->heap[i] = last;
    }
    return first;
}

struct hop *
vnet_add(struct vnet *n, enum hop_kind kind, struct end from, struct end to,
         int64_t delay_us)
{
    struct hop h = {.kind = kind, .from = from, .to = to};
    size_t i = n->n_heap;

    h.at_us = n->now_us + delay_us;
    h.order = ++n->orders;
    heap_push(n, &h);
    while (n->heap[i].order != h.order) {
        i = (i - 1) / 2;
    }
    return &n->heap[i];
}

/* ---- the network ---- */

uint32_t
vnet_zone_of(const struct vnet *n, struct end end)
{
    switch (end.role) {
    case END_INSTANCE:
        return n->instances[end.index].zone;
    case END_UPSTREAM:
        return n->upstreams[end.index].zone;
    case END_CONTROL:
        return end.index % n->opts.zones;
    default:
        return ZONES_MAX;
    }
}

static bool
is_cut(const struct vnet *n, uint32_t a, uint32_t b)
{
    if (a == b || a >= ZONES_MAX || b >= ZONES_MAX) {
        return false;
    }
    return n->cut_until_us[a] > n->now_us || n->cut_until_us[b] > n->now_us;
}

static int64_t
delay_between(const struct vnet *n, uint32_t a, uint32_t b)
{
    if (a >= ZONES_MAX || b >= ZONES_MAX) {
        return n->opts.client_us;
    }
    return a == b ? n->opts.zone_us : n->opts.far_us;
}

static void
count_hop(struct vnet *n, const struct hop *h)
{
    n->hop_count[h->kind]++;
    if (h->kind == HOP_MESSAGE) {
        n->msg_count[h->msg.kind]++;
    }
    if (h->kind == HOP_MESSAGE && n->opts.bytes) {
        msgpack_sbuffer out;

        msgpack_sbuffer_init(&out);
        if (wire_encode(&h->msg, &out) == WIRE_OK) {
            n->msg_bytes[h->msg.kind] += out.size + 4;
        }
        msgpack_sbuffer_destroy(&out);
    }
}

/* A start travels once over one connection: TCP does not double it. */
static struct hop
hop_copy(const struct hop *h)
{
    struct hop c = *h;

    c.copy = true;
    (void)blob_ref(c.blob);
    if (c.kind == HOP_MESSAGE) {
        c.msg = msg_copy(&h->msg);
    }
    c.answer = h->answer != NULL ? job_answer_copy(h->answer) : NULL;
    return c;
}

static enum hop_fate
ask_hook(struct vnet *n, enum hop_point point, struct hop *h,
         int64_t *delay_us)
{
    if (n->hook.at == NULL || h->number == 0 || h->copy) {
        return FATE_PASS;
    }
    return n->hook.at(n->hook.arg, n, point, h, delay_us);
}

void
vnet_send(struct vnet *n, struct hop *h)
{
    uint32_t a = vnet_zone_of(n, h->from);
    uint32_t b = vnet_zone_of(n, h->to);
    int64_t delay_us = 0;
    enum hop_fate fate;

    count_hop(n, h);
    h->number = ++n->hops;
    fate = ask_hook(n, POINT_SENT, h, &delay_us);
    if (fate == FATE_LOSE || is_cut(n, a, b)) {
        hop_clear(h);
        return;
    }
    h->at_us = n->now_us + delay_between(n, a, b) + delay_us;
    h->order = ++n->orders;
    heap_push(n, h);
    if (fate == FATE_DOUBLE) {
        struct hop c = hop_copy(h);

        c.at_us += n->opts.far_us;
        c.order = ++n->orders;
        heap_push(n, &c);
    }
}

/* ---- calls of instances to upstreams ---- */

static uint64_t
open_id(const struct vnet *n, uint32_t instance, uint64_t call)
{
    return (uint64_t)instance << 56 |
           (n->instances[instance].life & 0xff) << 48 | call;
}

static void
open_call(struct vnet *n, const struct hop *h, int64_t patience_us)
{
    uint32_t i = h->from.index;
    struct handle handle;
    struct vopen *o = table_add(&n->open, &handle);
    struct hop *s;

    o->id = open_id(n, i, h->call);
    o->self = handle;
    map_put(&n->open_by_id, o);
    s = vnet_add(n, HOP_SILENCE, h->to, h->from, patience_us);
    s->call = h->call;
    s->code = h->kind;
    s->life = n->instances[i].life;
}

static bool
close_call(struct vnet *n, const struct hop *h)
{
    uint64_t id = open_id(n, h->to.index, h->call);
    struct vopen *o = map_remove(&n->open_by_id, &id);

    if (o == NULL) {
        return false;
    }
    table_remove(&n->open, o->self);
    return true;
}

/* ---- effects ---- */

static struct end
instance_of(const struct vnet *n, struct name name)
{
    for (uint32_t i = 0; i < n->n_instances; i++) {
        if (name_equal(n->instances[i].name, name)) {
            return (struct end){END_INSTANCE, i};
        }
    }
    for (uint32_t i = 0; i < VCONTROLS; i++) {
        if (name_equal(n->control_names[i], name)) {
            return (struct end){END_CONTROL, i};
        }
    }
    return (struct end){END_NONE, 0};
}

/* Upstreams are named "zZ-uI": their index follows from the address. */
static struct end
upstream_at(struct address address)
{
    return (struct end){END_UPSTREAM, (uint32_t)strtoul(address.s, NULL, 10)};
}

static void
on_message_sent(struct vnet *n, struct end self, struct ef_send *f)
{
    struct hop h = {.kind = HOP_MESSAGE, .from = self};

    h.to = instance_of(n, f->to);
    if (h.to.role == END_NONE) {
        return;
    }
    h.msg = f->msg;
    memset(&f->msg, 0, sizeof(f->msg));
    vnet_send(n, &h);
}

/* A reply is for the life of the process that asked. */
static struct hop
call_hop(const struct vnet *n, enum hop_kind kind, struct end self,
         uint64_t call)
{
    return (struct hop){.kind = kind,
                        .from = self,
                        .call = call,
                        .life = n->instances[self.index].life};
}

static void
on_start(struct vnet *n, struct end self, const struct ef_start *f)
{
    struct hop h = call_hop(n, HOP_START, self, f->call);

    h.to = upstream_at(f->address);
    h.job = vnet_job(n, f->key);
    h.index = f->index;
    h.incarnation = f->incarnation;
    h.epoch = f->epoch;
    h.blob = blob_ref(f->payload);
    open_call(n, &h, f->silent_us);
    vnet_send(n, &h);
}

static void
on_revoke(struct vnet *n, struct end self, const struct ef_revoke *f)
{
    struct hop h = call_hop(n, HOP_REVOKE, self, f->call);

    h.to = upstream_at(f->address);
    h.index = f->index;
    h.incarnation = f->incarnation;
    h.job = vnet_job(n, f->key);
    open_call(n, &h, HTTP_PATIENCE_US);
    vnet_send(n, &h);
}

static void
on_fence(struct vnet *n, struct end self, const struct ef_fence *f)
{
    struct hop h = call_hop(n, HOP_FENCE, self, f->call);

    h.to = upstream_at(f->address);
    h.incarnation = f->incarnation;
    h.epoch = f->epoch;
    open_call(n, &h, HTTP_PATIENCE_US);
    vnet_send(n, &h);
}

static void
on_reply(struct vnet *n, struct end self, enum hop_kind kind, uint64_t request,
         struct effect *f)
{
    struct hop h = {.kind = kind, .from = self, .call = request};

    if (request == REQUEST_NONE || request > n->n_attempts) {
        return;
    }
    h.to = (struct end){END_CALLER, (uint32_t)request};
    n->attempts[request - 1].replied = true;
    n->attempts[request - 1].replied_us = n->now_us;
    if (kind == HOP_ANSWER) {
        h.answer = f->u.answer.answer;
        f->u.answer.answer = NULL;
    }
    else {
        h.code = f->u.problem.problem;
        h.us = f->u.problem.retry_after_us;
        h.ok = f->u.problem.not_run;
    }
    vnet_send(n, &h);
}

static void
print_log(const struct vnet *n, struct end self, const struct ef_log *l)
{
    if (n->log == NULL) {
        return;
    }
    (void)fprintf(n->log, "%9.3f %s %s job=%llu/%d %s %s\n",
                  (double)n->now_us / USEC_PER_SEC,
                  n->instances[self.index].name.s, reason_text(l->reason),
                  (unsigned long long)vnet_job(n, l->key), l->index,
                  l->subject.s, l->detail);
}

static void
carry_out(struct vnet *n, struct end self, struct effect *f)
{
    switch (f->kind) {
    case EF_SEND:
        on_message_sent(n, self, &f->u.send);
        break;
    case EF_START:
        on_start(n, self, &f->u.start);
        break;
    case EF_REVOKE:
        on_revoke(n, self, &f->u.revoke);
        break;
    case EF_FENCE:
        on_fence(n, self, &f->u.fence);
        break;
    case EF_ANSWER:
        on_reply(n, self, HOP_ANSWER, f->u.answer.request, f);
        break;
    case EF_PROBLEM:
        on_reply(n, self, HOP_PROBLEM, f->u.problem.request, f);
        break;
    case EF_LOG:
        print_log(n, self, &f->u.log);
        break;
    case EF_STOPPED:
        n->instances[self.index].stopped = true;
        break;
    default:
        break;
    }
}

static void
note_version(struct vnet *n, struct vinstance *v)
{
    uint64_t version = entry_config_version(v->entry);

    if (version < v->version) {
        vnet_break(n, PROMISE_CONFIG, "%s went from version %llu to %llu",
                   v->name.s, (unsigned long long)v->version,
                   (unsigned long long)version);
    }
    v->version = version;
    if (version > v->version_known) {
        v->version_known = version;
    }
}

static void
step(struct vnet *n, struct entry *e, const struct event *ev,
     struct effects *fx)
{
    int64_t begin_ns = n->cpu_ns != NULL ? n->cpu_ns() : 0;

    entry_step(e, ev, fx);
    n->steps++;
    if (n->cpu_ns != NULL) {
        n->used_ns += n->cpu_ns() - begin_ns;
    }
}

bool
vnet_deliver(struct vnet *n, uint32_t instance, struct event *ev)
{
    struct vinstance *v = &n->instances[instance];
    struct effects fx = n->fx;
    uint64_t life = v->life;

    if (v->entry == NULL) {
        return false;
    }
    memset(&n->fx, 0, sizeof(n->fx));
    ev->now = vnet_moment(n);
    step(n, v->entry, ev, &fx);
    note_version(n, v);
    if (n->current != NULL) {
        (void)ask_hook(n, POINT_READ, n->current, &n->current->at_us);
    }
    for (size_t i = 0; i < fx.n && v->entry != NULL && v->life == life; i++) {
        carry_out(n, (struct end){END_INSTANCE, instance}, &fx.items[i]);
    }
    effects_clear(&fx);
    n->fx = fx;
    if (v->stopped && v->entry != NULL && v->life == life) {
        vcaller_instance_died(n, instance, true);
        vnet_kill(n, instance);
    }
    return true;
}

/* ---- arrivals ---- */

static void
deliver_config(struct vnet *n, uint32_t instance, uint64_t version)
{
    struct event ev = {.kind = EV_CONFIG};
    struct config c = n->config;

    c.version = version;
    ev.u.config = &c;
    (void)vnet_deliver(n, instance, &ev);
}

static void
deliver_message(struct vnet *n, struct hop *h)
{
    struct event ev = {.kind = EV_MESSAGE};

    ev.u.message.from = h->from.role == END_CONTROL
                            ? n->control_names[h->from.index]
                            : n->instances[h->from.index].name;
    ev.u.message.msg = &h->msg;
    (void)vnet_deliver(n, h->to.index, &ev);
    if (h->msg.kind == MSG_CONFIG_REPLY && h->msg.u.config_reply.config) {
        deliver_config(n, h->to.index, h->msg.u.config_reply.version);
    }
}

static void
deliver_ended(struct vnet *n, struct hop *h)
{
    struct event ev = {.kind = EV_TASK_ENDED};

    if (!close_call(n, h) && !h->copy) {
        return;
    }
    ev.u.ended.call = h->call;
    ev.u.ended.outcome = h->code;
    ev.u.ended.ok = h->ok;
    ev.u.ended.result = h->blob;
    ev.u.ended.ran_us = h->us;
    (void)vnet_deliver(n, h->to.index, &ev);
}

static void
deliver_revoked(struct vnet *n, struct hop *h)
{
    struct event ev = {.kind = EV_TASK_REVOKED};

    if (!close_call(n, h) && !h->copy) {
        return;
    }
    ev.u.revoked.call = h->call;
    ev.u.revoked.outcome = h->code;
    ev.u.revoked.ok = h->ok;
    ev.u.revoked.result = h->blob;
    (void)vnet_deliver(n, h->to.index, &ev);
}

static void
deliver_fenced(struct vnet *n, struct hop *h)
{
    struct event ev = {.kind = EV_FENCED};

    if (!close_call(n, h) && !h->copy) {
        return;
    }
    ev.u.fenced.call = h->call;
    ev.u.fenced.outcome = h->code;
    ev.u.fenced.epoch = h->epoch;
    ev.u.fenced.running = (uint32_t)h->us;
    (void)vnet_deliver(n, h->to.index, &ev);
}

static void
deliver_silence(struct vnet *n, struct hop *h)
{
    switch (h->code) {
    case HOP_START:
        h->code = START_LOST;
        deliver_ended(n, h);
        break;
    case HOP_REVOKE:
        h->code = REVOKE_UNREACHABLE;
        deliver_revoked(n, h);
        break;
    default:
        h->code = FENCE_UNREACHABLE;
        deliver_fenced(n, h);
        break;
    }
}

static void
deliver_announce(struct vnet *n, struct hop *h)
{
    const struct vupstream *u = &n->upstreams[h->from.index];
    struct event ev = {.kind = h->kind == HOP_LEAVE ? EV_LEAVE : EV_ANNOUNCE};
    struct rec_upstream_info *info = &ev.u.announce.info;

    info->upstream = u->name;
    info->incarnation = h->incarnation;
    info->zone = n->peers[h->to.index].zone;
    (void)snprintf(info->rack.s, sizeof(info->rack.s), "r%u", u->rack);
    info->service = n->opts.service.name;
    (void)snprintf(info->address.s, sizeof(info->address.s), "%u",
                   h->from.index);
    info->slots = u->slots;
    info->connections = n->opts.connections;
    info->cpu_milli = 32000;
    info->memory_mb = 65536;
    info->busy = (uint64_t)h->us;
    (void)vnet_deliver(n, h->to.index, &ev);
}

static void
deliver_peer(struct vnet *n, const struct hop *h)
{
    struct event ev = {.kind = h->ok ? EV_PEER_UP : EV_PEER_DOWN};

    ev.u.peer.peer = n->instances[h->from.index].name;
    (void)vnet_deliver(n, h->to.index, &ev);
}

static void
deliver_to_instance(struct vnet *n, struct hop *h)
{
    switch (h->kind) {
    case HOP_MESSAGE:
        deliver_message(n, h);
        break;
    case HOP_SUBMIT:
    case HOP_CANCEL:
        vcaller_submit_arrives(n, h);
        break;
    case HOP_ENDED:
        deliver_ended(n, h);
        break;
    case HOP_REVOKED:
        deliver_revoked(n, h);
        break;
    case HOP_FENCED:
        deliver_fenced(n, h);
        break;
    case HOP_SILENCE:
        deliver_silence(n, h);
        break;
    case HOP_ANNOUNCE:
    case HOP_LEAVE:
        deliver_announce(n, h);
        break;
    case HOP_PEER:
        deliver_peer(n, h);
        break;
    default:
        break;
    }
}

static void
arrive_at_instance(struct vnet *n, struct hop *h)
{
    struct vinstance *v = &n->instances[h->to.index];
    struct hop held;

    if (v->entry == NULL || (h->life != 0 && h->life != v->life)) {
        if (h->kind == HOP_SUBMIT || h->kind == HOP_CANCEL) {
            vcaller_reset(n, h);
        }
        return;
    }
    if (v->paused_until_us > n->now_us) {
        held = *h;
        held.at_us = v->paused_until_us;
        heap_push(n, &held);
        memset(h, 0, sizeof(*h));
        return;
    }
    n->current = h;
    deliver_to_instance(n, h);
    n->current = NULL;
}

static void
arrive(struct vnet *n, struct hop *h)
{
    (void)ask_hook(n, POINT_ARRIVES, h, &h->at_us);
    switch (h->to.role) {
    case END_INSTANCE:
        arrive_at_instance(n, h);
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
        if (h->kind == HOP_ALARM) {
            vcontrol_alarm(n, h);
        }
        else {
            vcontrol_arrives(n, h);
        }
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
        int64_t hop_us = n->n_heap > 0 ? n->heap[0].at_us : INT64_MAX;

        if (tick_us >= until_us && hop_us >= until_us) {
            break;
        }
        if (hop_us <= tick_us) {
            struct hop h = heap_pop(n);

            n->now_us = h.at_us > n->now_us ? h.at_us : n->now_us;
            arrive(n, &h);
            hop_clear(&h);
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
    n->config = (struct config){
        .version = 1, .services = &n->opts.service, .n_services = 1};
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
        hop_clear(&n->heap[i]);
    }
    free_calls(n);
    blob_unref(n->text);
    free(n->heap);
    free(n->peers);
    free(n->instances);
    free(n->upstreams);
    map_clear(&n->open_by_id);
    table_clear(&n->open);
    map_clear(&n->keys_by_id);
    table_clear(&n->keys);
    effects_free(&n->fx);
    gsl_rng_free(n->rng);
    free(n);
}
