/*
 * The leader's side of replication: appends entries, sends them and snapshots
 * to the other members, and advances the commit index (Raft 5.3).
 */
#include <stdlib.h>
#include <string.h>
#include <syslog.h>

#include "control_state.h"

enum { IN_FLIGHT_MAX = 256 }; /* entries sent and not yet acknowledged */

static struct blob *
encode_entry(const struct msg *m)
{
    struct blob *b = wire_encode_blob(m);

    if (b == NULL) {
        abort(); /* callers keep the size below the frame limit */
    }
    return b;
}

void
replicate_append(struct control *c, const struct rec_log_entry *entries,
                 size_t n)
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
    a->n_entries = n;
    for (size_t i = 0; i < n; i++) {
        a->entries[i] = entries[i];
        (void)blob_ref(entries[i].data);
        (void)blob_ref(entries[i].data);
        clog_add(&c->log, &entries[i], control_next_sync_seq(c));
    }
    c->needs_sync = true;
}

static void
send_append(struct control *c, struct progress *p, size_t max_entries)
{
    struct msg m = {.kind = MSG_APPEND};
    struct rec_append *a = &m.u.append;
    uint64_t last = clog_last(&c->log);
    size_t bytes = 0;
    size_t n = 0;

    a->term = c->term;
    a->prev_index = p->next_index - 1;
    a->prev_term = clog_term(&c->log, p->next_index - 1);
    a->commit = c->commit_index;
    a->round = c->heartbeat_round;
    while (n < max_entries && p->next_index + n <= last &&
           bytes < c->opts.append_batch_bytes) {
        const struct rec_log_entry *e = clog_at(&c->log, p->next_index + n);

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
        a->entries[i] = *clog_at(&c->log, p->next_index + i);
        (void)blob_ref(a->entries[i].data);
    }
    a->n_entries = n;
    p->next_index += n;
    control_send(c, p->name, &m, c->hard_state_seq);
}

static void
send_chunk(struct control *c, struct progress *p)
{
    struct msg m = {.kind = MSG_SNAPSHOT};
    struct rec_snapshot *s = &m.u.snapshot;
    size_t left = p->snapshot->size - p->next_offset;
    size_t size = left < c->opts.snapshot_chunk_bytes
                      ? left
                      : c->opts.snapshot_chunk_bytes;

    s->term = c->term;
    s->index = p->snapshot_index;
    s->index_term = p->snapshot_term;
    s->size = p->snapshot->size;
    s->offset = p->next_offset;
    s->round = c->heartbeat_round;
    s->data = blob_new(p->snapshot->data + p->next_offset, size);
    p->chunk_sent_us = c->now.mono_us;
    control_send(c, p->name, &m, c->hard_state_seq);
}

static void
reset_snapshot(struct progress *p)
{
    blob_unref(p->snapshot);
    p->snapshot = NULL;
    p->next_offset = 0;
    p->chunk_sent_us = 0;
}

static void
start_snapshot(struct control *c, struct progress *p)
{
    reset_snapshot(p);
    p->snapshot = blob_ref(c->snapshot);
    p->snapshot_index = c->snapshot_index;
    p->snapshot_term = c->snapshot_term;
    send_chunk(c, p);
}

/* Sends missing entries up to IN_FLIGHT_MAX, or starts a snapshot if the log
 * no longer holds them. */
static void
send_entries(struct control *c, struct progress *p)
{
    uint64_t last = clog_last(&c->log);

    if (p->snapshot != NULL || p->next_index > last || p->is_probing) {
        return;
    }
    if (p->next_index <= c->log.base) {
        start_snapshot(c, p);
        return;
    }
    while (p->next_index <= last &&
           p->next_index - p->match_index <= IN_FLIGHT_MAX) {
        send_append(c, p, IN_FLIGHT_MAX);
    }
}

static void
send_probe(struct control *c, struct progress *p)
{
    if (p->snapshot == NULL && p->next_index <= c->log.base) {
        start_snapshot(c, p);
        return;
    }
    send_append(c, p, 0);
}

static void
for_each_peer(struct control *c,
              void (*visit)(struct control *c, struct progress *p))
{
    for (size_t i = 0; i < c->members.n_members; i++) {
        struct progress *p = quorum_progress(c, c->members.members[i].name);

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
        .data = data != NULL ? encode_entry(data) : NULL,
    };

    replicate_append(c, &e, 1);
    blob_unref(e.data);
    if (kind == LOG_KIND_MEMBERS) {
        quorum_set_members(c, &data->u.membership, e.index);
    }
    for_each_peer(c, send_entries);
    replicate_advance_commit(c);
    return e.index;
}

static void
send_heartbeat(struct control *c, struct progress *p)
{
    bool chunk_overdue =
        c->now.mono_us - p->chunk_sent_us >= 2 * c->opts.heartbeat_interval_us;

    if (p->snapshot != NULL && chunk_overdue) {
        send_chunk(c, p);
        return;
    }
    if (p->snapshot != NULL || p->is_probing) {
        send_probe(c, p);
        return;
    }
    send_append(c, p, 0);
}

void
replicate_heartbeat(struct control *c)
{
    c->heartbeat_round++;
    c->round_start_us = c->now.mono_us;
    for_each_peer(c, send_heartbeat);
}

static void
reset_progress(struct control *c, struct progress *p)
{
    reset_snapshot(p);
    p->next_index = clog_last(&c->log) + 1;
    p->match_index = 0;
    p->acked_round = 0;
    p->is_probing = true;
}

void
replicate_init_leader(struct control *c)
{
    for (size_t i = 0; i < PEERS_MAX; i++) {
        reset_progress(c, &c->peers[i]);
    }
    c->term_start_index = clog_last(&c->log) + 1;
    (void)replicate_propose(c, LOG_KIND_NOOP, NULL);
    c->heartbeat_due_us = c->now.mono_us + c->opts.heartbeat_interval_us;
    replicate_heartbeat(c);
}

static void
send_commit(struct control *c, struct progress *p)
{
    if (p->snapshot == NULL && !p->is_probing) {
        send_append(c, p, 0);
    }
}

/* Only an entry of the leader's own term is committed by counting replicas,
 * and that commits all entries before it (Raft 5.4.2).  An entry of an older
 * term could be replaced by a later leader although a majority has it. */
void
replicate_advance_commit(struct control *c)
{
    uint64_t index;

    if (c->role != CONTROL_LEADER) {
        return;
    }
    index = quorum_match_index(c);
    if (index <= c->commit_index || clog_term(&c->log, index) != c->term) {
        return;
    }
    c->commit_index = index;
    for_each_peer(c, send_commit);
}

/* Records contact with a member that replied, and returns its progress; NULL
 * when the reply is not to be processed further. */
static struct progress *
accept_reply(struct control *c, struct name from, uint64_t term, uint64_t disk)
{
    struct progress *p = quorum_progress(c, from);
    const struct rec_control_member *m = quorum_find_member(c, from);

    if (p == NULL || c->role != CONTROL_LEADER || term < c->term) {
        return NULL;
    }
    if (p->disk != disk) {
        if (m != NULL && m->voter != 0 && m->disk != disk) {
            control_log(c, LOG_WARNING, CONTROL_REASON_OTHER_DISK, from,
                        "vote not counted until the member is replaced");
        }
        reset_progress(c, p);
        p->disk = disk;
    }
    p->last_heard_us = c->now.mono_us;
    if (term > c->term) {
        /* A voter that came back with another disk must not cause an
         * election; it has to be replaced first. */
        if (quorum_peer_is_voter(c, p) || (m != NULL && m->voter == 0)) {
            election_campaign_above(c, term);
        }
        return NULL;
    }
    return p;
}

static void
on_match(struct control *c, struct progress *p, uint64_t match)
{
    if (match > clog_last(&c->log)) {
        return;
    }
    if (match > p->match_index) {
        p->match_index = match;
    }
    if (p->next_index <= p->match_index) {
        p->next_index = p->match_index + 1;
    }
    p->is_probing = false;
    replicate_advance_commit(c);
    quorum_promote_learner(c, p);
    send_entries(c, p);
}

void
replicate_on_append_reply(struct control *c, struct name from,
                          const struct rec_append_reply *r)
{
    struct progress *p = accept_reply(c, from, r->term, r->disk);

    if (p == NULL) {
        return;
    }
    if (r->round > p->acked_round && r->round <= c->heartbeat_round) {
        p->acked_round = r->round;
    }
    if (r->ok != 0) {
        on_match(c, p, r->match);
        return;
    }
    if (p->snapshot != NULL || r->hint > p->next_index) {
        return;
    }
    /* The hint skips all of the member's entries of one term, so it can lie
     * before the match index. */
    p->next_index = r->hint > p->match_index ? r->hint : p->match_index + 1;
    p->is_probing = true;
    send_probe(c, p);
}

void
replicate_on_snapshot_reply(struct control *c, struct name from,
                            const struct rec_snapshot_reply *r)
{
    struct progress *p = accept_reply(c, from, r->term, r->disk);

    if (p == NULL) {
        return;
    }
    if (r->round > p->acked_round && r->round <= c->heartbeat_round) {
        p->acked_round = r->round;
    }
    if (p->snapshot == NULL || r->index != p->snapshot_index ||
        r->offset > p->snapshot->size) {
        return;
    }
    if (r->offset == p->snapshot->size) {
        reset_snapshot(p);
        on_match(c, p, r->index);
        return;
    }
    if (r->offset != p->next_offset) {
        p->next_offset = r->offset;
        send_chunk(c, p);
    }
}
