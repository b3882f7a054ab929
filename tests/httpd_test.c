/* The HTTP server: what it refuses by itself, and suspended requests. */
#include "httpd.h"

#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <unistd.h>

#include "check.h"
#include "httpapi.h"
#include "mailbox.h"
#include "net.h"

enum {
    BODY_MAX = 1000,
    BODIES_MAX = 5 * 1024,
    BODY_TIMEOUT_MS = 2000,
};

struct server {
    struct httpd *httpd;
    struct manual_clock clock;
    struct mailbox events;
    atomic_uint offered;
    atomic_bool full;
    atomic_bool healthy;
};

static bool
on_offer(void *ctx, struct envelope *e)
{
    struct server *s = ctx;

    if (atomic_load(&s->full)) {
        return false;
    }
    (void)atomic_fetch_add(&s->offered, 1);
    mailbox_post(&s->events, &e->mail);
    return true;
}

static bool
is_healthy(void *ctx)
{
    struct server *s = ctx;

    return atomic_load(&s->healthy);
}

static void
server_start(struct server *s)
{
    struct httpd_options o = httpd_options_default();

    memset(s, 0, sizeof(*s));
    (void)mailbox_init(&s->events, 4);
    manual_clock_init(&s->clock, (struct moment){USEC_PER_SEC, USEC_PER_SEC});
    o.listen = address_of("127.0.0.1:0");
    o.threads = 2;
    o.connections = 64;
    o.body_max = BODY_MAX;
    o.body_bytes_max = BODIES_MAX;
    o.body_timeout_ms = BODY_TIMEOUT_MS;
    o.clock = &s->clock.base;
    o.offer = on_offer;
    o.healthy = is_healthy;
    o.ctx = s;
    s->httpd = httpd_new(&o);
    CU_ASSERT_PTR_NOT_NULL_FATAL(s->httpd);
}

static void
server_stop(struct server *s)
{
    struct mail *mail;

    httpd_free(s->httpd);
    while ((mail = mailbox_take(&s->events)) != NULL) {
        envelope_free((struct envelope *)mail);
    }
    mailbox_destroy(&s->events);
}

static struct envelope *
next_event(struct server *s)
{
    struct mail *mail = mailbox_take(&s->events);

    for (int i = 0; mail == NULL && i < NET_PATIENCE_MS / 10; i++) {
        mailbox_wait(&s->events, 10 * USEC_PER_MSEC);
        mail = mailbox_take(&s->events);
    }
    CU_ASSERT_PTR_NOT_NULL_FATAL(mail);
    return (struct envelope *)mail;
}

static bool
exchange(struct server *s, const char *request, char out[NET_TEXT_SIZE])
{
    int fd = net_connect(httpd_port(s->httpd));
    bool read = net_send_text(fd, request) && net_read_http(fd, out);

    (void)close(fd);
    return read;
}

#define HOST "Host: x\r\n"
#define KEY "Idempotency-Key: k\r\n"

/* Requests that are wrong before anybody could decide on them.  Each gets its
 * own status, and none becomes an event. */
static void
httpd_refuses_bad_requests(void)
{
    static const struct {
        const char *request;
        const char *status;
        const char *part;
    } cases[] = {
        {"GET /nothing HTTP/1.1\r\n" HOST "\r\n", "404", "not-found"},
        {"PATCH /v1/jobs/k HTTP/1.1\r\n" HOST "\r\n", "405",
         "Allow: GET, DELETE"},
        {"POST /v1/jobs HTTP/1.1\r\n" HOST "Content-Length: 2\r\n\r\n{}",
         "400", "bad-key"},
        {"POST /v1/jobs HTTP/1.1\r\n" HOST "Idempotency-Key: a b\r\n"
         "Content-Length: 2\r\n\r\n{}",
         "400", "bad-key"},
        {"POST /v1/jobs HTTP/1.1\r\n" HOST KEY "Content-Length: 1\r\n\r\n{",
         "400", "not-json"},
        {"POST /v1/jobs HTTP/1.1\r\n" HOST KEY "\r\n", "400", "not-json"},
        {"POST /v1/jobs HTTP/1.1\r\n" HOST KEY "Content-Length: 2\r\n\r\n{}",
         "422", "bad-job"},
        {"POST /v1/jobs HTTP/1.1\r\n" HOST KEY "Content-Length: 1001\r\n\r\n",
         "413", "too-large"},
        {"GET /v1/keys?count=0 HTTP/1.1\r\n" HOST "\r\n", "422", "1 to 1000"},
        {"GET /v1/keys?count=1001 HTTP/1.1\r\n" HOST "\r\n", "422",
         "1 to 1000"},
        {"DELETE /v1/upstreams/u HTTP/1.1\r\n" HOST "\r\n", "422",
         "incarnation=N"},
        {"PUT /v1/upstreams/a%20b HTTP/1.1\r\n" HOST
         "Content-Length: 2\r\n\r\n{}",
         "422", "bad-announcement"},
        {"PUT /v1/upstreams/u HTTP/1.1\r\n" HOST "Content-Length: 2\r\n\r\n{}",
         "422", "is missing"},
        {"GET /v1/jobs/a%20b HTTP/1.1\r\n" HOST "\r\n", "400", "bad-key"},
        {"GET /v1/health HTTP/1.1\r\n" HOST "\r\n", "503", "unavailable"},
    };
    struct server s;
    char text[NET_TEXT_SIZE];

    server_start(&s);
    for (size_t i = 0; i < sizeof(cases) / sizeof(cases[0]); i++) {
        CU_ASSERT(exchange(&s, cases[i].request, text));
        if (strncmp(text + strlen("HTTP/1.1 "), cases[i].status, 3) != 0 ||
            strstr(text, cases[i].part) == NULL) {
            (void)fprintf(stderr, "%s%s\n", cases[i].request, text);
            CU_FAIL("another answer");
        }
    }
    CU_ASSERT_EQUAL(atomic_load(&s.offered), 0);
    server_stop(&s);
}

/* A body without a length goes on and on.  It must be refused where it passes
 * the bound and not be read to its end. */
static void
httpd_refuses_endless_body(void)
{
    struct server s;
    char text[NET_TEXT_SIZE];
    char chunk[512];
    int fd;

    server_start(&s);
    fd = net_connect(httpd_port(s.httpd));
    (void)net_send_text(fd, "POST /v1/jobs HTTP/1.1\r\n" HOST KEY
                            "Transfer-Encoding: chunked\r\n\r\n");
    (void)snprintf(chunk, sizeof(chunk), "190\r\n%0400d\r\n", 0);
    (void)net_send_text(fd, chunk);
    (void)net_send_text(fd, chunk);
    (void)net_send_text(fd, chunk);
    CU_ASSERT(net_read_http(fd, text));
    CU_ASSERT_PTR_NOT_NULL(strstr(text, " 413 "));
    CU_ASSERT_EQUAL(atomic_load(&s.offered), 0);
    (void)close(fd);
    server_stop(&s);
}

/* A client on a bad line sends half a body and then nothing.  It must learn
 * that its request was not taken, and its connection must not be held. */
static void
httpd_refuses_slow_body(void)
{
    struct server s;
    char text[NET_TEXT_SIZE];
    int fd;

    server_start(&s);
    fd = net_connect(httpd_port(s.httpd));
    (void)net_send_text(fd, "POST /v1/jobs HTTP/1.1\r\n" HOST KEY
                            "Expect: 100-continue\r\n"
                            "Content-Length: 20\r\n\r\n");
    CU_ASSERT(net_read_http(fd, text)); /* 100: the headers were taken */
    (void)net_send_text(fd, "{\"service\"");
    manual_clock_advance(&s.clock, BODY_TIMEOUT_MS * USEC_PER_MSEC);
    CU_ASSERT(net_read_http(fd, text));
    CU_ASSERT_PTR_NOT_NULL(strstr(text, " 408 "));
    CU_ASSERT_PTR_NOT_NULL(strstr(text, "slow-body"));
    CU_ASSERT(net_closed(fd));
    CU_ASSERT_EQUAL(atomic_load(&s.offered), 0);
    (void)close(fd);
    server_stop(&s);
}

/* Guards against a limit for each body and none for all of them. */
static void
httpd_bounds_the_sum_of_bodies(void)
{
    enum { CLIENTS = 8, PART = 900 };
    struct server s;
    char text[NET_TEXT_SIZE];
    char part[PART] = {0};
    int fds[CLIENTS];

    server_start(&s);
    for (int i = 0; i < CLIENTS; i++) {
        fds[i] = net_connect(httpd_port(s.httpd));
        (void)net_send_text(fds[i], "POST /v1/jobs HTTP/1.1\r\n" HOST KEY
                                    "Content-Length: 950\r\n\r\n");
        (void)net_send(fds[i], part, sizeof(part));
    }
    CU_ASSERT(net_read_http(fds[0], text));
    CU_ASSERT_PTR_NOT_NULL(strstr(text, " 503 "));
    CU_ASSERT(net_closed(fds[0]));
    CU_ASSERT(exchange(&s, "GET /v1/health HTTP/1.1\r\n" HOST "\r\n", text));
    for (int i = 0; i < CLIENTS; i++) {
        (void)close(fds[i]);
    }
    server_stop(&s);
}

#define SUBMIT                                                                \
    "POST /v1/jobs HTTP/1.1\r\n" HOST KEY "Content-Length: 40\r\n\r\n"        \
    "{\"service\":\"s\",\"tasks\":[{\"payload\":17}]}"

static void
httpd_suspends_until_reply(void)
{
    struct server s;
    char text[NET_TEXT_SIZE];
    struct effect f = {.kind = EF_ANSWER};
    struct envelope *e;
    uint64_t request;
    int fd;

    server_start(&s);
    fd = net_connect(httpd_port(s.httpd));
    (void)net_send_text(fd, SUBMIT);
    e = next_event(&s);
    CU_ASSERT_EQUAL(e->event.kind, EV_SUBMIT);
    CU_ASSERT_STRING_EQUAL(e->event.u.submit.key, "k");
    request = e->event.u.submit.request;
    envelope_free(e);
    f.u.answer.answer = job_answer_new(1);
    f.u.answer.answer->status = JOB_COMPLETE;
    httpd_reply(s.httpd, request, &f);
    CU_ASSERT_PTR_NULL(f.u.answer.answer); /* taken over */
    CU_ASSERT(net_read_http(fd, text));
    CU_ASSERT_PTR_NOT_NULL(strstr(text, "\"status\":\"complete\""));
    f.kind = EF_PROBLEM; /* a second reply to it finds nobody */
    httpd_reply(s.httpd, request, &f);
    (void)net_send_text(fd, SUBMIT); /* the connection is kept */
    e = next_event(&s);
    CU_ASSERT_NOT_EQUAL(e->event.u.submit.request, request);
    f = (struct effect){.kind = EF_ACCEPTED};
    httpd_reply(s.httpd, e->event.u.submit.request, &f);
    envelope_free(e);
    CU_ASSERT(net_read_http(fd, text));
    CU_ASSERT_PTR_NOT_NULL(strstr(text, " 202 "));
    CU_ASSERT_PTR_NOT_NULL(strstr(text, "Location: /v1/jobs/k"));
    (void)close(fd);
    server_stop(&s);
}

/* More requests arrive than the reducer can take.  The excess must be refused
 * at once with a time to come back, and not pile up. */
static void
httpd_refuses_when_inbox_is_full(void)
{
    struct server s;
    char text[NET_TEXT_SIZE];

    server_start(&s);
    atomic_store(&s.full, true);
    CU_ASSERT(exchange(&s, SUBMIT, text));
    CU_ASSERT_PTR_NOT_NULL(strstr(text, " 503 "));
    CU_ASSERT_PTR_NOT_NULL(strstr(text, "Retry-After: 1"));
    CU_ASSERT_PTR_NOT_NULL(strstr(text, "none_by_this_request"));
    server_stop(&s);
}

static bool
sent_event(void *ctx)
{
    struct server *s = ctx;

    return atomic_load(&s->offered) > 0;
}

/* An operator stops an instance while a caller waits for an answer.  The
 * caller must still get it, whole, before the connection closes. */
static void
httpd_drains_without_cutting(void)
{
    struct server s;
    char text[NET_TEXT_SIZE];
    struct effect f = {.kind = EF_ANSWER};
    struct envelope *e;
    int fd;

    server_start(&s);
    fd = net_connect(httpd_port(s.httpd));
    (void)net_send_text(fd, SUBMIT);
    CU_ASSERT(net_await(sent_event, &s));
    httpd_stopping(s.httpd);
    CU_ASSERT_FALSE(httpd_drain(s.httpd, 1)); /* one is in progress */
    e = next_event(&s);
    f.u.answer.answer = job_answer_new(1);
    httpd_reply(s.httpd, e->event.u.submit.request, &f);
    envelope_free(e);
    CU_ASSERT(net_read_http(fd, text));
    CU_ASSERT_PTR_NOT_NULL(strstr(text, "\"state\":\"not_run\""));
    CU_ASSERT_PTR_NOT_NULL(strstr(text, "Connection: close"));
    CU_ASSERT(net_closed(fd));
    (void)close(fd);
    server_stop(&s);
}

/* A server that the test runs, as a broker's loop does. */
struct external {
    struct httpapi *api;
    unsigned int handled;
};

static enum httpapi_handled
on_external(void *ctx, const struct httpapi_request *request)
{
    struct external *e = ctx;
    struct httpapi_response response = {.status = 200};

    e->handled++;
    httpapi_reply(e->api, request->number, &response);
    return HTTPAPI_TAKEN;
}

static void
on_external_gone(void *ctx, uint64_t number)
{
    (void)ctx;
    (void)number;
}

static bool
is_handled(void *ctx)
{
    struct external *e = ctx;

    httpapi_run(e->api);
    return e->handled > 0;
}

static int
send_request(const struct external *e)
{
    int fd = net_connect(httpapi_port(e->api));

    CU_ASSERT_TRUE(net_send_text(fd, "POST /q/1 HTTP/1.1\r\nHost: a\r\n"
                                     "Content-Length: 2\r\n\r\n{}"));
    return fd;
}

/* A request that is read after its client gave it up would be carried out
 * beside the one that the client sent since. */
static void
request_of_a_client_that_left_is_not_handed_over(void)
{
    struct external e = {0};
    const struct httpapi_options o = {.listen = "127.0.0.1:0",
                                      .connections = 8,
                                      .idle_timeout_s = 15,
                                      .body_max = BODY_MAX,
                                      .body_bytes_max = (size_t)2 * BODY_MAX,
                                      .external = true,
                                      .handle = on_external,
                                      .gone = on_external_gone,
                                      .ctx = &e};
    int fd;

    e.api = httpapi_new(&o);
    CU_ASSERT_PTR_NOT_NULL_FATAL(e.api);
    (void)close(send_request(&e));
    for (int i = 0; i < 20; i++) {
        httpapi_run(e.api);
    }
    CU_ASSERT_EQUAL(e.handled, 0);
    fd = send_request(&e);
    CU_ASSERT_TRUE(net_await(is_handled, &e));
    CU_ASSERT_EQUAL(e.handled, 1);
    (void)close(fd);
    httpapi_free(e.api);
}

void
suite_httpd(void)
{
    check_add("httpd", "httpd_refuses_bad_requests",
              httpd_refuses_bad_requests);
    check_add("httpd", "httpd_refuses_endless_body",
              httpd_refuses_endless_body);
    check_add("httpd", "httpd_refuses_slow_body", httpd_refuses_slow_body);
    check_add("httpd", "httpd_bounds_the_sum_of_bodies",
              httpd_bounds_the_sum_of_bodies);
    check_add("httpd", "httpd_suspends_until_reply",
              httpd_suspends_until_reply);
    check_add("httpd", "httpd_refuses_when_inbox_is_full",
              httpd_refuses_when_inbox_is_full);
    check_add("httpd", "httpd_drains_without_cutting",
              httpd_drains_without_cutting);
    check_add("httpd", "request_of_a_client_that_left_is_not_handed_over",
              request_of_a_client_that_left_is_not_handed_over);
}
