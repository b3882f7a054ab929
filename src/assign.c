#include "assign.h"

#include <stdlib.h>

/* A holder may keep 1/8 more than its even share, which avoids moves for small
 * imbalances. */
enum { SLACK_DIVISOR = 8 };

static int
compare_spread(const void *x, const void *y)
{
    uint64_t a = ((const struct assign_item *)x)->order_key;
    uint64_t b = ((const struct assign_item *)y)->order_key;

    return a < b ? -1 : a > b;
}

/* Counts the items that each holder keeps, at most @max; the holders of
 * further items are cleared. */
static void
keep_held(struct assign_item *items, size_t n_items, size_t *counts,
          size_t max)
{
    for (size_t i = 0; i < n_items; i++) {
        size_t holder = items[i].holder;

        if (holder != ASSIGN_NONE && counts[holder] < max) {
            counts[holder]++;
        }
        else {
            items[i].holder = ASSIGN_NONE;
        }
    }
}

static size_t
least_loaded(const size_t *counts, size_t n_holders)
{
    size_t least = 0;

    for (size_t i = 1; i < n_holders; i++) {
        least = counts[i] < counts[least] ? i : least;
    }
    return least;
}

void
assign_holders(struct assign_item *items, size_t n_items, size_t n_holders)
{
    size_t *counts = calloc(n_holders, sizeof(*counts));
    size_t even_share = (n_items + n_holders - 1) / n_holders;

    if (counts == NULL) {
        abort();
    }
    if (n_items > 1) {
        qsort(items, n_items, sizeof(*items), compare_spread);
    }
    keep_held(items, n_items, counts,
              even_share + even_share / SLACK_DIVISOR + 1);
    for (size_t i = 0; i < n_items; i++) {
        if (items[i].holder == ASSIGN_NONE) {
            items[i].holder = least_loaded(counts, n_holders);
            counts[items[i].holder]++;
        }
    }
    free(counts);
}
