#include <string.h>

#include "vnet.h"

/* ---- arrivals ---- */

static void
deliver_message(struct vnet *n, struct hop *h)
{
    struct event ev = {.kind = EV_MESSAGE};

    ev.u.message.from = h->from.role == END_CONTROL
                            ? n->control_names[h->from.index]
                            : n->instances[h->from.index].name;
    ev.u.message.msg = &h->msg;
    (void)vnet_deliver(n, h->to.index, &ev);
}

static void
deliver_ended(struct vnet *n, struct hop *h)
{
    struct event ev = {.kind = EV_TASK_ENDED};

    if (!vcarry_close(n, h) && !h->copy) {
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

    if (!vcarry_close(n, h) && !h->copy) {
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

    if (!vcarry_close(n, h) && !h->copy) {
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

void
varrive_at_instance(struct vnet *n, struct hop *h)
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
        vhop_push(n, &held);
        memset(h, 0, sizeof(*h));
        return;
    }
    n->current = h;
    deliver_to_instance(n, h);
    n->current = NULL;
}
