/**
 * DOC: log - JSON lines on standard error
 *
 * One line a record: time (RFC 3339, UTC), severity (syslog's word), reason,
 * instance and, where they apply, key, task, subject and detail.  Safe to call
 * from any thread; a line is written whole.
 */
#ifndef BM_LOG_H
#define BM_LOG_H

#include <syslog.h>

#include "clock.h"

/**
 * struct log_record - one line
 * @severity: of syslog, LOG_EMERG to LOG_DEBUG
 * @reason: short and stable, for machines; never NULL
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

/** log_setup() - names the process in its lines; before threads are started.
 * Lines less severe than @level are left out.  Before it is called, lines
 * carry no instance, and LOG_INFO is the level. */
void log_setup(const char *instance, int level, const struct clock *clock);

/** log_output() - where lines go; standard error before it is called */
void log_output(int fd);

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
