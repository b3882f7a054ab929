/**
 * DOC: dump - the whole state of an entry instance as JSON
 */
#ifndef BM_DUMP_H
#define BM_DUMP_H

#include <jansson.h>

#include "entry_state.h"
#include "jobs.h"

/** dump_query() - answers with the whole state as JSON text */
void dump_query(struct entry *e, const struct ev_query *q);

/** dump_job() - one job as JSON */
json_t *dump_job(const struct job *job);

/** dump_send_reply() - answers a request with @root, which it frees */
void dump_send_reply(struct entry *e, uint64_t request, json_t *root);

#endif
