/* A broker with its threads and sockets: answers to callers while a
 * configuration is being fetched. */
#include <stdio.h>
#include <string.h>
#include <sys/socket.h>
#include <unistd.h>

#include "broker_runtime.h"
#include "check.h"
#include "net.h"
#include "peer.h"
#include "platform_caller.h"
#include "platform_worker.h"
#include "queueconf_wire.h"

enum { REQUEST_ROOM = 128, PORT_ROOM = 32, CONNECTIONS = 16 };

static const struct name broker_name = {"broker"};
static const struct name registry_name = {"registry"};

/* A registry that sends versions and texts of configurations when the test
 * calls for them. */
struct registry_side {
    struct peer *peer;
    struct broker_runtime *broker;
    uint16_t callers_port;
    const char *path; /* that await_status() asks for */
    const char *status;
    char answer[NET_TEXT_SIZE];
};

static void
ignore_message(void *ctx, struct name from, struct msg *m)
{
    (void)ctx;
    (void)from;
    msg_free(m);
}

static void
ignore_peer(void *ctx, struct name remote, bool up)
{
    (void)ctx;
    (void)remote;
    (void)up;
}

static struct address
loopback(uint16_t port)
{
    struct address a;

    (void)snprintf(a.s, sizeof(a.s), "127.0.0.1:%u", (unsigned int)port);
    return a;
}

static uint16_t
free_port(void)
{
    uint16_t port = 0;

    (void)close(net_listen(&port));
    return port;
}

static void
start(struct registry_side *r, const struct clock *clock)
{
    struct peer_options peers = peer_options_default();
    struct peer_remote remote = {.name = registry_name};
    struct rec_instance registry = {.name = registry_name};
    struct broker_runtime_options o = {
        .broker = broker_options_default(),
        .peers = peer_options_default(),
        .upstreams = leaseclient_options_default(),
        .codec = platform_caller_codec(),
        .connections_max = CONNECTIONS,
        .idle_timeout_s = CONNECTIONS,
        .body_max = NET_TEXT_SIZE,
        .body_bytes_max = (size_t)2 * NET_TEXT_SIZE,
        .clock = clock,
    };

    peers.self = registry_name;
    peers.listen = loopback(0);
    peers.open = true;
    peers.clock = clock_real();
    peers.on_message = ignore_message;
    peers.on_peer = ignore_peer;
    r->peer = peer_new(&peers);
    CU_ASSERT_PTR_NOT_NULL_FATAL(r->peer);
    r->callers_port = free_port();
    remote.address = loopback(peer_port(r->peer));
    registry.address = remote.address;
    o.listen_callers = loopback(r->callers_port);
    o.broker.self = broker_name;
    o.broker.zone = name_of("zone");
    o.broker.registries = &registry;
    o.broker.n_registries = 1;
    o.broker.read_config = queueconf_decode;
    o.peers.self = broker_name;
    o.peers.remotes = &remote;
    o.peers.n_remotes = 1;
    o.upstreams.codec = platform_worker_codec();
    r->broker = broker_runtime_new(&o);
    CU_ASSERT_PTR_NOT_NULL_FATAL(r->broker);
}

static void
send_version(struct registry_side *r, uint64_t version)
{
    struct msg m = {.kind = MSG_CONFIG_REPLY};

    m.u.config_reply.version = version;
    peer_send(r->peer, broker_name, &m);
}

/* Sends a configuration of one queue, at /@prefix/. */
static void
send_text(struct registry_side *r, uint64_t version, const char *prefix)
{
    struct queue_conf queue = {.name = name_of("queue"),
                               .service = name_of("service")};
    struct queueconf c = {.rank = version, .queues = &queue, .n_queues = 1};
    struct msg m = {.kind = MSG_CONFIG_REPLY};

    (void)snprintf(queue.host, sizeof(queue.host), "host");
    (void)snprintf(queue.prefix, sizeof(queue.prefix), "/%s/", prefix);
    m.u.config_reply.version = version;
    m.u.config_reply.config = queueconf_encode(&c);
    peer_send(r->peer, broker_name, &m);
}

static bool
has_status(void *ctx)
{
    struct registry_side *r = ctx;
    char request[REQUEST_ROOM];
    int fd = net_connect(r->callers_port);
    bool read;

    (void)snprintf(request, sizeof(request),
                   "GET /%s/ HTTP/1.1\r\nHost: host\r\n\r\n", r->path);
    read = net_send_text(fd, request) && net_read_http(fd, r->answer);
    (void)close(fd);
    return read && strncmp(r->answer, "HTTP/1.1 ", 9) == 0 &&
           strncmp(r->answer + 9, r->status, 3) == 0;
}

static bool
await_status(struct registry_side *r, const char *path, const char *status)
{
    r->path = path;
    r->status = status;
    return net_await(has_status, r);
}

static bool
sends_first_text(void *ctx)
{
    struct registry_side *r = ctx;

    send_text(r, 1, "one"); /* repeated until there is a connection */
    r->path = "one";
    r->status = "200";
    return has_status(r);
}

/* Guards against answering 404 for a queue of a newer configuration whose text
 * has not reached the broker yet. */
static void
unknown_queue_gets_503_while_newer_config_is_fetched(void)
{
    struct registry_side r = {0};

    start(&r, clock_real());
    CU_ASSERT_TRUE(await_status(&r, "two", "503")); /* no configuration yet */
    CU_ASSERT_TRUE(net_await(sends_first_text, &r));
    CU_ASSERT_TRUE(await_status(&r, "two", "404"));
    send_version(&r, 2);
    CU_ASSERT_TRUE(await_status(&r, "two", "503"));
    CU_ASSERT_PTR_NOT_NULL(strstr(r.answer, "Retry-After"));
    CU_ASSERT_TRUE(await_status(&r, "one", "200"));
    send_text(&r, 2, "two");
    CU_ASSERT_TRUE(await_status(&r, "two", "200"));
    CU_ASSERT_TRUE(await_status(&r, "one", "404"));
    broker_runtime_free(r.broker);
    peer_free(r.peer);
}

static int
send_request(const struct registry_side *r, const char *path)
{
    char request[REQUEST_ROOM];
    int fd = net_connect(r->callers_port);

    (void)snprintf(request, sizeof(request),
                   "GET /%s/ HTTP/1.1\r\nHost: host\r\n\r\n", path);
    CU_ASSERT_TRUE(net_send_text(fd, request));
    return fd;
}

struct pending_request {
    struct registry_side *side;
    struct manual_clock clock;
    int fd;
};

static bool
is_answered(const struct pending_request *a)
{
    char byte;

    return recv(a->fd, &byte, 1, MSG_PEEK | MSG_DONTWAIT) == 1;
}

static bool
is_answered_after_text(void *ctx)
{
    struct pending_request *a = ctx;

    send_text(a->side, 1, "one"); /* repeated until there is a connection */
    return is_answered(a);
}

/* Advances the clock in steps too short to count as a pause of the process. */
static bool
is_answered_in_time(void *ctx)
{
    struct pending_request *a = ctx;

    manual_clock_advance(&a->clock, USEC_PER_MSEC);
    return is_answered(a);
}

static void
expect_answer(struct registry_side *r, int fd, const char *status)
{
    CU_ASSERT_TRUE(net_read_http(fd, r->answer));
    CU_ASSERT_EQUAL(strncmp(r->answer + 9, status, 3), 0);
    (void)close(fd);
}

/* Guards against answering 503 to all callers that connect between a broker's
 * start and its first configuration, as after a power loss. */
static void
callers_wait_for_first_configuration_after_start(void)
{
    struct registry_side r = {0};
    struct pending_request a = {.side = &r};

    manual_clock_init(&a.clock, (struct moment){USEC_PER_SEC, USEC_PER_SEC});
    start(&r, &a.clock.base);
    a.fd = send_request(&r, "one");
    CU_ASSERT_TRUE(net_await(is_answered_after_text, &a));
    expect_answer(&r, a.fd, "200");
    broker_runtime_free(r.broker);
    peer_free(r.peer);
}

/* Guards against callers that wait without limit for a configuration that does
 * not arrive, as at a broker without connections. */
static void
callers_get_503_when_no_configuration_arrives(void)
{
    struct registry_side r = {0};
    struct pending_request a = {.side = &r};

    manual_clock_init(&a.clock, (struct moment){USEC_PER_SEC, USEC_PER_SEC});
    start(&r, &a.clock.base);
    a.fd = send_request(&r, "one");
    CU_ASSERT_TRUE(net_await(is_answered_in_time, &a));
    expect_answer(&r, a.fd, "503");
    expect_answer(&r, send_request(&r, "one"), "503");
    broker_runtime_free(r.broker);
    peer_free(r.peer);
}

void
suite_broker_runtime(void)
{
#define TEST(name) check_add("broker_runtime", #name, name)
    TEST(unknown_queue_gets_503_while_newer_config_is_fetched);
    TEST(callers_wait_for_first_configuration_after_start);
    TEST(callers_get_503_when_no_configuration_arrives);
#undef TEST
}
