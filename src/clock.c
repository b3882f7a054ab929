#include "clock.h"

#include <errno.h>
#include <time.h>

static int64_t
read_clock(clockid_t id)
{
    struct timespec t;

    (void)clock_gettime(id, &t);
    return t.tv_sec * USEC_PER_SEC + t.tv_nsec / 1000;
}

static struct moment
real_now(const struct clock *c)
{
    (void)c;
    return (struct moment){.mono_us = read_clock(CLOCK_BOOTTIME),
                           .wall_us = read_clock(CLOCK_REALTIME)};
}

const struct clock *
clock_real(void)
{
    static const struct clock_ops ops = {real_now};
    static const struct clock real = {&ops};

    return &real;
}

void
clock_sleep(int64_t us)
{
    struct timespec t = {.tv_sec = us / USEC_PER_SEC,
                         .tv_nsec = us % USEC_PER_SEC * 1000};

    while (nanosleep(&t, &t) != 0 && errno == EINTR) {
    }
}

struct moment
clock_now(const struct clock *c)
{
    return c->ops->now(c);
}

static struct moment
manual_now(const struct clock *c)
{
    const struct manual_clock *m = (const struct manual_clock *)c;

    return (struct moment){.mono_us = atomic_load(&m->mono_us),
                           .wall_us = atomic_load(&m->wall_us)};
}

void
manual_clock_init(struct manual_clock *c, struct moment start)
{
    static const struct clock_ops ops = {manual_now};

    c->base.ops = &ops;
    atomic_init(&c->mono_us, start.mono_us);
    atomic_init(&c->wall_us, start.wall_us);
}

void
manual_clock_advance(struct manual_clock *c, int64_t us)
{
    (void)atomic_fetch_add(&c->mono_us, us);
    (void)atomic_fetch_add(&c->wall_us, us);
}
