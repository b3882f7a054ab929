/*
 * bm-submit: submits a job, waits and prints the whole answer; asks for one
 * again; cancels.  Exit codes are listed in enum submit_code.
 */
#include <jansson.h>
#include <popt.h>
#include <signal.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "caller.h"
#include "clock.h"
#include "log.h"

enum submit_code {
    CODE_COMPLETE = 0,
    CODE_FAILED = 1,  /* answered: failed */
    CODE_USAGE = 2,   /* a mistake on the command line or in the input */
    CODE_REFUSED = 3, /* these requests started nothing; "started" in the
                         printed problem says whether anything ever did */
    CODE_UNKNOWN = 4, /* given up; some of it may have been started */
};

struct options {
    char *entries;
    char *service;
    char *tasks;
    char *payload;
    char *key;
    char *cancel;
    char *get;
    int repeat;
    int deadline_ms;
    int timeout_ms;
    int attempts;
    int idempotent;
    int no_wait;
    int quiet;
};

static const int codes[] = {
    [SUBMIT_COMPLETE] = CODE_COMPLETE, [SUBMIT_FAILED] = CODE_FAILED,
    [SUBMIT_NOT_RUN] = CODE_REFUSED,   [SUBMIT_REFUSED] = CODE_REFUSED,
    [SUBMIT_UNKNOWN] = CODE_UNKNOWN,   [SUBMIT_RUNNING] = CODE_UNKNOWN,
};

static int
usage(const char *what)
{
    (void)fprintf(stderr, "bm-submit: %s; see bm-submit --help\n", what);
    return CODE_USAGE;
}

static json_t *
read_tasks(const char *path)
{
    json_error_t err;
    json_t *tasks = strcmp(path, "-") == 0 ? json_loadf(stdin, 0, &err)
                                           : json_load_file(path, 0, &err);

    if (tasks == NULL) {
        (void)fprintf(stderr, "bm-submit: %s:%d: %s\n", path, err.line,
                      err.text);
    }
    else if (!json_is_array(tasks)) {
        (void)fprintf(stderr, "bm-submit: %s: not an array of tasks\n", path);
        json_decref(tasks);
        tasks = NULL;
    }
    return tasks;
}

static json_t *
repeat_payload(const char *text, int repeat)
{
    json_t *payload = json_loads(text, JSON_DECODE_ANY, NULL);
    json_t *tasks = json_array();

    if (payload == NULL) {
        (void)fprintf(stderr, "bm-submit: --payload is not JSON\n");
        json_decref(tasks);
        return NULL;
    }
    for (int i = 0; i < repeat; i++) {
        (void)json_array_append_new(tasks,
                                    json_pack("{s:O}", "payload", payload));
    }
    json_decref(payload);
    return tasks;
}

/* The body of the job, or NULL after saying what is wrong. */
static char *
build_body(const struct options *o)
{
    json_t *tasks = o->payload != NULL ? repeat_payload(o->payload, o->repeat)
                                       : read_tasks(o->tasks);
    json_t *job;
    char *body;

    if (tasks == NULL) {
        return NULL;
    }
    job = json_pack("{s:s, s:o}", "service", o->service, "tasks", tasks);
    if (o->deadline_ms > 0) {
        (void)json_object_set_new(job, "deadline_ms",
                                  json_integer(o->deadline_ms));
    }
    if (o->idempotent) {
        (void)json_object_set_new(job, "idempotent", json_true());
    }
    body = json_dumps(job, JSON_COMPACT);
    json_decref(job);
    return body;
}

static void
print_reply(const struct fetch_reply *reply)
{
    json_t *json = reply->body != NULL
                       ? json_loadb(reply->body, reply->size, 0, NULL)
                       : NULL;

    if (json != NULL) {
        (void)json_dumpf(json, stdout, JSON_INDENT(2));
        putchar('\n');
    }
    json_decref(json);
}

static int
finish(const struct options *o, const char *key, struct caller_result *result)
{
    print_reply(&result->reply);
    if (!o->quiet && result->end != SUBMIT_COMPLETE) {
        (void)fprintf(stderr,
                      "bm-submit: %s after %u attempts, key %s: %s, "
                      "status %ld\n",
                      submit_end_text(result->end), result->attempts, key,
                      fetch_error_text(result->reply.error),
                      result->reply.status);
    }
    fetch_reply_clear(&result->reply);
    return codes[result->end];
}

static int
submit(const struct options *o, struct caller *c)
{
    struct caller_result result;
    char key[KEY_TEXT_SIZE];
    char *body = build_body(o);
    int code;

    if (body == NULL) {
        return CODE_USAGE;
    }
    if (o->key != NULL) {
        (void)snprintf(key, sizeof(key), "%s", o->key);
    }
    else if (!caller_mint(c, key, &result)) {
        (void)fprintf(stderr, "bm-submit: no key: %s, status %ld\n",
                      fetch_error_text(result.reply.error),
                      result.reply.status);
        fetch_reply_clear(&result.reply);
        free(body);
        return CODE_REFUSED;
    }
    else {
        fetch_reply_clear(&result.reply);
    }
    caller_submit(c, key, body, strlen(body), &result);
    code = finish(o, key, &result);
    free(body);
    return code;
}

static int
work(const struct options *o, struct caller *c)
{
    struct caller_result result;

    if (o->cancel != NULL) {
        caller_cancel(c, o->cancel, &result);
        return finish(o, o->cancel, &result);
    }
    if (o->get != NULL) {
        caller_get(c, o->get, !o->no_wait, &result);
        return finish(o, o->get, &result);
    }
    return submit(o, c);
}

static const char *
check_options(const struct options *o)
{
    int jobs = (o->tasks != NULL) + (o->payload != NULL);
    int modes = (jobs > 0) + (o->cancel != NULL) + (o->get != NULL);

    if (o->entries == NULL) {
        return "--entry is needed";
    }
    if (modes != 1 || jobs > 1) {
        return "one of --tasks, --payload, --get and --cancel is needed";
    }
    if (jobs == 1 && o->service == NULL) {
        return "--service is needed";
    }
    if (o->key != NULL && strlen(o->key) >= KEY_TEXT_SIZE) {
        return "--key is longer than 128 bytes";
    }
    if (o->repeat < 1 || o->repeat > JOB_TASKS_MAX) {
        return "--repeat is 1 to 250";
    }
    if (o->timeout_ms < 1 || o->attempts < 1 || o->attempts > 100) {
        return "--timeout-ms is 1 and up, --attempts 1 to 100";
    }
    return NULL;
}

static int
start(const struct options *o)
{
    struct caller_options co = {.submit = submit_options_default()};
    const char *wrong = check_options(o);
    struct caller *c;
    int code;

    if (wrong == NULL) {
        wrong = caller_add_entries(&co, o->entries);
    }
    if (wrong != NULL) {
        return usage(wrong);
    }
    co.submit.attempts_max = (uint32_t)o->attempts;
    co.timeout_ms = o->timeout_ms;
    co.seed = (uint64_t)clock_now(clock_real()).wall_us;
    c = caller_new(&co);
    if (c == NULL) {
        return usage("--entry names no instance");
    }
    code = work(o, c);
    caller_free(c);
    return code;
}

int
main(int argc, const char **argv)
{
    static struct options o = {
        .repeat = 1, .timeout_ms = 30000, .attempts = 7};
    int version = 0;
    struct poptOption table[] = {
        {"entry", 'e', POPT_ARG_STRING, &o.entries, 0,
         "entry instances, tried in turn", "ADDRESS,..."},
        {"service", 's', POPT_ARG_STRING, &o.service, 0,
         "service that runs the job", "NAME"},
        {"tasks", 't', POPT_ARG_STRING, &o.tasks, 0,
         "JSON array of tasks; - for standard input", "FILE"},
        {"payload", 'p', POPT_ARG_STRING, &o.payload, 0,
         "payload of the task, in place of --tasks", "JSON"},
        {"repeat", 'n', POPT_ARG_INT | POPT_ARGFLAG_SHOW_DEFAULT, &o.repeat, 0,
         "that many tasks with the payload", "N"},
        {"deadline-ms", 'd', POPT_ARG_INT, &o.deadline_ms, 0,
         "deadline of the job", "MS"},
        {"idempotent", 0, POPT_ARG_NONE, &o.idempotent, 0,
         "a task may run again when it is unknown whether it did", NULL},
        {"key", 'k', POPT_ARG_STRING, &o.key, 0,
         "key of the job; one is asked for where there is none", "KEY"},
        {"get", 'g', POPT_ARG_STRING, &o.get, 0, "ask for a job again", "KEY"},
        {"no-wait", 0, POPT_ARG_NONE, &o.no_wait, 0,
         "with --get: answer at once, running or not", NULL},
        {"cancel", 'c', POPT_ARG_STRING, &o.cancel, 0, "cancel a job", "KEY"},
        {"timeout-ms", 0, POPT_ARG_INT | POPT_ARGFLAG_SHOW_DEFAULT,
         &o.timeout_ms, 0, "for one attempt", "MS"},
        {"attempts", 0, POPT_ARG_INT | POPT_ARGFLAG_SHOW_DEFAULT, &o.attempts,
         0, "in all, under one key", "N"},
        {"quiet", 'q', POPT_ARG_NONE, &o.quiet, 0,
         "say nothing on standard error about refusals", NULL},
        {"version", 0, POPT_ARG_NONE, &version, 0, "print the version", NULL},
        POPT_AUTOHELP POPT_TABLEEND};
    poptContext ctx = poptGetContext("bm-submit", argc, argv, table, 0);
    int rc;
    int code;

    poptSetOtherOptionHelp(
        ctx, "[OPTION...]\n"
             "Exit codes: 0 complete, 1 failed, 2 usage, 3 refused, "
             "started nothing, 4 unknown or still running");
    rc = poptGetNextOpt(ctx);
    if (rc < -1) {
        code = usage(poptStrerror(rc));
    }
    else if (poptPeekArg(ctx) != NULL) {
        code = usage("there are arguments that mean nothing");
    }
    else if (version) {
        printf("bm-submit %s\n", BM_VERSION);
        code = CODE_COMPLETE;
    }
    else {
        (void)signal(SIGPIPE, SIG_IGN);
        fetch_setup();
        code = start(&o);
    }
    poptFreeContext(ctx);
    return code;
}
