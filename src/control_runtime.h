/**
 * DOC: control_runtime - threads that run the control reducer
 *
 * One thread owns the reducer.  The threads of HTTP, peer connections and the
 * disk post events to its mailbox and execute its effects.
 */
#ifndef BM_CONTROL_RUNTIME_H
#define BM_CONTROL_RUNTIME_H

#include "control.h"
#include "control_http.h"
#include "peer.h"

/**
 * struct control_runtime_options - how to construct one
 * @control: options of the reducer; the runtime sets the disk identity
 * @http: options of the HTTP server; the runtime sets the callbacks
 * @peers: options of the peer connections; the runtime sets the callbacks
 * @clock: clock of all modules
 * @region: region of this member
 * @data: path of the data folder, used by this member only
 * @inbox: capacity of the event queue, a power of two
 * @registry: whether this member is also a registry of upstreams
 * @http_ops: HTTP interface; NULL for control_http_ops()
 */
struct control_runtime_options {
    struct control_options control;
    struct control_http_options http;
    struct peer_options peers;
    const struct clock *clock;
    struct name region;
    const char *data;
    unsigned int inbox;
    bool registry;
    const struct control_http_ops *http_ops;
};

struct control_runtime;

/** control_runtime_bootstrap() - initializes the data folder of a founding
 * member; returns false and logs the reason on an error */
bool control_runtime_bootstrap(const struct control_runtime_options *o,
                               const struct rec_membership *members);

/** control_runtime_bootstrap_once() - like control_runtime_bootstrap(), but
 * returns true if the folder is already initialized */
bool control_runtime_bootstrap_once(const struct control_runtime_options *o,
                                    const struct rec_membership *members);

/** control_runtime_add_contact() - adds a process that may be a member: opens
 * a connection, and queries the process while no leader is known */
void control_runtime_add_contact(struct control_runtime *r, struct name name,
                                 struct address address);

/** control_runtime_recover() - makes this member the only one of its region,
 * with the state in its data folder; returns false and logs the reason on an
 * error */
bool control_runtime_recover(const struct control_runtime_options *o,
                             const struct rec_control_member *self);

/** control_runtime_new() - reads the data folder and starts all threads;
 * returns NULL and logs the reason on an error */
struct control_runtime *
control_runtime_new(const struct control_runtime_options *o);

/** control_runtime_dump() - requests that this member's state is written to
 * the process's log as one line of JSON */
void control_runtime_dump(struct control_runtime *r);

/** control_runtime_stop() - begins a planned shutdown: the health check fails
 * at once, and a leader transfers leadership */
void control_runtime_stop(struct control_runtime *r);

/** control_runtime_stopped() - whether the planned shutdown has finished */
bool control_runtime_stopped(const struct control_runtime *r);

/** control_runtime_failed() - whether the disk failed; the process must exit
 * then */
bool control_runtime_failed(const struct control_runtime *r);

/** control_runtime_free() - waits for pending replies for a limited time, then
 * ends the threads; NULL is allowed */
void control_runtime_free(struct control_runtime *r);

#endif
