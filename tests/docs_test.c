/* Pages that must keep up with the code. */
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "check.h"
#include "kind.h"

enum { PAGE_MAX = 1 << 17, PATH_SIZE = 512 };

/* An operator looks a reason up and does not find it. */
static void
docs_explain_every_reason(void)
{
    char path[PATH_SIZE];
    char *page = calloc(1, PAGE_MAX);
    FILE *f;

    (void)snprintf(path, sizeof(path), "%s/../docs/operators.md",
                   check_data_dir());
    f = fopen(path, "r");
    CU_ASSERT_PTR_NOT_NULL(f);
    if (f != NULL) {
        (void)fread(page, 1, PAGE_MAX - 1, f);
        (void)fclose(f);
    }
    for (int r = 0; r < REASONS; r++) {
        char row[PATH_SIZE];

        (void)snprintf(row, sizeof(row), "\n| `%s` |",
                       reason_text((enum reason)r));
        if (strstr(page, row) == NULL) {
            (void)fprintf(stderr, "docs/operators.md lacks %s\n", row);
        }
        CU_ASSERT_PTR_NOT_NULL(strstr(page, row));
    }
    free(page);
}

void
suite_docs(void)
{
    check_add("docs", "docs_explain_every_reason", docs_explain_every_reason);
}
