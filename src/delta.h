/**
 * DOC: delta - a text as the difference from an older text
 *
 * A new configuration usually differs from the old one in one place, so only
 * the bytes between the common prefix and the common suffix are sent and
 * logged.
 */
#ifndef BM_DELTA_H
#define BM_DELTA_H

#include <stdint.h>

#include "blob.h"

/** struct delta - the new text is the first @prefix bytes of the old text,
 * @middle, and the last @suffix bytes of the old text */
struct delta {
    uint64_t prefix;
    uint64_t suffix;
    struct blob *middle; /* owned */
    uint64_t digest;     /* XXH3 of the new text */
};

/** delta_make() - computes the delta from @old, where NULL is an empty text,
 * to
 * @text; the caller owns the delta's @middle, NULL when out of memory */
struct delta delta_make(const struct blob *old, const struct blob *text);

/** delta_apply() - the new text, owned by the caller; NULL when the delta's
 * lengths exceed @old, the digest differs, or memory is out */
struct blob *delta_apply(const struct blob *old, const struct delta *d);

/** delta_digest() - XXH3 of a text; NULL is an empty text */
uint64_t delta_digest(const struct blob *text);

#endif
