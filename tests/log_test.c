/* Logs that nobody reads, and the metrics page. */
#include "log.h"

#include <fcntl.h>
#include <jansson.h>
#include <stdlib.h>
#include <string.h>
#include <unistd.h>

#include "broker_metrics.h"
#include "check.h"
#include "stats.h"
#include "vlease.h"

enum { LINES = 5000, ROOM = 1 << 20, LINE_ROOM = 1024 };

static void
log_many(int severity, const char *reason, int n)
{
    for (int i = 0; i < n; i++) {
        log_event(severity, reason, "subject", "line %d", i);
    }
}

/* All that a pipe holds now. */
static char *
read_all(int fd)
{
    char *text = calloc(1, ROOM);
    size_t size = 0;
    ssize_t n;

    (void)fcntl(fd, F_SETFL, O_NONBLOCK);
    while (size < ROOM - 1 &&
           (n = read(fd, text + size, ROOM - 1 - size)) > 0) {
        size += (size_t)n;
    }
    return text;
}

static struct log_options
options(int fd)
{
    struct log_options o = log_options_default();

    o.fd = fd;
    o.zone = "zone-a";
    o.incarnation = 7;
    o.ring = 64;
    o.failures_per_s = 1000;
    o.others_per_s = 1000;
    return o;
}

/* How many lines of "flood" that line tells as dropped. */
static uint64_t
told_dropped(const char *line)
{
    json_t *fields = json_loads(line, 0, NULL);
    json_int_t n = json_integer_value(
        json_object_get(json_object_get(fields, "dropped"), "flood"));

    json_decref(fields);
    return (uint64_t)n;
}

/* Reads lines, waiting for them, until @wanted of them hold @text; the last of
 * these goes to @line.  Returns how many dropped ones they tell of. */
static uint64_t
read_lines(FILE *in, const char *text, uint64_t wanted, char *line)
{
    uint64_t told = 0;
    uint64_t n = 0;

    while (n < wanted) {
        CU_ASSERT_PTR_NOT_NULL_FATAL(fgets(line, LINE_ROOM, in));
        n += strstr(line, text) != NULL ? 1 : 0;
        told += told_dropped(line);
    }
    return told;
}

/* Standard output is a pipe whose reader hangs.  The process that logs must
 * not hang with it: lines are dropped, counted, and that is told when the
 * reader goes on. */
static void
reader_that_hangs_holds_nobody_up(void)
{
    struct manual_clock clock;
    struct log_options o;
    uint64_t dropped = atomic_load(&stats.log_dropped);
    uint64_t told;
    char line[LINE_ROOM];
    FILE *in;
    int fds[2];

    CU_ASSERT_EQUAL_FATAL(pipe(fds), 0);
    in = fdopen(fds[0], "r");
    manual_clock_init(&clock, (struct moment){USEC_PER_SEC, USEC_PER_SEC});
    o = options(fds[1]);
    o.failures_per_s = LINES;
    log_setup("n1", LOG_INFO, &clock.base);
    CU_ASSERT_TRUE(log_start(&o));
    log_many(LOG_NOTICE, "flood", LINES); /* more than a pipe holds */
    dropped = atomic_load(&stats.log_dropped) - dropped;
    CU_ASSERT_TRUE(dropped > 0 && dropped < LINES);
    /* The writer may have fallen behind and caught up before the pipe was
     * full: then some drops are told among the lines. */
    told = read_lines(in, "\"reason\":\"flood\"", LINES - dropped, line);
    CU_ASSERT_TRUE(told < dropped);
    manual_clock_advance(&clock, 2 * USEC_PER_SEC);
    log_event(LOG_NOTICE, "after", NULL, "it reads again");
    told += read_lines(in, "\"reason\":\"lines-dropped\"", 1, line);
    CU_ASSERT_EQUAL(told, dropped);
    CU_ASSERT_EQUAL(read_lines(in, "\"reason\":\"after\"", 1, line), 0);
    log_stop(1000);
    log_setup("check", LOG_INFO, clock_real());
    (void)fclose(in);
    (void)close(fds[1]);
}

/* A flood of successes is cut; failures have an allowance of their own. */
static void
successes_crowd_out_no_failure(void)
{
    struct manual_clock clock;
    struct log_options o;
    int fds[2];
    char *text;

    CU_ASSERT_EQUAL_FATAL(pipe(fds), 0);
    manual_clock_init(&clock, (struct moment){USEC_PER_SEC, USEC_PER_SEC});
    o = options(fds[1]);
    o.others_per_s = 10;
    log_setup("n1", LOG_INFO, &clock.base);
    CU_ASSERT_TRUE(log_start(&o));
    log_many(LOG_INFO, "success", 40);
    log_event(LOG_NOTICE, "failure", NULL, "seen");
    log_stop(1000);
    text = read_all(fds[0]);
    CU_ASSERT_PTR_NOT_NULL(strstr(text, "\"reason\":\"failure\""));
    CU_ASSERT_PTR_NOT_NULL(strstr(text, "\"dropped\":{\"success\":30}"));
    CU_ASSERT_PTR_NOT_NULL(strstr(text, "\"zone\":\"zone-a\""));
    free(text);
    log_setup("check", LOG_INFO, clock_real());
    (void)close(fds[0]);
    (void)close(fds[1]);
}

/* A strict reader of Prometheus' text format, as far as it is used here. */
struct page {
    char name[128];
    char type[16];
    int samples;
    int wrong;
};

static bool
belongs(const struct page *p, const char *line)
{
    size_t n = strlen(p->name);
    const char *rest = line + n;

    if (strncmp(line, p->name, n) != 0) {
        return false;
    }
    if (strcmp(p->type, "histogram") == 0) {
        return strncmp(rest, "_bucket{", 8) == 0 ||
               strncmp(rest, "_sum", 4) == 0 ||
               strncmp(rest, "_count", 6) == 0;
    }
    if (strcmp(p->type, "counter") == 0 &&
        (n < 6 || strcmp(line + n - 6, "_total") == 0)) {
        return false;
    }
    return rest[0] == ' ' || rest[0] == '{';
}

static void
read_sample(struct page *p, const char *line)
{
    const char *value = strrchr(line, ' ');
    char *end = NULL;

    p->samples++;
    if (!belongs(p, line) || value == NULL) {
        p->wrong++;
        return;
    }
    (void)strtod(value + 1, &end);
    p->wrong += *end != '\0' ? 1 : 0;
}

static void
read_line(struct page *p, const char *line)
{
    char name[128];
    char rest[128];

    if (sscanf(line, "# HELP %127s %127s", name, rest) == 2) {
        (void)snprintf(p->name, sizeof(p->name), "%s", name);
        p->type[0] = '\0';
    }
    else if (sscanf(line, "# TYPE %127s %15s", name, p->type) == 2) {
        p->wrong += strcmp(p->name, name) != 0;
    }
    else {
        p->wrong += p->type[0] == '\0' ? 1 : 0;
        read_sample(p, line);
    }
}

static struct page
read_page(char *text)
{
    struct page p = {0};
    char *save = NULL;

    for (char *line = strtok_r(text, "\n", &save); line != NULL;
         line = strtok_r(NULL, "\n", &save)) {
        int wrong = p.wrong;

        read_line(&p, line);
        if (p.wrong != wrong) {
            (void)fprintf(stderr, "metrics: %s\n", line);
        }
    }
    return p;
}

static void
metrics_page_is_well_formed(void)
{
    struct vlease_options o = vlease_options_default();
    struct vlease *v;
    struct page p;
    char *text = NULL;
    size_t size;
    FILE *out = open_memstream(&text, &size);

    o.queues[0].per_s = 40;
    v = vlease_new(&o);
    vlease_run(v, 6 * USEC_PER_SEC);
    vlease_load(v, 1);
    vlease_run(v, 9 * USEC_PER_SEC);
    broker_metrics_print(out, vlease_broker(v, 0));
    stats_print(out);
    (void)fclose(out);
    CU_ASSERT_PTR_NOT_NULL(
        strstr(text, "boragemoor_broker_request_seconds_bucket{outcome="
                     "\"completed\",le=\"0.2\"} "));
    p = read_page(text);
    CU_ASSERT_EQUAL(p.wrong, 0);
    CU_ASSERT_TRUE(p.samples > 100);
    free(text);
    vlease_free(v);
}

static void
histogram_counts_once(void)
{
    struct histogram h = {0};

    histogram_add(&h, -5);
    histogram_add(&h, 500);
    histogram_add(&h, 501);
    histogram_add(&h, 100 * USEC_PER_SEC);
    CU_ASSERT_EQUAL(histogram_count(&h), 4);
    CU_ASSERT_EQUAL(h.buckets[HISTOGRAM_TO_500], 2);
    CU_ASSERT_EQUAL(h.buckets[HISTOGRAM_TO_1000], 1);
    CU_ASSERT_EQUAL(h.buckets[HISTOGRAM_BOUNDS], 1);
    CU_ASSERT_EQUAL(h.sum_us, 500 + 501 + 100 * USEC_PER_SEC);
}

void
suite_log(void)
{
#define TEST(name) check_add("log", #name, name)
    TEST(reader_that_hangs_holds_nobody_up);
    TEST(successes_crowd_out_no_failure);
    TEST(metrics_page_is_well_formed);
    TEST(histogram_counts_once);
#undef TEST
}
