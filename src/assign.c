#include "assign.h"

#include <stdbool.h>
#include <stdlib.h>

static int
compare_spread(const void *x, const void *y)
{
    uint64_t a = ((const struct assign_item *)x)->order_key;
    uint64_t b = ((const struct assign_item *)y)->order_key;

    return a < b ? -1 : a > b;
}

/* Counts the items that each holder keeps, at most its @keep_max; the holders
 * of further items are cleared. */
static void
keep_held(struct assign_item *items, size_t n_items, size_t *counts,
          const struct assign_quota *quotas)
{
    for (size_t i = 0; i < n_items; i++) {
        size_t holder = items[i].holder;

        if (holder != ASSIGN_NONE &&
            counts[holder] < quotas[holder].keep_max) {
            counts[holder]++;
        }
        else {
            items[i].holder = ASSIGN_NONE;
        }
    }
}

/* Whether the first holder has used up less of its quota than the second. */
static bool
is_less_loaded(const struct assign_quota *quotas, const size_t *counts,
               size_t first, size_t second)
{
    if (quotas[first].quota == 0 || quotas[second].quota == 0) {
        return quotas[first].quota > quotas[second].quota;
    }
    return counts[first] * quotas[second].quota <
           counts[second] * quotas[first].quota;
}

static size_t
least_loaded(const struct assign_quota *quotas, const size_t *counts,
             size_t n_holders)
{
    size_t least = 0;

    for (size_t i = 1; i < n_holders; i++) {
        least = is_less_loaded(quotas, counts, i, least) ? i : least;
    }
    return least;
}

void
assign_holders(struct assign_item *items, size_t n_items,
               const struct assign_quota *quotas, size_t n_holders)
{
    size_t *counts = calloc(n_holders, sizeof(*counts));

    if (counts == NULL) {
        abort();
    }
    if (n_items > 1) {
        qsort(items, n_items, sizeof(*items), compare_spread);
    }
    keep_held(items, n_items, counts, quotas);
    for (size_t i = 0; i < n_items; i++) {
        if (items[i].holder == ASSIGN_NONE) {
            items[i].holder = least_loaded(quotas, counts, n_holders);
            counts[items[i].holder]++;
        }
    }
    free(counts);
}
