/**
 * DOC: control_http - HTTP interface for operators, see docs/control-api.md
 *
 * A valid request becomes an event; its connection is suspended until
 * control_http_reply() resumes it.  Invalid and unsigned requests are rejected
 * here.
 */
#ifndef BM_CONTROL_HTTP_H
#define BM_CONTROL_HTTP_H

#include "clock.h"
#include "control_mail.h"
#include "opauth.h"
#include "control_effect.h"

/**
 * struct control_http_options - how to construct one
 * @listen: IP:PORT; port 0 selects a free port
 * @threads: number of server threads
 * @connections: largest number of open connections
 * @idle_timeout_s: time after which an idle connection is closed
 * @clock: clock that signatures are checked against
 * @auth: checks signatures of changes; must outlive the server
 * @offer: queues an event and takes ownership of it; returns false if the
 *         queue is full, and the caller keeps the event then
 * @on_client_gone: called when the client of a pending request has
 * disconnected
 * @healthy: whether a leader is known and this member is not shutting down
 * @body_bytes_max: memory of all bodies that are being read, bytes
 * @metrics: IP:PORT of a separate listener for metrics; empty for none
 * @ctx: argument of the callbacks
 */
struct control_http_options {
    struct address listen;
    unsigned int threads;
    unsigned int connections;
    unsigned int idle_timeout_s;
    const struct clock *clock;
    struct opauth *auth;
    bool (*offer)(void *ctx, struct control_mail *m);
    void (*on_client_gone)(void *ctx, uint64_t request);
    bool (*healthy)(void *ctx);
    size_t body_bytes_max;
    struct address metrics;
    void *ctx;
};

struct control_http;

/**
 * struct control_http_ops - an HTTP interface of control members: the default
 * one, or one that implements the API of a platform
 * @new: starts the server; NULL with errno set on failure
 * @reply: answers a request with CE_REPLY or CE_TEXT and takes ownership of
 *         the effect's data; may be called from any thread
 * @drain: stops accepting connections and waits until no request is in
 *         progress, at most timeout_ms
 * @free: stops the server; NULL is allowed
 */
struct control_http_ops {
    void *(*new)(const struct control_http_options *o);
    void (*reply)(void *http, uint64_t request, struct control_effect *f);
    void (*drain)(void *http, int64_t timeout_ms);
    void (*free)(void *http);
};

/** control_http_ops() - the default interface, see docs/control-api.md */
const struct control_http_ops *control_http_ops(void);

/** control_http_new() - starts the server; NULL with errno set on failure */
struct control_http *control_http_new(const struct control_http_options *o);

/** control_http_reply() - answers a request with CE_REPLY or CE_TEXT and takes
 * ownership of the effect's data.  Does nothing if the request has ended; the
 * caller keeps the effect then.  May be called from any thread. */
void control_http_reply(struct control_http *h, uint64_t request,
                        struct control_effect *f);

/** control_http_port() - port that the server listens on */
uint16_t control_http_port(const struct control_http *h);

/** control_http_drain() - stops accepting connections and waits until no
 * request is in progress, at most @timeout_ms */
void control_http_drain(struct control_http *h, int64_t timeout_ms);

/** control_http_free() - stops the server; pending requests are answered with
 * 503; NULL is allowed */
void control_http_free(struct control_http *h);

#endif
