#include "fake_server.h"

#include <arpa/inet.h>
#include <errno.h>
#include <microhttpd.h>
#include <pthread.h>
#include <stdarg.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <sys/socket.h>
#include <time.h>
#include <unistd.h>

#include "clock.h"
#include "fake_record.h"
#include "log.h"

enum {
    BODY_MAX = 1 << 20,    /* longest payload, bytes */
    SILENCE_MS = 600000,   /* how long a silent answer is held open */
    WAIT_STEP_MS = 20,     /* between looks at a stop */
    EXTRA_CONNECTIONS = 64 /* for operators, beside the starts' */
};

struct fake_server {
    struct fake_server_options o;
    struct MHD_Daemon *daemon;
    pthread_mutex_t lock; /* guards the fake and what follows */
    uint32_t requests;    /* in progress */
    uint32_t silent;      /* of them, never to be answered */
    int64_t last_us;      /* end of the latest request, monotonic */
    bool stopping;
};

/* One request as it comes in. */
struct incoming {
    char *body;
    size_t size;
    bool too_large;
    bool counted;
};

struct route {
    const char *method;
    const char *path;
    bool prefix;
    enum MHD_Result (*serve)(struct fake_server *s, struct MHD_Connection *c,
                             const char *rest, const struct incoming *in);
};

static void
record(struct fake_server *s, enum fake_event event, const char *task,
       uint64_t epoch, const char *detail)
{
    fake_record_write(s->o.record, clock_now(s->o.clock).wall_us, event, task,
                      epoch, detail);
}

/* Replies. */

static enum MHD_Result
reply_with(struct MHD_Connection *c, unsigned int status,
           struct MHD_Response *response)
{
    enum MHD_Result result;

    (void)MHD_add_response_header(response, "Content-Type",
                                  status >= 400 ? "application/problem+json"
                                                : "application/json");
    result = MHD_queue_response(c, status, response);
    MHD_destroy_response(response);
    return result;
}

/* Takes over @json. */
static enum MHD_Result
reply_json(struct MHD_Connection *c, unsigned int status, json_t *json)
{
    char *text = json_dumps(json, JSON_COMPACT | JSON_ENCODE_ANY);

    json_decref(json);
    if (text == NULL) {
        return MHD_NO;
    }
    return reply_with(c, status,
                      MHD_create_response_from_buffer(strlen(text), text,
                                                      MHD_RESPMEM_MUST_FREE));
}

static json_t *
problem(unsigned int status, const char *detail)
{
    return json_pack("{s:s, s:i, s:s}", "title", "Not possible here", "status",
                     (int)status, "detail", detail);
}

/* A refusal of a start, with the proof that it did not start. */
static enum MHD_Result
refuse_start(struct MHD_Connection *c, const char *task, unsigned int status,
             json_t *json)
{
    char *text = json_dumps(json, JSON_COMPACT);
    struct MHD_Response *response;

    json_decref(json);
    if (text == NULL) {
        return MHD_NO;
    }
    response = MHD_create_response_from_buffer(strlen(text), text,
                                               MHD_RESPMEM_MUST_FREE);
    (void)MHD_add_response_header(response, "Boragemoor-Started", "no");
    if (task != NULL) {
        (void)MHD_add_response_header(response, "Boragemoor-Task", task);
    }
    return reply_with(c, status, response);
}

/* Numbers in headers and arguments; true when it was there and whole. */
static bool
read_number(struct MHD_Connection *c, enum MHD_ValueKind kind,
            const char *name, uint64_t *out)
{
    const char *text = MHD_lookup_connection_value(c, kind, name);
    char *end;

    if (text == NULL || *text < '0' || *text > '9') {
        return false;
    }
    errno = 0;
    *out = strtoull(text, &end, 10);
    return errno == 0 && *end == '\0';
}

static json_t *
epoch_now(const struct fake *f)
{
    return json_pack("{s:I, s:I}", "epoch", (json_int_t)fake_epoch(f),
                     "incarnation", (json_int_t)fake_incarnation(f));
}

/* Leases. */

static enum MHD_Result
serve_lease(struct fake_server *s, struct MHD_Connection *c, const char *rest,
            const struct incoming *in)
{
    json_t *json = json_loadb(in->body, in->size, 0, NULL);
    const char *holder = NULL;
    json_int_t epoch = 0;
    json_int_t incarnation = 0;
    json_t *answer;
    bool held;

    (void)rest;
    if (json_unpack(json, "{s:s, s:I, s:I}", "holder", &holder, "epoch",
                    &epoch, "incarnation", &incarnation) != 0 ||
        epoch <= 0) {
        json_decref(json);
        return reply_json(
            c, 400, problem(400, "holder, epoch and incarnation are needed"));
    }
    pthread_mutex_lock(&s->lock);
    held = fake_lease(s->o.fake, name_of(holder), (uint64_t)epoch,
                      (uint64_t)incarnation);
    if (held) {
        answer = json_pack("{s:I, s:i}", "epoch", epoch, "running",
                           (int)fake_stats(s->o.fake).running);
        record(s, FAKE_EVENT_LEASE, NULL, (uint64_t)epoch, holder);
    }
    else {
        answer = epoch_now(s->o.fake);
    }
    pthread_mutex_unlock(&s->lock);
    json_decref(json);
    return reply_json(c, held ? 200 : 409, answer);
}

/* Starts. */

static void
count_silent(struct fake_server *s, bool more)
{
    pthread_mutex_lock(&s->lock);
    s->silent += more ? 1 : -1U;
    pthread_mutex_unlock(&s->lock);
}

static bool
stopping(struct fake_server *s)
{
    bool now;

    pthread_mutex_lock(&s->lock);
    now = s->stopping;
    pthread_mutex_unlock(&s->lock);
    return now;
}

/* Holds a request without an answer, as a connection does that something
 * between the ends has lost track of. */
static void
stay_silent(struct fake_server *s)
{
    count_silent(s, true);
    for (int ms = 0; ms < SILENCE_MS && !stopping(s); ms += WAIT_STEP_MS) {
        clock_sleep(WAIT_STEP_MS * USEC_PER_MSEC);
    }
    count_silent(s, false);
}

/* An answer that stops half-way. */
struct half_answer {
    struct fake_server *server;
    char *text;
    size_t size;
};

static ssize_t
read_half(void *user, uint64_t at, char *out, size_t room)
{
    struct half_answer *half = user;
    size_t n = half->size / 2;

    if (at >= n) {
        stay_silent(half->server);
        return MHD_CONTENT_READER_END_WITH_ERROR;
    }
    n -= at;
    n = n < room ? n : room;
    memcpy(out, half->text + at, n);
    return (ssize_t)n;
}

static void
free_half(void *user)
{
    struct half_answer *half = user;

    free(half->text);
    free(half);
}

static struct MHD_Response *
half_response(struct fake_server *s, char *text)
{
    struct half_answer *half = calloc(1, sizeof(*half));

    if (half == NULL) {
        free(text);
        return NULL;
    }
    half->server = s;
    half->text = text;
    half->size = strlen(text);
    return MHD_create_response_from_callback(half->size, 256, read_half, half,
                                             free_half);
}

static enum MHD_Result
reply_result(struct fake_server *s, struct MHD_Connection *c, bool ok,
             const char *task, int64_t ran_us, enum fake_silence silence,
             char *text)
{
    struct MHD_Response *response =
        silence == FAKE_SILENT_DURING
            ? half_response(s, text)
            : MHD_create_response_from_buffer(strlen(text), text,
                                              MHD_RESPMEM_MUST_FREE);
    char number[24];

    if (response == NULL) {
        return MHD_NO;
    }
    (void)snprintf(number, sizeof(number), "%lld", (long long)ran_us);
    (void)MHD_add_response_header(response, "Boragemoor-Run-Us", number);
    (void)MHD_add_response_header(response, "Boragemoor-Task", task);
    return reply_with(c, ok ? 200 : 422, response);
}

static char *
run_task(struct fake_server *s, const char *task, uint64_t epoch,
         struct fake_work *work, const struct name *name)
{
    json_t *result;
    char *text;

    clock_sleep(work->run_us);
    result = json_pack("{s:o, s:s}", "echo", work->echo, "upstream", name->s);
    text = json_dumps(result, JSON_COMPACT);
    pthread_mutex_lock(&s->lock);
    fake_end_task(s->o.fake, task, !work->fail, result);
    record(s, FAKE_EVENT_END, task, epoch, work->fail ? "failed" : "ok");
    pthread_mutex_unlock(&s->lock);
    return text;
}

static enum MHD_Result
refuse_by(struct fake_server *s, struct MHD_Connection *c, const char *task,
          enum fake_verdict verdict)
{
    json_t *json;

    pthread_mutex_lock(&s->lock);
    json = epoch_now(s->o.fake);
    pthread_mutex_unlock(&s->lock);
    (void)json_object_set_new(json, "why",
                              json_string(fake_verdict_text(verdict)));
    switch (verdict) {
    case FAKE_STALE:
        return refuse_start(c, task, 409, json);
    case FAKE_REVOKED:
        return refuse_start(c, task, 410, json);
    default:
        return refuse_start(c, task, 503, json);
    }
}

static enum MHD_Result
serve_start(struct fake_server *s, struct MHD_Connection *c, const char *task,
            const struct incoming *in)
{
    uint64_t epoch;
    uint64_t incarnation;
    struct fake_start start;
    struct fake_work work;
    struct name name;
    char *text;

    if (!fake_task_valid(task) ||
        !read_number(c, MHD_HEADER_KIND, "Boragemoor-Epoch", &epoch) ||
        !read_number(c, MHD_HEADER_KIND, "Boragemoor-Incarnation",
                     &incarnation)) {
        return refuse_start(
            c, task, 400, problem(400, "a task, an epoch and an incarnation"));
    }
    pthread_mutex_lock(&s->lock);
    start = fake_start_task(s->o.fake, task, epoch, incarnation);
    work = fake_work_parse(s->o.fake, in->body, in->size);
    name = fake_name(s->o.fake);
    record(s,
           start.verdict == FAKE_STARTED ? FAKE_EVENT_START
                                         : FAKE_EVENT_REFUSED,
           task, epoch, fake_verdict_text(start.verdict));
    pthread_mutex_unlock(&s->lock);
    if (start.die) {
        _exit(FAKE_EXIT_DIED);
    }
    if (start.verdict == FAKE_FORGOTTEN) {
        json_decref(work.echo);
        stay_silent(s);
        return MHD_NO;
    }
    if (start.verdict != FAKE_STARTED) {
        json_decref(work.echo);
        return refuse_by(s, c, task, start.verdict);
    }
    text = run_task(s, task, epoch, &work, &name);
    if (start.silence == FAKE_SILENT_AFTER) {
        stay_silent(s);
        free(text);
        return MHD_NO;
    }
    return reply_result(s, c, !work.fail, task, work.run_us, start.silence,
                        text);
}

static enum MHD_Result
serve_ask(struct fake_server *s, struct MHD_Connection *c, const char *task,
          const struct incoming *in)
{
    uint64_t incarnation;
    struct fake_question q;
    json_t *json;

    (void)in;
    if (!fake_task_valid(task) ||
        !read_number(c, MHD_GET_ARGUMENT_KIND, "incarnation", &incarnation)) {
        return reply_json(c, 400, problem(400, "a task and an incarnation"));
    }
    pthread_mutex_lock(&s->lock);
    q = fake_ask(s->o.fake, task, incarnation);
    if (q.state == NULL) {
        json = epoch_now(s->o.fake);
    }
    else {
        json = json_pack("{s:s}", "state", q.state);
        if (q.result != NULL) {
            (void)json_object_set_new(json, "ok", json_boolean(q.ok));
            (void)json_object_set_new(json, "result",
                                      json_deep_copy(q.result));
        }
    }
    record(s, FAKE_EVENT_REVOKE, task, fake_epoch(s->o.fake),
           q.state != NULL ? q.state : "other-incarnation");
    pthread_mutex_unlock(&s->lock);
    return reply_json(c, q.state != NULL ? 200 : 409, json);
}

/* For operators and tests. */

static enum MHD_Result
serve_faults(struct fake_server *s, struct MHD_Connection *c, const char *rest,
             const struct incoming *in)
{
    json_t *json = json_loadb(in->body, in->size, 0, NULL);
    struct fake_faults faults;
    const char *wrong;

    (void)rest;
    pthread_mutex_lock(&s->lock);
    faults = fake_faults(s->o.fake);
    wrong = fake_faults_parse(json, &faults);
    if (wrong == NULL) {
        fake_set_faults(s->o.fake, &faults);
    }
    pthread_mutex_unlock(&s->lock);
    json_decref(json);
    if (wrong != NULL) {
        return reply_json(c, 422, problem(422, wrong));
    }
    return reply_json(c, 200, fake_faults_json(&faults));
}

static enum MHD_Result
serve_state(struct fake_server *s, struct MHD_Connection *c, const char *rest,
            const struct incoming *in)
{
    struct fake_faults faults;
    struct fake_stats stats;
    json_t *json;

    (void)rest;
    (void)in;
    pthread_mutex_lock(&s->lock);
    faults = fake_faults(s->o.fake);
    stats = fake_stats(s->o.fake);
    json = epoch_now(s->o.fake);
    pthread_mutex_unlock(&s->lock);
    (void)json_object_set_new(json, "faults", fake_faults_json(&faults));
    (void)json_object_set_new(
        json, "counters",
        json_pack("{s:I, s:I, s:I, s:I, s:I, s:I}", "started",
                  (json_int_t)stats.started, "ended", (json_int_t)stats.ended,
                  "refused", (json_int_t)stats.refused, "revoked",
                  (json_int_t)stats.revoked, "running",
                  (json_int_t)stats.running, "running_peak",
                  (json_int_t)stats.running_peak));
    return reply_json(c, 200, json);
}

static enum MHD_Result
serve_health(struct fake_server *s, struct MHD_Connection *c, const char *rest,
             const struct incoming *in)
{
    (void)s;
    (void)rest;
    (void)in;
    return reply_json(c, 200, json_pack("{s:s}", "status", "ok"));
}

static const struct route routes[] = {
    {"PUT", "/v1/lease", false, serve_lease},
    {"POST", "/v1/tasks/", true, serve_start},
    {"DELETE", "/v1/tasks/", true, serve_ask},
    {"PUT", "/v1/faults", false, serve_faults},
    {"GET", "/v1/state", false, serve_state},
    {"GET", "/v1/health", false, serve_health},
};

static enum MHD_Result
serve(struct fake_server *s, struct MHD_Connection *c, const char *method,
      const char *path, const struct incoming *in)
{
    if (in->too_large) {
        return refuse_start(c, NULL, 413,
                            problem(413, "the body is too large"));
    }
    for (size_t i = 0; i < sizeof(routes) / sizeof(routes[0]); i++) {
        const struct route *r = &routes[i];
        size_t n = strlen(r->path);
        bool here = r->prefix ? strncmp(path, r->path, n) == 0
                              : strcmp(path, r->path) == 0;

        if (here && strcmp(method, r->method) == 0) {
            return r->serve(s, c, path + n, in);
        }
    }
    return refuse_start(c, NULL, 404, problem(404, "no such resource"));
}

/* libmicrohttpd's side. */

static void
take_upload(struct incoming *in, const char *data, size_t size)
{
    char *grown;

    if (in->too_large || in->size + size > BODY_MAX) {
        in->too_large = true;
        return;
    }
    grown = realloc(in->body, in->size + size + 1);
    if (grown == NULL) {
        in->too_large = true;
        return;
    }
    memcpy(grown + in->size, data, size);
    in->body = grown;
    in->size += size;
    in->body[in->size] = '\0';
}

static enum MHD_Result
on_request(void *user, struct MHD_Connection *c, const char *path,
           const char *method, const char *version, const char *data,
           size_t *size, void **state)
{
    struct fake_server *s = user;
    struct incoming *in = *state;

    (void)version;
    if (in == NULL) {
        in = calloc(1, sizeof(*in));
        *state = in;
        if (in == NULL) {
            return MHD_NO;
        }
        pthread_mutex_lock(&s->lock);
        s->requests++;
        in->counted = true;
        pthread_mutex_unlock(&s->lock);
        return MHD_YES;
    }
    if (*size > 0) {
        take_upload(in, data, *size);
        *size = 0;
        return MHD_YES;
    }
    return serve(s, c, method, path, in);
}

static void
on_completed(void *user, struct MHD_Connection *c, void **state,
             enum MHD_RequestTerminationCode code)
{
    struct fake_server *s = user;
    struct incoming *in = *state;

    (void)c;
    (void)code;
    if (in == NULL) {
        return;
    }
    pthread_mutex_lock(&s->lock);
    s->requests -= in->counted;
    s->last_us = clock_now(s->o.clock).mono_us;
    pthread_mutex_unlock(&s->lock);
    free(in->body);
    free(in);
    *state = NULL;
}

static bool
parse_listen(const char *text, struct sockaddr_in *out)
{
    char host[INET_ADDRSTRLEN];
    const char *colon = strrchr(text, ':');
    size_t n = colon != NULL ? (size_t)(colon - text) : 0;
    char *end;
    long port;

    if (n == 0 || n >= sizeof(host)) {
        return false;
    }
    memcpy(host, text, n);
    host[n] = '\0';
    port = strtol(colon + 1, &end, 10);
    if (*end != '\0' || port < 1 || port > 65535) {
        return false;
    }
    memset(out, 0, sizeof(*out));
    out->sin_family = AF_INET;
    out->sin_port = htons((uint16_t)port);
    return inet_pton(AF_INET, host, &out->sin_addr) == 1;
}

struct fake_server *
fake_server_start(const struct fake_server_options *o)
{
    struct fake_server *s = calloc(1, sizeof(*s));
    struct sockaddr_in listen_at;

    if (s == NULL) {
        return NULL;
    }
    s->o = *o;
    pthread_mutex_init(&s->lock, NULL);
    if (!parse_listen(o->listen, &listen_at)) {
        errno = EINVAL;
        goto fail;
    }
    s->daemon = MHD_start_daemon(
        MHD_USE_THREAD_PER_CONNECTION | MHD_USE_INTERNAL_POLLING_THREAD |
            MHD_USE_POLL,
        0, NULL, NULL, on_request, s, MHD_OPTION_SOCK_ADDR, &listen_at,
        MHD_OPTION_NOTIFY_COMPLETED, on_completed, s,
        MHD_OPTION_CONNECTION_LIMIT, o->connections + EXTRA_CONNECTIONS,
        MHD_OPTION_LISTENING_ADDRESS_REUSE, 1u, MHD_OPTION_END);
    if (s->daemon == NULL) {
        goto fail;
    }
    s->last_us = clock_now(o->clock).mono_us;
    record(s, FAKE_EVENT_UP, NULL, 0, o->listen);
    return s;
fail:
    pthread_mutex_destroy(&s->lock);
    free(s);
    return NULL;
}

void
fake_server_leave(struct fake_server *s)
{
    pthread_mutex_lock(&s->lock);
    fake_leave(s->o.fake);
    s->last_us = clock_now(s->o.clock).mono_us;
    record(s, FAKE_EVENT_LEAVE, NULL, fake_epoch(s->o.fake), NULL);
    pthread_mutex_unlock(&s->lock);
}

static bool
quiet(struct fake_server *s, int64_t quiet_us)
{
    bool now;

    pthread_mutex_lock(&s->lock);
    now = s->requests == s->silent && fake_stats(s->o.fake).running == 0 &&
          clock_now(s->o.clock).mono_us - s->last_us >= quiet_us;
    pthread_mutex_unlock(&s->lock);
    return now;
}

void
fake_server_drain(struct fake_server *s, int64_t quiet_us)
{
    while (!quiet(s, quiet_us)) {
        clock_sleep(WAIT_STEP_MS * USEC_PER_MSEC);
    }
}

void
fake_server_stop(struct fake_server *s)
{
    pthread_mutex_lock(&s->lock);
    s->stopping = true;
    record(s, FAKE_EVENT_DOWN, NULL, fake_epoch(s->o.fake), NULL);
    pthread_mutex_unlock(&s->lock);
    MHD_stop_daemon(s->daemon);
    pthread_mutex_destroy(&s->lock);
    free(s);
}

uint32_t
fake_server_running(struct fake_server *s)
{
    uint32_t running;

    pthread_mutex_lock(&s->lock);
    running = fake_stats(s->o.fake).running;
    pthread_mutex_unlock(&s->lock);
    return running;
}
