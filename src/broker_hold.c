/*
 * Which upstreams this broker holds.
 *
 * All brokers of a zone know each other and compute the same assignment of
 * upstreams to holders.  A broker that should hold an upstream waits until the
 * holder known so far has released it or is lost.  Then it takes the upstream
 * under a higher fence, polls it, and stops the runs there that it did not
 * start.  A broker that should no longer hold an upstream starts nothing there
 * and releases it when all its runs have ended.
 */
#include <stdlib.h>
#include <string.h>

#include "array.h"
#include "assign.h"
#include "broker_state.h"

/* An upstream is removed after this time without an answer or, if this broker
 * does not hold it, without a report of a registry. */
#define REMOVE_AFTER_US (60 * USEC_PER_SEC)
/* Interval of polls of an unresponsive upstream. */
#define UNRESPONSIVE_POLL_US (300 * USEC_PER_MSEC)
/* The same while an unanswered start may still reach the upstream's next
 * incarnation. */
#define LOST_START_POLL_US (20 * USEC_PER_MSEC)
/* Interval of polls of an upstream whose incarnation no registry has reported
 * yet. */
#define UNANNOUNCED_POLL_US (300 * USEC_PER_MSEC)
/* Interval of polls of an idle upstream.  Its clock must be known to a
 * fraction of a lease; the allowed drift adds up to 0.2 s in this time. */
#define IDLE_POLL_US (10 * USEC_PER_SEC)
/* Polls in a row without an answer after which an upstream counts as
 * unresponsive.  If one answer in 16 is lost, this happens once in 4,000
 * polls. */
enum { MISSED_POLLS_MAX = 3 };
/* Times in a row that a refused fence is raised, see fence_next(). */
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
    u->hash = upstream_digest_name(name);
    u->poll_us = INT64_MAX;
    u->slowness = 1.0;
    u->last_reported_us = b->now.mono_us;
    map_put(&b->upstreams_by_name, u);
    b->review_due = true;
    return u;
}

/* Notifications between the brokers of a zone */

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

/* The changes of a step go out in one message: a broker that starts takes 32
 * upstreams in one step, and a message for each to 90 other brokers would be
 * most of their incoming traffic. */
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

/* The upstream's runs may go on until their lease expires. */
static void
mark_lost(struct broker *b, struct broker_upstream *u)
{
    b->counters.upstreams_fenced++;
    u->state = HOLD_LOST;
    u->poll_us = INT64_MAX;
}

/* Another broker took the upstream under a higher fence while this broker was
 * disconnected and had no poll due.  The upstream would refuse starts of this
 * broker, and stay idle until one was tried. */
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
        /* A broker that was disconnected may list upstreams that another one
         * has taken since, under a higher fence. */
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

/* Begins to take an upstream, or takes it again under a higher fence. */
static void
take_upstream(struct broker *b, struct broker_upstream *u)
{
    u->fence = fence_next(b, u);
    u->state = HOLD_TAKING;
    u->taken_us = b->now.mono_us;
    u->polled_clean = false;
    u->confirmation_due = false;
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

/* All runs placed on the upstream have ended; their tasks may start again. */
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

/* The broker with the higher fence may be the rightful holder, or one that was
 * disconnected and has an outdated view.  Taking the upstream back at once
 * would kill the runs of both brokers, so this one waits until its own view
 * has changed. */
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

/* The new incarnation knows neither the earlier runs nor the fence.  A start
 * sent to the old incarnation may still arrive, so the upstream is taken again
 * under a higher fence, which refuses it. */
void
hold_on_restart(struct broker *b, struct broker_upstream *u, uint64_t born_ms)
{
    broker_log(b, LOG_NOTICE, BROKER_UPSTREAM_REBORN, 0, -1, u->name,
               "incarnation %llu after %llu, %zu tasks were placed",
               (unsigned long long)born_ms, (unsigned long long)u->born_ms,
               u->n_tasks);
    u->born_ms = born_ms;
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

/* Polls */

static void
open_upstream(struct broker *b, struct broker_upstream *u)
{
    u->state = HOLD_OPEN;
    u->polled_clean = false;
    u->fence_retries = 0;
    /* The longest lease that an earlier holder may have granted. */
    u->granted_until_us = b->now.mono_us + b->opts.lease_us;
    u->service->placement_due = true;
    broker_log(b, LOG_INFO, BROKER_UPSTREAM_OPEN, 0, -1, u->name,
               "%u milli-cores, %u MB, incarnation %llu",
               u->capacity.cpu_milli, u->capacity.memory_mb,
               (unsigned long long)u->born_ms);
}

/* A poll shows a new incarnation before it has announced itself.  Its labels,
 * capacity and service may differ from those of the earlier one. */
static bool
is_announced(const struct broker_upstream *u)
{
    return u->announced_born_ms == u->born_ms;
}

static void
open_if_confirmed(struct broker *b, struct broker_upstream *u)
{
    if (u->state != HOLD_TAKING || !u->polled_clean ||
        !fence_is_recorded(b, u)) {
        return;
    }
    /* A task placed before the poll whose run the answer does not list has
     * ended; its start, if still on the way, is refused for its lower fence.
     */
    expire_tasks(b, u, BROKER_RUN_LAPSED);
    if (is_announced(u)) {
        open_upstream(b, u);
    }
}

void
hold_open_confirmed(struct broker *b)
{
    struct broker_upstream *u;
    struct handle h;
    uint32_t at = 0;

    while ((u = table_next(&b->upstreams, &at, &h)) != NULL) {
        open_if_confirmed(b, u);
    }
}

void
hold_on_poll_answer(struct broker *b, struct broker_upstream *u, bool unknown)
{
    u->missed_polls = 0;
    u->unknown_runs = unknown;
    u->polled_clean = u->state == HOLD_TAKING && !unknown;
    open_if_confirmed(b, u);
    if (u->state == HOLD_UNRESPONSIVE) {
        u->state = HOLD_OPEN;
        u->service->placement_due = true;
        broker_log(b, LOG_NOTICE, BROKER_UPSTREAM_BACK, 0, -1, u->name,
                   "%zu tasks placed", u->n_tasks);
    }
    if (u->polled_clean && !is_announced(u)) {
        u->poll_us = b->now.mono_us + UNANNOUNCED_POLL_US;
    }
    else if (u->n_tasks > 0 || u->ack_pending || u->state == HOLD_TAKING ||
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
           (r->born_ms == u->announced_born_ms && r->sequence <= u->sequence);
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

    u->announced_born_ms = r->born_ms;
    u->sequence = r->sequence;
    u->service = run_ensure_service(b, r->service);
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
    hold_open_confirmed(b);
}

/* Assignment of upstreams to holders */

/* Whether the other brokers had time to connect after this one started, and a
 * registry to report the fences in use. */
static bool
discovery_done(const struct broker *b)
{
    /* The first roster alone does not do: when a whole zone starts at once,
     * it names only brokers that reached the registry before this one. */
    return b->now.mono_us - b->started_us >= b->opts.discovery_us ||
           (b->fence_floor_known && peers_zone_connected(b) &&
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

/* While a started job has tasks left to start, the upstreams of its service
 * are kept, even if idle. */
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
            expire_tasks(b, u, BROKER_RUN_LAPSED);
            open_upstream(b, u);
        }
    }
    else if (!ours && is_held(u) && !b->serves_while_stopping &&
             u->n_tasks == 0 && !u->ack_pending &&
             !needed_by_started_job(b, u)) {
        release_upstream(b, u);
    }
}

/* Index of the upstream's holder in b->holders, or ASSIGN_NONE. */
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

/* Lists the upstreams of this zone, and releases held ones of other zones.
 * Returns the number of items. */
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
    size_t surplus = 0;
    size_t n;

    if (items == NULL) {
        abort();
    }
    peers_update_holders(b);
    n = list_zone_upstreams(b, items);
    if (b->n_holders > 0) {
        assign_holders(items, n, b->quotas, b->n_holders);
    }
    for (size_t i = 0; i < n; i++) {
        bool ours = holder_is_self(b, items[i].holder);

        reassign_upstream(b, items[i].context, ours);
        surplus += !ours && is_held(items[i].context) ? 1 : 0;
    }
    capacity_surplus(b, surplus);
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

/* Timers */

static void
remove_upstream(struct broker *b, struct broker_upstream *u)
{
    report_on_removal(b, u);
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
is_removable(struct broker *b, const struct broker_upstream *u)
{
    /* An upstream that a registry restored from its disk may never have
     * answered. */
    int64_t since_us = u->clock_us > 0 ? u->clock_us : u->last_reported_us;
    bool silent = b->now.mono_us - since_us > REMOVE_AFTER_US;
    bool unreported = b->now.mono_us - u->last_reported_us > REMOVE_AFTER_US;

    if (u->n_tasks > 0 || u->poll != 0) {
        return false;
    }
    /* Upstreams held by other brokers are known from the registries alone,
     * which report all of them, or a digest, every 20 s. */
    if ((u->state == HOLD_NONE && unreported) ||
        (u->missed_polls > 0 && (u->gone || silent))) {
        return !run_is_bound(b, u);
    }
    return false;
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
    /* The discovery time may end without any other event. */
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
