/**
 * DOC: table - elements in stable places, reached by small handles
 *
 * A handle carries a generation: once its element is removed, the handle finds
 * nothing, also after the place is used again.  Elements never move, so
 * pointers to them hold until removal.
 */
#ifndef BM_TABLE_H
#define BM_TABLE_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

/** struct handle - refers to an element; all zero is none */
struct handle {
    uint32_t index; /* place + 1 */
    uint32_t generation;
};

struct table {
    size_t element_size;
    char **chunks;
    size_t n_chunks;
    uint32_t *generations; /* odd while in use */
    uint32_t *next_free;
    uint32_t first_free; /* place + 1 */
    uint32_t places;     /* ever handed out */
    size_t n;            /* in use */
};

/** table_init() - for elements of that size in bytes */
void table_init(struct table *t, size_t element_size);

/** table_clear() - frees the memory; elements are not looked at */
void table_clear(struct table *t);

/** table_add() - a zeroed element; its handle goes to @h.  Ends the process
 * when memory is out. */
void *table_add(struct table *t, struct handle *h);

/** table_get() - the element, or NULL when it was removed */
void *table_get(const struct table *t, struct handle h);

/** table_remove() - does nothing when it was removed before */
void table_remove(struct table *t, struct handle h);

/** table_next() - iterates: start with *@at = 0; NULL at the end.  Removing
 * the current element is allowed. */
void *table_next(const struct table *t, uint32_t *at, struct handle *h);

/** table_bytes() - memory held, for capacity figures */
size_t table_bytes(const struct table *t);

/** handle_none() - whether a handle refers to nothing */
bool handle_none(struct handle h);

/** handle_equal() - whether two handles refer to the same element */
bool handle_equal(struct handle a, struct handle b);

/** handle_number() - a handle as a number, to be sent along */
uint64_t handle_number(struct handle h);

/** handle_of_number() - back from handle_number() */
struct handle handle_of_number(uint64_t number);

#endif
