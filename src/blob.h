/**
 * DOC: blob - immutable bytes with a reference count
 *
 * Payloads and results pass between threads without copying.  The count is
 * atomic; the bytes never change after blob_new().  The compiler's atomics are
 * used instead of Concurrency Kit's: ThreadSanitizer does not see into inline
 * assembly and would report every last release as a race.
 */
#ifndef BM_BLOB_H
#define BM_BLOB_H

#include <stddef.h>

struct blob {
    unsigned int refs;
    size_t size;
    char data[]; /* @size bytes and a terminator */
};

/** blob_new() - copies bytes into a new blob with one reference; NULL only
 * when memory is exhausted */
struct blob *blob_new(const void *data, size_t size);

/** blob_ref() - takes one more reference; NULL stays NULL */
struct blob *blob_ref(struct blob *b);

/** blob_unref() - drops a reference and frees at zero; NULL is allowed */
void blob_unref(struct blob *b);

#endif
