#include "slot.h"

#include <stdlib.h>
#include <string.h>

#include "array.h"
#include "borrow.h"
#include "dispatch.h"
#include "lend.h"
#include "upstream.h"

#define IDLE_RETURN_US (2 * USEC_PER_SEC)       /* idle before a return */
#define RETURN_BATCH_US (20 * USEC_PER_MSEC)    /* delay, for batches */
#define CHECK_INTERVAL_US (500 * USEC_PER_MSEC) /* between idle checks */

/** struct slot_returns - slots to be returned to one lender in one message */
struct slot_returns {
    struct name lender;
    struct rec_slot_back *items;
    size_t n;
    size_t capacity;
};

struct slots {
    struct table places;
    struct slot_returns returns[INSTANCES_MAX];
    size_t n_returns;
    int64_t send_us;  /* when pending returns are sent */
    int64_t check_us; /* when borrowed slots are next checked */
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
    sl->check_us = INT64_MAX;
    sl->send_us = INT64_MAX;
    return sl;
}

void
slots_free(struct slots *sl)
{
    if (sl == NULL) {
        return;
    }
    for (size_t i = 0; i < sl->n_returns; i++) {
        free(sl->returns[i].items);
    }
    table_clear(&sl->places);
    free(sl);
}

struct place *
slots_get_place(const struct entry *e, struct handle h)
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
add_place(struct entry *e, struct upstream *u)
{
    struct handle h;
    struct place *p = table_add(&e->slots->places, &h);

    p->self = h;
    p->upstream = u;
    p->last_used_us = e->now.mono_us;
    if (u != NULL) {
        p->rack_bit = rack_bit(u->info.rack);
    }
    return p;
}

void
slots_add_own_place(struct entry *e, struct service_state *s,
                    struct upstream *u)
{
    struct place *p = add_place(e, u);

    p->name = u->name;
    p->zone = u->info.zone;
    p->address = u->info.address;
    p->incarnation = u->info.incarnation;
    u->place = p;
    pool_add(e, &s->pool, p);
}

/** find_or_add_returns() - finds or adds the batch of returns to @lender */
static struct slot_returns *
find_or_add_returns(struct slots *sl, struct name lender)
{
    for (size_t i = 0; i < sl->n_returns; i++) {
        if (name_equal(sl->returns[i].lender, lender)) {
            return &sl->returns[i];
        }
    }
    sl->returns[sl->n_returns].lender = lender;
    return &sl->returns[sl->n_returns++];
}

static void
queue_return(struct entry *e, struct place *p, uint32_t slots)
{
    struct slot_returns *b = find_or_add_returns(e->slots, p->lender);

    b->items = array_grow(b->items, b->n, &b->capacity, sizeof(*b->items));
    b->items[b->n++] = (struct rec_slot_back){.grant = p->grant_id,
                                              .slots = slots,
                                              .failed = p->failures,
                                              .done = p->unreported_successes};
    p->slots -= slots;
    p->unreported_successes = 0;
}

/** schedule_check() - schedules a check of borrowed slots at or after @us.
 * Checks take place at multiples of CHECK_INTERVAL_US, so that slots that fall
 * due between two checks are returned in one message to each lender. */
static void
schedule_check(struct entry *e, int64_t us)
{
    if (us == INT64_MAX) {
        return;
    }
    us = (us / CHECK_INTERVAL_US + 1) * CHECK_INTERVAL_US;
    if (us < e->slots->check_us) {
        e->slots->check_us = us;
    }
}

/** return_idle() - returns the idle slots of a borrowed place that is being
 * closed, batched with other returns */
static void
return_idle(struct entry *e, struct place *p)
{
    int64_t soon = e->now.mono_us + RETURN_BATCH_US;

    if (place_is_own(p) || p->slots <= p->slots_used) {
        return;
    }
    queue_return(e, p, p->slots - p->slots_used);
    if (soon < e->slots->send_us) {
        e->slots->send_us = soon;
    }
}

static void
remove_place(struct entry *e, struct place *p)
{
    return_idle(e, p);
    if (p->upstream != NULL && p->upstream->place == p) {
        p->upstream->place = NULL;
    }
    pool_remove(p->pool, p);
    table_remove(&e->slots->places, p->self);
}

void
slots_close_place(struct entry *e, struct place *p)
{
    p->closed = true;
    if (p->upstream != NULL && p->upstream->place == p) {
        p->upstream->place = NULL;
    }
    if (p->slots_used == 0) {
        remove_place(e, p);
        return;
    }
    return_idle(e, p);
    place_update(e, p);
}

void
slots_on_start_ended(struct entry *e, struct place *p)
{
    if (!place_is_own(p) && p->failures >= e->opts.quarantine_after) {
        p->closed = true;
        place_update(e, p);
    }
    if (p->closed && p->slots_used == 0) {
        remove_place(e, p);
        return;
    }
    if (place_is_own(p)) {
        return;
    }
    if (p->closed) {
        return_idle(e, p);
        return;
    }
    schedule_check(e, e->now.mono_us + IDLE_RETURN_US);
}

void
slots_update_place(struct entry *e, struct upstream *u)
{
    if (u->place != NULL) {
        place_update(e, u->place);
    }
}

/* Borrowed slots */

static void
send_returns(struct entry *e)
{
    struct slots *sl = e->slots;

    sl->send_us = INT64_MAX;
    for (size_t i = 0; i < sl->n_returns; i++) {
        struct slot_returns *b = &sl->returns[i];
        struct msg m = {.kind = MSG_SLOT_RETURN};

        if (b->n == 0) {
            continue;
        }
        m.u.slot_return.backs = b->items;
        m.u.slot_return.n_backs = b->n;
        entry_send(e, b->lender, &m);
        b->items = NULL;
        b->n = 0;
        b->capacity = 0;
    }
}

/** check_borrowed() - closes the place if its grant has expired, returns its
 * slots if idle for @idle_us; returns the time of the next check */
static int64_t
check_borrowed(struct entry *e, struct place *p, int64_t idle_us)
{
    int64_t now = e->now.mono_us;
    int64_t return_us = p->last_used_us + idle_us;

    if (p->closed) {
        return INT64_MAX;
    }
    if (p->expires_us <= now) {
        slots_close_place(e, p);
        return INT64_MAX;
    }
    if (p->slots_used == p->slots) {
        return p->expires_us;
    }
    if (return_us > now) {
        return return_us < p->expires_us ? return_us : p->expires_us;
    }
    if (p->slots_used == 0) {
        slots_close_place(e, p);
        return INT64_MAX;
    }
    queue_return(e, p, p->slots - p->slots_used);
    place_update(e, p);
    return p->expires_us;
}

static void
check_all_borrowed(struct entry *e)
{
    struct slots *sl = e->slots;
    struct handle h;
    struct place *p;
    uint32_t at = 0;

    sl->check_us = INT64_MAX;
    while ((p = table_next(&sl->places, &at, &h)) != NULL) {
        if (!place_is_own(p)) {
            schedule_check(e, check_borrowed(e, p, IDLE_RETURN_US));
        }
    }
    send_returns(e);
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
    p = add_place(e, u);
    p->name = g->upstream;
    p->zone = g->zone;
    p->address = g->address;
    p->incarnation = g->incarnation;
    p->epoch = g->epoch;
    p->grant_id = g->grant;
    p->lender = from;
    p->slots = (uint32_t)g->slots;
    p->slot_size =
        (struct resources){(uint32_t)g->cpu_milli, (uint32_t)g->memory_mb,
                           (uint32_t)g->accelerators};
    p->expires_us = e->now.mono_us + (int64_t)g->duration_us;
    p->closed = u != NULL && u->info.epoch > g->epoch;
    pool_add(e, &s->pool, p);
    schedule_check(e, e->now.mono_us + IDLE_RETURN_US);
    e->counters.slots_borrowed += g->slots;
}

static void
on_grant(struct entry *e, struct name from, const struct rec_slot_grant *m)
{
    struct service_state *s = dispatch_find_service(e, m->service);

    if (s == NULL) {
        e->counters.messages_bad++;
        return;
    }
    for (size_t i = 0; i < m->n_grants; i++) {
        add_grant(e, from, s, &m->grants[i]);
    }
    borrow_on_grant(e, s, from, m);
    dispatch_mark_dirty(e, s);
}

static void
on_recall(struct entry *e, struct name from, const struct rec_slot_recall *m)
{
    const struct service_state *s = dispatch_find_service(e, m->service);
    struct handle h;
    struct place *p;
    uint32_t at = 0;

    if (s == NULL) {
        return;
    }
    while ((p = table_next(&e->slots->places, &at, &h)) != NULL) {
        if (!place_is_own(p) && p->pool == &s->pool &&
            name_equal(p->lender, from)) {
            (void)check_borrowed(e, p, 0);
        }
    }
    send_returns(e);
}

void
slots_on_message(struct entry *e, struct name from, const struct msg *m)
{
    switch (m->kind) {
    case MSG_SLOT_REQUEST:
        lend_on_request(e, from, &m->u.slot_request);
        break;
    case MSG_SLOT_GRANT:
        on_grant(e, from, &m->u.slot_grant);
        break;
    case MSG_SLOT_RETURN:
        lend_on_return(e, from, &m->u.slot_return);
        break;
    case MSG_SLOT_RECALL:
        on_recall(e, from, &m->u.slot_recall);
        break;
    default:
        break;
    }
}

/* Loss of holds, members and upstreams */

void
slots_on_epoch_raised(struct entry *e, struct upstream *u)
{
    struct handle h;
    struct place *p;
    uint32_t at = 0;

    if (!u->held && u->lent > 0) {
        lend_void_upstream(e, u->self);
    }
    while ((p = table_next(&e->slots->places, &at, &h)) != NULL) {
        if (!place_is_own(p) && p->upstream == u && p->epoch < u->info.epoch) {
            slots_close_place(e, p);
        }
    }
}

void
slots_on_upstream_removed(struct entry *e, struct upstream *u)
{
    struct handle h;
    struct place *p;
    uint32_t at = 0;

    lend_void_upstream(e, u->self);
    while ((p = table_next(&e->slots->places, &at, &h)) != NULL) {
        if (p->upstream == u) {
            p->upstream->place = NULL;
            p->upstream = NULL;
            slots_close_place(e, p);
        }
    }
}

void
slots_member_down(struct entry *e, struct name member)
{
    struct slots *sl = e->slots;
    struct handle h;
    struct place *p;
    uint32_t at = 0;

    lend_member_down(e, member);
    while ((p = table_next(&sl->places, &at, &h)) != NULL) {
        if (!place_is_own(p) && name_equal(p->lender, member)) {
            p->slots = 0; /* the lender is down: nothing to return */
            slots_close_place(e, p);
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

    lend_tick(e);
    if (sl->check_us <= e->now.mono_us) {
        check_all_borrowed(e);
    }
    if (sl->send_us <= e->now.mono_us) {
        send_returns(e);
    }
}

int64_t
slots_next_us(const struct entry *e)
{
    const struct slots *sl = e->slots;
    int64_t next = lend_next_us(e);

    next = sl->check_us < next ? sl->check_us : next;
    return sl->send_us < next ? sl->send_us : next;
}
