/**
 * DOC: conn - one TCP connection of peer
 *
 * Internal to peer: the socket and its two queues of bytes.
 */
#ifndef BM_CONN_H
#define BM_CONN_H

#include <sys/queue.h>

#include "frame.h"
#include "heartbeat.h"
#include "netaddr.h"

enum conn_state {
    CONN_DIALING,  /* connect() is in progress */
    CONN_GREETING, /* the other end has not said HELLO yet */
    CONN_OPEN,
    CONN_CLOSED, /* freed when the round of events is over */
};

struct remote;

/**
 * struct conn - a connection
 * @remote: whom it is with; NULL until an accepted one said HELLO
 * @dialed: opened by this end
 * @last_in_us: when bytes last came, or when it was opened
 * @last_out_us: when a frame was last queued
 * @silence_us: closed after that long without bytes, before it is open
 * @beat: heartbeats and silence while it is open
 * @want_out: registered for writing
 * @unsent: has bytes queued since the last flush
 */
struct conn {
    int fd;
    enum conn_state state;
    struct remote *remote;
    bool dialed;
    bool want_out;
    bool unsent;
    struct bytes in;
    struct bytes out;
    int64_t last_in_us;
    int64_t last_out_us;
    int64_t silence_us;
    struct heartbeat beat;
    TAILQ_ENTRY(conn) link;
};

/** conn_dial() - a non-blocking connection on its way; NULL with errno */
struct conn *conn_dial(const struct netaddr *to);

/** conn_accept() - the next connection of a listener; NULL with errno */
struct conn *conn_accept(int listener);

/** conn_listen() - a listening socket; -1 with errno */
int conn_listen(const struct netaddr *at);

/** conn_dialed_error() - 0 where connect() succeeded, else its errno */
int conn_dialed_error(const struct conn *c);

/** conn_read() - reads what is there, up to a bound; bytes read, 0 for none
 * now, -1 when the connection is over.  @more is whether the bound was
 * reached, so that there may be more. */
ssize_t conn_read(struct conn *c, bool *more);

/** conn_has_input() - whether bytes wait to be read */
bool conn_has_input(const struct conn *c);

/** conn_write() - writes what the socket takes; bytes written, -1 when the
 * connection is over */
ssize_t conn_write(struct conn *c);

/** conn_free() - closes the socket */
void conn_free(struct conn *c);

#endif
