#include "table.h"

#include <stdlib.h>
#include <string.h>

enum { CHUNK_ELEMENTS = 64 };

void
table_init(struct table *t, size_t element_size)
{
    memset(t, 0, sizeof(*t));
    t->element_size = element_size;
}

void
table_clear(struct table *t)
{
    for (size_t i = 0; i < t->n_chunks; i++) {
        free(t->chunks[i]);
    }
    free(t->chunks);
    free(t->generations);
    free(t->next_free);
    table_init(t, t->element_size);
}

static void *
grow(void *old, size_t bytes)
{
    void *p = realloc(old, bytes);

    if (p == NULL) {
        abort();
    }
    return p;
}

static void
table_grow(struct table *t)
{
    size_t places = (t->n_chunks + 1) * CHUNK_ELEMENTS;

    t->chunks = grow(t->chunks, (t->n_chunks + 1) * sizeof(*t->chunks));
    t->chunks[t->n_chunks] = grow(NULL, CHUNK_ELEMENTS * t->element_size);
    t->generations = grow(t->generations, places * sizeof(uint32_t));
    t->next_free = grow(t->next_free, places * sizeof(uint32_t));
    memset(t->generations + t->n_chunks * CHUNK_ELEMENTS, 0,
           CHUNK_ELEMENTS * sizeof(uint32_t));
    t->n_chunks++;
}

static void *
place(const struct table *t, uint32_t i)
{
    return t->chunks[i / CHUNK_ELEMENTS] +
           (i % CHUNK_ELEMENTS) * t->element_size;
}

void *
table_add(struct table *t, struct handle *h)
{
    uint32_t i;

    if (t->first_free != 0) {
        i = t->first_free - 1;
        t->first_free = t->next_free[i];
    }
    else {
        if (t->places == t->n_chunks * CHUNK_ELEMENTS) {
            table_grow(t);
        }
        i = t->places++;
    }
    t->generations[i]++;
    t->n++;
    h->index = i + 1;
    h->generation = t->generations[i];
    memset(place(t, i), 0, t->element_size);
    return place(t, i);
}

void *
table_get(const struct table *t, struct handle h)
{
    if (h.index == 0 || h.index > t->places ||
        t->generations[h.index - 1] != h.generation) {
        return NULL;
    }
    return place(t, h.index - 1);
}

void
table_remove(struct table *t, struct handle h)
{
    if (table_get(t, h) == NULL) {
        return;
    }
    t->generations[h.index - 1]++;
    t->next_free[h.index - 1] = t->first_free;
    t->first_free = h.index;
    t->n--;
}

void *
table_next(const struct table *t, uint32_t *at, struct handle *h)
{
    while (*at < t->places) {
        uint32_t i = (*at)++;

        if (t->generations[i] % 2 == 1) {
            if (h != NULL) {
                h->index = i + 1;
                h->generation = t->generations[i];
            }
            return place(t, i);
        }
    }
    return NULL;
}

size_t
table_bytes(const struct table *t)
{
    size_t places = t->n_chunks * CHUNK_ELEMENTS;

    return places * (t->element_size + 2 * sizeof(uint32_t)) +
           t->n_chunks * sizeof(*t->chunks);
}

bool
handle_none(struct handle h)
{
    return h.index == 0;
}

bool
handle_equal(struct handle a, struct handle b)
{
    return a.index == b.index && a.generation == b.generation;
}

uint64_t
handle_number(struct handle h)
{
    return (uint64_t)h.generation << 32 | h.index;
}

struct handle
handle_of_number(uint64_t number)
{
    return (struct handle){.index = (uint32_t)number,
                           .generation = (uint32_t)(number >> 32)};
}
