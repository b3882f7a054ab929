#include "entry.h"

#include <stdarg.h>
#include <stdlib.h>
#include <string.h>
#include <syslog.h>

#include "claim.h"
#include "dispatch.h"
#include "dump.h"
#include "entry_state.h"
#include "explain.h"
#include "config_sync.h"
#include "handover.h"
#include "holder.h"
#include "jobs.h"
#include "member.h"
#include "successor.h"
#include "slot.h"
#include "upstream.h"

struct entry_options
entry_options_default(void)
{
    return (struct entry_options){
        .seed = 1,
        .placement = PLACE_HOLDER,
        .claim_window_us = 600 * USEC_PER_SEC,
        .clock_skew_us = 5 * USEC_PER_SEC,
        .claim_timeout_us = 50 * USEC_PER_MSEC,
        .heartbeat_us = 500 * USEC_PER_MSEC,
        .member_timeout_us = 2 * USEC_PER_SEC,
        .renew_us = 2 * USEC_PER_SEC,
        .upstream_ttl_us = 6 * USEC_PER_SEC,
        .grant_us = 2 * USEC_PER_SEC,
        .answer_keep_us = 120 * USEC_PER_SEC,
        .answer_keep_bytes = (size_t)64 << 20,
        .queue_max = 20000,
        .retry_percent = 20,
        .quarantine_after = 5,
        .quarantine_percent = 34,
    };
}

uint64_t
entry_random(struct entry *e)
{
    return random_next(&e->random);
}

int64_t
entry_jitter(struct entry *e, int64_t us)
{
    return us / 2 + (int64_t)(entry_random(e) % (uint64_t)(us + 1));
}

uint64_t
entry_new_call_id(struct entry *e)
{
    return ++e->last_call_id;
}

void
entry_send(struct entry *e, struct name to, struct msg *m)
{
    struct effect *f = effects_add(e->fx, EF_SEND);

    f->u.send.to = to;
    f->u.send.msg = *m;
    memset(m, 0, sizeof(*m));
    e->counters.messages_sent++;
}

void
entry_log(struct entry *e, int severity, enum reason reason,
          const struct key_id *key, int32_t index, struct name subject,
          const char *format, ...)
{
    struct ef_log *log = &effects_add(e->fx, EF_LOG)->u.log;
    va_list args;

    log->severity = severity;
    log->reason = reason;
    if (key != NULL) {
        log->key = *key;
    }
    log->index = index;
    log->subject = subject;
    va_start(args, format);
    (void)vsnprintf(log->detail, sizeof(log->detail), format, args);
    va_end(args);
    if (key != NULL) {
        explain_record_log(e, log);
    }
}

void
entry_refuse(struct entry *e, uint64_t request, enum problem problem,
             int64_t retry_after_us, const char *detail)
{
    struct ef_problem *p;

    if (request == REQUEST_NONE) {
        return;
    }
    p = &effects_add(e->fx, EF_PROBLEM)->u.problem;
    p->request = request;
    p->problem = problem;
    p->retry_after_us = retry_after_us;
    (void)snprintf(p->detail, sizeof(p->detail), "%s", detail);
}

static bool
peers_valid(const struct entry_options *o)
{
    for (size_t i = 0; i < o->n_peers; i++) {
        if (name_equal(o->peers[i].name, o->self)) {
            return o->n_peers <= INSTANCES_MAX;
        }
    }
    return false;
}

static bool
copy_options(struct entry *e, const struct entry_options *o)
{
    struct entry_peer *peers = calloc(o->n_peers, sizeof(*peers));
    struct name *controls = calloc(o->n_controls + 1, sizeof(*controls));

    if (peers == NULL || controls == NULL) {
        free(peers);
        free(controls);
        return false;
    }
    memcpy(peers, o->peers, o->n_peers * sizeof(*peers));
    if (o->n_controls > 0) {
        memcpy(controls, o->controls, o->n_controls * sizeof(*controls));
    }
    e->opts = *o;
    e->opts.peers = peers;
    e->opts.controls = controls;
    for (size_t i = 0; i < o->n_peers; i++) {
        if (name_equal(peers[i].name, o->self)) {
            e->zone = peers[i].zone;
        }
    }
    return true;
}

struct entry *
entry_new(const struct entry_options *o)
{
    struct entry *e;

    if (!peers_valid(o)) {
        return NULL;
    }
    e = calloc(1, sizeof(*e));
    if (e == NULL) {
        return NULL;
    }
    if (!copy_options(e, o)) {
        free(e);
        return NULL;
    }
    e->random = o->seed;
    e->explain = explain_new();
    e->members = members_new(e);
    e->successors = successors_new();
    e->handover = handover_new();
    e->claims = claims_new(e);
    e->jobs = jobs_new(e);
    e->upstreams = upstreams_new(e);
    e->holders = holders_new();
    e->slots = slots_new(e);
    e->dispatch = dispatch_new(e);
    e->config_sync = config_sync_new(e);
    e->evacuation_known = o->n_controls == 0;
    return e;
}

static void
drop_active_jobs(struct entry *e)
{
    struct job *job;
    uint32_t at = 0;

    while ((job = jobs_next(e, &at)) != NULL) {
        if (job->phase == JOB_ACTIVE) {
            dispatch_drop_job(e, job);
        }
    }
}

void
entry_free(struct entry *e)
{
    if (e == NULL) {
        return;
    }
    drop_active_jobs(e);
    config_sync_free(e->config_sync);
    dispatch_free(e->dispatch);
    slots_free(e->slots);
    upstreams_free(e->upstreams);
    holders_free(e->holders);
    jobs_free(e->jobs);
    claims_free(e->claims);
    handover_free(e->handover);
    successors_free(e->successors);
    members_free(e->members);
    explain_free(e->explain);
    evacuation_clear(&e->evacuated);
    config_free(e->config);
    free((void *)e->opts.peers);
    free((void *)e->opts.controls);
    free(e);
}

/* Upper bound on the time it takes to read requests that were buffered in the
 * process before a long pause. */
#define STALE_REQUESTS_US (1 * USEC_PER_SEC)

/* While a process is paused for longer than a lease, other instances may take
 * over its holds and grants.  They are released before the event is handled,
 * because starts under the old epochs would be refused.
 *
 * A submission under a bare key may have been buffered in the process for
 * longer than the claim window.  By then the voters have dropped the claim and
 * the job may have run elsewhere, so its tasks would start twice.  A key with
 * an issue time is refused as too old; a bare key has none, so bare keys are
 * refused until the buffered requests have been read. */
static void
release_after_pause(struct entry *e)
{
    int64_t gap = e->now.mono_us - e->last_step_us;

    if (e->last_step_us == 0 || gap < e->opts.member_timeout_us) {
        return;
    }
    e->counters.pauses++;
    entry_log(e, LOG_WARNING, REASON_PAUSED, NULL, -1, name_of(""),
              "no event for %lld ms", (long long)(gap / USEC_PER_MSEC));
    if (gap >= e->opts.claim_window_us / CLAIM_WINDOW_DIVISOR) {
        e->refuse_bare_until_us = e->now.mono_us + STALE_REQUESTS_US;
    }
    holders_release_all(e);
    members_after_pause(e);
}

void
entry_apply_config(struct entry *e, const struct config *config)
{
    struct config *copy;

    if (e->config != NULL && config->version <= e->config->version &&
        !MUTANT(e, ANY_VERSION)) {
        entry_log(e, LOG_DEBUG, REASON_CONFIG_IGNORED, NULL, -1, name_of(""),
                  "version %llu is not above %llu",
                  (unsigned long long)config->version,
                  (unsigned long long)e->config->version);
        return;
    }
    copy = config_copy(config);
    if (copy == NULL) {
        return;
    }
    config_free(e->config);
    e->config = copy;
    entry_log(e, LOG_NOTICE, REASON_CONFIG_APPLIED, NULL, -1, name_of(""),
              "version %llu, %zu services", (unsigned long long)copy->version,
              copy->n_services);
    jobs_config_changed(e);
    dispatch_config_changed(e);
}

static void
on_message(struct entry *e, struct name from, const struct msg *m)
{
    switch (m->kind) {
    case MSG_HEARTBEAT:
        members_on_heartbeat(e, from, &m->u.heartbeat);
        break;
    case MSG_CLAIM:
    case MSG_CLAIM_REPLY:
    case MSG_CLAIM_RELEASE:
    case MSG_CLAIM_FIND:
    case MSG_SYNC_REQUEST:
    case MSG_SYNC_REPLY:
        claims_on_message(e, from, m);
        break;
    case MSG_JOB_WAIT:
    case MSG_JOB_ANSWER:
        jobs_on_message(e, from, m);
        break;
    case MSG_ANSWER_HANDOVER:
    case MSG_ANSWER_TAKEN:
        handover_on_message(e, from, m);
        break;
    case MSG_MOVES:
        successors_on_message(e, from, &m->u.moves);
        break;
    case MSG_UPSTREAM_NEWS:
        upstreams_on_news(e, from, &m->u.upstream_news);
        break;
    case MSG_SLOT_REQUEST:
    case MSG_SLOT_GRANT:
    case MSG_SLOT_RETURN:
    case MSG_SLOT_RECALL:
        dispatch_on_message(e, from, m);
        break;
    case MSG_CONFIG_REQUEST:
    case MSG_CONFIG_REPLY:
        config_sync_on_message(e, from, m);
        break;
    default:
        e->counters.messages_bad++;
        entry_log(e, LOG_WARNING, REASON_BAD_MESSAGE, NULL, -1, from,
                  "unexpected message kind %d", (int)m->kind);
        break;
    }
}

bool
entry_may_start_in(const struct entry *e, struct name zone)
{
    return e->evacuation_known && !evacuation_covers(&e->evacuated, zone);
}

/* Jobs that wait in an evacuated zone borrow slots of other zones. */
void
entry_update_evacuation(struct entry *e, struct name from, uint64_t revision,
                        const struct rec_evacuated_zone *zones, size_t n_zones)
{
    bool first = !e->evacuation_known;
    char text[DETAIL_SIZE];

    e->evacuation_known = true;
    if (evacuation_update(&e->evacuated, revision, zones, n_zones)) {
        evacuation_format(&e->evacuated, text, sizeof(text));
        entry_log(e, LOG_NOTICE, REASON_EVACUATION_KNOWN, NULL, -1, from,
                  "revision %llu, evacuated: %s", (unsigned long long)revision,
                  text);
    }
    else if (!first) {
        return;
    }
    dispatch_evacuation_changed(e);
}

static void
on_tick(struct entry *e)
{
    members_tick(e);
    claims_tick(e);
    jobs_tick(e);
    upstreams_tick(e);
    dispatch_tick(e);
    config_sync_tick(e);
}

static void
begin_stop(struct entry *e)
{
    if (e->stopping) {
        return;
    }
    e->stopping = true;
    entry_log(e, LOG_NOTICE, REASON_STOPPING, NULL, -1, name_of(""),
              "%zu jobs in progress", jobs_count_active(e));
    members_announce_stopping(e);
}

static void
report_stopped(struct entry *e)
{
    bool busy = jobs_count_active(e) > 0 || dispatch_count_running(e) > 0;

    if (!e->stopping || e->stop_reported ||
        (busy && !MUTANT(e, STOP_AT_ONCE))) {
        return;
    }
    if (!handover_advance(e)) {
        return;
    }
    e->stop_reported = true;
    (void)effects_add(e->fx, EF_STOPPED);
}

static void
handle_event(struct entry *e, const struct event *ev)
{
    switch (ev->kind) {
    case EV_TICK:
        on_tick(e);
        break;
    case EV_CONFIG:
        entry_apply_config(e, ev->u.config);
        break;
    case EV_SUBMIT:
        jobs_submit(e, &ev->u.submit);
        break;
    case EV_JOB_GET:
        jobs_query(e, &ev->u.query);
        break;
    case EV_JOB_CANCEL:
        jobs_cancel(e, &ev->u.query);
        break;
    case EV_CALLER_GONE:
        jobs_caller_gone(e, ev->u.query.request);
        break;
    case EV_MINT:
        jobs_mint_keys(e, &ev->u.mint);
        break;
    case EV_ANNOUNCE:
        upstreams_on_announce(e, &ev->u.announce);
        break;
    case EV_LEAVE:
        upstreams_on_leave(e, &ev->u.announce);
        break;
    case EV_FENCED:
        holders_on_fenced(e, &ev->u.fenced);
        break;
    case EV_TASK_ENDED:
        dispatch_on_ended(e, &ev->u.ended);
        break;
    case EV_TASK_REVOKED:
        dispatch_on_revoked(e, &ev->u.revoked);
        break;
    case EV_MESSAGE:
        on_message(e, ev->u.message.from, ev->u.message.msg);
        break;
    case EV_PEER_UP:
        members_on_connection(e, ev->u.peer.peer, true);
        break;
    case EV_PEER_DOWN:
        members_on_connection(e, ev->u.peer.peer, false);
        break;
    case EV_DRAIN:
        upstreams_on_drain(e, &ev->u.drain);
        break;
    case EV_EXPLAIN:
        explain_query(e, &ev->u.query);
        break;
    case EV_DUMP:
        dump_query(e, &ev->u.query);
        break;
    case EV_STOP:
        begin_stop(e);
        break;
    default:
        break;
    }
}

void
entry_step(struct entry *e, const struct event *ev, struct effects *fx)
{
    e->now = ev->now;
    e->fx = fx;
    release_after_pause(e);
    e->last_step_us = e->now.mono_us;
    handle_event(e, ev);
    dispatch_run(e);
    report_stopped(e);
    e->fx = NULL;
}

static int64_t
min_us(int64_t a, int64_t b)
{
    return a < b ? a : b;
}

int64_t
entry_next_us(const struct entry *e)
{
    int64_t next = members_next_us(e);

    next = min_us(next, claims_next_us(e));
    next = min_us(next, jobs_next_us(e));
    next = min_us(next, upstreams_next_us(e));
    next = min_us(next, handover_next_us(e));
    next = min_us(next, dispatch_next_us(e));
    return min_us(next, config_sync_next_us(e));
}

bool
entry_healthy(const struct entry *e)
{
    return !e->stopping && e->config != NULL;
}

uint64_t
entry_config_version(const struct entry *e)
{
    return e->config != NULL ? e->config->version : 0;
}

const struct config *
entry_config(const struct entry *e)
{
    return e->config;
}

struct entry_counters
entry_counters(const struct entry *e)
{
    return e->counters;
}

static void
count_upstreams(const struct entry *e, struct entry_gauges *g)
{
    struct upstream *u;
    uint32_t at = 0;

    while ((u = upstreams_next(e, &at)) != NULL) {
        g->upstreams++;
        g->upstreams_held += u->held ? 1 : 0;
    }
    for (size_t i = 0; e->config != NULL && i < e->config->n_services; i++) {
        g->slots_free +=
            upstreams_service_free_slots(e, e->config->services[i].name);
    }
}

struct entry_gauges
entry_gauges(const struct entry *e)
{
    struct entry_gauges g = {0};
    struct member *m;
    size_t at = 0;

    while ((m = members_next(e, &at)) != NULL) {
        g.members_up += m->up ? 1 : 0;
    }
    count_upstreams(e, &g);
    g.jobs = jobs_count_active(e);
    g.tasks_queued = dispatch_count_queued(e);
    g.tasks_running = dispatch_count_running(e);
    g.claims = claims_count(e);
    g.answer_bytes = jobs_answer_bytes(e);
    g.evacuated_zones = e->evacuated.n_zones;
    return g;
}
