/*
 * Jobs come that need workers of kind b.  One such worker loses power, and
 * starts again under its id 2.5 s later, as a worker of kind a.  ROUTE is
 * broken if a task then starts on a worker without the label.
 */
#include "lab.h"

#include <string.h>

enum { JOB_GAP_MS = 20, LOAD_MS = 9000, DOWN_MS = 2500, CRASHED = 3 };

static const char job[] =
    "{\"spec\":\"200\",\"best-effort\":true,\"steps\":[{\"count\":1,"
    "\"cpu\":14000,\"mem-mb\":64,\"estimated-ms\":200,"
    "\"requirements\":\"b\"}]}";

/* Crashes workers of kind b that are at work on one task, in different zones:
 * 3 of 24 are a share of 0.125. */
static bool
crash_some(void)
{
    int running[LAB_WORKERS_MAX] = {0};
    int chosen[CRASHED];
    int n = 0;

    for (int i = 0; i < lab_n_runs; i++) {
        running[lab_runs[i].worker] += lab_runs[i].ended == 0 ? 1 : 0;
    }
    for (int i = 0; i < lab_n_workers && n < CRASHED; i++) {
        if (strcmp(lab_workers[i].kind, "b") == 0 && running[i] == 1 &&
            lab_workers[i].zone == n) {
            chosen[n++] = i;
        }
    }
    for (int i = 0; i < n && n == CRASHED; i++) {
        lab_crash_worker(chosen[i], DOWN_MS, "a", true);
    }
    return n == CRASHED;
}

int
main(int argc, char **argv)
{
    int64_t from;
    int wrong = 0;
    int answered = 0;
    int jobs = 0;
    static int calls[1000];
    bool crashed = false;

    if (argc != 4) {
        return 2;
    }
    lab_record = fopen(argv[2], "w");
    lab_trouble = strcmp(argv[3], "0") != 0;
    lab_start(argv[1], 8);
    from = lab_now();
    while (lab_now() < from + LOAD_MS) {
        char id[32];

        snprintf(id, sizeof(id), "5c0e7a21d94b%04x", jobs);
        calls[jobs] = lab_post(jobs % LAB_BROKERS, id, job, 6000);
        jobs++;
        lab_run_until(from + (int64_t)jobs * JOB_GAP_MS);
        if (lab_trouble && !crashed && lab_now() >= from + 2000) {
            crashed = crash_some();
        }
    }
    lab_run_for(7000);
    lab_write_runs();
    for (int i = 0; i < jobs; i++) {
        answered += lab_call_at(calls[i])->status == 200 ? 1 : 0;
    }
    for (int i = 0; i < lab_n_runs; i++) {
        const struct lab_run *r = &lab_runs[i];

        /* A stop for a run that is not there is no start. */
        if (r->whole > 0 && strcmp(r->kind, "b") != 0) {
            lab_note("%s run %ld started at %.3f s on %s, which is of kind %s",
                     r->task, r->run, (double)r->begun / 1000.0,
                     lab_workers[r->worker].id, r->kind);
            wrong++;
        }
    }
    lab_note("%d jobs, %d answered 200, %d starts without the label: ROUTE is "
             "%s", jobs, answered, wrong, wrong > 0 ? "broken" : "held");
    lab_end(wrong > 0 ? 1 : 0);
}
