#include "demo_watch.h"

#include <errno.h>
#include <pthread.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <time.h>

#include "clock.h"

enum { LOOK_MS = 100, LOOK_TIMEOUT_MS = 1000, PREFIX_SIZE = 96 };

/* One thread each, so that a silent instance does not hold up the others. */
struct look {
    struct demo_watch *watch;
    size_t entry;
    pthread_t thread;
};

struct demo_watch {
    struct caller_options entries;
    struct look looks[CALLER_ENTRIES_MAX];
    size_t n_looks;
    pthread_mutex_t lock; /* guards what follows */
    struct demo_view views[CALLER_ENTRIES_MAX];
    struct demo_seen seen;
    uint64_t expected;
    int64_t expected_at_us;
    bool stopping;
};

bool
demo_watch_read(const char *page, const char *name, uint64_t *value)
{
    char wanted[PREFIX_SIZE];
    const char *at;

    (void)snprintf(wanted, sizeof(wanted), "\nboragemoor_%s ", name);
    at = strstr(page, wanted);
    if (at == NULL) {
        return false;
    }
    *value = strtoull(at + strlen(wanted), NULL, 10);
    return true;
}

static bool
all_in_force(const struct demo_watch *w)
{
    for (size_t i = 0; i < w->entries.n_entries; i++) {
        if (w->views[i].answers && w->views[i].version < w->expected) {
            return false;
        }
    }
    return true;
}

static void
take_view(struct demo_watch *w, size_t entry, struct demo_view view)
{
    struct demo_view *old = &w->views[entry];

    pthread_mutex_lock(&w->lock);
    if (view.answers && view.version < old->version) {
        w->seen.reverts++;
    }
    if (!view.answers) {
        view.version = old->version;
    }
    *old = view;
    if (w->expected > 0 && w->seen.in_force_us < 0 && all_in_force(w)) {
        w->seen.in_force_us =
            clock_now(clock_real()).mono_us - w->expected_at_us;
    }
    pthread_mutex_unlock(&w->lock);
}

/* A restarted instance has no configuration until it got one; version 0 is not
 * in force and not counted as going back. */
static struct demo_view
look_once(struct fetch *f, const struct fetch_request *request)
{
    struct demo_view view = {0};
    struct fetch_reply reply;
    uint64_t held = 0;

    fetch_run(f, request, &reply);
    if (reply.error == FETCH_OK && reply.status == 200 && reply.body != NULL) {
        view.answers =
            demo_watch_read(reply.body, "config_version", &view.version) &&
            demo_watch_read(reply.body, "upstreams_held", &held) &&
            view.version > 0;
        view.held = (uint32_t)held;
    }
    fetch_reply_clear(&reply);
    return view;
}

static bool
stopping(struct demo_watch *w)
{
    bool now;

    pthread_mutex_lock(&w->lock);
    now = w->stopping;
    pthread_mutex_unlock(&w->lock);
    return now;
}

static void *
run_look(void *user)
{
    const struct timespec pause = {.tv_nsec = LOOK_MS * 1000000L};
    struct look *look = user;
    struct demo_watch *w = look->watch;
    struct fetch_request request = {.method = "GET",
                                    .timeout_ms = LOOK_TIMEOUT_MS};
    struct fetch *f = fetch_new();

    (void)snprintf(request.url, sizeof(request.url), "%s/metrics",
                   w->entries.entries[look->entry]);
    while (f != NULL && !stopping(w)) {
        take_view(w, look->entry, look_once(f, &request));
        (void)nanosleep(&pause, NULL);
    }
    fetch_free(f);
    return NULL;
}

struct demo_watch *
demo_watch_start(const struct caller_options *entries)
{
    struct demo_watch *w = calloc(1, sizeof(*w));

    if (w == NULL) {
        return NULL;
    }
    w->entries = *entries;
    w->seen.in_force_us = -1;
    pthread_mutex_init(&w->lock, NULL);
    for (size_t i = 0; i < entries->n_entries; i++) {
        struct look *look = &w->looks[i];

        look->watch = w;
        look->entry = i;
        if (pthread_create(&look->thread, NULL, run_look, look) != 0) {
            demo_watch_stop(w);
            return NULL;
        }
        w->n_looks++;
    }
    return w;
}

bool
demo_watch_ready(struct demo_watch *w, uint32_t upstreams)
{
    uint32_t held = 0;
    bool all = true;

    pthread_mutex_lock(&w->lock);
    for (size_t i = 0; i < w->entries.n_entries; i++) {
        all &= w->views[i].answers;
        held += w->views[i].held;
    }
    pthread_mutex_unlock(&w->lock);
    return all && held >= upstreams;
}

void
demo_watch_expect(struct demo_watch *w, uint64_t version)
{
    pthread_mutex_lock(&w->lock);
    w->expected = version;
    w->expected_at_us = clock_now(clock_real()).mono_us;
    w->seen.in_force_us = -1;
    pthread_mutex_unlock(&w->lock);
}

struct demo_seen
demo_watch_seen(struct demo_watch *w)
{
    struct demo_seen seen;

    pthread_mutex_lock(&w->lock);
    seen = w->seen;
    for (size_t i = 0; i < w->entries.n_entries; i++) {
        seen.behind +=
            w->views[i].answers && w->views[i].version < w->expected;
    }
    pthread_mutex_unlock(&w->lock);
    return seen;
}

void
demo_watch_stop(struct demo_watch *w)
{
    pthread_mutex_lock(&w->lock);
    w->stopping = true;
    pthread_mutex_unlock(&w->lock);
    for (size_t i = 0; i < w->n_looks; i++) {
        pthread_join(w->looks[i].thread, NULL);
    }
    pthread_mutex_destroy(&w->lock);
    free(w);
}
