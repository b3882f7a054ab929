/* Starts and their outcomes, retries, admission and queue order. */
#include <stdlib.h>

#include "check.h"
#include "one_entry.h"

#define RUN_US (100 * USEC_PER_MSEC)

static struct one *
one_with(int n_upstreams, const struct one_options *options)
{
    struct one *o = one_new(options);

    for (int i = 0; i < n_upstreams; i++) {
        char name[] = {'u', (char)('0' + i), '\0'};

        one_announce(o, one_upstream_info(name));
    }
    one_clear(o);
    return o;
}

static uint64_t
first_call(const struct one *o)
{
    return one_effect(o, EF_START, 0)->u.start.call;
}

static void
every_task_starts_once(void)
{
    struct one *o = one_with(2, &(struct one_options){0});
    uint64_t request = one_submit(o, "a", 20, RUN_US);
    size_t started = 0;

    CU_ASSERT_EQUAL(one_count_effects(o, EF_START), 8);
    while (one_count_effects(o, EF_START) > 0) {
        started += one_end_all_starts(o, START_DONE, true);
    }
    CU_ASSERT_EQUAL(started, 20);
    CU_ASSERT(one_answered_with(o, request, JOB_COMPLETE, REASON_COMPLETED));
    one_free(o);
}

/* An upstream with 3 connections and 4 slots would refuse a fourth start.  One
 * connection must stay free for control requests; otherwise lost starts could
 * not be queried and their jobs would hang until the deadline. */
static void
connections_limit_starts(void)
{
    struct one *o = one_with(0, &(struct one_options){0});
    struct rec_upstream_info info = one_upstream_info("u");

    info.connections = 3;
    one_announce(o, info);
    one_clear(o);
    (void)one_submit(o, "a", 9, RUN_US);
    CU_ASSERT_EQUAL(one_count_effects(o, EF_START), 2);
    one_free(o);
}

/* An upstream refuses a start, for instance because it is full or is leaving.
 * The task must be started on another upstream at once. */
static void
refused_start_is_retried_elsewhere(void)
{
    struct one *o = one_with(2, &(struct one_options){0});
    uint64_t request = one_submit(o, "a", 1, RUN_US);
    struct name refusing = one_effect(o, EF_START, 0)->u.start.upstream;

    CU_ASSERT_EQUAL(one_end_all_starts(o, START_REFUSED, false), 1);
    CU_ASSERT_EQUAL(one_count_effects(o, EF_START), 1);
    CU_ASSERT(
        !name_equal(refusing, one_effect(o, EF_START, 0)->u.start.upstream));
    (void)one_end_all_starts(o, START_DONE, true);
    CU_ASSERT(one_answered_with(o, request, JOB_COMPLETE, REASON_COMPLETED));
    one_free(o);
}

/* All upstreams refuse connections, so every start fails at once and could be
 * retried without end.  Once the retry budget is spent the job must fail, and
 * no task may be reported as run. */
static void
retries_are_limited(void)
{
    struct one *o = one_with(3, &(struct one_options){0});
    uint64_t request = one_submit(o, "a", 200, RUN_US);
    size_t started = 0;
    int rounds = 0;

    while (one_answer(o, request) == NULL && rounds++ < 2000) {
        started += one_end_all_starts(o, START_NO_CONNECT, false);
        if (one_count_effects(o, EF_START) == 0) {
            one_run(o, 20 * USEC_PER_MSEC);
        }
        if (rounds % 20 == 0) {
            for (int u = 0; u < 3; u++) {
                char name[] = {'u', (char)('0' + u), '\0'};

                one_announce(o, one_upstream_info(name));
            }
        }
    }
    CU_ASSERT(
        one_answered_with(o, request, JOB_FAILED, REASON_RETRIES_SPENT) ||
        one_answered_with(o, request, JOB_FAILED, REASON_DEADLINE));
    CU_ASSERT(started < 300);
    for (size_t i = 0; i < 200; i++) {
        const struct job_answer *a = one_answer(o, request)->u.answer.answer;

        CU_ASSERT(a->tasks[i].state != TASK_RAN);
    }
    one_free(o);
}

/* A connection is lost after the start was sent, so the task may have been
 * started.  If the start were repeated, the task could run twice.  It may be
 * started again only after the upstream has reported that it never started. */
static void
lost_start_is_retried_only_with_proof(void)
{
    struct one *o = one_with(2, &(struct one_options){0});
    uint64_t request = one_submit(o, "a", 1, RUN_US);

    (void)one_end_all_starts(o, START_LOST, false);
    CU_ASSERT_EQUAL(one_count_effects(o, EF_START), 0);
    CU_ASSERT_EQUAL(one_count_effects(o, EF_REVOKE), 1);
    one_revoke_reply(o, one_effect(o, EF_REVOKE, 0)->u.revoke.call,
                     REVOKE_NEVER);
    CU_ASSERT_EQUAL(one_count_effects(o, EF_START), 1);
    (void)one_end_all_starts(o, START_DONE, true);
    CU_ASSERT(one_answered_with(o, request, JOB_COMPLETE, REASON_COMPLETED));
    one_free(o);
}

/* A task whose start was lost is still running, so the upstream is queried
 * again until it reports the result. */
static void
lost_start_that_runs_is_queried_again(void)
{
    struct one *o = one_with(1, &(struct one_options){0});
    uint64_t request = one_submit(o, "a", 1, RUN_US);

    (void)one_end_all_starts(o, START_LOST, false);
    one_revoke_reply(o, one_effect(o, EF_REVOKE, 0)->u.revoke.call,
                     REVOKE_RUNNING);
    one_clear(o);
    one_run(o, USEC_PER_SEC);
    CU_ASSERT_EQUAL(one_count_effects(o, EF_START), 0);
    CU_ASSERT_EQUAL(one_count_effects(o, EF_REVOKE), 1);
    one_revoke_reply(o, one_effect(o, EF_REVOKE, 0)->u.revoke.call,
                     REVOKE_DONE);
    CU_ASSERT(one_answered_with(o, request, JOB_COMPLETE, REASON_COMPLETED));
    one_free(o);
}

/* The upstream restarts while a task runs there, and the new incarnation
 * cannot report the outcome.  The task must be reported as unknown, not as not
 * run, and must not be started again. */
static void
restarted_upstream_leaves_outcome_unknown(void)
{
    struct one *o = one_with(2, &(struct one_options){0});
    uint64_t request = one_submit(o, "a", 1, RUN_US);

    (void)one_end_all_starts(o, START_LOST, false);
    one_revoke_reply(o, one_effect(o, EF_REVOKE, 0)->u.revoke.call,
                     REVOKE_OTHER_LIFE);
    CU_ASSERT(one_answered_with(o, request, JOB_FAILED, REASON_OUTCOME_LOST));
    CU_ASSERT_EQUAL(one_answer(o, request)->u.answer.answer->tasks[0].state,
                    TASK_UNKNOWN);
    CU_ASSERT_EQUAL(one_count_effects(o, EF_START), 0);
    one_free(o);
}

/* The expected run times are long and the job's deadline is near.  If a lost
 * start were queried only after the deadline, a finished task would be
 * reported as unknown.  The time-out of a start must therefore leave time for
 * the query. */
static void
lost_start_is_queried_before_the_deadline(void)
{
    struct one *o =
        one_with(1, &(struct one_options){.deadline_us = 4 * USEC_PER_SEC});
    const struct effect *start;

    (void)one_submit(o, "a", 1, 2 * USEC_PER_SEC);
    start = one_effect(o, EF_START, 0);
    CU_ASSERT_PTR_NOT_NULL_FATAL(start);
    if (start != NULL) {
        CU_ASSERT(start->u.start.silence_timeout_us <= 3 * USEC_PER_SEC);
        CU_ASSERT(start->u.start.silence_timeout_us >= USEC_PER_SEC);
    }
    one_free(o);
}

/* A new incarnation of an upstream is announced while starts are in flight.
 * The outcome of these starts must be queried, and nothing may be started. */
static void
replaced_upstream_is_queried(void)
{
    struct one *o = one_with(1, &(struct one_options){0});
    struct rec_upstream_info info = one_upstream_info("u0");

    (void)one_submit(o, "a", 2, RUN_US);
    one_clear(o);
    info.incarnation = 2;
    one_announce(o, info);
    CU_ASSERT_EQUAL(one_count_effects(o, EF_REVOKE), 2);
    CU_ASSERT_EQUAL(one_effect(o, EF_REVOKE, 0)->u.revoke.incarnation, 1);
    CU_ASSERT_EQUAL(one_count_effects(o, EF_START), 0);
    one_free(o);
}

/* The upstream of a lost start stays unreachable.  The job must fail at its
 * deadline, and the slot must become free. */
static void
unreachable_upstream_fails_at_deadline(void)
{
    struct one *o = one_with(1, &(struct one_options){0});
    uint64_t request = one_submit(o, "a", 1, RUN_US);

    (void)one_end_all_starts(o, START_LOST, false);
    for (int i = 0; i < 200 && entry_gauges(o->e).tasks_running > 0; i++) {
        const struct effect *f = one_effect(o, EF_REVOKE, 0);

        if (f != NULL) {
            uint64_t call = f->u.revoke.call;

            one_clear(o);
            one_revoke_reply(o, call, REVOKE_UNREACHABLE);
        }
        if (one_answer(o, request) != NULL) {
            CU_ASSERT(
                one_answered_with(o, request, JOB_FAILED, REASON_DEADLINE));
            request = 0;
        }
        one_run(o, 200 * USEC_PER_MSEC);
    }
    CU_ASSERT_EQUAL(request, 0);
    CU_ASSERT_EQUAL(entry_gauges(o->e).tasks_running, 0);
    one_free(o);
}

/* Outcomes that arrive twice or with an unknown call number must be dropped.
 * Counted as the result of another task, they would give a wrong answer. */
static void
duplicate_outcomes_are_dropped(void)
{
    struct one *o = one_with(1, &(struct one_options){0});
    uint64_t request = one_submit(o, "a", 2, RUN_US);
    uint64_t call = first_call(o);

    one_end_start(o, call, START_DONE, true);
    one_end_start(o, call, START_DONE, true);
    one_end_start(o, call + 1000, START_DONE, true);
    CU_ASSERT_EQUAL(entry_counters(o->e).outcomes_dropped, 2);
    CU_ASSERT_PTR_NULL(one_answer(o, request));
    one_end_start(o, one_effect(o, EF_START, 1)->u.start.call, START_DONE,
                  true);
    CU_ASSERT(one_answered_with(o, request, JOB_COMPLETE, REASON_COMPLETED));
    one_free(o);
}

/* A cancelled job's queued tasks must be dropped without messages.  Its starts
 * in flight must keep their slots until they end, otherwise the next job's
 * tasks would be refused by a full upstream. */
static void
cancel_sends_no_messages(void)
{
    struct one *o = one_with(6, &(struct one_options){.peers = 1});
    size_t started;

    (void)one_submit(o, "a", 100, RUN_US);
    started = one_count_effects(o, EF_START);
    CU_ASSERT(started > 0 && started % 4 == 0);
    one_clear(o);
    one_cancel(o, "a");
    CU_ASSERT_EQUAL(one_count_effects(o, EF_REVOKE), 0);
    CU_ASSERT(one_count_effects(o, EF_SEND) <= 1); /* a request for slots */
    CU_ASSERT_EQUAL(entry_gauges(o->e).tasks_queued, 0);
    CU_ASSERT_EQUAL(entry_gauges(o->e).tasks_running, started);
    (void)one_submit(o, "b", 1, RUN_US);
    CU_ASSERT_EQUAL(one_count_effects(o, EF_START), 0);
    one_free(o);
}

static void
never_fits_is_refused_at_once(void)
{
    struct one *o = one_with(0, &(struct one_options){0});
    struct rec_upstream_info info = one_upstream_info("u");
    const struct effect *f;
    uint64_t request;

    request = one_submit(o, "a", 1, RUN_US);
    f = one_answer(o, request);
    CU_ASSERT(f->kind == EF_PROBLEM &&
              f->u.problem.problem == PROBLEM_NO_UPSTREAMS &&
              f->u.problem.retry_after_us > 0);
    info.cpu_milli = 500;
    one_announce(o, info);
    request = one_submit(o, "b", 1, RUN_US);
    f = one_answer(o, request);
    CU_ASSERT(f->kind == EF_PROBLEM &&
              f->u.problem.problem == PROBLEM_NEVER_FITS &&
              f->u.problem.not_run);
    one_free(o);
}

/* Only another zone has large enough upstreams; its heartbeats carry the
 * largest resources.  A task that fits there must wait for slots; a task that
 * fits nowhere must be refused at once, not at its deadline. */
static void
other_zones_count_for_fit(void)
{
    struct one *o = one_with(
        1, &(struct one_options){.peers = 1, .peers_in_other_zone = true});
    struct msg m = {.kind = MSG_HEARTBEAT};
    const struct effect *f;

    m.u.heartbeat.incarnation = 1;
    m.u.heartbeat.loads = calloc(1, sizeof(struct rec_load));
    if (m.u.heartbeat.loads == NULL) {
        abort();
    }
    m.u.heartbeat.has_loads = 1;
    m.u.heartbeat.n_loads = 1;
    m.u.heartbeat.loads[0] = (struct rec_load){.service = name_of("camp"),
                                               .free_slots = 8,
                                               .cpu_milli = 64000,
                                               .memory_mb = 65536};
    one_message(o, "p0", &m);
    one_set_need(o, 100000);
    f = one_answer(o, one_submit(o, "a", 1, RUN_US));
    CU_ASSERT(f != NULL && f->kind == EF_PROBLEM &&
              f->u.problem.problem == PROBLEM_NEVER_FITS);
    one_set_need(o, 48000);
    CU_ASSERT_PTR_NULL(one_answer(o, one_submit(o, "b", 1, RUN_US)));
    CU_ASSERT_PTR_NOT_NULL_FATAL(one_message_sent(o, MSG_SLOT_REQUEST, 0));
    CU_ASSERT_EQUAL(
        one_message_sent(o, MSG_SLOT_REQUEST, 0)->u.slot_request.cpu_milli,
        48000);
    one_free(o);
}

/* Far more jobs arrive than can be run in time.  If all were admitted, nearly
 * all would fail at their deadlines with part of their tasks run.  Admitted
 * jobs must complete; the others must be refused at once with a retry time. */
static void
overload_is_refused_early(void)
{
    struct one *o =
        one_with(2, &(struct one_options){.deadline_us = 4 * USEC_PER_SEC});
    int refused = 0;
    int64_t until;

    for (int i = 0; i < 400; i++) {
        char key[] = {'k', (char)('a' + i / 20), (char)('a' + i % 20), '\0'};
        uint64_t request = one_submit(o, key, 2, RUN_US);
        const struct effect *f = one_answer(o, request);

        if (f != NULL) {
            CU_ASSERT_EQUAL(f->kind, EF_PROBLEM);
            CU_ASSERT(f->u.problem.retry_after_us > 0);
            refused++;
        }
    }
    CU_ASSERT(refused > 200 && refused < 390);
    until = o->now_us + 4 * USEC_PER_SEC;
    while (entry_gauges(o->e).tasks_running > 0 && o->now_us < until) {
        one_run(o, RUN_US);
        (void)one_end_all_starts(o, START_DONE, true);
    }
    CU_ASSERT_EQUAL(entry_counters(o->e).jobs_complete, 400 - refused);
    CU_ASSERT_EQUAL(entry_counters(o->e).jobs_failed, 0);
    one_free(o);
}

/* In least-work-first order small jobs overtake a large one, but a steady
 * stream of small jobs must not keep the large one waiting until its
 * deadline. */
static void
small_jobs_do_not_starve_large_jobs(void)
{
    struct one *o =
        one_with(1, &(struct one_options){.deadline_us = 8 * USEC_PER_SEC});
    uint64_t large = one_submit(o, "large", 40, RUN_US);
    uint64_t small = one_submit(o, "small", 1, RUN_US);
    bool large_answered = false;

    one_run(o, RUN_US);
    (void)one_end_all_starts(o, START_DONE, true);
    one_run(o, RUN_US);
    (void)one_end_all_starts(o, START_DONE, true);
    CU_ASSERT(one_answered_with(o, small, JOB_COMPLETE, REASON_COMPLETED));
    for (int i = 0; i < 60 && !large_answered; i++) {
        char name[] = {'u', '0', '\0'};
        char key[] = {'s', (char)('0' + i), '\0'};

        for (int c = 0; c < 4; c++) {
            key[0] = (char)('a' + c);
            (void)one_submit(o, key, 1, RUN_US);
        }
        one_run(o, RUN_US);
        one_announce(o, one_upstream_info(name));
        (void)one_end_all_starts(o, START_DONE, true);
        large_answered = one_answer(o, large) != NULL;
        CU_ASSERT(!large_answered ||
                  one_answered_with(o, large, JOB_COMPLETE, REASON_COMPLETED));
    }
    CU_ASSERT(large_answered);
    one_free(o);
}

static void
arrival_order_is_kept_if_configured(void)
{
    struct one *o = one_with(1, &(struct one_options){.order = ORDER_ARRIVAL});
    struct key_id small = key_id_of("small");

    (void)one_submit(o, "large", 10, RUN_US);
    one_run(o, 1);
    (void)one_submit(o, "small", 1, RUN_US);
    (void)one_end_all_starts(o, START_DONE, true);
    (void)one_end_all_starts(o, START_DONE, true);
    CU_ASSERT_EQUAL(one_count_effects(o, EF_START), 3);
    CU_ASSERT(key_id_equal(one_effect(o, EF_START, 2)->u.start.key, small));
    one_free(o);
}

/* A team's limit on running tasks applies even if more slots are free. */
static void
quota_limits_running_tasks(void)
{
    struct one *o = one_with(3, &(struct one_options){.slots_max_running = 5});

    (void)one_submit(o, "a", 12, RUN_US);
    CU_ASSERT_EQUAL(one_count_effects(o, EF_START), 5);
    CU_ASSERT_EQUAL(one_end_all_starts(o, START_DONE, true), 5);
    CU_ASSERT_EQUAL(one_count_effects(o, EF_START), 5);
    one_free(o);
}

static void
quota_limits_start_rate(void)
{
    struct one *o = one_with(9, &(struct one_options){.starts_per_s = 10});
    size_t n_started;

    (void)one_submit(o, "a", 30, RUN_US);
    n_started = one_count_effects(o, EF_START);
    CU_ASSERT(n_started >= 1 && n_started <= 3);
    one_run(o, USEC_PER_SEC);
    CU_ASSERT(one_count_effects(o, EF_START) >= 9 &&
              one_count_effects(o, EF_START) <= 13);
    one_free(o);
}

#define ADD(test) check_add("dispatch", #test, test)

void
suite_dispatch(void)
{
    ADD(every_task_starts_once);
    ADD(connections_limit_starts);
    ADD(refused_start_is_retried_elsewhere);
    ADD(retries_are_limited);
    ADD(lost_start_is_retried_only_with_proof);
    ADD(lost_start_that_runs_is_queried_again);
    ADD(lost_start_is_queried_before_the_deadline);
    ADD(restarted_upstream_leaves_outcome_unknown);
    ADD(replaced_upstream_is_queried);
    ADD(unreachable_upstream_fails_at_deadline);
    ADD(duplicate_outcomes_are_dropped);
    ADD(cancel_sends_no_messages);
    ADD(never_fits_is_refused_at_once);
    ADD(other_zones_count_for_fit);
    ADD(overload_is_refused_early);
    ADD(small_jobs_do_not_starve_large_jobs);
    ADD(arrival_order_is_kept_if_configured);
    ADD(quota_limits_running_tasks);
    ADD(quota_limits_start_rate);
}
