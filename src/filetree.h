/**
 * DOC: filetree - files of a folder and the folders below it
 */
#ifndef BM_FILETREE_H
#define BM_FILETREE_H

#include <stdbool.h>
#include <stddef.h>

/** struct filetree - paths, sorted; starts out zeroed */
struct filetree {
    char **paths;
    size_t n;
};

/** filetree_collect() - adds every file whose name ends in @suffix; symbolic
 * links are not followed.  Returns NULL or what went wrong. */
const char *filetree_collect(struct filetree *t, const char *dir,
                             const char *suffix);

/** filetree_clear() - frees the paths and empties it */
void filetree_clear(struct filetree *t);

/** filetree_read() - a whole text file of at most @most bytes, to be freed
 * with free(); NULL with the reason in @why */
char *filetree_read(const char *path, size_t most, const char **why);

#endif
