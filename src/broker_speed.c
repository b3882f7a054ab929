/*
 * Speeds of upstreams: sampled by the holder when a job is complete, reported
 * to the brokers of the zone, and used where they differ.
 */
#include <math.h>
#include <stdlib.h>

#include "broker_speed.h"

/* Shortest time between two reports. */
#define REPORT_INTERVAL_US (2 * USEC_PER_SEC)
/* An upstream slower than this, against its own speed, has turned slow for a
 * while.  Its run times are left to broker_health.c. */
static const double SLOW_FOR_A_WHILE = 2.5;
/* A run that lasts so many times as long as expected is unusual: tasks of a
 * job differ by 15 %, and expected run times by 40 %. */
static const double STRAGGLER_RATIO = 3.0;
enum { PERMILLE = 1000 };
/* Reported speeds are limited to this, and to its inverse: one that is further
 * off would shift the speeds of all others in the mean. */
static const double SPEED_MAX = 10.0;

static bool
is_enabled(const struct broker *b)
{
    return !b->opts.disabled[BROKER_FEATURE_UPSTREAM_SPEED];
}

static bool
is_held(const struct broker_upstream *u)
{
    return u->state != HOLD_NONE && u->state != HOLD_LOST;
}

/* Whether the known speed is that of the current incarnation. */
static bool
is_current(const struct broker *b, const struct broker_upstream *u)
{
    return u->speed.samples > 0 && (u->speed.born_ms == u->born_ms ||
                                    b->opts.breaks[BROKER_BREAK_OLD_SPEED]);
}

double
speed_of(const struct broker *b, const struct broker_upstream *u)
{
    if (u->service == NULL || !u->service->speeds_differ ||
        !is_current(b, u)) {
        return 1.0;
    }
    return upstream_speed_factor(&u->speed);
}

bool
broker_upstream_speed(const struct broker *b, struct name upstream,
                      double *speed, uint32_t *samples)
{
    const struct broker_upstream *u =
        map_get(&b->upstreams_by_name, &upstream);

    if (u == NULL || !is_current(b, u)) {
        return false;
    }
    *speed = upstream_speed_factor(&u->speed);
    *samples = u->speed.samples;
    return true;
}

/* Whether the speeds of the service's upstreams that are held here differ. */
static bool
speeds_differ(const struct broker *b, const struct broker_service *s)
{
    const struct broker_upstream *u;
    struct handle h;
    uint32_t at = 0;

    while ((u = table_next(&b->upstreams, &at, &h)) != NULL) {
        if (u->service == s && is_held(u) && is_current(b, u) &&
            upstream_speed_differs(&u->speed)) {
            return true;
        }
    }
    return false;
}

/* Speeds come into use: what they explain is no slowness any more, since that
 * is measured against the upstream's own speed from now on. */
static void
remove_explained_slowness(struct broker *b, const struct broker_service *s)
{
    struct broker_upstream *u;
    struct handle h;
    uint32_t at = 0;

    while ((u = table_next(&b->upstreams, &at, &h)) != NULL) {
        if (u->service == s && is_current(b, u)) {
            double left = u->slowness * upstream_speed_factor(&u->speed);

            /* A successor has a reported speed and no slowness measured. */
            u->slowness =
                fabs(log(left)) < fabs(log(u->slowness)) ? left : u->slowness;
        }
    }
}

static void
review_service(struct broker *b, struct broker_service *s)
{
    bool differ = speeds_differ(b, s);

    if (differ && !s->speeds_differ) {
        remove_explained_slowness(b, s);
    }
    if (differ != s->speeds_differ) {
        s->speeds_differ = differ;
        s->placement_due = true;
    }
}

void
speed_review(struct broker *b)
{
    for (struct broker_service *s = b->services; s != NULL && is_enabled(b);
         s = s->next) {
        review_service(b, s);
    }
}

/* Samples */

void
speed_record_run(const struct broker_upstream *u, struct run_task *t,
                 double ran_us)
{
    t->ran_us = ran_us;
    t->ran_on = u->self;
    t->ran_born_ms = u->born_ms;
    t->ran_unusual = t->ran_unusual || u->slowness > SLOW_FOR_A_WHILE;
}

/* A single run that lasts several times as long as expected is a straggler,
 * which any upstream may get; two in a row show that the upstream has turned
 * slow. */
bool
speed_is_straggler(struct broker_upstream *u, struct run_task *t, double ratio)
{
    if (!u->service->speeds_differ || t->ran_unusual) {
        return t->ran_unusual;
    }
    if (ratio < STRAGGLER_RATIO) {
        u->unusual_run = false;
        return false;
    }
    if (u->unusual_run) {
        return false;
    }
    u->unusual_run = true;
    t->ran_unusual = true;
    return true;
}

/* The speed that a run counts for, or NULL. */
static struct upstream_speed *
sampled_speed(struct broker *b, const struct run_task *t)
{
    struct broker_upstream *u = table_get(&b->upstreams, t->ran_on);

    if (u == NULL || u->state != HOLD_OPEN || u->born_ms != t->ran_born_ms) {
        return NULL;
    }
    if (u->speed.born_ms != u->born_ms) {
        u->speed = (struct upstream_speed){.born_ms = u->born_ms};
        u->speed_reported = false;
    }
    return &u->speed;
}

static void
normalize(struct broker *b, const struct broker_service *s)
{
    struct upstream_speed **speeds =
        calloc(b->upstreams.n + 1, sizeof(struct upstream_speed *));
    struct broker_upstream *u;
    struct handle h;
    uint32_t at = 0;
    size_t n = 0;

    if (speeds == NULL) {
        abort();
    }
    while ((u = table_next(&b->upstreams, &at, &h)) != NULL) {
        if (u->service == s && is_held(u) && is_current(b, u)) {
            speeds[n++] = &u->speed;
        }
    }
    upstream_speed_normalize(speeds, n);
    free(speeds);
}

/* Adds the runs of one group, whose tasks are alike. */
static bool
add_group(struct broker *b, const struct run_job *job, uint32_t group,
          struct speed_run *runs)
{
    size_t n = 0;

    for (uint32_t i = 0; i < job->n_tasks; i++) {
        const struct run_task *t = &job->tasks[i];
        struct upstream_speed *s = sampled_speed(b, t);

        if (t->group == group && t->ran_us > 0 && s != NULL) {
            runs[n++] = (struct speed_run){
                .speed = s, .ran_us = t->ran_us, .excluded = t->ran_unusual};
        }
    }
    return upstream_speed_add_job(runs, n);
}

void
speed_on_job_done(struct broker *b, const struct run_job *job)
{
    struct speed_run *runs;
    bool added = false;

    if (!is_enabled(b) || job->n_tasks < 2) {
        return;
    }
    runs = calloc(job->n_tasks, sizeof(*runs));
    if (runs == NULL) {
        abort();
    }
    for (uint32_t i = 0; i < job->n_groups; i++) {
        added = add_group(b, job, i, runs) || added;
    }
    free(runs);
    if (added) {
        normalize(b, job->service);
        review_service(b, job->service);
        b->speeds_due = true;
    }
}

/* Reports */

/* Speeds that are alike are not used, so they are not reported, unless an
 * earlier report has to be corrected. */
static bool
is_due(const struct broker *b, const struct broker_upstream *u)
{
    return u->service != NULL && is_held(u) && is_current(b, u) &&
           (u->service->speeds_differ || u->speed_reported) &&
           (!u->speed_reported ||
            upstream_speed_is_news(&u->speed, u->reported_log));
}

static bool
is_known(const struct broker *b, const struct broker_upstream *u)
{
    return u->service != NULL && is_held(u) && is_current(b, u) &&
           (u->service->speeds_differ || u->speed_reported);
}

static struct rec_upstream_speed
speed_record(const struct broker_upstream *u)
{
    return (struct rec_upstream_speed){
        .upstream = u->name,
        .born_ms = u->speed.born_ms,
        .speed_permille =
            (uint64_t)lround(PERMILLE * upstream_speed_factor(&u->speed)),
        .samples = u->speed.samples};
}

/* Lists the upstreams that @wanted selects. */
static struct msg
list_speeds(struct broker *b, bool (*wanted)(const struct broker *b,
                                             const struct broker_upstream *u))
{
    struct msg m = {.kind = MSG_UPSTREAM_SPEEDS};
    struct rec_upstream_speeds *list = &m.u.upstream_speeds;
    struct broker_upstream *u;
    struct handle h;
    uint32_t at = 0;

    list->speeds = calloc(b->upstreams.n + 1, sizeof(*list->speeds));
    if (list->speeds == NULL) {
        abort();
    }
    while ((u = table_next(&b->upstreams, &at, &h)) != NULL) {
        if (wanted(b, u)) {
            list->speeds[list->n_speeds++] = speed_record(u);
        }
    }
    return m;
}

static void
mark_reported(struct broker *b, const struct rec_upstream_speeds *list)
{
    for (size_t i = 0; i < list->n_speeds; i++) {
        struct broker_upstream *u =
            map_get(&b->upstreams_by_name, &list->speeds[i].upstream);

        u->speed_reported = true;
        u->reported_log = u->speed.log_speed;
    }
}

void
speed_send_known(struct broker *b, struct name to)
{
    struct msg m;

    if (!is_enabled(b)) {
        return;
    }
    m = list_speeds(b, is_known);
    if (m.u.upstream_speeds.n_speeds == 0) {
        msg_free(&m);
        return;
    }
    broker_send(b, to, &m);
}

void
speed_tick(struct broker *b)
{
    struct msg m;

    if (!b->speeds_due || b->now.mono_us < b->next_speeds_us) {
        return;
    }
    b->speeds_due = false;
    m = list_speeds(b, is_due);
    if (m.u.upstream_speeds.n_speeds == 0) {
        msg_free(&m);
        return;
    }
    b->next_speeds_us = b->now.mono_us + REPORT_INTERVAL_US;
    mark_reported(b, &m.u.upstream_speeds);
    peers_send_to_zone(b, &m);
}

int64_t
speed_next_us(const struct broker *b)
{
    return b->speeds_due && b->next_speeds_us > b->now.mono_us
               ? b->next_speeds_us
               : INT64_MAX;
}

/* A report of a newer incarnation than the known one is kept until a registry
 * reports that incarnation. */
static bool
is_accepted(const struct broker *b, const struct broker_upstream *u,
            struct name from, const struct rec_upstream_speed *r)
{
    bool older = r->born_ms < u->born_ms || r->born_ms < u->speed.born_ms;

    if (b->opts.breaks[BROKER_BREAK_OLD_SPEED]) {
        older = false;
    }
    return !is_held(u) && !older && r->speed_permille > 0 &&
           (name_empty(u->holder) || name_equal(u->holder, from));
}

void
speed_on_report(struct broker *b, struct name from,
                const struct rec_upstream_speeds *list)
{
    for (size_t i = 0; i < list->n_speeds && is_enabled(b); i++) {
        const struct rec_upstream_speed *r = &list->speeds[i];
        struct broker_upstream *u =
            map_get(&b->upstreams_by_name, &r->upstream);

        if (u != NULL && is_accepted(b, u, from, r)) {
            u->speed.born_ms = r->born_ms;
            u->speed.log_speed = log(
                fmin(SPEED_MAX, fmax(1.0 / SPEED_MAX,
                                     (double)r->speed_permille / PERMILLE)));
            u->speed.samples =
                (uint32_t)(r->samples < UINT32_MAX ? r->samples : UINT32_MAX);
            u->speed_reported = false;
        }
    }
}

void
speed_fill_gauges(const struct broker *b, struct broker_gauges *g)
{
    const struct broker_upstream *u;
    struct handle h;
    uint32_t at = 0;

    while ((u = table_next(&b->upstreams, &at, &h)) != NULL) {
        uint64_t permille;

        if (!is_held(u) || !is_current(b, u)) {
            continue;
        }
        permille = speed_record(u).speed_permille;
        g->upstreams_measured++;
        if (g->slowest_permille == 0 || permille < g->slowest_permille) {
            g->slowest_permille = permille;
        }
        if (permille > g->fastest_permille) {
            g->fastest_permille = permille;
        }
    }
}
