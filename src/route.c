#include "route.h"

#include <stdio.h>
#include <string.h>

static const struct {
    const char *method;
    const char *path;
    const char *tail;
} routes[] = {
#define ROUTE(KIND, method, path, tail) {method, path, tail},
    ROUTE_LIST(ROUTE)
#undef ROUTE
};

/* Whether @path matches route @i; if so, sets @name to the name within the
 * path and @n to the length of the name. */
static bool
path_matches(size_t i, const char *path, const char **name, size_t *n)
{
    size_t head = strlen(routes[i].path);
    size_t tail = strlen(routes[i].tail);
    size_t size = strlen(path);

    if (strncmp(path, routes[i].path, head) != 0) {
        return false;
    }
    *name = path + head;
    *n = size - head;
    if (routes[i].path[head - 1] != '/') {
        return *n == 0;
    }
    if (*n <= tail || strcmp(path + size - tail, routes[i].tail) != 0) {
        return false;
    }
    *n -= tail;
    return true;
}

static void
add_allowed(struct route_match *m, const char *method)
{
    size_t n = strlen(m->allow);

    (void)snprintf(m->allow + n, sizeof(m->allow) - n, "%s%s",
                   n > 0 ? ", " : "", method);
}

struct route_match
route_find(const char *method, const char *path)
{
    struct route_match m = {.kind = ROUTE_NOT_FOUND};
    const char *name;
    size_t n;

    for (size_t i = 0; i < ROUTES; i++) {
        if (!path_matches(i, path, &name, &n)) {
            continue;
        }
        if (strcmp(method, routes[i].method) == 0) {
            m.kind = (enum route_kind)i;
            m.name_truncated = n >= sizeof(m.name);
            (void)snprintf(m.name, sizeof(m.name), "%.*s", (int)n, name);
            return m;
        }
        m.kind = ROUTE_METHOD_NOT_ALLOWED;
        add_allowed(&m, routes[i].method);
    }
    return m;
}
