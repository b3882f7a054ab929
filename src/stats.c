#include "stats.h"

#include <inttypes.h>

struct stats stats;

void
stats_print_one(FILE *out, const char *name, const char *type,
                const char *help, uint64_t value)
{
    (void)fprintf(out,
                  "# HELP boragemoor_%s %s\n# TYPE boragemoor_%s %s\n"
                  "boragemoor_%s %" PRIu64 "\n",
                  name, help, name, type, name, value);
}

void
stats_print(FILE *out)
{
#define STAT(name, help)                                                      \
    stats_print_one(out, #name "_total", "counter", help,                     \
                    atomic_load(&stats.name));
    STAT_LIST(STAT)
#undef STAT
}
