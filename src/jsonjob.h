/**
 * DOC: jsonjob - bodies of HTTP requests, checked and read; answers written
 *
 * Everything a caller or an upstream sends is checked here, strictly: unknown
 * members, wrong types and numbers out of range are refused with the path of
 * the member and what is allowed.  Nothing of a refused body goes further.
 */
#ifndef BM_JSONJOB_H
#define BM_JSONJOB_H

#include "job.h"
#include "wire.h"

enum {
    JSON_DEPTH_MAX = 64,            /* levels in a payload */
    JSON_RUN_MS_MAX = 24 * 3600000, /* longest declared run time */
    JSON_DEADLINE_MS_MAX = 3600000, /* longest deadline of a job */
    JSON_CPUS_MAX = 1000,           /* processors */
    JSON_SLOTS_MAX = 65536,         /* slots or connections of an upstream */
    JSON_MEMORY_MB_MAX = 16777216,  /* mebibytes */
    JSON_ACCELERATORS_MAX = 1024,
};

/** struct json_refusal - why a body is refused */
struct json_refusal {
    enum problem problem;
    char detail[DETAIL_SIZE];
};

/** jsonjob_read() - a job; NULL with @why where the body is refused.  The
 * digest is of the body's canonical form, so that member order and white
 * space make no other job of it. */
struct job_spec *jsonjob_read(const char *body, size_t size,
                              struct json_refusal *why);

/** jsonjob_read_upstream() - an announcement, all but the name; false with
 * @why where it is refused */
bool jsonjob_read_upstream(const char *body, size_t size,
                           struct rec_upstream_info *info,
                           struct json_refusal *why);

/** jsonjob_write_answer() - the answer as JSON text, to be freed; NULL when
 * memory is out */
char *jsonjob_write_answer(const char *key, const struct job_answer *a,
                           size_t *size);

/** jsonjob_write_running() - the body for a job still running */
char *jsonjob_write_running(const char *key, size_t *size);

/** jsonjob_write_problem() - problem details (RFC 9457); @started is
 * "not_run", "none_by_this_request" or NULL */
char *jsonjob_write_problem(enum problem problem, const char *detail,
                            const char *started, size_t *size);

#endif
