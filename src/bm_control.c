/*
 * bm-control: a control member.  Exit codes: 0 after a planned stop (or after
 * --check, --found or --recover), 1 when it can't start, 2 for a mistake on
 * the command line, 3 for one in the settings, 4 when the disk failed while it
 * ran.
 */
#include <popt.h>
#include <pthread.h>
#include <signal.h>
#include <stdlib.h>
#include <time.h>

#include "control_settings.h"
#include "log.h"

enum {
    EXIT_USAGE = 2,
    EXIT_SETTINGS = 3,
    EXIT_DISK = 4,
    LOOK_MS = 50, /* between looks at the runtime */
};

struct arguments {
    int version;
    int check;
    int settings;
    int found;
    int recover;
    const char *file;
};

/* Every thread inherits the mask; the main thread takes them one by one. */
static sigset_t
block_signals(void)
{
    sigset_t set;

    (void)sigemptyset(&set);
    (void)sigaddset(&set, SIGTERM);
    (void)sigaddset(&set, SIGINT);
    (void)sigaddset(&set, SIGUSR1);
    (void)pthread_sigmask(SIG_BLOCK, &set, NULL);
    (void)signal(SIGPIPE, SIG_IGN);
    (void)signal(SIGXFSZ, SIG_IGN); /* a limit reads as a full disk */
    return set;
}

/* Until there is a signal to stop, or the disk failed. */
static void
serve(struct control_runtime *r, const sigset_t *set)
{
    const struct timespec look = {.tv_nsec = LOOK_MS * 1000000L};

    while (!control_runtime_failed(r)) {
        int number = sigtimedwait(set, NULL, &look);

        if (number == SIGUSR1) {
            control_runtime_dump(r);
        }
        else if (number > 0) {
            return;
        }
    }
}

static void
stop(struct control_runtime *r, const sigset_t *set)
{
    const struct timespec look = {.tv_nsec = LOOK_MS * 1000000L};

    control_runtime_stop(r);
    while (!control_runtime_stopped(r) && !control_runtime_failed(r)) {
        if (sigtimedwait(set, NULL, &look) == SIGUSR1) {
            control_runtime_dump(r);
        }
    }
}

static int
run(struct control_settings *s)
{
    struct control_runtime_options *o = &s->runtime;
    sigset_t set = block_signals();
    struct control_runtime *r;
    bool failed;

    o->peers.incarnation = (uint64_t)clock_now(o->clock).wall_us;
    o->control.seed = o->peers.incarnation ^ key_id_of(o->control.self.s).lo;
    o->http.auth = opauth_new(&s->operators, s->auth_window_us);
    r = control_runtime_new(o);
    if (r == NULL) {
        opauth_free(o->http.auth);
        return EXIT_FAILURE;
    }
    log_event(LOG_NOTICE, "serving", o->http.listen.s, "version %s",
              BM_VERSION);
    serve(r, &set);
    stop(r, &set);
    failed = control_runtime_failed(r);
    control_runtime_free(r);
    opauth_free(o->http.auth);
    log_event(LOG_NOTICE, "stopped", NULL, "%s",
              failed ? "the disk failed" : "nothing was in progress");
    return failed ? EXIT_DISK : EXIT_SUCCESS;
}

static int
recover(struct control_settings *s)
{
    for (size_t i = 0; i < s->founding.n_members; i++) {
        const struct rec_control_member *m = &s->founding.members[i];

        if (name_equal(m->name, s->runtime.control.self)) {
            return control_runtime_recover(&s->runtime, m) ? EXIT_SUCCESS
                                                           : EXIT_FAILURE;
        }
    }
    return EXIT_FAILURE;
}

static int
read_and_run(const struct arguments *a)
{
    struct control_settings *s = control_settings_read(a->file, stderr);
    int code = EXIT_SUCCESS;

    if (s == NULL) {
        return EXIT_SETTINGS;
    }
    s->runtime.clock = clock_real();
    log_setup(s->runtime.control.self.s, s->log_level, s->runtime.clock);
    if (a->check) {
        (void)printf("%s: right\n", a->file);
    }
    else if (a->found) {
        code = control_runtime_found(&s->runtime, &s->founding) ? EXIT_SUCCESS
                                                                : EXIT_FAILURE;
    }
    else if (a->recover) {
        code = recover(s);
    }
    else {
        code = run(s);
    }
    control_settings_free(s);
    return code;
}

static int
act(const struct arguments *a, poptContext popt)
{
    if (a->version) {
        (void)printf("bm-control %s\n", BM_VERSION);
        return EXIT_SUCCESS;
    }
    if (a->settings) {
        control_settings_help(stdout);
        return EXIT_SUCCESS;
    }
    if (a->file == NULL || poptPeekArg(popt) != NULL || !opsign_setup()) {
        poptPrintUsage(popt, stderr, 0);
        return EXIT_USAGE;
    }
    return read_and_run(a);
}

int
main(int argc, char **argv)
{
    struct arguments a = {0};
    const struct poptOption options[] = {
        {"version", 'V', POPT_ARG_NONE, &a.version, 0, "print the version",
         NULL},
        {"check", 'c', POPT_ARG_NONE, &a.check, 0,
         "only say whether FILE is right", NULL},
        {"settings", 0, POPT_ARG_NONE, &a.settings, 0,
         "list every key of FILE with its range and default", NULL},
        {"found", 0, POPT_ARG_NONE, &a.found, 0,
         "make the empty data folder that of a founding member, and end; once "
         "in the life of a region",
         NULL},
        {"recover", 0, POPT_ARG_NONE, &a.recover, 0,
         "a majority lost its data folders for good: make this member, with "
         "what its own holds, the only one, and end",
         NULL},
        POPT_AUTOHELP POPT_TABLEEND};
    poptContext popt =
        poptGetContext("bm-control", argc, (const char **)argv, options, 0);
    int code = EXIT_USAGE;
    int rc;

    poptSetOtherOptionHelp(popt, "[--check] [--found] [--recover] FILE");
    rc = poptGetNextOpt(popt);
    if (rc < -1) {
        (void)fprintf(stderr, "bm-control: %s: %s\n",
                      poptBadOption(popt, POPT_BADOPTION_NOALIAS),
                      poptStrerror(rc));
    }
    else {
        a.file = poptGetArg(popt);
        code = act(&a, popt);
    }
    poptFreeContext(popt);
    return code;
}
