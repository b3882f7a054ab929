/**
 * DOC: explain - record of the decisions made for a key, with time and reason
 *
 * Kept in two places, both of limited size.  Each job stores its first and its
 * latest decisions.  A ring buffer stores the latest important decisions on
 * all keys, so that some remain after the job was removed.
 */
#ifndef BM_EXPLAIN_H
#define BM_EXPLAIN_H

#include "entry_state.h"
#include "jobs.h"

struct explain *explain_new(void);
void explain_free(struct explain *x);

/** explain_record_log() - records a log line that is about a key */
void explain_record_log(struct entry *e, const struct ef_log *log);

/** explain_record() - records a decision on a job that is not logged, such as
 * a start */
void explain_record(struct entry *e, struct job *job, enum reason reason,
                    int32_t index, struct name subject);

/** explain_bytes() - memory of the decisions stored in a job, in bytes */
size_t explain_bytes(const struct job *job);

/** explain_clear() - frees the decisions stored in a job */
void explain_clear(struct job *job);

/** explain_query() - answers a query with the decisions on a key */
void explain_query(struct entry *e, const struct ev_query *q);

#endif
