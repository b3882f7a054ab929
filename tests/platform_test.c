/* What the platform says and is told: good, missing, mistyped, oversized and
 * unreadable. */
#include <math.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <unistd.h>

#include "check.h"
#include "platform_caller.h"
#include "platform_config.h"
#include "platform_settings.h"
#include "platform_worker.h"
#include "queueconf_wire.h"

/* Configurations */

#define ROUTE                                                                 \
    "{\"name\":\"r1\",\"host\":\"a.example\",\"path-prefix\":\"/p/\","        \
    "\"timeout-ms\":1500,\"target-latency-ms\":60,\"priority\":2,"            \
    "\"service\":\"s1\",\"max-attempts\":3,\"stretch\":1.6}"
#define SERVICES "\"services\":[{\"name\":\"s1\",\"admission-check\":true}]"

static const struct {
    const char *what;
    const char *text;
    enum queueconf_error fault;
} configs[] = {
    {"good", "{\"version\":7,\"routes\":[" ROUTE "]," SERVICES "}",
     QUEUECONF_OK},
    {"no routes", "{\"version\":7,\"routes\":[]," SERVICES "}", QUEUECONF_OK},
    {"unknown fields",
     "{\"version\":7,\"x\":{},\"routes\":[]," SERVICES ",\"limits\":{}}",
     QUEUECONF_OK},
    {"cut short", "{\"version\":7,\"routes\":[" ROUTE "]," SERVICES,
     QUEUECONF_MALFORMED},
    {"empty", "", QUEUECONF_MALFORMED},
    {"not an object", "[]", QUEUECONF_MALFORMED},
    {"no version", "{\"routes\":[]," SERVICES "}", QUEUECONF_MALFORMED},
    {"version as text", "{\"version\":\"7\",\"routes\":[]," SERVICES "}",
     QUEUECONF_MALFORMED},
    {"version 0", "{\"version\":0,\"routes\":[]," SERVICES "}",
     QUEUECONF_MALFORMED},
    {"no services", "{\"version\":7,\"routes\":[]}", QUEUECONF_MALFORMED},
    {"routes as object", "{\"version\":7,\"routes\":{}," SERVICES "}",
     QUEUECONF_MALFORMED},
    {"unknown service",
     "{\"version\":7,\"routes\":[" ROUTE "],\"services\":[]}",
     QUEUECONF_UNKNOWN_SERVICE},
    {"same place",
     "{\"version\":7,\"routes\":[" ROUTE "," ROUTE "]," SERVICES "}",
     QUEUECONF_DUPLICATE_ROUTE},
    {"no timeout",
     "{\"version\":7,\"routes\":[{\"name\":\"r1\",\"host\":\"a\","
     "\"path-prefix\":\"/p/\",\"timeout-ms\":0,\"service\":\"s1\"}]," SERVICES
     "}",
     QUEUECONF_ZERO_TIMEOUT},
    {"route without host",
     "{\"version\":7,\"routes\":[{\"name\":\"r1\",\"path-prefix\":\"/p/\","
     "\"timeout-ms\":5,\"service\":\"s1\"}]," SERVICES "}",
     QUEUECONF_MALFORMED},
    {"bytes that are no text", "{\"version\":7,\"x\":\"\xff\xfe\"}",
     QUEUECONF_MALFORMED},
};

static void
configurations(void)
{
    for (size_t i = 0; i < sizeof(configs) / sizeof(configs[0]); i++) {
        enum queueconf_error fault = QUEUECONF_OK;
        struct queueconf *c = platform_config_read(
            configs[i].text, strlen(configs[i].text), &fault);

        if (fault != configs[i].fault) {
            (void)fprintf(stderr, "configuration %s: %s\n", configs[i].what,
                          queueconf_error_text(fault));
        }
        CU_ASSERT_EQUAL(fault, configs[i].fault);
        CU_ASSERT_EQUAL(c != NULL, fault == QUEUECONF_OK);
        queueconf_free(c);
    }
}

static void
configuration_fields(void)
{
    enum queueconf_error fault;
    struct queueconf *c =
        platform_config_read(configs[0].text, strlen(configs[0].text), &fault);

    CU_ASSERT_PTR_NOT_NULL_FATAL(c);
    if (c == NULL) {
        return; /* for the analyser: the line above does not return then */
    }
    CU_ASSERT_EQUAL(c->rank, 7);
    CU_ASSERT_EQUAL(c->n_queues, 1);
    CU_ASSERT_STRING_EQUAL(c->queues[0].name.s, "r1");
    CU_ASSERT_STRING_EQUAL(c->queues[0].service.s, "s1");
    CU_ASSERT_EQUAL(c->queues[0].priority, 2);
    CU_ASSERT_EQUAL(c->queues[0].attempts, 3);
    CU_ASSERT_EQUAL(c->queues[0].timeout_us, 1500 * USEC_PER_MSEC);
    CU_ASSERT_EQUAL(c->queues[0].target_us, 60 * USEC_PER_MSEC);
    CU_ASSERT_DOUBLE_EQUAL(c->queues[0].stretch, 1.6, 0.001);
    CU_ASSERT_TRUE(c->services[0].guarded);
    queueconf_free(c);
}

static bool
same_queue(const struct queue_conf *a, const struct queue_conf *b)
{
    return name_equal(a->name, b->name) && strcmp(a->host, b->host) == 0 &&
           strcmp(a->prefix, b->prefix) == 0 &&
           name_equal(a->service, b->service) && a->priority == b->priority &&
           a->attempts == b->attempts && a->timeout_us == b->timeout_us &&
           a->target_us == b->target_us &&
           fabs(a->stretch - b->stretch) < 1e-9;
}

/* Guards against a broker that has another configuration in force than the
 * one that was published. */
static void
brokers_get_what_was_published(void)
{
    enum queueconf_error fault;
    struct queueconf *c =
        platform_config_read(configs[0].text, strlen(configs[0].text), &fault);
    struct blob *text = blob_new(configs[0].text, strlen(configs[0].text));
    struct blob *data = platform_config_render(text);
    struct queueconf *d = queueconf_decode(data->data, data->size, &fault);

    CU_ASSERT_PTR_NOT_NULL_FATAL(d);
    if (c == NULL || d == NULL) {
        return; /* for the analyser */
    }
    CU_ASSERT_EQUAL(d->rank, c->rank);
    CU_ASSERT_EQUAL(d->body_max, c->body_max);
    CU_ASSERT_EQUAL(d->n_queues, c->n_queues);
    CU_ASSERT_EQUAL(d->n_services, c->n_services);
    CU_ASSERT_TRUE(same_queue(&d->queues[0], &c->queues[0]));
    CU_ASSERT_TRUE(name_equal(d->services[0].name, c->services[0].name));
    CU_ASSERT_EQUAL(d->services[0].guarded, c->services[0].guarded);
    for (size_t n = 0; n < data->size; n++) {
        CU_ASSERT_PTR_NULL(queueconf_decode(data->data, n, &fault));
        CU_ASSERT_EQUAL(fault, QUEUECONF_MALFORMED);
    }
    queueconf_free(c);
    queueconf_free(d);
    blob_unref(text);
    blob_unref(data);
}

/* Hundreds of routes come at once, and requests find the longest prefix. */
static void
longest_prefix_is_found(void)
{
    struct queue_conf queues[3] = {
        {.name = {"short"}, .host = "a.example", .prefix = "/p/"},
        {.name = {"long"}, .host = "a.example", .prefix = "/p/q/"},
        {.name = {"other"}, .host = "b.example", .prefix = "/"},
    };
    const struct queueconf c = {.queues = queues, .n_queues = 3};

    CU_ASSERT_PTR_EQUAL(queueconf_find(&c, "a.example", "/p/1"), &queues[0]);
    CU_ASSERT_PTR_EQUAL(queueconf_find(&c, "A.Example", "/p/q/1"), &queues[1]);
    CU_ASSERT_PTR_EQUAL(queueconf_find(&c, "a.example:80", "/p/"), &queues[0]);
    CU_ASSERT_PTR_EQUAL(queueconf_find(&c, "b.example", "/p/q/1"), &queues[2]);
    CU_ASSERT_PTR_NULL(queueconf_find(&c, "c.example", "/p/1"));
    CU_ASSERT_PTR_NULL(queueconf_find(&c, "a.example", "/x"));
}

/* Jobs */

#define STEP "{\"count\":3,\"cpu\":500,\"mem-mb\":64,\"estimated-ms\":90}"
#define JOB(steps, more)                                                      \
    "{\"spec\":\"x\",\"steps\":[" steps "],\"best-effort\":true" more "}"

static const struct {
    const char *what;
    const char *text;
    int status;
} jobs[] = {
    {"good", JOB(STEP, ""), 200},
    {"two steps",
     JOB(STEP ",{\"count\":1,\"depends-on\":[0],\"affinity\":\"r1\","
              "\"requirements\":\"a\",\"anti-affinity\":1}",
         ""),
     200},
    {"not best effort", "{\"spec\":\"x\",\"steps\":[" STEP "]}", 503},
    {"with times", JOB(STEP, ",\"repeat-count\":2"), 503},
    {"gang", JOB("{\"count\":2,\"gang\":true}", ""), 503},
    {"lasting", JOB("{\"count\":2,\"long-running\":true}", ""), 503},
    {"no steps", JOB("", ""), 400},
    {"no tasks", JOB("{\"cpu\":1}", ""), 400},
    {"zero tasks", JOB("{\"count\":0}", ""), 400},
    {"too many tasks", JOB("{\"count\":5000}", ""), 400},
    {"negative", JOB("{\"count\":1,\"cpu\":-5}", ""), 400},
    {"count as text", JOB("{\"count\":\"3\"}", ""), 400},
    {"depends on itself", JOB("{\"count\":1,\"depends-on\":[0]}", ""), 400},
    {"depends on a later one",
     JOB("{\"count\":1,\"depends-on\":[1]}," STEP, ""), 400},
    {"spec missing", "{\"steps\":[" STEP "],\"best-effort\":true}", 400},
    {"not JSON", "spec", 400},
    {"empty", "", 400},
    {"an array", "[1]", 400},
};

static void
jobs_of_clients(void)
{
    for (size_t i = 0; i < sizeof(jobs) / sizeof(jobs[0]); i++) {
        struct bev_submit s = {0};
        int status = 0;
        bool taken = platform_caller_job(jobs[i].text, strlen(jobs[i].text),
                                         &s, &status);

        if (status != jobs[i].status) {
            (void)fprintf(stderr, "job %s: %d\n", jobs[i].what, status);
        }
        CU_ASSERT_EQUAL(status, jobs[i].status);
        CU_ASSERT_EQUAL(taken, jobs[i].status == 200);
        CU_ASSERT_EQUAL(s.groups != NULL, taken);
        blob_unref(s.spec);
        free((void *)s.groups);
    }
}

static void
job_fields(void)
{
    struct bev_submit s = {0};
    int status = 0;

    CU_ASSERT_TRUE_FATAL(
        platform_caller_job(jobs[1].text, strlen(jobs[1].text), &s, &status));
    CU_ASSERT_EQUAL(s.n_groups, 2);
    CU_ASSERT_EQUAL(s.groups[0].count, 3);
    CU_ASSERT_EQUAL(s.groups[0].cpu_milli, 500);
    CU_ASSERT_EQUAL(s.groups[0].memory_mb, 64);
    CU_ASSERT_EQUAL(s.groups[0].declared_us, 90 * USEC_PER_MSEC);
    CU_ASSERT_EQUAL(s.groups[1].after, 1);
    CU_ASSERT_EQUAL(s.groups[1].spread, 1);
    CU_ASSERT_STRING_EQUAL(s.groups[1].affinity.s, "r1");
    CU_ASSERT_STRING_EQUAL(s.groups[1].requirement.s, "a");
    blob_unref(s.spec);
    free((void *)s.groups);
}

/* A refusal tells that the job has not run; nothing else may say so. */
static void
answers_to_clients(void)
{
    static const struct {
        enum job_outcome outcome;
        int status;
        const char *body;
    } answers[] = {
        {JOB_COMPLETED_OUTCOME, 200, "{\"state\":\"completed\"}"},
        {JOB_FAILED_OUTCOME, 200, "{\"state\":\"failed\"}"},
        {JOB_CANCELLED_OUTCOME, 200, "{\"state\":\"cancelled\"}"},
        {JOB_REFUSED_OUTCOME, 503, NULL},
        {JOB_EXPIRED_OUTCOME, 504, NULL},
        {JOB_LOST_OUTCOME, 504, NULL},
    };

    for (size_t i = 0; i < sizeof(answers) / sizeof(answers[0]); i++) {
        struct be_answer a = {.outcome = answers[i].outcome};
        struct httpapi_response r = {0};

        platform_caller_codec()->encode_answer(&a, &r);
        CU_ASSERT_EQUAL(r.status, answers[i].status);
        CU_ASSERT_EQUAL(r.body != NULL, answers[i].body != NULL);
        if (r.body != NULL && answers[i].body != NULL) {
            CU_ASSERT_STRING_EQUAL(r.body, answers[i].body);
        }
        free(r.body);
    }
}

/* Heartbeats */

#define BEAT(state, address, more)                                            \
    "{\"service\":\"s1\",\"address\":\"" address                              \
    "\",\"zone\":\"z1\",\"version\":\"v1\",\"slots\":8,\"state\":\"" state    \
    "\",\"capacity\":{\"cpu\":32000,\"mem-mb\":65536,\"gpu\":1},"             \
    "\"labels\":[\"a\",\"r1-3\"],\"sequence\":4,\"born\":1700000000000" more  \
    "}"

static const struct {
    const char *what;
    const char *text;
    bool good;
} beats[] = {
    {"ready", BEAT("ready", "10.0.0.9:8080", ""), true},
    {"draining", BEAT("draining", "10.0.0.9:8080", ""), true},
    {"unknown field", BEAT("ready", "10.0.0.9:8080", ",\"x\":[1]"), true},
    {"unknown state", BEAT("resting", "10.0.0.9:8080", ""), false},
    {"no port", BEAT("ready", "10.0.0.9", ""), false},
    {"no address", BEAT("ready", "", ""), false},
    {"a host name", BEAT("ready", "worker:8080", ""), false},
    {"no capacity",
     "{\"service\":\"s1\",\"address\":\"10.0.0.9:1\",\"zone\":\"z\","
     "\"slots\":8,\"state\":\"ready\",\"sequence\":1}",
     false},
    {"sequence as text",
     "{\"service\":\"s1\",\"address\":\"10.0.0.9:1\",\"zone\":\"z\","
     "\"slots\":8,\"state\":\"ready\",\"sequence\":\"1\","
     "\"capacity\":{\"cpu\":1,\"mem-mb\":1}}",
     false},
    {"labels as text", BEAT("ready", "10.0.0.9:8080", ",\"labels\":\"a\""),
     false},
    {"not JSON", "beat", false},
    {"bytes that are no text", "{\"service\":\"\xff\"}", false},
    {"empty", "", false},
};

static void
heartbeats_of_workers(void)
{
    for (size_t i = 0; i < sizeof(beats) / sizeof(beats[0]); i++) {
        struct rec_leased_upstream u;
        bool good = platform_worker_read("i-1", beats[i].text,
                                         strlen(beats[i].text), &u);

        if (good != beats[i].good) {
            (void)fprintf(stderr, "heartbeat %s\n", beats[i].what);
        }
        CU_ASSERT_EQUAL(good, beats[i].good);
        free(u.labels);
    }
}

static void
heartbeat_fields(void)
{
    struct rec_leased_upstream u;

    CU_ASSERT_TRUE_FATAL(
        platform_worker_read("i-1", beats[1].text, strlen(beats[1].text), &u));
    CU_ASSERT_STRING_EQUAL(u.upstream.s, "i-1");
    CU_ASSERT_STRING_EQUAL(u.service.s, "s1");
    CU_ASSERT_EQUAL(u.born_ms, 1700000000000);
    CU_ASSERT_EQUAL(u.sequence, 4);
    CU_ASSERT_EQUAL(u.cpu_milli, 32000);
    CU_ASSERT_EQUAL(u.accelerators, 1);
    CU_ASSERT_EQUAL(u.leaving, 1);
    CU_ASSERT_EQUAL(u.n_labels, 2);
    CU_ASSERT_STRING_EQUAL(u.labels[1].text.s, "r1-3");
    free(u.labels);
}

/* A worker that chose another registry for each heartbeat would be news to the
 * brokers each time; with many workers and brokers that alone fills links. */
static void
workers_are_asked_to_come_back(void)
{
    char *text = platform_worker_heard("10.1.0.16:8166");

    CU_ASSERT_STRING_EQUAL(text, "{\"heartbeat-url\":\"10.1.0.16:8166\"}");
    free(text);
}

/* Calls to workers */

static void
calls_to_workers(void)
{
    struct lease_request r = {
        .kind = LEASE_START,
        .upstream = name_of("i-1"),
        .fence = 7,
        .task = {0x5c0e7a21d94b36f8, 1, 17, 2},
        .spec = blob_new("a\"b", 3),
        .deadline_ms = 486000,
    };
    struct lease_http_request w = {0};

    platform_worker_codec()->encode(&r, &w);
    CU_ASSERT_STRING_EQUAL(w.path, "/v1/run-start");
    CU_ASSERT_STRING_EQUAL(w.headers[0], "Expected-Instance: i-1");
    CU_ASSERT_STRING_EQUAL(
        w.body, "{\"fencing-token\":7,\"task\":\"5c0e7a21d94b36f8.0.1.17\","
                "\"run\":2,\"spec\":\"a\\\"b\",\"deadline-ms\":486000}");
    free(w.body);
    r.kind = LEASE_POLL;
    r.acked = 57;
    r.wait_ms = 250;
    platform_worker_codec()->encode(&r, &w);
    CU_ASSERT_STRING_EQUAL(w.path, "/v1/hold");
    CU_ASSERT_STRING_EQUAL(w.body, "{\"fencing-token\":7,\"last-seen\":57,"
                                   "\"wait-ms\":250,\"deadline-ms\":486000}");
    free(w.body);
    blob_unref(r.spec);
}

/* Guards against headers and requests that an id puts into calls, where it
 * comes from a saved list or from another process. */
static void
odd_id_ends_no_header(void)
{
    struct lease_request r = {.kind = LEASE_POLL,
                              .upstream = name_of("a\r\nX-Y: \xff")};
    struct lease_http_request w = {0};

    platform_worker_codec()->encode(&r, &w);
    CU_ASSERT_STRING_EQUAL(w.headers[0], "Expected-Instance: a??X-Y:??");
    free(w.body);
}

static const struct {
    enum lease_call call;
    int status;
    const char *body;
    enum lease_result result;
} answers[] = {
    {LEASE_START, 200, "{\"clock-ms\":5}", LEASE_OK},
    {LEASE_START, 409, "{\"reason\":\"fence\"}", LEASE_FENCED},
    {LEASE_START, 409, "{\"reason\":\"old\"}", LEASE_STALE_RUN},
    {LEASE_START, 409, "{\"reason\":\"late\"}", LEASE_DEADLINE_PASSED},
    {LEASE_START, 409, "{\"reason\":\"room\"}", LEASE_NO_CAPACITY},
    {LEASE_START, 409, "{\"reason\":\"new\"}", LEASE_BAD_REQUEST},
    {LEASE_START, 409, "", LEASE_BAD_REQUEST},
    {LEASE_START, 400, "", LEASE_BAD_REQUEST},
    {LEASE_START, 421, "", LEASE_WRONG_UPSTREAM},
    {LEASE_START, 429, "", LEASE_UNHEALTHY},
    {LEASE_START, 503, "", LEASE_UNHEALTHY},
    {LEASE_START, 500, "", LEASE_NO_ANSWER},
    {LEASE_POLL, 200, "{\"running\":[],\"finished\":[]}", LEASE_OK},
    {LEASE_POLL, 200, "{\"running\":[]}", LEASE_NO_ANSWER},
    {LEASE_POLL, 200, "{\"running\":[[\"x\",1]],\"finished\":[]}",
     LEASE_NO_ANSWER},
    {LEASE_POLL, 200, "{\"running\":[],\"finished\":[[\"1\",\"1.0.0.0\",1]]}",
     LEASE_NO_ANSWER},
    {LEASE_POLL, 200, "not JSON", LEASE_NO_ANSWER},
};

static void
answers_of_workers(void)
{
    for (size_t i = 0; i < sizeof(answers) / sizeof(answers[0]); i++) {
        struct lease_request r = {.kind = answers[i].call};
        struct lease_answer a = {0};

        platform_worker_codec()->decode(&r, answers[i].status, answers[i].body,
                                        strlen(answers[i].body), &a);
        CU_ASSERT_EQUAL(a.result, answers[i].result);
        lease_answer_clear(&a);
    }
}

static void
lists_of_workers(void)
{
    static const char text[] =
        "{\"clock-ms\":482113,\"born\":9,"
        "\"running\":[[\"5c0e7a21d94b36f8.0.1.17\",2,\"\",41]],"
        "\"finished\":[[58,\"00000000000000ff.0.0.9\",1,\"done\",\"\"],"
        "[59,\"00000000000000ff.0.0.8\",3,\"lapsed\",\"\"]]}";
    struct lease_request r = {.kind = LEASE_POLL};
    struct lease_answer a = {0};

    platform_worker_codec()->decode(&r, 200, text, strlen(text), &a);
    CU_ASSERT_EQUAL_FATAL(a.n_running, 1);
    CU_ASSERT_EQUAL_FATAL(a.n_ended, 2);
    CU_ASSERT_EQUAL(a.clock_ms, 482113);
    CU_ASSERT_EQUAL(a.born_ms, 9);
    CU_ASSERT_EQUAL(a.running[0].task.job, 0x5c0e7a21d94b36f8);
    CU_ASSERT_EQUAL(a.running[0].task.group, 1);
    CU_ASSERT_EQUAL(a.running[0].task.index, 17);
    CU_ASSERT_EQUAL(a.running[0].task.run, 2);
    CU_ASSERT_EQUAL(a.running[0].percent, 41);
    CU_ASSERT_EQUAL(a.ended[0].number, 58);
    CU_ASSERT_EQUAL(a.ended[0].outcome, LEASE_END_DONE);
    CU_ASSERT_EQUAL(a.ended[1].task.job, 255);
    CU_ASSERT_EQUAL(a.ended[1].outcome, LEASE_END_EXPIRED);
    lease_answer_clear(&a);
}

/* Settings */

static bool
read_settings(const char *text, struct platform_settings *s)
{
    char path[] = "/tmp/boragemoor-settings-XXXXXX";
    int fd = mkstemp(path);
    char error[DETAIL_SIZE];
    bool good;

    CU_ASSERT_TRUE_FATAL(fd >= 0);
    CU_ASSERT_EQUAL(write(fd, text, strlen(text)), (ssize_t)strlen(text));
    (void)close(fd);
    good = platform_settings_read(path, s, error, sizeof(error));
    (void)unlink(path);
    return good;
}

static const char settings[] =
    "{\"node-name\":\"n1\",\"ip\":\"10.1.0.13\",\"zone\":\"z1\","
    "\"region\":\"r1\",\"bind-addresses\":{\"front\":\"10.1.0.13:8161\","
    "\"ready\":\"10.1.0.13:8167\"},\"port-range\":[7720,7735],"
    "\"seeds\":[\"10.1.0.16:8166\",\"10.2.0.32:8166\"],\"bootstrap\":true,"
    "\"data-dir\":null,\"bounds\":{\"max-hold-ms\":900,\"resend-ms\":1200,"
    "\"grace-s\":6,\"evacuation-ms\":4000},"
    "\"zones\":{\"z1\":\"r1\",\"z2\":\"r1\",\"far\":\"r2\"},"
    "\"new-field\":{}}";

static void
settings_of_the_platform(void)
{
    struct platform_settings s;

    CU_ASSERT_TRUE_FATAL(read_settings(settings, &s));
    CU_ASSERT_STRING_EQUAL(s.self.s, "10.1.0.13");
    CU_ASSERT_STRING_EQUAL(s.callers.s, "10.1.0.13:8161");
    CU_ASSERT_STRING_EQUAL(s.control.s, "");
    CU_ASSERT_STRING_EQUAL(s.peer.s, "10.1.0.13:7720");
    CU_ASSERT_EQUAL(s.n_seeds, 2);
    CU_ASSERT_STRING_EQUAL(s.seeds[1].name.s, "10.2.0.32");
    CU_ASSERT_STRING_EQUAL(s.seeds[1].address.s, "10.2.0.32:7720");
    CU_ASSERT_STRING_EQUAL(s.seed_http[1].s, "10.2.0.32:8166");
    CU_ASSERT_TRUE(s.first_start);
    CU_ASSERT_STRING_EQUAL(s.data, "");
    CU_ASSERT_EQUAL(s.lease_us, 900 * USEC_PER_MSEC);
    CU_ASSERT_EQUAL(s.resend_us, 1200 * USEC_PER_MSEC);
    CU_ASSERT_EQUAL(s.grace_us, 6 * USEC_PER_SEC);
    CU_ASSERT_EQUAL(s.evacuation_us, 4 * USEC_PER_SEC);
    CU_ASSERT_EQUAL_FATAL(s.n_zones, 2);
    CU_ASSERT_STRING_EQUAL(s.zones[1].s, "z2");
}

static void
unreadable_settings_are_refused(void)
{
    static const char *const bad[] = {
        "",
        "{}",
        "[]",
        "{\"node-name\":\"n1\"",
        "{\"node-name\":1,\"ip\":\"10.1.0.13\",\"zone\":\"z\",\"region\":"
        "\"r\",\"port-range\":[1,2],\"seeds\":[],\"bounds\":{}}",
        "{\"node-name\":\"n\",\"ip\":\"10.1.0.13\",\"zone\":\"z\",\"region\":"
        "\"r\",\"port-range\":[9,2],\"seeds\":[],\"bounds\":{}}",
        "{\"node-name\":\"n\",\"ip\":\"10.1.0.13\",\"zone\":\"z\",\"region\":"
        "\"r\",\"port-range\":[1,2],\"seeds\":[5],\"bounds\":{}}",
        "{\"node-name\":\"n\",\"ip\":\"10.1.0.13\",\"zone\":\"z\",\"region\":"
        "\"r\",\"port-range\":[1,2],\"seeds\":[],\"bounds\":"
        "{\"resend-ms\":100}}",
    };

    for (size_t i = 0; i < sizeof(bad) / sizeof(bad[0]); i++) {
        struct platform_settings s;

        CU_ASSERT_FALSE(read_settings(bad[i], &s));
    }
}

void
suite_platform(void)
{
#define TEST(name) check_add("platform", #name, name)
    TEST(configurations);
    TEST(configuration_fields);
    TEST(brokers_get_what_was_published);
    TEST(longest_prefix_is_found);
    TEST(jobs_of_clients);
    TEST(job_fields);
    TEST(answers_to_clients);
    TEST(heartbeats_of_workers);
    TEST(heartbeat_fields);
    TEST(workers_are_asked_to_come_back);
    TEST(calls_to_workers);
    TEST(odd_id_ends_no_header);
    TEST(answers_of_workers);
    TEST(lists_of_workers);
    TEST(settings_of_the_platform);
    TEST(unreadable_settings_are_refused);
#undef TEST
}
