#include "explain.h"

#include <jansson.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <syslog.h>
#include <time.h>

#include "claim.h"
#include "dump.h"
#include "member.h"
#include "submission.h"

enum {
    DECISIONS_MIN_CAPACITY = 4, /* initial capacity */
    DECISIONS_FIRST = 8, /* first decisions, which are never overwritten */
    DECISIONS_MAX = 16,  /* stored in one job */
    RING_SIZE = 4096,    /* decisions on all keys */
    TIME_SIZE = 40,
};

/* One decision, as stored in a job. */
struct decision {
    int64_t wall_us;
    uint16_t reason;
    int16_t index;
    struct name subject;
};

struct decisions {
    uint32_t n; /* recorded so far, including overwritten ones */
    uint32_t capacity;
    struct decision items[];
};

/* One decision, as stored in the ring buffer. */
struct ring_entry {
    struct key_id key;
    struct decision decision;
    char detail[DETAIL_SIZE];
};

struct explain {
    struct ring_entry *ring;
    uint64_t n; /* recorded so far, including overwritten ones */
};

struct explain *
explain_new(void)
{
    struct explain *x = calloc(1, sizeof(*x));

    if (x != NULL) {
        x->ring = calloc(RING_SIZE, sizeof(*x->ring));
    }
    if (x == NULL || x->ring == NULL) {
        abort();
    }
    return x;
}

void
explain_free(struct explain *x)
{
    if (x != NULL) {
        free(x->ring);
        free(x);
    }
}

size_t
explain_bytes(const struct job *job)
{
    const struct decisions *decisions = job->decisions;

    return decisions == NULL
               ? 0
               : sizeof(*decisions) +
                     decisions->capacity * sizeof(decisions->items[0]);
}

void
explain_clear(struct job *job)
{
    free(job->decisions);
    job->decisions = NULL;
}

static struct decisions *
decisions_grow(struct decisions *decisions)
{
    uint32_t capacity =
        decisions != NULL ? decisions->capacity * 2 : DECISIONS_MIN_CAPACITY;
    struct decisions *grown = realloc(
        decisions, sizeof(*decisions) + capacity * sizeof(struct decision));

    if (grown == NULL) {
        abort();
    }
    if (decisions == NULL) {
        grown->n = 0;
    }
    grown->capacity = capacity;
    return grown;
}

/* Index at which the decision number @n is stored.  The first DECISIONS_FIRST
 * decisions are kept; the rest of the array is a ring of the latest ones. */
static uint32_t
decision_index(uint32_t n)
{
    if (n < DECISIONS_MAX) {
        return n;
    }
    return DECISIONS_FIRST +
           (n - DECISIONS_FIRST) % (DECISIONS_MAX - DECISIONS_FIRST);
}

void
explain_record(struct entry *e, struct job *job, enum reason reason,
               int32_t index, struct name subject)
{
    struct decisions *decisions = job->decisions;
    uint32_t at = decisions != NULL ? decision_index(decisions->n) : 0;

    if (decisions == NULL || at >= decisions->capacity) {
        decisions = decisions_grow(decisions);
        job->decisions = decisions;
    }
    decisions->items[at] = (struct decision){.wall_us = e->now.wall_us,
                                             .reason = (uint16_t)reason,
                                             .index = (int16_t)index,
                                             .subject = subject};
    decisions->n++;
}

static void
ring_add(struct entry *e, const struct ef_log *log)
{
    struct explain *x = e->explain;
    struct ring_entry *d = &x->ring[x->n++ % RING_SIZE];

    d->key = log->key;
    d->decision.wall_us = e->now.wall_us;
    d->decision.reason = (uint16_t)log->reason;
    d->decision.index = (int16_t)log->index;
    d->decision.subject = log->subject;
    memcpy(d->detail, log->detail, sizeof(d->detail));
}

void
explain_record_log(struct entry *e, const struct ef_log *log)
{
    struct job *job = jobs_by_key(e, log->key);

    if (job != NULL) {
        explain_record(e, job, log->reason, log->index, log->subject);
    }
    if (job == NULL || log->severity <= LOG_INFO) {
        ring_add(e, log);
    }
}

/* ---- JSON ---- */

static json_t *
decision_json(const struct decision *decision, const char *detail)
{
    json_t *o = json_object();
    time_t seconds = (time_t)(decision->wall_us / USEC_PER_SEC);
    char day[TIME_SIZE];
    char text[TIME_SIZE + TIME_SIZE];
    struct tm tm;

    (void)gmtime_r(&seconds, &tm);
    (void)strftime(day, sizeof(day), "%Y-%m-%dT%H:%M:%S", &tm);
    (void)snprintf(text, sizeof(text), "%s.%06dZ", day,
                   (int)(decision->wall_us % USEC_PER_SEC));
    (void)json_object_set_new(o, "time", json_string(text));
    (void)json_object_set_new(
        o, "reason", json_string(reason_text((enum reason)decision->reason)));
    if (decision->index >= 0) {
        (void)json_object_set_new(o, "task", json_integer(decision->index));
    }
    if (!name_empty(decision->subject)) {
        (void)json_object_set_new(o, "subject",
                                  json_string(decision->subject.s));
    }
    if (detail != NULL && detail[0] != '\0') {
        (void)json_object_set_new(o, "detail", json_string(detail));
    }
    return o;
}

static json_t *
ring_json(const struct explain *x, struct key_id id)
{
    json_t *list = json_array();
    uint64_t from = x->n > RING_SIZE ? x->n - RING_SIZE : 0;

    for (uint64_t i = from; i < x->n; i++) {
        const struct ring_entry *d = &x->ring[i % RING_SIZE];

        if (key_id_equal(d->key, id)) {
            (void)json_array_append_new(
                list, decision_json(&d->decision, d->detail));
        }
    }
    return list;
}

/* The decisions stored in a job, in the order of recording; "left_out" is the
 * number of those overwritten in between. */
static json_t *
decisions_json(const struct decisions *decisions, json_t *root)
{
    json_t *list = json_array();
    uint32_t n = decisions != NULL ? decisions->n : 0;
    uint32_t left_out = n > DECISIONS_MAX ? n - DECISIONS_MAX : 0;

    for (uint32_t i = 0; i < n; i++) {
        if (i < DECISIONS_FIRST || i >= DECISIONS_FIRST + left_out) {
            const struct decision *decision =
                &decisions->items[decision_index(i)];

            (void)json_array_append_new(list, decision_json(decision, NULL));
        }
    }
    (void)json_object_set_new(root, "left_out", json_integer(left_out));
    return list;
}

static json_t *
voters_json(const struct entry *e, struct name zone)
{
    json_t *list = json_array();
    struct name voters[VOTERS_PER_ZONE];
    size_t n = members_voters(e, zone, voters);

    for (size_t i = 0; i < n; i++) {
        (void)json_array_append_new(list, json_string(voters[i].s));
    }
    return list;
}

static json_t *
claim_json(const struct claim_result *r)
{
    json_t *o = json_object();

    (void)json_object_set_new(o, "claimer", json_string(r->claimer.s));
    (void)json_object_set_new(o, "incarnation",
                              json_integer((json_int_t)r->incarnation));
    (void)json_object_set_new(
        o, "purpose",
        json_string(r->purpose == CLAIM_CANCEL ? "cancel" : "run"));
    return o;
}

void
explain_query(struct entry *e, const struct ev_query *q)
{
    struct claim_result claim;
    struct key_ref key;
    const struct job *job;
    json_t *root;
    size_t n;
    const struct name *zones = members_zones(e, &n);
    enum key_error err = key_parse(q->key, zones, n, &key);

    if (err != KEY_OK) {
        entry_refuse(e, q->request, PROBLEM_BAD_KEY, 0, key_error_text(err));
        return;
    }
    root = json_object();
    job = jobs_by_key(e, key.id);
    (void)json_object_set_new(root, "key", json_string(q->key));
    (void)json_object_set_new(root, "instance", json_string(e->opts.self.s));
    (void)json_object_set_new(root, "home", json_string(key.zone.s));
    (void)json_object_set_new(root, "voters", voters_json(e, key.zone));
    if (claims_lookup(e, key.id, &claim)) {
        (void)json_object_set_new(root, "claim", claim_json(&claim));
    }
    if (job != NULL) {
        (void)json_object_set_new(root, "job", dump_job(job));
        (void)json_object_set_new(root, "decisions",
                                  decisions_json(job->decisions, root));
    }
    (void)json_object_set_new(root, "of_note", ring_json(e->explain, key.id));
    dump_send_reply(e, q->request, root);
}
