#include "submission.h"

#include <stdarg.h>
#include <stdio.h>

#include "member.h"

static bool refuse(struct ef_problem *p, enum problem problem,
                   const char *format, ...)
    __attribute__((format(printf, 3, 4)));

static bool
refuse(struct ef_problem *p, enum problem problem, const char *format, ...)
{
    va_list args;

    p->problem = problem;
    p->request_started_nothing = true;
    va_start(args, format);
    (void)vsnprintf(p->detail, sizeof(p->detail), format, args);
    va_end(args);
    return false;
}

bool
submission_key(const struct entry *e, const char *text, struct key_ref *key,
               struct ef_problem *p)
{
    size_t n;
    const struct name *zones = members_zones(e, &n);
    enum key_error err = key_parse(text, zones, n, key);

    if (err != KEY_OK) {
        return refuse(p, PROBLEM_BAD_KEY, "%s", key_error_text(err));
    }
    if (key->issued_us == 0 && e->now.mono_us < e->refuse_bare_until_us) {
        return refuse(p, PROBLEM_NO_CLAIM,
                      "this instance was paused; a bare key may have waited "
                      "in it past the claim window");
    }
    if (key->issued_us == 0) {
        return true;
    }
    if (key->issued_us + e->opts.claim_window_us < e->now.wall_us) {
        return refuse(p, PROBLEM_KEY_TOO_OLD, "keys are remembered for %lld s",
                      (long long)(e->opts.claim_window_us / USEC_PER_SEC));
    }
    if (key->issued_us > e->now.wall_us + e->opts.clock_skew_us) {
        return refuse(
            p, PROBLEM_BAD_KEY,
            "the key's time of issue is %lld ms "
            "in the future",
            (long long)((key->issued_us - e->now.wall_us) / USEC_PER_MSEC));
    }
    return true;
}

static bool
zone_served(const struct entry *e, const struct service_conf *s)
{
    for (size_t i = 0; i < s->n_zones; i++) {
        if (name_equal(s->zones[i], e->zone)) {
            return true;
        }
    }
    return s->n_zones == 0 || s->spill;
}

static int64_t
deadline_bound(const struct entry *e, const struct service_conf *s)
{
    int64_t bound = e->opts.claim_window_us / CLAIM_WINDOW_DIVISOR;

    if (s->deadline_max_us > 0 && s->deadline_max_us < bound) {
        bound = s->deadline_max_us;
    }
    return bound;
}

int64_t
submission_deadline_us(const struct entry *e, const struct service_conf *s,
                       const struct job_spec *spec)
{
    int64_t asked = spec->deadline_us > 0 ? spec->deadline_us : s->deadline_us;
    int64_t bound = deadline_bound(e, s);

    return asked > 0 && asked < bound ? asked : bound;
}

bool
submission_check(const struct entry *e, const struct job_spec *spec,
                 struct ef_problem *p)
{
    const struct service_conf *s = config_service(e->config, spec->service);
    uint32_t max = JOB_TASKS_MAX;

    if (e->config == NULL) {
        p->retry_after_us = USEC_PER_SEC;
        return refuse(p, PROBLEM_NO_CONFIG, "no configuration yet");
    }
    if (s == NULL) {
        return refuse(p, PROBLEM_UNKNOWN_SERVICE, "no service \"%s\"",
                      spec->service.s);
    }
    if (s->max_tasks > 0 && s->max_tasks < max) {
        max = s->max_tasks;
    }
    if (spec->n_tasks == 0 || spec->n_tasks > max) {
        return refuse(p, PROBLEM_BAD_JOB, "%zu tasks; 1 to %u are allowed",
                      spec->n_tasks, max);
    }
    if (!zone_served(e, s)) {
        return refuse(p, PROBLEM_BAD_JOB, "not served in zone %s", e->zone.s);
    }
    if (spec->deadline_us < 0 || spec->deadline_us > deadline_bound(e, s)) {
        return refuse(p, PROBLEM_BAD_JOB,
                      "the deadline may be at most %lld ms",
                      (long long)(deadline_bound(e, s) / USEC_PER_MSEC));
    }
    return true;
}
