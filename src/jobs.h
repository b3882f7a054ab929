/**
 * DOC: jobs - jobs from submission to answer, and until the key expires
 */
#ifndef BM_JOBS_H
#define BM_JOBS_H

#include "claim.h"
#include "entry_state.h"

/** enum task_phase - progress of a task */
enum task_phase {
    TASK_WAITING, /* the job is not claimed or not admitted yet */
    TASK_QUEUED,  /* queued by dispatch.c */
    TASK_SENT,    /* a start was sent; the task may have started */
    TASK_ENDED,   /* the result is known */
    TASK_GIVEN_UP,
};

/** struct task - one task of a job */
struct task {
    enum task_phase phase;
    uint16_t attempts; /* starts sent */
    bool ok;
    struct resources need;
    int64_t run_us; /* declared, or the service's default */
    struct blob *payload;
    struct blob *result;
    struct handle start; /* of start.c: the start in flight */
};

/** enum job_phase - progress of a job at this instance */
enum job_phase {
    JOB_CLAIMING, /* the claim of its key is not decided */
    JOB_JOINED,   /* claimed by another instance, whose answer is awaited */
    JOB_ACTIVE,   /* claimed here; tasks queued or running */
    JOB_ENDED,    /* answered; the answer is kept for later requests */
};

/** struct job - a submitted job, a cancel, or a query by key */
struct job {
    struct key_id id; /* map key; must be first */
    struct handle self;
    struct key_ref key;
    enum job_phase phase;
    enum claim_purpose purpose;
    uint64_t digest;
    const struct service_conf *service; /* into e->config; NULL if removed */
    struct name service_name;
    struct name team;
    bool idempotent;
    int64_t submitted_us; /* monotonic */
    int64_t deadline_us;  /* monotonic */
    struct task *tasks;
    uint32_t n_tasks;
    uint32_t n_queued; /* updated by dispatch.c */
    uint32_t n_sent;   /* updated by start.c */
    uint32_t n_ended;
    int64_t work_left_us;      /* sum of run_us of unfinished tasks */
    void *queue_entry;         /* of dispatch.c: struct queue_entry */
    struct job_answer *answer; /* of an ended job */
    enum job_status status;
    enum reason reason;
    int64_t ended_us;
    size_t kept_bytes;           /* memory of the ended job and its answer */
    struct decisions *decisions; /* of explain.c: logged decisions */
    struct waiter *waiters;      /* callers and instances to be answered */
    struct name claimer;         /* JOB_JOINED: instance to wait for */
    uint64_t claimer_incarnation;
    bool at_successor; /* claimer is the successor that keeps its answers */
    int64_t next_timer_us;      /* monotonic: next timer */
    int64_t claimer_lost_at_us; /* JOB_JOINED: when an unseen claimer counts as
                                   lost */
    bool is_query; /* lookup by key without a submission; not in by_key */
    bool no_wait;  /* query that does not wait for the end of the job */
    bool cancel_requested; /* a cancel was requested */
};

struct jobs *jobs_new(const struct entry *e);
void jobs_free(struct jobs *j);

/** jobs_by_handle() - the job of a handle, or NULL */
struct job *jobs_by_handle(const struct entry *e, struct handle h);

/** jobs_by_key() - the job submitted under a key, or NULL */
struct job *jobs_by_key(const struct entry *e, struct key_id id);

/** jobs_next() - iterates over all jobs; start with *@at = 0 */
struct job *jobs_next(const struct entry *e, uint32_t *at);

/* Handlers of EV_SUBMIT, EV_JOB_GET, EV_JOB_CANCEL, EV_CALLER_GONE, EV_MINT */
void jobs_submit(struct entry *e, const struct ev_submit *ev);
void jobs_query(struct entry *e, const struct ev_query *ev);
void jobs_cancel(struct entry *e, const struct ev_query *ev);
void jobs_caller_gone(struct entry *e, uint64_t request);
void jobs_mint_keys(struct entry *e, const struct ev_mint *ev);

/** jobs_on_message() - handles JOB_WAIT and JOB_ANSWER */
void jobs_on_message(struct entry *e, struct name from, const struct msg *m);

/** jobs_claim_result() - called by claim.c when an attempt for @job ends */
void jobs_claim_result(struct entry *e, struct handle job,
                       const struct claim_result *r);

/** jobs_task_ended() - a task ran and its result is known
 *
 * Takes a reference to @result.  Ends the job if no other task is open. */
void jobs_task_ended(struct entry *e, struct job *job, uint32_t index, bool ok,
                     struct blob *result);

/** jobs_fail() - ends an active job as failed: queued tasks are reported as
 * not run, sent tasks as unknown */
void jobs_fail(struct entry *e, struct job *job, enum reason reason);

/** jobs_member_down() - @member went down or restarted, so the answers awaited
 * from its earlier incarnation are lost */
void jobs_member_down(struct entry *e, struct name member);

/** jobs_config_changed() - updates the service pointers of all jobs */
void jobs_config_changed(struct entry *e);

void jobs_tick(struct entry *e);
int64_t jobs_next_us(const struct entry *e);

/** jobs_holds_key() - whether this incarnation has claimed the key or is
 * claiming it, so that a late grant belongs to it */
bool jobs_holds_key(const struct entry *e, struct key_id id);

/** jobs_count_active() - number of jobs that have not ended */
size_t jobs_count_active(const struct entry *e);

/** jobs_answer_bytes() - memory of ended jobs whose answers are kept */
size_t jobs_answer_bytes(const struct entry *e);

#endif
