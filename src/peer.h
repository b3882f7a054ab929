/**
 * DOC: peer - connections between the system's own processes
 *
 * Frames of msgpack messages over TCP, by one thread with epoll.  A process
 * dials each remote that has an address and accepts connections from the
 * others; both ends say HELLO first, and only configured names may speak.
 * Messages go out on the dialed connection, or else on the accepted one.
 *
 * Nothing is promised beyond the order on one connection: without a
 * connection a message is dropped and counted, and the reducers, which must
 * live with lost messages anyway, send again.
 *
 * Half-open connections: something between two processes may forget a
 * connection, and then neither end sees it close; messages vanish while a new
 * connection would work.  So each end sends at least an empty frame in each
 * heartbeat, and a connection that brought nothing for three is closed and
 * dialed anew.  With many connections, idle ones carry frames less often, see
 * heartbeat.h.
 */
#ifndef BM_PEER_H
#define BM_PEER_H

#include "clock.h"
#include "wire.h"

/** struct peer_remote - a process that may speak; without @address it is not
 * dialed */
struct peer_remote {
    struct name name;
    struct address address; /* IP:PORT */
};

/**
 * struct peer_options - how to construct the connections
 * @self: name of this process
 * @incarnation: rises with each start
 * @listen: IP:PORT, port 0 takes any; empty: nobody is accepted
 * @remotes: copied; the one named @self is left out
 * @n_remotes: of @remotes
 * @heartbeat_us: time within which each connection carries a frame
 * @send_max: bytes that may wait on a connection; a remote that does not read
 *            is cut off there
 * @frame_max: bytes of a frame
 * @clock: for all its timers
 * @open: whoever says HELLO may speak, not only @remotes
 * @tell_gaps: a connection that closes is told as down and up again, though
 *             another with the same remote is left: what was under way on it
 * is lost
 * @idle_heartbeats: idle connections carry fewer heartbeats where there are
 *                   many.  The first HEARTBEAT_INTERVAL on a connection is
 *                   then passed to @on_message: the remote is of a build that
 *                   knows the kinds of messages added with it.
 * @backoff_max_us: longest pause between two attempts to dial
 * @external: without a thread: the owner's loop calls peer_run() when
 *            peer_fd() is readable or peer_next_ms() is over, and peer_flush()
 *            before it waits; only that thread uses the connections
 * @on_message: takes over what the message owns; may block, which holds the
 *              senders back
 * @on_peer: a remote has its first connection, or has lost its last
 * @ctx: for both; they are called by the thread, or by peer_run() and
 *       peer_flush()
 */
struct peer_options {
    struct name self;
    uint64_t incarnation;
    struct address listen;
    const struct peer_remote *remotes;
    size_t n_remotes;
    int64_t heartbeat_us;
    size_t send_max;
    size_t frame_max;
    bool open;
    bool tell_gaps;
    bool idle_heartbeats;
    int64_t backoff_max_us;
    bool external;
    const struct clock *clock;
    void (*on_message)(void *ctx, struct name from, struct msg *m);
    void (*on_peer)(void *ctx, struct name remote, bool up);
    void *ctx;
};

struct peer;

enum { PEER_REMOTES_MAX = 1024 };

/** peer_options_default() - heartbeat and bounds */
struct peer_options peer_options_default(void);

/** peer_new() - starts the thread; NULL with errno when it can't */
struct peer *peer_new(const struct peer_options *o);

/** peer_port() - the port it listens on */
uint16_t peer_port(const struct peer *p);

/** peer_send() - sends a message and takes over what it owns; never blocks;
 * from any thread */
void peer_send(struct peer *p, struct name to, struct msg *m);

/** peer_add() - one more remote may speak and is dialed; one that is known
 * already, or is one too many (PEER_REMOTES_MAX), is ignored.  From any
 * thread. */
void peer_add(struct peer *p, const struct peer_remote *remote);

/** peer_forget() - a remote is gone for good: its connections are closed and
 * it is not dialed any more.  From any thread. */
void peer_forget(struct peer *p, struct name remote);

/** peer_fd() - readable when peer_run() has something to read */
int peer_fd(const struct peer *p);

/** peer_next_ms() - time until peer_run() is due, in ms */
int64_t peer_next_ms(const struct peer *p);

/** peer_run() - reads if peer_fd() is @readable, sends what was posted and
 * runs timers */
void peer_run(struct peer *p, bool readable);

/** peer_flush() - sends what was posted */
void peer_flush(struct peer *p);

/** peer_poke() - makes the thread look at its clock, for tests */
void peer_poke(struct peer *p);

/** peer_free() - what was sent before goes out as far as the sockets take it;
 * NULL is allowed */
void peer_free(struct peer *p);

#endif
