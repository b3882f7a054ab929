#include "vdisk.h"

#include <stdlib.h>
#include <string.h>

static void
keep_entries(struct vdisk *d, const struct rec_log_entry *entries, size_t n)
{
    size_t total = d->found.n_entries + n;
    struct rec_log_entry *all =
        realloc(d->found.entries, (total + 1) * sizeof(*all));

    if (all == NULL) {
        abort();
    }
    for (size_t i = 0; i < n; i++) {
        all[d->found.n_entries + i] = entries[i];
        (void)blob_ref(entries[i].data);
    }
    d->found.entries = all;
    d->found.n_entries = total;
}

static void
drop_tail(struct vdisk *d, uint64_t from)
{
    struct storage_contents *f = &d->found;

    while (f->n_entries > 0 && f->entries[f->n_entries - 1].index >= from) {
        blob_unref(f->entries[--f->n_entries].data);
    }
}

static void
drop_head(struct vdisk *d, uint64_t to)
{
    struct storage_contents *f = &d->found;
    size_t n = 0;

    while (n < f->n_entries && f->entries[n].index <= to) {
        blob_unref(f->entries[n++].data);
    }
    f->n_entries -= n;
    if (n > 0) {
        memmove(f->entries, f->entries + n,
                f->n_entries * sizeof(f->entries[0]));
    }
}

static void
keep_snapshot(struct vdisk *d, const struct ce_snapshot *s)
{
    if (s->index <= d->found.snapshot_index) {
        return;
    }
    blob_unref(d->found.snapshot);
    d->found.snapshot = blob_ref(s->state);
    d->found.snapshot_index = s->index;
    d->found.snapshot_term = s->term;
    if (s->discard) {
        drop_tail(d, 0);
    }
    drop_head(d, s->index);
}

static void
make_durable(struct vdisk *d, const struct control_effect *f)
{
    switch (f->kind) {
    case CE_APPEND:
        keep_entries(d, f->u.append.entries, f->u.append.n_entries);
        break;
    case CE_TRUNCATE:
        drop_tail(d, f->u.truncate.index);
        break;
    case CE_SAVE_VOTE:
        d->found.term = f->u.vote.term;
        d->found.vote = f->u.vote.vote;
        break;
    case CE_SNAPSHOT:
        keep_snapshot(d, &f->u.snapshot);
        break;
    default:
        break;
    }
}

void
vdisk_format(struct vdisk *d, uint64_t disk, struct blob *state)
{
    d->found.disk_id = disk;
    d->found.term = CONTROL_FOUNDING_TERM;
    d->found.snapshot_index = CONTROL_FOUNDING_INDEX;
    d->found.snapshot_term = CONTROL_FOUNDING_TERM;
    d->found.snapshot = blob_ref(state);
}

void
vdisk_write(struct vdisk *d, struct control_effect *f)
{
    if (d->n_work == d->room) {
        d->room = d->room > 0 ? 2 * d->room : 16;
        d->work = realloc(d->work, d->room * sizeof(*d->work));
        if (d->work == NULL) {
            abort();
        }
    }
    d->work[d->n_work++] = *f;
    memset(f, 0, sizeof(*f));
    f->kind = CE_STOPPED;
}

uint64_t
vdisk_sync(struct vdisk *d)
{
    uint64_t seq = 0;
    size_t n = 0;

    while (n < d->n_work && seq == 0) {
        struct control_effect *f = &d->work[n++];

        seq = f->kind == CE_SYNC ? f->u.sync.seq : 0;
        make_durable(d, f);
        control_effect_clear(f);
    }
    d->n_work -= n;
    memmove(d->work, d->work + n, d->n_work * sizeof(*d->work));
    return seq;
}

void
vdisk_crash(struct vdisk *d)
{
    while (d->n_work > 0) {
        control_effect_clear(&d->work[--d->n_work]);
    }
}

void
vdisk_free(struct vdisk *d)
{
    vdisk_crash(d);
    free(d->work);
    storage_contents_free(&d->found);
}
