/*
 * A small deployment on loopback for the cases of the second review: it starts
 * the programs of deploy/system.toml as processes, and plays workers, clients
 * and the operator as the users' pages describe them.  One thread, one loop.
 */
#ifndef REVIEW_LAB_H
#define REVIEW_LAB_H

#include <jansson.h>
#include <stdbool.h>
#include <stdint.h>
#include <stdio.h>
#include <sys/types.h>

enum {
    LAB_CONTROLS = 3,
    LAB_BROKERS = 7, /* three in the first zone, two in each of the others */
    LAB_WORKERS_MAX = 48,
    LAB_RUNS_MAX = 20000,
    LAB_CALLS_MAX = 4000,
    LAB_HEARTBEAT_MS = 1500,
    LAB_MAX_HOLD_MS = 1000,
    LAB_STOP_MS = 30, /* at most 50 on the pages */
    LAB_RESEND_MS = 1300,
};

/* A run on a worker, from its start to its end. */
struct lab_run {
    int worker;
    char task[80];
    char spec[64];
    long run;
    int life;      /* of the worker */
    char kind[8];  /* of the worker in that life */
    int64_t begun; /* milliseconds since the lab began */
    int64_t due;
    int64_t whole;
    int64_t stop_at; /* 0: not being stopped */
    int64_t ended;   /* 0: at work */
    long number;
    const char *how;
};

struct lab_worker {
    char id[32];
    char ip[32];
    char kind[8];
    char rack[16];
    int zone;
    int listener;
    bool up;
    int life;
    int64_t born_ms; /* Unix time */
    int64_t born;    /* milliseconds since the lab began */
    int64_t next_beat;
    int beat_tries;
    int control; /* that it reports to */
    long sequence;
    long fence;
    long last_number;
    long noted;
    int64_t deadline; /* on its own clock */
    int first_run;    /* of this life */
    int held_conn;    /* index of the connection whose hold waits; -1: none */
    int64_t held_until;
    bool draining;
    int64_t restart_at; /* 0: none is due */
    bool dark;          /* down, and silent: its connections stay open */
    char next_kind[8];
};

/* A call of a client, the operator or a worker. */
struct lab_call {
    int fd;
    char label[48];
    char *out;
    size_t out_size;
    size_t out_done;
    char in[8192];
    size_t in_size;
    int64_t sent;
    int64_t done;    /* 0: in progress */
    int64_t timeout; /* 0: none */
    int status;      /* 0: no answer */
    char *body;
    int worker;            /* whose heartbeat it is; -1: nobody's */
    bool reset_after_send; /* a proxy resets it once the request was sent */
};

extern FILE *lab_record;
extern bool lab_trouble;
extern struct lab_worker lab_workers[LAB_WORKERS_MAX];
extern int lab_n_workers;
extern struct lab_run lab_runs[LAB_RUNS_MAX];
extern int lab_n_runs;

/* Of one task, in thousandths of a core: 14000, if not set. */
extern int lab_task_milli;
/* Share of the starts and stops that get no answer, and are carried out
 * lab_late_from to lab_late_to ms later, by whatever life is up then. */
extern double lab_late_share;
extern int lab_late_from;
extern int lab_late_to;
extern int lab_late_orders;
extern int lab_orders;

int64_t lab_now(void);
void lab_note(const char *format, ...) __attribute__((format(printf, 1, 2)));
/* Exits with 2: the case couldn't run. */
void lab_give_up(const char *why) __attribute__((noreturn));

/* Starts controls, brokers and @workers_per_zone workers in each zone, hands
 * the configuration in, and waits until every broker is ready. */
void lab_start(const char *folder, int workers_per_zone);
void lab_add_worker(int zone, const char *kind, const char *rack);
void lab_run_until(int64_t at);
void lab_run_for(int64_t ms);

/* Calls; @broker 0 to LAB_BROKERS - 1.  The index of the call is returned. */
int lab_post(int broker, const char *id, const char *body, int timeout_ms);
int lab_delete(int broker, const char *id, bool reset_after_send);
struct lab_call *lab_call_at(int call);
/* Runs the loop until the call has ended, or until @at. */
bool lab_await(int call, int64_t at);

void lab_signal_broker(int broker, int number);
/* The platform starts a broker again once it has ended. */
void lab_restart_broker_when_ended(int broker, int64_t after_ms);

/* A crash of a worker; it starts again under its id after @after_ms, as @kind.
 * A dark one is silent until then, as after a loss of power: nothing is read,
 * answered or reset. */
void lab_crash_worker(int worker, int64_t after_ms, const char *kind,
                      bool dark);

/* Writes all runs to the record. */
void lab_write_runs(void);
/* Ends all processes, and this one. */
void lab_end(int code) __attribute__((noreturn));

#endif
