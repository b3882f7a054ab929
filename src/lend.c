#include "lend.h"

#include <stdlib.h>

#include "borrow.h"
#include "dispatch.h"
#include "health.h"
#include "slot.h"
#include "timers.h"
#include "upstream.h"

/* Time for a return to arrive after the lease of a grant has ended. */
#define RETURN_MARGIN_US (10 * USEC_PER_SEC)
#define RECALL_INTERVAL_US (100 * USEC_PER_MSEC)   /* between recalls */
#define BORROWER_INTERVAL_US (400 * USEC_PER_MSEC) /* to the same borrower */
#define DEFAULT_RUN_US (300 * USEC_PER_MSEC)       /* without an estimate */

enum { PAUSE_FACTOR = 3 }; /* factor for pauses with opts.fewer_messages */

/** struct slot_loan - a grant of slots on one upstream to another instance */
struct slot_loan {
    uint64_t grant; /* first: key of loan_by_grant */
    struct handle self;
    struct handle upstream;
    struct name borrower;
    uint32_t slots;
    struct resources per_slot;
    int64_t since_us;
    int64_t expires_us;
};

/** struct recall_candidate - a borrower, as a candidate for recalls */
struct recall_candidate {
    struct name borrower;
    uint32_t slots;        /* see count_recallable_slots() */
    int64_t not_before_us; /* no recall to this borrower before that */
};

struct lending {
    struct table loans;
    struct map loan_by_grant;
    struct timers loan_timers;
    struct recall_candidate candidates[INSTANCES_MAX];
    size_t n_candidates;
    int64_t next_recall_us; /* no recall to any borrower before that */
};

struct lending *
lend_new(void)
{
    struct lending *ls = calloc(1, sizeof(*ls));

    if (ls == NULL) {
        abort();
    }
    table_init(&ls->loans, sizeof(struct slot_loan));
    map_init(&ls->loan_by_grant, MAP_U64);
    return ls;
}

void
lend_free(struct lending *ls)
{
    map_clear(&ls->loan_by_grant);
    table_clear(&ls->loans);
    timers_clear(&ls->loan_timers);
    free(ls);
}

static int64_t
scaled_pause(const struct entry *e, int64_t us)
{
    return e->opts.fewer_messages ? us * PAUSE_FACTOR : us;
}

/** candidate_of() - finds or adds the record of a borrower */
static struct recall_candidate *
candidate_of(struct lending *ls, struct name borrower)
{
    for (size_t i = 0; i < ls->n_candidates; i++) {
        if (name_equal(ls->candidates[i].borrower, borrower)) {
            return &ls->candidates[i];
        }
    }
    ls->candidates[ls->n_candidates].borrower = borrower;
    return &ls->candidates[ls->n_candidates++];
}

/** count_recallable_slots() - sets the slots of each candidate: those lent to
 * the borrower so long ago that their first task should have ended, so that
 * they may be idle */
static void
count_recallable_slots(struct entry *e, const struct service_state *s)
{
    struct lending *ls = e->dispatch->lending;
    int64_t before =
        e->now.mono_us - estimate_mean_us(&s->run_estimate, DEFAULT_RUN_US);
    struct handle h;
    struct slot_loan *l;
    uint32_t at = 0;

    for (size_t i = 0; i < ls->n_candidates; i++) {
        ls->candidates[i].slots = 0;
    }
    while ((l = table_next(&ls->loans, &at, &h)) != NULL) {
        const struct upstream *u = upstreams_get(e, l->upstream);

        if (u != NULL && u->service == s && l->since_us < before) {
            candidate_of(ls, l->borrower)->slots += l->slots;
        }
    }
}

void
lend_recall(struct entry *e, struct service_state *s)
{
    struct lending *ls = e->dispatch->lending;
    struct recall_candidate *largest = NULL;
    struct msg m = {.kind = MSG_SLOT_RECALL};

    if (ls->next_recall_us > e->now.mono_us || ls->loans.n == 0) {
        return;
    }
    ls->next_recall_us = e->now.mono_us + scaled_pause(e, RECALL_INTERVAL_US);
    count_recallable_slots(e, s);
    for (size_t i = 0; i < ls->n_candidates; i++) {
        struct recall_candidate *d = &ls->candidates[i];

        if (d->not_before_us <= e->now.mono_us && d->slots > 0 &&
            (largest == NULL || d->slots > largest->slots)) {
            largest = d;
        }
    }
    if (largest == NULL) {
        return;
    }
    largest->not_before_us =
        e->now.mono_us +
        entry_jitter(e, scaled_pause(e, BORROWER_INTERVAL_US));
    m.u.slot_recall.service = s->name;
    entry_send(e, largest->borrower, &m);
}

static void
count_loan(struct upstream *u, const struct slot_loan *l)
{
    u->lent += l->slots;
    u->used.cpu_milli += l->slots * l->per_slot.cpu_milli;
    u->used.memory_mb += l->slots * l->per_slot.memory_mb;
    u->used.accelerators += l->slots * l->per_slot.accelerators;
}

static void
uncount_loan(struct upstream *u, const struct slot_loan *l, uint32_t slots)
{
    u->lent -= slots;
    u->used.cpu_milli -= slots * l->per_slot.cpu_milli;
    u->used.memory_mb -= slots * l->per_slot.memory_mb;
    u->used.accelerators -= slots * l->per_slot.accelerators;
}

static void
add_loan(struct entry *e, struct place *p, struct name borrower,
         struct resources need, uint32_t slots, struct rec_grant *g)
{
    struct lending *ls = e->dispatch->lending;
    struct upstream *u = p->upstream;
    struct handle h;
    struct slot_loan *l = table_add(&ls->loans, &h);

    l->self = h;
    l->grant = entry_new_call_id(e);
    l->upstream = u->self;
    l->borrower = borrower;
    l->slots = slots;
    l->per_slot = need;
    l->since_us = e->now.mono_us;
    l->expires_us = e->now.mono_us + e->opts.grant_us + RETURN_MARGIN_US;
    map_put(&ls->loan_by_grant, l);
    timers_add(&ls->loan_timers, l->expires_us, h);
    count_loan(u, l);
    place_update(e, p);
    e->counters.slots_lent += slots;
    *g = (struct rec_grant){.grant = l->grant,
                            .upstream = u->name,
                            .incarnation = u->info.incarnation,
                            .zone = u->info.zone,
                            .address = u->info.address,
                            .epoch = u->info.epoch,
                            .slots = slots,
                            .cpu_milli = need.cpu_milli,
                            .memory_mb = need.memory_mb,
                            .accelerators = need.accelerators,
                            .duration_us = (uint64_t)e->opts.grant_us};
}

static struct place *
pick_lendable(struct entry *e, struct service_state *s, struct resources need)
{
    struct place_criteria pick = {.need = need, .idempotent = true};

    for (;;) {
        struct place *p = pool_pick(e, &s->pool, &pick);

        if (p == NULL || place_is_own(p)) {
            return p;
        }
        /* Borrowed slots are not lent on: as idle ones they are returned. */
        slots_close_place(e, p);
    }
}

/** slots_to_lend() - number of slots to lend on one upstream: at most half of
 * its free ones, so that the tasks of one borrower spread over several
 * upstreams */
static uint32_t
slots_to_lend(uint32_t fits, uint32_t count)
{
    uint32_t half = (fits + 1) / 2;

    return half < count ? half : count;
}

uint32_t
lend_grant(struct entry *e, struct service_state *s, struct name to,
           uint64_t request, struct resources need, uint32_t count,
           bool answer)
{
    struct msg m = {.kind = MSG_SLOT_GRANT};
    struct rec_slot_grant *sg = &m.u.slot_grant;
    uint32_t granted = 0;

    sg->request = request;
    sg->service = s->name;
    sg->grants = calloc(count + 1, sizeof(*sg->grants));
    if (sg->grants == NULL) {
        abort();
    }
    while (granted < count) {
        struct place *p = pick_lendable(e, s, need);
        uint32_t slots;

        if (p == NULL) {
            break;
        }
        slots =
            slots_to_lend(place_task_capacity(e, p, need), count - granted);
        add_loan(e, p, to, need, slots, &sg->grants[sg->n_grants++]);
        granted += slots;
    }
    if (granted == 0 && !answer) {
        msg_free(&m);
        return 0;
    }
    sg->free_slots = s->pool.own_free_slots;
    entry_send(e, to, &m);
    return granted;
}

static void
end_loan(struct entry *e, struct slot_loan *l)
{
    (void)map_remove(&e->dispatch->lending->loan_by_grant, &l->grant);
    table_remove(&e->dispatch->lending->loans, l->self);
}

/* Tasks that a failed or unresponsive borrower started may still run.  Its
 * slots are counted as foreign until the upstream reports fewer running tasks,
 * since starts beyond the upstream's slots would only be refused. */
static void
count_loan_as_foreign(struct entry *e, struct slot_loan *l)
{
    struct upstream *u = upstreams_get(e, l->upstream);

    if (u != NULL) {
        uncount_loan(u, l, l->slots);
        u->foreign_busy += l->slots;
        dispatch_upstream_changed(e, u);
    }
    end_loan(e, l);
}

/** record_outcomes() - records the outcomes of the borrower's tasks, reported
 * with a return, in the health of the upstream */
static void
record_outcomes(struct entry *e, struct upstream *u,
                const struct rec_slot_back *b)
{
    if (b->done > 0) {
        health_task_succeeded(e, u, 0);
    }
    if (b->failed > 0) {
        health_task_failed(e, u, (uint32_t)b->failed);
    }
}

static void
on_returned(struct entry *e, struct name from, const struct rec_slot_back *b)
{
    struct slot_loan *l =
        map_get(&e->dispatch->lending->loan_by_grant, &b->grant);
    struct upstream *u;
    uint32_t slots;

    if (l == NULL || !name_equal(l->borrower, from)) {
        return;
    }
    u = upstreams_get(e, l->upstream);
    slots = b->slots < l->slots ? (uint32_t)b->slots : l->slots;
    if (u != NULL) {
        uncount_loan(u, l, slots);
        record_outcomes(e, u, b);
        if (b->done == 0 && b->failed == 0) {
            borrow_drop_request(e, u->service, from);
        }
        dispatch_upstream_changed(e, u);
    }
    l->slots -= slots;
    if (l->slots == 0) {
        end_loan(e, l);
    }
}

void
lend_on_request(struct entry *e, struct name from,
                const struct rec_slot_request *r)
{
    struct service_state *s = dispatch_ensure_service(e, r->service);
    struct resources need = {(uint32_t)r->cpu_milli, (uint32_t)r->memory_mb,
                             (uint32_t)r->accelerators};
    uint32_t count =
        r->count < SLOT_REQUEST_MAX ? (uint32_t)r->count : SLOT_REQUEST_MAX;
    uint32_t granted = 0;

    if (count > 0) {
        granted =
            lend_grant(e, s, from, r->request, need, count, r->wait == 0);
    }
    borrow_queue_request(e, s, from, r, count - granted);
}

void
lend_on_return(struct entry *e, struct name from,
               const struct rec_slot_return *r)
{
    for (size_t i = 0; i < r->n_backs; i++) {
        on_returned(e, from, &r->backs[i]);
    }
}

/* Loss of holds, members and leases */

void
lend_void_upstream(struct entry *e, struct handle upstream)
{
    struct handle h;
    struct slot_loan *l;
    uint32_t at = 0;

    while ((l = table_next(&e->dispatch->lending->loans, &at, &h)) != NULL) {
        if (handle_equal(l->upstream, upstream)) {
            struct upstream *u = upstreams_get(e, upstream);

            if (u != NULL) {
                uncount_loan(u, l, l->slots);
            }
            end_loan(e, l);
        }
    }
}

void
lend_member_down(struct entry *e, struct name member)
{
    struct handle h;
    struct slot_loan *l;
    uint32_t at = 0;

    while ((l = table_next(&e->dispatch->lending->loans, &at, &h)) != NULL) {
        if (name_equal(l->borrower, member)) {
            count_loan_as_foreign(e, l);
        }
    }
}

void
lend_tick(struct entry *e)
{
    struct lending *ls = e->dispatch->lending;
    struct handle h;

    while (timers_pop(&ls->loan_timers, e->now.mono_us, &h)) {
        struct slot_loan *l = table_get(&ls->loans, h);

        if (l != NULL) {
            count_loan_as_foreign(e, l);
        }
    }
}

int64_t
lend_next_us(const struct entry *e)
{
    return timers_next_us(&e->dispatch->lending->loan_timers);
}
