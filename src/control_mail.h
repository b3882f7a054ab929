/**
 * DOC: control_mail - an event on its way to the control reducer, with what it
 * owns
 */
#ifndef BM_CONTROL_MAIL_H
#define BM_CONTROL_MAIL_H

#include "control_event.h"
#include "mailbox.h"

/** enum control_mail_kind - what the runtime does with it */
enum control_mail_kind {
    CONTROL_MAIL_EVENT,    /* gives it to the reducer */
    CONTROL_MAIL_METRICS,  /* answers event.u.read.request with counters */
    CONTROL_MAIL_ANNOUNCE, /* gives @msg, UPSTREAM_REPORT, to the registry */
    CONTROL_MAIL_PEER,     /* tells the registry of @peer */
};

/**
 * struct control_mail - handed over with the mail
 * @event: its pointers point to the members below
 */
struct control_mail {
    struct mail mail;
    enum control_mail_kind kind;
    struct control_event event;
    struct msg *msg;
    char *request_id;
    char *summary;
    struct blob *config;
    struct name peer;
    bool peer_up;
};

/** control_mail_new() - ends the process when memory is out */
struct control_mail *control_mail_new(enum control_event_kind kind);

/** control_mail_free() - with all it owns; NULL is allowed */
void control_mail_free(struct control_mail *m);

/** control_mail_message() - takes over what @msg owns */
struct control_mail *control_mail_message(struct name from, struct msg *msg);

/** control_mail_announce() - an upstream says how it is; takes over the labels
 * of @u */
struct control_mail *control_mail_announce(struct rec_leased_upstream *u);

/** control_mail_peer() - the connection to a process is there, or is gone */
struct control_mail *control_mail_peer(struct name peer, bool up);

#endif
