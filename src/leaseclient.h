/**
 * DOC: leaseclient - HTTP client for calls to upstreams that run tasks under a
 * lease, by libcurl
 *
 * It has no thread: the owner polls leaseclient_fd().  A codec defines the
 * format of calls and answers.  A call may reach its upstream several times,
 * since libcurl repeats a request when a kept connection turns out to be
 * closed; starts, stops and polls are idempotent.  A start that is refused
 * after an earlier attempt is LEASE_NO_ANSWER, since the earlier one may have
 * been carried out.
 */
#ifndef BM_LEASECLIENT_H
#define BM_LEASECLIENT_H

#include "broker_effect.h"
#include "clock.h"

enum { LEASE_PATH_SIZE = 96, LEASE_HEADERS_MAX = 2, LEASE_HEADER_SIZE = 96 };

/**
 * struct lease_http_request - a call as an HTTP POST request
 * @path: of the URL
 * @headers: "Name: value", besides Content-Type; unused ones are empty
 * @body: JSON, from malloc(); owned by the caller of encode()
 */
struct lease_http_request {
    char path[LEASE_PATH_SIZE];
    char headers[LEASE_HEADERS_MAX][LEASE_HEADER_SIZE];
    char *body;
};

/**
 * struct lease_codec - format of calls and answers of a kind of upstreams
 * @encode: encodes a call
 * @decode: decodes its answer; @out is zeroed before.  An answer that can't be
 *          decoded is LEASE_NO_ANSWER, since its outcome is unknown.
 */
struct lease_codec {
    void (*encode)(const struct lease_request *r,
                   struct lease_http_request *out);
    void (*decode)(const struct lease_request *r, long status,
                   const char *body, size_t size, struct lease_answer *out);
};

/**
 * struct leaseclient_options - configuration of a leaseclient
 * @codec: format of the calls and answers
 * @idle_connections_max: limit of idle connections to all upstreams
 * @idle_max_s: a connection idle for longer is not used again
 * @answer_bytes_max: a longer answer is LEASE_NO_ANSWER
 * @clock: for timeouts
 * @on_outcome: called exactly once for each call, with its outcome; the callee
 *              owns the answer's lists
 * @ctx: passed to @on_outcome
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

/** leaseclient_options_default() - defaults of all but @codec, @on_outcome and
 * @ctx */
struct leaseclient_options leaseclient_options_default(void);

/** leaseclient_new() - NULL where libcurl can't be set up */
struct leaseclient *leaseclient_new(const struct leaseclient_options *o);

/** leaseclient_free() - drops calls in progress without an outcome; NULL is
 * allowed */
void leaseclient_free(struct leaseclient *c);

/** leaseclient_send() - sends a call, and takes over its spec.  The timeout
 * counts from when the request is sent on a connection.  If no connection is
 * established within the timeout after dialing, the call is LEASE_NOT_SENT. */
void leaseclient_send(struct leaseclient *c, struct be_call *call);

/** leaseclient_fd() - a descriptor that is readable when leaseclient_run()
 * has work */
int leaseclient_fd(const struct leaseclient *c);

/** leaseclient_next_ms() - time until leaseclient_run() is due, in ms; -1 for
 * never */
int64_t leaseclient_next_ms(struct leaseclient *c);

/** leaseclient_run() - handles socket events and timeouts, and calls
 * @on_outcome for calls that ended; @readable: whether leaseclient_fd() is, or
 * true where that is not known */
void leaseclient_run(struct leaseclient *c, bool readable);

#endif
