/**
 * DOC: bm_bench - runs the reducers in virtual time and prints figures
 *
 * Exit codes: 0 within bounds, 1 out of bounds or a promise broken, 2 usage.
 */
#include <popt.h>
#include <pthread.h>
#include <stdatomic.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "decisions.h"
#include "figures.h"
#include "leasematrix.h"
#include "matrix.h"
#include "replay.h"
#include "report.h"
#include "slopes.h"

enum { EXIT_OUT_OF_BOUNDS = 1, EXIT_USAGE = 2, THREADS_MAX = 64 };

struct options {
    char *bounds;
    int update;
    char *policy;
    int threads;
    int matrix;
    int mutants;
    int mutant;
    int steps;
    int explain;
    int slopes;
    int per_label;
    int pairs;
    int seed;
    int replays;
    char *without;
    char *only;
    char *decisions;
    int draws;
    int seeds;
    char *cell;
    char *lease_cell;
    char *report;
    int version;
};

/* What --replays plays. */
/* struct work - runs spread over threads; their order does not matter, each
 * has its own random numbers and its own place for the figures */
struct work {
    const struct workload *workloads;
    struct figures *figures;
    const enum policy *policies;
    size_t n_policies;
    size_t n;
    atomic_size_t next;
};

static void *
run_some(void *arg)
{
    struct work *w = arg;
    size_t i;

    while ((i = atomic_fetch_add(&w->next, 1)) < w->n) {
        w->figures[i] = figures_of(&w->workloads[i / w->n_policies],
                                   w->policies[i % w->n_policies]);
    }
    return NULL;
}

static void
run_all(struct work *w, int threads)
{
    pthread_t ids[THREADS_MAX];
    int n = 0;

    while (n < threads && n < THREADS_MAX &&
           pthread_create(&ids[n], NULL, run_some, w) == 0) {
        n++;
    }
    (void)run_some(w);
    while (n > 0) {
        (void)pthread_join(ids[--n], NULL);
    }
}

static size_t
wanted_policies(const char *name, enum policy out[POLICIES])
{
    size_t n = 0;

    for (int p = 0; p < POLICIES; p++) {
        if (name == NULL || strcmp(name, policy_name((enum policy)p)) == 0) {
            out[n++] = (enum policy)p;
        }
    }
    return n;
}

static int
report(const struct work *w, const struct options *o, size_t n_workloads)
{
    int out_of_bounds = 0;

    figures_print(NULL, stdout);
    for (size_t i = 0; i < w->n; i++) {
        figures_print(&w->figures[i], stdout);
        if (o->explain) {
            figures_explain(&w->figures[i], stdout);
        }
    }
    if (o->update && !figures_update(w->figures, w->n, o->bounds)) {
        perror(o->bounds);
        return EXIT_USAGE;
    }
    if (o->bounds != NULL) {
        out_of_bounds = figures_compare(w->figures, w->n, o->bounds, stdout);
    }
    if (out_of_bounds < 0) {
        return EXIT_USAGE;
    }
    printf("bench: workloads=%zu out_of_bounds=%d\n", n_workloads,
           out_of_bounds);
    return out_of_bounds > 0 ? EXIT_OUT_OF_BOUNDS : EXIT_SUCCESS;
}

static int
run_files(const char **files, size_t n, const struct options *o)
{
    enum policy policies[POLICIES];
    struct workload *workloads = calloc(n, sizeof(*workloads));
    struct work w = {.workloads = workloads, .policies = policies};
    int code = EXIT_USAGE;

    w.n_policies = wanted_policies(o->policy, policies);
    w.n = n * w.n_policies;
    w.figures = calloc(w.n + 1, sizeof(*w.figures));
    if (workloads == NULL || w.figures == NULL || w.n == 0) {
        goto out;
    }
    for (size_t i = 0; i < n; i++) {
        if (!workload_read(files[i], &workloads[i])) {
            goto out;
        }
    }
    if (o->report != NULL) {
        code =
            report_write(&workloads[0], o->report) ? EXIT_SUCCESS : EXIT_USAGE;
        goto out;
    }
    run_all(&w, o->threads);
    code = report(&w, o, n);
out:
    free(workloads);
    free(w.figures);
    return code;
}

static int
run_matrix(const struct options *o)
{
    struct matrix_options m = {.seed = (uint64_t)o->seed};
    struct matrix_result r;

    m.per_label = (uint32_t)o->per_label;
    m.pairs = (uint32_t)o->pairs;
    m.threads = (uint32_t)o->threads + 1;
    m.mutants = o->mutants;
    r = matrix_run(&m, stdout);
    printf("matrix: cells=%llu passed=%llu failed=%llu mutants=%u caught=%u\n",
           (unsigned long long)r.cells, (unsigned long long)r.passed,
           (unsigned long long)r.failed, r.mutants, r.caught);
    return r.failed > 0 || r.caught < r.mutants ? EXIT_OUT_OF_BOUNDS
                                                : EXIT_SUCCESS;
}

static int
run_leasematrix(const struct options *o)
{
    struct leasematrix_options m = {.seed = (uint64_t)o->seed};
    struct leasematrix_result r;

    m.per_label = (uint32_t)o->per_label;
    m.pairs = (uint32_t)o->pairs;
    m.threads = (uint32_t)o->threads + 1;
    m.breaks = o->mutants;
    r = leasematrix_run(&m, stdout);
    printf("lease matrix: cells=%llu failed=%llu mutants=%u caught=%u\n",
           (unsigned long long)r.cells, (unsigned long long)r.failed, r.breaks,
           r.caught);
    return r.failed > 0 || r.caught < r.breaks ? EXIT_OUT_OF_BOUNDS
                                               : EXIT_SUCCESS;
}

static int
run_both_matrices(const struct options *o)
{
    int entries = run_matrix(o);
    int leases = run_leasematrix(o);

    return entries != EXIT_SUCCESS ? entries : leases;
}

static int
cell_verdict(bool is_cell, bool ok)
{
    if (!is_cell) {
        (void)fprintf(stderr, "bm-bench: a cell is STEP:FAULT[,STEP:FAULT]\n");
        return EXIT_USAGE;
    }
    printf("%s\n", ok ? "passed" : "failed");
    return ok ? EXIT_SUCCESS : EXIT_OUT_OF_BOUNDS;
}

static int
run_lease_cell(const struct options *o)
{
    bool ok = false;
    bool is_cell =
        leasematrix_cell((uint64_t)o->seed, o->lease_cell, stdout, &ok);

    return cell_verdict(is_cell, ok);
}

static int
run_cell(const struct options *o)
{
    bool ok = false;
    bool is_cell =
        matrix_cell((uint64_t)o->seed, o->cell, o->mutant, stdout, &ok);

    return cell_verdict(is_cell, ok);
}

static int
run_replays(const struct options *o)
{
    struct replay_options r = {.seeds = (uint32_t)o->seeds, .only = o->only};
    enum broker_feature part =
        o->without != NULL ? replay_part(o->without) : BROKER_FEATURES;

    if (o->without != NULL && part == BROKER_FEATURES) {
        (void)fprintf(stderr, "bm-bench: no part is called %s\n", o->without);
        return EXIT_USAGE;
    }
    r.bounded = o->without == NULL;
    if (part < BROKER_FEATURES) {
        r.without[part] = true;
    }
    return replays_print(&r, (uint32_t)o->draws, stdout) ? EXIT_SUCCESS
                                                         : EXIT_OUT_OF_BOUNDS;
}

static int
run_decisions(const struct options *o)
{
    enum replay which = replay_of_name(o->decisions);
    struct decisions d;

    if (which == REPLAYS) {
        (void)fprintf(stderr, "bm-bench: no replay is called %s\n",
                      o->decisions);
        return EXIT_USAGE;
    }
    d = decisions_of_replay(which, stdout);
    decisions_print(o->decisions, &d, stderr);
    return d.kept ? EXIT_SUCCESS : EXIT_OUT_OF_BOUNDS;
}

/* False where workloads are to be run. */
static bool
run_without_files(const struct options *o, int *code)
{
    *code = EXIT_SUCCESS;
    if (o->slopes) {
        slopes_run(stdout);
    }
    else if (o->steps) {
        matrix_steps((uint64_t)o->seed, stdout);
    }
    else if (o->replays) {
        *code = run_replays(o);
    }
    else if (o->decisions != NULL) {
        *code = run_decisions(o);
    }
    else if (o->matrix) {
        *code = run_both_matrices(o);
    }
    else if (o->cell != NULL) {
        *code = run_cell(o);
    }
    else if (o->lease_cell != NULL) {
        *code = run_lease_cell(o);
    }
    else {
        *code = EXIT_USAGE;
        return false;
    }
    return true;
}

static void
free_texts(struct options *o)
{
    free(o->bounds);
    free(o->policy);
    free(o->cell);
    free(o->without);
    free(o->only);
    free(o->decisions);
    free(o->lease_cell);
    free(o->report);
}

int
main(int argc, const char **argv)
{
    struct options o = {.threads = 3,
                        .per_label = 6,
                        .pairs = 4000,
                        .seed = 1,
                        .mutant = -1,
                        .seeds = 5};
    struct poptOption table[] = {
        {"bounds", 'b', POPT_ARG_STRING, &o.bounds, 0,
         "compare with the bounds in this file", "FILE"},
        {"update", 'u', POPT_ARG_NONE, &o.update, 0, "write the bounds first",
         NULL},
        {"policy", 'p', POPT_ARG_STRING, &o.policy, 0,
         "only this policy: holder, sparing, direct or random", "NAME"},
        {"threads", 't', POPT_ARG_INT, &o.threads, 0, "beside the first", "N"},
        {"explain", 'e', POPT_ARG_NONE, &o.explain, 0,
         "why jobs failed and what the messages were", NULL},
        {"matrix", 'm', POPT_ARG_NONE, &o.matrix, 0, "run the fault matrix",
         NULL},
        {"mutants", 'M', POPT_ARG_NONE, &o.mutants, 0,
         "prove the matrix with mutants (builds with BM_MUTANTS)", NULL},
        {"per-label", 'l', POPT_ARG_INT, &o.per_label, 0,
         "steps of a label that are tried; 0: all", "N"},
        {"pairs", 'P', POPT_ARG_INT, &o.pairs, 0, "cells with two faults",
         "N"},
        {"seed", 's', POPT_ARG_INT, &o.seed, 0, "of the matrix", "N"},
        {"cell", 'c', POPT_ARG_STRING, &o.cell, 0, "repeat one cell",
         "STEP:FAULT[,STEP:FAULT]"},
        {"lease-cell", 0, POPT_ARG_STRING, &o.lease_cell, 0,
         "repeat one cell of brokers and upstreams",
         "STEP:FAULT[,STEP:FAULT]"},
        {"report", 'r', POPT_ARG_STRING, &o.report, 0,
         "write plots of the first workload against load", "DIR"},
        {"slopes", 0, POPT_ARG_NONE, &o.slopes, 0,
         "measure what one more of something costs", NULL},
        {"steps", 0, POPT_ARG_NONE, &o.steps, 0, "print the matrix's steps",
         NULL},
        {"mutant", 0, POPT_ARG_INT, &o.mutant, 0,
         "repeat the cell under this mutant", "N"},
        {"replays", 0, POPT_ARG_NONE, &o.replays, 0,
         "credit under overload and faults, and a bound of it", NULL},
        {"without", 0, POPT_ARG_STRING, &o.without, 0,
         "with --replays: leave a part of the decisions out, and the bounds",
         "PART"},
        {"replay", 0, POPT_ARG_STRING, &o.only, 0,
         "with --replays: only this one", "NAME"},
        {"decisions", 0, POPT_ARG_STRING, &o.decisions, 0,
         "list the decisions of a replay without the features of the settings",
         "REPLAY"},
        {"draws", 0, POPT_ARG_INT, &o.draws, 0,
         "with --replays: drawn regions, too", "N"},
        {"seeds", 0, POPT_ARG_INT, &o.seeds, 0, "with --replays: of each",
         "N"},
        {"version", 'V', POPT_ARG_NONE, &o.version, 0, "print the version",
         NULL},
        POPT_AUTOHELP POPT_TABLEEND};
    poptContext context = poptGetContext("bm-bench", argc, argv, table, 0);
    int code = EXIT_USAGE;
    const char **files;
    size_t n = 0;
    int err = poptGetNextOpt(context);

    poptSetOtherOptionHelp(context, "WORKLOAD.ini...");
    if (err < -1) {
        (void)fprintf(stderr, "bm-bench: %s: %s\n",
                      poptBadOption(context, POPT_BADOPTION_NOALIAS),
                      poptStrerror(err));
        goto out;
    }
    if (o.version) {
        printf("bm-bench %s\n", BM_VERSION);
        code = EXIT_SUCCESS;
        goto out;
    }
    if (run_without_files(&o, &code)) {
        goto out;
    }
    files = poptGetArgs(context);
    while (files != NULL && files[n] != NULL) {
        n++;
    }
    if (n == 0 || (o.update && o.bounds == NULL)) {
        poptPrintUsage(context, stderr, 0);
        goto out;
    }
    code = run_files(files, n, &o);
out:
    poptFreeContext(context);
    free_texts(&o);
    return code;
}
