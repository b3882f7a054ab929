#include "control_http.h"

#include <microhttpd.h>
#include <stdlib.h>
#include <string.h>

#include "control_request.h"
#include "fsm.h"
#include "httpserver.h"
#include "log.h"
#include "stats.h"

enum {
    /* A configuration as a JSON string: escapes may double its size. */
    BODY_MAX = 2 * CONFIG_TEXT_MAX + 65536,
    BODY_START = 4096,
    PATH_MAX_SIZE = 160,
    QUERY_SIZE = 160,
    LIMIT_DEFAULT = 100,
    NUMBER_DIGITS_MAX = 18,
    STATUS_TOO_LARGE = 413,
};

/* State of an HTTP request. */
struct request {
    struct MHD_Connection *connection;
    struct httpserver_client *client;
    struct httpwait wait;
    enum control_route route;
    char path[PATH_MAX_SIZE];
    char query_text[QUERY_SIZE];
    struct control_query query;
    char *body;
    size_t size;
    size_t capacity;
    bool too_large;
    bool replied;
    struct control_effect reply;
};

struct control_http {
    struct control_http_options opts;
    struct httpserver server;
};

static enum MHD_Result
send_response(struct control_http *h, struct request *r,
              struct control_response *out)
{
    struct MHD_Response *response;
    enum MHD_Result queued;

    if (out->body == NULL) {
        return MHD_NO; /* out of memory: the connection is closed */
    }
    response = MHD_create_response_from_buffer(strlen(out->body), out->body,
                                               MHD_RESPMEM_MUST_FREE);
    if (response == NULL) {
        free(out->body);
        return MHD_NO;
    }
    (void)MHD_add_response_header(response, "Content-Type", out->content_type);
    if (out->retry_after) {
        (void)MHD_add_response_header(response, "Retry-After", "1");
    }
    if (out->location[0] != '\0') {
        (void)MHD_add_response_header(response, "Location", out->location);
    }
    httpserver_answer(&h->server, r->client);
    queued =
        MHD_queue_response(r->connection, (unsigned int)out->status, response);
    MHD_destroy_response(response);
    return queued;
}

static enum MHD_Result
send_rejection(struct control_http *h, struct request *r,
               enum control_result result, const char *detail)
{
    struct control_rejection rejection = {.result = result};
    struct control_response out;

    (void)snprintf(rejection.detail, sizeof(rejection.detail), "%s", detail);
    stats_add(&stats.http_refused, 1);
    out = control_response_rejection(&rejection);
    return send_response(h, r, &out);
}

static bool
read_number(const char *text, uint64_t *out)
{
    size_t n = strspn(text, "0123456789");

    if (n == 0 || n > NUMBER_DIGITS_MAX || text[n] != '\0') {
        return false;
    }
    *out = strtoull(text, NULL, 10);
    return true;
}

/* Parses the known query arguments and keeps them for a redirection. */
static enum MHD_Result
on_argument(void *cls, enum MHD_ValueKind kind, const char *key,
            const char *value)
{
    struct request *r = cls;
    size_t used = strlen(r->query_text);
    uint64_t n = 0;

    (void)kind;
    value = value != NULL ? value : "";
    if (strcmp(key, "local") == 0 && strcmp(value, "true") == 0) {
        r->query.local = true;
    }
    else if (strcmp(key, "version") == 0 && read_number(value, &n)) {
        r->query.version = n;
    }
    else if (strcmp(key, "limit") == 0 && read_number(value, &n)) {
        r->query.limit = n < UINT32_MAX ? (uint32_t)n : UINT32_MAX;
    }
    else {
        return MHD_YES;
    }
    (void)snprintf(r->query_text + used, sizeof(r->query_text) - used,
                   "%s%s=%s", used == 0 ? "?" : "&", key, value);
    return MHD_YES;
}

static enum MHD_Result
begin_request(struct control_http *h, struct MHD_Connection *connection,
              const char *url, const char *method, void **ctx)
{
    struct request *r = calloc(1, sizeof(*r));

    if (r == NULL) {
        return MHD_NO;
    }
    *ctx = r;
    (void)atomic_fetch_add(&h->server.in_progress, 1);
    stats_add(&stats.http_requests, 1);
    r->connection = connection;
    r->client = httpserver_client(connection);
    httpserver_begin_body(&h->server, r->client);
    r->route = control_route_find(method, url);
    r->query.limit = LIMIT_DEFAULT;
    (void)snprintf(r->path, sizeof(r->path), "%s", url);
    (void)MHD_get_connection_values(connection, MHD_GET_ARGUMENT_KIND,
                                    on_argument, r);
    if (r->route == CONTROL_ROUTE_NONE) {
        return send_rejection(h, r, CONTROL_NOT_FOUND, "");
    }
    if (r->route == CONTROL_ROUTE_METHOD) {
        return send_rejection(h, r, CONTROL_METHOD, "");
    }
    return MHD_YES;
}

static enum MHD_Result
append_body(struct control_http *h, struct request *r, const char *data,
            size_t *n)
{
    size_t capacity = r->capacity > 0 ? r->capacity : BODY_START;
    char *body;

    if (r->size + *n > BODY_MAX) {
        httpserver_refuse_body(r->client, STATUS_TOO_LARGE);
        return MHD_NO;
    }
    if (!control_route_is_write(r->route)) {
        r->too_large = true; /* discard it, reject at the end */
        r->size += *n;
        *n = 0;
        return MHD_YES;
    }
    while (capacity < r->size + *n) {
        capacity *= 2;
    }
    body = capacity != r->capacity ? realloc(r->body, capacity) : r->body;
    if (body == NULL) {
        return MHD_NO;
    }
    r->body = body;
    r->capacity = capacity;
    if (!httpserver_set_body(&h->server, r->client, capacity)) {
        return MHD_NO;
    }
    memcpy(r->body + r->size, data, *n);
    r->size += *n;
    *n = 0;
    return MHD_YES;
}

static const char *
request_header(struct request *r, const char *name)
{
    return MHD_lookup_connection_value(r->connection, MHD_HEADER_KIND, name);
}

/* Only write requests need a signature. */
static enum opauth_result
check_signature(struct control_http *h, struct request *r, const char *method,
                struct name *publisher)
{
    struct opsign_request signed_request = {
        .method = method,
        .path = r->path,
        .body = r->body,
        .size = r->size,
    };
    const struct opauth_headers headers = {
        .operator_name = request_header(r, "Boragemoor-Operator"),
        .time = request_header(r, "Boragemoor-Time"),
        .nonce = request_header(r, "Boragemoor-Nonce"),
        .auth = request_header(r, "Boragemoor-Auth"),
    };
    enum opauth_result result;

    if (!control_route_is_write(r->route)) {
        return OPAUTH_OK;
    }
    result = opauth_check(h->opts.auth, &signed_request, &headers,
                          clock_now(h->opts.clock).wall_us);
    *publisher = signed_request.operator_name;
    if (result == OPAUTH_OK) {
        log_event(LOG_NOTICE, "change-signed", publisher->s, "%s %s", method,
                  r->path);
    }
    else {
        stats_add(&stats.auth_refused, 1);
        log_event(LOG_WARNING, "change-refused",
                  headers.operator_name != NULL ? headers.operator_name : NULL,
                  "%s %s: %s", method, r->path,
                  result == OPAUTH_STALE ? "stale" : "not authenticated");
    }
    return result;
}

static enum MHD_Result
reply_health(struct control_http *h, struct request *r)
{
    bool healthy = h->opts.healthy(h->opts.ctx);
    struct control_response out = {
        .status = healthy ? 200 : 503,
        .content_type = "application/json",
        .body = strdup(healthy ? "{\"status\":\"ok\"}\n"
                               : "{\"status\":\"unavailable\"}\n"),
    };

    return send_response(h, r, &out);
}

static enum MHD_Result
offer(struct control_http *h, struct request *r, struct name publisher)
{
    struct control_rejection rejection = {0};
    uint64_t id = httpserver_wait(&h->server, &r->wait, r);
    struct control_mail *m;

    if (id == 0) {
        return send_rejection(h, r, CONTROL_NO_LEADER,
                              "this member is stopping");
    }
    m = control_request_parse(r->route, &r->query, publisher, r->body, r->size,
                              id, &rejection);
    if (m == NULL) {
        (void)httpserver_take(&h->server, id);
        return send_rejection(h, r, rejection.result, rejection.detail);
    }
    httpserver_suspend(&h->server, &r->wait, r->connection);
    if (!h->opts.offer(h->opts.ctx, m)) {
        struct control_effect full = {.kind = CE_REPLY};

        control_mail_free(m);
        stats_add(&stats.http_inbox_full, 1);
        full.u.reply.result = CONTROL_NO_LEADER;
        control_http_reply(h, id, &full);
    }
    return MHD_YES;
}

static enum MHD_Result
handle_request(struct control_http *h, struct request *r, const char *method)
{
    struct name publisher = {""};

    if (!httpserver_end_body(&h->server, r->client)) {
        return MHD_NO;
    }
    if (r->too_large) {
        return send_rejection(h, r, CONTROL_TOO_LARGE, "");
    }
    if (r->route == CONTROL_ROUTE_HEALTH) {
        return reply_health(h, r);
    }
    switch (check_signature(h, r, method, &publisher)) {
    case OPAUTH_NOT_SIGNED:
        return send_rejection(h, r, CONTROL_NOT_SIGNED, "");
    case OPAUTH_STALE:
        return send_rejection(h, r, CONTROL_STALE, "");
    default:
        return offer(h, r, publisher);
    }
}

static enum MHD_Result
on_request(void *cls, struct MHD_Connection *connection, const char *url,
           const char *method, const char *version, const char *upload_data,
           size_t *upload_data_size, void **ctx)
{
    struct control_http *h = cls;
    struct request *r = *ctx;

    (void)version;
    if (r == NULL) {
        return begin_request(h, connection, url, method, ctx);
    }
    if (r->replied) {
        struct control_response out = control_response_from_effect(
            r->route, &r->reply, r->path, r->query_text);

        return send_response(h, r, &out);
    }
    if (*upload_data_size > 0) {
        return append_body(h, r, upload_data, upload_data_size);
    }
    return handle_request(h, r, method);
}

void
control_http_reply(struct control_http *h, uint64_t request,
                   struct control_effect *f)
{
    struct request *r = httpserver_take(&h->server, request);

    if (r == NULL) {
        return;
    }
    r->reply = *f;
    memset(f, 0, sizeof(*f));
    f->kind = CE_STOPPED;
    r->replied = true;
    MHD_resume_connection(r->connection);
}

static void
on_completed(void *cls, struct MHD_Connection *connection, void **ctx,
             enum MHD_RequestTerminationCode termination)
{
    struct control_http *h = cls;
    struct request *r = *ctx;

    (void)connection;
    (void)termination;
    if (r == NULL) {
        return;
    }
    *ctx = NULL;
    if (httpserver_take(&h->server, httpserver_number(&r->wait)) != NULL) {
        h->opts.on_client_gone(h->opts.ctx, httpserver_number(&r->wait));
    }
    if (r->replied) {
        control_effect_clear(&r->reply);
    }
    httpserver_end_request(&h->server, r->client);
    free(r->body);
    free(r);
    (void)atomic_fetch_sub(&h->server.in_progress, 1);
}

static bool
start_server(struct control_http *h)
{
    const struct control_http_options *o = &h->opts;
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

struct control_http *
control_http_new(const struct control_http_options *o)
{
    struct control_http *h = calloc(1, sizeof(*h));

    if (h == NULL) {
        return NULL;
    }
    h->opts = *o;
    if (start_server(h)) {
        return h;
    }
    free(h);
    return NULL;
}

uint16_t
control_http_port(const struct control_http *h)
{
    return httpserver_port(&h->server);
}

void
control_http_drain(struct control_http *h, int64_t timeout_ms)
{
    (void)httpserver_drain(&h->server, timeout_ms);
}

static void
reject_pending(void *cls, uint64_t request)
{
    struct control_effect stop = {.kind = CE_REPLY};

    stop.u.reply.result = CONTROL_UNKNOWN;
    control_http_reply(cls, request, &stop);
}

void
control_http_free(struct control_http *h)
{
    if (h == NULL) {
        return;
    }
    httpserver_close(&h->server, reject_pending, h);
    httpserver_stop(&h->server);
    free(h);
}

static void *
ops_new(const struct control_http_options *o)
{
    return control_http_new(o);
}

static void
ops_reply(void *http, uint64_t request, struct control_effect *f)
{
    control_http_reply(http, request, f);
}

static void
ops_drain(void *http, int64_t timeout_ms)
{
    control_http_drain(http, timeout_ms);
}

static void
ops_free(void *http)
{
    control_http_free(http);
}

const struct control_http_ops *
control_http_ops(void)
{
    static const struct control_http_ops ops = {
        .new = ops_new,
        .reply = ops_reply,
        .drain = ops_drain,
        .free = ops_free,
    };

    return &ops;
}
