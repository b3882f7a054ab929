#include "stats.h"

#include <inttypes.h>

struct stats stats;
struct peer_sent peer_sent;

void
stats_count_sent(enum msg_kind kind, uint64_t bytes)
{
    stats_add(&peer_sent.messages[kind], 1);
    stats_add(&peer_sent.bytes[kind], bytes);
}

void
stats_print_one(FILE *out, const char *name, const char *type,
                const char *help, uint64_t value)
{
    (void)fprintf(out,
                  "# HELP boragemoor_%s %s\n# TYPE boragemoor_%s %s\n"
                  "boragemoor_%s %" PRIu64 "\n",
                  name, help, name, type, name, value);
}

static void
print_by_kind(FILE *out, const char *name, const char *help,
              atomic_ullong values[MSG_KINDS])
{
    (void)fprintf(out,
                  "# HELP boragemoor_%s %s\n# TYPE boragemoor_%s counter\n",
                  name, help, name);
    for (int kind = 0; kind < MSG_KINDS; kind++) {
        uint64_t value = atomic_load(&values[kind]);

        if (value > 0) {
            (void)fprintf(out, "boragemoor_%s{kind=\"%s\"} %" PRIu64 "\n",
                          name, msg_name((enum msg_kind)kind), value);
        }
    }
}

void
stats_print(FILE *out)
{
#define STAT(name, help)                                                      \
    stats_print_one(out, #name "_total", "counter", help,                     \
                    atomic_load(&stats.name));
    STAT_LIST(STAT)
#undef STAT
    print_by_kind(out, "peer_sent_messages_total",
                  "messages sent to other instances", peer_sent.messages);
    print_by_kind(out, "peer_sent_bytes_total",
                  "bytes of messages sent to other instances",
                  peer_sent.bytes);
}
