#include "job.h"

#include <stdlib.h>
#include <string.h>

struct job_spec *
job_spec_new(size_t n_tasks)
{
    struct job_spec *s = calloc(1, sizeof(*s));

    if (s == NULL) {
        return NULL;
    }
    s->tasks = calloc(n_tasks > 0 ? n_tasks : 1, sizeof(*s->tasks));
    if (s->tasks == NULL) {
        free(s);
        return NULL;
    }
    s->n_tasks = n_tasks;
    return s;
}

void
job_spec_free(struct job_spec *s)
{
    if (s == NULL) {
        return;
    }
    for (size_t i = 0; i < s->n_tasks; i++) {
        blob_unref(s->tasks[i].payload);
    }
    free(s->tasks);
    free(s);
}

struct job_answer *
job_answer_new(size_t n_tasks)
{
    struct job_answer *a = calloc(1, sizeof(*a));

    if (a == NULL) {
        return NULL;
    }
    a->tasks = calloc(n_tasks > 0 ? n_tasks : 1, sizeof(*a->tasks));
    if (a->tasks == NULL) {
        free(a);
        return NULL;
    }
    a->n_tasks = n_tasks;
    return a;
}

struct job_answer *
job_answer_copy(const struct job_answer *a)
{
    struct job_answer *b = job_answer_new(a->n_tasks);

    if (b == NULL) {
        return NULL;
    }
    b->status = a->status;
    b->reason = a->reason;
    for (size_t i = 0; i < a->n_tasks; i++) {
        b->tasks[i] = a->tasks[i];
        (void)blob_ref(b->tasks[i].result);
    }
    return b;
}

void
job_answer_free(struct job_answer *a)
{
    if (a == NULL) {
        return;
    }
    for (size_t i = 0; i < a->n_tasks; i++) {
        blob_unref(a->tasks[i].result);
    }
    free(a->tasks);
    free(a);
}
