/* Calls to upstreams: which of them count as lost. */
#include "leaseclient.h"

#include <poll.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <sys/socket.h>
#include <unistd.h>

#include "check.h"
#include "net.h"

#define MSEC USEC_PER_MSEC
#define TIMEOUT_US (20 * MSEC)
#define CLOCK_MS 4711

struct fixture {
    struct leaseclient *client;
    struct manual_clock clock;
    int listener;
    uint16_t port;
    int fd; /* of the upstream; -1 for no connection */
    int port_keeper[2];
    unsigned int outcomes;
    enum lease_result result;
    int64_t clock_ms;
};

static void
encode(const struct lease_request *r, struct lease_http_request *out)
{
    (void)r;
    (void)snprintf(out->path, sizeof(out->path), "/call");
    out->body = strdup("{}");
}

/* The HTTP status for a result: 200 for LEASE_OK, above 500 for refusals. */
static long
status_of(enum lease_result r)
{
    return r == LEASE_OK ? 200 : 500 + (long)r;
}

static enum lease_result
result_of(long status)
{
    enum lease_result r = LEASE_OK;

    while (r != LEASE_NO_ANSWER && status_of(r) != status) {
        r++;
    }
    return r;
}

static void
decode(const struct lease_request *r, long status, const char *body,
       size_t size, struct lease_answer *out)
{
    (void)r;
    (void)body;
    (void)size;
    out->result = result_of(status);
    out->clock_ms = CLOCK_MS;
}

static void
done(void *ctx, uint64_t call, struct lease_answer *answer)
{
    struct fixture *o = ctx;

    (void)call;
    o->outcomes++;
    o->result = answer->result;
    o->clock_ms = answer->clock_ms;
}

static void
send_call(struct fixture *o, enum lease_call kind)
{
    struct be_call call = {.call = 1};

    o->outcomes = 0;
    call.request.kind = kind;
    call.request.timeout_us = TIMEOUT_US;
    (void)snprintf(call.request.address.s, sizeof(call.request.address.s),
                   "127.0.0.1:%u", o->port);
    leaseclient_send(o->client, &call);
}

static void
begin(struct fixture *o)
{
    static const struct lease_codec codec = {encode, decode};
    struct leaseclient_options opts = leaseclient_options_default();

    memset(o, 0, sizeof(*o));
    o->fd = -1;
    o->port_keeper[0] = -1;
    o->port_keeper[1] = -1;
    manual_clock_init(&o->clock, (struct moment){USEC_PER_SEC, USEC_PER_SEC});
    opts.codec = &codec;
    opts.clock = &o->clock.base;
    opts.on_outcome = done;
    opts.ctx = o;
    o->client = leaseclient_new(&opts);
    CU_ASSERT_PTR_NOT_NULL_FATAL(o->client);
    o->listener = net_listen(&o->port);
    send_call(o, LEASE_START);
}

static bool
has_request(void *ctx)
{
    struct fixture *o = ctx;
    struct pollfd dialed = {.fd = o->listener, .events = POLLIN};
    char byte;

    leaseclient_run(o->client, true);
    if (o->fd < 0 && poll(&dialed, 1, 0) == 1) {
        o->fd = net_accept(o->listener);
    }
    return o->fd >= 0 && recv(o->fd, &byte, 1, MSG_PEEK | MSG_DONTWAIT) == 1;
}

static bool
has_outcome(void *ctx)
{
    struct fixture *o = ctx;

    leaseclient_run(o->client, true);
    return o->outcomes > 0;
}

/* Waits until the request reaches the upstream, and reads it. */
static void
take_request(struct fixture *o)
{
    char text[NET_TEXT_SIZE];

    CU_ASSERT_FATAL(net_await(has_request, o));
    CU_ASSERT(net_read_http(o->fd, text));
}

static void
answer_call(struct fixture *o, enum lease_result r)
{
    char text[NET_TEXT_SIZE];

    (void)snprintf(text, sizeof(text),
                   "HTTP/1.1 %ld X\r\nContent-Length: 2\r\n\r\n{}",
                   status_of(r));
    CU_ASSERT(net_send_text(o->fd, text));
    CU_ASSERT_FATAL(net_await(has_outcome, o));
    CU_ASSERT_EQUAL(o->outcomes, 1);
}

enum broken { BROKEN_CLOSED, BROKEN_RESET, BROKEN_WAYS };

static void
break_connection(struct fixture *o, enum broken how)
{
    struct linger reset = {.l_onoff = 1};

    if (how == BROKEN_RESET) {
        (void)setsockopt(o->fd, SOL_SOCKET, SO_LINGER, &reset, sizeof(reset));
    }
    (void)close(o->fd);
    o->fd = -1;
}

/* A connection occupies the port, so that no other process can listen there.
 */
static void
stop_listening(struct fixture *o)
{
    o->port_keeper[0] = net_connect(o->port);
    o->port_keeper[1] = net_accept(o->listener);
    (void)close(o->listener);
    o->listener = -1;
}

/* A second call reaches the upstream on the connection of a first one. */
static void
begin_on_kept_connection(struct fixture *o, enum lease_call kind)
{
    begin(o);
    take_request(o);
    answer_call(o, LEASE_OK);
    CU_ASSERT_EQUAL(o->result, LEASE_OK);
    send_call(o, kind);
    take_request(o);
}

static void
finish(struct fixture *o)
{
    (void)close(o->fd);
    (void)close(o->listener);
    (void)close(o->port_keeper[0]);
    (void)close(o->port_keeper[1]);
    leaseclient_free(o->client);
}

/* Guards against treating an answer as lost that an overloaded broker reads
 * long after its arrival: a successful start would be stopped and placed
 * again, which adds to the load. */
static void
answer_read_late_is_accepted(void)
{
    struct fixture o;

    begin(&o);
    take_request(&o);
    CU_ASSERT(
        net_send_text(o.fd, "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\n{}"));
    manual_clock_advance(&o.clock, 100 * TIMEOUT_US);
    clock_sleep(2 * TIMEOUT_US); /* late by the machine's clock, too */
    CU_ASSERT(net_await(has_outcome, &o));
    CU_ASSERT_EQUAL(o.result, LEASE_OK);
    CU_ASSERT_EQUAL(o.outcomes, 1);
    finish(&o);
}

/* Guards against treating an upstream as unreachable because an overloaded
 * broker dials it long after the call was made: healthy upstreams would be
 * quarantined one after another. */
static void
timeout_restarts_at_a_late_dial(void)
{
    struct fixture o;

    begin(&o);
    manual_clock_advance(&o.clock, 100 * TIMEOUT_US);
    take_request(&o);
    CU_ASSERT_EQUAL(o.outcomes, 0);
    CU_ASSERT(
        net_send_text(o.fd, "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\n{}"));
    CU_ASSERT(net_await(has_outcome, &o));
    CU_ASSERT_EQUAL(o.result, LEASE_OK);
    finish(&o);
}

/* Guards against a wakeup for the timeout of each ended call: at hundreds of
 * calls a second, these would use up a small machine. */
static void
ended_calls_cause_no_wakeup(void)
{
    struct fixture o;

    begin(&o);
    take_request(&o);
    CU_ASSERT_TRUE(leaseclient_next_ms(o.client) >= 0);
    CU_ASSERT(
        net_send_text(o.fd, "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\n{}"));
    CU_ASSERT(net_await(has_outcome, &o));
    manual_clock_advance(&o.clock, TIMEOUT_US / 2);
    leaseclient_run(o.client, true);
    CU_ASSERT_EQUAL(leaseclient_next_ms(o.client), -1);
    finish(&o);
}

/* An upstream reads the request and does not answer. */
static void
no_answer_is_lost_after_timeout(void)
{
    struct fixture o;

    begin(&o);
    take_request(&o);
    leaseclient_run(o.client, true);
    CU_ASSERT_EQUAL(o.outcomes, 0);
    manual_clock_advance(&o.clock, TIMEOUT_US);
    leaseclient_run(o.client, true);
    CU_ASSERT_EQUAL(o.outcomes, 1);
    CU_ASSERT_EQUAL(o.result, LEASE_NO_ANSWER);
    finish(&o);
}

static void
check_second_attempt(enum lease_call kind, enum broken how,
                     enum lease_result answered, enum lease_result expected)
{
    struct fixture o;

    begin_on_kept_connection(&o, kind);
    break_connection(&o, how);
    take_request(&o);
    answer_call(&o, answered);
    CU_ASSERT_EQUAL(o.result, expected);
    CU_ASSERT_EQUAL(o.clock_ms, expected == LEASE_NO_ANSWER ? 0 : CLOCK_MS);
    finish(&o);
}

/* Guards against two runs of a task: the first attempt of a start was carried
 * out, and a refusal of the second attempt would place the task again. */
static void
refusal_of_second_start_attempt_is_lost(void)
{
    for (int r = LEASE_FENCED; r <= LEASE_BAD_REQUEST; r++) {
        for (int how = 0; how < BROKEN_WAYS; how++) {
            check_second_attempt(LEASE_START, how, r, LEASE_NO_ANSWER);
        }
    }
}

/* Guards against stopping a successful start whenever a connection breaks, by
 * treating it as lost. */
static void
second_start_attempt_may_succeed(void)
{
    for (int how = 0; how < BROKEN_WAYS; how++) {
        check_second_attempt(LEASE_START, how, LEASE_OK, LEASE_OK);
    }
}

/* Guards against a broker that ignores a refusal by fence, and keeps using an
 * upstream that another broker holds. */
static void
refusal_of_second_poll_or_stop_attempt_is_accepted(void)
{
    for (int r = LEASE_FENCED; r <= LEASE_BAD_REQUEST; r++) {
        check_second_attempt(LEASE_POLL, BROKEN_RESET, r, r);
        check_second_attempt(LEASE_STOP, BROKEN_RESET, r, r);
    }
}

/* Guards against treating a refused start as lost: its task would wait for a
 * stop and a poll before it is placed again. */
static void
refusal_of_only_attempt_is_accepted(void)
{
    for (int r = LEASE_FENCED; r <= LEASE_BAD_REQUEST; r++) {
        struct fixture o;

        begin_on_kept_connection(&o, LEASE_START);
        answer_call(&o, r);
        CU_ASSERT_EQUAL(o.result, r);
        finish(&o);
    }
}

/* Guards against two runs of a task: the first attempt of a start was carried
 * out, and the lack of a connection for the second would place the task again.
 */
static void
failed_connect_after_attempt_is_lost(void)
{
    for (int how = 0; how < BROKEN_WAYS; how++) {
        struct fixture o;

        begin_on_kept_connection(&o, LEASE_START);
        stop_listening(&o);
        break_connection(&o, how);
        CU_ASSERT(net_await(has_outcome, &o));
        CU_ASSERT_EQUAL(o.result, LEASE_NO_ANSWER);
        CU_ASSERT_EQUAL(o.outcomes, 1);
        finish(&o);
    }
}

/* Guards against treating a start that was never sent as lost: its task would
 * wait for the lease of an unreachable upstream to expire. */
static void
failed_connect_without_attempt_is_unsent(void)
{
    struct fixture o;

    begin(&o);
    stop_listening(&o);
    CU_ASSERT(net_await(has_outcome, &o));
    CU_ASSERT_EQUAL(o.result, LEASE_NOT_SENT);
    CU_ASSERT_EQUAL(o.outcomes, 1);
    finish(&o);
}

void
suite_leaseclient(void)
{
    check_add("leaseclient", "answer_read_late_is_accepted",
              answer_read_late_is_accepted);
    check_add("leaseclient", "timeout_restarts_at_a_late_dial",
              timeout_restarts_at_a_late_dial);
    check_add("leaseclient", "ended_calls_cause_no_wakeup",
              ended_calls_cause_no_wakeup);
    check_add("leaseclient", "no_answer_is_lost_after_timeout",
              no_answer_is_lost_after_timeout);
    check_add("leaseclient", "refusal_of_second_start_attempt_is_lost",
              refusal_of_second_start_attempt_is_lost);
    check_add("leaseclient", "second_start_attempt_may_succeed",
              second_start_attempt_may_succeed);
    check_add("leaseclient",
              "refusal_of_second_poll_or_stop_attempt_is_accepted",
              refusal_of_second_poll_or_stop_attempt_is_accepted);
    check_add("leaseclient", "refusal_of_only_attempt_is_accepted",
              refusal_of_only_attempt_is_accepted);
    check_add("leaseclient", "failed_connect_after_attempt_is_lost",
              failed_connect_after_attempt_is_lost);
    check_add("leaseclient", "failed_connect_without_attempt_is_unsent",
              failed_connect_without_attempt_is_unsent);
}
