#include "lease.h"

#include <stdlib.h>
#include <string.h>

const char *
lease_result_text(enum lease_result r)
{
    static const char *const texts[] = {
        [LEASE_OK] = "ok",
        [LEASE_FENCED] = "upstream has a higher fence",
        [LEASE_STALE_RUN] = "run was stopped or ended before",
        [LEASE_DEADLINE_PASSED] = "deadline passed",
        [LEASE_NO_CAPACITY] = "not enough free capacity",
        [LEASE_UNHEALTHY] = "upstream is unhealthy",
        [LEASE_WRONG_UPSTREAM] = "another upstream answers at the address",
        [LEASE_BAD_REQUEST] = "call could not be decoded",
        [LEASE_NOT_SENT] = "no connection",
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
