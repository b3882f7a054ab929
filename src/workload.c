#include "workload.h"

#include <gsl/gsl_randist.h>
#include <math.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "key.h"
#include "settings.h"

enum { SLOTS = 8, DRAIN_SEC = 90, STRAGGLER_MIN_MS = 50 };

#define PERCENT 0.01

#define W_INT(key, lo, hi, def, text)                                         \
    {                                                                         \
        "workload", key, SETTING_INT, false, NULL, lo, hi, def, NULL, text    \
    }
#define F_INT(key, lo, hi, def, text)                                         \
    {                                                                         \
        "fault *", key, SETTING_INT, false, NULL, lo, hi, def, NULL, text     \
    }

static const struct setting table[] = {
    W_INT("seed", 1, 1000000, "1", "of the draws"),
    W_INT("zones", 1, ZONES_MAX, "3", "availability zones"),
    W_INT("instances", 1, 16, "2", "entry instances a zone"),
    W_INT("upstreams", 1, 1000, "16", "upstreams a zone"),
    W_INT("length_s", 1, 3600, "40", "arrivals stop then"),
    W_INT("warm_s", 1, 600, "5", "jobs before it do not count"),
    W_INT("load_percent", 1, 2000, "50", "of capacity"),
    W_INT("burst_percent", 0, 5000, "0", "load while a burst lasts"),
    W_INT("burst_at_s", 0, 3600, "0", "its begin"),
    W_INT("burst_s", 0, 600, "0", "its length"),
    W_INT("tasks_mean", 1, 250, "4", "tasks of a job, geometric"),
    W_INT("tasks_max", 1, 250, "32", "at most"),
    W_INT("run_min_ms", 1, 60000, "50", "of a task, log-uniform"),
    W_INT("run_max_ms", 1, 60000, "1000", "of a task"),
    W_INT("long_permille", 0, 1000, "10", "tasks of several seconds"),
    W_INT("long_ms", 1, 60000, "4000", "their run time"),
    W_INT("declared_off", 1, 100, "1", "factor that declared values are off"),
    W_INT("straggler_permille", 0, 1000, "0", "tasks that take far longer"),
    W_INT("straggler_factor", 1, 100, "10", "times longer"),
    W_INT("cancel_percent", 0, 100, "0", "jobs cancelled"),
    W_INT("cancel_at_s", 0, 3600, "0", "all at once; 0: each in its time"),
    W_INT("never_permille", 0, 1000, "0", "jobs that fit nowhere"),
    W_INT("resubmit_percent", 0, 100, "0", "jobs submitted twice"),
    W_INT("deadline_ms", 100, 600000, "20000", "of a job"),
    W_INT("patience_ms", 100, 600000, "30000", "of a caller"),
    W_INT("retries", 0, 20, "2", "after refusals"),
    {"fault *", "kind", SETTING_CHOICE, true, NULL, 0, 0, NULL,
     "kill|restart|pause|stop|cut|rack|upstream|failing|slow|leave",
     "what goes wrong"},
    F_INT("at_s", 0, 3600, "10", "when"),
    F_INT("for_s", 0, 3600, "0", "how long, where it ends"),
    F_INT("target", 0, 1000, "0", "number of the instance, zone, rack, ..."),
};

static int64_t
value(const struct settings *s, const char *key)
{
    return settings_int(s, "workload", key);
}

static void
read_sizes(const struct settings *s, struct workload *w)
{
    w->seed = (uint64_t)value(s, "seed");
    w->zones = (uint32_t)value(s, "zones");
    w->instances = (uint32_t)value(s, "instances");
    w->upstreams = (uint32_t)value(s, "upstreams");
    w->length_us = value(s, "length_s") * USEC_PER_SEC;
    w->warm_us = value(s, "warm_s") * USEC_PER_SEC;
    w->load = (double)value(s, "load_percent") * PERCENT;
    w->burst = (double)value(s, "burst_percent") * PERCENT;
    w->burst_at_us = value(s, "burst_at_s") * USEC_PER_SEC;
    w->burst_us = value(s, "burst_s") * USEC_PER_SEC;
    w->tasks_mean = (double)value(s, "tasks_mean");
    w->tasks_max = (uint32_t)value(s, "tasks_max");
    w->run_min_us = value(s, "run_min_ms") * USEC_PER_MSEC;
    w->run_max_us = value(s, "run_max_ms") * USEC_PER_MSEC;
    w->long_share = (double)value(s, "long_permille") * 0.1 * PERCENT;
    w->long_us = value(s, "long_ms") * USEC_PER_MSEC;
}

static void
read_troubles(const struct settings *s, struct workload *w)
{
    w->declared_off = (double)value(s, "declared_off");
    w->straggler_share =
        (double)value(s, "straggler_permille") * 0.1 * PERCENT;
    w->straggler_factor = (double)value(s, "straggler_factor");
    w->cancel_share = (double)value(s, "cancel_percent") * PERCENT;
    w->cancel_at_us = value(s, "cancel_at_s") * USEC_PER_SEC;
    w->never_share = (double)value(s, "never_permille") * 0.1 * PERCENT;
    w->resubmit_share = (double)value(s, "resubmit_percent") * PERCENT;
    w->deadline_us = value(s, "deadline_ms") * USEC_PER_MSEC;
    w->patience_us = value(s, "patience_ms") * USEC_PER_MSEC;
    w->retries = (uint32_t)value(s, "retries");
}

static void
read_faults(const struct settings *s, struct workload *w)
{
    size_t n = settings_count(s, "fault");

    for (size_t i = 0; i < n && i < WORKLOAD_FAULTS_MAX; i++) {
        struct workload_fault *f = &w->faults[w->n_faults++];
        char section[NAME_SIZE + 8];

        (void)snprintf(section, sizeof(section), "fault %s",
                       settings_name(s, "fault", i));
        f->kind =
            (enum workload_fault_kind)settings_choice(s, section, "kind");
        f->at_us = settings_int(s, section, "at_s") * USEC_PER_SEC;
        f->for_us = settings_int(s, section, "for_s") * USEC_PER_SEC;
        f->target = (uint32_t)settings_int(s, section, "target");
    }
}

static struct name
name_of_file(const char *path)
{
    const char *slash = strrchr(path, '/');
    struct name name = name_of(slash != NULL ? slash + 1 : path);
    char *dot = strrchr(name.s, '.');

    if (dot != NULL) {
        *dot = '\0';
    }
    return name;
}

bool
workload_read(const char *path, struct workload *w)
{
    struct settings *s =
        settings_read_file(table, sizeof(table) / sizeof(table[0]), path);
    size_t errors;

    if (s == NULL) {
        return false;
    }
    (void)settings_errors(s, &errors);
    if (errors > 0) {
        settings_print_errors(s, stderr);
        settings_free(s);
        return false;
    }
    memset(w, 0, sizeof(*w));
    w->name = name_of_file(path);
    read_sizes(s, w);
    read_troubles(s, w);
    read_faults(s, w);
    settings_free(s);
    return true;
}

uint32_t
workload_slots(const struct workload *w)
{
    return w->zones * w->upstreams * SLOTS;
}

/* ---- the jobs ---- */

static double
mean_run_us(const struct workload *w)
{
    double lo = (double)w->run_min_us;
    double hi = (double)w->run_max_us;
    double mean = hi > lo ? (hi - lo) / log(hi / lo) : lo;

    mean = (1 - w->long_share) * mean + w->long_share * (double)w->long_us;
    return mean * (1 + w->straggler_share * (w->straggler_factor - 1));
}

static int64_t
draw_run_us(const struct workload *w, gsl_rng *rng)
{
    double lo = log((double)w->run_min_us);
    double hi = log((double)w->run_max_us);
    double us = exp(lo + (hi - lo) * gsl_rng_uniform(rng));

    if (gsl_rng_uniform(rng) < w->long_share) {
        us = (double)w->long_us * (0.5 + gsl_rng_uniform(rng));
    }
    if (gsl_rng_uniform(rng) < w->straggler_share) {
        us *= w->straggler_factor;
    }
    return (int64_t)us;
}

static void
draw_tasks(const struct workload *w, gsl_rng *rng, struct vcall *c)
{
    c->n_tasks = gsl_ran_geometric(rng, 1 / w->tasks_mean);
    c->n_tasks = c->n_tasks > w->tasks_max ? w->tasks_max : c->n_tasks;
    c->tasks = calloc(c->n_tasks, sizeof(*c->tasks));
    if (c->tasks == NULL) {
        abort();
    }
    for (uint32_t i = 0; i < c->n_tasks; i++) {
        double off =
            exp((2 * gsl_rng_uniform(rng) - 1) * log(w->declared_off));

        c->tasks[i].run_us = draw_run_us(w, rng);
        c->tasks[i].declared_us =
            (int64_t)((double)c->tasks[i].run_us * off) + 1;
    }
}

static void
draw_troubles(const struct workload *w, gsl_rng *rng, struct vcall *c)
{
    if (gsl_rng_uniform(rng) < w->cancel_share) {
        c->cancel_us =
            w->cancel_at_us > c->at_us
                ? w->cancel_at_us
                : c->at_us + (int64_t)(gsl_rng_uniform(rng) * USEC_PER_SEC);
    }
    if (gsl_rng_uniform(rng) < w->never_share) {
        c->never_fits = true;
        c->need = (struct resources){1000000, 1024, 0};
    }
    if (gsl_rng_uniform(rng) < w->resubmit_share) {
        c->resubmit_us =
            c->at_us + (int64_t)(gsl_rng_uniform(rng) * USEC_PER_SEC);
    }
    c->idempotent = gsl_rng_uniform(rng) < 0.5;
}

static void
add_job(const struct workload *w, struct vnet *n, gsl_rng *rng, int64_t at_us,
        uint64_t sequence)
{
    struct vcall c = {.at_us = at_us};

    c.instance = (uint32_t)gsl_rng_uniform_int(rng, n->n_instances);
    c.deadline_us = w->deadline_us;
    c.patience_us = w->patience_us;
    c.retries = w->retries;
    draw_tasks(w, rng, &c);
    draw_troubles(w, rng, &c);
    key_mint(n->peers[c.instance].zone, n->peers[c.instance].name, 1,
             at_us + vnet_moment(n).wall_us - n->now_us, sequence, c.key);
    (void)vcaller_add(n, &c);
}

static double
load_at(const struct workload *w, int64_t us)
{
    bool burst = us >= w->burst_at_us && us < w->burst_at_us + w->burst_us;

    return burst ? w->burst : w->load;
}

static void
add_jobs(const struct workload *w, struct vnet *n)
{
    gsl_rng *rng = gsl_rng_alloc(gsl_rng_mt19937);
    double work_us = w->tasks_mean * mean_run_us(w);
    double at_us = 2.0 * USEC_PER_SEC; /* the upstreams are announced */
    uint64_t sequence = 0;

    gsl_rng_set(rng, w->seed);
    while (at_us < (double)w->length_us) {
        double rate = load_at(w, (int64_t)at_us) * workload_slots(w) / work_us;

        at_us += gsl_ran_exponential(rng, 1 / rate);
        add_job(w, n, rng, (int64_t)at_us, sequence++);
    }
    gsl_rng_free(rng);
}

/* ---- what goes wrong ---- */

static void
on_rack(struct vnet *n, uint32_t rack, bool begin)
{
    for (uint32_t i = 0; i < n->n_upstreams; i++) {
        if (n->upstreams[i].rack != rack) {
            continue;
        }
        if (begin) {
            vupstream_die(n, i, true);
        }
        else {
            vupstream_restart(n, i);
        }
    }
}

static void
on_upstream(struct vnet *n, const struct hop *h, bool begin)
{
    uint32_t i = (uint32_t)h->call % n->n_upstreams;
    struct vupstream *u = &n->upstreams[i];

    if (h->code == WF_FAILING) {
        u->failing = begin;
    }
    else if (h->code == WF_SLOW) {
        u->slow = begin ? 5 : 1;
    }
    else if (h->code == WF_LEAVE && begin) {
        vupstream_leave(n, i);
    }
    else if (begin) {
        vupstream_die(n, i, false);
    }
    else {
        vupstream_restart(n, i);
    }
}

static void
on_fault(struct vnet *n, const struct hop *h)
{
    uint32_t target = (uint32_t)h->call;
    uint32_t instance = target % n->n_instances;

    switch (h->code) {
    case WF_KILL:
    case WF_RESTART:
        if (h->ok && h->code == WF_KILL) {
            vnet_kill(n, instance);
        }
        else {
            vnet_restart(n, instance);
        }
        break;
    case WF_PAUSE:
        vnet_pause(n, instance, h->us);
        break;
    case WF_STOP:
        vnet_stop(n, instance);
        break;
    case WF_CUT:
        vnet_cut(n, target % n->opts.zones, h->us);
        break;
    case WF_RACK:
        on_rack(n, target, h->ok);
        break;
    default:
        on_upstream(n, h, h->ok);
        break;
    }
}

static bool
has_end(enum workload_fault_kind kind)
{
    return kind == WF_KILL || kind >= WF_RACK;
}

static void
plan_fault(struct vnet *n, const struct workload_fault *f, int64_t at_us,
           bool begin)
{
    struct end none = {END_NONE, 0};
    struct hop *h = vnet_add(n, HOP_SCRIPT, none, none, at_us);

    h->code = f->kind;
    h->call = f->target;
    h->us = f->for_us;
    h->ok = begin;
}

struct vnet *
workload_begin(const struct workload *w, const struct vnet_options *base)
{
    struct vnet_options o = *base;
    struct vnet *n;

    o.zones = w->zones;
    o.instances = w->instances;
    o.upstreams = w->upstreams;
    o.slots = SLOTS;
    o.seed = w->seed;
    n = vnet_new(&o);
    n->script = on_fault;
    for (size_t i = 0; i < w->n_faults; i++) {
        const struct workload_fault *f = &w->faults[i];

        plan_fault(n, f, f->at_us, true);
        if (f->for_us > 0 && has_end(f->kind)) {
            plan_fault(n, f, f->at_us + f->for_us, false);
        }
    }
    add_jobs(w, n);
    return n;
}

void
workload_run(const struct workload *w, struct vnet *n)
{
    int64_t us = w->length_us;

    while (us <= w->length_us + DRAIN_SEC * USEC_PER_SEC) {
        vnet_run(n, us);
        if (n->n_settled == n->n_calls) {
            break;
        }
        us += USEC_PER_SEC;
    }
}
