#include "borrow.h"

#include <stdlib.h>
#include <string.h>

#include "jobs.h"
#include "member.h"
#include "lend.h"

#define QUIET_US (100 * USEC_PER_MSEC)       /* after a reply that was lost */
#define WAIT_US (1 * USEC_PER_SEC)           /* a request is remembered */
#define REPLY_US (300 * USEC_PER_MSEC)       /* after which a reply is lost */
#define BATCH_US (60 * USEC_PER_MSEC)        /* between grants to who waits */
#define ASK_WORTH_US (60 * USEC_PER_MSEC)    /* of waiting, to ask for slots */
#define WORTH_US (250 * USEC_PER_MSEC)       /* the same where none are free */
#define RANK_MARGIN_US (100 * USEC_PER_MSEC) /* to go before our own */

enum {
    SPARE_TIMES = 3,  /* longer pauses to spare messages */
    SAMPLES_FEW = 10, /* run times; with fewer nothing is known */
};

/** struct lender - what is known of another instance's free slots */
struct lender {
    struct member *member;
    bool near;        /* in our zone */
    uint32_t free;    /* slots, as last told, less what was asked for */
    int64_t heard_us; /* when the lender told the number */
    int64_t quiet_us; /* nothing is asked before that */
    uint64_t request; /* on its way; 0: none */
    uint32_t asked;
    int64_t asked_us;
    int64_t waits_us; /* it remembers our request until then */
};

/** struct slot_wait - another instance that asked for more than was free */
struct slot_wait {
    struct name from;
    bool near;
    uint64_t request;
    struct resources need;
    uint32_t count;
    uint32_t first;  /* of them for the job with the rank below */
    int64_t rank_us; /* see queue.h, by our clock */
    int64_t ends_us;
};

struct borrowing {
    struct lender *lenders;
    size_t n_lenders;
    struct slot_wait *waits; /* room for one of each instance */
    size_t n_waits;
    int64_t blocked_us; /* since when the queue lacks places; 0: it doesn't */
    int64_t next_us;    /* when to ask again */
    int64_t serve_us;   /* those who wait get nothing before that */
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
    b->waits = calloc(e->opts.n_peers, sizeof(*b->waits));
    if (b->lenders == NULL || b->waits == NULL) {
        abort();
    }
    while ((m = members_next(e, &at)) != NULL) {
        if (!m->self) {
            struct lender *l = &b->lenders[b->n_lenders++];

            l->member = m;
            l->near = name_equal(m->zone, e->zone);
            l->heard_us = -1;
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
        free(b->waits);
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

/* Asking */

static void
read_heartbeat(const struct service_state *s, struct lender *l)
{
    const struct member *m = l->member;

    if (l->heard_us == m->loads_received_us) {
        return;
    }
    l->heard_us = m->loads_received_us;
    l->free = 0;
    for (size_t i = 0; i < m->n_loads; i++) {
        if (name_equal(m->loads[i].service, s->name)) {
            l->free = (uint32_t)m->loads[i].free_slots;
        }
    }
}

/** freshen() - takes in heartbeats and gives lost requests up; how many slots
 * are on order */
static uint32_t
freshen(struct entry *e, struct service_state *s)
{
    struct borrowing *b = s->borrowing;
    uint32_t on_order = 0;

    for (size_t i = 0; i < b->n_lenders; i++) {
        struct lender *l = &b->lenders[i];

        read_heartbeat(s, l);
        if (l->request != 0 && l->asked_us + REPLY_US <= e->now.mono_us) {
            l->request = 0;
            l->quiet_us = e->now.mono_us + entry_jitter(e, QUIET_US);
        }
        if (l->request != 0) {
            on_order += l->asked;
        }
    }
    return on_order;
}

static bool
may_ask(const struct entry *e, const struct lender *l)
{
    return l->member->up && l->request == 0 && l->quiet_us <= e->now.mono_us;
}

static void
ask(struct entry *e, struct service_state *s, struct lender *l,
    struct resources need, uint32_t count)
{
    const struct queued *q = queue_first(&s->queue);
    struct msg m = {.kind = MSG_SLOT_REQUEST};
    struct rec_slot_request *r = &m.u.slot_request;

    r->request = entry_new_call_id(e);
    r->wait = l->free == 0 ? 1 : 0;
    if (r->wait != 0) {
        l->waits_us = e->now.mono_us + WAIT_US;
        l->quiet_us = e->now.mono_us + entry_jitter(e, WAIT_US / 2);
    }
    else {
        l->request = r->request;
        l->asked = count;
        l->asked_us = e->now.mono_us;
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

/** better() - one that can give all is as good as another, and a random one
 * of these keeps askers from all choosing the same */
static bool
better(struct entry *e, const struct lender *a, const struct lender *b,
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
best_lender(struct entry *e, struct borrowing *b, bool near, uint32_t count)
{
    struct lender *best = NULL;

    for (size_t i = 0; i < b->n_lenders; i++) {
        struct lender *l = &b->lenders[i];

        if (l->near != near || l->free == 0 || !may_ask(e, l)) {
            continue;
        }
        if (best == NULL || better(e, l, best, count)) {
            best = l;
        }
    }
    return best;
}

/** ask_free() - asks those known to have free slots; what is still wanted */
static uint32_t
ask_free(struct entry *e, struct service_state *s, struct resources need,
         bool near, uint32_t count)
{
    while (count > 0) {
        struct lender *l = best_lender(e, s->borrowing, near, count);
        uint32_t part;

        if (l == NULL) {
            break;
        }
        part = l->free < count ? l->free : count;
        ask(e, s, l, need, part);
        count -= part;
    }
    return count;
}

static bool
may_spill(const struct service_state *s)
{
    return s->conf != NULL && s->conf->spill;
}

/** ask_to_wait() - leaves the request with holders that have nothing free
 * now */
static void
ask_to_wait(struct entry *e, struct service_state *s, struct resources need,
            uint32_t count)
{
    struct borrowing *b = s->borrowing;
    bool far = may_spill(s) && !e->opts.fewer_messages;

    for (size_t i = 0; i < b->n_lenders; i++) {
        struct lender *l = &b->lenders[i];

        if ((l->near || far) && may_ask(e, l)) {
            ask(e, s, l, need, count);
        }
    }
}

static int64_t
pause_us(const struct entry *e, int64_t us)
{
    return e->opts.fewer_messages ? us * SPARE_TIMES : us;
}

/** borrow_withdraw() - withdraws what holders still remember: otherwise each
 * would send slots that nobody needs any more, and have them sent back */
void
borrow_withdraw(struct entry *e, struct service_state *s)
{
    struct borrowing *b = s->borrowing;

    if (b != NULL) {
        b->blocked_us = 0;
    }
    for (size_t i = 0; b != NULL && i < b->n_lenders; i++) {
        struct lender *l = &b->lenders[i];
        struct msg m = {.kind = MSG_SLOT_REQUEST};

        if (l->waits_us <= e->now.mono_us) {
            continue;
        }
        l->waits_us = 0;
        l->quiet_us = e->now.mono_us;
        m.u.slot_request.service = s->name;
        entry_send(e, l->member->name, &m);
    }
}

static uint32_t
at_most(uint32_t n, uint32_t most)
{
    return n < most ? n : most;
}

/** first_need() - of the task that goes next */
static struct resources
first_need(struct entry *e, const struct service_state *s)
{
    const struct queued *q = queue_first(&s->queue);
    const struct job *job = jobs_by_handle(e, q->job);

    return job->tasks[q->tasks[q->n_tasks - 1]].need;
}

/** waiting_us() - how long the queue has to wait for our own slots: what they
 * need to work it off if they end one after the other, or what it has waited
 * already if they don't.  With nothing learned yet, nobody can tell. */
static int64_t
waiting_us(const struct entry *e, const struct service_state *s,
           uint32_t wanted)
{
    uint32_t slots = s->n_running > 0 ? s->n_running : 1;
    int64_t waited = e->now.mono_us - s->borrowing->blocked_us;
    int64_t clear = (int64_t)s->run_estimate.mean_us * wanted / slots;

    if (s->run_estimate.samples < SAMPLES_FEW) {
        return INT64_MAX;
    }
    return waited > clear ? waited : clear;
}

void
borrow_request(struct entry *e, struct service_state *s)
{
    struct borrowing *b = borrowing_of(e, s);
    uint32_t on_order = freshen(e, s);
    uint32_t wanted = at_most(s->n_queued, SLOT_REQUEST_MAX);
    struct resources need;

    b->next_us = e->now.mono_us + pause_us(e, ASK_WORTH_US);
    if (b->blocked_us == 0) {
        b->blocked_us = e->now.mono_us;
    }
    if (wanted <= on_order ||
        waiting_us(e, s, wanted) < pause_us(e, ASK_WORTH_US)) {
        return;
    }
    wanted -= on_order;
    need = first_need(e, s);
    wanted = ask_free(e, s, need, true, wanted);
    if (wanted > 0 && may_spill(s)) {
        wanted = ask_free(e, s, need, false, wanted);
    }
    if (wanted > 0 && waiting_us(e, s, wanted) > pause_us(e, WORTH_US)) {
        ask_to_wait(e, s, need, wanted);
    }
}

void
borrow_on_grant(struct entry *e, struct service_state *s, struct name from,
                const struct rec_slot_grant *m)
{
    struct borrowing *b = borrowing_of(e, s);
    uint32_t given = 0;

    for (size_t i = 0; i < m->n_grants; i++) {
        given += (uint32_t)m->grants[i].slots;
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
        l->waits_us = 0;
        if (given < l->asked) {
            l->waits_us = l->asked_us + WAIT_US;
            l->quiet_us =
                e->now.mono_us + entry_jitter(e, pause_us(e, WAIT_US / 2));
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
        if (l->member->up && (l->near || may_spill(s))) {
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

        if (l->waits_us > now ||
            (l->request != 0 && l->asked_us + REPLY_US > now)) {
            return true;
        }
    }
    for (size_t i = 0; b != NULL && i < b->n_waits; i++) {
        if (b->waits[i].ends_us > now) {
            return true;
        }
    }
    return false;
}

/* Being asked */

static struct slot_wait *
wait_of(struct borrowing *b, struct name from)
{
    for (size_t i = 0; i < b->n_waits; i++) {
        if (name_equal(b->waits[i].from, from)) {
            return &b->waits[i];
        }
    }
    return NULL;
}

static void
remove_wait(struct borrowing *b, struct slot_wait *w)
{
    *w = b->waits[--b->n_waits];
}

void
borrow_queue_request(struct entry *e, struct service_state *s,
                     struct name from, const struct rec_slot_request *r,
                     uint32_t count)
{
    struct borrowing *b = borrowing_of(e, s);
    struct slot_wait *w = wait_of(b, from);
    const struct member *m = members_by_name(e, from);
    int64_t rank_us = e->now.mono_us - (int64_t)r->waited_us;

    if (m == NULL || count == 0) {
        if (w != NULL) {
            remove_wait(b, w);
        }
        return;
    }
    if (w == NULL) {
        w = &b->waits[b->n_waits++];
    }
    *w = (struct slot_wait){.from = from,
                            .near = name_equal(m->zone, e->zone),
                            .request = r->request,
                            .need = {(uint32_t)r->cpu_milli,
                                     (uint32_t)r->memory_mb,
                                     (uint32_t)r->accelerators},
                            .count = count,
                            .first = (uint32_t)r->first,
                            .rank_us = rank_us + (int64_t)r->handicap_us,
                            .ends_us = e->now.mono_us + WAIT_US};
    dispatch_mark_dirty(e, s);
}

void
borrow_drop_request(struct entry *e, struct service_state *s, struct name from)
{
    struct slot_wait *w;

    (void)e;
    if (s == NULL || s->borrowing == NULL) {
        return;
    }
    w = wait_of(s->borrowing, from);
    if (w != NULL) {
        remove_wait(s->borrowing, w);
    }
}

static void
expire_waits(const struct entry *e, struct borrowing *b)
{
    for (size_t i = b->n_waits; i > 0; i--) {
        if (b->waits[i - 1].ends_us <= e->now.mono_us) {
            remove_wait(b, &b->waits[i - 1]);
        }
    }
}

static bool
goes_before(const struct slot_wait *a, const struct slot_wait *b)
{
    if (a->near != b->near) {
        return a->near;
    }
    return a->rank_us < b->rank_us;
}

static struct slot_wait *
first_wait(struct borrowing *b)
{
    struct slot_wait *first = NULL;

    for (size_t i = 0; i < b->n_waits; i++) {
        if (first == NULL || goes_before(&b->waits[i], first)) {
            first = &b->waits[i];
        }
    }
    return first;
}

/** lend_to() - whether any slot went */
static bool
lend_to(struct entry *e, struct service_state *s, struct slot_wait *w,
        uint32_t most)
{
    uint32_t given = lend_grant(e, s, w->from, w->request, w->need,
                                at_most(w->count, most), false);

    w->count -= given;
    w->first -= at_most(given, w->first);
    if (w->count == 0) {
        remove_wait(s->borrowing, w);
    }
    return given > 0;
}

void
borrow_serve_requests(struct entry *e, struct service_state *s)
{
    struct borrowing *b = s->borrowing;
    size_t n = b != NULL ? b->n_waits : 0;

    if (n == 0 || s->pool.own_free_slots == 0) {
        return;
    }
    if (b->serve_us > e->now.mono_us) {
        dispatch_run_at(e, b->serve_us);
        return;
    }
    b->serve_us = e->now.mono_us + pause_us(e, BATCH_US);
    expire_waits(e, b);
    while (n-- > 0 && s->pool.own_free_slots > 0) {
        struct slot_wait *w = first_wait(b);

        if (w == NULL || !lend_to(e, s, w, s->pool.own_free_slots)) {
            break;
        }
    }
}

bool
borrow_serve_ranked_before(struct entry *e, struct service_state *s,
                           int64_t rank_us)
{
    struct borrowing *b = s->borrowing;
    struct slot_wait *w;

    if (b == NULL || b->n_waits == 0 || s->pool.own_free_slots == 0) {
        return false;
    }
    expire_waits(e, b);
    w = first_wait(b);
    if (w == NULL || w->first == 0 || !w->near ||
        w->rank_us + RANK_MARGIN_US > rank_us) {
        return false;
    }
    return lend_to(e, s, w, at_most(w->first, s->pool.own_free_slots));
}

bool
borrow_has_demand(const struct service_state *s)
{
    return s->n_queued > 0 ||
           (s->borrowing != NULL && s->borrowing->n_waits > 0);
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
