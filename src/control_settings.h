/**
 * DOC: control_settings - the INI file of bm-control
 */
#ifndef BM_CONTROL_SETTINGS_H
#define BM_CONTROL_SETTINGS_H

#include <stdio.h>

#include "control_runtime.h"
#include "settings.h"

/** struct control_settings - what the file says; read-only once read */
struct control_settings {
    struct settings *file;
    struct control_runtime_options runtime; /* points into this struct */
    struct opsign_operators operators;
    struct peer_remote remotes[INSTANCES_MAX + CONTROL_MEMBERS_MAX];
    struct rec_control_member founders[CONTROL_MEMBERS_MAX];
    struct rec_membership founding; /* of @founders */
    int64_t auth_window_us;
    int log_level;
};

/** control_settings_read() - NULL after every mistake was written to @errors,
 * with file and line */
struct control_settings *control_settings_read(const char *path, FILE *errors);

/** control_settings_free() - NULL is allowed */
void control_settings_free(struct control_settings *s);

/** control_settings_help() - lists every key */
void control_settings_help(FILE *out);

#endif
