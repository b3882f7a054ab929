/**
 * DOC: disk - file operations that storage.c is built on
 *
 * A table of functions, so that tests can run the storage code on a simulated
 * disk that loses unsynced data, tears writes, flips bits, fills up or fails.
 * Names are plain file names in one data folder.  All functions return 0 or a
 * negative errno.
 */
#ifndef BM_DISK_H
#define BM_DISK_H

#include <stddef.h>
#include <stdint.h>

struct disk;

/**
 * struct disk_ops - operations of a disk
 * @read: reads the whole file into a new buffer, to be freed with free();
 *        -ENOENT if there is no such file
 * @append: writes at the end and creates the file if needed; on an error a
 *          part of the data may have been written
 * @truncate: shortens the file to @size bytes
 * @sync: the content of the file is durable if it returns 0
 * @rename: replaces @to; durable after sync_folder
 * @remove: -ENOENT if there is no such file; durable after sync_folder
 * @sync_folder: file names (creation, rename, removal) are durable if it
 *               returns 0
 */
struct disk_ops {
    int (*read)(struct disk *d, const char *name, char **data, size_t *size);
    int (*append)(struct disk *d, const char *name, const void *data,
                  size_t size);
    int (*truncate)(struct disk *d, const char *name, uint64_t size);
    int (*sync)(struct disk *d, const char *name);
    int (*rename)(struct disk *d, const char *from, const char *to);
    int (*remove)(struct disk *d, const char *name);
    int (*sync_folder)(struct disk *d);
};

/** disk_files_ops() - operations on the files of a real folder */
const struct disk_ops *disk_files_ops(void);

/** disk_files_open() - creates the folder if needed and locks it against other
 * processes; -EWOULDBLOCK if another process holds the lock */
int disk_files_open(const char *folder, struct disk **out);

/** disk_files_close() - NULL is allowed */
void disk_files_close(struct disk *d);

#endif
