#include "publish.h"

#include <stdio.h>
#include <string.h>

static uint64_t
number_of(const json_t *json, const char *member)
{
    return (uint64_t)json_integer_value(json_object_get(json, member));
}

static const char *
text_of(const json_t *json, const char *member)
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
                   (unsigned long long)number_of(winner, "version"),
                   text_of(winner, "operator"), text_of(winner, "summary"));
}

static enum publish_end
end_of(const struct fetch_reply *reply, bool unknown)
{
    if (reply->error == FETCH_OK && reply->status == 200) {
        return PUBLISH_ACCEPTED;
    }
    if (reply->error == FETCH_OK && reply->status == 409) {
        return PUBLISH_TAKEN;
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
    struct publish_answer a = {.end = end_of(reply, unknown)};
    json_t *json = reply->body != NULL
                       ? json_loadb(reply->body, reply->size, 0, NULL)
                       : NULL;

    a.version = number_of(json, "version");
    a.resend = json_is_true(json_object_get(json, "resend"));
    if (a.end == PUBLISH_ACCEPTED && a.version == 0) {
        a.end = PUBLISH_UNKNOWN; /* 200 from a server other than bm-control */
    }
    if (a.end == PUBLISH_TAKEN) {
        describe_winner(json, &a);
    }
    else if (a.end != PUBLISH_ACCEPTED) {
        (void)snprintf(a.detail, sizeof(a.detail),
                       "%s, status %ld %.60s %.60s",
                       fetch_error_text(reply->error), reply->status,
                       text_of(json, "title"), text_of(json, "detail"));
    }
    json_decref(json);
    return a;
}

static struct publish_laggard
read_laggard(const json_t *follower)
{
    struct publish_laggard l = {.version = number_of(follower, "version")};

    (void)snprintf(l.instance, sizeof(l.instance), "%s",
                   text_of(follower, "instance"));
    (void)snprintf(l.zone, sizeof(l.zone), "%s", text_of(follower, "zone"));
    l.heard_ms = (int64_t)number_of(follower, "heard_ms");
    return l;
}

struct publish_reach
publish_laggards(const json_t *status, uint64_t version,
                 struct publish_laggard *out, size_t room)
{
    const json_t *followers = json_object_get(status, "followers");
    struct publish_reach reach = {.known = json_is_array(followers)};
    const json_t *f;
    size_t i;

    json_array_foreach(followers, i, f)
    {
        if (number_of(f, "version") >= version) {
            reach.in_force++;
            continue;
        }
        if (reach.lagging < room) {
            out[reach.lagging] = read_laggard(f);
        }
        reach.lagging++;
    }
    return reach;
}
