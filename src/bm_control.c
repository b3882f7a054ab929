/*
 * bm-control: a control member.  Exit codes: 0 after a planned stop (or after
 * --check, --found or --recover), 1 when it can't start, 2 for a mistake on
 * the command line, 3 for one in the settings, 4 when the disk failed while it
 * ran.
 */
#include <signal.h>
#include <stdlib.h>

#include "control_settings.h"
#include "daemon.h"
#include "log.h"

enum {
    EXIT_DISK = 4,
    LOOK_MS = 50, /* between looks at the runtime */
};

struct arguments {
    struct daemon_arguments common;
    int found;
    int recover;
};

static void
dump(void *user)
{
    control_runtime_dump(user);
}

static bool
failed(void *user)
{
    return control_runtime_failed(user);
}

static bool
stopped(void *user)
{
    return control_runtime_stopped(user) || control_runtime_failed(user);
}

/* Until there was a signal to stop and it has, or the disk failed. */
static void
serve(struct control_runtime *r)
{
    struct daemon_wait w = {
        .dump = dump, .over = failed, .user = r, .look_ms = LOOK_MS};

    daemon_wait(&w);
    control_runtime_stop(r);
    w.over = stopped;
    w.stopping = true;
    daemon_wait(&w);
}

static int
run(struct control_settings *s)
{
    struct control_runtime_options *o = &s->runtime;
    struct control_runtime *r;
    bool lost;

    (void)signal(SIGXFSZ, SIG_IGN); /* a limit reads as a full disk */
    o->peers.incarnation = (uint64_t)clock_now(o->clock).wall_us;
    o->control.seed = o->peers.incarnation ^ key_id_of(o->control.self.s).lo;
    daemon_start_logging(NULL, o->peers.incarnation);
    o->http.auth = opauth_new(&s->operators, s->auth_window_us);
    r = control_runtime_new(o);
    if (r == NULL) {
        opauth_free(o->http.auth);
        return EXIT_FAILURE;
    }
    log_event(LOG_NOTICE, "serving", o->http.listen.s, "version %s",
              BM_VERSION);
    serve(r);
    lost = control_runtime_failed(r);
    control_runtime_free(r);
    opauth_free(o->http.auth);
    log_event(LOG_NOTICE, "stopped", NULL, "%s",
              lost ? "the disk failed" : "nothing was in progress");
    daemon_stop_logging();
    return lost ? EXIT_DISK : EXIT_SUCCESS;
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
read_and_run(void *user)
{
    const struct arguments *a = user;
    struct control_settings *s;
    int code = EXIT_SUCCESS;

    if (!opsign_setup()) {
        return EXIT_FAILURE;
    }
    s = control_settings_read(a->common.file, stderr);
    if (s == NULL) {
        return DAEMON_EXIT_SETTINGS;
    }
    s->runtime.clock = clock_real();
    log_setup(s->runtime.control.self.s, s->log_level, s->runtime.clock);
    if (a->common.check) {
        (void)printf("%s: right\n", a->common.file);
    }
    else if (a->found) {
        code = control_runtime_bootstrap(&s->runtime, &s->founding)
                   ? EXIT_SUCCESS
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

int
main(int argc, char **argv)
{
    struct arguments a = {0};
    const struct poptOption options[] = {
        DAEMON_OPTIONS(&a.common),
        {"found", 0, POPT_ARG_NONE, &a.found, 0,
         "make the empty data folder that of a founding member, and end; once "
         "in the life of a region",
         NULL},
        {"recover", 0, POPT_ARG_NONE, &a.recover, 0,
         "a majority lost its data folders for good: make this member, with "
         "what its own holds, the only one, and end",
         NULL},
        POPT_AUTOHELP POPT_TABLEEND};
    const struct daemon_program program = {
        .name = "bm-control",
        .usage = "[--check] [--found] [--recover] FILE",
        .options = options,
        .help = control_settings_help,
        .run = read_and_run,
        .user = &a};

    return daemon_main(&program, &a.common, argc, argv);
}
