#include "config_sync.h"

#include <stdlib.h>
#include <syslog.h>

#include "member.h"
#include "served_text.h"
#include "servicefile.h"
#include "textpack.h"

/* Replies of further control processes do not count towards the majority. */
enum { CONTROLS_COUNTED_MAX = 64 };

/* A long poll is answered after this at the latest. */
#define POLL_US (5 * USEC_PER_SEC)
/* Added to POLL_US before another server is polled; also between requests
 * while no configuration is in force. */
#define RETRY_US (500 * USEC_PER_MSEC)
/* Between a reply and the next poll. */
#define POLL_PAUSE_US (50 * USEC_PER_MSEC)
/* Longest wait after a start for replies from a majority of control. */
#define START_WAIT_US (1 * USEC_PER_SEC)
/* Time behind another member before its text is requested. */
#define LAG_LIMIT_US (1 * USEC_PER_SEC)
/* Before the first text is requested again. */
#define FETCH_RETRY_US (2 * USEC_PER_SEC)

/* A long poll of another instance that is open here. */
struct poll {
    struct name from;
    uint64_t have_version;  /* of the text that the instance has */
    uint64_t known_version; /* answered once a version above this one exists */
    uint64_t known_evacuation; /* likewise, of the evacuated zones */
    int64_t deadline_us;       /* deadline of the answer, monotonic */
    bool has_text;             /* can apply a delta */
    bool version_only;         /* wants the version number without the text */
};

struct config_sync {
    uint64_t version; /* newest text received */
    uint64_t term;
    struct blob *text;
    uint64_t old_version; /* the version before, as base of deltas */
    struct blob *old_text;
    size_t control_index;       /* index of the control process polled last */
    bool awaiting_reply;        /* the server polled last has not replied */
    bool need_whole_text;       /* a delta failed: request the whole text */
    int64_t poll_due_us;        /* next poll */
    int64_t started_us;         /* first requests to control were sent */
    uint64_t replied_set;       /* bit set of control processes that replied */
    uint64_t announced_version; /* newest one; 0 after a text request */
    struct name announced_by;
    int64_t next_fetch_us;   /* the first text is not requested before */
    int64_t behind_since_us; /* a member has a newer version; 0: none has */
    uint64_t reported_sum;   /* sum of the zone's versions sent to control */
    struct served_texts served;
    struct poll polls[INSTANCES_MAX];
    size_t n_polls;
};

struct config_sync *
config_sync_new(const struct entry *e)
{
    struct config_sync *f = calloc(1, sizeof(*f));

    if (f == NULL) {
        abort();
    }
    f->poll_due_us = e->opts.n_controls > 0 ? 0 : INT64_MAX;
    return f;
}

void
config_sync_free(struct config_sync *f)
{
    if (f != NULL) {
        blob_unref(f->text);
        blob_unref(f->old_text);
        served_texts_free(&f->served);
        free(f);
    }
}

/* ---- requests to servers: control processes or other instances ---- */

static bool
in_our_zone(const struct entry *e, const struct member *m)
{
    return !m->self && m->up && name_equal(m->zone, e->zone);
}

/* Adds the versions in force at the zone's other instances, for control's
 * status: they poll this instance, so control has no other report of them. */
static void
add_zone_versions(struct entry *e, struct rec_config_request *r)
{
    size_t at = 0;
    struct member *m;

    e->config_sync->reported_sum = 0;
    r->members = calloc(e->opts.n_peers, sizeof(*r->members));
    while (r->members != NULL && (m = members_next(e, &at)) != NULL) {
        if (in_our_zone(e, m)) {
            r->members[r->n_members++] = (struct rec_follower){
                .instance = m->name,
                .zone = m->zone,
                .incarnation = m->incarnation,
                .version = m->config_version,
                .evacuation = m->evacuation,
                .age_us = (uint64_t)(e->now.mono_us - m->last_seen_us),
            };
            e->config_sync->reported_sum += m->config_version + m->evacuation;
        }
    }
}

static void
send_request(struct entry *e, struct name server, bool version_only)
{
    struct msg m = {.kind = MSG_CONFIG_REQUEST};

    if (members_by_name(e, server) == NULL) {
        add_zone_versions(e, &m.u.config_request);
    }

    m.u.config_request.have_version = e->config_sync->version;
    m.u.config_request.incarnation = e->opts.incarnation;
    m.u.config_request.zone = e->zone;
    m.u.config_request.has_text =
        e->config_sync->text != NULL && !e->config_sync->need_whole_text;
    m.u.config_request.version_only = version_only ? 1 : 0;
    m.u.config_request.known_version = e->config_sync->version;
    m.u.config_request.evacuation = e->evacuated.revision;
    entry_send(e, server, &m);
}

static void
poll_text(struct entry *e, struct name server)
{
    send_request(e, server, false);
}

static void
poll_version(struct entry *e, struct name server)
{
    send_request(e, server, true);
}

/* Finds the instance that polls control for the zone: the first that is up and
 * not stopping.  Returns true if that is another instance than this one. */
static bool
zone_poller(const struct entry *e, struct name *out)
{
    size_t at = 0;
    struct member *m;

    while ((m = members_next(e, &at)) != NULL) {
        if (m->up && !m->stopping && name_equal(m->zone, e->zone)) {
            *out = m->name;
            return !m->self;
        }
    }
    return false;
}

/* A member that knows of a newer evacuation, or of the end of one; NULL if
 * none does. */
static const struct member *
find_newer_evacuation(const struct entry *e)
{
    size_t at = 0;
    struct member *m;

    while ((m = members_next(e, &at)) != NULL) {
        if (!m->self && m->up && m->evacuation > e->evacuated.revision) {
            return m;
        }
    }
    return NULL;
}

/* The member with the newest version in force if it is above ours, or NULL. */
static const struct member *
newest_member(const struct entry *e)
{
    const struct member *best = NULL;
    uint64_t version = entry_config_version(e);
    size_t at = 0;
    struct member *m;

    while ((m = members_next(e, &at)) != NULL) {
        if (!m->self && m->up && m->config_version > version) {
            version = m->config_version;
            best = m;
        }
    }
    return best;
}

/* Used while no configuration is in force.  Requests the version of every
 * control process and, from the second round on, of the zone's instances.  A
 * single control process may be partitioned with an old log, and its version
 * could be older than the one in force here before the restart.  Only versions
 * are requested: a copy of the text from each server, in each round, would
 * saturate a slow link. */
static void
poll_all_versions(struct entry *e)
{
    struct config_sync *f = e->config_sync;
    bool first = f->started_us == 0;
    size_t at = 0;
    struct member *m;

    f->started_us = first ? e->now.mono_us : f->started_us;
    for (size_t i = 0; i < e->opts.n_controls; i++) {
        poll_version(e, e->opts.controls[i]);
    }
    while (!first && (m = members_next(e, &at)) != NULL) {
        if (!m->self && m->up && name_equal(m->zone, e->zone)) {
            poll_version(e, m->name);
        }
    }
    f->poll_due_us = e->now.mono_us + RETRY_US;
}

static void
poll_server(struct entry *e)
{
    struct config_sync *f = e->config_sync;
    struct name server;

    if (!zone_poller(e, &server)) {
        f->control_index = (f->control_index + (f->awaiting_reply ? 1 : 0)) %
                           e->opts.n_controls;
        server = e->opts.controls[f->control_index];
    }
    poll_text(e, server);
    f->awaiting_reply = true;
    f->poll_due_us = e->now.mono_us + POLL_US + RETRY_US;
}

/* ---- replies ---- */

static int
control_index_of(const struct entry *e, struct name from)
{
    for (size_t i = 0; i < e->opts.n_controls && i < CONTROLS_COUNTED_MAX;
         i++) {
        if (name_equal(e->opts.controls[i], from)) {
            return (int)i;
        }
    }
    return -1;
}

static void
apply_text(struct entry *e)
{
    struct config_sync *f = e->config_sync;
    struct servicefile_errors errs = {0};
    struct config *c =
        servicefile_parse_text(f->text->data, "received", &errs);

    if (c == NULL) {
        entry_log(e, LOG_ERR, REASON_BAD_MESSAGE, NULL, -1, name_of(""),
                  "version %llu, line %d: %s", (unsigned long long)f->version,
                  errs.n > 0 ? errs.items[0].line : 0,
                  errs.n > 0 ? errs.items[0].text : "");
        servicefile_errors_clear(&errs);
        return;
    }
    c->version = f->version;
    entry_apply_config(e, c);
    config_free(c);
    servicefile_errors_clear(&errs);
}

static bool
majority_replied(const struct entry *e)
{
    size_t replied = (size_t)__builtin_popcountll(e->config_sync->replied_set);

    return replied > e->opts.n_controls / 2;
}

/* After a start, the first version is applied once a majority of control has
 * replied, or after START_WAIT_US. */
static bool
may_apply_first(const struct entry *e)
{
    return e->now.mono_us - e->config_sync->started_us >= START_WAIT_US ||
           majority_replied(e);
}

static void
request_first_text(struct entry *e)
{
    struct config_sync *f = e->config_sync;

    if (f->announced_version <= f->version || !may_apply_first(e) ||
        e->now.mono_us < f->next_fetch_us) {
        return;
    }
    poll_text(e, f->announced_by);
    f->next_fetch_us = e->now.mono_us + FETCH_RETRY_US;
    /* If this server does not answer, the next announcement decides which one
     * is asked next. */
    f->announced_version = 0;
}

/* Applies the newest text if its version is above the one in force.  The first
 * version after a start must not be below that of another member. */
static void
apply_if_newer(struct entry *e)
{
    struct config_sync *f = e->config_sync;
    const struct member *ahead = newest_member(e);

    if (e->config == NULL) {
        request_first_text(e);
    }
    if (f->text == NULL ||
        (f->version <= entry_config_version(e) && !MUTANT(e, ANY_VERSION))) {
        return;
    }
    if (e->config == NULL &&
        (!may_apply_first(e) ||
         (ahead != NULL && ahead->config_version > f->version))) {
        return;
    }
    apply_text(e);
}

static void answer_polls(struct entry *e);

static void
receive_text(struct entry *e, const struct rec_config_reply *m)
{
    struct config_sync *f = e->config_sync;
    struct blob *text = textpack_read_reply(m, f->text, f->version);

    f->need_whole_text = text == NULL;
    if (text == NULL) {
        entry_log(e, LOG_WARNING, REASON_BAD_MESSAGE, NULL, -1, name_of(""),
                  "delta to version %llu does not apply to version %llu",
                  (unsigned long long)m->version,
                  (unsigned long long)f->version);
        return;
    }
    blob_unref(f->old_text);
    f->old_text = f->text;
    f->old_version = f->version;
    f->text = text;
    f->version = m->version;
    f->term = m->term;
    answer_polls(e);
}

static void
on_reply(struct entry *e, struct name from, const struct rec_config_reply *m)
{
    struct config_sync *f = e->config_sync;
    int control = control_index_of(e, from);

    if (e->opts.n_controls == 0 ||
        (control < 0 && members_by_name(e, from) == NULL)) {
        e->counters.messages_bad++;
        return;
    }
    if (control >= 0) {
        f->replied_set |= UINT64_C(1) << control;
    }
    if (control >= 0 || m->version > 0) {
        entry_update_evacuation(e, from, m->evacuation, m->evacuated,
                                m->n_evacuated);
    }
    if (e->config != NULL) {
        f->awaiting_reply = false; /* keep polling this server */
        f->poll_due_us = e->now.mono_us + POLL_PAUSE_US;
    }
    if (m->version > f->announced_version) {
        f->announced_version = m->version;
        f->announced_by = from;
    }
    if ((m->version > f->version || MUTANT(e, ANY_VERSION)) &&
        m->config != NULL) {
        receive_text(e, m);
    }
    apply_if_newer(e);
    answer_polls(e);
}

/* ---- requests from other instances ---- */

static void
send_reply(struct entry *e, struct name to, bool newer, uint64_t have,
           bool has_text)
{
    struct config_sync *f = e->config_sync;
    struct msg m = {.kind = MSG_CONFIG_REPLY};
    struct rec_config_reply *r = &m.u.config_reply;
    struct published_text newest = {f->version, f->text};
    struct published_text base = {0};

    if (has_text && f->old_text != NULL && have == f->old_version) {
        base = (struct published_text){f->old_version, f->old_text};
    }
    r->version = f->version;
    r->term = f->term;
    r->evacuation = e->evacuated.revision;
    r->evacuated = evacuation_copy_zones(&e->evacuated);
    r->n_evacuated = e->evacuated.n_zones;
    if (newer) {
        served_text_fill(&f->served, newest, base, r);
    }
    entry_send(e, to, &m);
}

static void
add_poll(struct entry *e, struct name from, const struct rec_config_request *m)
{
    struct config_sync *f = e->config_sync;
    struct poll *p = NULL;

    for (size_t i = 0; i < f->n_polls && p == NULL; i++) {
        if (name_equal(f->polls[i].from, from)) {
            p = &f->polls[i];
        }
    }
    if (p == NULL) {
        p = &f->polls[f->n_polls++];
    }
    p->from = from;
    p->have_version = m->have_version;
    p->known_version = m->known_version;
    p->known_evacuation = m->evacuation;
    p->has_text = m->has_text != 0;
    p->version_only = m->version_only != 0;
    p->deadline_us = e->now.mono_us + POLL_US;
}

static void
on_request(struct entry *e, struct name from,
           const struct rec_config_request *m)
{
    if (members_by_name(e, from) == NULL || name_equal(from, e->opts.self)) {
        e->counters.messages_bad++;
        return;
    }
    if (e->config_sync->version > m->known_version) {
        send_reply(e, from, m->version_only == 0, m->have_version,
                   m->has_text != 0);
        return;
    }
    if (e->evacuated.revision > m->evacuation) {
        send_reply(e, from, false, m->have_version, false);
        return;
    }
    add_poll(e, from, m);
}

/* Answers the open polls for which a newer version exists, or that expired. */
static void
answer_polls(struct entry *e)
{
    struct config_sync *f = e->config_sync;
    size_t kept = 0;

    for (size_t i = 0; i < f->n_polls; i++) {
        struct poll p = f->polls[i];

        if (f->version > p.known_version) {
            send_reply(e, p.from, !p.version_only, p.have_version, p.has_text);
        }
        else if (e->evacuated.revision > p.known_evacuation ||
                 e->now.mono_us >= p.deadline_us) {
            send_reply(e, p.from, false, p.have_version, false);
        }
        else {
            f->polls[kept++] = p;
        }
    }
    f->n_polls = kept;
}

void
config_sync_on_message(struct entry *e, struct name from, const struct msg *m)
{
    if (m->kind == MSG_CONFIG_REQUEST) {
        on_request(e, from, &m->u.config_request);
        return;
    }
    on_reply(e, from, &m->u.config_reply);
}

/* ---- timers ---- */

/* A reply to a poll may be lost, or the polled server be behind.  Heartbeats
 * carry each member's version; an instance that stays behind for LAG_LIMIT_US
 * requests the text from a member with a newer version. */
static void
catch_up(struct entry *e)
{
    struct config_sync *f = e->config_sync;
    const struct member *ahead = newest_member(e);

    ahead = ahead != NULL ? ahead : find_newer_evacuation(e);
    if (ahead == NULL) {
        f->behind_since_us = 0;
        return;
    }
    if (f->behind_since_us == 0) {
        f->behind_since_us = e->now.mono_us;
    }
    else if (e->now.mono_us - f->behind_since_us >= LAG_LIMIT_US) {
        f->behind_since_us = e->now.mono_us;
        poll_text(e, ahead->name);
    }
}

/* Polls control at once when a version in the zone changes.  Reported with the
 * next regular poll, control's status would be late by up to POLL_US, and an
 * operator who waits for a change would see instances behind that are not. */
static void
report_zone_changes(struct entry *e)
{
    struct config_sync *f = e->config_sync;
    struct name server;
    uint64_t sum = 0;
    size_t at = 0;
    struct member *m;

    if (zone_poller(e, &server)) {
        return;
    }
    while ((m = members_next(e, &at)) != NULL) {
        sum += in_our_zone(e, m) ? m->config_version + m->evacuation : 0;
    }
    if (sum != f->reported_sum) {
        poll_text(e, e->opts.controls[f->control_index]);
    }
}

void
config_sync_tick(struct entry *e)
{
    answer_polls(e);
    if (e->opts.n_controls == 0) {
        return;
    }
    if (e->now.mono_us >= e->config_sync->poll_due_us) {
        if (e->config == NULL) {
            poll_all_versions(e);
            apply_if_newer(e);
        }
        else {
            poll_server(e);
        }
    }
    if (e->config != NULL) {
        catch_up(e);
        report_zone_changes(e);
    }
}

int64_t
config_sync_next_us(const struct entry *e)
{
    const struct config_sync *f = e->config_sync;
    int64_t next = f->poll_due_us;

    for (size_t i = 0; i < f->n_polls; i++) {
        int64_t until = f->polls[i].deadline_us;

        next = until < next ? until : next;
    }
    if (f->behind_since_us > 0 && f->behind_since_us + LAG_LIMIT_US < next) {
        next = f->behind_since_us + LAG_LIMIT_US;
    }
    return next;
}
