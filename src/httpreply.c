#include "httpreply.h"

#include <ctype.h>
#include <inttypes.h>
#include <jansson.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "jsonjob.h"

#define TYPE_JSON "application/json"
#define TYPE_PROBLEM "application/problem+json"
#define TYPE_METRICS "text/plain; version=0.0.4"

/* The key percent-encoded: a bare key may hold any visible character. */
static void
write_location(char out[LOCATION_SIZE], const char *key)
{
    size_t n = (size_t)snprintf(out, LOCATION_SIZE, "/v1/jobs/");

    for (const char *p = key; *p != '\0' && n + 4 < LOCATION_SIZE; p++) {
        bool plain = isalnum((unsigned char)*p) || strchr("-._~", *p) != NULL;

        n += (size_t)snprintf(out + n, LOCATION_SIZE - n,
                              plain ? "%c" : "%%%02X", (unsigned char)*p);
    }
}

static struct httpreply
reply_json(int status, char *body, size_t size)
{
    return (struct httpreply){
        .status = status, .type = TYPE_JSON, .body = body, .size = size};
}

static struct httpreply
reply_dump(json_t *json)
{
    char *body = json_dumps(json, JSON_COMPACT);

    json_decref(json);
    return reply_json(200, body, body != NULL ? strlen(body) : 0);
}

static struct httpreply
reply_accepted(enum route_kind route, const char *key)
{
    struct httpreply r;
    size_t size;
    char *body = jsonjob_write_running(key, &size);

    r = reply_json(route == ROUTE_SUBMIT ? 202 : 200, body, size);
    if (route == ROUTE_SUBMIT) {
        write_location(r.location, key);
    }
    return r;
}

static struct httpreply
reply_problem(enum problem problem, const char *detail, const char *started,
              int64_t retry_after_us)
{
    struct httpreply r = {.status = problem_status(problem),
                          .type = TYPE_PROBLEM};

    r.body = jsonjob_write_problem(problem, detail, started, &r.size);
    r.retry_after_s = (retry_after_us + USEC_PER_SEC - 1) / USEC_PER_SEC;
    if (r.retry_after_s == 0 && (r.status == 503 || r.status == 429)) {
        r.retry_after_s = 1;
    }
    return r;
}

static struct httpreply
reply_refusal(const struct ef_problem *p)
{
    const char *started = NULL;

    if (p->not_run) {
        started = "not_run";
    }
    else if (p->request_started_nothing) {
        started = "none_by_this_request";
    }
    return reply_problem(p->problem, p->detail, started, p->retry_after_us);
}

static struct httpreply
reply_keys(const struct ef_keys *k)
{
    json_t *keys = json_array();

    for (size_t i = 0; i < k->n_keys; i++) {
        (void)json_array_append_new(keys, json_string(k->keys[i]));
    }
    return reply_dump(json_pack("{s:o}", "keys", keys));
}

static struct httpreply
reply_announced(const struct ef_announced *a)
{
    return reply_dump(json_pack("{s:I,s:s}", "renew_ms",
                                (json_int_t)(a->renew_us / USEC_PER_MSEC),
                                "holder", a->holder.s));
}

static struct httpreply
reply_text(const struct ef_text *t, enum route_kind route)
{
    char *body = t->json != NULL ? strdup(t->json) : NULL;
    struct httpreply r =
        reply_json(200, body, body != NULL ? strlen(body) : 0);

    if (route == ROUTE_METRICS) {
        r.type = TYPE_METRICS;
    }
    return r;
}

struct httpreply
httpreply_of(const struct effect *f, enum route_kind route, const char *key)
{
    size_t size = 0;
    char *body;

    switch (f->kind) {
    case EF_ANSWER:
        body = jsonjob_write_answer(key, f->u.answer.answer, &size);
        return reply_json(200, body, size);
    case EF_ACCEPTED:
        return reply_accepted(route, key);
    case EF_PROBLEM:
        return reply_refusal(&f->u.problem);
    case EF_KEYS:
        return reply_keys(&f->u.keys);
    case EF_ANNOUNCED:
        return reply_announced(&f->u.announced);
    case EF_TEXT:
        return reply_text(&f->u.text, route);
    default:
        return httpreply_problem(PROBLEM_INTERNAL, "no answer to this");
    }
}

struct httpreply
httpreply_problem(enum problem problem, const char *detail)
{
    return reply_problem(problem, detail, "none_by_this_request", 0);
}
