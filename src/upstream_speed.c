#include "upstream_speed.h"

#include <math.h>
#include <stdlib.h>

/* Weight of the prior speed of 1, in samples. */
static const double PRIOR_SAMPLES = 1.0;
/* Samples that a speed remembers.  At 8 tasks a second on an upstream this is
 * 6 s, and tasks that vary by 15 % leave an error of 1 %. */
static const double MEMORY_SAMPLES = 50.0;
/* Largest difference that a sample counts for: that of two ordinary tasks of
 * a job.  The first samples may count for more, since no speed is known. */
static const double SAMPLE_MAX = 0.3;
static const double FIRST_SAMPLE_MAX = 0.7;
/* Speeds within this part of 1 are alike. */
static const double ALIKE = 0.1;
/* Two standard deviations of a sample, as a natural logarithm; the mean of n
 * samples is off by less than this over the square root of n, nearly always.
 */
static const double SAMPLE_NOISE = 0.3;
/* With fewer samples, a speed alone does not show that upstreams differ, and
 * samples are bounded less. */
enum { RELIABLE_SAMPLES = 8 };
static const double NEWS = 0.05;

double
upstream_speed_factor(const struct upstream_speed *s)
{
    return exp(s->log_speed);
}

static double
level(const struct speed_run *r)
{
    return log(r->ran_us > 1.0 ? r->ran_us : 1.0) + r->speed->log_speed;
}

static int
compare_doubles(const void *a, const void *b)
{
    double x = *(const double *)a;
    double y = *(const double *)b;

    return (x > y) - (x < y);
}

/* Median level of the tasks that ran on other upstreams than that of @of, or
 * NAN for none.  @scratch has space for @n values. */
static double
median_of_others(const struct speed_run *runs, const double *levels, size_t n,
                 const struct upstream_speed *of, double *scratch)
{
    size_t others = 0;

    for (size_t i = 0; i < n; i++) {
        if (!runs[i].excluded && runs[i].speed != of) {
            scratch[others++] = levels[i];
        }
    }
    if (others == 0) {
        return NAN;
    }
    qsort(scratch, others, sizeof(*scratch), compare_doubles);
    return (scratch[(others - 1) / 2] + scratch[others / 2]) / 2.0;
}

static void
add_sample(struct upstream_speed *s, double difference)
{
    double weight = 1.0 / ((double)s->samples + 1.0 + PRIOR_SAMPLES);
    double bound =
        s->samples < RELIABLE_SAMPLES ? FIRST_SAMPLE_MAX : SAMPLE_MAX;

    weight = weight > 1.0 / MEMORY_SAMPLES ? weight : 1.0 / MEMORY_SAMPLES;
    difference = difference > bound ? bound : difference;
    difference = difference < -bound ? -bound : difference;
    s->log_speed += weight * difference;
    s->samples += s->samples < UINT32_MAX ? 1 : 0;
}

bool
upstream_speed_add_job(const struct speed_run *runs, size_t n)
{
    double *levels = calloc(3 * n + 1, sizeof(*levels));
    double *medians = levels + n;
    bool any = false;

    if (levels == NULL) {
        abort();
    }
    for (size_t i = 0; i < n; i++) {
        levels[i] = level(&runs[i]);
    }
    /* All are compared before any speed changes. */
    for (size_t i = 0; i < n; i++) {
        medians[i] =
            median_of_others(runs, levels, n, runs[i].speed, medians + n);
    }
    for (size_t i = 0; i < n; i++) {
        if (!runs[i].excluded && !isnan(medians[i])) {
            add_sample(runs[i].speed, medians[i] - levels[i]);
            any = true;
        }
    }
    free(levels);
    return any;
}

static double
sample_weight(const struct upstream_speed *s)
{
    double samples = (double)s->samples;

    return samples < MEMORY_SAMPLES ? samples : MEMORY_SAMPLES;
}

void
upstream_speed_normalize(struct upstream_speed *const *speeds, size_t n)
{
    double sum = 0;
    double weights = 0;

    for (size_t i = 0; i < n; i++) {
        sum += sample_weight(speeds[i]) * speeds[i]->log_speed;
        weights += sample_weight(speeds[i]);
    }
    for (size_t i = 0; i < n && weights > 0; i++) {
        if (speeds[i]->samples > 0) {
            speeds[i]->log_speed -= sum / weights;
        }
    }
}

bool
upstream_speed_differs(const struct upstream_speed *s)
{
    return s->samples >= RELIABLE_SAMPLES &&
           fabs(s->log_speed) >
               log1p(ALIKE) + SAMPLE_NOISE / sqrt(sample_weight(s));
}

bool
upstream_speed_is_news(const struct upstream_speed *s, double reported_log)
{
    return fabs(s->log_speed - reported_log) > log1p(NEWS);
}
