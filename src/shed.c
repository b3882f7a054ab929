#include "shed.h"

void
shed_init(struct shed *s, unsigned int connections_max, size_t body_bytes_max)
{
    *s = (struct shed){.connections_max = connections_max,
                       .body_bytes_max = body_bytes_max};
    TAILQ_INIT(&s->open);
}

void
shed_add(struct shed *s, struct shed_connection *c)
{
    *c = (struct shed_connection){.dropped = false};
    TAILQ_INSERT_TAIL(&s->open, c, link);
    s->n++;
}

void
shed_remove(struct shed *s, struct shed_connection *c)
{
    if (!c->dropped) {
        shed_set_body(s, c, 0);
        TAILQ_REMOVE(&s->open, c, link);
        s->n--;
    }
}

void
shed_set_body(struct shed *s, struct shed_connection *c, size_t bytes)
{
    if (!c->dropped) {
        s->body_bytes = s->body_bytes - c->body + bytes;
        c->body = bytes;
    }
}

static struct shed_connection *
drop(struct shed *s, struct shed_connection *c)
{
    if (c != NULL) {
        shed_remove(s, c);
        c->dropped = true;
    }
    return c;
}

struct shed_connection *
shed_oldest(struct shed *s)
{
    struct shed_connection *c = TAILQ_FIRST(&s->open);
    unsigned int excess =
        s->n > s->connections_max ? s->n - s->connections_max : 0;

    if (excess == 0) {
        return NULL;
    }
    /* The newest ones have had no time to send a request yet. */
    for (unsigned int left = s->n; left > excess; left--) {
        if (!c->handled) {
            return drop(s, c);
        }
        c = TAILQ_NEXT(c, link);
    }
    return NULL;
}

struct shed_connection *
shed_largest(struct shed *s)
{
    struct shed_connection *largest = NULL;
    struct shed_connection *c;

    if (s->body_bytes <= s->body_bytes_max) {
        return NULL;
    }
    TAILQ_FOREACH(c, &s->open, link)
    {
        if (!c->handled && c->body > (largest != NULL ? largest->body : 0)) {
            largest = c;
        }
    }
    return drop(s, largest);
}
