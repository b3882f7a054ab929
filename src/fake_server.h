/**
 * DOC: fake_server - serves what an upstream serves (libmicrohttpd)
 *
 * A thread per connection; the decisions are fake.c's, under one mutex.
 */
#ifndef BM_FAKE_SERVER_H
#define BM_FAKE_SERVER_H

#include "clock.h"
#include "fake.h"

/**
 * struct fake_server_options - how to construct a server
 * @fake: lent; the server is its only user until it is stopped
 * @listen: IP:PORT
 * @record: descriptor of the record file, or -1
 * @connections: most at a time
 * @clock: for records and run times
 */
struct fake_server_options {
    struct fake *fake;
    const char *listen;
    int record;
    uint32_t connections;
    const struct clock *clock;
};

struct fake_server;

/** fake_server_start() - NULL when it cannot listen there, with errno */
struct fake_server *fake_server_start(const struct fake_server_options *o);

/** fake_server_leave() - starts are refused from now on */
void fake_server_leave(struct fake_server *s);

/** fake_server_drain() - waits until nothing runs and no request came for
 * @quiet_us.  Without that pause a start that was sent before the sender knew
 * would end in a reset, and nobody could say whether it ran. */
void fake_server_drain(struct fake_server *s, int64_t quiet_us);

/** fake_server_stop() - closes everything and frees it */
void fake_server_stop(struct fake_server *s);

/** fake_server_running() - tasks that run now */
uint32_t fake_server_running(struct fake_server *s);

#endif
