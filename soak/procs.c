#include "procs.h"

#include <dirent.h>
#include <errno.h>
#include <fcntl.h>
#include <limits.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <sys/prctl.h>
#include <sys/wait.h>
#include <unistd.h>

enum { LOG_MODE = 0644, EXIT_NO_PROGRAM = 127 };

static void
become(const struct proc *p, pid_t parent)
{
    char *argv[] = {(char *)p->program, NULL};
    int out = open(p->log, O_WRONLY | O_CREAT | O_APPEND, LOG_MODE);

    (void)prctl(PR_SET_PDEATHSIG, SIGKILL);
    if (getppid() != parent) { /* it ended before that */
        _exit(EXIT_NO_PROGRAM);
    }
    (void)dup2(out, STDOUT_FILENO);
    (void)dup2(out, STDERR_FILENO);
    /* Else a connection that is closed here stays open there. */
    (void)close_range(STDERR_FILENO + 1, UINT_MAX, 0);
    (void)setenv("BORAGEMOOR_NODE_FILE", p->settings, 1);
    (void)execv(p->program, argv);
    _exit(EXIT_NO_PROGRAM);
}

bool
proc_start(struct proc *p)
{
    pid_t parent = getpid();
    pid_t pid = fork();

    if (pid == 0) {
        become(p, parent);
    }
    if (pid < 0) {
        return false;
    }
    p->pid = pid;
    p->incarnation++;
    p->resume_us = 0;
    p->stop_us = 0;
    p->killed = false;
    return true;
}

void
proc_signal(const struct proc *p, int signal)
{
    if (p->pid > 0) {
        (void)kill(p->pid, signal);
    }
}

void
proc_kill(struct proc *p, int64_t again_us)
{
    p->killed = p->killed || p->pid > 0;
    p->start_us = again_us;
    proc_signal(p, SIGKILL);
}

void
proc_stop(struct proc *p, int64_t now_us)
{
    if (p->pid > 0 && p->stop_us == 0) {
        p->stop_us = now_us;
        p->start_us = now_us;
        proc_signal(p, SIGTERM);
    }
}

void
proc_pause(struct proc *p, int64_t until_us)
{
    if (p->pid > 0) {
        p->resume_us = until_us > p->resume_us ? until_us : p->resume_us;
        proc_signal(p, SIGSTOP);
    }
}

struct proc_end
proc_run(struct proc *p, int64_t now_us)
{
    struct proc_end end = {0};

    if (p->pid == 0) {
        if (now_us >= p->start_us) {
            (void)proc_start(p);
        }
        return end;
    }
    if (p->resume_us != 0 && now_us >= p->resume_us) {
        p->resume_us = 0;
        proc_signal(p, SIGCONT);
    }
    if (waitpid(p->pid, &end.status, WNOHANG) != p->pid) {
        return end;
    }
    end.ended = true;
    end.by_self = !p->killed && p->stop_us == 0;
    p->pid = 0;
    p->start_us = p->start_us > now_us ? p->start_us : now_us;
    return end;
}

/* A line of its status in kB; 0 where it is down. */
static long
read_status(const struct proc *p, const char *key)
{
    char path[PROC_PATH];
    char line[PROC_PATH];
    long kb = 0;
    FILE *f;

    (void)snprintf(path, sizeof(path), "/proc/%d/status", (int)p->pid);
    f = p->pid > 0 ? fopen(path, "re") : NULL;
    if (f == NULL) {
        return 0;
    }
    while (fgets(line, sizeof(line), f) != NULL) {
        if (strncmp(line, key, strlen(key)) == 0) {
            kb = strtol(line + strlen(key), NULL, 10);
        }
    }
    (void)fclose(f);
    return kb;
}

long
proc_memory_kb(const struct proc *p)
{
    return read_status(p, "VmRSS:");
}

long
proc_peak_memory_kb(const struct proc *p)
{
    return read_status(p, "VmHWM:");
}

int
proc_fds(const struct proc *p)
{
    char path[PROC_PATH];
    int n = 0;
    DIR *d;

    (void)snprintf(path, sizeof(path), "/proc/%d/fd", (int)p->pid);
    d = p->pid > 0 ? opendir(path) : NULL;
    if (d == NULL) {
        return 0;
    }
    while (readdir(d) != NULL) {
        n++;
    }
    (void)closedir(d);
    return n - 2;
}
