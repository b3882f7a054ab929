#include "place_choice.h"

/* Expected run times that differ by less than this part count as equal. */
static const double RUN_TIME_TOLERANCE = 0.1;
/* Upstreams above this speed are fast. */
static const double FAST = 1.1;
/* Little is free below one in so many parts. */
enum { SCARCE_PARTS = 4 };

bool
place_is_scarce(uint64_t free_milli, uint64_t total_milli)
{
    return free_milli * SCARCE_PARTS < total_milli;
}

/* Whether @us is below @other_us by more than the tolerance. */
static bool
is_shorter(int64_t us, int64_t other_us)
{
    return (double)us < (double)other_us * (1.0 - RUN_TIME_TOLERANCE);
}

static bool
ends_first(const struct place_candidate *c, const struct place_candidate *best)
{
    if (is_shorter(c->run_us, best->run_us)) {
        return true;
    }
    return (double)c->run_us <=
               (double)best->run_us * (1.0 + RUN_TIME_TOLERANCE) &&
           c->left_milli < best->left_milli;
}

static bool
slowest_in_time(const struct place_need *n, const struct place_candidate *c,
                const struct place_candidate *best)
{
    bool in_time = (double)c->run_us * n->tail <= (double)n->left_us;
    bool best_in_time = (double)best->run_us * n->tail <= (double)n->left_us;

    if (in_time != best_in_time) {
        return in_time;
    }
    if (!in_time) {
        return ends_first(c, best);
    }
    if (is_shorter(best->run_us, c->run_us)) {
        return true;
    }
    return !is_shorter(c->run_us, best->run_us) &&
           c->left_milli < best->left_milli;
}

static bool
reserve_fast(const struct place_need *n, const struct place_candidate *c,
             const struct place_candidate *best)
{
    bool fast = c->speed > FAST;
    bool best_fast = best->speed > FAST;

    if (!n->long_task && fast != best_fast) {
        return best_fast;
    }
    return ends_first(c, best);
}

bool
place_is_better(const struct place_need *n, const struct place_candidate *c,
                const struct place_candidate *best)
{
    if (n->scarce && n->variant == PLACE_SLOWEST_IN_TIME) {
        return slowest_in_time(n, c, best);
    }
    if (n->variant == PLACE_RESERVE_FAST) {
        return reserve_fast(n, c, best);
    }
    return ends_first(c, best);
}
