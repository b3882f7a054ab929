#include "scheduling_settings.h"

#include <string.h>

#include "settings.h"

/* Keys of [scheduling]: KEY(key, feature, help). */
/* clang-format off */
#define KEY_LIST(KEY)                                                         \
    KEY("instance_capacity", INSTANCE_CAPACITY,                               \
        "holders of upstreams are chosen by declared capacity")               \
    KEY("upstream_speed", UPSTREAM_SPEED,                                     \
        "the speed of each upstream is estimated")                            \
    KEY("urgent_reserve", URGENT_RESERVE,                                     \
        "capacity is reserved for the most urgent queue")
/* clang-format on */

enum { CHOICE_ON, CHOICE_OFF };

#define SWITCH(section, key, help)                                            \
    {                                                                         \
        section, key, SETTING_CHOICE, false, NULL, 0, 0, "on", "on|off", help \
    }

static const struct setting table[] = {
#define KEY(key, NAME, help) SWITCH("scheduling", key, help),
    KEY_LIST(KEY)
#undef KEY
        SWITCH("peers", "idle_heartbeats",
               "idle connections carry fewer heartbeats"),
};

enum { TABLE = sizeof(table) / sizeof(table[0]) };

struct reading {
    struct settings *file;
    struct scheduling_settings values;
};

static void
read_values(void *user)
{
    struct reading *r = user;

#define KEY(key, NAME, help)                                                  \
    r->values.disabled[BROKER_FEATURE_##NAME] =                               \
        settings_choice(r->file, "scheduling", key) == CHOICE_OFF;
    KEY_LIST(KEY)
#undef KEY
    r->values.idle_heartbeats =
        settings_choice(r->file, "peers", "idle_heartbeats") == CHOICE_ON;
}

struct scheduling_settings
scheduling_settings_default(void)
{
    return (struct scheduling_settings){.idle_heartbeats = true};
}

bool
scheduling_settings_read(const char *path, struct scheduling_settings *out,
                         FILE *errors)
{
    struct reading r = {.values = scheduling_settings_default()};
    const struct settings_load load = {table, TABLE, read_values, &r};

    if (!settings_load(&r.file, &load, path, errors)) {
        settings_free(r.file);
        return false;
    }
    settings_free(r.file);
    *out = r.values;
    return true;
}

void
scheduling_settings_apply(const struct scheduling_settings *s,
                          double remote_factor, struct broker_options *o)
{
    memcpy(o->disabled, s->disabled, sizeof(o->disabled));
    if (remote_factor > 0 && !s->disabled[BROKER_FEATURE_UPSTREAM_SPEED]) {
        o->remote_factor = remote_factor;
    }
}

void
scheduling_settings_help(FILE *out)
{
    settings_help(table, TABLE, out);
}
