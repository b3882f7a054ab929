#include <stdlib.h>
#include <string.h>

#include "servicefile.h"
#include "vnet.h"

#define HTTP_PATIENCE_US (1 * USEC_PER_SEC) /* of fences and questions */

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

bool
vcarry_close(struct vnet *n, const struct hop *h)
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

struct end
vcarry_process(const struct vnet *n, struct name name)
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

    h.to = vcarry_process(n, f->to);
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
    open_call(n, &h, f->silence_timeout_us);
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
    if (version != v->version) {
        char *text = servicefile_canonical(entry_config(v->entry));
        struct blob *b = text != NULL ? blob_new(text, strlen(text)) : NULL;

        voperator_note(n, version, delta_digest(b), v->name.s);
        blob_unref(b);
        free(text);
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
        (void)vhop_ask(n, POINT_READ, n->current, &n->current->at_us);
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
