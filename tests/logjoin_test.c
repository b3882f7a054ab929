/* The story of a job, from the logs of processes whose clocks differ. */
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "check.h"
#include "logjoin.h"

#define LINE(at, who, why, rest)                                              \
    "{\"time\":\"2026-01-02T03:04:" at "Z\",\"instance\":\"" who              \
    "\",\"incarnation\":7,\"reason\":\"" why "\"" rest "}\n"
#define OF(key) ",\"key\":\"" key "\""
#define ABOUT(subject) ",\"subject\":\"" subject "\""
#define SAYS(detail) ",\"detail\":\"" detail "\""

static void
take(struct logjoin *j, const char *text)
{
    FILE *f = fmemopen((void *)text, strlen(text), "r");

    CU_ASSERT_PTR_NOT_NULL_FATAL(f);
    CU_ASSERT_TRUE(logjoin_read(j, f));
    (void)fclose(f);
}

/* Reasons of a job's story, with the writers' names. */
static char *
story(const struct logjoin *j, const char *key)
{
    const struct logjoin_line **lines;
    size_t n = logjoin_explain(j, key, 1000000, &lines);
    char *text = NULL;
    size_t size = 0;
    FILE *f = open_memstream(&text, &size);

    CU_ASSERT_PTR_NOT_NULL_FATAL(f);
    for (size_t i = 0; i < n; i++) {
        (void)fprintf(f, "%s %s\n", lines[i]->instance, lines[i]->reason);
    }
    (void)fclose(f);
    free(lines);
    return text;
}

static void
expect_story(const struct logjoin *j, const char *key, const char *expected)
{
    char *text = story(j, key);

    CU_ASSERT_STRING_EQUAL(text, expected);
    free(text);
}

/* The runner's clock is 20 s behind: by times alone its last word would stand
 * before the job was offered to it. */
static void
order_follows_cause_not_clocks(void)
{
    struct logjoin j = {0};

    take(&j, LINE("25.100000", "e1", "job-taken", OF("aa"))
                 LINE("25.101000", "e1", "job-offered", OF("aa"))
                     LINE("25.300000", "e1", "job-ended", OF("aa")));
    take(&j, LINE("05.150000", "e2", "job-accepted", OF("aa"))
                 LINE("05.250000", "e2", "run-stalled", OF("aa")));
    expect_story(&j, "aa",
                 "e1 job-taken\ne1 job-offered\ne2 job-accepted\n"
                 "e2 run-stalled\ne1 job-ended\n");
    logjoin_free(&j);
}

/* The runner's clock is ahead: its acceptance bears a later time than the
 * caller's answer. */
static void
acceptance_comes_before_the_end(void)
{
    struct logjoin j = {0};

    take(&j, LINE("05.300000", "e1", "job-ended", OF("aa")));
    take(&j, LINE("25.150000", "e2", "job-accepted", OF("aa")));
    expect_story(&j, "aa", "e2 job-accepted\ne1 job-ended\n");
    logjoin_free(&j);
}

static void
a_story_has_what_befell_its_processes(void)
{
    struct logjoin j = {0};

    take(&j,
         "12.5 e1 " LINE("10.000000", "e1", "job-accepted", OF("aa")) LINE(
             "10.100000", "e1", "upstream-mute",
             ABOUT("u1")) LINE("10.150000", "e1", "upstream-mute", ABOUT("u2"))
             LINE("10.200000", "e1", "process-was-paused", "")
                 LINE("10.300000", "e1", "run-settled", OF("aa") ABOUT("u1"))
                     LINE("10.400000", "e1", "job-accepted", OF("bb")) LINE(
                         "14.000000", "e1", "upstream-back", ABOUT("u1"))
                         LINE("10.300000", "e3", "process-was-paused", ""));
    expect_story(&j, "aa",
                 "e1 job-accepted\ne1 upstream-mute\n"
                 "e1 process-was-paused\ne1 run-settled\n");
    expect_story(&j, "cc", "");
    logjoin_free(&j);
}

/* The peer that a job's end names was seen to die by the same process. */
static void
a_story_has_the_death_of_its_runner(void)
{
    struct logjoin j = {0};

    take(&j, LINE("10.000000", "e1", "peer-down", ABOUT("10.0.0.2"))
                 LINE("10.010000", "e1", "peer-down", ABOUT("10.0.0.3"))
                     LINE("10.500000", "e1", "runner-lost",
                          OF("aa") SAYS("lost; queue q, runner 10.0.0.2")));
    expect_story(&j, "aa", "e1 peer-down\ne1 runner-lost\n");
    logjoin_free(&j);
}

static void
only_ends_that_failed_are_listed(void)
{
    struct logjoin j = {0};
    const struct logjoin_line **lines;

    take(&j, LINE("10.000000", "e1", "job-ended",
                  OF("aa") SAYS("completed; queue q, runner r"))
                 LINE("10.100000", "e1", "queue-full",
                      OF("bb") SAYS("refused; queue q, runner r"))
                     LINE("10.100000", "e2", "queue-full",
                          OF("bb") SAYS("9 tasks wait"))
                         LINE("10.200000", "e1", "runner-lost",
                              OF("cc") SAYS("lost; queue q, runner r")));
    CU_ASSERT_EQUAL_FATAL(logjoin_failed(&j, &lines), 2);
    CU_ASSERT_STRING_EQUAL(lines[0]->key, "bb");
    CU_ASSERT_STRING_EQUAL(lines[1]->key, "cc");
    free(lines);
    logjoin_free(&j);
}

static void
what_is_no_record_is_counted(void)
{
    struct logjoin j = {0};

    take(&j, "no brace\n{\"reason\":7}\n{\"broken\n{}\n\n" LINE(
                 "10.000000", "e1", "serving", ""));
    CU_ASSERT_EQUAL(j.n, 1);
    CU_ASSERT_EQUAL(j.n_skipped, 5);
    logjoin_free(&j);
}

void
suite_logjoin(void)
{
    check_add("logjoin", "order_follows_cause_not_clocks",
              order_follows_cause_not_clocks);
    check_add("logjoin", "acceptance_comes_before_the_end",
              acceptance_comes_before_the_end);
    check_add("logjoin", "a_story_has_what_befell_its_processes",
              a_story_has_what_befell_its_processes);
    check_add("logjoin", "a_story_has_the_death_of_its_runner",
              a_story_has_the_death_of_its_runner);
    check_add("logjoin", "only_ends_that_failed_are_listed",
              only_ends_that_failed_are_listed);
    check_add("logjoin", "what_is_no_record_is_counted",
              what_is_no_record_is_counted);
}
