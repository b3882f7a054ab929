/**
 * DOC: httpreply - what the reducer decided, as an HTTP response
 */
#ifndef BM_HTTPREPLY_H
#define BM_HTTPREPLY_H

#include "effect.h"
#include "route.h"

enum { LOCATION_SIZE = 3 * KEY_TEXT_SIZE + 16 };

/**
 * struct httpreply - a response
 * @status: of HTTP
 * @type: media type
 * @body: owned; NULL when memory was out
 * @size: of @body
 * @retry_after_s: 0 for no Retry-After
 * @location: empty for none
 */
struct httpreply {
    int status;
    const char *type;
    char *body;
    size_t size;
    int64_t retry_after_s;
    char location[LOCATION_SIZE];
};

/** httpreply_of() - of an effect that answers a request of that kind; @key is
 * the text of the request's key */
struct httpreply httpreply_of(const struct effect *f, enum route_kind route,
                              const char *key);

/** httpreply_problem() - a refusal by the shell: nothing reached the reducer
 */
struct httpreply httpreply_problem(enum problem problem, const char *detail);

#endif
