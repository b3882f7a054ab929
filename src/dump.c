#include "dump.h"

#include <stdlib.h>

#include "claim.h"
#include "dispatch.h"
#include "jobs.h"
#include "key.h"
#include "member.h"
#include "upstream.h"

void
dump_send_reply(struct entry *e, uint64_t request, json_t *root)
{
    struct ef_text *f;
    char *text = json_dumps(root, JSON_INDENT(2));

    json_decref(root);
    if (text == NULL) {
        entry_refuse(e, request, PROBLEM_INTERNAL, 0, "out of memory");
        return;
    }
    f = &effects_add(e->fx, EF_TEXT)->u.text;
    f->request = request;
    f->json = text;
}

static void
put_uint(json_t *o, const char *key, uint64_t value)
{
    (void)json_object_set_new(o, key, json_integer((json_int_t)value));
}

static void
put_text(json_t *o, const char *key, const char *text)
{
    (void)json_object_set_new(o, key, json_string(text));
}

static json_t *
dump_counters(const struct entry *e)
{
    json_t *o = json_object();

#define COUNTER(name, help) put_uint(o, #name, e->counters.name);
    COUNTER_LIST(COUNTER)
#undef COUNTER
    return o;
}

static json_t *
dump_members(struct entry *e)
{
    json_t *list = json_array();
    size_t at = 0;
    struct member *m;

    while ((m = members_next(e, &at)) != NULL) {
        json_t *o = json_object();

        put_text(o, "name", m->name.s);
        put_text(o, "zone", m->zone.s);
        (void)json_object_set_new(o, "up", json_boolean(m->up));
        (void)json_object_set_new(o, "stopping", json_boolean(m->stopping));
        put_uint(o, "incarnation", m->incarnation);
        put_uint(o, "config_version", m->config_version);
        put_uint(o, "evacuation", m->evacuation);
        (void)json_array_append_new(list, o);
    }
    return list;
}

static json_t *
dump_upstreams(struct entry *e)
{
    json_t *list = json_array();
    uint32_t at = 0;
    struct upstream *u;

    while ((u = upstreams_next(e, &at)) != NULL) {
        json_t *o = json_object();

        put_text(o, "name", u->name.s);
        put_text(o, "service", u->info.service.s);
        put_text(o, "zone", u->info.zone.s);
        put_text(o, "holder", u->info.holder.s);
        put_uint(o, "incarnation", u->info.incarnation);
        put_uint(o, "epoch", u->info.epoch);
        put_uint(o, "slots", u->info.slots);
        put_uint(o, "running", u->running);
        put_uint(o, "lent", u->lent);
        put_uint(o, "foreign", u->foreign_busy);
        (void)json_object_set_new(o, "held", json_boolean(u->held));
        (void)json_object_set_new(o, "leaving",
                                  json_boolean(u->info.leaving != 0));
        (void)json_array_append_new(list, o);
    }
    return list;
}

json_t *
dump_job(const struct job *job)
{
    static const char *const phases[] = {"claiming", "joined", "active",
                                         "ended"};
    char id[33];
    json_t *o = json_object();

    key_id_format(job->id, id);
    put_text(o, "key", id);
    put_text(o, "phase", phases[job->phase]);
    put_text(o, "service", job->service_name.s);
    put_text(o, "reason", reason_text(job->reason));
    put_uint(o, "tasks", job->n_tasks);
    put_uint(o, "queued", job->n_queued);
    put_uint(o, "sent", job->n_sent);
    put_uint(o, "ended", job->n_ended);
    if (job->phase == JOB_JOINED) {
        put_text(o, "claimer", job->claimer.s);
    }
    return o;
}

static json_t *
dump_jobs(struct entry *e)
{
    json_t *list = json_array();
    uint32_t at = 0;
    struct job *job;

    while ((job = jobs_next(e, &at)) != NULL) {
        if (job->phase != JOB_ENDED) {
            (void)json_array_append_new(list, dump_job(job));
        }
    }
    return list;
}

static json_t *
dump_claims(struct entry *e)
{
    json_t *o = json_object();
    json_t *voting = json_object();
    size_t n;
    const struct name *zones = members_zones(e, &n);

    put_uint(o, "records", claims_count(e));
    put_uint(o, "bytes", claims_bytes(e));
    for (size_t i = 0; i < n; i++) {
        (void)json_object_set_new(
            voting, zones[i].s, json_boolean(claims_voter_ready(e, zones[i])));
    }
    (void)json_object_set_new(o, "voting", voting);
    return o;
}

static json_t *
dump_evacuated(const struct entry *e)
{
    json_t *list = json_array();

    for (size_t i = 0; i < e->evacuated.n_zones; i++) {
        (void)json_array_append_new(list,
                                    json_string(e->evacuated.zones[i].zone.s));
    }
    return list;
}

void
dump_query(struct entry *e, const struct ev_query *q)
{
    json_t *root = json_object();

    put_text(root, "instance", e->opts.self.s);
    put_text(root, "zone", e->zone.s);
    put_uint(root, "incarnation", e->opts.incarnation);
    (void)json_object_set_new(root, "stopping", json_boolean(e->stopping));
    put_uint(root, "config_version", entry_config_version(e));
    (void)json_object_set_new(root, "evacuated", dump_evacuated(e));
    put_uint(root, "tasks_queued", dispatch_count_queued(e));
    put_uint(root, "tasks_running", dispatch_count_running(e));
    (void)json_object_set_new(root, "members", dump_members(e));
    (void)json_object_set_new(root, "claims", dump_claims(e));
    (void)json_object_set_new(root, "upstreams", dump_upstreams(e));
    (void)json_object_set_new(root, "jobs", dump_jobs(e));
    (void)json_object_set_new(root, "counters", dump_counters(e));
    dump_send_reply(e, q->request, root);
}
