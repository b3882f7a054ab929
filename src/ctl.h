/**
 * DOC: ctl - what bmctl asks for and how it shows it
 */
#ifndef BM_CTL_H
#define BM_CTL_H

#include <jansson.h>

#include "opclient.h"

/**
 * struct ctl_options - whom to ask
 * @control: members of bm-control
 * @entries: entry instances; any of them serves
 * @json: print JSON instead of tables
 */
struct ctl_options {
    struct opclient_options control;
    struct opclient_options entries;
    bool json;
};

/** enum ctl_code - exit codes of bmctl */
enum ctl_code {
    CTL_DONE = 0,
    CTL_UNREACHABLE = 1, /* nobody answered */
    CTL_USAGE = 2,
    CTL_NOT_FOUND = 3, /* somebody answered: there is no such thing */
    CTL_LAGS = 4,      /* status: an instance lags or does not answer */
    CTL_REFUSED = 5,   /* a change was refused */
    CTL_UNKNOWN = 6,   /* the answer to a change was lost */
};

/** ctl_get() - the JSON at a path of the first address that answers 200;
 * @status gets the last status, 0 when nobody answered.  NULL else. */
json_t *ctl_get(const struct opclient_options *who, const char *path,
                const char *query, long *status);

/** ctl_ask_one() - one request to one address, without trying again; NULL
 * when there is no JSON */
json_t *ctl_ask_one(const char *method, const char *address, const char *path,
                    long *status);

/** ctl_status() - members, instances, upstreams and versions */
int ctl_status(const struct ctl_options *o);

/** ctl_dump() - the state of a process, or what is known of an upstream */
int ctl_dump(const struct ctl_options *o, const char *name);

/** ctl_drain() - no new work for an upstream */
int ctl_drain(const struct ctl_options *o, const char *name);

/** ctl_explain() - what was decided for a job, when and why */
int ctl_explain(const struct ctl_options *o, const char *key);

/** ctl_member() - adds, removes or replaces a member of control; @address and
 * @http are for adding alone */
int ctl_member(const struct ctl_options *o, const char *action,
               const char *name, const char *address, const char *http);

/** ctl_evacuate() - begins the evacuation of a zone, or ends it */
int ctl_evacuate(const struct ctl_options *o, const char *zone, bool end);

/** ctl_evacuation_status() - evacuated zones, and instances that do not know
 * of them yet */
int ctl_evacuation_status(const struct ctl_options *o);

/** ctl_config_show() - a configuration; @version NULL is the one in force */
int ctl_config_show(const struct ctl_options *o, const char *version);

/** ctl_config_history() - the last publications */
int ctl_config_history(const struct ctl_options *o);

/** ctl_config_diff() - from version @from to @to; @to NULL is the one in
 * force */
int ctl_config_diff(const struct ctl_options *o, const char *from,
                    const char *to);

#endif
