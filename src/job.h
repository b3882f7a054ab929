/**
 * DOC: job - a submitted job, and the answer to a job
 */
#ifndef BM_JOB_H
#define BM_JOB_H

#include "base.h"
#include "blob.h"
#include "kind.h"

/** struct task_spec - one task as submitted; zero values select the service's
 * defaults */
struct task_spec {
    struct blob *payload;
    struct resources need;
    bool need_given;
    int64_t run_us; /* declared run time; 0: not declared */
};

/**
 * struct job_spec - a job as submitted
 * @service: service that runs the tasks
 * @deadline_us: relative to the submission; 0 selects the service's default
 * @idempotent: valid only if @idempotent_given
 * @digest: hash of the submitted body, never 0
 */
struct job_spec {
    struct name service;
    int64_t deadline_us;
    bool idempotent;
    bool idempotent_given;
    uint64_t digest;
    struct task_spec *tasks;
    size_t n_tasks;
};

/** struct task_result - outcome of one task in an answer */
struct task_result {
    enum task_state state;
    bool ok;
    struct blob *result; /* may be NULL */
};

/** struct job_answer - answer to a job: the outcome of all its tasks */
struct job_answer {
    enum job_status status;
    enum reason reason;
    struct task_result *tasks;
    size_t n_tasks;
};

/** job_spec_new() - allocates a job of @n_tasks empty tasks; NULL if out of
 * memory */
struct job_spec *job_spec_new(size_t n_tasks);

/** job_spec_free() - also drops the references to payloads; NULL is allowed */
void job_spec_free(struct job_spec *s);

/** job_answer_new() - allocates an answer with all tasks TASK_NOT_RUN; NULL if
 * out of memory */
struct job_answer *job_answer_new(size_t n_tasks);

/** job_answer_copy() - copies an answer; the results are shared by reference.
 * NULL if out of memory */
struct job_answer *job_answer_copy(const struct job_answer *a);

/** job_answer_free() - NULL is allowed */
void job_answer_free(struct job_answer *a);

#endif
