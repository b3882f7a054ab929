#include "histogram.h"

#include <inttypes.h>

static const int64_t bounds_us[] = {
#define HISTOGRAM_BOUND(us, text) us,
    HISTOGRAM_BOUND_LIST(HISTOGRAM_BOUND)
#undef HISTOGRAM_BOUND
};

static const char *const bounds_text[] = {
#define HISTOGRAM_BOUND(us, text) text,
    HISTOGRAM_BOUND_LIST(HISTOGRAM_BOUND)
#undef HISTOGRAM_BOUND
        "+Inf",
};

void
histogram_add(struct histogram *h, int64_t us)
{
    size_t i = 0;

    us = us > 0 ? us : 0;
    while (i < HISTOGRAM_BOUNDS && us > bounds_us[i]) {
        i++;
    }
    h->buckets[i]++;
    h->sum_us += (uint64_t)us;
}

uint64_t
histogram_count(const struct histogram *h)
{
    uint64_t n = 0;

    for (size_t i = 0; i <= HISTOGRAM_BOUNDS; i++) {
        n += h->buckets[i];
    }
    return n;
}

static void
print_sample(FILE *out, const char *name, const char *suffix,
             const char *labels)
{
    (void)fprintf(out, "boragemoor_%s_seconds%s", name, suffix);
    if (labels[0] != '\0') {
        (void)fprintf(out, "{%s}", labels);
    }
}

void
histogram_print(FILE *out, const char *name, const char *help,
                const char *labels, const struct histogram *h)
{
    uint64_t n = 0;

    if (help != NULL) {
        (void)fprintf(out,
                      "# HELP boragemoor_%s_seconds %s\n"
                      "# TYPE boragemoor_%s_seconds histogram\n",
                      name, help, name);
    }
    for (size_t i = 0; i <= HISTOGRAM_BOUNDS; i++) {
        n += h->buckets[i];
        (void)fprintf(
            out, "boragemoor_%s_seconds_bucket{%s%sle=\"%s\"} %" PRIu64 "\n",
            name, labels, labels[0] != '\0' ? "," : "", bounds_text[i], n);
    }
    print_sample(out, name, "_sum", labels);
    (void)fprintf(out, " %.6f\n", (double)h->sum_us / 1e6);
    print_sample(out, name, "_count", labels);
    (void)fprintf(out, " %" PRIu64 "\n", n);
}
