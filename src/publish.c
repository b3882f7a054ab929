#include "publish.h"

#include <stdio.h>
#include <string.h>

static uint64_t
integer_member(const json_t *json, const char *member)
{
    return (uint64_t)json_integer_value(json_object_get(json, member));
}

static const char *
string_member(const json_t *json, const char *member)
{
    const char *text = json_string_value(json_object_get(json, member));

    return text != NULL ? text : "";
}

static void
describe_winner(const json_t *json, struct publish_answer *a)
{
    const json_t *winner = json_object_get(json, "winner");

    if (winner == NULL) {
        (void)snprintf(a->detail, sizeof(a->detail),
                       "another publication was made from this base");
        return;
    }
    (void)snprintf(a->detail, sizeof(a->detail),
                   "version %llu by %.40s came first: %.80s",
                   (unsigned long long)integer_member(winner, "version"),
                   string_member(winner, "operator"),
                   string_member(winner, "summary"));
}

static enum publish_outcome
outcome_of(const struct fetch_reply *reply, bool unknown)
{
    if (reply->error == FETCH_OK && reply->status == 200) {
        return PUBLISH_ACCEPTED;
    }
    if (reply->error == FETCH_OK && reply->status == 409) {
        return PUBLISH_CONFLICT;
    }
    /* An error status applies to this attempt only; an earlier attempt that
     * was not answered may have been accepted. */
    if (unknown) {
        return PUBLISH_UNKNOWN;
    }
    return reply->error == FETCH_OK && reply->status < 500
               ? PUBLISH_REFUSED
               : PUBLISH_UNREACHABLE;
}

struct publish_answer
publish_read(const struct fetch_reply *reply, bool unknown)
{
    struct publish_answer a = {.outcome = outcome_of(reply, unknown)};
    json_t *json = reply->body != NULL
                       ? json_loadb(reply->body, reply->size, 0, NULL)
                       : NULL;

    a.version = integer_member(json, "version");
    a.resend = json_is_true(json_object_get(json, "resend"));
    if (a.outcome == PUBLISH_ACCEPTED && a.version == 0) {
        a.outcome =
            PUBLISH_UNKNOWN; /* 200 from a server other than bm-control */
    }
    if (a.outcome == PUBLISH_CONFLICT) {
        describe_winner(json, &a);
    }
    else if (a.outcome != PUBLISH_ACCEPTED) {
        (void)snprintf(
            a.detail, sizeof(a.detail), "%s, status %ld %.60s %.60s",
            fetch_error_text(reply->error), reply->status,
            string_member(json, "title"), string_member(json, "detail"));
    }
    json_decref(json);
    return a;
}

static struct publish_lagging_instance
read_lagging_instance(const json_t *follower)
{
    struct publish_lagging_instance l = {
        .version = integer_member(follower, "version")};

    (void)snprintf(l.instance, sizeof(l.instance), "%s",
                   string_member(follower, "instance"));
    (void)snprintf(l.zone, sizeof(l.zone), "%s",
                   string_member(follower, "zone"));
    l.heard_ms = (int64_t)integer_member(follower, "heard_ms");
    return l;
}

struct publish_rollout
publish_list_lagging(const json_t *status, uint64_t version,
                     struct publish_lagging_instance *out, size_t room)
{
    const json_t *followers = json_object_get(status, "followers");
    struct publish_rollout rollout = {.known = json_is_array(followers)};
    const json_t *f;
    size_t i;

    json_array_foreach(followers, i, f)
    {
        if (integer_member(f, "version") >= version) {
            rollout.in_force++;
            continue;
        }
        if (rollout.lagging < room) {
            out[rollout.lagging] = read_lagging_instance(f);
        }
        rollout.lagging++;
    }
    return rollout;
}
