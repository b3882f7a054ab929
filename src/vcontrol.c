#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "vnet.h"

#define SYNC_US (5 * USEC_PER_MSEC)

enum { ADDRESS_BASE = 10 };

static struct end
self_of(uint32_t control)
{
    return (struct end){END_CONTROL, control};
}

/* ---- the founding state ---- */

static struct rec_membership
members_by_name(struct vnet *n, struct rec_control_member *members)
{
    for (uint32_t i = 0; i < VCONTROLS; i++) {
        members[i] = (struct rec_control_member){
            .name = n->control_names[i], .voter = 1, .disk = i + 1};
        (void)snprintf(members[i].address.s, sizeof(members[i].address.s),
                       "%u", i);
        members[i].http = members[i].address;
    }
    return (struct rec_membership){members, VCONTROLS};
}

/* The region starts with version 1 in force. */
static struct blob *
founding_state(struct vnet *n)
{
    struct rec_control_member members[VCONTROLS];
    struct rec_membership m = members_by_name(n, members);
    struct blob *text = voperator_text(n);
    struct delta d = delta_make(NULL, text);
    struct blob *none = blob_new("", 0);
    struct rec_publish p = {.request_id = key_id_of("founding"),
                            .request_text = none,
                            .publisher = name_of("founder"),
                            .summary = none,
                            .prefix = d.prefix,
                            .suffix = d.suffix,
                            .middle = d.middle,
                            .digest = d.digest};
    struct blob *state;
    struct fsm f;

    fsm_init(&f, control_options_default().limits);
    fsm_set_members(&f, &m);
    (void)fsm_publish(&f, CONTROL_FOUNDING_INDEX, CONTROL_FOUNDING_TERM, &p);
    state = fsm_encode(&f, CONTROL_FOUNDING_INDEX, CONTROL_FOUNDING_TERM);
    fsm_free(&f);
    voperator_accepted(n, 1, text);
    blob_unref(d.middle);
    blob_unref(none);
    blob_unref(text);
    return state;
}

/* ---- processes ---- */

static void
start(struct vnet *n, uint32_t i)
{
    struct vcontrol *c = &n->controls[i];
    struct control_options o = n->opts.control;

    c->life++;
    o.self = n->control_names[i];
    o.disk = c->disk.found.disk_id;
    o.n_configured = VCONTROLS;
    memcpy(o.configured, n->control_names, sizeof(n->control_names));
    o.seed = n->opts.seed * 1000 + i + c->life * 131;
    o.breaks[CONTROL_BREAK_ACK_BEFORE_SYNC] =
        n->opts.entry.mutants[MUTANT_ACK_BEFORE_SYNC];
    o.breaks[CONTROL_BREAK_FORGET_REQUESTS] =
        n->opts.entry.mutants[MUTANT_FORGET_REQUESTS];
    c->control = control_new(&o, &c->disk.found);
    if (c->control == NULL) {
        abort();
    }
    c->paused_until_us = n->now_us;
    c->tick_us = n->now_us;
}

void
vcontrol_kill(struct vnet *n, uint32_t control)
{
    struct vcontrol *c = &n->controls[control];

    control_free(c->control);
    c->control = NULL;
    vdisk_crash(&c->disk);
}

void
vcontrol_restart(struct vnet *n, uint32_t control)
{
    vcontrol_kill(n, control);
    start(n, control);
}

void
vcontrol_pause(struct vnet *n, uint32_t control, int64_t us)
{
    n->controls[control].paused_until_us = n->now_us + us;
}

void
vcontrol_end(struct vnet *n)
{
    for (uint32_t i = 0; i < VCONTROLS; i++) {
        control_free(n->controls[i].control);
        vdisk_free(&n->controls[i].disk);
    }
}

/* ---- effects ---- */

static void
on_send(struct vnet *n, struct end self, struct ce_send *f)
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

static void
on_reply(struct vnet *n, struct end self, const struct ce_reply *r)
{
    struct hop h = {.kind = HOP_PUBLISHED, .from = self};

    h.to = (struct end){END_OPERATOR, (uint32_t)r->request};
    h.call = r->request >> 32;
    h.code = r->result;
    h.epoch = r->version;
    h.index = (uint32_t)strtoul(r->leader.s, NULL, ADDRESS_BASE);
    if (r->publication.kind == MSG_PUBLICATION) {
        h.incarnation = r->publication.u.publication.version;
        h.blob = blob_ref(r->publication.u.publication.request_text);
    }
    vnet_send(n, &h);
}

static void
carry_out(struct vnet *n, uint32_t i, struct control_effect *f)
{
    struct vcontrol *c = &n->controls[i];
    struct end self = self_of(i);

    if (control_effect_is_disk(f->kind)) {
        if (f->kind == CE_SYNC) {
            vnet_add(n, HOP_ALARM, self, self, SYNC_US)->life = c->life;
        }
        vdisk_write(&c->disk, f);
    }
    else if (f->kind == CE_SEND) {
        on_send(n, self, &f->u.send);
    }
    else if (f->kind == CE_REPLY) {
        on_reply(n, self, &f->u.reply);
    }
    else if (f->kind == CE_STOPPED) {
        vcontrol_kill(n, i);
    }
}

static void
deliver(struct vnet *n, uint32_t i, struct control_event *ev)
{
    struct vcontrol *c = &n->controls[i];
    struct control_effects fx = {0};
    uint64_t life = c->life;

    if (c->control == NULL) {
        return;
    }
    ev->now = vnet_moment(n);
    control_step(c->control, ev, &fx);
    if (n->current != NULL) {
        (void)vhop_ask(n, POINT_READ, n->current, &n->current->at_us);
    }
    for (size_t k = 0; k < fx.n && c->control != NULL && c->life == life;
         k++) {
        carry_out(n, i, &fx.items[k]);
    }
    control_effects_free(&fx);
}

/* ---- events ---- */

void
vcontrol_stop(struct vnet *n, uint32_t control)
{
    struct control_event ev = {.kind = CEV_STOP};

    deliver(n, control, &ev);
}

int64_t
vcontrol_next_us(struct vnet *n, uint32_t *control)
{
    int64_t first_us = INT64_MAX;

    for (uint32_t i = 0; i < VCONTROLS; i++) {
        const struct vcontrol *c = &n->controls[i];
        int64_t us;

        if (c->control == NULL) {
            continue;
        }
        us = control_next_tick_us(c->control);
        us = us > c->tick_us + USEC_PER_MSEC ? us : c->tick_us + USEC_PER_MSEC;
        us = us > c->paused_until_us ? us : c->paused_until_us;
        if (us < first_us) {
            first_us = us;
            *control = i;
        }
    }
    return first_us;
}

void
vcontrol_tick(struct vnet *n, uint32_t control)
{
    struct control_event ev = {.kind = CEV_TICK};

    n->controls[control].tick_us = n->now_us;
    deliver(n, control, &ev);
}

void
vcontrol_begin(struct vnet *n)
{
    struct blob *state;

    for (uint32_t i = 0; i < VCONTROLS; i++) {
        (void)snprintf(n->control_names[i].s, NAME_SIZE, "c%u", i + 1);
    }
    state = founding_state(n);
    for (uint32_t i = 0; i < VCONTROLS; i++) {
        vdisk_format(&n->controls[i].disk, i + 1, state);
        start(n, i);
    }
    blob_unref(state);
}

static void
on_publish(struct vnet *n, const struct hop *h)
{
    struct control_event ev = {.kind = CEV_PUBLISH};
    char id[KEY_TEXT_SIZE];

    (void)snprintf(id, sizeof(id), "p%llu",
                   (unsigned long long)h->incarnation);
    ev.u.publish.request = h->call << 32 | h->from.index;
    ev.u.publish.publisher = name_of("operator");
    ev.u.publish.request_id = id;
    ev.u.publish.base_version = h->epoch;
    ev.u.publish.summary = "";
    ev.u.publish.config = h->blob;
    deliver(n, h->to.index, &ev);
}

static void
on_message(struct vnet *n, const struct hop *h)
{
    struct control_event ev = {.kind = CEV_MESSAGE};

    ev.u.message.from = h->from.role == END_CONTROL
                            ? n->control_names[h->from.index]
                            : n->instances[h->from.index].name;
    ev.u.message.msg = &h->msg;
    deliver(n, h->to.index, &ev);
}

static void
on_synced(struct vnet *n, const struct hop *h)
{
    struct vcontrol *c = &n->controls[h->to.index];
    struct control_event ev = {.kind = CEV_SAVED};

    if (h->life == c->life) {
        ev.u.saved.seq = vdisk_sync(&c->disk);
        deliver(n, h->to.index, &ev);
    }
}

void
vcontrol_arrives(struct vnet *n, struct hop *h)
{
    struct vcontrol *c = &n->controls[h->to.index];

    if (c->control == NULL) {
        return;
    }
    if (c->paused_until_us > n->now_us) {
        struct hop held = *h;

        held.at_us = c->paused_until_us;
        vhop_push(n, &held);
        memset(h, 0, sizeof(*h));
        return;
    }
    n->current = h;
    if (h->kind == HOP_ALARM) {
        on_synced(n, h);
    }
    else if (h->kind == HOP_PUBLISH) {
        on_publish(n, h);
    }
    else if (h->kind == HOP_MESSAGE) {
        on_message(n, h);
    }
    n->current = NULL;
}
