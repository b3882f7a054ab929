#include "start.h"

#include <stdlib.h>
#include <string.h>
#include <syslog.h>

#include "explain.h"
#include "health.h"
#include "holder.h"
#include "quota.h"
#include "slot.h"
#include "timers.h"
#include "upstream.h"

enum {
    /* A start times out after the longer of these multiples of the estimated
     * 95th and 99th percentile of the run time. */
    TAIL_TIMEOUT_FACTOR = 4,
    LONGEST_TIMEOUT_FACTOR = 2,
    REVOKE_TIME_DIVISOR = 4,  /* 1/4 of the time left is for revokes */
    REVOKE_TRIES_MIN = 6,     /* failed revokes before giving up, at least */
    REVOKE_DOUBLINGS_MAX = 4, /* of the time between revokes */
};

#define START_TIMEOUT_MIN_US (1 * USEC_PER_SEC)
#define REVOKE_BACKOFF_US (200 * USEC_PER_MSEC)

/** struct start - one task start in flight */
struct start {
    uint64_t call; /* first: key of by_call */
    struct handle self;
    struct handle job; /* none once the job has ended */
    struct handle place;
    struct handle upstream;
    struct service_state *service;
    struct key_id key;
    uint32_t index;
    uint32_t failed_revokes; /* undelivered revokes in a row */
    struct name name;
    struct address address;
    uint64_t incarnation;
    uint64_t epoch;
    struct resources need;
    bool own; /* at a place that is not borrowed, see place_is_own(): @need is
               * counted in upstream->used */
    int64_t declared_us; /* run time that the caller declared */
    int64_t expected_us; /* run time estimated from earlier runs */
    int64_t sent_us;
    int64_t deadline_us;  /* of the job */
    uint64_t revoke_call; /* call of the revoke in flight; 0: none */
    int64_t revoke_us;    /* when to send a revoke; 0: none planned */
};

/** struct revoke_call - a revoke in flight */
struct revoke_call {
    uint64_t call; /* first: key of revoke_by_call */
    struct handle self;
    struct handle start; /* the start that it revokes */
};

struct starts {
    struct table table;
    struct map by_call;
    struct table revoke_calls;
    struct map revoke_by_call;
    struct timers timers;
};

struct starts *
starts_new(void)
{
    struct starts *ss = calloc(1, sizeof(*ss));

    if (ss == NULL) {
        abort();
    }
    table_init(&ss->table, sizeof(struct start));
    map_init(&ss->by_call, MAP_U64);
    table_init(&ss->revoke_calls, sizeof(struct revoke_call));
    map_init(&ss->revoke_by_call, MAP_U64);
    return ss;
}

void
starts_free(struct starts *ss)
{
    map_clear(&ss->by_call);
    table_clear(&ss->table);
    map_clear(&ss->revoke_by_call);
    table_clear(&ss->revoke_calls);
    timers_clear(&ss->timers);
    free(ss);
}

static struct starts *
starts_of(const struct entry *e)
{
    return e->dispatch->starts;
}

/* Sending */

static void
add_resources(struct resources *used, struct resources need)
{
    used->cpu_milli += need.cpu_milli;
    used->memory_mb += need.memory_mb;
    used->accelerators += need.accelerators;
}

static void
subtract_resources(struct resources *used, struct resources need)
{
    used->cpu_milli -= need.cpu_milli;
    used->memory_mb -= need.memory_mb;
    used->accelerators -= need.accelerators;
}

/** take_slot() - counts a start at its place, upstream and service */
static void
take_slot(struct entry *e, struct start *s, struct place *p)
{
    struct upstream *u = p->upstream;

    s->place = p->self;
    s->own = place_is_own(p);
    p->slots_used++;
    p->last_used_us = e->now.mono_us;
    if (u != NULL) {
        s->upstream = u->self;
        u->running++;
        if (s->own) {
            add_resources(&u->used, s->need);
        }
    }
    s->service->n_running++;
    place_update(e, p);
}

static void
free_slot(struct entry *e, struct start *s)
{
    struct upstream *u = upstreams_get(e, s->upstream);
    struct place *p = slots_get_place(e, s->place);

    s->service->n_running--;
    quotas_task_ended(e, s->service);
    if (u != NULL) {
        u->running--;
        if (s->own) {
            subtract_resources(&u->used, s->need);
        }
        if (u->place != NULL && u->place != p) {
            place_update(e, u->place);
        }
    }
    if (p != NULL) {
        p->slots_used--;
        p->last_used_us = e->now.mono_us;
        place_update(e, p);
        slots_on_start_ended(e, p);
    }
    dispatch_mark_dirty(e, s->service);
}

static int64_t
max_us(int64_t a, int64_t b)
{
    return a > b ? a : b;
}

/* When a connection hangs, the upstream knows the outcome but this instance
 * does not.  A revoke sent after the job's deadline is useless: the caller has
 * been answered "unknown" for a task that ran.  So the start times out early
 * enough to leave 1/REVOKE_TIME_DIVISOR of the time to the deadline for
 * revokes. */
static int64_t
latest_timeout(const struct entry *e, const struct start *s)
{
    int64_t left = s->deadline_us - e->now.mono_us;

    return max_us(left - left / REVOKE_TIME_DIVISOR, START_TIMEOUT_MIN_US);
}

/** start_timeout() - timeout of a start request, in microseconds.  Too short
 * costs a message for the revoke, too long delays the caller's answer. */
static int64_t
start_timeout(const struct entry *e, const struct start *s)
{
    int64_t latest = latest_timeout(e, s);
    const struct run_estimate *l = &s->service->run_estimate;
    int64_t us = TAIL_TIMEOUT_FACTOR * estimate_p95_us(l, s->declared_us);

    us = max_us(us, LONGEST_TIMEOUT_FACTOR *
                        estimate_longest_us(l, JOB_TASKS_MAX, s->declared_us));
    us = max_us(us, s->declared_us);
    us = max_us(us, START_TIMEOUT_MIN_US);
    return us < latest ? us : latest;
}

static void
emit_start(struct entry *e, const struct start *s, struct blob *payload)
{
    struct ef_start *f = &effects_add(e->fx, EF_START)->u.start;

    f->call = s->call;
    f->upstream = s->name;
    f->address = s->address;
    f->incarnation = s->incarnation;
    f->epoch = s->epoch;
    f->key = s->key;
    f->index = s->index;
    f->payload = blob_ref(payload);
    f->silence_timeout_us = start_timeout(e, s);
    e->counters.tasks_started++;
}

void
starts_send(struct entry *e, struct job *job, uint32_t index, struct place *p)
{
    struct starts *ss = starts_of(e);
    struct queue_entry *q = job->queue_entry;
    struct task *t = &job->tasks[index];
    struct handle h;
    struct start *s = table_add(&ss->table, &h);

    s->call = entry_new_call_id(e);
    s->self = h;
    s->job = job->self;
    s->service = q->service;
    s->key = job->id;
    s->index = index;
    s->name = p->name;
    s->address = p->address;
    s->incarnation = p->incarnation;
    s->epoch = place_is_own(p) ? p->upstream->info.epoch : p->epoch;
    s->need = t->need;
    s->declared_us = t->run_us;
    s->expected_us = estimate_mean_us(&s->service->run_estimate, t->run_us);
    s->sent_us = e->now.mono_us;
    s->deadline_us = job->deadline_us;
    map_put(&ss->by_call, s);
    take_slot(e, s, p);
    t->phase = TASK_SENT;
    t->attempts++;
    t->start = h;
    job->n_sent++;
    emit_start(e, s, t->payload);
    explain_record(e, job, REASON_STARTED, (int32_t)index, s->name);
}

void
starts_detach_job(struct entry *e, struct handle start)
{
    struct start *s = table_get(&starts_of(e)->table, start);

    if (s != NULL) {
        s->job = (struct handle){0};
    }
}

/* Revokes */

static void
drop_revoke_call(struct starts *ss, struct start *s)
{
    struct revoke_call *r;

    if (s->revoke_call == 0) {
        return;
    }
    r = map_remove(&ss->revoke_by_call, &s->revoke_call);
    s->revoke_call = 0;
    if (r != NULL) {
        table_remove(&ss->revoke_calls, r->self);
    }
}

static void
send_revoke(struct entry *e, struct start *s)
{
    struct starts *ss = starts_of(e);
    struct ef_revoke *f;
    struct revoke_call *r;
    struct handle h;

    if (s->revoke_call != 0) {
        return;
    }
    r = table_add(&ss->revoke_calls, &h);
    r->call = entry_new_call_id(e);
    r->self = h;
    r->start = s->self;
    map_put(&ss->revoke_by_call, r);
    s->revoke_call = r->call;
    s->revoke_us = 0;
    f = &effects_add(e->fx, EF_REVOKE)->u.revoke;
    f->call = r->call;
    f->upstream = s->name;
    f->address = s->address;
    f->incarnation = s->incarnation;
    f->key = s->key;
    f->index = s->index;
    e->counters.revokes_sent++;
}

static void
schedule_revoke(struct entry *e, struct start *s)
{
    uint32_t doublings = s->failed_revokes < REVOKE_DOUBLINGS_MAX
                             ? s->failed_revokes
                             : REVOKE_DOUBLINGS_MAX;

    s->revoke_us =
        e->now.mono_us + entry_jitter(e, REVOKE_BACKOFF_US << doublings);
    timers_add(&starts_of(e)->timers, s->revoke_us, s->self);
}

/* Outcomes */

/** end_start() - removes a start and frees its slot; returns its job, or NULL
 * if the job has ended */
static struct job *
end_start(struct entry *e, struct start *s)
{
    struct starts *ss = starts_of(e);
    struct job *job = jobs_by_handle(e, s->job);

    drop_revoke_call(ss, s);
    free_slot(e, s);
    if (job != NULL) {
        job->tasks[s->index].start = (struct handle){0};
        job->n_sent--;
    }
    (void)map_remove(&ss->by_call, &s->call);
    table_remove(&ss->table, s->self);
    return job;
}

static void
record_success(struct entry *e, struct start *s, int64_t ran_us)
{
    struct upstream *u = upstreams_get(e, s->upstream);
    struct place *p = slots_get_place(e, s->place);
    double expected = (double)(s->expected_us > 0 ? s->expected_us : 1);

    if (ran_us <= 0) {
        ran_us = e->now.mono_us - s->sent_us;
    }
    if (p != NULL) {
        p->failures = 0;
        p->refusals = 0;
        p->unreported_successes++;
    }
    if (u != NULL) {
        health_task_succeeded(e, u, (double)ran_us / expected);
    }
    estimate_add_run(&s->service->run_estimate, s->declared_us, ran_us);
}

static void
record_failure(struct entry *e, struct start *s)
{
    struct upstream *u = upstreams_get(e, s->upstream);
    struct place *p = slots_get_place(e, s->place);

    if (p != NULL) {
        p->failures++;
    }
    if (u != NULL) {
        health_task_failed(e, u, 1);
    }
}

/* A refusal by a full upstream costs one message and does not count as a
 * failure, but retrying at once would cost more.  The place is blocked for a
 * time that grows with each refusal in a row, so an upstream that refuses
 * every start is tried less and less often. */
static void
record_refusal(struct entry *e, struct start *s)
{
    struct place *p = slots_get_place(e, s->place);

    if (p == NULL || p->blocked_until_us > e->now.mono_us) {
        return;
    }
    place_block(e, p);
    dispatch_run_at(e, p->blocked_until_us);
}

static void
record_stale(struct entry *e, struct start *s)
{
    struct upstream *u = upstreams_get(e, s->upstream);
    struct place *p = slots_get_place(e, s->place);

    if (p != NULL && !place_is_own(p)) {
        slots_close_place(e, p);
    }
    else if (u != NULL && u->held && u->info.epoch == s->epoch) {
        holders_on_stale_epoch(e, u);
    }
}

static void
end_done(struct entry *e, struct start *s, bool ok, struct blob *result,
         int64_t ran_us)
{
    uint32_t index = s->index;
    struct job *job;

    if (ok) {
        record_success(e, s, ran_us);
    }
    else {
        record_failure(e, s);
    }
    job = end_start(e, s);
    if (job == NULL) {
        e->counters.outcomes_dropped++;
        return;
    }
    e->counters.tasks_done++;
    dispatch_task_done(e, job);
    jobs_task_ended(e, job, index, ok, result);
}

/** end_not_started() - requeues the task; @charged: counts against the retry
 * budget */
static void
end_not_started(struct entry *e, struct start *s, bool charged)
{
    uint32_t index = s->index;
    struct job *job = end_start(e, s);

    if (job != NULL) {
        dispatch_requeue(e, job, index, charged);
    }
}

/* Whether the task ran can no longer be determined, so the job can never
 * complete: it fails now rather than at its deadline. */
static void
end_unknown(struct entry *e, struct start *s)
{
    struct handle h = s->self;
    struct job *job = jobs_by_handle(e, s->job);

    entry_log(e, LOG_WARNING, REASON_OUTCOME_LOST, &s->key, (int32_t)s->index,
              s->name, "incarnation %llu, not reached %u times",
              (unsigned long long)s->incarnation, s->failed_revokes);
    if (job != NULL) {
        jobs_fail(e, job, REASON_OUTCOME_LOST);
    }
    s = table_get(&starts_of(e)->table, h);
    if (s != NULL) {
        (void)end_start(e, s);
    }
}

void
starts_on_ended(struct entry *e, const struct ev_ended *ev)
{
    struct start *s = map_get(&starts_of(e)->by_call, &ev->call);

    if (s == NULL) {
        e->counters.outcomes_dropped++;
        return;
    }
    switch (ev->outcome) {
    case START_DONE:
        end_done(e, s, ev->ok, ev->result, ev->ran_us);
        break;
    case START_REFUSED:
        e->counters.starts_refused++;
        record_refusal(e, s);
        end_not_started(e, s, false);
        break;
    case START_NO_CONNECT:
        e->counters.starts_refused++;
        record_refusal(e, s);
        record_failure(e, s);
        end_not_started(e, s, true);
        break;
    case START_STALE:
        e->counters.starts_refused++;
        record_stale(e, s);
        end_not_started(e, s, true);
        break;
    case START_LOST:
    default:
        e->counters.starts_lost++;
        record_failure(e, s);
        if (MUTANT(e, RESTART_LOST)) {
            end_not_started(e, s, true);
            break;
        }
        send_revoke(e, s);
        break;
    }
}

static void
on_revoke_failed(struct entry *e, struct start *s)
{
    s->failed_revokes++;
    if (s->failed_revokes < REVOKE_TRIES_MIN ||
        e->now.mono_us < s->deadline_us) {
        schedule_revoke(e, s);
        return;
    }
    end_unknown(e, s);
}

void
starts_on_revoked(struct entry *e, const struct ev_revoked *ev)
{
    struct starts *ss = starts_of(e);
    struct revoke_call *r = map_get(&ss->revoke_by_call, &ev->call);
    struct start *s = r != NULL ? table_get(&ss->table, r->start) : NULL;

    if (s == NULL) {
        e->counters.outcomes_dropped++;
        return;
    }
    drop_revoke_call(ss, s);
    switch (ev->outcome) {
    case REVOKE_NEVER:
        end_not_started(e, s, true);
        break;
    case REVOKE_DONE:
        end_done(e, s, ev->ok, ev->result, 0);
        break;
    case REVOKE_RUNNING:
        s->failed_revokes = 0;
        schedule_revoke(e, s);
        break;
    case REVOKE_UNREACHABLE:
        on_revoke_failed(e, s);
        break;
    case REVOKE_OTHER_LIFE:
    default:
        if (MUTANT(e, RENAMED_NOT_RUN)) {
            end_not_started(e, s, true);
            break;
        }
        end_unknown(e, s);
        break;
    }
}

void
starts_on_upstream_removed(struct entry *e, struct upstream *u)
{
    struct starts *ss = starts_of(e);
    struct handle h;
    struct start *s;
    uint32_t at = 0;

    if (u->running == 0) {
        return;
    }
    while ((s = table_next(&ss->table, &at, &h)) != NULL) {
        if (handle_equal(s->upstream, u->self)) {
            s->upstream = (struct handle){0};
            send_revoke(e, s);
        }
    }
    u->running = 0;
}

void
starts_tick(struct entry *e)
{
    struct starts *ss = starts_of(e);
    struct handle h;

    while (timers_pop(&ss->timers, e->now.mono_us, &h)) {
        struct start *s = table_get(&ss->table, h);

        if (s != NULL && s->revoke_us != 0 && s->revoke_us <= e->now.mono_us) {
            send_revoke(e, s);
        }
    }
}

int64_t
starts_next_us(const struct entry *e)
{
    return timers_next_us(&starts_of(e)->timers);
}

uint32_t
starts_count(const struct entry *e)
{
    return (uint32_t)starts_of(e)->table.n;
}
