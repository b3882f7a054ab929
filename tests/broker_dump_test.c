/* The dump of a broker, in a virtual region in overload. */
#include "broker_dump.h"

#include <jansson.h>
#include <stdlib.h>
#include <string.h>

#include "check.h"
#include "vlease.h"

#define SEC USEC_PER_SEC
#define READY_US (6 * SEC) /* upstreams are known and held by then */

enum { ZONE_BROKERS = 3, ZONE_UPSTREAMS = 8, DOWN = 2, LEAVING = 1 };

static struct vlease *
overloaded_region(void)
{
    struct vlease_options o = vlease_options_default();
    struct vlease *v;

    o.brokers = ZONE_BROKERS;
    o.queues[0].per_s = 400;
    o.without[BROKER_FEATURE_URGENT_RESERVE] = true;
    v = vlease_new(&o);
    vlease_run(v, READY_US);
    vlease_trouble(v, LEAVING, VLEASE_LEAVING);
    vlease_kill(v, DOWN);
    vlease_load(v, 1);
    vlease_run(v, READY_US + 2 * SEC);
    return v;
}

static json_t *
dump_of(const struct vlease *v, uint32_t broker)
{
    char *text = broker_dump_json(vlease_broker(v, broker));
    json_t *root;

    CU_ASSERT_PTR_NULL(strchr(text, '\n'));
    root = json_loads(text, 0, NULL);
    CU_ASSERT_PTR_NOT_NULL_FATAL(root);
    free(text);
    return root;
}

/* The element of a list whose member @key is @value, or NULL. */
static json_t *
element(const json_t *root, const char *list, const char *key,
        const char *value)
{
    size_t i;
    json_t *o;

    json_array_foreach(json_object_get(root, list), i, o)
    {
        if (strcmp(json_string_value(json_object_get(o, key)), value) == 0) {
            return o;
        }
    }
    return NULL;
}

static json_int_t
int_of(const json_t *o, const char *key)
{
    return json_integer_value(json_object_get(o, key));
}

static const char *
text_of(const json_t *o, const char *key)
{
    return json_string_value(json_object_get(o, key));
}

/* Guards against a dump that does not answer who holds the upstreams: the
 * broker asked must know it, whether it is a holder or not. */
static void
dump_shows_peers_and_holders(void)
{
    struct vlease *v = overloaded_region();

    for (uint32_t broker = 0; broker < 2; broker++) {
        json_t *root = dump_of(v, broker);
        json_t *holder = element(root, "holders", "name", "b0a");

        CU_ASSERT_STRING_EQUAL(
            text_of(element(root, "peers", "name", "b2a"), "state"), "down");
        CU_ASSERT_STRING_EQUAL(
            text_of(element(root, "peers", "name", "b0b"), "state"), "up");
        CU_ASSERT_TRUE(json_is_true(json_object_get(
            element(root, "peers", "name", "r0a"), "registry")));
        CU_ASSERT_EQUAL(int_of(holder, "upstreams"), ZONE_UPSTREAMS);
        CU_ASSERT_TRUE(json_is_true(json_object_get(holder, "assigned")));
        CU_ASSERT_EQUAL(
            int_of(element(root, "holders", "name", "b1a"), "upstreams"), 0);
        json_decref(root);
    }
    vlease_free(v);
}

/* Guards against upstreams without work, or queues that wait, that the dump
 * does not tell from others. */
static void
dump_shows_upstreams_and_queues(void)
{
    struct vlease *v = overloaded_region();
    json_t *root = dump_of(v, 0);
    json_t *upstream = element(root, "upstreams", "name", "up0");
    json_t *service = element(root, "services", "name", "service");
    json_t *queue = element(service, "queues", "name", "q0");

    CU_ASSERT_STRING_EQUAL(text_of(upstream, "holder"), "b0a");
    CU_ASSERT_STRING_EQUAL(text_of(upstream, "state"), "open");
    CU_ASSERT_TRUE(int_of(upstream, "used_cpu_milli") > 0);
    CU_ASSERT_TRUE(int_of(upstream, "used_cpu_milli") <=
                   int_of(upstream, "cpu_milli"));
    CU_ASSERT_TRUE(json_is_true(json_object_get(
        element(root, "upstreams", "name", "up1"), "leaving")));
    CU_ASSERT_TRUE(int_of(queue, "waiting_jobs") > 0);
    CU_ASSERT_EQUAL(int_of(queue, "waiting_jobs"),
                    int_of(service, "waiting_jobs"));
    CU_ASSERT_TRUE(json_real_value(json_object_get(queue, "demand_milli")) >
                   0);
    CU_ASSERT_STRING_EQUAL(json_string_value(json_array_get(
                               json_object_get(root, "disabled"), 0)),
                           "URGENT_RESERVE");
    json_decref(root);
    vlease_free(v);
}

static void
metrics_show_holders_and_queues(void)
{
    struct vlease *v = overloaded_region();
    char *text = NULL;
    size_t size;
    FILE *out = open_memstream(&text, &size);

    CU_ASSERT_PTR_NOT_NULL_FATAL(out);
    broker_dump_metrics(out, vlease_broker(v, 1));
    (void)fclose(out);
    CU_ASSERT_PTR_NOT_NULL(strstr(
        text, "\nboragemoor_broker_holder_upstreams{holder=\"b0a\"} 8\n"));
    free(text);
    out = open_memstream(&text, &size);
    broker_dump_metrics(out, vlease_broker(v, 0));
    (void)fclose(out);
    CU_ASSERT_PTR_NOT_NULL(
        strstr(text, "\nboragemoor_broker_queue_waiting_jobs{service=\""
                     "service\",queue=\"q0\"} "));
    free(text);
    vlease_free(v);
}

void
suite_broker_dump(void)
{
#define TEST(name) check_add("broker_dump", #name, name)
    TEST(dump_shows_peers_and_holders);
    TEST(dump_shows_upstreams_and_queues);
    TEST(metrics_show_holders_and_queues);
#undef TEST
}
