/**
 * DOC: disk - the few file operations that storage.c builds on
 *
 * A table of functions, so that tests put a disk beneath the real storage code
 * that forgets what was not synced, tears, flips, fills up or fails.  Names
 * are plain file names in one data folder.  All functions return 0 or a
 * negative errno.
 */
#ifndef BM_DISK_H
#define BM_DISK_H

#include <stddef.h>
#include <stdint.h>

struct disk;

/**
 * struct disk_ops - what a disk can do
 * @read: the whole file into a new buffer; -ENOENT when there is none
 * @append: adds bytes at the end, makes the file if there is none; on an error
 *          some of them may be there
 * @truncate: cuts the file to that size
 * @sync: content of the file is durable when it returns 0
 * @rename: replaces @to; durable after sync_folder
 * @remove: -ENOENT when there is none; durable after sync_folder
 * @sync_folder: names are durable when it returns 0
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

/** disk_files_ops() - on the files of a folder */
const struct disk_ops *disk_files_ops(void);

/** disk_files_open() - makes the folder if there is none and locks it against
 * other processes; -EWOULDBLOCK when one has it */
int disk_files_open(const char *folder, struct disk **out);

/** disk_files_close() - NULL is allowed */
void disk_files_close(struct disk *d);

#endif
