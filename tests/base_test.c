/* Tables, maps and the wire format. */
#include <string.h>

#include "base.h"
#include "check.h"
#include "map.h"
#include "table.h"
#include "wire.h"

static void
table_handles_expire(void)
{
    struct table t;
    struct handle first;
    struct handle second;
    int *place;

    table_init(&t, sizeof(int));
    place = table_add(&t, &first);
    *place = 7;
    CU_ASSERT_PTR_EQUAL(table_get(&t, first), place);
    table_remove(&t, first);
    CU_ASSERT_PTR_NULL(table_get(&t, first));
    CU_ASSERT_PTR_EQUAL(table_add(&t, &second), place);
    CU_ASSERT_PTR_NULL(table_get(&t, first));
    CU_ASSERT_EQUAL(*place, 0);
    table_clear(&t);
}

static void
map_finds_by_leading_key(void)
{
    struct element {
        struct name name;
        int value;
    } a = {name_of("a"), 1}, b = {name_of("b"), 2};
    struct name c = name_of("c");
    struct map m;

    map_init(&m, MAP_NAME);
    map_put(&m, &a);
    map_put(&m, &b);
    CU_ASSERT_PTR_EQUAL(map_get(&m, &b.name), &b);
    CU_ASSERT_PTR_NULL(map_get(&m, &c));
    CU_ASSERT_PTR_EQUAL(map_remove(&m, &a.name), &a);
    CU_ASSERT_EQUAL(map_count(&m), 1);
    map_clear(&m);
}

static struct msg
sample_heartbeat(void)
{
    struct msg m = {.kind = MSG_HEARTBEAT};

    m.u.heartbeat.incarnation = 9;
    m.u.heartbeat.n_loads = 1;
    m.u.heartbeat.loads = calloc(1, sizeof(struct rec_load));
    m.u.heartbeat.loads[0].service = name_of("camp");
    m.u.heartbeat.loads[0].backlog = 70000;
    return m;
}

static void
wire_round_trip(void)
{
    struct msg m = sample_heartbeat();
    struct msg back;
    msgpack_sbuffer buffer;

    msgpack_sbuffer_init(&buffer);
    CU_ASSERT_EQUAL(wire_encode(&m, &buffer), WIRE_OK);
    CU_ASSERT_EQUAL(wire_decode(buffer.data, buffer.size, &back), WIRE_OK);
    CU_ASSERT_EQUAL(back.u.heartbeat.incarnation, 9);
    CU_ASSERT_EQUAL(back.u.heartbeat.n_loads, 1);
    CU_ASSERT_EQUAL(back.u.heartbeat.loads[0].backlog, 70000);
    CU_ASSERT_STRING_EQUAL(back.u.heartbeat.loads[0].service.s, "camp");
    msg_free(&back);
    msg_free(&m);
    msgpack_sbuffer_destroy(&buffer);
}

/* A peer of another version, or somebody who is no peer at all, sends bytes
 * that stop early or hold other types.  If they were read as a message, the
 * reducer would act on fields nobody sent. */
static void
wire_refuses_cut_frames(void)
{
    struct msg m = sample_heartbeat();
    struct msg back;
    msgpack_sbuffer buffer;

    msgpack_sbuffer_init(&buffer);
    CU_ASSERT_EQUAL(wire_encode(&m, &buffer), WIRE_OK);
    for (size_t n = 0; n < buffer.size; n++) {
        CU_ASSERT_NOT_EQUAL(wire_decode(buffer.data, n, &back), WIRE_OK);
    }
    buffer.data[1] = (char)0x7f;
    CU_ASSERT_EQUAL(wire_decode(buffer.data, buffer.size, &back),
                    WIRE_UNKNOWN);
    msg_free(&m);
    msgpack_sbuffer_destroy(&buffer);
}

/* A few bytes say that an array of billions follows.  msgpack-c would take
 * memory for all of it at once, and the process would be killed. */
static void
wire_refuses_arrays_that_cannot_be(void)
{
    static const struct {
        const char *bytes;
        size_t size;
        enum wire_error error;
    } cases[] = {
        {"\xdd\xff\xff\xff\xff", 5, WIRE_TOO_LARGE},
        {"\x92\x00\xdd\x00\x00\xff\xff", 7, WIRE_MALFORMED},
        {"\x92\xdc\xff\xff", 4, WIRE_MALFORMED},
        {"\x92\x00\xdf\x7f\xff\xff\xff", 7, WIRE_MALFORMED},
        {"\xc6\xff\xff\xff\xff", 5, WIRE_MALFORMED},
        {"\xc9\xff\xff\xff\xff", 5, WIRE_MALFORMED},
        {"\x9f", 1, WIRE_MALFORMED},
        {"", 0, WIRE_MALFORMED},
    };
    struct msg m;

    for (size_t i = 0; i < sizeof(cases) / sizeof(cases[0]); i++) {
        CU_ASSERT_EQUAL(wire_decode(cases[i].bytes, cases[i].size, &m),
                        cases[i].error);
    }
}

void
suite_base(void)
{
    check_add("base", "table_handles_expire", table_handles_expire);
    check_add("base", "map_finds_by_leading_key", map_finds_by_leading_key);
    check_add("base", "wire_round_trip", wire_round_trip);
    check_add("base", "wire_refuses_cut_frames", wire_refuses_cut_frames);
    check_add("base", "wire_refuses_arrays_that_cannot_be",
              wire_refuses_arrays_that_cannot_be);
}
