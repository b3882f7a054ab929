/**
 * DOC: jobs - a job from its submission to its answer and its forgetting
 */
#ifndef BM_JOBS_H
#define BM_JOBS_H

#include "claim.h"
#include "entry_state.h"

/** enum task_phase - where a task is on its way */
enum task_phase {
    TASK_WAITING, /* the job is not claimed or not admitted yet */
    TASK_QUEUED,  /* dispatch may place it */
    TASK_SENT,    /* a start was sent; it may have started */
    TASK_ENDED,   /* its result is known */
    TASK_GIVEN_UP,
};

struct task {
    enum task_phase phase;
    uint16_t attempts; /* starts sent */
    bool ok;
    struct resources need;
    int64_t run_us; /* expected, see estimate.h */
    struct blob *payload;
    struct blob *result;
    struct handle start; /* of dispatch.c: the start in flight */
};

enum job_phase {
    JOB_CLAIMING,
    JOB_JOINED, /* another instance runs it; we wait for its answer */
    JOB_ACTIVE, /* claimed here; tasks queued or running */
    JOB_ENDED,  /* answered; kept so that it can be asked for again */
};

struct job {
    struct key_id id; /* first: looked up by it */
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
    uint32_t n_queued; /* kept by dispatch.c */
    uint32_t n_sent;   /* kept by dispatch.c */
    uint32_t n_ended;
    int64_t work_left_us;      /* expected run time of what has not ended */
    void *queue_entry;         /* of dispatch.c */
    struct job_answer *answer; /* while kept */
    enum job_status status;
    enum reason reason;
    int64_t ended_us;
    size_t kept_bytes;           /* that the ended job and its answer take */
    struct decisions *decisions; /* of explain.c */
    struct waiter *waiters;      /* of jobs.c: callers and instances */
    struct name claimer;         /* JOB_JOINED */
    uint64_t claimer_incarnation;
    bool at_successor;     /* the claimer named is a successor that keeps its
                              answers */
    int64_t next_timer_us; /* monotonic: its next timer */
    int64_t
        claimer_lost_at_us; /* JOB_JOINED: when a claimer never met is lost */
    bool is_query; /* asks for a key without submitting; not in the map */
    bool no_wait;  /* the query wants to know, not to wait */
    bool cancel_requested; /* cancelled while the claim is not decided */
};

struct jobs *jobs_new(const struct entry *e);
void jobs_free(struct jobs *j);

struct job *jobs_by_handle(const struct entry *e, struct handle h);
struct job *jobs_by_key(const struct entry *e, struct key_id id);
struct job *jobs_next(const struct entry *e, uint32_t *at);

void jobs_submit(struct entry *e, const struct ev_submit *ev);
void jobs_get(struct entry *e, const struct ev_query *ev);
void jobs_cancel(struct entry *e, const struct ev_query *ev);
void jobs_caller_gone(struct entry *e, uint64_t request);
void jobs_mint_keys(struct entry *e, const struct ev_mint *ev);

/** jobs_on_message() - JOB_WAIT and JOB_ANSWER */
void jobs_on_message(struct entry *e, struct name from, const struct msg *m);

/** jobs_claim_result() - from claim.c */
void jobs_claim_result(struct entry *e, struct handle job,
                       const struct claim_result *r);

/** jobs_task_ended() - from dispatch.c: the task ran and its result is known;
 * takes a reference of @result.  May end the job. */
void jobs_task_ended(struct entry *e, struct job *job, uint32_t index, bool ok,
                     struct blob *result);

/** jobs_fail() - gives a job up: its answer goes out at once, queued tasks as
 * not run, sent ones as unknown */
void jobs_fail(struct entry *e, struct job *job, enum reason reason);

/** jobs_member_down() - a member died or restarted: answers awaited from its
 * earlier incarnation will not come */
void jobs_member_down(struct entry *e, struct name member);

/** jobs_config_changed() - service pointers are looked up again */
void jobs_config_changed(struct entry *e);

void jobs_tick(struct entry *e);
int64_t jobs_next_us(const struct entry *e);

/** jobs_holds_key() - whether this incarnation has the key or is asking for
 * it, so that a late grant belongs to it */
bool jobs_holds_key(const struct entry *e, struct key_id id);

/** jobs_count_active() - jobs that still owe somebody an answer */
size_t jobs_count_active(const struct entry *e);
/** jobs_answer_bytes() - memory of ended jobs whose answers are kept */
size_t jobs_answer_bytes(const struct entry *e);

#endif
