/* Bodies of requests, refused by data file or read; answers. */
#include "jsonjob.h"

#include <jansson.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "check.h"

enum { LINE_SIZE = 1024 };

static void
check_refused(char *line)
{
    struct json_refusal why = {.problem = PROBLEM_INTERNAL};
    char *detail = strstr(line, " | ");
    char *body = strstr(detail + 3, " | ");
    struct job_spec *spec;

    *detail = '\0';
    *body = '\0';
    detail += 3;
    body += 3;
    spec = jsonjob_read(body, strlen(body), &why);
    CU_ASSERT_PTR_NULL(spec);
    job_spec_free(spec);
    if (strcmp(problem_slug(why.problem), line) != 0 ||
        strstr(why.detail, detail) == NULL) {
        (void)fprintf(stderr, "%s: %s: %s\n", body, problem_slug(why.problem),
                      why.detail);
        CU_FAIL("refused for another reason");
    }
}

/* Callers send bodies that are wrong in many ways, by a fault in their
 * program or on purpose.  Each must learn what is wrong with it, and nothing
 * of it may start. */
static void
jsonjob_refuses_bad_bodies(void)
{
    char path[256];
    char line[LINE_SIZE];
    unsigned int n = 0;
    FILE *f;

    (void)snprintf(path, sizeof(path), "%s/jsonjob/refused.txt",
                   check_data_dir());
    f = fopen(path, "re");
    CU_ASSERT_PTR_NOT_NULL_FATAL(f);
    while (fgets(line, sizeof(line), f) != NULL) {
        line[strcspn(line, "\n")] = '\0';
        if (line[0] != '#') {
            check_refused(line);
            n++;
        }
    }
    (void)fclose(f);
    CU_ASSERT(n > 20);
}

/* Builds a body of @tasks tasks whose payload is @depth arrays deep. */
static char *
make_body(int tasks, int depth)
{
    char *text;
    size_t size;
    FILE *out = open_memstream(&text, &size);

    (void)fputs("{\"service\":\"s\",\"tasks\":[", out);
    for (int i = 0; i < tasks; i++) {
        (void)fputs(i > 0 ? ",{\"payload\":" : "{\"payload\":", out);
        for (int j = 0; j < depth; j++) {
            (void)fputc('[', out);
        }
        for (int j = 0; j < depth; j++) {
            (void)fputc(']', out);
        }
        (void)fputc('}', out);
    }
    (void)fputs("]}", out);
    (void)fclose(out);
    return text;
}

static bool
reads(int tasks, int depth, const char *detail)
{
    struct json_refusal why;
    char *body = make_body(tasks, depth);
    struct job_spec *spec = jsonjob_read(body, strlen(body), &why);
    bool read = spec != NULL;

    if (!read) {
        CU_ASSERT_PTR_NOT_NULL(strstr(why.detail, detail));
    }
    job_spec_free(spec);
    free(body);
    return read;
}

/* Deep nesting costs stack in every program that reads it, the upstream's
 * included; a job of too many tasks costs all others their turn. */
static void
jsonjob_bounds_tasks_and_depth(void)
{
    CU_ASSERT(reads(250, 1, ""));
    CU_ASSERT_FALSE(reads(251, 1, "1 to 250"));
    CU_ASSERT(reads(1, 64, ""));
    CU_ASSERT_FALSE(reads(1, 65, "more than 64 levels"));
    CU_ASSERT_FALSE(reads(1, 5000, "depth"));
}

static void
jsonjob_reads_all_members(void)
{
    static const char body[] =
        "{\"service\":\"camp\",\"deadline_ms\":2000,\"idempotent\":true,"
        "\"tasks\":[{\"payload\":{\"plot\":7},\"cpus\":0.5,\"memory_mb\":256,"
        "\"accelerators\":1,\"run_ms\":200},{\"payload\":null}]}";
    struct json_refusal why;
    struct job_spec *s = jsonjob_read(body, strlen(body), &why);

    CU_ASSERT_PTR_NOT_NULL_FATAL(s);
    CU_ASSERT_STRING_EQUAL(s->service.s, "camp");
    CU_ASSERT_EQUAL(s->deadline_us, 2000000);
    CU_ASSERT(s->idempotent && s->idempotent_given);
    CU_ASSERT_EQUAL(s->n_tasks, 2);
    CU_ASSERT_STRING_EQUAL(s->tasks[0].payload->data, "{\"plot\":7}");
    CU_ASSERT_EQUAL(s->tasks[0].need.cpu_milli, 500);
    CU_ASSERT_EQUAL(s->tasks[0].need.memory_mb, 256);
    CU_ASSERT_EQUAL(s->tasks[0].need.accelerators, 1);
    CU_ASSERT_EQUAL(s->tasks[0].run_us, 200000);
    CU_ASSERT(s->tasks[0].need_given);
    CU_ASSERT_FALSE(s->tasks[1].need_given);
    CU_ASSERT_STRING_EQUAL(s->tasks[1].payload->data, "null");
    job_spec_free(s);
}

static uint64_t
digest(const char *body)
{
    struct json_refusal why;
    struct job_spec *s = jsonjob_read(body, strlen(body), &why);
    uint64_t d = s != NULL ? s->digest : 0;

    job_spec_free(s);
    return d;
}

/* A client resubmits with another JSON library, which orders members and
 * spaces differently.  Taken for another body, the resubmission would be
 * refused; two different bodies taken for one would share an answer. */
static void
jsonjob_digests_canonical_form(void)
{
    uint64_t d = digest("{\"service\":\"s\",\"tasks\":[{\"payload\":1}]}");

    CU_ASSERT_NOT_EQUAL(d, 0);
    CU_ASSERT_EQUAL(
        d, digest("{ \"tasks\": [ {\"payload\": 1} ], \"service\": \"s\"}"));
    CU_ASSERT_NOT_EQUAL(
        d, digest("{\"service\":\"s\",\"tasks\":[{\"payload\":2}]}"));
}

static void
jsonjob_writes_any_result(void)
{
    static const char bytes[] = {'\xff', '\0', 'x'};
    struct job_answer *a = job_answer_new(4);
    char *text;
    size_t size;
    json_t *json;
    json_t *tasks;

    a->status = JOB_COMPLETE;
    a->tasks[0].result = blob_new("{\"n\":1.10}", 10);
    a->tasks[1].result = blob_new("plain", 5);
    a->tasks[2].result = blob_new(bytes, sizeof(bytes));
    text = jsonjob_write_answer("k\"\\", a, &size);
    CU_ASSERT_PTR_NOT_NULL(strstr(text, "{\"n\":1.10}"));
    json = json_loadb(text, size, 0, NULL);
    CU_ASSERT_PTR_NOT_NULL_FATAL(json);
    CU_ASSERT_STRING_EQUAL(json_string_value(json_object_get(json, "key")),
                           "k\"\\");
    tasks = json_object_get(json, "tasks");
    CU_ASSERT_STRING_EQUAL(
        json_string_value(json_object_get(json_array_get(tasks, 1), "result")),
        "plain");
    CU_ASSERT_STRING_EQUAL(
        json_string_value(json_object_get(
            json_object_get(json_array_get(tasks, 2), "result"), "base64")),
        "/wB4");
    CU_ASSERT(
        json_is_null(json_object_get(json_array_get(tasks, 3), "result")));
    json_decref(json);
    free(text);
    a->status = JOB_FAILED;
    text = jsonjob_write_answer("k", a, &size);
    CU_ASSERT_PTR_NULL(strstr(text, "result")); /* never partial */
    free(text);
    job_answer_free(a);
}

void
suite_jsonjob(void)
{
    check_add("jsonjob", "jsonjob_refuses_bad_bodies",
              jsonjob_refuses_bad_bodies);
    check_add("jsonjob", "jsonjob_bounds_tasks_and_depth",
              jsonjob_bounds_tasks_and_depth);
    check_add("jsonjob", "jsonjob_reads_all_members",
              jsonjob_reads_all_members);
    check_add("jsonjob", "jsonjob_digests_canonical_form",
              jsonjob_digests_canonical_form);
    check_add("jsonjob", "jsonjob_writes_any_result",
              jsonjob_writes_any_result);
}
