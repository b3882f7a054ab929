#include "netaddr.h"

#include <arpa/inet.h>
#include <errno.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

static bool
parse_port(const char *text, uint16_t *port)
{
    char *end;
    unsigned long n;

    errno = 0;
    n = strtoul(text, &end, 10);
    if (errno != 0 || text[0] < '0' || text[0] > '9' || *end != '\0' ||
        n > 65535) {
        return false;
    }
    *port = (uint16_t)n;
    return true;
}

static bool
parse_v6(const char *host, uint16_t port, struct netaddr *out)
{
    struct sockaddr_in6 *in6 = (struct sockaddr_in6 *)&out->sa;

    in6->sin6_family = AF_INET6;
    in6->sin6_port = htons(port);
    out->size = sizeof(*in6);
    return inet_pton(AF_INET6, host, &in6->sin6_addr) == 1;
}

static bool
parse_v4(const char *host, uint16_t port, struct netaddr *out)
{
    struct sockaddr_in *in = (struct sockaddr_in *)&out->sa;

    in->sin_family = AF_INET;
    in->sin_port = htons(port);
    out->size = sizeof(*in);
    return inet_pton(AF_INET, host, &in->sin_addr) == 1;
}

bool
netaddr_parse(const char *text, struct netaddr *out)
{
    const char *colon = strrchr(text, ':');
    char host[INET6_ADDRSTRLEN + 2];
    uint16_t port;
    size_t n;

    memset(out, 0, sizeof(*out));
    if (colon == NULL || !parse_port(colon + 1, &port)) {
        return false;
    }
    n = (size_t)(colon - text);
    if (n == 0 || n >= sizeof(host)) {
        return false;
    }
    memcpy(host, text, n);
    host[n] = '\0';
    if (host[0] == '[' && host[n - 1] == ']') {
        host[n - 1] = '\0';
        return parse_v6(host + 1, port, out);
    }
    return parse_v4(host, port, out);
}

uint16_t
netaddr_port(const struct netaddr *a)
{
    if (a->sa.ss_family == AF_INET6) {
        return ntohs(((const struct sockaddr_in6 *)&a->sa)->sin6_port);
    }
    return ntohs(((const struct sockaddr_in *)&a->sa)->sin_port);
}
