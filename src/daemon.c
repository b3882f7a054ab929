#include "daemon.h"

#include <pthread.h>
#include <signal.h>
#include <stdlib.h>
#include <time.h>

#include "base.h"
#include "log.h"

enum { LAST_LINES_MS = 200 };

/* Command line */

static int
act(const struct daemon_program *p, const struct daemon_arguments *a,
    poptContext popt)
{
    if (a->version) {
        (void)printf("%s %s\n", p->name, BM_VERSION);
        return EXIT_SUCCESS;
    }
    if (a->settings) {
        p->help(stdout);
        return EXIT_SUCCESS;
    }
    if (a->file == NULL || poptPeekArg(popt) != NULL) {
        poptPrintUsage(popt, stderr, 0);
        return DAEMON_EXIT_USAGE;
    }
    return p->run(p->user);
}

int
daemon_main(const struct daemon_program *p, struct daemon_arguments *a,
            int argc, char **argv)
{
    poptContext popt =
        poptGetContext(p->name, argc, (const char **)argv, p->options, 0);
    int code = DAEMON_EXIT_USAGE;
    int rc;

    poptSetOtherOptionHelp(popt, p->usage);
    rc = poptGetNextOpt(popt);
    if (rc < -1) {
        (void)fprintf(stderr, "%s: %s: %s\n", p->name,
                      poptBadOption(popt, POPT_BADOPTION_NOALIAS),
                      poptStrerror(rc));
    }
    else {
        a->file = poptGetArg(popt);
        code = act(p, a, popt);
    }
    poptFreeContext(popt);
    return code;
}

/* Signals */

static sigset_t
signals(void)
{
    sigset_t set;

    (void)sigemptyset(&set);
    (void)sigaddset(&set, SIGTERM);
    (void)sigaddset(&set, SIGINT);
    (void)sigaddset(&set, SIGUSR1);
    (void)sigaddset(&set, SIGHUP);
    return set;
}

void
daemon_start_logging(const char *zone, uint64_t incarnation)
{
    struct log_options o = log_options_default();

    daemon_block_signals();
    o.zone = zone;
    o.incarnation = incarnation;
    if (!log_start(&o)) {
        log_event(LOG_WARNING, "log-without-thread", NULL,
                  "lines are written at once, and may block");
    }
}

void
daemon_stop_logging(void)
{
    log_stop(LAST_LINES_MS);
}

void
daemon_block_signals(void)
{
    sigset_t set = signals();

    (void)pthread_sigmask(SIG_BLOCK, &set, NULL);
    (void)signal(SIGPIPE, SIG_IGN);
}

void
daemon_wait(const struct daemon_wait *w)
{
    const struct timespec look = {.tv_sec = w->look_ms / 1000,
                                  .tv_nsec = w->look_ms % 1000 * 1000000};
    sigset_t set = signals();

    while (w->over == NULL || !w->over(w->user)) {
        int number = w->over == NULL ? sigwaitinfo(&set, NULL)
                                     : sigtimedwait(&set, NULL, &look);

        if (number == SIGUSR1) {
            w->dump(w->user);
        }
        else if (number == SIGHUP) {
            if (w->reload != NULL) {
                w->reload(w->user);
            }
        }
        else if (number > 0 && !w->stopping) {
            return;
        }
    }
}
