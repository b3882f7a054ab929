#include "lease.h"

#include <stdlib.h>
#include <string.h>

const char *
lease_result_text(enum lease_result r)
{
    static const char *const texts[] = {
        [LEASE_OK] = "ok",
        [LEASE_FENCED] = "fenced off",
        [LEASE_STALE_RUN] = "run too old",
        [LEASE_DEADLINE_PASSED] = "deadline passed",
        [LEASE_NO_CAPACITY] = "no room",
        [LEASE_UNHEALTHY] = "unhealthy",
        [LEASE_WRONG_UPSTREAM] = "another upstream answers",
        [LEASE_BAD_REQUEST] = "call not understood",
        [LEASE_UNSENT] = "no connection",
        [LEASE_NO_ANSWER] = "no answer",
    };

    return texts[r];
}

void
lease_answer_clear(struct lease_answer *a)
{
    free(a->running);
    free(a->ended);
    memset(a, 0, sizeof(*a));
}
