/* HTTP server of control: requests that are pending at the reducer. */
#include "control_http.h"

#include <string.h>
#include <unistd.h>

#include "check.h"
#include "net.h"

enum { BODIES_MAX = 1 << 20 };

struct server {
    struct control_http *http;
    atomic_uint offered;
    atomic_bool full;
    struct control_mail *mail;
};

static bool
on_offer(void *ctx, struct control_mail *m)
{
    struct server *s = ctx;

    if (atomic_load(&s->full)) {
        return false;
    }
    s->mail = m;
    (void)atomic_fetch_add(&s->offered, 1);
    return true;
}

static void
on_gone(void *ctx, uint64_t request)
{
    (void)ctx;
    (void)request;
}

static bool
is_healthy(void *ctx)
{
    (void)ctx;
    return true;
}

static bool
was_offered(void *ctx)
{
    struct server *s = ctx;

    return atomic_load(&s->offered) > 0;
}

static void
server_start(struct server *s)
{
    const struct control_http_options o = {
        .listen = address_of("127.0.0.1:0"),
        .threads = 1,
        .connections = 8,
        .body_bytes_max = BODIES_MAX,
        .idle_timeout_s = 30,
        .clock = clock_real(),
        .offer = on_offer,
        .on_client_gone = on_gone,
        .healthy = is_healthy,
        .ctx = s,
    };

    memset(s, 0, sizeof(*s));
    s->http = control_http_new(&o);
    CU_ASSERT_PTR_NOT_NULL_FATAL(s->http);
}

static const char status_request[] =
    "GET /v1/status HTTP/1.1\r\nHost: x\r\n\r\n";

/* The server is stopped while a request is pending and the reducer has ended.
 * Without an answer the client would wait for its own timeout, and the process
 * would crash on the open request. */
static void
pending_requests_are_answered_at_shutdown(void)
{
    struct server s;
    char out[NET_TEXT_SIZE];
    int fd;

    server_start(&s);
    fd = net_connect(control_http_port(s.http));
    CU_ASSERT(net_send_text(fd, status_request));
    CU_ASSERT_FATAL(net_await(was_offered, &s));
    control_http_free(s.http);
    CU_ASSERT(net_read_http(fd, out));
    CU_ASSERT(strstr(out, " 503 ") != NULL);
    CU_ASSERT(strstr(out, "outcome-unknown") != NULL);
    control_mail_free(s.mail);
    (void)close(fd);
}

/* A request while the reducer's inbox is full is answered with 503. */
static void
full_inbox_is_answered_with_503(void)
{
    struct server s;
    char out[NET_TEXT_SIZE];
    int fd;

    server_start(&s);
    atomic_store(&s.full, true);
    fd = net_connect(control_http_port(s.http));
    CU_ASSERT(net_send_text(fd, status_request) && net_read_http(fd, out));
    CU_ASSERT(strstr(out, " 503 ") != NULL);
    CU_ASSERT(strstr(out, "no-leader") != NULL);
    (void)close(fd);
    control_http_free(s.http);
}

/* Guards against bodies that are kept until they end, however many. */
static void
sum_of_unfinished_bodies_is_bounded(void)
{
    enum { CLIENTS = 4, PART = BODIES_MAX / 2 };
    static const char part[PART];
    struct server s;
    char out[NET_TEXT_SIZE];
    int fds[CLIENTS];

    server_start(&s);
    for (int i = 0; i < CLIENTS; i++) {
        fds[i] = net_connect(control_http_port(s.http));
        CU_ASSERT(net_send_text(fds[i], "POST /v1/config HTTP/1.1\r\n"
                                        "Host: x\r\n"
                                        "Content-Length: 600000\r\n\r\n"));
        (void)net_send(fds[i], part, sizeof(part));
    }
    CU_ASSERT(net_read_http(fds[0], out));
    CU_ASSERT(strstr(out, " 503 ") != NULL);
    CU_ASSERT(net_closed(fds[0]));
    for (int i = 0; i < CLIENTS; i++) {
        (void)close(fds[i]);
    }
    control_http_free(s.http);
}

#define ADD(test) check_add("control_http", #test, test)

void
suite_control_http(void)
{
    ADD(pending_requests_are_answered_at_shutdown);
    ADD(full_inbox_is_answered_with_503);
    ADD(sum_of_unfinished_bodies_is_bounded);
}
