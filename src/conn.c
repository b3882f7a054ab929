#include "conn.h"

#include <errno.h>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <stdlib.h>
#include <sys/ioctl.h>
#include <unistd.h>

enum { BACKLOG = 128 };

static struct conn *
conn_new(int fd)
{
    struct conn *c = calloc(1, sizeof(*c));
    int on = 1;

    if (c == NULL) {
        (void)close(fd);
        errno = ENOMEM;
        return NULL;
    }
    c->fd = fd;
    (void)setsockopt(fd, IPPROTO_TCP, TCP_NODELAY, &on, sizeof(on));
    return c;
}

struct conn *
conn_dial(const struct netaddr *to)
{
    int fd = socket(to->sa.ss_family,
                    SOCK_STREAM | SOCK_NONBLOCK | SOCK_CLOEXEC, 0);

    if (fd < 0) {
        return NULL;
    }
    if (connect(fd, (const struct sockaddr *)&to->sa, to->size) != 0 &&
        errno != EINPROGRESS) {
        (void)close(fd);
        return NULL;
    }
    return conn_new(fd);
}

struct conn *
conn_accept(int listener)
{
    int fd = accept4(listener, NULL, NULL, SOCK_NONBLOCK | SOCK_CLOEXEC);

    return fd >= 0 ? conn_new(fd) : NULL;
}

int
conn_listen(const struct netaddr *at)
{
    int on = 1;
    int fd = socket(at->sa.ss_family,
                    SOCK_STREAM | SOCK_NONBLOCK | SOCK_CLOEXEC, 0);

    if (fd < 0) {
        return -1;
    }
    (void)setsockopt(fd, SOL_SOCKET, SO_REUSEADDR, &on, sizeof(on));
    if (bind(fd, (const struct sockaddr *)&at->sa, at->size) != 0 ||
        listen(fd, BACKLOG) != 0) {
        int err = errno;

        (void)close(fd);
        errno = err;
        return -1;
    }
    return fd;
}

int
conn_dialed_error(const struct conn *c)
{
    int err = 0;
    socklen_t size = sizeof(err);

    if (getsockopt(c->fd, SOL_SOCKET, SO_ERROR, &err, &size) != 0) {
        return errno;
    }
    return err;
}

static bool
later(void)
{
    return errno == EAGAIN || errno == EWOULDBLOCK || errno == EINTR;
}

ssize_t
conn_read(struct conn *c, bool *more)
{
    char *at = bytes_room(&c->in, FRAME_READ_ROOM);
    size_t room = c->in.room - c->in.end;
    ssize_t n = recv(c->fd, at, room, MSG_DONTWAIT);

    *more = n > 0 && (size_t)n == room;
    if (n > 0) {
        bytes_added(&c->in, (size_t)n);
        return n;
    }
    return n < 0 && later() ? 0 : -1;
}

bool
conn_has_input(const struct conn *c)
{
    int n = 0;

    return ioctl(c->fd, FIONREAD, &n) == 0 && n > 0;
}

ssize_t
conn_write(struct conn *c)
{
    size_t size = bytes_size(&c->out);
    ssize_t n;

    if (size == 0) {
        return 0;
    }
    n = send(c->fd, c->out.data + c->out.start, size,
             MSG_DONTWAIT | MSG_NOSIGNAL);
    if (n < 0) {
        return later() ? 0 : -1;
    }
    bytes_drop(&c->out, (size_t)n);
    return n;
}

void
conn_free(struct conn *c)
{
    (void)close(c->fd);
    bytes_free(&c->in);
    bytes_free(&c->out);
    free(c);
}
