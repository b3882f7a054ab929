#include "httpd.h"

#include <pthread.h>
#include <stdlib.h>
#include <string.h>
#include <sys/socket.h>
#include <unistd.h>

#include "httpreply.h"
#include "httprequest.h"
#include "httpserver.h"
#include "log.h"
#include "stats.h"

enum {
    LOOK_US = 50 * 1000, /* between looks at slow bodies */
    RAW_SIZE = 1024,
};

struct httpd {
    struct httpd_options opts;
    struct httpserver server;
    pthread_t watcher;
    atomic_bool stopping;
    atomic_bool ended;
    pthread_mutex_t lock;              /* for what follows */
    TAILQ_HEAD(, httprequest) reading; /* bodies on their way, oldest first */
};

struct httpd_options
httpd_options_default(void)
{
    return (struct httpd_options){
        .threads = 4,
        .connections = 16384,
        .body_max = (size_t)4 << 20,
        .body_bytes_max = (size_t)256 << 20,
        .body_timeout_ms = 5000,
        .idle_timeout_s = 75,
    };
}

static enum MHD_Result
queue_reply(struct httpd *h, struct httprequest *r, struct httpreply *reply)
{
    struct MHD_Response *response;
    enum MHD_Result queued;
    char seconds[24];

    if (reply->body == NULL) {
        return MHD_NO; /* out of memory: the connection is closed */
    }
    response = MHD_create_response_from_buffer(reply->size, reply->body,
                                               MHD_RESPMEM_MUST_FREE);
    if (response == NULL) {
        free(reply->body);
        return MHD_NO;
    }
    (void)MHD_add_response_header(response, "Content-Type", reply->type);
    if (reply->retry_after_s > 0) {
        (void)snprintf(seconds, sizeof(seconds), "%lld",
                       (long long)reply->retry_after_s);
        (void)MHD_add_response_header(response, "Retry-After", seconds);
    }
    if (reply->location[0] != '\0') {
        (void)MHD_add_response_header(response, "Location", reply->location);
    }
    if (r->route.kind == ROUTE_METHOD_NOT_ALLOWED) {
        (void)MHD_add_response_header(response, "Allow", r->route.allow);
    }
    if (atomic_load(&h->stopping)) {
        (void)MHD_add_response_header(response, "Connection", "close");
    }
    httpserver_answer(&h->server, r->client);
    queued = MHD_queue_response(r->connection, (unsigned int)reply->status,
                                response);
    MHD_destroy_response(response);
    return queued;
}

static enum MHD_Result
queue_effect(struct httpd *h, struct httprequest *r)
{
    struct httpreply reply = httpreply_of(&r->reply, r->route.kind, r->key);
    int64_t took_us = clock_now(h->opts.clock).mono_us - r->begun_us;

    if (r->route.kind == ROUTE_SUBMIT && r->reply.kind == EF_ANSWER) {
        stats_add(&stats.submit_us, (uint64_t)took_us);
        stats_add(&stats.submits_answered, 1);
    }
    return queue_reply(h, r, &reply);
}

static enum MHD_Result
queue_refusal(struct httpd *h, struct httprequest *r,
              const struct httprefusal *why)
{
    struct httpreply reply = httpreply_problem(why->problem, why->detail);

    stats_add(&stats.http_refused, 1);
    return queue_reply(h, r, &reply);
}

/* libmicrohttpd takes no response while a body is on its way, so the refusal
 * is written past it; it then finds the connection closed.  A client would
 * otherwise wait for its own timeout and not learn why. */
static void
refuse_unread(struct httprequest *r, enum problem problem, const char *detail)
{
    struct httpreply reply = httpreply_problem(problem, detail);
    char text[RAW_SIZE];
    int n;

    stats_add(&stats.http_refused, 1);
    if (reply.body == NULL) {
        return;
    }
    n = snprintf(text, sizeof(text),
                 "HTTP/1.1 %d %s\r\nContent-Type: %s\r\n"
                 "Content-Length: %zu\r\nConnection: close\r\n\r\n%s",
                 reply.status, problem_title(problem), reply.type, reply.size,
                 reply.body);
    if (n > 0 && (size_t)n < sizeof(text)) {
        (void)!send(r->client->fd, text, (size_t)n,
                    MSG_DONTWAIT | MSG_NOSIGNAL);
    }
    (void)shutdown(r->client->fd, SHUT_RDWR);
    free(reply.body);
}

static void
reading_begin(struct httpd *h, struct httprequest *r)
{
    r->body_due_us = r->begun_us + h->opts.body_timeout_ms * USEC_PER_MSEC;
    (void)pthread_mutex_lock(&h->lock);
    r->reading = true;
    TAILQ_INSERT_TAIL(&h->reading, r, reading_link);
    (void)pthread_mutex_unlock(&h->lock);
}

/* Whether the request still stands: it may have been refused as slow just
 * when the rest of its body arrived, and must not run then. */
static bool
reading_end(struct httpd *h, struct httprequest *r)
{
    bool stands;

    (void)pthread_mutex_lock(&h->lock);
    if (r->reading) {
        TAILQ_REMOVE(&h->reading, r, reading_link);
        r->reading = false;
    }
    stands = !r->cut_off;
    (void)pthread_mutex_unlock(&h->lock);
    return stands;
}

/* A request stays in the list only while its connection is open, and leaves
 * it under the lock: the descriptor is still that of the request. */
static void
refuse_slow_bodies(struct httpd *h)
{
    int64_t now_us = clock_now(h->opts.clock).mono_us;
    struct httprequest *r;

    (void)pthread_mutex_lock(&h->lock);
    while ((r = TAILQ_FIRST(&h->reading)) != NULL &&
           r->body_due_us <= now_us) {
        TAILQ_REMOVE(&h->reading, r, reading_link);
        r->reading = false;
        r->cut_off = true;
        stats_add(&stats.http_slow_bodies, 1);
        refuse_unread(r, PROBLEM_SLOW_BODY,
                      "the whole body must come within the time allowed");
    }
    (void)pthread_mutex_unlock(&h->lock);
}

static void *
watcher_run(void *arg)
{
    struct httpd *h = arg;

    while (!atomic_load(&h->ended)) {
        refuse_slow_bodies(h);
        (void)usleep(LOOK_US);
    }
    return NULL;
}

static enum MHD_Result
begin_request(struct httpd *h, struct MHD_Connection *connection,
              const char *url, const char *method, void **ctx)
{
    struct httprequest *r = calloc(1, sizeof(*r));
    struct httprefusal why;

    if (r == NULL) {
        return MHD_NO;
    }
    *ctx = r;
    (void)atomic_fetch_add(&h->server.in_progress, 1);
    stats_add(&stats.http_requests, 1);
    r->connection = connection;
    r->client = httpserver_client(connection);
    httpserver_begin_body(&h->server, r->client);
    r->begun_us = clock_now(h->opts.clock).mono_us;
    r->route = route_find(method, url);
    if (!httprequest_check(r, h->opts.body_max, &why)) {
        return queue_refusal(h, r, &why);
    }
    reading_begin(h, r);
    return MHD_YES;
}

static enum MHD_Result
take_body(struct httpd *h, struct httprequest *r, const char *data, size_t *n)
{
    if (r->body_size + *n > h->opts.body_max) {
        if (reading_end(h, r)) {
            refuse_unread(r, PROBLEM_TOO_LARGE, "the body is too long");
        }
        return MHD_NO;
    }
    if (!httprequest_append(r, data, *n) ||
        !httpserver_set_body(&h->server, r->client, r->body_room)) {
        return MHD_NO;
    }
    *n = 0;
    return MHD_YES;
}

static enum MHD_Result
reply_health(struct httpd *h, struct httprequest *r)
{
    bool healthy = h->opts.healthy(h->opts.ctx);
    struct httpreply reply = {.status = healthy ? 200 : 503,
                              .type = "application/json"};

    reply.body = strdup(healthy ? "{\"status\":\"ok\"}\n"
                                : "{\"status\":\"unavailable\"}\n");
    reply.size = reply.body != NULL ? strlen(reply.body) : 0;
    return queue_reply(h, r, &reply);
}

static enum MHD_Result
offer_request(struct httpd *h, struct httprequest *r)
{
    struct httprefusal why = {.problem = PROBLEM_STOPPING};
    struct envelope *e;
    uint64_t id = httpserver_wait(&h->server, &r->wait_for_reply, r);

    if (id == 0) {
        return queue_refusal(h, r, &why);
    }
    e = httprequest_event(r, id, &why);
    if (e == NULL) {
        (void)httpserver_take(&h->server, id);
        return queue_refusal(h, r, &why);
    }
    free(r->body);
    r->body = NULL;
    (void)httpserver_set_body(&h->server, r->client, 0);
    httpserver_suspend(&h->server, &r->wait_for_reply, r->connection);
    if (!h->opts.offer(h->opts.ctx, e)) {
        struct effect full = {.kind = EF_PROBLEM};

        envelope_free(e);
        stats_add(&stats.http_inbox_full, 1);
        full.u.problem.problem = PROBLEM_OVERLOADED;
        full.u.problem.request_started_nothing = true;
        (void)snprintf(full.u.problem.detail, sizeof(full.u.problem.detail),
                       "too many requests wait at this instance");
        httpd_reply(h, id, &full);
    }
    return MHD_YES;
}

static enum MHD_Result
on_request(void *cls, struct MHD_Connection *connection, const char *url,
           const char *method, const char *version, const char *upload_data,
           size_t *upload_data_size, void **ctx)
{
    struct httpd *h = cls;
    struct httprequest *r = *ctx;

    (void)version;
    if (r == NULL) {
        return begin_request(h, connection, url, method, ctx);
    }
    if (r->replied) {
        return queue_effect(h, r);
    }
    if (*upload_data_size > 0) {
        return take_body(h, r, upload_data, upload_data_size);
    }
    if (!reading_end(h, r) || !httpserver_end_body(&h->server, r->client)) {
        return MHD_NO;
    }
    if (r->route.kind == ROUTE_HEALTH) {
        return reply_health(h, r);
    }
    return offer_request(h, r);
}

void
httpd_reply(struct httpd *h, uint64_t request, struct effect *reply)
{
    struct httprequest *r = httpserver_take(&h->server, request);

    if (r == NULL) {
        return;
    }
    r->reply = *reply;
    memset(reply, 0, sizeof(*reply));
    r->replied = true;
    MHD_resume_connection(r->connection);
}

static void
on_completed(void *cls, struct MHD_Connection *connection, void **ctx,
             enum MHD_RequestTerminationCode how)
{
    struct httpd *h = cls;
    struct httprequest *r = *ctx;

    (void)connection;
    (void)how;
    if (r == NULL) {
        return;
    }
    *ctx = NULL;
    (void)reading_end(h, r);
    httpserver_end_request(&h->server, r->client);
    httprequest_free(r);
    (void)atomic_fetch_sub(&h->server.in_progress, 1);
}

static bool
start_server(struct httpd *h)
{
    const struct httpd_options *o = &h->opts;
    const struct httpserver_options server = {
        .listen = o->listen.s,
        .threads = o->threads,
        .connections = o->connections,
        .body_bytes_max = o->body_bytes_max,
        .idle_timeout_s = o->idle_timeout_s,
        .on_request = on_request,
        .on_completed = on_completed,
        .cls = h,
    };

    return httpserver_start(&h->server, &server);
}

struct httpd *
httpd_new(const struct httpd_options *o)
{
    struct httpd *h = calloc(1, sizeof(*h));

    if (h == NULL) {
        return NULL;
    }
    h->opts = *o;
    (void)pthread_mutex_init(&h->lock, NULL);
    TAILQ_INIT(&h->reading);
    if (!start_server(h)) {
        goto fail;
    }
    if (pthread_create(&h->watcher, NULL, watcher_run, h) != 0) {
        httpserver_stop(&h->server);
        goto fail;
    }
    return h;

fail:
    (void)pthread_mutex_destroy(&h->lock);
    free(h);
    return NULL;
}

uint16_t
httpd_port(const struct httpd *h)
{
    return httpserver_port(&h->server);
}

void
httpd_stopping(struct httpd *h)
{
    atomic_store(&h->stopping, true);
}

bool
httpd_drain(struct httpd *h, int64_t timeout_ms)
{
    return httpserver_drain(&h->server, timeout_ms);
}

static void
refuse_one(void *cls, uint64_t request)
{
    struct effect stop = {.kind = EF_PROBLEM};

    stop.u.problem.problem = PROBLEM_STOPPING;
    stop.u.problem.request_started_nothing = true;
    httpd_reply(cls, request, &stop);
}

void
httpd_free(struct httpd *h)
{
    if (h == NULL) {
        return;
    }
    httpserver_close(&h->server, refuse_one, h);
    atomic_store(&h->ended, true);
    (void)pthread_join(h->watcher, NULL);
    httpserver_stop(&h->server);
    (void)pthread_mutex_destroy(&h->lock);
    free(h);
}
