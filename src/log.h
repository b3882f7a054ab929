/**
 * DOC: log - JSON lines with a syslog severity
 *
 * One line an event: time, mono_us, severity, instance, zone, incarnation,
 * reason, and where they apply key, task, subject and detail.  Safe to call
 * from any thread; a line is written whole.
 *
 * Before log_start() a line is written at once.  After it, lines go through a
 * bounded ring to a thread of their own: whoever logs never waits for whoever
 * reads.  A line that finds the ring full, or is above the lines allowed in a
 * second, is dropped and counted by its reason; the counts are told in a line
 * "lines-dropped" and in counters.  Failures (notice and above) have an
 * allowance of their own, so that a flood of successes hides none.
 */
#ifndef BM_LOG_H
#define BM_LOG_H

#include <syslog.h>

#include "clock.h"

/**
 * struct log_record - one line
 * @severity: of syslog, LOG_EMERG to LOG_DEBUG
 * @reason: short and stable, for machines; never NULL; a constant
 * @key: hex digits of the job's key, or NULL
 * @task: index in the job, or -1
 * @subject: upstream, instance or client the line is about, or NULL
 * @detail: for people, or NULL
 */
struct log_record {
    int severity;
    const char *reason;
    const char *key;
    int32_t task;
    const char *subject;
    const char *detail;
};

/**
 * struct log_options - of log_start()
 * @fd: where lines go
 * @zone: of the process, or NULL
 * @incarnation: of the process
 * @ring: lines that may wait for the writer, a power of two
 * @failures_per_s: lines of LOG_NOTICE and above that are allowed in a second
 * @others_per_s: lines below
 */
struct log_options {
    int fd;
    const char *zone;
    uint64_t incarnation;
    unsigned int ring;
    unsigned int failures_per_s;
    unsigned int others_per_s;
};

/** log_options_default() - standard output; allowances as in the design note
 */
struct log_options log_options_default(void);

/** log_setup() - names the process in its lines; before threads are started.
 * Lines less severe than @level are left out.  Before it is called, lines
 * carry no instance, and LOG_INFO is the level. */
void log_setup(const char *instance, int level, const struct clock *clock);

/** log_start() - from now on through the ring; false, and as before, when
 * there is no thread to be had */
bool log_start(const struct log_options *o);

/** log_stop() - gives the writer up to @timeout_ms for what waits, then lines
 * are written at once again; a writer that is stuck is left behind */
void log_stop(int64_t timeout_ms);

/** log_enabled() - whether a line of that severity would be written */
bool log_enabled(int severity);

/** log_write() - writes a record */
void log_write(const struct log_record *r);

/** log_event() - a record without key and task; the detail is
 * printf-formatted; @subject may be NULL */
void log_event(int severity, const char *reason, const char *subject,
               const char *format, ...) __attribute__((format(printf, 4, 5)));

/** log_json() - a record with JSON text as the value of member @name */
void log_json(int severity, const char *reason, const char *name,
              const char *json);

/** log_severity_name() - syslog's word for a severity */
const char *log_severity_name(int severity);

#endif
