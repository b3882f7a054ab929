/**
 * DOC: figures - what a run of a workload gave, and its bounds
 *
 * docs/design/measures.md defines and defends the measures.
 */
#ifndef BM_FIGURES_H
#define BM_FIGURES_H

#include <stdio.h>

#include "baseline.h"
#include "workload.h"

/* FIGURE(name, what it is), each kept in thousandths for files and tables */
#define FIGURE_LIST(FIGURE)                                                   \
    FIGURE(ratio_mean, "response over the ideal, mean over jobs")             \
    FIGURE(ratio_p50, "its median")                                           \
    FIGURE(ratio_p99, "its 99th percentile")                                  \
    FIGURE(mean_bound, "mean response over the lower bound")                  \
    FIGURE(p99_bound, "99th percentile of response over its lower bound")     \
    FIGURE(goodput, "slot time of complete jobs over capacity")               \
    FIGURE(wasted, "messages beyond the fewest needed, a task")               \
    FIGURE(upkeep, "messages of no job, a second and process")

struct figures {
    struct name workload;
    enum policy policy;
    uint64_t jobs;
    uint64_t tasks;
    uint64_t complete;
    uint64_t failed;
    uint64_t refused;
    uint64_t open;    /* callers without any answer */
    uint64_t unknown; /* tasks told as unknown */
    uint64_t broken;  /* promises */
    char first_broken[200];
    uint64_t failed_by[REASONS];
    uint64_t refused_by[PROBLEMS];
    uint64_t hops[HOP_KINDS];
    uint64_t messages[MSG_KINDS];
#define FIGURE(name, text) double name;
    FIGURE_LIST(FIGURE)
#undef FIGURE
};

/** figures_of() - runs a workload under a policy */
struct figures figures_of(const struct workload *w, enum policy p);

/** figures_print() - one line of the table; a head line when @f is NULL */
void figures_print(const struct figures *f, FILE *out);

/** figures_explain() - why jobs failed and what the messages were */
void figures_explain(const struct figures *f, FILE *out);

/** figures_compare() - prints every figure past its bound in the file;
 * returns how many workloads are out of bounds, -1 when it cannot be read */
int figures_compare(const struct figures *f, size_t n, const char *path,
                    FILE *out);

/** figures_update() - writes new bounds; false on an error */
bool figures_update(const struct figures *f, size_t n, const char *path);

#endif
