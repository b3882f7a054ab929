/* The suites of `make check`, kept once: SUITE(name) calls suite_<name>(). */
/* clang-format off */
SUITE(base)
SUITE(claim)
SUITE(fake)
SUITE(jobs)
SUITE(key)
SUITE(servicefile)
SUITE(settings)
SUITE(upclient)
SUITE(peer)
SUITE(submit)
SUITE(demo)
SUITE(publish)
SUITE(docs)
SUITE(storage)
SUITE(control)
SUITE(matrix)
/* clang-format on */
