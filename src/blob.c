#include "blob.h"

#include <stdlib.h>
#include <string.h>

struct blob *
blob_new(const void *data, size_t size)
{
    struct blob *b = malloc(sizeof(*b) + size + 1);

    if (b == NULL) {
        return NULL;
    }
    b->refs = 1;
    b->size = size;
    if (size > 0) {
        memcpy(b->data, data, size);
    }
    b->data[size] = '\0';
    return b;
}

struct blob *
blob_ref(struct blob *b)
{
    if (b != NULL) {
        (void)__atomic_add_fetch(&b->refs, 1, __ATOMIC_RELAXED);
    }
    return b;
}

void
blob_unref(struct blob *b)
{
    if (b == NULL) {
        return;
    }
    if (__atomic_sub_fetch(&b->refs, 1, __ATOMIC_ACQ_REL) == 0) {
        free(b);
    }
}
