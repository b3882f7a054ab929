/**
 * DOC: leaseclient - calls to upstreams that run tasks under a lease, by
 * libcurl
 *
 * Without a thread: the owner polls leaseclient_fd().  What is said on the
 * wire is a codec's matter.  A call may reach its upstream several times, when
 * libcurl finds a kept connection closed: a start, a stop and a look all mean
 * the same when repeated.  A start that is refused after an earlier attempt is
 * LEASE_NO_ANSWER.
 */
#ifndef BM_LEASECLIENT_H
#define BM_LEASECLIENT_H

#include "broker_effect.h"
#include "clock.h"

enum { LEASE_PATH_SIZE = 96, LEASE_HEADERS_MAX = 2, LEASE_HEADER_SIZE = 96 };

/**
 * struct lease_http_request - a call as HTTP
 * @path: of the POST
 * @headers: "Name: value", besides the body's type; unused ones are empty
 * @body: JSON, from malloc()
 */
struct lease_http_request {
    char path[LEASE_PATH_SIZE];
    char headers[LEASE_HEADERS_MAX][LEASE_HEADER_SIZE];
    char *body;
};

/**
 * struct lease_codec - how upstreams of a kind are spoken to
 * @encode: a call
 * @decode: its answer; @out is zeroed before.  An answer that can't be read
 *          is LEASE_NO_ANSWER: what it said is not known.
 */
struct lease_codec {
    void (*encode)(const struct lease_request *r,
                   struct lease_http_request *out);
    void (*decode)(const struct lease_request *r, long status,
                   const char *body, size_t size, struct lease_answer *out);
};

/**
 * struct leaseclient_options - how to construct one
 * @codec: of the upstreams
 * @idle_connections_max: idle ones, in all
 * @idle_max_s: a kept connection older than that is not used again
 * @answer_bytes_max: bytes; a longer answer is LEASE_NO_ANSWER
 * @clock: for timeouts
 * @on_outcome: takes each outcome, exactly one a call; the answer is the
 * callee's
 * @ctx: for @on_outcome
 */
struct leaseclient_options {
    const struct lease_codec *codec;
    long idle_connections_max;
    long idle_max_s;
    size_t answer_bytes_max;
    const struct clock *clock;
    void (*on_outcome)(void *ctx, uint64_t call, struct lease_answer *answer);
    void *ctx;
};

struct leaseclient;

/** leaseclient_options_default() - all but @codec, @done and @ctx */
struct leaseclient_options leaseclient_options_default(void);

/** leaseclient_new() - NULL where libcurl can't be set up */
struct leaseclient *leaseclient_new(const struct leaseclient_options *o);

/** leaseclient_free() - calls in progress get no outcome; NULL is allowed */
void leaseclient_free(struct leaseclient *c);

/** leaseclient_send() - sends a call; takes over what it owns.  Its timeout
 * counts from when the request goes out on a connection; where there is no
 * connection so long after it was dialed, it is LEASE_UNSENT. */
void leaseclient_send(struct leaseclient *c, struct be_call *call);

/** leaseclient_fd() - readable when leaseclient_run() has work */
int leaseclient_fd(const struct leaseclient *c);

/** leaseclient_next_ms() - it has work after that time; -1 for none */
int64_t leaseclient_next_ms(struct leaseclient *c);

/** leaseclient_run() - does what there is to do, and tells outcomes */
void leaseclient_run(struct leaseclient *c);

#endif
