/**
 * DOC: delta - a new text as the change of an old one
 *
 * Configurations change in one place at a time, so the bytes before and after
 * that place need not travel nor be logged again.
 */
#ifndef BM_DELTA_H
#define BM_DELTA_H

#include <stdint.h>

#include "blob.h"

/** struct delta - the new text is @prefix bytes from the start of the old one,
 * @middle, and @suffix bytes from its end */
struct delta {
    uint64_t prefix;
    uint64_t suffix;
    struct blob *middle; /* owned */
    uint64_t digest;     /* XXH3 of the new text */
};

/** delta_make() - @old NULL stands for an empty text.  @middle is NULL when
 * memory is out. */
struct delta delta_make(const struct blob *old, const struct blob *text);

/** delta_apply() - the new text, or NULL when the delta does not fit the old
 * text or the digest differs */
struct blob *delta_apply(const struct blob *old, const struct delta *d);

/** delta_digest() - XXH3 of a text; NULL counts as empty */
uint64_t delta_digest(const struct blob *text);

#endif
