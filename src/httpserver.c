#include "httpserver.h"

#include <errno.h>
#include <stdlib.h>
#include <sys/socket.h>
#include <unistd.h>

#include "base.h"
#include "netaddr.h"
#include "stats.h"

enum {
    LOOK_SUSPEND_US = 100, /* until a connection is suspended */
    LAST_MS = 200,         /* to write the last replies */
    /* Bytes that wait unread in the kernel while a request is handled. */
    RECEIVE_BUFFER = 32 * 1024,
    /* Part of the connections that is left to accept others. */
    SPARE_DIVISOR = 8,
    STATUS_TOO_LARGE = 413,
    STATUS_UNAVAILABLE = 503,
};

/* Clients */

struct httpserver_client *
httpserver_client(struct MHD_Connection *connection)
{
    const union MHD_ConnectionInfo *info = MHD_get_connection_info(
        connection, MHD_CONNECTION_INFO_SOCKET_CONTEXT);

    return info != NULL ? info->socket_context : NULL;
}

void
httpserver_refuse_body(const struct httpserver_client *c, int status)
{
    char text[128];
    int n = snprintf(text, sizeof(text),
                     "HTTP/1.1 %d %s\r\nContent-Length: 0\r\n"
                     "Connection: close\r\n\r\n",
                     status,
                     status == STATUS_TOO_LARGE ? "Content Too Large"
                                                : "Service Unavailable");

    stats_add(&stats.http_refused, 1);
    (void)!send(c->fd, text, (size_t)n, MSG_DONTWAIT | MSG_NOSIGNAL);
}

/* libmicrohttpd finds the connection closed, and ends its request. */
static void
close_client(struct shed_connection *shed)
{
    const struct httpserver_client *c = (struct httpserver_client *)shed;

    stats_add(&stats.http_shed, 1);
    if (c->reading) {
        httpserver_refuse_body(c, STATUS_UNAVAILABLE);
    }
    (void)shutdown(c->fd, SHUT_RDWR);
}

/* Called with the lock: a client that is closed here can't end meanwhile, and
 * its descriptor is still its own. */
static void
limit_clients(struct httpserver *s)
{
    struct shed_connection *c;

    while ((c = shed_oldest(&s->shed)) != NULL ||
           (c = shed_largest(&s->shed)) != NULL) {
        close_client(c);
    }
}

static void
begin_client(struct httpserver *s, struct MHD_Connection *connection,
             void **context)
{
    const union MHD_ConnectionInfo *info =
        MHD_get_connection_info(connection, MHD_CONNECTION_INFO_CONNECTION_FD);
    struct httpserver_client *c = calloc(1, sizeof(*c));
    const int bytes = RECEIVE_BUFFER;

    if (c == NULL) {
        abort();
    }
    *context = c;
    c->fd = info != NULL ? info->connect_fd : -1;
    (void)setsockopt(c->fd, SOL_SOCKET, SO_RCVBUF, &bytes, sizeof(bytes));
    (void)pthread_mutex_lock(&s->lock);
    shed_add(&s->shed, &c->shed);
    limit_clients(s);
    (void)pthread_mutex_unlock(&s->lock);
}

static void
on_connection(void *cls, struct MHD_Connection *connection, void **context,
              enum MHD_ConnectionNotificationCode code)
{
    struct httpserver *s = cls;
    struct httpserver_client *c = *context;

    if (code == MHD_CONNECTION_NOTIFY_STARTED) {
        begin_client(s, connection, context);
        return;
    }
    (void)pthread_mutex_lock(&s->lock);
    shed_remove(&s->shed, &c->shed);
    (void)pthread_mutex_unlock(&s->lock);
    free(c);
    *context = NULL;
}

/* Returns false if the client is closed. */
static bool
update_client(struct httpserver *s, struct httpserver_client *c, bool reading,
              bool handled, size_t body)
{
    bool open;

    (void)pthread_mutex_lock(&s->lock);
    c->reading = reading;
    c->shed.handled = handled;
    shed_set_body(&s->shed, &c->shed, body);
    limit_clients(s);
    open = !c->shed.dropped;
    (void)pthread_mutex_unlock(&s->lock);
    return open;
}

void
httpserver_begin_body(struct httpserver *s, struct httpserver_client *c)
{
    (void)update_client(s, c, true, false, 0);
}

bool
httpserver_set_body(struct httpserver *s, struct httpserver_client *c,
                    size_t bytes)
{
    return update_client(s, c, c->reading, c->shed.handled, bytes);
}

bool
httpserver_end_body(struct httpserver *s, struct httpserver_client *c)
{
    return update_client(s, c, false, true, c->shed.body);
}

void
httpserver_answer(struct httpserver *s, struct httpserver_client *c)
{
    (void)update_client(s, c, false, false, c->shed.body);
}

void
httpserver_end_request(struct httpserver *s, struct httpserver_client *c)
{
    (void)update_client(s, c, false, false, 0);
}

/* Start and stop */

bool
httpserver_start(struct httpserver *s, const struct httpserver_options *o)
{
    unsigned int flags =
        MHD_ALLOW_SUSPEND_RESUME |
        (o->external ? MHD_USE_EPOLL : MHD_USE_EPOLL_INTERNAL_THREAD);
    const struct MHD_OptionItem none = {MHD_OPTION_END, 0, NULL};
    const struct MHD_OptionItem extra[] = {
        o->external ? none
                    : (struct MHD_OptionItem){MHD_OPTION_THREAD_POOL_SIZE,
                                              o->threads, NULL},
        none,
    };
    const struct MHD_OptionItem memory[] = {
        o->memory == 0
            ? none
            : (struct MHD_OptionItem){MHD_OPTION_CONNECTION_MEMORY_LIMIT,
                                      (intptr_t)o->memory, NULL},
        none,
    };
    struct netaddr address;

    if (!netaddr_parse(o->listen, &address)) {
        errno = EINVAL;
        return false;
    }
    if (address.sa.ss_family == AF_INET6) {
        flags |= MHD_USE_IPv6;
    }
    (void)pthread_mutex_init(&s->lock, NULL);
    table_init(&s->waiting, sizeof(struct httpwait *));
    shed_init(&s->shed, o->connections - o->connections / SPARE_DIVISOR,
              o->body_bytes_max);
    errno = 0;
    s->daemon = MHD_start_daemon(
        flags, 0, NULL, NULL, o->on_request, o->cls, MHD_OPTION_SOCK_ADDR,
        (struct sockaddr *)&address.sa, MHD_OPTION_ARRAY, extra,
        MHD_OPTION_ARRAY, memory, MHD_OPTION_CONNECTION_LIMIT, o->connections,
        MHD_OPTION_CONNECTION_TIMEOUT, o->idle_timeout_s,
        MHD_OPTION_NOTIFY_COMPLETED, o->on_completed, o->cls,
        MHD_OPTION_NOTIFY_CONNECTION, on_connection, s,
        MHD_OPTION_LISTENING_ADDRESS_REUSE, 1U, MHD_OPTION_END);
    if (s->daemon == NULL) {
        table_clear(&s->waiting);
        (void)pthread_mutex_destroy(&s->lock);
    }
    return s->daemon != NULL;
}

static void
await_none(struct httpserver *s, int64_t timeout_ms)
{
    for (int64_t waited = 0; waited < timeout_ms; waited++) {
        if (atomic_load(&s->in_progress) == 0) {
            return;
        }
        (void)usleep(USEC_PER_MSEC);
    }
}

int
httpserver_fd(const struct httpserver *s)
{
    const union MHD_DaemonInfo *info =
        MHD_get_daemon_info(s->daemon, MHD_DAEMON_INFO_EPOLL_FD);

    return info != NULL ? info->epoll_fd : -1;
}

void
httpserver_run(struct httpserver *s)
{
    (void)MHD_run(s->daemon);
}

int64_t
httpserver_next_ms(struct httpserver *s)
{
    MHD_UNSIGNED_LONG_LONG ms = 0;

    return MHD_get_timeout(s->daemon, &ms) == MHD_YES ? (int64_t)ms : -1;
}

uint16_t
httpserver_port(const struct httpserver *s)
{
    const union MHD_DaemonInfo *info =
        MHD_get_daemon_info(s->daemon, MHD_DAEMON_INFO_BIND_PORT);

    return info != NULL ? info->port : 0;
}

bool
httpserver_drain(struct httpserver *s, int64_t timeout_ms)
{
    MHD_socket listener = MHD_quiesce_daemon(s->daemon);

    await_none(s, timeout_ms);
    if (listener != MHD_INVALID_SOCKET) {
        (void)close(listener);
    }
    return atomic_load(&s->in_progress) == 0;
}

/* Waiting */

uint64_t
httpserver_number(const struct httpwait *w)
{
    return handle_number(w->self);
}

uint64_t
httpserver_wait(struct httpserver *s, struct httpwait *w, void *request)
{
    uint64_t number = 0;

    (void)pthread_mutex_lock(&s->lock);
    if (!s->closed) {
        struct httpwait **place = table_add(&s->waiting, &w->self);

        *place = w;
        w->request = request;
        number = handle_number(w->self);
    }
    (void)pthread_mutex_unlock(&s->lock);
    return number;
}

void
httpserver_suspend(struct httpserver *s, struct httpwait *w,
                   struct MHD_Connection *connection)
{
    MHD_suspend_connection(connection);
    (void)pthread_mutex_lock(&s->lock);
    w->suspended = true;
    (void)pthread_mutex_unlock(&s->lock);
}

void *
httpserver_take(struct httpserver *s, uint64_t number)
{
    struct httpwait **place;
    void *request = NULL;

    (void)pthread_mutex_lock(&s->lock);
    place = table_get(&s->waiting, handle_of_number(number));
    if (place != NULL) {
        request = (*place)->request;
        table_remove(&s->waiting, handle_of_number(number));
    }
    (void)pthread_mutex_unlock(&s->lock);
    return request;
}

/** next_suspended() - a request that waits, whose connection is suspended; 0
 * when there is none or it is only just being suspended (@any tells these
 * apart) */
static uint64_t
next_suspended(struct httpserver *s, bool *any)
{
    uint32_t at = 0;
    struct handle self = {0};
    struct httpwait **place;
    uint64_t number = 0;

    (void)pthread_mutex_lock(&s->lock);
    s->closed = true;
    place = table_next(&s->waiting, &at, &self);
    if (place != NULL && (*place)->suspended) {
        number = handle_number(self);
    }
    *any = place != NULL;
    (void)pthread_mutex_unlock(&s->lock);
    return number;
}

/* Kept connections go on bringing requests when the reducer has ended.  One
 * that waits for a reply then keeps its connection suspended, and
 * libmicrohttpd aborts the process for it: the planned stop would end as a
 * crash.  So none is let in any more, and each is answered.  Stopped at once,
 * libmicrohttpd would close connections before it has written these answers:
 * so there is a moment for that. */
void
httpserver_close(struct httpserver *s,
                 void (*refuse)(void *cls, uint64_t number), void *cls)
{
    for (;;) {
        bool any;
        uint64_t number = next_suspended(s, &any);

        if (number != 0) {
            refuse(cls, number);
        }
        else if (any) {
            (void)usleep(LOOK_SUSPEND_US);
        }
        else {
            break;
        }
    }
    await_none(s, LAST_MS);
}

void
httpserver_stop(struct httpserver *s)
{
    MHD_stop_daemon(s->daemon);
    table_clear(&s->waiting);
    (void)pthread_mutex_destroy(&s->lock);
}
