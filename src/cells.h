/**
 * DOC: cells - what the fault matrices share: which of the traced steps are
 * tried, how a cell is named, and threads that run cells
 */
#ifndef BM_CELLS_H
#define BM_CELLS_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

/**
 * struct cells_labels - how to choose among steps that are sorted by label
 * @n: of the steps
 * @per_label: steps with the same label that are chosen; 0 is all
 * @label: of the step @i
 * @take: called for each chosen step
 * @ctx: for both
 */
struct cells_labels {
    size_t n;
    uint32_t per_label;
    const char *(*label)(void *ctx, size_t i);
    void (*take)(void *ctx, size_t i);
    void *ctx;
};

/** cells_choose() - steps of one label are spread evenly, first and last among
 * them; returns how many labels there are */
size_t cells_choose(const struct cells_labels *l);

/** cells_run() - calls @work for each cell below @n, from that many threads,
 * until one returns true; returns whether one did */
bool cells_run(size_t n, uint32_t threads, bool (*work)(void *ctx, size_t i),
               void *ctx);

/** cells_parse() - reads "STEP:FAULT" at *@text and the comma behind it; @name
 * tells the faults' names, below @faults.  False when it is none. */
bool cells_parse(const char **text, const char *(*name)(int fault), int faults,
                 uint64_t *step, int *fault);

#endif
