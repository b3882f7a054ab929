/**
 * DOC: map - finds elements by the key they begin with (Concurrency Kit)
 *
 * The map holds pointers, so elements must stay in place while they are in it.
 */
#ifndef BM_MAP_H
#define BM_MAP_H

#include <ck_hs.h>
#include <stddef.h>

/** enum map_kind - type of the first member of every element */
enum map_kind { MAP_KEY_ID, MAP_NAME, MAP_U64 };

struct map {
    ck_hs_t hs;
    enum map_kind kind;
};

/** map_init() - ends the process when memory is out */
void map_init(struct map *m, enum map_kind kind);

/** map_clear() - frees the map, not the elements */
void map_clear(struct map *m);

/** map_get() - the element that begins with *@key, or NULL */
void *map_get(const struct map *m, const void *key);

/** map_put() - adds or replaces; ends the process when memory is out */
void map_put(struct map *m, void *element);

/** map_remove() - the element taken out, or NULL */
void *map_remove(struct map *m, const void *key);

/** map_count() - elements in it */
size_t map_count(const struct map *m);

/** map_bytes() - memory the map itself holds, estimated from its capacity */
size_t map_bytes(const struct map *m);

#endif
