#include "httpserver.h"

#include <errno.h>
#include <unistd.h>

#include "base.h"
#include "netaddr.h"

bool
httpserver_start(struct httpserver *s, const struct httpserver_options *o)
{
    unsigned int flags =
        MHD_USE_EPOLL_INTERNAL_THREAD | MHD_ALLOW_SUSPEND_RESUME;
    struct netaddr address;

    if (!netaddr_parse(o->listen, &address)) {
        errno = EINVAL;
        return false;
    }
    if (address.sa.ss_family == AF_INET6) {
        flags |= MHD_USE_IPv6;
    }
    errno = 0;
    s->daemon = MHD_start_daemon(
        flags, 0, NULL, NULL, o->on_request, o->cls, MHD_OPTION_SOCK_ADDR,
        (struct sockaddr *)&address.sa, MHD_OPTION_THREAD_POOL_SIZE,
        o->threads, MHD_OPTION_CONNECTION_LIMIT, o->connections,
        MHD_OPTION_CONNECTION_TIMEOUT, o->idle_timeout_s,
        MHD_OPTION_NOTIFY_COMPLETED, o->on_completed, o->cls,
        MHD_OPTION_LISTENING_ADDRESS_REUSE, 1U, MHD_OPTION_END);
    return s->daemon != NULL;
}

bool
httpserver_drain(struct httpserver *s, int64_t timeout_ms)
{
    MHD_socket listener = MHD_quiesce_daemon(s->daemon);

    for (int64_t waited = 0; waited < timeout_ms; waited++) {
        if (atomic_load(&s->in_progress) == 0) {
            break;
        }
        (void)usleep(USEC_PER_MSEC);
    }
    if (listener != MHD_INVALID_SOCKET) {
        (void)close(listener);
    }
    return atomic_load(&s->in_progress) == 0;
}
