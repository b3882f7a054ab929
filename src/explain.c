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
    NOTES_START = 4,  /* room of a job's first notes */
    NOTES_FIRST = 8,  /* that are never overwritten */
    NOTES_MAX = 16,   /* of one job */
    RING_SIZE = 4096, /* decisions of note about any key */
    TIME_SIZE = 40,
};

/* One decision about a job that is here. */
struct note {
    int64_t wall_us;
    uint16_t reason;
    int16_t index;
    struct name subject;
};

struct notes {
    uint32_t n; /* ever noted */
    uint32_t room;
    struct note items[];
};

struct decision {
    struct key_id key;
    struct note note;
    char detail[DETAIL_SIZE];
};

struct explain {
    struct decision *ring;
    uint64_t n; /* ever kept */
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
    const struct notes *notes = job->notes;

    return notes == NULL
               ? 0
               : sizeof(*notes) + notes->room * sizeof(notes->items[0]);
}

void
explain_clear(struct job *job)
{
    free(job->notes);
    job->notes = NULL;
}

static struct notes *
notes_grow(struct notes *notes)
{
    uint32_t room = notes != NULL ? notes->room * 2 : NOTES_START;
    struct notes *grown =
        realloc(notes, sizeof(*notes) + room * sizeof(struct note));

    if (grown == NULL) {
        abort();
    }
    if (notes == NULL) {
        grown->n = 0;
    }
    grown->room = room;
    return grown;
}

/* Where the nth note goes: how a job began and what came last say most. */
static uint32_t
note_place(uint32_t n)
{
    if (n < NOTES_MAX) {
        return n;
    }
    return NOTES_FIRST + (n - NOTES_FIRST) % (NOTES_MAX - NOTES_FIRST);
}

void
explain_record(struct entry *e, struct job *job, enum reason reason,
               int32_t index, struct name subject)
{
    struct notes *notes = job->notes;
    uint32_t place = notes != NULL ? note_place(notes->n) : 0;

    if (notes == NULL || place >= notes->room) {
        notes = notes_grow(notes);
        job->notes = notes;
    }
    notes->items[place] = (struct note){.wall_us = e->now.wall_us,
                                        .reason = (uint16_t)reason,
                                        .index = (int16_t)index,
                                        .subject = subject};
    notes->n++;
}

static void
ring_add(struct entry *e, const struct ef_log *log)
{
    struct explain *x = e->explain;
    struct decision *d = &x->ring[x->n++ % RING_SIZE];

    d->key = log->key;
    d->note.wall_us = e->now.wall_us;
    d->note.reason = (uint16_t)log->reason;
    d->note.index = (int16_t)log->index;
    d->note.subject = log->subject;
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

/* ---- as JSON ---- */

static json_t *
note_json(const struct note *note, const char *detail)
{
    json_t *o = json_object();
    time_t seconds = (time_t)(note->wall_us / USEC_PER_SEC);
    char day[TIME_SIZE];
    char text[TIME_SIZE + TIME_SIZE];
    struct tm tm;

    (void)gmtime_r(&seconds, &tm);
    (void)strftime(day, sizeof(day), "%Y-%m-%dT%H:%M:%S", &tm);
    (void)snprintf(text, sizeof(text), "%s.%06dZ", day,
                   (int)(note->wall_us % USEC_PER_SEC));
    (void)json_object_set_new(o, "time", json_string(text));
    (void)json_object_set_new(
        o, "reason", json_string(reason_text((enum reason)note->reason)));
    if (note->index >= 0) {
        (void)json_object_set_new(o, "task", json_integer(note->index));
    }
    if (!name_empty(note->subject)) {
        (void)json_object_set_new(o, "subject", json_string(note->subject.s));
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
        const struct decision *d = &x->ring[i % RING_SIZE];

        if (key_id_equal(d->key, id)) {
            (void)json_array_append_new(list, note_json(&d->note, d->detail));
        }
    }
    return list;
}

/* In the order in which they were noted; what was overwritten in between is
 * counted. */
static json_t *
notes_json(const struct notes *notes, json_t *root)
{
    json_t *list = json_array();
    uint32_t n = notes != NULL ? notes->n : 0;
    uint32_t left_out = n > NOTES_MAX ? n - NOTES_MAX : 0;

    for (uint32_t i = 0; i < n; i++) {
        if (i < NOTES_FIRST || i >= NOTES_FIRST + left_out) {
            const struct note *note = &notes->items[note_place(i)];

            (void)json_array_append_new(list, note_json(note, NULL));
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
                                  notes_json(job->notes, root));
    }
    (void)json_object_set_new(root, "of_note", ring_json(e->explain, key.id));
    dump_send_reply(e, q->request, root);
}
