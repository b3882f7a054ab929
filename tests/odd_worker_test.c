/* Heartbeats of another writer among those of the workers: processes that take
 * them, save them, or are sent them go on, and follow the others. */
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <unistd.h>

#include "check.h"
#include "net.h"
#include "region.h"

enum { NESTED = 300 * 1000, LONG = 100 * 1000, MANY = 20000 };

/* Fields of a good heartbeat, each in place of %s of the other. */
#define FIELDS                                                                \
    "\"service\":\"s\",\"zone\":\"z\",\"version\":\"v1\",\"state\":"          \
    "\"ready\","                                                              \
    "\"cold-remaining-ms\":0"
#define NUMBERS "\"slots\":8,\"sequence\":4,\"born\":5"
#define CAPACITY "\"capacity\":{\"cpu\":16000,\"mem-mb\":32768,\"gpu\":0}"
#define LABELS "\"labels\":[\"a\"]"
#define ADDRESS "\"address\":\"127.0.0.1:9\""

/* Entries that name no worker. */
static const char *const refused[] = {
    "",
    "null",
    "[]",
    "{",
    "{}",
    "\xff\xfe",
    "{\"service\":\"\xff\"}",
    "{" FIELDS "," NUMBERS "," CAPACITY "," LABELS "}",
    "{" FIELDS "," NUMBERS "," LABELS "," ADDRESS "}",
    "{" FIELDS "," CAPACITY "," LABELS "," ADDRESS "}",
    "{" NUMBERS "," CAPACITY "," LABELS "," ADDRESS "}",
    "{" FIELDS "," NUMBERS "," CAPACITY "," LABELS
    ",\"address\":\"127.0.0.1:65536\"}",
    "{" FIELDS "," NUMBERS "," CAPACITY "," LABELS
    ",\"address\":\"127.0.0.1:-1\"}",
    "{" FIELDS "," NUMBERS "," CAPACITY "," LABELS
    ",\"address\":\"127.0.0.1:0\"}",
    "{" FIELDS "," NUMBERS "," CAPACITY "," LABELS
    ",\"address\":\"127.0.0.1: 9\"}",
    "{" FIELDS "," NUMBERS "," CAPACITY "," LABELS
    ",\"address\":\"127.0.0.1:99999999999999999999\"}",
    "{" FIELDS "," NUMBERS "," CAPACITY "," LABELS ",\"address\":\"h:9\"}",
    "{" FIELDS "," NUMBERS "," CAPACITY "," LABELS ",\"address\":9}",
    "{" FIELDS ",\"slots\":-1,\"sequence\":4," CAPACITY "," LABELS "," ADDRESS
    "}",
    "{" FIELDS ",\"slots\":1e300,\"sequence\":4," CAPACITY "," LABELS
    "," ADDRESS "}",
    "{" FIELDS ",\"slots\":1e999,\"sequence\":4," CAPACITY "," LABELS
    "," ADDRESS "}",
    "{" FIELDS ",\"slots\":8,\"sequence\":9223372036854775808," CAPACITY
    "," LABELS "," ADDRESS "}",
    "{" FIELDS ",\"slots\":4294967296,\"sequence\":4," CAPACITY "," LABELS
    "," ADDRESS "}",
    "{" FIELDS "," NUMBERS ",\"capacity\":{\"cpu\":4294967296,\"mem-mb\":1}"
    "," LABELS "," ADDRESS "}",
    "{" FIELDS "," NUMBERS ",\"capacity\":[]," LABELS "," ADDRESS "}",
    "{" FIELDS "," NUMBERS "," CAPACITY ",\"labels\":{}," ADDRESS "}",
    "{" FIELDS "," NUMBERS "," CAPACITY ",\"labels\":[[[1]]]," ADDRESS "}",
};

/* Entries with values at the ends of what is taken. */
static const char *const taken[] = {
    "{" FIELDS "," NUMBERS "," CAPACITY "," LABELS
    ",\"address\":\"127.0.0.1:65535\"}",
    "{" FIELDS ",\"slots\":4294967295,\"sequence\":9007199254740992,"
    "\"born\":9007199254740992,\"capacity\":{\"cpu\":4294967295,"
    "\"mem-mb\":4294967295,\"gpu\":4294967295}," LABELS "," ADDRESS "}",
    "{" FIELDS ",\"slots\":0,\"sequence\":0,\"born\":0,\"capacity\":{"
    "\"cpu\":0,\"mem-mb\":0}," ADDRESS "}",
    "{" FIELDS "," NUMBERS "," CAPACITY "," LABELS "," ADDRESS
    ",\"service\":\"\\u0001\\n\\\"\",\"zone\":\"z\"}",
    "{" FIELDS "," NUMBERS "," CAPACITY
    ",\"labels\":[\"\",\"\\u007f\",\"\\ud83d\\ude00\",\"d\",\"e\",\"f\"],"
    "\"address\":\"[::1]:9\"}",
};

static const char *const refused_ids[] = {
    "%0d%0aX-Y:%20z", "%ff%fe", "a%20b", "%7f", "%2e%2e%2f%0a",
};

static int
beat(const struct region *r, const char *id, const char *body)
{
    char path[512];

    (void)snprintf(path, sizeof(path), "/v1/instances/%s/heartbeat", id);
    return region_ask(r, REGION_CONTROL, "POST", path, body, strlen(body));
}

static void
expect(const struct region *r, const char *id, const char *body, int status)
{
    int got = beat(r, id, body);

    CU_ASSERT_EQUAL(got, status);
    if (got != status) {
        (void)fprintf(stderr, "odd_worker: %d for %.60s of %s\n", got, body,
                      id);
    }
}

/* Sends "HEAD" MIDDLE... "TAIL" as one heartbeat. */
static void
expect_repeated(const struct region *r, const char *head, const char *middle,
                int n, const char *tail)
{
    size_t size = strlen(head) + strlen(middle) * (size_t)n + strlen(tail) + 1;
    char *body = malloc(size);
    char *at = body;

    if (body == NULL) {
        abort();
    }
    at = stpcpy(at, head);
    for (int i = 0; i < n; i++) {
        at = stpcpy(at, middle);
    }
    (void)stpcpy(at, tail);
    expect(r, "odd", body, 400);
    free(body);
}

static void
send_odd_entries(const struct region *r)
{
    char id[16];

    for (size_t i = 0; i < sizeof(refused) / sizeof(refused[0]); i++) {
        expect(r, "odd", refused[i], 400);
    }
    for (size_t i = 0; i < sizeof(refused_ids) / sizeof(refused_ids[0]); i++) {
        expect(r, refused_ids[i], taken[0], 400);
    }
    for (size_t i = 0; i < sizeof(taken) / sizeof(taken[0]); i++) {
        (void)snprintf(id, sizeof(id), "odd-%zu", i);
        expect(r, id, taken[i], 200);
    }
    expect_repeated(r, "", "[", NESTED, "");
    expect_repeated(r, "{" FIELDS "," NUMBERS "," CAPACITY ",\"labels\":", "[",
                    NESTED, "");
    expect_repeated(r, "", "{\"a\":", NESTED, "");
    expect_repeated(r,
                    "{" NUMBERS "," CAPACITY "," ADDRESS ",\"zone\":\"z\","
                    "\"state\":\"ready\",\"service\":\"",
                    "x", LONG, "\"}");
    expect_repeated(r,
                    "{" FIELDS "," NUMBERS "," CAPACITY "," ADDRESS
                    ",\"labels\":[\"a\"",
                    ",\"b\"", MANY, "]}");
    expect_repeated(
        r, "{" FIELDS "," NUMBERS "," CAPACITY "," LABELS ",\"address\":\"",
        "1", LONG, ":9\"}");
    expect_repeated(r,
                    "{" FIELDS "," CAPACITY "," LABELS "," ADDRESS
                    ",\"sequence\":4,\"slots\":",
                    "9", LONG, "}");
}

/* A good worker starts, and the broker polls it. */
static void
expect_followed(const struct region *r, const char *id)
{
    uint16_t port;
    int listener = net_listen(&port);
    char body[512];
    char request[NET_TEXT_SIZE];
    int fd;

    (void)snprintf(body, sizeof(body),
                   "{" FIELDS "," NUMBERS "," CAPACITY "," LABELS
                   ",\"address\":\"127.0.0.1:%u\"}",
                   port);
    CU_ASSERT_EQUAL(beat(r, id, body), 200);
    fd = net_accept(listener);
    CU_ASSERT_TRUE(fd >= 0 && net_read_http(fd, request));
    CU_ASSERT_PTR_NOT_NULL(strstr(request, "/v1/hold"));
    CU_ASSERT_PTR_NOT_NULL(strstr(request, id));
    (void)close(fd);
    (void)close(listener);
}

/* Guards against an entry that ends the processes that read it, from a worker,
 * from each other or from the disk, or that makes them follow no other. */
static void
odd_entries_stop_no_process(void)
{
    struct region r;

    region_start(&r);
    send_odd_entries(&r);
    expect_followed(&r, "good-1");
    CU_ASSERT_EQUAL(kill(r.broker.pid, SIGUSR1), 0); /* a dump */
    (void)sleep(1); /* entries are saved after that time */
    region_restart(&r, &r.control);
    expect_followed(&r, "good-2");
    region_restart(&r, &r.broker);
    expect_followed(&r, "good-3");
    CU_ASSERT_TRUE(region_serves(&r));
    region_check(&r, __func__);
    region_stop(&r);
}

void
suite_odd_worker(void)
{
    check_add("odd_worker", "odd_entries_stop_no_process",
              odd_entries_stop_no_process);
}
