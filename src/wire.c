#include "wire.h"

#include <stdlib.h>
#include <string.h>

#include "wirescan.h"

/* Each pass over wire_list.h makes one function per record. */

/* Number of fields: of all versions, and of those that every version has. */
#define RECORD(name) enum { FIELDS_##name = 0
#define ADDED(name)
#define U64(f) +1
#define NAME(f) +1
#define ADDR(f) +1
#define KEY(f) +1
#define BLOB(f) +1
#define ARRAY(rec, f) +1
#define END(name)                                                             \
    }                                                                         \
    ;
#include "wire_list.h"
#undef RECORD
#undef ADDED

#define RECORD(name) enum { REQUIRED_##name = 0
#define ADDED(name) , OPTIONAL_##name = 0
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
#define ADDED(name)

static void
put_text(msgpack_packer *p, const char *text)
{
    size_t n = strlen(text);

    msgpack_pack_str(p, n);
    msgpack_pack_str_body(p, text, n);
}

static void
put_key(msgpack_packer *p, struct key_id key)
{
    msgpack_pack_bin(p, sizeof(key));
    msgpack_pack_bin_body(p, &key, sizeof(key));
}

static void
put_blob(msgpack_packer *p, const struct blob *b)
{
    if (b == NULL) {
        msgpack_pack_nil(p);
        return;
    }
    msgpack_pack_bin(p, b->size);
    msgpack_pack_bin_body(p, b->data, b->size);
}

#define RECORD(name)                                                          \
    static void pack_##name(const struct rec_##name *r, msgpack_packer *p)    \
    {                                                                         \
        msgpack_pack_array(p, FIELDS_##name);
#define U64(f) msgpack_pack_uint64(p, r->f);
#define NAME(f) put_text(p, r->f.s);
#define ADDR(f) put_text(p, r->f.s);
#define KEY(f) put_key(p, r->f);
#define BLOB(f) put_blob(p, r->f);
#define ARRAY(rec, f)                                                         \
    msgpack_pack_array(p, r->n_##f);                                          \
    for (size_t i = 0; i < r->n_##f; i++) {                                   \
        pack_##rec(&r->f[i], p);                                              \
    }
#define END(name) }
#include "wire_list.h"
#undef RECORD
#undef U64
#undef NAME
#undef ADDR
#undef KEY
#undef BLOB
#undef ARRAY
#undef END

static enum wire_error
get_u64(const msgpack_object *o, uint64_t *out)
{
    if (o->type != MSGPACK_OBJECT_POSITIVE_INTEGER) {
        return WIRE_MALFORMED;
    }
    *out = o->via.u64;
    return WIRE_OK;
}

static enum wire_error
get_text(const msgpack_object *o, char *out, size_t size)
{
    if (o->type != MSGPACK_OBJECT_STR) {
        return WIRE_MALFORMED;
    }
    if (o->via.str.size >= size) {
        return WIRE_TOO_LARGE;
    }
    if (o->via.str.size == 0) {
        out[0] = '\0';
        return WIRE_OK;
    }
    if (o->via.str.ptr == NULL ||
        memchr(o->via.str.ptr, '\0', o->via.str.size) != NULL) {
        return WIRE_MALFORMED;
    }
    memcpy(out, o->via.str.ptr, o->via.str.size);
    out[o->via.str.size] = '\0';
    return WIRE_OK;
}

static enum wire_error
get_key(const msgpack_object *o, struct key_id *out)
{
    if (o->type != MSGPACK_OBJECT_BIN || o->via.bin.size != sizeof(*out)) {
        return WIRE_MALFORMED;
    }
    memcpy(out, o->via.bin.ptr, sizeof(*out));
    return WIRE_OK;
}

static enum wire_error
get_blob(const msgpack_object *o, struct blob **out)
{
    if (o->type == MSGPACK_OBJECT_NIL) {
        *out = NULL;
        return WIRE_OK;
    }
    if (o->type != MSGPACK_OBJECT_BIN) {
        return WIRE_MALFORMED;
    }
    *out = blob_new(o->via.bin.ptr, o->via.bin.size);
    return *out != NULL ? WIRE_OK : WIRE_NO_MEMORY;
}

static enum wire_error
open_record(const msgpack_object *o, size_t required, size_t fields,
            const msgpack_object **at, size_t *left)
{
    if (o->type != MSGPACK_OBJECT_ARRAY || o->via.array.size < required ||
        o->via.array.size > fields) {
        return WIRE_MALFORMED;
    }
    *at = o->via.array.ptr;
    *left = o->via.array.size;
    return WIRE_OK;
}

/* Whether there is another field to read. */
static bool
next_field(enum wire_error err, size_t *left)
{
    if (err != WIRE_OK || *left == 0) {
        return false;
    }
    (*left)--;
    return true;
}

static enum wire_error
open_array(const msgpack_object *o, size_t size, void **out, size_t *n)
{
    if (o->type != MSGPACK_OBJECT_ARRAY) {
        return WIRE_MALFORMED;
    }
    if (o->via.array.size > WIRE_ARRAY_MAX) {
        return WIRE_TOO_LARGE;
    }
    if (o->via.array.size == 0) {
        return WIRE_OK;
    }
    *out = calloc(o->via.array.size, size);
    if (*out == NULL) {
        return WIRE_NO_MEMORY;
    }
    *n = o->via.array.size;
    return WIRE_OK;
}

#define RECORD(name)                                                          \
    static enum wire_error unpack_##name(const msgpack_object *o,             \
                                         struct rec_##name *r)                \
    {                                                                         \
        const msgpack_object *at = NULL;                                      \
        size_t left = 0;                                                      \
        enum wire_error err =                                                 \
            open_record(o, REQUIRED_##name, FIELDS_##name, &at, &left);
#define FIELD(call)                                                           \
    if (next_field(err, &left)) {                                             \
        err = (call);                                                         \
        at++;                                                                 \
    }
#define U64(f) FIELD(get_u64(at, &r->f))
#define NAME(f) FIELD(get_text(at, r->f.s, sizeof(r->f.s)))
#define ADDR(f) FIELD(get_text(at, r->f.s, sizeof(r->f.s)))
#define KEY(f) FIELD(get_key(at, &r->f))
#define BLOB(f) FIELD(get_blob(at, &r->f))
#define ARRAY(rec, f)                                                         \
    if (next_field(err, &left)) {                                             \
        void *array = NULL;                                                   \
        err = open_array(at, sizeof(*r->f), &array, &r->n_##f);               \
        r->f = array;                                                         \
        for (size_t i = 0; r->f != NULL && err == WIRE_OK && i < r->n_##f;    \
             i++) {                                                           \
            err = unpack_##rec(&at->via.array.ptr[i], &r->f[i]);              \
        }                                                                     \
        at++;                                                                 \
    }
#define END(name)                                                             \
    return err;                                                               \
    }
#include "wire_list.h"
#undef RECORD
#undef FIELD
#undef U64
#undef NAME
#undef ADDR
#undef KEY
#undef BLOB
#undef ARRAY
#undef END

#define RECORD(name)                                                          \
    static void free_##name(struct rec_##name *r)                             \
    {                                                                         \
        (void)r;
#define U64(f)
#define NAME(f)
#define ADDR(f)
#define KEY(f)
#define BLOB(f) blob_unref(r->f);
#define ARRAY(rec, f)                                                         \
    for (size_t i = 0; i < r->n_##f; i++) {                                   \
        free_##rec(&r->f[i]);                                                 \
    }                                                                         \
    free(r->f);
#define END(name) }
#include "wire_list.h"
#undef RECORD
#undef BLOB
#undef ARRAY
#undef END

/* Copies: the struct is copied whole first, then what it points to. */
static void *
copy_array(const void *from, size_t n, size_t size)
{
    void *to;

    if (n == 0) {
        return NULL;
    }
    to = calloc(n, size);
    if (to == NULL) {
        abort();
    }
    memcpy(to, from, n * size);
    return to;
}

#define RECORD(name)                                                          \
    static void copy_##name(struct rec_##name *r)                             \
    {                                                                         \
        (void)r;
#define BLOB(f) (void)blob_ref(r->f);
#define ARRAY(rec, f)                                                         \
    r->f = copy_array(r->f, r->n_##f, sizeof(*r->f));                         \
    for (size_t i = 0; i < r->n_##f; i++) {                                   \
        copy_##rec(&r->f[i]);                                                 \
    }
#define END(name) }
#include "wire_list.h"
#undef RECORD
#undef U64
#undef NAME
#undef ADDR
#undef KEY
#undef BLOB
#undef ARRAY
#undef END

/* One table of calls for each kind; a switch over all of them would be a
 * function that grows with the list. */
#define MSG(KIND, record)                                                     \
    static void msg_pack_##record(const struct msg *m, msgpack_packer *p)     \
    {                                                                         \
        pack_##record(&m->u.record, p);                                       \
    }                                                                         \
    static enum wire_error msg_unpack_##record(const msgpack_object *o,       \
                                               struct msg *m)                 \
    {                                                                         \
        return unpack_##record(o, &m->u.record);                              \
    }                                                                         \
    static void msg_copy_##record(struct msg *m)                              \
    {                                                                         \
        copy_##record(&m->u.record);                                          \
    }                                                                         \
    static void msg_free_##record(struct msg *m)                              \
    {                                                                         \
        free_##record(&m->u.record);                                          \
    }
#include "msg_list.h"
#undef MSG

static const struct msg_calls {
    void (*pack)(const struct msg *m, msgpack_packer *p);
    enum wire_error (*unpack)(const msgpack_object *o, struct msg *m);
    void (*copy)(struct msg *m);
    void (*free)(struct msg *m);
} calls[MSG_KINDS] = {
#define MSG(KIND, record)                                                     \
    [MSG_##KIND] = {msg_pack_##record, msg_unpack_##record,                   \
                    msg_copy_##record, msg_free_##record},
#include "msg_list.h"
#undef MSG
};

const char *
msg_name(enum msg_kind kind)
{
    static const char *const names[] = {
#define MSG(KIND, record) #record,
#include "msg_list.h"
#undef MSG
    };

    return kind < MSG_KINDS ? names[kind] : "unknown";
}

struct msg
msg_copy(const struct msg *m)
{
    struct msg copy = *m;

    if (copy.kind < MSG_KINDS) {
        calls[copy.kind].copy(&copy);
    }
    return copy;
}

void
msg_free(struct msg *m)
{
    if (m->kind < MSG_KINDS) {
        calls[m->kind].free(m);
    }
    memset(m, 0, sizeof(*m));
}

enum wire_error
wire_encode(const struct msg *m, msgpack_sbuffer *out)
{
    msgpack_packer p;

    if (m->kind >= MSG_KINDS) {
        return WIRE_UNKNOWN;
    }
    msgpack_packer_init(&p, out, msgpack_sbuffer_write);
    msgpack_pack_array(&p, 2);
    msgpack_pack_uint64(&p, m->kind);
    calls[m->kind].pack(m, &p);
    return out->size <= WIRE_FRAME_MAX ? WIRE_OK : WIRE_TOO_LARGE;
}

struct blob *
wire_encode_blob(const struct msg *m)
{
    msgpack_sbuffer out;
    struct blob *b = NULL;

    msgpack_sbuffer_init(&out);
    if (wire_encode(m, &out) == WIRE_OK) {
        b = blob_new(out.data, out.size);
    }
    msgpack_sbuffer_destroy(&out);
    return b;
}

static enum wire_error
decode_object(const msgpack_object *o, struct msg *m)
{
    const msgpack_object *at = NULL;
    size_t left = 0;
    uint64_t kind = 0;
    enum wire_error err = open_record(o, 2, 2, &at, &left);

    if (err == WIRE_OK) {
        err = get_u64(at, &kind);
    }
    if (err != WIRE_OK) {
        return err;
    }
    if (kind >= MSG_KINDS) {
        return WIRE_UNKNOWN;
    }
    m->kind = (enum msg_kind)kind;
    return calls[m->kind].unpack(&at[1], m);
}

enum wire_error
wire_decode(const void *data, size_t size, struct msg *m)
{
    msgpack_unpacked unpacked;
    size_t used = 0;
    enum wire_error err;

    memset(m, 0, sizeof(*m));
    if (size > WIRE_FRAME_MAX) {
        return WIRE_TOO_LARGE;
    }
    err = wire_scan(data, size);
    if (err != WIRE_OK) {
        return err;
    }
    err = WIRE_MALFORMED;
    msgpack_unpacked_init(&unpacked);
    if (msgpack_unpack_next(&unpacked, data, size, &used) ==
            MSGPACK_UNPACK_SUCCESS &&
        used == size) {
        err = decode_object(&unpacked.data, m);
    }
    msgpack_unpacked_destroy(&unpacked);
    if (err != WIRE_OK) {
        msg_free(m);
    }
    return err;
}
