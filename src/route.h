/**
 * DOC: route - which request is meant by a method and a path
 */
#ifndef BM_ROUTE_H
#define BM_ROUTE_H

#include "base.h"

/* ROUTE(KIND, method, path, what follows the name).  A path that ends in a
 * slash takes a name: a key or an upstream. */
/* clang-format off */
#define ROUTE_LIST(ROUTE)                                                     \
    ROUTE(SUBMIT, "POST", "/v1/jobs", "")                                     \
    ROUTE(JOB_GET, "GET", "/v1/jobs/", "")                                    \
    ROUTE(JOB_CANCEL, "DELETE", "/v1/jobs/", "")                              \
    ROUTE(KEYS, "GET", "/v1/keys", "")                                        \
    ROUTE(ANNOUNCE, "PUT", "/v1/upstreams/", "")                              \
    ROUTE(LEAVE, "DELETE", "/v1/upstreams/", "")                              \
    ROUTE(DRAIN, "POST", "/v1/upstreams/", "/drain")                          \
    ROUTE(HEALTH, "GET", "/v1/health", "")                                    \
    ROUTE(STATE, "GET", "/v1/state", "")                                      \
    ROUTE(EXPLAIN, "GET", "/v1/explain/", "")                                 \
    ROUTE(METRICS, "GET", "/metrics", "")
/* clang-format on */

enum route_kind {
#define ROUTE(KIND, method, path, tail) ROUTE_##KIND,
    ROUTE_LIST(ROUTE)
#undef ROUTE
        ROUTES,
    ROUTE_NOT_FOUND,
    ROUTE_METHOD_NOT_ALLOWED, /* the path is known, with other methods */
};

enum { ALLOW_SIZE = 32 };

/**
 * struct route_match - what was found
 * @kind: see above
 * @name: the name in the path; empty where there is none
 * @name_truncated: the name was longer than any may be
 * @allow: for ROUTE_METHOD_NOT_ALLOWED, the value of the Allow header
 */
struct route_match {
    enum route_kind kind;
    char name[KEY_TEXT_SIZE];
    bool name_truncated;
    char allow[ALLOW_SIZE];
};

/** route_find() - @path is percent-decoded, without the query */
struct route_match route_find(const char *method, const char *path);

#endif
