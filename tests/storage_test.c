/* Data folder of a control member, on a simulated disk with faults. */
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <unistd.h>

#include "check.h"
#include "fault_disk.h"
#include "storage.h"

enum { SEEDS = 60, ENTRY_BYTES = 60 };

static struct storage_options
options_on(struct disk *d)
{
    return (struct storage_options){
        .ops = fault_disk_ops(),
        .disk = d,
        .member = name_of("c1"),
        .region = name_of("sk-east"),
        .new_disk_id = 77,
    };
}

static struct rec_log_entry
entry_at(uint64_t index, uint64_t term)
{
    char text[ENTRY_BYTES];

    memset(text, 'a' + (int)(index % 26), sizeof(text));
    return (struct rec_log_entry){
        .index = index,
        .term = term,
        .kind = LOG_KIND_PUBLISH,
        .data = blob_new(text, sizeof(text)),
    };
}

static enum storage_error
append(struct storage *s, uint64_t index, uint64_t term)
{
    struct rec_log_entry e = entry_at(index, term);
    enum storage_error err = storage_append(s, &e, 1);

    blob_unref(e.data);
    return err;
}

static enum storage_error
append_synced(struct storage *s, uint64_t index, uint64_t term)
{
    (void)append(s, index, term);
    return storage_sync(s);
}

static struct storage *
open_on(struct disk *d, struct storage_contents *f)
{
    struct storage_options o = options_on(d);
    struct storage *s = NULL;
    char detail[DETAIL_SIZE];

    (void)storage_open(&o, &s, f, detail);
    return s;
}

static void
saved_state_is_restored(void)
{
    struct disk *d = fault_disk_new();
    struct storage_contents f;
    struct storage *s = open_on(d, &f);
    struct blob *state = blob_new("state", 5);

    CU_ASSERT_TRUE_FATAL(s != NULL);
    CU_ASSERT_TRUE(f.created);
    CU_ASSERT_EQUAL(f.disk_id, 77);
    CU_ASSERT_EQUAL(storage_save_vote(s, 3, name_of("c2")), STORAGE_OK);
    for (uint64_t i = 1; i <= 9; i++) {
        CU_ASSERT_EQUAL(append_synced(s, i, 3), STORAGE_OK);
    }
    CU_ASSERT_EQUAL(storage_save_snapshot(s, 4, 3, state, false), STORAGE_OK);
    CU_ASSERT_EQUAL(storage_truncate(s, 8), STORAGE_OK);
    CU_ASSERT_EQUAL(append_synced(s, 8, 5), STORAGE_OK);
    storage_close(s);
    fault_disk_crash(d, 0);
    s = open_on(d, &f);
    CU_ASSERT_TRUE_FATAL(s != NULL);
    CU_ASSERT_FALSE(f.created);
    CU_ASSERT_EQUAL(f.term, 3);
    CU_ASSERT_STRING_EQUAL(f.vote.s, "c2");
    CU_ASSERT_EQUAL(f.snapshot_index, 4);
    CU_ASSERT_EQUAL(f.n_entries, 4);
    CU_ASSERT_EQUAL(f.entries[0].index, 5);
    CU_ASSERT_EQUAL(f.entries[3].term, 5);
    storage_contents_free(&f);
    storage_close(s);
    blob_unref(state);
    fault_disk_free(d);
}

static void
works_on_files(void)
{
    char folder[] = "/tmp/bm-storage-XXXXXX";
    struct storage_options o = options_on(NULL);
    struct storage_contents f;
    struct storage *s = NULL;
    char detail[DETAIL_SIZE];
    struct disk *second = NULL;

    CU_ASSERT_PTR_NOT_NULL_FATAL(mkdtemp(folder));
    o.ops = disk_files_ops();
    CU_ASSERT_EQUAL_FATAL(disk_files_open(folder, &o.disk), 0);
    CU_ASSERT_NOT_EQUAL(disk_files_open(folder, &second), 0);
    CU_ASSERT_EQUAL(storage_open(&o, &s, &f, detail), STORAGE_OK);
    CU_ASSERT_EQUAL(storage_save_vote(s, 2, name_of("c1")), STORAGE_OK);
    CU_ASSERT_EQUAL(append_synced(s, 1, 2), STORAGE_OK);
    storage_close(s);
    CU_ASSERT_EQUAL(storage_open(&o, &s, &f, detail), STORAGE_OK);
    CU_ASSERT_EQUAL(f.term, 2);
    CU_ASSERT_EQUAL(f.n_entries, 1);
    storage_contents_free(&f);
    storage_close(s);
    for (const char *const *name =
             (const char *const[]){"log", "vote", "identity", NULL};
         *name != NULL; name++) {
        CU_ASSERT_EQUAL(o.ops->remove(o.disk, *name), 0);
    }
    disk_files_close(o.disk);
    CU_ASSERT_EQUAL(rmdir(folder), 0);
}

/* State that one run of run_script() got acknowledged as durable. */
struct acknowledged {
    uint64_t term;
    uint64_t snapshot;
    uint64_t last;
    bool truncating; /* a truncation has begun: the truncated tail may be gone
                      */
};

/* Writes votes, batches, a truncation and two snapshots until the disk fails.
 */
static void
run_script(struct storage *s, struct acknowledged *a)
{
    struct blob *state = blob_new("state", 5);
    uint64_t next = 1;

    for (uint64_t term = 1; term <= 4; term++) {
        if (storage_save_vote(s, term, name_of("c1")) != STORAGE_OK) {
            break;
        }
        a->term = term;
        for (int i = 0; i < 3; i++) {
            (void)append(s, next, term);
            next++;
        }
        if (storage_sync(s) != STORAGE_OK) {
            break;
        }
        a->last = next - 1;
        if (term == 2) {
            a->truncating = true;
            a->last = next - 2;
            if (storage_truncate(s, next - 1) != STORAGE_OK) {
                break;
            }
            next--;
            continue; /* the next batch overwrites the truncated tail */
        }
        if (storage_save_snapshot(s, next - 2, term, state, false) !=
            STORAGE_OK) {
            break;
        }
        a->snapshot = next - 2;
    }
    blob_unref(state);
}

static void
check_contents(const struct storage_contents *f, const struct acknowledged *a)
{
    uint64_t last = f->snapshot_index + f->n_entries;

    CU_ASSERT_TRUE(f->term >= a->term);
    CU_ASSERT_TRUE(f->snapshot_index >= a->snapshot);
    CU_ASSERT_TRUE(last >= a->last);
    for (size_t i = 0; i < f->n_entries; i++) {
        struct rec_log_entry e = entry_at(f->entries[i].index, 0);

        CU_ASSERT_EQUAL(f->entries[i].index, f->snapshot_index + 1 + i);
        CU_ASSERT_EQUAL(
            memcmp(f->entries[i].data->data, e.data->data, ENTRY_BYTES), 0);
        blob_unref(e.data);
    }
}

/* Power loss in the middle of a write, between a write and its sync, or
 * between the rename of a file and the sync of its folder.  Guards against a
 * member that has lost acknowledged state after the restart, and against one
 * that does not start although all acknowledged state is there. */
static void
power_loss_at_every_step(void)
{
    uint64_t steps = 0;

    for (uint64_t at = 1; at == 1 || at <= steps; at++) {
        for (uint64_t seed = 0; seed < SEEDS; seed++) {
            struct disk *d = fault_disk_new();
            struct acknowledged a = {0};
            struct storage_contents f;
            struct storage *s;

            if (steps == 0) {
                s = open_on(d, &f);
                run_script(s, &a);
                steps = fault_disk_operations(d);
                storage_close(s);
                CU_ASSERT_EQUAL(a.term, 4);
                memset(&a, 0, sizeof(a));
                fault_disk_wipe(d);
            }
            fault_disk_plan(d, (struct fault_plan){.power_at = at});
            s = open_on(d, &f);
            if (s != NULL) {
                run_script(s, &a);
                storage_close(s);
            }
            fault_disk_crash(d, seed);
            s = open_on(d, &f);
            CU_ASSERT_PTR_NOT_NULL(s);
            if (s != NULL) {
                check_contents(&f, &a);
                storage_contents_free(&f);
            }
            storage_close(s);
            fault_disk_free(d);
        }
    }
    CU_ASSERT_TRUE(steps > 50);
}

static struct disk *
disk_with_entries(uint64_t n, bool snapshot)
{
    struct disk *d = fault_disk_new();
    struct storage_contents f;
    struct storage *s = open_on(d, &f);
    struct blob *state = blob_new("state", 5);

    (void)storage_save_vote(s, 1, name_of("c1"));
    for (uint64_t i = 1; i <= n; i++) {
        CU_ASSERT_EQUAL(append_synced(s, i, 1), STORAGE_OK);
    }
    if (snapshot) {
        CU_ASSERT_EQUAL(storage_save_snapshot(s, n / 2, 1, state, false),
                        STORAGE_OK);
    }
    blob_unref(state);
    storage_close(s);
    return d;
}

/* The disk returns a byte other than the one written.  A member that started
 * with a shorter log would lose an accepted change, so either all data is
 * still there or the open fails. */
static void
flipped_bit_is_detected_or_harmless(void)
{
    static const char *const names[] = {"identity", "vote", "snapshot", "log"};

    for (size_t n = 0; n < sizeof(names) / sizeof(names[0]); n++) {
        size_t size = 1;
        size_t refused = 0;

        for (size_t at = 0; at < size; at++) {
            struct disk *d = disk_with_entries(8, true);
            struct storage_options o = options_on(d);
            struct storage_contents f;
            struct storage *s = NULL;
            char detail[DETAIL_SIZE];
            enum storage_error err;

            size = fault_disk_size(d, names[n]);
            fault_disk_flip(d, names[n], at);
            err = storage_open(&o, &s, &f, detail);
            if (err == STORAGE_OK) {
                CU_ASSERT_EQUAL(f.snapshot_index + f.n_entries, 8);
                CU_ASSERT_EQUAL(f.term, 1);
                storage_contents_free(&f);
            }
            else {
                refused++;
                CU_ASSERT_EQUAL(err, STORAGE_DAMAGED);
                CU_ASSERT_PTR_NOT_NULL(strstr(detail, names[n]));
                CU_ASSERT_PTR_NOT_NULL(strstr(detail, "offset"));
            }
            storage_close(s);
            fault_disk_free(d);
        }
        CU_ASSERT_TRUE(refused > size / 2);
    }
}

/* After a failed sync the kernel may have dropped the data, and a second sync
 * may succeed.  A member that continued would acknowledge data that is not on
 * the disk and lose it at the next power loss. */
static void
no_writes_after_a_failed_sync(void)
{
    struct disk *d = fault_disk_new();
    struct storage_contents f;
    struct storage *s = open_on(d, &f);

    CU_ASSERT_EQUAL(append_synced(s, 1, 1), STORAGE_OK);
    fault_disk_plan(d, (struct fault_plan){.sync_fails_at = 1});
    CU_ASSERT_EQUAL(append_synced(s, 2, 1), STORAGE_IO);
    CU_ASSERT_EQUAL(storage_sync(s), STORAGE_IO);
    CU_ASSERT_EQUAL(append_synced(s, 3, 1), STORAGE_IO);
    CU_ASSERT_EQUAL(storage_save_vote(s, 9, name_of("c1")), STORAGE_IO);
    CU_ASSERT_PTR_NOT_NULL(strstr(storage_detail(s), "log"));
    storage_close(s);
    fault_disk_crash(d, 5);
    s = open_on(d, &f);
    CU_ASSERT_PTR_NOT_NULL_FATAL(s);
    CU_ASSERT_EQUAL(f.n_entries, 1);
    CU_ASSERT_EQUAL(f.term, 0);
    storage_contents_free(&f);
    storage_close(s);
    fault_disk_free(d);
}

/* The disk gets full in the middle of a record.  The error is reported, and
 * once there is free space the folder opens with all acknowledged entries. */
static void
full_disk_keeps_acknowledged_entries(void)
{
    for (uint64_t room = 1; room < 400; room += 7) {
        struct disk *d = disk_with_entries(4, false);
        struct storage_contents f;
        struct storage *s = open_on(d, &f);
        size_t used = fault_disk_size(d, "log") + fault_disk_size(d, "vote") +
                      fault_disk_size(d, "identity");
        uint64_t last = 4;

        storage_contents_free(&f);
        fault_disk_plan(d, (struct fault_plan){.capacity = used + room});
        while (append_synced(s, last + 1, 1) == STORAGE_OK) {
            last++;
        }
        CU_ASSERT_EQUAL(storage_sync(s), STORAGE_FULL);
        storage_close(s);
        fault_disk_crash(d, room);
        s = open_on(d, &f);
        CU_ASSERT_PTR_NOT_NULL_FATAL(s);
        CU_ASSERT_TRUE(f.n_entries >= last);
        storage_contents_free(&f);
        storage_close(s);
        fault_disk_free(d);
    }
}

static struct msg
report_of(const char *upstream)
{
    struct rec_leased_upstream one = {.upstream = name_of(upstream),
                                      .born_ms = 7};
    struct msg m = {.kind = MSG_UPSTREAM_REPORT};

    m.u.upstream_report.upstreams = &one;
    m.u.upstream_report.n_upstreams = 1;
    return msg_copy(&m);
}

static void
save_hint(struct storage *s, const char *upstream)
{
    struct msg m = report_of(upstream);

    storage_save_upstreams(s, &m);
    msg_free(&m);
}

/* Checks that the upstreams hint is one of those written or missing, and that
 * the log has all acknowledged entries. */
static void
check_hint(struct disk *d, uint64_t entries)
{
    struct storage_contents f;
    struct storage *s = open_on(d, &f);
    const struct rec_upstream_report *kept = &f.upstreams.u.upstream_report;

    CU_ASSERT_PTR_NOT_NULL_FATAL(s);
    CU_ASSERT_EQUAL(f.n_entries, entries);
    if (f.upstreams.kind == MSG_UPSTREAM_REPORT) {
        CU_ASSERT_EQUAL_FATAL(kept->n_upstreams, 1);
        CU_ASSERT_EQUAL(kept->upstreams[0].born_ms, 7);
    }
    storage_contents_free(&f);
    storage_close(s);
}

/* Power loss while the upstreams hint is written.  The hint may be lost, but
 * no acknowledged entry: the hint only shortens the recovery by about half a
 * second. */
static void
power_loss_in_hint_write_keeps_the_log(void)
{
    for (uint64_t at = 1; at <= 8; at++) {
        for (uint64_t seed = 0; seed < SEEDS; seed++) {
            struct disk *d = disk_with_entries(4, false);
            struct storage_contents f;
            struct storage *s = open_on(d, &f);

            storage_contents_free(&f);
            save_hint(s, "up1");
            fault_disk_plan(d, (struct fault_plan){.power_at = at});
            save_hint(s, "up2");
            storage_close(s);
            fault_disk_crash(d, seed);
            check_hint(d, 4);
            fault_disk_free(d);
        }
    }
}

/* The disk is too full for the upstreams hint.  The log must still accept
 * entries. */
static void
full_disk_for_hint_keeps_log_usable(void)
{
    struct disk *d = disk_with_entries(4, false);
    struct storage_contents f;
    struct storage *s = open_on(d, &f);
    size_t used = fault_disk_size(d, "log") + fault_disk_size(d, "vote") +
                  fault_disk_size(d, "identity");

    storage_contents_free(&f);
    fault_disk_plan(d, (struct fault_plan){.capacity = used + 8});
    save_hint(s, "up1");
    fault_disk_plan(d, (struct fault_plan){0});
    CU_ASSERT_EQUAL(append_synced(s, 5, 1), STORAGE_OK);
    storage_close(s);
    check_hint(d, 5);
    fault_disk_free(d);
}

/* A bit of the upstreams hint flips.  The folder opens, reports the damage and
 * returns no upstreams. */
static void
damaged_hint_is_ignored(void)
{
    struct disk *d = disk_with_entries(4, false);
    struct storage_contents f;
    struct storage *s = open_on(d, &f);
    size_t size;

    storage_contents_free(&f);
    save_hint(s, "up1");
    storage_close(s);
    size = fault_disk_size(d, "upstreams");
    CU_ASSERT_TRUE(size > 0);
    for (size_t i = 0; i < size; i++) {
        fault_disk_flip(d, "upstreams", i);
        s = open_on(d, &f);
        CU_ASSERT_PTR_NOT_NULL_FATAL(s);
        CU_ASSERT_TRUE(f.upstreams_unreadable);
        CU_ASSERT_NOT_EQUAL(f.upstreams.kind, MSG_UPSTREAM_REPORT);
        CU_ASSERT_EQUAL(f.n_entries, 4);
        storage_contents_free(&f);
        storage_close(s);
        fault_disk_flip(d, "upstreams", i);
    }
    check_hint(d, 4);
    fault_disk_free(d);
}

/* A member is started on the folder of another member, or on a folder with a
 * file missing.  It would vote and answer with the wrong state. */
static void
rejects_wrong_or_incomplete_folders(void)
{
    static const char *const names[] = {"identity", "snapshot", "log"};
    struct disk *d = disk_with_entries(8, true);
    struct storage_options o = options_on(d);
    struct storage_contents f;
    struct storage *s = NULL;
    char detail[DETAIL_SIZE];

    o.member = name_of("c2");
    CU_ASSERT_EQUAL(storage_open(&o, &s, &f, detail), STORAGE_WRONG_MEMBER);
    CU_ASSERT_PTR_NOT_NULL(strstr(detail, "c1"));
    CU_ASSERT_EQUAL(storage_format(&o, 1, 1, NULL, detail),
                    STORAGE_WRONG_MEMBER);
    fault_disk_free(d);
    for (size_t i = 0; i < sizeof(names) / sizeof(names[0]); i++) {
        d = disk_with_entries(8, true);
        o = options_on(d);
        CU_ASSERT_EQUAL(o.ops->remove(d, names[i]), 0);
        CU_ASSERT_EQUAL(storage_open(&o, &s, &f, detail), STORAGE_DAMAGED);
        fault_disk_free(d);
    }
}

/* Without a mark, a flipped bit in the last acknowledged record is taken for a
 * torn write, and the record is removed.  Shows that the bit flip test above
 * detects a missing mark. */
static void
missing_mark_hides_data_loss(void)
{
    struct disk *d = fault_disk_new();
    struct storage_options o = options_on(d);
    struct storage_contents f;
    struct storage *s = NULL;
    char detail[DETAIL_SIZE];

    o.skip_mark = true;
    (void)storage_open(&o, &s, &f, detail);
    CU_ASSERT_EQUAL(append_synced(s, 1, 1), STORAGE_OK);
    CU_ASSERT_EQUAL(append_synced(s, 2, 1), STORAGE_OK);
    storage_close(s);
    fault_disk_flip(d, "log", fault_disk_size(d, "log") - 1);
    s = open_on(d, &f);
    CU_ASSERT_PTR_NOT_NULL_FATAL(s);
    CU_ASSERT_EQUAL(f.n_entries, 1);
    storage_contents_free(&f);
    storage_close(s);
    fault_disk_free(d);
}

void
suite_storage(void)
{
    check_add("storage", "saved_state_is_restored", saved_state_is_restored);
    check_add("storage", "works_on_files", works_on_files);
    check_add("storage", "power_loss_at_every_step", power_loss_at_every_step);
    check_add("storage", "flipped_bit_is_detected_or_harmless",
              flipped_bit_is_detected_or_harmless);
    check_add("storage", "no_writes_after_a_failed_sync",
              no_writes_after_a_failed_sync);
    check_add("storage", "full_disk_keeps_acknowledged_entries",
              full_disk_keeps_acknowledged_entries);
    check_add("storage", "power_loss_in_hint_write_keeps_the_log",
              power_loss_in_hint_write_keeps_the_log);
    check_add("storage", "full_disk_for_hint_keeps_log_usable",
              full_disk_for_hint_keeps_log_usable);
    check_add("storage", "damaged_hint_is_ignored", damaged_hint_is_ignored);
    check_add("storage", "rejects_wrong_or_incomplete_folders",
              rejects_wrong_or_incomplete_folders);
    check_add("storage", "missing_mark_hides_data_loss",
              missing_mark_hides_data_loss);
}
