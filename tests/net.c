#include "net.h"

#include <arpa/inet.h>
#include <poll.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <strings.h>
#include <sys/socket.h>
#include <unistd.h>

static struct sockaddr_in
loopback(uint16_t port)
{
    struct sockaddr_in a = {.sin_family = AF_INET, .sin_port = htons(port)};

    a.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
    return a;
}

static bool
readable(int fd)
{
    struct pollfd p = {.fd = fd, .events = POLLIN};

    return poll(&p, 1, NET_PATIENCE_MS) == 1;
}

int
net_listen(uint16_t *port)
{
    struct sockaddr_in a = loopback(0);
    socklen_t size = sizeof(a);
    int fd = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);

    if (fd < 0 || bind(fd, (struct sockaddr *)&a, sizeof(a)) != 0 ||
        listen(fd, 64) != 0 ||
        getsockname(fd, (struct sockaddr *)&a, &size) != 0) {
        abort();
    }
    *port = ntohs(a.sin_port);
    return fd;
}

int
net_accept(int listener)
{
    return readable(listener) ? accept(listener, NULL, NULL) : -1;
}

int
net_connect(uint16_t port)
{
    struct sockaddr_in a = loopback(port);
    int fd = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);

    if (fd < 0 || connect(fd, (struct sockaddr *)&a, sizeof(a)) != 0) {
        abort();
    }
    return fd;
}

bool
net_send(int fd, const void *data, size_t size)
{
    const char *at = data;

    while (size > 0) {
        ssize_t n = send(fd, at, size, MSG_NOSIGNAL);

        if (n <= 0) {
            return false;
        }
        at += n;
        size -= (size_t)n;
    }
    return true;
}

bool
net_send_text(int fd, const char *text)
{
    return net_send(fd, text, strlen(text));
}

/* Length of head and body; 0 while the head is not whole. */
static size_t
whole_size(const char *text)
{
    const char *end = strstr(text, "\r\n\r\n");
    const char *length;

    if (end == NULL) {
        return 0;
    }
    length = strcasestr(text, "content-length:");
    return (size_t)(end + 4 - text) +
           (length != NULL && length < end
                ? strtoul(length + strlen("content-length:"), NULL, 10)
                : 0);
}

bool
net_read_http(int fd, char out[NET_TEXT_SIZE])
{
    size_t n = 0;

    out[0] = '\0';
    while (whole_size(out) == 0 || n < whole_size(out)) {
        ssize_t more;

        if (n + 1 >= NET_TEXT_SIZE || !readable(fd)) {
            return false;
        }
        more = recv(fd, out + n, NET_TEXT_SIZE - 1 - n, 0);
        if (more <= 0) {
            return false;
        }
        n += (size_t)more;
        out[n] = '\0';
    }
    return true;
}

bool
net_closed(int fd)
{
    char byte;

    while (readable(fd)) {
        if (recv(fd, &byte, 1, 0) <= 0) {
            return true;
        }
    }
    return false;
}

bool
net_await(bool (*done)(void *ctx), void *ctx)
{
    for (int i = 0; i < NET_PATIENCE_MS; i++) {
        if (done(ctx)) {
            return true;
        }
        (void)usleep(1000);
    }
    return false;
}
