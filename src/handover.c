#include "handover.h"

#include <stdlib.h>
#include <syslog.h>

#include "holder.h"
#include "job_state.h"
#include "member.h"
#include "successor.h"

#define RESEND_US (200 * USEC_PER_MSEC) /* before a batch is sent again */

enum {
    BATCH_ANSWERS = 256,
    BATCH_BYTES = 1 << 20, /* exceeded only by a batch of one answer */
};

enum handover_phase {
    HANDOVER_NOT_STARTED,
    HANDOVER_SENDING,
    HANDOVER_FINISHED
};

struct handover {
    enum handover_phase phase;
    struct name successor;
    uint64_t successor_incarnation;
    int64_t end_us;
    int64_t resend_us;
    uint64_t batch;
    uint32_t at;         /* start of the batch in flight, see table_next() */
    uint32_t next;       /* start of the batch after it */
    size_t in_flight;    /* answers in the batch in flight */
    size_t acknowledged; /* answers acknowledged */
};

struct handover *
handover_new(void)
{
    struct handover *h = calloc(1, sizeof(*h));

    if (h == NULL) {
        abort();
    }
    return h;
}

void
handover_free(struct handover *h)
{
    free(h);
}

static size_t
count_kept(const struct entry *e)
{
    uint32_t at = 0;
    size_t n = 0;
    const struct job *job;

    while ((job = jobs_next(e, &at)) != NULL) {
        n += job->phase == JOB_ENDED ? 1 : 0;
    }
    return n;
}

/* The next usable member after this instance in the order of names, one of its
 * own zone if possible; NULL if there is none. */
static const struct member *
choose_successor(const struct entry *e)
{
    const struct member *other_zone = NULL;
    size_t n = e->opts.n_peers;
    size_t own = members_index(e, members_by_name(e, e->opts.self));

    for (size_t i = 1; i < n; i++) {
        const struct member *m =
            members_by_index(e, (uint16_t)((own + i) % n));

        if (!m->up || m->stopping) {
            continue;
        }
        if (name_equal(m->zone, e->zone)) {
            return m;
        }
        other_zone = other_zone != NULL ? other_zone : m;
    }
    return other_zone;
}

static void
fill_answer(const struct entry *e, const struct job *job,
            struct rec_kept_answer *to)
{
    int64_t left = job->ended_us + e->opts.answer_keep_us - e->now.mono_us;

    to->key = job->id;
    to->digest = job->digest;
    to->status = job->answer->status;
    to->reason = job->answer->reason;
    to->left_us = left > 0 ? (uint64_t)left : 0;
    to->n_tasks = waiter_encode_tasks(job->answer, &to->tasks);
}

/* Sends the answers that follow h->at; false if there are none. */
static bool
send_batch(struct entry *e)
{
    struct handover *h = e->handover;
    struct msg m = {.kind = MSG_ANSWER_HANDOVER};
    struct rec_answer_handover *r = &m.u.answer_handover;
    uint32_t at = h->at;
    size_t bytes = 0;
    struct job *job;

    r->answers = calloc(BATCH_ANSWERS, sizeof(*r->answers));
    if (r->answers == NULL) {
        abort();
    }
    h->next = h->at;
    while (r->n_answers < BATCH_ANSWERS && (job = jobs_next(e, &at)) != NULL) {
        if (job->phase == JOB_ENDED) {
            bytes += job->kept_bytes;
            if (bytes > BATCH_BYTES && r->n_answers > 0) {
                break;
            }
            fill_answer(e, job, &r->answers[r->n_answers++]);
        }
        h->next = at;
    }
    if (r->n_answers == 0) {
        msg_free(&m);
        return false;
    }
    r->incarnation = e->opts.incarnation;
    r->batch = h->batch;
    h->in_flight = r->n_answers;
    h->resend_us = e->now.mono_us + RESEND_US;
    entry_send(e, h->successor, &m);
    return true;
}

static void
finish_handover(struct entry *e, size_t left)
{
    struct handover *h = e->handover;

    h->phase = HANDOVER_FINISHED;
    entry_log(e, left > 0 ? LOG_WARNING : LOG_NOTICE, REASON_STOPPING, NULL,
              -1, h->successor,
              "kept answers: %zu handed over, %zu not handed over",
              h->acknowledged, left);
}

static size_t
count_unacknowledged(const struct entry *e)
{
    size_t kept = count_kept(e);

    return kept > e->handover->acknowledged ? kept - e->handover->acknowledged
                                            : 0;
}

/* Announces @m as successor and sends the first batch to it; without one, the
 * handover ends.  After a successor failed, all answers are sent again to the
 * next one.  HANDOVER_TIMEOUT_US limits the time for all successors together.
 */
static void
start_sending_to(struct entry *e, const struct member *m)
{
    struct handover *h = e->handover;

    h->acknowledged = 0;
    if (m == NULL) {
        finish_handover(e, count_kept(e));
        return;
    }
    h->successor = m->name;
    h->successor_incarnation = m->incarnation;
    h->at = 0;
    h->batch++;
    successors_set(e, e->opts.self, e->opts.incarnation, m->name,
                   m->incarnation, e->opts.answer_keep_us);
    members_announce_stopping(e);
    if (!send_batch(e)) {
        finish_handover(e, 0);
    }
}

static void
start_handover(struct entry *e)
{
    struct handover *h = e->handover;

    holders_release_all(e);
    h->end_us = e->now.mono_us + HANDOVER_TIMEOUT_US;
    h->phase = HANDOVER_SENDING;
    if (count_kept(e) == 0) {
        h->phase = HANDOVER_FINISHED;
        return;
    }
    start_sending_to(e, choose_successor(e));
}

static void
continue_handover(struct entry *e)
{
    struct handover *h = e->handover;
    const struct member *m = members_by_name(e, h->successor);

    if (e->now.mono_us >= h->end_us) {
        finish_handover(e, count_unacknowledged(e));
    }
    else if (!m->up || m->stopping ||
             m->incarnation != h->successor_incarnation) {
        start_sending_to(e, choose_successor(e));
    }
    else if (e->now.mono_us >= h->resend_us) {
        if (!send_batch(e)) {
            finish_handover(e, 0);
        }
    }
}

bool
handover_advance(struct entry *e)
{
    struct handover *h = e->handover;

    if (h->phase == HANDOVER_NOT_STARTED) {
        start_handover(e);
    }
    else if (h->phase == HANDOVER_SENDING) {
        continue_handover(e);
    }
    return h->phase == HANDOVER_FINISHED;
}

int64_t
handover_next_us(const struct entry *e)
{
    const struct handover *h = e->handover;

    if (h->phase != HANDOVER_SENDING) {
        return INT64_MAX;
    }
    return h->resend_us < h->end_us ? h->resend_us : h->end_us;
}

static void
on_answer_taken(struct entry *e, struct name from,
                const struct rec_answer_taken *m)
{
    struct handover *h = e->handover;

    if (h->phase != HANDOVER_SENDING || !name_equal(from, h->successor) ||
        m->batch != h->batch) {
        return; /* delayed or duplicated */
    }
    if (m->refused != 0) {
        members_by_name(e, from)->stopping = true;
        start_sending_to(e, choose_successor(e));
        return;
    }
    h->acknowledged += h->in_flight;
    h->at = h->next;
    h->batch++;
    if (!send_batch(e)) {
        finish_handover(e, 0);
    }
}

/* Callers that wait here for the job get the answer now.  If this instance has
 * an outcome for the key or runs the job itself, the answer is ignored. */
static void
take_answer(struct entry *e, const struct rec_kept_answer *r)
{
    struct job *job = jobs_by_key(e, r->key);
    int64_t left = e->opts.answer_keep_us;
    struct job_answer *a;

    if (job_find_used_key(e, r->key) != NULL ||
        (job != NULL && job->phase != JOB_JOINED &&
         job->phase != JOB_CLAIMING)) {
        return;
    }
    a = job_answer_decode(r->status, r->reason, r->tasks, r->n_tasks);
    if (job != NULL && job_digest_differs(job, r->digest)) {
        job_refuse_not_started(e, job, PROBLEM_CONFLICT, 0, WAIT_CONFLICT,
                               "the key was used with another body");
    }
    else if (job != NULL) {
        waiters_answer(e, &e->jobs->waiters_by_request, job, a);
        job_remove(e, job);
    }
    left = r->left_us < (uint64_t)left ? (int64_t)r->left_us : left;
    job_add_ended(e, r->key, r->digest, a, left);
}

static bool
on_answer_handover(struct entry *e, struct name from,
                   const struct rec_answer_handover *m)
{
    const struct member *sender = members_by_name(e, from);
    struct msg reply = {.kind = MSG_ANSWER_TAKEN};

    if (sender == NULL || sender->self ||
        m->incarnation < sender->incarnation) {
        return false;
    }
    for (size_t i = 0; i < m->n_answers; i++) {
        const struct rec_kept_answer *r = &m->answers[i];

        if (!job_answer_valid(r->status, r->reason, r->tasks, r->n_tasks)) {
            return false;
        }
    }
    reply.u.answer_taken.batch = m->batch;
    reply.u.answer_taken.refused = e->stopping ? 1 : 0;
    if (!e->stopping) {
        successors_set(e, from, m->incarnation, e->opts.self,
                       e->opts.incarnation, e->opts.answer_keep_us);
        for (size_t i = 0; i < m->n_answers; i++) {
            take_answer(e, &m->answers[i]);
        }
    }
    entry_send(e, from, &reply);
    return true;
}

void
handover_on_message(struct entry *e, struct name from, const struct msg *m)
{
    bool valid = true;

    if (m->kind == MSG_ANSWER_HANDOVER) {
        valid = on_answer_handover(e, from, &m->u.answer_handover);
    }
    else {
        on_answer_taken(e, from, &m->u.answer_taken);
    }
    if (!valid) {
        e->counters.messages_bad++;
        entry_log(e, LOG_WARNING, REASON_BAD_MESSAGE, NULL, -1, from, "%s",
                  msg_name(m->kind));
    }
}
