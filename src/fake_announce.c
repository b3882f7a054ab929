#include "fake_announce.h"

#include <jansson.h>
#include <pthread.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <time.h>

#include "fetch.h"
#include "log.h"

enum {
    TRY_TIMEOUT_MS = 1000,   /* one announcement */
    RETRY_MS = 200,          /* after every instance failed */
    RENEW_FALLBACK_MS = 1000 /* where the answer says nothing usable */
};

struct fake_announce {
    struct fake_announce_options o;
    struct fetch *fetch;
    pthread_t thread;
    pthread_mutex_t lock;
    pthread_cond_t wake;
    bool leaving; /* under the lock */
    size_t at;    /* entry instance that took the last one */
    int taken;    /* the last announcement; -1 before the first */
};

static char *
announcement(const struct fake_announce *a)
{
    const struct fake_announce_options *o = &a->o;
    json_t *json = json_pack(
        "{s:I, s:s, s:s, s:s, s:I, s:I, s:f, s:I, s:I, s:I}", "incarnation",
        (json_int_t)o->incarnation, "address", o->address.s, "zone", o->zone.s,
        "service", o->service.s, "slots", (json_int_t)o->slots, "connections",
        (json_int_t)o->connections, "cpus", (double)o->have.cpu_milli / 1000,
        "memory_mb", (json_int_t)o->have.memory_mb, "accelerators",
        (json_int_t)o->have.accelerators, "busy",
        (json_int_t)fake_server_running(o->server));
    char *text;

    if (!name_empty(o->rack)) {
        (void)json_object_set_new(json, "rack", json_string(o->rack.s));
    }
    text = json_dumps(json, JSON_COMPACT);
    json_decref(json);
    return text;
}

/* One request to the instance at @at; true when it answered 2xx. */
static bool
ask(struct fake_announce *a, const char *method, const char *query,
    const char *body, struct fetch_reply *reply)
{
    struct fetch_request request = {
        .method = method,
        .headers = {body != NULL ? "Content-Type: application/json" : NULL},
        .body = body,
        .size = body != NULL ? strlen(body) : 0,
        .timeout_ms = TRY_TIMEOUT_MS,
    };

    (void)snprintf(request.url, sizeof(request.url), "%s/v1/upstreams/%s%s",
                   a->o.entries[a->at], a->o.name.s, query);
    fetch_run(a->fetch, &request, reply);
    return reply->error == FETCH_OK && reply->status / 100 == 2;
}

/* Tries every instance once, from the one that answered last.  One that is
 * silent costs its timeout, so the next is tried well within the time after
 * which an upstream counts as gone. */
static bool
ask_any(struct fake_announce *a, const char *method, const char *query,
        const char *body, struct fetch_reply *reply)
{
    for (size_t i = 0; i < a->o.n_entries; i++) {
        if (ask(a, method, query, body, reply)) {
            return true;
        }
        log_event(a->taken != 0 ? LOG_NOTICE : LOG_DEBUG,
                  "announcement-not-taken", a->o.entries[a->at],
                  "%s, status %ld %.100s", fetch_error_text(reply->error),
                  reply->status, reply->body != NULL ? reply->body : "");
        fetch_reply_clear(reply);
        a->at = (a->at + 1) % a->o.n_entries;
    }
    return false;
}

static int64_t
renew_ms(const struct fetch_reply *reply)
{
    json_t *json = json_loadb(reply->body, reply->size, 0, NULL);
    json_int_t ms = json_integer_value(json_object_get(json, "renew_ms"));

    json_decref(json);
    return ms >= 1 && ms <= 60000 ? ms : RENEW_FALLBACK_MS;
}

/* Announces once; returns how long to wait before the next time.  Half of
 * what the answer allows leaves time to try the other instances. */
static int64_t
announce(struct fake_announce *a)
{
    struct fetch_reply reply;
    char *body = announcement(a);
    bool taken = body != NULL && ask_any(a, "PUT", "", body, &reply);
    int64_t wait_ms = RETRY_MS;

    free(body);
    if (taken) {
        wait_ms = renew_ms(&reply) / 2;
        fetch_reply_clear(&reply);
    }
    if ((int)taken != a->taken) {
        log_event(LOG_NOTICE, taken ? "announced" : "not-announced",
                  a->o.entries[a->at], "as %s", a->o.name.s);
    }
    a->taken = taken;
    return wait_ms;
}

/* Returns false when it is time to leave. */
static bool
wait_for(struct fake_announce *a, int64_t ms)
{
    struct timespec until;
    bool leaving;

    clock_gettime(CLOCK_MONOTONIC, &until);
    until.tv_sec += ms / 1000;
    until.tv_nsec += ms % 1000 * 1000000;
    if (until.tv_nsec >= 1000000000) {
        until.tv_sec++;
        until.tv_nsec -= 1000000000;
    }
    pthread_mutex_lock(&a->lock);
    while (!a->leaving &&
           pthread_cond_timedwait(&a->wake, &a->lock, &until) == 0) {
    }
    leaving = a->leaving;
    pthread_mutex_unlock(&a->lock);
    return !leaving;
}

static void *
run(void *user)
{
    struct fake_announce *a = user;

    while (wait_for(a, announce(a))) {
    }
    return NULL;
}

static void
announce_free(struct fake_announce *a)
{
    fetch_free(a->fetch);
    pthread_cond_destroy(&a->wake);
    pthread_mutex_destroy(&a->lock);
    free(a);
}

struct fake_announce *
fake_announce_start(const struct fake_announce_options *o)
{
    struct fake_announce *a = calloc(1, sizeof(*a));
    pthread_condattr_t attr;

    if (a == NULL) {
        return NULL;
    }
    a->o = *o;
    a->taken = -1;
    a->fetch = fetch_new();
    pthread_mutex_init(&a->lock, NULL);
    pthread_condattr_init(&attr);
    pthread_condattr_setclock(&attr, CLOCK_MONOTONIC);
    pthread_cond_init(&a->wake, &attr);
    pthread_condattr_destroy(&attr);
    if (a->fetch == NULL || pthread_create(&a->thread, NULL, run, a) != 0) {
        announce_free(a);
        return NULL;
    }
    return a;
}

bool
fake_announce_leave(struct fake_announce *a)
{
    struct fetch_reply reply;
    char query[48];
    bool taken;

    pthread_mutex_lock(&a->lock);
    a->leaving = true;
    pthread_cond_signal(&a->wake);
    pthread_mutex_unlock(&a->lock);
    pthread_join(a->thread, NULL);
    (void)snprintf(query, sizeof(query), "?incarnation=%llu",
                   (unsigned long long)a->o.incarnation);
    taken = ask_any(a, "DELETE", query, NULL, &reply);
    if (taken) {
        fetch_reply_clear(&reply);
    }
    announce_free(a);
    return taken;
}
