#include "upstream_digest.h"

#include <stdlib.h>
#include <string.h>

#include <xxhash.h>

#include "array.h"

uint64_t
upstream_digest_name(struct name upstream)
{
    return key_id_of(upstream.s).lo;
}

uint64_t
upstream_digest_hash(struct name upstream, uint64_t born_ms, uint64_t sequence)
{
    uint64_t seed = XXH3_64bits_withSeed(&born_ms, sizeof(born_ms), sequence);

    return XXH3_64bits_withSeed(upstream.s, strlen(upstream.s), seed);
}

/* Index of the first item that does not come before the name. */
static size_t
find_place(const struct upstream_digest *d, uint64_t name)
{
    size_t low = 0;
    size_t high = d->n;

    while (low < high) {
        size_t middle = (low + high) / 2;

        if (d->items[middle].name < name) {
            low = middle + 1;
        }
        else {
            high = middle;
        }
    }
    return low;
}

bool
upstream_digest_has(const struct upstream_digest *d, uint64_t name)
{
    size_t i = find_place(d, name);

    return i < d->n && d->items[i].name == name;
}

void
upstream_digest_set(struct upstream_digest *d,
                    const struct rec_leased_upstream *u)
{
    struct digest_item item = {.name = upstream_digest_name(u->upstream)};
    size_t i = find_place(d, item.name);

    item.hash = upstream_digest_hash(u->upstream, u->born_ms, u->sequence);
    if (i < d->n && d->items[i].name == item.name) {
        d->hash -= d->items[i].hash;
    }
    else {
        d->items = array_grow(d->items, d->n, &d->capacity, sizeof(*d->items));
        memmove(&d->items[i + 1], &d->items[i],
                (d->n - i) * sizeof(*d->items));
        d->n++;
    }
    d->items[i] = item;
    d->hash += item.hash;
}

void
upstream_digest_remove(struct upstream_digest *d, uint64_t name)
{
    size_t i = find_place(d, name);

    if (i == d->n || d->items[i].name != name) {
        return;
    }
    d->hash -= d->items[i].hash;
    d->n--;
    memmove(&d->items[i], &d->items[i + 1], (d->n - i) * sizeof(*d->items));
}

bool
upstream_digest_equal(const struct upstream_digest *d,
                      const struct rec_upstream_digest *r)
{
    return d->n == r->count && d->hash == r->hash;
}

void
upstream_digest_clear(struct upstream_digest *d)
{
    free(d->items);
    memset(d, 0, sizeof(*d));
}
