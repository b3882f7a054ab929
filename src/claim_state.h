/**
 * DOC: claim_state - state shared by the modules of the claim protocol
 *
 * vote.c keeps a voter's records and votes, claim_sync.c copies records from
 * the other voters after a restart, claim.c runs a claimer's attempts.
 */
#ifndef BM_CLAIM_STATE_H
#define BM_CLAIM_STATE_H

#include "claim.h"
#include "map.h"
#include "timers.h"

enum { PEER_VOTERS_MAX = VOTERS_PER_ZONE - 1 };

/* A voter's record of a granted claim.  Kept small, since there is one for
 * each key of the claim window. */
struct claim {
    struct key_id id; /* map key; must be first */
    struct handle self;
    uint64_t digest;
    uint64_t attempt;
    uint64_t incarnation;   /* of the claimer */
    int64_t expires_us;     /* wall time */
    uint16_t claimer_index; /* members_index() */
    uint8_t zone_index;     /* of the home zone in members_zones() */
    uint8_t purpose : 1;
    uint8_t copied : 1;    /* copied from another voter */
    uint8_t contested : 1; /* voters reported different claimers */
    uint8_t bare : 1;      /* the key has no time of issue */
};

/* Another voter of a zone for which this instance is a voter. */
struct peer_voter {
    struct name name;
    uint64_t incarnation; /* that sent the pages received so far */
    uint64_t next_page;   /* next page to request */
    bool synced;          /* all pages received */
};

/* This instance as a voter of one zone. */
struct zone_voter {
    bool is_voter; /* false if another set of instances votes for the zone */
    bool ready;    /* has records of all live claims of the zone */
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
    bool started;                             /* start is set */
    struct moment start;                      /* time of the first event */
    int64_t sync_due_us;
    int64_t sweep_due_us;
    uint32_t sweep_position;
};

#endif
