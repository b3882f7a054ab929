#include "claim_sync.h"

#include <stdlib.h>
#include <syslog.h>

#include "member.h"
#include "vote.h"

enum {
    SYNC_PAGE = 1024,  /* table entries in one page */
    SYNC_TIMEOUTS = 4, /* between requests, in claim timeouts */
};

static struct peer_voter *
find_peer_voter(struct zone_voter *v, struct name name)
{
    for (size_t i = 0; v != NULL && i < v->n_peers; i++) {
        if (name_equal(v->peers[i].name, name)) {
            return &v->peers[i];
        }
    }
    return NULL;
}

static void
send_page_request(struct entry *e, struct name zone,
                  const struct peer_voter *p)
{
    struct msg m = {.kind = MSG_SYNC_REQUEST};

    m.u.sync_request.zone = zone;
    m.u.sync_request.incarnation = e->opts.incarnation;
    m.u.sync_request.page = p->next_page;
    entry_send(e, p->name, &m);
}

static void
encode_record(const struct entry *e, const struct claim *r,
              struct rec_claim_copy *to)
{
    to->key = r->id;
    to->expires_us = (uint64_t)r->expires_us;
    to->digest = r->digest;
    to->purpose = r->purpose;
    to->attempt = r->attempt;
    to->incarnation = r->incarnation;
    if (!r->contested) {
        to->claimer = members_by_index(e, r->claimer_index)->name;
    }
}

/* A page is a range of indices in the table.  Records do not move, so a record
 * that exists during the whole transfer is in exactly one page.  A record
 * added in a range already sent was granted after the first request, so the
 * requesting voter lacks it.  This is safe: the reply to that grant names the
 * new incarnation of the requesting voter, and the claimer then discards the
 * grants of that voter's earlier incarnation, see grant_stale(). */
static void
fill_page(struct entry *e, int zone, struct rec_sync_reply *reply)
{
    const struct table *t = &e->claims->records;
    uint64_t end = (reply->page + 1) * SYNC_PAGE;
    uint32_t at = (uint32_t)(reply->page * SYNC_PAGE);
    struct handle h;
    const struct claim *r;

    reply->claims = calloc(SYNC_PAGE, sizeof(*reply->claims));
    if (reply->claims == NULL) {
        abort();
    }
    while ((r = table_next(t, &at, &h)) != NULL && h.index <= end) {
        if (r->zone_index == zone && r->expires_us > e->now.wall_us) {
            encode_record(e, r, &reply->claims[reply->n_claims++]);
        }
    }
    reply->more = end < t->places ? 1 : 0;
}

bool
claim_sync_on_request(struct entry *e, struct name from,
                      const struct rec_sync_request *m)
{
    struct zone_voter *v = vote_zone_voter(e, m->zone);
    struct member *requester = members_by_name(e, from);
    struct msg reply = {.kind = MSG_SYNC_REPLY};
    struct rec_sync_reply *r = &reply.u.sync_reply;

    if (find_peer_voter(v, from) == NULL ||
        m->page > e->claims->records.places / SYNC_PAGE ||
        !members_mark_seen(e, requester, m->incarnation)) {
        return false;
    }
    r->zone = m->zone;
    r->incarnation = e->opts.incarnation;
    r->for_incarnation = m->incarnation;
    r->ready = v->ready ? 1 : 0;
    r->page = m->page;
    if (v->ready) {
        fill_page(e, vote_zone_index(e, m->zone), r);
    }
    entry_send(e, from, &reply);
    return true;
}

/* If two voters report different claimers, this voter's lost vote may have
 * given either of them the majority.  Keeping one of them could hide the
 * winner once the other releases the key, so the record is marked contested
 * and this voter does not vote on the key for the rest of the claim window. */
static void
merge_copy(struct claim *r, const struct rec_claim_copy *c, uint16_t claimer,
           bool contested)
{
    if (!r->copied) {
        return; /* this voter's own vote takes precedence */
    }
    if (contested || r->claimer_index != claimer ||
        r->incarnation != c->incarnation) {
        r->contested = 1;
        return;
    }
    if (c->attempt > r->attempt) {
        r->attempt = c->attempt;
        r->digest = c->digest;
        r->purpose = c->purpose;
    }
}

static bool
store_copy(struct entry *e, int zone, const struct rec_claim_copy *c)
{
    bool contested = name_empty(c->claimer);
    const struct member *m = members_by_name(e, c->claimer);
    uint16_t claimer = m != NULL ? members_index(e, m) : 0;
    int64_t longest = vote_record_expiry_us(e, 0) + 2 * e->opts.clock_skew_us;
    struct claim *r;

    if ((m == NULL && !contested) || c->purpose > CLAIM_CANCEL ||
        c->expires_us > (uint64_t)longest) {
        return false;
    }
    r = vote_find_record(e, c->key);
    if (r != NULL) {
        merge_copy(r, c, claimer, contested);
        return true;
    }
    r = vote_add_record(e, c->key, zone);
    r->digest = c->digest;
    r->attempt = c->attempt;
    r->incarnation = c->incarnation;
    r->expires_us = (int64_t)c->expires_us;
    r->claimer_index = claimer;
    r->purpose = c->purpose;
    r->copied = 1;
    r->contested = contested ? 1 : 0;
    return true;
}

static void
mark_ready(struct entry *e, struct zone_voter *v, const char *how)
{
    v->ready = true;
    entry_log(e, LOG_NOTICE, REASON_SYNCED, NULL, -1, name_of(""),
              "votes on all keys, %s; %zu claims", how, claims_count(e));
}

static void
mark_synced(struct entry *e, struct zone_voter *v, struct peer_voter *p)
{
    p->synced = true;
    for (size_t i = 0; i < v->n_peers; i++) {
        if (!v->peers[i].synced) {
            return;
        }
    }
    mark_ready(e, v, "claims copied from every other voter");
}

/* Pages of different incarnations of the sender are not combined: the later
 * incarnation may lack records that were in the earlier pages. */
static bool
is_expected_page(struct peer_voter *p, const struct rec_sync_reply *m)
{
    if (m->incarnation != p->incarnation) {
        p->incarnation = m->incarnation;
        p->next_page = 0;
        p->synced = false;
    }
    return m->page == p->next_page && !p->synced;
}

bool
claim_sync_on_reply(struct entry *e, struct name from,
                    const struct rec_sync_reply *m)
{
    struct zone_voter *v = vote_zone_voter(e, m->zone);
    struct peer_voter *p = find_peer_voter(v, from);
    bool valid = true;

    if (p == NULL ||
        !members_mark_seen(e, members_by_name(e, from), m->incarnation)) {
        return false;
    }
    if (v->ready || m->ready == 0 ||
        m->for_incarnation != e->opts.incarnation || !is_expected_page(p, m)) {
        return true;
    }
    for (size_t i = 0; i < m->n_claims; i++) {
        valid =
            store_copy(e, vote_zone_index(e, m->zone), &m->claims[i]) && valid;
    }
    if (m->more != 0) {
        p->next_page++;
        send_page_request(e, m->zone, p);
    }
    else if (valid) {
        mark_synced(e, v, p);
    }
    return valid;
}

static void
send_page_requests(struct entry *e, struct name zone, struct zone_voter *v)
{
    for (size_t i = 0; i < v->n_peers; i++) {
        struct peer_voter *p = &v->peers[i];

        if (!p->synced && members_by_name(e, p->name)->up) {
            send_page_request(e, zone, p);
        }
    }
}

/* Monotonic time at which all claims made before this start have expired. */
static int64_t
old_claims_expired_us(const struct entry *e)
{
    return e->claims->start.mono_us + e->opts.claim_window_us +
           2 * e->opts.clock_skew_us;
}

bool
claim_sync_needed(const struct entry *e)
{
    size_t n;

    (void)members_zones(e, &n);
    for (size_t i = 0; i < n; i++) {
        if (e->claims->zone_voters[i].is_voter &&
            !e->claims->zone_voters[i].ready) {
            return true;
        }
    }
    return false;
}

void
claim_sync_tick(struct entry *e)
{
    size_t n;
    const struct name *zones = members_zones(e, &n);
    bool expired = e->now.mono_us >= old_claims_expired_us(e);

    for (size_t i = 0; i < n; i++) {
        struct zone_voter *v = &e->claims->zone_voters[i];

        if (!v->is_voter || v->ready) {
            continue;
        }
        if (expired) {
            mark_ready(e, v, "the claim window has passed");
            continue;
        }
        send_page_requests(e, zones[i], v);
    }
    e->claims->sync_due_us =
        e->now.mono_us + SYNC_TIMEOUTS * e->opts.claim_timeout_us;
}

void
claim_sync_member_up(struct entry *e, struct name member)
{
    size_t n;
    const struct name *zones = members_zones(e, &n);

    for (size_t i = 0; i < n; i++) {
        struct zone_voter *v = &e->claims->zone_voters[i];
        struct peer_voter *p = find_peer_voter(v, member);

        if (v->is_voter && !v->ready && p != NULL && !p->synced) {
            send_page_request(e, zones[i], p);
        }
    }
}
