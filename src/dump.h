/**
 * DOC: dump - state of an entry instance as JSON
 */
#ifndef BM_DUMP_H
#define BM_DUMP_H

#include <jansson.h>

#include "entry_state.h"
#include "jobs.h"

/** dump_query() - answers a query with the state as JSON text */
void dump_query(struct entry *e, const struct ev_query *q);

/** dump_job() - one job as JSON; the caller owns the reference */
json_t *dump_job(const struct job *job);

/** dump_send_reply() - answers a request; takes over the reference to @root */
void dump_send_reply(struct entry *e, uint64_t request, json_t *root);

#endif
