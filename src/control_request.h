/**
 * DOC: control_request - converts HTTP requests to reducer events, and the
 * reducer's answers to HTTP responses
 */
#ifndef BM_CONTROL_REQUEST_H
#define BM_CONTROL_REQUEST_H

#include "control_effect.h"
#include "control_mail.h"

/* HTTP routes: CONTROL_ROUTE(NAME, method, path). */
/* clang-format off */
#define CONTROL_ROUTE_LIST(CONTROL_ROUTE)                                     \
    CONTROL_ROUTE(PUBLISH, "POST", "/v1/config")                              \
    CONTROL_ROUTE(CONFIG, "GET", "/v1/config")                                \
    CONTROL_ROUTE(HISTORY, "GET", "/v1/config/history")                       \
    CONTROL_ROUTE(CHANGE, "POST", "/v1/members")                              \
    CONTROL_ROUTE(EVACUATE, "POST", "/v1/evacuations")                        \
    CONTROL_ROUTE(STATUS, "GET", "/v1/status")                                \
    CONTROL_ROUTE(STATE, "GET", "/v1/state")                                  \
    CONTROL_ROUTE(HEALTH, "GET", "/v1/health")                                \
    CONTROL_ROUTE(METRICS, "GET", "/metrics")
/* clang-format on */

enum control_route {
#define CONTROL_ROUTE(NAME, method, path) CONTROL_ROUTE_##NAME,
    CONTROL_ROUTE_LIST(CONTROL_ROUTE)
#undef CONTROL_ROUTE
        CONTROL_ROUTE_METHOD, /* the path exists, but not with this method */
    CONTROL_ROUTE_NONE,
};

/** control_route_find() - the route of a request */
enum control_route control_route_find(const char *method, const char *path);

/** control_route_is_write() - whether the route changes state, so that
 * requests must be signed */
bool control_route_is_write(enum control_route route);

/** struct control_query - parameters of the URL, see struct cev_read */
struct control_query {
    uint64_t version;
    uint32_t limit;
    bool local;
};

/** struct control_rejection - why a request is rejected before it reaches the
 * reducer */
struct control_rejection {
    enum control_result result;
    char detail[DETAIL_SIZE];
};

/** control_request_parse() - parses a request
 * @route: of the request
 * @query: parameters of the URL
 * @publisher: name of the operator that signed the request
 * @body: of the request; may be NULL
 * @size: bytes of @body
 * @id: request number that the answer refers to
 * @why: set when the body is invalid
 *
 * Returns the event, owned by the caller; NULL when the body is invalid. */
struct control_mail *control_request_parse(enum control_route route,
                                           const struct control_query *query,
                                           struct name publisher,
                                           const char *body, size_t size,
                                           uint64_t id,
                                           struct control_rejection *why);

/**
 * struct control_response - an HTTP response
 * @status: HTTP status
 * @content_type: media type, static
 * @body: owned
 * @location: of a redirection; else empty
 * @retry_after: send a Retry-After header
 */
struct control_response {
    int status;
    const char *content_type;
    char *body;
    char location[512];
    bool retry_after;
};

/** control_response_from_effect() - the response for a CE_REPLY or CE_TEXT;
 * @path and
 * @query (with its "?", or empty) give the location of a redirection */
struct control_response
control_response_from_effect(enum control_route route,
                             const struct control_effect *f, const char *path,
                             const char *query);

/** control_response_rejection() - the response to a rejected request */
struct control_response
control_response_rejection(const struct control_rejection *why);

#endif
