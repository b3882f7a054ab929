/**
 * DOC: frame - messages as frames in a byte stream
 *
 * A frame is a 4-byte big-endian length and that many bytes.  A frame of no
 * bytes only shows that the sender is alive.
 */
#ifndef BM_FRAME_H
#define BM_FRAME_H

#include "wire.h"

enum {
    FRAME_HEAD = 4,          /* bytes of the length */
    FRAME_READ_ROOM = 16384, /* room offered to one read */
    BYTES_KEEP = 1 << 18,    /* an empty queue keeps no more memory */
};

/** struct bytes - a queue of bytes; zeroed is empty */
struct bytes {
    char *data;
    size_t start; /* of what is in it */
    size_t end;
    size_t room;
};

enum frame_status {
    FRAME_NONE, /* not whole yet */
    FRAME_READY,
    FRAME_TOO_LARGE,
};

/** bytes_size() - bytes in the queue */
size_t bytes_size(const struct bytes *b);

/** bytes_room() - room for at least @n more bytes at the end; tell with
 * bytes_added() how many came.  Ends the process when memory is out. */
char *bytes_room(struct bytes *b, size_t n);
void bytes_added(struct bytes *b, size_t n);

/** bytes_drop() - takes @n bytes off the front */
void bytes_drop(struct bytes *b, size_t n);

/** bytes_free() - empties the queue and releases its memory */
void bytes_free(struct bytes *b);

/** frame_next() - the first frame in the queue, in place; the caller drops
 * FRAME_HEAD + @size bytes when done with it.  Only what has arrived takes
 * memory: a length alone, however large, does not. */
enum frame_status frame_next(const struct bytes *b, size_t max,
                             const char **body, size_t *size);

/** frame_put() - appends a message; on an error nothing is appended */
enum wire_error frame_put(struct bytes *b, const struct msg *m);

/** frame_put_empty() - appends a frame of no bytes */
void frame_put_empty(struct bytes *b);

#endif
