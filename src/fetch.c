#include "fetch.h"

#include <curl/curl.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

enum { CONNECT_TIMEOUT_MS = 1000 };

struct fetch {
    CURL *curl;
};

void
fetch_setup(void)
{
    (void)curl_global_init(CURL_GLOBAL_DEFAULT);
}

struct fetch *
fetch_new(void)
{
    struct fetch *f = calloc(1, sizeof(*f));

    if (f == NULL) {
        return NULL;
    }
    f->curl = curl_easy_init();
    if (f->curl == NULL) {
        free(f);
        return NULL;
    }
    return f;
}

void
fetch_free(struct fetch *f)
{
    if (f != NULL) {
        curl_easy_cleanup(f->curl);
        free(f);
    }
}

static size_t
on_body(char *data, size_t one, size_t n, void *user)
{
    struct fetch_reply *reply = user;
    char *grown;

    (void)one;
    if (reply->size + n > FETCH_BODY_MAX) {
        return 0;
    }
    grown = realloc(reply->body, reply->size + n + 1);
    if (grown == NULL) {
        return 0;
    }
    memcpy(grown + reply->size, data, n);
    reply->body = grown;
    reply->size += n;
    reply->body[reply->size] = '\0';
    return n;
}

static int
on_progress(void *user, curl_off_t a, curl_off_t b, curl_off_t c, curl_off_t d)
{
    const struct fetch_request *request = user;

    (void)a;
    (void)b;
    (void)c;
    (void)d;
    return request->abort != NULL && atomic_load(request->abort);
}

static struct curl_slist *
header_list(const struct fetch_request *request)
{
    /* Without this libcurl waits for "100 Continue" before a large body. */
    struct curl_slist *list = curl_slist_append(NULL, "Expect:");

    for (size_t i = 0; request->headers[i] != NULL; i++) {
        struct curl_slist *longer =
            curl_slist_append(list, request->headers[i]);

        list = longer != NULL ? longer : list;
    }
    return list;
}

static enum fetch_error
error_of(CURL *curl, CURLcode code)
{
    double connected = 0;

    switch (code) {
    case CURLE_OK:
        return FETCH_OK;
    case CURLE_COULDNT_CONNECT:
    case CURLE_COULDNT_RESOLVE_HOST:
        return FETCH_NO_CONNECT;
    case CURLE_OPERATION_TIMEDOUT:
        curl_easy_getinfo(curl, CURLINFO_PRETRANSFER_TIME, &connected);
        return connected > 0 ? FETCH_TIMEOUT : FETCH_NO_CONNECT;
    case CURLE_ABORTED_BY_CALLBACK:
        return FETCH_ABORTED;
    case CURLE_GOT_NOTHING:
    case CURLE_SEND_ERROR:
    case CURLE_RECV_ERROR:
    case CURLE_PARTIAL_FILE:
    case CURLE_WRITE_ERROR:
        return FETCH_LOST;
    default:
        return FETCH_FAILED;
    }
}

static void
set_request(CURL *curl, const struct fetch_request *request,
            struct curl_slist *headers)
{
    curl_easy_reset(curl);
    curl_easy_setopt(curl, CURLOPT_URL, request->url);
    curl_easy_setopt(curl, CURLOPT_PROTOCOLS_STR, "http,https");
    curl_easy_setopt(curl, CURLOPT_CUSTOMREQUEST, request->method);
    curl_easy_setopt(curl, CURLOPT_HTTPHEADER, headers);
    curl_easy_setopt(curl, CURLOPT_NOSIGNAL, 1L);
    curl_easy_setopt(curl, CURLOPT_PROXY, "");
    curl_easy_setopt(curl, CURLOPT_TCP_KEEPALIVE, 1L);
    curl_easy_setopt(curl, CURLOPT_CONNECTTIMEOUT_MS,
                     (long)CONNECT_TIMEOUT_MS);
    curl_easy_setopt(curl, CURLOPT_TIMEOUT_MS, request->timeout_ms);
    if (request->body != NULL) {
        curl_easy_setopt(curl, CURLOPT_POSTFIELDS, request->body);
        curl_easy_setopt(curl, CURLOPT_POSTFIELDSIZE_LARGE,
                         (curl_off_t)request->size);
    }
    curl_easy_setopt(curl, CURLOPT_NOPROGRESS, 0L);
    curl_easy_setopt(curl, CURLOPT_XFERINFOFUNCTION, on_progress);
    curl_easy_setopt(curl, CURLOPT_XFERINFODATA, (void *)request);
}

static void
read_retry_after(CURL *curl, struct fetch_reply *reply)
{
    struct curl_header *header;
    char *end;

    reply->retry_after_s = -1;
    if (curl_easy_header(curl, "Retry-After", 0, CURLH_HEADER, -1, &header) !=
        CURLHE_OK) {
        return;
    }
    reply->retry_after_s = strtol(header->value, &end, 10);
    if (*end != '\0' || end == header->value || reply->retry_after_s < 0) {
        reply->retry_after_s = -1;
    }
}

static void
read_location(CURL *curl, struct fetch_reply *reply)
{
    char *url = NULL;

    curl_easy_getinfo(curl, CURLINFO_REDIRECT_URL, &url);
    if (url != NULL && strlen(url) < sizeof(reply->location)) {
        (void)snprintf(reply->location, sizeof(reply->location), "%s", url);
    }
}

void
fetch_run(struct fetch *f, const struct fetch_request *request,
          struct fetch_reply *reply)
{
    struct curl_slist *headers = header_list(request);
    CURLcode code;

    memset(reply, 0, sizeof(*reply));
    set_request(f->curl, request, headers);
    curl_easy_setopt(f->curl, CURLOPT_WRITEFUNCTION, on_body);
    curl_easy_setopt(f->curl, CURLOPT_WRITEDATA, reply);
    code = curl_easy_perform(f->curl);
    reply->error = error_of(f->curl, code);
    if (reply->error == FETCH_OK) {
        curl_easy_getinfo(f->curl, CURLINFO_RESPONSE_CODE, &reply->status);
    }
    else {
        (void)snprintf(reply->detail, sizeof(reply->detail), "%.80s: %.70s",
                       request->url, curl_easy_strerror(code));
    }
    read_retry_after(f->curl, reply);
    read_location(f->curl, reply);
    curl_slist_free_all(headers);
}

void
fetch_reply_clear(struct fetch_reply *reply)
{
    free(reply->body);
    memset(reply, 0, sizeof(*reply));
}

const char *
fetch_error_text(enum fetch_error error)
{
    static const char *const texts[] = {
        [FETCH_OK] = "answered",
        [FETCH_NO_CONNECT] = "no connection",
        [FETCH_LOST] = "the connection broke",
        [FETCH_TIMEOUT] = "no answer in time",
        [FETCH_ABORTED] = "stopped",
        [FETCH_FAILED] = "not possible",
    };

    return texts[error];
}

bool
fetch_base_url(const char *address, char *out, size_t size)
{
    bool whole = strstr(address, "://") != NULL;
    int n = snprintf(out, size, "%s%s", whole ? "" : "http://", address);

    while (n > 0 && (size_t)n < size && out[n - 1] == '/') {
        out[--n] = '\0';
    }
    return n > 0 && (size_t)n < size;
}

bool
fetch_add_urls(char (*urls)[ADDRESS_SIZE], size_t *n, size_t max,
               const char *list)
{
    char *copy = strdup(list);
    char *save = NULL;
    bool fits = true;

    if (copy == NULL) {
        abort();
    }
    for (char *word = strtok_r(copy, ", ", &save); word != NULL && fits;
         word = strtok_r(NULL, ", ", &save)) {
        fits = *n < max && fetch_base_url(word, urls[*n], ADDRESS_SIZE);
        *n += fits ? 1 : 0;
    }
    free(copy);
    return fits;
}

static bool
unreserved(char c)
{
    return (c >= '0' && c <= '9') || (c >= 'a' && c <= 'z') ||
           (c >= 'A' && c <= 'Z') || (c != '\0' && strchr("-._~", c) != NULL);
}

void
fetch_escape(const char *text, char *out, size_t size)
{
    size_t n = 0;

    out[0] = '\0';
    for (const char *p = text; *p != '\0' && n + 4 <= size; p++) {
        n += (size_t)snprintf(out + n, size - n,
                              unreserved(*p) ? "%c" : "%%%02X",
                              (unsigned char)*p);
    }
}
