#include "claim.h"

#include <stdlib.h>
#include <string.h>
#include <syslog.h>

#include "jobs.h"
#include "map.h"
#include "member.h"
#include "timers.h"

enum {
    ROUNDS_MAX = 6,     /* of asking before an attempt is given up */
    LIFE_TIMEOUTS = 20, /* an attempt's longest life, in claim timeouts */
    SYNC_PAGE = 1024,   /* places of the table in one page */
    SWEEP_PARTS = 60,   /* ticks in which all records are looked at */
    SWEEP_MIN = 64,     /* places looked at in one tick */
    SYNC_TIMEOUTS = 4,  /* between requests, in claim timeouts */
    FELLOWS_MAX = VOTERS_PER_ZONE - 1,
};

/* A voter's record. Kept small: there is one for each key of the window. */
struct claim {
    struct key_id id; /* first: looked up by it */
    struct handle self;
    uint64_t digest;
    uint64_t attempt;
    uint64_t incarnation; /* of the claimer */
    int64_t expires_us;   /* wall time */
    uint16_t claimer;     /* number of the member */
    uint8_t zone;         /* number of the home zone */
    uint8_t purpose : 1;
    uint8_t copied : 1;    /* taken over from a fellow voter */
    uint8_t contested : 1; /* fellow voters named different claimers */
    uint8_t bare : 1;
};

/* Another voter of a zone that this instance votes for. */
struct fellow {
    struct name name;
    uint64_t incarnation; /* that answers our pages */
    uint64_t page;
    bool done;
};

struct voting {
    bool voter;
    bool ready; /* knows all live claims of the zone */
    struct fellow fellows[FELLOWS_MAX];
    size_t n_fellows;
};

/* One voter's part in an attempt. */
struct ask {
    struct name voter;
    bool asked;
    bool replied;
    enum claim_verdict verdict;
    uint64_t voter_incarnation;
    uint64_t newest; /* incarnation of the voter that anyone has met */
    uint16_t claimer;
    uint64_t incarnation;
    uint64_t digest;
    enum claim_purpose purpose;
};

struct attempt {
    uint64_t number; /* first: looked up by it */
    struct handle self;
    struct handle job;
    struct key_ref key;
    uint64_t digest;
    enum claim_purpose purpose;
    bool find;
    bool resting; /* a split vote: waits before it asks again */
    int rounds;
    int64_t begun_us;
    int64_t due_us;
    struct ask asks[VOTERS_PER_ZONE]; /* in the order of asking */
    size_t n_asks;
};

struct claims {
    struct table records;
    struct map by_key;
    struct table attempts;
    struct map by_number;
    struct timers timers;
    struct voting votings[ZONES_MAX]; /* as members_zones() */
    bool started;
    struct moment start;
    int64_t sync_due_us;
    int64_t sweep_due_us;
    uint32_t sweep_at;
};

static void attempt_step(struct entry *e, struct attempt *a);

static void
voting_init(const struct entry *e, struct voting *v, struct name zone)
{
    struct name voters[VOTERS_PER_ZONE];
    size_t n = members_voters(e, zone, voters);

    for (size_t i = 0; i < n; i++) {
        if (name_equal(voters[i], e->opts.self)) {
            v->voter = true;
        }
        else if (v->n_fellows < FELLOWS_MAX) {
            v->fellows[v->n_fellows++].name = voters[i];
        }
    }
    v->ready = e->opts.new_region || MUTANT(e, VOTE_AT_ONCE);
}

struct claims *
claims_new(const struct entry *e)
{
    struct claims *c = calloc(1, sizeof(*c));
    size_t n;
    const struct name *zones = members_zones(e, &n);

    if (c == NULL) {
        abort();
    }
    table_init(&c->records, sizeof(struct claim));
    map_init(&c->by_key, MAP_KEY_ID);
    table_init(&c->attempts, sizeof(struct attempt));
    map_init(&c->by_number, MAP_U64);
    for (size_t i = 0; i < n; i++) {
        voting_init(e, &c->votings[i], zones[i]);
    }
    return c;
}

void
claims_free(struct claims *c)
{
    if (c == NULL) {
        return;
    }
    table_clear(&c->records);
    map_clear(&c->by_key);
    table_clear(&c->attempts);
    map_clear(&c->by_number);
    timers_clear(&c->timers);
    free(c);
}

/* The first event's time stands for the start: what an earlier incarnation
 * granted, it granted before. */
static void
note_start(struct entry *e)
{
    struct claims *c = e->claims;

    if (!c->started) {
        c->started = true;
        c->start = e->now;
        c->sync_due_us = e->now.mono_us;
        c->sweep_due_us = e->now.mono_us + USEC_PER_SEC;
    }
}

/* Number of a zone, or -1. */
static int
zone_number(const struct entry *e, struct name zone)
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

static struct voting *
voting_of(const struct entry *e, struct name zone)
{
    int i = zone_number(e, zone);

    return i >= 0 && e->claims->votings[i].voter ? &e->claims->votings[i]
                                                 : NULL;
}

bool
claims_voting(const struct entry *e, struct name zone)
{
    const struct voting *v = voting_of(e, zone);

    return v != NULL && v->ready;
}

/* ---- the voter's records ---- */

/* A record outlives its key by the skew between clocks: an instance whose
 * clock is behind may still take the key. */
static int64_t
record_expiry(const struct entry *e, int64_t issued_us)
{
    int64_t from = issued_us > 0 ? issued_us : e->now.wall_us;

    return from + e->opts.claim_window_us + 2 * e->opts.clock_skew_us;
}

static void
record_remove(struct claims *c, struct claim *r)
{
    (void)map_remove(&c->by_key, &r->id);
    table_remove(&c->records, r->self);
}

static struct claim *
record_get(const struct entry *e, struct key_id id)
{
    struct claim *r = map_get(&e->claims->by_key, &id);

    if (r != NULL && r->expires_us <= e->now.wall_us) {
        record_remove(e->claims, r);
        return NULL;
    }
    return r;
}

static struct claim *
record_add(struct entry *e, struct key_id id, int zone)
{
    struct handle h;
    struct claim *r = table_add(&e->claims->records, &h);

    r->id = id;
    r->self = h;
    r->zone = (uint8_t)zone;
    map_put(&e->claims->by_key, r);
    return r;
}

/* Whether this voter can know all that was ever claimed under the key: it
 * knows all live claims, or the key is younger than its own life.  Voters
 * refuse keys issued further than the skew in the future, so an earlier
 * incarnation cannot have granted a key issued two skews after this start. */
static bool
may_vote(const struct entry *e, const struct voting *v, int64_t issued_us)
{
    int64_t born = e->claims->start.wall_us + 2 * e->opts.clock_skew_us;

    return v->ready || (issued_us > 0 && issued_us > born);
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
reply_taken(const struct entry *e, const struct claim *r,
            struct rec_claim_reply *reply)
{
    reply->verdict = CLAIM_TAKEN;
    reply->claimer = members_at(e, r->claimer)->name;
    reply->claimer_incarnation = r->incarnation;
    reply->digest = r->digest;
    reply->purpose = r->purpose;
}

static void
record_grant(struct entry *e, const struct rec_claim *m, uint16_t claimer,
             int zone)
{
    struct claim *r = record_add(e, m->key, zone);

    r->digest = m->digest;
    r->attempt = m->attempt;
    r->incarnation = m->incarnation;
    r->expires_us = record_expiry(e, (int64_t)m->issued_us);
    r->claimer = claimer;
    r->purpose = m->purpose;
    r->bare = m->issued_us == 0;
    e->counters.claims_granted++;
}

/* Decides on a key that is recorded already.  A copy in a voter that is not
 * ready is no vote: what another voter granted was not granted here, and
 * counted twice it would make a majority of one. */
static void
vote_again(struct entry *e, const struct voting *v, const struct rec_claim *m,
           uint16_t claimer, struct claim *r, struct rec_claim_reply *reply)
{
    if (r->bare) {
        r->expires_us = record_expiry(e, 0);
    }
    if (r->contested || (r->copied && !v->ready)) {
        reply->verdict = CLAIM_NOT_VOTING;
        return;
    }
    if (r->claimer != claimer || r->incarnation != m->incarnation) {
        reply_taken(e, r, reply);
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
vote(struct entry *e, const struct voting *v, const struct rec_claim *m,
     uint16_t claimer, struct rec_claim_reply *reply)
{
    int64_t issued = (int64_t)m->issued_us;
    struct claim *r = record_get(e, m->key);

    if (too_old(e, issued)) {
        reply->verdict = CLAIM_TOO_OLD;
    }
    else if (r != NULL) {
        vote_again(e, v, m, claimer, r, reply);
    }
    else if (in_future(e, issued) || !may_vote(e, v, issued)) {
        reply->verdict = CLAIM_NOT_VOTING;
    }
    else {
        record_grant(e, m, claimer, zone_number(e, m->zone));
        reply->verdict = CLAIM_GRANTED;
    }
}

static void
look_up(struct entry *e, const struct voting *v, struct key_id key,
        struct rec_claim_reply *reply)
{
    struct claim *r = record_get(e, key);

    if (r != NULL && !r->contested) {
        reply_taken(e, r, reply);
    }
    else {
        reply->verdict = r == NULL && v->ready ? CLAIM_NONE : CLAIM_NOT_VOTING;
    }
}

/* Every reply tells which incarnations of the fellow voters were met: see
 * grant_stale(). */
static void
reply_views(const struct entry *e, const struct voting *v,
            struct rec_claim_reply *reply)
{
    reply->voter_incarnation = e->opts.incarnation;
    reply->views = calloc(FELLOWS_MAX, sizeof(*reply->views));
    if (reply->views == NULL) {
        abort();
    }
    for (size_t i = 0; i < v->n_fellows; i++) {
        reply->views[i].voter = v->fellows[i].name;
        reply->views[i].incarnation =
            members_of(e, v->fellows[i].name)->incarnation;
    }
    reply->n_views = v->n_fellows;
}

/* Fills the reply to a claim or a find; false where it makes no sense. */
static bool
answer_claim(struct entry *e, struct name from, const struct rec_claim *m,
             struct rec_claim_reply *reply)
{
    const struct voting *v = voting_of(e, m->zone);
    struct member *claimer = members_of(e, from);

    if (v == NULL || claimer == NULL || m->purpose > CLAIM_CANCEL ||
        m->incarnation < claimer->incarnation || m->issued_us > INT64_MAX) {
        return false;
    }
    memset(reply, 0, sizeof(*reply));
    reply->key = m->key;
    reply->zone = m->zone;
    reply->attempt = m->attempt;
    vote(e, v, m, members_index(e, claimer), reply);
    reply_views(e, v, reply);
    return true;
}

static bool
answer_find(struct entry *e, const struct rec_claim_find *m,
            struct rec_claim_reply *reply)
{
    const struct voting *v = voting_of(e, m->zone);

    if (v == NULL) {
        return false;
    }
    memset(reply, 0, sizeof(*reply));
    reply->key = m->key;
    reply->zone = m->zone;
    reply->attempt = m->attempt;
    look_up(e, v, m->key, reply);
    reply_views(e, v, reply);
    return true;
}

static bool
answer_release(struct entry *e, struct name from,
               const struct rec_claim_release *m)
{
    struct member *claimer = members_of(e, from);
    struct claim *r = record_get(e, m->key);

    if (claimer == NULL || voting_of(e, m->zone) == NULL) {
        return false;
    }
    if (r != NULL && !r->contested &&
        r->claimer == members_index(e, claimer) &&
        r->incarnation == m->incarnation && r->attempt <= m->attempt) {
        record_remove(e->claims, r);
    }
    return true;
}

/* ---- the claimer's attempts ---- */

static void
attempt_due(struct entry *e, struct attempt *a, int64_t after_us)
{
    a->due_us = e->now.mono_us + after_us;
    timers_add(&e->claims->timers, a->due_us, a->self);
}

/* Asking order: ourselves, then voters that are up, near ones first; among
 * equals the key decides, so that the load spreads. */
static int
ask_rank(const struct entry *e, struct name voter)
{
    const struct member *m = members_of(e, voter);

    if (m->self) {
        return 0;
    }
    if (!m->up) {
        return 3;
    }
    return name_equal(m->zone, e->zone) ? 1 : 2;
}

static void
sort_asks(const struct entry *e, struct attempt *a)
{
    for (size_t i = 1; i < a->n_asks; i++) {
        for (size_t j = i; j > 0; j--) {
            struct ask *x = &a->asks[j - 1];
            struct ask *y = &a->asks[j];

            if (ask_rank(e, x->voter) > ask_rank(e, y->voter)) {
                struct ask z = *x;

                *x = *y;
                *y = z;
            }
        }
    }
}

static struct attempt *
attempt_new(struct entry *e, const struct key_ref *key, struct handle job)
{
    struct name voters[VOTERS_PER_ZONE];
    size_t n = members_voters(e, key->zone, voters);
    struct handle h;
    struct attempt *a = table_add(&e->claims->attempts, &h);

    a->number = entry_new_call(e);
    a->self = h;
    a->job = job;
    a->key = *key;
    a->begun_us = e->now.mono_us;
    a->n_asks = n;
    for (size_t i = 0; i < n; i++) {
        a->asks[i].voter = voters[(i + key->id.lo) % n];
    }
    sort_asks(e, a);
    map_put(&e->claims->by_number, a);
    return a;
}

static void
attempt_end(struct entry *e, struct attempt *a, const struct claim_result *r)
{
    struct handle job = a->job;

    (void)map_remove(&e->claims->by_number, &a->number);
    table_remove(&e->claims->attempts, a->self);
    jobs_claim_result(e, job, r);
}

static void
send_release(struct entry *e, struct name to, const struct key_ref *key,
             uint64_t attempt)
{
    struct msg m = {.kind = MSG_CLAIM_RELEASE};

    m.u.claim_release.key = key->id;
    m.u.claim_release.zone = key->zone;
    m.u.claim_release.attempt = attempt;
    m.u.claim_release.incarnation = e->opts.incarnation;
    if (name_equal(to, e->opts.self)) {
        (void)answer_release(e, to, &m.u.claim_release);
        return;
    }
    entry_send(e, to, &m);
}

/* To all voters, also those not asked: one that restarted may have copied the
 * record from one that was. */
static void
release_everywhere(struct entry *e, const struct key_ref *key,
                   uint64_t attempt)
{
    struct name voters[VOTERS_PER_ZONE];
    size_t n = members_voters(e, key->zone, voters);

    for (size_t i = 0; i < n; i++) {
        send_release(e, voters[i], key, attempt);
    }
}

/* An attempt that no voter can have recorded costs no release. */
static bool
maybe_recorded(const struct attempt *a)
{
    for (size_t i = 0; i < a->n_asks; i++) {
        const struct ask *k = &a->asks[i];

        if (k->asked && (!k->replied || k->verdict == CLAIM_GRANTED)) {
            return true;
        }
    }
    return false;
}

static void
attempt_give_up(struct entry *e, struct attempt *a,
                const struct claim_result *r)
{
    if (!a->find && maybe_recorded(a)) {
        release_everywhere(e, &a->key, a->number);
    }
    attempt_end(e, a, r);
}

static void
note_newest(struct attempt *a, struct name voter, uint64_t incarnation)
{
    for (size_t i = 0; i < a->n_asks; i++) {
        struct ask *k = &a->asks[i];

        if (name_equal(k->voter, voter) && incarnation > k->newest) {
            k->newest = incarnation;
        }
    }
}

static struct ask *
ask_of(struct attempt *a, struct name voter)
{
    for (size_t i = 0; i < a->n_asks; i++) {
        if (name_equal(a->asks[i].voter, voter)) {
            return &a->asks[i];
        }
    }
    return NULL;
}

/* Notes one voter's reply; false where it makes no sense. */
static bool
attempt_take(struct entry *e, struct attempt *a, struct name from,
             const struct rec_claim_reply *r)
{
    struct ask *k = ask_of(a, from);
    const struct member *claimer = NULL;

    if (k == NULL || !key_id_equal(a->key.id, r->key) ||
        r->verdict > CLAIM_NONE || r->purpose > CLAIM_CANCEL) {
        return false;
    }
    if (r->verdict == CLAIM_TAKEN) {
        claimer = members_of(e, r->claimer);
        if (claimer == NULL) {
            return false;
        }
        k->claimer = members_index(e, claimer);
    }
    for (size_t i = 0; i < r->n_views; i++) {
        note_newest(a, r->views[i].voter, r->views[i].incarnation);
    }
    note_newest(a, from, r->voter_incarnation);
    if (r->voter_incarnation < k->voter_incarnation) {
        return true; /* overtaken by a reply of a later incarnation */
    }
    k->asked = true;
    k->replied = true;
    k->verdict = (enum claim_verdict)r->verdict;
    k->voter_incarnation = r->voter_incarnation;
    k->incarnation = r->claimer_incarnation;
    k->digest = r->digest;
    k->purpose = (enum claim_purpose)r->purpose;
    return true;
}

static struct msg
ask_message(const struct entry *e, const struct attempt *a)
{
    struct msg m = {.kind = a->find ? MSG_CLAIM_FIND : MSG_CLAIM};

    if (a->find) {
        m.u.claim_find.key = a->key.id;
        m.u.claim_find.zone = a->key.zone;
        m.u.claim_find.attempt = a->number;
        return m;
    }
    m.u.claim.key = a->key.id;
    m.u.claim.zone = a->key.zone;
    m.u.claim.issued_us = (uint64_t)a->key.issued_us;
    m.u.claim.digest = a->digest;
    m.u.claim.purpose = a->purpose;
    m.u.claim.attempt = a->number;
    m.u.claim.incarnation = e->opts.incarnation;
    return m;
}

static void
ask_self(struct entry *e, struct attempt *a, const struct msg *m)
{
    struct rec_claim_reply reply;
    bool sense = a->find ? answer_find(e, &m->u.claim_find, &reply)
                         : answer_claim(e, e->opts.self, &m->u.claim, &reply);

    if (sense) {
        (void)attempt_take(e, a, e->opts.self, &reply);
        free(reply.views);
    }
}

static void
ask_voter(struct entry *e, struct attempt *a, struct ask *k)
{
    struct msg m = ask_message(e, a);

    k->asked = true;
    k->replied = false;
    if (name_equal(k->voter, e->opts.self)) {
        ask_self(e, a, &m);
        return;
    }
    entry_send(e, k->voter, &m);
}

/* What can go wrong: a voter grants a key to one claimer, restarts empty,
 * takes over the live claims of the others before the second grant is there,
 * and grants the key again to another claimer: each then has its majority
 * and the tasks start twice.  The voter that gave the second grant had
 * answered the restarted one's request before, so its reply names the newer
 * incarnation.  The grant of the older one then does not count. */
static bool
grant_stale(const struct entry *e, const struct ask *k)
{
    return k->voter_incarnation < k->newest ||
           k->voter_incarnation < members_of(e, k->voter)->incarnation;
}

struct tally {
    size_t grants;
    size_t none;
    size_t pending;
    size_t unasked;
    bool too_old;
    const struct ask *other; /* claimer that most voters name */
    size_t other_votes;
};

static size_t
votes_for(const struct attempt *a, const struct ask *k)
{
    size_t n = 0;

    for (size_t i = 0; i < a->n_asks; i++) {
        const struct ask *o = &a->asks[i];

        n += o->replied && o->verdict == CLAIM_TAKEN &&
                     o->claimer == k->claimer &&
                     o->incarnation == k->incarnation
                 ? 1
                 : 0;
    }
    return n;
}

/* Numbers of members rise with their names. */
static void
tally_taken(const struct attempt *a, const struct ask *k, struct tally *t)
{
    size_t votes = votes_for(a, k);

    if (t->other == NULL || votes > t->other_votes ||
        (votes == t->other_votes && k->claimer < t->other->claimer)) {
        t->other = k;
        t->other_votes = votes;
    }
}

static void
tally_reply(const struct attempt *a, const struct ask *k, struct tally *t)
{
    switch (k->verdict) {
    case CLAIM_GRANTED:
        t->grants++;
        break;
    case CLAIM_NONE:
        t->none++;
        break;
    case CLAIM_TAKEN:
        tally_taken(a, k, t);
        break;
    case CLAIM_TOO_OLD:
        t->too_old = true;
        break;
    default:
        break;
    }
}

static struct tally
tally_of(struct entry *e, struct attempt *a)
{
    struct tally t = {0};

    for (size_t i = 0; i < a->n_asks; i++) {
        struct ask *k = &a->asks[i];

        if (k->replied && k->verdict == CLAIM_GRANTED && grant_stale(e, k)) {
            ask_voter(e, a, k);
        }
        if (!k->asked) {
            t.unasked++;
        }
        else if (!k->replied) {
            t.pending++;
        }
        else {
            tally_reply(a, k, &t);
        }
    }
    return t;
}

static void
end_plain(struct entry *e, struct attempt *a, enum claim_end end)
{
    struct claim_result r = {.end = end};

    if (end == CLAIM_END_WON || end == CLAIM_END_ABSENT) {
        attempt_end(e, a, &r);
        return;
    }
    attempt_give_up(e, a, &r);
}

static void
end_other(struct entry *e, struct attempt *a, const struct ask *k)
{
    struct claim_result r = {
        .end = CLAIM_END_OTHER,
        .claimer = members_at(e, k->claimer)->name,
        .incarnation = k->incarnation,
        .digest = k->digest,
        .purpose = k->purpose,
    };

    attempt_give_up(e, a, &r);
}

static void
end_tried(struct entry *e, struct attempt *a, const struct tally *t)
{
    if (t->other != NULL) {
        end_other(e, a, t->other);
        return;
    }
    end_plain(e, a, CLAIM_END_UNAVAILABLE);
}

/* Nobody has a majority among the voters that replied.  Of two claimers the
 * one with the higher name gives its votes back and waits at the other; the
 * one with the lower name asks again a little later.  Names order them the
 * same way for both, so they do not both yield, nor both insist. */
static void
settle_split(struct entry *e, struct attempt *a, const struct tally *t)
{
    uint16_t self = members_index(e, members_of(e, e->opts.self));

    if (t->other != NULL && (t->grants == 0 || t->other->claimer <= self)) {
        entry_log(e, LOG_INFO, REASON_CLAIM_YIELDED, &a->key.id, -1,
                  members_at(e, t->other->claimer)->name,
                  "%zu votes, the other has %zu", t->grants, t->other_votes);
        end_other(e, a, t->other);
        return;
    }
    if (++a->rounds >= ROUNDS_MAX) {
        end_tried(e, a, t);
        return;
    }
    a->resting = true;
    attempt_due(e, a, entry_jitter(e, e->opts.claim_timeout_us / 4));
}

static bool
decide_claim(struct entry *e, struct attempt *a, const struct tally *t,
             size_t majority)
{
    if (t->too_old) {
        end_plain(e, a, CLAIM_END_TOO_OLD);
    }
    else if (t->grants >= majority) {
        end_plain(e, a, CLAIM_END_WON);
    }
    else if (t->other_votes >= majority) {
        end_other(e, a, t->other);
    }
    else {
        return false;
    }
    return true;
}

static bool
decide_find(struct entry *e, struct attempt *a, const struct tally *t,
            size_t majority)
{
    if (t->other != NULL) {
        end_other(e, a, t->other);
    }
    else if (t->none >= majority) {
        end_plain(e, a, CLAIM_END_ABSENT);
    }
    else {
        return false;
    }
    return true;
}

/* An attempt ends where its job did not wait for it, or where it took so long
 * (its process slept, say) that the first grants may have run out. */
static bool
attempt_over(const struct entry *e, const struct attempt *a)
{
    return jobs_of(e, a->job) == NULL ||
           e->now.mono_us - a->begun_us >
               LIFE_TIMEOUTS * e->opts.claim_timeout_us;
}

static void
ask_next(struct entry *e, struct attempt *a)
{
    for (size_t i = 0; i < a->n_asks; i++) {
        if (!a->asks[i].asked) {
            ask_voter(e, a, &a->asks[i]);
            return;
        }
    }
}

static void
attempt_step(struct entry *e, struct attempt *a)
{
    size_t majority = a->n_asks / 2 + 1;
    struct tally t;

    for (;;) {
        if (attempt_over(e, a)) {
            end_plain(e, a, CLAIM_END_UNAVAILABLE);
            return;
        }
        t = tally_of(e, a);
        if (a->find ? decide_find(e, a, &t, majority)
                    : decide_claim(e, a, &t, majority)) {
            return;
        }
        if (t.grants + t.none + t.pending >= majority || t.unasked == 0) {
            break;
        }
        ask_next(e, a);
    }
    if (t.pending == 0 && !a->resting) {
        settle_split(e, a, &t);
    }
}

static void
attempt_begin(struct entry *e, struct attempt *a)
{
    note_start(e);
    attempt_due(e, a, e->opts.claim_timeout_us);
    attempt_step(e, a);
}

void
claims_begin(struct entry *e, const struct key_ref *key, uint64_t digest,
             enum claim_purpose purpose, struct handle job)
{
    struct attempt *a = attempt_new(e, key, job);

    a->digest = digest;
    a->purpose = purpose;
    attempt_begin(e, a);
}

void
claims_find(struct entry *e, const struct key_ref *key, struct handle job)
{
    struct attempt *a = attempt_new(e, key, job);

    a->find = true;
    attempt_begin(e, a);
}

/* Numbers of attempts only rise, so the newest covers every earlier attempt
 * at this key, and a later one will stand above it. */
void
claims_release(struct entry *e, const struct key_ref *key)
{
    release_everywhere(e, key, e->last_call);
}

static void
ask_again(struct entry *e, struct attempt *a)
{
    a->resting = false;
    for (size_t i = 0; i < a->n_asks; i++) {
        struct ask *k = &a->asks[i];

        if (!k->replied || k->verdict != CLAIM_GRANTED) {
            ask_voter(e, a, k);
        }
    }
}

/* After a rest all are asked again that did not grant; after a claim timeout
 * one voter more is asked, and when there is none, whoever is silent counts
 * as a voter that will not grant. */
static void
attempt_timeout(struct entry *e, struct attempt *a)
{
    struct tally t;

    if (a->resting) {
        ask_again(e, a);
    }
    else {
        t = tally_of(e, a);
        if (t.unasked == 0) {
            settle_split(e, a, &t);
            return;
        }
        ask_next(e, a);
    }
    attempt_due(e, a, e->opts.claim_timeout_us);
    attempt_step(e, a);
}

/* A grant for an attempt that is over.  Where the key is ours it belongs to
 * it; else it would block the key for the whole window: it is given back. */
static void
late_reply(struct entry *e, struct name from, const struct rec_claim_reply *r)
{
    struct key_ref key = {.id = r->key, .zone = r->zone};

    if (r->verdict == CLAIM_GRANTED && !jobs_claimed(e, r->key)) {
        send_release(e, from, &key, r->attempt);
    }
}

static bool
on_reply(struct entry *e, struct name from, const struct rec_claim_reply *r)
{
    struct attempt *a = map_get(&e->claims->by_number, &r->attempt);

    if (a == NULL) {
        late_reply(e, from, r);
        return true;
    }
    if (!attempt_take(e, a, from, r)) {
        return false;
    }
    attempt_step(e, a);
    return true;
}

static bool
on_claim(struct entry *e, struct name from, const struct rec_claim *m)
{
    struct msg reply = {.kind = MSG_CLAIM_REPLY};

    if (!answer_claim(e, from, m, &reply.u.claim_reply)) {
        return false;
    }
    entry_send(e, from, &reply);
    return true;
}

static bool
on_find(struct entry *e, struct name from, const struct rec_claim_find *m)
{
    struct msg reply = {.kind = MSG_CLAIM_REPLY};

    if (!answer_find(e, m, &reply.u.claim_reply)) {
        return false;
    }
    entry_send(e, from, &reply);
    return true;
}

/* ---- taking over the live claims after a restart ---- */

static struct fellow *
fellow_of(struct voting *v, struct name name)
{
    for (size_t i = 0; v != NULL && i < v->n_fellows; i++) {
        if (name_equal(v->fellows[i].name, name)) {
            return &v->fellows[i];
        }
    }
    return NULL;
}

static void
request_page(struct entry *e, struct name zone, const struct fellow *f)
{
    struct msg m = {.kind = MSG_SYNC_REQUEST};

    m.u.sync_request.zone = zone;
    m.u.sync_request.incarnation = e->opts.incarnation;
    m.u.sync_request.page = f->page;
    entry_send(e, f->name, &m);
}

static void
copy_record(const struct entry *e, const struct claim *r,
            struct rec_claim_copy *to)
{
    to->key = r->id;
    to->expires_us = (uint64_t)r->expires_us;
    to->digest = r->digest;
    to->purpose = r->purpose;
    to->attempt = r->attempt;
    to->incarnation = r->incarnation;
    if (!r->contested) {
        to->claimer = members_at(e, r->claimer)->name;
    }
}

/* A page is a range of places in the table.  Records do not move, so one
 * that is there during the whole transfer is in exactly one page; one that
 * is added to a place already passed was granted after the request, and its
 * reply names the new incarnation. */
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
        if (r->zone == zone && r->expires_us > e->now.wall_us) {
            copy_record(e, r, &reply->claims[reply->n_claims++]);
        }
    }
    reply->more = end < t->places ? 1 : 0;
}

static bool
on_sync_request(struct entry *e, struct name from,
                const struct rec_sync_request *m)
{
    struct voting *v = voting_of(e, m->zone);
    struct member *asker = members_of(e, from);
    struct msg reply = {.kind = MSG_SYNC_REPLY};
    struct rec_sync_reply *r = &reply.u.sync_reply;

    if (fellow_of(v, from) == NULL ||
        m->page > e->claims->records.places / SYNC_PAGE ||
        !members_met(e, asker, m->incarnation)) {
        return false;
    }
    r->zone = m->zone;
    r->incarnation = e->opts.incarnation;
    r->for_incarnation = m->incarnation;
    r->ready = v->ready ? 1 : 0;
    r->page = m->page;
    if (v->ready) {
        fill_page(e, zone_number(e, m->zone), r);
    }
    entry_send(e, from, &reply);
    return true;
}

/* Two voters that name different claimers leave open which one had the
 * majority with this voter's forgotten vote.  Keeping either could hide the
 * winner once the other releases the key, so for the rest of the window this
 * voter has no vote on it. */
static void
merge_copy(struct claim *r, const struct rec_claim_copy *c, uint16_t claimer,
           bool contested)
{
    if (!r->copied) {
        return; /* our own vote stands above what others tell */
    }
    if (contested || r->claimer != claimer ||
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
take_copy(struct entry *e, int zone, const struct rec_claim_copy *c)
{
    bool contested = name_empty(c->claimer);
    const struct member *m = members_of(e, c->claimer);
    uint16_t claimer = m != NULL ? members_index(e, m) : 0;
    int64_t longest = record_expiry(e, 0) + 2 * e->opts.clock_skew_us;
    struct claim *r;

    if ((m == NULL && !contested) || c->purpose > CLAIM_CANCEL ||
        c->expires_us > (uint64_t)longest) {
        return false;
    }
    r = record_get(e, c->key);
    if (r != NULL) {
        merge_copy(r, c, claimer, contested);
        return true;
    }
    r = record_add(e, c->key, zone);
    r->digest = c->digest;
    r->attempt = c->attempt;
    r->incarnation = c->incarnation;
    r->expires_us = (int64_t)c->expires_us;
    r->claimer = claimer;
    r->purpose = c->purpose;
    r->copied = 1;
    r->contested = contested ? 1 : 0;
    return true;
}

static void
voting_ready(struct entry *e, struct voting *v, const char *how)
{
    v->ready = true;
    entry_log(e, LOG_NOTICE, REASON_SYNCED, NULL, -1, name_of(""),
              "votes on all keys, %s; %zu claims", how, claims_count(e));
}

static void
fellow_done(struct entry *e, struct voting *v, struct fellow *f)
{
    f->done = true;
    for (size_t i = 0; i < v->n_fellows; i++) {
        if (!v->fellows[i].done) {
            return;
        }
    }
    voting_ready(e, v, "claims taken over from every other voter");
}

/* Pages count only within one incarnation of the sender: a later one may have
 * lost what the pages before told. */
static bool
page_expected(struct fellow *f, const struct rec_sync_reply *m)
{
    if (m->incarnation != f->incarnation) {
        f->incarnation = m->incarnation;
        f->page = 0;
        f->done = false;
    }
    return m->page == f->page && !f->done;
}

static bool
on_sync_reply(struct entry *e, struct name from,
              const struct rec_sync_reply *m)
{
    struct voting *v = voting_of(e, m->zone);
    struct fellow *f = fellow_of(v, from);
    bool sense = true;

    if (f == NULL || !members_met(e, members_of(e, from), m->incarnation)) {
        return false;
    }
    if (v->ready || m->ready == 0 ||
        m->for_incarnation != e->opts.incarnation || !page_expected(f, m)) {
        return true;
    }
    for (size_t i = 0; i < m->n_claims; i++) {
        sense = take_copy(e, zone_number(e, m->zone), &m->claims[i]) && sense;
    }
    if (m->more != 0) {
        f->page++;
        request_page(e, m->zone, f);
    }
    else if (sense) {
        fellow_done(e, v, f);
    }
    return sense;
}

static void
request_pages(struct entry *e, struct name zone, struct voting *v)
{
    for (size_t i = 0; i < v->n_fellows; i++) {
        struct fellow *f = &v->fellows[i];

        if (!f->done && members_of(e, f->name)->up) {
            request_page(e, zone, f);
        }
    }
}

/* What was claimed before this start has run out by itself. */
static int64_t
window_over_us(const struct entry *e)
{
    return e->claims->start.mono_us + e->opts.claim_window_us +
           2 * e->opts.clock_skew_us;
}

static bool
sync_needed(const struct entry *e)
{
    size_t n;

    (void)members_zones(e, &n);
    for (size_t i = 0; i < n; i++) {
        if (e->claims->votings[i].voter && !e->claims->votings[i].ready) {
            return true;
        }
    }
    return false;
}

static void
sync_tick(struct entry *e)
{
    size_t n;
    const struct name *zones = members_zones(e, &n);
    bool over = e->now.mono_us >= window_over_us(e);

    for (size_t i = 0; i < n; i++) {
        struct voting *v = &e->claims->votings[i];

        if (!v->voter || v->ready) {
            continue;
        }
        if (over) {
            voting_ready(e, v, "the claim window has passed");
            continue;
        }
        request_pages(e, zones[i], v);
    }
    e->claims->sync_due_us =
        e->now.mono_us + SYNC_TIMEOUTS * e->opts.claim_timeout_us;
}

void
claims_member_up(struct entry *e, struct name member)
{
    size_t n;
    const struct name *zones = members_zones(e, &n);

    note_start(e);
    for (size_t i = 0; i < n; i++) {
        struct voting *v = &e->claims->votings[i];
        struct fellow *f = fellow_of(v, member);

        if (v->voter && !v->ready && f != NULL && !f->done) {
            request_page(e, zones[i], f);
        }
    }
}

void
claims_on_message(struct entry *e, struct name from, const struct msg *m)
{
    bool sense = false;

    note_start(e);
    switch (m->kind) {
    case MSG_CLAIM:
        sense = on_claim(e, from, &m->u.claim);
        break;
    case MSG_CLAIM_REPLY:
        sense = on_reply(e, from, &m->u.claim_reply);
        break;
    case MSG_CLAIM_RELEASE:
        sense = answer_release(e, from, &m->u.claim_release);
        break;
    case MSG_CLAIM_FIND:
        sense = on_find(e, from, &m->u.claim_find);
        break;
    case MSG_SYNC_REQUEST:
        sense = on_sync_request(e, from, &m->u.sync_request);
        break;
    case MSG_SYNC_REPLY:
        sense = on_sync_reply(e, from, &m->u.sync_reply);
        break;
    default:
        break;
    }
    if (!sense) {
        e->counters.messages_bad++;
        entry_log(e, LOG_WARNING, REASON_BAD_MESSAGE, NULL, -1, from, "%s",
                  msg_name(m->kind));
    }
}

/* ---- time ---- */

/* Looks at a part of the records, so that no tick takes long. */
static void
sweep(struct entry *e)
{
    struct claims *c = e->claims;
    uint32_t left = c->records.places / SWEEP_PARTS + SWEEP_MIN;
    struct claim *r;

    while (left-- > 0) {
        r = table_next(&c->records, &c->sweep_at, NULL);
        if (r == NULL) {
            c->sweep_at = 0;
            break;
        }
        if (r->expires_us <= e->now.wall_us) {
            record_remove(c, r);
        }
    }
    c->sweep_due_us = e->now.mono_us + USEC_PER_SEC;
}

void
claims_tick(struct entry *e)
{
    struct claims *c = e->claims;
    struct handle h;

    note_start(e);
    while (timers_pop(&c->timers, e->now.mono_us, &h)) {
        struct attempt *a = table_get(&c->attempts, h);

        if (a != NULL && a->due_us <= e->now.mono_us) {
            attempt_timeout(e, a);
        }
    }
    if (e->now.mono_us >= c->sync_due_us && sync_needed(e)) {
        sync_tick(e);
    }
    if (e->now.mono_us >= c->sweep_due_us) {
        sweep(e);
    }
}

int64_t
claims_next_us(const struct entry *e)
{
    const struct claims *c = e->claims;
    int64_t next = timers_next_us(&c->timers);

    if (c->started && sync_needed(e) && c->sync_due_us < next) {
        next = c->sync_due_us;
    }
    if (c->started && c->records.n > 0 && c->sweep_due_us < next) {
        next = c->sweep_due_us;
    }
    return next;
}

size_t
claims_count(const struct entry *e)
{
    return map_count(&e->claims->by_key);
}

size_t
claims_bytes(const struct entry *e)
{
    return table_bytes(&e->claims->records) + map_bytes(&e->claims->by_key);
}
