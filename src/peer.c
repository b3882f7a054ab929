#include "peer.h"

#include <errno.h>
#include <inttypes.h>
#include <pthread.h>
#include <stdlib.h>
#include <string.h>
#include <sys/epoll.h>
#include <sys/socket.h>
#include <unistd.h>

#include "conn.h"
#include "log.h"
#include "mailbox.h"
#include "map.h"
#include "stats.h"

enum {
    RING_ROOM = 4,             /* unused: messages are posted */
    EVENTS_MAX = 256,          /* more connections than that are rare */
    HELLO_MAX = 1024,          /* bytes of a frame from somebody unknown */
    STRANGERS_MAX = 64,        /* accepted connections beyond two a remote */
    READS_MAX = 16,            /* of one connection in a row */
    TIMER_US = 20 * 1000,      /* least time between looks at the timers */
    TIMER_MAX_US = 250 * 1000, /* longest, where there are many */
    INTERVAL_US = 1000 * 1000, /* between changes of the idle interval */
    BACKOFF_MIN_US = 50 * 1000,
    SILENCE_MAX_US = 60 * 1000 * 1000,
    /* The kernel sends a lost SYN again after a second.  Where the remote's
     * machine comes up meanwhile, a fresh dial reaches it at once; the next
     * one waits longer, for remotes that are far away. */
    DIAL_MIN_US = 80 * 1000,
};
/* Each dial without any answer waits that much longer than the one before. */
static const double DIAL_GROWTH = 1.5;

/* A process that may speak. */
struct remote {
    struct name name; /* first: looked up by it */
    struct netaddr address;
    bool has_address;
    struct conn *dialed;
    struct conn *accepted;
    struct conn *via; /* that messages were last sent on; may be NULL */
    int64_t dial_due_us;
    int64_t backoff_us;
    int64_t dial_us; /* the next dial waits so long for the other kernel */
    bool told_lost;  /* that it can't be reached is in the log */
    bool up;
    TAILQ_ENTRY(remote) link;
};

/* A message on its way to the thread, or a new remote. */
struct outgoing {
    struct mail mail;
    struct name to;
    struct msg msg;
    enum { OUT_MESSAGE, OUT_ADD, OUT_FORGET } what;
    struct address address; /* of OUT_ADD */
};

struct peer {
    struct peer_options opts;
    struct mailbox mailbox;
    pthread_t thread;
    atomic_bool stop;
    int epoll;
    int listener; /* -1 for none */
    bool listening;
    TAILQ_HEAD(remote_list, remote) remotes;
    size_t n_remotes;
    struct map by_name;
    TAILQ_HEAD(conn_list, conn) conns;
    size_t n_conns;
    struct conn_list closed;
    int64_t now_us;
    int64_t timers_due_us;
    int64_t idle_us; /* interval for idle connections; 0: not in use */
    int64_t interval_due_us;
    uint64_t random;
};

struct peer_options
peer_options_default(void)
{
    return (struct peer_options){
        .heartbeat_us = 500 * USEC_PER_MSEC,
        .send_max = (size_t)32 << 20,
        .frame_max = WIRE_FRAME_MAX,
        .backoff_max_us = 2 * USEC_PER_SEC,
    };
}

/* xorshift64: jitter needs no better one. */
static uint64_t
next_random(struct peer *p)
{
    p->random ^= p->random << 13;
    p->random ^= p->random >> 7;
    p->random ^= p->random << 17;
    return p->random;
}

static const char *
conn_name(const struct conn *c)
{
    return c->remote != NULL ? c->remote->name.s : "unknown";
}

static struct conn *
remote_conn(const struct remote *r)
{
    if (r->dialed != NULL && r->dialed->state == CONN_OPEN) {
        return r->dialed;
    }
    if (r->accepted != NULL && r->accepted->state == CONN_OPEN) {
        return r->accepted;
    }
    return NULL;
}

/* Whether idle connections carry fewer heartbeats now. */
static bool
is_crowded(const struct peer *p)
{
    return p->idle_us > p->opts.heartbeat_us;
}

/* Where both ends dialed, both use the connection that the one with the
 * smaller name dialed, so that the other one stays idle.  It changes only
 * while the one in use is idle, so that no message overtakes an earlier one of
 * the same work. */
static struct conn *
sending_conn(const struct peer *p, struct remote *r)
{
    struct conn *any = remote_conn(r);
    struct conn *other = r->accepted;

    if (any == NULL || !is_crowded(p)) {
        r->via = any;
        return any;
    }
    if (r->via == NULL) {
        r->via = any;
    }
    if (heartbeat_idle(&r->via->beat, p->now_us)) {
        bool both = any == r->dialed && other != NULL &&
                    other->state == CONN_OPEN && other->beat.their_idle_us > 0;

        r->via = both && strcmp(p->opts.self.s, r->name.s) > 0 ? other : any;
    }
    return r->via;
}

static void
remote_changed(struct peer *p, struct remote *r)
{
    bool up = remote_conn(r) != NULL;

    if (up != r->up) {
        r->up = up;
        p->opts.on_peer(p->opts.ctx, r->name, up);
    }
}

/* Something is due at that time. */
static void
look_by(struct peer *p, int64_t at_us)
{
    p->timers_due_us = at_us < p->timers_due_us ? at_us : p->timers_due_us;
}

/* Half to one and a half times the backoff: without jitter, all instances
 * would dial a restarted one in step. */
static void
dial_later(struct peer *p, struct remote *r)
{
    r->dial_due_us = p->now_us + r->backoff_us / 2 +
                     (int64_t)(next_random(p) % (uint64_t)(r->backoff_us + 1));
    r->backoff_us = 2 * r->backoff_us;
    if (r->backoff_us > p->opts.backoff_max_us) {
        r->backoff_us = p->opts.backoff_max_us;
    }
    look_by(p, r->dial_due_us);
}

static void
watch(struct peer *p, struct conn *c, bool out)
{
    struct epoll_event e = {.events = EPOLLIN | (out ? EPOLLOUT : 0),
                            .data.ptr = c};

    c->want_out = out;
    (void)epoll_ctl(p->epoll, EPOLL_CTL_MOD, c->fd, &e);
}

static bool
conn_add(struct peer *p, struct conn *c, enum conn_state state)
{
    struct epoll_event e = {.events = EPOLLIN, .data.ptr = c};

    if (state == CONN_DIALING) {
        e.events |= EPOLLOUT;
        c->want_out = true;
    }
    if (epoll_ctl(p->epoll, EPOLL_CTL_ADD, c->fd, &e) != 0) {
        conn_free(c);
        return false;
    }
    c->state = state;
    c->last_in_us = p->now_us;
    c->last_out_us = p->now_us;
    c->silence_us = HEARTBEAT_SILENT * p->opts.heartbeat_us;
    TAILQ_INSERT_TAIL(&p->conns, c, link);
    p->n_conns++;
    look_by(p, p->now_us + TIMER_US);
    return true;
}

/* What was under way on a closed connection is lost, also where another one
 * with the same remote is left. */
static void
tell_gap(struct peer *p, struct remote *r)
{
    if (p->opts.tell_gaps && r->up) {
        p->opts.on_peer(p->opts.ctx, r->name, false);
        p->opts.on_peer(p->opts.ctx, r->name, true);
    }
}

/* Events of this round may still point to it: freed at the round's end. */
static void
conn_close(struct peer *p, struct conn *c, int severity, const char *why)
{
    struct remote *r = c->remote;
    bool was_open = c->state == CONN_OPEN;

    if (c->state == CONN_CLOSED) {
        return;
    }
    if (!was_open && r != NULL) {
        /* Its loss was told; that it still can't be reached is no news. */
        severity = r->told_lost ? LOG_DEBUG : severity;
        r->told_lost = true;
    }
    log_event(severity, "peer-closed", conn_name(c), "%s connection: %s",
              c->dialed ? "dialed" : "accepted", why);
    c->state = CONN_CLOSED;
    (void)epoll_ctl(p->epoll, EPOLL_CTL_DEL, c->fd, NULL);
    (void)shutdown(c->fd, SHUT_RDWR);
    TAILQ_REMOVE(&p->conns, c, link);
    p->n_conns--;
    TAILQ_INSERT_TAIL(&p->closed, c, link);
    if (r == NULL) {
        return;
    }
    if (r->dialed == c) {
        r->dialed = NULL;
        dial_later(p, r);
    }
    if (r->accepted == c) {
        r->accepted = NULL;
    }
    if (r->via == c) {
        r->via = NULL;
    }
    remote_changed(p, r);
    if (was_open) {
        tell_gap(p, r);
    }
}

static void
conn_flush(struct peer *p, struct conn *c)
{
    ssize_t n;
    bool left;

    c->unsent = false;
    if (c->state == CONN_CLOSED || c->state == CONN_DIALING) {
        return;
    }
    n = conn_write(c);
    if (n < 0) {
        conn_close(p, c, LOG_INFO, strerror(errno));
        return;
    }
    stats_add(&stats.peer_bytes_out, (uint64_t)n);
    left = bytes_size(&c->out) > 0;
    if (left != c->want_out) {
        watch(p, c, left);
    }
}

static enum wire_error
put_message(struct peer *p, struct conn *c, const struct msg *m)
{
    size_t before = bytes_size(&c->out);
    enum wire_error err = frame_put(&c->out, m);

    if (err == WIRE_OK) {
        stats_count_sent(m->kind, bytes_size(&c->out) - before);
        c->last_out_us = p->now_us;
    }
    return err;
}

static void
put_heartbeat(struct peer *p, struct conn *c)
{
    frame_put_empty(&c->out);
    stats_count_sent(MSG_HEARTBEAT, FRAME_HEAD);
    c->last_out_us = p->now_us;
}

/* A frame may be due at once on a connection that was idle. */
static void
note_use(struct peer *p, struct conn *c)
{
    if (heartbeat_use(&c->beat, p->now_us) && is_crowded(p)) {
        look_by(p, p->now_us);
    }
}

static void
announce_interval(struct peer *p, struct conn *c)
{
    struct msg m = {.kind = MSG_HEARTBEAT_INTERVAL};

    if (p->idle_us == 0 || c->beat.announced_us == p->idle_us) {
        return;
    }
    m.u.heartbeat_interval.idle_us = (uint64_t)p->idle_us;
    (void)put_message(p, c, &m);
    c->beat.announced_us = p->idle_us;
    conn_flush(p, c);
}

static void
on_interval(struct peer *p, struct conn *c, struct msg *m)
{
    uint64_t us = m->u.heartbeat_interval.idle_us;
    bool first = c->beat.their_idle_us == 0;

    c->beat.their_idle_us =
        us > 0 && us < SILENCE_MAX_US ? (int64_t)us : SILENCE_MAX_US;
    if (first && p->opts.idle_heartbeats) {
        p->opts.on_message(p->opts.ctx, c->remote->name, m);
    }
}

static void
conn_hello(struct peer *p, struct conn *c)
{
    struct msg hello = {.kind = MSG_HELLO};

    hello.u.hello.sender = p->opts.self;
    hello.u.hello.incarnation = p->opts.incarnation;
    hello.u.hello.heartbeat_us = (uint64_t)p->opts.heartbeat_us;
    (void)put_message(p, c, &hello);
    conn_flush(p, c);
}

static void
dial(struct peer *p, struct remote *r)
{
    struct conn *c = conn_dial(&r->address);

    if (c == NULL) {
        dial_later(p, r);
        return;
    }
    c->dialed = true;
    c->remote = r;
    if (!conn_add(p, c, CONN_DIALING)) {
        dial_later(p, r);
        return;
    }
    c->silence_us =
        r->dial_us < p->opts.heartbeat_us ? r->dial_us : p->opts.heartbeat_us;
    r->dialed = c;
}

static void
on_dialed(struct peer *p, struct conn *c)
{
    int err = conn_dialed_error(c);

    if (err != 0) {
        conn_close(p, c, LOG_INFO, strerror(err));
        return;
    }
    c->state = CONN_GREETING;
    c->last_in_us = p->now_us;
    c->silence_us = HEARTBEAT_SILENT * p->opts.heartbeat_us;
    c->remote->dial_us = DIAL_MIN_US;
    stats_add(&stats.peer_connects, 1);
    watch(p, c, false);
    conn_hello(p, c);
}

static void
set_listening(struct peer *p, bool on)
{
    struct epoll_event e = {.events = EPOLLIN, .data.ptr = NULL};

    if (p->listener < 0 || p->listening == on) {
        return;
    }
    p->listening = on;
    (void)epoll_ctl(p->epoll, on ? EPOLL_CTL_ADD : EPOLL_CTL_DEL, p->listener,
                    &e);
}

static void
on_listener(struct peer *p)
{
    struct conn *c = conn_accept(p->listener);

    if (c == NULL) {
        /* Out of descriptors, the listener would stay readable and this
         * thread would spin; the timer tries again. */
        set_listening(p, errno == EAGAIN || errno == ECONNABORTED ||
                             errno == EINTR);
        look_by(p, p->now_us + TIMER_US);
        return;
    }
    stats_add(&stats.peer_accepts, 1);
    if (p->n_conns >= 2 * p->n_remotes + STRANGERS_MAX) {
        stats_add(&stats.peer_refused, 1);
        conn_free(c);
        return;
    }
    (void)conn_add(p, c, CONN_GREETING);
}

static void
set_silence(struct peer *p, struct conn *c, uint64_t their_us)
{
    int64_t us = p->opts.heartbeat_us;

    if (their_us <= SILENCE_MAX_US && (int64_t)their_us > us) {
        us = (int64_t)their_us;
    }
    c->beat =
        heartbeat_open(p->opts.heartbeat_us, HEARTBEAT_SILENT * us, p->now_us);
}

/* A remote that restarted behind a cut dials again while its old connection
 * looks open here: the newest one is the one that works. */
static void
accepted_open(struct peer *p, struct conn *c, struct remote *r)
{
    struct conn *old = r->accepted;

    c->remote = r;
    r->accepted = c;
    if (old != NULL) {
        r->via = r->via == old ? NULL : r->via;
        old->remote = NULL;
        conn_close(p, old, LOG_INFO, "replaced by a newer one");
        tell_gap(p, r);
    }
    conn_hello(p, c);
}

static struct remote *
add_remote(struct peer *p, const struct peer_remote *from)
{
    struct remote *r = calloc(1, sizeof(*r));

    if (r == NULL) {
        return NULL;
    }
    r->name = from->name;
    r->backoff_us = BACKOFF_MIN_US;
    r->dial_us = DIAL_MIN_US;
    r->has_address = from->address.s[0] != '\0';
    if (r->has_address && !netaddr_parse(from->address.s, &r->address)) {
        free(r);
        return NULL;
    }
    map_put(&p->by_name, r);
    TAILQ_INSERT_TAIL(&p->remotes, r, link);
    p->n_remotes++;
    look_by(p, p->now_us + TIMER_US);
    return r;
}

static struct remote *
remote_of(struct peer *p, const struct rec_hello *hello)
{
    struct remote *r = map_get(&p->by_name, &hello->sender);
    struct peer_remote stranger = {.name = hello->sender};

    if (r == NULL && p->opts.open && p->n_remotes < PEER_REMOTES_MAX &&
        !name_equal(hello->sender, p->opts.self)) {
        r = add_remote(p, &stranger);
    }
    return r;
}

static void
on_hello(struct peer *p, struct conn *c, const struct rec_hello *hello)
{
    struct remote *r = remote_of(p, hello);

    if (r == NULL || (c->dialed && c->remote != r)) {
        stats_add(&stats.peer_refused, 1);
        log_event(LOG_WARNING, "peer-refused", hello->sender.s,
                  "says HELLO on %s connection with %s",
                  c->dialed ? "the dialed" : "an accepted", conn_name(c));
        conn_close(p, c, LOG_DEBUG, "not the one expected");
        return;
    }
    c->state = CONN_OPEN;
    r->told_lost = false;
    set_silence(p, c, hello->heartbeat_us);
    if (c->dialed) {
        r->backoff_us = BACKOFF_MIN_US;
    }
    else {
        accepted_open(p, c, r);
    }
    log_event(LOG_INFO, "peer-open", r->name.s,
              "%s connection, incarnation %" PRIu64,
              c->dialed ? "dialed" : "accepted", hello->incarnation);
    announce_interval(p, c);
    remote_changed(p, r);
}

static void
bad_frame(struct peer *p, struct conn *c, const char *why)
{
    stats_add(&stats.peer_bad_frames, 1);
    conn_close(p, c, LOG_WARNING, why);
}

static void
on_frame(struct peer *p, struct conn *c, const char *body, size_t size)
{
    struct msg m;
    enum wire_error err;

    stats_add(&stats.peer_frames_in, 1);
    if (size == 0) {
        return;
    }
    err = wire_decode(body, size, &m);
    if (err == WIRE_UNKNOWN && c->state == CONN_OPEN) {
        stats_add(&stats.peer_bad_frames, 1); /* of a newer version */
        note_use(p, c);
        return;
    }
    if (err != WIRE_OK) {
        bad_frame(p, c, "malformed frame");
        return;
    }
    if ((m.kind == MSG_HELLO) != (c->state == CONN_GREETING)) {
        bad_frame(p, c, "HELLO missing or repeated");
        msg_free(&m);
    }
    else if (m.kind == MSG_HELLO) {
        on_hello(p, c, &m.u.hello);
    }
    else if (m.kind == MSG_HEARTBEAT_INTERVAL) {
        on_interval(p, c, &m);
    }
    else {
        if (heartbeat_is_use(m.kind)) {
            note_use(p, c);
        }
        p->opts.on_message(p->opts.ctx, c->remote->name, &m);
    }
}

static void
take_frames(struct peer *p, struct conn *c)
{
    const char *body;
    size_t size;

    while (c->state != CONN_CLOSED) {
        size_t max =
            c->state == CONN_OPEN ? p->opts.frame_max : (size_t)HELLO_MAX;
        enum frame_status status = frame_next(&c->in, max, &body, &size);

        if (status == FRAME_NONE) {
            return;
        }
        if (status == FRAME_TOO_LARGE) {
            bad_frame(p, c, "oversized frame");
            return;
        }
        on_frame(p, c, body, size);
        bytes_drop(&c->in, FRAME_HEAD + size);
    }
}

static void
on_readable(struct peer *p, struct conn *c)
{
    bool more = true;

    for (int i = 0; more && i < READS_MAX && c->state != CONN_CLOSED; i++) {
        ssize_t n = conn_read(c, &more);

        if (n == 0) {
            return;
        }
        if (n < 0) {
            conn_close(p, c, LOG_INFO, "closed by the other end");
            return;
        }
        p->now_us = clock_now(p->opts.clock).mono_us;
        c->last_in_us = p->now_us;
        stats_add(&stats.peer_bytes_in, (uint64_t)n);
        take_frames(p, c);
    }
    /* A large message takes a while on a slow link, and its sender expects
     * frames before it is whole. */
    if (c->state == CONN_OPEN && bytes_size(&c->in) > 0 &&
        heartbeat_expect_message(&c->beat, p->now_us)) {
        look_by(p, p->now_us);
    }
}

static void
on_conn(struct peer *p, struct conn *c, uint32_t events)
{
    if (c->state == CONN_DIALING) {
        on_dialed(p, c);
        return;
    }
    if ((events & EPOLLOUT) != 0) {
        conn_flush(p, c);
    }
    if ((events & (EPOLLIN | EPOLLHUP | EPOLLERR)) != 0) {
        on_readable(p, c);
    }
}

static void
send_one(struct peer *p, struct outgoing *o)
{
    struct remote *r = map_get(&p->by_name, &o->to);
    struct conn *c = r != NULL ? sending_conn(p, r) : NULL;

    if (c == NULL) {
        stats_add(&stats.peer_dropped, 1);
        return;
    }
    if (put_message(p, c, &o->msg) != WIRE_OK) {
        stats_add(&stats.peer_dropped, 1);
        log_event(LOG_ERR, "peer-unsendable", o->to.s, "%s does not fit",
                  msg_name(o->msg.kind));
        return;
    }
    stats_add(&stats.peer_frames_out, 1);
    if (heartbeat_is_use(o->msg.kind)) {
        note_use(p, c);
    }
    c->unsent = true;
    if (bytes_size(&c->out) > p->opts.send_max) {
        stats_add(&stats.peer_cut_off, 1);
        conn_close(p, c, LOG_WARNING, "does not read");
    }
}

static void
add_late(struct peer *p, const struct outgoing *o)
{
    struct peer_remote remote = {.name = o->to, .address = o->address};
    struct remote *known = map_get(&p->by_name, &o->to);

    if (name_equal(o->to, p->opts.self) ||
        (known == NULL && p->n_remotes >= PEER_REMOTES_MAX)) {
        return;
    }
    if (known != NULL) {
        /* It spoke before anybody told its address. */
        known->has_address = known->has_address ||
                             netaddr_parse(remote.address.s, &known->address);
        look_by(p, p->now_us + TIMER_US);
        return;
    }
    if (add_remote(p, &remote) == NULL) {
        log_event(LOG_WARNING, "peer-refused", o->to.s,
                  "its address is not IP:PORT: %s", o->address.s);
    }
}

static void
forget(struct peer *p, struct name name)
{
    struct remote *r = map_get(&p->by_name, &name);
    struct conn *c;
    struct conn *next;

    if (r == NULL) {
        return;
    }
    r->has_address = false;
    for (c = TAILQ_FIRST(&p->conns); c != NULL; c = next) {
        next = TAILQ_NEXT(c, link);
        if (c->remote == r) {
            conn_close(p, c, LOG_INFO, "forgotten");
            c->remote = NULL;
        }
    }
    (void)map_remove(&p->by_name, &name);
    TAILQ_REMOVE(&p->remotes, r, link);
    p->n_remotes--;
    free(r);
}

static void
carry_out(struct peer *p, struct outgoing *o)
{
    switch (o->what) {
    case OUT_ADD:
        add_late(p, o);
        break;
    case OUT_FORGET:
        forget(p, o->to);
        break;
    default:
        send_one(p, o);
        break;
    }
}

/* Returns whether there were any. */
static bool
carry_out_posted(struct peer *p)
{
    struct mail *mail;
    bool any = false;

    while ((mail = mailbox_take(&p->mailbox)) != NULL) {
        struct outgoing *o = (struct outgoing *)mail;

        carry_out(p, o);
        msg_free(&o->msg);
        free(o);
        any = true;
    }
    return any;
}

/* All that was posted is queued first and then written with one call a
 * connection.  A connection that fails meanwhile may cause further messages.
 */
static void
send_posted(struct peer *p)
{
    struct conn *c;
    struct conn *next;

    while (carry_out_posted(p)) {
        for (c = TAILQ_FIRST(&p->conns); c != NULL; c = next) {
            next = TAILQ_NEXT(c, link);
            if (c->unsent) {
                conn_flush(p, c);
            }
        }
    }
}

static void
give_up_dial(struct peer *p, struct conn *c)
{
    double longer = DIAL_GROWTH * (double)c->silence_us;

    c->remote->dial_us = (int64_t)longer;
    stats_add(&stats.peer_unanswered, 1);
    conn_close(p, c, LOG_INFO, "no answer");
}

/* The process at the other end may have stopped.  A second connection with it
 * that is idle would show that only later. */
static void
close_silent(struct peer *p, struct conn *c)
{
    struct remote *r = c->remote;
    struct conn *second = NULL;

    if (r != NULL && c->state == CONN_OPEN) {
        second = r->dialed == c ? r->accepted : r->dialed;
    }
    if (second != NULL && second->state == CONN_OPEN) {
        heartbeat_suspect(&second->beat, second->last_in_us, p->now_us);
    }
    stats_add(&stats.peer_silent, 1);
    conn_close(p, c, LOG_WARNING, "nothing came for three heartbeats");
}

static void
check_conn(struct peer *p, struct conn *c)
{
    bool open = c->state == CONN_OPEN;
    int64_t silent_us =
        open ? heartbeat_silent_us(&c->beat, c->last_in_us, p->now_us)
             : c->last_in_us + c->silence_us;

    if (p->now_us >= silent_us) {
        if (c->state == CONN_DIALING) {
            give_up_dial(p, c);
        }
        else if (conn_has_input(c)) {
            /* This process was slow, not the other end. */
            look_by(p, p->now_us);
        }
        else {
            close_silent(p, c);
        }
        return;
    }
    look_by(p, silent_us);
    if (!open) {
        return;
    }
    announce_interval(p, c);
    if (p->now_us >= heartbeat_early_us(&c->beat, c->last_out_us, p->now_us)) {
        put_heartbeat(p, c);
        conn_flush(p, c);
    }
    look_by(p, heartbeat_late_us(&c->beat, c->last_out_us, p->now_us));
}

static void
update_interval(struct peer *p)
{
    size_t open = 0;
    struct conn *c;

    if (!p->opts.idle_heartbeats || p->now_us < p->interval_due_us) {
        return;
    }
    TAILQ_FOREACH(c, &p->conns, link)
    {
        open += c->state == CONN_OPEN ? 1 : 0;
    }
    p->interval_due_us = p->now_us + INTERVAL_US;
    p->idle_us = heartbeat_interval_us(p->opts.heartbeat_us, open, p->idle_us);
}

static void
dial_remotes(struct peer *p)
{
    struct remote *r;

    TAILQ_FOREACH(r, &p->remotes, link)
    {
        if (!r->has_address || r->dialed != NULL) {
            continue;
        }
        if (p->now_us >= r->dial_due_us) {
            dial(p, r);
        }
        else {
            look_by(p, r->dial_due_us);
        }
    }
}

/* Looks every TIMER_US; where there are many connections, when one of them has
 * something due. */
static void
run_timers(struct peer *p)
{
    struct conn *c;
    struct conn *next;
    int64_t least_us = p->now_us + TIMER_US;

    if (p->now_us < p->timers_due_us) {
        return;
    }
    p->timers_due_us = p->now_us + TIMER_MAX_US;
    update_interval(p);
    for (c = TAILQ_FIRST(&p->conns); c != NULL; c = next) {
        next = TAILQ_NEXT(c, link);
        check_conn(p, c);
    }
    dial_remotes(p);
    set_listening(p, true);
    if (!is_crowded(p) || p->timers_due_us < least_us) {
        p->timers_due_us = least_us;
    }
}

static void
free_closed(struct peer *p)
{
    struct conn *c;

    while ((c = TAILQ_FIRST(&p->closed)) != NULL) {
        TAILQ_REMOVE(&p->closed, c, link);
        conn_free(c);
    }
}

static bool
has_mail(const struct peer *p, const struct epoll_event *events, int n)
{
    for (int i = 0; i < n; i++) {
        if (events[i].data.ptr == p) {
            return true;
        }
    }
    return false;
}

static int
timers_timeout_ms(const struct peer *p)
{
    int64_t left_us =
        p->timers_due_us - clock_now(p->opts.clock).mono_us + 999;

    if (!is_crowded(p)) {
        return TIMER_US / 1000;
    }
    return left_us > 0 ? (int)(left_us / 1000) : 0;
}

static int
wait_for_events(struct peer *p, struct epoll_event *events)
{
    int timeout_ms = 0;
    int n;

    if (mailbox_doze(&p->mailbox)) {
        timeout_ms = timers_timeout_ms(p);
    }
    n = epoll_wait(p->epoll, events, EVENTS_MAX, timeout_ms);
    stats_add(&stats.peer_wakeups, 1);
    mailbox_rouse(&p->mailbox, has_mail(p, events, n));
    return n;
}

static void
handle_events(struct peer *p, const struct epoll_event *events, int n)
{
    for (int i = 0; i < n; i++) {
        struct conn *c = events[i].data.ptr;

        if (c == NULL) {
            on_listener(p);
        }
        else if ((void *)c != (void *)p && c->state != CONN_CLOSED) {
            on_conn(p, c, events[i].events);
        }
    }
}

static void
run_round(struct peer *p)
{
    struct epoll_event events[EVENTS_MAX];
    int n = wait_for_events(p, events);

    p->now_us = clock_now(p->opts.clock).mono_us;
    handle_events(p, events, n);
    send_posted(p);
    run_timers(p);
    free_closed(p);
}

int
peer_fd(const struct peer *p)
{
    return p->epoll;
}

int64_t
peer_next_ms(const struct peer *p)
{
    int64_t left_us = p->timers_due_us - clock_now(p->opts.clock).mono_us;

    return left_us > 0 ? (left_us + USEC_PER_MSEC - 1) / USEC_PER_MSEC : 0;
}

void
peer_run(struct peer *p, bool readable)
{
    struct epoll_event events[EVENTS_MAX];

    p->now_us = clock_now(p->opts.clock).mono_us;
    if (readable) {
        stats_add(&stats.peer_wakeups, 1);
        handle_events(p, events, epoll_wait(p->epoll, events, EVENTS_MAX, 0));
    }
    send_posted(p);
    run_timers(p);
    free_closed(p);
}

void
peer_flush(struct peer *p)
{
    p->now_us = clock_now(p->opts.clock).mono_us;
    send_posted(p);
    free_closed(p);
}

static void *
thread_run(void *arg)
{
    struct peer *p = arg;

    p->now_us = clock_now(p->opts.clock).mono_us;
    while (!atomic_load(&p->stop)) {
        run_round(p);
    }
    send_posted(p);
    return NULL;
}

static bool
add_remotes(struct peer *p, const struct peer_options *o)
{
    for (size_t i = 0; i < o->n_remotes; i++) {
        if (name_equal(o->remotes[i].name, o->self)) {
            continue;
        }
        if (add_remote(p, &o->remotes[i]) == NULL) {
            errno = EINVAL;
            return false;
        }
    }
    return true;
}

static bool
open_sockets(struct peer *p)
{
    struct epoll_event e = {.events = EPOLLIN, .data.ptr = p};
    struct netaddr at;

    p->epoll = epoll_create1(EPOLL_CLOEXEC);
    if (p->epoll < 0 ||
        epoll_ctl(p->epoll, EPOLL_CTL_ADD, p->mailbox.fd, &e) != 0) {
        return false;
    }
    if (p->opts.listen.s[0] == '\0') {
        return true;
    }
    if (!netaddr_parse(p->opts.listen.s, &at)) {
        errno = EINVAL;
        return false;
    }
    p->listener = conn_listen(&at);
    set_listening(p, true);
    return p->listener >= 0;
}

static void
release(struct peer *p)
{
    int err = errno;
    struct remote *r;

    if (p->listener >= 0) {
        (void)close(p->listener);
    }
    if (p->epoll >= 0) {
        (void)close(p->epoll);
    }
    mailbox_destroy(&p->mailbox);
    map_clear(&p->by_name);
    while ((r = TAILQ_FIRST(&p->remotes)) != NULL) {
        TAILQ_REMOVE(&p->remotes, r, link);
        free(r);
    }
    free(p);
    errno = err;
}

struct peer *
peer_new(const struct peer_options *o)
{
    struct peer *p = calloc(1, sizeof(*p));

    if (p == NULL || mailbox_init(&p->mailbox, RING_ROOM) != 0) {
        free(p);
        return NULL;
    }
    p->opts = *o;
    p->opts.remotes = NULL;
    p->epoll = -1;
    p->listener = -1;
    p->random = o->incarnation | 1;
    p->idle_us = o->idle_heartbeats ? o->heartbeat_us : 0;
    TAILQ_INIT(&p->conns);
    TAILQ_INIT(&p->closed);
    TAILQ_INIT(&p->remotes);
    map_init(&p->by_name, MAP_NAME);
    if (!add_remotes(p, o) || !open_sockets(p)) {
        release(p);
        return NULL;
    }
    if (!p->opts.external) {
        errno = pthread_create(&p->thread, NULL, thread_run, p);
        if (errno != 0) {
            release(p);
            return NULL;
        }
    }
    return p;
}

uint16_t
peer_port(const struct peer *p)
{
    struct netaddr a = {.size = sizeof(a.sa)};

    if (getsockname(p->listener, (struct sockaddr *)&a.sa, &a.size) != 0) {
        return 0;
    }
    return netaddr_port(&a);
}

void
peer_send(struct peer *p, struct name to, struct msg *m)
{
    struct outgoing *o = calloc(1, sizeof(*o));

    if (o == NULL) {
        abort();
    }
    o->to = to;
    o->msg = *m;
    memset(m, 0, sizeof(*m));
    mailbox_post(&p->mailbox, &o->mail);
}

void
peer_add(struct peer *p, const struct peer_remote *remote)
{
    struct outgoing *o = calloc(1, sizeof(*o));

    if (o == NULL) {
        abort();
    }
    o->to = remote->name;
    o->what = OUT_ADD;
    o->address = remote->address;
    mailbox_post(&p->mailbox, &o->mail);
}

void
peer_forget(struct peer *p, struct name remote)
{
    struct outgoing *o = calloc(1, sizeof(*o));

    if (o == NULL) {
        abort();
    }
    o->to = remote;
    o->what = OUT_FORGET;
    mailbox_post(&p->mailbox, &o->mail);
}

void
peer_poke(struct peer *p)
{
    mailbox_wake(&p->mailbox);
}

void
peer_free(struct peer *p)
{
    struct conn *c;

    if (p == NULL) {
        return;
    }
    if (p->opts.external) {
        send_posted(p);
    }
    else {
        atomic_store(&p->stop, true);
        mailbox_wake(&p->mailbox);
        (void)pthread_join(p->thread, NULL);
    }
    while ((c = TAILQ_FIRST(&p->conns)) != NULL) {
        TAILQ_REMOVE(&p->conns, c, link);
        conn_free(c);
    }
    free_closed(p);
    release(p);
}
