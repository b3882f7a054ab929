#include "control.h"

#include <stdarg.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <syslog.h>
#include <xxhash.h>

#include "control_state.h"

/* A message with a term further above our own is rejected as corrupted. */
#define TERM_JUMP_MAX (UINT64_C(1) << 32)

struct control_options
control_options_default(void)
{
    return (struct control_options){
        .seed = 1,
        .election_timeout_us = 2 * USEC_PER_SEC,
        .heartbeat_interval_us = 500 * USEC_PER_MSEC,
        .poll_timeout_us = 4 * USEC_PER_SEC,
        .follower_timeout_us = 60 * USEC_PER_SEC,
        .request_timeout_us = 10 * USEC_PER_SEC,
        .stop_timeout_us = 5 * USEC_PER_SEC,
        .remove_timeout_us = 3500 * USEC_PER_MSEC,
        .snapshot_entries = 256,
        .snapshot_bytes = (size_t)8 << 20,
        .log_tail_entries = 64,
        .snapshot_chunk_bytes = (size_t)64 << 10,
        .append_batch_bytes = (size_t)256 << 10,
        .limits = {.publications = 4096,
                   .texts = 16,
                   .text_bytes = (size_t)8 << 20},
    };
}

uint64_t
control_founding_disk(struct name region, struct name member)
{
    char text[2 * NAME_SIZE + 2];

    (void)snprintf(text, sizeof(text), "%s/%s", region.s, member.s);
    return XXH3_64bits(text, strlen(text)) | 1;
}

struct blob *
control_founding_state(const struct rec_membership *m)
{
    struct fsm f;
    struct blob *state;

    fsm_init(&f, control_options_default().limits);
    fsm_set_members(&f, m);
    state = fsm_encode(&f, CONTROL_FOUNDING_INDEX, CONTROL_FOUNDING_TERM);
    fsm_free(&f);
    return state;
}

uint64_t
control_random(struct control *c)
{
    return random_next(&c->random);
}

void
control_log(struct control *c, int severity, enum control_reason reason,
            struct name subject, const char *format, ...)
{
    struct ce_log *log = &control_effects_add(c->fx, CE_LOG)->u.log;
    va_list args;

    log->severity = severity;
    log->reason = reason;
    log->subject = subject;
    va_start(args, format);
    (void)vsnprintf(log->detail, sizeof(log->detail), format, args);
    va_end(args);
}

uint64_t
control_next_sync_seq(const struct control *c)
{
    return c->sync_seq + 1;
}

static void
send_now(struct control *c, struct name to, struct msg *m)
{
    struct ce_send *s = &control_effects_add(c->fx, CE_SEND)->u.send;

    s->to = to;
    s->msg = *m;
    memset(m, 0, sizeof(*m));
    c->counters.messages_sent++;
}

/* Votes and acknowledgements are sent only after the state they refer to is
 * durable.  Otherwise a power loss could erase a vote or an entry that another
 * member already counts: two leaders in one term, or a lost change. */
void
control_send(struct control *c, struct name to, struct msg *m, uint64_t seq)
{
    struct deferred_message *grown;

    if (seq <= c->synced_seq ||
        c->opts.breaks[CONTROL_BREAK_ACK_BEFORE_SYNC]) {
        send_now(c, to, m);
        return;
    }
    grown = realloc(c->deferred, (c->n_deferred + 1) * sizeof(*grown));
    if (grown == NULL) {
        abort();
    }
    c->deferred = grown;
    c->deferred[c->n_deferred].sync_seq = seq;
    c->deferred[c->n_deferred].to = to;
    c->deferred[c->n_deferred].msg = *m;
    c->n_deferred++;
    memset(m, 0, sizeof(*m));
}

static void
send_deferred(struct control *c)
{
    size_t kept = 0;

    for (size_t i = 0; i < c->n_deferred; i++) {
        if (c->deferred[i].sync_seq <= c->synced_seq) {
            send_now(c, c->deferred[i].to, &c->deferred[i].msg);
        }
        else {
            c->deferred[kept++] = c->deferred[i];
        }
    }
    c->n_deferred = kept;
}

void
control_save_term(struct control *c, uint64_t term, struct name vote)
{
    struct ce_vote *v = &control_effects_add(c->fx, CE_SAVE_VOTE)->u.vote;

    c->term = term;
    c->vote = vote;
    v->term = term;
    v->vote = vote;
    c->hard_state_seq = control_next_sync_seq(c);
    c->needs_sync = true;
}

static void
load_entries(struct control *c, const struct storage_contents *found)
{
    for (size_t i = 0; i < found->n_entries; i++) {
        struct rec_log_entry e = found->entries[i];

        (void)blob_ref(e.data);
        clog_add(&c->log, &e, 0);
    }
    clog_saved(&c->log, 0);
}

static bool
load_snapshot(struct control *c, const struct storage_contents *found)
{
    uint64_t index = 0;
    uint64_t term = 0;

    if (found->snapshot == NULL) {
        return true;
    }
    if (!fsm_decode(&c->fsm, found->snapshot, &index, &term) ||
        index != found->snapshot_index || term != found->snapshot_term) {
        return false;
    }
    c->snapshot = blob_ref(found->snapshot);
    c->snapshot_index = index;
    c->snapshot_term = term;
    c->commit_index = index;
    c->applied_index = index;
    return true;
}

struct control *
control_new(const struct control_options *o,
            const struct storage_contents *found)
{
    struct control *c = calloc(1, sizeof(*c));

    if (c == NULL) {
        abort();
    }
    c->opts = *o;
    c->random = o->seed;
    c->served.render = o->render;
    fsm_init(&c->fsm, o->limits);
    clog_init(&c->log, found->snapshot_index, found->snapshot_term);
    if (!load_snapshot(c, found)) {
        control_free(c);
        return NULL;
    }
    load_entries(c, found);
    c->term = found->term;
    c->vote = found->vote;
    if (clog_last_term(&c->log) > c->term) {
        c->term = clog_last_term(&c->log);
        c->vote = name_of("");
    }
    quorum_reload_members(c);
    return c;
}

void
control_free(struct control *c)
{
    if (c == NULL) {
        return;
    }
    for (size_t i = 0; i < PEERS_MAX; i++) {
        blob_unref(c->peers[i].snapshot);
    }
    for (size_t i = 0; i < c->n_deferred; i++) {
        msg_free(&c->deferred[i].msg);
    }
    free(c->deferred);
    free(c->pending);
    free(c->followers);
    served_texts_free(&c->served);
    free(c->incoming.data);
    blob_unref(c->snapshot);
    membership_free(&c->members);
    fsm_free(&c->fsm);
    clog_free(&c->log);
    free(c);
}

static bool
is_member(const struct control *c, struct name from)
{
    for (size_t i = 0; i < c->opts.n_configured; i++) {
        if (name_equal(c->opts.configured[i], from)) {
            return true;
        }
    }
    return quorum_find_member(c, from) != NULL || enroll_is_contact(c, from);
}

/* The sender's term; 0 for kinds without a term. */
static uint64_t
message_term(const struct msg *m)
{
    switch (m->kind) {
    case MSG_VOTE:
        return m->u.vote.term;
    case MSG_VOTE_REPLY:
        return m->u.vote_reply.term;
    case MSG_APPEND:
        return m->u.append.term;
    case MSG_APPEND_REPLY:
        return m->u.append_reply.term;
    case MSG_SNAPSHOT:
        return m->u.snapshot.term;
    case MSG_SNAPSHOT_REPLY:
        return m->u.snapshot_reply.term;
    default:
        return 0;
    }
}

/* A message from a process that is no member, or one corrupted in transit,
 * must not raise the term: the term is saved and spreads to all members, and
 * near UINT64_MAX no further election would be possible. */
static const char *
check_member_message(const struct control *c, struct name from,
                     const struct msg *m)
{
    if (!is_member(c, from)) {
        return "sender is not a member";
    }
    if (message_term(m) > c->term &&
        message_term(m) - c->term > TERM_JUMP_MAX) {
        return "term is implausibly high";
    }
    return NULL;
}

static void
on_member_message(struct control *c, struct name from, const struct msg *m)
{
    switch (m->kind) {
    case MSG_VOTE:
        election_on_vote(c, from, &m->u.vote);
        break;
    case MSG_VOTE_REPLY:
        election_on_vote_reply(c, from, &m->u.vote_reply);
        break;
    case MSG_HAND_OVER:
        election_on_hand_over(c, from, &m->u.hand_over);
        break;
    case MSG_APPEND:
        receive_append(c, from, &m->u.append);
        break;
    case MSG_APPEND_REPLY:
        replicate_on_append_reply(c, from, &m->u.append_reply);
        break;
    case MSG_SNAPSHOT:
        receive_snapshot(c, from, &m->u.snapshot);
        break;
    case MSG_SNAPSHOT_REPLY:
        replicate_on_snapshot_reply(c, from, &m->u.snapshot_reply);
        break;
    case MSG_READ_INDEX:
        serve_on_read_index(c, from, &m->u.read_index);
        break;
    case MSG_READ_REPLY:
        serve_on_read_reply(c, from, &m->u.read_reply);
        break;
    case MSG_FOLLOWERS:
        followers_on_report(c, from, &m->u.followers);
        break;
    case MSG_MEMBERSHIP:
        enroll_on_members(c, &m->u.membership);
        break;
    default:
        break;
    }
}

static bool
is_member_kind(enum msg_kind kind)
{
    return (kind >= MSG_VOTE && kind <= MSG_HAND_OVER) ||
           kind == MSG_FOLLOWERS || kind == MSG_MEMBERSHIP;
}

static void
on_message(struct control *c, struct name from, const struct msg *m)
{
    const char *fault = "not accepted by a control member";

    if (m->kind == MSG_CONFIG_REQUEST) {
        followers_on_request(c, from, &m->u.config_request);
        return;
    }
    if (m->kind == MSG_JOIN && c->opts.enroll) {
        enroll_on_join(c, from, &m->u.join);
        return;
    }
    if (is_member_kind(m->kind)) {
        fault = check_member_message(c, from, m);
    }
    if (fault == NULL) {
        on_member_message(c, from, m);
        return;
    }
    c->counters.messages_bad++;
    control_log(c, LOG_WARNING, CONTROL_REASON_BAD_MESSAGE, from, "%s: %s",
                msg_name(m->kind), fault);
}

static void
on_saved(struct control *c, uint64_t seq)
{
    if (seq <= c->synced_seq) {
        return;
    }
    c->synced_seq = seq;
    clog_saved(&c->log, seq);
    send_deferred(c);
    election_count_votes(c);
    replicate_advance_commit(c);
    apply_compact_log(c);
}

static struct progress *
transfer_target(struct control *c)
{
    struct progress *best = NULL;

    for (size_t i = 0; i < PEERS_MAX; i++) {
        struct progress *p = &c->peers[i];

        if (quorum_peer_is_voter(c, p) &&
            p->last_heard_us + c->opts.election_timeout_us > c->now.mono_us &&
            (best == NULL || p->match_index > best->match_index)) {
            best = p;
        }
    }
    return best;
}

/* Transfers leadership to the voter with the highest match index.  Without the
 * transfer, a planned stop of the leader would block publications for an
 * election timeout. */
static void
transfer_leadership(struct control *c)
{
    struct progress *p = transfer_target(c);
    struct msg m = {.kind = MSG_HAND_OVER};

    if (p == NULL || p->match_index < clog_last(&c->log)) {
        return;
    }
    m.u.hand_over.term = c->term;
    control_send(c, p->name, &m, c->hard_state_seq);
    control_log(c, LOG_NOTICE, CONTROL_REASON_HANDED_OVER, p->name,
                "term %llu", (unsigned long long)c->term);
}

static void
transfer_if_due(struct control *c)
{
    bool late =
        c->now.mono_us + c->opts.heartbeat_interval_us >= c->stop_deadline_us;

    if (c->stopping && (!serve_has_pending_entry(c) || late)) {
        transfer_leadership(c);
    }
    else if (c->transfer_requested) {
        c->transfer_requested = false;
        transfer_leadership(c);
    }
}

static void
check_quorum(struct control *c)
{
    if (c->now.mono_us < c->quorum_check_us) {
        return;
    }
    c->quorum_check_us = c->now.mono_us + c->opts.election_timeout_us;
    if (!quorum_is_active(c, c->now.mono_us - c->opts.election_timeout_us)) {
        control_log(c, LOG_WARNING, CONTROL_REASON_NO_QUORUM, c->opts.self,
                    "no majority heard for %lld ms",
                    (long long)(c->opts.election_timeout_us / USEC_PER_MSEC));
        election_become_follower(c, c->term, name_of(""));
    }
}

static void
on_tick(struct control *c)
{
    election_tick(c);
    if (c->now.mono_us < c->heartbeat_due_us) {
        return;
    }
    c->heartbeat_due_us = c->now.mono_us + c->opts.heartbeat_interval_us;
    if (c->role == CONTROL_LEADER) {
        check_quorum(c);
    }
    if (c->role == CONTROL_LEADER) {
        replicate_heartbeat(c);
        transfer_if_due(c);
    }
    if (c->opts.enroll) {
        enroll_tick(c);
    }
    followers_tick(c);
}

static void
on_stop(struct control *c)
{
    if (c->stopping) {
        return;
    }
    c->stopping = true;
    c->stop_deadline_us = c->now.mono_us + c->opts.stop_timeout_us;
    control_log(c, LOG_NOTICE, CONTROL_REASON_STOPPING, c->opts.self, "%s",
                c->role == CONTROL_LEADER ? "leading" : "not leading");
    if (c->role == CONTROL_LEADER) {
        transfer_if_due(c);
    }
}

static void
report_stopped(struct control *c)
{
    bool leads = c->role == CONTROL_LEADER && transfer_target(c) != NULL;
    bool done = !leads && !serve_has_pending_entry(c);

    if (!c->stopping || c->stop_reported ||
        (!done && c->now.mono_us < c->stop_deadline_us)) {
        return;
    }
    c->stop_reported = true;
    (void)control_effects_add(c->fx, CE_STOPPED);
}

static void
dispatch(struct control *c, const struct control_event *ev)
{
    switch (ev->kind) {
    case CEV_TICK:
        on_tick(c);
        break;
    case CEV_MESSAGE:
        on_message(c, ev->u.message.from, ev->u.message.msg);
        break;
    case CEV_SAVED:
        on_saved(c, ev->u.saved.seq);
        break;
    case CEV_PUBLISH:
        serve_publish(c, &ev->u.publish);
        break;
    case CEV_CHANGE:
        serve_change(c, &ev->u.change);
        break;
    case CEV_EVACUATE:
        serve_evacuate(c, &ev->u.evacuate);
        break;
    case CEV_READ:
        serve_read(c, &ev->u.read);
        break;
    case CEV_GONE:
        serve_disconnect(c, ev->u.gone.request);
        break;
    case CEV_CONTACT:
        enroll_add_contact(c, ev->u.contact.name);
        break;
    case CEV_STOP:
        on_stop(c);
        break;
    default:
        break;
    }
}

static void
report_members(struct control *c)
{
    struct msg *m = &control_effects_add(c->fx, CE_MEMBERS)->u.members.msg;

    m->kind = MSG_MEMBERSHIP;
    m->u.membership = membership_copy(&c->members);
}

static void
start(struct control *c)
{
    c->started = true;
    c->leader_heard_us = c->now.mono_us;
    c->heartbeat_due_us = c->now.mono_us;
    election_reset_timer(c);
    if (c->opts.startup_timeout_us > 0) {
        election_reset_startup_timer(c);
        /* No leader was heard since the start, so voting need not wait for an
         * election timeout: that would delay the first election.  Reads do not
         * depend on the wait, since they use read index, not leader leases. */
        c->leader_heard_us -= c->opts.election_timeout_us;
    }
    c->startup_nonce = control_random(c);
    control_log(c, LOG_NOTICE, CONTROL_REASON_STARTED, c->opts.self,
                "term %llu, log %llu to %llu, version %llu",
                (unsigned long long)c->term, (unsigned long long)c->log.base,
                (unsigned long long)clog_last(&c->log),
                (unsigned long long)c->fsm.version);
    report_members(c);
}

void
control_step(struct control *c, const struct control_event *ev,
             struct control_effects *fx)
{
    c->now = ev->now;
    c->fx = fx;
    c->needs_sync = false;
    if (!c->started) {
        start(c);
    }
    dispatch(c, ev);
    apply_committed(c);
    serve_pending(c);
    followers_answer_polls(c);
    report_stopped(c);
    if (c->needs_sync) {
        c->sync_seq++;
        c->counters.syncs++;
        control_effects_add(fx, CE_SYNC)->u.sync.seq = c->sync_seq;
    }
    c->fx = NULL;
}

int64_t
control_next_tick_us(const struct control *c)
{
    bool campaigns = c->role != CONTROL_LEADER && quorum_self_is_voter(c);

    if (campaigns && c->election_due_us < c->heartbeat_due_us) {
        return c->election_due_us;
    }
    return c->heartbeat_due_us;
}

struct control_view
control_view(const struct control *c)
{
    return (struct control_view){
        .role = c->role,
        .voter = quorum_self_is_voter(c),
        .leader = c->leader,
        .term = c->term,
        .log_base = c->log.base,
        .last_index = clog_last(&c->log),
        .commit_index = c->commit_index,
        .applied_index = c->applied_index,
        .version = c->fsm.version,
        .evacuated_zones = c->fsm.evacuated.n_zones,
        .log_bytes = c->log.bytes,
        .state_bytes =
            fsm_bytes(&c->fsm) + (c->snapshot != NULL ? c->snapshot->size : 0),
        .followers = c->n_followers,
        .serving = c->serving,
        .counters = c->counters,
        .publish_latency = c->publish_latency,
    };
}

const struct rec_log_entry *
control_entry(const struct control *c, uint64_t index)
{
    return clog_at(&c->log, index);
}

const struct fsm *
control_fsm(const struct control *c)
{
    return &c->fsm;
}
