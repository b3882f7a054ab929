/**
 * DOC: member - which entry instances are up (soft state, heartbeats)
 *
 * The settings name every instance; heartbeats with incarnations say which are
 * up and carry their load.  A member is up from its first heartbeat until
 * member_timeout_us of silence, a newer incarnation, or its own word that it
 * is stopping (it then stays reachable but takes no new duties).
 */
#ifndef BM_MEMBER_H
#define BM_MEMBER_H

#include "entry_state.h"

struct member {
    struct name name; /* first: looked up by it */
    struct name zone;
    bool self;
    bool up;
    bool stopping;
    uint64_t incarnation; /* newest met, 0 is none */
    int64_t heard_us;     /* monotonic */
    uint64_t config_version;
    struct rec_load *loads; /* as it told last */
    size_t n_loads;
    int64_t loads_received_us; /* when it did, monotonic */
};

struct members *members_new(const struct entry *e);
void members_free(struct members *m);

/** members_by_name() - the member of that name, or NULL; self is one */
struct member *members_by_name(const struct entry *e, struct name name);

/** members_index() - a small number for a member, the same until the end */
uint16_t members_index(const struct entry *e, const struct member *m);

/** members_by_index() - the member of that number */
struct member *members_by_index(const struct entry *e, uint16_t index);

/** members_next() - iterates in the order of names: start with *@at = 0 */
struct member *members_next(const struct entry *e, size_t *at);

/** members_zones() - the region's zones sorted by name; @n their number */
const struct name *members_zones(const struct entry *e, size_t *n);

/** members_voters() - the claim voters of a zone: its instances in the order
 * of names, filled up from the other zones; the same on every instance.
 * Returns how many there are, at most VOTERS_PER_ZONE. */
size_t members_voters(const struct entry *e, struct name zone,
                      struct name voters[VOTERS_PER_ZONE]);

/** members_send_to_zone() - copies of a message to the up members of our zone
 * other than self; frees @m */
void members_send_to_zone(struct entry *e, struct msg *m);

/** members_add_renewal() - notes an upstream's renewal for the next heartbeat
 */
void members_add_renewal(struct entry *e, struct name upstream,
                         uint64_t incarnation, uint32_t busy);

/** members_mark_seen() - somebody spoke in that incarnation; false when a
 * newer one is known and the words are to be ignored */
bool members_mark_seen(struct entry *e, struct member *m,
                       uint64_t incarnation);

void members_on_heartbeat(struct entry *e, struct name from,
                          const struct rec_heartbeat *hb);
void members_on_connection(struct entry *e, struct name peer, bool up);
void members_tick(struct entry *e);
int64_t members_next_us(const struct entry *e);

/** members_announce_stopping() - says at once that this instance is stopping
 */
void members_announce_stopping(struct entry *e);

/** members_after_pause() - this process slept: nobody is known to be up */
void members_after_pause(struct entry *e);

#endif
