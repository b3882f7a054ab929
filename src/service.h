/**
 * DOC: service - the configuration of services and teams
 *
 * A configuration is a whole: one version, all services, all teams.  Entry
 * reducers apply only a version above the one they have.
 */
#ifndef BM_SERVICE_H
#define BM_SERVICE_H

#include "base.h"

/** enum queue_order - in which order queued tasks are placed */
enum queue_order {
    ORDER_LEAST_WORK, /* least remaining work first, with ageing */
    ORDER_ARRIVAL,
    ORDER_FAIR, /* fair shares between teams, then least work */
};

/**
 * struct service_conf - one service
 * @name: of the service
 * @team: that owns it
 * @need: default needs of a task
 * @run_us: expected run time of a task until it is learned
 * @deadline_us: default deadline of a job, from submission
 * @deadline_max_us: the longest a job may ask for
 * @idempotent: default for its jobs
 * @max_tasks: tasks a job may have, 1 to JOB_TASKS_MAX
 * @max_queued: tasks that may wait at one instance
 * @max_running: tasks running in the region at a time; 0 is no limit
 * @spill: may use other zones' upstreams when its own zone is full
 * @order: of its queue
 * @zones: where it runs; none means everywhere
 * @n_zones: of @zones
 */
struct service_conf {
    struct name name;
    struct name team;
    struct resources need;
    int64_t run_us;
    int64_t deadline_us;
    int64_t deadline_max_us;
    bool idempotent;
    uint32_t max_tasks;
    uint32_t max_queued;
    uint32_t max_running;
    bool spill;
    enum queue_order order;
    struct name zones[ZONES_MAX];
    size_t n_zones;
};

/**
 * struct team_conf - one team's quotas, in the whole region
 * @name: of the team
 * @max_running: tasks running at a time; 0 is no limit
 * @starts_per_s: task starts a second; 0 is no limit
 * @weight: its fair share against other teams, 1 and up
 */
struct team_conf {
    struct name name;
    uint32_t max_running;
    uint32_t starts_per_s;
    uint32_t weight;
};

/** struct config - the configuration in force */
struct config {
    uint64_t version;
    struct service_conf *services;
    size_t n_services;
    struct team_conf *teams;
    size_t n_teams;
};

/** config_copy() - a deep copy, to be freed with config_free() */
struct config *config_copy(const struct config *c);

/** config_free() - NULL is allowed */
void config_free(struct config *c);

/** config_service() - the service of that name, or NULL */
const struct service_conf *config_service(const struct config *c,
                                          struct name name);

/** config_team() - the team of that name, or NULL */
const struct team_conf *config_team(const struct config *c, struct name name);

#endif
