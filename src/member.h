/**
 * DOC: member - which entry instances are up (soft state, heartbeats)
 *
 * The settings name every instance.  Heartbeats carry the incarnation and the
 * load of their sender.  A member is up from its first heartbeat until none
 * has come for member_timeout_us or a newer incarnation appears.  A member
 * that is stopping stays reachable, but gets no upstreams or kept answers any
 * more.
 */
#ifndef BM_MEMBER_H
#define BM_MEMBER_H

#include "entry_state.h"

struct member {
    struct name name; /* first: sort and search key */
    struct name zone;
    bool self; /* this instance */
    bool up;
    bool stopping;
    uint64_t incarnation; /* newest seen, 0 is none */
    int64_t last_seen_us; /* last heartbeat, monotonic */
    uint64_t config_version;
    uint64_t evacuation;    /* revision of the evacuated zones in force */
    struct rec_load *loads; /* from the last heartbeat that carried loads */
    size_t n_loads;
    int64_t loads_received_us; /* when @loads came in, monotonic */
};

/** members_new() - ends the process when memory is out */
struct members *members_new(const struct entry *e);
void members_free(struct members *m);

/** members_by_name() - the member of that name (also this instance), or
 * NULL */
struct member *members_by_name(const struct entry *e, struct name name);

/** members_index() - the index of a member in the order of names; constant
 * during the life of the process */
uint16_t members_index(const struct entry *e, const struct member *m);

/** members_by_index() - the member with that index */
struct member *members_by_index(const struct entry *e, uint16_t index);

/** members_next() - iterates in the order of names: start with *@at = 0 */
struct member *members_next(const struct entry *e, size_t *at);

/** members_zones() - the region's zones sorted by name; @n their number */
const struct name *members_zones(const struct entry *e, size_t *n);

/** members_voters() - the claim voters of a zone: its instances in the order
 * of names, filled up with instances of other zones; the same on every
 * instance.  Returns their number, at most VOTERS_PER_ZONE; 0 for a zone
 * without instances. */
size_t members_voters(const struct entry *e, struct name zone,
                      struct name voters[VOTERS_PER_ZONE]);

/** members_send_to_zone() - sends a message to all other members of this zone
 * that are up; frees @m */
void members_send_to_zone(struct entry *e, struct msg *m);

/** members_add_renewal() - adds an upstream's renewal to the next heartbeat */
void members_add_renewal(struct entry *e, struct name upstream,
                         uint64_t incarnation, uint32_t busy);

/** members_mark_seen() - records a sign of life of a member in @incarnation;
 * false if a newer incarnation is known and the message is to be ignored */
bool members_mark_seen(struct entry *e, struct member *m,
                       uint64_t incarnation);

/** members_on_heartbeat() - handles HEARTBEAT */
void members_on_heartbeat(struct entry *e, struct name from,
                          const struct rec_heartbeat *hb);

/** members_on_connection() - a connection to a member came up or broke */
void members_on_connection(struct entry *e, struct name peer, bool up);

/** members_tick() - times out members, sends heartbeats that are due */
void members_tick(struct entry *e);

/** members_next_us() - monotonic time of the next members_tick() */
int64_t members_next_us(const struct entry *e);

/** members_announce_stopping() - announces at once that this instance is
 * stopping */
void members_announce_stopping(struct entry *e);

/** members_after_pause() - resets timeouts and loads after a pause of this
 * process, during which no heartbeats were received */
void members_after_pause(struct entry *e);

#endif
