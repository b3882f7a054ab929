#include "cells.h"

#include <pthread.h>
#include <stdatomic.h>
#include <stdlib.h>
#include <string.h>

enum { THREADS_MAX = 64 };

static void
choose_of_label(const struct cells_labels *l, size_t first, size_t n)
{
    size_t wanted = l->per_label == 0 || l->per_label > n ? n : l->per_label;

    for (size_t i = 0; i < wanted; i++) {
        size_t at = wanted > 1 ? i * (n - 1) / (wanted - 1) : 0;

        l->take(l->ctx, first + at);
    }
}

size_t
cells_choose(const struct cells_labels *l)
{
    size_t first = 0;
    size_t labels = 0;

    for (size_t i = 1; i <= l->n; i++) {
        if (i == l->n ||
            strcmp(l->label(l->ctx, i), l->label(l->ctx, first)) != 0) {
            choose_of_label(l, first, i - first);
            first = i;
            labels++;
        }
    }
    return labels;
}

struct run {
    size_t n;
    bool (*work)(void *ctx, size_t i);
    void *ctx;
    atomic_size_t next;
    atomic_bool over;
};

static void *
work(void *arg)
{
    struct run *r = arg;
    size_t i;

    while (!atomic_load(&r->over) &&
           (i = atomic_fetch_add(&r->next, 1)) < r->n) {
        if (r->work(r->ctx, i)) {
            atomic_store(&r->over, true);
        }
    }
    return NULL;
}

bool
cells_run(size_t n, uint32_t threads, bool (*one)(void *ctx, size_t i),
          void *ctx)
{
    struct run r = {.n = n, .work = one, .ctx = ctx};
    pthread_t ids[THREADS_MAX];
    uint32_t started = 0;

    while (started + 1 < threads && started < THREADS_MAX &&
           pthread_create(&ids[started], NULL, work, &r) == 0) {
        started++;
    }
    (void)work(&r);
    while (started > 0) {
        (void)pthread_join(ids[--started], NULL);
    }
    return atomic_load(&r.over);
}

bool
cells_parse(const char **text, const char *(*name)(int fault), int faults,
            uint64_t *step, int *fault)
{
    char *at;

    *step = strtoull(*text, &at, 10);
    if (at == *text || *at != ':') {
        return false;
    }
    at++;
    for (int i = 0; i < faults; i++) {
        size_t n = strlen(name(i));

        if (strncmp(at, name(i), n) == 0 && (at[n] == '\0' || at[n] == ',')) {
            *fault = i;
            *text = at + n + (at[n] == ',' ? 1 : 0);
            return true;
        }
    }
    return false;
}
