#include "one_entry.h"

#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#define WALL_US INT64_C(1764720000000000)

static struct event
event_of(enum event_kind kind)
{
    struct event ev;

    memset(&ev, 0, sizeof(ev));
    ev.kind = kind;
    return ev;
}

static void
answer_fence(struct one *o, const struct ef_fence f)
{
    struct event ev = event_of(EV_FENCED);

    ev.u.fenced.call = f.call;
    ev.u.fenced.outcome = FENCE_OK;
    ev.u.fenced.epoch = f.epoch;
    ev.u.fenced.running = o->fence_running;
    one_step(o, &ev);
}

static void
answer_claim(struct one *o, struct name voter, const struct rec_claim c)
{
    struct msg m = {.kind = MSG_CLAIM_REPLY};
    struct rec_claim_reply *r = &m.u.claim_reply;

    r->key = c.key;
    r->zone = c.zone;
    r->attempt = c.attempt;
    r->verdict = CLAIM_GRANTED;
    r->voter_incarnation = 1;
    one_message(o, voter.s, &m);
}

static void
answer_effects(struct one *o)
{
    while (o->handled < o->fx.n) {
        const struct effect *f = &o->fx.items[o->handled++];

        if (f->kind == EF_FENCE && !o->manual_fences) {
            answer_fence(o, f->u.fence);
        }
        else if (f->kind == EF_SEND && f->u.send.msg.kind == MSG_CLAIM) {
            answer_claim(o, f->u.send.to, f->u.send.msg.u.claim);
        }
    }
}

void
one_step(struct one *o, struct event *ev)
{
    ev->now.mono_us = o->now_us;
    ev->now.wall_us = o->now_us + WALL_US;
    entry_step(o->e, ev, &o->fx);
    answer_effects(o);
}

void
one_run(struct one *o, int64_t for_us)
{
    int64_t until = o->now_us + for_us;

    while (o->now_us < until) {
        struct event tick = event_of(EV_TICK);
        int64_t next = entry_next_us(o->e);

        next = next > o->now_us ? next : o->now_us + 1;
        o->now_us = next < until ? next : until;
        one_step(o, &tick);
    }
}

void
one_clear(struct one *o)
{
    effects_clear(&o->fx);
    o->handled = 0;
}

struct one *
one_new(const struct one_options *options)
{
    struct one *o = calloc(1, sizeof(*o));
    struct entry_options eo = entry_options_default();
    struct entry_peer peers[8] = {{name_of("self"), name_of("z")}};
    struct event ev = event_of(EV_CONFIG);

    o->now_us = USEC_PER_SEC;
    for (int i = 0; i < options->peers; i++) {
        char text[NAME_SIZE];

        (void)snprintf(text, sizeof(text), "p%d", i);
        peers[i + 1] = (struct entry_peer){
            name_of(text), name_of(options->peers_in_other_zone ? "y" : "z")};
    }
    eo.self = name_of("self");
    eo.incarnation = 1;
    eo.peers = peers;
    eo.n_peers = (size_t)options->peers + 1;
    eo.new_region = true;
    eo.placement = options->placement;
    eo.queue_max = options->queue_max > 0 ? options->queue_max : eo.queue_max;
    o->teams[0] = (struct team_conf){.name = name_of("team"),
                                     .weight = 1,
                                     .max_running = options->slots_max_running,
                                     .starts_per_s = options->starts_per_s};
    o->services[0] = (struct service_conf){
        .name = name_of("camp"),
        .team = name_of("team"),
        .need = {.cpu_milli = 1000, .memory_mb = 64},
        .run_us = 100 * USEC_PER_MSEC,
        .deadline_us = options->deadline_us > 0 ? options->deadline_us
                                                : 10 * USEC_PER_SEC,
        .deadline_max_us = 100 * USEC_PER_SEC,
        .max_tasks = JOB_TASKS_MAX,
        .max_queued = 10000,
        .order = options->order,
        .spill = options->peers_in_other_zone,
    };
    o->teams[1] = (struct team_conf){.name = name_of("other"), .weight = 1};
    o->services[1] = o->services[0];
    o->services[1].name = name_of("tents");
    o->services[1].team = name_of("other");
    o->config = (struct config){.version = 1,
                                .services = o->services,
                                .n_services = 2,
                                .teams = o->teams,
                                .n_teams = 2};
    o->e = entry_new(&eo);
    ev.u.config = &o->config;
    one_step(o, &ev);
    for (int i = 0; i < options->peers; i++) {
        one_heartbeat(o, peers[i + 1].name.s, 1);
    }
    return o;
}

void
one_free(struct one *o)
{
    entry_free(o->e);
    effects_free(&o->fx);
    free(o);
}

size_t
one_count_effects(const struct one *o, enum effect_kind kind)
{
    size_t n = 0;

    for (size_t i = 0; i < o->fx.n; i++) {
        n += o->fx.items[i].kind == kind ? 1 : 0;
    }
    return n;
}

const struct effect *
one_effect(const struct one *o, enum effect_kind kind, size_t i)
{
    for (size_t k = 0; k < o->fx.n; k++) {
        if (o->fx.items[k].kind == kind && i-- == 0) {
            return &o->fx.items[k];
        }
    }
    return NULL;
}

const struct msg *
one_message_sent(const struct one *o, enum msg_kind kind, size_t i)
{
    for (size_t k = 0; k < o->fx.n; k++) {
        const struct effect *f = &o->fx.items[k];

        if (f->kind == EF_SEND && f->u.send.msg.kind == kind && i-- == 0) {
            return &f->u.send.msg;
        }
    }
    return NULL;
}

struct rec_upstream_info
one_upstream_info(const char *name)
{
    return (struct rec_upstream_info){.upstream = name_of(name),
                                      .incarnation = 1,
                                      .zone = name_of("z"),
                                      .rack = name_of("r"),
                                      .service = name_of("camp"),
                                      .address = address_of("http://u:1"),
                                      .slots = 4,
                                      .connections = 64,
                                      .cpu_milli = 32000,
                                      .memory_mb = 65536};
}

void
one_announce(struct one *o, struct rec_upstream_info info)
{
    struct event ev = event_of(EV_ANNOUNCE);

    ev.u.announce.request = ++o->requests;
    ev.u.announce.info = info;
    one_step(o, &ev);
}

void
one_set_need(struct one *o, uint32_t cpu_milli)
{
    o->need.cpu_milli = cpu_milli;
}

uint64_t
one_submit(struct one *o, const char *key, int n_tasks, int64_t run_us)
{
    struct job_spec *spec = job_spec_new((size_t)n_tasks);
    struct event ev = event_of(EV_SUBMIT);

    spec->service = o->services[o->service].name;
    spec->digest = 7;
    for (int i = 0; i < n_tasks; i++) {
        spec->tasks[i].payload = blob_new("{}", 2);
        spec->tasks[i].run_us = run_us;
        spec->tasks[i].need = o->need;
        spec->tasks[i].need_given = o->need.cpu_milli > 0;
    }
    ev.u.submit.request = ++o->requests;
    ev.u.submit.key = key;
    ev.u.submit.spec = spec;
    one_step(o, &ev);
    job_spec_free(spec);
    return ev.u.submit.request;
}

void
one_cancel(struct one *o, const char *key)
{
    struct event ev = event_of(EV_JOB_CANCEL);

    ev.u.query.request = ++o->requests;
    ev.u.query.key = key;
    one_step(o, &ev);
}

void
one_end_start(struct one *o, uint64_t call, enum start_outcome outcome,
              bool ok)
{
    struct event ev = event_of(EV_TASK_ENDED);

    ev.u.ended.call = call;
    ev.u.ended.outcome = outcome;
    ev.u.ended.ok = ok;
    ev.u.ended.ran_us = 100 * USEC_PER_MSEC;
    one_step(o, &ev);
}

size_t
one_end_all_starts(struct one *o, enum start_outcome outcome, bool ok)
{
    size_t n = one_count_effects(o, EF_START);
    uint64_t *calls = calloc(n + 1, sizeof(*calls));

    for (size_t i = 0; i < n; i++) {
        calls[i] = one_effect(o, EF_START, i)->u.start.call;
    }
    one_clear(o);
    for (size_t i = 0; i < n; i++) {
        one_end_start(o, calls[i], outcome, ok);
    }
    free(calls);
    return n;
}

void
one_revoke_reply(struct one *o, uint64_t call, enum revoke_outcome outcome)
{
    struct event ev = event_of(EV_TASK_REVOKED);

    ev.u.revoked.call = call;
    ev.u.revoked.outcome = outcome;
    ev.u.revoked.ok = true;
    one_step(o, &ev);
}

void
one_message(struct one *o, const char *from, struct msg *m)
{
    struct event ev = event_of(EV_MESSAGE);

    ev.u.message.from = name_of(from);
    ev.u.message.msg = m;
    one_step(o, &ev);
    msg_free(m);
}

void
one_heartbeat(struct one *o, const char *from, uint64_t incarnation)
{
    struct msg m = {.kind = MSG_HEARTBEAT};

    m.u.heartbeat.incarnation = incarnation;
    one_message(o, from, &m);
}

void
one_heartbeat_with_load(struct one *o, const char *from, uint64_t running,
                        uint64_t backlog)
{
    struct msg m = {.kind = MSG_HEARTBEAT};
    struct rec_load *load = calloc(1, sizeof(*load));

    if (load == NULL) {
        abort();
    }
    load->service = name_of("camp");
    load->running = running;
    load->backlog = backlog;
    m.u.heartbeat.incarnation = 1;
    m.u.heartbeat.has_loads = 1;
    m.u.heartbeat.loads = load;
    m.u.heartbeat.n_loads = 1;
    one_message(o, from, &m);
}

void
one_upstream_news(struct one *o, const char *from,
                  struct rec_upstream_info info)
{
    struct msg m = {.kind = MSG_UPSTREAM_NEWS};

    m.u.upstream_news.upstreams = malloc(sizeof(info));
    m.u.upstream_news.upstreams[0] = info;
    m.u.upstream_news.n_upstreams = 1;
    one_message(o, from, &m);
}

const struct effect *
one_answer(const struct one *o, uint64_t request)
{
    for (size_t i = 0; i < o->fx.n; i++) {
        const struct effect *f = &o->fx.items[i];

        if ((f->kind == EF_ANSWER && f->u.answer.request == request) ||
            (f->kind == EF_PROBLEM && f->u.problem.request == request)) {
            return f;
        }
    }
    return NULL;
}

bool
one_answered_with(const struct one *o, uint64_t request,
                  enum job_status status, enum reason reason)
{
    const struct effect *f = one_answer(o, request);

    return f != NULL && f->kind == EF_ANSWER &&
           f->u.answer.answer->status == status &&
           f->u.answer.answer->reason == reason;
}
