/*
 * bmctl: what runs where and which configuration is in force, for operators.
 * Exit codes: enum ctl_code.
 */
#include <popt.h>
#include <signal.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "ctl.h"

enum { WORDS_MAX = 6, TIMEOUT_MS = 5000 };

static int
run_status(const struct ctl_options *o, const char **words)
{
    (void)words;
    return ctl_status(o);
}

static int
run_dump(const struct ctl_options *o, const char **words)
{
    return ctl_dump(o, words[0]);
}

static int
run_drain(const struct ctl_options *o, const char **words)
{
    return ctl_drain(o, words[0]);
}

static int
run_explain(const struct ctl_options *o, const char **words)
{
    return ctl_explain(o, words[0]);
}

static int
run_show(const struct ctl_options *o, const char **words)
{
    return ctl_config_show(o, words[0]);
}

static int
run_history(const struct ctl_options *o, const char **words)
{
    (void)words;
    return ctl_config_history(o);
}

static int
run_diff(const struct ctl_options *o, const char **words)
{
    return ctl_config_diff(o, words[0], words[1]);
}

static int
run_add(const struct ctl_options *o, const char **words)
{
    return ctl_member(o, "add", words[0], words[1], words[2]);
}

static int
run_remove(const struct ctl_options *o, const char **words)
{
    return ctl_member(o, "remove", words[0], NULL, NULL);
}

static int
run_replace(const struct ctl_options *o, const char **words)
{
    return ctl_member(o, "replace", words[0], NULL, NULL);
}

static int
run_evacuate(const struct ctl_options *o, const char **words)
{
    return ctl_evacuate(o, words[0], false);
}

static int
run_evacuate_end(const struct ctl_options *o, const char **words)
{
    return ctl_evacuate(o, words[0], true);
}

static int
run_evacuate_status(const struct ctl_options *o, const char **words)
{
    (void)words;
    return ctl_evacuation_status(o);
}

/* "config show" are two words of one command. */
static const struct command {
    const char *first;
    const char *second; /* NULL for commands of one word */
    int least;          /* further words */
    int most;
    bool entries; /* needs --entry */
    bool control; /* needs --control */
    bool key;     /* needs --key-file */
    int (*run)(const struct ctl_options *o, const char **words);
} commands[] = {
    {"status", NULL, 0, 0, true, false, false, run_status},
    {"dump", NULL, 1, 1, true, false, false, run_dump},
    {"drain", NULL, 1, 1, true, false, false, run_drain},
    {"explain", NULL, 1, 1, true, false, false, run_explain},
    {"config", "show", 0, 1, false, true, false, run_show},
    {"config", "history", 0, 0, false, true, false, run_history},
    {"config", "diff", 1, 2, false, true, false, run_diff},
    {"evacuate", "--status", 0, 0, false, true, false, run_evacuate_status},
    {"evacuate", "--end", 1, 1, false, true, true, run_evacuate_end},
    {"evacuate", NULL, 1, 1, false, true, true, run_evacuate},
    {"member", "add", 3, 3, false, true, true, run_add},
    {"member", "remove", 1, 1, false, true, true, run_remove},
    {"member", "replace", 1, 1, false, true, true, run_replace},
};

static int
usage(const char *what)
{
    (void)fprintf(stderr, "bmctl: %s; see bmctl --help\n", what);
    return CTL_USAGE;
}

static bool
matches(const struct command *c, const char **words, int n)
{
    return n > 0 && strcmp(words[0], c->first) == 0 &&
           (c->second == NULL || (n > 1 && strcmp(words[1], c->second) == 0));
}

static int
run_command(const struct ctl_options *o, const char **words, int n)
{
    for (size_t i = 0; i < sizeof(commands) / sizeof(commands[0]); i++) {
        const struct command *c = &commands[i];
        int skip = c->second != NULL ? 2 : 1;

        if (!matches(c, words, n)) {
            continue;
        }
        if (n - skip < c->least || n - skip > c->most) {
            return usage("too few or too many words");
        }
        if (c->entries && o->entries.n_addresses == 0) {
            return usage("--entry is needed");
        }
        if (c->control && o->control.n_addresses == 0) {
            return usage("--control is needed");
        }
        if (c->key && o->control.signer == NULL) {
            return usage("--key-file is needed");
        }
        return c->run(o, words + skip);
    }
    return usage("unknown command");
}

struct arguments {
    char *entries;
    char *control;
    char *key_file;
    char *operator_name;
    int json;
    int end;
    int status;
    int version;
};

static const char *
read_arguments(const struct arguments *a, struct ctl_options *o)
{
    static struct opsign_operators operators;
    static char error[2 * DETAIL_SIZE];
    const char *wrong = NULL;

    o->json = a->json != 0;
    if (a->entries != NULL) {
        wrong = opclient_add_addresses(&o->entries, a->entries);
    }
    if (a->control != NULL && wrong == NULL) {
        wrong = opclient_add_addresses(&o->control, a->control);
    }
    if (a->key_file != NULL && wrong == NULL) {
        o->control.signer = opsign_choose(a->key_file, a->operator_name,
                                          &operators, error, sizeof(error));
        wrong = o->control.signer != NULL ? NULL : error;
    }
    return wrong;
}

static int
start(const struct arguments *a, const char **args)
{
    static struct ctl_options o = {
        .control.timeout_ms = TIMEOUT_MS,
        .entries.timeout_ms = TIMEOUT_MS,
    };
    const char *words[WORDS_MAX + 1] = {NULL};
    const char *wrong = read_arguments(a, &o);
    int n = 0;

    while (args != NULL && *args != NULL && n < WORDS_MAX) {
        words[n++] = *args++;
        /* popt takes options out of their place behind the command. */
        if (n == 1 && (a->end != 0 || a->status != 0)) {
            words[n++] = a->end != 0 ? "--end" : "--status";
        }
    }
    return wrong != NULL ? usage(wrong) : run_command(&o, words, n);
}

int
main(int argc, const char **argv)
{
    static struct arguments a;
    struct poptOption table[] = {
        {"entry", 'e', POPT_ARG_STRING, &a.entries, 0,
         "entry instances; else from BM_ENTRY", "ADDRESS,..."},
        {"control", 'c', POPT_ARG_STRING, &a.control, 0,
         "members of control; else from BM_CONTROL", "ADDRESS,..."},
        {"key-file", 'k', POPT_ARG_STRING, &a.key_file, 0,
         "operators' file with your key, for changes", "FILE"},
        {"operator", 'o', POPT_ARG_STRING, &a.operator_name, 0,
         "who changes; the first in the key file where not given", "NAME"},
        {"json", 'j', POPT_ARG_NONE, &a.json, 0, "JSON instead of tables",
         NULL},
        {"end", 0, POPT_ARG_NONE, &a.end, 0,
         "evacuate: the zone takes work "
         "again",
         NULL},
        {"status", 0, POPT_ARG_NONE, &a.status, 0, "evacuate: list the zones",
         NULL},
        {"version", 0, POPT_ARG_NONE, &a.version, 0, "print the version",
         NULL},
        POPT_AUTOHELP POPT_TABLEEND};
    poptContext ctx = poptGetContext("bmctl", argc, argv, table, 0);
    int rc;
    int code;

    a.entries = getenv("BM_ENTRY");
    a.control = getenv("BM_CONTROL");
    poptSetOtherOptionHelp(
        ctx, "[OPTION...] COMMAND\n"
             "Commands: status | dump NAME | drain UPSTREAM | explain KEY |\n"
             "  config show [VERSION] | config history |\n"
             "  config diff FROM [TO] | evacuate ZONE | evacuate --end ZONE |"
             "\n  evacuate --status | member add NAME ADDRESS HTTP |\n"
             "  member remove NAME | member replace NAME\n"
             "Exit codes: 0 done, 1 nobody answered, 2 usage, 3 not found, 4 "
             "somebody lags or is silent, 5 refused, 6 unknown");
    rc = poptGetNextOpt(ctx);
    if (rc < -1) {
        code = usage(poptStrerror(rc));
    }
    else if (a.version) {
        printf("bmctl %s\n", BM_VERSION);
        code = CTL_DONE;
    }
    else if (!opsign_setup()) {
        code = usage("libsodium cannot start");
    }
    else {
        (void)signal(SIGPIPE, SIG_IGN);
        fetch_setup();
        code = start(&a, poptGetArgs(ctx));
    }
    poptFreeContext(ctx);
    return code;
}
