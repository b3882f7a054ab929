/*
 * What callers, the operator and the processes themselves show, against what
 * is promised.
 */
#include <stdarg.h>
#include <stdlib.h>
#include <string.h>
#include <sys/wait.h>

#include "soak.h"

enum {
    QUARTER = 4,
    MEMORY_MAX_KB = 160 * 1024,
    FDS_MAX = 2048,
    FINDINGS_MAX = 200, /* of one kind that are written down */
};

/* The bounds that the platform's settings name. */
#define APPLY_US (2 * USEC_PER_SEC)
#define DRAIN_US (2 * USEC_PER_SEC)
#define EVACUATION_US (5 * USEC_PER_SEC)
/* Of a request that a stop cuts off. */
#define SLACK_US (200 * USEC_PER_MSEC)

#define PROBE_US (100 * USEC_PER_MSEC) /* between probes */
#define LOOK_US (5 * USEC_PER_SEC)     /* between looks at memory */

static const char *const finding_texts[] = {
#define FINDING(NAME, text) text,
    FINDING_LIST(FINDING)
#undef FINDING
};

const char *
soak_finding_text(enum finding f)
{
    return finding_texts[f];
}

void
soak_found(struct soak *s, enum finding what, const char *format, ...)
{
    va_list args;

    if (++s->n_findings[what] > FINDINGS_MAX) {
        return;
    }
    va_start(args, format);
    (void)fprintf(s->found, "%.3f s %s: ",
                  (double)(region_now_us() - s->begin_us) / USEC_PER_SEC,
                  soak_finding_text(what));
    (void)vfprintf(s->found, format, args);
    (void)fputc('\n', s->found);
    (void)fflush(s->found);
    va_end(args);
}

void
soak_note(struct soak *s, const char *format, ...)
{
    va_list args;

    va_start(args, format);
    (void)fprintf(s->events, "%.3f s ",
                  (double)(region_now_us() - s->begin_us) / USEC_PER_SEC);
    (void)vfprintf(s->events, format, args);
    (void)fputc('\n', s->events);
    va_end(args);
}

/* Whether a process was in touch for the whole contact time before @at_us. */
static bool
in_touch(const struct soak *s, int proc, int64_t at_us)
{
    return at_us >= s->calm_from_us[proc] + CONTACT_US &&
           at_us >= s->core_calm_from_us + CONTACT_US;
}

/* Checks */

void
soak_on_acked(void *ctx, int version)
{
    struct soak *s = ctx;
    int64_t *acked_us =
        realloc(s->acked_us, ((size_t)version + 1) * sizeof(*acked_us));

    if (acked_us == NULL) {
        abort();
    }
    s->acked_us = acked_us;
    s->acked_us[version] = region_now_us();
    s->n_versions = version + 1;
}

/* The newest version that has to be in force by now wherever there is contact;
 * 0: none. */
static int
due_version(const struct soak *s, int64_t now_us)
{
    int version = s->n_versions - 1;

    while (version > 0 && s->acked_us[version] + APPLY_US > now_us) {
        version--;
    }
    return version;
}

void
soak_probe_due(struct soak *s, int64_t now_us)
{
    int version = due_version(s, now_us);

    if (now_us < s->probe_us || version <= 0) {
        return;
    }
    s->probe_us = now_us + PROBE_US;
    region_probe(&s->region, s->probe_at++ % s->region.n_entries, version);
}

void
soak_on_probed(void *ctx, const struct region_call *c, CURLcode result,
               long status)
{
    struct soak *s = ctx;
    int proc = MEMBERS + (int)c->entry;
    int version = (int)c->number;
    bool same = s->seen_incarnation[proc] == s->procs[proc].incarnation;

    s->probes++;
    if (result != CURLE_OK) {
        return;
    }
    if (status == REGION_OK) {
        s->seen_incarnation[proc] = s->procs[proc].incarnation;
        s->seen_version[proc] = version;
    }
    if (status != REGION_NO_QUEUE) {
        return;
    }
    if (same && version <= s->seen_version[proc]) {
        soak_found(s, FINDING_CONFIG_REVERTED,
                   "broker-%zu says 404 for version %d, which it had in force",
                   c->entry + 1, version);
    }
    else if (s->no_times == 0 && in_touch(s, proc, c->sent_us)) {
        soak_found(
            s, FINDING_CONFIG_LATE,
            "broker-%zu says 404 for version %d, confirmed %.3f s before",
            c->entry + 1, version,
            (double)(c->sent_us - s->acked_us[version]) / USEC_PER_SEC);
    }
}

/* Around planned work alone: whatever else goes on may cut a request off. */
void
soak_on_job_ended(void *ctx, const struct region_call *c, CURLcode result,
                  long status)
{
    struct soak *s = ctx;
    const struct proc *p = &s->procs[MEMBERS + c->entry];
    int64_t now_us = region_now_us();

    if (result != CURLE_OK || status != REGION_OK ||
        s->region.jobs[c->number].tries > 1) {
        soak_note(s, "job %016zx try %d at broker-%zu, sent %.3f s: %ld, %s",
                  c->number + 1, s->region.jobs[c->number].tries, c->entry + 1,
                  (double)(c->sent_us - s->begin_us) / USEC_PER_SEC, status,
                  curl_easy_strerror(result));
    }
    if (result == CURLE_OK || result == CURLE_OPERATION_TIMEDOUT ||
        result == CURLE_COULDNT_CONNECT || p->stop_us == 0 ||
        now_us - c->sent_us <= SLACK_US ||
        c->sent_us < s->all_calm_from_us + CONTACT_US) {
        return;
    }
    soak_found(s, FINDING_CUT_OFF,
               "job %016zx at broker-%zu after %lld ms: %s", c->number + 1,
               c->entry + 1,
               (long long)((now_us - c->sent_us) / USEC_PER_MSEC),
               curl_easy_strerror(result));
}

/* Only where nothing else went on from before its word until now. */
void
soak_check_left(struct soak *s, int worker)
{
    int64_t left_us = s->region.left_us[worker];
    bool calm = left_us != 0 && left_us >= s->all_calm_from_us + CONTACT_US;
    size_t n;
    const struct fakeworker_run *runs =
        fakeworker_runs(s->region.workers[worker], &n);

    for (; s->runs_seen[worker] < n; s->runs_seen[worker]++) {
        const struct fakeworker_run *r = &runs[s->runs_seen[worker]];

        if (calm && r->whole_us > 0 && r->begun_us > left_us + DRAIN_US) {
            soak_found(s, FINDING_STARTED_LEAVING,
                       "%s at i-%d, %lld ms after its word", r->task, worker,
                       (long long)((r->begun_us - left_us) / USEC_PER_MSEC));
        }
    }
}

/* Only where nothing else went on for the contact time before the start. */
void
soak_check_evacuated(struct soak *s, int worker)
{
    int64_t acked_us = s->region.evacuated_us;
    bool evacuated =
        acked_us != 0 &&
        strcmp(s->region.evacuated, region_zone(&s->region, worker)) == 0;
    size_t n;
    const struct fakeworker_run *runs =
        fakeworker_runs(s->region.workers[worker], &n);

    for (; s->runs_judged[worker] < n; s->runs_judged[worker]++) {
        const struct fakeworker_run *r = &runs[s->runs_judged[worker]];

        if (evacuated && s->no_times == 0 && r->whole_us > 0 &&
            r->begun_us > acked_us + EVACUATION_US &&
            r->begun_us >= s->all_calm_from_us + CONTACT_US) {
            soak_found(s, FINDING_STARTED_EVACUATED,
                       "%s at i-%d, %lld ms after the acknowledgement",
                       r->task, worker,
                       (long long)((r->begun_us - acked_us) / USEC_PER_MSEC));
        }
    }
}

static void
check_end(struct soak *s, int i, const struct proc_end *end)
{
    const struct proc *p = &s->procs[i];

    if (!end->ended) {
        return;
    }
    if (end->by_self ||
        (!p->killed && (!WIFEXITED(end->status) ||
                        WEXITSTATUS(end->status) != EXIT_SUCCESS))) {
        soak_found(s, FINDING_ENDED, "%s ended with status 0x%x", p->log,
                   (unsigned int)end->status);
    }
}

static void
check_stop(struct soak *s, int i, int64_t now_us)
{
    struct proc *p = &s->procs[i];

    if (p->pid == 0 || p->stop_us == 0 || p->killed ||
        now_us - p->stop_us < GRACE_US || p->resume_us != 0) {
        return;
    }
    if (s->no_times == 0 && p->stop_us >= s->calm_from_us[i]) {
        soak_found(s, FINDING_STOP_HANGS, "%s did not end in %lld ms", p->log,
                   (long long)(GRACE_US / USEC_PER_MSEC));
    }
    soak_kill(s, i, now_us);
}

void
soak_check_resources(struct soak *s, int64_t now_us)
{
    if (now_us < s->look_us) {
        return;
    }
    s->look_us = now_us + LOOK_US;
    for (int i = 0; i < soak_procs(s); i++) {
        long kb = proc_memory_kb(&s->procs[i]);
        int fds = proc_fds(&s->procs[i]);

        if (kb > MEMORY_MAX_KB || fds > FDS_MAX) {
            soak_found(s, FINDING_RESOURCES, "%s has %ld KB, %d descriptors",
                       s->procs[i].log, kb, fds);
        }
    }
}

void
soak_run_procs(struct soak *s, int64_t now_us)
{
    for (int i = 0; i < soak_procs(s); i++) {
        struct proc_end end = proc_run(&s->procs[i], now_us);

        check_end(s, i, &end);
        check_stop(s, i, now_us);
        if (end.ended && !s->procs[i].killed) {
            soak_disturb(s, i, now_us + RESTART_US); /* it starts again */
        }
    }
}

static void
judge_recovery(struct soak *s)
{
    const struct region *r = &s->region;
    int64_t back_us = s->length_us - LAST_US + GRACE_US + RECOVERY_US;
    int from = (int)(back_us / USEC_PER_SEC) * JOBS_PER_S;
    int served = 0;

    for (int i = from; i < r->n_jobs; i++) {
        served += r->jobs[i].status == REGION_OK ? 1 : 0;
    }
    if (s->no_times == 0 && s->stalled_us < s->begin_us + back_us &&
        served * QUARTER < r->n_jobs - from) {
        soak_found(s, FINDING_NOT_BACK, "%d of the last %d jobs were served",
                   served, r->n_jobs - from);
    }
}

static void
note_run(struct soak *s, const char *which, const struct region_run *r)
{
    soak_note(s, "%s run %llu of %s at i-%d: from %.3f s to %.3f s, %s", which,
              (unsigned long long)r->run->run, r->run->task, r->worker,
              (double)(r->run->begun_us - s->begin_us) / USEC_PER_SEC,
              (double)(r->run->ended_us - s->begin_us) / USEC_PER_SEC,
              r->run->how);
}

void
soak_on_overlapped(void *ctx, const struct region_run *earlier,
                   const struct region_run *later)
{
    struct soak *s = ctx;

    note_run(s, "overlap: earlier", earlier);
    note_run(s, "overlap: later", later);
}

struct region_verdict
soak_judge(struct soak *s)
{
    struct region_verdict v = region_judge(&s->region);

    for (int i = 0; i < v.ran_twice; i++) {
        soak_found(s, FINDING_RAN_TWICE, "two runs of a task overlap");
    }
    for (int i = 0; i < v.false_refusals; i++) {
        soak_found(s, FINDING_FALSE_NOT_RUN, "a refused job had been started");
    }
    for (int i = 0; i < v.false_answers; i++) {
        soak_found(s, FINDING_WRONG_ANSWER, "a completed job was not done");
    }
    for (int i = 0; i < s->region.reverts; i++) {
        soak_found(s, FINDING_CONFIG_REVERTED,
                   "a read was older than one before");
    }
    if (!s->region.read_right) {
        soak_found(s, FINDING_CONFIG_LOST, "version %d is not read back",
                   s->region.acked);
    }
    judge_recovery(s);
    return v;
}
