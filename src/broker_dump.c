#include "broker_dump.h"

#include <inttypes.h>
#include <jansson.h>
#include <stdlib.h>

#include "broker_state.h"
#include "log.h"

static const char *const hold_texts[] = {
    [HOLD_NONE] = "not-held", [HOLD_TAKING] = "taking",
    [HOLD_OPEN] = "open",     [HOLD_UNRESPONSIVE] = "unresponsive",
    [HOLD_LOST] = "lost",
};

static const char *const feature_names[] = {
#define BROKER_FEATURE(NAME, text) #NAME,
    BROKER_FEATURE_LIST(BROKER_FEATURE)
#undef BROKER_FEATURE
};

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

static void
put_bool(json_t *o, const char *key, bool value)
{
    (void)json_object_set_new(o, key, json_boolean(value));
}

/* Rounded: digits after the third carry no information here. */
static void
put_real(json_t *o, const char *key, double value)
{
    (void)json_object_set_new(
        o, key, json_real((double)(int64_t)(value * 1000.0) / 1000.0));
}

/* Since a moment of this broker's clock; 0 where that was never. */
static void
put_age(json_t *o, const char *key, const struct broker *b, int64_t since_us)
{
    int64_t us = since_us > 0 ? b->now.mono_us - since_us : 0;

    put_uint(o, key, (uint64_t)(us / USEC_PER_MSEC));
}

/* Peers */

static json_t *
dump_loads(const struct broker_peer *p)
{
    json_t *list = json_array();

    for (size_t i = 0; i < p->n_loads; i++) {
        const struct rec_service_load *l = &p->loads[i].reported;
        json_t *o = json_object();

        put_text(o, "service", l->service.s);
        put_uint(o, "cpu_milli", l->cpu_milli);
        put_uint(o, "free_milli", l->free_milli);
        put_uint(o, "released_milli_per_ms", l->rate);
        put_uint(o, "queued_milli", l->queued2_milli);
        put_uint(o, "offered_since_milli", p->loads[i].sent_milli);
        (void)json_array_append_new(list, o);
    }
    return list;
}

static const char *
peer_state(const struct broker_peer *p)
{
    if (p->self) {
        return p->stopping ? "self-stopping" : "self";
    }
    if (!p->up) {
        return "down";
    }
    return p->stopping ? "stopping" : "up";
}

static json_t *
dump_peer(const struct broker *b, const struct broker_peer *p)
{
    json_t *o = json_object();

    put_text(o, "name", p->name.s);
    put_text(o, "zone", p->zone.s);
    put_text(o, "state", peer_state(p));
    put_age(o, "state_ms", b, p->up ? p->up_us : p->down_us);
    put_bool(o, "broker", p->broker);
    put_bool(o, "registry", p->registry);
    put_uint(o, "incarnation", p->incarnation);
    put_age(o, "heard_ms", b, p->last_received_us);
    (void)json_object_set_new(o, "loads", dump_loads(p));
    /* INSTANCE_CAPACITY: declared capacity and reported usage of @p. */
    return o;
}

static json_t *
dump_peers(const struct broker *b)
{
    json_t *list = json_array();

    for (const struct broker_peer *p = b->peers; p != NULL; p = p->next) {
        (void)json_array_append_new(list, dump_peer(b, p));
    }
    return list;
}

/* Holders and upstreams */

static bool
is_held_here(const struct broker_upstream *u)
{
    return u->state != HOLD_NONE && u->state != HOLD_LOST;
}

static struct name
holder_of(const struct broker *b, const struct broker_upstream *u)
{
    return is_held_here(u) ? b->opts.self : u->holder;
}

static uint32_t
count_held_by(const struct broker *b, struct name holder)
{
    const struct broker_upstream *u;
    struct handle h;
    uint32_t at = 0;
    uint32_t n = 0;

    while ((u = table_next(&b->upstreams, &at, &h)) != NULL) {
        n += !u->gone && name_equal(holder_of(b, u), holder) ? 1 : 0;
    }
    return n;
}

/* Whether the broker should hold upstreams, as of the last assignment.  Peers
 * are compared by address only: a peer in b->holders may have been freed since
 * then. */
static bool
is_assigned(const struct broker *b, const struct broker_peer *p)
{
    for (size_t i = 0; i < b->n_holders; i++) {
        if (b->holders[i].peer == p) {
            return true;
        }
    }
    return false;
}

static void
add_holder(json_t *list, const char *name, bool assigned, uint32_t upstreams)
{
    json_t *o = json_object();

    put_text(o, "name", name);
    put_bool(o, "assigned", assigned);
    put_uint(o, "upstreams", upstreams);
    /* INSTANCE_CAPACITY: quota of the holder. */
    (void)json_array_append_new(list, o);
}

/* Brokers of the zone; the upstreams that none is known to hold are listed
 * under an empty name. */
static json_t *
dump_holders(const struct broker *b)
{
    json_t *list = json_array();

    for (const struct broker_peer *p = b->peers; p != NULL; p = p->next) {
        if (p->broker && name_equal(p->zone, b->opts.zone)) {
            add_holder(list, p->name.s, is_assigned(b, p),
                       count_held_by(b, p->name));
        }
    }
    add_holder(list, "", false, count_held_by(b, name_of("")));
    return list;
}

static void
put_room(json_t *o, const struct broker_upstream *u)
{
    put_uint(o, "slots", u->slots);
    put_uint(o, "tasks", u->n_tasks);
    put_uint(o, "cpu_milli", u->capacity.cpu_milli);
    put_uint(o, "used_cpu_milli", u->used.cpu_milli);
}

static json_t *
dump_upstream(const struct broker *b, const struct broker_upstream *u)
{
    json_t *o = json_object();
    int64_t left_us = u->quarantine_until_us - b->now.mono_us;

    put_text(o, "name", u->name.s);
    put_text(o, "zone", u->zone.s);
    put_text(o, "service", u->service != NULL ? u->service->name.s : "");
    put_text(o, "holder", holder_of(b, u).s);
    put_text(o, "state", hold_texts[u->state]);
    put_bool(o, "leaving", u->leaving);
    put_bool(o, "gone", u->gone);
    put_uint(o, "born_ms", u->born_ms);
    put_age(o, "reported_ms", b, u->last_reported_us);
    if (is_held_here(u)) {
        put_room(o, u);
        put_real(o, "slowness", u->slowness);
        put_uint(o, "failures", u->failures);
        put_uint(o, "quarantine_ms",
                 left_us > 0 ? (uint64_t)(left_us / USEC_PER_MSEC) : 0);
    }
    /* UPSTREAM_SPEED: speed, number of samples and age, also of upstreams of
     * other holders. */
    return o;
}

static json_t *
dump_upstreams(const struct broker *b)
{
    json_t *list = json_array();
    const struct broker_upstream *u;
    struct handle h;
    uint32_t at = 0;

    while ((u = table_next(&b->upstreams, &at, &h)) != NULL) {
        (void)json_array_append_new(list, dump_upstream(b, u));
    }
    return list;
}

/* Services and queues */

static uint32_t
count_waiting(const struct broker_service *s, struct name queue)
{
    const struct run_job *job;
    uint32_t n = 0;

    TAILQ_FOREACH(job, &s->queue, link)
    {
        n += name_equal(job->queue, queue) ? 1 : 0;
    }
    return n;
}

static json_t *
dump_queue(const struct broker_service *s, const struct queue_stats *q)
{
    json_t *o = json_object();

    put_text(o, "name", q->queue.s);
    put_uint(o, "priority", q->priority);
    put_uint(o, "waiting_jobs", count_waiting(s, q->queue));
    put_real(o, "demand_milli", q->demand);
    put_real(o, "credit_milli_s", q->credit / (double)USEC_PER_SEC);
    put_uint(o, "run_samples", q->run_estimate.samples);
    put_real(o, "run_mean_ms",
             q->run_estimate.mean_us / (double)USEC_PER_MSEC);
    return o;
}

static json_t *
dump_service(const struct broker *b, const struct broker_service *s)
{
    json_t *queues = json_array();
    json_t *o = json_object();

    for (size_t i = 0; i < s->n_stats; i++) {
        (void)json_array_append_new(queues, dump_queue(s, &s->stats[i]));
    }
    put_text(o, "name", s->name.s);
    put_uint(o, "waiting_jobs", s->n_queued);
    put_real(o, "late_throughput_milli", s->late_throughput);
    /* Demand and credit are of that moment. */
    put_age(o, "measured_ms", b, s->shares_updated_us);
    /* URGENT_RESERVE: capacity that is reserved for urgent jobs. */
    (void)json_object_set_new(o, "queues", queues);
    return o;
}

static json_t *
dump_services(const struct broker *b)
{
    json_t *list = json_array();

    for (const struct broker_service *s = b->services; s != NULL;
         s = s->next) {
        (void)json_array_append_new(list, dump_service(b, s));
    }
    return list;
}

/* The whole */

static json_t *
dump_capacity(const struct instance_capacity *c)
{
    json_t *o = json_object();

    put_uint(o, "cpu_milli", c->cpu_milli);
    put_uint(o, "link_kbps", c->link_kbps);
    put_uint(o, "memory_mb", c->memory_mb);
    put_uint(o, "connections", c->connections);
    return o;
}

static json_t *
dump_disabled(const struct broker *b)
{
    json_t *list = json_array();

    for (int f = 0; f < BROKER_FEATURES; f++) {
        if (b->opts.disabled[f]) {
            (void)json_array_append_new(list, json_string(feature_names[f]));
        }
    }
    return list;
}

static json_t *
dump_counters(const struct broker *b)
{
    json_t *o = json_object();

#define BROKER_COUNTER(name, help) put_uint(o, #name, b->counters.name);
    BROKER_COUNTER_LIST(BROKER_COUNTER)
#undef BROKER_COUNTER
    return o;
}

static void
put_self(json_t *o, const struct broker *b)
{
    put_text(o, "instance", b->opts.self.s);
    put_text(o, "zone", b->opts.zone.s);
    put_uint(o, "incarnation", b->opts.incarnation);
    put_bool(o, "ready", broker_ready(b));
    put_bool(o, "stopping", b->stopping);
    put_uint(o, "config_version", b->config_version);
    put_uint(o, "evacuated_zones", b->evacuated.n_zones);
    (void)json_object_set_new(o, "capacity", dump_capacity(&b->opts.capacity));
    put_real(o, "remote_factor", b->opts.remote_factor);
    (void)json_object_set_new(o, "disabled", dump_disabled(b));
    put_uint(o, "callers_jobs", b->caller_jobs.n);
    put_uint(o, "callers_jobs_without_runner", b->n_unoffered);
    put_uint(o, "runner_jobs", b->run_jobs.n);
}

char *
broker_dump_json(const struct broker *b)
{
    json_t *root = json_object();
    char *text;

    put_self(root, b);
    (void)json_object_set_new(root, "peers", dump_peers(b));
    (void)json_object_set_new(root, "holders", dump_holders(b));
    (void)json_object_set_new(root, "upstreams", dump_upstreams(b));
    (void)json_object_set_new(root, "services", dump_services(b));
    (void)json_object_set_new(root, "counters", dump_counters(b));
    text = json_dumps(root, JSON_COMPACT);
    json_decref(root);
    if (text == NULL) {
        abort();
    }
    return text;
}

void
broker_dump_log(const struct broker *b)
{
    char *json = broker_dump_json(b);

    log_json(LOG_NOTICE, "dump", "state", json);
    free(json);
}

/* Metrics */

struct queue_gauge {
    const char *name;
    const char *help;
    double (*value)(const struct broker_service *s,
                    const struct queue_stats *q);
};

static double
queue_demand(const struct broker_service *s, const struct queue_stats *q)
{
    (void)s;
    return q->demand;
}

static double
queue_credit(const struct broker_service *s, const struct queue_stats *q)
{
    (void)s;
    return q->credit / (double)USEC_PER_SEC;
}

static double
queue_waiting(const struct broker_service *s, const struct queue_stats *q)
{
    return count_waiting(s, q->queue);
}

static const struct queue_gauge queue_gauges[] = {
    {"queue_demand_milli", "milli-cores asked for lately", queue_demand},
    {"queue_credit_milli_seconds", "work that its share still admits",
     queue_credit},
    {"queue_waiting_jobs", "jobs that wait for capacity", queue_waiting},
    /* URGENT_RESERVE: reserved capacity. */
};

static void
print_head(FILE *out, const char *name, const char *help)
{
    (void)fprintf(out,
                  "# HELP boragemoor_broker_%s %s\n"
                  "# TYPE boragemoor_broker_%s gauge\n",
                  name, help, name);
}

/* A label's value; operators choose the names of services and queues. */
static void
print_label(FILE *out, const char *label, const char *value)
{
    (void)fprintf(out, "%s=\"", label);
    for (const char *c = value; *c != '\0'; c++) {
        if (*c == '"' || *c == '\\') {
            (void)fputc('\\', out);
        }
        (void)fputc(*c == '\n' ? ' ' : *c, out);
    }
    (void)fputc('"', out);
}

static void
print_queues(FILE *out, const struct broker *b, const struct queue_gauge *g)
{
    print_head(out, g->name, g->help);
    for (const struct broker_service *s = b->services; s != NULL;
         s = s->next) {
        for (size_t i = 0; i < s->n_stats; i++) {
            (void)fprintf(out, "boragemoor_broker_%s{", g->name);
            print_label(out, "service", s->name.s);
            (void)fputc(',', out);
            print_label(out, "queue", s->stats[i].queue.s);
            (void)fprintf(out, "} %.3f\n", g->value(s, &s->stats[i]));
        }
    }
}

static void
print_holders(FILE *out, const struct broker *b)
{
    print_head(out, "holder_upstreams",
               "upstreams that each broker of the zone holds");
    for (const struct broker_peer *p = b->peers; p != NULL; p = p->next) {
        if (p->broker && name_equal(p->zone, b->opts.zone)) {
            (void)fprintf(out, "boragemoor_broker_holder_upstreams{");
            print_label(out, "holder", p->name.s);
            (void)fprintf(out, "} %" PRIu32 "\n", count_held_by(b, p->name));
        }
    }
}

void
broker_dump_metrics(FILE *out, const struct broker *b)
{
    print_holders(out, b);
    for (size_t i = 0; i < sizeof(queue_gauges) / sizeof(queue_gauges[0]);
         i++) {
        print_queues(out, b, &queue_gauges[i]);
    }
}
