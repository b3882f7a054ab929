/*
 * Which broker runs a job, recorded at other brokers, its witnesses.
 *
 * A caller that got no answer submits its job again at any broker, which may
 * choose any runner.  Before a runner starts tasks, it claims the job at the
 * witnesses that the number of the job selects among the connected brokers.  A
 * later runner asks the same ones, or is one itself.  It then
 *
 * - returns the job, to be offered to the owner, if that is still connected;
 * - gives the job up, if the owner is lost and had starts without an answer:
 * an upstream may still execute them, nobody knows which one;
 * - takes the job over otherwise, once the owner's leases have expired.
 *
 * The owner updates its record when all starts have been answered and when
 * the job has ended.  If the selection changes, it claims the job at the new
 * witnesses too, so one lost process loses no record that is needed.  A
 * witness that does not answer is replaced; with no other broker connected,
 * there is none.
 */
#include <stdlib.h>
#include <string.h>

#include "array.h"
#include "broker_state.h"

/* Time for the answer of a witness: a few scheduling rounds of a broker that
 * has a quarter of a core. */
#define CLAIM_TIMEOUT_US (40 * USEC_PER_MSEC)
/* A witness that did not answer in time is not asked for this time. */
#define SKIP_WITNESS_US (1 * USEC_PER_SEC)
/* Interval of checks whether the owner of an expired record is lost. */
#define EXPIRY_RETRY_US (1 * USEC_PER_SEC)
/* Witnesses are chosen among the brokers connected for this time, in which
 * all brokers learn of a new one, and among all. */
#define SETTLE_US (1 * USEC_PER_SEC)
/* Updates of records are collected for this time, but for jobs that were
 * returned unstarted: another runner claims them next. */
#define UPDATE_DELAY_US (20 * USEC_PER_MSEC)

/** enum owner_answer - answer to a claim, on the wire */
enum owner_answer {
    OWNER_GRANTED,   /* recorded; start nothing before the given time */
    OWNER_ELSEWHERE, /* another runner has the job */
    OWNER_LOST,      /* a lost runner had starts without an answer */
};

/** enum owner_change - what an update says of a job, on the wire */
enum owner_change {
    OWNER_RESOLVED, /* all starts were answered */
    OWNER_ENDED,
};

/** struct owner_record - who runs a job, at its witness */
struct owner_record {
    uint64_t id; /* key of broker.owners_by_job; must be the first member */
    struct handle self;
    struct name runner;
    uint64_t incarnation; /* of @runner */
    bool unresolved;      /* has starts without an answer */
    int64_t expires_us;   /* for a lost runner: deadline of the job */
};

/** struct owner_update - to be sent to a witness */
struct owner_update {
    struct name witness;
    struct rec_owner_state state;
};

void
owner_init(struct broker *b)
{
    table_init(&b->owners, sizeof(struct owner_record));
    map_init(&b->owners_by_job, MAP_U64);
    b->owner_updates_due_us = INT64_MAX;
    b->claims_due_us = INT64_MAX;
}

void
owner_free(struct broker *b)
{
    table_clear(&b->owners);
    map_clear(&b->owners_by_job);
    timers_clear(&b->owner_timers);
    free(b->owner_updates);
}

/* The witness */

static void
remove_record(struct broker *b, struct owner_record *o)
{
    (void)map_remove(&b->owners_by_job, &o->id);
    table_remove(&b->owners, o->self);
}

static struct owner_record *
ensure_record(struct broker *b, uint64_t id)
{
    struct owner_record *o = map_get(&b->owners_by_job, &id);
    struct handle h;

    if (o != NULL) {
        return o;
    }
    o = table_add(&b->owners, &h);
    o->id = id;
    o->self = h;
    map_put(&b->owners_by_job, o);
    return o;
}

/* Whether the incarnation that claimed the job may still run it. */
static bool
is_connected(const struct broker *b, const struct owner_record *o)
{
    const struct broker_peer *p = peers_find(b, o->runner);

    return p != NULL && p->up && p->incarnation == o->incarnation;
}

/* Time until the leases of a lost owner have expired: it may have extended
 * them until its connection was lost. */
static int64_t
leases_left_us(const struct broker *b, const struct owner_record *o)
{
    const struct broker_peer *p = peers_find(b, o->runner);
    int64_t left_us =
        p != NULL ? p->down_us + b->job_lease_us - b->now.mono_us : 0;

    return left_us > 0 ? left_us : 0;
}

/* Checks whether @runner may run the job; *@answer says where it is run, or
 * how long to wait. */
static enum owner_answer
check_claim(struct broker *b, uint64_t id, struct name runner,
            uint64_t incarnation, struct rec_owner_reply *answer)
{
    const struct owner_record *o = map_get(&b->owners_by_job, &id);

    answer->wait_us = 0;
    if (!name_equal(runner, b->opts.self) && run_has_job(b, id)) {
        answer->runner = b->opts.self;
        return OWNER_ELSEWHERE;
    }
    if (o == NULL ||
        (name_equal(o->runner, runner) && o->incarnation == incarnation)) {
        return OWNER_GRANTED;
    }
    answer->runner = o->runner;
    if (is_connected(b, o)) {
        return OWNER_ELSEWHERE;
    }
    answer->wait_us = (uint64_t)leases_left_us(b, o);
    return o->unresolved ? OWNER_LOST : OWNER_GRANTED;
}

void
owner_on_claim(struct broker *b, struct name from,
               const struct rec_owner_claim *c)
{
    struct msg m = {.kind = MSG_OWNER_REPLY};
    struct rec_owner_reply *r = &m.u.owner_reply;
    struct owner_record *o;

    r->id = c->id;
    r->answer = check_claim(b, c->id, from, c->incarnation, r);
    if (r->answer == OWNER_GRANTED) {
        o = ensure_record(b, c->id);
        o->runner = from;
        o->incarnation = c->incarnation;
        o->unresolved = c->unresolved != 0;
        o->expires_us = b->now.mono_us + (int64_t)c->deadline_us;
        timers_add(&b->owner_timers, o->expires_us, o->self);
    }
    broker_send(b, from, &m);
}

void
owner_on_update(struct broker *b, struct name from,
                const struct rec_owner_update *u)
{
    for (size_t i = 0; i < u->n_jobs; i++) {
        struct owner_record *o = map_get(&b->owners_by_job, &u->jobs[i].id);

        if (o == NULL || !name_equal(o->runner, from)) {
            continue;
        }
        if (u->jobs[i].change == OWNER_ENDED) {
            remove_record(b, o);
        }
        else if (u->jobs[i].change == OWNER_RESOLVED) {
            o->unresolved = false;
        }
    }
}

/* The runner */

/** struct witness_choice - the connected brokers that rank highest for a job,
 * by a hash of their name and its number */
struct witness_choice {
    struct broker_peer *newest; /* of all */
    struct broker_peer *first;  /* of those connected for some time */
    struct broker_peer *second;
};

/* Two runners choose at least one witness in common while their views differ
 * by one broker that was lost, or by any number that were connected lately. */
static struct witness_choice
choose_witnesses(const struct broker *b, uint64_t id)
{
    struct witness_choice c = {0};
    uint64_t ranks[3] = {0};

    for (struct broker_peer *p = b->peers; p != NULL; p = p->next) {
        uint64_t seed = id ^ p->hash;
        uint64_t rank = random_next(&seed);

        if (!p->broker || !p->up || p->self ||
            b->now.mono_us < p->no_claims_until_us) {
            continue;
        }
        if (c.newest == NULL || rank > ranks[0]) {
            c.newest = p;
            ranks[0] = rank;
        }
        if (b->now.mono_us - p->up_us < SETTLE_US) {
            continue;
        }
        if (c.first == NULL || rank > ranks[1]) {
            c.second = c.first;
            ranks[2] = ranks[1];
            c.first = p;
            ranks[1] = rank;
        }
        else if (c.second == NULL || rank > ranks[2]) {
            c.second = p;
            ranks[2] = rank;
        }
    }
    return c;
}

static struct job_witness *
find_witness(struct run_job *job, struct name name)
{
    for (uint32_t i = 0; i < job->n_witnesses; i++) {
        if (name_equal(job->witnesses[i].name, name)) {
            return &job->witnesses[i];
        }
    }
    return NULL;
}

static void
send_claim(struct broker *b, const struct run_job *job, struct name witness)
{
    struct msg m = {.kind = MSG_OWNER_CLAIM};
    struct rec_owner_claim *c = &m.u.owner_claim;

    c->id = job->id;
    c->incarnation = b->opts.incarnation;
    c->unresolved = job->claim != CLAIM_RESOLVED;
    c->deadline_us = (uint64_t)(job->deadline_us > b->now.mono_us
                                    ? job->deadline_us - b->now.mono_us
                                    : 0);
    broker_send(b, witness, &m);
}

/* Claims the job at @p, unless it was claimed there before. */
static void
add_witness(struct broker *b, struct run_job *job, const struct broker_peer *p)
{
    struct job_witness *w;

    if (p == NULL || find_witness(job, p->name) != NULL ||
        job->n_witnesses == WITNESSES_MAX) {
        return;
    }
    w = &job->witnesses[job->n_witnesses++];
    w->name = p->name;
    w->answered = false;
    send_claim(b, job, p->name);
}

static bool
is_chosen(const struct witness_choice *c, struct name name)
{
    const struct broker_peer *const chosen[] = {c->newest, c->first,
                                                c->second};

    for (size_t i = 0; i < sizeof(chosen) / sizeof(chosen[0]); i++) {
        if (chosen[i] != NULL && name_equal(chosen[i]->name, name)) {
            return true;
        }
    }
    return false;
}

/* Claims the job at the witnesses chosen now, and drops the others. */
static void
update_witnesses(struct broker *b, struct run_job *job)
{
    struct witness_choice c = choose_witnesses(b, job->id);
    uint32_t n = 0;

    for (uint32_t i = 0; i < job->n_witnesses; i++) {
        if (is_chosen(&c, job->witnesses[i].name)) {
            job->witnesses[n++] = job->witnesses[i];
        }
    }
    job->n_witnesses = n;
    add_witness(b, job, c.newest);
    add_witness(b, job, c.first);
    add_witness(b, job, c.second);
}

/* Sends the starts of a claimed job once all its witnesses have answered. */
static void
grant_if_answered(struct broker *b, struct run_job *job)
{
    for (uint32_t i = 0; i < job->n_witnesses; i++) {
        if (!job->witnesses[i].answered) {
            return;
        }
    }
    if (job->claim == CLAIM_SENT) {
        job->claim = CLAIM_GRANTED;
        run_on_claim_granted(b, job);
    }
}

/* Another runner has, or had, the job.  May free the job. */
static void
yield_job(struct broker *b, struct run_job *job, enum owner_answer answer,
          struct name runner)
{
    struct msg m = {.kind = MSG_JOB_REDIRECT};

    broker_log(b, LOG_NOTICE, BROKER_HANDED_IN_AGAIN, job->id, -1, runner,
               answer == OWNER_ELSEWHERE
                   ? "run by that broker, which is connected"
                   : "run by that broker, which is lost and had starts "
                     "without an answer");
    job->claim = CLAIM_NONE;
    if (answer == OWNER_LOST) {
        b->counters.jobs_owner_lost++;
        run_give_up_job(b, job, BROKER_RUNNER_LOST);
        return;
    }
    b->counters.jobs_redirected++;
    m.u.job_redirect.number = job->number;
    m.u.job_redirect.runner = runner;
    broker_send(b, job->taker, &m);
    run_drop_job(b, job, BROKER_HANDED_IN_AGAIN);
}

/* The runner of an own record is lost, and this broker takes the job over. */
static void
remove_own_record(struct broker *b, uint64_t id)
{
    struct owner_record *o = map_get(&b->owners_by_job, &id);

    if (o != NULL) {
        remove_record(b, o);
    }
}

/* A new claim replaces what earlier updates say; sent after it, they would
 * mark its starts as answered. */
static void
drop_updates(struct broker *b, uint64_t id)
{
    size_t n = 0;

    for (size_t i = 0; i < b->n_owner_updates; i++) {
        if (b->owner_updates[i].state.id != id) {
            b->owner_updates[n++] = b->owner_updates[i];
        }
    }
    b->n_owner_updates = n;
}

/* Returns false if another runner has, or had, the job: it may be freed. */
static bool
claim_job(struct broker *b, struct run_job *job)
{
    struct rec_owner_reply r = {0};
    enum owner_answer answer =
        check_claim(b, job->id, b->opts.self, b->opts.incarnation, &r);

    if (answer != OWNER_GRANTED) {
        yield_job(b, job, answer, r.runner);
        return false;
    }
    remove_own_record(b, job->id);
    drop_updates(b, job->id);
    job->start_after_us = b->now.mono_us + (int64_t)r.wait_us;
    job->claim = CLAIM_SENT;
    job->claim_sent_us = b->now.mono_us;
    if (b->claims_due_us == INT64_MAX) {
        b->claims_due_us = b->now.mono_us + CLAIM_TIMEOUT_US;
    }
    job->n_witnesses = 0;
    if (!b->opts.disabled[BROKER_FEATURE_CLAIMS]) {
        update_witnesses(b, job);
    }
    if (job->n_witnesses == 0) {
        job->claim = CLAIM_GRANTED;
    }
    return true;
}

bool
owner_allows_placing(struct broker *b, struct run_job *job)
{
    if (job->claim == CLAIM_NONE || job->claim == CLAIM_RESOLVED) {
        job->claim = CLAIM_NONE;
        if (!claim_job(b, job)) {
            return false;
        }
    }
    return b->now.mono_us >= job->start_after_us;
}

void
owner_on_reply(struct broker *b, struct name from,
               const struct rec_owner_reply *r)
{
    struct broker_peer *p = peers_find(b, from);
    struct run_job *job = run_find_open(b, r->id);
    struct job_witness *w;
    int64_t after_us;

    if (p != NULL) {
        p->no_claims_until_us = 0;
    }
    w = job != NULL ? find_witness(job, from) : NULL;
    if (w == NULL || r->answer > OWNER_LOST) {
        return;
    }
    if (r->answer != OWNER_GRANTED) {
        if (job->started) {
            run_abandon_job(b, job, BROKER_HANDED_IN_AGAIN);
        }
        else {
            yield_job(b, job, (enum owner_answer)r->answer, r->runner);
        }
        return;
    }
    w->answered = true;
    after_us = b->now.mono_us + (int64_t)r->wait_us;
    job->start_after_us =
        after_us > job->start_after_us ? after_us : job->start_after_us;
    grant_if_answered(b, job);
}

void
owner_on_deadline_moved(struct broker *b, const struct run_job *job)
{
    for (uint32_t i = 0; i < job->n_witnesses; i++) {
        send_claim(b, job, job->witnesses[i].name);
    }
}

static void
queue_update(struct broker *b, const struct run_job *job,
             enum owner_change change)
{
    int64_t due_us;

    for (uint32_t i = 0; i < job->n_witnesses; i++) {
        struct owner_update *u;

        b->owner_updates =
            array_grow(b->owner_updates, b->n_owner_updates,
                       &b->owner_updates_capacity, sizeof(*b->owner_updates));
        u = &b->owner_updates[b->n_owner_updates++];
        u->witness = job->witnesses[i].name;
        u->state.id = job->id;
        u->state.change = change;
    }
    due_us = b->now.mono_us + (job->started ? UPDATE_DELAY_US : 0);
    if (due_us < b->owner_updates_due_us) {
        b->owner_updates_due_us = due_us;
    }
}

void
owner_on_start_resolved(struct broker *b, struct run_job *job)
{
    if (job->claim == CLAIM_GRANTED && job->n_unresolved == 0 &&
        job->n_ready == 0 && !job->closed) {
        job->claim = CLAIM_RESOLVED;
        queue_update(b, job, OWNER_RESOLVED);
    }
}

void
owner_on_job_removed(struct broker *b, struct run_job *job)
{
    if (job->claim != CLAIM_NONE) {
        queue_update(b, job, OWNER_ENDED);
    }
}

static void
send_updates_to(struct broker *b, struct name witness)
{
    struct msg m = {.kind = MSG_OWNER_UPDATE};
    struct rec_owner_update *u = &m.u.owner_update;

    u->jobs = calloc(b->n_owner_updates, sizeof(*u->jobs));
    if (u->jobs == NULL) {
        abort();
    }
    for (size_t i = 0; i < b->n_owner_updates; i++) {
        if (name_equal(b->owner_updates[i].witness, witness)) {
            u->jobs[u->n_jobs++] = b->owner_updates[i].state;
        }
    }
    if (u->n_jobs == 0) {
        free(u->jobs);
        return;
    }
    broker_send(b, witness, &m);
}

static void
send_updates(struct broker *b)
{
    for (const struct broker_peer *p = b->peers; p != NULL; p = p->next) {
        if (p->broker && p->up && !p->self) {
            send_updates_to(b, p->name);
        }
    }
    b->n_owner_updates = 0;
    b->owner_updates_due_us = INT64_MAX;
}

void
owner_on_peers_changed(struct broker *b)
{
    struct run_job *job;
    struct handle h;
    uint32_t at = 0;

    while ((job = table_next(&b->run_jobs, &at, &h)) != NULL) {
        if (job->claim != CLAIM_NONE &&
            !b->opts.disabled[BROKER_FEATURE_CLAIMS]) {
            update_witnesses(b, job);
            grant_if_answered(b, job);
        }
    }
}

/* Timers */

static void
remove_expired(struct broker *b)
{
    struct owner_record *o;
    struct handle h;

    while (timers_pop(&b->owner_timers, b->now.mono_us, &h)) {
        o = table_get(&b->owners, h);
        if (o == NULL || o->expires_us > b->now.mono_us) {
            continue;
        }
        /* An owner that is connected reports the end of the job. */
        if (is_connected(b, o)) {
            o->expires_us = b->now.mono_us + EXPIRY_RETRY_US;
            timers_add(&b->owner_timers, o->expires_us, h);
        }
        else {
            remove_record(b, o);
        }
    }
}

static void
skip_silent_witnesses(struct broker *b, const struct run_job *job)
{
    for (uint32_t i = 0; i < job->n_witnesses; i++) {
        struct broker_peer *p = peers_find(b, job->witnesses[i].name);

        if (p != NULL && !job->witnesses[i].answered) {
            p->no_claims_until_us = b->now.mono_us + SKIP_WITNESS_US;
        }
    }
}

/* Asks the next witness for jobs whose claim was not answered in time. */
static void
repeat_claims(struct broker *b)
{
    struct run_job *job;
    struct handle h;
    uint32_t at = 0;

    b->claims_due_us = INT64_MAX;
    while ((job = table_next(&b->run_jobs, &at, &h)) != NULL) {
        int64_t due_us = job->claim_sent_us + CLAIM_TIMEOUT_US;

        if (job->closed || job->claim != CLAIM_SENT) {
            continue;
        }
        if (due_us > b->now.mono_us) {
            b->claims_due_us =
                due_us < b->claims_due_us ? due_us : b->claims_due_us;
            continue;
        }
        skip_silent_witnesses(b, job);
        update_witnesses(b, job);
        job->claim_sent_us = b->now.mono_us;
        grant_if_answered(b, job);
    }
}

void
owner_tick(struct broker *b)
{
    remove_expired(b);
    if (b->now.mono_us >= b->claims_due_us) {
        repeat_claims(b);
    }
    if (b->now.mono_us >= b->owner_updates_due_us) {
        send_updates(b);
    }
}

int64_t
owner_next_us(const struct broker *b)
{
    return b->claims_due_us < b->owner_updates_due_us
               ? b->claims_due_us
               : b->owner_updates_due_us;
}
