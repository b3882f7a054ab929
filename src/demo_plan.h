/**
 * DOC: demo_plan - the jobs of the demo, and what their answers must say
 *
 * Everything about a job follows from the seed and the job's number, so that
 * an answer can be checked without keeping what was sent.
 */
#ifndef BM_DEMO_PLAN_H
#define BM_DEMO_PLAN_H

#include "base.h"
#include "kind.h"

/* DEMO_KIND(NAME, what the caller does) */
/* clang-format off */
#define DEMO_KIND_LIST(DEMO_KIND)                                             \
    DEMO_KIND(PLAIN, "submit")                                                \
    DEMO_KIND(RESUBMIT_DURING, "submit again elsewhere while it runs")        \
    DEMO_KIND(RESUBMIT_AFTER, "submit again elsewhere after the answer")      \
    DEMO_KIND(CANCEL_DURING, "cancel elsewhere while it runs")                \
    DEMO_KIND(CANCEL_BEFORE, "cancel the key, then submit")                   \
    DEMO_KIND(NEVER_FITS, "ask for more than any upstream has")               \
    DEMO_KIND(CONFLICT, "submit another body under the key afterwards")
/* clang-format on */

enum demo_kind {
#define DEMO_KIND(NAME, text) DEMO_##NAME,
    DEMO_KIND_LIST(DEMO_KIND)
#undef DEMO_KIND
};

/** struct demo_job - one job as planned */
struct demo_job {
    uint64_t seed;
    uint32_t number;
    enum demo_kind kind;
    uint32_t n_tasks;
    const char *service;
};

/** struct demo_answer - one answer as read */
struct demo_answer {
    bool there;    /* a complete or failed answer was read */
    bool complete; /* else failed */
    bool partial;  /* some, but not all of what it promises */
    bool wrong;    /* something that belongs to another job or task */
    char reason[NAME_SIZE];
    uint32_t n_tasks;
    enum task_state states[JOB_TASKS_MAX];
    bool ok[JOB_TASKS_MAX];
};

/** demo_job_plan() - the job of that number */
struct demo_job demo_job_plan(uint64_t seed, uint32_t number,
                              const char *service);

/** demo_job_body() - as submitted, or with another content where @other; to
 * be freed with free() */
char *demo_job_body(const struct demo_job *job, bool other);

/** demo_job_key() - a key of the caller's own; false: it is to be minted */
bool demo_job_key(const struct demo_job *job, char key[KEY_TEXT_SIZE]);

/** demo_answer_read() - reads and checks the body of an answer */
void demo_answer_read(const struct demo_job *job, const char *body,
                      size_t size, struct demo_answer *out);

#endif
