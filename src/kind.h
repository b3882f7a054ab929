/**
 * DOC: kind - the enumerations of the domain, each listed once
 */
#ifndef BM_KIND_H
#define BM_KIND_H

/* What must always hold: PROMISE(NAME, how it is broken).  The fault matrix
 * judges it from outside. */
/* clang-format off */
#define PROMISE_LIST(PROMISE)                                                 \
    PROMISE(START_ONCE, "a task started twice")                               \
    PROMISE(WHOLE, "an answer was partial")                                   \
    PROMISE(OWN_ANSWER, "a caller did not get its own one answer")            \
    PROMISE(NOT_RUN, "a task told as not run had started")                    \
    PROMISE(NON_IDEMPOTENT, "a non-idempotent task started twice")            \
    PROMISE(LEAVING, "a leaving upstream got new work")                       \
    PROMISE(STOP, "a planned stop cut off a request")                         \
    PROMISE(CONFIG, "a configuration reverted or did not come into force")
/* clang-format on */

enum promise {
#define PROMISE(NAME, text) PROMISE_##NAME,
    PROMISE_LIST(PROMISE)
#undef PROMISE
        PROMISES,
};

/* Wrong decisions that prove the fault matrix: MUTANT_KIND(NAME, the promise
 * it breaks, what is decided).  Builds with BM_MUTANTS can make them. */
/* clang-format off */
#define MUTANT_LIST(MUTANT_KIND)                                              \
    MUTANT_KIND(RESTART_LOST, START_ONCE, "start again what went silent")     \
    MUTANT_KIND(VOTE_AT_ONCE, START_ONCE, "vote with claims forgotten")       \
    MUTANT_KIND(ANSWER_EARLY, WHOLE, "answer with the first outcome")         \
    MUTANT_KIND(MIX_RESULTS, OWN_ANSWER, "mix the results of a job's tasks")  \
    MUTANT_KIND(FIRST_WAITER, OWN_ANSWER, "answer one of those who wait")     \
    MUTANT_KIND(SENT_NOT_RUN, NOT_RUN, "tell sent tasks as not run")          \
    MUTANT_KIND(UNCLAIMED_NOT_RUN, NOT_RUN, "tell unclaimed jobs as not run") \
    MUTANT_KIND(RENAMED_NOT_RUN, NON_IDEMPOTENT, "start again after a restart") \
    MUTANT_KIND(STAY, LEAVING, "go on with what is leaving")                  \
    MUTANT_KIND(STOP_AT_ONCE, STOP, "stop with jobs in progress")             \
    MUTANT_KIND(ANY_VERSION, CONFIG, "apply what is not newer")               \
    MUTANT_KIND(ACK_BEFORE_SYNC, CONFIG, "accept what is not durable")        \
    MUTANT_KIND(FORGET_REQUESTS, CONFIG, "take a resend for a new request")
/* clang-format on */

enum mutant {
#define MUTANT_KIND(NAME, promise, text) MUTANT_##NAME,
    MUTANT_LIST(MUTANT_KIND)
#undef MUTANT_KIND
        MUTANTS,
};

/** enum claim_purpose - what a claimed key stands for */
enum claim_purpose { CLAIM_RUN, CLAIM_CANCEL };

/** enum claim_verdict - a voter's reply */
enum claim_verdict {
    CLAIM_GRANTED,    /* recorded for the asker */
    CLAIM_TAKEN,      /* recorded for another claimer, named in the reply */
    CLAIM_NOT_VOTING, /* restarted empty and cannot know yet */
    CLAIM_TOO_OLD,    /* the key's window is over */
    CLAIM_NONE,       /* find only: nothing recorded */
};

/** enum task_state - what is known of a task, as told to callers */
enum task_state {
    TASK_NOT_RUN, /* a fact: it was not started and never will be */
    TASK_RAN,     /* started exactly once */
    TASK_UNKNOWN, /* started at most once */
};

/** enum job_status - of a job as told to callers */
enum job_status { JOB_RUNNING, JOB_COMPLETE, JOB_FAILED };

/** enum wait_outcome - the claimer's reply to a waiting instance */
enum wait_outcome {
    WAIT_ANSWER,    /* the whole answer follows */
    WAIT_RUNNING,   /* peek only: still running */
    WAIT_CONFLICT,  /* the key was claimed with another body */
    WAIT_RELEASED,  /* the claimer gave up before any start */
    WAIT_FORGOTTEN, /* it ended; its answer is no longer kept */
    WAIT_LOST,      /* claimed by an earlier incarnation, which is gone */
};

/** enum start_outcome - what became of a start sent to an upstream */
enum start_outcome {
    START_DONE,       /* ran; the result is known */
    START_REFUSED,    /* the upstream says: not started */
    START_STALE,      /* refused: epoch or incarnation is not current */
    START_NO_CONNECT, /* connection refused: nothing was sent */
    START_LOST,       /* sent, then reset or silent: not known */
};

/** enum revoke_outcome - the upstream's answer when asked for a task */
enum revoke_outcome {
    REVOKE_NEVER, /* not started, and never will be */
    REVOKE_RUNNING,
    REVOKE_DONE,       /* ended; the result is in the answer */
    REVOKE_OTHER_LIFE, /* another incarnation answers: it cannot know */
    REVOKE_UNREACHABLE,
};

/** enum fence_outcome - the upstream's answer to a new holder */
enum fence_outcome {
    FENCE_OK,
    FENCE_STALE, /* it has seen a higher epoch, given in the event */
    FENCE_OTHER_LIFE,
    FENCE_UNREACHABLE,
};

/* Why something was decided: REASON(NAME, text).  The text goes into logs
 * and into the reason of an answer. */
/* clang-format off */
#define REASON_LIST(REASON)                                                   \
    REASON(NONE, "none")                                                      \
    REASON(COMPLETED, "completed")                                            \
    REASON(TASK_FAILED, "task-failed")                                        \
    REASON(CANCELLED, "cancelled")                                            \
    REASON(DEADLINE, "deadline-passed")                                       \
    REASON(DEADLINE_HOPELESS, "deadline-cannot-be-met")                       \
    REASON(QUEUE_FULL, "queue-full")                                          \
    REASON(QUOTA, "team-quota")                                               \
    REASON(NEVER_FITS, "never-fits")                                          \
    REASON(NO_UPSTREAMS, "no-upstreams")                                      \
    REASON(RETRIES_SPENT, "retries-spent")                                    \
    REASON(STOPPING, "stopping")                                              \
    REASON(CLAIM_UNAVAILABLE, "claim-unavailable")                            \
    REASON(CLAIM_WON, "claim-won")                                            \
    REASON(CLAIM_ELSEWHERE, "claimed-elsewhere")                              \
    REASON(CLAIM_YIELDED, "claim-yielded")                                    \
    REASON(CLAIMER_LOST, "claimer-lost")                                      \
    REASON(CLAIMER_RELEASED, "claimer-released")                              \
    REASON(ANSWER_FORGOTTEN, "answer-forgotten")                              \
    REASON(KEY_TOO_OLD, "key-too-old")                                        \
    REASON(KEY_CONFLICT, "key-conflict")                                      \
    REASON(OUTCOME_LATE, "outcome-late")                                      \
    REASON(OUTCOME_LOST, "outcome-lost")                                      \
    REASON(START_REFUSED, "start-refused")                                    \
    REASON(START_STALE, "start-stale-epoch")                                  \
    REASON(START_NO_CONNECT, "start-no-connect")                              \
    REASON(STARTED, "started")                                                \
    REASON(QUEUED, "queued")                                                  \
    REASON(REVOKED, "revoked-before-start")                                   \
    REASON(SILENT, "connection-silent")                                       \
    REASON(QUARANTINED, "upstream-quarantined")                               \
    REASON(QUARANTINE_CAP, "quarantine-cap")                                  \
    REASON(PROBED, "upstream-probed")                                         \
    REASON(RESTORED, "upstream-restored")                                     \
    REASON(ANNOUNCED, "upstream-announced")                                   \
    REASON(LEAVING, "upstream-leaving")                                       \
    REASON(EXPIRED, "upstream-expired")                                       \
    REASON(REPLACED, "upstream-new-incarnation")                              \
    REASON(HOLDER_TAKEN, "holder-taken")                                      \
    REASON(HOLDER_LOST, "holder-lost")                                        \
    REASON(SLOTS_GRANTED, "slots-granted")                                    \
    REASON(SLOTS_RETURNED, "slots-returned")                                  \
    REASON(MEMBER_UP, "member-up")                                            \
    REASON(MEMBER_DOWN, "member-down")                                        \
    REASON(MEMBER_RESTARTED, "member-restarted")                              \
    REASON(PAUSED, "process-was-paused")                                      \
    REASON(SYNCED, "claims-synced")                                           \
    REASON(CONFIG_APPLIED, "config-applied")                                  \
    REASON(CONFIG_IGNORED, "config-not-newer")                                \
    REASON(EVACUATION_KNOWN, "evacuated-zones")                               \
    REASON(BAD_MESSAGE, "bad-message")

enum reason {
#define REASON(NAME, text) REASON_##NAME,
    REASON_LIST(REASON)
#undef REASON
    REASONS,
};
/* clang-format on */

/** reason_text() - the reason as it stands in logs and answers */
const char *reason_text(enum reason r);

/* Refusals towards HTTP clients: PROBLEM(NAME, status, slug, title). */
/* clang-format off */
#define PROBLEM_LIST(PROBLEM)                                                 \
    PROBLEM(NOT_JSON, 400, "not-json", "The body is not JSON")                \
    PROBLEM(BAD_JOB, 422, "bad-job", "The job is not valid")                  \
    PROBLEM(BAD_KEY, 400, "bad-key", "Idempotency-Key missing or malformed")  \
    PROBLEM(UNKNOWN_SERVICE, 404, "unknown-service", "No such service")       \
    PROBLEM(UNKNOWN_JOB, 404, "unknown-job", "Nothing is known of this key")  \
    PROBLEM(NOT_FOUND, 404, "not-found", "No such resource")                  \
    PROBLEM(METHOD, 405, "method-not-allowed", "Method not allowed")          \
    PROBLEM(SLOW_BODY, 408, "slow-body", "The body came too slowly")          \
    PROBLEM(CONFLICT, 422, "key-conflict", "Key used with another body")      \
    PROBLEM(KEY_TOO_OLD, 410, "key-too-old", "The key's window is over")      \
    PROBLEM(FORGOTTEN, 410, "answer-forgotten", "The answer is not kept")     \
    PROBLEM(TOO_LARGE, 413, "too-large", "The body is too large")             \
    PROBLEM(NEVER_FITS, 422, "never-fits", "No upstream can ever run this")   \
    PROBLEM(BAD_ANNOUNCE, 422, "bad-announcement", "Not a valid upstream")    \
    PROBLEM(STALE_LIFE, 409, "stale-incarnation", "A newer one is known")     \
    PROBLEM(QUOTA, 429, "team-quota", "The team's quota is used up")          \
    PROBLEM(OVERLOADED, 503, "overloaded", "It cannot be done in time")       \
    PROBLEM(NO_UPSTREAMS, 503, "no-upstreams", "No upstream is available")    \
    PROBLEM(STOPPING, 503, "stopping", "This instance is stopping")           \
    PROBLEM(NO_CLAIM, 503, "claim-unavailable", "The key cannot be claimed")  \
    PROBLEM(NO_CONFIG, 503, "no-configuration", "No configuration yet")       \
    PROBLEM(CLAIMER_LOST, 503, "claimer-lost", "The job's runner is gone")    \
    PROBLEM(INTERNAL, 500, "internal", "Out of memory")

enum problem {
#define PROBLEM(NAME, status, slug, title) PROBLEM_##NAME,
    PROBLEM_LIST(PROBLEM)
#undef PROBLEM
    PROBLEMS,
};
/* clang-format on */

/** problem_status() - the HTTP status of a problem */
int problem_status(enum problem p);

/** problem_slug() - the last part of the problem's type URI */
const char *problem_slug(enum problem p);

/** problem_title() - one line for people */
const char *problem_title(enum problem p);

#endif
