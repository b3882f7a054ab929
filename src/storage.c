#include "storage.h"

#include <endian.h>
#include <errno.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <xxhash.h>

static const char IDENTITY[] = "identity";
static const char VOTE[] = "vote";
static const char SNAPSHOT[] = "snapshot";
static const char LOG[] = "log";
static const char UPSTREAMS[] = "upstreams";

enum {
    RECORD_MAGIC = 0x31726d62, /* "bmr1" */
    TEMP_SIZE = 32,
    INITIAL_ENTRIES = 64,
};

/* Precedes the body of every record; little-endian. */
struct record_head {
    uint32_t magic;
    uint32_t size;
    uint64_t checksum;
};

struct storage {
    struct storage_options opts;
    enum storage_error failed;
    char detail[DETAIL_SIZE];
    uint64_t base;       /* index before the first entry of the file */
    uint64_t base_term;  /* term of the entry at base */
    uint64_t *offsets;   /* file offset of entry base + 1 + i */
    size_t n;            /* entries in the file */
    size_t capacity;     /* capacity of offsets */
    uint64_t size;       /* size of the log file, bytes */
    bool unsynced;       /* entries were appended since the last sync */
    msgpack_sbuffer out; /* reused for encoding */
};

const char *
storage_error_text(enum storage_error err)
{
    static const char *const texts[] = {
        [STORAGE_OK] = "ok",
        [STORAGE_IO] = "disk operation failed",
        [STORAGE_FULL] = "disk is full",
        [STORAGE_DAMAGED] = "data is damaged",
        [STORAGE_WRONG_MEMBER] = "data folder belongs to another member",
        [STORAGE_EXISTS] = "data folder is in use already",
        [STORAGE_MEMORY] = "out of memory",
    };

    return texts[err];
}

static enum storage_error
record_error(struct storage *s, enum storage_error err, const char *file,
             uint64_t offset, const char *cause)
{
    if (s->failed == STORAGE_OK) {
        s->failed = err;
        (void)snprintf(s->detail, sizeof(s->detail), "%s at offset %llu: %s",
                       file, (unsigned long long)offset, cause);
    }
    return s->failed;
}

static enum storage_error
check_result(struct storage *s, int result, const char *file,
             const char *operation)
{
    if (s->failed != STORAGE_OK || result == 0) {
        return s->failed;
    }
    s->failed = result == -ENOSPC   ? STORAGE_FULL
                : result == -ENOMEM ? STORAGE_MEMORY
                                    : STORAGE_IO;
    (void)snprintf(s->detail, sizeof(s->detail), "%s: %s: %s", file, operation,
                   strerror(-result));
    return s->failed;
}

/* The checksum covers the offset in the file, so that a block that the disk
 * wrote to a wrong place is not accepted as the record of that place. */
static uint64_t
record_checksum(const char *body, uint32_t size, uint64_t offset)
{
    return XXH3_64bits_withSeed(body, size,
                                offset * UINT64_C(0x9e3779b1) + size);
}

/* Encodes a message as the record at @offset of a file and appends the record
 * to @to. */
static void
encode_record(msgpack_sbuffer *to, const struct msg *m, uint64_t offset)
{
    struct record_head head = {0};
    size_t at = to->size;
    uint32_t size;

    if (msgpack_sbuffer_write(to, (const char *)&head, sizeof(head)) != 0 ||
        wire_encode(m, to) != WIRE_OK) {
        abort(); /* entry sizes are checked before an entry is accepted */
    }
    size = (uint32_t)(to->size - at - sizeof(head));
    head.magic = htole32(RECORD_MAGIC);
    head.size = htole32(size);
    head.checksum =
        htole64(record_checksum(to->data + at + sizeof(head), size, offset));
    memcpy(to->data + at, &head, sizeof(head));
}

/* Decodes the record at @offset.  Returns its size with the header, or 0 if
 * the record is invalid. */
static size_t
decode_record(const char *data, size_t size, size_t offset, struct msg *m)
{
    struct record_head head;
    const char *body = data + offset + sizeof(head);
    uint32_t length;

    if (size - offset < sizeof(head)) {
        return 0;
    }
    memcpy(&head, data + offset, sizeof(head));
    length = le32toh(head.size);
    if (le32toh(head.magic) != RECORD_MAGIC ||
        length > size - offset - sizeof(head) ||
        le64toh(head.checksum) != record_checksum(body, length, offset)) {
        return 0;
    }
    return wire_decode(body, length, m) == WIRE_OK ? sizeof(head) + length : 0;
}

/* Replaces a file atomically. */
static enum storage_error
replace_file(struct storage *s, const char *name, const void *data,
             size_t size)
{
    const struct disk_ops *ops = s->opts.ops;
    struct disk *d = s->opts.disk;
    char temp[TEMP_SIZE];
    int err;

    (void)snprintf(temp, sizeof(temp), "%s.tmp", name);
    err = ops->remove(d, temp);
    if (err != -ENOENT && check_result(s, err, temp, "remove") != STORAGE_OK) {
        return s->failed;
    }
    if (check_result(s, ops->append(d, temp, data, size), temp, "write") !=
            STORAGE_OK ||
        check_result(s, ops->sync(d, temp), temp, "sync") != STORAGE_OK ||
        check_result(s, ops->rename(d, temp, name), temp, "rename") !=
            STORAGE_OK) {
        return s->failed;
    }
    return check_result(s, ops->sync_folder(d), name, "sync folder");
}

static enum storage_error
replace_record(struct storage *s, const char *name, const struct msg *m)
{
    if (s->failed != STORAGE_OK) {
        return s->failed;
    }
    msgpack_sbuffer_clear(&s->out);
    encode_record(&s->out, m, 0);
    return replace_file(s, name, s->out.data, s->out.size);
}

/* Reads a file that holds one record.  Returns false if the file is missing or
 * on an error. */
static bool
read_record(struct storage *s, const char *name, enum msg_kind kind,
            struct msg *m)
{
    char *data = NULL;
    size_t size = 0;
    int err = s->opts.ops->read(s->opts.disk, name, &data, &size);
    bool found = false;

    memset(m, 0, sizeof(*m));
    if (err == -ENOENT || check_result(s, err, name, "read") != STORAGE_OK) {
        return false;
    }
    if (size == 0 || decode_record(data, size, 0, m) != size ||
        m->kind != kind) {
        msg_free(m);
        (void)record_error(s, STORAGE_DAMAGED, name, 0,
                           "checksum does not match");
    }
    else {
        found = true;
    }
    free(data);
    return found;
}

static void
add_offset(struct storage *s, uint64_t offset)
{
    if (s->n == s->capacity) {
        size_t capacity = s->capacity == 0 ? INITIAL_ENTRIES : s->capacity * 2;
        uint64_t *offsets = realloc(s->offsets, capacity * sizeof(*offsets));

        if (offsets == NULL) {
            abort();
        }
        s->offsets = offsets;
        s->capacity = capacity;
    }
    s->offsets[s->n++] = offset;
}

static struct msg
entry_msg(const struct rec_log_entry *e)
{
    struct msg m = {.kind = MSG_LOG_ENTRY};

    m.u.log_entry = *e;
    return m;
}

static struct msg
mark_msg(const struct storage *s, uint64_t kind)
{
    struct msg m = {.kind = MSG_LOG_ENTRY};

    m.u.log_entry.kind = kind;
    m.u.log_entry.index = s->base + s->n;
    m.u.log_entry.term = s->base_term;
    return m;
}

/* Returns whether a valid mark follows @from; the data at @from was durable
 * then. */
static bool
followed_by_mark(const char *data, size_t size, size_t from)
{
    uint32_t magic = htole32(RECORD_MAGIC);
    bool found = false;

    for (size_t at = from + 1;
         !found && at + sizeof(struct record_head) <= size; at++) {
        struct msg m = {0};

        if (memcmp(data + at, &magic, sizeof(magic)) != 0 ||
            decode_record(data, size, at, &m) == 0) {
            continue;
        }
        found = m.kind == MSG_LOG_ENTRY && m.u.log_entry.kind == LOG_KIND_MARK;
        msg_free(&m);
    }
    return found;
}

static enum storage_error
add_entry(struct storage *s, struct storage_contents *f, uint64_t offset,
          struct rec_log_entry *e)
{
    if (f->n_entries % INITIAL_ENTRIES == 0) {
        f->entries = realloc(f->entries, (f->n_entries + INITIAL_ENTRIES) *
                                             sizeof(*f->entries));
        if (f->entries == NULL) {
            abort();
        }
    }
    if (e->index != s->base + s->n + 1) {
        blob_unref(e->data);
        return record_error(s, STORAGE_DAMAGED, LOG, offset,
                            "entry out of order");
    }
    add_offset(s, offset);
    f->entries[f->n_entries++] = *e;
    return STORAGE_OK;
}

static enum storage_error
apply_record(struct storage *s, struct storage_contents *f, uint64_t offset,
             struct msg *m)
{
    struct rec_log_entry *e = &m->u.log_entry;

    if (m->kind != MSG_LOG_ENTRY ||
        (e->kind == LOG_KIND_HEADER) != (offset == 0)) {
        msg_free(m);
        return record_error(s, STORAGE_DAMAGED, LOG, offset,
                            "unexpected record");
    }
    if (e->kind == LOG_KIND_HEADER) {
        s->base = e->index;
        s->base_term = e->term;
        return STORAGE_OK;
    }
    if (e->kind == LOG_KIND_MARK) {
        return e->index == s->base + s->n
                   ? STORAGE_OK
                   : record_error(s, STORAGE_DAMAGED, LOG, offset,
                                  "mark does not match the entries before it");
    }
    return add_entry(s, f, offset, e);
}

static enum storage_error
scan_log(struct storage *s, struct storage_contents *f, const char *data,
         size_t size)
{
    size_t at = 0;

    while (at < size) {
        struct msg m = {0};
        size_t used = decode_record(data, size, at, &m);

        if (used == 0) {
            break;
        }
        if (apply_record(s, f, at, &m) != STORAGE_OK) {
            return s->failed;
        }
        at += used;
    }
    if (at == 0) {
        return record_error(s, STORAGE_DAMAGED, LOG, 0, "no header");
    }
    if (at < size && followed_by_mark(data, size, at)) {
        return record_error(s, STORAGE_DAMAGED, LOG, at,
                            "an acknowledged record is damaged");
    }
    s->size = at;
    f->truncated_bytes = size - at;
    return STORAGE_OK;
}

static enum storage_error
append_bytes(struct storage *s, const void *data, size_t size)
{
    if (check_result(s, s->opts.ops->append(s->opts.disk, LOG, data, size),
                     LOG, "write") == STORAGE_OK) {
        s->size += size;
    }
    return s->failed;
}

static enum storage_error
sync_log(struct storage *s)
{
    return check_result(s, s->opts.ops->sync(s->opts.disk, LOG), LOG, "sync");
}

static enum storage_error
append_mark(struct storage *s)
{
    struct msg m = mark_msg(s, LOG_KIND_MARK);

    msgpack_sbuffer_clear(&s->out);
    encode_record(&s->out, &m, s->size);
    if (append_bytes(s, s->out.data, s->out.size) != STORAGE_OK) {
        return s->failed;
    }
    return sync_log(s);
}

enum storage_error
storage_sync(struct storage *s)
{
    if (s->failed != STORAGE_OK || !s->unsynced) {
        return s->failed;
    }
    if (sync_log(s) != STORAGE_OK) {
        return s->failed;
    }
    s->unsynced = false;
    return s->opts.skip_mark ? STORAGE_OK : append_mark(s);
}

enum storage_error
storage_append(struct storage *s, const struct rec_log_entry *entries,
               size_t n)
{
    uint64_t offset = s->size;

    if (s->failed != STORAGE_OK || n == 0) {
        return s->failed;
    }
    msgpack_sbuffer_clear(&s->out);
    for (size_t i = 0; i < n; i++) {
        struct msg m = entry_msg(&entries[i]);

        if (entries[i].index != s->base + s->n + 1) {
            return record_error(s, STORAGE_IO, LOG, offset,
                                "entry out of order");
        }
        add_offset(s, offset + s->out.size);
        encode_record(&s->out, &m, offset + s->out.size);
    }
    s->unsynced = true;
    return append_bytes(s, s->out.data, s->out.size);
}

/* Truncates the log and syncs it before new records are appended.  Otherwise a
 * power loss could leave marks of the old tail behind a torn new record, which
 * the next start would report as damage. */
static enum storage_error
truncate_log(struct storage *s, uint64_t size)
{
    if (check_result(s, s->opts.ops->truncate(s->opts.disk, LOG, size), LOG,
                     "truncate") != STORAGE_OK) {
        return s->failed;
    }
    s->size = size;
    return sync_log(s);
}

enum storage_error
storage_truncate(struct storage *s, uint64_t index)
{
    size_t keep;

    if (s->failed != STORAGE_OK || index > s->base + s->n) {
        return s->failed;
    }
    if (index <= s->base) {
        return record_error(s, STORAGE_IO, LOG, 0,
                            "truncation before the end of the snapshot");
    }
    keep = index - s->base - 1;
    s->n = keep;
    return truncate_log(s, s->offsets[keep]);
}

enum storage_error
storage_save_vote(struct storage *s, uint64_t term, struct name vote)
{
    struct msg m = {.kind = MSG_VOTE_STATE};

    m.u.vote_state.term = term;
    m.u.vote_state.vote = vote;
    return replace_record(s, VOTE, &m);
}

/* Encodes a log file with the entries of @data from offset @keep_from on. */
static void
build_log(struct storage *s, const char *data, size_t size, size_t keep_from,
          msgpack_sbuffer *out)
{
    struct msg m = mark_msg(s, LOG_KIND_HEADER);
    size_t first = s->n;
    size_t at = keep_from;

    m.u.log_entry.index = s->base;
    encode_record(out, &m, 0);
    s->n = 0;
    while (first > 0 && at < size) {
        size_t used = decode_record(data, size, at, &m);

        if (used == 0) {
            break;
        }
        if (!log_kind_is_internal(m.u.log_entry.kind)) {
            add_offset(s, out->size);
            encode_record(out, &m, out->size);
        }
        msg_free(&m);
        at += used;
    }
    m = mark_msg(s, LOG_KIND_MARK);
    encode_record(out, &m, out->size);
}

static enum storage_error
compact_log(struct storage *s, uint64_t index, uint64_t term, bool discard)
{
    msgpack_sbuffer out;
    char *data = NULL;
    size_t size = 0;
    size_t drop = index - s->base;
    size_t kept = discard || drop > s->n ? 0 : s->n - drop;
    size_t from;

    if (check_result(s, s->opts.ops->read(s->opts.disk, LOG, &data, &size),
                     LOG, "read") != STORAGE_OK) {
        return s->failed;
    }
    from = kept > 0 ? s->offsets[drop] : size;
    msgpack_sbuffer_init(&out);
    s->base = index;
    s->base_term = term;
    s->n = kept;
    build_log(s, data, size, from, &out);
    if (s->n != kept) {
        (void)record_error(s, STORAGE_DAMAGED, LOG, from,
                           "entries are missing");
    }
    else if (replace_file(s, LOG, out.data, out.size) == STORAGE_OK) {
        s->size = out.size;
        s->unsynced = false;
    }
    msgpack_sbuffer_destroy(&out);
    free(data);
    return s->failed;
}

static enum storage_error
save_state(struct storage *s, uint64_t index, uint64_t term,
           struct blob *state)
{
    struct msg m = {.kind = MSG_SAVED_STATE};

    m.u.saved_state.index = index;
    m.u.saved_state.term = term;
    m.u.saved_state.state = state;
    return replace_record(s, SNAPSHOT, &m);
}

enum storage_error
storage_save_snapshot(struct storage *s, uint64_t index, uint64_t term,
                      struct blob *state, bool discard)
{
    if (s->failed != STORAGE_OK || index <= s->base) {
        return s->failed;
    }
    if (save_state(s, index, term, state) != STORAGE_OK) {
        return s->failed;
    }
    return compact_log(s, index, term, discard);
}

/* A separate struct storage keeps an error of this file out of s->failed: a
 * disk that cannot store the hint may still have space for the log. */
void
storage_save_upstreams(struct storage *s, const struct msg *report)
{
    struct storage scratch = {.opts = s->opts};

    if (s->failed != STORAGE_OK) {
        return;
    }
    msgpack_sbuffer_init(&scratch.out);
    (void)replace_record(&scratch, UPSTREAMS, report);
    msgpack_sbuffer_destroy(&scratch.out);
}

const char *
storage_detail(const struct storage *s)
{
    return s->detail;
}

void
storage_close(struct storage *s)
{
    if (s == NULL) {
        return;
    }
    free(s->offsets);
    msgpack_sbuffer_destroy(&s->out);
    free(s);
}

void
storage_contents_free(struct storage_contents *f)
{
    for (size_t i = 0; i < f->n_entries; i++) {
        blob_unref(f->entries[i].data);
    }
    free(f->entries);
    blob_unref(f->snapshot);
    msg_free(&f->upstreams);
    memset(f, 0, sizeof(*f));
}

static struct storage *
storage_new(const struct storage_options *options)
{
    struct storage *s = calloc(1, sizeof(*s));

    if (s == NULL) {
        abort();
    }
    s->opts = *options;
    msgpack_sbuffer_init(&s->out);
    return s;
}

static enum storage_error
read_snapshot(struct storage *s, struct storage_contents *f)
{
    struct msg m;

    if (read_record(s, SNAPSHOT, MSG_SAVED_STATE, &m)) {
        f->snapshot_index = m.u.saved_state.index;
        f->snapshot_term = m.u.saved_state.term;
        f->snapshot = m.u.saved_state.state;
    }
    return s->failed;
}

static enum storage_error
read_vote(struct storage *s, struct storage_contents *f)
{
    struct msg m;

    if (read_record(s, VOTE, MSG_VOTE_STATE, &m)) {
        f->term = m.u.vote_state.term;
        f->vote = m.u.vote_state.vote;
    }
    return s->failed;
}

static void
read_upstreams(const struct storage *s, struct storage_contents *f)
{
    struct storage scratch = {.opts = s->opts};

    (void)read_record(&scratch, UPSTREAMS, MSG_UPSTREAM_REPORT, &f->upstreams);
    f->upstreams_unreadable = scratch.failed != STORAGE_OK;
}

static enum storage_error
read_log(struct storage *s, struct storage_contents *f)
{
    char *data = NULL;
    size_t size = 0;
    int err = s->opts.ops->read(s->opts.disk, LOG, &data, &size);

    if (err == -ENOENT) {
        return record_error(s, STORAGE_DAMAGED, LOG, 0, "the file is missing");
    }
    if (check_result(s, err, LOG, "read") == STORAGE_OK) {
        (void)scan_log(s, f, data, size);
    }
    free(data);
    return s->failed;
}

static void
drop_entries(struct storage_contents *f, size_t n)
{
    for (size_t i = 0; i < n; i++) {
        blob_unref(f->entries[i].data);
    }
    f->n_entries -= n;
    memmove(f->entries, f->entries + n, f->n_entries * sizeof(*f->entries));
}

/* Completes a compaction that a power loss interrupted between the rename of
 * the snapshot and the rename of the compacted log.  The entries after the
 * snapshot are valid only if the log entry at the snapshot's index has the
 * snapshot's term; otherwise the snapshot came from a leader and replaced
 * them. */
static enum storage_error
finish_compaction(struct storage *s, struct storage_contents *f)
{
    size_t drop = f->snapshot_index - s->base;
    bool agrees =
        drop <= s->n && f->entries[drop - 1].term == f->snapshot_term;

    if (compact_log(s, f->snapshot_index, f->snapshot_term, !agrees) ==
        STORAGE_OK) {
        drop_entries(f, agrees ? drop : f->n_entries);
    }
    return s->failed;
}

static enum storage_error
recover_log(struct storage *s, struct storage_contents *f)
{
    uint64_t snapshot = f->snapshot_index;

    if (read_log(s, f) != STORAGE_OK) {
        return s->failed;
    }
    if (s->base > snapshot) {
        return record_error(s, STORAGE_DAMAGED, SNAPSHOT, 0,
                            "older than the start of the log");
    }
    if (s->base == snapshot && s->base_term != f->snapshot_term) {
        return record_error(s, STORAGE_DAMAGED, SNAPSHOT, 0,
                            "its term differs from the start of the log");
    }
    if (f->truncated_bytes > 0 && truncate_log(s, s->size) != STORAGE_OK) {
        return s->failed;
    }
    if (s->base < snapshot) {
        return finish_compaction(s, f);
    }
    /* The entries found may be acknowledged from here on. */
    return sync_log(s) == STORAGE_OK ? append_mark(s) : s->failed;
}

/* Writes the identity last: a folder without an identity counts as empty, so a
 * power loss before that is harmless. */
static enum storage_error
initialize_folder(struct storage *s, uint64_t index, uint64_t term,
                  struct blob *snapshot)
{
    msgpack_sbuffer out;
    struct msg m = {.kind = MSG_DISK_IDENTITY};

    if (snapshot != NULL &&
        save_state(s, index, term, snapshot) != STORAGE_OK) {
        return s->failed;
    }
    s->base = index;
    s->base_term = term;
    msgpack_sbuffer_init(&out);
    build_log(s, NULL, 0, 0, &out);
    (void)replace_file(s, LOG, out.data, out.size);
    s->size = out.size;
    msgpack_sbuffer_destroy(&out);
    m.u.disk_identity.member = s->opts.member;
    m.u.disk_identity.region = s->opts.region;
    m.u.disk_identity.disk = s->opts.new_disk_id;
    return replace_record(s, IDENTITY, &m);
}

/* A folder without an identity must hold neither a vote nor an entry.  If it
 * does, the identity file was lost, and the vote is still binding. */
static enum storage_error
check_uninitialized(struct storage *s)
{
    struct storage_contents f = {0};
    struct msg m;
    char *data = NULL;
    size_t size = 0;
    int err = s->opts.ops->read(s->opts.disk, LOG, &data, &size);

    if (read_record(s, VOTE, MSG_VOTE_STATE, &m)) {
        (void)record_error(s, STORAGE_DAMAGED, IDENTITY, 0,
                           "the file is missing");
    }
    if (s->failed == STORAGE_OK && err == 0 &&
        scan_log(s, &f, data, size) == STORAGE_OK && s->n > 0) {
        (void)record_error(s, STORAGE_DAMAGED, IDENTITY, 0,
                           "the file is missing");
    }
    s->n = 0;
    storage_contents_free(&f);
    free(data);
    return s->failed;
}

static enum storage_error
read_identity(struct storage *s, struct storage_contents *f)
{
    struct msg m;

    if (!read_record(s, IDENTITY, MSG_DISK_IDENTITY, &m)) {
        return s->failed;
    }
    if (!name_equal(m.u.disk_identity.member, s->opts.member) ||
        !name_equal(m.u.disk_identity.region, s->opts.region)) {
        (void)snprintf(
            s->detail, sizeof(s->detail),
            "%s: the folder belongs to member \"%s\" of region \"%s\"",
            IDENTITY, m.u.disk_identity.member.s, m.u.disk_identity.region.s);
        s->failed = STORAGE_WRONG_MEMBER;
        return s->failed;
    }
    f->disk_id = m.u.disk_identity.disk;
    return STORAGE_OK;
}

static enum storage_error
recover(struct storage *s, struct storage_contents *f)
{
    if (read_identity(s, f) != STORAGE_OK) {
        return s->failed;
    }
    if (f->disk_id == 0) {
        f->created = true;
        f->disk_id = s->opts.new_disk_id;
        return check_uninitialized(s) == STORAGE_OK
                   ? initialize_folder(s, 0, 0, NULL)
                   : s->failed;
    }
    if (read_vote(s, f) != STORAGE_OK || read_snapshot(s, f) != STORAGE_OK) {
        return s->failed;
    }
    read_upstreams(s, f);
    return recover_log(s, f);
}

enum storage_error
storage_open(const struct storage_options *options, struct storage **out,
             struct storage_contents *found, char *detail)
{
    struct storage *s = storage_new(options);
    enum storage_error err;

    memset(found, 0, sizeof(*found));
    err = recover(s, found);
    (void)snprintf(detail, DETAIL_SIZE, "%s", s->detail);
    if (err != STORAGE_OK) {
        storage_contents_free(found);
        storage_close(s);
        s = NULL;
    }
    *out = s;
    return err;
}

enum storage_error
storage_format(const struct storage_options *options, uint64_t index,
               uint64_t term, struct blob *snapshot, char *detail)
{
    struct storage *s = storage_new(options);
    struct storage_contents found = {0};
    enum storage_error err = read_identity(s, &found);

    if (err == STORAGE_OK && found.disk_id != 0) {
        err = record_error(s, STORAGE_EXISTS, IDENTITY, 0,
                           "the folder is in use");
    }
    if (err == STORAGE_OK && check_uninitialized(s) == STORAGE_OK) {
        (void)initialize_folder(s, index, term, snapshot);
    }
    err = s->failed;
    (void)snprintf(detail, DETAIL_SIZE, "%s", s->detail);
    storage_close(s);
    return err;
}
