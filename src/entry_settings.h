/**
 * DOC: entry_settings - the settings file of bm-entry
 */
#ifndef BM_ENTRY_SETTINGS_H
#define BM_ENTRY_SETTINGS_H

#include <stdio.h>

#include "runtime.h"
#include "settings.h"

/**
 * struct entry_settings - what a settings file says
 * @runtime: points to the members below
 * @services_dir: folder of service files; empty when configuration comes from
 *            control alone
 * @log_level: syslog severity
 * @stop_grace_ms: between the first 503 of the health check and the closing
 *                 of the listening socket
 */
struct entry_settings {
    struct settings *file;
    struct runtime_options runtime;
    struct entry_peer peers[INSTANCES_MAX];
    struct peer_remote remotes[2 * INSTANCES_MAX];
    struct name controls[INSTANCES_MAX];
    const char *services_dir;
    int log_level;
    int64_t stop_grace_ms;
};

/** entry_settings_read() - NULL, with all errors printed to @errors, where
 * the file is not right */
struct entry_settings *entry_settings_read(const char *path, FILE *errors);

/** entry_settings_free() - NULL is allowed */
void entry_settings_free(struct entry_settings *s);

/** entry_settings_help() - prints every key with its range and default */
void entry_settings_help(FILE *out);

#endif
