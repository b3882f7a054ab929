/* Usage of a process, as the runtime of a broker measures it. */
#include "check.h"
#include "usage.h"

#define MSEC USEC_PER_MSEC
#define SEC USEC_PER_SEC

static int64_t cpu_us;

static int64_t
read_cpu_us(void)
{
    return cpu_us;
}

/* Guards against a window that is reported early, and against values of an
 * earlier window in a later one. */
static void
usage_is_measured_by_the_second(void)
{
    struct manual_clock clock;
    struct usage_meter m = {.read_cpu_us = read_cpu_us};
    struct usage_sample s;

    manual_clock_init(&clock, (struct moment){.mono_us = SEC});
    m.clock = &clock.base;
    cpu_us = 500;
    CU_ASSERT_FALSE(usage_take(&m, &s));
    cpu_us += 40 * MSEC;
    manual_clock_advance(&clock, 999 * MSEC);
    usage_add_event(&m, 2 * SEC - 31 * MSEC);
    usage_add_event(&m, 2 * SEC - 11 * MSEC);
    usage_add_event(&m, 0);
    usage_add_event(&m, 3 * SEC);
    CU_ASSERT_FALSE(usage_take(&m, &s));
    manual_clock_advance(&clock, 501 * MSEC);
    CU_ASSERT_TRUE(usage_take(&m, &s));
    CU_ASSERT_EQUAL(s.window_us, 1500 * MSEC);
    CU_ASSERT_EQUAL(s.cpu_us, 40 * MSEC);
    CU_ASSERT_EQUAL(s.delay_us, 20 * MSEC);
    manual_clock_advance(&clock, SEC);
    CU_ASSERT_TRUE(usage_take(&m, &s));
    CU_ASSERT_EQUAL(s.cpu_us, 0);
    CU_ASSERT_EQUAL(s.delay_us, 0);
    CU_ASSERT_TRUE(usage_process_cpu_us() > 0);
}

void
suite_usage(void)
{
    check_add("usage", "usage_is_measured_by_the_second",
              usage_is_measured_by_the_second);
}
