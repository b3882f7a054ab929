#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "servicefile.h"
#include "vnet.h"

/* Control processes hold the accepted text; what of a text differs between
 * versions is one number in it. */

#define POLL_US (5 * USEC_PER_SEC)
#define LAG_US (3 * USEC_PER_SEC)

static struct end
self_of(uint32_t control)
{
    return (struct end){END_CONTROL, control};
}

static void
set_text(struct vnet *n)
{
    char *text = servicefile_canonical(&n->config);

    if (text == NULL) {
        abort();
    }
    blob_unref(n->text);
    n->text = blob_new(text, strlen(text));
    free(text);
}

void
vcontrol_begin(struct vnet *n)
{
    set_text(n);
    for (uint32_t i = 0; i < VCONTROLS; i++) {
        (void)snprintf(n->controls[i].name.s, NAME_SIZE, "c%u", i + 1);
        n->control_names[i] = n->controls[i].name;
        n->controls[i].version = n->config.version;
    }
}

static void
reply(struct vnet *n, uint32_t control, uint32_t instance)
{
    struct vcontrol *c = &n->controls[control];
    struct hop h = {.kind = HOP_MESSAGE, .from = self_of(control)};
    struct rec_config_reply *r = &h.msg.u.config_reply;

    h.to = (struct end){END_INSTANCE, instance};
    h.msg.kind = MSG_CONFIG_REPLY;
    r->version = c->version;
    r->term = 1;
    if (c->version > c->have[instance]) {
        r->config = blob_ref(n->text);
    }
    c->until_us[instance] = 0;
    vnet_send(n, &h);
}

static void
on_request(struct vnet *n, const struct hop *h)
{
    struct vcontrol *c = &n->controls[h->to.index];
    uint32_t i = h->from.index;

    c->have[i] = h->msg.u.config_request.have_version;
    if (c->version > c->have[i]) {
        reply(n, h->to.index, i);
        return;
    }
    c->until_us[i] = n->now_us + POLL_US;
    vnet_add(n, HOP_ALARM, h->to, h->to, POLL_US)->index = i;
}

void
vcontrol_alarm(struct vnet *n, const struct hop *h)
{
    int64_t until_us = n->controls[h->to.index].until_us[h->index];

    if (until_us != 0 && until_us <= n->now_us) {
        reply(n, h->to.index, h->index);
    }
}

static void
on_accepted(struct vnet *n, const struct hop *h)
{
    struct vcontrol *c = &n->controls[h->to.index];

    c->version = h->call > c->version ? h->call : c->version;
    for (uint32_t i = 0; i < n->n_instances; i++) {
        if (c->until_us[i] != 0 && c->version > c->have[i]) {
            reply(n, h->to.index, i);
        }
    }
}

void
vcontrol_arrives(struct vnet *n, struct hop *h)
{
    if (h->kind == HOP_ACCEPTED) {
        on_accepted(n, h);
    }
    else if (h->kind == HOP_MESSAGE && h->msg.kind == MSG_CONFIG_REQUEST) {
        on_request(n, h);
    }
}

/* The log of control keeps what it accepted through any fault: here that is
 * given, so its own hops are never lost. */
void
vnet_publish(struct vnet *n)
{
    n->config.version++;
    n->services[0].max_queued++;
    set_text(n);
    for (uint32_t i = 0; i < VCONTROLS; i++) {
        struct end none = {END_NONE, 0};
        int64_t lag_us = i + 1 < VCONTROLS ? n->opts.far_us : LAG_US;

        vnet_add(n, HOP_ACCEPTED, none, self_of(i), lag_us)->call =
            n->config.version;
    }
}
