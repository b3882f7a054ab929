/**
 * DOC: explain - what was decided for a key, when and why
 *
 * Two memories, both bounded.  A job that is here has notes of its own: its
 * first decisions and its latest ones.  A ring has the latest decisions of
 * note about any key, so that something is left when the job is forgotten.
 */
#ifndef BM_EXPLAIN_H
#define BM_EXPLAIN_H

#include "entry_state.h"
#include "jobs.h"

struct explain *explain_new(void);
void explain_free(struct explain *x);

/** explain_record_log() - keeps a log line that is about a key */
void explain_record_log(struct entry *e, const struct ef_log *log);

/** explain_record() - keeps a decision that is not logged, such as a start */
void explain_record(struct entry *e, struct job *job, enum reason reason,
                    int32_t index, struct name subject);

/** explain_bytes() - bytes of a job's own notes */
size_t explain_bytes(const struct job *job);

/** explain_clear() - frees a job's own notes */
void explain_clear(struct job *job);

/** explain_query() - answers with what was decided for a key, and why */
void explain_query(struct entry *e, const struct ev_query *q);

#endif
