/**
 * DOC: storage - what a control member must not forget, on its disk
 *
 * Five files in one data folder.  "identity", "vote" and "snapshot" hold one
 * record each and are replaced whole: written beside, synced, renamed, and the
 * folder synced.  "log" is appended to.  Every record carries its length and a
 * checksum (XXH3, seeded with its place in the file).
 *
 * After a batch of log records is synced, a mark record is appended and synced
 * too, and only then is the batch acknowledged.  A bad record with a mark
 * behind it was acknowledged once: the disk damaged it, and the start is
 * refused.  A bad record without a mark behind it is a write that power loss
 * cut short and that nobody was told about: it is cut off.
 *
 * "upstreams" is a hint alone: which upstreams were there.  Whoever uses it
 * asks them; where it is missing, damaged or old, that costs time and nothing
 * else, so none of it makes a start or a write fail.
 */
#ifndef BM_STORAGE_H
#define BM_STORAGE_H

#include "base.h"
#include "disk.h"
#include "wire.h"

/** enum log_kind - of an entry of the log */
enum log_kind {
    LOG_KIND_NOOP,    /* a new leader's first */
    LOG_KIND_PUBLISH, /* MSG_PUBLISH */
    LOG_KIND_MEMBERS, /* MSG_MEMBERSHIP */
    LOG_KIND_HEADER,  /* in the file only: index and term before the first */
    LOG_KIND_MARK,    /* in the file only: all before it was synced */
};

enum storage_error {
    STORAGE_OK,
    STORAGE_IO,      /* the disk failed an operation */
    STORAGE_FULL,    /* no room */
    STORAGE_DAMAGED, /* acknowledged bytes are not what was written */
    STORAGE_FOREIGN, /* the folder is another member's */
    STORAGE_EXISTS,  /* the folder is in use already */
    STORAGE_MEMORY,
};

/** storage_error_text() - in a few words */
const char *storage_error_text(enum storage_error err);

struct storage;

/**
 * struct storage_options - how to open a data folder
 * @ops: the disk's functions
 * @disk: their first argument
 * @member: whose folder it must be
 * @region: and of which region
 * @new_disk: identity to give the folder if it is empty; random, not 0
 * @skip_mark: for tests of the tests: acknowledge without the mark
 */
struct storage_options {
    const struct disk_ops *ops;
    struct disk *disk;
    struct name member;
    struct name region;
    uint64_t new_disk;
    bool skip_mark;
};

/** struct storage_found - what a folder held; storage_found_free() it */
struct storage_found {
    uint64_t disk; /* identity of the folder */
    bool made;     /* it was empty and has been made now */
    uint64_t term;
    struct name vote;
    uint64_t snapshot_index; /* 0: no snapshot */
    uint64_t snapshot_term;
    struct blob *snapshot;
    struct rec_log_entry *entries; /* after the snapshot, in order */
    size_t n_entries;
    uint64_t cut;         /* bytes of a torn tail that were cut off */
    struct msg upstreams; /* MSG_UPSTREAM_REPORT; empty where there is none */
    bool upstreams_bad;   /* there was one, and it could not be read */
};

void storage_found_free(struct storage_found *f);

/** storage_format() - makes an empty folder a founding member's: it starts
 * from that snapshot and has the identity @options->new_disk */
enum storage_error storage_format(const struct storage_options *options,
                                  uint64_t index, uint64_t term,
                                  struct blob *snapshot, char *detail);

/** storage_open() - reads a folder, makes an empty one.  On an error @detail
 * (DETAIL_SIZE bytes) names file, offset and cause. */
enum storage_error storage_open(const struct storage_options *options,
                                struct storage **out,
                                struct storage_found *found, char *detail);

/** storage_close() - syncs nothing; NULL is allowed */
void storage_close(struct storage *s);

/* After the first error every call fails with it: what a failed sync left on
 * the disk is unknown, so nothing may be acknowledged any more and the process
 * has to stop. */

/** storage_append() - adds entries; durable after storage_sync() */
enum storage_error storage_append(struct storage *s,
                                  const struct rec_log_entry *entries,
                                  size_t n);

/** storage_truncate() - drops the entries from @index on; durable at once */
enum storage_error storage_truncate(struct storage *s, uint64_t index);

/** storage_save_vote() - durable at once */
enum storage_error storage_save_vote(struct storage *s, uint64_t term,
                                     struct name vote);

/** storage_save_snapshot() - durable at once; the log keeps the entries behind
 * @index, or none where @discard */
enum storage_error storage_save_snapshot(struct storage *s, uint64_t index,
                                         uint64_t term, struct blob *state,
                                         bool discard);

/** storage_save_upstreams() - replaces the hint, MSG_UPSTREAM_REPORT, as far
 * as the disk takes it; durable at once */
void storage_save_upstreams(struct storage *s, const struct msg *report);

/** storage_sync() - makes what was appended durable */
enum storage_error storage_sync(struct storage *s);

/** storage_detail() - of the first error: file, offset, cause */
const char *storage_detail(const struct storage *s);

#endif
