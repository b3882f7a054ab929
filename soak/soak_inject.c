/*
 * Faults, and who is disturbed by them.
 */
#include <stdlib.h>
#include <sys/stat.h>
#include <sys/wait.h>

#include "soak.h"

enum { FILLER = 1500 }; /* queues of a large configuration */

/* Between brokers that stop in turn. */
#define TURN_US (1500 * USEC_PER_MSEC)
/* A worker drains at least so long. */
#define LEAVE_US (4 * USEC_PER_SEC)
#define DELAY_US (80 * USEC_PER_MSEC)
/* Of a path that turns slow. */
#define LATE_MIN_US (100 * USEC_PER_MSEC)
#define LATE_MAX_US (900 * USEC_PER_MSEC)

/* Bits of the draw of a pair, of which the first chooses the zone. */
enum { PAIR_ALL = 1, PAIR_WORKERS = 2, PAIR_LATE = 34, PAIR_TAKER = 44 };

/* Disturbance */

void
soak_disturb(struct soak *s, int proc, int64_t until_us)
{
    if (until_us > s->calm_from_us[proc]) {
        s->calm_from_us[proc] = until_us;
    }
    if (proc < MEMBERS && until_us > s->core_calm_from_us) {
        s->core_calm_from_us = until_us;
    }
    if (until_us > s->all_calm_from_us) {
        s->all_calm_from_us = until_us;
    }
}

static void
disturb_workers(struct soak *s, int64_t until_us)
{
    s->all_calm_from_us =
        until_us > s->all_calm_from_us ? until_us : s->all_calm_from_us;
}

void
soak_note_stall(struct soak *s, int64_t now_us)
{
    if (s->round_us != 0 && now_us - s->round_us > STALL_US) {
        s->stalls++;
        s->stalled_us = now_us;
        for (int i = 0; i < soak_procs(s); i++) {
            soak_disturb(s, i, now_us);
        }
    }
    s->round_us = now_us;
}

/* Faults */

void
soak_kill(struct soak *s, int i, int64_t again_us)
{
    soak_disturb(s, i, again_us + RESTART_US);
    proc_kill(&s->procs[i], again_us);
}

static void
kill_some(struct soak *s, int from, int to, int64_t again_us)
{
    for (int i = from; i < to; i++) {
        soak_kill(s, i, again_us);
    }
}

/* The process has to be gone before its folder is. */
static void
wipe(struct soak *s, int i, int64_t again_us)
{
    int status;

    soak_kill(s, i, again_us);
    if (s->procs[i].pid > 0) {
        (void)waitpid(s->procs[i].pid, &status, 0);
        s->procs[i].pid = 0;
    }
    soak_remove_folder(s->procs[i].data);
    (void)mkdir(s->procs[i].data, S_IRWXU);
    (void)soak_write_settings(s, i, false, 0);
}

static void
stop_one(struct soak *s, int i, int64_t now_us)
{
    if (i < MEMBERS) {
        soak_disturb(s, i, now_us + GRACE_US);
    }
    proc_stop(&s->procs[i], now_us);
}

static void
change_settings(struct soak *s, int i, uint64_t draw)
{
    (void)soak_write_settings(s, i, false, (int)(draw % MEMBERS));
    proc_signal(&s->procs[i], SIGHUP);
}

static void
inject_into_workers(struct soak *s, const struct soak_fault *f, int worker,
                    int64_t until_us)
{
    if (f->kind == SOAK_LEAVE) {
        region_leave(&s->region, worker);
        s->leave_us[worker] = until_us + LEAVE_US;
        return;
    }
    disturb_workers(s, until_us);
    switch (f->kind) {
    case SOAK_CUT_WORKER:
        proxy_cut(s->proxy, WORKER_LINKS + worker, until_us, f->way);
        break;
    case SOAK_MUTE_WORKER:
        proxy_mute(s->proxy, WORKER_LINKS + worker);
        break;
    case SOAK_HANG_WORKER:
        fakeworker_hang(s->region.workers[worker], true);
        s->hang_us[worker] = until_us;
        break;
    default:
        fakeworker_reborn(s->region.workers[worker], region_now_us());
        break;
    }
}

static void
inject_into_links(struct soak *s, const struct soak_fault *f, int proc,
                  int64_t now_us, int64_t until_us)
{
    switch (f->kind) {
    case SOAK_CUT_PROCESS:
        soak_disturb(s, proc, until_us);
        proxy_cut(s->proxy, proc, until_us, f->way);
        break;
    case SOAK_DELAY_PROCESS:
        soak_disturb(s, proc, until_us);
        proxy_delay(s->proxy, proc, until_us, DELAY_US);
        break;
    case SOAK_MUTE_PROCESS:
        soak_disturb(s, proc, now_us);
        proxy_mute(s->proxy, proc);
        break;
    default:
        soak_disturb(s, proc, now_us);
        proxy_reset(s->proxy, proc);
        break;
    }
}

/* Pairs */

static int
pair_zone(const struct soak_fault *f)
{
    return (int)(f->draw % PAIR_ZONES);
}

static bool
bit(uint64_t draw, int i)
{
    return (draw >> i & 1) != 0;
}

static void
spoil_path(struct soak *s, const struct soak_fault *f, int worker,
           int64_t until_us)
{
    int owner = WORKER_LINKS + worker;
    int64_t late_us = LATE_MIN_US + (int64_t)((f->draw >> PAIR_LATE) %
                                              (LATE_MAX_US - LATE_MIN_US));

    switch (f->kind) {
    case SOAK_SLOW_PATHS:
        proxy_spoil(s->proxy, owner, until_us, PROXY_SLOW, late_us);
        break;
    case SOAK_LOSSY_PATHS:
        proxy_spoil(s->proxy, owner, until_us, PROXY_LOSSY, 0);
        break;
    case SOAK_STALL_PATHS:
        proxy_spoil(s->proxy, owner, until_us, PROXY_STALLED, 0);
        break;
    default:
        proxy_cut(s->proxy, owner, until_us, f->way);
        break;
    }
}

/* All workers of the zone, or some. */
static void
inject_into_paths(struct soak *s, const struct soak_fault *f, int64_t until_us)
{
    disturb_workers(s, until_us);
    for (int i = pair_zone(f); i < s->n_workers; i += PAIR_ZONES) {
        if (bit(f->draw, PAIR_ALL) || bit(f->draw, PAIR_WORKERS + i)) {
            spoil_path(s, f, i, until_us);
            soak_note(s, "%s i-%d, way %u", soak_fault_text(f->kind), i,
                      f->way);
        }
    }
}

/* Any broker of the zone. */
static int
pair_taker(const struct soak *s, const struct soak_fault *f)
{
    int zone = pair_zone(f);
    int n = (s->n_brokers - zone + PAIR_ZONES - 1) / PAIR_ZONES;

    return zone + PAIR_ZONES * (int)((f->draw >> PAIR_TAKER) % (uint64_t)n);
}

static void
inject_into_taker(struct soak *s, const struct soak_fault *f, int64_t now_us,
                  int64_t until_us)
{
    int broker = pair_taker(s, f);
    struct proc *p = &s->procs[MEMBERS + broker];

    soak_note(s, "%s broker-%d", soak_fault_text(f->kind), broker + 1);
    if (f->kind == SOAK_KILL_TAKER) {
        soak_kill(s, MEMBERS + broker, until_us);
        return;
    }
    if (f->kind == SOAK_DROP_CALLERS) {
        soak_disturb(s, MEMBERS + broker, now_us);
    }
    else {
        soak_disturb(s, MEMBERS + broker, until_us);
        proc_pause(p, until_us);
    }
    if (f->kind != SOAK_PAUSE_TAKER) {
        region_drop_callers(&s->region, (size_t)broker);
    }
}

static void
begin_evacuation(struct soak *s, const struct soak_fault *f, int64_t until_us)
{
    if (s->evacuate_end_us != 0) {
        return; /* the begin of the last one is not confirmed yet */
    }
    s->evacuate_worker = (int)(f->draw % PAIR_ZONES);
    s->evacuate_end_us = until_us;
    region_evacuate(&s->region, s->evacuate_worker, true);
    soak_note(s, "evacuation of %s", s->region.evacuated);
}

static void
end_evacuation_due(struct soak *s, int64_t now_us)
{
    if (s->evacuate_end_us == 0 || now_us < s->evacuate_end_us ||
        !s->region.evacuate_acked) {
        return;
    }
    s->evacuate_end_us = 0;
    region_evacuate(&s->region, s->evacuate_worker, false);
    soak_note(s, "end of the evacuation of %s", s->region.evacuated);
}

static void
inject(struct soak *s, const struct soak_fault *f, int64_t now_us)
{
    int64_t until_us = now_us + f->for_us;
    int member = (int)(f->draw % MEMBERS);
    int broker = MEMBERS + (int)(f->draw % (uint64_t)s->n_brokers);
    int proc = (int)(f->draw % (uint64_t)soak_procs(s));

    s->n_faults[f->kind]++;
    switch (f->kind) {
    case SOAK_KILL_BROKER:
        soak_kill(s, broker, until_us);
        break;
    case SOAK_KILL_MEMBER:
        soak_kill(s, member, until_us);
        break;
    case SOAK_KILL_MEMBERS:
        kill_some(s, 0, MEMBERS, now_us + RESTART_US);
        break;
    case SOAK_KILL_ALL:
        kill_some(s, 0, soak_procs(s), now_us + RESTART_US);
        break;
    case SOAK_WIPE_MEMBER:
        wipe(s, member, until_us);
        break;
    case SOAK_STOP_BROKER:
        stop_one(s, broker, now_us);
        break;
    case SOAK_STOP_MEMBER:
        stop_one(s, member, now_us);
        break;
    case SOAK_STOP_IN_TURN:
        s->turn = MEMBERS;
        s->turn_us = now_us;
        break;
    case SOAK_PAUSE_BROKER:
        soak_disturb(s, broker, until_us);
        proc_pause(&s->procs[broker], until_us);
        break;
    case SOAK_PAUSE_MEMBER:
        soak_disturb(s, member, until_us);
        proc_pause(&s->procs[member], until_us);
        break;
    case SOAK_SETTINGS:
        change_settings(s, proc, f->draw >> 32);
        break;
    case SOAK_PUBLISH:
    case SOAK_PUBLISH_LARGE:
        if (!region_publishing(&s->region)) {
            s->region.filler += f->kind == SOAK_PUBLISH_LARGE ? FILLER : 0;
            region_publish(&s->region);
        }
        break;
    case SOAK_CUT_PROCESS:
    case SOAK_DELAY_PROCESS:
    case SOAK_MUTE_PROCESS:
    case SOAK_RESET_PROCESS:
        inject_into_links(s, f, proc, now_us, until_us);
        break;
    case SOAK_CUT_PATHS:
    case SOAK_SLOW_PATHS:
    case SOAK_LOSSY_PATHS:
    case SOAK_STALL_PATHS:
        inject_into_paths(s, f, until_us);
        break;
    case SOAK_EVACUATE:
        begin_evacuation(s, f, until_us);
        break;
    case SOAK_KILL_TAKER:
    case SOAK_PAUSE_TAKER:
    case SOAK_DROP_CALLERS:
    case SOAK_CUT_TAKER:
        inject_into_taker(s, f, now_us, until_us);
        break;
    default:
        inject_into_workers(s, f, (int)(f->draw % (uint64_t)s->n_workers),
                            until_us);
        break;
    }
}

void
soak_inject_due(struct soak *s, int64_t now_us)
{
    while (s->next_fault < s->plan.n &&
           s->begin_us + s->plan.faults[s->next_fault].at_us <= now_us) {
        inject(s, &s->plan.faults[s->next_fault++], now_us);
    }
    if (s->turn >= 0 && now_us >= s->turn_us) {
        stop_one(s, s->turn, now_us);
        s->turn_us = now_us + TURN_US;
        s->turn = s->turn + 1 < soak_procs(s) ? s->turn + 1 : -1;
    }
    end_evacuation_due(s, now_us);
    for (int i = 0; i < s->n_workers; i++) {
        soak_check_evacuated(s, i);
        if (s->hang_us[i] != 0 && now_us >= s->hang_us[i]) {
            s->hang_us[i] = 0;
            fakeworker_hang(s->region.workers[i], false);
        }
        if (s->leave_us[i] != 0) {
            soak_check_left(s, i);
        }
        if (s->leave_us[i] != 0 && now_us >= s->leave_us[i]) {
            s->leave_us[i] = 0;
            region_return(&s->region, i);
        }
    }
}
