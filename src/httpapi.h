/**
 * DOC: httpapi - an HTTP server that hands over whole requests
 *
 * For servers whose paths and bodies are decided elsewhere: a request is given
 * to a handler when its body is there, and waits, its connection suspended,
 * until it is answered.  With @external it has no thread: the owner polls it,
 * and learns when the client of a waiting request has left.
 *
 * A body that is announced as too long, or becomes it, is answered with 413,
 * and its connection is closed.  Where connections or bodies exceed their
 * bounds, others are closed (see shed.h); those whose request is not whole are
 * answered with 503.
 */
#ifndef BM_HTTPAPI_H
#define BM_HTTPAPI_H

#include "base.h"
#include "blob.h"

struct httpapi;

/**
 * struct httpapi_request - a whole request; its pointers hold until the
 * handler returns
 * @number: for httpapi_reply()
 * @method: "GET"
 * @path: of the URL, without its query
 * @body: followed by a terminator
 * @size: of @body
 * @connection: for httpapi_header()
 */
struct httpapi_request {
    uint64_t number;
    const char *method;
    const char *path;
    const char *body;
    size_t size;
    void *connection;
};

/** httpapi_header() - the value of a request's header, or NULL */
const char *httpapi_header(const struct httpapi_request *r, const char *name);

/**
 * struct httpapi_response - an answer
 * @status: of HTTP
 * @body: owned, from malloc(); NULL for none
 * @text: the same as a shared reference, instead of @body; NULL for none
 * @type: of the body; NULL for application/json
 * @retry_after_us: told in whole seconds, rounded up; 0 for not
 * @redirect_to: address of the server that the request is redirected to, with
 *               the same path; may be empty
 * @close: the connection ends with it
 */
struct httpapi_response {
    int status;
    char *body;
    struct blob *text;
    const char *type;
    int64_t retry_after_us;
    struct address redirect_to;
    bool close;
};

/** enum httpapi_handled - what a handler did with a request */
enum httpapi_handled {
    HTTPAPI_TAKEN,    /* it has been or will be answered */
    HTTPAPI_DEFERRED, /* it waits, with its body, for httpapi_again() */
};

/**
 * struct httpapi_options - how to construct one
 * @listen: IP:PORT
 * @connections: at a time; some less are kept open, to accept others
 * @idle_timeout_s: of a silent connection
 * @body_max: bytes of a body
 * @body_bytes_max: bytes of memory of all bodies, at least twice @body_max
 * @external: see above
 * @handle: takes a request; answers it now or later, or defers it
 * @gone: with @external: the client of a waiting request has left; it need not
 *        be answered any more
 * @ctx: for both
 */
struct httpapi_options {
    const char *listen;
    unsigned int connections;
    unsigned int idle_timeout_s;
    size_t body_max;
    size_t body_bytes_max;
    bool external;
    enum httpapi_handled (*handle)(void *ctx, const struct httpapi_request *r);
    void (*gone)(void *ctx, uint64_t number);
    void *ctx;
};

/** httpapi_new() - NULL with errno where it can't listen */
struct httpapi *httpapi_new(const struct httpapi_options *o);

/** httpapi_reply() - answers a request and takes over the body; one that is
 * gone is no error.  From any thread. */
void httpapi_reply(struct httpapi *h, uint64_t number,
                   struct httpapi_response *response);

/** httpapi_again() - hands a deferred request to the handler once more, under
 * another number; one that is gone is no error.  With @external, from the
 * owner's thread. */
void httpapi_again(struct httpapi *h, uint64_t number);

/** httpapi_set_body_max() - bytes of a body from now on; at most half of
 * httpapi_options.body_bytes_max.  From the thread that reads requests. */
void httpapi_set_body_max(struct httpapi *h, size_t bytes);

/** httpapi_closing() - from now on every answer ends its connection */
void httpapi_closing(struct httpapi *h);

/** httpapi_busy() - requests in progress */
unsigned int httpapi_busy(const struct httpapi *h);

/** httpapi_port() - that it listens on */
uint16_t httpapi_port(const struct httpapi *h);

/* With @external. */

enum { HTTPAPI_FDS = 2 };

/** httpapi_fds() - readable when httpapi_run() has work; returns how many */
int httpapi_fds(const struct httpapi *h, int fds[HTTPAPI_FDS]);

/** httpapi_take_gone() - tells of all clients that have left by now */
void httpapi_take_gone(struct httpapi *h);

/** httpapi_run() - the same, then calls the handlers; a request whose client
 * has left before it was read is not handed over */
void httpapi_run(struct httpapi *h);

/** httpapi_next_ms() - it has work after that time; -1 for none */
int64_t httpapi_next_ms(struct httpapi *h);

/** httpapi_drain() - accepts no more; without @external waits until nothing
 * is in progress, at most @timeout_ms */
void httpapi_drain(struct httpapi *h, int64_t timeout_ms);

/** httpapi_free() - requests that still wait get a 503; NULL is allowed */
void httpapi_free(struct httpapi *h);

#endif
