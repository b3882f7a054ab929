#include "metrics.h"

#include <stdlib.h>

#include "stats.h"

static void
print_counters(FILE *out, const struct entry *e)
{
    struct entry_counters c = entry_counters(e);

#define COUNTER(name, help)                                                   \
    stats_print_one(out, #name "_total", "counter", help, c.name);
    COUNTER_LIST(COUNTER)
#undef COUNTER
}

static void
print_gauges(FILE *out, const struct entry *e)
{
    struct entry_gauges g = entry_gauges(e);

    stats_print_one(out, "jobs", "gauge", "jobs in progress", g.jobs);
    stats_print_one(out, "tasks_queued", "gauge", "tasks that wait",
                    g.tasks_queued);
    stats_print_one(out, "tasks_running", "gauge", "tasks that run",
                    g.tasks_running);
    stats_print_one(out, "claims", "gauge", "claims kept as a voter",
                    g.claims);
    stats_print_one(out, "upstreams", "gauge", "upstreams known", g.upstreams);
    stats_print_one(out, "upstreams_held", "gauge", "upstreams held here",
                    g.upstreams_held);
    stats_print_one(out, "members_up", "gauge", "instances that are up",
                    g.members_up);
    stats_print_one(out, "slots_free", "gauge", "free slots held here",
                    g.slots_free);
    stats_print_one(out, "answer_bytes", "gauge", "answers kept, bytes",
                    g.answer_bytes);
    stats_print_one(out, "config_version", "gauge",
                    "version of the configuration in force",
                    entry_config_version(e));
    stats_print_one(out, "evacuated_zones", "gauge",
                    "availability zones that are evacuated",
                    g.evacuated_zones);
    stats_print_one(out, "healthy", "gauge", "takes new jobs",
                    entry_healthy(e) ? 1 : 0);
}

char *
metrics_text(const struct entry *e)
{
    char *text = NULL;
    size_t size;
    FILE *out = open_memstream(&text, &size);

    if (out == NULL) {
        return NULL;
    }
    print_counters(out, e);
    print_gauges(out, e);
    stats_print(out);
    if (fclose(out) != 0) {
        free(text);
        return NULL;
    }
    return text;
}
