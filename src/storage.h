/**
 * DOC: storage - persistent state of a control member
 *
 * The data folder holds five files.  "identity", "vote" and "snapshot" hold
 * one record each and are replaced atomically: a temporary file is written,
 * synced and renamed, and then the folder is synced.  "log" is append-only.
 * Every record carries its length and a checksum (XXH3, seeded with the offset
 * of the record in the file).
 *
 * After a batch of log records is synced, a mark record is appended and synced
 * too, and only then is the batch acknowledged.  A bad record that is followed
 * by a mark was acknowledged, so the disk has damaged it, and opening the
 * folder fails.  A bad record that is not followed by a mark is a torn write
 * that was never acknowledged; the log is truncated before it.
 *
 * "upstreams" is only a hint: the upstreams known at the last save.  Its
 * reader verifies each of them.  A missing, damaged or stale hint costs only
 * time, so an error on this file never fails an open or a write.
 */
#ifndef BM_STORAGE_H
#define BM_STORAGE_H

#include "base.h"
#include "disk.h"
#include "wire.h"

/** enum log_kind - type of a log entry */
enum log_kind {
    LOG_KIND_NOOP,       /* first entry of a new leader */
    LOG_KIND_PUBLISH,    /* MSG_PUBLISH */
    LOG_KIND_MEMBERS,    /* MSG_MEMBERSHIP */
    LOG_KIND_HEADER,     /* file only: index and term before the first entry */
    LOG_KIND_MARK,       /* file only: all records before it were synced */
    LOG_KIND_EVACUATION, /* MSG_EVACUATION_ORDER */
};

/** log_kind_is_internal() - whether records of that kind are written by the
 * storage itself and are no entries of the log */
static inline bool
log_kind_is_internal(uint64_t kind)
{
    return kind == LOG_KIND_HEADER || kind == LOG_KIND_MARK;
}

enum storage_error {
    STORAGE_OK,
    STORAGE_IO,           /* a disk operation failed */
    STORAGE_FULL,         /* no space left on the disk */
    STORAGE_DAMAGED,      /* acknowledged data is missing or corrupt */
    STORAGE_WRONG_MEMBER, /* the folder belongs to another member */
    STORAGE_EXISTS,       /* the folder is already initialized */
    STORAGE_MEMORY,
};

/** storage_error_text() - short description of an error */
const char *storage_error_text(enum storage_error err);

struct storage;

/**
 * struct storage_options - how to open a data folder
 * @ops: disk functions
 * @disk: first argument of @ops
 * @member: member that the folder must belong to
 * @region: region that the folder must belong to
 * @new_disk_id: disk identity for an empty folder; random, not 0
 * @skip_mark: acknowledge without a mark; only for a test that shows why marks
 *             are needed
 */
struct storage_options {
    const struct disk_ops *ops;
    struct disk *disk;
    struct name member;
    struct name region;
    uint64_t new_disk_id;
    bool skip_mark;
};

/** struct storage_contents - contents of a data folder, to be freed with
 * storage_contents_free() */
struct storage_contents {
    uint64_t disk_id; /* disk identity of the folder */
    bool created;     /* the folder was empty and has been initialized */
    uint64_t term;
    struct name vote;
    uint64_t snapshot_index; /* 0: no snapshot */
    uint64_t snapshot_term;
    struct blob *snapshot;
    struct rec_log_entry *entries; /* after the snapshot, in order */
    size_t n_entries;
    uint64_t
        truncated_bytes;  /* size in bytes of a torn tail that was removed */
    struct msg upstreams; /* MSG_UPSTREAM_REPORT; empty if there is no hint */
    bool upstreams_unreadable; /* the hint exists but could not be read */
};

void storage_contents_free(struct storage_contents *f);

/** storage_format() - initializes an empty folder for a founding member, with
 * @snapshot as its state and @options->new_disk as its disk identity.  On an
 * error @detail (DETAIL_SIZE bytes) names file, offset and cause. */
enum storage_error storage_format(const struct storage_options *options,
                                  uint64_t index, uint64_t term,
                                  struct blob *snapshot, char *detail);

/** storage_open() - reads a folder, and initializes it if it is empty.  On an
 * error @detail (DETAIL_SIZE bytes) names file, offset and cause. */
enum storage_error storage_open(const struct storage_options *options,
                                struct storage **out,
                                struct storage_contents *found, char *detail);

/** storage_close() - does not sync; NULL is allowed */
void storage_close(struct storage *s);

/* After the first error every call returns that error: the state of the disk
 * after a failed sync is unknown, so no write may be acknowledged and the
 * process has to stop. */

/** storage_append() - appends entries, which are durable after storage_sync()
 */
enum storage_error storage_append(struct storage *s,
                                  const struct rec_log_entry *entries,
                                  size_t n);

/** storage_truncate() - removes the entries from @index on; durable on return
 */
enum storage_error storage_truncate(struct storage *s, uint64_t index);

/** storage_save_vote() - replaces term and vote; durable on return */
enum storage_error storage_save_vote(struct storage *s, uint64_t term,
                                     struct name vote);

/** storage_save_snapshot() - replaces the snapshot and compacts the log;
 * durable on return.  The log keeps the entries after @index, or none if
 * @discard is set. */
enum storage_error storage_save_snapshot(struct storage *s, uint64_t index,
                                         uint64_t term, struct blob *state,
                                         bool discard);

/** storage_save_upstreams() - replaces the upstreams hint
 * (MSG_UPSTREAM_REPORT); durable on return, errors are ignored */
void storage_save_upstreams(struct storage *s, const struct msg *report);

/** storage_sync() - makes the appended entries durable */
enum storage_error storage_sync(struct storage *s);

/** storage_detail() - file, offset and cause of the first error */
const char *storage_detail(const struct storage *s);

#endif
