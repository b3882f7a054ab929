/*
 * Runs every suite, or those named on the command line after the folder of
 * the data files.  The last line is "N passed, M failed".  Tests that
 * KNOWN-RED.txt lists as "test SUITE NAME |" are named and passed over; with
 * BM_KNOWN_RED set they run too.
 */
#include "check.h"

#include <CUnit/Basic.h>
#include <stdbool.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

static const char *data_dir = "tests";

const char *
check_data_dir(void)
{
    return data_dir;
}

static bool
is_known_red(const char *suite, const char *test)
{
    char path[256];
    char wanted_line[128];
    char line[1024];
    bool found = false;
    FILE *f;

    (void)snprintf(path, sizeof(path), "%s/../KNOWN-RED.txt", data_dir);
    (void)snprintf(wanted_line, sizeof(wanted_line), "test %s %s |", suite,
                   test);
    f = fopen(path, "r");
    if (f == NULL) {
        return false;
    }
    while (!found && fgets(line, sizeof(line), f) != NULL) {
        found = strncmp(line, wanted_line, strlen(wanted_line)) == 0;
    }
    (void)fclose(f);
    return found;
}

void
check_add(const char *suite, const char *test, void (*run)(void))
{
    CU_pSuite s = CU_get_suite(suite);

    if (getenv("BM_KNOWN_RED") == NULL && is_known_red(suite, test)) {
        printf("known red, passed over: %s %s\n", suite, test);
        return;
    }
    if (s == NULL) {
        s = CU_add_suite(suite, NULL, NULL);
    }
    if (s == NULL || CU_add_test(s, test, run) == NULL) {
        (void)fprintf(stderr, "check: cannot add %s: %s\n", test,
                      CU_get_error_msg());
        exit(EXIT_FAILURE);
    }
}

static const struct {
    const char *name;
    void (*add)(void);
} suites[] = {
#define SUITE(name) {#name, suite_##name},
#include "suite_list.h"
#undef SUITE
};

static int
wanted(const char *name, int argc, char **argv)
{
    if (argc <= 2) {
        return 1;
    }
    for (int i = 2; i < argc; i++) {
        if (strcmp(argv[i], name) == 0) {
            return 1;
        }
    }
    return 0;
}

int
main(int argc, char **argv)
{
    unsigned int failed;

    if (argc > 1) {
        data_dir = argv[1];
    }
    if (CU_initialize_registry() != CUE_SUCCESS) {
        return EXIT_FAILURE;
    }
    for (size_t i = 0; i < sizeof(suites) / sizeof(suites[0]); i++) {
        if (wanted(suites[i].name, argc, argv)) {
            suites[i].add();
        }
    }
    CU_basic_set_mode(CU_BRM_NORMAL);
    if (CU_basic_run_tests() != CUE_SUCCESS) {
        return EXIT_FAILURE;
    }
    failed = CU_get_number_of_tests_failed();
    printf("%u passed, %u failed\n", CU_get_number_of_tests_run() - failed,
           failed);
    CU_cleanup_registry();
    return failed == 0 ? EXIT_SUCCESS : EXIT_FAILURE;
}
