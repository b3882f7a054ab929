#include "upcall.h"

#include <ctype.h>
#include <inttypes.h>
#include <jansson.h>
#include <stdlib.h>
#include <string.h>
#include <strings.h>
#include <sys/socket.h>

#include "stats.h"

/* The parameters are libcurl's. */
/* NOLINTBEGIN(readability-non-const-parameter) */
static int
before_request(void *user, char *remote, char *local, int remote_port,
               int local_port)
{
    struct upcall *u = user;

    (void)remote;
    (void)local;
    (void)remote_port;
    (void)local_port;
    u->attempts++;
    if (u->effect.kind == EF_START && u->attempts > 1) {
        stats_add(&stats.calls_not_resent, 1);
        return CURL_PREREQFUNC_ABORT;
    }
    return CURL_PREREQFUNC_OK;
}
/* NOLINTEND(readability-non-const-parameter) */

static size_t
give_body(char *out, size_t size, size_t n, void *user)
{
    struct upcall *u = user;
    size_t left = u->body->size - u->sent;
    size_t give = size * n < left ? size * n : left;

    if (u->attempts > 1) {
        return CURL_READFUNC_ABORT;
    }
    memcpy(out, u->body->data + u->sent, give);
    u->sent += give;
    return give;
}

static size_t
take_answer(const char *data, size_t size, size_t n, void *user)
{
    struct upcall *u = user;
    size_t bytes = size * n;

    if (u->answer_size + bytes > u->answer_max) {
        u->too_long = true;
        return 0;
    }
    if (u->answer_size + bytes > u->answer_room) {
        size_t room = 2 * (u->answer_size + bytes);
        char *grown = realloc(u->answer, room);

        if (grown == NULL) {
            return 0;
        }
        u->answer = grown;
        u->answer_room = room;
    }
    memcpy(u->answer + u->answer_size, data, bytes);
    u->answer_size += bytes;
    return bytes;
}

/* The value of a header line where it has that name, else NULL. */
static const char *
header_value(const char *line, size_t size, const char *name, size_t *n)
{
    size_t at = strlen(name);

    if (size <= at || line[at] != ':' || strncasecmp(line, name, at) != 0) {
        return NULL;
    }
    at++;
    while (at < size && line[at] == ' ') {
        at++;
    }
    while (size > at && isspace((unsigned char)line[size - 1])) {
        size--;
    }
    *n = size - at;
    return line + at;
}

static size_t
take_header(const char *line, size_t size, size_t n, void *user)
{
    struct upcall *u = user;
    const char *value;
    size_t length;

    value = header_value(line, size * n, "Boragemoor-Started", &length);
    if (value != NULL) {
        u->not_started = length == 2 && strncasecmp(value, "no", 2) == 0;
    }
    value = header_value(line, size * n, "Boragemoor-Task", &length);
    if (value != NULL) {
        u->naming = length == strlen(u->task) &&
                            strncasecmp(value, u->task, length) == 0
                        ? NAMING_OURS
                        : NAMING_OTHER;
    }
    value = header_value(line, size * n, "Boragemoor-Run-Us", &length);
    if (value != NULL && length < 19) {
        u->ran_us = strtoll(value, NULL, 10);
    }
    return size * n;
}

static void
add_header(struct upcall *u, const char *name, uint64_t value)
{
    char line[HEADER_SIZE];

    (void)snprintf(line, sizeof(line), "%s: %" PRIu64, name, value);
    u->headers = curl_slist_append(u->headers, line);
}

static void
task_url(struct upcall *u, char url[URL_SIZE], struct address address,
         struct key_id key, uint32_t index)
{
    char hex[33];

    key_id_format(key, hex);
    (void)snprintf(u->task, sizeof(u->task), "%s-%" PRIu32, hex, index);
    (void)snprintf(url, URL_SIZE, "%s/v1/tasks/%s", address.s, u->task);
}

/* A body of no bytes would be sent again without asking for any: an empty
 * payload goes out as JSON's null. */
static void
set_body(struct upcall *u, struct blob *body)
{
    if (body == NULL || body->size == 0) {
        blob_unref(body);
        body = blob_new("null", 4);
    }
    u->body = body;
    u->headers =
        curl_slist_append(u->headers, "Content-Type: application/json");
    /* Otherwise libcurl waits for 100 Continue before a large body. */
    u->headers = curl_slist_append(u->headers, "Expect:");
    curl_easy_setopt(u->easy, CURLOPT_READFUNCTION, give_body);
    curl_easy_setopt(u->easy, CURLOPT_READDATA, u);
}

static void
prepare_start(struct upcall *u)
{
    struct ef_start *s = &u->effect.u.start;
    char url[URL_SIZE];

    task_url(u, url, s->address, s->key, s->index);
    add_header(u, "Boragemoor-Epoch", s->epoch);
    add_header(u, "Boragemoor-Incarnation", s->incarnation);
    set_body(u, s->payload);
    s->payload = NULL;
    curl_easy_setopt(u->easy, CURLOPT_URL, url);
    curl_easy_setopt(u->easy, CURLOPT_POST, 1L);
    curl_easy_setopt(u->easy, CURLOPT_POSTFIELDSIZE_LARGE,
                     (curl_off_t)u->body->size);
    curl_easy_setopt(u->easy, CURLOPT_TIMEOUT_MS,
                     (long)(s->silence_timeout_us / USEC_PER_MSEC));
}

/* On a connection of its own: the one that carried the start may be half-open,
 * and the question would go silent as the start did. */
static void
use_fresh_connection(struct upcall *u, const struct upclient_options *o)
{
    curl_easy_setopt(u->easy, CURLOPT_FRESH_CONNECT, 1L);
    curl_easy_setopt(u->easy, CURLOPT_FORBID_REUSE, 1L);
    curl_easy_setopt(u->easy, CURLOPT_TIMEOUT_MS, o->control_timeout_ms);
}

static void
prepare_revoke(struct upcall *u, const struct upclient_options *o)
{
    const struct ef_revoke *r = &u->effect.u.revoke;
    char url[URL_SIZE];
    size_t n;

    task_url(u, url, r->address, r->key, r->index);
    n = strlen(url);
    (void)snprintf(url + n, URL_SIZE - n, "?incarnation=%" PRIu64,
                   r->incarnation);
    curl_easy_setopt(u->easy, CURLOPT_URL, url);
    curl_easy_setopt(u->easy, CURLOPT_CUSTOMREQUEST, "DELETE");
    use_fresh_connection(u, o);
}

static void
prepare_fence(struct upcall *u, const struct upclient_options *o)
{
    const struct ef_fence *f = &u->effect.u.fence;
    char url[URL_SIZE];
    char *text;
    json_t *body = json_pack("{s:s,s:I,s:I}", "holder", o->self.s, "epoch",
                             (json_int_t)f->epoch, "incarnation",
                             (json_int_t)f->incarnation);

    text = json_dumps(body, JSON_COMPACT);
    json_decref(body);
    set_body(u, text != NULL ? blob_new(text, strlen(text)) : NULL);
    free(text);
    (void)snprintf(url, URL_SIZE, "%s/v1/lease", f->address.s);
    curl_easy_setopt(u->easy, CURLOPT_URL, url);
    curl_easy_setopt(u->easy, CURLOPT_UPLOAD, 1L);
    curl_easy_setopt(u->easy, CURLOPT_INFILESIZE_LARGE,
                     (curl_off_t)u->body->size);
    use_fresh_connection(u, o);
}

void
upcall_prepare(struct upcall *u, const struct upclient_options *o)
{
    CURL *easy = u->easy;

    u->answer_max = o->result_max;
    curl_easy_setopt(easy, CURLOPT_PRIVATE, u);
    curl_easy_setopt(easy, CURLOPT_NOSIGNAL, 1L);
    curl_easy_setopt(easy, CURLOPT_PROXY, "");
    curl_easy_setopt(easy, CURLOPT_HTTP_VERSION, CURL_HTTP_VERSION_1_1);
    curl_easy_setopt(easy, CURLOPT_PROTOCOLS_STR, "http");
    curl_easy_setopt(easy, CURLOPT_CONNECTTIMEOUT_MS, o->connect_timeout_ms);
    curl_easy_setopt(easy, CURLOPT_MAXAGE_CONN, o->idle_s);
    curl_easy_setopt(easy, CURLOPT_PREREQFUNCTION, before_request);
    curl_easy_setopt(easy, CURLOPT_PREREQDATA, u);
    curl_easy_setopt(easy, CURLOPT_WRITEFUNCTION, take_answer);
    curl_easy_setopt(easy, CURLOPT_WRITEDATA, u);
    curl_easy_setopt(easy, CURLOPT_HEADERFUNCTION, take_header);
    curl_easy_setopt(easy, CURLOPT_HEADERDATA, u);
    if (u->effect.kind == EF_START) {
        prepare_start(u);
    }
    else if (u->effect.kind == EF_REVOKE) {
        prepare_revoke(u, o);
    }
    else {
        prepare_fence(u, o);
    }
    curl_easy_setopt(easy, CURLOPT_HTTPHEADER, u->headers);
}

static struct blob *
answer_blob(const struct upcall *u)
{
    return blob_new(u->answer_size > 0 ? u->answer : "", u->answer_size);
}

/* Something on the way may repeat an answer, or deliver one late.  On a kept
 * connection it would be read as the answer to the next start: one requester
 * would get another's result, or a refusal that is not theirs, and the task
 * would be placed a second time.  So an answer must name its task, except on a
 * new connection, which carried nothing else. */
static bool
answer_is_ours(const struct upcall *u)
{
    long connects = 0;

    curl_easy_getinfo(u->easy, CURLINFO_NUM_CONNECTS, &connects);
    return u->naming == NAMING_OURS ||
           (u->naming == NAMING_NONE && connects > 0);
}

/* libcurl finds such a connection closed and opens another. */
static void
spoil_connection(const struct upcall *u)
{
    curl_socket_t fd = CURL_SOCKET_BAD;

    curl_easy_getinfo(u->easy, CURLINFO_ACTIVESOCKET, &fd);
    if (fd != CURL_SOCKET_BAD) {
        (void)shutdown(fd, SHUT_RDWR);
    }
}

static struct envelope *
finish_start(const struct upcall *u, CURLcode result, long status)
{
    uint64_t call = u->effect.u.start.call;
    static const char too_long[] = "\"the result is too large\"";

    if (u->attempts == 0) {
        return envelope_ended(call, START_NO_CONNECT, false, NULL, 0);
    }
    if (u->naming != NAMING_OURS) {
        spoil_connection(u);
    }
    if (!answer_is_ours(u)) {
        return envelope_ended(call, START_LOST, false, NULL, 0);
    }
    if (u->too_long && (status == 200 || status == 422)) {
        return envelope_ended(call, START_DONE, false,
                              blob_new(too_long, sizeof(too_long) - 1),
                              u->ran_us);
    }
    if (result != CURLE_OK) {
        return envelope_ended(call, START_LOST, false, NULL, 0);
    }
    if (status == 200 || status == 422) {
        return envelope_ended(call, START_DONE, status == 200, answer_blob(u),
                              u->ran_us);
    }
    if (u->not_started) {
        return envelope_ended(
            call, status == 409 ? START_STALE : START_REFUSED, false, NULL, 0);
    }
    return envelope_ended(call, START_LOST, false, NULL, 0);
}

static struct blob *
dump_result(const json_t *answer)
{
    const json_t *result = json_object_get(answer, "result");
    char *text = result != NULL
                     ? json_dumps(result, JSON_COMPACT | JSON_ENCODE_ANY)
                     : NULL;
    struct blob *b = blob_new(text != NULL ? text : "null",
                              text != NULL ? strlen(text) : 4);

    free(text);
    return b;
}

static struct envelope *
read_revoke(uint64_t call, const json_t *answer)
{
    const char *state = json_string_value(json_object_get(answer, "state"));

    if (state != NULL && strcmp(state, "never") == 0) {
        return envelope_revoked(call, REVOKE_NEVER, false, NULL);
    }
    if (state != NULL && strcmp(state, "running") == 0) {
        return envelope_revoked(call, REVOKE_RUNNING, false, NULL);
    }
    if (state != NULL && strcmp(state, "done") == 0) {
        return envelope_revoked(call, REVOKE_DONE,
                                json_is_true(json_object_get(answer, "ok")),
                                dump_result(answer));
    }
    return envelope_revoked(call, REVOKE_UNREACHABLE, false, NULL);
}

static struct envelope *
finish_revoke(uint64_t call, const json_t *answer, long status)
{
    if (status == 200) {
        return read_revoke(call, answer);
    }
    return envelope_revoked(
        call, status == 409 ? REVOKE_OTHER_LIFE : REVOKE_UNREACHABLE, false,
        NULL);
}

static uint64_t
number_in(const json_t *answer, const char *name)
{
    json_int_t n = json_integer_value(json_object_get(answer, name));

    return n > 0 ? (uint64_t)n : 0;
}

static struct envelope *
finish_fence(const struct ef_fence *f, const json_t *answer, long status)
{
    uint64_t epoch = number_in(answer, "epoch");

    if (status == 200 && epoch > 0) {
        return envelope_fenced(f->call, FENCE_OK, epoch,
                               (uint32_t)number_in(answer, "running"));
    }
    if (status == 409 && number_in(answer, "incarnation") != f->incarnation) {
        return envelope_fenced(f->call, FENCE_OTHER_LIFE, epoch, 0);
    }
    if (status == 409) {
        return envelope_fenced(f->call, FENCE_STALE, epoch, 0);
    }
    return envelope_fenced(f->call, FENCE_UNREACHABLE, 0, 0);
}

struct envelope *
upcall_finish(struct upcall *u, CURLcode result)
{
    struct envelope *e;
    long status = 0;
    json_t *answer;

    if (result == CURLE_OK || u->too_long) {
        curl_easy_getinfo(u->easy, CURLINFO_RESPONSE_CODE, &status);
    }
    if (u->effect.kind == EF_START) {
        return finish_start(u, result, status);
    }
    answer = u->answer_size > 0
                 ? json_loadb(u->answer, u->answer_size, 0, NULL)
                 : NULL;
    if (u->effect.kind == EF_REVOKE) {
        e = finish_revoke(u->effect.u.revoke.call, answer, status);
    }
    else {
        e = finish_fence(&u->effect.u.fence, answer, status);
    }
    json_decref(answer);
    return e;
}

void
upcall_free(struct upcall *u)
{
    struct effects one = {.items = &u->effect, .n = 1};

    effects_clear(&one);
    curl_slist_free_all(u->headers);
    blob_unref(u->body);
    free(u->answer);
    free(u);
}
