/*
 * A worker of the users' platform, as PROTOCOL.md says: it runs tasks under a
 * lease on its own clock, with fences and run numbers, keeps its ends until
 * they are seen, and sends heartbeats.  It appends all that it is told and
 * does to a record.  Who wants it to crash kills the process and starts another
 * one, which is a new life.
 *
 * It has one fault, off by default.  With LEAVES=FILE in the environment, the
 * first start that comes while FILE doesn't exist gets no answer and is kept
 * there; a worker that begins with CARRIES=FILE carries it out then, as any
 * order: it may be refused.
 *
 * Usage: worker ID IP:PORT ZONE SERVICE LABELS CPU CONTROLS RECORD
 *        [ROOM-CHECK]
 * LABELS and CONTROLS are lists with commas; ROOM-CHECK is 1 (rejects what
 * does not fit) or 0 (starts all).
 */
#include <arpa/inet.h>
#include <curl/curl.h>
#include <jansson.h>
#include <microhttpd.h>
#include <pthread.h>
#include <signal.h>
#include <stdarg.h>
#include <stdbool.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <time.h>
#include <unistd.h>

enum {
    RUNS_MAX = 4096,
    LEASE_MAX_MS = 1000,
    STOP_MS = 40,
    HEARTBEAT_MS = 1500,
    MEMORY_MB = 65536,
    SLOTS = 8,
    UNANSWERED_S = 60,
};

struct run {
    char task[64];
    long long run;
    long long cpu;
    long long due;   /* done then, on the worker's clock */
    long long stop;  /* stopped then; 0 for none */
    long long whole;
    long long number; /* of its end; 0 while it runs */
    const char *how;
    bool refused; /* stopped before it came: no end of it is listed */
};

static struct {
    const char *id;
    const char *address;
    const char *zone;
    const char *service;
    const char *labels;
    long long cpu;
    const char *controls;
    FILE *record;
    bool checks_room;
    long long born;
    struct timespec start;
    long long fence;
    long long deadline;
    long long ends;
    long long seen;
    struct run runs[RUNS_MAX];
    size_t n;
    pthread_mutex_t lock;
    pthread_cond_t news;
} w = {.lock = PTHREAD_MUTEX_INITIALIZER, .news = PTHREAD_COND_INITIALIZER};

static long long
wall_ms(void)
{
    struct timespec t;

    (void)clock_gettime(CLOCK_REALTIME, &t);
    return t.tv_sec * 1000LL + t.tv_nsec / 1000000;
}

static long long
clock_ms(void)
{
    struct timespec t;

    (void)clock_gettime(CLOCK_MONOTONIC, &t);
    return (t.tv_sec - w.start.tv_sec) * 1000LL +
           (t.tv_nsec - w.start.tv_nsec) / 1000000 + 1;
}

static void
record(const char *format, ...)
{
    char line[512];
    va_list args;
    int n = snprintf(line, sizeof(line), "%lld worker %s born %lld labels %s ",
                     wall_ms(), w.id, w.born, w.labels);

    va_start(args, format);
    (void)vsnprintf(line + n, sizeof(line) - (size_t)n, format, args);
    va_end(args);
    (void)fprintf(w.record, "%s\n", line);
    (void)fflush(w.record);
}

/* Runs; called with the lock. */

static bool
is_running(const struct run *r)
{
    return r->number == 0 && !r->refused;
}

static void
end_run(struct run *r, const char *how)
{
    r->how = how;
    r->number = ++w.ends;
    record("end %s run %lld %s", r->task, r->run, how);
    (void)pthread_cond_broadcast(&w.news);
}

static void
pass_time(void)
{
    long long now = clock_ms();

    for (size_t i = 0; i < w.n; i++) {
        struct run *r = &w.runs[i];

        if (!is_running(r)) {
            continue;
        }
        if (r->stop != 0 && now >= r->stop) {
            end_run(r, "stopped");
        }
        else if (now > w.deadline) {
            end_run(r, "lapsed");
        }
        else if (now >= r->due) {
            end_run(r, "done");
        }
    }
}

static struct run *
find_run(const char *task, long long run)
{
    for (size_t i = 0; i < w.n; i++) {
        if (is_running(&w.runs[i]) && w.runs[i].run == run &&
            strcmp(w.runs[i].task, task) == 0) {
            return &w.runs[i];
        }
    }
    return NULL;
}

static bool
is_old(const char *task, long long run)
{
    for (size_t i = 0; i < w.n; i++) {
        if (!is_running(&w.runs[i]) && w.runs[i].run >= run &&
            strcmp(w.runs[i].task, task) == 0) {
            return true;
        }
    }
    return false;
}

static long long
used_cpu(void)
{
    long long used = 0;

    for (size_t i = 0; i < w.n; i++) {
        used += is_running(&w.runs[i]) ? w.runs[i].cpu : 0;
    }
    return used;
}

static struct run *
add_run(const char *task, long long run)
{
    struct run *r = &w.runs[w.n < RUNS_MAX ? w.n++ : RUNS_MAX - 1];

    memset(r, 0, sizeof(*r));
    (void)snprintf(r->task, sizeof(r->task), "%s", task);
    r->run = run;
    return r;
}

static void
extend(const json_t *body)
{
    long long asked = json_integer_value(json_object_get(body, "deadline-ms"));
    long long most = clock_ms() + LEASE_MAX_MS;

    asked = asked < most ? asked : most;
    w.deadline = asked > w.deadline ? asked : w.deadline;
}

/* The spec of these tests is "MS CPU": how long a task takes, and its
 * thousandths of a core. */
static const char *
start_run(const json_t *body, const char *task, long long run)
{
    const char *spec = json_string_value(json_object_get(body, "spec"));
    long long ms = 0;
    long long cpu = 0;
    struct run *r;

    (void)sscanf(spec != NULL ? spec : "", "%lld %lld", &ms, &cpu);
    if (find_run(task, run) != NULL) {
        return NULL;
    }
    if (is_old(task, run)) {
        extend(body);
        return "old";
    }
    if (json_integer_value(json_object_get(body, "deadline-ms")) <
        clock_ms()) {
        return "late";
    }
    extend(body);
    if (w.checks_room && used_cpu() + cpu > w.cpu) {
        return "room";
    }
    r = add_run(task, run);
    r->cpu = cpu;
    r->whole = ms;
    r->due = clock_ms() + ms;
    record("start %s run %lld spec \"%s\" fence %lld used %lld of %lld", task,
           run, spec, w.fence, used_cpu(), w.cpu);
    return NULL;
}

static void
stop_run(const char *task, long long run)
{
    struct run *r = find_run(task, run);

    if (r != NULL) {
        r->stop = r->stop != 0 ? r->stop : clock_ms() + STOP_MS;
    }
    else if (!is_old(task, run)) {
        r = add_run(task, run);
        r->refused = true;
    }
}

static void
list_runs(json_t *answer)
{
    json_t *running = json_array();
    json_t *finished = json_array();

    for (size_t i = 0; i < w.n; i++) {
        const struct run *r = &w.runs[i];

        if (is_running(r)) {
            long long left = r->due - clock_ms();
            long long percent =
                r->whole > 0 ? 100 * (r->whole - left) / r->whole : 0;

            (void)json_array_append_new(
                running, json_pack("[s,I,s,I]", r->task, (json_int_t)r->run,
                                   "", (json_int_t)percent));
        }
        else if (!r->refused && r->number > w.seen) {
            (void)json_array_append_new(
                finished, json_pack("[I,s,I,s,s]", (json_int_t)r->number,
                                    r->task, (json_int_t)r->run, r->how, ""));
        }
    }
    (void)json_object_set_new(answer, "running", running);
    (void)json_object_set_new(answer, "finished", finished);
}

/* Waits for an end that is not seen yet. */
static void
hold(const json_t *body, json_t *answer)
{
    long long until =
        clock_ms() + json_integer_value(json_object_get(body, "wait-ms"));
    long long seen = json_integer_value(json_object_get(body, "last-seen"));

    w.seen = seen > w.seen ? seen : w.seen;
    if (json_object_get(body, "deadline-ms") != NULL) {
        extend(body);
    }
    while (w.ends <= w.seen && clock_ms() < until) {
        struct timespec t;

        (void)clock_gettime(CLOCK_REALTIME, &t);
        t.tv_nsec += 2000000;
        t.tv_sec += t.tv_nsec / 1000000000;
        t.tv_nsec %= 1000000000;
        (void)pthread_cond_timedwait(&w.news, &w.lock, &t);
    }
    list_runs(answer);
    (void)json_object_set_new(answer, "born", json_integer(w.born));
}

/* Returns the status. */
static unsigned int
carry_out(const char *path, const json_t *body, json_t *answer)
{
    const char *task = json_string_value(json_object_get(body, "task"));
    long long run = json_integer_value(json_object_get(body, "run"));
    long long fence =
        json_integer_value(json_object_get(body, "fencing-token"));
    const char *refused = NULL;

    pass_time();
    if (fence < w.fence) {
        refused = "fence";
    }
    else if (strcmp(path, "/v1/run-start") == 0 && task != NULL) {
        w.fence = fence;
        refused = start_run(body, task, run);
    }
    else if (strcmp(path, "/v1/run-stop") == 0 && task != NULL) {
        w.fence = fence;
        record("stop %s run %lld", task, run);
        stop_run(task, run);
    }
    else if (strcmp(path, "/v1/hold") == 0) {
        w.fence = fence;
        hold(body, answer);
    }
    else {
        return 400;
    }
    (void)json_object_set_new(answer, "clock-ms", json_integer(clock_ms()));
    if (refused != NULL) {
        (void)json_object_set_new(answer, "reason", json_string(refused));
        return 409;
    }
    return 200;
}

/* The fault */

struct upload {
    char *data;
    size_t size;
};

static bool
leaves_unanswered(const char *path, const struct upload *u)
{
    const char *name = getenv("LEAVES");
    FILE *f;

    if (name == NULL || u->data == NULL || strcmp(path, "/v1/run-start") != 0) {
        return false;
    }
    f = fopen(name, "wx");
    if (f == NULL) {
        return false; /* one was left already */
    }
    (void)fwrite(u->data, 1, u->size, f);
    (void)fclose(f);
    (void)pthread_mutex_lock(&w.lock);
    record("leaves unanswered %.*s", (int)u->size, u->data);
    (void)pthread_mutex_unlock(&w.lock);
    return true;
}

static void
carry_out_kept(void)
{
    const char *name = getenv("CARRIES");
    json_t *body = name != NULL ? json_load_file(name, 0, NULL) : NULL;
    json_t *answer = json_object();
    unsigned int status;

    if (body != NULL) {
        (void)pthread_mutex_lock(&w.lock);
        status = carry_out("/v1/run-start", body, answer);
        record("carried out a late order: %u", status);
        (void)pthread_mutex_unlock(&w.lock);
    }
    json_decref(answer);
    json_decref(body);
}

/* HTTP */

static enum MHD_Result
reply(struct MHD_Connection *c, unsigned int status, json_t *answer)
{
    char *text = json_dumps(answer, JSON_COMPACT);
    struct MHD_Response *r = MHD_create_response_from_buffer(
        strlen(text), text, MHD_RESPMEM_MUST_FREE);
    enum MHD_Result queued;

    (void)MHD_add_response_header(r, "Content-Type", "application/json");
    queued = MHD_queue_response(c, status, r);
    MHD_destroy_response(r);
    return queued;
}

static enum MHD_Result
on_request(void *cls, struct MHD_Connection *c, const char *url,
           const char *method, const char *version, const char *data,
           size_t *size, void **ctx)
{
    struct upload *u = *ctx;
    const char *expected;
    json_t *body;
    json_t *answer;
    unsigned int status = 400;
    enum MHD_Result result;

    (void)cls;
    (void)method;
    (void)version;
    if (u == NULL) {
        *ctx = calloc(1, sizeof(*u));
        return *ctx != NULL ? MHD_YES : MHD_NO;
    }
    if (*size > 0) {
        u->data = realloc(u->data, u->size + *size);
        memcpy(u->data + u->size, data, *size);
        u->size += *size;
        *size = 0;
        return MHD_YES;
    }
    if (leaves_unanswered(url, u)) {
        (void)sleep(UNANSWERED_S);
        return MHD_NO;
    }
    answer = json_object();
    body = json_loadb(u->data != NULL ? u->data : "", u->size, 0, NULL);
    expected = MHD_lookup_connection_value(c, MHD_HEADER_KIND,
                                           "Expected-Instance");
    if (expected != NULL && strcmp(expected, w.id) != 0) {
        status = 421;
    }
    else if (body != NULL) {
        (void)pthread_mutex_lock(&w.lock);
        status = carry_out(url, body, answer);
        (void)pthread_mutex_unlock(&w.lock);
    }
    result = reply(c, status, answer);
    json_decref(body);
    json_decref(answer);
    return result;
}

static void
on_completed(void *cls, struct MHD_Connection *c, void **ctx,
             enum MHD_RequestTerminationCode how)
{
    struct upload *u = *ctx;

    (void)cls;
    (void)c;
    (void)how;
    if (u != NULL) {
        free(u->data);
        free(u);
    }
    *ctx = NULL;
}

/* Heartbeats */

static json_t *
label_list(void)
{
    json_t *list = json_array();
    char text[256];
    char *rest = text;
    char *label;

    (void)snprintf(text, sizeof(text), "%s", w.labels);
    while ((label = strsep(&rest, ",")) != NULL) {
        (void)json_array_append_new(list, json_string(label));
    }
    return list;
}

static char *
heartbeat_body(long long sequence)
{
    json_t *beat = json_pack(
        "{s:s,s:s,s:s,s:s,s:i,s:s,s:i,s:{s:I,s:i,s:i},s:o,s:I,s:I,s:I}",
        "service", w.service, "address", w.address, "zone", w.zone, "version",
        "v1", "slots", SLOTS, "state", "ready", "cold-remaining-ms", 0,
        "capacity", "cpu", (json_int_t)w.cpu, "mem-mb", MEMORY_MB, "gpu", 0,
        "labels", label_list(), "clock-ms", (json_int_t)clock_ms(),
        "sequence", (json_int_t)sequence, "born", (json_int_t)w.born);
    char *text = json_dumps(beat, JSON_COMPACT);

    json_decref(beat);
    return text;
}

static size_t
ignore_answer(char *data, size_t size, size_t n, void *user)
{
    (void)data;
    (void)user;
    return size * n;
}

static bool
post(const char *to, const char *body)
{
    char url[256];
    long status = 0;
    CURL *easy = curl_easy_init();
    struct curl_slist *headers =
        curl_slist_append(NULL, "Content-Type: application/json");

    (void)snprintf(url, sizeof(url), "http://%s/v1/instances/%s/heartbeat", to,
                   w.id);
    curl_easy_setopt(easy, CURLOPT_URL, url);
    curl_easy_setopt(easy, CURLOPT_HTTPHEADER, headers);
    curl_easy_setopt(easy, CURLOPT_POSTFIELDS, body);
    curl_easy_setopt(easy, CURLOPT_TIMEOUT_MS, 1000L);
    curl_easy_setopt(easy, CURLOPT_NOSIGNAL, 1L);
    curl_easy_setopt(easy, CURLOPT_PROXY, "");
    curl_easy_setopt(easy, CURLOPT_WRITEFUNCTION, ignore_answer);
    if (curl_easy_perform(easy) == CURLE_OK) {
        curl_easy_getinfo(easy, CURLINFO_RESPONSE_CODE, &status);
    }
    curl_slist_free_all(headers);
    curl_easy_cleanup(easy);
    return status >= 200 && status < 300;
}

/* Tries the nodes in turn until one acknowledges, and stays with it. */
static void
send_heartbeat(long long sequence)
{
    static unsigned int at;
    char text[512];
    char *nodes[16];
    unsigned int n = 0;
    char *rest = text;
    char *body = heartbeat_body(sequence);

    (void)snprintf(text, sizeof(text), "%s", w.controls);
    while (n < 16 && (nodes[n] = strsep(&rest, ",")) != NULL) {
        n++;
    }
    for (unsigned int i = 0; i < n; i++) {
        if (post(nodes[at % n], body)) {
            if (sequence == 1) {
                (void)pthread_mutex_lock(&w.lock);
                record("first heartbeat acknowledged");
                (void)pthread_mutex_unlock(&w.lock);
            }
            break;
        }
        at++;
    }
    free(body);
}

static void *
time_run(void *arg)
{
    (void)arg;
    for (;;) {
        (void)usleep(1000);
        (void)pthread_mutex_lock(&w.lock);
        pass_time();
        (void)pthread_mutex_unlock(&w.lock);
    }
    return NULL;
}

static bool
listen_at(const char *address)
{
    struct sockaddr_in at = {.sin_family = AF_INET};
    char ip[64];
    char *colon;

    (void)snprintf(ip, sizeof(ip), "%s", address);
    colon = strrchr(ip, ':');
    if (colon == NULL) {
        return false;
    }
    *colon = '\0';
    at.sin_port = htons((uint16_t)atoi(colon + 1));
    if (inet_pton(AF_INET, ip, &at.sin_addr) != 1) {
        return false;
    }
    return MHD_start_daemon(
               MHD_USE_THREAD_PER_CONNECTION | MHD_USE_INTERNAL_POLLING_THREAD,
               0, NULL, NULL, on_request, NULL, MHD_OPTION_SOCK_ADDR, &at,
               MHD_OPTION_NOTIFY_COMPLETED, on_completed, NULL,
               MHD_OPTION_LISTENING_ADDRESS_REUSE, 1U,
               MHD_OPTION_END) != NULL;
}

int
main(int argc, char **argv)
{
    pthread_t thread;

    if (argc < 9) {
        (void)fprintf(stderr, "usage: worker ID IP:PORT ZONE SERVICE LABELS "
                              "CPU CONTROLS RECORD [ROOM-CHECK]\n");
        return 2;
    }
    w.id = argv[1];
    w.address = argv[2];
    w.zone = argv[3];
    w.service = argv[4];
    w.labels = argv[5];
    w.cpu = atoll(argv[6]);
    w.controls = argv[7];
    w.record = fopen(argv[8], "a");
    w.checks_room = argc < 10 || strcmp(argv[9], "0") != 0;
    w.born = wall_ms();
    (void)clock_gettime(CLOCK_MONOTONIC, &w.start);
    (void)signal(SIGPIPE, SIG_IGN);
    if (w.record == NULL || curl_global_init(CURL_GLOBAL_ALL) != CURLE_OK ||
        !listen_at(w.address)) {
        perror(w.address);
        return 1;
    }
    record("begins");
    carry_out_kept();
    (void)pthread_create(&thread, NULL, time_run, NULL);
    for (long long sequence = 1;; sequence++) {
        send_heartbeat(sequence);
        (void)usleep(HEARTBEAT_MS * 1000);
    }
}
