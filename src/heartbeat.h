/**
 * DOC: heartbeat - when a connection must carry a frame, and when it is silent
 *
 * Functions of times and of one connection's state, without input or output.
 * Load: with 300 instances a broker has some 250 connections, most of which
 * carry nothing but heartbeats.
 *
 * A connection is in use for HEARTBEAT_USED_US after a message of jobs,
 * upstreams or the configuration went over it in either direction.  In use,
 * both ends send a frame in each heartbeat, and silence for three heartbeats
 * ends the connection.  Otherwise each end may send at the interval that it
 * announced (HEARTBEAT_INTERVAL), and the limit is three of those.
 *
 * An end is slower only if both announcements were made on this connection:
 * builds before this message close a connection after three heartbeats.  It
 * goes on at the usual rate for three heartbeats longer than the other end
 * demands it, since the last message was read later than it was sent.
 */
#ifndef BM_HEARTBEAT_H
#define BM_HEARTBEAT_H

#include "wire.h"

/* Connections whose heartbeats a process sends at the usual rate.  Beyond it,
 * the interval grows so that heartbeats cost no more than on that many. */
enum { HEARTBEAT_CONNECTIONS = 64 };

/* Silent heartbeats after which a connection is closed. */
enum { HEARTBEAT_SILENT = 3 };

#define HEARTBEAT_USED_US (2 * USEC_PER_SEC)
#define HEARTBEAT_IDLE_MAX_US (2 * USEC_PER_SEC)

/**
 * struct heartbeat - of one connection; all times monotonic
 * @usual_us: longest time between two frames of this end in use
 * @silence_us: limit of silence in use, three of the slower end's heartbeats
 * @announced_us: interval that this end announced here; 0: none
 * @their_idle_us: interval that the other end announced here; 0: none
 * @used_us: when a message that counts as use was last sent or received
 * @fast_until_us: this end sends at the usual rate until then, though the
 *                 connection is idle
 * @expect_us: when the connection came into use; the other end may have been
 *             idle until then, so the silence is counted from this time
 */
struct heartbeat {
    int64_t usual_us;
    int64_t silence_us;
    int64_t announced_us;
    int64_t their_idle_us;
    int64_t used_us;
    int64_t fast_until_us;
    int64_t expect_us;
};

/** heartbeat_open() - state of a connection that opens; it counts as in use */
struct heartbeat heartbeat_open(int64_t usual_us, int64_t silence_us,
                                int64_t now_us);

/** heartbeat_is_use() - whether a message of that kind shows that the ends
 * work with each other */
bool heartbeat_is_use(enum msg_kind kind);

/** heartbeat_idle() - whether the connection is idle for this end: silence is
 * measured by the other end's announced interval */
bool heartbeat_idle(const struct heartbeat *h, int64_t now_us);

/** heartbeat_use() - notes a message that counts as use; returns whether the
 * connection was idle, so that a frame may be due now */
bool heartbeat_use(struct heartbeat *h, int64_t now_us);

/** heartbeat_expect_message() - part of a message was read, whose sender
 * expects frames before it is whole; returns whether a frame may be due now */
bool heartbeat_expect_message(struct heartbeat *h, int64_t now_us);

/** heartbeat_suspect() - another connection with the same process was silent
 * for too long: an idle one is closed too unless something came on it within
 * the limit for connections in use, less a heartbeat */
void heartbeat_suspect(struct heartbeat *h, int64_t last_in_us,
                       int64_t now_us);

/** heartbeat_interval_us() - the interval for idle connections with that many
 * open ones; stays at @current_us for small changes, as each change is
 * announced on all connections */
int64_t heartbeat_interval_us(int64_t usual_us, size_t connections,
                              int64_t current_us);

/** heartbeat_early_us() - from when on a frame may be sent along with those of
 * other connections; a frame must be sent at heartbeat_late_us() */
int64_t heartbeat_early_us(const struct heartbeat *h, int64_t last_out_us,
                           int64_t now_us);

/** heartbeat_late_us() - when a frame must be sent: before the interval of the
 * connection ends, by half a heartbeat, or by a quarter in use with many
 * connections, for delays of this process */
int64_t heartbeat_late_us(const struct heartbeat *h, int64_t last_out_us,
                          int64_t now_us);

/** heartbeat_silent_us() - when the connection is silent for too long, if
 * nothing more comes */
int64_t heartbeat_silent_us(const struct heartbeat *h, int64_t last_in_us,
                            int64_t now_us);

#endif
