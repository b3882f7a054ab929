#include "httprequest.h"

#include <errno.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <strings.h>

#include "jsonjob.h"
#include "key.h"

enum { KEYS_MAX = 1000 };

static const char *
header(const struct httprequest *r, const char *name)
{
    return MHD_lookup_connection_value(r->connection, MHD_HEADER_KIND, name);
}

static const char *
argument(const struct httprequest *r, const char *name)
{
    return MHD_lookup_connection_value(r->connection, MHD_GET_ARGUMENT_KIND,
                                       name);
}

static bool
refuse(struct httprefusal *why, enum problem problem, const char *detail)
{
    why->problem = problem;
    (void)snprintf(why->detail, sizeof(why->detail), "%s", detail);
    return false;
}

static bool
check_key(struct httprequest *r, const char *key, struct httprefusal *why)
{
    enum key_error err;

    if (key == NULL) {
        return refuse(why, PROBLEM_BAD_KEY,
                      "the header Idempotency-Key is missing");
    }
    err = key_check(key);
    if (err != KEY_OK) {
        return refuse(why, PROBLEM_BAD_KEY, key_error_text(err));
    }
    (void)snprintf(r->key, sizeof(r->key), "%s", key);
    return true;
}

static bool
check_path_key(struct httprequest *r, struct httprefusal *why)
{
    if (r->route.name_truncated) {
        return refuse(why, PROBLEM_BAD_KEY, key_error_text(KEY_TOO_LONG));
    }
    return check_key(r, r->route.name, why);
}

static bool
check_upstream_name(struct httprequest *r, struct httprefusal *why)
{
    const char *name = r->route.name;
    size_t n = strspn(name, "abcdefghijklmnopqrstuvwxyz"
                            "ABCDEFGHIJKLMNOPQRSTUVWXYZ0123456789-_.");

    if (name[n] != '\0' || n >= NAME_SIZE) {
        return refuse(why, PROBLEM_BAD_ANNOUNCE,
                      "a name is 1 to 47 letters, digits, '-', '_', '.'");
    }
    return true;
}

static bool
read_number(const char *text, uint64_t max, uint64_t *out)
{
    char *end;

    if (text == NULL || text[0] < '0' || text[0] > '9') {
        return false;
    }
    errno = 0;
    *out = strtoull(text, &end, 10);
    return errno == 0 && *end == '\0' && *out >= 1 && *out <= max;
}

static bool
check_count(struct httprequest *r, struct httprefusal *why)
{
    const char *text = argument(r, "count");
    uint64_t n = 1;

    if (text != NULL && !read_number(text, KEYS_MAX, &n)) {
        return refuse(why, PROBLEM_BAD_JOB, "count is 1 to 1000");
    }
    r->count = (uint32_t)n;
    return true;
}

static bool
check_leave(struct httprequest *r, struct httprefusal *why)
{
    if (!check_upstream_name(r, why)) {
        return false;
    }
    if (!read_number(argument(r, "incarnation"), INT64_MAX, &r->incarnation)) {
        return refuse(why, PROBLEM_BAD_ANNOUNCE,
                      "the query must have incarnation=N, N from 1 up");
    }
    return true;
}

static bool
check_submit(struct httprequest *r, struct httprefusal *why)
{
    const char *prefer = header(r, "Prefer");

    r->respond_async =
        prefer != NULL && strcasestr(prefer, "respond-async") != NULL;
    return check_key(r, header(r, "Idempotency-Key"), why);
}

static bool
check_job_get(struct httprequest *r, struct httprefusal *why)
{
    const char *wait = argument(r, "wait");

    r->wait = wait != NULL && strcmp(wait, "true") == 0;
    return check_path_key(r, why);
}

/* A length that is no number is refused by libmicrohttpd. */
static bool
check_length(struct httprequest *r, size_t body_max, struct httprefusal *why)
{
    const char *length = header(r, "Content-Length");

    if (length != NULL && strtoull(length, NULL, 10) > body_max) {
        (void)snprintf(why->detail, sizeof(why->detail),
                       "a body has at most %zu bytes", body_max);
        why->problem = PROBLEM_TOO_LARGE;
        return false;
    }
    return true;
}

bool
httprequest_check(struct httprequest *r, size_t body_max,
                  struct httprefusal *why)
{
    if (r->route.kind == ROUTE_NOT_FOUND) {
        return refuse(why, PROBLEM_NOT_FOUND, "there is nothing at this path");
    }
    if (r->route.kind == ROUTE_METHOD_NOT_ALLOWED) {
        return refuse(why, PROBLEM_METHOD, r->route.allow);
    }
    if (!check_length(r, body_max, why)) {
        return false;
    }
    switch (r->route.kind) {
    case ROUTE_SUBMIT:
        return check_submit(r, why);
    case ROUTE_JOB_GET:
        return check_job_get(r, why);
    case ROUTE_JOB_CANCEL:
    case ROUTE_EXPLAIN:
        return check_path_key(r, why);
    case ROUTE_KEYS:
        return check_count(r, why);
    case ROUTE_LEAVE:
        return check_leave(r, why);
    case ROUTE_ANNOUNCE:
    case ROUTE_DRAIN:
        return check_upstream_name(r, why);
    default:
        return true;
    }
}

bool
httprequest_append(struct httprequest *r, const char *data, size_t size)
{
    if (r->body_size + size > r->body_room) {
        size_t room = 2 * (r->body_size + size);
        char *grown = realloc(r->body, room);

        if (grown == NULL) {
            return false;
        }
        r->body = grown;
        r->body_room = room;
    }
    memcpy(r->body + r->body_size, data, size);
    r->body_size += size;
    return true;
}

static struct envelope *
event_submit(struct httprequest *r, uint64_t id, struct json_refusal *why)
{
    struct job_spec *spec =
        jsonjob_read(r->body != NULL ? r->body : "", r->body_size, why);
    struct envelope *e;

    if (spec == NULL) {
        return NULL;
    }
    e = envelope_key(EV_SUBMIT, id, r->key);
    e->spec = spec;
    e->event.u.submit.spec = spec;
    e->event.u.submit.respond_async = r->respond_async;
    return e;
}

static struct envelope *
event_announce(struct httprequest *r, uint64_t id, struct json_refusal *why)
{
    struct rec_upstream_info info = {0};
    struct envelope *e;

    if (!jsonjob_read_upstream(r->body != NULL ? r->body : "", r->body_size,
                               &info, why)) {
        return NULL;
    }
    info.upstream = name_of(r->route.name);
    e = envelope_new(EV_ANNOUNCE);
    e->event.u.announce.request = id;
    e->event.u.announce.info = info;
    return e;
}

static struct envelope *
event_leave(struct httprequest *r, uint64_t id)
{
    struct envelope *e = envelope_new(EV_LEAVE);

    e->event.u.announce.request = id;
    e->event.u.announce.info.upstream = name_of(r->route.name);
    e->event.u.announce.info.incarnation = r->incarnation;
    return e;
}

static struct envelope *
event_of(struct httprequest *r, uint64_t id, struct json_refusal *why)
{
    struct envelope *e;

    switch (r->route.kind) {
    case ROUTE_SUBMIT:
        return event_submit(r, id, why);
    case ROUTE_JOB_GET:
        e = envelope_key(EV_JOB_GET, id, r->key);
        e->event.u.query.wait = r->wait;
        return e;
    case ROUTE_JOB_CANCEL:
        return envelope_key(EV_JOB_CANCEL, id, r->key);
    case ROUTE_KEYS:
        e = envelope_new(EV_MINT);
        e->event.u.mint = (struct ev_mint){id, r->count};
        return e;
    case ROUTE_ANNOUNCE:
        return event_announce(r, id, why);
    case ROUTE_LEAVE:
        return event_leave(r, id);
    case ROUTE_DRAIN:
        e = envelope_new(EV_DRAIN);
        e->event.u.drain = (struct ev_drain){id, name_of(r->route.name)};
        return e;
    case ROUTE_EXPLAIN:
        return envelope_key(EV_EXPLAIN, id, r->key);
    case ROUTE_METRICS:
        e = envelope_key(EV_DUMP, id, "");
        e->kind = ENVELOPE_METRICS;
        return e;
    default:
        return envelope_key(EV_DUMP, id, "");
    }
}

struct envelope *
httprequest_event(struct httprequest *r, uint64_t id, struct httprefusal *why)
{
    struct json_refusal refusal = {.problem = PROBLEM_INTERNAL};
    struct envelope *e = event_of(r, id, &refusal);

    if (e == NULL) {
        (void)refuse(why, refusal.problem, refusal.detail);
    }
    return e;
}

void
httprequest_free(struct httprequest *r)
{
    struct effects one = {.n = 1};

    if (r == NULL) {
        return;
    }
    one.items = &r->reply;
    effects_clear(&one);
    free(r->body);
    free(r);
}
