/*
 * Applies committed entries to the replicated state, and makes snapshots.
 */
#include <string.h>
#include <syslog.h>

#include "control_state.h"

void
apply_save_snapshot(struct control *c, struct blob *state, uint64_t index,
                    uint64_t term, bool discard)
{
    struct ce_snapshot *e =
        &control_effects_add(c->fx, CE_SNAPSHOT)->u.snapshot;

    e->index = index;
    e->term = term;
    e->state = blob_ref(state);
    e->discard = discard;
    blob_unref(c->snapshot);
    c->snapshot = state;
    c->snapshot_index = index;
    c->snapshot_term = term;
    c->snapshot_sync_seq = control_next_sync_seq(c);
    c->bytes_since_snapshot = 0;
    c->needs_sync = true;
    c->counters.snapshots++;
}

static void
apply_publish(struct control *c, const struct rec_log_entry *e,
              const struct rec_publish *p)
{
    struct fsm_outcome o;
    struct rec_publish publish = *p;

    if (c->opts.breaks[CONTROL_BREAK_FORGET_REQUESTS]) {
        publish.request_id.lo ^= e->index;
        publish.base_version = c->fsm.version;
    }
    o = fsm_publish(&c->fsm, e->index, e->term, &publish);
    if (o.result == CONTROL_OK && !o.resend) {
        c->counters.published++;
        control_log(c, LOG_NOTICE, CONTROL_REASON_PUBLISHED, p->publisher,
                    "version %llu: %s", (unsigned long long)c->fsm.version,
                    p->summary != NULL ? p->summary->data : "");
    }
    else if (o.result != CONTROL_OK) {
        c->counters.refused++;
        control_log(c, LOG_NOTICE, CONTROL_REASON_REFUSED, p->publisher,
                    "base version %llu: %s",
                    (unsigned long long)p->base_version,
                    control_result_slug(o.result));
    }
    serve_entry_applied(c, e->index, e->term, &o);
}

/* Whether no known zone would be left that is not evacuated. */
static bool
covers_all_zones(const struct control *c)
{
    for (size_t i = 0; i < c->opts.n_zones; i++) {
        if (!evacuation_covers(&c->fsm.evacuated, c->opts.zones[i])) {
            return false;
        }
    }
    return c->opts.n_zones > 0;
}

static void
apply_evacuation(struct control *c, const struct rec_log_entry *e,
                 const struct rec_evacuation_order *order)
{
    struct fsm_outcome o = fsm_evacuate(&c->fsm, order);

    if (o.result == CONTROL_OK && !o.resend) {
        c->counters.evacuation_orders++;
        control_log(c, LOG_NOTICE, CONTROL_REASON_EVACUATION, order->zone,
                    "%s by %s, revision %llu",
                    order->evacuate != 0 ? "begun" : "ended",
                    order->publisher.s,
                    (unsigned long long)c->fsm.evacuated.revision);
    }
    if (o.result == CONTROL_OK && order->evacuate != 0 &&
        covers_all_zones(c)) {
        control_log(c, LOG_WARNING, CONTROL_REASON_ALL_EVACUATED, order->zone,
                    "all zones are evacuated; no task is started");
    }
    serve_entry_applied(c, e->index, e->term, &o);
}

static void
apply_entry(struct control *c, const struct rec_log_entry *e)
{
    struct fsm_outcome o = {.result = CONTROL_OK};
    struct msg m = {0};
    bool valid = e->data != NULL &&
                 wire_decode(e->data->data, e->data->size, &m) == WIRE_OK;

    if (e->kind == LOG_KIND_NOOP) {
        return;
    }
    if (valid && e->kind == LOG_KIND_PUBLISH && m.kind == MSG_PUBLISH) {
        apply_publish(c, e, &m.u.publish);
    }
    else if (valid && e->kind == LOG_KIND_MEMBERS &&
             m.kind == MSG_MEMBERSHIP) {
        fsm_set_members(&c->fsm, &m.u.membership);
        control_log(c, LOG_NOTICE, CONTROL_REASON_MEMBERS, c->opts.self,
                    "%zu members", m.u.membership.n_members);
        serve_entry_applied(c, e->index, e->term, &o);
    }
    else if (valid && e->kind == LOG_KIND_EVACUATION &&
             m.kind == MSG_EVACUATION_ORDER) {
        apply_evacuation(c, e, &m.u.evacuation_order);
    }
    else {
        control_log(c, LOG_ERR, CONTROL_REASON_BAD_ENTRY, c->opts.self,
                    "entry %llu is invalid and ignored",
                    (unsigned long long)e->index);
    }
    msg_free(&m);
}

static void
make_snapshot_if_due(struct control *c)
{
    bool due =
        c->applied_index - c->snapshot_index >= c->opts.snapshot_entries ||
        c->bytes_since_snapshot >= c->opts.snapshot_bytes;
    uint64_t term = clog_term(&c->log, c->applied_index);
    struct blob *state;

    if (!due || c->snapshot_sync_seq > c->synced_seq) {
        return;
    }
    if (c->opts.breaks[CONTROL_BREAK_FORGET_EVACUATIONS]) {
        evacuation_clear(&c->fsm.evacuated);
    }
    state = fsm_encode(&c->fsm, c->applied_index, term);
    apply_save_snapshot(c, state, c->applied_index, term, false);
    control_log(c, LOG_INFO, CONTROL_REASON_SNAPSHOT, c->opts.self,
                "at %llu, %zu bytes", (unsigned long long)c->applied_index,
                state->size);
}

void
apply_committed(struct control *c)
{
    while (c->applied_index < c->commit_index) {
        const struct rec_log_entry *e = clog_at(&c->log, c->applied_index + 1);

        c->applied_index++;
        c->bytes_since_snapshot += e->data != NULL ? e->data->size : 0;
        apply_entry(c, e);
    }
    if ((c->role == CONTROL_LEADER &&
         c->applied_index >= c->term_start_index) ||
        (c->startup_read_index > 0 &&
         c->applied_index >= c->startup_read_index) ||
        c->opts.breaks[CONTROL_BREAK_SERVE_AFTER_RESTART]) {
        c->serving = true;
    }
    make_snapshot_if_due(c);
}

void
apply_compact_log(struct control *c)
{
    if (c->snapshot_sync_seq <= c->synced_seq &&
        c->snapshot_index > c->log.base + c->opts.log_tail_entries) {
        clog_drop(&c->log, c->snapshot_index - c->opts.log_tail_entries);
    }
}
