#include "frame.h"

#include <arpa/inet.h>
#include <stdlib.h>
#include <string.h>

size_t
bytes_size(const struct bytes *b)
{
    return b->end - b->start;
}

char *
bytes_room(struct bytes *b, size_t n)
{
    size_t size = bytes_size(b);

    if (b->room - b->end >= n) {
        return b->data + b->end;
    }
    if (size > 0 && b->start > 0) {
        memmove(b->data, b->data + b->start, size);
    }
    b->start = 0;
    b->end = size;
    if (b->room - size < n) {
        size_t room = 2 * (size + n);
        char *data = realloc(b->data, room);

        if (data == NULL) {
            abort();
        }
        b->data = data;
        b->room = room;
    }
    return b->data + b->end;
}

void
bytes_added(struct bytes *b, size_t n)
{
    b->end += n;
}

void
bytes_drop(struct bytes *b, size_t n)
{
    b->start += n;
    if (b->start < b->end) {
        return;
    }
    b->start = 0;
    b->end = 0;
    if (b->room > BYTES_KEEP) {
        bytes_free(b);
    }
}

void
bytes_free(struct bytes *b)
{
    free(b->data);
    memset(b, 0, sizeof(*b));
}

enum frame_status
frame_next(const struct bytes *b, size_t max, const char **body, size_t *size)
{
    uint32_t length;

    if (bytes_size(b) < FRAME_HEAD) {
        return FRAME_NONE;
    }
    memcpy(&length, b->data + b->start, sizeof(length));
    *size = ntohl(length);
    if (*size > max) {
        return FRAME_TOO_LARGE;
    }
    if (bytes_size(b) < FRAME_HEAD + *size) {
        return FRAME_NONE;
    }
    *body = b->data + b->start + FRAME_HEAD;
    return FRAME_READY;
}

static void
put(struct bytes *b, const char *body, size_t size)
{
    uint32_t length = htonl((uint32_t)size);
    char *at = bytes_room(b, FRAME_HEAD + size);

    memcpy(at, &length, sizeof(length));
    if (size > 0) {
        memcpy(at + FRAME_HEAD, body, size);
    }
    bytes_added(b, FRAME_HEAD + size);
}

enum wire_error
frame_put(struct bytes *b, const struct msg *m)
{
    msgpack_sbuffer buffer;
    enum wire_error err;

    msgpack_sbuffer_init(&buffer);
    err = wire_encode(m, &buffer);
    if (err == WIRE_OK) {
        put(b, buffer.data, buffer.size);
    }
    msgpack_sbuffer_destroy(&buffer);
    return err;
}

void
frame_put_empty(struct bytes *b)
{
    put(b, NULL, 0);
}
