/**
 * DOC: metrics - counters and gauges in the Prometheus text format
 */
#ifndef BM_METRICS_H
#define BM_METRICS_H

#include "entry.h"

/** metrics_text() - of the reducer and its shells, to be freed; NULL when
 * memory is out */
char *metrics_text(const struct entry *e);

#endif
