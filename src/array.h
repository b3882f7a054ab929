/**
 * DOC: array - arrays that grow
 */
#ifndef BM_ARRAY_H
#define BM_ARRAY_H

#include <stddef.h>

/** array_grow() - @items with room for one more than @n elements of @size
 * bytes, moved where needed; *@room is what there is room for.  Ends the
 * process when memory is out. */
void *array_grow(void *items, size_t n, size_t *room, size_t size);

#endif
