/*
 * bm-platform-demo: workers, an operator and clients of the users' platform on
 * loopback, and the judge of what they saw.  It prints one line and exits with
 * 0 only where no promise was broken and enough of the jobs completed; 1
 * otherwise, 2 for a mistake on the command line.  With --failures it hands in
 * one job each that is refused, that is late and that is lost, and says which.
 */
#include <curl/curl.h>
#include <jansson.h>
#include <popt.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "clock.h"
#include "fakeworker.h"

enum {
    WORKERS_MAX = 32,
    ADDRESSES_MAX = 16,
    JOBS_MAX = 5000,
    URL_ROOM = 192,
    POLL_US = 1000,
    TASKS_MAX = 8,
    KINDS = 5, /* of run times */
    TRIES_MAX = 6,
    DELAYING = 3,       /* number of the worker that carries orders out late */
    DELAYS_IN = 12,     /* one of so many */
    REBORN = 5,         /* number of the worker that starts anew half-way */
    LEAST_PERCENT = 90, /* of the jobs must complete */
    PERCENT_ALL = 100,
    EXIT_USAGE = 2,
    STATUS_OK = 200,
    STATUS_NOT_TAKEN = 503,
};

#define BEAT_US (1500 * USEC_PER_MSEC)
#define DELAY_US (3 * USEC_PER_SEC)
#define GET_US (200 * USEC_PER_MSEC)
#define RESEND_US (1300 * USEC_PER_MSEC)
#define AGAIN_US (300 * USEC_PER_MSEC)
#define LAST_US (8 * USEC_PER_SEC)
#define CLIENT_MS 5000L
#define CONFIG                                                                \
    "{\"version\":%d,\"routes\":[{\"name\":\"q\",\"host\":\"demo.example\","  \
    "\"path-prefix\":\"/q/\",\"route-type\":\"unsafe\",\"timeout-ms\":%d,"    \
    "\"target-latency-ms\":60,\"priority\":0,\"service\":\"demo\","           \
    "\"max-attempts\":3,\"stretch\":1.6}],\"services\":[{\"name\":\"demo\","  \
    "\"admission-check\":true}],\"limits\":{}}"

enum call_kind { CALL_BEAT, CALL_PUT, CALL_GET, CALL_JOB };

/* A request on its way. */
struct call {
    enum call_kind kind;
    size_t number; /* of the worker or the job */
    CURL *easy;
    char *body;
    char answer[2048];
    size_t size;
    struct curl_slist *headers;
};

struct job {
    int64_t due_us; /* next try; 0: not planned */
    int tries;
    int tasks;
    int run_ms;      /* of each task */
    int declared_ms; /* what the client says of it */
    bool asked;
    long status; /* of the last answer; 0 for none */
    bool done;
    char state[16];
};

struct demo {
    char *control_list;
    char *entry_list;
    int n_workers;
    int n_jobs;
    int least_percent;
    int base_port;
    int metrics_port; /* of brokers */
    int failures;     /* play these */
    int per_s;
    const char *controls[ADDRESSES_MAX];
    size_t n_controls;
    const char *entries[ADDRESSES_MAX];
    size_t n_entries;
    CURLM *multi;
    struct fakeworker *workers[WORKERS_MAX];
    int64_t beat_us[WORKERS_MAX];
    size_t beat_at[WORKERS_MAX];
    struct job *jobs;
    int64_t begin_us;
    int version;
    int acked;
    int64_t put_us; /* next try; 0 while one is on its way */
    size_t put_at;
    int64_t get_us; /* next regular read */
    int read;       /* highest version read */
    int reverts;    /* reads that were older than what was known before */
    bool read_right;
};

static int64_t
now_us(void)
{
    return clock_now(clock_real()).mono_us;
}

static size_t
take(const char *data, size_t size, size_t n, void *user)
{
    struct call *c = user;
    size_t bytes = size * n;

    if (c->size + bytes >= sizeof(c->answer)) {
        return 0;
    }
    memcpy(c->answer + c->size, data, bytes);
    c->size += bytes;
    c->answer[c->size] = '\0';
    return bytes;
}

static void
begin(struct demo *d, enum call_kind kind, size_t number, const char *url,
      char *body)
{
    struct call *c = calloc(1, sizeof(*c));

    c->kind = kind;
    c->number = number;
    c->body = body;
    c->easy = curl_easy_init();
    c->headers = curl_slist_append(NULL, "Content-Type: application/json");
    if (kind == CALL_JOB) {
        c->headers = curl_slist_append(c->headers, "Host: demo.example");
        c->headers = curl_slist_append(c->headers, "Timeout-Ms: 4000");
    }
    curl_easy_setopt(c->easy, CURLOPT_URL, url);
    if (body != NULL) {
        curl_easy_setopt(c->easy, CURLOPT_POSTFIELDS, body);
    }
    curl_easy_setopt(c->easy, CURLOPT_HTTPHEADER, c->headers);
    curl_easy_setopt(c->easy, CURLOPT_PRIVATE, c);
    curl_easy_setopt(c->easy, CURLOPT_NOSIGNAL, 1L);
    curl_easy_setopt(c->easy, CURLOPT_PROXY, "");
    curl_easy_setopt(c->easy, CURLOPT_FOLLOWLOCATION, 1L);
    curl_easy_setopt(c->easy, CURLOPT_MAXREDIRS, 2L);
    curl_easy_setopt(c->easy, CURLOPT_POSTREDIR, (long)CURL_REDIR_POST_ALL);
    curl_easy_setopt(c->easy, CURLOPT_TIMEOUT_MS,
                     kind == CALL_JOB ? CLIENT_MS : 1000L);
    curl_easy_setopt(c->easy, CURLOPT_WRITEFUNCTION, take);
    curl_easy_setopt(c->easy, CURLOPT_WRITEDATA, c);
    (void)curl_multi_add_handle(d->multi, c->easy);
}

/* The operator */

static char *
config_text(int version)
{
    char text[1024];

    (void)snprintf(text, sizeof(text), CONFIG, version, 1500 + version);
    return strdup(text);
}

/* The @i-th of a list, beginning anew at its end. */
static const char *
pick(const char *const list[], size_t n, size_t i)
{
    return n > 0 ? list[i % n] : "";
}

static void
put_config(struct demo *d)
{
    char url[URL_ROOM];

    if (d->put_us == 0 || now_us() < d->put_us || d->acked == d->version) {
        return;
    }
    (void)snprintf(url, sizeof(url), "http://%s/v1/config/put",
                   pick(d->controls, d->n_controls, d->put_at++));
    d->put_us = 0;
    begin(d, CALL_PUT, (size_t)d->version, url, config_text(d->version));
}

/* What no read that begins now may fall behind. */
static int
newest_known(const struct demo *d)
{
    return d->acked > d->read ? d->acked : d->read;
}

static void
get_config(struct demo *d)
{
    char url[URL_ROOM];

    (void)snprintf(url, sizeof(url), "http://%s/v1/config/get",
                   pick(d->controls, d->n_controls, d->put_at++));
    d->get_us = now_us() + GET_US;
    begin(d, CALL_GET, (size_t)newest_known(d), url, NULL);
}

/* Judges a read against what was known when it began. */
static void
end_read(struct demo *d, const struct call *c)
{
    char *newest = config_text(d->acked);
    json_t *got = json_loadb(c->answer, c->size, 0, NULL);
    int version = (int)json_integer_value(json_object_get(got, "version"));

    d->reverts += version < (int)c->number ? 1 : 0;
    d->read = version > d->read ? version : d->read;
    d->read_right =
        strlen(newest) == c->size && memcmp(newest, c->answer, c->size) == 0;
    json_decref(got);
    free(newest);
}

/* Workers */

static void
beat(struct demo *d, size_t i)
{
    char url[URL_ROOM];

    if (now_us() < d->beat_us[i]) {
        return;
    }
    (void)snprintf(url, sizeof(url), "http://%s/v1/instances/%s/heartbeat",
                   pick(d->controls, d->n_controls, d->beat_at[i]),
                   fakeworker_id(d->workers[i]));
    d->beat_us[i] = now_us() + BEAT_US;
    begin(d, CALL_BEAT, i, url, fakeworker_beat(d->workers[i], now_us()));
}

/* Clients */

static void
hand_in(struct demo *d, size_t i)
{
    struct job *j = &d->jobs[i];
    char url[URL_ROOM];
    char body[256];

    (void)snprintf(url, sizeof(url), "http://%s/q/%016zx",
                   pick(d->entries, d->n_entries, i + (size_t)j->tries),
                   i + 1);
    (void)snprintf(body, sizeof(body),
                   "{\"spec\":\"%d\",\"steps\":[{\"count\":%d,\"cpu\":14000,"
                   "\"mem-mb\":64,\"estimated-ms\":%d}],\"best-effort\":true}",
                   j->run_ms, j->tasks, j->declared_ms);
    j->due_us = 0;
    j->tries++;
    j->asked = true;
    begin(d, CALL_JOB, i, url, strdup(body));
}

static void
hand_in_due(struct demo *d)
{
    for (int i = 0; i < d->n_jobs; i++) {
        struct job *j = &d->jobs[i];

        if (!j->done && j->due_us != 0 && now_us() >= j->due_us) {
            hand_in(d, (size_t)i);
        }
    }
}

static void
end_job_call(struct demo *d, struct call *c, CURLcode result, long status)
{
    struct job *j = &d->jobs[c->number];
    const char *state;

    j->status = result == CURLE_OK ? status : 0;
    if (j->status == STATUS_OK) {
        json_t *body = json_loads(c->answer, 0, NULL);

        state = json_string_value(json_object_get(body, "state"));
        (void)snprintf(j->state, sizeof(j->state), "%s",
                       state != NULL ? state : "");
        json_decref(body);
        j->done = true;
        return;
    }
    if (j->status == STATUS_NOT_TAKEN || j->tries == TRIES_MAX) {
        j->done = true;
        return;
    }
    j->due_us = now_us() + RESEND_US;
}

static void
end_call(struct demo *d, struct call *c, CURLcode result)
{
    long status = 0;

    curl_easy_getinfo(c->easy, CURLINFO_RESPONSE_CODE, &status);
    switch (c->kind) {
    case CALL_BEAT:
        if (result != CURLE_OK || status != STATUS_OK) {
            d->beat_at[c->number]++;
            d->beat_us[c->number] = now_us() + AGAIN_US;
        }
        break;
    case CALL_PUT:
        if (result == CURLE_OK && status == STATUS_OK) {
            d->acked = (int)c->number;
        }
        d->put_us = now_us() + AGAIN_US;
        break;
    case CALL_GET:
        if (result == CURLE_OK && status == STATUS_OK) {
            end_read(d, c);
        }
        break;
    default:
        end_job_call(d, c, result, status);
        break;
    }
}

static void
pump(struct demo *d)
{
    CURLMsg *msg;
    int left;
    int running;

    (void)curl_multi_perform(d->multi, &running);
    while ((msg = curl_multi_info_read(d->multi, &left)) != NULL) {
        CURL *easy = msg->easy_handle;
        CURLcode result = msg->data.result;
        struct call *c = NULL;

        curl_easy_getinfo(easy, CURLINFO_PRIVATE, (char **)&c);
        end_call(d, c, result);
        (void)curl_multi_remove_handle(d->multi, easy);
        curl_easy_cleanup(easy);
        curl_slist_free_all(c->headers);
        free(c->body);
        free(c);
    }
}

static void
round_of(struct demo *d)
{
    for (int i = 0; i < d->n_workers; i++) {
        fakeworker_poll(d->workers[i], now_us());
        beat(d, (size_t)i);
    }
    put_config(d);
    if (now_us() >= d->get_us) {
        get_config(d);
    }
    hand_in_due(d);
    pump(d);
    clock_sleep(POLL_US);
}

static void
run_until(struct demo *d, int64_t until_us)
{
    while (now_us() < until_us) {
        round_of(d);
    }
}

static bool
all_done(const struct demo *d)
{
    for (int i = 0; i < d->n_jobs; i++) {
        if (!d->jobs[i].done) {
            return false;
        }
    }
    return true;
}

/* Judging, by the workers' own records */

struct seen {
    const struct fakeworker_run *run;
    bool live; /* its worker's life was not over when it ended */
};

static int
compare_runs(const void *a, const void *b)
{
    const struct fakeworker_run *x = ((const struct seen *)a)->run;
    const struct fakeworker_run *y = ((const struct seen *)b)->run;
    int tasks = strcmp(x->task, y->task);

    if (tasks != 0) {
        return tasks;
    }
    return x->begun_us < y->begun_us ? -1 : x->begun_us > y->begun_us;
}

static size_t
collect(const struct demo *d, struct seen **out)
{
    size_t total = 0;
    size_t n = 0;

    for (int i = 0; i < d->n_workers; i++) {
        size_t runs;

        (void)fakeworker_runs(d->workers[i], &runs);
        total += runs;
    }
    *out = calloc(total + 1, sizeof(**out));
    for (int i = 0; i < d->n_workers; i++) {
        size_t runs;
        const struct fakeworker_run *r = fakeworker_runs(d->workers[i], &runs);

        for (size_t j = 0; j < runs; j++) {
            if (r[j].whole_us > 0) { /* others were stopped unstarted */
                (*out)[n++].run = &r[j];
            }
        }
    }
    qsort(*out, n, sizeof(**out), compare_runs);
    return n;
}

static int
count_overlaps(const struct seen *s, size_t n)
{
    int overlaps = 0;

    for (size_t i = 1; i < n; i++) {
        const struct fakeworker_run *a = s[i - 1].run;
        const struct fakeworker_run *b = s[i].run;

        if (strcmp(a->task, b->task) == 0 &&
            (a->ended_us == 0 || b->begun_us < a->ended_us)) {
            overlaps++;
        }
    }
    return overlaps;
}

/* Tasks of a job that ended well, each counted once; -1 where none started. */
static int
tasks_done(const struct seen *s, size_t n, size_t job)
{
    char prefix[24];
    const char *last = "";
    int done = 0;
    bool started = false;

    (void)snprintf(prefix, sizeof(prefix), "%016zx.", job + 1);
    for (size_t i = 0; i < n; i++) {
        const struct fakeworker_run *r = s[i].run;

        if (strncmp(r->task, prefix, strlen(prefix)) != 0) {
            continue;
        }
        started = true;
        if (strcmp(r->how, "done") == 0 && strcmp(r->task, last) != 0) {
            last = r->task;
            done++;
        }
    }
    return started ? done : -1;
}

static int
judge(struct demo *d)
{
    struct seen *s;
    size_t n = collect(d, &s);
    int overlaps = count_overlaps(s, n);
    int completed = 0;
    int failed = 0;
    int refused = 0;
    int unknown = 0;
    int false_answers = 0;
    int false_refusals = 0;
    bool good;

    for (int i = 0; i < d->n_jobs; i++) {
        const struct job *j = &d->jobs[i];
        int done = tasks_done(s, n, (size_t)i);

        if (j->status == STATUS_OK && strcmp(j->state, "completed") == 0) {
            completed++;
            false_answers += done != j->tasks ? 1 : 0;
        }
        else if (j->status == STATUS_OK) {
            failed++;
        }
        else if (j->status == STATUS_NOT_TAKEN) {
            refused++;
            false_refusals += done >= 0 && j->tries == 1 ? 1 : 0;
        }
        else {
            unknown++;
        }
    }
    good = overlaps == 0 && false_answers == 0 && false_refusals == 0 &&
           d->reverts == 0 && d->read_right &&
           completed * PERCENT_ALL >= d->n_jobs * d->least_percent;
    printf("demo-platform: failed=%d refused=%d unknown=%d runs=%zu\n", failed,
           refused, unknown, n);
    printf("demo-platform: jobs=%d complete=%d ran_twice=%d "
           "false_not_run=%d wrong_answer=%d config_reverts=%d "
           "config_lost=%d\n",
           d->n_jobs, completed, overlaps, false_refusals, false_answers,
           d->reverts, d->read_right ? 0 : 1);
    free(s);
    return good ? EXIT_SUCCESS : EXIT_FAILURE;
}

/* The course of it */

static bool
start_workers(struct demo *d)
{
    for (int i = 0; i < d->n_workers; i++) {
        struct fakeworker_options o = {
            .delays_in = i == DELAYING ? DELAYS_IN : 0, .delay_us = DELAY_US};

        (void)snprintf(o.id, sizeof(o.id), "i-%d", i);
        (void)snprintf(o.listen, sizeof(o.listen), "127.0.0.1:%d",
                       d->base_port + i);
        d->workers[i] = fakeworker_new(&o, now_us());
        if (d->workers[i] == NULL) {
            (void)fprintf(stderr, "bm-platform-demo: %s is taken\n", o.listen);
            return false;
        }
        d->beat_us[i] = now_us() + i * BEAT_US / d->n_workers;
        d->beat_at[i] = (size_t)i;
    }
    return true;
}

static void
plan_jobs(struct demo *d, int64_t at_us)
{
    for (int i = 0; i < d->n_jobs; i++) {
        d->jobs[i].due_us = at_us + i * USEC_PER_SEC / d->per_s;
        d->jobs[i].tasks = 1 + i % TASKS_MAX;
        d->jobs[i].run_ms = 40 + i % KINDS * 40;
        d->jobs[i].declared_ms = 60 + i % KINDS * 30;
    }
}

/* The configuration is acknowledged, and workers are held. */
static void
become_ready(struct demo *d)
{
    d->version = 1;
    d->put_us = now_us();
    while (d->acked != 1) {
        round_of(d);
    }
    run_until(d, now_us() + 4 * USEC_PER_SEC);
}

static int
play(struct demo *d)
{
    int64_t half_us = d->n_jobs * USEC_PER_SEC / d->per_s / 2;
    int64_t begin_us;

    become_ready(d);
    begin_us = now_us();
    plan_jobs(d, begin_us);
    printf("demo-platform: ready\n");
    (void)fflush(stdout);
    run_until(d, begin_us + half_us);
    fakeworker_reborn(d->workers[REBORN % d->n_workers], now_us());
    d->version = 2;
    d->put_us = now_us();
    run_until(d, begin_us + 2 * half_us);
    for (int64_t end = now_us() + LAST_US; !all_done(d) && now_us() < end;) {
        round_of(d);
    }
    run_until(d, now_us() + 2 * USEC_PER_SEC);
    d->read_right = false; /* by a read after all is over */
    for (int i = 0; i < TRIES_MAX && !d->read_right; i++) {
        run_until(d, now_us() + USEC_PER_SEC);
    }
    return judge(d);
}

/* Three failures, for the way from a job's number to its cause */

enum { FILLER, REFUSED, LATE, LOST, FAILURES };

static int64_t
hand_in_now(struct demo *d, size_t i, int tasks, int run_ms)
{
    struct job *j = &d->jobs[i];

    j->tasks = tasks;
    j->run_ms = run_ms;
    j->declared_ms = run_ms;
    j->tries = TRIES_MAX - 1; /* it is not handed in again */
    hand_in(d, i);
    return now_us();
}

static void
await(struct demo *d, size_t i)
{
    while (!d->jobs[i].done) {
        round_of(d);
    }
}

static void
tell(const struct demo *d, const char *what, size_t i, int64_t since_us)
{
    printf("%s %016zx status=%ld state=%s ms=%lld\n", what, i + 1,
           d->jobs[i].status, d->jobs[i].state,
           (long long)((now_us() - since_us) / USEC_PER_MSEC));
    (void)fflush(stdout);
}

/* The counters of all brokers, as they are told. */
static void
print_metrics(const struct demo *d)
{
    for (size_t i = 0; i < d->n_entries; i++) {
        CURL *easy = curl_easy_init();
        char url[URL_ROOM];
        size_t host = strcspn(d->entries[i], ":");
        CURLcode result;

        (void)snprintf(url, sizeof(url), "http://%.*s:%d/metrics", (int)host,
                       d->entries[i], d->metrics_port);
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

    become_ready(d);
    (void)hand_in_now(d, FILLER, 2 * d->n_workers, 2000);
    run_until(d, now_us() + 200 * USEC_PER_MSEC);
    since_us = hand_in_now(d, REFUSED, 2 * d->n_workers, 50);
    await(d, REFUSED);
    tell(d, "refused", REFUSED, since_us);
    await(d, FILLER);
    fakeworker_hang(d->workers[0], true);
    since_us = hand_in_now(d, LATE, 2 * d->n_workers, 200);
    await(d, LATE);
    tell(d, "late", LATE, since_us);
    fakeworker_hang(d->workers[0], false);
    run_until(d, now_us() + USEC_PER_SEC);
    since_us = hand_in_now(d, LOST, d->n_workers, 3000);
    run_until(d, now_us() + 300 * USEC_PER_MSEC);
    printf("running\n");
    (void)fflush(stdout);
    await(d, LOST);
    tell(d, "lost", LOST, since_us);
    print_metrics(d);
    return EXIT_SUCCESS;
}

static size_t
split(char *list, const char *out[ADDRESSES_MAX])
{
    char *save = NULL;
    size_t n = 0;

    for (char *a = strtok_r(list, ",", &save); a != NULL && n < ADDRESSES_MAX;
         a = strtok_r(NULL, ",", &save)) {
        out[n++] = a;
    }
    return n;
}

int
main(int argc, char **argv)
{
    struct demo d = {.n_workers = 12,
                     .n_jobs = 300,
                     .per_s = 30,
                     .least_percent = LEAST_PERCENT};
    const struct poptOption options[] = {
        {"control", 0, POPT_ARG_STRING, &d.control_list, 0,
         "addresses of control, with commas", "LIST"},
        {"entry", 0, POPT_ARG_STRING, &d.entry_list, 0,
         "addresses of brokers, with commas", "LIST"},
        {"port", 0, POPT_ARG_INT, &d.base_port, 0, "first port of the workers",
         "N"},
        {"workers", 0, POPT_ARG_INT, &d.n_workers, 0, "how many", "N"},
        {"jobs", 0, POPT_ARG_INT, &d.n_jobs, 0, "how many", "N"},
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
        d.base_port <= 0 || d.n_workers < 1 || d.n_workers > WORKERS_MAX ||
        d.n_jobs < 1 || d.n_jobs > JOBS_MAX || d.per_s < 1) {
        poptPrintUsage(ctx, stderr, 0);
        return EXIT_USAGE;
    }
    d.n_jobs = d.failures ? FAILURES : d.n_jobs;
    d.n_controls = split(d.control_list, d.controls);
    d.n_entries = split(d.entry_list, d.entries);
    if (d.n_controls == 0 || d.n_entries == 0) {
        return EXIT_USAGE;
    }
    d.jobs = calloc((size_t)d.n_jobs, sizeof(*d.jobs));
    (void)curl_global_init(CURL_GLOBAL_ALL);
    d.multi = curl_multi_init();
    rc = EXIT_FAILURE;
    if (start_workers(&d)) {
        rc = d.failures ? play_failures(&d) : play(&d);
    }
    for (int i = 0; i < d.n_workers; i++) {
        fakeworker_free(d.workers[i]);
    }
    free(d.jobs);
    poptFreeContext(ctx);
    return rc;
}
