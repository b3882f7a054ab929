/**
 * DOC: slopes - what one more of something costs, measured on this machine
 *
 * Runs the reducers at several sizes and fits a line through what they used:
 * processor time of the reducers alone, heap bytes of their state, and
 * messages between instances with their encoded bytes.  docs/CAPACITY.md is
 * worked out from these.
 */
#ifndef BM_SLOPES_H
#define BM_SLOPES_H

#include <stdio.h>

/** slopes_run() - measures and prints all; takes some seconds and must be the
 * only thread that allocates */
void slopes_run(FILE *out);

#endif
