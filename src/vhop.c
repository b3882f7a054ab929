#include <stdlib.h>

#include "vnet.h"

/* A second copy comes after a reconnect, when others have been read. */
#define DOUBLE_US (200 * USEC_PER_MSEC)

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

/* ---- the heap of hops ---- */

static bool
hop_before(const struct hop *a, const struct hop *b)
{
    return a->at_us < b->at_us ||
           (a->at_us == b->at_us && a->order < b->order);
}

void
vhop_clear(struct hop *h)
{
    blob_unref(h->blob);
    if (h->kind == HOP_MESSAGE) {
        msg_free(&h->msg);
    }
    job_answer_free(h->answer);
}

void
vhop_push(struct vnet *n, const struct hop *h)
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

struct hop
vhop_pop(struct vnet *n)
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
    vhop_push(n, &h);
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

enum hop_fate
vhop_ask(struct vnet *n, enum hop_point point, struct hop *h,
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
    h->sent_us = n->now_us;
    fate = vhop_ask(n, POINT_SENT, h, &delay_us);
    if (fate == FATE_LOSE || is_cut(n, a, b)) {
        vhop_clear(h);
        return;
    }
    h->at_us = n->now_us + delay_between(n, a, b) + delay_us;
    h->order = ++n->orders;
    vhop_push(n, h);
    if (fate == FATE_DOUBLE) {
        struct hop c = hop_copy(h);

        c.at_us += DOUBLE_US;
        c.order = ++n->orders;
        vhop_push(n, &c);
    }
}
