/*
 * A client hands in a job, gets no answer since its connection breaks, and
 * hands it in again after resend-ms.  It then cancels the job, which is
 * acknowledged.  Four seconds after the 2xx for the POST, the request arrives
 * once more, at another node.  UNASKED is broken if a task of the job starts
 * later than cancel_ms (3 s) after the cancelling was acknowledged.
 */
#include "lab.h"

#include <string.h>

enum { CANCEL_MS = 3000, AGAIN_MS = 4000 };

static const char id[] = "5c0e7a21d94b36f8";
static const char job[] =
    "{\"spec\":\"900\",\"best-effort\":true,\"steps\":[{\"count\":2,"
    "\"cpu\":14000,\"mem-mb\":64,\"estimated-ms\":900}]}";

int
main(int argc, char **argv)
{
    int64_t acked = 0;
    int late = 0;
    int call;
    int post;

    if (argc != 4) {
        return 2;
    }
    lab_record = fopen(argv[2], "w");
    lab_trouble = strcmp(argv[3], "0") != 0;
    lab_start(argv[1], 4);
    if (lab_trouble) {
        post = lab_post(1, id, job, 5000);
        lab_call_at(post)->reset_after_send = true;
        (void)lab_await(post, lab_now() + 1000);
        lab_run_for(LAB_RESEND_MS);
    }
    post = lab_post(2, id, job, 3500);
    lab_run_for(400);
    call = lab_delete(2, id, false);
    (void)lab_await(call, lab_now() + 1000);
    (void)lab_await(post, lab_now() + 1000);
    if (lab_call_at(call)->status != 200 || lab_call_at(post)->status != 200) {
        lab_give_up("the cancelling was not acknowledged");
    }
    acked = lab_call_at(call)->done;
    lab_run_until(acked + AGAIN_MS);
    if (lab_trouble) {
        (void)lab_post(3, id, job, 5000);
    }
    lab_run_for(5000);
    lab_write_runs();
    for (int i = 0; i < lab_n_runs; i++) {
        late += lab_runs[i].whole > 0 && lab_runs[i].begun > acked + CANCEL_MS
                    ? 1
                    : 0;
    }
    lab_note("cancelling acknowledged at %.3f s, %d starts later than %d ms "
             "after it: UNASKED is %s",
             (double)acked / 1000.0, late, CANCEL_MS,
             late > 0 ? "broken" : "held");
    lab_end(late > 0 ? 1 : 0);
}
