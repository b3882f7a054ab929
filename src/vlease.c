#include "vlease.h"

#include <stdlib.h>
#include <string.h>

#include "array.h"
#include "vlease_state.h"

/* One way within a zone, and between zones; each with some jitter. */
#define NEAR_US 200
#define FAR_US 1400
#define JITTER_US 100
/* Time of day at the start. */
#define WALL_US (INT64_C(1700000000) * USEC_PER_SEC)
/* A poll whose answer was lost is repeated after this. */
#define POLL_AGAIN_US (5 * USEC_PER_SEC)
/* A delayed hop arrives when every lease of before has passed. */
#define LATE_DEFAULT_US (3 * USEC_PER_SEC)

struct vlease_options
vlease_options_default(void)
{
    return (struct vlease_options){
        .zones = 3,
        .brokers = 2,
        .upstreams = 8,
        .cpu_milli = 32000,
        .queues = {{.priority = 0,
                    .tasks = 4,
                    .cpu_milli = 14000,
                    .run_us = 60 * USEC_PER_MSEC,
                    .timeout_us = 2 * USEC_PER_SEC}},
        .n_queues = 1,
        .resend_us = 1300 * USEC_PER_MSEC,
        .told_resend_us = 1300 * USEC_PER_MSEC,
        .late_us = LATE_DEFAULT_US,
        .seed = 1,
        .straggler_factor = 1.0,
        .evacuation_us = 3 * USEC_PER_SEC,
        .reborn_silent_us = USEC_PER_MSEC,
    };
}

uint64_t
vlease_random(struct vlease *v, uint64_t n)
{
    return random_next(&v->random) % n;
}

/* The heap of events */

static bool
before(const struct vevent *a, const struct vevent *b)
{
    return a->at_us < b->at_us ||
           (a->at_us == b->at_us && a->order < b->order);
}

static void
swap(struct vlease *v, size_t i, size_t j)
{
    struct vevent e = v->heap[i];

    v->heap[i] = v->heap[j];
    v->heap[j] = e;
}

struct vevent *
vlease_at(struct vlease *v, int64_t at_us, enum vevent_kind kind)
{
    struct vevent e = {.at_us = at_us, .order = v->order++, .kind = kind};
    size_t i = v->n_heap;

    v->heap = array_grow(v->heap, v->n_heap, &v->heap_room, sizeof(*v->heap));
    v->heap[v->n_heap++] = e;
    while (i > 0 && before(&v->heap[i], &v->heap[(i - 1) / 2])) {
        swap(v, i, (i - 1) / 2);
        i = (i - 1) / 2;
    }
    return &v->heap[i];
}

static struct vevent
take_first(struct vlease *v)
{
    struct vevent first = v->heap[0];
    size_t i = 0;

    v->heap[0] = v->heap[--v->n_heap];
    for (;;) {
        size_t least = i;

        for (size_t c = 2 * i + 1; c <= 2 * i + 2; c++) {
            if (c < v->n_heap && before(&v->heap[c], &v->heap[least])) {
                least = c;
            }
        }
        if (least == i) {
            return first;
        }
        swap(v, i, least);
        i = least;
    }
}

static void
clear_event(struct vevent *e)
{
    msg_free(&e->msg);
    blob_unref(e->request.spec);
    lease_answer_clear(&e->answer);
}

int64_t
vlease_delay_us(struct vlease *v, struct name a, struct name b)
{
    int64_t us = name_equal(a, b) ? NEAR_US : FAR_US;

    return us + (int64_t)vlease_random(v, JITTER_US);
}

/* Configuration: a line a queue, "NAME PRIORITY TIMEOUT_US". */

struct queueconf *
vlease_read_config(const char *text, size_t size, enum queueconf_error *fault)
{
    struct queueconf *c = calloc(1, sizeof(*c));
    int used = 0;

    (void)size;
    *fault = QUEUECONF_OK;
    if (c == NULL) {
        abort();
    }
    c->rank = 1;
    c->queues = calloc(VLEASE_QUEUES_MAX, sizeof(*c->queues));
    c->services = calloc(1, sizeof(*c->services));
    if (c->queues == NULL || c->services == NULL) {
        abort();
    }
    c->services[c->n_services++].name = name_of("service");
    while (c->n_queues < VLEASE_QUEUES_MAX) {
        struct queue_conf *q = &c->queues[c->n_queues];
        long timeout_us;

        if (sscanf(text, "%40s %u %ld%n", q->name.s, &q->priority, &timeout_us,
                   &used) != 3) {
            break;
        }
        text += used;
        q->timeout_us = timeout_us;
        q->service = name_of("service");
        (void)snprintf(q->prefix, sizeof(q->prefix), "/%.40s/", q->name.s);
        q->attempts = 3;
        q->target_us = 60 * USEC_PER_MSEC;
        q->stretch = 1.6;
        c->n_queues++;
    }
    return c;
}

enum { CONFIG_VERSION = 1 }; /* the only one */

static struct blob *
config_text(const struct vlease *v)
{
    char text[256];
    size_t n = 0;

    for (uint32_t i = 0; i < v->opts.n_queues; i++) {
        n += (size_t)snprintf(text + n, sizeof(text) - n, "q%u %u %lld\n", i,
                              v->opts.queues[i].priority,
                              (long long)v->opts.queues[i].timeout_us);
    }
    return blob_new(text, n);
}

/* Processes */

static struct vprocess *
process_of(struct vlease *v, struct name name)
{
    for (uint32_t i = 0; i < v->n_processes; i++) {
        if (name_equal(v->processes[i].name, name)) {
            return &v->processes[i];
        }
    }
    return NULL;
}

bool
vlease_connected(const struct vprocess *a, const struct vprocess *b)
{
    return !a->down && !b->down && (a == b || (!a->cut && !b->cut));
}

struct moment
vlease_moment(const struct vlease *v, const struct vprocess *p)
{
    return (struct moment){.mono_us = v->now_us,
                           .wall_us = WALL_US + v->now_us + p->wall_off_us};
}

static void
send_to(struct vlease *v, const struct vprocess *from, struct name to,
        struct msg *m)
{
    struct vprocess *p = process_of(v, to);
    struct vevent *e;
    int64_t *last;
    int64_t at_us;

    if (p == NULL || !vlease_connected(from, p)) {
        msg_free(m);
        return;
    }
    last = &v->last_us[from->number][p->number];
    at_us = v->now_us + vlease_delay_us(v, from->zone, p->zone);
    at_us = at_us > *last ? at_us : *last; /* one connection keeps order */
    *last = at_us;
    e = vlease_at(v, at_us, VEV_MESSAGE);
    e->from = from->number;
    e->to = p->number;
    e->life = p->life;
    e->closed = v->closed[p->number][from->number];
    e->msg = *m;
    memset(m, 0, sizeof(*m));
}

static void
call(struct vlease *v, const struct vprocess *p, struct be_call *c)
{
    struct vevent *e;
    uint32_t to = (uint32_t)strtoul(c->request.address.s, NULL, 10);

    if (c->request.kind == LEASE_START) {
        vevacuate_judge_start(v, p, &v->upstreams[to], c->request.task);
    }
    e = vlease_at(
        v, v->now_us + vlease_delay_us(v, p->zone, v->upstreams[to].zone),
        VEV_REQUEST);
    e->from = p->number;
    e->to = to;
    e->life = p->life;
    e->number = c->call;
    e->request = c->request;
    c->request.spec = NULL;
    /* The caller gives up by itself; an answer that comes first is taken. */
    e = vlease_at(v, v->now_us + c->request.timeout_us, VEV_ANSWER);
    e->to = p->number;
    e->life = p->life;
    e->number = c->call;
    e->answer.result = LEASE_NO_ANSWER;
}

static void
log_line(const struct vlease *v, const struct vprocess *p,
         const struct be_log *l)
{
    if (v->log != NULL) {
        (void)fprintf(
            v->log, "%9.4f %s %s job %llu task %d %s: %s\n",
            (double)v->now_us / 1e6, p->name.s, broker_reason_text(l->reason),
            (unsigned long long)l->job, l->task, l->subject.s, l->detail);
    }
}

void
vlease_fault(struct vlease *v, uint32_t *counter, struct name where,
             struct run_ref task)
{
    (*counter)++;
    if (v->log != NULL) {
        (void)fprintf(v->log,
                      "%9.4f FAULT %td at %s: job %llu task %u run %llu\n",
                      (double)v->now_us / 1e6, counter - &v->faults.overlaps,
                      where.s, (unsigned long long)task.job, task.index,
                      (unsigned long long)task.run);
    }
}

static void
carry_out(struct vlease *v, struct vprocess *p, struct broker_effect *f)
{
    const struct vlease_callbacks *c = &v->opts.callbacks;

    if (c->observe != NULL) {
        c->observe(c->ctx, v->now_us, p->name, f);
    }
    switch (f->kind) {
    case BE_ANSWER:
        vcall_on_answer(v, p, &f->u.answer);
        break;
    case BE_CALL:
        call(v, p, &f->u.call);
        break;
    case BE_SEND:
        send_to(v, p, f->u.send.to, &f->u.send.msg);
        break;
    case BE_LOG:
        log_line(v, p, &f->u.log);
        break;
    case BE_STOPPED:
        p->stopped = true;
        break;
    default:
        break; /* all are connected as soon as they run */
    }
}

static void
plan_tick(struct vlease *v, struct vprocess *p)
{
    int64_t at = broker_next_us(p->broker);
    struct vevent *e;

    at = at > v->now_us ? at : v->now_us + USEC_PER_MSEC;
    if (p->tick_us > v->now_us && p->tick_us <= at) {
        return;
    }
    p->tick_us = at;
    e = vlease_at(v, at, VEV_TICK);
    e->to = p->number;
    e->life = p->life;
}

void
vlease_step(struct vlease *v, struct vprocess *p, struct broker_event *ev)
{
    struct broker_effects fx = {0};

    ev->now = vlease_moment(v, p);
    ev->callers_known_us =
        v->now_us <= p->unpolled_until_us ? p->polled_us : v->now_us;
    broker_step(p->broker, ev, &fx);
    for (size_t i = 0; i < fx.n; i++) {
        carry_out(v, p, &fx.items[i]);
    }
    broker_effects_free(&fx);
    if (p->broker != NULL && !p->stopped) {
        plan_tick(v, p);
    }
}

/* Registries */

static void
flush_registry(struct vlease *v, struct vprocess *p)
{
    for (size_t i = 0; i < v->registry_effects.n; i++) {
        struct control_effect *f = &v->registry_effects.items[i];

        if (f->kind == CE_SEND) {
            send_to(v, p, f->u.send.to, &f->u.send.msg);
        }
        if (f->kind == CE_SAVE_UPSTREAMS) {
            msg_free(&p->kept);
            p->kept = f->u.upstreams.report;
            memset(&f->u.upstreams.report, 0, sizeof(struct msg));
        }
    }
    control_effects_clear(&v->registry_effects);
}

static void
plan_registry(struct vlease *v, struct vprocess *p)
{
    int64_t at = registry_next_us(p->registry);
    struct vevent *e;

    if (p->tick_us > v->now_us && p->tick_us <= at) {
        return;
    }
    p->tick_us = at > v->now_us ? at : v->now_us + USEC_PER_MSEC;
    e = vlease_at(v, p->tick_us, VEV_TICK);
    e->to = p->number;
    e->life = p->life;
}

static void
on_tick(struct vlease *v, struct vprocess *p)
{
    if (p->registry == NULL) {
        vlease_step(v, p, &(struct broker_event){.kind = BEV_TICK});
        return;
    }
    registry_tick(p->registry, vlease_moment(v, p), &v->registry_effects);
    flush_registry(v, p);
    plan_registry(v, p);
}

static void
reply_to_poll(struct vlease *v, struct vprocess *p, uint32_t to, bool text)
{
    struct msg reply = {.kind = MSG_CONFIG_REPLY};

    p->polled[to] = false;
    reply.u.config_reply.version = CONFIG_VERSION;
    reply.u.config_reply.config = text ? config_text(v) : NULL;
    vevacuate_fill_reply(v, p, &reply.u.config_reply);
    send_to(v, p, v->processes[to].name, &reply);
}

static void
on_evacuated(struct vlease *v, struct vprocess *p)
{
    for (uint32_t i = 0; i < v->n_brokers; i++) {
        if (p->polled[i]) {
            reply_to_poll(v, p, i, false);
        }
    }
}

static void
registry_takes(struct vlease *v, struct vprocess *p, const struct vevent *e)
{
    const struct rec_config_request *r = &e->msg.u.config_request;
    struct name from = v->processes[e->from].name;

    if (e->msg.kind == MSG_CONFIG_REQUEST) {
        bool newer = r->known_version < CONFIG_VERSION;

        p->polled[e->from] = true;
        if (newer || vevacuate_is_news(v, p, r->evacuation)) {
            reply_to_poll(v, p, e->from, newer && r->version_only == 0);
        }
        return;
    }
    (void)registry_on_message(p->registry, from, &e->msg, vlease_moment(v, p),
                              &v->registry_effects);
    flush_registry(v, p);
    plan_registry(v, p);
}

/* What an upstream says reaches the registry of its zone. */
void
vlease_announce(struct vlease *v, const struct vupstream *u,
                const struct rec_leased_upstream *info)
{
    struct vprocess *p = &v->processes[v->n_brokers + u->zone_number];

    if (p->cut || p->down) {
        return;
    }
    (void)registry_announce(p->registry, info, vlease_moment(v, p));
    plan_registry(v, p);
}

/* Events */

static void
on_message(struct vlease *v, const struct vevent *e)
{
    struct vprocess *p = &v->processes[e->to];
    struct broker_event ev = {.kind = BEV_MESSAGE};

    /* What was under way when the receiver closed its end never arrives. */
    if ((!e->arrived && !vlease_connected(&v->processes[e->from], p)) ||
        v->closed[e->to][e->from] != e->closed) {
        return;
    }
    if (p->registry != NULL) {
        registry_takes(v, p, e);
        return;
    }
    ev.u.message.from = v->processes[e->from].name;
    ev.u.message.msg = &e->msg;
    vlease_step(v, p, &ev);
}

static void
on_peer(struct vlease *v, const struct vevent *e)
{
    struct vprocess *p = &v->processes[e->to];
    struct vprocess *from = &v->processes[e->from];
    struct broker_event ev = {.kind = BEV_PEER};

    if (e->up && !vlease_connected(from, p)) {
        return;
    }
    v->closed[e->to][e->from] += e->up ? 0 : 1;
    if (p->registry != NULL) {
        registry_on_connection(p->registry, from->name, e->up,
                               vlease_moment(v, p));
        return;
    }
    ev.u.peer.peer = from->name;
    ev.u.peer.up = e->up;
    vlease_step(v, p, &ev);
}

static void
on_answer(struct vlease *v, const struct vevent *e)
{
    struct vprocess *p = &v->processes[e->to];
    struct broker_event ev = {.kind = BEV_CALLED};

    if (p->cut_upstreams && e->answer.result != LEASE_NO_ANSWER) {
        return;
    }
    ev.u.called.call = e->number;
    ev.u.called.answer = e->answer;
    vlease_step(v, p, &ev);
}

/* The process it goes to, or NULL: upstreams and callers are numbered on their
 * own. */
static struct vprocess *
receiver_of(struct vlease *v, const struct vevent *e)
{
    bool to_process = e->kind == VEV_MESSAGE || e->kind == VEV_PEER ||
                      e->kind == VEV_TICK || e->kind == VEV_ANSWER ||
                      e->kind == VEV_LEFT || e->kind == VEV_EVACUATED;

    return to_process ? &v->processes[e->to] : NULL;
}

/* The same event once more, at @at_us; it takes over what @e owns. */
static void
again_at(struct vlease *v, const struct vevent *e, int64_t at_us)
{
    struct vevent *later = vlease_at(v, at_us, e->kind);
    uint64_t order = later->order;

    *later = *e;
    later->at_us = at_us;
    later->order = order;
}

/* A paused process takes nothing until it wakes; then everything at once. */
static bool
put_off(struct vlease *v, struct vevent *e)
{
    const struct vprocess *p = receiver_of(v, e);

    if (p == NULL || p->paused_until_us <= v->now_us) {
        return false;
    }
    if (e->kind == VEV_MESSAGE && v->opts.keep_arrived) {
        e->arrived = vlease_connected(&v->processes[e->from], p);
    }
    again_at(v, e, p->paused_until_us);
    return true;
}

static bool
for_dead_life(struct vlease *v, const struct vevent *e)
{
    const struct vprocess *p = receiver_of(v, e);

    if (e->kind == VEV_EVACUATED) {
        return p->down; /* one that starts later knows of it by the time */
    }
    return p != NULL && (p->down || p->stopped || p->life != e->life);
}

static void
dispatch(struct vlease *v, const struct vevent *e)
{
    switch (e->kind) {
    case VEV_MESSAGE:
        on_message(v, e);
        break;
    case VEV_PEER:
        on_peer(v, e);
        break;
    case VEV_TICK:
        on_tick(v, &v->processes[e->to]);
        break;
    case VEV_ANSWER:
        on_answer(v, e);
        break;
    case VEV_REQUEST:
        vup_on_request(v, e);
        break;
    case VEV_LOOK_DUE:
        vup_on_look_due(v, e);
        break;
    case VEV_RUN_END:
        vup_on_run_end(v, e);
        break;
    case VEV_LAPSE:
        vup_on_lapse(v, e);
        break;
    case VEV_ANNOUNCE:
        vup_on_announce(v, e);
        break;
    case VEV_GONE:
        vup_on_gone(v, e);
        break;
    case VEV_ARRIVE:
        vcall_on_arrive(v, e);
        break;
    case VEV_EVACUATED:
        on_evacuated(v, &v->processes[e->to]);
        break;
    case VEV_LEAVE:
        vcall_on_leave(v, e);
        break;
    case VEV_LEFT:
        vcall_on_left(v, e);
        break;
    default:
        vcall_on_resend(v, e);
        break;
    }
}

void
vlease_set_hook(struct vlease *v, vlease_hook *hook, void *ctx)
{
    v->hook = hook;
    v->hook_ctx = ctx;
}

static const char *
call_label(enum lease_call call)
{
    static const char *const labels[] = {
        [LEASE_START] = "start", [LEASE_STOP] = "stop", [LEASE_POLL] = "look"};

    return labels[call];
}

/* False for events that are no hop. */
static bool
hop_of(const struct vlease *v, const struct vevent *e, struct vlease_hop *hop)
{
    *hop = (struct vlease_hop){e->order, NULL, VLEASE_NOBODY, VLEASE_NOBODY,
                               VLEASE_NOBODY};
    switch (e->kind) {
    case VEV_MESSAGE:
        hop->label = msg_name(e->msg.kind);
        hop->from = e->from < v->n_brokers ? e->from : VLEASE_NOBODY;
        hop->to = e->to < v->n_brokers ? e->to : VLEASE_NOBODY;
        return true;
    case VEV_REQUEST:
        hop->label = call_label(e->request.kind);
        hop->from = e->from;
        hop->upstream = e->to;
        return true;
    case VEV_ANSWER:
        hop->label = "answer";
        hop->to = e->to;
        return e->answer.result != LEASE_NO_ANSWER;
    default:
        return false;
    }
}

/* True where the hop does not arrive now. */
static bool
struck(struct vlease *v, struct vevent *e)
{
    struct vlease_hop hop;
    enum vlease_fate fate;

    if (v->hook == NULL || !hop_of(v, e, &hop)) {
        return false;
    }
    fate = v->hook(v->hook_ctx, v, &hop);
    /* The hook may have killed or paused the receiver. */
    if (fate == VLEASE_PASS && !for_dead_life(v, e)) {
        return put_off(v, e);
    }
    if (e->kind == VEV_MESSAGE) {
        /* Between real processes only a connection that ends loses messages,
         * and its end is noticed. */
        vevacuate_disturb(&v->processes[e->from], v->now_us + POLL_AGAIN_US);
        vevacuate_disturb(&v->processes[e->to], v->now_us + POLL_AGAIN_US);
    }
    if (fate != VLEASE_DELAY) {
        clear_event(e);
        return true;
    }
    again_at(v, e, v->now_us + v->opts.late_us);
    return true;
}

void
vlease_run(struct vlease *v, int64_t until_us)
{
    while (v->n_heap > 0 && v->heap[0].at_us <= until_us) {
        struct vevent e = take_first(v);

        v->now_us = e.at_us;
        if (for_dead_life(v, &e)) {
            clear_event(&e);
            continue;
        }
        if (put_off(v, &e) || struck(v, &e)) {
            continue;
        }
        dispatch(v, &e);
        clear_event(&e);
    }
    v->now_us = until_us;
}

/* Construction */

static void
name_process(struct vprocess *p, const char *kind, uint32_t zone, uint32_t n)
{
    (void)snprintf(p->name.s, sizeof(p->name.s), "%s%u%c", kind, n,
                   (char)('a' + zone));
    (void)snprintf(p->zone.s, sizeof(p->zone.s), "zone-%c",
                   (char)('a' + zone));
}

static void
make_processes(struct vlease *v)
{
    const struct vlease_options *o = &v->opts;

    v->n_brokers = o->zones * o->brokers;
    v->n_processes = v->n_brokers + o->zones;
    for (uint32_t i = 0; i < v->n_brokers; i++) {
        v->processes[i].number = i;
        v->processes[i].down = true;
        name_process(&v->processes[i], "b", i / o->brokers, i % o->brokers);
    }
    for (uint32_t i = 0; i < o->zones; i++) {
        struct vprocess *p = &v->processes[v->n_brokers + i];

        p->number = v->n_brokers + i;
        name_process(p, "r", i, 0);
        p->registry = registry_new();
    }
}

struct vlease *
vlease_new(const struct vlease_options *o)
{
    struct vlease *v = calloc(1, sizeof(*v));

    if (v == NULL) {
        abort();
    }
    v->opts = *o;
    v->random = o->seed;
    v->now_us = USEC_PER_SEC;
    make_processes(v);
    v->n_upstreams = o->zones * o->upstreams;
    for (uint32_t i = 0; i < v->n_upstreams; i++) {
        vup_init(v, i, i / o->upstreams);
    }
    for (uint32_t i = 0; i < v->n_brokers; i++) {
        v->now_us += (int64_t)vlease_random(v, STARTS_APART_US);
        vlease_start(v, i);
    }
    return v;
}

void
vlease_free(struct vlease *v)
{
    if (v == NULL) {
        return;
    }
    for (size_t i = 0; i < v->n_heap; i++) {
        clear_event(&v->heap[i]);
    }
    for (uint32_t i = 0; i < v->n_processes; i++) {
        broker_free(v->processes[i].broker);
        registry_free(v->processes[i].registry);
        msg_free(&v->processes[i].kept);
    }
    for (uint32_t i = 0; i < v->n_upstreams; i++) {
        vup_free(&v->upstreams[i]);
    }
    vevacuate_free(v);
    control_effects_free(&v->registry_effects);
    free(v->heap);
    free(v->jobs);
    free(v->changes);
    free(v);
}

const struct broker *
vlease_broker(const struct vlease *v, uint32_t broker)
{
    return v->processes[broker].broker;
}

struct vlease_faults
vlease_faults(const struct vlease *v)
{
    return v->faults;
}

uint32_t
vlease_broken(struct vlease_faults f)
{
    return f.overlaps + f.over_room + f.false_refusals + f.leaving +
           f.evacuated + f.answers_twice + f.wrong_label;
}

uint64_t
vlease_starts(const struct vlease *v)
{
    return v->starts;
}

uint32_t
vlease_open(const struct vlease *v)
{
    uint32_t n = 0;

    for (uint32_t i = 0; i < v->n_brokers; i++) {
        const struct broker *b = v->processes[i].broker;

        n += b != NULL ? (uint32_t)broker_gauges(b).upstreams_open : 0;
    }
    return n;
}

uint32_t
vlease_running(const struct vlease *v)
{
    uint32_t n = 0;

    for (uint32_t i = 0; i < v->n_upstreams; i++) {
        n += (uint32_t)v->upstreams[i].n_runs;
    }
    return n;
}

void
vlease_log(struct vlease *v, FILE *out)
{
    v->log = out;
}
