#include "run_progress.h"

/* Before this, the elapsed time is mostly latency. */
enum { PERCENT_MIN = 5, PERCENT_FULL = 100 };

int64_t
run_progress_full_us(int64_t expected_us, int64_t passed_us,
                     int64_t latency_us, uint32_t percent)
{
    if (percent < PERCENT_MIN || percent >= PERCENT_FULL ||
        passed_us <= latency_us) {
        return expected_us;
    }
    return latency_us + (passed_us - latency_us) * PERCENT_FULL / percent;
}
