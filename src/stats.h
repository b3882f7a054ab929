/**
 * DOC: stats - counters of the shells, beside those of the reducer
 *
 * Atomic and process-wide; they only rise.
 */
#ifndef BM_STATS_H
#define BM_STATS_H

#include <stdatomic.h>
#include <stdint.h>
#include <stdio.h>

#include "wire.h"

/* STAT(name, help) */
/* clang-format off */
#define STAT_LIST(STAT)                                                       \
    STAT(http_requests, "requests whose headers arrived")                     \
    STAT(http_refused, "requests refused by the shell")                       \
    STAT(http_shed, "connections closed to make room for others")             \
    STAT(http_slow_bodies, "requests whose body came too slowly")             \
    STAT(submit_us, "from submissions' headers to answers, microseconds")     \
    STAT(submits_answered, "submissions answered, for submit_us")             \
    STAT(http_inbox_full, "requests refused because the inbox was full")      \
    STAT(calls_begun, "requests sent to upstreams")                           \
    STAT(start_us, "from starts' hand-over to outcomes, microseconds")        \
    STAT(starts_ended, "starts that came to an end, for start_us")            \
    STAT(calls_not_resent, "starts that libcurl was kept from sending again") \
    STAT(peer_connects, "connections to other instances opened")              \
    STAT(peer_accepts, "connections of other instances accepted")             \
    STAT(peer_refused, "connections refused: not a configured name")          \
    STAT(peer_silent, "connections closed because nothing came")              \
    STAT(peer_unanswered, "dials given up without an answer")                 \
    STAT(peer_cut_off, "connections closed because nobody read")              \
    STAT(peer_bad_frames, "frames that made no sense")                        \
    STAT(peer_dropped, "messages dropped for want of a connection")           \
    STAT(peer_frames_in, "frames received")                                   \
    STAT(peer_frames_out, "frames sent")                                      \
    STAT(peer_bytes_in, "bytes received from other instances")                \
    STAT(peer_bytes_out, "bytes sent to other instances")                     \
    STAT(peer_wakeups, "times the thread for other instances woke up")        \
    STAT(disk_syncs, "syncs of the disk")                                     \
    STAT(disk_sync_us, "time they took, microseconds")                        \
    STAT(auth_refused, "changes refused: not signed, or stale")               \
    STAT(log_lines, "log lines written, or handed to their writer")           \
    STAT(log_dropped, "log lines dropped: too many, or nobody reads them")    \
    STAT(steps, "events the reducer took")                                    \
    STAT(step_ns, "time in the reducer, nanoseconds")                         \
    STAT(effect_ns, "time carrying out effects, nanoseconds")
/* clang-format on */

struct stats {
#define STAT(name, help) atomic_ullong name;
    STAT_LIST(STAT)
#undef STAT
};

extern struct stats stats;

/** struct peer_sent - what was sent to other instances, by kind of message;
 * empty frames are counted as MSG_HEARTBEAT, bytes with the frame's head */
struct peer_sent {
    atomic_ullong messages[MSG_KINDS];
    atomic_ullong bytes[MSG_KINDS];
};

extern struct peer_sent peer_sent;

/** stats_add() - adds to a counter */
static inline void
stats_add(atomic_ullong *counter, uint64_t n)
{
    (void)atomic_fetch_add_explicit(counter, n, memory_order_relaxed);
}

/** stats_count_sent() - counts one message, of @bytes with its frame's head */
void stats_count_sent(enum msg_kind kind, uint64_t bytes);

/** stats_print() - all counters in the Prometheus text format; of the kinds of
 * messages those that were sent */
void stats_print(FILE *out);

/** stats_print_one() - a counter or gauge in the Prometheus text format */
void stats_print_one(FILE *out, const char *name, const char *type,
                     const char *help, uint64_t value);

#endif
