/*
 * Requests of operators (publications, membership changes, reads) and read
 * index requests of other members.  A request is pending until its entry is
 * applied, or until a heartbeat round confirms the read.
 */
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <syslog.h>

#include "control_state.h"
#include "delta.h"

enum {
    PENDING_MAX = 1024,       /* pending requests */
    ROUND_GAP_US = 10 * 1000, /* least time between rounds begun by reads */
};

/* Answers. */
static struct ce_reply *
reply(struct control *c, uint64_t request, enum control_result result,
      const char *detail)
{
    struct ce_reply *r = &control_effects_add(c->fx, CE_REPLY)->u.reply;

    r->request = request;
    r->result = result;
    r->version = c->fsm.version;
    (void)snprintf(r->detail, sizeof(r->detail), "%s", detail);
    return r;
}

static void
attach_publication(struct ce_reply *r, const struct rec_publication *p)
{
    if (p != NULL) {
        r->publication.kind = MSG_PUBLICATION;
        r->publication.u.publication = *p;
        (void)blob_ref(p->request_text);
        (void)blob_ref(p->summary);
    }
}

static void
reply_outcome(struct control *c, uint64_t request, const struct fsm_outcome *o)
{
    struct ce_reply *r = reply(c, request, o->result, "");

    attach_publication(r, o->publication);
    r->resend = o->resend;
    c->counters.resent += o->resend ? 1 : 0;
}

static void
redirect_to_leader(struct control *c, uint64_t request)
{
    const struct rec_control_member *m = quorum_find_member(c, c->leader);
    struct ce_reply *r;

    if (m == NULL || m->http.s[0] == '\0' ||
        name_equal(c->leader, c->opts.self)) {
        (void)reply(c, request, CONTROL_NO_LEADER, "no leader is known");
        return;
    }
    r = reply(c, request, CONTROL_NOT_LEADER, m->name.s);
    r->leader = m->http;
}

/* Pending requests. */
static struct pending_request *
add_pending(struct control *c, enum pending_kind kind, uint64_t request)
{
    struct pending_request *p;

    if (c->n_pending >= PENDING_MAX) {
        return NULL;
    }
    p = realloc(c->pending, (c->n_pending + 1) * sizeof(*p));
    if (p == NULL) {
        abort();
    }
    c->pending = p;
    p = &c->pending[c->n_pending++];
    memset(p, 0, sizeof(*p));
    p->kind = kind;
    p->request_id = request;
    p->deadline_us = c->now.mono_us + c->opts.request_timeout_us;
    return p;
}

static void
remove_pending(struct control *c, size_t at)
{
    c->n_pending--;
    memmove(&c->pending[at], &c->pending[at + 1],
            (c->n_pending - at) * sizeof(*c->pending));
}

static void
add_pending_entry(struct control *c, uint64_t request, uint64_t index)
{
    struct pending_request *p = add_pending(c, PENDING_ENTRY, request);

    p->wait_index = index;
    p->term = c->term;
}

bool
serve_has_pending_entry(const struct control *c)
{
    for (size_t i = 0; i < c->n_pending; i++) {
        if (c->pending[i].kind == PENDING_ENTRY) {
            return true;
        }
    }
    return false;
}

/* Whether this member accepts publications and changes; if not, answers the
 * request. */
static bool
accepts_changes(struct control *c, uint64_t request)
{
    if (c->stopping) {
        (void)reply(c, request, CONTROL_STOPPING, "");
        return false;
    }
    if (c->role != CONTROL_LEADER) {
        redirect_to_leader(c, request);
        return false;
    }
    if (c->n_pending >= PENDING_MAX) {
        (void)reply(c, request, CONTROL_NO_LEADER, "too many requests wait");
        return false;
    }
    return true;
}

/* Publications. */
static struct key_id
request_key(struct name publisher, const char *request_id)
{
    char text[NAME_SIZE + REQUEST_ID_MAX + 2];

    (void)snprintf(text, sizeof(text), "%s/%s", publisher.s, request_id);
    return key_id_of(text);
}

static const char *
check_publication(const struct cev_publish *p)
{
    size_t id = strnlen(p->request_id, REQUEST_ID_MAX + 1);

    if (id == 0 || id > REQUEST_ID_MAX) {
        return "request_id has 1 to 64 characters";
    }
    if (strlen(p->summary) >= DETAIL_SIZE) {
        return "summary has at most 159 bytes";
    }
    if (p->config->size > CONFIG_TEXT_MAX) {
        return "config has at most 2 MiB";
    }
    return NULL;
}

/* The entry holds a delta against the base version if its text is kept here.
 * The delta is applied only if the base is still the newest version then, so
 * every member has the text. */
static struct msg
make_publish_entry(struct control *c, const struct cev_publish *p)
{
    struct msg m = {.kind = MSG_PUBLISH};
    struct rec_publish *r = &m.u.publish;
    /* A ranked publication may be applied after others that are not known yet,
     * so it holds the whole text. */
    struct blob *base =
        p->rank == 0 ? fsm_version_text(&c->fsm, p->base_version) : NULL;
    struct delta d = delta_make(base, p->config);

    r->base_version = p->base_version;
    r->rank = p->rank;
    r->request_id = request_key(p->publisher, p->request_id);
    r->request_text = blob_new(p->request_id, strlen(p->request_id));
    r->publisher = p->publisher;
    r->time_us = (uint64_t)c->now.wall_us;
    r->summary = blob_new(p->summary, strlen(p->summary));
    r->prefix = d.prefix;
    r->suffix = d.suffix;
    r->middle = d.middle;
    r->digest = d.digest;
    if (r->request_text == NULL || r->summary == NULL || d.middle == NULL) {
        abort();
    }
    return m;
}

/* A publication whose outcome follows from applied entries is answered at
 * once: a committed version never changes, under any leader. */
void
serve_publish(struct control *c, const struct cev_publish *p)
{
    const char *fault = check_publication(p);
    struct fsm_outcome o;
    struct msg m;

    if (p->rank != 0 && p->rank <= c->fsm.rank) {
        /* Only committed entries are applied, so any member may answer. */
        (void)reply(c, p->request, CONTROL_OK, "not above the newest");
        c->counters.resent++;
        return;
    }
    if (!accepts_changes(c, p->request)) {
        return;
    }
    if (fault != NULL) {
        (void)reply(c, p->request, CONTROL_BAD_PUBLICATION, fault);
        return;
    }
    m = make_publish_entry(c, p);
    o = fsm_check_publish(&c->fsm, &m.u.publish);
    if (!c->opts.breaks[CONTROL_BREAK_FORGET_REQUESTS] &&
        (o.resend || o.result == CONTROL_REUSED ||
         o.result == CONTROL_TAKEN)) {
        reply_outcome(c, p->request, &o);
        c->counters.refused += o.result != CONTROL_OK ? 1 : 0;
    }
    else {
        /* A base version above the applied one may be in the log already. */
        uint64_t index = replicate_propose(c, LOG_KIND_PUBLISH, &m);

        add_pending_entry(c, p->request, index);
    }
    msg_free(&m);
}

void
serve_change(struct control *c, const struct cev_change *change)
{
    struct msg m = {.kind = MSG_MEMBERSHIP};
    const char *detail = "";
    enum control_result result;

    if (!accepts_changes(c, change->request)) {
        return;
    }
    result = quorum_prepare_change(c, change, &m.u.membership, &detail);
    if (result != CONTROL_OK) {
        (void)reply(c, change->request, result, detail);
        return;
    }
    add_pending_entry(c, change->request,
                      replicate_propose(c, LOG_KIND_MEMBERS, &m));
    msg_free(&m);
}

static bool
is_known_zone(const struct control *c, struct name zone)
{
    for (size_t i = 0; i < c->opts.n_zones; i++) {
        if (name_equal(c->opts.zones[i], zone)) {
            return true;
        }
    }
    return c->opts.n_zones == 0 && !name_empty(zone);
}

/* Also proposed if the applied state already is as ordered: an entry that is
 * not committed yet may change it. */
void
serve_evacuate(struct control *c, const struct cev_evacuate *ev)
{
    struct msg m = {.kind = MSG_EVACUATION_ORDER};
    struct rec_evacuation_order *order = &m.u.evacuation_order;

    if (!is_known_zone(c, ev->zone)) {
        (void)reply(c, ev->request, CONTROL_UNKNOWN_ZONE, ev->zone.s);
        return;
    }
    if (!accepts_changes(c, ev->request)) {
        return;
    }
    order->zone = ev->zone;
    order->evacuate = ev->evacuate ? 1 : 0;
    order->publisher = ev->publisher;
    order->time_us = (uint64_t)c->now.wall_us;
    control_log(c, LOG_NOTICE, CONTROL_REASON_EVACUATION_ASKED, ev->zone,
                "%s by %s", ev->evacuate ? "begin" : "end", ev->publisher.s);
    add_pending_entry(c, ev->request,
                      replicate_propose(c, LOG_KIND_EVACUATION, &m));
    msg_free(&m);
}

void
serve_entry_applied(struct control *c, uint64_t index, uint64_t term,
                    const struct fsm_outcome *o)
{
    for (size_t i = c->n_pending; i > 0; i--) {
        struct pending_request *p = &c->pending[i - 1];

        if (p->kind != PENDING_ENTRY || p->wait_index != index) {
            continue;
        }
        histogram_add(&c->publish_latency, c->now.mono_us - p->deadline_us +
                                               c->opts.request_timeout_us);
        if (p->term == term) {
            reply_outcome(c, p->request_id, o);
        }
        else {
            (void)reply(c, p->request_id, CONTROL_NO_LEADER,
                        "the leader changed before it was accepted");
        }
        remove_pending(c, i - 1);
    }
}

/* Reads. */
static void
reply_text(struct control *c, uint64_t request, char *json)
{
    struct ce_text *t = &control_effects_add(c->fx, CE_TEXT)->u.text;

    t->request = request;
    t->json = json;
}

static void
reply_config(struct control *c, const struct cev_read *r)
{
    uint64_t version = r->version != 0 ? r->version : c->fsm.version;
    const struct rec_publication *p = fsm_publication(&c->fsm, version);
    struct blob *config = fsm_version_text(&c->fsm, version);
    struct ce_reply *answer;

    if (version > c->fsm.version) {
        (void)reply(c, r->request, CONTROL_NO_VERSION, "");
        return;
    }
    if (version > 0 && (config == NULL || p == NULL)) {
        (void)reply(c, r->request, CONTROL_NOT_KEPT, "");
        return;
    }
    answer = reply(c, r->request, CONTROL_OK, "");
    attach_publication(answer, p);
    answer->config = blob_ref(config);
    if (answer->config == NULL) {
        answer->config = blob_new("", 0);
    }
}

static void
reply_read(struct control *c, const struct cev_read *r)
{
    switch (r->kind) {
    case READ_CONFIG:
        reply_config(c, r);
        break;
    case READ_HISTORY:
        reply_text(c, r->request, control_history_json(c, r->limit));
        break;
    case READ_STATUS:
        reply_text(c, r->request, control_status_json(c));
        break;
    default:
        reply_text(c, r->request, control_state_json(c));
        break;
    }
}

/* Read index (Raft 8): a leader that was deposed without knowing it would
 * answer with stale data.  So a read waits for a heartbeat round that begins
 * after it, and until the entries committed by then are applied; entries of
 * earlier terms are known to be committed once the first entry of the leader's
 * term is.  Reads within ROUND_GAP_US share a round: reads need no signature,
 * and a client must not cause messages to all members with every request. */
static void
wait_for_round(struct control *c, struct pending_request *p)
{
    p->wait_index = c->commit_index > c->term_start_index
                        ? c->commit_index
                        : c->term_start_index;
    p->round = c->heartbeat_round + 1;
    if (c->now.mono_us - c->round_start_us >= ROUND_GAP_US) {
        replicate_heartbeat(c);
    }
    else if (c->heartbeat_due_us > c->round_start_us + ROUND_GAP_US) {
        c->heartbeat_due_us = c->round_start_us + ROUND_GAP_US;
    }
}

void
serve_read(struct control *c, const struct cev_read *r)
{
    struct pending_request *p;

    if (r->local || r->kind == READ_STATE ||
        (c->opts.breaks[CONTROL_BREAK_READ_WITHOUT_ROUND] &&
         c->role == CONTROL_LEADER)) {
        reply_read(c, r);
        return;
    }
    if (c->role != CONTROL_LEADER) {
        redirect_to_leader(c, r->request);
        return;
    }
    p = add_pending(c, PENDING_READ, r->request);
    if (p == NULL) {
        (void)reply(c, r->request, CONTROL_NO_LEADER, "too many requests");
        return;
    }
    p->read = *r;
    wait_for_round(c, p);
}

void
serve_on_read_index(struct control *c, struct name from,
                    const struct rec_read_index *r)
{
    struct pending_request *p;

    if (c->role != CONTROL_LEADER || quorum_find_member(c, from) == NULL) {
        return;
    }
    p = add_pending(c, PENDING_READ_INDEX, 0);
    if (p == NULL) {
        return;
    }
    p->from = from;
    p->nonce = r->nonce;
    wait_for_round(c, p);
}

void
serve_on_read_reply(struct control *c, struct name from,
                    const struct rec_read_reply *r)
{
    (void)from;
    if (r->nonce == c->startup_nonce && c->startup_read_index == 0) {
        c->startup_read_index = r->index;
    }
}

static void
reply_confirmed(struct control *c, const struct pending_request *p)
{
    struct msg m = {.kind = MSG_READ_REPLY};

    if (p->kind == PENDING_READ) {
        reply_read(c, &p->read);
        return;
    }
    m.u.read_reply.nonce = p->nonce;
    m.u.read_reply.index = p->wait_index;
    control_send(c, p->from, &m, c->hard_state_seq);
}

/* Answers a request that is confirmed, or can no longer be; true when it is no
 * longer pending.  Requests whose entry was applied are already removed by
 * serve_entry_applied(). */
static bool
resolve_pending(struct control *c, const struct pending_request *p,
                uint64_t round)
{
    if (p->kind == PENDING_ENTRY) {
        /* Applied, but still pending: a snapshot replaced the entry, so the
         * outcome is not known. */
        if (p->wait_index > c->applied_index &&
            c->now.mono_us < p->deadline_us) {
            return false;
        }
        (void)reply(c, p->request_id, CONTROL_UNKNOWN,
                    "send it again with the same request id");
        return true;
    }
    if (c->role != CONTROL_LEADER || c->now.mono_us >= p->deadline_us) {
        if (p->kind == PENDING_READ) {
            redirect_to_leader(c, p->request_id);
        }
        return true;
    }
    if (p->round > round || p->wait_index > c->applied_index) {
        return false;
    }
    reply_confirmed(c, p);
    return true;
}

void
serve_pending(struct control *c)
{
    uint64_t round;

    if (c->n_pending == 0) {
        return;
    }
    round = quorum_acked_round(c);
    for (size_t i = c->n_pending; i > 0; i--) {
        struct pending_request p = c->pending[i - 1];

        if (resolve_pending(c, &p, round)) {
            remove_pending(c, i - 1);
        }
    }
}

void
serve_disconnect(struct control *c, uint64_t request)
{
    for (size_t i = c->n_pending; i > 0; i--) {
        if (c->pending[i - 1].request_id == request &&
            c->pending[i - 1].kind != PENDING_READ_INDEX) {
            remove_pending(c, i - 1);
        }
    }
}
