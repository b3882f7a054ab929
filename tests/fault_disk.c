#include "fault_disk.h"

#include <errno.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "base.h"

enum { NODES = 64, NAMES = 8, CHANGES = 64, FILE_NAME = 32 };

struct bytes {
    char *data;
    size_t size;
};

/* An unsynced write: the content of the file after it is the first keep bytes
 * and the added ones.  A truncation adds none. */
struct write {
    size_t keep; /* size of the unchanged start of the file, bytes */
    struct bytes added;
};

struct node {
    struct bytes now;
    struct bytes durable;
    struct write writes[CHANGES];
    size_t n_writes;
    bool lost; /* a sync failed: the unsynced writes never become durable */
};

struct entry_name {
    char name[FILE_NAME];
    int node;
};

struct folder {
    struct entry_name names[NAMES];
};

struct disk {
    struct node *nodes[NODES];
    struct folder now;
    struct folder history[CHANGES]; /* states since the last folder sync */
    size_t n_history;               /* history[0] is the durable state */
    struct fault_plan plan;
    uint64_t operations;
    bool powered_off;
};

static void
bytes_set(struct bytes *b, const void *data, size_t size)
{
    char *copy = malloc(size + 1);

    if (copy == NULL) {
        abort();
    }
    memcpy(copy, data, size);
    free(b->data);
    b->data = copy;
    b->size = size;
}

static void
bytes_change(struct bytes *b, size_t keep, const void *data, size_t size)
{
    b->data = realloc(b->data, keep + size + 1);
    if (b->data == NULL) {
        abort();
    }
    if (size > 0) {
        memcpy(b->data + keep, data, size);
    }
    b->size = keep + size;
}

static struct entry_name *
find_name(const struct folder *f, const char *name)
{
    for (size_t i = 0; i < NAMES; i++) {
        if (strcmp(f->names[i].name, name) == 0) {
            return (struct entry_name *)&f->names[i];
        }
    }
    return NULL;
}

static struct node *
find_node(const struct disk *d, const char *name)
{
    struct entry_name *e = find_name(&d->now, name);

    return e != NULL ? d->nodes[e->node] : NULL;
}

static void
folder_changed(struct disk *d)
{
    if (d->n_history == CHANGES) {
        abort();
    }
    d->history[d->n_history++] = d->now;
}

static struct node *
make_node(struct disk *d, const char *name)
{
    struct entry_name *e = find_name(&d->now, "");
    int at = 0;

    while (d->nodes[at] != NULL) {
        at++;
    }
    d->nodes[at] = calloc(1, sizeof(*d->nodes[at]));
    if (d->nodes[at] == NULL || e == NULL) {
        abort();
    }
    (void)snprintf(e->name, sizeof(e->name), "%s", name);
    e->node = at;
    folder_changed(d);
    return d->nodes[at];
}

static void
free_node(struct disk *d, int at)
{
    struct node *n = d->nodes[at];

    for (size_t i = 0; i < n->n_writes; i++) {
        free(n->writes[i].added.data);
    }
    free(n->now.data);
    free(n->durable.data);
    free(n);
    d->nodes[at] = NULL;
}

static bool
has_name(const struct disk *d, int node)
{
    for (size_t h = 0; h <= d->n_history; h++) {
        const struct folder *f = h < d->n_history ? &d->history[h] : &d->now;

        for (size_t i = 0; i < NAMES; i++) {
            if (f->names[i].name[0] != '\0' && f->names[i].node == node) {
                return true;
            }
        }
    }
    return false;
}

static void
free_unnamed_nodes(struct disk *d)
{
    for (int i = 0; i < NODES; i++) {
        if (d->nodes[i] != NULL && !has_name(d, i)) {
            free_node(d, i);
        }
    }
}

/* Counts an operation and returns whether there is no power loss before it. */
static bool
take_operation(struct disk *d)
{
    if (d->powered_off) {
        return false;
    }
    d->operations++;
    if (d->plan.power_at > 0 && --d->plan.power_at == 0) {
        d->powered_off = true;
    }
    return !d->powered_off;
}

static void
add_write(struct node *n, size_t keep, const void *data, size_t size)
{
    struct write *w = &n->writes[n->n_writes];

    if (n->n_writes == CHANGES) {
        abort();
    }
    n->n_writes++;
    memset(w, 0, sizeof(*w));
    w->keep = keep;
    bytes_change(&w->added, 0, data, size);
    bytes_change(&n->now, keep, data, size);
}

static size_t
used_bytes(const struct disk *d)
{
    size_t total = 0;

    for (size_t i = 0; i < NAMES; i++) {
        if (d->now.names[i].name[0] != '\0') {
            total += d->nodes[d->now.names[i].node]->now.size;
        }
    }
    return total;
}

static int
fault_read(struct disk *d, const char *name, char **data, size_t *size)
{
    struct node *n = find_node(d, name);
    struct bytes copy = {0};

    if (d->powered_off) {
        return -EIO;
    }
    if (n == NULL) {
        return -ENOENT;
    }
    bytes_set(&copy, n->now.data != NULL ? n->now.data : "", n->now.size);
    *data = copy.data;
    *size = copy.size;
    return 0;
}

static int
fault_append(struct disk *d, const char *name, const void *data, size_t size)
{
    struct node *n = find_node(d, name);
    size_t used = used_bytes(d);

    if (!take_operation(d)) {
        return -EIO;
    }
    if (n == NULL) {
        n = make_node(d, name);
    }
    if (d->plan.capacity > 0 && used + size > d->plan.capacity) {
        size_t room = d->plan.capacity > used ? d->plan.capacity - used : 0;

        add_write(n, n->now.size, data, room);
        return -ENOSPC;
    }
    add_write(n, n->now.size, data, size);
    return 0;
}

static int
fault_truncate(struct disk *d, const char *name, uint64_t size)
{
    struct node *n = find_node(d, name);

    if (!take_operation(d)) {
        return -EIO;
    }
    if (n == NULL || size > n->now.size) {
        return -EINVAL;
    }
    add_write(n, size, "", 0);
    return 0;
}

static int
fault_sync(struct disk *d, const char *name)
{
    struct node *n = find_node(d, name);

    if (!take_operation(d)) {
        return -EIO;
    }
    if (n == NULL) {
        return -ENOENT;
    }
    if (d->plan.sync_fails_at > 0 && --d->plan.sync_fails_at == 0) {
        n->lost = true;
        return -EIO;
    }
    bytes_set(&n->durable, n->now.data != NULL ? n->now.data : "",
              n->now.size);
    for (size_t i = 0; i < n->n_writes; i++) {
        free(n->writes[i].added.data);
    }
    n->n_writes = 0;
    return 0;
}

static int
fault_rename(struct disk *d, const char *from, const char *to)
{
    struct entry_name *old = find_name(&d->now, to);
    struct entry_name *e = find_name(&d->now, from);

    if (!take_operation(d)) {
        return -EIO;
    }
    if (e == NULL) {
        return -ENOENT;
    }
    if (old != NULL) {
        memset(old, 0, sizeof(*old));
    }
    memset(e->name, 0, sizeof(e->name));
    (void)snprintf(e->name, sizeof(e->name), "%s", to);
    folder_changed(d);
    return 0;
}

static int
fault_remove(struct disk *d, const char *name)
{
    struct entry_name *e = find_name(&d->now, name);

    if (!take_operation(d)) {
        return -EIO;
    }
    if (e == NULL) {
        return -ENOENT;
    }
    memset(e, 0, sizeof(*e));
    folder_changed(d);
    return 0;
}

static int
fault_sync_folder(struct disk *d)
{
    if (!take_operation(d)) {
        return -EIO;
    }
    d->history[0] = d->now;
    d->n_history = 1;
    free_unnamed_nodes(d);
    return 0;
}

const struct disk_ops *
fault_disk_ops(void)
{
    static const struct disk_ops ops = {
        .read = fault_read,
        .append = fault_append,
        .truncate = fault_truncate,
        .sync = fault_sync,
        .rename = fault_rename,
        .remove = fault_remove,
        .sync_folder = fault_sync_folder,
    };

    return &ops;
}

struct disk *
fault_disk_new(void)
{
    struct disk *d = calloc(1, sizeof(*d));

    if (d == NULL) {
        abort();
    }
    d->n_history = 1;
    return d;
}

void
fault_disk_wipe(struct disk *d)
{
    for (int i = 0; i < NODES; i++) {
        if (d->nodes[i] != NULL) {
            free_node(d, i);
        }
    }
    memset(d, 0, sizeof(*d));
    d->n_history = 1;
}

void
fault_disk_free(struct disk *d)
{
    fault_disk_wipe(d);
    free(d);
}

void
fault_disk_plan(struct disk *d, struct fault_plan plan)
{
    d->plan = plan;
}

uint64_t
fault_disk_operations(const struct disk *d)
{
    return d->operations;
}

/* Writes bytes at an offset of a file.  If @truncated is not set, an earlier
 * truncation was lost, and the old content after the bytes stays. */
static void
put_bytes(struct bytes *b, size_t at, const char *data, size_t size,
          bool truncated)
{
    size_t end = truncated || at + size > b->size ? at + size : b->size;

    b->data = realloc(b->data, end + 1);
    if (b->data == NULL) {
        abort();
    }
    if (size > 0) {
        memcpy(b->data + at, data, size);
    }
    b->size = end;
}

/* Replays an arbitrary number of the unsynced writes over the durable content.
 * Blocks become durable in any order: the last write may be torn, an earlier
 * one may read as zeros, a truncation may be missing. */
static void
crash_node(struct node *n, uint64_t *seed)
{
    size_t n_replayed =
        *seed == 0 || n->lost ? 0 : random_next(seed) % (n->n_writes + 1);
    bool truncated = true;

    bytes_set(&n->now, n->durable.data != NULL ? n->durable.data : "",
              n->durable.size);
    for (size_t i = 0; i < n_replayed; i++) {
        struct write *w = &n->writes[i];
        size_t size = w->added.size;
        uint64_t fault = random_next(seed) % 4;

        if (size == 0 && fault == 0) {
            truncated = false;
            continue;
        }
        if (size > 0 && fault == 1 && i + 1 == n_replayed) {
            size = random_next(seed) % size;
        }
        put_bytes(&n->now, w->keep, w->added.data, size, truncated);
        if (size > 0 && fault == 2) {
            memset(n->now.data + w->keep + size / 2, 0, size - size / 2);
        }
    }
    for (size_t i = 0; i < n->n_writes; i++) {
        free(n->writes[i].added.data);
    }
    n->n_writes = 0;
    n->lost = false;
    bytes_set(&n->durable, n->now.data, n->now.size);
}

void
fault_disk_crash(struct disk *d, uint64_t seed)
{
    size_t names = seed == 0 ? 0 : random_next(&seed) % d->n_history;

    d->now = d->history[names];
    d->history[0] = d->now;
    d->n_history = 1;
    for (int i = 0; i < NODES; i++) {
        if (d->nodes[i] != NULL) {
            crash_node(d->nodes[i], &seed);
        }
    }
    free_unnamed_nodes(d);
    d->powered_off = false;
    memset(&d->plan, 0, sizeof(d->plan));
}

void
fault_disk_flip(struct disk *d, const char *name, size_t offset)
{
    struct node *n = find_node(d, name);

    if (n != NULL && offset < n->now.size) {
        n->now.data[offset] ^= 0x10;
        n->durable.data[offset] ^= 0x10;
    }
}

size_t
fault_disk_size(const struct disk *d, const char *name)
{
    struct node *n = find_node(d, name);

    return n != NULL ? n->now.size : 0;
}
