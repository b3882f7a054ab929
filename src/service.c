#include "service.h"

#include <stdlib.h>
#include <string.h>

static void *
copy_array(const void *from, size_t n, size_t size)
{
    void *to = calloc(n > 0 ? n : 1, size);

    if (to != NULL && n > 0) {
        memcpy(to, from, n * size);
    }
    return to;
}

struct config *
config_copy(const struct config *c)
{
    struct config *d = calloc(1, sizeof(*d));

    if (d == NULL) {
        return NULL;
    }
    *d = *c;
    d->services = copy_array(c->services, c->n_services, sizeof(*c->services));
    d->teams = copy_array(c->teams, c->n_teams, sizeof(*c->teams));
    if (d->services == NULL || d->teams == NULL) {
        config_free(d);
        return NULL;
    }
    return d;
}

void
config_free(struct config *c)
{
    if (c == NULL) {
        return;
    }
    free(c->services);
    free(c->teams);
    free(c);
}

const struct service_conf *
config_service(const struct config *c, struct name name)
{
    for (size_t i = 0; c != NULL && i < c->n_services; i++) {
        if (name_equal(c->services[i].name, name)) {
            return &c->services[i];
        }
    }
    return NULL;
}

const struct team_conf *
config_team(const struct config *c, struct name name)
{
    for (size_t i = 0; c != NULL && i < c->n_teams; i++) {
        if (name_equal(c->teams[i].name, name)) {
            return &c->teams[i];
        }
    }
    return NULL;
}
