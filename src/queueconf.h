/**
 * DOC: queueconf - the configuration of queues that brokers serve
 *
 * A queue is where callers of one kind hand in jobs: a host and a path prefix
 * lead to it, and it names the service whose upstreams run its tasks.  A
 * configuration is a whole; brokers replace it as one.
 */
#ifndef BM_QUEUECONF_H
#define BM_QUEUECONF_H

#include "base.h"

enum {
    HOST_SIZE = 128,   /* of a queue's host, with terminator, bytes */
    PREFIX_SIZE = 128, /* of its path prefix, likewise */
};

/**
 * struct queue_conf - one queue
 * @name: of the queue
 * @host: of requests to it, compared without regard to case
 * @prefix: of their path; the longest that fits wins
 * @service: whose upstreams run its tasks
 * @priority: 0 is served first
 * @attempts: failed runs after which a task, and its job, has failed; 1 and up
 * @timeout_us: an answer takes no longer
 * @target_us: objective for the answer beyond the work itself
 * @stretch: objective for the work, as a multiple of its longest chain
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
 * struct queue_service - a service that queues name
 * @name: of the service
 * @guarded: its upstreams refuse what does not fit; else the sender must count
 */
struct queue_service {
    struct name name;
    bool guarded;
};

/**
 * struct queueconf - a configuration
 * @rank: its operator's number; the highest is in force
 * @body_max: bytes of a job
 */
struct queueconf {
    uint64_t rank;
    struct queue_conf *queues;
    size_t n_queues;
    struct queue_service *services;
    size_t n_services;
    size_t body_max;
};

/** enum queueconf_fault - why a configuration can't be in force */
enum queueconf_fault {
    QUEUECONF_OK,
    QUEUECONF_UNREADABLE,      /* not whole, or a field of another type */
    QUEUECONF_UNKNOWN_SERVICE, /* a queue names a service that is not there */
    QUEUECONF_SAME_PLACE,      /* two queues share host and prefix */
    QUEUECONF_NO_TIMEOUT,      /* a timeout of 0 */
};

/** queueconf_fault_text() - in a few words */
const char *queueconf_fault_text(enum queueconf_fault f);

/** queueconf_check() - whether it can be in force */
enum queueconf_fault queueconf_check(const struct queueconf *c);

/** queueconf_find() - the queue of a request, or NULL.  @path is the URL's; a
 * port behind @host is ignored. */
const struct queue_conf *queueconf_find(const struct queueconf *c,
                                        const char *host, const char *path);

/** queueconf_free() - NULL is allowed */
void queueconf_free(struct queueconf *c);

#endif
