/**
 * DOC: region - one member of control and one broker, as real processes
 *
 * For tests of the platform's programs from outside.  They listen on loopback
 * and have small limits in their settings.
 */
#ifndef BM_REGION_H
#define BM_REGION_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#include "procs.h"

#define REGION_BROKER "127.0.9.2"
#define REGION_CONTROL "127.0.9.1"

enum {
    REGION_MEMORY_MB = 64,          /* of each process, in its settings */
    REGION_FDS_MAX = 600,           /* the same */
    REGION_BODY_MAX = 256 * 1024,   /* of a job, in the configuration */
    REGION_HEADERS_MAX = 16 * 1024, /* the same */
};

/**
 * struct region - the processes
 * @dir: their folder
 * @port: where both listen for clients
 */
struct region {
    char dir[64];
    uint16_t port;
    struct proc control;
    struct proc broker;
};

/** region_start() - starts both and publishes a configuration with the queue
 * "/q/" of host "a", which service "s" runs */
void region_start(struct region *r);

/** region_restart() - kills a process, starts it and waits until requests are
 * served again */
void region_restart(struct region *r, struct proc *p);

void region_stop(struct region *r);

/** region_connect() - a connection to a process; -1 where there is none */
int region_connect(const char *ip, uint16_t port);

/** region_exchange() - the status of the answer to a request; 0 for none */
int region_exchange(const struct region *r, const char *ip, const char *head,
                    const char *body, size_t size);

/** region_ask() - the same, with a head that fits */
int region_ask(const struct region *r, const char *ip, const char *method,
               const char *path, const char *body, size_t size);

/** region_serves() - whether an ordinary request to each process is answered
 */
bool region_serves(const struct region *r);

/** region_check() - fails unless both processes live, within the memory and
 * the descriptors of their settings; memory is not judged with a sanitizer,
 * which takes some itself */
void region_check(const struct region *r, const char *test);

#endif
