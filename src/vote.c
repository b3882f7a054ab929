#include "vote.h"

#include <stdlib.h>
#include <string.h>

#include "member.h"

enum {
    SWEEP_PARTS = 60, /* calls after which all records were checked */
    SWEEP_MIN = 64,   /* table entries checked in one call, at least */
};

void
vote_set_start_time(struct entry *e)
{
    struct claims *c = e->claims;

    if (!c->started) {
        c->started = true;
        c->start = e->now;
        c->sync_due_us = e->now.mono_us;
        c->sweep_due_us = e->now.mono_us + USEC_PER_SEC;
    }
}

int
vote_zone_index(const struct entry *e, struct name zone)
{
    size_t n;
    const struct name *zones = members_zones(e, &n);

    for (size_t i = 0; i < n; i++) {
        if (name_equal(zones[i], zone)) {
            return (int)i;
        }
    }
    return -1;
}

struct zone_voter *
vote_zone_voter(const struct entry *e, struct name zone)
{
    int i = vote_zone_index(e, zone);

    return i >= 0 && e->claims->zone_voters[i].is_voter
               ? &e->claims->zone_voters[i]
               : NULL;
}

void
vote_init(const struct entry *e, struct zone_voter *v, struct name zone)
{
    struct name voters[VOTERS_PER_ZONE];
    size_t n = members_voters(e, zone, voters);

    for (size_t i = 0; i < n; i++) {
        if (name_equal(voters[i], e->opts.self)) {
            v->is_voter = true;
        }
        else if (v->n_peers < PEER_VOTERS_MAX) {
            v->peers[v->n_peers++].name = voters[i];
        }
    }
    v->ready = e->opts.new_region || MUTANT(e, VOTE_AT_ONCE);
}

bool
claims_voter_ready(const struct entry *e, struct name zone)
{
    const struct zone_voter *v = vote_zone_voter(e, zone);

    return v != NULL && v->ready;
}

/* A record is kept longer than its key is valid, by twice the clock skew: an
 * instance whose clock is behind may still accept the key. */
int64_t
vote_record_expiry_us(const struct entry *e, int64_t issued_us)
{
    int64_t from = issued_us > 0 ? issued_us : e->now.wall_us;

    return from + e->opts.claim_window_us + 2 * e->opts.clock_skew_us;
}

static void
remove_record(struct claims *c, struct claim *r)
{
    (void)map_remove(&c->records_by_key, &r->id);
    table_remove(&c->records, r->self);
}

struct claim *
vote_find_record(const struct entry *e, struct key_id id)
{
    struct claim *r = map_get(&e->claims->records_by_key, &id);

    if (r != NULL && r->expires_us <= e->now.wall_us) {
        remove_record(e->claims, r);
        return NULL;
    }
    return r;
}

struct claim *
vote_add_record(struct entry *e, struct key_id id, int zone)
{
    struct handle h;
    struct claim *r = table_add(&e->claims->records, &h);

    r->id = id;
    r->self = h;
    r->zone_index = (uint8_t)zone;
    map_put(&e->claims->records_by_key, r);
    return r;
}

/* Whether this voter knows every claim that may exist for a key without a
 * record: it has records of all live claims, or the key was issued after the
 * start of this incarnation.  Voters refuse keys issued further in the future
 * than the clock skew, so an earlier incarnation cannot have granted a key
 * issued more than twice the skew after this start. */
static bool
may_vote(const struct entry *e, const struct zone_voter *v, int64_t issued_us)
{
    int64_t after_us = e->claims->start.wall_us + 2 * e->opts.clock_skew_us;

    return v->ready || (issued_us > 0 && issued_us > after_us);
}

static bool
too_old(const struct entry *e, int64_t issued_us)
{
    return issued_us > 0 &&
           issued_us + e->opts.claim_window_us < e->now.wall_us;
}

static bool
in_future(const struct entry *e, int64_t issued_us)
{
    return issued_us > e->now.wall_us + e->opts.clock_skew_us;
}

static void
fill_taken(const struct entry *e, const struct claim *r,
           struct rec_claim_reply *reply)
{
    reply->verdict = CLAIM_TAKEN;
    reply->claimer = members_by_index(e, r->claimer_index)->name;
    reply->claimer_incarnation = r->incarnation;
    reply->digest = r->digest;
    reply->purpose = r->purpose;
}

bool
claims_lookup(const struct entry *e, struct key_id id,
              struct claim_result *out)
{
    const struct claim *r = vote_find_record(e, id);

    if (r == NULL || r->contested) {
        return false;
    }
    memset(out, 0, sizeof(*out));
    out->outcome = CLAIM_OUTCOME_TAKEN;
    out->claimer = members_by_index(e, r->claimer_index)->name;
    out->incarnation = r->incarnation;
    out->digest = r->digest;
    out->purpose = (enum claim_purpose)r->purpose;
    return true;
}

static void
record_grant(struct entry *e, const struct rec_claim *m, uint16_t claimer,
             int zone)
{
    struct claim *r = vote_add_record(e, m->key, zone);

    r->digest = m->digest;
    r->attempt = m->attempt;
    r->incarnation = m->incarnation;
    r->expires_us = vote_record_expiry_us(e, (int64_t)m->issued_us);
    r->claimer_index = claimer;
    r->purpose = m->purpose;
    r->bare = m->issued_us == 0;
    e->counters.claims_granted++;
}

/* Votes on a key that has a record.  A copied record in a voter that is not
 * ready is not a vote: the claim was granted by another voter, and counting
 * that grant twice would make a majority out of one vote. */
static void
vote_on_record(struct entry *e, const struct zone_voter *v,
               const struct rec_claim *m, uint16_t claimer, struct claim *r,
               struct rec_claim_reply *reply)
{
    if (r->bare) {
        r->expires_us = vote_record_expiry_us(e, 0);
    }
    if (r->contested || (r->copied && !v->ready)) {
        reply->verdict = CLAIM_NOT_VOTING;
        return;
    }
    if (r->claimer_index != claimer || r->incarnation != m->incarnation) {
        fill_taken(e, r, reply);
        return;
    }
    if (m->attempt > r->attempt) {
        r->attempt = m->attempt;
        r->digest = m->digest;
        r->purpose = m->purpose;
    }
    reply->verdict = CLAIM_GRANTED;
}

static void
vote(struct entry *e, const struct zone_voter *v, const struct rec_claim *m,
     uint16_t claimer, struct rec_claim_reply *reply)
{
    int64_t issued = (int64_t)m->issued_us;
    struct claim *r = vote_find_record(e, m->key);

    if (too_old(e, issued)) {
        reply->verdict = CLAIM_TOO_OLD;
    }
    else if (r != NULL) {
        vote_on_record(e, v, m, claimer, r, reply);
    }
    else if (in_future(e, issued) || !may_vote(e, v, issued)) {
        reply->verdict = CLAIM_NOT_VOTING;
    }
    else {
        record_grant(e, m, claimer, vote_zone_index(e, m->zone));
        reply->verdict = CLAIM_GRANTED;
    }
}

static void
fill_lookup(struct entry *e, const struct zone_voter *v, struct key_id key,
            struct rec_claim_reply *reply)
{
    struct claim *r = vote_find_record(e, key);

    if (r != NULL && !r->contested) {
        fill_taken(e, r, reply);
    }
    else {
        reply->verdict = r == NULL && v->ready ? CLAIM_NONE : CLAIM_NOT_VOTING;
    }
}

/* Adds the newest known incarnations of the other voters to a reply, see
 * grant_stale() in claim.c. */
static void
add_views(const struct entry *e, const struct zone_voter *v,
          struct rec_claim_reply *reply)
{
    reply->voter_incarnation = e->opts.incarnation;
    reply->views = calloc(PEER_VOTERS_MAX, sizeof(*reply->views));
    if (reply->views == NULL) {
        abort();
    }
    for (size_t i = 0; i < v->n_peers; i++) {
        reply->views[i].voter = v->peers[i].name;
        reply->views[i].incarnation =
            members_by_name(e, v->peers[i].name)->incarnation;
    }
    reply->n_views = v->n_peers;
}

bool
vote_claim(struct entry *e, struct name from, const struct rec_claim *m,
           struct rec_claim_reply *reply)
{
    const struct zone_voter *v = vote_zone_voter(e, m->zone);
    struct member *claimer = members_by_name(e, from);

    if (v == NULL || claimer == NULL || m->purpose > CLAIM_CANCEL ||
        m->incarnation < claimer->incarnation || m->issued_us > INT64_MAX) {
        return false;
    }
    memset(reply, 0, sizeof(*reply));
    reply->key = m->key;
    reply->zone = m->zone;
    reply->attempt = m->attempt;
    vote(e, v, m, members_index(e, claimer), reply);
    add_views(e, v, reply);
    return true;
}

bool
vote_find(struct entry *e, const struct rec_claim_find *m,
          struct rec_claim_reply *reply)
{
    const struct zone_voter *v = vote_zone_voter(e, m->zone);

    if (v == NULL) {
        return false;
    }
    memset(reply, 0, sizeof(*reply));
    reply->key = m->key;
    reply->zone = m->zone;
    reply->attempt = m->attempt;
    fill_lookup(e, v, m->key, reply);
    add_views(e, v, reply);
    return true;
}

bool
vote_release(struct entry *e, struct name from,
             const struct rec_claim_release *m)
{
    struct member *claimer = members_by_name(e, from);
    struct claim *r = vote_find_record(e, m->key);

    if (claimer == NULL || vote_zone_voter(e, m->zone) == NULL) {
        return false;
    }
    if (r != NULL && !r->contested &&
        r->claimer_index == members_index(e, claimer) &&
        r->incarnation == m->incarnation && r->attempt <= m->attempt) {
        remove_record(e->claims, r);
    }
    return true;
}

/* Checks only a part of the records per call, so that no tick takes long. */
void
vote_sweep(struct entry *e)
{
    struct claims *c = e->claims;
    uint32_t left = c->records.places / SWEEP_PARTS + SWEEP_MIN;
    struct claim *r;

    while (left-- > 0) {
        r = table_next(&c->records, &c->sweep_position, NULL);
        if (r == NULL) {
            c->sweep_position = 0;
            break;
        }
        if (r->expires_us <= e->now.wall_us) {
            remove_record(c, r);
        }
    }
    c->sweep_due_us = e->now.mono_us + USEC_PER_SEC;
}

size_t
claims_count(const struct entry *e)
{
    return map_count(&e->claims->records_by_key);
}

size_t
claims_bytes(const struct entry *e)
{
    return table_bytes(&e->claims->records) +
           map_bytes(&e->claims->records_by_key);
}
