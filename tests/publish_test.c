/* Publishing: differences, signatures, and the meaning of control's answers.
 */
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <sys/stat.h>
#include <unistd.h>

#include "check.h"
#include "configdiff.h"
#include "opsign.h"
#include "publish.h"
#include "servicefile.h"

static struct config *
config_of(const char *text)
{
    struct servicefile_errors errs = {0};
    struct config *config = servicefile_parse_text(text, "test", &errs);

    CU_ASSERT_PTR_NOT_NULL(config);
    servicefile_errors_clear(&errs);
    return config;
}

static void
publish_prints_differences(void)
{
    struct config *from = config_of("[team t]\n[service a]\nteam = t\n"
                                    "[service b]\nteam = t\n");
    struct config *to = config_of("[team t]\nweight = 2\n[service b]\n"
                                  "team = t\nrun_ms = 90\n[service c]\n"
                                  "team = t\n");
    char *text = NULL;
    size_t size = 0;
    FILE *f = open_memstream(&text, &size);
    struct configdiff diff = configdiff_print(from, to, f);

    (void)fclose(f);
    CU_ASSERT_STRING_EQUAL(text, "~ [team t] weight: 1 -> 2\n"
                                 "- [service a]\n"
                                 "~ [service b] run_ms: 200 -> 90\n"
                                 "+ [service c]\n");
    CU_ASSERT_EQUAL(diff.added, 1);
    CU_ASSERT_EQUAL(diff.removed, 1);
    CU_ASSERT_EQUAL(diff.changed, 2);
    diff = configdiff_print(to, to, NULL);
    CU_ASSERT_EQUAL(diff.added + diff.removed + diff.changed, 0);
    free(text);
    config_free(from);
    config_free(to);
}

static struct fetch_reply
reply_of(enum fetch_error error, long status, const char *body)
{
    static char copy[512];

    (void)snprintf(copy, sizeof(copy), "%s", body);
    return (struct fetch_reply){.error = error,
                                .status = status,
                                .body = error == FETCH_OK ? copy : NULL,
                                .size = strlen(copy)};
}

static enum publish_outcome
outcome_of(enum fetch_error error, long status, const char *body, bool unknown)
{
    struct fetch_reply reply = reply_of(error, status, body);

    return publish_read(&reply, unknown).outcome;
}

/* The connection breaks after a change was sent.  The outcome is unknown then:
 * the change may take effect although "nothing was changed" is reported, or
 * may be lost although "accepted" is reported. */
static void
publish_reads_answers(void)
{
    struct fetch_reply reply;
    struct publish_answer a;

    CU_ASSERT_EQUAL(outcome_of(FETCH_LOST, 0, "", true), PUBLISH_UNKNOWN);
    CU_ASSERT_EQUAL(outcome_of(FETCH_NO_CONNECT, 0, "", true),
                    PUBLISH_UNKNOWN);
    CU_ASSERT_EQUAL(outcome_of(FETCH_NO_CONNECT, 0, "", false),
                    PUBLISH_UNREACHABLE);
    CU_ASSERT_EQUAL(outcome_of(FETCH_OK, 503, "{}", false),
                    PUBLISH_UNREACHABLE);
    CU_ASSERT_EQUAL(outcome_of(FETCH_OK, 422, "{}", false), PUBLISH_REFUSED);
    CU_ASSERT_EQUAL(outcome_of(FETCH_OK, 401, "{}", true), PUBLISH_UNKNOWN);
    CU_ASSERT_EQUAL(outcome_of(FETCH_OK, 200, "<html>", false),
                    PUBLISH_UNKNOWN);
    CU_ASSERT_EQUAL(outcome_of(FETCH_OK, 200, "{\"version\":8}", true),
                    PUBLISH_ACCEPTED);
    reply = reply_of(FETCH_OK, 409,
                     "{\"version\":9,\"winner\":{\"version\":8,"
                     "\"operator\":\"bob\",\"summary\":\"x\"}}");
    a = publish_read(&reply, true);
    CU_ASSERT_EQUAL(a.outcome, PUBLISH_CONFLICT);
    CU_ASSERT_EQUAL(a.version, 9);
    CU_ASSERT_PTR_NOT_NULL(strstr(a.detail, "version 8 by bob"));
}

static void
publish_lists_lagging_instances(void)
{
    json_t *status = json_loads(
        "{\"followers\":[{\"instance\":\"e1\",\"version\":8},"
        "{\"instance\":\"e2\",\"zone\":\"z\",\"version\":7,\"heard_ms\":3}]}",
        0, NULL);
    struct publish_lagging_instance lag[1];

    CU_ASSERT_EQUAL(publish_list_lagging(status, 7, lag, 1).lagging, 0);
    CU_ASSERT_EQUAL(publish_list_lagging(status, 7, lag, 1).in_force, 2);
    CU_ASSERT_EQUAL(publish_list_lagging(status, 8, lag, 1).lagging, 1);
    CU_ASSERT_STRING_EQUAL(lag[0].instance, "e2");
    CU_ASSERT_EQUAL(publish_list_lagging(status, 9, lag, 1).lagging, 2);
    CU_ASSERT_FALSE(publish_list_lagging(NULL, 8, lag, 1).known);
    json_decref(status);
}

/* An attacker on the network modifies a part of a signed change, or replays
 * the change as another operator. */
static void
publish_signatures_cover_all_fields(void)
{
    static const unsigned char key[OPSIGN_KEY_SIZE] = {1};
    static const unsigned char other_key[OPSIGN_KEY_SIZE] = {2};
    const struct opsign_request right = {
        "POST", "/v1/config", name_of("alice"), 5, "00", "body", 4};
    struct opsign_request wrong[6];
    char text[OPSIGN_TEXT_SIZE];

    CU_ASSERT_TRUE(opsign_setup());
    CU_ASSERT_TRUE(opsign_sign(&right, key, text));
    CU_ASSERT_TRUE(opsign_verify(&right, key, text));
    CU_ASSERT_FALSE(opsign_verify(&right, other_key, text));
    for (size_t i = 0; i < 6; i++) {
        wrong[i] = right;
    }
    wrong[0].method = "GET";
    wrong[1].path = "/v1/members";
    wrong[2].operator_name = name_of("bob");
    wrong[3].time_us = 6;
    wrong[4].nonce = "01";
    wrong[5].body = "bodY";
    for (size_t i = 0; i < 6; i++) {
        CU_ASSERT_FALSE(opsign_verify(&wrong[i], key, text));
    }
    text[0] = text[0] == '0' ? '1' : '0';
    CU_ASSERT_FALSE(opsign_verify(&right, key, text));
    CU_ASSERT_FALSE(opsign_verify(&right, key, ""));
}

static bool
read_operators(const char *text, mode_t mode, char *error, size_t size)
{
    static struct opsign_operators operators;
    char path[] = "/tmp/bm-operators-XXXXXX";
    int fd = mkstemp(path);
    bool good;

    (void)!write(fd, text, strlen(text));
    (void)fchmod(fd, mode);
    (void)close(fd);
    good = opsign_read_file(path, &operators, error, size);
    (void)unlink(path);
    return good;
}

static void
publish_checks_operators_files(void)
{
#define HEX "0123456789abcdef0123456789abcdef0123456789abcdef0123456789abcdef"
    char error[256] = "";

    CU_ASSERT_TRUE(read_operators("[operators]\na = " HEX "\n", 0600, error,
                                  sizeof(error)));
    CU_ASSERT_FALSE(read_operators("[operators]\na = " HEX "\n", 0644, error,
                                   sizeof(error)));
    CU_ASSERT_PTR_NOT_NULL(strstr(error, "chmod 600"));
    CU_ASSERT_FALSE(
        read_operators("[operators]\na = 12\n", 0600, error, sizeof(error)));
    CU_ASSERT_PTR_NOT_NULL(strstr(error, ":2: a key is 64"));
    CU_ASSERT_FALSE(read_operators("[operators]\na = " HEX "\na = " HEX "\n",
                                   0600, error, sizeof(error)));
    CU_ASSERT_FALSE(read_operators("", 0600, error, sizeof(error)));
#undef HEX
}

void
suite_publish(void)
{
    check_add("publish", "publish_prints_differences",
              publish_prints_differences);
    check_add("publish", "publish_reads_answers", publish_reads_answers);
    check_add("publish", "publish_lists_lagging_instances",
              publish_lists_lagging_instances);
    check_add("publish", "publish_signatures_cover_all_fields",
              publish_signatures_cover_all_fields);
    check_add("publish", "publish_checks_operators_files",
              publish_checks_operators_files);
}
