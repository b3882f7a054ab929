#include "settings.h"

#include <arpa/inet.h>
#include <ctype.h>
#include <errno.h>
#include <ini.h>
#include <inttypes.h>
#include <stdarg.h>
#include <stdlib.h>
#include <string.h>

enum { SECTION_SIZE = 50 }; /* what inih keeps of a section's name */

struct value {
    char section[SECTION_SIZE];
    char *text;
    const struct setting *setting;
    int line;
};

struct section {
    char name[SECTION_SIZE];
    int line;
};

struct settings {
    const struct setting *table;
    size_t n_table;
    char *file;
    struct value *values;
    size_t n_values;
    struct section *sections;
    size_t n_sections;
    struct settings_error *errors;
    size_t n_errors;
};

/* Where the reading of a file stands. */
struct reading {
    struct settings *s;
    FILE *file;
    const char *text; /* in place of @file */
    int line;
    bool expected; /* the line should give a key ... */
    bool given;    /* ... and did */
    bool cut;      /* the line before was longer than the buffer */
};

static void *
grow(void *array, size_t n, size_t size)
{
    void *p = realloc(array, (n + 1) * size);

    if (p == NULL) {
        abort();
    }
    memset((char *)p + n * size, 0, size);
    return p;
}

static char *
copy_text(const char *text)
{
    char *copy = strdup(text);

    if (copy == NULL) {
        abort();
    }
    return copy;
}

void
settings_add_error(struct settings *s, int line, const char *format, ...)
{
    struct settings_error *e;
    va_list args;
    size_t at = s->n_errors;

    s->errors = grow(s->errors, s->n_errors, sizeof(*s->errors));
    while (at > 0 && s->errors[at - 1].line > line) {
        s->errors[at] = s->errors[at - 1];
        at--;
    }
    s->n_errors++;
    e = &s->errors[at];
    e->line = line;
    va_start(args, format);
    (void)vsnprintf(e->text, sizeof(e->text), format, args);
    va_end(args);
}

/* Length of "peer " in "peer *", 0 where the section has no name. */
static size_t
kind_length(const char *section)
{
    size_t n = strlen(section);

    return n > 1 && section[n - 1] == '*' ? n - 1 : 0;
}

static bool
section_matches(const struct setting *d, const char *section)
{
    size_t kind = kind_length(d->section);

    if (kind == 0) {
        return strcmp(d->section, section) == 0;
    }
    return strncmp(d->section, section, kind) == 0 && section[kind] != '\0';
}

static bool
section_known(const struct settings *s, const char *section)
{
    for (size_t i = 0; i < s->n_table; i++) {
        if (section_matches(&s->table[i], section)) {
            return true;
        }
    }
    return false;
}

static const struct setting *
setting_find(const struct settings *s, const char *section, const char *key)
{
    for (size_t i = 0; i < s->n_table; i++) {
        if (section_matches(&s->table[i], section) &&
            strcmp(s->table[i].key, key) == 0) {
            return &s->table[i];
        }
    }
    return NULL;
}

static struct value *
value_find(const struct settings *s, const char *section, const char *key)
{
    for (size_t i = 0; i < s->n_values; i++) {
        if (strcmp(s->values[i].section, section) == 0 &&
            strcmp(s->values[i].setting->key, key) == 0) {
            return &s->values[i];
        }
    }
    return NULL;
}

/* Lists what a file may hold, for messages: the sections, or the keys of
 * @section. */
static void
list_allowed(const struct settings *s, const char *section, char *out,
             size_t size)
{
    const char *last = "";
    size_t n = 0;

    out[0] = '\0';
    for (size_t i = 0; i < s->n_table && n < size; i++) {
        const struct setting *d = &s->table[i];
        const char *word = section != NULL ? d->key : d->section;

        if ((section != NULL && !section_matches(d, section)) ||
            strcmp(word, last) == 0) {
            continue;
        }
        n += (size_t)snprintf(out + n, size - n,
                              section != NULL ? "%s%s" : "%s[%s]",
                              n > 0 ? ", " : "", word);
        last = word;
    }
}

static bool
parse_int(const char *text, int64_t *out)
{
    char *end;

    errno = 0;
    *out = strtoll(text, &end, 10);
    return errno == 0 && end != text && *end == '\0';
}

static bool
is_name(const char *text, size_t n)
{
    for (size_t i = 0; i < n; i++) {
        if (!isalnum((unsigned char)text[i]) &&
            strchr("-_.", text[i]) == NULL) {
            return false;
        }
    }
    return n > 0 && n < NAME_SIZE;
}

static bool
are_names(const char *text)
{
    for (;;) {
        size_t n = strcspn(text, ",");
        size_t end = n;

        while (end > 0 && text[end - 1] == ' ') {
            end--;
        }
        if (!is_name(text, end)) {
            return false;
        }
        if (text[n] == '\0') {
            return true;
        }
        text += n + 1;
        text += strspn(text, " ");
    }
}

static bool
is_host(const char *text, size_t n)
{
    char host[INET6_ADDRSTRLEN];
    unsigned char address[sizeof(struct in6_addr)];

    if (n == 0 || n + 1 > sizeof(host)) {
        return false;
    }
    if (text[0] == '[' && n > 2 && text[n - 1] == ']') {
        (void)snprintf(host, sizeof(host), "%.*s", (int)n - 2, text + 1);
        return inet_pton(AF_INET6, host, address) == 1;
    }
    (void)snprintf(host, sizeof(host), "%.*s", (int)n, text);
    return inet_pton(AF_INET, host, address) == 1;
}

static bool
is_address(const char *text)
{
    const char *colon = strrchr(text, ':');
    int64_t port;

    return colon != NULL && strlen(text) < ADDRESS_SIZE &&
           is_host(text, (size_t)(colon - text)) &&
           parse_int(colon + 1, &port) && port >= 1 && port <= 65535;
}

static int
choice_index(const char *choices, const char *text)
{
    size_t n = strlen(text);
    int i = 0;

    for (const char *at = choices; n > 0; i++) {
        size_t word = strcspn(at, "|");

        if (word == n && strncmp(at, text, n) == 0) {
            return i;
        }
        if (at[word] == '\0') {
            break;
        }
        at += word + 1;
    }
    return -1;
}

static bool
value_valid(const struct setting *d, const char *text)
{
    int64_t number;

    switch (d->type) {
    case SETTING_INT:
        return parse_int(text, &number) && number >= d->min &&
               number <= d->max;
    case SETTING_NAME:
        return is_name(text, strlen(text));
    case SETTING_NAMES:
        return are_names(text);
    case SETTING_ADDRESS:
        return is_address(text);
    case SETTING_TEXT:
        return (int64_t)strlen(text) >= d->min &&
               (int64_t)strlen(text) <= d->max;
    case SETTING_CHOICE:
        return choice_index(d->choices, text) >= 0;
    default:
        return false;
    }
}

static void
describe_allowed(const struct setting *d, char *out, size_t size)
{
    const char *unit = d->unit != NULL ? d->unit : "";
    const char *space = d->unit != NULL ? " " : "";

    switch (d->type) {
    case SETTING_INT:
        (void)snprintf(out, size,
                       "a whole number from %" PRId64 " to %" PRId64 "%s%s",
                       d->min, d->max, space, unit);
        break;
    case SETTING_NAME:
        (void)snprintf(out, size,
                       "a name of 1 to %d letters, digits, '-', '_', '.'",
                       NAME_SIZE - 1);
        break;
    case SETTING_NAMES:
        (void)snprintf(out, size, "names with commas between them");
        break;
    case SETTING_ADDRESS:
        (void)snprintf(out, size, "IP:PORT, or [IP]:PORT for version 6");
        break;
    case SETTING_TEXT:
        (void)snprintf(out, size, "a text of %" PRId64 " to %" PRId64 " bytes",
                       d->min, d->max);
        break;
    default:
        (void)snprintf(out, size, "one of %s", d->choices);
        break;
    }
}

static void
value_add(struct settings *s, const struct setting *d, const char *section,
          const char *text, int line)
{
    struct value *v;

    s->values = grow(s->values, s->n_values, sizeof(*s->values));
    v = &s->values[s->n_values++];
    (void)snprintf(v->section, sizeof(v->section), "%s", section);
    v->text = copy_text(text);
    v->setting = d;
    v->line = line;
}

static int
take_key(void *user, const char *section, const char *key, const char *text)
{
    struct reading *r = user;
    struct settings *s = r->s;
    const struct setting *d = setting_find(s, section, key);
    const struct value *earlier;
    char allowed[160];

    r->given = true;
    if (d == NULL) {
        if (section_known(s, section)) {
            list_allowed(s, section, allowed, sizeof(allowed));
            settings_add_error(s, r->line,
                               "unknown key '%s' in [%s]; allowed: %s", key,
                               section, allowed);
        }
        return 1;
    }
    earlier = value_find(s, section, key);
    if (earlier != NULL) {
        settings_add_error(s, r->line, "'%s' was given before, in line %d",
                           key, earlier->line);
        return 1;
    }
    if (!value_valid(d, text)) {
        describe_allowed(d, allowed, sizeof(allowed));
        settings_add_error(s, r->line, "'%s' is '%.60s'; allowed: %s", key,
                           text, allowed);
    }
    value_add(s, d, section, text, r->line);
    return 1;
}

static void
take_section(struct reading *r, const char *start, size_t n)
{
    struct settings *s = r->s;
    char allowed[160];
    struct section *section;

    if (n >= SECTION_SIZE) {
        settings_add_error(s, r->line,
                           "section name longer than %d characters",
                           SECTION_SIZE - 1);
        return;
    }
    s->sections = grow(s->sections, s->n_sections, sizeof(*s->sections));
    section = &s->sections[s->n_sections];
    (void)snprintf(section->name, sizeof(section->name), "%.*s", (int)n,
                   start);
    section->line = r->line;
    if (!section_known(s, section->name)) {
        list_allowed(s, NULL, allowed, sizeof(allowed));
        settings_add_error(s, r->line, "unknown section [%s]; allowed: %s",
                           section->name, allowed);
        return;
    }
    for (size_t i = 0; i < s->n_sections; i++) {
        if (strcmp(s->sections[i].name, section->name) == 0) {
            settings_add_error(s, r->line, "[%s] was given before, in line %d",
                               section->name, s->sections[i].line);
            return;
        }
    }
    s->n_sections++;
}

/* inih reports only the first line that it cannot read, tells no line
 * numbers, and is silent about sections without keys.  So each line is looked
 * at on its way in, just far enough to know what it should give. */
static void
line_begin(struct reading *r, const char *line)
{
    const char *start = line + strspn(line, " \t\r\n");
    const char *end = strchr(start, ']');

    r->expected = false;
    r->given = false;
    if (*start == '[' && end != NULL) {
        take_section(r, start + 1, (size_t)(end - start) - 1);
        return;
    }
    r->expected = *start != '\0' && strchr(";#", *start) == NULL;
}

static void
line_end(struct reading *r)
{
    if (r->expected && !r->given) {
        settings_add_error(r->s, r->line,
                           "neither [section], key = value nor ; comment");
    }
    r->expected = false;
}

static char *
text_gets(char *out, int size, const char **text)
{
    size_t n = strcspn(*text, "\n");

    if (**text == '\0') {
        return NULL;
    }
    n += (*text)[n] == '\n' ? 1 : 0;
    if (n > (size_t)size - 1) {
        n = (size_t)size - 1;
    }
    memcpy(out, *text, n);
    out[n] = '\0';
    *text += n;
    return out;
}

static char *
next_line(char *out, int size, void *user)
{
    struct reading *r = user;
    char *line;
    bool whole;

    line_end(r);
    line = r->file != NULL ? fgets(out, size, r->file)
                           : text_gets(out, size, &r->text);
    if (line == NULL) {
        return NULL;
    }
    whole = strchr(line, '\n') != NULL || (int)strlen(line) < size - 1;
    if (r->cut) {
        r->cut = !whole;
        line[0] = '\0'; /* the rest of a line already refused */
        return line;
    }
    r->line++;
    if (!whole) {
        settings_add_error(r->s, r->line, "line longer than %d characters",
                           size - 2);
        r->cut = true;
        line[0] = '\0';
        return line;
    }
    line_begin(r, line);
    return line;
}

static void
check_required_in(struct settings *s, const struct setting *d,
                  const char *section, int line)
{
    char allowed[160];

    if (value_find(s, section, d->key) != NULL) {
        return;
    }
    describe_allowed(d, allowed, sizeof(allowed));
    settings_add_error(s, line, "'%s' is missing in [%s]; allowed: %s", d->key,
                       section, allowed);
}

static void
check_required(struct settings *s)
{
    for (size_t i = 0; i < s->n_table; i++) {
        const struct setting *d = &s->table[i];
        bool named = kind_length(d->section) > 0;
        bool seen = false;

        for (size_t j = 0; d->required && j < s->n_sections; j++) {
            if (section_matches(d, s->sections[j].name)) {
                check_required_in(s, d, s->sections[j].name,
                                  s->sections[j].line);
                seen = true;
            }
        }
        if (d->required && !named && !seen) {
            check_required_in(s, d, d->section, 0);
        }
    }
}

static void
check_names(struct settings *s)
{
    for (size_t i = 0; i < s->n_sections; i++) {
        const char *space = strchr(s->sections[i].name, ' ');

        if (space != NULL && !is_name(space + 1, strlen(space + 1))) {
            settings_add_error(
                s, s->sections[i].line,
                "[%s]: the name must be letters, digits, '-', '_', '.'",
                s->sections[i].name);
        }
    }
}

static struct settings *
settings_new(const struct setting *table, size_t n, const char *file)
{
    struct settings *s = calloc(1, sizeof(*s));

    if (s == NULL) {
        return NULL;
    }
    s->table = table;
    s->n_table = n;
    s->file = copy_text(file);
    return s;
}

static void
read_all(struct reading *r)
{
    (void)ini_parse_stream(next_line, r, take_key, r);
    line_end(r);
    check_required(r->s);
    check_names(r->s);
}

struct settings *
settings_read_file(const struct setting *table, size_t n, const char *path)
{
    struct reading r = {.s = settings_new(table, n, path)};

    if (r.s == NULL) {
        return NULL;
    }
    r.file = fopen(path, "re");
    if (r.file == NULL) {
        settings_add_error(r.s, 0, "cannot be read: %s", strerror(errno));
        return r.s;
    }
    read_all(&r);
    if (ferror(r.file)) {
        settings_add_error(r.s, 0, "cannot be read: %s", strerror(errno));
    }
    (void)fclose(r.file);
    return r.s;
}

struct settings *
settings_read_text(const struct setting *table, size_t n, const char *name,
                   const char *text)
{
    struct reading r = {.s = settings_new(table, n, name), .text = text};

    if (r.s != NULL) {
        read_all(&r);
    }
    return r.s;
}

bool
settings_load(struct settings **file, const struct settings_load *l,
              const char *path, FILE *errors)
{
    size_t n;

    *file = settings_read_file(l->table, l->n, path);
    if (*file == NULL) {
        return false;
    }
    (void)settings_errors(*file, &n);
    if (n == 0) {
        l->take(l->user);
        (void)settings_errors(*file, &n);
    }
    settings_print_errors(*file, errors);
    return n == 0;
}

void
settings_free(struct settings *s)
{
    if (s == NULL) {
        return;
    }
    for (size_t i = 0; i < s->n_values; i++) {
        free(s->values[i].text);
    }
    free(s->values);
    free(s->sections);
    free(s->errors);
    free(s->file);
    free(s);
}

const struct settings_error *
settings_errors(const struct settings *s, size_t *n)
{
    *n = s->n_errors;
    return s->errors;
}

void
settings_print_errors(const struct settings *s, FILE *out)
{
    for (size_t i = 0; i < s->n_errors; i++) {
        (void)fprintf(out, "%s:%d: %s\n", s->file, s->errors[i].line,
                      s->errors[i].text);
    }
}

static const char *
name_in_kind(const char *section, const char *kind)
{
    size_t n = strlen(kind);

    return strncmp(section, kind, n) == 0 && section[n] == ' '
               ? section + n + 1
               : NULL;
}

size_t
settings_count(const struct settings *s, const char *kind)
{
    size_t n = 0;

    for (size_t i = 0; i < s->n_sections; i++) {
        n += name_in_kind(s->sections[i].name, kind) != NULL ? 1 : 0;
    }
    return n;
}

const char *
settings_name(const struct settings *s, const char *kind, size_t i)
{
    for (size_t j = 0; j < s->n_sections; j++) {
        const char *name = name_in_kind(s->sections[j].name, kind);

        if (name != NULL && i-- == 0) {
            return name;
        }
    }
    return NULL;
}

const char *
settings_text(const struct settings *s, const char *section, const char *key)
{
    const struct value *v = value_find(s, section, key);
    const struct setting *d = setting_find(s, section, key);

    if (v != NULL) {
        return v->text;
    }
    return d != NULL ? d->fallback : NULL;
}

const char *
settings_named_text(const struct settings *s, const char *kind,
                    const char *name, const char *key)
{
    char section[2 * NAME_SIZE];

    (void)snprintf(section, sizeof(section), "%s %s", kind, name);
    return settings_text(s, section, key);
}

int64_t
settings_int(const struct settings *s, const char *section, const char *key)
{
    const char *text = settings_text(s, section, key);
    int64_t number = 0;

    return text != NULL && parse_int(text, &number) ? number : 0;
}

int
settings_choice(const struct settings *s, const char *section, const char *key)
{
    const char *text = settings_text(s, section, key);
    const struct setting *d = setting_find(s, section, key);

    return text != NULL && d != NULL && d->choices != NULL
               ? choice_index(d->choices, text)
               : -1;
}

int
settings_line(const struct settings *s, const char *section, const char *key)
{
    const struct value *v = value_find(s, section, key);

    return v != NULL ? v->line : 0;
}

void
settings_help(const struct setting *table, size_t n, FILE *out)
{
    const char *section = NULL;

    for (size_t i = 0; i < n; i++) {
        const struct setting *d = &table[i];
        char allowed[160];

        if (section == NULL || strcmp(section, d->section) != 0) {
            (void)fprintf(out, "[%s]\n", d->section);
            section = d->section;
        }
        describe_allowed(d, allowed, sizeof(allowed));
        (void)fprintf(out, "  %s: %s\n    %s; ", d->key, d->help, allowed);
        if (d->fallback != NULL) {
            (void)fprintf(out, "default %s\n", d->fallback);
        }
        else {
            (void)fprintf(out, d->required ? "required\n" : "no default\n");
        }
    }
}
