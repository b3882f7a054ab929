/**
 * DOC: fetch - one HTTP request at a time, for the small programs (libcurl)
 *
 * bm-submit, bm-publish, bmctl and the stand-ins wait for one answer at a
 * time; bm-entry, which must not, has its own.  A handle keeps connections
 * open between requests and belongs to one thread at a time.
 */
#ifndef BM_FETCH_H
#define BM_FETCH_H

#include <stdatomic.h>

#include "base.h"

enum {
    FETCH_URL_SIZE = 512,      /* longest URL with terminator, bytes */
    FETCH_BODY_MAX = 64 << 20, /* longest body of a reply, bytes */
    FETCH_HEADERS_MAX = 6,     /* further request headers */
};

/** enum fetch_error - what became of a request, from libcurl's codes */
enum fetch_error {
    FETCH_OK,         /* there is a reply, whatever its status */
    FETCH_NO_CONNECT, /* nothing was sent */
    FETCH_LOST,       /* the connection broke after something was sent */
    FETCH_TIMEOUT,    /* it was sent and no whole reply came in time */
    FETCH_ABORTED,    /* @abort was set */
    FETCH_FAILED,     /* a bad URL, no memory and the like */
};

/**
 * struct fetch_request - what to ask
 * @method: of HTTP
 * @url: whole
 * @headers: "Name: value" each; NULL ends the list
 * @body: NULL for none
 * @size: of the body, bytes
 * @timeout_ms: for the whole exchange; 0 is none
 * @abort: checked about once a second; may be NULL
 */
struct fetch_request {
    const char *method;
    char url[FETCH_URL_SIZE];
    const char *headers[FETCH_HEADERS_MAX + 1];
    const char *body;
    size_t size;
    long timeout_ms;
    const atomic_bool *abort;
};

/**
 * struct fetch_reply - what came back
 * @status: of HTTP; 0 without a reply
 * @retry_after_s: as told; -1 when it was not
 * @location: of a redirection, whole; empty where there is none
 * @body: with a terminator; NULL without a reply
 * @detail: of an error, for people
 */
struct fetch_reply {
    enum fetch_error error;
    long status;
    long retry_after_s;
    char location[FETCH_URL_SIZE];
    char *body;
    size_t size;
    char detail[DETAIL_SIZE];
};

struct fetch;

/** fetch_setup() - once per process, before threads are started */
void fetch_setup(void);

/** fetch_new() - NULL when memory is out */
struct fetch *fetch_new(void);

/** fetch_free() - closes its connections; NULL is allowed */
void fetch_free(struct fetch *f);

/** fetch_run() - asks and waits; @reply is to be cleared afterwards */
void fetch_run(struct fetch *f, const struct fetch_request *request,
               struct fetch_reply *reply);

/** fetch_reply_clear() - frees the body */
void fetch_reply_clear(struct fetch_reply *reply);

/** fetch_error_text() - for people */
const char *fetch_error_text(enum fetch_error error);

/** fetch_base_url() - writes "http://" before a bare HOST:PORT; a URL stays as
 * it is.  Returns false when it does not fit. */
bool fetch_base_url(const char *address, char *out, size_t size);

/** fetch_add_urls() - appends the addresses of a list with commas between
 * them, as base URLs, to the @n that @urls has.  Returns false when there are
 * more than @max or one does not fit; @urls then has those before. */
bool fetch_add_urls(char (*urls)[ADDRESS_SIZE], size_t *n, size_t max,
                    const char *list);

/** fetch_escape() - writes a text as a segment of a path (RFC 3986), cut where
 * it does not fit */
void fetch_escape(const char *text, char *out, size_t size);

#endif
