#include "dispatch.h"

#include <stdlib.h>
#include <string.h>
#include <syslog.h>

#include "admit.h"
#include "array.h"
#include "borrow.h"
#include "dispatch_state.h"
#include "lend.h"
#include "member.h"
#include "quota.h"
#include "slot.h"
#include "start.h"

enum {
    SERVICES_START = 16,
    ATTEMPTS_MAX = 50, /* starts of one task */
    SKIPPED_MAX = 8,   /* jobs passed over because no place fits them now */
    TOKENS_MAX = 1000, /* limit of the retry budget */
    TOKENS_START = 100,
};

struct dispatch *
dispatch_new(const struct entry *e)
{
    struct dispatch *d = calloc(1, sizeof(*d));

    (void)e;
    if (d == NULL) {
        abort();
    }
    map_init(&d->by_name, MAP_NAME);
    d->starts = starts_new();
    d->quotas = quotas_new();
    d->lending = lend_new();
    d->next_recheck_us = INT64_MAX;
    d->retry_tokens = TOKENS_START;
    d->sweep_threshold = SERVICES_START;
    return d;
}

static void
free_service(struct service_state *s)
{
    queue_clear(&s->queue);
    pool_clear(&s->pool);
    borrow_free(s->borrowing);
    free(s);
}

void
dispatch_free(struct dispatch *d)
{
    if (d == NULL) {
        return;
    }
    for (size_t i = 0; i < d->n_services; i++) {
        free_service(d->services[i]);
    }
    free((void *)d->services);
    map_clear(&d->by_name);
    starts_free(d->starts);
    quotas_free(d->quotas);
    lend_free(d->lending);
    free(d);
}

/* Services */

struct service_state *
dispatch_find_service(const struct entry *e, struct name name)
{
    return map_get(&e->dispatch->by_name, &name);
}

static void
load_conf(struct entry *e, struct service_state *s)
{
    s->conf = config_service(e->config, s->name);
    s->order = s->conf != NULL ? s->conf->order : ORDER_LEAST_WORK;
}

struct service_state *
dispatch_ensure_service(struct entry *e, struct name name)
{
    struct dispatch *d = e->dispatch;
    struct service_state *s = dispatch_find_service(e, name);

    if (s != NULL) {
        return s;
    }
    s = calloc(1, sizeof(*s));
    d->services = array_grow((void *)d->services, d->n_services, &d->capacity,
                             sizeof(struct service_state *));
    if (s == NULL) {
        abort();
    }
    s->name = name;
    load_conf(e, s);
    d->services[d->n_services++] = s;
    map_put(&d->by_name, s);
    quotas_attach(e, s);
    return s;
}

static bool
service_in_use(const struct entry *e, const struct service_state *s)
{
    return s->conf != NULL || s->n_upstreams > 0 || s->n_jobs > 0 ||
           s->n_running > 0 || s->pool.n_places > 0 ||
           borrow_has_pending(e, s);
}

/** sweep_services() - frees records of unused services
 *
 * Upstreams and other instances may send any service name, and each new name
 * creates a record, so memory would grow without bound.  The threshold doubles
 * with the number of records kept, which makes the cost per record constant.
 * Must be called when no pointer to an unused service is held. */
static void
sweep_services(struct entry *e)
{
    struct dispatch *d = e->dispatch;
    size_t kept = 0;

    if (d->n_services < d->sweep_threshold) {
        return;
    }
    for (size_t i = 0; i < d->n_services; i++) {
        struct service_state *s = d->services[i];

        if (service_in_use(e, s)) {
            d->services[kept++] = s;
        }
        else {
            (void)map_remove(&d->by_name, &s->name);
            free_service(s);
        }
    }
    d->n_services = kept;
    d->sweep_threshold = kept > SERVICES_START / 2 ? 2 * kept : SERVICES_START;
}

bool
dispatch_accepts_service(const struct entry *e, struct name service)
{
    const struct dispatch *d = e->dispatch;
    const struct service_state *s = dispatch_find_service(e, service);
    size_t unknown = 0;

    if ((s != NULL && s->n_upstreams > 0) ||
        config_service(e->config, service) != NULL) {
        return true;
    }
    for (size_t i = 0; i < d->n_services; i++) {
        s = d->services[i];
        unknown += s->conf == NULL && s->n_upstreams > 0 ? 1 : 0;
    }
    return unknown < UNCONFIGURED_SERVICES_MAX;
}

void
dispatch_mark_dirty(struct entry *e, struct service_state *s)
{
    s->dirty = true;
    e->dispatch->dirty = true;
}

void
dispatch_run_at(struct entry *e, int64_t us)
{
    if (us < e->dispatch->next_recheck_us) {
        e->dispatch->next_recheck_us = us;
    }
}

void
dispatch_config_changed(struct entry *e)
{
    struct dispatch *d = e->dispatch;

    for (size_t i = 0; i < d->n_services; i++) {
        load_conf(e, d->services[i]);
        dispatch_mark_dirty(e, d->services[i]);
    }
    quotas_reload(e);
}

void
dispatch_evacuation_changed(struct entry *e)
{
    struct dispatch *d = e->dispatch;

    for (size_t i = 0; i < d->n_services; i++) {
        struct pool *pool = &d->services[i]->pool;

        for (size_t j = 0; j < pool->n_places; j++) {
            place_update(e, pool->all_places[j]);
        }
        d->services[i]->capacity = 0;
        dispatch_mark_dirty(e, d->services[i]);
    }
}

/* Queue accounting */

static void
update_rank(struct entry *e, struct service_state *s, struct queue_entry *q)
{
    int64_t work_us =
        estimate_sum_us(&s->run_estimate, q->n_tasks, q->declared_us);

    q->rank_us = queue_rank_us(s->order, q, work_us / admit_capacity(e, s));
}

static void
count_queued(struct entry *e, struct job *job, struct queue_entry *q, int n,
             int64_t declared_us)
{
    struct service_state *s = q->service;
    struct class_work *c = &s->queued_by_class[q->work_class];

    q->n_tasks += (uint32_t)n;
    q->declared_us += declared_us;
    c->n_tasks += (uint32_t)n;
    c->declared_us += declared_us;
    s->n_queued += (uint32_t)n;
    job->n_queued += (uint32_t)n;
    e->dispatch->n_queued += (uint32_t)n;
}

static void
queue_task(struct entry *e, struct job *job, uint32_t index)
{
    struct queue_entry *q = job->queue_entry;

    job->tasks[index].phase = TASK_QUEUED;
    q->tasks[q->n_tasks] = (uint8_t)index;
    count_queued(e, job, q, 1, job->tasks[index].run_us);
}

/** pop_task() - removes the job's next task from the queue; returns the index
 * of the task */
static uint32_t
pop_task(struct entry *e, struct job *job)
{
    struct queue_entry *q = job->queue_entry;
    uint32_t index = q->tasks[q->n_tasks - 1];

    count_queued(e, job, q, -1, -job->tasks[index].run_us);
    return index;
}

static struct queue_entry *
new_queue_entry(struct entry *e, struct job *job, struct service_state *s)
{
    struct queue_entry *q = calloc(1, sizeof(*q) + job->n_tasks);
    int64_t declared_us = 0;

    if (q == NULL) {
        abort();
    }
    for (uint32_t i = 0; i < job->n_tasks; i++) {
        declared_us += job->tasks[i].run_us;
    }
    q->job = job->self;
    q->service = s;
    q->submitted_us = job->submitted_us;
    q->time_limit_us = job->deadline_us - job->submitted_us;
    q->work_class = admit_work_class(
        estimate_sum_us(&s->run_estimate, job->n_tasks, declared_us));
    job->queue_entry = q;
    s->n_jobs++;
    (void)e;
    return q;
}

static void
free_queue_entry(struct job *job)
{
    struct queue_entry *q = job->queue_entry;

    if (q != NULL) {
        queue_remove(&q->service->queue, q);
        q->service->n_jobs--;
        free(q);
        job->queue_entry = NULL;
    }
}

/** sort_by_run_time() - sorts by declared run time; tasks are started from the
 * end of the array
 *
 * The longest task is started first because a job ends with its last task.
 * Insertion sort, since the tasks of a job usually have the same declared run
 * time. */
static void
sort_by_run_time(const struct job *job, struct queue_entry *q)
{
    for (uint32_t i = 1; i < q->n_tasks; i++) {
        uint8_t index = q->tasks[i];
        uint32_t at = i;

        while (at > 0 && job->tasks[q->tasks[at - 1]].run_us >
                             job->tasks[index].run_us) {
            q->tasks[at] = q->tasks[at - 1];
            at--;
        }
        q->tasks[at] = index;
    }
}

void
dispatch_enqueue(struct entry *e, struct job *job)
{
    struct service_state *s = dispatch_ensure_service(e, job->service_name);
    struct queue_entry *q = new_queue_entry(e, job, s);

    for (uint32_t i = job->n_tasks; i > 0; i--) {
        if (job->tasks[i - 1].phase == TASK_WAITING) {
            queue_task(e, job, i - 1);
        }
    }
    sort_by_run_time(job, q);
    update_rank(e, s, q);
    queue_put(&s->queue, q);
    dispatch_mark_dirty(e, s);
}

void
dispatch_drop_job(struct entry *e, struct job *job)
{
    struct queue_entry *q = job->queue_entry;

    for (uint32_t i = 0; i < job->n_tasks; i++) {
        struct task *t = &job->tasks[i];

        if (!handle_none(t->start)) {
            starts_detach_job(e, t->start);
            t->start = (struct handle){0};
        }
    }
    if (q != NULL) {
        count_queued(e, job, q, -(int)q->n_tasks, -q->declared_us);
    }
    job->n_sent = 0;
    free_queue_entry(job);
}

void
dispatch_task_done(struct entry *e, struct job *job)
{
    (void)e;
    if (job->n_queued == 0 && job->n_sent == 0) {
        free_queue_entry(job);
    }
}

/* If an upstream or a whole zone fails, every task placed there is queued
 * again; unlimited retries would add load during the failure.  Each start adds
 * to a retry budget and each retry consumes from it; once the budget is spent,
 * jobs fail. */
void
dispatch_requeue(struct entry *e, struct job *job, uint32_t index,
                 bool charged)
{
    struct dispatch *d = e->dispatch;
    struct queue_entry *q = job->queue_entry;

    queue_task(e, job, index);
    if (charged &&
        (d->retry_tokens < 1 || job->tasks[index].attempts >= ATTEMPTS_MAX)) {
        entry_log(e, LOG_WARNING, REASON_RETRIES_SPENT, &job->id,
                  (int32_t)index, name_of(""), "%u starts of this task",
                  job->tasks[index].attempts);
        jobs_fail(e, job, REASON_RETRIES_SPENT);
        return;
    }
    d->retry_tokens -= charged ? 1 : 0;
    e->counters.tasks_requeued++;
    update_rank(e, q->service, q);
    queue_put(&q->service->queue, q);
    dispatch_mark_dirty(e, q->service);
}

static void
add_retry_token(struct entry *e)
{
    struct dispatch *d = e->dispatch;

    d->retry_tokens += (double)e->opts.retry_percent / 100;
    if (d->retry_tokens > TOKENS_MAX) {
        d->retry_tokens = TOKENS_MAX;
    }
}

/* Placing */

/* Result of serving a queue: all done, or what stopped the service. */
enum served { SERVED, NO_PLACE, NO_QUOTA };

static void
start_next_task(struct entry *e, struct job *job, struct queue_entry *q,
                struct place *p)
{
    uint32_t index = pop_task(e, job);

    q->rack_bits = (q->rack_bits & p->rack_bit) != 0
                       ? p->rack_bit
                       : q->rack_bits | p->rack_bit;
    quotas_task_started(e, q->service);
    starts_send(e, job, index, p);
    add_retry_token(e);
}

/** serve_job() - starts as many queued tasks of a job as possible */
static enum served
serve_job(struct entry *e, struct service_state *s, struct queue_entry *q)
{
    struct job *job = jobs_by_handle(e, q->job);

    while (q->n_tasks > 0) {
        struct task *t = &job->tasks[q->tasks[q->n_tasks - 1]];
        struct place_criteria pick = {.need = t->need,
                                      .rack_bits = q->rack_bits,
                                      .idempotent = job->idempotent};
        struct place *p;

        if (!quotas_allow_start(e, s)) {
            return NO_QUOTA;
        }
        p = pool_pick(e, &s->pool, &pick);
        if (p == NULL) {
            return NO_PLACE;
        }
        start_next_task(e, job, q, p);
    }
    return SERVED;
}

/** serve_queue() - starts queued tasks in queue order
 *
 * Up to SKIPPED_MAX jobs whose next task fits no place now are passed over, so
 * that one job with unusual needs does not block the queue. */
static enum served
serve_queue(struct entry *e, struct service_state *s)
{
    struct queue_entry *skipped[SKIPPED_MAX];
    size_t n_skipped = 0;
    enum served end = SERVED;
    struct queue_entry *q;

    while (n_skipped < SKIPPED_MAX && (q = queue_first(&s->queue)) != NULL) {
        while (borrow_serve_ranked_before(e, s, q->rank_us)) {
        }
        end = s->pool.n_available > 0 ? serve_job(e, s, q) : NO_PLACE;
        if (end == NO_QUOTA || s->pool.n_available == 0) {
            if (q->n_tasks > 0) {
                break;
            }
        }
        queue_remove(&s->queue, q);
        if (q->n_tasks > 0) {
            skipped[n_skipped++] = q;
        }
    }
    for (size_t i = 0; i < n_skipped; i++) {
        update_rank(e, s, skipped[i]);
        queue_put(&s->queue, skipped[i]);
    }
    return end;
}

static void
serve_service(struct entry *e, struct service_state *s)
{
    enum served end = serve_queue(e, s);

    if (e->opts.placement != PLACE_HOLDER) {
        return;
    }
    if (s->n_queued == 0) {
        borrow_withdraw(e, s);
        borrow_serve_requests(e, s);
    }
    else if (end != NO_QUOTA) {
        borrow_request(e, s);
        dispatch_run_at(e, borrow_next_us(s));
    }
    if (end != NO_QUOTA && borrow_has_demand(s) &&
        s->pool.own_free_slots == 0) {
        lend_recall(e, s);
    }
}

void
dispatch_run(struct entry *e)
{
    struct dispatch *d = e->dispatch;

    sweep_services(e);
    if (!d->dirty) {
        return;
    }
    d->dirty = false;
    for (size_t i = 0; i < d->n_services; i++) {
        if (d->services[i]->dirty) {
            d->services[i]->dirty = false;
            serve_service(e, d->services[i]);
        }
    }
}

/* Events */

struct admission
dispatch_admit(struct entry *e, const struct job *job)
{
    return admit_job(e, job);
}

void
dispatch_on_ended(struct entry *e, const struct ev_ended *ev)
{
    starts_on_ended(e, ev);
}

void
dispatch_on_revoked(struct entry *e, const struct ev_revoked *ev)
{
    starts_on_revoked(e, ev);
}

void
dispatch_on_message(struct entry *e, struct name from, const struct msg *m)
{
    slots_on_message(e, from, m);
}

/** may_start() - whether this instance may start tasks on @u without borrowing
 * slots */
static bool
may_start(const struct entry *e, const struct upstream *u)
{
    return u->held || e->opts.placement != PLACE_HOLDER;
}

void
dispatch_upstream_changed(struct entry *e, struct upstream *u)
{
    struct service_state *s = u->service;

    if (s == NULL || !name_equal(s->name, u->info.service)) {
        s = dispatch_ensure_service(e, u->info.service);
        if (u->place != NULL) {
            slots_close_place(e, u->place);
        }
        if (u->service != NULL) {
            u->service->n_upstreams--;
        }
        u->service = s;
        s->n_upstreams++;
    }
    if (!may_start(e, u) && u->place != NULL) {
        slots_close_place(e, u->place);
    }
    if (may_start(e, u) && u->place == NULL) {
        slots_add_own_place(e, s, u);
    }
    slots_on_epoch_raised(e, u);
    slots_update_place(e, u);
    s->capacity = 0;
    dispatch_mark_dirty(e, s);
}

void
dispatch_upstream_gone(struct entry *e, struct handle upstream)
{
    struct upstream *u = upstreams_get(e, upstream);

    if (u == NULL) {
        return;
    }
    starts_on_upstream_removed(e, u);
    slots_on_upstream_removed(e, u);
    if (u->service != NULL) {
        u->service->capacity = 0;
        u->service->n_upstreams--;
        u->service = NULL;
    }
}

void
dispatch_member_down(struct entry *e, struct name member)
{
    slots_member_down(e, member);
}

size_t
dispatch_collect_loads(const struct entry *e, struct rec_load **loads)
{
    const struct dispatch *d = e->dispatch;
    size_t n = 0;

    *loads = calloc(d->n_services + 1, sizeof(**loads));
    if (*loads == NULL) {
        abort();
    }
    for (size_t i = 0; i < d->n_services; i++) {
        const struct service_state *s = d->services[i];
        struct rec_load load = {.service = s->name,
                                .free_slots = s->pool.own_free_slots,
                                .backlog = s->n_queued,
                                .running = s->n_running};

        admit_fill_largest(e, s, &load);
        if (load.free_slots + load.backlog + load.running > 0 ||
            load.cpu_milli + load.memory_mb > 0) {
            (*loads)[n++] = load;
        }
    }
    return n;
}

/* Time */

static void
recheck_blocked(struct entry *e, struct service_state *s)
{
    for (size_t i = 0; i < s->pool.n_places; i++) {
        struct place *p = s->pool.all_places[i];

        if (p->closed || p->listed) {
            continue;
        }
        place_update(e, p);
        if (p->listed) {
            dispatch_mark_dirty(e, s);
        }
    }
    if (borrow_next_us(s) <= e->now.mono_us || borrow_has_demand(s)) {
        dispatch_mark_dirty(e, s);
    }
}

/** earliest_recheck_us() - earliest time at which a blocked place becomes
 * usable or a slot request is repeated */
static int64_t
earliest_recheck_us(const struct entry *e)
{
    const struct dispatch *d = e->dispatch;
    int64_t next = INT64_MAX;

    for (size_t i = 0; i < d->n_services; i++) {
        const struct service_state *s = d->services[i];
        int64_t at = borrow_next_us(s);

        next = at < next ? at : next;
        for (size_t k = 0; k < s->pool.n_places; k++) {
            at = place_available_at_us(e, s->pool.all_places[k]);
            next = at < next ? at : next;
        }
    }
    return next;
}

void
dispatch_tick(struct entry *e)
{
    struct dispatch *d = e->dispatch;

    starts_tick(e);
    slots_tick(e);
    quotas_tick(e);
    if (d->next_recheck_us > e->now.mono_us) {
        return;
    }
    for (size_t i = 0; i < d->n_services; i++) {
        recheck_blocked(e, d->services[i]);
    }
    d->next_recheck_us = earliest_recheck_us(e);
}

static int64_t
min_us(int64_t a, int64_t b)
{
    return a < b ? a : b;
}

int64_t
dispatch_next_us(const struct entry *e)
{
    int64_t next = min_us(starts_next_us(e), slots_next_us(e));

    next = min_us(next, quotas_next_us(e));
    return min_us(next, e->dispatch->next_recheck_us);
}

uint32_t
dispatch_count_queued(const struct entry *e)
{
    return e->dispatch->n_queued;
}

uint32_t
dispatch_count_running(const struct entry *e)
{
    return starts_count(e);
}
