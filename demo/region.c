#include "region.h"

#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "base.h"
#include "clock.h"

enum {
    POLL_US = 1000,
    DELAYS_IN = 12, /* one start of so many is carried out late */
    QUEUE_ROOM = 256,
    BASE_MS = 1500, /* timeout of queues; a version adds its number */
};

#define BEAT_US (1500 * USEC_PER_MSEC)
#define DELAY_US (3 * USEC_PER_SEC)
#define GET_US (200 * USEC_PER_MSEC)
#define RESEND_US (1300 * USEC_PER_MSEC)
#define AGAIN_US (300 * USEC_PER_MSEC)
#define TIMEOUT_MS 4000 /* that jobs ask for */
#define CLIENT_MS 1000  /* callers wait so much longer */
#define CALL_MS 1000L

static const char text_head[] = "{\"version\":";

int64_t
region_now_us(void)
{
    return clock_now(clock_real()).mono_us;
}

size_t
region_split(char *list, const char *out[REGION_ADDRESSES_MAX])
{
    char *save = NULL;
    size_t n = 0;

    for (char *a = strtok_r(list, ",", &save);
         a != NULL && n < REGION_ADDRESSES_MAX;
         a = strtok_r(NULL, ",", &save)) {
        out[n++] = a;
    }
    return n;
}

/* Requests on their way */

static size_t
take(const char *data, size_t size, size_t n, void *user)
{
    struct region_call *c = user;
    size_t bytes = size * n;
    char *answer = realloc(c->answer, c->size + bytes + 1);

    if (answer == NULL) {
        return 0;
    }
    c->answer = answer;
    memcpy(c->answer + c->size, data, bytes);
    c->size += bytes;
    c->answer[c->size] = '\0';
    return bytes;
}

static int
timeout_of(const struct region *r, enum region_call_kind kind, size_t number)
{
    int ms = kind == REGION_JOB ? r->jobs[number].timeout_ms : 0;

    return ms > 0 ? ms : TIMEOUT_MS;
}

static struct region_call *
begin(struct region *r, enum region_call_kind kind, size_t number,
      const char *url, char *body)
{
    struct region_call *c = calloc(1, sizeof(*c));
    int timeout_ms = timeout_of(r, kind, number);
    char timeout[32];

    (void)snprintf(timeout, sizeof(timeout), "Timeout-Ms: %d", timeout_ms);
    c->kind = kind;
    c->number = number;
    c->body = body;
    c->sent_us = region_now_us();
    c->easy = curl_easy_init();
    c->headers = curl_slist_append(NULL, "Content-Type: application/json");
    if (kind == REGION_JOB || kind == REGION_PROBE) {
        c->headers = curl_slist_append(c->headers, "Host: demo.example");
        c->headers = curl_slist_append(c->headers, timeout);
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
                     kind == REGION_JOB ? (long)timeout_ms + CLIENT_MS
                                        : CALL_MS);
    curl_easy_setopt(c->easy, CURLOPT_WRITEFUNCTION, take);
    curl_easy_setopt(c->easy, CURLOPT_WRITEDATA, c);
    (void)curl_multi_add_handle(r->multi, c->easy);
    return c;
}

/* The @i-th of a list, beginning anew at its end. */
static const char *
pick(const char *const list[], size_t n, size_t i)
{
    return n > 0 ? list[i % n] : "";
}

const char *
region_zone(const struct region *r, int i)
{
    static const char *const names[] = {"zone-a", "zone-b", "zone-c"};
    int n = r->zones > 0 ? r->zones : 1;

    return pick(names, sizeof(names) / sizeof(names[0]), (size_t)(i % n));
}

/* The operator */

static size_t
add_queue(char *text, const char *name, int number, int timeout_ms)
{
    return (size_t)sprintf(
        text,
        "{\"name\":\"%s%d\",\"host\":\"demo.example\",\"path-prefix\":"
        "\"/%s%d/\",\"route-type\":\"unsafe\",\"timeout-ms\":%d,"
        "\"target-latency-ms\":60,\"priority\":0,\"service\":\"demo\","
        "\"max-attempts\":3,\"stretch\":1.6},",
        name, number, name, number, timeout_ms);
}

/* Each version adds a queue, so that it can be told from those before. */
static char *
config_text(const struct region *r, int version)
{
    size_t queues = 1 + (size_t)version + (size_t)r->filler;
    char *text = malloc(QUEUE_ROOM * (queues + 2));
    size_t n = (size_t)sprintf(text, "%s%d,\"routes\":[", text_head, version);

    n += add_queue(text + n, "q", 0, BASE_MS + version);
    for (int i = 0; i < r->filler; i++) {
        n += add_queue(text + n, "f", i, BASE_MS);
    }
    for (int i = 1; i <= version; i++) {
        n += add_queue(text + n, "v", i, BASE_MS);
    }
    n--; /* the last comma */
    (void)sprintf(text + n, "],\"services\":[{\"name\":\"demo\","
                            "\"admission-check\":true}],\"limits\":{}}");
    return text;
}

void
region_publish(struct region *r)
{
    r->version++;
    free(r->sent_text);
    r->sent_text = config_text(r, r->version);
    r->put_us = region_now_us();
}

bool
region_publishing(const struct region *r)
{
    return r->acked < r->version;
}

static void
put_config(struct region *r)
{
    char url[REGION_URL_ROOM];

    if (r->put_us == 0 || region_now_us() < r->put_us ||
        !region_publishing(r)) {
        return;
    }
    (void)snprintf(url, sizeof(url), "http://%s/v1/config/put",
                   pick(r->controls, r->n_controls, r->put_at++));
    r->put_us = 0;
    (void)begin(r, REGION_PUT, (size_t)r->version, url, strdup(r->sent_text));
}

static void
end_put(struct region *r, const struct region_call *c, bool confirmed)
{
    if (confirmed && (int)c->number > r->acked) {
        r->acked = (int)c->number;
        free(r->acked_text);
        r->acked_text = strdup(c->body);
        if (r->watch.acked != NULL) {
            r->watch.acked(r->watch.ctx, r->acked);
        }
    }
    r->put_us = region_now_us() + AGAIN_US;
}

void
region_evacuate(struct region *r, int worker, bool begin_it)
{
    r->evacuated = region_zone(r, worker);
    r->evacuate = begin_it;
    r->evacuate_acked = false;
    r->evacuate_us = region_now_us();
    r->evacuated_us = 0;
}

static void
send_evacuation(struct region *r)
{
    char url[REGION_URL_ROOM];

    if (r->evacuated == NULL || r->evacuate_acked || r->evacuate_us == 0 ||
        region_now_us() < r->evacuate_us) {
        return;
    }
    (void)snprintf(url, sizeof(url), "http://%s/v1/evacuate/%s/%s",
                   pick(r->controls, r->n_controls, r->put_at++), r->evacuated,
                   r->evacuate ? "start" : "end");
    r->evacuate_us = 0;
    (void)begin(r, REGION_EVACUATE, r->evacuate ? 1 : 0, url, strdup(""));
}

static void
end_evacuation(struct region *r, const struct region_call *c, bool confirmed)
{
    if ((c->number != 0) != r->evacuate) {
        return; /* of the order before */
    }
    r->evacuate_acked = r->evacuate_acked || confirmed;
    r->evacuate_us = region_now_us() + AGAIN_US;
    if (confirmed && r->evacuate) {
        r->evacuated_us = region_now_us();
    }
}

/* What no read that begins now may fall behind. */
static int
newest_known(const struct region *r)
{
    return r->acked > r->read ? r->acked : r->read;
}

static void
get_config(struct region *r)
{
    char url[REGION_URL_ROOM];

    (void)snprintf(url, sizeof(url), "http://%s/v1/config/get",
                   pick(r->controls, r->n_controls, r->put_at++));
    r->get_us = region_now_us() + GET_US;
    (void)begin(r, REGION_GET, (size_t)newest_known(r), url, NULL);
}

/* Judges a read against what was known when it began.  The version stands
 * first in this operator's texts; to parse all of a large one would keep the
 * workers waiting. */
static void
end_read(struct region *r, const struct region_call *c)
{
    size_t head = strlen(text_head);
    int version = c->size > head ? (int)strtol(c->answer + head, NULL, 10) : 0;

    r->reverts += version < (int)c->number ? 1 : 0;
    r->read = version > r->read ? version : r->read;
    r->read_right = r->acked_text != NULL &&
                    strlen(r->acked_text) == c->size &&
                    memcmp(r->acked_text, c->answer, c->size) == 0;
}

/* Workers */

static void
beat(struct region *r, size_t i)
{
    char url[REGION_URL_ROOM];

    if (region_now_us() < r->beat_us[i]) {
        return;
    }
    (void)snprintf(url, sizeof(url), "http://%s/v1/instances/%s/heartbeat",
                   pick(r->controls, r->n_controls, r->beat_at[i]),
                   fakeworker_id(r->workers[i]));
    r->beat_us[i] = region_now_us() + BEAT_US;
    (void)begin(r, REGION_BEAT, i, url,
                fakeworker_beat(r->workers[i], region_now_us()));
}

static void
end_beat(struct region *r, const struct region_call *c, bool heard)
{
    if (heard && fakeworker_leaves(r->workers[c->number]) &&
        r->left_us[c->number] == 0) {
        r->left_us[c->number] = region_now_us();
    }
    if (!heard) {
        r->beat_at[c->number]++;
        r->beat_us[c->number] = region_now_us() + AGAIN_US;
    }
}

void
region_leave(struct region *r, int worker)
{
    fakeworker_leave(r->workers[worker]);
    r->left_us[worker] = 0;
    r->beat_us[worker] = region_now_us();
}

void
region_return(struct region *r, int worker)
{
    fakeworker_reborn(r->workers[worker], region_now_us());
    r->left_us[worker] = 0;
}

/* Clients */

static size_t
next_entry(const struct region *r, size_t i)
{
    size_t tries = (size_t)r->jobs[i].tries;
    uint64_t draw = i * REGION_TRIES_MAX + tries;

    return (r->anywhere ? random_next(&draw) : i + tries) % r->n_entries;
}

void
region_hand_in(struct region *r, size_t i)
{
    struct region_job *j = &r->jobs[i];
    size_t entry = next_entry(r, i);
    char url[REGION_URL_ROOM];
    char body[256];

    (void)snprintf(url, sizeof(url), "http://%s/q0/%016zx", r->entries[entry],
                   i + 1);
    (void)snprintf(body, sizeof(body),
                   "{\"spec\":\"%d\",\"steps\":[{\"count\":%d,\"cpu\":14000,"
                   "\"mem-mb\":64,\"estimated-ms\":%d}],\"best-effort\":true}",
                   j->run_ms, j->tasks, j->declared_ms);
    j->due_us = 0;
    j->tries++;
    j->call = begin(r, REGION_JOB, i, url, strdup(body));
    j->call->entry = entry;
}

static void
hand_in_due(struct region *r)
{
    for (int i = 0; i < r->n_jobs; i++) {
        const struct region_job *j = &r->jobs[i];

        if (!j->done && j->due_us != 0 && region_now_us() >= j->due_us) {
            region_hand_in(r, (size_t)i);
        }
    }
}

static void
end_job(struct region *r, const struct region_call *c, CURLcode result,
        long status)
{
    struct region_job *j = &r->jobs[c->number];

    if (r->watch.job_ended != NULL) {
        r->watch.job_ended(r->watch.ctx, c, result, status);
    }
    j->call = NULL;
    j->status = result == CURLE_OK ? status : 0;
    if (j->status == REGION_OK) {
        json_t *body = json_loadb(c->answer, c->size, 0, NULL);
        const char *state = json_string_value(json_object_get(body, "state"));

        (void)snprintf(j->state, sizeof(j->state), "%s",
                       state != NULL ? state : "");
        json_decref(body);
        j->done = true;
    }
    else if (j->status == REGION_NOT_TAKEN || j->tries == REGION_TRIES_MAX) {
        j->done = true;
    }
    else {
        j->due_us = region_now_us() + RESEND_US;
    }
}

void
region_probe(struct region *r, size_t entry, int version)
{
    char url[REGION_URL_ROOM];

    (void)snprintf(url, sizeof(url), "http://%s/v%d/", r->entries[entry],
                   version);
    begin(r, REGION_PROBE, (size_t)version, url, NULL)->entry = entry;
}

bool
region_all_done(const struct region *r)
{
    for (int i = 0; i < r->n_jobs; i++) {
        if (!r->jobs[i].done) {
            return false;
        }
    }
    return true;
}

/* Time */

static void
end_call(struct region *r, const struct region_call *c, CURLcode result)
{
    long status = 0;
    bool good;

    curl_easy_getinfo(c->easy, CURLINFO_RESPONSE_CODE, &status);
    good = result == CURLE_OK && status == REGION_OK;
    switch (c->kind) {
    case REGION_BEAT:
        end_beat(r, c, good);
        break;
    case REGION_PUT:
        end_put(r, c, good);
        break;
    case REGION_EVACUATE:
        end_evacuation(r, c, good);
        break;
    case REGION_GET:
        if (good) {
            end_read(r, c);
        }
        break;
    case REGION_PROBE:
        r->watch.probed(r->watch.ctx, c, result, status);
        break;
    default:
        end_job(r, c, result, status);
        break;
    }
}

static void
finish(struct region *r, struct region_call *c, CURLcode result)
{
    if (!c->dropped) {
        end_call(r, c, result);
    }
    (void)curl_multi_remove_handle(r->multi, c->easy);
    curl_easy_cleanup(c->easy);
    curl_slist_free_all(c->headers);
    free(c->body);
    free(c->answer);
    free(c);
}

void
region_drop_callers(struct region *r, size_t entry)
{
    for (int i = 0; i < r->n_jobs; i++) {
        struct region_call *c = r->jobs[i].call;

        if (c == NULL || c->entry != entry) {
            continue;
        }
        if (r->unseen) {
            end_call(r, c, CURLE_RECV_ERROR);
            c->dropped = true;
        }
        else {
            finish(r, c, CURLE_RECV_ERROR);
        }
    }
}

static void
pump(struct region *r)
{
    CURLMsg *msg;
    int left;
    int running;

    (void)curl_multi_perform(r->multi, &running);
    while ((msg = curl_multi_info_read(r->multi, &left)) != NULL) {
        struct region_call *c = NULL;

        curl_easy_getinfo(msg->easy_handle, CURLINFO_PRIVATE, (char **)&c);
        finish(r, c, msg->data.result);
    }
}

void
region_round(struct region *r)
{
    for (int i = 0; i < r->n_workers; i++) {
        fakeworker_poll(r->workers[i], region_now_us());
        beat(r, (size_t)i);
    }
    put_config(r);
    send_evacuation(r);
    if (region_now_us() >= r->get_us) {
        get_config(r);
    }
    hand_in_due(r);
    pump(r);
    clock_sleep(POLL_US);
}

void
region_run_until(struct region *r, int64_t until_us)
{
    while (region_now_us() < until_us) {
        region_round(r);
    }
}

bool
region_start(struct region *r)
{
    (void)curl_global_init(CURL_GLOBAL_ALL);
    r->multi = curl_multi_init();
    for (int i = 0; i < r->n_workers; i++) {
        struct fakeworker_options o = {.delays_in =
                                           i == r->delaying ? DELAYS_IN : 0,
                                       .delay_us = DELAY_US,
                                       .zone = region_zone(r, i)};

        (void)snprintf(o.id, sizeof(o.id), "i-%d", i);
        (void)snprintf(o.listen, sizeof(o.listen), "127.0.0.1:%d",
                       r->base_port + i);
        (void)snprintf(o.address, sizeof(o.address), "127.0.0.1:%d",
                       r->base_port + r->advertised + i);
        r->workers[i] = fakeworker_new(&o, region_now_us());
        if (r->workers[i] == NULL) {
            (void)fprintf(stderr, "%s is taken\n", o.listen);
            return false;
        }
        r->beat_us[i] = region_now_us() + i * BEAT_US / r->n_workers;
        r->beat_at[i] = (size_t)i;
    }
    return true;
}

void
region_free(struct region *r)
{
    for (int i = 0; i < r->n_workers; i++) {
        fakeworker_free(r->workers[i]);
    }
    free(r->jobs);
    free(r->sent_text);
    free(r->acked_text);
}

void
region_await_ready(struct region *r)
{
    region_publish(r);
    while (region_publishing(r)) {
        region_round(r);
    }
    region_run_until(r, region_now_us() + 4 * USEC_PER_SEC);
}

/* Judging, by the workers' own records */

static int
compare_runs(const void *a, const void *b)
{
    const struct fakeworker_run *x = ((const struct region_run *)a)->run;
    const struct fakeworker_run *y = ((const struct region_run *)b)->run;
    int tasks = strcmp(x->task, y->task);

    if (tasks != 0) {
        return tasks;
    }
    return x->begun_us < y->begun_us ? -1 : x->begun_us > y->begun_us;
}

/* All runs, by task and time. */
static struct region_run *
collect(const struct region *r, size_t *out_n)
{
    struct region_run *out;
    size_t total = 0;
    size_t n = 0;

    for (int i = 0; i < r->n_workers; i++) {
        size_t runs;

        (void)fakeworker_runs(r->workers[i], &runs);
        total += runs;
    }
    out = calloc(total + 1, sizeof(*out));
    for (int i = 0; i < r->n_workers; i++) {
        size_t runs;
        const struct fakeworker_run *of =
            fakeworker_runs(r->workers[i], &runs);

        for (size_t j = 0; j < runs; j++) {
            if (of[j].whole_us > 0) { /* others were stopped unstarted */
                out[n++] = (struct region_run){.run = &of[j], .worker = i};
            }
        }
    }
    qsort(out, n, sizeof(*out), compare_runs);
    *out_n = n;
    return out;
}

static int
count_overlaps(const struct region *r, const struct region_run *s, size_t n)
{
    int overlaps = 0;

    for (size_t i = 1; i < n; i++) {
        const struct fakeworker_run *a = s[i - 1].run;
        const struct fakeworker_run *b = s[i].run;

        if (strcmp(a->task, b->task) == 0 &&
            (a->ended_us == 0 || b->begun_us < a->ended_us)) {
            overlaps++;
            if (r->watch.overlapped != NULL) {
                r->watch.overlapped(r->watch.ctx, &s[i - 1], &s[i]);
            }
        }
    }
    return overlaps;
}

static int
count_elsewhere(const struct region *r, const struct region_run *s, size_t n)
{
    int elsewhere = 0;

    for (size_t i = 1; i < n; i++) {
        const char *before = region_zone(r, s[i - 1].worker);
        const char *now = region_zone(r, s[i].worker);

        if (strcmp(s[i - 1].run->task, s[i].run->task) == 0 &&
            strcmp(before, now) != 0) {
            elsewhere++;
        }
    }
    return elsewhere;
}

/* Tasks of a job that ended well, each counted once; -1 where none started. */
static int
tasks_done(const struct region_run *s, size_t n, size_t job)
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

static void
judge_job(const struct region_job *j, int done, struct region_verdict *v)
{
    v->again += j->tries > 1 ? 1 : 0;
    if (j->status == REGION_OK && strcmp(j->state, "completed") == 0) {
        v->completed++;
        v->false_answers += done != j->tasks ? 1 : 0;
    }
    else if (j->status == REGION_OK) {
        v->failed++;
    }
    else if (j->status == REGION_NOT_TAKEN) {
        v->refused++;
        v->false_refusals += done >= 0 && j->tries == 1 ? 1 : 0;
    }
    else {
        v->unknown++;
    }
}

struct region_verdict
region_judge(const struct region *r)
{
    struct region_verdict v = {0};
    struct region_run *s = collect(r, &v.runs);

    v.ran_twice = count_overlaps(r, s, v.runs);
    v.elsewhere = count_elsewhere(r, s, v.runs);
    for (int i = 0; i < r->n_jobs; i++) {
        judge_job(&r->jobs[i], tasks_done(s, v.runs, (size_t)i), &v);
    }
    free(s);
    return v;
}
