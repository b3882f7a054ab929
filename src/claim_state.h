/**
 * DOC: claim_state - what the modules of the claims share
 *
 * vote.c keeps a voter's records, claim_sync.c takes them over after a
 * restart, claim.c makes a claimer's attempts.
 */
#ifndef BM_CLAIM_STATE_H
#define BM_CLAIM_STATE_H

#include "claim.h"
#include "map.h"
#include "timers.h"

enum { PEER_VOTERS_MAX = VOTERS_PER_ZONE - 1 };

/* A voter's record. Kept small: there is one for each key of the window. */
struct claim {
    struct key_id id; /* first: looked up by it */
    struct handle self;
    uint64_t digest;
    uint64_t attempt;
    uint64_t incarnation;   /* of the claimer */
    int64_t expires_us;     /* wall time */
    uint16_t claimer_index; /* number of the member */
    uint8_t zone_index;     /* number of the home zone */
    uint8_t purpose : 1;
    uint8_t copied : 1;    /* taken over from a fellow voter */
    uint8_t contested : 1; /* fellow voters named different claimers */
    uint8_t bare : 1;
};

/* Another voter of a zone that this instance votes for. */
struct peer_voter {
    struct name name;
    uint64_t incarnation; /* that answers our pages */
    uint64_t next_page;
    bool synced;
};

struct zone_voter {
    bool is_voter;
    bool ready; /* knows all live claims of the zone */
    struct peer_voter peers[PEER_VOTERS_MAX];
    size_t n_peers;
};

struct claims {
    struct table records;
    struct map records_by_key;
    struct table attempts;
    struct map attempts_by_number;
    struct timers timers;
    struct zone_voter zone_voters[ZONES_MAX]; /* as members_zones() */
    bool started;
    struct moment start;
    int64_t sync_due_us;
    int64_t sweep_due_us;
    uint32_t sweep_position;
};

#endif
