/* Connections between processes: greeting, hostile bytes, silence. */
#include "peer.h"

#include <arpa/inet.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <sys/socket.h>
#include <unistd.h>

#include "check.h"
#include "frame.h"
#include "net.h"
#include "stats.h"

#define HEARTBEAT_US (500 * USEC_PER_MSEC)

/* One end under test, with what it told its owner. */
struct end {
    struct peer *peer;
    struct manual_clock clock;
    pthread_mutex_t lock;
    unsigned int messages;
    uint64_t last;   /* attempt in the last CLAIM */
    uint64_t wanted; /* see has_claim() */
    struct name last_from;
    int ups;
    int downs;
};

static void
on_message(void *ctx, struct name from, struct msg *m)
{
    struct end *e = ctx;

    (void)pthread_mutex_lock(&e->lock);
    e->messages++;
    e->last_from = from;
    if (m->kind == MSG_CLAIM) {
        e->last = m->u.claim.attempt;
    }
    (void)pthread_mutex_unlock(&e->lock);
    msg_free(m);
}

static void
on_peer(void *ctx, struct name remote, bool up)
{
    struct end *e = ctx;

    (void)remote;
    (void)pthread_mutex_lock(&e->lock);
    e->ups += up ? 1 : 0;
    e->downs += up ? 0 : 1;
    (void)pthread_mutex_unlock(&e->lock);
}

/* An end named @self that listens and knows one remote, dialed where @port is
 * not 0. */
static void
end_start(struct end *e, const char *self, const char *remote, uint16_t port)
{
    struct peer_options o = peer_options_default();
    struct peer_remote r = {.name = name_of(remote)};

    memset(e, 0, sizeof(*e));
    (void)pthread_mutex_init(&e->lock, NULL);
    manual_clock_init(&e->clock, (struct moment){USEC_PER_SEC, USEC_PER_SEC});
    if (port != 0) {
        (void)snprintf(r.address.s, sizeof(r.address.s), "127.0.0.1:%u", port);
    }
    o.self = name_of(self);
    o.incarnation = 3;
    o.listen = address_of("127.0.0.1:0");
    o.remotes = &r;
    o.n_remotes = 1;
    o.heartbeat_us = HEARTBEAT_US;
    o.send_max = 1 << 20;
    o.frame_max = 1 << 20;
    o.clock = &e->clock.base;
    o.on_message = on_message;
    o.on_peer = on_peer;
    o.ctx = e;
    e->peer = peer_new(&o);
    CU_ASSERT_PTR_NOT_NULL_FATAL(e->peer);
}

static void
end_stop(struct end *e)
{
    peer_free(e->peer);
    (void)pthread_mutex_destroy(&e->lock);
}

static void
end_advance(struct end *e, int64_t us)
{
    manual_clock_advance(&e->clock, us);
    peer_poke(e->peer);
}

static bool
is_up(void *ctx)
{
    struct end *e = ctx;
    bool up;

    (void)pthread_mutex_lock(&e->lock);
    up = e->ups > e->downs;
    (void)pthread_mutex_unlock(&e->lock);
    return up;
}

static bool
is_down(void *ctx)
{
    return !is_up(ctx);
}

static bool
has_message(void *ctx)
{
    struct end *e = ctx;
    bool has;

    (void)pthread_mutex_lock(&e->lock);
    has = e->messages > 0;
    (void)pthread_mutex_unlock(&e->lock);
    return has;
}

static bool
has_claim(void *ctx)
{
    struct end *e = ctx;
    bool has;

    (void)pthread_mutex_lock(&e->lock);
    has = e->last == e->wanted;
    (void)pthread_mutex_unlock(&e->lock);
    return has;
}

static void
send_claim(struct end *e, const char *to, uint64_t attempt)
{
    struct msg m = {.kind = MSG_CLAIM};

    m.u.claim.attempt = attempt;
    peer_send(e->peer, name_of(to), &m);
}

static bool
put_hello(int fd, const char *name)
{
    struct msg hello = {.kind = MSG_HELLO};
    struct bytes b = {0};
    bool sent;

    hello.u.hello.sender = name_of(name);
    (void)frame_put(&b, &hello);
    sent = net_send(fd, b.data + b.start, bytes_size(&b));
    bytes_free(&b);
    return sent;
}

static bool
put_claim(int fd, uint64_t attempt)
{
    struct msg m = {.kind = MSG_CLAIM};
    struct bytes b = {0};
    bool sent;

    m.u.claim.attempt = attempt;
    (void)frame_put(&b, &m);
    sent = net_send(fd, b.data + b.start, bytes_size(&b));
    bytes_free(&b);
    return sent;
}

static void
peers_exchange_messages(void)
{
    struct end a;
    struct end b;

    end_start(&a, "a", "b", 0);
    end_start(&b, "b", "a", peer_port(a.peer));
    CU_ASSERT(net_await(is_up, &a));
    CU_ASSERT(net_await(is_up, &b));
    send_claim(&b, "a", 41);
    CU_ASSERT(net_await(has_message, &a));
    CU_ASSERT_EQUAL(a.last, 41);
    CU_ASSERT_STRING_EQUAL(a.last_from.s, "b");
    send_claim(&a, "b", 42); /* on the connection that b opened */
    CU_ASSERT(net_await(has_message, &b));
    CU_ASSERT_EQUAL(b.last, 42);
    end_stop(&b);
    CU_ASSERT(net_await(is_down, &a));
    end_stop(&a);
}

static uint64_t
sent(enum msg_kind kind)
{
    return atomic_load(&peer_sent.messages[kind]);
}

static bool
has_sent_heartbeat(void *ctx)
{
    end_advance(ctx, HEARTBEAT_US / 4);
    return sent(MSG_HEARTBEAT) > 0;
}

/* Guards against a kind of message, or the heartbeats, that takes most of the
 * processor time without being seen on the metrics. */
static void
peer_counts_messages_by_kind(void)
{
    struct end a;
    struct end b;
    uint64_t claims = sent(MSG_CLAIM);
    uint64_t bytes = atomic_load(&peer_sent.bytes[MSG_CLAIM]);
    char *text = NULL;
    size_t size;
    FILE *out = open_memstream(&text, &size);

    end_start(&a, "a", "b", 0);
    end_start(&b, "b", "a", peer_port(a.peer));
    CU_ASSERT(net_await(is_up, &b));
    send_claim(&b, "a", 41);
    CU_ASSERT(net_await(has_message, &a));
    CU_ASSERT(net_await(has_sent_heartbeat, &b));
    CU_ASSERT_EQUAL(sent(MSG_CLAIM), claims + 1);
    CU_ASSERT_TRUE(atomic_load(&peer_sent.bytes[MSG_CLAIM]) >
                   bytes + FRAME_HEAD);
    stats_print(out);
    (void)fclose(out);
    CU_ASSERT_PTR_NOT_NULL(strstr(
        text, "\nboragemoor_peer_sent_messages_total{kind=\"claim\"} "));
    CU_ASSERT_PTR_NOT_NULL(strstr(
        text, "\nboragemoor_peer_sent_bytes_total{kind=\"heartbeat\"} "));
    free(text);
    end_stop(&b);
    end_stop(&a);
}

/* Somebody who is no peer connects, or a peer of another make, or a port
 * scanner.  Each must be shown the door, and the process must go on serving
 * its peers. */
static void
peer_refuses_hostile_bytes(void)
{
    /* A known message with one field more than this build knows. */
    static const char longer[] = {
        0, 0, 0, 5, '\x92', MSG_HEARTBEAT_INTERVAL, '\x92', 1, 2};
    static const struct {
        const char *bytes;
        size_t size;
        const char *hello; /* said before */
    } cases[] = {
        {"\xff\xff\xff\xff", 4, NULL},
        {"\x00\x00\x08\x00", 4, NULL}, /* too long for a stranger */
        {"\x00\x00\x00\x01\xc1", 5, NULL},
        {"\x00\x00\x00\x02\x92\x00", 6, NULL},
        {"GET / HTTP/1.1\r\n\r\n", 18, NULL},
        {"", 0, "nobody"},
        {"", 0, "a"}, /* this end's own name */
        {"\x7f\xff\xff\xff", 4, "b"},
        {"\x00\x00\x00\x01\xc1", 5, "b"},
        {"\x00\x00\x00\x05\xdd\xff\xff\xff\xff", 9, "b"},
        {"\x00\x00\x00\x03\x92\x00\x91", 7, "b"},
        {longer, sizeof(longer), "b"},
    };
    struct end a;
    int fd;

    end_start(&a, "a", "b", 0);
    for (size_t i = 0; i < sizeof(cases) / sizeof(cases[0]); i++) {
        fd = net_connect(peer_port(a.peer));
        if (cases[i].hello != NULL) {
            (void)put_hello(fd, cases[i].hello);
        }
        (void)net_send(fd, cases[i].bytes, cases[i].size);
        CU_ASSERT(net_closed(fd));
        (void)close(fd);
    }
    fd = net_connect(peer_port(a.peer));
    (void)put_claim(fd, 1); /* before HELLO */
    CU_ASSERT(net_closed(fd));
    (void)close(fd);
    CU_ASSERT_EQUAL(a.messages, 0);
    fd = net_connect(peer_port(a.peer));
    (void)put_hello(fd, "b");
    (void)put_claim(fd, 7);
    CU_ASSERT(net_await(has_message, &a));
    CU_ASSERT_EQUAL(a.last, 7);
    (void)close(fd);
    end_stop(&a);
}

/* Guards an upgrade in which a newer build sends message kinds that this one
 * does not know: a closed connection would lose the jobs of both ends. */
static void
peer_ignores_unknown_kinds(void)
{
    static const char unknown[] = {0, 0, 0, 4, '\x92', MSG_KINDS, '\x91', 5};
    struct end a;
    int fd;

    end_start(&a, "a", "b", 0);
    fd = net_connect(peer_port(a.peer));
    (void)put_hello(fd, "b");
    (void)net_send(fd, unknown, sizeof(unknown));
    (void)put_claim(fd, 7);
    CU_ASSERT(net_await(has_message, &a));
    CU_ASSERT_EQUAL(a.messages, 1);
    CU_ASSERT_EQUAL(a.last, 7);
    CU_ASSERT_EQUAL(a.downs, 0);
    (void)close(fd);
    end_stop(&a);
}

/* A frame arrives byte by byte, as over a bad link. */
static void
peer_joins_split_frames(void)
{
    struct msg m = {.kind = MSG_CLAIM};
    struct bytes b = {0};
    struct end a;
    int fd;

    end_start(&a, "a", "b", 0);
    fd = net_connect(peer_port(a.peer));
    (void)put_hello(fd, "b");
    m.u.claim.attempt = 9;
    (void)frame_put(&b, &m);
    for (size_t i = b.start; i < b.end; i++) {
        (void)net_send(fd, b.data + i, 1);
    }
    CU_ASSERT(net_await(has_message, &a));
    CU_ASSERT_EQUAL(a.last, 9);
    bytes_free(&b);
    (void)close(fd);
    end_stop(&a);
}

/* A firewall forgets the connection between two instances: neither sees it
 * close, and what they send goes nowhere.  Unless the silence is noticed, the
 * instances never hear of each other again while a new connection would
 * work. */
static void
peer_redials_silent_connection(void)
{
    struct end a;
    uint16_t port;
    int listener = net_listen(&port);
    int fd;
    int again;

    end_start(&a, "a", "b", port);
    fd = net_accept(listener);
    (void)put_hello(fd, "b");
    CU_ASSERT(net_await(is_up, &a));
    for (uint64_t i = 1; i <= 3; i++) { /* not silent yet */
        end_advance(&a, 2 * HEARTBEAT_US);
        (void)put_claim(fd, i);
        a.wanted = i;
        CU_ASSERT(net_await(has_claim, &a));
        CU_ASSERT(is_up(&a));
    }
    end_advance(&a, 4 * HEARTBEAT_US);
    CU_ASSERT(net_await(is_down, &a));
    CU_ASSERT(net_closed(fd));
    end_advance(&a, 10 * USEC_PER_SEC); /* past any backoff */
    again = net_accept(listener);
    CU_ASSERT(again >= 0);
    (void)put_hello(again, "b");
    CU_ASSERT(net_await(is_up, &a));
    (void)close(fd);
    (void)close(again);
    (void)close(listener);
    end_stop(&a);
}

static bool
was_cut_off(void *ctx)
{
    struct end *e = ctx;

    send_claim(e, "b", 1);
    return atomic_load(&stats.peer_cut_off) > 0;
}

/* A paused process keeps its connection open and reads nothing.  What waits
 * for it must not grow until the sender runs out of memory. */
static void
peer_cuts_off_who_does_not_read(void)
{
    struct end a;
    int fd;

    atomic_store(&stats.peer_cut_off, 0);
    end_start(&a, "a", "b", 0);
    fd = net_connect(peer_port(a.peer));
    (void)put_hello(fd, "b");
    CU_ASSERT(net_await(is_up, &a));
    for (int i = 0; i < 200000; i++) {
        send_claim(&a, "b", 1);
    }
    CU_ASSERT(net_await(was_cut_off, &a));
    CU_ASSERT(net_await(is_down, &a));
    (void)close(fd);
    end_stop(&a);
}

/* The settings give an instance's address to another one.  Its messages must
 * not be taken for those of the instance that was meant. */
static void
peer_refuses_wrong_name_at_address(void)
{
    struct end a;
    uint16_t port;
    int listener = net_listen(&port);
    int fd;

    end_start(&a, "a", "b", port);
    fd = net_accept(listener);
    (void)put_hello(fd, "c");
    (void)put_claim(fd, 1);
    CU_ASSERT(net_closed(fd));
    CU_ASSERT_EQUAL(a.messages, 0);
    CU_ASSERT_EQUAL(a.ups, 0);
    (void)close(fd);
    (void)close(listener);
    end_stop(&a);
}

/* A remote restarts behind a cut and dials again, while its old connection
 * still looks open here. */
static void
peer_takes_newest_connection(void)
{
    struct end a;
    int old;
    int fresh;

    end_start(&a, "a", "b", 0);
    old = net_connect(peer_port(a.peer));
    (void)put_hello(old, "b");
    CU_ASSERT(net_await(is_up, &a));
    fresh = net_connect(peer_port(a.peer));
    (void)put_hello(fresh, "b");
    CU_ASSERT(net_closed(old));
    (void)put_claim(fresh, 5);
    CU_ASSERT(net_await(has_message, &a));
    CU_ASSERT_EQUAL(a.last, 5);
    CU_ASSERT(is_up(&a));
    (void)close(old);
    (void)close(fresh);
    end_stop(&a);
}

/* Time goes on until it has, whenever it began to dial. */
static bool
gave_up_dialing(void *ctx)
{
    end_advance(ctx, 10 * USEC_PER_MSEC);
    return atomic_load(&stats.peer_unanswered) > 0;
}

/* All machines of a zone lose power and come back one after the other.  What a
 * process dials before the other machine is up gets no answer, and the kernel
 * sends it again only after a second: the other one is up long before that,
 * and callers are refused meanwhile. */
static void
peer_dials_anew_where_nothing_answers(void)
{
    struct end a;
    uint16_t port;
    int listener = net_listen(&port);
    int first;
    int fd;

    /* Room for one connection that nobody accepts: further ones get no
     * answer, as from a machine that is down. */
    CU_ASSERT_EQUAL(listen(listener, 0), 0);
    first = net_connect(port);
    atomic_store(&stats.peer_unanswered, 0);
    end_start(&a, "a", "b", port);
    CU_ASSERT(net_await(gave_up_dialing, &a));
    (void)close(net_accept(listener));
    /* Past the pause between two dials. */
    end_advance(&a, HEARTBEAT_US / 4);
    fd = net_accept(listener);
    (void)put_hello(fd, "b");
    CU_ASSERT(net_await(is_up, &a));
    (void)close(first);
    (void)close(fd);
    (void)close(listener);
    end_stop(&a);
}

void
suite_peer(void)
{
    check_add("peer", "peers_exchange_messages", peers_exchange_messages);
    check_add("peer", "peer_counts_messages_by_kind",
              peer_counts_messages_by_kind);
    check_add("peer", "peer_refuses_hostile_bytes",
              peer_refuses_hostile_bytes);
    check_add("peer", "peer_ignores_unknown_kinds",
              peer_ignores_unknown_kinds);
    check_add("peer", "peer_joins_split_frames", peer_joins_split_frames);
    check_add("peer", "peer_redials_silent_connection",
              peer_redials_silent_connection);
    check_add("peer", "peer_cuts_off_who_does_not_read",
              peer_cuts_off_who_does_not_read);
    check_add("peer", "peer_refuses_wrong_name_at_address",
              peer_refuses_wrong_name_at_address);
    check_add("peer", "peer_dials_anew_where_nothing_answers",
              peer_dials_anew_where_nothing_answers);
    check_add("peer", "peer_takes_newest_connection",
              peer_takes_newest_connection);
}
