/* The threads around the reducer, whole, with a stand-in for an upstream. */
#include "runtime.h"

#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <sys/socket.h>
#include <unistd.h>

#include "check.h"
#include "net.h"

enum { CONNECTIONS_MAX = 16 };

/* An upstream whose tasks end when the test opens the gate. */
struct upstream_standin {
    int listener;
    uint16_t port;
    pthread_t thread;
    pthread_mutex_t lock;
    pthread_cond_t opened;
    bool open;
    atomic_uint starts;
};

struct link {
    struct upstream_standin *u;
    int fd;
};

static void
wait_at_gate(struct upstream_standin *u)
{
    (void)pthread_mutex_lock(&u->lock);
    while (!u->open) {
        (void)pthread_cond_wait(&u->opened, &u->lock);
    }
    (void)pthread_mutex_unlock(&u->lock);
}

static void
open_gate(struct upstream_standin *u)
{
    (void)pthread_mutex_lock(&u->lock);
    u->open = true;
    (void)pthread_cond_broadcast(&u->opened);
    (void)pthread_mutex_unlock(&u->lock);
}

static void
answer(struct link *l, const char *request)
{
    unsigned long long epoch = 0;
    const char *at = strstr(request, "\"epoch\":");
    char body[64];
    char text[256];

    if (strncmp(request, "PUT /v1/lease ", 14) == 0 && at != NULL) {
        epoch = strtoull(at + strlen("\"epoch\":"), NULL, 10);
        (void)snprintf(body, sizeof(body), "{\"epoch\":%llu,\"running\":0}",
                       epoch);
    }
    else {
        (void)atomic_fetch_add(&l->u->starts, 1);
        wait_at_gate(l->u);
        (void)snprintf(body, sizeof(body), "\"from the upstream\"");
    }
    (void)snprintf(text, sizeof(text),
                   "HTTP/1.1 200 OK\r\nContent-Length: %zu\r\n\r\n%s",
                   strlen(body), body);
    (void)net_send_text(l->fd, text);
}

static void *
link_run(void *arg)
{
    struct link *l = arg;
    char request[NET_TEXT_SIZE];

    while (net_read_http(l->fd, request)) {
        answer(l, request);
    }
    (void)close(l->fd);
    free(l);
    return NULL;
}

static void *
upstream_run(void *arg)
{
    struct upstream_standin *u = arg;
    pthread_t threads[CONNECTIONS_MAX];
    unsigned int n = 0;
    int fd;

    while (n < CONNECTIONS_MAX &&
           (fd = accept(u->listener, NULL, NULL)) >= 0) {
        struct link *l = malloc(sizeof(*l));

        *l = (struct link){u, fd};
        (void)pthread_create(&threads[n++], NULL, link_run, l);
    }
    for (unsigned int i = 0; i < n; i++) {
        (void)pthread_join(threads[i], NULL);
    }
    return NULL;
}

static void
upstream_start(struct upstream_standin *u)
{
    memset(u, 0, sizeof(*u));
    (void)pthread_mutex_init(&u->lock, NULL);
    (void)pthread_cond_init(&u->opened, NULL);
    u->listener = net_listen(&u->port);
    (void)pthread_create(&u->thread, NULL, upstream_run, u);
}

static void
upstream_stop(struct upstream_standin *u)
{
    (void)shutdown(u->listener, SHUT_RDWR);
    (void)pthread_join(u->thread, NULL);
    (void)close(u->listener);
}

static struct config *
camp_config(void)
{
    struct service_conf service = {
        .name = name_of("camp"),
        .team = name_of("t"),
        .need = {100, 16, 0},
        .run_us = 1000,
        .deadline_us = 60 * USEC_PER_SEC,
        .deadline_max_us = 60 * USEC_PER_SEC,
        .max_tasks = JOB_TASKS_MAX,
        .max_queued = 1000,
    };
    struct team_conf team = {.name = name_of("t"), .weight = 1};
    struct config lent = {.version = 1,
                          .services = &service,
                          .n_services = 1,
                          .teams = &team,
                          .n_teams = 1};

    return config_copy(&lent);
}

static struct runtime *
start_runtime(void)
{
    struct runtime_options o = {
        .entry = entry_options_default(),
        .http = httpd_options_default(),
        .peers = peer_options_default(),
        .upstreams = upclient_options_default(),
        .clock = clock_real(),
        .inbox = 1024,
    };
    struct entry_peer self = {name_of("e1"), name_of("z")};
    struct runtime *r;

    o.entry.self = self.name;
    o.entry.incarnation = 1;
    o.entry.peers = &self;
    o.entry.n_peers = 1;
    o.entry.new_region = true;
    o.http.listen = address_of("127.0.0.1:0");
    o.http.connections = 64;
    o.peers.self = self.name;
    o.peers.listen = address_of("127.0.0.1:0");
    o.upstreams.self = self.name;
    r = runtime_new(&o);
    CU_ASSERT_PTR_NOT_NULL_FATAL(r);
    runtime_configure(r, camp_config());
    return r;
}

static bool
exchange(struct runtime *r, const char *request, char out[NET_TEXT_SIZE])
{
    int fd = net_connect(runtime_http_port(r));
    bool read = net_send_text(fd, request) && net_read_http(fd, out);

    (void)close(fd);
    return read;
}

static void
announce(struct runtime *r, uint16_t port)
{
    char body[256];
    char request[512];
    char text[NET_TEXT_SIZE];

    (void)snprintf(body, sizeof(body),
                   "{\"incarnation\":5,\"address\":\"http://127.0.0.1:%u\","
                   "\"zone\":\"z\",\"service\":\"camp\",\"slots\":4,"
                   "\"connections\":8,\"cpus\":4,\"memory_mb\":1000}",
                   port);
    (void)snprintf(request, sizeof(request),
                   "PUT /v1/upstreams/u1 HTTP/1.1\r\nHost: x\r\n"
                   "Content-Length: %zu\r\n\r\n%s",
                   strlen(body), body);
    CU_ASSERT(exchange(r, request, text));
    CU_ASSERT_PTR_NOT_NULL(strstr(text, "renew_ms"));
}

static const char submit[] =
    "POST /v1/jobs HTTP/1.1\r\nHost: x\r\nIdempotency-Key: k1\r\n"
    "Content-Length: 56\r\n\r\n"
    "{\"service\":\"camp\",\"tasks\":[{\"payload\":1},{\"payload\":2}]}";

static const char health[] = "GET /v1/health HTTP/1.1\r\nHost: x\r\n\r\n";

static bool
both_started(void *ctx)
{
    return atomic_load(&((struct upstream_standin *)ctx)->starts) == 2;
}

static bool
has_stopped(void *ctx)
{
    return runtime_stopped(ctx);
}

/* An operator stops an instance while tasks of a job run and its caller waits.
 * The balancer must see it leave first, the caller must get the whole answer,
 * and no task may be started again elsewhere because of it. */
static void
planned_stop_cuts_off_nothing(void)
{
    struct upstream_standin u;
    struct runtime *r = start_runtime();
    char text[NET_TEXT_SIZE];
    int fd;

    upstream_start(&u);
    announce(r, u.port);
    CU_ASSERT(exchange(r, health, text));
    CU_ASSERT_PTR_NOT_NULL(strstr(text, " 200 "));
    fd = net_connect(runtime_http_port(r));
    (void)net_send_text(fd, submit);
    CU_ASSERT(net_await(both_started, &u));
    runtime_stop(r);
    CU_ASSERT(exchange(r, health, text));
    CU_ASSERT_PTR_NOT_NULL(strstr(text, " 503 "));
    CU_ASSERT_FALSE(runtime_stopped(r));
    open_gate(&u);
    CU_ASSERT(net_read_http(fd, text));
    CU_ASSERT_PTR_NOT_NULL(strstr(text, "\"status\":\"complete\""));
    CU_ASSERT_PTR_NOT_NULL(strstr(text, "from the upstream"));
    CU_ASSERT(net_await(has_stopped, r));
    CU_ASSERT_EQUAL(atomic_load(&u.starts), 2);
    (void)close(fd);
    runtime_free(r);
    upstream_stop(&u);
}

/* A client loses the answer and submits the same job again.  It must get the
 * first one's answer, and the upstream must see no further start. */
static void
resubmission_starts_nothing(void)
{
    struct upstream_standin u;
    struct runtime *r = start_runtime();
    char first[NET_TEXT_SIZE];
    char again[NET_TEXT_SIZE];

    upstream_start(&u);
    open_gate(&u);
    announce(r, u.port);
    CU_ASSERT(exchange(r, submit, first));
    CU_ASSERT_PTR_NOT_NULL(strstr(first, "\"status\":\"complete\""));
    CU_ASSERT(exchange(r, submit, again));
    CU_ASSERT_STRING_EQUAL(strstr(first, "\r\n\r\n"),
                           strstr(again, "\r\n\r\n"));
    CU_ASSERT_EQUAL(atomic_load(&u.starts), 2);
    runtime_free(r);
    upstream_stop(&u);
}

static void
runtime_answers_operators(void)
{
    static const struct {
        const char *path;
        const char *part;
    } cases[] = {
        {"/metrics", "# TYPE boragemoor_tasks_started_total counter"},
        {"/v1/state", "\"instance\""},
        {"/v1/keys?count=2", "bm1.z.e1."},
    };
    struct runtime *r = start_runtime();
    char request[128];
    char text[NET_TEXT_SIZE];

    for (size_t i = 0; i < sizeof(cases) / sizeof(cases[0]); i++) {
        (void)snprintf(request, sizeof(request),
                       "GET %s HTTP/1.1\r\nHost: x\r\n\r\n", cases[i].path);
        (void)exchange(r, request, text);
        CU_ASSERT_PTR_NOT_NULL(strstr(text, cases[i].part));
    }
    runtime_free(r);
}

void
suite_runtime(void)
{
    check_add("runtime", "planned_stop_cuts_off_nothing",
              planned_stop_cuts_off_nothing);
    check_add("runtime", "resubmission_starts_nothing",
              resubmission_starts_nothing);
    check_add("runtime", "runtime_answers_operators",
              runtime_answers_operators);
}
