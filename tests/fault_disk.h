/**
 * DOC: fault_disk - simulated disk in memory that injects faults
 *
 * Written data is durable only after a sync: file content after a sync of the
 * file, file names after a sync of the folder.  fault_disk_crash() keeps an
 * arbitrary part of the unsynced changes; the last write may be torn.
 */
#ifndef BM_FAULT_DISK_H
#define BM_FAULT_DISK_H

#include <stdbool.h>

#include "disk.h"

/**
 * struct fault_plan - faults to inject; 0 means no such fault
 * @power_at: power loss before this operation (1 is the next one); this and
 *            all later operations fail until fault_disk_crash()
 * @sync_fails_at: this sync of a file (1 is the next one) fails, once
 * @capacity: total size of all files, bytes; 0 is no limit
 */
struct fault_plan {
    uint64_t power_at;
    uint64_t sync_fails_at;
    uint64_t capacity;
};

const struct disk_ops *fault_disk_ops(void);
struct disk *fault_disk_new(void);
void fault_disk_free(struct disk *d);

/** fault_disk_plan() - replaces the plan */
void fault_disk_plan(struct disk *d, struct fault_plan plan);

/** fault_disk_operations() - number of write operations so far */
uint64_t fault_disk_operations(const struct disk *d);

/** fault_disk_crash() - simulates a power loss; @seed selects which unsynced
 * changes survive, 0 drops all of them */
void fault_disk_crash(struct disk *d, uint64_t seed);

/** fault_disk_wipe() - removes all files, as if the disk were replaced */
void fault_disk_wipe(struct disk *d);

/** fault_disk_flip() - flips one bit of the durable content of a file */
void fault_disk_flip(struct disk *d, const char *name, size_t offset);

/** fault_disk_size() - size of a file, bytes; 0 if there is no such file */
size_t fault_disk_size(const struct disk *d, const char *name);

#endif
