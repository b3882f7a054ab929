#include "timers.h"

#include <stdlib.h>
#include <string.h>

enum { TIMERS_START = 64 };

void
timers_clear(struct timers *t)
{
    free(t->items);
    memset(t, 0, sizeof(*t));
}

static void
swap(struct timer *a, struct timer *b)
{
    struct timer c = *a;

    *a = *b;
    *b = c;
}

static void
reserve(struct timers *t)
{
    size_t room = t->room > 0 ? t->room * 2 : TIMERS_START;
    struct timer *items;

    if (t->n < t->room) {
        return;
    }
    items = realloc(t->items, room * sizeof(*items));
    if (items == NULL) {
        abort();
    }
    t->items = items;
    t->room = room;
}

void
timers_add(struct timers *t, int64_t at_us, struct handle h)
{
    size_t i = t->n;

    reserve(t);
    t->items[t->n++] = (struct timer){.at_us = at_us, .h = h};
    while (i > 0 && t->items[(i - 1) / 2].at_us > t->items[i].at_us) {
        swap(&t->items[(i - 1) / 2], &t->items[i]);
        i = (i - 1) / 2;
    }
}

int64_t
timers_next_us(const struct timers *t)
{
    return t->n > 0 ? t->items[0].at_us : INT64_MAX;
}

static void
sift_down(struct timers *t)
{
    size_t i = 0;

    for (;;) {
        size_t child = 2 * i + 1;

        if (child + 1 < t->n &&
            t->items[child + 1].at_us < t->items[child].at_us) {
            child++;
        }
        if (child >= t->n || t->items[child].at_us >= t->items[i].at_us) {
            return;
        }
        swap(&t->items[child], &t->items[i]);
        i = child;
    }
}

bool
timers_pop(struct timers *t, int64_t now_us, struct handle *h)
{
    if (t->n == 0 || t->items[0].at_us > now_us) {
        return false;
    }
    *h = t->items[0].h;
    t->items[0] = t->items[--t->n];
    sift_down(t);
    return true;
}
