/* The suites of `make check`, kept once: SUITE(name) calls suite_<name>(). */
/* clang-format off */
SUITE(base)
SUITE(claim)
SUITE(fake)
SUITE(servicefile)
SUITE(settings)
SUITE(fake)
SUITE(submit)
SUITE(demo)
SUITE(storage)
SUITE(control)
SUITE(operator)
/* clang-format on */
