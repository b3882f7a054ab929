/**
 * DOC: check - the test runner's interface to its suites
 */
#ifndef BM_CHECK_H
#define BM_CHECK_H

#include <CUnit/CUnit.h>

#define SUITE(name) void suite_##name(void);
#include "suite_list.h"
#undef SUITE

/** check_data_dir() - folder of the data-driven tests' text files */
const char *check_data_dir(void);

/** check_add() - adds a test to the suite of that name */
void check_add(const char *suite, const char *test, void (*run)(void));

#endif
