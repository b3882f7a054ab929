#include "demo_plan.h"

#include <jansson.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <xxhash.h>

enum {
    TASKS_MAX = 12,      /* in a job of the demo */
    RUN_MS_LEAST = 20,   /* of most tasks */
    RUN_MS_SPREAD = 230, /* above the least */
    RUN_MS_LONG = 900,   /* of one task in LONG_EVERY */
    LONG_EVERY = 50,
    FAIL_EVERY = 40, /* tasks that run and fail by their own fault */
    BARE_EVERY = 7,  /* jobs that bring a key of their own */
};

static uint64_t
draw(const struct demo_job *job, uint32_t task, uint32_t what)
{
    uint64_t parts[] = {job->number, task, what};

    return XXH3_64bits_withSeed(parts, sizeof(parts), job->seed);
}

static enum demo_kind
kind_of(uint32_t number)
{
    switch (number % 100) {
    case 7:
    case 57:
        return DEMO_CANCEL_DURING;
    case 14:
        return DEMO_CANCEL_BEFORE;
    case 32:
        return DEMO_NEVER_FITS;
    case 67:
        return DEMO_CONFLICT;
    default:
        break;
    }
    switch (number % 5) {
    case 1:
        return DEMO_RESUBMIT_DURING;
    case 3:
        return DEMO_RESUBMIT_AFTER;
    default:
        return DEMO_PLAIN;
    }
}

struct demo_job
demo_job_plan(uint64_t seed, uint32_t number, const char *service)
{
    struct demo_job job = {.seed = seed,
                           .number = number,
                           .kind = kind_of(number),
                           .service = service};

    job.n_tasks = 1 + (uint32_t)(draw(&job, 0, 0) % TASKS_MAX);
    return job;
}

static bool
task_fails(const struct demo_job *job, uint32_t task)
{
    return draw(job, task, 1) % FAIL_EVERY == 0;
}

static int
task_run_ms(const struct demo_job *job, uint32_t task)
{
    if (draw(job, task, 2) % LONG_EVERY == 0) {
        return RUN_MS_LONG;
    }
    return RUN_MS_LEAST + (int)(draw(job, task, 3) % RUN_MS_SPREAD);
}

static json_t *
task_echo(const struct demo_job *job, uint32_t task)
{
    return json_pack("{s:I, s:I, s:I}", "job", (json_int_t)job->number, "task",
                     (json_int_t)task, "word",
                     (json_int_t)(draw(job, task, 4) >> 2));
}

static json_t *
task_json(const struct demo_job *job, uint32_t task, bool other)
{
    json_t *payload = json_pack(
        "{s:i, s:o, s:b}", "run_ms", task_run_ms(job, task) + (other ? 1 : 0),
        "echo", task_echo(job, task), "fail", (int)task_fails(job, task));
    json_t *json = json_pack("{s:o, s:f, s:i}", "payload", payload, "cpus",
                             0.5, "run_ms", task_run_ms(job, task));

    if (job->kind == DEMO_NEVER_FITS) {
        (void)json_object_set_new(json, "cpus", json_real(1000));
    }
    return json;
}

char *
demo_job_body(const struct demo_job *job, bool other)
{
    json_t *tasks = json_array();
    json_t *json;
    char *text;

    for (uint32_t i = 0; i < job->n_tasks; i++) {
        (void)json_array_append_new(tasks, task_json(job, i, other));
    }
    json = json_pack("{s:s, s:i, s:o}", "service", job->service, "deadline_ms",
                     10000, "tasks", tasks);
    text = json_dumps(json, JSON_COMPACT);
    json_decref(json);
    return text;
}

bool
demo_job_key(const struct demo_job *job, char key[KEY_TEXT_SIZE])
{
    if (job->number % BARE_EVERY != 0) {
        return false;
    }
    (void)snprintf(key, KEY_TEXT_SIZE, "order-%llx-%u",
                   (unsigned long long)job->seed, job->number);
    return true;
}

static bool
read_state(const json_t *task, enum task_state *out)
{
    static const char *const words[] = {[TASK_NOT_RUN] = "not_run",
                                        [TASK_RAN] = "ran",
                                        [TASK_UNKNOWN] = "unknown"};
    const char *word = json_string_value(json_object_get(task, "state"));

    for (size_t i = 0; word != NULL && i < 3; i++) {
        if (strcmp(word, words[i]) == 0) {
            *out = (enum task_state)i;
            return true;
        }
    }
    return false;
}

static bool
echo_right(const struct demo_job *job, uint32_t i, const json_t *result)
{
    json_t *want = task_echo(job, i);
    bool right = json_equal(json_object_get(result, "echo"), want) == 1;

    json_decref(want);
    return right;
}

/* A complete answer has every task with its own result; a failed one has none,
 * since a caller could mistake some results for all of them. */
static void
check_task(const struct demo_job *job, const json_t *task, uint32_t i,
           struct demo_answer *out)
{
    const json_t *result = json_object_get(task, "result");

    if (!read_state(task, &out->states[i])) {
        out->partial = true;
        return;
    }
    out->ok[i] = json_is_true(json_object_get(task, "ok"));
    if (!out->complete) {
        out->partial |= result != NULL;
        return;
    }
    out->partial |= out->states[i] != TASK_RAN || result == NULL;
    out->wrong |= result != NULL && !echo_right(job, i, result);
}

void
demo_answer_read(const struct demo_job *job, const char *body, size_t size,
                 struct demo_answer *out)
{
    json_t *json = json_loadb(body, size, 0, NULL);
    const char *status = json_string_value(json_object_get(json, "status"));
    const char *reason = json_string_value(json_object_get(json, "reason"));
    const json_t *tasks = json_object_get(json, "tasks");

    memset(out, 0, sizeof(*out));
    out->complete = status != NULL && strcmp(status, "complete") == 0;
    out->there =
        out->complete || (status != NULL && strcmp(status, "failed") == 0);
    if (reason != NULL) {
        (void)snprintf(out->reason, sizeof(out->reason), "%s", reason);
    }
    if (out->there) {
        out->n_tasks = (uint32_t)json_array_size(tasks);
        /* A cancel that came first knows no tasks of the job. */
        out->partial = out->n_tasks != job->n_tasks &&
                       (out->complete || out->n_tasks != 0);
        for (uint32_t i = 0; !out->partial && i < out->n_tasks; i++) {
            check_task(job, json_array_get(tasks, i), i, out);
        }
    }
    json_decref(json);
}
