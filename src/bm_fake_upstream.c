/*
 * bm-fake-upstream: a small stand-in for a worker, for the demo and tests.
 * Exit codes: 0 after a planned stop, 1 on a failure at the start, 2 for a
 * mistake on the command line, 9 when the die_at fault struck.
 */
#include <errno.h>
#include <popt.h>
#include <signal.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "fake_announce.h"
#include "fake_record.h"
#include "fake_server.h"
#include "fetch.h"
#include "log.h"

enum { EXIT_USAGE = 2 };

struct options {
    char *name;
    char *zone;
    char *rack;
    char *service;
    char *listen;
    char *entries;
    char *record;
    char *faults;
    int slots;
    int connections;
    double cpus;
    int memory_mb;
    int accelerators;
    int quiet_ms;
};

static int
usage(poptContext ctx, const char *what)
{
    (void)fprintf(stderr, "bm-fake-upstream: %s\n", what);
    poptPrintUsage(ctx, stderr, 0);
    return EXIT_USAGE;
}

static const char *
check_options(const struct options *o)
{
    if (o->name == NULL || o->zone == NULL || o->service == NULL ||
        o->listen == NULL || o->entries == NULL) {
        return "--name, --zone, --service, --listen and --entry are needed";
    }
    if (strlen(o->name) >= NAME_SIZE || strlen(o->zone) >= NAME_SIZE ||
        strlen(o->service) >= NAME_SIZE || strlen(o->rack) >= NAME_SIZE) {
        return "a name is longer than 47 bytes";
    }
    if (o->slots < 1 || o->slots > 1024 || o->connections < 1 ||
        o->connections > 4096) {
        return "--slots is 1 to 1024, --connections 1 to 4096";
    }
    if (o->cpus < 0.001 || o->cpus > 4096 || o->memory_mb < 1 ||
        o->accelerators < 0 || o->quiet_ms < 0) {
        return "a size is out of range";
    }
    return NULL;
}

static const char *
read_entries(char *list, struct fake_announce_options *a)
{
    char *save = NULL;

    for (char *word = strtok_r(list, ",", &save); word != NULL;
         word = strtok_r(NULL, ",", &save)) {
        if (a->n_entries == FAKE_ENTRIES_MAX ||
            !fetch_base_url(word, a->entries[a->n_entries], ADDRESS_SIZE)) {
            return "--entry takes up to 16 addresses of up to 63 bytes";
        }
        a->n_entries++;
    }
    return a->n_entries > 0 ? NULL : "--entry is empty";
}

static const char *
read_faults(const char *text, struct fake *fake)
{
    struct fake_faults faults = fake_faults_default();
    json_t *json;
    const char *wrong;

    if (text == NULL) {
        return NULL;
    }
    json = json_loads(text, 0, NULL);
    wrong = fake_faults_parse(json, &faults);
    json_decref(json);
    fake_set_faults(fake, &faults);
    return wrong;
}

static void
wait_for_stop(void)
{
    sigset_t set;
    int signal_number = 0;

    sigemptyset(&set);
    sigaddset(&set, SIGTERM);
    sigaddset(&set, SIGINT);
    while (sigwait(&set, &signal_number) != 0) {
    }
    log_event(LOG_NOTICE, "stopping", NULL, "signal %d", signal_number);
}

/* Signals are taken by sigwait(); every thread inherits the mask. */
static void
block_signals(void)
{
    sigset_t set;

    sigemptyset(&set);
    sigaddset(&set, SIGTERM);
    sigaddset(&set, SIGINT);
    pthread_sigmask(SIG_BLOCK, &set, NULL);
    (void)signal(SIGPIPE, SIG_IGN);
}

static int
run(const struct options *o, struct fake *fake,
    struct fake_announce_options *a)
{
    struct fake_server_options so = {
        .fake = fake,
        .listen = o->listen,
        .record = -1,
        .connections = (uint32_t)o->connections,
        .clock = clock_real(),
    };
    struct fake_announce *announcer;

    if (o->record != NULL) {
        so.record = fake_record_open(o->record);
        if (so.record < 0) {
            log_event(LOG_ERR, "record-not-opened", o->record, "%s",
                      strerror(errno));
            return EXIT_FAILURE;
        }
    }
    a->server = fake_server_start(&so);
    if (a->server == NULL) {
        log_event(LOG_ERR, "not-listening", o->listen, "%s", strerror(errno));
        return EXIT_FAILURE;
    }
    announcer = fake_announce_start(a);
    if (announcer == NULL) {
        fake_server_stop(a->server);
        return EXIT_FAILURE;
    }
    wait_for_stop();
    fake_server_leave(a->server);
    if (!fake_announce_leave(announcer)) {
        log_event(LOG_WARNING, "leave-not-taken", NULL,
                  "no entry instance answered");
    }
    fake_server_drain(a->server, o->quiet_ms * USEC_PER_MSEC);
    fake_server_stop(a->server);
    log_event(LOG_NOTICE, "stopped", NULL, "nothing was running");
    return EXIT_SUCCESS;
}

static void
fill_announcement(const struct options *o, uint64_t incarnation,
                  struct fake_announce_options *a)
{
    char url[ADDRESS_SIZE] = "";

    (void)fetch_base_url(o->listen, url, sizeof(url));
    a->name = name_of(o->name);
    a->zone = name_of(o->zone);
    a->rack = name_of(o->rack);
    a->service = name_of(o->service);
    a->address = address_of(url);
    a->incarnation = incarnation;
    a->slots = (uint32_t)o->slots;
    a->connections = (uint32_t)o->connections;
    a->have.cpu_milli = (uint32_t)(o->cpus * 1000);
    a->have.memory_mb = (uint32_t)o->memory_mb;
    a->have.accelerators = (uint32_t)o->accelerators;
}

static int
start(poptContext ctx, struct options *o)
{
    struct fake_announce_options a = {0};
    const char *wrong = check_options(o);
    uint64_t incarnation = (uint64_t)clock_now(clock_real()).wall_us;
    struct fake *fake;
    int code;

    if (wrong == NULL) {
        wrong = read_entries(o->entries, &a);
    }
    if (wrong != NULL) {
        return usage(ctx, wrong);
    }
    fill_announcement(o, incarnation, &a);
    fake = fake_new(a.name, incarnation, a.slots);
    if (fake == NULL) {
        return EXIT_FAILURE;
    }
    wrong = read_faults(o->faults, fake);
    if (wrong != NULL) {
        code = usage(ctx, wrong);
    }
    else {
        log_setup(o->name, LOG_INFO, clock_real());
        code = run(o, fake, &a);
    }
    fake_free(fake);
    return code;
}

int
main(int argc, const char **argv)
{
    static struct options o = {
        .rack = "",
        .slots = 8,
        .connections = 64,
        .cpus = 32,
        .memory_mb = 65536,
        .quiet_ms = 1000,
    };
    int version = 0;
    struct poptOption table[] = {
        {"name", 'n', POPT_ARG_STRING, &o.name, 0, "name of the upstream",
         "NAME"},
        {"zone", 'z', POPT_ARG_STRING, &o.zone, 0, "availability zone",
         "NAME"},
        {"rack", 'r', POPT_ARG_STRING, &o.rack, 0, "rack", "NAME"},
        {"service", 's', POPT_ARG_STRING, &o.service, 0, "service it runs",
         "NAME"},
        {"listen", 'l', POPT_ARG_STRING, &o.listen, 0, "where it listens",
         "IP:PORT"},
        {"entry", 'e', POPT_ARG_STRING, &o.entries, 0,
         "entry instances of its zone, tried in turn", "ADDRESS,..."},
        {"record", 0, POPT_ARG_STRING, &o.record, 0,
         "append what happens here, as JSON lines", "FILE"},
        {"slots", 0, POPT_ARG_INT | POPT_ARGFLAG_SHOW_DEFAULT, &o.slots, 0,
         "tasks at a time", "N"},
        {"connections", 0, POPT_ARG_INT | POPT_ARGFLAG_SHOW_DEFAULT,
         &o.connections, 0, "connections at a time", "N"},
        {"cpus", 0, POPT_ARG_DOUBLE | POPT_ARGFLAG_SHOW_DEFAULT, &o.cpus, 0,
         "processors", "N"},
        {"memory-mb", 0, POPT_ARG_INT | POPT_ARGFLAG_SHOW_DEFAULT,
         &o.memory_mb, 0, "memory, MiB", "N"},
        {"accelerators", 0, POPT_ARG_INT | POPT_ARGFLAG_SHOW_DEFAULT,
         &o.accelerators, 0, "accelerators", "N"},
        {"quiet-ms", 0, POPT_ARG_INT | POPT_ARGFLAG_SHOW_DEFAULT, &o.quiet_ms,
         0, "how long a planned stop goes on answering after the last request",
         "MS"},
        {"faults", 0, POPT_ARG_STRING, &o.faults, 0,
         "what goes wrong: fail, refuse, slow, silent, every, die_at; as in "
         "PUT /v1/faults",
         "JSON"},
        {"version", 0, POPT_ARG_NONE, &version, 0, "print the version", NULL},
        POPT_AUTOHELP POPT_TABLEEND};
    poptContext ctx = poptGetContext("bm-fake-upstream", argc, argv, table, 0);
    int rc;
    int code;

    poptSetOtherOptionHelp(
        ctx, "[OPTION...]\n"
             "Exit codes: 0 planned stop, 1 cannot start, 2 usage, 9 died on "
             "purpose");
    rc = poptGetNextOpt(ctx);

    if (rc < -1) {
        code = usage(ctx, poptStrerror(rc));
    }
    else if (version) {
        printf("bm-fake-upstream %s\n", BM_VERSION);
        code = EXIT_SUCCESS;
    }
    else {
        block_signals();
        fetch_setup();
        code = start(ctx, &o);
    }
    poptFreeContext(ctx);
    return code;
}
