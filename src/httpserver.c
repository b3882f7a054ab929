#include "httpserver.h"

#include <errno.h>
#include <unistd.h>

#include "base.h"
#include "netaddr.h"

enum {
    LOOK_SUSPEND_US = 100, /* until a connection is suspended */
    LAST_MS = 200,         /* to write the last replies */
};

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
    errno = 0;
    s->daemon = MHD_start_daemon(
        flags, 0, NULL, NULL, o->on_request, o->cls, MHD_OPTION_SOCK_ADDR,
        (struct sockaddr *)&address.sa, MHD_OPTION_ARRAY, extra,
        MHD_OPTION_ARRAY, memory, MHD_OPTION_CONNECTION_LIMIT, o->connections,
        MHD_OPTION_CONNECTION_TIMEOUT, o->idle_timeout_s,
        MHD_OPTION_NOTIFY_COMPLETED, o->on_completed, o->cls,
        MHD_OPTION_NOTIFY_CONNECTION, o->on_connection, o->cls,
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
