#include "entry_settings.h"

#include <stdlib.h>
#include <string.h>

#include "log.h"

enum {
    HOUR_MS = 3600000,
    INBOX = 16384, /* capacity of the event queue; a power of two */
};

/* Keys of [limits] that set a member of struct runtime_options, multiplied by
 * the factor: LIMIT(key, unit, min, max, default, member, factor, help). */
/* clang-format off */
#define LIMIT_LIST(LIMIT)                                                     \
    LIMIT("claim_window_s", "s", 10, 86400, "600",                            \
        entry.claim_window_us, USEC_PER_SEC,                                  \
        "how long claims of keys are kept")                                   \
    LIMIT("clock_skew_ms", "ms", 0, 60000, "5000",                            \
        entry.clock_skew_us, USEC_PER_MSEC,                                   \
        "maximum difference between wall clocks")                             \
    LIMIT("claim_timeout_ms", "ms", 1, 10000, "50",                           \
        entry.claim_timeout_us, USEC_PER_MSEC,                                \
        "time limit of one round of votes")                                   \
    LIMIT("heartbeat_ms", "ms", 20, 10000, "500",                             \
        entry.heartbeat_us, USEC_PER_MSEC, "interval of heartbeats")          \
    LIMIT("member_timeout_ms", "ms", 50, 60000, "2000",                       \
        entry.member_timeout_us, USEC_PER_MSEC,                               \
        "silence after which an instance is down")                            \
    LIMIT("renew_ms", "ms", 50, 60000, "2000",                                \
        entry.renew_us, USEC_PER_MSEC, "interval of upstream announcements")  \
    LIMIT("upstream_ttl_ms", "ms", 100, 300000, "6000",                       \
        entry.upstream_ttl_us, USEC_PER_MSEC,                                 \
        "silence after which an upstream is removed")                         \
    LIMIT("grant_ms", "ms", 50, 60000, "2000",                                \
        entry.grant_us, USEC_PER_MSEC, "lease of lent slots")                 \
    LIMIT("answer_keep_s", "s", 1, 86400, "120",                              \
        entry.answer_keep_us, USEC_PER_SEC, "how long answers are kept")      \
    LIMIT("answer_keep_mb", "MiB", 1, 65536, "64",                            \
        entry.answer_keep_bytes, 1 << 20, "memory limit of kept answers")     \
    LIMIT("queue_max", "tasks", 1, 10000000, "20000",                         \
        entry.queue_max, 1, "limit of queued tasks")                          \
    LIMIT("retry_percent", "%", 0, 100, "20",                                 \
        entry.retry_percent, 1, "retries allowed per 100 starts")             \
    LIMIT("quarantine_after", "failures", 1, 1000, "5",                       \
        entry.quarantine_after, 1, "consecutive failures of an upstream")     \
    LIMIT("quarantine_percent", "%", 0, 100, "34",                            \
        entry.quarantine_percent, 1,                                          \
        "limit of a service's quarantined upstreams")                         \
    LIMIT("http_threads", "threads", 1, 64, "4",                              \
        http.threads, 1, "threads of the HTTP server")                        \
    LIMIT("http_connections", "connections", 16, 1000000, "16384",            \
        http.connections, 1, "limit of connections of callers")               \
    LIMIT("body_max_kb", "KiB", 1, 65536, "4096",                             \
        http.body_max, 1024, "maximum size of a request body")                \
    LIMIT("bodies_max_mb", "MiB", 1, 65536, "256",                            \
        http.body_bytes_max, 1 << 20,                                         \
        "memory limit of request bodies that are being read")                 \
    LIMIT("body_timeout_ms", "ms", 10, HOUR_MS, "5000",                       \
        http.body_timeout_ms, 1, "time limit for receiving a request body")   \
    LIMIT("idle_timeout_s", "s", 1, 3600, "75",                               \
        http.idle_timeout_s, 1, "idle time until a connection is closed")     \
    LIMIT("upstream_threads", "threads", 1, UPCLIENT_THREADS_MAX, "4",        \
        upstreams.threads, 1, "threads of the client for upstreams")          \
    LIMIT("upstream_connections", "connections", 1, 65536, "64",              \
        upstreams.connections_per_upstream, 1,                                \
        "limit of connections to one upstream")                               \
    LIMIT("connect_timeout_ms", "ms", 1, 60000, "1000",                       \
        upstreams.connect_timeout_ms, 1,                                      \
        "time limit for connecting to an upstream")                           \
    LIMIT("control_timeout_ms", "ms", 10, 60000, "1000",                      \
        upstreams.control_timeout_ms, 1,                                      \
        "time limit for control requests to an upstream")                     \
    LIMIT("upstream_idle_s", "s", 1, 3600, "15",                              \
        upstreams.idle_s, 1, "idle time until a connection is not reused")    \
    LIMIT("result_max_kb", "KiB", 1, 65536, "1024",                           \
        upstreams.result_max, 1024, "maximum size of a task's result")        \
    LIMIT("peer_buffer_mb", "MiB", 1, 1024, "32",                             \
        peers.send_max, 1 << 20, "limit of unsent messages to one instance")
/* clang-format on */

static const struct setting table[] = {
    {"instance", "name", SETTING_NAME, true, NULL, 0, 0, NULL, NULL,
     "name of this instance; section [peer NAME] must exist"},
    {"instance", "zone", SETTING_NAME, true, NULL, 0, 0, NULL, NULL,
     "availability zone of this instance"},
    {"instance", "listen_http", SETTING_ADDRESS, true, NULL, 0, 0, NULL, NULL,
     "listening address for callers, upstreams and operators"},
    {"instance", "listen_peer", SETTING_ADDRESS, true, NULL, 0, 0, NULL, NULL,
     "listening address for other instances"},
    {"instance", "services", SETTING_TEXT, false, NULL, 1, 180, NULL, NULL,
     "directory of service files, until control has a configuration"},
    {"instance", "log_level", SETTING_CHOICE, false, NULL, 0, 0, "info",
     "emerg|alert|crit|err|warning|notice|info|debug",
     "lowest severity that is logged"},
    {"instance", "prefer", SETTING_CHOICE, false, NULL, 0, 0, "response-time",
     "response-time|fewer-messages", "which of the two to optimize"},
    {"instance", "stop_grace_ms", SETTING_INT, false, "ms", 0, HOUR_MS, "500",
     NULL,
     "time from the first 503 of the health check to closing the listener"},
    {"peer *", "zone", SETTING_NAME, true, NULL, 0, 0, NULL, NULL,
     "availability zone of the instance"},
    {"peer *", "address", SETTING_ADDRESS, true, NULL, 0, 0, NULL, NULL,
     "listen_peer of the instance"},
    {"control *", "address", SETTING_ADDRESS, true, NULL, 0, 0, NULL, NULL,
     "address where this bm-control listens for other processes"},
#define LIMIT(key, unit, min, max, fallback, member, factor, help)            \
    {"limits", key, SETTING_INT, false, unit, min, max, fallback, NULL, help},
    LIMIT_LIST(LIMIT)
#undef LIMIT
};

enum { TABLE = sizeof(table) / sizeof(table[0]) };

static void
read_limits(struct entry_settings *s)
{
    struct runtime_options *o = &s->runtime;

#define LIMIT(key, unit, min, max, fallback, member, factor, help)            \
    o->member =                                                               \
        (__typeof__(o->member))(settings_int(s->file, "limits", key) *        \
                                (factor));
    LIMIT_LIST(LIMIT)
#undef LIMIT
}

static void
add_remote(struct entry_settings *s, const char *kind, const char *name)
{
    struct peer_options *p = &s->runtime.peers;
    struct peer_remote *r = &s->remotes[p->n_remotes++];

    r->name = name_of(name);
    r->address =
        address_of(settings_named_text(s->file, kind, name, "address"));
}

static void
read_peers(struct entry_settings *s)
{
    size_t n = settings_count(s->file, "peer");

    if (n > INSTANCES_MAX) {
        settings_add_error(s->file, 0, "more than %d peers", INSTANCES_MAX);
        return;
    }
    for (size_t i = 0; i < n; i++) {
        const char *name = settings_name(s->file, "peer", i);

        s->peers[i].name = name_of(name);
        s->peers[i].zone =
            name_of(settings_named_text(s->file, "peer", name, "zone"));
        add_remote(s, "peer", name);
    }
    s->runtime.entry.peers = s->peers;
    s->runtime.entry.n_peers = n;
}

static void
read_controls(struct entry_settings *s)
{
    size_t n = settings_count(s->file, "control");

    if (n > INSTANCES_MAX) {
        settings_add_error(s->file, 0, "more than %d controls", INSTANCES_MAX);
        return;
    }
    for (size_t i = 0; i < n; i++) {
        const char *name = settings_name(s->file, "control", i);

        s->controls[i] = name_of(name);
        add_remote(s, "control", name);
    }
    s->runtime.entry.controls = s->controls;
    s->runtime.entry.n_controls = n;
}

/* Detects a file that was copied from another instance and not fully changed.
 * Two instances with the same name, or an instance with two zones, would cast
 * votes that count for the wrong voter. */
static void
check_self(struct entry_settings *s)
{
    struct settings *f = s->file;
    const char *name = settings_text(f, "instance", "name");
    const char *zone = settings_named_text(f, "peer", name, "zone");
    int line = settings_line(f, "instance", "name");

    if (zone == NULL) {
        settings_add_error(f, line, "there is no section [peer %s]", name);
        return;
    }
    if (strcmp(zone, settings_text(f, "instance", "zone")) != 0) {
        settings_add_error(f, settings_line(f, "instance", "zone"),
                           "[peer %s] has the zone '%s'", name, zone);
    }
    for (size_t i = 0; i < s->runtime.entry.n_controls; i++) {
        for (size_t j = 0; j < s->runtime.entry.n_peers; j++) {
            if (name_equal(s->controls[i], s->peers[j].name)) {
                settings_add_error(f, 0, "'%s' is a peer and a control",
                                   s->controls[i].s);
            }
        }
    }
}

static void
check_times(struct entry_settings *s)
{
    const struct entry_options *o = &s->runtime.entry;

    if (o->member_timeout_us < 2 * o->heartbeat_us) {
        settings_add_error(
            s->file, settings_line(s->file, "limits", "member_timeout_ms"),
            "member_timeout_ms must be at least twice heartbeat_ms");
    }
    if (o->upstream_ttl_us < 2 * o->renew_us) {
        settings_add_error(s->file,
                           settings_line(s->file, "limits", "upstream_ttl_ms"),
                           "upstream_ttl_ms must be at least twice renew_ms");
    }
}

static void
read_values(void *user)
{
    struct entry_settings *s = user;
    struct runtime_options *o = &s->runtime;
    const struct settings *f = s->file;

    o->entry = entry_options_default();
    o->http = httpd_options_default();
    o->peers = peer_options_default();
    o->upstreams = upclient_options_default();
    o->inbox = INBOX;
    read_limits(s);
    o->entry.self = name_of(settings_text(f, "instance", "name"));
    o->entry.fewer_messages = settings_choice(f, "instance", "prefer") == 1;
    o->peers.self = o->entry.self;
    o->peers.heartbeat_us = o->entry.heartbeat_us;
    o->peers.remotes = s->remotes;
    o->upstreams.self = o->entry.self;
    o->http.listen = address_of(settings_text(f, "instance", "listen_http"));
    o->peers.listen = address_of(settings_text(f, "instance", "listen_peer"));
    s->services_dir = settings_text(f, "instance", "services");
    s->log_level = settings_choice(f, "instance", "log_level");
    s->stop_grace_ms = settings_int(f, "instance", "stop_grace_ms");
    read_peers(s);
    read_controls(s);
    check_self(s);
    check_times(s);
}

struct entry_settings *
entry_settings_read(const char *path, FILE *errors)
{
    struct entry_settings *s = calloc(1, sizeof(*s));

    if (s != NULL &&
        !settings_load(&s->file,
                       &(struct settings_load){table, TABLE, read_values, s},
                       path, errors)) {
        entry_settings_free(s);
        s = NULL;
    }
    return s;
}

void
entry_settings_free(struct entry_settings *s)
{
    if (s != NULL) {
        settings_free(s->file);
        free(s);
    }
}

void
entry_settings_help(FILE *out)
{
    settings_help(table, TABLE, out);
}
