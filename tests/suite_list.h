/* The suites of `make check`, kept once: SUITE(name) calls suite_<name>(). */
/* clang-format off */
SUITE(base)
SUITE(servicefile)
SUITE(settings)
SUITE(fake)
SUITE(storage)
SUITE(control)
/* clang-format on */
