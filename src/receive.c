/*
 * The receiving side of replication: takes entries and snapshots from the
 * leader (Raft 5.3 and 7).
 */
#include <stdlib.h>
#include <string.h>
#include <syslog.h>

#include "control_state.h"

static void
reply_append(struct control *c, struct name to, const struct rec_append *a,
             bool ok, uint64_t at)
{
    struct msg m = {.kind = MSG_APPEND_REPLY};
    struct rec_append_reply *r = &m.u.append_reply;
    uint64_t seq = c->hard_state_seq;

    r->term = c->term;
    r->ok = ok ? 1 : 0;
    r->match = ok ? at : 0;
    r->hint = ok ? 0 : at;
    r->round = a->round;
    r->disk = c->opts.disk;
    if (ok && clog_seq(&c->log, at) > seq) {
        seq = clog_seq(&c->log, at);
    }
    control_send(c, to, &m, seq);
}

/* Whether to accept @from as leader of @term; if so, follows it. */
static bool
accept_leader(struct control *c, struct name from, uint64_t term)
{
    if (term < c->term) {
        return false;
    }
    if (term == c->term && c->role == CONTROL_LEADER) {
        control_log(c, LOG_CRIT, CONTROL_REASON_BAD_MESSAGE, from,
                    "claims to lead our own term %llu",
                    (unsigned long long)term);
        return false;
    }
    election_become_follower(c, term, from);
    return true;
}

static bool
is_valid_append(const struct rec_append *a)
{
    for (size_t i = 0; i < a->n_entries; i++) {
        const struct rec_log_entry *e = &a->entries[i];

        if (e->index != a->prev_index + 1 + i || e->term > a->term ||
            e->kind > LOG_KIND_EVACUATION || log_kind_is_internal(e->kind)) {
            return false;
        }
    }
    return true;
}

/* Next index that the leader should try: the first entry of the conflicting
 * term, so that the leader backs up by terms and not by single entries. */
static uint64_t
next_index_hint(const struct control *c, uint64_t prev)
{
    uint64_t last = clog_last(&c->log);
    uint64_t term;

    if (prev > last) {
        return last + 1;
    }
    term = clog_term(&c->log, prev);
    while (prev > c->commit_index + 1 &&
           clog_term(&c->log, prev - 1) == term) {
        prev--;
    }
    return prev;
}

static void
truncate_log(struct control *c, uint64_t index)
{
    struct ce_truncate *t =
        &control_effects_add(c->fx, CE_TRUNCATE)->u.truncate;

    t->index = index;
    c->needs_sync = true;
    control_log(c, LOG_NOTICE, CONTROL_REASON_CUT, c->leader,
                "dropped uncommitted entries %llu to %llu",
                (unsigned long long)index,
                (unsigned long long)clog_last(&c->log));
    clog_cut(&c->log, index);
    if (c->members_index >= index) {
        quorum_reload_members(c);
    }
}

static void
adopt_members(struct control *c, const struct rec_log_entry *e)
{
    struct msg m;

    if (e->kind != LOG_KIND_MEMBERS || e->data == NULL ||
        wire_decode(e->data->data, e->data->size, &m) != WIRE_OK) {
        return;
    }
    if (m.kind == MSG_MEMBERSHIP) {
        quorum_set_members(c, &m.u.membership, e->index);
    }
    msg_free(&m);
}

/* Appends new entries, and truncates the log before an entry that conflicts;
 * false when a committed entry conflicts. */
static bool
merge_entries(struct control *c, const struct rec_append *a)
{
    size_t i = 0;

    while (i < a->n_entries) {
        const struct rec_log_entry *e = &a->entries[i];

        if (e->index > clog_last(&c->log)) {
            break;
        }
        if (e->index > c->log.base &&
            clog_term(&c->log, e->index) != e->term) {
            if (e->index <= c->commit_index) {
                return false;
            }
            truncate_log(c, e->index);
            break;
        }
        i++;
    }
    replicate_append(c, a->entries + i, a->n_entries - i);
    for (; i < a->n_entries; i++) {
        adopt_members(c, &a->entries[i]);
    }
    return true;
}

static void
update_commit(struct control *c, uint64_t commit, uint64_t match)
{
    uint64_t known = commit < match ? commit : match;

    if (c->opts.breaks[CONTROL_BREAK_SERVE_UNCOMMITTED]) {
        known = match;
    }
    if (known > c->commit_index) {
        c->commit_index = known;
    }
}

void
receive_append(struct control *c, struct name from, const struct rec_append *a)
{
    uint64_t match = a->prev_index + a->n_entries;
    bool matches;

    if (!is_valid_append(a) || !accept_leader(c, from, a->term)) {
        reply_append(c, from, a, false, clog_last(&c->log) + 1);
        return;
    }
    matches = a->prev_index < c->log.base ||
              (a->prev_index <= clog_last(&c->log) &&
               clog_term(&c->log, a->prev_index) == a->prev_term);
    if (!matches) {
        reply_append(c, from, a, false, next_index_hint(c, a->prev_index));
        return;
    }
    if (match > c->log.base && !merge_entries(c, a)) {
        control_log(c, LOG_CRIT, CONTROL_REASON_BAD_ENTRY, from,
                    "append conflicts with a committed entry");
        return;
    }
    update_commit(c, a->commit, match);
    /* A heartbeat acknowledges only what is already durable, so its reply is
     * not delayed by a slow disk: otherwise this member would look dead to the
     * leader, which would then step down. */
    if (a->n_entries == 0 && match > c->log.durable) {
        match = c->log.durable;
    }
    reply_append(c, from, a, true, match);
}

static void
reply_snapshot(struct control *c, struct name to, const struct rec_snapshot *s,
               uint64_t offset, uint64_t seq)
{
    struct msg m = {.kind = MSG_SNAPSHOT_REPLY};
    struct rec_snapshot_reply *r = &m.u.snapshot_reply;

    r->term = c->term;
    r->index = s->index;
    r->offset = offset;
    r->round = s->round;
    r->disk = c->opts.disk;
    control_send(c, to, &m, seq > c->hard_state_seq ? seq : c->hard_state_seq);
}

static void
reset_incoming(struct control *c)
{
    free(c->incoming.data);
    memset(&c->incoming, 0, sizeof(c->incoming));
}

static bool
is_valid_chunk(const struct rec_snapshot *s)
{
    return s->data != NULL && s->size <= WIRE_FRAME_MAX && s->size > 0 &&
           s->offset < s->size && s->data->size <= s->size - s->offset &&
           s->data->size > 0;
}

/* Stores a chunk; returns the offset of the next missing byte. */
static uint64_t
store_chunk(struct control *c, const struct rec_snapshot *s)
{
    struct incoming_snapshot *in = &c->incoming;

    if (in->index != s->index || in->size != s->size ||
        in->term != s->index_term) {
        reset_incoming(c);
        in->index = s->index;
        in->term = s->index_term;
        in->size = s->size;
        in->data = malloc(s->size);
        if (in->data == NULL) {
            abort();
        }
    }
    if (s->offset == in->received) {
        memcpy(in->data + in->received, s->data->data, s->data->size);
        in->received += s->data->size;
    }
    return in->received;
}

static bool
install_snapshot(struct control *c, struct name from)
{
    struct incoming_snapshot *in = &c->incoming;
    struct blob *state = blob_new(in->data, in->size);
    bool matches = clog_term(&c->log, in->index) == in->term;
    uint64_t index = 0;
    uint64_t term = 0;

    if (state == NULL || !fsm_decode(&c->fsm, state, &index, &term) ||
        index != in->index || term != in->term) {
        control_log(c, LOG_ERR, CONTROL_REASON_BAD_MESSAGE, from,
                    "snapshot cannot be decoded");
        blob_unref(state);
        return false;
    }
    if (matches) {
        clog_drop(&c->log, index);
    }
    else {
        clog_reset(&c->log, index, term);
    }
    c->commit_index = index;
    c->applied_index = index;
    apply_save_snapshot(c, state, index, term, !matches);
    quorum_reload_members(c);
    control_log(c, LOG_NOTICE, CONTROL_REASON_INSTALLED, from,
                "at %llu, version %llu", (unsigned long long)index,
                (unsigned long long)c->fsm.version);
    return true;
}

void
receive_snapshot(struct control *c, struct name from,
                 const struct rec_snapshot *s)
{
    uint64_t wanted;

    if (!is_valid_chunk(s)) {
        c->counters.messages_bad++;
        return;
    }
    if (!accept_leader(c, from, s->term)) {
        reply_snapshot(c, from, s, 0, 0);
        return;
    }
    if (s->index <= c->commit_index) {
        reply_snapshot(c, from, s, s->size, 0);
        return;
    }
    wanted = store_chunk(c, s);
    if (wanted == s->size && !install_snapshot(c, from)) {
        reset_incoming(c);
        return;
    }
    reply_snapshot(c, from, s, wanted,
                   wanted == s->size ? c->snapshot_sync_seq : 0);
    if (wanted == s->size) {
        reset_incoming(c);
    }
}
