/**
 * DOC: broker_runtime - the thread around the broker reducer
 *
 * One thread serves callers, speaks with upstreams and owns the reducer: on a
 * quarter of a core a hand-over between threads costs more than the decisions.
 * The thread of peer, which speaks with the other processes, puts messages
 * into its mailbox.  How callers' requests look is a table of functions.
 */
#ifndef BM_BROKER_RUNTIME_H
#define BM_BROKER_RUNTIME_H

#include "broker.h"
#include "httpapi.h"
#include "leaseclient.h"
#include "peer.h"

/** enum caller_request_kind - what a caller's request asks for */
enum caller_request_kind {
    CALLER_SUBMIT,
    CALLER_CANCEL,
    CALLER_COUNT_WAITING, /* how many jobs of a queue wait */
    CALLER_REPLY_NOW,     /* nothing: the answer stands already */
    CALLER_NO_QUEUE, /* likewise: no queue of the configuration is meant */
};

/**
 * struct caller_request - a caller's request, decoded
 * @kind: decides which of the others count
 * @submit: its spec and groups are owned; the request number is filled in
 * @cancel: likewise
 * @queue: whose jobs are counted; of the configuration
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
 * struct caller_codec - how callers' requests and answers look
 * @decode: a request; @queues is NULL before there is a configuration
 * @encode_answer: what becomes of a job, or of a cancel
 * @encode_count: how many jobs wait
 * @ready_path: of the platform's question whether to send callers here
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
 * struct broker_runtime_options - how to construct one
 * @broker: of the reducer
 * @peers: of the connections; its callbacks are filled in
 * @upstreams: of the calls; its callbacks are filled in
 * @codec: how they speak
 * @listen_callers: IP:PORT
 * @listen_ready: IP:PORT where readiness is asked for; empty for none
 * @listen_metrics: IP:PORT; empty for none
 * @connections_max: of callers at a time
 * @idle_timeout_s: of their silent connections
 * @body_max: bytes of a job
 * @clock: for all of them
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
    const struct clock *clock;
};

struct broker_runtime;

/** broker_runtime_new() - starts the threads; NULL with the reason logged */
struct broker_runtime *
broker_runtime_new(const struct broker_runtime_options *o);

/** broker_runtime_add_registry() - one more registry to connect to */
void broker_runtime_add_registry(struct broker_runtime *r, struct name name,
                                 struct address address);

/** broker_runtime_stop() - begins a planned stop */
void broker_runtime_stop(struct broker_runtime *r);

/** broker_runtime_stopped() - whether nothing is in progress any more */
bool broker_runtime_stopped(const struct broker_runtime *r);

/** broker_runtime_free() - ends the threads; NULL is allowed */
void broker_runtime_free(struct broker_runtime *r);

#endif
