/* Distribution of a configuration from control members to a broker behind a
 * slow link. */
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "broker.h"
#include "check.h"
#include "cluster.h"
#include "delta.h"
#include "textpack.h"

#define MSEC USEC_PER_MSEC
#define SEC USEC_PER_SEC
/* Latest time from the confirmation of a change until it is in force. */
#define APPLY_US (2 * SEC)

enum {
    MEMBERS = 8,
    LINK_BYTES_PER_S = 25 * 1000 * 1000 / 8,
    ROUTES = 4200,
    ROUTE_SIZE = 256, /* most bytes of a route's text */
    QUEUED_MAX = 256,
};

/* A text that brokers cannot parse. */
#define UNREADABLE "unreadable"

/* A message in transit to the broker. */
struct queued_msg {
    int64_t due_us;
    struct name from;
    struct msg msg;
};

struct spread {
    struct cluster *cl;
    struct broker *broker;
    int64_t link_free_us; /* when the link has sent all queued messages */
    struct queued_msg queued[QUEUED_MAX];
    size_t first;
    size_t n;
    uint64_t texts;          /* configuration texts sent over the link */
    uint64_t text_bytes;     /* total bytes of these texts */
    uint64_t last_request;   /* number of the last request */
    bool drop_text_requests; /* the first member asked for a text does
                                not get the request */
    int asked_member;        /* number of that member; -1: none yet */
    uint64_t timed_out;      /* text requests that timed out */
};

/* Parser of the test: the first number in the text is the rank. */
static struct queueconf *
read_rank(const char *text, size_t size, enum queueconf_error *fault)
{
    struct queueconf *c = calloc(1, sizeof(*c));

    (void)size;
    *fault = QUEUECONF_OK;
    if (strcmp(text, UNREADABLE) == 0) {
        *fault = QUEUECONF_MALFORMED;
        free(c);
        return NULL;
    }
    c->rank = strtoull(text + strcspn(text, "0123456789"), NULL, 10);
    return c;
}

static size_t
encoded_size(const struct msg *m)
{
    msgpack_sbuffer buffer;
    size_t size;

    msgpack_sbuffer_init(&buffer);
    CU_ASSERT_EQUAL_FATAL(wire_encode(m, &buffer), WIRE_OK);
    size = buffer.size;
    msgpack_sbuffer_destroy(&buffer);
    return size;
}

/* All connections share the link of the broker's host. */
static void
to_broker(void *ctx, struct name from, struct name to, const struct msg *m)
{
    struct spread *s = ctx;
    struct queued_msg *w = &s->queued[(s->first + s->n) % QUEUED_MAX];
    size_t size = encoded_size(m);

    (void)to;
    CU_ASSERT_TRUE_FATAL(s->n < QUEUED_MAX);
    s->n++;
    if (s->link_free_us < s->cl->now_us) {
        s->link_free_us = s->cl->now_us;
    }
    s->link_free_us += (int64_t)size * SEC / LINK_BYTES_PER_S;
    w->due_us = s->link_free_us;
    w->from = from;
    w->msg = msg_copy(m);
    if (m->kind == MSG_CONFIG_REPLY && m->u.config_reply.config != NULL) {
        s->texts++;
        s->text_bytes += m->u.config_reply.config->size;
    }
}

static void
to_member(struct spread *s, int member, const struct msg *m)
{
    if (s->drop_text_requests && s->asked_member < 0 &&
        m->u.config_request.version_only == 0) {
        s->asked_member = member;
    }
    if (member != s->asked_member) {
        cluster_inject(s->cl, "broker", member, m);
    }
}

static void
step(struct spread *s, struct broker_event *ev)
{
    struct broker_effects fx = {0};

    ev->now =
        (struct moment){.mono_us = s->cl->now_us, .wall_us = s->cl->now_us};
    broker_step(s->broker, ev, &fx);
    for (size_t i = 0; i < fx.n; i++) {
        const struct broker_effect *f = &fx.items[i];

        s->timed_out +=
            f->kind == BE_LOG && f->u.log.reason == BROKER_CONFIG_LATE ? 1 : 0;
        for (int n = 0; f->kind == BE_SEND && n < MEMBERS; n++) {
            if (name_equal(f->u.send.to, s->cl->nodes[n].name) &&
                f->u.send.msg.kind == MSG_CONFIG_REQUEST) {
                to_member(s, n, &f->u.send.msg);
            }
        }
    }
    broker_effects_free(&fx);
}

static void
connect_member(struct spread *s, int member, bool up)
{
    struct broker_event ev = {.kind = BEV_PEER};

    ev.u.peer.peer = s->cl->nodes[member].name;
    ev.u.peer.up = up;
    step(s, &ev);
}

static void
deliver(struct spread *s)
{
    struct queued_msg w = s->queued[s->first];
    struct broker_event ev = {.kind = BEV_MESSAGE};

    s->first = (s->first + 1) % QUEUED_MAX;
    s->n--;
    ev.u.message.from = w.from;
    ev.u.message.msg = &w.msg;
    step(s, &ev);
    msg_free(&w.msg);
}

static void
run(struct spread *s, int64_t us)
{
    int64_t until_us = s->cl->now_us + us;

    while (s->cl->now_us < until_us) {
        cluster_run(s->cl, MSEC);
        while (s->n > 0 && s->queued[s->first].due_us <= s->cl->now_us) {
            deliver(s);
        }
        if (broker_next_us(s->broker) <= s->cl->now_us) {
            step(s, &(struct broker_event){.kind = BEV_TICK});
        }
    }
}

static struct spread *
spread_new(uint64_t seed)
{
    struct spread *s = calloc(1, sizeof(*s));
    struct broker_options opts = broker_options_default();
    struct rec_instance registries[MEMBERS] = {0};

    s->asked_member = -1;
    s->cl = cluster_new(MEMBERS, seed, NULL);
    s->cl->options.heartbeat_interval_us = 80 * MSEC;
    s->cl->options.election_timeout_us = 400 * MSEC;
    s->cl->options.limits.texts = 2;
    s->cl->send_external = to_broker;
    s->cl->external_ctx = s;
    for (int i = 0; i < MEMBERS; i++) {
        cluster_crash(s->cl, i);
        cluster_start(s->cl, i);
        registries[i].name = s->cl->nodes[i].name;
    }
    (void)cluster_await_leader(s->cl);
    opts.self = name_of("broker");
    opts.zone = name_of("zone");
    opts.registries = registries;
    opts.n_registries = MEMBERS;
    opts.read_config = read_rank;
    s->broker = broker_new(&opts);
    for (int i = 0; i < MEMBERS; i++) {
        connect_member(s, i, true);
    }
    run(s, SEC);
    return s;
}

static void
spread_free(struct spread *s)
{
    CU_ASSERT_EQUAL(s->cl->violations, 0);
    while (s->n > 0) {
        msg_free(&s->queued[s->first].msg);
        s->first = (s->first + 1) % QUEUED_MAX;
        s->n--;
    }
    broker_free(s->broker);
    cluster_free(s->cl);
    free(s);
}

/* A whole configuration as operators send it, with the rank at the start and
 * new routes at the end. */
static struct blob *
text_of(uint64_t rank, size_t routes)
{
    char *text = malloc(ROUTE_SIZE * (routes + 1));
    uint64_t random = 1;
    struct blob *b;
    int n = sprintf(text, "{\"version\":%llu,\"routes\":[",
                    (unsigned long long)rank);

    for (size_t i = 0; i < routes; i++) {
        unsigned long long a = random_next(&random);

        n += sprintf(
            text + n,
            "%s{\"name\":\"r-%07llx\",\"host\":\"h%06llx.example\","
            "\"path-prefix\":\"/p%06llx/\",\"route-type\":\"unsafe\","
            "\"timeout-ms\":1500,\"target-latency-ms\":60,\"priority\":1,"
            "\"service\":\"service\",\"max-attempts\":2,\"stretch\":1.6}",
            i > 0 ? "," : "", a & 0xfffffff, (a >> 28) % 7 + 1,
            (a >> 32) & 0xffffff);
    }
    n += sprintf(text + n, "]}");
    b = blob_new(text, (size_t)n);
    free(text);
    return b;
}

/* Publishes, and runs until the publication is confirmed. */
static void
publish(struct spread *s, uint64_t rank, size_t routes)
{
    struct blob *text = text_of(rank, routes);
    uint64_t r = ++s->last_request;

    cluster_publish_ranked(s->cl, cluster_leader(s->cl), r, rank, text);
    while (!s->cl->answers[r].done) {
        run(s, MSEC);
    }
    CU_ASSERT_EQUAL(s->cl->answers[r].result, CONTROL_OK);
    blob_unref(text);
}

static uint64_t
rank_in_force(const struct spread *s)
{
    return broker_gauges(s->broker).config_rank;
}

static int64_t
wait_in_force_us(struct spread *s, uint64_t rank)
{
    int64_t from_us = s->cl->now_us;

    while (rank_in_force(s) < rank && s->cl->now_us - from_us < 10 * SEC) {
        run(s, MSEC);
    }
    return s->cl->now_us - from_us;
}

/* Guards against a small change that is delayed because copies of the large
 * change before it saturate the broker's link. */
static void
small_change_behind_a_large_one_is_in_time(void)
{
    struct spread *s = spread_new(1);

    publish(s, 7, ROUTES);
    publish(s, 8, ROUTES + 1);
    CU_ASSERT_TRUE(wait_in_force_us(s, 8) <= APPLY_US);
    spread_free(s);
}

/* Guards against a copy of the text being sent by every member. */
static void
one_copy_of_each_text_is_sent(void)
{
    struct spread *s = spread_new(2);

    publish(s, 7, ROUTES);
    run(s, 10 * SEC); /* long polls expire and are renewed */
    CU_ASSERT_EQUAL(rank_in_force(s), 7);
    CU_ASSERT_EQUAL(s->texts, 1);
    spread_free(s);
}

/* Guards against a change of one queue that sends all queues again, because
 * the version number at the start of the text differs too. */
static void
small_change_is_sent_as_a_delta(void)
{
    struct spread *s = spread_new(5);

    publish(s, 7, ROUTES);
    (void)wait_in_force_us(s, 7);
    s->text_bytes = 0;
    publish(s, 8, ROUTES + 1);
    (void)wait_in_force_us(s, 8);
    CU_ASSERT_EQUAL(rank_in_force(s), 8);
    CU_ASSERT_TRUE(s->text_bytes / 4 < ROUTE_SIZE);
    spread_free(s);
}

/* Runs until the broker has requested the text of a newer version; returns the
 * member that it requested the text from. */
static int
wait_until_asked(struct spread *s)
{
    for (int i = 0; i < 1000 && s->asked_member < 0; i++) {
        run(s, MSEC);
    }
    CU_ASSERT_TRUE_FATAL(s->asked_member >= 0);
    return s->asked_member;
}

/* Guards against a change that is not applied because the only member that the
 * text was requested from is unresponsive. */
static void
text_comes_from_another_member_after_a_timeout(void)
{
    struct spread *s = spread_new(3);
    struct blob *text = text_of(7, ROUTES);
    uint64_t r = ++s->last_request;
    int64_t from_us = s->cl->now_us;

    s->drop_text_requests = true;
    cluster_publish_ranked(s->cl, cluster_leader(s->cl), r, 7, text);
    (void)wait_until_asked(s);
    CU_ASSERT_TRUE(broker_config_outdated(s->broker));
    (void)wait_in_force_us(s, 7);
    CU_ASSERT_TRUE(s->cl->answers[r].done);
    CU_ASSERT_TRUE(s->cl->now_us - from_us <= APPLY_US);
    CU_ASSERT_FALSE(broker_config_outdated(s->broker));
    blob_unref(text);
    spread_free(s);
}

/* Guards against waiting for a text after its connection was lost. */
static void
text_lost_with_its_connection_comes_from_another(void)
{
    struct spread *s = spread_new(4);
    struct blob *text = text_of(7, ROUTES);
    int asked_member;

    s->drop_text_requests = true;
    cluster_publish_ranked(s->cl, cluster_leader(s->cl), ++s->last_request, 7,
                           text);
    asked_member = wait_until_asked(s);
    connect_member(s, asked_member, false);
    CU_ASSERT_TRUE(wait_in_force_us(s, 7) <= APPLY_US / 2);
    blob_unref(text);
    spread_free(s);
}

/* Guards against a member that is reported as unresponsive although the text
 * has arrived from another member meanwhile. */
static void
text_from_another_member_ends_the_wait(void)
{
    struct spread *s = spread_new(6);
    struct blob *text = text_of(7, 20);
    struct msg late = {.kind = MSG_CONFIG_REPLY};
    struct broker_event ev = {.kind = BEV_MESSAGE};

    s->drop_text_requests = true;
    cluster_publish_ranked(s->cl, cluster_leader(s->cl), ++s->last_request, 7,
                           text);
    (void)wait_until_asked(s);
    late.u.config_reply.version = 1;
    late.u.config_reply.config = text;
    ev.u.message.from = s->cl->nodes[(s->asked_member + 1) % MEMBERS].name;
    ev.u.message.msg = &late;
    step(s, &ev);
    CU_ASSERT_EQUAL(rank_in_force(s), 7);
    run(s, 5 * SEC);
    CU_ASSERT_EQUAL(s->timed_out, 0);
    blob_unref(text);
    spread_free(s);
}

/* Guards against a text that is fetched over and over because it cannot be
 * parsed, and so is never in force. */
static void
unreadable_text_is_fetched_once(void)
{
    struct spread *s = spread_new(7);
    struct blob *text = blob_new(UNREADABLE, strlen(UNREADABLE));

    cluster_publish_ranked(s->cl, cluster_leader(s->cl), ++s->last_request, 7,
                           text);
    run(s, 5 * SEC);
    CU_ASSERT_EQUAL(s->texts, 1);
    CU_ASSERT_FALSE(broker_config_outdated(s->broker));
    publish(s, 8, 20);
    CU_ASSERT_TRUE(wait_in_force_us(s, 8) <= APPLY_US);
    blob_unref(text);
    spread_free(s);
}

/* Guards against applying a text that was corrupted in transit, or packed
 * against another base text. */
static void
damaged_text_is_refused(void)
{
    struct blob *old = text_of(7, 20);
    struct blob *text = text_of(8, 21);
    struct blob *packed = textpack_make(old, text);
    struct rec_config_reply reply = {.version = 2,
                                     .packed = 1,
                                     .from_version = 1,
                                     .digest = delta_digest(text)};
    struct blob *got;

    for (size_t i = 0; i < packed->size; i++) {
        reply.config = blob_new(packed->data, packed->size);
        reply.config->data[i] ^= 0x11;
        got = textpack_read_reply(&reply, old, 1);
        CU_ASSERT_PTR_NULL(got);
        blob_unref(got);
        blob_unref(reply.config);
    }
    reply.config = packed;
    CU_ASSERT_PTR_NULL(textpack_read_reply(&reply, old, 3));
    CU_ASSERT_PTR_NULL(textpack_read_reply(&reply, text, 1));
    got = textpack_read_reply(&reply, old, 1);
    CU_ASSERT_PTR_NOT_NULL_FATAL(got);
    CU_ASSERT_EQUAL(delta_digest(got), delta_digest(text));
    blob_unref(got);
    blob_unref(old);
    blob_unref(text);
    blob_unref(packed);
}

/* Guards against a small message that unpacks to a huge text and exhausts the
 * memory. */
static void
oversized_text_is_refused(void)
{
    char *zeros = calloc(1, TEXTPACK_MAX + 1);
    struct blob *text = blob_new(zeros, TEXTPACK_MAX + 1);
    struct blob *packed = textpack_make(NULL, text);

    CU_ASSERT_TRUE(packed->size < TEXTPACK_MAX / 1000);
    CU_ASSERT_PTR_NULL(textpack_open(NULL, packed));
    free(zeros);
    blob_unref(text);
    blob_unref(packed);
}

void
suite_config_spread(void)
{
#define TEST(name) check_add("config_spread", #name, name)
    TEST(small_change_behind_a_large_one_is_in_time);
    TEST(one_copy_of_each_text_is_sent);
    TEST(small_change_is_sent_as_a_delta);
    TEST(text_comes_from_another_member_after_a_timeout);
    TEST(text_from_another_member_ends_the_wait);
    TEST(unreadable_text_is_fetched_once);
    TEST(damaged_text_is_refused);
    TEST(oversized_text_is_refused);
    TEST(text_lost_with_its_connection_comes_from_another);
#undef TEST
}
