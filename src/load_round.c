#include "load_round.h"

bool
load_round_includes(const struct load_round *r, uint64_t hash,
                    int64_t since_job_us)
{
    uint64_t every;

    if (r->brokers <= LOAD_ROUND_BROKERS || r->interval_us <= 0 ||
        since_job_us < LOAD_ROUND_RECENT_US) {
        return true;
    }
    every = (uint64_t)(LOAD_ROUND_IDLE_US / r->interval_us);
    return every <= 1 || (hash + r->number) % every == 0;
}
