/* The stand-in of an upstream that runs tasks under a lease. */
#include <stdlib.h>
#include <string.h>

#include "array.h"
#include "vlease_state.h"

#define ANNOUNCE_US (1500 * USEC_PER_MSEC)
#define STOP_US (30 * USEC_PER_MSEC)
#define LEASE_MAX_MS 1000
#define LEAVING_US (4 * USEC_PER_SEC)
#define LEAVING_BOUND_US (2 * USEC_PER_SEC)
#define NOTED_BOUND_US (2 * USEC_PER_SEC)
#define LATE_US (3 * USEC_PER_SEC)
/* A lease, on a slow clock, and a little. */
#define LEASE_OVER_US (1100 * USEC_PER_MSEC)
enum {
    RUNS_MAX = 16,
    STOPPED_MAX = 64,
    SLOW = 6,
    LARGE_EACH = 3,
    DELAYED_IN = 10, /* one of so many calls */
    MISSED_IN = 500, /* one of so many runs fails anywhere */
};
/* Clocks of every third upstream are slow by that share. */
static const double DRIFT = 0.02;

/* Its own clock, from its birth. */
static int64_t
clock_ms(const struct vlease *v, const struct vupstream *u)
{
    double us = (double)(v->now_us - u->born_us);

    us *= u->number % 3 == 0 ? 1.0 - DRIFT : 1.0;
    return (int64_t)us / USEC_PER_MSEC + 1;
}

static void
announce(struct vlease *v, struct vupstream *u)
{
    struct rec_label labels[2] = {{{{u->kind}}}, {{{0}}}};
    struct rec_leased_upstream info = {
        .upstream = u->name,
        .born_ms = u->born_ms,
        .sequence = ++u->sequence,
        .service = name_of("service"),
        .zone = u->zone,
        .slots = 8,
        .leaving = u->trouble == VLEASE_LEAVING,
        .cpu_milli = u->cpu_milli,
        .memory_mb = 65536,
        .labels = labels,
        .n_labels = 2,
    };

    if (u->gone || u->trouble == VLEASE_DEAD || u->trouble == VLEASE_CUT) {
        return;
    }
    (void)snprintf(info.address.s, sizeof(info.address.s), "%u", u->number);
    (void)snprintf(labels[1].text.s, sizeof(labels[1].text.s), "rack-%u",
                   u->number / 4);
    vlease_announce(v, u, &info);
}

static void
plan_announce(struct vlease *v, const struct vupstream *u, int64_t after_us)
{
    struct vevent *e = vlease_at(v, v->now_us + after_us, VEV_ANNOUNCE);

    e->to = u->number;
    e->life = u->life;
}

void
vup_init(struct vlease *v, uint32_t number, uint32_t zone)
{
    struct vupstream *u = &v->upstreams[number];

    u->number = number;
    u->zone_number = zone;
    (void)snprintf(u->name.s, sizeof(u->name.s), "up%u", number);
    u->zone = v->processes[v->n_brokers + zone].zone;
    u->cpu_milli = v->opts.cpu_milli;
    if (v->opts.cpu_large_milli > 0 && number % LARGE_EACH == LARGE_EACH - 1) {
        u->cpu_milli = v->opts.cpu_large_milli;
    }
    u->speed = 1.0;
    if (v->opts.n_speeds > 0) {
        u->speed = v->opts.speeds[number % v->opts.n_speeds];
        vlease_room_changed(v, number, 0, u->speed);
    }
    u->kind = v->opts.kinds && number % 2 == 1 ? 'b' : 'a';
    u->born_us = v->now_us;
    u->born_ms = 1000 + number;
    u->life = 1;
    plan_announce(v, u, (int64_t)vlease_random(v, ANNOUNCE_US));
}

void
vup_free(struct vupstream *u)
{
    free(u->ended);
    free(u->ended_at_us);
}

static bool
same_task(struct run_ref a, struct run_ref b)
{
    return a.job == b.job && a.group == b.group && a.index == b.index;
}

/* Work goes on while the upstream is sound. */
static void
move_on(struct vlease *v, struct vupstream *u)
{
    for (size_t i = 0; i < u->n_runs; i++) {
        struct vrun *r = &u->runs[i];
        int64_t passed = v->now_us - r->moved_us;

        passed = u->trouble == VLEASE_HANGS  ? 0
                 : u->trouble == VLEASE_SLOW ? passed / SLOW
                                             : passed;
        r->left_us -= passed;
        r->moved_us = v->now_us;
    }
}

static void
plan_end(struct vlease *v, struct vupstream *u, const struct vrun *r)
{
    int64_t us = u->trouble == VLEASE_SLOW ? r->left_us * SLOW : r->left_us;
    struct vevent *e =
        vlease_at(v, v->now_us + (us > 0 ? us : 0), VEV_RUN_END);

    e->to = u->number;
    e->life = u->life;
    e->number = r->number;
}

/* Answers */

static void
answer(struct vlease *v, struct vupstream *u, const struct vevent *to,
       struct lease_answer *a)
{
    struct vprocess *p = &v->processes[to->from];
    struct vevent *e;

    a->clock_ms = clock_ms(v, u);
    if (to->late || u->trouble == VLEASE_MUTE || u->trouble == VLEASE_CUT ||
        u->trouble == VLEASE_DEAD || u->gone) {
        lease_answer_clear(a);
        return;
    }
    e = vlease_at(v, v->now_us + vlease_delay_us(v, u->zone, p->zone),
                  VEV_ANSWER);
    e->to = to->from;
    e->life = to->life;
    e->number = to->number;
    e->answer = *a;
    memset(a, 0, sizeof(*a));
}

static void
answer_result(struct vlease *v, struct vupstream *u, const struct vevent *to,
              enum lease_result result)
{
    struct lease_answer a = {.result = result};

    answer(v, u, to, &a);
}

/* Takes note of ends, and judges how long that took. */
static void
forget_ends(struct vlease *v, struct vupstream *u, uint64_t noted)
{
    size_t n = 0;

    while (n < u->n_ended && u->ended[n].number <= noted) {
        v->faults.unnoted +=
            v->now_us - u->ended_at_us[n] > NOTED_BOUND_US ? 1 : 0;
        n++;
    }
    if (n == 0) {
        return;
    }
    u->n_ended -= n;
    memmove(u->ended, u->ended + n, u->n_ended * sizeof(*u->ended));
    memmove(u->ended_at_us, u->ended_at_us + n,
            u->n_ended * sizeof(*u->ended_at_us));
}

static void
answer_look(struct vlease *v, struct vupstream *u)
{
    struct lease_answer a = {.result = LEASE_OK, .born_ms = u->born_ms};
    struct vevent to = {.from = u->look.from,
                        .life = u->look.from_life,
                        .number = u->look.call};

    u->look.waiting = false;
    move_on(v, u);
    a.running = calloc(u->n_runs + 1, sizeof(*a.running));
    a.ended = calloc(u->n_ended + 1, sizeof(*a.ended));
    if (a.running == NULL || a.ended == NULL) {
        abort();
    }
    for (size_t i = 0; i < u->n_runs; i++) {
        const struct vrun *r = &u->runs[i];

        a.running[i].task = r->task;
        a.running[i].percent =
            (uint32_t)(100 * (r->whole_us - r->left_us) / r->whole_us);
    }
    a.n_running = u->n_runs;
    for (size_t i = 0; i < u->n_ended; i++) {
        a.ended[i] = u->ended[i];
    }
    a.n_ended = u->n_ended;
    answer(v, u, &to, &a);
}

/* Ends of runs */

static void
remember_stopped(struct vupstream *u, struct run_ref t)
{
    u->stopped[u->n_stopped++ % STOPPED_MAX] = t;
}

static void
end_run(struct vlease *v, struct vupstream *u, size_t i, enum lease_end how)
{
    size_t room = u->ended_room;

    u->ended =
        array_grow(u->ended, u->n_ended, &u->ended_room, sizeof(*u->ended));
    u->ended_at_us =
        array_grow(u->ended_at_us, u->n_ended, &room, sizeof(*u->ended_at_us));
    u->ended[u->n_ended].number = ++u->last_ended;
    u->ended[u->n_ended].task = u->runs[i].task;
    u->ended[u->n_ended].outcome = how;
    u->ended_at_us[u->n_ended] = v->now_us;
    u->n_ended++;
    remember_stopped(u, u->runs[i].task);
    u->runs[i] = u->runs[--u->n_runs];
    if (u->look.waiting) {
        answer_look(v, u);
    }
}

void
vup_on_run_end(struct vlease *v, const struct vevent *e)
{
    struct vupstream *u = &v->upstreams[e->to];

    if (u->life != e->life || u->gone) {
        return;
    }
    move_on(v, u);
    for (size_t i = 0; i < u->n_runs; i++) {
        struct vrun *r = &u->runs[i];

        if (r->number == e->number && r->left_us <= 0) {
            end_run(v, u, i,
                    u->trouble == VLEASE_FAILS ||
                            vlease_random(v, MISSED_IN) == 0
                        ? LEASE_END_FAILED
                        : LEASE_END_DONE);
            return;
        }
        if (r->number == e->number && u->trouble != VLEASE_HANGS) {
            plan_end(v, u, r);
        }
    }
}

void
vup_on_lapse(struct vlease *v, const struct vevent *e)
{
    struct vupstream *u = &v->upstreams[e->to];

    if (u->life != e->life || clock_ms(v, u) < u->deadline_ms) {
        return;
    }
    while (u->n_runs > 0) {
        end_run(v, u, u->n_runs - 1, LEASE_END_EXPIRED);
    }
}

static void
extend(struct vlease *v, struct vupstream *u, int64_t deadline_ms)
{
    int64_t most = clock_ms(v, u) + LEASE_MAX_MS;
    double slow = u->number % 3 == 0 ? 1.0 - DRIFT : 1.0;
    struct vevent *e;

    deadline_ms = deadline_ms < most ? deadline_ms : most;
    if (deadline_ms <= u->deadline_ms) {
        return;
    }
    u->deadline_ms = deadline_ms;
    e = vlease_at(v,
                  v->now_us +
                      (int64_t)((double)(deadline_ms - clock_ms(v, u) + 1) *
                                (double)USEC_PER_MSEC / slow),
                  VEV_LAPSE);
    e->to = u->number;
    e->life = u->life;
}

/* Calls */

static bool
too_old(const struct vupstream *u, struct run_ref t)
{
    for (size_t i = 0; i < STOPPED_MAX && i < u->n_stopped; i++) {
        if (same_task(u->stopped[i], t) && u->stopped[i].run >= t.run) {
            return true;
        }
    }
    return false;
}

/* Whether the task runs anywhere else just now, on an upstream that is up. */
static void
judge_overlap(struct vlease *v, struct run_ref t)
{
    for (uint32_t i = 0; i < v->n_upstreams; i++) {
        const struct vupstream *u = &v->upstreams[i];

        for (size_t j = 0; j < u->n_runs; j++) {
            if (same_task(u->runs[j].task, t)) {
                vlease_fault(v, &v->faults.overlaps, u->name, t);
            }
        }
    }
}

static void
judge_room(struct vlease *v, const struct vupstream *u, struct run_ref t,
           uint32_t cpu)
{
    bool leaving =
        u->leaving_us > 0 && v->now_us - u->leaving_us > LEAVING_BOUND_US;
    uint32_t used = cpu;

    for (size_t i = 0; i < u->n_runs; i++) {
        used += u->runs[i].cpu_milli;
    }
    if (used > u->cpu_milli) {
        vlease_fault(v, &v->faults.over_room, u->name, t);
    }
    if (leaving) {
        vlease_fault(v, &v->faults.leaving, u->name, t);
    }
}

static void
judge_label(struct vlease *v, const struct vupstream *u, struct run_ref t,
            const struct vjob *job)
{
    const struct name *label = &v->opts.queues[job->queue].requirement;

    if (!name_empty(*label) && label->s[0] != u->kind) {
        vlease_fault(v, &v->faults.wrong_label, u->name, t);
    }
}

static int64_t
run_us(const struct vlease *v, const struct vupstream *u, struct run_ref t)
{
    double us = (double)vcall_run_us(v, t.job, t.index) *
                vcall_straggler_factor(v, t.job, t.index);

    return (int64_t)(us / u->speed);
}

static enum lease_result
start(struct vlease *v, struct vupstream *u, const struct lease_request *r)
{
    const struct vjob *job = vcall_job(v, r->task.job);
    struct vrun *run;

    extend(v, u, r->deadline_ms);
    for (size_t i = 0; i < u->n_runs; i++) {
        if (same_task(u->runs[i].task, r->task) &&
            u->runs[i].task.run == r->task.run) {
            return LEASE_OK;
        }
    }
    if (too_old(u, r->task)) {
        return LEASE_STALE_RUN;
    }
    if (clock_ms(v, u) > r->deadline_ms) {
        return LEASE_DEADLINE_PASSED;
    }
    if (u->n_runs == RUNS_MAX || job == NULL) {
        return LEASE_NO_CAPACITY;
    }
    judge_overlap(v, r->task);
    judge_room(v, u, r->task, job->cpu_milli);
    judge_label(v, u, r->task, job);
    vcall_started(v, r->task);
    v->starts++;
    run = &u->runs[u->n_runs++];
    memset(run, 0, sizeof(*run));
    run->task = r->task;
    run->number = ++v->runs;
    run->cpu_milli = job->cpu_milli;
    run->begun_us = v->now_us;
    run->moved_us = v->now_us;
    run->whole_us = run_us(v, u, r->task);
    run->left_us = u->trouble == VLEASE_FAILS ? USEC_PER_MSEC : run->whole_us;
    plan_end(v, u, run);
    return LEASE_OK;
}

static void
stop(struct vlease *v, struct vupstream *u, struct run_ref t)
{
    remember_stopped(u, t);
    move_on(v, u);
    for (size_t i = 0; i < u->n_runs; i++) {
        if (same_task(u->runs[i].task, t) && u->runs[i].task.run == t.run) {
            end_run(v, u, i, LEASE_END_STOPPED);
            return;
        }
    }
}

static void
look(struct vlease *v, struct vupstream *u, const struct vevent *e)
{
    struct vevent *due;

    if (u->look.waiting) {
        answer_look(v, u);
    }
    forget_ends(v, u, e->request.acked);
    if (e->request.deadline_ms > 0) {
        extend(v, u, e->request.deadline_ms);
    }
    u->look.call = e->number;
    u->look.from = e->from;
    u->look.from_life = e->life;
    u->look.waiting = true;
    if (u->n_ended > 0 || e->request.wait_ms <= 0 || e->late) {
        answer_look(v, u);
        return;
    }
    due = vlease_at(v, v->now_us + e->request.wait_ms * USEC_PER_MSEC,
                    VEV_LOOK_DUE);
    due->to = u->number;
    due->life = u->life;
    due->number = e->number;
}

void
vup_on_look_due(struct vlease *v, const struct vevent *e)
{
    struct vupstream *u = &v->upstreams[e->to];

    if (u->life == e->life && u->look.waiting && u->look.call == e->number) {
        answer_look(v, u);
    }
}

/* A call that gets no answer and is carried out later. */
static bool
delay(struct vlease *v, const struct vupstream *u, const struct vevent *e)
{
    struct vevent *later;
    uint64_t order;

    if (u->trouble != VLEASE_DELAYS || e->late ||
        vlease_random(v, DELAYED_IN) != 0) {
        return false;
    }
    later = vlease_at(v, v->now_us + LATE_US, VEV_REQUEST);
    order = later->order;
    *later = *e;
    later->at_us = v->now_us + LATE_US;
    later->order = order;
    later->late = true;
    (void)blob_ref(later->request.spec);
    return true;
}

void
vup_on_request(struct vlease *v, const struct vevent *e)
{
    struct vupstream *u = &v->upstreams[e->to];
    enum lease_result result = LEASE_OK;

    if (u->gone || u->trouble == VLEASE_DEAD || u->trouble == VLEASE_CUT ||
        v->processes[e->from].cut_upstreams || delay(v, u, e)) {
        return;
    }
    if (e->request.fence < u->fence) {
        answer_result(v, u, e, LEASE_FENCED);
        return;
    }
    u->fence = e->request.fence;
    if (e->request.kind == LEASE_POLL) {
        look(v, u, e);
        return;
    }
    if (e->request.kind == LEASE_START) {
        result = start(v, u, &e->request);
    }
    else {
        stop(v, u, e->request.task);
    }
    answer_result(v, u, e, result);
}

void
vup_on_announce(struct vlease *v, const struct vevent *e)
{
    struct vupstream *u = &v->upstreams[e->to];

    if (u->life != e->life) {
        return;
    }
    announce(v, u);
    plan_announce(v, u, ANNOUNCE_US);
}

/* Troubles */

static void
end_all(struct vupstream *u)
{
    u->n_runs = 0;
    u->n_ended = 0;
    u->look.waiting = false;
}

void
vup_on_gone(struct vlease *v, const struct vevent *e)
{
    struct vupstream *u = &v->upstreams[e->to];

    if (u->life == e->life && u->trouble == VLEASE_LEAVING) {
        end_all(u);
        u->gone = true;
    }
}

void
vlease_room_changed(struct vlease *v, uint32_t upstream, int64_t at_us,
                    double share)
{
    struct vroom_change *c;

    v->changes = array_grow(v->changes, v->n_changes, &v->changes_room,
                            sizeof(*v->changes));
    c = &v->changes[v->n_changes++];
    c->at_us = at_us;
    c->upstream = upstream;
    c->share = share;
}

/* What it can still do.  What runs on one that is cut off ends with its lease,
 * and nobody can count on what he doesn't see for longer. */
static void
note_room(struct vlease *v, uint32_t upstream, enum vlease_trouble trouble)
{
    int64_t seen_us = v->now_us + LEASE_OVER_US;
    double speed = v->upstreams[upstream].speed;

    switch (trouble) {
    case VLEASE_SOUND:
    case VLEASE_DELAYS:
        vlease_room_changed(v, upstream, v->now_us, speed);
        break;
    case VLEASE_SLOW:
        vlease_room_changed(v, upstream, v->now_us, speed / SLOW);
        break;
    case VLEASE_LEAVING:
        vlease_room_changed(v, upstream, v->now_us + LEAVING_US, 0);
        break;
    case VLEASE_CUT:
    case VLEASE_MUTE:
        vlease_room_changed(v, upstream, seen_us, 0);
        break;
    default:
        vlease_room_changed(v, upstream, v->now_us, 0);
        break;
    }
}

void
vlease_trouble(struct vlease *v, uint32_t upstream,
               enum vlease_trouble trouble)
{
    struct vupstream *u = &v->upstreams[upstream];
    struct vevent *e;

    note_room(v, upstream, trouble);

    move_on(v, u);
    u->trouble = trouble;
    for (size_t i = 0; i < u->n_runs; i++) {
        plan_end(v, u, &u->runs[i]);
    }
    if (trouble == VLEASE_DEAD) {
        end_all(u);
    }
    if (trouble == VLEASE_LEAVING) {
        announce(v, u);
        u->leaving_us = v->now_us;
        e = vlease_at(v, v->now_us + LEAVING_US, VEV_GONE);
        e->to = upstream;
        e->life = u->life;
    }
}

void
vlease_reborn(struct vlease *v, uint32_t upstream)
{
    struct vupstream *u = &v->upstreams[upstream];

    end_all(u);
    u->life++;
    u->born_us = v->now_us;
    u->born_ms += 1000;
    u->sequence = 0;
    u->trouble = VLEASE_SOUND;
    u->gone = false;
    u->leaving_us = 0;
    if (v->opts.kinds) {
        u->kind = u->kind == 'a' ? 'b' : 'a';
    }
    u->fence = 0;
    u->deadline_ms = 0;
    u->last_ended = 0;
    u->n_stopped = 0;
    plan_announce(v, u, v->opts.reborn_silent_us);
}
