#include "control_settings.h"

#include <stdlib.h>
#include <string.h>

#include "log.h"

enum { INBOX_SIZE = 4096 };

/* Keys of [limits] that set a member of an option struct, multiplied by
 * factor: LIMIT(key, unit, min, max, default, member, factor, help). */
/* clang-format off */
#define LIMIT_LIST(LIMIT)                                                     \
    LIMIT("election_ms", "ms", 100, 60000, "2000",                            \
        control.election_timeout_us, USEC_PER_MSEC,                           \
        "time without a message of the leader that starts an election")       \
    LIMIT("heartbeat_ms", "ms", 20, 10000, "500",                             \
        control.heartbeat_interval_us, USEC_PER_MSEC,                         \
        "interval of heartbeats")                                             \
    LIMIT("request_ms", "ms", 100, 60000, "10000",                            \
        control.request_timeout_us, USEC_PER_MSEC,                            \
        "time to commit a change; later its outcome is answered as unknown")  \
    LIMIT("stop_ms", "ms", 0, 60000, "5000",                                  \
        control.stop_timeout_us, USEC_PER_MSEC,                               \
        "time limit of a planned stop")                                       \
    LIMIT("follower_s", "s", 5, 86400, "60",                                  \
        control.follower_timeout_us, USEC_PER_SEC,                            \
        "time without a message that removes an entry instance")              \
    LIMIT("snapshot_entries", "entries", 16, 65536, "256",                    \
        control.snapshot_entries, 1, "applied entries between snapshots")     \
    LIMIT("history", "publications", 64, 8192, "4096",                        \
        control.limits.publications, 1,                                       \
        "publications kept with their request ids")                           \
    LIMIT("texts", "versions", 1, 256, "16",                                  \
        control.limits.texts, 1, "newest versions whose text is kept")        \
    LIMIT("http_threads", "threads", 1, 16, "1",                              \
        http.threads, 1, "threads of the HTTP server")                        \
    LIMIT("http_connections", "connections", 4, 65536, "256",                 \
        http.connections, 1, "open HTTP connections of operators")            \
    LIMIT("bodies_max_mb", "MiB", 8, 65536, "64",                             \
        http.body_bytes_max, 1 << 20,                                         \
        "memory limit of request bodies that are being read")                 \
    LIMIT("idle_timeout_s", "s", 1, 3600, "30",                               \
        http.idle_timeout_s, 1, "time until an idle connection is closed")    \
    LIMIT("peer_buffer_mb", "MiB", 1, 1024, "32",                             \
        peers.send_max, 1 << 20, "unsent data for one process")
/* clang-format on */

static const struct setting settings_table[] = {
    {"control", "name", SETTING_NAME, true, NULL, 0, 0, NULL, NULL,
     "name of this member"},
    {"control", "region", SETTING_NAME, true, NULL, 0, 0, NULL, NULL,
     "region whose configuration is kept; the same on all members"},
    {"control", "listen_http", SETTING_ADDRESS, true, NULL, 0, 0, NULL, NULL,
     "address for HTTP connections of operators"},
    {"control", "listen_peer", SETTING_ADDRESS, true, NULL, 0, 0, NULL, NULL,
     "address for connections of other members and entry instances"},
    {"control", "data", SETTING_TEXT, true, NULL, 1, 180, NULL, NULL,
     "data folder, on a disk used by this member only"},
    {"control", "operators", SETTING_TEXT, true, NULL, 1, 180, NULL, NULL,
     "file of the operators who may make changes"},
    {"control", "auth_window_s", SETTING_INT, false, "s", 1, 3600, "60", NULL,
     "largest difference of a signature's time to the clock"},
    {"control", "log_level", SETTING_CHOICE, false, NULL, 0, 0, "info",
     "emerg|alert|crit|err|warning|notice|info|debug",
     "lowest severity that is logged"},
    {"member *", "address", SETTING_ADDRESS, true, NULL, 0, 0, NULL, NULL,
     "listen_peer of the member; this member needs a section too"},
    {"member *", "http", SETTING_ADDRESS, true, NULL, 0, 0, NULL, NULL,
     "listen_http of the member, for redirections"},
    {"instance *", "zone", SETTING_NAME, true, NULL, 0, 0, NULL, NULL,
     "availability zone of an entry instance that may connect"},
#define LIMIT(key, unit, min, max, fallback, member, factor, help)            \
    {"limits", key, SETTING_INT, false, unit, min, max, fallback, NULL, help},
    LIMIT_LIST(LIMIT)
#undef LIMIT
};

enum { N_SETTINGS = sizeof(settings_table) / sizeof(settings_table[0]) };

static void
read_limits(struct control_settings *s)
{
    struct control_runtime_options *o = &s->runtime;

#define LIMIT(key, unit, min, max, fallback, member, factor, help)            \
    o->member =                                                               \
        (__typeof__(o->member))(settings_int(s->file, "limits", key) *        \
                                (factor));
    LIMIT_LIST(LIMIT)
#undef LIMIT
}

static void
read_members(struct control_settings *s)
{
    struct peer_options *p = &s->runtime.peers;
    size_t n = settings_count(s->file, "member");
    bool self = false;

    if (n > CONTROL_MEMBERS_MAX) {
        settings_add_error(s->file, 0, "more than %d members",
                           CONTROL_MEMBERS_MAX);
        return;
    }
    for (size_t i = 0; i < n; i++) {
        const char *name = settings_name(s->file, "member", i);
        struct rec_control_member *m = &s->founders[i];

        m->name = name_of(name);
        m->address = address_of(
            settings_named_text(s->file, "member", name, "address"));
        m->http =
            address_of(settings_named_text(s->file, "member", name, "http"));
        m->voter = 1;
        m->disk = control_founding_disk(s->runtime.region, m->name);
        s->remotes[p->n_remotes].name = m->name;
        s->remotes[p->n_remotes].address = m->address;
        p->n_remotes++;
        s->runtime.control.configured[i] = m->name;
        s->runtime.control.n_configured = i + 1;
        self = self || name_equal(m->name, s->runtime.control.self);
    }
    s->founding.members = s->founders;
    s->founding.n_members = n;
    if (!self) {
        settings_add_error(s->file, settings_line(s->file, "control", "name"),
                           "there is no section [member %s]",
                           s->runtime.control.self.s);
    }
}

/* The addresses of entry instances stay empty: an instance connects to the
 * control members, which never connect to it. */
static void
add_zone(struct control_options *o, struct name zone)
{
    for (size_t i = 0; i < o->n_zones; i++) {
        if (name_equal(o->zones[i], zone)) {
            return;
        }
    }
    if (o->n_zones < ZONES_MAX) {
        o->zones[o->n_zones++] = zone;
    }
}

static void
read_instances(struct control_settings *s)
{
    struct peer_options *p = &s->runtime.peers;
    size_t n = settings_count(s->file, "instance");

    if (n > INSTANCES_MAX) {
        settings_add_error(s->file, 0, "more than %d instances",
                           INSTANCES_MAX);
        return;
    }
    for (size_t i = 0; i < n; i++) {
        const char *name = settings_name(s->file, "instance", i);

        s->remotes[p->n_remotes].name = name_of(name);
        p->n_remotes++;
        add_zone(&s->runtime.control, name_of(settings_named_text(
                                          s->file, "instance", name, "zone")));
    }
}

static void
check_times(struct control_settings *s)
{
    const struct control_options *c = &s->runtime.control;

    if (c->election_timeout_us < 3 * c->heartbeat_interval_us) {
        settings_add_error(s->file,
                           settings_line(s->file, "limits", "election_ms"),
                           "election_ms must be at least three heartbeat_ms");
    }
}

static void
read_operators(struct control_settings *s)
{
    char error[240];

    if (!opsign_read_file(settings_text(s->file, "control", "operators"),
                          &s->operators, error, sizeof(error))) {
        settings_add_error(s->file,
                           settings_line(s->file, "control", "operators"),
                           "%s", error);
    }
}

static void
read_values(void *user)
{
    struct control_settings *s = user;
    struct control_runtime_options *o = &s->runtime;
    const struct settings *f = s->file;

    o->control = control_options_default();
    o->peers = peer_options_default();
    o->inbox = INBOX_SIZE;
    read_limits(s);
    o->control.self = name_of(settings_text(f, "control", "name"));
    o->region = name_of(settings_text(f, "control", "region"));
    o->data = settings_text(f, "control", "data");
    o->http.listen = address_of(settings_text(f, "control", "listen_http"));
    o->peers.self = o->control.self;
    o->peers.listen = address_of(settings_text(f, "control", "listen_peer"));
    o->peers.heartbeat_us = o->control.heartbeat_interval_us;
    o->peers.remotes = s->remotes;
    s->auth_window_us =
        settings_int(f, "control", "auth_window_s") * USEC_PER_SEC;
    s->log_level = settings_choice(f, "control", "log_level");
    read_members(s);
    read_instances(s);
    check_times(s);
    read_operators(s);
}

struct control_settings *
control_settings_read(const char *path, FILE *errors)
{
    struct control_settings *s = calloc(1, sizeof(*s));

    if (s != NULL &&
        !settings_load(&s->file,
                       &(struct settings_load){settings_table, N_SETTINGS,
                                               read_values, s},
                       path, errors)) {
        control_settings_free(s);
        s = NULL;
    }
    return s;
}

void
control_settings_free(struct control_settings *s)
{
    if (s != NULL) {
        settings_free(s->file);
        free(s);
    }
}

void
control_settings_help(FILE *out)
{
    settings_help(settings_table, N_SETTINGS, out);
}
