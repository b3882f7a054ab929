#include "region.h"

#include <arpa/inet.h>
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

enum {
    CONFIG_PADDING = 300 * 1000,
    PORTS = 32,
    START_PATIENCE_S = 120, /* a start waits for the disk */
};

/* Checks of memory don't hold with a sanitizer's own use of it. */
static bool
measures_memory(void)
{
#if defined(__SANITIZE_ADDRESS__) || defined(__SANITIZE_THREAD__)
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
                  ip, ip, addresses, r->port + 2u, r->port + 9u,
                  REGION_CONTROL, r->port, data, REGION_MEMORY_MB,
                  REGION_FDS_MAX);
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

int
region_connect(const char *ip, uint16_t port)
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

int
region_exchange(const struct region *r, const char *ip, const char *head,
                const char *body, size_t size)
{
    int fd = region_connect(ip, r->port);
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

int
region_ask(const struct region *r, const char *ip, const char *method,
           const char *path, const char *body, size_t size)
{
    char head[256];

    (void)snprintf(head, sizeof(head),
                   "%s %s HTTP/1.1\r\nHost: a\r\nConnection: close\r\n"
                   "Content-Length: %zu\r\n\r\n",
                   method, path, size);
    return region_exchange(r, ip, head, body, size);
}

bool
region_serves(const struct region *r)
{
    return region_ask(r, REGION_CONTROL, "GET", "/v1/config/get", "", 0) ==
               200 &&
           region_ask(r, REGION_BROKER, "GET", "/q/", "", 0) == 200;
}

static bool
is_ready(void *ctx)
{
    struct region *r = ctx;
    static char config[sizeof(CONFIG_HEAD) + CONFIG_PADDING + 16];
    int n = snprintf(config, sizeof(config), "%s%*s}", CONFIG_HEAD,
                     CONFIG_PADDING, "");

    return region_ask(r, REGION_CONTROL, "POST", "/v1/config/put", config,
                      (size_t)n) == 200 &&
           region_serves(r);
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

void
region_start(struct region *r)
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
                   REGION_CONTROL, r->port);
    (void)snprintf(data, sizeof(data), "\"%s/data\"", r->dir);
    write_settings(r, &r->control, REGION_CONTROL, addresses, data);
    (void)snprintf(addresses, sizeof(addresses),
                   "\"front\":\"%s:%u\",\"ready\":\"%s:%u\"", REGION_BROKER,
                   r->port, REGION_BROKER, r->port + 1u);
    write_settings(r, &r->broker, REGION_BROKER, addresses, "null");
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

static bool
serves(void *ctx)
{
    return region_serves(ctx);
}

void
region_restart(struct region *r, struct proc *p)
{
    stop_process(p);
    CU_ASSERT_TRUE_FATAL(proc_start(p));
    CU_ASSERT_TRUE(retry(serves, r));
}

void
region_stop(struct region *r)
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
    CU_ASSERT_TRUE(!measures_memory() || peak_mb <= REGION_MEMORY_MB);
    CU_ASSERT_TRUE(fds <= REGION_FDS_MAX);
    if (peak_mb > REGION_MEMORY_MB || fds > REGION_FDS_MAX) {
        (void)fprintf(stderr, "%s: %s: %ld of %d MB, %d of %d descriptors\n",
                      test, strrchr(p->program, '/') + 1, peak_mb,
                      REGION_MEMORY_MB, fds, REGION_FDS_MAX);
    }
}

void
region_check(const struct region *r, const char *test)
{
    check_process(&r->control, test);
    check_process(&r->broker, test);
}
