/**
 * DOC: daemon - what the main files of bm-entry and bm-control share
 *
 * The command line, signals and the main thread's waiting.  SIGTERM and SIGINT
 * ask for a planned stop, SIGUSR1 for a dump of the state, SIGHUP for reading
 * the settings anew.
 */
#ifndef BM_DAEMON_H
#define BM_DAEMON_H

#include <popt.h>
#include <stdbool.h>
#include <stdint.h>
#include <stdio.h>

enum daemon_exit {
    DAEMON_EXIT_USAGE = 2,    /* a mistake on the command line */
    DAEMON_EXIT_SETTINGS = 3, /* a mistake in a file */
};

/** struct daemon_arguments - that every such program takes */
struct daemon_arguments {
    int version;
    int check;
    int settings;
    const char *file;
};

/* They go first into a program's own table of options, which ends with
 * POPT_AUTOHELP POPT_TABLEEND. */
/* clang-format off */
#define DAEMON_OPTIONS(a)                                                     \
    {"version", 'V', POPT_ARG_NONE, &(a)->version, 0, "print the version",    \
     NULL},                                                                   \
    {"check", 'c', POPT_ARG_NONE, &(a)->check, 0,                             \
     "only say whether FILE is right", NULL},                                 \
    {"settings", 0, POPT_ARG_NONE, &(a)->settings, 0,                         \
     "list every key of FILE with its range and default", NULL}
/* clang-format on */

/**
 * struct daemon_program - one of them
 * @name: "bm-entry"
 * @usage: what may stand before FILE
 * @options: table for popt
 * @help: lists every key of the settings file
 * @run: does what the arguments say and returns the exit code; FILE is given
 */
struct daemon_program {
    const char *name;
    const char *usage;
    const struct poptOption *options;
    void (*help)(FILE *out);
    int (*run)(void *user);
    void *user;
};

/** daemon_main() - reads the command line; returns the exit code */
int daemon_main(const struct daemon_program *p, struct daemon_arguments *a,
                int argc, char **argv);

/** daemon_start_logging() - blocks signals, and from now on lines go to
 * standard output through their own thread; before any other is started */
void daemon_start_logging(const char *zone, uint64_t incarnation);

/** daemon_stop_logging() - the last lines go out, if anybody reads them */
void daemon_stop_logging(void);

/** daemon_block_signals() - before any thread is started: each inherits the
 * mask, and the main thread takes signals one by one in daemon_wait() */
void daemon_block_signals(void);

/**
 * struct daemon_wait - what the main thread waits for
 * @dump: for SIGUSR1
 * @reload: for SIGHUP; NULL: it changes nothing
 * @over: looked at every @look_ms; NULL: a signal to stop alone ends it
 * @stopping: further signals to stop change nothing
 */
struct daemon_wait {
    void (*dump)(void *user);
    void (*reload)(void *user);
    bool (*over)(void *user);
    void *user;
    int64_t look_ms;
    bool stopping;
};

/** daemon_wait() - until there is a signal to stop, or @over */
void daemon_wait(const struct daemon_wait *w);

#endif
