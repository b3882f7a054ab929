#include "httpapi.h"

#include <errno.h>
#include <poll.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <sys/epoll.h>
#include <unistd.h>

#include "base.h"
#include "httpserver.h"
#include "stats.h"

enum {
    BODY_START = 1024,
    GONE_EVENTS = 32,
    LOCATION_SIZE = 256,
    /* Headers of up to 16 KiB and what libmicrohttpd keeps of them; two
     * thousand connections must fit into a small machine. */
    CONNECTION_MEMORY = 24 * 1024,
    STATUS_TOO_LARGE = 413,
    STATUS_UNAVAILABLE = 503,
};

struct request {
    struct httpapi *api;
    struct MHD_Connection *connection;
    struct httpserver_client *client;
    struct httpwait wait;
    char *path;
    char *body;
    size_t size;
    size_t room;
    int fd; /* watched for the client's leaving; -1 for not */
    bool replied;
    struct httpapi_response reply;
};

struct httpapi {
    struct httpapi_options opts;
    struct httpserver server;
    int gone; /* epoll of the connections of waiting requests; -1 for none */
    atomic_bool closing;
    bool resumed; /* external: a connection has an answer to write */
};

const char *
httpapi_header(const struct httpapi_request *r, const char *name)
{
    return MHD_lookup_connection_value(r->connection, MHD_HEADER_KIND, name);
}

static void
add_headers(struct httpapi *h, struct MHD_Response *response,
            const struct request *request)
{
    const struct httpapi_response *r = &request->reply;
    char location[LOCATION_SIZE];
    char seconds[24];

    (void)MHD_add_response_header(response, "Content-Type",
                                  r->type != NULL ? r->type
                                                  : "application/json");
    if (r->retry_after_us > 0) {
        (void)snprintf(seconds, sizeof(seconds), "%lld",
                       (long long)((r->retry_after_us + USEC_PER_SEC - 1) /
                                   USEC_PER_SEC));
        (void)MHD_add_response_header(response, "Retry-After", seconds);
    }
    if (r->redirect_to.s[0] != '\0') {
        (void)snprintf(location, sizeof(location), "http://%s%s",
                       r->redirect_to.s, request->path);
        (void)MHD_add_response_header(response, "Location", location);
    }
    if (r->close || atomic_load(&h->closing)) {
        (void)MHD_add_response_header(response, "Connection", "close");
    }
}

static void
unref_text(void *text)
{
    blob_unref(text);
}

/* Takes the body of the reply over; NULL when memory is out. */
static struct MHD_Response *
make_response(struct httpapi_response *reply)
{
    struct MHD_Response *response;
    struct blob *text = reply->text;
    char *body = reply->body;

    if (text != NULL) {
        response = MHD_create_response_from_buffer_with_free_callback_cls(
            text->size, text->data, unref_text, text);
    }
    else if (body != NULL) {
        response = MHD_create_response_from_buffer(strlen(body), body,
                                                   MHD_RESPMEM_MUST_FREE);
    }
    else {
        response =
            MHD_create_response_from_buffer(0, "", MHD_RESPMEM_PERSISTENT);
    }
    if (response != NULL) {
        reply->text = NULL;
        reply->body = NULL;
    }
    return response;
}

static void
clear_reply(struct httpapi_response *reply)
{
    blob_unref(reply->text);
    free(reply->body);
    reply->text = NULL;
    reply->body = NULL;
}

static enum MHD_Result
queue(struct httpapi *h, struct request *r)
{
    struct MHD_Response *response = make_response(&r->reply);
    enum MHD_Result queued;

    if (response == NULL) {
        return MHD_NO;
    }
    httpserver_answer(&h->server, r->client);
    add_headers(h, response, r);
    queued = MHD_queue_response(r->connection, (unsigned int)r->reply.status,
                                response);
    MHD_destroy_response(response);
    return queued;
}

static void
free_body(struct httpapi *h, struct request *r)
{
    free(r->body);
    r->body = NULL;
    r->size = 0;
    r->room = 0;
    (void)httpserver_set_body(&h->server, r->client, 0);
}

/* Requests */

/* libmicrohttpd reads the bodies of other methods although they are answered.
 */
static enum MHD_Result
refuse_length(struct httpapi *h, struct request *r, const char *method)
{
    stats_add(&stats.http_refused, 1);
    if (strcmp(method, "POST") != 0 && strcmp(method, "PUT") != 0) {
        return MHD_NO;
    }
    r->reply.status = STATUS_TOO_LARGE;
    r->reply.close = true;
    r->replied = true;
    return queue(h, r);
}

static bool
is_too_long(const struct httpapi *h, struct MHD_Connection *connection)
{
    const char *length = MHD_lookup_connection_value(
        connection, MHD_HEADER_KIND, MHD_HTTP_HEADER_CONTENT_LENGTH);

    return length != NULL && strtoull(length, NULL, 10) > h->opts.body_max;
}

static enum MHD_Result
begin(struct httpapi *h, struct MHD_Connection *connection, const char *url,
      const char *method, void **ctx)
{
    struct request *r = calloc(1, sizeof(*r));

    if (r == NULL) {
        return MHD_NO;
    }
    *ctx = r;
    (void)atomic_fetch_add(&h->server.in_progress, 1);
    stats_add(&stats.http_requests, 1);
    r->api = h;
    r->connection = connection;
    r->fd = -1;
    r->client = httpserver_client(connection);
    httpserver_begin_body(&h->server, r->client);
    r->path = strdup(url);
    if (r->path == NULL) {
        return MHD_NO;
    }
    return is_too_long(h, connection) ? refuse_length(h, r, method) : MHD_YES;
}

/* Makes room for a body of @size bytes and a terminator.  Returns false if the
 * request is over, for want of memory. */
static bool
grow_body(struct httpapi *h, struct request *r, size_t size)
{
    size_t room = r->room > 0 ? r->room : BODY_START;
    char *body;

    while (room < size + 1) {
        room *= 2;
    }
    room = room < h->opts.body_max + 1 ? room : h->opts.body_max + 1;
    if (room > r->room) {
        body = realloc(r->body, room);
        if (body == NULL) {
            return false;
        }
        r->body = body;
        r->room = room;
    }
    return httpserver_set_body(&h->server, r->client, r->room);
}

static enum MHD_Result
take_body(struct httpapi *h, struct request *r, const char *data, size_t *n)
{
    if (r->size + *n > h->opts.body_max) {
        httpserver_refuse_body(r->client, STATUS_TOO_LARGE);
        return MHD_NO;
    }
    if (!grow_body(h, r, r->size + *n)) {
        return MHD_NO;
    }
    memcpy(r->body + r->size, data, *n);
    r->size += *n;
    r->body[r->size] = '\0';
    *n = 0;
    return MHD_YES;
}

/* A suspended connection is not watched by libmicrohttpd: its client may leave
 * unseen, and the work for it would go on for nobody. */
static void
watch(struct httpapi *h, struct request *r, uint64_t number)
{
    struct epoll_event e = {.events = EPOLLRDHUP | EPOLLET,
                            .data.u64 = number};
    int fd = r->client->fd;

    if (h->gone >= 0 && fd >= 0 &&
        epoll_ctl(h->gone, EPOLL_CTL_ADD, fd, &e) == 0) {
        r->fd = fd;
    }
}

static void
unwatch(struct httpapi *h, struct request *r)
{
    if (r->fd >= 0) {
        (void)epoll_ctl(h->gone, EPOLL_CTL_DEL, r->fd, NULL);
        r->fd = -1;
    }
}

/* A request may be read long after its client gave it up. */
static bool
client_left(const struct httpapi *h, const struct request *r)
{
    struct pollfd fd = {.fd = r->client->fd, .events = POLLRDHUP};

    return h->gone >= 0 && fd.fd >= 0 && poll(&fd, 1, 0) > 0;
}

static enum MHD_Result
hand_over(struct httpapi *h, struct request *r, const char *method)
{
    struct httpapi_request whole = {
        .number = httpserver_wait(&h->server, &r->wait, r),
        .method = method,
        .path = r->path,
        .body = r->body != NULL ? r->body : "",
        .size = r->size,
        .connection = r->connection,
    };

    if (whole.number == 0) {
        r->reply.status = STATUS_UNAVAILABLE;
        r->reply.close = true;
        return queue(h, r);
    }
    watch(h, r, whole.number);
    httpserver_suspend(&h->server, &r->wait, r->connection);
    if (h->opts.handle(h->opts.ctx, &whole) == HTTPAPI_TAKEN) {
        free_body(h, r);
    }
    return MHD_YES;
}

static enum MHD_Result
on_request(void *cls, struct MHD_Connection *connection, const char *url,
           const char *method, const char *version, const char *upload_data,
           size_t *upload_data_size, void **ctx)
{
    struct httpapi *h = cls;
    struct request *r = *ctx;

    (void)version;
    if (r == NULL) {
        return begin(h, connection, url, method, ctx);
    }
    if (r->replied) {
        return queue(h, r);
    }
    if (*upload_data_size > 0) {
        return take_body(h, r, upload_data, upload_data_size);
    }
    return client_left(h, r) || !httpserver_end_body(&h->server, r->client)
               ? MHD_NO
               : hand_over(h, r, method);
}

static void
on_completed(void *cls, struct MHD_Connection *connection, void **ctx,
             enum MHD_RequestTerminationCode how)
{
    struct httpapi *h = cls;
    struct request *r = *ctx;

    (void)connection;
    (void)how;
    if (r == NULL) {
        return;
    }
    *ctx = NULL;
    unwatch(h, r);
    clear_reply(&r->reply);
    free(r->path);
    free_body(h, r);
    httpserver_end_request(&h->server, r->client);
    free(r);
    (void)atomic_fetch_sub(&h->server.in_progress, 1);
}

static void
resume(struct httpapi *h, struct request *r)
{
    unwatch(h, r);
    /* Without a thread of its own libmicrohttpd wakes nobody for this. */
    h->resumed = h->opts.external;
    MHD_resume_connection(r->connection);
}

void
httpapi_reply(struct httpapi *h, uint64_t number,
              struct httpapi_response *response)
{
    struct request *r = httpserver_take(&h->server, number);

    if (r == NULL) {
        clear_reply(response);
        return;
    }
    r->reply = *response;
    response->body = NULL;
    response->text = NULL;
    r->replied = true;
    resume(h, r);
}

void
httpapi_again(struct httpapi *h, uint64_t number)
{
    struct request *r = httpserver_take(&h->server, number);

    if (r != NULL) {
        resume(h, r);
    }
}

void
httpapi_set_body_max(struct httpapi *h, size_t bytes)
{
    size_t most = h->opts.body_bytes_max / 2;

    h->opts.body_max = bytes < most ? bytes : most;
}

void
httpapi_closing(struct httpapi *h)
{
    atomic_store(&h->closing, true);
}

unsigned int
httpapi_busy(const struct httpapi *h)
{
    return atomic_load(&h->server.in_progress);
}

struct httpapi *
httpapi_new(const struct httpapi_options *o)
{
    struct httpapi *h = calloc(1, sizeof(*h));
    const struct httpserver_options server = {
        .listen = o->listen,
        .threads = 1,
        .connections = o->connections,
        .body_bytes_max = o->body_bytes_max,
        .idle_timeout_s = o->idle_timeout_s,
        .external = o->external,
        .memory = CONNECTION_MEMORY,
        .on_request = on_request,
        .on_completed = on_completed,
        .cls = h,
    };

    if (h == NULL) {
        return NULL;
    }
    h->opts = *o;
    h->gone = o->external ? epoll_create1(EPOLL_CLOEXEC) : -1;
    if (!httpserver_start(&h->server, &server)) {
        int err = errno;

        if (h->gone >= 0) {
            (void)close(h->gone);
        }
        free(h);
        errno = err;
        return NULL;
    }
    return h;
}

uint16_t
httpapi_port(const struct httpapi *h)
{
    return httpserver_port(&h->server);
}

int
httpapi_fds(const struct httpapi *h, int fds[HTTPAPI_FDS])
{
    fds[0] = httpserver_fd(&h->server);
    fds[1] = h->gone;
    return HTTPAPI_FDS;
}

void
httpapi_take_gone(struct httpapi *h)
{
    struct epoll_event events[GONE_EVENTS];
    int n = GONE_EVENTS;

    while (n == GONE_EVENTS) {
        n = epoll_wait(h->gone, events, GONE_EVENTS, 0);
        for (int i = 0; i < n; i++) {
            struct httpapi_response nobody = {.status = STATUS_UNAVAILABLE,
                                              .close = true};

            h->opts.gone(h->opts.ctx, events[i].data.u64);
            httpapi_reply(h, events[i].data.u64, &nobody);
        }
    }
}

void
httpapi_run(struct httpapi *h)
{
    h->resumed = false;
    httpapi_take_gone(h);
    httpserver_run(&h->server);
}

int64_t
httpapi_next_ms(struct httpapi *h)
{
    return h->resumed ? 0 : httpserver_next_ms(&h->server);
}

void
httpapi_drain(struct httpapi *h, int64_t timeout_ms)
{
    if (h->opts.external) {
        MHD_socket listener = MHD_quiesce_daemon(h->server.daemon);

        if (listener != MHD_INVALID_SOCKET) {
            (void)close(listener);
        }
        return;
    }
    (void)httpserver_drain(&h->server, timeout_ms);
}

static void
refuse_one(void *cls, uint64_t number)
{
    struct httpapi_response stopping = {.status = STATUS_UNAVAILABLE,
                                        .close = true};

    httpapi_reply(cls, number, &stopping);
}

void
httpapi_free(struct httpapi *h)
{
    if (h == NULL) {
        return;
    }
    httpserver_close(&h->server, refuse_one, h);
    httpserver_stop(&h->server);
    if (h->gone >= 0) {
        (void)close(h->gone);
    }
    free(h);
}
