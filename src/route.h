/**
 * DOC: route - finds the route of an HTTP request by method and path
 */
#ifndef BM_ROUTE_H
#define BM_ROUTE_H

#include "base.h"

/* ROUTE(KIND, method, path, suffix after the name).  A path that ends in a
 * slash is followed by a name: a key or an upstream. */
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
    ROUTE_METHOD_NOT_ALLOWED, /* the path exists, but not with this method */
};

enum { ALLOW_SIZE = 32 };

/**
 * struct route_match - result of route_find()
 * @kind: the route, ROUTE_NOT_FOUND or ROUTE_METHOD_NOT_ALLOWED
 * @name: name in the path; empty if the route has none
 * @name_truncated: the name was too long and is truncated
 * @allow: for ROUTE_METHOD_NOT_ALLOWED, the value of the Allow header
 */
struct route_match {
    enum route_kind kind;
    char name[KEY_TEXT_SIZE];
    bool name_truncated;
    char allow[ALLOW_SIZE];
};

/** route_find() - finds the route of a request; @path is percent-decoded and
 * without the query */
struct route_match route_find(const char *method, const char *path);

#endif
