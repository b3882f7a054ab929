#include "heartbeat.h"

#include <string.h>

/* The interval changes in steps of this part of a heartbeat, some 32
 * connections. */
enum { STEP_DIVISOR = 2 };

static int64_t
later(int64_t a_us, int64_t b_us)
{
    return a_us > b_us ? a_us : b_us;
}

struct heartbeat
heartbeat_open(int64_t usual_us, int64_t silence_us, int64_t now_us)
{
    return (struct heartbeat){.usual_us = usual_us,
                              .silence_us = silence_us,
                              .used_us = now_us,
                              .expect_us = now_us};
}

bool
heartbeat_is_use(enum msg_kind kind)
{
    return kind != MSG_BROKER_LOAD && kind != MSG_BROKER_USAGE &&
           kind != MSG_HEARTBEAT_INTERVAL;
}

/* The other end is slower only if it got this end's announcement. */
static bool
both_announced(const struct heartbeat *h)
{
    return h->announced_us > 0 && h->their_idle_us > 0;
}

/* Whether this process has so many connections that heartbeats are spread. */
static bool
is_crowded(const struct heartbeat *h)
{
    return h->announced_us > h->usual_us;
}

static bool
sends_slowly(const struct heartbeat *h, int64_t now_us)
{
    return both_announced(h) && is_crowded(h) && now_us >= h->fast_until_us &&
           now_us - h->used_us >= HEARTBEAT_USED_US + h->silence_us;
}

bool
heartbeat_idle(const struct heartbeat *h, int64_t now_us)
{
    return both_announced(h) && now_us - h->used_us >= HEARTBEAT_USED_US;
}

bool
heartbeat_use(struct heartbeat *h, int64_t now_us)
{
    bool idle = heartbeat_idle(h, now_us);

    if (idle) {
        h->expect_us = now_us;
    }
    h->used_us = now_us;
    return idle;
}

bool
heartbeat_expect_message(struct heartbeat *h, int64_t now_us)
{
    bool slow = sends_slowly(h, now_us);

    h->fast_until_us = now_us + HEARTBEAT_USED_US;
    return slow;
}

void
heartbeat_suspect(struct heartbeat *h, int64_t last_in_us, int64_t now_us)
{
    /* A frame may have come on it up to a heartbeat later than on the other
     * one before the process stopped. */
    if (heartbeat_idle(h, now_us) &&
        now_us - last_in_us >= h->silence_us - h->usual_us) {
        h->used_us = now_us;
        h->expect_us = last_in_us;
    }
}

int64_t
heartbeat_interval_us(int64_t usual_us, size_t connections, int64_t current_us)
{
    int64_t step_us = usual_us / STEP_DIVISOR;
    int64_t us = usual_us * (int64_t)connections / HEARTBEAT_CONNECTIONS;

    us = us > HEARTBEAT_IDLE_MAX_US ? HEARTBEAT_IDLE_MAX_US : us;
    us = later(us, usual_us);
    if (current_us > 0 && us != usual_us && us != HEARTBEAT_IDLE_MAX_US &&
        us - current_us < step_us && current_us - us < step_us) {
        return current_us;
    }
    return us;
}

int64_t
heartbeat_early_us(const struct heartbeat *h, int64_t last_out_us,
                   int64_t now_us)
{
    return last_out_us + (sends_slowly(h, now_us)
                              ? h->announced_us - h->usual_us * 3 / 4
                              : h->usual_us / 2);
}

int64_t
heartbeat_late_us(const struct heartbeat *h, int64_t last_out_us,
                  int64_t now_us)
{
    if (sends_slowly(h, now_us)) {
        return last_out_us + h->announced_us - h->usual_us / 2;
    }
    return last_out_us + h->usual_us / 2 +
           (is_crowded(h) ? h->usual_us / 4 : 0);
}

int64_t
heartbeat_silent_us(const struct heartbeat *h, int64_t last_in_us,
                    int64_t now_us)
{
    if (heartbeat_idle(h, now_us)) {
        return last_in_us +
               later(HEARTBEAT_SILENT * h->their_idle_us, h->silence_us);
    }
    return later(last_in_us, h->expect_us) + h->silence_us;
}
