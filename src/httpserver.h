/**
 * DOC: httpserver - starting and draining an HTTP server (libmicrohttpd)
 *
 * What httpd and control_http share; each has its own requests.
 */
#ifndef BM_HTTPSERVER_H
#define BM_HTTPSERVER_H

#include <microhttpd.h>
#include <stdatomic.h>
#include <stdbool.h>
#include <stdint.h>

/**
 * struct httpserver - one server
 * @in_progress: requests whose headers arrived; its owner counts them
 */
struct httpserver {
    struct MHD_Daemon *daemon;
    atomic_uint in_progress;
};

/**
 * struct httpserver_options - how to start one
 * @listen: IP:PORT
 * @threads: of the server
 * @connections: at a time
 * @idle_timeout_s: of a silent connection
 * @on_request: see libmicrohttpd
 * @on_completed: the same
 * @cls: handed to both
 */
struct httpserver_options {
    const char *listen;
    unsigned int threads;
    unsigned int connections;
    unsigned int idle_timeout_s;
    MHD_AccessHandlerCallback on_request;
    MHD_RequestCompletedCallback on_completed;
    void *cls;
};

/** httpserver_start() - false with errno where it can't listen; EINVAL for a
 * bad address */
bool httpserver_start(struct httpserver *s,
                      const struct httpserver_options *o);

/** httpserver_drain() - takes no connection any more and waits until no
 * request is in progress; false when the time was over first */
bool httpserver_drain(struct httpserver *s, int64_t timeout_ms);

#endif
