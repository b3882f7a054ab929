/**
 * DOC: configdiff - what a change of configuration changes
 */
#ifndef BM_CONFIGDIFF_H
#define BM_CONFIGDIFF_H

#include <stdio.h>

#include "service.h"

/** struct configdiff - numbers of sections */
struct configdiff {
    size_t added;
    size_t removed;
    size_t changed;
};

/** configdiff_print() - writes one line for each section that comes or goes
 * ("+ [service x]", "- [service x]") and for each value that changes
 * ("~ [service x] run_ms: 100 -> 200"), in the order of the canonical text.
 * @out may be NULL to count alone. */
struct configdiff configdiff_print(const struct config *from,
                                   const struct config *to, FILE *out);

/** configdiff_summary() - one line for the history */
void configdiff_summary(const struct configdiff *diff, char *out, size_t size);

#endif
