/* Keys: what they say, from key.txt. */
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "check.h"
#include "key.h"

enum { LINE_SIZE = 512, ZONES = 3 };

static struct name zones[ZONES];

static const char *const errors[] = {
    [KEY_OK] = "ok",
    [KEY_EMPTY] = "empty",
    [KEY_TOO_LONG] = "too-long",
    [KEY_BAD_CHARACTER] = "bad-character",
    [KEY_UNKNOWN_ZONE] = "unknown-zone",
};

/* Cuts a line at its last bar: the key itself may hold some. */
static char *
last_field(char *line)
{
    char *bar = strrchr(line, '|');

    if (bar == NULL) {
        CU_FAIL("a line without its fields");
        return line;
    }
    *bar = '\0';
    return bar + 1;
}

static void
check_line(char *line)
{
    const char *issued = last_field(line);
    const char *zone = last_field(line);
    const char *error = last_field(line);
    struct key_ref key;
    enum key_error err = key_parse(line, zones, ZONES, &key);

    CU_ASSERT_STRING_EQUAL(errors[err], error);
    if (err != KEY_OK) {
        return;
    }
    CU_ASSERT_TRUE(strcmp(zone, "*") == 0 || strcmp(zone, key.zone.s) == 0);
    CU_ASSERT_EQUAL(key.issued_us, strtoll(issued, NULL, 10));
}

static void
keys_from_file(void)
{
    char path[LINE_SIZE];
    char line[LINE_SIZE];
    int checked = 0;
    FILE *f;

    zones[0] = name_of("sk-east-a");
    zones[1] = name_of("sk-east-b");
    zones[2] = name_of("sk-east-c");
    (void)snprintf(path, sizeof(path), "%s/key.txt", check_data_dir());
    f = fopen(path, "r");
    CU_ASSERT_PTR_NOT_NULL_FATAL(f);
    while (fgets(line, sizeof(line), f) != NULL) {
        line[strcspn(line, "\n")] = '\0';
        if (line[0] != '#') {
            check_line(line);
            checked++;
        }
    }
    (void)fclose(f);
    CU_ASSERT_TRUE(checked > 15);
}

static void
longest_key(void)
{
    char text[KEY_TEXT_SIZE + 1];

    memset(text, 'k', sizeof(text));
    text[KEY_TEXT_SIZE] = '\0';
    CU_ASSERT_EQUAL(key_check(text), KEY_TOO_LONG);
    text[KEY_TEXT_SIZE - 1] = '\0';
    CU_ASSERT_EQUAL(key_check(text), KEY_OK);
    CU_ASSERT_EQUAL(key_check(NULL), KEY_EMPTY);
}

/* Every instance must find the same home for a key, or two of them ask
 * different voters for it and both win. */
static void
homes_are_spread_and_the_same(void)
{
    int count[ZONES] = {0};

    for (int i = 0; i < 3000; i++) {
        char text[KEY_TEXT_SIZE];
        struct key_ref a;
        struct key_ref b;

        (void)snprintf(text, sizeof(text), "order-%d", i);
        CU_ASSERT_EQUAL(key_parse(text, zones, ZONES, &a), KEY_OK);
        CU_ASSERT_EQUAL(key_parse(text, zones, ZONES, &b), KEY_OK);
        CU_ASSERT_TRUE(name_equal(a.zone, b.zone));
        for (int z = 0; z < ZONES; z++) {
            count[z] += name_equal(a.zone, zones[z]) ? 1 : 0;
        }
    }
    for (int z = 0; z < ZONES; z++) {
        CU_ASSERT_TRUE(count[z] > 900 && count[z] < 1100);
    }
}

static void
minted_keys_come_back(void)
{
    char text[KEY_TEXT_SIZE];
    struct key_ref key;

    key_mint(zones[2], name_of("e9"), UINT64_MAX, INT64_C(1764720000000000),
             UINT64_MAX, text);
    CU_ASSERT_EQUAL(key_parse(text, zones, ZONES, &key), KEY_OK);
    CU_ASSERT_TRUE(name_equal(key.zone, zones[2]));
    CU_ASSERT_EQUAL(key.issued_us, INT64_C(1764720000000000));
}

void
suite_key(void)
{
    check_add("key", "keys_from_file", keys_from_file);
    check_add("key", "longest_key", longest_key);
    check_add("key", "homes_are_spread_and_the_same",
              homes_are_spread_and_the_same);
    check_add("key", "minted_keys_come_back", minted_keys_come_back);
}
