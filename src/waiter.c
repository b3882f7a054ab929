#include "waiter.h"

#include <stdlib.h>
#include <string.h>

static bool
is_waiting(const struct map *requests, const struct job *job,
           const struct waiter *w)
{
    if (w->request != REQUEST_NONE) {
        return map_get(requests, &w->request) != NULL;
    }
    for (const struct waiter *o = job->waiters; o != NULL; o = o->next) {
        if (o->request == REQUEST_NONE && o->wait_id == w->wait_id &&
            name_equal(o->instance, w->instance)) {
            return true;
        }
    }
    return false;
}

void
waiters_add(struct map *requests, struct job *job, const struct waiter *w)
{
    struct waiter *copy;

    if (is_waiting(requests, job, w)) {
        return;
    }
    copy = malloc(sizeof(*copy));
    if (copy == NULL) {
        abort();
    }
    *copy = *w;
    copy->job = job->self;
    copy->next = job->waiters;
    job->waiters = copy;
    if (copy->request != REQUEST_NONE) {
        map_put(requests, copy);
    }
}

static void
waiter_free(struct map *requests, struct waiter *w)
{
    if (w->request != REQUEST_NONE) {
        (void)map_remove(requests, &w->request);
    }
    free(w);
}

struct waiter *
waiters_remove(struct map *requests, struct job *job, uint64_t request)
{
    for (struct waiter **at = &job->waiters; *at != NULL; at = &(*at)->next) {
        if ((*at)->request == request) {
            struct waiter *w = *at;

            *at = w->next;
            waiter_free(requests, w);
            break;
        }
    }
    return job->waiters;
}

/* Copies the answer for a waiter.  The answer of a job that was cancelled
 * before its submission arrived has no tasks; a waiter that submitted tasks
 * gets each of them reported as not run. */
static struct job_answer *
copy_answer_for(const struct waiter *w, const struct job_answer *answer)
{
    struct job_answer *copy;

    if (answer->n_tasks > 0 || w->n_tasks == 0 ||
        answer->status != JOB_FAILED) {
        return job_answer_copy(answer);
    }
    copy = job_answer_new(w->n_tasks);
    if (copy != NULL) {
        copy->status = answer->status;
        copy->reason = answer->reason;
    }
    return copy;
}

static void
answer_caller(struct entry *e, const struct waiter *w,
              const struct job_answer *answer)
{
    struct job_answer *copy = copy_answer_for(w, answer);
    struct ef_answer *f;

    if (copy == NULL) {
        entry_refuse(e, w->request, PROBLEM_INTERNAL, 0, "out of memory");
        return;
    }
    f = &effects_add(e->fx, EF_ANSWER)->u.answer;
    f->request = w->request;
    f->answer = copy;
}

size_t
waiter_encode_tasks(const struct job_answer *answer,
                    struct rec_task_answer **tasks)
{
    *tasks = NULL;
    if (answer->n_tasks == 0) {
        return 0;
    }
    *tasks = calloc(answer->n_tasks, sizeof(**tasks));
    if (*tasks == NULL) {
        abort();
    }
    for (size_t i = 0; i < answer->n_tasks; i++) {
        (*tasks)[i].state = answer->tasks[i].state;
        (*tasks)[i].ok = answer->tasks[i].ok ? 1 : 0;
        (*tasks)[i].result = blob_ref(answer->tasks[i].result);
    }
    return answer->n_tasks;
}

void
waiter_reply(struct entry *e, struct name instance, uint64_t wait,
             struct key_id key, enum wait_outcome outcome,
             const struct job_answer *answer)
{
    struct msg m = {.kind = MSG_JOB_ANSWER};

    m.u.job_answer.key = key;
    m.u.job_answer.wait = wait;
    m.u.job_answer.outcome = outcome;
    if (answer != NULL) {
        m.u.job_answer.status = answer->status;
        m.u.job_answer.reason = answer->reason;
        m.u.job_answer.n_tasks =
            waiter_encode_tasks(answer, &m.u.job_answer.tasks);
    }
    entry_send(e, instance, &m);
}

void
waiters_answer(struct entry *e, struct map *requests, struct job *job,
               const struct job_answer *answer)
{
    while (job->waiters != NULL) {
        struct waiter *w = job->waiters;

        job->waiters = w->next;
        if (MUTANT(e, FIRST_WAITER) && job->waiters != NULL) {
            waiter_free(requests, w);
            continue;
        }
        if (w->request != REQUEST_NONE) {
            answer_caller(e, w, answer);
        }
        else {
            waiter_reply(e, w->instance, w->wait_id, job->id, WAIT_ANSWER,
                         answer);
        }
        waiter_free(requests, w);
    }
}

void
waiters_notify_accepted(struct entry *e, struct map *requests, struct job *job)
{
    struct waiter **at = &job->waiters;

    while (*at != NULL) {
        struct waiter *w = *at;

        if (!w->async) {
            at = &w->next;
            continue;
        }
        effects_add(e->fx, EF_ACCEPTED)->u.accepted.request = w->request;
        *at = w->next;
        waiter_free(requests, w);
    }
}

void
waiters_refuse(struct entry *e, struct map *requests, struct job *job,
               const struct ef_problem *problem, enum wait_outcome outcome)
{
    while (job->waiters != NULL) {
        struct waiter *w = job->waiters;

        job->waiters = w->next;
        if (w->request != REQUEST_NONE) {
            struct ef_problem *p = &effects_add(e->fx, EF_PROBLEM)->u.problem;

            *p = *problem;
            p->request = w->request;
        }
        else {
            waiter_reply(e, w->instance, w->wait_id, job->id, outcome, NULL);
        }
        waiter_free(requests, w);
    }
}

void
waiters_notify_released(struct entry *e, struct job *job)
{
    struct waiter **at = &job->waiters;

    while (*at != NULL) {
        struct waiter *w = *at;

        if (w->request != REQUEST_NONE) {
            at = &w->next;
            continue;
        }
        waiter_reply(e, w->instance, w->wait_id, job->id, WAIT_RELEASED, NULL);
        *at = w->next;
        free(w);
    }
}

void
waiters_free(struct map *requests, struct job *job)
{
    while (job->waiters != NULL) {
        struct waiter *w = job->waiters;

        job->waiters = w->next;
        waiter_free(requests, w);
    }
}
