#include "fsm.h"

#include <stdlib.h>
#include <string.h>

#include "delta.h"

void
fsm_init(struct fsm *f, struct fsm_limits limits)
{
    memset(f, 0, sizeof(*f));
    f->limits = limits;
}

static void
free_publication(struct rec_publication *p)
{
    blob_unref(p->request_text);
    blob_unref(p->summary);
}

void
fsm_free(struct fsm *f)
{
    for (size_t i = 0; i < f->n_history; i++) {
        free_publication(&f->history[i]);
    }
    for (size_t i = 0; i < f->n_texts; i++) {
        blob_unref(f->texts[i].text);
    }
    free(f->history);
    free(f->texts);
    evacuation_clear(&f->evacuated);
    membership_free(&f->members);
    memset(f, 0, sizeof(*f));
}

struct rec_membership
membership_copy(const struct rec_membership *m)
{
    struct rec_membership copy = {0};

    copy.members = calloc(m->n_members + 1, sizeof(*copy.members));
    if (copy.members == NULL) {
        abort();
    }
    copy.n_members = m->n_members;
    if (m->n_members > 0) {
        memcpy(copy.members, m->members, m->n_members * sizeof(*copy.members));
    }
    return copy;
}

void
membership_free(struct rec_membership *m)
{
    free(m->members);
    memset(m, 0, sizeof(*m));
}

void
fsm_set_members(struct fsm *f, const struct rec_membership *m)
{
    struct rec_membership copy = membership_copy(m);

    membership_free(&f->members);
    f->members = copy;
}

struct fsm_outcome
fsm_evacuate(struct fsm *f, const struct rec_evacuation_order *order)
{
    struct fsm_outcome o = {.result = CONTROL_OK};

    if (order->evacuate != 0 &&
        evacuation_is_full(&f->evacuated, order->zone)) {
        o.result = CONTROL_BAD_CHANGE;
        return o;
    }
    o.resend = !evacuation_apply(&f->evacuated, order);
    return o;
}

const struct rec_publication *
fsm_publication(const struct fsm *f, uint64_t version)
{
    uint64_t oldest;

    if (f->n_history == 0) {
        return NULL;
    }
    oldest = f->history[0].version;
    if (version < oldest || version > f->version) {
        return NULL;
    }
    return &f->history[version - oldest];
}

struct blob *
fsm_version_text(const struct fsm *f, uint64_t version)
{
    for (size_t i = f->n_texts; i > 0; i--) {
        if (f->texts[i - 1].version == version) {
            return f->texts[i - 1].text;
        }
    }
    return NULL;
}

static const struct rec_publication *
find_request(const struct fsm *f, struct key_id id)
{
    for (size_t i = f->n_history; i > 0; i--) {
        if (key_id_equal(f->history[i - 1].request_id, id)) {
            return &f->history[i - 1];
        }
    }
    return NULL;
}

/* A ranked publication is a whole configuration with a rank assigned by its
 * operator; the highest rank wins.  A publication whose rank is not higher
 * changes nothing but is confirmed: it may be a resend whose first answer was
 * lost, and a refusal would say that it had never been accepted. */
static struct fsm_outcome
check_ranked(const struct fsm *f, const struct rec_publish *p)
{
    struct fsm_outcome o = {.result = CONTROL_OK};

    if (p->rank <= f->rank) {
        o.publication = fsm_publication(f, f->version);
        o.resend = true;
    }
    return o;
}

struct fsm_outcome
fsm_check_publish(const struct fsm *f, const struct rec_publish *p)
{
    struct fsm_outcome o = {.result = CONTROL_OK};
    const struct rec_publication *first;

    if (p->rank != 0) {
        return check_ranked(f, p);
    }
    first = find_request(f, p->request_id);
    if (first != NULL) {
        bool same = first->digest == p->digest &&
                    first->version == p->base_version + 1;

        o.result = same ? CONTROL_OK : CONTROL_REUSED;
        o.publication = same ? first : NULL;
        o.resend = same;
    }
    else if (p->base_version < f->version) {
        o.result = CONTROL_TAKEN;
        o.publication = fsm_publication(f, p->base_version + 1);
    }
    else if (p->base_version > f->version) {
        o.result = CONTROL_BAD_PUBLICATION;
    }
    return o;
}

static void
drop_oldest_text(struct fsm *f)
{
    f->text_bytes -= f->texts[0].text->size;
    blob_unref(f->texts[0].text);
    f->n_texts--;
    memmove(f->texts, f->texts + 1, f->n_texts * sizeof(*f->texts));
}

static void
add_text(struct fsm *f, uint64_t version, struct blob *text)
{
    struct rec_config_text *texts =
        realloc(f->texts, (f->n_texts + 1) * sizeof(*texts));

    if (texts == NULL) {
        abort();
    }
    f->texts = texts;
    f->texts[f->n_texts].version = version;
    f->texts[f->n_texts].text = text;
    f->n_texts++;
    f->text_bytes += text->size;
    while (f->n_texts > 1 && (f->n_texts > f->limits.texts ||
                              f->text_bytes > f->limits.text_bytes)) {
        drop_oldest_text(f);
    }
}

/* Drops an eighth of the history at a time, so that a full history is not
 * moved in memory by every publication. */
static void
trim_history(struct fsm *f)
{
    size_t drop = f->limits.publications / 8 + 1;

    if (f->n_history < f->limits.publications + drop) {
        return;
    }
    for (size_t i = 0; i < drop; i++) {
        free_publication(&f->history[i]);
    }
    f->n_history -= drop;
    memmove(f->history, f->history + drop, f->n_history * sizeof(*f->history));
}

static const struct rec_publication *
add_publication(struct fsm *f, uint64_t index, uint64_t term,
                const struct rec_publish *p, size_t bytes)
{
    struct rec_publication *history;
    struct rec_publication *added;

    trim_history(f);
    history = realloc(f->history, (f->n_history + 1) * sizeof(*history));
    if (history == NULL) {
        abort();
    }
    f->history = history;
    added = &f->history[f->n_history++];
    *added = (struct rec_publication){
        .version = f->version,
        .index = index,
        .term = term,
        .request_id = p->request_id,
        .request_text = blob_ref(p->request_text),
        .publisher = p->publisher,
        .time_us = p->time_us,
        .summary = blob_ref(p->summary),
        .digest = p->digest,
        .bytes = bytes,
    };
    return added;
}

struct fsm_outcome
fsm_publish(struct fsm *f, uint64_t index, uint64_t term,
            const struct rec_publish *p)
{
    struct fsm_outcome o = fsm_check_publish(f, p);
    struct delta d = {
        .prefix = p->prefix,
        .suffix = p->suffix,
        .middle = p->middle,
        .digest = p->digest,
    };
    struct blob *text;

    if (o.result != CONTROL_OK || o.resend) {
        return o;
    }
    text = delta_apply(fsm_version_text(f, f->version), &d);
    if (text == NULL) {
        o.result = CONTROL_BAD_PUBLICATION;
        return o;
    }
    f->version++;
    f->rank = p->rank != 0 ? p->rank : f->rank;
    add_text(f, f->version, text);
    o.publication = add_publication(f, index, term, p, text->size);
    return o;
}

static void
clear_history(struct fsm *f)
{
    for (size_t i = 0; i < f->n_history; i++) {
        free_publication(&f->history[i]);
    }
    f->n_history = 0;
    while (f->n_texts > 0) {
        drop_oldest_text(f);
    }
}

void
fsm_recover(struct fsm *f, uint64_t index, uint64_t term, uint64_t time_us)
{
    static const char note[] = "recovered from one member";
    struct blob *text = blob_ref(fsm_version_text(f, f->version));
    struct rec_publish p = {
        .request_id = key_id_of(note),
        .request_text = blob_new("", 0),
        .publisher = name_of("recovery"),
        .time_us = time_us,
        .summary = blob_new(note, strlen(note)),
    };

    if (text == NULL) {
        text = blob_new("", 0);
    }
    p.digest = delta_digest(text);
    clear_history(f);
    f->version += RECOVERY_VERSION_GAP;
    f->evacuated.revision += RECOVERY_VERSION_GAP;
    (void)add_publication(f, index, term, &p, text->size);
    add_text(f, f->version, text);
    blob_unref(p.request_text);
    blob_unref(p.summary);
}

struct blob *
fsm_encode(const struct fsm *f, uint64_t index, uint64_t term)
{
    struct msg m = {.kind = MSG_CONTROL_STATE};
    struct rec_control_state *s = &m.u.control_state;
    struct blob *b;

    s->index = index;
    s->term = term;
    s->members = f->members.members;
    s->n_members = f->members.n_members;
    s->version = f->version;
    s->rank = f->rank;
    s->history = f->history;
    s->n_history = f->n_history;
    s->texts = f->texts;
    s->n_texts = f->n_texts;
    s->evacuation = f->evacuated.revision;
    s->evacuated = f->evacuated.zones;
    s->n_evacuated = f->evacuated.n_zones;
    b = wire_encode_blob(&m);
    if (b == NULL) {
        abort(); /* the limits keep the size below the frame limit */
    }
    return b;
}

static bool
is_consistent(const struct rec_control_state *s)
{
    for (size_t i = 0; i < s->n_history; i++) {
        if (s->history[i].version != s->version - s->n_history + 1 + i) {
            return false;
        }
    }
    for (size_t i = 0; i < s->n_texts; i++) {
        if (s->texts[i].text == NULL) {
            return false;
        }
    }
    return s->n_members <= CONTROL_MEMBERS_MAX &&
           s->n_evacuated <= ZONES_MAX &&
           (s->version == 0 ||
            (s->n_texts > 0 &&
             s->texts[s->n_texts - 1].version == s->version));
}

bool
fsm_decode(struct fsm *f, const struct blob *state, uint64_t *index,
           uint64_t *term)
{
    struct msg m;
    struct rec_control_state *s = &m.u.control_state;
    struct fsm_limits limits = f->limits;

    if (wire_decode(state->data, state->size, &m) != WIRE_OK) {
        return false;
    }
    if (m.kind != MSG_CONTROL_STATE || !is_consistent(s)) {
        msg_free(&m);
        return false;
    }
    fsm_free(f);
    fsm_init(f, limits);
    *index = s->index;
    *term = s->term;
    f->version = s->version;
    f->rank = s->rank;
    f->members.members = s->members;
    f->members.n_members = s->n_members;
    f->history = s->history;
    f->n_history = s->n_history;
    f->texts = s->texts;
    f->n_texts = s->n_texts;
    f->evacuated.revision = s->evacuation;
    f->evacuated.zones = s->evacuated;
    f->evacuated.n_zones = s->n_evacuated;
    for (size_t i = 0; i < f->n_texts; i++) {
        f->text_bytes += f->texts[i].text->size;
    }
    return true;
}

size_t
fsm_bytes(const struct fsm *f)
{
    size_t total = f->n_history * sizeof(*f->history) + f->text_bytes;

    for (size_t i = 0; i < f->n_history; i++) {
        const struct rec_publication *p = &f->history[i];

        total += p->request_text != NULL ? p->request_text->size : 0;
        total += p->summary != NULL ? p->summary->size : 0;
        total += 2 * sizeof(struct blob);
    }
    return total;
}
