#include "filetree.h"

#include <errno.h>
#include <ftw.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <sys/stat.h>

enum { OPEN_FOLDERS = 16 };

/* nftw() passes no argument to its callback. */
struct walk {
    struct filetree *tree;
    const char *suffix;
    bool out_of_memory;
};

static _Thread_local struct walk *walk;

static int
on_path(const char *path, const struct stat *st, int type, struct FTW *ftw)
{
    size_t n = strlen(path);
    size_t suffix = strlen(walk->suffix);
    struct filetree *t = walk->tree;
    char **grown;

    (void)st;
    (void)ftw;
    if (type != FTW_F || n < suffix ||
        strcmp(path + n - suffix, walk->suffix) != 0) {
        return 0;
    }
    grown = realloc(t->paths, (t->n + 1) * sizeof(*grown));
    if (grown != NULL) {
        t->paths = grown;
        t->paths[t->n] = strdup(path);
    }
    if (grown == NULL || t->paths[t->n] == NULL) {
        walk->out_of_memory = true;
        return 1;
    }
    t->n++;
    return 0;
}

static int
compare_paths(const void *a, const void *b)
{
    return strcmp(*(char *const *)a, *(char *const *)b);
}

const char *
filetree_collect(struct filetree *t, const char *dir, const char *suffix)
{
    struct walk w = {.tree = t, .suffix = suffix};
    int rc;

    walk = &w;
    rc = nftw(dir, on_path, OPEN_FOLDERS, FTW_PHYS);
    walk = NULL;
    if (t->n > 0) {
        qsort(t->paths, t->n, sizeof(*t->paths), compare_paths);
    }
    if (w.out_of_memory) {
        return "out of memory";
    }
    return rc < 0 ? strerror(errno) : NULL;
}

void
filetree_clear(struct filetree *t)
{
    for (size_t i = 0; i < t->n; i++) {
        free(t->paths[i]);
    }
    free(t->paths);
    memset(t, 0, sizeof(*t));
}

char *
filetree_read(const char *path, size_t most, const char **why)
{
    FILE *f = fopen(path, "re");
    char *text = NULL;
    size_t n;

    if (f == NULL) {
        *why = strerror(errno);
        return NULL;
    }
    text = malloc(most + 1);
    if (text == NULL) {
        *why = "out of memory";
        goto out;
    }
    n = fread(text, 1, most + 1, f);
    if (ferror(f)) {
        *why = "it cannot be read";
    }
    else if (n > most) {
        *why = "it is too large";
    }
    else if (memchr(text, '\0', n) != NULL) {
        *why = "it holds zero bytes";
    }
    else {
        text[n] = '\0';
        goto out;
    }
    free(text);
    text = NULL;
out:
    (void)fclose(f);
    return text;
}
