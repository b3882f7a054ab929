/**
 * DOC: control_mail - mailbox message that carries an event and the data that
 * the event owns to the control reducer
 */
#ifndef BM_CONTROL_MAIL_H
#define BM_CONTROL_MAIL_H

#include "control_event.h"
#include "mailbox.h"

/** enum control_mail_kind - how the runtime processes a mail */
enum control_mail_kind {
    CONTROL_MAIL_EVENT,    /* passes @event to the reducer */
    CONTROL_MAIL_METRICS,  /* answers event.u.read.request with metrics */
    CONTROL_MAIL_ANNOUNCE, /* passes @msg, UPSTREAM_REPORT, to the registry */
    CONTROL_MAIL_PEER, /* notifies the registry that the connection to @peer
                        * was made or lost */
};

/**
 * struct control_mail - an event and the data that it owns
 * @mail: link of the mailbox
 * @kind: how the runtime processes the mail
 * @event: the event; its pointers refer to the members below
 * @msg: message from another process; NULL if there is none
 * @request_id: id of an operator's request; NULL if there is none
 * @summary: summary of a publication; NULL if there is none
 * @config: published text; NULL if there is none
 * @peer: process whose connection changed (CONTROL_MAIL_PEER)
 * @peer_up: whether the connection to @peer is established
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

/** control_mail_new() - allocates a mail; aborts if out of memory */
struct control_mail *control_mail_new(enum control_event_kind kind);

/** control_mail_free() - frees the mail and the data it owns; NULL is allowed
 */
void control_mail_free(struct control_mail *m);

/** control_mail_message() - mail of a message from process @from; takes
 * ownership of the data of @msg */
struct control_mail *control_mail_message(struct name from, struct msg *msg);

/** control_mail_announce() - mail of an upstream's announcement; takes
 * ownership of the data of @u */
struct control_mail *control_mail_announce(struct rec_leased_upstream *u);

/** control_mail_peer() - mail of a peer connection that was established or
 * lost */
struct control_mail *control_mail_peer(struct name peer, bool up);

#endif
