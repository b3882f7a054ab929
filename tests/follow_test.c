/* Configurations on their way from control to every instance. */
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

/* Fake control processes: what each has, and whether it talks. */
static struct {
    uint64_t version;
    bool silent;
} controls[CONTROLS];

static const struct name names[CONTROLS] = {{"c0"}, {"c1"}, {"c2"}};

/* Requests that wait for something newer. */
static struct {
    int node;
    int control;
    uint64_t have;
    bool has_text;
    bool version_only;
} polls[POLLS_MAX];
static int n_polls;

static uint64_t asked;

/* Texts and changes sent to each node. */
static uint64_t texts[NODES];

/* What control has been told of each node, by itself or by its zone. */
static uint64_t told[NODES];

static void
note_told(const struct enet *n, struct name instance, uint64_t version)
{
    for (int i = 0; i < NODES; i++) {
        if (name_equal(n->nodes[i].name, instance) && version > told[i]) {
            told[i] = version;
        }
    }
}

/* Changes sent in place of whole texts, and how many of them are garbled. */
static uint64_t changes;
static uint64_t garble;

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
fill_change(struct rec_config_reply *r, uint64_t have, struct blob *text)
{
    struct blob *old = text_of(have);

    r->packed = 1;
    r->from_version = have;
    r->digest = delta_digest(text);
    r->config = textpack_make(old, text);
    if (garble > 0) {
        garble--;
        r->config->data[r->config->size - 1] ^= 1;
    }
    changes++;
    blob_unref(old);
}

static void
send_version(struct enet *n, int at)
{
    int control = polls[at].control;
    struct msg m = {.kind = MSG_CONFIG_REPLY};
    struct blob *text = text_of(controls[control].version);

    m.u.config_reply.version = controls[control].version;
    if (polls[at].version_only) {
        enet_inject(n, names[control], polls[at].node, &m);
        blob_unref(text);
        return;
    }
    texts[polls[at].node]++;
    if (polls[at].has_text) {
        fill_change(&m.u.config_reply, polls[at].have, text);
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

        note_told(n, n->nodes[from].name, r->have_version);
        for (size_t i = 0; i < r->n_members; i++) {
            note_told(n, r->members[i].instance, r->members[i].version);
        }
    }
    for (int i = 0; i < CONTROLS; i++) {
        if (name_equal(names[i], to) && m->kind == MSG_CONFIG_REQUEST &&
            !controls[i].silent && n_polls < POLLS_MAX) {
            polls[n_polls].node = from;
            polls[n_polls].control = i;
            polls[n_polls].has_text = m->u.config_request.has_text != 0;
            polls[n_polls].version_only =
                m->u.config_request.version_only != 0;
            polls[n_polls++].have = m->u.config_request.have_version;
            asked++;
        }
    }
}

/* Answers what can be answered, and goes on. */
static void
run(struct enet *n, int64_t for_us)
{
    for (int64_t past = 0; past < for_us; past += SEC / 100) {
        int kept = 0;
        int all = n_polls;

        enet_run(n, SEC / 100);
        for (int i = 0; i < all; i++) {
            int control = polls[i].control;

            if (controls[control].version <= polls[i].have) {
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
follow_controls(struct entry_options *o)
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
                             .adjust_options = follow_controls,
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
changes_reach_everyone(void)
{
    struct enet *n = new_net(4);

    run(n, 2 * SEC);
    CU_ASSERT_TRUE(all_have(n, 4));
    for (int i = 0; i < CONTROLS; i++) {
        controls[i].version = 5;
    }
    asked = 0;
    run(n, SEC / 5);
    CU_ASSERT_TRUE(all_have(n, 5));
    run(n, 30 * SEC);
    /* One instance in each of two zones polls, every 5.5 s at least. */
    CU_ASSERT_TRUE(asked >= 10 && asked <= 16);
    enet_free(n);
}

/* What an instance has differs from what control takes it to have, or the
 * change is garbled on its way.  Put together all the same, the text would be
 * in force at this instance alone, under the version of the right one. */
static void
change_that_does_not_fit(void)
{
    struct enet *n = new_net(4);

    run(n, 2 * SEC);
    changes = 0;
    garble = UINT64_MAX; /* all */
    for (int i = 0; i < CONTROLS; i++) {
        controls[i].version = 5;
    }
    run(n, 8 * SEC);
    garble = 0;
    CU_ASSERT_TRUE(changes >= 2);
    changes = 0;
    CU_ASSERT_TRUE(all_have(n, 5));
    for (int i = 0; i < CONTROLS; i++) {
        controls[i].version = 6;
    }
    run(n, 8 * SEC);
    CU_ASSERT_TRUE(changes >= 2); /* whole ones were for once only */
    CU_ASSERT_TRUE(all_have(n, 6));
    enet_free(n);
}

/* An operator publishes and waits.  If control learnt of the instances that
 * poll a neighbour only now and then, the operator would see them lag. */
static void
control_hears_of_all(void)
{
    struct enet *n = new_net(4);

    run(n, 2 * SEC);
    memset(told, 0, sizeof(told));
    for (int i = 0; i < CONTROLS; i++) {
        controls[i].version = 5;
    }
    run(n, 2 * SEC);
    for (int i = 0; i < NODES; i++) {
        CU_ASSERT_EQUAL(told[i], 5);
    }
    enet_free(n);
}

/* The control process that an instance polls falls silent, its connection
 * still open.  Without a limit on the wait the zone would never see a change
 * again. */
static void
silent_control_is_left(void)
{
    struct enet *n = new_net(4);

    run(n, 2 * SEC);
    for (int i = 0; i < CONTROLS; i++) {
        controls[i].version = 5;
        controls[i].silent = i < 2;
    }
    n_polls = 0;
    run(n, 14 * SEC);
    CU_ASSERT_TRUE(all_have(n, 5));
    enet_free(n);
}

/* An instance restarts after many changes.  One control process sits behind
 * a partition with an old log and is the first to answer.  Applied, its
 * version would bring back limits that were changed long ago. */
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
    controls[1].silent = true;
    controls[2].silent = true;
    enet_restart(n, 1);
    for (int i = 0; i < 500 && first == 0; i++) {
        run(n, SEC / 100);
        first = entry_config_version(n->nodes[1].e);
    }
    CU_ASSERT_EQUAL(first, 900);
    enet_free(n);
}

/* Guards against a copy from each control process, again with each question,
 * at an instance that starts behind a slow link. */
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

/* A text that does not parse arrives as a newer version.  What is in force
 * stays, and the next good version is applied. */
static void
bad_text_changes_nothing(void)
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

/* A zone is cut off from control, and one of its instances was cut off from
 * the zone when the last change came.  It gets it from its neighbours. */
static void
neighbours_help(void)
{
    struct enet *n = new_net(4);

    run(n, 2 * SEC);
    enet_kill(n, 2);
    for (int i = 0; i < CONTROLS; i++) {
        controls[i].version = 5;
    }
    run(n, 2 * SEC);
    for (int i = 0; i < CONTROLS; i++) {
        controls[i].silent = true;
    }
    enet_restart(n, 2);
    run(n, 3 * SEC);
    CU_ASSERT_TRUE(all_have(n, 5));
    enet_free(n);
}

void
suite_follow(void)
{
    check_add("follow", "changes_reach_everyone", changes_reach_everyone);
    check_add("follow", "change_that_does_not_fit", change_that_does_not_fit);
    check_add("follow", "control_hears_of_all", control_hears_of_all);
    check_add("follow", "silent_control_is_left", silent_control_is_left);
    check_add("follow", "restart_never_reverts", restart_never_reverts);
    check_add("follow", "started_instance_is_sent_one_text",
              started_instance_is_sent_one_text);
    check_add("follow", "bad_text_changes_nothing", bad_text_changes_nothing);
    check_add("follow", "neighbours_help", neighbours_help);
}
