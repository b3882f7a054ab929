#include "array.h"

#include <stdlib.h>

enum { ROOM_START = 16 };

void *
array_grow(void *items, size_t n, size_t *room, size_t size)
{
    if (n < *room) {
        return items;
    }
    *room = *room == 0 ? ROOM_START : 2 * *room;
    items = realloc(items, *room * size);
    if (items == NULL) {
        abort();
    }
    return items;
}
