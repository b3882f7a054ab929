#include "queueconf_wire.h"

#include <stdlib.h>
#include <string.h>

#include "wire.h"

/* Unit of rec_queue.stretch_ppm. */
static const double STRETCH_UNIT = 1e-6;

static struct rec_queue
encode_queue(const struct queue_conf *q)
{
    return (struct rec_queue){
        .name = q->name,
        .host = blob_new(q->host, strlen(q->host)),
        .prefix = blob_new(q->prefix, strlen(q->prefix)),
        .service = q->service,
        .priority = q->priority,
        .attempts = q->attempts,
        .timeout_us = (uint64_t)q->timeout_us,
        .target_us = (uint64_t)q->target_us,
        .stretch_ppm = (uint64_t)(q->stretch / STRETCH_UNIT + 0.5),
    };
}

struct blob *
queueconf_encode(const struct queueconf *c)
{
    struct msg m = {.kind = MSG_QUEUES};
    struct rec_queues *list = &m.u.queues;
    struct blob *data = NULL;

    list->rank = c->rank;
    list->body_max = c->body_max;
    list->queues = calloc(c->n_queues + 1, sizeof(*list->queues));
    list->services = calloc(c->n_services + 1, sizeof(*list->services));
    if (list->queues == NULL || list->services == NULL) {
        goto out;
    }
    for (size_t i = 0; i < c->n_queues; i++) {
        list->queues[list->n_queues++] = encode_queue(&c->queues[i]);
    }
    for (size_t i = 0; i < c->n_services; i++) {
        list->services[list->n_services++] = (struct rec_queue_service){
            .name = c->services[i].name, .guarded = c->services[i].guarded};
    }
    data = wire_encode_blob(&m);
out:
    msg_free(&m);
    return data;
}

static bool
copy_text(const struct blob *from, char *to, size_t room)
{
    if (from == NULL || from->size >= room) {
        return false;
    }
    memcpy(to, from->data, from->size);
    to[from->size] = '\0';
    return true;
}

static bool
decode_queue(const struct rec_queue *r, struct queue_conf *q)
{
    q->name = r->name;
    q->service = r->service;
    q->priority = (uint32_t)r->priority;
    q->attempts = (uint32_t)r->attempts;
    q->timeout_us = (int64_t)r->timeout_us;
    q->target_us = (int64_t)r->target_us;
    q->stretch = (double)r->stretch_ppm * STRETCH_UNIT;
    return copy_text(r->host, q->host, sizeof(q->host)) &&
           copy_text(r->prefix, q->prefix, sizeof(q->prefix));
}

static struct queueconf *
decode_list(const struct rec_queues *list)
{
    struct queueconf *c = calloc(1, sizeof(*c));
    bool valid = c != NULL;

    if (!valid) {
        return NULL;
    }
    c->rank = list->rank;
    c->body_max = (size_t)list->body_max;
    c->queues = calloc(list->n_queues + 1, sizeof(*c->queues));
    c->services = calloc(list->n_services + 1, sizeof(*c->services));
    valid = c->queues != NULL && c->services != NULL;
    for (size_t i = 0; valid && i < list->n_queues; i++) {
        valid = decode_queue(&list->queues[i], &c->queues[c->n_queues++]);
    }
    for (size_t i = 0; valid && i < list->n_services; i++) {
        c->services[c->n_services].name = list->services[i].name;
        c->services[c->n_services++].guarded = list->services[i].guarded != 0;
    }
    if (!valid) {
        queueconf_free(c);
        c = NULL;
    }
    return c;
}

struct queueconf *
queueconf_decode(const char *data, size_t size, enum queueconf_error *fault)
{
    struct queueconf *c = NULL;
    struct msg m;

    if (wire_decode(data, size, &m) == WIRE_OK) {
        c = m.kind == MSG_QUEUES ? decode_list(&m.u.queues) : NULL;
        msg_free(&m);
    }
    *fault = c != NULL ? QUEUECONF_OK : QUEUECONF_MALFORMED;
    return c;
}
