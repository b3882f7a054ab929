/**
 * DOC: entry_settings - reads the settings file of bm-entry
 */
#ifndef BM_ENTRY_SETTINGS_H
#define BM_ENTRY_SETTINGS_H

#include <stdio.h>

#include "runtime.h"
#include "settings.h"

/**
 * struct entry_settings - contents of a settings file
 * @file: parsed file; owns the texts
 * @runtime: options of the runtime; refer to the arrays below
 * @peers: entry instances of the region
 * @remotes: addresses of the peers and controls
 * @controls: bm-control processes
 * @services_dir: directory of service files; empty if the configuration comes
 * only from control
 * @log_level: syslog severity
 * @stop_grace_ms: time between the first 503 of the health check and the
 * closing of the listening socket
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

/** entry_settings_read() - reads and checks a file; prints all errors to
 * @errors and returns NULL if the file is not valid */
struct entry_settings *entry_settings_read(const char *path, FILE *errors);

/** entry_settings_free() - NULL is allowed */
void entry_settings_free(struct entry_settings *s);

/** entry_settings_help() - prints every key with its range and default */
void entry_settings_help(FILE *out);

#endif
