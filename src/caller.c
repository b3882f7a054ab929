#include "caller.h"

#include <jansson.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "clock.h"

struct caller {
    struct caller_options o;
    struct fetch *fetch;
    size_t at; /* entry instance to ask next */
    uint64_t random;
};

struct caller *
caller_new(const struct caller_options *o)
{
    struct caller *c;

    if (o->n_entries == 0) {
        return NULL;
    }
    c = calloc(1, sizeof(*c));
    if (c == NULL) {
        return NULL;
    }
    c->o = *o;
    c->random = o->seed | 1;
    if (c->o.wait == NULL) {
        c->o.wait = clock_sleep;
    }
    c->fetch = fetch_new();
    if (c->fetch == NULL) {
        free(c);
        return NULL;
    }
    return c;
}

void
caller_free(struct caller *c)
{
    if (c != NULL) {
        fetch_free(c->fetch);
        free(c);
    }
}

void
caller_use(struct caller *c, size_t entry)
{
    c->at = entry % c->o.n_entries;
}

/* In [0, 1), by Marsaglia's xorshift64. */
static double
next_random(struct caller *c)
{
    c->random ^= c->random << 13;
    c->random ^= c->random >> 7;
    c->random ^= c->random << 17;
    return (double)(c->random >> 11) / (double)(UINT64_C(1) << 53);
}

static bool
aborted(const struct caller *c)
{
    return c->o.abort != NULL && atomic_load(c->o.abort);
}

/* Sends one request until it is answered or given up, each time to the next
 * instance. */
static void
run(struct caller *c, struct fetch_request *request, const char *path,
    struct caller_result *result)
{
    struct submit_state state = {0};
    struct submit_step step;

    memset(result, 0, sizeof(*result));
    request->timeout_ms = c->o.timeout_ms;
    request->abort = c->o.abort;
    for (;;) {
        (void)snprintf(request->url, sizeof(request->url), "%s%s",
                       c->o.entries[c->at], path);
        fetch_run(c->fetch, request, &result->reply);
        if (c->o.on_attempt != NULL) {
            c->o.on_attempt(c->o.user, c->at, &result->reply);
        }
        step =
            submit_next(&c->o.submit, &state, &result->reply, next_random(c));
        if (!step.again || aborted(c)) {
            break;
        }
        fetch_reply_clear(&result->reply);
        c->at = (c->at + 1) % c->o.n_entries;
        c->o.wait(step.wait_us);
    }
    result->end = step.again ? SUBMIT_UNKNOWN : step.end;
    result->attempts = state.attempts;
}

bool
caller_mint(struct caller *c, char key[KEY_TEXT_SIZE],
            struct caller_result *result)
{
    struct fetch_request request = {.method = "GET"};
    json_t *json;
    const char *text;
    bool good;

    run(c, &request, "/v1/keys?count=1", result);
    if (result->reply.error != FETCH_OK || result->reply.status != 200) {
        return false;
    }
    json = json_loadb(result->reply.body, result->reply.size, 0, NULL);
    text = json_string_value(json_array_get(json_object_get(json, "keys"), 0));
    good = text != NULL && strlen(text) < KEY_TEXT_SIZE;
    if (good) {
        (void)snprintf(key, KEY_TEXT_SIZE, "%s", text);
    }
    json_decref(json);
    return good;
}

void
caller_submit(struct caller *c, const char *key, const char *body, size_t size,
              struct caller_result *result)
{
    char header[KEY_TEXT_SIZE + 32];
    struct fetch_request request = {
        .method = "POST",
        .headers = {"Content-Type: application/json", header},
        .body = body,
        .size = size,
    };

    (void)snprintf(header, sizeof(header), "Idempotency-Key: %s", key);
    run(c, &request, "/v1/jobs", result);
}

static void
run_on_job(struct caller *c, const char *method, const char *key,
           const char *query, struct caller_result *result)
{
    struct fetch_request request = {.method = method};
    char escaped[3 * KEY_TEXT_SIZE];
    char path[sizeof(escaped) + 32];

    fetch_escape(key, escaped, sizeof(escaped));
    (void)snprintf(path, sizeof(path), "/v1/jobs/%s%s", escaped, query);
    run(c, &request, path, result);
}

void
caller_get(struct caller *c, const char *key, bool wait,
           struct caller_result *result)
{
    run_on_job(c, "GET", key, wait ? "?wait=true" : "", result);
}

void
caller_cancel(struct caller *c, const char *key, struct caller_result *result)
{
    run_on_job(c, "DELETE", key, "", result);
}

const char *
caller_add_entries(struct caller_options *o, const char *list)
{
    return fetch_add_urls(o->entries, &o->n_entries, CALLER_ENTRIES_MAX, list)
               ? NULL
               : "at most 32 entry addresses of at most 63 bytes";
}
