/*
 * Who holds an upstream.
 *
 * All brokers of a zone know each other and work out alike who should hold
 * what.  One that should and does not yet waits until the holder it knows of
 * has let go or is gone; then it takes the upstream under a higher fence,
 * looks, and stops whatever runs there that it did not start.  One that
 * should not any more starts nothing there and lets go when all has ended.
 */
#include <stdlib.h>
#include <string.h>

#include "array.h"
#include "assign.h"
#include "broker_state.h"

/* An upstream that has not answered for so long, and that no registry tells of
 * any more, is forgotten. */
#define REMOVE_AFTER_US (60 * USEC_PER_SEC)
/* Between looks at an upstream that does not answer. */
#define UNRESPONSIVE_POLL_US (300 * USEC_PER_MSEC)
/* The same where a start that was not answered may reach its next life. */
#define LOST_START_POLL_US (20 * USEC_PER_MSEC)
/* Between looks at an idle one.  Its clock must be known to a part of a lease:
 * by the drift that is allowed for, 0.2 s are lost in this time. */
#define IDLE_POLL_US (10 * USEC_PER_SEC)
/* Looks in a row without answer after which an upstream counts as mute: one
 * that loses a sixteenth of its answers comes to that once in 4,000 looks. */
enum { MISSED_POLLS_MAX = 3 };
/* A fence is refused when a clock was set back, or when another broker is
 * taking the upstream too.  It is raised by that much and tried again so many
 * times; the clocks of machines differ by seconds. */
#define FENCE_RETRY_STEP (UINT64_C(20000) * FENCE_BROKERS)
/* A fence is a time in milliseconds and this many values for the brokers of a
 * zone; it stays below 2^53, which JSON carries exactly. */
#define FENCE_BROKERS UINT64_C(1024)
enum { FENCE_RETRIES_MAX = 4 };

static struct broker_upstream *
find_upstream(const struct broker *b, struct name name)
{
    return map_get(&b->upstreams_by_name, &name);
}

static struct broker_upstream *
add_upstream(struct broker *b, struct name name)
{
    struct handle h;
    struct broker_upstream *u = table_add(&b->upstreams, &h);

    u->name = name;
    u->self = h;
    u->hash = key_id_of(name.s).lo;
    u->poll_us = INT64_MAX;
    u->slowness = 1.0;
    u->last_reported_us = b->now.mono_us;
    map_put(&b->upstreams_by_name, u);
    b->review_due = true;
    return u;
}

/* Holders telling each other */

static bool
is_held(const struct broker_upstream *u)
{
    return u->state != HOLD_NONE && u->state != HOLD_LOST;
}

static struct rec_held_upstream
held_record(const struct broker_upstream *u)
{
    return (struct rec_held_upstream){
        .upstream = u->name, .held = is_held(u) ? 1 : 0, .fence = u->fence};
}

static void
add_hold_update(struct broker *b, const struct broker_upstream *u)
{
    b->hold_updates =
        array_grow(b->hold_updates, b->n_hold_updates,
                   &b->hold_updates_capacity, sizeof(*b->hold_updates));
    b->hold_updates[b->n_hold_updates++] = held_record(u);
}

/* Together: a broker that starts takes 32 upstreams in one step, and a message
 * for each to ninety others would be most of what all of them receive. */
void
hold_notify_zone(struct broker *b)
{
    struct msg m = {.kind = MSG_UPSTREAM_HOLDS};
    struct rec_upstream_holds *list = &m.u.upstream_holds;

    if (b->n_hold_updates == 0) {
        return;
    }
    list->upstreams = calloc(b->n_hold_updates, sizeof(*list->upstreams));
    if (list->upstreams == NULL) {
        abort();
    }
    memcpy(list->upstreams, b->hold_updates,
           b->n_hold_updates * sizeof(*b->hold_updates));
    list->n_upstreams = b->n_hold_updates;
    b->n_hold_updates = 0;
    peers_send_to_zone(b, &m);
}

void
hold_send_held(struct broker *b, struct name to)
{
    struct msg m = {.kind = MSG_UPSTREAM_HOLDS};
    struct rec_upstream_holds *list = &m.u.upstream_holds;
    const struct broker_upstream *u;
    struct handle h;
    uint32_t at = 0;

    list->upstreams = calloc(b->upstreams.n + 1, sizeof(*list->upstreams));
    if (list->upstreams == NULL) {
        abort();
    }
    while ((u = table_next(&b->upstreams, &at, &h)) != NULL) {
        if (is_held(u)) {
            list->upstreams[list->n_upstreams++] = held_record(u);
        }
    }
    broker_send(b, to, &m);
}

/* Its runs may go on until their lease passes. */
static void
mark_lost(struct broker *b, struct broker_upstream *u)
{
    b->counters.upstreams_fenced++;
    u->state = HOLD_LOST;
    u->poll_us = INT64_MAX;
}

/* Another broker has taken it under a higher fence since, while this one was
 * cut off and had no reason to look.  What it starts there would be refused;
 * unnoticed, the upstream would stay idle until something runs into that. */
static void
mark_replaced(struct broker *b, struct broker_upstream *u, struct name by,
              uint64_t fence)
{
    broker_log(b, LOG_WARNING, BROKER_UPSTREAM_FENCED, 0, -1, u->name,
               "own fence %llu, fence of %s %llu",
               (unsigned long long)u->fence, by.s, (unsigned long long)fence);
    u->fence = fence;
    mark_lost(b, u);
}

void
hold_on_peer_holds(struct broker *b, struct name from,
                   const struct rec_upstream_holds *h)
{
    for (size_t i = 0; i < h->n_upstreams; i++) {
        const struct rec_held_upstream *r = &h->upstreams[i];
        struct broker_upstream *u = find_upstream(b, r->upstream);

        if (u == NULL) {
            u = add_upstream(b, r->upstream);
        }
        /* One that was cut off may claim what was taken since. */
        if (r->held != 0 && r->fence >= u->fence) {
            u->holder = from;
        }
        else if (name_equal(u->holder, from)) {
            u->holder = name_of("");
        }
        if (r->fence > u->fence && u->state == HOLD_NONE) {
            u->fence = r->fence;
        }
        else if (r->fence > u->fence && u->state != HOLD_LOST) {
            mark_replaced(b, u, from, r->fence);
        }
        b->review_due = true;
    }
}

void
hold_broker_lost(struct broker *b, struct name name)
{
    struct broker_upstream *u;
    struct handle h;
    uint32_t at = 0;

    while ((u = table_next(&b->upstreams, &at, &h)) != NULL) {
        if (name_equal(u->holder, name)) {
            u->holder = name_of("");
        }
    }
}

/* Taking */

/* Two brokers that take an upstream in the same millisecond must not come to
 * the same fence: neither would be refused, and each would stop the other's
 * runs as unknown, for ever.  So the lowest bits are the broker's own. */
static uint64_t
next_fence(const struct broker *b, const struct broker_upstream *u)
{
    uint64_t own = key_id_of(b->opts.self.s).lo % FENCE_BROKERS;
    uint64_t wall = (uint64_t)(b->now.wall_us / USEC_PER_MSEC);
    uint64_t known = u->fence / FENCE_BROKERS;

    if (b->opts.breaks[BROKER_BREAK_SAME_FENCE]) {
        return FENCE_BROKERS;
    }
    return (wall > known ? wall : known + 1) * FENCE_BROKERS + own;
}

/* Begins to take an upstream, or takes it anew. */
static void
take_upstream(struct broker *b, struct broker_upstream *u)
{
    u->fence =
        next_fence(b, u) + (uint64_t)u->fence_retries * FENCE_RETRY_STEP;
    u->state = HOLD_TAKING;
    u->holder = b->opts.self;
    u->last_end = 0;
    u->ack_pending = false;
    u->missed_polls = 0;
    u->unknown_runs = false;
    u->poll_us = b->now.mono_us;
    b->counters.upstreams_taken++;
    broker_log(b, LOG_INFO, BROKER_UPSTREAM_TAKEN, 0, -1, u->name,
               "fence %llu, incarnation %llu", (unsigned long long)u->fence,
               (unsigned long long)u->born_ms);
    add_hold_update(b, u);
}

/* All that was placed there is over. */
static void
expire_tasks(struct broker *b, struct broker_upstream *u,
             enum broker_reason why)
{
    while (u->n_tasks > 0) {
        struct placed_task p = u->tasks[u->n_tasks - 1];
        struct run_job *job;
        struct run_task *t = run_find_task(b, &p, &job);

        broker_log(
            b, LOG_NOTICE, why, job->id, run_task_number(job, t), u->name,
            "run %llu, sent %lld ms ago", (unsigned long long)t->run,
            (long long)((b->now.mono_us - t->start_sent_us) / USEC_PER_MSEC));
        b->counters.tasks_lapsed++;
        run_mark_ready(b, job, t);
    }
}

static void
release_upstream(struct broker *b, struct broker_upstream *u)
{
    u->state = HOLD_NONE;
    u->holder = name_of("");
    u->poll_us = INT64_MAX;
    b->counters.upstreams_released++;
    broker_log(b, LOG_INFO, BROKER_UPSTREAM_RELEASED, 0, -1, u->name,
               "fence %llu", (unsigned long long)u->fence);
    add_hold_update(b, u);
}

/* Whoever has the higher fence may have been right, or may be a broker that
 * was cut off and knows no better.  Fighting for the upstream would only kill
 * the runs of both, so it is not taken back until the view has changed. */
void
hold_on_fenced(struct broker *b, struct broker_upstream *u)
{
    if (u->state == HOLD_TAKING && u->fence_retries < FENCE_RETRIES_MAX) {
        u->fence_retries++;
        take_upstream(b, u);
        return;
    }
    broker_log(b, LOG_WARNING, BROKER_UPSTREAM_FENCED, 0, -1, u->name,
               "own fence %llu", (unsigned long long)u->fence);
    mark_lost(b, u);
    u->holder = name_of("");
    u->fence_retries = 0;
    u->fenced_view = b->view;
    add_hold_update(b, u);
}

/* The new life knows nothing of the runs before, nor of the fence: a start of
 * the old life that is still under way must meet a higher one. */
void
hold_on_restart(struct broker *b, struct broker_upstream *u, uint64_t born_ms)
{
    broker_log(b, LOG_NOTICE, BROKER_UPSTREAM_REBORN, 0, -1, u->name,
               "incarnation %llu after %llu, %zu tasks were placed",
               (unsigned long long)born_ms, (unsigned long long)u->born_ms,
               u->n_tasks);
    u->born_ms = born_ms;
    u->sequence = 0;
    u->leaving = false;
    u->gone = false;
    u->clock_ms = 0;
    u->failures = 0;
    u->quarantine_until_us = 0;
    u->backoff_us = 0;
    u->slowness = 1.0;
    if (is_held(u)) {
        take_upstream(b, u);
    }
}

/* Looks */

static void
open_upstream(struct broker *b, struct broker_upstream *u)
{
    /* A task from before the look that it does not list is surely over: its
     * start would meet a higher fence. */
    expire_tasks(b, u, BROKER_RUN_LAPSED);
    u->state = HOLD_OPEN;
    u->fence_retries = 0;
    /* At most, by whoever held it before. */
    u->granted_until_us = b->now.mono_us + b->opts.lease_us;
    u->service->placement_due = true;
    broker_log(b, LOG_INFO, BROKER_UPSTREAM_OPEN, 0, -1, u->name,
               "%u milli-cores, %u MB, incarnation %llu",
               u->capacity.cpu_milli, u->capacity.memory_mb,
               (unsigned long long)u->born_ms);
}

void
hold_on_poll_answer(struct broker *b, struct broker_upstream *u, bool unknown)
{
    u->missed_polls = 0;
    u->unknown_runs = unknown;
    if (u->state == HOLD_TAKING && !unknown) {
        open_upstream(b, u);
    }
    else if (u->state == HOLD_UNRESPONSIVE) {
        u->state = HOLD_OPEN;
        u->service->placement_due = true;
        broker_log(b, LOG_NOTICE, BROKER_UPSTREAM_BACK, 0, -1, u->name,
                   "%zu tasks placed", u->n_tasks);
    }
    if (u->n_tasks > 0 || u->ack_pending || u->state == HOLD_TAKING ||
        u->unknown_runs) {
        u->poll_us = b->now.mono_us;
    }
    else {
        u->poll_us = b->now.mono_us + IDLE_POLL_US;
    }
}

void
hold_on_poll_failure(struct broker *b, struct broker_upstream *u)
{
    u->missed_polls++;
    if (u->state == HOLD_OPEN && u->missed_polls >= MISSED_POLLS_MAX) {
        u->state = HOLD_UNRESPONSIVE;
        b->counters.upstreams_muted++;
        broker_log(b, LOG_WARNING, BROKER_UPSTREAM_MUTE, 0, -1, u->name,
                   "%u polls without answer, %zu tasks placed",
                   u->missed_polls, u->n_tasks);
    }
    u->poll_us = b->now.mono_us;
    if (u->state == HOLD_UNRESPONSIVE || u->missed_polls >= MISSED_POLLS_MAX) {
        u->poll_us += b->now.mono_us < u->lost_start_until_us
                          ? LOST_START_POLL_US
                          : UNRESPONSIVE_POLL_US;
    }
}

/* Reports of registries */

static bool
is_outdated(const struct broker_upstream *u,
            const struct rec_leased_upstream *r)
{
    return r->born_ms < u->born_ms ||
           (r->born_ms == u->born_ms && r->sequence <= u->sequence);
}

static void
copy_labels(struct broker_upstream *u, const struct rec_leased_upstream *r)
{
    u->n_labels = 0;
    for (size_t i = 0; i < r->n_labels && i < UPSTREAM_LABELS_MAX; i++) {
        u->labels[u->n_labels++] = r->labels[i].text;
    }
}

static void
apply_report(struct broker *b, struct broker_upstream *u,
             const struct rec_leased_upstream *r)
{
    bool leaving = r->leaving != 0 || r->gone != 0;

    u->sequence = r->sequence;
    u->service = run_get_service(b, r->service);
    u->zone = r->zone;
    u->address = r->address;
    u->slots = (uint32_t)r->slots;
    u->capacity =
        (struct resources){.cpu_milli = (uint32_t)r->cpu_milli,
                           .memory_mb = (uint32_t)r->memory_mb,
                           .accelerators = (uint32_t)r->accelerators};
    copy_labels(u, r);
    if (leaving && !u->leaving) {
        broker_log(b, LOG_NOTICE, BROKER_UPSTREAM_LEAVING, 0, -1, u->name,
                   "%zu tasks placed%s", u->n_tasks,
                   r->gone ? ", announced as gone" : "");
    }
    u->leaving = leaving;
    u->gone = r->gone != 0;
    u->service->placement_due = true;
}

void
hold_on_upstream_report(struct broker *b, const struct rec_upstream_report *r)
{
    for (size_t i = 0; i < r->n_upstreams; i++) {
        const struct rec_leased_upstream *one = &r->upstreams[i];
        struct broker_upstream *u = find_upstream(b, one->upstream);
        bool known = u != NULL && u->born_ms != 0;

        if (u == NULL) {
            u = add_upstream(b, one->upstream);
        }
        u->last_reported_us = b->now.mono_us;
        if (known && is_outdated(u, one)) {
            continue;
        }
        if (known && one->born_ms != u->born_ms) {
            hold_on_restart(b, u, one->born_ms);
        }
        if (!known) {
            u->born_ms = one->born_ms;
            broker_log(b, LOG_INFO, BROKER_UPSTREAM_SEEN, 0, -1, u->name,
                       "%s in %s at %s", one->service.s, one->zone.s,
                       one->address.s);
        }
        apply_report(b, u, one);
        b->review_due = true;
    }
}

/* The view */

static bool
discovery_done(const struct broker *b)
{
    /* Not from the start: when everything starts at once, the first word of a
     * registry names only those that found it before us. */
    return b->now.mono_us - b->started_us >= b->opts.discovery_us ||
           (peers_zone_connected(b) &&
            b->now.mono_us - b->first_roster_us >= b->opts.discovery_min_us);
}

static bool
held_by_another(const struct broker *b, const struct broker_upstream *u)
{
    const struct broker_peer *p;

    if (name_empty(u->holder) || name_equal(u->holder, b->opts.self)) {
        return false;
    }
    p = peers_find(b, u->holder);
    return p != NULL && p->up;
}

/* While a started job has tasks left to start, its upstreams are kept, though
 * they are idle just now. */
static bool
needed_by_started_job(struct broker *b, const struct broker_upstream *u)
{
    const struct run_job *job;
    struct handle h;
    uint32_t at = 0;

    while ((job = table_next(&b->run_jobs, &at, &h)) != NULL) {
        if (job->service == u->service && !job->closed && job->started &&
            job->n_unfinished > job->n_placed) {
            return true;
        }
    }
    return false;
}

static void
reassign_upstream(struct broker *b, struct broker_upstream *u, bool ours)
{
    if (ours && u->state == HOLD_NONE && u->born_ms != 0 && !u->gone &&
        discovery_done(b) && !held_by_another(b, u) &&
        u->fenced_view != b->view) {
        take_upstream(b, u);
        if (b->opts.breaks[BROKER_BREAK_OPEN_UNSEEN]) {
            open_upstream(b, u);
        }
    }
    else if (!ours && is_held(u) && !b->draining && u->n_tasks == 0 &&
             !u->ack_pending && !needed_by_started_job(b, u)) {
        release_upstream(b, u);
    }
}

/* Index among those that should hold any, or ASSIGN_NONE. */
static size_t
holder_index(const struct broker *b, const struct broker_upstream *u)
{
    struct name holder = is_held(u) ? b->opts.self : u->holder;

    for (size_t i = 0; i < b->n_holders; i++) {
        if (name_equal(b->holders[i].peer->name, holder)) {
            return i;
        }
    }
    return ASSIGN_NONE;
}

/* The upstreams of this zone; returns how many there are. */
static size_t
list_zone_upstreams(struct broker *b, struct assign_item *items)
{
    struct broker_upstream *u;
    struct handle h;
    uint32_t at = 0;
    size_t n = 0;

    while ((u = table_next(&b->upstreams, &at, &h)) != NULL) {
        if (u->service == NULL) {
            continue;
        }
        if (!name_equal(u->zone, b->opts.zone)) {
            reassign_upstream(b, u, false);
            continue;
        }
        items[n].order_key = u->hash;
        items[n].holder = holder_index(b, u);
        items[n++].context = u;
    }
    return n;
}

static bool
holder_is_self(const struct broker *b, size_t holder)
{
    return holder < b->n_holders && b->holders[holder].peer->self;
}

void
hold_reassign(struct broker *b)
{
    struct assign_item *items = calloc(b->upstreams.n + 1, sizeof(*items));
    size_t n;

    if (items == NULL) {
        abort();
    }
    peers_update_holders(b);
    n = list_zone_upstreams(b, items);
    if (b->n_holders > 0) {
        assign_holders(items, n, b->n_holders);
    }
    for (size_t i = 0; i < n; i++) {
        reassign_upstream(b, items[i].context,
                          holder_is_self(b, items[i].holder));
    }
    free(items);
}

void
hold_on_pause(struct broker *b)
{
    struct broker_upstream *u;
    struct handle h;
    uint32_t at = 0;

    while ((u = table_next(&b->upstreams, &at, &h)) != NULL) {
        if (u->state != HOLD_NONE) {
            expire_tasks(b, u, BROKER_RUN_LAPSED);
            release_upstream(b, u);
        }
    }
}

bool
hold_has_any(const struct broker *b)
{
    const struct broker_upstream *u;
    struct handle h;
    uint32_t at = 0;

    while ((u = table_next(&b->upstreams, &at, &h)) != NULL) {
        if (is_held(u)) {
            return true;
        }
    }
    return false;
}

/* Time */

static void
remove_upstream(struct broker *b, struct broker_upstream *u)
{
    (void)map_remove(&b->upstreams_by_name, &u->name);
    free(u->tasks);
    table_remove(&b->upstreams, u->self);
}

static void
check_expiry(struct broker *b, struct broker_upstream *u)
{
    bool silent = u->state == HOLD_UNRESPONSIVE || u->state == HOLD_LOST ||
                  (u->state == HOLD_TAKING && u->missed_polls > 0);

    if (!silent || b->now.mono_us < u->leases_end_us) {
        return;
    }
    expire_tasks(b, u, BROKER_RUN_LAPSED);
    if (u->state == HOLD_LOST) {
        u->state = HOLD_NONE;
        b->review_due = true;
    }
}

static bool
is_removable(const struct broker *b, const struct broker_upstream *u)
{
    /* One that a registry only remembered may never have answered. */
    int64_t since_us = u->clock_us > 0 ? u->clock_us : u->last_reported_us;
    bool silent = b->now.mono_us - since_us > REMOVE_AFTER_US;
    bool unreported = b->now.mono_us - u->last_reported_us > REMOVE_AFTER_US;

    if (u->n_tasks > 0 || u->poll != 0) {
        return false;
    }
    /* Of what others hold only registries tell, all of it every 20 s. */
    if (u->state == HOLD_NONE && unreported) {
        return true;
    }
    return u->missed_polls > 0 && (u->gone || silent);
}

void
hold_tick(struct broker *b)
{
    struct broker_upstream *u;
    struct handle h;
    uint32_t at = 0;

    while ((u = table_next(&b->upstreams, &at, &h)) != NULL) {
        check_expiry(b, u);
        if (is_removable(b, u)) {
            remove_upstream(b, u);
            continue;
        }
        if (u->poll == 0 && b->now.mono_us >= u->poll_us) {
            lease_poll(b, u);
        }
        else if (u->quick_poll_due && u->quick_poll == 0) {
            lease_quick_poll(b, u);
        }
    }
    /* Nothing else may happen when the time to settle is over. */
    if (!b->discovery_over || b->stopping) {
        b->discovery_over = discovery_done(b);
        b->review_due = true;
    }
}

int64_t
hold_next_us(const struct broker *b)
{
    const struct broker_upstream *u;
    struct handle h;
    uint32_t at = 0;
    int64_t next = INT64_MAX;

    while ((u = table_next(&b->upstreams, &at, &h)) != NULL) {
        if (u->poll == 0 && u->poll_us < next) {
            next = u->poll_us;
        }
        if (u->n_tasks > 0 && u->state != HOLD_OPEN &&
            u->leases_end_us < next) {
            next = u->leases_end_us;
        }
        if (u->state == HOLD_LOST && u->leases_end_us < next) {
            next = u->leases_end_us;
        }
    }
    if (!b->discovery_over) {
        int64_t earliest_us = b->first_roster_us + b->opts.discovery_min_us;
        int64_t latest_us = b->started_us + b->opts.discovery_us;

        earliest_us = earliest_us > b->now.mono_us ? earliest_us : latest_us;
        next = earliest_us < next ? earliest_us : next;
    }
    return next > b->now.mono_us ? next : b->now.mono_us + 1000;
}
