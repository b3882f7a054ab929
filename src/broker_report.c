/*
 * Lists of upstreams from the registries.
 *
 * A registry sends its whole list when this broker connects, then changes, and
 * every 20 s a digest of what it has sent.  A broker that has another list,
 * because a change was lost, the registry removed an upstream or this broker
 * did, requests the whole list.  Registries of the previous build send the
 * whole list every 20 s instead.
 */
#include "broker_state.h"

void
report_on_upstreams(struct broker *b, struct name from,
                    const struct rec_upstream_report *r)
{
    struct broker_peer *p = peers_find(b, from);

    for (size_t i = 0; p != NULL && i < r->n_upstreams; i++) {
        upstream_digest_set(&p->listed, &r->upstreams[i]);
    }
    hold_on_upstream_report(b, r);
}

/* As after a list with the same upstreams. */
static void
refresh_listed(struct broker *b, const struct upstream_digest *listed)
{
    struct broker_upstream *u;
    struct handle h;
    uint32_t at = 0;

    while ((u = table_next(&b->upstreams, &at, &h)) != NULL) {
        if (!upstream_digest_has(listed, u->hash)) {
            continue;
        }
        u->last_reported_us = b->now.mono_us;
        b->review_due = true;
        if (u->service != NULL) {
            u->service->placement_due = true;
        }
    }
}

void
report_on_digest(struct broker *b, struct name from,
                 const struct rec_upstream_digest *d)
{
    struct broker_peer *p = peers_find(b, from);
    struct msg m = {.kind = MSG_UPSTREAM_REQUEST};

    if (p == NULL) {
        return;
    }
    if (upstream_digest_equal(&p->listed, d)) {
        refresh_listed(b, &p->listed);
        return;
    }
    m.u.upstream_request.hash = p->listed.hash;
    /* The whole list replaces this one, which may have upstreams that the
     * registry has removed. */
    upstream_digest_clear(&p->listed);
    broker_send(b, from, &m);
}

void
report_on_removal(struct broker *b, const struct broker_upstream *u)
{
    for (struct broker_peer *p = b->peers; p != NULL; p = p->next) {
        upstream_digest_remove(&p->listed, u->hash);
    }
}
