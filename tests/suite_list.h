/* The suites of `make check`, kept once: SUITE(name) calls suite_<name>(). */
/* clang-format off */
SUITE(base)
SUITE(claim)
SUITE(fake)
SUITE(servicefile)
SUITE(settings)
SUITE(upclient)
SUITE(peer)
SUITE(jsonjob)
SUITE(httpd)
SUITE(fake)
SUITE(submit)
SUITE(demo)
SUITE(storage)
/* clang-format on */
