#include "vnet.h"

/* A task told as not run never starts; one told as run started once. */
static void
check_states(struct vnet *n, const struct vcall *c)
{
    const struct job_answer *a = c->answer;

    for (uint32_t i = 0; i < c->n_tasks && i < a->n_tasks; i++) {
        if (a->tasks[i].state == TASK_NOT_RUN && c->tasks[i].starts > 0) {
            vnet_break(n, PROMISE_NOT_RUN, "%s task %u told as not run",
                       c->key, i);
        }
        if (a->tasks[i].state == TASK_RAN && c->tasks[i].starts == 0) {
            vnet_break(n, PROMISE_OWN_ANSWER, "%s task %u told as run", c->key,
                       i);
        }
        if (a->status != JOB_COMPLETE && a->tasks[i].result != NULL) {
            vnet_break(n, PROMISE_WHOLE, "%s failed with a result", c->key);
        }
    }
}

/* "Not run" in a refusal speaks of all that came before; a later submission
 * of the key may run. */
static void
check_refusal(struct vnet *n, uint64_t job)
{
    const struct vcall *c = vnet_call(n, job);

    for (size_t i = 0; i < n->n_starts; i++) {
        const struct vstart *s = &n->starts[i];
        bool before = s->at_us < c->told_not_run_us;

        if (s->job == job && (before || c->submitted == 1)) {
            vnet_break(n, PROMISE_NOT_RUN, "%s refused as not run", c->key);
            return;
        }
    }
}

static void
check_call(struct vnet *n, uint64_t job)
{
    const struct vcall *c = vnet_call(n, job);
    bool complete = c->answer != NULL && c->answer->status == JOB_COMPLETE;

    if (!c->settled) {
        vnet_break(n, PROMISE_OWN_ANSWER, "%s got no answer", c->key);
    }
    if (c->probe && !complete) {
        vnet_break(n, PROMISE_OWN_ANSWER, "%s, long after: %s", c->key,
                   c->refused          ? problem_slug(c->problem)
                   : c->answer != NULL ? reason_text(c->answer->reason)
                                       : "no answer");
    }
    if (c->answer != NULL) {
        check_states(n, c);
    }
    if (c->told_not_run) {
        check_refusal(n, job);
    }
}

static void
check_config(struct vnet *n)
{
    for (size_t i = 0; i < n->n_operators; i++) {
        if (n->operators[i].version == 0) {
            vnet_break(n, PROMISE_CONFIG, "publication %zu got no answer", i);
        }
    }
    for (uint32_t i = 0; i < n->n_instances; i++) {
        const struct vinstance *v = &n->instances[i];

        if (v->entry != NULL && !v->stopping && v->version != n->accepted) {
            vnet_break(n, PROMISE_CONFIG, "%s ended with version %llu",
                       v->name.s, (unsigned long long)v->version);
        }
    }
}

uint32_t
vcheck_judge(struct vnet *n)
{
    uint32_t broken = 0;

    for (uint64_t job = 1; job <= n->n_calls; job++) {
        check_call(n, job);
    }
    check_config(n);
    for (int p = 0; p < PROMISES; p++) {
        broken += n->broken[p] > 0 ? 1 : 0;
    }
    return broken;
}

const char *
promise_text(enum promise p)
{
    static const char *const texts[] = {
#define PROMISE(NAME, text) text,
        PROMISE_LIST(PROMISE)
#undef PROMISE
    };

    return texts[p];
}
