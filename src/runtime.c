#include "runtime.h"

#include <errno.h>
#include <pthread.h>
#include <stdlib.h>
#include <string.h>
#include <time.h>
#include <unistd.h>

#include "log.h"
#include "metrics.h"
#include "stats.h"

enum {
    BATCH = 64,            /* events between looks at the timers */
    WAIT_MAX_US = 1000000, /* longest sleep of the reducer's thread */
    HOLD_BACK_US = 200,    /* between tries to hand over a message */
    DRAIN_MS = 10000,      /* for replies to go out at the end */
    NANO = 1000000000,
};

/* The request number of a dump that goes to the log. */
#define DUMP_REQUEST UINT64_MAX

struct runtime {
    struct runtime_options opts;
    struct mailbox inbox;
    struct entry *entry;
    struct effects effects;
    struct httpd *http;
    struct peer *peers;
    struct upclient *upstreams;
    pthread_t thread;
    bool running;
    atomic_bool healthy;
    atomic_bool stopping;
    atomic_bool stopped;
    atomic_bool ended;
};

static uint64_t
nanoseconds(void)
{
    struct timespec t;

    (void)clock_gettime(CLOCK_MONOTONIC, &t);
    return (uint64_t)t.tv_sec * NANO + (uint64_t)t.tv_nsec;
}

static void
log_decision(const struct ef_log *l)
{
    struct log_record r = {
        .severity = l->severity,
        .reason = reason_text(l->reason),
        .task = l->index,
        .subject = l->subject.s,
        .detail = l->detail,
    };
    char key[33];

    if (!log_enabled(l->severity)) {
        return;
    }
    if (l->key.hi != 0 || l->key.lo != 0) {
        key_id_format(l->key, key);
        r.key = key;
    }
    log_write(&r);
}

static void
send_message(struct runtime *r, struct ef_send *s)
{
    if (name_equal(s->to, r->opts.entry.self)) {
        mailbox_post(&r->inbox, &envelope_message(s->to, &s->msg)->mail);
        return;
    }
    peer_send(r->peers, s->to, &s->msg);
}

static uint64_t
request_of(const struct effect *f)
{
    switch (f->kind) {
    case EF_ANSWER:
        return f->u.answer.request;
    case EF_ACCEPTED:
        return f->u.accepted.request;
    case EF_PROBLEM:
        return f->u.problem.request;
    case EF_KEYS:
        return f->u.keys.request;
    case EF_ANNOUNCED:
        return f->u.announced.request;
    case EF_TEXT:
        return f->u.text.request;
    default:
        return REQUEST_NONE;
    }
}

static void
reply(struct runtime *r, struct effect *f)
{
    if (f->kind == EF_TEXT && f->u.text.request == DUMP_REQUEST) {
        log_json(LOG_NOTICE, "dump", "state", f->u.text.json);
        return;
    }
    httpd_reply(r->http, request_of(f), f);
}

/* Takes over what the effect owns, or leaves it to effects_clear(). */
static void
carry_out(struct runtime *r, struct effect *f)
{
    switch (f->kind) {
    case EF_START:
    case EF_REVOKE:
    case EF_FENCE:
        upclient_begin(r->upstreams, f);
        break;
    case EF_SEND:
        send_message(r, &f->u.send);
        break;
    case EF_LOG:
        log_decision(&f->u.log);
        break;
    case EF_STOPPED:
        atomic_store(&r->stopped, true);
        break;
    default:
        reply(r, f);
        break;
    }
}

static void
step(struct runtime *r, struct event *ev)
{
    uint64_t begin_ns = nanoseconds();
    uint64_t stepped_ns;

    ev->now = clock_now(r->opts.clock);
    entry_step(r->entry, ev, &r->effects);
    stepped_ns = nanoseconds();
    for (size_t i = 0; i < r->effects.n; i++) {
        carry_out(r, &r->effects.items[i]);
    }
    effects_clear(&r->effects);
    atomic_store(&r->healthy, entry_healthy(r->entry));
    stats_add(&stats.steps, 1);
    stats_add(&stats.step_ns, stepped_ns - begin_ns);
    stats_add(&stats.effect_ns, nanoseconds() - stepped_ns);
}

static void
reply_metrics(struct runtime *r, uint64_t request)
{
    struct effect f = {.kind = EF_TEXT};

    f.u.text.request = request;
    f.u.text.json = metrics_text(r->entry);
    httpd_reply(r->http, request, &f);
    free(f.u.text.json);
}

static void
take(struct runtime *r, struct envelope *e)
{
    if (e->kind == ENVELOPE_METRICS) {
        reply_metrics(r, e->event.u.query.request);
    }
    else {
        step(r, &e->event);
    }
    envelope_free(e);
}

static void
take_batch(struct runtime *r)
{
    struct mail *mail;

    for (int i = 0; i < BATCH; i++) {
        mail = mailbox_take(&r->inbox);
        if (mail == NULL) {
            return;
        }
        take(r, (struct envelope *)mail);
    }
}

static void *
reducer_run(void *arg)
{
    struct runtime *r = arg;

    while (!atomic_load(&r->ended)) {
        int64_t left_us;

        take_batch(r);
        left_us = entry_next_us(r->entry) - clock_now(r->opts.clock).mono_us;
        if (left_us <= 0) {
            step(r, &(struct event){.kind = EV_TICK});
            continue;
        }
        mailbox_wait(&r->inbox, left_us < WAIT_MAX_US ? left_us : WAIT_MAX_US);
    }
    return NULL;
}

static bool
on_offer(void *ctx, struct envelope *e)
{
    struct runtime *r = ctx;

    return mailbox_offer(&r->inbox, &e->mail);
}

static bool
is_healthy(void *ctx)
{
    struct runtime *r = ctx;

    return atomic_load(&r->healthy) && !atomic_load(&r->stopping);
}

static void
on_outcome(void *ctx, struct envelope *outcome)
{
    struct runtime *r = ctx;

    mailbox_post(&r->inbox, &outcome->mail);
}

/* While the inbox is full the thread of peer waits here and reads nothing, so
 * that TCP holds the senders back. */
static void
on_message(void *ctx, struct name from, struct msg *m)
{
    struct runtime *r = ctx;
    struct envelope *e = envelope_message(from, m);

    while (!mailbox_offer(&r->inbox, &e->mail)) {
        if (atomic_load(&r->ended)) {
            envelope_free(e);
            return;
        }
        (void)usleep(HOLD_BACK_US);
    }
}

static void
on_peer(void *ctx, struct name remote, bool up)
{
    struct runtime *r = ctx;
    struct envelope *e = envelope_new(up ? EV_PEER_UP : EV_PEER_DOWN);

    e->event.u.peer.peer = remote;
    mailbox_post(&r->inbox, &e->mail);
}

static bool
start_modules(struct runtime *r)
{
    struct httpd_options http = r->opts.http;
    struct peer_options peers = r->opts.peers;
    struct upclient_options upstreams = r->opts.upstreams;

    upstreams.clock = r->opts.clock;
    upstreams.done = on_outcome;
    upstreams.ctx = r;
    r->upstreams = upclient_new(&upstreams);
    peers.on_message = on_message;
    peers.on_peer = on_peer;
    peers.ctx = r;
    peers.clock = r->opts.clock;
    r->peers = r->upstreams != NULL ? peer_new(&peers) : NULL;
    if (r->peers == NULL) {
        log_event(LOG_ERR, "not-started", peers.listen.s,
                  "connections to other instances: %s", strerror(errno));
        return false;
    }
    http.offer = on_offer;
    http.healthy = is_healthy;
    http.ctx = r;
    http.clock = r->opts.clock;
    r->http = httpd_new(&http);
    if (r->http == NULL) {
        log_event(LOG_ERR, "not-started", http.listen.s, "HTTP server: %s",
                  strerror(errno));
        return false;
    }
    return true;
}

struct runtime *
runtime_new(const struct runtime_options *o)
{
    struct runtime *r = calloc(1, sizeof(*r));
    int err;

    if (r == NULL || mailbox_init(&r->inbox, o->inbox) != 0) {
        free(r);
        return NULL;
    }
    r->opts = *o;
    r->entry = entry_new(&o->entry);
    if (r->entry == NULL) {
        log_event(LOG_ERR, "not-started", o->entry.self.s,
                  "this instance is not among the peers");
        runtime_free(r);
        return NULL;
    }
    if (!start_modules(r)) {
        runtime_free(r);
        return NULL;
    }
    err = pthread_create(&r->thread, NULL, reducer_run, r);
    r->running = err == 0;
    if (err != 0) {
        log_event(LOG_ERR, "not-started", NULL, "%s", strerror(err));
        runtime_free(r);
        return NULL;
    }
    return r;
}

void
runtime_configure(struct runtime *r, struct config *config)
{
    struct envelope *e = envelope_new(EV_CONFIG);

    e->config = config;
    e->event.u.config = config;
    mailbox_post(&r->inbox, &e->mail);
}

void
runtime_dump(struct runtime *r)
{
    struct envelope *e = envelope_key(EV_DUMP, DUMP_REQUEST, "");

    mailbox_post(&r->inbox, &e->mail);
}

void
runtime_stop(struct runtime *r)
{
    struct envelope *e = envelope_new(EV_STOP);

    atomic_store(&r->stopping, true);
    httpd_stopping(r->http);
    mailbox_post(&r->inbox, &e->mail);
}

bool
runtime_stopped(const struct runtime *r)
{
    return atomic_load(&r->stopped);
}

uint16_t
runtime_http_port(const struct runtime *r)
{
    return httpd_port(r->http);
}

static void
drop_mail(struct runtime *r)
{
    struct mail *mail;

    while ((mail = mailbox_take(&r->inbox)) != NULL) {
        envelope_free((struct envelope *)mail);
    }
    mailbox_destroy(&r->inbox);
}

void
runtime_free(struct runtime *r)
{
    if (r == NULL) {
        return;
    }
    if (r->running && !httpd_drain(r->http, DRAIN_MS)) {
        log_event(LOG_WARNING, "replies-cut-off", NULL,
                  "some requests did not end within %d ms", DRAIN_MS);
    }
    atomic_store(&r->ended, true);
    if (r->running) {
        mailbox_wake(&r->inbox);
        (void)pthread_join(r->thread, NULL);
    }
    httpd_free(r->http);
    upclient_free(r->upstreams);
    peer_free(r->peers);
    entry_free(r->entry);
    effects_free(&r->effects);
    drop_mail(r);
    free(r);
}
