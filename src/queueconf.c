#include "queueconf.h"

#include <stdlib.h>
#include <string.h>
#include <strings.h>

const char *
queueconf_error_text(enum queueconf_error f)
{
    static const char *const texts[] = {
        [QUEUECONF_OK] = "valid",
        [QUEUECONF_MALFORMED] = "cannot be read as a whole",
        [QUEUECONF_UNKNOWN_SERVICE] = "a queue names an unknown service",
        [QUEUECONF_DUPLICATE_ROUTE] = "two queues share host and prefix",
        [QUEUECONF_ZERO_TIMEOUT] = "a queue has a timeout of 0",
    };

    return texts[f];
}

static bool
has_service(const struct queueconf *c, struct name name)
{
    for (size_t i = 0; i < c->n_services; i++) {
        if (name_equal(c->services[i].name, name)) {
            return true;
        }
    }
    return false;
}

/* Element of the array that routes_unique() sorts. */
struct queue_ref {
    const struct queue_conf *queue;
};

static int
compare_routes(const void *a, const void *b)
{
    const struct queue_conf *x = ((const struct queue_ref *)a)->queue;
    const struct queue_conf *y = ((const struct queue_ref *)b)->queue;
    int hosts = strcasecmp(x->host, y->host);

    return hosts != 0 ? hosts : strcmp(x->prefix, y->prefix);
}

/* Sorts instead of comparing all pairs: configurations have hundreds of queues
 * and are checked often when changes come in series. */
static bool
routes_unique(const struct queueconf *c)
{
    struct queue_ref *sorted = calloc(c->n_queues + 1, sizeof(*sorted));
    bool unique = true;

    if (sorted == NULL) {
        abort();
    }
    for (size_t i = 0; i < c->n_queues; i++) {
        sorted[i].queue = &c->queues[i];
    }
    qsort(sorted, c->n_queues, sizeof(*sorted), compare_routes);
    for (size_t i = 1; i < c->n_queues && unique; i++) {
        unique = compare_routes(&sorted[i - 1], &sorted[i]) != 0;
    }
    free(sorted);
    return unique;
}

enum queueconf_error
queueconf_check(const struct queueconf *c)
{
    for (size_t i = 0; i < c->n_queues; i++) {
        if (c->queues[i].timeout_us <= 0) {
            return QUEUECONF_ZERO_TIMEOUT;
        }
        if (!has_service(c, c->queues[i].service)) {
            return QUEUECONF_UNKNOWN_SERVICE;
        }
    }
    return routes_unique(c) ? QUEUECONF_OK : QUEUECONF_DUPLICATE_ROUTE;
}

static size_t
host_length(const char *host)
{
    const char *port = strchr(host, ':');

    return port != NULL ? (size_t)(port - host) : strlen(host);
}

const struct queue_conf *
queueconf_find(const struct queueconf *c, const char *host, const char *path)
{
    const struct queue_conf *best = NULL;
    size_t best_length = 0;
    size_t n = host_length(host);

    for (size_t i = 0; i < c->n_queues; i++) {
        const struct queue_conf *q = &c->queues[i];
        size_t length = strlen(q->prefix);

        if (strlen(q->host) == n && strncasecmp(q->host, host, n) == 0 &&
            strncmp(path, q->prefix, length) == 0 &&
            (best == NULL || length > best_length)) {
            best = q;
            best_length = length;
        }
    }
    return best;
}

void
queueconf_free(struct queueconf *c)
{
    if (c != NULL) {
        free(c->queues);
        free(c->services);
        free(c);
    }
}
