/**
 * DOC: queueconf - configuration of the queues that brokers serve
 *
 * Callers submit jobs to a queue, which is selected by the host and the path
 * prefix of the request.  A queue names the service whose upstreams run its
 * tasks.  Brokers replace a configuration only as a whole.
 */
#ifndef BM_QUEUECONF_H
#define BM_QUEUECONF_H

#include "base.h"

enum {
    HOST_SIZE = 128,   /* a queue's host with terminator, bytes */
    PREFIX_SIZE = 128, /* a queue's path prefix with terminator, bytes */
};

/**
 * struct queue_conf - one queue
 * @name: name of the queue
 * @host: host of its requests, compared case-insensitively
 * @prefix: path prefix of its requests; the longest matching prefix is used
 * @service: service whose upstreams run its tasks
 * @priority: 0 is the highest priority
 * @attempts: failed runs after which a task and its job fail; at least 1
 * @timeout_us: time limit for the answer to a job
 * @target_us: objective for the response time in excess of the work itself
 * @stretch: objective for the time of the work, as a multiple of the longest
 *           chain of the job's tasks
 */
struct queue_conf {
    struct name name;
    char host[HOST_SIZE];
    char prefix[PREFIX_SIZE];
    struct name service;
    uint32_t priority;
    uint32_t attempts;
    int64_t timeout_us;
    int64_t target_us;
    double stretch;
};

/**
 * struct queue_service - a service that queues refer to
 * @name: name of the service
 * @guarded: upstreams reject tasks beyond their capacity; if not set, the
 *           sender must keep count of their free capacity
 */
struct queue_service {
    struct name name;
    bool guarded;
};

/**
 * struct queueconf - a configuration
 * @rank: number assigned by the operator; the highest one is in force
 * @queues: the queues
 * @n_queues: number of @queues
 * @services: services of the queues
 * @n_services: number of @services
 * @body_max: largest body of a job, bytes
 */
struct queueconf {
    uint64_t rank;
    struct queue_conf *queues;
    size_t n_queues;
    struct queue_service *services;
    size_t n_services;
    size_t body_max;
};

/** enum queueconf_error - why a configuration is invalid */
enum queueconf_error {
    QUEUECONF_OK,
    QUEUECONF_MALFORMED,       /* incomplete, or a field has a wrong type */
    QUEUECONF_UNKNOWN_SERVICE, /* a queue names an undefined service */
    QUEUECONF_DUPLICATE_ROUTE, /* two queues have the same host and prefix */
    QUEUECONF_ZERO_TIMEOUT,    /* the timeout of a queue is 0 */
};

/** queueconf_error_text() - short description of a fault */
const char *queueconf_error_text(enum queueconf_error f);

/** queueconf_check() - validates a configuration */
enum queueconf_error queueconf_check(const struct queueconf *c);

/** queueconf_find() - the queue that serves a request, or NULL.  @path is the
 * path of the URL; a port in @host is ignored. */
const struct queue_conf *queueconf_find(const struct queueconf *c,
                                        const char *host, const char *path);

/** queueconf_free() - NULL is allowed */
void queueconf_free(struct queueconf *c);

#endif
