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

#include "service.h"

#define SERVICEFILE_SUFFIX ".service.ini"

enum {
    SERVICEFILE_LINE_MAX = 1024,     /* longest line, bytes */
    SERVICEFILE_SIZE_MAX = 4 << 20,  /* largest text, bytes */
    SERVICEFILE_ERRORS_MAX = 1000,   /* listed; further ones are counted */
    SERVICEFILE_SERVICES_MAX = 4096, /* services of one configuration */
};

/* Every key once, in the order of the canonical text:
 * KEY(name, kind, member, least, most, default, unit, what it means).
 * Bounds are in the unit of the file; for CPUS in thousandths.  A default of
 * NULL makes the key required. */
/* clang-format off */
#define SERVICE_KEY_LIST(KEY)                                                 \
    KEY("team", NAME, team, 1, NAME_SIZE - 1, NULL, "name",                   \
        "team that owns the service; it has a section of its own")            \
    KEY("cpus", MILLI, need.cpu_milli, 0, 1024000, "1", "processors",         \
        "processors that a task needs, where it declares none")               \
    KEY("memory_mb", COUNT, need.memory_mb, 0, 16777216, "256", "MiB",        \
        "memory that a task needs, where it declares none")                   \
    KEY("accelerators", COUNT, need.accelerators, 0, 64, "0",                 \
        "accelerators",                                                       \
        "whole accelerators that a task needs, where it declares none")       \
    KEY("run_ms", MSEC, run_us, 1, 3600000, "200", "ms",                      \
        "expected run time of a task, until it is learned")                   \
    KEY("deadline_ms", MSEC, deadline_us, 10, 3600000, "10000", "ms",         \
        "deadline of a job that asks for none, from its submission")          \
    KEY("deadline_max_ms", MSEC, deadline_max_us, 10, 3600000, "60000", "ms", \
        "the longest deadline that a job may ask for")                        \
    KEY("idempotent", FLAG, idempotent, 0, 0, "false", "flag",                \
        "whether tasks may be placed again when it is unknown whether they "  \
        "ran, for jobs that say nothing")                                     \
    KEY("max_tasks", COUNT, max_tasks, 1, JOB_TASKS_MAX, "250", "tasks",      \
        "tasks in one job")                                                   \
    KEY("max_queued", COUNT, max_queued, 1, 10000000, "100000", "tasks",      \
        "tasks that may wait at one instance")                                \
    KEY("max_running", COUNT, max_running, 0, 10000000, "0", "tasks",         \
        "tasks running in the region at a time; 0 is no limit")               \
    KEY("spill", FLAG, spill, 0, 0, "true", "flag",                           \
        "whether upstreams of other zones may be used when those of its own " \
        "zone are full")                                                      \
    KEY("order", ORDER, order, 0, 0, "least-work", "word",                    \
        "order of the queue: least remaining work first, by arrival, or fair "\
        "shares between teams")                                               \
    KEY("zones", ZONES, zones, 0, ZONES_MAX, "", "names, with commas",        \
        "availability zones where it runs; none means everywhere")

#define TEAM_KEY_LIST(KEY)                                                    \
    KEY("max_running", COUNT, max_running, 0, 10000000, "0", "tasks",         \
        "tasks of the team running in the region at a time; 0 is no limit")   \
    KEY("starts_per_s", COUNT, starts_per_s, 0, 10000000, "0",                \
        "starts a second", "task starts of the team; 0 is no limit")          \
    KEY("weight", COUNT, weight, 1, 1000, "1", "shares",                      \
        "fair share against other teams")
/* clang-format on */

enum servicefile_kind {
    SERVICEFILE_NAME,
    SERVICEFILE_COUNT,
    SERVICEFILE_MILLI, /* decimal with up to three places, in thousandths */
    SERVICEFILE_MSEC,  /* milliseconds in the file, microseconds in memory */
    SERVICEFILE_FLAG,
    SERVICEFILE_ORDER,
    SERVICEFILE_ZONES,
};

/** struct servicefile_key - one key of a section, from the lists above */
struct servicefile_key {
    const char *name;
    enum servicefile_kind kind;
    size_t offset; /* of the member in service_conf or team_conf */
    int64_t least;
    int64_t most;
    const char *def;
    const char *unit;
    const char *text;
};

/** servicefile_service_keys() - the keys of a service; @n gets their number */
const struct servicefile_key *servicefile_service_keys(size_t *n);

/** servicefile_team_keys() - the keys of a team; @n gets their number */
const struct servicefile_key *servicefile_team_keys(size_t *n);

/** servicefile_range() - writes what a key allows, as in docs and errors */
void servicefile_range(const struct servicefile_key *key, char *out,
                       size_t size);

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
