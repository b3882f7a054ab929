/*
 * bm-load: sends jobs to entry instances at a rate and prints percentiles.
 * Exit codes: 0 when every job was answered complete, 1 when some was not, 2
 * for a mistake on the command line.
 */
#include <curl/curl.h>
#include <inttypes.h>
#include <popt.h>
#include <signal.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "load.h"

enum { EXIT_USAGE = 2, COUNT_MAX = 10000000, IN_FLIGHT_MAX = 4096 };

static const char *
read_entries(char *list, struct load_options *o)
{
    char *save = NULL;

    for (char *word = strtok_r(list, ",", &save); word != NULL;
         word = strtok_r(NULL, ",", &save)) {
        if (o->n_entries == LOAD_ENTRIES_MAX ||
            strlen(word) + sizeof("http://") > ADDRESS_SIZE) {
            return "--entry takes up to 32 addresses IP:PORT";
        }
        (void)snprintf(o->entries[o->n_entries++].s, ADDRESS_SIZE, "http://%s",
                       word);
    }
    return o->n_entries > 0 ? NULL : "--entry is empty";
}

static const char *
check_options(const struct load_options *o)
{
    if (o->service == NULL) {
        return "--service is needed";
    }
    if (o->tasks < 1 || o->tasks > JOB_TASKS_MAX || o->run_ms < 0) {
        return "--tasks is 1 to 250, --run-ms 0 and up";
    }
    if (o->count < 1 || o->count > COUNT_MAX || o->seconds < 1 ||
        o->in_flight < 1 || o->in_flight > IN_FLIGHT_MAX || o->rate < 0) {
        return "--count, --seconds, --in-flight or --rate is out of range";
    }
    return NULL;
}

static int
report(const struct load_options *o, const struct load_result *r)
{
    double seconds = (double)r->took_us / (double)USEC_PER_SEC;

    (void)printf("jobs complete=%zu failed=%" PRIu64 " seconds=%.2f "
                 "jobs_per_s=%.0f tasks_per_s=%.0f\n",
                 r->n_times, r->failed, seconds, (double)r->n_times / seconds,
                 (double)r->n_times * o->tasks / seconds);
    for (int i = 0; i < LOAD_STATUSES; i++) {
        if (r->by_status[i] > 0 && i != 200) {
            (void)printf("status %d: %" PRIu64 "\n", i, r->by_status[i]);
        }
    }
    (void)printf("response_ms p50=%.3f p90=%.3f p99=%.3f p99.9=%.3f "
                 "max=%.3f\n",
                 load_quantile(r, 0.5) / 1000, load_quantile(r, 0.9) / 1000,
                 load_quantile(r, 0.99) / 1000, load_quantile(r, 0.999) / 1000,
                 load_quantile(r, 1) / 1000);
    for (int i = 0; i < LOAD_STATUSES; i++) {
        if (r->by_status[i] > 0 && i != 200) {
            return EXIT_FAILURE;
        }
    }
    return r->failed == 0 ? EXIT_SUCCESS : EXIT_FAILURE;
}

static int
run(const struct load_options *o)
{
    struct load_result r;
    int code;

    if (curl_global_init(CURL_GLOBAL_ALL) != CURLE_OK || !load_run(o, &r)) {
        (void)fprintf(stderr, "bm-load: out of memory\n");
        return EXIT_FAILURE;
    }
    code = report(o, &r);
    load_result_free(&r);
    curl_global_cleanup();
    return code;
}

static int
act(struct load_options *o, char *entries, int version, poptContext popt)
{
    const char *wrong = NULL;

    if (version) {
        (void)printf("bm-load %s\n", BM_VERSION);
        return EXIT_SUCCESS;
    }
    wrong = entries != NULL ? read_entries(entries, o) : "--entry is needed";
    if (wrong == NULL) {
        wrong = check_options(o);
    }
    if (wrong != NULL || poptPeekArg(popt) != NULL) {
        (void)fprintf(stderr, "bm-load: %s\n",
                      wrong != NULL ? wrong : "takes no arguments");
        poptPrintUsage(popt, stderr, 0);
        return EXIT_USAGE;
    }
    return run(o);
}

int
main(int argc, char **argv)
{
    struct load_options o = {
        .tasks = 1, .count = 1000, .seconds = 10, .in_flight = 64};
    char *entries = NULL;
    char *service = NULL;
    int version = 0;
    const struct poptOption options[] = {
        {"entry", 'e', POPT_ARG_STRING, &entries, 0, "entry instances",
         "IP:PORT,..."},
        {"service", 's', POPT_ARG_STRING, &service, 0, "of the jobs", "NAME"},
        {"tasks", 't', POPT_ARG_INT, &o.tasks, 0, "tasks in a job (1)", "N"},
        {"run-ms", 0, POPT_ARG_INT, &o.run_ms, 0, "run time of a task (0)",
         "MS"},
        {"rate", 'r', POPT_ARG_DOUBLE, &o.rate, 0,
         "jobs a second; 0: as fast as --in-flight allows (0)", "N"},
        {"count", 'n', POPT_ARG_INT, &o.count, 0, "jobs in all (1000)", "N"},
        {"seconds", 0, POPT_ARG_INT, &o.seconds, 0,
         "stop sending after that long (10)", "S"},
        {"in-flight", 'c', POPT_ARG_INT, &o.in_flight, 0,
         "jobs at a time (64)", "N"},
        {"version", 'V', POPT_ARG_NONE, &version, 0, "print the version",
         NULL},
        POPT_AUTOHELP POPT_TABLEEND};
    poptContext popt =
        poptGetContext("bm-load", argc, (const char **)argv, options, 0);
    int code = EXIT_USAGE;
    int rc = poptGetNextOpt(popt);

    (void)signal(SIGPIPE, SIG_IGN);
    o.service = service;
    if (rc < -1) {
        (void)fprintf(stderr, "bm-load: %s: %s\n",
                      poptBadOption(popt, POPT_BADOPTION_NOALIAS),
                      poptStrerror(rc));
    }
    else {
        code = act(&o, entries, version, popt);
    }
    poptFreeContext(popt);
    free(entries);
    free(service);
    return code;
}
