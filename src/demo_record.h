/**
 * DOC: demo_record - what all upstreams did, from their record files
 */
#ifndef BM_DEMO_RECORD_H
#define BM_DEMO_RECORD_H

#include "base.h"
#include "map.h"
#include "table.h"

/** struct demo_task - one task over all upstreams */
struct demo_task {
    struct key_id id; /* hash of "KEYHEX-INDEX"; first, for the map */
    uint32_t starts;
    uint32_t ends;
    bool ok; /* of the last end */
};

/** struct demo_records - all record files together */
struct demo_records {
    struct table tasks;
    struct map by_id;
    uint32_t files;
    uint32_t bad_lines;
    uint64_t starts;
    uint32_t started_twice;
    uint32_t cut_off; /* starts without an end at upstreams that left */
};

/** demo_records_init() - empty */
void demo_records_init(struct demo_records *r);

/** demo_records_clear() - frees the memory */
void demo_records_clear(struct demo_records *r);

/** demo_records_read() - adds every file *.record in a folder; false when it
 * cannot be read */
bool demo_records_read(struct demo_records *r, const char *dir);

/** demo_records_task() - task @index of the job with that key; NULL when no
 * upstream ever started it */
const struct demo_task *demo_records_task(const struct demo_records *r,
                                          const char *key, uint32_t index);

#endif
