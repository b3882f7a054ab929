/**
 * DOC: clog - a control member's log in memory
 *
 * Holds the entries behind a base, whose term is known too.  Each entry knows
 * with which sync it becomes durable.
 */
#ifndef BM_CLOG_H
#define BM_CLOG_H

#include "wire.h"

struct clog_slot {
    struct rec_log_entry entry;
    uint64_t seq; /* durable once this sync is done */
};

struct clog {
    uint64_t base; /* index before the first entry */
    uint64_t base_term;
    struct clog_slot *slots;
    size_t n;
    size_t room;
    size_t bytes;     /* of the entries' data */
    uint64_t durable; /* index; all up to it is on the disk */
};

/** clog_init() - an empty log behind that position */
void clog_init(struct clog *l, uint64_t base, uint64_t base_term);
void clog_free(struct clog *l);

/** clog_last() - index of the last entry, or the base */
uint64_t clog_last(const struct clog *l);

/** clog_last_term() - its term */
uint64_t clog_last_term(const struct clog *l);

/** clog_term() - term of the entry at @index; 0 when it is not here */
uint64_t clog_term(const struct clog *l, uint64_t index);

/** clog_at() - the entry, or NULL when it is not here */
const struct rec_log_entry *clog_at(const struct clog *l, uint64_t index);

/** clog_add() - takes over the reference in @e; its index must be the next */
void clog_add(struct clog *l, const struct rec_log_entry *e, uint64_t seq);

/** clog_cut() - drops the entries from @index on */
void clog_cut(struct clog *l, uint64_t index);

/** clog_drop() - drops the entries up to @index, which becomes the base */
void clog_drop(struct clog *l, uint64_t index);

/** clog_reset() - empties the log; a snapshot replaced it */
void clog_reset(struct clog *l, uint64_t base, uint64_t base_term);

/** clog_saved() - that sync is done */
void clog_saved(struct clog *l, uint64_t seq);

/** clog_seq() - the sync with which @index becomes durable; 0: it is */
uint64_t clog_seq(const struct clog *l, uint64_t index);

#endif
