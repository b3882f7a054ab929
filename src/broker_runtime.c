#include "broker_runtime.h"

#include <errno.h>
#include <inttypes.h>
#include <pthread.h>
#include <stdlib.h>
#include <string.h>
#include <sys/epoll.h>
#include <unistd.h>

#include "array.h"
#include "broker_dump.h"
#include "broker_metrics.h"
#include "log.h"
#include "mailbox.h"
#include "stats.h"
#include "usage.h"

enum {
    RING_SIZE = 4, /* the ring is unused: all mail is posted */
    EVENTS_MAX = 16,
    WAIT_MAX_MS = 500,
    LAST_WRITE_MS = 300, /* to write the last answers at the end */
    METRICS_CONNECTIONS = 8,
    STATUS_UNAVAILABLE = 503,
};

enum mail_kind { MAIL_STOP, MAIL_DUMP, MAIL_REGISTRY };

/* An event from another thread. */
struct broker_mail {
    struct mail mail;
    enum mail_kind kind;
    struct name from;
    struct address address;
};

struct broker_runtime {
    struct broker_runtime_options opts;
    struct mailbox inbox;
    struct broker *broker;
    struct broker_effects effects;
    struct usage_meter usage;
    int64_t round_us; /* when the events of this round were polled */
    struct httpapi *callers;
    struct httpapi *ready;
    struct httpapi *metrics;
    struct leaseclient *upstreams;
    struct peer *peers;
    uint64_t
        *waiting_requests; /* requests waiting for the first configuration */
    size_t n_waiting_requests;
    size_t waiting_capacity;
    int epoll;
    int64_t next_us; /* broker_next_us() after the last step; 0: not known */
    int64_t callers_polled_us; /* callers that disconnected before this are
                                  known */
    pthread_t thread;
    bool running;
    bool healthy;
    atomic_bool stopped;
    atomic_bool quit;
};

static void step(struct broker_runtime *r, struct broker_event *ev);

/* Effects */

static void
log_decision(const struct be_log *l)
{
    struct log_record record = {
        .severity = l->severity,
        .reason = broker_reason_text(l->reason),
        .task = l->task,
        .subject = l->subject.s,
        .detail = l->detail,
    };
    char id[20];

    if (!log_enabled(l->severity)) {
        return;
    }
    if (l->job != 0) {
        (void)snprintf(id, sizeof(id), "%016" PRIx64, l->job);
        record.key = id;
    }
    log_write(&record);
}

static void
answer_caller(struct broker_runtime *r, const struct be_answer *a)
{
    struct httpapi_response response = {0};

    r->opts.codec->encode_answer(a, &response);
    response.retry_after_us = a->retry_after_us;
    httpapi_reply(r->callers, a->request, &response);
}

static void
execute_effect(struct broker_runtime *r, struct broker_effect *f)
{
    struct peer_remote remote;

    switch (f->kind) {
    case BE_ANSWER:
        answer_caller(r, &f->u.answer);
        break;
    case BE_CALL:
        leaseclient_send(r->upstreams, &f->u.call);
        break;
    case BE_SEND:
        peer_send(r->peers, f->u.send.to, &f->u.send.msg);
        break;
    case BE_CONNECT:
        remote.name = f->u.connect.name;
        remote.address = f->u.connect.address;
        peer_add(r->peers, &remote);
        break;
    case BE_FORGET:
        peer_forget(r->peers, f->u.connect.name);
        break;
    case BE_LOG:
        log_decision(&f->u.log);
        break;
    default:
        atomic_store(&r->stopped, true);
        break;
    }
}

static void
step(struct broker_runtime *r, struct broker_event *ev)
{
    ev->now = clock_now(r->opts.clock);
    ev->callers_known_us = r->callers_polled_us;
    broker_step(r->broker, ev, &r->effects);
    for (size_t i = 0; i < r->effects.n; i++) {
        execute_effect(r, &r->effects.items[i]);
    }
    broker_effects_clear(&r->effects);
    r->healthy = broker_ready(r->broker);
    r->next_us = 0;
    stats_add(&stats.steps, 1);
}

/* Callers */

static void
submit(struct broker_runtime *r, struct caller_request *c, uint64_t number)
{
    struct broker_event ev = {.kind = BEV_SUBMIT};

    ev.u.submit = c->submit;
    ev.u.submit.request = number;
    step(r, &ev);
    blob_unref(c->submit.spec);
    free((void *)c->submit.groups);
}

/* An unknown queue may be part of a newer configuration that has not arrived
 * yet; then the caller is answered to retry. */
static void
reply_no_queue(struct broker_runtime *r, uint64_t number,
               struct httpapi_response *response)
{
    if (broker_config_outdated(r->broker)) {
        response->status = STATUS_UNAVAILABLE;
        response->retry_after_us = USEC_PER_SEC;
    }
    httpapi_reply(r->callers, number, response);
}

/* Without a configuration no request can be decoded.  A broker that has just
 * started will have one soon, so its callers' requests wait until then. */
static bool
awaits_first_config(struct broker_runtime *r)
{
    return broker_queues(r->broker) == NULL &&
           clock_now(r->opts.clock).mono_us < broker_startup_end_us(r->broker);
}

static void
defer_request(struct broker_runtime *r, uint64_t number)
{
    r->waiting_requests =
        array_grow(r->waiting_requests, r->n_waiting_requests,
                   &r->waiting_capacity, sizeof(*r->waiting_requests));
    r->waiting_requests[r->n_waiting_requests++] = number;
}

static void
resume_requests(struct broker_runtime *r)
{
    if (r->n_waiting_requests == 0 || awaits_first_config(r)) {
        return;
    }
    for (size_t i = 0; i < r->n_waiting_requests; i++) {
        httpapi_again(r->callers, r->waiting_requests[i]);
    }
    r->n_waiting_requests = 0;
}

static enum httpapi_handled
on_caller_request(void *ctx, const struct httpapi_request *request)
{
    struct broker_runtime *r = ctx;
    struct caller_request c = {.kind = CALLER_REPLY_NOW};
    struct broker_event ev = {.kind = BEV_CANCEL};

    /* The stop is complete and messages of other processes are not handled any
     * more: a job accepted now would never be answered. */
    if (atomic_load(&r->stopped)) {
        c.response.status = STATUS_UNAVAILABLE;
        c.response.retry_after_us = USEC_PER_SEC;
        c.response.close = true;
        httpapi_reply(r->callers, request->number, &c.response);
        return HTTPAPI_TAKEN;
    }
    if (awaits_first_config(r)) {
        defer_request(r, request->number);
        return HTTPAPI_DEFERRED;
    }
    r->opts.codec->decode(request, broker_queues(r->broker), &c);
    switch (c.kind) {
    case CALLER_SUBMIT:
        submit(r, &c, request->number);
        break;
    case CALLER_CANCEL:
        ev.u.cancel = c.cancel;
        ev.u.cancel.request = request->number;
        step(r, &ev);
        break;
    case CALLER_COUNT_WAITING:
        r->opts.codec->encode_count(
            broker_pending_jobs(r->broker, c.queue->name), &c.response);
        httpapi_reply(r->callers, request->number, &c.response);
        break;
    case CALLER_NO_QUEUE:
        reply_no_queue(r, request->number, &c.response);
        break;
    default:
        httpapi_reply(r->callers, request->number, &c.response);
        break;
    }
    return HTTPAPI_TAKEN;
}

static void
on_caller_disconnect(void *ctx, uint64_t number)
{
    struct broker_event ev = {.kind = BEV_GONE};

    ev.u.gone.request = number;
    step(ctx, &ev);
}

static enum httpapi_handled
on_ready(void *ctx, const struct httpapi_request *request)
{
    struct broker_runtime *r = ctx;
    struct httpapi_response response = {.status = 404};

    if (strcmp(request->path, r->opts.codec->ready_path) == 0) {
        response.status = r->healthy ? 200 : 503;
    }
    httpapi_reply(r->ready, request->number, &response);
    return HTTPAPI_TAKEN;
}

static void
ignore_disconnect(void *ctx, uint64_t number)
{
    (void)ctx;
    (void)number;
}

static enum httpapi_handled
on_metrics(void *ctx, const struct httpapi_request *request)
{
    struct broker_runtime *r = ctx;
    struct httpapi_response response = {.status = 200,
                                        .type = "text/plain; version=0.0.4"};
    size_t size;
    FILE *out = open_memstream(&response.body, &size);

    if (out == NULL) {
        abort();
    }
    broker_metrics_print(out, r->broker);
    stats_print(out);
    (void)fclose(out);
    httpapi_reply(r->metrics, request->number, &response);
    return HTTPAPI_TAKEN;
}

/* Upstreams */

static void
on_called(void *ctx, uint64_t call, struct lease_answer *answer)
{
    struct broker_event ev = {.kind = BEV_CALLED};

    ev.u.called.call = call;
    ev.u.called.answer = *answer;
    step(ctx, &ev);
    lease_answer_clear(answer);
}

/* Other processes */

static struct broker_mail *
new_mail(enum mail_kind kind, struct name from)
{
    struct broker_mail *m = calloc(1, sizeof(*m));

    if (m == NULL) {
        abort();
    }
    m->kind = kind;
    m->from = from;
    return m;
}

static void
on_message(void *ctx, struct name from, struct msg *msg)
{
    struct broker_runtime *r = ctx;
    struct broker_event ev = {.kind = BEV_MESSAGE};

    usage_add_event(&r->usage, r->round_us);
    ev.u.message.from = from;
    ev.u.message.msg = msg;
    step(r, &ev);
    msg_free(msg);
}

static void
on_peer(void *ctx, struct name remote, bool up)
{
    struct broker_runtime *r = ctx;
    struct broker_event ev = {.kind = BEV_PEER};

    ev.u.peer.peer = remote;
    ev.u.peer.up = up;
    step(r, &ev);
}

static void
add_registry(struct broker_runtime *r, const struct broker_mail *m)
{
    struct rec_instance one = {.name = m->from, .address = m->address};
    struct msg roster = {.kind = MSG_ROSTER};
    struct broker_event ev = {.kind = BEV_MESSAGE};

    roster.u.roster.registries = &one;
    roster.u.roster.n_registries = 1;
    ev.u.message.from = m->from;
    ev.u.message.msg = &roster;
    step(r, &ev);
}

static void
handle_mail(struct broker_runtime *r, struct broker_mail *m)
{
    struct broker_event ev = {.kind = BEV_STOP};

    switch (m->kind) {
    case MAIL_STOP:
        step(r, &ev);
        break;
    case MAIL_DUMP:
        broker_dump_log(r->broker);
        break;
    default:
        add_registry(r, m);
        break;
    }
}

static void
handle_inbox(struct broker_runtime *r)
{
    struct mail *mail;

    while ((mail = mailbox_take(&r->inbox)) != NULL) {
        struct broker_mail *m = (struct broker_mail *)mail;

        handle_mail(r, m);
        free(m);
    }
}

/* The loop */

static int64_t
earlier_ms(int64_t a_ms, int64_t b_ms)
{
    if (a_ms < 0 || b_ms < 0) {
        return a_ms < 0 ? b_ms : a_ms;
    }
    return a_ms < b_ms ? a_ms : b_ms;
}

/* It goes through all upstreams, and changes with steps only. */
static int64_t
broker_due_us(struct broker_runtime *r)
{
    r->next_us = r->next_us > 0 ? r->next_us : broker_next_us(r->broker);
    return r->next_us;
}

static int64_t
next_us(struct broker_runtime *r)
{
    int64_t at_us = broker_due_us(r);
    int64_t over_us = broker_startup_end_us(r->broker);

    return r->n_waiting_requests > 0 && over_us < at_us ? over_us : at_us;
}

static int
poll_timeout_ms(struct broker_runtime *r)
{
    int64_t now_us = clock_now(r->opts.clock).mono_us;
    int64_t left_us = next_us(r) - now_us;
    int64_t ms = left_us <= 0 ? 0 : (left_us + 999) / USEC_PER_MSEC;

    ms = earlier_ms(ms, leaseclient_next_ms(r->upstreams));
    ms = earlier_ms(ms, peer_next_ms(r->peers));
    ms = earlier_ms(ms, httpapi_next_ms(r->callers));
    if (r->ready != NULL) {
        ms = earlier_ms(ms, httpapi_next_ms(r->ready));
    }
    if (r->metrics != NULL) {
        ms = earlier_ms(ms, httpapi_next_ms(r->metrics));
    }
    return ms < WAIT_MAX_MS ? (int)ms : WAIT_MAX_MS;
}

/* An answer given inside a request's callback is written by the next
 * httpapi_run(), for which there is no epoll event.  Without that run the
 * client would wait until another request arrives. */
static void
run_server(struct httpapi *h, bool woken)
{
    if (h != NULL && (woken || httpapi_next_ms(h) == 0)) {
        httpapi_run(h);
    }
}

static bool
has_event(const struct epoll_event *events, int n, const void *owner)
{
    for (int i = 0; i < n; i++) {
        if (events[i].data.ptr == owner) {
            return true;
        }
    }
    return false;
}

/* Runs the modules that have events; the loop's epoll contains the epoll
 * descriptors of the modules. */
static void
run_modules(struct broker_runtime *r, const struct epoll_event *events, int n)
{
    leaseclient_run(r->upstreams, has_event(events, n, r->upstreams));
    run_server(r->callers, has_event(events, n, r->callers));
    run_server(r->ready, has_event(events, n, r->ready));
    run_server(r->metrics, has_event(events, n, r->metrics));
}

/* Runs first in a round: after a pause of the process, decisions made before
 * would keep jobs running whose callers disconnected meanwhile. */
static void
poll_callers(struct broker_runtime *r)
{
    int64_t now_us = clock_now(r->opts.clock).mono_us;

    httpapi_take_gone(r->callers);
    r->callers_polled_us = now_us;
}

/* Configurations carry the limit of a job's body. */
static void
limit_bodies(struct broker_runtime *r)
{
    const struct queueconf *queues = broker_queues(r->broker);
    bool named = queues != NULL && queues->body_max > 0;

    httpapi_set_body_max(r->callers,
                         named ? queues->body_max : r->opts.body_max);
}

/* The reducer compares the usage with the declared limits. */
static void
report_usage(struct broker_runtime *r)
{
    struct broker_event ev = {.kind = BEV_USAGE};

    if (r->opts.broker.capacity.cpu_milli > 0 &&
        usage_take(&r->usage, &ev.u.usage)) {
        step(r, &ev);
    }
}

static void
run_once(struct broker_runtime *r)
{
    struct epoll_event events[EVENTS_MAX];
    int timeout_ms = mailbox_doze(&r->inbox) ? poll_timeout_ms(r) : 0;
    int n = epoll_wait(r->epoll, events, EVENTS_MAX, timeout_ms);

    r->round_us = clock_now(r->opts.clock).mono_us;
    mailbox_rouse(&r->inbox, has_event(events, n, &r->inbox));
    poll_callers(r);
    peer_run(r->peers, has_event(events, n, r->peers));
    handle_inbox(r);
    limit_bodies(r);
    resume_requests(r);
    run_modules(r, events, n);
    if (clock_now(r->opts.clock).mono_us >= broker_due_us(r)) {
        usage_add_event(&r->usage, broker_due_us(r));
        step(r, &(struct broker_event){.kind = BEV_TICK});
    }
    report_usage(r);
    peer_flush(r->peers);
}

/* When the reducer has stopped, queued answers must still be written, and
 * requests that still arrive be refused. */
static void
write_last_answers(struct broker_runtime *r)
{
    int64_t until_us =
        clock_now(r->opts.clock).mono_us + LAST_WRITE_MS * USEC_PER_MSEC;

    while (httpapi_busy(r->callers) > 0 &&
           clock_now(r->opts.clock).mono_us < until_us) {
        httpapi_run(r->callers);
        peer_run(r->peers, true);
        clock_sleep(USEC_PER_MSEC);
    }
}

static void *
runtime_run(void *arg)
{
    struct broker_runtime *r = arg;

    while (!atomic_load(&r->quit)) {
        run_once(r);
    }
    write_last_answers(r);
    return NULL;
}

/* Construction */

static bool
watch_fd(struct broker_runtime *r, int fd, void *owner)
{
    struct epoll_event e = {.events = EPOLLIN, .data.ptr = owner};

    return epoll_ctl(r->epoll, EPOLL_CTL_ADD, fd, &e) == 0;
}

static struct httpapi *
start_server(struct broker_runtime *r, const char *listen,
             unsigned int connections, size_t body_max,
             enum httpapi_handled (*handle)(
                 void *ctx, const struct httpapi_request *request),
             void (*gone)(void *ctx, uint64_t number))
{
    const struct httpapi_options o = {
        .listen = listen,
        .connections = connections,
        .idle_timeout_s = r->opts.idle_timeout_s,
        .body_max = body_max,
        .body_bytes_max = r->opts.body_bytes_max,
        .external = true,
        .handle = handle,
        .gone = gone,
        .ctx = r,
    };
    struct httpapi *h = httpapi_new(&o);
    int fds[HTTPAPI_FDS];
    int n;

    if (h == NULL) {
        log_event(LOG_ERR, "not-started", listen,
                  "cannot start HTTP server: %s", strerror(errno));
        return NULL;
    }
    n = httpapi_fds(h, fds);
    for (int i = 0; i < n; i++) {
        if (!watch_fd(r, fds[i], h)) {
            log_event(LOG_ERR, "not-started", listen,
                      "cannot add HTTP server to epoll: %s", strerror(errno));
            httpapi_free(h);
            return NULL;
        }
    }
    return h;
}

static bool
start_servers(struct broker_runtime *r)
{
    const struct broker_runtime_options *o = &r->opts;

    r->callers =
        start_server(r, o->listen_callers.s, o->connections_max, o->body_max,
                     on_caller_request, on_caller_disconnect);
    if (r->callers == NULL) {
        return false;
    }
    if (o->listen_ready.s[0] != '\0') {
        r->ready = start_server(r, o->listen_ready.s, METRICS_CONNECTIONS, 0,
                                on_ready, ignore_disconnect);
        if (r->ready == NULL) {
            return false;
        }
    }
    if (o->listen_metrics.s[0] != '\0') {
        r->metrics = start_server(r, o->listen_metrics.s, METRICS_CONNECTIONS,
                                  0, on_metrics, ignore_disconnect);
        if (r->metrics == NULL) {
            return false;
        }
    }
    return true;
}

static bool
start_clients(struct broker_runtime *r)
{
    struct leaseclient_options upstreams = r->opts.upstreams;
    struct peer_options peers = r->opts.peers;

    upstreams.clock = r->opts.clock;
    upstreams.on_outcome = on_called;
    upstreams.ctx = r;
    r->upstreams = leaseclient_new(&upstreams);
    if (r->upstreams == NULL ||
        !watch_fd(r, leaseclient_fd(r->upstreams), r->upstreams)) {
        log_event(LOG_ERR, "not-started", NULL,
                  "cannot set up libcurl for calls to upstreams");
        return false;
    }
    peers.external = true;
    peers.on_message = on_message;
    peers.on_peer = on_peer;
    peers.ctx = r;
    peers.clock = r->opts.clock;
    r->peers = peer_new(&peers);
    if (r->peers == NULL || !watch_fd(r, peer_fd(r->peers), r->peers)) {
        log_event(LOG_ERR, "not-started", peers.listen.s,
                  "cannot set up connections to other processes: %s",
                  strerror(errno));
        return false;
    }
    return true;
}

struct broker_runtime *
broker_runtime_new(const struct broker_runtime_options *o)
{
    struct broker_runtime *r = calloc(1, sizeof(*r));

    if (r == NULL || mailbox_init(&r->inbox, RING_SIZE) != 0) {
        free(r);
        return NULL;
    }
    r->opts = *o;
    r->broker = broker_new(&o->broker);
    r->usage.clock = o->clock;
    r->usage.read_cpu_us = usage_process_cpu_us;
    r->epoll = epoll_create1(EPOLL_CLOEXEC);
    if (r->epoll < 0 || !watch_fd(r, r->inbox.fd, &r->inbox) ||
        !start_servers(r) || !start_clients(r)) {
        broker_runtime_free(r);
        return NULL;
    }
    r->running = pthread_create(&r->thread, NULL, runtime_run, r) == 0;
    if (!r->running) {
        log_event(LOG_ERR, "not-started", NULL,
                  "cannot create the broker's thread");
        broker_runtime_free(r);
        return NULL;
    }
    return r;
}

void
broker_runtime_add_registry(struct broker_runtime *r, struct name name,
                            struct address address)
{
    struct broker_mail *m = new_mail(MAIL_REGISTRY, name);

    m->address = address;
    mailbox_post(&r->inbox, &m->mail);
}

void
broker_runtime_stop(struct broker_runtime *r)
{
    httpapi_closing(r->callers);
    mailbox_post(&r->inbox, &new_mail(MAIL_STOP, name_of(""))->mail);
}

void
broker_runtime_dump(struct broker_runtime *r)
{
    mailbox_post(&r->inbox, &new_mail(MAIL_DUMP, name_of(""))->mail);
}

bool
broker_runtime_stopped(const struct broker_runtime *r)
{
    return atomic_load(&r->stopped);
}

static void
drop_mail(struct broker_runtime *r)
{
    struct mail *mail;

    while ((mail = mailbox_take(&r->inbox)) != NULL) {
        free((struct broker_mail *)mail);
    }
    mailbox_destroy(&r->inbox);
}

void
broker_runtime_free(struct broker_runtime *r)
{
    if (r == NULL) {
        return;
    }
    atomic_store(&r->quit, true);
    if (r->running) {
        mailbox_wake(&r->inbox);
        (void)pthread_join(r->thread, NULL);
    }
    peer_free(r->peers);
    httpapi_free(r->callers);
    httpapi_free(r->ready);
    httpapi_free(r->metrics);
    leaseclient_free(r->upstreams);
    broker_free(r->broker);
    broker_effects_free(&r->effects);
    drop_mail(r);
    free(r->waiting_requests);
    if (r->epoll >= 0) {
        (void)close(r->epoll);
    }
    free(r);
}
