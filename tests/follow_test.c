/* Distribution of configurations from control to all entry instances. */
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "check.h"
#include "delta.h"
#include "entry_net.h"
#include "textpack.h"

enum {
    CONTROLS = 3,
    PER_ZONE = 3,
    NODES = 6,
    POLLS_MAX = 64,
    TEXT_SIZE = 300
};

#define SEC USEC_PER_SEC

/* Fake control processes: newest version, and whether the process responds. */
static struct {
    uint64_t version;
    uint64_t evacuation; /* revision; the first zone is evacuated if odd */
    bool unresponsive;
} controls[CONTROLS];

static const char FIRST_ZONE[] = "z0";

static const struct name names[CONTROLS] = {{"c0"}, {"c1"}, {"c2"}};

/* Open long polls. */
static struct {
    int node;
    int control;
    uint64_t have;
    uint64_t evacuation;
    bool has_text;
    bool version_only;
} polls[POLLS_MAX];
static int n_polls;

static uint64_t n_requests;

/* Texts sent to each node, whole or as a delta. */
static uint64_t texts[NODES];

/* Newest version of each node that was reported to control, by the node or by
 * another one of its zone. */
static uint64_t reported[NODES];

static void
record_version(const struct enet *n, struct name instance, uint64_t version)
{
    for (int i = 0; i < NODES; i++) {
        if (name_equal(n->nodes[i].name, instance) && version > reported[i]) {
            reported[i] = version;
        }
    }
}

/* Deltas sent in place of whole texts, and how many of the next ones to
 * corrupt. */
static uint64_t n_deltas;
static uint64_t n_corrupt;

static struct blob *
text_of(uint64_t version)
{
    char text[TEXT_SIZE];

    (void)snprintf(text, sizeof(text),
                   "[service camp]\nteam = pilgrims\nrun_ms = %llu\n"
                   "[team pilgrims]\n",
                   100 + (unsigned long long)version);
    return blob_new(text, strlen(text));
}

static void
fill_delta(struct rec_config_reply *r, uint64_t have, struct blob *text)
{
    struct blob *old = text_of(have);

    r->packed = 1;
    r->from_version = have;
    r->digest = delta_digest(text);
    r->config = textpack_make(old, text);
    if (n_corrupt > 0) {
        n_corrupt--;
        r->config->data[r->config->size - 1] ^= 1;
    }
    n_deltas++;
    blob_unref(old);
}

static void
fill_evacuation(struct rec_config_reply *r, uint64_t revision)
{
    r->evacuation = revision;
    if (revision % 2 == 0) {
        return;
    }
    r->evacuated = calloc(1, sizeof(*r->evacuated));
    if (r->evacuated == NULL) {
        abort();
    }
    r->evacuated[0].zone = name_of(FIRST_ZONE);
    r->n_evacuated = 1;
}

static void
send_version(struct enet *n, int at)
{
    int control = polls[at].control;
    struct msg m = {.kind = MSG_CONFIG_REPLY};
    struct blob *text = text_of(controls[control].version);

    m.u.config_reply.version = controls[control].version;
    fill_evacuation(&m.u.config_reply, controls[control].evacuation);
    if (polls[at].version_only ||
        polls[at].have >= controls[control].version) {
        enet_inject(n, names[control], polls[at].node, &m);
        blob_unref(text);
        return;
    }
    texts[polls[at].node]++;
    if (polls[at].has_text) {
        fill_delta(&m.u.config_reply, polls[at].have, text);
    }
    else {
        m.u.config_reply.config = blob_ref(text);
    }
    enet_inject(n, names[control], polls[at].node, &m);
    blob_unref(text);
}

static void
on_outside(struct enet *n, int from, struct name to, const struct msg *m)
{
    if (m->kind == MSG_CONFIG_REQUEST) {
        const struct rec_config_request *r = &m->u.config_request;

        record_version(n, n->nodes[from].name, r->have_version);
        for (size_t i = 0; i < r->n_members; i++) {
            record_version(n, r->members[i].instance, r->members[i].version);
        }
    }
    for (int i = 0; i < CONTROLS; i++) {
        if (name_equal(names[i], to) && m->kind == MSG_CONFIG_REQUEST &&
            !controls[i].unresponsive && n_polls < POLLS_MAX) {
            polls[n_polls].node = from;
            polls[n_polls].control = i;
            polls[n_polls].has_text = m->u.config_request.has_text != 0;
            polls[n_polls].version_only =
                m->u.config_request.version_only != 0;
            polls[n_polls].evacuation = m->u.config_request.evacuation;
            polls[n_polls++].have = m->u.config_request.have_version;
            n_requests++;
        }
    }
}

/* Advances the time, and answers polls for which a newer version exists. */
static void
run(struct enet *n, int64_t for_us)
{
    for (int64_t past = 0; past < for_us; past += SEC / 100) {
        int kept = 0;
        int all = n_polls;

        enet_run(n, SEC / 100);
        for (int i = 0; i < all; i++) {
            int control = polls[i].control;

            if (controls[control].version <= polls[i].have &&
                controls[control].evacuation <= polls[i].evacuation) {
                polls[kept++] = polls[i];
            }
            else if (n->nodes[polls[i].node].e != NULL) {
                send_version(n, i);
            }
        }
        memmove(polls + kept, polls + all,
                (size_t)(n_polls - all) * sizeof(polls[0]));
        n_polls += kept - all;
    }
}

static void
set_controls(struct entry_options *o)
{
    o->controls = names;
    o->n_controls = CONTROLS;
}

static struct enet *
new_net(uint64_t version)
{
    struct enet_options o = {.zones = 2,
                             .per_zone = PER_ZONE,
                             .seed = 5,
                             .new_region = true,
                             .run_us = SEC / 10,
                             .on_unknown_dest = on_outside,
                             .adjust_options = set_controls,
                             .no_config = true};

    memset(controls, 0, sizeof(controls));
    for (int i = 0; i < CONTROLS; i++) {
        controls[i].version = version;
    }
    n_polls = 0;
    return enet_new(&o);
}

static bool
all_have(const struct enet *n, uint64_t version)
{
    for (int i = 0; i < n->n_nodes; i++) {
        if (n->nodes[i].e != NULL &&
            entry_config_version(n->nodes[i].e) != version) {
            return false;
        }
    }
    return true;
}

static void
changes_reach_all_instances(void)
{
    struct enet *n = new_net(4);

    run(n, 2 * SEC);
    CU_ASSERT_TRUE(all_have(n, 4));
    for (int i = 0; i < CONTROLS; i++) {
        controls[i].version = 5;
    }
    n_requests = 0;
    run(n, SEC / 5);
    CU_ASSERT_TRUE(all_have(n, 5));
    run(n, 30 * SEC);
    /* One instance in each of two zones polls, every 5.5 s at least. */
    CU_ASSERT_TRUE(n_requests >= 10 && n_requests <= 16);
    enet_free(n);
}

static void
set_evacuation(uint64_t revision)
{
    for (int i = 0; i < CONTROLS; i++) {
        controls[i].evacuation = revision;
    }
}

/* Submits a job at each instance, and returns the number of starts in the
 * first zone. */
static int
starts_in_first_zone(struct enet *n, int round)
{
    size_t before = n->n_starts;
    uint64_t requests[NODES];
    int starts = 0;

    for (int i = 0; i < NODES; i++) {
        char key[KEY_TEXT_SIZE];

        enet_mint_key(n, i % 2 == 0 ? "z0" : "z1", round * NODES + i, 0, key);
        requests[i] = enet_submit(n, i, key, 4, 1);
    }
    run(n, 3 * SEC);
    for (int i = 0; i < NODES; i++) {
        CU_ASSERT_EQUAL(enet_answer(n, requests[i])->kind, EF_ANSWER);
    }
    for (size_t i = before; i < n->n_starts; i++) {
        starts += name_equal(n->upstreams[n->starts[i].upstream].zone,
                             name_of(FIRST_ZONE))
                      ? 1
                      : 0;
    }
    return starts;
}

/* Guards against tasks that are started in an evacuated zone: by instances of
 * that zone, on slots lent to another zone, or after a restart. */
static void
no_task_is_started_in_an_evacuated_zone(void)
{
    struct enet *n = new_net(4);

    run(n, 2 * SEC);
    CU_ASSERT_TRUE(starts_in_first_zone(n, 0) > 0);
    set_evacuation(1);
    run(n, SEC);
    CU_ASSERT_EQUAL(starts_in_first_zone(n, 1), 0);
    for (int i = 0; i < PER_ZONE; i++) {
        enet_kill(n, i);
        enet_restart(n, i);
        run(n, SEC);
    }
    run(n, 4 * SEC);
    CU_ASSERT_EQUAL(starts_in_first_zone(n, 2), 0);
    set_evacuation(2);
    run(n, SEC);
    CU_ASSERT_TRUE(starts_in_first_zone(n, 3) > 0);
    enet_free(n);
}

/* Guards against instances that miss an evacuation since control does not
 * answer their polls: they ask a member that knows of it. */
static void
members_report_evacuations(void)
{
    struct enet *n = new_net(4);
    struct msg m = {.kind = MSG_CONFIG_REPLY};

    run(n, 2 * SEC);
    for (int i = 0; i < CONTROLS; i++) {
        controls[i].unresponsive = true;
    }
    m.u.config_reply.version = 4;
    fill_evacuation(&m.u.config_reply, 1);
    enet_inject(n, names[0], NODES - 1, &m);
    run(n, 3 * SEC);
    CU_ASSERT_EQUAL(starts_in_first_zone(n, 1), 0);
    enet_free(n);
}

/* Guards against a wrong text in force at one instance: a delta is corrupted
 * in transit, or made against another text than the instance has. */
static void
delta_that_does_not_apply(void)
{
    struct enet *n = new_net(4);

    run(n, 2 * SEC);
    n_deltas = 0;
    n_corrupt = UINT64_MAX; /* corrupt all */
    for (int i = 0; i < CONTROLS; i++) {
        controls[i].version = 5;
    }
    run(n, 8 * SEC);
    n_corrupt = 0;
    CU_ASSERT_TRUE(n_deltas >= 2);
    n_deltas = 0;
    CU_ASSERT_TRUE(all_have(n, 5));
    for (int i = 0; i < CONTROLS; i++) {
        controls[i].version = 6;
    }
    run(n, 8 * SEC);
    CU_ASSERT_TRUE(n_deltas >= 2); /* deltas again after the whole text */
    CU_ASSERT_TRUE(all_have(n, 6));
    enet_free(n);
}

/* Guards against instances that seem to be behind to an operator who waits for
 * a change, because control gets their version only with the next long poll of
 * their zone. */
static void
control_gets_the_versions_of_all(void)
{
    struct enet *n = new_net(4);

    run(n, 2 * SEC);
    memset(reported, 0, sizeof(reported));
    for (int i = 0; i < CONTROLS; i++) {
        controls[i].version = 5;
    }
    run(n, 2 * SEC);
    for (int i = 0; i < NODES; i++) {
        CU_ASSERT_EQUAL(reported[i], 5);
    }
    enet_free(n);
}

/* Guards against a zone that gets no further changes because the control
 * process that it polls is unresponsive while its connection stays open. */
static void
unresponsive_control_is_replaced(void)
{
    struct enet *n = new_net(4);

    run(n, 2 * SEC);
    for (int i = 0; i < CONTROLS; i++) {
        controls[i].version = 5;
        controls[i].unresponsive = i < 2;
    }
    n_polls = 0;
    run(n, 14 * SEC);
    CU_ASSERT_TRUE(all_have(n, 5));
    enet_free(n);
}

/* Guards against an old version in force after a restart: a partitioned
 * control process with an old log is the first to answer. */
static void
restart_never_reverts(void)
{
    struct enet *n = new_net(4);
    uint64_t first = 0;

    run(n, 2 * SEC);
    for (int i = 0; i < CONTROLS; i++) {
        controls[i].version = 900;
    }
    run(n, 2 * SEC);
    controls[0].version = 4;
    controls[1].unresponsive = true;
    controls[2].unresponsive = true;
    enet_restart(n, 1);
    for (int i = 0; i < 500 && first == 0; i++) {
        run(n, SEC / 100);
        first = entry_config_version(n->nodes[1].e);
    }
    CU_ASSERT_EQUAL(first, 900);
    enet_free(n);
}

/* Guards against a saturated link at the start of an instance, because each
 * control process sends a copy of the text, again with each request. */
static void
started_instance_is_sent_one_text(void)
{
    struct enet *n = new_net(4);

    run(n, 2 * SEC);
    memset(texts, 0, sizeof(texts));
    enet_restart(n, 1);
    run(n, 2 * SEC);
    CU_ASSERT_TRUE(all_have(n, 4));
    CU_ASSERT_EQUAL(texts[1], 1);
    enet_free(n);
}

/* Guards against losing the configuration in force when a newer version does
 * not parse; the next valid version is applied. */
static void
unparsable_text_is_ignored(void)
{
    struct enet *n = new_net(4);
    struct msg m = {.kind = MSG_CONFIG_REPLY};

    run(n, 2 * SEC);
    m.u.config_reply.version = 5;
    m.u.config_reply.config = blob_new("[service", 8);
    enet_inject(n, names[0], 0, &m);
    CU_ASSERT_TRUE(all_have(n, 4));
    for (int i = 0; i < CONTROLS; i++) {
        controls[i].version = 6;
    }
    run(n, 14 * SEC);
    CU_ASSERT_TRUE(all_have(n, 6));
    enet_free(n);
}

/* Guards against an instance that stays behind: it was down when the last
 * change came, and its zone has since been partitioned from control, so it has
 * to get the change from its zone. */
static void
instance_catches_up_from_its_zone(void)
{
    struct enet *n = new_net(4);

    run(n, 2 * SEC);
    enet_kill(n, 2);
    for (int i = 0; i < CONTROLS; i++) {
        controls[i].version = 5;
    }
    run(n, 2 * SEC);
    for (int i = 0; i < CONTROLS; i++) {
        controls[i].unresponsive = true;
    }
    enet_restart(n, 2);
    run(n, 3 * SEC);
    CU_ASSERT_TRUE(all_have(n, 5));
    enet_free(n);
}

void
suite_follow(void)
{
    check_add("follow", "changes_reach_all_instances",
              changes_reach_all_instances);
    check_add("follow", "no_task_is_started_in_an_evacuated_zone",
              no_task_is_started_in_an_evacuated_zone);
    check_add("follow", "members_report_evacuations",
              members_report_evacuations);
    check_add("follow", "delta_that_does_not_apply",
              delta_that_does_not_apply);
    check_add("follow", "control_gets_the_versions_of_all",
              control_gets_the_versions_of_all);
    check_add("follow", "unresponsive_control_is_replaced",
              unresponsive_control_is_replaced);
    check_add("follow", "restart_never_reverts", restart_never_reverts);
    check_add("follow", "started_instance_is_sent_one_text",
              started_instance_is_sent_one_text);
    check_add("follow", "unparsable_text_is_ignored",
              unparsable_text_is_ignored);
    check_add("follow", "instance_catches_up_from_its_zone",
              instance_catches_up_from_its_zone);
}
