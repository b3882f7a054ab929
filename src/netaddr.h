/**
 * DOC: netaddr - "IP:PORT" as text and as the socket interface wants it
 */
#ifndef BM_NETADDR_H
#define BM_NETADDR_H

#include <sys/socket.h>

#include "base.h"

/** struct netaddr - an address for bind() and connect() */
struct netaddr {
    struct sockaddr_storage sa;
    socklen_t size;
};

/** netaddr_parse() - reads "1.2.3.4:80" or "[::1]:80"; false where it is
 * neither.  Names are not looked up: processes know each other by number. */
bool netaddr_parse(const char *text, struct netaddr *out);

/** netaddr_port() - the port, for sockets that were bound to port 0 */
uint16_t netaddr_port(const struct netaddr *a);

#endif
