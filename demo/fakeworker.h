/**
 * DOC: fakeworker - a stand-in for a worker of the users' platform
 *
 * Runs tasks under a lease as the platform's protocol says: starts, stops and
 * looks with fences, run numbers and a deadline on its own clock.  Faults can
 * be switched on.  It records every run, so that who judges needs no word of
 * the system's.
 */
#ifndef BM_FAKEWORKER_H
#define BM_FAKEWORKER_H

#include <jansson.h>

#include "httpapi.h"
#include "lease.h"

/** struct fakeworker_run - a run, from its start to its end */
struct fakeworker_run {
    char task[64];
    uint64_t run;
    int64_t begun_us;
    int64_t ended_us; /* 0 while it runs */
    int64_t due_us;   /* its work is done then */
    int64_t stop_us;  /* a stop of it is over then; 0 for none */
    int64_t whole_us;
    char how[8]; /* "done", ...; empty while it runs */
    uint64_t number;
    bool over; /* of an earlier life: told to nobody */
};

/**
 * struct fakeworker_options - how to construct one
 * @id: its name
 * @zone: it says that it is there
 * @listen: IP:PORT
 * @address: IP:PORT, as it tells others
 * @delays_in: one of so many starts gets no answer and is carried out later;
 *             0 for none
 * @delay_us: so much later
 */
struct fakeworker_options {
    char id[48];
    const char *zone;
    char listen[64];
    char address[64];
    unsigned int delays_in;
    int64_t delay_us;
};

struct fakeworker;

/** fakeworker_new() - NULL with errno where it can't listen */
struct fakeworker *fakeworker_new(const struct fakeworker_options *o,
                                  int64_t now_us);

/** fakeworker_free() - NULL is allowed */
void fakeworker_free(struct fakeworker *w);

/** fakeworker_poll() - serves what came, and lets time pass */
void fakeworker_poll(struct fakeworker *w, int64_t now_us);

/** fakeworker_reborn() - ends all and starts anew under its name */
void fakeworker_reborn(struct fakeworker *w, int64_t now_us);

/** fakeworker_hang() - from now on what runs there makes no progress, though
 * all calls are answered; or goes on again */
void fakeworker_hang(struct fakeworker *w, bool hangs);

/** fakeworker_leave() - says from its next heartbeat on that it drains; what
 * runs there goes on, and starts are taken still.  Its rebirth ends that. */
void fakeworker_leave(struct fakeworker *w);
bool fakeworker_leaves(const struct fakeworker *w);

/** fakeworker_beat() - the body of its next heartbeat; to be freed */
char *fakeworker_beat(struct fakeworker *w, int64_t now_us);

/** fakeworker_id() - its name */
const char *fakeworker_id(const struct fakeworker *w);

/** fakeworker_runs() - all that ever ran there; @n their number */
const struct fakeworker_run *fakeworker_runs(const struct fakeworker *w,
                                             size_t *n);

#endif
