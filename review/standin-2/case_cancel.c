/*
 * A client hands in a job of two steps, and cancels it after 0.5 s, while the
 * first step runs.  The connection of the DELETE is reset, so it is sent
 * again, to another node.  UNASKED is broken if a task of the job starts later
 * than cancel_ms (3 s) after the cancelling was acknowledged.  A 410 is not
 * taken for that here: then the start has to be later than cancel_ms after
 * ack-timeout-ms (4 s) of steady state, which begins contact-ms (3 s) after
 * the reset.
 */
#include "lab.h"

#include <string.h>

enum { CANCEL_MS = 3000, ACK_TIMEOUT_MS = 4000, CONTACT_MS = 3000 };

static const char id[] = "5c0e7a21d94b36f8";
static const char job[] =
    "{\"spec\":\"12000,500\",\"best-effort\":true,\"steps\":["
    "{\"count\":2,\"cpu\":14000,\"mem-mb\":64,\"estimated-ms\":12000},"
    "{\"count\":2,\"cpu\":14000,\"mem-mb\":64,\"estimated-ms\":500,"
    "\"depends-on\":[0]}]}";

int
main(int argc, char **argv)
{
    int64_t until;
    int64_t acked = 0;
    int64_t cancelled;
    int64_t limit;
    int late = 0;
    int starts = 0;
    int broker = 2;
    int call;

    if (argc != 4) {
        return 2;
    }
    lab_record = fopen(argv[2], "w");
    lab_trouble = strcmp(argv[3], "0") != 0;
    lab_start(argv[1], 4);
    until = lab_now() + 20000;
    (void)lab_post(broker, id, job, 25000);
    lab_run_for(500);
    if (lab_n_runs == 0) {
        lab_give_up("no task has started");
    }
    cancelled = lab_now();
    call = lab_delete(broker, id, lab_trouble);
    (void)lab_await(call, lab_now() + 1000);
    while (lab_call_at(call)->status != 200 &&
           lab_call_at(call)->status != 410 && lab_now() < until) {
        lab_run_for(200);
        broker = (broker + 1) % LAB_BROKERS;
        call = lab_delete(broker, id, false);
        (void)lab_await(call, lab_now() + 1000);
    }
    acked = lab_call_at(call)->done;
    limit = lab_call_at(call)->status == 200
                ? acked + CANCEL_MS
                : cancelled + CONTACT_MS + ACK_TIMEOUT_MS + CANCEL_MS;
    lab_run_until(acked + 14000);
    lab_write_runs();
    for (int i = 0; i < lab_n_runs; i++) {
        /* A stop for a run that is not there is no start. */
        starts += lab_runs[i].whole > 0 ? 1 : 0;
        late += lab_runs[i].whole > 0 && lab_runs[i].begun > limit ? 1 : 0;
    }
    lab_note("cancelled at %.3f s, answered %d at %.3f s, %d starts, %d of "
             "them after %.3f s: UNASKED is %s",
             (double)cancelled / 1000.0, lab_call_at(call)->status,
             (double)acked / 1000.0, starts, late, (double)limit / 1000.0,
             late > 0 ? "broken" : "held");
    lab_end(late > 0 ? 1 : 0);
}
