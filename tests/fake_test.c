/* The stand-in for an upstream: a check from outside is worth no more than
 * the stand-in's own decisions. */
#include <string.h>

#include "check.h"
#include "fake.h"

#define TASK "0123456789abcdef0123456789abcdef-0"
#define OTHER "0123456789abcdef0123456789abcdef-1"

enum { LIFE = 9 };

static struct fake *
held(uint32_t slots)
{
    struct fake *f = fake_new(name_of("u"), LIFE, slots);

    CU_ASSERT_TRUE(fake_lease(f, name_of("e1"), 5, LIFE));
    return f;
}

/* The holder is paused, another takes over, and the first one's start arrives
 * late.  If it ran, the task would run at two holders' orders, and a slot
 * would be granted twice. */
static void
fake_refuses_stale_epochs(void)
{
    struct fake *f = held(8);

    CU_ASSERT_TRUE(fake_lease(f, name_of("e1"), 5, LIFE));
    CU_ASSERT_FALSE(fake_lease(f, name_of("e2"), 5, LIFE));
    CU_ASSERT_TRUE(fake_lease(f, name_of("e2"), 6, LIFE));
    CU_ASSERT_FALSE(fake_lease(f, name_of("e1"), 5, LIFE));
    CU_ASSERT_FALSE(fake_lease(f, name_of("e1"), 7, LIFE - 1));
    CU_ASSERT_EQUAL(fake_start_task(f, TASK, 5, LIFE).verdict, FAKE_STALE);
    CU_ASSERT_EQUAL(fake_start_task(f, TASK, 6, LIFE - 1).verdict, FAKE_STALE);
    CU_ASSERT_EQUAL(fake_start_task(f, TASK, 6, LIFE).verdict, FAKE_STARTED);
    CU_ASSERT_EQUAL(fake_epoch(f), 6);
    fake_free(f);
}

/* A start is under way when somebody asks for its task and is told that it
 * never ran.  If it still ran on arrival, the caller would have been told
 * "not run" for something that did. */
static void
fake_keeps_its_word(void)
{
    struct fake *f = held(8);

    CU_ASSERT_STRING_EQUAL(fake_ask(f, TASK, LIFE).state, "never");
    CU_ASSERT_EQUAL(fake_start_task(f, TASK, 5, LIFE).verdict, FAKE_REVOKED);
    CU_ASSERT_EQUAL(fake_start_task(f, OTHER, 5, LIFE).verdict, FAKE_STARTED);
    CU_ASSERT_STRING_EQUAL(fake_ask(f, OTHER, LIFE).state, "running");
    fake_end_task(f, OTHER, false, json_true());
    CU_ASSERT_STRING_EQUAL(fake_ask(f, OTHER, LIFE).state, "done");
    CU_ASSERT_FALSE(fake_ask(f, OTHER, LIFE).ok);
    CU_ASSERT_PTR_NULL(fake_ask(f, OTHER, LIFE + 1).state);
    CU_ASSERT_EQUAL(fake_stats(f).revoked, 1);
    fake_free(f);
}

/* The dispatcher sends one task twice.  The stand-in must run it twice: if it
 * hid the second start, the check for double starts could never fail. */
static void
fake_does_not_hide_double_starts(void)
{
    struct fake *f = held(1);

    CU_ASSERT_EQUAL(fake_start_task(f, TASK, 5, LIFE).verdict, FAKE_STARTED);
    CU_ASSERT_EQUAL(fake_start_task(f, TASK, 5, LIFE).verdict, FAKE_FULL);
    fake_end_task(f, TASK, true, json_true());
    CU_ASSERT_EQUAL(fake_start_task(f, TASK, 5, LIFE).verdict, FAKE_STARTED);
    CU_ASSERT_EQUAL(fake_stats(f).started, 2);
    fake_leave(f);
    CU_ASSERT_EQUAL(fake_start_task(f, OTHER, 5, LIFE).verdict, FAKE_LEAVING);
    fake_free(f);
}

static struct fake_faults
faults_of(const char *text, bool *good)
{
    struct fake_faults faults = fake_faults_default();
    json_t *json = json_loads(text, 0, NULL);

    *good = fake_faults_parse(json, &faults) == NULL;
    json_decref(json);
    return faults;
}

static void
fake_faults_strike(void)
{
    struct fake *f = held(8);
    struct fake_faults faults;
    struct fake_start start;
    struct fake_work work;
    bool good;

    faults = faults_of("{\"silent\":\"before\",\"every\":2,\"die_at\":3,"
                       "\"slow\":2.5,\"fail\":true}",
                       &good);
    CU_ASSERT_TRUE(good);
    fake_set_faults(f, &faults);
    CU_ASSERT_EQUAL(fake_start_task(f, TASK, 5, LIFE).verdict, FAKE_STARTED);
    CU_ASSERT_EQUAL(fake_start_task(f, OTHER, 5, LIFE).verdict,
                    FAKE_FORGOTTEN);
    CU_ASSERT_STRING_EQUAL(fake_ask(f, OTHER, LIFE).state, "never");
    start = fake_start_task(f, TASK, 5, LIFE);
    CU_ASSERT_TRUE(start.die);
    CU_ASSERT_EQUAL(start.silence, FAKE_SILENT_NONE);
    work = fake_work_parse(f, "{\"run_ms\":10,\"echo\":7}", 22);
    CU_ASSERT_EQUAL(work.run_us, 25000);
    CU_ASSERT_TRUE(work.fail);
    CU_ASSERT_EQUAL(json_integer_value(work.echo), 7);
    json_decref(work.echo);
    (void)faults_of("{\"slow\":0}", &good);
    CU_ASSERT_FALSE(good);
    (void)faults_of("{\"colour\":1}", &good);
    CU_ASSERT_FALSE(good);
    (void)faults_of("[]", &good);
    CU_ASSERT_FALSE(good);
    fake_free(f);
}

void
suite_fake(void)
{
    check_add("fake", "fake_refuses_stale_epochs", fake_refuses_stale_epochs);
    check_add("fake", "fake_keeps_its_word", fake_keeps_its_word);
    check_add("fake", "fake_does_not_hide_double_starts",
              fake_does_not_hide_double_starts);
    check_add("fake", "fake_faults_strike", fake_faults_strike);
}
