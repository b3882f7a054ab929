/*
 * bm-platform-demo: workers, an operator and clients of the users' platform on
 * loopback, and the judge of what they saw.  It prints one line and exits with
 * 0 only where no promise was broken and enough of the jobs completed; 1
 * otherwise, 2 for a mistake on the command line.  With --failures it hands in
 * one job each that is refused, that is late and that is lost, and says which.
 */
#include <popt.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "region.h"

enum {
    JOBS_MAX = 5000,
    KINDS = 5,          /* of run times */
    DELAYING = 3,       /* number of the worker that carries orders out late */
    REBORN = 5,         /* number of the worker that starts anew half-way */
    LEAST_PERCENT = 90, /* of the jobs must complete */
    PERCENT_ALL = 100,
    EXIT_USAGE = 2,
};

#define LAST_US (8 * USEC_PER_SEC)

struct demo {
    struct region region;
    char *control_list;
    char *entry_list;
    int least_percent;
    int metrics_port; /* of brokers */
    int failures;     /* play these */
    int per_s;
};

static int
judge(const struct demo *d)
{
    const struct region *r = &d->region;
    struct region_verdict v = region_judge(r);
    bool good = v.ran_twice == 0 && v.false_answers == 0 &&
                v.false_refusals == 0 && r->reverts == 0 && r->read_right &&
                v.completed * PERCENT_ALL >= r->n_jobs * d->least_percent;

    printf("demo-platform: failed=%d refused=%d unknown=%d runs=%zu\n",
           v.failed, v.refused, v.unknown, v.runs);
    printf("demo-platform: jobs=%d complete=%d ran_twice=%d "
           "false_not_run=%d wrong_answer=%d config_reverts=%d "
           "config_lost=%d\n",
           r->n_jobs, v.completed, v.ran_twice, v.false_refusals,
           v.false_answers, r->reverts, r->read_right ? 0 : 1);
    return good ? EXIT_SUCCESS : EXIT_FAILURE;
}

/* The course of it */

static void
plan_jobs(struct demo *d, int64_t at_us)
{
    for (int i = 0; i < d->region.n_jobs; i++) {
        struct region_job *j = &d->region.jobs[i];

        j->due_us = at_us + i * USEC_PER_SEC / d->per_s;
        j->tasks = 1 + i % REGION_TASKS_MAX;
        j->run_ms = 40 + i % KINDS * 40;
        j->declared_ms = 60 + i % KINDS * 30;
    }
}

static int
play(struct demo *d)
{
    struct region *r = &d->region;
    int64_t half_us = r->n_jobs * USEC_PER_SEC / d->per_s / 2;
    int64_t begin_us;

    region_await_ready(r);
    begin_us = region_now_us();
    plan_jobs(d, begin_us);
    printf("demo-platform: ready\n");
    (void)fflush(stdout);
    region_run_until(r, begin_us + half_us);
    fakeworker_reborn(r->workers[REBORN % r->n_workers], region_now_us());
    region_publish(r);
    region_run_until(r, begin_us + 2 * half_us);
    for (int64_t end = region_now_us() + LAST_US;
         !region_all_done(r) && region_now_us() < end;) {
        region_round(r);
    }
    region_run_until(r, region_now_us() + 2 * USEC_PER_SEC);
    r->read_right = false; /* by a read after all is over */
    for (int i = 0; i < REGION_TRIES_MAX && !r->read_right; i++) {
        region_run_until(r, region_now_us() + USEC_PER_SEC);
    }
    return judge(d);
}

/* Three failures, for the way from a job's number to its cause */

enum { FILLER, REFUSED, LATE, LOST, FAILURES };

static int64_t
hand_in_now(struct demo *d, size_t i, int tasks, int run_ms)
{
    struct region_job *j = &d->region.jobs[i];

    j->tasks = tasks;
    j->run_ms = run_ms;
    j->declared_ms = run_ms;
    j->tries = REGION_TRIES_MAX - 1; /* it is not handed in again */
    region_hand_in(&d->region, i);
    return region_now_us();
}

static void
await(struct demo *d, size_t i)
{
    while (!d->region.jobs[i].done) {
        region_round(&d->region);
    }
}

static void
tell(const struct demo *d, const char *what, size_t i, int64_t since_us)
{
    printf("%s %016zx status=%ld state=%s ms=%lld\n", what, i + 1,
           d->region.jobs[i].status, d->region.jobs[i].state,
           (long long)((region_now_us() - since_us) / USEC_PER_MSEC));
    (void)fflush(stdout);
}

/* The counters of all brokers, as they are told. */
static void
print_metrics(const struct demo *d)
{
    for (size_t i = 0; i < d->region.n_entries; i++) {
        CURL *easy = curl_easy_init();
        char url[REGION_URL_ROOM];
        size_t host = strcspn(d->region.entries[i], ":");
        CURLcode result;

        (void)snprintf(url, sizeof(url), "http://%.*s:%d/metrics", (int)host,
                       d->region.entries[i], d->metrics_port);
        curl_easy_setopt(easy, CURLOPT_URL, url);
        curl_easy_setopt(easy, CURLOPT_PROXY, "");
        curl_easy_setopt(easy, CURLOPT_TIMEOUT_MS, 1000L);
        result = curl_easy_perform(easy);
        if (result != CURLE_OK) {
            printf("# %s: %s\n", url, curl_easy_strerror(result));
        }
        curl_easy_cleanup(easy);
    }
}

/* All room is taken by one job while another comes; a worker hangs; and the
 * broker that runs a job is killed by whoever reads "running". */
static int
play_failures(struct demo *d)
{
    int64_t since_us;

    region_await_ready(&d->region);
    (void)hand_in_now(d, FILLER, 2 * d->region.n_workers, 2000);
    region_run_until(&d->region, region_now_us() + 200 * USEC_PER_MSEC);
    since_us = hand_in_now(d, REFUSED, 2 * d->region.n_workers, 50);
    await(d, REFUSED);
    tell(d, "refused", REFUSED, since_us);
    await(d, FILLER);
    fakeworker_hang(d->region.workers[0], true);
    since_us = hand_in_now(d, LATE, 2 * d->region.n_workers, 200);
    await(d, LATE);
    tell(d, "late", LATE, since_us);
    fakeworker_hang(d->region.workers[0], false);
    region_run_until(&d->region, region_now_us() + USEC_PER_SEC);
    since_us = hand_in_now(d, LOST, d->region.n_workers, 3000);
    region_run_until(&d->region, region_now_us() + 300 * USEC_PER_MSEC);
    printf("running\n");
    (void)fflush(stdout);
    await(d, LOST);
    tell(d, "lost", LOST, since_us);
    print_metrics(d);
    return EXIT_SUCCESS;
}

int
main(int argc, char **argv)
{
    struct demo d = {
        .region = {.n_workers = 12, .n_jobs = 300, .delaying = DELAYING},
        .per_s = 30,
        .least_percent = LEAST_PERCENT};
    struct region *r = &d.region;
    const struct poptOption options[] = {
        {"control", 0, POPT_ARG_STRING, &d.control_list, 0,
         "addresses of control, with commas", "LIST"},
        {"entry", 0, POPT_ARG_STRING, &d.entry_list, 0,
         "addresses of brokers, with commas", "LIST"},
        {"port", 0, POPT_ARG_INT, &r->base_port, 0,
         "first port of the workers", "N"},
        {"workers", 0, POPT_ARG_INT, &r->n_workers, 0, "how many", "N"},
        {"jobs", 0, POPT_ARG_INT, &r->n_jobs, 0, "how many", "N"},
        {"rate", 0, POPT_ARG_INT, &d.per_s, 0, "jobs a second", "N"},
        {"failures", 0, POPT_ARG_NONE, &d.failures, 0,
         "one job that is refused, one that is late, one that is lost", NULL},
        {"metrics-port", 0, POPT_ARG_INT, &d.metrics_port, 0, "of brokers",
         "N"},
        {"least", 0, POPT_ARG_INT | POPT_ARGFLAG_SHOW_DEFAULT,
         &d.least_percent, 0, "percents of the jobs that must complete", "N"},
        POPT_AUTOHELP POPT_TABLEEND};
    poptContext ctx = poptGetContext("bm-platform-demo", argc,
                                     (const char **)argv, options, 0);
    int rc = poptGetNextOpt(ctx);

    if (rc != -1 || d.control_list == NULL || d.entry_list == NULL ||
        r->base_port <= 0 || r->n_workers < 1 ||
        r->n_workers > REGION_WORKERS_MAX || r->n_jobs < 1 ||
        r->n_jobs > JOBS_MAX || d.per_s < 1) {
        poptPrintUsage(ctx, stderr, 0);
        return EXIT_USAGE;
    }
    r->n_jobs = d.failures ? FAILURES : r->n_jobs;
    r->n_controls = region_split(d.control_list, r->controls);
    r->n_entries = region_split(d.entry_list, r->entries);
    if (r->n_controls == 0 || r->n_entries == 0) {
        return EXIT_USAGE;
    }
    r->jobs = calloc((size_t)r->n_jobs, sizeof(*r->jobs));
    rc = EXIT_FAILURE;
    if (region_start(r)) {
        rc = d.failures ? play_failures(&d) : play(&d);
    }
    region_free(r);
    poptFreeContext(ctx);
    return rc;
}
