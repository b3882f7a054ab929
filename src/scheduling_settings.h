/**
 * DOC: scheduling_settings - reads the settings file of the platform's
 * programs
 *
 * Operators switch off features of the scheduling, and longer intervals of
 * heartbeats, in this file.  Without a file everything is on.
 */
#ifndef BM_SCHEDULING_SETTINGS_H
#define BM_SCHEDULING_SETTINGS_H

#include <stdio.h>

#include "broker.h"

/**
 * struct scheduling_settings - contents of a settings file
 * @disabled: features that are off
 * @idle_heartbeats: idle connections may carry fewer heartbeats
 */
struct scheduling_settings {
    bool disabled[BROKER_FEATURES];
    bool idle_heartbeats;
};

/** scheduling_settings_default() - everything is on */
struct scheduling_settings scheduling_settings_default(void);

/** scheduling_settings_read() - reads and checks a file; prints all errors to
 * @errors, and returns false without a change of @out, if the file is not
 * valid */
bool scheduling_settings_read(const char *path,
                              struct scheduling_settings *out, FILE *errors);

/** scheduling_settings_apply() - sets the disabled features and the remote
 * factor of @o; @remote_factor is that of the platform, 0 for none.  With
 * UPSTREAM_SPEED disabled the factor keeps its default. */
void scheduling_settings_apply(const struct scheduling_settings *s,
                               double remote_factor, struct broker_options *o);

/** scheduling_settings_help() - prints every key with its values and default
 */
void scheduling_settings_help(FILE *out);

#endif
