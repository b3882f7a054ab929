/* Requests to upstreams, against stand-ins that answer as told. */
#include "upclient.h"

#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <sys/socket.h>
#include <unistd.h>

#include "check.h"
#include "net.h"

enum { CONNECTIONS_MAX = 8, SILENT_US = 300000 };

/* What the stand-in does with a request. */
enum act {
    ACT_ANSWER,       /* send the answer */
    ACT_ANSWER_HALF,  /* all but its last byte, then close */
    ACT_ANSWER_TWICE, /* as a proxy that repeats itself */
    ACT_CLOSE,        /* read it and close */
    ACT_SILENT,       /* read it and do nothing more */
};

struct standin {
    int listener;
    uint16_t port;
    pthread_t thread;
    const char *answer;
    enum act first;  /* for the first request */
    enum act others; /* for all others */
    atomic_uint requests;
    atomic_uint connections;
    atomic_uint task_7; /* requests for task 7 */
};

struct connection {
    struct standin *s;
    int fd;
    char task[64]; /* of the request at hand */
};

/* Sends the answer, with '@' replaced by the name of the task. */
static bool
send_answer(struct connection *c, size_t cut)
{
    const char *answer = c->s->answer;
    const char *at = strchr(answer, '@');
    char text[2048];

    if (at == NULL) {
        return net_send(c->fd, answer, strlen(answer) - cut);
    }
    (void)snprintf(text, sizeof(text), "%.*s%s%s", (int)(at - answer), answer,
                   c->task, at + 1);
    return net_send(c->fd, text, strlen(text) - cut);
}

/* Gives false when the connection is to be closed. */
static bool
act(struct connection *c, enum act what)
{
    switch (what) {
    case ACT_ANSWER:
        return send_answer(c, 0);
    case ACT_ANSWER_HALF:
        (void)send_answer(c, 1);
        return false;
    case ACT_ANSWER_TWICE:
        (void)send_answer(c, 0);
        return send_answer(c, 0);
    case ACT_SILENT:
        (void)net_closed(c->fd);
        return false;
    default:
        return false;
    }
}

static void *
connection_run(void *arg)
{
    struct connection *c = arg;
    struct standin *s = c->s;
    char text[NET_TEXT_SIZE];

    while (net_read_http(c->fd, text)) {
        unsigned int before = atomic_fetch_add(&s->requests, 1);

        (void)sscanf(text, "%*s /v1/tasks/%63s", c->task);
        if (strstr(c->task, "-7") != NULL) {
            (void)atomic_fetch_add(&s->task_7, 1);
        }
        if (!act(c, before == 0 ? s->first : s->others)) {
            break;
        }
    }
    (void)close(c->fd);
    free(c);
    return NULL;
}

static void *
standin_run(void *arg)
{
    struct standin *s = arg;
    pthread_t threads[CONNECTIONS_MAX];
    unsigned int n = 0;
    int fd;

    while (n < CONNECTIONS_MAX &&
           (fd = accept(s->listener, NULL, NULL)) >= 0) {
        struct connection *c = calloc(1, sizeof(*c));

        c->s = s;
        c->fd = fd;
        (void)atomic_fetch_add(&s->connections, 1);
        (void)pthread_create(&threads[n++], NULL, connection_run, c);
    }
    for (unsigned int i = 0; i < n; i++) {
        (void)pthread_join(threads[i], NULL);
    }
    return NULL;
}

static void
standin_start(struct standin *s, const char *answer, enum act first,
              enum act others)
{
    memset(s, 0, sizeof(*s));
    s->listener = net_listen(&s->port);
    s->answer = answer;
    s->first = first;
    s->others = others;
    (void)pthread_create(&s->thread, NULL, standin_run, s);
}

/* After the client is gone, so that its connections have ended. */
static void
standin_stop(struct standin *s)
{
    (void)shutdown(s->listener, SHUT_RDWR);
    (void)pthread_join(s->thread, NULL);
    (void)close(s->listener);
}

/* Outcomes as they come, in a mailbox. */
static void
on_done(void *ctx, struct envelope *outcome)
{
    mailbox_post(ctx, &outcome->mail);
}

static struct upclient *
client_new(struct mailbox *outcomes)
{
    struct upclient_options o = upclient_options_default();

    (void)mailbox_init(outcomes, 4);
    o.self = name_of("e1");
    o.threads = 1;
    o.result_max = 1000;
    o.control_timeout_ms = SILENT_US / 1000;
    o.clock = clock_real();
    o.done = on_done;
    o.ctx = outcomes;
    return upclient_new(&o);
}

static void
client_free(struct upclient *c, struct mailbox *outcomes)
{
    upclient_free(c);
    mailbox_destroy(outcomes);
}

static struct envelope *
next_outcome(struct mailbox *outcomes)
{
    struct mail *mail = mailbox_take(outcomes);

    for (int i = 0; mail == NULL && i < NET_PATIENCE_MS / 10; i++) {
        mailbox_wait(outcomes, 10 * USEC_PER_MSEC);
        mail = mailbox_take(outcomes);
    }
    CU_ASSERT_PTR_NOT_NULL_FATAL(mail);
    return (struct envelope *)mail;
}

static struct address
address_at(uint16_t port)
{
    struct address a;

    (void)snprintf(a.s, sizeof(a.s), "http://127.0.0.1:%u", port);
    return a;
}

static struct envelope *
run_start(struct upclient *c, struct mailbox *outcomes, uint16_t port,
          uint32_t index)
{
    struct effect f = {.kind = EF_START};

    f.u.start.call = index;
    f.u.start.upstream = name_of("u1");
    f.u.start.address = address_at(port);
    f.u.start.incarnation = 5;
    f.u.start.epoch = 3;
    f.u.start.key = key_id_of("k");
    f.u.start.index = index;
    f.u.start.payload = blob_new("{}", 2);
    f.u.start.silence_timeout_us = SILENT_US;
    upclient_begin(c, &f);
    return next_outcome(outcomes);
}

static const char ok_answer[] =
    "HTTP/1.1 200 OK\r\nContent-Length: 8\r\nBoragemoor-Run-Us: 77\r\n"
    "Boragemoor-Task: @\r\n\r\n{\"a\": 1}";
static const char unnamed_answer[] =
    "HTTP/1.1 200 OK\r\nContent-Length: 8\r\n\r\n{\"a\": 1}";

/* An upstream answers a start in all the ways that it can.  Whatever is not a
 * whole result or a plain refusal must be called lost: called refused, the
 * task would be placed again and could run twice. */
static void
start_outcomes(void)
{
    static const struct {
        const char *answer;
        enum act act;
        enum start_outcome outcome;
        bool ok;
    } cases[] = {
        {ok_answer, ACT_ANSWER, START_DONE, true},
        {unnamed_answer, ACT_ANSWER, START_DONE, true},
        {"HTTP/1.1 200 OK\r\nContent-Length: 0\r\nBoragemoor-Task: x-7\r\n"
         "\r\n",
         ACT_ANSWER, START_LOST, false},
        {"HTTP/1.1 422 No\r\nContent-Length: 2\r\n\r\nno", ACT_ANSWER,
         START_DONE, false},
        {"HTTP/1.1 503 No\r\nContent-Length: 0\r\nBoragemoor-Started: no\r\n"
         "\r\n",
         ACT_ANSWER, START_REFUSED, false},
        {"HTTP/1.1 409 No\r\nContent-Length: 0\r\nBoragemoor-Started: no\r\n"
         "\r\n",
         ACT_ANSWER, START_STALE, false},
        {"HTTP/1.1 503 No\r\nContent-Length: 0\r\n\r\n", ACT_ANSWER,
         START_LOST, false},
        {"HTTP/1.1 409 No\r\nContent-Length: 0\r\n\r\n", ACT_ANSWER,
         START_LOST, false},
        {"HTTP/1.1 500 No\r\nContent-Length: 0\r\n\r\n", ACT_ANSWER,
         START_LOST, false},
        {"HTTP/1.1 302 No\r\nContent-Length: 0\r\nLocation: /x\r\n\r\n",
         ACT_ANSWER, START_LOST, false},
        {"this is not HTTP\r\n\r\n", ACT_ANSWER, START_LOST, false},
        {ok_answer, ACT_ANSWER_HALF, START_LOST, false},
        {ok_answer, ACT_CLOSE, START_LOST, false},
        {ok_answer, ACT_SILENT, START_LOST, false},
    };

    for (size_t i = 0; i < sizeof(cases) / sizeof(cases[0]); i++) {
        struct standin s;
        struct mailbox outcomes;
        struct upclient *c = client_new(&outcomes);
        struct envelope *e;

        standin_start(&s, cases[i].answer, cases[i].act, cases[i].act);
        e = run_start(c, &outcomes, s.port, 7);
        CU_ASSERT_EQUAL(e->event.kind, EV_TASK_ENDED);
        CU_ASSERT_EQUAL(e->event.u.ended.call, 7);
        CU_ASSERT_EQUAL(e->event.u.ended.outcome, cases[i].outcome);
        CU_ASSERT_EQUAL(e->event.u.ended.ok, cases[i].ok);
        CU_ASSERT_EQUAL(atomic_load(&s.task_7), 1);
        envelope_free(e);
        client_free(c, &outcomes);
        standin_stop(&s);
    }
}

static void
start_gives_result(void)
{
    struct standin s;
    struct mailbox outcomes;
    struct upclient *c = client_new(&outcomes);
    struct envelope *e;

    standin_start(&s, ok_answer, ACT_ANSWER, ACT_ANSWER);
    e = run_start(c, &outcomes, s.port, 1);
    CU_ASSERT_EQUAL(e->event.u.ended.ran_us, 77);
    CU_ASSERT_STRING_EQUAL(e->event.u.ended.result->data, "{\"a\": 1}");
    envelope_free(e);
    envelope_free(run_start(c, &outcomes, s.port, 2));
    CU_ASSERT_EQUAL(atomic_load(&s.connections), 1); /* kept */
    client_free(c, &outcomes);
    standin_stop(&s);
}

/* Nobody listens: the one case in which nothing can have been sent. */
static void
start_not_connected(void)
{
    struct mailbox outcomes;
    struct upclient *c = client_new(&outcomes);
    struct envelope *e;
    uint16_t port;

    (void)close(net_listen(&port));
    e = run_start(c, &outcomes, port, 7);
    CU_ASSERT_EQUAL(e->event.u.ended.outcome, START_NO_CONNECT);
    envelope_free(e);
    client_free(c, &outcomes);
}

/* An upstream takes a start on a kept connection and dies or closes before it
 * answers.  libcurl would send the request again on a new connection without
 * asking, and the requester's plot would be granted twice. */
static void
start_is_not_sent_again(void)
{
    struct standin s;
    struct mailbox outcomes;
    struct upclient *c = client_new(&outcomes);
    struct envelope *e;

    standin_start(&s, ok_answer, ACT_ANSWER, ACT_CLOSE);
    envelope_free(run_start(c, &outcomes, s.port, 1));
    e = run_start(c, &outcomes, s.port, 7);
    CU_ASSERT_EQUAL(e->event.u.ended.outcome, START_LOST);
    CU_ASSERT_EQUAL(atomic_load(&s.task_7), 1);
    CU_ASSERT_EQUAL(atomic_load(&s.requests), 2);
    envelope_free(e);
    client_free(c, &outcomes);
    standin_stop(&s);
}

/* Something between the two repeats an answer, at once or when the next start
 * goes out.  The repetition must not be taken for the answer to that start:
 * one requester would be told what belongs to another. */
static void
start_ignores_repeated_answer(void)
{
    static const struct {
        enum act first;
        enum act others;
    } cases[] = {
        {ACT_ANSWER_TWICE, ACT_SILENT},
        {ACT_ANSWER, ACT_ANSWER},
        {ACT_ANSWER_TWICE, ACT_CLOSE},
    };
    char first_only[128];
    char key[33];

    key_id_format(key_id_of("k"), key);
    (void)snprintf(first_only, sizeof(first_only),
                   "HTTP/1.1 200 OK\r\nContent-Length: 0\r\n"
                   "Boragemoor-Task: %s-1\r\n\r\n",
                   key);
    for (size_t i = 0; i < sizeof(cases) / sizeof(cases[0]); i++) {
        struct standin s;
        struct mailbox outcomes;
        struct upclient *c = client_new(&outcomes);
        struct envelope *e;

        standin_start(&s, first_only, cases[i].first, cases[i].others);
        e = run_start(c, &outcomes, s.port, 1);
        CU_ASSERT_EQUAL(e->event.u.ended.outcome, START_DONE);
        envelope_free(e);
        e = run_start(c, &outcomes, s.port, 7);
        CU_ASSERT_EQUAL(e->event.u.ended.outcome, START_LOST);
        envelope_free(e);
        client_free(c, &outcomes);
        standin_stop(&s);
    }
}

/* An upstream that does not name the task in its answers gets a connection for
 * each start: on a kept one a repeated answer could not be told apart. */
static void
start_keeps_no_unnamed_connection(void)
{
    struct standin s;
    struct mailbox outcomes;
    struct upclient *c = client_new(&outcomes);

    standin_start(&s, unnamed_answer, ACT_ANSWER, ACT_ANSWER);
    for (uint32_t i = 1; i <= 3; i++) {
        struct envelope *e = run_start(c, &outcomes, s.port, i);

        CU_ASSERT_EQUAL(e->event.u.ended.outcome, START_DONE);
        envelope_free(e);
    }
    CU_ASSERT_EQUAL(atomic_load(&s.connections), 3);
    client_free(c, &outcomes);
    standin_stop(&s);
}

/* A task answers with more than an instance can keep for all its callers.  It
 * ran; so it is a failure with a reason, and not to be placed again. */
static void
start_result_too_large(void)
{
    struct standin s;
    struct mailbox outcomes;
    struct upclient *c = client_new(&outcomes);
    struct envelope *e;
    char answer[1200];

    (void)snprintf(answer, sizeof(answer),
                   "HTTP/1.1 200 OK\r\nContent-Length: 1001\r\n\r\n%01001d",
                   7);
    standin_start(&s, answer, ACT_ANSWER, ACT_ANSWER);
    e = run_start(c, &outcomes, s.port, 7);
    CU_ASSERT_EQUAL(e->event.u.ended.outcome, START_DONE);
    CU_ASSERT_FALSE(e->event.u.ended.ok);
    envelope_free(e);
    client_free(c, &outcomes);
    standin_stop(&s);
}

/* The connection of a start has gone half-open: it stays silent.  The question
 * for the task must go out on a connection of its own, or it goes silent
 * too. */
static void
revoke_asks_on_a_fresh_connection(void)
{
    static const struct {
        const char *answer;
        enum revoke_outcome outcome;
    } cases[] = {
        {"HTTP/1.1 200 OK\r\nContent-Length: 17\r\n\r\n{\"state\":\"never\"}",
         REVOKE_NEVER},
        {"HTTP/1.1 200 OK\r\nContent-Length: 19\r\n\r\n"
         "{\"state\":\"running\"}",
         REVOKE_RUNNING},
        {"HTTP/1.1 200 OK\r\nContent-Length: 39\r\n\r\n"
         "{\"state\":\"done\",\"ok\":true,\"result\":[1]}",
         REVOKE_DONE},
        {"HTTP/1.1 409 No\r\nContent-Length: 0\r\n\r\n", REVOKE_OTHER_LIFE},
        {"HTTP/1.1 500 No\r\nContent-Length: 0\r\n\r\n", REVOKE_UNREACHABLE},
        {"HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\n{}", REVOKE_UNREACHABLE},
    };

    for (size_t i = 0; i < sizeof(cases) / sizeof(cases[0]); i++) {
        struct standin s;
        struct mailbox outcomes;
        struct upclient *c = client_new(&outcomes);
        struct effect f = {.kind = EF_REVOKE};
        struct envelope *e;

        standin_start(&s, cases[i].answer, ACT_SILENT, ACT_ANSWER);
        e = run_start(c, &outcomes, s.port, 7);
        CU_ASSERT_EQUAL(e->event.u.ended.outcome, START_LOST);
        envelope_free(e);
        f.u.revoke.call = 9;
        f.u.revoke.upstream = name_of("u1");
        f.u.revoke.address = address_at(s.port);
        f.u.revoke.incarnation = 5;
        upclient_begin(c, &f);
        e = next_outcome(&outcomes);
        CU_ASSERT_EQUAL(e->event.kind, EV_TASK_REVOKED);
        CU_ASSERT_EQUAL(e->event.u.revoked.outcome, cases[i].outcome);
        CU_ASSERT_EQUAL(atomic_load(&s.connections), 2);
        envelope_free(e);
        client_free(c, &outcomes);
        standin_stop(&s);
    }
}

static void
fence_outcomes(void)
{
    static const struct {
        const char *answer;
        enum fence_outcome outcome;
        uint64_t epoch;
    } cases[] = {
        {"HTTP/1.1 200 OK\r\nContent-Length: 23\r\n\r\n"
         "{\"epoch\":8,\"running\":3}",
         FENCE_OK, 8},
        {"HTTP/1.1 409 No\r\nContent-Length: 27\r\n\r\n"
         "{\"epoch\":9,\"incarnation\":5}",
         FENCE_STALE, 9},
        {"HTTP/1.1 409 No\r\nContent-Length: 27\r\n\r\n"
         "{\"epoch\":9,\"incarnation\":6}",
         FENCE_OTHER_LIFE, 9},
        {"HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\n{}", FENCE_UNREACHABLE,
         0},
    };

    for (size_t i = 0; i < sizeof(cases) / sizeof(cases[0]); i++) {
        struct standin s;
        struct mailbox outcomes;
        struct upclient *c = client_new(&outcomes);
        struct effect f = {.kind = EF_FENCE};
        struct envelope *e;

        standin_start(&s, cases[i].answer, ACT_ANSWER, ACT_ANSWER);
        f.u.fence.call = 9;
        f.u.fence.upstream = name_of("u1");
        f.u.fence.address = address_at(s.port);
        f.u.fence.incarnation = 5;
        f.u.fence.epoch = 8;
        upclient_begin(c, &f);
        e = next_outcome(&outcomes);
        CU_ASSERT_EQUAL(e->event.kind, EV_FENCED);
        CU_ASSERT_EQUAL(e->event.u.fenced.outcome, cases[i].outcome);
        CU_ASSERT_EQUAL(e->event.u.fenced.epoch, cases[i].epoch);
        envelope_free(e);
        client_free(c, &outcomes);
        standin_stop(&s);
    }
}

void
suite_upclient(void)
{
    check_add("upclient", "start_outcomes", start_outcomes);
    check_add("upclient", "start_gives_result", start_gives_result);
    check_add("upclient", "start_not_connected", start_not_connected);
    check_add("upclient", "start_is_not_sent_again", start_is_not_sent_again);
    check_add("upclient", "start_ignores_repeated_answer",
              start_ignores_repeated_answer);
    check_add("upclient", "start_keeps_no_unnamed_connection",
              start_keeps_no_unnamed_connection);
    check_add("upclient", "start_result_too_large", start_result_too_large);
    check_add("upclient", "revoke_asks_on_a_fresh_connection",
              revoke_asks_on_a_fresh_connection);
    check_add("upclient", "fence_outcomes", fence_outcomes);
}
