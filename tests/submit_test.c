/* What a caller makes of each reply. */
#include <string.h>

#include "check.h"
#include "submit.h"

static struct fetch_reply
reply_of(enum fetch_error error, long status, char *body)
{
    return (struct fetch_reply){.error = error,
                                .status = status,
                                .retry_after_s = -1,
                                .body = body,
                                .size = body != NULL ? strlen(body) : 0};
}

static struct submit_step
next(struct submit_state *state, enum fetch_error error, long status,
     const char *body)
{
    struct submit_options o = submit_options_default();
    char copy[128];
    struct fetch_reply reply;

    (void)strncpy(copy, body, sizeof(copy) - 1);
    copy[sizeof(copy) - 1] = '\0';
    reply = reply_of(error, status, error == FETCH_OK ? copy : NULL);
    return submit_next(&o, state, &reply, 0);
}

static void
submit_reads_answers(void)
{
    static const struct {
        long status;
        const char *body;
        enum submit_end end;
    } cases[] = {
        {200, "{\"status\":\"complete\"}", SUBMIT_COMPLETE},
        {200, "{\"status\":\"failed\"}", SUBMIT_FAILED},
        {200, "{\"status\":\"running\"}", SUBMIT_RUNNING},
        {202, "{}", SUBMIT_RUNNING},
        {404, "{\"started\":\"not_run\"}", SUBMIT_NOT_RUN},
        {422, "{\"started\":\"none_by_this_request\"}", SUBMIT_REFUSED},
        {200, "half an answ", SUBMIT_UNKNOWN},
        {404, "no problem details", SUBMIT_UNKNOWN},
    };

    for (size_t i = 0; i < sizeof(cases) / sizeof(cases[0]); i++) {
        struct submit_state state = {0};
        struct submit_step step =
            next(&state, FETCH_OK, cases[i].status, cases[i].body);

        CU_ASSERT_FALSE(step.again);
        CU_ASSERT_EQUAL(step.end, cases[i].end);
    }
}

/* The instance dies after it read the job, and the next one refuses its own
 * request alone.  Had the caller been told "not run", it would book the slot
 * a second time under a new key. */
static void
submit_remembers_lost_attempts(void)
{
    struct submit_state state = {0};

    CU_ASSERT_TRUE(next(&state, FETCH_LOST, 0, "").again);
    CU_ASSERT_EQUAL(
        next(&state, FETCH_OK, 422, "{\"started\":\"none_by_this_request\"}")
            .end,
        SUBMIT_UNKNOWN);
    CU_ASSERT_EQUAL(
        next(&state, FETCH_OK, 422, "{\"started\":\"not_run\"}").end,
        SUBMIT_NOT_RUN);
    memset(&state, 0, sizeof(state));
    CU_ASSERT_TRUE(next(&state, FETCH_NO_CONNECT, 0, "").again);
    CU_ASSERT_EQUAL(
        next(&state, FETCH_OK, 422, "{\"started\":\"none_by_this_request\"}")
            .end,
        SUBMIT_REFUSED);
}

/* Every instance is overloaded.  Callers that never gave up, or came back
 * together, would keep it so. */
static void
submit_bounds_attempts_and_pauses(void)
{
    struct submit_options o = submit_options_default();
    struct submit_state state = {0};
    char body[] = "{\"started\":\"not_run\"}";
    struct fetch_reply reply = reply_of(FETCH_OK, 503, body);
    struct submit_step low;
    struct submit_step high;

    for (uint32_t i = 1; i < o.attempts_max; i++) {
        struct submit_state same = state;

        low = submit_next(&o, &same, &reply, 0);
        high = submit_next(&o, &state, &reply, 0.99);
        CU_ASSERT_TRUE(low.again && high.again);
        CU_ASSERT(low.wait_us >= o.backoff_us / 2);
        CU_ASSERT(low.wait_us < high.wait_us);
        CU_ASSERT(high.wait_us <= o.backoff_max_us);
    }
    low = submit_next(&o, &state, &reply, 0);
    CU_ASSERT_FALSE(low.again);
    CU_ASSERT_EQUAL(low.end, SUBMIT_NOT_RUN);
    memset(&state, 0, sizeof(state));
    reply.retry_after_s = 2;
    CU_ASSERT_EQUAL(submit_next(&o, &state, &reply, 0).wait_us,
                    2 * USEC_PER_SEC);
    reply.retry_after_s = 3600;
    CU_ASSERT_FALSE(submit_next(&o, &state, &reply, 0).again);
}

void
suite_submit(void)
{
    check_add("submit", "submit_reads_answers", submit_reads_answers);
    check_add("submit", "submit_remembers_lost_attempts",
              submit_remembers_lost_attempts);
    check_add("submit", "submit_bounds_attempts_and_pauses",
              submit_bounds_attempts_and_pauses);
}
