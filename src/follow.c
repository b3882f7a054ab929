#include "follow.h"

#include <stdlib.h>
#include <syslog.h>

#include "member.h"

enum {
    POLL_SEC = 5,     /* the longest a server holds a request */
    RETRY_MSEC = 500, /* before the next server is asked */
    PAUSE_MSEC = 50,  /* between polls, should a server not hold them */
};

/* A follower that waits here for something newer. */
struct poll {
    struct name from; /* empty: unused */
    uint64_t have_version;
    int64_t until_us;
};

struct follow {
    uint64_t version; /* of @blob */
    uint64_t term;
    struct blob *blob;
    size_t control; /* the one asked last */
    bool asked;
    int64_t due_us;
    struct poll polls[INSTANCES_MAX];
    size_t n_polls;
};

struct follow *
follow_new(const struct entry *e)
{
    struct follow *f = calloc(1, sizeof(*f));

    if (f == NULL) {
        abort();
    }
    f->due_us = e->opts.n_controls > 0 ? 0 : INT64_MAX;
    return f;
}

void
follow_free(struct follow *f)
{
    if (f != NULL) {
        blob_unref(f->blob);
        free(f);
    }
}

/* The first member of our zone that is up and stays: it asks across zones
 * for all of them. */
static struct name
zone_follower(const struct entry *e)
{
    size_t at = 0;
    struct member *m;

    while ((m = members_next(e, &at)) != NULL) {
        if (m->up && !m->stopping && name_equal(m->zone, e->zone)) {
            return m->name;
        }
    }
    return e->opts.self;
}

/* Whoever has nothing yet asks control itself, not only its zone. */
static struct name
pick_server(struct entry *e)
{
    struct follow *f = e->follow;
    struct name follower = zone_follower(e);

    if (!name_equal(follower, e->opts.self) && entry_config_version(e) > 0) {
        return follower;
    }
    f->control = (f->control + (f->asked ? 1 : 0)) % e->opts.n_controls;
    return e->opts.controls[f->control];
}

static void
ask(struct entry *e)
{
    struct follow *f = e->follow;
    struct msg m = {.kind = MSG_CONFIG_REQUEST};

    m.u.config_request.have_version = f->version;
    m.u.config_request.incarnation = e->opts.incarnation;
    m.u.config_request.zone = e->zone;
    entry_send(e, pick_server(e), &m);
    f->asked = true;
    f->due_us =
        e->now.mono_us + POLL_SEC * USEC_PER_SEC + RETRY_MSEC * USEC_PER_MSEC;
}

static void
reply(struct entry *e, struct name to)
{
    struct follow *f = e->follow;
    struct msg m = {.kind = MSG_CONFIG_REPLY};

    m.u.config_reply.version = f->version;
    m.u.config_reply.config = blob_ref(f->blob);
    m.u.config_reply.term = f->term;
    entry_send(e, to, &m);
}

static void
hold(struct entry *e, struct name from, uint64_t have_version)
{
    struct follow *f = e->follow;
    struct poll *p = NULL;

    for (size_t i = 0; i < f->n_polls && p == NULL; i++) {
        if (name_equal(f->polls[i].from, from)) {
            p = &f->polls[i];
        }
    }
    if (p == NULL) {
        if (f->n_polls == INSTANCES_MAX) {
            return;
        }
        p = &f->polls[f->n_polls++];
    }
    p->from = from;
    p->have_version = have_version;
    p->until_us = e->now.mono_us + POLL_SEC * USEC_PER_SEC;
}

static void
on_request(struct entry *e, struct name from,
           const struct rec_config_request *m)
{
    if (members_of(e, from) == NULL) {
        e->counters.messages_bad++;
        return;
    }
    if (e->follow->version > m->have_version) {
        reply(e, from);
        return;
    }
    hold(e, from, m->have_version);
}

/* Answers the held requests that something newer came for, or whose time is
 * over. */
static void
serve_polls(struct entry *e)
{
    struct follow *f = e->follow;
    size_t kept = 0;

    for (size_t i = 0; i < f->n_polls; i++) {
        struct poll p = f->polls[i];

        if (f->version > p.have_version || e->now.mono_us >= p.until_us) {
            reply(e, p.from);
        }
        else {
            f->polls[kept++] = p;
        }
    }
    f->n_polls = kept;
}

static bool
known_server(const struct entry *e, struct name from)
{
    for (size_t i = 0; i < e->opts.n_controls; i++) {
        if (name_equal(e->opts.controls[i], from)) {
            return true;
        }
    }
    return members_of(e, from) != NULL;
}

static void
on_reply(struct entry *e, struct name from, const struct rec_config_reply *m)
{
    struct follow *f = e->follow;

    if (!known_server(e, from)) {
        e->counters.messages_bad++;
        return;
    }
    f->asked = false; /* this server is alive: stay with it */
    f->due_us = e->now.mono_us + PAUSE_MSEC * USEC_PER_MSEC;
    if (m->version <= f->version || m->config == NULL) {
        return;
    }
    blob_unref(f->blob);
    f->blob = blob_ref(m->config);
    f->version = m->version;
    f->term = m->term;
    entry_log(e, LOG_INFO, REASON_CONFIG_APPLIED, NULL, -1, from,
              "received version %llu", (unsigned long long)m->version);
    serve_polls(e);
}

void
follow_on_message(struct entry *e, struct name from, const struct msg *m)
{
    if (m->kind == MSG_CONFIG_REQUEST) {
        on_request(e, from, &m->u.config_request);
        return;
    }
    on_reply(e, from, &m->u.config_reply);
}

void
follow_tick(struct entry *e)
{
    if (e->now.mono_us >= e->follow->due_us) {
        ask(e);
    }
    serve_polls(e);
}

int64_t
follow_next_us(const struct entry *e)
{
    int64_t next = e->follow->due_us;

    for (size_t i = 0; i < e->follow->n_polls; i++) {
        int64_t until = e->follow->polls[i].until_us;

        next = until < next ? until : next;
    }
    return next;
}
