/**
 * DOC: servicefile - service files: INI texts kept beside a service's code
 *
 * A service file is any file whose name ends in ".service.ini".  A set of
 * them becomes one configuration, or none: every error of every file is
 * listed, and one error is enough to refuse them all.  The canonical text of
 * a configuration has each section and each key once, sorted, with defaults
 * written out, so that equal configurations are equal texts and a later change
 * of a default changes nothing that was published before.
 */
#ifndef BM_SERVICEFILE_H
#define BM_SERVICEFILE_H

#include "servicekey.h"

#define SERVICEFILE_SUFFIX ".service.ini"

enum {
    SERVICEFILE_LINE_MAX = 1024,     /* longest line, bytes */
    SERVICEFILE_SIZE_MAX = 4 << 20,  /* largest text, bytes */
    SERVICEFILE_ERRORS_MAX = 1000,   /* listed; further ones are counted */
    SERVICEFILE_SERVICES_MAX = 4096, /* services of one configuration */
};

/** struct servicefile_error - one mistake; @line is 0 for a whole file */
struct servicefile_error {
    char *file;
    int line;
    char text[DETAIL_SIZE];
};

/** struct servicefile_errors - all mistakes, in the order of the files */
struct servicefile_errors {
    struct servicefile_error *items;
    size_t n;     /* listed */
    size_t total; /* found */
};

/** servicefile_errors_clear() - frees the list and empties it */
void servicefile_errors_clear(struct servicefile_errors *errs);

/** servicefile_load() - reads all service files under the folders, in order
 * of their paths.  Returns NULL with at least one error in @errs, which starts
 * out zeroed; the version of the result is 0. */
struct config *servicefile_load(const char *const *dirs, size_t n_dirs,
                                struct servicefile_errors *errs);

/** servicefile_load_dir() - servicefile_load() of one folder */
struct config *servicefile_load_dir(const char *dir,
                                    struct servicefile_errors *errs);

/** servicefile_parse_text() - one text that holds a whole configuration;
 * errors name the file @name */
struct config *servicefile_parse_text(const char *text, const char *name,
                                      struct servicefile_errors *errs);

/** servicefile_canonical() - the canonical text, to be freed with free();
 * NULL when memory is out.  servicefile_parse_text() gives the same back. */
char *servicefile_canonical(const struct config *config);

#endif
