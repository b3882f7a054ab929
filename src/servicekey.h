/**
 * DOC: servicekey - keys of service files and their values
 */
#ifndef BM_SERVICEKEY_H
#define BM_SERVICEKEY_H

#include <stdio.h>

#include "service.h"

/* All keys, in the order of the canonical text:
 * KEY(name, kind, member, least, most, default, unit, description).
 * Bounds are in the unit of the file, those of MILLI keys in thousandths.  A
 * default of NULL makes the key required. */
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

enum servicekey_kind {
    SERVICEKEY_NAME,
    SERVICEKEY_COUNT,
    SERVICEKEY_MILLI, /* decimal with up to three places, in thousandths */
    SERVICEKEY_MSEC,  /* milliseconds in the file, microseconds in memory */
    SERVICEKEY_FLAG,
    SERVICEKEY_ORDER,
    SERVICEKEY_ZONES,
};

/** struct servicekey - one key of a section, from the lists above */
struct servicekey {
    const char *name;
    enum servicekey_kind kind;
    size_t offset; /* offset of the member in service_conf or team_conf */
    int64_t min_value;
    int64_t max_value;
    const char *default_value;
    const char *unit;
    const char *help_text;
};

/** struct servicekey_section - one kind of section: its keyword and its keys,
 * in the order of the canonical text */
struct servicekey_section {
    const char *keyword;
    const struct servicekey *keys;
    size_t n_keys;
};

extern const struct servicekey_section servicekey_services;
extern const struct servicekey_section servicekey_teams;

/** servicekey_range() - writes the allowed values of a key, as shown in docs
 * and error messages */
void servicekey_range(const struct servicekey *key, char *out, size_t size);

/** servicekey_name_valid() - whether @text is a valid name: 1 to NAME_SIZE - 1
 * characters of A-Z a-z 0-9 . _ - */
bool servicekey_name_valid(const char *text);

/** servicekey_parse() - parses a value and stores it in the service_conf or
 * team_conf @conf; false if the value is not allowed */
bool servicekey_parse(const struct servicekey *key, const char *text,
                      void *conf);

/** servicekey_print() - writes a value in the form that servicekey_parse()
 * reads */
void servicekey_print(FILE *f, const struct servicekey *key, const void *conf);

#endif
