/**
 * DOC: load - jobs sent to entry instances at a rate, and how long they took
 *
 * Open loop: jobs are due at fixed intervals whether or not earlier ones have
 * ended, and a job's time counts from when it was due.  A generator that waits
 * for answers would send less just when the system is slow, and hide it.
 */
#ifndef BM_LOAD_H
#define BM_LOAD_H

#include "base.h"

enum { LOAD_ENTRIES_MAX = 32, LOAD_STATUSES = 600 };

/**
 * struct load_options - what to send
 * @entries: base URLs, used in turn
 * @service: of the jobs
 * @tasks: in each job
 * @run_ms: that each task asks for in its payload
 * @rate: jobs a second; 0 sends as fast as @in_flight allows
 * @count: jobs in all
 * @seconds: stop sending after that long
 * @in_flight: jobs at a time; those due beyond it wait, and their time counts
 */
struct load_options {
    struct address entries[LOAD_ENTRIES_MAX];
    size_t n_entries;
    const char *service;
    int tasks;
    int run_ms;
    double rate;
    int count;
    int seconds;
    int in_flight;
};

/**
 * struct load_result - what came of it
 * @times_us: of the jobs answered 200 and complete, sorted; owned
 * @n_times: of them
 * @by_status: answers by HTTP status; 0 is no answer
 * @failed: answers 200 that were not complete
 * @took_us: from the first job to the last answer
 */
struct load_result {
    double *times_us;
    size_t n_times;
    uint64_t by_status[LOAD_STATUSES];
    uint64_t failed;
    int64_t took_us;
};

/** load_run() - sends the jobs and waits for their answers; false when memory
 * or libcurl fail */
bool load_run(const struct load_options *o, struct load_result *r);

/** load_quantile() - of the times, in microseconds; 0 without any */
double load_quantile(const struct load_result *r, double q);

/** load_result_free() - what the result owns */
void load_result_free(struct load_result *r);

#endif
