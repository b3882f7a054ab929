#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "vnet.h"

/* What a caller's alarm is about. */
enum alarm {
    ALARM_SUBMIT,
    ALARM_RESUBMIT, /* beside the first, because it believes it lost */
    ALARM_AGAIN,    /* after a refusal or a broken connection */
    ALARM_CANCEL,
    ALARM_PATIENCE,
};

#define RESET_US (50 * USEC_PER_MSEC) /* before it asks elsewhere */
#define RETRY_MIN_US (100 * USEC_PER_MSEC)

static struct end
caller_of(uint64_t request)
{
    return (struct end){END_CALLER, (uint32_t)request};
}

static void
alarm_add(struct vnet *n, uint64_t job, enum alarm what, int64_t at_us,
          uint64_t request)
{
    int64_t delay_us = at_us > n->now_us ? at_us - n->now_us : 0;
    struct hop *h =
        vnet_add(n, HOP_ALARM, caller_of(0), caller_of(request), delay_us);

    h->job = job;
    h->code = what;
}

uint64_t
vcaller_add(struct vnet *n, const struct vcall *plan)
{
    uint64_t number = n->n_calls + 1;
    struct handle h;
    struct vkey *k = table_add(&n->keys, &h);
    struct vcall *c;

    n->calls =
        vnet_grow(n->calls, n->n_calls, &n->calls_room, sizeof(*n->calls));
    c = &n->calls[n->n_calls++];
    *c = *plan;
    c->id = key_id_of(c->key);
    k->id = c->id;
    k->job = number;
    map_put(&n->keys_by_id, k);
    alarm_add(n, number, ALARM_SUBMIT, c->at_us, 0);
    if (c->resubmit_us != 0) {
        alarm_add(n, number, ALARM_RESUBMIT, c->resubmit_us, 0);
    }
    if (c->cancel_us != 0) {
        alarm_add(n, number, ALARM_CANCEL, c->cancel_us, 0);
    }
    return number;
}

static uint32_t
another_instance(struct vnet *n, const struct vcall *c)
{
    if (n->n_instances == 1) {
        return 0;
    }
    return (c->instance + 1 +
            (uint32_t)gsl_rng_uniform_int(n->rng, n->n_instances - 1)) %
           n->n_instances;
}

static uint64_t
attempt_add(struct vnet *n, uint64_t job, uint32_t instance, bool cancel)
{
    struct vattempt *a;

    n->attempts = vnet_grow(n->attempts, n->n_attempts, &n->attempts_room,
                            sizeof(*n->attempts));
    a = &n->attempts[n->n_attempts++];
    *a = (struct vattempt){.job = job, .instance = instance};
    a->life = n->instances[instance].life;
    a->sent_us = n->now_us;
    a->open = true;
    a->cancel = cancel;
    return n->n_attempts; /* requests count from 1 */
}

static void
request_send(struct vnet *n, uint64_t job, uint32_t instance, bool cancel)
{
    uint64_t request = attempt_add(n, job, instance, cancel);
    struct hop h = {.kind = cancel ? HOP_CANCEL : HOP_SUBMIT};

    h.from = caller_of(request);
    h.to = (struct end){END_INSTANCE, instance};
    h.call = request;
    if (!cancel) {
        vnet_call(n, job)->submitted++;
        alarm_add(n, job, ALARM_PATIENCE,
                  n->now_us + vnet_call(n, job)->patience_us, request);
    }
    vnet_send(n, &h);
}

static void
submit_elsewhere(struct vnet *n, uint64_t job)
{
    struct vcall *c = vnet_call(n, job);

    if (!c->settled) {
        request_send(n, job, another_instance(n, c), false);
    }
}

/* An instance that lives and runs answers every request by the job's
 * deadline, if only with a refusal; callers here wait longer than that. */
static void
check_silence(struct vnet *n, const struct vattempt *a)
{
    const struct vinstance *v = &n->instances[a->instance];
    bool ran = v->life == a->life && v->entry != NULL &&
               v->paused_until_us < a->sent_us;

    if (a->arrived && !a->replied && ran) {
        vnet_break(n, PROMISE_OWN_ANSWER, "%s: %s left a request unanswered",
                   vnet_call(n, a->job)->key, v->name.s);
    }
}

/* A caller whose patience ends leaves its connection and asks elsewhere. */
static void
patience_over(struct vnet *n, uint64_t job, uint64_t request)
{
    struct vattempt *a = &n->attempts[request - 1];
    struct event ev = {.kind = EV_CALLER_GONE};

    if (!a->open || vnet_call(n, job)->settled) {
        return;
    }
    a->open = false;
    check_silence(n, a);
    ev.u.query.request = request;
    if (n->instances[a->instance].life == a->life &&
        n->instances[a->instance].paused_until_us <= n->now_us) {
        (void)vnet_deliver(n, a->instance, &ev);
    }
    submit_elsewhere(n, job);
}

void
vcaller_alarm(struct vnet *n, const struct hop *h)
{
    struct vcall *c = vnet_call(n, h->job);

    switch (h->code) {
    case ALARM_SUBMIT:
        c->wished++;
        request_send(n, h->job, c->instance, false);
        break;
    case ALARM_RESUBMIT:
        c->wished += c->settled ? 0 : 1;
        submit_elsewhere(n, h->job);
        break;
    case ALARM_AGAIN:
        submit_elsewhere(n, h->job);
        break;
    case ALARM_CANCEL:
        if (!c->settled) {
            c->wished++;
            request_send(n, h->job, c->instance, true);
        }
        break;
    default:
        patience_over(n, h->job, h->to.index);
        break;
    }
}

/* ---- a request at an instance ---- */

static struct job_spec *
spec_of(const struct vnet *n, uint64_t job)
{
    const struct vcall *c = vnet_call(n, job);
    struct job_spec *s = job_spec_new(c->n_tasks);
    char text[32];

    if (s == NULL) {
        abort();
    }
    s->service = n->opts.service.name;
    s->deadline_us = c->deadline_us;
    s->idempotent = c->idempotent;
    s->idempotent_given = true;
    s->digest = job + 1;
    s->n_tasks = c->n_tasks;
    for (uint32_t i = 0; i < c->n_tasks; i++) {
        (void)snprintf(text, sizeof(text), "%llu/%u", (unsigned long long)job,
                       i);
        s->tasks[i].payload = blob_new(text, strlen(text));
        s->tasks[i].need = c->need;
        s->tasks[i].need_given = c->need.cpu_milli != 0;
        s->tasks[i].run_us = c->tasks[i].declared_us;
    }
    return s;
}

void
vcaller_submit_arrives(struct vnet *n, struct hop *h)
{
    struct vattempt *a = &n->attempts[h->call - 1];
    struct event ev = {.kind = EV_SUBMIT};
    struct job_spec *spec = NULL;
    char key[KEY_TEXT_SIZE];

    memcpy(key, vnet_call(n, a->job)->key, sizeof(key));
    if (h->copy) {
        return; /* one HTTP request is read once */
    }
    a->life = n->instances[a->instance].life;
    a->arrived = true;
    if (h->kind == HOP_CANCEL) {
        ev.kind = EV_JOB_CANCEL;
        ev.u.query.request = h->call;
        ev.u.query.key = key;
    }
    else {
        spec = spec_of(n, a->job);
        ev.u.submit.request = h->call;
        ev.u.submit.key = key;
        ev.u.submit.spec = spec;
    }
    (void)vnet_deliver(n, a->instance, &ev);
    job_spec_free(spec);
}

/* ---- replies ---- */

static bool
own_result(uint64_t job, uint32_t index, const struct blob *b)
{
    char text[32];

    (void)snprintf(text, sizeof(text), "%llu/%u", (unsigned long long)job,
                   index);
    return b != NULL && b->size == strlen(text) &&
           memcmp(b->data, text, b->size) == 0;
}

/* A complete answer has every task, ran, with its own result. */
static void
check_answer(struct vnet *n, uint64_t job, const struct job_answer *a)
{
    const struct vcall *c = vnet_call(n, job);

    if (a->n_tasks != c->n_tasks) {
        vnet_break(n, PROMISE_WHOLE, "%s answered %zu of %u tasks", c->key,
                   a->n_tasks, c->n_tasks);
        return;
    }
    for (uint32_t i = 0; a->status == JOB_COMPLETE && i < a->n_tasks; i++) {
        if (a->tasks[i].state != TASK_RAN || a->tasks[i].result == NULL) {
            vnet_break(n, PROMISE_WHOLE, "%s complete without task %u", c->key,
                       i);
        }
        else if (!own_result(job, i, a->tasks[i].result)) {
            vnet_break(n, PROMISE_OWN_ANSWER, "%s task %u: %s", c->key, i,
                       a->tasks[i].result->data);
        }
    }
}

static void
settle(struct vnet *n, struct vcall *c)
{
    if (!c->settled) {
        c->settled = true;
        c->settled_us = n->now_us;
        n->n_settled++;
    }
}

static void
on_answer(struct vnet *n, struct vattempt *a, struct hop *h)
{
    struct vcall *c = vnet_call(n, a->job);

    /* A cancel of a key that its instance never saw marks the key and is
     * answered without tasks. */
    if (a->cancel && h->answer->n_tasks == 0) {
        return;
    }
    check_answer(n, a->job, h->answer);
    if (c->answer == NULL) {
        c->answer = h->answer;
        h->answer = NULL;
    }
    settle(n, c);
}

static bool
worth_retry(enum problem p)
{
    int status = problem_status(p);

    return status == 503 || status == 429;
}

static void
on_problem(struct vnet *n, struct vattempt *a, const struct hop *h)
{
    struct vcall *c = vnet_call(n, a->job);
    int64_t wait_us = h->us > RETRY_MIN_US ? h->us : RETRY_MIN_US;

    if (h->ok) {
        c->told_not_run = true;
        c->told_not_run_us = a->replied_us;
    }
    if (a->cancel || c->settled) {
        return;
    }
    if (worth_retry(h->code) && c->submitted <= c->retries &&
        (c->give_up_us == 0 || n->now_us < c->give_up_us)) {
        alarm_add(n, a->job, ALARM_AGAIN, n->now_us + wait_us, 0);
        return;
    }
    c->refused = true;
    c->problem = h->code;
    settle(n, c);
}

void
vcaller_arrives(struct vnet *n, struct hop *h)
{
    struct vattempt *a = &n->attempts[h->call - 1];

    if (h->copy) {
        return; /* one HTTP response is read once */
    }
    a->replies++;
    if (a->replies > 1) {
        vnet_break(n, PROMISE_OWN_ANSWER, "%s: request answered twice",
                   vnet_call(n, a->job)->key);
    }
    if (!a->open) {
        return;
    }
    a->open = false;
    if (h->kind == HOP_ANSWER) {
        on_answer(n, a, h);
    }
    else {
        on_problem(n, a, h);
    }
}

void
vcaller_reset(struct vnet *n, const struct hop *h)
{
    struct vattempt *a = &n->attempts[h->call - 1];

    if (!a->open) {
        return;
    }
    a->open = false;
    if (h->ok && a->arrived && !a->replied) {
        vnet_break(n, PROMISE_STOP, "%s", vnet_call(n, a->job)->key);
    }
    if (!a->cancel) {
        alarm_add(n, a->job, ALARM_AGAIN, n->now_us + RESET_US, 0);
    }
}

void
vcaller_instance_died(struct vnet *n, uint32_t instance, bool planned)
{
    uint64_t life = n->instances[instance].life;

    for (size_t i = 0; i < n->n_attempts; i++) {
        const struct vattempt *a = &n->attempts[i];
        struct hop *h;

        if (!a->open || a->instance != instance || a->life != life) {
            continue;
        }
        h = vnet_add(n, HOP_RESET, (struct end){END_INSTANCE, instance},
                     caller_of(i + 1), n->opts.client_us);
        h->call = i + 1;
        h->ok = planned;
    }
}
