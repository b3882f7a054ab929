/*
 * bm-entry: an entry instance.  Exit codes: 0 after a planned stop (or a file
 * that --check finds right), 1 when it can't start, 2 for a mistake on the
 * command line, 3 for a mistake in the settings or the service files.
 */
#include <stdlib.h>

#include "daemon.h"
#include "entry_settings.h"
#include "log.h"
#include "servicefile.h"

enum {
    LOOK_MS = 10, /* between looks whether a stop is complete */
};

struct arguments {
    struct daemon_arguments common;
    int new_region;
};

/** struct serving - what runs, and since when it stops */
struct serving {
    struct runtime *runtime;
    int64_t grace_us;
    int64_t since_us;
};

static void
dump(void *user)
{
    const struct serving *v = user;

    runtime_dump(v->runtime);
}

static bool
stopped(void *user)
{
    const struct serving *v = user;

    return runtime_stopped(v->runtime) &&
           clock_now(clock_real()).mono_us >= v->since_us + v->grace_us;
}

static void
serve(struct serving *v)
{
    struct daemon_wait w = {.dump = dump, .user = v};

    daemon_wait(&w);
    v->since_us = clock_now(clock_real()).mono_us;
    runtime_stop(v->runtime);
    w.over = stopped;
    w.look_ms = LOOK_MS;
    w.stopping = true;
    daemon_wait(&w);
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
    struct serving v = {.grace_us = s->stop_grace_ms * USEC_PER_MSEC};

    o->clock = clock_real();
    o->entry.incarnation = (uint64_t)clock_now(o->clock).wall_us;
    o->entry.seed = o->entry.incarnation ^ key_id_of(o->entry.self.s).lo;
    o->peers.incarnation = o->entry.incarnation;
    log_setup(o->entry.self.s, s->log_level, o->clock);
    daemon_start_logging(settings_text(s->file, "instance", "zone"),
                         o->entry.incarnation);
    v.runtime = runtime_new(o);
    if (v.runtime == NULL) {
        config_free(config);
        return EXIT_FAILURE;
    }
    if (config != NULL) {
        runtime_configure(v.runtime, config);
    }
    log_event(LOG_NOTICE, "serving", o->http.listen.s, "version %s",
              BM_VERSION);
    serve(&v);
    runtime_free(v.runtime);
    log_event(LOG_NOTICE, "stopped", NULL, "nothing was in progress");
    daemon_stop_logging();
    return EXIT_SUCCESS;
}

static int
read_and_run(void *user)
{
    const struct arguments *a = user;
    struct entry_settings *s = entry_settings_read(a->common.file, stderr);
    struct config *config = NULL;
    int code = EXIT_SUCCESS;

    if (s == NULL) {
        return DAEMON_EXIT_SETTINGS;
    }
    if (s->services_dir != NULL) {
        config = load_services(s->services_dir);
    }
    if (s->services_dir != NULL && config == NULL) {
        code = DAEMON_EXIT_SETTINGS;
    }
    else if (a->common.check) {
        config_free(config);
        (void)printf("%s: right\n", a->common.file);
    }
    else {
        s->runtime.entry.new_region = a->new_region != 0;
        code = run(s, config);
    }
    entry_settings_free(s);
    return code;
}

int
main(int argc, char **argv)
{
    struct arguments a = {0};
    const struct poptOption options[] = {
        DAEMON_OPTIONS(&a.common),
        {"new-region", 0, POPT_ARG_NONE, &a.new_region, 0,
         "nothing was ever submitted in this region", NULL},
        POPT_AUTOHELP POPT_TABLEEND};
    const struct daemon_program program = {.name = "bm-entry",
                                           .usage =
                                               "[--check] [--new-region] FILE",
                                           .options = options,
                                           .help = entry_settings_help,
                                           .run = read_and_run,
                                           .user = &a};

    return daemon_main(&program, &a.common, argc, argv);
}
