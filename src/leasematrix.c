#include "leasematrix.h"

#include <stdlib.h>
#include <string.h>

#include "array.h"
#include "cells.h"

enum {
    ZONES = 2,
    BROKERS_EACH = 2,
    UPSTREAMS_EACH = 2,
    QUEUES = 2,
    JOBS = 24,
    FAULTS_PER_CELL = 2,
    EVACUATED_FROM_JOB = 4,
    EVACUATED_UNTIL_JOB = 22,
    EVACUATING_PAIRS_DIVISOR = 4,
    /* Without claims, few steps leave a run that outlives its job. */
    UNCLAIMED_STEPS_FACTOR = 3,
    NO_BREAK = -1,
};

#define MSEC USEC_PER_MSEC
#define BEGIN_US (6 * USEC_PER_SEC) /* upstreams are held by then */
#define JOB_EVERY_US (150 * MSEC)
/* Slower, so that starts in the evacuated zone are judged for some seconds. */
#define EVACUATING_JOB_EVERY_US (300 * MSEC)
#define EVACUATION_US (1500 * MSEC)
/* A registry that is cut off from the others reports the older state. */
#define REGISTRY_LAG_US (8 * USEC_PER_SEC)
#define PAUSE_US (4 * USEC_PER_SEC) /* several leases */
/* Until what was struck is well again; a planned stop is over by then; power
 * is back within a lease. */
#define RETURN_US (4 * USEC_PER_SEC)
#define STOP_RETURN_US (7 * USEC_PER_SEC)
#define POWER_RETURN_US (150 * MSEC)
#define SETTLE_US (14 * USEC_PER_SEC)
#define PROBE_US (4 * USEC_PER_SEC)

enum need { NEED_HOP, NEED_SENDER, NEED_RECEIVER, NEED_UPSTREAM };

static const struct {
    const char *name;
    enum need need;
} faults[] = {
#define LEASE_FAULT(NAME, need) {#NAME, NEED_##need},
    LEASE_FAULT_LIST(LEASE_FAULT)
#undef LEASE_FAULT
};

static const char *const break_texts[] = {
#define BROKER_BREAK(NAME, text) text,
    BROKER_BREAK_LIST(BROKER_BREAK)
#undef BROKER_BREAK
};

/* What the cells of a matrix have in common; @wrong is an enum broker_break or
 * NO_BREAK. */
struct setting {
    uint64_t seed;
    int wrong;
    bool anywhere;
    bool unclaimed;
    bool evacuating;
};

static const char ANYWHERE[] = "anywhere/";
static const char UNCLAIMED[] = "unclaimed/";
static const char EVACUATING[] = "evacuating/";

struct trace {
    struct vlease_hop *steps;
    size_t n;
    size_t room;
};

struct strike {
    uint64_t step;
    enum lease_fault fault;
    bool done;
    bool power;        /* all brokers and registries are without */
    uint32_t broker;   /* struck, or VLEASE_NOBODY */
    uint32_t upstream; /* likewise */
    int64_t return_us;
};

struct cell {
    struct strike strikes[FAULTS_PER_CELL];
    size_t n_strikes;
    int64_t now_us;
    bool failed;
    char text[200]; /* what broke */
};

struct cells {
    struct cell *items;
    size_t n;
    size_t room;
    struct setting setting;
    struct trace *trace;
};

/* The scenario: short jobs and long ones, handed in at all brokers in turn. */

static struct vlease *
scenario(const struct setting *s)
{
    struct vlease_options o = vlease_options_default();

    o.zones = ZONES;
    o.brokers = BROKERS_EACH;
    o.upstreams = UPSTREAMS_EACH;
    o.seed = s->seed;
    o.resend_anywhere = s->anywhere;
    o.keep_arrived = s->anywhere;
    o.without[BROKER_FEATURE_CLAIMS] = s->unclaimed;
    o.registry_lag_us = REGISTRY_LAG_US;
    o.evacuation_us = EVACUATION_US;
    o.queues[0].tasks = 3;
    o.queues[0].run_us = 300 * MSEC;
    o.queues[0].timeout_us = 6 * USEC_PER_SEC;
    o.n_queues = QUEUES;
    o.queues[1] = o.queues[0];
    o.queues[1].tasks = 2;
    o.queues[1].run_us = 2500 * MSEC;
    o.queues[1].timeout_us = 10 * USEC_PER_SEC;
    if (s->wrong != NO_BREAK) {
        o.breaks[s->wrong] = true;
    }
    return vlease_new(&o);
}

static enum vlease_fate
trace_hop(void *ctx, struct vlease *v, const struct vlease_hop *hop)
{
    struct trace *t = ctx;

    (void)v;
    t->steps = array_grow(t->steps, t->n, &t->room, sizeof(*t->steps));
    t->steps[t->n++] = *hop;
    return VLEASE_PASS;
}

static void
hand_in(struct vlease *v, uint32_t i)
{
    (void)vlease_submit(v, i % (ZONES * BROKERS_EACH), i % 3 == 0 ? 1 : 0);
}

/* One zone is evacuated while jobs are handed in, and takes work again at the
 * end. */
static void
evacuate(struct vlease *v, const struct setting *s, uint32_t i)
{
    if (s->evacuating && i == EVACUATED_FROM_JOB) {
        vlease_evacuate(v, 0, true);
    }
    if (s->evacuating && i == EVACUATED_UNTIL_JOB) {
        vlease_evacuate(v, 0, false);
    }
}

static int64_t
job_interval_us(const struct setting *s)
{
    return s->evacuating ? EVACUATING_JOB_EVERY_US : JOB_EVERY_US;
}

static struct trace
trace_run(const struct setting *s)
{
    struct trace t = {0};
    struct vlease *v = scenario(s);

    vlease_run(v, BEGIN_US);
    vlease_set_hook(v, trace_hop, &t);
    for (uint32_t i = 0; i < JOBS; i++) {
        evacuate(v, s, i);
        hand_in(v, i);
        vlease_run(v, BEGIN_US + (i + 1) * job_interval_us(s));
    }
    vlease_run(v, BEGIN_US + JOBS * job_interval_us(s) + USEC_PER_SEC);
    vlease_free(v);
    return t;
}

/* Striking, and what was struck becomes well again */

static void
strike_broker(struct vlease *v, struct strike *s, uint32_t broker)
{
    if (vlease_broker(v, broker) == NULL) {
        return; /* the other fault of the cell killed it */
    }
    s->broker = broker;
    switch (s->fault) {
    case LEASE_FAULT_KILL_SENDER:
    case LEASE_FAULT_KILL_RECEIVER:
        vlease_kill(v, broker);
        break;
    case LEASE_FAULT_PAUSE_SENDER:
    case LEASE_FAULT_PAUSE_RECEIVER:
        vlease_pause(v, broker, PAUSE_US);
        break;
    case LEASE_FAULT_STOP_SENDER:
    case LEASE_FAULT_STOP_RECEIVER:
        vlease_stop(v, broker);
        break;
    case LEASE_FAULT_MACHINE_SENDER:
    case LEASE_FAULT_MACHINE_RECEIVER:
        vlease_lose_machine(v, broker);
        break;
    default:
        vlease_cut(v, broker, true, false);
        break;
    }
}

static void
strike_upstream(struct vlease *v, struct cell *c, struct strike *s,
                uint32_t upstream)
{
    static const enum vlease_trouble troubles[LEASE_FAULTS] = {
        [LEASE_FAULT_UPSTREAM_DEAD] = VLEASE_DEAD,
        [LEASE_FAULT_UPSTREAM_CUT] = VLEASE_CUT,
        [LEASE_FAULT_UPSTREAM_MUTE] = VLEASE_MUTE,
        [LEASE_FAULT_UPSTREAM_HANGS] = VLEASE_HANGS,
        [LEASE_FAULT_UPSTREAM_FAILS] = VLEASE_FAILS,
        [LEASE_FAULT_UPSTREAM_DELAYS] = VLEASE_DELAYS,
        [LEASE_FAULT_UPSTREAM_LEAVING] = VLEASE_LEAVING,
    };

    if (s->fault == LEASE_FAULT_UPSTREAM_REBORN) {
        vlease_reborn(v, upstream);
        return;
    }
    for (size_t i = 0; i < c->n_strikes; i++) {
        if (c->strikes[i].upstream == upstream) {
            return; /* it has its trouble already, and one at a time */
        }
    }
    s->upstream = upstream;
    vlease_trouble(v, upstream, troubles[s->fault]);
}

static bool
applies(enum lease_fault fault, const struct vlease_hop *hop)
{
    switch (faults[fault].need) {
    case NEED_SENDER:
        return hop->from != VLEASE_NOBODY;
    case NEED_RECEIVER:
        return hop->to != VLEASE_NOBODY;
    case NEED_UPSTREAM:
        return hop->upstream != VLEASE_NOBODY;
    default:
        return true;
    }
}

static int64_t
return_after_us(enum lease_fault fault)
{
    switch (fault) {
    case LEASE_FAULT_STOP_SENDER:
    case LEASE_FAULT_STOP_RECEIVER:
        return STOP_RETURN_US;
    case LEASE_FAULT_POWER:
        return POWER_RETURN_US;
    default:
        return RETURN_US;
    }
}

static bool
stop_is_lost(const struct cell *c, const struct vlease_hop *hop)
{
    for (size_t i = 0; i < c->n_strikes; i++) {
        const struct strike *s = &c->strikes[i];

        if (s->fault == LEASE_FAULT_STOPS_LOST && s->return_us > 0) {
            return strcmp(hop->label, "stop") == 0;
        }
    }
    return false;
}

static enum vlease_fate
cell_hop(void *ctx, struct vlease *v, const struct vlease_hop *hop)
{
    struct cell *c = ctx;
    enum vlease_fate fate = VLEASE_PASS;

    for (size_t i = 0; i < c->n_strikes; i++) {
        struct strike *s = &c->strikes[i];

        /* After another fault the number may be of another hop. */
        if (s->done || s->step != hop->number || !applies(s->fault, hop)) {
            continue;
        }
        s->done = true;
        s->return_us = c->now_us + return_after_us(s->fault);
        if (s->fault == LEASE_FAULT_POWER) {
            s->power = true;
            vlease_lose_power(v);
        }
        else if (s->fault == LEASE_FAULT_LOST) {
            fate = VLEASE_LOSE;
        }
        else if (s->fault == LEASE_FAULT_LATE) {
            fate = VLEASE_DELAY;
        }
        else if (s->fault == LEASE_FAULT_STOPS_LOST) {
            continue; /* see stop_is_lost() */
        }
        else if (faults[s->fault].need == NEED_UPSTREAM) {
            strike_upstream(v, c, s, hop->upstream);
        }
        else {
            strike_broker(v, s,
                          faults[s->fault].need == NEED_SENDER ? hop->from
                                                               : hop->to);
        }
    }
    return stop_is_lost(c, hop) ? VLEASE_LOSE : fate;
}

static void
bring_back(struct vlease *v, struct cell *c)
{
    for (size_t i = 0; i < c->n_strikes; i++) {
        struct strike *s = &c->strikes[i];

        if (!s->done || s->return_us == 0 || c->now_us < s->return_us) {
            continue;
        }
        s->return_us = 0;
        if (s->power) {
            s->power = false;
            vlease_regain_power(v, true);
        }
        if (s->upstream != VLEASE_NOBODY) {
            vlease_trouble(v, s->upstream, VLEASE_SOUND);
        }
        if (s->broker != VLEASE_NOBODY) {
            if (vlease_stopped(v, s->broker)) {
                vlease_kill(v, s->broker);
            }
            vlease_start(v, s->broker);
            vlease_cut(v, s->broker, false, false);
        }
    }
}

static void
run_until(struct vlease *v, struct cell *c, int64_t us)
{
    while (c->now_us < us) {
        c->now_us += JOB_EVERY_US;
        vlease_run(v, c->now_us);
        bring_back(v, c);
    }
}

/* Judging */

static void
judge(struct vlease *v, struct cell *c, uint64_t probe)
{
    struct vlease_faults f = vlease_faults(v);
    uint32_t open = vlease_figures(v, 0).open + vlease_figures(v, 1).open;
    bool served = vlease_outcome(v, probe) == JOB_COMPLETED_OUTCOME;

    c->failed = vlease_broken(f) + open + vlease_running(v) > 0 || !served;
    (void)snprintf(c->text, sizeof(c->text),
                   "overlaps %u, over room %u, false refusals %u, at leaving "
                   "%u, evacuated %u, answered twice %u, open %u, running "
                   "%u%s",
                   f.overlaps, f.over_room, f.false_refusals, f.leaving,
                   f.evacuated, f.answers_twice, open, vlease_running(v),
                   served ? "" : ", not serving again");
}

static void
cell_run(struct cell *c, const struct setting *s, FILE *log)
{
    struct vlease *v = scenario(s);
    uint64_t probe;

    for (size_t i = 0; i < c->n_strikes; i++) {
        c->strikes[i].done = false;
        c->strikes[i].return_us = 0;
        c->strikes[i].power = false;
        c->strikes[i].broker = VLEASE_NOBODY;
        c->strikes[i].upstream = VLEASE_NOBODY;
    }
    vlease_run(v, BEGIN_US);
    c->now_us = BEGIN_US;
    vlease_log(v, log);
    vlease_set_hook(v, cell_hop, c);
    for (uint32_t i = 0; i < JOBS; i++) {
        evacuate(v, s, i);
        hand_in(v, i);
        run_until(v, c, BEGIN_US + (i + 1) * job_interval_us(s));
    }
    run_until(v, c, c->now_us + USEC_PER_SEC + SETTLE_US);
    probe = vlease_submit(v, 0, 0);
    run_until(v, c, c->now_us + PROBE_US);
    judge(v, c, probe);
    vlease_free(v);
}

/* All cells */

/* With a wrong decision one cell that notices it is enough. */
static bool
run_one(void *ctx, size_t i)
{
    struct cells *cs = ctx;

    cell_run(&cs->items[i], &cs->setting, NULL);
    return cs->setting.wrong != NO_BREAK && cs->items[i].failed;
}

/* Whether the wrong decision was noticed. */
static bool
run_all(struct cells *cs, uint32_t threads, int wrong)
{
    cs->setting.wrong = wrong;
    return cells_run(cs->n, threads, run_one, cs);
}

static struct cell *
cells_add(struct cells *cs)
{
    struct cell *c;

    cs->items = array_grow(cs->items, cs->n, &cs->room, sizeof(*cs->items));
    c = &cs->items[cs->n++];
    memset(c, 0, sizeof(*c));
    return c;
}

static void
add_singles(void *ctx, size_t i)
{
    struct cells *cs = ctx;
    const struct vlease_hop *hop = &cs->trace->steps[i];

    int n = cs->setting.anywhere ? LEASE_FAULTS : LEASE_FAULTS_SAME_ZONE;

    for (int f = 0; f < n; f++) {
        if (applies((enum lease_fault)f, hop)) {
            struct cell *c = cells_add(cs);

            c->strikes[0].step = hop->number;
            c->strikes[0].fault = (enum lease_fault)f;
            c->n_strikes = 1;
        }
    }
}

static int
by_label(const void *a, const void *b)
{
    const struct vlease_hop *x = a;
    const struct vlease_hop *y = b;
    int order = strcmp(x->label, y->label);

    return order != 0 ? order
                      : (x->number > y->number) - (x->number < y->number);
}

static const char *
label_of(void *ctx, size_t i)
{
    const struct cells *cs = ctx;

    return cs->trace->steps[i].label;
}

static void
add_all_singles(struct cells *cs, struct trace *t, uint32_t per_label)
{
    struct cells_labels l = {.n = t->n,
                             .per_label = per_label,
                             .label = label_of,
                             .take = add_singles,
                             .ctx = cs};

    qsort(t->steps, t->n, sizeof(*t->steps), by_label);
    cs->trace = t;
    (void)cells_choose(&l);
}

static void
add_pairs(struct cells *cs, size_t singles, uint32_t pairs, uint64_t seed)
{
    for (uint32_t i = 0; i < pairs && singles > 0; i++) {
        size_t a = random_next(&seed) % singles;
        size_t b = random_next(&seed) % singles;
        struct cell *c = cells_add(cs);

        c->strikes[0] = cs->items[a].strikes[0];
        c->strikes[1] = cs->items[b].strikes[0];
        c->n_strikes = 2;
    }
}

/* Each single fault once more, with stops lost from its step on. */
static void
add_without_stops(struct cells *cs, size_t singles)
{
    for (size_t i = 0; i < singles; i++) {
        struct cell *c = cells_add(cs);

        c->strikes[0] = cs->items[i].strikes[0];
        c->strikes[1] = c->strikes[0];
        c->strikes[1].fault = LEASE_FAULT_STOPS_LOST;
        c->n_strikes = 2;
    }
}

static void
print_cell(const struct cell *c, const struct setting *s, FILE *out)
{
    (void)fprintf(out, "failed: bm-bench --seed %llu --lease-cell %s%s%s",
                  (unsigned long long)s->seed, s->anywhere ? ANYWHERE : "",
                  s->unclaimed ? UNCLAIMED : "",
                  s->evacuating ? EVACUATING : "");
    for (size_t i = 0; i < c->n_strikes; i++) {
        (void)fprintf(out, "%s%llu:%s", i > 0 ? "," : "",
                      (unsigned long long)c->strikes[i].step,
                      faults[c->strikes[i].fault].name);
    }
    (void)fprintf(out, ": %s\n", c->text);
}

/* Notes in @caught which wrong decisions are noticed by one of the cells. */
static void
run_breaks(struct cells *cs, const struct leasematrix_options *o, bool *caught)
{
    int n = o->anywhere ? BROKER_BREAKS_LEASES : BROKER_BREAKS_SAME_ZONE;

    for (int i = 0; i < n; i++) {
        caught[i] = caught[i] || run_all(cs, o->threads, i);
    }
}

static void
count_caught(const struct leasematrix_options *o, const bool *caught,
             struct leasematrix_result *r, FILE *out)
{
    int n = o->anywhere ? BROKER_BREAKS_LEASES : BROKER_BREAKS_SAME_ZONE;

    for (int i = 0; i < n; i++) {
        r->breaks++;
        r->caught += caught[i] ? 1 : 0;
        if (!caught[i]) {
            (void)fprintf(out, "not caught: %s\n", break_texts[i]);
        }
    }
}

static void
run_cells(const struct leasematrix_options *o, const struct setting *setting,
          struct leasematrix_result *r, bool *caught, FILE *out)
{
    struct cells cs = {.setting = *setting};
    struct trace t = trace_run(&cs.setting);
    size_t singles;

    add_all_singles(&cs, &t, o->per_label);
    singles = cs.n;
    add_pairs(&cs, singles, o->pairs, o->seed);
    if (o->anywhere) {
        add_without_stops(&cs, singles);
    }
    (void)run_all(&cs, o->threads, NO_BREAK);
    r->cells += cs.n;
    for (size_t i = 0; i < cs.n; i++) {
        if (cs.items[i].failed) {
            r->failed++;
            print_cell(&cs.items[i], &cs.setting, out);
        }
    }
    if (o->breaks) {
        run_breaks(&cs, o, caught);
    }
    free(cs.items);
    free(t.steps);
}

struct leasematrix_result
leasematrix_run(const struct leasematrix_options *o, FILE *out)
{
    struct leasematrix_options evacuating = *o;
    struct leasematrix_options unclaimed = *o;
    struct leasematrix_result r = {0};
    struct setting setting = {
        .seed = o->seed, .wrong = NO_BREAK, .anywhere = o->anywhere};
    bool caught[BROKER_BREAKS] = {false};

    evacuating.pairs /= EVACUATING_PAIRS_DIVISOR;
    setting.evacuating = true;
    run_cells(&evacuating, &setting, &r, caught, out);
    setting.evacuating = false;
    run_cells(o, &setting, &r, caught, out);
    unclaimed.per_label *= UNCLAIMED_STEPS_FACTOR;
    setting.unclaimed = true;
    if (o->anywhere) {
        run_cells(&unclaimed, &setting, &r, caught, out);
    }
    if (o->breaks) {
        count_caught(o, caught, &r, out);
    }
    return r;
}

static const char *
fault_name(int fault)
{
    return faults[fault].name;
}

bool
leasematrix_cell(uint64_t seed, const char *text, FILE *out, bool *ok)
{
    struct setting setting = {.seed = seed, .wrong = NO_BREAK};
    struct cell c = {0};

    if (strncmp(text, ANYWHERE, strlen(ANYWHERE)) == 0) {
        setting.anywhere = true;
        text += strlen(ANYWHERE);
    }
    if (strncmp(text, UNCLAIMED, strlen(UNCLAIMED)) == 0) {
        setting.unclaimed = true;
        text += strlen(UNCLAIMED);
    }
    if (strncmp(text, EVACUATING, strlen(EVACUATING)) == 0) {
        setting.evacuating = true;
        text += strlen(EVACUATING);
    }
    while (*text != '\0') {
        struct strike *s = &c.strikes[c.n_strikes];
        int fault;

        if (c.n_strikes == FAULTS_PER_CELL ||
            !cells_parse(&text, fault_name, LEASE_FAULTS, &s->step, &fault)) {
            return false;
        }
        s->fault = (enum lease_fault)fault;
        c.n_strikes++;
    }
    cell_run(&c, &setting, out);
    *ok = !c.failed;
    if (c.failed) {
        print_cell(&c, &setting, out);
    }
    return c.n_strikes > 0;
}
