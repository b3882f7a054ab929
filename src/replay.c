#include "replay.h"

#include <string.h>

#define MSEC USEC_PER_MSEC
#define SEC USEC_PER_SEC
#define READY_US (6 * SEC) /* upstreams are known and held by then */
#define WORST_US (READY_US + 2 * SEC)
#define WORST_OVER_US (WORST_US + 6 * SEC)
#define LOAD_OVER_US (WORST_OVER_US + 2 * SEC)
#define SETTLE_US (14 * SEC)
#define DARK_US (1400 * MSEC)
#define ROLL_US (1 * SEC)

enum { ZONES = 3, UPSTREAMS = 48, NONE = 0, THIRD = 3, SIXTH = 6 };
enum { MANY_BROKERS = 33, MANY_UPSTREAMS = 351 };
enum { UNLIKE_BROKERS = 4, LARGE_BROKER = UNLIKE_BROKERS - 1 };

/* The youngest broker of each zone has about half of its capacity. */
static const struct instance_capacity small_broker = {
    .cpu_milli = 90, .link_kbps = 19000, .memory_mb = 120};
static const struct instance_capacity large_broker = {
    .cpu_milli = 300, .link_kbps = 62000, .memory_mb = 400};
enum { SCARCE_ZONES = 4, SCARCE_BROKERS = 8, SCARCE_UPSTREAMS = 128 };

/* What a policy should earn of what was possible. */
static const double AIM = 0.9;

enum kinds { CUSTOMERS, ODD, LONG, SPEEDS, SCARCE };

/**
 * struct pattern - a replay
 * @load: over the usual one, while it is at its worst
 * @leave: share of the callers that leaves
 * @shift: share of the first zone's callers that comes to the second
 * @bursts: further multiples of the load of the first two queues; 0: none
 * @kinds: of jobs
 * @trouble: of one in @one_in upstreams meanwhile
 * @poor: one zone has half of its upstreams dead and a third of the rest slow,
 *        all the time
 * @dark: power is lost when the worst begins
 * @roll: each second of it one more broker is stopped, and started again once
 *        it has ended
 * @unlike: brokers declare unlike capacities, and the largest one of the first
 *          zone is lost when the worst begins, and back when it is over
 */
struct pattern {
    double load;
    double leave;
    double shift;
    double bursts[2];
    enum kinds kinds;
    enum vlease_trouble trouble;
    uint32_t one_in;
    bool poor;
    bool dark;
    bool roll;
    bool unlike;
};

/* clang-format off */
static const struct pattern patterns[REPLAYS] = {
    [REPLAY_usual] = {.load = 1.0},
    [REPLAY_twice] = {.load = 2.0},
    [REPLAY_cut_third] = {.load = 1.3, .trouble = VLEASE_CUT, .one_in = THIRD},
    [REPLAY_one_way] = {.load = 1.3, .trouble = VLEASE_MUTE, .one_in = THIRD},
    [REPLAY_poor_zone] = {.load = 1.0, .poor = true},
    [REPLAY_shift] = {.load = 1.2, .shift = 0.5},
    [REPLAY_hang] = {.load = 1.2, .trouble = VLEASE_HANGS, .one_in = SIXTH},
    [REPLAY_fail] = {.load = 1.2, .trouble = VLEASE_FAILS, .one_in = SIXTH},
    [REPLAY_slow] = {.load = 1.2, .trouble = VLEASE_SLOW, .one_in = SIXTH},
    [REPLAY_delay] = {.load = 1.0, .trouble = VLEASE_DELAYS, .one_in = SIXTH},
    [REPLAY_leave] = {.load = 1.6, .leave = 0.33},
    [REPLAY_dark] = {.load = 1.0, .dark = true},
    [REPLAY_crowd] = {.load = 1.9, .kinds = LONG},
    [REPLAY_dark_many] = {.load = 1.0, .dark = true, .kinds = LONG},
    [REPLAY_roll] = {.load = 1.0, .roll = true},
    [REPLAY_speeds] = {.load = 1.0, .kinds = SPEEDS},
    [REPLAY_speeds_over] = {.load = 1.3 / 0.9, .kinds = SPEEDS},
    [REPLAY_urgent] = {.load = 1.25, .kinds = SCARCE, .bursts = {1.7, 2.6}},
    [REPLAY_mix] = {.kinds = ODD, .load = 1.6},
    [REPLAY_unlike] = {.load = 1.2, .unlike = true},
};
/* clang-format on */

static const char *const names[] = {
#define REPLAY(name, text) #name,
    REPLAY_LIST(REPLAY)
#undef REPLAY
};

static const char *const part_names[] = {
#define BROKER_FEATURE(NAME, text) #NAME,
    BROKER_FEATURE_LIST(BROKER_FEATURE)
#undef BROKER_FEATURE
};

static const struct vlease_queue customers[] = {
    {.priority = 0,
     .tasks = 8,
     .cpu_milli = 14000,
     .run_us = 60 * MSEC,
     .per_s = 34.4,
     .timeout_us = 1500 * MSEC},
    {.priority = 2,
     .tasks = 4,
     .cpu_milli = 14000,
     .run_us = 900 * MSEC,
     .per_s = 6.25,
     .timeout_us = 6 * SEC},
    {.priority = 1,
     .tasks = 2,
     .cpu_milli = 14000,
     .run_us = 200 * MSEC,
     .per_s = 100,
     .timeout_us = 2500 * MSEC},
};

static const struct vlease_queue odd[] = {
    {.priority = 1,
     .tasks = 1,
     .cpu_milli = 6000,
     .run_us = 30 * MSEC,
     .per_s = 180,
     .timeout_us = SEC},
    {.priority = 0,
     .tasks = 20,
     .cpu_milli = 11000,
     .run_us = 150 * MSEC,
     .per_s = 14,
     .timeout_us = 2 * SEC},
    {.priority = 1,
     .tasks = 3,
     .cpu_milli = 17000,
     .run_us = 2 * SEC,
     .per_s = 4,
     .timeout_us = 12 * SEC},
};

/* Long jobs hold nearly half of the processors in use. */
static const struct vlease_queue mostly_long[] = {
    {.priority = 0,
     .tasks = 8,
     .cpu_milli = 16000,
     .run_us = 60 * MSEC,
     .per_s = 154,
     .timeout_us = 1500 * MSEC},
    {.priority = 2,
     .tasks = 4,
     .cpu_milli = 16000,
     .run_us = 900 * MSEC,
     .per_s = 48.9,
     .timeout_us = 9 * SEC},
    {.priority = 1,
     .tasks = 2,
     .cpu_milli = 16000,
     .run_us = 200 * MSEC,
     .per_s = 451,
     .timeout_us = 2500 * MSEC},
};

/* 76 tasks run at a time where all speeds are 1, 0.9 of what fits: a usual
 * upstream of 16 cores has space for 1.6 tasks, one of 24 for 2.6, their
 * speeds are 1.07 in the mean, and stragglers add 18 % of work. */
static const struct vlease_queue uneven[] = {
    {.priority = 0,
     .tasks = 8,
     .cpu_milli = 8000,
     .run_us = 51 * MSEC,
     .per_s = 38.9,
     .timeout_us = 1500 * MSEC},
    {.priority = 2,
     .tasks = 4,
     .cpu_milli = 8000,
     .run_us = 760 * MSEC,
     .per_s = 7.1,
     .timeout_us = 6 * SEC},
    {.priority = 1,
     .tasks = 2,
     .cpu_milli = 8000,
     .run_us = 170 * MSEC,
     .per_s = 113.6,
     .timeout_us = 2500 * MSEC},
};

static const double uneven_speeds[] = {0.6, 1.0, 1.6};

/* What callers ask for usually takes nearly all that fits: two tasks of more
 * than 8 cores don't fit on the same upstream. */
static const struct vlease_queue scarce[] = {
    {.priority = 0,
     .tasks = 8,
     .cpu_milli = 8000,
     .run_us = 60 * MSEC,
     .per_s = 75,
     .timeout_us = 1500 * MSEC},
    {.priority = 2,
     .tasks = 4,
     .cpu_milli = 8000,
     .run_us = 900 * MSEC,
     .per_s = 13.7,
     .timeout_us = 9 * SEC},
    {.priority = 1,
     .tasks = 2,
     .cpu_milli = 8000,
     .run_us = 200 * MSEC,
     .per_s = 219,
     .timeout_us = 2500 * MSEC},
};

enum broker_feature
replay_part(const char *name)
{
    int part = 0;

    while (part < BROKER_FEATURES && strcmp(part_names[part], name) != 0) {
        part++;
    }
    return (enum broker_feature)part;
}

enum replay
replay_of_name(const char *name)
{
    int which = 0;

    while (which < REPLAYS && strcmp(names[which], name) != 0) {
        which++;
    }
    return (enum replay)which;
}

static void
set_kinds(struct vlease_options *o, const struct vlease_queue *kinds, size_t n)
{
    o->n_queues = (uint32_t)n;
    for (size_t i = 0; i < n; i++) {
        o->queues[i] = kinds[i];
        o->queues[i].spread = 0.4;
        o->queues[i].width_spread = 0.4;
        o->queues[i].cpu_spread = 0.2;
        o->queues[i].declared_off = 0.4;
        o->queues[i].uneven = 0.15;
    }
}

static void
declare_unlike(struct vlease_options *o)
{
    o->brokers = UNLIKE_BROKERS;
    for (uint32_t i = 0; i < ZONES * UNLIKE_BROKERS; i++) {
        o->capacities[i] =
            i % UNLIKE_BROKERS == LARGE_BROKER ? large_broker : small_broker;
    }
}

static void
make_uneven(struct vlease_options *region)
{
    set_kinds(region, uneven, sizeof(uneven) / sizeof(uneven[0]));
    for (uint32_t i = 0; i < region->n_queues; i++) {
        region->queues[i].width_spread = 0;
    }
    region->cpu_milli = 16000;
    region->cpu_large_milli = 24000;
    region->n_speeds = sizeof(uneven_speeds) / sizeof(uneven_speeds[0]);
    memcpy(region->speeds, uneven_speeds, sizeof(uneven_speeds));
    region->straggler_share = 0.03;
    region->straggler_factor = 7.0;
}

static struct vlease_options
region_of(const struct pattern *p, const struct replay_options *o,
          uint64_t seed)
{
    struct vlease_options region = vlease_options_default();

    region.zones = ZONES;
    region.upstreams = UPSTREAMS / ZONES;
    region.cpu_large_milli = 48000;
    region.seed = seed;
    region.leave = p->leave;
    memcpy(region.without, o->without, sizeof(region.without));
    region.callbacks = o->callbacks;
    if (p->unlike) {
        declare_unlike(&region);
    }
    if (p->kinds == ODD) {
        set_kinds(&region, odd, sizeof(odd) / sizeof(odd[0]));
    }
    else if (p->kinds == SPEEDS) {
        make_uneven(&region);
    }
    else if (p->kinds == LONG) {
        region.brokers = MANY_BROKERS / ZONES;
        region.upstreams = MANY_UPSTREAMS / ZONES;
        set_kinds(&region, mostly_long,
                  sizeof(mostly_long) / sizeof(mostly_long[0]));
    }
    else if (p->kinds == SCARCE) {
        region.zones = SCARCE_ZONES;
        region.brokers = SCARCE_BROKERS / SCARCE_ZONES;
        region.upstreams = SCARCE_UPSTREAMS / SCARCE_ZONES;
        region.cpu_milli = 16000;
        region.cpu_large_milli = 24000;
        set_kinds(&region, scarce, sizeof(scarce) / sizeof(scarce[0]));
    }
    else {
        set_kinds(&region, customers,
                  sizeof(customers) / sizeof(customers[0]));
    }
    return region;
}

static void
make_poor(struct vlease *v)
{
    for (uint32_t i = 0; i < UPSTREAMS / ZONES; i++) {
        if (i % 2 == 0) {
            vlease_trouble(v, i, VLEASE_DEAD);
        }
        else if (i % THIRD == 0) {
            vlease_trouble(v, i, VLEASE_SLOW);
        }
    }
}

static void
set_trouble(struct vlease *v, const struct pattern *p, uint64_t seed,
            bool begins)
{
    for (uint32_t i = 0; i < UPSTREAMS && p->one_in != NONE; i++) {
        if (i % p->one_in == seed % p->one_in) {
            vlease_trouble(v, i, begins ? p->trouble : VLEASE_SOUND);
        }
    }
}

static void
roll(struct vlease *v, uint32_t brokers)
{
    for (uint32_t i = 0; i < brokers; i++) {
        vlease_stop(v, i);
        vlease_run(v, WORST_US + (i + 1) * ROLL_US);
        for (uint32_t other = 0; other <= i; other++) {
            if (vlease_stopped(v, other)) {
                vlease_kill(v, other);
                vlease_start(v, other);
            }
        }
    }
}

static void
set_bursts(struct vlease *v, const struct pattern *p, bool begins)
{
    for (uint32_t i = 0; i < sizeof(p->bursts) / sizeof(p->bursts[0]); i++) {
        if (p->bursts[i] > 0) {
            vlease_queue_load(v, i, begins ? p->bursts[i] : 1.0);
        }
    }
}

/* Whether all promises were kept. */
static bool
finish(struct vlease *v, bool bounded, struct vcredit *out)
{
    bool kept;

    vlease_load(v, 0);
    vlease_run(v, LOAD_OVER_US + SETTLE_US);
    vcredit_add(v, WORST_US, LOAD_OVER_US, bounded, out);
    kept = vlease_broken(vlease_faults(v)) == 0;
    vlease_free(v);
    return kept;
}

static bool
play(const struct pattern *p, const struct vlease_options *region,
     bool bounded, struct vcredit *out)
{
    struct vlease *v = vlease_new(region);

    vlease_run(v, READY_US);
    if (p->poor) {
        make_poor(v);
    }
    vlease_load(v, 1.0);
    vlease_run(v, WORST_US);
    vlease_load(v, p->load);
    vlease_shift(v, 0, 1, p->shift);
    set_trouble(v, p, region->seed, true);
    if (p->unlike) {
        vlease_lose_machine(v, LARGE_BROKER);
    }
    set_bursts(v, p, true);
    if (p->dark) {
        vlease_lose_power(v);
        vlease_run(v, WORST_US + DARK_US);
        vlease_regain_power(v, true);
    }
    if (p->roll) {
        roll(v, region->zones * region->brokers);
    }
    vlease_run(v, WORST_OVER_US);
    set_trouble(v, p, region->seed, false);
    if (p->unlike) {
        vlease_start(v, LARGE_BROKER);
    }
    set_bursts(v, p, false);
    vlease_load(v, 1.0);
    vlease_run(v, LOAD_OVER_US);
    return finish(v, bounded, out);
}

bool
replay_run(enum replay which, const struct replay_options *o,
           struct vcredit *out)
{
    bool kept = true;

    memset(out, 0, sizeof(*out));
    for (uint64_t seed = 1; seed <= o->seeds; seed++) {
        struct vlease_options region = region_of(&patterns[which], o, seed);

        kept = play(&patterns[which], &region, o->bounded, out) && kept;
    }
    return kept;
}

/* Between @least and @most, evenly. */
static double
draw(uint64_t *random, double least, double most)
{
    return least +
           (most - least) * (double)(random_next(random) % 1000) / 1000.0;
}

/* A third of the room for each kind, by what a second of it takes. */
static void
draw_kind(struct vlease_queue *q, uint64_t *random, double room_milli)
{
    double work;

    q->priority = (uint32_t)(random_next(random) % 3);
    q->tasks = 1 + (uint32_t)(random_next(random) % 12);
    q->cpu_milli = (uint32_t)draw(random, 3000, 24000);
    q->run_us = (int64_t)draw(random, 30, 1500) * MSEC;
    q->spread = 0.4;
    q->width_spread = 0.4;
    q->cpu_spread = 0.2;
    q->declared_off = draw(random, 0, 0.6);
    q->timeout_us = 6 * q->run_us + SEC;
    work = (double)q->tasks * (double)q->cpu_milli * (double)q->run_us /
           (double)SEC;
    q->per_s = room_milli / 3 / work;
}

bool
replay_draw(uint64_t seed, const struct replay_options *o, struct vcredit *out)
{
    struct pattern p = {0};
    struct vlease_options region = region_of(&p, o, seed);
    uint64_t random = seed * 7919;
    double room = 0.7 * UPSTREAMS * (double)region.cpu_milli;

    memset(out, 0, sizeof(*out));
    p.load = draw(&random, 1.2, 2.4);
    p.trouble = random_next(&random) % 2 == 0 ? VLEASE_SLOW : VLEASE_CUT;
    p.one_in = 4 + (uint32_t)(random_next(&random) % 8);
    region.n_queues = 3;
    for (uint32_t i = 0; i < region.n_queues; i++) {
        draw_kind(&region.queues[i], &random, room);
    }
    return play(&p, &region, o->bounded, out);
}

/* Tables */

static double
share(const struct vcredit_sum *s)
{
    return s->owed > 0 ? s->earned / s->owed : 0;
}

static double
over_bound(const struct vcredit_sum *s)
{
    return s->bound > 0 ? s->earned / s->bound : 0;
}

static void
print_row(const char *name, const struct vcredit *c, bool kept, FILE *out)
{
    (void)fprintf(out, "%-10s %7.3f %7.3f %7.3f %7.3f   %5.2f %5.2f %5.2f   ",
                  name, share(&c->callers), over_bound(&c->callers),
                  share(&c->work), over_bound(&c->work), share(&c->queues[0]),
                  share(&c->queues[1]), share(&c->queues[2]));
    (void)fprintf(out, "%5.2f %5.2f %5.2f%s\n", share(&c->zones[0]),
                  share(&c->zones[1]), share(&c->zones[2]),
                  kept ? "" : "   A PROMISE WAS BROKEN");
}

static void
note_below(const char *name, const struct vcredit *c, char *below, size_t size)
{
    size_t used = strlen(below);

    if (over_bound(&c->callers) < AIM || over_bound(&c->work) < AIM) {
        (void)snprintf(below + used, size - used, " %s", name);
    }
}

bool
replays_print(const struct replay_options *o, uint32_t draws, FILE *out)
{
    bool kept = true;
    char below[256] = "";

    (void)fprintf(out, "%-10s %7s %7s %7s %7s   %-17s   %s\n", "replay",
                  "callers", "/bound", "work", "/bound", "kinds", "zones");
    for (int i = 0; i < REPLAYS; i++) {
        struct vcredit c;
        bool ok;

        if (o->only != NULL && strcmp(o->only, names[i]) != 0) {
            continue;
        }
        ok = replay_run((enum replay)i, o, &c);
        print_row(names[i], &c, ok, out);
        note_below(names[i], &c, below, sizeof(below));
        kept = kept && ok;
    }
    if (o->bounded) {
        (void)fprintf(out, "replays: below %.1f of the bound:%s\n", AIM,
                      below[0] != '\0' ? below : " none");
    }
    for (uint64_t seed = 1; seed <= draws; seed++) {
        struct vcredit c;
        char name[NAME_SIZE];
        bool ok = replay_draw(seed, o, &c);

        (void)snprintf(name, sizeof(name), "draw-%u", (unsigned int)seed);
        print_row(name, &c, ok, out);
        kept = kept && ok;
    }
    return kept;
}
