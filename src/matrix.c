#include "matrix.h"

#include <stdlib.h>
#include <string.h>

#include "cells.h"
#include "scenario.h"

enum { LABEL_SIZE = 64, FAULTS_PER_CELL = 2 };

#define LATE_US (3 * USEC_PER_SEC)
#define REORDER_US (3 * USEC_PER_MSEC)
#define SILENT_US (3 * USEC_PER_SEC)
#define CUT_US (8 * USEC_PER_SEC)
#define PAUSE_US (20 * USEC_PER_SEC)
#define RETURN_US (10 * USEC_PER_SEC) /* until what died is there again */
#define SLOW_TIMES 8

enum need { NEED_HOP, NEED_SENDER, NEED_RECEIVER };

static const struct {
    const char *name;
    enum need need;
} faults[] = {
#define FAULT(NAME, need) {#NAME, NEED_##need},
    FAULT_LIST(FAULT)
#undef FAULT
};

static const struct {
    const char *text;
    enum promise promise;
} mutants[] = {
#define MUTANT_KIND(NAME, promise, text) {text, PROMISE_##promise},
    MUTANT_LIST(MUTANT_KIND)
#undef MUTANT_KIND
};

/* struct step - a hop of the traced run */
struct step {
    uint64_t number;
    struct end from;
    struct end to;
    enum hop_kind kind;
    char label[LABEL_SIZE];
};

struct trace {
    struct step *steps;
    size_t n;
    size_t room;
};

struct cell {
    struct matrix_fault faults[FAULTS_PER_CELL];
    size_t n_faults;
    bool struck[FAULTS_PER_CELL]; /* a paused hop arrives twice */
    bool broken[PROMISES];
    bool failed;
    char text[200];
    struct end silent_a; /* the two ends of a silent connection */
    struct end silent_b;
    int64_t silent_until_us;
};

struct cells {
    struct cell *items;
    size_t n;
    size_t room;
    uint64_t seed;
    int mutant; /* -1: none */
    struct trace *trace;
};

/* ---- the trace ---- */

static const char *
side(const struct vnet *n, const struct hop *h)
{
    uint32_t a = vnet_zone_of(n, h->from);
    uint32_t b = vnet_zone_of(n, h->to);

    if (a == ZONES_MAX || b == ZONES_MAX) {
        return "outside";
    }
    return a == b ? "zone" : "far";
}

static void
label_of(const struct vnet *n, const struct hop *h, char out[LABEL_SIZE])
{
    const char *name =
        h->kind == HOP_MESSAGE ? msg_name(h->msg.kind) : hop_name(h->kind);

    (void)snprintf(out, LABEL_SIZE, "%s.%u.%s.%d%d", name, h->code, side(n, h),
                   h->from.role, h->to.role);
}

static enum hop_fate
trace_hop(void *arg, struct vnet *n, enum hop_point point, struct hop *h,
          int64_t *delay_us)
{
    struct trace *t = arg;
    struct step *s;

    *delay_us = 0;
    if (point != POINT_SENT || n->now_us < SCENARIO_BEGIN_US ||
        n->now_us > SCENARIO_END_US) {
        return FATE_PASS;
    }
    t->steps = vnet_grow(t->steps, t->n, &t->room, sizeof(*t->steps));
    s = &t->steps[t->n++];
    *s = (struct step){h->number, h->from, h->to, h->kind, ""};
    label_of(n, h, s->label);
    return FATE_PASS;
}

static struct trace
trace_run(uint64_t seed)
{
    struct trace t = {0};
    struct vnet *n = scenario_begin(seed, -1);

    n->hook = (struct vnet_hook){trace_hop, &t};
    scenario_run(n);
    vnet_free(n);
    return t;
}

void
matrix_steps(uint64_t seed, FILE *out)
{
    struct trace t = trace_run(seed);

    for (size_t i = 0; i < t.n; i++) {
        (void)fprintf(out, "%llu %s\n", (unsigned long long)t.steps[i].number,
                      t.steps[i].label);
    }
    free(t.steps);
}

/* ---- one cell ---- */

static bool
between(const struct hop *h, struct end a, struct end b)
{
    return (h->from.role == a.role && h->from.index == a.index &&
            h->to.role == b.role && h->to.index == b.index) ||
           (h->from.role == b.role && h->from.index == b.index &&
            h->to.role == a.role && h->to.index == a.index);
}

/* Fences and questions go over fresh connections, which work. */
static bool
is_silenced(const struct vnet *n, const struct cell *c, const struct hop *h)
{
    bool fresh = h->kind >= HOP_REVOKE && h->kind <= HOP_ANNOUNCED;

    return n->now_us < c->silent_until_us && !fresh &&
           between(h, c->silent_a, c->silent_b);
}

static void
begin_silence(struct vnet *n, struct cell *c, const struct hop *h)
{
    c->silent_a = h->from;
    c->silent_b = h->to;
    c->silent_until_us = n->now_us + SILENT_US;
    if (h->kind != HOP_MESSAGE || h->from.role != END_INSTANCE ||
        h->to.role != END_INSTANCE) {
        return;
    }
    for (int up = 0; up < 2; up++) {
        vnet_add(n, HOP_PEER, h->from, h->to, SILENT_US + up)->ok = up;
        vnet_add(n, HOP_PEER, h->to, h->from, SILENT_US + up)->ok = up;
    }
}

static uint32_t
upstream_near(const struct vnet *n, const struct hop *h)
{
    if (h->to.role == END_UPSTREAM) {
        return h->to.index;
    }
    if (h->from.role == END_UPSTREAM) {
        return h->from.index;
    }
    return (uint32_t)(h->number % n->n_upstreams);
}

static void
return_later(struct vnet *n, enum scenario_code code, uint32_t index,
             int64_t after_us)
{
    struct end none = {END_NONE, 0};
    struct hop *h = vnet_add(n, HOP_SCRIPT, none, none, after_us);

    h->code = code;
    h->call = index;
}

static void
strike_upstream(struct vnet *n, enum fault fault, uint32_t i)
{
    struct vupstream *u = &n->upstreams[i];

    switch (fault) {
    case FAULT_UPSTREAM_SLOW:
        u->slow = SLOW_TIMES;
        break;
    case FAULT_UPSTREAM_FAILING:
        u->failing = true;
        break;
    case FAULT_UPSTREAM_LEAVING:
        vupstream_leave(n, i);
        break;
    case FAULT_UPSTREAM_RENAMED:
        vupstream_restart(n, i);
        (void)snprintf(u->name.s, sizeof(u->name.s), "renamed-%u", i);
        return;
    case FAULT_UPSTREAM_RESTARTED:
        vupstream_restart(n, i);
        return;
    default:
        vupstream_die(n, i, fault == FAULT_UPSTREAM_HUNG);
        break;
    }
    return_later(n, SCENARIO_UPSTREAM_BACK, i, RETURN_US);
}

static void
strike_instance(struct vnet *n, enum fault fault, uint32_t i)
{
    switch (fault) {
    case FAULT_KILL_SENDER:
    case FAULT_KILL_RECEIVER:
    case FAULT_KILL_READER:
        vnet_kill(n, i);
        return_later(n, SCENARIO_INSTANCE_BACK, i, RETURN_US);
        break;
    case FAULT_RESTART_SENDER:
    case FAULT_RESTART_RECEIVER:
    case FAULT_RESTART_READER:
        vnet_restart(n, i);
        break;
    case FAULT_PAUSE_SENDER:
    case FAULT_PAUSE_RECEIVER:
        vnet_pause(n, i, PAUSE_US);
        break;
    default:
        return_later(n, SCENARIO_INSTANCE_STOP, i, 0);
        return_later(n, SCENARIO_INSTANCE_BACK, i, 2 * RETURN_US);
        break;
    }
}

static void
strike_control(struct vnet *n, enum fault fault, uint32_t i)
{
    switch (fault) {
    case FAULT_KILL_SENDER:
    case FAULT_KILL_RECEIVER:
    case FAULT_KILL_READER:
        vcontrol_kill(n, i);
        return_later(n, SCENARIO_CONTROL_BACK, i, RETURN_US);
        break;
    case FAULT_RESTART_SENDER:
    case FAULT_RESTART_RECEIVER:
    case FAULT_RESTART_READER:
        vcontrol_restart(n, i);
        break;
    case FAULT_PAUSE_SENDER:
    case FAULT_PAUSE_RECEIVER:
        vcontrol_pause(n, i, PAUSE_US);
        break;
    default:
        return_later(n, SCENARIO_CONTROL_STOP, i, 0);
        return_later(n, SCENARIO_CONTROL_BACK, i, 2 * RETURN_US);
        break;
    }
}

static void
strike_process(struct vnet *n, enum fault fault, struct end end)
{
    if (end.role == END_CONTROL) {
        strike_control(n, fault, end.index);
    }
    else {
        strike_instance(n, fault, end.index);
    }
}

static bool
is_process(struct end end)
{
    return end.role == END_INSTANCE || end.role == END_CONTROL;
}

static enum hop_point
point_of(enum fault fault)
{
    switch (fault) {
    case FAULT_KILL_READER:
    case FAULT_RESTART_READER:
        return POINT_READ;
    case FAULT_KILL_RECEIVER:
    case FAULT_RESTART_RECEIVER:
    case FAULT_PAUSE_RECEIVER:
    case FAULT_STOP_RECEIVER:
        return POINT_ARRIVES;
    default:
        return POINT_SENT;
    }
}

static void
cut_zone(struct vnet *n, const struct hop *h)
{
    uint32_t zone = vnet_zone_of(n, h->to);

    zone = zone == ZONES_MAX ? vnet_zone_of(n, h->from) : zone;
    if (zone < n->opts.zones) {
        vnet_cut(n, zone, CUT_US);
    }
}

static enum hop_fate
strike(struct vnet *n, struct cell *c, enum fault fault, struct hop *h,
       int64_t *delay_us)
{
    switch (fault) {
    case FAULT_LOST:
        return FATE_LOSE;
    case FAULT_DOUBLED:
        return h->kind == HOP_START ? FATE_PASS : FATE_DOUBLE;
    case FAULT_LATE:
        *delay_us = LATE_US;
        return FATE_DELAY;
    case FAULT_REORDERED:
        *delay_us = REORDER_US;
        return FATE_DELAY;
    case FAULT_SILENT:
        begin_silence(n, c, h);
        return FATE_LOSE;
    case FAULT_ZONE_CUT:
        cut_zone(n, h);
        return FATE_PASS;
    case FAULT_CONTROL_RESTARTED:
        for (uint32_t i = 0; i < VCONTROLS; i++) {
            vcontrol_restart(n, i);
        }
        return FATE_PASS;
    default:
        break;
    }
    if (faults[fault].need == NEED_HOP) {
        strike_upstream(n, fault, upstream_near(n, h));
    }
    else if (faults[fault].need == NEED_SENDER) {
        strike_process(n, fault, h->from);
    }
    else {
        strike_process(n, fault, h->to);
    }
    return FATE_PASS;
}

static enum hop_fate
cell_hop(void *arg, struct vnet *n, enum hop_point point, struct hop *h,
         int64_t *delay_us)
{
    struct cell *c = arg;
    enum hop_fate fate = FATE_PASS;

    if (point == POINT_SENT && is_silenced(n, c, h)) {
        return FATE_LOSE;
    }
    for (size_t i = 0; i < c->n_faults; i++) {
        const struct matrix_fault *f = &c->faults[i];
        enum need need = faults[f->fault].need;

        if (c->struck[i] || f->step != h->number ||
            point != point_of(f->fault) ||
            (need == NEED_SENDER && !is_process(h->from)) ||
            (need == NEED_RECEIVER && !is_process(h->to))) {
            continue;
        }
        c->struck[i] = true;
        fate = strike(n, c, f->fault, h, delay_us);
    }
    return fate;
}

static void
cell_run(struct cell *c, uint64_t seed, int mutant, FILE *log)
{
    struct vnet *n = scenario_begin(seed, mutant);

    memset(c->struck, 0, sizeof(c->struck));
    c->silent_until_us = 0;
    n->log = log;
    n->hook = (struct vnet_hook){cell_hop, c};
    scenario_run(n);
    c->failed = vcheck_judge(n) > 0;
    for (int p = 0; p < PROMISES; p++) {
        c->broken[p] = n->broken[p] > 0;
    }
    memcpy(c->text, n->first_broken, sizeof(c->text));
    vnet_free(n);
}

/* ---- all cells ---- */

/* With a mutant one cell that notices it is enough. */
static bool
run_one(void *ctx, size_t i)
{
    struct cells *cs = ctx;
    struct cell *c = &cs->items[i];

    cell_run(c, cs->seed, cs->mutant, NULL);
    return cs->mutant >= 0 && c->broken[mutants[cs->mutant].promise];
}

/* Whether the mutant was noticed. */
static bool
run_all(struct cells *cs, uint32_t threads, int mutant)
{
    cs->mutant = mutant;
    return cells_run(cs->n, threads, run_one, cs);
}

static bool
applies(enum fault fault, const struct step *s)
{
    switch (faults[fault].need) {
    case NEED_SENDER:
        return is_process(s->from);
    case NEED_RECEIVER:
        return is_process(s->to);
    default:
        break;
    }
    if (fault == FAULT_DOUBLED) {
        /* HTTP over TCP reads a request or a response once. */
        return s->kind != HOP_START && s->kind != HOP_SUBMIT &&
               s->kind != HOP_CANCEL && s->to.role != END_CALLER;
    }
    return true;
}

static struct cell *
cells_add(struct cells *cs)
{
    struct cell *c;

    cs->items = vnet_grow(cs->items, cs->n, &cs->room, sizeof(*cs->items));
    c = &cs->items[cs->n++];
    memset(c, 0, sizeof(*c));
    return c;
}

static int
by_label(const void *a, const void *b)
{
    const struct step *x = a;
    const struct step *y = b;
    int order = strcmp(x->label, y->label);

    return order != 0 ? order
                      : (x->number > y->number) - (x->number < y->number);
}

static void
add_singles(void *ctx, size_t i)
{
    struct cells *cs = ctx;
    const struct step *s = &cs->trace->steps[i];

    for (int f = 0; f < FAULTS; f++) {
        if (applies((enum fault)f, s)) {
            struct cell *c = cells_add(cs);

            c->faults[0] = (struct matrix_fault){s->number, (enum fault)f};
            c->n_faults = 1;
        }
    }
}

static const char *
label_at(void *ctx, size_t i)
{
    const struct cells *cs = ctx;

    return cs->trace->steps[i].label;
}

static size_t
add_all_singles(struct cells *cs, struct trace *t, uint32_t per_label)
{
    struct cells_labels l = {.n = t->n,
                             .per_label = per_label,
                             .label = label_at,
                             .take = add_singles,
                             .ctx = cs};

    qsort(t->steps, t->n, sizeof(*t->steps), by_label);
    cs->trace = t;
    return cells_choose(&l);
}

/* Pairs: two single cells drawn at random, of the same kind of fault or not;
 * a pair at neighbouring steps is as likely as one far apart. */
static void
add_pairs(struct cells *cs, size_t singles, uint32_t pairs, gsl_rng *rng)
{
    for (uint32_t i = 0; i < pairs && singles > 0; i++) {
        size_t a = gsl_rng_uniform_int(rng, singles);
        size_t b = gsl_rng_uniform_int(rng, singles);
        struct cell *c = cells_add(cs);

        c->faults[0] = cs->items[a].faults[0];
        c->faults[1] = cs->items[b].faults[0];
        if (i % 2 == 0) {
            c->faults[1].fault = c->faults[0].fault;
        }
        if (i % 3 == 0) {
            c->faults[1].step =
                c->faults[0].step + 1 + gsl_rng_uniform_int(rng, 20);
        }
        c->n_faults = 2;
    }
}

static void
cell_text(const struct cell *c, char *out, size_t size)
{
    size_t at = 0;

    for (size_t i = 0; i < c->n_faults && at < size; i++) {
        at += (size_t)snprintf(out + at, size - at, "%s%llu:%s",
                               i > 0 ? "," : "",
                               (unsigned long long)c->faults[i].step,
                               faults[c->faults[i].fault].name);
    }
}

static void
print_cell(const struct cell *c, uint64_t seed, FILE *out)
{
    char text[LABEL_SIZE * 2];

    cell_text(c, text, sizeof(text));
    (void)fprintf(out, "failed: bm-bench --seed %llu --cell %s: %s\n",
                  (unsigned long long)seed, text, c->text);
    for (int p = 0; p < PROMISES; p++) {
        if (c->broken[p]) {
            (void)fprintf(out, "    %s\n", promise_text((enum promise)p));
        }
    }
}

static void
judge(const struct cells *cs, struct matrix_result *r, FILE *out)
{
    r->cells = cs->n;
    for (size_t i = 0; i < cs->n; i++) {
        if (cs->items[i].failed) {
            r->failed++;
            print_cell(&cs->items[i], cs->seed, out);
        }
        else {
            r->passed++;
        }
    }
}

static void
run_mutants(struct cells *cs, size_t singles, uint32_t threads,
            struct matrix_result *r, FILE *out)
{
    size_t all = cs->n;

    cs->n = singles;
    for (int m = 0; m < MUTANTS; m++) {
        r->mutants++;
        if (run_all(cs, threads, m)) {
            r->caught++;
        }
        else {
            (void)fprintf(out, "not caught: mutant %d, %s\n", m,
                          mutants[m].text);
        }
    }
    cs->n = all;
}

struct matrix_result
matrix_run(const struct matrix_options *o, FILE *out)
{
    struct trace t = trace_run(o->seed);
    struct cells cs = {.seed = o->seed};
    struct matrix_result r = {0};
    gsl_rng *rng = gsl_rng_alloc(gsl_rng_mt19937);
    size_t labels;
    size_t singles;

    gsl_rng_set(rng, o->seed);
    labels = add_all_singles(&cs, &t, o->per_label);
    singles = cs.n;
    add_pairs(&cs, singles, o->pairs, rng);
    (void)fprintf(out, "matrix: %zu steps, %zu labels, %d faults\n", t.n,
                  labels, FAULTS);
    (void)run_all(&cs, o->threads, -1);
    judge(&cs, &r, out);
    if (o->mutants) {
        run_mutants(&cs, singles, o->threads, &r, out);
    }
    gsl_rng_free(rng);
    free(cs.items);
    free(t.steps);
    return r;
}

static const char *
fault_name(int fault)
{
    return faults[fault].name;
}

bool
matrix_cell(uint64_t seed, const char *text, int mutant, FILE *out, bool *ok)
{
    struct cell c = {0};

    while (*text != '\0') {
        struct matrix_fault *f = &c.faults[c.n_faults];
        int fault;

        if (c.n_faults == FAULTS_PER_CELL ||
            !cells_parse(&text, fault_name, FAULTS, &f->step, &fault)) {
            return false;
        }
        f->fault = (enum fault)fault;
        c.n_faults++;
    }
    if (c.n_faults == 0) {
        return false;
    }
    cell_run(&c, seed, mutant, out);
    *ok = !c.failed;
    if (c.failed) {
        print_cell(&c, seed, out);
    }
    return true;
}
