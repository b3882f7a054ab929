#include "control_disk.h"

#include <pthread.h>
#include <stdatomic.h>
#include <stdlib.h>
#include <string.h>

#include "mailbox.h"
#include "clock.h"
#include "stats.h"

enum { RING_SIZE = 4, WAIT_US = 1000000 };

struct work {
    struct mail mail;
    struct control_effect effect;
};

struct control_disk {
    struct control_disk_options opts;
    struct mailbox mailbox;
    pthread_t thread;
    atomic_bool stop;
    bool broken;
};

enum storage_error
control_disk_write(struct storage *s, const struct control_effect *f)
{
    switch (f->kind) {
    case CE_APPEND:
        return storage_append(s, f->u.append.entries, f->u.append.n_entries);
    case CE_TRUNCATE:
        return storage_truncate(s, f->u.truncate.index);
    case CE_SAVE_VOTE:
        return storage_save_vote(s, f->u.vote.term, f->u.vote.vote);
    case CE_SNAPSHOT:
        return storage_save_snapshot(s, f->u.snapshot.index,
                                     f->u.snapshot.term, f->u.snapshot.state,
                                     f->u.snapshot.discard);
    case CE_SAVE_UPSTREAMS:
        storage_save_upstreams(s, &f->u.upstreams.report);
        return STORAGE_OK;
    default:
        return STORAGE_OK;
    }
}

static void
report_failure(struct control_disk *d, enum storage_error err)
{
    d->broken = true;
    d->opts.failed(d->opts.ctx, err, storage_detail(d->opts.storage));
}

/* After the first failure effects are discarded and nothing is reported as
 * saved, because the state of the disk after a failed sync is unknown. */
static void
execute_batch(struct control_disk *d)
{
    enum storage_error err = STORAGE_OK;
    uint64_t seq = 0;
    struct mail *mail;

    while ((mail = mailbox_take(&d->mailbox)) != NULL) {
        struct work *w = (struct work *)mail;

        if (!d->broken && err == STORAGE_OK) {
            err = control_disk_write(d->opts.storage, &w->effect);
            seq = w->effect.kind == CE_SYNC ? w->effect.u.sync.seq : seq;
        }
        control_effect_clear(&w->effect);
        free(w);
    }
    if (d->broken) {
        return;
    }
    if (err == STORAGE_OK && seq > 0) {
        int64_t begin_us = clock_now(clock_real()).mono_us;

        err = storage_sync(d->opts.storage);
        stats_add(&stats.disk_sync_us,
                  (uint64_t)(clock_now(clock_real()).mono_us - begin_us));
    }
    if (err != STORAGE_OK) {
        report_failure(d, err);
    }
    else if (seq > 0) {
        stats_add(&stats.disk_syncs, 1);
        d->opts.saved(d->opts.ctx, seq);
    }
}

static void *
disk_run(void *arg)
{
    struct control_disk *d = arg;

    while (!atomic_load(&d->stop)) {
        execute_batch(d);
        mailbox_wait(&d->mailbox, WAIT_US);
    }
    execute_batch(d);
    return NULL;
}

struct control_disk *
control_disk_new(const struct control_disk_options *o)
{
    struct control_disk *d = calloc(1, sizeof(*d));

    if (d == NULL || mailbox_init(&d->mailbox, RING_SIZE) != 0) {
        free(d);
        return NULL;
    }
    d->opts = *o;
    if (pthread_create(&d->thread, NULL, disk_run, d) != 0) {
        mailbox_destroy(&d->mailbox);
        free(d);
        return NULL;
    }
    return d;
}

void
control_disk_post(struct control_disk *d, struct control_effect *f)
{
    struct work *w = calloc(1, sizeof(*w));

    if (w == NULL) {
        abort();
    }
    w->effect = *f;
    memset(f, 0, sizeof(*f));
    f->kind = CE_STOPPED;
    mailbox_post(&d->mailbox, &w->mail);
}

void
control_disk_free(struct control_disk *d)
{
    if (d == NULL) {
        return;
    }
    atomic_store(&d->stop, true);
    mailbox_wake(&d->mailbox);
    (void)pthread_join(d->thread, NULL);
    mailbox_destroy(&d->mailbox);
    free(d);
}
