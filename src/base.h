/**
 * DOC: base - names, keys, time and limits that every module shares
 *
 * Times are signed microseconds.  Monotonic times count from boot and go on
 * while the machine sleeps; wall times count from the Unix epoch.
 */
#ifndef BM_BASE_H
#define BM_BASE_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#define BM_VERSION "0.1.0"

enum {
    NAME_SIZE = 48,      /* longest name with its terminator, bytes */
    ADDRESS_SIZE = 64,   /* "host:port" or "http://host:port", bytes */
    KEY_TEXT_SIZE = 129, /* longest Idempotency-Key with terminator */
    JOB_TASKS_MAX = 250, /* tasks in one job */
    VOTERS_PER_ZONE = 3, /* claim voters of an availability zone */
    ZONES_MAX = 16,      /* availability zones of one region */
    INSTANCES_MAX = 256, /* entry instances of one region */
    DETAIL_SIZE = 160,   /* text in a problem or log line, bytes */
};

#define USEC_PER_MSEC INT64_C(1000)
#define USEC_PER_SEC INT64_C(1000000)

/** struct name - a short identifier: instance, zone, service, upstream */
struct name {
    char s[NAME_SIZE];
};

/** struct address - where a process listens, as text */
struct address {
    char s[ADDRESS_SIZE];
};

/** struct key_id - 128-bit hash that stands for an Idempotency-Key */
struct key_id {
    uint64_t hi;
    uint64_t lo;
};

/**
 * struct moment - the time an event carries; reducers read no clock
 * @mono_us: monotonic time, for timeouts and leases
 * @wall_us: wall time, for the issue times of keys
 */
struct moment {
    int64_t mono_us;
    int64_t wall_us;
};

/**
 * struct resources - what a task needs or an upstream has
 * @cpu_milli: thousandths of a processor
 * @memory_mb: mebibytes
 * @accelerators: whole accelerators
 */
struct resources {
    uint32_t cpu_milli;
    uint32_t memory_mb;
    uint32_t accelerators;
};

/** name_of() - copies text into a name, cut to NAME_SIZE - 1 bytes */
struct name name_of(const char *text);

/** name_equal() - whether two names are the same text */
bool name_equal(struct name a, struct name b);

/** name_empty() - whether a name holds no text */
bool name_empty(struct name a);

/** address_of() - copies text into an address, cut to its size */
struct address address_of(const char *text);

/** key_id_of() - hashes the text of an Idempotency-Key */
struct key_id key_id_of(const char *text);

/** key_id_equal() - whether two key ids are the same */
bool key_id_equal(struct key_id a, struct key_id b);

/** key_id_format() - writes 32 hex digits and a terminator to @out */
void key_id_format(struct key_id id, char out[33]);

/** resources_fit() - whether @need fits into @have in every dimension */
bool resources_fit(struct resources need, struct resources have);

/** random_next() - next number of a seeded generator (splitmix64), whose state
 * may begin with any number; for what must come out the same again, not for
 * secrets */
uint64_t random_next(uint64_t *state);

#endif
