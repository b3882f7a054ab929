/*
 * Fences of the upstreams that this broker holds.
 *
 * A fence has to exceed every fence under which a start may still be on the
 * way to the upstream.  A running incarnation refuses a fence that is too low,
 * a new one has seen none.  The wall clock alone does not do: it may have been
 * set back while this broker was down.  So each broker reports the highest
 * fence that it uses to the registries before it sends a start under it, and
 * a broker that starts uses only fences above all that were reported.
 */
#include "broker_state.h"

/* A fence is a wall time in milliseconds times FENCE_BROKERS, plus a number of
 * the broker below FENCE_BROKERS.  It stays below 2^53, which JSON carries
 * exactly. */
#define FENCE_BROKERS UINT64_C(1024)
/* A fence is refused if a clock was set back, or if another broker takes the
 * upstream too.  It is then raised by FENCE_RETRY_STEP, 20 s as the clocks of
 * machines differ by seconds. */
#define FENCE_RETRY_STEP (UINT64_C(20000) * FENCE_BROKERS)
/* An upstream is opened without a confirmation after this time, in which a
 * registry that can be reached has confirmed. */
#define RECORD_TIMEOUT_US (500 * USEC_PER_MSEC)

static uint64_t
max_fence(uint64_t a, uint64_t b)
{
    return a > b ? a : b;
}

/* Two brokers that take an upstream in the same millisecond must not choose
 * the same fence: neither would be refused, and each would keep stopping the
 * other's runs as unknown ones.  So the lowest bits depend on the broker. */
uint64_t
fence_next(struct broker *b, const struct broker_upstream *u)
{
    uint64_t own = key_id_of(b->opts.self.s).lo % FENCE_BROKERS;
    uint64_t wall = (uint64_t)(b->now.wall_us / USEC_PER_MSEC);
    uint64_t known = max_fence(u->fence, b->fence_floor) / FENCE_BROKERS;
    uint64_t fence;

    if (b->opts.breaks[BROKER_BREAK_SAME_FENCE]) {
        return FENCE_BROKERS;
    }
    fence = (wall > known ? wall : known + 1) * FENCE_BROKERS + own;
    fence += u->fence_retries * FENCE_RETRY_STEP;
    if (fence > b->fence_used) {
        b->fence_used = fence;
        b->fence_report_due = true;
    }
    return fence;
}

static void
send_record(struct broker *b, struct name registry)
{
    struct msg m = {.kind = MSG_FENCE_RECORD};

    m.u.fence_record.fence = b->fence_used;
    broker_send(b, registry, &m);
}

void
fence_on_registry_up(struct broker *b, const struct broker_peer *registry)
{
    send_record(b, registry->name);
}

void
fence_report(struct broker *b)
{
    if (!b->fence_report_due) {
        return;
    }
    b->fence_report_due = false;
    for (const struct broker_peer *p = b->peers; p != NULL; p = p->next) {
        if (p->registry && p->up) {
            send_record(b, p->name);
        }
    }
}

void
fence_on_record(struct broker *b, struct name from,
                const struct rec_fence_record *r)
{
    struct broker_peer *p = peers_find(b, from);

    if (p == NULL) {
        return;
    }
    p->confirms_fences = true;
    if (!b->fence_floor_known) {
        b->fence_floor_known = true;
        b->review_due = true;
    }
    b->fence_floor = max_fence(b->fence_floor, r->fence);
    hold_open_confirmed(b);
}

/* Registries of earlier versions confirm nothing. */
static bool
has_confirming_registry(const struct broker *b)
{
    for (const struct broker_peer *p = b->peers; p != NULL; p = p->next) {
        if (p->up && p->confirms_fences) {
            return true;
        }
    }
    return false;
}

bool
fence_is_recorded(const struct broker *b, const struct broker_upstream *u)
{
    return u->fence <= b->fence_floor || !has_confirming_registry(b) ||
           b->now.mono_us - u->taken_us >= RECORD_TIMEOUT_US;
}
