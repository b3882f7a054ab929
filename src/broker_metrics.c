#include "broker_metrics.h"

#include "broker_dump.h"
#include "stats.h"

static void
print_requests(FILE *out, const struct broker_histograms *h)
{
    const char *help = "from a caller's request to its answer";

    for (int i = 0; i < JOB_OUTCOMES; i++) {
        char labels[48];

        (void)snprintf(labels, sizeof(labels), "outcome=\"%s\"",
                       job_outcome_text((enum job_outcome)i));
        histogram_print(out, "broker_request", help, labels, &h->request[i]);
        help = NULL;
    }
}

void
broker_metrics_print(FILE *out, const struct broker *b)
{
    struct broker_counters c = broker_counters(b);
    struct broker_gauges g = broker_gauges(b);
    const struct broker_histograms *h = broker_histograms(b);

#define BROKER_COUNTER(name, help)                                            \
    stats_print_one(out, "broker_" #name "_total", "counter", help, c.name);
    BROKER_COUNTER_LIST(BROKER_COUNTER)
#undef BROKER_COUNTER
#define BROKER_GAUGE(name, help)                                              \
    stats_print_one(out, "broker_" #name, "gauge", help, g.name);
    BROKER_GAUGE_LIST(BROKER_GAUGE)
#undef BROKER_GAUGE
#define BROKER_HISTOGRAM(name, help)                                          \
    histogram_print(out, "broker_" #name, help, "", &h->name);
    BROKER_HISTOGRAM_LIST(BROKER_HISTOGRAM)
#undef BROKER_HISTOGRAM
    print_requests(out, h);
    broker_dump_metrics(out, b);
}
