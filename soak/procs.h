/**
 * DOC: procs - the processes that a soak starts, and the signals it sends them
 *
 * Only processes that were started here are signalled, by their ids, and all
 * of them end with the soak, also when it is killed.
 */
#ifndef BM_SOAK_PROCS_H
#define BM_SOAK_PROCS_H

#include <signal.h>
#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>
#include <sys/types.h>

enum { PROC_PATH = 256 };

/**
 * struct proc - a process that is kept running
 * @program: path of its program
 * @settings: path of its settings file
 * @data: path of its data folder, where it has one
 * @log: path of the file that its output is appended to
 * @pid: 0 while it is down
 * @incarnation: rises with each start
 * @start_us: it is started then, if it is down
 * @resume_us: it is paused until then; 0: it is not
 * @stop_us: when it was asked to stop; 0: it was not
 * @killed: by the soak
 */
struct proc {
    char program[PROC_PATH];
    char settings[PROC_PATH];
    char data[PROC_PATH];
    char log[PROC_PATH];
    pid_t pid;
    int incarnation;
    int64_t start_us;
    int64_t resume_us;
    int64_t stop_us;
    bool killed;
};

/** struct proc_end - how a process ended */
struct proc_end {
    bool ended;   /* in this call */
    bool by_self; /* nobody asked it to */
    int status;   /* of waitpid() */
};

/** proc_start() - false where it can't be started */
bool proc_start(struct proc *p);

/** proc_kill() - at once; it is started again at @again_us */
void proc_kill(struct proc *p, int64_t again_us);

/** proc_stop() - as planned, by SIGTERM; it is started again once it ended */
void proc_stop(struct proc *p, int64_t now_us);

/** proc_pause() - until then */
void proc_pause(struct proc *p, int64_t until_us);

void proc_signal(const struct proc *p, int signal);

/** proc_run() - notices its end, resumes and starts it when it is time */
struct proc_end proc_run(struct proc *p, int64_t now_us);

/** proc_memory_kb() - resident; 0 where it is down */
long proc_memory_kb(const struct proc *p);

/** proc_peak_memory_kb() - largest resident size so far; 0 where it is down */
long proc_peak_memory_kb(const struct proc *p);

/** proc_fds() - open descriptors; 0 where it is down */
int proc_fds(const struct proc *p);

#endif
