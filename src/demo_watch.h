/**
 * DOC: demo_watch - follows the entry instances' metrics from outside
 *
 * Notices when the region is ready, whether a configuration in force ever goes
 * back, and how long an accepted one takes until it is in force everywhere.
 */
#ifndef BM_DEMO_WATCH_H
#define BM_DEMO_WATCH_H

#include "caller.h"

/** struct demo_view - one entry instance as last seen */
struct demo_view {
    bool answers;     /* at the latest look */
    uint64_t version; /* of the configuration in force */
    uint32_t held;    /* upstreams held there */
};

/** struct demo_seen - what was noticed so far */
struct demo_seen {
    uint32_t reverts;    /* times that an instance went to an older version */
    int64_t in_force_us; /* from the expectation on; -1 while it is not met */
    uint32_t behind;     /* answering instances below the expected version */
};

struct demo_watch;

/** demo_watch_start() - looks at every entry from a thread of its own; NULL
 * when that cannot be started */
struct demo_watch *demo_watch_start(const struct caller_options *entries);

/** demo_watch_ready() - whether every instance answers and they hold that
 * many upstreams together */
bool demo_watch_ready(struct demo_watch *w, uint32_t upstreams);

/** demo_watch_expect() - that version was accepted just now */
void demo_watch_expect(struct demo_watch *w, uint64_t version);

/** demo_watch_seen() - a copy of what was noticed */
struct demo_seen demo_watch_seen(struct demo_watch *w);

/** demo_watch_stop() - ends the thread and frees it */
void demo_watch_stop(struct demo_watch *w);

/** demo_watch_read() - value of a metric in a page of Prometheus text; false
 * when it is not there */
bool demo_watch_read(const char *page, const char *name, uint64_t *value);

#endif
