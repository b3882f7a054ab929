/**
 * DOC: region - workers, an operator and clients of the users' platform
 *
 * They speak to running programs, and judge them by what they saw themselves:
 * the workers' records of runs, the clients' answers, the operator's reads.
 * One thread; region_round() does what is due.
 */
#ifndef BM_REGION_H
#define BM_REGION_H

#include <curl/curl.h>

#include "fakeworker.h"

enum {
    REGION_WORKERS_MAX = 32,
    REGION_ADDRESSES_MAX = 128,
    REGION_URL_ROOM = 192,
    REGION_TASKS_MAX = 8,
    REGION_TRIES_MAX = 6,
    REGION_OK = 200,
    REGION_NOT_TAKEN = 503,
    REGION_NO_QUEUE = 404,
};

enum region_call_kind {
    REGION_BEAT,
    REGION_PUT,
    REGION_GET,
    REGION_JOB,
    REGION_PROBE,
    REGION_EVACUATE, /* its number: 1 for the begin, 0 for the end */
};

/** struct region_call - a request on its way */
struct region_call {
    enum region_call_kind kind;
    size_t number; /* of the worker, the job, or the version */
    size_t entry;  /* of a job or a probe */
    bool dropped;  /* its client took it for broken */
    int64_t sent_us;
    CURL *easy;
    char *body;
    char *answer;
    size_t size;
    struct curl_slist *headers;
};

/**
 * struct region_job - a job of a client
 * @due_us: next try; 0: none is planned
 * @run_ms: of each task
 * @declared_ms: what the client says of it
 * @timeout_ms: that it asks for; 0 for the usual one
 * @status: of the last answer; 0 for none
 */
struct region_job {
    int64_t due_us;
    int tries;
    int tasks;
    int run_ms;
    int declared_ms;
    int timeout_ms;
    long status;
    bool done;
    struct region_call *call; /* NULL: none is on its way */
    char state[16];
};

/** struct region_run - a run, and the number of the worker it is at */
struct region_run {
    const struct fakeworker_run *run;
    int worker;
};

/** struct region_watch - who is told what came of calls; NULL for nobody */
struct region_watch {
    void (*acked)(void *ctx, int version);
    void (*probed)(void *ctx, const struct region_call *c, CURLcode result,
                   long status);
    void (*job_ended)(void *ctx, const struct region_call *c, CURLcode result,
                      long status);
    void (*overlapped)(void *ctx, const struct region_run *earlier,
                       const struct region_run *later);
    void *ctx;
};

/**
 * struct region - all of it
 * @controls: addresses of members of control
 * @entries: addresses of brokers
 * @zones: workers are in them by turns; 0 is taken for one
 * @anywhere: a job's next try goes to any broker, not to the one after the
 *            last
 * @unseen: where callers are dropped, brokers don't see their connections end
 * @advertised: workers say that they listen so many ports higher, where
 *              something forwards to them
 * @delaying: number of a worker that carries orders out late; -1 for none
 * @filler: queues of a version besides those that jobs and probes use
 * @version: newest that was sent
 * @acked: newest that was confirmed
 * @evacuated: zone of the last evacuation; NULL for none yet
 * @evacuate: it is to begin, else to end
 * @evacuate_us: next try of that order; 0 while one is on its way
 * @evacuate_acked: the order was confirmed
 * @evacuated_us: when the begin was confirmed; 0 once the end is sent
 */
struct region {
    const char *controls[REGION_ADDRESSES_MAX];
    size_t n_controls;
    const char *entries[REGION_ADDRESSES_MAX];
    size_t n_entries;
    int n_workers;
    int zones;
    bool anywhere;
    bool unseen;
    int base_port;
    int advertised;
    int delaying;
    int filler;
    struct region_watch watch;

    CURLM *multi;
    struct fakeworker *workers[REGION_WORKERS_MAX];
    int64_t beat_us[REGION_WORKERS_MAX];
    size_t beat_at[REGION_WORKERS_MAX];
    int64_t left_us[REGION_WORKERS_MAX]; /* its leaving was acknowledged */
    struct region_job *jobs;
    int n_jobs;
    int version;
    int acked;
    char *sent_text;  /* of version */
    char *acked_text; /* of acked */
    int64_t put_us;   /* next try; 0 while one is on its way */
    size_t put_at;
    int64_t get_us; /* next regular read */
    int read;       /* highest version read */
    int reverts;    /* reads that were older than what was known before */
    bool read_right;
    const char *evacuated;
    bool evacuate;
    bool evacuate_acked;
    int64_t evacuate_us;
    int64_t evacuated_us;
};

/**
 * struct region_verdict - what became of the jobs, and broken promises
 * @again: jobs that were handed in more than once
 * @elsewhere: runs in another zone than the task's run before
 */
struct region_verdict {
    int completed;
    int failed;
    int refused;
    int unknown;
    int again;
    size_t runs;
    int elsewhere;
    int ran_twice;
    int false_answers;
    int false_refusals;
};

int64_t region_now_us(void);

/** region_split() - the parts of a list with commas, which is changed */
size_t region_split(char *list, const char *out[REGION_ADDRESSES_MAX]);

/** region_start() - false where a worker's port is taken, which is said on
 * standard error */
bool region_start(struct region *r);
void region_free(struct region *r);

/** region_round() - does what is due, and sleeps for a moment */
void region_round(struct region *r);
void region_run_until(struct region *r, int64_t until_us);

/** region_leave() - a worker says that it drains; region_return() - it starts
 * anew */
void region_leave(struct region *r, int worker);
void region_return(struct region *r, int worker);

/** region_evacuate() - the zone of the worker with that number is to be
 * evacuated, or no longer; the order is sent until it is confirmed.  One zone
 * at a time. */
void region_evacuate(struct region *r, int worker, bool begin);

/** region_publish() - one more version is sent until it is confirmed */
void region_publish(struct region *r);

/** region_publishing() - whether a version waits for its confirmation */
bool region_publishing(const struct region *r);

/** region_await_ready() - the first version is confirmed, workers are held */
void region_await_ready(struct region *r);

/** region_hand_in() - the job's next try */
void region_hand_in(struct region *r, size_t job);

/** region_drop_callers() - the connections of all jobs at a broker break */
void region_drop_callers(struct region *r, size_t entry);

/** region_zone() - name of the zone of worker or broker @i, by turns */
const char *region_zone(const struct region *r, int i);

/** region_probe() - asks a broker for the queue that @version added */
void region_probe(struct region *r, size_t entry, int version);

/** region_all_done() - whether all jobs were answered or given up */
bool region_all_done(const struct region *r);

struct region_verdict region_judge(const struct region *r);

#endif
