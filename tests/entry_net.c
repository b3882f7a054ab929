#include "entry_net.h"

#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "key.h"

enum { DELAY_MAX_MSEC = 40, ANNOUNCE_SEC = 1, SLOTS = 16 };

#define WALL_OFFSET INT64_C(1764720000000000)

static void *
check_alloc(void *p)
{
    if (p == NULL) {
        abort();
    }
    return p;
}

uint64_t
enet_random(struct enet *n, uint64_t below)
{
    return random_next(&n->random) % below;
}

static struct moment
moment_of(const struct enet *n)
{
    return (struct moment){.mono_us = n->now_us,
                           .wall_us = n->now_us + WALL_OFFSET};
}

static int
node_of(const struct enet *n, struct name name)
{
    for (int i = 0; i < n->n_nodes; i++) {
        if (name_equal(n->nodes[i].name, name)) {
            return i;
        }
    }
    return -1;
}

static int
upstream_of(const struct enet *n, struct name name)
{
    for (int i = 0; i < n->n_upstreams; i++) {
        if (name_equal(n->upstreams[i].name, name)) {
            return i;
        }
    }
    return -1;
}

/* ---- packets ---- */

static void
packet_clear(struct enet_packet *p)
{
    if (p->event.kind == EV_MESSAGE) {
        msg_free(&p->msg);
    }
    else if (p->event.kind == EV_TASK_ENDED) {
        blob_unref(p->event.u.ended.result);
    }
    else if (p->event.kind == EV_TASK_REVOKED) {
        blob_unref(p->event.u.revoked.result);
    }
}

static struct enet_packet *
packet_add(struct enet *n, int to, int64_t after_us)
{
    struct enet_packet *p;

    if (n->n_packets == n->room) {
        n->room = n->room > 0 ? n->room * 2 : 64;
        n->packets =
            check_alloc(realloc(n->packets, n->room * sizeof(*n->packets)));
    }
    p = &n->packets[n->n_packets++];
    memset(p, 0, sizeof(*p));
    p->at_us = n->now_us + after_us;
    p->order = n->next_order++;
    p->to = to;
    p->to_incarnation = n->nodes[to].incarnation;
    return p;
}

static size_t
first_packet(const struct enet *n)
{
    size_t first = 0;

    for (size_t i = 1; i < n->n_packets; i++) {
        const struct enet_packet *a = &n->packets[i];
        const struct enet_packet *b = &n->packets[first];

        if (a->at_us < b->at_us ||
            (a->at_us == b->at_us && a->order < b->order)) {
            first = i;
        }
    }
    return first;
}

static void
send_packet(struct enet *n, int from, int to, const struct msg *m,
            int64_t after_us)
{
    struct enet_packet *p = packet_add(n, to, after_us);

    p->msg = msg_copy(m);
    p->event.kind = EV_MESSAGE;
    p->event.u.message.from = n->nodes[from].name;
}

static enum enet_delivery
delivery_of(struct enet *n, int from, int to, const struct msg *m)
{
    int roll = (int)enet_random(n, 100);

    if (n->opts.filter != NULL) {
        enum enet_delivery delivery = n->opts.filter(n, from, to, m);

        if (delivery != ENET_DELIVER) {
            return delivery;
        }
    }
    if (roll < n->opts.lost_percent) {
        return ENET_DROP;
    }
    if (roll < n->opts.lost_percent + n->opts.duplicated_percent) {
        return ENET_DUPLICATE;
    }
    return roll < n->opts.lost_percent + n->opts.duplicated_percent +
                       n->opts.delayed_percent
               ? ENET_DELAY
               : ENET_DELIVER;
}

static void
on_send(struct enet *n, int from, const struct ef_send *f)
{
    int to = node_of(n, f->to);
    enum enet_delivery delivery;

    if (to < 0) {
        if (n->opts.on_unknown_dest != NULL) {
            n->opts.on_unknown_dest(n, from, f->to, &f->msg);
        }
        return;
    }
    n->messages++;
    n->messages_by_kind[f->msg.kind]++;
    delivery = delivery_of(n, from, to, &f->msg);
    if (delivery == ENET_DROP) {
        return;
    }
    if (delivery == ENET_DELAY || delivery == ENET_DUPLICATE) {
        int64_t late = (int64_t)enet_random(n, DELAY_MAX_MSEC) * USEC_PER_MSEC;

        send_packet(n, from, to, &f->msg, ENET_DELAY_US + late);
    }
    if (delivery != ENET_DELAY) {
        send_packet(n, from, to, &f->msg, ENET_DELAY_US);
    }
}

/* ---- upstreams ---- */

static void
on_fence(struct enet *n, int node, const struct ef_fence *f)
{
    int i = upstream_of(n, f->upstream);
    struct enet_packet *p = packet_add(n, node, ENET_DELAY_US);

    p->event.kind = EV_FENCED;
    p->event.u.fenced.call = f->call;
    p->event.u.fenced.outcome = FENCE_OK;
    p->event.u.fenced.epoch = f->epoch;
    if (i < 0) {
        return; /* announced by the test, so any epoch is accepted */
    }
    if (f->epoch < n->upstreams[i].epoch) {
        p->event.u.fenced.outcome = FENCE_STALE;
        p->event.u.fenced.epoch = n->upstreams[i].epoch;
        return;
    }
    n->upstreams[i].epoch = f->epoch;
}

static void
record_start(struct enet *n, int node, int upstream, const struct ef_start *f)
{
    struct enet_start *s;

    n->starts = check_alloc(
        realloc(n->starts, (n->n_starts + 1) * sizeof(*n->starts)));
    s = &n->starts[n->n_starts++];
    s->key = f->key;
    s->index = f->index;
    s->node = node;
    s->upstream = upstream;
    s->at_us = n->now_us;
    s->end_us = n->now_us + n->opts.run_us;
}

static void
on_start(struct enet *n, int node, const struct ef_start *f)
{
    int i = upstream_of(n, f->upstream);
    struct enet_packet *p;

    if (n->upstreams[i].unresponsive) {
        record_start(n, node, i, f);
        return;
    }
    p = packet_add(n, node, 2 * ENET_DELAY_US);
    p->event.kind = EV_TASK_ENDED;
    p->event.u.ended.call = f->call;
    p->event.u.ended.outcome = START_STALE;
    if (f->epoch < n->upstreams[i].epoch) {
        return;
    }
    record_start(n, node, i, f);
    p->at_us += n->opts.run_us;
    p->event.u.ended.outcome = START_DONE;
    p->event.u.ended.ok = true;
    p->event.u.ended.result = blob_new("\"done\"", 6);
    p->event.u.ended.ran_us = n->opts.run_us;
}

static void
on_revoke(struct enet *n, int node, const struct ef_revoke *f)
{
    struct enet_packet *p = packet_add(n, node, 2 * ENET_DELAY_US);

    p->event.kind = EV_TASK_REVOKED;
    p->event.u.revoked.call = f->call;
    p->event.u.revoked.outcome = REVOKE_NEVER;
    for (size_t i = 0; i < n->n_starts; i++) {
        const struct enet_start *s = &n->starts[i];

        if (key_id_equal(s->key, f->key) && s->index == f->index) {
            bool over = s->end_us <= n->now_us;

            p->event.u.revoked.outcome = over ? REVOKE_DONE : REVOKE_RUNNING;
            p->event.u.revoked.ok = over;
        }
    }
}

static void
announce(struct enet *n, struct enet_upstream *u)
{
    struct event ev = {.kind = EV_ANNOUNCE};
    struct rec_upstream_info *info = &ev.u.announce.info;

    u->next_announce_us = n->now_us + ANNOUNCE_SEC * USEC_PER_SEC;
    info->upstream = u->name;
    info->incarnation = u->incarnation;
    info->zone = u->zone;
    info->rack = name_of("rack");
    info->service = name_of("camp");
    info->address = address_of("http://127.0.0.1:1");
    info->slots = SLOTS;
    info->connections = SLOTS;
    info->cpu_milli = 64000;
    info->memory_mb = 65536;
    for (int i = 0; i < n->n_nodes; i++) {
        struct enet_node *node = &n->nodes[i];

        if (node->e != NULL && !node->is_paused &&
            name_equal(node->zone, u->zone)) {
            ev.u.announce.request = ++n->last_request;
            enet_step(n, i, &ev);
            return;
        }
    }
}

/* ---- callers ---- */

static void
on_reply(struct enet *n, uint64_t request, const struct effect *f)
{
    for (size_t i = 0; i < n->n_answers; i++) {
        struct enet_answer *a = &n->answers[i];

        if (a->request != request) {
            continue;
        }
        a->answer_count++;
        a->kind = f->kind;
        if (f->kind == EF_PROBLEM) {
            a->problem = f->u.problem;
        }
        else if (f->kind == EF_TEXT) {
            free(a->text);
            a->text = check_alloc(strdup(f->u.text.json));
        }
        else if (f->kind == EF_ANSWER) {
            job_answer_free(a->answer);
            a->answer = job_answer_copy(f->u.answer.answer);
        }
        return;
    }
}

static void
apply_effect(struct enet *n, int node, const struct effect *f)
{
    switch (f->kind) {
    case EF_SEND:
        on_send(n, node, &f->u.send);
        break;
    case EF_ANSWER:
        on_reply(n, f->u.answer.request, f);
        break;
    case EF_ACCEPTED:
        on_reply(n, f->u.accepted.request, f);
        break;
    case EF_PROBLEM:
        on_reply(n, f->u.problem.request, f);
        break;
    case EF_TEXT:
        on_reply(n, f->u.text.request, f);
        break;
    case EF_START:
        on_start(n, node, &f->u.start);
        break;
    case EF_REVOKE:
        on_revoke(n, node, &f->u.revoke);
        break;
    case EF_FENCE:
        on_fence(n, node, &f->u.fence);
        break;
    case EF_STOPPED:
        n->nodes[node].stopped = true;
        break;
    default:
        break;
    }
}

/* Each step has its own list of effects, since carrying out one of them may
 * cause another step. */
void
enet_step(struct enet *n, int node, const struct event *ev)
{
    struct effects fx = {0};
    struct event now = *ev;

    now.now = moment_of(n);
    entry_step(n->nodes[node].e, &now, &fx);
    for (size_t i = 0; i < fx.n; i++) {
        if (getenv("ENET_TRACE") != NULL && fx.items[i].kind == EF_LOG) {
            const struct ef_log *l = &fx.items[i].u.log;

            (void)fprintf(stderr, "%9lld %s %s %s %s\n", (long long)n->now_us,
                          n->nodes[node].name.s, reason_text(l->reason),
                          l->subject.s, l->detail);
        }
        apply_effect(n, node, &fx.items[i]);
    }
    effects_free(&fx);
}

static uint64_t
new_request(struct enet *n, int node)
{
    struct enet_answer *a;

    n->answers =
        check_alloc(realloc(n->answers, (n->n_answers + 1) * sizeof(*a)));
    a = &n->answers[n->n_answers++];
    memset(a, 0, sizeof(*a));
    a->request = ++n->last_request;
    a->node = node;
    a->node_incarnation = n->nodes[node].incarnation;
    a->kind = EFFECT_KINDS;
    return a->request;
}

uint64_t
enet_submit_spec(struct enet *n, int node, const char *key,
                 struct job_spec *spec, bool respond_async)
{
    struct event ev = {.kind = EV_SUBMIT};

    ev.u.submit.request = new_request(n, node);
    ev.u.submit.key = key;
    ev.u.submit.spec = spec;
    ev.u.submit.respond_async = respond_async;
    enet_step(n, node, &ev);
    job_spec_free(spec);
    return ev.u.submit.request;
}

uint64_t
enet_submit(struct enet *n, int node, const char *key, int n_tasks,
            uint64_t body)
{
    struct job_spec *spec = check_alloc(job_spec_new((size_t)n_tasks));

    spec->service = name_of("camp");
    spec->digest = body;
    for (int i = 0; i < n_tasks; i++) {
        spec->tasks[i].payload = blob_new("{}", 2);
    }
    return enet_submit_spec(n, node, key, spec, false);
}

static uint64_t
query(struct enet *n, int node, const char *key, enum event_kind kind,
      bool wait)
{
    struct event ev = {.kind = kind};

    ev.u.query.request = new_request(n, node);
    ev.u.query.key = key;
    ev.u.query.wait = wait;
    enet_step(n, node, &ev);
    return ev.u.query.request;
}

uint64_t
enet_get(struct enet *n, int node, const char *key, bool wait)
{
    return query(n, node, key, EV_JOB_GET, wait);
}

uint64_t
enet_explain(struct enet *n, int node, const char *key)
{
    return query(n, node, key, EV_EXPLAIN, false);
}

uint64_t
enet_dump(struct enet *n, int node)
{
    return query(n, node, NULL, EV_DUMP, false);
}

uint64_t
enet_cancel(struct enet *n, int node, const char *key)
{
    return query(n, node, key, EV_JOB_CANCEL, true);
}

void
enet_stop(struct enet *n, int node)
{
    struct event ev = {.kind = EV_STOP};

    enet_step(n, node, &ev);
}

void
enet_inject(struct enet *n, struct name from, int to, struct msg *m)
{
    struct event ev = {.kind = EV_MESSAGE};

    ev.u.message.from = from;
    ev.u.message.msg = m;
    enet_step(n, to, &ev);
    msg_free(m);
}

void
enet_mint_key(const struct enet *n, const char *zone, int number,
              int64_t ago_us, char out[KEY_TEXT_SIZE])
{
    key_mint(name_of(zone), name_of("caller"), 1,
             moment_of(n).wall_us - ago_us, (uint64_t)number, out);
}

/* ---- start and end of nodes ---- */

static void
notify_peers(struct enet *n, int node, enum event_kind kind)
{
    for (int i = 0; i < n->n_nodes; i++) {
        struct event ev = {.kind = kind};

        if (i == node || n->nodes[i].e == NULL || n->nodes[i].is_paused) {
            continue;
        }
        ev.u.peer.peer = n->nodes[node].name;
        enet_step(n, i, &ev);
        if (kind == EV_PEER_UP) {
            ev.u.peer.peer = n->nodes[i].name;
            enet_step(n, node, &ev);
        }
    }
}

static void
start_node(struct enet *n, int node, bool new_region)
{
    struct entry_options o = entry_options_default();
    struct event ev = {.kind = EV_CONFIG};

    o.self = n->nodes[node].name;
    o.incarnation = n->nodes[node].incarnation;
    o.peers = n->peers;
    o.n_peers = (size_t)n->n_nodes;
    o.new_region = new_region;
    o.seed = n->opts.seed * 1000 + o.incarnation * 10 + (uint64_t)node;
    if (n->opts.adjust_options != NULL) {
        n->opts.adjust_options(&o);
    }
    n->nodes[node].e = check_alloc(entry_new(&o));
    n->nodes[node].stopped = false;
    ev.u.config = n->config;
    if (!n->opts.no_config) {
        enet_step(n, node, &ev);
    }
}

static void
drop_connection_events(struct enet *n, int node)
{
    size_t kept = 0;

    for (size_t i = 0; i < n->n_packets; i++) {
        struct enet_packet *p = &n->packets[i];

        if (p->to == node && p->event.kind != EV_MESSAGE) {
            packet_clear(p);
        }
        else {
            n->packets[kept++] = *p;
        }
    }
    n->n_packets = kept;
}

void
enet_kill(struct enet *n, int node)
{
    entry_free(n->nodes[node].e);
    n->nodes[node].e = NULL;
    drop_connection_events(n, node);
    notify_peers(n, node, EV_PEER_DOWN);
}

void
enet_restart(struct enet *n, int node)
{
    if (n->nodes[node].e != NULL) {
        enet_kill(n, node);
    }
    n->nodes[node].incarnation++;
    start_node(n, node, false);
    notify_peers(n, node, EV_PEER_UP);
}

static struct config *
make_config(void)
{
    struct config *c = check_alloc(calloc(1, sizeof(*c)));

    c->version = 1;
    c->n_services = 1;
    c->services = check_alloc(calloc(1, sizeof(*c->services)));
    c->n_teams = 1;
    c->teams = check_alloc(calloc(1, sizeof(*c->teams)));
    c->teams[0].name = name_of("pilgrims");
    c->teams[0].weight = 1;
    c->services[0] = (struct service_conf){
        .name = name_of("camp"),
        .team = name_of("pilgrims"),
        .need = {.cpu_milli = 100, .memory_mb = 64},
        .run_us = 100 * USEC_PER_MSEC,
        .deadline_us = 5 * USEC_PER_SEC,
        .deadline_max_us = 60 * USEC_PER_SEC,
        .max_tasks = JOB_TASKS_MAX,
        .max_queued = 10000,
    };
    return c;
}

struct enet *
enet_new(const struct enet_options *o)
{
    struct enet *n = check_alloc(calloc(1, sizeof(*n)));

    n->opts = *o;
    n->random = o->seed;
    n->now_us = USEC_PER_SEC;
    n->config = make_config();
    for (int i = 0; i < o->zones * o->per_zone; i++) {
        struct enet_node *node = &n->nodes[n->n_nodes++];
        char text[NAME_SIZE];

        (void)snprintf(text, sizeof(text), "z%d", i / o->per_zone);
        node->zone = name_of(text);
        (void)snprintf(text, sizeof(text), "z%d-e%d", i / o->per_zone,
                       i % o->per_zone);
        node->name = name_of(text);
        node->incarnation = 1;
        n->peers[i] =
            (struct entry_peer){.name = node->name, .zone = node->zone};
    }
    for (int i = 0; i < o->zones * ENET_PER_ZONE; i++) {
        struct enet_upstream *u = &n->upstreams[n->n_upstreams++];
        int first = i / ENET_PER_ZONE * o->per_zone;
        char text[NAME_SIZE];

        u->zone = n->nodes[first].zone;
        (void)snprintf(text, sizeof(text), "u%d", i);
        u->name = name_of(text);
        u->incarnation = 1;
    }
    for (int i = 0; i < n->n_nodes; i++) {
        start_node(n, i, o->new_region);
    }
    for (int i = 0; i < n->n_nodes; i++) {
        notify_peers(n, i, EV_PEER_UP);
    }
    for (int i = 0; i < n->n_upstreams; i++) {
        announce(n, &n->upstreams[i]);
    }
    enet_run(n, USEC_PER_SEC);
    return n;
}

void
enet_free(struct enet *n)
{
    for (int i = 0; i < n->n_nodes; i++) {
        entry_free(n->nodes[i].e);
    }
    for (size_t i = 0; i < n->n_packets; i++) {
        packet_clear(&n->packets[i]);
    }
    for (size_t i = 0; i < n->n_answers; i++) {
        job_answer_free(n->answers[i].answer);
        free(n->answers[i].text);
    }
    free(n->packets);
    free(n->answers);
    free(n->starts);
    config_free(n->config);
    free(n);
}

/* ---- time ---- */

static void
deliver(struct enet *n, size_t i)
{
    struct enet_packet p = n->packets[i];
    const struct enet_node *to = &n->nodes[p.to];

    n->packets[i] = n->packets[--n->n_packets];
    if (to->e != NULL &&
        (p.event.kind == EV_MESSAGE || p.to_incarnation == to->incarnation)) {
        if (p.event.kind == EV_MESSAGE) {
            p.event.u.message.msg = &p.msg;
        }
        enet_step(n, p.to, &p.event);
    }
    packet_clear(&p);
}

static int64_t
next_tick(const struct enet *n, int64_t until_us, int *node)
{
    int64_t first = until_us;

    *node = -1;
    for (int i = 0; i < n->n_nodes; i++) {
        if (n->nodes[i].e != NULL && !n->nodes[i].is_paused) {
            int64_t at = entry_next_us(n->nodes[i].e);

            at = at > n->now_us ? at : n->now_us;
            if (at < first) {
                first = at;
                *node = i;
            }
        }
    }
    return first;
}

static bool
announce_next(struct enet *n, int64_t before_us)
{
    for (int i = 0; i < n->n_upstreams; i++) {
        struct enet_upstream *u = &n->upstreams[i];

        if (u->next_announce_us <= before_us) {
            n->now_us = u->next_announce_us > n->now_us ? u->next_announce_us
                                                        : n->now_us;
            announce(n, u);
            return true;
        }
    }
    return false;
}

/* Packets to a paused node are kept until it resumes, except heartbeats, which
 * are dropped. */
static void
hold_packet(struct enet *n, size_t i)
{
    struct enet_packet *p = &n->packets[i];

    if (p->event.kind == EV_MESSAGE && p->msg.kind == MSG_HEARTBEAT) {
        packet_clear(p);
        *p = n->packets[--n->n_packets];
        return;
    }
    p->at_us = INT64_MAX;
}

void
enet_pause(struct enet *n, int node, bool frozen)
{
    n->nodes[node].is_paused = frozen;
    for (size_t i = 0; !frozen && i < n->n_packets; i++) {
        struct enet_packet *p = &n->packets[i];

        p->at_us = p->at_us == INT64_MAX ? n->now_us : p->at_us;
    }
}

void
enet_run(struct enet *n, int64_t for_us)
{
    int64_t until = n->now_us + for_us;
    struct event tick = {.kind = EV_TICK};

    while (n->now_us < until) {
        int node;
        int64_t at = next_tick(n, until, &node);
        size_t first;

        first = first_packet(n);
        if (n->n_packets > 0 && n->packets[first].at_us <= at) {
            at = n->packets[first].at_us;
            node = -2;
        }
        if (announce_next(n, at)) {
            continue;
        }
        n->now_us = at > n->now_us ? at : n->now_us;
        if (node == -2 && n->nodes[n->packets[first].to].is_paused) {
            hold_packet(n, first);
        }
        else if (node == -2) {
            deliver(n, first);
        }
        else if (node >= 0) {
            enet_step(n, node, &tick);
        }
    }
}

/* ---- results ---- */

const struct enet_answer *
enet_answer(const struct enet *n, uint64_t request)
{
    for (size_t i = 0; i < n->n_answers; i++) {
        if (n->answers[i].request == request) {
            return &n->answers[i];
        }
    }
    return NULL;
}

bool
enet_refused_with(const struct enet *n, uint64_t request, enum problem problem)
{
    const struct enet_answer *a = enet_answer(n, request);

    return a->kind == EF_PROBLEM && a->problem.problem == problem &&
           a->answer_count == 1;
}

bool
enet_answered_with(const struct enet *n, uint64_t request,
                   enum job_status status, enum reason reason)
{
    const struct enet_answer *a = enet_answer(n, request);

    return a->kind == EF_ANSWER && a->answer->status == status &&
           a->answer->reason == reason && a->answer_count == 1;
}

int
enet_count_starts(const struct enet *n, const char *key, int index)
{
    struct key_id id = key_id_of(key);
    int count = 0;

    for (size_t i = 0; i < n->n_starts; i++) {
        if (key_id_equal(n->starts[i].key, id) &&
            (index == ENET_ALL_TASKS ||
             n->starts[i].index == (uint32_t)index)) {
            count++;
        }
    }
    return count;
}

static int
compare_starts(const void *a, const void *b)
{
    const struct enet_start *x = a;
    const struct enet_start *y = b;

    if (!key_id_equal(x->key, y->key)) {
        return memcmp(&x->key, &y->key, sizeof(x->key));
    }
    return x->index < y->index ? -1 : x->index > y->index;
}

int
enet_count_repeated_starts(const struct enet *n)
{
    struct enet_start *sorted;
    int repeated = 0;

    if (n->n_starts == 0) {
        return 0;
    }
    sorted = check_alloc(calloc(n->n_starts, sizeof(*sorted)));
    memcpy(sorted, n->starts, n->n_starts * sizeof(*sorted));
    qsort(sorted, n->n_starts, sizeof(*sorted), compare_starts);
    for (size_t i = 1; i < n->n_starts; i++) {
        repeated += compare_starts(&sorted[i - 1], &sorted[i]) == 0 ? 1 : 0;
    }
    free(sorted);
    return repeated;
}

int
enet_count_unanswered(const struct enet *n)
{
    int count = 0;

    for (size_t i = 0; i < n->n_answers; i++) {
        const struct enet_answer *a = &n->answers[i];
        const struct enet_node *node = &n->nodes[a->node];

        if (a->answer_count == 0 && node->e != NULL &&
            node->incarnation == a->node_incarnation) {
            count++;
        }
    }
    return count;
}

int
enet_count_repeated_answers(const struct enet *n)
{
    int doubled = 0;

    for (size_t i = 0; i < n->n_answers; i++) {
        doubled += n->answers[i].answer_count > 1 ? 1 : 0;
    }
    return doubled;
}
