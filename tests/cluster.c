#include "cluster.h"

#include <stdarg.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "control_disk.h"
#include "delta.h"
#include "textpack.h"

static const char REGION[] = "sk-east";
static const char FOLLOWER[] = "e1";

uint64_t
cluster_random(struct cluster *cl, uint64_t below)
{
    return random_next(&cl->random) % below;
}

void
cluster_violation(struct cluster *cl, const char *format, ...)
{
    va_list args;

    if (cl->violations++ == 0) {
        va_start(args, format);
        (void)vsnprintf(cl->first_violation, sizeof(cl->first_violation),
                        format, args);
        va_end(args);
    }
}

static struct name
node_name(int i)
{
    char text[16];

    (void)snprintf(text, sizeof(text), "c%d", i);
    return name_of(text);
}

static struct storage_options
disk_options(const struct cluster *cl, int i)
{
    return (struct storage_options){
        .ops = fault_disk_ops(),
        .disk = cl->nodes[i].disk,
        .member = cl->nodes[i].name,
        .region = name_of(REGION),
        .new_disk_id = cl->nodes[i].disk_identity,
    };
}

/* Checks. */
static void
check_leader(struct cluster *cl, const struct node *n,
             const struct control_view *v)
{
    struct name *known = &cl->term_leaders[v->term % CLUSTER_REQUESTS_MAX];

    if (v->role != CONTROL_LEADER) {
        return;
    }
    if (name_empty(*known)) {
        *known = n->name;
    }
    else if (!name_equal(*known, n->name)) {
        cluster_violation(cl, "%s and %s lead in term %llu", known->s,
                          n->name.s, (unsigned long long)v->term);
    }
}

static uint64_t
entry_digest(const struct rec_log_entry *e)
{
    return delta_digest(e->data) ^ e->kind;
}

static void
check_committed(struct cluster *cl, const struct node *n,
                const struct control_view *v)
{
    uint64_t from = v->commit_index > v->log_base + 40 ? v->commit_index - 40
                                                       : v->log_base + 1;

    for (uint64_t i = from; i <= v->commit_index && i < CLUSTER_ENTRIES_MAX;
         i++) {
        const struct rec_log_entry *e = control_entry(n->control, i);
        struct rec_log_entry *known = &cl->committed[i];

        if (e == NULL) {
            continue;
        }
        if (known->index == 0) {
            known->index = i;
            known->term = e->term;
            known->kind = entry_digest(e);
        }
        else if (known->term != e->term || known->kind != entry_digest(e)) {
            cluster_violation(cl, "%s committed another entry %llu", n->name.s,
                              (unsigned long long)i);
        }
    }
}

static void
check_versions(struct cluster *cl, const struct node *n,
               const struct control_view *v)
{
    const struct fsm *f = control_fsm(n->control);
    uint64_t from = v->version > 40 ? v->version - 40 : 1;

    for (uint64_t i = from; i <= v->version; i++) {
        const struct rec_publication *p = fsm_publication(f, i);
        struct key_id *known = &cl->version_requests[i % CLUSTER_REQUESTS_MAX];

        if (p == NULL) {
            continue;
        }
        if (known->hi == 0 && known->lo == 0) {
            *known = p->request_id;
        }
        else if (!key_id_equal(*known, p->request_id)) {
            cluster_violation(cl, "%s has another version %llu", n->name.s,
                              (unsigned long long)i);
        }
    }
}

static void
check_node(struct cluster *cl, const struct node *n)
{
    struct control_view v = control_view(n->control);

    check_leader(cl, n, &v);
    check_committed(cl, n, &v);
    check_versions(cl, n, &v);
}

static void
check_served(struct cluster *cl, struct node *n,
             const struct rec_config_reply *r)
{
    const struct key_id *known =
        &cl->version_requests[r->version % CLUSTER_REQUESTS_MAX];
    const struct fsm *f = control_fsm(n->control);

    if (r->config == NULL) {
        return;
    }
    if (r->version < n->served_version) {
        cluster_violation(cl, "%s served %llu after %llu", n->name.s,
                          (unsigned long long)r->version,
                          (unsigned long long)n->served_version);
    }
    n->served_version = r->version;
    if (known->hi == 0 ||
        !key_id_equal(*known, fsm_publication(f, r->version)->request_id)) {
        cluster_violation(cl, "%s served an uncommitted version", n->name.s);
    }
}

/* The follower. */
static void
follower_receive(struct cluster *cl, const struct rec_config_reply *r)
{
    struct blob *text;

    if (r->config == NULL || r->version <= cl->follower_version ||
        (r->from_version != 0 && r->from_version != cl->follower_version)) {
        return;
    }
    text = textpack_read_reply(r, cl->follower_text, cl->follower_version);
    if (text == NULL) {
        cluster_violation(cl, "the follower cannot read version %llu",
                          (unsigned long long)r->version);
        return;
    }
    blob_unref(cl->follower_text);
    cl->follower_text = text;
    cl->follower_version = r->version;
    cl->follower_replies++;
}

/* The network. */
static int
node_number(const struct cluster *cl, struct name name)
{
    for (int i = 0; i < cl->n; i++) {
        if (name_equal(cl->nodes[i].name, name)) {
            return i;
        }
    }
    return -1;
}

static void
send_copy(struct cluster *cl, struct name from, int to, const struct msg *m)
{
    struct in_flight_msg *f;
    struct msg back;
    msgpack_sbuffer buffer;

    if (cl->n_in_flight == CLUSTER_MESSAGES_MAX ||
        cluster_random(cl, 1000) < cl->loss_permille) {
        return;
    }
    /* Uses the real codec, so that the encoding of messages is tested too. */
    msgpack_sbuffer_init(&buffer);
    if (wire_encode(m, &buffer) != WIRE_OK ||
        wire_decode(buffer.data, buffer.size, &back) != WIRE_OK) {
        abort();
    }
    msgpack_sbuffer_destroy(&buffer);
    f = &cl->in_flight[cl->n_in_flight++];
    f->due_us = cl->now_us + 100 +
                (int64_t)cluster_random(cl, (uint64_t)cl->max_delay_us);
    f->order = cl->order++;
    f->from = from;
    f->to = to;
    f->msg = back;
}

static void
send_msg(struct cluster *cl, struct name from, struct name to,
         const struct msg *m)
{
    int target = node_number(cl, to);

    if (target < 0 && cl->send_external != NULL) {
        cl->send_external(cl->external_ctx, from, to, m);
        return;
    }
    send_copy(cl, from, target, m);
    if (cluster_random(cl, 1000) < cl->duplicate_permille) {
        send_copy(cl, from, target, m);
    }
}

/* Effects. */
static void
check_accepted(struct cluster *cl, const struct cluster_answer *a)
{
    uint64_t *first = &cl->request_versions[a->id];

    if (*first != 0 && *first != a->version) {
        cluster_violation(cl, "request id %llu got versions %llu and %llu",
                          (unsigned long long)a->id,
                          (unsigned long long)*first,
                          (unsigned long long)a->version);
    }
    *first = a->version;
    if (a->version > cl->confirmed_version) {
        cl->confirmed_version = a->version;
    }
}

static void
on_reply(struct cluster *cl, const struct ce_reply *r)
{
    struct cluster_answer *a = &cl->answers[r->request % CLUSTER_REQUESTS_MAX];
    uint64_t version = r->publication.kind == MSG_PUBLICATION
                           ? r->publication.u.publication.version
                           : r->version;

    a->done = true;
    a->result = r->result;
    a->version = version;
    a->resend = r->resend;
    if (r->result != CONTROL_OK) {
        return;
    }
    if (r->config != NULL) {
        if (version < a->min_version) {
            cluster_violation(cl, "a read gave %llu after %llu was confirmed",
                              (unsigned long long)version,
                              (unsigned long long)a->min_version);
        }
    }
    else if (r->publication.kind == MSG_PUBLICATION) {
        check_accepted(cl, a);
    }
}

static void
on_effect(struct cluster *cl, struct node *n, struct control_effect *f)
{
    if (control_effect_is_disk(f->kind)) {
        if (n->n_disk_work == CLUSTER_DISK_WORK_MAX) {
            abort();
        }
        if (n->n_disk_work == 0) {
            n->disk_work_due_us =
                cl->now_us + 200 + (int64_t)cluster_random(cl, 4000);
        }
        n->disk_work[n->n_disk_work++] = *f;
        memset(f, 0, sizeof(*f));
        f->kind = CE_STOPPED;
        return;
    }
    if (f->kind == CE_SEND && !n->isolated) {
        if (f->u.send.msg.kind == MSG_CONFIG_REPLY) {
            check_served(cl, n, &f->u.send.msg.u.config_reply);
        }
        send_msg(cl, n->name, f->u.send.to, &f->u.send.msg);
    }
    if (f->kind == CE_REPLY) {
        on_reply(cl, &f->u.reply);
    }
}

/* Counts a step, and crashes the node if this is the step to crash at. */
static bool
crash_if_due(struct cluster *cl, int i)
{
    cl->steps++;
    if (cl->steps != cl->crash_at_step) {
        return false;
    }
    cluster_crash(cl, i);
    return true;
}

static void
step(struct cluster *cl, int i, struct control_event *ev)
{
    struct node *n = &cl->nodes[i];
    struct control_effects fx = {0};

    if (n->control == NULL || n->paused || crash_if_due(cl, i)) {
        return;
    }
    ev->now.mono_us = cl->now_us;
    ev->now.wall_us = cl->now_us;
    control_step(n->control, ev, &fx);
    check_node(cl, n);
    for (size_t e = 0; e < fx.n; e++) {
        on_effect(cl, n, &fx.items[e]);
    }
    control_effects_free(&fx);
}

static int64_t
disk_due_us(const struct node *n)
{
    return n->disk_work_due_us > n->disk_stalled_until_us
               ? n->disk_work_due_us
               : n->disk_stalled_until_us;
}

/* The disk thread of a node: carries out one effect. */
static void
run_disk_operation(struct cluster *cl, int i)
{
    struct node *n = &cl->nodes[i];
    struct control_effect f = n->disk_work[0];
    struct control_event ev = {.kind = CEV_SAVED};
    enum storage_error err;

    if (crash_if_due(cl, i)) {
        return;
    }
    n->n_disk_work--;
    memmove(n->disk_work, n->disk_work + 1,
            n->n_disk_work * sizeof(n->disk_work[0]));
    err = f.kind == CE_SYNC ? storage_sync(n->storage)
                            : control_disk_write(n->storage, &f);
    ev.u.saved.seq = f.u.sync.seq;
    n->disk_work_due_us =
        cl->now_us +
        (n->disk_work[0].kind == CE_SYNC
             ? 500 + (int64_t)cluster_random(cl, (uint64_t)cl->max_sync_us)
             : 50);
    if (err != STORAGE_OK) {
        cluster_crash(cl, i); /* as the real process does on disk errors */
    }
    else if (f.kind == CE_SYNC) {
        step(cl, i, &ev);
    }
    control_effect_clear(&f);
}

void
cluster_crash(struct cluster *cl, int i)
{
    struct node *n = &cl->nodes[i];

    control_free(n->control);
    n->control = NULL;
    storage_close(n->storage);
    n->storage = NULL;
    for (size_t w = 0; w < n->n_disk_work; w++) {
        control_effect_clear(&n->disk_work[w]);
    }
    n->n_disk_work = 0;
    fault_disk_crash(n->disk, cluster_random(cl, 1000000));
}

void
cluster_start(struct cluster *cl, int i)
{
    struct node *n = &cl->nodes[i];
    struct storage_options o = disk_options(cl, i);
    struct control_options co = cl->options;
    struct control_event ev = {.kind = CEV_TICK};
    struct storage_contents found;
    char detail[DETAIL_SIZE];

    if (n->control != NULL) {
        return;
    }
    if (storage_open(&o, &n->storage, &found, detail) != STORAGE_OK) {
        cluster_violation(cl, "%s does not start: %s", n->name.s, detail);
        return;
    }
    co.self = n->name;
    co.disk = found.disk_id;
    co.seed = cluster_random(cl, UINT64_MAX);
    n->control = control_new(&co, &found);
    storage_contents_free(&found);
    if (n->control == NULL) {
        cluster_violation(cl, "%s cannot read its snapshot", n->name.s);
        return;
    }
    step(cl, i, &ev);
}

void
cluster_stall(struct cluster *cl, int i, int64_t us)
{
    cl->nodes[i].disk_stalled_until_us = cl->now_us + us;
}

void
cluster_wipe(struct cluster *cl, int i)
{
    fault_disk_wipe(cl->nodes[i].disk);
    cl->nodes[i].disk_identity = cluster_random(cl, UINT64_MAX) | 1;
    cl->nodes[i].served_version = 0;
}

void
cluster_recover(struct cluster *cl, int i)
{
    struct storage_options o = disk_options(cl, i);
    struct rec_control_member self = {
        .name = cl->nodes[i].name,
        .address = address_of("127.0.0.1:1"),
        .http = address_of("127.0.0.1:2"),
    };
    struct control_recovery r = {0};
    struct storage *s = NULL;
    struct storage_contents found;
    char detail[DETAIL_SIZE];

    if (storage_open(&o, &s, &found, detail) != STORAGE_OK ||
        !control_recover(&found, &self, 1, &r) ||
        storage_save_vote(s, r.term, name_of("")) != STORAGE_OK ||
        storage_save_snapshot(s, r.index, r.term, r.state, true) !=
            STORAGE_OK) {
        cluster_violation(cl, "%s cannot be recovered", cl->nodes[i].name.s);
    }
    blob_unref(r.state);
    storage_contents_free(&found);
    storage_close(s);
}

static struct blob *
founding_state(const struct cluster *cl)
{
    struct rec_control_member members[CLUSTER_NODES_MAX] = {0};
    struct rec_membership m = {members, (size_t)cl->n};

    for (int i = 0; i < cl->n; i++) {
        members[i].name = node_name(i);
        members[i].address = address_of("127.0.0.1:1");
        members[i].http = address_of("127.0.0.1:2");
        members[i].voter = 1;
        members[i].disk =
            control_founding_disk(name_of(REGION), members[i].name);
    }
    return control_founding_state(&m);
}

static void
format_disk(struct cluster *cl, int i)
{
    struct blob *state = founding_state(cl);
    struct storage_options o;
    char detail[DETAIL_SIZE];

    cl->nodes[i].disk_identity =
        control_founding_disk(name_of(REGION), node_name(i));
    o = disk_options(cl, i);
    if (storage_format(&o, CONTROL_FOUNDING_INDEX, CONTROL_FOUNDING_TERM,
                       state, detail) != STORAGE_OK) {
        abort();
    }
    blob_unref(state);
}

void
cluster_bootstrap_again(struct cluster *cl, int i)
{
    cluster_wipe(cl, i);
    format_disk(cl, i);
}

/* Time. */
static size_t
find_next_message(const struct cluster *cl)
{
    size_t best = 0;

    for (size_t i = 1; i < cl->n_in_flight; i++) {
        if (cl->in_flight[i].due_us < cl->in_flight[best].due_us ||
            (cl->in_flight[i].due_us == cl->in_flight[best].due_us &&
             cl->in_flight[i].order < cl->in_flight[best].order)) {
            best = i;
        }
    }
    return best;
}

static void
deliver(struct cluster *cl, size_t at)
{
    struct in_flight_msg f = cl->in_flight[at];
    struct control_event ev = {.kind = CEV_MESSAGE};

    if (f.to >= 0 && cl->nodes[f.to].paused) {
        /* The message waits in the socket buffer. */
        cl->in_flight[at].due_us += 50 * USEC_PER_MSEC;
        return;
    }
    cl->in_flight[at] = cl->in_flight[--cl->n_in_flight];
    ev.u.message.from = f.from;
    ev.u.message.msg = &f.msg;
    if (f.to < 0) {
        if (f.msg.kind == MSG_CONFIG_REPLY) {
            follower_receive(cl, &f.msg.u.config_reply);
        }
    }
    else if (!cl->nodes[f.to].isolated &&
             cl->nodes[f.to].drops_from != node_number(cl, f.from)) {
        step(cl, f.to, &ev);
    }
    msg_free(&f.msg);
}

static bool
run_next(struct cluster *cl, int64_t until_us)
{
    size_t flight = find_next_message(cl);
    int64_t due =
        cl->n_in_flight > 0 ? cl->in_flight[flight].due_us : INT64_MAX;
    struct control_event ev = {.kind = CEV_TICK};
    int who = -1;
    bool disk = false;

    for (int i = 0; i < cl->n; i++) {
        const struct node *n = &cl->nodes[i];

        if (n->control == NULL || n->paused) {
            continue;
        }
        if (n->n_disk_work > 0 && disk_due_us(n) < due) {
            due = disk_due_us(n);
            who = i;
            disk = true;
        }
        if (control_next_tick_us(n->control) < due) {
            due = control_next_tick_us(n->control);
            who = i;
            disk = false;
        }
    }
    if (due > until_us) {
        return false;
    }
    cl->now_us = due > cl->now_us ? due : cl->now_us;
    if (who < 0) {
        deliver(cl, flight);
    }
    else if (disk) {
        run_disk_operation(cl, who);
    }
    else {
        step(cl, who, &ev);
    }
    return true;
}

void
cluster_run(struct cluster *cl, int64_t us)
{
    int64_t until_us = cl->now_us + us;

    while (run_next(cl, until_us)) {
    }
    cl->now_us = until_us;
}

int
cluster_leader(const struct cluster *cl)
{
    uint64_t term = 0;
    int leader = -1;

    for (int i = 0; i < cl->n; i++) {
        struct control_view v;

        if (cl->nodes[i].control == NULL) {
            continue;
        }
        v = control_view(cl->nodes[i].control);
        if (v.role == CONTROL_LEADER && v.term > term && v.serving) {
            term = v.term;
            leader = i;
        }
    }
    return leader;
}

int
cluster_await_leader(struct cluster *cl)
{
    int leader = cluster_leader(cl);

    for (int i = 0; leader < 0 && i < 600; i++) {
        cluster_run(cl, 100 * USEC_PER_MSEC);
        leader = cluster_leader(cl);
    }
    if (leader < 0) {
        cluster_violation(cl, "no leader in a minute");
        leader = 0;
    }
    return leader;
}

/* Requests. */
static struct cluster_answer *
new_request(struct cluster *cl, uint64_t r)
{
    struct cluster_answer *a = &cl->answers[r];

    memset(a, 0, sizeof(*a));
    a->min_version = cl->confirmed_version;
    return a;
}

/* A text of fixed length; the position of the change depends on @id. */
static struct blob *
text_of(uint64_t id)
{
    char text[600];
    char change[32];
    int n = snprintf(change, sizeof(change), "change %llu",
                     (unsigned long long)id);

    memset(text, 'x', sizeof(text));
    memcpy(text + id * 7 % 500, change, (size_t)n);
    return blob_new(text, sizeof(text));
}

static void
publish(struct cluster *cl, int i, uint64_t id, struct cev_publish p)
{
    struct control_event ev = {.kind = CEV_PUBLISH};
    char id_text[24];

    (void)snprintf(id_text, sizeof(id_text), "r%llu", (unsigned long long)id);
    new_request(cl, p.request)->id = id;
    p.publisher = name_of("alice");
    p.request_id = id_text;
    p.summary = "a change";
    ev.u.publish = p;
    step(cl, i, &ev);
}

void
cluster_publish(struct cluster *cl, int i, uint64_t r, uint64_t base,
                uint64_t id)
{
    struct cev_publish p = {
        .request = r, .base_version = base, .config = text_of(id)};

    publish(cl, i, id, p);
    blob_unref(p.config);
}

void
cluster_publish_ranked(struct cluster *cl, int i, uint64_t r, uint64_t rank,
                       struct blob *text)
{
    struct cev_publish p = {.request = r, .rank = rank, .config = text};

    publish(cl, i, r, p);
}

void
cluster_read(struct cluster *cl, int i, uint64_t r)
{
    struct control_event ev = {.kind = CEV_READ};

    (void)new_request(cl, r);
    ev.u.read.request = r;
    ev.u.read.kind = READ_CONFIG;
    step(cl, i, &ev);
}

void
cluster_evacuate(struct cluster *cl, int i, uint64_t r, const char *zone,
                 bool evacuate)
{
    struct control_event ev = {.kind = CEV_EVACUATE};

    (void)new_request(cl, r);
    ev.u.evacuate.request = r;
    ev.u.evacuate.publisher = name_of("alice");
    ev.u.evacuate.zone = name_of(zone);
    ev.u.evacuate.evacuate = evacuate;
    step(cl, i, &ev);
}

void
cluster_change(struct cluster *cl, int i, uint64_t r,
               enum change_action action, int member)
{
    struct control_event ev = {.kind = CEV_CHANGE};

    (void)new_request(cl, r);
    ev.u.change.request = r;
    ev.u.change.action = action;
    ev.u.change.member = node_name(member);
    ev.u.change.address = address_of("127.0.0.1:1");
    ev.u.change.http = address_of("127.0.0.1:2");
    step(cl, i, &ev);
}

void
cluster_stop(struct cluster *cl, int i)
{
    struct control_event ev = {.kind = CEV_STOP};

    step(cl, i, &ev);
}

void
cluster_inject(struct cluster *cl, const char *from, int i,
               const struct msg *m)
{
    struct control_event ev = {.kind = CEV_MESSAGE};

    ev.u.message.from = name_of(from);
    ev.u.message.msg = m;
    step(cl, i, &ev);
}

void
cluster_reset_follower(struct cluster *cl)
{
    blob_unref(cl->follower_text);
    cl->follower_text = NULL;
    cl->follower_version = 0;
}

void
cluster_follower_poll(struct cluster *cl, int i)
{
    struct msg m = {.kind = MSG_CONFIG_REQUEST};

    m.u.config_request.have_version = cl->follower_version;
    m.u.config_request.known_version = cl->follower_version;
    m.u.config_request.incarnation = 1;
    m.u.config_request.zone = name_of("sk-east-a");
    m.u.config_request.has_text = cl->follower_text != NULL;
    if (!cl->nodes[i].isolated) {
        send_msg(cl, name_of(FOLLOWER), cl->nodes[i].name, &m);
    }
}

/* Construction. */
struct cluster *
cluster_new(int n, uint64_t seed, const bool *breaks)
{
    struct cluster *cl = calloc(1, sizeof(*cl));

    if (cl == NULL) {
        abort();
    }
    cl->n = n;
    cl->random = seed;
    cl->now_us = USEC_PER_SEC;
    cl->max_delay_us = 2 * USEC_PER_MSEC;
    cl->max_sync_us = 8 * USEC_PER_MSEC;
    cl->options = control_options_default();
    cl->options.snapshot_entries = 20;
    cl->options.log_tail_entries = 5;
    cl->options.snapshot_chunk_bytes = 700;
    if (breaks != NULL) {
        memcpy(cl->options.breaks, breaks, sizeof(cl->options.breaks));
    }
    cl->options.n_configured = (size_t)n;
    for (int i = 0; i < n; i++) {
        cl->options.configured[i] = node_name(i);
    }
    for (int i = 0; i < n; i++) {
        cl->nodes[i].name = node_name(i);
        cl->nodes[i].drops_from = CLUSTER_NODES_MAX;
        cl->nodes[i].disk = fault_disk_new();
        format_disk(cl, i);
        cluster_start(cl, i);
    }
    return cl;
}

void
cluster_free(struct cluster *cl)
{
    for (int i = 0; i < cl->n; i++) {
        cluster_crash(cl, i);
        fault_disk_free(cl->nodes[i].disk);
    }
    for (size_t i = 0; i < cl->n_in_flight; i++) {
        msg_free(&cl->in_flight[i].msg);
    }
    blob_unref(cl->follower_text);
    free(cl);
}
