#include "fake.h"

#include <stdlib.h>
#include <string.h>

#include "table.h"

/* A task that was started or asked for.  Ones that were asked for first stay
 * marked, so that a start that arrives late is refused. */
struct fake_task {
    struct key_id id; /* hash of the text; first, for the map */
    struct handle self;
    uint32_t running;
    bool never;
    bool done;
    bool ok;
    json_t *result;
};

struct fake {
    struct name name;
    uint64_t incarnation;
    uint32_t slots;
    struct name holder;
    uint64_t epoch;
    bool leaving;
    struct fake_faults faults;
    struct fake_stats stats;
    struct table tasks;
    struct map by_id;
};

struct fake *
fake_new(struct name name, uint64_t incarnation, uint32_t slots)
{
    struct fake *f = calloc(1, sizeof(*f));

    if (f == NULL) {
        return NULL;
    }
    f->name = name;
    f->incarnation = incarnation;
    f->slots = slots;
    f->faults = fake_faults_default();
    table_init(&f->tasks, sizeof(struct fake_task));
    map_init(&f->by_id, MAP_KEY_ID);
    return f;
}

void
fake_free(struct fake *f)
{
    struct fake_task *task;
    struct handle h;
    uint32_t at = 0;

    if (f == NULL) {
        return;
    }
    while ((task = table_next(&f->tasks, &at, &h)) != NULL) {
        json_decref(task->result);
    }
    map_clear(&f->by_id);
    table_clear(&f->tasks);
    free(f);
}

bool
fake_lease(struct fake *f, struct name holder, uint64_t epoch,
           uint64_t incarnation)
{
    bool same = epoch == f->epoch && name_equal(holder, f->holder);

    if (incarnation != f->incarnation || (epoch <= f->epoch && !same)) {
        return false;
    }
    f->epoch = epoch;
    f->holder = holder;
    return true;
}

uint64_t
fake_epoch(const struct fake *f)
{
    return f->epoch;
}

struct name
fake_name(const struct fake *f)
{
    return f->name;
}

uint64_t
fake_incarnation(const struct fake *f)
{
    return f->incarnation;
}

bool
fake_task_valid(const char *task)
{
    size_t hex = strspn(task, "0123456789abcdef");
    size_t digits = hex == 32 && task[hex] == '-'
                        ? strspn(task + hex + 1, "0123456789")
                        : 0;

    return digits >= 1 && digits <= 3 && task[hex + 1 + digits] == '\0';
}

static struct fake_task *
find_task(const struct fake *f, const char *task)
{
    struct key_id id = key_id_of(task);

    return map_get(&f->by_id, &id);
}

static struct fake_task *
find_or_add_task(struct fake *f, const char *task)
{
    struct fake_task *t = find_task(f, task);
    struct handle h;

    if (t == NULL) {
        t = table_add(&f->tasks, &h);
        t->id = key_id_of(task);
        t->self = h;
        map_put(&f->by_id, t);
    }
    return t;
}

static enum fake_verdict
judge_start(const struct fake *f, const char *task, uint64_t epoch,
            uint64_t incarnation)
{
    const struct fake_task *t = find_task(f, task);

    if (incarnation != f->incarnation || epoch < f->epoch) {
        return FAKE_STALE;
    }
    if (t != NULL && t->never) {
        return FAKE_REVOKED;
    }
    if (f->leaving) {
        return FAKE_LEAVING;
    }
    if (f->faults.refuse) {
        return FAKE_REFUSING;
    }
    return f->stats.running >= f->slots ? FAKE_FULL : FAKE_STARTED;
}

struct fake_start
fake_start_task(struct fake *f, const char *task, uint64_t epoch,
                uint64_t incarnation)
{
    struct fake_start start = {.verdict =
                                   judge_start(f, task, epoch, incarnation)};
    struct fake_task *t;

    if (start.verdict != FAKE_STARTED) {
        f->stats.refused++;
        return start;
    }
    start.number = ++f->stats.started;
    if (start.number % f->faults.every == 0) {
        start.silence = f->faults.silent;
    }
    if (start.silence == FAKE_SILENT_BEFORE) {
        start.verdict = FAKE_FORGOTTEN;
        return start;
    }
    start.die = start.number == f->faults.die_at;
    f->epoch = epoch;
    t = find_or_add_task(f, task);
    t->running++;
    f->stats.running++;
    if (f->stats.running > f->stats.running_peak) {
        f->stats.running_peak = f->stats.running;
    }
    return start;
}

void
fake_end_task(struct fake *f, const char *task, bool ok, json_t *result)
{
    struct fake_task *t = find_task(f, task);

    if (t == NULL || t->running == 0) {
        json_decref(result);
        return;
    }
    t->running--;
    t->done = true;
    t->ok = ok;
    json_decref(t->result);
    t->result = result;
    f->stats.running--;
    f->stats.ended++;
}

struct fake_question
fake_ask(struct fake *f, const char *task, uint64_t incarnation)
{
    struct fake_question q = {0};
    struct fake_task *t;

    if (incarnation != f->incarnation) {
        return q;
    }
    t = find_or_add_task(f, task);
    if (t->running > 0) {
        q.state = "running";
    }
    else if (t->done) {
        q.state = "done";
        q.ok = t->ok;
        q.result = t->result;
    }
    else {
        f->stats.revoked += !t->never;
        t->never = true;
        q.state = "never";
    }
    return q;
}

void
fake_leave(struct fake *f)
{
    f->leaving = true;
}

struct fake_work
fake_work_parse(const struct fake *f, const char *payload, size_t size)
{
    json_t *json = json_loadb(payload, size, JSON_DECODE_ANY, NULL);
    json_t *echo = json_object_get(json, "echo");
    double run_ms = json_number_value(json_object_get(json, "run_ms"));
    struct fake_work work = {.fail = f->faults.fail};

    if (run_ms < 0 || run_ms > FAKE_RUN_MS_MAX) {
        run_ms = 0;
    }
    work.run_us = (int64_t)(run_ms * f->faults.slow * USEC_PER_MSEC);
    work.fail |= json_is_true(json_object_get(json, "fail"));
    if (json_is_object(json)) {
        work.echo = echo != NULL ? json_incref(echo) : json_null();
        json_decref(json);
    }
    else {
        work.echo = json != NULL ? json : json_null();
    }
    return work;
}

struct fake_faults
fake_faults_default(void)
{
    return (struct fake_faults){.slow = 1, .every = 1};
}

static const char *const silences[] = {
    [FAKE_SILENT_NONE] = "none",
    [FAKE_SILENT_BEFORE] = "before",
    [FAKE_SILENT_AFTER] = "after",
    [FAKE_SILENT_DURING] = "during",
};

static bool
parse_silence(const json_t *value, enum fake_silence *out)
{
    const char *word = json_string_value(value);

    for (size_t i = 0; word != NULL && i < 4; i++) {
        if (strcmp(word, silences[i]) == 0) {
            *out = (enum fake_silence)i;
            return true;
        }
    }
    return false;
}

static bool
parse_bool(const json_t *value, bool *out)
{
    *out = json_is_true(value);
    return json_is_boolean(value);
}

static const char *
parse_fault(const char *name, const json_t *value, struct fake_faults *out)
{
    json_int_t whole = json_integer_value(value);

    if (strcmp(name, "fail") == 0) {
        return parse_bool(value, &out->fail) ? NULL : "fail: true or false";
    }
    if (strcmp(name, "refuse") == 0) {
        return parse_bool(value, &out->refuse) ? NULL
                                               : "refuse: true or false";
    }
    if (strcmp(name, "slow") == 0) {
        out->slow = json_number_value(value);
        return out->slow >= 0.01 && out->slow <= 1000 ? NULL
                                                      : "slow: 0.01 to 1000";
    }
    if (strcmp(name, "silent") == 0) {
        return parse_silence(value, &out->silent)
                   ? NULL
                   : "silent: none, before, after or during";
    }
    if (strcmp(name, "every") == 0) {
        out->every = (uint32_t)whole;
        return whole >= 1 && whole <= 1000000 ? NULL : "every: 1 to 1000000";
    }
    if (strcmp(name, "die_at") == 0) {
        out->die_at = (uint64_t)whole;
        return json_is_integer(value) && whole >= 0
                   ? NULL
                   : "die_at: a whole number, 0 for never";
    }
    return "known are fail, refuse, slow, silent, every and die_at";
}

const char *
fake_faults_parse(const json_t *json, struct fake_faults *faults)
{
    struct fake_faults read = *faults;
    const char *name;
    json_t *value;

    if (!json_is_object(json)) {
        return "not a JSON object";
    }
    json_object_foreach((json_t *)json, name, value)
    {
        const char *wrong = parse_fault(name, value, &read);

        if (wrong != NULL) {
            return wrong;
        }
    }
    *faults = read;
    return NULL;
}

json_t *
fake_faults_json(const struct fake_faults *faults)
{
    return json_pack("{s:b, s:b, s:f, s:s, s:I, s:I}", "fail", faults->fail,
                     "refuse", faults->refuse, "slow", faults->slow, "silent",
                     silences[faults->silent], "every",
                     (json_int_t)faults->every, "die_at",
                     (json_int_t)faults->die_at);
}

void
fake_set_faults(struct fake *f, const struct fake_faults *faults)
{
    f->faults = *faults;
}

struct fake_faults
fake_faults(const struct fake *f)
{
    return f->faults;
}

struct fake_stats
fake_stats(const struct fake *f)
{
    return f->stats;
}

const char *
fake_verdict_text(enum fake_verdict v)
{
    static const char *const texts[] = {
        [FAKE_STARTED] = "started",     [FAKE_STALE] = "stale",
        [FAKE_REVOKED] = "revoked",     [FAKE_FULL] = "full",
        [FAKE_LEAVING] = "leaving",     [FAKE_REFUSING] = "refusing",
        [FAKE_FORGOTTEN] = "forgotten",
    };

    return texts[v];
}
