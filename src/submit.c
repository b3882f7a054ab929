#include "submit.h"

#include <jansson.h>
#include <string.h>

struct submit_options
submit_options_default(void)
{
    return (struct submit_options){
        .attempts_max = 7,
        .backoff_us = 100 * USEC_PER_MSEC,
        .backoff_max_us = 5 * USEC_PER_SEC,
    };
}

static bool
says(const json_t *json, const char *member, const char *word)
{
    const char *text = json_string_value(json_object_get(json, member));

    return text != NULL && strcmp(text, word) == 0;
}

static enum submit_word
read_json(const json_t *json, long status)
{
    if (status >= 400) {
        return says(json, "started", "not_run") ? SUBMIT_SAYS_NOT_RUN
               : says(json, "started", "none_by_this_request")
                   ? SUBMIT_SAYS_NOT_BY_THIS
                   : SUBMIT_SAYS_NOTHING;
    }
    if (says(json, "status", "complete")) {
        return SUBMIT_SAYS_COMPLETE;
    }
    if (says(json, "status", "failed")) {
        return SUBMIT_SAYS_FAILED;
    }
    return status == 202 || says(json, "status", "running")
               ? SUBMIT_SAYS_RUNNING
               : SUBMIT_SAYS_NOTHING;
}

enum submit_word
submit_read(const struct fetch_reply *reply)
{
    json_t *json;
    enum submit_word word;

    if (reply->error != FETCH_OK || reply->body == NULL) {
        return SUBMIT_SAYS_NOTHING;
    }
    json = json_loadb(reply->body, reply->size, 0, NULL);
    word = read_json(json, reply->status);
    json_decref(json);
    return word;
}

/* Worth another attempt: the instance is at fault, not the request. */
static bool
temporary(const struct fetch_reply *reply)
{
    switch (reply->error) {
    case FETCH_OK:
        return reply->status == 408 || reply->status == 429 ||
               reply->status >= 500;
    case FETCH_NO_CONNECT:
    case FETCH_LOST:
    case FETCH_TIMEOUT:
        return true;
    case FETCH_ABORTED:
    case FETCH_FAILED:
        return false;
    }
    return false;
}

static int64_t
told_us(const struct fetch_reply *reply)
{
    return reply->retry_after_s > 0 ? reply->retry_after_s * USEC_PER_SEC : 0;
}

/* Doubling pauses, each shortened by a random half: callers that lost the same
 * instance at the same moment would otherwise all arrive at the next one
 * together, again and again. */
static int64_t
backoff_us(const struct submit_options *o, const struct submit_state *state,
           const struct fetch_reply *reply, double random)
{
    int64_t pause = o->backoff_us;
    int64_t told = told_us(reply);

    for (uint32_t i = 1; i < state->attempts && pause < o->backoff_max_us;
         i++) {
        pause *= 2;
    }
    pause = (int64_t)((double)pause * (0.5 + random / 2));
    if (pause < told) {
        pause = told + (int64_t)((double)o->backoff_us * random);
    }
    return pause < o->backoff_max_us ? pause : o->backoff_max_us;
}

static enum submit_end
end_of(const struct submit_state *state, enum submit_word word)
{
    switch (word) {
    case SUBMIT_SAYS_COMPLETE:
        return SUBMIT_COMPLETE;
    case SUBMIT_SAYS_FAILED:
        return SUBMIT_FAILED;
    case SUBMIT_SAYS_RUNNING:
        return SUBMIT_RUNNING;
    case SUBMIT_SAYS_NOT_RUN:
        return SUBMIT_NOT_RUN;
    case SUBMIT_SAYS_NOT_BY_THIS:
    case SUBMIT_SAYS_NOTHING:
        break;
    }
    return state->maybe_started ? SUBMIT_UNKNOWN : SUBMIT_REFUSED;
}

/* Every attempt that ends without a word about starts leaves the job unknown
 * until a later one says more; so does the refusal of this request alone when
 * an earlier one under the key went unanswered. */
static void
note_attempt(struct submit_state *state, const struct fetch_reply *reply,
             enum submit_word word)
{
    state->attempts++;
    if (word == SUBMIT_SAYS_NOTHING && reply->error != FETCH_NO_CONNECT) {
        state->maybe_started = true;
    }
}

struct submit_step
submit_next(const struct submit_options *o, struct submit_state *state,
            const struct fetch_reply *reply, double random)
{
    enum submit_word word = submit_read(reply);
    struct submit_step step = {0};

    note_attempt(state, reply, word);
    if (temporary(reply) && state->attempts < o->attempts_max &&
        told_us(reply) <= o->backoff_max_us) {
        step.again = true;
        step.wait_us = backoff_us(o, state, reply, random);
        return step;
    }
    step.end = end_of(state, word);
    return step;
}

const char *
submit_end_text(enum submit_end end)
{
    static const char *const texts[] = {
        [SUBMIT_COMPLETE] = "complete", [SUBMIT_FAILED] = "failed",
        [SUBMIT_NOT_RUN] = "not run",   [SUBMIT_REFUSED] = "refused",
        [SUBMIT_UNKNOWN] = "unknown",   [SUBMIT_RUNNING] = "running",
    };

    return texts[end];
}
