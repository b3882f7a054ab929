/**
 * DOC: control_http - the operators' HTTP interface, docs/control-api.md
 *
 * A good request becomes an event, its connection is suspended, and
 * control_http_reply() resumes it.  Bad and unsigned ones end here.
 */
#ifndef BM_CONTROL_HTTP_H
#define BM_CONTROL_HTTP_H

#include "clock.h"
#include "control_mail.h"
#include "opauth.h"
#include "control_effect.h"

/**
 * struct control_http_options - how to construct one
 * @listen: IP:PORT; port 0 takes any
 * @threads: of the server
 * @connections: most at a time
 * @idle_timeout_s: after which a silent connection is closed
 * @clock: for signatures
 * @auth: checks changes; must outlive the server
 * @offer: takes an event over; false when it can't, and then it is not taken
 * @gone: the request's client closed its connection
 * @healthy: whether there is a leader and no stop
 * @metrics: IP:PORT for metrics apart from the API; empty for none
 * @ctx: for the callbacks
 */
struct control_http_options {
    struct address listen;
    unsigned int threads;
    unsigned int connections;
    unsigned int idle_timeout_s;
    const struct clock *clock;
    struct opauth *auth;
    bool (*offer)(void *ctx, struct control_mail *m);
    void (*gone)(void *ctx, uint64_t request);
    bool (*healthy)(void *ctx);
    struct address metrics;
    void *ctx;
};

struct control_http;

/**
 * struct control_http_ops - an HTTP interface of control members: ours, or one
 * that speaks a platform's own API
 * @new: starts it; NULL with errno when it can't
 * @reply: answers a request with CE_REPLY or CE_TEXT and takes over what the
 *         effect owns; from any thread
 * @drain: accepts no more, waits until no request is in progress
 * @free: NULL is allowed
 */
struct control_http_ops {
    void *(*new)(const struct control_http_options *o);
    void (*reply)(void *http, uint64_t request, struct control_effect *f);
    void (*drain)(void *http, int64_t timeout_ms);
    void (*free)(void *http);
};

/** control_http_ops() - ours, docs/control-api.md */
const struct control_http_ops *control_http_ops(void);

/** control_http_new() - starts the server; NULL with errno when it can't */
struct control_http *control_http_new(const struct control_http_options *o);

/** control_http_reply() - answers a request with CE_REPLY or CE_TEXT and takes
 * over what the effect owns; a request that is gone is no error.  From any
 * thread. */
void control_http_reply(struct control_http *h, uint64_t request,
                        struct control_effect *f);

/** control_http_port() - that it listens on */
uint16_t control_http_port(const struct control_http *h);

/** control_http_drain() - accepts no more and waits until no request is in
 * progress, at most @timeout_ms */
void control_http_drain(struct control_http *h, int64_t timeout_ms);

/** control_http_free() - requests that still wait get a 503; NULL is allowed
 */
void control_http_free(struct control_http *h);

#endif
