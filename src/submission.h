/**
 * DOC: submission - checks a job as submitted against the configuration
 */
#ifndef BM_SUBMISSION_H
#define BM_SUBMISSION_H

#include "entry_state.h"
#include "key.h"

/** submission_key() - reads the key and checks its age; false with @p filled
 * where it cannot be used now */
bool submission_key(const struct entry *e, const char *text,
                    struct key_ref *key, struct ef_problem *p);

/** submission_check() - false with @p filled where the job is not valid */
bool submission_check(const struct entry *e, const struct job_spec *spec,
                      struct ef_problem *p);

/** submission_deadline_us() - from submission, within the service's bound and
 * a quarter of the claim window: whoever slept past the window must find the
 * job's deadline long passed */
int64_t submission_deadline_us(const struct entry *e,
                               const struct service_conf *s,
                               const struct job_spec *spec);

#endif
