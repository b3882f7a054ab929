/**
 * DOC: broker_runtime - the thread around the broker reducer
 *
 * One thread serves callers, calls upstreams and owns the reducer: on a
 * quarter of a core, handing work over to another thread costs more than the
 * decisions. The thread of the peer module, which exchanges messages with the
 * other processes, posts them to this thread's mailbox.  The format of
 * callers' requests and answers is defined by struct caller_codec.
 */
#ifndef BM_BROKER_RUNTIME_H
#define BM_BROKER_RUNTIME_H

#include "broker.h"
#include "httpapi.h"
#include "leaseclient.h"
#include "peer.h"

/** enum caller_request_kind - kinds of callers' requests */
enum caller_request_kind {
    CALLER_SUBMIT,
    CALLER_CANCEL,
    CALLER_COUNT_WAITING, /* number of waiting jobs of a queue */
    CALLER_REPLY_NOW, /* answered by the codec itself, such as a bad request */
    CALLER_NO_QUEUE,  /* likewise; the path is of no configured queue */
};

/**
 * struct caller_request - a caller's request, decoded
 * @kind: decides which of the other fields are set
 * @submit: of CALLER_SUBMIT; its spec and groups are owned.  The runtime fills
 *          in the request number.
 * @cancel: of CALLER_CANCEL; likewise
 * @queue: of CALLER_COUNT_WAITING; borrowed from the configuration
 * @response: of CALLER_REPLY_NOW and CALLER_NO_QUEUE
 */
struct caller_request {
    enum caller_request_kind kind;
    struct bev_submit submit;
    struct bev_cancel cancel;
    const struct queue_conf *queue;
    struct httpapi_response response;
};

/**
 * struct caller_codec - format of callers' requests and answers
 * @decode: decodes a request; @queues is NULL before there is a configuration
 * @encode_answer: encodes the answer to a submit or cancel
 * @encode_count: encodes the number of waiting jobs
 * @ready_path: path of the platform's readiness probe
 */
struct caller_codec {
    void (*decode)(const struct httpapi_request *r,
                   const struct queueconf *queues, struct caller_request *out);
    void (*encode_answer)(const struct be_answer *a,
                          struct httpapi_response *out);
    void (*encode_count)(uint32_t waiting, struct httpapi_response *out);
    const char *ready_path;
};

/**
 * struct broker_runtime_options - configuration of a broker_runtime
 * @broker: options of the reducer
 * @peers: options of the connections to other processes; the callbacks are
 *         filled in
 * @upstreams: options of the calls to upstreams; the callbacks are filled in
 * @codec: format of callers' requests and answers
 * @listen_callers: IP:PORT for callers
 * @listen_ready: IP:PORT of the readiness probe; empty for none
 * @listen_metrics: IP:PORT of the metrics; empty for none
 * @connections_max: limit of callers' connections
 * @idle_timeout_s: after which an idle connection of a caller is closed
 * @body_max: limit of a request's body in bytes, until a configuration names
 *            another one
 * @body_bytes_max: limit of the memory of all bodies in bytes; no body is
 *                  longer than half of it
 * @clock: used by the runtime and all its parts
 */
struct broker_runtime_options {
    struct broker_options broker;
    struct peer_options peers;
    struct leaseclient_options upstreams;
    const struct caller_codec *codec;
    struct address listen_callers;
    struct address listen_ready;
    struct address listen_metrics;
    unsigned int connections_max;
    unsigned int idle_timeout_s;
    size_t body_max;
    size_t body_bytes_max;
    const struct clock *clock;
};

struct broker_runtime;

/** broker_runtime_new() - starts the threads; NULL on failure, which is logged
 */
struct broker_runtime *
broker_runtime_new(const struct broker_runtime_options *o);

/** broker_runtime_add_registry() - adds a registry to connect to */
void broker_runtime_add_registry(struct broker_runtime *r, struct name name,
                                 struct address address);

/** broker_runtime_dump() - has the broker's state written to the log */
void broker_runtime_dump(struct broker_runtime *r);

/** broker_runtime_stop() - begins a planned stop */
void broker_runtime_stop(struct broker_runtime *r);

/** broker_runtime_stopped() - whether the planned stop is complete */
bool broker_runtime_stopped(const struct broker_runtime *r);

/** broker_runtime_free() - ends the threads; NULL is allowed */
void broker_runtime_free(struct broker_runtime *r);

#endif
