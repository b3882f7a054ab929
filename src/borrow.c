#include "borrow.h"

#include <stdlib.h>
#include <string.h>

#include "jobs.h"
#include "member.h"
#include "lend.h"

#define LOST_REPLY_PAUSE_US (100 * USEC_PER_MSEC) /* after a timeout */
#define REPLY_TIMEOUT_US (300 * USEC_PER_MSEC)
#define REQUEST_TTL_US (1 * USEC_PER_SEC)      /* of a queued request */
#define GRANT_INTERVAL_US (60 * USEC_PER_MSEC) /* for queued requests */
/* Slots are requested if the tasks would otherwise be queued for at least the
 * first of these, and from holders without free slots only if for more than
 * the second. */
#define REQUEST_MIN_WAIT_US (60 * USEC_PER_MSEC)
#define QUEUED_MIN_WAIT_US (250 * USEC_PER_MSEC)
/* A remote job must rank this much before the first local one to go first. */
#define RANK_MARGIN_US (100 * USEC_PER_MSEC)

enum {
    PAUSE_FACTOR = 3, /* factor for pauses with opts.fewer_messages */
    SAMPLES_MIN = 10, /* run times needed for an estimate */
};

/** struct lender - another instance as a lender of slots of one service */
struct lender {
    struct member *member;
    bool same_zone;        /* in this instance's zone */
    uint32_t free;         /* free slots last reported, less those requested */
    int64_t loads_read_us; /* loads_received_us when last read */
    int64_t not_before_us; /* no request is sent before that */
    uint64_t request;      /* in flight; 0: none */
    uint32_t n_requested;  /* slots in that request */
    int64_t requested_us;
    int64_t queued_until_us; /* the lender keeps a request queued until then */
};

/** struct queued_request - queued request of another instance */
struct queued_request {
    struct name from;
    bool same_zone; /* @from is in this instance's zone */
    uint64_t request;
    struct resources need; /* of each slot */
    uint32_t count;        /* slots still to be granted */
    uint32_t first;        /* of @count, for the first job of @from's queue */
    int64_t rank_us;       /* of that job, see queue.h, by the local clock */
    int64_t expires_us;    /* the request expires */
};

struct borrowing {
    struct lender *lenders;
    size_t n_lenders;
    struct queued_request *requests; /* one per instance, capacity n_peers */
    size_t n_requests;
    int64_t blocked_since_us; /* start of a lack of slots; 0: none */
    int64_t next_us;          /* next time to request slots */
    int64_t next_grant_us;    /* no grants to queued requests before that */
};

static struct borrowing *
borrowing_new(const struct entry *e)
{
    struct borrowing *b = calloc(1, sizeof(*b));
    struct member *m;
    size_t at = 0;

    if (b == NULL) {
        abort();
    }
    b->lenders = calloc(e->opts.n_peers, sizeof(*b->lenders));
    b->requests = calloc(e->opts.n_peers, sizeof(*b->requests));
    if (b->lenders == NULL || b->requests == NULL) {
        abort();
    }
    while ((m = members_next(e, &at)) != NULL) {
        if (!m->self) {
            struct lender *l = &b->lenders[b->n_lenders++];

            l->member = m;
            l->same_zone = name_equal(m->zone, e->zone);
            l->loads_read_us = -1;
        }
    }
    b->next_us = INT64_MAX;
    return b;
}

void
borrow_free(struct borrowing *b)
{
    if (b != NULL) {
        free(b->lenders);
        free(b->requests);
        free(b);
    }
}

static struct borrowing *
borrowing_of(struct entry *e, struct service_state *s)
{
    if (s->borrowing == NULL) {
        s->borrowing = borrowing_new(e);
    }
    return s->borrowing;
}

/* Requests to other instances */

static void
read_heartbeat(const struct service_state *s, struct lender *l)
{
    const struct member *m = l->member;

    if (l->loads_read_us == m->loads_received_us) {
        return;
    }
    l->loads_read_us = m->loads_received_us;
    l->free = 0;
    for (size_t i = 0; i < m->n_loads; i++) {
        if (name_equal(m->loads[i].service, s->name)) {
            l->free = (uint32_t)m->loads[i].free_slots;
        }
    }
}

/** refresh_lenders() - reads new heartbeats and times out requests in flight;
 * returns the number of slots that are still requested */
static uint32_t
refresh_lenders(struct entry *e, struct service_state *s)
{
    struct borrowing *b = s->borrowing;
    uint32_t n_in_flight = 0;

    for (size_t i = 0; i < b->n_lenders; i++) {
        struct lender *l = &b->lenders[i];

        read_heartbeat(s, l);
        if (l->request != 0 &&
            l->requested_us + REPLY_TIMEOUT_US <= e->now.mono_us) {
            l->request = 0;
            l->not_before_us =
                e->now.mono_us + entry_jitter(e, LOST_REPLY_PAUSE_US);
        }
        if (l->request != 0) {
            n_in_flight += l->n_requested;
        }
    }
    return n_in_flight;
}

static bool
may_request(const struct entry *e, const struct lender *l)
{
    return l->member->up && l->request == 0 &&
           l->not_before_us <= e->now.mono_us;
}

static void
send_request(struct entry *e, struct service_state *s, struct lender *l,
             struct resources need, uint32_t count)
{
    const struct queue_entry *q = queue_first(&s->queue);
    struct msg m = {.kind = MSG_SLOT_REQUEST};
    struct rec_slot_request *r = &m.u.slot_request;

    r->request = entry_new_call_id(e);
    r->wait = l->free == 0 ? 1 : 0;
    if (r->wait != 0) {
        l->queued_until_us = e->now.mono_us + REQUEST_TTL_US;
        l->not_before_us =
            e->now.mono_us + entry_jitter(e, REQUEST_TTL_US / 2);
    }
    else {
        l->request = r->request;
        l->n_requested = count;
        l->requested_us = e->now.mono_us;
        l->free = l->free > count ? l->free - count : 0;
    }
    r->service = s->name;
    r->count = count;
    r->cpu_milli = need.cpu_milli;
    r->memory_mb = need.memory_mb;
    r->accelerators = need.accelerators;
    r->waited_us = (uint64_t)(e->now.mono_us - q->submitted_us);
    r->handicap_us = (uint64_t)(q->rank_us - q->submitted_us);
    r->first = q->n_tasks;
    entry_send(e, l->member->name, &m);
}

/** lends_more() - whether @a can lend more of @count slots than @b.  Ties,
 * such as lenders that can lend all of them, are broken at random, so that
 * borrowers do not all choose the same lender. */
static bool
lends_more(struct entry *e, const struct lender *a, const struct lender *b,
           uint32_t count)
{
    uint32_t x = a->free < count ? a->free : count;
    uint32_t y = b->free < count ? b->free : count;

    if (x == y) {
        return entry_random(e) % 2 == 0;
    }
    return x > y;
}

static struct lender *
best_lender(struct entry *e, struct borrowing *b, bool same_zone,
            uint32_t count)
{
    struct lender *best = NULL;

    for (size_t i = 0; i < b->n_lenders; i++) {
        struct lender *l = &b->lenders[i];

        if (l->same_zone != same_zone || l->free == 0 || !may_request(e, l)) {
            continue;
        }
        if (best == NULL || lends_more(e, l, best, count)) {
            best = l;
        }
    }
    return best;
}

/** request_free_slots() - requests slots from lenders that reported free ones;
 * returns how many of @count remain */
static uint32_t
request_free_slots(struct entry *e, struct service_state *s,
                   struct resources need, bool same_zone, uint32_t count)
{
    while (count > 0) {
        struct lender *l = best_lender(e, s->borrowing, same_zone, count);
        uint32_t part;

        if (l == NULL) {
            break;
        }
        part = l->free < count ? l->free : count;
        send_request(e, s, l, need, part);
        count -= part;
    }
    return count;
}

static bool
may_spill(const struct service_state *s)
{
    return s->conf != NULL && s->conf->spill;
}

/** request_to_queue() - sends requests to be queued by holders that have no
 * free slots now */
static void
request_to_queue(struct entry *e, struct service_state *s,
                 struct resources need, uint32_t count)
{
    struct borrowing *b = s->borrowing;
    bool other_zones = may_spill(s) && !e->opts.fewer_messages;

    for (size_t i = 0; i < b->n_lenders; i++) {
        struct lender *l = &b->lenders[i];

        if ((l->same_zone || other_zones) && may_request(e, l)) {
            send_request(e, s, l, need, count);
        }
    }
}

static int64_t
scaled_pause(const struct entry *e, int64_t us)
{
    return e->opts.fewer_messages ? us * PAUSE_FACTOR : us;
}

/** borrow_withdraw() - withdraws the requests queued at holders; otherwise
 * holders would grant slots only to have them returned unused */
void
borrow_withdraw(struct entry *e, struct service_state *s)
{
    struct borrowing *b = s->borrowing;

    if (b != NULL) {
        b->blocked_since_us = 0;
    }
    for (size_t i = 0; b != NULL && i < b->n_lenders; i++) {
        struct lender *l = &b->lenders[i];
        struct msg m = {.kind = MSG_SLOT_REQUEST};

        if (l->queued_until_us <= e->now.mono_us) {
            continue;
        }
        l->queued_until_us = 0;
        l->not_before_us = e->now.mono_us;
        m.u.slot_request.service = s->name;
        entry_send(e, l->member->name, &m);
    }
}

static uint32_t
min_u32(uint32_t n, uint32_t most)
{
    return n < most ? n : most;
}

/** next_task_need() - resources of the next task to start */
static struct resources
next_task_need(struct entry *e, const struct service_state *s)
{
    const struct queue_entry *q = queue_first(&s->queue);
    const struct job *job = jobs_by_handle(e, q->job);

    return job->tasks[q->tasks[q->n_tasks - 1]].need;
}

/** estimated_wait_us() - estimated time until the slots in use here could take
 * @wanted tasks: the time to work them off at the mean run time, or the time
 * the queue has been blocked, if that is longer.  INT64_MAX while there are
 * too few run times for an estimate. */
static int64_t
estimated_wait_us(const struct entry *e, const struct service_state *s,
                  uint32_t wanted)
{
    uint32_t slots = s->n_running > 0 ? s->n_running : 1;
    int64_t waited = e->now.mono_us - s->borrowing->blocked_since_us;
    int64_t clear = (int64_t)s->run_estimate.mean_us * wanted / slots;

    if (s->run_estimate.samples < SAMPLES_MIN) {
        return INT64_MAX;
    }
    return waited > clear ? waited : clear;
}

void
borrow_request(struct entry *e, struct service_state *s)
{
    struct borrowing *b = borrowing_of(e, s);
    uint32_t n_in_flight = refresh_lenders(e, s);
    uint32_t wanted = min_u32(s->n_queued, SLOT_REQUEST_MAX);
    struct resources need;

    b->next_us = e->now.mono_us + scaled_pause(e, REQUEST_MIN_WAIT_US);
    if (b->blocked_since_us == 0) {
        b->blocked_since_us = e->now.mono_us;
    }
    if (wanted <= n_in_flight || estimated_wait_us(e, s, wanted) <
                                     scaled_pause(e, REQUEST_MIN_WAIT_US)) {
        return;
    }
    wanted -= n_in_flight;
    need = next_task_need(e, s);
    wanted = request_free_slots(e, s, need, true, wanted);
    if (wanted > 0 && may_spill(s)) {
        wanted = request_free_slots(e, s, need, false, wanted);
    }
    if (wanted > 0 && estimated_wait_us(e, s, wanted) >
                          scaled_pause(e, QUEUED_MIN_WAIT_US)) {
        request_to_queue(e, s, need, wanted);
    }
}

void
borrow_on_grant(struct entry *e, struct service_state *s, struct name from,
                const struct rec_slot_grant *m)
{
    struct borrowing *b = borrowing_of(e, s);
    uint32_t granted = 0;

    for (size_t i = 0; i < m->n_grants; i++) {
        granted += (uint32_t)m->grants[i].slots;
    }
    for (size_t i = 0; i < b->n_lenders; i++) {
        struct lender *l = &b->lenders[i];

        if (!name_equal(l->member->name, from)) {
            continue;
        }
        l->free = (uint32_t)m->free_slots;
        if (l->request != m->request) {
            continue;
        }
        l->request = 0;
        l->queued_until_us = 0;
        if (granted < l->n_requested) {
            l->queued_until_us = l->requested_us + REQUEST_TTL_US;
            l->not_before_us =
                e->now.mono_us +
                entry_jitter(e, scaled_pause(e, REQUEST_TTL_US / 2));
        }
    }
}

uint32_t
borrow_remote_free_slots(struct entry *e, struct service_state *s)
{
    struct borrowing *b = borrowing_of(e, s);
    uint32_t free_slots = 0;

    for (size_t i = 0; i < b->n_lenders; i++) {
        struct lender *l = &b->lenders[i];

        read_heartbeat(s, l);
        if (l->member->up && (l->same_zone || may_spill(s))) {
            free_slots += l->free;
        }
    }
    return free_slots;
}

int64_t
borrow_next_us(const struct service_state *s)
{
    if (s->borrowing == NULL || s->n_queued == 0) {
        return INT64_MAX;
    }
    return s->borrowing->next_us;
}

bool
borrow_has_pending(const struct entry *e, const struct service_state *s)
{
    const struct borrowing *b = s->borrowing;
    int64_t now = e->now.mono_us;

    for (size_t i = 0; b != NULL && i < b->n_lenders; i++) {
        const struct lender *l = &b->lenders[i];

        if (l->queued_until_us > now ||
            (l->request != 0 && l->requested_us + REPLY_TIMEOUT_US > now)) {
            return true;
        }
    }
    for (size_t i = 0; b != NULL && i < b->n_requests; i++) {
        if (b->requests[i].expires_us > now) {
            return true;
        }
    }
    return false;
}

/* Requests from other instances */

static struct queued_request *
request_of(struct borrowing *b, struct name from)
{
    for (size_t i = 0; i < b->n_requests; i++) {
        if (name_equal(b->requests[i].from, from)) {
            return &b->requests[i];
        }
    }
    return NULL;
}

static void
remove_request(struct borrowing *b, struct queued_request *w)
{
    *w = b->requests[--b->n_requests];
}

void
borrow_queue_request(struct entry *e, struct service_state *s,
                     struct name from, const struct rec_slot_request *r,
                     uint32_t count)
{
    struct borrowing *b = borrowing_of(e, s);
    struct queued_request *w = request_of(b, from);
    const struct member *m = members_by_name(e, from);
    int64_t rank_us = e->now.mono_us - (int64_t)r->waited_us;

    if (m == NULL || count == 0) {
        if (w != NULL) {
            remove_request(b, w);
        }
        return;
    }
    if (w == NULL) {
        w = &b->requests[b->n_requests++];
    }
    *w = (struct queued_request){
        .from = from,
        .same_zone = name_equal(m->zone, e->zone),
        .request = r->request,
        .need = {(uint32_t)r->cpu_milli, (uint32_t)r->memory_mb,
                 (uint32_t)r->accelerators},
        .count = count,
        .first = (uint32_t)r->first,
        .rank_us = rank_us + (int64_t)r->handicap_us,
        .expires_us = e->now.mono_us + REQUEST_TTL_US};
    dispatch_mark_dirty(e, s);
}

void
borrow_drop_request(struct entry *e, struct service_state *s, struct name from)
{
    struct queued_request *w;

    (void)e;
    if (s == NULL || s->borrowing == NULL) {
        return;
    }
    w = request_of(s->borrowing, from);
    if (w != NULL) {
        remove_request(s->borrowing, w);
    }
}

/** expire_queued_requests() - removes the expired requests of other instances
 */
static void
expire_queued_requests(const struct entry *e, struct borrowing *b)
{
    for (size_t i = b->n_requests; i > 0; i--) {
        if (b->requests[i - 1].expires_us <= e->now.mono_us) {
            remove_request(b, &b->requests[i - 1]);
        }
    }
}

static bool
ranks_before(const struct queued_request *a, const struct queued_request *b)
{
    if (a->same_zone != b->same_zone) {
        return a->same_zone;
    }
    return a->rank_us < b->rank_us;
}

static struct queued_request *
first_request(struct borrowing *b)
{
    struct queued_request *first = NULL;

    for (size_t i = 0; i < b->n_requests; i++) {
        if (first == NULL || ranks_before(&b->requests[i], first)) {
            first = &b->requests[i];
        }
    }
    return first;
}

/** grant_queued() - grants up to @most slots of a queued request; returns
 * whether any were lent */
static bool
grant_queued(struct entry *e, struct service_state *s,
             struct queued_request *w, uint32_t most)
{
    uint32_t granted = lend_grant(e, s, w->from, w->request, w->need,
                                  min_u32(w->count, most), false);

    w->count -= granted;
    w->first -= min_u32(granted, w->first);
    if (w->count == 0) {
        remove_request(s->borrowing, w);
    }
    return granted > 0;
}

void
borrow_serve_requests(struct entry *e, struct service_state *s)
{
    struct borrowing *b = s->borrowing;
    size_t n = b != NULL ? b->n_requests : 0;

    if (n == 0 || s->pool.own_free_slots == 0) {
        return;
    }
    if (b->next_grant_us > e->now.mono_us) {
        dispatch_run_at(e, b->next_grant_us);
        return;
    }
    b->next_grant_us = e->now.mono_us + scaled_pause(e, GRANT_INTERVAL_US);
    expire_queued_requests(e, b);
    while (n-- > 0 && s->pool.own_free_slots > 0) {
        struct queued_request *w = first_request(b);

        if (w == NULL || !grant_queued(e, s, w, s->pool.own_free_slots)) {
            break;
        }
    }
}

bool
borrow_serve_ranked_before(struct entry *e, struct service_state *s,
                           int64_t rank_us)
{
    struct borrowing *b = s->borrowing;
    struct queued_request *w;

    if (b == NULL || b->n_requests == 0 || s->pool.own_free_slots == 0) {
        return false;
    }
    expire_queued_requests(e, b);
    w = first_request(b);
    if (w == NULL || w->first == 0 || !w->same_zone ||
        w->rank_us + RANK_MARGIN_US > rank_us) {
        return false;
    }
    return grant_queued(e, s, w, min_u32(w->first, s->pool.own_free_slots));
}

bool
borrow_has_demand(const struct service_state *s)
{
    return s->n_queued > 0 ||
           (s->borrowing != NULL && s->borrowing->n_requests > 0);
}

void
borrow_member_down(struct entry *e, struct service_state *s,
                   struct name member)
{
    struct borrowing *b = s->borrowing;

    borrow_drop_request(e, s, member);
    for (size_t i = 0; b != NULL && i < b->n_lenders; i++) {
        if (name_equal(b->lenders[i].member->name, member)) {
            b->lenders[i].request = 0;
            b->lenders[i].free = 0;
        }
    }
}
