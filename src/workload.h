/**
 * DOC: workload - what callers ask for and what goes wrong meanwhile
 *
 * A workload is one INI file under bench/.  Arrivals are Poisson; sizes, run
 * times and declared values are drawn from the file's seed, so every policy
 * gets the very same jobs.
 */
#ifndef BM_WORKLOAD_H
#define BM_WORKLOAD_H

#include "vnet.h"

enum { WORKLOAD_FAULTS_MAX = 16 };

/** enum workload_fault_kind - in the order of the setting's choices */
enum workload_fault_kind {
    WF_KILL,    /* an instance dies for good */
    WF_RESTART, /* an instance restarts empty */
    WF_PAUSE,
    WF_STOP,     /* planned */
    WF_CUT,      /* a zone is cut off */
    WF_RACK,     /* all upstreams of a rack die */
    WF_UPSTREAM, /* one dies */
    WF_FAILING,  /* one fails everything */
    WF_SLOW,     /* one runs everything five times slower */
    WF_LEAVE,
};

struct workload_fault {
    enum workload_fault_kind kind;
    int64_t at_us;
    int64_t for_us;
    uint32_t target;
};

struct workload {
    struct name name;
    uint64_t seed;
    uint32_t zones;
    uint32_t instances; /* a zone */
    uint32_t upstreams; /* a zone */
    int64_t length_us;  /* arrivals stop then */
    int64_t warm_us;    /* jobs before it do not count */
    double load;        /* of capacity */
    double burst;       /* load while it lasts */
    int64_t burst_at_us;
    int64_t burst_us;
    double tasks_mean; /* in a job; geometric */
    uint32_t tasks_max;
    int64_t run_min_us; /* log-uniform between */
    int64_t run_max_us;
    double long_share; /* tasks that take several seconds */
    int64_t long_us;
    double declared_off; /* declared is off by up to this factor */
    double straggler_share;
    double straggler_factor;
    double cancel_share;
    int64_t cancel_at_us; /* 0: each some time after its submission */
    double never_share;   /* jobs that fit nowhere */
    double resubmit_share;
    int64_t deadline_us;
    int64_t patience_us;
    uint32_t retries;
    struct workload_fault faults[WORKLOAD_FAULTS_MAX];
    size_t n_faults;
};

/** workload_read() - false after printing what is wrong with the file */
bool workload_read(const char *path, struct workload *w);

/** workload_begin() - a vnet under way with all its jobs planned */
struct vnet *workload_begin(const struct workload *w,
                            const struct vnet_options *o);

/** workload_run() - until every caller has its answer */
void workload_run(const struct workload *w, struct vnet *n);

/** workload_slots() - of the whole system */
uint32_t workload_slots(const struct workload *w);

#endif
