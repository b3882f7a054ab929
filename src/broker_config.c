/*
 * Fetching of the configuration from the registries.
 *
 * Every registry is polled for its version: a registry that is cut off from
 * the others does not learn of newer versions, so polling only one could keep
 * an old configuration in force here.  The text is fetched from one registry
 * only: a copy from each would fill the link of a small machine and delay all
 * other messages, including the next change.
 */
#include <string.h>

#include "broker_state.h"
#include "textpack.h"

/* A version poll without an answer is repeated after this; longer than control
 * keeps a poll open. */
#define POLL_RETRY_US (5 * USEC_PER_SEC)
/* How long to wait for a registry of this zone to report a version that one of
 * another zone has reported: a text from another zone costs more, and the
 * members of control learn of a change within one heartbeat of each other. */
#define SAME_ZONE_WAIT_US (100 * USEC_PER_MSEC)
/* Time-out of a fetch.  It grows with each time-out in a row, so that a text
 * that takes long to arrive is not requested again and again. */
#define FETCH_TIMEOUT_US (1 * USEC_PER_SEC)
enum { FETCH_TIMEOUT_GROWTH = 2 };

static uint64_t
newest_reported(const struct broker *b)
{
    uint64_t newest = b->config_version;

    for (const struct broker_peer *p = b->peers; p != NULL; p = p->next) {
        if (p->up && p->reported_version > newest) {
            newest = p->reported_version;
        }
    }
    return newest > b->fetch.unreadable_version ? newest : b->config_version;
}

bool
broker_config_outdated(const struct broker *b)
{
    return newest_reported(b) > b->config_version;
}

/* Requests */

static bool
is_fetching(const struct broker *b)
{
    return !name_empty(b->fetch.source);
}

static void
send_request(struct broker *b, struct broker_peer *p, bool version_only)
{
    struct msg m = {.kind = MSG_CONFIG_REQUEST};
    struct rec_config_request *r = &m.u.config_request;

    r->have_version = b->config_version;
    r->incarnation = b->opts.incarnation;
    r->zone = b->opts.zone;
    r->has_text = b->config_text != NULL && !b->fetch.full_text ? 1 : 0;
    r->version_only = version_only ? 1 : 0;
    r->known_version = b->config_version;
    r->evacuation = b->evacuated.revision;
    if (version_only && p->reported_version > b->config_version) {
        r->known_version = p->reported_version;
    }
    p->config_poll_us = b->now.mono_us + POLL_RETRY_US;
    broker_send(b, p->name, &m);
}

static bool
is_same_zone(const struct broker *b, const struct broker_peer *p)
{
    return name_equal(p->zone, b->opts.zone);
}

/* Registries of this zone are preferred, registries that timed out come
 * last. */
static int
source_cost(const struct broker *b, const struct broker_peer *p)
{
    return (p->fetch_timed_out ? 2 : 0) + (is_same_zone(b, p) ? 0 : 1);
}

/* A registry that reported @version, drawn at random among those of the lowest
 * cost. */
static struct broker_peer *
choose_source(struct broker *b, uint64_t version)
{
    struct broker_peer *best = NULL;
    uint64_t n_best = 0;

    for (struct broker_peer *p = b->peers; p != NULL; p = p->next) {
        if (!p->up || p->reported_version < version) {
            continue;
        }
        if (best == NULL || source_cost(b, p) < source_cost(b, best)) {
            best = p;
            n_best = 1;
        }
        else if (source_cost(b, p) == source_cost(b, best) &&
                 broker_random(b, ++n_best) == 0) {
            best = p;
        }
    }
    return best;
}

static bool
zone_registry_up(const struct broker *b)
{
    for (const struct broker_peer *p = b->peers; p != NULL; p = p->next) {
        if (p->registry && p->up && !p->fetch_timed_out &&
            is_same_zone(b, p)) {
            return true;
        }
    }
    return false;
}

static void
abandon_source(struct broker *b)
{
    struct broker_peer *p = peers_find(b, b->fetch.source);

    broker_log(b, LOG_WARNING, BROKER_CONFIG_LATE, 0, -1, b->fetch.source,
               "no answer in %lld ms",
               (long long)(b->fetch.timeout_us / USEC_PER_MSEC));
    if (p != NULL) {
        p->fetch_timed_out = true;
    }
    b->fetch.source = name_of("");
    b->fetch.timeout_us *= FETCH_TIMEOUT_GROWTH;
}

/* Called while no registry reports a newer version: a reply that is still
 * outstanding does not delay the next fetch. */
static void
reset_fetch(struct config_fetch *f)
{
    f->source = name_of("");
    f->first_reported_us = 0;
    f->timeout_us = FETCH_TIMEOUT_US;
}

static void
begin_fetch(struct broker *b, uint64_t version)
{
    struct config_fetch *f = &b->fetch;
    struct broker_peer *source = choose_source(b, version);

    if (!is_same_zone(b, source) && zone_registry_up(b) &&
        b->now.mono_us < f->first_reported_us + SAME_ZONE_WAIT_US) {
        return;
    }
    f->source = source->name;
    f->timeout_at_us = b->now.mono_us + f->timeout_us;
    send_request(b, source, false);
}

void
config_tick(struct broker *b)
{
    uint64_t newest = newest_reported(b);

    if (is_fetching(b) && b->now.mono_us >= b->fetch.timeout_at_us) {
        abandon_source(b);
    }
    if (newest == b->config_version) {
        reset_fetch(&b->fetch);
    }
    else if (!is_fetching(b)) {
        begin_fetch(b, newest);
    }
    for (struct broker_peer *p = b->peers; p != NULL; p = p->next) {
        if (p->registry && p->up && b->now.mono_us >= p->config_poll_us) {
            send_request(b, p, true);
        }
    }
}

int64_t
config_next_us(const struct broker *b)
{
    int64_t at = INT64_MAX;

    if (is_fetching(b)) {
        at = b->fetch.timeout_at_us;
    }
    else if (b->fetch.first_reported_us > 0) {
        at = b->fetch.first_reported_us + SAME_ZONE_WAIT_US;
    }
    for (const struct broker_peer *p = b->peers; p != NULL; p = p->next) {
        if (p->registry && p->up && p->config_poll_us < at) {
            at = p->config_poll_us;
        }
    }
    return at;
}

void
config_registry_lost(struct broker *b, struct broker_peer *p)
{
    p->reported_version = 0;
    p->fetch_timed_out = false;
    if (name_equal(b->fetch.source, p->name)) {
        b->fetch.source = name_of("");
    }
}

/* Replies */

static size_t
reply_bytes(const struct rec_config_reply *r)
{
    return r->config != NULL ? r->config->size : 0;
}

static void
ignore_text(struct broker *b, struct name from,
            const struct rec_config_reply *r)
{
    b->counters.configs_ignored++;
    broker_log(b, LOG_INFO, BROKER_CONFIG_IGNORED, 0, -1, from,
               "version %llu, %zu bytes; version %llu is in force",
               (unsigned long long)r->version, reply_bytes(r),
               (unsigned long long)b->config_version);
}

static void
apply_text(struct broker *b, struct name from,
           const struct rec_config_reply *r, struct blob *text)
{
    enum queueconf_error fault = QUEUECONF_OK;
    struct queueconf *queues =
        b->opts.read_config(text->data, text->size, &fault);
    int64_t reported_us = b->fetch.first_reported_us > 0
                              ? b->fetch.first_reported_us
                              : b->now.mono_us;

    if (queues == NULL) {
        b->fetch.unreadable_version = r->version;
        broker_log(b, LOG_ERR, BROKER_CONFIG_BAD, 0, -1, from,
                   "version %llu: %s", (unsigned long long)r->version,
                   queueconf_error_text(fault));
        return;
    }
    queueconf_free(b->queues);
    b->queues = queues;
    blob_unref(b->config_text);
    b->config_text = blob_ref(text);
    b->config_version = r->version;
    b->counters.configs_applied++;
    broker_log(b, LOG_NOTICE, BROKER_CONFIG_APPLIED, 0, -1, from,
               "version %llu, rank %llu, %zu queues, %zu bytes in %zu%s, "
               "%lld ms after its first report",
               (unsigned long long)r->version,
               (unsigned long long)queues->rank, queues->n_queues, text->size,
               reply_bytes(r), r->from_version != 0 ? " of changes" : "",
               (long long)((b->now.mono_us - reported_us) / USEC_PER_MSEC));
}

static void
receive_text(struct broker *b, struct name from,
             const struct rec_config_reply *r)
{
    struct blob *text;

    b->counters.config_bytes += reply_bytes(r);
    if (name_equal(b->fetch.source, from)) {
        b->fetch.source = name_of("");
    }
    if (r->version <= b->config_version) {
        ignore_text(b, from, r);
        return;
    }
    text = textpack_read_reply(r, b->config_text, b->config_version);
    b->fetch.full_text = text == NULL;
    if (text != NULL) {
        apply_text(b, from, r, text);
    }
    blob_unref(text);
}

void
config_on_reply(struct broker *b, struct name from,
                const struct rec_config_reply *r)
{
    struct broker_peer *p = peers_find(b, from);

    if (p == NULL) {
        return;
    }
    evacuate_update(b, from, r->evacuation, r->evacuated, r->n_evacuated);
    p->config_poll_us = b->now.mono_us;
    p->reported_version =
        r->version > p->reported_version ? r->version : p->reported_version;
    if (r->zone.s[0] != '\0') {
        p->zone = r->zone;
    }
    if (r->config != NULL) {
        p->fetch_timed_out = false;
        receive_text(b, from, r);
    }
    if (broker_config_outdated(b) && b->fetch.first_reported_us == 0) {
        b->fetch.first_reported_us = b->now.mono_us;
    }
}
