/* Jobs: from submission to answer, with several instances. */
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "check.h"
#include "claim.h"
#include "entry_net.h"
#include "jobs.h"
#include "key.h"

enum { PER_ZONE = 3, OTHER_ZONE = 3, NODES = 6 };

#define MSEC USEC_PER_MSEC
#define SEC USEC_PER_SEC

static char key[KEY_TEXT_SIZE];

static struct enet *
new_net(int64_t run_us)
{
    struct enet_options o = {.zones = 2,
                             .per_zone = PER_ZONE,
                             .seed = 3,
                             .new_region = true,
                             .run_us = run_us};
    struct enet *n = enet_new(&o);

    enet_mint_key(n, "z0", 1, 0, key);
    return n;
}

static int
count_states(const struct enet_answer *a, enum task_state state)
{
    int count = 0;

    for (size_t i = 0; i < a->answer->n_tasks; i++) {
        count += a->answer->tasks[i].state == state ? 1 : 0;
    }
    return count;
}

static bool
complete(const struct enet *n, uint64_t request, size_t n_tasks)
{
    const struct enet_answer *a = enet_answer(n, request);

    return enet_answered_with(n, request, JOB_COMPLETE, REASON_COMPLETED) &&
           a->answer->n_tasks == n_tasks &&
           count_states(a, TASK_RAN) == (int)n_tasks &&
           a->answer->tasks[n_tasks - 1].result != NULL;
}

/* A job is resubmitted while it runs and after its end, at the same instance,
 * at other instances and in another zone.  Every submission must get the same
 * complete answer, and no task may start twice. */
static void
resubmissions_share_one_answer(void)
{
    struct enet *n = new_net(300 * MSEC);
    uint64_t requests[NODES + 1];

    requests[NODES] = enet_submit(n, 1, key, 4, 11);
    for (int i = 0; i < NODES; i++) {
        enet_run(n, 20 * MSEC);
        requests[i] = enet_submit(n, i, key, 4, 11);
    }
    enet_run(n, SEC);
    for (int i = 0; i <= NODES; i++) {
        CU_ASSERT_TRUE(complete(n, requests[i], 4));
    }
    CU_ASSERT_EQUAL(enet_count_starts(n, key, ENET_ALL_TASKS), 4);
    requests[0] = enet_submit(n, 0, key, 4, 11);
    requests[1] = enet_submit(n, OTHER_ZONE, key, 4, 11);
    enet_run(n, SEC);
    CU_ASSERT_TRUE(complete(n, requests[0], 4));
    CU_ASSERT_TRUE(complete(n, requests[1], 4));
    CU_ASSERT_EQUAL(enet_count_starts(n, key, ENET_ALL_TASKS), 4);
    CU_ASSERT_EQUAL(enet_count_repeated_answers(n), 0);
    enet_free(n);
}

/* Two callers use the same key for different jobs.  Without the check the
 * second caller would get the answer to the first caller's job. */
static void
another_body_is_a_conflict(void)
{
    struct enet *n = new_net(300 * MSEC);
    uint64_t requests[3];

    (void)enet_submit(n, 1, key, 4, 11);
    requests[0] = enet_submit(n, 1, key, 4, 12);
    enet_run(n, 20 * MSEC);
    requests[1] = enet_submit(n, OTHER_ZONE, key, 4, 12);
    enet_run(n, SEC);
    requests[2] = enet_submit(n, 2, key, 4, 12);
    enet_run(n, SEC);
    for (int i = 0; i < 3; i++) {
        CU_ASSERT_TRUE(enet_refused_with(n, requests[i], PROBLEM_CONFLICT));
        CU_ASSERT_TRUE(
            enet_answer(n, requests[i])->problem.request_started_nothing);
        CU_ASSERT_FALSE(enet_answer(n, requests[i])->problem.not_run);
    }
    CU_ASSERT_EQUAL(enet_count_starts(n, key, ENET_ALL_TASKS), 4);
    enet_free(n);
}

/* The claimer dies while a caller waits at another instance.  The waiting
 * caller and later submissions must be answered soon that the tasks are
 * unknown, and no task may be started again. */
static void
claimer_dies(void)
{
    struct enet *n = new_net(SEC);
    uint64_t waits;
    uint64_t later;
    uint64_t get;

    (void)enet_submit(n, 1, key, 4, 11);
    enet_run(n, 50 * MSEC);
    waits = enet_submit(n, OTHER_ZONE, key, 4, 11);
    enet_run(n, 50 * MSEC);
    enet_kill(n, 1);
    enet_run(n, SEC);
    CU_ASSERT_TRUE(
        enet_answered_with(n, waits, JOB_FAILED, REASON_CLAIMER_LOST));
    CU_ASSERT_EQUAL(count_states(enet_answer(n, waits), TASK_UNKNOWN), 4);
    later = enet_submit(n, 0, key, 4, 11);
    get = enet_get(n, 2, key, true);
    enet_run(n, SEC);
    CU_ASSERT_TRUE(
        enet_answered_with(n, later, JOB_FAILED, REASON_CLAIMER_LOST));
    CU_ASSERT_TRUE(enet_refused_with(n, get, PROBLEM_CLAIMER_LOST));
    CU_ASSERT_EQUAL(enet_count_starts(n, key, ENET_ALL_TASKS), 4);
    enet_free(n);
}

/* The claimer restarts and no longer knows the job.  Resubmissions there and
 * at other instances must not run the tasks again. */
static void
claimer_restarts(void)
{
    struct enet *n = new_net(SEC);
    uint64_t requests[3];

    (void)enet_submit(n, 4, key, 4, 11);
    enet_run(n, 50 * MSEC);
    requests[0] = enet_submit(n, 0, key, 4, 11);
    enet_run(n, 5 * MSEC);
    enet_restart(n, 4);
    requests[1] = enet_submit(n, 4, key, 4, 11);
    enet_run(n, 50 * MSEC);
    requests[2] = enet_submit(n, 5, key, 4, 11);
    enet_run(n, SEC);
    for (int i = 0; i < 3; i++) {
        CU_ASSERT_TRUE(enet_answered_with(n, requests[i], JOB_FAILED,
                                          REASON_CLAIMER_LOST));
    }
    CU_ASSERT_EQUAL(enet_count_starts(n, key, ENET_ALL_TASKS), 4);
    enet_free(n);
}

static void
querying_a_job(void)
{
    struct enet *n = new_net(300 * MSEC);
    uint64_t unknown = enet_get(n, 2, key, true);
    uint64_t running;
    uint64_t waiting;

    enet_run(n, 50 * MSEC);
    CU_ASSERT_TRUE(enet_refused_with(n, unknown, PROBLEM_UNKNOWN_JOB));
    (void)enet_submit(n, 1, key, 4, 11);
    enet_run(n, 50 * MSEC);
    running = enet_get(n, OTHER_ZONE, key, false);
    waiting = enet_get(n, OTHER_ZONE, key, true);
    enet_run(n, 50 * MSEC);
    CU_ASSERT_TRUE(enet_answered_with(n, running, JOB_RUNNING, REASON_NONE));
    CU_ASSERT_EQUAL(enet_answer(n, waiting)->answer_count, 0);
    enet_run(n, SEC);
    CU_ASSERT_TRUE(complete(n, waiting, 4));
    enet_free(n);
}

static void
keep_answers_2_s(struct entry_options *o)
{
    o->answer_keep_us = 2 * SEC;
    o->claim_window_us = 30 * SEC;
    o->clock_skew_us = SEC;
}

/* A job is resubmitted long after its end.  Its answer is no longer kept, but
 * the key is still recorded as used; after the claim window the key is refused
 * by its time of issue.  If the key were unknown, the job would run a second
 * time. */
static void
late_resubmissions(void)
{
    struct enet *n = new_net(100 * MSEC);
    uint64_t requests[6];

    n->opts.adjust_options = keep_answers_2_s;
    for (int i = 0; i < NODES; i++) {
        enet_restart(n, i);
    }
    enet_run(n, 35 * SEC);
    enet_mint_key(n, "z0", 1, 0, key);
    requests[0] = enet_submit(n, 1, key, 4, 11);
    enet_run(n, 3 * SEC);
    CU_ASSERT_TRUE(complete(n, requests[0], 4));
    CU_ASSERT_EQUAL(jobs_answer_bytes(n->nodes[1].e), 0);
    CU_ASSERT_PTR_NULL(jobs_by_key(n->nodes[1].e, key_id_of(key)));
    requests[1] = enet_submit(n, 1, key, 4, 11);
    requests[2] = enet_submit(n, OTHER_ZONE, key, 4, 11);
    requests[3] = enet_submit(n, OTHER_ZONE, key, 4, 12);
    enet_run(n, SEC);
    CU_ASSERT_TRUE(enet_refused_with(n, requests[1], PROBLEM_FORGOTTEN));
    CU_ASSERT_TRUE(enet_refused_with(n, requests[2], PROBLEM_FORGOTTEN));
    CU_ASSERT_TRUE(enet_refused_with(n, requests[3], PROBLEM_CONFLICT));
    enet_run(n, 27 * SEC);
    requests[4] = enet_submit(n, 1, key, 4, 11);
    requests[5] = enet_submit(n, OTHER_ZONE, key, 4, 11);
    enet_run(n, 10 * SEC);
    for (int i = 4; i < 6; i++) {
        CU_ASSERT_TRUE(enet_refused_with(n, requests[i], PROBLEM_KEY_TOO_OLD));
        CU_ASSERT_TRUE(
            enet_answer(n, requests[i])->problem.request_started_nothing);
        CU_ASSERT_FALSE(enet_answer(n, requests[i])->problem.not_run);
    }
    CU_ASSERT_EQUAL(enet_count_starts(n, key, ENET_ALL_TASKS), 4);
    CU_ASSERT_EQUAL(claims_count(n->nodes[0].e), 0);
    enet_free(n);
}

static void
keep_8000_bytes(struct entry_options *o)
{
    o->answer_keep_bytes = 8000;
}

/* Many jobs end within the time for which answers are kept.  The oldest
 * answers must be dropped to limit memory, but their keys must remain recorded
 * as used. */
static void
kept_answers_are_limited(void)
{
    struct enet *n = new_net(20 * MSEC);
    char keys[20][KEY_TEXT_SIZE];

    n->opts.adjust_options = keep_8000_bytes;
    enet_restart(n, 1);
    enet_run(n, 12 * SEC);
    for (int i = 0; i < 20; i++) {
        enet_mint_key(n, "z0", i, 0, keys[i]);
        (void)enet_submit(n, 1, keys[i], 2, 11);
        enet_run(n, 100 * MSEC);
    }
    CU_ASSERT_TRUE(jobs_answer_bytes(n->nodes[1].e) <= 8000);
    CU_ASSERT_TRUE(jobs_answer_bytes(n->nodes[1].e) > 4000);
    CU_ASSERT_TRUE(enet_refused_with(n, enet_submit(n, 1, keys[0], 2, 11),
                                     PROBLEM_FORGOTTEN));
    CU_ASSERT_TRUE(complete(n, enet_submit(n, 1, keys[19], 2, 11), 2));
    CU_ASSERT_EQUAL(enet_count_repeated_starts(n), 0);
    enet_free(n);
}

/* A cancel arrives before its submission, at another instance.  Both must be
 * answered that no task ran, and no task may run. */
static void
cancel_before_submission(void)
{
    struct enet *n = new_net(100 * MSEC);
    uint64_t cancel = enet_cancel(n, OTHER_ZONE, key);
    uint64_t submit = enet_submit(n, 1, key, 4, 11);

    enet_run(n, SEC);
    CU_ASSERT_TRUE(
        enet_answered_with(n, submit, JOB_FAILED, REASON_CANCELLED));
    CU_ASSERT_TRUE(
        enet_answered_with(n, cancel, JOB_FAILED, REASON_CANCELLED));
    CU_ASSERT_EQUAL(enet_answer(n, submit)->answer->n_tasks, 4);
    CU_ASSERT_EQUAL(count_states(enet_answer(n, submit), TASK_NOT_RUN), 4);
    CU_ASSERT_EQUAL(enet_count_starts(n, key, ENET_ALL_TASKS), 0);
    enet_free(n);
}

/* A running job is cancelled at another instance.  Tasks that were not started
 * must be reported as not run, started tasks as unknown. */
static void
cancel_while_running(void)
{
    struct enet *n = new_net(300 * MSEC);
    uint64_t submit = enet_submit(n, 1, key, JOB_TASKS_MAX, 11);
    uint64_t cancel;
    int started;

    enet_run(n, 100 * MSEC);
    started = enet_count_starts(n, key, ENET_ALL_TASKS);
    cancel = enet_cancel(n, OTHER_ZONE, key);
    enet_run(n, SEC);
    CU_ASSERT_TRUE(
        enet_answered_with(n, submit, JOB_FAILED, REASON_CANCELLED));
    CU_ASSERT_TRUE(
        enet_answered_with(n, cancel, JOB_FAILED, REASON_CANCELLED));
    CU_ASSERT_TRUE(started > 0);
    CU_ASSERT_EQUAL(enet_count_starts(n, key, ENET_ALL_TASKS), started);
    CU_ASSERT_EQUAL(count_states(enet_answer(n, submit), TASK_UNKNOWN),
                    started);
    CU_ASSERT_EQUAL(count_states(enet_answer(n, cancel), TASK_NOT_RUN),
                    JOB_TASKS_MAX - started);
    enet_free(n);
}

/* Tasks run past the deadline.  The caller must get a failed answer at the
 * deadline, and the later outcomes must be dropped. */
static void
tasks_run_past_the_deadline(void)
{
    struct enet *n = new_net(6 * SEC);
    uint64_t submit = enet_submit(n, 1, key, 4, 11);
    uint64_t later;

    enet_run(n, 5 * SEC + 10 * MSEC);
    CU_ASSERT_TRUE(enet_answered_with(n, submit, JOB_FAILED, REASON_DEADLINE));
    CU_ASSERT_EQUAL(count_states(enet_answer(n, submit), TASK_UNKNOWN), 4);
    enet_run(n, 3 * SEC);
    CU_ASSERT_EQUAL(entry_counters(n->nodes[1].e).outcomes_dropped, 4);
    later = enet_submit(n, 1, key, 4, 11);
    CU_ASSERT_TRUE(enet_answered_with(n, later, JOB_FAILED, REASON_DEADLINE));
    CU_ASSERT_EQUAL(enet_count_starts(n, key, ENET_ALL_TASKS), 4);
    enet_free(n);
}

/* A planned stop of the instance that runs a job and of one that waits for the
 * job.  The job must complete, new jobs must be refused, and the instances may
 * report that they have stopped only after that. */
static void
planned_stop(void)
{
    struct enet *n = new_net(300 * MSEC);
    char other_key[KEY_TEXT_SIZE];
    uint64_t submit = enet_submit(n, 1, key, 4, 11);
    uint64_t elsewhere;
    uint64_t refused;

    enet_run(n, 50 * MSEC);
    elsewhere = enet_submit(n, 2, key, 4, 11);
    enet_run(n, 10 * MSEC);
    enet_stop(n, 1);
    enet_stop(n, 2);
    enet_mint_key(n, "z0", 2, 0, other_key);
    refused = enet_submit(n, 1, other_key, 1, 12);
    CU_ASSERT_TRUE(enet_refused_with(n, refused, PROBLEM_STOPPING));
    CU_ASSERT_TRUE(enet_answer(n, refused)->problem.retry_after_us > 0);
    CU_ASSERT_FALSE(n->nodes[1].stopped || n->nodes[2].stopped);
    enet_run(n, SEC);
    CU_ASSERT_TRUE(complete(n, submit, 4));
    CU_ASSERT_TRUE(complete(n, elsewhere, 4));
    CU_ASSERT_TRUE(n->nodes[1].stopped && n->nodes[2].stopped);
    enet_free(n);
}

/* The claimer is paused past the claim window with tasks queued.  By then the
 * voters have dropped the claim and the job may run elsewhere, so no further
 * task may be started. */
static void
paused_claimer(void (*tune)(struct entry_options *o))
{
    struct enet *n = new_net(2 * SEC);
    uint64_t submit;
    int started;

    n->opts.adjust_options = tune;
    enet_restart(n, 1);
    enet_run(n, 11 * SEC);
    enet_mint_key(n, "z0", 1, 0, key);
    submit = enet_submit(n, 1, key, JOB_TASKS_MAX, 11);

    enet_run(n, 100 * MSEC);
    started = enet_count_starts(n, key, ENET_ALL_TASKS);
    CU_ASSERT_TRUE(started > 0 && started < JOB_TASKS_MAX);
    enet_pause(n, 1, true);
    enet_run(n, 700 * SEC);
    enet_pause(n, 1, false);
    enet_run(n, 5 * SEC);
    CU_ASSERT_EQUAL(enet_count_starts(n, key, ENET_ALL_TASKS), started);
    CU_ASSERT_TRUE(enet_answered_with(n, submit, JOB_FAILED, REASON_DEADLINE));
    enet_free(n);
}

static void
place_direct(struct entry_options *o)
{
    o->placement = PLACE_DIRECT;
}

static void
paused_claimer_starts_nothing(void)
{
    paused_claimer(NULL);
    paused_claimer(place_direct);
}

static struct job_spec *
new_spec(const char *service, size_t n_tasks)
{
    struct job_spec *spec = job_spec_new(n_tasks);

    spec->service = name_of(service);
    spec->digest = 11;
    return spec;
}

static enum problem
refusal(struct enet *n, const char *text, struct job_spec *spec)
{
    uint64_t request = enet_submit_spec(n, 1, text, spec, false);

    enet_run(n, 20 * MSEC);
    CU_ASSERT_EQUAL_FATAL(enet_answer(n, request)->kind, EF_PROBLEM);
    return enet_answer(n, request)->problem.problem;
}

static void
bad_jobs_are_refused(void)
{
    struct enet *n = new_net(100 * MSEC);
    struct job_spec *spec = new_spec("camp", 1);
    char future[KEY_TEXT_SIZE];

    spec->deadline_us = 61 * SEC;
    CU_ASSERT_EQUAL(refusal(n, key, spec), PROBLEM_BAD_JOB);
    CU_ASSERT_EQUAL(refusal(n, key, new_spec("camp", 0)), PROBLEM_BAD_JOB);
    CU_ASSERT_EQUAL(refusal(n, key, new_spec("camp", JOB_TASKS_MAX + 1)),
                    PROBLEM_BAD_JOB);
    CU_ASSERT_EQUAL(refusal(n, key, new_spec("cake", 1)),
                    PROBLEM_UNKNOWN_SERVICE);
    CU_ASSERT_EQUAL(refusal(n, "a b", new_spec("camp", 1)), PROBLEM_BAD_KEY);
    enet_mint_key(n, "z0", 9, -10 * SEC, future);
    CU_ASSERT_EQUAL(refusal(n, future, new_spec("camp", 1)), PROBLEM_BAD_KEY);
    enet_mint_key(n, "z7", 9, 0, future);
    CU_ASSERT_EQUAL(refusal(n, future, new_spec("camp", 1)), PROBLEM_BAD_KEY);
    enet_mint_key(n, "z0", 9, 700 * SEC, future);
    CU_ASSERT_EQUAL(refusal(n, future, new_spec("camp", 1)),
                    PROBLEM_KEY_TOO_OLD);
    CU_ASSERT_EQUAL(n->n_starts, 0);
    CU_ASSERT_EQUAL(jobs_count_active(n->nodes[1].e), 0);
    enet_free(n);
}

/* A job that no upstream can ever run is refused after its claim.  The claim
 * must be released, so that the key can be used for a smaller job, and the
 * refusal must say that the job did not run. */
static void
refused_after_claim(void)
{
    struct enet *n = new_net(100 * MSEC);
    struct job_spec *spec = new_spec("camp", 1);
    uint64_t request;
    uint64_t again;

    spec->tasks[0].need_given = true;
    spec->tasks[0].need.accelerators = 9;
    request = enet_submit_spec(n, 1, key, spec, false);
    enet_run(n, 20 * MSEC);
    CU_ASSERT_TRUE(enet_refused_with(n, request, PROBLEM_NEVER_FITS));
    CU_ASSERT_TRUE(enet_answer(n, request)->problem.not_run);
    for (int i = 0; i < PER_ZONE; i++) {
        CU_ASSERT_EQUAL(claims_count(n->nodes[i].e), 0);
    }
    again = enet_submit(n, 2, key, 1, 12);
    enet_run(n, SEC);
    CU_ASSERT_TRUE(complete(n, again, 1));
    enet_free(n);
}

static void
asynchronous_submission(void)
{
    struct enet *n = new_net(300 * MSEC);
    uint64_t accepted = enet_submit_spec(n, 1, key, new_spec("camp", 2), true);
    uint64_t get;

    enet_run(n, 20 * MSEC);
    CU_ASSERT_EQUAL(enet_answer(n, accepted)->kind, EF_ACCEPTED);
    enet_run(n, SEC);
    CU_ASSERT_EQUAL(enet_answer(n, accepted)->answer_count, 1);
    get = enet_get(n, OTHER_ZONE, key, false);
    enet_run(n, 20 * MSEC);
    CU_ASSERT_TRUE(complete(n, get, 2));
    enet_free(n);
}

/* A caller disconnects.  The job must go on and its answer must be kept for
 * later requests; the closed request must get no answer. */
static void
caller_disconnects(void)
{
    struct enet *n = new_net(300 * MSEC);
    uint64_t submit = enet_submit(n, 1, key, 2, 11);
    struct event gone = {.kind = EV_CALLER_GONE};
    uint64_t again;

    gone.u.query.request = submit;
    enet_run(n, 50 * MSEC);
    enet_step(n, 1, &gone);
    enet_run(n, SEC);
    CU_ASSERT_EQUAL(enet_answer(n, submit)->answer_count, 0);
    again = enet_submit(n, 1, key, 2, 11);
    CU_ASSERT_TRUE(complete(n, again, 2));
    CU_ASSERT_EQUAL(enet_count_starts(n, key, ENET_ALL_TASKS), 2);
    enet_free(n);
}

/* Drops the first JOB_WAIT and the first JOB_ANSWER.  If the wait were not
 * repeated, the caller would get no answer until its deadline although the job
 * has ended. */
static enum enet_delivery
drop_first_wait_and_answer(struct enet *n, int from, int to,
                           const struct msg *m)
{
    (void)from;
    (void)to;
    return (m->kind == MSG_JOB_WAIT || m->kind == MSG_JOB_ANSWER) &&
                   n->messages_by_kind[m->kind] <= 1
               ? ENET_DROP
               : ENET_DELIVER;
}

static void
lost_waits_are_repeated(void)
{
    struct enet *n = new_net(300 * MSEC);
    uint64_t again;

    n->opts.filter = drop_first_wait_and_answer;
    (void)enet_submit(n, 1, key, 2, 11);
    enet_run(n, 50 * MSEC);
    again = enet_submit(n, OTHER_ZONE, key, 2, 11);
    enet_run(n, 4800 * MSEC);
    CU_ASSERT_TRUE(complete(n, again, 2));
    enet_free(n);
}

static enum enet_delivery
drop_answers(struct enet *n, int from, int to, const struct msg *m)
{
    (void)n;
    (void)from;
    (void)to;
    return m->kind == MSG_JOB_ANSWER ? ENET_DROP : ENET_DELIVER;
}

/* The claimer is up, but its answers never arrive.  A submission must fail at
 * its deadline; a query must be answered that the job is running. */
static void
claimer_never_answers(void)
{
    struct enet *n = new_net(300 * MSEC);
    uint64_t again;
    uint64_t get;

    n->opts.filter = drop_answers;
    (void)enet_submit(n, 1, key, 2, 11);
    enet_run(n, 50 * MSEC);
    again = enet_submit(n, OTHER_ZONE, key, 2, 11);
    get = enet_get(n, 2, key, true);
    enet_run(n, 5200 * MSEC);
    CU_ASSERT_TRUE(enet_answered_with(n, again, JOB_FAILED, REASON_DEADLINE));
    CU_ASSERT_EQUAL(count_states(enet_answer(n, again), TASK_UNKNOWN), 2);
    enet_run(n, 150 * SEC);
    CU_ASSERT_TRUE(enet_answered_with(n, get, JOB_RUNNING, REASON_NONE));
    enet_free(n);
}

static int
count_text(const char *text, const char *part)
{
    int count = 0;

    while ((text = strstr(text, part)) != NULL) {
        count++;
        text++;
    }
    return count;
}

static void
explain_lists_decisions(void)
{
    struct enet *n = new_net(300 * MSEC);
    const struct enet_answer *a;
    char left_out[NAME_SIZE];

    (void)enet_submit(n, 1, key, 40, 11);
    enet_run(n, 50 * MSEC);
    a = enet_answer(n, enet_explain(n, 1, key));
    CU_ASSERT_EQUAL_FATAL(a->kind, EF_TEXT);
    CU_ASSERT_EQUAL(count_text(a->text, "\"claim-won\""), 1);
    CU_ASSERT_EQUAL(count_text(a->text, "\"started\""), 15);
    /* The claim and all starts were recorded; 16 decisions are kept. */
    (void)snprintf(left_out, sizeof(left_out), "\"left_out\": %d",
                   1 + enet_count_starts(n, key, ENET_ALL_TASKS) - 16);
    CU_ASSERT_EQUAL(count_text(a->text, left_out), 1);
    (void)enet_cancel(n, 1, key);
    a = enet_answer(n, enet_explain(n, 1, key));
    CU_ASSERT_EQUAL(count_text(a->text, "\"cancelled\""), 3);
    a = enet_answer(n, enet_explain(n, 0, "order-4711"));
    CU_ASSERT_EQUAL(count_text(a->text, "\"reason\""), 0);
    a = enet_answer(n, enet_dump(n, 1));
    CU_ASSERT_EQUAL(count_text(a->text, "\"claims_granted\": 1"), 1);
    CU_ASSERT_EQUAL(count_text(a->text, "\"incarnation\": 1"), NODES + 9);
    enet_free(n);
}

static struct msg
random_message(struct enet *n)
{
    struct msg m = {.kind = (enum msg_kind)enet_random(n, MSG_KINDS)};
    unsigned char *bytes = (unsigned char *)&m.u;

    /* Only numbers and names are random: a decoded array is always valid. */
    for (size_t i = 0; i < sizeof(struct key_id); i++) {
        bytes[i] = (unsigned char)enet_random(n, 256);
    }
    switch (m.kind) {
    case MSG_CLAIM:
        m.u.claim.zone = name_of("z0");
        m.u.claim.purpose = enet_random(n, 4);
        m.u.claim.issued_us = enet_random(n, UINT64_MAX);
        break;
    case MSG_CLAIM_REPLY:
        m.u.claim_reply.attempt = enet_random(n, 20);
        m.u.claim_reply.verdict = enet_random(n, 9);
        m.u.claim_reply.claimer = name_of("nobody");
        break;
    case MSG_SYNC_REQUEST:
        m.u.sync_request.zone = name_of("z0");
        m.u.sync_request.page = enet_random(n, UINT64_MAX);
        m.u.sync_request.incarnation = enet_random(n, 3);
        break;
    case MSG_JOB_WAIT:
        m.u.job_wait.key = key_id_of(key);
        m.u.job_wait.cancel = 0;
        break;
    case MSG_JOB_ANSWER:
        m.u.job_answer.key = key_id_of(key);
        m.u.job_answer.wait = (enet_random(n, 4) << 32) | 1;
        m.u.job_answer.outcome = enet_random(n, 9);
        break;
    default:
        memset(&m.u, 0, sizeof(m.u));
        break;
    }
    return m;
}

/* Unknown senders and peers send invalid fields: unknown zones, pages past the
 * end, undefined outcomes.  The messages must be counted as bad and must not
 * affect the running job. */
static void
invalid_messages_are_ignored(void)
{
    static const char *const senders[] = {"z0-e0", "z1-e2", "stranger"};
    struct enet *n = new_net(300 * MSEC);
    uint64_t submit = enet_submit(n, 1, key, 2, 11);

    for (int i = 0; i < 5000; i++) {
        struct msg m = random_message(n);

        enet_inject(n, name_of(senders[i % 3]), 1, &m);
    }
    enet_run(n, SEC);
    CU_ASSERT_TRUE(complete(n, submit, 2));
    CU_ASSERT_TRUE(entry_counters(n->nodes[1].e).messages_bad > 500);
    CU_ASSERT_EQUAL(enet_count_starts(n, key, ENET_ALL_TASKS), 2);
    enet_free(n);
}

void
suite_jobs(void)
{
    check_add("jobs", "resubmissions_share_one_answer",
              resubmissions_share_one_answer);
    check_add("jobs", "another_body_is_a_conflict",
              another_body_is_a_conflict);
    check_add("jobs", "claimer_dies", claimer_dies);
    check_add("jobs", "claimer_restarts", claimer_restarts);
    check_add("jobs", "querying_a_job", querying_a_job);
    check_add("jobs", "late_resubmissions", late_resubmissions);
    check_add("jobs", "kept_answers_are_limited", kept_answers_are_limited);
    check_add("jobs", "cancel_before_submission", cancel_before_submission);
    check_add("jobs", "cancel_while_running", cancel_while_running);
    check_add("jobs", "tasks_run_past_the_deadline",
              tasks_run_past_the_deadline);
    check_add("jobs", "planned_stop", planned_stop);
    check_add("jobs", "paused_claimer_starts_nothing",
              paused_claimer_starts_nothing);
    check_add("jobs", "bad_jobs_are_refused", bad_jobs_are_refused);
    check_add("jobs", "refused_after_claim", refused_after_claim);
    check_add("jobs", "asynchronous_submission", asynchronous_submission);
    check_add("jobs", "caller_disconnects", caller_disconnects);
    check_add("jobs", "lost_waits_are_repeated", lost_waits_are_repeated);
    check_add("jobs", "claimer_never_answers", claimer_never_answers);
    check_add("jobs", "explain_lists_decisions", explain_lists_decisions);
    check_add("jobs", "invalid_messages_are_ignored",
              invalid_messages_are_ignored);
}
