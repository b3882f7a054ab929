/*
 * Membership and majorities.  A vote counts only from the data folder that the
 * membership records for the member.
 */
#include <stdlib.h>
#include <string.h>
#include <syslog.h>

#include "control_state.h"

static struct rec_control_member *
find_member(const struct rec_membership *m, struct name name)
{
    for (size_t i = 0; i < m->n_members; i++) {
        if (name_equal(m->members[i].name, name)) {
            return &m->members[i];
        }
    }
    return NULL;
}

const struct rec_control_member *
quorum_find_member(const struct control *c, struct name name)
{
    return find_member(&c->members, name);
}

/* A vote belongs to a member name and a data folder.  A member whose disk was
 * replaced has lost its log and its vote; if it still counted, it could help
 * elect a leader that lacks an accepted change. */
bool
quorum_self_is_voter(const struct control *c)
{
    const struct rec_control_member *m = quorum_find_member(c, c->opts.self);

    return m != NULL && m->voter != 0 &&
           (m->disk == c->opts.disk ||
            c->opts.breaks[CONTROL_BREAK_COUNT_ANY_DISK]);
}

struct progress *
quorum_progress(struct control *c, struct name name)
{
    struct progress *unused = NULL;

    for (size_t i = 0; i < PEERS_MAX; i++) {
        struct progress *p = &c->peers[i];

        if (name_equal(p->name, name)) {
            return p;
        }
        if (quorum_find_member(c, p->name) == NULL) {
            unused = p;
        }
    }
    if (unused == NULL || quorum_find_member(c, name) == NULL ||
        name_equal(name, c->opts.self)) {
        return NULL;
    }
    blob_unref(unused->snapshot);
    memset(unused, 0, sizeof(*unused));
    unused->name = name;
    unused->next_index = clog_last(&c->log) + 1;
    unused->is_probing = true;
    return unused;
}

bool
quorum_peer_is_voter(const struct control *c, const struct progress *p)
{
    const struct rec_control_member *m = quorum_find_member(c, p->name);

    return m != NULL && m->voter != 0 &&
           (m->disk == p->disk ||
            c->opts.breaks[CONTROL_BREAK_COUNT_ANY_DISK]);
}

size_t
quorum_majority(const struct control *c)
{
    size_t voters = 0;

    for (size_t i = 0; i < c->members.n_members; i++) {
        voters += c->members.members[i].voter != 0 ? 1 : 0;
    }
    return voters / 2 + 1;
}

bool
quorum_votes_won(const struct control *c)
{
    bool own = c->pre_vote || c->hard_state_seq <= c->synced_seq ||
               c->opts.breaks[CONTROL_BREAK_ACK_BEFORE_SYNC];
    size_t votes = own && quorum_self_is_voter(c) ? 1 : 0;

    for (size_t i = 0; i < PEERS_MAX; i++) {
        const struct progress *p = &c->peers[i];

        votes += p->vote_granted && quorum_peer_is_voter(c, p) ? 1 : 0;
    }
    return votes >= quorum_majority(c);
}

static int
compare_descending(const void *a, const void *b)
{
    uint64_t x = *(const uint64_t *)a;
    uint64_t y = *(const uint64_t *)b;

    return x < y ? 1 : x > y ? -1 : 0;
}

/* The highest value that a majority has reached; sorts @values. */
static uint64_t
majority_value(const struct control *c, uint64_t values[], size_t n)
{
    size_t size = quorum_majority(c);

    if (n < size) {
        return 0;
    }
    qsort(values, n, sizeof(*values), compare_descending);
    return values[size - 1];
}

uint64_t
quorum_match_index(const struct control *c)
{
    uint64_t values[CONTROL_MEMBERS_MAX + 1];
    size_t n = 0;

    if (quorum_self_is_voter(c)) {
        values[n++] = c->opts.breaks[CONTROL_BREAK_ACK_BEFORE_SYNC]
                          ? clog_last(&c->log)
                          : c->log.durable;
    }
    for (size_t i = 0; i < PEERS_MAX; i++) {
        if (quorum_peer_is_voter(c, &c->peers[i])) {
            values[n++] = c->peers[i].match_index;
        }
    }
    return majority_value(c, values, n);
}

uint64_t
quorum_acked_round(const struct control *c)
{
    uint64_t values[CONTROL_MEMBERS_MAX + 1];
    size_t n = 0;

    if (quorum_self_is_voter(c)) {
        values[n++] = c->heartbeat_round;
    }
    for (size_t i = 0; i < PEERS_MAX; i++) {
        if (quorum_peer_is_voter(c, &c->peers[i])) {
            values[n++] = c->peers[i].acked_round;
        }
    }
    return majority_value(c, values, n);
}

static size_t
count_heard_voters(const struct control *c, int64_t since_us,
                   struct name except)
{
    size_t n = quorum_self_is_voter(c) && !name_equal(c->opts.self, except);

    for (size_t i = 0; i < PEERS_MAX; i++) {
        const struct progress *p = &c->peers[i];

        n += quorum_peer_is_voter(c, p) && p->last_heard_us >= since_us &&
             !name_equal(p->name, except);
    }
    return n;
}

bool
quorum_is_active(const struct control *c, int64_t since_us)
{
    return count_heard_voters(c, since_us, name_of("")) >= quorum_majority(c);
}

void
quorum_set_members(struct control *c, const struct rec_membership *m,
                   uint64_t index)
{
    struct rec_membership copy = membership_copy(m);
    struct msg *update;

    membership_free(&c->members);
    c->members = copy;
    c->members_index = index;
    if (c->fx != NULL) {
        update = &control_effects_add(c->fx, CE_MEMBERS)->u.members.msg;
        update->kind = MSG_MEMBERSHIP;
        update->u.membership = membership_copy(m);
    }
}

void
quorum_reload_members(struct control *c)
{
    for (uint64_t i = clog_last(&c->log); i > c->applied_index; i--) {
        const struct rec_log_entry *e = clog_at(&c->log, i);
        struct msg m;

        if (e == NULL || e->kind != LOG_KIND_MEMBERS || e->data == NULL ||
            wire_decode(e->data->data, e->data->size, &m) != WIRE_OK) {
            continue;
        }
        if (m.kind == MSG_MEMBERSHIP) {
            quorum_set_members(c, &m.u.membership, i);
            msg_free(&m);
            return;
        }
        msg_free(&m);
    }
    quorum_set_members(c, &c->fsm.members, c->applied_index);
}

static enum control_result
add_member(struct control *c, const struct cev_change *change,
           struct rec_membership *out, const char **detail)
{
    struct rec_control_member *m;

    if (name_empty(change->member) || change->address.s[0] == '\0') {
        *detail = "member and address are needed";
        return CONTROL_BAD_CHANGE;
    }
    if (quorum_find_member(c, change->member) != NULL) {
        *detail = "it is a member already";
        return CONTROL_BAD_CHANGE;
    }
    if (out->n_members >= CONTROL_MEMBERS_MAX) {
        *detail = "there are 9 members, no more are allowed";
        return CONTROL_BAD_CHANGE;
    }
    m = &out->members[out->n_members++];
    memset(m, 0, sizeof(*m));
    m->name = change->member;
    m->address = change->address;
    m->http = change->http;
    return CONTROL_OK;
}

/* Whether the voters heard recently, without @name, are a majority of the
 * voters that remain after its removal. */
static bool
can_remove(const struct control *c, struct name name)
{
    const struct rec_control_member *m = quorum_find_member(c, name);
    int64_t since = c->now.mono_us - c->opts.election_timeout_us;
    size_t voters = 0;

    if (m->voter == 0) {
        return true;
    }
    for (size_t i = 0; i < c->members.n_members; i++) {
        voters += c->members.members[i].voter != 0 ? 1 : 0;
    }
    return voters > 1 &&
           count_heard_voters(c, since, name) >= (voters - 1) / 2 + 1;
}

static enum control_result
remove_or_replace(struct control *c, const struct cev_change *change,
                  struct rec_membership *out, const char **detail)
{
    struct rec_control_member *m = find_member(out, change->member);

    if (m == NULL) {
        *detail = "it is not a member";
        return CONTROL_BAD_CHANGE;
    }
    if (name_equal(change->member, c->opts.self)) {
        c->transfer_requested = true;
        *detail = "it leads and hands over now; send the change again";
        return CONTROL_NO_LEADER;
    }
    if (!can_remove(c, change->member)) {
        *detail = "the other voters that are up are no majority";
        return CONTROL_BAD_CHANGE;
    }
    if (change->action == CHANGE_REPLACE) {
        m->voter = 0;
        m->disk = 0;
        return CONTROL_OK;
    }
    out->n_members--;
    memmove(m, m + 1,
            (size_t)(out->members + out->n_members - m) * sizeof(*m));
    return CONTROL_OK;
}

/* One change at a time, and none before the leader has committed an entry of
 * its own term.  Otherwise a majority of the old membership and one of the new
 * need not overlap, and two leaders could be elected in one term. */
enum control_result
quorum_prepare_change(struct control *c, const struct cev_change *change,
                      struct rec_membership *out, const char **detail)
{
    enum control_result result;

    if (c->members_index > c->commit_index ||
        c->term_start_index > c->commit_index) {
        return CONTROL_IN_PROGRESS;
    }
    *out = membership_copy(&c->members);
    if (change->action == CHANGE_ADD) {
        result = add_member(c, change, out, detail);
    }
    else {
        result = remove_or_replace(c, change, out, detail);
    }
    if (result != CONTROL_OK) {
        membership_free(out);
    }
    return result;
}

void
quorum_promote_learner(struct control *c, const struct progress *p)
{
    const struct rec_control_member *m = quorum_find_member(c, p->name);
    struct msg data = {.kind = MSG_MEMBERSHIP};
    struct rec_control_member *changed;

    if (m == NULL || m->voter != 0 || p->disk == 0 ||
        c->members_index > c->commit_index ||
        c->term_start_index > c->commit_index ||
        p->match_index < c->commit_index || c->stopping) {
        return;
    }
    data.u.membership = membership_copy(&c->members);
    changed = find_member(&data.u.membership, p->name);
    changed->voter = 1;
    changed->disk = p->disk;
    control_log(c, LOG_NOTICE, CONTROL_REASON_PROMOTED, p->name,
                "caught up at %llu", (unsigned long long)p->match_index);
    (void)replicate_propose(c, LOG_KIND_MEMBERS, &data);
    msg_free(&data);
}
