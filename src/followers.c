/*
 * Configuration polls of entry instances (followers), and which version each
 * instance has in force.
 */
#include <stdlib.h>
#include <string.h>

#include "control_state.h"

enum {
    FOLLOWERS_MAX = 1024,         /* entry instances known */
    REPORT_US = 10 * 1000 * 1000, /* between reports without changes */
};

/* Finds a follower that was reported by another process and has not polled
 * here; its slot may be reused.  An instance that polls must get a slot
 * however many were reported, since it gets no configuration without one. */
static struct follower *
find_reusable_slot(struct control *c)
{
    for (size_t i = 0; i < c->n_followers; i++) {
        if (!c->followers[i].polls_directly) {
            return &c->followers[i];
        }
    }
    return NULL;
}

static struct follower *
add_follower(struct control *c)
{
    struct follower *f =
        realloc(c->followers, (c->n_followers + 1) * sizeof(*f));

    if (f == NULL) {
        abort();
    }
    c->followers = f;
    return &c->followers[c->n_followers++];
}

static struct follower *
find_or_add_follower(struct control *c, struct name name, bool direct)
{
    struct follower *f = NULL;

    for (size_t i = 0; i < c->n_followers; i++) {
        if (name_equal(c->followers[i].info.instance, name)) {
            c->followers[i].polls_directly |= direct;
            return &c->followers[i];
        }
    }
    if (c->n_followers < FOLLOWERS_MAX) {
        f = add_follower(c);
    }
    else if (direct) {
        f = find_reusable_slot(c);
    }
    if (f != NULL) {
        memset(f, 0, sizeof(*f));
        f->info.instance = name;
        f->last_heard_us = INT64_MIN;
        f->polls_directly = direct;
    }
    return f;
}

static struct follower *
update_follower(struct control *c, const struct rec_follower *info,
                struct name via, bool direct)
{
    struct follower *f = find_or_add_follower(c, info->instance, direct);
    int64_t age = info->age_us < INT64_C(1) << 40 ? (int64_t)info->age_us
                                                  : INT64_C(1) << 40;

    if (f == NULL || f->last_heard_us > c->now.mono_us - age) {
        return f;
    }
    if (f->info.version != info->version ||
        f->info.evacuation != info->evacuation ||
        f->info.incarnation != info->incarnation) {
        c->followers_changed = true;
    }
    f->info = *info;
    f->last_heard_us = c->now.mono_us - age;
    f->via_member = via;
    f->reported_here = name_equal(via, c->opts.self);
    return f;
}

void
followers_on_request(struct control *c, struct name from,
                     const struct rec_config_request *r)
{
    struct rec_follower info = {
        .instance = from,
        .zone = r->zone,
        .incarnation = r->incarnation,
        .version = r->have_version,
        .evacuation = r->evacuation,
    };
    struct follower *f = update_follower(c, &info, c->opts.self, true);

    if (f == NULL) {
        return;
    }
    f->polling = true;
    f->have_version = r->have_version;
    f->has_text = r->has_text != 0 && r->have_version != 0;
    f->version_only = r->version_only != 0;
    f->known_version = r->known_version;
    f->known_evacuation = r->evacuation;
    f->poll_deadline_us = c->now.mono_us + c->opts.poll_timeout_us;
    for (size_t i = 0; i < r->n_members && i < INSTANCES_MAX; i++) {
        (void)update_follower(c, &r->members[i], c->opts.self, false);
    }
}

void
followers_on_report(struct control *c, struct name from,
                    const struct rec_followers *list)
{
    if (quorum_find_member(c, from) == NULL) {
        return;
    }
    for (size_t i = 0; i < list->n_followers && i < FOLLOWERS_MAX; i++) {
        (void)update_follower(c, &list->followers[i], from, false);
    }
}

static void
reply_poll(struct control *c, struct follower *f, struct msg *m)
{
    struct rec_config_reply *r = &m->u.config_reply;

    r->zone = c->opts.zone;
    r->evacuation = c->fsm.evacuated.revision;
    r->evacuated = evacuation_copy_zones(&c->fsm.evacuated);
    r->n_evacuated = c->fsm.evacuated.n_zones;
    f->polling = false;
    control_send(c, f->info.instance, m, 0);
}

static struct published_text
version_text(const struct control *c, uint64_t version)
{
    return (struct published_text){version,
                                   fsm_version_text(&c->fsm, version)};
}

static void
send_config(struct control *c, struct follower *f)
{
    struct msg m = {.kind = MSG_CONFIG_REPLY};
    struct rec_config_reply *r = &m.u.config_reply;
    struct published_text base = {0};

    if (f->has_text && fsm_version_text(&c->fsm, f->have_version) != NULL) {
        base = version_text(c, f->have_version);
    }
    served_text_fill(&c->served, version_text(c, c->fsm.version), base, r);
    r->term = fsm_publication(&c->fsm, c->fsm.version)->term;
    c->counters.configs_sent++;
    c->counters.deltas_sent += r->from_version != 0 ? 1 : 0;
    c->counters.config_bytes_sent += r->config->size;
    reply_poll(c, f, &m);
}

static void
send_version(struct control *c, struct follower *f, uint64_t version)
{
    struct msg m = {.kind = MSG_CONFIG_REPLY};

    m.u.config_reply.version = version;
    reply_poll(c, f, &m);
}

/* After a restart a member does not know which of its entries are committed,
 * and may have applied less than before.  It answers no polls until it has
 * applied the read index that the leader reported after the start: otherwise a
 * follower that restarted too could get an older version than before. */
void
followers_answer_polls(struct control *c)
{
    if (!c->serving) {
        return;
    }
    for (size_t i = 0; i < c->n_followers; i++) {
        struct follower *f = &c->followers[i];

        if (!f->polling) {
            continue;
        }
        if (f->known_version < c->fsm.version && !f->version_only) {
            send_config(c, f);
        }
        else if (f->known_version < c->fsm.version ||
                 f->known_evacuation < c->fsm.evacuated.revision) {
            send_version(c, f, c->fsm.version);
        }
    }
}

static void
report_followers(struct control *c)
{
    struct msg m = {.kind = MSG_FOLLOWERS};
    struct rec_followers *list = &m.u.followers;

    if (name_empty(c->leader) || c->role == CONTROL_LEADER ||
        (!c->followers_changed && c->now.mono_us < c->report_due_us)) {
        return;
    }
    c->followers_changed = false;
    c->report_due_us = c->now.mono_us + REPORT_US;
    list->followers = calloc(c->n_followers + 1, sizeof(*list->followers));
    if (list->followers == NULL) {
        abort();
    }
    for (size_t i = 0; i < c->n_followers; i++) {
        struct follower *f = &c->followers[i];

        if (f->reported_here) {
            f->info.age_us = (uint64_t)(c->now.mono_us - f->last_heard_us);
            list->followers[list->n_followers++] = f->info;
        }
    }
    if (list->n_followers == 0) {
        msg_free(&m);
        return;
    }
    control_send(c, c->leader, &m, 0);
}

static void
request_read_index(struct control *c)
{
    struct msg m = {.kind = MSG_READ_INDEX};

    if (c->serving || c->startup_read_index > 0 || name_empty(c->leader) ||
        c->role == CONTROL_LEADER) {
        return;
    }
    m.u.read_index.nonce = c->startup_nonce;
    control_send(c, c->leader, &m, c->hard_state_seq);
}

void
followers_tick(struct control *c)
{
    for (size_t i = c->n_followers; i > 0; i--) {
        struct follower *f = &c->followers[i - 1];

        /* A member that may not serve yet sends no answer, so that the
         * follower polls another member. */
        if (c->serving && f->polling &&
            c->now.mono_us >= f->poll_deadline_us) {
            send_version(c, f, f->have_version);
        }
        if (c->now.mono_us - f->last_heard_us > c->opts.follower_timeout_us) {
            c->n_followers--;
            *f = c->followers[c->n_followers];
        }
    }
    report_followers(c);
    request_read_index(c);
}
