#include "clog.h"

#include <stdlib.h>
#include <string.h>

enum { SLOTS_START = 64 };

void
clog_init(struct clog *l, uint64_t base, uint64_t base_term)
{
    memset(l, 0, sizeof(*l));
    l->base = base;
    l->base_term = base_term;
    l->durable = base;
}

void
clog_free(struct clog *l)
{
    clog_reset(l, 0, 0);
    free(l->slots);
    memset(l, 0, sizeof(*l));
}

uint64_t
clog_last(const struct clog *l)
{
    return l->base + l->n;
}

uint64_t
clog_last_term(const struct clog *l)
{
    return l->n > 0 ? l->slots[l->n - 1].entry.term : l->base_term;
}

static struct clog_slot *
slot_at(const struct clog *l, uint64_t index)
{
    if (index <= l->base || index > clog_last(l)) {
        return NULL;
    }
    return &l->slots[index - l->base - 1];
}

uint64_t
clog_term(const struct clog *l, uint64_t index)
{
    const struct clog_slot *s = slot_at(l, index);

    if (index == l->base) {
        return l->base_term;
    }
    return s != NULL ? s->entry.term : 0;
}

const struct rec_log_entry *
clog_at(const struct clog *l, uint64_t index)
{
    const struct clog_slot *s = slot_at(l, index);

    return s != NULL ? &s->entry : NULL;
}

static size_t
data_size(const struct rec_log_entry *e)
{
    return e->data != NULL ? e->data->size : 0;
}

void
clog_add(struct clog *l, const struct rec_log_entry *e, uint64_t seq)
{
    if (l->n == l->room) {
        size_t room = l->room == 0 ? SLOTS_START : l->room * 2;
        struct clog_slot *slots = realloc(l->slots, room * sizeof(*slots));

        if (slots == NULL) {
            abort();
        }
        l->slots = slots;
        l->room = room;
    }
    l->slots[l->n++] = (struct clog_slot){.entry = *e, .seq = seq};
    l->bytes += data_size(e);
}

static void
release(struct clog *l, size_t from, size_t to)
{
    for (size_t i = from; i < to; i++) {
        l->bytes -= data_size(&l->slots[i].entry);
        blob_unref(l->slots[i].entry.data);
    }
}

void
clog_cut(struct clog *l, uint64_t index)
{
    size_t keep = index - l->base - 1;

    if (keep >= l->n) {
        return;
    }
    release(l, keep, l->n);
    l->n = keep;
    if (l->durable > clog_last(l)) {
        l->durable = clog_last(l);
    }
}

void
clog_drop(struct clog *l, uint64_t index)
{
    size_t n = index - l->base;

    if (index <= l->base || index > clog_last(l)) {
        return;
    }
    l->base_term = clog_term(l, index);
    release(l, 0, n);
    l->n -= n;
    l->base = index;
    memmove(l->slots, l->slots + n, l->n * sizeof(*l->slots));
    if (l->durable < l->base) {
        l->durable = l->base;
    }
}

void
clog_reset(struct clog *l, uint64_t base, uint64_t base_term)
{
    release(l, 0, l->n);
    l->n = 0;
    l->base = base;
    l->base_term = base_term;
    l->durable = base;
}

void
clog_saved(struct clog *l, uint64_t seq)
{
    const struct clog_slot *s = slot_at(l, l->durable + 1);

    while (s != NULL && s->seq <= seq) {
        l->durable++;
        s = slot_at(l, l->durable + 1);
    }
}

uint64_t
clog_seq(const struct clog *l, uint64_t index)
{
    const struct clog_slot *s = slot_at(l, index);

    return s != NULL ? s->seq : 0;
}
