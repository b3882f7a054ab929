/* Clients that keep to no limit, against the platform's programs.  Bounds are
 * those of the settings that the programs are started with. */
#include <arpa/inet.h>
#include <errno.h>
#include <poll.h>
#include <signal.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <sys/socket.h>
#include <sys/stat.h>
#include <sys/time.h>
#include <sys/wait.h>
#include <unistd.h>

#include "check.h"
#include "clock.h"
#include "net.h"
#include "procs.h"

#define BROKER_IP "127.0.9.2"
#define CONTROL_IP "127.0.9.1"
#define CONFIG_HEAD                                                           \
    "{\"version\":1,\"routes\":[{\"name\":\"r\",\"host\":\"a\","              \
    "\"path-prefix\":\"/q/\",\"route-type\":\"unsafe\",\"timeout-ms\":1500,"  \
    "\"target-latency-ms\":60,\"priority\":0,\"service\":\"s\","              \
    "\"max-attempts\":2,\"stretch\":1.6}],\"services\":[{\"name\":\"s\","     \
    "\"health-path\":\"/health\",\"max-connections\":64,"                     \
    "\"protocol\":\"h1\",\"tls\":false,\"admission-check\":true,"             \
    "\"standby\":false}],\"limits\":{\"max-header-bytes\":16384,"             \
    "\"max-body-bytes\":262144,\"header-timeout-ms\":3000,"                   \
    "\"idle-timeout-ms\":15000}"
#define JOB_PATH "/q/00000000000000a1"
#define HEARTBEAT_PATH "/v1/instances/w1/heartbeat"

enum {
    MEMORY_MB = 64, /* of each process, in its settings */
    FDS_MAX = 600,  /* the same */
    MIB = 1024 * 1024,
    BODY_MAX = 256 * 1024, /* of a job, in the configuration */
    HEADERS_MAX = 16 * 1024,
    HEARTBEAT_MAX = 4 * MIB,
    CONFIG_PADDING = 300 * 1000,
    CROWD_MAX = 800,
    PROCESSES = 2,
    PORTS = 32,
    START_PATIENCE_S = 120, /* a start waits for the disk */
};

/* struct region - one member of control and one broker */
struct region {
    char dir[64];
    uint16_t port;
    struct proc control;
    struct proc broker;
};

/* Checks of memory don't hold with a sanitizer's own use of it. */
static bool
measures_memory(void)
{
#ifdef __SANITIZE_ADDRESS__
    return false;
#else
    return true;
#endif
}

static void
write_settings(const struct region *r, const struct proc *p, const char *ip,
               const char *addresses, const char *data)
{
    FILE *f = fopen(p->settings, "w");

    CU_ASSERT_PTR_NOT_NULL_FATAL(f);
    (void)fprintf(f,
                  "{\"node-name\":\"%s\",\"ip\":\"%s\",\"zone\":\"z\","
                  "\"region\":\"r\",\"zones\":{\"z\":\"r\"},"
                  "\"bind-addresses\":{%s},\"port-range\":[%u,%u],"
                  "\"seeds\":[\"%s:%u\"],\"bootstrap\":true,\"data-dir\":%s,"
                  "\"limits\":{\"cpu-share\":1.0,\"cores\":1,\"memory-mb\":%d,"
                  "\"max-fds\":%d,\"link-mbps\":1000.0},"
                  "\"bounds\":{\"max-hold-ms\":1000,\"grace-s\":6}}",
                  ip, ip, addresses, r->port + 2u, r->port + 9u, CONTROL_IP,
                  r->port, data, MEMORY_MB, FDS_MAX);
    (void)fclose(f);
}

/* The programs are in the folder of this one. */
static void
name_process(const struct region *r, struct proc *p, const char *name)
{
    char self[PROC_PATH / 2] = {0};

    CU_ASSERT_TRUE_FATAL(readlink("/proc/self/exe", self, sizeof(self) - 1) >
                         0);
    *strrchr(self, '/') = '\0';
    (void)snprintf(p->program, sizeof(p->program), "%s/bm-platform-%s", self,
                   name);
    (void)snprintf(p->settings, sizeof(p->settings), "%s/%s.json", r->dir,
                   name);
    (void)snprintf(p->log, sizeof(p->log), "%s/%s.log", r->dir, name);
}

static int
connect_to(const char *ip, uint16_t port)
{
    struct sockaddr_in a = {.sin_family = AF_INET, .sin_port = htons(port)};
    struct timeval patience = {.tv_sec = NET_PATIENCE_MS / 1000};
    int fd = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);

    (void)inet_pton(AF_INET, ip, &a.sin_addr);
    (void)setsockopt(fd, SOL_SOCKET, SO_SNDTIMEO, &patience, sizeof(patience));
    (void)setsockopt(fd, SOL_SOCKET, SO_RCVTIMEO, &patience, sizeof(patience));
    if (connect(fd, (struct sockaddr *)&a, sizeof(a)) != 0) {
        (void)close(fd);
        return -1;
    }
    return fd;
}

/* Returns the status of the answer; 0 for none. */
static int
exchange(const char *ip, uint16_t port, const char *head, const char *body,
         size_t size)
{
    int fd = connect_to(ip, port);
    char text[256] = {0};
    int status = 0;

    if (fd < 0) {
        return 0;
    }
    if (net_send_text(fd, head) && net_send(fd, body, size) &&
        recv(fd, text, sizeof(text) - 1, MSG_WAITALL) != 0) {
        (void)sscanf(text, "HTTP/1.1 %d", &status);
    }
    (void)close(fd);
    return status;
}

static int
ask(const char *ip, uint16_t port, const char *method, const char *path,
    const char *body, size_t size)
{
    char head[256];

    (void)snprintf(head, sizeof(head),
                   "%s %s HTTP/1.1\r\nHost: a\r\nConnection: close\r\n"
                   "Content-Length: %zu\r\n\r\n",
                   method, path, size);
    return exchange(ip, port, head, body, size);
}

/* An ordinary request of each kind is answered. */
static bool
is_served(struct region *r)
{
    return ask(CONTROL_IP, r->port, "GET", "/v1/config/get", "", 0) == 200 &&
           ask(BROKER_IP, r->port, "GET", "/q/", "", 0) == 200;
}

static bool
is_ready(void *ctx)
{
    struct region *r = ctx;
    static char config[sizeof(CONFIG_HEAD) + CONFIG_PADDING + 16];
    int n = snprintf(config, sizeof(config), "%s%*s}", CONFIG_HEAD,
                     CONFIG_PADDING, "");

    return ask(CONTROL_IP, r->port, "POST", "/v1/config/put", config,
               (size_t)n) == 200 &&
           is_served(r);
}

static bool
retry(bool (*done)(void *ctx), void *ctx)
{
    int64_t until_us =
        clock_now(clock_real()).mono_us + START_PATIENCE_S * USEC_PER_SEC;

    while (!done(ctx)) {
        if (clock_now(clock_real()).mono_us > until_us) {
            return false;
        }
        (void)usleep(50 * USEC_PER_MSEC);
    }
    return true;
}

static void
start_region(struct region *r)
{
    char addresses[128];
    char data[96];

    memset(r, 0, sizeof(*r));
    (void)signal(SIGPIPE, SIG_IGN);
    (void)snprintf(r->dir, sizeof(r->dir), "/tmp/bm-crowd-XXXXXX");
    CU_ASSERT_PTR_NOT_NULL_FATAL(mkdtemp(r->dir));
    r->port = (uint16_t)(22000 + getpid() % 200 * PORTS);
    name_process(r, &r->control, "control");
    name_process(r, &r->broker, "broker");
    (void)snprintf(r->control.data, sizeof(r->control.data), "%s/data",
                   r->dir);
    (void)mkdir(r->control.data, 0700);
    (void)snprintf(addresses, sizeof(addresses), "\"control\":\"%s:%u\"",
                   CONTROL_IP, r->port);
    (void)snprintf(data, sizeof(data), "\"%s/data\"", r->dir);
    write_settings(r, &r->control, CONTROL_IP, addresses, data);
    (void)snprintf(addresses, sizeof(addresses),
                   "\"front\":\"%s:%u\",\"ready\":\"%s:%u\"", BROKER_IP,
                   r->port, BROKER_IP, r->port + 1u);
    write_settings(r, &r->broker, BROKER_IP, addresses, "null");
    CU_ASSERT_TRUE_FATAL(proc_start(&r->control));
    CU_ASSERT_TRUE_FATAL(proc_start(&r->broker));
    CU_ASSERT_TRUE(retry(is_ready, r));
}

static void
stop_process(struct proc *p)
{
    (void)kill(p->pid, SIGKILL);
    (void)waitpid(p->pid, NULL, 0);
}

static void
stop_region(struct region *r)
{
    char command[128];

    stop_process(&r->broker);
    stop_process(&r->control);
    (void)snprintf(command, sizeof(command), "rm -r %s", r->dir);
    CU_ASSERT_EQUAL(system(command), 0);
}

/* It lives, and is within the memory and the descriptors of its settings. */
static void
check_process(const struct proc *p, const char *test)
{
    long peak_mb = proc_peak_memory_kb(p) / 1024;
    int fds = proc_fds(p);

    CU_ASSERT_EQUAL(waitpid(p->pid, NULL, WNOHANG), 0);
    CU_ASSERT_TRUE(!measures_memory() || peak_mb <= MEMORY_MB);
    CU_ASSERT_TRUE(fds <= FDS_MAX);
    if (peak_mb > MEMORY_MB || fds > FDS_MAX) {
        (void)fprintf(stderr, "%s: %s: %ld of %d MB, %d of %d descriptors\n",
                      test, strrchr(p->program, '/') + 1, peak_mb, MEMORY_MB,
                      fds, FDS_MAX);
    }
}

static void
check_region(struct region *r, const char *test)
{
    check_process(&r->control, test);
    check_process(&r->broker, test);
}

/* struct crowd - connections of one kind of client
 * @connections: number of them
 * @head: what each sends first
 * @fill: repeated after that
 * @size: bytes of the repeated text that each sends
 */
struct crowd {
    int connections;
    const char *head;
    const char *fill;
    size_t size;
};

/* Sends until the other end closes the connection. */
static void
send_all(int fd, const struct crowd *c)
{
    static char text[64 * 1024];
    size_t unit = c->fill != NULL ? strlen(c->fill) : 0;
    size_t whole = unit > 0 ? sizeof(text) / unit * unit : 0;
    size_t sent = 0;

    for (size_t i = 0; i < whole; i++) {
        text[i] = c->fill[i % unit];
    }
    if (!net_send_text(fd, c->head)) {
        return;
    }
    while (sent < c->size) {
        size_t n = c->size - sent < whole ? c->size - sent : whole;

        if (!net_send(fd, text, n)) {
            return;
        }
        sent += n;
    }
}

/* The crowd sends, and stays while the region is checked and asked. */
static void
play(struct region *r, const char *ip, const struct crowd *c, const char *test)
{
    int fds[CROWD_MAX];

    for (int i = 0; i < c->connections; i++) {
        fds[i] = connect_to(ip, r->port);
        if (fds[i] >= 0) {
            send_all(fds[i], c);
        }
    }
    check_region(r, test);
    CU_ASSERT_TRUE(is_served(r));
    check_region(r, test);
    for (int i = 0; i < c->connections; i++) {
        if (fds[i] >= 0) {
            (void)close(fds[i]);
        }
    }
    CU_ASSERT_TRUE(is_served(r));
}

static void
play_alone(const char *ip, const struct crowd *c, const char *test)
{
    struct region r;

    start_region(&r);
    play(&r, ip, c, test);
    stop_region(&r);
}

#define POST(path, size)                                                      \
    "POST " path " HTTP/1.1\r\nHost: a\r\nContent-Length: " #size "\r\n\r\n"
#define POST_CHUNKED(path)                                                    \
    "POST " path " HTTP/1.1\r\nHost: a\r\n"                                   \
    "Transfer-Encoding: chunked\r\n\r\nfffffff\r\n"

/* Guards against bodies over the limit that are kept until they end. */
static void
broker_refuses_jobs_over_the_limit(void)
{
    static const struct crowd crowd = {.connections = 150,
                                       .head = POST(JOB_PATH, 1000000),
                                       .fill = "x",
                                       .size = 999999};

    play_alone(BROKER_IP, &crowd, __func__);
}

/* The same, of a length that is announced and never sent. */
static void
broker_refuses_announced_lengths(void)
{
    static const struct crowd crowd = {.connections = 150,
                                       .head = POST(JOB_PATH, 10000000000),
                                       .fill = "x",
                                       .size = 2 * MIB};

    play_alone(BROKER_IP, &crowd, __func__);
}

/* The same, of no announced length. */
static void
broker_refuses_chunks_over_the_limit(void)
{
    static const struct crowd crowd = {.connections = 150,
                                       .head = POST_CHUNKED(JOB_PATH),
                                       .fill = "x",
                                       .size = 2 * MIB};

    play_alone(BROKER_IP, &crowd, __func__);
}

/* Guards against a limit for each body and none for all of them. */
static void
broker_bounds_the_sum_of_unfinished_jobs(void)
{
    static const struct crowd crowd = {.connections = 300,
                                       .head = POST(JOB_PATH, 262144),
                                       .fill = "x",
                                       .size = BODY_MAX - 1};

    play_alone(BROKER_IP, &crowd, __func__);
}

static void
control_bounds_the_sum_of_unfinished_heartbeats(void)
{
    static const struct crowd crowd = {.connections = 40,
                                       .head = POST(HEARTBEAT_PATH, 4000000),
                                       .fill = "x",
                                       .size = 3999999};

    play_alone(CONTROL_IP, &crowd, __func__);
}

static void
control_refuses_bodies_over_the_limit(void)
{
    static const struct crowd crowd = {.connections = 40,
                                       .head =
                                           POST(HEARTBEAT_PATH, 10000000000),
                                       .fill = "x",
                                       .size = 6 * MIB};

    play_alone(CONTROL_IP, &crowd, __func__);
}

/* Guards against a short text that takes a hundred times its size once it is
 * parsed. */
static void
control_bounds_the_memory_of_parsed_heartbeats(void)
{
    static const struct crowd crowd = {.connections = 2,
                                       .head =
                                           POST(HEARTBEAT_PATH, 3000000) "[",
                                       .fill = "{},",
                                       .size = 2999999};

    play_alone(CONTROL_IP, &crowd, __func__);
}

static void
broker_bounds_the_memory_of_parsed_jobs(void)
{
    static const struct crowd crowd = {.connections = 20,
                                       .head = POST(JOB_PATH, 900001) "[",
                                       .fill = "{},",
                                       .size = 900000};

    play_alone(BROKER_IP, &crowd, __func__);
}

/* Guards against answers that pile up for clients that don't read. */
static void
control_bounds_unread_answers(void)
{
    static const struct crowd crowd = {
        .connections = 500,
        .head = "GET /v1/config/get HTTP/1.1\r\nHost: a\r\n\r\n"
                "GET /v1/config/get HTTP/1.1\r\nHost: a\r\n\r\n"
                "GET /v1/config/get HTTP/1.1\r\nHost: a\r\n\r\n"
                "GET /v1/config/get HTTP/1.1\r\nHost: a\r\n\r\n"
                "GET /v1/config/get HTTP/1.1\r\nHost: a\r\n\r\n"
                "GET /v1/config/get HTTP/1.1\r\nHost: a\r\n\r\n"
                "GET /v1/config/get HTTP/1.1\r\nHost: a\r\n\r\n"
                "GET /v1/config/get HTTP/1.1\r\nHost: a\r\n\r\n"
                "GET /v1/config/get HTTP/1.1\r\nHost: a\r\n\r\n"
                "GET /v1/config/get HTTP/1.1\r\nHost: a\r\n\r\n"
                "GET /v1/config/get HTTP/1.1\r\nHost: a\r\n\r\n"
                "GET /v1/config/get HTTP/1.1\r\nHost: a\r\n\r\n"};

    play_alone(CONTROL_IP, &crowd, __func__);
}

/* Guards against connections that send nothing, or never end their headers,
 * and take the descriptors of all others. */
static void
silent_connections_leave_room_for_others(void)
{
    static const struct crowd silent = {.connections = 700, .head = ""};
    static const struct crowd headers = {
        .connections = 700, .head = "POST " JOB_PATH " HTTP/1.1\r\nHost: a"};
    struct region r;

    start_region(&r);
    play(&r, BROKER_IP, &silent, __func__);
    play(&r, BROKER_IP, &headers, __func__);
    play(&r, CONTROL_IP, &silent, __func__);
    play(&r, CONTROL_IP, &headers, __func__);
    stop_region(&r);
}

/* A body and headers of just the largest size are read, and a body in chunks.
 */
static void
requests_within_the_limits_are_read(void)
{
    static const char job[] =
        "{\"best-effort\":true,\"spec\":\"\",\"steps\":[]}";
    static char body[BODY_MAX + 1];
    char head[256];
    struct region r;

    start_region(&r);
    (void)snprintf(body, sizeof(body), "%-*s", BODY_MAX, job);
    CU_ASSERT_EQUAL(ask(BROKER_IP, r.port, "POST", JOB_PATH, body, BODY_MAX),
                    400);
    (void)snprintf(head, sizeof(head),
                   "POST %s HTTP/1.1\r\nHost: a\r\nConnection: close\r\n"
                   "Transfer-Encoding: chunked\r\n\r\n%zx\r\n%s\r\n0\r\n\r\n",
                   JOB_PATH, strlen(job), job);
    CU_ASSERT_EQUAL(exchange(BROKER_IP, r.port, head, "", 0), 400);
    (void)snprintf(body, sizeof(body),
                   "GET /q/ HTTP/1.1\r\nHost: a\r\nConnection: close\r\n"
                   "X: %0*d\r\n\r\n",
                   HEADERS_MAX - 100, 0);
    CU_ASSERT_EQUAL(exchange(BROKER_IP, r.port, body, "", 0), 200);
    check_region(&r, __func__);
    stop_region(&r);
}

void
suite_crowd(void)
{
#define TEST(name) check_add("crowd", #name, name)
    TEST(broker_refuses_jobs_over_the_limit);
    TEST(broker_refuses_announced_lengths);
    TEST(broker_refuses_chunks_over_the_limit);
    TEST(broker_bounds_the_sum_of_unfinished_jobs);
    TEST(broker_bounds_the_memory_of_parsed_jobs);
    TEST(control_refuses_bodies_over_the_limit);
    TEST(control_bounds_the_sum_of_unfinished_heartbeats);
    TEST(control_bounds_the_memory_of_parsed_heartbeats);
    TEST(control_bounds_unread_answers);
    TEST(silent_connections_leave_room_for_others);
    TEST(requests_within_the_limits_are_read);
#undef TEST
}
