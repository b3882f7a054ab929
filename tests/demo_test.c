/* The demo's own checks: each must be able to fail. */
#include <jansson.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <unistd.h>

#include "check.h"
#include "demo_plan.h"
#include "demo_record.h"
#include "demo_watch.h"
#include "fake_record.h"

enum { SEED = 7, NUMBER = 10, PATH_SIZE = 256 };

/* The right answer to a job, from its own body. */
static json_t *
right_answer(const struct demo_job *job)
{
    char *body = demo_job_body(job, false);
    json_t *sent = json_loads(body, 0, NULL);
    json_t *tasks = json_array();
    size_t i;
    json_t *task;

    json_array_foreach(json_object_get(sent, "tasks"), i, task)
    {
        json_t *echo =
            json_object_get(json_object_get(task, "payload"), "echo");

        (void)json_array_append_new(tasks, json_pack("{s:s, s:b, s:{s:O}}",
                                                     "state", "ran", "ok", 1,
                                                     "result", "echo", echo));
    }
    json_decref(sent);
    free(body);
    return json_pack("{s:s, s:s, s:o}", "status", "complete", "reason",
                     "completed", "tasks", tasks);
}

static struct demo_answer
read_answer(const struct demo_job *job, const json_t *answer)
{
    struct demo_answer out;
    char *text = json_dumps(answer, 0);

    demo_answer_read(job, text, strlen(text), &out);
    free(text);
    return out;
}

static struct demo_job
job_of(uint32_t number)
{
    return demo_job_plan(SEED, number, "s");
}

static void
demo_accepts_right_answers(void)
{
    struct demo_job job = job_of(NUMBER);
    json_t *answer = right_answer(&job);
    struct demo_answer read = read_answer(&job, answer);

    CU_ASSERT_TRUE(read.there && read.complete);
    CU_ASSERT_FALSE(read.partial || read.wrong);
    CU_ASSERT_EQUAL(read.n_tasks, job.n_tasks);
    json_decref(answer);
}

/* An answer stops after some of its tasks, or carries a result in a failed
 * one: a caller would take part of the answer for all of it. */
static void
demo_notices_partial_answers(void)
{
    struct demo_job job = job_of(NUMBER);
    json_t *answer = right_answer(&job);
    json_t *tasks = json_object_get(answer, "tasks");

    (void)json_object_set_new(answer, "status", json_string("failed"));
    CU_ASSERT_TRUE(read_answer(&job, answer).partial);
    (void)json_object_set_new(answer, "status", json_string("complete"));
    (void)json_object_del(json_array_get(tasks, 0), "result");
    CU_ASSERT_TRUE(read_answer(&job, answer).partial);
    (void)json_array_remove(tasks, 0);
    CU_ASSERT_TRUE(read_answer(&job, answer).partial);
    json_decref(answer);
}

/* Two callers' answers are swapped: each would see the other one's plot. */
static void
demo_notices_swapped_answers(void)
{
    struct demo_job job = job_of(NUMBER);
    struct demo_job other = job_of(NUMBER + 1);
    json_t *answer;

    other.n_tasks = job.n_tasks;
    answer = right_answer(&other);
    CU_ASSERT_TRUE(read_answer(&job, answer).wrong);
    json_decref(answer);
}

/* A task is started at two upstreams, and a third one leaves with a task
 * unfinished. */
static void
demo_counts_starts_over_all_records(void)
{
    char dir[] = "/tmp/bm-demo-XXXXXX";
    char paths[2][PATH_SIZE];
    struct demo_records r;
    char task[64];
    char hex[33];

    CU_ASSERT_PTR_NOT_NULL_FATAL(mkdtemp(dir));
    key_id_format(key_id_of("key"), hex);
    (void)snprintf(task, sizeof(task), "%s-0", hex);
    for (int i = 0; i < 2; i++) {
        int fd;

        (void)snprintf(paths[i], PATH_SIZE, "%s/u%d.record", dir, i);
        fd = fake_record_open(paths[i]);
        fake_record_write(fd, 1, FAKE_EVENT_START, task, 1, NULL);
        if (i == 0) {
            fake_record_write(fd, 2, FAKE_EVENT_END, task, 1, "ok");
        }
        fake_record_write(fd, 3, FAKE_EVENT_LEAVE, NULL, 1, NULL);
        (void)close(fd);
    }
    demo_records_init(&r);
    CU_ASSERT_TRUE(demo_records_read(&r, dir));
    CU_ASSERT_EQUAL(r.files, 2);
    CU_ASSERT_EQUAL(r.started_twice, 1);
    CU_ASSERT_EQUAL(r.cut_off, 1);
    CU_ASSERT_EQUAL(r.bad_lines, 0);
    CU_ASSERT_PTR_NOT_NULL(demo_records_task(&r, "key", 0));
    CU_ASSERT_PTR_NULL(demo_records_task(&r, "key", 1));
    demo_records_clear(&r);
    for (int i = 0; i < 2; i++) {
        (void)unlink(paths[i]);
    }
    (void)rmdir(dir);
}

static void
demo_reads_metrics(void)
{
    uint64_t value = 0;

    CU_ASSERT_TRUE(demo_watch_read("# TYPE boragemoor_held gauge\n"
                                   "boragemoor_held 3\n",
                                   "held", &value));
    CU_ASSERT_EQUAL(value, 3);
    CU_ASSERT_FALSE(
        demo_watch_read("\nboragemoor_held_x 3\n", "held", &value));
}

void
suite_demo(void)
{
    check_add("demo", "demo_accepts_right_answers",
              demo_accepts_right_answers);
    check_add("demo", "demo_notices_partial_answers",
              demo_notices_partial_answers);
    check_add("demo", "demo_notices_swapped_answers",
              demo_notices_swapped_answers);
    check_add("demo", "demo_counts_starts_over_all_records",
              demo_counts_starts_over_all_records);
    check_add("demo", "demo_reads_metrics", demo_reads_metrics);
}
