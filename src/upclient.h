/**
 * DOC: upclient - requests to upstreams, by libcurl
 *
 * A few threads, each with a multi handle and the upstreams that hash to it,
 * so that an upstream's connections are kept and counted in one place.
 *
 * A start is sent at most once.  libcurl itself sends a request again when a
 * kept connection turns out to be closed before anything came back; by then
 * the upstream may have read it, and the task would start twice.  Each
 * attempt passes CURLOPT_PREREQFUNCTION, and the second is aborted there; the
 * body's read callback gives its bytes only once as well.  So the outcome is
 * START_NO_CONNECT where no attempt passed, which proves that nothing was
 * sent, and START_LOST where one did and no proper answer came.
 */
#ifndef BM_UPCLIENT_H
#define BM_UPCLIENT_H

#include "clock.h"
#include "effect.h"
#include "envelope.h"

/**
 * struct upclient_options - how to construct one
 * @self: name of this instance, for fences
 * @threads: of libcurl, 1 to UPCLIENT_THREADS_MAX
 * @connections_per_upstream: most at a time
 * @connect_timeout_ms: after which nothing was sent
 * @control_timeout_ms: for a revoke or a fence
 * @idle_s: a kept connection older than that is not used again
 * @result_max: bytes of a result; a longer one is a failure of the task
 * @clock: for the counters
 * @done: takes each outcome, exactly one a call; from any of the threads
 * @ctx: for @done
 */
struct upclient_options {
    struct name self;
    unsigned int threads;
    long connections_per_upstream;
    long connect_timeout_ms;
    long control_timeout_ms;
    long idle_s;
    size_t result_max;
    const struct clock *clock;
    void (*done)(void *ctx, struct envelope *outcome);
    void *ctx;
};

enum { UPCLIENT_THREADS_MAX = 16 };

struct upclient;

/** upclient_options_default() - all but @self, @clock, @done and @ctx */
struct upclient_options upclient_options_default(void);

/** upclient_new() - starts the threads; NULL when that fails */
struct upclient *upclient_new(const struct upclient_options *o);

/** upclient_free() - ends the threads; calls in progress get no outcome */
void upclient_free(struct upclient *c);

/** upclient_begin() - carries out an EF_START, EF_REVOKE or EF_FENCE; takes
 * over what the effect owns.  Never blocks; from the reducer's thread. */
void upclient_begin(struct upclient *c, struct effect *effect);

#endif
