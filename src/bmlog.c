/*
 * bmlog: the log files of several processes, as the story of one job or as
 * the list of those that failed.  Exit codes are in enum log_code.
 */
#include <popt.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "clock.h"
#include "logjoin.h"

enum log_code {
    LOG_FOUND = 0,
    LOG_UNREADABLE = 1,
    LOG_USAGE = 2,
    LOG_NOTHING = 4, /* no line of that job, or no job that failed */
};

enum { AROUND_MS = 2000 };

struct options {
    char *id;
    int around_ms;
    int json;
};

static bool
read_file(struct logjoin *j, const char *path)
{
    FILE *f = strcmp(path, "-") == 0 ? stdin : fopen(path, "r");
    bool ok = f != NULL && logjoin_read(j, f);

    if (!ok) {
        (void)fprintf(stderr, "bmlog: %s can't be read\n", path);
    }
    if (f != NULL && f != stdin) {
        (void)fclose(f);
    }
    return ok;
}

/* Time of day alone: a story is shorter than a day. */
static void
print_row(const struct logjoin_line *l)
{
    const char *time = json_string_value(json_object_get(l->fields, "time"));
    const json_t *task = json_object_get(l->fields, "task");
    const json_t *dropped = json_object_get(l->fields, "dropped");
    const char *day_end = time == NULL ? NULL : strchr(time, 'T');

    (void)printf("%-16s %-22s %-22s ", day_end == NULL ? "" : day_end + 1,
                 l->instance, l->reason);
    if (json_is_integer(task)) {
        (void)printf("task %" JSON_INTEGER_FORMAT " ",
                     json_integer_value(task));
    }
    if (*l->subject != '\0') {
        (void)printf("%s: ", l->subject);
    }
    (void)printf("%s", l->detail);
    if (dropped != NULL) {
        (void)json_dumpf(dropped, stdout, JSON_COMPACT | JSON_PRESERVE_ORDER);
    }
    (void)printf("\n");
}

static void
print_lines(const struct logjoin_line **lines, size_t n,
            const struct options *o)
{
    for (size_t i = 0; i < n; i++) {
        if (o->json != 0) {
            (void)json_dumpf(lines[i]->fields, stdout,
                             JSON_COMPACT | JSON_PRESERVE_ORDER);
            (void)printf("\n");
        }
        else if (o->id == NULL) {
            (void)printf("%s ", lines[i]->key);
            print_row(lines[i]);
        }
        else {
            print_row(lines[i]);
        }
    }
}

static int
run(const struct options *o, const char **files)
{
    struct logjoin j = {0};
    const struct logjoin_line **lines = NULL;
    int code = LOG_FOUND;
    size_t n;

    for (size_t i = 0; files[i] != NULL; i++) {
        if (!read_file(&j, files[i])) {
            code = LOG_UNREADABLE;
        }
    }
    if (j.n_skipped > 0) {
        (void)fprintf(stderr, "bmlog: %zu lines are no records\n",
                      j.n_skipped);
    }
    n = o->id == NULL
            ? logjoin_failed(&j, &lines)
            : logjoin_explain(&j, o->id, o->around_ms * USEC_PER_MSEC, &lines);
    print_lines(lines, n, o);
    free(lines);
    logjoin_free(&j);
    return code == LOG_FOUND && n == 0 ? LOG_NOTHING : code;
}

int
main(int argc, const char **argv)
{
    struct options o = {.around_ms = AROUND_MS};
    struct poptOption table[] = {
        {"id", 'i', POPT_ARG_STRING, &o.id, 0,
         "the story of this job; without it, the jobs that failed", "ID"},
        {"around", 'a', POPT_ARG_INT | POPT_ARGFLAG_SHOW_DEFAULT, &o.around_ms,
         0, "how much of what befell its upstreams and instances", "MS"},
        {"json", 'j', POPT_ARG_NONE, &o.json, 0, "lines as they were written",
         NULL},
        POPT_AUTOHELP POPT_TABLEEND};
    poptContext ctx = poptGetContext("bmlog", argc, argv, table, 0);
    int code = LOG_USAGE;
    int rc;

    poptSetOtherOptionHelp(ctx, "[--id ID] FILE... (- is standard input)");
    rc = poptGetNextOpt(ctx);
    if (rc < -1) {
        (void)fprintf(stderr, "bmlog: %s: %s\n", poptBadOption(ctx, 0),
                      poptStrerror(rc));
    }
    else if (poptPeekArg(ctx) == NULL) {
        (void)fprintf(stderr, "bmlog: no FILE; see bmlog --help\n");
    }
    else {
        code = run(&o, poptGetArgs(ctx));
    }
    free(o.id);
    poptFreeContext(ctx);
    return code;
}
