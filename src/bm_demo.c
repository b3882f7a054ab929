/*
 * bm-demo: many callers at once, and a check of everything they were told
 * against the upstreams' own records.  Run by demo/run.  Exit codes: 0 when
 * every promise held and enough jobs completed, 1 when not, 2 usage.
 */
#include <errno.h>
#include <fcntl.h>
#include <jansson.h>
#include <popt.h>
#include <pthread.h>
#include <signal.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <sys/stat.h>
#include <time.h>
#include <unistd.h>

#include "caller.h"
#include "clock.h"
#include "demo_plan.h"
#include "demo_record.h"
#include "demo_watch.h"

enum {
    CODE_USAGE = 2,
    JOBS_MAX = 100000,
    CALLERS_MAX = 256,
    SERVICES_MAX = 4,
    MEANWHILE_MS = 40,     /* before the second request while one runs */
    READY_MS = 15000,      /* until the region is ready */
    STEP_MS = 50,          /* between looks at a file */
    COMPLETE_PERCENT = 90, /* of all jobs, at least */
    ATTEMPT_MS = 20000,    /* one attempt, well above every deadline */
    PATH_SIZE = 1024,
};

/* What became of one job. */
struct outcome {
    struct demo_job job;
    char key[KEY_TEXT_SIZE];
    bool submitted;
    enum submit_end end;
    struct demo_answer answer;
    bool partial;
    bool wrong;
    char why[DETAIL_SIZE]; /* of the first thing that was wrong */
};

struct demo {
    struct caller_options callers; /* entries and bounds, for every caller */
    char *services[SERVICES_MAX];
    size_t n_services;
    const char *sync;
    const char *killed;
    uint32_t upstreams;
    bool config; /* a change of configuration is to come */
    struct demo_watch *watch;
    struct demo_seen seen;
    struct outcome *outcomes;
    uint32_t n_jobs;
    uint64_t seed;
    double seconds;
    int64_t began_us;
    atomic_uint next;
    atomic_bool ending;
    atomic_uint cut_off;
    atomic_uint lost; /* attempts lost at the killed instance */
    atomic_uint attempts;
};

static void
sleep_ms(int64_t ms)
{
    clock_sleep(ms * USEC_PER_MSEC);
}

static int64_t
now_us(void)
{
    return clock_now(clock_real()).mono_us;
}

/* An instance that nobody killed must answer every request it read, also while
 * it stops. */
static void
on_attempt(void *user, size_t entry, const struct fetch_reply *reply)
{
    struct demo *d = user;

    atomic_fetch_add(&d->attempts, 1);
    if (reply->error != FETCH_LOST && reply->error != FETCH_TIMEOUT) {
        return;
    }
    if (d->killed != NULL &&
        strstr(d->callers.entries[entry], d->killed) != NULL) {
        atomic_fetch_add(&d->lost, 1);
        return;
    }
    (void)fprintf(stderr, "demo: cut off: %s\n", reply->detail);
    atomic_fetch_add(&d->cut_off, 1);
}

static void
mark_wrong(struct outcome *o, const char *why)
{
    if (!o->wrong) {
        (void)snprintf(o->why, sizeof(o->why), "%s", why);
    }
    o->wrong = true;
}

/* Judges one reply under the job's key; the first becomes its outcome. */
static void
judge(struct demo *d, struct outcome *o, const struct caller_result *result,
      bool first)
{
    struct demo_answer answer = {0};
    bool answered =
        result->end == SUBMIT_COMPLETE || result->end == SUBMIT_FAILED;

    if (answered) {
        demo_answer_read(&o->job, result->reply.body, result->reply.size,
                         &answer);
    }
    o->partial |= answer.partial;
    if (answer.wrong) {
        mark_wrong(o, "an answer with another job's content");
    }
    if (answered && strcmp(answer.reason, "stopping") == 0) {
        atomic_fetch_add(&d->cut_off, 1);
    }
    if (first) {
        o->submitted = true;
        o->end = result->end;
        o->answer = answer;
    }
    else if (answered && o->answer.there &&
             answer.complete != o->answer.complete) {
        mark_wrong(o, "two different answers under one key");
    }
}

static void
submit(struct demo *d, struct outcome *o, struct caller *c, size_t entry,
       bool first)
{
    struct caller_result result;
    char *body = demo_job_body(&o->job, false);

    caller_use(c, entry);
    caller_submit(c, o->key, body, strlen(body), &result);
    judge(d, o, &result, first);
    fetch_reply_clear(&result.reply);
    free(body);
}

/* A second request while the first one runs, from a thread of its own. */
struct meanwhile {
    struct demo *demo;
    struct outcome *outcome;
    size_t entry;
    struct caller_result result;
};

static void *
run_meanwhile(void *user)
{
    struct meanwhile *m = user;
    struct outcome *o = m->outcome;
    struct caller_options co = m->demo->callers;
    struct caller *c;
    char *body = demo_job_body(&o->job, false);

    co.seed ^= o->job.number * 7919 + 1;
    c = caller_new(&co);
    caller_use(c, m->entry);
    sleep_ms(MEANWHILE_MS);
    if (o->job.kind == DEMO_CANCEL_DURING) {
        caller_cancel(c, o->key, &m->result);
    }
    else {
        caller_submit(c, o->key, body, strlen(body), &m->result);
    }
    caller_free(c);
    free(body);
    return NULL;
}

static void
submit_with_meanwhile(struct demo *d, struct outcome *o, struct caller *c,
                      size_t entry)
{
    struct meanwhile m = {
        .demo = d, .outcome = o, .entry = entry + d->callers.n_entries / 2};
    pthread_t thread;
    bool started = pthread_create(&thread, NULL, run_meanwhile, &m) == 0;

    submit(d, o, c, entry, true);
    if (started) {
        pthread_join(thread, NULL);
        judge(d, o, &m.result, false);
        fetch_reply_clear(&m.result.reply);
    }
}

static void
submit_conflict(struct outcome *o, struct caller *c, size_t entry)
{
    struct caller_result result;
    char *body = demo_job_body(&o->job, true);

    caller_use(c, entry + 1);
    caller_submit(c, o->key, body, strlen(body), &result);
    if (result.end == SUBMIT_COMPLETE || result.end == SUBMIT_FAILED) {
        mark_wrong(o, "an answer for another body under the key");
    }
    fetch_reply_clear(&result.reply);
    free(body);
}

static void
cancel_first(struct outcome *o, struct caller *c, size_t entry)
{
    struct caller_result result;

    caller_use(c, entry + 1);
    caller_cancel(c, o->key, &result);
    if (result.end != SUBMIT_FAILED) {
        o->job.kind = DEMO_PLAIN; /* not cancelled: it may run */
    }
    fetch_reply_clear(&result.reply);
}

static bool
get_key(struct outcome *o, struct caller *c)
{
    struct caller_result result;
    bool good;

    if (demo_job_key(&o->job, o->key)) {
        return true;
    }
    good = caller_mint(c, o->key, &result);
    fetch_reply_clear(&result.reply);
    return good;
}

static void
run_job(struct demo *d, struct outcome *o, struct caller *c)
{
    size_t entry = o->job.number % d->callers.n_entries;

    caller_use(c, entry);
    if (!get_key(o, c)) {
        o->end = SUBMIT_NOT_RUN;
        return;
    }
    if (o->job.kind == DEMO_CANCEL_BEFORE) {
        cancel_first(o, c, entry);
    }
    switch (o->job.kind) {
    case DEMO_RESUBMIT_DURING:
    case DEMO_CANCEL_DURING:
        submit_with_meanwhile(d, o, c, entry);
        return;
    case DEMO_RESUBMIT_AFTER:
        submit(d, o, c, entry, true);
        submit(d, o, c, entry + 3, false);
        return;
    case DEMO_CONFLICT:
        submit(d, o, c, entry, true);
        submit_conflict(o, c, entry);
        return;
    case DEMO_PLAIN:
    case DEMO_CANCEL_BEFORE:
    case DEMO_NEVER_FITS:
        submit(d, o, c, entry, true);
        return;
    }
}

/* Tells demo/run how far it is, by an empty file. */
static void
tell(const struct demo *d, const char *what)
{
    char path[PATH_SIZE];
    int fd;

    (void)snprintf(path, sizeof(path), "%s/%s", d->sync, what);
    fd = open(path, O_WRONLY | O_CREAT | O_CLOEXEC, 0644);
    if (fd >= 0) {
        (void)close(fd);
    }
}

static void
wait_until_told(const struct demo *d, const char *what)
{
    char path[PATH_SIZE];

    (void)snprintf(path, sizeof(path), "%s/%s", d->sync, what);
    while (access(path, F_OK) != 0) {
        sleep_ms(STEP_MS);
    }
}

/* Jobs begin evenly over the time, so that the faults strike in the middle. */
static void
wait_for_turn(const struct demo *d, uint32_t number)
{
    int64_t due = d->began_us +
                  (int64_t)(d->seconds * USEC_PER_SEC * number / d->n_jobs);
    int64_t left = due - now_us();

    if (left > 0) {
        sleep_ms(left / USEC_PER_MSEC);
    }
}

/* Every service is asked for at every instance. */
static const char *
service_of(const struct demo *d, uint32_t number)
{
    return d->services[number / d->callers.n_entries % d->n_services];
}

static void *
run_caller(void *user)
{
    struct demo *d = user;
    struct caller_options co = d->callers;
    struct caller *c = NULL;
    uint32_t number;

    while ((number = atomic_fetch_add(&d->next, 1)) < d->n_jobs) {
        struct outcome *o = &d->outcomes[number];

        if (c == NULL) {
            co.seed ^= (uint64_t)number * 104729 + 3;
            c = caller_new(&co);
        }
        o->job = demo_job_plan(d->seed, number, service_of(d, number));
        wait_for_turn(d, number);
        if (number == d->n_jobs / 2) {
            tell(d, "half");
        }
        run_job(d, o, c);
    }
    caller_free(c);
    return NULL;
}

static void
run_callers(struct demo *d, int n)
{
    pthread_t threads[CALLERS_MAX];
    int started = 0;

    d->began_us = now_us();
    while (started < n &&
           pthread_create(&threads[started], NULL, run_caller, d) == 0) {
        started++;
    }
    for (int i = 0; i < started; i++) {
        pthread_join(threads[i], NULL);
    }
}

/* What the upstreams recorded must agree with what the caller was told. */
static void
check_task(struct outcome *o, const struct demo_records *r, uint32_t i)
{
    const struct demo_task *t = demo_records_task(r, o->key, i);
    bool started = t != NULL && t->starts > 0;

    if (o->end == SUBMIT_NOT_RUN || o->job.kind == DEMO_CANCEL_BEFORE) {
        if (started) {
            mark_wrong(o, "told not run, and it was started");
        }
        return;
    }
    if (!o->answer.there || i >= o->answer.n_tasks) {
        return;
    }
    if (o->answer.states[i] == TASK_NOT_RUN && started) {
        mark_wrong(o, "a task told not run was started");
    }
    if (o->answer.states[i] == TASK_RAN && !started) {
        mark_wrong(o, "a task told ran was never started");
    }
    if (o->answer.complete && started && t->ends > 0 &&
        t->ok != o->answer.ok[i]) {
        mark_wrong(o, "a task's success is told the other way round");
    }
}

struct summary {
    uint32_t complete;
    uint32_t failed;
    uint32_t refused;
    uint32_t unknown;
    uint32_t partial;
    uint32_t wrong;
};

static void
count_outcome(struct outcome *o, struct summary *s)
{
    switch (o->end) {
    case SUBMIT_COMPLETE:
        s->complete++;
        break;
    case SUBMIT_NOT_RUN:
    case SUBMIT_REFUSED:
        s->refused++;
        break;
    case SUBMIT_UNKNOWN:
    case SUBMIT_RUNNING:
        s->unknown++;
        s->failed++;
        break;
    case SUBMIT_FAILED:
        s->failed++;
        break;
    }
    s->partial += o->partial;
    s->wrong += o->wrong;
    if (o->end != SUBMIT_COMPLETE || o->partial || o->wrong) {
        printf("demo: job %u (%u tasks, kind %d) key %s: %s %s%s%s\n",
               o->job.number, o->job.n_tasks, (int)o->job.kind, o->key,
               submit_end_text(o->end), o->answer.reason,
               o->partial ? " PARTIAL" : "", o->wrong ? " WRONG: " : "");
        if (o->wrong) {
            printf("demo:   %s\n", o->why);
        }
    }
}

/* Instances without the accepted change at the end; one where no change was
 * accepted at all, or none had it in force. */
static uint32_t
config_lost(const struct demo_seen *seen)
{
    return seen->in_force_us < 0 && seen->behind == 0 ? 1 : seen->behind;
}

static int
report(struct demo *d, const struct demo_records *r)
{
    struct summary s = {0};
    uint32_t cut_off = atomic_load(&d->cut_off) + r->cut_off;
    uint32_t lost;
    bool good;

    for (uint32_t i = 0; i < d->n_jobs; i++) {
        struct outcome *o = &d->outcomes[i];

        for (uint32_t t = 0; t < o->job.n_tasks; t++) {
            check_task(o, r, t);
        }
        count_outcome(o, &s);
    }
    good = r->started_twice == 0 && s.partial == 0 && s.wrong == 0 &&
           cut_off == 0 && r->bad_lines == 0 && r->starts > 0 &&
           s.complete * 100 >= d->n_jobs * COMPLETE_PERCENT;
    printf("demo: %u record files, %llu starts, %u requests, %u of them lost "
           "at the killed instance, %u jobs unknown\n",
           r->files, (unsigned long long)r->starts, atomic_load(&d->attempts),
           atomic_load(&d->lost), s.unknown);
    lost = d->config ? config_lost(&d->seen) : 0;
    good = good && lost == 0 && d->seen.reverts == 0;
    printf("demo: jobs=%u complete=%u failed=%u refused=%u started_twice=%u "
           "partial=%u wrong_answer=%u cut_off_by_planned_stop=%u",
           d->n_jobs, s.complete, s.failed, s.refused, r->started_twice,
           s.partial, s.wrong, cut_off);
    if (d->config) {
        printf(" config_reverts=%u config_lost=%u in_force_s=%.1f",
               d->seen.reverts, lost,
               (double)d->seen.in_force_us / USEC_PER_SEC);
    }
    putchar('\n');
    return good ? EXIT_SUCCESS : EXIT_FAILURE;
}

/* Callers begin when every instance serves and every upstream is held. */
static bool
wait_until_ready(struct demo *d)
{
    bool ready = false;

    for (int ms = 0; !ready && ms < READY_MS; ms += STEP_MS) {
        sleep_ms(STEP_MS);
        ready = demo_watch_ready(d->watch, d->upstreams);
    }
    if (!ready) {
        (void)fprintf(stderr, "demo: not ready after %d ms\n", READY_MS);
    }
    return ready;
}

/* The version that demo/run writes once its change is accepted; 0 before. */
static uint64_t
accepted_version(const struct demo *d)
{
    char path[PATH_SIZE];
    unsigned long long version = 0;
    FILE *f;

    (void)snprintf(path, sizeof(path), "%s/accepted", d->sync);
    f = fopen(path, "re");
    if (f == NULL) {
        return 0;
    }
    if (fscanf(f, "%llu", &version) != 1) {
        version = 0;
    }
    (void)fclose(f);
    return version;
}

/* Notices the accepted change, and measures until it is in force. */
static void *
run_expect(void *user)
{
    struct demo *d = user;
    uint64_t version = 0;

    while (version == 0 && !atomic_load(&d->ending)) {
        sleep_ms(STEP_MS / 2);
        version = accepted_version(d);
    }
    if (version > 0) {
        demo_watch_expect(d->watch, version);
    }
    return NULL;
}

/* Runs the callers and, beside them, the watch on the configuration. */
static bool
run_all(struct demo *d, int callers)
{
    pthread_t expect;
    bool good = false;

    d->watch = demo_watch_start(&d->callers);
    if (d->watch == NULL) {
        return false;
    }
    if (wait_until_ready(d) &&
        pthread_create(&expect, NULL, run_expect, d) == 0) {
        run_callers(d, callers);
        atomic_store(&d->ending, true);
        pthread_join(expect, NULL);
        d->seen = demo_watch_seen(d->watch);
        good = true;
    }
    demo_watch_stop(d->watch);
    return good;
}

static int
run(struct demo *d, int callers, const char *records)
{
    struct demo_records r;
    int code;

    d->outcomes = calloc(d->n_jobs, sizeof(*d->outcomes));
    if (d->outcomes == NULL || !run_all(d, callers)) {
        free(d->outcomes);
        return EXIT_FAILURE;
    }
    tell(d, "done");
    wait_until_told(d, "stopped");
    demo_records_init(&r);
    if (demo_records_read(&r, records)) {
        code = report(d, &r);
    }
    else {
        (void)fprintf(stderr, "bm-demo: %s: %s\n", records, strerror(errno));
        code = EXIT_FAILURE;
    }
    demo_records_clear(&r);
    free(d->outcomes);
    return code;
}

static const char *
read_services(struct demo *d, char *list)
{
    char *save = NULL;

    for (char *word = strtok_r(list, ",", &save); word != NULL;
         word = strtok_r(NULL, ",", &save)) {
        if (d->n_services == SERVICES_MAX) {
            return "--service takes at most 4 names";
        }
        d->services[d->n_services++] = word;
    }
    return d->n_services > 0 ? NULL : "--service is empty";
}

struct options {
    char *entries;
    char *services;
    char *records;
    char *sync;
    char *killed;
    int upstreams;
    int config;
    int jobs;
    int callers;
    int seed;
    double seconds;
};

static int
start(struct options *o)
{
    static struct demo d;
    const char *wrong = NULL;

    if (o->entries == NULL || o->services == NULL || o->records == NULL ||
        o->sync == NULL || o->jobs < 1 || o->jobs > JOBS_MAX ||
        o->callers < 1 || o->callers > CALLERS_MAX) {
        wrong = "--entry, --service, --records and --sync are needed; --jobs "
                "is 1 to 100000, --callers 1 to 256";
    }
    if (wrong == NULL) {
        wrong = caller_add_entries(&d.callers, o->entries);
    }
    if (wrong == NULL) {
        wrong = read_services(&d, o->services);
    }
    if (wrong != NULL) {
        (void)fprintf(stderr, "bm-demo: %s\n", wrong);
        return CODE_USAGE;
    }
    d.callers.submit = submit_options_default();
    d.callers.timeout_ms = ATTEMPT_MS;
    d.callers.seed = (uint64_t)o->seed;
    d.callers.on_attempt = on_attempt;
    d.callers.user = &d;
    d.sync = o->sync;
    d.killed = o->killed;
    d.upstreams = (uint32_t)o->upstreams;
    d.config = o->config != 0;
    d.n_jobs = (uint32_t)o->jobs;
    d.seconds = o->seconds;
    d.seed = (uint64_t)o->seed;
    return run(&d, o->callers, o->records);
}

int
main(int argc, const char **argv)
{
    static struct options o = {
        .jobs = 1000, .callers = 96, .seed = 1, .seconds = 20};
    int version = 0;
    struct poptOption table[] = {
        {"entry", 'e', POPT_ARG_STRING, &o.entries, 0, "entry instances",
         "ADDRESS,..."},
        {"service", 's', POPT_ARG_STRING, &o.services, 0,
         "services, used in turn", "NAME,..."},
        {"records", 0, POPT_ARG_STRING, &o.records, 0,
         "folder of the upstreams' record files, *.record", "DIR"},
        {"sync", 0, POPT_ARG_STRING, &o.sync, 0,
         "folder for the files half, accepted, done and stopped", "DIR"},
        {"config", 0, POPT_ARG_NONE, &o.config, 0,
         "a change of configuration comes: the file accepted in --sync holds "
         "its version",
         NULL},
        {"killed", 0, POPT_ARG_STRING, &o.killed, 0,
         "entry instance that will be killed", "ADDRESS"},
        {"upstreams", 0, POPT_ARG_INT, &o.upstreams, 0,
         "begin when that many are held", "N"},
        {"jobs", 0, POPT_ARG_INT | POPT_ARGFLAG_SHOW_DEFAULT, &o.jobs, 0,
         "distinct jobs", "N"},
        {"callers", 0, POPT_ARG_INT | POPT_ARGFLAG_SHOW_DEFAULT, &o.callers, 0,
         "callers at a time", "N"},
        {"seconds", 0, POPT_ARG_DOUBLE | POPT_ARGFLAG_SHOW_DEFAULT, &o.seconds,
         0, "over which the jobs begin", "S"},
        {"seed", 0, POPT_ARG_INT | POPT_ARGFLAG_SHOW_DEFAULT, &o.seed, 0,
         "of sizes and run times", "N"},
        {"version", 0, POPT_ARG_NONE, &version, 0, "print the version", NULL},
        POPT_AUTOHELP POPT_TABLEEND};
    poptContext ctx = poptGetContext("bm-demo", argc, argv, table, 0);
    int rc;
    int code;

    poptSetOtherOptionHelp(ctx,
                           "[OPTION...]\n"
                           "Exit codes: 0 every promise held, 1 one did not, "
                           "2 usage");
    rc = poptGetNextOpt(ctx);
    if (rc < -1 || poptPeekArg(ctx) != NULL) {
        (void)fprintf(stderr, "bm-demo: %s\n",
                      rc < -1 ? poptStrerror(rc) : "arguments mean nothing");
        code = CODE_USAGE;
    }
    else if (version) {
        printf("bm-demo %s\n", BM_VERSION);
        code = EXIT_SUCCESS;
    }
    else {
        (void)signal(SIGPIPE, SIG_IGN);
        fetch_setup();
        code = start(&o);
    }
    poptFreeContext(ctx);
    return code;
}
