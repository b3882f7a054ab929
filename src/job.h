/**
 * DOC: job - a job as submitted and its answer
 */
#ifndef BM_JOB_H
#define BM_JOB_H

#include "base.h"
#include "blob.h"
#include "kind.h"

/** struct task_spec - one task as submitted; zero values mean the default */
struct task_spec {
    struct blob *payload;
    struct resources need;
    bool need_given;
    int64_t run_us; /* declared run time; 0 is not declared */
};

/**
 * struct job_spec - a job as submitted
 * @service: it belongs to
 * @deadline_us: from submission; 0 takes the service's default
 * @idempotent: as declared, where @idempotent_given
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

/** struct task_result - one task in an answer */
struct task_result {
    enum task_state state;
    bool ok;
    struct blob *result; /* may be NULL */
};

/** struct job_answer - the whole answer, complete or failed */
struct job_answer {
    enum job_status status;
    enum reason reason;
    struct task_result *tasks;
    size_t n_tasks;
};

/** job_spec_new() - an empty job with room for @n_tasks; NULL on no memory */
struct job_spec *job_spec_new(size_t n_tasks);

/** job_spec_free() - drops payload references too; NULL is allowed */
void job_spec_free(struct job_spec *s);

/** job_answer_new() - an answer of @n_tasks tasks, all not run */
struct job_answer *job_answer_new(size_t n_tasks);

/** job_answer_copy() - deep, sharing results by reference */
struct job_answer *job_answer_copy(const struct job_answer *a);

/** job_answer_free() - NULL is allowed */
void job_answer_free(struct job_answer *a);

#endif
