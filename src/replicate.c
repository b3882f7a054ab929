#include <stdlib.h>
#include <string.h>
#include <syslog.h>

#include "control_state.h"

enum { IN_FLIGHT_MAX = 256 }; /* entries sent and not yet confirmed */

static struct blob *
encode(const struct msg *m)
{
    msgpack_sbuffer out;
    struct blob *b;

    msgpack_sbuffer_init(&out);
    if (wire_encode(m, &out) != WIRE_OK) {
        abort(); /* sizes are checked before */
    }
    b = blob_new(out.data, out.size);
    msgpack_sbuffer_destroy(&out);
    if (b == NULL) {
        abort();
    }
    return b;
}

/* Adds entries to the log, in memory and on the disk; takes no references. */
static void
add_entries(struct control *c, const struct rec_log_entry *entries, size_t n)
{
    struct ce_append *a;

    if (n == 0) {
        return;
    }
    a = &control_effects_add(c->fx, CE_APPEND)->u.append;
    a->entries = calloc(n, sizeof(*a->entries));
    if (a->entries == NULL) {
        abort();
    }
    a->n = n;
    for (size_t i = 0; i < n; i++) {
        a->entries[i] = entries[i];
        (void)blob_ref(entries[i].data);
        (void)blob_ref(entries[i].data);
        clog_add(&c->log, &entries[i], control_next_seq(c));
    }
    c->dirty = true;
}

/* The leader's side. */
static void
send_append(struct control *c, struct progress *p, size_t most)
{
    struct msg m = {.kind = MSG_APPEND};
    struct rec_append *a = &m.u.append;
    uint64_t last = clog_last(&c->log);
    size_t bytes = 0;
    size_t n = 0;

    a->term = c->term;
    a->prev_index = p->next - 1;
    a->prev_term = clog_term(&c->log, p->next - 1);
    a->commit = c->commit;
    a->round = c->round;
    while (n < most && p->next + n <= last && bytes < c->opts.batch) {
        const struct rec_log_entry *e = clog_at(&c->log, p->next + n);

        bytes += e->data != NULL ? e->data->size : 0;
        n++;
    }
    if (n > 0) {
        a->entries = calloc(n, sizeof(*a->entries));
        if (a->entries == NULL) {
            abort();
        }
    }
    for (size_t i = 0; i < n; i++) {
        a->entries[i] = *clog_at(&c->log, p->next + i);
        (void)blob_ref(a->entries[i].data);
    }
    a->n_entries = n;
    p->next += n;
    control_send(c, p->name, &m, c->hard_seq);
}

static void
send_chunk(struct control *c, struct progress *p)
{
    struct msg m = {.kind = MSG_SNAPSHOT};
    struct rec_snapshot *s = &m.u.snapshot;
    size_t left = p->snapshot->size - p->snapshot_offset;
    size_t size = left < c->opts.chunk ? left : c->opts.chunk;

    s->term = c->term;
    s->index = p->snapshot_index;
    s->index_term = p->snapshot_term;
    s->size = p->snapshot->size;
    s->offset = p->snapshot_offset;
    s->round = c->round;
    s->data = blob_new(p->snapshot->data + p->snapshot_offset, size);
    p->sent_us = c->now.mono_us;
    control_send(c, p->name, &m, c->hard_seq);
}

static void
end_snapshot(struct progress *p)
{
    blob_unref(p->snapshot);
    p->snapshot = NULL;
    p->snapshot_offset = 0;
    p->sent_us = 0;
}

static void
begin_snapshot(struct control *c, struct progress *p)
{
    end_snapshot(p);
    p->snapshot = blob_ref(c->snapshot);
    p->snapshot_index = c->snapshot_index;
    p->snapshot_term = c->snapshot_term;
    send_chunk(c, p);
}

/* Sends what the member lacks, as far as it may be sent now. */
static void
send_more(struct control *c, struct progress *p)
{
    uint64_t last = clog_last(&c->log);

    if (p->snapshot != NULL || p->next > last || p->probing) {
        return;
    }
    if (p->next <= c->log.base) {
        begin_snapshot(c, p);
        return;
    }
    while (p->next <= last && p->next - p->match <= IN_FLIGHT_MAX) {
        send_append(c, p, IN_FLIGHT_MAX);
    }
}

static void
probe(struct control *c, struct progress *p)
{
    if (p->snapshot == NULL && p->next <= c->log.base) {
        begin_snapshot(c, p);
        return;
    }
    send_append(c, p, 0);
}

static void
for_others(struct control *c,
           void (*visit)(struct control *c, struct progress *p))
{
    for (size_t i = 0; i < c->members.n_members; i++) {
        struct progress *p = quorum_peer(c, c->members.members[i].name);

        if (p != NULL) {
            visit(c, p);
        }
    }
}

uint64_t
replicate_propose(struct control *c, enum log_kind kind,
                  const struct msg *data)
{
    struct rec_log_entry e = {
        .index = clog_last(&c->log) + 1,
        .term = c->term,
        .kind = kind,
        .data = data != NULL ? encode(data) : NULL,
    };

    add_entries(c, &e, 1);
    blob_unref(e.data);
    if (kind == LOG_KIND_MEMBERS) {
        quorum_set_members(c, &data->u.membership, e.index);
    }
    for_others(c, send_more);
    replicate_advance(c);
    return e.index;
}

static void
beat(struct control *c, struct progress *p)
{
    bool overdue = c->now.mono_us - p->sent_us >= 2 * c->opts.heartbeat_us;

    if (p->snapshot != NULL && overdue) {
        send_chunk(c, p);
        return;
    }
    if (p->snapshot != NULL || p->probing) {
        probe(c, p);
        return;
    }
    send_append(c, p, 0);
}

void
replicate_heartbeat(struct control *c)
{
    c->round++;
    c->round_us = c->now.mono_us;
    for_others(c, beat);
}

static void
restart_progress(struct control *c, struct progress *p)
{
    end_snapshot(p);
    p->next = clog_last(&c->log) + 1;
    p->match = 0;
    p->round = 0;
    p->probing = true;
}

void
replicate_start_leading(struct control *c)
{
    for (size_t i = 0; i < PEERS_MAX; i++) {
        restart_progress(c, &c->peers[i]);
    }
    c->first_of_term = clog_last(&c->log) + 1;
    (void)replicate_propose(c, LOG_KIND_NOOP, NULL);
    c->heartbeat_us = c->now.mono_us + c->opts.heartbeat_us;
    replicate_heartbeat(c);
}

static void
announce_commit(struct control *c, struct progress *p)
{
    if (p->snapshot == NULL && !p->probing) {
        send_append(c, p, 0);
    }
}

/* Only an entry of the own term is committed by counting; those before it are
 * then, too.  An older entry on a majority could still be replaced by a leader
 * that never saw it. */
void
replicate_advance(struct control *c)
{
    uint64_t index;

    if (c->role != CONTROL_LEADER) {
        return;
    }
    index = quorum_index(c);
    if (index <= c->commit || clog_term(&c->log, index) != c->term) {
        return;
    }
    c->commit = index;
    for_others(c, announce_commit);
}

/* Notes that a member spoke; NULL when the reply is not for this leader. */
static struct progress *
reply_from(struct control *c, struct name from, uint64_t term, uint64_t disk)
{
    struct progress *p = quorum_peer(c, from);
    const struct rec_control_member *m = quorum_member(c, from);

    if (p == NULL || c->role != CONTROL_LEADER || term < c->term) {
        return NULL;
    }
    if (p->disk != disk) {
        if (m != NULL && m->voter != 0 && m->disk != disk) {
            control_log(c, LOG_WARNING, CONTROL_REASON_OTHER_DISK, from,
                        "no vote until it is replaced");
        }
        restart_progress(c, p);
        p->disk = disk;
    }
    p->heard_us = c->now.mono_us;
    if (term > c->term) {
        /* Not for one that came back with another disk: until an operator
         * replaces it, it must not move the leader. */
        if (quorum_counts(c, p) || (m != NULL && m->voter == 0)) {
            election_outbid(c, term);
        }
        return NULL;
    }
    return p;
}

static void
confirmed(struct control *c, struct progress *p, uint64_t match)
{
    if (match > clog_last(&c->log)) {
        return;
    }
    if (match > p->match) {
        p->match = match;
    }
    if (p->next <= p->match) {
        p->next = p->match + 1;
    }
    p->probing = false;
    replicate_advance(c);
    quorum_promote(c, p);
    send_more(c, p);
}

void
replicate_on_reply(struct control *c, struct name from,
                   const struct rec_append_reply *r)
{
    struct progress *p = reply_from(c, from, r->term, r->disk);

    if (p == NULL) {
        return;
    }
    if (r->round > p->round && r->round <= c->round) {
        p->round = r->round;
    }
    if (r->ok != 0) {
        confirmed(c, p, r->match);
        return;
    }
    if (p->snapshot != NULL || r->hint > p->next) {
        return;
    }
    /* The hint may lie before what the member confirmed: its entries of one
     * term are given up as a whole, though the first of them agree. */
    p->next = r->hint > p->match ? r->hint : p->match + 1;
    p->probing = true;
    probe(c, p);
}

void
replicate_on_snapshot_reply(struct control *c, struct name from,
                            const struct rec_snapshot_reply *r)
{
    struct progress *p = reply_from(c, from, r->term, r->disk);

    if (p == NULL) {
        return;
    }
    if (r->round > p->round && r->round <= c->round) {
        p->round = r->round;
    }
    if (p->snapshot == NULL || r->index != p->snapshot_index ||
        r->offset > p->snapshot->size) {
        return;
    }
    if (r->offset == p->snapshot->size) {
        end_snapshot(p);
        confirmed(c, p, r->index);
        return;
    }
    if (r->offset != p->snapshot_offset) {
        p->snapshot_offset = r->offset;
        send_chunk(c, p);
    }
}

/* The follower's side. */
static void
reply_append(struct control *c, struct name to, const struct rec_append *a,
             bool ok, uint64_t at)
{
    struct msg m = {.kind = MSG_APPEND_REPLY};
    struct rec_append_reply *r = &m.u.append_reply;
    uint64_t seq = c->hard_seq;

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

/* Whether to listen to a leader of that term. */
static bool
accept_leader(struct control *c, struct name from, uint64_t term)
{
    if (term < c->term) {
        return false;
    }
    if (term == c->term && c->role == CONTROL_LEADER) {
        control_log(c, LOG_CRIT, CONTROL_REASON_BAD_MESSAGE, from,
                    "leads in our own term %llu", (unsigned long long)term);
        return false;
    }
    election_follow(c, term, from);
    return true;
}

static bool
append_sound(const struct rec_append *a)
{
    for (size_t i = 0; i < a->n_entries; i++) {
        const struct rec_log_entry *e = &a->entries[i];

        if (e->index != a->prev_index + 1 + i || e->term > a->term ||
            e->kind > LOG_KIND_MEMBERS) {
            return false;
        }
    }
    return true;
}

/* Where the leader should try next: before the term that does not agree. */
static uint64_t
hint_for(const struct control *c, uint64_t prev)
{
    uint64_t last = clog_last(&c->log);
    uint64_t term;

    if (prev > last) {
        return last + 1;
    }
    term = clog_term(&c->log, prev);
    while (prev > c->commit + 1 && clog_term(&c->log, prev - 1) == term) {
        prev--;
    }
    return prev;
}

static void
cut_tail(struct control *c, uint64_t index)
{
    struct ce_truncate *t =
        &control_effects_add(c->fx, CE_TRUNCATE)->u.truncate;

    t->index = index;
    c->dirty = true;
    control_log(c, LOG_NOTICE, CONTROL_REASON_CUT, c->leader,
                "entries %llu to %llu were never committed",
                (unsigned long long)index,
                (unsigned long long)clog_last(&c->log));
    clog_cut(&c->log, index);
    if (c->members_index >= index) {
        quorum_recall_members(c);
    }
}

static void
note_members(struct control *c, const struct rec_log_entry *e)
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

/* Adds what is new; false when it contradicts what is committed here. */
static bool
take_entries(struct control *c, const struct rec_append *a)
{
    size_t i = 0;

    while (i < a->n_entries) {
        const struct rec_log_entry *e = &a->entries[i];

        if (e->index > clog_last(&c->log)) {
            break;
        }
        if (e->index > c->log.base &&
            clog_term(&c->log, e->index) != e->term) {
            if (e->index <= c->commit) {
                return false;
            }
            cut_tail(c, e->index);
            break;
        }
        i++;
    }
    add_entries(c, a->entries + i, a->n_entries - i);
    for (; i < a->n_entries; i++) {
        note_members(c, &a->entries[i]);
    }
    return true;
}

static void
learn_commit(struct control *c, uint64_t commit, uint64_t match)
{
    uint64_t known = commit < match ? commit : match;

    if (c->opts.breaks[CONTROL_BREAK_SERVE_UNCOMMITTED]) {
        known = match;
    }
    if (known > c->commit) {
        c->commit = known;
    }
}

void
replicate_on_append(struct control *c, struct name from,
                    const struct rec_append *a)
{
    uint64_t match = a->prev_index + a->n_entries;
    bool agrees;

    if (!append_sound(a) || !accept_leader(c, from, a->term)) {
        reply_append(c, from, a, false, clog_last(&c->log) + 1);
        return;
    }
    agrees = a->prev_index < c->log.base ||
             (a->prev_index <= clog_last(&c->log) &&
              clog_term(&c->log, a->prev_index) == a->prev_term);
    if (!agrees) {
        reply_append(c, from, a, false, hint_for(c, a->prev_index));
        return;
    }
    if (match > c->log.base && !take_entries(c, a)) {
        control_log(c, LOG_CRIT, CONTROL_REASON_BAD_ENTRY, from,
                    "contradicts what is committed here");
        return;
    }
    learn_commit(c, a->commit, match);
    /* A heartbeat is answered with what is durable already.  Waiting for a
     * slow disk, this member would look dead, and its leader step down. */
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
    control_send(c, to, &m, seq > c->hard_seq ? seq : c->hard_seq);
}

static void
drop_incoming(struct control *c)
{
    free(c->incoming.data);
    memset(&c->incoming, 0, sizeof(c->incoming));
}

static bool
chunk_sound(const struct rec_snapshot *s)
{
    return s->data != NULL && s->size <= WIRE_FRAME_MAX && s->size > 0 &&
           s->offset < s->size && s->data->size <= s->size - s->offset &&
           s->data->size > 0;
}

/* Adds a chunk; returns the offset wanted next. */
static uint64_t
collect(struct control *c, const struct rec_snapshot *s)
{
    struct incoming_snapshot *in = &c->incoming;

    if (in->index != s->index || in->size != s->size ||
        in->term != s->index_term) {
        drop_incoming(c);
        in->index = s->index;
        in->term = s->index_term;
        in->size = s->size;
        in->data = malloc(s->size);
        if (in->data == NULL) {
            abort();
        }
    }
    if (s->offset == in->got) {
        memcpy(in->data + in->got, s->data->data, s->data->size);
        in->got += s->data->size;
    }
    return in->got;
}

static void
save_snapshot(struct control *c, struct blob *state, uint64_t index,
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
    c->snapshot_seq = control_next_seq(c);
    c->bytes_since = 0;
    c->dirty = true;
    c->counters.snapshots++;
}

static bool
install(struct control *c, struct name from)
{
    struct incoming_snapshot *in = &c->incoming;
    struct blob *state = blob_new(in->data, in->size);
    bool agrees = clog_term(&c->log, in->index) == in->term;
    uint64_t index = 0;
    uint64_t term = 0;

    if (state == NULL || !fsm_decode(&c->fsm, state, &index, &term) ||
        index != in->index || term != in->term) {
        control_log(c, LOG_ERR, CONTROL_REASON_BAD_MESSAGE, from,
                    "snapshot cannot be read");
        blob_unref(state);
        return false;
    }
    if (agrees) {
        clog_drop(&c->log, index);
    }
    else {
        clog_reset(&c->log, index, term);
    }
    c->commit = index;
    c->applied = index;
    save_snapshot(c, state, index, term, !agrees);
    quorum_recall_members(c);
    control_log(c, LOG_NOTICE, CONTROL_REASON_INSTALLED, from,
                "at %llu, version %llu", (unsigned long long)index,
                (unsigned long long)c->fsm.version);
    return true;
}

void
replicate_on_snapshot(struct control *c, struct name from,
                      const struct rec_snapshot *s)
{
    uint64_t wanted;

    if (!chunk_sound(s)) {
        c->counters.messages_bad++;
        return;
    }
    if (!accept_leader(c, from, s->term)) {
        reply_snapshot(c, from, s, 0, 0);
        return;
    }
    if (s->index <= c->commit) {
        reply_snapshot(c, from, s, s->size, 0);
        return;
    }
    wanted = collect(c, s);
    if (wanted == s->size && !install(c, from)) {
        drop_incoming(c);
        return;
    }
    reply_snapshot(c, from, s, wanted,
                   wanted == s->size ? c->snapshot_seq : 0);
    if (wanted == s->size) {
        drop_incoming(c);
    }
}

/* Both sides. */
static void
apply_publish(struct control *c, const struct rec_log_entry *e,
              const struct rec_publish *p)
{
    struct fsm_outcome o;
    struct rec_publish anew = *p;

    if (c->opts.breaks[CONTROL_BREAK_FORGET_REQUESTS]) {
        anew.request_id.lo ^= e->index;
        anew.base_version = c->fsm.version;
    }
    o = fsm_publish(&c->fsm, e->index, e->term, &anew);
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
    serve_applied(c, e->index, e->term, &o);
}

static void
apply_entry(struct control *c, const struct rec_log_entry *e)
{
    struct fsm_outcome o = {.result = CONTROL_OK};
    struct msg m = {0};
    bool sound = e->data != NULL &&
                 wire_decode(e->data->data, e->data->size, &m) == WIRE_OK;

    if (e->kind == LOG_KIND_NOOP) {
        return;
    }
    if (sound && e->kind == LOG_KIND_PUBLISH && m.kind == MSG_PUBLISH) {
        apply_publish(c, e, &m.u.publish);
    }
    else if (sound && e->kind == LOG_KIND_MEMBERS &&
             m.kind == MSG_MEMBERSHIP) {
        fsm_set_members(&c->fsm, &m.u.membership);
        control_log(c, LOG_NOTICE, CONTROL_REASON_MEMBERS, c->opts.self,
                    "%zu members", m.u.membership.n_members);
        serve_applied(c, e->index, e->term, &o);
    }
    else {
        control_log(c, LOG_ERR, CONTROL_REASON_BAD_ENTRY, c->opts.self,
                    "entry %llu is ignored", (unsigned long long)e->index);
    }
    msg_free(&m);
}

static void
make_snapshot(struct control *c)
{
    bool due = c->applied - c->snapshot_index >= c->opts.snapshot_entries ||
               c->bytes_since >= c->opts.snapshot_bytes;
    uint64_t term = clog_term(&c->log, c->applied);
    struct blob *state;

    if (!due || c->snapshot_seq > c->saved) {
        return;
    }
    state = fsm_encode(&c->fsm, c->applied, term);
    save_snapshot(c, state, c->applied, term, false);
    control_log(c, LOG_INFO, CONTROL_REASON_SNAPSHOT, c->opts.self,
                "at %llu, %zu bytes", (unsigned long long)c->applied,
                state->size);
}

void
replicate_apply(struct control *c)
{
    while (c->applied < c->commit) {
        const struct rec_log_entry *e = clog_at(&c->log, c->applied + 1);

        c->applied++;
        c->bytes_since += e->data != NULL ? e->data->size : 0;
        apply_entry(c, e);
    }
    if ((c->role == CONTROL_LEADER && c->applied >= c->first_of_term) ||
        (c->serve_index > 0 && c->applied >= c->serve_index) ||
        c->opts.breaks[CONTROL_BREAK_SERVE_AFTER_RESTART]) {
        c->serving = true;
    }
    make_snapshot(c);
}

void
replicate_saved(struct control *c)
{
    if (c->snapshot_seq <= c->saved &&
        c->snapshot_index > c->log.base + c->opts.trail) {
        clog_drop(&c->log, c->snapshot_index - c->opts.trail);
    }
}
