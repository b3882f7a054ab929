#include "logjoin.h"

#include <stdlib.h>
#include <string.h>
#include <time.h>

#include "broker_effect.h"
#include "clock.h"

/* What must come before what, by reason, for the lines of one job that two
 * processes wrote. */
struct must_precede {
    enum broker_reason first;
    enum broker_reason then;
};

static const struct must_precede orders[] = {
    {BROKER_TAKEN, BROKER_OFFERED},     {BROKER_TAKEN, BROKER_ACCEPTED},
    {BROKER_TAKEN, BROKER_ENDED},       {BROKER_OFFERED, BROKER_ACCEPTED},
    {BROKER_ACCEPTED, BROKER_ENDED},    {BROKER_ACCEPTED, BROKER_RUNNER_LOST},
    {BROKER_ACCEPTED, BROKER_ANSWERED},
};

static const char *
text_of(const json_t *fields, const char *name)
{
    const char *text = json_string_value(json_object_get(fields, name));

    return text != NULL ? text : "";
}

/* "2026-01-02T03:04:05.123456Z" in microseconds, or 0. */
static int64_t
time_of(const char *text)
{
    struct tm tm = {0};
    const char *rest = strptime(text, "%Y-%m-%dT%H:%M:%S", &tm);
    double fraction = 0;

    if (rest == NULL) {
        return 0;
    }
    if (*rest == '.') {
        fraction = strtod(rest, NULL);
    }
    return (int64_t)timegm(&tm) * USEC_PER_SEC +
           (int64_t)(fraction * (double)USEC_PER_SEC + 0.5);
}

static bool
add(struct logjoin *j, json_t *fields)
{
    struct logjoin_line *l;

    if (j->n == j->size) {
        size_t size = j->size == 0 ? 1024 : 2 * j->size;

        l = realloc(j->lines, size * sizeof(*l));
        if (l == NULL) {
            return false;
        }
        j->lines = l;
        j->size = size;
    }
    l = &j->lines[j->n];
    *l = (struct logjoin_line){
        .fields = fields,
        .instance = text_of(fields, "instance"),
        .incarnation = (uint64_t)json_integer_value(
            json_object_get(fields, "incarnation")),
        .reason = text_of(fields, "reason"),
        .key = text_of(fields, "key"),
        .subject = text_of(fields, "subject"),
        .detail = text_of(fields, "detail"),
        .at_us = time_of(text_of(fields, "time")),
        .seq = j->n,
    };
    j->n++;
    return true;
}

bool
logjoin_read(struct logjoin *j, FILE *f)
{
    char *text = NULL;
    size_t size = 0;
    bool ok = true;

    while (ok && getline(&text, &size, f) >= 0) {
        const char *brace = strchr(text, '{');
        json_t *fields = brace == NULL
                             ? NULL
                             : json_loads(brace, JSON_DISABLE_EOF_CHECK, NULL);

        if (*text_of(fields, "reason") == '\0') {
            json_decref(fields);
            j->n_skipped++;
            continue;
        }
        ok = add(j, fields);
        if (!ok) {
            json_decref(fields);
        }
    }
    free(text);
    return ok && ferror(f) == 0;
}

void
logjoin_free(struct logjoin *j)
{
    for (size_t i = 0; i < j->n; i++) {
        json_decref(j->lines[i].fields);
    }
    free(j->lines);
    *j = (struct logjoin){0};
}

static bool
same_process(const struct logjoin_line *a, const struct logjoin_line *b)
{
    return strcmp(a->instance, b->instance) == 0 &&
           a->incarnation == b->incarnation;
}

static bool
says(const struct logjoin_line *l, enum broker_reason reason)
{
    return strcmp(l->reason, broker_reason_text(reason)) == 0;
}

static bool
precedes(const struct logjoin_line *a, const struct logjoin_line *b)
{
    if (same_process(a, b)) {
        return a->seq < b->seq;
    }
    if (*a->key == '\0' || strcmp(a->key, b->key) != 0) {
        return false;
    }
    for (size_t i = 0; i < sizeof(orders) / sizeof(*orders); i++) {
        if (says(a, orders[i].first) && says(b, orders[i].then)) {
            return true;
        }
    }
    return false;
}

/* Of the lines from @from on, the earliest that no other must precede. */
static size_t
next_in_order(const struct logjoin_line **lines, size_t from, size_t n)
{
    size_t best = n;

    for (size_t i = from; i < n; i++) {
        bool earlier = best == n || lines[i]->at_us < lines[best]->at_us;

        for (size_t k = from; k < n && earlier; k++) {
            earlier = k == i || !precedes(lines[k], lines[i]);
        }
        if (earlier) {
            best = i;
        }
    }
    return best == n ? from : best; /* a circle: as read */
}

static void
put_in_order(const struct logjoin_line **lines, size_t n)
{
    for (size_t done = 0; done < n; done++) {
        size_t next = next_in_order(lines, done, n);
        const struct logjoin_line *l = lines[next];

        memmove(&lines[done + 1], &lines[done],
                (next - done) * sizeof(struct logjoin_line *));
        lines[done] = l;
    }
}

/* What a job's own lines say of it. */
struct job_scope {
    const struct logjoin_line **own;
    size_t n_own;
    int64_t from_us;
    int64_t to_us;
};

static bool
names(const struct logjoin_line *own, const struct logjoin_line *l)
{
    return *l->subject != '\0' && (strcmp(own->subject, l->subject) == 0 ||
                                   strstr(own->detail, l->subject) != NULL);
}

/* Whether a line without a key tells of what befell the job's processes. */
static bool
befell(const struct logjoin_line *l)
{
    static const enum broker_reason reasons[] = {
        BROKER_PAUSED, BROKER_STOP_BEGUN, BROKER_CONFIG_APPLIED};

    if (strcmp(l->reason, "lines-dropped") == 0 ||
        strcmp(l->reason, "serving") == 0 ||
        strcmp(l->reason, "stopped") == 0) {
        return true;
    }
    for (size_t i = 0; i < sizeof(reasons) / sizeof(*reasons); i++) {
        if (says(l, reasons[i])) {
            return true;
        }
    }
    return false;
}

static bool
belongs(const struct job_scope *s, const struct logjoin_line *l)
{
    if (*l->key != '\0' || l->at_us < s->from_us || l->at_us > s->to_us) {
        return false;
    }
    for (size_t i = 0; i < s->n_own; i++) {
        if (strcmp(s->own[i]->instance, l->instance) == 0 &&
            (befell(l) || names(s->own[i], l))) {
            return true;
        }
    }
    return false;
}

size_t
logjoin_explain(const struct logjoin *j, const char *key, int64_t around_us,
                const struct logjoin_line ***out)
{
    const struct logjoin_line **own =
        calloc(j->n + 1, sizeof(struct logjoin_line *));
    const struct logjoin_line **all =
        calloc(j->n + 1, sizeof(struct logjoin_line *));
    struct job_scope s = {.own = own, .from_us = INT64_MAX};
    size_t n = 0;

    *out = all;
    if (own == NULL || all == NULL) {
        free(own);
        return 0;
    }
    for (size_t i = 0; i < j->n; i++) {
        const struct logjoin_line *l = &j->lines[i];

        if (strcmp(l->key, key) == 0) {
            own[s.n_own++] = l;
            s.from_us = l->at_us < s.from_us ? l->at_us : s.from_us;
            s.to_us = l->at_us > s.to_us ? l->at_us : s.to_us;
        }
    }
    s.from_us -= around_us;
    s.to_us += around_us;
    for (size_t i = 0; i < j->n && s.n_own > 0; i++) {
        const struct logjoin_line *l = &j->lines[i];

        if (strcmp(l->key, key) == 0 || belongs(&s, l)) {
            all[n++] = l;
        }
    }
    free(own);
    put_in_order(all, n);
    return n;
}

/* A caller's end is told with "OUTCOME; queue ..."; only a completed one is
 * told as such. */
static bool
is_failed_end(const struct logjoin_line *l)
{
    static const char completed[] = "completed;";

    return *l->key != '\0' && strstr(l->detail, "; queue ") != NULL &&
           strncmp(l->detail, completed, sizeof(completed) - 1) != 0;
}

size_t
logjoin_failed(const struct logjoin *j, const struct logjoin_line ***out)
{
    size_t n = 0;

    *out = calloc(j->n + 1, sizeof(struct logjoin_line *));
    for (size_t i = 0; i < j->n && *out != NULL; i++) {
        if (is_failed_end(&j->lines[i])) {
            (*out)[n++] = &j->lines[i];
        }
    }
    return n;
}
