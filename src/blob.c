#include "blob.h"

#include <ck_pr.h>
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
        ck_pr_inc_uint(&b->refs);
    }
    return b;
}

void
blob_unref(struct blob *b)
{
    bool last = false;

    if (b == NULL) {
        return;
    }
    last = ck_pr_dec_uint_is_zero(&b->refs);
    if (last) {
        free(b);
    }
}
