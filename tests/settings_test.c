/* Settings files: values, and every error at once with its line. */
#include "settings.h"

#include <string.h>

#include "check.h"

static const struct setting table[] = {
    {"instance", "name", SETTING_NAME, true, NULL, 0, 0, NULL, NULL, "name"},
    {"instance", "listen", SETTING_ADDRESS, true, NULL, 0, 0, NULL, NULL,
     "address"},
    {"limits", "wait_ms", SETTING_INT, false, "ms", 1, 1000, "50", NULL,
     "wait"},
    {"limits", "order", SETTING_CHOICE, false, NULL, 0, 0, "least",
     "least|fair", "order"},
    {"peer *", "zone", SETTING_NAME, true, NULL, 0, 0, NULL, NULL, "zone"},
    {"peer *", "zones", SETTING_NAMES, false, NULL, 0, 0, NULL, NULL, "zones"},
};

enum { TABLE = sizeof(table) / sizeof(table[0]) };

static void
settings_gives_values(void)
{
    struct settings *s = settings_read_text(table, TABLE, "t",
                                            "[instance]\n"
                                            "name = e1 ; comment\n"
                                            "listen = 127.0.0.1:80\n"
                                            "[limits]\n"
                                            "order = fair\n"
                                            "[peer e1]\n"
                                            "zone = a\n"
                                            "[peer e2]\n"
                                            "zone = b\n"
                                            "zones = a, b\n");
    size_t n;

    (void)settings_errors(s, &n);
    settings_print_errors(s, stderr);
    CU_ASSERT_EQUAL(n, 0);
    CU_ASSERT_STRING_EQUAL(settings_text(s, "instance", "name"), "e1");
    CU_ASSERT_EQUAL(settings_int(s, "limits", "wait_ms"), 50);
    CU_ASSERT_EQUAL(settings_choice(s, "limits", "order"), 1);
    CU_ASSERT_EQUAL(settings_count(s, "peer"), 2);
    CU_ASSERT_STRING_EQUAL(settings_name(s, "peer", 1), "e2");
    CU_ASSERT_STRING_EQUAL(settings_text(s, "peer e2", "zone"), "b");
    CU_ASSERT_EQUAL(settings_line(s, "peer e2", "zone"), 9);
    CU_ASSERT_PTR_NULL(settings_text(s, "peer e1", "zones"));
    settings_free(s);
}

static bool
reported(const struct settings *s, int line, const char *part)
{
    size_t n;
    const struct settings_error *e = settings_errors(s, &n);

    for (size_t i = 0; i < n; i++) {
        if (e[i].line == line && strstr(e[i].text, part) != NULL) {
            return true;
        }
    }
    return false;
}

/* An operator edits a file by hand and makes several mistakes.  Reported one
 * at a time, each costs another try of a start; not reported, the program
 * runs with a default that nobody chose. */
static void
settings_reports_all_errors(void)
{
    struct settings *s = settings_read_text(table, TABLE, "t",
                                            "[instance]\n"
                                            "name = not a name\n"
                                            "colour = red\n"
                                            "no value here\n"
                                            "[limits]\n"
                                            "wait_ms = 1001\n"
                                            "wait_ms = 5\n"
                                            "order = 5ms\n"
                                            "[peer e2]\n"
                                            "[peer e2]\n"
                                            "[moon]\n"
                                            "[peer]\n"
                                            "zone = a\n"
                                            "another bad line\n");
    size_t n;

    (void)settings_errors(s, &n);
    CU_ASSERT_EQUAL(n, 12);
    CU_ASSERT(reported(s, 1, "'listen' is missing in [instance]"));
    CU_ASSERT(reported(s, 2, "allowed: a name of 1 to 47"));
    CU_ASSERT(reported(s, 3, "unknown key 'colour'"));
    CU_ASSERT(reported(s, 4, "neither [section]"));
    CU_ASSERT(reported(s, 6, "from 1 to 1000 ms"));
    CU_ASSERT(reported(s, 7, "given before, in line 6"));
    CU_ASSERT(reported(s, 8, "one of least|fair"));
    CU_ASSERT(reported(s, 9, "'zone' is missing"));
    CU_ASSERT(reported(s, 10, "given before, in line 9"));
    CU_ASSERT(reported(s, 11, "unknown section [moon]"));
    CU_ASSERT(reported(s, 12, "unknown section [peer]"));
    CU_ASSERT(reported(s, 14, "neither [section]"));
    settings_free(s);
}

/* inih keeps 199 bytes of a line and 49 of a section's name.  What is past
 * that would be dropped or read as a line of its own without a word. */
static void
settings_refuses_long_lines(void)
{
    char text[400];
    struct settings *s;

    (void)snprintf(text, sizeof(text),
                   "[instance]\nname=e1\nlisten=127.0.0.1:1\n[limits]\n"
                   "order=%0300d\n",
                   0);
    s = settings_read_text(table, TABLE, "t", text);
    CU_ASSERT(reported(s, 5, "line longer than"));
    settings_free(s);
    (void)snprintf(text, sizeof(text),
                   "[instance]\nname=e1\nlisten=127.0.0.1:1\n[peer e%060d]\n",
                   0);
    s = settings_read_text(table, TABLE, "t", text);
    CU_ASSERT(reported(s, 4, "section name longer than"));
    settings_free(s);
}

void
suite_settings(void)
{
    check_add("settings", "settings_gives_values", settings_gives_values);
    check_add("settings", "settings_reports_all_errors",
              settings_reports_all_errors);
    check_add("settings", "settings_refuses_long_lines",
              settings_refuses_long_lines);
}
