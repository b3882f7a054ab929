/* Heartbeats of idle connections, with sockets on loopback and a clock that
 * the tests advance. */
#include "heartbeat.h"

#include <poll.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <sys/socket.h>
#include <unistd.h>

#include "check.h"
#include "frame.h"
#include "net.h"
#include "peer.h"
#include "stats.h"

#define HEARTBEAT_US (250 * USEC_PER_MSEC)
#define STEP_US (50 * USEC_PER_MSEC)
#define IDLE_US (1 * USEC_PER_SEC)

enum {
    CROWD = 255, /* with the one under test 256: an interval of one second */
};

/* The process under test, "a", with a remote "b" and many others, which are
 * sockets of the test. */
struct fixture {
    struct peer *peer;
    struct manual_clock clock;
    atomic_int ups;
    atomic_int downs;
    atomic_int messages;
    atomic_int intervals; /* of the messages */
    int b;
    int second; /* another connection with b, dialed by a; 0: none */
    int crowd[CROWD];
    size_t n_crowd;
    uint64_t wakeups;        /* of stats.peer_wakeups */
    uint64_t frames;         /* of stats.peer_frames_in to wait for */
    struct bytes in;         /* read from b */
    unsigned int heartbeats; /* frames read from b */
    unsigned int other;      /* messages read from b */
    int64_t silent_us;       /* longest time without a frame */
    int64_t since_us;        /* time without a frame until now */
    int64_t announced_us;    /* by the last HEARTBEAT_INTERVAL */
};

static void
on_message(void *ctx, struct name from, struct msg *m)
{
    struct fixture *f = ctx;

    (void)from;
    if (m->kind == MSG_HEARTBEAT_INTERVAL) {
        (void)atomic_fetch_add(&f->intervals, 1);
    }
    (void)atomic_fetch_add(&f->messages, 1);
    msg_free(m);
}

static void
on_peer(void *ctx, struct name remote, bool up)
{
    struct fixture *f = ctx;

    if (name_equal(remote, name_of("b"))) {
        (void)atomic_fetch_add(up ? &f->ups : &f->downs, 1);
    }
}

static bool
frames_came(void *ctx)
{
    struct fixture *f = ctx;

    return atomic_load(&stats.peer_frames_in) >= f->frames;
}

static void
put(struct fixture *f, int fd, const struct msg *m)
{
    struct bytes b = {0};

    (void)frame_put(&b, m);
    f->frames = atomic_load(&stats.peer_frames_in) + 1;
    (void)net_send(fd, b.data + b.start, bytes_size(&b));
    bytes_free(&b);
    CU_ASSERT_TRUE(net_await(frames_came, f));
}

static void
put_heartbeat(struct fixture *f, int fd)
{
    f->frames = atomic_load(&stats.peer_frames_in) + 1;
    if (fd > 0) {
        (void)net_send(fd, "\0\0\0\0", FRAME_HEAD);
        CU_ASSERT_TRUE(net_await(frames_came, f));
    }
}

/* A heartbeat of each of the crowd. */
static void
put_crowd(struct fixture *f)
{
    f->frames = atomic_load(&stats.peer_frames_in) + f->n_crowd;
    for (size_t i = 0; i < f->n_crowd; i++) {
        (void)net_send(f->crowd[i], "\0\0\0\0", FRAME_HEAD);
    }
    CU_ASSERT_TRUE(net_await(frames_came, f));
}

static void
put_interval(struct fixture *f, int fd, uint64_t idle_us)
{
    struct msg m = {.kind = MSG_HEARTBEAT_INTERVAL};

    m.u.heartbeat_interval.idle_us = idle_us;
    put(f, fd, &m);
}

static void
put_claim(struct fixture *f, int fd)
{
    struct msg m = {.kind = MSG_CLAIM};

    put(f, fd, &m);
}

static void
greet(struct fixture *f, int fd, const char *name, bool announces)
{
    struct msg hello = {.kind = MSG_HELLO};

    hello.u.hello.sender = name_of(name);
    hello.u.hello.heartbeat_us = HEARTBEAT_US;
    put(f, fd, &hello);
    if (announces) {
        put_interval(f, fd, IDLE_US);
    }
}

static int
connect_as(struct fixture *f, const char *name, bool announces)
{
    int fd = net_connect(peer_port(f->peer));

    greet(f, fd, name, announces);
    return fd;
}

static struct fixture *
start(bool idle_heartbeats, uint16_t dialed)
{
    struct fixture *f = calloc(1, sizeof(*f));
    struct peer_options o = peer_options_default();
    struct peer_remote b = {.name = name_of("b")};

    manual_clock_init(&f->clock, (struct moment){USEC_PER_SEC, USEC_PER_SEC});
    (void)snprintf(b.address.s, sizeof(b.address.s), "127.0.0.1:%u", dialed);
    o.remotes = &b;
    o.n_remotes = dialed != 0 ? 1 : 0;
    o.self = name_of("a");
    o.incarnation = 3;
    o.listen = address_of("127.0.0.1:0");
    o.heartbeat_us = HEARTBEAT_US;
    o.open = true;
    o.tell_gaps = true;
    o.idle_heartbeats = idle_heartbeats;
    o.clock = &f->clock.base;
    o.on_message = on_message;
    o.on_peer = on_peer;
    o.ctx = f;
    f->peer = peer_new(&o);
    CU_ASSERT_PTR_NOT_NULL_FATAL(f->peer);
    f->b = -1;
    return f;
}

static bool
woke_up(void *ctx)
{
    struct fixture *f = ctx;

    return atomic_load(&stats.peer_wakeups) > f->wakeups;
}

/* Moves the clock on by a step.  The thread may be in the middle of a round;
 * when it woke up twice more, it has done a whole one with the new time. */
static void
step(struct fixture *f)
{
    manual_clock_advance(&f->clock, STEP_US);
    for (int i = 0; i < 3; i++) {
        f->wakeups = atomic_load(&stats.peer_wakeups);
        peer_poke(f->peer);
        CU_ASSERT_TRUE(net_await(woke_up, f));
    }
}

static void
add_crowd(struct fixture *f)
{
    while (f->n_crowd < CROWD) {
        char name[32];

        (void)snprintf(name, sizeof(name), "c%zu", f->n_crowd);
        f->crowd[f->n_crowd++] = connect_as(f, name, true);
    }
}

static void
stop(struct fixture *f)
{
    peer_free(f->peer);
    for (size_t i = 0; i < f->n_crowd; i++) {
        (void)close(f->crowd[i]);
    }
    if (f->b >= 0) {
        (void)close(f->b);
    }
    if (f->second > 0) {
        (void)close(f->second);
    }
    bytes_free(&f->in);
    free(f);
}

static void
count_frame(struct fixture *f, const char *body, size_t size)
{
    struct msg m;

    f->since_us = 0;
    if (size == 0) {
        f->heartbeats++;
        return;
    }
    CU_ASSERT_EQUAL(wire_decode(body, size, &m), WIRE_OK);
    if (m.kind == MSG_HEARTBEAT_INTERVAL) {
        f->announced_us = (int64_t)m.u.heartbeat_interval.idle_us;
    }
    f->other++;
    msg_free(&m);
}

/* Counts what has come on b's socket. */
static void
read_b(struct fixture *f)
{
    const char *body;
    size_t size;
    ssize_t n;

    while ((n = recv(f->b, bytes_room(&f->in, 4096), 4096, MSG_DONTWAIT)) >
           0) {
        bytes_added(&f->in, (size_t)n);
    }
    while (frame_next(&f->in, 1 << 20, &body, &size) == FRAME_READY) {
        count_frame(f, body, size);
        bytes_drop(&f->in, FRAME_HEAD + size);
    }
}

static bool
is_up(const struct fixture *f)
{
    return atomic_load(&f->ups) > atomic_load(&f->downs);
}

static bool
is_down(void *ctx)
{
    return !is_up(ctx);
}

/* Lets the time pass; b sends a heartbeat every @every_us, 0: none. */
static void
pass(struct fixture *f, int64_t us, int64_t every_us)
{
    f->heartbeats = 0;
    f->other = 0;
    f->silent_us = 0;
    f->since_us = 0;
    for (int64_t t = STEP_US; t <= us; t += STEP_US) {
        step(f);
        f->since_us += STEP_US;
        read_b(f);
        f->silent_us = f->since_us > f->silent_us ? f->since_us : f->silent_us;
        if (every_us > 0 && t % every_us == 0) {
            put_heartbeat(f, f->b);
            put_heartbeat(f, f->second);
        }
        if (t % HEARTBEAT_US == 0) {
            put_crowd(f);
        }
    }
}

/* A crowd, and b with an idle connection. */
static struct fixture *
start_idle(bool announces)
{
    struct fixture *f = start(true, 0);

    add_crowd(f);
    f->b = connect_as(f, "b", announces);
    pass(f, 4 * USEC_PER_SEC, HEARTBEAT_US);
    CU_ASSERT_TRUE(is_up(f));
    CU_ASSERT_EQUAL(f->announced_us, IDLE_US);
    return f;
}

/* Guards against slower heartbeats in a small region, and against an interval
 * that follows every connection: each change is sent on all of them. */
static void
interval_follows_connections(void)
{
    int64_t usual = HEARTBEAT_US;

    CU_ASSERT_EQUAL(heartbeat_interval_us(usual, 0, usual), usual);
    CU_ASSERT_EQUAL(heartbeat_interval_us(usual, 64, usual), usual);
    CU_ASSERT_EQUAL(heartbeat_interval_us(usual, 128, usual), 2 * usual);
    CU_ASSERT_EQUAL(heartbeat_interval_us(usual, 140, 2 * usual), 2 * usual);
    CU_ASSERT_EQUAL(heartbeat_interval_us(usual, 120, 2 * usual), 2 * usual);
    CU_ASSERT_EQUAL(heartbeat_interval_us(usual, 192, 2 * usual), 3 * usual);
    CU_ASSERT_EQUAL(heartbeat_interval_us(usual, 64, 2 * usual), usual);
    CU_ASSERT_EQUAL(heartbeat_interval_us(usual, 776, usual),
                    HEARTBEAT_IDLE_MAX_US);
}

/* Guards against a change for deployments with few connections: heartbeats
 * and the limit of silence stay as they were. */
static void
few_connections_stay_as_before(void)
{
    struct fixture *f = start(true, 0);

    f->b = connect_as(f, "b", true);
    CU_ASSERT_EQUAL(atomic_load(&f->intervals), 1);
    pass(f, 4 * USEC_PER_SEC, HEARTBEAT_US);
    CU_ASSERT_EQUAL(f->announced_us, HEARTBEAT_US);
    pass(f, 2 * USEC_PER_SEC, HEARTBEAT_US);
    CU_ASSERT_TRUE(f->heartbeats >= 2 * USEC_PER_SEC / HEARTBEAT_US);
    CU_ASSERT_TRUE(f->silent_us < HEARTBEAT_US);
    stop(f);
}

/* Guards against a new message where the setting is off. */
static void
disabled_announces_nothing(void)
{
    struct fixture *f = start(false, 0);

    add_crowd(f);
    f->b = connect_as(f, "b", true);
    pass(f, 4 * USEC_PER_SEC, HEARTBEAT_US);
    CU_ASSERT_EQUAL(f->other, 1); /* HELLO */
    CU_ASSERT_TRUE(f->silent_us < HEARTBEAT_US);
    CU_ASSERT_EQUAL(atomic_load(&f->messages), 0);
    pass(f, 700 * USEC_PER_MSEC, 0);
    CU_ASSERT_TRUE(is_up(f));
    pass(f, 100 * USEC_PER_MSEC, 0);
    CU_ASSERT_TRUE(net_await(is_down, f));
    stop(f);
}

/* Guards against a connection with the previous build that its end closes: it
 * does not announce an interval, and allows 0.75 s without a frame. */
static void
previous_build_gets_usual_heartbeats(void)
{
    struct fixture *f = start_idle(false);

    pass(f, 3 * USEC_PER_SEC, HEARTBEAT_US);
    CU_ASSERT_TRUE(f->silent_us < HEARTBEAT_US);
    CU_ASSERT_EQUAL(atomic_load(&f->intervals), CROWD);
    pass(f, 700 * USEC_PER_MSEC, 0);
    CU_ASSERT_TRUE(is_up(f));
    pass(f, 100 * USEC_PER_MSEC, 0);
    CU_ASSERT_TRUE(net_await(is_down, f));
    stop(f);
}

/* Guards against the cost of heartbeats on idle connections, against frames
 * further apart than announced, and against a closed connection whose other
 * end is idle too.  A process that stops meanwhile is lost after three of its
 * intervals. */
static void
idle_connection_is_slow(void)
{
    struct fixture *f = start_idle(true);

    pass(f, 8 * USEC_PER_SEC, IDLE_US);
    CU_ASSERT_TRUE(is_up(f));
    CU_ASSERT_TRUE(f->heartbeats >= 8 && f->heartbeats <= 11);
    CU_ASSERT_TRUE(f->silent_us < IDLE_US);
    pass(f, 2900 * USEC_PER_MSEC, 0);
    CU_ASSERT_TRUE(is_up(f));
    pass(f, 150 * USEC_PER_MSEC, 0);
    CU_ASSERT_TRUE(net_await(is_down, f));
    stop(f);
}

/* Guards against work for a process that has stopped, or behind a connection
 * that something between has forgotten: it is lost 0.75 s after the first
 * message, not after three idle intervals. */
static void
loss_is_noticed_when_work_begins(void)
{
    struct fixture *f = start_idle(true);
    struct msg m = {.kind = MSG_JOB_DROP};

    pass(f, 1 * USEC_PER_SEC, 0);
    CU_ASSERT_TRUE(is_up(f));
    peer_send(f->peer, name_of("b"), &m);
    pass(f, 700 * USEC_PER_MSEC, 0);
    CU_ASSERT_TRUE(is_up(f)); /* b may have been idle until the message */
    CU_ASSERT_EQUAL(f->other, 1);
    CU_ASSERT_TRUE(f->silent_us < HEARTBEAT_US);
    pass(f, 150 * USEC_PER_MSEC, 0);
    CU_ASSERT_TRUE(net_await(is_down, f));
    stop(f);
}

/* Guards against a sender that gives up a receiver which goes on idling: the
 * receiver sends at the usual rate from the message on, at least as long as
 * the sender expects it. */
static void
receiver_of_work_sends_at_usual_rate(void)
{
    struct fixture *f = start_idle(true);

    for (int i = 0; i < 20 && f->heartbeats != 1; i++) {
        pass(f, STEP_US, 0);
    }
    pass(f, 500 * USEC_PER_MSEC, 0);
    CU_ASSERT_EQUAL(f->heartbeats, 0);
    put_claim(f, f->b);
    pass(f, STEP_US, 0);
    CU_ASSERT_EQUAL(f->heartbeats, 1);
    pass(f, 2700 * USEC_PER_MSEC, HEARTBEAT_US);
    CU_ASSERT_TRUE(f->silent_us < HEARTBEAT_US);
    pass(f, 2 * USEC_PER_SEC, IDLE_US);
    CU_ASSERT_TRUE(f->heartbeats <= 4);
    CU_ASSERT_TRUE(is_up(f));
    stop(f);
}

/* Guards against loads that keep each connection of a holder in use. */
static void
loads_are_no_use(void)
{
    struct fixture *f = start_idle(true);
    struct msg m = {.kind = MSG_BROKER_LOAD};

    pass(f, 200 * USEC_PER_MSEC, 0);
    put(f, f->b, &m);
    pass(f, 2 * USEC_PER_SEC, IDLE_US);
    CU_ASSERT_TRUE(f->heartbeats <= 3);
    stop(f);
}

/* Guards against a large message over a slow link that never arrives: its
 * sender expects frames while the receiver has not read it whole. */
static void
part_of_a_message_is_use(void)
{
    struct fixture *f = start_idle(true);

    pass(f, 500 * USEC_PER_MSEC, 0);
    (void)net_send(f->b, "\0\1\0\0", FRAME_HEAD);
    pass(f, 700 * USEC_PER_MSEC, 0);
    CU_ASSERT_TRUE(f->heartbeats >= 3);
    stop(f);
}

/* Guards against an announcement that outlives its connection: on the next one
 * both ends begin at the usual rate, and announce again. */
static void
announcement_ends_with_its_connection(void)
{
    struct fixture *f = start_idle(true);

    (void)close(f->b);
    CU_ASSERT_TRUE(net_await(is_down, f));
    f->announced_us = 0;
    f->b = connect_as(f, "b", false);
    pass(f, 4 * USEC_PER_SEC, HEARTBEAT_US);
    CU_ASSERT_EQUAL(f->announced_us, IDLE_US);
    CU_ASSERT_TRUE(f->silent_us < HEARTBEAT_US);
    stop(f);
}

/* Guards against a process that has stopped and counts as connected until its
 * second connection, which is idle, is found silent. */
static void
second_connection_is_lost_too(void)
{
    uint16_t port;
    int listener = net_listen(&port);
    struct fixture *f = start(true, port);
    struct msg m = {.kind = MSG_JOB_DROP};

    f->second = net_accept(listener);
    greet(f, f->second, "b", true);
    add_crowd(f);
    f->b = connect_as(f, "b", true);
    pass(f, 6 * USEC_PER_SEC, HEARTBEAT_US);
    CU_ASSERT_TRUE(is_up(f));
    peer_send(f->peer, name_of("b"), &m);
    pass(f, 700 * USEC_PER_MSEC, 0);
    CU_ASSERT_TRUE(is_up(f));
    CU_ASSERT_EQUAL(f->other, 0); /* sent on the one that a dialed */
    pass(f, 300 * USEC_PER_MSEC, 0);
    CU_ASSERT_TRUE(net_await(is_down, f));
    (void)close(listener);
    stop(f);
}

/* Two ends by the functions alone, with frames that take up to DELAY_US. */
struct model {
    struct heartbeat beat[2];
    int64_t last_in_us[2];
    int64_t last_out_us[2];
    struct {
        int64_t at_us;
        bool use;
    } way[2][64]; /* to that end, in order */
    size_t n[2];
};

#define DELAY_US (300 * USEC_PER_MSEC)

static void
model_send(struct model *m, int from, bool use, int64_t now_us, uint64_t *rng)
{
    int to = 1 - from;
    int64_t at_us = now_us + (int64_t)(random_next(rng) % DELAY_US);
    size_t n = m->n[to]++;

    if (n > 0 && at_us < m->way[to][n - 1].at_us) {
        at_us = m->way[to][n - 1].at_us;
    }
    m->way[to][n].at_us = at_us;
    m->way[to][n].use = use;
    m->last_out_us[from] = now_us;
    if (use) {
        (void)heartbeat_use(&m->beat[from], now_us);
    }
}

static void
model_receive(struct model *m, int end, int64_t now_us)
{
    while (m->n[end] > 0 && m->way[end][0].at_us <= now_us) {
        m->last_in_us[end] = now_us;
        if (m->way[end][0].use) {
            (void)heartbeat_use(&m->beat[end], now_us);
        }
        memmove(&m->way[end][0], &m->way[end][1],
                --m->n[end] * sizeof(m->way[end][0]));
    }
}

/* Guards against ends that disagree on when a connection is in use: each
 * change of both is tried with messages that arrive late. */
static void
ends_never_find_each_other_silent(void)
{
    uint64_t rng = 1;
    struct model m = {.n = {0, 0}};
    unsigned int silent = 0;
    unsigned int frames = 0;

    for (int end = 0; end < 2; end++) {
        m.beat[end] = heartbeat_open(HEARTBEAT_US, 3 * HEARTBEAT_US, 0);
        m.beat[end].announced_us = (end + 1) * IDLE_US;
        m.beat[end].their_idle_us = (2 - end) * IDLE_US;
    }
    for (int64_t t = 0; t < 3000 * USEC_PER_SEC; t += 20 * USEC_PER_MSEC) {
        for (int end = 0; end < 2; end++) {
            model_receive(&m, end, t);
            if (random_next(&rng) % 300 == 0) {
                model_send(&m, end, true, t, &rng);
            }
            if (t >= heartbeat_late_us(&m.beat[end], m.last_out_us[end], t)) {
                model_send(&m, end, false, t, &rng);
                frames++;
            }
            silent +=
                t >= heartbeat_silent_us(&m.beat[end], m.last_in_us[end], t)
                    ? 1
                    : 0;
        }
    }
    CU_ASSERT_EQUAL(silent, 0);
    CU_ASSERT_TRUE(frames < 3000 * 2 * 4); /* idle now and then */
}

void
suite_heartbeat(void)
{
    static const struct {
        const char *name;
        void (*run)(void);
    } tests[] = {
        {"interval_follows_connections", interval_follows_connections},
        {"few_connections_stay_as_before", few_connections_stay_as_before},
        {"disabled_announces_nothing", disabled_announces_nothing},
        {"previous_build_gets_usual_heartbeats",
         previous_build_gets_usual_heartbeats},
        {"idle_connection_is_slow", idle_connection_is_slow},
        {"loss_is_noticed_when_work_begins", loss_is_noticed_when_work_begins},
        {"receiver_of_work_sends_at_usual_rate",
         receiver_of_work_sends_at_usual_rate},
        {"loads_are_no_use", loads_are_no_use},
        {"part_of_a_message_is_use", part_of_a_message_is_use},
        {"announcement_ends_with_its_connection",
         announcement_ends_with_its_connection},
        {"second_connection_is_lost_too", second_connection_is_lost_too},
        {"ends_never_find_each_other_silent",
         ends_never_find_each_other_silent},
    };

    for (size_t i = 0; i < sizeof(tests) / sizeof(tests[0]); i++) {
        check_add("heartbeat", tests[i].name, tests[i].run);
    }
}
