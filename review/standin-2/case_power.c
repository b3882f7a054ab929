/*
 * Jobs come to a zone while workers leave some orders unanswered and carry
 * them out late.  The zone's three brokers, of seven, lose power for 1.9 s,
 * and three workers crash and start again under their ids after 1 s.  The
 * clients hand their jobs in again after resend-ms.  TWICE is broken if two
 * runs of a task are at work at one time on two workers that are up.
 */
#include "lab.h"

#include <signal.h>
#include <stdlib.h>
#include <string.h>
#include <time.h>

enum {
    JOBS = 26,
    JOB_GAP_MS = 8,
    TASK_MS = 2000,
    TIMEOUT_MS = 6000,
    KILL_AFTER_MS = 450,
    POWER_MS = 1900,
    WORKER_DOWN_MS = 1000,
    CRASHED = 3,
    KILLED = 3,
    TOLERANCE_MS = 5, /* of the stand-ins' own clock */
};

static const char job[] =
    "{\"spec\":\"2000\",\"best-effort\":true,\"steps\":[{\"count\":1,"
    "\"cpu\":4000,\"mem-mb\":64,\"estimated-ms\":2000}]}";

struct client {
    char id[32];
    int call; /* -1: none in progress */
    int64_t deadline;
    int64_t resend_at;
    bool over;
};

static struct client clients[JOBS];

static void
hand_in(struct client *c, int broker)
{
    c->call = lab_post(broker, c->id, job, (int)(c->deadline - lab_now()));
}

/* After no response, a broken connection, 502 or 504: again, at any node. */
static void
poll_client(struct client *c, int number)
{
    static const int alive[] = {1, 2, 4,
                                5}; /* the platform sees who is ready */
    struct lab_call *call;

    if (c->over) {
        return;
    }
    if (c->call < 0) {
        if (lab_now() >= c->resend_at && lab_now() < c->deadline) {
            hand_in(c, alive[number % 4]);
        }
        return;
    }
    call = lab_call_at(c->call);
    if (call->done == 0) {
        return;
    }
    if (call->status == 0 || call->status == 502 || call->status == 504) {
        c->resend_at = call->done + LAB_RESEND_MS;
        c->call = -1;
    }
    else {
        c->over = true;
    }
}

static void
run_clients(int64_t until)
{
    while (lab_now() < until) {
        lab_run_for(1);
        for (int i = 0; i < JOBS; i++) {
            if (clients[i].deadline > 0) {
                poll_client(&clients[i], i);
            }
        }
    }
}

static void
crash_workers(void)
{
    int n = 0;

    for (int i = 0; i < lab_n_workers && n < CRASHED; i++) {
        bool used = false;

        for (int k = 0; k < lab_n_runs; k++) {
            used = used || lab_runs[k].worker == i;
        }
        if (used && lab_workers[i].zone == 0) {
            lab_crash_worker(i, WORKER_DOWN_MS, lab_workers[i].kind, false);
            n++;
        }
    }
}

static int
count_overlaps(void)
{
    int n = 0;

    for (int i = 0; i < lab_n_runs; i++) {
        for (int k = i + 1; k < lab_n_runs; k++) {
            const struct lab_run *a = &lab_runs[i];
            const struct lab_run *b = &lab_runs[k];
            int64_t a_end = a->ended != 0 ? a->ended : lab_now();
            int64_t b_end = b->ended != 0 ? b->ended : lab_now();
            int64_t from = a->begun > b->begun ? a->begun : b->begun;
            int64_t to = a_end < b_end ? a_end : b_end;

            /* Late orders may start two runs of a task at one worker: the
             * pages don't say what it does then, so these are left out. */
            if (a->whole == 0 || b->whole == 0 || a->worker == b->worker ||
                strcmp(a->task, b->task) != 0 || to - from <= TOLERANCE_MS) {
                continue;
            }
            lab_note("%s runs twice for %d ms: run %ld on %s, life %d, and "
                     "run %ld on %s, life %d, from %.3f s",
                     a->task, (int)(to - from), a->run,
                     lab_workers[a->worker].id, a->life, b->run,
                     lab_workers[b->worker].id, b->life,
                     (double)from / 1000.0);
            n++;
        }
    }
    return n;
}

int
main(int argc, char **argv)
{
    static const int killed[KILLED] = {0, 3, 6};
    static const int zone[] = {0, 3, 6};
    int64_t from;
    int overlaps;

    if (argc != 4) {
        return 2;
    }
    lab_record = fopen(argv[2], "w");
    lab_trouble = strcmp(argv[3], "0") != 0;
    srand48((long)time(NULL));
    lab_task_milli = 4000;
    lab_late_to = 3000;
    lab_start(argv[1], 8);
    from = lab_now();
    lab_late_share = lab_trouble ? 0.5 : 0;
    for (int i = 0; i < JOBS; i++) {
        snprintf(clients[i].id, sizeof(clients[i].id), "%08lx%08lx",
                 (unsigned long)mrand48() & 0xffffffff,
                 (unsigned long)mrand48() & 0xffffffff);
        clients[i].deadline = lab_now() + TIMEOUT_MS;
        hand_in(&clients[i], zone[i % 3]);
        run_clients(from + (int64_t)(i + 1) * JOB_GAP_MS);
    }
    run_clients(from + KILL_AFTER_MS);
    if (lab_trouble) {
        for (int i = 0; i < KILLED; i++) {
            lab_restart_broker_when_ended(killed[i], POWER_MS);
            lab_signal_broker(killed[i], SIGKILL);
        }
        crash_workers();
        lab_late_share = 0;
    }
    run_clients(from + TIMEOUT_MS + 1500);
    lab_write_runs();
    overlaps = count_overlaps();
    lab_note("%d of %d orders carried out late, %d overlaps: TWICE is %s",
             lab_late_orders, lab_orders, overlaps,
             overlaps > 0 ? "broken" : "held");
    lab_end(overlaps > 0 ? 1 : 0);
}
