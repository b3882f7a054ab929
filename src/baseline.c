#include "baseline.h"

#include <stdlib.h>

/* Who does not know where slots are free is refused often; a retry budget
 * made for the shipped policy would fail its jobs and hide its waiting. */
enum { RETRY_FREELY = 10000 };

const char *
policy_name(enum policy p)
{
    static const char *const names[] = {
#define POLICY(NAME, text) text,
        POLICY_LIST(POLICY)
#undef POLICY
    };

    return names[p];
}

struct vnet_options
policy_options(enum policy p)
{
    struct vnet_options o = vnet_options_default();

    switch (p) {
    case POLICY_SPARING:
        o.entry.fewer_messages = true;
        break;
    case POLICY_DIRECT:
        o.entry.placement = PLACE_DIRECT;
        o.entry.retry_percent = RETRY_FREELY;
        o.service.order = ORDER_ARRIVAL;
        break;
    case POLICY_RANDOM:
        o.entry.placement = PLACE_RANDOM;
        o.entry.retry_percent = RETRY_FREELY;
        o.service.order = ORDER_ARRIVAL;
        break;
    default:
        break;
    }
    return o;
}

static int
by_arrival(const void *a, const void *b)
{
    const struct bound_job *x = a;
    const struct bound_job *y = b;

    return (x->at_us > y->at_us) - (x->at_us < y->at_us);
}

/* A heap of remaining work, least first. */
struct srpt {
    double *left;
    double *at;
    size_t n;
};

static void
srpt_swap(struct srpt *s, size_t i, size_t j)
{
    double left = s->left[i];
    double at = s->at[i];

    s->left[i] = s->left[j];
    s->at[i] = s->at[j];
    s->left[j] = left;
    s->at[j] = at;
}

static void
srpt_push(struct srpt *s, double left, double at)
{
    size_t i = s->n++;

    s->left[i] = left;
    s->at[i] = at;
    while (i > 0 && s->left[i] < s->left[(i - 1) / 2]) {
        srpt_swap(s, i, (i - 1) / 2);
        i = (i - 1) / 2;
    }
}

static void
srpt_pop(struct srpt *s)
{
    size_t i = 0;

    srpt_swap(s, 0, --s->n);
    for (;;) {
        size_t child = 2 * i + 1;

        if (child >= s->n) {
            return;
        }
        if (child + 1 < s->n && s->left[child + 1] < s->left[child]) {
            child++;
        }
        if (s->left[i] <= s->left[child]) {
            return;
        }
        srpt_swap(s, i, child);
        i = child;
    }
}

/* Sum of response times when one machine as fast as all slots together
 * always works on the job with the least work left. */
static double
srpt_sum(const struct bound_job *jobs, size_t n, uint32_t slots,
         struct srpt *s)
{
    double now = 0;
    double sum = 0;
    size_t next = 0;

    while (next < n || s->n > 0) {
        double until = next < n ? (double)jobs[next].at_us : 1e300;

        while (s->n > 0 && now + s->left[0] <= until) {
            now += s->left[0];
            sum += now - s->at[0];
            srpt_pop(s);
        }
        if (next == n) {
            break;
        }
        if (s->n > 0) {
            s->left[0] -= until - now;
        }
        now = until;
        srpt_push(s, (double)jobs[next].work_us / slots, now);
        next++;
    }
    return sum;
}

double
baseline_mean_us(struct bound_job *jobs, size_t n, uint32_t slots,
                 int64_t round_trip_us)
{
    struct srpt s = {calloc(n + 1, sizeof(double)),
                     calloc(n + 1, sizeof(double)), 0};
    double ideal = 0;
    double fluid;

    if (s.left == NULL || s.at == NULL) {
        abort();
    }
    qsort(jobs, n, sizeof(*jobs), by_arrival);
    for (size_t i = 0; i < n; i++) {
        ideal += (double)jobs[i].ideal_us;
    }
    fluid = srpt_sum(jobs, n, slots, &s) + (double)n * (double)round_trip_us;
    free(s.left);
    free(s.at);
    return n > 0 ? (ideal > fluid ? ideal : fluid) / (double)n : 0;
}
