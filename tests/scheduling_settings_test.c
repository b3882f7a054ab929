/* The settings file of the platform's programs, and their command line. */
#include "scheduling_settings.h"

#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <unistd.h>

#include "check.h"
#include "daemon.h"
#include "platform_process.h"

enum { TEXT_SIZE = 4096, PATH_SIZE = 256 };

/* Writes a file for the time of a test; @path is overwritten. */
static void
write_file(char path[PATH_SIZE], const char *text)
{
    FILE *f;
    int fd;

    (void)snprintf(path, PATH_SIZE, "/tmp/bm-settings-XXXXXX");
    fd = mkstemp(path);
    CU_ASSERT_FATAL(fd >= 0);
    f = fdopen(fd, "w");
    CU_ASSERT_PTR_NOT_NULL_FATAL(f);
    (void)fputs(text, f);
    (void)fclose(f);
}

static bool
read_text(const char *text, struct scheduling_settings *out,
          char errors[TEXT_SIZE])
{
    char path[PATH_SIZE];
    FILE *f = fmemopen(errors, TEXT_SIZE, "w");
    bool ok;

    CU_ASSERT_PTR_NOT_NULL_FATAL(f);
    write_file(path, text);
    ok = scheduling_settings_read(path, out, f);
    (void)fclose(f);
    (void)unlink(path);
    return ok;
}

static int
count_disabled(const struct scheduling_settings *s)
{
    int n = 0;

    for (int f = 0; f < BROKER_FEATURES; f++) {
        n += s->disabled[f] ? 1 : 0;
    }
    return n;
}

/* Guards against a key that switches nothing, or another feature. */
static void
each_key_switches_its_feature(void)
{
    static const struct {
        const char *key;
        enum broker_feature feature;
    } keys[] = {{"instance_capacity", BROKER_FEATURE_INSTANCE_CAPACITY},
                {"upstream_speed", BROKER_FEATURE_UPSTREAM_SPEED},
                {"urgent_reserve", BROKER_FEATURE_URGENT_RESERVE}};
    struct scheduling_settings s;
    char errors[TEXT_SIZE];
    char text[TEXT_SIZE];

    for (size_t i = 0; i < sizeof(keys) / sizeof(keys[0]); i++) {
        (void)snprintf(text, sizeof(text), "[scheduling]\n%s = off\n",
                       keys[i].key);
        CU_ASSERT_TRUE(read_text(text, &s, errors));
        CU_ASSERT_EQUAL(count_disabled(&s), 1);
        CU_ASSERT_TRUE(s.disabled[keys[i].feature]);
        CU_ASSERT_TRUE(s.idle_heartbeats);
    }
    CU_ASSERT_TRUE(read_text("[peers]\nidle_heartbeats = off\n", &s, errors));
    CU_ASSERT_EQUAL(count_disabled(&s), 0);
    CU_ASSERT_FALSE(s.idle_heartbeats);
}

/* Guards against a file that is read in part: features that the operator
 * wanted off would be on. */
static void
mistakes_are_reported_and_change_nothing(void)
{
    struct scheduling_settings s = scheduling_settings_default();
    char errors[TEXT_SIZE] = "";

    CU_ASSERT_FALSE(read_text("[scheduling]\n"
                              "upstream_speed = off\n"
                              "urgent_reserve = no\n"
                              "colour = on\n"
                              "[network]\n",
                              &s, errors));
    CU_ASSERT_PTR_NOT_NULL(strstr(errors, ":3: "));
    CU_ASSERT_PTR_NOT_NULL(strstr(errors, "one of on|off"));
    CU_ASSERT_PTR_NOT_NULL(strstr(errors, "unknown key 'colour'"));
    CU_ASSERT_PTR_NOT_NULL(strstr(errors, "unknown section [network]"));
    CU_ASSERT_EQUAL(count_disabled(&s), 0);
}

/* Guards against a shipped file that lacks a key or has another default than
 * the programs. */
static void
shipped_file_has_all_defaults(void)
{
    struct scheduling_settings s;
    char path[PATH_SIZE];
    char help[TEXT_SIZE] = "";
    char text[TEXT_SIZE] = "";
    FILE *out = fmemopen(help, sizeof(help), "w");
    FILE *f;
    int keys = 0;

    (void)snprintf(path, sizeof(path), "%s/../deploy/broker.ini",
                   check_data_dir());
    CU_ASSERT_TRUE(scheduling_settings_read(path, &s, stderr));
    CU_ASSERT_EQUAL(count_disabled(&s), 0);
    CU_ASSERT_TRUE(s.idle_heartbeats);
    f = fopen(path, "r");
    CU_ASSERT_PTR_NOT_NULL_FATAL(f);
    (void)fread(text, 1, sizeof(text) - 1, f);
    (void)fclose(f);
    scheduling_settings_help(out);
    (void)fclose(out);
    for (char *line = strtok(help, "\n"); line != NULL;
         line = strtok(NULL, "\n")) {
        char key[PATH_SIZE];
        char expected[2 * PATH_SIZE];

        if (sscanf(line, "  %64[a-z_]:", key) == 1 && line[2] != ' ') {
            (void)snprintf(expected, sizeof(expected), "\n%s = on\n", key);
            CU_ASSERT_PTR_NOT_NULL(strstr(text, expected));
            keys++;
        }
    }
    CU_ASSERT_EQUAL(keys, 4);
}

/* Guards against placement that changes although UPSTREAM_SPEED is off. */
static void
remote_factor_is_used_with_upstream_speed_only(void)
{
    struct scheduling_settings s = scheduling_settings_default();
    struct broker_options o = broker_options_default();

    scheduling_settings_apply(&s, 0, &o);
    CU_ASSERT_EQUAL(o.remote_factor, 1.5);
    scheduling_settings_apply(&s, 3, &o);
    CU_ASSERT_EQUAL(o.remote_factor, 3);
    o = broker_options_default();
    s.disabled[BROKER_FEATURE_UPSTREAM_SPEED] = true;
    scheduling_settings_apply(&s, 3, &o);
    CU_ASSERT_EQUAL(o.remote_factor, 1.5);
    CU_ASSERT_TRUE(o.disabled[BROKER_FEATURE_UPSTREAM_SPEED]);
}

static int runs;

static int
count_run(const struct platform_process *p)
{
    (void)p;
    runs++;
    return EXIT_SUCCESS;
}

/* Runs the main function of a program with up to three arguments. */
static int
start_with(const char *first, const char *second, const char *third)
{
    static const struct platform_program program = {.name = "bm-platform-test",
                                                    .run = count_run};
    const char *argv[] = {program.name, first, second, third, NULL};
    int argc = 1;

    while (argv[argc] != NULL) {
        argc++;
    }
    return platform_main(&program, argc, (char **)argv);
}

/* Guards against a start with settings that nobody chose. */
static void
nothing_starts_after_a_mistake(void)
{
    char path[PATH_SIZE];

    runs = 0;
    write_file(path, "[scheduling]\nurgent_reserve = maybe\n");
    CU_ASSERT_EQUAL(start_with("--settings", path, NULL),
                    DAEMON_EXIT_SETTINGS);
    CU_ASSERT_EQUAL(start_with("--check", "--settings", path),
                    DAEMON_EXIT_SETTINGS);
    (void)unlink(path);
    CU_ASSERT_EQUAL(start_with("--settings", path, NULL),
                    DAEMON_EXIT_SETTINGS);
    CU_ASSERT_EQUAL(start_with("--settings", NULL, NULL), DAEMON_EXIT_USAGE);
    CU_ASSERT_EQUAL(start_with("--colour", NULL, NULL), DAEMON_EXIT_USAGE);
    CU_ASSERT_EQUAL(start_with(path, NULL, NULL), DAEMON_EXIT_USAGE);
    CU_ASSERT_EQUAL(start_with("--check", NULL, NULL), DAEMON_EXIT_USAGE);
    CU_ASSERT_EQUAL(runs, 0);
}

void
suite_scheduling_settings(void)
{
#define TEST(name) check_add("scheduling_settings", #name, name)
    TEST(each_key_switches_its_feature);
    TEST(mistakes_are_reported_and_change_nothing);
    TEST(shipped_file_has_all_defaults);
    TEST(remote_factor_is_used_with_upstream_speed_only);
    TEST(nothing_starts_after_a_mistake);
#undef TEST
}
