#include "slot.h"

#include <stdlib.h>
#include <string.h>
#include <syslog.h>

#include "borrow.h"
#include "dispatch.h"
#include "health.h"
#include "member.h"
#include "timers.h"
#include "upstream.h"

#define LENT_MARGIN_US (10 * USEC_PER_SEC)    /* after the lease of a grant */
#define RECALL_US (100 * USEC_PER_MSEC)       /* between recalls */
#define RECALL_AGAIN_US (400 * USEC_PER_MSEC) /* of the same borrower */
#define SPARE_TIMES 3                 /* longer pauses to spare messages */
#define DEBT_US (300 * USEC_PER_MSEC) /* run time until one is learned */
#define IDLE_US (2 * USEC_PER_SEC)    /* before a slot goes back unasked */
#define FLUSH_US (20 * USEC_PER_MSEC) /* returns wait for others */
#define LOOK_US (500 * USEC_PER_MSEC) /* between looks at idle slots */

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

/** struct backs - slots to be returned to one lender */
struct backs {
    struct name lender;
    struct rec_slot_back *items;
    size_t n;
    size_t room;
};

/** struct debtor - a borrower, for recalls */
struct debtor {
    struct name borrower;
    uint32_t slots;   /* see count_debts() */
    int64_t quiet_us; /* it is not asked before */
};

struct slots {
    struct table places;
    struct table lents;
    struct map lent_by_grant;
    struct timers lent_timers;
    struct backs backs[INSTANCES_MAX];
    size_t n_backs;
    struct debtor debtors[INSTANCES_MAX];
    size_t n_debtors;
    int64_t recall_us; /* nobody is asked before */
    int64_t flush_us;  /* when returns are sent */
    int64_t idle_us;   /* when borrowed slots may have been idle for long */
};

struct slots *
slots_new(const struct entry *e)
{
    struct slots *sl = calloc(1, sizeof(*sl));

    (void)e;
    if (sl == NULL) {
        abort();
    }
    table_init(&sl->places, sizeof(struct place));
    table_init(&sl->lents, sizeof(struct lent));
    map_init(&sl->lent_by_grant, MAP_U64);
    sl->idle_us = INT64_MAX;
    sl->flush_us = INT64_MAX;
    return sl;
}

void
slots_free(struct slots *sl)
{
    if (sl == NULL) {
        return;
    }
    for (size_t i = 0; i < sl->n_backs; i++) {
        free(sl->backs[i].items);
    }
    map_clear(&sl->lent_by_grant);
    table_clear(&sl->lents);
    timers_clear(&sl->lent_timers);
    table_clear(&sl->places);
    free(sl);
}

struct place *
slots_place(const struct entry *e, struct handle h)
{
    return table_get(&e->slots->places, h);
}

/* Places */

static uint64_t
rack_bit(struct name rack)
{
    uint64_t sum = 0;

    for (const char *c = rack.s; *c != '\0'; c++) {
        sum = sum * 31 + (unsigned char)*c;
    }
    return UINT64_C(1) << (sum % 64);
}

static struct place *
new_place(struct entry *e, struct upstream *u)
{
    struct handle h;
    struct place *p = table_add(&e->slots->places, &h);

    p->self = h;
    p->upstream = u;
    p->touched_us = e->now.mono_us;
    if (u != NULL) {
        p->rack = rack_bit(u->info.rack);
    }
    return p;
}

void
slots_own(struct entry *e, struct service_state *s, struct upstream *u)
{
    struct place *p = new_place(e, u);

    p->name = u->name;
    p->zone = u->info.zone;
    p->address = u->info.address;
    p->incarnation = u->info.incarnation;
    u->place = p;
    pool_add(e, &s->pool, p);
}

static struct backs *
backs_of(struct slots *sl, struct name lender)
{
    for (size_t i = 0; i < sl->n_backs; i++) {
        if (name_equal(sl->backs[i].lender, lender)) {
            return &sl->backs[i];
        }
    }
    sl->backs[sl->n_backs].lender = lender;
    return &sl->backs[sl->n_backs++];
}

static void
give_back(struct entry *e, struct place *p, uint32_t slots)
{
    struct backs *b = backs_of(e->slots, p->lender);

    if (b->n == b->room) {
        b->room = b->room == 0 ? 8 : 2 * b->room;
        b->items = realloc(b->items, b->room * sizeof(*b->items));
        if (b->items == NULL) {
            abort();
        }
    }
    b->items[b->n++] = (struct rec_slot_back){.grant = p->grant,
                                              .slots = slots,
                                              .failed = p->failures,
                                              .done = p->done};
    p->slots -= slots;
    p->done = 0;
}

/** wake_by() - looks are taken at fixed times, so that what falls due between
 * two of them goes back in one message to each lender */
static void
wake_by(struct entry *e, int64_t us)
{
    if (us == INT64_MAX) {
        return;
    }
    us = (us / LOOK_US + 1) * LOOK_US;
    if (us < e->slots->idle_us) {
        e->slots->idle_us = us;
    }
}

/** shed() - what is idle at a closed place goes back soon, with others */
static void
shed(struct entry *e, struct place *p)
{
    int64_t soon = e->now.mono_us + FLUSH_US;

    if (place_own(p) || p->slots <= p->used) {
        return;
    }
    give_back(e, p, p->slots - p->used);
    if (soon < e->slots->flush_us) {
        e->slots->flush_us = soon;
    }
}

static void
remove_place(struct entry *e, struct place *p)
{
    shed(e, p);
    if (p->upstream != NULL && p->upstream->place == p) {
        p->upstream->place = NULL;
    }
    pool_remove(p->pool, p);
    table_remove(&e->slots->places, p->self);
}

void
slots_close(struct entry *e, struct place *p)
{
    p->closed = true;
    if (p->upstream != NULL && p->upstream->place == p) {
        p->upstream->place = NULL;
    }
    if (p->used == 0) {
        remove_place(e, p);
        return;
    }
    shed(e, p);
    place_update(e, p);
}

void
slots_ended(struct entry *e, struct place *p)
{
    if (!place_own(p) && p->failures >= e->opts.quarantine_after) {
        p->closed = true;
        place_update(e, p);
    }
    if (p->closed && p->used == 0) {
        remove_place(e, p);
        return;
    }
    if (place_own(p)) {
        return;
    }
    if (p->closed) {
        shed(e, p);
        return;
    }
    wake_by(e, e->now.mono_us + IDLE_US);
}

void
slots_update(struct entry *e, struct upstream *u)
{
    if (u->place != NULL) {
        place_update(e, u->place);
    }
}

/* Borrowed slots: coming, idle, going */

static void
flush_backs(struct entry *e)
{
    struct slots *sl = e->slots;

    sl->flush_us = INT64_MAX;
    for (size_t i = 0; i < sl->n_backs; i++) {
        struct backs *b = &sl->backs[i];
        struct msg m = {.kind = MSG_SLOT_RETURN};

        if (b->n == 0) {
            continue;
        }
        m.u.slot_return.backs = b->items;
        m.u.slot_return.n_backs = b->n;
        entry_send(e, b->lender, &m);
        b->items = NULL;
        b->n = 0;
        b->room = 0;
    }
}

/** look_at_borrowed() - closes what has expired, returns what has been idle
 * for @idle_us; the time to look again */
static int64_t
look_at_borrowed(struct entry *e, struct place *p, int64_t idle_us)
{
    int64_t now = e->now.mono_us;
    int64_t idle_end = p->touched_us + idle_us;

    if (p->closed) {
        return INT64_MAX;
    }
    if (p->expires_us <= now) {
        slots_close(e, p);
        return INT64_MAX;
    }
    if (p->used == p->slots) {
        return p->expires_us;
    }
    if (idle_end > now) {
        return idle_end < p->expires_us ? idle_end : p->expires_us;
    }
    if (p->used == 0) {
        slots_close(e, p);
        return INT64_MAX;
    }
    give_back(e, p, p->slots - p->used);
    place_update(e, p);
    return p->expires_us;
}

static void
look_at_all(struct entry *e, int64_t idle_us)
{
    struct slots *sl = e->slots;
    struct handle h;
    struct place *p;
    uint32_t at = 0;

    sl->idle_us = INT64_MAX;
    while ((p = table_next(&sl->places, &at, &h)) != NULL) {
        if (!place_own(p)) {
            wake_by(e, look_at_borrowed(e, p, idle_us));
        }
    }
    flush_backs(e);
}

void
slots_give_back(struct entry *e)
{
    look_at_all(e, 0);
}

static void
add_grant(struct entry *e, struct name from, struct service_state *s,
          const struct rec_grant *g)
{
    struct upstream *u = upstreams_by_name(e, g->upstream);
    struct place *p;

    if (u != NULL && u->info.incarnation != g->incarnation) {
        u = NULL;
    }
    p = new_place(e, u);
    p->name = g->upstream;
    p->zone = g->zone;
    p->address = g->address;
    p->incarnation = g->incarnation;
    p->epoch = g->epoch;
    p->grant = g->grant;
    p->lender = from;
    p->slots = (uint32_t)g->slots;
    p->each =
        (struct resources){(uint32_t)g->cpu_milli, (uint32_t)g->memory_mb,
                           (uint32_t)g->accelerators};
    p->expires_us = e->now.mono_us + (int64_t)g->duration_us;
    p->closed = u != NULL && u->info.epoch > g->epoch;
    pool_add(e, &s->pool, p);
    wake_by(e, e->now.mono_us + IDLE_US);
    e->counters.slots_borrowed += g->slots;
}

static void
on_grant(struct entry *e, struct name from, const struct rec_slot_grant *m)
{
    struct service_state *s = dispatch_find(e, m->service);

    if (s == NULL) {
        e->counters.messages_bad++;
        return;
    }
    for (size_t i = 0; i < m->n_grants; i++) {
        add_grant(e, from, s, &m->grants[i]);
    }
    borrow_answered(e, s, from, m);
    dispatch_wake(e, s);
}

static void
on_recall(struct entry *e, struct name from, const struct rec_slot_recall *m)
{
    const struct service_state *s = dispatch_find(e, m->service);
    struct handle h;
    struct place *p;
    uint32_t at = 0;

    if (s == NULL) {
        return;
    }
    while ((p = table_next(&e->slots->places, &at, &h)) != NULL) {
        if (!place_own(p) && p->pool == &s->pool &&
            name_equal(p->lender, from)) {
            (void)look_at_borrowed(e, p, 0);
        }
    }
    flush_backs(e);
}

/* Lending */

static int64_t
spared(const struct entry *e, int64_t us)
{
    return e->opts.spare_messages ? us * SPARE_TIMES : us;
}

/** debtor_of() - what a borrower has of a service's slots */
static struct debtor *
debtor_of(struct slots *sl, struct name borrower)
{
    for (size_t i = 0; i < sl->n_debtors; i++) {
        if (name_equal(sl->debtors[i].borrower, borrower)) {
            return &sl->debtors[i];
        }
    }
    sl->debtors[sl->n_debtors].borrower = borrower;
    return &sl->debtors[sl->n_debtors++];
}

/** count_debts() - slots lent so long ago that their first task should be
 * over: those may be idle */
static void
count_debts(struct entry *e, const struct service_state *s)
{
    struct slots *sl = e->slots;
    int64_t before = e->now.mono_us - learn_expected_us(&s->learned, DEBT_US);
    struct handle h;
    struct lent *l;
    uint32_t at = 0;

    for (size_t i = 0; i < sl->n_debtors; i++) {
        sl->debtors[i].slots = 0;
    }
    while ((l = table_next(&sl->lents, &at, &h)) != NULL) {
        const struct upstream *u = upstreams_of(e, l->upstream);

        if (u != NULL && u->service == s && l->since_us < before) {
            debtor_of(sl, l->borrower)->slots += l->slots;
        }
    }
}

void
slots_recall(struct entry *e, struct service_state *s)
{
    struct slots *sl = e->slots;
    struct debtor *most = NULL;
    struct msg m = {.kind = MSG_SLOT_RECALL};

    if (sl->recall_us > e->now.mono_us || sl->lents.n == 0) {
        return;
    }
    sl->recall_us = e->now.mono_us + spared(e, RECALL_US);
    count_debts(e, s);
    for (size_t i = 0; i < sl->n_debtors; i++) {
        struct debtor *d = &sl->debtors[i];

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
    struct slots *sl = e->slots;
    struct upstream *u = p->upstream;
    struct handle h;
    struct lent *l = table_add(&sl->lents, &h);

    l->self = h;
    l->grant = entry_new_call(e);
    l->upstream = u->self;
    l->borrower = borrower;
    l->slots = slots;
    l->each = need;
    l->since_us = e->now.mono_us;
    l->ends_us = e->now.mono_us + e->opts.grant_us + LENT_MARGIN_US;
    map_put(&sl->lent_by_grant, l);
    timers_add(&sl->lent_timers, l->ends_us, h);
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

        if (p == NULL || place_own(p)) {
            return p;
        }
        /* Borrowed slots are not lent on: they are idle, so they go back. */
        slots_close(e, p);
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
slots_grant(struct entry *e, struct service_state *s, struct name to,
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
        slots = share(place_fits(e, p, need), count - given);
        lend(e, p, to, need, slots, &sg->grants[sg->n_grants++]);
        given += slots;
    }
    if (given == 0 && !answer) {
        msg_free(&m);
        return 0;
    }
    sg->free_slots = s->pool.own_free;
    entry_send(e, to, &m);
    return given;
}

static void
end_lent(struct entry *e, struct lent *l)
{
    (void)map_remove(&e->slots->lent_by_grant, &l->grant);
    table_remove(&e->slots->lents, l->self);
}

/* What a borrower that died, or went silent, had started may still run.  Its
 * slots stay taken as foreign ones until the upstream reports itself less
 * busy, since starts beyond its slots would only be refused. */
static void
lent_is_foreign(struct entry *e, struct lent *l)
{
    struct upstream *u = upstreams_of(e, l->upstream);

    if (u != NULL) {
        uncount_lent(u, l, l->slots);
        u->foreign += l->slots;
        dispatch_upstream_changed(e, u);
    }
    end_lent(e, l);
}

static void
report_health(struct entry *e, struct upstream *u,
              const struct rec_slot_back *b)
{
    if (b->done > 0) {
        health_ok(e, u, 0);
    }
    if (b->failed > 0) {
        health_failed(e, u, (uint32_t)b->failed);
    }
}

static void
on_back(struct entry *e, struct name from, const struct rec_slot_back *b)
{
    struct lent *l = map_get(&e->slots->lent_by_grant, &b->grant);
    struct upstream *u;
    uint32_t slots;

    if (l == NULL || !name_equal(l->borrower, from)) {
        return;
    }
    u = upstreams_of(e, l->upstream);
    slots = b->slots < l->slots ? (uint32_t)b->slots : l->slots;
    if (u != NULL) {
        uncount_lent(u, l, slots);
        report_health(e, u, b);
        if (b->done == 0 && b->failed == 0) {
            borrow_unwanted(e, u->service, from);
        }
        dispatch_upstream_changed(e, u);
    }
    l->slots -= slots;
    if (l->slots == 0) {
        end_lent(e, l);
    }
}

static void
on_request(struct entry *e, struct name from, const struct rec_slot_request *r)
{
    struct service_state *s = dispatch_service(e, r->service);
    struct resources need = {(uint32_t)r->cpu_milli, (uint32_t)r->memory_mb,
                             (uint32_t)r->accelerators};
    uint32_t count =
        r->count < SLOT_REQUEST_MAX ? (uint32_t)r->count : SLOT_REQUEST_MAX;
    uint32_t given = 0;

    if (count > 0) {
        given = slots_grant(e, s, from, r->request, need, count, r->wait == 0);
    }
    borrow_wait(e, s, from, r, count - given);
}

void
slots_on_message(struct entry *e, struct name from, const struct msg *m)
{
    switch (m->kind) {
    case MSG_SLOT_REQUEST:
        on_request(e, from, &m->u.slot_request);
        break;
    case MSG_SLOT_GRANT:
        on_grant(e, from, &m->u.slot_grant);
        break;
    case MSG_SLOT_RETURN:
        for (size_t i = 0; i < m->u.slot_return.n_backs; i++) {
            on_back(e, from, &m->u.slot_return.backs[i]);
        }
        break;
    case MSG_SLOT_RECALL:
        on_recall(e, from, &m->u.slot_recall);
        break;
    default:
        break;
    }
}

/* Ends of leases, holders, members and upstreams */

static void
void_lents(struct entry *e, struct handle upstream)
{
    struct handle h;
    struct lent *l;
    uint32_t at = 0;

    while ((l = table_next(&e->slots->lents, &at, &h)) != NULL) {
        if (handle_equal(l->upstream, upstream)) {
            struct upstream *u = upstreams_of(e, upstream);

            if (u != NULL) {
                uncount_lent(u, l, l->slots);
            }
            end_lent(e, l);
        }
    }
}

void
slots_epoch(struct entry *e, struct upstream *u)
{
    struct handle h;
    struct place *p;
    uint32_t at = 0;

    if (!u->held && u->lent > 0) {
        void_lents(e, u->self);
    }
    while ((p = table_next(&e->slots->places, &at, &h)) != NULL) {
        if (!place_own(p) && p->upstream == u && p->epoch < u->info.epoch) {
            slots_close(e, p);
        }
    }
}

void
slots_upstream_gone(struct entry *e, struct upstream *u)
{
    struct handle h;
    struct place *p;
    uint32_t at = 0;

    void_lents(e, u->self);
    while ((p = table_next(&e->slots->places, &at, &h)) != NULL) {
        if (p->upstream == u) {
            p->upstream->place = NULL;
            p->upstream = NULL;
            slots_close(e, p);
        }
    }
}

void
slots_member_down(struct entry *e, struct name member)
{
    struct slots *sl = e->slots;
    struct handle h;
    struct place *p;
    struct lent *l;
    uint32_t at = 0;

    while ((l = table_next(&sl->lents, &at, &h)) != NULL) {
        if (name_equal(l->borrower, member)) {
            lent_is_foreign(e, l);
        }
    }
    at = 0;
    while ((p = table_next(&sl->places, &at, &h)) != NULL) {
        if (!place_own(p) && name_equal(p->lender, member)) {
            p->slots = 0; /* nobody is there to return them to */
            slots_close(e, p);
        }
    }
    for (size_t i = 0; i < e->dispatch->n_services; i++) {
        borrow_member_down(e, e->dispatch->services[i], member);
    }
}

void
slots_tick(struct entry *e)
{
    struct slots *sl = e->slots;
    struct handle h;

    while (timers_pop(&sl->lent_timers, e->now.mono_us, &h)) {
        struct lent *l = table_get(&sl->lents, h);

        if (l != NULL) {
            lent_is_foreign(e, l);
        }
    }
    if (sl->idle_us <= e->now.mono_us) {
        look_at_all(e, IDLE_US);
    }
    if (sl->flush_us <= e->now.mono_us) {
        flush_backs(e);
    }
}

int64_t
slots_next_us(const struct entry *e)
{
    const struct slots *sl = e->slots;
    int64_t next = timers_next_us(&sl->lent_timers);

    next = sl->idle_us < next ? sl->idle_us : next;
    return sl->flush_us < next ? sl->flush_us : next;
}
