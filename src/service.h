/**
 * DOC: service - configuration of services and teams
 *
 * A configuration has one version and holds all services and all teams.  Entry
 * reducers apply only a version higher than their current one.
 */
#ifndef BM_SERVICE_H
#define BM_SERVICE_H

#include "base.h"

/** enum queue_order - order in which queued tasks are placed */
enum queue_order {
    ORDER_LEAST_WORK, /* least remaining work first, with ageing */
    ORDER_ARRIVAL,
    ORDER_FAIR, /* fair shares between teams, then least work */
};

/**
 * struct service_conf - one service
 * @name: name of the service
 * @team: team that owns the service
 * @need: resources that a task needs by default
 * @run_us: expected run time of a task until there is an estimate
 * @deadline_us: default deadline of a job, from submission
 * @deadline_max_us: longest deadline that a job may request
 * @idempotent: default of the idempotent flag of a job
 * @max_tasks: tasks that a job may have, 1 to JOB_TASKS_MAX
 * @max_queued: tasks that may be queued at one instance
 * @max_running: tasks running in the region at a time; 0 is no limit
 * @spill: tasks may run on upstreams of other zones when their own zone is
 * full
 * @order: order of the queue
 * @zones: availability zones where the service runs; none means all
 * @n_zones: number of @zones
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
 * struct team_conf - quotas of a team in the whole region
 * @name: name of the team
 * @max_running: tasks running at a time; 0 is no limit
 * @starts_per_s: task starts per second; 0 is no limit
 * @weight: weight of the team's fair share, at least 1
 */
struct team_conf {
    struct name name;
    uint32_t max_running;
    uint32_t starts_per_s;
    uint32_t weight;
};

/** struct config - a configuration; services and teams are sorted by name */
struct config {
    uint64_t version;
    struct service_conf *services;
    size_t n_services;
    struct team_conf *teams;
    size_t n_teams;
};

/** config_copy() - a deep copy, to be freed with config_free(); NULL if out of
 * memory */
struct config *config_copy(const struct config *c);

/** config_free() - NULL is allowed */
void config_free(struct config *c);

/** config_service() - finds a service by name, or returns NULL */
const struct service_conf *config_service(const struct config *c,
                                          struct name name);

/** config_team() - finds a team by name, or returns NULL */
const struct team_conf *config_team(const struct config *c, struct name name);

#endif
