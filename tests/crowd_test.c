/* Clients that keep to no limit, against the platform's programs. */
#include <stdio.h>
#include <string.h>
#include <unistd.h>

#include "check.h"
#include "net.h"
#include "region.h"

#define JOB "/q/00000000000000a1"
#define HEARTBEAT "/v1/instances/w1/heartbeat"
#define POST(path, size)                                                      \
    "POST " path " HTTP/1.1\r\nHost: a\r\nContent-Length: " #size "\r\n\r\n"
#define POST_CHUNKED(path)                                                    \
    "POST " path " HTTP/1.1\r\nHost: a\r\n"                                   \
    "Transfer-Encoding: chunked\r\n\r\nfffffff\r\n"
#define GET_CONFIG "GET /v1/config/get HTTP/1.1\r\nHost: a\r\n\r\n"

enum { CROWD_MAX = 800, MIB = 1024 * 1024, ASKED = 12 };

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

/* The clients send, and stay connected while the processes are checked and
 * ordinary requests are sent. */
static void
play(struct region *r, const char *ip, const struct crowd *c, const char *test)
{
    int fds[CROWD_MAX];

    for (int i = 0; i < c->connections; i++) {
        fds[i] = region_connect(ip, r->port);
        if (fds[i] >= 0) {
            send_all(fds[i], c);
        }
    }
    region_check(r, test);
    CU_ASSERT_TRUE(region_serves(r));
    region_check(r, test);
    for (int i = 0; i < c->connections; i++) {
        if (fds[i] >= 0) {
            (void)close(fds[i]);
        }
    }
    CU_ASSERT_TRUE(region_serves(r));
}

static void
play_alone(const char *ip, const struct crowd *c, const char *test)
{
    struct region r;

    region_start(&r);
    play(&r, ip, c, test);
    region_stop(&r);
}

#define POST(path, size)                                                      \
    "POST " path " HTTP/1.1\r\nHost: a\r\nContent-Length: " #size "\r\n\r\n"
#define POST_CHUNKED(path)                                                    \
    "POST " path " HTTP/1.1\r\nHost: a\r\n"                                   \
    "Transfer-Encoding: chunked\r\n\r\nfffffff\r\n"

/* A test with one crowd. */
#define CROWD(test, ip, n, first, repeated, bytes)                            \
    static void test(void)                                                    \
    {                                                                         \
        static const struct crowd crowd = {                                   \
            .connections = (n),                                               \
            .head = (first),                                                  \
            .fill = (repeated),                                               \
            .size = (bytes),                                                  \
        };                                                                    \
                                                                              \
        play_alone(ip, &crowd, __func__);                                     \
    }

/* clang-format off */

/* Guards against bodies over the limit that are kept until they end. */
CROWD(broker_refuses_jobs_over_the_limit, REGION_BROKER, 150,
      POST(JOB, 1000000), "x", 999999)

/* The same, of a length that is announced and never sent. */
CROWD(broker_refuses_announced_lengths, REGION_BROKER, 150,
      POST(JOB, 10000000000), "x", (size_t)2 * MIB)
CROWD(control_refuses_bodies_over_the_limit, REGION_CONTROL, 40,
      POST(HEARTBEAT, 10000000000), "x", (size_t)6 * MIB)

/* The same, of no announced length. */
CROWD(broker_refuses_chunks_over_the_limit, REGION_BROKER, 150,
      POST_CHUNKED(JOB), "x", (size_t)2 * MIB)

/* Guards against a limit for each body and none for all of them. */
CROWD(broker_bounds_the_sum_of_unfinished_jobs, REGION_BROKER, 300,
      POST(JOB, 262144), "x", REGION_BODY_MAX - 1)
CROWD(control_bounds_the_sum_of_unfinished_heartbeats, REGION_CONTROL, 40,
      POST(HEARTBEAT, 4000000), "x", 3999999)

/* Guards against a short text that takes a hundred times its size once it is
 * parsed. */
CROWD(broker_bounds_the_memory_of_parsed_jobs, REGION_BROKER, 20,
      POST(JOB, 900001) "[", "{},", 900000)
CROWD(control_bounds_the_memory_of_parsed_heartbeats, REGION_CONTROL, 2,
      POST(HEARTBEAT, 3000000) "[", "{},", 2999999)

/* Guards against answers that pile up for clients that don't read. */
CROWD(control_bounds_unread_answers, REGION_CONTROL, 500, "", GET_CONFIG,
      ASKED * (sizeof(GET_CONFIG) - 1))

/* clang-format on */

/* Guards against connections that send nothing, or never end their headers,
 * and take the descriptors of all others. */
static void
silent_connections_leave_room_for_others(void)
{
    static const struct crowd silent = {.connections = 700, .head = ""};
    static const struct crowd headers = {
        .connections = 700, .head = "POST " JOB " HTTP/1.1\r\nHost: a"};
    struct region r;

    region_start(&r);
    play(&r, REGION_BROKER, &silent, __func__);
    play(&r, REGION_BROKER, &headers, __func__);
    play(&r, REGION_CONTROL, &silent, __func__);
    play(&r, REGION_CONTROL, &headers, __func__);
    region_stop(&r);
}

/* A body and headers of just the largest size are read, and a body in chunks.
 */
static void
requests_within_the_limits_are_read(void)
{
    static const char job[] =
        "{\"best-effort\":true,\"spec\":\"\",\"steps\":[]}";
    static char body[REGION_BODY_MAX + 1];
    char head[256];
    struct region r;

    region_start(&r);
    (void)snprintf(body, sizeof(body), "%-*s", REGION_BODY_MAX, job);
    CU_ASSERT_EQUAL(
        region_ask(&r, REGION_BROKER, "POST", JOB, body, REGION_BODY_MAX),
        400);
    (void)snprintf(head, sizeof(head),
                   "POST %s HTTP/1.1\r\nHost: a\r\nConnection: close\r\n"
                   "Transfer-Encoding: chunked\r\n\r\n%zx\r\n%s\r\n0\r\n\r\n",
                   JOB, strlen(job), job);
    CU_ASSERT_EQUAL(region_exchange(&r, REGION_BROKER, head, "", 0), 400);
    (void)snprintf(body, sizeof(body),
                   "GET /q/ HTTP/1.1\r\nHost: a\r\nConnection: close\r\n"
                   "X: %0*d\r\n\r\n",
                   REGION_HEADERS_MAX - 100, 0);
    CU_ASSERT_EQUAL(region_exchange(&r, REGION_BROKER, body, "", 0), 200);
    region_check(&r, __func__);
    region_stop(&r);
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
