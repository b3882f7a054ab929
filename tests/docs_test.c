/* Pages that must keep up with the code. */
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "broker.h"
#include "broker_effect.h"
#include "check.h"
#include "kind.h"

enum { PAGE_MAX = 1 << 17, PATH_SIZE = 512 };

static char *
read_page(void)
{
    char path[PATH_SIZE];
    char *page = calloc(1, PAGE_MAX);
    FILE *f;

    (void)snprintf(path, sizeof(path), "%s/../docs/OPERATIONS.md",
                   check_data_dir());
    f = fopen(path, "r");
    CU_ASSERT_PTR_NOT_NULL_FATAL(f);
    (void)fread(page, 1, PAGE_MAX - 1, f);
    (void)fclose(f);
    return page;
}

static void
expect_row(const char *page, const char *row)
{
    if (strstr(page, row) == NULL) {
        (void)fprintf(stderr, "docs/OPERATIONS.md lacks %s\n", row);
    }
    CU_ASSERT_PTR_NOT_NULL(strstr(page, row));
}

/* An operator looks a reason up and does not find it. */
static void
docs_explain_every_reason(void)
{
    char *page = read_page();

    for (int r = 0; r < REASONS; r++) {
        char row[PATH_SIZE];

        (void)snprintf(row, sizeof(row), "\n| `%s` |",
                       reason_text((enum reason)r));
        expect_row(page, row);
    }
    free(page);
}

/* The same for brokers, whose rows have the words of the code. */
static void
docs_explain_every_broker_reason(void)
{
    char *page = read_page();

#define BROKER_REASON(NAME, text, help)                                       \
    expect_row(page, "\n| `" text "` | " help " |\n");
    BROKER_REASON_LIST(BROKER_REASON)
#undef BROKER_REASON
    free(page);
}

static void
docs_explain_every_broker_metric(void)
{
    char *page = read_page();

#define BROKER_METRIC(name, suffix, help)                                     \
    expect_row(page,                                                          \
               "\n| `boragemoor_broker_" #name suffix "` | " help " |\n");
#define BROKER_COUNTER(name, help) BROKER_METRIC(name, "_total", help)
#define BROKER_GAUGE(name, help) BROKER_METRIC(name, "", help)
#define BROKER_HISTOGRAM(name, help) BROKER_METRIC(name, "_seconds", help)
    BROKER_COUNTER_LIST(BROKER_COUNTER)
    BROKER_GAUGE_LIST(BROKER_GAUGE)
    BROKER_HISTOGRAM_LIST(BROKER_HISTOGRAM)
#undef BROKER_HISTOGRAM
#undef BROKER_GAUGE
#undef BROKER_COUNTER
#undef BROKER_METRIC
    free(page);
}

void
suite_docs(void)
{
    check_add("docs", "docs_explain_every_reason", docs_explain_every_reason);
    check_add("docs", "docs_explain_every_broker_reason",
              docs_explain_every_broker_reason);
    check_add("docs", "docs_explain_every_broker_metric",
              docs_explain_every_broker_metric);
}
