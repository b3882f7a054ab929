#include "dispatch.h"

#include <stdlib.h>
#include <string.h>
#include <syslog.h>

#include "map.h"
#include "upstream.h"

enum {
    SILENT_TIMES = 4,  /* run times after which a start counts as silent */
    REVOKE_TRIES = 6,  /* questions that found nobody, before giving up */
    ATTEMPTS_MAX = 20, /* starts of one task */
};

#define SILENT_MIN_US (1 * USEC_PER_SEC)
#define REVOKE_BACKOFF_US (200 * USEC_PER_MSEC)
#define REVOKE_BACKOFF_MAX_US (2 * USEC_PER_SEC)

/** struct start - a start that was sent and whose end is not known yet */
struct start {
    uint64_t call; /* first: looked up by it; of the start or last revoke */
    struct handle self;
    struct handle job; /* may be over already */
    struct key_id key;
    uint32_t index;
    struct handle upstream;
    struct name upstream_name;
    struct address address;
    uint64_t incarnation;
    struct resources need;
    int64_t deadline_us;
    int64_t ask_us; /* when to ask for it again; INT64_MAX: not waiting */
    uint32_t tries; /* questions that found nobody */
};

struct dispatch {
    struct table starts;
    struct map by_call;
    struct handle *queue; /* jobs in order of arrival */
    size_t n_queue;
    size_t queue_room;
    uint32_t queued;
    bool dirty;
    int64_t next_us;
};

struct dispatch *
dispatch_new(const struct entry *e)
{
    struct dispatch *d = calloc(1, sizeof(*d));

    (void)e;
    if (d == NULL) {
        abort();
    }
    table_init(&d->starts, sizeof(struct start));
    map_init(&d->by_call, MAP_U64);
    d->next_us = INT64_MAX;
    return d;
}

void
dispatch_free(struct dispatch *d)
{
    if (d == NULL) {
        return;
    }
    map_clear(&d->by_call);
    table_clear(&d->starts);
    free(d->queue);
    free(d);
}

/* Admission */

static bool
fits_somewhere(const struct entry *e, const struct job *job,
               struct resources need, bool *any)
{
    const struct upstream *u;
    uint32_t at = 0;

    while ((u = upstreams_next(e, &at)) != NULL) {
        struct resources have = {(uint32_t)u->info.cpu_milli,
                                 (uint32_t)u->info.memory_mb,
                                 (uint32_t)u->info.accelerators};

        if (!name_equal(u->info.service, job->service_name)) {
            continue;
        }
        *any = true;
        if (resources_fit(need, have)) {
            return true;
        }
    }
    return false;
}

struct admission
dispatch_admit(struct entry *e, const struct job *job)
{
    struct admission a = {.admitted = false};
    bool any = false;

    for (uint32_t i = 0; i < job->n_tasks; i++) {
        if (fits_somewhere(e, job, job->tasks[i].need, &any)) {
            continue;
        }
        a.problem = any ? PROBLEM_NEVER_FITS : PROBLEM_NO_UPSTREAMS;
        a.reason = any ? REASON_NEVER_FITS : REASON_NO_UPSTREAMS;
        a.retry_after_us = any ? 0 : entry_jitter(e, e->opts.renew_us);
        return a;
    }
    if (e->dispatch->queued + job->n_tasks > e->opts.queue_max) {
        a.problem = PROBLEM_OVERLOADED;
        a.reason = REASON_QUEUE_FULL;
        a.retry_after_us = entry_jitter(e, USEC_PER_SEC);
        return a;
    }
    a.admitted = true;
    return a;
}

/* The queue */

void
dispatch_enqueue(struct entry *e, struct job *job)
{
    struct dispatch *d = e->dispatch;

    for (uint32_t i = 0; i < job->n_tasks; i++) {
        if (job->tasks[i].phase != TASK_WAITING) {
            continue;
        }
        job->tasks[i].phase = TASK_QUEUED;
        job->n_queued++;
        d->queued++;
    }
    if (d->n_queue == d->queue_room) {
        d->queue_room = d->queue_room == 0 ? 64 : d->queue_room * 2;
        d->queue = realloc(d->queue, d->queue_room * sizeof(*d->queue));
        if (d->queue == NULL) {
            abort();
        }
    }
    d->queue[d->n_queue++] = job->self;
    d->dirty = true;
}

void
dispatch_forget(struct entry *e, struct job *job)
{
    struct dispatch *d = e->dispatch;

    for (uint32_t i = 0; i < job->n_tasks; i++) {
        struct task *t = &job->tasks[i];
        struct start *s = table_get(&d->starts, t->start);

        if (t->phase == TASK_QUEUED) {
            t->phase = TASK_WAITING;
        }
        if (s != NULL) {
            s->job = (struct handle){0};
        }
        t->start = (struct handle){0};
    }
    d->queued -= job->n_queued;
    job->n_queued = 0;
    job->n_sent = 0;
}

static void
requeue(struct entry *e, struct job *job, struct task *t)
{
    t->phase = TASK_QUEUED;
    t->start = (struct handle){0};
    job->n_queued++;
    e->dispatch->queued++;
    e->dispatch->dirty = true;
    e->counters.tasks_requeued++;
}

/* Starts */

static struct upstream *
pick_upstream(struct entry *e, const struct job *job, struct resources need)
{
    struct upstream *best = NULL;
    struct upstream *u;
    uint32_t at = 0;

    while ((u = upstreams_next(e, &at)) != NULL) {
        struct resources left = {
            (uint32_t)u->info.cpu_milli - u->used.cpu_milli,
            (uint32_t)u->info.memory_mb - u->used.memory_mb,
            (uint32_t)u->info.accelerators - u->used.accelerators};

        if (!u->held || u->info.leaving || upstreams_free_on(u) == 0 ||
            !name_equal(u->info.service, job->service_name) ||
            !resources_fit(need, left)) {
            continue;
        }
        if (best == NULL || upstreams_free_on(u) > upstreams_free_on(best)) {
            best = u;
        }
    }
    return best;
}

static void
take_resources(struct upstream *u, struct resources need)
{
    u->running++;
    u->used.cpu_milli += need.cpu_milli;
    u->used.memory_mb += need.memory_mb;
    u->used.accelerators += need.accelerators;
}

static void
give_resources(struct upstream *u, struct resources need)
{
    u->running--;
    u->used.cpu_milli -= need.cpu_milli;
    u->used.memory_mb -= need.memory_mb;
    u->used.accelerators -= need.accelerators;
}

static int64_t
silent_after(const struct task *t)
{
    int64_t us = SILENT_TIMES * t->run_us;

    return us > SILENT_MIN_US ? us : SILENT_MIN_US;
}

static void
send_start(struct entry *e, struct job *job, uint32_t index,
           struct upstream *u)
{
    struct dispatch *d = e->dispatch;
    struct task *t = &job->tasks[index];
    struct handle h;
    struct start *s = table_add(&d->starts, &h);
    struct ef_start *f = &effects_add(e->fx, EF_START)->u.start;

    s->self = h;
    s->call = entry_new_call(e);
    s->job = job->self;
    s->key = job->id;
    s->index = index;
    s->upstream = u->self;
    s->upstream_name = u->name;
    s->address = u->info.address;
    s->incarnation = u->info.incarnation;
    s->need = t->need;
    s->deadline_us = job->deadline_us;
    s->ask_us = INT64_MAX;
    map_put(&d->by_call, s);
    take_resources(u, t->need);
    t->phase = TASK_SENT;
    t->attempts++;
    t->start = h;
    job->n_queued--;
    job->n_sent++;
    d->queued--;
    e->counters.tasks_started++;
    f->call = s->call;
    f->upstream = u->name;
    f->address = u->info.address;
    f->incarnation = u->info.incarnation;
    f->epoch = u->info.epoch;
    f->key = job->id;
    f->index = index;
    f->payload = blob_ref(t->payload);
    f->silent_us = silent_after(t);
}

static void
place_job(struct entry *e, struct job *job)
{
    for (uint32_t i = 0; i < job->n_tasks && job->n_queued > 0; i++) {
        struct upstream *u;

        if (job->tasks[i].phase != TASK_QUEUED) {
            continue;
        }
        u = pick_upstream(e, job, job->tasks[i].need);
        if (u != NULL) {
            send_start(e, job, i, u);
        }
    }
}

void
dispatch_run(struct entry *e)
{
    struct dispatch *d = e->dispatch;
    size_t kept = 0;

    if (!d->dirty) {
        return;
    }
    d->dirty = false;
    for (size_t i = 0; i < d->n_queue; i++) {
        struct job *job = jobs_of(e, d->queue[i]);

        if (job == NULL || job->n_queued + job->n_sent == 0) {
            continue;
        }
        place_job(e, job);
        d->queue[kept++] = d->queue[i];
    }
    d->n_queue = kept;
}

/* Ends of starts */

static void
ask_for(struct entry *e, struct start *s)
{
    struct dispatch *d = e->dispatch;
    struct ef_revoke *f = &effects_add(e->fx, EF_REVOKE)->u.revoke;

    (void)map_remove(&d->by_call, &s->call);
    s->call = entry_new_call(e);
    s->ask_us = INT64_MAX;
    map_put(&d->by_call, s);
    f->call = s->call;
    f->upstream = s->upstream_name;
    f->address = s->address;
    f->incarnation = s->incarnation;
    f->key = s->key;
    f->index = s->index;
    e->counters.revokes_sent++;
}

static void
ask_later(struct entry *e, struct start *s)
{
    struct dispatch *d = e->dispatch;
    int64_t us = REVOKE_BACKOFF_US << (s->tries < 4 ? s->tries : 4);

    if (us > REVOKE_BACKOFF_MAX_US) {
        us = REVOKE_BACKOFF_MAX_US;
    }
    s->ask_us = e->now.mono_us + entry_jitter(e, us);
    if (s->ask_us < d->next_us) {
        d->next_us = s->ask_us;
    }
}

/** end_start() - forgets a start and frees its slot; returns its job if that
 * still waits for it, with the task no longer sent */
static struct job *
end_start(struct entry *e, struct start *s)
{
    struct dispatch *d = e->dispatch;
    struct upstream *u = upstreams_of(e, s->upstream);
    struct job *job = jobs_of(e, s->job);

    if (u != NULL) {
        give_resources(u, s->need);
        d->dirty = true;
    }
    if (job != NULL) {
        job->tasks[s->index].start = (struct handle){0};
        job->n_sent--;
    }
    (void)map_remove(&d->by_call, &s->call);
    table_remove(&d->starts, s->self);
    return job;
}

static void
end_done(struct entry *e, struct start *s, bool ok, struct blob *result)
{
    uint32_t index = s->index;
    struct job *job = end_start(e, s);

    if (job == NULL) {
        e->counters.outcomes_dropped++;
        return;
    }
    e->counters.tasks_done++;
    jobs_task_ended(e, job, index, ok, result);
}

static void
end_not_started(struct entry *e, struct start *s)
{
    uint32_t index = s->index;
    struct job *job = end_start(e, s);

    if (job == NULL) {
        return;
    }
    requeue(e, job, &job->tasks[index]);
    if (job->tasks[index].attempts >= ATTEMPTS_MAX) {
        jobs_fail(e, job, REASON_RETRIES_SPENT);
    }
}

/** end_unknown() - whether the task ran will never be known, so the job can
 * never be complete; it is told so now rather than at its deadline */
static void
end_unknown(struct entry *e, struct start *s)
{
    struct job *job = jobs_of(e, s->job);

    if (job != NULL) {
        jobs_fail(e, job, REASON_OUTCOME_LOST);
    }
    (void)end_start(e, s);
}

void
dispatch_on_ended(struct entry *e, const struct ev_ended *ev)
{
    struct start *s = map_get(&e->dispatch->by_call, &ev->call);
    struct upstream *u;

    if (s == NULL) {
        e->counters.outcomes_dropped++;
        return;
    }
    u = upstreams_of(e, s->upstream);
    switch (ev->outcome) {
    case START_DONE:
        end_done(e, s, ev->ok, ev->result);
        break;
    case START_STALE:
        if (u != NULL) {
            upstreams_stale(e, u);
        }
        e->counters.starts_refused++;
        end_not_started(e, s);
        break;
    case START_REFUSED:
    case START_NO_CONNECT:
        e->counters.starts_refused++;
        end_not_started(e, s);
        break;
    case START_LOST:
    default:
        e->counters.starts_lost++;
        if (MUTANT(e, START_ONCE)) {
            end_not_started(e, s);
            break;
        }
        ask_for(e, s);
        break;
    }
}

void
dispatch_on_revoked(struct entry *e, const struct ev_revoked *ev)
{
    struct start *s = map_get(&e->dispatch->by_call, &ev->call);

    if (s == NULL) {
        e->counters.outcomes_dropped++;
        return;
    }
    switch (ev->outcome) {
    case REVOKE_NEVER:
        end_not_started(e, s);
        break;
    case REVOKE_DONE:
        end_done(e, s, ev->ok, ev->result);
        break;
    case REVOKE_RUNNING:
        s->tries = 0;
        ask_later(e, s);
        break;
    case REVOKE_UNREACHABLE:
        if (++s->tries < REVOKE_TRIES || e->now.mono_us < s->deadline_us) {
            ask_later(e, s);
            break;
        }
        end_unknown(e, s);
        break;
    case REVOKE_OTHER_LIFE:
    default:
        if (MUTANT(e, NON_IDEMPOTENT)) {
            end_not_started(e, s);
            break;
        }
        end_unknown(e, s);
        break;
    }
}

/* What others report */

void
dispatch_on_message(struct entry *e, struct name from, const struct msg *m)
{
    (void)e;
    (void)from;
    (void)m;
}

void
dispatch_upstream_changed(struct entry *e, struct upstream *u)
{
    (void)u;
    e->dispatch->dirty = true;
}

void
dispatch_upstream_gone(struct entry *e, struct handle upstream)
{
    struct dispatch *d = e->dispatch;
    struct handle h;
    struct start *s;
    uint32_t at = 0;

    while ((s = table_next(&d->starts, &at, &h)) != NULL) {
        if (handle_equal(s->upstream, upstream)) {
            s->upstream = (struct handle){0};
        }
    }
}

void
dispatch_member_down(struct entry *e, struct name member)
{
    (void)e;
    (void)member;
}

void
dispatch_config_changed(struct entry *e)
{
    e->dispatch->dirty = true;
}

static size_t
queued_of(const struct entry *e, struct name service)
{
    const struct dispatch *d = e->dispatch;
    size_t n = 0;

    for (size_t i = 0; i < d->n_queue; i++) {
        const struct job *job = jobs_of(e, d->queue[i]);

        if (job != NULL && name_equal(job->service_name, service)) {
            n += job->n_queued;
        }
    }
    return n;
}

size_t
dispatch_loads(const struct entry *e, struct rec_load **loads)
{
    size_t n = e->config != NULL ? e->config->n_services : 0;

    *loads = calloc(n + 1, sizeof(**loads));
    if (*loads == NULL) {
        abort();
    }
    for (size_t i = 0; i < n; i++) {
        struct name service = e->config->services[i].name;

        (*loads)[i].service = service;
        (*loads)[i].free_slots = upstreams_free_slots(e, service);
        (*loads)[i].backlog = queued_of(e, service);
    }
    return n;
}

void
dispatch_tick(struct entry *e)
{
    struct dispatch *d = e->dispatch;
    struct handle h;
    struct start *s;
    uint32_t at = 0;

    if (e->now.mono_us < d->next_us) {
        return;
    }
    d->next_us = INT64_MAX;
    while ((s = table_next(&d->starts, &at, &h)) != NULL) {
        if (s->ask_us <= e->now.mono_us) {
            ask_for(e, s);
        }
        else if (s->ask_us < d->next_us) {
            d->next_us = s->ask_us;
        }
    }
}

int64_t
dispatch_next_us(const struct entry *e)
{
    return e->dispatch->next_us;
}

uint32_t
dispatch_queued(const struct entry *e)
{
    return e->dispatch->queued;
}

uint32_t
dispatch_running(const struct entry *e)
{
    return (uint32_t)e->dispatch->starts.n;
}
