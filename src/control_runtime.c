#include "control_runtime.h"

#include <errno.h>
#include <pthread.h>
#include <sodium.h>
#include <stdlib.h>
#include <string.h>
#include <unistd.h>

#include "control_disk.h"
#include "log.h"
#include "registry.h"
#include "stats.h"

enum {
    BATCH = 64,             /* events processed between timer checks */
    WAIT_MAX_US = 1000000,  /* longest sleep of the reducer's thread */
    INBOX_RETRY_US = 200,   /* retry interval while the inbox is full */
    DRAIN_MS = 2000,        /* time limit for pending replies at shutdown */
    STATE_REQUEST_DUMP = 0, /* request number of a state dump to the
                             * process's log */
};

struct control_runtime {
    struct control_runtime_options opts;
    struct mailbox inbox;
    struct disk *folder;
    struct storage *storage;
    struct control *control;
    struct control_effects effects;
    struct control_disk *disk;
    const struct control_http_ops *http_ops;
    void *http;
    struct peer *peers;
    struct registry *registry; /* NULL if this member is not a registry */
    pthread_t thread;
    bool running;
    atomic_bool healthy;
    atomic_bool stopping;
    atomic_bool stopped;
    atomic_bool failed;
    atomic_bool reducer_ended;
};

static void
log_effect(const struct ce_log *l)
{
    log_event(l->severity, control_reason_text(l->reason), l->subject.s, "%s",
              l->detail);
}

/* Connects also to members that the settings do not name. */
static void
connect_members(struct control_runtime *r, const struct rec_membership *m)
{
    for (size_t i = 0; i < m->n_members; i++) {
        struct peer_remote remote = {.name = m->members[i].name,
                                     .address = m->members[i].address};

        peer_add(r->peers, &remote);
    }
}

static void
execute_effect(struct control_runtime *r, struct control_effect *f)
{
    if (control_effect_is_disk(f->kind)) {
        control_disk_post(r->disk, f);
        return;
    }
    switch (f->kind) {
    case CE_SEND:
        peer_send(r->peers, f->u.send.to, &f->u.send.msg);
        break;
    case CE_REPLY:
        r->http_ops->reply(r->http, f->u.reply.request, f);
        break;
    case CE_TEXT:
        if (f->u.text.request == STATE_REQUEST_DUMP) {
            log_json(LOG_NOTICE, "dump", "state", f->u.text.json);
        }
        else {
            r->http_ops->reply(r->http, f->u.text.request, f);
        }
        break;
    case CE_MEMBERS:
        connect_members(r, &f->u.members.msg.u.membership);
        break;
    case CE_LOG:
        log_effect(&f->u.log);
        break;
    default:
        atomic_store(&r->stopped, true);
        break;
    }
}

/* Passes membership changes to the registry. */
static void
update_registry_members(struct control_runtime *r)
{
    size_t n = r->effects.n;

    for (size_t i = 0; i < n && r->registry != NULL; i++) {
        struct control_effect *f = &r->effects.items[i];

        if (f->kind == CE_MEMBERS) {
            struct rec_membership m = f->u.members.msg.u.membership;

            registry_set_members(r->registry, &m, &r->effects);
        }
    }
}

static void
execute_effects(struct control_runtime *r)
{
    for (size_t i = 0; i < r->effects.n; i++) {
        execute_effect(r, &r->effects.items[i]);
    }
    control_effects_clear(&r->effects);
}

static void
step_reducer(struct control_runtime *r, struct control_event *ev)
{
    struct control_view v;

    ev->now = clock_now(r->opts.clock);
    if (ev->kind == CEV_TICK && r->registry != NULL) {
        registry_tick(r->registry, ev->now, &r->effects);
    }
    control_step(r->control, ev, &r->effects);
    update_registry_members(r);
    execute_effects(r);
    v = control_view(r->control);
    atomic_store(&r->healthy, !name_empty(v.leader));
    stats_add(&stats.steps, 1);
}

static void
print_metrics(FILE *out, const struct control_view *v)
{
    const struct control_counters *c = &v->counters;

#define CONTROL_COUNTER(name, help)                                           \
    stats_print_one(out, "control_" #name "_total", "counter", help, c->name);
    CONTROL_COUNTER_LIST(CONTROL_COUNTER)
#undef CONTROL_COUNTER
    histogram_print(out, "control_publish",
                    "from a change to its answer, at the leader", "",
                    &v->publish_latency);
    stats_print_one(out, "control_leader", "gauge", "this member leads",
                    v->role == CONTROL_LEADER);
    stats_print_one(out, "control_voter", "gauge", "this member has a vote",
                    v->voter);
    stats_print_one(out, "control_term", "gauge", "term", v->term);
    stats_print_one(out, "control_commit", "gauge", "last committed entry",
                    v->commit_index);
    stats_print_one(out, "control_version", "gauge",
                    "version of the configuration", v->version);
    stats_print_one(out, "control_evacuated_zones", "gauge",
                    "availability zones that are evacuated",
                    v->evacuated_zones);
    stats_print_one(out, "control_log_bytes", "gauge", "entries in memory",
                    v->log_bytes);
    stats_print_one(out, "control_state_bytes", "gauge",
                    "history, texts and snapshot in memory", v->state_bytes);
    stats_print_one(out, "control_followers", "gauge", "entry instances known",
                    v->followers);
}

static void
print_registry(FILE *out, const struct registry *registry)
{
    struct registry_gauges g = registry_gauges(registry);

    stats_print_one(out, "registry_upstreams", "gauge",
                    "upstreams that announced themselves here", g.upstreams);
    stats_print_one(out, "registry_brokers_up", "gauge", "brokers connected",
                    g.brokers_up);
}

static void
reply_metrics(struct control_runtime *r, uint64_t request)
{
    struct control_effect f = {.kind = CE_TEXT};
    struct control_view v = control_view(r->control);
    size_t size;
    FILE *out = open_memstream(&f.u.text.json, &size);

    if (out == NULL) {
        abort();
    }
    print_metrics(out, &v);
    if (r->registry != NULL) {
        print_registry(out, r->registry);
    }
    stats_print(out);
    (void)fclose(out);
    r->http_ops->reply(r->http, request, &f);
    control_effect_clear(&f);
}

static void
process_announcement(struct control_runtime *r, const struct control_mail *m)
{
    const struct rec_leased_upstream *u =
        &m->msg->u.upstream_report.upstreams[0];
    struct moment now = clock_now(r->opts.clock);

    switch (registry_announce(r->registry, u, now)) {
    case REGISTRY_CHANGED:
        log_event(LOG_INFO, "upstream-announced", u->upstream.s,
                  "%s in %s at %s, incarnation %llu, sequence %llu%s%s",
                  u->service.s, u->zone.s, u->address.s,
                  (unsigned long long)u->born_ms,
                  (unsigned long long)u->sequence,
                  u->leaving ? ", leaving" : "", u->gone ? ", gone" : "");
        break;
    case REGISTRY_STALE:
        log_event(LOG_INFO, "announcement-stale", u->upstream.s,
                  "incarnation %llu, sequence %llu",
                  (unsigned long long)u->born_ms,
                  (unsigned long long)u->sequence);
        break;
    default:
        break;
    }
    execute_effects(r);
}

/* Returns whether the registry has processed the mail. */
static bool
process_for_registry(struct control_runtime *r, const struct control_mail *m)
{
    struct moment now = clock_now(r->opts.clock);

    if (r->registry == NULL) {
        return m->kind != CONTROL_MAIL_EVENT;
    }
    if (m->kind == CONTROL_MAIL_ANNOUNCE) {
        process_announcement(r, m);
        return true;
    }
    if (m->kind == CONTROL_MAIL_PEER) {
        registry_on_connection(r->registry, m->peer, m->peer_up, now);
        return true;
    }
    if (m->event.kind == CEV_MESSAGE &&
        registry_on_message(r->registry, m->event.u.message.from, m->msg, now,
                            &r->effects)) {
        execute_effects(r);
        return true;
    }
    return false;
}

static void
process_mail(struct control_runtime *r, struct control_mail *m)
{
    if (m->kind == CONTROL_MAIL_METRICS) {
        reply_metrics(r, m->event.u.read.request);
    }
    else if (!process_for_registry(r, m)) {
        step_reducer(r, &m->event);
    }
}

static void
process_batch(struct control_runtime *r)
{
    struct mail *mail;

    for (int i = 0; i < BATCH; i++) {
        struct control_mail *m;

        mail = mailbox_take(&r->inbox);
        if (mail == NULL) {
            return;
        }
        m = (struct control_mail *)mail;
        process_mail(r, m);
        control_mail_free(m);
    }
}

static int64_t
next_timer_us(const struct control_runtime *r)
{
    int64_t at = control_next_tick_us(r->control);

    if (r->registry != NULL && registry_next_us(r->registry) < at) {
        at = registry_next_us(r->registry);
    }
    return at;
}

static void *
reducer_run(void *arg)
{
    struct control_runtime *r = arg;

    while (!atomic_load(&r->reducer_ended)) {
        int64_t remaining_us;

        process_batch(r);
        remaining_us = next_timer_us(r) - clock_now(r->opts.clock).mono_us;
        if (remaining_us <= 0) {
            step_reducer(r, &(struct control_event){.kind = CEV_TICK});
            continue;
        }
        mailbox_wait(&r->inbox,
                     remaining_us < WAIT_MAX_US ? remaining_us : WAIT_MAX_US);
    }
    return NULL;
}

static bool
on_offer(void *ctx, struct control_mail *m)
{
    struct control_runtime *r = ctx;

    return mailbox_offer(&r->inbox, &m->mail);
}

static void
on_disconnect(void *ctx, uint64_t request)
{
    struct control_runtime *r = ctx;
    struct control_mail *m = control_mail_new(CEV_GONE);

    m->event.u.gone.request = request;
    mailbox_post(&r->inbox, &m->mail);
}

static bool
is_healthy(void *ctx)
{
    struct control_runtime *r = ctx;

    return atomic_load(&r->healthy) && !atomic_load(&r->stopping);
}

/* While the inbox is full, the peer thread waits here and reads nothing, so
 * that TCP flow control slows the senders down. */
static void
on_message(void *ctx, struct name from, struct msg *msg)
{
    struct control_runtime *r = ctx;
    struct control_mail *m = control_mail_message(from, msg);

    while (!mailbox_offer(&r->inbox, &m->mail)) {
        if (atomic_load(&r->reducer_ended)) {
            control_mail_free(m);
            return;
        }
        (void)usleep(INBOX_RETRY_US);
    }
}

static void
on_peer(void *ctx, struct name remote, bool up)
{
    struct control_runtime *r = ctx;

    mailbox_post(&r->inbox, &control_mail_peer(remote, up)->mail);
}

static void
on_saved(void *ctx, uint64_t seq)
{
    struct control_runtime *r = ctx;
    struct control_mail *m = control_mail_new(CEV_SAVED);

    m->event.u.saved.seq = seq;
    mailbox_post(&r->inbox, &m->mail);
}

static void
on_failed(void *ctx, enum storage_error err, const char *detail)
{
    struct control_runtime *r = ctx;

    log_event(LOG_CRIT, "disk-failed", r->opts.data, "%s: %s",
              storage_error_text(err), detail);
    atomic_store(&r->failed, true);
}

static uint64_t
new_disk_id(void)
{
    uint64_t id;

    randombytes_buf(&id, sizeof(id));
    return id | 1;
}

static bool
open_folder(const struct control_runtime_options *o, struct disk **disk,
            struct storage_options *s)
{
    int err = disk_files_open(o->data, disk);

    if (err != 0) {
        log_event(LOG_ERR, "not-started", o->data, "data folder: %s",
                  err == -EWOULDBLOCK ? "another process uses it"
                                      : strerror(-err));
        return false;
    }
    s->ops = disk_files_ops();
    s->disk = *disk;
    s->member = o->control.self;
    s->region = o->region;
    return true;
}

static enum storage_error
initialize_folder(const struct control_runtime_options *o,
                  const struct rec_membership *members, char *detail)
{
    struct storage_options s = {0};
    struct disk *disk = NULL;
    struct blob *state;
    enum storage_error err;

    detail[0] = '\0';
    if (!open_folder(o, &disk, &s)) {
        return STORAGE_IO;
    }
    state = control_founding_state(members);
    s.new_disk_id = control_founding_disk(o->region, o->control.self);
    err = storage_format(&s, CONTROL_FOUNDING_INDEX, CONTROL_FOUNDING_TERM,
                         state, detail);
    blob_unref(state);
    disk_files_close(disk);
    return err;
}

static bool
log_founding(const struct control_runtime_options *o, enum storage_error err,
             const char *detail)
{
    if (err != STORAGE_OK) {
        log_event(LOG_ERR, "not-founded", o->data, "%s: %s",
                  storage_error_text(err), detail);
    }
    return err == STORAGE_OK;
}

bool
control_runtime_bootstrap(const struct control_runtime_options *o,
                          const struct rec_membership *members)
{
    char detail[DETAIL_SIZE];

    return log_founding(o, initialize_folder(o, members, detail), detail);
}

bool
control_runtime_bootstrap_once(const struct control_runtime_options *o,
                               const struct rec_membership *members)
{
    char detail[DETAIL_SIZE];
    enum storage_error err = initialize_folder(o, members, detail);

    return err == STORAGE_EXISTS || log_founding(o, err, detail);
}

static enum storage_error
save_recovered(struct storage *s, const struct control_recovery *r,
               char *detail)
{
    enum storage_error err = storage_save_vote(s, r->term, name_of(""));

    if (err == STORAGE_OK) {
        err = storage_save_snapshot(s, r->index, r->term, r->state, true);
    }
    (void)snprintf(detail, DETAIL_SIZE, "%s", storage_detail(s));
    return err;
}

static enum storage_error
recover_folder(const struct control_runtime_options *o,
               const struct storage_options *opts,
               const struct rec_control_member *self, char *detail)
{
    struct storage *s = NULL;
    struct storage_contents found;
    struct control_recovery r = {0};
    enum storage_error err = storage_open(opts, &s, &found, detail);
    uint64_t now_us = (uint64_t)clock_now(o->clock).wall_us;

    if (err != STORAGE_OK) {
        return err;
    }
    if (!control_recover(&found, self, now_us, &r)) {
        (void)snprintf(detail, DETAIL_SIZE, "the data folder holds no state");
        err = STORAGE_DAMAGED;
    }
    else {
        err = save_recovered(s, &r, detail);
    }
    if (err == STORAGE_OK) {
        log_event(LOG_WARNING, "recovered", o->data,
                  "version %llu, the only member is %s",
                  (unsigned long long)r.version, self->name.s);
    }
    blob_unref(r.state);
    storage_contents_free(&found);
    storage_close(s);
    return err;
}

bool
control_runtime_recover(const struct control_runtime_options *o,
                        const struct rec_control_member *self)
{
    struct storage_options s = {0};
    struct disk *disk = NULL;
    enum storage_error err;
    char detail[DETAIL_SIZE];

    if (!open_folder(o, &disk, &s)) {
        return false;
    }
    s.new_disk_id = new_disk_id();
    err = recover_folder(o, &s, self, detail);
    disk_files_close(disk);
    if (err != STORAGE_OK) {
        log_event(LOG_ERR, "not-recovered", o->data, "%s: %s",
                  storage_error_text(err), detail);
    }
    return err == STORAGE_OK;
}

static bool
open_storage(struct control_runtime *r, struct storage_contents *found)
{
    struct storage_options s = {0};
    enum storage_error err;
    char detail[DETAIL_SIZE];

    if (!open_folder(&r->opts, &r->folder, &s)) {
        return false;
    }
    s.new_disk_id = new_disk_id();
    err = storage_open(&s, &r->storage, found, detail);
    if (err != STORAGE_OK) {
        log_event(LOG_CRIT, "not-started", r->opts.data, "%s: %s",
                  storage_error_text(err), detail);
        return false;
    }
    if (found->created) {
        log_event(LOG_WARNING, "data-folder-empty", r->opts.data,
                  r->opts.control.enroll
                      ? "no vote until this member has caught up with the "
                        "leader"
                      : "no vote until an operator adds or replaces this "
                        "member");
    }
    if (found->truncated_bytes > 0) {
        log_event(LOG_NOTICE, "log-tail-cut", r->opts.data,
                  "removed %llu bytes that were never acknowledged",
                  (unsigned long long)found->truncated_bytes);
    }
    return true;
}

static void
restore_upstreams(struct control_runtime *r,
                  const struct storage_contents *found)
{
    const struct rec_upstream_report *report =
        &found->upstreams.u.upstream_report;

    if (found->upstreams_unreadable) {
        log_event(LOG_NOTICE, "upstreams-not-recalled", r->opts.data,
                  "cannot read the file; upstreams are registered when they "
                  "announce themselves");
    }
    if (r->registry == NULL || found->upstreams.kind != MSG_UPSTREAM_REPORT) {
        return;
    }
    registry_restore(r->registry, report, clock_now(r->opts.clock));
    log_event(LOG_NOTICE, "upstreams-recalled", r->opts.data, "%zu upstreams",
              report->n_upstreams);
}

static bool
open_control(struct control_runtime *r)
{
    struct storage_contents found;

    if (!open_storage(r, &found)) {
        return false;
    }
    r->opts.control.disk = found.disk_id;
    r->control = control_new(&r->opts.control, &found);
    restore_upstreams(r, &found);
    storage_contents_free(&found);
    if (r->control == NULL) {
        log_event(LOG_CRIT, "not-started", r->opts.data,
                  "the snapshot cannot be read by this version");
    }
    return r->control != NULL;
}

static bool
start_modules(struct control_runtime *r)
{
    struct control_disk_options disk = {
        .storage = r->storage,
        .saved = on_saved,
        .failed = on_failed,
        .ctx = r,
    };
    struct peer_options peers = r->opts.peers;
    struct control_http_options http = r->opts.http;

    r->disk = control_disk_new(&disk);
    peers.on_message = on_message;
    peers.on_peer = on_peer;
    peers.ctx = r;
    peers.clock = r->opts.clock;
    r->peers = r->disk != NULL ? peer_new(&peers) : NULL;
    if (r->peers == NULL) {
        log_event(LOG_ERR, "not-started", peers.listen.s, "connections: %s",
                  strerror(errno));
        return false;
    }
    http.offer = on_offer;
    http.on_client_gone = on_disconnect;
    http.healthy = is_healthy;
    http.ctx = r;
    http.clock = r->opts.clock;
    r->http = r->http_ops->new (&http);
    if (r->http == NULL) {
        log_event(LOG_ERR, "not-started", http.listen.s, "HTTP server: %s",
                  strerror(errno));
    }
    return r->http != NULL;
}

struct control_runtime *
control_runtime_new(const struct control_runtime_options *o)
{
    struct control_runtime *r = calloc(1, sizeof(*r));

    if (r == NULL || mailbox_init(&r->inbox, o->inbox) != 0) {
        free(r);
        return NULL;
    }
    r->opts = *o;
    r->http_ops = o->http_ops != NULL ? o->http_ops : control_http_ops();
    if (o->registry) {
        r->registry = registry_new();
    }
    if (!open_control(r) || !start_modules(r)) {
        control_runtime_free(r);
        return NULL;
    }
    r->running = pthread_create(&r->thread, NULL, reducer_run, r) == 0;
    if (!r->running) {
        log_event(LOG_ERR, "not-started", NULL,
                  "cannot create the reducer's thread");
        control_runtime_free(r);
        return NULL;
    }
    return r;
}

void
control_runtime_add_contact(struct control_runtime *r, struct name name,
                            struct address address)
{
    struct peer_remote remote = {.name = name, .address = address};
    struct control_mail *m = control_mail_new(CEV_CONTACT);

    peer_add(r->peers, &remote);
    m->event.u.contact.name = name;
    mailbox_post(&r->inbox, &m->mail);
}

void
control_runtime_dump(struct control_runtime *r)
{
    struct control_mail *m = control_mail_new(CEV_READ);

    m->event.u.read.request = STATE_REQUEST_DUMP;
    m->event.u.read.kind = READ_STATE;
    mailbox_post(&r->inbox, &m->mail);
}

void
control_runtime_stop(struct control_runtime *r)
{
    struct control_mail *m = control_mail_new(CEV_STOP);

    atomic_store(&r->stopping, true);
    mailbox_post(&r->inbox, &m->mail);
}

bool
control_runtime_stopped(const struct control_runtime *r)
{
    return atomic_load(&r->stopped);
}

bool
control_runtime_failed(const struct control_runtime *r)
{
    return atomic_load(&r->failed);
}

static void
free_inbox(struct control_runtime *r)
{
    struct mail *mail;

    while ((mail = mailbox_take(&r->inbox)) != NULL) {
        control_mail_free((struct control_mail *)mail);
    }
    mailbox_destroy(&r->inbox);
}

/* The reducer's thread ends first, because it uses all other modules.  The
 * HTTP, peer and disk threads end before the inbox that they post to is
 * destroyed. */
void
control_runtime_free(struct control_runtime *r)
{
    if (r == NULL) {
        return;
    }
    if (r->running && !control_runtime_failed(r)) {
        r->http_ops->drain(r->http, DRAIN_MS);
    }
    atomic_store(&r->reducer_ended, true);
    if (r->running) {
        mailbox_wake(&r->inbox);
        (void)pthread_join(r->thread, NULL);
    }
    if (r->http_ops != NULL) {
        r->http_ops->free(r->http);
    }
    peer_free(r->peers);
    control_disk_free(r->disk);
    control_free(r->control);
    registry_free(r->registry);
    control_effects_free(&r->effects);
    storage_close(r->storage);
    disk_files_close(r->folder);
    free_inbox(r);
    free(r);
}
