/**
 * DOC: httpd - the HTTP server of an instance, by libmicrohttpd
 *
 * A few daemon threads read and check requests; a good one becomes an event,
 * its connection is suspended, and httpd_reply() resumes it.  A bad one is
 * refused here, and nothing of it reaches the reducer.
 */
#ifndef BM_HTTPD_H
#define BM_HTTPD_H

#include "clock.h"
#include "effect.h"
#include "envelope.h"

/**
 * struct httpd_options - how to construct one
 * @listen: IP:PORT; port 0 takes any
 * @threads: of the server
 * @connections: most at a time
 * @body_max: bytes of a request's body
 * @body_bytes_max: memory of all bodies that are being read, bytes
 * @body_timeout_ms: from the headers to the end of the body
 * @idle_timeout_s: after which a connection without a request is closed
 * @clock: for the body's timeout
 * @offer: takes an event over; false when it can't, and then it is not taken
 * @healthy: whether the instance takes new jobs
 * @ctx: for both
 */
struct httpd_options {
    struct address listen;
    unsigned int threads;
    unsigned int connections;
    size_t body_max;
    size_t body_bytes_max;
    int64_t body_timeout_ms;
    unsigned int idle_timeout_s;
    const struct clock *clock;
    bool (*offer)(void *ctx, struct envelope *e);
    bool (*healthy)(void *ctx);
    void *ctx;
};

struct httpd;

/** httpd_options_default() - all but @listen, @clock and the callbacks */
struct httpd_options httpd_options_default(void);

/** httpd_new() - starts the server; NULL when it can't, with errno */
struct httpd *httpd_new(const struct httpd_options *o);

/** httpd_port() - the port it listens on */
uint16_t httpd_port(const struct httpd *h);

/** httpd_reply() - answers a request with an effect and takes over what the
 * effect owns; a request that is gone is no error.  From any thread. */
void httpd_reply(struct httpd *h, uint64_t request, struct effect *reply);

/** httpd_stopping() - from now on each response closes its connection */
void httpd_stopping(struct httpd *h);

/** httpd_drain() - accepts no more connections and waits until no request is
 * in progress, at most @timeout_ms; whether none is */
bool httpd_drain(struct httpd *h, int64_t timeout_ms);

/** httpd_free() - requests still waiting get a 503; NULL is allowed */
void httpd_free(struct httpd *h);

#endif
