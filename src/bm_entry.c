/*
 * bm-entry: an entry instance.  Exit codes: 0 after a planned stop (or a file
 * that --check finds right), 1 when it can't start, 2 for a mistake on the
 * command line, 3 for a mistake in the settings or the service files.
 */
#include <popt.h>
#include <signal.h>
#include <stdio.h>
#include <stdlib.h>
#include <time.h>

#include "entry_settings.h"
#include "log.h"
#include "servicefile.h"

enum {
    EXIT_USAGE = 2,
    EXIT_SETTINGS = 3,
    LOOK_MS = 10, /* between looks whether a stop is complete */
};

struct arguments {
    int version;
    int check;
    int settings;
    int new_region;
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
    return set;
}

static void
serve(struct runtime *r, const sigset_t *set)
{
    for (;;) {
        int number = sigwaitinfo(set, NULL);

        if (number == SIGUSR1) {
            runtime_dump(r);
        }
        else if (number > 0) {
            return;
        }
    }
}

static void
stop(struct runtime *r, const sigset_t *set, int64_t grace_ms)
{
    const struct timespec look = {.tv_nsec = LOOK_MS * 1000000L};
    int64_t since_us = clock_now(clock_real()).mono_us;

    runtime_stop(r);
    while (!runtime_stopped(r) || clock_now(clock_real()).mono_us <
                                      since_us + grace_ms * USEC_PER_MSEC) {
        if (sigtimedwait(set, NULL, &look) == SIGUSR1) {
            runtime_dump(r);
        }
    }
}

static struct config *
load_services(const char *dir)
{
    struct servicefile_errors errs = {0};
    struct config *config = servicefile_load_dir(dir, &errs);

    for (size_t i = 0; i < errs.n; i++) {
        (void)fprintf(stderr, "%s:%d: %s\n", errs.items[i].file,
                      errs.items[i].line, errs.items[i].text);
    }
    servicefile_errors_clear(&errs);
    if (config != NULL && config->version == 0) {
        config->version = 1; /* below any that control publishes */
    }
    return config;
}

static int
run(struct entry_settings *s, struct config *config)
{
    struct runtime_options *o = &s->runtime;
    sigset_t set = block_signals();
    struct runtime *r;

    o->clock = clock_real();
    o->entry.incarnation = (uint64_t)clock_now(o->clock).wall_us;
    o->entry.seed = o->entry.incarnation ^ key_id_of(o->entry.self.s).lo;
    o->peers.incarnation = o->entry.incarnation;
    log_setup(o->entry.self.s, s->log_level, o->clock);
    r = runtime_new(o);
    if (r == NULL) {
        config_free(config);
        return EXIT_FAILURE;
    }
    if (config != NULL) {
        runtime_configure(r, config);
    }
    log_event(LOG_NOTICE, "serving", o->http.listen.s, "version %s",
              BM_VERSION);
    serve(r, &set);
    stop(r, &set, s->stop_grace_ms);
    runtime_free(r);
    log_event(LOG_NOTICE, "stopped", NULL, "nothing was in progress");
    return EXIT_SUCCESS;
}

static int
read_and_run(const struct arguments *a)
{
    struct entry_settings *s = entry_settings_read(a->file, stderr);
    struct config *config = NULL;
    int code = EXIT_SUCCESS;

    if (s == NULL) {
        return EXIT_SETTINGS;
    }
    if (s->services != NULL) {
        config = load_services(s->services);
    }
    if (s->services != NULL && config == NULL) {
        code = EXIT_SETTINGS;
    }
    else if (a->check) {
        config_free(config);
        (void)printf("%s: right\n", a->file);
    }
    else {
        s->runtime.entry.new_region = a->new_region != 0;
        code = run(s, config);
    }
    entry_settings_free(s);
    return code;
}

static int
act(const struct arguments *a, poptContext popt)
{
    if (a->version) {
        (void)printf("bm-entry %s\n", BM_VERSION);
        return EXIT_SUCCESS;
    }
    if (a->settings) {
        entry_settings_help(stdout);
        return EXIT_SUCCESS;
    }
    if (a->file == NULL || poptPeekArg(popt) != NULL) {
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
        {"new-region", 0, POPT_ARG_NONE, &a.new_region, 0,
         "nothing was ever submitted in this region", NULL},
        POPT_AUTOHELP POPT_TABLEEND};
    poptContext popt =
        poptGetContext("bm-entry", argc, (const char **)argv, options, 0);
    int code = EXIT_USAGE;
    int rc;

    poptSetOtherOptionHelp(popt, "[--check] [--new-region] FILE");
    rc = poptGetNextOpt(popt);
    if (rc < -1) {
        (void)fprintf(stderr, "bm-entry: %s: %s\n",
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
