#include "successor.h"

#include <stdlib.h>
#include <syslog.h>

#include "member.h"

enum { RECORDS_MAX = 32 };

/** struct successor_record - the answers of an incarnation of @member are at
 * @successor */
struct successor_record {
    struct name member;
    uint64_t incarnation;
    struct name successor;
    uint64_t successor_incarnation;
    int64_t expires_us; /* expiry, monotonic */
};

struct successors {
    struct successor_record items[RECORDS_MAX];
    size_t n;
};

struct successors *
successors_new(void)
{
    struct successors *m = calloc(1, sizeof(*m));

    if (m == NULL) {
        abort();
    }
    return m;
}

void
successors_free(struct successors *m)
{
    free(m);
}

static struct successor_record *
find_record(const struct entry *e, struct name member, uint64_t incarnation)
{
    struct successors *m = e->successors;

    for (size_t i = 0; i < m->n; i++) {
        if (m->items[i].incarnation == incarnation &&
            name_equal(m->items[i].member, member)) {
            return &m->items[i];
        }
    }
    return NULL;
}

/* A free record, or else the one that expires first. */
static struct successor_record *
record_to_use(const struct entry *e)
{
    struct successors *m = e->successors;
    struct successor_record *first = &m->items[0];

    for (size_t i = 0; i < m->n; i++) {
        if (m->items[i].expires_us < first->expires_us) {
            first = &m->items[i];
        }
    }
    if (m->n < RECORDS_MAX &&
        (m->n == 0 || first->expires_us > e->now.mono_us)) {
        return &m->items[m->n++];
    }
    return first;
}

void
successors_set(struct entry *e, struct name member, uint64_t incarnation,
               struct name successor, uint64_t successor_incarnation,
               int64_t left_us)
{
    struct successor_record *to = find_record(e, member, incarnation);

    if (to == NULL) {
        to = record_to_use(e);
    }
    to->member = member;
    to->incarnation = incarnation;
    to->successor = successor;
    to->successor_incarnation = successor_incarnation;
    to->expires_us = e->now.mono_us + left_us;
}

/* Each incarnation stops once, so a chain has no cycle unless a peer sends
 * false records; the limit of hops ends the loop in that case too. */
bool
successors_follow(const struct entry *e, struct name *at,
                  uint64_t *incarnation)
{
    bool found = false;

    for (size_t hops = 0; hops < RECORDS_MAX; hops++) {
        const struct successor_record *m = find_record(e, *at, *incarnation);

        if (m == NULL || m->expires_us <= e->now.mono_us) {
            break;
        }
        *at = m->successor;
        *incarnation = m->successor_incarnation;
        found = true;
    }
    return found;
}

/* The remaining time is reduced by a heartbeat interval each time a record is
 * sent: otherwise two instances could renew each other's record forever. */
size_t
successors_list(const struct entry *e, struct rec_moved **out)
{
    const struct successors *m = e->successors;
    size_t n = 0;

    if (m->n == 0) {
        return 0;
    }
    *out = calloc(m->n, sizeof(**out));
    if (*out == NULL) {
        abort();
    }
    for (size_t i = 0; i < m->n; i++) {
        const struct successor_record *from = &m->items[i];
        int64_t left =
            from->expires_us - e->now.mono_us - e->opts.heartbeat_us;

        if (left > 0) {
            (*out)[n++] = (struct rec_moved){.member = from->member,
                                             .incarnation = from->incarnation,
                                             .successor = from->successor,
                                             .successor_incarnation =
                                                 from->successor_incarnation,
                                             .left_us = (uint64_t)left};
        }
    }
    return n;
}

/* The records have a message kind of their own, because instances of an
 * earlier version ignore an unknown kind of message, but reject a heartbeat
 * with an additional field and would consider its sender down. */
void
successors_send(struct entry *e, struct name to)
{
    struct msg m = {.kind = MSG_MOVES};

    m.u.moves.n_moves = successors_list(e, &m.u.moves.moves);
    if (m.u.moves.n_moves > 0) {
        entry_send(e, to, &m);
    }
    else {
        msg_free(&m);
    }
}

/* A report by the stopped instance itself replaces the record; one by another
 * instance is used only if there is no record yet. */
static void
merge_record(struct entry *e, struct name from, const struct rec_moved *r)
{
    int64_t left = e->opts.answer_keep_us;

    if (members_by_name(e, r->member) == NULL ||
        members_by_name(e, r->successor) == NULL ||
        (!name_equal(r->member, from) &&
         find_record(e, r->member, r->incarnation) != NULL)) {
        return;
    }
    left = r->left_us < (uint64_t)left ? (int64_t)r->left_us : left;
    successors_set(e, r->member, r->incarnation, r->successor,
                   r->successor_incarnation, left);
}

void
successors_on_message(struct entry *e, struct name from,
                      const struct rec_moves *m)
{
    if (members_by_name(e, from) == NULL) {
        e->counters.messages_bad++;
        entry_log(e, LOG_WARNING, REASON_BAD_MESSAGE, NULL, -1, from, "moves");
        return;
    }
    for (size_t i = 0; i < m->n_moves && i < RECORDS_MAX; i++) {
        merge_record(e, from, &m->moves[i]);
    }
}
