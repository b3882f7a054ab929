/**
 * DOC: runtime - the threads around the entry reducer
 *
 * One thread owns the reducer: it takes events from a mailbox, steps, and
 * carries the effects out in order.  The other threads are those of httpd,
 * upclient and peer, which only put events into the mailbox.  The reducer's
 * thread never waits for any of them.
 */
#ifndef BM_RUNTIME_H
#define BM_RUNTIME_H

#include "entry.h"
#include "httpd.h"
#include "peer.h"
#include "upclient.h"

/**
 * struct runtime_options - how to construct one
 * @entry: of the reducer
 * @http: of the server; its callbacks are filled in
 * @peers: of the connections; its callbacks are filled in
 * @upstreams: of the requests to upstreams; its callbacks are filled in
 * @clock: for all of them
 * @inbox: events that may wait to be refused beyond, a power of two
 */
struct runtime_options {
    struct entry_options entry;
    struct httpd_options http;
    struct peer_options peers;
    struct upclient_options upstreams;
    const struct clock *clock;
    unsigned int inbox;
};

struct runtime;

/** runtime_new() - starts all threads; NULL, with the reason logged, when one
 * can't be started */
struct runtime *runtime_new(const struct runtime_options *o);

/** runtime_configure() - gives the reducer a configuration; takes it over */
void runtime_configure(struct runtime *r, struct config *config);

/** runtime_dump() - has the whole state logged */
void runtime_dump(struct runtime *r);

/** runtime_stop() - begins a planned stop: health says no at once */
void runtime_stop(struct runtime *r);

/** runtime_stopped() - whether nothing is in progress any more */
bool runtime_stopped(const struct runtime *r);

/** runtime_http_port() - the port of the HTTP server */
uint16_t runtime_http_port(const struct runtime *r);

/** runtime_free() - lets replies in progress go out, then ends the threads;
 * NULL is allowed */
void runtime_free(struct runtime *r);

#endif
