#include "usage.h"

#include <time.h>

#define WINDOW_US USEC_PER_SEC

int64_t
usage_process_cpu_us(void)
{
    struct timespec t = {0};

    (void)clock_gettime(CLOCK_PROCESS_CPUTIME_ID, &t);
    return t.tv_sec * USEC_PER_SEC + t.tv_nsec / 1000;
}

void
usage_add_event(struct usage_meter *m, int64_t since_us)
{
    int64_t waited_us = clock_now(m->clock).mono_us - since_us;

    if (since_us > 0 && waited_us >= 0) {
        m->waited_us += waited_us;
        m->n_events++;
    }
}

static void
begin_window(struct usage_meter *m, int64_t now_us, int64_t cpu_us)
{
    m->begun_us = now_us;
    m->begun_cpu_us = cpu_us;
    m->waited_us = 0;
    m->n_events = 0;
}

bool
usage_take(struct usage_meter *m, struct usage_sample *sample)
{
    int64_t now_us = clock_now(m->clock).mono_us;
    int64_t cpu_us;

    if (m->begun_us == 0) {
        begin_window(m, now_us, m->read_cpu_us());
        return false;
    }
    if (now_us - m->begun_us < WINDOW_US) {
        return false;
    }
    cpu_us = m->read_cpu_us();
    sample->window_us = now_us - m->begun_us;
    sample->cpu_us = cpu_us - m->begun_cpu_us;
    sample->delay_us =
        m->n_events > 0 ? m->waited_us / (int64_t)m->n_events : 0;
    begin_window(m, now_us, cpu_us);
    return true;
}
