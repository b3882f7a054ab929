/**
 * DOC: net - sockets on loopback for tests of the shells
 *
 * Nothing here gives a verdict by time: waits end when the thing happens, and
 * after NET_PATIENCE_MS only so that a broken build ends at all.
 */
#ifndef BM_NET_H
#define BM_NET_H

#include <pthread.h>
#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

enum { NET_PATIENCE_MS = 20000, NET_TEXT_SIZE = 8192 };

/** net_listen() - a listening socket on any port of loopback */
int net_listen(uint16_t *port);

/** net_accept() - the next connection; -1 when there is none in time */
int net_accept(int listener);

/** net_connect() - a connection to a port of loopback */
int net_connect(uint16_t port);

/** net_send() - all of it; false when the connection is over */
bool net_send(int fd, const void *data, size_t size);

/** net_send_text() - the text without its terminator */
bool net_send_text(int fd, const char *text);

/** net_read_http() - reads one request or response with its body, by its
 * Content-Length; false when the connection ended before */
bool net_read_http(int fd, char out[NET_TEXT_SIZE]);

/** net_closed() - waits until the other end has closed the connection */
bool net_closed(int fd);

/** net_await() - waits until @done says so; false after the patience */
bool net_await(bool (*done)(void *ctx), void *ctx);

#endif
