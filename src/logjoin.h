/**
 * DOC: logjoin - the lines of several processes as one timeline
 *
 * Reads the JSON lines of log.h.  Clocks of machines differ, so lines of one
 * process keep the order they were written in, lines of two processes are
 * ordered first by what must come before what (a job is offered before it is
 * accepted, and accepted before its caller is answered), and only then by
 * their times.
 */
#ifndef BM_LOGJOIN_H
#define BM_LOGJOIN_H

#include <jansson.h>
#include <stdbool.h>
#include <stdint.h>
#include <stdio.h>

/**
 * struct logjoin_line - one line
 * @fields: as it was written; owned by the join
 * @instance: who wrote it, "" where it says nothing
 * @incarnation: of the process, 0 where it says nothing
 * @reason: "" where it says nothing
 * @key: of the job it is about, "" for none
 * @subject: upstream, instance or client it is about, "" for none
 * @detail: "" for none
 * @at_us: the writer's clock, microseconds since 1970; 0 if unreadable
 * @seq: its place among all lines read
 */
struct logjoin_line {
    json_t *fields;
    const char *instance;
    uint64_t incarnation;
    const char *reason;
    const char *key;
    const char *subject;
    const char *detail;
    int64_t at_us;
    size_t seq;
};

/**
 * struct logjoin - lines read so far
 * @n_skipped: lines that were no records
 */
struct logjoin {
    struct logjoin_line *lines;
    size_t n;
    size_t size;
    size_t n_skipped;
};

/** logjoin_read() - adds the lines of @f; what stands before a line's first
 * brace is passed over.  Returns false where reading failed or memory ran
 * out. */
bool logjoin_read(struct logjoin *j, FILE *f);

/**
 * logjoin_explain() - the timeline of one job
 * @key: its id
 * @around_us: how long before its first and after its last line things about
 * its upstreams and instances belong to it
 * @out: gets the lines in order, not owned; free() it
 *
 * Beside the lines with its key these are: what its processes said of the
 * upstreams and instances that the job's lines name, stops and pauses of its
 * processes, and lines that those processes dropped.  Returns how many.
 */
size_t logjoin_explain(const struct logjoin *j, const char *key,
                       int64_t around_us, const struct logjoin_line ***out);

/**
 * logjoin_failed() - jobs that were not answered as completed, in the order
 * of their ends as read
 * @out: the line of each one's end, not owned; free() it
 */
size_t logjoin_failed(const struct logjoin *j,
                      const struct logjoin_line ***out);

/** logjoin_free() - frees what logjoin_read() added */
void logjoin_free(struct logjoin *j);

#endif
