/**
 * DOC: control_runtime - the threads around the control reducer
 *
 * One thread owns the reducer; those of HTTP, peer and the disk put events
 * into its mailbox and carry its effects out.
 */
#ifndef BM_CONTROL_RUNTIME_H
#define BM_CONTROL_RUNTIME_H

#include "control.h"
#include "control_http.h"
#include "peer.h"

/**
 * struct control_runtime_options - how to construct one
 * @control: of the reducer; its disk identity is filled in
 * @http: of the server; its callbacks are filled in
 * @peers: of the connections; its callbacks are filled in
 * @clock: for all of them
 * @region: of this member
 * @data: folder of its own
 * @inbox: events that may wait, a power of two
 * @registry: serves as a registry of upstreams, too
 * @http_ops: the HTTP interface; NULL for ours
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

/** control_runtime_found() - makes the data folder that of a founding member;
 * false with the reason logged */
bool control_runtime_found(const struct control_runtime_options *o,
                           const struct rec_membership *members);

/** control_runtime_found_once() - the same, where the folder is not in use
 * yet; true where it is */
bool control_runtime_found_once(const struct control_runtime_options *o,
                                const struct rec_membership *members);

/** control_runtime_contact() - a process that may be a member: it is connected
 * to, and asked where a leader is not heard */
void control_runtime_contact(struct control_runtime *r, struct name name,
                             struct address address);

/** control_runtime_recover() - makes this member, with what its data folder
 * holds, the only one of its region; false with the reason logged */
bool control_runtime_recover(const struct control_runtime_options *o,
                             const struct rec_control_member *self);

/** control_runtime_new() - reads the data folder and starts all threads; NULL
 * with the reason logged */
struct control_runtime *
control_runtime_new(const struct control_runtime_options *o);

/** control_runtime_dump() - has the whole state logged */
void control_runtime_dump(struct control_runtime *r);

/** control_runtime_stop() - begins a planned stop: health says no at once, a
 * leader hands over */
void control_runtime_stop(struct control_runtime *r);

/** control_runtime_stopped() - whether nothing is in progress any more */
bool control_runtime_stopped(const struct control_runtime *r);

/** control_runtime_failed() - the disk failed; the process must end */
bool control_runtime_failed(const struct control_runtime *r);

/** control_runtime_free() - lets replies go out, then ends the threads; NULL
 * is allowed */
void control_runtime_free(struct control_runtime *r);

#endif
