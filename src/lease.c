#include "lease.h"

#include <stdlib.h>
#include <string.h>

const char *
lease_result_text(enum lease_result r)
{
    static const char *const texts[] = {
        [LEASE_OK] = "ok",
        [LEASE_FENCED] = "fenced off",
        [LEASE_OLD_RUN] = "run too old",
        [LEASE_LATE] = "deadline passed",
        [LEASE_NO_ROOM] = "no room",
        [LEASE_UNHEALTHY] = "unhealthy",
        [LEASE_OTHER_LIFE] = "another upstream answers",
        [LEASE_BAD] = "call not understood",
        [LEASE_UNSENT] = "no connection",
        [LEASE_LOST] = "no answer",
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
