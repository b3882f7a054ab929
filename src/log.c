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
#include "mailbox.h"
#include "stats.h"

enum {
    TEXT_SIZE = 512,
    TIME_SIZE = 40,
    DROPS_MAX = 64, /* reasons whose drops are counted apart */
    RING = 1024,
    FAILURES_PER_S = 200, /* a broker logs 30 a second on a bad day */
    OTHERS_PER_S = 50,    /* of 20 us each: a thousandth of a core */
    STOP_LOOK_US = 1000,
    TOLD_EVERY_US = 1000000, /* between lines about dropped ones */
};

struct line {
    struct mail mail;
    size_t size;
    char text[];
};

/* Lines that may still be written in this second. */
struct allowance {
    unsigned int per_s;
    double left;
    int64_t at_us;
};

struct drop {
    const char *reason;
    unsigned long count;
};

static struct {
    pthread_mutex_t lock; /* for what follows */
    char instance[NAME_SIZE];
    char zone[NAME_SIZE];
    uint64_t incarnation;
    int level;
    int fd;
    const struct clock *clock;
    struct allowance failures;
    struct allowance others;
    struct drop drops[DROPS_MAX];
    size_t n_drops;
    int64_t told_us;
    atomic_bool started;
    /* Of the writer. */
    struct mailbox ring;
    pthread_t writer;
    atomic_bool ending;
    atomic_uint waiting;
    unsigned int room;
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

struct log_options
log_options_default(void)
{
    return (struct log_options){.fd = STDOUT_FILENO,
                                .ring = RING,
                                .failures_per_s = FAILURES_PER_S,
                                .others_per_s = OTHERS_PER_S};
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

/* The ring and its writer */

static void *
writer_run(void *arg)
{
    struct mail *mail;

    (void)arg;
    while (!atomic_load(&logger.ending) || atomic_load(&logger.waiting) > 0) {
        mail = mailbox_take(&logger.ring);
        if (mail == NULL) {
            mailbox_wait(&logger.ring, USEC_PER_SEC);
            continue;
        }
        write_all(((struct line *)mail)->text, ((struct line *)mail)->size);
        free(mail);
        (void)atomic_fetch_sub(&logger.waiting, 1);
    }
    return NULL;
}

static bool
hand_to_writer(const char *text, size_t size)
{
    struct line *line = malloc(sizeof(*line) + size);

    if (line == NULL) {
        return false;
    }
    memcpy(line->text, text, size);
    line->size = size;
    (void)atomic_fetch_add(&logger.waiting, 1);
    if (!mailbox_offer(&logger.ring, &line->mail)) {
        (void)atomic_fetch_sub(&logger.waiting, 1);
        free(line);
        return false;
    }
    return true;
}

/* Under the lock. */
static void
count_drop(const char *reason)
{
    size_t i = 0;

    stats_add(&stats.log_dropped, 1);
    while (i < logger.n_drops && strcmp(logger.drops[i].reason, reason) != 0) {
        i++;
    }
    if (i == logger.n_drops && i < DROPS_MAX) {
        logger.drops[logger.n_drops++] = (struct drop){.reason = reason};
    }
    if (i < DROPS_MAX) {
        logger.drops[i].count++;
    }
}

static bool
allowed(struct allowance *a, int64_t now_us)
{
    double passed = (double)(now_us - a->at_us) / (double)USEC_PER_SEC;

    a->at_us = now_us;
    a->left += passed * a->per_s;
    a->left = a->left < a->per_s ? a->left : a->per_s;
    if (a->left < 1) {
        return false;
    }
    a->left -= 1;
    return true;
}

static int64_t
mono_us(void)
{
    const struct clock *c = logger.clock ? logger.clock : clock_real();

    return clock_now(c).mono_us;
}

/* Whether the line may be written now; counts it otherwise. */
static bool
admit(const struct log_record *r)
{
    bool yes;

    if (!atomic_load(&logger.started)) {
        return true;
    }
    (void)pthread_mutex_lock(&logger.lock);
    yes =
        allowed(r->severity <= LOG_NOTICE ? &logger.failures : &logger.others,
                mono_us());
    if (!yes) {
        count_drop(r->reason);
    }
    (void)pthread_mutex_unlock(&logger.lock);
    return yes;
}

static void
write_line(const json_t *line, const char *reason)
{
    char *text = line != NULL ? json_dumps(line, JSON_COMPACT) : NULL;
    size_t size;

    if (text == NULL) {
        return;
    }
    size = strlen(text);
    text[size] = '\n'; /* in place of the terminator */
    (void)pthread_mutex_lock(&logger.lock);
    if (!atomic_load(&logger.started)) {
        write_all(text, size + 1);
    }
    else if (!hand_to_writer(text, size + 1)) {
        count_drop(reason);
    }
    (void)pthread_mutex_unlock(&logger.lock);
    stats_add(&stats.log_lines, 1);
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
    (void)json_object_set_new(line, "mono_us", json_integer(mono_us()));
    put_text(line, "severity", log_severity_name(r->severity));
    put_text(line, "instance", logger.instance);
    put_text(line, "zone", logger.zone);
    if (logger.incarnation != 0) {
        (void)json_object_set_new(
            line, "incarnation", json_integer((json_int_t)logger.incarnation));
    }
    put_text(line, "reason", r->reason);
    put_text(line, "key", r->key);
    if (r->task >= 0) {
        (void)json_object_set_new(line, "task", json_integer(r->task));
    }
    put_text(line, "subject", r->subject);
    put_text(line, "detail", r->detail);
    return line;
}

/* Dropped lines, by reason; then their counts begin anew. */
static json_t *
line_of_drops(int64_t now_us)
{
    const struct log_record r = {
        .severity = LOG_WARNING, .reason = "lines-dropped", .task = -1};
    json_t *counts = NULL;
    json_t *line;

    (void)pthread_mutex_lock(&logger.lock);
    /* Only where there is room for it: dropped itself, it would take the
     * counts along. */
    if (logger.n_drops > 0 && now_us - logger.told_us >= TOLD_EVERY_US &&
        2 * atomic_load(&logger.waiting) < logger.room) {
        logger.told_us = now_us;
        counts = json_object();
        for (size_t i = 0; i < logger.n_drops; i++) {
            (void)json_object_set_new(
                counts, logger.drops[i].reason,
                json_integer((json_int_t)logger.drops[i].count));
        }
        logger.n_drops = 0;
    }
    (void)pthread_mutex_unlock(&logger.lock);
    if (counts == NULL) {
        return NULL;
    }
    line = line_of(&r);
    (void)json_object_set_new(line, "dropped", counts);
    return line;
}

static void
tell_drops(void)
{
    json_t *line = line_of_drops(mono_us());

    if (line != NULL) {
        write_line(line, "lines-dropped");
        json_decref(line);
    }
}

void
log_write(const struct log_record *r)
{
    json_t *line;

    if (!log_enabled(r->severity) || !admit(r)) {
        return;
    }
    tell_drops();
    line = line_of(r);
    write_line(line, r->reason);
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
    write_line(line, reason);
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

bool
log_start(const struct log_options *o)
{
    logger.fd = o->fd;
    logger.incarnation = o->incarnation;
    (void)snprintf(logger.zone, sizeof(logger.zone), "%s",
                   o->zone != NULL ? o->zone : "");
    logger.failures = (struct allowance){.per_s = o->failures_per_s,
                                         .left = o->failures_per_s,
                                         .at_us = mono_us()};
    logger.others = (struct allowance){
        .per_s = o->others_per_s, .left = o->others_per_s, .at_us = mono_us()};
    logger.n_drops = 0;
    logger.told_us = mono_us() - TOLD_EVERY_US;
    logger.room = o->ring;
    atomic_store(&logger.ending, false);
    if (mailbox_init(&logger.ring, o->ring) != 0) {
        return false;
    }
    if (pthread_create(&logger.writer, NULL, writer_run, NULL) != 0) {
        mailbox_destroy(&logger.ring);
        return false;
    }
    atomic_store(&logger.started, true);
    return true;
}

/* A writer that waits for a reader who does not read would wait for ever, and
 * the process with it: it is left behind then. */
void
log_stop(int64_t timeout_ms)
{
    int64_t until_us = mono_us() + timeout_ms * USEC_PER_MSEC;

    if (!atomic_load(&logger.started)) {
        return;
    }
    (void)pthread_mutex_lock(&logger.lock);
    atomic_store(&logger.started, false);
    (void)pthread_mutex_unlock(&logger.lock);
    atomic_store(&logger.ending, true);
    while (atomic_load(&logger.waiting) > 0) {
        if (mono_us() >= until_us) {
            (void)pthread_detach(logger.writer);
            logger.fd = -1; /* nothing more can be said */
            return;
        }
        clock_sleep(STOP_LOOK_US);
    }
    mailbox_wake(&logger.ring);
    (void)pthread_join(logger.writer, NULL);
    mailbox_destroy(&logger.ring);
}
