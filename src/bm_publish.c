/*
 * bm-publish: collects the services' INI files, checks them all and publishes
 * one change, or nothing.  Exit codes are listed in enum publish_code.
 */
#include <jansson.h>
#include <popt.h>
#include <signal.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <time.h>

#include "clock.h"
#include "configdiff.h"
#include "opclient.h"
#include "publish.h"
#include "servicefile.h"

enum publish_code {
    CODE_DONE = 0,        /* accepted, or nothing to change */
    CODE_UNREACHABLE = 1, /* nothing was changed */
    CODE_USAGE = 2,
    CODE_REFUSED = 3, /* mistakes in the files, or refused by control */
    CODE_TAKEN = 4,   /* another publication was made from this base */
    CODE_UNKNOWN = 5, /* may be accepted; run again with the same id */
    CODE_LAGS = 6,    /* accepted, but not yet in force everywhere */
};

enum {
    POLL_MS = 200, /* between looks at the status */
    LAGGARDS_MAX = 64,
    REQUEST_ID_MAX = 64,
};

struct options {
    char *control;
    char *key_file;
    char *operator_name;
    char *summary;
    char *request_id;
    long long base;
    int timeout_ms;
    int wait_ms;
    int instances;
    int dry_run;
    int wait;
};

/* What is in force, as control tells it. */
struct current {
    uint64_t version;
    struct config *config;
};

static int
fail(int code, const char *what, const char *detail)
{
    (void)fprintf(stderr, "bm-publish: %s%s%s\n", what,
                  *detail != '\0' ? ": " : "", detail);
    return code;
}

static struct config *
load(const char **dirs)
{
    struct servicefile_errors errs = {0};
    struct config *config;
    size_t n = 0;

    while (dirs[n] != NULL) {
        n++;
    }
    config = servicefile_load(dirs, n, &errs);
    for (size_t i = 0; i < errs.n; i++) {
        (void)fprintf(stderr, "%s:%d: %s\n", errs.items[i].file,
                      errs.items[i].line, errs.items[i].text);
    }
    if (config == NULL) {
        (void)fprintf(stderr, "bm-publish: %zu mistakes, nothing published\n",
                      errs.total);
    }
    servicefile_errors_clear(&errs);
    return config;
}

static bool
parse_current(const json_t *json, struct current *out)
{
    struct servicefile_errors errs = {0};
    const char *text = json_string_value(json_object_get(json, "config"));

    out->version =
        (uint64_t)json_integer_value(json_object_get(json, "version"));
    if (text != NULL) {
        out->config = servicefile_parse_text(text, "in force", &errs);
    }
    servicefile_errors_clear(&errs);
    return out->config != NULL;
}

static int
get_current(struct opclient *c, struct current *out)
{
    struct opclient_request request = {"GET", "/v1/config", "", NULL};
    struct fetch_reply reply;
    json_t *json;
    bool good;

    (void)opclient_run(c, &request, &reply);
    if (reply.error != FETCH_OK || reply.status != 200) {
        (void)fprintf(stderr, "bm-publish: control: %s, status %ld\n",
                      fetch_error_text(reply.error), reply.status);
        fetch_reply_clear(&reply);
        return CODE_UNREACHABLE;
    }
    json = json_loadb(reply.body, reply.size, 0, NULL);
    good = parse_current(json, out);
    json_decref(json);
    fetch_reply_clear(&reply);
    return good
               ? CODE_DONE
               : fail(CODE_UNREACHABLE, "control's answer makes no sense", "");
}

static struct publish_rollout
ask_reach(struct opclient *c, uint64_t version,
          struct publish_lagging_instance *lag)
{
    struct opclient_request request = {"GET", "/v1/status", "", NULL};
    struct publish_rollout reach;
    struct fetch_reply reply;
    json_t *json;

    (void)opclient_run(c, &request, &reply);
    json = reply.body != NULL ? json_loadb(reply.body, reply.size, 0, NULL)
                              : NULL;
    reach = publish_list_lagging(json, version, lag, LAGGARDS_MAX);
    json_decref(json);
    fetch_reply_clear(&reply);
    return reach;
}

/* Control forgets an instance that was silent for long, and does not know one
 * that has not asked yet; --instances says how many there must be. */
static bool
everywhere(const struct options *o, const struct publish_rollout *reach)
{
    return reach->known && reach->lagging == 0 &&
           reach->in_force >= (size_t)o->instances;
}

static int
name_laggards(const struct options *o, const struct publish_rollout *reach,
              const struct publish_lagging_instance *lag)
{
    for (size_t i = 0; i < reach->lagging && i < LAGGARDS_MAX; i++) {
        (void)fprintf(
            stderr, "lags: %s in %s has version %llu, heard %lld ms ago\n",
            lag[i].instance, lag[i].zone, (unsigned long long)lag[i].version,
            (long long)lag[i].heard_ms);
    }
    (void)fprintf(stderr,
                  "bm-publish: accepted; in force at %zu instances, %zu lag, "
                  "%d wanted\n",
                  reach->in_force, reach->lagging, o->instances);
    return CODE_LAGS;
}

static int
wait_in_force(const struct options *o, struct opclient *c, uint64_t version)
{
    const struct timespec pause = {.tv_nsec = POLL_MS * 1000000L};
    struct publish_lagging_instance lag[LAGGARDS_MAX];
    int64_t began_us = clock_now(clock_real()).mono_us;
    int64_t until_us = began_us + o->wait_ms * USEC_PER_MSEC;
    struct publish_rollout reach = ask_reach(c, version, lag);

    while (!everywhere(o, &reach) &&
           clock_now(clock_real()).mono_us < until_us) {
        (void)nanosleep(&pause, NULL);
        reach = ask_reach(c, version, lag);
    }
    if (!everywhere(o, &reach)) {
        return name_laggards(o, &reach, lag);
    }
    printf("in force at %zu instances after %.1f s\n", reach.in_force,
           (double)(clock_now(clock_real()).mono_us - began_us) /
               USEC_PER_SEC);
    return CODE_DONE;
}

static char *
publication(const struct options *o, uint64_t base, const char *summary,
            const char *text)
{
    json_t *json = json_pack("{s:I, s:s, s:s, s:s}", "base_version",
                             (json_int_t)base, "request_id", o->request_id,
                             "summary", summary, "config", text);
    char *body = json_dumps(json, JSON_COMPACT);

    json_decref(json);
    return body;
}

static int
report(const struct options *o, struct opclient *c,
       const struct publish_answer *a)
{
    static const int codes[] = {
        [PUBLISH_ACCEPTED] = CODE_DONE,
        [PUBLISH_CONFLICT] = CODE_TAKEN,
        [PUBLISH_REFUSED] = CODE_REFUSED,
        [PUBLISH_UNREACHABLE] = CODE_UNREACHABLE,
        [PUBLISH_UNKNOWN] = CODE_UNKNOWN,
    };
    static const char *const texts[] = {
        [PUBLISH_CONFLICT] = "nothing was changed",
        [PUBLISH_REFUSED] = "refused, nothing was changed",
        [PUBLISH_UNREACHABLE] = "nobody took it, nothing was changed",
        [PUBLISH_UNKNOWN] = "outcome unknown; repeat with this request id",
    };

    if (a->outcome != PUBLISH_ACCEPTED) {
        (void)fprintf(stderr, "bm-publish: request id %s\n", o->request_id);
        return fail(codes[a->outcome], texts[a->outcome], a->detail);
    }
    printf("version %llu accepted%s, request id %s\n",
           (unsigned long long)a->version, a->resend ? " earlier" : "",
           o->request_id);
    return o->wait ? wait_in_force(o, c, a->version) : CODE_DONE;
}

static int
publish(const struct options *o, struct opclient *c, uint64_t base,
        const char *summary, const char *text)
{
    struct opclient_request request = {"POST", "/v1/config", "", NULL};
    struct fetch_reply reply;
    struct publish_answer answer;
    char *body = publication(o, base, summary, text);
    bool unknown;

    if (body == NULL) {
        return fail(CODE_UNREACHABLE, "out of memory", "");
    }
    request.body = body;
    unknown = opclient_run(c, &request, &reply);
    answer = publish_read(&reply, unknown);
    fetch_reply_clear(&reply);
    free(body);
    return report(o, c, &answer);
}

/* Compares with what is in force and publishes the difference. */
static int
compare_and_publish(const struct options *o, struct opclient *c,
                    const struct config *config)
{
    struct current now = {0};
    struct configdiff diff;
    char summary[DETAIL_SIZE];
    char *text = servicefile_canonical(config);
    int code = get_current(c, &now);

    if (code != CODE_DONE || text == NULL) {
        goto out;
    }
    diff = configdiff_print(now.config, config, stdout);
    configdiff_summary(&diff, summary, sizeof(summary));
    printf("against version %llu: %s\n", (unsigned long long)now.version,
           summary);
    if (o->dry_run) {
        goto out;
    }
    /* With --base the operator wants to know who came first, even where the
     * result is the same. */
    if (o->base < 0 && now.version > 0 &&
        diff.added + diff.removed + diff.changed == 0) {
        code = o->wait ? wait_in_force(o, c, now.version) : CODE_DONE;
        goto out;
    }
    code = publish(o, c, o->base >= 0 ? (uint64_t)o->base : now.version,
                   o->summary != NULL ? o->summary : summary, text);
out:
    free(text);
    config_free(now.config);
    return code;
}

static const char *
read_signer(const struct options *o, struct opsign_operators *operators,
            struct opclient_options *co)
{
    static char error[2 * DETAIL_SIZE];

    if (o->key_file == NULL) {
        return o->dry_run ? NULL : "--key-file is needed";
    }
    co->signer = opsign_choose(o->key_file, o->operator_name, operators, error,
                               sizeof(error));
    return co->signer != NULL ? NULL : error;
}

static int
start(struct options *o, const char **dirs)
{
    static struct opsign_operators operators;
    struct opclient_options co = {.timeout_ms = o->timeout_ms};
    struct config *config;
    struct opclient *c;
    const char *wrong = NULL;
    int code;

    if (dirs == NULL || o->control == NULL) {
        return fail(CODE_USAGE, "--control and a folder are needed", "");
    }
    wrong = opclient_add_addresses(&co, o->control);
    if (wrong == NULL) {
        wrong = read_signer(o, &operators, &co);
    }
    if (wrong == NULL && strlen(o->request_id) > REQUEST_ID_MAX) {
        wrong = "--request-id is longer than 64 characters";
    }
    if (wrong != NULL) {
        return fail(CODE_USAGE, wrong, "");
    }
    config = load(dirs);
    if (config == NULL) {
        return CODE_REFUSED;
    }
    c = opclient_new(&co);
    code = c != NULL ? compare_and_publish(o, c, config)
                     : fail(CODE_USAGE, "--control names nobody", "");
    opclient_free(c);
    config_free(config);
    return code;
}

int
main(int argc, const char **argv)
{
    static struct options o = {
        .base = -1, .timeout_ms = 15000, .wait_ms = 30000, .instances = 1};
    static char drawn_id[OPSIGN_NONCE_SIZE];
    int version = 0;
    struct poptOption table[] = {
        {"control", 'c', POPT_ARG_STRING, &o.control, 0,
         "members of control, tried in turn", "ADDRESS,..."},
        {"key-file", 'k', POPT_ARG_STRING, &o.key_file, 0,
         "operators' file with your key", "FILE"},
        {"operator", 'o', POPT_ARG_STRING, &o.operator_name, 0,
         "who publishes; the first in the key file where not given", "NAME"},
        {"dry-run", 'n', POPT_ARG_NONE, &o.dry_run, 0,
         "print the change against what is in force, and stop", NULL},
        {"wait", 'w', POPT_ARG_NONE, &o.wait, 0,
         "end when it is in force everywhere; names who lags", NULL},
        {"wait-ms", 0, POPT_ARG_INT | POPT_ARGFLAG_SHOW_DEFAULT, &o.wait_ms, 0,
         "longest wait", "MS"},
        {"instances", 0, POPT_ARG_INT | POPT_ARGFLAG_SHOW_DEFAULT,
         &o.instances, 0, "with --wait: at so many instances at least", "N"},
        {"base", 'b', POPT_ARG_LONGLONG, &o.base, 0,
         "version that the files were made from; the one in force where not "
         "given",
         "VERSION"},
        {"request-id", 'r', POPT_ARG_STRING, &o.request_id, 0,
         "of an earlier run whose answer was lost", "ID"},
        {"summary", 's', POPT_ARG_STRING, &o.summary, 0, "for the history",
         "TEXT"},
        {"timeout-ms", 't', POPT_ARG_INT | POPT_ARGFLAG_SHOW_DEFAULT,
         &o.timeout_ms, 0, "for one request with all its attempts", "MS"},
        {"version", 0, POPT_ARG_NONE, &version, 0, "print the version", NULL},
        POPT_AUTOHELP POPT_TABLEEND};
    poptContext ctx = poptGetContext("bm-publish", argc, argv, table, 0);
    int rc;
    int code;

    poptSetOtherOptionHelp(
        ctx, "[OPTION...] DIR...\n"
             "Exit codes: 0 accepted, 1 control not reached, 2 usage, 3 "
             "mistakes in the files or refused, 4 another publication came "
             "first, 5 unknown, 6 accepted but not yet in force everywhere");
    rc = poptGetNextOpt(ctx);
    if (rc < -1) {
        code = fail(CODE_USAGE, poptStrerror(rc), "");
    }
    else if (version) {
        printf("bm-publish %s\n", BM_VERSION);
        code = CODE_DONE;
    }
    else if (!opsign_setup()) {
        code = fail(CODE_UNREACHABLE, "libsodium cannot start", "");
    }
    else {
        (void)signal(SIGPIPE, SIG_IGN);
        (void)setvbuf(stdout, NULL, _IOLBF, 0);
        fetch_setup();
        opsign_nonce(drawn_id);
        if (o.request_id == NULL) {
            o.request_id = drawn_id;
        }
        code = start(&o, poptGetArgs(ctx));
    }
    poptFreeContext(ctx);
    return code;
}
