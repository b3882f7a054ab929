/* What bm-control makes of operators' requests: signatures and bodies. */
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "check.h"
#include "control_request.h"
#include "opauth.h"

static const int64_t NOW = INT64_C(1764720000000000);
static const int64_t WINDOW = 60 * USEC_PER_SEC;
static const char BODY[] = "{\"action\":\"remove\",\"member\":\"c2\"}";

static struct opsign_operators
two_operators(void)
{
    struct opsign_operators o = {.n = 2};

    o.items[0].name = name_of("alice");
    o.items[1].name = name_of("bob");
    memset(o.items[0].key, 1, OPSIGN_KEY_SIZE);
    memset(o.items[1].key, 2, OPSIGN_KEY_SIZE);
    return o;
}

/* A signed request as a hostile or mistaken client might change it. */
struct attempt {
    const char *path;
    const char *body;
    const char *claimed; /* operator of the header */
    int64_t time_us;
    int64_t claimed_us; /* time of the header */
    char nonce[OPSIGN_NONCE_SIZE];
};

static struct attempt
fair_attempt(void)
{
    struct attempt t = {"/v1/members", BODY, "alice", NOW, NOW, ""};

    opsign_nonce(t.nonce);
    return t;
}

/* Signed by alice for /v1/members with BODY, sent as the attempt says. */
static enum opauth_result
try(struct opauth *a, const struct attempt *t)
{
    struct opsign_operators keys = two_operators();
    struct opsign_request good = {
        .method = "POST",
        .path = "/v1/members",
        .operator_name = name_of("alice"),
        .time_us = t->time_us,
        .nonce = t->nonce,
        .body = BODY,
        .size = strlen(BODY),
    };
    struct opsign_request sent = {
        .method = "POST",
        .path = t->path,
        .body = t->body,
        .size = strlen(t->body),
    };
    char mac[OPSIGN_TEXT_SIZE];
    char time[24];
    struct opauth_headers headers = {t->claimed, time, t->nonce, mac};

    CU_ASSERT_TRUE(opsign_sign(&good, keys.items[0].key, mac));
    (void)snprintf(time, sizeof(time), "%lld", (long long)t->claimed_us);
    return opauth_check(a, &sent, &headers, NOW);
}

/* Somebody on the network has seen a signed change.  Whatever he alters, and
 * also when he sends it once more as it is, nothing must change. */
static void
altered_and_replayed_requests(void)
{
    struct opsign_operators operators = two_operators();
    struct opauth *a = opauth_new(&operators, WINDOW);
    struct attempt t = fair_attempt();

    CU_ASSERT_EQUAL(try(a, &t), OPAUTH_OK);
    CU_ASSERT_EQUAL(try(a, &t), OPAUTH_STALE);
    t = fair_attempt();
    t.path = "/v1/config";
    CU_ASSERT_EQUAL(try(a, &t), OPAUTH_NOT_SIGNED);
    t = fair_attempt();
    t.body = "{\"action\":\"remove\",\"member\":\"c3\"}";
    CU_ASSERT_EQUAL(try(a, &t), OPAUTH_NOT_SIGNED);
    t = fair_attempt();
    t.claimed = "bob";
    CU_ASSERT_EQUAL(try(a, &t), OPAUTH_NOT_SIGNED);
    t.claimed = "mallory";
    CU_ASSERT_EQUAL(try(a, &t), OPAUTH_NOT_SIGNED);
    t = fair_attempt();
    t.claimed_us = NOW + 1;
    CU_ASSERT_EQUAL(try(a, &t), OPAUTH_NOT_SIGNED);
    t.time_us = NOW - WINDOW - 1;
    t.claimed_us = t.time_us;
    CU_ASSERT_EQUAL(try(a, &t), OPAUTH_STALE);
    t.time_us = NOW + WINDOW + 1;
    t.claimed_us = t.time_us;
    CU_ASSERT_EQUAL(try(a, &t), OPAUTH_STALE);
    t.time_us = NOW + WINDOW;
    t.claimed_us = t.time_us;
    CU_ASSERT_EQUAL(try(a, &t), OPAUTH_OK);
    opauth_free(a);
}

static void
headers_missing_or_malformed(void)
{
    static const struct opauth_headers cases[] = {
        {NULL, "1", "0123456789abcdef0123456789abcdef", "00"},
        {"alice", NULL, "0123456789abcdef0123456789abcdef", "00"},
        {"alice", "1", NULL, "00"},
        {"alice", "1", "0123456789abcdef0123456789abcdef", NULL},
        {"alice", "-1", "0123456789abcdef0123456789abcdef", "00"},
        {"alice", "9999999999999999999999", "0123456789abcdef", "00"},
        {"alice", "1", "0123456789abcdef0123456789abcdef", ""},
    };
    struct opsign_operators operators = two_operators();
    struct opauth *a = opauth_new(&operators, WINDOW);

    for (size_t i = 0; i < sizeof(cases) / sizeof(cases[0]); i++) {
        struct opsign_request r = {.method = "POST", .path = "/v1/config"};

        CU_ASSERT_EQUAL(opauth_check(a, &r, &cases[i], NOW),
                        OPAUTH_NOT_SIGNED);
    }
    opauth_free(a);
}

static enum control_result
body_result(enum control_route route, const char *body)
{
    struct control_query query = {0};
    struct control_rejection why = {.result = CONTROL_OK};
    struct control_mail *m = control_request_parse(
        route, &query, name_of("alice"), body, strlen(body), 1, &why);

    control_mail_free(m);
    return m != NULL ? CONTROL_OK : why.result;
}

static void
bodies_are_checked(void)
{
    static const struct {
        enum control_route route;
        enum control_result result;
        const char *body;
    } cases[] = {
        {CONTROL_ROUTE_PUBLISH, CONTROL_OK,
         "{\"base_version\":0,\"request_id\":\"r\",\"config\":\"\"}"},
        {CONTROL_ROUTE_PUBLISH, CONTROL_NOT_JSON, ""},
        {CONTROL_ROUTE_PUBLISH, CONTROL_NOT_JSON, "{\"base_version\":0"},
        {CONTROL_ROUTE_PUBLISH, CONTROL_BAD_PUBLICATION, "[]"},
        {CONTROL_ROUTE_PUBLISH, CONTROL_BAD_PUBLICATION,
         "{\"base_version\":-1,\"request_id\":\"r\",\"config\":\"\"}"},
        {CONTROL_ROUTE_PUBLISH, CONTROL_BAD_PUBLICATION,
         "{\"base_version\":\"0\",\"request_id\":\"r\",\"config\":\"\"}"},
        {CONTROL_ROUTE_PUBLISH, CONTROL_BAD_PUBLICATION,
         "{\"base_version\":0,\"request_id\":\"r\",\"config\":\"\",\"x\":1}"},
        {CONTROL_ROUTE_CHANGE, CONTROL_OK,
         "{\"action\":\"add\",\"member\":\"c4\",\"address\":\"127.0.0.1:1\","
         "\"http\":\"127.0.0.1:2\"}"},
        {CONTROL_ROUTE_CHANGE, CONTROL_BAD_CHANGE,
         "{\"action\":\"add\",\"member\":\"c4\"}"},
        {CONTROL_ROUTE_CHANGE, CONTROL_BAD_CHANGE,
         "{\"action\":\"drop\",\"member\":\"c4\"}"},
        {CONTROL_ROUTE_CHANGE, CONTROL_BAD_CHANGE,
         "{\"action\":\"remove\",\"member\":\"\"}"},
        {CONTROL_ROUTE_EVACUATE, CONTROL_OK,
         "{\"zone\":\"a\",\"evacuate\":true}"},
        {CONTROL_ROUTE_EVACUATE, CONTROL_OK,
         "{\"zone\":\"a\",\"evacuate\":false}"},
        {CONTROL_ROUTE_EVACUATE, CONTROL_BAD_CHANGE,
         "{\"zone\":\"\",\"evacuate\":true}"},
        {CONTROL_ROUTE_EVACUATE, CONTROL_BAD_CHANGE, "{\"zone\":\"a\"}"},
        {CONTROL_ROUTE_EVACUATE, CONTROL_BAD_CHANGE,
         "{\"zone\":\"a\",\"evacuate\":1}"},
        {CONTROL_ROUTE_EVACUATE, CONTROL_NOT_JSON, ""},
    };

    for (size_t i = 0; i < sizeof(cases) / sizeof(cases[0]); i++) {
        CU_ASSERT_EQUAL(body_result(cases[i].route, cases[i].body),
                        cases[i].result);
    }
}

void
suite_operator(void)
{
    check_add("operator", "altered_and_replayed_requests",
              altered_and_replayed_requests);
    check_add("operator", "headers_missing_or_malformed",
              headers_missing_or_malformed);
    check_add("operator", "bodies_are_checked", bodies_are_checked);
}
