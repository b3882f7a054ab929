#include "claim.h"

#include <stdlib.h>
#include <string.h>
#include <syslog.h>

#include "claim_state.h"
#include "claim_sync.h"
#include "jobs.h"
#include "member.h"
#include "vote.h"

enum {
    ROUNDS_MAX = 6,        /* of votes before an attempt fails */
    ATTEMPT_TIMEOUTS = 20, /* an attempt lasts at most so many timeouts */
};

/* The request to one voter in an attempt, and the reply. */
struct voter_request {
    struct name voter;
    bool sent;
    bool replied;
    enum claim_verdict verdict;
    uint64_t voter_incarnation;
    uint64_t newest; /* incarnation of the voter named in any reply */
    uint16_t claimer;
    uint64_t incarnation;
    uint64_t digest;
    enum claim_purpose purpose;
};

struct attempt {
    uint64_t number; /* map key; must be first */
    struct handle self;
    struct handle job;
    struct key_ref key;
    uint64_t digest;
    enum claim_purpose purpose;
    bool find;        /* look up only, do not claim */
    bool backing_off; /* after a split vote */
    int rounds;       /* split votes so far */
    int64_t started_us;
    int64_t due_us;
    struct voter_request
        requests[VOTERS_PER_ZONE]; /* in the order of sending */
    size_t n_requests;
};

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
    map_init(&c->records_by_key, MAP_KEY_ID);
    table_init(&c->attempts, sizeof(struct attempt));
    map_init(&c->attempts_by_number, MAP_U64);
    for (size_t i = 0; i < n; i++) {
        vote_init(e, &c->zone_voters[i], zones[i]);
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
    map_clear(&c->records_by_key);
    table_clear(&c->attempts);
    map_clear(&c->attempts_by_number);
    timers_clear(&c->timers);
    free(c);
}

static void
attempt_set_timer(struct entry *e, struct attempt *a, int64_t after_us)
{
    a->due_us = e->now.mono_us + after_us;
    timers_add(&e->claims->timers, a->due_us, a->self);
}

/* Order of requests: this instance first, then voters of the same zone, voters
 * of other zones, and voters that are down.  Voters of equal rank are rotated
 * by key, which spreads the load. */
static int
request_rank(const struct entry *e, struct name voter)
{
    const struct member *m = members_by_name(e, voter);

    if (m->self) {
        return 0;
    }
    if (!m->up) {
        return 3;
    }
    return name_equal(m->zone, e->zone) ? 1 : 2;
}

static void
sort_requests(const struct entry *e, struct attempt *a)
{
    for (size_t i = 1; i < a->n_requests; i++) {
        for (size_t j = i; j > 0; j--) {
            struct voter_request *x = &a->requests[j - 1];
            struct voter_request *y = &a->requests[j];

            if (request_rank(e, x->voter) > request_rank(e, y->voter)) {
                struct voter_request z = *x;

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

    a->number = entry_new_call_id(e);
    a->self = h;
    a->job = job;
    a->key = *key;
    a->started_us = e->now.mono_us;
    a->n_requests = n;
    for (size_t i = 0; i < n; i++) {
        a->requests[i].voter = voters[(i + key->id.lo) % n];
    }
    sort_requests(e, a);
    map_put(&e->claims->attempts_by_number, a);
    return a;
}

static void
attempt_end(struct entry *e, struct attempt *a, const struct claim_result *r)
{
    struct handle job = a->job;

    (void)map_remove(&e->claims->attempts_by_number, &a->number);
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
        (void)vote_release(e, to, &m.u.claim_release);
        return;
    }
    entry_send(e, to, &m);
}

/* Sends the release to all voters, including those that got no request: a
 * restarted voter may have copied the record from one that did. */
static void
release_at_all_voters(struct entry *e, const struct key_ref *key,
                      uint64_t attempt)
{
    struct name voters[VOTERS_PER_ZONE];
    size_t n = members_voters(e, key->zone, voters);

    for (size_t i = 0; i < n; i++) {
        send_release(e, voters[i], key, attempt);
    }
}

/* Whether some voter may have recorded the attempt, so that it must be
 * released. */
static bool
may_be_recorded(const struct attempt *a)
{
    for (size_t i = 0; i < a->n_requests; i++) {
        const struct voter_request *vr = &a->requests[i];

        if (vr->sent && (!vr->replied || vr->verdict == CLAIM_GRANTED)) {
            return true;
        }
    }
    return false;
}

static void
attempt_give_up(struct entry *e, struct attempt *a,
                const struct claim_result *r)
{
    if (!a->find && may_be_recorded(a)) {
        release_at_all_voters(e, &a->key, a->number);
    }
    attempt_end(e, a, r);
}

static void
update_newest(struct attempt *a, struct name voter, uint64_t incarnation)
{
    for (size_t i = 0; i < a->n_requests; i++) {
        struct voter_request *vr = &a->requests[i];

        if (name_equal(vr->voter, voter) && incarnation > vr->newest) {
            vr->newest = incarnation;
        }
    }
}

static struct voter_request *
find_request(struct attempt *a, struct name voter)
{
    for (size_t i = 0; i < a->n_requests; i++) {
        if (name_equal(a->requests[i].voter, voter)) {
            return &a->requests[i];
        }
    }
    return NULL;
}

/* Stores a voter's reply; false if the reply is invalid. */
static bool
attempt_store_reply(struct entry *e, struct attempt *a, struct name from,
                    const struct rec_claim_reply *r)
{
    struct voter_request *vr = find_request(a, from);
    const struct member *claimer = NULL;

    if (vr == NULL || !key_id_equal(a->key.id, r->key) ||
        r->verdict > CLAIM_NONE || r->purpose > CLAIM_CANCEL) {
        return false;
    }
    if (r->verdict == CLAIM_TAKEN) {
        claimer = members_by_name(e, r->claimer);
        if (claimer == NULL) {
            return false;
        }
        vr->claimer = members_index(e, claimer);
    }
    for (size_t i = 0; i < r->n_views; i++) {
        update_newest(a, r->views[i].voter, r->views[i].incarnation);
    }
    update_newest(a, from, r->voter_incarnation);
    if (r->voter_incarnation < vr->voter_incarnation) {
        return true; /* a later incarnation has replied already */
    }
    vr->sent = true;
    vr->replied = true;
    vr->verdict = (enum claim_verdict)r->verdict;
    vr->voter_incarnation = r->voter_incarnation;
    vr->incarnation = r->claimer_incarnation;
    vr->digest = r->digest;
    vr->purpose = (enum claim_purpose)r->purpose;
    return true;
}

static struct msg
request_message(const struct entry *e, const struct attempt *a)
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
vote_locally(struct entry *e, struct attempt *a, const struct msg *m)
{
    struct rec_claim_reply reply;
    bool valid = a->find ? vote_find(e, &m->u.claim_find, &reply)
                         : vote_claim(e, e->opts.self, &m->u.claim, &reply);

    if (valid) {
        (void)attempt_store_reply(e, a, e->opts.self, &reply);
        free(reply.views);
    }
}

static void
send_request(struct entry *e, struct attempt *a, struct voter_request *vr)
{
    struct msg m = request_message(e, a);

    vr->sent = true;
    vr->replied = false;
    if (name_equal(vr->voter, e->opts.self)) {
        vote_locally(e, a, &m);
        return;
    }
    entry_send(e, vr->voter, &m);
}

/* Whether a grant must not be counted because the voter has restarted since.
 *
 * Voter 1 of three grants a key to claimer A, restarts without records, copies
 * the live claims of the other voters before one of these has granted the key
 * to A, and then grants the key to claimer B.  If A's grant from voter 1 were
 * still counted, A and B would both reach a majority and the tasks would start
 * twice.  The voter that gives A the second grant has answered the sync
 * request of the restarted voter 1 before, so its reply names the newer
 * incarnation, and the grant of the older one is discarded. */
static bool
grant_stale(const struct entry *e, const struct voter_request *vr)
{
    return vr->voter_incarnation < vr->newest ||
           vr->voter_incarnation < members_by_name(e, vr->voter)->incarnation;
}

struct tally {
    size_t grants;
    size_t absent;
    size_t pending;
    size_t unsent;
    bool too_old;
    const struct voter_request *other; /* the other claimer with most votes */
    size_t other_votes;
};

static size_t
votes_for(const struct attempt *a, const struct voter_request *vr)
{
    size_t n = 0;

    for (size_t i = 0; i < a->n_requests; i++) {
        const struct voter_request *o = &a->requests[i];

        n += o->replied && o->verdict == CLAIM_TAKEN &&
                     o->claimer == vr->claimer &&
                     o->incarnation == vr->incarnation
                 ? 1
                 : 0;
    }
    return n;
}

/* Between claimers with equal votes the lower index is taken.  Members are
 * indexed in the order of their names on every instance. */
static void
tally_taken(const struct attempt *a, const struct voter_request *vr,
            struct tally *t)
{
    size_t votes = votes_for(a, vr);

    if (t->other == NULL || votes > t->other_votes ||
        (votes == t->other_votes && vr->claimer < t->other->claimer)) {
        t->other = vr;
        t->other_votes = votes;
    }
}

static void
tally_reply(const struct attempt *a, const struct voter_request *vr,
            struct tally *t)
{
    switch (vr->verdict) {
    case CLAIM_GRANTED:
        t->grants++;
        break;
    case CLAIM_NONE:
        t->absent++;
        break;
    case CLAIM_TAKEN:
        tally_taken(a, vr, t);
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

    for (size_t i = 0; i < a->n_requests; i++) {
        struct voter_request *vr = &a->requests[i];

        if (vr->replied && vr->verdict == CLAIM_GRANTED &&
            grant_stale(e, vr)) {
            send_request(e, a, vr);
        }
        if (!vr->sent) {
            t.unsent++;
        }
        else if (!vr->replied) {
            t.pending++;
        }
        else {
            tally_reply(a, vr, &t);
        }
    }
    return t;
}

static void
end_attempt(struct entry *e, struct attempt *a, enum claim_outcome end)
{
    struct claim_result r = {.outcome = end};

    e->counters.claims_won += end == CLAIM_OUTCOME_WON ? 1 : 0;
    e->counters.claims_unavailable += end == CLAIM_OUTCOME_UNAVAILABLE ? 1 : 0;
    if (end == CLAIM_OUTCOME_WON || end == CLAIM_OUTCOME_ABSENT) {
        attempt_end(e, a, &r);
        return;
    }
    attempt_give_up(e, a, &r);
}

static void
end_taken(struct entry *e, struct attempt *a, const struct voter_request *vr)
{
    struct claim_result r = {
        .outcome = CLAIM_OUTCOME_TAKEN,
        .claimer = members_by_index(e, vr->claimer)->name,
        .incarnation = vr->incarnation,
        .digest = vr->digest,
        .purpose = vr->purpose,
    };

    attempt_give_up(e, a, &r);
}

static void
end_without_majority(struct entry *e, struct attempt *a, const struct tally *t)
{
    if (t->other != NULL) {
        end_taken(e, a, t->other);
        return;
    }
    end_attempt(e, a, CLAIM_OUTCOME_UNAVAILABLE);
}

/* Split vote: no claimer has a majority among the voters that replied.  Of two
 * claimers the one with the higher name releases its votes and waits for the
 * other's answer; the one with the lower name repeats its requests after a
 * short time.  Both compare the same names, so exactly one of them yields. */
static void
resolve_split_vote(struct entry *e, struct attempt *a, const struct tally *t)
{
    uint16_t self = members_index(e, members_by_name(e, e->opts.self));

    if (t->other != NULL && (t->grants == 0 || t->other->claimer <= self)) {
        e->counters.claims_yielded++;
        entry_log(e, LOG_INFO, REASON_CLAIM_YIELDED, &a->key.id, -1,
                  members_by_index(e, t->other->claimer)->name,
                  "%zu votes, the other has %zu", t->grants, t->other_votes);
        end_taken(e, a, t->other);
        return;
    }
    if (++a->rounds >= ROUNDS_MAX) {
        end_without_majority(e, a, t);
        return;
    }
    a->backing_off = true;
    attempt_set_timer(e, a, entry_jitter(e, e->opts.claim_timeout_us / 4));
}

static bool
decide_claim(struct entry *e, struct attempt *a, const struct tally *t,
             size_t majority)
{
    if (t->too_old) {
        end_attempt(e, a, CLAIM_OUTCOME_TOO_OLD);
    }
    else if (t->grants >= majority) {
        end_attempt(e, a, CLAIM_OUTCOME_WON);
    }
    else if (t->other_votes >= majority) {
        end_taken(e, a, t->other);
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
        end_taken(e, a, t->other);
    }
    else if (t->absent >= majority) {
        end_attempt(e, a, CLAIM_OUTCOME_ABSENT);
    }
    else {
        return false;
    }
    return true;
}

/* Whether an attempt must end: its job is gone, or the attempt took so long,
 * such as after a pause of the process, that early grants may have expired. */
static bool
attempt_expired(const struct entry *e, const struct attempt *a)
{
    return jobs_by_handle(e, a->job) == NULL ||
           e->now.mono_us - a->started_us >
               ATTEMPT_TIMEOUTS * e->opts.claim_timeout_us;
}

static void
request_next_voter(struct entry *e, struct attempt *a)
{
    for (size_t i = 0; i < a->n_requests; i++) {
        if (!a->requests[i].sent) {
            send_request(e, a, &a->requests[i]);
            return;
        }
    }
}

static void
attempt_step(struct entry *e, struct attempt *a)
{
    size_t majority = a->n_requests / 2 + 1;
    struct tally t;

    for (;;) {
        if (attempt_expired(e, a)) {
            end_attempt(e, a, CLAIM_OUTCOME_UNAVAILABLE);
            return;
        }
        t = tally_of(e, a);
        if (a->find ? decide_find(e, a, &t, majority)
                    : decide_claim(e, a, &t, majority)) {
            return;
        }
        if (t.grants + t.absent + t.pending >= majority || t.unsent == 0) {
            break;
        }
        request_next_voter(e, a);
    }
    if (t.pending == 0 && !a->backing_off) {
        resolve_split_vote(e, a, &t);
    }
}

static void
attempt_begin(struct entry *e, struct attempt *a)
{
    vote_set_start_time(e);
    attempt_set_timer(e, a, e->opts.claim_timeout_us);
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

/* Attempt numbers only increase, so the latest number covers all earlier
 * attempts at this key, and later attempts have higher numbers. */
void
claims_release(struct entry *e, const struct key_ref *key)
{
    release_at_all_voters(e, key, e->last_call_id);
}

static void
repeat_requests(struct entry *e, struct attempt *a)
{
    a->backing_off = false;
    for (size_t i = 0; i < a->n_requests; i++) {
        struct voter_request *vr = &a->requests[i];

        if (!vr->replied || vr->verdict != CLAIM_GRANTED) {
            send_request(e, a, vr);
        }
    }
}

/* After a back-off, the request is repeated to all voters that did not grant
 * it.  After a claim timeout, one more voter gets a request; if none is left,
 * voters that have not replied count as not granting. */
static void
attempt_timeout(struct entry *e, struct attempt *a)
{
    struct tally t;

    if (a->backing_off) {
        repeat_requests(e, a);
    }
    else {
        t = tally_of(e, a);
        if (t.unsent == 0) {
            resolve_split_vote(e, a, &t);
            return;
        }
        request_next_voter(e, a);
    }
    attempt_set_timer(e, a, e->opts.claim_timeout_us);
    attempt_step(e, a);
}

/* Handles a grant for an attempt that has ended.  If this instance holds the
 * key, the grant belongs to that claim.  Otherwise the vote is released, since
 * the record would block the key for the rest of the claim window. */
static void
on_late_reply(struct entry *e, struct name from,
              const struct rec_claim_reply *r)
{
    struct key_ref key = {.id = r->key, .zone = r->zone};

    if (r->verdict == CLAIM_GRANTED && !jobs_holds_key(e, r->key)) {
        send_release(e, from, &key, r->attempt);
    }
}

static bool
on_reply(struct entry *e, struct name from, const struct rec_claim_reply *r)
{
    struct attempt *a = map_get(&e->claims->attempts_by_number, &r->attempt);

    if (a == NULL) {
        on_late_reply(e, from, r);
        return true;
    }
    if (!attempt_store_reply(e, a, from, r)) {
        return false;
    }
    attempt_step(e, a);
    return true;
}

static bool
on_claim(struct entry *e, struct name from, const struct rec_claim *m)
{
    struct msg reply = {.kind = MSG_CLAIM_REPLY};

    if (!vote_claim(e, from, m, &reply.u.claim_reply)) {
        return false;
    }
    entry_send(e, from, &reply);
    return true;
}

static bool
on_find(struct entry *e, struct name from, const struct rec_claim_find *m)
{
    struct msg reply = {.kind = MSG_CLAIM_REPLY};

    if (!vote_find(e, m, &reply.u.claim_reply)) {
        return false;
    }
    entry_send(e, from, &reply);
    return true;
}

void
claims_member_up(struct entry *e, struct name member)
{
    vote_set_start_time(e);
    claim_sync_member_up(e, member);
}

void
claims_on_message(struct entry *e, struct name from, const struct msg *m)
{
    bool valid = false;

    vote_set_start_time(e);
    switch (m->kind) {
    case MSG_CLAIM:
        valid = on_claim(e, from, &m->u.claim);
        break;
    case MSG_CLAIM_REPLY:
        valid = on_reply(e, from, &m->u.claim_reply);
        break;
    case MSG_CLAIM_RELEASE:
        valid = vote_release(e, from, &m->u.claim_release);
        break;
    case MSG_CLAIM_FIND:
        valid = on_find(e, from, &m->u.claim_find);
        break;
    case MSG_SYNC_REQUEST:
        valid = claim_sync_on_request(e, from, &m->u.sync_request);
        break;
    case MSG_SYNC_REPLY:
        valid = claim_sync_on_reply(e, from, &m->u.sync_reply);
        break;
    default:
        break;
    }
    if (!valid) {
        e->counters.messages_bad++;
        entry_log(e, LOG_WARNING, REASON_BAD_MESSAGE, NULL, -1, from, "%s",
                  msg_name(m->kind));
    }
}

void
claims_tick(struct entry *e)
{
    struct claims *c = e->claims;
    struct handle h;

    vote_set_start_time(e);
    while (timers_pop(&c->timers, e->now.mono_us, &h)) {
        struct attempt *a = table_get(&c->attempts, h);

        if (a != NULL && a->due_us <= e->now.mono_us) {
            attempt_timeout(e, a);
        }
    }
    if (e->now.mono_us >= c->sync_due_us && claim_sync_needed(e)) {
        claim_sync_tick(e);
    }
    if (e->now.mono_us >= c->sweep_due_us) {
        vote_sweep(e);
    }
}

int64_t
claims_next_us(const struct entry *e)
{
    const struct claims *c = e->claims;
    int64_t next = timers_next_us(&c->timers);

    if (c->started && claim_sync_needed(e) && c->sync_due_us < next) {
        next = c->sync_due_us;
    }
    if (c->started && c->records.n > 0 && c->sweep_due_us < next) {
        next = c->sweep_due_us;
    }
    return next;
}
