/**
 * DOC: configdiff - differences between two configurations
 */
#ifndef BM_CONFIGDIFF_H
#define BM_CONFIGDIFF_H

#include <stdio.h>

#include "service.h"

/** struct configdiff - number of sections that differ */
struct configdiff {
    size_t added;
    size_t removed;
    size_t changed;
};

/** configdiff_print() - writes one line for each section that is added or
 * removed ("+ [service x]", "- [service x]") and for each value that changes
 * ("~ [service x] run_ms: 100 -> 200"), in the order of the canonical text.
 * If @out is NULL, the differences are only counted. */
struct configdiff configdiff_print(const struct config *from,
                                   const struct config *to, FILE *out);

/** configdiff_summary() - one-line summary for the publication history */
void configdiff_summary(const struct configdiff *diff, char *out, size_t size);

#endif
