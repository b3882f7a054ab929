#include "disk.h"

#include <errno.h>
#include <fcntl.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <sys/file.h>
#include <sys/stat.h>
#include <unistd.h>

enum { OPEN_FILES = 4, DISK_NAME_SIZE = 32 };

/* A file stays open from its first write until it is renamed or removed.  The
 * kernel reports a failed write-back only to descriptors that were open when
 * it happened; fsync() on a newly opened one could succeed although data was
 * lost. */
struct open_file {
    char name[DISK_NAME_SIZE];
    int fd;
};

struct disk {
    int folder;
    struct open_file files[OPEN_FILES];
};

static struct open_file *
find_open(struct disk *d, const char *name)
{
    for (size_t i = 0; i < OPEN_FILES; i++) {
        if (d->files[i].fd >= 0 && strcmp(d->files[i].name, name) == 0) {
            return &d->files[i];
        }
    }
    return NULL;
}

static void
close_file(struct disk *d, const char *name)
{
    struct open_file *f = find_open(d, name);

    if (f != NULL) {
        (void)close(f->fd);
        f->fd = -1;
    }
}

static int
open_for_write(struct disk *d, const char *name)
{
    struct open_file *f = find_open(d, name);

    if (f != NULL) {
        return f->fd;
    }
    for (size_t i = 0; i < OPEN_FILES; i++) {
        f = &d->files[i];
        if (f->fd < 0) {
            f->fd = openat(d->folder, name,
                           O_WRONLY | O_CREAT | O_APPEND | O_CLOEXEC, 0600);
            (void)snprintf(f->name, sizeof(f->name), "%s", name);
            return f->fd < 0 ? -errno : f->fd;
        }
    }
    return -EMFILE;
}

static int
read_all(int fd, char *data, size_t size)
{
    size_t done = 0;

    while (done < size) {
        ssize_t n = read(fd, data + done, size - done);

        if (n < 0 && errno == EINTR) {
            continue;
        }
        if (n <= 0) {
            return n < 0 ? -errno : -EIO;
        }
        done += (size_t)n;
    }
    return 0;
}

static int
files_read(struct disk *d, const char *name, char **data, size_t *size)
{
    struct stat st;
    int err = 0;
    int fd = openat(d->folder, name, O_RDONLY | O_CLOEXEC);

    if (fd < 0) {
        return -errno;
    }
    if (fstat(fd, &st) != 0) {
        err = -errno;
        goto out;
    }
    *size = (size_t)st.st_size;
    *data = malloc(*size + 1);
    if (*data == NULL) {
        err = -ENOMEM;
        goto out;
    }
    err = read_all(fd, *data, *size);
    if (err != 0) {
        free(*data);
        *data = NULL;
    }
out:
    (void)close(fd);
    return err;
}

static int
files_append(struct disk *d, const char *name, const void *data, size_t size)
{
    const char *at = data;
    int fd = open_for_write(d, name);

    if (fd < 0) {
        return fd;
    }
    while (size > 0) {
        ssize_t n = write(fd, at, size);

        if (n < 0 && errno == EINTR) {
            continue;
        }
        if (n < 0) {
            return -errno;
        }
        at += n;
        size -= (size_t)n;
    }
    return 0;
}

static int
files_truncate(struct disk *d, const char *name, uint64_t size)
{
    int fd = open_for_write(d, name);

    if (fd < 0) {
        return fd;
    }
    return ftruncate(fd, (off_t)size) == 0 ? 0 : -errno;
}

static int
files_sync(struct disk *d, const char *name)
{
    int fd = open_for_write(d, name);

    if (fd < 0) {
        return fd;
    }
    return fsync(fd) == 0 ? 0 : -errno;
}

static int
files_rename(struct disk *d, const char *from, const char *to)
{
    close_file(d, from);
    close_file(d, to);
    return renameat(d->folder, from, d->folder, to) == 0 ? 0 : -errno;
}

static int
files_remove(struct disk *d, const char *name)
{
    close_file(d, name);
    return unlinkat(d->folder, name, 0) == 0 ? 0 : -errno;
}

static int
files_sync_folder(struct disk *d)
{
    return fsync(d->folder) == 0 ? 0 : -errno;
}

const struct disk_ops *
disk_files_ops(void)
{
    static const struct disk_ops ops = {
        .read = files_read,
        .append = files_append,
        .truncate = files_truncate,
        .sync = files_sync,
        .rename = files_rename,
        .remove = files_remove,
        .sync_folder = files_sync_folder,
    };

    return &ops;
}

int
disk_files_open(const char *folder, struct disk **out)
{
    struct disk *d = calloc(1, sizeof(*d));
    int err;

    if (d == NULL) {
        return -ENOMEM;
    }
    for (size_t i = 0; i < OPEN_FILES; i++) {
        d->files[i].fd = -1;
    }
    if (mkdir(folder, 0700) != 0 && errno != EEXIST) {
        err = -errno;
        goto fail;
    }
    d->folder = open(folder, O_RDONLY | O_DIRECTORY | O_CLOEXEC);
    if (d->folder < 0) {
        err = -errno;
        goto fail;
    }
    if (flock(d->folder, LOCK_EX | LOCK_NB) != 0) {
        err = -errno;
        (void)close(d->folder);
        goto fail;
    }
    *out = d;
    return 0;
fail:
    free(d);
    return err;
}

void
disk_files_close(struct disk *d)
{
    if (d == NULL) {
        return;
    }
    for (size_t i = 0; i < OPEN_FILES; i++) {
        if (d->files[i].fd >= 0) {
            (void)close(d->files[i].fd);
        }
    }
    (void)close(d->folder);
    free(d);
}
