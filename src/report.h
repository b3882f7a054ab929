/**
 * DOC: report - response and wasted messages against load, as plots
 */
#ifndef BM_REPORT_H
#define BM_REPORT_H

#include "figures.h"

/** report_write() - runs a workload at several loads under every policy and
 * writes data files and gnuplot scripts into the folder; false on an error.
 * `make report` draws them: a process starts no process. */
bool report_write(const struct workload *w, const char *dir);

#endif
