/**
 * DOC: envelope - an event on its way to the reducer, with what it owns
 */
#ifndef BM_ENVELOPE_H
#define BM_ENVELOPE_H

#include "event.h"
#include "mailbox.h"

/** enum envelope_kind - what the runtime does with it */
enum envelope_kind {
    ENVELOPE_EVENT,   /* gives it to the reducer */
    ENVELOPE_METRICS, /* answers request event.u.query with the counters */
    ENVELOPE_DUMP,    /* has the state written to the log */
};

/**
 * struct envelope - handed over with the mail
 * @mail: link in a mailbox
 * @kind: see enum envelope_kind
 * @event: its time is set when the reducer takes it; its pointers point to
 *         the members below
 */
struct envelope {
    struct mail mail;
    enum envelope_kind kind;
    struct event event;
    char key[KEY_TEXT_SIZE];
    struct job_spec *spec;
    struct blob *result;
    struct msg *msg; /* from malloc() */
    struct config *config;
};

/** envelope_new() - an empty one; ends the process when memory is out, since
 * an outcome that cannot be reported would be a lost answer */
struct envelope *envelope_new(enum event_kind kind);

/** envelope_free() - with all it owns; NULL is allowed */
void envelope_free(struct envelope *e);

/** envelope_ended() - EV_TASK_ENDED; takes over the reference to @result */
struct envelope *envelope_ended(uint64_t call, enum start_outcome outcome,
                                bool ok, struct blob *result, int64_t ran_us);

/** envelope_revoked() - EV_TASK_REVOKED; takes over the reference */
struct envelope *envelope_revoked(uint64_t call, enum revoke_outcome outcome,
                                  bool ok, struct blob *result);

/** envelope_fenced() - EV_FENCED */
struct envelope *envelope_fenced(uint64_t call, enum fence_outcome outcome,
                                 uint64_t epoch, uint32_t running);

/** envelope_message() - EV_MESSAGE; takes over what @m owns */
struct envelope *envelope_message(struct name from, struct msg *m);

/** envelope_key() - for events about a key; @text is shorter than
 * KEY_TEXT_SIZE */
struct envelope *envelope_key(enum event_kind kind, uint64_t request,
                              const char *text);

#endif
