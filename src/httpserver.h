/**
 * DOC: httpserver - the HTTP server under httpapi, httpd and control_http
 * (libmicrohttpd)
 *
 * Starting, draining, requests that wait, their connections suspended, for a
 * reply from another thread, and the bounds of connections and bodies (see
 * shed.h).  Each of the three has its own kind of request.
 */
#ifndef BM_HTTPSERVER_H
#define BM_HTTPSERVER_H

#include <microhttpd.h>
#include <pthread.h>
#include <stdatomic.h>
#include <stdbool.h>
#include <stdint.h>

#include "shed.h"
#include "table.h"

/**
 * struct httpserver - one server
 * @in_progress: requests whose headers arrived; its owner counts them
 */
struct httpserver {
    struct MHD_Daemon *daemon;
    atomic_uint in_progress;
    pthread_mutex_t lock; /* for what follows */
    struct table waiting; /* struct httpwait *, by request number */
    bool closed;          /* no request waits any more */
    struct shed shed;
};

/**
 * struct httpserver_client - a client's connection, with at most one request
 * @shed: must be the first member
 * @fd: its socket
 * @reading: its request has begun and is not whole
 */
struct httpserver_client {
    struct shed_connection shed;
    int fd;
    bool reading;
};

/** struct httpwait - part of a request that may wait; zeroed at first */
struct httpwait {
    void *request;
    struct handle self;
    bool suspended;
};

/**
 * struct httpserver_options - how to start one
 * @listen: IP:PORT
 * @threads: of the server
 * @connections: at a time; an eighth is kept free, to accept others
 * @body_bytes_max: memory of all bodies, bytes
 * @idle_timeout_s: of a silent connection
 * @external: no threads: the owner watches httpserver_fd() and calls
 *            httpserver_run()
 * @memory: bytes a connection may take; 0 leaves it to libmicrohttpd
 * @on_request: see libmicrohttpd
 * @on_completed: the same
 * @cls: handed to both
 */
struct httpserver_options {
    const char *listen;
    unsigned int threads;
    unsigned int connections;
    size_t body_bytes_max;
    unsigned int idle_timeout_s;
    bool external;
    size_t memory;
    MHD_AccessHandlerCallback on_request;
    MHD_RequestCompletedCallback on_completed;
    void *cls;
};

/** httpserver_start() - false with errno where it can't listen; EINVAL for a
 * bad address */
bool httpserver_start(struct httpserver *s,
                      const struct httpserver_options *o);

/** httpserver_fd() - of an external server: readable when it has work */
int httpserver_fd(const struct httpserver *s);

/** httpserver_run() - of an external server: does what there is to do */
void httpserver_run(struct httpserver *s);

/** httpserver_next_ms() - of an external server: it has work after so many
 * milliseconds; -1 for no such time */
int64_t httpserver_next_ms(struct httpserver *s);

/** httpserver_port() - that it listens on */
uint16_t httpserver_port(const struct httpserver *s);

/** httpserver_drain() - takes no connection any more and waits until no
 * request is in progress; false when the time was over first */
bool httpserver_drain(struct httpserver *s, int64_t timeout_ms);

/* Of the thread that reads the connection. */

/** httpserver_client() - the client of a connection */
struct httpserver_client *httpserver_client(struct MHD_Connection *connection);

/** httpserver_begin_body() - a request has begun, and its body may follow */
void httpserver_begin_body(struct httpserver *s, struct httpserver_client *c);

/** httpserver_set_body() - the body takes so many bytes of memory.  False if
 * the client was closed to make room: the request is over. */
bool httpserver_set_body(struct httpserver *s, struct httpserver_client *c,
                         size_t bytes);

/** httpserver_end_body() - the request is whole, and handled from now on;
 * false if the client was closed to make room before */
bool httpserver_end_body(struct httpserver *s, struct httpserver_client *c);

/** httpserver_answer() - the request is answered: the client may be closed to
 * make room while it doesn't read the answer */
void httpserver_answer(struct httpserver *s, struct httpserver_client *c);

/** httpserver_end_request() - the request is over */
void httpserver_end_request(struct httpserver *s, struct httpserver_client *c);

/** httpserver_refuse_body() - answers a request whose body has not ended;
 * libmicrohttpd takes no response then.  The connection is to be closed. */
void httpserver_refuse_body(const struct httpserver_client *c, int status);

/** httpserver_wait() - numbers a request, for httpserver_take(); 0 once the
 * server is closed */
uint64_t httpserver_wait(struct httpserver *s, struct httpwait *w,
                         void *request);

/** httpserver_suspend() - before the request is given away: its reply may come
 * before the caller goes on */
void httpserver_suspend(struct httpserver *s, struct httpwait *w,
                        struct MHD_Connection *connection);

/** httpserver_take() - the request with that number, which waits no longer;
 * NULL if it does not.  Its connection is to be resumed. */
void *httpserver_take(struct httpserver *s, uint64_t number);

/** httpserver_number() - what httpserver_wait() gave; 0 before that */
uint64_t httpserver_number(const struct httpwait *w);

/** httpserver_close() - lets no request wait any more and has @refuse answer
 * each that does, as the process ends */
void httpserver_close(struct httpserver *s,
                      void (*refuse)(void *cls, uint64_t number), void *cls);

/** httpserver_stop() - after httpserver_close() */
void httpserver_stop(struct httpserver *s);

#endif
