#include "configdiff.h"

#include <stdlib.h>
#include <string.h>

#include "servicekey.h"

/* Sections of one kind in one configuration: an array sorted by name, whose
 * elements begin with a struct name. */
struct section_array {
    const char *items;
    size_t n;
    size_t size;
};

static const void *
item_at(const struct section_array *section_array, size_t i)
{
    return section_array->items + i * section_array->size;
}

static const char *
name_at(const struct section_array *section_array, size_t i)
{
    return ((const struct name *)item_at(section_array, i))->s;
}

static char *
value_text(const struct servicekey *key, const void *conf)
{
    char *text = NULL;
    size_t size = 0;
    FILE *f = open_memstream(&text, &size);

    if (f != NULL) {
        servicekey_print(f, key, conf);
        (void)fclose(f);
    }
    return text;
}

static bool
print_changes(const struct servicekey_section *section, const void *from,
              const void *to, FILE *out)
{
    bool changed = false;

    for (size_t i = 0; i < section->n_keys; i++) {
        const struct servicekey *key = &section->keys[i];
        char *old = value_text(key, from);
        char *new = value_text(key, to);

        if (old != NULL && new != NULL && strcmp(old, new) != 0) {
            changed = true;
            if (out != NULL) {
                (void)fprintf(out, "~ [%s %s] %s: %s -> %s\n",
                              section->keyword, ((const struct name *)to)->s,
                              key->name, old, new);
            }
        }
        free(old);
        free(new);
    }
    return changed;
}

static void
print_section(char sign, const struct servicekey_section *section,
              const char *name, FILE *out)
{
    if (out != NULL) {
        (void)fprintf(out, "%c [%s %s]\n", sign, section->keyword, name);
    }
}

/* Merges the two sorted arrays in one pass. */
static void
compare_sections(const struct servicekey_section *section,
                 const struct section_array *from,
                 const struct section_array *to, FILE *out,
                 struct configdiff *diff)
{
    size_t i = 0;
    size_t j = 0;

    while (i < from->n || j < to->n) {
        int order = i == from->n ? 1
                    : j == to->n ? -1
                                 : strcmp(name_at(from, i), name_at(to, j));

        if (order < 0) {
            print_section('-', section, name_at(from, i++), out);
            diff->removed++;
        }
        else if (order > 0) {
            print_section('+', section, name_at(to, j++), out);
            diff->added++;
        }
        else {
            diff->changed += print_changes(section, item_at(from, i++),
                                           item_at(to, j++), out);
        }
    }
}

static struct section_array
teams_of(const struct config *c)
{
    return (struct section_array){(const char *)c->teams, c->n_teams,
                                  sizeof(*c->teams)};
}

static struct section_array
services_of(const struct config *c)
{
    return (struct section_array){(const char *)c->services, c->n_services,
                                  sizeof(*c->services)};
}

struct configdiff
configdiff_print(const struct config *from, const struct config *to, FILE *out)
{
    struct configdiff diff = {0};
    struct section_array old = teams_of(from);
    struct section_array new = teams_of(to);

    compare_sections(&servicekey_teams, &old, &new, out, &diff);
    old = services_of(from);
    new = services_of(to);
    compare_sections(&servicekey_services, &old, &new, out, &diff);
    return diff;
}

void
configdiff_summary(const struct configdiff *diff, char *out, size_t size)
{
    (void)snprintf(out, size, "%zu added, %zu removed, %zu changed",
                   diff->added, diff->removed, diff->changed);
}
