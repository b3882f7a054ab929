/**
 * DOC: fake_record - what an upstream did, as JSON lines for checks from
 * outside
 *
 * {"t_us": wall time, "event": "start", "task": "KEYHEX-INDEX", "epoch": 7,
 * "detail": "..."}; the events are listed in enum fake_event.  Lines of a
 * process that dies stay: each is written with one write().
 */
#ifndef BM_FAKE_RECORD_H
#define BM_FAKE_RECORD_H

#include "base.h"

/* RECORD_EVENT(NAME, word) */
/* clang-format off */
#define FAKE_EVENT_LIST(RECORD_EVENT)                                         \
    RECORD_EVENT(UP, "up")           /* listening */                          \
    RECORD_EVENT(LEASE, "lease")     /* held by a new epoch */                \
    RECORD_EVENT(START, "start")                                              \
    RECORD_EVENT(END, "end")                                                  \
    RECORD_EVENT(REFUSED, "refused") /* a start; the detail says why */       \
    RECORD_EVENT(REVOKE, "revoke")   /* a question; the detail is its answer */ \
    RECORD_EVENT(LEAVE, "leave")     /* a planned stop begins */              \
    RECORD_EVENT(DOWN, "down")       /* a planned stop ends */
/* clang-format on */

enum fake_event {
#define RECORD_EVENT(NAME, word) FAKE_EVENT_##NAME,
    FAKE_EVENT_LIST(RECORD_EVENT)
#undef RECORD_EVENT
};

/** fake_event_text() - the word of an event */
const char *fake_event_text(enum fake_event event);

/** fake_record_open() - opens for appending; returns the descriptor, or -1
 * with errno */
int fake_record_open(const char *path);

/** fake_record_write() - appends a line; @task may be NULL, @fd -1 for none */
void fake_record_write(int fd, int64_t wall_us, enum fake_event event,
                       const char *task, uint64_t epoch, const char *detail);

#endif
