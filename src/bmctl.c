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

enum { WORDS_MAX = 4, READ_TIMEOUT_MS = 3000 };

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

/* "config show" are two words of one command. */
static const struct command {
    const char *first;
    const char *second; /* NULL for commands of one word */
    int least;          /* further words */
    int most;
    bool entries; /* needs --entry */
    bool control; /* needs --control */
    int (*run)(const struct ctl_options *o, const char **words);
} commands[] = {
    {"status", NULL, 0, 0, true, false, run_status},
    {"dump", NULL, 1, 1, true, false, run_dump},
    {"drain", NULL, 1, 1, true, false, run_drain},
    {"explain", NULL, 1, 1, true, false, run_explain},
    {"config", "show", 0, 1, false, true, run_show},
    {"config", "history", 0, 0, false, true, run_history},
    {"config", "diff", 1, 2, false, true, run_diff},
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
        return c->run(o, words + skip);
    }
    return usage("unknown command");
}

static int
start(struct ctl_options *o, const char *entries, const char *control,
      const char **args)
{
    const char *words[WORDS_MAX + 1] = {NULL};
    const char *wrong = NULL;
    int n = 0;

    while (args != NULL && args[n] != NULL && n < WORDS_MAX) {
        words[n] = args[n];
        n++;
    }
    if (entries != NULL) {
        wrong = opclient_add_addresses(&o->entries, entries);
    }
    if (control != NULL && wrong == NULL) {
        wrong = opclient_add_addresses(&o->control, control);
    }
    return wrong != NULL ? usage(wrong) : run_command(o, words, n);
}

int
main(int argc, const char **argv)
{
    static struct ctl_options o = {
        .control.timeout_ms = READ_TIMEOUT_MS,
        .entries.timeout_ms = READ_TIMEOUT_MS,
    };
    char *entries = getenv("BM_ENTRY");
    char *control = getenv("BM_CONTROL");
    int json = 0;
    int version = 0;
    struct poptOption table[] = {
        {"entry", 'e', POPT_ARG_STRING, &entries, 0,
         "entry instances; else from BM_ENTRY", "ADDRESS,..."},
        {"control", 'c', POPT_ARG_STRING, &control, 0,
         "members of control; else from BM_CONTROL", "ADDRESS,..."},
        {"json", 'j', POPT_ARG_NONE, &json, 0, "JSON instead of tables", NULL},
        {"version", 0, POPT_ARG_NONE, &version, 0, "print the version", NULL},
        POPT_AUTOHELP POPT_TABLEEND};
    poptContext ctx = poptGetContext("bmctl", argc, argv, table, 0);
    int rc;
    int code;

    poptSetOtherOptionHelp(
        ctx, "[OPTION...] COMMAND\n"
             "Commands: status | dump NAME | drain UPSTREAM | explain KEY |\n"
             "  config show [VERSION] | config history | config diff FROM "
             "[TO]\n"
             "Exit codes: 0 done, 1 nobody answered, 2 usage, 3 not found, 4 "
             "somebody lags or is silent");
    rc = poptGetNextOpt(ctx);
    o.json = json != 0;
    if (rc < -1) {
        code = usage(poptStrerror(rc));
    }
    else if (version) {
        printf("bmctl %s\n", BM_VERSION);
        code = CTL_DONE;
    }
    else {
        (void)signal(SIGPIPE, SIG_IGN);
        fetch_setup();
        code = start(&o, entries, control, poptGetArgs(ctx));
    }
    poptFreeContext(ctx);
    return code;
}
