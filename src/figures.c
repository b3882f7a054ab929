#include "figures.h"

#include <gsl/gsl_sort.h>
#include <gsl/gsl_statistics.h>
#include <math.h>
#include <stdlib.h>
#include <string.h>

#include "settings.h"

enum {
    CLAIM_FEWEST = 2,
    SLACK_PERCENT = 10,
    JOBS_SLACK_PERCENT = 2,
    TASKS_SLACK = 5
};

/* struct sample - the jobs whose response counts */
struct sample {
    struct bound_job *jobs;
    double *response;
    double *ideal;
    double *ratio;
    size_t n;
};

static double *
doubles(size_t n)
{
    double *d = calloc(n + 1, sizeof(*d));

    if (d == NULL) {
        abort();
    }
    return d;
}

static bool
is_complete(const struct vcall *c)
{
    return c->answer != NULL && c->answer->status == JOB_COMPLETE;
}

static int64_t
longest_us(const struct vcall *c)
{
    int64_t us = 0;

    for (uint32_t i = 0; i < c->n_tasks; i++) {
        us = c->tasks[i].run_us > us ? c->tasks[i].run_us : us;
    }
    return us;
}

static int64_t
work_us(const struct vcall *c)
{
    int64_t us = 0;

    for (uint32_t i = 0; i < c->n_tasks; i++) {
        us += c->tasks[i].run_us;
    }
    return us;
}

/* Alone on an empty system: no task runs on two slots at once, and all slots
 * together do no more than one second's work in a second. */
static int64_t
ideal_us(const struct workload *w, const struct vcall *c)
{
    int64_t longest = longest_us(c);
    int64_t shared = work_us(c) / workload_slots(w);

    return longest > shared ? longest : shared;
}

static struct sample
sample_of(const struct workload *w, const struct vnet *n)
{
    struct sample s = {NULL, doubles(n->n_calls), doubles(n->n_calls),
                       doubles(n->n_calls), 0};
    int64_t round_trip_us = 2 * n->opts.client_us;

    s.jobs = calloc(n->n_calls + 1, sizeof(*s.jobs));
    if (s.jobs == NULL) {
        abort();
    }
    for (size_t i = 0; i < n->n_calls; i++) {
        const struct vcall *c = &n->calls[i];
        struct bound_job *b = &s.jobs[s.n];

        if (!is_complete(c) || c->at_us < w->warm_us) {
            continue;
        }
        b->at_us = c->at_us;
        b->work_us = work_us(c);
        b->ideal_us = round_trip_us + ideal_us(w, c);
        s.response[s.n] = (double)(c->settled_us - c->at_us);
        s.ideal[s.n] = (double)b->ideal_us;
        s.ratio[s.n] = s.response[s.n] / s.ideal[s.n];
        s.n++;
    }
    return s;
}

static void
sample_free(struct sample *s)
{
    free(s->jobs);
    free(s->response);
    free(s->ideal);
    free(s->ratio);
}

static void
count_responses(const struct workload *w, const struct vnet *n,
                struct figures *f)
{
    struct sample s = sample_of(w, n);
    double bound_us;

    if (s.n > 0) {
        f->ratio_mean = gsl_stats_mean(s.ratio, 1, s.n);
        bound_us = baseline_mean_us(s.jobs, s.n, workload_slots(w),
                                    2 * n->opts.client_us);
        f->mean_bound = gsl_stats_mean(s.response, 1, s.n) / bound_us;
        gsl_sort(s.ratio, 1, s.n);
        gsl_sort(s.response, 1, s.n);
        gsl_sort(s.ideal, 1, s.n);
        f->ratio_p50 =
            gsl_stats_quantile_from_sorted_data(s.ratio, 1, s.n, 0.5);
        f->ratio_p99 =
            gsl_stats_quantile_from_sorted_data(s.ratio, 1, s.n, 0.99);
        f->p99_bound =
            gsl_stats_quantile_from_sorted_data(s.response, 1, s.n, 0.99) /
            gsl_stats_quantile_from_sorted_data(s.ideal, 1, s.n, 0.99);
    }
    sample_free(&s);
}

static int64_t
overlap_us(int64_t a, int64_t b, int64_t from, int64_t to)
{
    a = a > from ? a : from;
    b = b < to ? b : to;
    return b > a ? b - a : 0;
}

/* Goodput: slot time that complete jobs used in the window, over all slots.
 * The window is the burst where there is one. */
static void
count_goodput(const struct workload *w, const struct vnet *n,
              struct figures *f)
{
    bool burst = w->burst_us > 0;
    int64_t from = burst ? w->burst_at_us : w->warm_us;
    int64_t to = burst ? w->burst_at_us + w->burst_us : w->length_us;
    double used = 0;

    for (size_t i = 0; i < n->n_calls; i++) {
        const struct vcall *c = &n->calls[i];

        for (uint32_t t = 0; is_complete(c) && t < c->n_tasks; t++) {
            const struct vtask *task = &c->tasks[t];

            used += (double)overlap_us(
                task->started_us, task->started_us + task->run_us, from, to);
        }
    }
    f->goodput = used / ((double)(to - from) * workload_slots(w));
}

static bool
is_upkeep(enum msg_kind kind)
{
    switch (kind) {
    case MSG_HEARTBEAT:
    case MSG_UPSTREAM_NEWS:
    case MSG_SYNC_REQUEST:
    case MSG_SYNC_REPLY:
    case MSG_CONFIG_REQUEST:
    case MSG_CONFIG_REPLY:
    case MSG_VOTE:
    case MSG_VOTE_REPLY:
    case MSG_APPEND:
    case MSG_APPEND_REPLY:
    case MSG_SNAPSHOT:
    case MSG_SNAPSHOT_REPLY:
    case MSG_READ_INDEX:
    case MSG_READ_REPLY:
    case MSG_HAND_OVER:
    case MSG_FOLLOWERS:
    case MSG_MOVES:
        return true;
    default:
        return false;
    }
}

/* The fewest messages: a request and an answer for each of a caller's own
 * requests, a round trip
 * to one voter for its claim, a start and an outcome for each task that ran.
 * What goes on without any job is upkeep and counted apart. */
static void
count_messages(const struct workload *w, const struct vnet *n,
               struct figures *f)
{
    uint64_t fewest = 0;
    uint64_t sent = 0;
    uint64_t upkeep = 0;
    double seconds = (double)n->now_us / USEC_PER_SEC;

    (void)w;
    for (size_t i = 0; i < n->n_calls; i++) {
        uint64_t ran = 0;

        for (uint32_t t = 0; t < n->calls[i].n_tasks; t++) {
            ran += n->calls[i].tasks[t].starts > 0 ? 1 : 0;
        }
        fewest +=
            2 * n->calls[i].wished + 2 * ran + (ran > 0 ? CLAIM_FEWEST : 0);
    }
    for (int k = HOP_SUBMIT; k <= HOP_REVOKED; k++) {
        sent += n->hop_count[k];
    }
    for (int k = HOP_FENCE; k <= HOP_ANNOUNCED; k++) {
        upkeep += n->hop_count[k];
    }
    memcpy(f->hops, n->hop_count, sizeof(f->hops));
    memcpy(f->messages, n->msg_count, sizeof(f->messages));
    for (int k = 0; k < MSG_KINDS; k++) {
        if (is_upkeep((enum msg_kind)k)) {
            upkeep += n->msg_count[k];
        }
        else {
            sent += n->msg_count[k];
        }
    }
    f->wasted =
        f->tasks == 0 ? 0 : ((double)sent - (double)fewest) / (double)f->tasks;
    f->upkeep =
        (double)upkeep / seconds / (double)(n->n_instances + n->n_upstreams);
}

static void
count_ends(const struct vnet *n, struct figures *f)
{
    f->jobs = n->n_calls;
    for (size_t i = 0; i < n->n_calls; i++) {
        const struct vcall *c = &n->calls[i];

        f->tasks += c->n_tasks;
        f->complete += is_complete(c) ? 1 : 0;
        f->failed += c->answer != NULL && !is_complete(c) ? 1 : 0;
        f->refused += c->refused ? 1 : 0;
        f->failed_by[c->answer != NULL ? c->answer->reason : REASON_NONE]++;
        f->refused_by[c->problem] += c->refused ? 1 : 0;
        f->open += c->settled ? 0 : 1;
        for (size_t t = 0; c->answer != NULL && t < c->answer->n_tasks; t++) {
            f->unknown += c->answer->tasks[t].state == TASK_UNKNOWN ? 1 : 0;
        }
    }
}

struct figures
figures_of(const struct workload *w, enum policy p)
{
    struct figures f = {.workload = w->name, .policy = p};
    struct vnet_options o = policy_options(p);
    struct vnet *n = workload_begin(w, &o);

    workload_run(w, n);
    f.broken = vcheck_judge(n);
    memcpy(f.first_broken, n->first_broken, sizeof(f.first_broken));
    count_ends(n, &f);
    count_responses(w, n, &f);
    count_goodput(w, n, &f);
    count_messages(w, n, &f);
    vnet_free(n);
    return f;
}

void
figures_print(const struct figures *f, FILE *out)
{
    if (f == NULL) {
        (void)fprintf(out,
                      "%-20s %-8s %6s %6s %5s %6s %5s %4s %6s %6s %6s %6s "
                      "%6s %7s %6s %6s %6s\n",
                      "workload", "policy", "jobs", "compl", "fail", "refus",
                      "unkn", "open", "mean", "p50", "p99", "mean/b", "p99/b",
                      "goodput", "wasted", "upkeep", "broken");
        return;
    }
    (void)fprintf(
        out,
        "%-20s %-8s %6llu %6llu %5llu %6llu %5llu %4llu %6.2f "
        "%6.2f %6.2f %6.2f %6.2f %7.3f %6.2f %6.2f %6llu%s%s\n",
        f->workload.s, policy_name(f->policy), (unsigned long long)f->jobs,
        (unsigned long long)f->complete, (unsigned long long)f->failed,
        (unsigned long long)f->refused, (unsigned long long)f->unknown,
        (unsigned long long)f->open, f->ratio_mean, f->ratio_p50, f->ratio_p99,
        f->mean_bound, f->p99_bound, f->goodput, f->wasted, f->upkeep,
        (unsigned long long)f->broken, f->broken > 0 ? "  " : "",
        f->broken > 0 ? f->first_broken : "");
}

static void
explain_one(const char *what, const char *name, uint64_t n, FILE *out)
{
    if (n > 0) {
        (void)fprintf(out, " %s%s=%llu", what, name, (unsigned long long)n);
    }
}

void
figures_explain(const struct figures *f, FILE *out)
{
    (void)fprintf(out, "  ");
    for (int i = REASON_COMPLETED + 1; i < REASONS; i++) {
        explain_one("failed:", reason_text((enum reason)i), f->failed_by[i],
                    out);
    }
    for (int i = 0; i < PROBLEMS; i++) {
        explain_one("refused:", problem_slug((enum problem)i),
                    f->refused_by[i], out);
    }
    for (int i = HOP_SUBMIT; i <= HOP_ANNOUNCED; i++) {
        explain_one("", hop_name((enum hop_kind)i), f->hops[i], out);
    }
    for (int i = 0; i < MSG_KINDS; i++) {
        explain_one("", msg_name((enum msg_kind)i), f->messages[i], out);
    }
    (void)fprintf(out, "\n");
}

/* ---- bounds ---- */

#define B_INT(key, text)                                                      \
    {                                                                         \
        "bound *", key, SETTING_INT, true, NULL, -1000000000, 1000000000,     \
            NULL, NULL, text                                                  \
    }

static const struct setting bounds_table[] = {
    B_INT("complete_min", "jobs answered complete"),
    B_INT("unknown_max", "tasks told as unknown"),
    B_INT("open_max", "callers without an answer"),
#define FIGURE(name, text) B_INT(#name, text " (thousandths)"),
    FIGURE_LIST(FIGURE)
#undef FIGURE
};

static const char *const figure_names[] = {
#define FIGURE(name, text) #name,
    FIGURE_LIST(FIGURE)
#undef FIGURE
};

enum { FIGURES = sizeof(figure_names) / sizeof(figure_names[0]) };

static double
figure_at(const struct figures *f, size_t i)
{
    const double values[] = {
#define FIGURE(name, text) f->name,
        FIGURE_LIST(FIGURE)
#undef FIGURE
    };

    return values[i];
}

static bool
more_is_better(size_t i)
{
    return strcmp(figure_names[i], "goodput") == 0;
}

static void
section_of(const struct figures *f, char *out, size_t size)
{
    (void)snprintf(out, size, "bound %s.%s", f->workload.s,
                   policy_name(f->policy));
}

static int
past_bound(const struct figures *f, const struct settings *s, FILE *out)
{
    char section[2 * NAME_SIZE];
    int past = 0;

    section_of(f, section, sizeof(section));
    if (settings_line(s, section, "complete_min") == 0) {
        (void)fprintf(out, "%s: no bounds\n", section);
        return 1;
    }
    if (f->broken > 0 ||
        f->complete < (uint64_t)settings_int(s, section, "complete_min") ||
        f->unknown > (uint64_t)settings_int(s, section, "unknown_max") ||
        f->open > (uint64_t)settings_int(s, section, "open_max")) {
        (void)fprintf(out, "%s: complete, unknown, open or broken\n", section);
        past++;
    }
    for (size_t i = 0; i < FIGURES; i++) {
        double bound =
            (double)settings_int(s, section, figure_names[i]) / 1000;
        double is = figure_at(f, i);

        if (more_is_better(i) ? is < bound : is > bound) {
            (void)fprintf(out, "%s: %s is %.3f, bound %.3f\n", section,
                          figure_names[i], is, bound);
            past++;
        }
    }
    return past > 0 ? 1 : 0;
}

int
figures_compare(const struct figures *f, size_t n, const char *path, FILE *out)
{
    struct settings *s = settings_read_file(
        bounds_table, sizeof(bounds_table) / sizeof(bounds_table[0]), path);
    size_t errors = 1;
    int past = 0;

    if (s != NULL) {
        (void)settings_errors(s, &errors);
        settings_print_errors(s, stderr);
    }
    for (size_t i = 0; errors == 0 && i < n; i++) {
        past += past_bound(&f[i], s, out);
    }
    settings_free(s);
    return errors == 0 ? past : -1;
}

/* The run itself has no noise, but a change that draws one random number more
 * gives other ties: that moved 99th percentiles in overload by up to a tenth
 * and the other figures by less. */
static long
with_slack(const struct figures *f, size_t i)
{
    double is = figure_at(f, i) * 1000;
    double slack = fabs(is) * SLACK_PERCENT / 100 + 2;

    return more_is_better(i) ? lround(is - slack) : lround(is + slack);
}

bool
figures_update(const struct figures *f, size_t n, const char *path)
{
    FILE *out = fopen(path, "w");

    if (out == NULL) {
        return false;
    }
    (void)fprintf(out, "; Written by `make bench-update`; a commit of its own "
                       "gives the reason.\n");
    for (size_t i = 0; i < n; i++) {
        char section[2 * NAME_SIZE];

        section_of(&f[i], section, sizeof(section));
        (void)fprintf(
            out, "\n[%s]\ncomplete_min = %llu\nunknown_max = %llu\n", section,
            (unsigned long long)(f[i].complete -
                                 f[i].complete * JOBS_SLACK_PERCENT / 100),
            (unsigned long long)(f[i].unknown +
                                 f[i].unknown * SLACK_PERCENT / 100 +
                                 TASKS_SLACK));
        (void)fprintf(out, "open_max = %llu\n", (unsigned long long)f[i].open);
        for (size_t k = 0; k < FIGURES; k++) {
            (void)fprintf(out, "%s = %ld\n", figure_names[k],
                          with_slack(&f[i], k));
        }
    }
    return fclose(out) == 0;
}
