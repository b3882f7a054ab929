#include "log.h"

#include <errno.h>
#include <pthread.h>
#include <stdarg.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <time.h>
#include <unistd.h>

#include "jsontext.h"

enum { TEXT_SIZE = 512, TIME_SIZE = 40 };

static struct {
    pthread_mutex_t lock; /* held while a line is written */
    char instance[NAME_SIZE];
    int level;
    int fd;
    const struct clock *clock;
} logger = {
    .lock = PTHREAD_MUTEX_INITIALIZER, .level = LOG_INFO, .fd = STDERR_FILENO};

static const char *const severities[] = {
    "emerg", "alert", "crit", "err", "warning", "notice", "info", "debug",
};

enum { SEVERITIES = sizeof(severities) / sizeof(severities[0]) };

void
log_setup(const char *instance, int level, const struct clock *clock)
{
    (void)snprintf(logger.instance, sizeof(logger.instance), "%s", instance);
    logger.level = level;
    logger.clock = clock;
}

void
log_output(int fd)
{
    logger.fd = fd;
}

bool
log_enabled(int severity)
{
    return severity <= logger.level;
}

const char *
log_severity_name(int severity)
{
    return severity >= 0 && severity < SEVERITIES ? severities[severity]
                                                  : "unknown";
}

static void
format_time(char out[TIME_SIZE])
{
    const struct clock *c = logger.clock ? logger.clock : clock_real();
    int64_t wall_us = clock_now(c).wall_us;
    time_t seconds = wall_us / USEC_PER_SEC;
    struct tm tm;
    size_t n;

    (void)gmtime_r(&seconds, &tm);
    n = strftime(out, TIME_SIZE, "%Y-%m-%dT%H:%M:%S", &tm);
    (void)snprintf(out + n, TIME_SIZE - n, ".%06dZ",
                   (int)(wall_us % USEC_PER_SEC));
}

static void
put_text(json_t *line, const char *name, const char *text)
{
    if (text != NULL && text[0] != '\0') {
        (void)json_object_set_new(line, name, jsontext_lenient(text));
    }
}

static void
write_all(const char *data, size_t size)
{
    while (size > 0) {
        ssize_t n = write(logger.fd, data, size);

        if (n < 0 && errno == EINTR) {
            continue;
        }
        if (n <= 0) {
            return; /* nobody reads any more: there is nowhere to say so */
        }
        data += n;
        size -= (size_t)n;
    }
}

static void
write_line(const json_t *line)
{
    char *text = line != NULL ? json_dumps(line, JSON_COMPACT) : NULL;
    size_t size;

    if (text == NULL) {
        return;
    }
    size = strlen(text);
    text[size] = '\n'; /* in place of the terminator */
    (void)pthread_mutex_lock(&logger.lock);
    write_all(text, size + 1);
    (void)pthread_mutex_unlock(&logger.lock);
    free(text);
}

static json_t *
line_of(const struct log_record *r)
{
    char time[TIME_SIZE];
    json_t *line = json_object();

    if (line == NULL) {
        return NULL;
    }
    format_time(time);
    put_text(line, "time", time);
    put_text(line, "severity", log_severity_name(r->severity));
    put_text(line, "instance", logger.instance);
    put_text(line, "reason", r->reason);
    put_text(line, "key", r->key);
    if (r->task >= 0) {
        (void)json_object_set_new(line, "task", json_integer(r->task));
    }
    put_text(line, "subject", r->subject);
    put_text(line, "detail", r->detail);
    return line;
}

void
log_write(const struct log_record *r)
{
    json_t *line;

    if (!log_enabled(r->severity)) {
        return;
    }
    line = line_of(r);
    write_line(line);
    json_decref(line);
}

void
log_json(int severity, const char *reason, const char *name, const char *json)
{
    struct log_record r = {.severity = severity, .reason = reason, .task = -1};
    json_t *value;
    json_t *line;

    if (!log_enabled(severity)) {
        return;
    }
    line = line_of(&r);
    value = json_loads(json, 0, NULL);
    if (value != NULL) {
        (void)json_object_set_new(line, name, value);
    }
    write_line(line);
    json_decref(line);
}

void
log_event(int severity, const char *reason, const char *subject,
          const char *format, ...)
{
    struct log_record r = {.severity = severity,
                           .reason = reason,
                           .task = -1,
                           .subject = subject};
    char detail[TEXT_SIZE];
    va_list args;

    if (!log_enabled(severity)) {
        return;
    }
    va_start(args, format);
    (void)vsnprintf(detail, sizeof(detail), format, args);
    va_end(args);
    r.detail = detail;
    log_write(&r);
}
