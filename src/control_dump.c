#include <inttypes.h>
#include <jansson.h>
#include <stdio.h>
#include <stdlib.h>

#include "control_state.h"

static const char *
role_text(const struct control *c)
{
    if (!quorum_self_is_voter(c)) {
        return "learner";
    }
    switch (c->role) {
    case CONTROL_LEADER:
        return "leader";
    case CONTROL_CANDIDATE:
        return "candidate";
    default:
        return "follower";
    }
}

static json_t *
json_from_uint(uint64_t n)
{
    return json_integer((json_int_t)n);
}

static json_t *
age_ms(const struct control *c, int64_t heard_us)
{
    if (heard_us <= 0) {
        return json_null();
    }
    return json_integer((c->now.mono_us - heard_us) / USEC_PER_MSEC);
}

static json_t *
blob_text(const struct blob *b)
{
    json_t *s = b != NULL ? json_stringn(b->data, b->size) : NULL;

    return s != NULL ? s : json_string("");
}

static char *
dump_json(json_t *root)
{
    char *text = json_dumps(root, JSON_COMPACT);

    json_decref(root);
    if (text == NULL) {
        abort();
    }
    return text;
}

static const struct progress *
find_progress(const struct control *c, struct name name)
{
    for (size_t i = 0; i < PEERS_MAX; i++) {
        if (name_equal(c->peers[i].name, name)) {
            return &c->peers[i];
        }
    }
    return NULL;
}

/* Adds the replication progress of a member.  Only a leader knows that of
 * other members. */
static void
add_progress(const struct control *c, json_t *o,
             const struct rec_control_member *m)
{
    const struct progress *p = find_progress(c, m->name);
    bool self = name_equal(m->name, c->opts.self);
    bool up = self;
    bool other_disk = self && m->voter != 0 && m->disk != c->opts.disk;
    int64_t limit = c->now.mono_us - c->opts.election_timeout_us;

    if (self) {
        json_object_set_new(o, "match", json_from_uint(c->log.durable));
        json_object_set_new(o, "heard_ms", json_integer(0));
    }
    else if (p != NULL && c->role == CONTROL_LEADER) {
        up = p->last_heard_us >= limit && p->last_heard_us > 0;
        other_disk = m->voter != 0 && p->disk != 0 && p->disk != m->disk;
        json_object_set_new(o, "match", json_from_uint(p->match_index));
        json_object_set_new(o, "heard_ms", age_ms(c, p->last_heard_us));
    }
    else {
        json_object_set_new(o, "match", json_null());
        json_object_set_new(o, "heard_ms", json_null());
    }
    json_object_set_new(o, "up", json_boolean(up));
    json_object_set_new(o, "other_disk", json_boolean(other_disk));
}

static json_t *
members_json(const struct control *c)
{
    json_t *list = json_array();

    for (size_t i = 0; i < c->members.n_members; i++) {
        const struct rec_control_member *m = &c->members.members[i];
        json_t *o = json_object();
        char disk[17];

        (void)snprintf(disk, sizeof(disk), "%016" PRIx64, m->disk);
        json_object_set_new(o, "name", json_string(m->name.s));
        json_object_set_new(o, "address", json_string(m->address.s));
        json_object_set_new(o, "http", json_string(m->http.s));
        json_object_set_new(o, "voter", json_boolean(m->voter != 0));
        json_object_set_new(o, "disk", json_string(disk));
        add_progress(c, o, m);
        json_array_append_new(list, o);
    }
    return list;
}

static json_t *
followers_json(const struct control *c)
{
    json_t *list = json_array();

    for (size_t i = 0; i < c->n_followers; i++) {
        const struct follower *f = &c->followers[i];
        json_t *o = json_object();

        json_object_set_new(o, "instance", json_string(f->info.instance.s));
        json_object_set_new(o, "zone", json_string(f->info.zone.s));
        json_object_set_new(o, "incarnation",
                            json_from_uint(f->info.incarnation));
        json_object_set_new(o, "version", json_from_uint(f->info.version));
        json_object_set_new(o, "evacuation",
                            json_from_uint(f->info.evacuation));
        json_object_set_new(o, "heard_ms", age_ms(c, f->last_heard_us));
        json_object_set_new(o, "via", json_string(f->via_member.s));
        json_object_set_new(
            o, "lags",
            json_boolean(f->info.version < c->fsm.version ||
                         f->info.evacuation < c->fsm.evacuated.revision));
        json_array_append_new(list, o);
    }
    return list;
}

static json_t *
evacuated_json(const struct control *c)
{
    json_t *list = json_array();

    for (size_t i = 0; i < c->fsm.evacuated.n_zones; i++) {
        const struct rec_evacuated_zone *z = &c->fsm.evacuated.zones[i];

        json_array_append_new(list,
                              json_pack("{s:s, s:s, s:I}", "zone", z->zone.s,
                                        "operator", z->publisher.s, "time_us",
                                        (json_int_t)z->time_us));
    }
    return list;
}

static json_t *
zones_json(const struct control *c)
{
    json_t *list = json_array();

    for (size_t i = 0; i < c->opts.n_zones; i++) {
        json_array_append_new(list, json_string(c->opts.zones[i].s));
    }
    return list;
}

static json_t *
status_json(const struct control *c)
{
    json_t *o = json_object();

    json_object_set_new(o, "self", json_string(c->opts.self.s));
    json_object_set_new(o, "role", json_string(role_text(c)));
    json_object_set_new(o, "leader", json_string(c->leader.s));
    json_object_set_new(o, "term", json_from_uint(c->term));
    json_object_set_new(o, "last", json_from_uint(clog_last(&c->log)));
    json_object_set_new(o, "commit", json_from_uint(c->commit_index));
    json_object_set_new(o, "applied", json_from_uint(c->applied_index));
    json_object_set_new(o, "version", json_from_uint(c->fsm.version));
    json_object_set_new(o, "zones", zones_json(c));
    json_object_set_new(o, "evacuated", evacuated_json(c));
    json_object_set_new(o, "evacuation_revision",
                        json_from_uint(c->fsm.evacuated.revision));
    json_object_set_new(o, "members", members_json(c));
    json_object_set_new(o, "followers", followers_json(c));
    return o;
}

char *
control_status_json(const struct control *c)
{
    return dump_json(status_json(c));
}

char *
control_history_json(const struct control *c, uint32_t limit)
{
    json_t *root = json_object();
    json_t *list = json_array();

    for (size_t i = c->fsm.n_history; i > 0 && json_array_size(list) < limit;
         i--) {
        const struct rec_publication *p = &c->fsm.history[i - 1];
        json_t *o = json_object();

        json_object_set_new(o, "version", json_from_uint(p->version));
        json_object_set_new(o, "operator", json_string(p->publisher.s));
        json_object_set_new(o, "request_id", blob_text(p->request_text));
        json_object_set_new(o, "time_us", json_from_uint(p->time_us));
        json_object_set_new(o, "summary", blob_text(p->summary));
        json_object_set_new(o, "bytes", json_from_uint(p->bytes));
        json_object_set_new(
            o, "kept",
            json_boolean(fsm_version_text(&c->fsm, p->version) != NULL));
        json_array_append_new(list, o);
    }
    json_object_set_new(root, "version", json_from_uint(c->fsm.version));
    json_object_set_new(root, "publications", list);
    return dump_json(root);
}

char *
control_state_json(const struct control *c)
{
    json_t *o = status_json(c);
    json_t *counters = json_object();

    json_object_set_new(o, "vote", json_string(c->vote.s));
    json_object_set_new(o, "log_base", json_from_uint(c->log.base));
    json_object_set_new(o, "log_bytes", json_from_uint(c->log.bytes));
    json_object_set_new(o, "durable", json_from_uint(c->log.durable));
    json_object_set_new(o, "snapshot_index",
                        json_from_uint(c->snapshot_index));
    json_object_set_new(o, "state_bytes", json_from_uint(fsm_bytes(&c->fsm)));
    json_object_set_new(o, "held_messages", json_from_uint(c->n_deferred));
    json_object_set_new(o, "waiting_requests", json_from_uint(c->n_pending));
    json_object_set_new(o, "serving", json_boolean(c->serving));
    json_object_set_new(o, "stopping", json_boolean(c->stopping));
#define CONTROL_COUNTER(name, help)                                           \
    json_object_set_new(counters, #name, json_from_uint(c->counters.name));
    CONTROL_COUNTER_LIST(CONTROL_COUNTER)
#undef CONTROL_COUNTER
    json_object_set_new(o, "counters", counters);
    return dump_json(o);
}
