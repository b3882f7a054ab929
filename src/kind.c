#include "kind.h"

const char *
reason_text(enum reason r)
{
    static const char *const texts[] = {
#define REASON(NAME, text) text,
        REASON_LIST(REASON)
#undef REASON
    };

    return r < REASONS ? texts[r] : "unknown";
}

static const struct {
    int status;
    const char *slug;
    const char *title;
} problems[] = {
#define PROBLEM(NAME, status, slug, title) {status, slug, title},
    PROBLEM_LIST(PROBLEM)
#undef PROBLEM
};

int
problem_status(enum problem p)
{
    return problems[p].status;
}

const char *
problem_slug(enum problem p)
{
    return problems[p].slug;
}

const char *
problem_title(enum problem p)
{
    return problems[p].title;
}
