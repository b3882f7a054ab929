#include "delta.h"

#include <stdlib.h>
#include <string.h>
#include <xxhash.h>

static size_t
common_prefix(const char *a, const char *b, size_t limit)
{
    size_t n = 0;

    while (n < limit && a[n] == b[n]) {
        n++;
    }
    return n;
}

static size_t
common_suffix(const char *a_end, const char *b_end, size_t limit)
{
    size_t n = 0;

    while (n < limit && a_end[-1 - (ptrdiff_t)n] == b_end[-1 - (ptrdiff_t)n]) {
        n++;
    }
    return n;
}

uint64_t
delta_digest(const struct blob *text)
{
    return text != NULL ? XXH3_64bits(text->data, text->size)
                        : XXH3_64bits("", 0);
}

struct delta
delta_make(const struct blob *old, const struct blob *text)
{
    struct delta d = {.digest = delta_digest(text)};
    size_t old_size = old != NULL ? old->size : 0;
    size_t limit = old_size < text->size ? old_size : text->size;

    if (limit > 0) {
        d.prefix = common_prefix(old->data, text->data, limit);
        d.suffix = common_suffix(old->data + old_size, text->data + text->size,
                                 limit - d.prefix);
    }
    d.middle =
        blob_new(text->data + d.prefix, text->size - d.prefix - d.suffix);
    return d;
}

struct blob *
delta_apply(const struct blob *old, const struct delta *d)
{
    size_t old_size = old != NULL ? old->size : 0;
    size_t middle = d->middle != NULL ? d->middle->size : 0;
    size_t size;
    char *text;
    struct blob *b;

    if (d->prefix > old_size || d->suffix > old_size - d->prefix) {
        return NULL;
    }
    size = d->prefix + middle + d->suffix;
    text = malloc(size + 1);
    if (text == NULL) {
        return NULL;
    }
    if (old != NULL) {
        memcpy(text, old->data, d->prefix);
        memcpy(text + d->prefix + middle, old->data + old_size - d->suffix,
               d->suffix);
    }
    if (middle > 0) {
        memcpy(text + d->prefix, d->middle->data, middle);
    }
    b = blob_new(text, size);
    free(text);
    if (b != NULL && delta_digest(b) != d->digest) {
        blob_unref(b);
        b = NULL;
    }
    return b;
}
