/**
 * DOC: fake - the decisions of a stand-in for an upstream
 *
 * What docs/http-api.md asks of an upstream, without any network: leases by
 * epoch, starts, questions for a task, and faults that can be switched on.
 * It deliberately does not refuse a task that it has started before: a second
 * start must show in its records and not be hidden by it.  Not thread-safe.
 */
#ifndef BM_FAKE_H
#define BM_FAKE_H

#include <jansson.h>

#include "base.h"
#include "map.h"

enum {
    FAKE_TASK_SIZE = 48,       /* "KEYHEX-INDEX" with terminator, bytes */
    FAKE_RUN_MS_MAX = 3600000, /* longest run time a payload may ask for */
    FAKE_EXIT_DIED = 9,        /* exit code of the die_at fault */
};

/** enum fake_silence - when an answer to a start stops coming */
enum fake_silence {
    FAKE_SILENT_NONE,
    FAKE_SILENT_BEFORE, /* the start is read and then forgotten */
    FAKE_SILENT_AFTER,  /* it runs, and no answer is sent */
    FAKE_SILENT_DURING, /* half of the answer is sent */
};

/**
 * struct fake_faults - what goes wrong on purpose
 * @fail: every task runs and fails
 * @refuse: every start is refused with the proof that it did not start
 * @slow: run times are multiplied by this
 * @silent: when answers stop
 * @every: @silent strikes each start whose number divides by this
 * @die_at: the process dies right after that many starts; 0 is never
 */
struct fake_faults {
    bool fail;
    bool refuse;
    double slow;
    enum fake_silence silent;
    uint32_t every;
    uint64_t die_at;
};

/** enum fake_verdict - what becomes of a start */
enum fake_verdict {
    FAKE_STARTED,
    FAKE_STALE,     /* lower epoch or another incarnation */
    FAKE_REVOKED,   /* somebody was told that it never starts */
    FAKE_FULL,      /* every slot is taken */
    FAKE_LEAVING,   /* a planned stop has begun */
    FAKE_REFUSING,  /* the fault */
    FAKE_FORGOTTEN, /* the fault: neither started nor answered */
};

/** struct fake_work - what a payload asks for */
struct fake_work {
    int64_t run_us;
    json_t *echo; /* owned; never NULL */
    bool fail;
};

/** struct fake_start - the outcome of fake_start_task() */
struct fake_start {
    enum fake_verdict verdict;
    uint64_t number;           /* of the start; from 1 */
    enum fake_silence silence; /* for this start */
    bool die;                  /* the process is to die now */
};

/** struct fake_question - the answer for a task that was asked for */
struct fake_question {
    const char *state; /* "never", "running" or "done"; NULL: other life */
    bool ok;
    const json_t *result; /* lent; NULL unless done */
};

/** struct fake_stats - counters, for the state page */
struct fake_stats {
    uint64_t started;
    uint64_t ended;
    uint64_t refused;
    uint64_t revoked;
    uint32_t running;
    uint32_t running_peak;
};

struct fake;

/** fake_new() - @slots is the most that runs at a time; NULL on no memory */
struct fake *fake_new(struct name name, uint64_t incarnation, uint32_t slots);

/** fake_free() - NULL is allowed */
void fake_free(struct fake *f);

/** fake_lease() - whether @holder may hold it under @epoch from now on */
bool fake_lease(struct fake *f, struct name holder, uint64_t epoch,
                uint64_t incarnation);

/** fake_epoch() - the highest epoch it has seen */
uint64_t fake_epoch(const struct fake *f);

/** fake_name() - as it announces itself */
struct name fake_name(const struct fake *f);

/** fake_incarnation() - of this life */
uint64_t fake_incarnation(const struct fake *f);

/** fake_task_valid() - whether @task reads KEYHEX-INDEX */
bool fake_task_valid(const char *task);

/** fake_start_task() - decides on a start and records it as running */
struct fake_start fake_start_task(struct fake *f, const char *task,
                                  uint64_t epoch, uint64_t incarnation);

/** fake_end_task() - the task ended; @result is taken over */
void fake_end_task(struct fake *f, const char *task, bool ok, json_t *result);

/** fake_ask() - answers for a task; one that never started never will */
struct fake_question fake_ask(struct fake *f, const char *task,
                              uint64_t incarnation);

/** fake_leave() - refuses starts from now on */
void fake_leave(struct fake *f);

/** fake_work_parse() - reads a payload; what it does not say is zero, and a
 * payload that is no object is echoed whole */
struct fake_work fake_work_parse(const struct fake *f, const char *payload,
                                 size_t size);

/** fake_faults_default() - nothing goes wrong */
struct fake_faults fake_faults_default(void);

/** fake_faults_parse() - reads JSON over @faults; returns NULL or what is
 * wrong */
const char *fake_faults_parse(const json_t *json, struct fake_faults *faults);

/** fake_faults_json() - as fake_faults_parse() reads it; owned by the caller
 */
json_t *fake_faults_json(const struct fake_faults *faults);

/** fake_set_faults() - in force for the starts that follow */
void fake_set_faults(struct fake *f, const struct fake_faults *faults);

/** fake_faults() - in force now */
struct fake_faults fake_faults(const struct fake *f);

/** fake_stats() - a copy of the counters */
struct fake_stats fake_stats(const struct fake *f);

/** fake_verdict_text() - one word for records and answers */
const char *fake_verdict_text(enum fake_verdict v);

#endif
