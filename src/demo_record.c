#include "demo_record.h"

#include <dirent.h>
#include <jansson.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "fake_record.h"

enum { PATH_SIZE = 1024, LINE_SIZE = 4096, TASK_TEXT_SIZE = 64 };

/* Counts of one file, which is one upstream. */
struct file_counts {
    uint64_t starts;
    uint64_t ends;
    bool left;
};

void
demo_records_init(struct demo_records *r)
{
    memset(r, 0, sizeof(*r));
    table_init(&r->tasks, sizeof(struct demo_task));
    map_init(&r->by_id, MAP_KEY_ID);
}

void
demo_records_clear(struct demo_records *r)
{
    map_clear(&r->by_id);
    table_clear(&r->tasks);
}

static struct demo_task *
find_or_add(struct demo_records *r, const char *text)
{
    struct key_id id = key_id_of(text);
    struct demo_task *task = map_get(&r->by_id, &id);
    struct handle h;

    if (task == NULL) {
        task = table_add(&r->tasks, &h);
        task->id = id;
        map_put(&r->by_id, task);
    }
    return task;
}

static bool
is(const char *word, enum fake_event event)
{
    return strcmp(word, fake_event_text(event)) == 0;
}

static void
take_line(struct demo_records *r, const char *line, struct file_counts *counts)
{
    json_t *json = json_loads(line, 0, NULL);
    const char *event = json_string_value(json_object_get(json, "event"));
    const char *task = json_string_value(json_object_get(json, "task"));
    const char *detail = json_string_value(json_object_get(json, "detail"));

    if (event == NULL || task == NULL || detail == NULL) {
        r->bad_lines++;
    }
    else if (is(event, FAKE_EVENT_START)) {
        struct demo_task *t = find_or_add(r, task);

        t->starts++;
        r->started_twice += t->starts == 2;
        r->starts++;
        counts->starts++;
    }
    else if (is(event, FAKE_EVENT_END)) {
        struct demo_task *t = find_or_add(r, task);

        t->ends++;
        t->ok = strcmp(detail, "ok") == 0;
        counts->ends++;
    }
    else if (is(event, FAKE_EVENT_LEAVE)) {
        counts->left = true;
    }
    json_decref(json);
}

static bool
read_one(struct demo_records *r, const char *path)
{
    char line[LINE_SIZE];
    struct file_counts counts = {0};
    FILE *f = fopen(path, "re");

    if (f == NULL) {
        return false;
    }
    while (fgets(line, sizeof(line), f) != NULL) {
        take_line(r, line, &counts);
    }
    (void)fclose(f);
    r->files++;
    if (counts.left) {
        r->cut_off += (uint32_t)(counts.starts - counts.ends);
    }
    return true;
}

bool
demo_records_read(struct demo_records *r, const char *dir)
{
    DIR *d = opendir(dir);
    struct dirent *entry;
    bool good = d != NULL;

    while (good && (entry = readdir(d)) != NULL) {
        const char *dot = strrchr(entry->d_name, '.');
        char path[PATH_SIZE];

        if (dot != NULL && strcmp(dot, ".record") == 0) {
            (void)snprintf(path, sizeof(path), "%s/%s", dir, entry->d_name);
            good = read_one(r, path);
        }
    }
    if (d != NULL) {
        closedir(d);
    }
    return good;
}

const struct demo_task *
demo_records_task(const struct demo_records *r, const char *key,
                  uint32_t index)
{
    char hex[33];
    char text[TASK_TEXT_SIZE];
    struct key_id id;

    key_id_format(key_id_of(key), hex);
    (void)snprintf(text, sizeof(text), "%s-%u", hex, index);
    id = key_id_of(text);
    return map_get(&r->by_id, &id);
}
