/*
 * Automatic membership, without a list of members or an operator.
 *
 * A process that hears no leader sends MSG_JOIN to all processes it knows. The
 * leader adds it as a learner and promotes it to voter once it has caught up.
 * A member that comes back with another disk has lost what it confirmed: the
 * leader takes its vote away, and promotes it again once it has caught up.  A
 * member that stays silent is removed while enough other voters are up.  Each
 * step changes one member and is committed like an operator's change.
 */
#include <syslog.h>

#include "control_state.h"

enum {
    JOIN_INTERVAL_US =
        400 * 1000, /* between join requests: a few within a start */
    VOTERS_MIN = 3, /* voters that must be up to remove a member: with
                     * fewer, the next loss would end the majority */
};

bool
enroll_is_contact(const struct control *c, struct name from)
{
    if (!c->opts.enroll) {
        return false;
    }
    /* A new process without members accepts any leader. */
    if (c->members.n_members == 0) {
        return true;
    }
    for (size_t i = 0; i < c->n_contacts; i++) {
        if (name_equal(c->contacts[i], from)) {
            return true;
        }
    }
    return false;
}

static void
send_join(struct control *c, struct name to)
{
    struct msg m = {.kind = MSG_JOIN};

    if (name_equal(to, c->opts.self)) {
        return;
    }
    m.u.join.address = c->opts.address;
    m.u.join.http = c->opts.http;
    m.u.join.disk = c->opts.disk;
    control_send(c, to, &m, 0);
}

static void
send_join_to_all(struct control *c)
{
    for (size_t i = 0; i < c->opts.n_configured; i++) {
        send_join(c, c->opts.configured[i]);
    }
    for (size_t i = 0; i < c->members.n_members; i++) {
        send_join(c, c->members.members[i].name);
    }
    for (size_t i = 0; i < c->n_contacts; i++) {
        send_join(c, c->contacts[i]);
    }
}

/* Sends join requests while no leader is heard.  Members do so too: a member
 * that was removed during a partition still has the old membership in its log,
 * and would wait for votes forever. */
static void
join_if_leaderless(struct control *c)
{
    int64_t silent = c->now.mono_us - c->leader_heard_us;

    if (c->stopping || c->now.mono_us < c->join_due_us ||
        (c->members.n_members > 0 &&
         silent < 2 * c->opts.election_timeout_us)) {
        return;
    }
    c->join_due_us = c->now.mono_us + JOIN_INTERVAL_US;
    send_join_to_all(c);
}

static void
propose_change(struct control *c, enum change_action action,
               struct name member, const struct rec_join *j,
               enum control_reason reason)
{
    struct msg m = {.kind = MSG_MEMBERSHIP};
    struct cev_change change = {.action = action, .member = member};
    const char *detail = "";

    if (j != NULL) {
        change.address = j->address;
        change.http = j->http;
    }
    if (quorum_prepare_change(c, &change, &m.u.membership, &detail) !=
        CONTROL_OK) {
        return; /* retried at the next tick or join request */
    }
    control_log(c, LOG_NOTICE, reason, member, "%zu members",
                m.u.membership.n_members);
    (void)replicate_propose(c, LOG_KIND_MEMBERS, &m);
    msg_free(&m);
}

static void
send_members(struct control *c, struct name to)
{
    struct msg m = {.kind = MSG_MEMBERSHIP};

    if (c->members.n_members == 0) {
        return;
    }
    m.u.membership = membership_copy(&c->members);
    control_send(c, to, &m, 0);
}

/* A join request counts as contact.  Otherwise the last contact would date
 * from before the member's removal, and the member could be removed again
 * before its first reply arrives. */
static void
record_contact(struct control *c, struct name name)
{
    struct progress *p = quorum_progress(c, name);

    if (p != NULL) {
        p->last_heard_us = c->now.mono_us;
    }
}

void
enroll_on_join(struct control *c, struct name from, const struct rec_join *j)
{
    if (c->role != CONTROL_LEADER) {
        send_members(c, from);
        return;
    }
    if (quorum_find_member(c, from) == NULL) {
        propose_change(c, CHANGE_ADD, from, j, CONTROL_REASON_ENROLLED);
        record_contact(c, from);
    }
}

void
enroll_add_contact(struct control *c, struct name name)
{
    if (!enroll_is_contact(c, name) && c->n_contacts < CONTROL_MEMBERS_MAX) {
        c->contacts[c->n_contacts++] = name;
    }
}

void
enroll_on_members(struct control *c, const struct rec_membership *m)
{
    struct msg *update;

    if (!c->opts.enroll) {
        return;
    }
    c->n_contacts = 0;
    for (size_t i = 0; i < m->n_members && i < CONTROL_MEMBERS_MAX; i++) {
        c->contacts[c->n_contacts++] = m->members[i].name;
    }
    update = &control_effects_add(c->fx, CE_MEMBERS)->u.members.msg;
    update->kind = MSG_MEMBERSHIP;
    update->u.membership = membership_copy(m);
}

/* Time since the last contact with a member; for a new leader, at most the
 * time since its election. */
static int64_t
silent_us(const struct control *c, const struct progress *p)
{
    int64_t since = p->last_heard_us > c->leader_since_us ? p->last_heard_us
                                                          : c->leader_since_us;

    return c->now.mono_us - since;
}

static size_t
count_active_voters(struct control *c)
{
    size_t n = quorum_self_is_voter(c) ? 1 : 0;

    for (size_t i = 0; i < c->members.n_members; i++) {
        struct progress *p = quorum_progress(c, c->members.members[i].name);

        n += p != NULL && quorum_peer_is_voter(c, p) &&
             silent_us(c, p) < c->opts.election_timeout_us;
    }
    return n;
}

static bool
has_other_disk(const struct rec_control_member *m, const struct progress *p)
{
    return m->voter != 0 && p->disk != 0 && p->disk != m->disk;
}

/* Proposes the first change that is due; only one can be in progress. */
static void
maintain_members(struct control *c)
{
    bool spare = count_active_voters(c) >= VOTERS_MIN;

    for (size_t i = 0; i < c->members.n_members; i++) {
        struct rec_control_member m = c->members.members[i];
        struct progress *p = quorum_progress(c, m.name);

        if (p == NULL) {
            continue;
        }
        if (has_other_disk(&m, p)) {
            propose_change(c, CHANGE_REPLACE, m.name, NULL,
                           CONTROL_REASON_DISK_REPLACED);
            return;
        }
        if (spare && silent_us(c, p) > c->opts.remove_timeout_us) {
            propose_change(c, CHANGE_REMOVE, m.name, NULL,
                           CONTROL_REASON_REMOVED);
            return;
        }
    }
}

void
enroll_tick(struct control *c)
{
    if (c->role != CONTROL_LEADER) {
        join_if_leaderless(c);
        return;
    }
    if (c->members_index <= c->commit_index &&
        c->term_start_index <= c->commit_index && !c->stopping) {
        maintain_members(c);
    }
}
