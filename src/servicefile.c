#include "servicefile.h"

#include <ctype.h>
#include <errno.h>
#include <ftw.h>
#include <ini.h>
#include <pthread.h>
#include <stdarg.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <sys/stat.h>

#define KEY(key, kind_, member, least_, most_, def_, unit_, text_)            \
    {key,                                                                     \
     SERVICEFILE_##kind_,                                                     \
     offsetof(struct OWNER, member),                                          \
     least_,                                                                  \
     most_,                                                                   \
     def_,                                                                    \
     unit_,                                                                   \
     text_},

#define OWNER service_conf
static const struct servicefile_key service_keys[] = {SERVICE_KEY_LIST(KEY)};
#undef OWNER

#define OWNER team_conf
static const struct servicefile_key team_keys[] = {TEAM_KEY_LIST(KEY)};
#undef OWNER
#undef KEY

enum {
    N_SERVICE_KEYS = sizeof(service_keys) / sizeof(service_keys[0]),
    N_TEAM_KEYS = sizeof(team_keys) / sizeof(team_keys[0]),
    RANGE_SIZE = 64,
};

static const char *const order_names[] = {
    [ORDER_LEAST_WORK] = "least-work",
    [ORDER_ARRIVAL] = "arrival",
    [ORDER_FAIR] = "fair",
};

/* One kind of section: what it is called and what its keys are. */
struct section_kind {
    const char *word;
    const struct servicefile_key *keys;
    size_t n_keys;
    size_t conf_size;
};

static const struct section_kind service_kind = {
    "service", service_keys, N_SERVICE_KEYS, sizeof(struct service_conf)};
static const struct section_kind team_kind = {"team", team_keys, N_TEAM_KEYS,
                                              sizeof(struct team_conf)};

/* A section as read, with the place that errors about it name. */
struct section {
    const struct section_kind *kind;
    struct name name;
    char *file;
    int line;
    uint32_t seen; /* bit per key */
    union {
        struct service_conf service;
        struct team_conf team;
    } u;
};

struct loader {
    struct servicefile_errors *errs;
    struct section *sections;
    size_t n;
    size_t room;
    const char *file;
    const char *rest; /* of the text that is being read */
    int line;
    bool skipping; /* inside a section that was refused */
    bool opened;   /* a section was seen in this file */
    bool out_of_memory;
};

const struct servicefile_key *
servicefile_service_keys(size_t *n)
{
    *n = N_SERVICE_KEYS;
    return service_keys;
}

const struct servicefile_key *
servicefile_team_keys(size_t *n)
{
    *n = N_TEAM_KEYS;
    return team_keys;
}

static void
format_milli(int64_t value, char *out, size_t size)
{
    int n = snprintf(out, size, "%lld.%03lld", (long long)(value / 1000),
                     (long long)(value % 1000));

    while (n > 0 && out[n - 1] == '0') {
        out[--n] = '\0';
    }
    if (n > 0 && out[n - 1] == '.') {
        out[n - 1] = '\0';
    }
}

void
servicefile_range(const struct servicefile_key *key, char *out, size_t size)
{
    char least[24];
    char most[24];

    switch (key->kind) {
    case SERVICEFILE_NAME:
        (void)snprintf(out, size, "1 to %lld of A-Z a-z 0-9 . _ -",
                       (long long)key->most);
        return;
    case SERVICEFILE_ZONES:
        (void)snprintf(out, size, "up to %lld names", (long long)key->most);
        return;
    case SERVICEFILE_FLAG:
        (void)snprintf(out, size, "true or false");
        return;
    case SERVICEFILE_ORDER:
        (void)snprintf(out, size, "least-work, arrival or fair");
        return;
    case SERVICEFILE_MILLI:
        format_milli(key->least, least, sizeof(least));
        format_milli(key->most, most, sizeof(most));
        (void)snprintf(out, size, "%s to %s", least, most);
        return;
    case SERVICEFILE_COUNT:
    case SERVICEFILE_MSEC:
        (void)snprintf(out, size, "%lld to %lld", (long long)key->least,
                       (long long)key->most);
        return;
    }
}

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

static bool
is_name(const char *text)
{
    size_t n = strlen(text);

    if (n == 0 || n >= NAME_SIZE) {
        return false;
    }
    for (size_t i = 0; i < n; i++) {
        if (!isalnum((unsigned char)text[i]) &&
            strchr("._-", text[i]) == NULL) {
            return false;
        }
    }
    return true;
}

/* Values.  Each parser stores the value in the section's struct and says
 * whether the text was allowed. */

static bool
parse_whole(const char *text, int64_t least, int64_t most, int64_t *out)
{
    char *end;
    long long value;

    if (!isdigit((unsigned char)text[0])) {
        return false;
    }
    errno = 0;
    value = strtoll(text, &end, 10);
    if (errno != 0 || *end != '\0' || value < least || value > most) {
        return false;
    }
    *out = value;
    return true;
}

static bool
parse_milli(const char *text, int64_t least, int64_t most, int64_t *out)
{
    char digits[32];
    const char *point = strchr(text, '.');
    size_t whole = point == NULL ? strlen(text) : (size_t)(point - text);
    size_t places = point == NULL ? 0 : strlen(point + 1);

    if (whole == 0 || whole > 12 || places > 3 ||
        (point != NULL && places == 0)) {
        return false;
    }
    (void)snprintf(digits, sizeof(digits), "%.*s%s%s", (int)whole, text,
                   point == NULL ? "" : point + 1, &"000"[places]);
    return parse_whole(digits, least, most, out);
}

static bool
parse_flag(const char *text, bool *out)
{
    *out = strcmp(text, "true") == 0;
    return *out || strcmp(text, "false") == 0;
}

static bool
parse_order(const char *text, enum queue_order *out)
{
    for (size_t i = 0; i < sizeof(order_names) / sizeof(order_names[0]); i++) {
        if (strcmp(text, order_names[i]) == 0) {
            *out = (enum queue_order)i;
            return true;
        }
    }
    return false;
}

static int
compare_names(const void *a, const void *b)
{
    return strcmp(((const struct name *)a)->s, ((const struct name *)b)->s);
}

static bool
parse_zones(const char *text, struct service_conf *conf)
{
    char copy[SERVICEFILE_LINE_MAX];
    char *save = NULL;

    conf->n_zones = 0;
    (void)snprintf(copy, sizeof(copy), "%s", text);
    for (char *word = strtok_r(copy, ", \t", &save); word != NULL;
         word = strtok_r(NULL, ", \t", &save)) {
        if (!is_name(word) || conf->n_zones == ZONES_MAX) {
            return false;
        }
        conf->zones[conf->n_zones++] = name_of(word);
    }
    qsort(conf->zones, conf->n_zones, sizeof(conf->zones[0]), compare_names);
    for (size_t i = 1; i < conf->n_zones; i++) {
        if (name_equal(conf->zones[i - 1], conf->zones[i])) {
            return false;
        }
    }
    return true;
}

static bool
parse_value(const struct servicefile_key *key, const char *text, void *conf)
{
    char *member = (char *)conf + key->offset;
    int64_t number = 0;
    bool good = true;

    switch (key->kind) {
    case SERVICEFILE_NAME:
        good = is_name(text);
        *(struct name *)member = name_of(text);
        break;
    case SERVICEFILE_COUNT:
        good = parse_whole(text, key->least, key->most, &number);
        *(uint32_t *)member = (uint32_t)number;
        break;
    case SERVICEFILE_MILLI:
        good = parse_milli(text, key->least, key->most, &number);
        *(uint32_t *)member = (uint32_t)number;
        break;
    case SERVICEFILE_MSEC:
        good = parse_whole(text, key->least, key->most, &number);
        *(int64_t *)member = number * USEC_PER_MSEC;
        break;
    case SERVICEFILE_FLAG:
        good = parse_flag(text, (bool *)member);
        break;
    case SERVICEFILE_ORDER:
        good = parse_order(text, (enum queue_order *)member);
        break;
    case SERVICEFILE_ZONES:
        good = parse_zones(text, conf);
        break;
    }
    return good;
}

/* Sections. */

static const struct section_kind *
section_kind_of(const char *title, const char **name)
{
    const struct section_kind *kinds[] = {&service_kind, &team_kind};

    for (size_t i = 0; i < 2; i++) {
        size_t n = strlen(kinds[i]->word);

        if (strncmp(title, kinds[i]->word, n) == 0 && title[n] == ' ') {
            *name = title + n + strspn(title + n, " ");
            return kinds[i];
        }
    }
    return NULL;
}

static struct section *
section_add(struct loader *l)
{
    if (l->n == l->room) {
        size_t room = l->room > 0 ? 2 * l->room : 16;
        struct section *grown = realloc(l->sections, room * sizeof(*grown));

        if (grown == NULL) {
            l->out_of_memory = true;
            return NULL;
        }
        l->sections = grown;
        l->room = room;
    }
    memset(&l->sections[l->n], 0, sizeof(l->sections[l->n]));
    return &l->sections[l->n++];
}

static void
section_defaults(struct section *s)
{
    for (size_t i = 0; i < s->kind->n_keys; i++) {
        if (s->kind->keys[i].def != NULL) {
            (void)parse_value(&s->kind->keys[i], s->kind->keys[i].def, &s->u);
        }
    }
}

static void
section_open(struct loader *l, const char *title)
{
    const char *name = NULL;
    const struct section_kind *kind = section_kind_of(title, &name);
    struct section *s;

    l->opened = true;
    l->skipping = true;
    if (kind == NULL) {
        add_error(l, l->file, l->line,
                  "section [%.40s] is unknown; allowed are [service NAME] and "
                  "[team NAME]",
                  title);
        return;
    }
    if (!is_name(name)) {
        add_error(l, l->file, l->line,
                  "\"%.40s\" is no name of a %s; allowed are 1 to %d of A-Z "
                  "a-z 0-9 . _ -",
                  name, kind->word, NAME_SIZE - 1);
        return;
    }
    s = section_add(l);
    if (s == NULL) {
        return;
    }
    l->skipping = false;
    s->kind = kind;
    s->name = name_of(name);
    s->file = strdup(l->file);
    s->line = l->line;
    l->out_of_memory |= s->file == NULL;
    section_defaults(s);
}

static int
on_value(void *user, const char *title, const char *name, const char *value)
{
    struct loader *l = user;
    struct section *s;
    char range[RANGE_SIZE];

    (void)title;
    if (!l->opened) {
        add_error(l, l->file, l->line, "\"%.40s\" stands before any section",
                  name);
        return 1;
    }
    if (l->skipping || l->n == 0) {
        return 1;
    }
    s = &l->sections[l->n - 1];
    for (size_t i = 0; i < s->kind->n_keys; i++) {
        const struct servicefile_key *key = &s->kind->keys[i];

        if (strcmp(key->name, name) != 0) {
            continue;
        }
        if (s->seen & (1U << i)) {
            add_error(l, l->file, l->line, "%s is given twice", name);
        }
        s->seen |= 1U << i;
        if (!parse_value(key, value, &s->u)) {
            servicefile_range(key, range, sizeof(range));
            add_error(l, l->file, l->line,
                      "%s = \"%.32s\" is not allowed; allowed is %s (%s)",
                      name, value, range, key->unit);
        }
        return 1;
    }
    add_error(l, l->file, l->line, "key \"%.40s\" is unknown in [%s %s]", name,
              s->kind->word, s->name.s);
    return 1;
}

/* Reading.  libinih tells its handler no line numbers and nothing of sections
 * without keys; its reader sees each line first, so both are noted there. */

static void
note_section(struct loader *l, const char *line)
{
    const char *end = strchr(line, ']');
    char title[SERVICEFILE_LINE_MAX];

    if (end == NULL) {
        l->opened = true;
        l->skipping = true;
        return;
    }
    (void)snprintf(title, sizeof(title), "%.*s", (int)(end - line - 1),
                   line + 1);
    section_open(l, title);
}

static bool
line_allowed(struct loader *l, const char *line, size_t n, size_t room)
{
    if (n + 3 > room) {
        add_error(l, l->file, l->line, "the line is longer than %zu bytes",
                  room - 3);
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
    size_t n = strcspn(l->rest, "\n");
    size_t taken = l->rest[n] == '\n' ? n + 1 : n;
    const char *line = l->rest;

    if (taken == 0) {
        return NULL;
    }
    l->line++;
    l->rest += taken;
    out[0] = '\n';
    out[1] = '\0';
    if (n > 0 && line_allowed(l, line, n, (size_t)size)) {
        memcpy(out, line, n);
        memcpy(out + n, "\n", 2);
    }
    if (out[0] == '[') {
        note_section(l, out);
    }
    return out;
}

/* The longest line is a variable of the whole process in libinih. */
static pthread_mutex_t ini_lock = PTHREAD_MUTEX_INITIALIZER;

static void
load_text(struct loader *l, const char *text, const char *file)
{
    int longest;
    int bad;

    l->file = file;
    l->rest = text;
    l->line = 0;
    l->opened = false;
    l->skipping = false;
    pthread_mutex_lock(&ini_lock);
    longest = ini_max_line;
    ini_max_line = SERVICEFILE_LINE_MAX;
    bad = ini_parse_stream(read_line, l, on_value, l);
    ini_max_line = longest;
    pthread_mutex_unlock(&ini_lock);
    if (bad > 0) {
        add_error(l, file, bad, "neither [section] nor key = value");
    }
    else if (bad < 0) {
        l->out_of_memory = true;
    }
}

/* Checks of the whole. */

static struct section *
find_section(struct loader *l, const struct section_kind *kind,
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
        if (s->kind->keys[i].def == NULL && !(s->seen & (1U << i))) {
            add_error(l, s->file, s->line, "[%s %s] lacks %s", s->kind->word,
                      s->name.s, s->kind->keys[i].name);
        }
    }
}

static void
check_service(struct loader *l, size_t index)
{
    const struct section *s = &l->sections[index];
    const struct service_conf *conf = &s->u.service;
    const struct section *first =
        find_section(l, &service_kind, s->name, index);

    if (first != NULL) {
        add_error(l, s->file, s->line, "service %s stands already in %s:%d",
                  s->name.s, first->file, first->line);
    }
    if (is_name(conf->team.s) &&
        find_section(l, &team_kind, conf->team, l->n) == NULL) {
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

/* A team's section may stand beside each of its services.  If two of them
 * differed, which one is in force would depend on the order of the files, and
 * the team would notice by refusals that no file explains. */
static void
check_team(struct loader *l, size_t index)
{
    const struct section *s = &l->sections[index];
    const struct section *first = find_section(l, &team_kind, s->name, index);

    if (first != NULL &&
        memcmp(&first->u.team, &s->u.team, sizeof(s->u.team)) != 0) {
        add_error(l, s->file, s->line,
                  "team %s differs from its section in %s:%d", s->name.s,
                  first->file, first->line);
    }
}

static void
check_all(struct loader *l)
{
    for (size_t i = 0; i < l->n; i++) {
        check_required(l, &l->sections[i]);
        if (l->sections[i].kind == &service_kind) {
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
build_take(struct loader *l, size_t index, struct config *c)
{
    struct section *s = &l->sections[index];

    if (s->kind == &service_kind) {
        s->u.service.name = s->name;
        c->services[c->n_services++] = s->u.service;
    }
    else if (find_section(l, &team_kind, s->name, index) == NULL) {
        s->u.team.name = s->name;
        c->teams[c->n_teams++] = s->u.team;
    }
}

static struct config *
build(struct loader *l)
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
        build_take(l, i, c);
    }
    qsort(c->services, c->n_services, sizeof(*c->services), compare_services);
    qsort(c->teams, c->n_teams, sizeof(*c->teams), compare_teams);
    return c;
}

static struct config *
finish(struct loader *l, const char *where)
{
    struct config *c = NULL;

    check_all(l);
    if (l->n > SERVICEFILE_SERVICES_MAX) {
        add_error(l, where, 0, "more than %d sections",
                  SERVICEFILE_SERVICES_MAX);
    }
    if (l->errs->total == 0 && !l->out_of_memory) {
        c = build(l);
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
    return finish(&l, name);
}

/* Collecting files.  nftw() passes no argument to its callback. */

struct paths {
    char **items;
    size_t n;
    bool out_of_memory;
};

static _Thread_local struct paths *walked;

static int
on_path(const char *path, const struct stat *st, int type, struct FTW *ftw)
{
    size_t n = strlen(path);
    size_t suffix = strlen(SERVICEFILE_SUFFIX);
    char **grown;

    (void)st;
    (void)ftw;
    if (type != FTW_F || n < suffix ||
        strcmp(path + n - suffix, SERVICEFILE_SUFFIX) != 0) {
        return 0;
    }
    grown = realloc(walked->items, (walked->n + 1) * sizeof(*grown));
    if (grown == NULL) {
        walked->out_of_memory = true;
        return 1;
    }
    walked->items = grown;
    walked->items[walked->n] = strdup(path);
    walked->out_of_memory |= walked->items[walked->n] == NULL;
    walked->n += walked->items[walked->n] != NULL;
    return 0;
}

static int
compare_paths(const void *a, const void *b)
{
    return strcmp(*(char *const *)a, *(char *const *)b);
}

/* Reads a whole file into a new text, or says why not. */
static char *
read_file(const char *path, const char **why)
{
    FILE *f = fopen(path, "re");
    char *text = NULL;
    size_t n;

    if (f == NULL) {
        *why = strerror(errno);
        return NULL;
    }
    text = malloc(SERVICEFILE_SIZE_MAX + 1);
    if (text == NULL) {
        *why = "out of memory";
        goto out;
    }
    n = fread(text, 1, SERVICEFILE_SIZE_MAX + 1, f);
    if (ferror(f)) {
        *why = "it cannot be read";
    }
    else if (n > SERVICEFILE_SIZE_MAX) {
        *why = "it is larger than 4 MiB";
    }
    else if (memchr(text, '\0', n) != NULL) {
        *why = "it holds zero bytes";
    }
    else {
        text[n] = '\0';
        goto out;
    }
    free(text);
    text = NULL;
out:
    (void)fclose(f);
    return text;
}

static void
load_file(struct loader *l, const char *path)
{
    const char *why = NULL;
    char *text = read_file(path, &why);

    if (text == NULL) {
        add_error(l, path, 0, "not read: %s", why);
        return;
    }
    load_text(l, text, path);
    free(text);
}

static void
load_one_dir(struct loader *l, const char *dir)
{
    struct paths paths = {0};

    walked = &paths;
    if (nftw(dir, on_path, 16, FTW_PHYS) < 0) {
        add_error(l, dir, 0, "not read: %s", strerror(errno));
    }
    else if (paths.n == 0) {
        add_error(l, dir, 0, "holds no file *" SERVICEFILE_SUFFIX);
    }
    walked = NULL;
    l->out_of_memory |= paths.out_of_memory;
    if (paths.n > 0) {
        qsort(paths.items, paths.n, sizeof(*paths.items), compare_paths);
    }
    for (size_t i = 0; i < paths.n; i++) {
        load_file(l, paths.items[i]);
        free(paths.items[i]);
    }
    free(paths.items);
}

struct config *
servicefile_load(const char *const *dirs, size_t n_dirs,
                 struct servicefile_errors *errs)
{
    struct loader l = {.errs = errs};

    for (size_t i = 0; i < n_dirs; i++) {
        load_one_dir(&l, dirs[i]);
    }
    return finish(&l, n_dirs > 0 ? dirs[0] : "");
}

struct config *
servicefile_load_dir(const char *dir, struct servicefile_errors *errs)
{
    return servicefile_load(&dir, 1, errs);
}

/* Canonical text. */

static void
print_zones(FILE *f, const struct service_conf *conf)
{
    for (size_t i = 0; i < conf->n_zones; i++) {
        (void)fprintf(f, "%s%s", i > 0 ? ", " : "", conf->zones[i].s);
    }
}

static void
print_value(FILE *f, const struct servicefile_key *key, const void *conf)
{
    const char *member = (const char *)conf + key->offset;
    char text[32];

    switch (key->kind) {
    case SERVICEFILE_NAME:
        (void)fputs(((const struct name *)member)->s, f);
        break;
    case SERVICEFILE_COUNT:
        (void)fprintf(f, "%u", *(const uint32_t *)member);
        break;
    case SERVICEFILE_MILLI:
        format_milli(*(const uint32_t *)member, text, sizeof(text));
        (void)fputs(text, f);
        break;
    case SERVICEFILE_MSEC:
        (void)fprintf(f, "%lld",
                      (long long)(*(const int64_t *)member / USEC_PER_MSEC));
        break;
    case SERVICEFILE_FLAG:
        (void)fputs(*(const bool *)member ? "true" : "false", f);
        break;
    case SERVICEFILE_ORDER:
        (void)fputs(order_names[*(const enum queue_order *)member], f);
        break;
    case SERVICEFILE_ZONES:
        print_zones(f, conf);
        break;
    }
}

static void
print_section(FILE *f, const struct section_kind *kind, struct name name,
              const void *conf)
{
    (void)fprintf(f, "[%s %s]\n", kind->word, name.s);
    for (size_t i = 0; i < kind->n_keys; i++) {
        (void)fprintf(f, "%s = ", kind->keys[i].name);
        print_value(f, &kind->keys[i], conf);
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
        print_section(f, &team_kind, sorted->teams[i].name, &sorted->teams[i]);
    }
    for (size_t i = 0; i < sorted->n_services; i++) {
        print_section(f, &service_kind, sorted->services[i].name,
                      &sorted->services[i]);
    }
    config_free(sorted);
    if (fclose(f) != 0) {
        free(text);
        return NULL;
    }
    return text;
}
