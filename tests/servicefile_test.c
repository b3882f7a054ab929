/*
 * Service files.  Each tests/servicefile/NAME.case holds a text, a line "---"
 * and the expected errors in order; a valid text has none.
 */
#include <dirent.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <sys/stat.h>
#include <unistd.h>

#include "check.h"
#include "servicefile.h"

enum { TEXT_MAX = 1 << 16, PATH_SIZE = 512 };

static char *
slurp(const char *dir, const char *name)
{
    char path[PATH_SIZE];
    char *text = calloc(1, TEXT_MAX);
    FILE *f;

    (void)snprintf(path, sizeof(path), "%s/%s", dir, name);
    f = fopen(path, "r");
    if (f != NULL) {
        (void)fread(text, 1, TEXT_MAX - 1, f);
        (void)fclose(f);
    }
    return text;
}

static void
format_errors(const struct servicefile_errors *errs, char *out, size_t size)
{
    size_t n = 0;

    out[0] = '\0';
    for (size_t i = 0; i < errs->n && n < size; i++) {
        n += (size_t)snprintf(out + n, size - n, "%d: %s\n",
                              errs->items[i].line, errs->items[i].text);
    }
}

/* Checks that parsing the canonical text gives an equal configuration. */
static void
check_round_trip(const struct config *config, const char *expected)
{
    struct servicefile_errors errs = {0};
    char *first = servicefile_canonical(config);
    struct config *back = servicefile_parse_text(first, "canonical", &errs);
    char *second = back == NULL ? NULL : servicefile_canonical(back);

    CU_ASSERT_PTR_NOT_NULL(back);
    if (second != NULL) {
        CU_ASSERT_STRING_EQUAL(first, second);
    }
    if (expected != NULL) {
        CU_ASSERT_STRING_EQUAL(first, expected);
    }
    free(first);
    free(second);
    config_free(back);
}

static void
run_case(const char *dir, const char *name)
{
    struct servicefile_errors errs = {0};
    char *text = slurp(dir, name);
    char *expected = strstr(text, "---\n");
    char *got = malloc(TEXT_MAX);
    struct config *config = NULL;

    CU_ASSERT_PTR_NOT_NULL(expected);
    if (expected == NULL) {
        goto out;
    }
    expected[0] = '\0';
    expected += strlen("---\n");
    config = servicefile_parse_text(text, "case", &errs);
    format_errors(&errs, got, TEXT_MAX);
    if (strcmp(got, expected) != 0) {
        (void)fprintf(stderr, "%s: got\n%s", name, got);
    }
    CU_ASSERT_STRING_EQUAL(got, expected);
    CU_ASSERT_EQUAL(config != NULL, expected[0] == '\0');
    if (config != NULL) {
        check_round_trip(config, strstr(name, "canonical") ? text : NULL);
    }
out:
    config_free(config);
    servicefile_errors_clear(&errs);
    free(got);
    free(text);
}

static void
servicefile_cases(void)
{
    char dir[PATH_SIZE];
    struct dirent *entry;
    int cases = 0;
    DIR *d;

    (void)snprintf(dir, sizeof(dir), "%s/servicefile", check_data_dir());
    d = opendir(dir);
    CU_ASSERT_PTR_NOT_NULL(d);
    if (d == NULL) {
        return;
    }
    while ((entry = readdir(d)) != NULL) {
        if (strstr(entry->d_name, ".case") != NULL) {
            run_case(dir, entry->d_name);
            cases++;
        }
    }
    closedir(d);
    CU_ASSERT(cases >= 5);
}

static void
write_file(const char *dir, const char *name, const char *text)
{
    char path[PATH_SIZE];
    FILE *f;

    (void)snprintf(path, sizeof(path), "%s/%s", dir, name);
    f = fopen(path, "w");
    CU_ASSERT_PTR_NOT_NULL(f);
    if (f != NULL) {
        (void)fputs(text, f);
        (void)fclose(f);
    }
}

/* Two repositories that are published together define the same service.  If
 * the later definition silently replaced the first, the service would run with
 * the limits of another team. */
static void
servicefile_refuses_duplicates_across_files(void)
{
    char dir[] = "/tmp/bm-servicefile-XXXXXX";
    char path[PATH_SIZE];
    struct servicefile_errors errs = {0};

    CU_ASSERT_PTR_NOT_NULL_FATAL(mkdtemp(dir));
    write_file(dir, "a.service.ini", "[team t]\n[service s]\nteam = t\n");
    write_file(dir, "b.service.ini", "[service s]\nteam = t\n");
    write_file(dir, "notes.ini", "[not read]\n");
    CU_ASSERT_PTR_NULL(servicefile_load_dir(dir, &errs));
    CU_ASSERT_EQUAL_FATAL(errs.n, 1);
    CU_ASSERT_EQUAL(errs.items[0].line, 1);
    CU_ASSERT_PTR_NOT_NULL(strstr(errs.items[0].file, "b.service.ini"));
    CU_ASSERT_PTR_NOT_NULL(strstr(errs.items[0].text, "a.service.ini:2"));
    servicefile_errors_clear(&errs);
    for (const char *const *name =
             (const char *const[]){"a.service.ini", "b.service.ini",
                                   "notes.ini", NULL};
         *name != NULL; name++) {
        (void)snprintf(path, sizeof(path), "%s/%s", dir, *name);
        (void)unlink(path);
    }
    CU_ASSERT_PTR_NULL(servicefile_load_dir(dir, &errs));
    CU_ASSERT_EQUAL(errs.n, 1);
    servicefile_errors_clear(&errs);
    (void)rmdir(dir);
}

static void
check_documented(const char *doc, const struct servicekey *key)
{
    char range[128];
    char row[512];

    servicekey_range(key, range, sizeof(range));
    (void)snprintf(row, sizeof(row), "| `%s` | %s | %s | %s | %s |\n",
                   key->name, key->unit, range,
                   key->default_value == NULL      ? "required"
                   : key->default_value[0] == '\0' ? "none"
                                                   : key->default_value,
                   key->help_text);
    if (strstr(doc, row) == NULL) {
        (void)fprintf(stderr, "docs/service-files.md lacks: %s", row);
    }
    CU_ASSERT_PTR_NOT_NULL(strstr(doc, row));
}

static void
check_section(const char *doc, const struct servicekey_section *section)
{
    for (size_t i = 0; i < section->n_keys; i++) {
        check_documented(doc, &section->keys[i]);
    }
}

static void
servicefile_page_lists_every_key(void)
{
    char dir[PATH_SIZE];
    char *doc;

    (void)snprintf(dir, sizeof(dir), "%s/../docs", check_data_dir());
    doc = slurp(dir, "service-files.md");
    check_section(doc, &servicekey_services);
    check_section(doc, &servicekey_teams);
    free(doc);
}

void
suite_servicefile(void)
{
    check_add("servicefile", "servicefile_cases", servicefile_cases);
    check_add("servicefile", "servicefile_refuses_duplicates_across_files",
              servicefile_refuses_duplicates_across_files);
    check_add("servicefile", "servicefile_page_lists_every_key",
              servicefile_page_lists_every_key);
}
