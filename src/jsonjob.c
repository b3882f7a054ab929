#include "jsonjob.h"

#include <inttypes.h>
#include <jansson.h>
#include <math.h>
#include <sodium.h>
#include <stdarg.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <xxhash.h>

#include "jsontext.h"

enum { PATH_SIZE = 48 };

/* A member that an object may have; those not listed are refused. */
struct member {
    const char *name;
    bool required;
    bool (*read)(const json_t *value, const struct member *m, void *out,
                 struct json_refusal *why, const char *path);
    size_t offset; /* in the struct that is read into */
    int64_t min;   /* of a whole number */
    int64_t max;
};

static bool refuse(struct json_refusal *why, const char *format, ...)
    __attribute__((format(printf, 2, 3)));

static bool
refuse(struct json_refusal *why, const char *format, ...)
{
    va_list args;

    va_start(args, format);
    (void)vsnprintf(why->detail, sizeof(why->detail), format, args);
    va_end(args);
    return false;
}

/* Reads the members in @list into @out; @where is the path of the object. */
static bool
read_members(const json_t *object, const struct member *list, size_t n,
             void *out, struct json_refusal *why, const char *where)
{
    const char *name;
    json_t *value;
    char path[PATH_SIZE];

    if (!json_is_object(object)) {
        return refuse(why, "%s must be an object",
                      where[0] != '\0' ? where : "the body");
    }
    json_object_foreach((json_t *)object, name, value)
    {
        size_t i = 0;

        while (i < n && strcmp(list[i].name, name) != 0) {
            i++;
        }
        (void)snprintf(path, sizeof(path), "%s%s%.20s", where,
                       where[0] != '\0' ? "." : "", name);
        if (i == n) {
            return refuse(why, "unknown member %s", path);
        }
        if (!list[i].read(value, &list[i], (char *)out + list[i].offset, why,
                          path)) {
            return false;
        }
    }
    for (size_t i = 0; i < n; i++) {
        if (list[i].required &&
            json_object_get(object, list[i].name) == NULL) {
            return refuse(why, "%s%s%s is missing", where,
                          where[0] != '\0' ? "." : "", list[i].name);
        }
    }
    return true;
}

#define READ_ARGS                                                             \
    const json_t *value, const struct member *m, void *out,                   \
        struct json_refusal *why, const char *path

static bool
read_whole(const json_t *value, const struct member *m, int64_t *out,
           struct json_refusal *why, const char *path)
{
    *out = json_integer_value(value);
    if (!json_is_integer(value) || *out < m->min || *out > m->max) {
        return refuse(why,
                      "%s must be a whole number from %" PRId64 " to %" PRId64,
                      path, m->min, m->max);
    }
    return true;
}

static bool
read_u32(READ_ARGS)
{
    int64_t n;

    if (!read_whole(value, m, &n, why, path)) {
        return false;
    }
    *(uint32_t *)out = (uint32_t)n;
    return true;
}

static bool
read_u64(READ_ARGS)
{
    int64_t n;

    if (!read_whole(value, m, &n, why, path)) {
        return false;
    }
    *(uint64_t *)out = (uint64_t)n;
    return true;
}

/* Milliseconds in the body, microseconds in memory. */
static bool
read_ms(READ_ARGS)
{
    int64_t ms;

    if (!read_whole(value, m, &ms, why, path)) {
        return false;
    }
    *(int64_t *)out = ms * USEC_PER_MSEC;
    return true;
}

static bool
read_name(READ_ARGS)
{
    const char *text = json_string_value(value);
    size_t n = json_string_length(value);

    (void)m;
    if (text == NULL || n == 0 || n >= NAME_SIZE || strlen(text) != n) {
        return refuse(why, "%s must be a text of 1 to %d bytes", path,
                      NAME_SIZE - 1);
    }
    *(struct name *)out = name_of(text);
    return true;
}

static bool
read_milli(const json_t *value, const struct member *m, uint32_t *out,
           struct json_refusal *why, const char *path)
{
    double cpus = json_number_value(value);

    if (!json_is_number(value) || cpus < (double)m->min ||
        cpus > (double)m->max) {
        return refuse(why, "%s must be a number from %" PRId64 " to %" PRId64,
                      path, m->min, m->max);
    }
    *out = (uint32_t)lround(cpus * 1000);
    return true;
}

static bool
read_cpus(READ_ARGS)
{
    return read_milli(value, m, out, why, path);
}

static bool
read_capacity_cpus(READ_ARGS)
{
    uint32_t milli = 0;

    if (!read_milli(value, m, &milli, why, path)) {
        return false;
    }
    *(uint64_t *)out = milli;
    return true;
}

static size_t
depth_of(const json_t *value)
{
    size_t deepest = 0;
    size_t depth;
    const char *name;
    json_t *child;
    size_t i;

    json_object_foreach((json_t *)value, name, child)
    {
        depth = depth_of(child);
        deepest = depth > deepest ? depth : deepest;
    }
    json_array_foreach((json_t *)value, i, child)
    {
        depth = depth_of(child);
        deepest = depth > deepest ? depth : deepest;
    }
    return deepest + 1;
}

static bool
read_payload(READ_ARGS)
{
    struct blob **payload = out;
    char *text;

    (void)m;
    if (depth_of(value) > JSON_DEPTH_MAX) {
        return refuse(why, "%s has more than %d levels", path, JSON_DEPTH_MAX);
    }
    text = json_dumps(value, JSON_COMPACT | JSON_ENCODE_ANY);
    *payload = text != NULL ? blob_new(text, strlen(text)) : NULL;
    free(text);
    if (*payload == NULL) {
        why->problem = PROBLEM_INTERNAL;
        return refuse(why, "out of memory");
    }
    return true;
}

#define TASK(member) offsetof(struct task_spec, member)

static const struct member task_members[] = {
    {"payload", true, read_payload, TASK(payload), 0, 0},
    {"cpus", false, read_cpus, TASK(need.cpu_milli), 0, JSON_CPUS_MAX},
    {"memory_mb", false, read_u32, TASK(need.memory_mb), 0,
     JSON_MEMORY_MB_MAX},
    {"accelerators", false, read_u32, TASK(need.accelerators), 0,
     JSON_ACCELERATORS_MAX},
    {"run_ms", false, read_ms, TASK(run_us), 1, JSON_RUN_MS_MAX},
};

static bool
read_task(const json_t *value, struct task_spec *task,
          struct json_refusal *why, size_t i)
{
    char path[PATH_SIZE];

    (void)snprintf(path, sizeof(path), "tasks[%zu]", i);
    if (!read_members(value, task_members,
                      sizeof(task_members) / sizeof(task_members[0]), task,
                      why, path)) {
        return false;
    }
    task->need_given = json_object_get(value, "cpus") != NULL ||
                       json_object_get(value, "memory_mb") != NULL ||
                       json_object_get(value, "accelerators") != NULL;
    return true;
}

static bool
read_tasks(READ_ARGS)
{
    struct job_spec *spec = out;

    (void)m;
    if (!json_is_array(value) || json_array_size(value) < 1 ||
        json_array_size(value) > JOB_TASKS_MAX) {
        return refuse(why, "%s must be an array of 1 to %d tasks", path,
                      JOB_TASKS_MAX);
    }
    for (size_t i = 0; i < spec->n_tasks; i++) {
        if (!read_task(json_array_get(value, i), &spec->tasks[i], why, i)) {
            return false;
        }
    }
    return true;
}

static bool
read_idempotent(READ_ARGS)
{
    struct job_spec *spec = out;

    (void)m;
    if (!json_is_boolean(value)) {
        return refuse(why, "%s must be true or false", path);
    }
    spec->idempotent = json_is_true(value);
    spec->idempotent_given = true;
    return true;
}

static const struct member job_members[] = {
    {"service", true, read_name, offsetof(struct job_spec, service), 0, 0},
    {"tasks", true, read_tasks, 0, 0, 0},
    {"deadline_ms", false, read_ms, offsetof(struct job_spec, deadline_us), 1,
     JSON_DEADLINE_MS_MAX},
    {"idempotent", false, read_idempotent, 0, 0, 0},
};

static uint64_t
digest_of(const json_t *body)
{
    char *text = json_dumps(body, JSON_COMPACT | JSON_SORT_KEYS);
    uint64_t digest = text != NULL ? XXH3_64bits(text, strlen(text)) : 0;

    free(text);
    return digest != 0 ? digest : 1;
}

static json_t *
load_body(const char *body, size_t size, struct json_refusal *why)
{
    json_error_t error;
    json_t *json = json_loadb(body, size, JSON_REJECT_DUPLICATES, &error);

    if (json == NULL) {
        why->problem = PROBLEM_NOT_JSON;
        (void)refuse(why, "line %d, column %d: %.100s", error.line,
                     error.column, error.text);
    }
    return json;
}

struct job_spec *
jsonjob_read(const char *body, size_t size, struct json_refusal *why)
{
    json_t *json = load_body(body, size, why);
    struct job_spec *spec;

    if (json == NULL) {
        return NULL;
    }
    why->problem = PROBLEM_BAD_JOB;
    spec = job_spec_new(json_array_size(json_object_get(json, "tasks")));
    if (spec == NULL) {
        why->problem = PROBLEM_INTERNAL;
        (void)refuse(why, "out of memory");
    }
    else if (!read_members(json, job_members,
                           sizeof(job_members) / sizeof(job_members[0]), spec,
                           why, "")) {
        job_spec_free(spec);
        spec = NULL;
    }
    else {
        spec->digest = digest_of(json);
    }
    json_decref(json);
    return spec;
}

static bool
read_url(READ_ARGS)
{
    const char *text = json_string_value(value);

    (void)m;
    if (text == NULL || strncmp(text, "http://", 7) != 0 ||
        strlen(text) >= ADDRESS_SIZE || strpbrk(text + 7, "/@?# ") != NULL) {
        return refuse(why, "%s must be http://IP:PORT", path);
    }
    *(struct address *)out = address_of(text);
    return true;
}

#define INFO(member) offsetof(struct rec_upstream_info, member)

static const struct member upstream_members[] = {
    {"incarnation", true, read_u64, INFO(incarnation), 1, INT64_MAX},
    {"address", true, read_url, INFO(address), 0, 0},
    {"zone", true, read_name, INFO(zone), 0, 0},
    {"rack", false, read_name, INFO(rack), 0, 0},
    {"service", true, read_name, INFO(service), 0, 0},
    {"slots", true, read_u64, INFO(slots), 1, JSON_SLOTS_MAX},
    {"connections", true, read_u64, INFO(connections), 1, JSON_SLOTS_MAX},
    {"cpus", true, read_capacity_cpus, INFO(cpu_milli), 0, JSON_CPUS_MAX},
    {"memory_mb", true, read_u64, INFO(memory_mb), 0, JSON_MEMORY_MB_MAX},
    {"accelerators", false, read_u64, INFO(accelerators), 0,
     JSON_ACCELERATORS_MAX},
    {"busy", false, read_u64, INFO(busy), 0, JSON_SLOTS_MAX},
};

bool
jsonjob_read_upstream(const char *body, size_t size,
                      struct rec_upstream_info *info, struct json_refusal *why)
{
    json_t *json = load_body(body, size, why);
    bool good;

    if (json == NULL) {
        return false;
    }
    why->problem = PROBLEM_BAD_ANNOUNCE;
    good = read_members(json, upstream_members,
                        sizeof(upstream_members) / sizeof(upstream_members[0]),
                        info, why, "");
    json_decref(json);
    return good;
}

static void
write_string(FILE *out, const char *text, size_t size)
{
    json_t *s = json_stringn(text, size);

    if (s == NULL) { /* not UTF-8 */
        size_t room =
            sodium_base64_encoded_len(size, sodium_base64_VARIANT_ORIGINAL);
        char *base64 = malloc(room);

        if (base64 != NULL) {
            (void)sodium_bin2base64(base64, room, (const unsigned char *)text,
                                    size, sodium_base64_VARIANT_ORIGINAL);
            (void)fprintf(out, "{\"base64\":\"%s\"}", base64);
            free(base64);
        }
        return;
    }
    (void)json_dumpf(s, out, JSON_ENCODE_ANY);
    json_decref(s);
}

/* A result that is JSON goes through byte for byte; other text becomes a JSON
 * string, and other bytes {"base64": ...}.  An upstream that answers with
 * something else than JSON must not break the answers of the other tasks. */
static void
write_result(FILE *out, const struct blob *b)
{
    json_t *parsed;

    if (b == NULL || b->size == 0) {
        (void)fputs("null", out);
        return;
    }
    parsed = json_loadb(
        b->data, b->size,
        JSON_DECODE_ANY | JSON_DECODE_INT_AS_REAL | JSON_ALLOW_NUL, NULL);
    if (parsed == NULL) {
        write_string(out, b->data, b->size);
        return;
    }
    json_decref(parsed);
    (void)fwrite(b->data, 1, b->size, out);
}

static void
write_task(FILE *out, const struct task_result *t, bool complete)
{
    static const char *const states[] = {
        [TASK_NOT_RUN] = "not_run",
        [TASK_RAN] = "ran",
        [TASK_UNKNOWN] = "unknown",
    };

    (void)fprintf(out, "{\"state\":\"%s\"", states[t->state]);
    if (complete) {
        (void)fprintf(out, ",\"ok\":%s,\"result\":", t->ok ? "true" : "false");
        write_result(out, t->result);
    }
    (void)fputc('}', out);
}

/* Ends a memory stream; NULL when it ran out of memory. */
static char *
close_text(FILE *out, char **text)
{
    bool failed = ferror(out) != 0;

    if (fclose(out) != 0 || failed) {
        free(*text);
        return NULL;
    }
    return *text;
}

char *
jsonjob_write_answer(const char *key, const struct job_answer *a, size_t *size)
{
    char *text = NULL;
    FILE *out = open_memstream(&text, size);
    bool complete = a->status == JOB_COMPLETE;

    if (out == NULL) {
        return NULL;
    }
    (void)fputs("{\"key\":", out);
    write_string(out, key, strlen(key));
    (void)fprintf(out, ",\"status\":\"%s\",\"reason\":\"%s\",\"tasks\":[",
                  complete ? "complete" : "failed", reason_text(a->reason));
    for (size_t i = 0; i < a->n_tasks; i++) {
        if (i > 0) {
            (void)fputc(',', out);
        }
        write_task(out, &a->tasks[i], complete);
    }
    (void)fputs("]}\n", out);
    return close_text(out, &text);
}

static char *
dump(json_t *json, size_t *size)
{
    char *text = json != NULL ? json_dumps(json, JSON_COMPACT) : NULL;

    json_decref(json);
    *size = text != NULL ? strlen(text) : 0;
    return text;
}

char *
jsonjob_write_running(const char *key, size_t *size)
{
    return dump(json_pack("{s:s,s:s}", "key", key, "status", "running"), size);
}

char *
jsonjob_write_problem(enum problem problem, const char *detail,
                      const char *started, size_t *size)
{
    char type[64];

    (void)snprintf(type, sizeof(type), "urn:boragemoor:problem:%s",
                   problem_slug(problem));
    return dump(json_pack("{s:s,s:s,s:i,s:o,s:s*}", "type", type, "title",
                          problem_title(problem), "status",
                          problem_status(problem), "detail",
                          jsontext_lenient(detail), "started", started),
                size);
}
