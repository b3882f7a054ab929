#include "slopes.h"

#include <gsl/gsl_fit.h>
#include <malloc.h>
#include <stdlib.h>
#include <time.h>

#include "workload.h"

enum {
    SIZES = 4,
    CLOCK_TRIES = 100000,
    QUIET_SEC = 20,
    TRIES = 5,
    HEAP_KEPT = 1 << 30
};

/* struct point - one run at one size */
struct point {
    double size;
    double cpu_us;
    double messages;
    double bytes;
    double memory;
    double starts;
};

static int64_t
thread_cpu_ns(void)
{
    struct timespec t;

    (void)clock_gettime(CLOCK_THREAD_CPUTIME_ID, &t);
    return t.tv_sec * INT64_C(1000000000) + t.tv_nsec;
}

/* What reading the clock twice adds to every step. */
static double
clock_cost_ns(void)
{
    int64_t begin = thread_cpu_ns();

    for (int i = 0; i < CLOCK_TRIES; i++) {
        (void)thread_cpu_ns();
    }
    return (double)(thread_cpu_ns() - begin) / CLOCK_TRIES;
}

static double
heap_bytes(void)
{
    struct mallinfo2 m = mallinfo2();

    return (double)m.uordblks + (double)m.hblkhd;
}

/* Memory of the reducers: what freeing them gives back. */
static double
free_entries(struct vnet *n)
{
    double before = heap_bytes();

    for (uint32_t i = 0; i < n->n_instances; i++) {
        entry_free(n->instances[i].entry);
        n->instances[i].entry = NULL;
    }
    return before - heap_bytes();
}

static uint64_t
total(const uint64_t *counts, size_t n)
{
    uint64_t sum = 0;

    for (size_t i = 0; i < n; i++) {
        sum += counts[i];
    }
    return sum;
}

static struct point
finish(struct vnet *n, double size, double clock_ns)
{
    struct point p = {.size = size};

    if (n->cpu_ns != NULL) {
        p.cpu_us = ((double)n->used_ns - clock_ns * (double)n->steps) / 1000;
    }
    p.messages = (double)total(n->msg_count, MSG_KINDS);
    p.bytes = (double)total(n->msg_bytes, MSG_KINDS);
    p.starts = (double)n->n_starts;
    p.memory = free_entries(n);
    vnet_free(n);
    return p;
}

/* ---- what is varied ---- */

static struct workload
base_workload(void)
{
    return (struct workload){.name = {"slope"},
                             .seed = 7,
                             .zones = 3,
                             .instances = 2,
                             .upstreams = 16,
                             .length_us = 12 * USEC_PER_SEC,
                             .load = 0.5,
                             .tasks_mean = 4,
                             .tasks_max = 32,
                             .run_min_us = 50 * USEC_PER_MSEC,
                             .run_max_us = 1 * USEC_PER_SEC,
                             .declared_off = 1,
                             .straggler_factor = 1,
                             .deadline_us = 20 * USEC_PER_SEC,
                             .patience_us = 30 * USEC_PER_SEC};
}

static struct point
run_point(const struct workload *w, const struct vnet_options *base,
          double size, double clock_ns)
{
    struct vnet_options o = *base;
    struct vnet *n;

    o.bytes = true;
    n = workload_begin(w, &o);
    n->cpu_ns = thread_cpu_ns;
    workload_run(w, n);
    return finish(n, size, clock_ns);
}

/* Task starts: the same system, more load; jobs of four tasks. */
static struct point
run_starts(int i, double clock_ns)
{
    static const double loads[SIZES] = {0.1, 0.25, 0.4, 0.55};
    struct vnet_options o = vnet_options_default();
    struct workload w = base_workload();
    struct point p;

    w.load = loads[i];
    p = run_point(&w, &o, 0, clock_ns);
    p.size = p.starts;
    return p;
}

/* One-task jobs: each costs a claim as well. */
static struct point
run_jobs(int i, double clock_ns)
{
    static const double loads[SIZES] = {0.1, 0.25, 0.4, 0.55};
    struct vnet_options o = vnet_options_default();
    struct workload w = base_workload();
    struct point p;

    w.load = loads[i];
    w.tasks_mean = 1;
    w.tasks_max = 1;
    p = run_point(&w, &o, 0, clock_ns);
    p.size = p.starts;
    return p;
}

/* Upstreams of a zone, at the same load for each: what a start costs when
 * there are more to choose from. */
static struct point
run_choice(int i, double clock_ns)
{
    static const uint32_t upstreams[SIZES] = {16, 64, 160, 350};
    struct vnet_options o = vnet_options_default();
    struct workload w = base_workload();
    struct point p;

    w.zones = 1;
    w.upstreams = upstreams[i];
    w.length_us = 6 * USEC_PER_SEC;
    p = run_point(&w, &o, upstreams[i], clock_ns);
    p.cpu_us /= p.starts;
    p.messages /= p.starts;
    p.bytes /= p.starts;
    return p;
}

/* struct quiet - a system without jobs */
struct quiet {
    uint32_t zones;
    uint32_t instances; /* a zone */
    uint32_t upstreams; /* a zone */
    uint32_t services;
    uint32_t changes; /* of configuration */
};

static struct point
run_quiet(struct quiet q, double size, double clock_ns)
{
    struct vnet_options o = vnet_options_default();
    struct vnet *n;
    struct point p;

    o.zones = q.zones;
    o.instances = q.instances;
    o.upstreams = q.upstreams;
    o.services = q.services;
    o.bytes = true;
    n = vnet_new(&o);
    n->cpu_ns = thread_cpu_ns;
    vnet_run(n, 5 * USEC_PER_SEC);
    n->used_ns = 0;
    n->steps = 0;
    for (int k = 0; k < MSG_KINDS; k++) {
        n->msg_count[k] = 0;
        n->msg_bytes[k] = 0;
    }
    for (uint32_t c = 0; c < q.changes; c++) {
        vnet_publish(n);
        vnet_run(n, n->now_us + QUIET_SEC * USEC_PER_SEC / q.changes);
    }
    vnet_run(n, (5 + QUIET_SEC) * USEC_PER_SEC);
    p = finish(n, size, clock_ns);
    return p;
}

/* Upstreams without any job: announcements and renewals, a second. */
static struct point
run_upstreams(int i, double clock_ns)
{
    static const uint32_t upstreams[SIZES] = {16, 64, 160, 350};
    struct point p = run_quiet((struct quiet){1, 2, upstreams[i], 1, 0},
                               upstreams[i], clock_ns);

    p.cpu_us /= QUIET_SEC * 2;
    p.messages /= QUIET_SEC * 2;
    p.bytes /= QUIET_SEC * 2;
    p.memory /= 2;
    return p;
}

/* Entry instances of a region: heartbeats, a second and instance. */
static struct point
run_instances(int i, double clock_ns)
{
    static const uint32_t instances[SIZES] = {2, 4, 8, 14};
    uint32_t all = 3 * instances[i];
    struct point p =
        run_quiet((struct quiet){3, instances[i], 1, 1, 0}, all, clock_ns);

    p.cpu_us /= (double)QUIET_SEC * all;
    p.messages /= (double)QUIET_SEC * all;
    p.bytes /= (double)QUIET_SEC * all;
    p.memory /= all;
    return p;
}

/* Services of the configuration: each heartbeat tells the load of each. */
static struct point
run_services(int i, double clock_ns)
{
    static const uint32_t services[SIZES] = {1, 10, 40, 100};
    struct point p = run_quiet((struct quiet){3, 2, 1, services[i], 0},
                               services[i], clock_ns);

    p.cpu_us /= QUIET_SEC * 6;
    p.messages /= QUIET_SEC * 6;
    p.bytes /= QUIET_SEC * 6;
    p.memory /= 6;
    return p;
}

/* A heartbeat with the loads of that many services; only services with work
 * or free slots are in it, so the quiet runs above show none. */
static struct point
run_loads(int i, double clock_ns)
{
    static const size_t loads[SIZES] = {0, 10, 40, 100};
    struct msg m = {.kind = MSG_HEARTBEAT};
    struct rec_heartbeat *hb = &m.u.heartbeat;
    struct point p = {.size = (double)loads[i]};
    msgpack_sbuffer out;

    (void)clock_ns;
    hb->incarnation = UINT64_C(1764720000000000);
    hb->loads = calloc(loads[i] + 1, sizeof(*hb->loads));
    if (hb->loads == NULL) {
        abort();
    }
    hb->n_loads = loads[i];
    for (size_t s = 0; s < loads[i]; s++) {
        (void)snprintf(hb->loads[s].service.s, NAME_SIZE, "service-%03zu", s);
        hb->loads[s].free_slots = 1000;
        hb->loads[s].backlog = 1000;
        hb->loads[s].running = 1000;
    }
    msgpack_sbuffer_init(&out);
    p.bytes = wire_encode(&m, &out) == WIRE_OK ? (double)out.size + 4 : 0;
    msgpack_sbuffer_destroy(&out);
    msg_free(&m);
    return p;
}

/* Changes of configuration, an instance. */
static struct point
run_changes(int i, double clock_ns)
{
    static const uint32_t changes[SIZES] = {0, 20, 60, 200};
    struct point p = run_quiet((struct quiet){3, 2, 1, 1, changes[i]},
                               changes[i], clock_ns);

    p.cpu_us /= 6;
    p.messages /= 6;
    p.bytes /= 6;
    p.memory /= 6;
    return p;
}

/* ---- claims and queued tasks: memory alone ---- */

static struct vcall
plain_job(uint64_t i, uint32_t n_tasks, int64_t at_us)
{
    struct vcall c = {.at_us = at_us, .n_tasks = n_tasks};

    (void)snprintf(c.key, sizeof(c.key), "slope-%llu", (unsigned long long)i);
    c.deadline_us = 60 * USEC_PER_SEC;
    c.patience_us = 120 * USEC_PER_SEC;
    c.tasks = calloc(n_tasks, sizeof(*c.tasks));
    if (c.tasks == NULL) {
        abort();
    }
    for (uint32_t t = 0; t < n_tasks; t++) {
        c.tasks[t].run_us = USEC_PER_MSEC;
    }
    return c;
}

/* Jobs that ended and whose answer is no longer kept: what remains is that
 * their key was used.  Three voters and one claimer know it. */
static struct point
run_claims(int i, double clock_ns)
{
    static const uint32_t jobs[SIZES] = {2000, 8000, 16000, 32000};
    struct vnet_options o = vnet_options_default();
    struct vnet *n;

    o.zones = 1;
    o.instances = 3;
    o.entry.answer_keep_us = USEC_PER_SEC;
    n = vnet_new(&o);
    for (uint32_t j = 0; j < jobs[i]; j++) {
        struct vcall c = plain_job(j, 1, 2 * USEC_PER_SEC + (int64_t)j * 500);

        c.instance = j % 3;
        (void)vcaller_add(n, &c);
    }
    vnet_run(n, 30 * USEC_PER_SEC);
    return finish(n, jobs[i], clock_ns);
}

/* Tasks that wait: a single upstream with one slot, one job a second. */
static struct point
run_queued(int i, double clock_ns)
{
    static const uint32_t jobs[SIZES] = {20, 60, 120, 200};
    struct vnet_options o = vnet_options_default();
    struct vnet *n;

    o.zones = 1;
    o.instances = 1;
    o.upstreams = 1;
    o.slots = 1;
    o.service.run_us = USEC_PER_MSEC;
    n = vnet_new(&o);
    for (uint32_t j = 0; j < jobs[i]; j++) {
        struct vcall c = plain_job(j, 50, 2 * USEC_PER_SEC);

        for (uint32_t t = 0; t < c.n_tasks; t++) {
            c.tasks[t].run_us = 100 * USEC_PER_SEC;
            c.tasks[t].declared_us = USEC_PER_MSEC;
        }
        (void)vcaller_add(n, &c);
    }
    vnet_run(n, 2500 * USEC_PER_MSEC);
    return finish(n, (double)jobs[i] * 50, clock_ns);
}

/* ---- fits ---- */

enum column { COLUMN_CPU, COLUMN_MESSAGES, COLUMN_BYTES, COLUMN_MEMORY };

static double
column_of(const struct point *p, enum column c)
{
    const double values[] = {p->cpu_us, p->messages, p->bytes, p->memory};

    return values[c];
}

static void
print_fit(const struct point *p, enum column c, const char *what,
          const char *unit, FILE *out)
{
    double x[SIZES];
    double y[SIZES];
    double base;
    double slope;
    double cov[3];
    double rest;

    for (int i = 0; i < SIZES; i++) {
        x[i] = p[i].size;
        y[i] = column_of(&p[i], c);
    }
    (void)gsl_fit_linear(x, 1, y, 1, SIZES, &base, &slope, &cov[0], &cov[1],
                         &cov[2], &rest);
    (void)fprintf(out, "  %-11s %12.4f + %10.5f a %s\n", unit, base, slope,
                  what);
}

/* struct experiment - what is varied and which columns mean something */
struct experiment {
    const char *title;
    const char *what;
    struct point (*run)(int i, double clock_ns);
    bool columns[4];
};

static const struct experiment experiments[] = {
    {"task starts (jobs of 4 tasks), whole system of 6 instances",
     "task start",
     run_starts,
     {true, true, true, false}},
    {"one-task jobs, whole system of 6 instances",
     "job",
     run_jobs,
     {true, true, true, false}},
    {"per task start, by upstreams of the zone (2 instances)",
     "upstream",
     run_choice,
     {true, true, true, false}},
    {"a second and instance, by upstreams of the zone",
     "upstream",
     run_upstreams,
     {true, true, true, true}},
    {"a second and instance, by entry instances of the region",
     "instance",
     run_instances,
     {true, true, true, true}},
    {"a second and instance, by services (6 instances)",
     "service",
     run_services,
     {true, true, true, true}},
    {"one heartbeat, by services with work",
     "service",
     run_loads,
     {false, false, true, false}},
    {"an instance, by changes of configuration (1 service)",
     "change",
     run_changes,
     {true, true, true, false}},
    {"whole system of 3 voters, by ended jobs in the claim window",
     "job",
     run_claims,
     {false, false, false, true}},
    {"one instance, by queued tasks",
     "queued task",
     run_queued,
     {false, false, false, true}},
};

/* Whatever else the machine does only adds processor time. */
static struct point
least_of(const struct experiment *x, int i, double clock_ns)
{
    struct point least = x->run(i, clock_ns);

    for (int t = 1; t < TRIES; t++) {
        struct point p = x->run(i, clock_ns);

        least.cpu_us = p.cpu_us < least.cpu_us ? p.cpu_us : least.cpu_us;
    }
    return least;
}

static void
run_experiment(const struct experiment *x, double clock_ns, FILE *out)
{
    static const char *const units[] = {"cpu us", "messages", "bytes",
                                        "heap bytes"};
    struct point p[SIZES];

    (void)fprintf(out, "%s\n", x->title);
    for (int i = 0; i < SIZES; i++) {
        p[i] = least_of(x, i, clock_ns);
        (void)fprintf(out,
                      "  %8.0f: cpu us %.2f messages %.2f bytes %.1f heap "
                      "%.0f\n",
                      p[i].size, p[i].cpu_us, p[i].messages, p[i].bytes,
                      p[i].memory);
    }
    for (int c = 0; c < 4; c++) {
        if (x->columns[c]) {
            print_fit(p, (enum column)c, x->what, units[c], out);
        }
    }
}

void
slopes_run(FILE *out)
{
    double clock_ns = clock_cost_ns();

    /* Memory goes back to no one between runs, or the kernel's work to hand
     * it out anew would be counted as the reducers'. */
    (void)mallopt(M_MMAP_THRESHOLD, HEAP_KEPT);
    (void)mallopt(M_TRIM_THRESHOLD, HEAP_KEPT);
    (void)fprintf(out, "clock: %.0f ns, taken off each step\n", clock_ns);
    for (size_t i = 0; i < sizeof(experiments) / sizeof(experiments[0]); i++) {
        run_experiment(&experiments[i], clock_ns, out);
    }
}
