/* The part of ctl.h that reads control's configurations. */
#include <stdio.h>
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
