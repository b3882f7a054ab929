#include "lend.h"

#include <stdlib.h>

#include "borrow.h"
#include "dispatch.h"
#include "health.h"
#include "slot.h"
#include "timers.h"
#include "upstream.h"

#define LENT_MARGIN_US (10 * USEC_PER_SEC)    /* after the lease of a grant */
#define RECALL_US (100 * USEC_PER_MSEC)       /* between recalls */
#define RECALL_AGAIN_US (400 * USEC_PER_MSEC) /* of the same borrower */
#define DEBT_US (300 * USEC_PER_MSEC)         /* run time until one is known */

enum { SPARE_TIMES = 3 }; /* longer pauses to spare messages */

/** struct lent - slots on one upstream that another instance may use */
struct lent {
    uint64_t grant; /* first: looked up by it */
    struct handle self;
    struct handle upstream;
    struct name borrower;
    uint32_t slots;
    struct resources each;
    int64_t since_us;
    int64_t ends_us;
};

/** struct debtor - a borrower, for recalls */
struct debtor {
    struct name borrower;
    uint32_t slots;   /* see count_debts() */
    int64_t quiet_us; /* it is not asked before */
};

struct lending {
    struct table lents;
    struct map lent_by_grant;
    struct timers lent_timers;
    struct debtor debtors[INSTANCES_MAX];
    size_t n_debtors;
    int64_t recall_us; /* nobody is asked before */
};

struct lending *
lend_new(void)
{
    struct lending *ls = calloc(1, sizeof(*ls));

    if (ls == NULL) {
        abort();
    }
    table_init(&ls->lents, sizeof(struct lent));
    map_init(&ls->lent_by_grant, MAP_U64);
    return ls;
}

void
lend_free(struct lending *ls)
{
    map_clear(&ls->lent_by_grant);
    table_clear(&ls->lents);
    timers_clear(&ls->lent_timers);
    free(ls);
}

static int64_t
spared(const struct entry *e, int64_t us)
{
    return e->opts.fewer_messages ? us * SPARE_TIMES : us;
}

/** debtor_of() - what a borrower has of a service's slots */
static struct debtor *
debtor_of(struct lending *ls, struct name borrower)
{
    for (size_t i = 0; i < ls->n_debtors; i++) {
        if (name_equal(ls->debtors[i].borrower, borrower)) {
            return &ls->debtors[i];
        }
    }
    ls->debtors[ls->n_debtors].borrower = borrower;
    return &ls->debtors[ls->n_debtors++];
}

/** count_debts() - slots lent so long ago that their first task should be
 * over: those may be idle */
static void
count_debts(struct entry *e, const struct service_state *s)
{
    struct lending *ls = e->dispatch->lending;
    int64_t before =
        e->now.mono_us - estimate_mean_us(&s->run_estimate, DEBT_US);
    struct handle h;
    struct lent *l;
    uint32_t at = 0;

    for (size_t i = 0; i < ls->n_debtors; i++) {
        ls->debtors[i].slots = 0;
    }
    while ((l = table_next(&ls->lents, &at, &h)) != NULL) {
        const struct upstream *u = upstreams_get(e, l->upstream);

        if (u != NULL && u->service == s && l->since_us < before) {
            debtor_of(ls, l->borrower)->slots += l->slots;
        }
    }
}

void
lend_recall(struct entry *e, struct service_state *s)
{
    struct lending *ls = e->dispatch->lending;
    struct debtor *most = NULL;
    struct msg m = {.kind = MSG_SLOT_RECALL};

    if (ls->recall_us > e->now.mono_us || ls->lents.n == 0) {
        return;
    }
    ls->recall_us = e->now.mono_us + spared(e, RECALL_US);
    count_debts(e, s);
    for (size_t i = 0; i < ls->n_debtors; i++) {
        struct debtor *d = &ls->debtors[i];

        if (d->quiet_us <= e->now.mono_us && d->slots > 0 &&
            (most == NULL || d->slots > most->slots)) {
            most = d;
        }
    }
    if (most == NULL) {
        return;
    }
    most->quiet_us =
        e->now.mono_us + entry_jitter(e, spared(e, RECALL_AGAIN_US));
    m.u.slot_recall.service = s->name;
    entry_send(e, most->borrower, &m);
}

static void
count_lent(struct upstream *u, const struct lent *l)
{
    u->lent += l->slots;
    u->used.cpu_milli += l->slots * l->each.cpu_milli;
    u->used.memory_mb += l->slots * l->each.memory_mb;
    u->used.accelerators += l->slots * l->each.accelerators;
}

static void
uncount_lent(struct upstream *u, const struct lent *l, uint32_t slots)
{
    u->lent -= slots;
    u->used.cpu_milli -= slots * l->each.cpu_milli;
    u->used.memory_mb -= slots * l->each.memory_mb;
    u->used.accelerators -= slots * l->each.accelerators;
}

static void
lend(struct entry *e, struct place *p, struct name borrower,
     struct resources need, uint32_t slots, struct rec_grant *g)
{
    struct lending *ls = e->dispatch->lending;
    struct upstream *u = p->upstream;
    struct handle h;
    struct lent *l = table_add(&ls->lents, &h);

    l->self = h;
    l->grant = entry_new_call_id(e);
    l->upstream = u->self;
    l->borrower = borrower;
    l->slots = slots;
    l->each = need;
    l->since_us = e->now.mono_us;
    l->ends_us = e->now.mono_us + e->opts.grant_us + LENT_MARGIN_US;
    map_put(&ls->lent_by_grant, l);
    timers_add(&ls->lent_timers, l->ends_us, h);
    count_lent(u, l);
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
lendable(struct entry *e, struct service_state *s, struct resources need)
{
    struct pick pick = {.need = need, .idempotent = true};

    for (;;) {
        struct place *p = pool_pick(e, &s->pool, &pick);

        if (p == NULL || place_is_own(p)) {
            return p;
        }
        /* Borrowed slots are not lent on: they are idle, so they go back. */
        slots_close_place(e, p);
    }
}

/** share() - half of an upstream's free slots at a time, so that the tasks of
 * one borrower spread over several */
static uint32_t
share(uint32_t fits, uint32_t count)
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
    uint32_t given = 0;

    sg->request = request;
    sg->service = s->name;
    sg->grants = calloc(count + 1, sizeof(*sg->grants));
    if (sg->grants == NULL) {
        abort();
    }
    while (given < count) {
        struct place *p = lendable(e, s, need);
        uint32_t slots;

        if (p == NULL) {
            break;
        }
        slots = share(place_task_capacity(e, p, need), count - given);
        lend(e, p, to, need, slots, &sg->grants[sg->n_grants++]);
        given += slots;
    }
    if (given == 0 && !answer) {
        msg_free(&m);
        return 0;
    }
    sg->free_slots = s->pool.own_free_slots;
    entry_send(e, to, &m);
    return given;
}

static void
end_lent(struct entry *e, struct lent *l)
{
    (void)map_remove(&e->dispatch->lending->lent_by_grant, &l->grant);
    table_remove(&e->dispatch->lending->lents, l->self);
}

/* What a borrower that died, or went silent, had started may still run.  Its
 * slots stay taken as foreign ones until the upstream reports itself less
 * busy, since starts beyond its slots would only be refused. */
static void
lent_is_foreign(struct entry *e, struct lent *l)
{
    struct upstream *u = upstreams_get(e, l->upstream);

    if (u != NULL) {
        uncount_lent(u, l, l->slots);
        u->foreign_busy += l->slots;
        dispatch_upstream_changed(e, u);
    }
    end_lent(e, l);
}

static void
report_health(struct entry *e, struct upstream *u,
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
on_back(struct entry *e, struct name from, const struct rec_slot_back *b)
{
    struct lent *l = map_get(&e->dispatch->lending->lent_by_grant, &b->grant);
    struct upstream *u;
    uint32_t slots;

    if (l == NULL || !name_equal(l->borrower, from)) {
        return;
    }
    u = upstreams_get(e, l->upstream);
    slots = b->slots < l->slots ? (uint32_t)b->slots : l->slots;
    if (u != NULL) {
        uncount_lent(u, l, slots);
        report_health(e, u, b);
        if (b->done == 0 && b->failed == 0) {
            borrow_drop_request(e, u->service, from);
        }
        dispatch_upstream_changed(e, u);
    }
    l->slots -= slots;
    if (l->slots == 0) {
        end_lent(e, l);
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
    uint32_t given = 0;

    if (count > 0) {
        given = lend_grant(e, s, from, r->request, need, count, r->wait == 0);
    }
    borrow_queue_request(e, s, from, r, count - given);
}

void
lend_on_return(struct entry *e, struct name from,
               const struct rec_slot_return *r)
{
    for (size_t i = 0; i < r->n_backs; i++) {
        on_back(e, from, &r->backs[i]);
    }
}

/* Ends of holds, members and leases */

void
lend_void_upstream(struct entry *e, struct handle upstream)
{
    struct handle h;
    struct lent *l;
    uint32_t at = 0;

    while ((l = table_next(&e->dispatch->lending->lents, &at, &h)) != NULL) {
        if (handle_equal(l->upstream, upstream)) {
            struct upstream *u = upstreams_get(e, upstream);

            if (u != NULL) {
                uncount_lent(u, l, l->slots);
            }
            end_lent(e, l);
        }
    }
}

void
lend_member_down(struct entry *e, struct name member)
{
    struct handle h;
    struct lent *l;
    uint32_t at = 0;

    while ((l = table_next(&e->dispatch->lending->lents, &at, &h)) != NULL) {
        if (name_equal(l->borrower, member)) {
            lent_is_foreign(e, l);
        }
    }
}

void
lend_tick(struct entry *e)
{
    struct lending *ls = e->dispatch->lending;
    struct handle h;

    while (timers_pop(&ls->lent_timers, e->now.mono_us, &h)) {
        struct lent *l = table_get(&ls->lents, h);

        if (l != NULL) {
            lent_is_foreign(e, l);
        }
    }
}

int64_t
lend_next_us(const struct entry *e)
{
    return timers_next_us(&e->dispatch->lending->lent_timers);
}
