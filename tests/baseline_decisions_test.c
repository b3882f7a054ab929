/* Decisions with all features disabled that the settings can disable are those
 * of the code before these features. */
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "check.h"
#include "decisions.h"

enum { LINE_SIZE = 256 };

/* Reads the line of a replay from baseline_decisions.txt, without its end. */
static bool
read_expected(const char *name, char line[LINE_SIZE])
{
    char path[LINE_SIZE];
    size_t length = strlen(name);
    bool found = false;
    FILE *f;

    (void)snprintf(path, sizeof(path), "%s/baseline_decisions.txt",
                   check_data_dir());
    f = fopen(path, "r");
    CU_ASSERT_PTR_NOT_NULL_FATAL(f);
    while (!found && fgets(line, LINE_SIZE, f) != NULL) {
        found = strncmp(line, name, length) == 0 && line[length] == ' ';
    }
    (void)fclose(f);
    line[strcspn(line, "\n")] = '\0';
    return found;
}

static void
compare(const char *name)
{
    char expected[LINE_SIZE] = "";
    struct decisions d;
    char *line = NULL;
    size_t size = 0;
    FILE *out = open_memstream(&line, &size);

    CU_ASSERT_PTR_NOT_NULL_FATAL(out);
    CU_ASSERT_TRUE_FATAL(read_expected(name, expected));
    d = decisions_of_replay(replay_of_name(name), NULL);
    decisions_print(name, &d, out);
    (void)fclose(out);
    line[strcspn(line, "\n")] = '\0';
    if (strcmp(line, expected) != 0) {
        (void)fprintf(stderr, "decisions: %s\nexpected:  %s\n", line,
                      expected);
    }
    CU_ASSERT_STRING_EQUAL(line, expected);
    CU_ASSERT_TRUE(d.kept);
    CU_ASSERT_EQUAL(d.new_messages, 0);
    free(line);
}

/* Guards against a feature that still changes a decision, or sends a message,
 * after an operator has disabled it.  One test for each replay. */
#define REPLAYS_COMPARED(X)                                                   \
    X(usual) X(twice) X(poor_zone) X(dark) X(roll) X(slow)

#define X(name)                                                               \
    static void decisions_unchanged_in_##name(void)                           \
    {                                                                         \
        compare(#name);                                                       \
    }
REPLAYS_COMPARED(X)
#undef X

void
suite_baseline_decisions(void)
{
#define X(name)                                                               \
    check_add("baseline_decisions", "decisions_unchanged_in_" #name,          \
              decisions_unchanged_in_##name);
    REPLAYS_COMPARED(X)
#undef X
}
