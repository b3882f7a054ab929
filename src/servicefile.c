#include "servicefile.h"

#include <ctype.h>
#include <ini.h>
#include <pthread.h>
#include <stdarg.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "filetree.h"

enum { RANGE_SIZE = 64 };

/* A parsed section, with its file and line for error messages. */
struct section {
    const struct servicekey_section *kind;
    struct name name;
    char *file;
    int line;
    uint32_t keys_set; /* bit i: key i is set in the file */
    union {
        struct service_conf service;
        struct team_conf team;
    } u;
};

struct loader {
    struct servicefile_errors *errs;
    struct section *sections;
    size_t n;
    size_t capacity;
    const char *file;
    const char *unread; /* start of the text that is not parsed yet */
    int line;
    bool skipping;     /* inside a rejected section */
    bool section_seen; /* this file has begun a section */
    bool out_of_memory;
};

static void
add_error(struct loader *l, const char *file, int line, const char *format,
          ...)
{
    struct servicefile_errors *errs = l->errs;
    struct servicefile_error *err;
    va_list args;

    errs->total++;
    if (errs->n == SERVICEFILE_ERRORS_MAX) {
        return;
    }
    err = realloc(errs->items, (errs->n + 1) * sizeof(*err));
    if (err == NULL) {
        l->out_of_memory = true;
        return;
    }
    errs->items = err;
    err = &errs->items[errs->n++];
    err->file = strdup(file);
    err->line = line;
    va_start(args, format);
    (void)vsnprintf(err->text, sizeof(err->text), format, args);
    va_end(args);
}

void
servicefile_errors_clear(struct servicefile_errors *errs)
{
    for (size_t i = 0; i < errs->n; i++) {
        free(errs->items[i].file);
    }
    free(errs->items);
    memset(errs, 0, sizeof(*errs));
}

static const struct servicekey_section *
find_section_kind(const char *title, const char **name)
{
    const struct servicekey_section *kinds[] = {&servicekey_services,
                                                &servicekey_teams};

    for (size_t i = 0; i < 2; i++) {
        size_t n = strlen(kinds[i]->keyword);

        if (strncmp(title, kinds[i]->keyword, n) == 0 && title[n] == ' ') {
            *name = title + n + strspn(title + n, " ");
            return kinds[i];
        }
    }
    return NULL;
}

static struct section *
add_section(struct loader *l)
{
    if (l->n == l->capacity) {
        size_t capacity = l->capacity > 0 ? 2 * l->capacity : 16;
        struct section *grown =
            realloc(l->sections, capacity * sizeof(*grown));

        if (grown == NULL) {
            l->out_of_memory = true;
            return NULL;
        }
        l->sections = grown;
        l->capacity = capacity;
    }
    memset(&l->sections[l->n], 0, sizeof(l->sections[l->n]));
    return &l->sections[l->n++];
}

static void
set_defaults(struct section *s)
{
    for (size_t i = 0; i < s->kind->n_keys; i++) {
        if (s->kind->keys[i].default_value != NULL) {
            (void)servicekey_parse(&s->kind->keys[i],
                                   s->kind->keys[i].default_value, &s->u);
        }
    }
}

static void
begin_section(struct loader *l, const char *title)
{
    const char *name = NULL;
    const struct servicekey_section *kind = find_section_kind(title, &name);
    struct section *s;

    l->section_seen = true;
    l->skipping = true;
    if (kind == NULL) {
        add_error(l, l->file, l->line,
                  "section [%.40s] is unknown; allowed are [service NAME] and "
                  "[team NAME]",
                  title);
        return;
    }
    if (!servicekey_name_valid(name)) {
        add_error(l, l->file, l->line,
                  "\"%.40s\" is no name of a %s; allowed are 1 to %d of A-Z "
                  "a-z 0-9 . _ -",
                  name, kind->keyword, NAME_SIZE - 1);
        return;
    }
    s = add_section(l);
    if (s == NULL) {
        return;
    }
    l->skipping = false;
    s->kind = kind;
    s->name = name_of(name);
    s->file = strdup(l->file);
    s->line = l->line;
    l->out_of_memory |= s->file == NULL;
    set_defaults(s);
}

static int
on_value(void *user, const char *title, const char *name, const char *value)
{
    struct loader *l = user;
    struct section *s;
    char range[RANGE_SIZE];

    (void)title;
    if (!l->section_seen) {
        add_error(l, l->file, l->line, "\"%.40s\" stands before any section",
                  name);
        return 1;
    }
    if (l->skipping || l->n == 0) {
        return 1;
    }
    s = &l->sections[l->n - 1];
    for (size_t i = 0; i < s->kind->n_keys; i++) {
        const struct servicekey *key = &s->kind->keys[i];

        if (strcmp(key->name, name) != 0) {
            continue;
        }
        if (s->keys_set & (1U << i)) {
            add_error(l, l->file, l->line, "%s is given twice", name);
        }
        s->keys_set |= 1U << i;
        if (!servicekey_parse(key, value, &s->u)) {
            servicekey_range(key, range, sizeof(range));
            add_error(l, l->file, l->line,
                      "%s = \"%.32s\" is not allowed; allowed is %s (%s)",
                      name, value, range, key->unit);
        }
        return 1;
    }
    add_error(l, l->file, l->line, "key \"%.40s\" is unknown in [%s %s]", name,
              s->kind->keyword, s->name.s);
    return 1;
}

/* libinih passes neither line numbers nor sections without keys to the value
 * handler, so read_line(), which gets each line first, records both. */
static void
read_section_header(struct loader *l, const char *line)
{
    const char *end = strchr(line, ']');
    char title[SERVICEFILE_LINE_MAX];

    if (end == NULL) {
        l->section_seen = true;
        l->skipping = true;
        return;
    }
    (void)snprintf(title, sizeof(title), "%.*s", (int)(end - line - 1),
                   line + 1);
    begin_section(l, title);
}

static bool
check_line(struct loader *l, const char *line, size_t n, size_t capacity)
{
    if (n + 3 > capacity) {
        add_error(l, l->file, l->line, "the line is longer than %zu bytes",
                  capacity - 3);
        return false;
    }
    if (isblank((unsigned char)line[0]) && line[strspn(line, " \t\r\n")] &&
        strchr(";#", line[strspn(line, " \t")]) == NULL) {
        add_error(l, l->file, l->line,
                  "the line begins with a space; a value takes one line");
        return false;
    }
    return true;
}

static char *
read_line(char *out, int size, void *stream)
{
    struct loader *l = stream;
    size_t n = strcspn(l->unread, "\n");
    size_t taken = l->unread[n] == '\n' ? n + 1 : n;
    const char *line = l->unread;

    if (taken == 0) {
        return NULL;
    }
    l->line++;
    l->unread += taken;
    out[0] = '\n';
    out[1] = '\0';
    if (n > 0 && check_line(l, line, n, (size_t)size)) {
        memcpy(out, line, n);
        memcpy(out + n, "\n", 2);
    }
    if (out[0] == '[') {
        read_section_header(l, out);
    }
    return out;
}

/* Guards ini_max_line, a global variable of libinih. */
static pthread_mutex_t ini_lock = PTHREAD_MUTEX_INITIALIZER;

static void
load_text(struct loader *l, const char *text, const char *file)
{
    int saved_max_line;
    int bad;

    l->file = file;
    l->unread = text;
    l->line = 0;
    l->section_seen = false;
    l->skipping = false;
    pthread_mutex_lock(&ini_lock);
    saved_max_line = ini_max_line;
    ini_max_line = SERVICEFILE_LINE_MAX;
    bad = ini_parse_stream(read_line, l, on_value, l);
    ini_max_line = saved_max_line;
    pthread_mutex_unlock(&ini_lock);
    if (bad > 0) {
        add_error(l, file, bad, "neither [section] nor key = value");
    }
    else if (bad < 0) {
        l->out_of_memory = true;
    }
}

static struct section *
find_section(struct loader *l, const struct servicekey_section *kind,
             struct name name, size_t before)
{
    for (size_t i = 0; i < before; i++) {
        if (l->sections[i].kind == kind &&
            name_equal(l->sections[i].name, name)) {
            return &l->sections[i];
        }
    }
    return NULL;
}

static void
check_required(struct loader *l, const struct section *s)
{
    for (size_t i = 0; i < s->kind->n_keys; i++) {
        if (s->kind->keys[i].default_value == NULL &&
            !(s->keys_set & (1U << i))) {
            add_error(l, s->file, s->line, "[%s %s] lacks %s",
                      s->kind->keyword, s->name.s, s->kind->keys[i].name);
        }
    }
}

static void
check_service(struct loader *l, size_t index)
{
    const struct section *s = &l->sections[index];
    const struct service_conf *conf = &s->u.service;
    const struct section *first =
        find_section(l, &servicekey_services, s->name, index);

    if (first != NULL) {
        add_error(l, s->file, s->line, "service %s stands already in %s:%d",
                  s->name.s, first->file, first->line);
    }
    if (servicekey_name_valid(conf->team.s) &&
        find_section(l, &servicekey_teams, conf->team, l->n) == NULL) {
        add_error(l, s->file, s->line,
                  "service %s belongs to team %s, which has no section",
                  s->name.s, conf->team.s);
    }
    if (conf->deadline_us > conf->deadline_max_us) {
        add_error(l, s->file, s->line,
                  "service %s: deadline_ms is above deadline_max_ms",
                  s->name.s);
    }
}

/* A team may be defined in several files, next to each of its services.  The
 * definitions must be equal: otherwise the order of the files would decide
 * which quotas are in force, and tasks could be rejected for a quota that the
 * team's own file does not show. */
static void
check_team(struct loader *l, size_t index)
{
    const struct section *s = &l->sections[index];
    const struct section *first =
        find_section(l, &servicekey_teams, s->name, index);

    if (first != NULL &&
        memcmp(&first->u.team, &s->u.team, sizeof(s->u.team)) != 0) {
        add_error(l, s->file, s->line,
                  "team %s differs from its section in %s:%d", s->name.s,
                  first->file, first->line);
    }
}

static void
check_sections(struct loader *l)
{
    for (size_t i = 0; i < l->n; i++) {
        check_required(l, &l->sections[i]);
        if (l->sections[i].kind == &servicekey_services) {
            check_service(l, i);
        }
        else {
            check_team(l, i);
        }
    }
}

static int
compare_services(const void *a, const void *b)
{
    return strcmp(((const struct service_conf *)a)->name.s,
                  ((const struct service_conf *)b)->name.s);
}

static int
compare_teams(const void *a, const void *b)
{
    return strcmp(((const struct team_conf *)a)->name.s,
                  ((const struct team_conf *)b)->name.s);
}

static void
add_to_config(struct loader *l, size_t index, struct config *c)
{
    struct section *s = &l->sections[index];

    if (s->kind == &servicekey_services) {
        s->u.service.name = s->name;
        c->services[c->n_services++] = s->u.service;
    }
    else if (find_section(l, &servicekey_teams, s->name, index) == NULL) {
        s->u.team.name = s->name;
        c->teams[c->n_teams++] = s->u.team;
    }
}

static struct config *
build_config(struct loader *l)
{
    struct config *c = calloc(1, sizeof(*c));

    if (c == NULL) {
        return NULL;
    }
    c->services = calloc(l->n + 1, sizeof(*c->services));
    c->teams = calloc(l->n + 1, sizeof(*c->teams));
    if (c->services == NULL || c->teams == NULL) {
        config_free(c);
        return NULL;
    }
    for (size_t i = 0; i < l->n; i++) {
        add_to_config(l, i, c);
    }
    qsort(c->services, c->n_services, sizeof(*c->services), compare_services);
    qsort(c->teams, c->n_teams, sizeof(*c->teams), compare_teams);
    return c;
}

static struct config *
finish_loading(struct loader *l, const char *where)
{
    struct config *c = NULL;

    check_sections(l);
    if (l->n > SERVICEFILE_SERVICES_MAX) {
        add_error(l, where, 0, "more than %d sections",
                  SERVICEFILE_SERVICES_MAX);
    }
    if (l->errs->total == 0 && !l->out_of_memory) {
        c = build_config(l);
    }
    if (c == NULL && l->errs->total == 0) {
        add_error(l, where, 0, "out of memory");
    }
    for (size_t i = 0; i < l->n; i++) {
        free(l->sections[i].file);
    }
    free(l->sections);
    return c;
}

struct config *
servicefile_parse_text(const char *text, const char *name,
                       struct servicefile_errors *errs)
{
    struct loader l = {.errs = errs};

    load_text(&l, text, name);
    return finish_loading(&l, name);
}

static void
load_file(struct loader *l, const char *path)
{
    const char *error_cause = NULL;
    char *text = filetree_read(path, SERVICEFILE_SIZE_MAX, &error_cause);

    if (text == NULL) {
        add_error(l, path, 0, "not read: %s", error_cause);
        return;
    }
    load_text(l, text, path);
    free(text);
}

static void
load_dir(struct loader *l, const char *dir)
{
    struct filetree tree = {0};
    const char *error = filetree_collect(&tree, dir, SERVICEFILE_SUFFIX);

    if (error != NULL) {
        add_error(l, dir, 0, "not read: %s", error);
    }
    else if (tree.n == 0) {
        add_error(l, dir, 0, "holds no file *" SERVICEFILE_SUFFIX);
    }
    for (size_t i = 0; i < tree.n; i++) {
        load_file(l, tree.paths[i]);
    }
    filetree_clear(&tree);
}

struct config *
servicefile_load(const char *const *dirs, size_t n_dirs,
                 struct servicefile_errors *errs)
{
    struct loader l = {.errs = errs};

    for (size_t i = 0; i < n_dirs; i++) {
        load_dir(&l, dirs[i]);
    }
    return finish_loading(&l, n_dirs > 0 ? dirs[0] : "");
}

struct config *
servicefile_load_dir(const char *dir, struct servicefile_errors *errs)
{
    return servicefile_load(&dir, 1, errs);
}

static void
print_section(FILE *f, const struct servicekey_section *kind, struct name name,
              const void *conf)
{
    (void)fprintf(f, "[%s %s]\n", kind->keyword, name.s);
    for (size_t i = 0; i < kind->n_keys; i++) {
        (void)fprintf(f, "%s = ", kind->keys[i].name);
        servicekey_print(f, &kind->keys[i], conf);
        (void)fputc('\n', f);
    }
}

char *
servicefile_canonical(const struct config *config)
{
    struct config *sorted = config_copy(config);
    char *text = NULL;
    size_t size = 0;
    FILE *f = open_memstream(&text, &size);

    if (sorted == NULL || f == NULL) {
        config_free(sorted);
        if (f != NULL) {
            (void)fclose(f);
        }
        free(text);
        return NULL;
    }
    qsort(sorted->teams, sorted->n_teams, sizeof(*sorted->teams),
          compare_teams);
    qsort(sorted->services, sorted->n_services, sizeof(*sorted->services),
          compare_services);
    for (size_t i = 0; i < sorted->n_teams; i++) {
        print_section(f, &servicekey_teams, sorted->teams[i].name,
                      &sorted->teams[i]);
    }
    for (size_t i = 0; i < sorted->n_services; i++) {
        print_section(f, &servicekey_services, sorted->services[i].name,
                      &sorted->services[i]);
    }
    config_free(sorted);
    if (fclose(f) != 0) {
        free(text);
        return NULL;
    }
    return text;
}
