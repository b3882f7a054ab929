/* Jobs: from submission to answer, over several instances. */
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

/* A caller believes its job was lost and submits it again while the first is
 * still running: at the same instance, at another one, in another zone.
 * Each gets the same whole answer, and nothing starts twice. */
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

/* Two callers use one key for different jobs.  Without the check the second
 * would get the first one's answer and believe its own plots were held. */
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

/* The instance that runs a job dies while somebody waits at another one.  The
 * waiting caller hears within seconds that the tasks are unknown, and so does
 * whoever submits the job again later.  Nothing is started again. */
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

/* The instance that ran a job restarts at once and knows nothing of it.  A
 * resubmission there, and one elsewhere, must not run the tasks again. */
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
asking_for_a_job(void)
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
keep_briefly(struct entry_options *o)
{
    o->answer_keep_us = 2 * SEC;
    o->claim_window_us = 30 * SEC;
    o->clock_skew_us = SEC;
}

/* A caller asks again long after the end.  The answer is gone, but not that
 * the key was used; after the window a key says itself that it is too old.
 * Were it simply unknown by then, the job would run a second time. */
static void
late_resubmissions(void)
{
    struct enet *n = new_net(100 * MSEC);
    uint64_t requests[6];

    n->opts.adjust_options = keep_briefly;
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
keep_little(struct entry_options *o)
{
    o->answer_keep_bytes = 8000;
}

/* Many jobs end within the time that answers are kept.  The oldest answers go
 * first, so that memory stays bounded, but their keys are still known. */
static void
answers_are_bounded(void)
{
    struct enet *n = new_net(20 * MSEC);
    char keys[20][KEY_TEXT_SIZE];

    n->opts.adjust_options = keep_little;
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

/* A cancel overtakes its submission, at another instance even.  Both callers
 * hear that nothing ran, and nothing does. */
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

/* A running job is cancelled at another instance. What had not started is
 * not run, what had is unknown, and late outcomes change nothing. */
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

/* A straggler outlives the deadline.  The caller gets a failed answer at the
 * deadline; the straggler's outcome comes later and is dropped. */
static void
deadline_passes(void)
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

/* An instance is told to stop with jobs in progress, one of them waited for
 * from elsewhere.  They end whole, new ones are refused as not started, and
 * only then does it say that it has stopped. */
static void
planned_stop(void)
{
    struct enet *n = new_net(300 * MSEC);
    char fresh[KEY_TEXT_SIZE];
    uint64_t submit = enet_submit(n, 1, key, 4, 11);
    uint64_t elsewhere;
    uint64_t refused;

    enet_run(n, 50 * MSEC);
    elsewhere = enet_submit(n, 2, key, 4, 11);
    enet_run(n, 10 * MSEC);
    enet_stop(n, 1);
    enet_stop(n, 2);
    enet_mint_key(n, "z0", 2, 0, fresh);
    refused = enet_submit(n, 1, fresh, 1, 12);
    CU_ASSERT_TRUE(enet_refused_with(n, refused, PROBLEM_STOPPING));
    CU_ASSERT_TRUE(enet_answer(n, refused)->problem.retry_after_us > 0);
    CU_ASSERT_FALSE(n->nodes[1].stopped || n->nodes[2].stopped);
    enet_run(n, SEC);
    CU_ASSERT_TRUE(complete(n, submit, 4));
    CU_ASSERT_TRUE(complete(n, elsewhere, 4));
    CU_ASSERT_TRUE(n->nodes[1].stopped && n->nodes[2].stopped);
    enet_free(n);
}

/* A process is paused past the claim window, with tasks queued.  By the time
 * it wakes its voters have forgotten the key and the job may run elsewhere;
 * so nothing of it may start any more. */
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
spec_of(const char *service, size_t n_tasks)
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
    struct job_spec *spec = spec_of("camp", 1);
    char future[KEY_TEXT_SIZE];

    spec->deadline_us = 61 * SEC;
    CU_ASSERT_EQUAL(refusal(n, key, spec), PROBLEM_BAD_JOB);
    CU_ASSERT_EQUAL(refusal(n, key, spec_of("camp", 0)), PROBLEM_BAD_JOB);
    CU_ASSERT_EQUAL(refusal(n, key, spec_of("camp", JOB_TASKS_MAX + 1)),
                    PROBLEM_BAD_JOB);
    CU_ASSERT_EQUAL(refusal(n, key, spec_of("cake", 1)),
                    PROBLEM_UNKNOWN_SERVICE);
    CU_ASSERT_EQUAL(refusal(n, "a b", spec_of("camp", 1)), PROBLEM_BAD_KEY);
    enet_mint_key(n, "z0", 9, -10 * SEC, future);
    CU_ASSERT_EQUAL(refusal(n, future, spec_of("camp", 1)), PROBLEM_BAD_KEY);
    enet_mint_key(n, "z7", 9, 0, future);
    CU_ASSERT_EQUAL(refusal(n, future, spec_of("camp", 1)), PROBLEM_BAD_KEY);
    enet_mint_key(n, "z0", 9, 700 * SEC, future);
    CU_ASSERT_EQUAL(refusal(n, future, spec_of("camp", 1)),
                    PROBLEM_KEY_TOO_OLD);
    CU_ASSERT_EQUAL(n->n_starts, 0);
    CU_ASSERT_EQUAL(jobs_count_active(n->nodes[1].e), 0);
    enet_free(n);
}

/* A job that no upstream can ever run is refused after its claim; the claim
 * is given back, so that the caller may submit a smaller one under the same
 * key.  The refusal says not run, which is a fact here. */
static void
refused_after_claim(void)
{
    struct enet *n = new_net(100 * MSEC);
    struct job_spec *spec = spec_of("camp", 1);
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
    uint64_t accepted = enet_submit_spec(n, 1, key, spec_of("camp", 2), true);
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

/* A caller hangs up.  The job goes on and its answer is there for the next
 * one who asks; nobody is answered on the request that is gone. */
static void
caller_hangs_up(void)
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

/* The connection to the claimer breaks with the question under way, and later
 * with the answer.  Without asking again the caller would wait for nothing
 * until its deadline, though the job is done. */
static enum enet_delivery
lose_waits(struct enet *n, int from, int to, const struct msg *m)
{
    (void)from;
    (void)to;
    return (m->kind == MSG_JOB_WAIT || m->kind == MSG_JOB_ANSWER) &&
                   n->messages_by_kind[m->kind] <= 1
               ? ENET_DROP
               : ENET_DELIVER;
}

static void
waits_are_asked_again(void)
{
    struct enet *n = new_net(300 * MSEC);
    uint64_t again;

    n->opts.filter = lose_waits;
    (void)enet_submit(n, 1, key, 2, 11);
    enet_run(n, 50 * MSEC);
    again = enet_submit(n, OTHER_ZONE, key, 2, 11);
    enet_run(n, 4800 * MSEC);
    CU_ASSERT_TRUE(complete(n, again, 2));
    enet_free(n);
}

static enum enet_delivery
lose_answers(struct enet *n, int from, int to, const struct msg *m)
{
    (void)n;
    (void)from;
    (void)to;
    return m->kind == MSG_JOB_ANSWER ? ENET_DROP : ENET_DELIVER;
}

/* The claimer's answers never arrive, though it is up and hears us.  The
 * caller must not wait past its deadline; who only asks hears that the job
 * runs, as far as this instance can tell. */
static void
claimer_never_answers(void)
{
    struct enet *n = new_net(300 * MSEC);
    uint64_t again;
    uint64_t get;

    n->opts.filter = lose_answers;
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
decisions_are_explained(void)
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
    /* The claim and every start were noted, 16 of them are kept. */
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

    /* Numbers and names; arrays stay empty, as no decoder makes them wild. */
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

/* A stranger, or a peer gone wrong, sends fields that make no sense: unknown
 * zones, pages far past the end, outcomes nobody defined.  They are counted
 * and the running job is not disturbed. */
static void
hostile_messages(void)
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
    check_add("jobs", "asking_for_a_job", asking_for_a_job);
    check_add("jobs", "late_resubmissions", late_resubmissions);
    check_add("jobs", "answers_are_bounded", answers_are_bounded);
    check_add("jobs", "cancel_before_submission", cancel_before_submission);
    check_add("jobs", "cancel_while_running", cancel_while_running);
    check_add("jobs", "deadline_passes", deadline_passes);
    check_add("jobs", "planned_stop", planned_stop);
    check_add("jobs", "paused_claimer_starts_nothing",
              paused_claimer_starts_nothing);
    check_add("jobs", "bad_jobs_are_refused", bad_jobs_are_refused);
    check_add("jobs", "refused_after_claim", refused_after_claim);
    check_add("jobs", "asynchronous_submission", asynchronous_submission);
    check_add("jobs", "caller_hangs_up", caller_hangs_up);
    check_add("jobs", "waits_are_asked_again", waits_are_asked_again);
    check_add("jobs", "claimer_never_answers", claimer_never_answers);
    check_add("jobs", "decisions_are_explained", decisions_are_explained);
    check_add("jobs", "hostile_messages", hostile_messages);
}
