#include "ctl.h"

#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "texttable.h"

enum { ASK_MS = 2000, PATH_SIZE = 3 * NAME_SIZE + 64 };

static json_t *
parse_reply(const struct fetch_reply *reply, long *status)
{
    *status = reply->error == FETCH_OK ? reply->status : 0;
    return reply->body != NULL ? json_loadb(reply->body, reply->size, 0, NULL)
                               : NULL;
}

json_t *
ctl_get(const struct opclient_options *who, const char *path,
        const char *query, long *status)
{
    struct opclient_request request = {"GET", path, query, NULL};
    struct opclient *c = opclient_new(who);
    struct fetch_reply reply;
    json_t *json;

    *status = 0;
    if (c == NULL) {
        return NULL;
    }
    (void)opclient_run(c, &request, &reply);
    json = parse_reply(&reply, status);
    fetch_reply_clear(&reply);
    opclient_free(c);
    if (*status != 200) {
        json_decref(json);
        return NULL;
    }
    return json;
}

json_t *
ctl_ask_one(const char *method, const char *address, const char *path,
            long *status)
{
    struct fetch_request request = {.method = method, .timeout_ms = ASK_MS};
    struct fetch *f = fetch_new();
    struct fetch_reply reply;
    json_t *json;

    *status = 0;
    if (f == NULL) {
        return NULL;
    }
    (void)snprintf(request.url, sizeof(request.url), "%s%s", address, path);
    fetch_run(f, &request, &reply);
    json = parse_reply(&reply, status);
    fetch_reply_clear(&reply);
    fetch_free(f);
    return json;
}

static const char *
text_of(const json_t *json, const char *member)
{
    const char *text = json_string_value(json_object_get(json, member));

    return text != NULL ? text : "";
}

static long long
number_of(const json_t *json, const char *member)
{
    return json_integer_value(json_object_get(json, member));
}

static const char *
yes(const json_t *json, const char *member)
{
    return json_is_true(json_object_get(json, member)) ? "yes" : "no";
}

static void
print_json(const json_t *json)
{
    (void)json_dumpf(json, stdout, JSON_INDENT(2));
    putchar('\n');
}

static void
print_table(struct texttable *t, const char *title)
{
    printf("%s\n", title);
    texttable_print(t, stdout);
    putchar('\n');
    texttable_free(t);
}

static int
complain(long status, const char *what)
{
    (void)fprintf(stderr, "bmctl: %s: %s\n", what,
                  status == 0 ? "nobody answered" : "not found");
    return status == 0 ? CTL_UNREACHABLE : CTL_NOT_FOUND;
}

/* Status. */

static void
show_members(const json_t *control)
{
    struct texttable *t =
        texttable_new("MEMBER,ROLE,VOTES,MATCH,HEARD MS,UP,OTHER DISK");
    const char *leader = text_of(control, "leader");
    size_t i;
    json_t *m;

    json_array_foreach(json_object_get(control, "members"), i, m)
    {
        texttable_cell(t, "%s", text_of(m, "name"));
        texttable_cell(t, "%s",
                       strcmp(text_of(m, "name"), leader) == 0 ? "leader"
                                                               : "follower");
        texttable_cell(t, "%s", yes(m, "voter"));
        texttable_cell(t, "%lld", number_of(m, "match"));
        texttable_cell(t, "%lld", number_of(m, "heard_ms"));
        texttable_cell(t, "%s", yes(m, "up"));
        texttable_cell(t, "%s", yes(m, "other_disk"));
    }
    printf("control: version %lld in force, term %lld, commit %lld\n",
           number_of(control, "version"), number_of(control, "term"),
           number_of(control, "commit"));
    print_table(t, "");
}

static int
show_followers(const json_t *control)
{
    struct texttable *t =
        texttable_new("INSTANCE,ZONE,VERSION,LAGS,HEARD MS,VIA");
    int lagging = 0;
    size_t i;
    json_t *f;

    json_array_foreach(json_object_get(control, "followers"), i, f)
    {
        lagging += json_is_true(json_object_get(f, "lags"));
        texttable_cell(t, "%s", text_of(f, "instance"));
        texttable_cell(t, "%s", text_of(f, "zone"));
        texttable_cell(t, "%lld", number_of(f, "version"));
        texttable_cell(t, "%s", yes(f, "lags"));
        texttable_cell(t, "%lld", number_of(f, "heard_ms"));
        texttable_cell(t, "%s", text_of(f, "via"));
    }
    print_table(t, "in force, as control knows it");
    return lagging;
}

static void
show_entries(const json_t *entries)
{
    struct texttable *t = texttable_new(
        "INSTANCE,ZONE,VERSION,STOPPING,QUEUED,RUNNING,MEMBERS UP");
    size_t i;
    json_t *e;

    json_array_foreach(entries, i, e)
    {
        const json_t *members = json_object_get(e, "members");
        size_t up = 0;
        size_t j;
        json_t *m;

        json_array_foreach(members, j, m)
        {
            up += json_is_true(json_object_get(m, "up"));
        }
        texttable_cell(t, "%s", text_of(e, "instance"));
        texttable_cell(t, "%s", text_of(e, "zone"));
        texttable_cell(t, "%lld", number_of(e, "config_version"));
        texttable_cell(t, "%s", yes(e, "stopping"));
        texttable_cell(t, "%lld", number_of(e, "tasks_queued"));
        texttable_cell(t, "%lld", number_of(e, "tasks_running"));
        texttable_cell(t, "%zu of %zu", up, json_array_size(members));
    }
    print_table(t, "entry instances");
}

/* The holder of an upstream knows it best; the others repeat what they
 * heard. */
static void
show_upstreams(const json_t *entries)
{
    struct texttable *t = texttable_new(
        "UPSTREAM,SERVICE,ZONE,HOLDER,EPOCH,SLOTS,RUNNING,LENT,LEAVING");
    size_t i;
    json_t *e;

    json_array_foreach(entries, i, e)
    {
        size_t j;
        json_t *u;

        json_array_foreach(json_object_get(e, "upstreams"), j, u)
        {
            if (!json_is_true(json_object_get(u, "held"))) {
                continue;
            }
            texttable_cell(t, "%s", text_of(u, "name"));
            texttable_cell(t, "%s", text_of(u, "service"));
            texttable_cell(t, "%s", text_of(u, "zone"));
            texttable_cell(t, "%s", text_of(e, "instance"));
            texttable_cell(t, "%lld", number_of(u, "epoch"));
            texttable_cell(t, "%lld", number_of(u, "slots"));
            texttable_cell(t, "%lld", number_of(u, "running"));
            texttable_cell(t, "%lld", number_of(u, "lent"));
            texttable_cell(t, "%s", yes(u, "leaving"));
        }
    }
    print_table(t, "upstreams and their holders");
}

/* The states of all entry instances that answer; @silent counts the others. */
static json_t *
get_entries(const struct ctl_options *o, int *silent)
{
    json_t *entries = json_array();

    *silent = 0;
    for (size_t i = 0; i < o->entries.n_addresses; i++) {
        long status;
        json_t *state =
            ctl_ask_one("GET", o->entries.addresses[i], "/v1/state", &status);

        if (status == 200 && state != NULL) {
            (void)json_array_append_new(entries, state);
            continue;
        }
        json_decref(state);
        (*silent)++;
        (void)fprintf(stderr, "bmctl: %s does not answer\n",
                      o->entries.addresses[i]);
    }
    return entries;
}

int
ctl_status(const struct ctl_options *o)
{
    int silent;
    long status = 200;
    json_t *entries = get_entries(o, &silent);
    json_t *control = o->control.n_addresses > 0
                          ? ctl_get(&o->control, "/v1/status", "", &status)
                          : NULL;
    int code = silent > 0 ? CTL_LAGS : CTL_DONE;

    if (o->json) {
        json_t *both =
            json_pack("{s:O?, s:O}", "control", control, "entries", entries);

        print_json(both);
        json_decref(both);
    }
    else {
        if (control != NULL) {
            show_members(control);
            code = show_followers(control) > 0 ? CTL_LAGS : code;
        }
        show_entries(entries);
        show_upstreams(entries);
    }
    if (o->control.n_addresses > 0 && control == NULL) {
        code = complain(status, "control");
    }
    json_decref(control);
    json_decref(entries);
    return code;
}

/* Dumps, drains and explanations. */

static json_t *
find_by(const json_t *array, const char *member, const char *name)
{
    size_t i;
    json_t *item;

    json_array_foreach(array, i, item)
    {
        if (strcmp(text_of(item, member), name) == 0) {
            return item;
        }
    }
    return NULL;
}

static json_t *
find_upstream(const json_t *entries, const char *name)
{
    json_t *found = NULL;
    size_t i;
    json_t *e;

    json_array_foreach(entries, i, e)
    {
        json_t *u = find_by(json_object_get(e, "upstreams"), "name", name);

        if (u != NULL &&
            (found == NULL || json_is_true(json_object_get(u, "held")))) {
            found = u;
        }
    }
    return found;
}

static json_t *
dump_control(const struct ctl_options *o, const char *name)
{
    long status;
    json_t *control = ctl_get(&o->control, "/v1/status", "", &status);
    const json_t *m =
        find_by(json_object_get(control, "members"), "name", name);
    char url[ADDRESS_SIZE];
    json_t *state = NULL;

    if (m != NULL && fetch_base_url(text_of(m, "http"), url, sizeof(url))) {
        state = ctl_ask_one("GET", url, "/v1/state", &status);
    }
    json_decref(control);
    return state;
}

int
ctl_dump(const struct ctl_options *o, const char *name)
{
    int silent;
    json_t *entries = get_entries(o, &silent);
    json_t *found = find_by(entries, "instance", name);

    if (found == NULL) {
        found = find_upstream(entries, name);
    }
    found = found != NULL ? json_incref(found) : dump_control(o, name);
    if (found != NULL) {
        print_json(found);
    }
    json_decref(entries);
    json_decref(found);
    return found != NULL ? CTL_DONE : complain(silent > 0 ? 0 : 404, name);
}

/* The instances of the upstream's zone know it; the others say 404. */
int
ctl_drain(const struct ctl_options *o, const char *name)
{
    char escaped[3 * NAME_SIZE];
    char path[PATH_SIZE];
    bool answered = false;

    fetch_escape(name, escaped, sizeof(escaped));
    (void)snprintf(path, sizeof(path), "/v1/upstreams/%s/drain", escaped);
    for (size_t i = 0; i < o->entries.n_addresses; i++) {
        long status;

        json_decref(
            ctl_ask_one("POST", o->entries.addresses[i], path, &status));
        answered |= status != 0;
        if (status / 100 == 2) {
            printf("%s gets no new work; stop it when what runs has ended\n",
                   name);
            return CTL_DONE;
        }
    }
    return complain(answered ? 404 : 0, name);
}

static void
add_decisions(struct texttable *t, const json_t *decisions)
{
    size_t i;
    json_t *d;

    json_array_foreach(decisions, i, d)
    {
        const json_t *task = json_object_get(d, "task");

        texttable_cell(t, "%s", text_of(d, "time"));
        texttable_cell(t, "%s", text_of(d, "reason"));
        if (task != NULL) {
            texttable_cell(t, "%lld", json_integer_value(task));
        }
        else {
            texttable_cell(t, "-");
        }
        texttable_cell(t, "%s", text_of(d, "subject"));
        texttable_cell(t, "%s", text_of(d, "detail"));
    }
}

static void
show_explanation(const json_t *json)
{
    struct texttable *t = texttable_new("WHEN,REASON,TASK,SUBJECT,DETAIL");
    const json_t *job = json_object_get(json, "job");
    const json_t *claim = json_object_get(json, "claim");

    printf("%s:", text_of(json, "instance"));
    if (claim != NULL) {
        printf(" claimed by %s to %s;", text_of(claim, "claimer"),
               text_of(claim, "purpose"));
    }
    if (job != NULL) {
        printf(" job %s, %s, %lld tasks, %lld queued, %lld sent, %lld ended",
               text_of(job, "phase"), text_of(job, "reason"),
               number_of(job, "tasks"), number_of(job, "queued"),
               number_of(job, "sent"), number_of(job, "ended"));
    }
    add_decisions(t, json_object_get(json, "decisions"));
    add_decisions(t, json_object_get(json, "of_note"));
    print_table(t, "");
}

static bool
knows_something(const json_t *json)
{
    return json_object_get(json, "job") != NULL ||
           json_object_get(json, "claim") != NULL ||
           json_array_size(json_object_get(json, "of_note")) > 0;
}

int
ctl_explain(const struct ctl_options *o, const char *key)
{
    char escaped[3 * KEY_TEXT_SIZE];
    char path[sizeof(escaped) + 32];
    bool answered = false;
    bool known = false;

    fetch_escape(key, escaped, sizeof(escaped));
    (void)snprintf(path, sizeof(path), "/v1/explain/%s", escaped);
    for (size_t i = 0; i < o->entries.n_addresses; i++) {
        long status;
        json_t *json =
            ctl_ask_one("GET", o->entries.addresses[i], path, &status);

        answered |= status != 0;
        if (status == 200 && knows_something(json)) {
            known = true;
            if (o->json) {
                print_json(json);
            }
            else {
                show_explanation(json);
            }
        }
        json_decref(json);
    }
    return known ? CTL_DONE : complain(answered ? 404 : 0, key);
}
