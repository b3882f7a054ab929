#include "map.h"

#include <stdlib.h>
#include <string.h>
#include <xxhash.h>

#include "base.h"

enum { MAP_START_SIZE = 32 };

static void *
map_malloc(size_t size)
{
    return malloc(size);
}

static void *
map_realloc(void *old, size_t old_size, size_t size, bool defer)
{
    (void)old_size;
    (void)defer;
    return realloc(old, size);
}

static void
map_release(void *p, size_t size, bool defer)
{
    (void)size;
    (void)defer;
    free(p);
}

static struct ck_malloc map_allocator = {
    .malloc = map_malloc, .realloc = map_realloc, .free = map_release};

static unsigned long
hash_key_id(const void *key, unsigned long seed)
{
    const struct key_id *id = key;

    return (unsigned long)(id->lo ^ seed);
}

static unsigned long
hash_name(const void *key, unsigned long seed)
{
    const struct name *name = key;

    return XXH3_64bits_withSeed(name->s, strlen(name->s), seed);
}

static unsigned long
hash_u64(const void *key, unsigned long seed)
{
    return XXH3_64bits_withSeed(key, sizeof(uint64_t), seed);
}

static bool
equal_key_id(const void *a, const void *b)
{
    return memcmp(a, b, sizeof(struct key_id)) == 0;
}

static bool
equal_name(const void *a, const void *b)
{
    const struct name *x = a;
    const struct name *y = b;

    return strcmp(x->s, y->s) == 0;
}

static bool
equal_u64(const void *a, const void *b)
{
    return memcmp(a, b, sizeof(uint64_t)) == 0;
}

static const struct {
    ck_hs_hash_cb_t *hash;
    ck_hs_compare_cb_t *equal;
} kinds[] = {
    [MAP_KEY_ID] = {hash_key_id, equal_key_id},
    [MAP_NAME] = {hash_name, equal_name},
    [MAP_U64] = {hash_u64, equal_u64},
};

static unsigned long
map_hash(const struct map *m, const void *key)
{
    return kinds[m->kind].hash(key, m->hs.seed);
}

void
map_init(struct map *m, enum map_kind kind)
{
    m->kind = kind;
    if (!ck_hs_init(&m->hs, CK_HS_MODE_SPMC | CK_HS_MODE_OBJECT,
                    kinds[kind].hash, kinds[kind].equal, &map_allocator,
                    MAP_START_SIZE, 0x5bd1e995UL)) {
        abort();
    }
}

void
map_clear(struct map *m)
{
    ck_hs_destroy(&m->hs);
}

void *
map_get(const struct map *m, const void *key)
{
    /* ck_hs_get() takes a non-const set but only reads it. */
    return ck_hs_get((ck_hs_t *)&m->hs, map_hash(m, key), key);
}

void
map_put(struct map *m, void *element)
{
    void *previous;

    if (!ck_hs_set(&m->hs, map_hash(m, element), element, &previous)) {
        abort();
    }
}

void *
map_remove(struct map *m, const void *key)
{
    return ck_hs_remove(&m->hs, map_hash(m, key), key);
}

size_t
map_count(const struct map *m)
{
    return ck_hs_count((ck_hs_t *)&m->hs);
}

size_t
map_bytes(const struct map *m)
{
    struct ck_hs_stat st;

    ck_hs_stat((ck_hs_t *)&m->hs, &st);
    /* Twice the entries: the set doubles when it is half full. */
    return 2 * st.n_entries * sizeof(void *);
}
