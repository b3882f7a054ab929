#include "fakeworker.h"

#include <stdlib.h>
#include <string.h>

#include "array.h"
#include "base.h"

enum {
    CPU_MILLI = 32000,
    TASK_MILLI = 14000,
    MEMORY_MB = 65536,
    SLOTS = 8,
    LEASE_MAX_MS = 1000,
    STOP_MS = 50, /* as long as a stop may take */
    CONNECTIONS = 64,
    IDLE_S = 60,
    BODY_MAX = 65536,
    STATUS_OK = 200,
    STATUS_BAD = 400,
    STATUS_NOT_FOUND = 404,
    STATUS_CONFLICT = 409,
};

/* A start that gets no answer now. */
struct delayed {
    json_t *body;
    int64_t due_us;
};

struct fakeworker {
    struct fakeworker_options opts;
    struct httpapi *api;
    int64_t now_us;
    int64_t born_us;
    int64_t born_ms;
    uint64_t sequence;
    uint64_t fence;
    int64_t deadline_ms;
    struct fakeworker_run *runs;
    size_t n_runs;
    size_t room;
    size_t first; /* of this life */
    uint64_t last_number;
    uint64_t noted;
    uint64_t look; /* request that waits; 0 for none */
    int64_t look_due_us;
    unsigned int starts;
    bool hangs;
    bool leaves;
    struct delayed *delayed;
    size_t n_delayed;
    size_t delayed_room;
};

static int64_t
clock_ms(const struct fakeworker *w)
{
    return (w->now_us - w->born_us) / USEC_PER_MSEC + 1;
}

static void
reply(struct fakeworker *w, uint64_t number, int status, json_t *body)
{
    struct httpapi_response r = {.status = status};

    (void)json_object_set_new(body, "clock-ms", json_integer(clock_ms(w)));
    r.body = json_dumps(body, JSON_COMPACT);
    json_decref(body);
    httpapi_reply(w->api, number, &r);
}

static void
conflict(struct fakeworker *w, uint64_t number, const char *reason)
{
    reply(w, number, STATUS_CONFLICT, json_pack("{s:s}", "reason", reason));
}

/* Runs */

static void
end_run(struct fakeworker *w, struct fakeworker_run *r, const char *how)
{
    r->ended_us = w->now_us;
    r->number = ++w->last_number;
    (void)snprintf(r->how, sizeof(r->how), "%s", how);
}

static struct fakeworker_run *
find_running(struct fakeworker *w, const char *task, uint64_t run)
{
    for (size_t i = w->first; i < w->n_runs; i++) {
        struct fakeworker_run *r = &w->runs[i];

        if (r->ended_us == 0 && r->run == run && strcmp(r->task, task) == 0) {
            return r;
        }
    }
    return NULL;
}

static bool
too_old(const struct fakeworker *w, const char *task, uint64_t run)
{
    for (size_t i = w->first; i < w->n_runs; i++) {
        const struct fakeworker_run *r = &w->runs[i];

        if (r->ended_us != 0 && r->run >= run && strcmp(r->task, task) == 0) {
            return true;
        }
    }
    return false;
}

static unsigned int
count_running(const struct fakeworker *w)
{
    unsigned int n = 0;

    for (size_t i = w->first; i < w->n_runs; i++) {
        n += w->runs[i].ended_us == 0 ? 1 : 0;
    }
    return n;
}

static struct fakeworker_run *
add_run(struct fakeworker *w, const char *task, uint64_t run)
{
    struct fakeworker_run *r;

    w->runs = array_grow(w->runs, w->n_runs, &w->room, sizeof(*w->runs));
    r = &w->runs[w->n_runs++];
    memset(r, 0, sizeof(*r));
    (void)snprintf(r->task, sizeof(r->task), "%s", task);
    r->run = run;
    r->begun_us = w->now_us;
    return r;
}

static void
extend(struct fakeworker *w, const json_t *body)
{
    int64_t asked = json_integer_value(json_object_get(body, "deadline-ms"));
    int64_t most = clock_ms(w) + LEASE_MAX_MS;

    asked = asked < most ? asked : most;
    w->deadline_ms = asked > w->deadline_ms ? asked : w->deadline_ms;
}

/* NULL, or why the start is refused. */
static const char *
start(struct fakeworker *w, const json_t *body)
{
    const char *task = json_string_value(json_object_get(body, "task"));
    const char *spec = json_string_value(json_object_get(body, "spec"));
    uint64_t run = (uint64_t)json_integer_value(json_object_get(body, "run"));
    struct fakeworker_run *r;

    extend(w, body);
    if (find_running(w, task, run) != NULL) {
        return NULL;
    }
    if (too_old(w, task, run)) {
        return "old";
    }
    if (clock_ms(w) >
        json_integer_value(json_object_get(body, "deadline-ms"))) {
        return "late";
    }
    if ((count_running(w) + 1) * TASK_MILLI > CPU_MILLI) {
        return "room";
    }
    r = add_run(w, task, run);
    r->whole_us = strtoll(spec, NULL, 10) * USEC_PER_MSEC;
    r->due_us = w->now_us + r->whole_us;
    return NULL;
}

static void
on_start(struct fakeworker *w, uint64_t number, json_t *body)
{
    const char *refused;
    struct delayed *d;

    w->starts++;
    if (w->opts.delays_in > 0 && w->starts % w->opts.delays_in == 0) {
        w->delayed = array_grow(w->delayed, w->n_delayed, &w->delayed_room,
                                sizeof(*w->delayed));
        d = &w->delayed[w->n_delayed++];
        d->body = json_incref(body);
        d->due_us = w->now_us + w->opts.delay_us;
        return;
    }
    refused = start(w, body);
    if (refused != NULL) {
        conflict(w, number, refused);
        return;
    }
    reply(w, number, STATUS_OK, json_object());
}

static void
on_stop(struct fakeworker *w, uint64_t number, const json_t *body)
{
    const char *task = json_string_value(json_object_get(body, "task"));
    uint64_t run = (uint64_t)json_integer_value(json_object_get(body, "run"));
    struct fakeworker_run *r = find_running(w, task, run);

    if (r != NULL && r->stop_us == 0) {
        r->stop_us = w->now_us + STOP_MS * USEC_PER_MSEC;
    }
    if (r == NULL && !too_old(w, task, run)) {
        /* Refused from now on. */
        end_run(w, add_run(w, task, run), "stopped");
    }
    reply(w, number, STATUS_OK, json_object());
}

static void
answer_look(struct fakeworker *w)
{
    json_t *running = json_array();
    json_t *ended = json_array();
    uint64_t number = w->look;

    w->look = 0;
    for (size_t i = w->first; i < w->n_runs; i++) {
        const struct fakeworker_run *r = &w->runs[i];
        int64_t ran = r->whole_us - (r->due_us - w->now_us);

        if (r->ended_us == 0) {
            (void)json_array_append_new(
                running,
                json_pack("[s,I,s,I]", r->task, (json_int_t)r->run, "",
                          (json_int_t)(100 * ran / (r->whole_us + 1))));
        }
        else if (r->number > w->noted) {
            (void)json_array_append_new(
                ended, json_pack("[I,s,I,s,s]", (json_int_t)r->number, r->task,
                                 (json_int_t)r->run, r->how, ""));
        }
    }
    reply(w, number, STATUS_OK,
          json_pack("{s:o,s:o,s:I}", "running", running, "finished", ended,
                    "born", (json_int_t)w->born_ms));
}

static bool
has_news(const struct fakeworker *w)
{
    return w->last_number > w->noted;
}

static void
on_look(struct fakeworker *w, uint64_t number, const json_t *body)
{
    if (w->look != 0) {
        answer_look(w);
    }
    w->noted =
        (uint64_t)json_integer_value(json_object_get(body, "last-seen"));
    if (json_object_get(body, "deadline-ms") != NULL) {
        extend(w, body);
    }
    w->look = number;
    w->look_due_us =
        w->now_us +
        json_integer_value(json_object_get(body, "wait-ms")) * USEC_PER_MSEC;
    if (has_news(w) || w->look_due_us <= w->now_us) {
        answer_look(w);
    }
}

static enum httpapi_handled
handle(void *ctx, const struct httpapi_request *r)
{
    struct fakeworker *w = ctx;
    json_t *body = json_loadb(r->body, r->size, 0, NULL);
    uint64_t fence =
        (uint64_t)json_integer_value(json_object_get(body, "fencing-token"));
    struct httpapi_response bad = {.status = STATUS_BAD};

    if (body == NULL) {
        httpapi_reply(w->api, r->number, &bad);
        return HTTPAPI_TAKEN;
    }
    if (fence < w->fence) {
        conflict(w, r->number, "fence");
    }
    else if (strcmp(r->path, "/v1/run-start") == 0) {
        w->fence = fence;
        on_start(w, r->number, body);
    }
    else if (strcmp(r->path, "/v1/run-stop") == 0) {
        w->fence = fence;
        on_stop(w, r->number, body);
    }
    else if (strcmp(r->path, "/v1/hold") == 0) {
        w->fence = fence;
        on_look(w, r->number, body);
    }
    else {
        bad.status = STATUS_NOT_FOUND;
        httpapi_reply(w->api, r->number, &bad);
    }
    json_decref(body);
    return HTTPAPI_TAKEN;
}

static void
gone(void *ctx, uint64_t number)
{
    struct fakeworker *w = ctx;

    w->look = w->look == number ? 0 : w->look;
}

/* Time */

/* Ends are recorded for when they fell due, not for when they were noticed:
 * runs that follow one another at two workers would seem to overlap. */
static void
pass_runs(struct fakeworker *w)
{
    int64_t lapse_us = w->born_us + (w->deadline_ms - 1) * USEC_PER_MSEC;

    for (size_t i = w->first; i < w->n_runs; i++) {
        struct fakeworker_run *r = &w->runs[i];
        bool stops =
            r->stop_us != 0 && r->stop_us < r->due_us && r->stop_us < lapse_us;
        bool done = r->due_us <= lapse_us;
        int64_t end_us = stops ? r->stop_us : done ? r->due_us : lapse_us;

        if (r->ended_us == 0 && w->now_us >= end_us) {
            end_run(w, r, stops ? "stopped" : done ? "done" : "lapsed");
            r->ended_us = end_us > r->begun_us ? end_us : r->begun_us;
        }
    }
}

static void
pass_delayed(struct fakeworker *w)
{
    for (size_t i = w->n_delayed; i > 0; i--) {
        struct delayed d = w->delayed[i - 1];
        uint64_t fence = (uint64_t)json_integer_value(
            json_object_get(d.body, "fencing-token"));

        if (d.due_us > w->now_us) {
            continue;
        }
        if (fence >= w->fence) {
            (void)start(w, d.body);
        }
        json_decref(d.body);
        w->delayed[i - 1] = w->delayed[--w->n_delayed];
    }
}

void
fakeworker_hang(struct fakeworker *w, bool hangs)
{
    w->hangs = hangs;
}

void
fakeworker_leave(struct fakeworker *w)
{
    w->leaves = true;
}

bool
fakeworker_leaves(const struct fakeworker *w)
{
    return w->leaves;
}

/* What hangs is due later by the time that it hung. */
static void
put_off(struct fakeworker *w, int64_t us)
{
    for (size_t i = w->first; i < w->n_runs; i++) {
        if (w->runs[i].ended_us == 0) {
            w->runs[i].due_us += us;
        }
    }
}

void
fakeworker_poll(struct fakeworker *w, int64_t now_us)
{
    if (w->hangs) {
        put_off(w, now_us - w->now_us);
    }
    w->now_us = now_us;
    pass_runs(w);
    pass_delayed(w);
    httpapi_run(w->api);
    if (w->look != 0 && (has_news(w) || w->now_us >= w->look_due_us)) {
        answer_look(w);
    }
    httpapi_run(w->api);
}

static void
begin_life(struct fakeworker *w, int64_t now_us)
{
    w->now_us = now_us;
    w->born_us = now_us;
    w->born_ms = w->born_ms != 0 ? w->born_ms + 1 : now_us / USEC_PER_MSEC + 1;
    w->sequence = 0;
    w->fence = 0;
    w->deadline_ms = 0;
    w->last_number = 0;
    w->noted = 0;
    w->first = w->n_runs;
    w->leaves = false;
}

void
fakeworker_reborn(struct fakeworker *w, int64_t now_us)
{
    w->now_us = now_us;
    for (size_t i = w->first; i < w->n_runs; i++) {
        if (w->runs[i].ended_us == 0) {
            end_run(w, &w->runs[i], "broken");
        }
        w->runs[i].over = true;
    }
    begin_life(w, now_us);
}

char *
fakeworker_beat(struct fakeworker *w, int64_t now_us)
{
    json_t *beat;
    char *text;

    w->now_us = now_us;
    beat = json_pack(
        "{s:s,s:s,s:s,s:s,s:i,s:s,s:i,s:{s:i,s:i,s:i},s:[s],s:I,s:I,s:I}",
        "service", "demo", "address", w->opts.address, "zone", w->opts.zone,
        "version", "v1", "slots", SLOTS, "state",
        w->leaves ? "draining" : "ready", "cold-remaining-ms", 0, "capacity",
        "cpu", CPU_MILLI, "mem-mb", MEMORY_MB, "gpu", 0, "labels", "a",
        "clock-ms", (json_int_t)clock_ms(w), "sequence",
        (json_int_t)++w->sequence, "born", (json_int_t)w->born_ms);
    text = json_dumps(beat, JSON_COMPACT);
    json_decref(beat);
    return text;
}

const char *
fakeworker_id(const struct fakeworker *w)
{
    return w->opts.id;
}

const struct fakeworker_run *
fakeworker_runs(const struct fakeworker *w, size_t *n)
{
    *n = w->n_runs;
    return w->runs;
}

struct fakeworker *
fakeworker_new(const struct fakeworker_options *o, int64_t now_us)
{
    struct fakeworker *w = calloc(1, sizeof(*w));
    struct httpapi_options api = {
        .listen = o->listen,
        .connections = CONNECTIONS,
        .idle_timeout_s = IDLE_S,
        .body_max = BODY_MAX,
        .body_bytes_max = (size_t)CONNECTIONS * BODY_MAX,
        .external = true,
        .handle = handle,
        .gone = gone,
        .ctx = w,
    };

    if (w == NULL) {
        return NULL;
    }
    w->opts = *o;
    begin_life(w, now_us);
    w->api = httpapi_new(&api);
    if (w->api == NULL) {
        free(w);
        return NULL;
    }
    return w;
}

void
fakeworker_free(struct fakeworker *w)
{
    if (w == NULL) {
        return;
    }
    httpapi_free(w->api);
    for (size_t i = 0; i < w->n_delayed; i++) {
        json_decref(w->delayed[i].body);
    }
    free(w->delayed);
    free(w->runs);
    free(w);
}
