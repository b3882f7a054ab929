#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "delta.h"
#include "servicefile.h"
#include "vnet.h"

/* An operator asks member after member with one request id until it learns
 * what became of its publication; where somebody else took its base, it
 * publishes anew from the version in force. */

#define PATIENCE_US (1500 * USEC_PER_MSEC)
#define AGAIN_US (200 * USEC_PER_MSEC)

struct blob *
voperator_text(const struct vnet *n)
{
    char *text = servicefile_canonical(&n->config);
    struct blob *b = text != NULL ? blob_new(text, strlen(text)) : NULL;

    if (b == NULL) {
        abort();
    }
    free(text);
    return b;
}

void
voperator_note(struct vnet *n, uint64_t version, uint64_t digest,
               const char *whose)
{
    struct vversion *v;

    for (size_t i = 0; i < n->n_versions; i++) {
        if (n->versions[i].version != version) {
            continue;
        }
        if (n->versions[i].digest != digest) {
            vnet_break(n, PROMISE_CONFIG, "%s has another version %llu", whose,
                       (unsigned long long)version);
        }
        return;
    }
    n->versions = vnet_grow(n->versions, n->n_versions, &n->versions_room,
                            sizeof(*n->versions));
    v = &n->versions[n->n_versions++];
    *v = (struct vversion){version, digest};
}

void
voperator_accepted(struct vnet *n, uint64_t version, const struct blob *text)
{
    voperator_note(n, version, delta_digest(text), "an operator");
    n->accepted = version > n->accepted ? version : n->accepted;
}

static void
ask(struct vnet *n, uint32_t i)
{
    struct voperator *o = &n->operators[i];
    struct end self = {END_OPERATOR, i};
    struct hop h = {.kind = HOP_PUBLISH, .from = self};

    o->ask++;
    h.to = (struct end){END_CONTROL, o->member};
    h.call = o->ask;
    h.incarnation = o->request;
    h.epoch = o->base;
    h.blob = blob_ref(o->text);
    vnet_add(n, HOP_ALARM, self, self, PATIENCE_US)->call = o->ask;
    vnet_send(n, &h);
}

static void
ask_later(struct vnet *n, uint32_t i, uint32_t member)
{
    struct voperator *o = &n->operators[i];
    struct end self = {END_OPERATOR, i};
    struct hop *h;

    o->member = member % VCONTROLS;
    o->ask++; /* what else comes of the last one is not waited for */
    h = vnet_add(n, HOP_ALARM, self, self, AGAIN_US);
    h->call = o->ask;
    h->ok = true; /* the member to ask is known */
}

void
vnet_publish(struct vnet *n)
{
    struct voperator *o;
    uint32_t i = (uint32_t)n->n_operators;

    n->services[0].max_queued++;
    n->operators = vnet_grow(n->operators, n->n_operators, &n->operators_room,
                             sizeof(*n->operators));
    o = &n->operators[n->n_operators++];
    *o = (struct voperator){.request = ++n->requests,
                            .base = n->accepted,
                            .member = i % VCONTROLS,
                            .text = voperator_text(n)};
    ask(n, i);
}

static void
on_taken(struct vnet *n, uint32_t i, const struct hop *h)
{
    struct voperator *o = &n->operators[i];
    char own[KEY_TEXT_SIZE];

    (void)snprintf(own, sizeof(own), "p%llu", (unsigned long long)o->request);
    if (h->blob != NULL && h->blob->size == strlen(own) &&
        memcmp(h->blob->data, own, h->blob->size) == 0) {
        vnet_break(n, PROMISE_CONFIG, "%s was told to be in its own way", own);
    }
    o->request = ++n->requests;
    o->base = h->epoch;
    ask_later(n, i, h->from.index);
}

static void
on_published(struct vnet *n, uint32_t i, const struct hop *h)
{
    struct voperator *o = &n->operators[i];

    switch (h->code) {
    case CONTROL_OK:
        o->version = h->incarnation;
        voperator_accepted(n, o->version, o->text);
        break;
    case CONTROL_TAKEN:
        on_taken(n, i, h);
        break;
    case CONTROL_NOT_LEADER:
        ask_later(n, i, h->index);
        break;
    case CONTROL_NO_LEADER:
    case CONTROL_STOPPING:
    case CONTROL_UNKNOWN:
        ask_later(n, i, o->member + 1);
        break;
    default:
        vnet_break(n, PROMISE_CONFIG, "a publication was refused: %s",
                   control_result_slug((enum control_result)h->code));
        break;
    }
}

void
voperator_arrives(struct vnet *n, const struct hop *h)
{
    uint32_t i = h->to.index;
    struct voperator *o = &n->operators[i];

    if (o->version != 0 || h->call != o->ask) {
        return;
    }
    if (h->kind == HOP_PUBLISHED) {
        on_published(n, i, h);
    }
    else {
        o->member = (o->member + (h->ok ? 0 : 1)) % VCONTROLS;
        ask(n, i);
    }
}

void
voperator_end(struct vnet *n)
{
    for (size_t i = 0; i < n->n_operators; i++) {
        blob_unref(n->operators[i].text);
    }
    free(n->operators);
    free(n->versions);
}
