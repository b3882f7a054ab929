/**
 * DOC: shed - which connections a server closes under pressure
 *
 * A server bounds its connections, and the memory of all bodies that it has
 * read so far.  Beyond the first bound it closes the connection that was
 * opened first, beyond the second one that with the largest body: a client
 * within its limits sends at once, reads its answer, and has a small body, so
 * others are closed before it.  Connections whose request is being handled are
 * kept.
 *
 * Not locked by itself.
 */
#ifndef BM_SHED_H
#define BM_SHED_H

#include <stdbool.h>
#include <stddef.h>
#include <sys/queue.h>

/**
 * struct shed_connection - a connection of the server
 * @body: bytes of memory of its request's body
 * @handled: its request is whole and not answered yet
 * @dropped: chosen to be closed; no longer counted
 */
struct shed_connection {
    size_t body;
    bool handled;
    bool dropped;
    TAILQ_ENTRY(shed_connection) link;
};

TAILQ_HEAD(shed_list, shed_connection);

/**
 * struct shed - the connections of one server
 * @connections_max: open at a time
 * @body_bytes_max: of all bodies together
 * @open: those that are not dropped, in the order in which they were opened
 * @n: number of them
 * @body_bytes: of all bodies together
 */
struct shed {
    unsigned int connections_max;
    size_t body_bytes_max;
    struct shed_list open;
    unsigned int n;
    size_t body_bytes;
};

void shed_init(struct shed *s, unsigned int connections_max,
               size_t body_bytes_max);

/** shed_add() - a connection was opened */
void shed_add(struct shed *s, struct shed_connection *c);

/** shed_remove() - a connection has ended */
void shed_remove(struct shed *s, struct shed_connection *c);

/** shed_set_body() - its body takes so many bytes of memory now */
void shed_set_body(struct shed *s, struct shed_connection *c, size_t bytes);

/** shed_oldest() - while there are too many connections: the one to be closed,
 * dropped; else NULL, or where all but the newest ones are being handled */
struct shed_connection *shed_oldest(struct shed *s);

/** shed_largest() - while the bodies take too much memory: the connection to
 * be closed, whose body is to be freed, dropped; else NULL, or where all
 * bodies are of requests that are being handled */
struct shed_connection *shed_largest(struct shed *s);

#endif
