/*
 * Leader election (Raft 5.2 and 5.4.1), with pre-vote, leader stickiness and
 * leadership transfer.
 */
#include <string.h>
#include <syslog.h>

#include "control_state.h"

void
election_reset_timer(struct control *c)
{
    uint64_t jitter =
        control_random(c) % (uint64_t)(c->opts.election_timeout_us + 1);

    c->election_due_us =
        c->now.mono_us + c->opts.election_timeout_us + (int64_t)jitter;
}

/* Whether no leader was seen since the process started. */
static bool
is_starting(const struct control *c)
{
    return c->opts.startup_timeout_us > 0 && !c->seen_leader;
}

/* Until a leader was seen since the start, the pre-vote is repeated soon:
 * after a power loss of the region, the other members may have started just
 * after the first requests were sent. */
void
election_reset_startup_timer(struct control *c)
{
    int64_t first_us = c->opts.startup_timeout_us;

    c->election_due_us = c->now.mono_us + first_us +
                         (int64_t)(control_random(c) % (uint64_t)first_us);
}

static void
clear_votes(struct control *c)
{
    for (size_t i = 0; i < PEERS_MAX; i++) {
        c->peers[i].vote_granted = false;
    }
}

static void
request_votes(struct control *c)
{
    for (size_t i = 0; i < c->members.n_members; i++) {
        const struct rec_control_member *to = &c->members.members[i];
        struct msg m = {.kind = MSG_VOTE};

        if (to->voter == 0 || name_equal(to->name, c->opts.self)) {
            continue;
        }
        m.u.vote.term = c->pre_vote ? c->term + 1 : c->term;
        m.u.vote.pre = c->pre_vote ? 1 : 0;
        m.u.vote.last_index = clog_last(&c->log);
        m.u.vote.last_term = clog_last_term(&c->log);
        m.u.vote.forced = c->forced ? 1 : 0;
        control_send(c, to->name, &m, c->hard_state_seq);
    }
}

static void
campaign(struct control *c, bool pre, bool forced, uint64_t term)
{
    c->role = CONTROL_CANDIDATE;
    c->pre_vote = pre;
    c->forced = forced;
    c->leader = name_of("");
    clear_votes(c);
    c->campaign_start_us = c->now.mono_us;
    if (pre && is_starting(c)) {
        election_reset_startup_timer(c);
    }
    else {
        election_reset_timer(c);
    }
    if (!pre) {
        control_save_term(c, term, c->opts.self);
        c->counters.elections++;
        control_log(c, LOG_NOTICE, CONTROL_REASON_ELECTION, c->opts.self,
                    "term %llu", (unsigned long long)term);
    }
    request_votes(c);
    election_count_votes(c);
}

static void
become_leader(struct control *c)
{
    c->role = CONTROL_LEADER;
    c->leader = c->opts.self;
    c->seen_leader = true;
    c->quorum_check_us = c->now.mono_us + c->opts.election_timeout_us;
    c->transfer_requested = false;
    c->leader_since_us = c->now.mono_us;
    c->counters.led++;
    control_log(c, LOG_NOTICE, CONTROL_REASON_LEADING, c->opts.self,
                "term %llu", (unsigned long long)c->term);
    replicate_init_leader(c);
}

void
election_count_votes(struct control *c)
{
    if (c->role != CONTROL_CANDIDATE || !quorum_votes_won(c)) {
        return;
    }
    if (c->pre_vote) {
        campaign(c, false, c->forced, c->term + 1);
        return;
    }
    become_leader(c);
}

/* The pre-vote comes first and changes no term.  Without it, a partitioned
 * member would raise its term with every campaign, and on its return depose a
 * leader that all other members follow. */
void
election_tick(struct control *c)
{
    bool pre = !c->opts.breaks[CONTROL_BREAK_NO_PRE_VOTE];

    if (c->role == CONTROL_LEADER || c->now.mono_us < c->election_due_us ||
        c->stopping) {
        return;
    }
    c->leader = name_of("");
    if (!quorum_self_is_voter(c)) {
        election_reset_timer(c);
        return;
    }
    campaign(c, pre, false, c->term + 1);
}

void
election_become_follower(struct control *c, uint64_t term, struct name leader)
{
    bool changed = !name_equal(leader, c->leader) || term > c->term;

    if (term > c->term) {
        control_save_term(c, term, leader);
    }
    if (c->role == CONTROL_LEADER) {
        control_log(c, LOG_NOTICE, CONTROL_REASON_STEPPED_DOWN, c->opts.self,
                    "term %llu", (unsigned long long)term);
    }
    if (c->role != CONTROL_FOLLOWER || !name_empty(leader)) {
        election_reset_timer(c);
    }
    c->role = CONTROL_FOLLOWER;
    c->leader = leader;
    if (name_empty(leader)) {
        return;
    }
    c->leader_heard_us = c->now.mono_us;
    c->seen_leader = true;
    if (changed) {
        control_log(c, LOG_INFO, CONTROL_REASON_FOLLOWING, leader, "term %llu",
                    (unsigned long long)term);
    }
}

void
election_campaign_above(struct control *c, uint64_t term)
{
    control_log(c, LOG_WARNING, CONTROL_REASON_HIGHER_TERM, c->opts.self,
                "term %llu is above our term %llu", (unsigned long long)term,
                (unsigned long long)c->term);
    campaign(c, false, true, term + 1);
}

/* A folder without entries after the founding snapshot may belong to a disk
 * that was lost, and that an operator founded again by mistake.  If the
 * candidate's log is longer, the region has been in use, so this member gives
 * no vote; it waits for a leader that is elected without it. */
static bool
may_be_founded_again(struct control *c, struct name from,
                     const struct rec_vote *v)
{
    bool log_is_empty = clog_last(&c->log) == CONTROL_FOUNDING_INDEX &&
                        clog_last_term(&c->log) == CONTROL_FOUNDING_TERM;
    bool suspect = log_is_empty && v->last_index > CONTROL_FOUNDING_INDEX &&
                   !c->opts.breaks[CONTROL_BREAK_COUNT_ANY_DISK];

    if (suspect) {
        control_log(c, LOG_WARNING, CONTROL_REASON_FOUNDED, from,
                    "no vote: the data folder is empty, was its disk lost?");
    }
    return suspect;
}

static bool
log_is_up_to_date(const struct control *c, const struct rec_vote *v)
{
    uint64_t term = clog_last_term(&c->log);

    if (c->opts.breaks[CONTROL_BREAK_ANY_LOG]) {
        return true;
    }
    return v->last_term > term ||
           (v->last_term == term && v->last_index >= clog_last(&c->log));
}

/* Vote requests are ignored while this member hears a leader: a single member
 * that cannot hear the leader must not depose it. */
static bool
has_live_leader(const struct control *c, const struct rec_vote *v)
{
    if (v->forced != 0 || c->opts.breaks[CONTROL_BREAK_NO_STICKINESS]) {
        return false;
    }
    return c->role == CONTROL_LEADER ||
           c->now.mono_us < c->leader_heard_us + c->opts.election_timeout_us;
}

/* Two members that start together campaign together; if each votes for itself,
 * neither wins, and there is no leader until the next attempt.  So of two
 * candidates with equal logs, the one with the smaller name refuses its
 * pre-vote to the other. */
static bool
has_precedence(const struct control *c, struct name from,
               const struct rec_vote *v)
{
    bool campaigning =
        c->role == CONTROL_CANDIDATE &&
        c->now.mono_us - c->campaign_start_us < c->opts.startup_timeout_us;
    bool same_log = v->last_term == clog_last_term(&c->log) &&
                    v->last_index == clog_last(&c->log);

    return campaigning && same_log && strcmp(c->opts.self.s, from.s) < 0;
}

static void
reply_to_vote(struct control *c, struct name to, const struct rec_vote *v,
              bool granted)
{
    struct msg m = {.kind = MSG_VOTE_REPLY};

    m.u.vote_reply.term = c->term;
    m.u.vote_reply.for_term = v->term;
    m.u.vote_reply.pre = v->pre;
    m.u.vote_reply.granted = granted ? 1 : 0;
    m.u.vote_reply.disk = c->opts.disk;
    control_send(c, to, &m, c->hard_state_seq);
}

/* A member that has granted a pre-vote postpones its own campaign, to let that
 * candidate win: three members that start together would otherwise each vote
 * for themselves.  Only once per start, since the reply may be lost. */
static void
yield_to_candidate(struct control *c)
{
    if (!is_starting(c) || c->yielded ||
        (c->role == CONTROL_CANDIDATE && !c->pre_vote)) {
        return;
    }
    c->yielded = true;
    c->role = CONTROL_FOLLOWER;
    election_reset_startup_timer(c);
}

static void
on_pre_vote(struct control *c, struct name from, const struct rec_vote *v)
{
    bool granted = v->term > c->term && log_is_up_to_date(c, v) &&
                   !has_precedence(c, from, v);

    if (granted) {
        yield_to_candidate(c);
    }
    reply_to_vote(c, from, v, granted);
}

static bool
grant_vote(struct control *c, struct name from, const struct rec_vote *v)
{
    bool vote_is_free = name_empty(c->vote) || name_equal(c->vote, from) ||
                        c->opts.breaks[CONTROL_BREAK_VOTE_TWICE];

    if (v->term != c->term || !vote_is_free || !log_is_up_to_date(c, v) ||
        c->role == CONTROL_LEADER) {
        return false;
    }
    if (!name_equal(c->vote, from)) {
        control_save_term(c, c->term, from);
    }
    election_reset_timer(c);
    return true;
}

void
election_on_vote(struct control *c, struct name from, const struct rec_vote *v)
{
    if (has_live_leader(c, v) || may_be_founded_again(c, from, v)) {
        return;
    }
    if (v->pre != 0) {
        on_pre_vote(c, from, v);
        return;
    }
    if (v->term > c->term) {
        election_become_follower(c, v->term, name_of(""));
    }
    reply_to_vote(c, from, v, grant_vote(c, from, v));
}

void
election_on_vote_reply(struct control *c, struct name from,
                       const struct rec_vote_reply *r)
{
    uint64_t campaign_term = c->pre_vote ? c->term + 1 : c->term;
    struct progress *p = quorum_progress(c, from);

    if (p == NULL) {
        return;
    }
    if (r->granted == 0 && r->term > c->term && c->role != CONTROL_LEADER) {
        election_become_follower(c, r->term, name_of(""));
        return;
    }
    if (c->role != CONTROL_CANDIDATE || r->pre != (c->pre_vote ? 1 : 0) ||
        r->for_term != campaign_term || r->granted == 0) {
        return;
    }
    p->disk = r->disk;
    p->vote_granted = true;
    election_count_votes(c);
}

void
election_on_hand_over(struct control *c, struct name from,
                      const struct rec_hand_over *h)
{
    if (h->term != c->term || !name_equal(from, c->leader) ||
        c->role != CONTROL_FOLLOWER || !quorum_self_is_voter(c) ||
        c->stopping) {
        return;
    }
    campaign(c, false, true, c->term + 1);
}
