/*
 * bm-soak: runs the programs of the users' platform as processes on loopback,
 * injects faults that are drawn from a seed, and checks from outside what they
 * promise.  It prints a line of progress every ten seconds and a table at the
 * end.  Exit codes: 0 where no promise was broken; 1 where one was, then its
 * folder with plan, logs and findings is kept and named; 2 for a mistake on
 * the command line; 3 where the region can't be started.
 */
#include <jansson.h>
#include <popt.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <sys/wait.h>
#include <unistd.h>

#include "soak.h"

enum { EXIT_FOUND = 1, EXIT_USAGE = 2, EXIT_NOT_STARTED = 3 };

enum { READS_MAX = 30 };

/* Of a job's tasks; the long ones outlive the loss of a broker. */
static const int run_ms[] = {40, 80, 150, 300, 900};
/* Where faults come in pairs, all jobs but one of so many outlive the time
 * after which they are handed in again, and have one task. */
static const int long_run_ms[] = {2000, 2700, 3400};
enum { SHORT_IN = 3, LONG_TIMEOUT_MS = 6000 };

#define MINUTE_US (60 * USEC_PER_SEC)
#define PROGRESS_US (10 * USEC_PER_SEC)

static struct soak *interrupted;

/* The course of it */

static void
progress(struct soak *s, int64_t now_us)
{
    int done = 0;
    int findings = 0;

    if (now_us < s->progress_us) {
        return;
    }
    s->progress_us = now_us + PROGRESS_US;
    for (int i = 0; i < s->region.n_jobs; i++) {
        done += s->region.jobs[i].done ? 1 : 0;
    }
    for (int i = 0; i < FINDINGS; i++) {
        findings += s->n_findings[i];
    }
    (void)fprintf(stderr,
                  "soak: seed %ld, %lld s, %zu faults, %d jobs done, "
                  "version %d, %d findings\n",
                  s->seed, (long long)((now_us - s->begin_us) / USEC_PER_SEC),
                  s->next_fault, done, s->region.acked, findings);
}

static void
soak_round(struct soak *s)
{
    int64_t now_us = region_now_us();

    soak_note_stall(s, now_us);
    soak_inject_due(s, now_us);
    soak_run_procs(s, now_us);
    proxy_run(s->proxy, now_us);
    soak_probe_due(s, now_us);
    soak_check_resources(s, now_us);
    progress(s, now_us);
    region_round(&s->region);
}

static void
run_until(struct soak *s, int64_t until_us)
{
    while (region_now_us() < until_us) {
        soak_round(s);
    }
}

static void
plan_jobs(struct soak *s)
{
    struct region *r = &s->region;

    r->n_jobs = (int)(s->length_us / USEC_PER_SEC) * JOBS_PER_S;
    r->jobs = calloc((size_t)r->n_jobs, sizeof(*r->jobs));
    for (int i = 0; i < r->n_jobs; i++) {
        struct region_job *j = &r->jobs[i];

        j->due_us = s->begin_us + i * USEC_PER_SEC / JOBS_PER_S;
        j->tasks = 1 + i % REGION_TASKS_MAX;
        j->run_ms = run_ms[(size_t)i % (sizeof(run_ms) / sizeof(run_ms[0]))];
        if (s->pairs != 0 && i % SHORT_IN != 0) {
            j->tasks = 1;
            j->run_ms = long_run_ms[(size_t)(i / SHORT_IN) %
                                    (sizeof(long_run_ms) / sizeof(int))];
            j->timeout_ms = LONG_TIMEOUT_MS;
        }
        j->declared_ms = j->run_ms + j->run_ms / 3;
    }
}

static void
play(struct soak *s)
{
    s->begin_us = region_now_us();
    region_publish(&s->region);
    while (region_publishing(&s->region)) {
        soak_round(s);
    }
    run_until(s, region_now_us() + CONTACT_US);
    s->begin_us = region_now_us();
    plan_jobs(s);
    s->plan = soak_plan_draw((uint64_t)s->seed, s->length_us - LAST_US,
                             s->pairs != 0);
    if (s->evacuations != 0) {
        soak_plan_add_evacuations(&s->plan, (uint64_t)s->seed,
                                  s->length_us - LAST_US);
    }
    run_until(s, s->begin_us + s->length_us + GRACE_US);
    s->region.read_right = false; /* by a read after all is over */
    for (int i = 0; i < READS_MAX && !s->region.read_right; i++) {
        run_until(s, region_now_us() + USEC_PER_SEC);
    }
}

static int
report(struct soak *s, const struct region_verdict *v)
{
    int findings = 0;
    size_t faults = s->next_fault;
    json_t *all = json_object();

    for (int i = 0; i < FINDINGS; i++) {
        findings += s->n_findings[i];
        (void)json_object_set_new(all, soak_finding_text((enum finding)i),
                                  json_integer(s->n_findings[i]));
    }
    if (s->json != 0) {
        (void)json_object_set_new(all, "seed", json_integer(s->seed));
        (void)json_object_set_new(all, "faults",
                                  json_integer((json_int_t)faults));
        (void)json_object_set_new(all, "jobs", json_integer(s->region.n_jobs));
        (void)json_object_set_new(all, "completed",
                                  json_integer(v->completed));
        (void)json_dumpf(all, stdout, JSON_COMPACT);
        printf("\n");
    }
    else {
        printf(
            "soak: seed=%ld faults=%zu jobs=%d complete=%d refused=%d "
            "failed=%d unknown=%d again=%d runs=%zu elsewhere=%d versions=%d "
            "probes=%ld stalls=%d\n",
            s->seed, faults, s->region.n_jobs, v->completed, v->refused,
            v->failed, v->unknown, v->again, v->runs, v->elsewhere,
            s->region.acked, s->probes, s->stalls);
        for (int i = 0; i < SOAK_FAULTS; i++) {
            printf("soak: fault %-24s %d\n", soak_fault_text(i),
                   s->n_faults[i]);
        }
        for (int i = 0; i < FINDINGS; i++) {
            printf("soak: %-24s %d\n", soak_finding_text((enum finding)i),
                   s->n_findings[i]);
        }
    }
    json_decref(all);
    return findings;
}

/* Beginning and end */

static void
end_all(struct soak *s)
{
    for (int i = 0; i < soak_procs(s); i++) {
        int status;

        if (s->procs[i].pid > 0) {
            (void)kill(s->procs[i].pid, SIGKILL);
            (void)waitpid(s->procs[i].pid, &status, 0);
            s->procs[i].pid = 0;
        }
    }
}

static void
on_interrupt(int signal)
{
    for (int i = 0; i < PROCS_MAX; i++) {
        if (interrupted->procs[i].pid > 0) {
            (void)kill(interrupted->procs[i].pid, SIGKILL);
        }
    }
    _exit(128 + signal);
}

static void
write_plan(const struct soak *s)
{
    char path[PROC_PATH + 16];
    FILE *f;

    (void)snprintf(path, sizeof(path), "%s/plan.txt", s->dir);
    f = fopen(path, "we");
    if (f == NULL) {
        return;
    }
    for (size_t i = 0; i < s->plan.n; i++) {
        const struct soak_fault *p = &s->plan.faults[i];

        (void)fprintf(f, "%.3f s %s for %.3f s, draw %llu, way %u\n",
                      (double)p->at_us / USEC_PER_SEC,
                      soak_fault_text(p->kind),
                      (double)p->for_us / USEC_PER_SEC,
                      (unsigned long long)p->draw, p->way);
    }
    (void)fclose(f);
}

static bool
open_folder(struct soak *s)
{
    char path[PROC_PATH + 16];
    char events[PROC_PATH + 16];

    (void)snprintf(s->dir, sizeof(s->dir), "/tmp/bm-soak-XXXXXX");
    if (mkdtemp(s->dir) == NULL) {
        return false;
    }
    (void)snprintf(path, sizeof(path), "%s/findings.txt", s->dir);
    (void)snprintf(events, sizeof(events), "%s/events.txt", s->dir);
    s->found = fopen(path, "we");
    s->events = fopen(events, "we");
    return s->found != NULL && s->events != NULL;
}

static int
soak(struct soak *s)
{
    struct region_verdict v;
    int findings;

    s->turn = -1;
    s->region.watch = (struct region_watch){.acked = soak_on_acked,
                                            .probed = soak_on_probed,
                                            .job_ended = soak_on_job_ended,
                                            .overlapped = soak_on_overlapped,
                                            .ctx = s};
    if (!open_folder(s) || !soak_prepare(s)) {
        (void)fprintf(stderr, "bm-soak: the region can't be started\n");
        return EXIT_NOT_STARTED;
    }
    play(s);
    v = soak_judge(s);
    findings = report(s, &v);
    write_plan(s);
    end_all(s);
    (void)fclose(s->found);
    (void)fclose(s->events);
    if (findings > 0) {
        printf("soak: kept in %s\n", s->dir);
        return EXIT_FOUND;
    }
    soak_remove_folder(s->dir);
    return EXIT_SUCCESS;
}

int
main(int argc, char **argv)
{
    static struct soak s = {
        .seed = 1, .minutes = 1, .n_brokers = 6, .n_workers = 12};
    const struct poptOption options[] = {
        {"build", 0, POPT_ARG_STRING, &s.build, 0, "folder of the programs",
         "DIR"},
        {"seed", 0, POPT_ARG_LONG | POPT_ARGFLAG_SHOW_DEFAULT, &s.seed, 0,
         "of the faults", "N"},
        {"minutes", 0, POPT_ARG_INT | POPT_ARGFLAG_SHOW_DEFAULT, &s.minutes, 0,
         "how long", "N"},
        {"brokers", 0, POPT_ARG_INT | POPT_ARGFLAG_SHOW_DEFAULT, &s.n_brokers,
         0, "how many", "N"},
        {"workers", 0, POPT_ARG_INT | POPT_ARGFLAG_SHOW_DEFAULT, &s.n_workers,
         0, "how many", "N"},
        {"no-times", 0, POPT_ARG_NONE, &s.no_times, 0,
         "judge no bounds on times, for a busy machine", NULL},
        {"pairs", 0, POPT_ARG_NONE, &s.pairs, 0,
         "two zones, long jobs, paths and takers struck together", NULL},
        {"evacuations", 0, POPT_ARG_NONE, &s.evacuations, 0,
         "two zones, which an operator evacuates by turns", NULL},
        {"unseen", 0, POPT_ARG_NONE, &s.unseen, 0,
         "brokers don't see that callers which are dropped have left", NULL},
        {"json", 0, POPT_ARG_NONE, &s.json, 0, "print the result as JSON",
         NULL},
        POPT_AUTOHELP POPT_TABLEEND};
    poptContext ctx =
        poptGetContext("bm-soak", argc, (const char **)argv, options, 0);
    int rc = poptGetNextOpt(ctx);

    if (rc != -1 || s.build == NULL || s.minutes < 1 || s.n_brokers < 1 ||
        s.n_brokers > BROKERS_MAX || s.n_workers < 1 ||
        ((s.pairs != 0 || s.evacuations != 0) && s.n_brokers < PAIR_ZONES) ||
        s.n_workers > REGION_WORKERS_MAX) {
        poptPrintUsage(ctx, stderr, 0);
        return EXIT_USAGE;
    }
    s.length_us = (int64_t)s.minutes * MINUTE_US;
    interrupted = &s;
    (void)signal(SIGINT, on_interrupt);
    (void)signal(SIGTERM, on_interrupt);
    (void)signal(SIGPIPE, SIG_IGN);
    rc = soak(&s);
    end_all(&s);
    proxy_free(s.proxy);
    soak_plan_free(&s.plan);
    region_free(&s.region);
    free(s.acked_us);
    poptFreeContext(ctx);
    return rc;
}
