/**
 * DOC: dump - the state and the decisions of an entry instance as JSON
 */
#ifndef BM_DUMP_H
#define BM_DUMP_H

#include "entry_state.h"

/** dump_query() - answers with the whole state as JSON text */
void dump_query(struct entry *e, const struct ev_query *q);

/** explain_query() - answers with what was decided for a key, and why */
void explain_query(struct entry *e, const struct ev_query *q);

#endif
