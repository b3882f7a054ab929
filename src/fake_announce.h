/**
 * DOC: fake_announce - announces an upstream to the entry instances
 */
#ifndef BM_FAKE_ANNOUNCE_H
#define BM_FAKE_ANNOUNCE_H

#include "fake_server.h"

enum { FAKE_ENTRIES_MAX = 16 };

/**
 * struct fake_announce_options - what to announce, and to whom
 * @server: asked for the number of running tasks
 * @entries: base URLs of entry instances; the next one is tried on failure
 */
struct fake_announce_options {
    struct fake_server *server;
    struct name name;
    uint64_t incarnation;
    struct address address;
    struct name zone;
    struct name rack;
    struct name service;
    uint32_t slots;
    uint32_t connections;
    struct resources have;
    char entries[FAKE_ENTRIES_MAX][ADDRESS_SIZE];
    size_t n_entries;
};

struct fake_announce;

/** fake_announce_start() - announces from a thread of its own until it is
 * stopped; NULL when that cannot be started */
struct fake_announce *
fake_announce_start(const struct fake_announce_options *o);

/** fake_announce_leave() - stops announcing, says that it is leaving, and
 * frees @a.  Returns whether an entry instance took it. */
bool fake_announce_leave(struct fake_announce *a);

#endif
