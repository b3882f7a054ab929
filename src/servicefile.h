/**
 * DOC: servicefile - service files: INI files kept beside a service's code
 *
 * A service file is any file whose name ends in ".service.ini".  A set of
 * files is loaded into one configuration.  All errors of all files are listed,
 * and any error rejects the whole set.  The canonical text of a configuration
 * has each section and each key once, sorted, with defaults written out. Equal
 * configurations have equal canonical texts, and a later change of a default
 * does not affect configurations that are published already.
 */
#ifndef BM_SERVICEFILE_H
#define BM_SERVICEFILE_H

#include "servicekey.h"

#define SERVICEFILE_SUFFIX ".service.ini"

enum {
    SERVICEFILE_LINE_MAX = 1024,     /* longest line, bytes */
    SERVICEFILE_SIZE_MAX = 4 << 20,  /* largest text, bytes */
    SERVICEFILE_ERRORS_MAX = 1000,   /* listed; more are only counted */
    SERVICEFILE_SERVICES_MAX = 4096, /* services of one configuration */
};

/** struct servicefile_error - one error; @line is 0 if it concerns the whole
 * file */
struct servicefile_error {
    char *file;
    int line;
    char text[DETAIL_SIZE];
};

/** struct servicefile_errors - all errors, in the order of the files */
struct servicefile_errors {
    struct servicefile_error *items;
    size_t n;     /* number of items */
    size_t total; /* number of errors found */
};

/** servicefile_errors_clear() - frees the list and empties it */
void servicefile_errors_clear(struct servicefile_errors *errs);

/** servicefile_load() - reads all service files under the folders, in the
 * order of their paths.  @errs must be zeroed.  Returns a configuration of
 * version 0, to be freed with config_free(), or NULL with at least one error
 * in
 * @errs. */
struct config *servicefile_load(const char *const *dirs, size_t n_dirs,
                                struct servicefile_errors *errs);

/** servicefile_load_dir() - like servicefile_load(), for one folder */
struct config *servicefile_load_dir(const char *dir,
                                    struct servicefile_errors *errs);

/** servicefile_parse_text() - parses a text that holds a whole configuration;
 * errors name @name as the file */
struct config *servicefile_parse_text(const char *text, const char *name,
                                      struct servicefile_errors *errs);

/** servicefile_canonical() - the canonical text, to be freed with free();
 * NULL if out of memory.  servicefile_parse_text() parses this text to an
 * equal configuration. */
char *servicefile_canonical(const struct config *config);

#endif
