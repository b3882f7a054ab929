#include "load.h"

#include <curl/curl.h>
#include <gsl/gsl_sort.h>
#include <gsl/gsl_statistics_double.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "clock.h"

enum { WAIT_MAX_MS = 100, JOB_TIMEOUT_MS = 60000, HEAD_SIZE = 128 };

/* One job on its way, on a handle that is used again. */
struct slot {
    struct load *load;
    CURL *easy;
    struct curl_slist *headers;
    int64_t due_us;
    bool complete; /* the answer says so */
    bool busy;
};

struct load {
    const struct load_options *opts;
    struct load_result *result;
    CURLM *multi;
    struct slot *slots;
    char *body;
    int64_t begun_us;
    int sent;
    int in_flight;
    unsigned int key_base;
};

static int64_t
now_us(void)
{
    return clock_now(clock_real()).mono_us;
}

static char *
make_body(const struct load_options *o)
{
    char *text = NULL;
    size_t size;
    FILE *out = open_memstream(&text, &size);

    if (out == NULL) {
        return NULL;
    }
    (void)fprintf(out, "{\"service\":\"%s\",\"tasks\":[", o->service);
    for (int i = 0; i < o->tasks; i++) {
        (void)fprintf(out, "%s{\"payload\":{\"run_ms\":%d}}", i > 0 ? "," : "",
                      o->run_ms);
    }
    (void)fputs("]}", out);
    return fclose(out) == 0 ? text : NULL;
}

/* The status of the job stands in the first bytes of the answer. */
static size_t
take_answer(const char *data, size_t size, size_t n, void *user)
{
    struct slot *s = user;
    char head[HEAD_SIZE + 1];
    size_t part = size * n < HEAD_SIZE ? size * n : HEAD_SIZE;

    memcpy(head, data, part);
    head[part] = '\0';
    if (strstr(head, "\"status\":\"complete\"") != NULL) {
        s->complete = true;
    }
    return size * n;
}

static void
slot_begin(struct load *l, struct slot *s, int64_t due_us)
{
    const struct load_options *o = l->opts;
    char url[FILENAME_MAX];
    char key[64];

    (void)snprintf(url, sizeof(url), "%s/v1/jobs",
                   o->entries[(size_t)l->sent % o->n_entries].s);
    (void)snprintf(key, sizeof(key), "Idempotency-Key: load-%u-%d",
                   l->key_base, l->sent);
    curl_slist_free_all(s->headers);
    s->headers = curl_slist_append(NULL, key);
    s->headers = curl_slist_append(s->headers, "Expect:");
    s->due_us = due_us;
    s->complete = false;
    s->busy = true;
    curl_easy_setopt(s->easy, CURLOPT_URL, url);
    curl_easy_setopt(s->easy, CURLOPT_HTTPHEADER, s->headers);
    curl_easy_setopt(s->easy, CURLOPT_POSTFIELDS, l->body);
    curl_easy_setopt(s->easy, CURLOPT_WRITEFUNCTION, take_answer);
    curl_easy_setopt(s->easy, CURLOPT_WRITEDATA, s);
    curl_easy_setopt(s->easy, CURLOPT_PRIVATE, s);
    curl_easy_setopt(s->easy, CURLOPT_NOSIGNAL, 1L);
    curl_easy_setopt(s->easy, CURLOPT_PROXY, "");
    curl_easy_setopt(s->easy, CURLOPT_TIMEOUT_MS, (long)JOB_TIMEOUT_MS);
    curl_multi_add_handle(l->multi, s->easy);
    l->sent++;
    l->in_flight++;
}

static void
slot_end(struct load *l, struct slot *s)
{
    struct load_result *r = l->result;
    long status = 0;

    curl_easy_getinfo(s->easy, CURLINFO_RESPONSE_CODE, &status);
    curl_multi_remove_handle(l->multi, s->easy);
    s->busy = false;
    l->in_flight--;
    if (status < 0 || status >= LOAD_STATUSES) {
        status = 0;
    }
    r->by_status[status]++;
    if (status == 200 && s->complete) {
        r->times_us[r->n_times++] = (double)(now_us() - s->due_us);
    }
    else if (status == 200) {
        r->failed++;
    }
}

static struct slot *
slot_idle(struct load *l)
{
    for (int i = 0; i < l->opts->in_flight; i++) {
        if (!l->slots[i].busy) {
            return &l->slots[i];
        }
    }
    return NULL;
}

static bool
sending(const struct load *l)
{
    return l->sent < l->opts->count &&
           now_us() - l->begun_us < l->opts->seconds * USEC_PER_SEC;
}

/* When the next job is due; at once without a rate. */
static int64_t
next_due_us(const struct load *l)
{
    if (l->opts->rate <= 0) {
        return now_us();
    }
    return l->begun_us +
           (int64_t)((double)l->sent * (double)USEC_PER_SEC / l->opts->rate);
}

static void
send_due(struct load *l)
{
    while (sending(l) && l->in_flight < l->opts->in_flight &&
           next_due_us(l) <= now_us()) {
        slot_begin(l, slot_idle(l), next_due_us(l));
    }
}

static void
take_ended(struct load *l)
{
    CURLMsg *msg;
    int left;

    while ((msg = curl_multi_info_read(l->multi, &left)) != NULL) {
        struct slot *s = NULL;

        curl_easy_getinfo(msg->easy_handle, CURLINFO_PRIVATE, (char **)&s);
        slot_end(l, s);
    }
}

static void
wait_for_next(struct load *l)
{
    int64_t left_ms = WAIT_MAX_MS;

    if (sending(l) && l->in_flight < l->opts->in_flight) {
        left_ms = (next_due_us(l) - now_us()) / USEC_PER_MSEC;
    }
    if (left_ms > WAIT_MAX_MS) {
        left_ms = WAIT_MAX_MS;
    }
    (void)curl_multi_poll(l->multi, NULL, 0, left_ms > 0 ? (int)left_ms : 0,
                          NULL);
}

static bool
load_open(struct load *l)
{
    const struct load_options *o = l->opts;

    l->body = make_body(o);
    l->multi = curl_multi_init();
    l->slots = calloc((size_t)o->in_flight, sizeof(*l->slots));
    l->result->times_us = calloc((size_t)o->count, sizeof(double));
    if (l->body == NULL || l->multi == NULL || l->slots == NULL ||
        l->result->times_us == NULL) {
        return false;
    }
    curl_multi_setopt(l->multi, CURLMOPT_MAXCONNECTS, (long)o->in_flight);
    for (int i = 0; i < o->in_flight; i++) {
        l->slots[i].easy = curl_easy_init();
        if (l->slots[i].easy == NULL) {
            return false;
        }
    }
    return true;
}

static void
load_close(struct load *l)
{
    for (int i = 0; l->slots != NULL && i < l->opts->in_flight; i++) {
        curl_easy_cleanup(l->slots[i].easy);
        curl_slist_free_all(l->slots[i].headers);
    }
    free(l->slots);
    free(l->body);
    if (l->multi != NULL) {
        curl_multi_cleanup(l->multi);
    }
}

bool
load_run(const struct load_options *o, struct load_result *r)
{
    struct load l = {.opts = o, .result = r};
    bool opened;
    int running;

    memset(r, 0, sizeof(*r));
    opened = load_open(&l);
    l.begun_us = now_us();
    l.key_base = (unsigned int)clock_now(clock_real()).wall_us;
    while (opened && (sending(&l) || l.in_flight > 0)) {
        send_due(&l);
        (void)curl_multi_perform(l.multi, &running);
        take_ended(&l);
        wait_for_next(&l);
    }
    r->took_us = now_us() - l.begun_us;
    gsl_sort(r->times_us, 1, r->n_times);
    load_close(&l);
    return opened;
}

double
load_quantile(const struct load_result *r, double q)
{
    return r->n_times > 0 ? gsl_stats_quantile_from_sorted_data(r->times_us, 1,
                                                                r->n_times, q)
                          : 0;
}

void
load_result_free(struct load_result *r)
{
    free(r->times_us);
    r->times_us = NULL;
}
