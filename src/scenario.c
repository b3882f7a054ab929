#include "scenario.h"

#include <stdio.h>
#include <stdlib.h>

#include "key.h"

/* So few entries that control makes snapshots. */
enum { SNAPSHOT_ENTRIES = 4 };

enum { PROBES_SEC = 50, END_SEC = 60, RETRIES = 40, SPREAD_MS = 30 };

#define MSEC USEC_PER_MSEC
#define CLAIM_WINDOW_US (24 * USEC_PER_SEC)

#define PATIENCE_US (7 * USEC_PER_SEC) /* longer than any deadline */

/* A bare key says nothing of its age: submitted again past the claim window
 * it is a new key.  Callers must stop asking before that. */
#define GIVE_UP_US (20 * USEC_PER_SEC)

/* struct plan - a job of the scenario; times in ms */
struct plan {
    uint32_t at;
    uint32_t instance;
    uint32_t tasks;
    uint32_t run;
    uint32_t deadline;
    uint32_t resubmit; /* 0: none */
    uint32_t cancel;   /* 0: none */
    bool bare;         /* a bare key instead of a minted one */
    bool idempotent;
    bool never_fits;
};

static const struct plan plans[] = {
    {1500, 0, 3, 300, 5000, 0, 0, true, false, false},
    {1510, 1, 2, 400, 5000, 1700, 0, false, true, false},
    {1520, 2, 2, 250, 5000, 0, 0, true, false, false},
    {1530, 4, 4, 600, 5000, 0, 1800, false, true, false},
    {2000, 3, 2, 200, 5000, 0, 1950, false, false, false},
    {2010, 5, 9, 350, 5000, 2100, 0, true, false, false},
    {2020, 0, 1, 900, 300, 0, 0, false, false, false},
    {2030, 2, 1, 100, 5000, 0, 0, true, false, true},
    {2040, 4, 1, 100, 5000, 2900, 0, false, false, false},
    {2700, 1, 6, 700, 5000, 2900, 0, true, false, false},
    {2710, 0, 2, 500, 5000, 0, 0, false, true, false},
    {3200, 3, 3, 300, 5000, 3300, 3400, true, true, false},
    {3300, 5, 2, 150, 5000, 0, 0, true, false, false},
    {3400, 0, 5, 400, 5000, 3600, 0, false, false, false},
    {5900, 0, 6, 200, 5000, 0, 0, false, false, false},
};

static struct vcall
call_of(const struct vnet *n, const struct plan *p, uint64_t sequence)
{
    struct vcall c = {.at_us = p->at * MSEC, .instance = p->instance};
    const struct entry_peer *peer = &n->peers[p->instance];

    c.deadline_us = p->deadline * MSEC;
    c.resubmit_us = p->resubmit * MSEC;
    c.cancel_us = p->cancel * MSEC;
    c.patience_us = PATIENCE_US;
    c.retries = RETRIES;
    c.give_up_us = c.at_us + GIVE_UP_US;
    c.idempotent = p->idempotent;
    c.never_fits = p->never_fits;
    if (p->never_fits) {
        c.need = (struct resources){1000000, 1, 0};
    }
    c.n_tasks = p->tasks;
    c.tasks = calloc(p->tasks, sizeof(*c.tasks));
    if (c.tasks == NULL) {
        abort();
    }
    for (uint32_t i = 0; i < p->tasks; i++) {
        c.tasks[i].run_us = (p->run + (int64_t)i * SPREAD_MS) * MSEC;
    }
    if (p->bare) {
        (void)snprintf(c.key, sizeof(c.key), "bare-%llu",
                       (unsigned long long)sequence);
    }
    else {
        key_mint(peer->zone, peer->name, 1,
                 c.at_us + vnet_moment(n).wall_us - n->now_us, sequence,
                 c.key);
    }
    return c;
}

static void
add_script(struct vnet *n, enum scenario_code code, uint64_t whom,
           int64_t at_us)
{
    struct end none = {END_NONE, 0};
    struct hop *h = vnet_add(n, HOP_SCRIPT, none, none, at_us);

    h->code = code;
    h->call = whom;
}

static void
run_script(struct vnet *n, const struct hop *h)
{
    uint32_t i = (uint32_t)h->call;

    switch (h->code) {
    case SCENARIO_PUBLISH:
        vnet_publish(n);
        break;
    case SCENARIO_LEAVE:
        vupstream_leave(n, i);
        break;
    case SCENARIO_INSTANCE_STOP:
        vnet_stop(n, i);
        break;
    case SCENARIO_INSTANCE_BACK:
        if (n->instances[i].entry == NULL) {
            vnet_restart(n, i);
        }
        break;
    case SCENARIO_CONTROL_STOP:
        vcontrol_stop(n, i);
        break;
    case SCENARIO_CONTROL_BACK:
        if (n->controls[i].control == NULL) {
            vcontrol_restart(n, i);
        }
        break;
    default:
        n->upstreams[i].slow = 1;
        n->upstreams[i].failing = false;
        if (n->upstreams[i].dead || n->upstreams[i].leaving_us != 0) {
            vupstream_restart(n, i);
        }
        break;
    }
}

static void
add_probes(struct vnet *n)
{
    for (uint32_t i = 0; i < n->n_instances; i++) {
        struct plan p = {
            PROBES_SEC * 1000, 0, 2, 100, 5000, 0, 0, true, false, false};
        struct vcall c;

        p.instance = i;
        c = call_of(n, &p, 1000 + i);
        c.probe = true;
        (void)vcaller_add(n, &c);
    }
}

struct vnet *
scenario_begin(uint64_t seed, int mutant)
{
    struct vnet_options o = vnet_options_default();
    struct vnet *n;

    o.seed = seed;
    o.upstreams = 2;
    o.slots = 3;
    o.rack = 1;
    o.entry.claim_window_us = CLAIM_WINDOW_US;
    o.entry.clock_skew_us = 1 * USEC_PER_SEC;
    o.entry.answer_keep_us = 10 * USEC_PER_SEC;
    o.control.request_timeout_us = 1 * USEC_PER_SEC;
    o.control.snapshot_entries = SNAPSHOT_ENTRIES;
    o.control.log_tail_entries = 1;
    o.service.deadline_us = 5 * USEC_PER_SEC;
    o.service.deadline_max_us = 6 * USEC_PER_SEC;
    if (mutant >= 0) {
        o.entry.mutants[mutant] = true;
    }
    n = vnet_new(&o);
    n->script = run_script;
    for (size_t i = 0; i < sizeof(plans) / sizeof(plans[0]); i++) {
        struct vcall c = call_of(n, &plans[i], i);

        (void)vcaller_add(n, &c);
    }
    add_probes(n);
    add_script(n, SCENARIO_PUBLISH, 0, 2200 * MSEC);
    add_script(n, SCENARIO_PUBLISH, 0, 2230 * MSEC);
    add_script(n, SCENARIO_PUBLISH, 0, 2230 * MSEC); /* from the same base */
    add_script(n, SCENARIO_LEAVE, 1, 2600 * MSEC);
    add_script(n, SCENARIO_UPSTREAM_BACK, 1, 14000 * MSEC);
    add_script(n, SCENARIO_INSTANCE_STOP, 1, 3000 * MSEC);
    add_script(n, SCENARIO_INSTANCE_BACK, 1, 12000 * MSEC);
    return n;
}

void
scenario_run(struct vnet *n)
{
    vnet_run(n, END_SEC * USEC_PER_SEC);
}
