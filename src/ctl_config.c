/* The part of ctl.h that is about control. */
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <time.h>

#include "configdiff.h"
#include "ctl.h"
#include "servicefile.h"
#include "texttable.h"

enum { QUERY_SIZE = 64, TIME_SIZE = 32 };

static json_t *
get_version(const struct ctl_options *o, const char *version, int *code)
{
    char query[QUERY_SIZE] = "";
    long status;
    json_t *json;

    if (version != NULL) {
        (void)snprintf(query, sizeof(query), "?version=%.20s", version);
    }
    json = ctl_get(&o->control, "/v1/config", query, &status);
    *code = json != NULL  ? CTL_DONE
            : status == 0 ? CTL_UNREACHABLE
                          : CTL_NOT_FOUND;
    if (json == NULL) {
        (void)fprintf(stderr, "bmctl: configuration: %s\n",
                      status == 0     ? "control does not answer"
                      : status == 410 ? "this version is no longer kept"
                                      : "there is no such version");
    }
    return json;
}

int
ctl_config_show(const struct ctl_options *o, const char *version)
{
    int code;
    json_t *json = get_version(o, version, &code);
    const char *text = json_string_value(json_object_get(json, "config"));

    if (json != NULL && o->json) {
        (void)json_dumpf(json, stdout, JSON_INDENT(2));
        putchar('\n');
    }
    else if (json != NULL) {
        printf("; version %lld\n%s",
               json_integer_value(json_object_get(json, "version")),
               text != NULL ? text : "");
    }
    json_decref(json);
    return code;
}

static void
format_time(long long us, char out[TIME_SIZE])
{
    time_t s = (time_t)(us / USEC_PER_SEC);
    struct tm tm;

    gmtime_r(&s, &tm);
    (void)strftime(out, TIME_SIZE, "%Y-%m-%dT%H:%M:%SZ", &tm);
}

static void
show_history(const json_t *json)
{
    struct texttable *t =
        texttable_new("VERSION,TIME,OPERATOR,BYTES,KEPT,SUMMARY");
    size_t i;
    json_t *p;

    json_array_foreach(json_object_get(json, "publications"), i, p)
    {
        const char *who = json_string_value(json_object_get(p, "operator"));
        const char *what = json_string_value(json_object_get(p, "summary"));
        char when[TIME_SIZE];

        format_time(json_integer_value(json_object_get(p, "time_us")), when);
        texttable_cell(t, "%lld",
                       json_integer_value(json_object_get(p, "version")));
        texttable_cell(t, "%s", when);
        texttable_cell(t, "%s", who != NULL ? who : "");
        texttable_cell(t, "%lld",
                       json_integer_value(json_object_get(p, "bytes")));
        texttable_cell(
            t, "%s", json_is_true(json_object_get(p, "kept")) ? "yes" : "no");
        texttable_cell(t, "%s", what != NULL ? what : "");
    }
    texttable_print(t, stdout);
    texttable_free(t);
}

int
ctl_config_history(const struct ctl_options *o)
{
    long status;
    json_t *json = ctl_get(&o->control, "/v1/config/history", "", &status);

    if (json == NULL) {
        (void)fprintf(stderr, "bmctl: control does not answer\n");
        return CTL_UNREACHABLE;
    }
    if (o->json) {
        (void)json_dumpf(json, stdout, JSON_INDENT(2));
        putchar('\n');
    }
    else {
        show_history(json);
    }
    json_decref(json);
    return CTL_DONE;
}

static struct config *
parse_version(const struct ctl_options *o, const char *version, int *code)
{
    struct servicefile_errors errs = {0};
    json_t *json = get_version(o, version, code);
    const char *text = json_string_value(json_object_get(json, "config"));
    struct config *config =
        text != NULL ? servicefile_parse_text(text, "control", &errs) : NULL;

    if (json != NULL && config == NULL) {
        (void)fprintf(stderr, "bmctl: control's text makes no sense here\n");
        *code = CTL_NOT_FOUND;
    }
    servicefile_errors_clear(&errs);
    json_decref(json);
    return config;
}

int
ctl_config_diff(const struct ctl_options *o, const char *from, const char *to)
{
    int code;
    struct config *old = parse_version(o, from, &code);
    struct config *new = code == CTL_DONE ? parse_version(o, to, &code) : NULL;

    if (old != NULL && new != NULL) {
        struct configdiff diff = configdiff_print(old, new, stdout);
        char summary[DETAIL_SIZE];

        configdiff_summary(&diff, summary, sizeof(summary));
        printf("%s\n", summary);
    }
    config_free(old);
    config_free(new);
    return code;
}

static char *
member_change(const char *action, const char *name, const char *address,
              const char *http)
{
    json_t *json = json_pack("{s:s, s:s}", "action", action, "member", name);
    char *body;

    if (address != NULL && http != NULL) {
        (void)json_object_set_new(json, "address", json_string(address));
        (void)json_object_set_new(json, "http", json_string(http));
    }
    body = json_dumps(json, JSON_COMPACT);
    json_decref(json);
    return body;
}

static int
change_code(const struct fetch_reply *reply, bool unknown)
{
    if (reply->error == FETCH_OK && reply->status == 200) {
        return CTL_DONE;
    }
    if (unknown) {
        return CTL_UNKNOWN;
    }
    return reply->error == FETCH_OK && reply->status < 500 ? CTL_REFUSED
                                                           : CTL_UNREACHABLE;
}

/* Sends a change, takes ownership of @body and prints the outcome. */
static int
send_change(const struct ctl_options *o, const char *path, char *body,
            const char *action, const char *name)
{
    struct opclient_request request = {"POST", path, "", body};
    struct opclient *c = opclient_new(&o->control);
    struct fetch_reply reply;
    bool unknown;
    int code;

    if (c == NULL || body == NULL) {
        opclient_free(c);
        free(body);
        return CTL_UNREACHABLE;
    }
    unknown = opclient_run(c, &request, &reply);
    code = change_code(&reply, unknown);
    if (code == CTL_DONE) {
        printf("%s %s: changed\n", action, name);
    }
    else {
        (void)fprintf(stderr, "bmctl: %s %s: %s, status %ld %s\n", action,
                      name,
                      code == CTL_UNKNOWN ? "outcome unknown" : "not changed",
                      reply.status, reply.body != NULL ? reply.body : "");
    }
    fetch_reply_clear(&reply);
    opclient_free(c);
    free(body);
    return code;
}

int
ctl_member(const struct ctl_options *o, const char *action, const char *name,
           const char *address, const char *http)
{
    return send_change(o, "/v1/members",
                       member_change(action, name, address, http), action,
                       name);
}

/* Evacuations of zones. */

static bool
is_evacuated(const json_t *status, const char *zone)
{
    size_t i;
    json_t *e;

    json_array_foreach(json_object_get(status, "evacuated"), i, e)
    {
        const char *name = json_string_value(json_object_get(e, "zone"));

        if (name != NULL && strcmp(name, zone) == 0) {
            return true;
        }
    }
    return false;
}

static bool
all_zones_evacuated(const json_t *status)
{
    const json_t *zones = json_object_get(status, "zones");
    size_t i;
    json_t *zone;

    json_array_foreach(zones, i, zone)
    {
        if (!is_evacuated(status, json_string_value(zone))) {
            return false;
        }
    }
    return json_array_size(zones) > 0;
}

static void
warn_if_all_evacuated(const struct ctl_options *o)
{
    long code;
    json_t *status = ctl_get(&o->control, "/v1/status", "", &code);

    if (all_zones_evacuated(status)) {
        (void)fprintf(stderr, "bmctl: all zones are evacuated: "
                              "no task is started anywhere\n");
    }
    json_decref(status);
}

int
ctl_evacuate(const struct ctl_options *o, const char *zone, bool end)
{
    json_t *json =
        json_pack("{s:s, s:b}", "zone", zone, "evacuate", end ? 0 : 1);
    char *body = json != NULL ? json_dumps(json, JSON_COMPACT) : NULL;
    int code;

    json_decref(json);
    code = send_change(o, "/v1/evacuations", body,
                       end ? "evacuate --end" : "evacuate", zone);
    if (code == CTL_DONE && !end) {
        warn_if_all_evacuated(o);
    }
    return code;
}

static void
show_evacuated(const json_t *status)
{
    struct texttable *t = texttable_new("ZONE,SINCE,OPERATOR");
    size_t i;
    json_t *e;

    json_array_foreach(json_object_get(status, "evacuated"), i, e)
    {
        const char *zone = json_string_value(json_object_get(e, "zone"));
        const char *who = json_string_value(json_object_get(e, "operator"));
        char when[TIME_SIZE];

        format_time(json_integer_value(json_object_get(e, "time_us")), when);
        texttable_cell(t, "%s", zone != NULL ? zone : "");
        texttable_cell(t, "%s", when);
        texttable_cell(t, "%s", who != NULL ? who : "");
    }
    texttable_print(t, stdout);
    texttable_free(t);
}

/* Names the instances that do not know the evacuated zones yet. */
static int
show_behind(const json_t *status)
{
    json_int_t revision =
        json_integer_value(json_object_get(status, "evacuation_revision"));
    int behind = 0;
    size_t i;
    json_t *f;

    json_array_foreach(json_object_get(status, "followers"), i, f)
    {
        const char *name = json_string_value(json_object_get(f, "instance"));

        if (json_integer_value(json_object_get(f, "evacuation")) < revision) {
            printf("not in force yet at %s\n", name != NULL ? name : "");
            behind++;
        }
    }
    return behind;
}

int
ctl_evacuation_status(const struct ctl_options *o)
{
    long code;
    json_t *status = ctl_get(&o->control, "/v1/status", "", &code);
    int behind = 0;

    if (status == NULL) {
        (void)fprintf(stderr, "bmctl: control does not answer\n");
        return CTL_UNREACHABLE;
    }
    if (o->json) {
        (void)json_dumpf(json_object_get(status, "evacuated"), stdout,
                         JSON_INDENT(2));
        putchar('\n');
    }
    else {
        show_evacuated(status);
        behind = show_behind(status);
    }
    json_decref(status);
    return behind > 0 ? CTL_LAGS : CTL_DONE;
}
