/**
 * DOC: wire - typed messages between processes and their msgpack form
 *
 * A message on the wire is one msgpack array: kind number, then the fields of
 * its record in order.  Decoding checks every type and bound; a frame that
 * does not fit is refused whole.  Fields that were added to a record later may
 * be missing at its end.  Framing (a 4-byte big-endian length) is
 * peer.c's part.
 */
#ifndef BM_WIRE_H
#define BM_WIRE_H

#include <msgpack.h>

#include "base.h"
#include "blob.h"

enum {
    WIRE_FRAME_MAX = 16 * 1024 * 1024, /* bytes in one frame */
    WIRE_ARRAY_MAX = 65536,            /* elements in one array */
};

#define RECORD(name) struct rec_##name {
#define ADDED(name)
#define U64(f) uint64_t f;
#define NAME(f) struct name f;
#define ADDR(f) struct address f;
#define KEY(f) struct key_id f;
#define BLOB(f) struct blob *f;
#define ARRAY(rec, f)                                                         \
    struct rec_##rec *f;                                                      \
    size_t n_##f;
#define END(name)                                                             \
    }                                                                         \
    ;
#include "wire_list.h"
#undef RECORD
#undef ADDED
#undef U64
#undef NAME
#undef ADDR
#undef KEY
#undef BLOB
#undef ARRAY
#undef END

enum msg_kind {
#define MSG(KIND, record) MSG_##KIND,
#include "msg_list.h"
#undef MSG
    MSG_KINDS,
};

/** struct msg - one message; owns its arrays and a reference per blob */
struct msg {
    enum msg_kind kind;
    union {
#define MSG(KIND, record) struct rec_##record record;
#include "msg_list.h"
#undef MSG
    } u;
};

enum wire_error {
    WIRE_OK,
    WIRE_MALFORMED, /* not msgpack, or not the fields of its kind */
    WIRE_UNKNOWN,   /* a kind this version does not know */
    WIRE_TOO_LARGE, /* a name, array or frame past its bound */
    WIRE_NO_MEMORY,
};

/** msg_name() - the kind in lower case, for logs and counters */
const char *msg_name(enum msg_kind kind);

/** msg_copy() - a deep copy; blobs are shared by reference */
struct msg msg_copy(const struct msg *m);

/** msg_free() - releases what a message owns and zeroes it */
void msg_free(struct msg *m);

/** wire_encode() - appends the message to @out, without framing */
enum wire_error wire_encode(const struct msg *m, msgpack_sbuffer *out);

/** wire_encode_blob() - the same as a blob of its own; NULL where it does not
 * fit or memory is out */
struct blob *wire_encode_blob(const struct msg *m);

/** wire_decode() - reads one message; on an error @m owns nothing */
enum wire_error wire_decode(const void *data, size_t size, struct msg *m);

#endif
