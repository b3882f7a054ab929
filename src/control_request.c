#include "control_request.h"

#include <jansson.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "jsontext.h"
#include "netaddr.h"

static const struct {
    const char *method;
    const char *path;
} routes[] = {
#define CONTROL_ROUTE(NAME, method, path) {method, path},
    CONTROL_ROUTE_LIST(CONTROL_ROUTE)
#undef CONTROL_ROUTE
};

enum control_route
control_route_find(const char *method, const char *path)
{
    enum control_route found = CONTROL_ROUTE_NONE;

    for (size_t i = 0; i < sizeof(routes) / sizeof(routes[0]); i++) {
        if (strcmp(routes[i].path, path) != 0) {
            continue;
        }
        if (strcmp(routes[i].method, method) == 0) {
            return (enum control_route)i;
        }
        found = CONTROL_ROUTE_METHOD;
    }
    return found;
}

bool
control_route_is_write(enum control_route route)
{
    return route == CONTROL_ROUTE_PUBLISH || route == CONTROL_ROUTE_CHANGE ||
           route == CONTROL_ROUTE_EVACUATE;
}

static void
set_rejection(struct control_rejection *why, enum control_result result,
              const char *detail)
{
    why->result = result;
    (void)snprintf(why->detail, sizeof(why->detail), "%s", detail);
}

/* Requests. */
static struct control_mail *
parse_publish(json_t *root, struct name publisher,
              struct control_rejection *why)
{
    struct control_mail *m = control_mail_new(CEV_PUBLISH);
    struct cev_publish *p = &m->event.u.publish;
    json_error_t error;
    json_int_t base = 0;
    const char *id = NULL;
    const char *summary = "";
    const char *config = NULL;
    size_t size = 0;

    if (json_unpack_ex(root, &error, JSON_STRICT, "{s:I, s:s, s?s, s:s%}",
                       "base_version", &base, "request_id", &id, "summary",
                       &summary, "config", &config, &size) != 0 ||
        base < 0) {
        set_rejection(why, CONTROL_BAD_PUBLICATION,
                      base < 0 ? "base_version is 0 or more" : error.text);
        control_mail_free(m);
        return NULL;
    }
    m->request_id = strdup(id);
    m->summary = strdup(summary);
    m->config = blob_new(config, size);
    if (m->request_id == NULL || m->summary == NULL || m->config == NULL) {
        abort();
    }
    p->publisher = publisher;
    p->base_version = (uint64_t)base;
    p->request_id = m->request_id;
    p->summary = m->summary;
    p->config = m->config;
    return m;
}

static bool
is_valid_address(const char *text)
{
    struct netaddr a;

    return strlen(text) < ADDRESS_SIZE && netaddr_parse(text, &a);
}

static const char *
check_change(const char *action, const char *member, const char *address,
             const char *http)
{
    bool add = strcmp(action, "add") == 0;

    if (!add && strcmp(action, "remove") != 0 &&
        strcmp(action, "replace") != 0) {
        return "action is add, remove or replace";
    }
    if (*member == '\0' || strlen(member) >= NAME_SIZE) {
        return "member has 1 to 47 characters";
    }
    if (add && (!is_valid_address(address) || !is_valid_address(http))) {
        return "address and http are IP:PORT";
    }
    return NULL;
}

static struct control_mail *
parse_change(json_t *root, struct control_rejection *why)
{
    struct control_mail *m;
    struct cev_change *c;
    json_error_t error;
    const char *action = NULL;
    const char *member = NULL;
    const char *address = "";
    const char *http = "";
    const char *fault;

    if (json_unpack_ex(root, &error, JSON_STRICT, "{s:s, s:s, s?s, s?s}",
                       "action", &action, "member", &member, "address",
                       &address, "http", &http) != 0) {
        set_rejection(why, CONTROL_BAD_CHANGE, error.text);
        return NULL;
    }
    fault = check_change(action, member, address, http);
    if (fault != NULL) {
        set_rejection(why, CONTROL_BAD_CHANGE, fault);
        return NULL;
    }
    m = control_mail_new(CEV_CHANGE);
    c = &m->event.u.change;
    c->action = strcmp(action, "add") == 0      ? CHANGE_ADD
                : strcmp(action, "remove") == 0 ? CHANGE_REMOVE
                                                : CHANGE_REPLACE;
    c->member = name_of(member);
    c->address = address_of(address);
    c->http = address_of(http);
    return m;
}

static struct control_mail *
parse_evacuate(json_t *root, struct name publisher,
               struct control_rejection *why)
{
    struct control_mail *m;
    json_error_t error;
    const char *zone = NULL;
    int evacuate = 0;

    if (json_unpack_ex(root, &error, JSON_STRICT, "{s:s, s:b}", "zone", &zone,
                       "evacuate", &evacuate) != 0) {
        set_rejection(why, CONTROL_BAD_CHANGE, error.text);
        return NULL;
    }
    if (*zone == '\0' || strlen(zone) >= NAME_SIZE) {
        set_rejection(why, CONTROL_BAD_CHANGE, "zone has 1 to 47 characters");
        return NULL;
    }
    m = control_mail_new(CEV_EVACUATE);
    m->event.u.evacuate.publisher = publisher;
    m->event.u.evacuate.zone = name_of(zone);
    m->event.u.evacuate.evacuate = evacuate != 0;
    return m;
}

static struct control_mail *
parse_body(enum control_route route, struct name publisher, const char *body,
           size_t size, struct control_rejection *why)
{
    json_error_t error;
    json_t *root = json_loadb(body, size, JSON_REJECT_DUPLICATES, &error);
    struct control_mail *m;

    if (root == NULL) {
        set_rejection(why, CONTROL_NOT_JSON, error.text);
        return NULL;
    }
    if (route == CONTROL_ROUTE_PUBLISH) {
        m = parse_publish(root, publisher, why);
    }
    else if (route == CONTROL_ROUTE_EVACUATE) {
        m = parse_evacuate(root, publisher, why);
    }
    else {
        m = parse_change(root, why);
    }
    json_decref(root);
    return m;
}

static struct control_mail *
make_read(enum control_route route, const struct control_query *query)
{
    struct control_mail *m = control_mail_new(CEV_READ);
    struct cev_read *r = &m->event.u.read;

    m->kind = route == CONTROL_ROUTE_METRICS ? CONTROL_MAIL_METRICS
                                             : CONTROL_MAIL_EVENT;
    r->kind = route == CONTROL_ROUTE_CONFIG    ? READ_CONFIG
              : route == CONTROL_ROUTE_HISTORY ? READ_HISTORY
              : route == CONTROL_ROUTE_STATUS  ? READ_STATUS
                                               : READ_STATE;
    r->version = query->version;
    r->limit = query->limit;
    r->local = query->local;
    return m;
}

struct control_mail *
control_request_parse(enum control_route route,
                      const struct control_query *query, struct name publisher,
                      const char *body, size_t size, uint64_t id,
                      struct control_rejection *why)
{
    struct control_mail *m;

    if (!control_route_is_write(route)) {
        m = make_read(route, query);
        m->event.u.read.request = id;
        return m;
    }
    m = parse_body(route, publisher, body != NULL ? body : "", size, why);
    if (m == NULL) {
        return NULL;
    }
    switch (route) {
    case CONTROL_ROUTE_PUBLISH:
        m->event.u.publish.request = id;
        break;
    case CONTROL_ROUTE_EVACUATE:
        m->event.u.evacuate.request = id;
        break;
    default:
        m->event.u.change.request = id;
        break;
    }
    return m;
}

/* Responses. */
static json_t *
blob_json(const struct blob *b)
{
    json_t *s = b != NULL ? json_stringn(b->data, b->size) : NULL;

    return s != NULL ? s : jsontext_lenient(b != NULL ? b->data : "");
}

static json_t *
problem_json(enum control_result result, const char *detail)
{
    json_t *o = json_object();
    char type[96];

    (void)snprintf(type, sizeof(type), "urn:boragemoor:problem:%s",
                   control_result_slug(result));
    json_object_set_new(o, "type", json_string(type));
    json_object_set_new(o, "title", json_string(control_result_title(result)));
    json_object_set_new(o, "status",
                        json_integer(control_result_status(result)));
    json_object_set_new(o, "detail", jsontext_lenient(detail));
    return o;
}

static void
add_winner_json(json_t *o, const struct ce_reply *r)
{
    const struct rec_publication *p = &r->publication.u.publication;

    json_object_set_new(o, "version", json_integer((json_int_t)r->version));
    if (r->publication.kind != MSG_PUBLICATION) {
        return;
    }
    json_object_set_new(
        o, "winner",
        json_pack("{s:I, s:o, s:I, s:o}", "version", (json_int_t)p->version,
                  "operator", jsontext_lenient(p->publisher.s), "time_us",
                  (json_int_t)p->time_us, "summary", blob_json(p->summary)));
}

static json_t *
published_json(const struct ce_reply *r)
{
    const struct rec_publication *p = &r->publication.u.publication;

    return json_pack("{s:I, s:o, s:I, s:b}", "version", (json_int_t)p->version,
                     "operator", jsontext_lenient(p->publisher.s), "time_us",
                     (json_int_t)p->time_us, "resend", r->resend ? 1 : 0);
}

static json_t *
config_json(const struct ce_reply *r)
{
    const struct rec_publication *p = &r->publication.u.publication;

    if (r->publication.kind != MSG_PUBLICATION) {
        return json_pack("{s:i, s:s}", "version", 0, "config", "");
    }
    return json_pack(
        "{s:I, s:o, s:o, s:I, s:o, s:o}", "version", (json_int_t)p->version,
        "operator", jsontext_lenient(p->publisher.s), "request_id",
        blob_json(p->request_text), "time_us", (json_int_t)p->time_us,
        "summary", blob_json(p->summary), "config", blob_json(r->config));
}

static json_t *
reply_json(enum control_route route, const struct ce_reply *r)
{
    json_t *o;

    if (r->result != CONTROL_OK) {
        o = problem_json(r->result, r->detail);
        if (r->result == CONTROL_TAKEN) {
            add_winner_json(o, r);
        }
        return o;
    }
    switch (route) {
    case CONTROL_ROUTE_PUBLISH:
        return published_json(r);
    case CONTROL_ROUTE_CONFIG:
        return config_json(r);
    default:
        return json_pack("{s:b}", "changed", r->resend ? 0 : 1);
    }
}

static struct control_response
make_response(int status, const char *type, json_t *body)
{
    struct control_response r = {.status = status, .content_type = type};

    r.body = body != NULL ? json_dumps(body, JSON_COMPACT) : NULL;
    json_decref(body);
    return r;
}

static const char *
media_type(enum control_result result)
{
    return result == CONTROL_OK ? "application/json"
                                : "application/problem+json";
}

struct control_response
control_response_from_effect(enum control_route route,
                             const struct control_effect *f, const char *path,
                             const char *query)
{
    const struct ce_reply *r = &f->u.reply;
    struct control_response out = {.status = 200};

    if (f->kind == CE_TEXT) {
        out.content_type = route == CONTROL_ROUTE_METRICS
                               ? "text/plain; version=0.0.4"
                               : "application/json";
        out.body = strdup(f->u.text.json);
        return out;
    }
    out = make_response(control_result_status(r->result),
                        media_type(r->result), reply_json(route, r));
    out.retry_after = out.status == 503;
    if (r->result == CONTROL_NOT_LEADER) {
        (void)snprintf(out.location, sizeof(out.location), "http://%s%s%s",
                       r->leader.s, path, query);
    }
    return out;
}

struct control_response
control_response_rejection(const struct control_rejection *why)
{
    return make_response(control_result_status(why->result),
                         media_type(why->result),
                         problem_json(why->result, why->detail));
}
