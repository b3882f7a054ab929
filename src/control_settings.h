/**
 * DOC: control_settings - settings file of bm-control (INI)
 */
#ifndef BM_CONTROL_SETTINGS_H
#define BM_CONTROL_SETTINGS_H

#include <stdio.h>

#include "control_runtime.h"
#include "settings.h"

/** struct control_settings - values of the file; read-only after loading */
struct control_settings {
    struct settings *file;
    struct control_runtime_options runtime; /* points into this struct */
    struct opsign_operators operators;
    struct peer_remote remotes[INSTANCES_MAX + CONTROL_MEMBERS_MAX];
    struct rec_control_member founders[CONTROL_MEMBERS_MAX];
    struct rec_membership founding; /* membership of @founders */
    int64_t auth_window_us;
    int log_level;
};

/** control_settings_read() - loads a settings file; on an error writes every
 * error to @errors, with file and line, and returns NULL */
struct control_settings *control_settings_read(const char *path, FILE *errors);

/** control_settings_free() - NULL is allowed */
void control_settings_free(struct control_settings *s);

/** control_settings_help() - writes a description of every key */
void control_settings_help(FILE *out);

#endif
